"""What a recorded day was: demand, servers, ways and delays over time, inferred from what the conductor heard.

Owns the inference and says how unsure it is. It reads frames in order and does no I/O. What it must never do is take a
figure from the policy's own state: only what came in, what was ordered, and what the list said.
"""

from bisect import bisect_right
from collections.abc import Iterable
from statistics import fmean, median
from typing import Any

from knotwalk import state
from knotwalk.interface import Settings
from knotwalk.record.format import CHECKPOINT, FAILED, LIFE, ROUND
from knotwalk.record.reader import Loss
from knotwalk.replay.day_parts import LATE_LEAST, Host, Life, Met, Report, Steps, in_time
from knotwalk.rules import Limits

# What the world tells whatever the tables are; the rest (heard, applied) is answered by the model.
FIXED = {"listed", "list_failed", "joined", "left", "given", "taken", "held", "receipts_lost"}
CHAIN = 100  # reports whose spans are taken to follow each other on one clock
SMOOTH = 8  # periods to each side over which a server's speed is averaged: chance spoils single ones
ALIKE = 0.67  # unless their speeds differ by more than this: then something happened to the server
TRIES_LEAST = 3  # under so many tries a period says nothing of a server's speed
FULL = 0.95  # utilization past which work waits, and a report of it says little of the speed
DEAD = 0.2  # share of tries answered under which a server without a load report is down
PLACES = 25  # fits of methods against speeds: they settle within ten


class Past:
    """A day as it was heard, from the frames and losses of a recording. Call done() after the last."""

    def __init__(self) -> None:
        self.lives: list[Life] = []
        self.losses: list[Loss] = []
        self.fixed: list[tuple[float, list]] = []  # rounds and what the world told in them
        self.reports: list[Report] = []
        self.orders: list[tuple[float, list]] = []  # rounds with lines, levels or withdrawals
        self.hosts: dict[str, Host] = {}
        self.tables: dict[int, Steps] = {}  # by slice: lines as ordered
        self.levels: dict[tuple[int, int], Steps] = {}
        self.shut: dict[str, Steps] = {}
        self.asked: dict[int, float] = {}  # receipts asked for: mark, when
        self.delays: list[float] = []  # seconds from an order to its receipt
        self.zones: dict[str, int] = {}  # tries by zone of proxies
        self.since = self.until = 0.0
        self.proxies: set[int] = set()
        self.ours: set[int] = set()  # slices
        self.blind = False  # after a loss, until a checkpoint says what stands
        self.work: list[float] = []  # by method: core seconds at the mean speed
        self.unsure = 0.0  # spread of the speeds by period about their smoothed course, as a share

    # --- reading ---

    def feed(self, event: list | Loss) -> None:
        if isinstance(event, Loss):
            if event.until < float("inf") and self.lives:
                self.losses.append(event)
                self.blind = True
            return
        kind, _, now, *rest = event
        if not self.since:
            self.since = now
        self.until = max(self.until, now)
        if kind == LIFE:
            life, self.blind = rest[0], False
            if life["why"] == "start":
                self.proxies, self.ours = set(), set()
            self.lives.append(
                Life(
                    now,
                    life["why"],
                    int(life["seed"], 16),
                    state.settings_from_dict(life["settings"]),
                    limits_read(life["limits"]),
                )
            )
        elif kind == CHECKPOINT and (not self.lives or self.blind):
            self.begin(now, rest[0], rest[1])
        elif kind in (ROUND, FAILED) and not self.blind:
            self.round(now, rest[0], rest[1])

    def begin(self, now: float, told: dict, life: dict) -> None:
        """What stands at a checkpoint, as if it had come in: at the recording's start, or after a loss."""
        if not self.lives:
            self.lives.append(
                Life(
                    now,
                    "start",
                    int(life["seed"], 16),
                    state.settings_from_dict(life["settings"]),
                    limits_read(life["limits"]),
                )
            )
        self.blind = False
        inbox = state.inbox_of(told)
        joined = {f[0] for name, f in inbox if name == "joined"}
        given = {f[0] for name, f in inbox if name == "given"}
        gone: list = [("left", (p,)) for p in self.proxies - joined]
        gone += [("taken", (s,)) for s in self.ours - given]
        fresh = joined - self.proxies, given - self.ours
        self.round(
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

    def round(self, now: float, inbox: list, orders: list) -> None:
        world = [x for x in inbox if x[0] in FIXED]
        if world:
            self.fixed.append((now, world))
        for name, f in world:
            if name == "listed":
                self.listed(now, *f)
            elif name == "joined":
                self.proxies.add(f[0])
            elif name == "left":
                self.proxies.discard(f[0])
            elif name == "given":
                self.ours.add(f[0])
                self.tables.setdefault(f[0], Steps()).put(now, {})
            elif name == "taken":
                self.ours.discard(f[0])
                self.tables.setdefault(f[0], Steps()).put(now, None)
            elif name == "held":
                self.line(now, *f)
        report: Report | None = None
        for name, f in inbox:
            if name == "applied" and (asked := self.asked.get(f[1])) is not None and now - asked < 5.0:
                self.delays.append(now - asked)
            elif name in ("heard", "wanted"):
                if report is None:
                    report = self.report(now, f[2])
                if name == "wanted":
                    key = f[0], f[1]
                    report.wanted[key] = report.wanted.get(key, 0) + f[3]
                else:
                    self.heard(report, *f)
        if any(x[0] in ("line", "admit", "withdraw") for x in orders):
            self.orders.append((now, orders))
        for name, f in orders:
            if name == "line":
                self.line(now, *f)
            elif name == "admit" and f[0] is not None:
                self.levels.setdefault((f[0], f[1]), Steps()).put(now, f[2])
            elif name == "withdraw":
                self.shut.setdefault(f[0], Steps()).put(now, f[1])
            elif name == "receipt":
                self.asked[f[0]] = now

    def report(self, now: float, span: float) -> Report:
        """The report that a round belongs to: a period's sums may come in some rounds close together."""
        if self.reports and now - self.reports[-1].at < 0.4 * span:
            return self.reports[-1]
        self.reports.append(Report(now, span))
        return self.reports[-1]

    def listed(self, now: float, full: bool, _cached: bool, entries: list) -> None:
        if full:
            named = {e[0] for e in entries}
            entries = [
                *entries,
                *((x.id, x.zone, "gone", x.size, 0.0) for x in self.hosts.values() if x.id not in named),
            ]
        for id, zone, condition, size, started in entries:
            x = self.hosts.get(id)
            if x is None:
                x = self.hosts[id] = Host(id)
            x.zone, x.size = zone or x.zone, size or 1.0
            x.states.put(now, (condition, started))

    def line(self, now: float, slice_id: int, server: str, weight: float) -> None:
        steps = self.tables.setdefault(slice_id, Steps())
        lines = dict(steps.at(now, None) or {})
        lines.pop(server, None)
        if weight:
            lines[server] = weight
        steps.put(now, lines)

    def heard(
        self, report: Report, server: str, zone: str, _span: float, tries: int, aborted: int, latency: float, load: dict
    ) -> None:
        if server not in self.hosts:
            self.hosts[server] = Host(server)
        good = tries - aborted
        self.zones[zone] = self.zones.get(zone, 0) + tries
        old = report.met.get(server, Met(0, 0, 0.0, None, None, {}))
        report.met[server] = Met(
            old.tries + tries,
            old.good + good,
            old.seconds + good * latency,
            load.get("utilization", old.used),
            load.get("qps", old.rate),
            {**old.zones, zone: (tries, good)},
        )

    # --- inference ---

    @property
    def delay(self) -> float:
        """Seconds from an order to its effect, as receipts tell."""
        return median(self.delays) if self.delays else self.lives[0].settings.message_delay

    def done(self) -> "Past":
        """Work the day out."""
        if not self.lives:
            return self
        self.align()
        self.mixes()
        self.fit()
        for x in self.hosts.values():
            self.course(x)
        self.spread()
        return self

    def align(self) -> None:
        """When each report's span was. Reports come late by different times, but their spans follow each other; the
        quickest of many tells where they lie. Guards against spans too short, which made servers look quick."""
        chain: list[Report] = []
        for k, report in enumerate(self.reports):
            chain.append(report)
            following = self.reports[k + 1] if k + 1 < len(self.reports) else None
            if following and len(chain) < CHAIN and abs(following.at - report.at - following.span) < 0.75 * report.span:
                continue
            ends, end = [], 0.0
            for x in chain:
                end += x.span
                ends.append(end)
            begin = min(x.at - end for x, end in zip(chain, ends)) - LATE_LEAST
            for x, end in zip(chain, ends):
                x.since, x.until = begin + end - x.span, begin + end
            chain = []

    def mixes(self) -> None:
        """By the tables as they took effect: how many tries of each method a server was to get."""
        late, methods = self.delay, range(len(self.lives[0].settings.methods))
        for report in self.reports:
            since, until = report.since - late, report.until - late
            for (slice_id, method), n in report.wanted.items():
                steps = self.tables.get(slice_id)
                if steps is None or method not in methods:
                    continue
                level = self.levels.get((slice_id, method))
                let_in = sum(part * share for part, share in level.between(since, until)) if level else 1.0
                for part, lines in steps.between(since, until):
                    whole = sum(lines.values()) if lines else 0.0
                    for server, weight in (lines or {}).items():
                        mix = report.mix.get(server)
                        if mix is None:
                            mix = report.mix[server] = [0.0] * len(methods)
                        mix[method] += n * part * let_in * weight / whole

    def tried(self, report: Report, server: str) -> list[float]:
        """Tries at a server by method: the number that was met, in the shares that the tables make likely."""
        met, mix = report.met[server], report.mix.get(server)
        if not mix or not sum(mix):
            return [met.tries / len(self.lives[0].settings.methods)] * len(self.lives[0].settings.methods)
        return [met.tries * x / sum(mix) for x in mix]

    def clear(self, report: Report) -> Iterable[tuple[str, Met, list[float], float]]:
        """Servers whose report tells of speed: (server, what was met, tries by method, core seconds of ours)."""
        for server, met in report.met.items():
            if met.used is not None and met.tries >= TRIES_LEAST and met.used < FULL and met.used > 0.02:
                x = self.hosts[server]
                span = report.until - report.since
                ours = 1.0
                if met.rate and met.rate * span > met.tries:
                    ours = met.tries / (met.rate * span)
                yield server, met, self.tried(report, server), met.used * x.size * span * ours

    def fit(self) -> None:
        """What a method's RPC costs, and with it how fast each server is: each in turn, the other held."""
        settings = self.lives[0].settings
        count = len(settings.methods)
        rows = [(server, tried, busy) for report in self.reports for server, _, tried, busy in self.clear(report)]
        self.work = [1.0] * count
        if not rows:
            self.work = [0.1 * m.soft_deadline for m in settings.methods]
            return
        for _ in range(PLACES):
            done: dict[str, float] = {}
            took: dict[str, float] = {}
            for server, tried, busy in rows:
                done[server] = done.get(server, 0.0) + sum(n * w for n, w in zip(tried, self.work))
                took[server] = took.get(server, 0.0) + busy
            speed = {x: done[x] / took[x] for x in done}
            if count == 2:
                # Least squares of busy * speed on tries, drawn towards equal costs where the mix tells nothing.
                a = b = c = p = q = 0.0
                for server, (n, m), busy in rows:
                    y = busy * speed[server]
                    a, b, c, p, q = a + n * n, b + n * m, c + m * m, p + n * y, q + m * y
                ridge = 0.002 * (a + c)
                level = (p + q) / max(a + 2 * b + c, 1e-9)
                a, c, p, q = a + ridge, c + ridge, p + ridge * level, q + ridge * level
                det = a * c - b * b
                if det > 1e-9:
                    found = [(p * c - q * b) / det, (q * a - p * b) / det]
                    self.work = [min(max(w, 0.2 * level), 5 * level) for w in found]
        # The scale: a core of mean speed does one second of work in a second.
        mean = sum(done.values()) / max(1e-9, sum(took.values()))
        self.work = [w / mean for w in self.work]

    def cost(self, tried: list[float]) -> float:
        return sum(n * w for n, w in zip(tried, self.work))

    def course(self, x: Host) -> None:
        """A server's speed, life and reach over the day."""
        settings = self.lives[0].settings
        points: list[tuple[float, float, float, float, float]] = []  # middle, work, core seconds, ramp, others
        seen = [(r, r.met[x.id]) for r in self.reports if x.id in r.met and r.met[x.id].tries > 0]
        x.alive.put(self.since, True)
        wait_before = 0.0
        for report, met in seen:
            span, middle = report.until - report.since, (report.since + report.until) / 2
            share = met.good / met.tries
            alive = x.alive.values[-1]
            if met.used is None and share < DEAD + 0.3 * (met.tries < 5):
                if alive:
                    x.alive.put(max(x.alive.times[-1], report.since + share * span), False)
            elif not alive:
                x.alive.put(max(x.alive.times[-1], report.until - share * span), True)
            for zone, (tries, good) in met.zones.items():
                best = max((g / t for t, g in met.zones.values() if t >= 5), default=share)
                reach = good / tries if tries >= 5 and best > 0.8 and good / tries < 0.5 else 1.0
                steps = x.reach.setdefault(zone, Steps())
                if reach != steps.at(report.since, 1.0):
                    steps.put(report.since, reach)
            if met.used is None or met.tries < TRIES_LEAST or share < DEAD:
                continue
            tried = self.tried(report, x.id)
            work, ramp = self.cost(tried), x.ramp(middle, settings)
            ours = min(1.0, met.tries / (met.rate * span)) if met.rate and met.rate * span > 1 else 1.0
            speed = points[-1][1] / points[-1][2] * ramp if points else 1.0
            wait = max(0.0, met.seconds / max(1, met.good) - work / met.tries / speed)
            busy = met.used * span * x.size
            if met.used >= FULL:  # work came that was not done: how much the wait grew says how much
                busy += max(-0.5, min(2.0, wait - wait_before)) * x.size
            wait_before = wait
            if met.used > 0.02:
                points.append((middle, work, max(1e-6, busy * ours) * ramp, ramp, met.used * (1 - ours)))
        own = [
            sum(p[1] for p in points[max(0, k - 1) : k + 2]) / sum(p[2] for p in points[max(0, k - 1) : k + 2])
            for k in range(len(points))
        ]  # three periods at a time: what one tells is mostly chance
        for k, (middle, *_) in enumerate(points):
            low = high = k
            while low > 0 and k - low < SMOOTH and ALIKE < own[low - 1] / own[k] < 1 / ALIKE:
                low -= 1
            while high + 1 < len(points) and high - k < SMOOTH and ALIKE < own[high + 1] / own[k] < 1 / ALIKE:
                high += 1
            near = points[low : high + 1]
            x.speed.put(middle - 0.5 * settings.report_period, sum(p[1] for p in near) / sum(p[2] for p in near))
            x.others.put(middle - 0.5 * settings.report_period, points[k][4])
        for at, (condition, started) in zip(x.states.times, x.states.values):
            if condition == "gone" and x.alive.at(at):
                self.insert(x.alive, at, False)
            elif condition == "ready" and started and started > self.since and not x.alive.at(at):
                self.insert(x.alive, max(started, self.since), True)

    @staticmethod
    def insert(steps: Steps, at: float, value: Any) -> None:
        k = bisect_right(steps.times, at)
        if k and steps.times[k - 1] == at:
            steps.values[k - 1] = value
        else:
            steps.times.insert(k, at)
            steps.values.insert(k, value)

    def spread(self) -> None:
        """How far single periods lie from the smoothed course: what is not known of a speed."""
        off = []
        for report in self.reports:
            for server, met, tried, busy in self.clear(report):
                x, middle = self.hosts[server], (report.since + report.until) / 2
                speed = x.speed.at(middle, 0.0)
                if speed and busy:
                    off.append(abs(self.cost(tried) / busy / x.ramp(middle, self.lives[0].settings) / speed - 1))
        self.unsure = median(off) if off else 1.0

    def usual(self) -> float:
        """The speed of a server of which nothing is known: the fleet's mean."""
        values = [v for x in self.hosts.values() for v in x.speed.values]
        return fmean(values) if values else 1.0

    # --- service as heard ---

    def served(self) -> dict[int, list[float]]:
        """By report, and method: [asked, earned], as the reports make it likely. The reports tell of no deadline:
        from mean latency, tries and levels the share in time is worked out."""
        settings, limits = self.lives[0].settings, self.lives[0].limits
        out: dict[int, list[float]] = {}
        for k, report in enumerate(self.reports):
            row = out[k] = [0.0] * (2 * len(settings.methods))
            for (_, method), n in report.wanted.items():
                if method < len(settings.methods):
                    row[2 * method] += n
            earned = [0.0] * len(settings.methods)
            met_in_all = [0.0] * len(settings.methods)
            for server, met in report.met.items():
                if not met.tries:
                    continue
                tried, middle = self.tried(report, server), (report.since + report.until) / 2
                x = self.hosts[server]
                speed = (x.speed.at(middle) or self.usual()) * x.ramp(middle, settings)
                latency = met.seconds / met.good if met.good else 0.0
                wait = max(0.0, latency - self.cost(tried) / met.tries / speed)
                for m, told in enumerate(settings.methods):
                    good = tried[m] * met.good / met.tries
                    late = limits.late_share[m] if m < len(limits.late_share) else 0.0
                    part = in_time(self.work[m] / speed, wait, told.soft_deadline)
                    earned[m] += good * (part + late * (1 - part))
                    met_in_all[m] += tried[m]
            for m in range(len(settings.methods)):
                # Where more tries were met than came, or fewer, their ends and starts lie in other periods.
                let_in = self.let_in(report, m)
                if met_in_all[m]:
                    row[2 * m + 1] = min(row[2 * m], earned[m] / met_in_all[m] * let_in)
        return out

    def let_in(self, report: Report, method: int) -> float:
        """RPCs of a method that levels let in, of those wanted."""
        total, late = 0.0, self.delay
        for (slice_id, m), n in report.wanted.items():
            if m == method:
                steps = self.levels.get((slice_id, m))
                share = 1.0
                if steps:
                    spans = steps.between(report.since - late, report.until - late)
                    share = sum(p * v for p, v in spans) + (1 - sum(p for p, _ in spans))
                total += n * share
        return total


def limits_read(told: dict) -> Limits:
    """Limits from plain values, those of an older recording included."""
    return Limits(**{k: tuple(v) if isinstance(v, list | tuple) else v for k, v in told.items() if k in Limits._fields})


def worth(row: list[float], settings: Settings) -> tuple[float, float]:
    """Criticality asked for and earned, of a row of [asked, earned] by method."""
    pairs = list(zip(settings.methods, row[0::2], row[1::2]))
    return sum(m.criticality * a for m, a, _ in pairs), sum(m.criticality * e for m, _, e in pairs)
