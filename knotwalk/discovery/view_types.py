"""What a cluster view is made of: nodes of the platform's list, owner lines, and a node's form on the wire."""

from __future__ import annotations

from dataclasses import dataclass, field

KEY_COUNT = 65536
# Slices of a sharded service. Measured on a calm day: a hundredth of the keys takes a third of the requests, and of 512
# slices the busiest alone was more than a node; of 2,048 it is a third of one. Lines travel as runs, so most cost
# nothing.
SLICE_COUNT = 2048
SLICE_WIDTH = KEY_COUNT // SLICE_COUNT
# Seconds: a core that heard the leader's word longer ago than this sends its edges elsewhere.
MAX_LEADER_SILENCE_S = 1.2


@dataclass(eq=False)
class Node:
    """A node as the platform's list has it. `local_state` is free for the program that carries requests."""

    id: str
    service: str
    address: tuple[str, int]
    zone: str
    capacity: int
    draining: bool = False
    cold_until: float = 0.0  # steady clock of this machine
    software: str = ""
    is_outlier: bool = False  # as all edges together meet with it (`discovery.outliers`)
    local_state: object = None


@dataclass(eq=False)
class Assignment:
    """Who owns a slice; not `open` while the keys change hands: requests wait for it briefly."""

    node: Node | None = None
    open: bool = False
    owner: str = ""


@dataclass(eq=False)
class ServiceAssignments:
    """The owner lines of one service, a line a slice."""

    by_slice: list[Assignment] = field(default_factory=lambda: [Assignment() for _ in range(SLICE_COUNT)])

    def assignment(self, key: int) -> Assignment:
        """The owner line of a key."""
        return self.by_slice[key // SLICE_WIDTH]


def node_to_wire(node: Node, now: float) -> dict:
    """A node as it goes over the wire; `cold` in seconds from now."""
    return {
        "service": node.service,
        "address": f"{node.address[0]}:{node.address[1]}",
        "zone": node.zone,
        "capacity": node.capacity,
        "draining": node.draining,
        "cold": round(max(0.0, node.cold_until - now), 3),
    }


def node_from_wire(id: str, raw: dict, now: float) -> Node:
    """The node that a board told as `raw`, read at `now`."""
    host, _, port = raw["address"].rpartition(":")
    return Node(
        id,
        raw["service"],
        (host, int(port)),
        raw["zone"],
        raw["capacity"],
        raw["draining"],
        now + raw["cold"] if raw["cold"] else 0.0,
    )
