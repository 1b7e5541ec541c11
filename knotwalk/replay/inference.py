"""Infers a recorded day from what the conductor received: demand, servers, reachability and delays over time.

Reads frames in order, does no I/O, and estimates its own uncertainty. It must never use values of the policy's own
state: only what the conductor received and ordered, and what service discovery listed.
"""

from bisect import bisect_right
from collections.abc import Iterable
from statistics import fmean, median
from typing import Any

from knotwalk import state
from knotwalk.interface import Settings
from knotwalk.record.format import CHECKPOINT, FAILED, LIFE, ROUND
from knotwalk.record.reader import Loss
from knotwalk.replay.timeline import (
    MIN_REPORT_DELAY_S,
    Life,
    Report,
    ServerHistory,
    ServerStats,
    StepSeries,
    share_in_time,
)
from knotwalk.rules import Limits

# Handlers whose input does not depend on the tables. A model replays these and simulates the rest (heard, applied).
EXTERNAL_HANDLERS = {"listed", "list_failed", "joined", "left", "given", "taken", "held", "receipts_lost"}
MAX_ALIGNED_REPORTS = 100  # consecutive reports whose periods are placed on one clock
SMOOTHING_PERIODS = 8  # to each side, over which a server's speed is averaged: single periods are noisy
MIN_SPEED_RATIO = 0.67  # periods whose speeds differ by more are not averaged: the server itself changed
MIN_TRIES = 3  # a period with fewer tries does not show a server's speed
SATURATED_UTILIZATION = 0.95  # from this utilization on work queues, and utilization says little about speed
MAX_DOWN_SHARE = 0.2  # a server without a load report that answers a smaller share of tries is down
FIT_ITERATIONS = 25  # alternations of fitting method costs and server speeds; they converge within ten


class InferredDay:
    """A day as inferred from the frames and losses of a recording. Call infer() after the last event."""

    def __init__(self) -> None:
        self.lives: list[Life] = []
        self.losses: list[Loss] = []
        self.external_events: list[tuple[float, list]] = []  # time of a round, its input of EXTERNAL_HANDLERS
        self.reports: list[Report] = []
        self.orders: list[tuple[float, list]] = []  # (time, orders) of rounds with line, admit or withdraw
        self.server_histories: dict[str, ServerHistory] = {}
        self.tables: dict[int, StepSeries] = {}  # by slice: its lines, {server: weight}, as ordered
        self.levels: dict[tuple[int, int], StepSeries] = {}
        self.withdrawn: dict[str, StepSeries] = {}
        self.receipts_requested: dict[int, float] = {}  # by mark: when the receipt was requested
        self.delays: list[float] = []  # seconds from an order to its receipt
        self.zones: dict[str, int] = {}  # tries by the proxies' zone
        self.since = self.until = 0.0
        self.proxies: set[int] = set()
        self.own_slices: set[int] = set()
        self.awaits_checkpoint = False  # after a loss, until a checkpoint gives the state
        self.method_costs: list[float] = []  # by method: core seconds per RPC on a server of mean speed
        self.speed_spread = 0.0  # median relative deviation of single periods from the smoothed speeds

    # --- reading ---

    def add_event(self, event: list | Loss) -> None:
        if isinstance(event, Loss):
            if event.until < float("inf") and self.lives:
                self.losses.append(event)
                self.awaits_checkpoint = True
            return
        kind, _, now, *rest = event
        if not self.since:
            self.since = now
        self.until = max(self.until, now)
        if kind == LIFE:
            life, self.awaits_checkpoint = rest[0], False
            if life["why"] == "start":
                self.proxies, self.own_slices = set(), set()
            self.lives.append(
                Life(
                    now,
                    life["why"],
                    int(life["seed"], 16),
                    state.settings_from_dict(life["settings"]),
                    limits_from_dict(life["limits"]),
                )
            )
        elif kind == CHECKPOINT and (not self.lives or self.awaits_checkpoint):
            self.start_from_checkpoint(now, rest[0], rest[1])
        elif kind in (ROUND, FAILED) and not self.awaits_checkpoint:
            self.add_round(now, rest[0], rest[1])

    def start_from_checkpoint(self, now: float, snapshot: dict, life: dict) -> None:
        """Add a checkpoint's state as if it had just been received: at the recording's start, or after a loss."""
        if not self.lives:
            self.lives.append(
                Life(
                    now,
                    "start",
                    int(life["seed"], 16),
                    state.settings_from_dict(life["settings"]),
                    limits_from_dict(life["limits"]),
                )
            )
        self.awaits_checkpoint = False
        inbox = state.inbox_of(snapshot)
        joined = {arguments[0] for name, arguments in inbox if name == "joined"}
        given = {arguments[0] for name, arguments in inbox if name == "given"}
        gone: list = [("left", (p,)) for p in self.proxies - joined]
        gone += [("taken", (s,)) for s in self.own_slices - given]
        fresh = joined - self.proxies, given - self.own_slices
        self.add_round(
            now,
            gone
            + [
                x
                for x in inbox
                if x[0] == "listed"
                or x[0] == "joined"
                and x[1][0] in fresh[0]
                or x[0] in ("given", "held")
                and x[1][0] in fresh[1]
            ],
            [],
        )

    def add_round(self, now: float, inbox: list, orders: list) -> None:
        external_input = [x for x in inbox if x[0] in EXTERNAL_HANDLERS]
        if external_input:
            self.external_events.append((now, external_input))
        for name, arguments in external_input:
            if name == "listed":
                self.on_listed(now, *arguments)
            elif name == "joined":
                self.proxies.add(arguments[0])
            elif name == "left":
                self.proxies.discard(arguments[0])
            elif name == "given":
                self.own_slices.add(arguments[0])
                self.tables.setdefault(arguments[0], StepSeries()).put(now, {})
            elif name == "taken":
                self.own_slices.discard(arguments[0])
                self.tables.setdefault(arguments[0], StepSeries()).put(now, None)
            elif name == "held":
                self.on_line(now, *arguments)
        report: Report | None = None
        for name, arguments in inbox:
            if (
                name == "applied"
                and (requested_at := self.receipts_requested.get(arguments[1])) is not None
                and now - requested_at < 5.0
            ):
                self.delays.append(now - requested_at)
            elif name in ("heard", "wanted"):
                if report is None:
                    report = self.report_of_round(now, arguments[2])
                if name == "wanted":
                    key = arguments[0], arguments[1]
                    report.wanted[key] = report.wanted.get(key, 0) + arguments[3]
                else:
                    self.on_heard(report, *arguments)
        if any(x[0] in ("line", "admit", "withdraw") for x in orders):
            self.orders.append((now, orders))
        for name, arguments in orders:
            if name == "line":
                self.on_line(now, *arguments)
            elif name == "admit" and arguments[0] is not None:
                self.levels.setdefault((arguments[0], arguments[1]), StepSeries()).put(now, arguments[2])
            elif name == "withdraw":
                self.withdrawn.setdefault(arguments[0], StepSeries()).put(now, arguments[1])
            elif name == "receipt":
                self.receipts_requested[arguments[0]] = now

    def report_of_round(self, now: float, span: float) -> Report:
        """The report that a round belongs to: the sums of one period may arrive in several rounds close together."""
        if self.reports and now - self.reports[-1].at < 0.4 * span:
            return self.reports[-1]
        self.reports.append(Report(now, span))
        return self.reports[-1]

    def on_listed(self, now: float, full: bool, _cached: bool, entries: list) -> None:
        if full:
            named = {e[0] for e in entries}
            entries = [
                *entries,
                *((x.id, x.zone, "gone", x.size, 0.0) for x in self.server_histories.values() if x.id not in named),
            ]
        for id, zone, condition, size, started in entries:
            x = self.server_histories.get(id)
            if x is None:
                x = self.server_histories[id] = ServerHistory(id)
            x.zone, x.size = zone or x.zone, size or 1.0
            x.states.put(now, (condition, started))

    def on_line(self, now: float, slice_id: int, server: str, weight: float) -> None:
        steps = self.tables.setdefault(slice_id, StepSeries())
        lines = dict(steps.value_at(now, None) or {})
        lines.pop(server, None)
        if weight:
            lines[server] = weight
        steps.put(now, lines)

    def on_heard(
        self, report: Report, server: str, zone: str, _span: float, tries: int, aborted: int, latency: float, load: dict
    ) -> None:
        if server not in self.server_histories:
            self.server_histories[server] = ServerHistory(server)
        good = tries - aborted
        self.zones[zone] = self.zones.get(zone, 0) + tries
        old = report.server_stats.get(server, ServerStats(0, 0, 0.0, None, None, {}))
        report.server_stats[server] = ServerStats(
            old.tries + tries,
            old.answered + good,
            old.latency_sum_s + good * latency,
            load.get("utilization", old.utilization),
            load.get("qps", old.qps),
            {**old.zones, zone: (tries, good)},
        )

    # --- inference ---

    @property
    def delay(self) -> float:
        """Seconds from an order to its effect: the median delay of receipts, or else the configured delay."""
        return median(self.delays) if self.delays else self.lives[0].settings.message_delay

    def infer(self) -> "InferredDay":
        """Run the inference over all events."""
        if not self.lives:
            return self
        self.align_reports()
        self.estimate_expected_tries()
        self.fit_method_costs()
        for server in self.server_histories.values():
            self.infer_server(server)
        self.estimate_speed_spread()
        return self

    def align_reports(self) -> None:
        """Place the period of each report in time. Reports are delayed by varying times, but their periods are
        contiguous: the fastest of many reports fixes all of them. Periods taken too short made servers look fast."""
        group: list[Report] = []
        for k, report in enumerate(self.reports):
            group.append(report)
            following = self.reports[k + 1] if k + 1 < len(self.reports) else None
            if (
                following
                and len(group) < MAX_ALIGNED_REPORTS
                and abs(following.at - report.at - following.span) < 0.75 * report.span
            ):
                continue
            ends, end = [], 0.0
            for x in group:
                end += x.span
                ends.append(end)
            begin = min(x.at - end for x, end in zip(group, ends)) - MIN_REPORT_DELAY_S
            for x, end in zip(group, ends):
                x.since, x.until = begin + end - x.span, begin + end
            group = []

    def estimate_expected_tries(self) -> None:
        """Estimate how many tries of each method each server should have received, by the tables then in effect."""
        delay, methods = self.delay, range(len(self.lives[0].settings.methods))
        for report in self.reports:
            since, until = report.since - delay, report.until - delay
            for (slice_id, method), n in report.wanted.items():
                steps = self.tables.get(slice_id)
                if steps is None or method not in methods:
                    continue
                level = self.levels.get((slice_id, method))
                admitted = sum(part * share for part, share in level.between(since, until)) if level else 1.0
                for part, lines in steps.between(since, until):
                    total_weight = sum(lines.values()) if lines else 0.0
                    for server, weight in (lines or {}).items():
                        expected = report.expected_tries.get(server)
                        if expected is None:
                            expected = report.expected_tries[server] = [0.0] * len(methods)
                        expected[method] += n * part * admitted * weight / total_weight

    def tries_by_method(self, report: Report, server: str) -> list[float]:
        """Tries at a server by method: the reported number, divided in proportion to the expected tries."""
        stats, expected = report.server_stats[server], report.expected_tries.get(server)
        if not expected or not sum(expected):
            return [stats.tries / len(self.lives[0].settings.methods)] * len(self.lives[0].settings.methods)
        return [stats.tries * x / sum(expected) for x in expected]

    def speed_samples(self, report: Report) -> Iterable[tuple[str, ServerStats, list[float], float]]:
        """Servers whose report shows their speed: (server, stats, tries by method, core seconds used by our RPCs)."""
        for server, stats in report.server_stats.items():
            if (
                stats.utilization is not None
                and stats.tries >= MIN_TRIES
                and stats.utilization < SATURATED_UTILIZATION
                and stats.utilization > 0.02
            ):
                x = self.server_histories[server]
                span = report.until - report.since
                own_share = 1.0
                if stats.qps and stats.qps * span > stats.tries:
                    own_share = stats.tries / (stats.qps * span)
                yield server, stats, self.tries_by_method(report, server), stats.utilization * x.size * span * own_share

    def fit_method_costs(self) -> None:
        """Fit the cost of each method's RPCs and the speed of each server, alternately with the other held fixed."""
        settings = self.lives[0].settings
        count = len(settings.methods)
        rows = [
            (server, tries_of_methods, busy)
            for report in self.reports
            for server, _, tries_of_methods, busy in self.speed_samples(report)
        ]
        self.method_costs = [1.0] * count
        if not rows:
            self.method_costs = [0.1 * m.soft_deadline for m in settings.methods]
            return
        for _ in range(FIT_ITERATIONS):
            done: dict[str, float] = {}
            took: dict[str, float] = {}
            for server, tries_of_methods, busy in rows:
                done[server] = done.get(server, 0.0) + sum(n * w for n, w in zip(tries_of_methods, self.method_costs))
                took[server] = took.get(server, 0.0) + busy
            speed = {x: done[x] / took[x] for x in done}
            if count == 2:
                # Ridge regression of busy * speed on tries; it tends to equal costs where the method mix hardly varies.
                tries_sum_00 = tries_sum_01 = tries_sum_11 = work_sum_0 = work_sum_1 = 0.0
                for server, (tries_0, tries_1), busy in rows:
                    work = busy * speed[server]
                    tries_sum_00, tries_sum_01, tries_sum_11, work_sum_0, work_sum_1 = (
                        tries_sum_00 + tries_0 * tries_0,
                        tries_sum_01 + tries_0 * tries_1,
                        tries_sum_11 + tries_1 * tries_1,
                        work_sum_0 + tries_0 * work,
                        work_sum_1 + tries_1 * work,
                    )
                ridge = 0.002 * (tries_sum_00 + tries_sum_11)
                level = (work_sum_0 + work_sum_1) / max(tries_sum_00 + 2 * tries_sum_01 + tries_sum_11, 1e-9)
                tries_sum_00, tries_sum_11, work_sum_0, work_sum_1 = (
                    tries_sum_00 + ridge,
                    tries_sum_11 + ridge,
                    work_sum_0 + ridge * level,
                    work_sum_1 + ridge * level,
                )
                determinant = tries_sum_00 * tries_sum_11 - tries_sum_01 * tries_sum_01
                if determinant > 1e-9:
                    costs = [
                        (work_sum_0 * tries_sum_11 - work_sum_1 * tries_sum_01) / determinant,
                        (work_sum_1 * tries_sum_00 - work_sum_0 * tries_sum_01) / determinant,
                    ]
                    self.method_costs = [min(max(w, 0.2 * level), 5 * level) for w in costs]
        # Normalize, so that a core of mean speed does one core second of work per second.
        mean = sum(done.values()) / max(1e-9, sum(took.values()))
        self.method_costs = [w / mean for w in self.method_costs]

    def cost(self, tries_of_methods: list[float]) -> float:
        return sum(n * w for n, w in zip(tries_of_methods, self.method_costs))

    def infer_server(self, server: ServerHistory) -> None:
        """Infer a server's speed, availability and reachability over the day."""
        settings = self.lives[0].settings
        # For each period: middle, work, core seconds, capacity share, other utilization.
        points: list[tuple[float, float, float, float, float]] = []
        observed = [
            (r, r.server_stats[server.id])
            for r in self.reports
            if server.id in r.server_stats and r.server_stats[server.id].tries > 0
        ]
        server.alive.put(self.since, True)
        wait_before = 0.0
        for report, stats in observed:
            span, middle = report.until - report.since, (report.since + report.until) / 2
            share = stats.answered / stats.tries
            alive = server.alive.values[-1]
            if stats.utilization is None and share < MAX_DOWN_SHARE + 0.3 * (stats.tries < 5):
                if alive:
                    server.alive.put(max(server.alive.times[-1], report.since + share * span), False)
            elif not alive:
                server.alive.put(max(server.alive.times[-1], report.until - share * span), True)
            for zone, (tries, good) in stats.zones.items():
                best = max((g / t for t, g in stats.zones.values() if t >= 5), default=share)
                reach = good / tries if tries >= 5 and best > 0.8 and good / tries < 0.5 else 1.0
                steps = server.reachable_share.setdefault(zone, StepSeries())
                if reach != steps.value_at(report.since, 1.0):
                    steps.put(report.since, reach)
            if stats.utilization is None or stats.tries < MIN_TRIES or share < MAX_DOWN_SHARE:
                continue
            tries_of_methods = self.tries_by_method(report, server.id)
            work, ramp = self.cost(tries_of_methods), server.capacity_share(middle, settings)
            own_share = min(1.0, stats.tries / (stats.qps * span)) if stats.qps and stats.qps * span > 1 else 1.0
            speed = points[-1][1] / points[-1][2] * ramp if points else 1.0
            wait = max(0.0, stats.latency_sum_s / max(1, stats.answered) - work / stats.tries / speed)
            busy = stats.utilization * span * server.size
            if stats.utilization >= SATURATED_UTILIZATION:  # the growth of the wait shows how much work was queued
                busy += max(-0.5, min(2.0, wait - wait_before)) * server.size
            wait_before = wait
            if stats.utilization > 0.02:
                points.append(
                    (middle, work, max(1e-6, busy * own_share) * ramp, ramp, stats.utilization * (1 - own_share))
                )
        # Over three periods at a time, since single ones are mostly noise.
        speeds = [
            sum(p[1] for p in points[max(0, k - 1) : k + 2]) / sum(p[2] for p in points[max(0, k - 1) : k + 2])
            for k in range(len(points))
        ]
        for k, (middle, *_) in enumerate(points):
            low = high = k
            while (
                low > 0
                and k - low < SMOOTHING_PERIODS
                and MIN_SPEED_RATIO < speeds[low - 1] / speeds[k] < 1 / MIN_SPEED_RATIO
            ):
                low -= 1
            while (
                high + 1 < len(points)
                and high - k < SMOOTHING_PERIODS
                and MIN_SPEED_RATIO < speeds[high + 1] / speeds[k] < 1 / MIN_SPEED_RATIO
            ):
                high += 1
            window = points[low : high + 1]
            server.speed.put(
                middle - 0.5 * settings.report_period, sum(p[1] for p in window) / sum(p[2] for p in window)
            )
            server.other_utilization.put(middle - 0.5 * settings.report_period, points[k][4])
        for at, (condition, started) in zip(server.states.times, server.states.values):
            if condition == "gone" and server.alive.value_at(at):
                self.insert(server.alive, at, False)
            elif condition == "ready" and started and started > self.since and not server.alive.value_at(at):
                self.insert(server.alive, max(started, self.since), True)

    @staticmethod
    def insert(steps: StepSeries, at: float, value: Any) -> None:
        k = bisect_right(steps.times, at)
        if k and steps.times[k - 1] == at:
            steps.values[k - 1] = value
        else:
            steps.times.insert(k, at)
            steps.values.insert(k, value)

    def estimate_speed_spread(self) -> None:
        """Set `speed_spread`: how far single periods deviate from the smoothed speeds."""
        deviations = []
        for report in self.reports:
            for server, stats, tries_of_methods, busy in self.speed_samples(report):
                history, middle = self.server_histories[server], (report.since + report.until) / 2
                speed = history.speed.value_at(middle, 0.0)
                if speed and busy:
                    deviations.append(
                        abs(
                            self.cost(tries_of_methods)
                            / busy
                            / history.capacity_share(middle, self.lives[0].settings)
                            / speed
                            - 1
                        )
                    )
        self.speed_spread = median(deviations) if deviations else 1.0

    def mean_speed(self) -> float:
        """The mean speed of all servers, assumed for a server without observations."""
        values = [v for x in self.server_histories.values() for v in x.speed.values]
        return fmean(values) if values else 1.0

    # --- service, by the reports ---

    def estimate_service(self) -> dict[int, list[float]]:
        """By report: [requested, earned] RPCs of each method, estimated. Reports say nothing about deadlines, so the
        share answered in time is computed from mean latency, tries and admission levels."""
        settings, limits = self.lives[0].settings, self.lives[0].limits
        service: dict[int, list[float]] = {}
        for k, report in enumerate(self.reports):
            row = service[k] = [0.0] * (2 * len(settings.methods))
            for (_, method), n in report.wanted.items():
                if method < len(settings.methods):
                    row[2 * method] += n
            earned = [0.0] * len(settings.methods)
            tries_in_all = [0.0] * len(settings.methods)
            for server, stats in report.server_stats.items():
                if not stats.tries:
                    continue
                tries_of_methods, middle = self.tries_by_method(report, server), (report.since + report.until) / 2
                history = self.server_histories[server]
                speed = (history.speed.value_at(middle) or self.mean_speed()) * history.capacity_share(middle, settings)
                latency = stats.latency_sum_s / stats.answered if stats.answered else 0.0
                wait = max(0.0, latency - self.cost(tries_of_methods) / stats.tries / speed)
                for m, method_settings in enumerate(settings.methods):
                    good = tries_of_methods[m] * stats.answered / stats.tries
                    delay = limits.late_share[m] if m < len(limits.late_share) else 0.0
                    part = share_in_time(self.method_costs[m] / speed, wait, method_settings.soft_deadline)
                    earned[m] += good * (part + delay * (1 - part))
                    tries_in_all[m] += tries_of_methods[m]
            for m in range(len(settings.methods)):
                # Tries and arrivals of a period may differ, since RPCs can start and end in different periods.
                admitted = self.admitted_rpcs(report, m)
                if tries_in_all[m]:
                    row[2 * m + 1] = min(row[2 * m], earned[m] / tries_in_all[m] * admitted)
        return service

    def admitted_rpcs(self, report: Report, method: int) -> float:
        """RPCs of a method that the admission levels admit, of those requested."""
        total, delay = 0.0, self.delay
        for (slice_id, m), n in report.wanted.items():
            if m == method:
                steps = self.levels.get((slice_id, m))
                share = 1.0
                if steps:
                    spans = steps.between(report.since - delay, report.until - delay)
                    share = sum(p * v for p, v in spans) + (1 - sum(p for p, _ in spans))
                total += n * share
        return total


def limits_from_dict(payload: dict) -> Limits:
    """Limits from a decoded dict; unknown keys, as older recordings may have, are ignored."""
    return Limits(
        **{k: tuple(v) if isinstance(v, list | tuple) else v for k, v in payload.items() if k in Limits._fields}
    )


def criticality_sums(row: list[float], settings: Settings) -> tuple[float, float]:
    """Sums of criticality requested and earned, for a row of [requested, earned] by method."""
    pairs = list(zip(settings.methods, row[0::2], row[1::2]))
    return sum(m.criticality * a for m, a, _ in pairs), sum(m.criticality * e for m, _, e in pairs)
