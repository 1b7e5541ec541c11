"""Which ends of runs go into one call to a core, by the bytes that an edge's link is to carry, and how long it takes.
Pure."""

from __future__ import annotations

from collections.abc import Sequence

from knotwalk.shared_state.messages import OperationEnd

# Bytes of the ends of one call; a larger one goes by itself.
MOST_BYTES = 16 * 1024
# Bytes of the ends that travel with asks, for which a client waits.
BESIDE_ASKS = 2 * 1024
# Ends of one call, however small.
MOST_ENDS = 200
# Bytes of an ask, of an end without its answer, and of a header's quotes and brackets.
ASK_BYTES, END_BYTES, HEADER_BYTES = 100, 100, 8
# Part of the link that a call counts on: requests and answers go over it too.
LINK_PART = 0.5


def bytes_of(end: OperationEnd) -> int:
    """About how many bytes an end is in a call: bodies go as base64."""
    if end.answer is None:
        return END_BYTES
    headers = sum(len(name) + len(value) + HEADER_BYTES for name, value in end.answer.headers)
    return END_BYTES + headers + len(end.answer.body) * 4 // 3


def fitting(ends: Sequence[OperationEnd], most: int) -> list[OperationEnd]:
    """The ends, in their order, that fit in `most` bytes together."""
    found: list[OperationEnd] = []
    left = most
    for end in ends:
        size = bytes_of(end)
        if size <= left and len(found) < MOST_ENDS:
            found.append(end)
            left -= size
    return found


def beside_asks(ends: Sequence[OperationEnd]) -> list[OperationEnd]:
    """The ends that go with asks."""
    return fitting(ends, BESIDE_ASKS)


def alone(ends: Sequence[OperationEnd]) -> list[OperationEnd]:
    """The ends of a call without asks: the first one, whatever its size, and what fits beside it."""
    return [*ends[:1], *fitting(ends[1:], MOST_BYTES - sum(bytes_of(end) for end in ends[:1]))]


def carrying(asks: int, ends: Sequence[OperationEnd], link_mbps: float) -> float:
    """Seconds that a call of so many asks and of these ends is on its way over the link.

    >>> carrying(10, [], 2.0)
    0.008
    """
    size = asks * ASK_BYTES + sum(bytes_of(end) for end in ends)
    return size * 8 / (link_mbps * 1e6 * LINK_PART)
