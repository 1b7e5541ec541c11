"""What an edge does with a core's answer to an admission request (an "ask"), and how it reports how runs ended. Pure.

A run is one execution of an operation; its end (answered, never ran, unknown) is reported to the cores that granted it.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from knotwalk.admission.outcome import NextStep, TryOutcome
from knotwalk.edge.node_answer import Answer
from knotwalk.shared_state.messages import Admission, AdmissionResponse, Ending, OperationEnd, StoredAnswer

# Pause between asks for an operation that another request is running, and between asks that got no decision.
MIN_REPEAT_PAUSE_S, MAX_REPEAT_PAUSE_S = 0.05, 0.1
RETRY_PAUSE_S = 0.005
# Time for which a core's answer that an operation is in work stays valid.
IN_WORK_VALID_S = 0.4
# Part of the target latency that a request may wait for a decision that is on its way. Longer than it may wait for a
# core that can't decide: most of these decisions come soon enough for the request to run in time.
LATE_ADMISSION_PART = 0.5
# Time before a request's deadline at which a repeat is answered that the first request still runs: the answer's way to
# the client.
CONFLICT_BEFORE_DEADLINE_S = 0.04
# Time until an end that its core did not accept is reported again; doubled each time, up to the maximum.
RESEND_AFTER_S, MAX_RESEND_AFTER_S = 0.5, 3.0
# Maximum number of pending ends, and bytes of their answers: above it the oldest are dropped, and their operations stay
# unknown to the cores.
MAX_ENDS, MAX_BYTES = 2000, 8 * 1024 * 1024


class AdmissionStep(Enum):
    """What to do with a request after a core's answer to its ask."""

    FORWARD = "forward"  # to a node
    LIMITED = "limited"  # 429
    WAIT = "wait"  # ask again
    ANSWER = "answer"  # the stored answer
    FAIL = "fail"  # 502: its operation may have run, and its answer is not available
    REFUSE = "refuse"  # 503: no decision in time
    CONFLICT = "conflict"  # 409: its operation is in work


FINAL_STEPS = {
    Admission.RUN: AdmissionStep.FORWARD,
    Admission.OVER_LIMIT: AdmissionStep.LIMITED,
    Admission.ANSWERED: AdmissionStep.ANSWER,
    Admission.UNKNOWN: AdmissionStep.FAIL,
}


@dataclass(frozen=True, slots=True)
class AdmissionDeadlines:
    """Times of a request on the monotonic clock.

    It is refused at `early` if the cores can't decide, at `late` if their decision does not come in time, and is
    answered at `until` in any case."""

    early: float
    late: float
    until: float


def admission_step(
    response: AdmissionResponse, in_work_at: float | None, now: float, deadlines: AdmissionDeadlines
) -> AdmissionStep:
    """The next step of a request. `in_work_at`: when a core last answered that its operation is in work, None if never.

    UNAVAILABLE without a Retry-After means that the core waits for the decision of others.

    >>> times = AdmissionDeadlines(1.1, 1.3, 2.0)
    >>> admission_step(AdmissionResponse(Admission.IN_PROGRESS), None, 1.0, times)
    <AdmissionStep.WAIT: 'wait'>
    >>> [admission_step(AdmissionResponse(Admission.UNAVAILABLE, wait), None, 1.2, times) for wait in (0.0, 0.2)]
    [<AdmissionStep.WAIT: 'wait'>, <AdmissionStep.REFUSE: 'refuse'>]
    """
    if response.admission in FINAL_STEPS:
        return FINAL_STEPS[response.admission]
    if response.admission is Admission.IN_PROGRESS:
        return AdmissionStep.WAIT if now < deadlines.until else AdmissionStep.CONFLICT
    if in_work_at is None:
        return (
            AdmissionStep.WAIT
            if now < (deadlines.early if response.retry_after else deadlines.late)
            else AdmissionStep.REFUSE
        )
    if now < deadlines.until:
        return AdmissionStep.WAIT
    return AdmissionStep.CONFLICT if now - in_work_at <= IN_WORK_VALID_S else AdmissionStep.REFUSE


def stored(answer: Answer) -> StoredAnswer:
    """A node's complete answer in the form in which it is stored for repeats."""
    headers = tuple((name.decode("latin-1"), value.decode("latin-1")) for name, value in answer.headers)
    return StoredAnswer(answer.status, headers, answer.body)


def repeated(stored_answer: StoredAnswer, attempt: bytes) -> Answer:
    """The answer to a repeat: the stored one under the repeat's own `Attempt-Id`, by which its client recognizes it."""
    answer = Answer(TryOutcome.ANSWERED)
    answer.status, answer.body = stored_answer.status, stored_answer.body
    answer.length = len(stored_answer.body) if stored_answer.body else None
    pairs = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in stored_answer.headers]
    answer.headers = [(name, attempt if name.lower() == b"attempt-id" else value) for name, value in pairs]
    return answer


@dataclass(frozen=True, slots=True)
class RunEnd:
    """How the run of an operation ended at this edge; with `answer` if it is ANSWERED."""

    ending: Ending
    answer: StoredAnswer | None = None

    def as_response(self) -> AdmissionResponse | None:
        """The admission response to a repeat that waited here for this end; None if its operation may run again."""
        if self.ending is Ending.NEVER_RAN:
            return None
        admission = Admission.ANSWERED if self.ending is Ending.ANSWERED else Admission.UNKNOWN
        return AdmissionResponse(admission, answer=self.answer)


def run_end(step: NextStep, answer: Answer | None) -> RunEnd:
    """How a run ended whose last try led to `step`; an answer too large to be buffered is not stored."""
    if step is NextStep.REFUSE:
        return RunEnd(Ending.NEVER_RAN)
    if step is NextStep.PASS_ON and answer is not None and answer.is_complete:
        return RunEnd(Ending.ANSWERED, stored(answer))
    return RunEnd(Ending.UNKNOWN)


@dataclass(slots=True)
class PendingEnd:
    """An end that its `core` has not accepted yet.

    It is due at `due`, then again after `resend_after_s`, and is dropped at `expires_at`. While it is `unsent` it may
    go with an earlier call that is made anyway."""

    core: str
    end: OperationEnd
    due: float
    expires_at: float
    resend_after_s: float = RESEND_AFTER_S
    unsent: bool = True

    @property
    def size(self) -> int:
        """Bytes of the answer's body."""
        return len(self.end.answer.body) if self.end.answer else 0


class PendingEnds:
    """Ends to be reported to cores; times on the monotonic clock."""

    def __init__(self, window: float):
        self.window = window  # seconds after which no client repeats an operation any more
        self.waiting: OrderedDict[tuple[str, str, str], PendingEnd] = OrderedDict()
        self.size = 0

    def add(self, now: float, core: str, end: OperationEnd, due: float) -> None:
        """Add an end to be reported, by a call of its own at `due` at the latest."""
        pending = PendingEnd(core, end, due, now + self.window)
        self.mark_accepted(core, [end])
        self.waiting[core, end.operation, end.attempt] = pending
        self.size += pending.size
        while len(self.waiting) > MAX_ENDS or self.size > MAX_BYTES:
            _, oldest = self.waiting.popitem(last=False)
            self.size -= oldest.size

    def due(self, now: float) -> list[PendingEnd]:
        """The ends that need a call now; drops those that have expired."""
        for key, pending in list(self.waiting.items()):
            if now >= pending.expires_at:
                self.size -= pending.size
                del self.waiting[key]
        return [pending for pending in self.waiting.values() if now >= pending.due]

    def ready(self, now: float, core: str) -> list[PendingEnd]:
        """The ends that may go with a call to this core."""
        return [
            pending
            for pending in self.waiting.values()
            if pending.core == core and (pending.unsent or now >= pending.due)
        ]

    def make_due(self) -> None:
        """Make all unsent ends due at once."""
        for pending in self.waiting.values():
            if pending.unsent:
                pending.due = 0.0

    def mark_sent(self, now: float, core: str, ends: list[OperationEnd]) -> None:
        """Record that a call with these ends is being sent; each is due again after its pause."""
        for end in ends:
            pending = self.waiting.get((core, end.operation, end.attempt))
            if pending is not None:
                pending.unsent = False
                pending.due = now + pending.resend_after_s
                pending.resend_after_s = min(MAX_RESEND_AFTER_S, 2 * pending.resend_after_s)

    def mark_accepted(self, core: str, ends: list[OperationEnd]) -> None:
        """Remove the ends that the core has accepted."""
        for end in ends:
            pending = self.waiting.pop((core, end.operation, end.attempt), None)
            if pending is not None:
                self.size -= pending.size

    def next_due(self) -> float | None:
        """When the next end is due, None if there is none."""
        return min((pending.due for pending in self.waiting.values()), default=None)
