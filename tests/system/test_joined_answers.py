"""A further answer that is cut off, and the next request's answer right behind it: never read as one answer."""

import asyncio
import socket
import unittest

from knotwalk.admission.outcome import TryOutcome
from knotwalk.discovery.view_types import Node
from knotwalk.edge.caller import Caller
from knotwalk.edge.node_connection import Connection
from knotwalk.runtime.errors import PeerError
from knotwalk.runtime.http_client import HttpClient
from tests.system.test_peer_bytes import Peer

REASONS = {200: "OK", 204: "No Content", 304: "Not Modified", 409: "Conflict", 500: "Internal Server Error", 503: "X"}
# Where the id stands among the headers of an answer, which is what a joined head is recognized by if at all.
ID_PLACES = (0, 3)


def answer(status, attempt, id_place=0, framing="length", not_executed=False):
    """An answer of a node as bytes; its body names the status and the attempt."""
    body = b"" if status in (204, 304) else f"{status} {attempt}".encode()
    headers = [b"Server-Seal: s", b"Server-Load: 1,0,4", b"X-More: y"]
    if not_executed:
        headers[0] = b"Not-Executed: 1"
    headers.insert(id_place, b"Attempt-Id: " + attempt.encode())
    if framing == "length" and status not in (204, 304):
        headers.append(b"Content-Length: %d" % len(body))
    elif framing == "chunks" and status not in (204, 304):
        headers.append(b"Transfer-Encoding: chunked")
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    head = f"HTTP/1.1 {status} {REASONS[status]}\r\n".encode() + b"\r\n".join(headers)
    return head + b"\r\n\r\n" + body


class WrittenTransport(asyncio.Transport):
    """A transport that takes everything."""

    def __init__(self, sock):
        super().__init__({"socket": sock})
        self.is_closed = False

    def write(self, data):
        pass

    def is_closing(self):
        return self.is_closed

    def is_reading(self):
        return True

    def get_write_buffer_size(self):
        return 0

    def abort(self):
        self.is_closed = True


class NodeWire:
    """A connection of an edge to a node, whose answers are fed to it as bytes."""

    sock = socket.socketpair()[0]  # for its descriptor only

    def __init__(self):
        self.connection = Connection(Node("n", "s", ("a", 1), "z", 4), lambda: 0.0, lambda connection: None)
        self.connection.connection_made(WrittenTransport(self.sock))

    def exchange(self, attempt, method, *pieces):
        """Send a request and feed pieces of bytes; the answer, None if there is none yet."""
        waiter = self.connection.send(b"", b"", attempt.encode(), method, True)
        for piece in pieces:
            self.connection.data_received(piece)
        return waiter.result() if waiter.done() else None


COPIES = [
    answer(status, "first", place, framing, not_executed)
    for status, framing, not_executed in (
        (200, "length", False),
        (200, "chunks", False),
        (204, "", False),
        (304, "", False),
        (409, "length", False),
        (500, "length", False),
        (503, "length", True),
    )
    for place in ID_PLACES
]
REAL = [
    (status, answer(status, "second", place, framing, not_executed))
    for status, framing, not_executed in (
        (200, "length", False),
        (200, "chunks", False),
        (204, "", False),
        (500, "length", False),
        (503, "length", True),
    )
    for place in ID_PLACES
]


class NodeAnswersTest(unittest.IsolatedAsyncioTestCase):
    """Guards against an answer that is joined of two (review/5, MIXED)."""

    async def joined(self, method, feed):
        """Each cut of each copy before each real answer: the tries whose answer isn't the real one or LOST."""
        wrong, answered = [], 0
        for first in COPIES:
            for status, real in REAL:
                for end in range(1, len(first) + 1):
                    wire = NodeWire()
                    before = wire.exchange("first", method, first)
                    if before is None or wire.connection.phase.value != "idle":
                        break  # such a connection carries no second request
                    found = wire.exchange("second", method, *feed(first[:end], real))
                    if found is None or found.outcome is TryOutcome.LOST:
                        continue
                    answered += 1
                    body = b"" if status == 204 else f"{status} second".encode()
                    if (found.status, found.body) != (status, body):
                        wrong.append((first[:end], status, found.status, found.outcome))
        return wrong, answered

    async def test_a_cut_copy_right_before_the_next_answer(self):
        wrong, answered = await self.joined(b"GET", lambda copy, real: [copy + real])
        self.assertEqual(wrong, [])
        self.assertGreater(answered, 0)  # whole copies are skipped, and the real answer is read

    async def test_a_cut_copy_and_the_next_answer_in_pieces(self):
        wrong, answered = await self.joined(b"GET", lambda copy, real: [copy, real[:11], real[11:]])
        self.assertEqual(wrong, [])
        self.assertGreater(answered, 0)

    async def test_a_head_that_names_a_protocol_is_read(self):
        for header in (b"Via: HTTP/1.1 proxy", b"Upgrade: HTTP/2.0", b"X-Note: see HTTP/1.1, page 200"):
            with self.subTest(header):
                wire = NodeWire()
                real = answer(200, "first").replace(b"X-More: y", header)
                self.assertEqual(wire.exchange("first", b"GET", real).status, 200)


class CallsTest(unittest.IsolatedAsyncioTestCase):
    """The same for calls to nodes and cores: a cut 200 before a refusal must not read as taken."""

    GRANTED = b"HTTP/1.1 200 OK\r\nServer: s\r\nContent-Length: 2\r\n\r\n{}"
    REFUSED = b"HTTP/1.1 409 Conflict\r\nServer: s\r\nContent-Length: 2\r\n\r\n{}"

    async def statuses(self, make, cut):
        """What a first and a second call get, where the second answer has a cut copy of the first before it."""

        answers = (self.GRANTED, self.GRANTED[:cut] + self.REFUSED)

        class Cut(Peer):
            async def serve(self, reader, writer):
                for data in answers:
                    head = await reader.readuntil(b"\r\n\r\n")
                    length = head.lower().partition(b"content-length:")[2].partition(b"\r\n")[0]
                    await reader.readexactly(int(length or 0))
                    writer.write(data)
                await reader.read()
                writer.close()

        server = await asyncio.start_server(Cut(b"").serve, "127.0.0.1", 0)
        client = make()
        found = []
        url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/grant"
        for _ in range(2):
            try:
                if isinstance(client, Caller):
                    await client.json("POST", url, {}, 0.3)
                    found.append(200)
                else:
                    found.append((await client.send("POST", url, {}, 0.3))[0])
            except PeerError:
                found.append(None)
        await client.close()
        server.close()
        return found

    async def test_a_cut_200_before_a_409(self):
        clients = {"nodes": lambda: HttpClient(True, with_call_ids=False), "cores": HttpClient, "edges": Caller}
        for name, make in clients.items():
            for cut in range(1, self.GRANTED.index(b"Content-Length")):
                with self.subTest(client=name, cut=cut):
                    first, second = await self.statuses(make, cut)
                    self.assertEqual(first, 200)
                    self.assertNotEqual(second, 200)


if __name__ == "__main__":
    unittest.main()
