"""What a core machine keeps of the operations whose claims name it as the keeper of their answers. Pure.

It is kept in memory only: what is lost here is unknown from then on, and is never taken for one that did not run.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from knotwalk.shared_state.messages import Ending, Holder, StoredAnswer

# Of a machine's memory, what answers may take.
MEMORY_PART = 0.125
# Bytes that an operation takes beside its answer's body, its headers counted as their letters.
OVERHEAD = 1200
# Seconds past the window (`key_period`) until an operation is forgotten here: its claim must have ended by then.
WINDOW_MARGIN = 12.0


class Phase(Enum):
    """What is known here of an operation."""

    RUNNING = "running"
    FREED = "freed"  # its holder said that it surely never ran: its claim is given back
    ANSWERED = "answered"
    UNKNOWN = "unknown"  # it may have run, and its answer can't be had


# An operation that was given up as unknown may still be told of: what its edge says is the truth, however late.
TRANSITIONS = {
    Phase.RUNNING: {Phase.FREED, Phase.ANSWERED, Phase.UNKNOWN},
    Phase.UNKNOWN: {Phase.FREED, Phase.ANSWERED},
    Phase.FREED: set(),
    Phase.ANSWERED: set(),
}
PHASES = {Ending.ANSWERED: Phase.ANSWERED, Ending.NEVER_RAN: Phase.FREED, Ending.UNKNOWN: Phase.UNKNOWN}


@dataclass(slots=True)
class Kept:
    """One operation: who holds its claim, since when by the steady clock, and how it stands."""

    holder: Holder
    since: float
    phase: Phase = Phase.RUNNING
    answer: StoredAnswer | None = None
    size: int = OVERHEAD

    def to(self, phase: Phase) -> bool:
        """Change the phase, the only place that does; whether it may be changed so."""
        if phase not in TRANSITIONS[self.phase]:
            return False
        self.phase = phase
        return True


@dataclass(frozen=True, slots=True)
class Found:
    """How an operation stands; `answer` where it is ANSWERED."""

    phase: Phase
    answer: StoredAnswer | None = None


def size_of(answer: StoredAnswer) -> int:
    """Bytes that an answer takes."""
    return len(answer.body) + sum(len(name) + len(value) for name, value in answer.headers)


class Answers:
    """Operations by their id, the oldest first; `most` bytes at most, each for `window` seconds.

    A run whose edge has said nothing for `longest` seconds, the whole window at first, counts as unknown."""

    def __init__(self, most: int, window: float):
        self.most, self.window, self.longest = most, window + WINDOW_MARGIN, window
        self.kept: OrderedDict[str, Kept] = OrderedDict()
        self.size = 0

    def begun(self, now: float, operation: str, holder: Holder) -> bool:
        """The claim of `holder` was granted; False if that holder has ended already, and so must not be let run."""
        found = self.kept.get(operation)
        if found is not None and found.holder == holder:
            return found.phase is Phase.RUNNING
        self._put(operation, Kept(holder, now))
        self._bound(now)
        return True

    def ended(
        self, now: float, operation: str, holder: Holder, ending: Ending, answer: StoredAnswer | None = None
    ) -> Holder:
        """The edge tells how the run of `holder` ended, of which nothing may be known here any more; the holder as the
        claim names it. Words of a holder that another one has followed change nothing."""
        found = self.kept.get(operation)
        if found is None:
            found = Kept(holder, now)
            self._put(operation, found)
        elif (found.holder.life, found.holder.attempt) != (holder.life, holder.attempt):
            return holder
        if found.to(PHASES[ending]) and found.phase is Phase.ANSWERED:
            assert answer is not None
            found.answer = answer
            found.size += size_of(answer)
            self.size += size_of(answer)
        self._bound(now)
        return found.holder

    def find(self, now: float, operation: str, holder: Holder) -> Found:
        """How the run of `holder` stands."""
        found = self.kept.get(operation)
        if found is None or found.holder != holder:
            return Found(Phase.UNKNOWN)
        if found.phase is Phase.RUNNING and now - found.since > self.longest:
            found.to(Phase.UNKNOWN)
        return Found(found.phase, found.answer)

    def holder_of(self, operation: str) -> Holder | None:
        """Who was let run an operation last, as far as is known here."""
        found = self.kept.get(operation)
        return found.holder if found is not None else None

    def counts(self) -> dict[Phase, int]:
        """Operations by phase."""
        return {phase: sum(one.phase is phase for one in self.kept.values()) for phase in Phase}

    def _put(self, operation: str, kept: Kept) -> None:
        """Keep as the newest, in place of what was kept of the operation."""
        before = self.kept.pop(operation, None)
        if before is not None:
            self.size -= before.size
        self.kept[operation] = kept
        self.size += kept.size

    def _bound(self, now: float) -> None:
        """Forget what is past its window, and the oldest while there is too much."""
        while self.kept:
            oldest = next(iter(self.kept.values()))
            if self.size <= self.most and now - oldest.since < self.window:
                return
            self.size -= oldest.size
            self.kept.popitem(last=False)
