"""What is too long for one message goes in parts: a snapshot, or one long entry. Both ends of it. Pure.

The sender encodes the content once (JSON, deflated, as base64 text), names it by its digest, and has one part of it
under way to a peer at a time. Each part says where it begins, each answer what is wanted next, so that a lost, doubled
or late part, a cut of any length and a change of leader between two with the same content cost one part, not the
whole. Parts grow while they are answered at once and shrink while they are not, so that a heartbeat behind one is
never late: on 2 Mbit/s a part settles where it takes between a twentieth and a fifth of a second.

The receiver holds at most one content, at most MOST bytes of it as sent, and gives it out once it is whole and has
the digest told. What it holds is lost with its process: then 0 is wanted, and the sender begins anew.
"""

import base64
import hashlib
import json
import zlib
from dataclasses import dataclass, field
from typing import Any

LEAST_PART = 4 * 1024  # bytes: 16 ms on 2 Mbit/s, and a third of a second on 100 kbit/s
FIRST_PART = 16 * 1024  # bytes: 65 ms on 2 Mbit/s
MOST_PART = 256 * 1024  # bytes: 2 ms on 1 Gbit/s, and what one message of entries may hold
QUICK = 0.05  # seconds within which an answer says that a part may be twice as long
SLOW = 0.2  # seconds past which the next is half as long: half of the least time to an election
UNANSWERED = 0.75  # seconds after which a part is sent again: just past what a call to a peer may take
MOST = 32 * 1024 * 1024  # bytes held of one content as sent: more than a disk of 64 MB has room for as a snapshot
MOST_PLAIN = 128 * 1024 * 1024  # bytes that it may become: as a machine of 256 MB can hold it beside its own
LEVEL = 1  # of deflate: 6 ms for the 3 MB of 12,000 routes, a twentieth of which is left


class Unsound(Exception):
    """What came whole is not what was told, or is more than may be held."""


@dataclass(frozen=True)
class Blob:
    """A content as it is sent. `first` to `index` are the entries that it stands for."""

    kind: str  # snapshot or entries
    first: int
    index: int
    digest: str
    text: str


@dataclass(frozen=True)
class Part:
    """One part of a content, as one message carries it."""

    kind: str
    index: int
    digest: str
    size: int
    offset: int
    text: str


def encode(kind: str, first: int, index: int, content: dict[str, Any]) -> Blob:
    """The content as it is sent, to all peers that lack it."""
    plain = json.dumps(content, separators=(",", ":")).encode()
    text = base64.b64encode(zlib.compress(plain, LEVEL)).decode()
    return Blob(kind, first, index, _digest(text), text)


def decode(text: str, digest: str) -> dict[str, Any]:
    """The content that `encode` made a text of; Unsound if it can't be that."""
    if _digest(text) != digest:
        raise Unsound("its digest is another")
    inflate = zlib.decompressobj()
    try:
        plain = inflate.decompress(base64.b64decode(text, validate=True), MOST_PLAIN)
        if not inflate.eof:
            raise Unsound(f"it is cut, or more than {MOST_PLAIN} bytes")
        return json.loads(plain)
    except (ValueError, zlib.error) as error:
        raise Unsound(str(error)) from error


def _digest(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()


@dataclass
class Outgoing:
    """A content on its way to one peer."""

    blob: Blob
    offset: int = 0  # the peer has all before it
    length: int = FIRST_PART
    sent_at: float | None = None  # when the part under way was sent

    def next(self, now: float) -> Part | None:
        """The part to send now: the next, or the one unanswered for too long, shorter; None while one is under way."""
        if self.sent_at is not None:
            if now - self.sent_at < UNANSWERED:
                return None
            self._shrink()
        self.sent_at = now
        blob, end = self.blob, self.offset + self.length
        return Part(blob.kind, blob.index, blob.digest, len(blob.text), self.offset, blob.text[self.offset : end])

    def taken(self, now: float, digest: str, offset: int, wanted: int) -> bool:
        """The peer took the part at `offset` and wants the one at `wanted`. False for an answer to an earlier part."""
        if self.sent_at is None or digest != self.blob.digest or offset != self.offset:
            return False
        took, self.sent_at = now - self.sent_at, None
        self.offset = max(0, min(wanted, len(self.blob.text)))
        if took < QUICK:
            self.length = min(MOST_PART, 2 * self.length)
        elif took > SLOW:
            self._shrink()
        return True

    def _shrink(self) -> None:
        self.length = max(LEAST_PART, self.length // 2)


@dataclass
class Incoming:
    """The content that is being received, if any."""

    digest: str = ""
    newest: tuple[int, float] = (-1, 0.0)  # term and send time of the newest part taken
    texts: list[str] = field(default_factory=list)
    held: int = 0  # bytes held: what is wanted next begins there

    def take(self, part: Part, order: tuple[int, float]) -> bool:
        """Take a part sent at `order`, term and time; False for one of a content that was given up since."""
        if part.digest != self.digest:
            if order <= self.newest:
                return False
            self.clear()
            self.digest = part.digest
        self.newest = max(self.newest, order)
        if part.offset == self.held and self.held + len(part.text) <= min(part.size, MOST):
            self.texts.append(part.text)
            self.held += len(part.text)
        return True

    def whole(self, part: Part) -> dict[str, Any] | None:
        """The content, once all of it is here, which is then let go. Unsound, and let go, if it is not what was
        told."""
        if self.held < part.size:
            return None
        text = "".join(self.texts)
        self.clear()
        return decode(text, part.digest)

    def clear(self) -> None:
        """Let go of what is held."""
        self.digest, self.texts, self.held = "", [], 0
