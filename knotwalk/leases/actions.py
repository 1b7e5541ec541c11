"""The actions that a GrantManager asks for, how a call may end besides an HTTP status, and the timing of the calls.

An action is a value: the GrantManager adds it to its `actions`, and the caller carries it out and hands the same object
back with its result. Actions are compared by identity, since two renewals may be equal in every field.
"""

from __future__ import annotations

from dataclasses import dataclass

from knotwalk.leases.conductor_leases import CLOCK_DRIFT, LEASE_S

# A node's clock may run 2 % slow (PROTOCOL, keys), so a hold may last 1 / 0.98 of its length. Rounded up.
CLOCK_SLOWDOWN = 1.025

REFUSED = "refused"  # as a status: the connection was refused, so the call was not made
UNSENT = "unsent"  # as a status: the call was not started (past `expires`, or stopping)

# The longest hold that any version of this program has granted; an older version may have run until just now.
LONGEST_HOLD_S = 6.0

Status = int | str | None  # an HTTP status, REFUSED, UNSENT, or None for no answer


@dataclass(frozen=True)
class GrantTiming:
    """Times of holds and calls, in seconds.

    `call_timeout`: a grant without an answer is abandoned, and its connection reset, this long after it was started.
    `delivery_slack`: for this long after that its bytes may still arrive. `longest_hold`: the longest hold that any
    incarnation of any conductor grants. A release may be waited for longer (it is answered when work has ended):
    `release_timeout`. `lease_duration`: for this long after a log entry, a lease answered before it may last (the
    clocks of both machines may be off).

    `renew_interval` leaves 3.6 s of the hold if a conductor dies just before it renews. Its lease ends after 2.2 s; the
    lease of a conductor that also led ends after 3.4 s, as counted by a leader elected after 0.75 s at most. A look at
    the ledger and a commit come on top. The keys of a crashed node are unavailable for the hold: 4.8 and 1.2 s were
    chosen over 6 and 2.4 s and others in docs/design/system.md, "How long a crashed node's keys rest".
    """

    hold: float = 4.8
    renew_interval: float = 1.2
    call_timeout: float = 1.0
    delivery_slack: float = 0.3
    release_timeout: float = 2.5
    longest_hold: float = 0.0
    lease_duration: float = LEASE_S * CLOCK_DRIFT * CLOCK_DRIFT

    @classmethod
    def for_max_hold(cls, max_hold: float) -> GrantTiming:
        """The default timing, with holds no longer than nodes accept."""
        hold = min(cls.hold, max_hold)
        return cls(hold=hold, renew_interval=cls.renew_interval * hold / cls.hold, longest_hold=LONGEST_HOLD_S)

    @property
    def max_delivery(self) -> float:
        """The longest time from starting a grant to its arrival."""
        return self.call_timeout + self.delivery_slack

    @property
    def max_inherited_hold(self) -> float:
        """How long a hold may last that another conductor or incarnation has granted just before."""
        return self.max_delivery + max(self.hold, self.longest_hold) * CLOCK_SLOWDOWN


@dataclass(eq=False, frozen=True)
class Grant:
    """POST /grant. Must not be started at `expires` (the end of the lease) or later."""

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
    """POST /release, sent to a node that may hold keys which now belong to another."""

    node: str
    address: tuple[str, int]
    first_key: int
    last_key: int
    fence: int
    service: str
    slices: tuple[int, ...]


@dataclass(eq=False, frozen=True)
class Propose:
    """Propose a log entry; it may be lost, or committed twice."""

    command: dict


Action = Grant | Release | Propose
