"""The clients' port: requests are read, carried and answered in order.

Parsing is httptools', strict; what it leaves open (versions, codings, doubled hosts, sizes) is checked here. An answer
that must end early ends by a reset connection, so that it never looks complete.
"""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from collections import deque
from collections.abc import Callable, Coroutine
from enum import Enum
from http import HTTPStatus

import httptools

from knotwalk.admission.connection_budget import shared
from knotwalk.configuration.objects import Limits
from knotwalk.discovery.cluster_view import ClusterView
from knotwalk.edge.forward import Exchange, Forwarder, Stage
from knotwalk.edge.upstream import HOP, Answer
from knotwalk.runtime.errors import PeerError
from knotwalk.runtime.logs import log_exception, log_info
from knotwalk.runtime.settings import Settings

# A request's body up to this size (bytes) is gathered before it is offered to a node; a longer one streams.
GATHER = 64 * 1024
# Requests of one connection that are carried or wait for their turn before reading pauses.
DEPTH = 16
# Seconds between looks at idle connections: the bounds they keep are whole seconds.
SWEEP = 0.5
# Seconds between lines of the log that tell how requests ended: few enough to keep, often enough to see a trouble.
TALLY = 10.0
# Seconds that a connection stays open behind its last answer, so that unread bytes don't destroy it on the way.
LINGER = 1.0
# Seconds by which the time told to clients lies before our own end of an idle connection.
KEEP_MARGIN = 1
# Seconds between looks for a descriptor while clients wait for one to be accepted, and how many before those who wait
# are reset, to go elsewhere: a request takes some 0.15 s. Behind its last answer a connection lies one look at least,
# or what the client sent meanwhile would destroy the answer on its way.
CROWD_LOOK, CROWD_LOOKS = 0.05, 3
# A client that came before there was a cluster view is read once there is; after so many seconds it is let go, unread.
STARTING, STARTING_MOST = "starting", 0.9
# Connections that wait to be accepted.
BACKLOG = 1024
LOW, HIGH = 32 * 1024, 128 * 1024  # bytes waiting to be written to a client: reading from the node goes on, pauses

OURS = HOP | {b"content-length", b"deadline-ms", b"target-instance", b"expect"}
KEPT = frozenset({b"host", b"attempt-id", b"shard-key"})  # no Connection header takes these away
BODILESS = frozenset({204, 304})
REASONS = {int(one): one.phrase.encode() for one in HTTPStatus}


class ConnectionState(Enum):
    """States of a client's connection."""

    OPEN = "open"  # requests are read
    LAST = "last"  # no further request is read; answers are still due
    LINGER = "linger"  # everything is answered; what comes is thrown away until the client has closed
    CLOSED = "closed"


CONNECTION_TRANSITIONS = {
    ConnectionState.OPEN: {ConnectionState.LAST, ConnectionState.LINGER, ConnectionState.CLOSED},
    ConnectionState.LAST: {ConnectionState.LINGER, ConnectionState.CLOSED},
    ConnectionState.LINGER: {ConnectionState.CLOSED},
    ConnectionState.CLOSED: set(),
}


def unread(descriptor: int) -> bool:
    """Whether bytes or an end, or one who connects, wait unread at a socket."""
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


class Refusal(Exception):
    """A request that is not read on: the status that says so."""

    def __init__(self, status: int, text: str):
        super().__init__(text)
        self.status, self.text = status, text


class Client(asyncio.Protocol):
    """One client's connection."""

    def __init__(self, front: Front):
        self.front = front
        self.state = ConnectionState.OPEN
        self.transport: asyncio.Transport | None = None
        self.queue: deque[Exchange] = deque()  # oldest first; the first one's answer is written next
        self.reading: Exchange | None = None  # whose body is being read
        self.parser = httptools.HttpRequestParser(self)
        self.refusal: Refusal | None = None
        self.holds: set[str] = set()  # why reading pauses
        self.full = False  # the client does not read
        self.over = False  # the client has ended its side
        self.touched = front.clock()  # when something moved last
        self.head_since: float | None = None  # when the head being read began
        self._fed = 0
        self._new_head()

    def _new_head(self) -> None:
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._size = 0

    def _to(self, state: ConnectionState) -> None:
        """The one place where the state changes."""
        if state not in CONNECTION_TRANSITIONS[self.state]:
            raise PeerError("client's connection", "", f"from {self.state.value} to {state.value}")
        self.state = state

    # -- from the loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(HIGH, LOW)
        self.front.entered(self)
        if not self.front.view.whole:
            # Just started: what is not read may be sent elsewhere, whatever its kind; what is refused is a try lost.
            self._hold(STARTING, True)
            asyncio.get_running_loop().call_later(STARTING_MOST, self._give_up)

    def _give_up(self) -> None:
        if STARTING in self.holds and self.state is ConnectionState.OPEN and self.transport is not None:
            self.transport.abort()

    def begun(self) -> None:
        """There is a cluster view to serve by."""
        if STARTING in self.holds:
            self._hold(STARTING, False)

    def connection_lost(self, error: Exception | None) -> None:
        if self.state is not ConnectionState.CLOSED:
            self._to(ConnectionState.CLOSED)
        self._leave()

    def _leave(self) -> None:
        """Nobody waits for the answers any more."""
        for x in self.queue:
            x.leave()
            if x.answer is not None and x.answer.stream is not None:
                x.answer.stream.abort("the client is gone")
            if x.stage not in (Stage.RUNNING, Stage.DONE):
                self._end(x)
        self.queue.clear()
        self.front.left(self)

    def eof_received(self) -> bool:
        """The client sends no more: what it sent whole is still answered."""
        self.over = True
        if self.state is ConnectionState.LINGER:
            return False
        if self.reading is not None or not self.queue:
            return False  # half a request, or none: nothing to answer
        if self.state is ConnectionState.OPEN:
            self._to(ConnectionState.LAST)
        return True

    def data_received(self, data: bytes) -> None:
        self.touched = self.front.clock()
        if self.state is not ConnectionState.OPEN:
            return
        if self.reading is None:
            self._fed += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self.state is ConnectionState.OPEN:
                refusal = self.refusal or Refusal(400, "not a request in the protocol")
                self._refuse(refusal.status, refusal.text)
        else:
            if (
                self.state is ConnectionState.OPEN
                and self.reading is None
                and self._fed > self.front.limits.max_header_bytes
            ):
                self._refuse(431, "the head is too large")
        self._write()

    def pause_writing(self) -> None:
        self.full = True
        self._hold("full", True)
        self._flow(False)

    def resume_writing(self) -> None:
        self.full = False
        self.touched = self.front.clock()
        self._hold("full", False)
        self._flow(True)
        self._write()

    def _flow(self, on: bool) -> None:
        if self.queue and self.queue[0].stage is Stage.WRITING:
            answer = self.queue[0].answer
            if answer is not None and answer.stream is not None:
                answer.stream.flow(on)

    def _hold(self, why: str, on: bool) -> None:
        """Pause reading for one more reason, or one less."""
        (self.holds.add if on else self.holds.discard)(why)
        if self.transport is None or self.transport.is_closing():
            return
        if self.holds and self.transport.is_reading():
            self.transport.pause_reading()
        elif not self.holds and not self.transport.is_reading():
            self.transport.resume_reading()
            self.touched = self.front.clock()
            if self.head_since is not None:
                self.head_since = self.touched

    # -- from the parser

    def on_message_begin(self) -> None:
        self._new_head()
        self.head_since = self.touched

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._count(len(url) + 16)

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.reading is not None:
            return  # a trailer
        self._headers.append((name, value))
        self._count(len(name) + len(value) + 4)

    def _count(self, size: int) -> None:
        self._size += size
        if self._size > self.front.limits.max_header_bytes:
            self._stop(431, "the head is too large")

    def _stop(self, status: int, text: str) -> None:
        """Stop the parser: nothing behind this is read."""
        self.refusal = Refusal(status, text)
        raise self.refusal

    def on_headers_complete(self) -> None:
        front = self.front
        now = front.clock()
        self.head_since, self._fed = None, 0
        version = self.parser.get_http_version()
        if version not in ("1.1", "1.0"):
            self._stop(400, "the version is not spoken here")
        x = Exchange(now, self.parser.get_method(), self._settled)
        x.modern = version == "1.1"
        x.keep = self.parser.should_keep_alive()
        if self.parser.should_upgrade():
            self._stop(400, "nothing else is spoken here")  # the parser would take its body for another protocol's
        if not self._target.startswith(b"/"):
            self._stop(400, "the target is no path")
        host, key, deadline, names = None, None, None, OURS
        for name, value in self._headers:
            if name.lower() == b"connection":
                names = names | ({token.strip().lower() for token in value.split(b",")} - KEPT)
        lines = [x.method, b" ", self._target, b" HTTP/1.1\r\n"]
        for name, value in self._headers:
            low = name.lower()
            if low == b"host":
                if host is not None:
                    self._stop(400, "two hosts")
                host = value.strip()
            elif low == b"attempt-id":
                if x.attempt:
                    self._stop(400, "two ids")
                x.attempt = value.strip()
            elif low == b"shard-key":
                key = value.strip() if key is None else b""
            elif low == b"deadline-ms":
                deadline = value.strip() if deadline is None else b""
            elif low == b"content-length":
                x.length = int(value)
            elif low == b"transfer-encoding":
                if value.strip().lower() != b"chunked" or not x.modern:
                    self._stop(400, "a coding that is not spoken here")
                x.chunked = True
            elif low == b"expect":
                x.expects = x.modern and value.strip().lower() == b"100-continue"
            if low not in names:
                lines += (name, b": ", value, b"\r\n")
        x.head = b"".join(lines)
        if host is None:
            self._stop(400, "no Host")
            return
        if not x.attempt:
            self._stop(400, "no Attempt-Id")
        if (x.length or 0) > front.limits.max_body_bytes:
            self._stop(413, "the body is too large")
        self.queue.append(x)
        self.reading = x
        if len(self.queue) >= DEPTH:
            self._hold("depth", True)
        front.begin(x, host, self._target, key, deadline)
        if x.stage is Stage.ANSWERED and (x.chunked or x.expects or (x.length or 0) > GATHER):
            self._shut()  # refused without its body: nothing behind it is read
        elif x.expects and x.stage is Stage.READING and (x.chunked or x.length):
            self._ask_body()

    def _ask_body(self) -> None:
        """Tell a client that waits for it to send its body, once its turn to be told has come."""
        x = self.reading
        if x is not None and x.expects and self.queue and self.queue[0] is x and self.transport is not None:
            x.expects = False
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        x = self.reading
        if x is None:
            return
        x.expects = False
        x.size += len(data)
        if x.size > self.front.limits.max_body_bytes:
            self._stop(413, "the body is too large")
        x.arrived(data)
        if x.stage is Stage.READING and len(x.body) > GATHER:
            x.starve = self._starve
            x.to(Stage.READY)
            self._starve(True)
            self._start()

    def _starve(self, on: bool) -> None:
        self._hold("body", on)

    def on_message_complete(self) -> None:
        x, self.reading = self.reading, None
        if x is None:
            return
        self._starve(False)
        x.ended()
        if x.stage is Stage.READING:
            x.to(Stage.READY)
        if not x.keep and self.state is ConnectionState.OPEN:
            self._to(ConnectionState.LAST)
        self._start()

    # -- requests

    def _start(self) -> None:
        """Carry what may be carried: repeatable requests side by side, others when all before them are answered."""
        for at, x in enumerate(self.queue):
            if at >= DEPTH:
                break
            if x.stage is Stage.READY:
                if at and not (x.route is not None and x.route.idempotent):
                    break
                x.to(Stage.RUNNING)
                self.front.carry(x)
            elif x.stage is Stage.RUNNING and not (x.route is not None and x.route.idempotent):
                break

    def _shut(self) -> None:
        """Read no more requests."""
        self.head_since = None
        if self.state is ConnectionState.OPEN:
            self._to(ConnectionState.LAST)

    def _refuse(self, status: int, text: str) -> None:
        """Bytes that can't be read as a request: answer, behind what is due before, and read no more."""
        self._shut()
        x = self.reading
        self.reading = None
        self._starve(False)
        if x is None or x.stage is Stage.DONE:
            x = Exchange(self.front.clock(), b"GET", self._settled)
            self.queue.append(x)
        x.keep = False
        self.front.counts[f"unread {status}"] += 1
        if x.stage in (Stage.READING, Stage.READY):
            x.own(status, text)
        elif x.stage is Stage.RUNNING:  # its body was being passed on
            x.own(status, text)
            x.leave()
        elif x.stage is Stage.WRITING:
            self.abort()

    def _settled(self, x: Exchange) -> None:
        if x.timer is not None and (x.answer is None or x.answer.whole):
            x.timer.cancel()
            x.timer = None
        if self.state in (ConnectionState.LINGER, ConnectionState.CLOSED):
            if x.answer is not None and x.answer.stream is not None:
                x.answer.stream.abort("the client is gone")
            self._end(x)
            return
        if x is self.reading and x.body_gone:
            self._shut()  # answered before its body was read
        self._write()

    def _end(self, x: Exchange) -> None:
        if x.timer is not None:
            x.timer.cancel()
            x.timer = None
        x.to(Stage.DONE)
        self.front.ended(x)

    # -- answers

    _writing = False

    def _write(self) -> None:
        """Write the answers that are due, in order."""
        if self._writing or self.transport is None:
            return
        self._writing = True
        try:
            while self.queue and not self.full and self.state in (ConnectionState.OPEN, ConnectionState.LAST):
                x = self.queue[0]
                if x.stage is not Stage.ANSWERED or (x is self.reading and self.state is ConnectionState.OPEN):
                    break  # not known yet, or its body must be read first to find what is behind it
                if self._answer(x):
                    self._next(x)
                elif x.stage is not Stage.DONE:
                    return  # the rest streams
        finally:
            self._writing = False
        if self.state is ConnectionState.LAST and not self.queue:
            self._linger()

    def _next(self, x: Exchange) -> None:
        """The first answer is written whole: on to the one behind it."""
        self.queue.popleft()
        self.touched = self.front.clock()
        last = not x.keep
        if x.stage is not Stage.DONE:
            self._end(x)
        if last:
            self._linger()
            return
        if len(self.queue) < DEPTH:
            self._hold("depth", False)
        self._start()
        self._ask_body()

    def _keeps(self, x: Exchange) -> bool:
        """Whether the connection goes on behind this answer, which is the oldest that is due."""
        front = self.front
        return x.keep and (
            len(self.queue) > 1
            or self.state is ConnectionState.OPEN
            and not front.draining
            and len(front.clients) <= front.connection_budget.kept
        )

    def _answer(self, x: Exchange) -> bool:
        """Write an answer, or the beginning of a streamed one; False if its rest comes later."""
        assert self.transport is not None
        answer = x.answer
        if answer is not None and not answer.whole and answer.length is None and not x.modern:
            x.keep = False  # ended by the end of the connection
        keep = x.keep = self._keeps(x)
        if not keep:
            self._shut()
        if answer is None:
            body = (x.text + "\n").encode() if x.text else b""
            lines = [
                b"HTTP/1.1 %d %b\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n"
                % (x.status, REASONS.get(x.status, b""), len(body))
            ]
            if x.attempt:
                lines.append(b"Attempt-Id: %b\r\n" % x.attempt)
            if x.retry_after:
                lines.append(b"Retry-After: %.3f\r\n" % x.retry_after)
            lines.append(self._connection(x, keep))
            self.transport.write(b"".join(lines) + (b"" if x.method == b"HEAD" else body))
            return True
        lines = [b"HTTP/1.1 %d %b\r\n" % (answer.status, REASONS.get(answer.status, b""))]
        for name, value in answer.headers:
            lines += (name, b": ", value, b"\r\n")
        bodiless = x.method == b"HEAD" or answer.status in BODILESS
        if bodiless:
            if answer.length is not None:
                lines.append(b"Content-Length: %d\r\n" % answer.length)
        elif answer.whole:
            lines.append(b"Content-Length: %d\r\n" % len(answer.body))
        elif answer.length is not None:
            lines.append(b"Content-Length: %d\r\n" % answer.length)
        elif x.modern:
            lines.append(b"Transfer-Encoding: chunked\r\n")
        lines.append(self._connection(x, keep))
        if answer.whole:
            self.transport.write(b"".join(lines) + (b"" if bodiless else answer.body))
            return True
        x.to(Stage.WRITING)
        self.transport.write(b"".join(lines))
        passage = Passage(self, x, answer.length is None and x.modern)
        if answer.body:
            passage.data(answer.body)
            answer.body = b""
        assert answer.stream is not None
        answer.stream.take(passage)
        if self.full:
            answer.stream.flow(False)
        return False

    def _connection(self, x: Exchange, keep: bool) -> bytes:
        if not keep:
            return b"Connection: close\r\n\r\n"
        line = b"Keep-Alive: timeout=%d\r\n\r\n" % max(1, int(self.front.limits.idle_timeout) - KEEP_MARGIN)
        return line if x.modern else b"Connection: keep-alive\r\n" + line

    def _linger(self) -> None:
        """Everything is answered: end our side, wait for the client to end its own."""
        if self.state in (ConnectionState.LINGER, ConnectionState.CLOSED):
            return
        self._shut()
        self._to(ConnectionState.LINGER)
        for x in self.queue:  # read behind the last answer: counts as not read
            x.leave()
            if x.stage not in (Stage.RUNNING, Stage.DONE):
                self._end(x)
        self.queue.clear()
        self.holds.clear()
        self.touched = self.front.clock()
        if self.transport is not None and not self.transport.is_closing():
            if not self.transport.is_reading():
                self.transport.resume_reading()
            if self.over:
                self.transport.close()
            else:
                try:
                    self.transport.write_eof()
                except OSError:  # the client has reset the connection, and the loop has not told yet
                    self.transport.abort()

    def part(self) -> None:
        """End a connection on which nothing is due, unless bytes lie unread: then a request has come after all."""
        if (
            self.state is not ConnectionState.OPEN
            or not self.quiet()
            or self.transport is None
            or self.transport.is_closing()
        ):
            return
        made = self.transport.get_extra_info("socket")
        if not unread(made.fileno()):
            self._to(ConnectionState.CLOSED)
            self.transport.close()

    def give_way(self, now: float) -> bool:
        """End a connection on which nothing is due, for its descriptor's sake; whether it could be."""
        if self.state is ConnectionState.LINGER and self.transport is not None and not self.transport.is_closing():
            if now - self.touched >= CROWD_LOOK and not self.transport.get_write_buffer_size():
                self.transport.close()
                return True
            return False
        if self.state is not ConnectionState.OPEN:
            return False
        self.part()
        return self.state is ConnectionState.CLOSED

    def abort(self) -> None:
        """End the connection by a reset: nobody takes what was written for a whole answer."""
        if self.transport is None:
            return
        made = self.transport.get_extra_info("socket")
        if made is not None and not self.transport.is_closing():
            made.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()

    # -- time

    def look(self, now: float) -> None:
        """Keep the bounds on idleness and slowness."""
        limits = self.front.limits
        still = now - self.touched
        if self.transport is None or self.state is ConnectionState.CLOSED:
            return
        if self.state is ConnectionState.LINGER:
            if still > (limits.idle_timeout if self.transport.get_write_buffer_size() else LINGER):
                self.transport.abort()
        elif self.full and still > limits.idle_timeout:
            self.abort()
        elif self.state is not ConnectionState.OPEN:
            return
        elif self.head_since is not None and now - self.head_since > limits.header_timeout:
            if not self.queue:
                self._refuse(408, "the head took too long")
                self._write()
        elif self.reading is not None and "body" not in self.holds and still > limits.idle_timeout:
            self._refuse(408 if self.reading.stage is Stage.READING else 400, "the body took too long")
            self._write()
        elif not self.queue and self.head_since is None and still > limits.idle_timeout:
            self.part()

    def quiet(self) -> bool:
        """Whether nothing of a request has come that is not answered."""
        return not self.queue and self.head_since is None


class Passage:
    """Passes a streamed answer on to the client."""

    def __init__(self, client: Client, x: Exchange, chunked: bool):
        self.client, self.x, self.chunked = client, x, chunked

    def data(self, data: bytes) -> None:
        transport = self.client.transport
        if transport is None or transport.is_closing():
            return
        self.client.touched = self.client.front.clock()
        transport.write(b"%x\r\n%b\r\n" % (len(data), data) if self.chunked else data)

    def ended(self) -> None:
        client, x = self.client, self.x
        if client.state is ConnectionState.CLOSED or x.stage is not Stage.WRITING:
            return
        if self.chunked and client.transport is not None:
            client.transport.write(b"0\r\n\r\n")
        client._next(x)
        client._write()

    def cut(self, why: str) -> None:
        if self.x.stage is Stage.WRITING:
            self.client.front.counts["cut"] += 1
            self.client.abort()


class Front:
    """The clients' port of an edge, at `settings.listen["data_plane"]`."""

    def __init__(self, settings: Settings, view: ClusterView, clock: Callable[[], float], seed: int):
        self.settings, self.view, self.clock = settings, view, clock
        self.forwarder = Forwarder(settings, view, clock, seed)
        self.clients: set[Client] = set()
        self.connection_budget = shared(settings.machine.file_descriptors)
        self.coming = 0  # connections accepted that have not entered yet
        self.draining = False
        self.started = view.whole
        self.open = 0  # requests read and not answered
        self.gate: socket.socket | None = None  # where connections wait to be accepted
        self._shut_until: asyncio.TimerHandle | None = None  # while none is accepted
        self._sweep: asyncio.TimerHandle | None = None
        self._tallied = clock()  # when it was last told how requests ended
        self._tasks: set[asyncio.Task] = set()
        self._calm: asyncio.Event = asyncio.Event()

    @property
    def limits(self) -> Limits:
        configuration = self.view.configuration
        return configuration.limits if configuration is not None else DEFAULT_LIMITS

    @property
    def counts(self) -> dict:
        return self.forwarder.counts

    @property
    def edges(self) -> int:
        """How many edges share the budgets."""
        return self.forwarder.edges

    @edges.setter
    def edges(self, count: int) -> None:
        self.forwarder.edges = count

    async def start(self) -> None:
        """Listen; OSError if the address can't be had."""
        host, port = self.settings.listen["data_plane"]
        loop = asyncio.get_running_loop()
        self.gate = socket.create_server((host, port), backlog=BACKLOG)
        self.gate.setblocking(False)
        loop.add_reader(self.gate, self._accept)
        self._sweep = loop.call_later(SWEEP, self._look)
        log_info("listening", address=f"{host}:{self.port}")

    @property
    def port(self) -> int:
        """The port that is listened at."""
        assert self.gate is not None
        return self.gate.getsockname()[1]

    # -- accepting

    @property
    def crowded(self) -> bool:
        """Whether there is no descriptor for one more client."""
        return len(self.clients) + self.coming >= self.connection_budget.clients

    def _accept(self) -> None:
        """Take in who waits, as far as there is room; idle clients make some."""
        for _ in range(BACKLOG):
            if self.gate is None:
                return
            if self.crowded:
                if unread(self.gate.fileno()):  # somebody waits
                    self._make_room()
                    self._wait_for_room()
                return
            try:
                made, _ = self.gate.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:  # no descriptor, whatever we count
                self.counts[f"not accepted: {error.strerror}"] += 1
                self._wait_for_room()
                return
            made.setblocking(False)
            self.coming += 1
            self._spawn(self._enter(made))

    async def _enter(self, made: socket.socket) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(lambda: Client(self), made)
        except OSError:
            self.coming -= 1
            made.close()

    def _make_room(self) -> bool:
        """End the connection that has been still longest among those with nothing due; whether there was one."""
        now = self.clock()
        for client in sorted(self.clients, key=lambda client: client.touched):
            if client.give_way(now):
                return True
        return False

    def _wait_for_room(self) -> None:
        if self._shut_until is None and self.gate is not None:
            asyncio.get_running_loop().remove_reader(self.gate)
            self._look_for_room(CROWD_LOOKS)

    def _look_for_room(self, looks: int) -> None:
        if not looks and not self._make_room():
            self._turn_away()
        elif self.gate is not None:
            if looks < CROWD_LOOKS:
                self._make_room()
            self._shut_until = asyncio.get_running_loop().call_later(CROWD_LOOK, self._look_for_room, max(0, looks - 1))

    def _turn_away(self) -> None:
        """Nobody left in time: who waits is reset unread, which lets it try elsewhere whatever it asks."""
        while self.gate is not None:
            try:
                made, _ = self.gate.accept()
            except OSError:
                break
            made.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            made.close()
            self.counts["no room for a connection"] += 1
        self._reopen()

    def _reopen(self) -> None:
        if self._shut_until is not None:
            self._shut_until.cancel()
            self._shut_until = None
            if self.gate is not None:
                asyncio.get_running_loop().add_reader(self.gate, self._accept)

    def _close_gate(self) -> None:
        if self.gate is not None:
            if self._shut_until is None:
                asyncio.get_running_loop().remove_reader(self.gate)
            else:
                self._shut_until.cancel()
            self.gate.close()
            self.gate = None

    def _look(self) -> None:
        now = self.clock()
        for client in list(self.clients):
            client.look(now)
        self.forwarder.age()
        if now - self._tallied >= TALLY:
            self._tell_tally(now)
        self._sweep = asyncio.get_running_loop().call_later(SWEEP, self._look)

    def _tell_tally(self, now: float) -> None:
        seconds, self._tallied = round(now - self._tallied, 1), now
        if counts := self.forwarder.tally():
            log_info("requests", seconds=seconds, counts=counts)

    def drain(self) -> None:
        """Accept no more connections; answers tell clients to leave; what was read is finished.

        Who is connected as the system sees it, and was not accepted yet, is taken in: a closed gate would reset it.
        """
        if self.draining:
            return
        self.draining = True
        self._accept()
        self._close_gate()
        log_info("draining", clients=len(self.clients), requests=self.open)

    async def finished(self, by: float) -> None:
        """Until every request that was read is answered, or the steady clock shows `by`; then connections end."""
        while (self.open or self.coming or any(not client.quiet() for client in self.clients)) and self.clock() < by:
            self._calm.clear()
            try:
                async with asyncio.timeout(min(SWEEP, max(0.0, by - self.clock()))):
                    await self._calm.wait()
            except TimeoutError:
                pass
        for client in list(self.clients):
            client.part()
        while (
            any(client.transport is not None and client.transport.get_write_buffer_size() for client in self.clients)
            and self.clock() < by
        ):
            await asyncio.sleep(0.01)
        if self._sweep is not None:
            self._sweep.cancel()
        self._tell_tally(self.clock())
        for pool in list(self.forwarder.pools.values()):
            pool.close()

    def report(self, now: float) -> dict:
        """What was met with since the last call; see the forwarder."""
        return self.forwarder.report()

    def pictured(self, changed: set[str]) -> None:
        """The cluster view changed."""
        self.forwarder.pictured(changed)
        if not self.started and self.view.whole:
            self.started = True
            for client in list(self.clients):
                client.begun()

    # -- from clients' connections

    def entered(self, client: Client) -> None:
        """An accepted connection came."""
        self.coming -= 1
        self.clients.add(client)

    def left(self, client: Client) -> None:
        """A connection has ended, or is about to: its descriptor is free after this turn of the loop."""
        self.clients.discard(client)
        self._calm.set()
        if self._shut_until is not None and not self.crowded:
            self._reopen()

    def begin(self, x: Exchange, host: bytes, target: bytes, key: bytes | None, deadline: bytes | None) -> None:
        """A request's head was read: find its route and its deadline."""
        self.open += 1
        index = self.view.index
        if index is None:
            x.own(503, "not ready", 0.2)
            return
        route = index.find(host.decode("latin-1"), target.decode("latin-1"))
        if route is None:
            self.counts["no route"] += 1
            x.own(404, "no route")
            return
        mistake = self.forwarder.routed(x, route, key)
        left = route.timeout
        if deadline is not None:
            try:
                left = min(left, float(deadline) / 1000)
            except ValueError:
                mistake = mistake or "Deadline-Ms must be a number"
            if not left >= 0:
                mistake = mistake or "Deadline-Ms must be a number"
        if mistake:
            self.counts["mistake"] += 1
            x.own(400, mistake)
            return
        x.until = x.begun + left
        x.timer = asyncio.get_running_loop().call_later(left, x.expire)

    def carry(self, x: Exchange) -> None:
        """Carry a request; it tells when its answer is known."""
        self._spawn(self._carry(x))

    def _spawn(self, work: Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _carry(self, x: Exchange) -> None:
        try:
            await self.forwarder.carry(x)
        except Exception:
            log_exception("carrying a request failed", attempt=x.attempt.decode("latin-1"))
            if x.stage is Stage.RUNNING:
                x.own(502, "trouble of the edge")

    def ended(self, x: Exchange) -> None:
        """A request has got its answer, or nobody waits for it."""
        if x.attempt:
            self.open -= 1
        if not self.open:
            self._calm.set()


DEFAULT_LIMITS = Limits()
__all__ = ["Answer", "Client", "Front"]
