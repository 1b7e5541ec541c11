"""Decisions that raise in started programs: the process lives, traffic goes on, and all is well once they don't."""

import asyncio
import os
import unittest
from unittest import mock

from knotwalk.consensus.raft_types import RaftSettings, StoredState
from knotwalk.control_plane.consensus_driver import ConsensusDriver
from knotwalk.control_plane.slice_manager import SliceManager
from knotwalk.discovery.loads import LoadReports
from knotwalk.discovery.view_publisher import ViewPublisher
from knotwalk.leases.actions import GrantTiming
from knotwalk.runtime.decision_guard import DecisionGuard
from knotwalk.runtime.errors import PeerError
from knotwalk.runtime.metrics import restore_tls_modules
from tests.standins.documents import SHARED, TENANT_CONTRACTS, key_header, route
from tests.standins.failing_core import DECISIONS as CORE_DECISIONS
from tests.standins.failing_edge import DECISIONS as EDGE_DECISIONS
from tests.standins.failing_program import ENVIRONMENT_VARIABLE
from tests.standins.village import LIMITED_KEY, Village

KEY = key_header("k-alder-1")
PROGRAMS = {"tests.standins.failing_core": "knotwalk.control_plane", "tests.standins.failing_edge": "knotwalk.edge"}


class FailingVillage(Village):
    """One core and one edge, whose decisions raise while they are named in `failing`."""

    core_module, edge_module = "tests.standins.failing_core", "tests.standins.failing_edge"

    def __init__(self):
        super().__init__(contracts=TENANT_CONTRACTS, cores=1, edges=1, tolerance=0)
        self.failing = self.folder / "failing"
        self.versions, self.base = 0, SHARED["config_version"]

    async def start(self):
        with mock.patch.dict(os.environ, {ENVIRONMENT_VARIABLE: str(self.failing)}):
            await super().start()
        return self

    async def failures(self, program):
        """How often each decision of a program has failed, by its metric."""
        from prometheus_client.parser import text_string_to_metric_families

        url = f"http://{program.ip}:{self.metrics}/metrics"
        try:
            _, _, text = await self.caller.send("GET", url, None, 9.0)
        except PeerError:
            return None  # the port is not open yet
        families = text_string_to_metric_families(text.decode())
        found = {family.name: family.samples for family in families if family.name.endswith("_decision_failures")}
        return {sample.labels["decision"]: sample.value for samples in found.values() for sample in samples}

    async def patch(self):
        """Add a route; returns a path of it, once that is acknowledged."""
        self.versions += 1
        base, self.base = self.base, f"r{100 + self.versions}"
        name = f"new-{self.versions}"
        change = {"config_version": self.base, "upsert": {"objects": [route(name, f"/{name}/", "desk")]}}
        status, response = await self.operator.send("PATCH", change | {"remove": {"routes": []}}, base)
        assert status == 200, response
        return f"/{name}/x"


class StartedProgramsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against an exception of one decision that ends a core or an edge (review/2, review/7, FAULT)."""

    async def asyncSetUp(self):
        restore_tls_modules()
        self.village = FailingVillage()
        self.addAsyncCleanup(self.village.stop)
        await self.village.start()
        status, response = await self.village.operator.send("PUT", SHARED, "0")
        self.assertEqual(status, 200, response)
        await self.village.calm()

    async def ask(self, path="/desk/today", headers=KEY, key=0):
        status, _, _ = await self.village.get(self.village.edges[0], path, key, headers=headers)
        return status

    async def serves(self, path):
        return await self.ask(path) == 200

    async def check(self, program, decision):
        village, pid = self.village, program.process.pid
        village.failing.write_text(f"{PROGRAMS[program.module]}: {decision}")
        path = await village.patch()  # acknowledged meanwhile; also what some of the decisions are about

        async def has_failed():
            await self.ask(headers=LIMITED_KEY)  # asks for an allowance, and is reported
            return (await village.failures(program) or {}).get(decision, 0) > 0

        await village.until(has_failed, f"{decision} counted")
        for number in range(10):
            self.assertEqual(await self.ask(), 200)
            self.assertEqual(await self.ask("/frames/1", key=number * 6553), 200)
            await asyncio.sleep(0.05)
        village.failing.write_text("")
        await village.until(lambda: self.serves(path), f"{path} in force after {decision}")
        newer = await village.patch()
        await village.until(lambda: self.serves(newer), f"{newer} in force after {decision}")
        await village.calm()
        self.assertEqual((program.process.pid, program.process.poll()), (pid, None))

    async def test_each_guarded_decision(self):
        cases = [(self.village.cores[0], decision) for _, _, decision in CORE_DECISIONS]
        cases += [(self.village.edges[0], decision) for _, _, decision in EDGE_DECISIONS]
        for program, decision in cases:
            with self.subTest(decision, program=program.module):
                await self.check(program, decision)
        self.assertEqual(self.village.watch.conflicts, [])
        for program in self.village.cores + self.village.edges:
            self.assertEqual(program.events("program failed"), [])


class FatalTest(unittest.IsolatedAsyncioTestCase):
    """What must not go on half-applied ends the process."""

    async def test_an_error_while_entries_are_applied(self):
        saved = StoredState("a:1#founder", members={"a:1#founder": "a:1"})
        driver = ConsensusDriver(mock.Mock(disk_mb=64), saved, None, RaftSettings(), 1, float("-inf"))
        driver.on_damage = mock.Mock()
        driver.on_role = mock.Mock(side_effect=KeyError("injected"))
        with self.assertLogs(level="ERROR"), self.assertRaises(KeyError):
            driver.start()
            driver.tick()
        driver.on_damage.assert_called_once()
        await driver.close()

    async def test_an_error_of_the_grants(self):
        view_publisher, loads = ViewPublisher("e"), LoadReports()
        consensus = mock.Mock()
        manager = SliceManager("a", consensus, view_publisher, loads, mock.Mock(), GrantTiming(), 1, mock.AsyncMock())
        manager.on_failure = mock.Mock()
        manager.grant_manager.tick = mock.Mock(side_effect=AssertionError("injected"))
        with self.assertLogs(level="ERROR"), self.assertRaises(AssertionError):
            manager.tick()
        manager.on_failure.assert_called_once()

    def test_failures_that_repeat_are_counted_and_seldom_logged(self):
        guard = DecisionGuard()
        with self.assertLogs(level="ERROR") as logs:
            for _ in range(100):
                with guard.protect("x", size=3):
                    raise ValueError
        self.assertEqual((guard.failures["x"], len(logs.output)), (100, 7))


if __name__ == "__main__":
    unittest.main()
