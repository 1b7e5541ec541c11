"""Observations of a soak run: requests by clients, their execution at nodes, and process lifetimes. Does no I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum


class End(Enum):
    """How a request ended, as observed by its client."""

    OPEN = "open"
    ANSWERED = "answered"
    CONNECTION_CLOSED = "cut"  # the connection ended before a complete response
    AFTER_CLOSE = "behind"  # pipelined behind a response that closed the connection: counts as not read
    CLIENT_LEFT = "left"  # the client closed or reset the connection first
    NO_RESPONSE = "silent"  # neither a response nor a close, well past the deadline


class ExitCause(Enum):
    """Why an incarnation of a process ended."""

    TERM = "SIGTERM"
    KILL = "SIGKILL"
    UNPROMPTED = "by itself"


@dataclass
class ClientRequest:
    """One request of a client. `incarnation` is that of the edge that accepted the connection."""

    id: str
    incarnation: Incarnation
    is_repeatable: bool
    sent_at: float
    end: End = End.OPEN
    ended_at: float = 0.0
    status: int = 0
    seal: str = ""
    body: bytes = b""
    is_whole: bool = True  # the body is complete and belongs to this request
    path: str = ""
    public: bool = False  # its route requires no API key
    tenant: str = ""  # owner of the API key sent; empty: unknown key or none
    key: str = ""
    operation: str = ""  # value of the `Operation-Key` header


@dataclass
class Run:
    """Execution of a request at a node."""

    id: str
    node: str
    started_at: float
    stopped_at: float | None = None
    finished: bool = False  # otherwise dropped when its connection ended
    tenant: str = ""  # `Tenant` header as received by the node
    operation: str = ""
    has_raw_key: bool = False  # the node received the API key itself
    seal: str = ""
    body: bytes = b""
    status: int = 200


@dataclass
class TenantConfiguration:
    """Tenants of one configuration: `holders` maps API keys to tenants, `limits` maps tenants to (rate, burst)."""

    sent_at: float
    acknowledged_at: float = math.inf
    holders: dict[str, str] = field(default_factory=dict)
    limits: dict[str, tuple[float, float]] = field(
        default_factory=dict
    )  # requests per second, and burst size; rate 0: unlimited


@dataclass(eq=False)
class Incarnation:
    """One run of a process, from start to exit."""

    name: str
    started_at: float
    ended_at: float | None = None
    exit_cause: ExitCause | None = None
    signalled_at: float | None = None
    code: int | None = None
    has_logged: bool = True  # it wrote to its log, so its signal handlers were installed
    exceeded_grace: bool = False  # killed because it had not exited within the grace period
    frozen: list[tuple[float, float]] = field(default_factory=list)

    def was_frozen_during(self, first: float, last: float) -> bool:
        """Whether it was frozen (SIGSTOP) during any part of the span."""
        return any(begin <= last and end >= first for begin, end in self.frozen)

    def frozen_seconds(self, moment: float, first: float, last: float) -> float:
        """Seconds of the span covered by the freeze that includes `moment`; 0 if it was not frozen then."""
        covering = [(begin, end) for begin, end in self.frozen if begin <= moment <= end]
        return max((min(end, last) - max(begin, first) for begin, end in covering), default=0.0)


@dataclass
class Ledger:
    """All observations of a run, in order. `direct_findings` are violations detected while the run is on."""

    requests: dict[str, ClientRequest] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    incarnations: list[Incarnation] = field(default_factory=list)
    configurations: list[TenantConfiguration] = field(default_factory=list)
    # For example a response to another request, or a log line of level error.
    direct_findings: list[str] = field(default_factory=list)
