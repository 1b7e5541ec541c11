"""Who runs each keyed operation: the table that the core machines of a group build from their replicated log. Pure.

The same entries give the same table everywhere. Its time is the group time that the entries carry: between two entries
it never advances by more than the time that has really passed, so a claim never expires before its hold has passed
since it was last granted.
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
MAX_CLAIMS = 100_000  # of one group; past it no claim is accepted until older ones expire
# A claim is held for `key_period`, plus the longest time that a run may take, plus this margin. A holder must not send
# its request for the first time later than this margin after it asked for the claim, less the drift of two clocks.
HOLD_MARGIN_S = 10.0
MAX_COUNTED_COMMIT_S = 0.1  # see GroupClock


class Outcome(Enum):
    """The outcome of a claim."""

    GRANTED = "granted"
    HELD = "held"  # another holder has the operation
    UNAVAILABLE = "unavailable"  # not known, or not accepted; the same claim may be sent again


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """The answer to a claim; `holder` is the current holder of the operation if the outcome is HELD."""

    outcome: Outcome
    holder: Holder | None = None

    def to_json(self) -> list:
        """Return the result as a list of plain values."""
        return [self.outcome.value, self.holder.to_json() if self.holder else None]

    @classmethod
    def from_json(cls, raw: list) -> ClaimResult:
        """Build a result from the list of `to_json`; ValueError or TypeError for anything else."""
        outcome, holder = raw
        return cls(Outcome(outcome), Holder(*holder) if holder else None)


GRANTED = ClaimResult(Outcome.GRANTED)
UNAVAILABLE = ClaimResult(Outcome.UNAVAILABLE)


def claims_command(now: float, hold: float, claims: list[Claim]) -> dict:
    """The log entry for a batch of claims: the group time, and the seconds for which each claim is held."""
    return {"do": "claims", "now": now, "hold": hold, "claims": [pack_claim(claim) for claim in claims]}


def _holder_key(holder: Holder) -> str:
    """Identifies a holder, whichever core it asks through: the edge's incarnation and the attempt."""
    return json.dumps([holder.incarnation, holder.attempt], separators=(",", ":"))


@dataclass(frozen=True, slots=True)
class HeldClaim:
    """A claim in force: the group time when it expires, the core that keeps the answer, and its holder."""

    until: float
    core: str
    holder_key: str

    @property
    def holder(self) -> Holder:
        """The holder, as a message names it."""
        return Holder(self.core, *json.loads(self.holder_key))


class ClaimTable:
    """The claims of one partition of the operations, in the order in which they were granted last.

    `time` is the group time in seconds, `applied` the index of the last entry. If a holder asks again through another
    core, that core keeps its answer from then on. A holder that has released an operation is never granted it again
    while the release is remembered, since a release may arrive twice and late.
    """

    def __init__(self) -> None:
        self.applied = 0
        self.time = 0.0
        self.claims: OrderedDict[str, HeldClaim] = OrderedDict()  # by operation
        self.released: OrderedDict[tuple[str, str], float] = OrderedDict()  # (operation, holder key) -> expiry

    def apply(self, index: int, entry: dict) -> tuple[list[ClaimResult], None]:
        """Apply the entry `index`: one result for each of its claims; none for an entry of another kind."""
        self.applied = index
        if entry.get("do") != "claims":
            return [], None
        self.time = max(self.time, entry["now"])
        self._expire()
        until = self.time + entry["hold"]
        return [self._claim(unpack_claim(raw), until) for raw in entry["claims"]], None

    def _claim(self, claim: Claim, until: float) -> ClaimResult:
        holder_key, held = _holder_key(claim.holder), self.claims.get(claim.operation)
        if claim.release:
            self._release(claim.operation, holder_key, until)
            return GRANTED
        if held is not None and held.holder_key != holder_key:
            return ClaimResult(Outcome.HELD, held.holder)
        full = held is None and len(self.claims) + len(self.released) >= MAX_CLAIMS
        if full or (claim.operation, holder_key) in self.released:
            return UNAVAILABLE
        # Few cores name themselves in many claims: interned. No white space, since it separates fields in a snapshot.
        core = sys.intern("".join(claim.holder.core.split()))
        # Extended also for the holder that has it already, since its request may be sent after this.
        self.claims[claim.operation] = HeldClaim(until, core, holder_key)
        self.claims.move_to_end(claim.operation)
        return GRANTED

    def _release(self, operation: str, holder_key: str, until: float) -> None:
        held = self.claims.get(operation)
        if held is not None and held.holder_key == holder_key:
            del self.claims[operation]
        if len(self.claims) + len(self.released) < MAX_CLAIMS:
            self.released.setdefault((operation, holder_key), until)

    def _expire(self) -> None:
        """Drop expired claims and releases, oldest first; one with a longer hold also keeps those behind it."""
        while self.claims and next(iter(self.claims.values())).until <= self.time:
            self.claims.popitem(last=False)
        while self.released and next(iter(self.released.values())) <= self.time:
            self.released.popitem(last=False)

    # --- the rest of `AgreedState`, for the consensus driver

    def requires_notification(self, entry: dict, results: list[ClaimResult]) -> bool:
        """Whether the entry put something in force that others must be notified of: never, since each claim is answered
        on its own."""
        return False

    def replay_cost(self, entry: dict) -> int:
        """The number of items that applying the entry went through, in addition to its own bytes."""
        return 0

    def to_dict(self) -> dict:
        """A snapshot that JSON can encode. One line for each claim: one long text is encoded far faster than many
        lists."""
        return {
            "format": FORMAT,
            "applied": self.applied,
            "time": self.time,
            "claims": "\n".join(
                f"{key} {claim.until!r} {claim.core} {claim.holder_key}" for key, claim in self.claims.items()
            ),
            "released": "\n".join(
                f"{key} {until!r} {holder_key}" for (key, holder_key), until in self.released.items()
            ),
        }

    @classmethod
    def from_dict(cls, raw: dict) -> ClaimTable:
        """The table of a snapshot; ValueError if its format is newer than this program reads."""
        if raw["format"] > FORMAT:
            raise ValueError(f"snapshot has format {raw['format']}; this program reads formats up to {FORMAT}")
        table = cls()
        table.applied, table.time = raw["applied"], raw["time"]
        for line in _lines(raw["claims"]):
            operation, until, core, holder_key = line.split(" ", 3)
            table.claims[operation] = HeldClaim(float(until), sys.intern(core), holder_key)
        for line in _lines(raw["released"]):
            operation, until, holder_key = line.split(" ", 2)
            table.released[operation, holder_key] = float(until)
        return table


def _lines(text: str) -> list[str]:
    return text.split("\n") if text else []


class GroupClock:
    """The group time, as the group's leader derives it: the time of the last applied entry, plus the time since then.

    Arguments are times of this machine's monotonic clock. The time before this machine became the leader, and the time
    between another leader's entry and its being applied here, are left out: group time may run slow. It may run fast by
    MAX_COUNTED_COMMIT_S at most, in total, for any claim: for its own entries a leader counts the time that they took
    to be committed, up to that bound.
    """

    def __init__(self, now: float) -> None:
        self.since = now
        self.proposed_at: float | None = None

    def proposed(self, now: float) -> None:
        """Record that this machine, as the leader, proposes the next entry."""
        self.proposed_at = now

    def applied(self, now: float) -> None:
        """Record that an entry was applied here."""
        self.since = now if self.proposed_at is None else max(self.proposed_at, now - MAX_COUNTED_COMMIT_S)
        self.proposed_at = None

    def restart(self, now: float) -> None:
        """Start anew: this machine began or ceased to lead, or a snapshot replaced entries."""
        self.since, self.proposed_at = now, None

    def time(self, table: ClaimTable, now: float) -> float:
        """The group time for an entry proposed at `now`, in whole milliseconds. All earlier entries must be applied."""
        return int((table.time + max(0.0, now - self.since)) * 1000) / 1000
