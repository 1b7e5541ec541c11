"""The checker of the rules: each rule broken on purpose, and not by what only looks like it."""

from helpers import PLAIN
from hypothesis import given, settings, strategies as st
from standins.day import Day, Size, storm
from standins.tapes import LIMITS

from knotwalk.rules import RuleChecker

SETTINGS = PLAIN._replace(messages_most=3, messages_span=10.0, lines_waiting_most=100.0, lines_per_message=10.0)
LIST = ("listed", (True, False, [("a", "z", "ready", 1.0, 0.0), ("b", "z", "ready", 1.0, 0.0)]))
HELD = [LIST, ("joined", (1,)), ("given", (0,)), ("held", (0, "a", 1.0))]


def rules(**changes):
    r = RuleChecker(SETTINGS._replace(**changes), LIMITS)
    r.feed(100.0, HELD, [])
    return r


def line(server, weight, slice_id=0):
    return ("line", (slice_id, server, weight))


def found(r):
    return [(x.rule, x.whom, x.sure) for x in r.violations]


def test_rule_1_a_slice_without_a_line_past_the_limit_is_told_once():
    r = rules()
    r.feed(101.0, [], [line("a", 0.0)])
    r.feed(101.8, [], [])
    assert not r.violations
    for at in (101.9, 102.5):
        r.feed(at, [], [])
    assert found(r) == [(1, "slice 0", True)]


def test_rule_1_a_line_to_a_server_that_is_shut_out_is_none():
    r = rules()
    r.feed(101.0, [], [("withdraw", ("a", True))])
    r.feed(103.0, [], [])
    assert found(r) == [(1, "slice 0", True)]


def test_rule_1_nothing_is_owed_while_no_warm_server_is_listed():
    r = rules()
    r.feed(101.0, [("listed", (True, False, [("c", "z", "ready", 1.0, 100.5)]))], [line("a", 0.0)])
    r.feed(105.0, [], [])
    assert not [x for x in r.violations if x.rule == 1]


def test_rule_2_repeats_of_what_must_not_run_twice():
    r = rules()
    r.feed(101.0, [], [("admit", (None, 0, 1.0, 2)), ("admit", (None, 1, 1.0, 1))])
    assert not r.violations
    r.feed(102.0, [], [("admit", (None, 1, 1.0, 2))])
    assert found(r) == [(2, "method 1", True)]


def drained(r):
    r.feed(101.0, [("listed", (False, False, [("a", "z", "draining", 1.0, 0.0)]))], [])
    return r


def test_rule_3_a_drained_server_in_a_table_past_its_grace():
    r = drained(rules())
    r.feed(103.9, [], [])
    assert not r.violations
    r.feed(104.1, [], [])
    r.feed(104.5, [], [])
    assert found(r) == [(3, "server a", True)]


def test_rule_3_a_line_taken_in_or_a_server_shut_out_in_time_keeps_it():
    for order in ([line("b", 1.0), line("a", 0.0)], [("withdraw", ("a", True))]):
        r = drained(rules())
        r.feed(102.0, [], [*order, ("receipt", (7,))])
        r.feed(102.4, [("applied", (1, 7))], [])
        r.feed(105.0, [], [])
        assert not [x for x in r.violations if x.rule == 3]


def test_rule_3_a_proxy_that_has_not_answered_in_time_is_likely_a_break():
    r = drained(rules())
    r.feed(102.0, [("joined", (2,))], [line("b", 1.0), line("a", 0.0), ("receipt", (7,))])
    r.feed(102.4, [("applied", (2, 7))], [])
    r.feed(104.5, [], [])
    assert found(r) == [(3, "server a", False)] and "proxy 1" in r.violations[0].what


def test_rule_3_gone_alone_does_not_bind_where_the_settings_say_so():
    r = rules(dropped_stay_open=True)
    r.feed(101.0, [("listed", (False, False, [("a", "z", "gone", 1.0, 0.0)]))], [])
    r.feed(110.0, [], [])
    assert not r.violations


def test_rule_4_a_cold_server_filled():
    r = rules()
    at = 100.0
    for k in range(12):
        at += 1.0
        inbox = [("wanted", (0, 0, 1.0, 10)), ("heard", ("a", "z", 1.0, 10, 0, 0.1, {"utilization": 0.5}))]
        if k == 6:
            inbox.append(("listed", (False, False, [("b", "z", "ready", 1.0, at)])))
        r.feed(at, inbox, [line("b", 9.0)] if k == 7 else [])
    assert (4, "server b", False) in found(r) and all(x.at > 107 for x in r.violations)


def test_rule_5_messages_past_the_cap_are_told_with_proxy_and_count():
    r = rules()
    for k in range(4):
        r.feed(101.0 + k, [("applied", (1, k - 1))], [line("b", 1.0 + k), ("receipt", (k,))])
    assert found(r) == [(5, "proxy 1", True)] and r.violations[0].what == "4 messages within 10 s, 3 are allowed"
    r.feed(112.0, [], [line("b", 9.0)])
    assert len(r.violations) == 1 and r.max_messages_sent == 4


def test_rule_5_waiting_lines_count_until_a_receipt_and_by_the_rate_once_those_are_lost():
    r = rules(messages_most=0)
    r.feed(101.0, [], [line("b", k + 1.0) for k in range(60)] + [("receipt", (1,))])
    r.feed(102.0, [], [line("b", k + 1.0) for k in range(60)] + [("receipt", (2,))])
    assert found(r) == [(5, "the channel", True)] and r.max_waiting_lines == 140.0
    r.feed(102.5, [("applied", (1, 2))], [])
    assert r.waiting(102.5) == 0
    r.feed(103.0, [], [line("b", 1.0)] * 60 + [("receipt", (3,))])
    r.feed(104.0, [("receipts_lost", ())], [])
    assert r.waiting(104.1) < 70 and r.waiting(105.0) == 0


def test_a_module_made_anew_in_the_same_process_goes_on_with_the_messages_sent():
    r = rules()
    r.feed(101.0, [], [line("b", 1.0)])
    r.feed(102.0, HELD, [line("b", 2.0)])
    assert len(r.proxies[1].sent) == 2
    r.restart()
    r.feed(103.0, HELD, [line("b", 1.0)])
    assert len(r.proxies[1].sent) == 1


@settings(max_examples=12, deadline=None, derandomize=True)
@given(st.integers(0, 10_000))
def test_the_module_keeps_the_rules_on_drawn_days_by_an_account_of_its_own(seed):
    size = Size(servers=6, proxies=5, slices=16, rate=40.0)
    day_rules = []

    def witness(now, inbox, orders, module):
        if not day_rules:
            day_rules.append(RuleChecker(settings, LIMITS))
        day_rules[0].feed(now, inbox, orders)

    from standins.day import settings_of

    settings = settings_of(size)
    Day(seed, size, script=storm(seed, size, 60.0, every=6), witness=witness).run(60.0)
    r = day_rules[0]
    assert not [x for x in r.violations if x.sure]
    assert len(r.in_flight) < 50 and len(r.marks) <= 4096 and len(r.servers) <= 6
