"""Tails of the binomial distribution, for any number of tries that nodes may have. Pure.

Terms are computed from their logarithms, so no integer or power grows with the number of tries. Source of the
recurrence: the ratio of two successive terms of the distribution, (n - k) / (k + 1) * p / (1 - p).
"""

from __future__ import annotations

import math

# Terms below this part of the sum so far are not added: less than the precision of a float.
NEGLIGIBLE_PART = 1e-17


def binomial_tail(bad: int, tries: int, rate: float) -> float:
    """The probability of `bad` or more bad ones among `tries`, each bad with probability `rate`.

    The relative error is below 1e-7 up to a million tries; probabilities below 1e-300 may be returned as 0. The time
    grows with the square root of `tries`.

    >>> round(binomial_tail(0, 5, 0.1), 3), round(binomial_tail(1, 5, 0.1), 3), round(binomial_tail(5, 5, 0.1), 6)
    (1.0, 0.41, 1e-05)
    """
    if bad <= 0:
        return 1.0
    if bad > tries or rate <= 0.0:
        return 0.0
    if rate >= 1.0:
        return 1.0
    if bad > rate * tries:
        return min(1.0, _sum_away_from_mean(bad, tries, rate))
    # Below the mean the tail is the larger part: the other part is summed, as so many good ones or more.
    return max(0.0, 1.0 - _sum_away_from_mean(tries - bad + 1, tries, 1.0 - rate))


def _sum_away_from_mean(count: int, tries: int, rate: float) -> float:
    """The probability of `count` or more, for a `count` above the mean: there each term is smaller than the last."""
    term = total = math.exp(_log_term(count, tries, rate))
    odds = rate / (1.0 - rate)
    while count < tries and term > total * NEGLIGIBLE_PART:
        term *= (tries - count) / (count + 1) * odds
        total += term
        count += 1
    return total


def _log_term(count: int, tries: int, rate: float) -> float:
    """The logarithm of the probability of exactly `count` among `tries`."""
    log_ways = math.lgamma(tries + 1) - math.lgamma(count + 1) - math.lgamma(tries - count + 1)
    return log_ways + count * math.log(rate) + (tries - count) * math.log1p(-rate)
