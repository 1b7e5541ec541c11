"""Tokens: where a subscriber is, in words that it can neither read into nor forge.

Pure. A token names epoch, version and place, and is signed for one subscriber; whatever else comes is no token.
"""

import hashlib
import hmac
import re
from typing import NamedTuple

SIGNED = 12  # bytes of the signature: a guess in 2^96, at a few bytes a message
FORM = re.compile(r"([0-9a-zA-Z_-]{1,64})\.(\d{1,18})\.(\d{1,18})?\.([0-9a-f]{24})")


class Token(NamedTuple):
    """What a subscriber holds: all up to a version, or in the midst of a snapshot, that below a place."""

    epoch: str
    version: int
    place: int | None  # the next slice of a snapshot under way; None: the table is whole


def signature(key: bytes, name: str, body: str) -> str:
    return hashlib.blake2s(f"{name}\0{body}".encode(), key=key, digest_size=SIGNED).hexdigest()


def written(key: bytes, name: str, epoch: str, version: int, place: int | None) -> str:
    """A token for the subscriber of that name.

    >>> written(b"k", "p1", "e", 7, None).rpartition(".")[0]
    'e.7.'
    """
    body = f"{epoch}.{version}.{'' if place is None else place}"
    return f"{body}.{signature(key, name, body)}"


def read(key: bytes, name: str, text: object) -> Token | None:
    """The token, or None for what is none of this publisher's for that subscriber.

    >>> read(b"k", "p1", written(b"k", "p1", "e", 7, 40)), read(b"k", "p2", written(b"k", "p1", "e", 7, 40))
    (Token(epoch='e', version=7, place=40), None)
    """
    match = FORM.fullmatch(text) if isinstance(text, str) and len(text) < 200 else None
    if match is None:
        return None
    body = text.rpartition(".")[0]  # type: ignore[union-attr]
    if not hmac.compare_digest(signature(key, name, body), match[4]):
        return None
    return Token(match[1], int(match[2]), int(match[3]) if match[3] else None)
