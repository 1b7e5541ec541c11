"""Picks inside a client's process."""

from collections import Counter
from random import Random

from hypothesis import given, settings, strategies as st

from knotwalk.plugin.picks import SHUN, STRIKES, Lines, Picker


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.lists(st.floats(0.01, 50), min_size=1, max_size=30), st.integers(0, 99), st.sampled_from([1, 99]))
def test_draws_follow_the_weights_by_either_index(weights, seed, least):
    told = {f"s{k}": w for k, w in enumerate(weights)}
    lines, random, count = Lines(told, {}, least), Random(seed), 4000
    drawn = Counter(lines.draw(random).id for _ in range(count))
    for name, w in told.items():
        share = w / sum(weights)
        assert abs(drawn[name] / count - share) < 6 * (share * (1 - share) / count) ** 0.5 + 0.002
    if lines.keep:  # the alias table holds each weight exactly
        n, parts = len(weights), Counter()
        for k in range(n):
            parts[k] += lines.keep[k] / n
            parts[lines.other[k]] += (1 - lines.keep[k]) / n
        assert all(abs(parts[k] - w / sum(weights)) < 1e-9 for k, w in enumerate(weights))


def picker(**lines):
    p = Picker(Random(1))
    p.table(0, lines)
    return p


def test_of_two_draws_the_one_with_less_under_way():
    p = picker(a=1.0, b=1.0)
    p.servers["a"].under_way = 10**6
    assert Counter(p.pick(0.0, 0).id for _ in range(400))["a"] in range(70, 130)  # only where both draws are a


def test_a_server_that_fails_in_a_row_is_shunned_for_a_while_and_taken_if_all_are():
    p = picker(a=1.0, b=1.0)
    for _ in range(STRIKES):
        p.servers["a"].under_way += 1
        p.done(10.0, p.servers["a"], False)
    assert {p.pick(10.1, 0).id for _ in range(200)} == {"b"}
    assert {p.pick(10.0 + SHUN, 0).id for _ in range(200)} == {"a", "b"}
    p.servers["b"].shunned_until = 99.0
    assert {p.pick(10.1, 0).id for _ in range(20)} == {"a"}


def test_withdrawn_and_drained_servers_are_never_picked():
    p = picker(a=1.0, b=1.0)
    p.withdraw("a", True)
    assert {p.pick(0.0, 0).id for _ in range(100)} == {"b"}
    p.table(0, {"a": 1.0, "b": 0.0})
    assert p.pick(0.0, 0) is None and p.pick(0.0, 7) is None
    p.withdraw("a", False)
    assert p.pick(0.0, 0).id == "a"


def test_servers_of_no_table_are_freed_once_nothing_is_under_way():
    p = picker(a=1.0, b=1.0)
    held = p.pick(0.0, 0)
    p.table(0, {"c": 1.0})
    p.free()
    assert set(p.servers) == {held.id, "c"}
    p.done(0.0, held, True)
    p.free()
    assert set(p.servers) == {"c"}


def test_the_same_seed_table_and_outcomes_give_the_same_picks():
    def run():
        p, out = picker(a=1.0, b=2.0, c=0.5), []
        for k in range(300):
            x = p.pick(k * 0.01, 0)
            out.append(x.id)
            if k % 3:
                p.done(k * 0.01, x, k % 7 != 0)
        return out

    assert run() == run()
