"""Fields of an object of a configuration, read and checked one by one; `Mistake` says in few words what is wrong."""

from __future__ import annotations

import json
import math

from knotwalk.runtime.units import parse_duration

# The largest whole number that every reader of JSON keeps exactly.
MAX_SAFE_INTEGER = 2**53


def describe_value(value: object) -> str:
    """A sent value as one short plain line.

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
    """A mistake whose place the caller adds."""


def text_field(fields: dict, name: str) -> str:
    """A text that is not empty."""
    value = fields.get(name)
    if type(value) is not str or not value:
        raise FieldError(
            f"{name} must be a text, not {describe_value(value)}" if name in fields else f"{name} is missing"
        )
    return value


def integer_field(fields: dict, name: str, default: int | None = None, least: int | None = 0) -> int:
    """A whole number; 2.0 is one as well. No `least`: any sign."""
    value = fields.get(name)
    if type(value) is not int:
        if value is None and name not in fields:
            if default is None:
                raise FieldError(f"{name} is missing")
            return default
        if type(value) is not float or not value.is_integer():
            raise FieldError(f"{name} must be a whole number, not {describe_value(value)}")
        value = int(value)
    if least is not None and value < least:
        raise FieldError(f"{name} must be at least {least}, not {describe_value(value)}")
    if abs(value) > MAX_SAFE_INTEGER:
        raise FieldError(f"{name} is out of range: {describe_value(value)}")
    return value


def duration_field(fields: dict, name: str, default: float | None = None) -> float:
    """A time, in seconds."""
    value = fields.get(name)
    if value is None and name not in fields:
        if default is None:
            raise FieldError(f"{name} is missing")
        return default
    try:
        span = parse_duration(value)
    except ValueError:
        raise FieldError(f"{name} must be a time with ms or s, not {describe_value(value)}") from None
    if not math.isfinite(span):
        raise FieldError(f"{name} is beyond any time")
    return span


def boolean_field(fields: dict, name: str, default: bool) -> bool:
    """True or false."""
    value = fields.get(name, default)
    if type(value) is not bool:
        raise FieldError(f"{name} must be true or false, not {describe_value(value)}")
    return value


def number_field(fields: dict, name: str) -> float:
    """A number that is not below 0; 0 where it is left out or null."""
    value = 0 if fields.get(name) is None else fields[name]
    if type(value) not in (int, float):
        raise FieldError(f"{name} must be a number, not {describe_value(value)}")
    if not 0 <= value <= MAX_SAFE_INTEGER:
        raise FieldError(f"{name} is out of range: {describe_value(value)}")
    return float(value)
