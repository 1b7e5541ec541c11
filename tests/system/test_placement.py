"""Placement: what is moved first, passes, batches and capacity estimates; on a fleet in memory that obeys at once."""

import random
import unittest

from knotwalk.discovery.view_types import SLICE_COUNT, Node
from knotwalk.leases.ledger import Ledger
from knotwalk.placement.capacity import SETTLE_S, CapacityEstimator, LoadReport, utilizations_by_node
from knotwalk.placement.passes import place, strip
from knotwalk.placement.placer import (
    BATCH_PAUSE_S,
    BATCH_SHARE,
    LAYOUT_ROUNDS,
    LOAD_CHECK_PERIOD_S,
    MAX_GATHER_S,
    MIN_DEMAND_LATE_S,
    MIN_DEMAND_S,
    MOVE_REST_S,
    MOVE_TIMEOUT_S,
    OWN_ZONE_MARGIN,
    PASS_PERIOD_S,
    RAMP_S,
    REMAINDER_DELAY_S,
    NodeLoad,
    Placer,
    own_excess,
    pass_targets,
    target_score,
)

UNIT = 512 / SLICE_COUNT  # a slice's load: 512 of load in all, whatever the number of slices


class Fleet:
    """Nodes of one service, slices divided among conductors, and true capacities that placement cannot see."""

    def __init__(self, nodes=8, conductors=("a",), seed=1, capacities=None, zones="z", homes=None):
        self.ledger, self.index, self.now = Ledger(), 0, 100.0
        self.conductors = list(conductors)
        self.placers = {name: Placer(name, seed + n, (homes or {}).get(name, "")) for n, name in enumerate(conductors)}
        self.nodes, self.unreachable, self.outliers = {}, set(), frozenset()
        self.lapsed = self.avoided = frozenset()
        for n in range(nodes):
            self.add(f"n{n}", zones[n % len(zones)])
        self.capacities = capacities or {}
        self.demand = {k: UNIT for k in range(SLICE_COUNT)}
        self.reported = {}
        self.spans = {"s": 4.0}
        self.moves = []  # (when, by, slice, target) of all commands
        self.apply({"do": "shard", "services": ["s"]})
        for n, name in enumerate(conductors):
            first, last = n * SLICE_COUNT // len(conductors), (n + 1) * SLICE_COUNT // len(conductors) - 1
            self.apply({"do": "lease", "to": name, "slices": {"s": [[first, last]]}})
        self.step()  # the first layout waits for nodes that start at the same time
        self.now += MAX_GATHER_S

    def owned(self, id):
        return {k for k, x in enumerate(self.line) if x.owner == id}

    def add(self, id, zone="z", **more):
        self.nodes[id] = Node(id, "s", ("10.0.0.1", len(self.nodes)), zone, 2, **more)

    def apply(self, command):
        self.index += 1
        self.ledger.apply(self.index, command)

    @property
    def line(self):
        return self.ledger.slices["s"]

    def loads(self):
        loads = dict.fromkeys(self.nodes, 0.0)
        for k, x in enumerate(self.line):
            if x.owner in loads:
                loads[x.owner] += self.demand[k]
        return loads

    def use(self):
        return {id: load / self.capacities.get(id, 100.0) for id, load in self.loads().items()}

    def rows(self, span=4.0):
        """What edges would count at nodes of two slots that report no load: queues of random arrivals, full at ten."""
        rows = {}
        for id, used in self.use().items():
            tries, done = used * 2, min(used, 0.95) * 2  # a second, in units of what a slot does
            held = done / (1 - (done / 2) ** 2) if used < 0.95 else 10.0
            rows[id] = [0, 0, 2, done * span, 0, (tries - done) * span, held * span]
        return rows

    def step(self, obey=True, only=None):
        """One look by each conductor; its commands are applied before the next one's look. Returns all commands."""
        commands = []
        for name in only or self.conductors:
            report = LoadReport(
                {"s": dict(self.demand)},
                dict(self.reported),
                {id: self.now for id in self.reported},
                self.unreachable,
                self.outliers,
                demand_spans=self.spans,
                lapsed=self.lapsed,
                avoided=self.avoided,
            )
            for command in self.placers[name].place(self.now, self.ledger, self.nodes, report):
                commands.append(command)
                if obey:
                    self.apply(command)
                    moved = self.index
                    for service, first, last, _, target in command["moves"]:
                        self.moves += [(self.now, name, k, target) for k in range(first, last + 1)]
                        self.apply({"do": "granted", "by": name, "fence": moved, "slices": {service: [[first, last]]}})
        return commands

    def run(self, seconds, silent=False):
        """Let time pass; nodes report their utilization or, if silent, edges count requests."""
        end = self.now + seconds
        while self.now < end:
            self.reported = {id: used for id, used in self.use().items() if used}
            if silent:
                self.reported = utilizations_by_node(self.rows(), {"s": 4.0}, self.nodes)
            self.step()
            self.now = round(self.now + 0.25, 3)


class PlacerTest(unittest.TestCase):
    def test_a_fresh_service_is_spread_evenly_in_few_runs(self):
        fleet = Fleet(26, "abc")
        fleet.step()
        loads = fleet.loads()
        self.assertTrue(all(16 <= load <= 24 for load in loads.values()), loads)
        runs = 1 + sum(x.owner != y.owner for x, y in zip(fleet.line, fleet.line[1:]))
        self.assertLessEqual(runs, 3 * LAYOUT_ROUNDS * 26)
        self.assertEqual(fleet.step(), [])

    def test_nodes_listed_one_by_one_before_the_first_layout_get_equal_shares(self):
        """Guards against twice as many keys on the nodes of the list's first page: nodes appear over some seconds."""
        fleet = Fleet(4)
        for n in range(4, 8):
            fleet.add(f"n{n}")
        fleet.step()
        self.assertTrue(all(60 <= load <= 68 for load in fleet.loads().values()), fleet.loads())

    def test_no_pass_is_made_before_demand_is_reported(self):
        """Guards against a restarted core that counts all slices as equal and moves dozens for that."""
        fleet = Fleet(4)
        fleet.step()
        heavy = [k for k, x in enumerate(fleet.line) if x.owner == "n0"]
        fleet.demand.update(dict.fromkeys(heavy[::8], 20 * UNIT))
        late = Placer("a", 5)
        for placer, wanted in ((late, MIN_DEMAND_LATE_S), (fleet.placers["a"], MIN_DEMAND_S)):
            fleet.placers["a"] = placer
            for fleet.spans in ({}, {"s": wanted - 0.1}):
                fleet.now += 2 * PASS_PERIOD_S
                self.assertEqual(fleet.step(), [], (wanted, fleet.spans))
            fleet.spans = {"s": wanted}
            fleet.now += 2 * PASS_PERIOD_S
            self.assertTrue(fleet.step(obey=False))

    def near(self, fleet, homes):
        """The share of slices that node and conductor have in one zone."""
        return sum(fleet.nodes[x.owner].zone == homes[x.conductor] for x in fleet.line) / SLICE_COUNT

    def test_a_fresh_service_is_laid_out_within_zones_and_as_evenly(self):
        homes = {"a": "x", "b": "y", "c": "z"}
        for zones, least in (
            ("xyz", 0.95),
            ("xyzw", 0.7),
            ("xxxxy", 0.5),
            ("xy", 0.6),
        ):  # also a zone without a conductor, or a conductor without a zone
            fleet = Fleet(26, "abc", zones=zones, homes=homes)
            fleet.step()
            self.assertEqual(fleet.step(), [], "the remainder waits for what the others lay out")
            fleet.now += REMAINDER_DELAY_S
            fleet.step()
            self.assertTrue(all(16 <= load <= 24 for load in fleet.loads().values()), (zones, fleet.loads()))
            self.assertGreaterEqual(self.near(fleet, homes), least, zones)
            self.assertEqual(fleet.step(), [])

    def test_a_target_of_the_own_zone_is_taken_unless_much_worse(self):
        x, y, z = NodeLoad("x", 10.0, 5.5, True), NodeLoad("y", 10.0, 5.0), NodeLoad("z", 10.0, 7.0, True)
        self.assertEqual(pass_targets([x, y, z]), [x, z])
        x.load += 10 * OWN_ZONE_MARGIN
        self.assertEqual(pass_targets([x, y, z]), [x, y, z])

    def test_slices_of_gone_lapsed_and_draining_nodes_move_at_once_even_past_capacity(self):
        fleet = Fleet(5, "ab", capacities=dict.fromkeys((f"n{n}" for n in range(5)), 105.0))
        fleet.run(20.0)
        quiet = len(fleet.moves)
        del fleet.nodes["n0"]
        fleet.nodes["n1"].draining = True
        fleet.unreachable = {"n2"}
        fleet.step()
        self.assertEqual({x.owner for x in fleet.line}, {"n2", "n3", "n4"})  # n2 may still hold its keys
        fleet.lapsed = frozenset(("s", k) for k, x in enumerate(fleet.line) if x.owner == "n2")
        fleet.step()
        self.assertEqual({x.owner for x in fleet.line}, {"n3", "n4"})
        self.assertTrue(all(used > 1 for used in (fleet.use()[id] for id in ("n3", "n4"))))
        self.assertTrue(all(at == fleet.now for at, *_ in fleet.moves[quiet:]))

    def test_a_node_that_another_core_cannot_reach_keeps_its_keys_and_gets_no_more(self):
        fleet = Fleet(4)
        fleet.run(12.0)
        had = fleet.owned("n1")
        fleet.avoided = frozenset({"n1"})
        del fleet.nodes["n0"]
        fleet.run(12.0)
        self.assertTrue(had)
        self.assertLessEqual(fleet.owned("n1"), had)
        fleet.avoided = frozenset(fleet.nodes)  # no other target is left
        del fleet.nodes["n2"]
        fleet.step()
        self.assertTrue(all(x.owner in fleet.nodes for x in fleet.line))

    def test_slices_that_must_move_go_to_the_least_used_node_and_count_there_at_once(self):
        fleet = Fleet(4)
        fleet.run(12.0)
        fleet.demand.update({k: 0.1 for k, x in enumerate(fleet.line) if x.owner == "n3"})
        del fleet.nodes["n0"]
        fleet.step()
        loads = fleet.loads()
        self.assertAlmostEqual(loads["n1"], loads["n3"], delta=10)

    def test_only_own_slices_are_moved(self):
        fleet = Fleet(4, "ab")
        fleet.step()
        del fleet.nodes["n0"]
        (command,) = fleet.step(only="b")
        self.assertTrue(all(256 <= row[1] and row[2] < SLICE_COUNT for row in command["moves"]))
        self.assertEqual(command["by"], "b")
        self.assertTrue(any(x.owner == "n0" for x in fleet.line[:256]))

    def test_a_move_is_proposed_again_only_once_it_counts_as_lost(self):
        fleet = Fleet(3)
        self.assertEqual(len(fleet.step(obey=False)), 1)
        self.assertEqual(fleet.step(obey=False), [])
        fleet.now += 2.5
        self.assertEqual(len(fleet.step(obey=False)), 1)

    def test_a_look_is_due_only_on_changed_inputs_and_at_its_time(self):
        fleet = Fleet(3)
        placer = fleet.placers["a"]
        self.assertTrue(placer.is_due(fleet.now, "list 1"))
        (command,) = fleet.step(obey=False)
        self.assertFalse(placer.is_due(fleet.now + LOAD_CHECK_PERIOD_S / 2, "list 1"))
        self.assertTrue(placer.is_due(fleet.now + LOAD_CHECK_PERIOD_S / 2, "list 2"))  # at once
        self.assertFalse(placer.is_due(fleet.now + LOAD_CHECK_PERIOD_S, "list 2"))
        self.assertTrue(placer.is_due(fleet.now + 1.6 * LOAD_CHECK_PERIOD_S, "list 2"))  # for loads
        placer.is_due(fleet.now + MOVE_TIMEOUT_S - 0.1, "list 2")
        self.assertFalse(placer.is_due(fleet.now + MOVE_TIMEOUT_S - 0.01, "list 2"))
        self.assertTrue(placer.is_due(fleet.now + MOVE_TIMEOUT_S, "list 2"))  # the move may be lost

    def test_without_nodes_there_are_no_moves(self):
        fleet = Fleet(1)
        fleet.nodes["n0"].draining = True
        self.assertEqual(fleet.step(), [])
        fleet.nodes.clear()
        self.assertEqual(fleet.step(), [])

    def test_passes_relieve_overloaded_nodes_and_then_stop(self):
        for seed in range(4):
            with self.subTest(seed=seed):
                fleet = Fleet(8, "abc", seed)
                fleet.run(15.0)
                draw = random.Random(seed)
                for k in range(400, 440):  # busy keys are close together
                    fleet.demand[k] = draw.uniform(16, 32) * UNIT
                self.assertGreater(max(fleet.use().values()), 1.15)
                fleet.run(60.0)
                use = fleet.use()
                mean = sum(use.values()) / len(use)
                self.assertLess(max(use.values()), (1 + mean) / 2 + 0.15)
                count = len(fleet.moves)
                fleet.run(30.0)
                self.assertLess(len(fleet.moves) - count, 10)
                last = {}
                for at, _, k, _ in fleet.moves:  # a slice stays at its new place for a while
                    self.assertGreaterEqual(at - last.get(k, -99.0), MOVE_REST_S)
                    last[k] = at

    def test_ordinary_moves_go_out_a_tenth_at_a_time(self):
        fleet = Fleet(8)
        fleet.run(15.0)
        count = len(fleet.moves)
        for k, x in enumerate(fleet.line):
            fleet.demand[k] = (6.0 if x.owner in ("n0", "n1") else 0.2) * UNIT
        fleet.run(20.0)
        batches = {}
        for at, *_ in fleet.moves[count:]:
            batches[at] = batches.get(at, 0) + 1
        times = sorted(batches)
        self.assertGreater(len(times), 1)
        self.assertLessEqual(max(batches.values()), int(SLICE_COUNT * BATCH_SHARE))
        self.assertTrue(all(b - a >= BATCH_PAUSE_S for a, b in zip(times, times[1:])))

    def test_an_even_fleet_is_left_alone_and_a_heavy_slice_stays(self):
        fleet = Fleet(8)
        fleet.run(15.0)
        count = len(fleet.moves)
        fleet.run(3 * PASS_PERIOD_S)
        self.assertEqual(len(fleet.moves), count)
        fleet.demand[40] = 500.0
        owner = fleet.line[40].owner
        fleet.run(30.0)
        self.assertEqual(fleet.line[40].owner, owner)
        self.assertTrue(all(k != 40 for _, _, k, _ in fleet.moves[count:]))

    def test_a_new_node_counts_as_half(self):
        fleet = Fleet(2)
        fleet.run(12.0)
        fleet.add("new")
        del fleet.nodes["n0"]
        fleet.step()
        self.assertLess(fleet.loads()["new"], 0.55 * fleet.loads()["n1"])
        fleet.add("cold", cold_until=fleet.now + 60.0)
        fleet.now += RAMP_S + 1
        fleet.nodes["n1"].draining = True
        fleet.step()
        self.assertLess(fleet.loads()["cold"], 0.55 * fleet.loads()["new"])

    def test_small_nodes_are_detected_and_get_less(self):
        fleet = Fleet(6, capacities={"n0": 50.0, "n1": 180.0})
        fleet.run(90.0)
        use = fleet.use()
        self.assertLess(use["n0"], 1.05)

    def test_small_nodes_are_detected_though_none_reports_its_load(self):
        fleet = Fleet(6, capacities={"n0": 50.0, "n1": 180.0, "n2": 180.0})
        fleet.step()
        self.assertGreater(fleet.use()["n0"], 1.4)
        fleet.run(45.0, silent=True)
        self.assertLess(max(fleet.use().values()), 0.95)
        count = len(fleet.moves)
        fleet.run(15.0, silent=True)
        self.assertLess(len(fleet.moves) - count, 10)


def stripped(node, own):
    return strip([node], lambda x: own.get(x.id, ()), 1.0, can_move=own_excess([node], 1.0, own))


class PassTest(unittest.TestCase):
    def test_the_heaviest_slice_within_the_own_part_is_stripped(self):
        node = NodeLoad("n", 10.0, 14.0)
        pool = stripped(node, {"n": [(1.0, 1), (2.0, 2), (0.5, 3), (3.5, 4)]})  # half of the load is ours
        self.assertEqual([k for _, k, _ in pool], [2])
        self.assertEqual(node.load, 12.0)

    def test_a_small_excess_a_light_slice_and_other_conductors_slices_are_left(self):
        self.assertEqual(stripped(NodeLoad("n", 10.0, 10.4), {"n": [(1.0, 1)]}), [])
        self.assertEqual(stripped(NodeLoad("n", 10.0, 14.0), {"m": [(1.0, 1)]}), [])
        self.assertEqual(stripped(NodeLoad("n", 10.0, 14.0), {"n": [(0.01, 1)]}), [])

    def test_the_pool_is_placed_heaviest_first_where_it_fits_best_and_never_overfills(self):
        source, a, b = NodeLoad("s", 10.0, 7.0), NodeLoad("a", 10.0, 6.0), NodeLoad("b", 5.0, 2.0)
        moves = place(
            [(9.0, 3, source), (2.0, 2, source), (1.0, 1, source)],
            lambda _, node: (x for x in (source, a, b) if x is not node),
            target_score,
        )
        self.assertEqual([(k, target.id) for k, _, target in moves], [(2, "a"), (1, "b")])
        self.assertEqual((source.load, a.load, b.load), (16.0, 8.0, 3.0))

    def test_a_target_that_is_only_as_good_is_rejected(self):
        source, other = NodeLoad("s", 10.0, 8.0), NodeLoad("o", 10.0, 8.0)
        self.assertEqual(place([(1.0, 1, source)], lambda *_: [other], target_score), [])
        self.assertEqual((source.load, other.load), (9.0, 8.0))


class CapacityTest(unittest.TestCase):
    nodes = {id: Node(id, "s", ("h", n), "z", 2) for n, id in enumerate("abc")}

    def add_report(self, capacities, at, used, work=None, moved=None, cold=()):
        capacities.add_report(
            self.nodes,
            work or {"a": 40.0, "b": 40.0, "c": 40.0},
            LoadReport(utilization=used, heard_at=dict.fromkeys(used, at)),
            moved or {},
            cold,
        )

    def test_demand_over_utilization_smoothed_and_the_average_for_nodes_without_samples(self):
        capacities = CapacityEstimator()
        self.assertEqual(capacities.estimates(self.nodes), {"a": 0.0, "b": 0.0, "c": 0.0})
        for at in range(20):
            self.add_report(capacities, float(at), {"a": 0.4 + 0.1 * (at % 2), "b": 0.8})
        estimates = capacities.estimates(self.nodes)
        self.assertAlmostEqual(estimates["a"], 40 / 0.45, delta=6)
        self.assertAlmostEqual(estimates["b"], 50, delta=6)
        self.assertAlmostEqual(estimates["c"], 64, delta=4)
        self.add_report(capacities, 30.0, {"a": 0.0, "c": 0.01})  # idle: the last estimate stays
        self.assertEqual(capacities.estimates(self.nodes), estimates)

    def test_nodes_that_report_no_load_are_judged_by_requests_in_flight(self):
        """Guards against a node that fails half of its tries fast and looks half idle by its busy seconds."""
        rows = {"a": [0, 0, 2, 40, 0, 0, 4.0], "b": [0, 0, 2, 20, 15, 5, 2.0], "c": [0, 0, 2, 0, 40, 0, 0.0]}
        utilizations = utilizations_by_node(rows, {"s": 4.0}, self.nodes)
        self.assertEqual(utilizations.keys(), {"a", "b"})
        self.assertAlmostEqual(utilizations["a"], 0.46, delta=0.01)
        self.assertAlmostEqual(utilizations["a"], utilizations["b"])
        rows["c"] = [30, 20, 2, 20, 0, 0, 2.0]  # one of the service reports, so only reports count
        self.assertEqual(utilizations_by_node(rows, {"s": 4.0}, self.nodes), {"c": 0.75})

    def test_nothing_is_learned_of_a_service_whose_demand_has_just_begun(self):
        capacities = CapacityEstimator()
        report = LoadReport(utilization={"a": 0.5}, heard_at={"a": 5.0}, demand_spans={"s": SETTLE_S / 2})
        capacities.add_report(self.nodes, {"a": 40.0}, report, {}, ())
        self.assertEqual(capacities.estimates(self.nodes)["a"], 0.0)
        report.demand_spans["s"] = SETTLE_S
        capacities.add_report(self.nodes, {"a": 40.0}, report, {}, ())
        self.assertAlmostEqual(capacities.estimates(self.nodes)["a"], 80.0)

    def test_reports_that_are_old_cold_or_from_before_a_move_do_not_count(self):
        capacities = CapacityEstimator()
        self.add_report(capacities, 5.0, {"a": 0.5}, moved={"a": 4.0})
        self.add_report(capacities, 6.5, {"a": 0.5}, cold={"a"})
        self.assertEqual(capacities.estimates(self.nodes)["a"], 0.0)
        self.add_report(capacities, 8.0, {"a": 0.5}, moved={"a": 4.0})
        self.add_report(capacities, 8.0, {"a": 0.1}, moved={"a": 4.0})
        self.assertAlmostEqual(capacities.estimates(self.nodes)["a"], 80.0)


if __name__ == "__main__":
    unittest.main()
