"""The state of one connection to a node: the request it carries, its phase, and how it is aborted."""

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

# Idle timeout of a connection whose node sent none: Keep-Alive has whole seconds, so that a node that closes in less
# than a second can't state it.
DEFAULT_IDLE_S = 0.6


class Phase(Enum):
    """States of a connection to a node."""

    OPENING = "opening"
    IDLE = "idle"
    WAITING = "waiting"  # a request was sent, the head of its answer was not read yet
    ANSWERING = "answering"  # the head of its answer was read
    CLOSED = "closed"


PHASE_TRANSITIONS = {
    Phase.OPENING: {Phase.IDLE, Phase.CLOSED},
    Phase.IDLE: {Phase.WAITING, Phase.CLOSED},
    Phase.WAITING: {Phase.ANSWERING, Phase.CLOSED},
    Phase.ANSWERING: {Phase.IDLE, Phase.CLOSED},
    Phase.CLOSED: set(),
}


class NodeConnectionState(asyncio.Protocol):
    """The state of one connection to a node; base of the answer reader and the connection."""

    def __init__(self, node: Node, clock: Callable[[], float], on_change: Callable[[NodeConnectionState], None]):
        self.node, self.clock, self.on_change = node, clock, on_change
        self.phase = Phase.OPENING
        self.transport: asyncio.Transport | None = None
        self.requests_sent = 0  # requests sent on it
        self.idle_since = 0.0
        self.idle_time = DEFAULT_IDLE_S  # seconds for which it is kept open when idle
        self.previous_attempt = b""  # id of the previous request
        self.answered_without_id = False  # an answer without id arrived on it: a duplicate could not be recognized
        self.parser = httptools.HttpResponseParser(self)
        self._poll = select.poll()
        self._reset()

    def _reset(self) -> None:
        """Clear the state of the request that was carried."""
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
        self._buffered: list[bytes] = []
        self._size = 0
        self._skipping = self._interim = self._done = False
        self._closing = self._has_id = False

    def _to(self, phase: Phase) -> None:
        """Change the phase; PeerError if the transition is not allowed."""
        if phase not in PHASE_TRANSITIONS[self.phase]:
            raise PeerError(
                "connection", f"{self.node.id}", f"invalid transition from {self.phase.value} to {phase.value}"
            )
        self.phase = phase

    def abort(self, why: str = "dropped") -> None:
        """Abort: ignore everything that arrives later."""
        if self.phase is Phase.CLOSED:
            return
        self._lose(why)

    def _lose(self, why: str) -> None:
        """Close the connection; the pending request is lost for the reason `why`."""
        self._to(Phase.CLOSED)
        if self.transport is not None:
            self.transport.abort()
        waiter, sink, source = self.waiter, self.sink, self.source
        self._reset()
        if waiter is not None and not waiter.done():
            waiter.set_result(Answer(TryOutcome.LOST, why))
        elif sink is not None:
            sink.cut(why)
        if source is not None:
            source.writable(True)
        self.on_change(self)
