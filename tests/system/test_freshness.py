"""The lease on an edge's tenant keys: its arithmetic, and whether it holds while machines are cut off or frozen."""

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

REVOKE_TIMEOUT_S, CONFIG_APPLY_S = 5.0, 2.0  # as in a settings file
SAMPLE_INTERVAL_S = 0.02  # interval at which an edge's lease is sampled


class LeaseCase(unittest.TestCase):
    def test_it_runs_from_the_core_s_proof_and_never_back(self):
        lease = Freshness(REVOKE_TIMEOUT_S, True)
        self.assertFalse(lease.is_valid(-1e9))
        lease.renew(100.0, -0.5)
        end = 99.5 + REVOKE_TIMEOUT_S - LEASE_MARGIN_S
        self.assertEqual((lease.is_valid(end - 0.001), lease.is_valid(end)), (True, False))
        lease.renew(99.0, 0.1)
        self.assertTrue(lease.is_valid(end - 0.001))
        lease.renew(101.0, 0.9)
        self.assertTrue(lease.is_valid(end + 2.0))

    def test_without_a_reported_proof_the_oldest_proof_of_a_fresh_core_is_assumed(self):
        lease = Freshness(REVOKE_TIMEOUT_S, True)
        lease.renew(100.0, None)
        self.assertEqual(lease.proven_at, 100.0 - MAX_LEADER_SILENCE_S - LEADERSHIP_PROOF_S)

    def test_a_lease_that_does_not_bind_machines_cut_off_accepts_keys_after_it_lapsed(self):
        lease = Freshness(REVOKE_TIMEOUT_S, False)
        self.assertEqual(
            (lease.can_accept(0.0), lease.is_valid(0.0), lease.poll_wait(POLL_WAIT_S)), (True, False, POLL_WAIT_S)
        )
        self.assertFalse(Freshness(REVOKE_TIMEOUT_S, True).can_accept(0.0))

    def test_polls_wait_for_only_a_part_of_a_short_lease(self):
        self.assertEqual(Freshness(REVOKE_TIMEOUT_S, True).poll_wait(POLL_WAIT_S), POLL_WAIT_S)
        self.assertEqual(Freshness(1.3, True).poll_wait(POLL_WAIT_S), 1.0 / CALLS_PER_LEASE)
        self.assertEqual(Freshness(0.1, True).length, 0.0)


class Edge:
    """An edge that polls the cores of a world, and samples of its lease."""

    def __init__(self, world, revoke_timeout_s=REVOKE_TIMEOUT_S):
        self.world, self.view, self.lease = world, ClusterView(), Freshness(revoke_timeout_s, True)
        self.running = asyncio.Event()
        self.running.set()
        self.caller = world_caller(world)
        self.samples: list[tuple[float, bool, int]] = []  # time, whether the lease held, version here
        self.ages: list[float] = []  # seconds since the last proof, at each sample
        seeds = list(ADDRESSES)
        self.view_poller = ViewPoller("e", self.view, self, seeds, 1, "z", dict, lambda *told: None, self.lease)
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self.view_poller.run()), loop.create_task(self.watch())]

    async def json(self, *given):
        """A call of the poller; its answer waits while the edge is stalled."""
        try:
            return await self.caller.json(*given)
        finally:
            await self.running.wait()

    async def watch(self):
        while True:
            await self.running.wait()
            version = self.view.configuration.version if self.view.configuration else 0
            self.samples.append((clock(), self.lease.is_valid(clock()), version))
            if self.lease.proven_at > -1e9:
                self.ages.append(clock() - self.lease.proven_at)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def end(self):
        for work in self.tasks:
            work.cancel()


class WorldCase(unittest.TestCase):
    """An edge and three cores. r7, a configuration that removes a key, is acknowledged during a fault."""

    def through(self, fault, revoke_timeout_s=REVOKE_TIMEOUT_S, lasts=12.0):
        """Run a fault; returns samples of the edge from before until after it, and when r7 was acknowledged."""
        run = {}

        async def story(world):
            edge = Edge(world, revoke_timeout_s)
            await world.until(lambda: edge.lease.is_valid(clock()))
            await asyncio.sleep(3)
            run["fault_began"] = clock()
            end_fault = fault(world, edge)
            await asyncio.sleep(0.3)
            status, _ = await world.change_configuration(
                "r7", "r3", [one for one in world.cores.values() if one.thawed.is_set()]
            )
            self.assertEqual(status, 200)
            run["acknowledged_at"] = clock()
            await asyncio.sleep(lasts)
            end_fault()
            run["fault_ended"] = clock()
            await world.until(lambda: edge.view.configuration.version == 7)
            await asyncio.sleep(3)
            run["samples"], run["ages"] = edge.samples, edge.ages
            edge.end()

        run_story(story)
        return run

    def check(self, run, revoke_timeout_s=REVOKE_TIMEOUT_S):
        """No sample with a valid lease on r3 is later than `revoke_timeout` after r7 was acknowledged."""
        late = [
            at
            for at, held, version in run["samples"]
            if held and version < 7 and at >= run["acknowledged_at"] + revoke_timeout_s
        ]
        self.assertEqual(late, [])
        self.assertEqual(run["samples"][-1][1:], (True, 7))

    def test_the_lease_of_an_edge_cut_off_lapses_in_time_and_returns_with_a_core(self):
        def fault(world, edge):
            world.blocked |= {way for at in ADDRESSES for way in (("edge", at), (at, "edge"))}
            return world.blocked.clear

        run = self.through(fault)
        self.check(run)
        held = [at for at, held, _ in run["samples"] if held and run["fault_began"] <= at < run["fault_ended"]]
        self.assertGreater(
            max(held) - run["fault_began"],
            REVOKE_TIMEOUT_S - LEASE_MARGIN_S - POLL_WAIT_S - MAX_LEADER_SILENCE_S - LEADERSHIP_PROOF_S,
        )
        self.assertFalse(all(held for _, held, _ in run["samples"]))

    def test_an_edge_whose_core_is_cut_off_or_frozen_finds_another_before_its_lease_lapses(self):
        for shape in ("both ways", "hears only", "heard not", "frozen"):
            for role in ("leader", "follower"):
                with self.subTest(shape=shape, role=role):

                    def fault(world, edge, shape=shape, role=role):
                        leader = world.leader()
                        core = leader if role == "leader" else next(c for c in world.cores.values() if c is not leader)
                        edge.view_poller.core = core.at
                        if shape == "frozen":
                            core.freeze()
                            return core.thaw
                        world.cut(core.at, shape)
                        return world.blocked.clear

                    run = self.through(fault)
                    self.check(run)
                    self.assertTrue(all(held for at, held, _ in run["samples"] if at > run["fault_began"] - 2))

    def test_an_edge_that_was_stalled_resumes_with_a_lapsed_lease(self):
        def fault(world, edge):
            edge.running.clear()
            return edge.running.set

        run = self.through(fault)
        self.check(run)
        after = [held for at, held, _ in run["samples"] if at >= run["fault_ended"]]
        self.assertFalse(after[0])

    def test_without_faults_it_never_lapses(self):
        for revoke_timeout_s in (1.6, REVOKE_TIMEOUT_S):
            with self.subTest(revoke_timeout_s=revoke_timeout_s):
                run = self.through(lambda world, edge: lambda: None, revoke_timeout_s)
                self.check(run, revoke_timeout_s)
                begun = next(at for at, held, _ in run["samples"] if held)
                self.assertTrue(all(held for at, held, _ in run["samples"] if at >= begun))

    def test_without_faults_keys_can_be_refused_at_all_times(self):
        run = self.through(lambda world, edge: lambda: None, lasts=30.0)
        self.assertGreater(len(run["ages"]), 1000)
        self.assertLess(max(run["ages"]), CONFIG_APPLY_S - REFUSAL_MARGIN_S)

    def test_the_check_finds_a_lease_counted_from_the_answer(self):
        """The check itself: finds an edge whose lease runs from the answer, plus two seconds."""

        def fault(world, edge):
            world.blocked |= {way for at in ADDRESSES for way in (("edge", at), (at, "edge"))}
            return world.blocked.clear

        def from_the_answer(self, asked_at, after):
            self.proven_at = max(self.proven_at, clock() + 2.0)

        with mock.patch.object(Freshness, "renew", from_the_answer), self.assertRaises(AssertionError):
            self.check(self.through(fault))


if __name__ == "__main__":
    unittest.main()
