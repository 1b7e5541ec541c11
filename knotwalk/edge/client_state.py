"""The state of one client connection: its requests in order, the reasons why reading pauses, and state transitions.

Holds what the request reader and the answer writer share. Nothing here reads or writes bytes.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from enum import Enum

import httptools

from knotwalk.edge.clients_port import ClientsPort
from knotwalk.edge.exchange import Exchange
from knotwalk.edge.request_head import RequestRefusedError
from knotwalk.edge.stages import Stage
from knotwalk.runtime.errors import PeerError

# Pipelined requests of one connection, in progress or waiting for their turn, at which reading pauses.
MAX_PIPELINED = 16
# A request body up to this size is buffered before the request is offered to a node; a longer one is streamed.
MAX_BUFFERED_BYTES = 64 * 1024


# Reason to pause reading: the body that is being read can't be passed on yet.
BODY = "body"


class ConnectionState(Enum):
    """States of a client connection."""

    OPEN = "open"  # requests are read
    LAST = "last"  # no further request is read; answers are still pending
    LINGER = "linger"  # everything is answered; what arrives is discarded until the client closes
    CLOSED = "closed"


CONNECTION_TRANSITIONS = {
    ConnectionState.OPEN: {ConnectionState.LAST, ConnectionState.LINGER, ConnectionState.CLOSED},
    ConnectionState.LAST: {ConnectionState.LINGER, ConnectionState.CLOSED},
    ConnectionState.LINGER: {ConnectionState.CLOSED},
    ConnectionState.CLOSED: set(),
}


class ClientState(asyncio.Protocol):
    """The state of one client connection; base of the reader, the writer and the event loop's protocol."""

    def __init__(self, client_server: ClientsPort):
        self.client_server = client_server
        self.state = ConnectionState.OPEN
        self.transport: asyncio.Transport | None = None
        self.queue: deque[Exchange] = deque()  # oldest first; the answer of the first is written next
        self.reading: Exchange | None = None  # the request whose body is being read
        self.parser = httptools.HttpRequestParser(self)
        self.refusal: RequestRefusedError | None = None
        self.pause_reasons: set[str] = set()  # the reasons why reading pauses
        self.write_paused = False  # the client does not read: the write buffer is full
        self.half_closed = False  # the client has shut down its sending side
        self.end_read = False  # and everything that it sent before that was read
        self.last_active = client_server.clock()  # when bytes were last read or written
        self.head_since: float | None = None  # when the head being read began
        self._head_bytes_fed = 0
        self._reset_head()

    def _reset_head(self) -> None:
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_size = 0

    def _to(self, state: ConnectionState) -> None:
        """Change the state; PeerError if the transition is not allowed."""
        if state not in CONNECTION_TRANSITIONS[self.state]:
            raise PeerError("client's connection", "", f"invalid transition from {self.state.value} to {state.value}")
        self.state = state

    def _set_paused(self, why: str, on: bool) -> None:
        """Add (`on`) or remove a reason to pause reading, and pause or resume accordingly."""
        (self.pause_reasons.add if on else self.pause_reasons.discard)(why)
        if self.transport is None or self.transport.is_closing():
            return
        if self.pause_reasons and self.transport.is_reading():
            self.transport.pause_reading()
            self._schedule_end_check()
        elif not self.pause_reasons and not self.transport.is_reading():
            self.transport.resume_reading()
            self.last_active = self.client_server.clock()
            if self.head_since is not None:
                self.head_since = self.last_active

    def _schedule_end_check(self) -> None:
        """Called when reading pauses: the end of the client must be detected by other means."""

    def _set_backpressure(self, exchange: Exchange, on: bool) -> None:
        """Pause or resume reading the body of a request; without effect once it is not being read any more."""
        if exchange is self.reading:
            self._set_paused(BODY, on)

    def _end_body(self) -> Exchange | None:
        """Stop reading a body, since it is complete or nobody needs the rest; returns the request, if there was one."""
        exchange, self.reading = self.reading, None
        self._set_paused(BODY, False)
        return exchange

    def _stop_reading(self) -> None:
        """Read no more requests."""
        self.head_since = None
        if self.state is ConnectionState.OPEN:
            self._to(ConnectionState.LAST)

    def _start(self) -> None:
        """Forward the requests that may go now: idempotent ones in parallel, others after all before them."""
        for position, exchange in enumerate(self.queue):
            if position >= MAX_PIPELINED:
                break
            if exchange.stage is Stage.READY:
                if position and not (exchange.route is not None and exchange.route.idempotent):
                    break
                exchange.transition_to(Stage.RUNNING)
                self.client_server.forward(exchange)
            elif exchange.stage is Stage.RUNNING and not (exchange.route is not None and exchange.route.idempotent):
                break

    def _finish(self, exchange: Exchange) -> None:
        if exchange.timer is not None:
            exchange.timer.cancel()
            exchange.timer = None
        exchange.transition_to(Stage.DONE)
        self.client_server.on_request_done(exchange)

    @property
    def is_open(self) -> bool:
        """Whether requests are read."""
        return self.state is ConnectionState.OPEN and self.transport is not None and not self.transport.is_closing()

    def is_quiet(self) -> bool:
        """Whether no request, complete or partial, is unanswered."""
        return not self.queue and self.head_since is None

    def abort(self) -> None:
        """Reset the connection, so that the client can't take what was written for a complete answer."""
        if self.transport is None:
            return
        sock = self.transport.get_extra_info("socket")
        if sock is not None and not self.transport.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()
