"""One slice at the conductor that leases it: its state, and until when each node may hold its keys.

    EMPTY -> CLEARING -> GRANTING -> GRANTED -> OPEN    (a move: back to CLEARING; a 409: OUTBID, which asks for a move)

A node's hold starts at the arrival of the grant, by a clock that may run slow. What counts is therefore the latest
possible arrival: the time of the answer, or for a call without one its reset plus `GrantTiming.delivery_slack`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

from knotwalk.leases.actions import CLOCK_SLOWDOWN, REFUSED, UNSENT, Grant, GrantTiming, Release, Status
from knotwalk.leases.ledger import Slice

# A proposal that is not in the log after this long is repeated: several times the duration of a commit.
REPROPOSE_INTERVAL_S = 1.0
# The shortest hold requested: a node that answers such a grant is sent one for a full hold at once.
MIN_HOLD_S = 0.5
# After an owner's hold has certainly run out without an answer, placement has this long to move the slice before the
# owner is called again, since each call that may have arrived makes the next owner wait.
MOVE_WINDOW_S = 0.5
# The answers to one move's grants arrive over some milliseconds; one entry for all of them delays each by at most this.
OPENING_DELAY_S = 0.02


class State(Enum):
    """The state of a slice on its way from one owner to the next."""

    EMPTY = "empty"  # it never had an owner
    CLEARING = "clearing"  # others may still hold it
    GRANTING = "granting"  # nobody else can hold it; the owner has not answered yet
    GRANTED = "granted"  # the owner holds it; the log entry is to be proposed
    OPEN = "open"  # the log has the entry; the hold is renewed
    OUTBID = "outbid"  # the owner has seen a higher fence; a new fence is to be proposed


# Allowed former states. CLEARING and EMPTY may follow any state, when the ledger is read.
_PREDECESSORS = {
    State.GRANTING: {State.CLEARING},
    State.GRANTED: {State.GRANTING, State.OUTBID},
    State.OPEN: {State.GRANTED, State.GRANTING, State.CLEARING, State.EMPTY, State.OUTBID},
    State.OUTBID: {State.GRANTING, State.GRANTED, State.OPEN},
}


class Outcome(Enum):
    """The result of the last grant that was sent to a holder."""

    NONE = "none"  # no grant has ended yet
    ACCEPTED = "taken"
    OTHER_STATUS = "answered"  # a status other than 200
    REFUSED = "refused"  # the connection was refused
    NO_ANSWER = "silent"


def grant_outcome(status: Status) -> Outcome:
    """The outcome of a grant that was sent and ended with `status`."""
    if status is None:
        return Outcome.NO_ANSWER
    if status == REFUSED:
        return Outcome.REFUSED
    return Outcome.ACCEPTED if status == 200 else Outcome.OTHER_STATUS


@dataclass(eq=False, slots=True)
class Holder:
    """A node that may hold a slice."""

    held_until: float = -math.inf  # its hold has ended by then, unless a grant is unanswered
    deliverable_until: float = -math.inf  # a grant without an answer may arrive until then
    grants_in_flight: int = 0  # grants without a result yet
    is_releasing: bool = False  # a release is unanswered
    has_accepted: bool = False  # it has answered 200 to a grant
    has_released: bool = False  # it has answered 200 to a release since the last grant to it
    next_release_at: float = -math.inf  # no release before then
    release_tries: int = 0
    last_outcome: Outcome = Outcome.NONE

    @property
    def is_failing(self) -> bool:
        """Whether the last grant to it got no answer."""
        return self.last_outcome in (Outcome.REFUSED, Outcome.NO_ANSWER)

    def has_lapsed(self, now: float) -> bool:
        """Whether it certainly holds nothing, and did not answer the last grant."""
        return self.is_failing and self.grants_in_flight == 0 and self.held_until <= now

    def next_hold(self, now: float, timing: GrantTiming, doubted: bool = False) -> float:
        """The hold to request in a grant sent now, 0 for no grant yet; `doubted`: its node has other unanswered grants.

        A holder that did not answer the last grant is asked only for what it may already have by our count: that time
        must end, or nobody else could ever be granted the keys. The same holds for a holder of the keys whose node is
        in doubt: if the node is gone, each full hold would make the next owner wait longer.
        """
        if not self.is_failing and not (doubted and self.held_until > now + MIN_HOLD_S):
            return timing.hold
        remaining_s = (self.held_until - now - timing.max_delivery) / CLOCK_SLOWDOWN
        if remaining_s >= MIN_HOLD_S:
            return min(remaining_s, timing.hold)
        return 0.0 if self.last_outcome is Outcome.NO_ANSWER and now < self.held_until + MOVE_WINDOW_S else MIN_HOLD_S

    def on_grant_ended(self, now: float, hold: float, status: Status, slack: float) -> None:
        """Handle the result of a grant of `hold` seconds: update until when the node may hold the keys."""
        self.grants_in_flight -= 1
        if status == UNSENT:
            return
        self.has_released = False
        self.last_outcome = grant_outcome(status)
        if status is None:
            self.deliverable_until = max(self.deliverable_until, now + slack)
            self.held_until = max(self.held_until, now + slack + hold * CLOCK_SLOWDOWN)
        elif status in (400, 409):
            # This does not prove that the grant was not accepted: nodes name no call in their answers, so on a reused
            # connection this may be the late answer to an earlier call, and the grant may still be on its way.
            self.held_until = max(self.held_until, now + slack + hold * CLOCK_SLOWDOWN)
        elif status != REFUSED:
            self.held_until = max(self.held_until, now + hold * CLOCK_SLOWDOWN)


@dataclass(eq=False, slots=True)
class SliceLease:
    """A slice that this conductor leases, from the moment it takes the slice over."""

    service: str
    slice: int
    lease_index: int
    owner: str = ""
    fence: int = 0
    state: State = State.EMPTY
    holders: dict[str, Holder] = field(default_factory=dict)
    former_holders: list[str] = field(default_factory=list)  # holders to be cleared, by the ledger
    handover: str | None = None
    handover_rank: int = 0  # how certain it is that the handover is from the last holder of the keys
    proposed_at: float = -math.inf  # when the entry that is due was last proposed
    granted_at: float = 0.0
    due_at: float = -math.inf  # time of the next grant or renewal
    tries: int = 0
    wake_at: float = math.inf

    @property
    def key(self) -> tuple[str, int]:
        """(service, slice), as in the ledger."""
        return self.service, self.slice

    def change_state(self, state: State) -> None:
        """Change the state; the only place that does."""
        if state in _PREDECESSORS and self.state not in _PREDECESSORS[state]:
            raise AssertionError(f"slice {self.service} {self.slice} can't go from {self.state.name} to {state.name}")
        self.state = state

    def on_row(self, row: Slice, held_until: float, deliverable_until: float) -> None:
        """Apply the ledger's row. A new holder counts as holding until `held_until`, with a grant deliverable until
        `deliverable_until`.

        This incarnation has not granted keys to a holder that is named only after the takeover. An earlier incarnation
        may have, if the log is followed anew after a start.
        """
        has_moved = self.fence != row.fence
        self.owner, self.fence = row.owner, row.fence
        self.former_holders = [id for id, _ in row.previous_holders]
        for id in (row.owner, *self.former_holders):
            if id and id not in self.holders:
                self.holders[id] = Holder(held_until, deliverable_until)
        if has_moved:
            self.proposed_at, self.tries, self.due_at = -math.inf, 0, -math.inf
            self.handover, self.handover_rank = None, 0
        if row.open:
            if self.state is not State.OPEN:
                self.change_state(State.OPEN)
            self.holders = {
                id: holder
                for id, holder in self.holders.items()
                if id == row.owner or holder.grants_in_flight or holder.is_releasing
            }
        elif has_moved:
            self.change_state(State.CLEARING)

    def on_grant_ended(
        self, now: float, grant: Grant, holder: Holder, status: Status, due: float, pause: float
    ) -> None:
        """Handle the result of a grant to `holder`. `due`: the next renewal after a 200; `pause`: seconds before a
        failed grant is repeated.
        """
        if self.owner != grant.node or self.fence != grant.fence:
            return
        if status == 200:
            holder.has_accepted, self.tries, self.due_at = True, 0, due
            if self.state is State.GRANTING:
                self.granted_at = now
                self.change_state(State.GRANTED)
        elif status == 409:
            if self.state in _PREDECESSORS[State.OUTBID]:
                self.proposed_at = -math.inf
                self.change_state(State.OUTBID)
        else:
            self.tries, self.due_at = self.tries + 1, now + pause

    def keep_handover(self, release: Release, holder: Holder, handover: str | None) -> None:
        """Keep a released holder's handover if it is the most certain one so far.

        That is the handover of a node known to have held the keys. Without one it is that of the first former holder,
        the last for which the slice was open.
        """
        if self.state is not State.CLEARING or self.fence != release.fence or not handover:
            return
        handover_rank = 3 if holder.has_accepted else 2 if self.former_holders[:1] == [release.node] else 1
        if handover_rank > self.handover_rank:
            self.handover, self.handover_rank = handover, handover_rank

    def should_propose(self, now: float) -> bool:
        """Whether an entry is to be proposed: a grant was accepted, or a fence refused."""
        return self.state in (State.GRANTED, State.OUTBID) and now >= self.proposed_at + REPROPOSE_INTERVAL_S

    def can_join(self, now: float, first: SliceLease) -> bool:
        """Whether the call for the adjacent slice `first` may grant or renew this slice as well."""
        if self.owner != first.owner or self.fence != first.fence or self.owner not in self.holders:
            return False
        if self.holders[self.owner].grants_in_flight or self.holders[self.owner].is_releasing:
            return False
        if first.state is State.GRANTING:
            return self.state is State.GRANTING and self.handover == first.handover and self.due_at <= now
        return self.state in (State.GRANTED, State.OPEN)

    def wake_times(self, owner_usable: bool) -> list[float]:
        """Times at which it may need something, past ones too; `owner_usable`: whether its owner can be called."""
        times: list[float] = []
        if self.state is State.CLEARING:
            for holder in (self.holders[id] for id in self.former_holders):
                times += (
                    [holder.held_until, holder.deliverable_until, holder.next_release_at]
                    if holder.grants_in_flight == 0
                    else []
                )
        elif self.state is not State.EMPTY:
            if self.state is not State.OUTBID and owner_usable and self.holders[self.owner].grants_in_flight == 0:
                times.append(self.due_at)
            if self.state in (State.GRANTED, State.OUTBID):
                times += [self.proposed_at + REPROPOSE_INTERVAL_S, self.granted_at + OPENING_DELAY_S]
        return times
