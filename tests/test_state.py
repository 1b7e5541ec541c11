"""Checkpoints of the decisions' state."""

import msgpack
import pytest
from hypothesis import given, settings, strategies as st
from standins.day import Day, Size, settings_of, storm

from knotwalk import state
from knotwalk.decide import Conductor, Server, Slice
from knotwalk.order_log import OrderLog

SMALL = Size(servers=5, proxies=4, slices=12, rate=40.0)


def test_every_attribute_of_the_module_is_state_or_follows_from_the_settings():
    """Guards against a new attribute of the decisions that no checkpoint stores."""
    module = Conductor(settings_of(SMALL), 1)
    assert set(vars(module)) | {"now"} == {*state.CONDUCTOR, *state.CONDUCTOR_APART, *state.DERIVED}
    assert set(vars(Server("a"))) == {*state.SERVER, *state.SERVER_ROWS, *state.SERVER_APART}
    assert set(vars(Slice(1, 0.0))) == {*state.SLICE, *state.SLICE_ROWS, *state.SLICE_APART}


def packed(module):
    return msgpack.packb(state.snapshot(module))


def rounds_of(seed, seconds=40.0, size=SMALL):
    rounds = []
    day = Day(
        seed,
        size,
        script=storm(seed, size, seconds, every=6),
        witness=lambda now, inbox, orders, _: rounds.append((now, inbox, orders)),
    )
    day.run(seconds)
    return rounds, day


def play(module, rounds):
    orders = []
    for now, inbox, _ in rounds:
        out = OrderLog()
        module.decide(now, inbox, out)
        orders.append(out.orders)
    return orders


@settings(max_examples=15, deadline=None, derandomize=True)
@given(st.integers(0, 10_000), st.floats(0, 1))
def test_a_module_restored_from_a_checkpoint_at_any_time_goes_on_the_same(seed, part):
    rounds, day = rounds_of(seed)
    cut = int(part * len(rounds))
    module = Conductor(day.settings, seed + 1)
    play(module, rounds[:cut])
    snapshot = msgpack.unpackb(packed(module))
    restored = state.restore(snapshot, day.settings)
    assert packed(restored) == packed(module)
    assert play(restored, rounds[cut:]) == [orders for _, _, orders in rounds[cut:]]
    assert packed(restored) == packed(day.module)


def test_a_snapshot_shares_nothing_with_the_module():
    rounds, day = rounds_of(3)
    before, snapshot = packed(day.module), state.snapshot(day.module)
    play(day.module, [(day.now + k, [("left", (0,)), ("joined", (0,))], ()) for k in range(20)])
    assert msgpack.packb(snapshot) == before != packed(day.module)


def test_a_snapshot_of_another_format_is_converted_or_refused_with_the_formats(monkeypatch):
    _, day = rounds_of(1)
    old = {**state.snapshot(day.module), "format": 0}
    with pytest.raises(state.SnapshotError, match="format 0; this version reads 2"):
        state.restore(old, day.settings)
    monkeypatch.setitem(state.CONVERTERS, 0, lambda snapshot: {**snapshot, "format": 2})
    assert packed(state.restore(old, day.settings)) == packed(day.module)


def test_in_a_snapshot_of_format_1_the_controller_owns_all_servers():
    _, day = rounds_of(1)
    snapshot = state.snapshot(day.module)
    columns = len(state.SERVER) - 3
    old = {**snapshot, "format": 1, "servers": [[plain[:columns], *rows[:3]] for plain, *rows in snapshot["servers"]]}
    restored = state.restore(old, day.settings)
    assert all(x.owned and not x.unmeasured for x in restored.servers.values())
    payload = state.settings_to_dict(day.settings)
    assert (
        state.settings_from_dict({k: v for k, v in payload.items() if k not in ("controllers", "place")})
        == day.settings
    )


@pytest.mark.parametrize(
    "corrupt",
    [
        lambda t: {},
        lambda t: None,
        lambda t: {**t, "servers": t["servers"][:1]},
        lambda t: {**t, "module": [1]},
        lambda t: {**t, "random": [3, [1], None]},
        lambda t: {k: v for k, v in t.items() if k != "sent"},
    ],
)
def test_a_corrupt_snapshot_is_refused_with_a_snapshot_error(corrupt):
    _, day = rounds_of(1)
    with pytest.raises(state.SnapshotError):
        state.restore(corrupt(state.snapshot(day.module)), day.settings)


def test_a_snapshot_with_other_methods_is_refused():
    _, day = rounds_of(1)
    with pytest.raises(state.SnapshotError, match="methods"):
        state.restore(state.snapshot(day.module), day.settings._replace(methods=day.settings.methods[:1]))


def test_settings_survive_as_plain_values():
    s = settings_of(SMALL)
    assert state.settings_from_dict(msgpack.unpackb(msgpack.packb(state.settings_to_dict(s)))) == s
    with pytest.raises(state.SnapshotError, match="with unknown colour"):
        state.settings_from_dict({**state.settings_to_dict(s), "colour": 1})
