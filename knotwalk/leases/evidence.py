"""By which evidence a former holder of keys was found to hold them no more, and other findings worth a line of the log.

Pure values: the keeper adds them to its `events`, the program that drives it writes them to the log.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Evidence(Enum):
    """Why a former holder of a slice holds it no more."""

    RELEASED = "released"  # it answered 200 to a release, and no grant to it was out
    EXPIRED = "hold expired"  # the last hold that may have reached it has run out
    DROPPED = "dropped by the list"  # the platform's list had it long enough, and has it no more
    PORT_REFUSED = "port refused"  # its port refused, twice in a row


@dataclass(frozen=True)
class HolderCleared:
    """`node` holds `slices` slices of `service` no more, the lowest of which is `first`.

    `left`: seconds that the longest of its holds still had by this conductor's count, 0 where it had run out.
    """

    node: str
    service: str
    evidence: Evidence
    slices: int
    first: int
    left: float


@dataclass(frozen=True)
class PortRefused:
    """A node's port has refused twice in a row, `span` seconds apart or more."""

    node: str
    address: tuple[str, int]
    span: float


Event = HolderCleared | PortRefused
