"""Mistakes put into the code of what all machines share of tenants, one at a time; `mistakes` has the form."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from knotwalk.shared_state.buckets import Bucket, Buckets
from knotwalk.shared_state.escrow import Escrow

from knotwalk.control_plane import allowances, peer_api
from knotwalk.discovery import cluster_view
from knotwalk.edge.freshness import Freshness
from tests.simulation.mistakes import KEYS, QUOTA, Mistake, _one


def _always(freshness: Freshness, now: float) -> bool:
    """A key is taken whatever was heard of the configuration in force."""
    return True


def _twice_as_long(freshness: Freshness, revoke_timeout: float, bound: bool) -> None:
    FRESHNESS(freshness, revoke_timeout * 2, bound)


def _first_keys(tenants: dict, before: Any) -> Any:
    """Keys that were there once stay."""
    return before if before.tenants else TENANT_KEYS(tenants, before)


def _full(buckets: Buckets, since: float, limit_of: Any) -> None:
    """A new leader's buckets are full."""
    BUCKETS(buckets, since - 3600, limit_of)


def _unproven(made: allowances.Allowances, core: str, wants: list) -> list | None:
    """Whoever led last gives out, proven or not."""
    if made.buckets is None or made.consensus.state.configuration is None:
        return None
    return made.buckets.grant(allowances.clock(), core, wants)


def _nothing_out(bucket: Bucket, now: float, core: str) -> int:
    """What other core machines hold counts for nothing."""
    return 0


def _all_beyond(rate: float, burst: float, sharing: Any) -> Any:
    """All that the rule allows beyond the limit is held by core machines, and lies in the bucket as well."""
    found = LIMIT_OF(rate, burst, sharing)
    beyond = int(sharing.overage * (rate * sharing.window + burst) + sharing.slack)
    return found and replace(found, capacity=burst + beyond, share=beyond, outstanding=beyond)


def _kept(escrow: Escrow, now: float, tenant: str) -> bool:
    """What is given back may be used again, however often."""
    holding = escrow.holdings.get(tenant)
    if holding is None:
        return False
    holding.held += 2
    return True


FRESHNESS, TENANT_KEYS = Freshness.__init__, cluster_view.tenant_keys
BUCKETS, LIMIT_OF = Buckets.__init__, allowances.limit_of

SHARED_MISTAKES: dict[str, Mistake] = {
    "keys taken whatever was heard": _one(KEYS, Freshness, "holds", _always, 1),
    "lease of keys twice as long": _one(KEYS, Freshness, "__init__", _twice_as_long, 3),
    "a core's proof told as newer": _one(KEYS, peer_api, "PROOF", -10.0),
    "keys that were taken away stay": _one(KEYS, cluster_view, "tenant_keys", _first_keys),
    "a new leader's buckets are full": _one(QUOTA, Buckets, "__init__", _full),
    "allowance from an unproven leader": _one(QUOTA, allowances.Allowances, "grant", _unproven),
    "allowance held elsewhere not counted": _one(QUOTA, Bucket, "outstanding", _nothing_out),
    "allowance beyond the limit twice": _one(QUOTA, allowances, "limit_of", _all_beyond),
    "allowance given back counts twice": _one(QUOTA, Escrow, "give_back", _kept),
}
