"""Checks a recording against the rules, and compares simulated runs under two settings.

It must never rank two settings whose results differ by less than the model's error on the recorded day, or by less than
results vary between runs.
"""

from collections.abc import Iterable
from math import sqrt
from statistics import fmean, stdev
from typing import NamedTuple

from knotwalk import state
from knotwalk.interface import Settings
from knotwalk.record.format import CHECKPOINT, FAILED, LIFE, ROUND
from knotwalk.record.reader import Loss
from knotwalk.replay.inference import InferredDay, criticality_sums, limits_from_dict
from knotwalk.replay.model import BUCKET_S, Run
from knotwalk.rules import RuleChecker, Violation

# Student's t, two-sided 95%, by degrees of freedom: with few runs the variation between runs is poorly known.
T95 = (12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23)
MIN_MARGIN = 0.004  # in service: smaller differences are irrelevant in practice and below the model's resolution


def check_rules(events: Iterable[list | Loss], rules: RuleChecker | None = None) -> RuleChecker | None:
    """Check the rules over recorded events, starting anew after a loss; None if there was nothing to check."""
    awaits_checkpoint = True
    for event in events:
        if isinstance(event, Loss):
            awaits_checkpoint = True
            continue
        kind, _, now, *rest = event
        if kind == LIFE:
            settings, limits = state.settings_from_dict(rest[0]["settings"]), limits_from_dict(rest[0]["limits"])
            if rules is None:
                rules = RuleChecker(settings, limits)
            rules.update_settings(settings, limits)
            if rest[0]["why"] == "start":
                rules.restart()
            awaits_checkpoint = False
        elif kind == CHECKPOINT and awaits_checkpoint:
            settings, limits = state.settings_from_dict(rest[1]["settings"]), limits_from_dict(rest[1]["limits"])
            if rules is None:
                rules = RuleChecker(settings, limits)
            rules.update_settings(settings, limits)
            rules.restart()
            rules.feed(now, state.inbox_of(rest[0]), ())
            awaits_checkpoint = False
        elif kind in (ROUND, FAILED) and not awaits_checkpoint and rules is not None:
            rules.feed(now, rest[0], rest[1])
    return rules


class Estimate(NamedTuple):
    """A simulated value with its interval."""

    value: float
    low: float
    high: float


class Side(NamedTuple):
    """The results of the day under one setting."""

    service: Estimate
    methods: list[Estimate]
    course: list[tuple[float, float]]  # (seconds from the start, service) for each bucket
    moves: float  # number of line, admit and withdraw orders, mean of the runs
    breaks: list[Violation]  # of the first run
    breaks_more: int
    messages: dict[int, int]
    used: dict[int, tuple[float, float]]  # by bucket: mean and highest utilization of the servers


class Verdict(NamedTuple):
    """The results of a what-if."""

    heard: float  # service estimated from the recorded reports
    error: float  # the model's service under the recorded settings, minus `heard`
    error_span: float  # root mean square of that difference over the buckets
    chance: float  # standard deviation, over the runs, of the difference between the settings
    margin: float  # smaller differences are not ranked
    recorded: Side
    tried: Side
    difference: Estimate  # tried minus recorded
    better: str  # "tried", "recorded" or "cannot tell"
    apart: list[tuple[float, int]]  # (seconds from the start, number of slices whose lines differ) for each bucket
    apart_from: float | None  # seconds from the start to the first difference of a table
    runs: int
    lost: float  # seconds of the day missing from the recording


def service_share(rows: Iterable[list[float]], settings: Settings) -> float:
    """Criticality earned, as a share of that requested."""
    pairs = [criticality_sums(row, settings) for row in rows]
    requested = sum(a for a, _ in pairs)
    return sum(e for _, e in pairs) / requested if requested else 1.0


def service_by_method(rows: Iterable[list[float]], count: int) -> list[float]:
    rows = list(rows)
    return [sum(r[2 * k + 1] for r in rows) / max(1e-9, sum(r[2 * k] for r in rows)) for k in range(count)]


def service_by_bucket(rows: dict[int, list[float]], settings: Settings) -> dict[int, float]:
    return {k: service_share([row], settings) for k, row in sorted(rows.items()) if any(row)}


def heard_by_bucket(inferred: InferredDay) -> dict[int, list[float]]:
    """Service estimated from the reports, summed by bucket instead of by report."""
    out: dict[int, list[float]] = {}
    for k, row in inferred.estimate_service().items():
        report = inferred.reports[k]
        bucket = int(((report.since + report.until) / 2 - inferred.since) / BUCKET_S)
        row_sums = out.setdefault(bucket, [0.0] * len(row))
        for i, value in enumerate(row):
            row_sums[i] += value
    return out


def compare(inferred: InferredDay, recorded: list[Run], tried: list[Run]) -> Verdict:
    """Compare two settings on one day. recorded[k] and tried[k] have the same seed and so the same arrivals."""
    settings = inferred.lives[0].settings
    count = len(settings.methods)
    heard_rows = heard_by_bucket(inferred)
    heard = service_share(heard_rows.values(), settings)
    recorded_shares, tried_shares = (
        [service_share(run.service.values(), settings) for run in runs] for runs in (recorded, tried)
    )
    error = fmean(recorded_shares) - heard
    course = service_by_bucket(heard_rows, settings)
    modelled = [service_by_bucket(run.service, settings) for run in recorded]
    deviations = [
        fmean(m[k] for m in modelled if k in m) - value for k, value in course.items() if any(k in m for m in modelled)
    ]
    error_span = sqrt(fmean(x * x for x in deviations)) if deviations else 0.0
    differences = [y - x for x, y in zip(recorded_shares, tried_shares)]
    chance = stdev(differences) if len(differences) > 1 else abs(differences[0])
    margin = max(MIN_MARGIN, abs(error), prediction_half_width(differences))
    difference = fmean(differences)
    better = "cannot tell" if abs(difference) <= margin else "tried" if difference > 0 else "recorded"

    def side(runs: list[Run], shift: float, half_width: float) -> Side:
        base = service_by_method(heard_rows.values(), count)
        recorded_rows = [service_by_method(run.service.values(), count) for run in recorded]
        own_rows = [service_by_method(run.service.values(), count) for run in runs]
        methods = []
        for k in range(count):
            shifted = base[k] + fmean(x[k] for x in own_rows) - fmean(x[k] for x in recorded_rows)
            spread = max(
                half_width,
                abs(fmean(x[k] for x in recorded_rows) - base[k]),
                prediction_half_width([x[k] for x in own_rows]),
            )
            methods.append(estimate(shifted, spread))
        by_bucket = [service_by_bucket(run.service, settings) for run in runs]
        keys = sorted(set().union(*by_bucket))
        used = {k: (fmean(v.values()), max(v.values())) for k, v in runs[0].used.items() if v}
        return Side(
            estimate(heard + shift, half_width),
            methods,
            [(k * BUCKET_S, fmean(m[k] for m in by_bucket if k in m)) for k in keys],
            fmean(run.moves for run in runs),
            runs[0].breaks,
            runs[0].breaks_more,
            runs[0].messages,
            used,
        )

    apart, since = compare_tables(inferred, recorded[0], tried[0])
    return Verdict(
        heard,
        error,
        error_span,
        chance,
        margin,
        side(recorded, 0.0, abs(error)),
        side(tried, difference, margin),
        Estimate(difference, difference - margin, difference + margin),
        better,
        apart,
        since,
        len(recorded),
        sum(x.until - x.since for x in inferred.losses),
    )


def prediction_half_width(values: list[float]) -> float:
    """Half width of the 95% prediction interval for one more run: the real day is a single run, not a mean.

    >>> round(prediction_half_width([0.1, 0.2, 0.3]), 3)
    0.497
    """
    if len(values) < 2:
        return abs(values[0])
    return T95[min(len(values) - 2, len(T95) - 1)] * stdev(values) * sqrt(1 + 1 / len(values))


def estimate(value: float, half_width: float) -> Estimate:
    value = min(1.0, max(0.0, value))
    return Estimate(value, max(0.0, value - half_width), min(1.0, value + half_width))


def compare_tables(inferred: InferredDay, a: Run, b: Run) -> tuple[list[tuple[float, int]], float | None]:
    """The number of slices whose lines differ at the end of each bucket, and the time of the first difference."""
    changes = sorted(
        [(at, 0, slice_id, lines) for at, slice_id, lines in a.tables]
        + [(at, 1, slice_id, lines) for at, slice_id, lines in b.tables],
        key=lambda x: x[0],
    )
    tables: tuple[dict, dict] = ({}, {})
    out, first, k = [], None, 0
    differ: set[int] = set()
    bucket = 0
    while k < len(changes) or bucket * BUCKET_S <= inferred.until - inferred.since:
        end = inferred.since + (bucket + 1) * BUCKET_S
        while k < len(changes) and changes[k][0] < end:
            at = changes[k][0]
            touched = set()
            # Apply all changes of one time before comparing: both runs may change a table in the same round.
            while k < len(changes) and changes[k][0] == at:
                _, which, slice_id, lines = changes[k]
                tables[which][slice_id] = lines
                touched.add(slice_id)
                k += 1
            for slice_id in touched:
                if tables[0].get(slice_id) != tables[1].get(slice_id):
                    differ.add(slice_id)
                    first = at - inferred.since if first is None else first
                else:
                    differ.discard(slice_id)
        out.append((bucket * BUCKET_S, len(differ)))
        bucket += 1
    return out, first
