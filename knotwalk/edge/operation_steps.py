"""What an edge does with a core's answer to an ask, how a run's end is told, and which ends wait to be told. Pure."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from knotwalk.admission.outcome import End, Move
from knotwalk.edge.node_answer import Answer
from knotwalk.shared_state.messages import Admission, AdmissionResponse, Ending, OperationEnd, StoredAnswer

# Seconds between asks for an operation that another try runs, and between asks while it can't be told.
REPEAT_LEAST, REPEAT_MOST = 0.05, 0.1
AGAIN = 0.005
# Seconds for which a core's word that an operation is in work holds.
IN_WORK_HOLDS = 0.4
# Of the aim: how long a request may wait for word that is on its way. Longer than it may wait where there is none: most
# of what is late by this is told soon, and run in time.
LATE_PART = 0.5
# Seconds before a request's deadline at which a repeat is told that the first try still runs: the way to the client.
CONFLICT_BEFORE = 0.04
# Seconds until an end that no core took is told again: at first, growing to the most.
TELL_AGAIN, TELL_AGAIN_MOST = 0.5, 3.0
# Ends that wait to be told, and bytes of their answers: beyond it the oldest go, and are unknown from then on.
MOST_ENDS, MOST_BYTES = 2000, 8 * 1024 * 1024


class Step(Enum):
    """What follows a core's answer to a request's ask."""

    CARRY = "carry"  # pass it on to a node
    LIMITED = "limited"  # 429
    WAIT = "wait"  # ask again
    ANSWER = "answer"  # the stored answer
    FAIL = "fail"  # 502: its operation may have run, its answer can't be had
    COME_BACK = "come back"  # 503: not told in time
    CONFLICT = "conflict"  # 409: its operation is in work


AT_ONCE = {
    Admission.RUN: Step.CARRY,
    Admission.OVER_LIMIT: Step.LIMITED,
    Admission.ANSWERED: Step.ANSWER,
    Admission.UNKNOWN: Step.FAIL,
}


@dataclass(frozen=True, slots=True)
class Patience:
    """Times of a request by the steady clock: refused by `early` if nobody can tell, by `late` if it is not told in
    time, and answered by `until` whatever there is."""

    early: float
    late: float
    until: float


def step(told: AdmissionResponse, in_work_at: float | None, now: float, patience: Patience) -> Step:
    """What follows. `in_work_at`: when a core told last that its operation is in work, None if none did.

    UNAVAILABLE without a time to come back says that the core waits for others' word.

    >>> times = Patience(1.1, 1.3, 2.0)
    >>> step(AdmissionResponse(Admission.IN_PROGRESS), None, 1.0, times)
    <Step.WAIT: 'wait'>
    >>> [step(AdmissionResponse(Admission.UNAVAILABLE, wait), None, 1.2, times) for wait in (0.0, 0.2)]
    [<Step.WAIT: 'wait'>, <Step.COME_BACK: 'come back'>]
    """
    if told.admission in AT_ONCE:
        return AT_ONCE[told.admission]
    if told.admission is Admission.IN_PROGRESS:
        return Step.WAIT if now < patience.until else Step.CONFLICT
    if in_work_at is None:
        return Step.WAIT if now < (patience.early if told.retry_after else patience.late) else Step.COME_BACK
    if now < patience.until:
        return Step.WAIT
    return Step.CONFLICT if now - in_work_at <= IN_WORK_HOLDS else Step.COME_BACK


def stored(answer: Answer) -> StoredAnswer:
    """A node's whole answer as it is kept for repeats."""
    headers = tuple((name.decode("latin-1"), value.decode("latin-1")) for name, value in answer.headers)
    return StoredAnswer(answer.status, headers, answer.body)


def repeated(kept: StoredAnswer, attempt: bytes) -> Answer:
    """A stored answer as that to the repeat with this `Attempt-Id`, by which its client knows it as its own."""
    answer = Answer(End.ANSWERED)
    answer.status, answer.body = kept.status, kept.body
    answer.length = len(kept.body) if kept.body else None
    pairs = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in kept.headers]
    answer.headers = [(name, attempt if name.lower() == b"attempt-id" else value) for name, value in pairs]
    return answer


@dataclass(frozen=True, slots=True)
class RunEnd:
    """How the run of an operation ended here; `answer` where it is ANSWERED."""

    ending: Ending
    answer: StoredAnswer | None = None

    def as_told(self) -> AdmissionResponse | None:
        """What a repeat that waited here for this end is told; None if its operation is free again."""
        if self.ending is Ending.NEVER_RAN:
            return None
        admission = Admission.ANSWERED if self.ending is Ending.ANSWERED else Admission.UNKNOWN
        return AdmissionResponse(admission, answer=self.answer)


def run_end(move: Move, answer: Answer | None) -> RunEnd:
    """How a run ended whose last try led to `move`; an answer too large to be gathered is not kept."""
    if move is Move.COME_BACK:
        return RunEnd(Ending.NEVER_RAN)
    if move is Move.PASS_ON and answer is not None and answer.whole:
        return RunEnd(Ending.ANSWERED, stored(answer))
    return RunEnd(Ending.UNKNOWN)


@dataclass(slots=True)
class Untold:
    """An end that no core took yet: for the core `to`, due at `due`, again after `pause`, dropped at `last`.

    `fresh` until it is told first; it may then go before it is due, with a call that is made anyway."""

    to: str
    end: OperationEnd
    due: float
    last: float
    pause: float = TELL_AGAIN
    fresh: bool = True

    @property
    def size(self) -> int:
        """Bytes of its answer."""
        return len(self.end.answer.body) if self.end.answer else 0


class UntoldEnds:
    """Ends on their way to the cores that they are for; times by the steady clock."""

    def __init__(self, window: float):
        self.window = window  # seconds after which nobody asks for an operation any more
        self.waiting: OrderedDict[tuple[str, str, str], Untold] = OrderedDict()
        self.size = 0

    def add(self, now: float, to: str, end: OperationEnd, due: float) -> None:
        """An end is to be told, by a call of its own at `due`."""
        untold = Untold(to, end, due, now + self.window)
        self.done(to, [end])
        self.waiting[to, end.operation, end.attempt] = untold
        self.size += untold.size
        while len(self.waiting) > MOST_ENDS or self.size > MOST_BYTES:
            _, oldest = self.waiting.popitem(last=False)
            self.size -= oldest.size

    def due(self, now: float) -> list[Untold]:
        """Those that want a call now; they are not due again before their pause."""
        for key, untold in list(self.waiting.items()):
            if now >= untold.last:
                self.size -= untold.size
                del self.waiting[key]
        return [one for one in self.waiting.values() if now >= one.due]

    def ready(self, now: float, to: str) -> list[Untold]:
        """Those that may go with a call to this core."""
        return [one for one in self.waiting.values() if one.to == to and (one.fresh or now >= one.due)]

    def hurry(self) -> None:
        """All that were not told yet are due."""
        for untold in self.waiting.values():
            if untold.fresh:
                untold.due = 0.0

    def sent(self, now: float, to: str, ends: list[OperationEnd]) -> None:
        """These are being told."""
        for end in ends:
            untold = self.waiting.get((to, end.operation, end.attempt))
            if untold is not None:
                untold.fresh = False
                untold.due = now + untold.pause
                untold.pause = min(TELL_AGAIN_MOST, 2 * untold.pause)

    def done(self, to: str, ends: list[OperationEnd]) -> None:
        """The core took these."""
        for end in ends:
            untold = self.waiting.pop((to, end.operation, end.attempt), None)
            if untold is not None:
                self.size -= untold.size

    def next_due(self) -> float | None:
        """When the next one is due, None if there is none."""
        return min((one.due for one in self.waiting.values()), default=None)
