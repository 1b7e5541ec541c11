"""One client's connection as the loop drives it: its beginning, its end, flow control, and the bounds on time."""

from __future__ import annotations

import asyncio
import select
from enum import Enum

from knotwalk.edge.client_state import ConnectionState
from knotwalk.edge.request_reader import RequestReader
from knotwalk.edge.stages import Stage, continues_after_half_close

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
# Seconds between looks for the end of a client from which nothing is read.
PAUSED_LOOK = 0.15
LOW, HIGH = 32 * 1024, 128 * 1024  # bytes waiting to be written to a client: reading from the node goes on, pauses


def unread(descriptor: int) -> bool:
    """Whether bytes or an end, or one who connects, wait unread at a socket."""
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


class PeerEnd(Enum):
    """What a look at a client's socket tells of its end."""

    NONE = "nothing"
    HALF_CLOSED = "ended"  # it sends no more: it has closed, or ended its side
    RESET = "reset"  # the connection is over, both ways


def probe_peer_end(descriptor: int) -> PeerEnd:
    """Whether the other side has ended its side or reset, whatever lies unread before that."""
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    events = [event for _, event in poll.poll(0)]
    if not events:
        return PeerEnd.NONE
    return PeerEnd.RESET if events[0] & (select.POLLERR | select.POLLHUP) else PeerEnd.HALF_CLOSED


class ClientConnection(RequestReader):
    """One client's connection."""

    _watching: asyncio.TimerHandle | None = None  # the next look for its end, while reading pauses

    # -- from the loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The loop has accepted the connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(HIGH, LOW)
        self.client_server.entered(self)
        if not self.client_server.started:
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
            self.client_server.counts[RESET] += 1
        if self._watching is not None:
            self._watching.cancel()
        self._abandon(0)
        self.client_server.left(self)

    def data_received(self, data: bytes) -> None:
        """Bytes came, and with them perhaps the client's end, if they lay a while (a slow edge, a pause, a start).

        What it asked begins in the next turn of the loop, so that who has left by now is not served."""
        super().data_received(data)
        if self.queue and self.reading is None and self._probe_peer_end() is not PeerEnd.NONE:
            self._client_ended()

    def _probe_peer_end(self) -> PeerEnd:
        if self.transport is None or self.transport.is_closing():
            return PeerEnd.NONE
        return probe_peer_end(self.transport.get_extra_info("socket").fileno())

    def _abandon(self, kept: int) -> None:
        """Nobody waits for the answers any more, but for the first `kept` of them."""
        while len(self.queue) > kept:
            exchange = self.queue.pop()
            exchange.abandon()
            if exchange.answer is not None and exchange.answer.stream is not None:
                exchange.answer.stream.abort("the client is gone")
            if exchange.stage not in (Stage.RUNNING, Stage.DONE):
                self._end(exchange)

    def eof_received(self) -> bool:
        """The client sends no more: it has closed, or still reads."""
        self.over = True
        if self.state is ConnectionState.LINGER or not self.queue:
            return False  # nothing to answer
        if self.reading is not None:
            self._abandon(0)  # half a request is no request, and whoever sends it has gone
            return False
        return self._client_ended()

    def _client_ended(self) -> bool:
        """The client has ended its side: only what outlives it goes on, to be answered; whether anything does."""
        self.over = True
        self.client_server.counts[ENDED_ITS_SIDE] += 1
        first = self.queue[0]
        if continues_after_half_close(first.stage, first.is_repeatable):
            first.on_half_close(self.client_server.clock())
            self._abandon(1)
            self._shut()
            return True
        cut = self.full or first.stage is Stage.WRITING
        self._abandon(0)
        if cut:
            self.abort()  # a close would wait for its reading, and could look like the end of the answer
        elif self.transport is not None:
            self.transport.close()
        return False

    def pause_writing(self) -> None:
        """The client does not read: no more is written, or read, until it does."""
        self.full = True
        self._hold("full", True)
        self._flow(False)

    def resume_writing(self) -> None:
        """The client reads again."""
        self.full = False
        self.touched = self.client_server.clock()
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

    def _watch_for_end(self) -> None:
        if self._watching is None:
            self._watching = asyncio.get_running_loop().call_later(PAUSED_LOOK, self._look_for_end)

    def _look_for_end(self) -> None:
        """While nothing is read, its end is neither: look at the socket for it."""
        self._watching = None
        if not self.holds or self.transport is None or self.transport.is_closing():
            return
        heard = self._probe_peer_end()
        if heard is PeerEnd.RESET:
            self.client_server.counts[LEFT_UNREAD] += 1
            self.abort()
        elif heard is PeerEnd.HALF_CLOSED and self.queue and not self.over:
            self.client_server.counts[LEFT_UNREAD] += 1
            self._client_ended()
        self._watch_for_end()

    def look(self, now: float) -> None:
        """Keep the bounds on idleness and slowness."""
        limits = self.client_server.limits
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
