"""What one core machine holds of tenants' limits: gives single tokens to edges, and asks the leader ahead of need.

A holding ends by the steady clock, counted from when the leader was asked. It is asked for again while it is used, so
that a request waits for a call only where more came than lately. After the leader said "empty", requests are refused
for EMPTY_PAUSE without asking. Pure: the driver makes the calls, one at a time, and keeps the requests that wait.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from knotwalk.shared_state.limit import Limit
from knotwalk.shared_state.messages import AllowanceGrant, AllowanceWant

# Seconds of use that are held, as far as a core's share allows; older use counts less than a third (1/e). Clients of a
# tenant send some requests at once, so what is held at a low rate is more than a second's use.
MEMORY = 5.0
IDLE = 10.0  # seconds without use after which nothing is held
SPACING = 0.1  # seconds between calls that no request waits for
RETRY = 0.02  # seconds after a call that brought nothing to requests that wait
RENEW = 0.4  # of a holding's time: it is prolonged when so much is left
EMPTY_PAUSE = 0.1  # seconds after "empty" without asking


class Taken(Enum):
    """What came of a request's wish for a token."""

    GRANTED = "granted"
    UNLIMITED = "unlimited"
    OVER_LIMIT = "over limit"
    WAIT = "wait"  # a call must bring it


@dataclass(slots=True)
class Holding:
    """A tenant's tokens here. `used` is its use, older use weighed down, at `used_at`; `waiting` requests wait."""

    held: int = 0
    ends: float = -math.inf
    used: float = 0.0
    used_at: float = -math.inf
    waiting: int = 0
    empty_until: float = -math.inf
    unlimited_until: float = -math.inf
    reserved: int = 0  # tokens taken whose requests may yet not run: they count as held, and may come back

    def note_use(self, now: float) -> None:
        """One more request came."""
        self.used = 1.0 + self.used * math.exp(min(0.0, self.used_at - now) / MEMORY)
        self.used_at = now

    def target(self, now: float, limit: Limit) -> int:
        """How many tokens to hold."""
        if now - self.used_at >= IDLE:
            return 0
        used = self.used * math.exp(min(0.0, self.used_at - now) / MEMORY)
        return min(limit.share, max(1, math.ceil(used)))


class Escrow:
    """All holdings of a core machine. `limit_of` tells a tenant's limit in force here, None where it has none.

    `due` is when the next call to the leader is to be made."""

    def __init__(self, limit_of: Callable[[str], Limit | None]):
        self.limit_of = limit_of
        self.holdings: dict[str, Holding] = {}
        self.due = math.inf
        self._sent = -math.inf  # when the last call was made

    # --- requests

    def take(self, now: float, tenant: str) -> Taken:
        """A request asks for a token, for the first time."""
        holding = self.holdings.setdefault(tenant, Holding())
        holding.note_use(now)
        return self.take_again(now, tenant)

    def take_again(self, now: float, tenant: str) -> Taken:
        """The same for a request that has waited."""
        holding = self.holdings.setdefault(tenant, Holding())
        if now < holding.unlimited_until:
            return Taken.UNLIMITED
        if holding.held > 0 and now < holding.ends:
            holding.held -= 1
            self._look(now, tenant, holding)
            return Taken.GRANTED
        return Taken.OVER_LIMIT if now < holding.empty_until else Taken.WAIT

    def wait(self, now: float, tenant: str) -> None:
        """A request waits for a call to bring its token."""
        self.holdings.setdefault(tenant, Holding()).waiting += 1
        self.due = min(self.due, now)

    def waited(self, tenant: str) -> None:
        """It waits no more, whatever came of it."""
        holding = self.holdings.get(tenant)
        if holding is not None:
            holding.waiting = max(0, holding.waiting - 1)

    def reserve(self, tenant: str) -> None:
        """A token that was taken may yet come back: it is told as unused until it is spent or given back."""
        self.holdings.setdefault(tenant, Holding()).reserved += 1

    def spend(self, now: float, tenant: str) -> bool:
        """The request of a reserved token is to run; whether it may: a token ends with the holding that it is of."""
        holding = self.holdings.get(tenant)
        if holding is None or holding.reserved == 0:
            return True  # it was let pass without a limit
        holding.reserved -= 1
        return now < holding.ends

    def give_back(self, now: float, tenant: str) -> bool:
        """The request of a reserved token does not run; whether another one here may have the token."""
        limit, holding = self.limit_of(tenant), self.holdings.get(tenant)
        if holding is None or holding.reserved == 0:
            return False
        holding.reserved -= 1
        if limit is None or now >= holding.ends or holding.held >= limit.share:
            return False
        holding.held += 1
        return True

    def _look(self, now: float, tenant: str, holding: Holding) -> None:
        """See to it that more is asked for, if little is left."""
        limit = self.limit_of(tenant)
        if limit is not None and self._low(now, holding, limit):
            self.due = min(self.due, max(now, self._sent + SPACING, holding.empty_until))

    def _low(self, now: float, holding: Holding, limit: Limit) -> bool:
        return holding.held <= holding.target(now, limit) // 2

    # --- calls to the leader

    def wants(self, now: float) -> list[AllowanceWant]:
        """What to ask the leader for now; what is given back is held no more from here on."""
        self._sent, self.due = now, math.inf
        found = []
        for tenant, holding in list(self.holdings.items()):
            limit = self.limit_of(tenant)
            self._expire(now, holding, limit)
            want = self._want(now, tenant, holding, limit)
            if want is not None:
                found.append(want)
            elif not holding.held and not holding.reserved and not holding.waiting and now - holding.used_at >= IDLE:
                del self.holdings[tenant]
            elif holding.held:
                self.due = min(self.due, self._renewal(holding, limit))
        return found

    def _expire(self, now: float, holding: Holding, limit: Limit | None) -> None:
        if now >= holding.ends or limit is None:
            holding.held = 0
        else:
            holding.held = min(holding.held, limit.share)

    def _want(self, now: float, tenant: str, holding: Holding, limit: Limit | None) -> AllowanceWant | None:
        if now < holding.empty_until or now < holding.unlimited_until:
            return None
        if limit is None:  # the leader's configuration may be another
            return AllowanceWant(tenant, holding.waiting, 0) if holding.waiting else None
        target = holding.target(now, limit)
        renewed = holding.held > 0 and now >= self._renewal(holding, limit)
        if not holding.waiting and not renewed and not (target and self._low(now, holding, limit)):
            return None
        wanted = holding.waiting + target - holding.held
        if wanted < 0:
            holding.held = target
        return AllowanceWant(tenant, wanted, holding.held + holding.reserved)

    def _renewal(self, holding: Holding, limit: Limit | None) -> float:
        return holding.ends - RENEW * limit.lasts if limit is not None else holding.ends

    def granted(self, now: float, sent: float, grants: list[AllowanceGrant]) -> None:
        """The leader's answer to the wants that were taken at `sent`."""
        for grant in grants:
            holding = self.holdings.setdefault(grant.tenant, Holding())
            if grant.unlimited:
                holding.held, holding.unlimited_until = 0, sent + grant.lasts
                continue
            limit = self.limit_of(grant.tenant)
            share = limit.share if limit is not None else holding.waiting
            holding.held = min(share, holding.held + grant.granted)
            if grant.lasts > 0:
                holding.ends = sent + grant.lasts
            if grant.empty:
                holding.empty_until = now + EMPTY_PAUSE
            if holding.held:
                self.due = min(self.due, self._renewal(holding, limit))

    def again(self, now: float, progress: bool) -> None:
        """Requests still wait after a call: ask again, at once if it has brought them something."""
        if any(holding.waiting for holding in self.holdings.values()):
            self.due = min(self.due, now if progress else now + RETRY)
