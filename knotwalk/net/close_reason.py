"""Why connections close, and what that means for what they carried.

Owns the one enumeration of all close reasons and the one table that maps a reason to its outcome. It must never touch a
socket, keep state or judge a peer: it only names what happened.
"""

from enum import Enum


class CloseReason(Enum):
    """Every way in which a connection can close."""

    CLOSED = "closed by the peer"
    RESET = "reset by the peer"
    REFUSED = "connection refused"
    UNREACHABLE = "peer unreachable"
    CONNECT_TIMEOUT = "connect timed out"
    SILENT = "peer silent for too long"
    MALFORMED = "malformed data"
    TOO_LONG = "message too long"
    SEND_BUFFER_FULL = "peer does not read: send buffer full"
    EVICTED = "evicted to make room"
    JOIN_TIMEOUT = "did not join in time"
    CLOSED_BY_US = "closed by us"


class Role(Enum):
    """What a connection was for."""

    CALL = "call"
    STREAM = "stream"
    LIST = "list"
    COLLECTOR = "collector"


class Outcome(Enum):
    """What the close of a connection means to the conductor."""

    NOTHING = "no effect"
    NOT_APPLIED = "the orders were not carried out"
    UNKNOWN = "the orders were carried out, or not at all"
    STALE = "events may be missing until the current state is read again"
    LIST_FAILED = "the server list may be out of date"


# A connection that was never established has carried nothing.
_NEVER_ESTABLISHED = {CloseReason.REFUSED, CloseReason.UNREACHABLE, CloseReason.CONNECT_TIMEOUT}


def outcome(role: Role, reason: CloseReason, sent: bool = False) -> Outcome:
    """What a close reason means; `sent` is whether the last byte of a call had been handed to the kernel.

    >>> outcome(Role.CALL, CloseReason.RESET, sent=True)
    <Outcome.UNKNOWN: 'the orders were carried out, or not at all'>
    >>> outcome(Role.CALL, CloseReason.RESET, sent=False)
    <Outcome.NOT_APPLIED: 'the orders were not carried out'>
    """
    if role is Role.CALL:
        return Outcome.UNKNOWN if sent and reason not in _NEVER_ESTABLISHED else Outcome.NOT_APPLIED
    return {Role.STREAM: Outcome.STALE, Role.LIST: Outcome.LIST_FAILED, Role.COLLECTOR: Outcome.NOTHING}[role]
