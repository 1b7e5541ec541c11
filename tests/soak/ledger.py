"""What a soak run's clients, nodes and driver saw: requests, runs at nodes, lives of programs. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum


class End(Enum):
    """How a request ended, as its client saw it."""

    OPEN = "open"
    ANSWERED = "answered"
    CUT = "cut"  # the connection ended with no whole answer
    BEHIND = "behind"  # sent behind an answer that closed the connection: counts as not read
    LEFT = "left"  # the client left first
    SILENT = "silent"  # neither answer nor end came, well past its deadline


class Death(Enum):
    """Why a life of a program ended."""

    TERM = "SIGTERM"
    KILL = "SIGKILL"
    ITSELF = "by itself"


@dataclass
class Asked:
    """One request of a client. `life` is that of the edge which took its connection."""

    id: str
    life: Life
    repeatable: bool
    sent: float
    end: End = End.OPEN
    at: float = 0.0  # when it ended so
    status: int = 0
    seal: str = ""
    body: bytes = b""
    whole: bool = True  # the body is the one that a node gives for this very request
    path: str = ""
    public: bool = False  # its route wants no key
    tenant: str = ""  # whose key it bears
    key: str = ""
    operation: str = ""  # its `Operation-Key`


@dataclass
class Run:
    """A node's work on a request, from its begin to its end."""

    id: str
    node: str
    begun: float
    stopped: float | None = None
    finished: bool = False  # worked to its end; else dropped when its connection ended
    tenant: str = ""  # as the node was told
    operation: str = ""
    showed_key: bool = False  # a tenant's key itself came along
    seal: str = ""
    body: bytes = b""
    status: int = 200


@dataclass
class InForce:
    """Tenants of one configuration: when it was sent and acknowledged, whose each key is, what each may send."""

    sent: float
    acknowledged: float = math.inf
    holders: dict[str, str] = field(default_factory=dict)
    limits: dict[str, tuple[float, float]] = field(default_factory=dict)  # requests a second, and beyond; 0: no limit


@dataclass(eq=False)
class Life:
    """One life of a program."""

    name: str
    begun: float
    ended: float | None = None
    death: Death | None = None
    asked_to_end: float | None = None
    code: int | None = None
    spoke: bool = True  # it has written to its log: its handlers of signals are there by then
    outlived: bool = False  # it was killed since it had not ended within its grace
    frozen: list[tuple[float, float]] = field(default_factory=list)

    def stood_still(self, first: float, last: float) -> bool:
        """Whether it was frozen in some part of a span."""
        return any(begin <= last and end >= first for begin, end in self.frozen)

    def stood_at(self, moment: float, first: float, last: float) -> float:
        """Seconds of a span for which it was frozen by the freeze that covers a moment of it; 0 without one."""
        covering = [(begin, end) for begin, end in self.frozen if begin <= moment <= end]
        return max((min(end, last) - max(begin, first) for begin, end in covering), default=0.0)


@dataclass
class Ledger:
    """All that was seen, in the order in which it was."""

    asked: dict[str, Asked] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    lives: list[Life] = field(default_factory=list)
    configurations: list[InForce] = field(default_factory=list)
    said: list[str] = field(
        default_factory=list
    )  # what is broken by itself: bytes that fit no request, an error logged
