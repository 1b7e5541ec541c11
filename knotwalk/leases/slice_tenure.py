"""One slice's tenure at the conductor that leases it: its state, and each node that may hold its keys until when.

    EMPTY -> CLEARING -> GRANTING -> GRANTED -> OPEN    (a move: back to CLEARING; a 409: OUTBID, which asks for a move)

A node's hold runs from the arrival of the grant, by a clock that may run slow, so what counts is the latest possible
arrival: the answer's coming, or for a call without one its reset and `Pace.slack` more.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

from knotwalk.leases.ledger import Slice
from knotwalk.leases.orders import REFUSED, SLOW, UNSENT, Grant, Pace, Release, Status

# What was proposed and is not in the log after so long (s) is proposed again: several times the time of a commit.
PROPOSE_AGAIN = 1.0
# The shortest hold (s) that is asked for: a node that answers to one is asked for a whole one at once.
SHORT_HOLD = 0.5
# After an owner's hold has surely run out without an answer from it, placement has so long (s) to move the slice before
# the owner is asked again: each call that may have arrived makes the next owner wait.
MOVE_TIME = 0.5
# Answers of one move's grants come over some ms; one entry for all of them costs each line this much (s) at most.
GATHER = 0.02


class State(Enum):
    """Where a slice stands on its way from one owner to the next."""

    EMPTY = "empty"  # never moved anywhere
    CLEARING = "clearing"  # others may hold it
    GRANTING = "granting"  # nobody else can; the owner has not answered yet
    GRANTED = "granted"  # the owner has it; the log is to be told
    OPEN = "open"  # the log says so; renewed
    OUTBID = "outbid"  # the owner has seen a higher fence; a new one is asked for


# What may follow what, besides CLEARING and EMPTY, which any look at the ledger may bring.
_FOLLOWS = {
    State.GRANTING: {State.CLEARING},
    State.GRANTED: {State.GRANTING, State.OUTBID},
    State.OPEN: {State.GRANTED, State.GRANTING, State.CLEARING, State.EMPTY, State.OUTBID},
    State.OUTBID: {State.GRANTING, State.GRANTED, State.OPEN},
}


class Outcome(Enum):
    """How the last grant to a holder that was sent ended."""

    NONE = "none"  # none has ended yet
    TAKEN = "taken"
    ANSWERED = "answered"  # with another status
    REFUSED = "refused"  # at connect
    SILENT = "silent"


def outcome(status: Status) -> Outcome:
    """The outcome of a grant that was sent and ended so."""
    if status is None:
        return Outcome.SILENT
    if status == REFUSED:
        return Outcome.REFUSED
    return Outcome.TAKEN if status == 200 else Outcome.ANSWERED


@dataclass(eq=False, slots=True)
class Holder:
    """A node that may hold a slice."""

    until: float = -math.inf  # its hold ends by then, unless a grant is still out
    quiet: float = -math.inf  # a grant sent before may arrive until then
    flying: int = 0  # grants to it that are out
    releasing: bool = False  # a release is out
    sure: bool = False  # has answered 200 to a grant
    released: bool = False  # has answered 200 to a release since the last grant to it
    again: float = -math.inf  # the next release not before
    tries: int = 0
    last: Outcome = Outcome.NONE

    @property
    def failing(self) -> bool:
        """Whether the last grant got no answer from it."""
        return self.last in (Outcome.REFUSED, Outcome.SILENT)

    def lapsed(self, now: float) -> bool:
        """Whether it surely holds nothing, and did not answer the last grant."""
        return self.failing and self.flying == 0 and self.until <= now

    def next_hold(self, now: float, pace: Pace, doubted: bool = False) -> float:
        """The hold to ask for in a grant sent now, 0 for none yet; `doubted`: its node owes answers to other grants.

        A holder that did not answer the last grant is asked for what it may have by our count anyway: the count must
        come to an end, or nobody else could ever be granted the keys. So is one whose node is in doubt, where it holds
        the keys already: were the node gone, each whole hold would make the next owner wait for longer.
        """
        if not self.failing and not (doubted and self.until > now + SHORT_HOLD):
            return pace.hold
        left = (self.until - now - pace.flight) / SLOW
        if left >= SHORT_HOLD:
            return min(left, pace.hold)
        return 0.0 if self.last is Outcome.SILENT and now < self.until + MOVE_TIME else SHORT_HOLD

    def grant_ended(self, now: float, hold: float, status: Status, slack: float) -> None:
        """A grant of `hold` seconds to it ended: until when it may hold the keys by that."""
        self.flying -= 1
        if status == UNSENT:
            return
        self.released = False
        self.last = outcome(status)
        if status is None:
            self.quiet = max(self.quiet, now + slack)
            self.until = max(self.until, now + slack + hold * SLOW)
        elif status in (400, 409):
            # No proof that it was not taken: nodes name no call in their answers, so on a connection that is used again
            # this may be an earlier call's answer, come late, and the grant may be on its way.
            self.until = max(self.until, now + slack + hold * SLOW)
        elif status != REFUSED:
            self.until = max(self.until, now + hold * SLOW)


@dataclass(eq=False, slots=True)
class SliceTenure:
    """A slice that this conductor leases, from the taking over on."""

    service: str
    slice: int
    since: int
    owner: str = ""
    fence: int = 0
    state: State = State.EMPTY
    holders: dict[str, Holder] = field(default_factory=dict)
    foreign: list[str] = field(default_factory=list)  # holders that must be cleared, as the ledger has them
    handover: str | None = None
    weight: int = 0  # how sure it is that the handover is of who held the keys last
    told: float = -math.inf  # when the log was last proposed what is due
    granted_at: float = 0.0
    due: float = -math.inf  # the next grant or renewal
    tries: int = 0
    wake: float = math.inf

    @property
    def key(self) -> tuple[str, int]:
        """Service and slice, as the ledger names it."""
        return self.service, self.slice

    def turn(self, state: State) -> None:
        """The one place where a slice changes its state."""
        if state in _FOLLOWS and self.state not in _FOLLOWS[state]:
            raise AssertionError(f"slice {self.service} {self.slice} goes from {self.state.name} to {state.name}")
        self.state = state

    def follow(self, row: Slice, until: float, quiet: float) -> None:
        """Take the ledger's row. A holder that is new here counts as holding until `until`, with a grant until `quiet`.

        One that an entry of ours names after the taking over has not been granted by this life; an earlier life may
        have, where the log is followed anew after a start.
        """
        moved = self.fence != row.fence
        self.owner, self.fence = row.owner, row.fence
        self.foreign = [id for id, _ in row.before]
        for id in (row.owner, *self.foreign):
            if id and id not in self.holders:
                self.holders[id] = Holder(until, quiet)
        if moved:
            self.told, self.tries, self.due = -math.inf, 0, -math.inf
            self.handover, self.weight = None, 0
        if row.open:
            if self.state is not State.OPEN:
                self.turn(State.OPEN)
            self.holders = {id: h for id, h in self.holders.items() if id == row.owner or h.flying or h.releasing}
        elif moved:
            self.turn(State.CLEARING)

    def grant_ended(self, now: float, order: Grant, holder: Holder, status: Status, due: float, pause: float) -> None:
        """A grant to `holder` ended; `due`: the next after a 200, `pause`: seconds until a failed one is sent again."""
        if self.owner != order.node or self.fence != order.fence:
            return
        if status == 200:
            holder.sure, self.tries, self.due = True, 0, due
            if self.state is State.GRANTING:
                self.granted_at = now
                self.turn(State.GRANTED)
        elif status == 409:
            if self.state in _FOLLOWS[State.OUTBID]:
                self.told = -math.inf
                self.turn(State.OUTBID)
        else:
            self.tries, self.due = self.tries + 1, now + pause

    def take_handover(self, order: Release, holder: Holder, handover: str | None) -> None:
        """Keep a released holder's handover if it is the surest so far.

        That is the last that surely held the keys; without such, the one that was open before all others.
        """
        if self.state is not State.CLEARING or self.fence != order.fence or not handover:
            return
        weight = 3 if holder.sure else 2 if self.foreign[:1] == [order.node] else 1
        if weight > self.weight:
            self.handover, self.weight = handover, weight

    def tells(self, now: float) -> bool:
        """Whether the log is to be told of it: a grant taken, or a fence refused."""
        return self.state in (State.GRANTED, State.OUTBID) and now >= self.told + PROPOSE_AGAIN

    def joins(self, now: float, first: SliceTenure) -> bool:
        """Whether it may be granted or renewed by the same call as `first`, a neighbour."""
        if self.owner != first.owner or self.fence != first.fence or self.owner not in self.holders:
            return False
        if self.holders[self.owner].flying or self.holders[self.owner].releasing:
            return False
        if first.state is State.GRANTING:
            return self.state is State.GRANTING and self.handover == first.handover and self.due <= now
        return self.state in (State.GRANTED, State.OPEN)

    def wakes(self, usable: bool) -> list[float]:
        """Times at which it may want something, past ones too; `usable`: whether its owner can be called."""
        times: list[float] = []
        if self.state is State.CLEARING:
            for h in (self.holders[id] for id in self.foreign):
                times += [h.until, h.quiet, h.again] if h.flying == 0 else []
        elif self.state is not State.EMPTY:
            if self.state is not State.OUTBID and usable and self.holders[self.owner].flying == 0:
                times.append(self.due)
            if self.state in (State.GRANTED, State.OUTBID):
                times += [self.told + PROPOSE_AGAIN, self.granted_at + GATHER]
        return times
