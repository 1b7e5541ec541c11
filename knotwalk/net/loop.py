"""The event loop: selectors, timers, sockets and the clock. All reading and writing of the process runs on it.

Owns every socket, moves bytes between sockets and buffers, and calls each connection's handler with its bytes and with
its one close reason. It must never interpret bytes, decide anything, or block in any call but select.
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

READ_BUFFER_BYTES = 1 << 14  # read at once: handlers take all they are given, so the buffer never holds more
MAX_READS_PER_TURN = 4  # of one connection: enough for a burst, and no peer starves the others
MAX_UNSENT_BYTES = 1 << 17  # unsent bytes of a connection: the platform's own side allows as many
ACCEPT_PAUSE_S = 0.1  # without accepting once the descriptors have run out: others close meanwhile
MAX_ACCEPTS_PER_TURN = 64  # a flood of new connections must not starve the established ones
CONNECT_TIMEOUT_S = 0.25  # on the same network: the round trip and one lost packet
# The delay doubles from the one to the other, so as not to flood the peer with attempts.
MIN_RECONNECT_DELAY_S, MAX_RECONNECT_DELAY_S = 0.02, 0.5


class ProtocolError(Exception):
    """A peer sent bytes that violate its protocol; the text says how."""

    close_reason = CloseReason.MALFORMED


class MessageTooLongError(ProtocolError):
    """A peer's message exceeds its size limit."""

    close_reason = CloseReason.TOO_LONG


class ConnectionHandler(Protocol):
    """Interprets the bytes of one connection."""

    def connection_made(self, connection: "Connection") -> None:
        """The connection is established."""

    def data_received(self, connection: "Connection", data: memoryview) -> None:
        """Bytes arrived; the handler must take all of them. Raises ProtocolError."""

    def connection_lost(self, connection: "Connection | None", reason: CloseReason) -> None:
        """The connection closed or was never established (None: no socket was to be had); called once."""


class Timer:
    """A callback that is due at a time."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]):
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        self.callback = None


class Connection:
    """One connection: a socket, a ring buffer for each direction, and the handler of its bytes."""

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
        self.error = ""  # what was wrong with the received bytes, for the log
        self.events = selectors.EVENT_READ if connected else selectors.EVENT_WRITE
        loop.selector.register(sock, self.events, self)

    def write(self, data: bytes) -> None:
        """Send what the socket takes now, and the rest as the peer reads."""
        if self.closed:
            return
        if not self.write_buffer.put(data):
            self.close(CloseReason.SEND_BUFFER_FULL)
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
                else CloseReason.CONNECT_TIMEOUT
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
        """Read once; return whether more may be available."""
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
                except Exception as fault:  # unforeseen bytes close this connection and leave the loop running
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
    """A listening socket."""

    def __init__(self, loop: "Loop", sock: socket.socket, accept: Callable[[], ConnectionHandler]):
        self.loop, self.sock, self.accept = loop, sock, accept

    def handle_events(self, _events: int) -> None:
        for _ in range(MAX_ACCEPTS_PER_TURN):
            try:
                sock, address = self.sock.accept()
            except OSError as fault:
                if fault.errno in (errno.EMFILE, errno.ENFILE):  # the socket stays readable, so polling on would spin
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
    """The handler of a connection that is re-established whenever it closes, after delays that double. A change of
    address first establishes the new connection and then closes the old one."""

    def __init__(self, loop: "Loop", address: tuple[str, int]):
        self.loop, self.address = loop, address
        self.connection: Connection | None = None  # the established one
        self.connecting = False  # whether an attempt is in progress or scheduled
        self.reconnect_timer: Timer | None = None
        self.reconnect_delay = MIN_RECONNECT_DELAY_S

    def connection_ready(self, connection: Connection) -> None:
        """The connection is established and is the current one."""

    def connection_failed(self, connection: Connection | None, reason: CloseReason) -> None:
        """The current connection closed, or an attempt at a new one failed."""

    def start(self) -> None:
        if not self.connecting:
            self.connecting = True
            self.connect()

    def connect(self) -> None:
        self.reconnect_timer = None
        self.loop.connect(self.address, self, CONNECT_TIMEOUT_S)

    def change_address(self, address: tuple[str, int]) -> None:
        self.address, self.reconnect_delay = address, MIN_RECONNECT_DELAY_S
        if self.reconnect_timer:  # an attempt at the old address is scheduled
            self.reconnect_timer.cancel()
            self.connect()
        self.start()

    def connection_made(self, connection: Connection) -> None:
        if connection.address != self.address:
            connection.close(CloseReason.CLOSED_BY_US)  # the address changed meanwhile
            return
        self.connecting = False
        old, self.connection = self.connection, connection
        if old:
            old.close(CloseReason.CLOSED_BY_US)
        self.connection_ready(connection)

    def connection_lost(self, connection: Connection | None, reason: CloseReason) -> None:
        if connection is not None and connection is self.connection:
            self.connection = None
        elif self.connecting:
            self.connecting = False
        else:
            return  # the old connection, replaced by a new one
        self.connection_failed(connection, reason)
        if self.connecting or self.connection and self.connection.address == self.address:
            return
        if reason is CloseReason.CLOSED_BY_US:
            self.start()
            return
        # After a connect timeout there is no further backoff: the timeout was wait enough, and the end of a network cut
        # is to be noticed at once.
        self.connecting = True
        self.reconnect_timer = self.loop.call_later(
            MIN_RECONNECT_DELAY_S if reason is CloseReason.CONNECT_TIMEOUT else self.reconnect_delay, self.connect
        )
        if reason is not CloseReason.CONNECT_TIMEOUT:
            self.reconnect_delay = min(MAX_RECONNECT_DELAY_S, 2 * self.reconnect_delay)


class SignalReader:
    """Turns signals into a readable descriptor, so that they are handled between rounds and never within one."""

    def __init__(self, numbers: Iterable[int], on_signal: Callable[[int], None]):
        self.sock, self.write_sock = socket.socketpair()
        self.on_signal = on_signal
        for sock in (self.sock, self.write_sock):
            sock.setblocking(False)
        signal.set_wakeup_fd(self.write_sock.fileno(), warn_on_full_buffer=False)
        for number in numbers:
            signal.signal(number, lambda *_: None)

    def handle_events(self, _events: int) -> None:
        """Handle each pending signal once: several of a kind ask for the same."""
        for number in dict.fromkeys(self.sock.recv(4096)):
            self.on_signal(number)


class Loop:
    """All connections and timers of the process."""

    def __init__(self):
        self.selector = selectors.DefaultSelector()
        self.timers: list[tuple[float, int, Timer]] = []
        self.timer_count = 0
        # Unix time at the start; the monotonic clock carries it on, so that now() never steps back.
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
        """Open a connection; it closes with CONNECT_TIMEOUT unless it is established within `timeout_s`."""
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError:  # out of descriptors: the same as an unreachable peer
            handler.connection_lost(None, CloseReason.UNREACHABLE)
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(self, sock, handler, False, address)
        connection.timer = self.call_later(timeout_s, lambda: connection.close(CloseReason.CONNECT_TIMEOUT))
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
        """Call `on_signal` with each of these signals from now on."""
        signals = SignalReader(numbers, on_signal)
        self.selector.register(signals.sock, selectors.EVENT_READ, signals)

    def run_once(self) -> None:
        """One iteration: handle the sockets that are ready, then call the timers that are due."""
        while self.timers and self.timers[0][2].callback is None:
            heapq.heappop(self.timers)
        wait = max(0.0, self.timers[0][0] - self.now()) if self.timers else None
        for key, events in self.selector.select(wait):
            if key.fileobj.fileno() >= 0:  # not closed earlier in this iteration
                key.data.handle_events(events)
        now = self.now()
        while self.timers and self.timers[0][0] <= now:
            callback = heapq.heappop(self.timers)[2].callback
            if callback is not None:
                callback()
