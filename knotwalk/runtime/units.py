"""Times as the platform writes them: a number and its unit, `1500ms` or `2.5s`. Inside they are float seconds."""

import re

DURATION_PATTERN = re.compile(r"(\d+(?:\.\d+)?)(ms|s)", re.ASCII)


def parse_duration(text: object) -> float:
    """The seconds of a text such as `1500ms`; ValueError with the text if it is none.

    >>> parse_duration("1500ms"), parse_duration("2.5s")
    (1.5, 2.5)
    """
    if not isinstance(text, str) or not (found := DURATION_PATTERN.fullmatch(text)):
        raise ValueError(f"a time is a number with ms or s, not {text!r}")
    return float(found[1]) / (1000.0 if found[2] == "ms" else 1.0)


def format_duration(span: float) -> str:
    """A span of seconds as the platform writes it, in whole milliseconds.

    >>> format_duration(1.5)
    '1500ms'
    """
    return f"{max(0, round(span * 1000))}ms"
