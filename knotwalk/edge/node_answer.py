"""A node's answer, and the interfaces by which answers and request bodies are streamed."""

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
    """Receives a streamed answer."""

    def data(self, data: bytes) -> None:
        """Receive a part of the body."""

    def ended(self) -> None:
        """The answer is complete."""

    def cut(self, why: str) -> None:
        """The answer will not be completed."""


class Source(Protocol):
    """Provides a streamed request body."""

    def writable(self, on: bool) -> None:
        """Resume (`on`) or pause sending the body."""


class Stream(Protocol):
    """Provides the rest of a streamed answer: a connection to a node."""

    def take(self, sink: Sink) -> None:
        """Deliver the rest to `sink`, starting with what is buffered."""

    def flow(self, on: bool) -> None:
        """Resume (`on`) or pause the delivery."""

    def abort(self, why: str = "dropped") -> None:
        """Abort: ignore everything that arrives later."""


class Answer:
    """A node's answer, complete or its beginning. `outcome` is what it proves; a lost one has `why` and no status."""

    __slots__ = ("outcome", "why", "status", "headers", "body", "length", "is_complete", "stream", "node", "load")

    def __init__(self, outcome: TryOutcome, why: str = "") -> None:
        self.outcome, self.why = outcome, why
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []  # end-to-end headers, as received
        self.body = b""
        self.length: int | None = None  # Content-Length of the body, None if chunked
        self.is_complete = True
        self.stream: Stream | None = None  # source of the rest, if not complete
        self.node: Node | None = None
        self.load: tuple[int, int, int] | None = None  # running, waiting, slots

    @property
    def refused_with_capacity(self) -> bool:
        """Whether the node refused a request as if it were full while it reported free slots."""
        return self.status in (429, 503) and self.load is not None and self.load[0] < self.load[2]


def read_load(value: bytes) -> tuple[int, int, int] | None:
    """Parse a `Server-Load` header: running, waiting, slots; None if it is invalid."""
    try:
        running, waiting, slots = (int(part) for part in value.split(b","))
    except ValueError:
        return None
    return (running, waiting, slots) if running >= 0 and waiting >= 0 and slots > 0 else None
