"""Data structures of a recorded day: lives, reports, values that change in steps, and the history of a server.

The inference itself is in `inference`; this module reads no frames.
"""

from bisect import bisect_right
from math import exp
from typing import Any, NamedTuple

from knotwalk.interface import Settings
from knotwalk.rules import Limits

MIN_REPORT_DELAY_S = 0.2  # of the fastest reports: the collector's batching and the network
WORK_GAMMA_SHAPE = 3  # shape of the gamma distribution assumed for RPC work: between constant and exponential


class Life(NamedTuple):
    """The creation of a Conductor object, with its settings; it lives until the next one."""

    at: float
    why: str
    seed: int
    settings: Settings
    limits: Limits


class ServerStats(NamedTuple):
    """What one report says about one server, over all zones."""

    tries: int
    answered: int
    latency_sum_s: float  # of the answered tries
    utilization: float | None
    qps: float | None  # RPCs per second from all callers, as the server reports
    zones: dict[str, tuple[int, int]]  # by the proxies' zone: (tries, answered tries)


class Report:
    """The sums that proxies reported for one period."""

    __slots__ = ("at", "span", "since", "until", "wanted", "server_stats", "expected_tries")

    def __init__(self, at: float, span: float):
        self.at, self.span = at, span
        # The period's start and end, refined by InferredDay.align_reports.
        self.since, self.until = at - MIN_REPORT_DELAY_S - span, at - MIN_REPORT_DELAY_S
        self.wanted: dict[tuple[int, int], int] = {}
        self.server_stats: dict[str, ServerStats] = {}
        self.expected_tries: dict[str, list[float]] = {}  # by server: tries by method that the tables imply


class StepSeries:
    """A value that changes in steps over time."""

    __slots__ = ("times", "values")

    def __init__(self) -> None:
        self.times: list[float] = []
        self.values: list[Any] = []

    def put(self, at: float, value: Any) -> None:
        """Set the value from a time on; times must not decrease."""
        if self.times and self.times[-1] == at:
            self.values[-1] = value
        else:
            self.times.append(at)
            self.values.append(value)

    def value_at(self, when: float, default: Any = None) -> Any:
        """The value at a time; `default` before the first step."""
        index = bisect_right(self.times, when) - 1
        return self.values[index] if index >= 0 else default

    def changed_at(self, at: float) -> float:
        """The time of the last step up to `at`; minus infinity if there is none."""
        index = bisect_right(self.times, at) - 1
        return self.times[index] if index >= 0 else float("-inf")

    def between(self, since: float, until: float) -> list[tuple[float, Any]]:
        """The values from `since` to `until`, as (share of that time, value)."""
        index = max(0, bisect_right(self.times, since) - 1)
        out = []
        while index < len(self.times) and self.times[index] < until:
            end = self.times[index + 1] if index + 1 < len(self.times) else until
            part = (min(end, until) - max(self.times[index], since)) / (until - since)
            if part > 0:
                out.append((part, self.values[index]))
            index += 1
        return out


class ServerHistory:
    """The history of a server over the day."""

    def __init__(self, id: str):
        self.id = id
        self.zone, self.size = "", 1.0
        self.states = StepSeries()  # (state, start time), as listed by service discovery
        self.speed = StepSeries()  # work per second and core when warm, by the middle of periods
        self.alive = StepSeries()  # whether it answers RPCs
        self.other_utilization = StepSeries()  # utilization caused by other callers
        self.reachable_share: dict[str, StepSeries] = {}  # by the proxies' zone: share of tries that reach it

    def capacity_share(self, at: float, settings: Settings) -> float:
        """The share of the capacity after a cold start, which grows linearly from `cold_share` to 1 in `cold_time`."""
        _, started = self.states.value_at(at, ("ready", 0.0))
        if not started or not settings.cold_time:
            return 1.0
        age = (at - started) / settings.cold_time
        return 1.0 if age >= 1 or age < 0 else settings.cold_share + (1 - settings.cold_share) * age


def share_in_time(mean: float, wait: float, deadline: float) -> float:
    """The share of RPCs answered before a deadline, after a wait, with gamma-distributed work of the given mean.

    >>> share_in_time(0.2, 0.0, 2.0) > 0.99, share_in_time(0.2, 3.0, 2.0)
    (True, 0.0)
    """
    if deadline <= wait:
        return 0.0
    x = WORK_GAMMA_SHAPE * (deadline - wait) / max(mean, 1e-9)
    term = total = 1.0
    for index in range(1, WORK_GAMMA_SHAPE):
        term *= x / index
        total += term
    return 1.0 - exp(-min(x, 700.0)) * total
