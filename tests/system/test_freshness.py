"""The lease on an edge's configuration: its figures, and what it is worth while machines are cut off or frozen."""

import asyncio
import unittest
from unittest import mock

from knotwalk.discovery.cluster_view import ClusterView
from knotwalk.discovery.view_types import MAX_LEADER_SILENCE_S
from knotwalk.edge.freshness import CALLS_PER_LEASE, LEASE_MARGIN_S, REFUSAL_MARGIN_S, Freshness
from knotwalk.edge.view_poller import POLL_WAIT_S, ViewPoller
from knotwalk.leases.conductor_leases import LEADERSHIP_PROOF_S
from tests.standins.jumps import clock
from tests.system.test_control_plane import ADDRESSES
from tests.system.test_cut_off import run_story, world_caller

REVOKE, CONFIG_APPLY = 5.0, 2.0  # seconds, as settings may have them
LOOK = 0.02  # seconds between looks at an edge


class LeaseCase(unittest.TestCase):
    def test_it_runs_from_the_core_s_proof_and_never_back(self):
        lease = Freshness(REVOKE, True)
        self.assertFalse(lease.is_valid(-1e9))
        lease.renew(100.0, -0.5)
        end = 99.5 + REVOKE - LEASE_MARGIN_S
        self.assertEqual((lease.is_valid(end - 0.001), lease.is_valid(end)), (True, False))
        lease.renew(99.0, 0.1)
        self.assertTrue(lease.is_valid(end - 0.001))
        lease.renew(101.0, 0.9)
        self.assertTrue(lease.is_valid(end + 2.0))

    def test_a_core_that_does_not_tell_may_be_as_far_behind_as_a_fresh_one_can_be(self):
        lease = Freshness(REVOKE, True)
        lease.renew(100.0, None)
        self.assertEqual(lease.proven_at, 100.0 - MAX_LEADER_SILENCE_S - LEADERSHIP_PROOF_S)

    def test_where_it_binds_nobody_out_of_touch_keys_are_accepted_past_it(self):
        lease = Freshness(REVOKE, False)
        self.assertEqual(
            (lease.can_accept(0.0), lease.is_valid(0.0), lease.poll_wait(POLL_WAIT_S)), (True, False, POLL_WAIT_S)
        )
        self.assertFalse(Freshness(REVOKE, True).can_accept(0.0))

    def test_calls_wait_for_a_part_of_a_short_lease_only(self):
        self.assertEqual(Freshness(REVOKE, True).poll_wait(POLL_WAIT_S), POLL_WAIT_S)
        self.assertEqual(Freshness(1.3, True).poll_wait(POLL_WAIT_S), 1.0 / CALLS_PER_LEASE)
        self.assertEqual(Freshness(0.1, True).length, 0.0)


class Edge:
    """An edge's link to the cores of a world, and what its lease was worth at each look."""

    def __init__(self, world, revoke=REVOKE):
        self.world, self.view, self.lease = world, ClusterView(), Freshness(revoke, True)
        self.running = asyncio.Event()
        self.running.set()
        self.caller = world_caller(world)
        self.looks: list[tuple[float, bool, int]] = []  # when, whether the lease held, the version in force here
        self.ages: list[float] = []  # seconds since the configuration here was proven the newest, at each look
        seeds = list(ADDRESSES)
        self.view_poller = ViewPoller("e", self.view, self, seeds, 1, "z", dict, lambda *told: None, self.lease)
        loop = asyncio.get_running_loop()
        self.works = [loop.create_task(self.view_poller.run()), loop.create_task(self.watch())]

    async def json(self, *given):
        """A call of the link; while the edge stands still its answer waits."""
        try:
            return await self.caller.json(*given)
        finally:
            await self.running.wait()

    async def watch(self):
        while True:
            await self.running.wait()
            version = self.view.configuration.version if self.view.configuration else 0
            self.looks.append((clock(), self.lease.is_valid(clock()), version))
            if self.lease.proven_at > -1e9:
                self.ages.append(clock() - self.lease.proven_at)
            await asyncio.sleep(LOOK)

    def end(self):
        for work in self.works:
            work.cancel()


class WorldCase(unittest.TestCase):
    """An edge and three cores. r7 is taken in the middle of a trouble, as a configuration that drops a key."""

    def through(self, trouble, revoke=REVOKE, lasts=12.0):
        """Play a trouble; looks of the edge from before it to after it, and when r7 was acknowledged."""
        found = {}

        async def story(world):
            edge = Edge(world, revoke)
            await world.until(lambda: edge.lease.is_valid(clock()))
            await asyncio.sleep(3)
            found["begun"] = clock()
            over = trouble(world, edge)
            await asyncio.sleep(0.3)
            status, _ = await world.change_configuration(
                "r7", "r3", [one for one in world.cores.values() if one.thawed.is_set()]
            )
            self.assertEqual(status, 200)
            found["acked"] = clock()
            await asyncio.sleep(lasts)
            over()
            found["over"] = clock()
            await world.until(lambda: edge.view.configuration.version == 7)
            await asyncio.sleep(3)
            found["looks"], found["ages"] = edge.looks, edge.ages
            edge.end()

        run_story(story)
        return found

    def check(self, found, revoke=REVOKE):
        """No look at which the lease held on r3 comes `revoke_timeout` after r7 was acknowledged."""
        late = [at for at, held, version in found["looks"] if held and version < 7 and at >= found["acked"] + revoke]
        self.assertEqual(late, [])
        self.assertEqual(found["looks"][-1][1:], (True, 7))

    def test_an_edge_cut_off_stops_in_time_and_goes_on_once_it_hears_a_core(self):
        def trouble(world, edge):
            world.blocked |= {way for at in ADDRESSES for way in (("edge", at), (at, "edge"))}
            return world.blocked.clear

        found = self.through(trouble)
        self.check(found)
        held = [at for at, held, _ in found["looks"] if held and found["begun"] <= at < found["over"]]
        self.assertGreater(
            max(held) - found["begun"],
            REVOKE - LEASE_MARGIN_S - POLL_WAIT_S - MAX_LEADER_SILENCE_S - LEADERSHIP_PROOF_S,
        )
        self.assertFalse(all(held for _, held, _ in found["looks"]))

    def test_an_edge_whose_core_is_cut_off_or_frozen_hears_another_before_its_lease_ends(self):
        for shape in ("both ways", "hears only", "heard not", "frozen"):
            for role in ("leader", "follower"):
                with self.subTest(shape=shape, role=role):

                    def trouble(world, edge, shape=shape, role=role):
                        leader = world.leader()
                        core = leader if role == "leader" else next(c for c in world.cores.values() if c is not leader)
                        edge.view_poller.core = core.at
                        if shape == "frozen":
                            core.freeze()
                            return core.thaw
                        world.cut(core.at, shape)
                        return world.blocked.clear

                    found = self.through(trouble)
                    self.check(found)
                    self.assertTrue(all(held for at, held, _ in found["looks"] if at > found["begun"] - 2))

    def test_an_edge_that_stood_still_wakes_with_a_lease_that_is_over(self):
        def trouble(world, edge):
            edge.running.clear()
            return edge.running.set

        found = self.through(trouble)
        self.check(found)
        after = [held for at, held, _ in found["looks"] if at >= found["over"]]
        self.assertFalse(after[0])

    def test_in_calm_it_never_ends(self):
        for revoke in (1.6, REVOKE):
            with self.subTest(revoke=revoke):
                found = self.through(lambda world, edge: lambda: None, revoke)
                self.check(found, revoke)
                begun = next(at for at, held, _ in found["looks"] if held)
                self.assertTrue(all(held for at, held, _ in found["looks"] if at >= begun))

    def test_in_calm_keys_can_be_refused_at_all_times(self):
        found = self.through(lambda world, edge: lambda: None, lasts=30.0)
        self.assertGreater(len(found["ages"]), 1000)
        self.assertLess(max(found["ages"]), CONFIG_APPLY - REFUSAL_MARGIN_S)

    def test_a_proof_that_is_told_too_late_is_found(self):
        """The check itself: an edge that counts from an answer, and a little more."""

        def trouble(world, edge):
            world.blocked |= {way for at in ADDRESSES for way in (("edge", at), (at, "edge"))}
            return world.blocked.clear

        def from_the_answer(self, asked_at, after):
            self.proven_at = max(self.proven_at, clock() + 2.0)

        with mock.patch.object(Freshness, "renew", from_the_answer), self.assertRaises(AssertionError):
            self.check(self.through(trouble))


if __name__ == "__main__":
    unittest.main()
