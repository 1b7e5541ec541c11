"""Messages for the admission of requests, between an edge and its core machine and between core machines. Pure.

An edge sends its core an admission request for each client request that a limit or an `Operation-Key` applies to; one
call carries many. JSON on the wire (`openapi/peers.yaml`): a message is a list of plain values, in the order of its
fields here, unless its `to_json` says otherwise.
"""

from __future__ import annotations

import hashlib
from base64 import b64decode, b64encode
from dataclasses import dataclass, field
from enum import Enum

# Partitions of the operations, each agreed on by a group of its own. Must be the same on all machines of a cluster.
PARTITION_COUNT = 1


def operation_id(tenant: str, key: str) -> str:
    """The id of an operation everywhere: 32 hexadecimal digits of the SHA-256 of its tenant and `Operation-Key`."""
    return hashlib.sha256(f"{len(tenant)}:{tenant}{key}".encode()).hexdigest()[:32]


def partition_of(operation: str) -> int:
    """The partition that an operation belongs to, which is also the index of its group.

    >>> partition_of(operation_id("a", "k")) in range(PARTITION_COUNT)
    True
    """
    return int(operation[:8], 16) % PARTITION_COUNT


class Admission(Enum):
    """A core's answer to an admission request."""

    RUN = "run"  # the request may be forwarded to a node
    OVER_LIMIT = "over limit"  # the tenant's allowance is used up
    IN_PROGRESS = "in work"  # another attempt of the operation is running; ask again
    ANSWERED = "answered"  # the operation has run: its stored answer
    UNKNOWN = "unknown"  # the operation may have run, and its answer is not available
    UNAVAILABLE = "unavailable"  # no answer yet; the claim may still be granted, so an edge that gives up releases it


class Ending(Enum):
    """How the run of an admitted operation ended."""

    ANSWERED = "answered"  # with a node's complete answer, success or failure
    NEVER_RAN = "never ran"  # certainly: the operation may be run by another attempt
    UNKNOWN = "unknown"  # it may have run


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A node's complete answer to an operation, as its client got it; `headers` without connection-specific ones."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def to_json(self) -> list:
        """Return the answer as a list of plain values."""
        return [self.status, [list(pair) for pair in self.headers], b64encode(self.body).decode("ascii")]

    @classmethod
    def from_json(cls, raw: list) -> StoredAnswer:
        """Build an answer from the list of `to_json`; ValueError or TypeError for anything else."""
        status, headers, body = raw
        return cls(int(status), tuple((str(name), str(value)) for name, value in headers), b64decode(body))


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A request to admit one client request. `tenant` is empty if no limit applies, `operation` if the request has no
    `Operation-Key`.

    `attempt` identifies the client request within the edge's incarnation: a request that is sent again after a lost
    answer has the same `attempt`, and so the same claim."""

    tenant: str
    operation: str
    attempt: str

    def to_json(self) -> list:
        """Return the request as a list of plain values."""
        return [self.tenant, self.operation, self.attempt]


@dataclass(frozen=True, slots=True)
class AdmissionResponse:
    """The answer to an admission request. `retry_after` in seconds, for OVER_LIMIT and UNAVAILABLE; `answer` for
    ANSWERED."""

    admission: Admission
    retry_after: float = 0.0
    answer: StoredAnswer | None = None

    def to_json(self) -> list:
        """Return the response as a list of plain values."""
        return [self.admission.value, self.retry_after, self.answer.to_json() if self.answer else None]

    @classmethod
    def from_json(cls, raw: list) -> AdmissionResponse:
        """Build a response from the list of `to_json`; ValueError or TypeError for anything else."""
        admission, retry_after, answer = raw
        return cls(Admission(admission), float(retry_after), StoredAnswer.from_json(answer) if answer else None)


@dataclass(frozen=True, slots=True)
class OperationEnd:
    """An edge's report of how the run that `attempt` was admitted for has ended."""

    operation: str
    attempt: str
    ending: Ending
    answer: StoredAnswer | None = None

    def to_json(self) -> list:
        """Return the report as a list of plain values."""
        return [self.operation, self.attempt, self.ending.value, self.answer.to_json() if self.answer else None]


@dataclass(frozen=True)
class EdgeBatch:
    """The body of an edge's call `POST /admissions`. `incarnation` identifies the run of the edge's process and is
    never used again; on the wire it is called `life`."""

    edge: str
    incarnation: str
    requests: list[AdmissionRequest] = field(default_factory=list)
    ends: list[OperationEnd] = field(default_factory=list)

    def to_json(self) -> dict:
        """Return the body of the call."""
        return {
            "edge": self.edge,
            "life": self.incarnation,
            "asks": [request.to_json() for request in self.requests],
            "ends": [end.to_json() for end in self.ends],
        }

    @classmethod
    def from_json(cls, raw: dict) -> EdgeBatch:
        """Build a batch from the body of a call; ValueError, KeyError or TypeError if it is malformed."""
        ends = [
            OperationEnd(operation, attempt, Ending(ending), StoredAnswer.from_json(answer) if answer else None)
            for operation, attempt, ending, answer in raw["ends"]
        ]
        return cls(raw["edge"], raw["life"], [AdmissionRequest(*request) for request in raw["asks"]], ends)


# --- between core machines


@dataclass(frozen=True, slots=True)
class Holder:
    """The holder of an operation's claim: an incarnation of an edge, its attempt, and the peer address of the `core`
    that keeps the answer."""

    core: str
    incarnation: str
    attempt: str

    def to_json(self) -> list:
        """Return the holder as a list of plain values."""
        return [self.core, self.incarnation, self.attempt]


@dataclass(frozen=True, slots=True)
class Claim:
    """A holder's request to run an operation; with `release`, its report that it never ran the operation."""

    operation: str
    holder: Holder
    release: bool = False

    def to_json(self) -> list:
        """Return the claim as a list of plain values."""
        return [self.operation, *self.holder.to_json(), int(self.release)]

    @classmethod
    def from_json(cls, raw: list) -> Claim:
        """Build a claim from the list of `to_json`; ValueError or TypeError for anything else."""
        operation, core, incarnation, attempt, release = raw
        return cls(operation, Holder(core, incarnation, attempt), bool(release))


@dataclass(frozen=True, slots=True)
class AllowanceRequest:
    """A core's request to the leader for tokens of a tenant: how many more it wants, and how many it holds `unused`.

    `requested` below 0: it gives that many back, and they are not counted in `unused`."""

    tenant: str
    requested: int
    unused: int

    def to_json(self) -> list:
        """Return the request as a list of plain values."""
        return [self.tenant, self.requested, self.unused]


@dataclass(frozen=True, slots=True)
class AllowanceGrant:
    """The leader's grant: `granted` more tokens, valid for `valid_for_s` seconds from when the core asked.

    `limit_reached`: the tenant has used up its limit. `unlimited`: the configuration in force has no limit for it."""

    tenant: str
    granted: int
    valid_for_s: float
    limit_reached: bool = False
    unlimited: bool = False

    def to_json(self) -> list:
        """Return the grant as a list of plain values."""
        return [self.tenant, self.granted, self.valid_for_s, int(self.limit_reached), int(self.unlimited)]

    @classmethod
    def from_json(cls, raw: list) -> AllowanceGrant:
        """Build a grant from the list of `to_json`; ValueError or TypeError for anything else."""
        tenant, granted, valid_for_s, limit_reached, unlimited = raw
        return cls(tenant, granted, valid_for_s, bool(limit_reached), bool(unlimited))
