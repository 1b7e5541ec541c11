"""Client-side server selection."""

from collections import Counter
from random import Random

from hypothesis import given, settings, strategies as st

from knotwalk.plugin.picks import EJECTION_S, MAX_CONSECUTIVE_FAILURES, Picker, WeightedServers


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.lists(st.floats(0.01, 50), min_size=1, max_size=30), st.integers(0, 99), st.sampled_from([1, 99]))
def test_draws_follow_the_weights_with_either_index(weights, seed, min_alias_lines):
    table = {f"s{k}": w for k, w in enumerate(weights)}
    lines, random, count = WeightedServers(table, {}, min_alias_lines), Random(seed), 4000
    drawn = Counter(lines.draw(random).id for _ in range(count))
    for name, w in table.items():
        share = w / sum(weights)
        assert abs(drawn[name] / count - share) < 6 * (share * (1 - share) / count) ** 0.5 + 0.002
    if lines.keep_probability:  # the alias table holds each weight exactly
        n, parts = len(weights), Counter()
        for k in range(n):
            parts[k] += lines.keep_probability[k] / n
            parts[lines.alias[k]] += (1 - lines.keep_probability[k]) / n
        assert all(abs(parts[k] - w / sum(weights)) < 1e-9 for k, w in enumerate(weights))


def picker(**lines):
    picks = Picker(Random(1))
    picks.set_table(0, lines)
    return picks


def test_the_server_with_fewer_rpcs_in_flight_wins_of_two_draws():
    picks = picker(a=1.0, b=1.0)
    picks.servers["a"].in_flight = 10**6
    assert Counter(picks.pick(0.0, 0).id for _ in range(400))["a"] in range(70, 130)  # only where both draws are a


def test_a_server_that_fails_in_a_row_is_ejected_for_a_while_and_picked_if_all_are():
    picks = picker(a=1.0, b=1.0)
    for _ in range(MAX_CONSECUTIVE_FAILURES):
        picks.servers["a"].in_flight += 1
        picks.finish(10.0, picks.servers["a"], False)
    assert {picks.pick(10.1, 0).id for _ in range(200)} == {"b"}
    assert {picks.pick(10.0 + EJECTION_S, 0).id for _ in range(200)} == {"a", "b"}
    picks.servers["b"].ejected_until = 99.0
    assert {picks.pick(10.1, 0).id for _ in range(20)} == {"a"}


def test_withdrawn_and_drained_servers_are_never_picked():
    picks = picker(a=1.0, b=1.0)
    picks.withdraw("a", True)
    assert {picks.pick(0.0, 0).id for _ in range(100)} == {"b"}
    picks.set_table(0, {"a": 1.0, "b": 0.0})
    assert picks.pick(0.0, 0) is None and picks.pick(0.0, 7) is None
    picks.withdraw("a", False)
    assert picks.pick(0.0, 0).id == "a"


def test_servers_of_no_table_are_forgotten_once_nothing_is_in_flight():
    picks = picker(a=1.0, b=1.0)
    held = picks.pick(0.0, 0)
    picks.set_table(0, {"c": 1.0})
    picks.remove_unused()
    assert set(picks.servers) == {held.id, "c"}
    picks.finish(0.0, held, True)
    picks.remove_unused()
    assert set(picks.servers) == {"c"}


def test_the_same_seed_table_and_outcomes_give_the_same_picks():
    def run():
        picks, out = picker(a=1.0, b=2.0, c=0.5), []
        for k in range(300):
            x = picks.pick(k * 0.01, 0)
            out.append(x.id)
            if k % 3:
                picks.finish(k * 0.01, x, k % 7 != 0)
        return out

    assert run() == run()
