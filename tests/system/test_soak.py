"""Short soak runs with fixed seeds, and unit tests of the soak's judges and plan."""

import asyncio
import unittest
from dataclasses import replace
from functools import partial

from knotwalk.runtime.settings import Bounds
from tests.soak.drive import Soak
from tests.soak.judge import SILENCE_MARGIN_S, Judge
from tests.soak.ledger import ClientRequest, End, ExitCause, Incarnation, Ledger, Run, TenantConfiguration
from tests.soak.plan import QUIET_END_S, QUIET_START_S, Act, draw
from tests.soak.shape import Shape
from tests.soak.shared_judge import SharedJudge

SEEDS = (101, 102)
SHORT_RUN = Shape(edges=3, clients=12, length=12.0, series=7)
SMALL_SEED = 5  # its core runs without a restart for longer than the conductors' calm period
SMALL_RUN = Shape(edges=1, clients=8, length=15.0, series=4, cores=1, tolerance=0)
GRACE_S = 6.0


class SoakTest(unittest.TestCase):
    def test_short_runs_have_no_findings(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                outcome = asyncio.run(Soak(seed, SHORT_RUN).run())
                self.assertEqual(outcome.findings, [])
                self.assertGreater(outcome.counts["answered"], 50)
                self.assertGreater(outcome.counts["left"], 5)

    def test_a_short_run_of_one_core_and_one_edge_has_no_findings(self):
        """Guards against a core that ends by itself where it is alone (review/7, FAULT)."""
        outcome = asyncio.run(Soak(SMALL_SEED, SMALL_RUN).run())
        self.assertEqual(outcome.findings, [])
        self.assertGreater(outcome.counts["answered"], 50)


class JudgeTest(unittest.TestCase):
    def findings(self, requests=(), runs=(), incarnations=()):
        ledger = Ledger({request.id: request for request in requests}, list(runs), list(incarnations))
        return [line.split()[0] for line in Judge(ledger, GRACE_S, 0.1).findings()]

    def make_request(self, is_repeatable, end, ended_at=2.0, status=0, incarnation=None, **more):
        incarnation = incarnation or Incarnation("edge", 0.0)
        return ClientRequest("a", incarnation, is_repeatable, 1.0, end, ended_at, status, **more)

    def silent(self, *frozen):
        """A request that never ended, sent at 1 s with a deadline of 5 s to an edge that was frozen."""
        return self.make_request(
            True,
            End.NO_RESPONSE,
            ended_at=1.0 + 5.0 + SILENCE_MARGIN_S,
            incarnation=Incarnation("edge", 0.0, frozen=list(frozen)),
        )

    def test_each_violation_is_reported_and_nothing_else(self):
        finished, early = Run("a", "i-1", 1.1, 2.0, True), Run("a", "i-1", 1.1, 2.2, False)
        long = Run("a", "i-1", 1.1, 3.5, True)
        served = ClientRequest("b", Incarnation("edge", 0.0), True, 0.2, End.ANSWERED, 0.5, 503)
        incarnation = served.incarnation
        frozen_edge = Incarnation("edge", 0.0, frozen=[(2.0, 2.4)])
        killed = Incarnation("edge", 0.0, 2.0, ExitCause.KILL, 2.0, -9)
        table = {
            "an answer": ([], [self.make_request(False, End.ANSWERED, status=200, seal="s")], [finished]),
            "run twice": (["TWICE"], [self.make_request(False, End.ANSWERED, status=502)], [early, finished]),
            "run twice, repeatable": ([], [self.make_request(True, End.ANSWERED, status=502)], [early, finished]),
            "refused, and run": (["REFUSED"], [self.make_request(False, End.ANSWERED, status=503)], [early]),
            "pipelined behind a closing response, and run": (
                ["REFUSED"],
                [self.make_request(False, End.AFTER_CLOSE)],
                [finished],
            ),
            "no seal": (["MIXED"], [self.make_request(True, End.ANSWERED, status=200)], [finished]),
            "body of another request": (
                ["MIXED"],
                [self.make_request(True, End.ANSWERED, status=200, seal="s", is_whole=False)],
                [],
            ),
            "client left, run goes on": (["GONE"], [self.make_request(True, End.CLIENT_LEFT)], [long]),
            "client left, run stopped": ([], [self.make_request(True, End.CLIENT_LEFT)], [early]),
            "client left, run started late": (
                ["GONE"],
                [self.make_request(True, End.CLIENT_LEFT)],
                [Run("a", "i-1", 3.0, 3.1, False)],
            ),
            "client left, not repeatable": ([], [self.make_request(False, End.CLIENT_LEFT)], [long]),
            "client left, edge frozen": (
                [],
                [self.make_request(True, End.CLIENT_LEFT, incarnation=frozen_edge)],
                [long],
            ),
            "run finished, no response": (
                ["LOST"],
                [self.make_request(False, End.CONNECTION_CLOSED, incarnation=incarnation)],
                [finished],
            ),
            "connection closed by a kill": (
                [],
                [self.make_request(False, End.CONNECTION_CLOSED, incarnation=killed)],
                [finished],
            ),
            "closed by an edge that has not responded yet": ([], [self.make_request(False, End.CONNECTION_CLOSED)], []),
            "closed after the request was read": (
                ["LOST"],
                [served, self.make_request(False, End.CONNECTION_CLOSED, incarnation=incarnation)],
                [],
            ),
            "no end": (["SILENT"], [self.make_request(True, End.NO_RESPONSE)], []),
            "no end, frozen at the deadline": ([], [self.silent((3.0, 7.5))], []),
            "no end, frozen at the deadline for a moment": (["SILENT"], [self.silent((5.9, 6.1))], []),
            "no end, frozen before the deadline": (["SILENT"], [self.silent((1.5, 5.5))], []),
            "no end, frozen only after the deadline": (["SILENT"], [self.silent((6.2, 9.5))], []),
            "no end, frozen several times": (["SILENT"], [self.silent((1.0, 3.0), (5.0, 6.5))], []),
            "closed shortly after the request was sent": (
                [],
                [served, self.make_request(False, End.CONNECTION_CLOSED, ended_at=1.2, incarnation=incarnation)],
                [],
            ),
        }
        for name, (expected, requests, runs) in table.items():
            with self.subTest(name):
                self.assertEqual(self.findings(requests, runs), expected)

    def test_process_exits(self):
        table = {
            "orderly exit": ([], Incarnation("edge", 0.0, 5.0, ExitCause.TERM, 2.0, 0)),
            "SIGTERM before the signal handlers are installed": (
                [],
                Incarnation("core", 0.0, 0.2, ExitCause.TERM, 0.1, -15, has_logged=False),
            ),
            "exit by signal after the handlers are installed": (
                ["END"],
                Incarnation("core", 0.0, 3.2, ExitCause.TERM, 3.1, -15),
            ),
            "exit after the grace period": (["END"], Incarnation("edge", 0.0, 12.0, ExitCause.TERM, 2.0, 0)),
            "unprompted exit": (["END"], Incarnation("edge", 0.0, 5.0, ExitCause.UNPROMPTED, None, 1)),
            "killed at the end of the grace period": (
                ["END"],
                Incarnation("edge", 0.0, 9.0, ExitCause.KILL, 2.0, -9, exceeded_grace=True),
            ),
            "killed": ([], Incarnation("edge", 0.0, 5.0, ExitCause.KILL, 5.0, -9)),
        }
        for name, (expected, incarnation) in table.items():
            with self.subTest(name):
                self.assertEqual(self.findings(incarnations=[incarnation]), expected)


class SharedJudgeTest(unittest.TestCase):
    """Violations in observations of API keys, operations and quotas are reported; allowed observations are not."""

    BOUNDS = Bounds(revoke_timeout=5.0, key_period=6.0, quota_window=3.0, quota_overage=0.1, quota_slack=2.0)
    KEYS = {"k1": "a", "k2": "a", "k3": "b"}

    def findings(self, requests, runs=(), after=None):
        """`after`: keys and limits of a configuration sent at 20 and acknowledged at 21."""
        ledger = Ledger({request.id: request for request in requests}, list(runs))
        ledger.configurations = [TenantConfiguration(0.0, 1.0, self.KEYS, {"a": (2, 2), "b": (0, 0)})]
        if after is not None:
            ledger.configurations.append(TenantConfiguration(20.0, 21.0, *after))
        return [line.split()[0] for line in SharedJudge(ledger, self.BOUNDS, 0.0).findings()]

    def make_request(self, id="x", sent_at=10.0, status=200, seal="s", tenant="a", key="k1", operation="", **more):
        ended_at = more.pop("ended_at", sent_at + 0.5)
        answered = {"seal": seal, "body": b"s", "tenant": tenant, "key": key, "operation": operation}
        return ClientRequest(
            id, Incarnation("edge", 0.0), False, sent_at, End.ANSWERED, ended_at, status, **answered | more
        )

    def run_of(self, id="x", started_at=10.1, seal="s", tenant="a", operation="", **more):
        fields = {"seal": seal, "body": seal.encode(), "tenant": tenant, "operation": operation}
        return Run(id, "i-1", started_at, started_at + 0.1, True, **fields | more)

    def judged(self, table):
        for name, (expected, *observed) in table.items():
            with self.subTest(name):
                self.assertEqual(self.findings(*observed), expected)

    def test_operations(self):
        make, run_of = partial(self.make_request, operation="o"), partial(self.run_of, operation="o")
        first, again = make(), make("y", 12.0)
        other = run_of("y", 12.1, "t")
        own = make("y", 12.0, seal="t", body=b"t")
        late, late_run = make("y", 16.1, seal="t", body=b"t"), run_of("y", 16.2, "t")
        namesake = make("y", 12.0, seal="t", body=b"t", tenant="b", key="k3")
        self.judged(
            {
                "a repeat": ([], [first, again], [run_of()]),
                "run twice": (["TWICE"], [first, own], [run_of(), other]),
                "run twice, the first interrupted": (
                    ["TWICE"],
                    [first, own],
                    [replace(run_of(), finished=False), other],
                ),
                "run twice by one attempt": (
                    ["TWICE"],
                    [make(seal="t", body=b"t")],
                    [run_of(), run_of(started_at=11, seal="t")],
                ),
                "run again after the key period": ([], [first, late], [run_of(), late_run]),
                "run again just before the end of the key period": (
                    ["TWICE"],
                    [first, late],
                    [run_of(), run_of("y", 15.99, "t")],
                ),
                "same operation key, two tenants": ([], [first, namesake], [run_of(), run_of("y", 12.1, "t", "b")]),
                "response of another tenant's operation": (
                    ["MIXED"],
                    [first, namesake, make("z", seal="t", body=b"t")],
                    [run_of(), run_of("y", 12.1, "t", "b")],
                ),
                "a repeat with another body": (["MIXED"], [first, make("y", 12.0, body=b"t")], [run_of()]),
                "a repeat with an unknown seal": (["MIXED"], [first, make("y", 12.0, seal="u")], [run_of()]),
                "a 200 for a run that failed": (["MIXED"], [first], [run_of(status=422)]),
                "409 during another attempt": (
                    [],
                    [make(status=200, ended_at=13.0), make("y", 12.0, 409, "")],
                    [run_of()],
                ),
                "409 without another attempt": (["MIXED"], [make(status=409, seal="")]),
                "operation key not passed on": (["UNASKED"], [first], [self.run_of()]),
            }
        )

    def test_keys(self):
        make, run_of = self.make_request, self.run_of
        gone, moved = ({"k2": "a", "k3": "b"}, {}), (self.KEYS, {})
        self.judged(
            {
                "valid key": ([], [make()], [run_of()]),
                "API key sent to the node": (["UNASKED"], [make()], [run_of(has_raw_key=True)]),
                "another tenant": (["UNASKED"], [make()], [run_of(tenant="b")]),
                "tenant claimed by a client": (["UNASKED"], [make(tenant="", key="", public=True)], [run_of()]),
                "run without a request": (["UNASKED"], [], [run_of()]),
                "a key that never existed": (["ROUTE"], [make(key="k9", tenant="")], [run_of(tenant="")]),
                "no key": (["ROUTE"], [make(key="", tenant="")], [run_of(tenant="")]),
                "no key, public": ([], [make(key="", tenant="", public=True)], [run_of(tenant="")]),
                "revoked": (["CONFIG"], [make(sent_at=26.1)], [run_of(started_at=26.2)], gone),
                "revoked, within the time-out": ([], [make(sent_at=25.9)], [run_of(started_at=28.0)], gone),
                "still valid": ([], [make(sent_at=36.1)], [run_of(started_at=36.2)], moved),
                "denied": (["DENIED"], [make(status=401, seal="")]),
                "denied, public": (["DENIED"], [make(status=401, seal="", key="", tenant="", public=True)]),
                "denied, revoked": ([], [make(sent_at=19.6, status=401, seal="", ended_at=20.1)], [], gone),
                "denied before the revocation": (["DENIED"], [make(sent_at=19.0, status=401, seal="")], [], gone),
            }
        )

    def test_quotas(self):
        def burst(count, tenant="a", key="k1", since=10.0):
            seals = [f"s{since}{k}" for k in range(count)]
            requests = [
                self.make_request(f"{since}{k}", since, seal=seal, body=seal.encode(), tenant=tenant, key=key)
                for k, seal in enumerate(seals)
            ]
            runs = [
                self.run_of(request.id, since + 0.05 * k, request.seal, tenant) for k, request in enumerate(requests)
            ]
            return requests, runs

        most = 10  # (2 a second x 3 s + 2) x 1.1 + 2
        lower = (self.KEYS, {"a": (1, 1), "b": (0, 0)})
        (early, early_runs), (later, later_runs) = burst(most), burst(most, since=13.1)
        self.judged(
            {
                "up to the limit": ([], *burst(most)),
                "beyond it": (["QUOTA"], *burst(most + 1)),
                "in two windows": ([], early + later, early_runs + later_runs),
                "in a window across two": (
                    ["QUOTA"],
                    early + later,
                    early_runs + [replace(r, started_at=r.started_at - 0.2) for r in later_runs],
                ),
                "no limit": ([], *burst(50, "b", "k3")),
                "a lower limit, early": ([], *burst(most, since=24.0), lower),
                "a lower limit": (["QUOTA"], *burst(most, since=60.0), lower),
                "refused without a limit": (["QUOTA"], [self.make_request(status=429, seal="", tenant="b", key="k3")]),
                "refused by a limit": ([], [self.make_request(status=429, seal="")]),
            }
        )


class PlanTest(unittest.TestCase):
    def test_plans_repeat_keep_their_time_and_reach_every_act(self):
        acts = set()
        for seed in range(60):
            steps = draw(seed, 15.0, 8)
            self.assertEqual(steps, draw(seed, 15.0, 8))
            self.assertTrue(all(QUIET_START_S <= step.due_at <= 15.0 - QUIET_END_S for step in steps))
            acts |= {step.act for step in steps}
        self.assertEqual(acts, set(Act))


if __name__ == "__main__":
    unittest.main()
