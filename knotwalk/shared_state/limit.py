"""A tenant's limit, as the leader's bucket and the core machines' holdings enforce it. Pure.

In any window W, a tenant of rate r and burst b may have (rW + b) x (1 + overage) + slack requests run. The tokens that
are used in the window were held unused by core machines at its beginning, or were in the bucket then, or were added
since. So the tokens in the bucket and the tokens held must stay within `capacity` = b + M together, where M is what the
rule allows beyond rW + b. A part of the overage is left out of M, since one request may be run by two nodes if the
answer of the first one was lost.

All tokens that may be held at once fit in M. So a tenant within its limit finds a token at any core, whichever cores
hold the others.
"""

from __future__ import annotations

from dataclasses import dataclass

# Fraction of a window for which a core machine may use tokens. Below 1, since a lowered limit must hold after a window.
VALIDITY_FRACTION = 0.6
RERUN_OVERAGE_FRACTION = 0.4  # of the overage: reserved for requests that two nodes run


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """How exactly limits are enforced among `cores`: in each `window` (seconds), `overage` (a ratio) and `slack`
    (requests) beyond the limit are allowed."""

    window: float
    overage: float
    slack: float
    cores: int


@dataclass(frozen=True, slots=True)
class Limit:
    """A tenant's limit. `rate` is in requests per second, `valid_for_s` in seconds; the others count requests.

    `capacity`: the most that its bucket and all holdings may contain together. `max_per_core`: the most that one core
    machine may hold unused. `max_outstanding`: the most that all may hold, including one core that was just replaced.
    `max_prior_outstanding`: the most that all may hold of an earlier leader, which may have known other cores.
    """

    rate: float
    capacity: float
    max_per_core: int
    max_outstanding: int
    max_prior_outstanding: int
    valid_for_s: float


def limit_of(rate_per_s: float, burst_size: float, quota_bounds: QuotaBounds) -> Limit | None:
    """The limit of a tenant with this rate (requests per second) and burst (requests); None for a rate of 0.

    If M (see the module's text) is less than one token per core, each core may still hold one, which widens the bound
    by as much.

    >>> limit_of(20.0, 0.0, QuotaBounds(window=5.0, overage=0.1, slack=20.0, cores=5))
    Limit(rate=20.0, capacity=26.0, max_per_core=4, max_outstanding=24, max_prior_outstanding=26, valid_for_s=3.0)
    """
    if rate_per_s <= 0:
        return None
    cores, window = quota_bounds.cores, quota_bounds.window
    overage = quota_bounds.overage * (rate_per_s * window + burst_size)
    headroom = overage * (1 - RERUN_OVERAGE_FRACTION) + quota_bounds.slack
    max_per_core = max(1, int(headroom / (cores + 1)))
    max_outstanding = (cores + 1) * max_per_core
    valid_for_s = VALIDITY_FRACTION * window
    return Limit(
        rate=rate_per_s,
        capacity=burst_size + headroom,
        max_per_core=max_per_core,
        max_outstanding=max_outstanding,
        max_prior_outstanding=max(max_outstanding, int(headroom)),
        valid_for_s=valid_for_s,
    )
