"""The small models, explored as deeply as CI has time for; benchmarks/system.py explores them deeper."""

import unittest
from collections.abc import Iterator
from typing import Any

from tests.system.model import Agreement, Keys, Step, explore, mistakes, walk, worlds

# Committed members entries in the worlds that are about membership.
MEMBERS = {
    "newcomers": {'{"members": {"m0#founder": "m0", "m1#new": "m1"}}'},
    "leavers": {'{"members": {"m0#founder": "m0"}}', '{"members": {"m1#founder": "m1"}}'},
}


class TestModel(unittest.TestCase):
    """The real state machines, grant managers and ledgers in every state that the small worlds reach."""

    def test_nothing_is_broken_in_any_state(self) -> None:
        counts = {}
        for name, (world, depth, most) in worlds().items():
            with self.subTest(name):
                bodies: set[str] = set()

                def follow(state: Any) -> Iterator[Step]:
                    for step in world.follow(state):
                        bodies.update(entry[2] for entry, _ in step[1][2] if entry[1] == "members")
                        yield step

                found = explore(world.start, follow if name in MEMBERS else world.follow, depth, most)
                self.assertEqual((found.violations, found.trace), ([], []))
                self.assertEqual(bodies, MEMBERS.get(name, set()))
                counts[name] = found.states
        # Far fewer would mean that a world no longer reaches the states that it used to.
        self.assertGreater(min(counts.values()), 10_000, counts)
        self.assertGreater(sum(counts.values()), 120_000, counts)

    def test_each_mistake_is_found_and_by_its_consequence(self) -> None:
        for name, (world, depth, what) in mistakes().items():
            with self.subTest(name):
                found = explore(world.start, world.follow, depth)
                self.assertTrue(found.violations, f"{found.states} states hold")
                self.assertIn(what, found.violations[0])
                self.assertEqual(len(found.trace), found.depth)

    def test_without_the_mistakes_the_same_worlds_hold(self) -> None:
        for world, depth in (
            (Agreement(crashes=0, wipes=1, terms=1, commands=0, beats=False), 11),
            (Keys(asks="a", starts=0, reassigns=0), 9),
            (Keys(swift=True, asks="b", seconds=4), 14),
        ):
            found = explore(world.start, world.follow, depth, 25_000)
            self.assertEqual(found.violations, [])

    def test_the_worlds_come_to_where_they_matter(self) -> None:
        """Random steps go far deeper: a command is committed, a wiped disk rejoins, a slice is leased to another and
        opened.
        """
        committed: set[str] = set()
        for seed in range(20):
            committed.update(entry[2] for entry, _ in walk(Agreement(crashes=1, wipes=1), seed, 150)[2])
        self.assertIn('{"n": 0}', committed)
        self.assertTrue(any("#1" in body for body in committed), committed)
        logs: set[str] = set()
        for seed in range(20):
            logs.update(walk(Keys(seconds=12, entries=12, moves=3, starts=2, leaders=1, reassigns=2), seed, 150)[1])
        self.assertTrue(any('"lease"' in text and '"to": "b"' in text for text in logs))
        self.assertTrue(any('"granted"' in text and '"fence": 3' not in text for text in logs))


if __name__ == "__main__":
    unittest.main()
