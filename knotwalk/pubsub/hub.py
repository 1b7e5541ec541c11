"""The hub: decides which subscriber is sent which message and when, within the caps on lines and messages.

Keeps a cursor for each subscriber, the times of the messages sent to each proxy, and the order in which subscribers are
served. Does no I/O and reads no clock: callers pass the time and what was received, and a sender takes the messages.
Invariants: no cap of rule 5 is exceeded; an observer never delays a proxy; no subscriber is sent a change that does not
follow from what it holds; and nothing but a cursor is kept for a subscriber that does not read.
"""

import json
from collections import deque
from collections.abc import Callable, Iterable
from random import Random
from typing import NamedTuple, Protocol

from knotwalk.interface import Settings
from knotwalk.pubsub import token
from knotwalk.pubsub.versions import Delta, SliceUpdate, Table

# Priority classes, the most urgent first: proxies without a usable table; proxies that still hold lines to a draining
# or withdrawn server; other changes; snapshots for proxies that hold an old table; observers. Each class of proxies may
# fill the proxies' part of the channel (the cap on unacknowledged lines) up to its share, so that more urgent messages
# still find space. The first two serve rules 1 and 3 and may also use the last message of a proxy's span.
NO_TABLE, DRAINING, CHANGE, STALE_TABLE, OBSERVER = range(5)
SHARES = (0.98, 0.98, 0.85, 0.7, 1.0)
PROXY_SHARE = 0.95  # of the channel; the rest is reserved for observers, so that busy proxies cannot starve them
MAX_IN_FLIGHT = 3  # unacknowledged messages to one subscriber; later changes are merged into the newest state
ACK_TIMEOUT_S = 15.0  # a subscriber that has not acknowledged a message by then is disconnected
MAX_STALE_SPANS = 2.0  # spans for which a proxy with a stale table ranks behind changes; after that it ranks with them
# Lines in one piece of a snapshot: fewer would not be worth the message's header, more would not fit a link's buffer.
MIN_PIECE_LINES, MAX_PIECE_LINES = 64, 2000
MAX_SNAPSHOT_WAIT_S = 3.0  # expected wait for a snapshot above which a subscriber that has a table must retry later
MIN_NACK_DELAY_S, MAX_NACK_DELAY_S = 1.0, 60.0  # before a rejected table is sent again; doubles with each rejection
FULL_CHANNEL_RETRY_S = 0.05  # until a full channel is checked again; acknowledgements wake the hub sooner
SPAN_MARGIN = 1.1  # factor on the span: a proxy's clock counts from when it reads, ours from when we write


class MessageRejectedError(Exception):
    """A message from a subscriber is not accepted; the text gives the reason to the subscriber and to the log."""


class RetryLaterError(Exception):
    """The subscriber already has a table and should reconnect after `delay_s` seconds."""

    def __init__(self, delay_s: float, why: str):
        super().__init__(why)
        self.delay_s = delay_s


class Cursor:
    """One subscriber: what it was sent, what is in flight and what it has acknowledged."""

    def __init__(self, name: str, proxy: int | None, joined_at: float):
        self.name, self.proxy, self.joined_at = name, proxy, joined_at
        self.wanted: frozenset[int] | None = None  # slices that it subscribes to; None: all
        self.zone: str | None = None  # only servers of this zone; None: all
        self.version = 0  # it was sent everything up to this version; during a snapshot, only below next_slice
        self.acked_version = -1  # the last version of which it acknowledged the complete table
        self.next_slice: int | None = 0  # the next slice of the snapshot in progress; None: no snapshot
        self.first_piece_pending = True  # the snapshot's first piece has not been sent
        self.has_table = False  # it holds a table, though perhaps an old one
        self.needed_slices: list[int] = []  # slices without a line left, which it asked for out of turn
        self.number = 0  # number of the last message sent
        # unacknowledged messages: (number, sent at, lines, version, whether the table is complete with it)
        self.in_flight: deque[tuple[int, float, int, int, bool]] = deque()
        self.behind_since: float | None = joined_at  # when the table first was newer; None: up to date
        self.not_before = 0.0  # no message is sent before this time
        self.nacks = 0  # messages rejected since it last acknowledged a complete table
        self.is_writable: Callable[[], bool] = lambda: True  # whether its link can take more bytes

    @property
    def token_subject(self) -> str:
        """What its tokens are signed for: its name and the part of the table that it subscribes to."""
        wanted = "" if self.wanted is None else ",".join(map(str, sorted(self.wanted)))
        return f"{self.name}\0{wanted}\0{self.zone or ''}"


class Sender(Protocol):
    """Carries out what the hub decides."""

    def send(self, cursor: Cursor, message: bytes) -> None:
        """Send a message to one subscriber."""

    def end(self, cursor: Cursor, why: str) -> None:
        """Disconnect a subscriber and send it the reason."""

    def notify_module(self, handler: str, *arguments: object) -> None:
        """Add an event to the module's inbox."""

    def log_event(self, kind: str, text: str) -> None:
        """Write a log line for operators."""


class Message(NamedTuple):
    """The content of a message without its number and token, which differ between subscribers."""

    head: str  # JSON members, without braces
    body: bytes  # the delta, encoded once for all subscribers that need it
    lines: int


class Hub:
    """All subscribers of one publisher."""

    def __init__(self, table: Table, settings: Settings, key: bytes, encode: Callable[[Delta], bytes], seed: int):
        self.table, self.settings, self.key, self.encode = table, settings, key, encode
        self.random = Random(seed)
        self.cursors: dict[str, Cursor] = {}
        self.sent_at: dict[int, deque[float]] = {}  # by proxy: when it was sent messages, on any channel
        self.unacked_lines = {True: 0, False: 0}  # lines in flight, to proxies (True) and to observers (False)
        self.receipts: deque[tuple[int, int]] = deque()  # (mark, version) of the receipts that the module asked for
        self.leaving: set[str] = set()  # servers that are draining or gone
        self.urgent_version = 0  # the last version that removed a line of such a server or withdrew a server
        self.zones: dict[str, str] = {}  # by server
        self.encoded: dict[tuple, tuple[bytes, int]] = {}  # cache of encoded deltas and their sizes in lines
        self.encoded_version = -1  # the table version to which the cache belongs

    # --- caps ---

    @property
    def span(self) -> float:
        """Seconds over which messages to one proxy are counted."""
        return SPAN_MARGIN * (self.settings.messages_span or 10.0)

    def available_lines(self, proxy: bool, share: float) -> float:
        """Lines that may still be sent by a class with that share of the channel."""
        max_lines = self.settings.lines_waiting_most
        if not max_lines:
            return float("inf")
        return max_lines * (PROXY_SHARE * share if proxy else 1 - PROXY_SHARE) - self.unacked_lines[proxy]

    def messages_left(self, now: float, proxy: int) -> int:
        """Messages that a proxy may still be sent in this span, counting those sent on other channels."""
        if not self.settings.messages_most:
            return 1 << 30
        times = self.sent_at.get(proxy)
        if times is None:
            return self.settings.messages_most
        while times and times[0] <= now - self.span:
            times.popleft()
        return self.settings.messages_most - len(times)

    def charge_messages(self, now: float, proxies: Iterable[int]) -> None:
        """Count a message that these proxies were sent on another channel: the cap is on the sum of all channels."""
        for proxy in proxies:
            self.sent_at.setdefault(proxy, deque()).append(now)

    # --- the module's orders and inbox ---

    def apply_round(self, now: float, inbox: Iterable[tuple[str, tuple]], orders: Iterable[tuple[str, tuple]]) -> None:
        """Apply a round's inbox and orders to the table."""
        table = self.table
        self.apply_inbox(inbox)
        for name, fields in orders:
            if name == "line":
                table.set_line(*fields)
                if not fields[2] and fields[1] in self.leaving:
                    self.urgent_version = table.version
            elif name == "admit":
                table.set_level(*fields)
            elif name == "withdraw":
                table.set_withdrawn(*fields)
                if fields[1]:
                    self.urgent_version = table.version
            elif name == "receipt":
                self.receipts.append((fields[0], table.version))
        while len(self.receipts) > 4096:
            self.receipts.popleft()

    def apply_inbox(self, inbox: Iterable[tuple[str, tuple]]) -> None:
        """Apply what the module is told of servers and slices; called before the orders that it based on that."""
        granted_lines: dict[int, dict[str, float]] = {}
        for name, fields in inbox:
            if name == "listed":
                self.update_servers(
                    fields[2]
                    if not fields[0]
                    else [
                        *fields[2],
                        *((x, "", "gone") for x in list(self.zones) if x not in {e[0] for e in fields[2]}),
                    ]
                )
            elif name == "given":
                granted_lines[fields[0]] = {}
            elif name == "held" and fields[0] in granted_lines:
                granted_lines[fields[0]][fields[1]] = fields[2]
            elif name == "held":
                self.table.set_line(*fields)
        for slice_id, lines in granted_lines.items():
            self.table.replace_lines(slice_id, lines)
            if slice_id in self.table.slices:  # being given a slice resets its levels
                for method, (_, retry, _) in list(self.table.slices[slice_id].levels.items()):
                    self.table.set_level(slice_id, method, 1.0, retry)

    def update_servers(self, entries: Iterable[tuple]) -> None:
        """Take over entries of the server list: (id, zone, state, size, started)."""
        for id, zone, state, *_ in entries:
            self.zones[id] = zone or self.zones.get(id, "")
            if state == "ready":
                self.leaving.discard(id)
            else:
                self.leaving.add(id)
                if state == "gone" and id not in self.table.line_counts:
                    self.zones.pop(id, None)
                    self.leaving.discard(id)

    # --- subscribers ---

    def handle_hello(
        self,
        now: float,
        name: str,
        proxy: int | None,
        wanted: frozenset[int] | None,
        zone: str | None,
        resume: object,
        has_table: bool,
    ) -> Cursor:
        """Admit a subscriber, which resumes from its token if possible. It replaces one of the same name, whose stream
        must be dead.

        Raises MessageRejectedError, or RetryLaterError if it should reconnect later.
        """
        if proxy is not None and (wanted is not None or zone is not None):
            raise MessageRejectedError("a proxy must subscribe to the whole table")
        cursor = Cursor(name, proxy, now)
        cursor.wanted, cursor.zone, cursor.has_table = wanted, zone, has_table
        held = token.decode_token(self.key, cursor.token_subject, resume) if resume is not None else None
        if resume is not None and held is None:
            raise MessageRejectedError("the token was not issued by this publisher to this subscriber")
        if held is not None and held.epoch == self.table.epoch:
            if held.version > self.table.version:
                raise MessageRejectedError(f"the token is of version {held.version}, which does not exist yet")
            if self.table.can_resume_from(held.version):
                cursor.version, cursor.next_slice, cursor.first_piece_pending = held.version, held.next_slice, False
                if held.next_slice is None:
                    cursor.acked_version, cursor.has_table = held.version, True
        if cursor.has_table and cursor.next_slice is not None and cursor.first_piece_pending:
            wait = self.estimate_snapshot_wait()
            if wait > MAX_SNAPSHOT_WAIT_S:
                raise RetryLaterError(
                    wait * self.random.uniform(0.5, 1.5), "many subscribers are waiting for a snapshot"
                )
        old = self.cursors.get(name)
        if old is not None:
            self.release_lines(old)
        self.cursors[name] = cursor
        return cursor

    def estimate_snapshot_wait(self) -> float:
        """Seconds until the snapshots in progress are sent, assuming half of the channel's usual rate for them."""
        if not self.settings.lines_rate:
            return 0.0
        table_lines = sum(self.table.line_counts.values())
        remaining = sum(table_lines for cursor in self.cursors.values() if cursor.next_slice is not None)
        return remaining / (self.settings.lines_rate / 2)

    def remove(self, cursor: Cursor) -> None:
        """Remove a subscriber whose stream has ended."""
        if self.cursors.get(cursor.name) is cursor:
            del self.cursors[cursor.name]
            self.release_lines(cursor)

    def release_lines(self, cursor: Cursor) -> None:
        """Stop counting the lines in flight to a subscriber."""
        self.unacked_lines[cursor.proxy is not None] -= sum(message[2] for message in cursor.in_flight)
        cursor.in_flight.clear()

    def prune(self, now: float) -> None:
        """Drop the counts of proxies that have left, once their last span is over."""
        connected = {cursor.proxy for cursor in self.cursors.values()}
        for proxy in [p for p, t in self.sent_at.items() if p not in connected and (not t or t[-1] <= now - self.span)]:
            del self.sent_at[proxy]

    def handle_ack(self, now: float, cursor: Cursor, number: int, need: list[int], sender: Sender) -> None:
        """All messages up to a number were applied; `need` are slices that the subscriber has no line of any more.

        Raises MessageRejectedError.
        """
        if not cursor.number - len(cursor.in_flight) <= number <= cursor.number:
            raise MessageRejectedError(
                f"acknowledgement of message {number}, but the last one sent was {cursor.number}"
            )
        while cursor.in_flight and cursor.in_flight[0][0] <= number:
            _, _, lines, version, completes_table = cursor.in_flight.popleft()
            self.unacked_lines[cursor.proxy is not None] -= lines
            if completes_table:
                before, cursor.acked_version = cursor.acked_version, version
                cursor.has_table, cursor.nacks = True, 0
                if cursor.proxy is not None:
                    mark = next((m for m, v in reversed(self.receipts) if before < v <= version), None)
                    if mark is not None:
                        sender.notify_module("applied", cursor.proxy, mark)
        if need and cursor.next_slice is not None:
            cursor.needed_slices = [x for x in need if x in self.table.slices][:MAX_PIECE_LINES]

    def handle_nack(self, now: float, cursor: Cursor, number: int, why: str, sender: Sender) -> None:
        """A message was rejected and the subscriber's table is unchanged: start a new snapshot after a delay."""
        if not cursor.in_flight or number < cursor.in_flight[0][0] or number > cursor.number:
            raise MessageRejectedError(f"rejection of message {number}, which is not in flight")
        self.release_lines(cursor)
        cursor.nacks += 1
        cursor.not_before = now + min(MAX_NACK_DELAY_S, MIN_NACK_DELAY_S * 2 ** (cursor.nacks - 1))
        cursor.next_slice, cursor.first_piece_pending, cursor.needed_slices = 0, True, []
        cursor.behind_since = now
        sender.log_event("table refused", f"{cursor.name}: {why[:200]}")

    # --- sending ---

    def rank(self, now: float, cursor: Cursor) -> int:
        """The subscriber's priority class."""
        if cursor.proxy is None:
            return OBSERVER
        if cursor.next_slice is not None:
            if not cursor.has_table or cursor.needed_slices:
                return NO_TABLE
            waited = now - (cursor.behind_since if cursor.behind_since is not None else now)
            return CHANGE if waited > MAX_STALE_SPANS * self.span else STALE_TABLE
        return DRAINING if cursor.version < self.urgent_version else CHANGE

    def send_due(self, now: float, sender: Sender) -> float:
        """Send what the caps allow; return when to call again, infinity if nothing is waiting."""
        if self.encoded_version != self.table.version:
            self.encoded.clear()
            self.encoded_version = self.table.version
        due = float("inf")
        waiting: list[tuple[int, float, Cursor]] = []
        for cursor in list(self.cursors.values()):
            if cursor.in_flight and now - cursor.in_flight[0][1] > ACK_TIMEOUT_S:
                sender.end(cursor, f"no answer to message {cursor.in_flight[0][0]} for {ACK_TIMEOUT_S:g} s")
                continue
            if cursor.in_flight:
                due = min(due, cursor.in_flight[0][1] + ACK_TIMEOUT_S + 0.01)
            if cursor.next_slice is None and cursor.version >= self.table.version:
                cursor.behind_since = None
                continue
            if cursor.behind_since is None:
                cursor.behind_since = now
            if cursor.not_before > now:
                due = min(due, cursor.not_before)
            elif len(cursor.in_flight) < MAX_IN_FLIGHT and cursor.is_writable():
                waiting.append((self.rank(now, cursor), cursor.behind_since, cursor))
        waiting.sort(key=lambda entry: (entry[0], entry[1]))
        piece_lines = {proxy: self.max_piece_lines(proxy) for proxy in (True, False)}
        for rank, _, cursor in waiting:
            due = min(due, self.serve(now, rank, cursor, piece_lines[cursor.proxy is not None], sender))
        return due

    def max_piece_lines(self, proxy: bool) -> int:
        """Lines in one piece of a snapshot: the channel is divided evenly among the snapshots in progress.

        Pieces sized by the space that happens to be left would have a few lines each and use up a span's messages.
        """
        if not self.settings.lines_waiting_most:
            return MAX_PIECE_LINES
        in_progress = sum(
            cursor.next_slice is not None and (cursor.proxy is not None) == proxy for cursor in self.cursors.values()
        )
        max_lines = self.settings.lines_waiting_most * (PROXY_SHARE * SHARES[NO_TABLE] if proxy else 1 - PROXY_SHARE)
        part = max_lines / max(1, in_progress) - self.settings.lines_per_message
        return int(max(MIN_PIECE_LINES, min(MAX_PIECE_LINES, part)))

    def serve(self, now: float, rank: int, cursor: Cursor, piece_lines: int, sender: Sender) -> float:
        """Send one message to one subscriber if the caps allow; return when to try again."""
        proxy = cursor.proxy is not None
        if proxy:
            left = self.messages_left(now, cursor.proxy)  # type: ignore[arg-type]
            if left < 1 or left < 2 and rank > DRAINING and self.settings.messages_most > 1:
                times = self.sent_at[cursor.proxy]  # type: ignore[index]
                return times[0] + self.span
        header_lines = self.settings.lines_per_message
        available = self.available_lines(proxy, SHARES[rank]) - header_lines
        if cursor.next_slice is not None and cursor.in_flight and not cursor.needed_slices:
            # A piece is as large as the channel allows, so the next one is sent once this one is acknowledged.
            return float("inf")
        message, next_slice, version = self.next_message(cursor, piece_lines)
        if message.lines > available and (
            rank > DRAINING or message.lines > self.available_lines(proxy, 1.0) - header_lines
        ):
            if self.unacked_lines[proxy]:
                return now + FULL_CHANNEL_RETRY_S
            # It would not fit even with nothing in flight: so many changes are sent as a snapshot, in pieces.
            if message.lines + header_lines > self.settings.lines_waiting_most * (
                PROXY_SHARE if proxy else 1 - PROXY_SHARE
            ):
                if cursor.next_slice is not None:
                    sender.end(cursor, f"a message of {message.lines:.0f} lines, more than the channel may hold")
                    return float("inf")
                cursor.next_slice, cursor.first_piece_pending = 0, True
                return now
        cursor.number += 1
        signed = token.encode_token(self.key, cursor.token_subject, self.table.epoch, version, next_slice)
        sender.send(
            cursor,
            b'{"n":%d,"token":"%s",%s,"d":%s}\n'
            % (cursor.number, signed.encode(), message.head.encode(), message.body),
        )
        lines = int(message.lines + header_lines)
        cursor.in_flight.append((cursor.number, now, lines, version, next_slice is None))
        self.unacked_lines[proxy] += lines
        if proxy:
            self.sent_at.setdefault(cursor.proxy, deque()).append(now)  # type: ignore[arg-type]
        cursor.version, cursor.next_slice, cursor.first_piece_pending = version, next_slice, False
        if next_slice is None:
            cursor.behind_since = None
            return float("inf")
        return now

    def next_message(self, cursor: Cursor, max_lines: int) -> tuple[Message, int | None, int]:
        """The next message for a subscriber, the slice at which its snapshot continues after it, and its version."""
        table = self.table
        if cursor.next_slice is None:
            key = (cursor.version, cursor.wanted, cursor.zone)
            if key not in self.encoded:
                delta = self.filter_by_zone(table.changes_since(cursor.version, cursor.wanted), cursor.zone)
                self.encoded[key] = self.encode(delta), delta.size
            body, size = self.encoded[key]
            return (
                Message(f'"t":"change","from":{cursor.version},"to":{table.version}', body, size),
                None,
                table.version,
            )
        if cursor.first_piece_pending:
            withdrawn, levels = table.global_changes_since(-1)
            changes: tuple[SliceUpdate, ...] = ()
            withdrawn = {k: is_withdrawn for k, is_withdrawn in withdrawn.items() if is_withdrawn}
        else:
            delta = table.changes_since(cursor.version, cursor.wanted, cursor.next_slice)
            changes, withdrawn, levels = delta.parts, dict(delta.withdrawn), dict(delta.levels)
        needed = tuple(x for x in cursor.needed_slices if x >= cursor.next_slice)
        extra, cursor.needed_slices = tuple(table.slices[x].full_update() for x in needed), []
        live = table.live_servers() if cursor.first_piece_pending else []
        size = sum(p.size for p in (*changes, *extra)) + len(withdrawn) + len(levels) + len(live)
        parts, next_slice = table.snapshot_piece(cursor.next_slice, max(1, max_lines - size), cursor.wanted)
        key = (
            cursor.version if not cursor.first_piece_pending else None,
            cursor.next_slice,
            next_slice,
            cursor.wanted,
            cursor.zone,
            needed,
        )
        if key not in self.encoded:
            delta = self.filter_by_zone(Delta((*changes, *extra, *parts), withdrawn, levels), cursor.zone)
            self.encoded[key] = self.encode(delta), delta.size
        body, size = self.encoded[key]
        head = (
            f'"t":"piece","epoch":"{table.epoch}","at":{cursor.next_slice},'
            f'"next":{"null" if next_slice is None else next_slice},"to":{table.version}'
        )
        if cursor.first_piece_pending:
            head += f',"live":{json.dumps(live)}'
            size += len(live)
        return Message(head, body, size), next_slice, table.version

    def filter_by_zone(self, delta: Delta, zone: str | None) -> Delta:
        """The delta with only lines of servers in a zone."""
        if zone is None:
            return delta
        return Delta(
            tuple(
                p._replace(lines={k: w for k, w in p.lines.items() if self.zones.get(k, zone) == zone})
                for p in delta.parts
            ),
            delta.withdrawn,
            delta.levels,
        )
