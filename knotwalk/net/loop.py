"""The loop: selectors, timers, sockets and the clock. The one driver of all that reads or writes.

Owns every socket, moves bytes between sockets and rings, and tells each connection's peer object of its bytes
and of its one close reason. It must never read meaning into bytes, decide anything, or wait in any call but select.
"""

import errno
import heapq
import selectors
import signal
import socket
import time
from collections.abc import Callable, Iterable
from typing import Protocol

from knotwalk.net.close_reason import CloseReason
from knotwalk.net.ring import RingBuffer

READ_BUFFER_BYTES = 1 << 14  # bytes read at once: machines take all they are fed, so the ring never holds more
MAX_READS_PER_TURN = 4  # reads of one connection a turn: a burst in one turn, and no peer starves the others
MAX_UNSENT_BYTES = 1 << 17  # bytes a peer may leave unread: what the platform's own side allows
ACCEPT_PAUSE_S = 0.1  # seconds without new connections once no descriptor is to be had: others end by then
MAX_ACCEPTS_PER_TURN = 64  # new connections a turn: a flood must not starve those that are there
CONNECT_TIMEOUT_S = 0.25  # seconds for a connection on the same network to come up: the way and one lost packet
MIN_RECONNECT_DELAY_S, MAX_RECONNECT_DELAY_S = 0.02, 0.5  # seconds before the next connection; doubles: no hammering


class ProtocolError(Exception):
    """A peer's bytes make no sense; the text says why."""

    close_reason = CloseReason.MALFORMED


class MessageTooLongError(ProtocolError):
    """A peer's message passes its limit."""

    close_reason = CloseReason.TOO_LONG


class ConnectionHandler(Protocol):
    """The meaning of one connection."""

    def connection_made(self, connection: "Connection") -> None:
        """It has come up."""

    def data_received(self, connection: "Connection", data: memoryview) -> None:
        """Bytes came; all are to be size. Raises ProtocolError."""

    def connection_lost(self, connection: "Connection | None", reason: CloseReason) -> None:
        """It is over, or there never was one; told once."""


class Timer:
    """A call due at a time."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]):
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        self.callback = None


class Connection:
    """One connection: a socket, a ring a direction, and the peer that gives it meaning."""

    def __init__(
        self, loop: "Loop", sock: socket.socket, handler: ConnectionHandler, connected: bool, address: tuple[str, int]
    ):
        self.loop, self.sock, self.handler, self.connected, self.address = loop, sock, handler, connected, address
        self.read_buffer, self.write_buffer = (
            RingBuffer(READ_BUFFER_BYTES, READ_BUFFER_BYTES),
            RingBuffer(MAX_UNSENT_BYTES),
        )
        self.closed = False
        self.timer: Timer | None = None
        self.error = ""  # what was wrong with its bytes, for the log
        self.events = selectors.EVENT_READ if connected else selectors.EVENT_WRITE
        loop.selector.register(sock, self.events, self)

    def write(self, data: bytes) -> None:
        """Send now what goes, the rest as the peer reads."""
        if self.closed:
            return
        if not self.write_buffer.put(data):
            self.close(CloseReason.UNREAD)
        elif self.connected:
            self.flush()

    def close(self, reason: CloseReason) -> None:
        if self.closed:
            return
        self.closed = True
        if self.timer:
            self.timer.cancel()
        self.loop.selector.unregister(self.sock)
        self.sock.close()
        self.handler.connection_lost(self, reason)

    # --- called by the loop ---

    def handle_events(self, events: int) -> None:
        if not self.connected:
            self.finish_connect()
        elif events & selectors.EVENT_READ:
            reads = 0
            while not self.closed and reads < MAX_READS_PER_TURN and self.read():
                reads += 1
        if not self.closed and self.connected and events & selectors.EVENT_WRITE:
            self.flush()

    def finish_connect(self) -> None:
        code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self.close(
                CloseReason.REFUSED
                if code == errno.ECONNREFUSED
                else CloseReason.TIMED_OUT
                if code == errno.ETIMEDOUT
                else CloseReason.RESET
                if code == errno.ECONNRESET
                else CloseReason.UNREACHABLE
            )
            return
        self.connected = True
        if self.timer:
            self.timer.cancel()
        self.handler.connection_made(self)
        if not self.closed:
            self.flush()

    def read(self) -> bool:
        """Read once; whether there may be more."""
        with self.read_buffer.free_space() as space:
            requested = len(space)
            try:
                count = self.sock.recv_into(space)
            except (BlockingIOError, InterruptedError):
                return False
            except OSError:
                count = -1
        if count <= 0:
            self.close(CloseReason.RESET if count else CloseReason.CLOSED)
            return False
        self.read_buffer.commit(count)
        while self.read_buffer.size and not self.closed:
            with self.read_buffer.peek() as data:
                size = len(data)
                try:
                    self.handler.data_received(self, data)
                except ProtocolError as fault:
                    self.error = str(fault)
                    self.close(fault.close_reason)
                except Exception as fault:  # bytes that nobody thought of end a connection, not the loop
                    self.error = f"{type(fault).__name__}: {fault}"
                    self.close(CloseReason.MALFORMED)
            self.read_buffer.consume(size)
        return count == requested

    def flush(self) -> None:
        while self.write_buffer.size:
            try:
                with self.write_buffer.peek() as data:
                    count = self.sock.send(data)
            except (BlockingIOError, InterruptedError):
                break
            except OSError:
                self.close(CloseReason.RESET)
                return
            self.write_buffer.consume(count)
        events = selectors.EVENT_READ | (selectors.EVENT_WRITE if self.write_buffer.size else 0)
        if events != self.events:
            self.events = events
            self.loop.selector.modify(self.sock, events, self)


class Listener:
    """The address where others connect."""

    def __init__(self, loop: "Loop", sock: socket.socket, accept: Callable[[], ConnectionHandler]):
        self.loop, self.sock, self.accept = loop, sock, accept

    def handle_events(self, _events: int) -> None:
        for _ in range(MAX_ACCEPTS_PER_TURN):
            try:
                sock, address = self.sock.accept()
            except OSError as fault:
                if fault.errno in (errno.EMFILE, errno.ENFILE):  # it stays readable: no spinning on it
                    self.pause()
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = Connection(self.loop, sock, self.accept(), True, address)
            connection.handler.connection_made(connection)

    def pause(self) -> None:
        self.loop.selector.unregister(self.sock)
        self.loop.call_later(ACCEPT_PAUSE_S, lambda: self.loop.selector.register(self.sock, selectors.EVENT_READ, self))


class PersistentConnection:
    """A connection that is kept up by its peer: opened anew whenever it ends, after waits that double, and
    moved to another address by way of a new connection that is up before the old one goes."""

    def __init__(self, loop: "Loop", address: tuple[str, int]):
        self.loop, self.address = loop, address
        self.connection: Connection | None = None  # the one that is up
        self.connecting = False  # whether another is on its way or waits for its turn
        self.reconnect_timer: Timer | None = None
        self.reconnect_delay = MIN_RECONNECT_DELAY_S

    def connection_ready(self, connection: Connection) -> None:
        """It has come up."""

    def connection_failed(self, connection: Connection | None, reason: CloseReason) -> None:
        """The one that was up has ended, or a new one did not come up."""

    def start(self) -> None:
        if not self.connecting:
            self.connecting = True
            self.connect()

    def connect(self) -> None:
        self.reconnect_timer = None
        self.loop.connect(self.address, self, CONNECT_TIMEOUT_S)

    def change_address(self, address: tuple[str, int]) -> None:
        self.address, self.reconnect_delay = address, MIN_RECONNECT_DELAY_S
        if self.reconnect_timer:  # waiting to try the old address once more
            self.reconnect_timer.cancel()
            self.connect()
        self.start()

    def connection_made(self, connection: Connection) -> None:
        if connection.address != self.address:
            connection.close(CloseReason.LEFT)  # moved meanwhile: on to the new address
            return
        self.connecting = False
        old, self.connection = self.connection, connection
        if old:
            old.close(CloseReason.LEFT)
        self.connection_ready(connection)

    def connection_lost(self, connection: Connection | None, reason: CloseReason) -> None:
        if connection is not None and connection is self.connection:
            self.connection = None
        elif self.connecting:
            self.connecting = False
        else:
            return  # the old one, left for a new one
        self.connection_failed(connection, reason)
        if self.connecting or self.connection and self.connection.address == self.address:
            return
        if reason is CloseReason.LEFT:
            self.start()
            return
        # Out of reach, the time it took not to come up is wait enough: a cut that ends is to be seen at once.
        self.connecting = True
        self.reconnect_timer = self.loop.call_later(
            MIN_RECONNECT_DELAY_S if reason is CloseReason.TIMED_OUT else self.reconnect_delay, self.connect
        )
        if reason is not CloseReason.TIMED_OUT:
            self.reconnect_delay = min(MAX_RECONNECT_DELAY_S, 2 * self.reconnect_delay)


class SignalReader:
    """Signals as one more descriptor to read: they are told between rounds, never in the midst of one."""

    def __init__(self, numbers: Iterable[int], on_signal: Callable[[int], None]):
        self.sock, self.write_sock = socket.socketpair()
        self.on_signal = on_signal
        for sock in (self.sock, self.write_sock):
            sock.setblocking(False)
        signal.set_wakeup_fd(self.write_sock.fileno(), warn_on_full_buffer=False)
        for number in numbers:
            signal.signal(number, lambda *_: None)

    def handle_events(self, _events: int) -> None:
        """Each that came, once: several of a kind in a row ask for the same."""
        for number in dict.fromkeys(self.sock.recv(4096)):
            self.on_signal(number)


class Loop:
    """All connections and timers of the program."""

    def __init__(self):
        self.selector = selectors.DefaultSelector()
        self.timers: list[tuple[float, int, Timer]] = []
        self.timer_count = 0
        # Unix time at the start, carried on by the clock that never steps back.
        self.epoch = time.time() - time.monotonic()

    def now(self) -> float:
        return self.epoch + time.monotonic()

    def call_at(self, when: float, callback: Callable[[], None]) -> Timer:
        timer = Timer(callback)
        self.timer_count += 1
        heapq.heappush(self.timers, (when, self.timer_count, timer))
        return timer

    def call_later(self, seconds: float, callback: Callable[[], None]) -> Timer:
        return self.call_at(self.now() + seconds, callback)

    def connect(self, address: tuple[str, int], handler: ConnectionHandler, timeout_s: float) -> None:
        """Open a connection; the peer hears of it, or of its end if it is not up within that time."""
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError:  # no descriptor is to be had: as if nobody answered
            handler.connection_lost(None, CloseReason.UNREACHABLE)
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(self, sock, handler, False, address)
        connection.timer = self.call_later(timeout_s, lambda: connection.close(CloseReason.TIMED_OUT))
        try:
            code = sock.connect_ex(address)
        except OSError as fault:
            code = fault.errno or errno.EADDRNOTAVAIL
        if code not in (0, errno.EINPROGRESS, errno.EWOULDBLOCK):
            connection.close(CloseReason.REFUSED if code == errno.ECONNREFUSED else CloseReason.UNREACHABLE)

    def listen(self, address: tuple[str, int], accept: Callable[[], ConnectionHandler]) -> Listener:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(address)
            sock.listen(512)
        except OSError:
            sock.close()
            raise
        sock.setblocking(False)
        listener = Listener(self, sock, accept)
        self.selector.register(sock, selectors.EVENT_READ, listener)
        return listener

    def add_signal_handlers(self, numbers: Iterable[int], on_signal: Callable[[int], None]) -> None:
        """Hear these signals from now on."""
        signals = SignalReader(numbers, on_signal)
        self.selector.register(signals.sock, selectors.EVENT_READ, signals)

    def run_once(self) -> None:
        """One turn: whatever can be read or written, then the timers that are due."""
        while self.timers and self.timers[0][2].callback is None:
            heapq.heappop(self.timers)
        wait = max(0.0, self.timers[0][0] - self.now()) if self.timers else None
        for key, events in self.selector.select(wait):
            if key.fileobj.fileno() >= 0:  # not ended earlier in this turn
                key.data.handle_events(events)
        now = self.now()
        while self.timers and self.timers[0][0] <= now:
            callback = heapq.heappop(self.timers)[2].callback
            if callback is not None:
                callback()
