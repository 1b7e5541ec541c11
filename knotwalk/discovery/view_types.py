"""What a cluster view is made of: nodes of the platform's list, owner lines, and a node's form on the wire."""

from __future__ import annotations

from dataclasses import dataclass, field

KEYS = 65536
# Slices of a sharded service. Measured on a calm day: a hundredth of the keys takes a third of the requests, and of 512
# slices the busiest alone was more than a node; of 2,048 it is a third of one. Lines travel as runs, so most cost
# nothing.
SLICES = 2048
WIDTH = KEYS // SLICES
# Seconds: a core that heard the leader's word longer ago than this sends its edges elsewhere.
FRESH = 1.2


@dataclass(eq=False)
class Node:
    """A node as the platform's list has it. `seen` is free for the program that carries requests."""

    id: str
    service: str
    address: tuple[str, int]
    zone: str
    capacity: int
    draining: bool = False
    cold_until: float = 0.0  # steady clock of this machine
    software: str = ""
    ailing: bool = False  # as all edges together meet with it (`discovery.outliers`)
    seen: object = None


@dataclass(eq=False)
class Line:
    """Who owns a slice; not `open` while the keys change hands: requests wait for it briefly."""

    node: Node | None = None
    open: bool = False
    owner: str = ""


@dataclass(eq=False)
class Sharding:
    """The owner lines of one service, a line a slice."""

    lines: list[Line] = field(default_factory=lambda: [Line() for _ in range(SLICES)])

    def line(self, key: int) -> Line:
        """The owner line of a key."""
        return self.lines[key // WIDTH]


def entry(node: Node, now: float) -> dict:
    """A node as it goes over the wire; `cold` in seconds from now."""
    return {
        "service": node.service,
        "address": f"{node.address[0]}:{node.address[1]}",
        "zone": node.zone,
        "capacity": node.capacity,
        "draining": node.draining,
        "cold": round(max(0.0, node.cold_until - now), 3),
    }


def node_of(id: str, raw: dict, now: float) -> Node:
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
