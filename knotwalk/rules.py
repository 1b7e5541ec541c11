"""A checker of the rules: finds violations from orders, receipts, the server list and the settings.

    Rule 1: no slice is without a usable line for longer than a limit.
    Rule 2: a method that is not idempotent is never retried but on proof that the first try never ran.
    Rule 3: sending to a server that drains (or is gone, by the settings) stops within the grace.
    Rule 4: a cold server is not given so many times its capacity, for so long, that it falls over.
    Rule 5: the lines that wait in the channel, and the messages to a proxy within a span, stay under their caps.

Owns no decision and shares none of the policy's bookkeeping: it keeps its own account of every table and message. It
sees only what a conductor sees, so a violation is `sure` where that alone proves it and likely otherwise, since what
proxies do between an order and its receipt is not seen. Rule 4 needs an estimate, the others follow the tables.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from knotwalk.interface import Settings


class Limits(NamedTuple):
    """The rules' limits that are not in the settings, as no decision needs them; 0 or empty: not checked."""

    unserved_most: float = 0.0  # rule 1: the most seconds without a line
    grace: float = 0.0  # rules 3 and 4: seconds until sending must have stopped
    once: tuple[int, ...] = ()  # rule 2: indices of the methods that are not idempotent
    tip_multiple: float = 0.0  # rule 4: the multiple of its capacity
    fall_time: float = 0.0  # and the seconds at it after which a cold server falls over
    give_up: tuple[float, ...] = ()  # by method: seconds that a client waits
    late_share: tuple[float, ...] = ()  # by method: the share of criticality that a late answer earns


class Violation(NamedTuple):
    """A violation of a rule, certain or likely."""

    at: float
    rule: int
    whom: str  # the proxy, slice, server, method or channel concerned
    what: str  # with the measured value and the limit
    sure: bool  # proved; else likely


class Table:
    """One slice's table as ordered."""

    __slots__ = ("lines", "given_at", "unserved_since", "unserved_reported")

    def __init__(self, given_at: float):
        self.lines: dict[str, float] = {}
        self.given_at = given_at
        self.unserved_since: float | None = given_at
        self.unserved_reported = False


class ServerRecord:
    """A server by the list and the orders."""

    __slots__ = (
        "state",
        "size",
        "started",
        "leaving_since",
        "drain_checked",
        "slices",
        "withdrawn",
        "removed_by",
        "overloaded_since",
    )

    def __init__(self) -> None:
        self.state, self.size, self.started = "ready", 1.0, 0.0
        self.leaving_since: float | None = None  # since when rule 3 holds for it
        self.drain_checked = False  # rule 3 has been checked for this drain
        self.slices: set[int] = set()  # whose tables name it
        self.withdrawn = False
        self.removed_by: int | None = None  # number of the message that removed it from the last table
        self.overloaded_since: float | None = None  # -inf: already reported


class Proxy:
    """A proxy and the messages sent to it."""

    __slots__ = ("joined_at", "sent", "applied")

    def __init__(self, joined_at: float, applied: int):
        self.joined_at = joined_at
        self.sent: deque[float] = deque()  # times, over the last span
        self.applied = applied  # number of the last message that it is known to have applied


RECENT_S = 8.0  # of demand for rule 4's estimate: as long as it takes to be steady
MAX_VIOLATIONS = 1000  # kept; further ones are only counted


class RuleChecker:
    """Is fed each round after it was decided. `violations` has what was found and is never corrected later."""

    def __init__(self, settings: Settings, limits: Limits, broadcast: bool = True):
        # `broadcast`: a round's orders reach every proxy as one message; else the caller reports each message with
        # record_message().
        self.settings, self.limits, self.broadcast = settings, limits, broadcast
        self.violations: list[Violation] = []
        self.more_violations = 0  # beyond MAX_VIOLATIONS
        self.slices: dict[int, Table] = {}
        self.servers: dict[str, ServerRecord] = {}
        self.proxies: dict[int, Proxy] = {}
        self.message = 0  # number of the last one
        self.marks: dict[int, int] = {}  # message by receipt mark
        # (number, time, lines, proxies that have yet to apply it)
        self.in_flight: deque[tuple[int, float, float, set[int]]] = deque()
        self.receipts_lost_at: float | None = None  # None once a receipt has come again
        self.leaving: set[str] = set()  # servers to check for rule 3
        self.unserved: set[int] = set()  # slices to check for rule 1
        self.cold: set[str] = set()  # servers to check for rule 4
        self.demand: dict[int, deque] = {}  # by slice: (time, work a second)
        self.used: dict[str, tuple[float, float]] = {}  # time and utilization, as last reported
        self.max_waiting_lines = 0.0
        self.max_messages_sent = 0  # messages to a proxy within the span

    def add_violation(self, at: float, rule: int, whom: str, what: str, sure: bool) -> None:
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(Violation(at, rule, whom, what, sure))
        else:
            self.more_violations += 1

    def restart(self) -> None:
        """A new incarnation of the process: streams, tables and receipts begin anew; the findings stay."""
        findings = self.violations, self.more_violations, self.max_waiting_lines, self.max_messages_sent
        self.__init__(self.settings, self.limits, self.broadcast)  # type: ignore[misc]
        self.violations, self.more_violations, self.max_waiting_lines, self.max_messages_sent = findings

    def update_settings(self, settings: Settings, limits: Limits) -> None:
        """A reload: other settings and limits from now on; tables and messages stay."""
        self.settings, self.limits = settings, limits

    def feed(self, now: float, inbox: Iterable, orders: Iterable) -> None:
        """Check one round: its inbox and its orders, as (name, arguments)."""
        for name, arguments in inbox:
            handler = getattr(self, f"on_{name}", None)
            if handler:
                handler(now, *arguments)
        self.apply_orders(now, orders)
        self.check_due(now)

    # --- inbox ---

    def on_listed(self, now: float, full: bool, _cached: bool, entries: list) -> None:
        if full:
            named = {entry[0] for entry in entries}
            entries = [
                *entries,
                *(
                    (name, "", "gone", known.size, known.started)
                    for name, known in self.servers.items()
                    if name not in named
                ),
            ]
        for id, _zone, state, size, started in entries:
            record = self.servers.get(id)
            if record is None:
                if state == "gone":
                    continue
                record = self.servers[id] = ServerRecord()
            must_leave = state == "draining" or state == "gone" and not self.settings.dropped_stay_open
            if not must_leave:
                record.leaving_since, record.drain_checked = None, False
                self.leaving.discard(id)
            elif record.leaving_since is None:
                record.leaving_since, record.drain_checked = now, False
                self.leaving.add(id)
            if started > record.started:
                self.cold.add(id)
            record.state, record.size, record.started = state, size or 1.0, started
            if state == "gone" and not record.slices and not must_leave:
                del self.servers[id]

    def on_joined(self, now: float, proxy: int) -> None:
        # A proxy that joins reads the store, so it holds all orders so far; messages count from here. One that joins
        # again without having left is reported to a new module in the same process: its stream goes on.
        if proxy not in self.proxies:
            self.proxies[proxy] = Proxy(now, self.message)

    def on_left(self, _now: float, proxy: int) -> None:
        self.proxies.pop(proxy, None)
        for *_, pending in self.in_flight:
            pending.discard(proxy)

    def on_given(self, now: float, slice_id: int) -> None:
        self.on_taken(now, slice_id)
        self.slices[slice_id] = Table(now)
        self.unserved.add(slice_id)

    def on_taken(self, _now: float, slice_id: int) -> None:
        table = self.slices.pop(slice_id, None)
        for server in table.lines if table else ():
            self.servers[server].slices.discard(slice_id)
        self.unserved.discard(slice_id)
        self.demand.pop(slice_id, None)

    def on_held(self, now: float, slice_id: int, server: str, weight: float) -> None:
        if slice_id in self.slices:
            self.line(now, slice_id, server, weight)

    def on_wanted(self, now: float, slice_id: int, method: int, span: float, rpcs: int) -> None:
        if slice_id in self.slices and self.cold:
            cost = self.settings.methods[method].soft_deadline
            self.demand.setdefault(slice_id, deque()).append((now, rpcs * cost / max(span, 0.1)))

    def on_heard(
        self,
        now: float,
        server: str,
        _zone: str,
        _span: float,
        _tries: int,
        _aborted: int,
        _latency: float,
        load: Mapping[str, float],
    ) -> None:
        if "utilization" in load:
            self.used[server] = now, load["utilization"]

    def on_applied(self, _now: float, proxy: int, mark: int) -> None:
        number = self.marks.get(mark)
        if number is None or proxy not in self.proxies:
            return
        self.receipts_lost_at = None
        self.proxies[proxy].applied = max(self.proxies[proxy].applied, number)
        for k, _, _, pending in self.in_flight:  # messages are applied in order
            if k > number:
                break
            pending.discard(proxy)
        while self.in_flight and not self.in_flight[0][3]:
            self.in_flight.popleft()

    def on_receipts_lost(self, now: float) -> None:
        self.receipts_lost_at = now if self.receipts_lost_at is None else self.receipts_lost_at

    # --- orders ---

    def line(self, now: float, slice_id: int, server: str, weight: float) -> None:
        table = self.slices[slice_id]
        record = self.servers.get(server)
        if record is None:
            record = self.servers[server] = ServerRecord()
        if weight:
            table.lines[server] = weight
            record.slices.add(slice_id)
            record.removed_by = None
        else:
            table.lines.pop(server, None)
            record.slices.discard(slice_id)
        self.unserved.add(slice_id)

    def apply_orders(self, now: float, orders: Iterable) -> None:
        lines, mark, first = 0, None, self.message + 1
        dropped: set[str] = set()
        for name, arguments in orders:
            if name == "line":
                lines += 1
                if arguments[0] in self.slices:
                    self.line(now, *arguments)
                    if not arguments[2]:
                        dropped.add(arguments[1])
            elif name == "admit":
                lines += 1
                slice_id, method, share, retry = arguments
                if retry >= 2 and method in self.limits.once:
                    self.add_violation(
                        now,
                        2,
                        f"method {method}",
                        f"retried after any failure (mode {retry}), but must not run twice",
                        True,
                    )
                if not 0 <= share <= 1:
                    self.add_violation(
                        now, 5, f"slice {slice_id}", f"admitted share is {share}, 0 to 1 are allowed", True
                    )
            elif name == "withdraw":
                lines += 1
                if arguments[0] in self.servers:
                    self.servers[arguments[0]].withdrawn = arguments[1]
                    if arguments[1]:
                        dropped.add(arguments[0])
                    self.unserved.update(self.servers[arguments[0]].slices)
            elif name == "receipt":
                mark = arguments[0]
        if not lines and mark is None:
            return
        self.message = first
        if mark is not None:
            self.marks[mark] = first
            while len(self.marks) > 4096:
                del self.marks[next(iter(self.marks))]
        for server in dropped:
            record = self.servers[server]
            if record.withdrawn or not record.slices:
                record.removed_by = first
        if self.proxies and self.broadcast:
            self.record_message(now, set(self.proxies), lines)

    def record_message(self, now: float, proxies: set[int], lines: float) -> int:
        """Record a message of so many lines to these proxies; returns its number, for record_applied()."""
        settings = self.settings
        if not self.broadcast:
            self.message += 1
        self.in_flight.append((self.message, now, lines + settings.lines_per_message, set(proxies)))
        for id in proxies:
            if id not in self.proxies:
                self.add_violation(now, 5, f"proxy {id}", "got a message without having joined", True)
                continue
            sent = self.proxies[id].sent
            while sent and sent[0] <= now - settings.messages_span:
                sent.popleft()
            sent.append(now)
            self.max_messages_sent = max(self.max_messages_sent, len(sent))
            if settings.messages_most and len(sent) > settings.messages_most:
                self.add_violation(
                    now,
                    5,
                    f"proxy {id}",
                    f"{len(sent)} messages within {settings.messages_span:g} s, {settings.messages_most} are allowed",
                    True,
                )
        waiting = self.waiting(now)
        self.max_waiting_lines = max(self.max_waiting_lines, waiting)
        if settings.lines_waiting_most and waiting > settings.lines_waiting_most:
            self.add_violation(
                now,
                5,
                "the channel",
                f"{waiting:.0f} lines wait, {settings.lines_waiting_most:.0f} are allowed",
                self.receipts_lost_at is None,
            )

        return self.message

    def record_applied(self, proxy: int, number: int) -> None:
        """A proxy has applied a message that was recorded by record_message()."""
        for k, _, _, pending in self.in_flight:
            if k == number:
                pending.discard(proxy)
        while self.in_flight and not self.in_flight[0][3]:
            self.in_flight.popleft()

    def waiting(self, now: float) -> float:
        """Lines that are not known to have left the channel. While receipts are lost, lines are assumed to have left
        at the channel's usual rate since."""
        total = sum(lines * len(pending) for _, _, lines, pending in self.in_flight)
        if self.receipts_lost_at is not None:
            total = max(0.0, total - self.settings.lines_rate * (now - self.receipts_lost_at))
        return total

    # --- checks at a time ---

    def check_due(self, now: float) -> None:
        if self.unserved:
            self.rule_1(now)
        if self.leaving:
            self.rule_3(now)
        if self.cold:
            self.rule_4(now)

    def is_usable(self, server: str) -> bool:
        record = self.servers[server]
        return not record.withdrawn

    def has_warm_server(self, now: float) -> bool:
        return any(
            x.state == "ready" and not x.withdrawn and now >= x.started + self.settings.cold_time
            for x in self.servers.values()
        )

    def rule_1(self, now: float) -> None:
        limit = self.limits.unserved_most
        for slice_id in list(self.unserved):
            table = self.slices[slice_id]
            if any(self.is_usable(x) for x in table.lines):
                table.unserved_since, table.unserved_reported = None, False
                self.unserved.discard(slice_id)
                continue
            if table.unserved_since is None:
                table.unserved_since = now
            joined = [p.joined_at for p in self.proxies.values()]
            if not (limit and joined and self.has_warm_server(now)):
                table.unserved_since = now  # no proxy lacks a line, or no warm server could have it
            elif not table.unserved_reported and now - max(table.unserved_since, min(joined)) > limit:
                table.unserved_reported = True
                self.add_violation(
                    now,
                    1,
                    f"slice {slice_id}",
                    f"no line for {now - table.unserved_since:.2f} s, {limit:g} s are allowed",
                    True,
                )

    def rule_3(self, now: float) -> None:
        grace = self.limits.grace
        for id in list(self.leaving):
            record = self.servers[id]
            if not grace or record.drain_checked or record.leaving_since is None or now <= record.leaving_since + grace:
                continue
            record.drain_checked = True
            self.leaving.discard(id)
            late = [k for k in record.slices if now > self.slices[k].given_at + grace]
            if late and not record.withdrawn and any(now > p.joined_at + grace for p in self.proxies.values()):
                self.add_violation(
                    now,
                    3,
                    f"server {id}",
                    f"still in the tables of {len(late)} slices "
                    f"{now - record.leaving_since:.2f} s after it was listed as leaving, {grace:g} s are allowed",
                    True,
                )
            elif record.removed_by is not None and self.receipts_lost_at is None:
                behind = [
                    k for k, p in self.proxies.items() if p.applied < record.removed_by and now > p.joined_at + grace
                ]
                if behind:
                    self.add_violation(
                        now,
                        3,
                        f"server {id}",
                        f"{len(behind)} proxies, proxy {behind[0]} among them, had not acknowledged its removal "
                        f"{grace:g} s after it was listed as leaving",
                        False,
                    )
            if record.state == "gone" and not record.slices:
                del self.servers[id]
                self.used.pop(id, None)

    def rule_4(self, now: float) -> None:
        settings, limits = self.settings, self.limits
        self.cold = {k for k in self.cold if k in self.servers and now < self.servers[k].started + settings.cold_time}
        if not (self.cold and limits.tip_multiple and limits.fall_time and self.demand):
            return
        demand: dict[str, float] = {}  # by server: work a second
        for slice_id, rows in self.demand.items():
            while rows and rows[0][0] < now - RECENT_S:
                rows.popleft()
            lines = {k: w for k, w in self.slices[slice_id].lines.items() if self.is_usable(k)}
            total, work = sum(lines.values()), sum(w for _, w in rows) * settings.report_period / RECENT_S
            for server, weight in lines.items():
                demand[server] = demand.get(server, 0.0) + work * weight / total
        warm = [
            (k, record)
            for k, record in self.servers.items()
            if k not in self.cold and record.state == "ready" and k in self.used and self.used[k][0] > now - RECENT_S
        ]
        used = sum(self.used[k][1] * record.size for k, record in warm)
        if not used:
            return
        unit = sum(demand.get(k, 0.0) for k, _ in warm) / used  # capacity of a server of size 1, in work a second
        for id in self.cold:
            record = self.servers[id]
            share = settings.cold_share + (1 - settings.cold_share) * max(0.0, now - record.started) / max(
                settings.cold_time, 0.001
            )
            limit = limits.tip_multiple * unit * record.size * min(1.0, share)
            if demand.get(id, 0.0) <= limit:
                record.overloaded_since = None
            elif record.overloaded_since is None:
                record.overloaded_since = now
            elif record.overloaded_since >= 0 and now - record.overloaded_since > limits.fall_time:
                record.overloaded_since = float("-inf")  # reported once
                self.add_violation(
                    now,
                    4,
                    f"server {id}",
                    f"given {demand[id]:.2f} of work a second while cold, about {limit:.2f} is what it can take",
                    False,
                )
