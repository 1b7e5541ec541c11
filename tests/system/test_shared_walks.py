"""Simulated walks that check tenants' keys and limits, and the seeded mistakes that such walks must find."""

import unittest

from tests.simulation.mistakes import KEYS, QUOTA
from tests.simulation.shared_mistakes import SHARED_MISTAKES
from tests.simulation.walk import find, walk

WALKS = 4


class LimitedWalksTest(unittest.TestCase):
    def test_no_limit_is_exceeded_and_requests_pass(self):
        for seed in range(WALKS):
            with self.subTest(seed=seed):
                found = walk(seed, limited=True)
                self.assertEqual(found.violations, [])
                self.assertGreater(found.let_pass, 100)


class SharedMistakesTest(unittest.TestCase):
    """Each mistake seeded in the real code is found within its number of walks, by the judge that checks its point."""

    SAYS = {KEYS: "takes (keys|the key)", QUOTA: "let pass in a window"}

    def test_seeded_mistakes_are_found(self):
        for name, mistake in SHARED_MISTAKES.items():
            with self.subTest(name):
                found = find(mistake, mistake.seeds())
                self.assertIsNotNone(found, f"not found in {mistake.within} walks")
                self.assertRegex(found.violations[0], self.SAYS[mistake.point])


if __name__ == "__main__":
    unittest.main()
