"""Which node a request is offered to. Pure: no sockets, no clock; the caller passes the time and the random numbers."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from random import Random

from knotwalk.admission.admission import NodeStats, expected_wait, slots
from knotwalk.configuration.objects import Route
from knotwalk.discovery.view_types import Node

# A node in another zone must be better by this many requests per slot, since traffic between zones costs money: the
# margin grows by 1 for each 4 kB of the request, up to the maximum. Without it, at high load a quarter of the requests
# of an unsharded service crossed zones, some with 4 kB that cost a tenth of their value; with it one in nine does, few
# of them large, and no more answers are late.
OTHER_ZONE_MARGIN, OTHER_ZONE_BYTES_PER_UNIT, MAX_OTHER_ZONE_MARGIN = 0.75, 4096, 2.0


def stats_of(node: Node) -> NodeStats:
    """This edge's measurements of the node, created on first use."""
    stats = node.local_state
    if not isinstance(stats, NodeStats):
        stats = node.local_state = NodeStats()
    return stats


def service_of(route: Route, rng: Random) -> str:
    """The service of a request: drawn by weight where the route splits its traffic."""
    splits = route.splits
    if len(splits) == 1:
        return splits[0][0]
    remaining = rng.random() * sum(weight for _, weight in splits)
    for name, weight in splits:
        remaining -= weight
        if remaining < 0:
            return name
    return next(name for name, weight in reversed(splits) if weight > 0)


def load(node: Node, now: float) -> float:
    """Outstanding requests per effective slot, counting one more."""
    stats = stats_of(node)
    return (stats.outstanding(now) + 1) / slots(node.capacity, now < node.cold_until)


def wait_at(node: Node, now: float) -> float:
    """Seconds that a request is expected to wait for a slot at the node, judged by its usual load."""
    stats = stats_of(node)
    return expected_wait(stats.usual_outstanding(now), slots(node.capacity, now < node.cold_until), stats.mean_work_s)


def pick_node(
    nodes: Sequence[Node], now: float, zone: str, rng: Random, skip: Collection[str] = (), size: int = 0
) -> Node | None:
    """The node for a request of an unsharded service with a body of `size` bytes.

    It is the better of two random nodes of this zone, or of two of other zones if that one is better by a margin.
    Draining nodes and those in `skip` (ids already tried) are left out; so are nodes that are avoided, silent or
    outliers, as long as there are others.
    """
    candidates = [node for node in nodes if not node.draining and node.id not in skip]
    healthy = [
        node
        for node in candidates
        if stats_of(node).avoided_until <= now and not stats_of(node).is_silent(now) and not node.is_outlier
    ]
    healthy = healthy or [node for node in candidates if not node.is_outlier] or candidates
    if not healthy:
        return None
    same_zone = [node for node in healthy if node.zone == zone]
    other_zone = [node for node in healthy if node.zone != zone]
    best = _better_of_two(same_zone, now, rng) if same_zone else None
    other = _better_of_two(other_zone, now, rng) if other_zone else None
    if best is None or other is None:
        return best or other
    margin = min(MAX_OTHER_ZONE_MARGIN, OTHER_ZONE_MARGIN + size / OTHER_ZONE_BYTES_PER_UNIT)
    return other if load(other, now) + margin < load(best, now) else best


def _better_of_two(nodes: list[Node], now: float, rng: Random) -> Node:
    if len(nodes) == 1:
        return nodes[0]
    first, second = rng.sample(nodes, 2)
    return first if load(first, now) <= load(second, now) else second
