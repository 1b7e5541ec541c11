"""What docs/CAPACITY.md rests on: the fitted power, and a small hollow fleet, laid out and renewed as a real one."""

import unittest

from benchmarks.capacity import configuration, power
from benchmarks.hollow import Core, Fleet
from knotwalk.discovery.cluster_view import ClusterView


class CapacityTest(unittest.TestCase):
    def test_the_power_of_a_known_growth(self):
        self.assertAlmostEqual(power({30: 3.0, 100: 10.0, 300: 30.0}), 1.0)
        self.assertAlmostEqual(power({30: 9.0, 100: 100.0, 300: 900.0}), 2.0)
        self.assertAlmostEqual(power({30: 7.0, 100: 7.0, 300: 7.0}), 0.0)
        self.assertEqual(power({30: 0.0, 100: 0.0}), 0.0)

    def test_a_hollow_fleet_is_whole(self):
        """Each slice has an owner of its service, every own slice is granted within its hold, an edge takes all."""
        fleet = Fleet(6)
        core = Core(fleet)
        core.lay_out()
        for service, line in core.state.ledger.slices.items():
            self.assertEqual({fleet.nodes[x.owner].service for x in line}, {service})
        for _ in range(30):
            core.turn()
        core.grants.clear()
        for _ in range(60):
            core.turn()
        granted = {(one.service, slice) for one in core.grants for slice in one.slices}
        self.assertEqual(granted, set(core.keeper.tenures))
        view = ClusterView()
        view.apply(core.now, core.board.since(view.ask(), core.now))
        self.assertEqual((view.whole, len(view.nodes), len(view.configuration.routes)), (True, 75, fleet.routes))
        self.assertTrue(all(line.open for line in view.shardings[fleet.sharded[0]].lines))

    def test_a_change_of_one_route_stays_small(self):
        """What is agreed on and told grows with the change, not with the configuration."""
        few, many = configuration(3), configuration(300)
        self.assertLess(many["edge_bytes"], 1.2 * few["edge_bytes"])
        self.assertLess(many["entry_bytes"], 1.2 * few["entry_bytes"])
