"""Both ends of a transfer in parts, for what is too long for one message: a snapshot or one long entry. Pure.

The sender encodes the content once (JSON, deflated, as base64 text), identifies it by its digest, and has one
unanswered part per peer at a time. Each part carries its offset, and each answer the offset wanted next. A part that is
lost, doubled or late, a broken connection of any length, or a change between two leaders with the same content
therefore costs one part and not the whole. Parts grow while they are answered quickly and shrink while they are not, so
that a heartbeat behind one is never late: at 2 Mbit/s a part settles at a size that takes between 0.05 and 0.2 s.

The receiver holds at most one content, at most MAX_ENCODED_BYTES of its encoded form, and returns it once it is
complete and matches the announced digest. What it holds is lost with its process; it then asks for offset 0, and the
sender starts over.
"""

import base64
import hashlib
import json
import zlib
from dataclasses import dataclass, field
from typing import Any

MIN_PART_BYTES = 4 * 1024  # 16 ms at 2 Mbit/s, and a third of a second at 100 kbit/s
INITIAL_PART_BYTES = 16 * 1024  # 65 ms at 2 Mbit/s
MAX_PART_BYTES = 256 * 1024  # 2 ms at 1 Gbit/s, and what one message of entries may hold
FAST_ANSWER_S = 0.05  # after an answer within this time the next part is twice as long
SLOW_ANSWER_S = 0.2  # after a slower answer the next part is half as long: half of the minimum election timeout
PART_TIMEOUT_S = 0.75  # a part is sent again after this long: just above the timeout of a call to a peer
MAX_ENCODED_BYTES = (
    32 * 1024 * 1024
)  # limit of one encoded content: more than a disk of 64 MB has space for as a snapshot
# limit of one decoded content: a machine of 256 MB can hold it beside its own state
MAX_DECODED_BYTES = 128 * 1024 * 1024
COMPRESSION_LEVEL = 1  # of deflate: 6 ms for the 3 MB of 12,000 routes, which shrink to a twentieth


class InvalidTransferError(Exception):
    """A complete content does not match its announced digest, can't be decoded, or exceeds the limit."""


@dataclass(frozen=True)
class Blob:
    """An encoded content. `first` to `index` are the entries that it covers."""

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
    """Encode a content for sending, for all peers that lack it."""
    content_bytes = json.dumps(content, separators=(",", ":")).encode()
    text = base64.b64encode(zlib.compress(content_bytes, COMPRESSION_LEVEL)).decode()
    return Blob(kind, first, index, _digest(text), text)


def decode(text: str, digest: str) -> dict[str, Any]:
    """Decode a text made by `encode`; InvalidTransferError if it is not one."""
    if _digest(text) != digest:
        raise InvalidTransferError("digest does not match")
    inflate = zlib.decompressobj()
    try:
        content_bytes = inflate.decompress(base64.b64decode(text, validate=True), MAX_DECODED_BYTES)
        if not inflate.eof:
            raise InvalidTransferError(f"content is truncated or longer than {MAX_DECODED_BYTES} bytes")
        return json.loads(content_bytes)
    except (ValueError, zlib.error) as error:
        raise InvalidTransferError(str(error)) from error


def _digest(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()


@dataclass
class OutgoingTransfer:
    """The sending end of a content's transfer to one peer."""

    blob: Blob
    offset: int = 0  # the peer has everything before it
    part_bytes: int = INITIAL_PART_BYTES
    sent_at: float | None = None  # when the unanswered part was sent

    def next_part(self, now: float) -> Part | None:
        """The part to send now: the next one, or a shorter one if the last was not answered in time; None while one is
        unanswered.
        """
        if self.sent_at is not None:
            if now - self.sent_at < PART_TIMEOUT_S:
                return None
            self._shrink_part()
        self.sent_at = now
        blob, end = self.blob, self.offset + self.part_bytes
        return Part(blob.kind, blob.index, blob.digest, len(blob.text), self.offset, blob.text[self.offset : end])

    def on_part_taken(self, now: float, digest: str, offset: int, wanted: int) -> bool:
        """Handle an answer: the peer took the part at `offset` and wants the one at `wanted`. False for an answer to an
        earlier part.
        """
        if self.sent_at is None or digest != self.blob.digest or offset != self.offset:
            return False
        answered_after_s, self.sent_at = now - self.sent_at, None
        self.offset = max(0, min(wanted, len(self.blob.text)))
        if answered_after_s < FAST_ANSWER_S:
            self.part_bytes = min(MAX_PART_BYTES, 2 * self.part_bytes)
        elif answered_after_s > SLOW_ANSWER_S:
            self._shrink_part()
        return True

    def _shrink_part(self) -> None:
        self.part_bytes = max(MIN_PART_BYTES, self.part_bytes // 2)


@dataclass
class IncomingTransfer:
    """The receiving end of a transfer, if there is one."""

    digest: str = ""
    newest_stamp: tuple[int, float] = (-1, 0.0)  # term and send time of the newest part taken
    texts: list[str] = field(default_factory=list)
    received_bytes: int = 0  # bytes held; the next part wanted starts here

    def add_part(self, part: Part, stamp: tuple[int, float]) -> bool:
        """Take a part sent at `stamp` (term and time); False for one of a content that was given up since."""
        if part.digest != self.digest:
            if stamp <= self.newest_stamp:
                return False
            self.clear()
            self.digest = part.digest
        self.newest_stamp = max(self.newest_stamp, stamp)
        if part.offset == self.received_bytes and self.received_bytes + len(part.text) <= min(
            part.size, MAX_ENCODED_BYTES
        ):
            self.texts.append(part.text)
            self.received_bytes += len(part.text)
        return True

    def take_content(self, part: Part) -> dict[str, Any] | None:
        """Return the content and forget it, once all of it is here. InvalidTransferError, and forgotten as well, if it
        does not match.
        """
        if self.received_bytes < part.size:
            return None
        text = "".join(self.texts)
        self.clear()
        return decode(text, part.digest)

    def clear(self) -> None:
        """Forget what is held."""
        self.digest, self.texts, self.received_bytes = "", [], 0
