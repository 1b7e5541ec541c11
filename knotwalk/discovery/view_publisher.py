"""What one core program tells edges of the cluster: configuration, nodes, owner lines; changes, not wholes.

Its counterpart at an edge is `cluster_view.ClusterView`, which says how orders of topics keep views from going back.
"""

from __future__ import annotations

import json
from collections import deque

from knotwalk.configuration.documents import diff_documents
from knotwalk.discovery.view_types import SLICE_COUNT, Node, node_to_wire

# Changes of the configuration kept to be sent alone. Together they stay smaller than the whole, so a board
# keeps one configuration's bytes of them at most. Storms bring some 3 to 12 a second, and an edge calls once a
# second at least; who is 32 behind was cut off, and the whole is then one of the smaller things it lacks.
MAX_KEPT_CHANGES = 32
MAX_KEPT_NODE_LISTS = (
    32  # lists of nodes from which a board can still tell what changed; as above, a release brings one a second
)
MIN_COLD_CHANGE_S = (
    2.0  # s by which a node must be cold for longer than told: the list's figure is up to a beat of 1.5 s old
)


class ViewPublisher:
    """What one core program has to tell, with a revision for each change; `since` is what a cluster view lacks.

    An order names one state, whichever board tells it: the configuration and the lines as of an entry of the log, the
    list as one leader read it. So what a cluster view lacks follows from its orders, also when it heard another board.
    """

    def __init__(self, epoch: str):
        self.epoch, self.revision = epoch, 1
        self.config: tuple[int, dict] | None = None
        self.item_sizes: dict[int, int] = {}  # bytes of each item of the configuration, by its object
        self.changes: deque[tuple[int, dict, int]] = deque()  # up to now: (order changed from, change, its bytes)
        self.nodes: dict[str, Node] = {}
        self.nodes_order = (-1, -1)
        self.kept_lists: dict[tuple[int, int], int] = {}  # the last orders of the list, and the turn of each
        self.node_revisions: dict[str, int] = {}  # turn of the last change by id; gone ones too, as far as `held` goes
        self.assignments: dict[str, list[tuple[str, bool]]] = {}
        self.assignments_order = -1
        self.assignment_orders: dict[str, list[int]] = {}  # order of each line's last change, as far as is known here
        self.cores: list[str] = []
        self.cores_revision = 0
        self.outliers: frozenset[str] = frozenset()
        self.outliers_revision = 0

    def _next_revision(self) -> int:
        self.revision += 1
        return self.revision

    def set_config(self, order: int, document: dict) -> None:
        """The configuration of the log's entry `order`; what is not newer is left out.

        Only items that are the very objects of the document before count as unchanged at once; where there are none,
        it came whole, and goes whole."""
        before = self.config
        if before is not None and order <= before[0]:
            return
        self.config = order, document
        self._next_revision()
        known = {id(item) for item in before[1]["objects"]} if before else set()
        change = diff_documents(before[1], document) if any(id(item) in known for item in document["objects"]) else None
        if change is None:
            self.changes.clear()
            self.item_sizes.clear()
            return
        whole = self._document_size(document)
        self.changes.append((before[0], change, encoded_size(change)))
        while self.changes and (
            len(self.changes) > MAX_KEPT_CHANGES or sum(size for _, _, size in self.changes) >= whole
        ):
            self.changes.popleft()

    def _document_size(self, document: dict) -> int:
        """Bytes of the whole document; items that stood in the one before, which still lives, are not counted anew."""
        items = document["objects"]
        self.item_sizes = {id(item): self.item_sizes.get(id(item)) or encoded_size(item) for item in items}
        return encoded_size(document | {"objects": []}) + sum(self.item_sizes.values()) + max(0, len(items) - 1)

    def set_cores(self, cores: list[str]) -> None:
        """Tell the core machines from now on, if they are others than before."""
        if cores != self.cores:
            self.cores, self.cores_revision = cores, self._next_revision()

    def set_outliers(self, outliers: frozenset[str]) -> bool:
        """The nodes that this core holds ailing; says whether they are others than before."""
        if outliers == self.outliers:
            return False
        self.outliers, self.outliers_revision = outliers, self._next_revision()
        return True

    def set_nodes(self, order: tuple[int, int], nodes: dict[str, Node], read: bool = False) -> bool:
        """A newer whole list; says whether it differs from what stood. One that this machine `read` itself and that
        is like its last one keeps that one's order: at a new one every other core would ask for it again."""
        if order <= self.nodes_order:
            return False
        first, before = not self.kept_lists, self.nodes
        fresh = {id for id, node in nodes.items() if (old := before.get(id)) is None or has_changed(old, node)}
        fresh |= before.keys() - nodes.keys()
        self.nodes = nodes
        if read and not fresh and order[0] == self.nodes_order[0]:
            return False
        turn = self._next_revision()
        self.nodes_order, self.kept_lists[order] = order, turn
        self.node_revisions |= dict.fromkeys(fresh, turn)
        if len(self.kept_lists) > MAX_KEPT_NODE_LISTS:
            del self.kept_lists[next(iter(self.kept_lists))]
        oldest = next(iter(self.kept_lists.values()))
        self.node_revisions = {id: at for id, at in self.node_revisions.items() if id in nodes or at > oldest}
        return first or bool(fresh)

    def set_assignments(self, order: int, service: str, changes: dict[int, tuple[str, bool]]) -> None:
        """Owner lines of a service that changed with the log's entry `order`: slice -> (node's id, open)."""
        self.assignments_order = max(order, self.assignments_order)
        lines = self.assignments.setdefault(service, [("", False)] * SLICE_COUNT)
        at = self.assignment_orders.setdefault(service, [-1] * SLICE_COUNT)
        self._next_revision()
        for slice, line in changes.items():
            lines[slice], at[slice] = line, order

    def changes_since(self, asked: dict, now: float) -> dict | None:
        """What the cluster view lacks that `asked`, or None.

        By its orders; cores and ailing nodes go by the turns of this board."""
        at = asked["at"] if asked["epoch"] == self.epoch and asked["at"] <= self.revision else 0
        if at >= self.revision:
            return None
        message: dict = {"epoch": self.epoch, "at": self.revision}
        if self.cores_revision > at:
            message["cores"] = self.cores
        if self.outliers_revision > at:
            message["ailing"] = sorted(self.outliers)
        if self.config is not None and (has := asked.get("config", -1)) < self.config[0]:
            message["config"] = {"order": self.config[0]} | self._config_since(has)
        if (held := tuple(asked.get("nodes", (-1, -1)))) < self.nodes_order:
            message["nodes"] = self._nodes_since(held, now)
        if (order := asked.get("lines", -1)) < self.assignments_order:
            message["lines"] = self._assignments_since(order)
        return message

    def provisional_view(self, nodes: dict[str, Node], now: float) -> dict | None:
        """All that stands here for a cluster view that is bare, with `nodes` where no leader's list came.

        None if that would serve nothing."""
        message = self.changes_since({"epoch": "", "at": 0}, now) or {}
        if "nodes" not in message:
            found = {id: node_to_wire(n, now) for id, n in nodes.items()}
            message["nodes"] = {"order": [0, 0], "full": True, "gone": [], "set": found}
        return message if "config" in message and message["nodes"]["set"] else None

    def _config_since(self, has: int) -> dict:
        """The changes from the order that a cluster view `has`, if all of them are kept; else the document."""
        changes = [change for base, change, _ in self.changes if base >= has]
        if changes and self.changes[-len(changes)][0] == has:
            return {"base": has, "changes": changes}
        return {"document": self.config[1]}

    def _nodes_since(self, has: tuple[int, int], now: float) -> dict:
        """What changed since the list that a cluster view `has`, if that is held; else the whole list."""
        turn, full = self.kept_lists.get(has, 0), has not in self.kept_lists
        return {
            "order": list(self.nodes_order),
            "full": full,
            "set": {id: node_to_wire(n, now) for id, n in self.nodes.items() if full or self.node_revisions[id] > turn},
            "gone": []
            if full
            else [id for id, at in self.node_revisions.items() if at > turn and id not in self.nodes],
        }

    def _assignments_since(self, has: int) -> dict:
        """The owner lines that changed after the order that a cluster view `has`."""
        found = {
            service: assignment_runs(self.assignments[service], orders, has)
            for service, orders in self.assignment_orders.items()
        }
        return {"order": self.assignments_order, "set": {service: lines for service, lines in found.items() if lines}}


def encoded_size(value: dict) -> int:
    """Bytes on the wire."""
    return len(json.dumps(value, separators=(",", ":")))


def has_changed(old: Node, new: Node) -> bool:
    """Whether a cluster view that has the one must hear of the other."""
    return (old.address, old.service, old.zone, old.capacity, old.draining) != (
        new.address,
        new.service,
        new.zone,
        new.capacity,
        new.draining,
    ) or new.cold_until > old.cold_until + MIN_COLD_CHANGE_S


def assignment_runs(lines: list[tuple[str, bool]], orders: list[int], order: int) -> list[list]:
    """Lines that changed after `order`, neighbours alike as one: [first, last, owner, open].

    >>> assignment_runs([("a", True), ("a", True), ("b", False)], [2, 2, 3], 1)
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
