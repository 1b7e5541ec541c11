"""How connections end, and what that means.

Owns the one type of all endings and the one table that turns an ending into an outcome. It must never touch a
socket, keep state or judge a peer: it only names what happened.
"""

from enum import Enum


class CloseReason(Enum):
    """Every way in which a connection can end."""

    CLOSED = "closed by the peer"
    RESET = "reset by the peer"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    TIMED_OUT = "never came up"
    SILENT = "silent for longer than its rhythm allows"
    MALFORMED = "malformed"
    TOO_LONG = "too long"
    UNREAD = "left unread what it was sent"
    CROWDED = "left to make room"
    STRANGER = "did not join in time"
    LEFT = "left by us"


class Role(Enum):
    """What a connection was for."""

    CALL = "call"
    NEWS = "news"
    LIST = "list"
    CALLER = "caller"


class Outcome(Enum):
    """What the end of a connection means to the module."""

    NOTHING = "nothing"
    UNDONE = "the orders were not carried out"
    UNSURE = "the orders were carried out, or not at all"
    STALE = "news may be missing until what stands is read again"
    LIST_FAILED = "the list may be old"


# A connection that never came up has carried nothing.
_NEVER_UP = {CloseReason.REFUSED, CloseReason.UNREACHABLE, CloseReason.TIMED_OUT}


def outcome(role: Role, reason: CloseReason, sent: bool = False) -> Outcome:
    """What an ending means; `sent` says whether the last byte of a call had gone out.

    >>> outcome(Role.CALL, CloseReason.RESET, sent=True)
    <Outcome.UNSURE: 'the orders were carried out, or not at all'>
    >>> outcome(Role.CALL, CloseReason.RESET, sent=False)
    <Outcome.UNDONE: 'the orders were not carried out'>
    """
    if role is Role.CALL:
        return Outcome.UNSURE if sent and reason not in _NEVER_UP else Outcome.UNDONE
    return {Role.NEWS: Outcome.STALE, Role.LIST: Outcome.LIST_FAILED, Role.CALLER: Outcome.NOTHING}[role]
