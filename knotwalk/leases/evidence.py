"""Evidence that a former holder of keys no longer holds them, and other events worth a log line.

Only a holder's own answer and the passage of time are evidence. That a node can't be reached, or isn't listed, says
nothing about what it holds (incident inc1).

Pure values: `GrantManager` adds them to its `events`, and the program that drives it logs them.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Evidence(Enum):
    """Why a former holder of a slice no longer holds it."""

    RELEASED = "released"  # it answered 200 to a release, and no grant to it was unanswered
    EXPIRED = "hold expired"  # the last hold that may have reached it has run out


@dataclass(frozen=True)
class HolderCleared:
    """`node` no longer holds `slices` slices of `service`, the lowest of which is `first`."""

    node: str
    service: str
    evidence: Evidence
    slices: int
    first: int


@dataclass(frozen=True)
class NodeUnreachable:
    """Calls to a node were refused, or one was not answered: it gets no more keys for now, and keeps those that it
    holds.
    """

    node: str
    address: tuple[str, int]
    refused: bool


Event = HolderCleared | NodeUnreachable
