"""A tenant's limit as the leader's bucket and the core machines' holdings keep it. Pure.

In any window W, a tenant of rate r and burst b may have (rW + b) x (1 + overage) + slack requests run. What is given
out in it is at most `capacity` + rW, and what the core machines hold unused at its beginning is spent beyond; so
`capacity` + `outstanding` stay within b + M, where M is what the rule allows beyond rW + b. A part of the overage is
left out of M: one request may be run by two nodes, where the first one's answer was lost.

Of M, each core machine may hold `share`, and the bucket holds as much more than b as all but one of them may: who asks
for a tenant below its limit finds a token, wherever the others lie.
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
    """A tenant's limit: `rate` in requests a second, `capacity` of its bucket, `lasts` in seconds.

    `share`: the most that one core machine may hold unused; `outstanding`: the most that all may hold together, one
    that was just replaced among them."""

    rate: float
    capacity: float
    share: int
    outstanding: int
    lasts: float


def limit_of(rate_per_s: float, burst_size: float, sharing: Sharing) -> Limit | None:
    """The limit of a tenant with this rate (requests a second) and burst (requests); None for a rate of 0.

    Where M is less than a token for each core machine, each may still hold one, and the bucket gives that much less.

    >>> limit_of(20.0, 0.0, Sharing(window=5.0, overage=0.1, slack=20.0, cores=5))
    Limit(rate=20.0, capacity=14.0, share=2, outstanding=12, lasts=3.0)
    """
    if rate_per_s <= 0:
        return None
    cores, window = sharing.cores, sharing.window
    overage = sharing.overage * (rate_per_s * window + burst_size)
    beyond = overage * (1 - FOR_FURTHER_RUNS) + sharing.slack
    share = max(1, int(beyond / (2 * cores)))
    outstanding = (cores + 1) * share
    lasts = LASTS * window
    return Limit(
        rate=rate_per_s,
        capacity=max(1.0, burst_size + beyond - outstanding),
        share=share,
        outstanding=outstanding,
        lasts=lasts,
    )
