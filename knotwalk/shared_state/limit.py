"""A tenant's limit as the leader's bucket and the core machines' holdings keep it. Pure.

In any window W, a tenant of rate r and burst b may have (rW + b) x (1 + overage) + slack requests run. What runs in it
was held unused by core machines at its beginning, or lay in the bucket then, or filled since. So what lies in the
bucket and what is held stay together within `most` = b + M, where M is what the rule allows beyond rW + b. A part of
the overage is left out of M: one request may be run by two nodes, where the first one's answer was lost.

All that may be held together is within M. So a tenant that keeps to its limit finds a token, wherever the others lie.
"""

from __future__ import annotations

from dataclasses import dataclass

# Of a window: how long a core machine may use what it was given. Below one window, since a lower limit holds after one.
LASTS = 0.6
FOR_FURTHER_RUNS = 0.4  # of the overage: kept for requests that two nodes run


@dataclass(frozen=True, slots=True)
class Sharing:
    """How limits are kept: `window` in seconds, beyond it `overage` (a ratio) and `slack` (requests); among `cores`."""

    window: float
    overage: float
    slack: float
    cores: int


@dataclass(frozen=True, slots=True)
class Limit:
    """A tenant's limit: `rate` in requests a second, `lasts` in seconds; the others are requests.

    `most`: what may lie in its bucket and be held, together. `share`: the most that one core machine may hold unused;
    `outstanding`: the most that all may hold together, one that was just replaced among them."""

    rate: float
    most: float
    share: int
    outstanding: int
    lasts: float


def limit_of(rate_per_s: float, burst_size: float, sharing: Sharing) -> Limit | None:
    """The limit of a tenant with this rate (requests a second) and burst (requests); None for a rate of 0.

    Where M is less than a token for each core machine, each may still hold one, and the bound is wider by as much.

    >>> limit_of(20.0, 0.0, Sharing(window=5.0, overage=0.1, slack=20.0, cores=5))
    Limit(rate=20.0, most=26.0, share=4, outstanding=24, lasts=3.0)
    """
    if rate_per_s <= 0:
        return None
    cores, window = sharing.cores, sharing.window
    overage = sharing.overage * (rate_per_s * window + burst_size)
    beyond = overage * (1 - FOR_FURTHER_RUNS) + sharing.slack
    share = max(1, int(beyond / (cores + 1)))
    outstanding = (cores + 1) * share
    lasts = LASTS * window
    return Limit(
        rate=rate_per_s,
        most=burst_size + beyond,
        share=share,
        outstanding=outstanding,
        lasts=lasts,
    )
