"""A node that can't be reached or isn't listed may still be running: only its answer to a release, or time, clears it.

Incident inc1 (docs/incidents/inc1-owner.md): a network failure that refuses connections was taken for the end of the
nodes behind it.
"""

import unittest

from knotwalk.discovery.reachability import REPORT_TTL_S, PeerReachability, UnreachedNodes, parse_unreached_nodes
from knotwalk.leases.actions import CLOCK_SLOWDOWN, REFUSED, Grant, Release
from knotwalk.leases.slice_lease import MOVE_WINDOW_S
from tests.system.test_leases import PACE, GrantManagerHarness, World

SEEDS = range(40)


class UnprovenEndWorldTest(unittest.TestCase):
    """Simulated worlds, judged by what the nodes really hold."""

    def holds(self, *faults: str) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = World(seed, faults=faults, good_share=0.9)
                self.assertEqual(world.checker.broken, [])
                self.assertEqual(world.unserved_slices(), [])

    def test_connections_refused_on_the_way_to_nodes_that_live(self):
        self.holds("refuse", "refuse all", "add")

    def test_refusals_among_all_other_faults(self):
        self.holds(*World.FAULTS, "refuse", "refuse all", "miss")

    def test_readings_of_the_list_that_lack_nodes_that_live(self):
        self.holds("miss", "miss", "add")


class UnprovenEndTest(GrantManagerHarness):
    """One conductor, whose calls the test answers."""

    def test_a_port_that_refuses_does_not_end_a_hold(self):
        self.opened(1.0, 0, 0, "n")
        (order,) = self.move(2.0, 0, 0, "m")
        now, granted = 2.0, None
        while granted is None:
            self.assertLess(now, 20.0)
            for order in self.answer(now + 0.01, order, REFUSED) or self.next(now + 0.01):
                granted = order if isinstance(order, Grant) else None
            now = max(now + 0.01, self.now)
        self.assertEqual(granted.node, "m")
        self.assertGreaterEqual(now, 1.01 + PACE.hold * CLOCK_SLOWDOWN)

    def test_an_owner_that_does_not_answer_lapses_when_the_hold_it_took_has_run_out(self):
        """Renewals continue, but request no more than the node may already have; once one is answered it gets a full
        hold again.
        """
        self.opened(1.0, 0, 0, "n")
        (renewal,) = self.next(1.1)
        first = (
            self.now + PACE.max_delivery + PACE.hold * CLOCK_SLOWDOWN
        )  # it may have arrived; later ones change nothing
        while self.now < first:
            self.assertLessEqual(self.now + PACE.max_delivery + renewal.hold * CLOCK_SLOWDOWN, first + 1e-6)
            ended = self.now + PACE.call_timeout
            self.answer(ended, renewal, None)
            self.assertEqual(self.manager.lapsed_slices(ended), frozenset())
            (renewal,) = self.next(ended)
        self.assertAlmostEqual(self.now, first + MOVE_WINDOW_S)
        self.assertTrue(self.manager.is_unreachable("n"))
        (renewal,) = self.answer(self.now + 0.01, renewal, 200)
        self.assertEqual((renewal.node, renewal.hold), ("n", PACE.hold))
        self.assertFalse(self.manager.is_unreachable("n"))

    def test_a_node_that_has_fallen_silent_meets_one_whole_renewal_at_most(self):
        """Otherwise its keys would wait for a hold that only started after the node's end."""
        for first in (0, 2, 4):  # three runs, none adjacent to another
            self.opened(1.0, first, first, "n")
        begun, asked, end = {}, [], 1.1 + PACE.hold * CLOCK_SLOWDOWN
        now = 1.1
        while now < end:
            renewals = self.actions(now)
            begun |= dict.fromkeys(renewals, now)
            asked += renewals
            for renewal in [x for x, at in begun.items() if now >= at + PACE.call_timeout]:
                del begun[renewal]
                self.manager.on_call_ended(now, renewal, None)
            now += 0.01
        self.assertEqual(sum(renewal.hold >= PACE.hold for renewal in asked), 1)
        self.assertEqual({x.slices for x in asked}, {(0,), (2,), (4,)})
        self.assertEqual(len(self.manager.lapsed_slices(end)), 2)

    def test_a_release_that_waits_for_long_work_is_a_node_not_reached_until_it_answers(self):
        self.opened(1.0, 0, 1, "n")
        (release,) = self.move(2.0, 0, 0, "m")
        self.answer(2.0 + PACE.release_timeout, release, None)
        self.assertEqual(self.manager.unreached(5.0), {"n": 5.0 - 2.0 - PACE.release_timeout})
        (again,) = [x for x in self.next(4.5) if isinstance(x, Release)]
        self.answer(self.now + 0.1, again, 200)
        self.assertEqual(self.manager.unreached(6.0), {})
        self.assertFalse(self.manager.is_unreachable("n"))

    def test_a_lapsed_slice_is_granted_elsewhere_at_once(self):
        self.opened(1.0, 0, 0, "n")
        (renewal,) = self.next(1.1)
        self.answer(self.now, renewal, REFUSED)
        while ("s", 0) not in self.manager.lapsed_slices(self.now):
            (renewal,) = self.next(self.now)
            self.answer(self.now, renewal, REFUSED)
        now = self.now
        self.assertLess(now - 1.01 - PACE.hold * CLOCK_SLOWDOWN, 1.2)
        (grant,) = [x for x in self.move(now, 0, 0, "m") if not isinstance(x, Release)]
        self.assertEqual(grant.node, "m")


if __name__ == "__main__":
    unittest.main()


class PeerReachabilityTest(unittest.TestCase):
    """What cores report to each other about nodes that they can't reach."""

    def test_the_longest_word_counts_until_it_is_withdrawn_or_old(self):
        reach = PeerReachability()
        reach.add_report(10.0, parse_unreached_nodes(UnreachedNodes("a", {"n": 2.0, "m": 1.0}).to_dict()))
        reach.add_report(10.5, UnreachedNodes("b", {"n": 0.5}))
        self.assertEqual(reach.unreached_since(11.0), {"n": 8.0, "m": 9.0})
        reach.add_report(11.0, UnreachedNodes("a", {}))
        self.assertEqual(reach.unreached_since(11.0), {"n": 10.0})
        self.assertEqual(reach.unreached_since(10.5 + REPORT_TTL_S), {})

    def test_what_is_no_word_names_the_mistake(self):
        for raw in (None, {"core": "a"}, {"core": 1, "nodes": {}}, {"core": "a", "nodes": {"n": "long"}}):
            with self.assertRaisesRegex(ValueError, "unreached nodes: "):
                parse_unreached_nodes(raw)
