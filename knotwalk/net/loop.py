"""The loop: selectors, timers, sockets and the clock. The one driver of all that reads or writes.

Owns every socket, moves bytes between sockets and rings, and tells each connection's peer object of its bytes
and of its one Ending. It must never read meaning into bytes, decide anything, or wait in any call but select.
"""

import errno
import heapq
import selectors
import signal
import socket
import time
from collections.abc import Callable, Iterable
from typing import Protocol

from knotwalk.net.close_reason import Ending
from knotwalk.net.ring import Ring

IN_MOST = 1 << 14  # bytes read at once: machines take all they are fed, so the ring never holds more
READS = 4  # reads of one link a turn: a burst in one turn, and no peer starves the others
OUT_MOST = 1 << 17  # bytes a peer may leave unread: what the platform's own side allows
PAUSE = 0.1  # seconds without new connections once no descriptor is to be had: others end by then
ACCEPTS = 64  # new connections a turn: a flood must not starve those that are there
CONNECT = 0.25  # seconds for a connection on the same network to come up: the way and one lost packet
AGAIN_FIRST, AGAIN_MOST = 0.02, 0.5  # seconds before the next connection; doubles: no hammering


class Unreadable(Exception):
    """A peer's bytes make no sense; the text says why."""

    ending = Ending.MALFORMED


class TooLong(Unreadable):
    """A peer's message passes its limit."""

    ending = Ending.TOO_LONG


class Peer(Protocol):
    """The meaning of one connection."""

    def opened(self, link: "Link") -> None:
        """It has come up."""

    def fed(self, link: "Link", data: memoryview) -> None:
        """Bytes came; all are to be taken. Raises Unreadable."""

    def ended(self, link: "Link | None", ending: Ending) -> None:
        """It is over, or there never was one; told once."""


class Timer:
    """A call due at a time."""

    __slots__ = ("call",)

    def __init__(self, call: Callable[[], None]):
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        self.call = None


class Link:
    """One connection: a socket, a ring a direction, and the peer that gives it meaning."""

    def __init__(self, loop: "Loop", sock: socket.socket, peer: Peer, up: bool, address: tuple[str, int]):
        self.loop, self.sock, self.peer, self.up, self.address = loop, sock, peer, up, address
        self.into, self.out = Ring(IN_MOST, IN_MOST), Ring(OUT_MOST)
        self.over = False
        self.timer: Timer | None = None
        self.fault = ""  # what was wrong with its bytes, for the log
        self.events = selectors.EVENT_READ if up else selectors.EVENT_WRITE
        loop.selector.register(sock, self.events, self)

    def write(self, data: bytes) -> None:
        """Send now what goes, the rest as the peer reads."""
        if self.over:
            return
        if not self.out.put(data):
            self.end(Ending.UNREAD)
        elif self.up:
            self.flush()

    def end(self, ending: Ending) -> None:
        if self.over:
            return
        self.over = True
        if self.timer:
            self.timer.cancel()
        self.loop.selector.unregister(self.sock)
        self.sock.close()
        self.peer.ended(self, ending)

    # --- called by the loop ---

    def turn(self, events: int) -> None:
        if not self.up:
            self.come_up()
        elif events & selectors.EVENT_READ:
            reads = 0
            while not self.over and reads < READS and self.read():
                reads += 1
        if not self.over and self.up and events & selectors.EVENT_WRITE:
            self.flush()

    def come_up(self) -> None:
        code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self.end(
                Ending.REFUSED
                if code == errno.ECONNREFUSED
                else Ending.TIMED_OUT
                if code == errno.ETIMEDOUT
                else Ending.RESET
                if code == errno.ECONNRESET
                else Ending.UNREACHABLE
            )
            return
        self.up = True
        if self.timer:
            self.timer.cancel()
        self.peer.opened(self)
        if not self.over:
            self.flush()

    def read(self) -> bool:
        """Read once; whether there may be more."""
        with self.into.room() as room:
            asked = len(room)
            try:
                count = self.sock.recv_into(room)
            except (BlockingIOError, InterruptedError):
                return False
            except OSError:
                count = -1
        if count <= 0:
            self.end(Ending.RESET if count else Ending.CLOSED)
            return False
        self.into.wrote(count)
        while self.into.size and not self.over:
            with self.into.data() as data:
                taken = len(data)
                try:
                    self.peer.fed(self, data)
                except Unreadable as fault:
                    self.fault = str(fault)
                    self.end(fault.ending)
                except Exception as fault:  # bytes that nobody thought of end a connection, not the loop
                    self.fault = f"{type(fault).__name__}: {fault}"
                    self.end(Ending.MALFORMED)
            self.into.took(taken)
        return count == asked

    def flush(self) -> None:
        while self.out.size:
            try:
                with self.out.data() as data:
                    count = self.sock.send(data)
            except (BlockingIOError, InterruptedError):
                break
            except OSError:
                self.end(Ending.RESET)
                return
            self.out.took(count)
        events = selectors.EVENT_READ | (selectors.EVENT_WRITE if self.out.size else 0)
        if events != self.events:
            self.events = events
            self.loop.selector.modify(self.sock, events, self)


class Listener:
    """The address where others connect."""

    def __init__(self, loop: "Loop", sock: socket.socket, accept: Callable[[], Peer]):
        self.loop, self.sock, self.accept = loop, sock, accept

    def turn(self, _events: int) -> None:
        for _ in range(ACCEPTS):
            try:
                sock, address = self.sock.accept()
            except OSError as fault:
                if fault.errno in (errno.EMFILE, errno.ENFILE):  # it stays readable: no spinning on it
                    self.pause()
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            link = Link(self.loop, sock, self.accept(), True, address)
            link.peer.opened(link)

    def pause(self) -> None:
        self.loop.selector.unregister(self.sock)
        self.loop.after(PAUSE, lambda: self.loop.selector.register(self.sock, selectors.EVENT_READ, self))


class Kept:
    """A connection that is kept up by its peer: opened anew whenever it ends, after waits that double, and
    moved to another address by way of a new connection that is up before the old one goes."""

    def __init__(self, loop: "Loop", address: tuple[str, int]):
        self.loop, self.address = loop, address
        self.link: Link | None = None  # the one that is up
        self.trying = False  # whether another is on its way or waits for its turn
        self.again: Timer | None = None
        self.wait = AGAIN_FIRST

    def up(self, link: Link) -> None:
        """It has come up."""

    def lost(self, link: Link | None, ending: Ending) -> None:
        """The one that was up has ended, or a new one did not come up."""

    def start(self) -> None:
        if not self.trying:
            self.trying = True
            self.connect()

    def connect(self) -> None:
        self.again = None
        self.loop.connect(self.address, self, CONNECT)

    def move(self, address: tuple[str, int]) -> None:
        self.address, self.wait = address, AGAIN_FIRST
        if self.again:  # waiting to try the old address once more
            self.again.cancel()
            self.connect()
        self.start()

    def opened(self, link: Link) -> None:
        if link.address != self.address:
            link.end(Ending.LEFT)  # moved meanwhile: on to the new address
            return
        self.trying = False
        old, self.link = self.link, link
        if old:
            old.end(Ending.LEFT)
        self.up(link)

    def ended(self, link: Link | None, ending: Ending) -> None:
        if link is not None and link is self.link:
            self.link = None
        elif self.trying:
            self.trying = False
        else:
            return  # the old one, left for a new one
        self.lost(link, ending)
        if self.trying or self.link and self.link.address == self.address:
            return
        if ending is Ending.LEFT:
            self.start()
            return
        # Out of reach, the time it took not to come up is wait enough: a cut that ends is to be seen at once.
        self.trying = True
        self.again = self.loop.after(AGAIN_FIRST if ending is Ending.TIMED_OUT else self.wait, self.connect)
        if ending is not Ending.TIMED_OUT:
            self.wait = min(AGAIN_MOST, 2 * self.wait)


class Signals:
    """Signals as one more descriptor to read: they are told between rounds, never in the midst of one."""

    def __init__(self, numbers: Iterable[int], tell: Callable[[int], None]):
        self.sock, self.into = socket.socketpair()
        self.tell = tell
        for sock in (self.sock, self.into):
            sock.setblocking(False)
        signal.set_wakeup_fd(self.into.fileno(), warn_on_full_buffer=False)
        for number in numbers:
            signal.signal(number, lambda *_: None)

    def turn(self, _events: int) -> None:
        """Each that came, once: several of a kind in a row ask for the same."""
        for number in dict.fromkeys(self.sock.recv(4096)):
            self.tell(number)


class Loop:
    """All connections and timers of the program."""

    def __init__(self):
        self.selector = selectors.DefaultSelector()
        self.timers: list[tuple[float, int, Timer]] = []
        self.count = 0
        # Unix time at the start, carried on by the clock that never steps back.
        self.epoch = time.time() - time.monotonic()

    def now(self) -> float:
        return self.epoch + time.monotonic()

    def at(self, when: float, call: Callable[[], None]) -> Timer:
        timer = Timer(call)
        self.count += 1
        heapq.heappush(self.timers, (when, self.count, timer))
        return timer

    def after(self, seconds: float, call: Callable[[], None]) -> Timer:
        return self.at(self.now() + seconds, call)

    def connect(self, address: tuple[str, int], peer: Peer, within: float) -> None:
        """Open a connection; the peer hears of it, or of its end if it is not up within that time."""
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError:  # no descriptor is to be had: as if nobody answered
            peer.ended(None, Ending.UNREACHABLE)
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        link = Link(self, sock, peer, False, address)
        link.timer = self.after(within, lambda: link.end(Ending.TIMED_OUT))
        try:
            code = sock.connect_ex(address)
        except OSError as fault:
            code = fault.errno or errno.EADDRNOTAVAIL
        if code not in (0, errno.EINPROGRESS, errno.EWOULDBLOCK):
            link.end(Ending.REFUSED if code == errno.ECONNREFUSED else Ending.UNREACHABLE)

    def listen(self, address: tuple[str, int], accept: Callable[[], Peer]) -> Listener:
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

    def signals(self, numbers: Iterable[int], tell: Callable[[int], None]) -> None:
        """Hear these signals from now on."""
        signals = Signals(numbers, tell)
        self.selector.register(signals.sock, selectors.EVENT_READ, signals)

    def turn(self) -> None:
        """One turn: whatever can be read or written, then the timers that are due."""
        while self.timers and self.timers[0][2].call is None:
            heapq.heappop(self.timers)
        wait = max(0.0, self.timers[0][0] - self.now()) if self.timers else None
        for key, events in self.selector.select(wait):
            if key.fileobj.fileno() >= 0:  # not ended earlier in this turn
                key.data.turn(events)
        now = self.now()
        while self.timers and self.timers[0][0] <= now:
            call = heapq.heappop(self.timers)[2].call
            if call is not None:
                call()
