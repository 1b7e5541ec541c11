"""Messages between core machines: how their lanes end."""

import asyncio
import unittest

from knotwalk.control_plane.peer_lanes import PeerLanes


class NoCaller:
    """Notes calls; none comes back."""

    def __init__(self):
        self.calls = []

    async def json(self, *asked):
        self.calls.append(asked)
        await asyncio.Event().wait()


class CloseTest(unittest.TestCase):
    def test_what_is_posted_after_the_end_is_not_sent_on_a_closed_session(self):
        """A group that ended after the lanes posted once more; nobody waited for the call, and its error was logged."""

        async def told():
            caller = NoCaller()
            lanes = PeerLanes(caller, "/p", "step", lambda answers: None)
            lanes.send("one", {"type": "vote"})
            await asyncio.sleep(0)
            lanes.close()
            lanes.send("two", {"type": "vote"})
            await asyncio.sleep(0)
            return len(caller.calls), [task for task in lanes.tasks if not task.cancelling()]

        self.assertEqual(asyncio.run(told()), (1, []))


if __name__ == "__main__":
    unittest.main()
