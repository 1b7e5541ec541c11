"""Connections from this edge to nodes: a pool for each node, and the slots that all pools share.

A slot is a file descriptor for one connection; requests wait for one when all are taken.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from knotwalk.discovery.view_types import Node
from knotwalk.edge.node_connection import Connection
from knotwalk.edge.node_connection_state import Phase
from knotwalk.runtime.errors import PeerError

# Time for which sent bytes may stay unacknowledged: a dead or unreachable machine is detected within a usual deadline.
USER_TIMEOUT_MS = 1500


class ConnectionSlots:
    """Limits all connections of this edge to nodes to the available descriptors."""

    def __init__(self, max_open: int):
        self.max_open, self.open = max_open, 0
        self.waiting: set[asyncio.Future] = set()  # completed when a connection becomes idle or closes

    @property
    def full(self) -> bool:
        """Whether no slot is free."""
        return self.open >= self.max_open

    def changed(self) -> None:
        """Wake waiting requests: a connection has become idle or has closed."""
        for future in self.waiting:
            if not future.done():
                future.set_result(None)


class Pool:
    """The connections of this edge to one node. The most recently used one is reused first; idle ones are closed."""

    def __init__(self, node: Node, clock: Callable[[], float], slots: ConnectionSlots):
        self.node, self.clock, self.slots = node, clock, slots
        self.idle: list[Connection] = []
        self.all: set[Connection] = set()
        self.opened = 0
        self.node_removed = False

    def _changed(self, connection: Connection) -> None:
        if connection.phase is Phase.IDLE and not self.node_removed:
            self.idle.append(connection)
        elif connection.phase is Phase.IDLE:
            connection.abort("the node is gone")
        elif connection in self.all:
            self.all.discard(connection)
            self.slots.open -= 1
            if connection in self.idle:
                self.idle.remove(connection)
        self.slots.changed()

    def reuse(self, non_idempotent: bool, attempt: bytes) -> Connection | None:
        """The most recently used idle connection that is ready, if any.

        Not one whose previous request had the same id: a late duplicate of that answer could not be distinguished
        from the answer to this request."""
        for index in range(len(self.idle) - 1, -1, -1):
            if index >= len(self.idle):
                continue
            connection = self.idle[index]
            if connection.previous_attempt == attempt:
                continue
            if connection.is_ready(non_idempotent):
                del self.idle[index]
                return connection
            if not connection.is_ready(False):
                connection.abort("stale")
        return None

    def put_back(self, connection: Connection) -> None:
        """Return a connection that was opened and not used."""
        self._changed(connection)

    def close_oldest_idle(self) -> bool:
        """Close the idle connection that was used longest ago; whether there was one."""
        if not self.idle:
            return False
        self.idle[0].abort("room for another")
        return True

    async def open(self, timeout: float) -> Connection:
        """A new connection; PeerError if none was established within `timeout` seconds."""
        step, peer = "connect to a node", f"{self.node.id} {self.node.address[0]}:{self.node.address[1]}"
        connection = Connection(self.node, self.clock, self._changed)
        self.all.add(connection)
        self.slots.open += 1
        self.opened += 1
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:  # no descriptor left
            connection.abort("not opened")
            raise PeerError(step, peer, error) from None
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
            loop = asyncio.get_running_loop()
            async with asyncio.timeout(timeout):
                await loop.sock_connect(sock, self.node.address)
                await loop.create_connection(lambda: connection, sock=sock)
        except (OSError, TimeoutError) as error:
            sock.close()
            connection.abort("not opened")
            raise PeerError(step, peer, error or "no answer in time") from None
        except asyncio.CancelledError:
            sock.close()
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
        """The node is gone: close idle connections now, others when their request has ended."""
        self.node_removed = True
        for connection in self.idle[:]:
            connection.abort("the node is gone")
