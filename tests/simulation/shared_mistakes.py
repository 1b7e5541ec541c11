"""Mistakes put into the code of what all machines share of tenants, one at a time; `mistakes` has the form."""

from __future__ import annotations

from typing import Any

from knotwalk.control_plane import allowances, peer_api
from knotwalk.discovery import cluster_view
from knotwalk.edge.freshness import Freshness
from knotwalk.shared_state.buckets import Bucket, Buckets
from knotwalk.shared_state.escrow import Escrow, TakeResult
from tests.simulation.mistakes import KEYS, QUOTA, Mistake, _one


def _always(freshness: Freshness, now: float) -> bool:
    """A key is taken whatever was heard of the configuration in force."""
    return True


def _twice_as_long(freshness: Freshness, revoke_timeout: float, bound: bool, *more: float) -> None:
    FRESHNESS(freshness, revoke_timeout * 2, bound, *more)


def _first_keys(tenants: dict, before: Any) -> Any:
    """Keys that were there once stay."""
    return before if before.tenants else TENANT_KEYS(tenants, before)


def _full(buckets: Buckets, since: float, limit_of: Any) -> None:
    """A new leader's buckets are full."""
    BUCKETS(buckets, since - 3600, limit_of)


def _unlooked(buckets: Buckets, now: float, core: str, request: Any, bucket: Bucket) -> int:
    """What is asked for is given, whatever is left."""
    return max(0, min(request.requested, bucket.limit.max_per_core - request.unused))


def _fills_again(bucket: Bucket, now: float, limit: Any, *given: Any) -> None:
    """What has filled fills once more."""
    at = bucket.updated_at
    FILL(bucket, now, limit, *given)
    bucket.updated_at = max(at, now - 0.5)


def _first_limits(limits: allowances.TenantLimits, tenant: str) -> Any:
    """A limit that was found once stays."""
    if tenant not in limits._limits:
        OF(limits, tenant)
    return limits._limits[tenant]


def _kept(escrow: Escrow, now: float, tenant: str) -> bool:
    """What is given back counts twice."""
    if (holding := escrow.holdings.get(tenant)) is None:
        return False
    holding.reserved -= 1
    holding.held += 2
    return True


def _used_again(escrow: Escrow, now: float, tenant: str) -> TakeResult:
    """A token may be used by a second request."""
    taken = RETRY_TAKE(escrow, now, tenant)
    holding = escrow.holdings[tenant]
    if taken is TakeResult.GRANTED and holding.last_use_at != now:
        holding.held += 1
    return taken


FRESHNESS, TENANT_KEYS = Freshness.__init__, cluster_view.tenant_keys
BUCKETS, FILL, OF, RETRY_TAKE = Buckets.__init__, Bucket.fill, allowances.TenantLimits.of, Escrow.retry_take

SHARED_MISTAKES: dict[str, Mistake] = {
    "keys taken whatever was heard": _one(KEYS, Freshness, "is_valid", _always, 1),
    "lease of keys twice as long": _one(KEYS, Freshness, "__init__", _twice_as_long, 13),
    "a core's proof told as newer": _one(KEYS, peer_api, "LEADERSHIP_PROOF_S", -10.0, 6),
    "keys that were taken away stay": _one(KEYS, cluster_view, "tenant_keys", _first_keys),
    "a new leader's buckets are full": _one(QUOTA, Buckets, "__init__", _full, 2),
    "allowance whatever is left": _one(QUOTA, Buckets, "_take", _unlooked),
    "a bucket fills again": _one(QUOTA, Bucket, "fill", _fills_again),
    "a changed limit is not taken up": _one(QUOTA, allowances.TenantLimits, "of", _first_limits, 2),
    "allowance given back counts twice": _one(QUOTA, Escrow, "give_back", _kept),
    "a token is used again": _one(QUOTA, Escrow, "retry_take", _used_again),
}
