"""A client connection as the event loop drives it: its start and end, flow control, and timeouts."""

from __future__ import annotations

import asyncio
import select
from enum import Enum

from knotwalk.edge.client_state import BODY, ConnectionState
from knotwalk.edge.request_reader import RequestReader
from knotwalk.edge.stages import Stage, continues_after_half_close
from knotwalk.runtime.logs import log_warning

# Time for which a connection stays open after its last answer: closing with unread bytes would send a reset, which
# could destroy the answer on its way.
LINGER_S = 1.0
# Minimum of that time when descriptors are short. Also the interval at which the port looks for a free descriptor while
# clients wait to be accepted.
CROWDED_POLL_S = 0.05
# A client that connects before there is a cluster view is read once there is one; after this time its connection is
# reset, unread.
STARTING, MAX_STARTING_S = "starting", 0.9
# Names of counted events: how a client left while it had a request in progress. It half-closed (a full close looks the
# same), reset the connection, or did either while reading was paused, which only a poll of the socket detects.
HALF_CLOSED_EVENT = "client ended its side, requests under way"
RESET_EVENT = "client reset, requests under way"
LEFT_WHILE_PAUSED_EVENT = "client left while reading paused"
# Time after which an answer that is known and not written is logged.
HELD_LOGGED_S = 1.0
# Interval at which sockets with paused reading are polled for the end of their client.
PAUSED_POLL_S = 0.15
WRITE_BUFFER_LOW_BYTES, WRITE_BUFFER_HIGH_BYTES = (
    32 * 1024,
    128 * 1024,
)  # buffered bytes to a client at which reading from the node resumes, pauses


def has_unread(descriptor: int) -> bool:
    """Whether a socket has unread bytes, an unread end, or a connection to accept."""
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


class PeerEnd(Enum):
    """What a poll of a client's socket reveals about its end."""

    NONE = "nothing"
    HALF_CLOSED = "ended"  # it sends no more: it has closed or half-closed
    RESET = "reset"  # the connection is closed in both directions


def probe_peer_end(descriptor: int) -> PeerEnd:
    """Whether the client has half-closed or reset, even if bytes before that are still unread."""
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    events = [event for _, event in poll.poll(0)]
    if not events:
        return PeerEnd.NONE
    return PeerEnd.RESET if events[0] & (select.POLLERR | select.POLLHUP) else PeerEnd.HALF_CLOSED


class ClientConnection(RequestReader):
    """One client connection."""

    _end_check: asyncio.TimerHandle | None = None  # the next poll for its end, while reading is paused
    _held_logged = False  # an answer that was held back was logged

    # -- from the loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The event loop has accepted the connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(WRITE_BUFFER_HIGH_BYTES, WRITE_BUFFER_LOW_BYTES)
        self.client_server.on_connected(self)
        if not self.client_server.view_ready:
            # Just started: unread requests may be sent to another edge, idempotent or not; a refused one costs a try.
            self._set_paused(STARTING, True)
            asyncio.get_running_loop().call_later(MAX_STARTING_S, self._give_up)

    def _give_up(self) -> None:
        if STARTING in self.pause_reasons and self.state is ConnectionState.OPEN and self.transport is not None:
            self.transport.abort()

    def on_view_ready(self) -> None:
        """There is a cluster view to serve with: read requests."""
        if STARTING in self.pause_reasons:
            self._set_paused(STARTING, False)

    def connection_lost(self, error: Exception | None) -> None:
        """The connection has ended: nobody waits for its answers any more."""
        if self.state is not ConnectionState.CLOSED:
            self._to(ConnectionState.CLOSED)
        if error is not None and self.queue:
            self.client_server.counts[RESET_EVENT] += 1
        if self._end_check is not None:
            self._end_check.cancel()
        self._abandon(0)
        self.client_server.on_disconnected(self)

    def data_received(self, data: bytes) -> None:
        """Read bytes, and check whether the client has already left, if they were unread for a while.

        That happens on a slow edge, after a pause, or at start. The request is started in the next iteration of the
        event loop, so that a client that has left by now is not served."""
        super().data_received(data)
        if self.queue and self.reading is None and self._probe_peer_end() is not PeerEnd.NONE:
            self._on_half_close()

    def _probe_peer_end(self) -> PeerEnd:
        if self.transport is None or self.transport.is_closing():
            return PeerEnd.NONE
        return probe_peer_end(self.transport.get_extra_info("socket").fileno())

    def _abandon(self, keep_count: int) -> None:
        """Abandon all requests but the first `keep_count`: nobody waits for their answers."""
        while len(self.queue) > keep_count:
            exchange = self.queue.pop()
            exchange.abandon()
            if exchange.answer is not None and exchange.answer.stream is not None:
                exchange.answer.stream.abort("the client is gone")
            if exchange.stage not in (Stage.RUNNING, Stage.DONE):
                self._finish(exchange)

    def eof_received(self) -> bool:
        """The client sends no more: it has closed, or half-closed and still reads."""
        self.end_read = True
        if self.state is ConnectionState.LINGER or not self.queue:
            return False  # nothing left to answer
        if self.reading is not None:
            self.half_closed = True
            self._abandon(0)  # a partial request can't run, and its client is gone
            return False
        return self._on_half_close()

    def _on_half_close(self) -> bool:
        """Handle a half-close: only a started non-idempotent request goes on; True if there is one."""
        self.client_server.counts[HALF_CLOSED_EVENT] += not self.half_closed
        self.half_closed = True
        first = self.queue[0]
        if continues_after_half_close(first.stage, first.is_repeatable):
            first.on_half_close(self.client_server.clock())
            self._abandon(1)
            if first is not self.reading:  # otherwise the rest of its body may have arrived before the end
                self._stop_reading()
            return True
        cut = self.write_paused or first.stage is Stage.WRITING
        self._abandon(0)
        if cut:
            self.abort()  # a close would wait until the client has read, and could look like the end of the answer
        elif self.transport is not None:
            self.transport.close()
        return False

    def pause_writing(self) -> None:
        """The client does not read: write and read nothing until it does."""
        self.write_paused = True
        self._set_paused("full", True)
        self._set_flow(False)

    def resume_writing(self) -> None:
        """Resume writing and reading: the client reads again."""
        self.write_paused = False
        self.last_active = self.client_server.clock()
        self._set_paused("full", False)
        self._set_flow(True)
        self._write()

    def _set_flow(self, on: bool) -> None:
        if self.queue and self.queue[0].stage is Stage.WRITING:
            answer = self.queue[0].answer
            if answer is not None and answer.stream is not None:
                answer.stream.flow(on)

    # -- closing without a pending request

    def close_if_quiet(self) -> None:
        """Close a connection without pending requests, unless unread bytes show that a request has arrived."""
        if (
            self.state is not ConnectionState.OPEN
            or not self.is_quiet()
            or self.transport is None
            or self.transport.is_closing()
        ):
            return
        sock = self.transport.get_extra_info("socket")
        if not has_unread(sock.fileno()):
            self._to(ConnectionState.CLOSED)
            self.transport.close()

    def stop_reading_for_good(self) -> None:
        """Read no more requests.

        A connection with nothing to answer ends: its client may send what is unread to another edge."""
        if self.state is not ConnectionState.OPEN or self.transport is None:
            return
        if self.queue:
            self._stop_reading()
            return
        self._to(ConnectionState.CLOSED)
        if self.transport.get_write_buffer_size():
            self.transport.close()  # after the rest of the last answer
        else:
            self.abort()

    def close_if_idle(self, now: float) -> bool:
        """Close a connection without pending requests to free its descriptor; whether that was possible."""
        if self.state is ConnectionState.LINGER and self.transport is not None and not self.transport.is_closing():
            if now - self.last_active >= CROWDED_POLL_S and not self.transport.get_write_buffer_size():
                self.transport.close()
                return True
            return False
        if self.state is not ConnectionState.OPEN:
            return False
        self.close_if_quiet()
        return self.state is ConnectionState.CLOSED

    # -- timeouts

    def _schedule_end_check(self) -> None:
        if self._end_check is None:
            self._end_check = asyncio.get_running_loop().call_later(PAUSED_POLL_S, self._check_for_end)

    def _check_for_end(self) -> None:
        """Poll the socket for the client's end, which the event loop does not report while reading is paused."""
        self._end_check = None
        if not self.pause_reasons or self.transport is None or self.transport.is_closing():
            return
        peer_end = self._probe_peer_end()
        if peer_end is PeerEnd.RESET:
            self.client_server.counts[LEFT_WHILE_PAUSED_EVENT] += 1
            self.abort()
        elif peer_end is PeerEnd.HALF_CLOSED and self.queue and not self.half_closed:
            self.client_server.counts[LEFT_WHILE_PAUSED_EVENT] += 1
            self._on_half_close()
        self._schedule_end_check()

    def log_held_answer(self, now: float) -> None:
        """Log an answer that has been known for a while and is not written, once for each connection."""
        held = self.held_answer()
        if held is None or self._held_logged or now - (held[0].answered_at or now) < HELD_LOGGED_S:
            return
        self._held_logged = True
        exchange, cause = held
        log_warning(
            "answer held back",
            attempt=exchange.attempt.decode("latin-1"),
            status=exchange.status,
            waits_for=cause,
            read_bytes=exchange.size,
            sent=exchange.sent_at is not None,
        )

    def check_timeouts(self, now: float) -> None:
        """Enforce the limits on idle and slow connections."""
        limits = self.client_server.limits
        idle_s = now - self.last_active
        if self.transport is None or self.state is ConnectionState.CLOSED:
            return
        if self.state is ConnectionState.LINGER:
            if idle_s > (limits.idle_timeout if self.transport.get_write_buffer_size() else LINGER_S):
                self.transport.abort()
        elif self.write_paused and idle_s > limits.idle_timeout:
            self.abort()
        elif self.state is not ConnectionState.OPEN:
            return
        elif self.head_since is not None and now - self.head_since > limits.header_timeout:
            if not self.queue:
                self._refuse(408, "the head took too long")
                self._write()
        elif self.reading is not None and BODY not in self.pause_reasons and idle_s > limits.idle_timeout:
            self._refuse(408 if self.reading.stage is Stage.READING else 400, "the body took too long")
            self._write()
        elif not self.queue and self.head_since is None and idle_s > limits.idle_timeout:
            self.close_if_quiet()
