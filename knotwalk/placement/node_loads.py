"""Nodes with the load that a pass has given them, and which of them a slice may leave or go to. Pure.

Helpers of `placer`, which explains the passes.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from knotwalk.placement.passes import utilization

MIN_EXCESS = 0.05  # of a node's capacity: a smaller excess is left, since a move costs keys and a wait
MIN_SLICE_LOAD = 0.002  # of a node's capacity: a lighter slice is not worth a move; a mean one of 26 nodes' is 0.013
MIN_GAIN = 1e-9  # of utilization: a slice moved for less would soon be moved back
# Renewals stay within a zone where conductor and node are in the same one, and are most of a conductor's bytes between
# zones: a target of the own zone may be worse by so much (of utilization) than one of another.
OWN_ZONE_MARGIN = 0.1


@dataclass(slots=True)
class NodeLoad:
    """A node, with the load that the passes have given it so far."""

    id: str
    capacity: float
    load: float = 0.0
    near: bool = False  # in the conductor's own zone
    avoided: bool = False  # another core cannot reach it: not a target while there are others


def missing_load(nodes: Mapping[str, NodeLoad], fleet: Mapping[str, NodeLoad], total: float) -> dict[str, float]:
    """What each of `nodes` lacks of its share, by capacity in the fleet, of the total load."""
    capacity = sum(x.capacity for x in fleet.values())
    return {id: max(0.0, total * x.capacity / capacity - x.load) for id, x in nodes.items()}


def own_excess(loads: Iterable[NodeLoad], threshold: float, own: Mapping[str, list[tuple[float, int]]]) -> Callable:
    """`can_move` for one `strip`: it allows the part of each node's excess that the slices in `own` make up, and no
    slice too heavy or too light for it. It counts what it has allowed, so it is for one use."""
    remaining = {}
    for node in loads:
        excess = node.load - threshold * node.capacity
        if excess >= MIN_EXCESS * node.capacity:
            remaining[node.id] = excess * min(1.0, sum(load for load, _ in own.get(node.id, ())) / node.load)

    def can_move(load: float, _: int, node: NodeLoad) -> bool:
        part = remaining.get(node.id, 0.0)
        if part <= 0 or not MIN_SLICE_LOAD * node.capacity <= load <= part + MIN_EXCESS * node.capacity:
            return False
        remaining[node.id] = part - load
        return True

    return can_move


def target_score(node: NodeLoad, load: float) -> float:
    """`score` for `place`: a target that is only as good as the source is rejected."""
    return utilization(node, load) + MIN_GAIN


def preferred_targets(loads: Iterable[NodeLoad]) -> list[NodeLoad]:
    """The nodes that are not avoided, or all where all are."""
    nodes = list(loads)
    return [x for x in nodes if not x.avoided] or nodes


def pass_targets(loads: Iterable[NodeLoad]) -> list[NodeLoad]:
    """The nodes of the own zone, unless the best of them is much worse than the best of all."""
    nodes = preferred_targets(loads)
    near = [x for x in nodes if x.near]
    return (
        near
        if near
        and utilization(min(near, key=utilization)) <= utilization(min(nodes, key=utilization)) + OWN_ZONE_MARGIN
        else nodes
    )
