"""Connections to nodes: what is sent on them, what comes back, and which of it belongs to which request.

A connection carries one request at a time. An answer belongs to the request that waits on it only if it bears that
request's id, or is the short form by which a node turns a request away; bytes that belong to nothing end the
connection.
"""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Callable
from enum import Enum
from typing import Protocol

import httptools

from knotwalk.admission.outcome import End, judge
from knotwalk.discovery.cluster_view import Node
from knotwalk.runtime.errors import PeerError

# An answer up to this size (bytes) is gathered whole before its head is passed on: a cut one can be tried again.
GATHER = 64 * 1024
# Idle seconds of a connection whose node told no time: nodes that close within less than a second can't tell it.
IDLE_GUESS = 0.6
# Seconds by which we close before the time that a node told (whole seconds, perhaps rounded up), half of it at least.
IDLE_MARGIN = 1.0
# Of the idle time: beyond it no request that must not be repeated is sent on the connection.
FRESH_PART = 0.5
# Milliseconds that sent bytes may stay unconfirmed: a cut or dead machine shows within a usual deadline.
USER_TIMEOUT_MS = 1500
# Bytes of an answer's head at most; nodes' heads have some hundred.
MAX_HEAD = 32 * 1024

HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


class Sink(Protocol):
    """Who takes an answer that is passed on as it comes."""

    def data(self, data: bytes) -> None: ...
    def ended(self) -> None: ...
    def cut(self, why: str) -> None: ...


class Source(Protocol):
    """Who passes a request's body on as it comes."""

    def writable(self, on: bool) -> None: ...


class Phase(Enum):
    """States of a connection to a node."""

    OPENING = "opening"
    IDLE = "idle"
    WAITING = "waiting"  # a request was sent, no head of its answer yet
    ANSWERING = "answering"  # its answer's head was read
    CLOSED = "closed"


ALLOWED = {
    Phase.OPENING: {Phase.IDLE, Phase.CLOSED},
    Phase.IDLE: {Phase.WAITING, Phase.CLOSED},
    Phase.WAITING: {Phase.ANSWERING, Phase.CLOSED},
    Phase.ANSWERING: {Phase.IDLE, Phase.CLOSED},
    Phase.CLOSED: set(),
}


class Answer:
    """A node's answer, whole or beginning. `end` tells what it proves; a lost one has `why` and no status."""

    __slots__ = ("end", "why", "status", "headers", "body", "length", "whole", "stream", "node", "load")

    def __init__(self, end: End, why: str = "") -> None:
        self.end, self.why = end, why
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []  # end-to-end ones, as they came
        self.body = b""
        self.length: int | None = None  # bytes of the body as told, None if in chunks
        self.whole = True
        self.stream: Connection | None = None  # where the rest comes from, if not whole
        self.node: Node | None = None
        self.load: tuple[int, int, int] | None = None  # running, waiting, slots

    @property
    def for_nothing(self) -> bool:
        """Whether the node turned a request away as a full one does, while it tells free slots."""
        return self.status in (429, 503) and self.load is not None and self.load[0] < self.load[2]


class Connection(asyncio.Protocol):
    """One connection to a node. `changed` is called when it has become idle or has closed."""

    def __init__(self, node: Node, clock: Callable[[], float], changed: Callable[[Connection], None]):
        self.node, self.clock, self.changed = node, clock, changed
        self.phase = Phase.OPENING
        self.transport: asyncio.Transport | None = None
        self.used = 0  # requests sent on it
        self.idle_since = 0.0
        self.idle_time = IDLE_GUESS  # seconds that it is kept
        self.previous = b""  # id of the request before
        self.nameless = False  # an answer without id came on it: an extra one could not be told apart
        self.parser = httptools.HttpResponseParser(self)
        self._poll = select.poll()
        self._clear()

    def _clear(self) -> None:
        """Forget the request that was carried."""
        self.attempt, self.method = b"", b""
        self.waiter: asyncio.Future[Answer] | None = None
        self.sink: Sink | None = None
        self.source: Source | None = None
        self.body_sent = True
        self._forget_answer()

    def _forget_answer(self) -> None:
        self.answer: Answer | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_size = self._fed = 0
        self._gathered: list[bytes] = []
        self._size = 0
        self._skipping = self._interim = self._done = False
        self._closing = self._named = False

    def _to(self, phase: Phase) -> None:
        """The one place where the state changes."""
        if phase not in ALLOWED[self.phase]:
            raise PeerError("connection", f"{self.node.id}", f"from {self.phase.value} to {phase.value}")
        self.phase = phase

    # -- towards the node

    def ready(self, careful: bool) -> bool:
        """Whether a request may be sent now; `careful` for one that must not be repeated.

        Asks the socket itself whether bytes or an end lie unread, since the loop may not have got to them yet: what
        came before a request was sent is not its answer, on a new connection neither."""
        if self.phase is not Phase.IDLE or self.transport is None or self.transport.is_closing():
            return False
        if not self.used:
            return not self._poll.poll(0)
        idle = self.clock() - self.idle_since
        if idle > (self.idle_time * FRESH_PART if careful else self.idle_time):
            return False
        if careful and self.nameless:
            return False
        return not self._poll.poll(0)

    def send(self, head: bytes, body: bytes, attempt: bytes, method: bytes, whole: bool) -> asyncio.Future[Answer]:
        """Send a request; the future gets its answer, or one that says how it was lost. Never fails.

        `whole`: `body` ends the request; otherwise more comes by `more` and `finish`."""
        assert self.transport is not None
        self._to(Phase.WAITING)
        self.attempt, self.method, self.body_sent = attempt, method, whole
        self.waiter = asyncio.get_running_loop().create_future()
        self.used += 1
        self.transport.write(head + body if body else head)
        return self.waiter

    def more(self, data: bytes) -> None:
        """A further piece of a streamed body, already framed."""
        if self.phase in (Phase.WAITING, Phase.ANSWERING) and self.transport is not None:
            self.transport.write(data)

    def finish(self) -> None:
        """The streamed body was sent whole."""
        self.body_sent = True

    def abort(self, why: str = "dropped") -> None:
        """Break off: nothing that comes later counts."""
        if self.phase is Phase.CLOSED:
            return
        self._lose(why)

    def _lose(self, why: str) -> None:
        """The connection ends here; whoever waits is told why."""
        self._to(Phase.CLOSED)
        if self.transport is not None:
            self.transport.abort()
        waiter, sink, source = self.waiter, self.sink, self.source
        self._clear()
        if waiter is not None and not waiter.done():
            waiter.set_result(Answer(End.LOST, why))
        elif sink is not None:
            sink.cut(why)
        if source is not None:
            source.writable(True)
        self.changed(self)

    # -- from the loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        self.idle_since = self.clock()
        if self.phase is Phase.CLOSED:
            transport.abort()
        else:
            self._to(Phase.IDLE)

    def connection_lost(self, error: Exception | None) -> None:
        if self.phase is not Phase.CLOSED:
            self._lose(f"connection ended: {error}" if error else "connection closed")

    def eof_received(self) -> bool:
        return False

    def pause_writing(self) -> None:
        if self.source is not None:
            self.source.writable(False)

    def resume_writing(self) -> None:
        if self.source is not None:
            self.source.writable(True)

    def data_received(self, data: bytes) -> None:
        if self.phase is Phase.CLOSED:
            return
        if self.phase is Phase.IDLE:
            self._lose("bytes while no answer was due")
            return
        clean = True
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._done:
                why = error.__context__ if isinstance(error, httptools.HttpParserCallbackError) else error
                self._lose(f"no answer in the protocol: {why}")
                return
            clean = False
        if self.phase is Phase.CLOSED:
            return
        if self._done:
            self._finished(clean and not self._late)
        elif self.phase is Phase.WAITING and not self._skipping:
            self._fed += len(data)
            if self._fed > MAX_HEAD:
                self._lose("an endless head")

    # -- from the parser

    _late = False  # bytes came behind a whole answer in one read

    def on_message_begin(self) -> None:
        if self._done:
            self._late = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._late or self.phase is Phase.ANSWERING:
            return
        self._headers.append((name, value))
        self._head_size += len(name) + len(value) + 4
        if self._head_size > MAX_HEAD:
            raise ValueError("head too large")

    def on_headers_complete(self) -> None:
        if self._late:
            return
        status = self.parser.get_status_code()
        headers, self._headers, self._head_size = self._headers, [], 0
        if status < 200:
            if status == 101:
                raise ValueError("an upgrade that nobody asked for")
            self._interim = True
            return
        self._read_head(status, headers)

    def _read_head(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Check an answer's head and begin to take it; ValueError if it is not this request's answer."""
        id, sealed, not_executed, length, chunked = None, False, False, None, False
        load, drop, kept = None, HOP, []
        for name, value in headers:
            low = name.lower()
            if low == b"attempt-id":
                if id is not None:
                    raise ValueError("two ids")
                id = value.strip()
            elif low == b"server-seal":
                sealed = True
            elif low == b"not-executed":
                not_executed = True
            elif low == b"content-length":
                length = int(value)
                continue
            elif low == b"transfer-encoding":
                chunked = value.strip().lower() == b"chunked"
                if not chunked:
                    raise ValueError("an unknown coding")
            elif low == b"server-load":
                load = _load(value)
            elif low == b"keep-alive":
                self._keep_alive(value)
            elif low == b"connection":
                drop = drop | {token.strip().lower() for token in value.split(b",")}
            kept.append((name, value, low))
        if id != self.attempt:
            if id is not None and id == self.previous and status >= 200 and not self._skipping:
                self._skipping = self.nameless = True  # the answer before, once more: skip it, end afterwards
                self._closing = True
                return
            if id is not None or not (not_executed or status == 421):
                raise ValueError("another's answer")
        self._named = id is not None
        bodiless = status in (204, 304) or self.method == b"HEAD"
        if length is None and not chunked and not bodiless:
            raise ValueError("an answer without an end")
        answer = Answer(judge(status, not_executed, sealed))
        if answer.end is End.LOST:
            raise ValueError("a success without a seal")
        answer.status, answer.length, answer.node, answer.load = status, length, self.node, load
        drop = drop - {b"attempt-id", b"server-seal", b"not-executed"}
        answer.headers = [(name, value) for name, value, low in kept if low not in drop]
        self.answer = answer
        self._to(Phase.ANSWERING)
        if self.method == b"HEAD":
            self._done, self._closing = True, True
        elif length is not None and length > GATHER and not bodiless:
            self._stream()

    def _keep_alive(self, value: bytes) -> None:
        for part in value.split(b","):
            word, _, number = part.strip().partition(b"=")
            if word.lower() == b"timeout" and number.strip().isdigit():
                self.idle_time = max(float(number) - IDLE_MARGIN, float(number) / 2)

    def _stream(self) -> None:
        """From here on the answer is passed on as it comes: hand over what is gathered, wait for who takes the rest."""
        assert self.answer is not None and self.waiter is not None and self.transport is not None
        self.answer.whole, self.answer.stream = False, self
        self.answer.body, self._gathered = b"".join(self._gathered), []
        self.transport.pause_reading()
        if not self.waiter.done():
            self.waiter.set_result(self.answer)

    def take(self, sink: Sink) -> None:
        """`sink` takes the streamed rest."""
        if self.phase is Phase.CLOSED:
            sink.cut("the connection ended")
            return
        self.sink = sink
        rest, self._gathered = self._gathered, []
        for data in rest:
            sink.data(data)
        if self._done:
            self._finished(not self._late)
        elif self.transport is not None and self.phase is not Phase.CLOSED:
            self.transport.resume_reading()

    def flow(self, on: bool) -> None:
        """The sink can (not) take more for now."""
        if self.phase is Phase.ANSWERING and self.transport is not None and not self.transport.is_closing():
            (self.transport.resume_reading if on else self.transport.pause_reading)()

    def on_body(self, data: bytes) -> None:
        if self._done or self._skipping or self._interim:
            self._late = self._late or self._done
            return
        if self.sink is not None:
            self.sink.data(data)
            return
        self._gathered.append(data)
        self._size += len(data)
        if self._size > GATHER and self.answer is not None and self.answer.whole:
            self._stream()

    def on_message_complete(self) -> None:
        if self._late:
            return
        if self._interim:
            self._interim = False
        elif self._skipping and self.answer is None:
            self._skipping, closing = False, True
            self._forget_answer()
            self._closing = closing
            self.previous = b""
        elif not self._done:
            self._done = True
            if not self.parser.should_keep_alive():
                self._closing = True

    def _finished(self, clean: bool) -> None:
        """The answer was read to its end: give it away, keep the connection if nothing speaks against it."""
        answer, waiter, sink = self.answer, self.waiter, self.sink
        assert answer is not None
        if not answer.whole and sink is None:
            return  # streamed, and nobody has taken it yet: take() comes back here
        if answer.whole:
            answer.body = b"".join(self._gathered)
        keep = (
            clean
            and not self._closing
            and self.body_sent
            and self.transport is not None
            and not self.transport.is_closing()
            and not self.transport.get_write_buffer_size()  # answered before the request had left
        )
        source = self.source
        self.previous = self.attempt
        self.nameless = self.nameless or not self._named
        self._late = False
        self._clear()
        if keep:
            self._to(Phase.IDLE)
            self.idle_since = self.clock()
            if not self.transport.is_reading():  # the answer streamed, and ended while it was held up
                self.transport.resume_reading()
        else:
            self._to(Phase.CLOSED)
            if self.transport is not None:
                self.transport.abort()
        if waiter is not None and not waiter.done():
            waiter.set_result(answer)
        elif sink is not None:
            sink.ended()
        if source is not None:
            source.writable(True)
        self.changed(self)


def _load(value: bytes) -> tuple[int, int, int] | None:
    try:
        running, waiting, slots = (int(part) for part in value.split(b","))
    except ValueError:
        return None
    return (running, waiting, slots) if running >= 0 and waiting >= 0 and slots > 0 else None


class Docks:
    """All connections of this edge to nodes: no more than the machine has descriptors for."""

    def __init__(self, most: int):
        self.most, self.open = most, 0
        self.waiting: set[asyncio.Future] = set()  # done when a connection has become idle or has ended

    @property
    def full(self) -> bool:
        """Whether one more would be one too many."""
        return self.open >= self.most

    def changed(self) -> None:
        """A connection has become idle or has ended."""
        for future in self.waiting:
            if not future.done():
                future.set_result(None)


class Pool:
    """The connections of this edge to one node: the one used last is used first, the others age and are closed."""

    def __init__(self, node: Node, clock: Callable[[], float], docks: Docks):
        self.node, self.clock, self.docks = node, clock, docks
        self.idle: list[Connection] = []
        self.all: set[Connection] = set()
        self.opened = 0
        self.gone = False

    def _changed(self, connection: Connection) -> None:
        if connection.phase is Phase.IDLE and not self.gone:
            self.idle.append(connection)
        elif connection.phase is Phase.IDLE:
            connection.abort("the node is gone")
        elif connection in self.all:
            self.all.discard(connection)
            self.docks.open -= 1
            if connection in self.idle:
                self.idle.remove(connection)
        self.docks.changed()

    def reuse(self, careful: bool, attempt: bytes) -> Connection | None:
        """A connection that stands ready, the one used last first. Not one that carried a request with the same id
        before: a late second answer to that one could not be told from the answer to this one."""
        for at in range(len(self.idle) - 1, -1, -1):
            if at >= len(self.idle):
                continue
            connection = self.idle[at]
            if connection.previous == attempt:
                continue
            if connection.ready(careful):
                del self.idle[at]
                return connection
            if not connection.ready(False):
                connection.abort("stale")
        return None

    def put_back(self, connection: Connection) -> None:
        """A connection that was opened and not used."""
        self._changed(connection)

    def shed(self) -> bool:
        """Make room for a new connection by closing the idle one that was used longest ago."""
        if not self.idle:
            return False
        self.idle[0].abort("room for another")
        return True

    async def open(self, timeout: float) -> Connection:
        """A new connection; StationError if none came up within `timeout` seconds."""
        step, peer = "connect to a node", f"{self.node.id} {self.node.address[0]}:{self.node.address[1]}"
        connection = Connection(self.node, self.clock, self._changed)
        self.all.add(connection)
        self.docks.open += 1
        self.opened += 1
        try:
            made = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:  # no descriptor left
            connection.abort("not opened")
            raise PeerError(step, peer, error) from None
        try:
            made.setblocking(False)
            made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
            loop = asyncio.get_running_loop()
            async with asyncio.timeout(timeout):
                await loop.sock_connect(made, self.node.address)
                await loop.create_connection(lambda: connection, sock=made)
        except (OSError, TimeoutError) as error:
            made.close()
            connection.abort("not opened")
            raise PeerError(step, peer, error or "no answer in time") from None
        except asyncio.CancelledError:
            made.close()
            connection.abort("not opened")
            raise
        return connection

    def age(self) -> None:
        """Close idle connections before the node does."""
        now = self.clock()
        for connection in self.idle[:]:
            if now - connection.idle_since > connection.idle_time:
                connection.abort("idle")

    def close(self) -> None:
        """The node is gone: idle connections end now, others when their request has ended."""
        self.gone = True
        for connection in self.idle[:]:
            connection.abort("the node is gone")
