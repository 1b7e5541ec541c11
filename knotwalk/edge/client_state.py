"""The state of one client's connection: its requests in order, why reading pauses, and the one change of state.

Owns what the reader of requests and the writer of answers share. Nothing here reads bytes or writes any.
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

# Requests of one connection that are carried or wait for their turn before reading pauses.
MAX_PIPELINED = 16


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


class ClientState(asyncio.Protocol):
    """What is known of one client's connection; reading, writing and the loop's calls are built on it."""

    def __init__(self, client_server: ClientsPort):
        self.client_server = client_server
        self.state = ConnectionState.OPEN
        self.transport: asyncio.Transport | None = None
        self.queue: deque[Exchange] = deque()  # oldest first; the first one's answer is written next
        self.reading: Exchange | None = None  # whose body is being read
        self.parser = httptools.HttpRequestParser(self)
        self.refusal: RequestRefusedError | None = None
        self.holds: set[str] = set()  # why reading pauses
        self.full = False  # the client does not read
        self.over = False  # the client has ended its side
        self.touched = client_server.clock()  # when something moved last
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

    def _hold(self, why: str, on: bool) -> None:
        """Pause reading for one more reason, or one less."""
        (self.holds.add if on else self.holds.discard)(why)
        if self.transport is None or self.transport.is_closing():
            return
        if self.holds and self.transport.is_reading():
            self.transport.pause_reading()
            self._watch_for_end()
        elif not self.holds and not self.transport.is_reading():
            self.transport.resume_reading()
            self.touched = self.client_server.clock()
            if self.head_since is not None:
                self.head_since = self.touched

    def _watch_for_end(self) -> None:
        """Reading pauses: hear of the client's end by other means."""

    def _starve(self, on: bool) -> None:
        self._hold("body", on)

    def _shut(self) -> None:
        """Read no more requests."""
        self.head_since = None
        if self.state is ConnectionState.OPEN:
            self._to(ConnectionState.LAST)

    def _start(self) -> None:
        """Carry what may be carried: repeatable requests side by side, others when all before them are answered."""
        for at, exchange in enumerate(self.queue):
            if at >= MAX_PIPELINED:
                break
            if exchange.stage is Stage.READY:
                if at and not (exchange.route is not None and exchange.route.idempotent):
                    break
                exchange.transition_to(Stage.RUNNING)
                self.client_server.carry(exchange)
            elif exchange.stage is Stage.RUNNING and not (exchange.route is not None and exchange.route.idempotent):
                break

    def _end(self, exchange: Exchange) -> None:
        if exchange.timer is not None:
            exchange.timer.cancel()
            exchange.timer = None
        exchange.transition_to(Stage.DONE)
        self.client_server.ended(exchange)

    def quiet(self) -> bool:
        """Whether nothing of a request has come that is not answered."""
        return not self.queue and self.head_since is None

    def abort(self) -> None:
        """End the connection by a reset: nobody takes what was written for a whole answer."""
        if self.transport is None:
            return
        made = self.transport.get_extra_info("socket")
        if made is not None and not self.transport.is_closing():
            made.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()
