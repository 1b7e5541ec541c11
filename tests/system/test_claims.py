"""The claim table and the group clock, on their own and against a plain model."""

import json
import random
import tracemalloc
import unittest
from dataclasses import replace
from unittest import mock

from knotwalk.control_plane.message_packing import pack, unpack
from knotwalk.shared_state import claims
from knotwalk.shared_state.claim_packing import pack_claim, unpack_claim
from knotwalk.shared_state.claims import (
    GRANTED,
    MAX_COUNTED_COMMIT_S,
    UNAVAILABLE,
    ClaimResult,
    ClaimTable,
    GroupClock,
    Outcome,
    claims_command,
)
from knotwalk.shared_state.messages import Claim, Holder, operation_id

HOLD = 70.0
ONE, OTHER = Holder("10.0.0.1:7660", "life 1", "a"), Holder("10.0.0.2:7660", "life 2", "b")
HELD_BY_ONE = ClaimResult(Outcome.HELD, ONE)


def claim(key: str, holder: Holder, release: bool = False) -> Claim:
    return Claim(operation_id("tenant", key), holder, release)


class Log:
    """A claim table and the entries applied to it, in order."""

    def __init__(self) -> None:
        self.table, self.entries = ClaimTable(), []

    def put(self, now: float, *batch: Claim, hold: float = HOLD) -> list[ClaimResult]:
        self.entries.append(json.loads(json.dumps(claims_command(now, hold, list(batch)))))
        return self.table.apply(len(self.entries), self.entries[-1])[0]


class TableTest(unittest.TestCase):
    def test_the_first_claim_wins_and_its_holder_may_ask_again(self):
        log = Log()
        self.assertEqual(log.put(1.0, claim("k", ONE), claim("k", OTHER)), [GRANTED, HELD_BY_ONE])
        self.assertEqual(log.put(2.0, claim("k", ONE), claim("other", OTHER)), [GRANTED, GRANTED])
        again = replace(ONE, attempt="c")
        self.assertEqual(log.put(3.0, claim("k", again)), [HELD_BY_ONE])

    def test_if_a_holder_asks_through_another_core_that_core_keeps_its_answer(self):
        log = Log()
        log.put(1.0, claim("k", ONE))
        elsewhere = replace(ONE, core="10.0.0.9:7660")
        self.assertEqual(
            log.put(2.0, claim("k", elsewhere), claim("k", OTHER)), [GRANTED, ClaimResult(Outcome.HELD, elsewhere)]
        )
        log.put(3.0, claim("k", ONE, release=True))
        self.assertEqual(log.put(4.0, claim("k", elsewhere), claim("k", OTHER)), [UNAVAILABLE, GRANTED])

    def test_only_the_holder_can_release_a_claim(self):
        log = Log()
        log.put(1.0, claim("k", ONE))
        log.put(2.0, claim("k", OTHER, release=True))
        self.assertEqual(log.put(3.0, claim("k", replace(OTHER, attempt="c"))), [HELD_BY_ONE])
        log.put(4.0, claim("k", ONE, release=True))
        self.assertEqual(log.put(5.0, claim("k", replace(OTHER, attempt="c"))), [GRANTED])

    def test_a_holder_that_has_released_is_never_granted_again_in_any_order(self):
        log = Log()
        log.put(1.0, claim("k", ONE, release=True))  # arrived before the claim
        self.assertEqual(log.put(2.0, claim("k", ONE)), [UNAVAILABLE])
        self.assertEqual(log.put(3.0, claim("k", OTHER)), [GRANTED])
        log.put(4.0, claim("k", ONE, release=True))  # arrived twice
        self.assertEqual(log.put(5.0, claim("k", replace(ONE, attempt="c"))), [ClaimResult(Outcome.HELD, OTHER)])

    def test_a_claim_is_held_exactly_until_it_expires(self):
        log = Log()
        log.put(1.0, claim("k", ONE))
        self.assertEqual(log.put(1.0 + HOLD - 0.001, claim("k", OTHER)), [HELD_BY_ONE])
        self.assertEqual(log.put(1.0 + HOLD, claim("k", OTHER)), [GRANTED])

    def test_a_repeated_claim_is_held_from_its_repetition_on(self):
        log = Log()
        log.put(1.0, claim("k", ONE), claim("l", ONE))
        log.put(60.0, claim("k", ONE))
        self.assertEqual(log.put(1.0 + HOLD, claim("k", OTHER), claim("l", OTHER)), [HELD_BY_ONE, GRANTED])

    def test_a_shorter_hold_does_not_shorten_earlier_claims(self):
        log = Log()
        log.put(1.0, claim("k", ONE), hold=600.0)
        log.put(2.0, claim("l", ONE), hold=10.0)
        self.assertEqual(log.put(600.0, claim("k", OTHER), hold=10.0), [HELD_BY_ONE])
        self.assertEqual(log.put(601.0, claim("k", OTHER), claim("l", OTHER), hold=10.0), [GRANTED, GRANTED])

    def test_group_time_never_goes_back(self):
        log = Log()
        log.put(100.0, claim("k", ONE))
        log.put(50.0, claim("l", ONE))
        self.assertEqual(log.table.time, 100.0)
        self.assertEqual(log.put(100.0 + HOLD - 1, claim("l", OTHER)), [HELD_BY_ONE])

    def test_a_full_table_accepts_no_claim_until_one_expires(self):
        with mock.patch.object(claims, "MAX_CLAIMS", 3):
            log = Log()
            self.assertEqual(log.put(0.0, *(claim(k, ONE) for k in "abcd")), [GRANTED] * 3 + [UNAVAILABLE])
            self.assertEqual(log.put(1.0, claim("a", ONE), claim("a", OTHER)), [GRANTED, HELD_BY_ONE])
            self.assertEqual(log.put(HOLD, claim("d", OTHER)), [GRANTED])

    def test_entries_of_the_consensus_itself_change_nothing(self):
        table = ClaimTable()
        self.assertEqual(table.apply(1, {}), ([], None))
        self.assertEqual((table.applied, table.time, len(table.claims)), (1, 0.0, 0))

    def test_a_snapshot_of_a_later_format_is_refused(self):
        with self.assertRaises(ValueError):
            ClaimTable.from_dict({**ClaimTable().to_dict(), "format": claims.FORMAT + 1})

    def test_memory_and_snapshot_size_of_a_minute_at_300_claims_per_second(self):
        """The design note states these sizes of a claim in memory and in a snapshot."""
        count = 300 * int(HOLD)
        tracemalloc.start()
        try:
            table = ClaimTable()
            for n in range(count):
                holder = Holder("10.120.30.4:7660", "5f0c2a91b7d3e846", f"{n:016x}")
                entry = json.loads(json.dumps(claims_command(n / 300, HOLD, [claim(f"k-{n}", holder)])))
                table.apply(n + 1, entry)
                del entry
            used = tracemalloc.get_traced_memory()[0]
        finally:
            tracemalloc.stop()
        self.assertEqual(len(table.claims), count)
        self.assertLess(used / count, 500)
        self.assertLess(len(json.dumps(table.to_dict())) / count, 140)


class Model:
    """The same rules, over plain dicts that are searched in full each time."""

    def __init__(self) -> None:
        self.time, self.claims, self.released = 0.0, {}, {}

    def put(self, now: float, batch: list[Claim], hold: float) -> list[ClaimResult]:
        self.time = max(self.time, now)
        for records in (self.claims, self.released):
            for key in [key for key, value in records.items() if value[0] <= self.time - hold]:
                del records[key]
        return [self._decide(request) for request in batch]

    def _decide(self, request: Claim) -> ClaimResult:
        has = self.claims.get(request.operation, (0, None))[1]
        same = has is not None and (has.incarnation, has.attempt) == (
            request.holder.incarnation,
            request.holder.attempt,
        )
        key = request.operation, request.holder.incarnation, request.holder.attempt
        if request.release:
            if same:
                del self.claims[request.operation]
            self.released.setdefault(key, (self.time,))
            return GRANTED
        if has is not None and not same:
            return ClaimResult(Outcome.HELD, has)
        if key in self.released:
            return UNAVAILABLE
        self.claims[request.operation] = self.time, request.holder
        return GRANTED


def forget_releases(table: ClaimTable, operation: str, holder_key: str, until: float) -> None:
    """A mistake: releases the claim, but does not remember the release."""
    held = table.claims.get(operation)
    if held is not None and held.holder_key == holder_key:
        del table.claims[operation]


def accept_any_release(table: ClaimTable, operation: str, holder_key: str, until: float) -> None:
    """A mistake: accepts a release by any holder."""
    table.claims.pop(operation, None)


class RandomTest(unittest.TestCase):
    def test_seeded_mistakes_in_releases_are_found_by_the_model(self):
        for mistake in (forget_releases, accept_any_release):
            with mock.patch.object(ClaimTable, "_release", mistake), self.subTest(mistake.__name__):
                result = RandomTest("test_it_agrees_with_a_plain_model_and_after_snapshots_and_replays").run()
                self.assertTrue(result.failures)

    def test_it_agrees_with_a_plain_model_and_after_snapshots_and_replays(self):
        for seed in range(40):
            chance, log, model, now = random.Random(seed), Log(), Model(), 0.0
            snapshot, snapshot_index = ClaimTable().to_dict(), 0
            for _ in range(150):
                now += chance.choice((0.0, 0.01, 1.0, 30.0))
                batch = [
                    claim(
                        chance.choice("abcdef"),
                        Holder(chance.choice("xy"), 'a "life" \n of more', chance.choice("pq r")),
                        chance.random() < 0.2,
                    )
                    for _ in range(chance.randrange(4))
                ]
                with self.subTest(seed=seed):
                    results = log.put(now - chance.choice((0.0, 0.0, 5.0)), *batch)
                    self.assertEqual(results, model.put(log.entries[-1]["now"], batch, HOLD))
                if chance.random() < 0.05:
                    snapshot, snapshot_index = json.loads(json.dumps(log.table.to_dict())), len(log.entries)
            again = ClaimTable.from_dict(snapshot)
            for index, entry in enumerate(log.entries[snapshot_index:], snapshot_index + 1):
                again.apply(index, entry)
            self.assertEqual(again.to_dict(), log.table.to_dict())
            self.assertEqual(list(again.claims.items()), list(log.table.claims.items()))


class PackingTest(unittest.TestCase):
    def test_packed_messages_round_trip(self):
        head = {"from": "1.2.3.4:7#founder", "at": "1.2.3.4:7", "to": "1.2.3.5:7#0f", "term": 3, "group": 1}
        append = {"prev": 4, "prev_term": 2, "entries": [[5, 3, "noop", {}]], "commit": 4, "stamp": 1.5, "round": 0}
        appended = {"ok": True, "match": 4, "have": 5, "stamp": 1.5, "round": 0}
        refused = {"ok": False, "prev": 4, "conflict_term": None, "conflict": 2, "stamp": 1.5, "round": 0}
        for kind, rest in (
            ("append", append),
            ("appended", appended),
            ("appended", refused),
            ("appended", {"ok": False, "prev": -1}),
            ("vote", {"last": 1}),
        ):
            for sender in (head["from"], "another:7#1"):
                message = {"type": kind, **head, **rest, "from": sender}
                with self.subTest(message):
                    self.assertEqual(unpack(json.loads(json.dumps(pack(message)))), message)
        self.assertIsInstance(pack({"type": "append", **head, **append}), list)
        with self.assertRaises(ValueError):
            unpack([0, 1, "a", "#b", "c"])


class ShortClaimTest(unittest.TestCase):
    def test_packed_claims_round_trip(self):
        texts = ["", "a", "~", "=", "~AP8", "0123456789abcdef", "0123456789ABCDEF", "abc", "00" * 16, 'a "b" \n']
        for text in texts:
            for release in (False, True):
                one = Claim(text, Holder("10.0.0.1:7660", text, text), release)
                with self.subTest(one):
                    self.assertEqual(unpack_claim(json.loads(json.dumps(pack_claim(one)))), one)

    def test_a_usual_claim_takes_less_than_80_bytes(self):
        one = Claim(operation_id("t", "k"), Holder("10.0.0.1:7660", "5f0c2a91b7d3e846", "5f0c2a91b7d3e847"))
        self.assertLess(len(json.dumps(pack_claim(one), separators=(",", ":"))), 80)


class GroupClockTest(unittest.TestCase):
    def test_a_leader_counts_the_time_since_it_proposed_its_own_entry(self):
        table, group = ClaimTable(), GroupClock(1000.0)
        table.time = 7.0
        group.proposed(1000.0)
        group.applied(1000.008)
        self.assertAlmostEqual(group.time(table, 1002.0), 9.0, 2)

    def test_of_the_time_to_commit_an_entry_a_bounded_part_counts(self):
        table, group = ClaimTable(), GroupClock(0.0)
        group.proposed(10.0)
        group.applied(40.0)
        self.assertAlmostEqual(group.time(table, 41.0), 1.0 + MAX_COUNTED_COMMIT_S, 2)

    def test_a_new_leader_counts_from_its_election(self):
        table, group = ClaimTable(), GroupClock(0.0)
        group.applied(10.0)
        group.restart(25.0)
        self.assertAlmostEqual(group.time(table, 26.0), 1.0, 2)

    def test_group_time_never_outruns_true_time_over_changes_of_leaders(self):
        for seed in range(200):
            chance = random.Random(seed)
            true, table, granted = 0.0, ClaimTable(), None
            clocks = [GroupClock(100.0 * n) for n in range(3)]  # each machine's monotonic clock starts elsewhere
            leader = 0
            for index in range(1, 60):
                true += chance.choice((0.001, 0.5, 4.0))
                if chance.random() < 0.2:
                    leader = chance.randrange(3)
                    clocks[leader].restart(100.0 * leader + true)
                now = clocks[leader].time(table, 100.0 * leader + true)
                clocks[leader].proposed(100.0 * leader + true)
                true += chance.choice((0.005, 0.3))
                if granted is None:
                    granted = true, now
                self.assertLessEqual(now - granted[1], true - granted[0] + MAX_COUNTED_COMMIT_S + 1e-9)
                table.apply(index, claims_command(now, HOLD, []))
                for n, clock in enumerate(clocks):
                    clock.applied(100.0 * n + true + (0 if n == leader else chance.choice((0.01, 0.4))))


if __name__ == "__main__":
    unittest.main()
