"""The tokens of tenants' limits that one core machine holds: hands single tokens to edges and refills from the leader
ahead of need.

A holding expires by the monotonic clock, counted from when the leader was asked. While it is in use it is requested
again early, so that a request waits for a call to the leader only when more requests arrive than recently. After the
leader reported that a limit is reached, requests are refused for LIMIT_REACHED_PAUSE_S without asking it. Pure: the
driver makes the calls, one at a time, and queues the requests that wait.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from knotwalk.shared_state.limit import Limit
from knotwalk.shared_state.messages import AllowanceGrant, AllowanceRequest

# Decay time of the use that sets how many tokens to hold (up to a core's share): use this long ago counts 1/e. Clients
# of a tenant send some requests at once, so even at a low rate more than a second's use is held.
USE_DECAY_S = 5.0
IDLE_TIMEOUT_S = 10.0  # without use for this long, no tokens are held
MIN_CALL_INTERVAL_S = 0.1  # between calls to the leader that no request waits for
RETRY_INTERVAL_S = 0.02  # after a call that brought nothing for the requests that wait
RENEW_FRACTION = 0.4  # of a holding's validity: it is renewed when this much is left
LIMIT_REACHED_PAUSE_S = 0.1  # without asking, after the leader reported that the limit is reached


class TakeResult(Enum):
    """The outcome of a request's attempt to take a token."""

    GRANTED = "granted"
    UNLIMITED = "unlimited"
    OVER_LIMIT = "over limit"
    WAIT = "wait"  # no token here; a call to the leader must bring one


@dataclass(slots=True)
class Holding:
    """A tenant's tokens at this core. `recent_use` is a count of requests, decayed, as of `last_use_at`; `waiting`
    counts the requests that wait for a token."""

    held: int = 0
    expires_at: float = -math.inf
    recent_use: float = 0.0
    last_use_at: float = -math.inf
    waiting: int = 0
    refuse_until: float = -math.inf
    unlimited_until: float = -math.inf
    reserved: int = 0  # tokens taken by requests that may still not run: they count as held and may come back

    def note_use(self, now: float) -> None:
        """Record one more request."""
        self.recent_use = 1.0 + self.recent_use * math.exp(min(0.0, self.last_use_at - now) / USE_DECAY_S)
        self.last_use_at = now

    def target(self, now: float, limit: Limit) -> int:
        """How many tokens to hold."""
        if now - self.last_use_at >= IDLE_TIMEOUT_S:
            return 0
        recent_use = self.recent_use * math.exp(min(0.0, self.last_use_at - now) / USE_DECAY_S)
        return min(limit.max_per_core, max(1, math.ceil(recent_use)))


class Escrow:
    """All holdings of a core machine. `limit_of` returns the limit in force for a tenant, None if it has none.

    `due_at` is when the next call to the leader is due."""

    def __init__(self, limit_of: Callable[[str], Limit | None]):
        self.limit_of = limit_of
        self.holdings: dict[str, Holding] = {}
        self.due_at = math.inf
        self._last_call_at = -math.inf

    # --- requests

    def take(self, now: float, tenant: str) -> TakeResult:
        """Take a token for a new request."""
        holding = self.holdings.setdefault(tenant, Holding())
        holding.note_use(now)
        return self.retry_take(now, tenant)

    def retry_take(self, now: float, tenant: str) -> TakeResult:
        """Take a token for a request that has waited."""
        holding = self.holdings.setdefault(tenant, Holding())
        if now < holding.unlimited_until:
            return TakeResult.UNLIMITED
        if holding.held > 0 and now < holding.expires_at:
            holding.held -= 1
            self._schedule_refill(now, tenant, holding)
            return TakeResult.GRANTED
        return TakeResult.OVER_LIMIT if now < holding.refuse_until else TakeResult.WAIT

    def start_waiting(self, now: float, tenant: str) -> None:
        """Record that a request waits for a call to bring its token."""
        self.holdings.setdefault(tenant, Holding()).waiting += 1
        self.due_at = min(self.due_at, now)

    def stop_waiting(self, tenant: str) -> None:
        """Record that a request waits no more, whatever its outcome."""
        holding = self.holdings.get(tenant)
        if holding is not None:
            holding.waiting = max(0, holding.waiting - 1)

    def reserve(self, tenant: str) -> None:
        """Reserve a token that was taken and may come back: it counts as unused until it is spent or given back."""
        self.holdings.setdefault(tenant, Holding()).reserved += 1

    def spend(self, now: float, tenant: str) -> bool:
        """Spend a reserved token. Returns whether the request may run: a token expires with its holding."""
        holding = self.holdings.get(tenant)
        if holding is None or holding.reserved == 0:
            return True  # it passed without a limit
        holding.reserved -= 1
        return now < holding.expires_at

    def give_back(self, now: float, tenant: str) -> bool:
        """Return a reserved token whose request doesn't run. Returns whether another request here may have it."""
        limit, holding = self.limit_of(tenant), self.holdings.get(tenant)
        if holding is None or holding.reserved == 0:
            return False
        holding.reserved -= 1
        if limit is None or now >= holding.expires_at or holding.held >= limit.max_per_core:
            return False
        holding.held += 1
        return True

    def _schedule_refill(self, now: float, tenant: str, holding: Holding) -> None:
        """Bring the next call forward if few tokens are left."""
        limit = self.limit_of(tenant)
        if limit is not None and self._is_low(now, holding, limit):
            self.due_at = min(self.due_at, max(now, self._last_call_at + MIN_CALL_INTERVAL_S, holding.refuse_until))

    def _is_low(self, now: float, holding: Holding, limit: Limit) -> bool:
        return holding.held <= holding.target(now, limit) // 2

    # --- calls to the leader

    def pending_requests(self, now: float) -> list[AllowanceRequest]:
        """The requests to send to the leader now. Tokens that they give back are no longer held from here on."""
        self._last_call_at, self.due_at = now, math.inf
        requests = []
        for tenant, holding in list(self.holdings.items()):
            limit = self.limit_of(tenant)
            self._expire(now, holding, limit)
            request = self._request_for(now, tenant, holding, limit)
            if request is not None:
                requests.append(request)
            elif (
                not holding.held
                and not holding.reserved
                and not holding.waiting
                and now - holding.last_use_at >= IDLE_TIMEOUT_S
            ):
                del self.holdings[tenant]
            elif holding.held:
                self.due_at = min(self.due_at, self._renew_at(holding, limit))
        return requests

    def _expire(self, now: float, holding: Holding, limit: Limit | None) -> None:
        if now >= holding.expires_at or limit is None:
            holding.held = 0
        else:
            holding.held = min(holding.held, limit.max_per_core)

    def _request_for(self, now: float, tenant: str, holding: Holding, limit: Limit | None) -> AllowanceRequest | None:
        if now < holding.refuse_until or now < holding.unlimited_until:
            return None
        if limit is None:  # the leader may have another configuration in force
            return AllowanceRequest(tenant, holding.waiting, 0) if holding.waiting else None
        target = holding.target(now, limit)
        should_renew = holding.held > 0 and now >= self._renew_at(holding, limit)
        if not holding.waiting and not should_renew and not (target and self._is_low(now, holding, limit)):
            return None
        requested = holding.waiting + target - holding.held
        if requested < 0:
            holding.held = target
        return AllowanceRequest(tenant, requested, holding.held + holding.reserved)

    def _renew_at(self, holding: Holding, limit: Limit | None) -> float:
        return holding.expires_at - RENEW_FRACTION * limit.valid_for_s if limit is not None else holding.expires_at

    def apply_grants(self, now: float, sent: float, grants: list[AllowanceGrant]) -> None:
        """Apply the leader's answer to the requests that `pending_requests` returned at `sent`."""
        for grant in grants:
            holding = self.holdings.setdefault(grant.tenant, Holding())
            if grant.unlimited:
                holding.held, holding.unlimited_until = 0, sent + grant.valid_for_s
                continue
            limit = self.limit_of(grant.tenant)
            share = limit.max_per_core if limit is not None else holding.waiting
            holding.held = min(share, holding.held + grant.granted)
            if grant.valid_for_s > 0:
                holding.expires_at = sent + grant.valid_for_s
            if grant.limit_reached:
                holding.refuse_until = now + LIMIT_REACHED_PAUSE_S
            if holding.held:
                self.due_at = min(self.due_at, self._renew_at(holding, limit))

    def schedule_retry(self, now: float, progress: bool) -> None:
        """Schedule another call if requests still wait after one: at once if that call made `progress`."""
        if any(holding.waiting for holding in self.holdings.values()):
            self.due_at = min(self.due_at, now if progress else now + RETRY_INTERVAL_S)
