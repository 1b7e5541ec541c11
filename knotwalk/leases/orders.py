"""Typed orders of a keeper of leased slices, how a call may end besides an HTTP status, and the pace of the calls.

An order is a value: the keeper adds it to its `orders`, the caller carries it out and hands the same object back with
how it ended. Orders are compared by identity, since two renewals may be alike in every field.
"""

from __future__ import annotations

from dataclasses import dataclass

from knotwalk.leases.tenure import DRIFT, LEASE

# A node's clock may run 2% slow (PROTOCOL, keys): a hold then lasts 1 / 0.98 of its length. Rounded up.
SLOW = 1.025

REFUSED = "refused"  # as a status: the connection was refused at connect, so the call was not made
UNSENT = "unsent"  # as a status: the caller did not begin the call (past `expires`, or stopping)

# Seconds of the longest hold that any program gave so far, this one or an earlier text, which may have run just before.
LONGEST = 6.0

Status = int | str | None  # an HTTP status, REFUSED, UNSENT, or None for no answer


@dataclass(frozen=True)
class Pace:
    """Times of holds and calls, in seconds.

    `call_timeout`: a grant without an answer is given up, and its connection reset, so long after it was begun.
    `slack`: so long after that its bytes may still arrive. `longest`: the longest hold that any life of any conductor
    gives. A release may be waited for longer (it is answered when work has ended): `release_timeout`. `lease`: so long
    after an entry of the log a lease that was answered before it may last (clocks of both may be off).

    `renew` leaves 3.6 s of the hold when a conductor dies just before it renews. Its lease ends after 2.2 s; a leader's
    own, by who is elected after 0.75 s at most, after 3.4, and a look and a commit come on top. Keys of a crashed node
    rest for the hold: 4.8 and 1.2 s were weighed against 6 and 2.4 and others in docs/design/system.md, "How long a
    crashed node's keys rest".
    """

    hold: float = 4.8
    renew: float = 1.2
    call_timeout: float = 1.0
    slack: float = 0.3
    release_timeout: float = 2.5
    longest: float = 0.0
    lease: float = LEASE * DRIFT * DRIFT

    @classmethod
    def within(cls, max_hold: float) -> Pace:
        """The usual pace, with holds no longer than nodes take."""
        hold = min(cls.hold, max_hold)
        return cls(hold=hold, renew=cls.renew * hold / cls.hold, longest=LONGEST)

    @property
    def flight(self) -> float:
        """From the begin of a grant to its latest arrival."""
        return self.call_timeout + self.slack

    @property
    def taken_over(self) -> float:
        """How long a hold may last that somebody else gave just before."""
        return self.flight + max(self.hold, self.longest) * SLOW


@dataclass(eq=False, frozen=True)
class Grant:
    """POST /grant. Not to be begun at `expires` (the lease's end) or later; hand the order itself to `answered`."""

    node: str
    address: tuple[str, int]
    first_key: int
    last_key: int
    fence: int
    hold: float
    handover: str | None
    service: str
    slices: tuple[int, ...]
    expires: float


@dataclass(eq=False, frozen=True)
class Release:
    """POST /release, at a node that may hold keys which now go to another."""

    node: str
    address: tuple[str, int]
    first_key: int
    last_key: int
    fence: int
    service: str
    slices: tuple[int, ...]


@dataclass(eq=False, frozen=True)
class Propose:
    """An entry for the log; may be lost, and may be committed twice."""

    command: dict


Order = Grant | Release | Propose
