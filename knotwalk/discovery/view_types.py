"""The parts of a cluster view: nodes of the platform's list, slice assignments, and a node's form on the wire."""

from __future__ import annotations

from dataclasses import dataclass, field

KEY_COUNT = 65536
# Slices of a sharded service. Measured under normal load, a hundredth of the keys takes a third of the requests: of 512
# slices the busiest alone exceeded a node's capacity, of 2,048 it takes a third of it. Assignments are sent as runs, so
# most slices cost nothing.
SLICE_COUNT = 2048
SLICE_WIDTH = KEY_COUNT // SLICE_COUNT
# A core that heard from the leader longer ago than this sends its edges to other cores.
MAX_LEADER_SILENCE_S = 1.2


@dataclass(eq=False)
class Node:
    """A node of the platform's list. `local_state` is for the program that forwards requests."""

    id: str
    service: str
    address: tuple[str, int]
    zone: str
    capacity: int
    draining: bool = False
    cold_until: float = 0.0  # on this machine's monotonic clock
    software: str = ""
    is_outlier: bool = False  # by the reports of all edges (`discovery.outliers`)
    local_state: object = None


@dataclass(eq=False)
class Assignment:
    """Which node holds a slice. Not `open` during a handover: requests then wait for a short time."""

    node: Node | None = None
    open: bool = False
    owner: str = ""


@dataclass(eq=False)
class ServiceAssignments:
    """The assignments of one service, one a slice."""

    by_slice: list[Assignment] = field(default_factory=lambda: [Assignment() for _ in range(SLICE_COUNT)])

    def assignment(self, key: int) -> Assignment:
        """The assignment of a key."""
        return self.by_slice[key // SLICE_WIDTH]


def node_to_wire(node: Node, now: float) -> dict:
    """Convert a node to its form on the wire; `cold` is the rest of its warm-up in seconds."""
    return {
        "service": node.service,
        "address": f"{node.address[0]}:{node.address[1]}",
        "zone": node.zone,
        "capacity": node.capacity,
        "draining": node.draining,
        "cold": round(max(0.0, node.cold_until - now), 3),
    }


def node_from_wire(id: str, raw: dict, now: float) -> Node:
    """Restore a node from its form on the wire, received at `now`."""
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
