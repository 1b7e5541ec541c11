"""Outlier detection by the reports of all edges: true and false positives, bounds, the way back, and its effects."""

import itertools
import math
import random
import unittest
from decimal import Context, Decimal, localcontext
from fractions import Fraction

from knotwalk.discovery.binomial import binomial_tail
from knotwalk.discovery.cluster_view import ClusterView
from knotwalk.discovery.loads import WINDOW_S, LoadReports
from knotwalk.discovery.outliers import (
    EJECTION_RESET_S,
    FIRST_EJECTION_S,
    MAX_EJECTED_FRACTION,
    MAX_EJECTION_S,
    OutlierDetection,
)
from knotwalk.discovery.view_publisher import ViewPublisher
from knotwalk.discovery.view_types import Node
from knotwalk.edge.choose import pick_node
from tests.system.test_placement import Fleet


def exact_tail(bad: int, tries: int, rate: float) -> Fraction:
    """The sum of the distribution's terms in exact fractions."""
    p = Fraction(rate)
    return sum((math.comb(tries, k) * p**k * (1 - p) ** (tries - k) for k in range(bad, tries + 1)), Fraction(0))


def precise_tail(bad: int, tries: int, rate: float) -> Decimal:
    """The same to forty digits, for many tries: by the ratio of successive terms."""
    with localcontext(Context(prec=60, Emin=-(10**9), Emax=10**9)):
        p, total = Decimal(rate), Decimal(0)
        term, odds = (1 - p) ** tries, p / (1 - p)
        for k in range(tries + 1):
            if k >= bad:
                total += term
                if k > tries * rate and term < total * Decimal("1e-30"):
                    break
            term = term * (tries - k) / (k + 1) * odds
        return total


class BinomialTailTest(unittest.TestCase):
    """Guards against a test for outliers that ends the cores where one node has a thousand tries (review/2, FAULT)."""

    MAX_RELATIVE_ERROR = 1e-7

    def check(self, expected, *arguments):
        found = binomial_tail(*arguments)
        if expected > 1e-300:
            self.assertLessEqual(abs(float(Fraction(found) / Fraction(expected)) - 1), self.MAX_RELATIVE_ERROR)
        else:
            self.assertLessEqual(found, 1e-299)

    def test_against_exact_fractions(self):
        for tries, rate in itertools.product((0, 1, 2, 3, 10, 41), (0.0, 1e-9, 0.015, 0.2, 0.5, 0.97, 1.0)):
            for bad in range(tries + 2):
                with self.subTest(bad=bad, tries=tries, rate=rate):
                    self.check(exact_tail(bad, tries, rate), bad, tries, rate)

    def test_with_many_tries(self):
        for tries in (1029, 1030, 1031, 20_000):
            for rate, part in itertools.product((0.015, 0.4, 0.9), (0.001, 0.014, 0.02, 0.39, 0.41, 0.6, 0.95, 1.0)):
                with self.subTest(tries=tries, rate=rate, part=part):
                    bad = round(part * tries)
                    self.check(precise_tail(bad, tries, rate), bad, tries, rate)

    def test_with_a_million_tries(self):
        for bad, rate in ((15_400, 0.015), (400_900, 0.4), (399_000, 0.4), (1_000_000, 0.5), (0, 0.5)):
            with self.subTest(bad=bad, rate=rate):
                self.check(precise_tail(bad, 1_000_000, rate), bad, 1_000_000, rate)

    def test_a_busy_node_that_fails_is_ejected_and_its_peers_are_not(self):
        """What one core hears of seven nodes, one of which gets most requests and fails two in five."""
        for rate in (400.0, 1_080.0, 45_000.0):
            with self.subTest(requests_per_s=rate):
                detection, nodes = (
                    OutlierDetection(),
                    {f"n{n}": Node(f"n{n}", "s", ("a", n), "z", 16) for n in range(7)},
                )
                for second in range(4):
                    rows = {id: [0, 0, 16, 20, 0, 0, 1.0] for id in nodes} | {"n0": [0, 0, 16, rate, 0, 0, 9.0]}
                    detection.add_report(second, {"nodes": rows, "bad": {"n0": [0.4 * rate, 0]}})
                    ejected = detection.evaluate(second, nodes)
                self.assertEqual(ejected, {"n0"})


class ReportingEdges:
    """A service's nodes as `edges` edges see them: `rate` attempts a second at each, bad with probability `chances`."""

    def __init__(self, nodes=20, edges=58, rate=8.0, seed=1):
        self.random, self.edges, self.rate, self.now = random.Random(seed), edges, rate, 0.0
        self.nodes = {f"n{n}": Node(f"n{n}", "s", ("10.0.0.1", n), "z", 2) for n in range(nodes)}
        self.chances = dict.fromkeys(self.nodes, 0.0)
        self.loads, self.full = LoadReports(), set()

    def report(self, reports_load):
        """One edge's report of a second: few attempts at few nodes. With `reports_load`, responses report loads."""
        report = {"nodes": {}, "bad": {}}
        for id in self.nodes:
            mean = self.rate / self.edges
            tries = sum(self.random.random() < mean / 4 for _ in range(4))
            bad = sum(self.random.random() < self.chances[id] for _ in range(tries))
            if tries and reports_load:  # lost responses report no load
                report["nodes"][id] = [(tries - bad) * (3 if id in self.full else 1), tries - bad, 2]
                report["bad"] |= {id: [bad, bad]} if bad else {}
            elif tries:
                report["nodes"][id] = [0, 0, 2, tries - bad, bad, 0, 0.1 * (tries - bad)]
                report["bad"] |= {id: [bad, 0]} if bad else {}
        return report

    def seconds(self, count, reports_load=True):
        """Let time pass; yields the ejected nodes after each second's evaluation."""
        for _ in range(count):
            for _ in range(self.edges):
                self.now += 1.0 / self.edges
                self.loads.add_report(self.now, self.report(reports_load), True)
            yield self.loads.outlier_detection.evaluate(self.now, self.nodes)


class DetectionTest(unittest.TestCase):
    def test_only_a_node_that_fails_half_its_attempts_is_ejected_within_seconds(self):
        for reports_load in (True, False):
            for seed in range(5):
                cluster = ReportingEdges(seed=seed)
                self.assertEqual(set().union(*cluster.seconds(5, reports_load)), set())
                cluster.chances["n3"] = 0.5
                self.assertEqual(set().union(*cluster.seconds(5, reports_load)), {"n3"}, (reports_load, seed))

    def test_lost_responses_at_half_of_all_nodes_cause_few_false_positives(self):
        """With one attempt in twenty lost at every second node of 200, false positives stay below one in a thousand."""
        cluster, false_positives = ReportingEdges(200, edges=8), 0
        cluster.chances |= {f"n{n}": 0.05 for n in range(0, 200, 2)}
        before = frozenset()
        for ejected in cluster.seconds(100):
            false_positives += len(ejected - before)
            before = ejected
        self.assertLess(false_positives, 0.001 * 200 * 100)

    def test_no_node_is_ejected_if_all_fail_alike_and_a_bounded_share_if_many_do(self):
        cluster = ReportingEdges()
        cluster.chances = dict.fromkeys(cluster.nodes, 0.5)
        self.assertEqual(set().union(*cluster.seconds(6)), set())
        cluster = ReportingEdges()
        cluster.chances |= {f"n{n}": 0.9 for n in range(9)}
        ejected = list(cluster.seconds(6))
        self.assertEqual(max(len(nodes) for nodes in ejected), MAX_EJECTED_FRACTION * 20)
        self.assertLessEqual(set().union(*ejected), {f"n{n}" for n in range(9)})

    def test_a_full_node_that_resets_connections_is_no_outlier(self):
        cluster = ReportingEdges()
        cluster.chances["n3"] = 0.5
        for full in (True, False):
            cluster.full = {"n3"} if full else set()
            self.assertEqual(set().union(*cluster.seconds(5)), set() if full else {"n3"})

    def test_each_repeated_ejection_is_longer(self):
        cluster = ReportingEdges()
        cluster.chances["n3"] = 1.0
        record, ejections = None, []
        for _ in cluster.seconds(60):
            record = cluster.loads.outlier_detection.records["n3"]
            ejections += (
                [record.ejection_s]
                if record.ejection_s and record.ejected_until == cluster.now + record.ejection_s
                else []
            )
        self.assertEqual(ejections, [FIRST_EJECTION_S, 2 * FIRST_EJECTION_S] + [MAX_EJECTION_S] * (len(ejections) - 2))
        self.assertGreaterEqual(len(ejections), 4)
        cluster.chances["n3"] = 0.0
        self.assertEqual(list(cluster.seconds(int(MAX_EJECTION_S + EJECTION_RESET_S)))[-1], set())
        cluster.chances["n3"] = 1.0
        list(cluster.seconds(4))
        self.assertEqual(record.ejection_s, FIRST_EJECTION_S)  # it had been well for long enough to start again

    def test_a_core_with_reports_from_another_core_decides_alike(self):
        cluster, other = ReportingEdges(), LoadReports()
        cluster.chances["n3"] = 0.7
        for _ in cluster.seconds(4):
            other.add_report(cluster.now, cluster.loads.take_unsent(cluster.now), False)
        self.assertEqual(other.outlier_detection.evaluate(cluster.now, cluster.nodes), {"n3"})
        self.assertEqual(cluster.loads.window_sums(cluster.now + WINDOW_S + 1)[0].get("bad", {}), {})

    def test_a_removed_node_is_forgotten(self):
        detection, node = OutlierDetection(), Node("a", "s", ("10.0.0.1", 1), "z", 2)
        others = {f"n{n}": Node(f"n{n}", "s", ("10.0.0.1", n), "z", 2) for n in range(8)}
        detection.add_report(0.0, {"bad": {"a": [9, 9]}, "nodes": {id: [5, 5, 2] for id in others}})
        self.assertEqual(detection.evaluate(0.1, others | {"a": node}), {"a"})
        self.assertEqual(detection.evaluate(0.2, others), set())
        self.assertNotIn("a", detection.records)


class EffectTest(unittest.TestCase):
    """The effect of a node being an outlier."""

    def test_an_outlier_loses_its_keys_if_the_other_nodes_have_capacity(self):
        for load, emptied in ((0.6, True), (0.95, False)):
            fleet = Fleet(8, capacities=dict.fromkeys((f"n{n}" for n in range(8)), 64 / load))
            fleet.run(30.0)
            fleet.outliers = frozenset({"n3"})
            fleet.step()
            self.assertEqual(fleet.loads()["n3"] == 0.0, emptied, load)

    def test_an_outlier_gets_no_request_of_an_unsharded_service_while_there_are_others(self):
        nodes = [Node(f"n{n}", "s", ("10.0.0.1", n), "z", 2, is_outlier=n != 2) for n in range(4)]
        chance = random.Random(1)
        self.assertEqual({pick_node(nodes, 0.0, "z", chance).id for _ in range(50)}, {"n2"})
        self.assertEqual({pick_node(nodes[:2], 0.0, "z", chance).id for _ in range(50)}, {"n0", "n1"})

    def test_an_edge_uses_the_outliers_of_the_core_that_it_heard_last(self):
        first, second, view = ViewPublisher("one"), ViewPublisher("two"), ClusterView()
        nodes = {id: Node(id, "s", ("10.0.0.1", n), "z", 2) for n, id in enumerate("abc")}
        for publisher in (first, second):
            publisher.set_nodes((1, 1), nodes, True)

        def outliers_after_update(publisher):
            if message := publisher.changes_since(view.positions(), 0.0):
                view.apply(0.0, message)
            return {id for id, node in view.nodes.items() if node.is_outlier}

        self.assertEqual(outliers_after_update(first), set())
        self.assertTrue(first.set_outliers(frozenset("ad")))
        self.assertFalse(first.set_outliers(frozenset("ad")))
        self.assertEqual(outliers_after_update(first), {"a"})
        first.set_nodes((1, 2), nodes | {"d": Node("d", "s", ("10.0.0.1", 9), "z", 2)}, True)
        self.assertEqual(outliers_after_update(first), {"a", "d"})  # it was an outlier before the list contained it
        self.assertEqual(outliers_after_update(second), set())  # this core has not evaluated any node
        self.assertEqual(outliers_after_update(first), {"a", "d"})
