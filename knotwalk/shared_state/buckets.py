"""The leader's token buckets, one per active tenant: the tokens left and the tokens that core machines hold.

A bucket that is full and of which no core holds anything is dropped. A bucket created again starts empty at the time
this leader took over and fills from there: it is not known what an earlier leader granted, and cores may still hold it.
Pure; only a leader that a majority has confirmed may call `grant`, so that no two leaders grant at the same time. For
the bound that this keeps see `limit`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from knotwalk.shared_state.limit import Limit
from knotwalk.shared_state.messages import AllowanceGrant, AllowanceRequest

CLOCK_DRIFT_FACTOR = 1.02  # monotonic clocks of two machines may run 2% apart
SWEEP_INTERVAL_S = 5.0  # between sweeps that drop idle buckets
# For this long at most after a leader took over, an empty bucket doesn't prove that the limit is reached: it may not
# have had the time to fill.
MAX_STARTUP_S = 30.0
UNLIMITED_VALID_FOR_S = 2.0  # how long a core machine may rely on "this tenant has no limit"


@dataclass(slots=True)
class CoreHolding:
    """The most tokens that a core machine can hold unused, until `expires_at` by the leader's clock."""

    held: int
    expires_at: float


@dataclass(slots=True)
class Bucket:
    """A tenant's token bucket: `level` tokens at `updated_at`; `holdings` of core machines, by core."""

    limit: Limit
    level: float
    updated_at: float
    holdings: dict[str, CoreHolding] = field(default_factory=dict)

    def fill(self, now: float, limit: Limit, prior_expired_at: float) -> None:
        """Fill the bucket up to `now`. Tokens that cores hold count against its capacity, so this is called before a
        holding changes.

        A changed limit applies from now on; the time before counts at the lower of both rates. Before
        `prior_expired_at` cores may still hold tokens that an earlier leader granted."""
        rate = min(self.limit.rate, limit.rate)
        is_prior_valid = self.updated_at < prior_expired_at
        held = limit.max_prior_outstanding if is_prior_valid else self.outstanding(self.updated_at, "")
        available = max(1.0, limit.capacity - held)
        self.level = min(available, self.level + rate * max(0.0, now - self.updated_at))
        self.updated_at, self.limit = max(now, self.updated_at), limit

    def outstanding(self, now: float, core: str) -> int:
        """The tokens that all core machines but `core` may hold."""
        return sum(
            holding.held for holder, holding in self.holdings.items() if holder != core and holding.expires_at > now
        )

    def hold(self, now: float, core: str, held: int) -> None:
        """Record that a core machine holds `held` tokens from now on."""
        self.holdings.pop(core, None)
        if held:
            self.holdings[core] = CoreHolding(held, now + self.limit.valid_for_s * CLOCK_DRIFT_FACTOR)

    def is_idle(self, now: float) -> bool:
        """Whether the bucket is full and no core holds any of it, so that it can be dropped and created again."""
        full = self.level + self.limit.rate * (now - self.updated_at) >= self.limit.capacity
        return full and not self.outstanding(now, "")


class Buckets:
    """The buckets of a leader confirmed since `leader_since`; `limit_of` returns the limit in force for a tenant."""

    def __init__(self, leader_since: float, limit_of: Callable[[str], Limit | None]):
        self.leader_since, self.limit_of = leader_since, limit_of
        self.buckets: dict[str, Bucket] = {}
        self._swept = leader_since

    def grant(self, now: float, core: str, requests: list[AllowanceRequest]) -> list[AllowanceGrant]:
        """Grant tokens to a core machine; one grant for each request, in the order of the requests."""
        if now >= self._swept + SWEEP_INTERVAL_S:
            self._sweep(now)
        return [self._grant_one(now, core, request) for request in requests]

    def _grant_one(self, now: float, core: str, request: AllowanceRequest) -> AllowanceGrant:
        limit = self.limit_of(request.tenant)
        if limit is None:
            self.buckets.pop(request.tenant, None)
            return AllowanceGrant(request.tenant, 0, UNLIMITED_VALID_FOR_S, unlimited=True)
        bucket = self._bucket(now, request.tenant, limit)
        bucket.hold(now, core, request.unused)
        bucket.level += max(0, -request.requested)
        bucket.fill(now, limit, self._prior_expired_at(limit))
        granted = self._take(now, core, request, bucket)
        held = request.unused + granted
        bucket.hold(now, core, held)
        valid_for_s = limit.valid_for_s if held <= limit.max_per_core else 0.0
        limit_reached = granted < request.requested and bucket.level < 1 and self._is_past_startup(now, limit)
        return AllowanceGrant(request.tenant, granted, valid_for_s, limit_reached)

    def _take(self, now: float, core: str, request: AllowanceRequest, bucket: Bucket) -> int:
        limit = bucket.limit
        core_capacity = limit.max_per_core - request.unused
        capacity = limit.max_outstanding - bucket.outstanding(now, core) - request.unused
        granted = max(0, min(request.requested, int(bucket.level), core_capacity, capacity))
        bucket.level -= granted
        return granted

    def _bucket(self, now: float, tenant: str, limit: Limit) -> Bucket:
        """Return a tenant's bucket, filled up to `now`."""
        prior_expired_at = self._prior_expired_at(limit)
        bucket = self.buckets.get(tenant)
        if bucket is None:
            bucket = self.buckets[tenant] = Bucket(limit, 0.0, self.leader_since)
            bucket.fill(min(now, prior_expired_at), limit, prior_expired_at)
        bucket.fill(now, limit, prior_expired_at)
        return bucket

    def _prior_expired_at(self, limit: Limit) -> float:
        """When the last token that an earlier leader may have granted, unknown to this one, has expired."""
        return self.leader_since + limit.valid_for_s * CLOCK_DRIFT_FACTOR

    def _is_past_startup(self, now: float, limit: Limit) -> bool:
        """Whether an empty bucket means that the tenant used it up, rather than that this leader is new."""
        return now >= self.leader_since + min(MAX_STARTUP_S, limit.capacity / limit.rate)

    def _sweep(self, now: float) -> None:
        self._swept = now
        self.buckets = {tenant: bucket for tenant, bucket in self.buckets.items() if not bucket.is_idle(now)}
