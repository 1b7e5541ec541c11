"""The started programs together on loopback: what was acknowledged lasts, keys have one holder, drains lose nothing.

One village for all tests; each begins once it is calm again, so any of them may be run alone. Ends are awaited by their
condition, bounded far above what a calm machine needs.
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

SOON = 5.0  # seconds in which requests come to nodes if none is kept back; far below their deadline of 50 s


def here(test):
    """Run a test in the village's loop, from calm to calm."""

    @functools.wraps(test)
    def run(self):
        async def whole():
            await self.village.calm()
            await test(self, self.village)

        self.runner.run(whole())

    return run


class VillageCase(unittest.TestCase):
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
        self.assertEqual(self.village.watch.broken, [], "keys with two holders at work")
        self.assertEqual(self.village.watch.twice, [], "run twice")

    def test_every_line_of_a_log_is_json_with_a_time_a_level_and_an_event(self):
        for program in self.village.cores + self.village.edges:
            for line in program.log.read_text().splitlines(keepends=True):
                if line.endswith("\n"):  # the last may be being written
                    self.assertLessEqual({"at", "level", "event"}, set(json.loads(line)))

    async def version(self):
        status, document = await self.village.operator.send("GET")
        self.assertEqual(status, 200)
        return document["config_version"]

    async def patch(self, upsert=(), remove=()):
        """A patch on the version in force, acknowledged: the version it made."""
        before = await self.version()
        after = f"r{int(before[1:]) + 2}"
        status, said = await self.village.operator.send(
            "PATCH",
            {"config_version": after, "upsert": {"objects": list(upsert)}, "remove": {"routes": list(remove)}},
            before,
        )
        self.assertEqual((status, said), (200, {"config_version": after}))
        return after

    async def served(self, edge, path="/frames/1", key=0, **more):
        """A request is answered by the node that ran it, whole."""
        status, headers, body = await self.village.get(edge, path, key, **more)
        seal = rf"^{body.split()[0].decode()}\.\d+$"
        self.assertEqual(status, 200, (path, key, body))
        self.assertRegex(headers.get("server-seal", ""), seal, (path, key, body))
        node = next(node for node in self.village.nodes if node.id == body.split()[0].decode())
        self.assertIn(node.id, self.village.watch.begun[headers["attempt-id"]])
        return node

    # -- configuration

    @here
    async def test_a_configuration_is_acknowledged_read_back_and_refused_where_it_must_be(self, village):
        self.assertEqual(self.first, (200, {"config_version": "r3"}))
        send = village.operator.send
        self.assertEqual(await send("PUT", FIRST, "0"), (200, {"config_version": "r3"}))  # that very call again
        again = copy.deepcopy(FIRST) | {"config_version": "r90"}
        status, said = await send("PUT", again, "r1")
        self.assertEqual((status, said["config_version"]), (412, await self.version()))
        again["objects"][0]["specification"]["service"] = "nobody"
        self.assertEqual((await send("PUT", again, await self.version()))[0], 400)
        before = (await send("GET"))[1]
        self.assertEqual(
            [item for item in before["objects"] if item["metadata"].get("name") == "desk"],
            [item for item in FIRST["objects"] if item["metadata"].get("name") == "desk"],
        )
        await self.patch()
        self.assertEqual((await send("GET"))[1]["objects"], before["objects"])

    @here
    async def test_requests_reach_the_holder_of_their_key_and_only_where_a_route_is(self, village):
        for edge in village.edges:
            for key in (0, 1, 16383, 40000, 65535):
                node = await self.served(edge, "/signup/x", key, method="POST")
                self.assertTrue(node.sharded)
            self.assertEqual((await self.served(edge, "/desk/x")).service, "desk")
            self.assertEqual((await village.get(edge, "/nowhere/x"))[0], 404)
        self.assertLessEqual(max(node.longest for node in village.nodes), 10.0)
        core = village.cores[1]  # edges that call another core it knows by that one's word, which comes each second
        await village.until(lambda: self.edges_of(core, {"edge-1", "edge-2"}), "both edges known")
        self.assertEqual((await village.status(core))["config_version"], await self.version())

    @here
    async def test_each_program_tells_its_figures_under_the_names_of_the_guide(self, village):
        restore_tls_modules()
        from prometheus_client.parser import text_string_to_metric_families

        told = {}
        for program in village.cores + village.edges:
            text = await village.until(lambda program=program: self.figures(program), f"figures of {program.ip}")
            for family in text_string_to_metric_families(text.decode()):
                told.setdefault(family.name, {})[program.ip] = {
                    tuple(sample.labels.values()): sample.value for sample in family.samples
                }
        guide = (pathlib.Path(__file__).parents[2] / "docs" / "guides" / "system.md").read_text()
        self.assertEqual(set(told), set(re.findall(r"^\| `(knotwalk_[a-z_]+)`", guide, re.MULTILINE)))
        self.assertEqual(sum(value[()] for value in told["knotwalk_core_leader"].values()), 1)
        self.assertEqual({value[()] for value in told["knotwalk_edge_ready"].values()}, {1})
        leased = [slices["tiles", "open"] for slices in told["knotwalk_core_slices"].values()]
        self.assertGreater(sum(leased), 0)
        versions = told["knotwalk_core_configuration_version"] | told["knotwalk_edge_configuration_version"]
        self.assertEqual(len(versions), len(village.cores + village.edges))

    async def figures(self, program):
        """A program's figures; None while their port is not open yet."""
        try:
            url = f"http://{program.ip}:{self.village.metrics}/metrics"
            status, _, text = await self.village.caller.send("GET", url, None, 9.0)
        except PeerError:
            return None
        self.assertEqual(status, 200)
        return text

    async def edges_of(self, core, wanted):
        told = await self.village.status(core)
        return told is not None and {edge["edge"] for edge in told["edges"]} == wanted

    @here
    async def test_a_patch_is_in_force_at_both_edges_and_stays(self, village):
        async def statuses(path):
            return [(await village.get(edge, path))[0] for edge in village.edges]

        await self.patch([route("new", "/new/", "desk")])
        await village.until(lambda: self.all(statuses("/new/x"), 200), "the new route at both edges")
        await self.patch(remove=["new"])
        await village.until(lambda: self.all(statuses("/new/x"), 404), "the route gone at both edges")
        await self.patch([route("new", "/new/", "tiles")])
        await village.until(lambda: self.all(statuses("/new/x"), 200), "the route back at both edges")
        self.assertTrue((await self.served(village.edges[0], "/new/x", 7)).sharded)  # the one before led to the desk
        await self.patch(remove=["new"])
        await village.until(lambda: self.all(statuses("/new/x"), 404), "the route gone again")

    async def all(self, statuses, wanted):
        return set(await statuses) == {wanted}

    # -- cores

    @here
    async def test_a_killed_leader_takes_nothing_acknowledged_with_it(self, village):
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

    @here
    async def test_a_core_without_its_disk_is_taken_back_and_counts_again(self, village):
        leader = await village.until(village.leader, "a leader")
        wiped, third = [core for core in village.cores if core is not leader]
        version = await self.patch()
        wiped.kill()
        wiped.wipe()
        wiped.start(initial_boot=False)
        await village.until(lambda: village.fresh(wiped), "the wiped core fresh")
        told = await village.status(third)
        self.assertEqual(len(told["members"]), 3)  # it took the place of the one that it was
        third.kill()  # now the wiped one's vote is needed
        self.assertEqual(await self.version(), version)
        version = await self.patch()
        leader.kill()  # and here its disk is
        leader.start(initial_boot=False)
        third.start(initial_boot=False)
        await village.calm()
        self.assertEqual(await self.version(), version)

    @here
    async def test_all_cores_killed_at_once_come_back_with_what_was_acknowledged(self, village):
        version = await self.patch()
        for core in village.cores:
            core.send(signal.SIGKILL)
        for core in village.cores:
            core.kill()
            core.start(initial_boot=False)
        self.assertEqual(await self.version(), version)
        await village.calm()
        await self.served(village.edges[0], key=3)

    @here
    async def test_an_edge_serves_by_what_one_core_holds_for_sure_until_there_is_a_leader(self, village):
        edge, core = village.edges[0], village.cores[0]
        for program in village.cores + [edge]:
            program.send(signal.SIGKILL)
        for program in village.cores + [edge]:
            program.kill()
        found = len(edge.events("core found"))
        core.start(initial_boot=False)
        edge.start(initial_boot=False)
        await village.until(lambda: village.ready(edge), "the edge ready")
        self.assertEqual((await self.served(edge, "/desk/x")).service, "desk")
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

    @here
    async def test_a_draining_node_is_emptied_and_nothing_fails(self, village):
        node = village.nodes[0]
        node.state = "draining"
        for turn in range(10_000):
            for edge in village.edges:
                await self.served_in_the_end(edge, turn * 4801 % 65536)
            if not node.held:
                break
        self.assertEqual(node.held, 0)
        begun = len(node.seen)
        for key in range(0, 65536, 4096):
            self.assertIsNot(await self.served_in_the_end(village.edges[1], key), node)
        self.assertFalse([r for r in node.seen[begun:] if "shard-key" in r.headers])
        node.state = "ready"

    async def served_in_the_end(self, edge, key):
        """A request that must not run twice, by a client that comes back after a promise, as told: its node."""

        async def once():
            status, headers, body = await self.village.get(edge, "/signup/x", key, "POST")
            self.assertIn(status, (200, 503), body)
            self.assertIn("server-seal" if status == 200 else "retry-after", headers)
            return status == 200 and body.split()[0].decode()

        id = await self.village.until(once, f"key {key} served")
        return next(node for node in self.village.nodes if node.id == id)

    async def in_hand(self, edge):
        """Twelve requests at nodes that hold them: their clients and ids; None where not all came there.

        An edge rightly keeps some back: from a node with nearly as many in hand as it may have, so they are spread
        evenly; and from one that has some and says nothing, which a node that holds them looks like if a stall comes
        between the first and the last. Then all are let go, and it may be tried again.
        """
        village = self.village
        for node in village.nodes:
            node.gate.clear()
        clients, sent, now = [await village.client(edge) for _ in range(12)], [], clock()
        held = [
            [key for key, until in enumerate(node.until) if until > now]
            for node in village.nodes
            if node.sharded and node.up and node.held
        ]
        for number, client in enumerate(clients):
            keys = held[number % len(held)]
            path, method = ("/frames/x", "GET") if number // len(held) % 2 else ("/signup/x", "POST")
            sent.append(village.ask(client, path, keys[number * 4801 % len(keys)], method))
        end = clock() + SOON
        while clock() < end:
            if set(sent) <= set(village.watch.begun):
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

    @here
    async def test_an_edge_that_must_end_finishes_what_it_has_read(self, village):
        edge, other = village.edges
        for node in village.nodes:
            self.addCleanup(node.gate.set)  # a failure here must not stop the others' requests
        clients, sent = await village.until(lambda: self.in_hand(edge), "every request at a node")
        waiting = [await village.client(edge) for _ in range(3)]  # connected, nothing sent
        before = len(edge.events("draining"))
        edge.send(signal.SIGTERM)
        await village.until(lambda: len(edge.events("draining")) > before, "the edge draining")
        self.assertFalse(await village.ready(edge))
        with self.assertRaises(OSError):  # it takes no new connections
            await village.client(edge)
        late = [village.ask(client, "/desk/x") for client in waiting]  # read by an edge that drains
        await village.until(lambda: set(late) <= set(village.watch.begun), "late ones, too")
        self.assertIsNone(edge.process.poll())
        for node in village.nodes:
            node.gate.set()
        for client, id in zip(clients + waiting, sent + late):
            status, headers, _ = await village.answer(client)
            self.assertEqual((status, headers["attempt-id"], headers["connection"]), (200, id, "close"))
            client.close()
        await village.until(lambda: edge.process.poll() is not None, "the edge ended")
        self.assertEqual(edge.process.poll(), 0)
        await self.served(other, key=1)
        edge.start(initial_boot=False)

    @here
    async def test_a_crashed_nodes_keys_are_served_by_others_while_the_list_still_has_it(self, village):
        gone = village.nodes[3]
        keys = [key for key in range(0, 65536, 32) if gone.until[key]]
        self.assertTrue(keys)
        gone.stop()
        for edge in village.edges:
            for key in keys[:: len(keys) // 3]:
                self.assertIsNot(await self.served_in_the_end(edge, key), gone)
        gone.shown = False


if __name__ == "__main__":
    unittest.main()
