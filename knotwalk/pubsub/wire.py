"""The wire format: one JSON object per line in both directions, as described in docs/formats/pubsub.md.

Frames and validates messages. The decoder buffers at most one unfinished line, and no message is returned whose fields
do not match the description.
"""

import json
from collections.abc import Iterator, Mapping
from typing import Any

from knotwalk.net.loop import MessageTooLongError, ProtocolError
from knotwalk.pubsub.versions import Delta, SliceUpdate

PROTOCOL_VERSION = 1
MAX_SUBSCRIBER_LINE_BYTES = 1 << 14  # a hello that lists some thousand slices
MAX_PUBLISHER_LINE_BYTES = 1 << 22  # more than a slice that has a line to every server
MAX_NAME_CHARS = 64  # of a subscriber's name
MAX_LISTED_SLICES = 4096  # slices that a subscriber may list by id


class LineDecoder:
    """Splits one direction's bytes into messages."""

    def __init__(self, max_bytes: int):
        self.max_bytes = max_bytes
        self.buffer = bytearray()

    def feed(self, data: bytes | memoryview) -> Iterator[dict]:
        """The messages completed by these bytes.

        >>> list(LineDecoder(99).feed(b'{"t":"bye"}\\n{"t":'))
        [{'t': 'bye'}]
        """
        self.buffer += data
        while (end := self.buffer.find(b"\n")) >= 0:
            line = bytes(self.buffer[:end])
            del self.buffer[: end + 1]
            if len(line) > self.max_bytes:
                raise MessageTooLongError(f"line of {len(line)} bytes; at most {self.max_bytes} are allowed")
            try:
                message = json.loads(line)
            except (ValueError, RecursionError):
                raise ProtocolError(f"not JSON: {line[:60]!r}") from None
            if not isinstance(message, dict) or not isinstance(message.get("t"), str):
                raise ProtocolError(f"not a message: {line[:60]!r}")
            yield message
        if len(self.buffer) > self.max_bytes:
            raise MessageTooLongError(f"line of more than {self.max_bytes} bytes")


def encode_message(kind: str, **members: object) -> bytes:
    """
    >>> encode_message("ack", n=3)
    b'{"t":"ack","n":3}\\n'
    """
    return json.dumps({"t": kind, **members}, separators=(",", ":")).encode() + b"\n"


def encode_delta(delta: Delta) -> bytes:
    """Encode slices as [id, whether full, lines, levels], withdrawals, and levels for all slices."""
    return json.dumps(
        {
            "s": [[p.slice, int(p.is_full), p.lines, p.levels] for p in delta.parts],
            "shut": delta.withdrawn,
            "levels": delta.levels,
        },
        separators=(",", ":"),
    ).encode()


def decode_delta(payload: Any) -> Delta:
    """The inverse of encode_delta, on parsed JSON; raises ValueError."""
    try:
        return Delta(
            tuple(
                SliceUpdate(parse_count(id), bool(is_full), parse_lines(lines), parse_levels(levels))
                for id, is_full, lines, levels in payload["s"]
            ),
            {str(k): bool(v) for k, v in payload["shut"].items()},
            parse_levels(payload["levels"]),
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"malformed delta: {error!r}") from None


def parse_count(value: Any) -> int:
    if type(value) is not int or value < 0:
        raise ValueError(f"{value!r:.40} is no whole number")
    return value


def parse_weight(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < 1e300:
        raise ValueError(f"{value!r:.40} is no weight")
    return float(value)


def parse_lines(payload: Mapping) -> dict[str, float]:
    return {str(k): parse_weight(v) for k, v in payload.items()}


def parse_levels(payload: Mapping) -> dict[int, tuple[float, int]]:
    return {int(k): (parse_weight(share), parse_count(retry)) for k, (share, retry) in payload.items()}


class Hello:
    """A subscriber's first message with its fields validated; raises ValueError."""

    def __init__(self, message: Mapping):
        if message.get("t") != "hello":
            raise ValueError("a hello comes first")
        if message.get("v") != PROTOCOL_VERSION:
            raise ValueError(f"version {message.get('v')!r:.20}; this publisher speaks {PROTOCOL_VERSION}")
        name = message.get("name")
        if not isinstance(name, str) or not 0 < len(name) <= MAX_NAME_CHARS or not name.isprintable():
            raise ValueError("a name of 1 to 64 characters is required")
        self.name = name
        self.proxy = None if message.get("proxy") is None else parse_count(message["proxy"])
        if self.proxy is not None and self.proxy >= 1 << 32:
            raise ValueError("proxy must be below 2^32")
        self.zone = None if message.get("zone") is None else str(message["zone"])[:MAX_NAME_CHARS]
        wants = message.get("wants", "all")
        if wants == "all":
            self.wanted: frozenset[int] | None = None
        elif isinstance(wants, list) and len(wants) <= MAX_LISTED_SLICES:
            self.wanted = frozenset(map(parse_count, wants))
        else:
            raise ValueError('wants is "all" or a list of slices')
        self.server_zone = None if message.get("of_zone") is None else str(message["of_zone"])[:MAX_NAME_CHARS]
        self.token = message.get("token")
        self.has_table = message.get("usable") is True
        self.secret = message.get("key") if isinstance(message.get("key"), str) else None


def parse_need(message: Mapping) -> list[int]:
    """The slices that an acknowledgement asks for."""
    need = message.get("need") or []
    if not isinstance(need, list) or len(need) > MAX_LISTED_SLICES:
        raise ValueError("need must be a list of slices")
    return list(map(parse_count, need))
