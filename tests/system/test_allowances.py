"""The driver of tenants' limits between core machines, and an edge's local refusals."""

import asyncio
import itertools
import json
import unittest
from types import SimpleNamespace

from knotwalk.configuration.objects import Configuration, Limits, Tenant
from knotwalk.control_plane.allowances import MAX_NAMED_TENANTS, OTHER_TENANTS, Allowances
from knotwalk.edge.limits import MAX_REMEMBERED_TENANTS, REFUSE_FOR_S, Refusals, needs_ask
from knotwalk.runtime.errors import PeerError
from knotwalk.runtime.logs import clock
from knotwalk.runtime.settings import Settings, Tolerance
from knotwalk.shared_state.messages import Admission, AllowanceRequest

TIMEOUT_S = 5.0  # far above what a busy machine needs


def configuration(**rates):
    tenants = {name: Tenant(name, (f"key-{name}",), None, rate, rate) for name, rate in rates.items()}
    return Configuration(1, {}, {}, Limits(), tenants=tenants)


async def take_and_spend(core, tenant, timeout_s):
    """Take a token for a request, which runs at once if it is admitted; the response."""
    response = await core.take(tenant, timeout_s)
    if response.admission is Admission.RUN:
        core.spend(tenant)
    return response


class Cluster:
    """Cores with one configuration; calls reach the leader's real handler, or fail while it is cut off."""

    def __init__(self, count, tolerance=2, **rates):
        self.tolerance = tolerance
        self.state = SimpleNamespace(configuration=configuration(**rates), configuration_index=1)
        self.cut, self.is_proven, self.calls = False, True, 0
        self.members = {f"c{k}": f"host{k}" for k in range(count)}
        self.cores = [self.make_core(k) for k in range(count)]
        self.lead(0)
        self.cores[0].buckets.leader_since -= 100.0  # it has been the leader for long

    def make_core(self, k):
        machine = SimpleNamespace(role="follower", leader="host0", members=self.members)
        consensus = SimpleNamespace(machine=machine, state=self.state)
        settings = Settings("n", tolerance=Tolerance(machines=self.tolerance))
        return Allowances(f"c{k}", settings, consensus, self, self)

    def lead(self, leader):
        for k, core in enumerate(self.cores):
            core.consensus.machine.role = "leader" if k == leader else "follower"
            core.consensus.machine.leader = f"host{leader}"
            core.on_leadership(k == leader)

    async def json(self, method, url, body, timeout_s, step):
        self.calls += 1
        await asyncio.sleep(0)
        if self.cut:
            raise PeerError(step, url, "cut off")
        core = self.cores[int(url.removeprefix("http://host").removesuffix("/allowances"))]
        response = await core.handle_request(SimpleNamespace(body=json.dumps(body).encode(), headers={}))
        if response.status != 200:
            raise PeerError(step, url, f"status {response.status}")
        return json.loads(response.body)


class GroupSizeTest(unittest.TestCase):
    """Guards against cores that find no token because fewer others, by the settings' tolerance, share them all."""

    def granted(self, cluster):
        """What each core is granted that wants as much as it may hold."""
        limit = cluster.cores[0].limits.of("t")
        request = AllowanceRequest("t", limit.max_per_core, 0)
        return [grant.granted for id in cluster.members for grant in cluster.cores[0].grant(id, [request])]

    def test_each_core_finds_tokens_whatever_the_others_hold(self):
        for count, tolerance in itertools.product((1, 2, 3, 5), (0, 1, 2)):
            with self.subTest(cores=count, tolerance=tolerance):
                cluster = Cluster(count, tolerance, t=200.0)
                limit = cluster.cores[0].limits.of("t")
                self.assertEqual(self.granted(cluster), [limit.max_per_core] * count)

    def test_cores_that_join_or_leave_later(self):
        cluster = Cluster(3, 0, t=200.0)
        for members in (("c0",), ("c0", "c1"), ("c0", "c1", "c2"), ("c0",)):
            with self.subTest(members=members):
                cluster.cores[0].buckets.buckets.clear()
                cluster.members.clear()
                cluster.members.update({id: f"host{id[1:]}" for id in members})
                limit = cluster.cores[0].limits.of("t")
                self.assertEqual(self.granted(cluster), [limit.max_per_core] * len(members))


class Drivers(unittest.IsolatedAsyncioTestCase):
    def start_cluster(self, count=5, **rates):
        cluster = Cluster(count, **rates)
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(core.run_refills()) for core in cluster.cores]
        self.addAsyncCleanup(self.stop_tasks)
        return cluster

    async def stop_tasks(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def test_concurrent_requests_at_all_cores_get_exactly_the_available_tokens(self):
        cluster = self.start_cluster(t=2.0)
        capacity = cluster.cores[0].limits.of("t").capacity
        begun = clock()
        responses = await asyncio.gather(
            *(take_and_spend(core, "t", TIMEOUT_S) for core in cluster.cores for _ in range(40))
        )
        passed = [one.admission for one in responses].count(Admission.RUN)
        self.assertLessEqual(passed, capacity + 2.0 * (clock() - begun) + 1)
        self.assertGreaterEqual(passed, 4)  # the rate and its burst, at least
        self.assertEqual({one.admission for one in responses}, {Admission.RUN, Admission.OVER_LIMIT})
        self.assertTrue(all(one.retry_after > 0 for one in responses if one.admission is Admission.OVER_LIMIT))

    async def test_a_cancellation_at_the_moment_of_a_request_ends_the_refill_loop(self):
        """Found by the soak test: the refill loop survived its cancellation and made a call on a closed session."""
        cluster = self.start_cluster(t=20.0)
        await asyncio.sleep(0.05)  # all loops wait by now
        for core, task in zip(cluster.cores, self.tasks, strict=True):
            core._wake_event.set()
            task.cancel()
        ended, _ = await asyncio.wait(self.tasks, timeout=0.5)
        self.assertEqual(len(ended), len(self.tasks))

    async def test_concurrent_requests_share_calls_and_held_tokens_need_none(self):
        cluster = self.start_cluster(t=1000.0)
        core = cluster.cores[1]
        await asyncio.gather(*(take_and_spend(core, "t", TIMEOUT_S) for _ in range(20)))
        self.assertLess(cluster.calls, 10)
        await take_and_spend(core, "t", TIMEOUT_S)
        self.assertGreater(core.outcome_counts["granted", "at once"], 0)

    async def test_without_a_leader_requests_are_unavailable_and_not_over_the_limit(self):
        cluster = self.start_cluster(t=20.0)
        for fault in ("cut", "not proven", "none"):
            with self.subTest(fault=fault):
                core = cluster.cores[2]
                core.escrow.holdings.clear()
                cluster.cut, cluster.is_proven = fault == "cut", fault != "not proven"
                core.consensus.machine.leader = None if fault == "none" else "host0"
                response = await take_and_spend(core, "t", 0.1)
                self.assertEqual(response.admission, Admission.UNAVAILABLE)
                self.assertGreater(response.retry_after, 0)

    async def test_a_leader_that_returns_serves_waiting_requests(self):
        cluster = self.start_cluster(t=20.0)
        cluster.cut = True
        asked = asyncio.gather(*(take_and_spend(cluster.cores[1], "t", TIMEOUT_S) for _ in range(3)))
        await asyncio.sleep(0.1)
        cluster.cut = False
        self.assertEqual({one.admission for one in await asked}, {Admission.RUN})

    async def test_a_new_leader_serves_within_the_limit_soon(self):
        cluster = self.start_cluster(t=40.0)
        await take_and_spend(cluster.cores[1], "t", TIMEOUT_S)
        cluster.lead(3)
        responses = await asyncio.gather(*(take_and_spend(core, "t", TIMEOUT_S) for core in cluster.cores))
        self.assertEqual({one.admission for one in responses}, {Admission.RUN})

    async def test_a_core_that_is_not_a_member_gets_no_tokens(self):
        cluster = self.start_cluster(t=20.0)
        del cluster.members["c4"]
        self.assertEqual((await take_and_spend(cluster.cores[4], "t", 0.1)).admission, Admission.UNAVAILABLE)

    async def test_requests_of_a_tenant_without_a_limit_run(self):
        cluster = self.start_cluster(t=0.0)
        self.assertEqual((await take_and_spend(cluster.cores[1], "t", TIMEOUT_S)).admission, Admission.RUN)
        self.assertEqual((await take_and_spend(cluster.cores[1], "unknown", TIMEOUT_S)).admission, Admission.RUN)

    async def test_a_changed_limit_holds_at_the_leader_at_once(self):
        cluster = self.start_cluster(t=1000.0)
        cluster.state.configuration, cluster.state.configuration_index = configuration(t=0.5), 2
        admissions = [(await take_and_spend(cluster.cores[0], "t", TIMEOUT_S)).admission for _ in range(200)]
        self.assertLess(admissions.count(Admission.RUN), 30)

    async def test_refused_tenants_are_counted_by_name_and_names_are_bounded(self):
        names = [f"t{k}" for k in range(MAX_NAMED_TENANTS + 5)]
        cluster = self.start_cluster(**dict.fromkeys(names, 0.1))
        core = cluster.cores[0]
        for name in names:
            await asyncio.gather(*(take_and_spend(core, name, TIMEOUT_S) for _ in range(60)))
        self.assertEqual(len(core.refusal_counts), MAX_NAMED_TENANTS + 1)
        self.assertGreater(core.refusal_counts[OTHER_TENANTS], 0)
        self.assertGreater(core.refusal_counts["t0"], 0)


class EdgeRefusals(unittest.TestCase):
    def test_only_tenants_with_a_limit_need_an_admission_request(self):
        found = configuration(a=1.0, b=0.0)
        self.assertTrue(needs_ask(found, "a"))
        self.assertFalse(needs_ask(found, "b"))
        self.assertFalse(needs_ask(found, "c"))

    def test_only_the_refused_tenant_is_refused_for_a_moment(self):
        refusals = Refusals()
        refusals.record(10.0, "a", 1.0)
        self.assertAlmostEqual(refusals.refused_for(10.01, "a"), 0.99)
        self.assertEqual(refusals.refused_for(10.01, "b"), 0.0)
        self.assertEqual(refusals.refused_for(10.0 + REFUSE_FOR_S, "a"), 0.0)
        self.assertEqual(refusals.refused_without_ask, 1)

    def test_expired_refusals_are_forgotten(self):
        refusals = Refusals()
        for k in range(3 * MAX_REMEMBERED_TENANTS):
            refusals.record(float(k), f"t{k}", 1.0)
        self.assertLessEqual(len(refusals.by_tenant), MAX_REMEMBERED_TENANTS)
