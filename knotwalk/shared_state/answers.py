"""What a core machine knows of the operations whose claims name it as the keeper of their answers. Pure.

Kept in memory only: an operation whose record is lost counts as UNKNOWN from then on, never as one that did not run.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from knotwalk.shared_state.messages import Ending, Holder, StoredAnswer

# Fraction of a machine's memory that answers may take.
MEMORY_FRACTION = 0.125
# Bytes that a record takes in addition to its answer (body, and headers by their number of characters).
ENTRY_OVERHEAD_BYTES = 1200
# How long past the window (`key_period`) a record is kept: by then the claim of its operation must have expired.
WINDOW_MARGIN_S = 12.0


class Phase(Enum):
    """What this core knows of an operation."""

    RUNNING = "running"
    FREED = "freed"  # its holder reported that it did not run: its claim is released
    ANSWERED = "answered"
    UNKNOWN = "unknown"  # it may have run, and its answer is not available


# An edge may still report on an operation that was given up as UNKNOWN: its report is authoritative, however late.
TRANSITIONS = {
    Phase.RUNNING: {Phase.FREED, Phase.ANSWERED, Phase.UNKNOWN},
    Phase.UNKNOWN: {Phase.FREED, Phase.ANSWERED},
    Phase.FREED: set(),
    Phase.ANSWERED: set(),
}
PHASE_OF_ENDING = {Ending.ANSWERED: Phase.ANSWERED, Ending.NEVER_RAN: Phase.FREED, Ending.UNKNOWN: Phase.UNKNOWN}


@dataclass(slots=True)
class OperationRecord:
    """One operation: the holder of its claim, since when by the monotonic clock, and its phase."""

    holder: Holder
    since: float
    phase: Phase = Phase.RUNNING
    answer: StoredAnswer | None = None
    size: int = ENTRY_OVERHEAD_BYTES

    def transition_to(self, phase: Phase) -> bool:
        """Change the phase, if the transition is allowed; return whether it is. Nothing else changes a phase."""
        if phase not in TRANSITIONS[self.phase]:
            return False
        self.phase = phase
        return True


@dataclass(frozen=True, slots=True)
class OperationStatus:
    """The phase of an operation; `answer` if it is ANSWERED."""

    phase: Phase
    answer: StoredAnswer | None = None


def size_of(answer: StoredAnswer) -> int:
    """The size of an answer in bytes."""
    return len(answer.body) + sum(len(name) + len(value) for name, value in answer.headers)


class Answers:
    """Records of operations by id, oldest first; `max_bytes` in all, each for `window` seconds.

    A run that its edge has not reported on for `max_run_s` seconds (at first the whole window) counts as UNKNOWN."""

    def __init__(self, max_bytes: int, window: float):
        self.max_bytes, self.window, self.max_run_s = max_bytes, window + WINDOW_MARGIN_S, window
        self.operations: OrderedDict[str, OperationRecord] = OrderedDict()
        self.size = 0

    def begin(self, now: float, operation: str, holder: Holder) -> bool:
        """Record that the claim of `holder` was granted. False if that run has already ended, so it must not start."""
        record = self.operations.get(operation)
        if record is not None and record.holder == holder:
            return record.phase is Phase.RUNNING
        self._store(operation, OperationRecord(holder, now))
        self._evict(now)
        return True

    def end(
        self, now: float, operation: str, holder: Holder, ending: Ending, answer: StoredAnswer | None = None
    ) -> Holder:
        """Record how an edge reported the run of `holder` to have ended, even if no record of it is left here. Returns
        the holder as its claim names it. A report on a holder that another one has replaced changes nothing."""
        record = self.operations.get(operation)
        if record is None:
            record = OperationRecord(holder, now)
            self._store(operation, record)
        elif (record.holder.incarnation, record.holder.attempt) != (holder.incarnation, holder.attempt):
            return holder
        if record.transition_to(PHASE_OF_ENDING[ending]) and record.phase is Phase.ANSWERED:
            assert answer is not None
            record.answer = answer
            record.size += size_of(answer)
            self.size += size_of(answer)
        self._evict(now)
        return record.holder

    def find(self, now: float, operation: str, holder: Holder) -> OperationStatus:
        """The status of the run of `holder`."""
        record = self.operations.get(operation)
        if record is None or record.holder != holder:
            return OperationStatus(Phase.UNKNOWN)
        if record.phase is Phase.RUNNING and now - record.since > self.max_run_s:
            record.transition_to(Phase.UNKNOWN)
        return OperationStatus(record.phase, record.answer)

    def holder_of(self, operation: str) -> Holder | None:
        """The last holder that was allowed to run an operation, as far as this core knows."""
        record = self.operations.get(operation)
        return record.holder if record is not None else None

    def count_by_phase(self) -> dict[Phase, int]:
        """The number of operations in each phase."""
        return {phase: sum(record.phase is phase for record in self.operations.values()) for phase in Phase}

    def _store(self, operation: str, record: OperationRecord) -> None:
        """Store a record as the newest, replacing the operation's previous one."""
        previous = self.operations.pop(operation, None)
        if previous is not None:
            self.size -= previous.size
        self.operations[operation] = record
        self.size += record.size

    def _evict(self, now: float) -> None:
        """Evict records past their window, and the oldest ones while the store is over its size."""
        while self.operations:
            oldest = next(iter(self.operations.values()))
            if self.size <= self.max_bytes and now - oldest.since < self.window:
                return
            self.size -= oldest.size
            self.operations.popitem(last=False)
