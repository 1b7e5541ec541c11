"""Claims as short lists, for logs and for calls between core machines: each claim goes to every core. Pure."""

from __future__ import annotations

import re
from base64 import urlsafe_b64decode, urlsafe_b64encode

from knotwalk.shared_state.messages import Claim, Holder

HEX_TEXT = re.compile(r"(?:[0-9a-f]{2}){4,}")
# First character of a text in base64, and of a plain text that itself begins with one of the two characters.
BASE64_PREFIX, PLAIN_PREFIX = "~", "="


def shorten(text: str) -> str:
    """Encode hexadecimal digits as base64, in two thirds of the length; operation ids, incarnations and most attempts
    are hexadecimal. Any other text is kept.

    >>> shorten("00ff00ff00ff00ff"), shorten("a b"), shorten("~")
    ('~AP8A_wD_AP8', 'a b', '=~')
    """
    if HEX_TEXT.fullmatch(text):
        return BASE64_PREFIX + urlsafe_b64encode(bytes.fromhex(text)).rstrip(b"=").decode("ascii")
    return PLAIN_PREFIX + text if text[:1] in (BASE64_PREFIX, PLAIN_PREFIX) else text


def lengthen(text: str) -> str:
    """The inverse of `shorten`; ValueError for a text that it can't have returned."""
    if text.startswith(BASE64_PREFIX):
        return urlsafe_b64decode(text[1:] + "=" * (-len(text[1:]) % 4)).hex()
    return text.removeprefix(PLAIN_PREFIX)


def pack_claim(claim: Claim) -> list:
    """A claim as [operation, core, incarnation, attempt], with 1 appended for a release."""
    holder = claim.holder
    packed = [shorten(claim.operation), holder.core, shorten(holder.incarnation), shorten(holder.attempt)]
    return [*packed, 1] if claim.release else packed


def unpack_claim(raw: list) -> Claim:
    """The inverse of `pack_claim`; ValueError or TypeError for anything else."""
    operation, core, incarnation, attempt, *release = raw
    return Claim(lengthen(operation), Holder(core, lengthen(incarnation), lengthen(attempt)), bool(release))
