"""What one core program tells edges of the cluster: configuration, nodes, owner lines; changes, not wholes.

Its counterpart at an edge is `cluster_view.ClusterView`, which says how orders of topics keep views from going back.
"""

from __future__ import annotations

import json
from collections import deque

from knotwalk.configuration.documents import difference
from knotwalk.discovery.view_types import SLICES, Node, entry

# Changes of the configuration kept to be sent alone. Together they stay smaller than the whole, so a board
# keeps one configuration's bytes of them at most. Storms bring some 3 to 12 a second, and an edge calls once a
# second at least; who is 32 behind was cut off, and the whole is then one of the smaller things it lacks.
CHANGES = 32
HELD = 32  # lists of nodes from which a board can still tell what changed; as above, a release brings one a second
COLDER = 2.0  # s by which a node must be cold for longer than told: the list's figure is up to a beat of 1.5 s old


class Board:
    """What one core program has to tell, with a revision for each change; `since` is what a cluster view lacks.

    An order names one state, whichever board tells it: the configuration and the lines as of an entry of the log, the
    list as one leader read it. So what a cluster view lacks follows from its orders, also when it heard another board.
    """

    def __init__(self, epoch: str):
        self.epoch, self.at = epoch, 1
        self.config: tuple[int, dict] | None = None
        self.sizes: dict[int, int] = {}  # bytes of each item of the configuration, by its object
        self.changes: deque[tuple[int, dict, int]] = deque()  # up to now: (order changed from, change, its bytes)
        self.nodes: dict[str, Node] = {}
        self.nodes_order = (-1, -1)
        self.held: dict[tuple[int, int], int] = {}  # the last orders of the list, and the turn of each
        self.node_at: dict[str, int] = {}  # turn of the last change by id; gone ones too, as far as `held` goes
        self.lines: dict[str, list[tuple[str, bool]]] = {}
        self.lines_order = -1
        self.line_order: dict[str, list[int]] = {}  # order of each line's last change, as far as is known here
        self.cores: list[str] = []
        self.cores_at = 0
        self.ailing: frozenset[str] = frozenset()
        self.ailing_at = 0

    def _turn(self) -> int:
        self.at += 1
        return self.at

    def set_config(self, order: int, document: dict) -> None:
        """The configuration of the log's entry `order`; what is not newer is left out.

        Only items that are the very objects of the document before count as unchanged at once; where there are none,
        it came whole, and goes whole."""
        before = self.config
        if before is not None and order <= before[0]:
            return
        self.config = order, document
        self._turn()
        known = {id(item) for item in before[1]["objects"]} if before else set()
        change = difference(before[1], document) if any(id(item) in known for item in document["objects"]) else None
        if change is None:
            self.changes.clear()
            self.sizes.clear()
            return
        whole = self._whole(document)
        self.changes.append((before[0], change, size(change)))
        while self.changes and (len(self.changes) > CHANGES or sum(size for _, _, size in self.changes) >= whole):
            self.changes.popleft()

    def _whole(self, document: dict) -> int:
        """Bytes of the whole document; items that stood in the one before, which still lives, are not counted anew."""
        items = document["objects"]
        self.sizes = {id(item): self.sizes.get(id(item)) or size(item) for item in items}
        return size(document | {"objects": []}) + sum(self.sizes.values()) + max(0, len(items) - 1)

    def set_cores(self, cores: list[str]) -> None:
        """Tell the core machines from now on, if they are others than before."""
        if cores != self.cores:
            self.cores, self.cores_at = cores, self._turn()

    def set_ailing(self, ailing: frozenset[str]) -> bool:
        """The nodes that this core holds ailing; says whether they are others than before."""
        if ailing == self.ailing:
            return False
        self.ailing, self.ailing_at = ailing, self._turn()
        return True

    def set_nodes(self, order: tuple[int, int], nodes: dict[str, Node], read: bool = False) -> bool:
        """A newer whole list; says whether it differs from what stood. One that this machine `read` itself and that
        is like its last one keeps that one's order: at a new one every other core would ask for it again."""
        if order <= self.nodes_order:
            return False
        first, before = not self.held, self.nodes
        fresh = {id for id, node in nodes.items() if (old := before.get(id)) is None or differ(old, node)}
        fresh |= before.keys() - nodes.keys()
        self.nodes = nodes
        if read and not fresh and order[0] == self.nodes_order[0]:
            return False
        turn = self._turn()
        self.nodes_order, self.held[order] = order, turn
        self.node_at |= dict.fromkeys(fresh, turn)
        if len(self.held) > HELD:
            del self.held[next(iter(self.held))]
        oldest = next(iter(self.held.values()))
        self.node_at = {id: at for id, at in self.node_at.items() if id in nodes or at > oldest}
        return first or bool(fresh)

    def set_lines(self, order: int, service: str, changes: dict[int, tuple[str, bool]]) -> None:
        """Owner lines of a service that changed with the log's entry `order`: slice -> (node's id, open)."""
        self.lines_order = max(order, self.lines_order)
        lines = self.lines.setdefault(service, [("", False)] * SLICES)
        at = self.line_order.setdefault(service, [-1] * SLICES)
        self._turn()
        for slice, line in changes.items():
            lines[slice], at[slice] = line, order

    def since(self, asked: dict, now: float) -> dict | None:
        """What the cluster view lacks that `asked`, or None.

        By its orders; cores and ailing nodes go by the turns of this board."""
        at = asked["at"] if asked["epoch"] == self.epoch and asked["at"] <= self.at else 0
        if at >= self.at:
            return None
        message: dict = {"epoch": self.epoch, "at": self.at}
        if self.cores_at > at:
            message["cores"] = self.cores
        if self.ailing_at > at:
            message["ailing"] = sorted(self.ailing)
        if self.config is not None and (has := asked.get("config", -1)) < self.config[0]:
            message["config"] = {"order": self.config[0]} | self._config(has)
        if (held := tuple(asked.get("nodes", (-1, -1)))) < self.nodes_order:
            message["nodes"] = self._nodes(held, now)
        if (order := asked.get("lines", -1)) < self.lines_order:
            message["lines"] = self._lines(order)
        return message

    def provisional(self, nodes: dict[str, Node], now: float) -> dict | None:
        """All that stands here for a cluster view that is bare, with `nodes` where no leader's list came.

        None if that would serve nothing."""
        message = self.since({"epoch": "", "at": 0}, now) or {}
        if "nodes" not in message:
            found = {id: entry(n, now) for id, n in nodes.items()}
            message["nodes"] = {"order": [0, 0], "full": True, "gone": [], "set": found}
        return message if "config" in message and message["nodes"]["set"] else None

    def _config(self, has: int) -> dict:
        """The changes from the order that a cluster view `has`, if all of them are kept; else the document."""
        changes = [change for base, change, _ in self.changes if base >= has]
        if changes and self.changes[-len(changes)][0] == has:
            return {"base": has, "changes": changes}
        return {"document": self.config[1]}

    def _nodes(self, has: tuple[int, int], now: float) -> dict:
        """What changed since the list that a cluster view `has`, if that is held; else the whole list."""
        turn, full = self.held.get(has, 0), has not in self.held
        return {
            "order": list(self.nodes_order),
            "full": full,
            "set": {id: entry(n, now) for id, n in self.nodes.items() if full or self.node_at[id] > turn},
            "gone": [] if full else [id for id, at in self.node_at.items() if at > turn and id not in self.nodes],
        }

    def _lines(self, has: int) -> dict:
        """The owner lines that changed after the order that a cluster view `has`."""
        found = {service: runs(self.lines[service], orders, has) for service, orders in self.line_order.items()}
        return {"order": self.lines_order, "set": {service: lines for service, lines in found.items() if lines}}


def size(value: dict) -> int:
    """Bytes on the wire."""
    return len(json.dumps(value, separators=(",", ":")))


def differ(old: Node, new: Node) -> bool:
    """Whether a cluster view that has the one must hear of the other."""
    return (old.address, old.service, old.zone, old.capacity, old.draining) != (
        new.address,
        new.service,
        new.zone,
        new.capacity,
        new.draining,
    ) or new.cold_until > old.cold_until + COLDER


def runs(lines: list[tuple[str, bool]], orders: list[int], order: int) -> list[list]:
    """Lines that changed after `order`, neighbours alike as one: [first, last, owner, open].

    >>> runs([("a", True), ("a", True), ("b", False)], [2, 2, 3], 1)
    [[0, 1, 'a', 1], [2, 2, 'b', 0]]
    """
    found: list[list] = []
    for slice, (owner, opened) in enumerate(lines):
        if orders[slice] <= order:
            continue
        if found and found[-1][1] == slice - 1 and found[-1][2:] == [owner, int(opened)]:
            found[-1][1] = slice
        else:
            found.append([slice, slice, owner, int(opened)])
    return found
