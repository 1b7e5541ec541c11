"""Nodes that ail: found by all edges together, few wrongly, never too many, let back by trial; what follows from it."""

import random
import unittest

from knotwalk.discovery.board import Board
from knotwalk.discovery.cluster_view import ClusterView
from knotwalk.discovery.loads import SPAN, Loads
from knotwalk.discovery.outliers import AGAIN, PART, REST, REST_LAST, OutlierDetection
from knotwalk.discovery.view_types import Node
from knotwalk.edge.choose import pick_node
from tests.system.test_placement import Fleet


class Met:
    """A service's nodes as `edges` edges meet them: `rate` tries a second at each node, bad by `chances`."""

    def __init__(self, nodes=20, edges=58, rate=8.0, seed=1):
        self.random, self.edges, self.rate, self.now = random.Random(seed), edges, rate, 0.0
        self.nodes = {f"n{n}": Node(f"n{n}", "s", ("10.0.0.1", n), "z", 2) for n in range(nodes)}
        self.chances = dict.fromkeys(self.nodes, 0.0)
        self.loads, self.full = Loads(), set()

    def report(self, telling):
        """What one edge tells of a second: few tries at few nodes."""
        raw = {"nodes": {}, "bad": {}}
        for id in self.nodes:
            mean = self.rate / self.edges
            tries = sum(self.random.random() < mean / 4 for _ in range(4))
            bad = sum(self.random.random() < self.chances[id] for _ in range(tries))
            if tries and telling:  # lost answers tell no load
                raw["nodes"][id] = [(tries - bad) * (3 if id in self.full else 1), tries - bad, 2]
                raw["bad"] |= {id: [bad, bad]} if bad else {}
            elif tries:
                raw["nodes"][id] = [0, 0, 2, tries - bad, bad, 0, 0.1 * (tries - bad)]
                raw["bad"] |= {id: [bad, 0]} if bad else {}
        return raw

    def seconds(self, count, telling=True):
        """Time passes; yields who rests, after each second's judgement."""
        for _ in range(count):
            for _ in range(self.edges):
                self.now += 1.0 / self.edges
                self.loads.add(self.now, self.report(telling), True)
            yield self.loads.ailing.judge(self.now, self.nodes)


class AilingTest(unittest.TestCase):
    def test_a_node_that_fails_half_its_tries_is_found_in_seconds_and_no_other(self):
        for telling in (True, False):
            for seed in range(5):
                met = Met(seed=seed)
                self.assertEqual(set().union(*met.seconds(5, telling)), set())
                met.chances["n3"] = 0.5
                self.assertEqual(set().union(*met.seconds(5, telling)), {"n3"}, (telling, seed))

    def test_lost_answers_at_half_of_all_nodes_make_few_ail(self):
        """One in twenty lost at every second node of 200: wrong judgements stay under one in a thousand."""
        met, wrong = Met(200, edges=8), 0
        met.chances |= {f"n{n}": 0.05 for n in range(0, 200, 2)}
        before = frozenset()
        for rests in met.seconds(100):
            wrong += len(rests - before)
            before = rests
        self.assertLess(wrong, 0.001 * 200 * 100)

    def test_where_all_fail_alike_none_ails_and_where_many_do_the_rest_stays(self):
        met = Met()
        met.chances = dict.fromkeys(met.nodes, 0.5)
        self.assertEqual(set().union(*met.seconds(6)), set())
        met = Met()
        met.chances |= {f"n{n}": 0.9 for n in range(9)}
        found = list(met.seconds(6))
        self.assertEqual(max(len(rests) for rests in found), PART * 20)
        self.assertLessEqual(set().union(*found), {f"n{n}" for n in range(9)})

    def test_a_full_node_that_resets_connections_does_not_ail(self):
        met = Met()
        met.chances["n3"] = 0.5
        for full in (True, False):
            met.full = {"n3"} if full else set()
            self.assertEqual(set().union(*met.seconds(5)), set() if full else {"n3"})

    def test_back_by_trial_and_a_longer_rest_each_time(self):
        met = Met()
        met.chances["n3"] = 1.0
        record, rests = None, []
        for _ in met.seconds(60):
            record = met.loads.ailing.records["n3"]
            rests += [record.rest] if record.rest and record.until == met.now + record.rest else []
        self.assertEqual(rests, [REST, 2 * REST] + [REST_LAST] * (len(rests) - 2))
        self.assertGreaterEqual(len(rests), 4)
        met.chances["n3"] = 0.0
        self.assertEqual(list(met.seconds(int(REST_LAST + AGAIN)))[-1], set())
        met.chances["n3"] = 1.0
        list(met.seconds(4))
        self.assertEqual(record.rest, REST)  # it was well for long

    def test_what_another_core_was_told_leads_to_the_same(self):
        met, other = Met(), Loads()
        met.chances["n3"] = 0.7
        for _ in met.seconds(4):
            other.add(met.now, met.loads.take(met.now), False)
        self.assertEqual(other.ailing.judge(met.now, met.nodes), {"n3"})
        self.assertEqual(met.loads.sums(met.now + SPAN + 1)[0].get("bad", {}), {})

    def test_a_node_that_ended_is_forgotten(self):
        ailing, node = OutlierDetection(), Node("a", "s", ("10.0.0.1", 1), "z", 2)
        others = {f"n{n}": Node(f"n{n}", "s", ("10.0.0.1", n), "z", 2) for n in range(8)}
        ailing.hear(0.0, {"bad": {"a": [9, 9]}, "nodes": {id: [5, 5, 2] for id in others}})
        self.assertEqual(ailing.judge(0.1, others | {"a": node}), {"a"})
        self.assertEqual(ailing.judge(0.2, others), set())
        self.assertNotIn("a", ailing.records)


class MindedTest(unittest.TestCase):
    """What is done about it."""

    def test_keys_leave_an_ailing_node_where_the_rest_has_room(self):
        for load, emptied in ((0.6, True), (0.95, False)):
            fleet = Fleet(8, capacities=dict.fromkeys((f"n{n}" for n in range(8)), 64 / load))
            fleet.run(30.0)
            fleet.ailing = frozenset({"n3"})
            fleet.step()
            self.assertEqual(fleet.loads()["n3"] == 0.0, emptied, load)

    def test_no_request_of_an_undivided_service_goes_there_while_there_are_others(self):
        nodes = [Node(f"n{n}", "s", ("10.0.0.1", n), "z", 2, ailing=n != 2) for n in range(4)]
        luck = random.Random(1)
        self.assertEqual({pick_node(nodes, 0.0, "z", luck).id for _ in range(50)}, {"n2"})
        self.assertEqual({pick_node(nodes[:2], 0.0, "z", luck).id for _ in range(50)}, {"n0", "n1"})

    def test_edges_go_by_the_core_that_they_heard_last(self):
        first, second, view = Board("one"), Board("two"), ClusterView()
        nodes = {id: Node(id, "s", ("10.0.0.1", n), "z", 2) for n, id in enumerate("abc")}
        for board in (first, second):
            board.set_nodes((1, 1), nodes, True)

        def hear(board):
            if message := board.since(view.ask(), 0.0):
                view.apply(0.0, message)
            return {id for id, node in view.nodes.items() if node.ailing}

        self.assertEqual(hear(first), set())
        self.assertTrue(first.set_ailing(frozenset("ad")))
        self.assertFalse(first.set_ailing(frozenset("ad")))
        self.assertEqual(hear(first), {"a"})
        first.set_nodes((1, 2), nodes | {"d": Node("d", "s", ("10.0.0.1", 9), "z", 2)}, True)
        self.assertEqual(hear(first), {"a", "d"})  # it was held ailing before the list had it
        self.assertEqual(hear(second), set())  # which has not judged anybody
        self.assertEqual(hear(first), {"a", "d"})
