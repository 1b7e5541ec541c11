"""Which orders were taken: what tells a repeat from an order that lost its race, long after both. Pure.

An order is an operator's call that asks for a change. It is the same order again if its method, the version it builds
on and its content are the same; its own number tells nothing, since two operators may pick the same one. Versions only
rise, so at most one order was ever taken on top of a version, and at most one made it. Kept are, for each version that
was made, its number and a mark of the order that made it: 24 bytes in memory, about as many in a snapshot.

The oldest are dropped past `REMEMBERED`. Of what was dropped nothing is guessed: an order for a version below `floor`
may have been taken, or not, and is neither confirmed nor refused.
"""

from __future__ import annotations

import base64
import enum
import hashlib
from array import array
from bisect import bisect_left

from knotwalk.configuration.documents import parse_version

# A week of 2,700 changes a day, and a little more: longer than any caller repeats a call. 0.5 MB.
MAX_REMEMBERED = 20_000
# Bytes of a mark. One order at most is compared with it, so that chance needs 2^128 tries, and design as many.
FINGERPRINT_BYTES = 16
# What programs before format 4 of the agreed state remembered: a shorter history of theirs has lost nothing.
LEGACY_MAX_REMEMBERED = 64


class ChangeStatus(enum.Enum):
    """What is known of an order."""

    TAKEN = "taken"
    NOT_TAKEN = "not taken, and never will be unless its base is the version in force"
    UNKNOWN = "taken or not: it is too old to be told"


def fingerprint(digest: str) -> bytes:
    """The short form of an order's digest."""
    return hashlib.sha256(digest.encode("utf-8")).digest()[:FINGERPRINT_BYTES]


class ChangeHistory:
    """The orders that were taken. `taken` has the versions that they made, rising; every version from `floor` on that
    was ever in force is among them."""

    def __init__(self) -> None:
        self.versions = array("Q")
        self.fingerprints = bytearray()
        self.floor = 0

    def record(self, version: int, digest: str) -> None:
        """Remember an order that is in force now."""
        self._put(version, fingerprint(digest))
        if (over := len(self.versions) - MAX_REMEMBERED) > 0:
            del self.versions[:over]
            del self.fingerprints[: over * FINGERPRINT_BYTES]
            self.floor = self.versions[0]

    def _put(self, version: int, made_by: bytes) -> None:
        place = bisect_left(self.versions, version)
        same = place < len(self.versions) and self.versions[place] == version
        if not same:
            self.versions.insert(place, version)
        self.fingerprints[place * FINGERPRINT_BYTES : (place + same) * FINGERPRINT_BYTES] = made_by

    def contains(self, version: int, digest: str) -> bool:
        """Whether this very order made that version, as far as is remembered."""
        place = bisect_left(self.versions, version)
        if place == len(self.versions) or self.versions[place] != version:
            return False
        return self.fingerprints[place * FINGERPRINT_BYTES : (place + 1) * FINGERPRINT_BYTES] == fingerprint(digest)

    def status(self, base: int, version: int, digest: str) -> ChangeStatus:
        """What is known of an order on top of `base` that makes `version`."""
        if self.contains(version, digest):
            return ChangeStatus.TAKEN
        # Every version from the floor on is remembered; and none was made on top of one that is not lower.
        if version >= self.floor or version <= base:
            return ChangeStatus.NOT_TAKEN
        return ChangeStatus.UNKNOWN

    def to_dict(self) -> dict[str, object]:
        """For a snapshot of the agreed state, JSON-able: versions as steps from one to the next, marks in base64."""
        before = [0, *self.versions[:-1]]
        return {
            "floor": self.floor,
            "steps": [version - last for version, last in zip(self.versions, before, strict=False)],
            "marks": base64.b64encode(self.fingerprints).decode("ascii"),
        }

    @classmethod
    def from_dict(cls, raw: dict) -> ChangeHistory:
        """What `to_dict` gave; ValueError where it does not fit together."""
        made, version = cls(), 0
        made.floor = raw["floor"]
        made.fingerprints = bytearray(base64.b64decode(raw["marks"], validate=True))
        for step in raw["steps"]:
            version += step
            made.versions.append(version)
        if len(made.fingerprints) != len(made.versions) * FINGERPRINT_BYTES:
            raise ValueError(f"{len(made.versions)} versions, {len(made.fingerprints)} bytes of marks")
        return made

    @classmethod
    def from_legacy_dict(cls, raw: dict[str, str]) -> ChangeHistory:
        """From snapshots before format 4: digests by version, the last `REMEMBERED_BEFORE`. As many as that may be all
        that is left of more, so nothing older than the lowest is told."""
        made = cls()
        for version, digest in raw.items():
            made._put(parse_version(version), fingerprint(digest))
        if len(made.versions) >= LEGACY_MAX_REMEMBERED:
            made.floor = made.versions[0]
        return made
