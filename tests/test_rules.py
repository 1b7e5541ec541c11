"""The checker of the rules: each rule is violated on purpose, and by cases that only look like it."""

from helpers import PLAIN
from hypothesis import given, settings, strategies as st
from standins.day import Day, Size, storm
from standins.recordings import LIMITS

from knotwalk.rules import RuleChecker

SETTINGS = PLAIN._replace(messages_most=3, messages_span=10.0, lines_waiting_most=100.0, lines_per_message=10.0)
LIST = ("listed", (True, False, [("a", "z", "ready", 1.0, 0.0), ("b", "z", "ready", 1.0, 0.0)]))
HELD = [LIST, ("joined", (1,)), ("given", (0,)), ("held", (0, "a", 1.0))]


def make_checker(**changes):
    checker = RuleChecker(SETTINGS._replace(**changes), LIMITS)
    checker.feed(100.0, HELD, [])
    return checker


def line(server, weight, slice_id=0):
    return ("line", (slice_id, server, weight))


def violations(checker):
    return [(x.rule, x.whom, x.sure) for x in checker.violations]


def test_rule_1_a_slice_without_a_line_past_the_limit_is_reported_once():
    checker = make_checker()
    checker.feed(101.0, [], [line("a", 0.0)])
    checker.feed(101.8, [], [])
    assert not checker.violations
    for at in (101.9, 102.5):
        checker.feed(at, [], [])
    assert violations(checker) == [(1, "slice 0", True)]


def test_rule_1_a_line_to_a_withdrawn_server_does_not_count():
    checker = make_checker()
    checker.feed(101.0, [], [("withdraw", ("a", True))])
    checker.feed(103.0, [], [])
    assert violations(checker) == [(1, "slice 0", True)]


def test_rule_1_does_not_hold_while_no_warm_server_is_listed():
    checker = make_checker()
    checker.feed(101.0, [("listed", (True, False, [("c", "z", "ready", 1.0, 100.5)]))], [line("a", 0.0)])
    checker.feed(105.0, [], [])
    assert not [x for x in checker.violations if x.rule == 1]


def test_rule_2_retries_of_a_method_that_must_not_run_twice():
    checker = make_checker()
    checker.feed(101.0, [], [("admit", (None, 0, 1.0, 2)), ("admit", (None, 1, 1.0, 1))])
    assert not checker.violations
    checker.feed(102.0, [], [("admit", (None, 1, 1.0, 2))])
    assert violations(checker) == [(2, "method 1", True)]


def with_drain(checker):
    checker.feed(101.0, [("listed", (False, False, [("a", "z", "draining", 1.0, 0.0)]))], [])
    return checker


def test_rule_3_a_draining_server_in_a_table_past_its_grace():
    checker = with_drain(make_checker())
    checker.feed(103.9, [], [])
    assert not checker.violations
    checker.feed(104.1, [], [])
    checker.feed(104.5, [], [])
    assert violations(checker) == [(3, "server a", True)]


def test_rule_3_is_kept_by_a_line_applied_or_a_server_withdrawn_in_time():
    for order in ([line("b", 1.0), line("a", 0.0)], [("withdraw", ("a", True))]):
        checker = with_drain(make_checker())
        checker.feed(102.0, [], [*order, ("receipt", (7,))])
        checker.feed(102.4, [("applied", (1, 7))], [])
        checker.feed(105.0, [], [])
        assert not [x for x in checker.violations if x.rule == 3]


def test_rule_3_a_proxy_that_has_not_acknowledged_in_time_is_a_likely_violation():
    checker = with_drain(make_checker())
    checker.feed(102.0, [("joined", (2,))], [line("b", 1.0), line("a", 0.0), ("receipt", (7,))])
    checker.feed(102.4, [("applied", (2, 7))], [])
    checker.feed(104.5, [], [])
    assert violations(checker) == [(3, "server a", False)] and "proxy 1" in checker.violations[0].what


def test_rule_3_does_not_hold_for_gone_servers_where_the_settings_say_so():
    checker = make_checker(dropped_stay_open=True)
    checker.feed(101.0, [("listed", (False, False, [("a", "z", "gone", 1.0, 0.0)]))], [])
    checker.feed(110.0, [], [])
    assert not checker.violations


def test_rule_4_an_overloaded_cold_server():
    checker = make_checker()
    at = 100.0
    for k in range(12):
        at += 1.0
        inbox = [("wanted", (0, 0, 1.0, 10)), ("heard", ("a", "z", 1.0, 10, 0, 0.1, {"utilization": 0.5}))]
        if k == 6:
            inbox.append(("listed", (False, False, [("b", "z", "ready", 1.0, at)])))
        checker.feed(at, inbox, [line("b", 9.0)] if k == 7 else [])
    assert (4, "server b", False) in violations(checker) and all(x.at > 107 for x in checker.violations)


def test_rule_5_messages_past_the_cap_are_reported_with_proxy_and_count():
    checker = make_checker()
    for k in range(4):
        checker.feed(101.0 + k, [("applied", (1, k - 1))], [line("b", 1.0 + k), ("receipt", (k,))])
    assert (
        violations(checker) == [(5, "proxy 1", True)]
        and checker.violations[0].what == "4 messages within 10 s, 3 are allowed"
    )
    checker.feed(112.0, [], [line("b", 9.0)])
    assert len(checker.violations) == 1 and checker.max_messages_sent == 4


def test_rule_5_lines_wait_until_a_receipt_or_leave_at_the_usual_rate_once_receipts_are_lost():
    checker = make_checker(messages_most=0)
    checker.feed(101.0, [], [line("b", k + 1.0) for k in range(60)] + [("receipt", (1,))])
    checker.feed(102.0, [], [line("b", k + 1.0) for k in range(60)] + [("receipt", (2,))])
    assert violations(checker) == [(5, "the channel", True)] and checker.max_waiting_lines == 140.0
    checker.feed(102.5, [("applied", (1, 2))], [])
    assert checker.waiting(102.5) == 0
    checker.feed(103.0, [], [line("b", 1.0)] * 60 + [("receipt", (3,))])
    checker.feed(104.0, [("receipts_lost", ())], [])
    assert checker.waiting(104.1) < 70 and checker.waiting(105.0) == 0


def test_messages_sent_count_on_for_a_new_module_in_the_same_process():
    checker = make_checker()
    checker.feed(101.0, [], [line("b", 1.0)])
    checker.feed(102.0, HELD, [line("b", 2.0)])
    assert len(checker.proxies[1].sent) == 2
    checker.restart()
    checker.feed(103.0, HELD, [line("b", 1.0)])
    assert len(checker.proxies[1].sent) == 1


@settings(max_examples=12, deadline=None, derandomize=True)
@given(st.integers(0, 10_000))
def test_the_module_keeps_the_rules_on_random_days(seed):
    size = Size(servers=6, proxies=5, slices=16, rate=40.0)
    checkers = []

    def witness(now, inbox, orders, module):
        if not checkers:
            checkers.append(RuleChecker(settings, LIMITS))
        checkers[0].feed(now, inbox, orders)

    from standins.day import settings_of

    settings = settings_of(size)
    Day(seed, size, script=storm(seed, size, 60.0, every=6), witness=witness).run(60.0)
    checker = checkers[0]
    assert not [x for x in checker.violations if x.sure]
    assert len(checker.in_flight) < 50 and len(checker.marks) <= 4096 and len(checker.servers) <= 6
