"""The state of one connection to a node: the request it carries, its phase, and how it is broken off."""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from enum import Enum

import httptools

from knotwalk.admission.outcome import TryOutcome
from knotwalk.discovery.view_types import Node
from knotwalk.edge.node_answer import Answer, Sink, Source
from knotwalk.runtime.errors import PeerError

# Idle seconds of a connection whose node told no time: nodes that close within less than a second can't tell it.
IDLE_GUESS = 0.6


class Phase(Enum):
    """States of a connection to a node."""

    OPENING = "opening"
    IDLE = "idle"
    WAITING = "waiting"  # a request was sent, no head of its answer yet
    ANSWERING = "answering"  # its answer's head was read
    CLOSED = "closed"


ALLOWED = {
    Phase.OPENING: {Phase.IDLE, Phase.CLOSED},
    Phase.IDLE: {Phase.WAITING, Phase.CLOSED},
    Phase.WAITING: {Phase.ANSWERING, Phase.CLOSED},
    Phase.ANSWERING: {Phase.IDLE, Phase.CLOSED},
    Phase.CLOSED: set(),
}


class NodeConnectionState(asyncio.Protocol):
    """What is known of one connection to a node; reading answers and sending requests are built on it."""

    def __init__(self, node: Node, clock: Callable[[], float], changed: Callable[[NodeConnectionState], None]):
        self.node, self.clock, self.changed = node, clock, changed
        self.phase = Phase.OPENING
        self.transport: asyncio.Transport | None = None
        self.used = 0  # requests sent on it
        self.idle_since = 0.0
        self.idle_time = IDLE_GUESS  # seconds that it is kept
        self.previous = b""  # id of the request before
        self.nameless = False  # an answer without id came on it: an extra one could not be told apart
        self.parser = httptools.HttpResponseParser(self)
        self._poll = select.poll()
        self._clear()

    def _clear(self) -> None:
        """Forget the request that was carried."""
        self.attempt, self.method = b"", b""
        self.waiter: asyncio.Future[Answer] | None = None
        self.sink: Sink | None = None
        self.source: Source | None = None
        self.body_sent = True
        self._forget_answer()

    def _forget_answer(self) -> None:
        self.answer: Answer | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_size = self._fed = 0
        self._gathered: list[bytes] = []
        self._size = 0
        self._skipping = self._interim = self._done = False
        self._closing = self._named = False

    def _to(self, phase: Phase) -> None:
        """The one place where the state changes."""
        if phase not in ALLOWED[self.phase]:
            raise PeerError("connection", f"{self.node.id}", f"from {self.phase.value} to {phase.value}")
        self.phase = phase

    def abort(self, why: str = "dropped") -> None:
        """Break off: nothing that comes later counts."""
        if self.phase is Phase.CLOSED:
            return
        self._lose(why)

    def _lose(self, why: str) -> None:
        """The connection ends here; whoever waits is told why."""
        self._to(Phase.CLOSED)
        if self.transport is not None:
            self.transport.abort()
        waiter, sink, source = self.waiter, self.sink, self.source
        self._clear()
        if waiter is not None and not waiter.done():
            waiter.set_result(Answer(TryOutcome.LOST, why))
        elif sink is not None:
            sink.cut(why)
        if source is not None:
            source.writable(True)
        self.changed(self)
