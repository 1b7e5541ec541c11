"""A model of a day's demand and servers that answers a module with the reports that its tables would have met.

Owns one run: the module under some settings, the past as inferred, RPCs one by one on servers with cores and queues.
All it says is simulated. The demand, the list, the proxies and what they reach stay as recorded, whatever the tables;
it must never let what the recorded tables brought about leak into the answer to others.
"""

import heapq
from bisect import bisect
from collections.abc import Callable, Iterator
from itertools import accumulate
from random import Random
from typing import NamedTuple

from knotwalk.decide import Conductor
from knotwalk.interface import Settings
from knotwalk.order_log import OrderLog
from knotwalk.replay.day_parts import SHAPE, Report
from knotwalk.replay.past import Past
from knotwalk.rules import RuleChecker, Violation

GIVE_UP = 5.0  # seconds that a client waits where the recording does not say: past most soft deadlines
WAIT_MOST = 8.0  # seconds of wait at which a server takes no more: its queues have some end
SEEN = 6.0  # seconds after which what was heard of a server's speed is old: trouble lasts some 10 s
SPAN = 10.0  # seconds by which service is told


class Run(NamedTuple):
    """What a run came to. Spans are SPAN seconds from the past's start."""

    service: dict[int, list[float]]  # by span: [asked, earned] by method
    tables: list[tuple[float, int, dict[str, float]]]  # each change: when ordered, slice, its lines from then on
    breaks: list[Violation]
    breaks_more: int
    messages: dict[int, int]  # by span: the most messages that a proxy got within the rules' span
    used: dict[int, dict[str, float]]  # by span: utilization by server
    moves: int  # lines ordered
    unseen: float  # share of RPCs sent to servers whose speed then was not heard of


class Server:
    """A server in the model."""

    __slots__ = ("id", "host", "free", "busy", "met", "cores")

    def __init__(self, id: str, past: Past):
        self.id, self.host = id, past.hosts[id]
        self.cores = max(1, round(self.host.size))
        self.free = [0.0] * self.cores
        self.busy = 0.0
        self.met: dict[str, list] = {}


class Failed(Exception):
    """The policy raised in a what-if; the text says where and what."""


class Model:
    """One run of a past. `settings` maps a life's recorded settings to those to try, `make` makes the module."""

    def __init__(
        self,
        past: Past,
        settings: Callable[[Settings], Settings],
        make: Callable[..., Conductor] = Conductor,
        seed: int = 0,
        tick: Callable[[float], None] = lambda now: None,
    ):
        self.past, self.change, self.make, self.seed, self.tick = past, settings, make, seed, tick
        self.random = Random(seed + 0.25)
        life = past.lives[0]
        self.recorded, self.limits = life.settings, life.limits
        self.settings = settings(life.settings)
        self.rules = RuleChecker(life.settings, life.limits)
        self.module: Conductor | None = None
        self.servers: dict[str, Server] = {}
        self.proxies: dict[int, float] = {}  # when the last message under way is taken in
        self.store: dict[int, dict[str, float]] = {}  # lines as ordered
        self.ours: set[int] = set()
        self.lines: dict[int, tuple] = {}  # as they are in effect
        self.levels: dict[tuple[int, int], float] = {}
        self.shut: set[str] = set()
        self.heap: list[tuple] = []
        self.count = self.moves = self.life = self.sent = self.unseen = 0
        self.service: dict[int, list[float]] = {}
        self.tables: list = []
        self.messages: dict[int, int] = {}
        self.used: dict[int, dict[str, float]] = {}
        self.zones = list(past.zones) or [""]
        self.zone_sums = list(accumulate(max(1, n) for n in past.zones.values())) or [1]
        self.usual = past.usual()
        self.delays = past.delays[:: max(1, len(past.delays) // 997)] or [self.recorded.message_delay]
        self.give_up = [*self.limits.give_up, *[GIVE_UP] * 99]
        self.late_share = [*self.limits.late_share, *[0.0] * 99]
        self.deadlines = [m.soft_deadline for m in self.recorded.methods]

    # --- the machinery ---

    def at(self, when: float, call: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.heap, (when, self.count, call))

    def run(self) -> Run:
        past = self.past
        starts = {life.at: life for life in past.lives}
        for at in starts:
            self.at(at, lambda at=at: self.begin(starts[at]))
        for at, world in past.fixed:
            self.at(at, lambda world=world: self.round(self.met_by(world)))
        for k, report in enumerate(past.reports):
            self.at(report.until, lambda k=k, report=report: self.close(k, report))
        for loss in past.losses:
            self.at(loss.since, lambda: None)
        for report in past.reports:
            self.tick(report.since)
            arrivals = self.arrivals(report)
            coming = next(arrivals, None)
            while coming is not None or self.heap and self.heap[0][0] <= report.until:
                if coming is not None and (not self.heap or coming[0] <= self.heap[0][0]):
                    self.rpc(*coming)
                    coming = next(arrivals, None)
                else:
                    self.step()
        while self.heap and self.heap[0][0] <= past.until:
            self.step()
        return Run(
            self.service,
            self.tables,
            self.rules.violations,
            self.rules.more_violations,
            self.messages,
            self.used,
            self.moves,
            self.unseen / max(1, self.sent),
        )

    def step(self) -> None:
        self.now, _, call = heapq.heappop(self.heap)
        call()

    def begin(self, life) -> None:
        """A life of the module begins, from what the store holds."""
        old, self.life = self.module, self.life + 1
        self.recorded, self.limits = life.settings, life.limits
        self.settings = self.change(life.settings)
        self.rules.update_settings(life.settings, life.limits)
        self.module = self.make(self.settings, life.seed + self.seed)
        if life.why != "start" and old is not None:
            from knotwalk.state import carry_over

            carry_over(old, self.module)
        elif life.why == "start":
            self.ours.clear()

    def met_by(self, world: list) -> list:
        """What the world told, with the store's lines as this run left them."""
        out, told_here = [], set()
        for name, f in world:
            if name == "given":
                out.append((name, f))
                if f[0] in self.store:  # its lines are the run's, not the recording's
                    told_here.add(f[0])
                    out += [("held", (f[0], server, weight)) for server, weight in self.store[f[0]].items()]
                else:
                    self.store[f[0]] = {}
                self.ours.add(f[0])
            elif name == "held":
                if f[0] in told_here:
                    continue
                if f[0] in self.store:
                    self.store[f[0]][f[1]] = f[2]
                    self.effect({f[0]: dict(self.store[f[0]])}, {}, [])
                out.append((name, f))
            else:
                if name == "taken":
                    self.ours.discard(f[0])
                elif name == "joined":
                    self.proxies[f[0]] = self.now
                elif name == "left":
                    self.proxies.pop(f[0], None)
                elif name == "listed":
                    for entry in f[2]:
                        self.server(entry[0])
                out.append((name, f))
        return out

    def server(self, id: str) -> Server | None:
        if id not in self.servers and id in self.past.hosts:
            self.servers[id] = Server(id, self.past)
        return self.servers.get(id)

    def round(self, inbox: list) -> None:
        if self.module is None:
            return
        out, now = OrderLog(), self.now
        try:
            self.module.decide(now, inbox, out)
        except Exception as fault:
            at = fault.__traceback__
            while at is not None and at.tb_next is not None:
                at = at.tb_next
            line = f" in line {at.tb_lineno}" if at else ""
            raise Failed(
                f"the decisions failed {now - self.past.since:.1f} s into the day{line}: "
                f"{type(fault).__name__}: {fault}"
            ) from None
        self.rules.feed(now, inbox, out.orders)
        changed: dict[int, dict[str, float]] = {}
        levels: dict[tuple[int, int], float] = {}
        shut: list[tuple[str, bool]] = []
        mark, life, lines = None, self.life, 0
        for name, f in out.orders:
            if name == "line":
                held = self.store.get(f[0])
                if held is not None and f[0] in self.ours:
                    held.pop(f[1], None)
                    if f[2]:
                        held[f[1]] = f[2]
                    changed[f[0]] = dict(held)
                lines += 1
            elif name == "admit":
                if f[0] is not None:
                    levels[f[0], f[1]] = f[2]
                lines += 1
            elif name == "withdraw":
                shut.append(f)
                lines += 1
            elif name == "receipt":
                mark = f[0]
            elif name == "wake":
                self.at(max(f[0], now), lambda: self.life == life and self.round([]))
        if not lines and mark is None:
            return
        self.moves += lines
        span = int((now - self.past.since) / SPAN)
        self.messages[span] = max(
            self.messages.get(span, 0), max((len(p.sent) for p in self.rules.proxies.values()), default=0)
        )
        for slice_id, held in changed.items():
            self.tables.append((now, slice_id, held))
        # One time of effect for all proxies, a receipt from each; messages to one proxy stay in order.
        at = now + self.past.delay
        self.at(at, lambda: self.effect(changed, levels, shut))
        if mark is not None:
            taken: dict[int, list[int]] = {}
            for proxy in list(self.proxies):
                due = max(self.proxies[proxy], now + self.random.choice(self.delays))
                self.proxies[proxy] = due
                taken.setdefault(int(due * 20), []).append(proxy)
            for tick, proxies in taken.items():
                self.at(
                    (tick + 1) / 20,
                    lambda proxies=proxies: (
                        self.life == life and self.round([("applied", (p, mark)) for p in proxies if p in self.proxies])
                    ),
                )

    def effect(self, changed: dict, levels: dict, shut: list) -> None:
        """Orders take effect at the proxies."""
        for slice_id, held in changed.items():
            self.lines[slice_id] = (list(held), list(accumulate(held.values()))) if held else ()
        self.levels.update(levels)
        for server, out in shut:
            (self.shut.add if out else self.shut.discard)(server)

    # --- RPCs ---

    def arrivals(self, report: Report) -> Iterator[tuple]:
        """The RPCs of a period, the same for whatever tables: (time, slice, method, zone, work, chance)."""
        r = Random(f"{self.seed}/{report.until}")
        since, span = report.since, report.until - report.since
        out = []
        for (slice_id, method), n in report.wanted.items():
            mean = self.past.work[method] if method < len(self.past.work) else 0.0
            for _ in range(n):
                out.append(
                    (
                        since + span * r.random(),
                        slice_id,
                        method,
                        bisect(self.zone_sums, r.random() * self.zone_sums[-1]),
                        r.gammavariate(SHAPE, mean / SHAPE),
                        r.random(),
                    )
                )
        out.sort()
        return iter(out)

    def rpc(self, t: float, slice_id: int, method: int, zone: int, work: float, chance: float) -> None:
        span = int((t - self.past.since) / SPAN)
        row = self.service.get(span)
        if row is None:
            row = self.service[span] = [0.0] * (2 * len(self.deadlines))
        row[2 * method] += 1
        lines = self.lines.get(slice_id)
        if lines is None:  # held by nobody that we heard of: as it stands in the recording
            held = self.past.tables[slice_id].at(t, None) if slice_id in self.past.tables else None
            lines = (list(held), list(accumulate(held.values()))) if held else ()
        if not lines or chance >= self.levels.get((slice_id, method), 1.0):
            return
        names, sums = lines
        name = names[bisect(sums, self.random.random() * sums[-1]) if len(names) > 1 else 0]
        if name in self.shut:
            open_names = [x for x in names if x not in self.shut]
            if not open_names:
                return
            name = self.random.choice(open_names)
        x = self.server(name)
        if x is None:
            return
        met = x.met.get(self.zones[zone])
        if met is None:
            met = x.met[self.zones[zone]] = [0, 0, 0.0]
        met[0] += 1
        host = x.host
        reach = host.reach.get(self.zones[zone])
        if not host.alive.at(t, True) or reach is not None and self.random.random() >= reach.at(t, 1.0):
            met[1] += 1
            return
        self.sent += 1
        self.unseen += t - host.speed.when(t) > SEEN
        speed = (host.speed.at(t) or (host.speed.values[0] if host.speed.values else self.usual)) * host.ramp(
            t, self.recorded
        )
        others = host.others.at(t, 0.0)
        rate = speed * max(0.05, 1 - others)
        free = x.free
        core = min(range(x.cores), key=free.__getitem__) if x.cores > 1 else 0
        wait = max(0.0, free[core] - t)
        if wait > WAIT_MOST:
            met[1] += 1
            return
        free[core] = t + wait + work / rate
        x.busy += work / rate
        latency = wait + work / speed
        if latency > self.give_up[method]:
            met[1] += 1
            return
        met[2] += latency
        row[2 * method + 1] += 1.0 if latency <= self.deadlines[method] else self.late_share[method]

    def close(self, k: int, report: Report) -> None:
        """A period is over: its sums come in when the recorded ones did."""
        now, span = self.now, report.until - report.since
        inbox: list = []
        used = self.used.setdefault(int((now - self.past.since) / SPAN), {})
        for x in self.servers.values():
            ahead = sum(max(0.0, free - now) for free in x.free)
            others = float(x.host.others.at(now, 0.0))
            busy = min(1.0, max(0.0, x.busy - ahead) / (x.cores * span))
            x.busy = ahead
            if not x.host.alive.at(now, True):
                x.free, x.busy = [0.0] * x.cores, 0.0
            used[x.id] = busy
            tries = sum(m[0] for m in x.met.values())
            load = {"utilization": min(1.0, busy), "qps": tries / span / max(0.05, 1 - others)}
            if not self.rate_told():
                del load["qps"]
            for zone, (tried, aborted, seconds) in x.met.items():
                good = tried - aborted
                inbox.append(
                    ("heard", (x.id, zone, span, tried, aborted, seconds / good if good else 0.0, load if good else {}))
                )
            x.met = {}
        inbox += [("wanted", (slice_id, method, span, n)) for (slice_id, method), n in report.wanted.items()]
        self.at(report.at, lambda: self.round(inbox))

    def rate_told(self) -> bool:
        """Whether servers tell their rate at this installation."""
        for report in self.past.reports[:20]:
            for met in report.met.values():
                if met.used is not None:
                    return met.rate is not None
        return False
