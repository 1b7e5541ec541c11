"""The driver of tenants' limits between core machines, and the edge's refusals without an ask."""

import asyncio
import json
import unittest
from types import SimpleNamespace

from knotwalk.configuration.objects import Configuration, Limits, Tenant
from knotwalk.control_plane.allowances import OTHERS, TENANTS_NAMED, Allowances
from knotwalk.edge.limits import MAX_REMEMBERED_TENANTS, REFUSE_FOR_S, Refusals, needs_ask
from knotwalk.runtime.errors import PeerError
from knotwalk.runtime.logs import clock
from knotwalk.runtime.settings import Settings, Tolerance
from knotwalk.shared_state.messages import Admission

PATIENCE = 5.0  # seconds: far above what a busy machine needs


def configuration(**rates):
    tenants = {name: Tenant(name, (f"key-{name}",), None, rate, rate) for name, rate in rates.items()}
    return Configuration(1, {}, {}, Limits(), tenants=tenants)


async def used(core, tenant, patience):
    """A request's word; one that is let pass runs at once."""
    told = await core.take(tenant, patience)
    if told.admission is Admission.RUN:
        core.spend(tenant)
    return told


class Cluster:
    """Cores that share a configuration; calls reach the leader's real handler, or fail while it is cut off."""

    def __init__(self, count, **rates):
        self.state = SimpleNamespace(configuration=configuration(**rates), order=1)
        self.cut, self.proven, self.calls = False, True, 0
        self.members = {f"c{k}": f"host{k}" for k in range(count)}
        self.cores = [self.made(k) for k in range(count)]
        self.lead(0)
        self.cores[0].buckets.since -= 100.0  # it has led for long

    def made(self, k):
        machine = SimpleNamespace(role="follower", leader="host0", members=self.members)
        consensus = SimpleNamespace(machine=machine, state=self.state)
        settings = Settings("n", tolerance=Tolerance(machines=2))
        return Allowances(f"c{k}", settings, consensus, self, self)

    def lead(self, leader):
        for k, core in enumerate(self.cores):
            core.consensus.machine.role = "leader" if k == leader else "follower"
            core.consensus.machine.leader = f"host{leader}"
            core.role(k == leader)

    async def json(self, method, url, body, patience, step):
        self.calls += 1
        await asyncio.sleep(0)
        if self.cut:
            raise PeerError(step, url, "cut off")
        core = self.cores[int(url.removeprefix("http://host").removesuffix("/allowances"))]
        found = await core.asked(SimpleNamespace(body=json.dumps(body).encode(), headers={}))
        if found.status != 200:
            raise PeerError(step, url, f"status {found.status}")
        return json.loads(found.body)


class Drivers(unittest.IsolatedAsyncioTestCase):
    def begun(self, count=5, **rates):
        cluster = Cluster(count, **rates)
        loop = asyncio.get_running_loop()
        self.works = [loop.create_task(core.keep_asking()) for core in cluster.cores]
        self.addAsyncCleanup(self.ended)
        return cluster

    async def ended(self):
        for work in self.works:
            work.cancel()
        await asyncio.gather(*self.works, return_exceptions=True)

    async def test_requests_at_all_cores_in_one_instant_get_what_there_is_and_no_more(self):
        cluster = self.begun(t=2.0)
        most = cluster.cores[0].limits.of("t").most
        begun = clock()
        told = await asyncio.gather(*(used(core, "t", PATIENCE) for core in cluster.cores for _ in range(40)))
        passed = [one.admission for one in told].count(Admission.RUN)
        self.assertLessEqual(passed, most + 2.0 * (clock() - begun) + 1)
        self.assertGreaterEqual(passed, 4)  # the rate and its burst, at least
        self.assertEqual({one.admission for one in told}, {Admission.RUN, Admission.OVER_LIMIT})
        self.assertTrue(all(one.retry_after > 0 for one in told if one.admission is Admission.OVER_LIMIT))

    async def test_an_end_in_the_instant_of_a_request_ends_the_asking(self):
        """LOG in the soak: the asking outlived its cancellation, and called with a session that was closed."""
        cluster = self.begun(t=20.0)
        await asyncio.sleep(0.05)  # all wait by now
        for core, work in zip(cluster.cores, self.works, strict=True):
            core._stirred.set()
            work.cancel()
        ended, _ = await asyncio.wait(self.works, timeout=0.5)
        self.assertEqual(len(ended), len(self.works))

    async def test_many_requests_go_together_and_what_is_held_needs_no_call(self):
        cluster = self.begun(t=1000.0)
        core = cluster.cores[1]
        await asyncio.gather(*(used(core, "t", PATIENCE) for _ in range(20)))
        self.assertLess(cluster.calls, 10)
        await used(core, "t", PATIENCE)
        self.assertGreater(core.told["granted", "at once"], 0)

    async def test_without_a_leader_it_is_unavailable_and_not_over_the_limit(self):
        cluster = self.begun(t=20.0)
        for trouble in ("cut", "not proven", "none"):
            with self.subTest(trouble=trouble):
                core = cluster.cores[2]
                core.escrow.holdings.clear()
                cluster.cut, cluster.proven = trouble == "cut", trouble != "not proven"
                core.consensus.machine.leader = None if trouble == "none" else "host0"
                told = await used(core, "t", 0.1)
                self.assertEqual(told.admission, Admission.UNAVAILABLE)
                self.assertGreater(told.retry_after, 0)

    async def test_a_leader_that_comes_back_serves_who_waits(self):
        cluster = self.begun(t=20.0)
        cluster.cut = True
        asked = asyncio.gather(*(used(cluster.cores[1], "t", PATIENCE) for _ in range(3)))
        await asyncio.sleep(0.1)
        cluster.cut = False
        self.assertEqual({one.admission for one in await asked}, {Admission.RUN})

    async def test_a_new_leader_serves_within_the_limit_soon(self):
        cluster = self.begun(t=40.0)
        await used(cluster.cores[1], "t", PATIENCE)
        cluster.lead(3)
        told = await asyncio.gather(*(used(core, "t", PATIENCE) for core in cluster.cores))
        self.assertEqual({one.admission for one in told}, {Admission.RUN})

    async def test_a_core_that_is_no_member_gets_nothing(self):
        cluster = self.begun(t=20.0)
        del cluster.members["c4"]
        self.assertEqual((await used(cluster.cores[4], "t", 0.1)).admission, Admission.UNAVAILABLE)

    async def test_a_tenant_without_a_limit_runs(self):
        cluster = self.begun(t=0.0)
        self.assertEqual((await used(cluster.cores[1], "t", PATIENCE)).admission, Admission.RUN)
        self.assertEqual((await used(cluster.cores[1], "unknown", PATIENCE)).admission, Admission.RUN)

    async def test_a_changed_limit_holds_at_the_leader_at_once(self):
        cluster = self.begun(t=1000.0)
        cluster.state.configuration, cluster.state.order = configuration(t=0.5), 2
        told = [(await used(cluster.cores[0], "t", PATIENCE)).admission for _ in range(200)]
        self.assertLess(told.count(Admission.RUN), 30)

    async def test_refused_tenants_are_counted_by_name_and_names_are_bounded(self):
        names = [f"t{k}" for k in range(TENANTS_NAMED + 5)]
        cluster = self.begun(**dict.fromkeys(names, 0.1))
        core = cluster.cores[0]
        for name in names:
            await asyncio.gather(*(used(core, name, PATIENCE) for _ in range(60)))
        self.assertEqual(len(core.refused), TENANTS_NAMED + 1)
        self.assertGreater(core.refused[OTHERS], 0)
        self.assertGreater(core.refused["t0"], 0)


class EdgeRefusals(unittest.TestCase):
    def test_only_tenants_with_a_limit_need_an_ask(self):
        found = configuration(a=1.0, b=0.0)
        self.assertTrue(needs_ask(found, "a"))
        self.assertFalse(needs_ask(found, "b"))
        self.assertFalse(needs_ask(found, "c"))

    def test_one_tenant_is_refused_for_a_moment_and_no_other(self):
        refusals = Refusals()
        refusals.record(10.0, "a", 1.0)
        self.assertAlmostEqual(refusals.refused_for(10.01, "a"), 0.99)
        self.assertEqual(refusals.refused_for(10.01, "b"), 0.0)
        self.assertEqual(refusals.refused_for(10.0 + REFUSE_FOR_S, "a"), 0.0)
        self.assertEqual(refusals.refused_without_ask, 1)

    def test_what_has_passed_is_forgotten(self):
        refusals = Refusals()
        for k in range(3 * MAX_REMEMBERED_TENANTS):
            refusals.record(float(k), f"t{k}", 1.0)
        self.assertLessEqual(len(refusals.by_tenant), MAX_REMEMBERED_TENANTS)
