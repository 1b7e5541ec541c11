"""The connections of this edge to its nodes: a pool for each node, and the slots that all pools share.

A slot is a descriptor that a connection may have; requests wait for one when all are taken.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from knotwalk.discovery.view_types import Node
from knotwalk.edge.node_connection import Connection
from knotwalk.edge.node_connection_state import Phase
from knotwalk.runtime.errors import PeerError

# Milliseconds that sent bytes may stay unconfirmed: a cut or dead machine shows within a usual deadline.
USER_TIMEOUT_MS = 1500


class ConnectionSlots:
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

    def __init__(self, node: Node, clock: Callable[[], float], slots: ConnectionSlots):
        self.node, self.clock, self.slots = node, clock, slots
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
            self.slots.open -= 1
            if connection in self.idle:
                self.idle.remove(connection)
        self.slots.changed()

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
        """A new connection; PeerError if none came up within `timeout` seconds."""
        step, peer = "connect to a node", f"{self.node.id} {self.node.address[0]}:{self.node.address[1]}"
        connection = Connection(self.node, self.clock, self._changed)
        self.all.add(connection)
        self.slots.open += 1
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

    def close_idle(self) -> None:
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
