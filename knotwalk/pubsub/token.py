"""Resume tokens: signed records of how far a subscriber has received the table, which it cannot forge.

Does no I/O. A token holds epoch, version and the next slice of an unfinished snapshot, and is signed for one
subscriber; everything else is rejected.
"""

import hashlib
import hmac
import re
from typing import NamedTuple

SIGNATURE_BYTES = 12  # a guess succeeds once in 2^96, at the cost of 24 characters in each message
TOKEN_PATTERN = re.compile(r"([0-9a-zA-Z_-]{1,64})\.(\d{1,18})\.(\d{1,18})?\.([0-9a-f]{24})")


class Token(NamedTuple):
    """What a subscriber holds: everything up to a version or, during a snapshot, only the slices below `next_slice`."""

    epoch: str
    version: int
    next_slice: int | None  # where the snapshot in progress continues; None: the table is complete


def sign(key: bytes, name: str, body: str) -> str:
    return hashlib.blake2s(f"{name}\0{body}".encode(), key=key, digest_size=SIGNATURE_BYTES).hexdigest()


def encode_token(key: bytes, name: str, epoch: str, version: int, next_slice: int | None) -> str:
    """A token signed for the subscriber of that name.

    >>> encode_token(b"k", "p1", "e", 7, None).rpartition(".")[0]
    'e.7.'
    """
    body = f"{epoch}.{version}.{'' if next_slice is None else next_slice}"
    return f"{body}.{sign(key, name, body)}"


def decode_token(key: bytes, name: str, text: object) -> Token | None:
    """The token, or None unless this publisher issued it for the subscriber of that name.

    >>> text = encode_token(b"k", "p1", "e", 7, 40)
    >>> decode_token(b"k", "p1", text), decode_token(b"k", "p2", text)
    (Token(epoch='e', version=7, next_slice=40), None)
    """
    match = TOKEN_PATTERN.fullmatch(text) if isinstance(text, str) and len(text) < 200 else None
    if match is None:
        return None
    body = text.rpartition(".")[0]  # type: ignore[union-attr]
    if not hmac.compare_digest(sign(key, name, body), match[4]):
        return None
    return Token(match[1], int(match[2]), int(match[3]) if match[3] else None)
