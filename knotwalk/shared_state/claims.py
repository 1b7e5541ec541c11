"""Who runs each keyed operation: the table that the core machines of a group build from their agreed log. Pure.

The same entries give the same table everywhere. Its time is the group's: seconds that the log tells, never more than
have passed since the entry before, so a claim is dropped no sooner than its holding time after it was granted last.
"""

from __future__ import annotations

import json
import sys
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from knotwalk.shared_state.claim_packing import pack_claim, unpack_claim
from knotwalk.shared_state.messages import Claim, Holder

FORMAT = 1  # of snapshots
CLAIMS_MOST = 100_000  # claims of one group; past it none is taken until older ones are dropped
# Seconds past `key_period` and the longest time that a run may take, for which a claim holds. A holder must not send
# its request for the first time later than this after it asked for the claim, less the drift of two steady clocks.
MARGIN = 10.0
AGREED_WITHIN = 0.1  # seconds; see GroupClock


class Outcome(Enum):
    """What becomes of a claim."""

    GRANTED = "granted"
    HELD = "held"  # another holder has the operation
    UNAVAILABLE = "unavailable"  # not known, or not taken; the same claim may be asked again


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """The answer to a claim; `holder` says who has the operation where the outcome is HELD."""

    outcome: Outcome
    holder: Holder | None = None

    def to_json(self) -> list:
        """As a list of plain values."""
        return [self.outcome.value, self.holder.to_json() if self.holder else None]

    @classmethod
    def from_json(cls, raw: list) -> ClaimResult:
        """From what `to_json` made; ValueError or TypeError for anything else."""
        outcome, holder = raw
        return cls(Outcome(outcome), Holder(*holder) if holder else None)


GRANTED = ClaimResult(Outcome.GRANTED)
UNAVAILABLE = ClaimResult(Outcome.UNAVAILABLE)


def command(now: float, hold: float, claims: list[Claim]) -> dict:
    """The log's entry for claims asked together: the group's time, and seconds that a claim holds."""
    return {"do": "claims", "now": now, "hold": hold, "claims": [pack_claim(claim) for claim in claims]}


def _who(holder: Holder) -> str:
    """What tells a holder from another one: the edge's life and the attempt, wherever it asks."""
    return json.dumps([holder.life, holder.attempt], separators=(",", ":"))


@dataclass(frozen=True, slots=True)
class Held:
    """A claim in force: until when of the group's time, the core that keeps the answer, and who has it."""

    until: float
    core: str
    who: str

    @property
    def holder(self) -> Holder:
        """Its holder."""
        return Holder(self.core, *json.loads(self.who))


class ClaimTable:
    """The claims of one part of the operations, in the order of their times.

    `time` is the group's, in seconds; `applied` the index of the last entry. A holder that asks again by another core
    has its answer kept there. One that has released an operation is never granted it again while the release is
    remembered: a release may come twice, and late.
    """

    def __init__(self) -> None:
        self.applied = 0
        self.time = 0.0
        self.claims: OrderedDict[str, Held] = OrderedDict()  # by operation
        self.released: OrderedDict[tuple[str, str], float] = OrderedDict()  # operation and who -> until when

    def apply(self, index: int, entry: dict) -> tuple[list[ClaimResult], None]:
        """Take the entry `index`: a result for each of its claims; none for an entry of another kind."""
        self.applied = index
        if entry.get("do") != "claims":
            return [], None
        self.time = max(self.time, entry["now"])
        self._drop()
        until = self.time + entry["hold"]
        return [self._take(unpack_claim(raw), until) for raw in entry["claims"]], None

    def _take(self, claim: Claim, until: float) -> ClaimResult:
        who, found = _who(claim.holder), self.claims.get(claim.operation)
        if claim.release:
            self._release(claim.operation, who, until)
            return GRANTED
        if found is not None and found.who != who:
            return ClaimResult(Outcome.HELD, found.holder)
        full = found is None and len(self.claims) + len(self.released) >= CLAIMS_MOST
        if full or (claim.operation, who) in self.released:
            return UNAVAILABLE
        core = sys.intern("".join(claim.holder.core.split()))  # the same few for all; no blank, as snapshots need it
        self.claims[claim.operation] = Held(until, core, who)  # again, too: its request may be sent after this
        self.claims.move_to_end(claim.operation)
        return GRANTED

    def _release(self, operation: str, who: str, until: float) -> None:
        found = self.claims.get(operation)
        if found is not None and found.who == who:
            del self.claims[operation]
        if len(self.claims) + len(self.released) < CLAIMS_MOST:
            self.released.setdefault((operation, who), until)

    def _drop(self) -> None:
        """Forget what has ended, oldest first; one that holds longer keeps those behind it."""
        while self.claims and next(iter(self.claims.values())).until <= self.time:
            self.claims.popitem(last=False)
        while self.released and next(iter(self.released.values())) <= self.time:
            self.released.popitem(last=False)

    # --- what the driver of an agreement asks of a state

    def calls_for_news(self, entry: dict, said: list[ClaimResult]) -> bool:
        """Whether the entry changed something that others wait for: never, each claim is answered by itself."""
        return False

    def work_of(self, entry: dict) -> int:
        """Items that applying the entry went through, beyond its own bytes."""
        return 0

    def to_dict(self) -> dict:
        """A snapshot, JSON-able: a line a claim, since one long text is written far sooner than many lists."""
        return {
            "format": FORMAT,
            "applied": self.applied,
            "time": self.time,
            "claims": "\n".join(f"{key} {one.until!r} {one.core} {one.who}" for key, one in self.claims.items()),
            "released": "\n".join(f"{key} {until!r} {who}" for (key, who), until in self.released.items()),
        }

    @classmethod
    def from_dict(cls, raw: dict) -> ClaimTable:
        """The table of a snapshot; ValueError if it is of a later format."""
        if raw["format"] > FORMAT:
            raise ValueError(f"the snapshot has format {raw['format']}, this program reads up to {FORMAT}")
        made = cls()
        made.applied, made.time = raw["applied"], raw["time"]
        for line in _lines(raw["claims"]):
            operation, until, core, who = line.split(" ", 3)
            made.claims[operation] = Held(float(until), sys.intern(core), who)
        for line in _lines(raw["released"]):
            operation, until, who = line.split(" ", 2)
            made.released[operation, who] = float(until)
        return made


def _lines(text: str) -> list[str]:
    return text.split("\n") if text else []


class GroupClock:
    """The group's time as its leader tells it: that of the last entry applied, and what has passed here since then.

    Times are of this machine's steady clock. What passed before this machine led, or between another's entry and its
    being applied here, is left out: the group's time may run late. Early it runs by AGREED_WITHIN at most, in all, for
    any claim: of its own entries a leader counts the time that they took to be agreed on, up to that.
    """

    def __init__(self, now: float) -> None:
        self.since = now
        self.proposed_at: float | None = None

    def proposed(self, now: float) -> None:
        """This machine, as the leader, proposes the next entry."""
        self.proposed_at = now

    def applied(self, now: float) -> None:
        """An entry was applied here."""
        self.since = now if self.proposed_at is None else max(self.proposed_at, now - AGREED_WITHIN)
        self.proposed_at = None

    def restart(self, now: float) -> None:
        """This machine began or ceased to lead, or a snapshot came in place of entries."""
        self.since, self.proposed_at = now, None

    def time(self, table: ClaimTable, now: float) -> float:
        """The group's time for an entry proposed at `now`, in whole milliseconds. All before it must be applied."""
        return int((table.time + max(0.0, now - self.since)) * 1000) / 1000
