"""The parts of a recorded day as the inference keeps them: lives, sums of a period, values in steps, a server's day.

Owns no inference (`past`), and reads no frames.
"""

from bisect import bisect_right
from math import exp
from typing import Any, NamedTuple

from knotwalk.interface import Settings
from knotwalk.rules import Limits

LATE_LEAST = 0.2  # seconds that the quickest reports are under way: a collector's burst and the way
SHAPE = 3  # of the gamma that a method's work is taken for: between regular and memoryless


class Life(NamedTuple):
    """A life of the module."""

    at: float
    why: str
    seed: int
    settings: Settings
    limits: Limits


class Met(NamedTuple):
    """What one report says of one server, all zones together."""

    tries: int
    good: int
    seconds: float  # of the good ones
    used: float | None  # utilization
    rate: float | None  # RPCs a second by its own word, whoever sent them
    zones: dict[str, tuple[int, int]]  # by zone of proxies: tries, good ones


class Report:
    """The sums of a period."""

    __slots__ = ("at", "span", "since", "until", "wanted", "met", "mix")

    def __init__(self, at: float, span: float):
        self.at, self.span = at, span
        self.since, self.until = at - LATE_LEAST - span, at - LATE_LEAST  # see Past.align
        self.wanted: dict[tuple[int, int], int] = {}
        self.met: dict[str, Met] = {}
        self.mix: dict[str, list[float]] = {}  # by server: expected tries by method, by the tables


class Steps:
    """A value over time that changes in steps."""

    __slots__ = ("times", "values")

    def __init__(self) -> None:
        self.times: list[float] = []
        self.values: list[Any] = []

    def put(self, at: float, value: Any) -> None:
        """The value from then on; times do not fall."""
        if self.times and self.times[-1] == at:
            self.values[-1] = value
        else:
            self.times.append(at)
            self.values.append(value)

    def at(self, when: float, default: Any = None) -> Any:
        """The value at a time, `default` before the first."""
        k = bisect_right(self.times, when) - 1
        return self.values[k] if k >= 0 else default

    def when(self, at: float) -> float:
        """When the value at that time was put; minus infinity if none was."""
        k = bisect_right(self.times, at) - 1
        return self.times[k] if k >= 0 else float("-inf")

    def between(self, since: float, until: float) -> list[tuple[float, Any]]:
        """(part of the time, value) over a span."""
        k = max(0, bisect_right(self.times, since) - 1)
        out = []
        while k < len(self.times) and self.times[k] < until:
            end = self.times[k + 1] if k + 1 < len(self.times) else until
            part = (min(end, until) - max(self.times[k], since)) / (until - since)
            if part > 0:
                out.append((part, self.values[k]))
            k += 1
        return out


class Host:
    """A server's day."""

    def __init__(self, id: str):
        self.id = id
        self.zone, self.size = "", 1.0
        self.states = Steps()  # (state, started) by the list
        self.speed = Steps()  # work a second and core, as if warm; by the middle of periods
        self.alive = Steps()  # whether it answers
        self.others = Steps()  # utilization by what is not ours
        self.reach: dict[str, Steps] = {}  # by zone of proxies: the share of tries that get there

    def ramp(self, at: float, settings: Settings) -> float:
        """What a start leaves it of its capacity: it grows evenly from the stated share."""
        _, started = self.states.at(at, ("ready", 0.0))
        if not started or not settings.cold_time:
            return 1.0
        age = (at - started) / settings.cold_time
        return 1.0 if age >= 1 or age < 0 else settings.cold_share + (1 - settings.cold_share) * age


def in_time(mean: float, wait: float, deadline: float) -> float:
    """The share of RPCs answered by a deadline after a wait, their work spread as a gamma of SHAPE.

    >>> in_time(0.2, 0.0, 2.0) > 0.99, in_time(0.2, 3.0, 2.0)
    (True, 0.0)
    """
    if deadline <= wait:
        return 0.0
    x = SHAPE * (deadline - wait) / max(mean, 1e-9)
    term = total = 1.0
    for k in range(1, SHAPE):
        term *= x / k
        total += term
    return 1.0 - exp(-min(x, 700.0)) * total
