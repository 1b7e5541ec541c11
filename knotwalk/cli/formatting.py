"""Formats counts, durations and traffic splits for operators. Pure."""

from __future__ import annotations

from collections.abc import Iterable


def format_count(number: int, noun: str) -> str:
    """A number with its noun in the singular or plural.

    >>> format_count(1, "route"), format_count(2, "mistake")
    ('1 route', '2 mistakes')
    """
    return f"{number} {noun}" + ("" if number == 1 else "s")


def format_duration(seconds: float) -> str:
    """A duration in the form that configurations use.

    >>> format_duration(1.5), format_duration(20.0), format_duration(0.4)
    ('1.5s', '20s', '400ms')
    """
    return f"{seconds * 1000:g}ms" if seconds < 1 else f"{seconds:g}s"


def format_traffic_split(splits: Iterable[tuple[str, float]]) -> str:
    """Services with their percentage of the traffic; a single service is given without one.

    >>> format_traffic_split([("a", 90.0), ("b", 10.0)]), format_traffic_split([("a", 3.0)])
    ('a 90%, b 10%', 'a')
    """
    splits = list(splits)
    total = sum(weight for _, weight in splits)
    if len(splits) == 1:
        return splits[0][0]
    return ", ".join(f"{service} {100 * weight / total:.3g}%" for service, weight in splits)
