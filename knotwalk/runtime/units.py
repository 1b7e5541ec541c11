"""Durations as the platform writes them: a number and its unit, `1500ms` or `2.5s`. The code uses float seconds."""

import re

DURATION_PATTERN = re.compile(r"(\d+(?:\.\d+)?)(ms|s)", re.ASCII)


def parse_duration(text: object) -> float:
    """Parse a text such as `1500ms` into seconds; ValueError with the text if it is no duration.

    >>> parse_duration("1500ms"), parse_duration("2.5s")
    (1.5, 2.5)
    """
    if not isinstance(text, str) or not (match := DURATION_PATTERN.fullmatch(text)):
        raise ValueError(f"must be a number with the unit ms or s, not {text!r}")
    return float(match[1]) / (1000.0 if match[2] == "ms" else 1.0)


def format_duration(duration_s: float) -> str:
    """Format a duration in seconds as the platform writes it, in whole milliseconds.

    >>> format_duration(1.5)
    '1500ms'
    """
    return f"{max(0, round(duration_s * 1000))}ms"
