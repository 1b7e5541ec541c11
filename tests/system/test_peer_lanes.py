"""Messages between core machines: closing their lanes."""

import asyncio
import unittest

from knotwalk.control_plane.peer_lanes import PeerLanes


class NoCaller:
    """Records calls; none returns."""

    def __init__(self):
        self.calls = []

    async def json(self, *call):
        self.calls.append(call)
        await asyncio.Event().wait()


class CloseTest(unittest.TestCase):
    def test_messages_after_close_are_not_sent(self):
        """A group that was closed after its lanes sent one more message; nobody awaited the call, so its error was
        logged as unhandled."""

        async def run():
            caller = NoCaller()
            lanes = PeerLanes(caller, "/p", "step", lambda answers: None)
            lanes.send("one", {"type": "vote"})
            await asyncio.sleep(0)
            lanes.close()
            lanes.send("two", {"type": "vote"})
            await asyncio.sleep(0)
            return len(caller.calls), [task for task in lanes.tasks if not task.cancelling()]

        self.assertEqual(asyncio.run(run()), (1, []))


if __name__ == "__main__":
    unittest.main()
