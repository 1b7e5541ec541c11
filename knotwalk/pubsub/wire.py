"""The wire: JSON objects, one a line, both ways. docs/formats/pubsub.md has it in words.

Owns framing and the shape of messages: a machine fed bytes. It must never hold more than one unfinished line, or hand
on a message whose fields are not what the page says.
"""

import json
from collections.abc import Iterator, Mapping
from typing import Any

from knotwalk.net.loop import MessageTooLongError, ProtocolError
from knotwalk.pubsub.versions import Delta, Part

VERSION = 1
FROM_CLIENT = 1 << 14  # bytes of a subscriber's line: a hello with some thousand slices wanted
FROM_PUBLISHER = 1 << 22  # bytes of a publisher's line: a slice with every server in it, and then some
NAME_MOST = 64  # characters of a subscriber's name
SLICES_MOST = 4096  # slices that one may ask for by id


class Lines:
    """The machine of one direction."""

    def __init__(self, most: int):
        self.most = most
        self.held = bytearray()

    def feed(self, data: bytes | memoryview) -> Iterator[dict]:
        """The messages that these bytes finish.

        >>> list(Lines(99).feed(b'{"t":"bye"}\\n{"t":'))
        [{'t': 'bye'}]
        """
        self.held += data
        while (end := self.held.find(b"\n")) >= 0:
            line = bytes(self.held[:end])
            del self.held[: end + 1]
            if len(line) > self.most:
                raise MessageTooLongError(f"a line of {len(line)} bytes, {self.most} at most")
            try:
                told = json.loads(line)
            except (ValueError, RecursionError):
                raise ProtocolError(f"no JSON: {line[:60]!r}") from None
            if not isinstance(told, dict) or not isinstance(told.get("t"), str):
                raise ProtocolError(f"no message: {line[:60]!r}")
            yield told
        if len(self.held) > self.most:
            raise MessageTooLongError(f"a line of over {self.most} bytes")


def line(kind: str, **members: object) -> bytes:
    """
    >>> line("ack", n=3)
    b'{"t":"ack","n":3}\\n'
    """
    return json.dumps({"t": kind, **members}, separators=(",", ":")).encode() + b"\n"


def encoded(delta: Delta) -> bytes:
    """A delta: slices as [id, whole, lines, levels], withdrawals, levels for all."""
    return json.dumps(
        {
            "s": [[p.slice, int(p.whole), p.lines, p.levels] for p in delta.parts],
            "shut": delta.shut,
            "levels": delta.levels,
        },
        separators=(",", ":"),
    ).encode()


def decoded(told: Any) -> Delta:
    """The opposite; raises ValueError."""
    try:
        return Delta(
            tuple(
                Part(whole_number(id), bool(whole), lines_of(lines), levels_of(levels))
                for id, whole, lines, levels in told["s"]
            ),
            {str(k): bool(v) for k, v in told["shut"].items()},
            levels_of(told["levels"]),
        )
    except (KeyError, TypeError, AttributeError) as fault:
        raise ValueError(f"no delta: {fault!r}") from None


def whole_number(value: Any) -> int:
    if type(value) is not int or value < 0:
        raise ValueError(f"{value!r:.40} is no whole number")
    return value


def weight(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < 1e300:
        raise ValueError(f"{value!r:.40} is no weight")
    return float(value)


def lines_of(told: Mapping) -> dict[str, float]:
    return {str(k): weight(v) for k, v in told.items()}


def levels_of(told: Mapping) -> dict[int, tuple[float, int]]:
    return {int(k): (weight(share), whole_number(retry)) for k, (share, retry) in told.items()}


class Hello:
    """A subscriber's first message, its fields checked; raises ValueError."""

    def __init__(self, told: Mapping):
        if told.get("t") != "hello":
            raise ValueError("a hello comes first")
        if told.get("v") != VERSION:
            raise ValueError(f"version {told.get('v')!r:.20}; this publisher speaks {VERSION}")
        name = told.get("name")
        if not isinstance(name, str) or not 0 < len(name) <= NAME_MOST or not name.isprintable():
            raise ValueError("a name of 1 to 64 characters is wanted")
        self.name = name
        self.proxy = None if told.get("proxy") is None else whole_number(told["proxy"])
        if self.proxy is not None and self.proxy >= 1 << 32:
            raise ValueError("no such proxy")
        self.zone = None if told.get("zone") is None else str(told["zone"])[:NAME_MOST]
        wants = told.get("wants", "all")
        if wants == "all":
            self.wanted: frozenset[int] | None = None
        elif isinstance(wants, list) and len(wants) <= SLICES_MOST:
            self.wanted = frozenset(map(whole_number, wants))
        else:
            raise ValueError('wants is "all" or a list of slices')
        self.of_zone = None if told.get("of_zone") is None else str(told["of_zone"])[:NAME_MOST]
        self.token = told.get("token")
        self.usable = told.get("usable") is True
        self.secret = told.get("key") if isinstance(told.get("key"), str) else None


def need_of(told: Mapping) -> list[int]:
    """The slices that an acknowledgement asks for."""
    need = told.get("need") or []
    if not isinstance(need, list) or len(need) > SLICES_MOST:
        raise ValueError("need is a list of slices")
    return list(map(whole_number, need))
