"""Whatever bytes a peer sends, a call to it ends with an answer or one typed error, and the next call is not harmed."""

import asyncio
import unittest
from types import SimpleNamespace
from unittest import mock

from hypothesis import HealthCheck, given, settings, strategies as some

from knotwalk.control_plane.slice_manager import SliceManager
from knotwalk.discovery.loads import LoadReports
from knotwalk.discovery.node_listing import InvalidPageError, NodeListing
from knotwalk.discovery.view_publisher import ViewPublisher
from knotwalk.edge.caller import Caller
from knotwalk.leases.actions import Grant, GrantTiming
from knotwalk.runtime.errors import PeerError
from knotwalk.runtime.http_client import HttpClient

ANSWERS = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
    b"HTTP/1.1 204 No Content\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}",
    b"HTTP/1.1 200 OK\r\nContent-Encoding: deflate\r\nContent-Length: 2\r\n\r\n{}",
)
GOOD = ANSWERS[0]
# The beginning of an answer behind a whole one, spoilt by a byte that is no text (review/6).
SPOILT = b"HTTP/1.1 200 OK\r\nContent-Type: application/\0"
TIMEOUT_S = 0.05  # an answer that comes later counts as none, which is as good an end as any
PAUSE_S = 0.002  # after which bytes arrive on an idle connection


@some.composite
def spoilt_bytes(draw):
    """An answer with some of its bytes cut off, replaced, inserted or doubled; or any bytes."""
    if draw(some.integers(0, 5)) == 0:
        return draw(some.binary(max_size=80))
    data = bytearray(draw(some.sampled_from(ANSWERS)))
    for _ in range(draw(some.integers(0, 3))):
        at = draw(some.integers(0, len(data)))
        match draw(some.integers(0, 3)):
            case 0:
                del data[at:]
            case 1:
                data[at : at + 1] = draw(some.binary(max_size=3))
            case 2:
                data[at:at] = draw(some.sampled_from((b"\0", b"\r", b"\n", b":", b"\xff", b"HTTP/1.1 ", b"\r\n\r\n")))
            case 3:
                data += data[:at]
    return bytes(data)


class Peer:
    """Answers the first request of a connection with `first`, then sends `late`; all further ones with GOOD."""

    def __init__(self, first, late=b""):
        self.first, self.late, self.asked = first, late, 0

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = head.lower().partition(b"content-length:")[2].partition(b"\r\n")[0]
                await reader.readexactly(int(length or 0))
                self.asked += 1
                writer.write(self.first if self.asked == 1 else GOOD)
                if self.asked == 1 and self.late:
                    await asyncio.sleep(PAUSE_S)
                    writer.write(self.late)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class PeerBytesTest(unittest.TestCase):
    """Guards against errors of a library that end the task of a call, so that its keys stay on their way for good."""

    def run_calls(self, call, peer, calls=3):
        """Make calls one after the other; each must end with an answer or a PeerError."""

        async def run():
            server = await asyncio.start_server(peer.serve, "127.0.0.1", 0)
            url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/x"
            ends = []
            client, send = call()
            for _ in range(calls):
                try:
                    async with asyncio.timeout(30.0):
                        ends.append(await send(url))
                except PeerError as error:
                    ends.append(error)
                await asyncio.sleep(2 * PAUSE_S)
            await client.close()
            server.close()
            return ends

        with asyncio.Runner() as runner:
            unhandled = []
            runner.get_loop().set_exception_handler(lambda loop, context: unhandled.append(context))
            ends = runner.run(run())
        # A transport's error is reported to the call; anything else that nobody handled is one of ours.
        self.assertEqual([c for c in unhandled if not isinstance(c.get("exception"), (OSError, PeerError))], [])
        return ends

    @staticmethod
    def nodes_client():
        client = HttpClient(reset_on_close=True, with_call_ids=False)
        return client, lambda url: client.send("POST", url, {"fence": 1}, TIMEOUT_S, "grant")

    @staticmethod
    def release_client():
        client = HttpClient(reset_on_close=True, with_call_ids=False)
        return client, lambda url: client.send("POST", url, {"fence": 1}, TIMEOUT_S, "release", None, True)

    @staticmethod
    def peers_client():
        client = HttpClient()
        return client, lambda url: client.json("POST", url, {}, TIMEOUT_S, "lease")

    @staticmethod
    def edges_client():
        client = Caller()
        return client, lambda url: client.json("POST", url, {}, TIMEOUT_S, "view")

    CLIENTS = ("nodes_client", "release_client", "peers_client", "edges_client")

    def test_a_spoilt_beginning_of_another_answer(self):
        for name in self.CLIENTS:
            for end in range(1, len(SPOILT) + 1):
                with self.subTest(name, end=end):
                    ends = self.run_calls(getattr(self, name), Peer(GOOD, SPOILT[:end]))
                    self.assertFalse(isinstance(ends[-1], PeerError) and isinstance(ends[-2], PeerError), ends)

    @settings(max_examples=150, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
    @given(some.sampled_from(CLIENTS), spoilt_bytes(), spoilt_bytes())
    def test_any_bytes(self, name, first, late):
        self.run_calls(getattr(self, name), Peer(first, late), calls=2)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(
        some.recursive(
            some.none() | some.booleans() | some.integers() | some.floats() | some.text(max_size=5),
            lambda inner: (
                some.lists(inner, max_size=3)
                | some.dictionaries(
                    some.sampled_from(("instances", "next_token", "address", "zone", "capacity", "state", "a")), inner
                )
            ),
            max_leaves=12,
        )
    )
    def test_any_page_of_the_list(self, page):
        try:
            NodeListing().add_page(1.0, page)
        except InvalidPageError:
            pass


class GrantCallTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a grant that is on its way for good, so that its keys are held by nobody (review/6)."""

    async def test_a_call_ends_whatever_its_task_raises(self):
        for error in (RuntimeError("injected"), KeyError("injected"), PeerError("grant", "n", "reset")):
            with self.subTest(error=type(error).__name__):
                client = SimpleNamespace(send=mock.AsyncMock(side_effect=error))
                manager = SliceManager(
                    "a", mock.Mock(), ViewPublisher("e"), LoadReports(), client, GrantTiming(), 1, mock.AsyncMock()
                )
                manager.grant_manager.on_call_ended = mock.Mock()
                grant = Grant("n", ("127.0.0.1", 1), 0, 31, 1, 4.8, None, "s", (0,), float("inf"))
                await manager._grant(grant)
                (_, call, status, _), _ = manager.grant_manager.on_call_ended.call_args
                self.assertEqual((call, status), (grant, None))
                manager.stop()


if __name__ == "__main__":
    unittest.main()
