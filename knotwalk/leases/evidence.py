"""By which evidence a former holder of keys was found to hold them no more, and other findings worth a line of the log.

Only a holder's own answer and time are evidence. That a node isn't reached, or isn't listed, tells nothing of what it
holds (incident inc1).

Pure values: the keeper adds them to its `events`, the program that drives it writes them to the log.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Evidence(Enum):
    """Why a former holder of a slice holds it no more."""

    RELEASED = "released"  # it answered 200 to a release, and no grant to it was out
    EXPIRED = "hold expired"  # the last hold that may have reached it has run out


@dataclass(frozen=True)
class HolderCleared:
    """`node` holds `slices` slices of `service` no more, the lowest of which is `first`."""

    node: str
    service: str
    evidence: Evidence
    slices: int
    first: int


@dataclass(frozen=True)
class NodeUnreachable:
    """Calls to a node were refused, or one was not answered: it gets no more keys for now, and keeps what it holds."""

    node: str
    address: tuple[str, int]
    refused: bool


Event = HolderCleared | NodeUnreachable
