"""Seeded mistakes in the state of tenants that all machines share (keys and limits); see `mistakes` for their form."""

from __future__ import annotations

from typing import Any

from knotwalk.control_plane import allowances, peer_api
from knotwalk.discovery import cluster_view
from knotwalk.edge.freshness import Freshness
from knotwalk.shared_state.buckets import Bucket, Buckets
from knotwalk.shared_state.escrow import Escrow, TakeResult
from tests.simulation.mistakes import KEYS, QUOTA, Mistake, _single_patch


def _always_hold(freshness: Freshness, now: float) -> bool:
    """Accepts keys however old the last proof of the configuration in force is."""
    return True


def _double_revoke_timeout(freshness: Freshness, revoke_timeout: float, bound: bool, *more: float) -> None:
    FRESHNESS(freshness, revoke_timeout * 2, bound, *more)


def _keep_first_keys(tenants: dict, before: Any) -> Any:
    """Keeps the first keys, whatever later configurations say."""
    return before if before.tenants else TENANT_KEYS(tenants, before)


def _start_full(buckets: Buckets, since: float, limit_of: Any) -> None:
    """A new leader starts with full buckets."""
    BUCKETS(buckets, since - 3600, limit_of)


def _take_unchecked(buckets: Buckets, now: float, core: str, request: Any, bucket: Bucket) -> int:
    """Grants what is requested, whatever the bucket holds."""
    return max(0, min(request.requested, bucket.limit.max_per_core - request.unused))


def _fill_twice(bucket: Bucket, now: float, limit: Any, *rest: Any) -> None:
    """Fills a bucket twice for the same time."""
    updated_at = bucket.updated_at
    FILL(bucket, now, limit, *rest)
    bucket.updated_at = max(updated_at, now - 0.5)


def _keep_first_limit(limits: allowances.TenantLimits, tenant: str) -> Any:
    """Keeps the first limit that was looked up."""
    if tenant not in limits._limits:
        OF(limits, tenant)
    return limits._limits[tenant]


def _give_back_twice(escrow: Escrow, now: float, tenant: str) -> bool:
    """Counts a token twice that is given back."""
    if (holding := escrow.holdings.get(tenant)) is None:
        return False
    holding.reserved -= 1
    holding.held += 2
    return True


def _reuse_token(escrow: Escrow, now: float, tenant: str) -> TakeResult:
    """Lets a second request use a token."""
    result = RETRY_TAKE(escrow, now, tenant)
    holding = escrow.holdings[tenant]
    if result is TakeResult.GRANTED and holding.last_use_at != now:
        holding.held += 1
    return result


FRESHNESS, TENANT_KEYS = Freshness.__init__, cluster_view.tenant_keys
BUCKETS, FILL, OF, RETRY_TAKE = Buckets.__init__, Bucket.fill, allowances.TenantLimits.of, Escrow.retry_take

SHARED_MISTAKES: dict[str, Mistake] = {
    "keys taken whatever was heard": _single_patch(KEYS, Freshness, "is_valid", _always_hold, 1),
    "lease of keys twice as long": _single_patch(KEYS, Freshness, "__init__", _double_revoke_timeout, 13),
    "a core's proof told as newer": _single_patch(KEYS, peer_api, "LEADERSHIP_PROOF_S", -10.0, 6),
    "keys that were taken away stay": _single_patch(KEYS, cluster_view, "tenant_keys", _keep_first_keys),
    "a new leader's buckets are full": _single_patch(QUOTA, Buckets, "__init__", _start_full, 2),
    "allowance whatever is left": _single_patch(QUOTA, Buckets, "_take", _take_unchecked),
    "a bucket fills again": _single_patch(QUOTA, Bucket, "fill", _fill_twice),
    "a changed limit is not taken up": _single_patch(QUOTA, allowances.TenantLimits, "of", _keep_first_limit, 2),
    "allowance given back counts twice": _single_patch(QUOTA, Escrow, "give_back", _give_back_twice),
    "a token is used again": _single_patch(QUOTA, Escrow, "retry_take", _reuse_token),
}
