"""An edge's calls to a core on loopback: every way in which an answer fails to come, at each byte, and the call after
it."""

import asyncio
import json
import unittest
from unittest import mock

from knotwalk.edge.caller import Caller, CallState, Connection
from knotwalk.runtime.compression import compress
from knotwalk.runtime.errors import PeerError

WELL = b'HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{"a":1}'
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n{"a\r\n4\r\n":1}\r\n0\r\n\r\n'


class CallerCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.loop = asyncio.get_running_loop()
        self.loop.set_debug(False)
        self.errors, self.script, self.asked, self.writers = [], [], [], []
        self.loop.set_exception_handler(lambda loop, context: self.errors.append(context))
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.url = f"http://127.0.0.1:{self.server.sockets[0].getsockname()[1]}/cluster-view"
        self.caller = Caller()
        patched = mock.patch(
            "knotwalk.edge.caller.CONNECT_TIMEOUT_S", 60.0
        )  # a busy machine may stall a test for longer
        patched.start()
        self.addCleanup(patched.stop)

    async def asyncTearDown(self):
        self.server.close()
        await self.caller.close()
        for writer in self.writers:
            writer.close()
        for _ in range(3):
            await asyncio.sleep(0)
        self.assertEqual(self.errors, [])

    async def _serve(self, reader, writer):
        """Each call gets the next of the script: bytes, and whether the connection then ends."""
        self.writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                size = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
                self.asked.append((len(self.writers), head, await reader.readexactly(size)))
                data, ends = self.script.pop(0)
                writer.write(data)
                if ends:
                    writer.close()
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def call(self, *script, patience=5.0, url=None):
        self.script[:] = script
        return await self.caller.json("POST", url or self.url, {"edge": "e"}, patience, "cluster view")

    async def test_a_connection_is_kept_and_a_call_is_whole(self):
        for answer in (WELL, CHUNKED, WELL):
            self.assertEqual(await self.call((answer, False)), {"a": 1})
            self.assertEqual(json.loads(self.asked[-1][2]), {"edge": "e"})
        self.assertEqual({number for number, _, _ in self.asked}, {1})
        self.assertEqual(
            await self.call((WELL.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"), False)), {"a": 1}
        )
        self.assertEqual(await self.call((WELL, False)), {"a": 1})
        self.assertEqual(self.asked[-1][0], 2)

    async def test_an_answer_cut_at_each_byte_is_none_and_the_next_call_is_well(self):
        for answer in (WELL, CHUNKED):
            for point in range(len(answer)):
                with self.subTest(point=point), self.assertRaises(PeerError) as met:
                    await self.call((answer[:point], True))
                self.assertEqual((met.exception.step, met.exception.peer), ("cluster view", self.url))
                self.assertEqual(await self.call((WELL, False)), {"a": 1})

    async def test_a_packed_answer_is_unpacked_and_one_that_is_not_whole_is_none(self):
        """An edge's link of 2.5 Mbit/s took 0.4 s for each whole view, beside its clients' traffic."""
        large = {"a": ["x" * 10] * 1000}
        data = compress(json.dumps(large).encode(), "deflate")
        head = b"HTTP/1.1 200 OK\r\ncontent-encoding: deflate\r\nContent-Length: %d\r\n\r\n"
        self.assertEqual(await self.call((head % len(data) + data, False)), large)
        self.assertIn(b"Accept-Encoding: deflate", self.asked[-1][1])
        for bad in (data[:-1], data + b"x", b"", b'{"a":1}', data[:20] + b"!!" + data[22:]):
            with self.subTest(bad[-20:]), self.assertRaises(PeerError):
                await self.call((head % len(bad) + bad, False))
            self.assertEqual(await self.call((WELL, False)), {"a": 1})
        with mock.patch("knotwalk.edge.caller.MAX_ANSWER_BYTES", 5000), self.assertRaises(PeerError):
            await self.call((head % len(data) + data, False))

    async def test_what_is_no_answer_fails_the_call_and_ends_the_connection(self):
        bad = [
            b"nonsense\r\n\r\n",
            b"\0" * 40,
            WELL + WELL,
            WELL.replace(b"7", b"x"),
            WELL.replace(b"200 OK", b"100 Continue"),
            WELL.replace(b"{", b"["),
            WELL.replace(b"200 OK", b"503 No"),
            WELL.replace(b"200 OK", b"307 No"),
        ]
        for data in bad:
            with self.subTest(data), self.assertRaises(PeerError):
                await self.call((data, False))
                if data == WELL + WELL:  # the call itself has its answer; what belongs to none must reach no other
                    self.assertEqual(self.caller.connections, {})
                    raise PeerError("", "", "")
            self.assertEqual(await self.call((WELL, False)), {"a": 1})

    async def test_a_late_answer_is_never_the_next_calls(self):
        with self.assertRaises(PeerError) as met:
            await self.call((b"", False), patience=0.02)
        self.assertIn("no answer within", str(met.exception))
        before = len(self.asked)
        given_up = asyncio.ensure_future(self.call((b"", False)))
        while len(self.asked) == before:
            await asyncio.sleep(0)
        given_up.cancel()
        await asyncio.gather(given_up, return_exceptions=True)
        self.writers[-1].write(WELL.replace(b"1", b"9"))
        self.assertEqual(await self.call((WELL, False)), {"a": 1})

    async def test_bytes_and_ends_while_idle_cost_no_call(self):
        for disturb in (lambda writer: writer.write(WELL.replace(b"1", b"9")), lambda writer: writer.close()):
            await self.call((WELL, False))
            (kept,) = self.caller.connections.values()
            disturb(self.writers[-1])
            while kept.is_usable():
                await asyncio.sleep(0)
            self.assertEqual(await self.call((WELL, False)), {"a": 1})

    async def test_a_dark_machine_is_given_up_long_before_one_that_is_slow(self):
        """Of edges that start with all, each that asked a core still dark lost 0.85 s."""

        async def dark(*given):
            await asyncio.Event().wait()

        for allowed in (0.02, 0.04):  # and not so soon again, should it be there after all
            with (
                mock.patch.object(self.loop, "create_connection", dark),
                mock.patch("knotwalk.edge.caller.CONNECT_TIMEOUT_S", 0.01),
                self.assertRaises(PeerError) as met,
            ):
                await self.call(patience=60)
            self.assertIn(f"not connected within {allowed / 2:g} s", str(met.exception))
            self.assertEqual(list(self.caller.connect_timeouts.values()), [allowed])
        self.caller.connect_timeouts = dict.fromkeys(self.caller.connect_timeouts, 60.0)
        self.assertEqual(await self.call((WELL, False)), {"a": 1})
        self.assertEqual(self.caller.connect_timeouts, {})

    async def test_what_keeps_coming_is_waited_for_up_to_a_bound(self):
        """A large configuration on a slow link: given up in its midst, it began anew at each core and never came."""
        real, limits = asyncio.timeout, []
        for whole, wanted in ((1000.0, {"a": 1}), (-1.0, PeerError)):
            told, limits[:] = Connection(), []
            told.transport, caller = mock.Mock(), Caller()
            caller._connection = mock.AsyncMock(return_value=told)
            with (
                mock.patch("knotwalk.edge.caller.MAX_ANSWER_S", whole),
                mock.patch("asyncio.timeout", lambda seconds: limits.append(real(seconds)) or limits[-1]),
            ):
                call = asyncio.ensure_future(caller.json("POST", "http://127.0.0.1:9/cluster view", {}, 60))
                while told.state is not CallState.WAITING:
                    await asyncio.sleep(0)
            first = limits[0].when()
            told.data_received(WELL[:20])
            self.assertEqual(limits[0].when() > first, whole > 0)
            if whole < 0:
                with self.assertRaises(wanted):
                    await call
                continue
            told.data_received(WELL[20:])
            self.assertEqual(await call, wanted)

    async def test_nobody_listens(self):
        self.server.close()
        await self.server.wait_closed()
        with self.assertRaises(PeerError) as met:
            await self.call()
        self.assertIn("ConnectionRefused", str(met.exception))


if __name__ == "__main__":
    unittest.main()
