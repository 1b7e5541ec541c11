"""Judgement: what a recording proves of the rules, and whether one setting was likely better than another.

Owns intervals and the ranking. It must never rank two settings that lie closer than what the model got wrong of the
recorded day, or than chance moves it from run to run.
"""

from collections.abc import Iterable
from math import sqrt
from statistics import fmean, stdev
from typing import NamedTuple

from knotwalk import state
from knotwalk.interface import Settings
from knotwalk.record.format import CHECKPOINT, FAILED, LIFE, ROUND
from knotwalk.record.reader import Loss
from knotwalk.replay.model import SPAN, Run
from knotwalk.replay.past import Past, limits_read, worth
from knotwalk.rules import RuleChecker, Violation

# Student's t, 95% both ways, by degrees of freedom: few runs tell little of how far chance goes.
T95 = (12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23)
LEAST = 0.004  # of service: under this nobody would change a setting, and the model has its grain


def judged(events: Iterable[list | Loss], rules: RuleChecker | None = None) -> RuleChecker | None:
    """The rules over what was recorded; None where nothing was. After a loss they begin anew."""
    blind = True
    for event in events:
        if isinstance(event, Loss):
            blind = True
            continue
        kind, _, now, *rest = event
        if kind == LIFE:
            settings, limits = state.settings_from_dict(rest[0]["settings"]), limits_read(rest[0]["limits"])
            if rules is None:
                rules = RuleChecker(settings, limits)
            rules.update_settings(settings, limits)
            if rest[0]["why"] == "start":
                rules.restart()
            blind = False
        elif kind == CHECKPOINT and blind:
            settings, limits = state.settings_from_dict(rest[1]["settings"]), limits_read(rest[1]["limits"])
            if rules is None:
                rules = RuleChecker(settings, limits)
            rules.update_settings(settings, limits)
            rules.restart()
            rules.feed(now, state.inbox_of(rest[0]), ())
            blind = False
        elif kind in (ROUND, FAILED) and not blind and rules is not None:
            rules.feed(now, rest[0], rest[1])
    return rules


class Likely(NamedTuple):
    """A figure with its interval; simulated."""

    value: float
    low: float
    high: float


class Side(NamedTuple):
    """One setting's day."""

    service: Likely
    methods: list[Likely]
    course: list[tuple[float, float]]  # (seconds from the start, service), by SPAN
    moves: float  # lines ordered, the mean of the runs
    breaks: list[Violation]  # of the first run
    breaks_more: int
    messages: dict[int, int]
    used: dict[int, tuple[float, float]]  # by span: mean and highest utilization of servers


class Verdict(NamedTuple):
    """What a what-if came to."""

    heard: float  # service as the recorded reports make it likely
    error: float  # the model under the recorded settings, less that
    error_span: float  # root mean square of the same by SPAN
    chance: float  # standard deviation of the difference from run to run
    margin: float  # differences under this are not told apart
    recorded: Side
    tried: Side
    difference: Likely  # tried less recorded
    better: str  # "tried", "recorded" or "cannot tell"
    apart: list[tuple[float, int]]  # (seconds from the start, slices whose lines differ), by SPAN
    apart_from: float | None  # when the first table differs
    runs: int
    lost: float  # seconds of the day that the recording does not hold


def share(rows: Iterable[list[float]], settings: Settings) -> float:
    """Criticality earned over asked for."""
    pairs = [worth(row, settings) for row in rows]
    asked = sum(a for a, _ in pairs)
    return sum(e for _, e in pairs) / asked if asked else 1.0


def by_method(rows: Iterable[list[float]], count: int) -> list[float]:
    rows = list(rows)
    return [sum(r[2 * k + 1] for r in rows) / max(1e-9, sum(r[2 * k] for r in rows)) for k in range(count)]


def spans(rows: dict[int, list[float]], settings: Settings) -> dict[int, float]:
    return {k: share([row], settings) for k, row in sorted(rows.items()) if any(row)}


def heard_by_span(past: Past) -> dict[int, list[float]]:
    """Service as heard, by SPAN instead of by report."""
    out: dict[int, list[float]] = {}
    for k, row in past.served().items():
        report = past.reports[k]
        span = int(((report.since + report.until) / 2 - past.since) / SPAN)
        held = out.setdefault(span, [0.0] * len(row))
        for i, value in enumerate(row):
            held[i] += value
    return out


def compare(past: Past, recorded: list[Run], tried: list[Run]) -> Verdict:
    """Two settings on one day, from runs with the same seeds: recorded[k] and tried[k] met the same arrivals."""
    s = past.lives[0].settings
    count = len(s.methods)
    heard_rows = heard_by_span(past)
    heard = share(heard_rows.values(), s)
    a, b = ([share(run.service.values(), s) for run in runs] for runs in (recorded, tried))
    error = fmean(a) - heard
    course = spans(heard_rows, s)
    modelled = [spans(run.service, s) for run in recorded]
    off = [
        fmean(m[k] for m in modelled if k in m) - value for k, value in course.items() if any(k in m for m in modelled)
    ]
    error_span = sqrt(fmean(x * x for x in off)) if off else 0.0
    differences = [y - x for x, y in zip(a, b)]
    chance = stdev(differences) if len(differences) > 1 else abs(differences[0])
    margin = max(LEAST, abs(error), reach(differences))
    difference = fmean(differences)
    better = "cannot tell" if abs(difference) <= margin else "tried" if difference > 0 else "recorded"

    def side(runs: list[Run], shift: float, wide: float) -> Side:
        base = by_method(heard_rows.values(), count)
        zero = [by_method(run.service.values(), count) for run in recorded]
        own = [by_method(run.service.values(), count) for run in runs]
        methods = []
        for k in range(count):
            moved = base[k] + fmean(x[k] for x in own) - fmean(x[k] for x in zero)
            spread = max(wide, abs(fmean(x[k] for x in zero) - base[k]), reach([x[k] for x in own]))
            methods.append(likely(moved, spread))
        by_span = [spans(run.service, s) for run in runs]
        keys = sorted(set().union(*by_span))
        used = {k: (fmean(v.values()), max(v.values())) for k, v in runs[0].used.items() if v}
        return Side(
            likely(heard + shift, wide),
            methods,
            [(k * SPAN, fmean(m[k] for m in by_span if k in m)) for k in keys],
            fmean(run.moves for run in runs),
            runs[0].breaks,
            runs[0].breaks_more,
            runs[0].messages,
            used,
        )

    apart, since = tables_apart(past, recorded[0], tried[0])
    return Verdict(
        heard,
        error,
        error_span,
        chance,
        margin,
        side(recorded, 0.0, abs(error)),
        side(tried, difference, margin),
        Likely(difference, difference - margin, difference + margin),
        better,
        apart,
        since,
        len(recorded),
        sum(x.until - x.since for x in past.losses),
    )


def reach(values: list[float]) -> float:
    """How far from the mean of some runs one more run may lie, for 19 of 20: the truth is one, not their mean.

    >>> round(reach([0.1, 0.2, 0.3]), 3)
    0.497
    """
    if len(values) < 2:
        return abs(values[0])
    return T95[min(len(values) - 2, len(T95) - 1)] * stdev(values) * sqrt(1 + 1 / len(values))


def likely(value: float, wide: float) -> Likely:
    value = min(1.0, max(0.0, value))
    return Likely(value, max(0.0, value - wide), min(1.0, value + wide))


def tables_apart(past: Past, a: Run, b: Run) -> tuple[list[tuple[float, int]], float | None]:
    """How many slices' lines differ at the end of each SPAN, and when the first did."""
    changes = sorted(
        [(at, 0, slice_id, lines) for at, slice_id, lines in a.tables]
        + [(at, 1, slice_id, lines) for at, slice_id, lines in b.tables],
        key=lambda x: x[0],
    )
    tables: tuple[dict, dict] = ({}, {})
    out, first, k = [], None, 0
    differ: set[int] = set()
    span = 0
    while k < len(changes) or span * SPAN <= past.until - past.since:
        end = past.since + (span + 1) * SPAN
        while k < len(changes) and changes[k][0] < end:
            at = changes[k][0]
            touched = set()
            while k < len(changes) and changes[k][0] == at:  # both may change a table in the same round
                _, which, slice_id, lines = changes[k]
                tables[which][slice_id] = lines
                touched.add(slice_id)
                k += 1
            for slice_id in touched:
                if tables[0].get(slice_id) != tables[1].get(slice_id):
                    differ.add(slice_id)
                    first = at - past.since if first is None else first
                else:
                    differ.discard(slice_id)
        out.append((span * SPAN, len(differ)))
        span += 1
    return out, first
