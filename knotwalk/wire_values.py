"""What both wires tell in the same words or nearly so: settings, list states, load columns.

Owns the translation of those words into the module's; it must never decide anything or change a figure beyond
its unit.
"""

from collections.abc import Mapping
from typing import NamedTuple

from knotwalk.interface import Method, Settings
from knotwalk.rules import Limits

STATES = {
    "Running": "ready",
    "Stopping": "draining",
    "Deleted": "gone",
    "active": "ready",
    "leaving": "draining",
    "left": "gone",
}
LOADS = {
    "busy": "utilization",
    "util": "utilization",
    "rif": "inflight",
    "q": "queue",
    "rate": "qps",
    "lat_ms": "latency_ms",
    "fail_rate": "eps",
}


class Malformed(Exception):
    """Something told that cannot be read; its text says what is wrong."""


def plain(fault: Exception) -> str:
    """What was wrong, in words.

    >>> plain(KeyError("node"))
    "'node' is missing"
    """
    return f"'{fault.args[0]}' is missing" if isinstance(fault, KeyError) else str(fault)


def flattened(told: object, at: str = "") -> dict[str, str]:
    """Nested settings as the pairs that the simulator's wire has.

    >>> flattened({"a": {"b": True, "c": [1, 2.5]}, "d": [{"e": "x"}]})
    {'a.b': 'true', 'a.c': '1,2.5', 'd.count': '1', 'd.0.e': 'x'}
    """
    if isinstance(told, dict):
        parts = [(str(name), value) for name, value in told.items()]
    elif isinstance(told, list) and any(isinstance(x, (dict, list)) for x in told):
        parts = [("count", len(told)), *((str(k), value) for k, value in enumerate(told))]
    elif isinstance(told, list):
        return {at: ",".join(flattened(x, "x")["x"] for x in told)}
    else:
        return {at: ("true" if told else "false") if isinstance(told, bool) else "" if told is None else str(told)}
    pairs: dict[str, str] = {}
    for name, value in parts:
        pairs.update(flattened(value, f"{at}.{name}" if at else name))
    return pairs


MOST = 1e300  # of any figure: sums of them stay finite


def figure(text: object, most: float = MOST) -> float:
    """A figure as a peer tells it: finite, and never below 0.

    >>> figure("1.5")
    1.5
    """
    value = -1.0 if isinstance(text, bool) else float(text)  # type: ignore[arg-type]
    if not 0 <= value <= most:
        raise ValueError(f"'{text}' is no figure")
    return value


def count(text: object, most: float = MOST) -> int:
    """A figure that counts things.

    >>> count("12")
    12
    """
    value = figure(text, most)
    if value != int(value):
        raise ValueError(f"'{text}' is no whole number")
    return int(value)


def number(pairs: Mapping[str, str], path: str, default: float = 0.0) -> float:
    try:
        return float(pairs.get(path) or default)
    except ValueError:
        raise Malformed(f"setting {path}={pairs[path]} is not a number") from None


class Bounds(NamedTuple):
    """What a report may say at most, as protocol and settings have it: more is no figure but a spoilt one."""

    zones: frozenset[str]  # empty: not told
    slices: int
    rate: float  # tries a second
    latency: float  # seconds that a try can have taken
    span: float = 3600.0  # seconds that a report may be about: an hour, past any outage's end
    # Of a server's capacity: its report is a noisy one, and one that is full says a little over 1.
    utilization: float = 2.0


def read_bounds(pairs: Mapping[str, str]) -> Bounds:
    waits = [number(pairs, f"classes.{k}.give_up_us") for k in range(int(number(pairs, "classes.count")))]
    return Bounds(
        zones=frozenset(x for x in pairs.get("zones", "").split(",") if x),
        slices=int(number(pairs, "family_info.partitions_n")),
        # No proxy sends more than a try a millisecond: the clock of the protocol shows no less.
        rate=1000 * (number(pairs, "family_info.data_plane_size") or 1000),
        # None is waited for longer than its client waits; twice that, for what proxies hold back before.
        latency=2e-6 * max(waits, default=0) or 3600.0,
    )


def read_settings(pairs: Mapping[str, str]) -> Settings:
    """Put the settings into our words; what is absent counts as 0, no or the plain case."""

    def seconds(path: str) -> float:
        return number(pairs, path) / 1e6

    def flag(path: str) -> bool:
        return pairs.get(path, "false") in ("true", "1")

    methods = []
    for k in range(int(number(pairs, "classes.count"))):
        at = f"classes.{k}."
        methods.append(Method(soft_deadline=seconds(at + "slo_us"), criticality=number(pairs, at + "worth")))
    family, rule = "family_info.", "guarantees."
    return Settings(
        methods=tuple(methods),
        slices=int(number(pairs, family + "partitions_n")),
        one_owner=flag(family + "one_owner"),
        asked_list=pairs.get("discovery") == "on_request",
        retry_default=int(number(pairs, family + "retry_default")),
        admits=pairs.get(family + "admit") == "fraction",
        report_period=seconds(family + "period_us"),
        message_delay=seconds(family + "push_delay_us"),
        lines_waiting_most=number(pairs, family + "most_waiting"),
        lines_per_message=number(pairs, family + "fixed_cost"),
        lines_rate=number(pairs, family + "lines_per_s"),
        messages_most=int(number(pairs, family + "messages_most")),
        messages_span=seconds(family + "reload_span_us"),
        dropped_stay_open=flag(rule + "dropped_stay_open"),
        cold_share=number(pairs, rule + "cold_from"),
        cold_time=seconds(rule + "cold_us"),
        controllers=max(1, int(number(pairs, "balancers"))),
        place=int(number(pairs, "me")),
    )


def read_limits(pairs: Mapping[str, str]) -> Limits:
    """What a day is judged by."""
    methods = range(int(number(pairs, "classes.count")))
    once = tuple(k for k in methods if pairs.get(f"classes.{k}.idempotency") == "once")
    return Limits(
        unserved_most=number(pairs, "family_info.unserved_max_us") / 1e6,
        grace=number(pairs, "guarantees.stop_sending_within_us") / 1e6,
        once=once,
        tip_multiple=number(pairs, "guarantees.tip_multiple"),
        fall_time=number(pairs, "guarantees.fall_us") / 1e6,
        give_up=tuple(number(pairs, f"classes.{k}.give_up_us") / 1e6 for k in methods),
        late_share=tuple(number(pairs, f"classes.{k}.late_share") for k in methods),
    )


def read_methods(pairs: Mapping[str, str]) -> dict[str, int]:
    """The methods' places by name."""
    count = int(number(pairs, "classes.count"))
    return {pairs.get(f"classes.{k}.name", ""): k for k in range(count)}
