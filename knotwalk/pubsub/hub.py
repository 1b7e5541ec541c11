"""The hub: who is sent what, and when, under one budget of lines and messages.

Owns cursors, accounts of messages, and the order in which subscribers are served. Pure: it is told the time and what
came, and hands bodies to a sender. It must never pass a cap of rule 5, let an observer delay a proxy, send a
subscriber a change that it cannot place, or hold more for one that does not read than its cursor.
"""

import json
from collections import deque
from collections.abc import Callable, Iterable
from random import Random
from typing import NamedTuple, Protocol

from knotwalk.interface import Settings
from knotwalk.pubsub import token
from knotwalk.pubsub.versions import Delta, Part, Table

# Who goes first. Each class may fill the proxies' part of the channel up to its share, so that what cannot wait finds
# room; the first two are rules 1 and 3, and may also use the last message of a proxy's span.
BARE, LEAVING, ORDINARY, STALE, OBSERVER = range(5)
SHARES = (0.98, 0.98, 0.85, 0.7, 1.0)
PROXIES = 0.95  # of the channel; the rest is the observers', whom no storm of proxies starves
FLIGHT = 3  # messages to one subscriber not yet acknowledged: later changes collapse into the newest state
ACK_LATE = 15.0  # seconds without the answer to a message after which a subscriber is let go
SPANS_MOST = 2.0  # spans that a stale proxy waits behind ordinary changes, at the most: then it counts as they do
PIECE_LEAST, PIECE_MOST = 64, 2000  # lines of a snapshot's piece: a head is worth it; a link's buffer holds it
HOLD_MOST = 3.0  # seconds of a snapshot's wait that are held; past that one with a table is told when to return
NACK_FIRST, NACK_MOST = 1.0, 60.0  # seconds before a table that was refused is sent again; doubles
WAIT = 0.05  # seconds until another look at a full channel: answers wake the hub sooner
SPARE = 1.1  # times the span: the proxy's clock counts from when it reads, not from when we write


class Refused(Exception):
    """A hello that cannot be served; the text says why, for both sides."""


class Later(Exception):
    """A subscriber that has a table and had better return."""

    def __init__(self, after: float, why: str):
        super().__init__(why)
        self.after = after


class Cursor:
    """One subscriber: what it has, what is under way, what it acknowledged."""

    def __init__(self, name: str, proxy: int | None, since: float):
        self.name, self.proxy, self.since = name, proxy, since
        self.wanted: frozenset[int] | None = None  # slices; None: all
        self.zone: str | None = None  # of servers; None: all
        self.version = 0  # all up to it was sent, in a snapshot below the place
        self.acked = -1  # the last version that it holds whole
        self.place: int | None = 0  # the next slice of a snapshot under way; None: it is over
        self.first = True  # whether the snapshot's first piece is yet to go
        self.usable = False  # whether it holds a table, though an old one
        self.need: list[int] = []  # slices of which it has no line left, asked for out of turn
        self.number = 0  # of the last message
        self.flight: deque[tuple[int, float, int, int, bool]] = deque()  # number, when, lines, version, whole
        self.behind_since: float | None = since
        self.not_before = 0.0
        self.nacks = 0
        self.writable: Callable[[], bool] = lambda: True  # whether its link takes more

    @property
    def signed(self) -> str:
        """What its tokens are signed for: its name, and what of the table they speak of."""
        wanted = "" if self.wanted is None else ",".join(map(str, sorted(self.wanted)))
        return f"{self.name}\0{wanted}\0{self.zone or ''}"


class Sender(Protocol):
    """Where messages go."""

    def send(self, cursor: Cursor, message: bytes) -> None:
        """To one subscriber."""

    def end(self, cursor: Cursor, why: str) -> None:
        """It is let go, and told why."""

    def told(self, handler: str, *arguments: object) -> None:
        """Something for the module's inbox."""

    def note(self, kind: str, text: str) -> None:
        """A line for the operators."""


class Message(NamedTuple):
    """What a message says beside the number and the token, which differ by subscriber."""

    head: str  # JSON members
    body: bytes  # the delta, encoded once for all
    lines: int


class Hub:
    """All subscribers of one publisher."""

    def __init__(self, table: Table, settings: Settings, key: bytes, encode: Callable[[Delta], bytes], seed: int):
        self.table, self.settings, self.key, self.encode = table, settings, key, encode
        self.random = Random(seed)
        self.cursors: dict[str, Cursor] = {}
        self.accounts: dict[int, deque[float]] = {}  # by proxy: when messages went, over all fronts
        self.waiting = {True: 0, False: 0}  # lines not yet acknowledged: proxies', observers'
        self.marks: deque[tuple[int, int]] = deque()  # receipts that the module asked for, and their versions
        self.leaving: set[str] = set()  # servers that are draining or gone
        self.urgent = 0  # the version of the last line taken from one of those
        self.zones: dict[str, str] = {}  # of servers
        self.encoded: dict[tuple, tuple[bytes, int]] = {}
        self.encoded_at = -1

    # --- caps ---

    @property
    def span(self) -> float:
        return SPARE * (self.settings.messages_span or 10.0)

    def room(self, proxy: bool, share: float) -> float:
        """Lines that may still go, for a class's share."""
        most = self.settings.lines_waiting_most
        if not most:
            return float("inf")
        return most * (PROXIES * share if proxy else 1 - PROXIES) - self.waiting[proxy]

    def messages_left(self, now: float, proxy: int) -> int:
        """Messages that a proxy may still be sent in this span, over all fronts."""
        if not self.settings.messages_most:
            return 1 << 30
        account = self.accounts.get(proxy)
        if account is None:
            return self.settings.messages_most
        while account and account[0] <= now - self.span:
            account.popleft()
        return self.settings.messages_most - len(account)

    def charge(self, now: float, proxies: Iterable[int]) -> None:
        """Another front has sent these a message."""
        for proxy in proxies:
            self.accounts.setdefault(proxy, deque()).append(now)

    # --- the module's orders ---

    def ordered(self, now: float, inbox: Iterable[tuple[str, tuple]], orders: Iterable[tuple[str, tuple]]) -> None:
        """A round becomes versions of the table."""
        table = self.table
        self.met(inbox)
        for name, f in orders:
            if name == "line":
                table.line(*f)
                if not f[2] and f[1] in self.leaving:
                    self.urgent = table.version
            elif name == "admit":
                table.level(*f)
            elif name == "withdraw":
                table.withdraw(*f)
                if f[1]:
                    self.urgent = table.version
            elif name == "receipt":
                self.marks.append((f[0], table.version))
        while len(self.marks) > 4096:
            self.marks.popleft()

    def met(self, inbox: Iterable[tuple[str, tuple]]) -> None:
        """What the module is told of servers and slices holds here too, ahead of what it orders on it."""
        given: dict[int, dict[str, float]] = {}
        for name, f in inbox:
            if name == "listed":
                self.listed(
                    f[2]
                    if not f[0]
                    else [*f[2], *((x, "", "gone") for x in list(self.zones) if x not in {e[0] for e in f[2]})]
                )
            elif name == "given":
                given[f[0]] = {}
            elif name == "held" and f[0] in given:
                given[f[0]][f[1]] = f[2]
            elif name == "held":
                self.table.line(*f)
        for slice_id, lines in given.items():
            self.table.replace(slice_id, lines)
            if slice_id in self.table.slices:  # a giving resets levels
                for method, (_, retry, _) in list(self.table.slices[slice_id].levels.items()):
                    self.table.level(slice_id, method, 1.0, retry)

    def listed(self, entries: Iterable[tuple]) -> None:
        """Servers as the list has them: (id, zone, state, size, started)."""
        for id, zone, condition, *_ in entries:
            self.zones[id] = zone or self.zones.get(id, "")
            if condition == "ready":
                self.leaving.discard(id)
            else:
                self.leaving.add(id)
                if condition == "gone" and id not in self.table.used:
                    self.zones.pop(id, None)
                    self.leaving.discard(id)

    # --- subscribers ---

    def hello(
        self,
        now: float,
        name: str,
        proxy: int | None,
        wanted: frozenset[int] | None,
        zone: str | None,
        resume: object,
        usable: bool,
    ) -> Cursor:
        """A subscriber joins, with what it holds. One of the same name is replaced: its old stream is dead.

        Raises Refused, or Later where it had better return.
        """
        if proxy is not None and (wanted is not None or zone is not None):
            raise Refused("a proxy takes the whole table")
        cursor = Cursor(name, proxy, now)
        cursor.wanted, cursor.zone, cursor.usable = wanted, zone, usable
        held = token.read(self.key, cursor.signed, resume) if resume is not None else None
        if resume is not None and held is None:
            raise Refused("a token that is none of ours for you")
        if held is not None and held.epoch == self.table.epoch:
            if held.version > self.table.version:
                raise Refused(f"a token of version {held.version}, which is yet to come")
            if self.table.holds(held.version):
                cursor.version, cursor.place, cursor.first = held.version, held.place, False
                if held.place is None:
                    cursor.acked, cursor.usable = held.version, True
        if cursor.usable and cursor.place is not None and cursor.first:
            wait = self.snapshots_wait()
            if wait > HOLD_MOST:
                raise Later(wait * self.random.uniform(0.5, 1.5), "many subscribers want a snapshot at once")
        old = self.cursors.get(name)
        if old is not None:
            self.forget(old)
        self.cursors[name] = cursor
        return cursor

    def snapshots_wait(self) -> float:
        """Seconds that the snapshots under way will take, by half of the channel's usual rate."""
        if not self.settings.lines_rate:
            return 0.0
        whole = sum(self.table.used.values())
        left = sum(whole for c in self.cursors.values() if c.place is not None)
        return left / (self.settings.lines_rate / 2)

    def left(self, cursor: Cursor) -> None:
        """Its stream is over."""
        if self.cursors.get(cursor.name) is cursor:
            del self.cursors[cursor.name]
            self.forget(cursor)

    def forget(self, cursor: Cursor) -> None:
        self.waiting[cursor.proxy is not None] -= sum(f[2] for f in cursor.flight)
        cursor.flight.clear()

    def prune(self, now: float) -> None:
        """Accounts of proxies that are no longer here count until their span is over."""
        here = {c.proxy for c in self.cursors.values()}
        for proxy in [p for p, a in self.accounts.items() if p not in here and (not a or a[-1] <= now - self.span)]:
            del self.accounts[proxy]

    def ack(self, now: float, cursor: Cursor, number: int, need: list[int], out: Sender) -> None:
        """All messages up to a number were taken in; `need` are slices without a line left. Raises Refused."""
        if not cursor.number - len(cursor.flight) <= number <= cursor.number:
            raise Refused(f"an answer to message {number}, and {cursor.number} was the last")
        while cursor.flight and cursor.flight[0][0] <= number:
            _, _, lines, version, whole = cursor.flight.popleft()
            self.waiting[cursor.proxy is not None] -= lines
            if whole:
                before, cursor.acked = cursor.acked, version
                cursor.usable, cursor.nacks = True, 0
                if cursor.proxy is not None:
                    mark = next((m for m, v in reversed(self.marks) if before < v <= version), None)
                    if mark is not None:
                        out.told("applied", cursor.proxy, mark)
        if need and cursor.place is not None:
            cursor.need = [x for x in need if x in self.table.slices][:PIECE_MOST]

    def nack(self, now: float, cursor: Cursor, number: int, why: str, out: Sender) -> None:
        """A message was not taken in: its table stands as it was. It is begun anew after a while."""
        if not cursor.flight or number < cursor.flight[0][0] or number > cursor.number:
            raise Refused(f"a refusal of message {number}, which is not under way")
        self.forget(cursor)
        cursor.nacks += 1
        cursor.not_before = now + min(NACK_MOST, NACK_FIRST * 2 ** (cursor.nacks - 1))
        cursor.place, cursor.first, cursor.need = 0, True, []
        cursor.behind_since = now
        out.note("table refused", f"{cursor.name}: {why[:200]}")

    # --- sending ---

    def rank(self, now: float, c: Cursor) -> int:
        if c.proxy is None:
            return OBSERVER
        if c.place is not None:
            if not c.usable or c.need:
                return BARE
            waited = now - (c.behind_since if c.behind_since is not None else now)
            return ORDINARY if waited > SPANS_MOST * self.span else STALE
        return LEAVING if c.version < self.urgent else ORDINARY

    def turn(self, now: float, out: Sender) -> float:
        """Send what may go; the time of the next turn, infinity if nothing waits."""
        if self.encoded_at != self.table.version:
            self.encoded.clear()
            self.encoded_at = self.table.version
        due = float("inf")
        waiting: list[tuple[int, float, Cursor]] = []
        for c in list(self.cursors.values()):
            if c.flight and now - c.flight[0][1] > ACK_LATE:
                out.end(c, f"no answer to message {c.flight[0][0]} for {ACK_LATE:g} s")
                continue
            if c.flight:
                due = min(due, c.flight[0][1] + ACK_LATE + 0.01)
            if c.place is None and c.version >= self.table.version:
                c.behind_since = None
                continue
            if c.behind_since is None:
                c.behind_since = now
            if c.not_before > now:
                due = min(due, c.not_before)
            elif len(c.flight) < FLIGHT and c.writable():
                waiting.append((self.rank(now, c), c.behind_since, c))
        waiting.sort(key=lambda x: (x[0], x[1]))
        pieces = {proxy: self.piece(proxy) for proxy in (True, False)}
        for rank, _, c in waiting:
            due = min(due, self.serve(now, rank, c, pieces[c.proxy is not None], out))
        return due

    def piece(self, proxy: bool) -> int:
        """Lines of a snapshot's piece: each that takes one now has an even part of the channel. Guards against
        pieces of what room is left just then: a few lines each, they use up the messages of a span."""
        if not self.settings.lines_waiting_most:
            return PIECE_MOST
        under_way = sum(c.place is not None and (c.proxy is not None) == proxy for c in self.cursors.values())
        most = self.settings.lines_waiting_most * (PROXIES * SHARES[BARE] if proxy else 1 - PROXIES)
        part = most / max(1, under_way) - self.settings.lines_per_message
        return int(max(PIECE_LEAST, min(PIECE_MOST, part)))

    def serve(self, now: float, rank: int, c: Cursor, piece: int, out: Sender) -> float:
        """One message to one subscriber, if the caps allow; when to look again."""
        proxy = c.proxy is not None
        if proxy:
            left = self.messages_left(now, c.proxy)  # type: ignore[arg-type]
            if left < 1 or left < 2 and rank > LEAVING and self.settings.messages_most > 1:
                account = self.accounts[c.proxy]  # type: ignore[index]
                return account[0] + self.span
        head = self.settings.lines_per_message
        room = self.room(proxy, SHARES[rank]) - head
        if c.place is not None and c.flight and not c.need:
            return float("inf")  # the next piece goes when this one is there: it is as large as the channel allows
        message, place, version = self.message(c, piece)
        if message.lines > room and (rank > LEAVING or message.lines > self.room(proxy, 1.0) - head):
            if self.waiting[proxy]:
                return now + WAIT
            # With nothing under way it would never fit: changes that many go as a snapshot, in pieces.
            if message.lines + head > self.settings.lines_waiting_most * (PROXIES if proxy else 1 - PROXIES):
                if c.place is not None:
                    out.end(c, f"a message of {message.lines:.0f} lines, more than the channel may hold")
                    return float("inf")
                c.place, c.first = 0, True
                return now
        c.number += 1
        signed = token.written(self.key, c.signed, self.table.epoch, version, place)
        out.send(
            c, b'{"n":%d,"token":"%s",%s,"d":%s}\n' % (c.number, signed.encode(), message.head.encode(), message.body)
        )
        lines = int(message.lines + head)
        c.flight.append((c.number, now, lines, version, place is None))
        self.waiting[proxy] += lines
        if proxy:
            self.accounts.setdefault(c.proxy, deque()).append(now)  # type: ignore[arg-type]
        c.version, c.place, c.first = version, place, False
        if place is None:
            c.behind_since = None
            return float("inf")
        return now

    def message(self, c: Cursor, most: int) -> tuple[Message, int | None, int]:
        """What a subscriber is to hear next, the place after it, and the version that it is of."""
        table = self.table
        if c.place is None:
            key = (c.version, c.wanted, c.zone)
            if key not in self.encoded:
                delta = self.narrow(table.since(c.version, c.wanted), c.zone)
                self.encoded[key] = self.encode(delta), delta.size
            body, size = self.encoded[key]
            return Message(f'"t":"change","from":{c.version},"to":{table.version}', body, size), None, table.version
        if c.first:
            shut, levels = table.general(-1)
            changes: tuple[Part, ...] = ()
            shut = {k: out for k, out in shut.items() if out}
        else:
            delta = table.since(c.version, c.wanted, c.place)
            changes, shut, levels = delta.parts, dict(delta.shut), dict(delta.levels)
        needed = tuple(x for x in c.need if x >= c.place)
        extra, c.need = tuple(table.slices[x].whole() for x in needed), []
        live = table.live() if c.first else []
        size = sum(p.size for p in (*changes, *extra)) + len(shut) + len(levels) + len(live)
        parts, place = table.pieces(c.place, max(1, most - size), c.wanted)
        key = (c.version if not c.first else None, c.place, place, c.wanted, c.zone, needed)
        if key not in self.encoded:
            delta = self.narrow(Delta((*changes, *extra, *parts), shut, levels), c.zone)
            self.encoded[key] = self.encode(delta), delta.size
        body, size = self.encoded[key]
        head = (
            f'"t":"piece","epoch":"{table.epoch}","at":{c.place},"next":{"null" if place is None else place},'
            f'"to":{table.version}'
        )
        if c.first:
            head += f',"live":{json.dumps(live)}'
            size += len(live)
        return Message(head, body, size), place, table.version

    def narrow(self, delta: Delta, zone: str | None) -> Delta:
        """Only lines to servers of a zone."""
        if zone is None:
            return delta
        return Delta(
            tuple(
                p._replace(lines={k: w for k, w in p.lines.items() if self.zones.get(k, zone) == zone})
                for p in delta.parts
            ),
            delta.shut,
            delta.levels,
        )
