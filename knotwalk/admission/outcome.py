"""What the end of a try proves, and what may follow it. Pure.

Source: the protocol's page on nodes (only `Not-Executed` or 421 says that a request did not run) and the rules TWICE
and REFUSED. A promise (429, 503, 408, 421) is given to a client only if no node may have run its request.
"""

from enum import Enum


class End(Enum):
    """How one try at one node ended."""

    UNREACHED = "unreached"  # no connection came up: not a byte was sent
    TURNED_AWAY = "turned away"  # the node says that it did not run it
    ANSWERED = "answered"  # a whole answer, to be passed on
    FAILED = "failed"  # a whole answer of the node's own trouble: 500, 502, 503, 504
    LOST = "lost"  # reset, closed, cut, unreadable or another's answer, after bytes were sent
    SILENT = "silent"  # the deadline passed after bytes were sent


class Proof(Enum):
    """What is known about a request after a try."""

    NEVER_RAN = "never ran"
    MAY_HAVE_RUN = "may have run"
    DONE = "done"


class Move(Enum):
    """What to do next."""

    AGAIN = "again"  # offer it to a node once more
    PASS_ON = "pass on"  # give the client the node's answer
    COME_BACK = "come back"  # 503 with Retry-After: it never ran and never will
    UNKNOWN = "unknown"  # 502: it may have run
    LATE = "late"  # 504: the deadline passed


PROOFS = {
    End.UNREACHED: Proof.NEVER_RAN,
    End.TURNED_AWAY: Proof.NEVER_RAN,
    End.ANSWERED: Proof.DONE,
    End.FAILED: Proof.MAY_HAVE_RUN,
    End.LOST: Proof.MAY_HAVE_RUN,
    End.SILENT: Proof.MAY_HAVE_RUN,
}
PROMISES = frozenset({408, 421, 429, 503})  # statuses by which a client knows that its request never runs
TROUBLE = frozenset({500, 502, 503, 504})  # a node's own trouble, after it ran or may have run


def judge(status: int, not_executed: bool, sealed: bool) -> End:
    """How a try ended whose whole answer came; `sealed` is whether it bears the node's seal.

    >>> judge(503, True, False), judge(200, False, False), judge(500, False, False)
    (<End.TURNED_AWAY: 'turned away'>, <End.LOST: 'lost'>, <End.FAILED: 'failed'>)
    """
    if 200 <= status < 300:
        return End.ANSWERED if sealed and not not_executed else End.LOST
    if not_executed or status == 421:
        return End.TURNED_AWAY
    if status in TROUBLE or status in PROMISES:
        return End.FAILED
    return End.ANSWERED


def move(end: End, idempotent: bool, may_have_run: bool, again: bool, status: int = 0) -> Move:
    """What follows a try that ended so.

    `may_have_run`: whether an earlier try may have run; `again`: whether a node, the time and the budget allow a
    further try; `status`: of the node's answer, where there is one.
    """
    if end is End.ANSWERED:
        return Move.PASS_ON
    if end is End.SILENT:
        return Move.LATE
    if PROOFS[end] is Proof.NEVER_RAN:
        if again and (idempotent or not may_have_run):
            return Move.AGAIN
        return Move.UNKNOWN if may_have_run else Move.COME_BACK
    if idempotent and again:
        return Move.AGAIN
    if end is End.FAILED and status not in PROMISES:
        return Move.PASS_ON
    return Move.UNKNOWN
