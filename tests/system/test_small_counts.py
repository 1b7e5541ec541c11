"""Decisions of core and edge with 0, 1 and 2 of what they divide among or compare: one table a decision."""

import itertools
import random
import unittest

from knotwalk.consensus.membership_rules import PeerProgress, majority_value, next_members, quorum
from knotwalk.discovery.loads import LoadReports
from knotwalk.discovery.outliers import OutlierDetection
from knotwalk.discovery.view_types import SLICE_COUNT, Node
from knotwalk.edge.choose import pick_node
from knotwalk.leases.conductor_leases import CALM_PERIOD_S, LEASE_S, ConductorLeases, hand_over, reassign
from knotwalk.leases.ledger import Ledger, ranges
from knotwalk.placement.capacity import LoadReport
from knotwalk.placement.placer import GATHER_QUIET_S, PASS_PERIOD_S, Placer

NAMES = ("a", "b", "c")
STEP_S = 0.2  # between two checks of leases
LEASE_END_S = LEASE_S + 1.0  # a lease that isn't renewed has certainly ended by then


class Leader:
    """A leader's table of leases over one service, in use for several calm periods."""

    def __init__(self):
        self.ledger, self.index, self.now, self.live = Ledger(), 0, 0.0, set()
        self.leases = ConductorLeases(0.0)
        self.apply({"do": "shard", "services": ["s"]})

    @property
    def slices(self):
        return self.ledger.slices["s"]

    def apply(self, command):
        self.index += 1
        self.ledger.apply(self.index, command)

    def open_all(self):
        for name in sorted(self.live):
            held = [number for number, row in enumerate(self.slices) if row.conductor == name]
            rows = [["s", first, last, 0, "n1"] for first, last in ranges(held)]
            self.apply({"do": "move", "by": name, "moves": rows})
            self.apply({"do": "granted", "by": name, "fence": self.index, "slices": {"s": [[0, SLICE_COUNT - 1]]}})

    def run(self, seconds):
        """Check leases periodically; returns the hand-overs."""
        handed, end = [], self.now + seconds
        while self.now < end:
            self.now += STEP_S
            for name in sorted(self.live):
                self.leases.renew(self.now, name)
            for to, runs in reassign(self.leases, self.now, [row.conductor for row in self.slices]).items():
                self.apply({"do": "lease", "to": to, "early": False, "slices": {"s": runs}})
            if hand := hand_over(self.leases, self.now, self.slices):
                self.leases.note_hand_over(self.now)
                self.apply({"do": "lease", "from": hand[0], "to": hand[1], "early": True, "slices": {"s": hand[2]}})
                handed.append(hand)
        return handed

    def found(self, count):
        self.live = set(NAMES[:count])
        self.run(LEASE_END_S)
        self.open_all()

    def counts(self):
        return {name: sum(row.conductor == name for row in self.slices) for name in ("", *NAMES)}


def left(leader, name):
    leader.live.discard(name)
    leader.leases.on_left(leader.now, name)


def fell_silent(leader, name):
    leader.live.discard(name)


def replaced(leader, name):
    """Another incarnation has the address of this one, which was `name`."""
    leader.live.discard(name)
    leader.leases.end_replaced(leader.now, NAMES, {"z": name})


class LeasesTest(unittest.TestCase):
    """Guards against a lease balance that ends the core where one conductor is left (review/7, FAULT)."""

    WAYS = {"left": left, "killed or unheard": fell_silent, "replaced at its address": replaced}

    def check_end(self, leader, count):
        half = SLICE_COUNT / 2
        counts = leader.counts()
        self.assertEqual(sum(counts[name] for name in leader.live), SLICE_COUNT if count else 0)
        if count == 2:
            for name in leader.live:
                self.assertAlmostEqual(counts[name], half, delta=0.1 * half)

    def test_founded_with_so_many(self):
        for count in (0, 1, 2):
            with self.subTest(conductors=count):
                leader = Leader()
                leader.found(count)
                self.assertEqual(leader.run(3 * CALM_PERIOD_S), [])
                self.check_end(leader, count)

    def test_others_gone(self):
        for (name, gone), before, count in itertools.product(self.WAYS.items(), (1, 2, 3), (0, 1, 2)):
            if count < before:
                with self.subTest(name, conductors=count, before=before):
                    leader = Leader()
                    leader.found(before)
                    leader.run(CALM_PERIOD_S)
                    for conductor in NAMES[count:before]:
                        gone(leader, conductor)
                    leader.run(6 * CALM_PERIOD_S)
                    if count:
                        self.check_end(leader, count)

    def test_joined_by_another(self):
        for count in (1, 2):
            with self.subTest(conductors=count):
                leader = Leader()
                leader.found(count - 1)
                leader.run(2 * CALM_PERIOD_S)
                leader.live = set(NAMES[:count])
                leader.run(8 * CALM_PERIOD_S)
                self.check_end(leader, count)

    def test_no_slices_and_fewer_slices_than_conductors(self):
        for count, slices in itertools.product((0, 1, 2, 3), (0, 1, 2)):
            with self.subTest(conductors=count, slices=slices):
                leader = Leader()
                leader.live = set(NAMES[:count])
                leader.ledger.slices["s"] = leader.slices[:slices]
                self.assertEqual(leader.run(3 * CALM_PERIOD_S), [])
                self.assertEqual(sum(leader.counts()[name] for name in leader.live), slices if count else 0)


class MembersTest(unittest.TestCase):
    """Majorities and membership changes in groups of one and two."""

    TIMES = {"now": 10.0, "max_answer_age": 0.45, "removal_timeout": 2.0, "max_holder_answer_age": 0.18}

    def next(self, others, target, learners=()):
        members = {"a": "A"} | {peer.id: peer.address for peer in others}
        changed = next_members(
            "a",
            members,
            {peer.id: peer for peer in others},
            list(learners),
            commit=5,
            target_members=target,
            **self.TIMES,
        )
        return sorted(changed) if changed is not None else None

    def peer(self, name, **more):
        return PeerProgress(name, name.upper(), **{"match_index": 5, "answered_at": 10.0, "first_heard_at": 0.0} | more)

    def test_majorities(self):
        self.assertEqual([quorum(count) for count in (1, 2, 3)], [1, 2, 2])
        self.assertEqual([majority_value(values) for values in ([4], [4, 7], [4, 7, 9])], [4, 4, 7])

    def test_changes(self):
        leaving, silent = {"leaving": True}, {"answered_at": 7.0}
        table = {
            "one stays": (None, [], 1),
            "one of one that wants three": (None, [], 3),
            "two stay": (None, [self.peer("b")], 1),
            "one of two leaves": (["a"], [self.peer("b", **leaving)], 1),
            "one of two leaves, but three are wanted": (None, [self.peer("b", **leaving)], 3),
            "one of two is unheard": (["a"], [self.peer("b", **silent)], 1),
            "one of three is unheard": (["a", "b"], [self.peer("b"), self.peer("c", **silent)], 1),
            "of three both others are unheard": (None, [self.peer("b", **silent), self.peer("c", **silent)], 1),
            "one joins one": (["a", "b"], [], 1, [self.peer("b")]),
            "one joins two": (["a", "b", "c"], [self.peer("b")], 1, [self.peer("c")]),
        }
        for name, (expected, *arguments) in table.items():
            with self.subTest(name):
                self.assertEqual(self.next(*arguments), expected)


def listed(count, **more):
    return {f"n{k}": Node(f"n{k}", "s", (f"10.0.0.{k}", 1), "z", 2, **more) for k in range(count)}


class NodesTest(unittest.TestCase):
    """Placement, outlier detection, loads and an edge's choice with few nodes."""

    def placed(self, nodes, report, before=None):
        """Owners after the placer's moves: slices are laid out on `before`, then the list is `nodes`."""
        ledger, index = Ledger(), 1
        ledger.apply(index, {"do": "shard", "services": ["s"]})
        ledger.apply(2, {"do": "lease", "to": "a", "early": False, "slices": {"s": [[0, SLICE_COUNT - 1]]}})
        index, placer, now = 2, Placer("a", 1, "z"), 0.0
        stages = [(before, LoadReport())] if before is not None else []
        for listing, loads in [*stages, (nodes, report)]:
            for _ in range(int((GATHER_QUIET_S + 3 * PASS_PERIOD_S) / 0.25)):
                now += 0.25
                for command in placer.place(now, ledger, listing, loads):
                    index += 1
                    ledger.apply(index, command)
                    fence = {"do": "granted", "by": "a", "fence": index, "slices": {"s": [[0, SLICE_COUNT - 1]]}}
                    index += 1
                    ledger.apply(index, fence)
        return {row.owner for row in ledger.slices["s"]}

    def test_placement(self):
        demand = {"s": {number: 1.0 for number in range(SLICE_COUNT)}}
        known = {"demand": demand, "demand_spans": {"s": 4.0}}
        busy = {"utilization": {"n0": 1.4}, "heard_at": {"n0": 1.0}}
        all_slices = frozenset(("s", number) for number in range(SLICE_COUNT))
        table = {
            "none": ({""}, {}, LoadReport()),
            "one": ({"n0"}, listed(1), LoadReport()),
            "two": ({"n0", "n1"}, listed(2), LoadReport()),
            "one, overloaded": ({"n0"}, listed(1), LoadReport(**known, **busy)),
            "two, one overloaded": ({"n0", "n1"}, listed(2), LoadReport(**known, **busy)),
            "one, draining": ({""}, listed(1, draining=True), LoadReport()),
            "one, an outlier": ({"n0"}, listed(1), LoadReport(**known, outliers=frozenset({"n0"}))),
            "one, avoided": ({"n0"}, listed(1), LoadReport(avoided=frozenset({"n0"}))),
            "one, unreachable": ({""}, listed(1), LoadReport(unreachable={"n0"})),
            "all gone": ({"n0"}, {}, LoadReport(), listed(1)),
            "one of two gone": ({"n0"}, listed(1), LoadReport(), listed(2)),
            "one of two unreachable, its holds lapsed": (
                {"n1"},
                listed(2),
                LoadReport(unreachable={"n0"}, lapsed=all_slices),
                listed(2),
            ),
            "both unreachable": (
                {"n0", "n1"},
                listed(2),
                LoadReport(unreachable={"n0", "n1"}, lapsed=all_slices),
                listed(2),
            ),
            "no load on two": (
                {"n0", "n1"},
                listed(2),
                LoadReport(utilization={"n0": 0.0, "n1": 0.0}, heard_at={"n0": 1.0, "n1": 1.0}, **known),
            ),
        }
        for name, (expected, *arguments) in table.items():
            with self.subTest(name):
                self.assertEqual(self.placed(*arguments), expected)

    def test_outliers(self):
        """Where one is all there is, it is never ejected."""
        for count, failing in ((0, 0), (1, 0), (1, 1), (2, 0), (2, 1), (2, 2)):
            with self.subTest(nodes=count, failing=failing):
                detection, nodes = OutlierDetection(), listed(count)
                for second in range(5):
                    rows = {id: [0, 0, 2, 20, 0, 0, 1.0] for id in nodes}
                    bad = {id: [10, 0] for id in list(nodes)[:failing]}
                    detection.add_report(float(second), {"nodes": rows, "bad": bad})
                    self.assertEqual(detection.evaluate(float(second), nodes), frozenset())

    def test_loads(self):
        for edges in (0, 1, 2):
            with self.subTest(edges=edges):
                loads = LoadReports()
                for second, edge in itertools.product(range(6), range(edges)):
                    loads.record_edge(float(second), f"e{edge}")
                    loads.add_report(float(second), {"demand": {"s": {"0": 3}}, "nodes": {"n0": [2, 4, 2]}}, True)
                self.assertEqual(loads.edge_count(5.0), edges)
                sums, spans = loads.window_sums(5.0)
                self.assertEqual(set(spans), {"s"} if edges else set())
                self.assertEqual(loads.edge_count(60.0), 0)
                self.assertEqual(loads.window_sums(60.0)[0].get("nodes", {}), {})

    def test_an_edges_choice(self):
        for count, tried, draining in itertools.product((0, 1, 2), (0, 1, 2), (False, True)):
            with self.subTest(nodes=count, tried=tried, draining=draining):
                nodes = listed(count, draining=draining)
                skip = set(list(nodes)[:tried])
                node = pick_node(list(nodes.values()), 1.0, "z", random.Random(1), skip)
                left_over = set() if draining else nodes.keys() - skip
                self.assertEqual(node is not None, bool(left_over))
                self.assertTrue(node is None or node.id in left_over)


if __name__ == "__main__":
    unittest.main()
