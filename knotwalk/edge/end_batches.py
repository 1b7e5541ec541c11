"""Which ends of runs go into one call to a core, limited in bytes, and how long that call takes. Pure."""

from __future__ import annotations

from collections.abc import Sequence

from knotwalk.shared_state.messages import OperationEnd

# Maximum bytes of the ends in one call; a larger end goes in a call of its own.
MAX_BATCH_BYTES = 16 * 1024
# Maximum bytes of the ends in a call with asks, since clients wait for these.
MAX_BYTES_WITH_ASKS = 2 * 1024
# Maximum ends in one call, however small.
MAX_BATCH_ENDS = 200
# Approximate bytes of an ask, of an end without its answer, and of the JSON punctuation of a header.
ASK_BYTES, END_BYTES, HEADER_BYTES = 100, 100, 8
# Part of the link that a call can count on: requests and answers use it too.
USABLE_LINK_PART = 0.5


def encoded_size(end: OperationEnd) -> int:
    """Approximate bytes of an end in a call; bodies are encoded as base64."""
    if end.answer is None:
        return END_BYTES
    headers = sum(len(name) + len(value) + HEADER_BYTES for name, value in end.answer.headers)
    return END_BYTES + headers + len(end.answer.body) * 4 // 3


def take_fitting(ends: Sequence[OperationEnd], max_bytes: int) -> list[OperationEnd]:
    """The ends, in their order, that fit in `max_bytes` together."""
    batch: list[OperationEnd] = []
    remaining = max_bytes
    for end in ends:
        size = encoded_size(end)
        if size <= remaining and len(batch) < MAX_BATCH_ENDS:
            batch.append(end)
            remaining -= size
    return batch


def batch_with_asks(ends: Sequence[OperationEnd]) -> list[OperationEnd]:
    """The ends that go into a call with asks."""
    return take_fitting(ends, MAX_BYTES_WITH_ASKS)


def batch_alone(ends: Sequence[OperationEnd]) -> list[OperationEnd]:
    """The ends of a call without asks: the first one, whatever its size, and those that fit in beside it."""
    return [*ends[:1], *take_fitting(ends[1:], MAX_BATCH_BYTES - sum(encoded_size(end) for end in ends[:1]))]


def transfer_time(asks: int, ends: Sequence[OperationEnd], link_mbps: float) -> float:
    """Seconds that a call with this many asks and with these ends takes on the link.

    >>> transfer_time(10, [], 2.0)
    0.008
    """
    size = asks * ASK_BYTES + sum(encoded_size(end) for end in ends)
    return size * 8 / (link_mbps * 1e6 * USABLE_LINK_PART)
