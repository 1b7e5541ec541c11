"""The rules as a checker: from orders, receipts, the list and the settings, when and for whom one would have broken.

Owns no decision and shares none of the policy's bookkeeping: it keeps its own account of every table and message. It
sees what a conductor sees and no more, so a break is `sure` where that alone proves it, and else likely: what proxies
did between an order and its receipt is not seen. Rules 1, 2, 3 and 5 follow the tables; rule 4 needs an estimate.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from knotwalk.interface import Settings


class Limits(NamedTuple):
    """What a day is judged by beside the settings, and no decision needs; 0 or empty: not told, not judged."""

    unserved_most: float = 0.0  # rule 1: seconds without a line
    grace: float = 0.0  # rules 3 and 4: seconds until sending stops
    once: tuple[int, ...] = ()  # rule 2: the methods that are not idempotent, by place
    tip_multiple: float = 0.0  # rule 4: times its capacity, over
    fall_time: float = 0.0  # so many seconds, at which a cold server falls
    give_up: tuple[float, ...] = ()  # by method: seconds that a client waits
    late_share: tuple[float, ...] = ()  # by method: what an answer past its soft deadline still earns


class Break(NamedTuple):
    """A rule that was broken, or was likely to be."""

    at: float
    rule: int
    whom: str  # proxy, slice, server or method
    what: str  # with the count and the limit
    sure: bool


class Table:
    """What the proxies are told for one slice."""

    __slots__ = ("lines", "given_at", "bare_since", "told_bare")

    def __init__(self, given_at: float):
        self.lines: dict[str, float] = {}
        self.given_at = given_at
        self.bare_since: float | None = given_at
        self.told_bare = False


class Listed:
    """A server as the list and the orders have it."""

    __slots__ = ("state", "size", "started", "left_at", "judged", "slices", "shut", "off_at", "full_since")

    def __init__(self) -> None:
        self.state, self.size, self.started = "ready", 1.0, 0.0
        self.left_at: float | None = None  # since when it must be left
        self.judged = False  # whether its drain has been judged
        self.slices: set[int] = set()  # whose tables name it
        self.shut = False
        self.off_at: int | None = None  # the message that took it out of the last table
        self.full_since: float | None = None


class Proxy:
    """A proxy and the messages that it has been sent."""

    __slots__ = ("joined_at", "sent", "took")

    def __init__(self, joined_at: float, took: int):
        self.joined_at = joined_at
        self.sent: deque[float] = deque()  # times, over the last span
        self.took = took  # the last message that it is known to have taken in


RECENT = 8.0  # seconds of demand that rule 4's estimate rests on, as long as it takes to be steady
MOST = 1000  # breaks kept whole; the rest is counted


class Rules:
    """Fed each round after it was decided. `breaks` has what was found; nothing is ever taken back."""

    def __init__(self, settings: Settings, limits: Limits, broadcast: bool = True):
        # Whether a round's orders reach every proxy as one message; else the front tells of each by message().
        self.settings, self.limits, self.broadcast = settings, limits, broadcast
        self.breaks: list[Break] = []
        self.more = 0  # those past MOST
        self.slices: dict[int, Table] = {}
        self.servers: dict[str, Listed] = {}
        self.proxies: dict[int, Proxy] = {}
        self.message = 0  # number of the last one
        self.marks: dict[int, int] = {}  # message by receipt mark
        self.flight: deque[tuple[int, float, float, set[int]]] = deque()  # number, time, lines, proxies to come
        self.blind_since: float | None = None  # receipts were lost, and none has come since
        self.leaving: set[str] = set()
        self.bare: set[int] = set()
        self.cold: set[str] = set()
        self.demand: dict[int, deque] = {}
        self.used: dict[str, tuple[float, float]] = {}  # time and utilization, as last reported
        self.waited_most = 0.0
        self.sent_most = 0  # messages to a proxy within the span

    def broke(self, at: float, rule: int, whom: str, what: str, sure: bool) -> None:
        if len(self.breaks) < MOST:
            self.breaks.append(Break(at, rule, whom, what, sure))
        else:
            self.more += 1

    def start(self) -> None:
        """A new life of the program: streams, tables and receipts begin anew; what was found stands."""
        found = self.breaks, self.more, self.waited_most, self.sent_most
        self.__init__(self.settings, self.limits, self.broadcast)  # type: ignore[misc]
        self.breaks, self.more, self.waited_most, self.sent_most = found

    def follow(self, settings: Settings, limits: Limits) -> None:
        """A reload: other figures from now on; what was told and sent stands."""
        self.settings, self.limits = settings, limits

    def feed(self, now: float, inbox: Iterable, orders: Iterable) -> None:
        """One round: what came in, and what was ordered on it, as (name, arguments)."""
        for name, f in inbox:
            handler = getattr(self, f"on_{name}", None)
            if handler:
                handler(now, *f)
        self.order(now, orders)
        self.clock(now)

    # --- what came in ---

    def on_listed(self, now: float, full: bool, _cached: bool, entries: list) -> None:
        if full:
            named = {e[0] for e in entries}
            entries = [
                *entries,
                *((x, "", "gone", s.size, s.started) for x, s in self.servers.items() if x not in named),
            ]
        for id, _zone, state, size, started in entries:
            x = self.servers.get(id)
            if x is None:
                if state == "gone":
                    continue
                x = self.servers[id] = Listed()
            binds = state == "draining" or state == "gone" and not self.settings.dropped_stay_open
            if not binds:
                x.left_at, x.judged = None, False
                self.leaving.discard(id)
            elif x.left_at is None:
                x.left_at, x.judged = now, False
                self.leaving.add(id)
            if started > x.started:
                self.cold.add(id)
            x.state, x.size, x.started = state, size or 1.0, started
            if state == "gone" and not x.slices and not binds:
                del self.servers[id]

    def on_joined(self, now: float, proxy: int) -> None:
        # It reads the store by itself, so it holds what was ordered till now; messages count from here. One that is
        # told again without having left is told to a module that starts anew: its stream goes on.
        if proxy not in self.proxies:
            self.proxies[proxy] = Proxy(now, self.message)

    def on_left(self, _now: float, proxy: int) -> None:
        self.proxies.pop(proxy, None)
        for *_, to_come in self.flight:
            to_come.discard(proxy)

    def on_given(self, now: float, slice_id: int) -> None:
        self.on_taken(now, slice_id)
        self.slices[slice_id] = Table(now)
        self.bare.add(slice_id)

    def on_taken(self, _now: float, slice_id: int) -> None:
        table = self.slices.pop(slice_id, None)
        for server in table.lines if table else ():
            self.servers[server].slices.discard(slice_id)
        self.bare.discard(slice_id)
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
        self.blind_since = None
        self.proxies[proxy].took = max(self.proxies[proxy].took, number)
        for k, _, _, to_come in self.flight:  # taken in in succession
            if k > number:
                break
            to_come.discard(proxy)
        while self.flight and not self.flight[0][3]:
            self.flight.popleft()

    def on_receipts_lost(self, now: float) -> None:
        self.blind_since = now if self.blind_since is None else self.blind_since

    # --- what was ordered ---

    def line(self, now: float, slice_id: int, server: str, weight: float) -> None:
        table = self.slices[slice_id]
        x = self.servers.get(server)
        if x is None:
            x = self.servers[server] = Listed()
        if weight:
            table.lines[server] = weight
            x.slices.add(slice_id)
            x.off_at = None
        else:
            table.lines.pop(server, None)
            x.slices.discard(slice_id)
        self.bare.add(slice_id)

    def order(self, now: float, orders: Iterable) -> None:
        lines, mark, first = 0, None, self.message + 1
        dropped: set[str] = set()
        for name, f in orders:
            if name == "line":
                lines += 1
                if f[0] in self.slices:
                    self.line(now, *f)
                    if not f[2]:
                        dropped.add(f[1])
            elif name == "admit":
                lines += 1
                slice_id, method, share, retry = f
                if retry >= 2 and method in self.limits.once:
                    self.broke(
                        now,
                        2,
                        f"method {method}",
                        f"tries again after any failure (way {retry}) of what must not run twice",
                        True,
                    )
                if not 0 <= share <= 1:
                    self.broke(now, 5, f"slice {slice_id}", f"a level of {share}", True)
            elif name == "withdraw":
                lines += 1
                if f[0] in self.servers:
                    self.servers[f[0]].shut = f[1]
                    if f[1]:
                        dropped.add(f[0])
                    self.bare.update(self.servers[f[0]].slices)
            elif name == "receipt":
                mark = f[0]
        if not lines and mark is None:
            return
        self.message = first
        if mark is not None:
            self.marks[mark] = first
            while len(self.marks) > 4096:
                del self.marks[next(iter(self.marks))]
        for server in dropped:
            x = self.servers[server]
            if x.shut or not x.slices:
                x.off_at = first
        if self.proxies and self.broadcast:
            self.message_to(now, set(self.proxies), lines)

    def message_to(self, now: float, proxies: set[int], lines: float) -> int:
        """A message of so many lines goes to these proxies; its number, which taken() wants."""
        s = self.settings
        if not self.broadcast:
            self.message += 1
        self.flight.append((self.message, now, lines + s.lines_per_message, set(proxies)))
        for id in proxies:
            if id not in self.proxies:
                self.broke(now, 5, f"proxy {id}", "a message to a proxy that has not joined", True)
                continue
            sent = self.proxies[id].sent
            while sent and sent[0] <= now - s.messages_span:
                sent.popleft()
            sent.append(now)
            self.sent_most = max(self.sent_most, len(sent))
            if s.messages_most and len(sent) > s.messages_most:
                self.broke(
                    now,
                    5,
                    f"proxy {id}",
                    f"{len(sent)} messages within {s.messages_span:g} s, {s.messages_most} are allowed",
                    True,
                )
        waiting = self.waiting(now)
        self.waited_most = max(self.waited_most, waiting)
        if s.lines_waiting_most and waiting > s.lines_waiting_most:
            self.broke(
                now,
                5,
                "the channel",
                f"{waiting:.0f} lines wait, {s.lines_waiting_most:.0f} are allowed",
                self.blind_since is None,
            )

        return self.message

    def taken(self, proxy: int, number: int) -> None:
        """A proxy has taken in a message that was told of by message_to()."""
        for k, _, _, to_come in self.flight:
            if k == number:
                to_come.discard(proxy)
        while self.flight and not self.flight[0][3]:
            self.flight.popleft()

    def waiting(self, now: float) -> float:
        """Lines that are not known to have left the channel. Once receipts are lost, what the channel's usual
        rate has taken since counts as gone."""
        total = sum(lines * len(to_come) for _, _, lines, to_come in self.flight)
        if self.blind_since is not None:
            total = max(0.0, total - self.settings.lines_rate * (now - self.blind_since))
        return total

    # --- what time tells ---

    def clock(self, now: float) -> None:
        if self.bare:
            self.rule_1(now)
        if self.leaving:
            self.rule_3(now)
        if self.cold:
            self.rule_4(now)

    def usable(self, server: str) -> bool:
        x = self.servers[server]
        return not x.shut

    def warm(self, now: float) -> bool:
        return any(
            x.state == "ready" and not x.shut and now >= x.started + self.settings.cold_time
            for x in self.servers.values()
        )

    def rule_1(self, now: float) -> None:
        most = self.limits.unserved_most
        for slice_id in list(self.bare):
            table = self.slices[slice_id]
            if any(self.usable(x) for x in table.lines):
                table.bare_since, table.told_bare = None, False
                self.bare.discard(slice_id)
                continue
            if table.bare_since is None:
                table.bare_since = now
            joined = [p.joined_at for p in self.proxies.values()]
            if not (most and joined and self.warm(now)):
                table.bare_since = now  # nobody lacks it, or there is nothing to have
            elif not table.told_bare and now - max(table.bare_since, min(joined)) > most:
                table.told_bare = True
                self.broke(
                    now,
                    1,
                    f"slice {slice_id}",
                    f"no line for {now - table.bare_since:.2f} s, {most:g} s are allowed",
                    True,
                )

    def rule_3(self, now: float) -> None:
        grace = self.limits.grace
        for id in list(self.leaving):
            x = self.servers[id]
            if not grace or x.judged or x.left_at is None or now <= x.left_at + grace:
                continue
            x.judged = True
            self.leaving.discard(id)
            late = [k for k in x.slices if now > self.slices[k].given_at + grace]
            if late and not x.shut and any(now > p.joined_at + grace for p in self.proxies.values()):
                self.broke(
                    now,
                    3,
                    f"server {id}",
                    f"still in the tables of {len(late)} slices "
                    f"{now - x.left_at:.2f} s after it was told to go, {grace:g} s are allowed",
                    True,
                )
            elif x.off_at is not None and self.blind_since is None:
                behind = [k for k, p in self.proxies.items() if p.took < x.off_at and now > p.joined_at + grace]
                if behind:
                    self.broke(
                        now,
                        3,
                        f"server {id}",
                        f"{len(behind)} proxies, proxy {behind[0]} among them, had "
                        f"not answered {grace:g} s after it was told to go",
                        False,
                    )
            if x.state == "gone" and not x.slices:
                del self.servers[id]
                self.used.pop(id, None)

    def rule_4(self, now: float) -> None:
        s, limits = self.settings, self.limits
        self.cold = {k for k in self.cold if k in self.servers and now < self.servers[k].started + s.cold_time}
        if not (self.cold and limits.tip_multiple and limits.fall_time and self.demand):
            return
        asked: dict[str, float] = {}
        for slice_id, rows in self.demand.items():
            while rows and rows[0][0] < now - RECENT:
                rows.popleft()
            lines = {k: w for k, w in self.slices[slice_id].lines.items() if self.usable(k)}
            whole, work = sum(lines.values()), sum(w for _, w in rows) * s.report_period / RECENT
            for server, weight in lines.items():
                asked[server] = asked.get(server, 0.0) + work * weight / whole
        warm = [
            (k, x)
            for k, x in self.servers.items()
            if k not in self.cold and x.state == "ready" and k in self.used and self.used[k][0] > now - RECENT
        ]
        used = sum(self.used[k][1] * x.size for k, x in warm)
        if not used:
            return
        unit = sum(asked.get(k, 0.0) for k, _ in warm) / used  # work a second that a size of 1 can do
        for id in self.cold:
            x = self.servers[id]
            share = s.cold_share + (1 - s.cold_share) * max(0.0, now - x.started) / max(s.cold_time, 0.001)
            most = limits.tip_multiple * unit * x.size * min(1.0, share)
            if asked.get(id, 0.0) <= most:
                x.full_since = None
            elif x.full_since is None:
                x.full_since = now
            elif x.full_since >= 0 and now - x.full_since > limits.fall_time:
                x.full_since = float("-inf")  # told once
                self.broke(
                    now,
                    4,
                    f"server {id}",
                    f"asked for {asked[id]:.2f} of work a second, about {most:.2f} is what it can take while cold",
                    False,
                )
