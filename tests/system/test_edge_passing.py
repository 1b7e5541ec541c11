"""An edge's client server against scripted nodes on loopback.

Forwarding of bodies and answers, and nodes that misbehave at each point of an exchange.
Nothing sleeps: tests wait for what a scripted node has read or for an answer; deadlines are some tens of milliseconds.
"""

import asyncio
import random
import unittest

from standins.jumps import Held
from standins.nodes import ELSEWHERE, SHED, answer, client_server, view

from knotwalk.edge.choose import stats_of
from tests.standins.timing import bounded
from tests.system.edge_case import (
    BOTH,
    CUT,
    PATIENCE,
    EdgeCase,
    chunked,
    cut,
    late_extra,
    within,
)


class PassingCase(EdgeCase):
    """What is forwarded to nodes and what is passed back to clients."""

    async def test_request_unchanged(self):
        await self.begin()
        client = await self.client()
        client.ask(
            "/n/a%20b/../c?q=%41&r",
            "id-1",
            "PUT",
            body=b"x" * 999,
            deadline=3000,
            headers=(
                "X-One: a\r\nX-One: b\r\nConnection: x-hop, attempt-id\r\nX-Hop: h\r\nKeep-Alive: timeout=2\r\n"
                "TE: trailers\r\nTarget-Instance: i-9\r\nAccept-Encoding: identity\r\n"
            ),
        )
        await client.answer()
        (request,) = self.nodes[0].seen
        self.assertEqual(request.line, "PUT /n/a%20b/../c?q=%41&r HTTP/1.1")
        self.assertEqual(request.body, b"x" * 999)
        self.assertEqual(
            set(request.headers),
            {"host", "attempt-id", "deadline-ms", "target-instance", "x-one", "accept-encoding", "content-length"},
        )
        self.assertEqual(request.headers["target-instance"], "i-0")
        self.assertTrue(2900 <= int(request.headers["deadline-ms"]) <= 3000)

    async def test_answer_unchanged(self):
        await self.begin()
        self.nodes[0].script = [
            lambda r, w: answer(
                r,
                b"\x00\xff" * 20,
                extra=(
                    "X-A: 1\r\nX-A: 2\r\nConnection: x-hop, server-seal\r\nX-Hop: h\r\nKeep-Alive: timeout=9\r\n"
                    "Content-Encoding: odd\r\n"
                ),
            )
        ]
        client = await self.client()
        client.ask()
        head = await client.reader.readuntil(b"\r\n\r\n")
        self.assertEqual(
            head,
            b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Seal: s\r\nX-A: 1\r\nX-A: 2\r\n"
            b"Content-Encoding: odd\r\nContent-Length: 40\r\nKeep-Alive: timeout=14\r\n\r\n",
        )
        self.assertEqual(await client.reader.readexactly(40), b"\x00\xff" * 20)

    async def test_chunks_either_way(self):
        await self.begin()
        self.nodes[0].script = [lambda r, w: chunked(r, b"one", b"two" * 100)]
        client = await self.client()
        client.ask("/n/", method="POST", headers="Transfer-Encoding: chunked\r\n")
        client.writer.write(b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: t\r\n\r\n")
        self.assertEqual((await client.answer())[2], b"one" + b"two" * 100)
        self.assertEqual(self.nodes[0].seen[0].body, b"abcde")

    async def test_large_bodies_stream_either_way(self):
        await self.begin()
        size = 3_000_000
        data = bytes(range(256)) * (size // 256)
        for head, framed in (("", True), ("Transfer-Encoding: chunked\r\n", False)):
            for by_length in (True, False):
                self.reset(lambda r, w: answer(r, r.body) if by_length else chunked(r, r.body[:99999], r.body[99999:]))
                client = await self.client()
                if framed:
                    client.ask("/n/", method="POST", body=data)
                else:
                    client.ask("/n/", method="POST", headers=head)
                    client.writer.write(
                        b"".join(
                            b"%x\r\n%b\r\n" % (len(data[a : a + 70000]), data[a : a + 70000])
                            for a in range(0, len(data), 70000)
                        )
                        + b"0\r\n\r\n"
                    )
                status, _, body = await bounded(client.answer(), PATIENCE)
                self.assertEqual((status, body == data, self.nodes[0].seen[0].body == data), (200, True, True))
                client.ask("/n/", "next")
                self.reset()
                self.assertEqual((await client.answer())[0], 200)

    async def test_a_client_that_does_not_read_pauses_the_node(self):
        """While the client does not read, only some hundred kilobytes are read from the node."""
        await self.begin()
        size, sent = 60_000_000, 0

        async def pour(r, w):
            nonlocal sent
            w.transport.set_write_buffer_limits(65536)
            w.write(
                f"HTTP/1.1 200 OK\r\nAttempt-Id: {r.attempt}\r\nServer-Seal: s\r\n"
                f"Content-Length: {size}\r\n\r\n".encode()
            )
            piece = bytes(100_000)
            while sent < size:
                w.write(piece)
                sent += len(piece)
                await w.drain()

        self.nodes[0].script = [pour]
        client = await self.client()
        client.reader._limit = 1000
        client.ask()
        before = -1
        while before != sent or not sent:  # until the node is stuck for 50 iterations of the event loop
            before = sent
            for _ in range(50):
                await asyncio.sleep(0)
        self.assertLess(sent, 25_000_000)  # mostly buffers of the kernel
        held = [c.transport.get_write_buffer_size() for c in self.client_server.clients]
        self.assertLess(max(held), 600_000)
        client.reader._limit = 1 << 22
        await client.reader.readuntil(b"\r\n\r\n")
        got = 0
        while got < size:
            got += len(await client.reader.read(1 << 20))
        self.assertEqual(got, size)

    async def test_large_answers_in_order(self):
        """Large answers that were ready long before their turn, and small ones between them."""
        await self.begin(capacity=50)
        size = {"GET /i/0 HTTP/1.1": 90_000, "GET /i/2 HTTP/1.1": 70_000, "GET /i/3 HTTP/1.1": 300_000}
        held = asyncio.Event()

        async def act(r, w):
            if r.attempt == "id0":
                await held.wait()
            data = r.attempt.encode() * (size.get(r.line, 30) // 3)
            return answer(r, data) if r.attempt != "id2" else chunked(r, data)

        self.nodes[0].script = [act] * 6
        client = await self.client()
        for at in range(6):
            client.ask(f"/i/{at}", f"id{at}")
        while self.runs() < 6:
            await asyncio.sleep(0)
        for _ in range(50):
            await asyncio.sleep(0)
        held.set()
        for at in range(6):
            status, headers, body = await bounded(client.answer(), PATIENCE)
            self.assertEqual(
                (status, headers["attempt-id"], set(body[a : a + 3] for a in range(0, len(body), 3))),
                (200, f"id{at}", {b"id%d" % at}),
            )

    async def test_a_truncated_answer_is_recognizable(self):
        """A streamed answer that ends early closes the client's connection before the answer is complete."""
        await self.begin()
        big = bytes(200_000)
        whole = lambda r: answer(r, big)  # noqa: E731
        in_chunks = lambda r: chunked(r, big, big, end=b"")  # noqa: E731
        for data in (lambda r: whole(r)[:-10], in_chunks):
            for prefix, _ in BOTH:
                self.reset(cut(data))
                client = await self.client()
                client.ask(prefix)
                with self.assertRaises(CUT):
                    await bounded(client.answer(), PATIENCE)
                self.assertEqual(self.runs(), 1)
        self.reset(cut(in_chunks))
        client = await self.client()
        client.writer.write(b"GET /i/ HTTP/1.0\r\nHost: h\r\nAttempt-Id: q\r\n\r\n")
        with self.assertRaises(
            ConnectionResetError
        ):  # the end of the connection ends it: only a reset shows that it is truncated
            while await client.reader.read(1 << 20):
                pass

    async def test_head_and_old_clients(self):
        await self.begin()
        client = await self.client()
        self.nodes[0].script = [lambda r, w: answer(r)[:-5]]
        client.ask(method="HEAD")
        status, headers, _ = await client.answer(bodiless=True)
        self.assertEqual((status, headers["content-length"]), (200, "5"))
        client.writer.write(b"GET /i/ HTTP/1.0\r\nHost: h\r\nAttempt-Id: q\r\nConnection: keep-alive\r\n\r\n")
        self.assertEqual((await client.answer())[1]["connection"], "keep-alive")
        client.writer.write(b"GET /i/ HTTP/1.0\r\nHost: h\r\nAttempt-Id: q\r\n\r\n")
        self.assertEqual((await client.answer())[1]["connection"], "close")
        self.assertEqual(await client.rest(), b"")

    async def test_expect(self):
        await self.begin()
        client = await self.client()
        client.ask("/n/", method="POST", headers="Expect: 100-continue\r\nContent-Length: 3\r\n")
        self.assertEqual(await client.reader.readuntil(b"\r\n\r\n"), b"HTTP/1.1 100 Continue\r\n\r\n")
        client.writer.write(b"abc")
        self.assertEqual((await client.answer())[0], 200)
        client.ask("/none/", method="POST", headers="Expect: 100-continue\r\nContent-Length: 3\r\n")
        self.assertEqual((await client.answer())[0], 404)
        self.assertEqual(await client.rest(), b"")


class MishapsCase(EdgeCase):
    """Nodes that misbehave at random while clients pipeline requests: the rules hold for each request."""

    def act(self, rng):
        """What a node does with one request, and whether that counts as a run."""
        body = lambda r: f"body of {r.attempt}".encode()  # noqa: E731
        return rng.choice(
            [
                (lambda r, w: answer(r, body(r), extra="Keep-Alive: timeout=9\r\n"), True),
                (lambda r, w: answer(r, body(r), extra="Keep-Alive: timeout=9\r\n"), True),
                (lambda r, w: answer(r, body(r), extra="Keep-Alive: timeout=9\r\n"), True),
                (lambda r, w: chunked(r, body(r)[:3], body(r)[3:]), True),
                (lambda r, w: answer(r, body(r)) + answer(r, b"once more"), True),
                (lambda r, w: answer(r, body(r), extra="Connection: close\r\n"), True),
                (lambda r, w: answer(r, b"another's", id="other"), True),
                (lambda r, w: answer(r, b"trouble", status="500 X", seal=False), True),
                (lambda r, w: answer(r, b"no seal", seal=False), True),
                (cut(lambda r: answer(r, body(r))[:-3]), True),
                (cut(b""), True),
                (None, True),
                (lambda r, w: b"\xff\xfe no answer", True),
                (late_extra(body), True),
                (late_extra(body), True),
                (lambda r, w: answer(r, status="503 X", seal=False, extra="Not-Executed: 1\r\n"), False),
                (lambda r, w: SHED, False),
                (lambda r, w: ELSEWHERE, False),
            ]
        )

    async def test_mishaps(self):
        self.now = Held(self.loop).now
        for seed in range(6):
            await self.mishaps(random.Random(seed))

    async def mishaps(self, rng):
        self.client_server = await client_server(view([node.node(capacity=50) for node in self.nodes]), now=self.now)
        ran = []  # ids, in the order in which nodes started them
        for node in self.nodes:
            node.seen.clear()
            acts = [self.act(rng) for _ in range(400)]

            def noting(act, runs):
                def do(r, w):
                    if runs:
                        ran.append(r.attempt)
                    if act is None:
                        w.transport.abort()
                        return None
                    return act(r, w)

                return do

            node.script = [noting(*act) for act in acts]
        found = {}

        async def one_client(name):
            client = await self.client()
            sent, got = [], 0
            for at in range(25):
                prefix = rng.choice(("/i/", "/n/"))
                id = f"{name}.{at}{prefix[1]}"
                client.ask(prefix + id, id, "POST", body=id.encode() * rng.randrange(3), deadline=3000)
                sent.append(id)
                while got < len(sent) and (prefix == "/n/" or rng.random() < 0.6):
                    status, headers, body = await within(client.answer())
                    self.assertEqual(headers["attempt-id"], sent[got])
                    found[sent[got]] = status, body
                    got += 1
            while got < len(sent):
                status, headers, body = await within(client.answer())
                self.assertEqual(headers["attempt-id"], sent[got])
                found[sent[got]] = status, body
                got += 1

        await asyncio.gather(*(one_client(name) for name in range(4)))
        for id, (status, body) in found.items():
            if status == 200:
                self.assertEqual(body, f"body of {id}".encode())
            if id.endswith("n"):
                self.assertLessEqual(ran.count(id), 1, id)
                if status == 503:
                    self.assertNotIn(id, ran)
            self.assertIn(status, (200, 500, 502, 503))
            self.assertLessEqual(sum(r.attempt == id for node in self.nodes for r in node.seen), 2)
        self.assertGreater(sum(status == 200 for status, _ in found.values()), 40)
        self.assertEqual(self.client_server.open_requests, 0)
        self.assertEqual({stats_of(node).in_flight for node in self.client_server.view.nodes.values()}, {0})
        for node in self.nodes:
            for r in node.seen:
                self.assertEqual(r.line.split(" ")[1].rpartition("/")[2], r.attempt)
        self.client_server.drain()
        await self.client_server.finished(0)
        self.client_server._sweep.cancel()


if __name__ == "__main__":
    unittest.main()
