"""The small models, walked as deep as CI has time for; benchmarks/system.py walks them deeper."""

import unittest
from collections.abc import Iterator
from typing import Any

from tests.system.model import Agreement, Keys, Step, explore, mistakes, walk, worlds

# What is committed of members in the worlds that are about them.
MEMBERS = {
    "newcomers": {'{"members": {"m0#founder": "m0", "m1#new": "m1"}}'},
    "leavers": {'{"members": {"m0#founder": "m0"}}', '{"members": {"m1#founder": "m1"}}'},
}


class TestModel(unittest.TestCase):
    """The real machines, keepers and ledgers in every state that small worlds come to."""

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
                self.assertEqual((found.broken, found.trace), ([], []))
                self.assertEqual(bodies, MEMBERS.get(name, set()))
                counts[name] = found.states
        # Far fewer would mean that a world no longer goes where it went.
        self.assertGreater(min(counts.values()), 10_000, counts)
        self.assertGreater(sum(counts.values()), 120_000, counts)

    def test_each_mistake_is_found_and_by_its_consequence(self) -> None:
        for name, (world, depth, what) in mistakes().items():
            with self.subTest(name):
                found = explore(world.start, world.follow, depth)
                self.assertTrue(found.broken, f"{found.states} states hold")
                self.assertIn(what, found.broken[0])
                self.assertEqual(len(found.trace), found.depth)

    def test_without_the_mistakes_the_same_worlds_hold(self) -> None:
        for world, depth in (
            (Agreement(crashes=0, wipes=1, terms=1, commands=0, beats=False), 11),
            (Keys(asks="a", starts=0, reassigns=0), 9),
            (Keys(swift=True, asks="b", seconds=4), 14),
        ):
            found = explore(world.start, world.follow, depth, 25_000)
            self.assertEqual(found.broken, [])

    def test_the_worlds_come_to_where_they_matter(self) -> None:
        """By chance, far deeper: a command is committed, a wiped disk taken in, a slice leased on and opened."""
        committed: set[str] = set()
        for seed in range(20):
            committed.update(entry[2] for entry, _ in walk(Agreement(crashes=1, wipes=1), seed, 150)[2])
        self.assertIn('{"n": 0}', committed)
        self.assertTrue(any("#1" in body for body in committed), committed)
        told: set[str] = set()
        for seed in range(20):
            told.update(walk(Keys(seconds=12, entries=12, moves=3, starts=2, leaders=1, reassigns=2), seed, 150)[1])
        self.assertTrue(any('"lease"' in text and '"to": "b"' in text for text in told))
        self.assertTrue(any('"granted"' in text and '"fence": 3' not in text for text in told))


if __name__ == "__main__":
    unittest.main()
