"""Figures and names as operators read them. Pure."""

from __future__ import annotations

from collections.abc import Iterable


def count(number: int, noun: str) -> str:
    """A number with its noun.

    >>> count(1, "route"), count(2, "mistake")
    ('1 route', '2 mistakes')
    """
    return f"{number} {noun}" + ("" if number == 1 else "s")


def span(seconds: float) -> str:
    """A time as configurations write it.

    >>> span(1.5), span(20.0), span(0.4)
    ('1.5s', '20s', '400ms')
    """
    return f"{seconds * 1000:g}ms" if seconds < 1 else f"{seconds:g}s"


def shares(splits: Iterable[tuple[str, float]]) -> str:
    """Services with their parts of the traffic.

    >>> shares([("a", 90.0), ("b", 10.0)]), shares([("a", 3.0)])
    ('a 90%, b 10%', 'a')
    """
    splits = list(splits)
    total = sum(weight for _, weight in splits)
    if len(splits) == 1:
        return splits[0][0]
    return ", ".join(f"{service} {100 * weight / total:.3g}%" for service, weight in splits)
