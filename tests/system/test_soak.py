"""A short soak run by fixed seeds, and the soak's judge, plan and mistakes by themselves."""

import asyncio
import unittest

from tests.soak.drive import Shape, Soak
from tests.soak.judge import Judge
from tests.soak.ledger import Asked, Death, End, Ledger, Life, Run
from tests.soak.plan import CALM, TAIL, Act, draw

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

    def test_each_rule_is_found_broken_and_not_without_cause(self):
        whole, early = Run("a", "i-1", 1.1, 2.0, True), Run("a", "i-1", 1.1, 2.2, False)
        long = Run("a", "i-1", 1.1, 3.5, True)
        served = Asked("b", Life("edge", 0.0), True, 0.2, End.ANSWERED, 0.5, 503)
        life = served.life
        still = Life("edge", 0.0, frozen=[(2.0, 2.4)])
        killed = Life("edge", 0.0, 2.0, Death.KILL, 2.0, -9)
        table = {
            "an answer": ([], [self.asked(False, End.ANSWERED, status=200, sealed=True)], [whole]),
            "run twice": (["TWICE"], [self.asked(False, End.ANSWERED, status=502)], [early, whole]),
            "run twice, repeatable": ([], [self.asked(True, End.ANSWERED, status=502)], [early, whole]),
            "refused, and run": (["REFUSED"], [self.asked(False, End.ANSWERED, status=503)], [early]),
            "behind a close, and run": (["REFUSED"], [self.asked(False, End.BEHIND)], [whole]),
            "no seal": (["MIXED"], [self.asked(True, End.ANSWERED, status=200)], [whole]),
            "another's body": (["MIXED"], [self.asked(True, End.ANSWERED, status=200, sealed=True, whole=False)], []),
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
