"""The clients' port against scripted nodes on loopback: what is sent where, what is answered, and what never is.

Nothing sleeps: tests wait for what a stand-in has read or for what comes back; deadlines are some tens of milliseconds.
"""

import asyncio
import dataclasses
import random
import select
import socket
import unittest
from unittest import mock

from standins.jumps import Held
from standins.nodes import ELSEWHERE, SHED, RawClient, answer, front, routes, show, view

from knotwalk.admission.connection_budget import ConnectionBudget
from knotwalk.configuration.objects import Limits
from knotwalk.discovery.view_types import WIDTH, Line
from knotwalk.edge import connection_pool
from knotwalk.edge.choose import seen
from tests.system.edge_case import PATIENCE, EdgeCase, turns, wait_for, within

BOTH = (("/i/", True), ("/n/", False))
CUT = (asyncio.IncompleteReadError, ConnectionError)


def chunked(request, *pieces, end=b"0\r\n\r\n"):
    head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {request.attempt}\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head.encode() + b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in pieces) + end


def cut(data):
    """Send this and close."""

    def act(request, writer):
        writer.write(data(request) if callable(data) else data)
        writer.close()

    return act


def twice(request, writer):
    """The answer, and once more in the same breath."""
    return answer(request) + answer(request, b"again")


def late_extra(body):
    """The whole answer, and once more when the connection's next request has come, ahead of its answer."""

    def act(request, writer):
        before = getattr(writer, "extra", b"")
        writer.extra = answer(request, b"late")
        return before + answer(request, body(request), extra="Keep-Alive: timeout=9\r\n")

    return act


class TriesCase(EdgeCase):
    """What becomes of a try, for requests that may be repeated and for those that may not."""

    async def check(self, script, repeatable, single, nodes=1, path=""):
        """Statuses for both kinds; and that what must not be repeated reached nodes as often as `single` says."""
        for prefix, idempotent in BOTH:
            self.reset(*script)
            status, headers, body = await self.ask(prefix + path, id=f"id{idempotent}")
            wanted = repeatable if idempotent else single
            with self.subTest(prefix=prefix):
                self.assertEqual((status, self.runs()), wanted)
                if status in (503, 429):
                    self.assertIn("retry-after", headers)
                if status == 200:
                    self.assertEqual((headers["server-seal"], headers["attempt-id"]), ("s", f"id{idempotent}"))

    async def test_table(self):
        """One node: what it does first, and (status, requests that reached it) for either kind."""
        await self.begin()
        table = {
            "ok": ([], (200, 1), (200, 1)),
            "shed": ([SHED], (503, 1), (503, 1)),
            "421": ([ELSEWHERE], (503, 1), (503, 1)),
            "reset": ([None], (200, 2), (502, 1)),
            "reset twice": ([None, None], (502, 2), (502, 1)),
            "cut in the body": ([cut(lambda r: answer(r)[:-2])], (200, 2), (502, 1)),
            "cut in the head": ([cut(lambda r: answer(r)[:20])], (200, 2), (502, 1)),
            "cut in chunks": ([cut(lambda r: chunked(r, b"abc", end=b""))], (200, 2), (502, 1)),
            "garbage": ([b"\x00\x01garbage\r\n\r\n"], (200, 2), (502, 1)),
            "garbage in chunks": ([lambda r, w: chunked(r, b"abc", end=b"zz\r\n")], (200, 2), (502, 1)),
            "two lengths": ([lambda r, w: answer(r, extra="Content-Length: 9\r\n")], (200, 2), (502, 1)),
            "no length": ([cut(lambda r: answer(r).replace(b"Content-Length: 5\r\n", b""))], (200, 2), (502, 1)),
            "no seal": ([lambda r, w: answer(r, seal=False)], (200, 2), (502, 1)),
            "no id": ([lambda r, w: answer(r).replace(b"Attempt-Id", b"Other")], (200, 2), (502, 1)),
            "another id": ([lambda r, w: answer(r, id="zz")], (200, 2), (502, 1)),
            "a promise of a success": ([lambda r, w: answer(r, extra="Not-Executed: 1\r\n")], (200, 2), (502, 1)),
            "a shed with another id": (
                [lambda r, w: answer(r, status="503 X", id="zz", extra="Not-Executed: 1\r\n")],
                (200, 2),
                (502, 1),
            ),
            "503 that may have run": ([lambda r, w: answer(r, status="503 X")], (200, 2), (502, 1)),
            "its own 500": ([lambda r, w: answer(r, status="500 X")], (200, 2), (500, 1)),
            "its own 500 twice": ([lambda r, w: answer(r, status="500 X")] * 2, (500, 2), (500, 1)),
            "its own 404": ([lambda r, w: answer(r, status="404 X", seal=False)], (404, 1), (404, 1)),
            "twice": ([twice], (200, 1), (200, 1)),
            "interim": ([lambda r, w: b"HTTP/1.1 103 Hints\r\n\r\n" + answer(r)], (200, 1), (200, 1)),
        }
        for name, (script, repeatable, single) in table.items():
            with self.subTest(name):
                await self.check(script, repeatable, single)

    async def test_another_node_after_a_refusal(self):
        """With two nodes a refusal goes on to the other, for either kind; a lost answer only if it may be repeated."""
        await self.begin(2)
        for script, repeatable, single in (
            ([SHED], (503, 2), (503, 2)),
            ([ELSEWHERE], (503, 2), (503, 2)),
            ([None], (502, 2), (502, 1)),
        ):
            await self.check(script, repeatable, single)

    async def test_never_more_nodes_than_the_route_allows(self):
        await self.begin(2, table=routes(retry_count=1))
        await self.check([SHED], (503, 1), (503, 1))
        await self.check([None], (502, 1), (502, 1))

    async def test_no_further_try_without_budget(self):
        await self.begin()
        self.front.forwarder.began = self.front.clock()
        self.front.forwarder.budgets.clear()
        self.reset(None)
        self.assertEqual((await self.ask("/i/"))[0], 502)
        self.assertEqual(self.runs(), 1)

    async def test_a_dead_node_costs_no_try_and_no_budget(self):
        """A node whose port is closed: the other one runs it, whatever its kind; alone, the request may come back."""
        await self.begin(2)
        self.nodes[0].server.close()
        for prefix, _ in BOTH * 3:
            for node in self.view.nodes.values():
                seen(node).well()
            self.assertEqual((await self.ask(prefix))[0], 200)
        show(self.view, [self.view.nodes["i-0"]])
        status, headers, _ = await self.ask("/n/")
        self.assertEqual(status, 503)
        self.assertIn("retry-after", headers)
        self.assertEqual(self.front.forwarder.budgets["s"].extras.total, 0)

    async def test_silence_is_waited_out(self):
        """A silent node is given up at the deadline, not before; then it may have run."""
        held = Held(self.loop)
        await self.begin(now=held.now)
        for prefix, _ in BOTH:
            self.reset(lambda r, w: None)
            client = await self.client()
            client.ask(prefix, deadline=80)
            answer = self.loop.create_task(client.answer())
            await wait_for(self.runs)
            held.moment += 0.079
            await turns()
            self.assertFalse(answer.done())
            held.moment += 0.0011  # past it, whatever the rounding
            await wait_for(answer.done)
            self.assertEqual((await answer)[0], 504)
            self.assertEqual(self.runs(), 1)

    async def test_too_late_is_refused_at_once(self):
        await self.begin()
        status, headers, _ = await self.ask("/n/", deadline=2)
        self.assertEqual((status, self.runs()), (503, 0))

    async def test_an_answer_come_late_is_nobodys(self):
        """An extra answer to the request before, come while the next one waits: skipped, and the connection ends."""
        for prefix, _ in BOTH:
            with self.subTest(prefix):
                await self.begin()
                self.reset()
                first = []

                def keep(r, w):
                    first.append(r)
                    return answer(r, extra="Keep-Alive: timeout=9\r\n")

                def late(r, w):
                    return answer(first[0], b"stale") + answer(r, b"fresh")

                self.nodes[0].script = [keep, late, None]
                client = await self.client()
                client.ask(prefix, "one")
                self.assertEqual((await client.answer())[2], b"bytes")
                client.ask(prefix, "two")
                status, headers, body = await client.answer()
                self.assertEqual((status, headers["attempt-id"], body), (200, "two", b"fresh"))
                self.assertEqual([r.connection for r in self.nodes[0].seen], [self.nodes[0].seen[0].connection] * 2)
                self.nodes[0].script.pop()
                client.ask(prefix, "three")
                self.assertEqual((await client.answer())[0], 200)
                self.assertNotEqual(self.nodes[0].seen[2].connection, self.nodes[0].seen[0].connection)
                self.front.drain()
                await self.front.finished(0)
                self.front._sweep.cancel()

    async def test_bytes_on_an_idle_connection_end_it(self):
        """Unread bytes are seen before reuse, even if the loop has not got to them."""
        await self.begin()
        self.nodes[0].script = [lambda r, w: answer(r, extra="Keep-Alive: timeout=9\r\n")] * 3
        await self.ask("/n/")
        (connection,) = self.front.forwarder.pools["i-0"].idle
        self.assertTrue(connection.ready(True))
        self.nodes[0].writers[0].write(b"junk")
        select.select([connection.transport.get_extra_info("socket").fileno()], [], [], 5)
        self.assertFalse(connection.ready(True))
        self.assertEqual((await self.ask("/n/"))[0], 200)
        self.assertEqual(self.nodes[0].connections, 2)

    async def test_connections_are_used_again_while_fresh(self):
        """Not at all beyond the idle time told; for what must not be repeated, not beyond half of it."""
        await self.begin()
        now = [0.0]
        self.front.forwarder.clock = lambda: now[0]
        keep = [lambda r, w: answer(r, extra="Keep-Alive: timeout=9\r\n")] * 9
        self.nodes[0].script = keep
        used = []
        for at, (prefix, idle) in enumerate((("/n/", 0), ("/n/", 3.9), ("/i/", 4.1), ("/n/", 4.1), ("/i/", 8.1))):
            now[0] += idle
            await self.ask(prefix, f"id{at}", deadline=4000)
            used.append(self.nodes[0].seen[-1].connection)
        self.assertEqual(used[:3], [0, 0, 0])
        self.assertEqual(used[3], 1)
        self.assertEqual(used[4], 2)

    async def test_connection_close_and_nameless_refusals(self):
        await self.begin()
        self.nodes[0].script = [lambda r, w: answer(r, extra="Connection: close\r\n"), SHED]
        self.assertEqual((await self.ask("/n/"))[0], 200)
        self.assertEqual((await self.ask("/n/"))[0], 503)
        self.assertEqual((await self.ask("/n/"))[0], 200)
        self.assertEqual([r.connection for r in self.nodes[0].seen], [0, 1, 2])


class KeysCase(EdgeCase):
    """Services divided by key."""

    def key(self, key):
        return f"Shard-Key: {key}\r\n"

    async def test_the_owner_runs_it(self):
        await self.begin(2, "k")
        for prefix in ("/ki/", "/kn/"):
            for key in (0, 127, 128, 65535):
                self.reset()
                self.assertEqual((await self.ask(prefix, headers=self.key(key)))[0], 200)
                owner = self.view.shardings["k"].line(key).owner
                self.assertEqual([node.id for node in self.nodes if node.seen], [owner])
                self.assertEqual([n for n in self.nodes if n.seen][0].seen[0].headers["target-instance"], owner)

    async def test_no_key_no_run(self):
        await self.begin(2, "k")
        for headers in ("", self.key(65536), self.key("x"), self.key(-1), self.key(""), self.key(1) + self.key(2)):
            self.assertEqual((await self.ask("/kn/", headers=headers))[0], 400)
        self.assertEqual(self.runs(), 0)

    async def test_a_closed_line_is_waited_for_briefly(self):
        """The line opens elsewhere while the request waits; if it stays closed, the client is told to come back."""
        await self.begin(2, "k", table=routes(aim=4.0))
        line = self.view.shardings["k"].line(5)
        line.open = False
        client = await self.client()
        client.ask("/kn/", headers=self.key(5))
        while not self.front.forwarder.waiting:
            await asyncio.sleep(0)
        other = self.view.nodes["i-1"]
        line.node, line.owner, line.open = other, other.id, True
        self.front.view_changed({"lines"})
        self.assertEqual((await client.answer())[0], 200)
        self.assertEqual(len(self.nodes[1].seen), 1)

    async def test_a_line_that_stays_closed(self):
        held = Held(self.loop)
        await self.begin(2, "k", table=routes(aim=0.1), now=held.now)
        self.view.shardings["k"].lines[0] = Line()
        asked = self.loop.create_task(self.ask("/kn/", headers=self.key(5)))
        await wait_for(lambda: self.front.forwarder.waiting)
        held.moment += 0.1
        await wait_for(asked.done)
        status, headers, _ = await asked
        self.assertEqual(status, 503)
        self.assertLess(float(headers["retry-after"]), 0.3)

    async def test_a_refusal_reaches_its_client_within_a_quarter_of_the_aim(self):
        """Whatever a request waits for that no node has had: its whole wait, and the way to the client, count
        together."""
        await self.begin(1, "k", table=routes(aim=0.4))
        waits = []

        async def waited(x, among, until):
            waits.append(until - x.begun)
            return False

        self.front.forwarder._waited = waited
        line = self.view.shardings["k"].line(0)
        line.open = False
        self.assertEqual((await self.ask("/kn/", headers=self.key(0)))[0], 503)
        line.open = True
        self.view.nodes["i-0"].address = ("127.0.0.1", 9)  # nobody listens
        self.assertEqual((await self.ask("/kn/", headers=self.key(0)))[0], 503)
        self.assertEqual(len(waits), 2)
        self.assertLess(max(waits), 0.1 - 0.016)

    async def test_after_421_only_another_owner(self):
        """The owner says that it has not the key: nobody is asked until the line changes."""
        await self.begin(2, "k", table=routes(aim=4.0))
        self.nodes[0].script = [ELSEWHERE]
        line = self.view.shardings["k"].line(0)
        client = await self.client()
        client.ask("/kn/", headers=self.key(0))
        while not self.front.forwarder.waiting:
            await asyncio.sleep(0)
        other = self.view.nodes["i-1"]
        line.node, line.owner = other, other.id
        self.front.view_changed({"lines"})
        self.assertEqual((await client.answer())[0], 200)
        self.assertEqual([len(node.seen) for node in self.nodes], [1, 1])

    async def test_a_full_owner_refuses_at_once(self):
        await self.begin(2, "k", table=routes(aim=8.0), now=Held(self.loop).now)
        self.nodes[0].script = [SHED]
        asked = self.loop.create_task(self.ask("/ki/", headers=self.key(0)))
        await wait_for(asked.done)  # while the time stands
        self.assertEqual((await asked)[0], 503)
        self.assertEqual(self.runs(), 1)

    async def test_a_lost_answer_goes_to_the_owner_again(self):
        await self.begin(2, "k")
        self.nodes[0].script = [None]
        self.assertEqual((await self.ask("/ki/", headers=self.key(0)))[0], 200)
        self.assertEqual(len(self.nodes[0].seen), 2)
        self.nodes[0].script = [None] * 3
        self.assertEqual((await self.ask("/kn/", headers=self.key(0)))[0], 502)

    async def test_a_draining_owner_gets_nothing_after_a_while(self):
        held = Held(self.loop)
        await self.begin(1, "k", table=routes(aim=0.1), now=held.now)
        node = self.view.nodes["i-0"]
        node.draining = True
        self.front.view_changed({"nodes"})
        self.assertEqual((await self.ask("/kn/", headers=self.key(0)))[0], 200)
        seen(node).draining_since -= 2.0
        refused = self.loop.create_task(self.ask("/kn/", headers=self.key(0)))
        await wait_for(lambda: self.front.forwarder.waiting)
        held.moment += 0.1
        self.assertEqual((await refused)[0], 503)

    async def test_a_silent_owner_gets_no_more(self):
        """A dark machine says nothing: requests behind the first are told at once to come back."""
        held = Held(self.loop)
        await self.begin(1, "k", table=routes(aim=0.1), capacity=50, now=held.now)
        self.nodes[0].script = [lambda r, w: None]
        client = await self.client()
        client.ask("/kn/", headers=self.key(0), deadline=300)
        first = self.loop.create_task(client.answer())
        await wait_for(self.runs)
        known = seen(self.view.nodes["i-0"])
        known.silent_since -= 0.5
        second = self.loop.create_task(self.ask("/kn/", headers=self.key(0)))
        await wait_for(lambda: self.front.forwarder.waiting)
        held.moment += 0.1
        await wait_for(second.done)
        self.assertEqual((await second)[0], 503)
        self.assertFalse(first.done())
        held.moment += 0.2011
        await wait_for(first.done)
        self.assertEqual((await first)[0], 504)
        self.assertEqual((await self.ask("/kn/", headers=self.key(0)))[0], 200)

    async def test_draining_nodes_stand_in_when_there_are_no_others(self):
        held = Held(self.loop)
        await self.begin(2, table=routes(aim=1.0), now=held.now)
        for node in self.view.nodes.values():
            node.draining = True
        self.front.view_changed({"nodes"})
        self.assertEqual((await self.ask("/n/"))[0], 200)
        for node in self.view.nodes.values():
            seen(node).draining_since -= 2.0
        refused = self.loop.create_task(self.ask("/n/"))
        await wait_for(lambda: self.front.forwarder.waiting)
        held.moment += 1.0
        self.assertEqual((await refused)[0], 503)

    async def test_connections_to_gone_nodes_end(self):
        await self.begin(2, "k")
        self.nodes[0].script = [lambda r, w: answer(r, extra="Keep-Alive: timeout=9\r\n")]
        await self.ask("/kn/", headers=self.key(0))
        del self.view.nodes["i-0"]
        self.front.view_changed({"nodes"})
        await asyncio.wait_for(self.nodes[0].left.wait(), PATIENCE)

    async def test_report(self):
        await self.begin(2, "k")
        self.nodes[0].load = "1,2,4"
        await self.ask("/kn/", headers=self.key(0))
        await self.ask("/kn/", headers=self.key(WIDTH + 2))
        found = self.front.report(0.0)
        self.assertEqual(found["demand"], {"k": {0: 1, 1: 1}})
        self.assertEqual(found["nodes"]["i-0"], [2, 1, 4])
        self.assertEqual(found["nodes"]["i-1"][:6], [0, 0, 4, 1, 0, 0])
        self.assertGreater(found["nodes"]["i-1"][6], 0.0)  # the answered one's seconds: all that it is judged by
        self.assertEqual(self.front.report(0.0), {"demand": {}, "nodes": {}, "bad": {}})

    async def test_report_of_trouble(self):
        """Lost and failed tries, and refusals by a node that tells free slots, are bad; by a full one they are not."""
        await self.begin(1, "k")
        shed = [
            lambda r, w, told=told: answer(r, status="503 X", extra=f"Not-Executed: 1\r\nServer-Load: {told}\r\n")
            for told in ("1,0,4", "4,9,4")
        ]
        for script, bad in (
            ([None], [1, 0]),
            ([lambda r, w: answer(r, status="500 X")], [1, 0]),
            ([shed[0]], [1, 0]),
            ([shed[1]], None),
        ):
            self.reset(*script)
            seen(self.view.nodes["i-0"]).__init__()
            await self.ask("/kn/", headers=self.key(0))
            self.assertEqual(self.front.report(0.0)["bad"].get("i-0"), bad, script)

    async def test_tally(self):
        """How requests ended, by cause and rank; a dead owner is one that was not reached, also to who finds it so."""
        await self.begin(1, "k", table=routes(aim=1.0))
        self.nodes[0].script = [ELSEWHERE, SHED, None]
        for _ in range(4):
            await self.ask("/kn/", headers=self.key(0))
        self.view.nodes["i-0"].address = ("127.0.0.1", 9)
        self.front.forwarder.pools["i-0"].close()
        await self.ask("/kn/", headers=self.key(0))
        found = self.front.forwarder.tally()
        self.assertEqual(
            {cause: count for cause, count in found.items() if "rank" in cause},
            {
                "refused: its owner turned it away, rank 0": 1,
                "refused: turned away, rank 0": 1,
                "unknown: connection closed, rank 0": 1,
                "in time, rank 0": 1,
                "refused: its owner is not reached, rank 0": 1,
            },
        )
        self.assertEqual((found["sent"], found["not connected"]), (4, 1))
        self.assertEqual(self.front.forwarder.tally(), {})

    async def test_the_lowest_rank_yields_at_a_node_that_is_usually_full(self):
        """Its last word has faded: a higher rank is offered to it, the lowest gives way, told by when there is room."""
        held = Held(self.loop)
        for rank, wanted in ((0, 200), (2, 503)):
            table = [dataclasses.replace(route, priority=rank) for route in routes(aim=0.1)]
            await self.begin(1, "k", capacity=2, table=table, now=held.now)
            known = seen(self.view.nodes["i-0"])
            known.others, known.usual, known.others_at, known.work = 9.0, 9.0, self.front.clock() - 0.7, 0.1
            asked = asyncio.ensure_future(self.ask("/ki/", headers=self.key(0)))
            while not asked.done():  # time moves by what is done, not by how fast the machine does it
                await turns()
                held.moment += 0.001
            self.assertEqual((await asked)[0], wanted)
            self.front.drain()
            await self.front.finished(0)

    async def test_full_by_what_is_known(self):
        """An owner that told a long queue is not offered more than can be done in time."""
        await self.begin(1, "k", capacity=2)
        self.nodes[0].load = "2,18,2"
        self.assertEqual((await self.ask("/kn/", headers=self.key(0)))[0], 200)
        status, headers, _ = await self.ask("/kn/", headers=self.key(0))
        self.assertEqual((status, self.runs()), (503, 1))
        self.assertGreater(float(headers["retry-after"]), 0.03)


class PassingCase(EdgeCase):
    """What is sent on and what is passed back."""

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
                status, _, body = await asyncio.wait_for(client.answer(), PATIENCE)
                self.assertEqual((status, body == data, self.nodes[0].seen[0].body == data), (200, True, True))
                client.ask("/n/", "next")
                self.reset()
                self.assertEqual((await client.answer())[0], 200)

    async def test_a_client_that_does_not_read_holds_the_node_up(self):
        """Not more than some hundred kilobytes are taken from the node while nobody takes them from us."""
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
        while before != sent or not sent:  # until the node gets no further for 50 turns of the loop
            before = sent
            for _ in range(50):
                await asyncio.sleep(0)
        self.assertLess(sent, 25_000_000)  # buffers of the kernel, mostly
        held = [c.transport.get_write_buffer_size() for c in self.front.clients]
        self.assertLess(max(held), 600_000)
        client.reader._limit = 1 << 22
        await client.reader.readuntil(b"\r\n\r\n")
        got = 0
        while got < size:
            got += len(await client.reader.read(1 << 20))
        self.assertEqual(got, size)

    async def test_large_answers_in_order(self):
        """Large answers that were there long before their turn, and small ones between them."""
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
            status, headers, body = await asyncio.wait_for(client.answer(), PATIENCE)
            self.assertEqual(
                (status, headers["attempt-id"], set(body[a : a + 3] for a in range(0, len(body), 3))),
                (200, f"id{at}", {b"id%d" % at}),
            )

    async def test_a_cut_looks_cut(self):
        """A streamed answer that ends early ends the client's connection, before its end."""
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
                    await asyncio.wait_for(client.answer(), PATIENCE)
                self.assertEqual(self.runs(), 1)
        self.reset(cut(in_chunks))
        client = await self.client()
        client.writer.write(b"GET /i/ HTTP/1.0\r\nHost: h\r\nAttempt-Id: q\r\n\r\n")
        with self.assertRaises(ConnectionResetError):  # its end is the connection's: only a reset tells a cut
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


class ReadingCase(EdgeCase):
    """What is read as a request, in which order it is answered, and what is not read."""

    async def test_pipelined_in_order(self):
        """Later answers are ready first; they wait for their turn."""
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

    async def test_what_must_not_be_repeated_waits_its_turn(self):
        """It is not run before all ahead of it are answered: their answers could still end the connection."""
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
            self.assertEqual((await asyncio.wait_for(client.answer(), PATIENCE))[1]["attempt-id"], f"id{at}")
        (pool,) = self.front.forwarder.pools.values()
        self.assertLessEqual(len(pool.all), 16)

    async def test_smuggling(self):
        """Whatever could be read in two ways is refused, and what lies behind it is not read."""
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
        """Two requests in every pair of pieces: the same two requests."""
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

    async def test_slow_heads_bodies_and_idlers_end(self):
        await self.begin(limits=Limits(header_timeout=3.0, idle_timeout=15.0))
        now = [self.front.clock()]
        self.front.clock = lambda: now[0]
        idle, head, body = [await self.client() for _ in range(3)]
        head.writer.write(b"GET /i/ HTTP/1.1\r\nHo")
        body.ask("/n/", method="POST", headers="Content-Length: 9\r\n")
        while sum(c.head_since is not None or c.reading is not None for c in self.front.clients) < 2:
            await asyncio.sleep(0)
        now[0] += 4.0
        for client in list(self.front.clients):
            client.look(now[0])
        self.assertEqual((await head.answer())[0], 408)
        now[0] += 12.0
        for client in list(self.front.clients):
            client.look(now[0])
        self.assertEqual(await idle.rest(), b"")
        self.assertEqual((await body.answer())[0], 408)
        self.assertEqual(self.runs(), 0)


class MishapsCase(EdgeCase):
    """Nodes that misbehave at random under pipelining clients: the rules hold for every request."""

    def act(self, luck):
        """What a node does with one request, and whether that counts as run."""
        body = lambda r: f"body of {r.attempt}".encode()  # noqa: E731
        return luck.choice(
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

    async def mishaps(self, luck):
        self.front = await front(view([node.node(capacity=50) for node in self.nodes]), now=self.now)
        ran = []  # ids, in the order in which nodes began on them
        for node in self.nodes:
            node.seen.clear()
            acts = [self.act(luck) for _ in range(400)]

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
                prefix = luck.choice(("/i/", "/n/"))
                id = f"{name}.{at}{prefix[1]}"
                client.ask(prefix + id, id, "POST", body=id.encode() * luck.randrange(3), deadline=3000)
                sent.append(id)
                while got < len(sent) and (prefix == "/n/" or luck.random() < 0.6):
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
        self.assertEqual(self.front.open, 0)
        self.assertEqual({seen(node).flying for node in self.front.view.nodes.values()}, {0})
        for node in self.nodes:
            for r in node.seen:
                self.assertEqual(r.line.split(" ")[1].rpartition("/")[2], r.attempt)
        self.front.drain()
        await self.front.finished(0)
        self.front._sweep.cancel()


class EndsCase(EdgeCase):
    """Clients that leave, and the end of the program."""

    async def held(self, prefix, body=b""):
        self.go = asyncio.Event()

        async def slow(r, w):
            while not self.go.is_set() and not r.reader.at_eof():
                await asyncio.sleep(0)
            return answer(r, extra="Keep-Alive: timeout=9\r\n")

        self.nodes[0].script = [None] * len(self.nodes[0].seen) + [slow]
        self.nodes[0].arrived.clear()
        client = await self.client()
        client.ask(prefix, "one", "POST", body=body)
        await self.nodes[0].arrived.wait()
        return client

    async def test_the_client_leaves(self):
        """A request that may be repeated is broken off; another is carried to its end."""
        await self.begin()
        client = await self.held("/i/")
        client.reset()
        await asyncio.wait_for(self.nodes[0].left.wait(), PATIENCE)
        while self.front.open:
            await asyncio.sleep(0)
        client = await self.held("/n/")
        client.reset()
        while self.front.clients:
            await asyncio.sleep(0)
        self.assertEqual((self.front.open, self.nodes[0].gone), (1, [0]))
        self.go.set()
        while self.front.open:
            await asyncio.sleep(0)
        self.assertEqual((await self.ask("/n/"))[0], 200)
        self.assertEqual([r.connection for r in self.nodes[0].seen], [0, 1, 1])

    async def test_the_client_has_reset_before_the_last_answer(self):
        """The system says so as our side is ended, ahead of the loop: the connection is over, and nothing fails."""
        await self.begin()
        await self.held("/n/")
        (client,) = self.front.clients
        client.transport.write_eof = mock.Mock(side_effect=OSError(107, "not connected"))
        self.front.draining = True  # so that the answer is the connection's last
        with self.assertNoLogs(level="ERROR"):
            self.go.set()
            while self.front.clients:
                await asyncio.sleep(0)
        self.assertEqual((self.front.open, client.transport.write_eof.called), (0, True))

    async def test_the_client_ends_its_side(self):
        """What it sent whole is still answered."""
        await self.begin()
        client = await self.held("/n/")
        client.writer.write_eof()
        for _ in range(9):
            await asyncio.sleep(0)
        self.go.set()
        self.assertEqual((await client.answer())[0], 200)
        self.assertEqual(await client.rest(), b"")

    async def test_drain(self):
        """What was read is finished and told to leave; idle connections end; no new ones come."""
        await self.begin()
        idle = await self.client()
        idle.ask("/i/", "zero")
        await idle.answer()
        client = await self.held("/n/", b"abc")
        port = self.front.port
        self.front.drain()
        ending = asyncio.ensure_future(self.front.finished(self.front.clock() + PATIENCE))
        with self.assertRaises(OSError):
            await RawClient.to(port)
        idle.ask("/i/", "late")
        status, headers, _ = await idle.answer()
        self.assertEqual((status, headers["connection"]), (200, "close"))
        self.assertFalse(ending.done())
        self.go.set()
        status, headers, _ = await client.answer()
        self.assertEqual((status, headers["connection"]), (200, "close"))
        await asyncio.wait_for(ending, PATIENCE)
        self.assertEqual(await client.rest(), b"")
        self.assertEqual(self.front.open, 0)

    async def test_a_drain_takes_in_who_waits_to_be_accepted(self):
        """Its handshake is the system's work: a busy edge that closed its gate reset such clients, asked or not."""
        await self.begin(table=routes(timeout=PATIENCE))
        made = [socket.create_connection(("127.0.0.1", self.front.port)) for _ in range(3)]  # the loop has no turn
        clients = []
        try:
            for at, one in enumerate(made):
                one.sendall(b"GET /n/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: w%d\r\nDeadline-Ms: 60000\r\n\r\n" % at)
            self.front.drain()
            ending = asyncio.ensure_future(self.front.finished(self.front.clock() + PATIENCE))
            clients += [RawClient(*await asyncio.open_connection(sock=one)) for one in made]
            for at, client in enumerate(clients):
                status, headers, _ = await asyncio.wait_for(client.answer(), PATIENCE)
                self.assertEqual((status, headers["attempt-id"], headers["connection"]), (200, f"w{at}", "close"))
            await asyncio.wait_for(ending, PATIENCE)
        finally:
            for one in clients or made:
                one.close()

    async def test_drain_has_an_end(self):
        held = Held(self.loop)
        await self.begin(now=held.now)
        client = await self.held("/n/")
        self.front.drain()
        ending = asyncio.ensure_future(self.front.finished(held.moment + 0.05))
        await turns()
        self.assertFalse(ending.done())
        held.moment += 0.051
        await wait_for(ending.done)
        self.go.set()
        self.assertEqual((await client.answer())[0], 200)

    async def test_a_client_of_an_edge_that_starts_is_read_once_there_is_a_picture(self):
        await self.begin()
        table, self.view.configuration, self.front.started = self.view.configuration, None, False
        client = await self.client()
        client.ask("/i/")
        await wait_for(lambda: any(c.holds for c in self.front.clients))
        self.assertEqual(self.runs(), 0)
        self.view.configuration = table
        self.front.view_changed({"config"})
        self.assertEqual((await asyncio.wait_for(client.answer(), PATIENCE))[0], 200)

    async def test_a_client_of_an_edge_without_a_picture_is_let_go_unread(self):
        """Closed with the request unread: it may be sent elsewhere, whatever its kind."""
        await self.begin()
        self.view.configuration, self.front.started = None, False
        client = await self.client()
        client.ask("/i/")
        await wait_for(lambda: any(c.holds for c in self.front.clients))
        for held in list(self.front.clients):
            held._give_up()
        with self.assertRaises((ConnectionResetError, asyncio.IncompleteReadError)):
            await asyncio.wait_for(client.answer(), PATIENCE)
        self.assertEqual(self.runs(), 0)

    async def crowd(self, count, gates):
        """That many clients ask at once, while nodes do not answer until told to."""
        gate = asyncio.Event()

        async def held(request, writer):
            await gate.wait()
            writer.write(answer(request))

        for node in self.nodes:
            node.script = [held] * gates
        clients = [await self.client() for _ in range(count)]
        for client in clients:
            client.ask()
        return clients, gate

    async def test_no_room(self):
        """Beyond the descriptors, connections end before anything is read of them."""
        await self.begin()
        self.front.connection_budget = ConnectionBudget(1, 1, 9)
        (first,), gate = await self.crowd(1, 1)
        await wait_for(lambda: self.runs() == 1)
        second = await self.client()
        second.ask()
        with self.assertRaises((ConnectionResetError, asyncio.IncompleteReadError)):
            await asyncio.wait_for(second.answer(), PATIENCE)
        gate.set()
        self.assertEqual(((await first.answer())[0], self.runs()), (200, 1))
        third = await self.client()  # the first has been answered and lies idle: it makes room
        third.ask()
        self.assertEqual((await asyncio.wait_for(third.answer(), PATIENCE))[0], 200)

    async def test_few_descriptors_serve_many_clients(self):
        """A crowd on a machine of a dozen descriptors: none of the clients' answers is lost, and idle connections give
        way. Before, accepting failed a thousand times a second, and what was accepted found no descriptor to a node."""
        await self.begin(nodes=2)
        self.front.connection_budget, self.front.forwarder.connection_slots.most = ConnectionBudget(4, 2, 2), 2
        clients, gate = await self.crowd(4, 2)
        await wait_for(lambda: self.runs() == 2 and len(self.front.forwarder.connection_slots.waiting) == 2)
        gate.set()  # two wait for a descriptor, not for a node: they go on as soon as one is free
        heads = [(await asyncio.wait_for(client.answer(), PATIENCE))[:2] for client in clients]
        self.assertEqual([status for status, _ in heads], [200] * 4)
        self.assertIn("close", [heads.get("connection") for _, heads in heads])  # past a part of them none is kept
        self.assertLessEqual(self.front.forwarder.connection_slots.open, 2)
        for _ in range(12):
            self.assertEqual((await self.ask())[0], 200)
        self.assertEqual(
            self.front.forwarder.connection_slots.open,
            sum(len(pool.all) for pool in self.front.forwarder.pools.values()),
        )
        self.assertLessEqual(len(self.front.clients), 4)

    async def test_no_descriptor_whatever_is_counted(self):
        """A node can't be called for want of a descriptor: the request has not run, and is told so."""
        await self.begin()
        client = await self.client()
        with mock.patch.object(connection_pool.socket, "socket", side_effect=OSError(24, "Too many open files")):
            client.ask(method="POST", path="/n/")
            status, heads, _ = await asyncio.wait_for(client.answer(), PATIENCE)
        self.assertEqual((status, "retry-after" in heads, self.runs()), (503, True, 0))


if __name__ == "__main__":
    unittest.main()
