"""Fields of an object of a configuration, read and checked one by one; `Mistake` says in few words what is wrong."""

from __future__ import annotations

import json
import math

from knotwalk.runtime.units import seconds

# The largest whole number that every reader of JSON keeps exactly.
LARGEST = 2**53


def shown(value: object) -> str:
    """A sent value as one short plain line.

    >>> shown("a"), shown([1]), shown(None)
    ('"a"', 'a list', 'null')
    """
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, list):
        return "a list"
    line = json.dumps(value)
    return line if len(line) <= 80 else line[:77] + "..."


class Mistake(Exception):
    """A mistake whose place the caller adds."""


def text(fields: dict, name: str) -> str:
    """A text that is not empty."""
    value = fields.get(name)
    if type(value) is not str or not value:
        raise Mistake(f"{name} must be a text, not {shown(value)}" if name in fields else f"{name} is missing")
    return value


def whole(fields: dict, name: str, default: int | None = None, least: int | None = 0) -> int:
    """A whole number; 2.0 is one as well. No `least`: any sign."""
    value = fields.get(name)
    if type(value) is not int:
        if value is None and name not in fields:
            if default is None:
                raise Mistake(f"{name} is missing")
            return default
        if type(value) is not float or not value.is_integer():
            raise Mistake(f"{name} must be a whole number, not {shown(value)}")
        value = int(value)
    if least is not None and value < least:
        raise Mistake(f"{name} must be at least {least}, not {shown(value)}")
    if abs(value) > LARGEST:
        raise Mistake(f"{name} is out of range: {shown(value)}")
    return value


def time_span(fields: dict, name: str, default: float | None = None) -> float:
    """A time, in seconds."""
    value = fields.get(name)
    if value is None and name not in fields:
        if default is None:
            raise Mistake(f"{name} is missing")
        return default
    try:
        span = seconds(value)
    except ValueError:
        raise Mistake(f"{name} must be a time with ms or s, not {shown(value)}") from None
    if not math.isfinite(span):
        raise Mistake(f"{name} is beyond any time")
    return span


def flag(fields: dict, name: str, default: bool) -> bool:
    """True or false."""
    value = fields.get(name, default)
    if type(value) is not bool:
        raise Mistake(f"{name} must be true or false, not {shown(value)}")
    return value


def amount(fields: dict, name: str) -> float:
    """A number that is not below 0; 0 where it is left out or null."""
    value = 0 if fields.get(name) is None else fields[name]
    if type(value) not in (int, float):
        raise Mistake(f"{name} must be a number, not {shown(value)}")
    if not 0 <= value <= LARGEST:
        raise Mistake(f"{name} is out of range: {shown(value)}")
    return float(value)
