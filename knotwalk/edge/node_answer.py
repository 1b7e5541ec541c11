"""A node's answer as this edge holds it, and who takes it or gives a request's body piece by piece."""

from __future__ import annotations

from typing import Protocol

from knotwalk.admission.outcome import TryOutcome
from knotwalk.discovery.view_types import Node

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


class Sink(Protocol):
    """Who takes an answer that is passed on as it comes."""

    def data(self, data: bytes) -> None:
        """A piece of the body."""

    def ended(self) -> None:
        """The answer is whole."""

    def cut(self, why: str) -> None:
        """The answer will not become whole."""


class Source(Protocol):
    """Who passes a request's body on as it comes."""

    def writable(self, on: bool) -> None:
        """Whether more of the body can be taken for now."""


class Stream(Protocol):
    """Where the rest of an answer comes from that is passed on as it comes: a connection to a node."""

    def take(self, sink: Sink) -> None:
        """Give the rest to `sink`, beginning with what has come."""

    def flow(self, on: bool) -> None:
        """Whether more is wanted for now."""

    def abort(self, why: str = "dropped") -> None:
        """Break off: nothing that comes later counts."""


class Answer:
    """A node's answer, whole or beginning. `end` tells what it proves; a lost one has `why` and no status."""

    __slots__ = ("outcome", "why", "status", "headers", "body", "length", "is_complete", "stream", "node", "load")

    def __init__(self, outcome: TryOutcome, why: str = "") -> None:
        self.outcome, self.why = outcome, why
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []  # end-to-end ones, as they came
        self.body = b""
        self.length: int | None = None  # bytes of the body as told, None if in chunks
        self.is_complete = True
        self.stream: Stream | None = None  # where the rest comes from, if not whole
        self.node: Node | None = None
        self.load: tuple[int, int, int] | None = None  # running, waiting, slots

    @property
    def refused_with_capacity(self) -> bool:
        """Whether the node turned a request away as a full one does, while it tells free slots."""
        return self.status in (429, 503) and self.load is not None and self.load[0] < self.load[2]


def read_load(value: bytes) -> tuple[int, int, int] | None:
    """Read a node's load as it tells it: running, waiting, slots; None if it makes no sense."""
    try:
        running, waiting, slots = (int(part) for part in value.split(b","))
    except ValueError:
        return None
    return (running, waiting, slots) if running >= 0 and waiting >= 0 and slots > 0 else None
