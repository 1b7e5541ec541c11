"""An edge's client server against scripted nodes on loopback.

Requests read from clients: heads, bodies, pipelines, and what is refused unread.
Nothing sleeps: tests wait for what a scripted node has read or for an answer; deadlines are some tens of milliseconds.
"""

import asyncio
import unittest

from standins.jumps import Held
from standins.nodes import answer

from knotwalk.configuration.objects import Limits
from tests.standins.timing import bounded
from tests.system.edge_case import (
    PATIENCE,
    EdgeCase,
    within,
)


class ReadingCase(EdgeCase):
    """What is accepted as a request, the order of answers, and what is refused unread."""

    async def test_pipelined_in_order(self):
        """Later answers are ready first, and wait for their turn."""
        await self.begin()
        held = asyncio.Event()

        async def slow(r, w):
            await held.wait()
            return answer(r, b"slow")

        by_path = {"GET /i/0 HTTP/1.1": slow}
        for node in self.nodes:
            node.script = [lambda r, w: by_path.get(r.line, lambda r, w: answer(r, r.line.encode()))(r, w)] * 9
        client = await self.client()
        for at in range(5):
            client.ask(f"/i/{at}", f"id{at}")
        while self.runs() < 5:
            await asyncio.sleep(0)
        held.set()
        found = [await client.answer() for _ in range(5)]
        self.assertEqual([headers["attempt-id"] for _, headers, _ in found], [f"id{at}" for at in range(5)])
        self.assertEqual([body for _, _, body in found][1:], [b"GET /i/%d HTTP/1.1" % at for at in range(1, 5)])

    async def test_a_non_idempotent_request_waits_its_turn(self):
        """It does not run before all before it are answered, since their answers could still close the connection."""
        await self.begin()
        held = asyncio.Event()

        async def slow(r, w):
            await held.wait()
            return answer(r)

        self.nodes[0].script = [slow]
        client = await self.client()
        client.ask("/i/0", "one")
        client.ask("/n/1", "two", "POST", body=b"x")
        client.ask("/i/2", "three")
        await self.nodes[0].arrived.wait()
        for _ in range(50):
            await asyncio.sleep(0)
        self.assertNotIn("two", [r.attempt for r in self.nodes[0].seen])
        held.set()
        self.assertEqual([(await client.answer())[1]["attempt-id"] for _ in range(3)], ["one", "two", "three"])

    async def test_many_pipelined(self):
        await self.begin(capacity=100)
        client = await self.client()
        for at in range(500):
            client.ask(f"/i/{at}", f"id{at}")
        for at in range(500):
            self.assertEqual((await bounded(client.answer(), PATIENCE))[1]["attempt-id"], f"id{at}")
        (pool,) = self.client_server.forwarder.pools.values()
        self.assertLessEqual(len(pool.all), 16)

    async def test_smuggling(self):
        """A request that is ambiguous is refused, and nothing after it is read."""
        await self.begin(limits=Limits(max_header_bytes=2000, max_body_bytes=5000), now=Held(self.loop).now)
        start = b"POST /i/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n"
        bodies = {
            "two lengths": b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
            "the same length twice": b"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
            "a list of lengths": b"Content-Length: 3, 3\r\n\r\nabc",
            "a signed length": b"Content-Length: +3\r\n\r\nabc",
            "no number": b"Content-Length: x\r\n\r\n",
            "length and chunks": b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "chunks and length": b"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
            "chunks not last": b"Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
            "another coding": b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            "no coding": b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
            "chunks twice": b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "space before the colon": b"Content-Length : 3\r\n\r\nabc",
            "a fold": b"X: a\r\n b\r\n\r\n",
            "a bare line feed": b"X: a\nY: b\r\n\r\n",
            "a bare return": b"X: a\rY: b\r\n\r\n",
            "a zero byte": b"X: a\x00b\r\n\r\n",
            "no colon": b"X\r\n\r\n",
            "no name": b": x\r\n\r\n",
            "two hosts": b"Host: g\r\n\r\n",
            "two ids": b"Attempt-Id: b\r\n\r\n",
            "a chunk size with 0x": b"Transfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n",
            "a chunk size with a space": b"Transfer-Encoding: chunked\r\n\r\n3 \r\nabc\r\n0\r\n\r\n",
            "a negative chunk": b"Transfer-Encoding: chunked\r\n\r\n-3\r\nabc\r\n0\r\n\r\n",
            "a chunk too long": b"Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
            "a huge chunk": b"Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nabc\r\n0\r\n\r\n",
            "a chunk's bare line feed": b"Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n",
            "an upgrade": b"Connection: upgrade\r\nUpgrade: h2c\r\n\r\n",
        }
        wholes = {
            "HTTP/0.9": b"GET /i/\r\n\r\n",
            "HTTP/1.2": b"GET /i/ HTTP/1.2\r\nHost: h\r\nAttempt-Id: a\r\n\r\n",
            "HTTP/2.0": b"GET /i/ HTTP/2.0\r\nHost: h\r\nAttempt-Id: a\r\n\r\n",
            "no host": b"GET /i/ HTTP/1.1\r\nAttempt-Id: a\r\n\r\n",
            "no id": b"GET /i/ HTTP/1.1\r\nHost: h\r\n\r\n",
            "connect": b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n\r\n",
            "no path": b"GET i HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n\r\n",
            "a space in the path": b"GET /i/ x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n\r\n",
            "old with chunks": b"POST /i/ HTTP/1.0\r\nHost: h\r\nAttempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n",
            "a late first line": b"GET /i/ HTTP/1.1\nHost: h\nAttempt-Id: a\n\n",
        }
        cases = {name: (start + body, 400) for name, body in bodies.items()}
        cases |= {name: (whole, 400) for name, whole in wholes.items()}
        cases["a large head"] = (start + b"X: " + b"x" * 3000 + b"\r\n\r\n", 431)
        cases["a large head that does not end"] = (start + b"X: " + b"x" * 3000, 431)
        cases["many headers"] = (start + b"X: x\r\n" * 500 + b"\r\n", 431)
        cases["a large body"] = (start + b"Content-Length: 6000\r\n\r\n", 413)
        cases["large chunks"] = (
            start
            + b"Transfer-Encoding: chunked\r\n\r\n"
            + b"800\r\n"
            + b"x" * 2048
            + b"\r\n"
            + b"C00\r\n"
            + b"x" * 3072
            + b"\r\n",
            413,
        )
        smuggled = b"GET /i/smuggled HTTP/1.1\r\nHost: h\r\nAttempt-Id: b\r\n\r\n"
        for name, (data, status) in cases.items():
            for lead in (b"", b"GET /i/first HTTP/1.1\r\nHost: h\r\nAttempt-Id: f\r\n\r\n"):
                with self.subTest(name, lead=bool(lead)):
                    self.reset()
                    client = await self.client()
                    client.writer.write(lead + data + smuggled)
                    if lead:
                        found, headers, _ = await within(client.answer())
                        self.assertEqual((found, headers["attempt-id"]), (200, "f"))
                    found, headers, _ = await within(client.answer())
                    self.assertEqual((found, headers["connection"]), (status, "close"))
                    self.assertEqual(await within(client.rest()), b"")
                    client.close()
                    self.assertEqual([r.attempt for r in self.nodes[0].seen], ["f"] if lead else [])

    async def test_split_anywhere(self):
        """Two requests split in two at each byte are read as the same two requests."""
        await self.begin()
        data = (
            b"\r\nPOST /n/a HTTP/1.1\r\nHost: h\r\nAttempt-Id: one\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n0\r\n\r\nPUT /n/b HTTP/1.1\r\nHost: h\r\nAttempt-Id: two\r\nContent-Length: 2\r\n\r\nxy"
        )
        for at in range(1, len(data), 3):
            self.reset()
            client = await self.client()
            client.writer.write(data[:at])
            await asyncio.sleep(0)
            client.writer.write(data[at:])
            self.assertEqual([(await client.answer())[0] for _ in range(2)], [200, 200])
            self.assertEqual(
                [(r.line, r.body) for r in self.nodes[0].seen],
                [("POST /n/a HTTP/1.1", b"abc"), ("PUT /n/b HTTP/1.1", b"xy")],
            )
            client.close()

    async def test_no_route(self):
        await self.begin()
        client = await self.client()
        for at in range(3):
            client.ask("/none/", f"id{at}", "POST", body=b"abc")
            self.assertEqual((await client.answer())[0], 404)
        self.assertEqual(self.runs(), 0)

    async def test_slow_heads_slow_bodies_and_idle_connections_end(self):
        await self.begin(limits=Limits(header_timeout=3.0, idle_timeout=15.0))
        now = [self.client_server.clock()]
        self.client_server.clock = lambda: now[0]
        idle, head, body = [await self.client() for _ in range(3)]
        head.writer.write(b"GET /i/ HTTP/1.1\r\nHo")
        body.ask("/n/", method="POST", headers="Content-Length: 9\r\n")
        while sum(c.head_since is not None or c.reading is not None for c in self.client_server.clients) < 2:
            await asyncio.sleep(0)
        now[0] += 4.0
        for client in list(self.client_server.clients):
            client.check_timeouts(now[0])
        self.assertEqual((await head.answer())[0], 408)
        now[0] += 12.0
        for client in list(self.client_server.clients):
            client.check_timeouts(now[0])
        self.assertEqual(await idle.rest(), b"")
        self.assertEqual((await body.answer())[0], 408)
        self.assertEqual(self.runs(), 0)


if __name__ == "__main__":
    unittest.main()
