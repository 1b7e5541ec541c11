"""Values that the socket wire (net/) and the simulator's wire (wirehost/) share: settings, server states, loads.

Owns their translation into the contract's terms (interface.py); it must never decide anything or change a number
beyond its unit.
"""

from collections.abc import Mapping
from typing import NamedTuple

from knotwalk.interface import Method, Settings
from knotwalk.rules import Limits

# By the wires' names: the contract's states of servers, and columns of what a server reports of its load.
SERVER_STATES = {
    "Running": "ready",
    "Stopping": "draining",
    "Deleted": "gone",
    "active": "ready",
    "leaving": "draining",
    "left": "gone",
}
LOAD_COLUMNS = {
    "busy": "utilization",
    "util": "utilization",
    "rif": "inflight",
    "q": "queue",
    "rate": "qps",
    "lat_ms": "latency_ms",
    "fail_rate": "eps",
}


class MalformedError(Exception):
    """A wire value or setting that cannot be read; its text says what is wrong."""


def error_text(fault: Exception) -> str:
    """What was wrong, for a log line.

    >>> error_text(KeyError("node"))
    "'node' is missing"
    """
    return f"'{fault.args[0]}' is missing" if isinstance(fault, KeyError) else str(fault)


def flatten_settings(value: object, path: str = "") -> dict[str, str]:
    """Nested settings as the pairs of path and text that the simulator's wire has.

    >>> flatten_settings({"a": {"b": True, "c": [1, 2.5]}, "d": [{"e": "x"}]})
    {'a.b': 'true', 'a.c': '1,2.5', 'd.count': '1', 'd.0.e': 'x'}
    """
    if isinstance(value, dict):
        parts = [(str(name), part) for name, part in value.items()]
    elif isinstance(value, list) and any(isinstance(x, (dict, list)) for x in value):
        parts = [("count", len(value)), *((str(k), part) for k, part in enumerate(value))]
    elif isinstance(value, list):
        return {path: ",".join(flatten_settings(x, "x")["x"] for x in value)}
    else:
        return {
            path: ("true" if value else "false") if isinstance(value, bool) else "" if value is None else str(value)
        }
    pairs: dict[str, str] = {}
    for name, part in parts:
        pairs.update(flatten_settings(part, f"{path}.{name}" if path else name))
    return pairs


MAX_AMOUNT = 1e300  # of any number on the wire, so that sums stay finite


def parse_amount(text: object, maximum: float = MAX_AMOUNT) -> float:
    """A finite number not below 0, as peers send it; raises ValueError for anything else or more than the maximum.

    >>> parse_amount("1.5")
    1.5
    """
    value = -1.0 if isinstance(text, bool) else float(text)  # type: ignore[arg-type]
    if not 0 <= value <= maximum:
        raise ValueError(f"'{text}' is not a number from 0 to {maximum:g}")
    return value


def parse_count(text: object, maximum: float = MAX_AMOUNT) -> int:
    """A whole number not below 0.

    >>> parse_count("12")
    12
    """
    value = parse_amount(text, maximum)
    if value != int(value):
        raise ValueError(f"'{text}' is not a whole number")
    return int(value)


def number_setting(pairs: Mapping[str, str], path: str, default: float = 0.0) -> float:
    try:
        return float(pairs.get(path) or default)
    except ValueError:
        raise MalformedError(f"setting {path}={pairs[path]} is not a number") from None


class ReportBounds(NamedTuple):
    """The highest values that a report may hold by protocol and settings; a report with more is corrupt."""

    zones: frozenset[str]  # empty: any
    slices: int
    rate: float  # tries a second
    latency: float  # seconds of a try
    span: float = 3600.0  # seconds that a report covers: an hour is longer than any outage
    utilization: float = 2.0  # measured with noise: a full server reports a little over 1


def read_bounds(pairs: Mapping[str, str]) -> ReportBounds:
    waits = [
        number_setting(pairs, f"classes.{k}.give_up_us") for k in range(int(number_setting(pairs, "classes.count")))
    ]
    return ReportBounds(
        zones=frozenset(x for x in pairs.get("zones", "").split(",") if x),
        slices=int(number_setting(pairs, "family_info.partitions_n")),
        # No proxy sends more than a try a millisecond, the resolution of the protocol's clock.
        rate=1000 * (number_setting(pairs, "family_info.data_plane_size") or 1000),
        # No try lasts longer than its client waits; twice that allows for the time that proxies queue it before.
        latency=2e-6 * max(waits, default=0) or 3600.0,
    )


def read_settings(pairs: Mapping[str, str]) -> Settings:
    """The contract's settings; what is absent counts as 0, false or the simple case."""

    def seconds(path: str) -> float:
        return number_setting(pairs, path) / 1e6

    def flag(path: str) -> bool:
        return pairs.get(path, "false") in ("true", "1")

    methods = []
    for k in range(int(number_setting(pairs, "classes.count"))):
        path = f"classes.{k}."
        methods.append(
            Method(soft_deadline=seconds(path + "slo_us"), criticality=number_setting(pairs, path + "worth"))
        )
    family, rule = "family_info.", "guarantees."
    return Settings(
        methods=tuple(methods),
        slices=int(number_setting(pairs, family + "partitions_n")),
        one_owner=flag(family + "one_owner"),
        asked_list=pairs.get("discovery") == "on_request",
        retry_default=int(number_setting(pairs, family + "retry_default")),
        admits=pairs.get(family + "admit") == "fraction",
        report_period=seconds(family + "period_us"),
        message_delay=seconds(family + "push_delay_us"),
        lines_waiting_most=number_setting(pairs, family + "most_waiting"),
        lines_per_message=number_setting(pairs, family + "fixed_cost"),
        lines_rate=number_setting(pairs, family + "lines_per_s"),
        messages_most=int(number_setting(pairs, family + "messages_most")),
        messages_span=seconds(family + "reload_span_us"),
        dropped_stay_open=flag(rule + "dropped_stay_open"),
        cold_share=number_setting(pairs, rule + "cold_from"),
        cold_time=seconds(rule + "cold_us"),
        controllers=max(1, int(number_setting(pairs, "balancers"))),
        place=int(number_setting(pairs, "me")),
    )


def read_limits(pairs: Mapping[str, str]) -> Limits:
    """The limits that a run is judged by (rules.py)."""
    methods = range(int(number_setting(pairs, "classes.count")))
    once = tuple(k for k in methods if pairs.get(f"classes.{k}.idempotency") == "once")
    return Limits(
        unserved_most=number_setting(pairs, "family_info.unserved_max_us") / 1e6,
        grace=number_setting(pairs, "guarantees.stop_sending_within_us") / 1e6,
        once=once,
        tip_multiple=number_setting(pairs, "guarantees.tip_multiple"),
        fall_time=number_setting(pairs, "guarantees.fall_us") / 1e6,
        give_up=tuple(number_setting(pairs, f"classes.{k}.give_up_us") / 1e6 for k in methods),
        late_share=tuple(number_setting(pairs, f"classes.{k}.late_share") for k in methods),
    )


def read_methods(pairs: Mapping[str, str]) -> dict[str, int]:
    """By name: the methods' indices in the settings."""
    count = int(number_setting(pairs, "classes.count"))
    return {pairs.get(f"classes.{k}.name", ""): k for k in range(count)}
