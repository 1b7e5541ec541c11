"""Which node a request is offered to. Pure: no sockets, no clock; the caller brings the time and the luck."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from random import Random

from knotwalk.admission.admission import Seen, expected_wait, slots
from knotwalk.configuration.objects import Route
from knotwalk.discovery.view_types import Node

# A node in another zone must be so many requests a slot better: bytes between zones are priced. One more for each 4 kB
# of the request, two in all: at high load a quarter of an undivided service's requests crossed, some with 4 kB that
# cost a tenth of their worth; with this one in nine does, few of them large, and no more come late.
FAR_MARGIN, FAR_BODY, FAR_MOST = 0.75, 4096, 2.0


def seen(node: Node) -> Seen:
    """What this edge has met with at the node."""
    found = node.local_state
    if not isinstance(found, Seen):
        found = node.local_state = Seen()
    return found


def service_of(route: Route, luck: Random) -> str:
    """The service of a request: by weight where the route is split."""
    splits = route.splits
    if len(splits) == 1:
        return splits[0][0]
    at = luck.random() * sum(weight for _, weight in splits)
    for name, weight in splits:
        at -= weight
        if at < 0:
            return name
    return next(name for name, weight in reversed(splits) if weight > 0)


def load(node: Node, now: float) -> float:
    """Requests in hand for each slot, one more included, made heavier by how slow the node has been."""
    known = seen(node)
    return (known.in_hand(now) + 1) / slots(node.capacity, now < node.cold_until)


def wait_at(node: Node, now: float) -> float:
    """Seconds that a request is expected to wait for a slot at the node, by what it usually has in hand."""
    known = seen(node)
    return expected_wait(known.usually(now), slots(node.capacity, now < node.cold_until), known.work)


def pick(
    nodes: Sequence[Node], now: float, zone: str, luck: Random, skip: Collection[str] = (), size: int = 0
) -> Node | None:
    """The node for a request of an undivided service with a body of `size` bytes: the better of two drawn near by, or
    of two far off if that is clearly better still.

    Draining nodes and those in `skip` (ids already tried) are left out; shunned, silent and ailing ones while there are
    others.
    """
    able = [node for node in nodes if not node.draining and node.id not in skip]
    well = [
        node for node in able if seen(node).shunned_until <= now and not seen(node).silent(now) and not node.is_outlier
    ]
    well = well or [node for node in able if not node.is_outlier] or able
    if not well:
        return None
    near = [node for node in well if node.zone == zone]
    far = [node for node in well if node.zone != zone]
    best = _better(near, now, luck) if near else None
    other = _better(far, now, luck) if far else None
    if best is None or other is None:
        return best or other
    margin = min(FAR_MOST, FAR_MARGIN + size / FAR_BODY)
    return other if load(other, now) + margin < load(best, now) else best


def _better(nodes: list[Node], now: float, luck: Random) -> Node:
    if len(nodes) == 1:
        return nodes[0]
    first, second = luck.sample(nodes, 2)
    return first if load(first, now) <= load(second, now) else second
