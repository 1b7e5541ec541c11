"""A short soak run by fixed seeds, and the soak's judge, plan and mistakes by themselves."""

import asyncio
import unittest
from dataclasses import replace
from functools import partial

from knotwalk.runtime.settings import Bounds
from tests.soak.drive import Soak
from tests.soak.judge import HANGS, Judge
from tests.soak.ledger import Asked, Death, End, InForce, Ledger, Life, Run
from tests.soak.plan import CALM, TAIL, Act, draw
from tests.soak.shape import Shape
from tests.soak.shared_judge import SharedJudge

SEEDS = (101, 102)
SHORT = Shape(edges=3, clients=12, length=12.0, series=7)
GRACE = 6.0


class SoakTest(unittest.TestCase):
    def test_nothing_is_broken_in_short_runs(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                told = asyncio.run(Soak(seed, SHORT).run())
                self.assertEqual(told.findings, [])
                self.assertGreater(told.counts["answered"], 50)
                self.assertGreater(told.counts["left"], 5)


class JudgeTest(unittest.TestCase):
    def findings(self, asked=(), runs=(), lives=()):
        ledger = Ledger({one.id: one for one in asked}, list(runs), list(lives))
        return [line.split()[0] for line in Judge(ledger, GRACE, 0.1).findings()]

    def asked(self, repeatable, end, at=2.0, status=0, life=None, **more):
        life = life or Life("edge", 0.0)
        return Asked("a", life, repeatable, 1.0, end, at, status, **more)

    def silent(self, *frozen):
        """A request without an end, sent at 1 s with a deadline of 5 s, to an edge that was frozen."""
        return self.asked(True, End.SILENT, at=1.0 + 5.0 + HANGS, life=Life("edge", 0.0, frozen=list(frozen)))

    def test_each_rule_is_found_broken_and_not_without_cause(self):
        whole, early = Run("a", "i-1", 1.1, 2.0, True), Run("a", "i-1", 1.1, 2.2, False)
        long = Run("a", "i-1", 1.1, 3.5, True)
        served = Asked("b", Life("edge", 0.0), True, 0.2, End.ANSWERED, 0.5, 503)
        life = served.life
        still = Life("edge", 0.0, frozen=[(2.0, 2.4)])
        killed = Life("edge", 0.0, 2.0, Death.KILL, 2.0, -9)
        table = {
            "an answer": ([], [self.asked(False, End.ANSWERED, status=200, seal="s")], [whole]),
            "run twice": (["TWICE"], [self.asked(False, End.ANSWERED, status=502)], [early, whole]),
            "run twice, repeatable": ([], [self.asked(True, End.ANSWERED, status=502)], [early, whole]),
            "refused, and run": (["REFUSED"], [self.asked(False, End.ANSWERED, status=503)], [early]),
            "behind a close, and run": (["REFUSED"], [self.asked(False, End.BEHIND)], [whole]),
            "no seal": (["MIXED"], [self.asked(True, End.ANSWERED, status=200)], [whole]),
            "another's body": (["MIXED"], [self.asked(True, End.ANSWERED, status=200, seal="s", whole=False)], []),
            "left, worked on": (["GONE"], [self.asked(True, End.LEFT)], [long]),
            "left, stopped": ([], [self.asked(True, End.LEFT)], [early]),
            "left, begun late": (["GONE"], [self.asked(True, End.LEFT)], [Run("a", "i-1", 3.0, 3.1, False)]),
            "left, only once": ([], [self.asked(False, End.LEFT)], [long]),
            "left a frozen edge": ([], [self.asked(True, End.LEFT, life=still)], [long]),
            "answer lost": (["LOST"], [self.asked(False, End.CUT, life=life)], [whole]),
            "cut by a kill": ([], [self.asked(False, End.CUT, life=killed)], [whole]),
            "cut unread": ([], [self.asked(False, End.CUT)], []),
            "cut late, read": (["LOST"], [served, self.asked(False, End.CUT, life=life)], []),
            "no end": (["SILENT"], [self.asked(True, End.SILENT)], []),
            "no end, frozen at the deadline": ([], [self.silent((3.0, 7.5))], []),
            "no end, frozen at the deadline for a moment": (["SILENT"], [self.silent((5.9, 6.1))], []),
            "no end, frozen before the deadline": (["SILENT"], [self.silent((1.5, 5.5))], []),
            "no end, frozen past the deadline": (["SILENT"], [self.silent((6.2, 9.5))], []),
            "no end, frozen now and again": (["SILENT"], [self.silent((1.0, 3.0), (5.0, 6.5))], []),
            "cut as it closed": ([], [served, self.asked(False, End.CUT, at=1.2, life=life)], []),
        }
        for name, (wanted, asked, runs) in table.items():
            with self.subTest(name):
                self.assertEqual(self.findings(asked, runs), wanted)

    def test_ends_of_programs(self):
        table = {
            "in order": ([], Life("edge", 0.0, 5.0, Death.TERM, 2.0, 0)),
            "before it began": ([], Life("core", 0.0, 0.2, Death.TERM, 0.1, -15, spoke=False)),
            "later": (["END"], Life("core", 0.0, 3.2, Death.TERM, 3.1, -15)),
            "past its grace": (["END"], Life("edge", 0.0, 12.0, Death.TERM, 2.0, 0)),
            "by itself": (["END"], Life("edge", 0.0, 5.0, Death.ITSELF, None, 1)),
            "killed at its grace's end": (["END"], Life("edge", 0.0, 9.0, Death.KILL, 2.0, -9, outlived=True)),
            "killed": ([], Life("edge", 0.0, 5.0, Death.KILL, 5.0, -9)),
        }
        for name, (wanted, life) in table.items():
            with self.subTest(name):
                self.assertEqual(self.findings(lives=[life]), wanted)


class SharedJudgeTest(unittest.TestCase):
    """Each mistake in what was seen of keys, operations and quotas is found, and what may be is not."""

    BOUNDS = Bounds(revoke_timeout=5.0, key_period=6.0, quota_window=3.0, quota_overage=0.1, quota_slack=2.0)
    KEYS = {"k1": "a", "k2": "a", "k3": "b"}

    def findings(self, asked, runs=(), after=None):
        """`after`: keys and limits of a configuration sent at 20 and acknowledged at 21."""
        ledger = Ledger({one.id: one for one in asked}, list(runs))
        ledger.configurations = [InForce(0.0, 1.0, self.KEYS, {"a": (2, 2), "b": (0, 0)})]
        if after is not None:
            ledger.configurations.append(InForce(20.0, 21.0, *after))
        return [line.split()[0] for line in SharedJudge(ledger, self.BOUNDS, 0.0).findings()]

    def asked(self, id="x", sent=10.0, status=200, seal="s", tenant="a", key="k1", operation="", **more):
        at = more.pop("at", sent + 0.5)
        answered = {"seal": seal, "body": b"s", "tenant": tenant, "key": key, "operation": operation}
        return Asked(id, Life("edge", 0.0), False, sent, End.ANSWERED, at, status, **answered | more)

    def run_of(self, id="x", begun=10.1, seal="s", tenant="a", operation="", **more):
        fields = {"seal": seal, "body": seal.encode(), "tenant": tenant, "operation": operation}
        return Run(id, "i-1", begun, begun + 0.1, True, **fields | more)

    def judged(self, table):
        for name, (wanted, *seen) in table.items():
            with self.subTest(name):
                self.assertEqual(self.findings(*seen), wanted)

    def test_operations(self):
        asked, run_of = partial(self.asked, operation="o"), partial(self.run_of, operation="o")
        first, again = asked(), asked("y", 12.0)
        other = run_of("y", 12.1, "t")
        own = asked("y", 12.0, seal="t", body=b"t")
        late, late_run = asked("y", 16.1, seal="t", body=b"t"), run_of("y", 16.2, "t")
        namesake = asked("y", 12.0, seal="t", body=b"t", tenant="b", key="k3")
        self.judged(
            {
                "a repeat": ([], [first, again], [run_of()]),
                "run twice": (["TWICE"], [first, own], [run_of(), other]),
                "run twice, the first broken off": (
                    ["TWICE"],
                    [first, own],
                    [replace(run_of(), finished=False), other],
                ),
                "run by one try twice": (
                    ["TWICE"],
                    [asked(seal="t", body=b"t")],
                    [run_of(), run_of(begun=11, seal="t")],
                ),
                "run again after its time": ([], [first, late], [run_of(), late_run]),
                "run again a moment too early": (["TWICE"], [first, late], [run_of(), run_of("y", 15.99, "t")]),
                "of two tenants": ([], [first, namesake], [run_of(), run_of("y", 12.1, "t", "b")]),
                "another's answer": (
                    ["MIXED"],
                    [first, namesake, asked("z", seal="t", body=b"t")],
                    [run_of(), run_of("y", 12.1, "t", "b")],
                ),
                "a repeat with another body": (["MIXED"], [first, asked("y", 12.0, body=b"t")], [run_of()]),
                "a repeat with no run's seal": (["MIXED"], [first, asked("y", 12.0, seal="u")], [run_of()]),
                "a success of a failure": (["MIXED"], [first], [run_of(status=422)]),
                "in work": ([], [asked(status=200, at=13.0), asked("y", 12.0, 409, "")], [run_of()]),
                "in work by nobody": (["MIXED"], [asked(status=409, seal="")]),
                "its key is not passed on": (["UNASKED"], [first], [self.run_of()]),
            }
        )

    def test_keys(self):
        asked, run_of = self.asked, self.run_of
        gone, moved = ({"k2": "a", "k3": "b"}, {}), (self.KEYS, {})
        self.judged(
            {
                "as it should be": ([], [asked()], [run_of()]),
                "the key came along": (["UNASKED"], [asked()], [run_of(showed_key=True)]),
                "another tenant": (["UNASKED"], [asked()], [run_of(tenant="b")]),
                "a client's word for its tenant": (["UNASKED"], [asked(tenant="", key="", public=True)], [run_of()]),
                "a request of nobody": (["UNASKED"], [], [run_of()]),
                "a key that never was": (["ROUTE"], [asked(key="k9", tenant="")], [run_of(tenant="")]),
                "no key": (["ROUTE"], [asked(key="", tenant="")], [run_of(tenant="")]),
                "no key, public": ([], [asked(key="", tenant="", public=True)], [run_of(tenant="")]),
                "taken away": (["CONFIG"], [asked(sent=26.1)], [run_of(begun=26.2)], gone),
                "taken away, in time": ([], [asked(sent=25.9)], [run_of(begun=28.0)], gone),
                "still there": ([], [asked(sent=36.1)], [run_of(begun=36.2)], moved),
                "denied": (["DENIED"], [asked(status=401, seal="")]),
                "denied, public": (["DENIED"], [asked(status=401, seal="", key="", tenant="", public=True)]),
                "denied, gone": ([], [asked(sent=19.6, status=401, seal="", at=20.1)], [], gone),
                "denied before it is gone": (["DENIED"], [asked(sent=19.0, status=401, seal="")], [], gone),
            }
        )

    def test_quotas(self):
        def burst(count, tenant="a", key="k1", since=10.0):
            seals = [f"s{since}{k}" for k in range(count)]
            asked = [
                self.asked(f"{since}{k}", since, seal=seal, body=seal.encode(), tenant=tenant, key=key)
                for k, seal in enumerate(seals)
            ]
            runs = [self.run_of(one.id, since + 0.05 * k, one.seal, tenant) for k, one in enumerate(asked)]
            return asked, runs

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
                    early_runs + [replace(r, begun=r.begun - 0.2) for r in later_runs],
                ),
                "no limit": ([], *burst(50, "b", "k3")),
                "a lower limit, early": ([], *burst(most, since=24.0), lower),
                "a lower limit": (["QUOTA"], *burst(most, since=60.0), lower),
                "refused without a limit": (["QUOTA"], [self.asked(status=429, seal="", tenant="b", key="k3")]),
                "refused by a limit": ([], [self.asked(status=429, seal="")]),
            }
        )


class PlanTest(unittest.TestCase):
    def test_plans_repeat_keep_their_time_and_reach_every_act(self):
        acts = set()
        for seed in range(60):
            steps = draw(seed, 15.0, 8)
            self.assertEqual(steps, draw(seed, 15.0, 8))
            self.assertTrue(all(CALM <= step.at <= 15.0 - TAIL for step in steps))
            acts |= {step.act for step in steps}
        self.assertEqual(acts, set(Act))


if __name__ == "__main__":
    unittest.main()
