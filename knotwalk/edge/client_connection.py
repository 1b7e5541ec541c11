"""One client's connection as the loop drives it: its beginning, its end, flow control, and the bounds on time."""

from __future__ import annotations

import asyncio
import select

from knotwalk.edge.client_state import ConnectionState
from knotwalk.edge.exchange import Stage
from knotwalk.edge.request_reader import RequestReader

# Seconds that a connection stays open behind its last answer, so that unread bytes don't destroy it on the way.
LINGER = 1.0
# Seconds that a connection lies behind its last answer at least, or what the client sent meanwhile would destroy the
# answer on its way; also between looks for a descriptor while clients wait for one to be accepted.
CROWD_LOOK = 0.05
# A client that came before there was a cluster view is read once there is; after so many seconds it is let go, unread.
STARTING, STARTING_MOST = "starting", 0.9
# Events that the port counts: how a client went while a request of its was under way. It ended its side (a plain close
# looks the same), reset the connection, or did either while nothing was read, which only a look at the socket finds.
ENDED_ITS_SIDE = "client ended its side, requests under way"
RESET = "client reset, requests under way"
LEFT_UNREAD = "client left while reading paused"
LOW, HIGH = 32 * 1024, 128 * 1024  # bytes waiting to be written to a client: reading from the node goes on, pauses


def unread(descriptor: int) -> bool:
    """Whether bytes or an end, or one who connects, wait unread at a socket."""
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


def hung_up(descriptor: int) -> bool:
    """Whether the other side has ended its side or reset, whatever lies unread before that."""
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    return bool(poll.poll(0))


class ClientConnection(RequestReader):
    """One client's connection."""

    _left_unread = False  # counted as one that left while reading paused

    # -- from the loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The loop has accepted the connection."""
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
        """The connection has ended: nobody waits for what is due on it."""
        if self.state is not ConnectionState.CLOSED:
            self._to(ConnectionState.CLOSED)
        if error is not None and self.queue:
            self.front.counts[RESET] += 1
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
        self.front.counts[ENDED_ITS_SIDE] += 1
        if self.state is ConnectionState.OPEN:
            self._to(ConnectionState.LAST)
        return True

    def pause_writing(self) -> None:
        """The client does not read: no more is written, or read, until it does."""
        self.full = True
        self._hold("full", True)
        self._flow(False)

    def resume_writing(self) -> None:
        """The client reads again."""
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

    # -- ending one on which nothing is due

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

    # -- time

    def _look_for_end(self) -> None:
        """Count a client that left while nothing is read from it."""
        if not self.holds or not self.queue or self._left_unread or self.transport is None:
            return
        made = self.transport.get_extra_info("socket")
        if hung_up(made.fileno()):
            self._left_unread = True
            self.front.counts[LEFT_UNREAD] += 1

    def look(self, now: float) -> None:
        """Keep the bounds on idleness and slowness."""
        limits = self.front.limits
        still = now - self.touched
        if self.transport is None or self.state is ConnectionState.CLOSED:
            return
        self._look_for_end()
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
