"""Outcomes of tries, the retry budget, whether to offer a request to a node, and the choice of a node."""

import random
import unittest

from hypothesis import given, settings, strategies as some

from knotwalk.admission.admission import (
    LOAD_DECAY_S,
    MAX_AVOID_S,
    USUAL_LOAD_DECAY_S,
    NodeStats,
    jittered_retry_after,
    worth_offering,
)
from knotwalk.admission.budget import Budget, WindowCounter
from knotwalk.admission.outcome import (
    NEVER_RUN_STATUSES,
    PROOFS,
    NextStep,
    Proof,
    TryOutcome,
    classify_answer,
    next_step,
)
from knotwalk.configuration.objects import Route
from knotwalk.discovery.view_types import Node
from knotwalk.edge.choose import pick_node, service_of, stats_of


class OutcomeCase(unittest.TestCase):
    def test_what_an_answer_proves(self):
        table = {
            (200, False, True): TryOutcome.ANSWERED,
            (200, False, False): TryOutcome.LOST,
            (204, False, True): TryOutcome.ANSWERED,
            (200, True, True): TryOutcome.LOST,  # contradictory: a success that claims not to have run
            (503, True, False): TryOutcome.TURNED_AWAY,
            (429, True, False): TryOutcome.TURNED_AWAY,
            (400, True, False): TryOutcome.TURNED_AWAY,
            (421, False, False): TryOutcome.TURNED_AWAY,
            (421, True, False): TryOutcome.TURNED_AWAY,
            (503, False, False): TryOutcome.FAILED,
            (429, False, False): TryOutcome.FAILED,
            (408, False, False): TryOutcome.FAILED,
            (500, False, False): TryOutcome.FAILED,
            (500, False, True): TryOutcome.FAILED,
            (502, False, False): TryOutcome.FAILED,
            (504, False, False): TryOutcome.FAILED,
            (404, False, False): TryOutcome.ANSWERED,
            (302, False, False): TryOutcome.ANSWERED,
            (501, False, False): TryOutcome.ANSWERED,
        }
        for (status, not_executed, sealed), end in table.items():
            with self.subTest(status=status, not_executed=not_executed, sealed=sealed):
                self.assertIs(classify_answer(status, not_executed, sealed), end)

    def test_what_follows(self):
        """All cases: a non-idempotent request never runs twice, and a request that may have run gets no promise."""
        for end in TryOutcome:
            for idempotent in (False, True):
                for before in (False, True):
                    for again in (False, True):
                        for status in (0, 200, 500, 503, 408):
                            found = next_step(end, idempotent, before, again, status)
                            may_have_run = before or PROOFS[end] is not Proof.NEVER_RAN
                            with self.subTest(end=end, idempotent=idempotent, before=before, again=again):
                                if found is NextStep.RETRY:
                                    self.assertTrue(again)
                                    self.assertTrue(idempotent or not may_have_run)
                                if found is NextStep.REFUSE:
                                    self.assertFalse(may_have_run)
                                if found is NextStep.PASS_ON:
                                    self.assertIn(end, (TryOutcome.ANSWERED, TryOutcome.FAILED))
                                    self.assertFalse(end is TryOutcome.FAILED and status in NEVER_RUN_STATUSES)
                                if end is TryOutcome.ANSWERED:
                                    self.assertIs(found, NextStep.PASS_ON)
                                if end is TryOutcome.SILENT:
                                    self.assertIs(found, NextStep.TIMED_OUT)
                                if end is TryOutcome.LOST and not (idempotent and again):
                                    self.assertIs(found, NextStep.UNKNOWN)


class BudgetCase(unittest.TestCase):
    def test_a_restarted_edge_has_no_slack(self):
        budget = Budget(0.2, 10.0, 64, started_at=100.0)
        self.assertFalse(budget.take(109.0, 1))
        self.assertTrue(budget.take(111.0, 1))

    def test_a_retry_that_reached_no_node_is_returned(self):
        budget = Budget(0.0, 10.0, 10, started_at=-100.0)
        for _ in range(50):
            self.assertTrue(budget.take(5.0, 1))
            budget.give_back(5.0)
        self.assertEqual(sum(budget.take(5.0, 1) for _ in range(50)), 7)

    @settings(max_examples=60, deadline=None)
    @given(some.lists(some.tuples(some.floats(0, 40), some.integers(1, 20)), max_size=60), some.floats(0, 40))
    def test_counts_are_bounded_from_both_sides(self, events, at):
        counter = WindowCounter(10.0)
        events = sorted(event for event in events if event[0] <= at)
        for now, count in events:
            counter.add(now, count)
        true = sum(count for now, count in events if at - 10.0 < now <= at)
        self.assertLessEqual(counter.lower_bound(at), true)
        self.assertGreaterEqual(counter.upper_bound(at), true)

    @settings(max_examples=25, deadline=None)
    @given(
        some.integers(0, 2**32),
        some.integers(1, 14),
        some.floats(2, 60),
        some.floats(0, 1),
        some.sampled_from([0.1, 0.2]),
        some.sampled_from([20, 62]),
        some.floats(0.3, 3.0),
        some.floats(0, 0.6),
    )
    def test_all_edges_together_stay_within_the_rule(
        self, seed, edges, rate, retry_chance, ratio, slack, surge, restart_rate
    ):
        """Requests at unevenly loaded edges, each with up to three retries; some restart and lose counts."""
        rng = random.Random(seed)
        window, length = 10.0, 45.0
        budgets = [Budget(ratio, window, slack, -100.0) for _ in range(edges)]
        arrivals, now = [], 0.0
        requests = []
        while now < length:
            now += rng.expovariate(rate * (surge if 15 < now < 30 else 1.0))
            if rng.random() < restart_rate / rate:
                budgets[rng.randrange(edges)] = Budget(ratio, window, slack, now)
            budget = budgets[min(rng.randrange(edges), rng.randrange(edges))]
            budget.request(now)
            requests.append(now)
            for _ in range(3):
                if rng.random() < retry_chance and budget.take(now, edges):
                    arrivals.append(now)

        def within(times, first, last):
            return sum(first < at <= last for at in times)

        for last in {*arrivals, *(at + window for at in arrivals)}:
            first = last - window
            count = within(arrivals, first, last)
            most = max(
                within(requests, first, last),
                within(requests, first - window, first),
                within(requests, first - window / 2, last - window / 2),
            )
            self.assertLessEqual(count, ratio * most + slack)


class AdmissionCase(unittest.TestCase):
    def test_reported_load_is_that_of_other_edges_and_decays(self):
        stats = NodeStats()
        stats.in_flight = 2
        stats.record_load(10.0, running=2, waiting=3, slots=2)
        self.assertEqual(stats.outstanding(10.0), 4)  # the report includes the answered request
        self.assertEqual(stats.outstanding(10.1 + LOAD_DECAY_S), 2)

    def test_a_node_that_is_always_full_is_not_taken_for_an_idle_one(self):
        """With many edges each gets a report about once a second: the last one has decayed by then, the usual load has
        not."""
        stats = NodeStats()
        for second in range(6):
            stats.record_load(float(second), running=2, waiting=5, slots=2)
        self.assertAlmostEqual(stats.outstanding(5.0 + LOAD_DECAY_S), 0)
        self.assertGreater(stats.usual_outstanding(5.0 + LOAD_DECAY_S), 2)
        self.assertAlmostEqual(stats.usual_outstanding(5.0 + USUAL_LOAD_DECAY_S), 0)
        stats.record_load(6.0, running=1, waiting=0, slots=2)
        self.assertEqual(stats.usual_outstanding(6.0), 0)  # the last report counts alone while it is new

    def test_the_lowest_priority_yields_where_it_would_be_late(self):
        """Four outstanding at two slots: 0.3 s to an answer. The target latency limits the lowest priorities."""
        offered = [worth_offering(4, 2, False, 0.12, 1.0, priority, target_latency=0.15) for priority in range(4)]
        self.assertEqual(offered, [True, True, False, False])
        self.assertTrue(worth_offering(4, 2, False, 0.12, 1.0, 2, target_latency=0.3))
        self.assertTrue(worth_offering(1, 2, False, 0.5, 1.0, 2, target_latency=0.15))  # a free slot is always worth it

    def test_a_wrong_mean_is_corrected(self):
        """A free slot is offered a request whatever the mean work time, so that the mean can be corrected."""
        self.assertTrue(worth_offering(0, 2, False, work=60.0, time_left=0.5, priority=3))
        self.assertFalse(worth_offering(2, 2, False, work=60.0, time_left=0.5, priority=0))

    def test_lower_priorities_give_up_earlier(self):
        admitted = [worth_offering(9, 2, False, 0.1, 0.6, priority) for priority in range(4)]
        self.assertEqual(admitted, [True, True, False, False])

    def test_a_full_node_gets_no_request(self):
        self.assertFalse(worth_offering(10, 2, False, 0.001, 10.0, 0))

    def test_a_failing_node_is_avoided_longer_each_time_until_it_answers(self):
        stats = NodeStats()
        stats.record_failure(0.0, reached=True)
        self.assertEqual(stats.avoided_until, 0.0)  # one lost answer is not enough evidence
        now = spans = 0
        for _ in range(8):
            stats.record_failure(now, reached=False)
            spans = stats.avoided_until - now
            now = stats.avoided_until
        self.assertEqual(spans, MAX_AVOID_S)
        stats.record_success()
        self.assertEqual(stats.avoided_until, 0.0)

    @given(some.floats(0, 100), some.floats(0, 1))
    def test_retry_after_is_short(self, wait, jitter):
        self.assertTrue(0.03 <= jittered_retry_after(wait, jitter) <= 0.4)


def nodes(*zones, capacity=2):
    return [Node(f"i-{at}", "s", ("127.0.0.1", 1), zone, capacity) for at, zone in enumerate(zones)]


class ChooseCase(unittest.TestCase):
    rng = random.Random(7)

    def picks(self, found, skip=(), now=10.0, size=0):
        return {
            node.id if node else None for node in (pick_node(found, now, "a", self.rng, skip, size) for _ in range(60))
        }

    def test_same_zone_unless_clearly_worse(self):
        found = nodes("a", "a", "b")
        self.assertEqual(self.picks(found), {"i-0", "i-1"})
        for node in found[:2]:
            stats_of(node).in_flight, stats_of(node).silent_since = 3, 10.0
        self.assertEqual(self.picks(found), {"i-2"})
        self.assertEqual(self.picks(found, size=4096), {"i-0", "i-1"})  # traffic between zones costs money
        for node in found[:2]:
            stats_of(node).in_flight = 5
        self.assertEqual(self.picks(found, size=10**6), {"i-2"})

    def test_draining_never_avoided_last(self):
        found = nodes("a", "a", "a")
        found[0].draining = True
        stats_of(found[1]).record_failure(10.0, reached=False)
        self.assertEqual(self.picks(found), {"i-2"})
        self.assertEqual(self.picks(found, skip={"i-2"}), {"i-1"})
        self.assertEqual(self.picks(found, skip={"i-1", "i-2"}), {None})

    def test_less_loaded_and_warm(self):
        found = nodes("a", "a")
        found[0].cold_until = 20.0
        self.assertEqual(self.picks(found), {"i-1"})
        self.assertEqual(self.picks(found, now=21.0), {"i-0", "i-1"})

    def test_split_by_weight(self):
        route = Route("r", "h", "/", True, 1.0, 0.4, 0, (("x", 90.0), ("y", 10.0), ("z", 0.0)), 2)
        drawn = [service_of(route, self.rng) for _ in range(4000)]
        self.assertAlmostEqual(drawn.count("x") / 4000, 0.9, delta=0.03)
        self.assertNotIn("z", drawn)


if __name__ == "__main__":
    unittest.main()
