"""Claims as short lists, for logs and for calls between core machines: each goes to every core machine. Pure."""

from __future__ import annotations

import re
from base64 import urlsafe_b64decode, urlsafe_b64encode

from knotwalk.shared_state.messages import Claim, Holder

HEXADECIMAL = re.compile(r"(?:[0-9a-f]{2}){4,}")
SHORT, PLAIN = "~", "="  # the first character of a text in base64, and of one that begins with either of these


def shortened(text: str) -> str:
    """A text in two thirds of its length if it is of hexadecimal digits, as operations, lives and most attempts are.

    >>> shortened("00ff00ff00ff00ff"), shortened("a b"), shortened("~")
    ('~AP8A_wD_AP8', 'a b', '=~')
    """
    if HEXADECIMAL.fullmatch(text):
        return SHORT + urlsafe_b64encode(bytes.fromhex(text)).rstrip(b"=").decode("ascii")
    return PLAIN + text if text[:1] in (SHORT, PLAIN) else text


def lengthened(text: str) -> str:
    """The text that `shortened` was given; ValueError where it is none of its texts."""
    if text.startswith(SHORT):
        return urlsafe_b64decode(text[1:] + "=" * (-len(text[1:]) % 4)).hex()
    return text.removeprefix(PLAIN)


def pack_claim(claim: Claim) -> list:
    """A claim as [operation, core, life, attempt], and 1 behind it for a release."""
    holder = claim.holder
    found = [shortened(claim.operation), holder.core, shortened(holder.life), shortened(holder.attempt)]
    return [*found, 1] if claim.release else found


def unpack_claim(raw: list) -> Claim:
    """The claim that `pack_claim` was given; ValueError or TypeError for anything else."""
    operation, core, life, attempt, *release = raw
    return Claim(lengthened(operation), Holder(core, lengthened(life), lengthened(attempt)), bool(release))
