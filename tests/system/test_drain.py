"""What an edge still takes after SIGTERM, by each way a request can arrive and each way it can be at work.

Guards against the failure of review/3: an edge passed requests on until its end, and cut those that were still at work.
Time stands still until the test moves it on; the end of the process is played by resetting all connections.
"""

import asyncio
import socket
import unittest
from unittest import mock

from standins.nodes import RawClient

from knotwalk.discovery.view_types import Assignment
from knotwalk.edge.connection_pool import Pool
from knotwalk.runtime.errors import PeerError
from tests.system.edge_case import chunked, turns
from tests.system.held_edge import LARGE_BODY, LONG_S, SHORT_S, STEP_S, TURNS, HeldEdgeCase, final_answer
from tests.system.operations_case import OperationsCase

GRACE_S = 6.0
EXCUSED_SENT_BY_S = 3.0  # LOST: a request sent later than this after the SIGTERM is never excused
EXCUSED_WORK_FROM_S = GRACE_S * 5 / 6  # LOST: nor one whose node is not at work any more in the last sixth


class DrainCase(HeldEdgeCase):
    """Plays drains, which begin with the play, and judges them by the rules LOST and REFUSED."""

    async def prepare(self, **fields):
        await super().prepare(timing_bounds={"grace_period": f"{GRACE_S:g}s"}, **fields)

    async def keep_busy(self, work_s):
        """Have another client's request at work until the end, so that the drain lasts; later ones take `work_s`."""
        self.nodes[0].work_s = 30.0
        self.request(await self.client(), "/n/")
        await turns(TURNS)
        self.nodes[0].work_s = work_s

    async def drain(self, events=()):
        """SIGTERM, then `events` (time, call) in their order, then the end of the process."""
        await self.until(0.0)
        ends_at = self.client_server.drain()
        ending = asyncio.ensure_future(self.client_server.finished(ends_at))
        await turns(TURNS)
        for at, event in sorted(events, key=lambda pair: pair[0]):
            await self.until(at)
            event()
            await turns(TURNS)
            self.note_ends()
        while not ending.done():
            await self.until(self.play.now + STEP_S)
            self.note_ends()
        self.client_server.answer_the_rest()
        await turns(TURNS)
        for client in list(self.client_server.clients):
            client.transport.abort()
        await turns(TURNS)
        self.assertLess(self.play.now, GRACE_S)
        self.note_ends()

    def broken(self):
        """A line for each request that breaks LOST or REFUSED; an edge's own 502 in place of an answer is a loss."""
        ran = {request.attempt for node in self.nodes for request in node.seen}
        lines = []
        for sent in self.play.sent:
            exchange = self.play.read.get(sent.attempt)
            was_read = exchange is not None and exchange.body_complete
            until = self.nodes[0].until.get(sent.attempt, 0.0) - self.play.began_at
            excused = sent.sent_at <= EXCUSED_SENT_BY_S and until >= EXCUSED_WORK_FROM_S
            excused = excused or (GRACE_S if sent.ended_at is None else sent.ended_at) >= sent.deadline_at
            if sent.outcome == "503" and sent.attempt in ran:
                lines.append(f"REFUSED {sent.attempt}")
            elif sent.outcome in ("no answer", "502") and was_read and not excused:
                lines.append(f"LOST {sent.attempt}: sent {sent.sent_at:+.2f}, {sent.outcome}")
        return lines


def kept_connection(at):
    """Sent on an open connection, `at` seconds after the SIGTERM."""

    async def arrive(case, prefix, deadline_s):
        client = await case.client()
        await turns(TURNS)
        return [(at, lambda: case.request(client, prefix, deadline_s))]

    return arrive


def in_parts(size, part, first_at, rest_at, headers=""):
    """Sent in two parts at two times; a large one reaches the node before it is complete."""

    async def arrive(case, prefix, deadline_s):
        client = await case.client()
        await turns(TURNS)
        body, rest = b"b" * size, []

        def begin():
            rest.append(case.request(client, prefix, deadline_s, body, headers, part))

        def finish():
            sent, data = rest[0]
            client.writer.write(data)
            sent.sent_at = case.play.now

        return [(first_at, begin), (rest_at, finish)]

    return arrive


class ArrivalTest(DrainCase):
    """Each way in which a request can arrive, over work of any length and deadlines of both kinds."""

    async def before(self, prefix, deadline_s):
        """Read before the SIGTERM."""
        client = await self.client()
        await turns(TURNS)
        self.request(client, prefix, deadline_s)
        return []

    async def in_the_queue(self, prefix, deadline_s):
        """Its connection waits to be accepted when the SIGTERM comes."""
        await self.until(0.0)
        sock = socket.create_connection(("127.0.0.1", self.client_server.port))
        client = RawClient(*await asyncio.open_connection(sock=sock))
        self.clients.append(client)
        self.request(client, prefix, deadline_s)
        return []

    async def behind_another(self, prefix, deadline_s):
        """In the pipeline of a connection whose first request is at work."""
        client = await self.client()
        await turns(TURNS)
        sent, _ = self.request(client, "/i/", deadline_s)

        def follow():
            first = sent.reply
            follower, _ = self.request(client, prefix, deadline_s)
            follower.reply.cancel()

            async def second():
                await asyncio.wait([first])
                return await final_answer(client) if first.result() else 0

            follower.reply = asyncio.ensure_future(second())

        return [(1.0, follow)]

    ARRIVALS = {
        "read before": before,
        "kept, early": kept_connection(1.0),
        "kept, at the end of offers": kept_connection(2.4),
        "kept, after three seconds": kept_connection(3.1),
        "kept, late": kept_connection(4.5),
        "kept, last": kept_connection(5.4),
        "in the accept queue": in_the_queue,
        "behind another": behind_another,
        "small, in parts": in_parts(1000, 500, 2.0, 4.0),
        "small, in parts, late": in_parts(1000, 500, 3.5, 4.5),
        "large, in parts": in_parts(LARGE_BODY, 100_000, 2.0, 4.0),
        "large, in parts, late": in_parts(LARGE_BODY, 100_000, 3.5, 4.5),
        "expects 100": in_parts(1000, 0, 2.0, 4.0, "Expect: 100-continue\r\n"),
    }

    async def test_each_arrival_is_answered_or_not_passed_on(self):
        for name, arrive in self.ARRIVALS.items():
            for prefix in ("/ki/", "/n/"):
                for deadline_s in (LONG_S, SHORT_S):
                    for work_s in (0.1, 1.2, 30.0):
                        with self.subTest(name, prefix=prefix, deadline_s=deadline_s, work_s=work_s):
                            await self.prepare()
                            await self.keep_busy(work_s)
                            await self.drain(await arrive(self, prefix, deadline_s))
                            self.assertEqual(self.broken(), [])

    async def test_early_requests_and_short_ones_are_still_served(self):
        """The drain refuses no more than it must: any request for a while, and later ones that end in time."""
        for at, deadline_s, status in (
            (1.0, LONG_S, "200"),
            (2.0, LONG_S, "200"),
            (3.5, SHORT_S, "200"),
            (3.5, LONG_S, "503"),
            (5.0, SHORT_S, "503"),
        ):
            with self.subTest(at=at, deadline_s=deadline_s):
                await self.prepare()
                await self.keep_busy(0.1)
                client = await self.client()
                await turns(TURNS)
                begin, finish = self.head_in_parts(client, deadline_s)
                await self.drain([(min(at, 2.25), begin), (at, finish)])
                self.assertEqual(self.play.sent[1].outcome, status)
                self.assertEqual(self.broken(), [])

    def head_in_parts(self, client, deadline_s):
        """Calls that send the first and the last part of a request: a connection on which one begins is in use."""

        def finish():
            rest = f"TP/1.1\r\nHost: h\r\nAttempt-Id: late\r\nDeadline-Ms: {deadline_s * 1000:g}\r\n\r\n"
            client.writer.write(rest.encode())
            self.expect(client, "late", deadline_s)

        return (lambda: client.writer.write(b"GET /n/ HT")), finish


class WorkTest(DrainCase):
    """Each way in which a request can be at work when the drain passes by it."""

    def without_owner(self):
        """No node may run it: its key changes hands."""
        owners = self.view.assignments["k"]
        owners.by_slice = [Assignment() for _ in owners.by_slice]

    def without_descriptor(self):
        """It waits for a descriptor."""
        self.client_server.forwarder.connection_slots.max_open = 0

    def connecting(self):
        """Its node doesn't answer the connection."""

        async def silent(pool, timeout):
            await asyncio.sleep(timeout)
            raise PeerError("connect to a node", pool.node.id, "no answer in time")

        patched = mock.patch.object(Pool, "open", silent)
        patched.start()
        self.addCleanup(patched.stop)

    def turned_away(self):
        """Its first node turns it away."""
        self.nodes[0].sheds_first = True

    def streamed_answer(self):
        """Its answer is streamed."""
        self.nodes[0].large = True

    def at_work(self):
        """A node works on it."""

    WORKS = (without_owner, without_descriptor, connecting, turned_away, streamed_answer, at_work)

    async def test_each_way_of_being_at_work_ends_with_an_answer(self):
        for work in self.WORKS:
            for prefix in ("/ki/", "/kn/"):
                for at in (-0.25, 1.0, 2.25, 3.1, 4.5):
                    for deadline_s in (LONG_S, SHORT_S):
                        with self.subTest(work.__name__, prefix=prefix, at=at, deadline_s=deadline_s):
                            await self.prepare()
                            await self.keep_busy(1.2)
                            work(self)
                            client = await self.client()
                            await turns(TURNS)
                            send = lambda c=client, p=prefix, d=deadline_s: self.request(c, p, d)  # noqa: E731
                            if at < 0:
                                send()
                                await turns(TURNS)
                            await self.drain([(at, send)] if at >= 0 else [])
                            self.assertEqual(self.broken(), [])
                            mock.patch.stopall()

    async def test_an_answer_behind_one_that_is_still_at_work_is_written_at_the_end(self):
        """The later request of a pipeline has its answer; it was lost together with the first one."""
        await self.prepare()
        self.nodes[0].work_s = 30.0
        client = await self.client()
        self.request(client, "/i/")
        await self.until(0.0)
        self.nodes[0].work_s = 0.1
        client.ask("/i/", "a1", deadline=60_000)
        await self.drain()
        self.assertEqual([sent.outcome for sent in self.play.sent], ["502"])
        status, headers, _ = await client.answer()
        self.assertEqual((status, headers["attempt-id"]), (200, "a1"))

    async def test_an_answer_without_a_length_that_is_cut_does_not_look_complete(self):
        """To a client of HTTP/1.0 the end of the connection is the end of the answer: it must be a reset."""
        await self.prepare()

        async def endless(request, writer):
            writer.write(chunked(request, b"x" * LARGE_BODY, end=b""))

        self.nodes[0].work = endless
        client = await self.client()
        client.writer.write(b"GET /n/ HTTP/1.0\r\nHost: h\r\nAttempt-Id: a0\r\nDeadline-Ms: 60000\r\n\r\n")
        await turns(TURNS)
        self.assertIn(b"200 OK", await client.reader.readuntil(b"\r\n\r\n"))
        await self.drain()
        with self.assertRaises(ConnectionError):
            await client.reader.read()

    async def test_nothing_is_passed_on_between_the_last_answer_and_the_end_of_the_process(self):
        """An edge that has answered everything reports to cores for a while; what arrived then was passed on."""
        await self.prepare()
        client = await self.client()
        await self.until(0.0)
        await self.client_server.finished(self.client_server.drain())
        await turns(TURNS)
        self.request(client, "/n/")
        await turns(TURNS)
        self.client_server.answer_the_rest()
        self.assertEqual((self.play.read, [r.line for r in self.nodes[0].seen if r.attempt]), ({}, []))

    async def test_a_request_that_is_unread_when_everything_is_answered_is_not_passed_on_and_cut(self):
        """It has reached the socket and not the event loop: served while there is time, else left for another edge."""
        for seconds_left, status in ((5.5, 200), (0.0, 0)):
            with self.subTest(seconds_left=seconds_left):
                await self.prepare()
                self.nodes[0].work_s = 0.1
                client = await self.client()
                await self.until(0.0)
                self.client_server.drain()
                request = b"GET /n/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: a0\r\nDeadline-Ms: 60000\r\n\r\n"
                client.writer.get_extra_info("socket")._sock.send(request)
                sent = self.expect(client, "a0", LONG_S)
                ending = asyncio.ensure_future(self.client_server.finished(self.held.moment + seconds_left))
                await turns(TURNS)  # no time passes: this edge has nothing to wait for but that request
                if not ending.done():
                    await self.until(1.0)
                    await turns(TURNS)
                self.assertTrue(ending.done())
                self.client_server.answer_the_rest()
                for connection in list(self.client_server.clients):
                    connection.transport.abort()
                await turns(TURNS)
                self.assertEqual(await sent.reply, status)
                self.assertEqual([r.attempt for r in self.nodes[0].seen if r.attempt], ["a0"] if status else [])

    async def test_a_connection_that_is_not_in_use_is_closed_when_offers_end(self):
        await self.prepare()
        await self.keep_busy(0.1)
        quiet = await self.client()
        await turns(TURNS)
        await self.drain([(3.0, lambda: self.assertTrue(quiet.reader.at_eof()))])
        self.assertEqual(self.play.sent[0].outcome, "502")
        self.assertEqual(self.broken(), [])


class AdmissionTest(OperationsCase):
    """Requests that wait for cores, or for the same operation that runs elsewhere, when the drain ends."""

    async def test_what_waits_for_a_core_or_a_first_run_is_refused_and_never_runs(self):
        await self.begin(aim=60.0)
        edge = self.edges[0]
        go = self.holding()
        first = await self.send("first", edge=1, deadline=60_000)
        await self.nodes[0].arrived.wait()
        repeat = await self.send("repeat", edge=0, deadline=60_000)  # waits for the end of the first
        for core in self.cores.all.values():
            core.pause = 30.0
        waiting = await self.send("waiting", edge=0, key="l", deadline=60_000)  # waits for a core
        client_server = edge.client_server
        while client_server.open_requests < 2 or len(edge.calls.idle) == len(edge.calls.lanes):
            await asyncio.sleep(0)
        client_server.drain()
        await client_server.finished(client_server.clock() + 0.05)
        client_server.answer_the_rest()
        await turns(TURNS)
        for connection in list(client_server.clients):  # the process ends: an answer that comes later is none
            connection.transport.abort()
        for client in (repeat, waiting):
            self.assertEqual(await final_answer(client), 503)
        self.assertEqual([request.attempt for request in self.nodes[0].seen if request.attempt], ["first"])
        go.set()
        self.assertEqual((await first.answer())[0], 200)
        for core in self.cores.all.values():
            core.pause = 0.0


if __name__ == "__main__":
    unittest.main()
