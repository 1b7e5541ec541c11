"""A fixed set of simulated walks that claim operations, and the seeded mistakes in claim groups that they must find."""

import unittest

from knotwalk.shared_state.claims import GRANTED, ClaimResult, Outcome
from knotwalk.shared_state.messages import Claim, Holder
from tests.simulation.claims_judge import Claims
from tests.simulation.claims_mistakes import MISTAKES
from tests.simulation.claims_walk import find, walk
from tests.simulation.judges import Judge
from tests.simulation.loop import VirtualLoop

WALKS = 3


class WalksTest(unittest.TestCase):
    def test_no_operation_is_granted_to_two_holders_on_walks(self):
        for seed in range(WALKS):
            with self.subTest(seed=seed):
                found = walk(seed)
                self.assertEqual(found.violations, [])
                self.assertGreater(found.changes, 50)  # claims granted

    def test_each_mistake_is_found(self):
        for name, mistake in MISTAKES.items():
            with self.subTest(name):
                found = find(mistake)
                self.assertIsNotNone(found, f"not found in {mistake.within} walks")
                self.assertNotRegex(found.violations[0], "TypeError|AttributeError|NameError")
                self.assertRegex(
                    found.violations[0], "granted|was committed"
                )  # by the judge of claims, or of consensus messages


class JudgeTest(unittest.TestCase):
    """The judge of claims on its own."""

    def setUp(self):
        self.judge, self.loop = Judge(), VirtualLoop(0)
        self.claims = Claims(self.judge, self.loop, 4.0)

    def granted(self, at, holder):
        self.loop.now = at
        self.claims.answered(self.claim(holder), GRANTED)

    def claim(self, holder):
        return Claim("o" * 32, Holder("core", "life", holder))

    def test_two_holders_within_the_window_are_reported(self):
        self.granted(1.0, "a")
        self.granted(4.9, "b")
        self.assertEqual(len(self.judge.violations), 1)

    def test_a_second_holder_after_the_window_or_a_release_is_allowed(self):
        self.granted(1.0, "a")
        self.granted(5.0, "b")
        self.claims.releases(self.claim("b"))
        self.granted(5.1, "c")
        self.assertEqual(self.judge.violations, [])

    def test_a_grant_after_a_release_counts(self):
        self.granted(1.0, "a")
        self.claims.releases(self.claim("a"))
        self.granted(2.0, "a")
        self.granted(3.0, "b")
        self.assertEqual(len(self.judge.violations), 1)

    def test_a_holder_refused_because_of_its_own_claim_is_reported(self):
        one = self.claim("a")
        self.claims.answered(one, ClaimResult(Outcome.HELD, one.holder))
        self.assertEqual(len(self.judge.violations), 1)


if __name__ == "__main__":
    unittest.main()
