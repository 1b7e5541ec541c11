"""The history of applied changes, which identifies a repeated request long after it was applied. Pure.

A request is a repeat of another one if its method, the version it is based on and its content are the same. Its own
version number does not identify it, since two operators may choose the same one. Versions only rise, so at most one
change was ever applied on top of a version, and at most one made it. For each version that was made, the history keeps
its number and a fingerprint of the change that made it: 24 bytes in memory, about as many in a snapshot.

The oldest entries are dropped beyond `MAX_REMEMBERED`. A change that makes a version below `floor` may or may not have
been applied, and is neither confirmed nor refused.
"""

from __future__ import annotations

import base64
import enum
import hashlib
from array import array
from bisect import bisect_left

from knotwalk.configuration.documents import parse_version

# A little more than a week at 2,700 changes a day, which is longer than any client repeats a request. 0.5 MB.
MAX_REMEMBERED = 20_000
# Each fingerprint is compared with at most one request, so a collision takes 2^128 tries, by chance or by an attack.
FINGERPRINT_BYTES = 16
# How many changes programs before format 4 of the replicated state remembered: a shorter history of theirs is complete.
LEGACY_MAX_REMEMBERED = 64


class ChangeStatus(enum.Enum):
    """Whether a change was applied."""

    APPLIED = "taken"
    NOT_APPLIED = "not taken, and never will be unless its base is the version in force"
    UNKNOWN = "taken or not: it is too old to be told"


def fingerprint(digest: str) -> bytes:
    """The short form of a change's digest."""
    return hashlib.sha256(digest.encode("utf-8")).digest()[:FINGERPRINT_BYTES]


class ChangeHistory:
    """The applied changes.

    `versions` holds the versions that they made, in ascending order. It includes every version from `floor` on that was
    ever in force."""

    def __init__(self) -> None:
        self.versions = array("Q")
        self.fingerprints = bytearray()
        self.floor = 0

    def record(self, version: int, digest: str) -> None:
        """Record a change that has just taken effect."""
        self._put(version, fingerprint(digest))
        if (excess := len(self.versions) - MAX_REMEMBERED) > 0:
            del self.versions[:excess]
            del self.fingerprints[: excess * FINGERPRINT_BYTES]
            self.floor = self.versions[0]

    def _put(self, version: int, change_fingerprint: bytes) -> None:
        index = bisect_left(self.versions, version)
        same = index < len(self.versions) and self.versions[index] == version
        if not same:
            self.versions.insert(index, version)
        self.fingerprints[index * FINGERPRINT_BYTES : (index + same) * FINGERPRINT_BYTES] = change_fingerprint

    def contains(self, version: int, digest: str) -> bool:
        """Whether this change made that version, as far as is remembered."""
        index = bisect_left(self.versions, version)
        if index == len(self.versions) or self.versions[index] != version:
            return False
        return self.fingerprints[index * FINGERPRINT_BYTES : (index + 1) * FINGERPRINT_BYTES] == fingerprint(digest)

    def status(self, base: int, version: int, digest: str) -> ChangeStatus:
        """What is known of a change based on `base` that makes `version`."""
        if self.contains(version, digest):
            return ChangeStatus.APPLIED
        # Every version from the floor on is remembered, and none was based on a version that is not lower.
        if version >= self.floor or version <= base:
            return ChangeStatus.NOT_APPLIED
        return ChangeStatus.UNKNOWN

    def to_dict(self) -> dict[str, object]:
        """Convert to JSON values for a snapshot of the replicated state.

        Versions are written as differences from one to the next, fingerprints in base64."""
        previous = [0, *self.versions[:-1]]
        return {
            "floor": self.floor,
            "steps": [version - last for version, last in zip(self.versions, previous, strict=False)],
            "marks": base64.b64encode(self.fingerprints).decode("ascii"),
        }

    @classmethod
    def from_dict(cls, raw: dict) -> ChangeHistory:
        """Restore from the value of `to_dict`; ValueError if it is inconsistent."""
        history, version = cls(), 0
        history.floor = raw["floor"]
        history.fingerprints = bytearray(base64.b64decode(raw["marks"], validate=True))
        for step in raw["steps"]:
            version += step
            history.versions.append(version)
        if len(history.fingerprints) != len(history.versions) * FINGERPRINT_BYTES:
            raise ValueError(f"{len(history.versions)} versions, {len(history.fingerprints)} bytes of fingerprints")
        return history

    @classmethod
    def from_legacy_dict(cls, raw: dict[str, str]) -> ChangeHistory:
        """Restore from a snapshot before format 4: digests by version, the last `LEGACY_MAX_REMEMBERED` of them.

        If there are as many as that, older ones may have been dropped, so nothing below the lowest is known."""
        history = cls()
        for version, digest in raw.items():
            history._put(parse_version(version), fingerprint(digest))
        if len(history.versions) >= LEGACY_MAX_REMEMBERED:
            history.floor = history.versions[0]
        return history
