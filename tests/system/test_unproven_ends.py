"""A node that is not reached or not listed may live on: nothing but its answer to a release, or time, clears it.

Incident inc1 (docs/incidents/inc1-owner.md): a cut that refuses connections was taken for the end of the nodes behind
it.
"""

import unittest

from knotwalk.leases.orders import REFUSED, SLOW, Grant
from tests.system.test_leases import PACE, KeeperHarness, World

SEEDS = range(40)


class UnprovenEndWorldTest(unittest.TestCase):
    """Worlds in memory, judged by what nodes truly hold."""

    def holds(self, *faults: str) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = World(seed, faults=faults, good=0.9)
                self.assertEqual(world.checker.broken, [])
                self.assertEqual(world.unserved(), [])

    def test_connections_refused_on_the_way_to_nodes_that_live(self):
        self.holds("refuse", "refuse all", "add")

    def test_readings_of_the_list_that_lack_nodes_that_live(self):
        self.holds("miss", "miss", "add")


class UnprovenEndTest(KeeperHarness):
    """One conductor, its calls in hand."""

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
        self.assertGreaterEqual(now, 1.01 + PACE.hold * SLOW)


if __name__ == "__main__":
    unittest.main()
