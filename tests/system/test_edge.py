"""An edge's client server against scripted nodes on loopback.

Which node a request goes to, the outcome of each try, and the routing by shard key.
Nothing sleeps: tests wait for what a scripted node has read or for an answer; deadlines are some tens of milliseconds.
"""

import asyncio
import dataclasses
import select
import unittest

from standins.jumps import Held
from standins.nodes import ELSEWHERE, SHED, answer, routes, show

from knotwalk.discovery.view_types import SLICE_WIDTH, Assignment
from knotwalk.edge.choose import stats_of
from tests.standins.timing import bounded
from tests.system.edge_case import (
    BOTH,
    PATIENCE,
    EdgeCase,
    chunked,
    cut,
    turns,
    twice,
    wait_for,
)


class TriesCase(EdgeCase):
    """The outcomes of a try, for idempotent and for other requests."""

    async def check(self, script, repeatable, single, nodes=1, path=""):
        """Check (status, requests that reached nodes) for idempotent requests (`repeatable`) and others (`single`)."""
        for prefix, idempotent in BOTH:
            self.reset(*script)
            status, headers, body = await self.ask(prefix + path, id=f"id{idempotent}")
            expected = repeatable if idempotent else single
            with self.subTest(prefix=prefix):
                self.assertEqual((status, self.runs()), expected)
                if status in (503, 429):
                    self.assertIn("retry-after", headers)
                if status == 200:
                    self.assertEqual((headers["server-seal"], headers["attempt-id"]), ("s", f"id{idempotent}"))

    async def test_table(self):
        """One node: its first behaviour, and (status, requests that reached it) for idempotent requests and others."""
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
            "a success that did not run": ([lambda r, w: answer(r, extra="Not-Executed: 1\r\n")], (200, 2), (502, 1)),
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
        """With two nodes a refused request goes to the other one; after a lost answer only an idempotent one does."""
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
        self.client_server.forwarder.started_at = self.client_server.clock()
        self.client_server.forwarder.budgets.clear()
        self.reset(None)
        self.assertEqual((await self.ask("/i/"))[0], 502)
        self.assertEqual(self.runs(), 1)

    async def test_a_dead_node_costs_no_try_and_no_budget(self):
        """If the port of a node is closed, the other node runs the request; without another, the answer is 503."""
        await self.begin(2)
        self.nodes[0].server.close()
        for prefix, _ in BOTH * 3:
            for node in self.view.nodes.values():
                stats_of(node).record_success()
            self.assertEqual((await self.ask(prefix))[0], 200)
        show(self.view, [self.view.nodes["i-0"]])
        status, headers, _ = await self.ask("/n/")
        self.assertEqual(status, 503)
        self.assertIn("retry-after", headers)
        self.assertEqual(self.client_server.forwarder.budgets["s"].retries.total, 0)

    async def test_silence_is_waited_out(self):
        """A node that does not answer is given up at the deadline, not before; the request may have run."""
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

    async def test_a_late_duplicate_answer_is_skipped(self):
        """A duplicate answer to the previous request while the next one waits is skipped; the connection is closed."""
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
                self.client_server.drain()
                await self.client_server.finished(0)
                self.client_server._sweep.cancel()

    async def test_bytes_on_an_idle_connection_end_it(self):
        """Unread bytes are detected before reuse, even if the event loop has not read them yet."""
        await self.begin()
        self.nodes[0].script = [lambda r, w: answer(r, extra="Keep-Alive: timeout=9\r\n")] * 3
        await self.ask("/n/")
        (connection,) = self.client_server.forwarder.pools["i-0"].idle
        self.assertTrue(connection.is_ready(True))
        self.nodes[0].writers[0].write(b"junk")
        select.select([connection.transport.get_extra_info("socket").fileno()], [], [], 5)
        self.assertFalse(connection.is_ready(True))
        self.assertEqual((await self.ask("/n/"))[0], 200)
        self.assertEqual(self.nodes[0].connections, 2)

    async def test_connections_are_used_again_while_fresh(self):
        """Not beyond the idle timeout of the node, and for non-idempotent requests not beyond half of it."""
        await self.begin()
        now = [0.0]
        self.client_server.forwarder.clock = lambda: now[0]
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

    async def test_connection_close_and_refusals_without_id(self):
        await self.begin()
        self.nodes[0].script = [lambda r, w: answer(r, extra="Connection: close\r\n"), SHED]
        self.assertEqual((await self.ask("/n/"))[0], 200)
        self.assertEqual((await self.ask("/n/"))[0], 503)
        self.assertEqual((await self.ask("/n/"))[0], 200)
        self.assertEqual([r.connection for r in self.nodes[0].seen], [0, 1, 2])


class KeysCase(EdgeCase):
    """Sharded services."""

    def key(self, key):
        return f"Shard-Key: {key}\r\n"

    async def test_the_owner_runs_it(self):
        await self.begin(2, "k")
        for prefix in ("/ki/", "/kn/"):
            for key in (0, 127, 128, 65535):
                self.reset()
                self.assertEqual((await self.ask(prefix, headers=self.key(key)))[0], 200)
                owner = self.view.assignments["k"].assignment(key).owner
                self.assertEqual([node.id for node in self.nodes if node.seen], [owner])
                self.assertEqual([n for n in self.nodes if n.seen][0].seen[0].headers["target-instance"], owner)

    async def test_no_key_no_run(self):
        await self.begin(2, "k")
        for headers in ("", self.key(65536), self.key("x"), self.key(-1), self.key(""), self.key(1) + self.key(2)):
            self.assertEqual((await self.ask("/kn/", headers=headers))[0], 400)
        self.assertEqual(self.runs(), 0)

    async def test_a_closed_slice_is_waited_for_briefly(self):
        """The slice opens at another node while the request waits."""
        await self.begin(2, "k", table=routes(aim=4.0))
        line = self.view.assignments["k"].assignment(5)
        line.open = False
        client = await self.client()
        client.ask("/kn/", headers=self.key(5))
        while not self.client_server.forwarder.waiting:
            await asyncio.sleep(0)
        other = self.view.nodes["i-1"]
        line.node, line.owner, line.open = other, other.id, True
        self.client_server.view_changed({"lines"})
        self.assertEqual((await client.answer())[0], 200)
        self.assertEqual(len(self.nodes[1].seen), 1)

    async def test_a_slice_that_stays_closed(self):
        held = Held(self.loop)
        await self.begin(2, "k", table=routes(aim=0.1), now=held.now)
        self.view.assignments["k"].by_slice[0] = Assignment()
        asked = self.loop.create_task(self.ask("/kn/", headers=self.key(5)))
        await wait_for(lambda: self.client_server.forwarder.waiting)
        held.moment += 0.1
        await wait_for(asked.done)
        status, headers, _ = await asked
        self.assertEqual(status, 503)
        self.assertLess(float(headers["retry-after"]), 0.3)

    async def test_a_refusal_reaches_its_client_within_a_quarter_of_the_target_latency(self):
        """The total wait of a request that no node has had, and the round trip to the client, stay within the limit,
        whatever the request waits for."""
        await self.begin(1, "k", table=routes(aim=0.4))
        waits = []

        async def waited(exchange, among, until):
            waits.append(until - exchange.started_at)
            return False

        self.client_server.forwarder._wait_for_change = waited
        line = self.view.assignments["k"].assignment(0)
        line.open = False
        self.assertEqual((await self.ask("/kn/", headers=self.key(0)))[0], 503)
        line.open = True
        self.view.nodes["i-0"].address = ("127.0.0.1", 9)  # nothing listens there
        self.assertEqual((await self.ask("/kn/", headers=self.key(0)))[0], 503)
        self.assertEqual(len(waits), 2)
        self.assertLess(max(waits), 0.1 - 0.016)

    async def test_after_421_only_another_owner(self):
        """The owner answers that it does not own the key: no node is tried until the slice has another owner."""
        await self.begin(2, "k", table=routes(aim=4.0))
        self.nodes[0].script = [ELSEWHERE]
        line = self.view.assignments["k"].assignment(0)
        client = await self.client()
        client.ask("/kn/", headers=self.key(0))
        while not self.client_server.forwarder.waiting:
            await asyncio.sleep(0)
        other = self.view.nodes["i-1"]
        line.node, line.owner = other, other.id
        self.client_server.view_changed({"lines"})
        self.assertEqual((await client.answer())[0], 200)
        self.assertEqual([len(node.seen) for node in self.nodes], [1, 1])

    async def test_a_full_owner_refuses_at_once(self):
        await self.begin(2, "k", table=routes(aim=8.0), now=Held(self.loop).now)
        self.nodes[0].script = [SHED]
        asked = self.loop.create_task(self.ask("/ki/", headers=self.key(0)))
        await wait_for(asked.done)  # while the time stands still
        self.assertEqual((await asked)[0], 503)
        self.assertEqual(self.runs(), 1)

    async def test_a_lost_answer_goes_to_the_owner_again(self):
        await self.begin(2, "k")
        self.nodes[0].script = [None]
        self.assertEqual((await self.ask("/ki/", headers=self.key(0)))[0], 200)
        self.assertEqual(len(self.nodes[0].seen), 2)
        self.nodes[0].script = [None] * 3
        self.assertEqual((await self.ask("/kn/", headers=self.key(0)))[0], 502)

    async def test_a_draining_owner_gets_no_requests_after_a_while(self):
        held = Held(self.loop)
        await self.begin(1, "k", table=routes(aim=0.1), now=held.now)
        node = self.view.nodes["i-0"]
        node.draining = True
        self.client_server.view_changed({"nodes"})
        self.assertEqual((await self.ask("/kn/", headers=self.key(0)))[0], 200)
        stats_of(node).draining_since -= 2.0
        refused = self.loop.create_task(self.ask("/kn/", headers=self.key(0)))
        await wait_for(lambda: self.client_server.forwarder.waiting)
        held.moment += 0.1
        self.assertEqual((await refused)[0], 503)

    async def test_a_silent_owner_gets_no_more(self):
        """A dead machine does not answer: requests after the first are refused."""
        held = Held(self.loop)
        await self.begin(1, "k", table=routes(aim=0.1), capacity=50, now=held.now)
        self.nodes[0].script = [lambda r, w: None]
        client = await self.client()
        client.ask("/kn/", headers=self.key(0), deadline=300)
        first = self.loop.create_task(client.answer())
        await wait_for(self.runs)
        stats = stats_of(self.view.nodes["i-0"])
        stats.silent_since -= 0.5
        second = self.loop.create_task(self.ask("/kn/", headers=self.key(0)))
        await wait_for(lambda: self.client_server.forwarder.waiting)
        held.moment += 0.1
        await wait_for(second.done)
        self.assertEqual((await second)[0], 503)
        self.assertFalse(first.done())
        held.moment += 0.2011
        await wait_for(first.done)
        self.assertEqual((await first)[0], 504)
        self.assertEqual((await self.ask("/kn/", headers=self.key(0)))[0], 200)

    async def test_draining_nodes_are_used_when_there_are_no_others(self):
        held = Held(self.loop)
        await self.begin(2, table=routes(aim=1.0), now=held.now)
        for node in self.view.nodes.values():
            node.draining = True
        self.client_server.view_changed({"nodes"})
        self.assertEqual((await self.ask("/n/"))[0], 200)
        for node in self.view.nodes.values():
            stats_of(node).draining_since -= 2.0
        refused = self.loop.create_task(self.ask("/n/"))
        await wait_for(lambda: self.client_server.forwarder.waiting)
        held.moment += 1.0
        self.assertEqual((await refused)[0], 503)

    async def test_connections_to_gone_nodes_end(self):
        await self.begin(2, "k")
        self.nodes[0].script = [lambda r, w: answer(r, extra="Keep-Alive: timeout=9\r\n")]
        await self.ask("/kn/", headers=self.key(0))
        del self.view.nodes["i-0"]
        self.client_server.view_changed({"nodes"})
        await bounded(self.nodes[0].left.wait(), PATIENCE)

    async def test_report(self):
        await self.begin(2, "k")
        self.nodes[0].load = "1,2,4"
        await self.ask("/kn/", headers=self.key(0))
        await self.ask("/kn/", headers=self.key(SLICE_WIDTH + 2))
        found = self.client_server.report(0.0)
        self.assertEqual(found["demand"], {"k": {0: 1, 1: 1}})
        self.assertEqual(found["nodes"]["i-0"], [2, 1, 4])
        self.assertEqual(found["nodes"]["i-1"][:6], [0, 0, 4, 1, 0, 0])
        self.assertGreater(
            found["nodes"]["i-1"][6], 0.0
        )  # seconds of the answered one: all that the core can judge the node by
        self.assertEqual(self.client_server.report(0.0), {"demand": {}, "nodes": {}, "bad": {}})

    async def test_report_of_failures(self):
        """Lost and failed tries count as bad, and refusals by a node that reports free slots, not by a full one."""
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
            stats_of(self.view.nodes["i-0"]).__init__()
            await self.ask("/kn/", headers=self.key(0))
            self.assertEqual(self.client_server.report(0.0)["bad"].get("i-0"), bad, script)

    async def test_tally(self):
        """How requests ended, by cause and priority; one that finds its owner dead counts as not reached, too."""
        await self.begin(1, "k", table=routes(aim=1.0))
        self.nodes[0].script = [ELSEWHERE, SHED, None]
        for _ in range(4):
            await self.ask("/kn/", headers=self.key(0))
        self.view.nodes["i-0"].address = ("127.0.0.1", 9)
        self.client_server.forwarder.pools["i-0"].close()
        await self.ask("/kn/", headers=self.key(0))
        found = self.client_server.forwarder.take_counts()
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
        self.assertEqual(self.client_server.forwarder.take_counts(), {})

    async def test_the_lowest_priority_yields_at_a_node_that_is_usually_full(self):
        """Its last report has decayed: the highest priority is offered to it, the lowest is refused."""
        held = Held(self.loop)
        for rank, expected in ((0, 200), (2, 503)):
            table = [dataclasses.replace(route, priority=rank) for route in routes(aim=0.1)]
            await self.begin(1, "k", capacity=2, table=table, now=held.now)
            stats = stats_of(self.view.nodes["i-0"])
            stats.others_load, stats.usual_others_load, stats.others_load_at, stats.mean_work_s = (
                9.0,
                9.0,
                self.client_server.clock() - 0.7,
                0.1,
            )
            asked = asyncio.ensure_future(self.ask("/ki/", headers=self.key(0)))
            while not asked.done():  # time advances with the work done, not with the speed of the machine
                await turns()
                held.moment += 0.001
            self.assertEqual((await asked)[0], expected)
            self.client_server.drain()
            await self.client_server.finished(0)

    async def test_full_by_what_is_known(self):
        """An owner that reported a long queue is not offered more than it can do in time."""
        await self.begin(1, "k", capacity=2)
        self.nodes[0].load = "2,18,2"
        self.assertEqual((await self.ask("/kn/", headers=self.key(0)))[0], 200)
        status, headers, _ = await self.ask("/kn/", headers=self.key(0))
        self.assertEqual((status, self.runs()), (503, 1))
        self.assertGreater(float(headers["retry-after"]), 0.03)


if __name__ == "__main__":
    unittest.main()
