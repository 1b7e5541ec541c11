"""What the outcome of a try proves, and which step may follow it. Pure.

Source: the node protocol (only `Not-Executed` or 421 proves that a request did not run), and the rules TWICE and
REFUSED. A client gets a status that promises that its request never runs (429, 503, 408, 421) only if no node may have
run it.
"""

from enum import Enum


class TryOutcome(Enum):
    """How one try at one node ended."""

    UNREACHED = "unreached"  # no connection was established: nothing was sent
    TURNED_AWAY = "turned away"  # the node states that it did not run it
    ANSWERED = "answered"  # a complete answer, to be passed on
    FAILED = "failed"  # a complete answer with a server error: 500, 502, 503, 504
    LOST = "lost"  # after bytes were sent: reset, closed, truncated, unreadable or another request's answer
    SILENT = "silent"  # the deadline passed after bytes were sent


class Proof(Enum):
    """What is known about a request after a try."""

    NEVER_RAN = "never ran"
    MAY_HAVE_RUN = "may have run"
    DONE = "done"


class NextStep(Enum):
    """What to do after a try."""

    RETRY = "retry"  # offer it to a node again
    PASS_ON = "pass on"  # give the client the node's answer
    REFUSE = "refuse"  # 503 with Retry-After: it never ran and never will
    UNKNOWN = "unknown"  # 502: it may have run
    TIMED_OUT = "timed out"  # 504: the deadline passed


PROOFS = {
    TryOutcome.UNREACHED: Proof.NEVER_RAN,
    TryOutcome.TURNED_AWAY: Proof.NEVER_RAN,
    TryOutcome.ANSWERED: Proof.DONE,
    TryOutcome.FAILED: Proof.MAY_HAVE_RUN,
    TryOutcome.LOST: Proof.MAY_HAVE_RUN,
    TryOutcome.SILENT: Proof.MAY_HAVE_RUN,
}
NEVER_RUN_STATUSES = frozenset({408, 421, 429, 503})  # these promise the client that its request never runs
SERVER_FAULT_STATUSES = frozenset({500, 502, 503, 504})  # server errors after which the request has run or may have run


def classify_answer(status: int, not_executed: bool, sealed: bool) -> TryOutcome:
    """The outcome of a try with a complete answer; `sealed`: whether the answer has the `Server-Seal` header.

    >>> classify_answer(503, True, False), classify_answer(200, False, False), classify_answer(500, False, False)
    (<TryOutcome.TURNED_AWAY: 'turned away'>, <TryOutcome.LOST: 'lost'>, <TryOutcome.FAILED: 'failed'>)
    """
    if 200 <= status < 300:
        return TryOutcome.ANSWERED if sealed and not not_executed else TryOutcome.LOST
    if not_executed or status == 421:
        return TryOutcome.TURNED_AWAY
    if status in SERVER_FAULT_STATUSES or status in NEVER_RUN_STATUSES:
        return TryOutcome.FAILED
    return TryOutcome.ANSWERED


def next_step(outcome: TryOutcome, idempotent: bool, may_have_run: bool, again: bool, status: int = 0) -> NextStep:
    """The step that follows a try with this outcome.

    `may_have_run`: whether an earlier try may have run; `again`: whether the available nodes, the time left and the
    retry budget allow another try; `status`: that of the node's answer, if there is one.
    """
    if outcome is TryOutcome.ANSWERED:
        return NextStep.PASS_ON
    if outcome is TryOutcome.SILENT:
        return NextStep.TIMED_OUT
    if PROOFS[outcome] is Proof.NEVER_RAN:
        if again and (idempotent or not may_have_run):
            return NextStep.RETRY
        return NextStep.UNKNOWN if may_have_run else NextStep.REFUSE
    if idempotent and again:
        return NextStep.RETRY
    if outcome is TryOutcome.FAILED and status not in NEVER_RUN_STATUSES:
        return NextStep.PASS_ON
    return NextStep.UNKNOWN
