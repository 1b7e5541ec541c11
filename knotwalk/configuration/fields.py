"""Reads and checks single fields of a configuration object; `FieldError` says in a few words what is wrong."""

from __future__ import annotations

import json
import math

from knotwalk.runtime.units import parse_duration

# The largest integer that every JSON parser represents exactly.
MAX_SAFE_INTEGER = 2**53


def describe_value(value: object) -> str:
    """Describe a received value in one short line.

    >>> describe_value("a"), describe_value([1]), describe_value(None)
    ('"a"', 'a list', 'null')
    """
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, list):
        return "a list"
    line = json.dumps(value)
    return line if len(line) <= 80 else line[:77] + "..."


class FieldError(Exception):
    """An invalid field; the caller adds its location."""


def text_field(fields: dict, name: str) -> str:
    """A non-empty string."""
    value = fields.get(name)
    if type(value) is not str or not value:
        raise FieldError(
            f"{name} must be a non-empty string, not {describe_value(value)}"
            if name in fields
            else f"{name} is missing"
        )
    return value


def integer_field(fields: dict, name: str, default: int | None = None, minimum: int | None = 0) -> int:
    """An integer; 2.0 counts as one. `minimum` None allows any sign."""
    value = fields.get(name)
    if type(value) is not int:
        if value is None and name not in fields:
            if default is None:
                raise FieldError(f"{name} is missing")
            return default
        if type(value) is not float or not value.is_integer():
            raise FieldError(f"{name} must be a whole number, not {describe_value(value)}")
        value = int(value)
    if minimum is not None and value < minimum:
        raise FieldError(f"{name} must be at least {minimum}, not {describe_value(value)}")
    if abs(value) > MAX_SAFE_INTEGER:
        raise FieldError(f"{name} is out of range: {describe_value(value)}")
    return value


def duration_field(fields: dict, name: str, default: float | None = None) -> float:
    """A duration, in seconds."""
    value = fields.get(name)
    if value is None and name not in fields:
        if default is None:
            raise FieldError(f"{name} is missing")
        return default
    try:
        duration_s = parse_duration(value)
    except ValueError:
        raise FieldError(f"{name} must be a duration with the unit ms or s, not {describe_value(value)}") from None
    if not math.isfinite(duration_s):
        raise FieldError(f"{name} is too large")
    return duration_s


def boolean_field(fields: dict, name: str, default: bool) -> bool:
    """A boolean."""
    value = fields.get(name, default)
    if type(value) is not bool:
        raise FieldError(f"{name} must be true or false, not {describe_value(value)}")
    return value


def number_field(fields: dict, name: str) -> float:
    """A number of at least 0; 0 where it is missing or null."""
    value = 0 if fields.get(name) is None else fields[name]
    if type(value) not in (int, float):
        raise FieldError(f"{name} must be a number, not {describe_value(value)}")
    if not 0 <= value <= MAX_SAFE_INTEGER:
        raise FieldError(f"{name} is out of range: {describe_value(value)}")
    return float(value)
