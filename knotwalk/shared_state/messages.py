"""Messages of admission between an edge and its core machine, and between core machines. Pure.

An edge asks its core for each request that a limit or an `Operation-Key` binds; many asks travel in one call. JSON on
the wire (`openapi/peers.yaml`): every message is a list of plain values, in the order of its fields here.
"""

from __future__ import annotations

import hashlib
from base64 import b64decode, b64encode
from dataclasses import dataclass, field
from enum import Enum

# Parts of the operations, each agreed on by a group of its own. All machines of a cluster must hold the same number.
PARTS = 1


def operation_id(tenant: str, key: str) -> str:
    """What names an operation everywhere: 32 hexadecimal digits of the SHA-256 of its tenant and `Operation-Key`."""
    return hashlib.sha256(f"{len(tenant)}:{tenant}{key}".encode()).hexdigest()[:32]


def part_of(operation: str) -> int:
    """The part, and so the group, that an operation belongs to.

    >>> part_of(operation_id("a", "k")) in range(PARTS)
    True
    """
    return int(operation[:8], 16) % PARTS


class Admission(Enum):
    """What a core answers to an ask."""

    RUN = "run"  # it may be passed on to a node
    OVER_LIMIT = "over limit"  # the tenant's allowance is used up
    IN_WORK = "in work"  # another try of the operation runs; ask again
    ANSWERED = "answered"  # the operation has run: its answer
    UNKNOWN = "unknown"  # the operation may have run, and its answer can't be had
    UNAVAILABLE = "unavailable"  # it can't be told now; a claim may be granted yet, so who gives up gives it back


class Ending(Enum):
    """How the run of an operation that an edge was admitted for has ended."""

    ANSWERED = "answered"  # with a node's whole answer, success or failure
    NEVER_RAN = "never ran"  # surely: the operation is free again
    UNKNOWN = "unknown"  # it may have run


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A node's whole answer to an operation, as its client got it; `headers` without those of one connection only."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def to_json(self) -> list:
        """As a list of plain values."""
        return [self.status, [list(pair) for pair in self.headers], b64encode(self.body).decode("ascii")]

    @classmethod
    def from_json(cls, raw: list) -> StoredAnswer:
        """From what `to_json` made; ValueError or TypeError for anything else."""
        status, headers, body = raw
        return cls(int(status), tuple((str(name), str(value)) for name, value in headers), b64decode(body))


@dataclass(frozen=True, slots=True)
class AdmissionAsk:
    """One request's ask. `tenant` is empty where no limit binds it, `operation` where it bears no `Operation-Key`.

    `attempt` names the request within the edge's life, and no other of it: the same ask sent again after a lost answer
    is the same claim."""

    tenant: str
    operation: str
    attempt: str

    def to_json(self) -> list:
        """As a list of plain values."""
        return [self.tenant, self.operation, self.attempt]


@dataclass(frozen=True, slots=True)
class AdmissionTold:
    """The answer to an ask. `retry_after` in seconds, for OVER_LIMIT and UNAVAILABLE; `answer` for ANSWERED."""

    admission: Admission
    retry_after: float = 0.0
    answer: StoredAnswer | None = None

    def to_json(self) -> list:
        """As a list of plain values."""
        return [self.admission.value, self.retry_after, self.answer.to_json() if self.answer else None]

    @classmethod
    def from_json(cls, raw: list) -> AdmissionTold:
        """From what `to_json` made; ValueError or TypeError for anything else."""
        admission, retry_after, answer = raw
        return cls(Admission(admission), float(retry_after), StoredAnswer.from_json(answer) if answer else None)


@dataclass(frozen=True, slots=True)
class OperationEnd:
    """An edge tells how the run that `attempt` was admitted for has ended."""

    operation: str
    attempt: str
    ending: Ending
    answer: StoredAnswer | None = None

    def to_json(self) -> list:
        """As a list of plain values."""
        return [self.operation, self.attempt, self.ending.value, self.answer.to_json() if self.answer else None]


@dataclass(frozen=True)
class EdgeBatch:
    """A call `POST /admissions` of an edge: `life` names this run of its program, and is never used again."""

    edge: str
    life: str
    asks: list[AdmissionAsk] = field(default_factory=list)
    ends: list[OperationEnd] = field(default_factory=list)

    def to_json(self) -> dict:
        """As the body of the call."""
        return {
            "edge": self.edge,
            "life": self.life,
            "asks": [ask.to_json() for ask in self.asks],
            "ends": [end.to_json() for end in self.ends],
        }

    @classmethod
    def from_json(cls, raw: dict) -> EdgeBatch:
        """From the body of a call; ValueError, KeyError or TypeError where it is none."""
        ends = [
            OperationEnd(operation, attempt, Ending(ending), StoredAnswer.from_json(answer) if answer else None)
            for operation, attempt, ending, answer in raw["ends"]
        ]
        return cls(raw["edge"], raw["life"], [AdmissionAsk(*ask) for ask in raw["asks"]], ends)


# --- between core machines


@dataclass(frozen=True, slots=True)
class Holder:
    """Who runs an operation: an edge's life and attempt, and the peer address of the `core` that keeps its answer."""

    core: str
    life: str
    attempt: str

    def to_json(self) -> list:
        """As a list of plain values."""
        return [self.core, self.life, self.attempt]


@dataclass(frozen=True, slots=True)
class Claim:
    """The wish of a holder to run an operation; with `release`, its word that it surely never ran it."""

    operation: str
    holder: Holder
    release: bool = False

    def to_json(self) -> list:
        """As a list of plain values."""
        return [self.operation, *self.holder.to_json(), int(self.release)]

    @classmethod
    def from_json(cls, raw: list) -> Claim:
        """From what `to_json` made; ValueError or TypeError for anything else."""
        operation, core, life, attempt, release = raw
        return cls(operation, Holder(core, life, attempt), bool(release))


@dataclass(frozen=True, slots=True)
class AllowanceWant:
    """What a core asks the leader for: requests that it wants to let pass, and those that it holds and has not used.

    `wanted` below 0: it gives as many back, and holds `unused` without them."""

    tenant: str
    wanted: int
    unused: int

    def to_json(self) -> list:
        """As a list of plain values."""
        return [self.tenant, self.wanted, self.unused]


@dataclass(frozen=True, slots=True)
class AllowanceGrant:
    """What the leader gives: so many requests within `lasts` seconds of the ask; `empty`: the limit is reached.

    `unlimited`: the configuration in force has no limit for this tenant."""

    tenant: str
    granted: int
    lasts: float
    empty: bool = False
    unlimited: bool = False

    def to_json(self) -> list:
        """As a list of plain values."""
        return [self.tenant, self.granted, self.lasts, int(self.empty), int(self.unlimited)]

    @classmethod
    def from_json(cls, raw: list) -> AllowanceGrant:
        """From what `to_json` made; ValueError or TypeError for anything else."""
        tenant, granted, lasts, empty, unlimited = raw
        return cls(tenant, granted, lasts, bool(empty), bool(unlimited))
