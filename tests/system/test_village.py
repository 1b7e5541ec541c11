"""End-to-end tests with real processes on loopback.

Acknowledged changes last, keys have one holder, and drains lose nothing. All tests share one set of processes. Each
test starts once these are settled, so any test may be run alone. Tests wait for conditions, with timeouts far above
what an idle machine needs.
"""

import asyncio
import copy
import functools
import json
import pathlib
import re
import signal
import unittest

from knotwalk.runtime.errors import PeerError
from knotwalk.runtime.logs import clock
from knotwalk.runtime.metrics import restore_tls_modules
from tests.standins.documents import FIRST, route
from tests.standins.village import Village

# Requests that an edge does not hold back reach nodes within this time, which is far below their deadline of 50 s.
SENT_WITHIN_S = 5.0


def on_shared_village(test):
    """Run a test in the event loop of the shared processes, once they are settled."""

    @functools.wraps(test)
    def run(self):
        async def run_when_calm():
            await self.village.calm()
            await test(self, self.village)

        self.runner.run(run_when_calm())

    return run


class VillageTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.runner = asyncio.Runner()
        cls.runner.get_loop().set_debug(False)
        try:
            cls.village = cls.runner.run(Village().start())
            cls.first = cls.runner.run(cls.village.operator.send("PUT", FIRST, "0"))
        except BaseException:
            cls.tearDownClass()
            raise

    @classmethod
    def tearDownClass(cls):
        village = getattr(cls, "village", None)
        if village is not None:
            cls.runner.run(village.stop())
        cls.runner.close()

    def tearDown(self):
        self.assertEqual(self.village.watch.conflicts, [], "keys with two active holders")
        self.assertEqual(self.village.watch.repeated_runs, [], "operations that ran twice")

    def test_every_line_of_a_log_is_json_with_a_time_a_level_and_an_event(self):
        for program in self.village.cores + self.village.edges:
            for line in program.log.read_text().splitlines(keepends=True):
                if line.endswith("\n"):  # the last line may be incomplete
                    self.assertLessEqual({"at", "level", "event"}, set(json.loads(line)))

    async def version(self):
        status, document = await self.village.operator.send("GET")
        self.assertEqual(status, 200)
        return document["config_version"]

    async def patch(self, upsert=(), remove=()):
        """Apply a patch to the version in force; returns the version that it made."""
        before = await self.version()
        after = f"r{int(before[1:]) + 2}"
        status, body = await self.village.operator.send(
            "PATCH",
            {"config_version": after, "upsert": {"objects": list(upsert)}, "remove": {"routes": list(remove)}},
            before,
        )
        self.assertEqual((status, body), (200, {"config_version": after}))
        return after

    async def assert_served(self, edge, path="/frames/1", key=0, **more):
        """Send a request and check that the node that ran it has answered it completely; returns the node."""
        status, headers, body = await self.village.get(edge, path, key, **more)
        seal = rf"^{body.split()[0].decode()}\.\d+$"
        self.assertEqual(status, 200, (path, key, body))
        self.assertRegex(headers.get("server-seal", ""), seal, (path, key, body))
        node = next(node for node in self.village.nodes if node.id == body.split()[0].decode())
        self.assertIn(node.id, self.village.watch.executions[headers["attempt-id"]])
        return node

    # -- configuration

    @on_shared_village
    async def test_a_configuration_is_acknowledged_read_back_and_rejected_if_invalid(self, village):
        self.assertEqual(self.first, (200, {"config_version": "r3"}))
        send = village.operator.send
        self.assertEqual(await send("PUT", FIRST, "0"), (200, {"config_version": "r3"}))  # the same request again
        changed = copy.deepcopy(FIRST) | {"config_version": "r90"}
        status, body = await send("PUT", changed, "r1")
        self.assertEqual((status, body["config_version"]), (412, await self.version()))
        changed["objects"][0]["specification"]["service"] = "nobody"
        self.assertEqual((await send("PUT", changed, await self.version()))[0], 400)
        before = (await send("GET"))[1]
        self.assertEqual(
            [item for item in before["objects"] if item["metadata"].get("name") == "desk"],
            [item for item in FIRST["objects"] if item["metadata"].get("name") == "desk"],
        )
        await self.patch()
        self.assertEqual((await send("GET"))[1]["objects"], before["objects"])

    @on_shared_village
    async def test_requests_reach_the_holder_of_their_key_if_a_route_matches(self, village):
        for edge in village.edges:
            for key in (0, 1, 16383, 40000, 65535):
                node = await self.assert_served(edge, "/signup/x", key, method="POST")
                self.assertTrue(node.sharded)
            self.assertEqual((await self.assert_served(edge, "/desk/x")).service, "desk")
            self.assertEqual((await village.get(edge, "/nowhere/x"))[0], 404)
        self.assertLessEqual(max(node.longest_hold_s for node in village.nodes), 10.0)
        core = village.cores[1]  # learns of edges of other cores from these cores, once a second
        await village.until(lambda: self.edges_of(core, {"edge-1", "edge-2"}), "both edges known")
        self.assertEqual((await village.status(core))["config_version"], await self.version())

    @on_shared_village
    async def test_each_program_serves_the_metrics_that_the_guide_lists(self, village):
        restore_tls_modules()
        from prometheus_client.parser import text_string_to_metric_families

        metrics = {}
        for program in village.cores + village.edges:
            text = await village.until(lambda program=program: self.metrics_text(program), f"metrics of {program.ip}")
            for family in text_string_to_metric_families(text.decode()):
                metrics.setdefault(family.name, {})[program.ip] = {
                    tuple(sample.labels.values()): sample.value for sample in family.samples
                }
        guide = (pathlib.Path(__file__).parents[2] / "docs" / "guides" / "system.md").read_text()
        self.assertEqual(set(metrics), set(re.findall(r"^\| `(knotwalk_[a-z_]+)`", guide, re.MULTILINE)))
        self.assertEqual(sum(value[()] for value in metrics["knotwalk_core_leader"].values()), 1)
        self.assertEqual({value[()] for value in metrics["knotwalk_edge_ready"].values()}, {1})
        open_slices = [slices["tiles", "open"] for slices in metrics["knotwalk_core_slices"].values()]
        self.assertGreater(sum(open_slices), 0)
        versions = metrics["knotwalk_core_configuration_version"] | metrics["knotwalk_edge_configuration_version"]
        self.assertEqual(len(versions), len(village.cores + village.edges))

    async def metrics_text(self, program):
        """A program's metrics; None while their port is not open yet."""
        try:
            url = f"http://{program.ip}:{self.village.metrics}/metrics"
            status, _, text = await self.village.caller.send("GET", url, None, 9.0)
        except PeerError:
            return None
        self.assertEqual(status, 200)
        return text

    async def edges_of(self, core, expected):
        status = await self.village.status(core)
        return status is not None and {edge["edge"] for edge in status["edges"]} == expected

    @on_shared_village
    async def test_a_patch_is_in_force_at_both_edges_and_stays(self, village):
        async def statuses(path):
            return [(await village.get(edge, path))[0] for edge in village.edges]

        await self.patch([route("new", "/new/", "desk")])
        await village.until(lambda: self.all(statuses("/new/x"), 200), "the new route at both edges")
        await self.patch(remove=["new"])
        await village.until(lambda: self.all(statuses("/new/x"), 404), "the route gone at both edges")
        await self.patch([route("new", "/new/", "tiles")])
        await village.until(lambda: self.all(statuses("/new/x"), 200), "the route back at both edges")
        self.assertTrue(
            (await self.assert_served(village.edges[0], "/new/x", 7)).sharded
        )  # the previous route led to the service desk
        await self.patch(remove=["new"])
        await village.until(lambda: self.all(statuses("/new/x"), 404), "the route gone again")

    async def all(self, statuses, expected):
        return set(await statuses) == {expected}

    # -- cores

    @on_shared_village
    async def test_acknowledged_changes_survive_a_killed_leader(self, village):
        leader = await village.until(village.leader, "a leader")
        version = await self.patch([route("kept", "/kept/", "desk")])
        leader.kill()
        self.assertEqual(await self.version(), version)
        other = await village.until(village.leader, "another leader")
        self.assertIsNot(other, leader)
        for edge in village.edges:
            await village.until(lambda edge=edge: self.all(self.status(edge, "/kept/x"), 200), "the route at the edge")
        after = await self.patch(remove=["kept"])  # two of three still agree
        leader.start(initial_boot=False)
        await village.calm()
        self.assertEqual(await self.version(), after)

    async def status(self, edge, path):
        return [(await self.village.get(edge, path))[0]]

    @on_shared_village
    async def test_a_core_with_an_empty_disk_rejoins_and_votes_again(self, village):
        leader = await village.until(village.leader, "a leader")
        wiped, third = [core for core in village.cores if core is not leader]
        version = await self.patch()
        wiped.kill()
        wiped.wipe()
        wiped.start(initial_boot=False)
        await village.until(lambda: village.fresh(wiped), "the wiped core fresh")
        status = await village.status(third)
        self.assertEqual(len(status["members"]), 3)  # the rejoined core replaced its former self
        third.kill()  # from here the wiped core's vote is needed
        self.assertEqual(await self.version(), version)
        version = await self.patch()
        leader.kill()  # and from here its disk
        leader.start(initial_boot=False)
        third.start(initial_boot=False)
        await village.calm()
        self.assertEqual(await self.version(), version)

    @on_shared_village
    async def test_acknowledged_changes_survive_the_kill_of_all_cores(self, village):
        version = await self.patch()
        for core in village.cores:
            core.send(signal.SIGKILL)
        for core in village.cores:
            core.kill()
            core.start(initial_boot=False)
        self.assertEqual(await self.version(), version)
        await village.calm()
        await self.assert_served(village.edges[0], key=3)

    @on_shared_village
    async def test_an_edge_serves_by_a_provisional_view_until_there_is_a_leader(self, village):
        edge, core = village.edges[0], village.cores[0]
        for program in village.cores + [edge]:
            program.send(signal.SIGKILL)
        for program in village.cores + [edge]:
            program.kill()
        found = len(edge.events("core found"))
        core.start(initial_boot=False)
        edge.start(initial_boot=False)
        await village.until(lambda: village.ready(edge), "the edge ready")
        self.assertEqual((await self.assert_served(edge, "/desk/x")).service, "desk")
        self.assertFalse((await village.status(core))["fresh"])
        self.assertEqual(len(edge.events("core found")), found)
        for other in village.cores[1:]:
            other.start(initial_boot=False)
        await village.until(lambda: len(edge.events("core found")) > found, "a fresh core found")
        await village.calm()
        await self.patch([route("after", "/after/", "desk")])
        await village.until(lambda: self.all(self.status(edge, "/after/x"), 200), "the new route at the edge")
        await self.patch(remove=["after"])

    # -- nodes and edges

    @on_shared_village
    async def test_a_draining_node_loses_its_keys_without_failed_requests(self, village):
        node = village.nodes[0]
        node.state = "draining"
        for turn in range(10_000):
            for edge in village.edges:
                await self.served_after_retries(edge, turn * 4801 % 65536)
            if not node.held:
                break
        self.assertEqual(node.held, 0)
        request_count = len(node.seen)
        for key in range(0, 65536, 4096):
            self.assertIsNot(await self.served_after_retries(village.edges[1], key), node)
        self.assertFalse([request for request in node.seen[request_count:] if "shard-key" in request.headers])
        node.state = "ready"

    async def served_after_retries(self, edge, key):
        """Send a non-idempotent request, again as long as the edge answers 503; returns the node that served it."""

        async def attempt():
            status, headers, body = await self.village.get(edge, "/signup/x", key, "POST")
            self.assertIn(status, (200, 503), body)
            self.assertIn("server-seal" if status == 200 else "retry-after", headers)
            return status == 200 and body.split()[0].decode()

        id = await self.village.until(attempt, f"key {key} served")
        return next(node for node in self.village.nodes if node.id == id)

    async def start_held_requests(self, edge):
        """Start twelve requests that nodes hold open; returns their clients and ids, or None if not all reached a node.

        An edge may rightly hold some back: from a node with nearly as many open requests as it may have, so the
        requests are spread evenly; and from a node that has some and sends nothing, which is what a holding node looks
        like if a stall falls between the first request and the last. Then all are released, and the caller may try
        again.
        """
        village = self.village
        for node in village.nodes:
            node.gate.clear()
        clients, sent, now = [await village.client(edge) for _ in range(12)], [], clock()
        keys_by_node = [
            [key for key, held_until in enumerate(node.until) if held_until > now]
            for node in village.nodes
            if node.sharded and node.up and node.held
        ]
        for number, client in enumerate(clients):
            keys = keys_by_node[number % len(keys_by_node)]
            path, method = ("/frames/x", "GET") if number // len(keys_by_node) % 2 else ("/signup/x", "POST")
            sent.append(village.ask(client, path, keys[number * 4801 % len(keys)], method))
        deadline = clock() + SENT_WITHIN_S
        while clock() < deadline:
            if set(sent) <= set(village.watch.executions):
                return clients, sent
            await asyncio.sleep(0.02)
        for node in village.nodes:
            node.gate.set()
        for client in clients:
            status, headers, body = await village.answer(client)
            self.assertIn(status, (200, 503), body)
            self.assertIn("server-seal" if status == 200 else "retry-after", headers)
            client.close()
        return None

    @on_shared_village
    async def test_a_stopping_edge_finishes_the_requests_that_it_has_read(self, village):
        edge, other = village.edges
        for node in village.nodes:
            self.addCleanup(node.gate.set)  # a failure here must not block requests of other tests
        clients, sent = await village.until(lambda: self.start_held_requests(edge), "every request at a node")
        waiting = [await village.client(edge) for _ in range(3)]  # connected, nothing sent
        before = len(edge.events("draining"))
        edge.send(signal.SIGTERM)
        await village.until(lambda: len(edge.events("draining")) > before, "the edge draining")
        self.assertFalse(await village.ready(edge))
        with self.assertRaises(OSError):  # it accepts no new connections
            await village.client(edge)
        late = [village.ask(client, "/desk/x") for client in waiting]  # read by a draining edge
        await village.until(lambda: set(late) <= set(village.watch.executions), "late requests at nodes")
        self.assertIsNone(edge.process.poll())
        for node in village.nodes:
            node.gate.set()
        for client, id in zip(clients + waiting, sent + late):
            status, headers, _ = await village.answer(client)
            self.assertEqual((status, headers["attempt-id"], headers["connection"]), (200, id, "close"))
            client.close()
        await village.until(lambda: edge.process.poll() is not None, "the edge ended")
        self.assertEqual(edge.process.poll(), 0)
        await self.assert_served(other, key=1)
        edge.start(initial_boot=False)

    @on_shared_village
    async def test_keys_of_a_crashed_node_are_served_by_others_while_it_is_still_listed(self, village):
        crashed = village.nodes[3]
        keys = [key for key in range(0, 65536, 32) if crashed.until[key]]
        self.assertTrue(keys)
        crashed.stop()
        for edge in village.edges:
            for key in keys[:: len(keys) // 3]:
                self.assertIsNot(await self.served_after_retries(edge, key), crashed)
        crashed.shown = False


if __name__ == "__main__":
    unittest.main()
