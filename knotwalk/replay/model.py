"""Simulates a recorded day under other settings: answers a policy with the reports that its tables would have caused.

A run combines the policy under some settings with the inferred day, and simulates each RPC on servers with cores and
queues. Demand, server list, proxies and reachability stay as recorded, whatever the tables. Effects of the recorded
tables must never leak into the results for other tables.
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
from knotwalk.replay.inference import InferredDay
from knotwalk.replay.timeline import WORK_GAMMA_SHAPE, Report
from knotwalk.rules import RuleChecker, Violation

CLIENT_TIMEOUT_S = 5.0  # assumed where the recording states none; longer than most soft deadlines
MAX_QUEUE_WAIT_S = 8.0  # a server rejects RPCs that would wait longer: its queues are bounded
SPEED_VALID_S = 6.0  # after this an observed speed is out of date: faults last about 10 s
BUCKET_S = 10.0  # results are given for intervals of this length


class Run(NamedTuple):
    """The results of a run. Buckets are intervals of BUCKET_S, counted from the start of the day."""

    service: dict[int, list[float]]  # by bucket: [requested, earned] RPCs of each method
    tables: list[tuple[float, int, dict[str, float]]]  # each change: (time of the order, slice, its lines)
    breaks: list[Violation]
    breaks_more: int
    messages: dict[int, int]  # by bucket: most messages to one proxy within the rules' time window
    used: dict[int, dict[str, float]]  # by bucket: utilization by server
    moves: int  # number of line, admit and withdraw orders
    unseen: float  # share of RPCs sent to servers without a recent speed


class Server:
    """A simulated server."""

    __slots__ = ("id", "history", "free_at", "busy", "sums_by_zone", "cores")

    def __init__(self, id: str, inferred: InferredDay):
        self.id, self.history = id, inferred.server_histories[id]
        self.cores = max(1, round(self.history.size))
        self.free_at = [0.0] * self.cores  # by core: when its queue is empty
        self.busy = 0.0  # core seconds of work accepted, including work carried over from the last period
        self.sums_by_zone: dict[str, list] = {}  # by the proxies' zone: [tries, aborted, latency sum]


class PolicyFailedError(Exception):
    """The policy raised an exception or took too long in a what-if; the message says where."""


class Model:
    """One run of a day. `settings` maps a life's recorded settings to those to try; `make` creates the policy."""

    def __init__(
        self,
        inferred: InferredDay,
        settings: Callable[[Settings], Settings],
        make: Callable[..., Conductor] = Conductor,
        seed: int = 0,
        tick: Callable[[float], None] = lambda now: None,
    ):
        self.inferred, self.map_settings, self.make, self.seed, self.tick = inferred, settings, make, seed, tick
        self.random = Random(seed + 0.25)
        life = inferred.lives[0]
        self.recorded_settings, self.limits = life.settings, life.limits
        self.settings = settings(life.settings)
        self.rules = RuleChecker(life.settings, life.limits)
        self.module: Conductor | None = None
        self.servers: dict[str, Server] = {}
        self.proxies: dict[int, float] = {}  # by proxy: when it will have applied the last message sent
        self.ordered_lines: dict[int, dict[str, float]] = {}  # by slice: lines as ordered
        self.own_slices: set[int] = set()
        self.effective_lines: dict[int, tuple] = {}  # by slice: (servers, cumulated weights) in effect
        self.levels: dict[tuple[int, int], float] = {}
        self.withdrawn: set[str] = set()
        self.event_queue: list[tuple] = []
        self.event_count = self.moves = self.life = self.sent = self.unseen = 0
        self.service: dict[int, list[float]] = {}
        self.tables: list = []
        self.messages: dict[int, int] = {}
        self.used: dict[int, dict[str, float]] = {}
        self.zones = list(inferred.zones) or [""]
        self.zone_sums = list(accumulate(max(1, count) for count in inferred.zones.values())) or [1]
        self.mean_speed = inferred.mean_speed()
        self.delays = inferred.delays[:: max(1, len(inferred.delays) // 997)] or [self.recorded_settings.message_delay]
        self.give_up = [*self.limits.give_up, *[CLIENT_TIMEOUT_S] * 99]
        self.late_share = [*self.limits.late_share, *[0.0] * 99]
        self.deadlines = [m.soft_deadline for m in self.recorded_settings.methods]

    # --- event loop ---

    def schedule(self, when: float, call: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.event_queue, (when, self.event_count, call))

    def run(self) -> Run:
        inferred = self.inferred
        lives_by_start = {life.at: life for life in inferred.lives}
        for at in lives_by_start:
            self.schedule(at, lambda at=at: self.start_life(lives_by_start[at]))
        for at, external_input in inferred.external_events:
            self.schedule(at, lambda external_input=external_input: self.run_round(self.external_inbox(external_input)))
        for index, report in enumerate(inferred.reports):
            self.schedule(report.until, lambda index=index, report=report: self.close_period(index, report))
        for loss in inferred.losses:
            self.schedule(loss.since, lambda: None)
        for report in inferred.reports:
            self.tick(report.since)
            arrivals = self.arrivals(report)
            arrival = next(arrivals, None)
            while arrival is not None or self.event_queue and self.event_queue[0][0] <= report.until:
                if arrival is not None and (not self.event_queue or arrival[0] <= self.event_queue[0][0]):
                    self.send_rpc(*arrival)
                    arrival = next(arrivals, None)
                else:
                    self.step()
        while self.event_queue and self.event_queue[0][0] <= inferred.until:
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
        self.now, _, call = heapq.heappop(self.event_queue)
        call()

    def start_life(self, life) -> None:
        """Create the policy object of a life; on a reload or failure it carries over state."""
        old, self.life = self.module, self.life + 1
        self.recorded_settings, self.limits = life.settings, life.limits
        self.settings = self.map_settings(life.settings)
        self.rules.update_settings(life.settings, life.limits)
        self.module = self.make(self.settings, life.seed + self.seed)
        if life.why != "start" and old is not None:
            from knotwalk.state import carry_over

            carry_over(old, self.module)
        elif life.why == "start":
            self.own_slices.clear()

    def external_inbox(self, external_input: list) -> list:
        """Recorded external input, with the lines of this run in place of the recorded ones."""
        inbox, restored_slices = [], set()
        for name, arguments in external_input:
            if name == "given":
                inbox.append((name, arguments))
                if arguments[0] in self.ordered_lines:  # use the lines of this run, not the recorded ones
                    restored_slices.add(arguments[0])
                    inbox += [
                        ("held", (arguments[0], server, weight))
                        for server, weight in self.ordered_lines[arguments[0]].items()
                    ]
                else:
                    self.ordered_lines[arguments[0]] = {}
                self.own_slices.add(arguments[0])
            elif name == "held":
                if arguments[0] in restored_slices:
                    continue
                if arguments[0] in self.ordered_lines:
                    self.ordered_lines[arguments[0]][arguments[1]] = arguments[2]
                    self.apply_orders({arguments[0]: dict(self.ordered_lines[arguments[0]])}, {}, [])
                inbox.append((name, arguments))
            else:
                if name == "taken":
                    self.own_slices.discard(arguments[0])
                elif name == "joined":
                    self.proxies[arguments[0]] = self.now
                elif name == "left":
                    self.proxies.pop(arguments[0], None)
                elif name == "listed":
                    for entry in arguments[2]:
                        self.server(entry[0])
                inbox.append((name, arguments))
        return inbox

    def server(self, id: str) -> Server | None:
        if id not in self.servers and id in self.inferred.server_histories:
            self.servers[id] = Server(id, self.inferred)
        return self.servers.get(id)

    def run_round(self, inbox: list) -> None:
        if self.module is None:
            return
        order_log, now = OrderLog(), self.now
        try:
            self.module.decide(now, inbox, order_log)
        except Exception as error:
            traceback = error.__traceback__
            while traceback is not None and traceback.tb_next is not None:
                traceback = traceback.tb_next
            line = f" in line {traceback.tb_lineno}" if traceback else ""
            raise PolicyFailedError(
                f"the decisions failed {now - self.inferred.since:.1f} s into the day{line}: "
                f"{type(error).__name__}: {error}"
            ) from None
        self.rules.feed(now, inbox, order_log.orders)
        changed_lines: dict[int, dict[str, float]] = {}
        levels: dict[tuple[int, int], float] = {}
        withdrawals: list[tuple[str, bool]] = []
        receipt_mark, life, lines = None, self.life, 0
        for name, arguments in order_log.orders:
            if name == "line":
                slice_lines = self.ordered_lines.get(arguments[0])
                if slice_lines is not None and arguments[0] in self.own_slices:
                    slice_lines.pop(arguments[1], None)
                    if arguments[2]:
                        slice_lines[arguments[1]] = arguments[2]
                    changed_lines[arguments[0]] = dict(slice_lines)
                lines += 1
            elif name == "admit":
                if arguments[0] is not None:
                    levels[arguments[0], arguments[1]] = arguments[2]
                lines += 1
            elif name == "withdraw":
                withdrawals.append(arguments)
                lines += 1
            elif name == "receipt":
                receipt_mark = arguments[0]
            elif name == "wake":
                self.schedule(max(arguments[0], now), lambda: self.life == life and self.run_round([]))
        if not lines and receipt_mark is None:
            return
        self.moves += lines
        bucket = int((now - self.inferred.since) / BUCKET_S)
        self.messages[bucket] = max(
            self.messages.get(bucket, 0), max((len(p.sent) for p in self.rules.proxies.values()), default=0)
        )
        for slice_id, slice_lines in changed_lines.items():
            self.tables.append((now, slice_id, slice_lines))
        # Orders take effect at all proxies at once; each proxy sends its own receipt, in the order of its messages.
        at = now + self.inferred.delay
        self.schedule(at, lambda: self.apply_orders(changed_lines, levels, withdrawals))
        if receipt_mark is not None:
            receipts: dict[int, list[int]] = {}
            for proxy in list(self.proxies):
                due = max(self.proxies[proxy], now + self.random.choice(self.delays))
                self.proxies[proxy] = due
                receipts.setdefault(int(due * 20), []).append(proxy)
            for tick, proxies in receipts.items():
                self.schedule(
                    (tick + 1) / 20,
                    lambda proxies=proxies: (
                        self.life == life
                        and self.run_round([("applied", (p, receipt_mark)) for p in proxies if p in self.proxies])
                    ),
                )

    def apply_orders(self, changed_lines: dict, levels: dict, withdrawals: list) -> None:
        """Apply orders at the proxies."""
        for slice_id, slice_lines in changed_lines.items():
            self.effective_lines[slice_id] = (
                (list(slice_lines), list(accumulate(slice_lines.values()))) if slice_lines else ()
            )
        self.levels.update(levels)
        for server, is_withdrawn in withdrawals:
            (self.withdrawn.add if is_withdrawn else self.withdrawn.discard)(server)

    # --- RPCs ---

    def arrivals(self, report: Report) -> Iterator[tuple]:
        """The RPCs of a period as (time, slice, method, zone, work, admission draw), independent of the tables."""
        random = Random(f"{self.seed}/{report.until}")
        since, span = report.since, report.until - report.since
        rpcs = []
        for (slice_id, method), count in report.wanted.items():
            mean = self.inferred.method_costs[method] if method < len(self.inferred.method_costs) else 0.0
            for _ in range(count):
                rpcs.append(
                    (
                        since + span * random.random(),
                        slice_id,
                        method,
                        bisect(self.zone_sums, random.random() * self.zone_sums[-1]),
                        random.gammavariate(WORK_GAMMA_SHAPE, mean / WORK_GAMMA_SHAPE),
                        random.random(),
                    )
                )
        rpcs.sort()
        return iter(rpcs)

    def send_rpc(self, now: float, slice_id: int, method: int, zone: int, work: float, admission_draw: float) -> None:
        bucket = int((now - self.inferred.since) / BUCKET_S)
        row = self.service.get(bucket)
        if row is None:
            row = self.service[bucket] = [0.0] * (2 * len(self.deadlines))
        row[2 * method] += 1
        lines = self.effective_lines.get(slice_id)
        if lines is None:  # no table ordered or received in this run: use the recorded one
            slice_lines = (
                self.inferred.tables[slice_id].value_at(now, None) if slice_id in self.inferred.tables else None
            )
            lines = (list(slice_lines), list(accumulate(slice_lines.values()))) if slice_lines else ()
        if not lines or admission_draw >= self.levels.get((slice_id, method), 1.0):
            return
        names, cumulated_weights = lines
        name = names[bisect(cumulated_weights, self.random.random() * cumulated_weights[-1]) if len(names) > 1 else 0]
        if name in self.withdrawn:
            open_names = [x for x in names if x not in self.withdrawn]
            if not open_names:
                return
            name = self.random.choice(open_names)
        server = self.server(name)
        if server is None:
            return
        sums = server.sums_by_zone.get(self.zones[zone])
        if sums is None:
            sums = server.sums_by_zone[self.zones[zone]] = [0, 0, 0.0]
        sums[0] += 1
        history = server.history
        reach = history.reachable_share.get(self.zones[zone])
        if (
            not history.alive.value_at(now, True)
            or reach is not None
            and self.random.random() >= reach.value_at(now, 1.0)
        ):
            sums[1] += 1
            return
        self.sent += 1
        self.unseen += now - history.speed.changed_at(now) > SPEED_VALID_S
        speed = (
            history.speed.value_at(now) or (history.speed.values[0] if history.speed.values else self.mean_speed)
        ) * history.capacity_share(now, self.recorded_settings)
        other_utilization = history.other_utilization.value_at(now, 0.0)
        rate = speed * max(0.05, 1 - other_utilization)
        free_at = server.free_at
        core = min(range(server.cores), key=free_at.__getitem__) if server.cores > 1 else 0
        wait = max(0.0, free_at[core] - now)
        if wait > MAX_QUEUE_WAIT_S:
            sums[1] += 1
            return
        free_at[core] = now + wait + work / rate
        server.busy += work / rate
        latency = wait + work / speed
        if latency > self.give_up[method]:
            sums[1] += 1
            return
        sums[2] += latency
        row[2 * method + 1] += 1.0 if latency <= self.deadlines[method] else self.late_share[method]

    def close_period(self, index: int, report: Report) -> None:
        """End a period: its sums are delivered when the recorded ones were."""
        now, span = self.now, report.until - report.since
        inbox: list = []
        used = self.used.setdefault(int((now - self.inferred.since) / BUCKET_S), {})
        for server in self.servers.values():
            ahead = sum(max(0.0, free_at - now) for free_at in server.free_at)
            other_utilization = float(server.history.other_utilization.value_at(now, 0.0))
            busy = min(1.0, max(0.0, server.busy - ahead) / (server.cores * span))
            server.busy = ahead
            if not server.history.alive.value_at(now, True):
                server.free_at, server.busy = [0.0] * server.cores, 0.0
            used[server.id] = busy
            tries = sum(m[0] for m in server.sums_by_zone.values())
            load = {"utilization": min(1.0, busy), "qps": tries / span / max(0.05, 1 - other_utilization)}
            if not self.servers_report_qps():
                del load["qps"]
            for zone, (tried, aborted, seconds) in server.sums_by_zone.items():
                answered = tried - aborted
                inbox.append(
                    (
                        "heard",
                        (
                            server.id,
                            zone,
                            span,
                            tried,
                            aborted,
                            seconds / answered if answered else 0.0,
                            load if answered else {},
                        ),
                    )
                )
            server.sums_by_zone = {}
        inbox += [("wanted", (slice_id, method, span, count)) for (slice_id, method), count in report.wanted.items()]
        self.schedule(report.at, lambda: self.run_round(inbox))

    def servers_report_qps(self) -> bool:
        """Whether servers report their request rate in this recording."""
        for report in self.inferred.reports[:20]:
            for sums in report.server_stats.values():
                if sums.utilization is not None:
                    return sums.qps is not None
        return False
