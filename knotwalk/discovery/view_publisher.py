"""Publishes a core's view of the cluster to edges: configuration, nodes and slice assignments, as changes.

Its counterpart in an edge is `cluster_view.ClusterView`, which explains how the orders of topics keep views from going
back in time.
"""

from __future__ import annotations

import json
from collections import deque

from knotwalk.configuration.documents import diff_documents
from knotwalk.discovery.view_types import SLICE_COUNT, Node, node_to_wire

# Number of configuration changes that are kept to be sent on their own. Together they stay smaller than the whole
# document, so they at most double a publisher's memory for it. Bursts bring 3 to 12 changes a second, and an edge calls
# at least once a second. An edge that is 32 changes behind was disconnected, and the whole document is then one of the
# smaller things that it lacks.
MAX_KEPT_CHANGES = 32
# Number of node lists for which the changes since then are known; as above, a rollout brings one list a second.
MAX_KEPT_NODE_LISTS = 32
# A node is sent again once its warm-up ends this much later than last sent. The list's value is up to one heartbeat
# (1.5 s) old, so smaller differences mean nothing.
MIN_COLD_CHANGE_S = 2.0


class ViewPublisher:
    """What one core publishes, with a revision for each change; `changes_since` is what a cluster view lacks.

    An order identifies a state, whichever core publishes it: the configuration and the assignments as of an entry of
    the log, the node list as read by one leader. So what a cluster view lacks follows from its orders, even if it has
    heard from another core before.
    """

    def __init__(self, epoch: str):
        self.epoch, self.revision = epoch, 1
        self.config: tuple[int, dict] | None = None
        self.item_sizes: dict[int, int] = {}  # size in bytes of each item of the configuration, by `id` of the item
        self.changes: deque[tuple[int, dict, int]] = deque()  # oldest first: (order of the base, change, size in bytes)
        self.nodes: dict[str, Node] = {}
        self.nodes_order = (-1, -1)
        self.kept_lists: dict[tuple[int, int], int] = {}  # revision by order of the most recent node lists
        # Revision of a node's last change; of removed nodes too, back to the oldest kept list.
        self.node_revisions: dict[str, int] = {}
        self.assignments: dict[str, list[tuple[str, bool]]] = {}
        self.assignments_order = -1
        self.assignment_orders: dict[str, list[int]] = {}  # order of the last known change of each slice
        self.cores: list[str] = []
        self.cores_revision = 0
        self.outliers: frozenset[str] = frozenset()
        self.outliers_revision = 0

    def _next_revision(self) -> int:
        self.revision += 1
        return self.revision

    def set_config(self, order: int, document: dict) -> None:
        """Set the configuration of the log's entry `order`, unless it is older than the current one.

        Items that are the same objects as in the previous document are known to be unchanged. If there are none, the
        document was received whole, and is sent whole."""
        previous = self.config
        if previous is not None and order <= previous[0]:
            return
        self.config = order, document
        self._next_revision()
        known = {id(item) for item in previous[1]["objects"]} if previous else set()
        change = (
            diff_documents(previous[1], document) if any(id(item) in known for item in document["objects"]) else None
        )
        if change is None:
            self.changes.clear()
            self.item_sizes.clear()
            return
        document_size = self._document_size(document)
        self.changes.append((previous[0], change, encoded_size(change)))
        while self.changes and (
            len(self.changes) > MAX_KEPT_CHANGES or sum(size for _, _, size in self.changes) >= document_size
        ):
            self.changes.popleft()

    def set_whole_config(self, order: int, document: dict) -> None:
        """The same without a difference from the previous configuration: edges get the document whole."""
        self.config = order, document
        self._next_revision()
        self.changes.clear()
        self.item_sizes.clear()

    def _document_size(self, document: dict) -> int:
        """Size of a document in bytes.

        Items taken over from the previous document, which still exists, are not measured again."""
        items = document["objects"]
        self.item_sizes = {id(item): self.item_sizes.get(id(item)) or encoded_size(item) for item in items}
        return encoded_size(document | {"objects": []}) + sum(self.item_sizes.values()) + max(0, len(items) - 1)

    def set_cores(self, cores: list[str]) -> None:
        """Set the addresses of the core machines to publish, if they have changed."""
        if cores != self.cores:
            self.cores, self.cores_revision = cores, self._next_revision()

    def set_outliers(self, outliers: frozenset[str]) -> bool:
        """Set the nodes that this core considers outliers; returns whether they have changed."""
        if outliers == self.outliers:
            return False
        self.outliers, self.outliers_revision = outliers, self._next_revision()
        return True

    def set_nodes(self, order: tuple[int, int], nodes: dict[str, Node], read: bool = False) -> bool:
        """Set a newer complete node list; returns whether it differs from the current one.

        A list that this machine `read` from the platform itself, and that equals its last one, keeps that one's order:
        at a new order all other cores would request the list again."""
        if order <= self.nodes_order:
            return False
        is_first, previous = not self.kept_lists, self.nodes
        changed = {id for id, node in nodes.items() if (old := previous.get(id)) is None or has_changed(old, node)}
        changed |= previous.keys() - nodes.keys()
        self.nodes = nodes
        if read and not changed and order[0] == self.nodes_order[0]:
            return False
        revision = self._next_revision()
        self.nodes_order, self.kept_lists[order] = order, revision
        self.node_revisions |= dict.fromkeys(changed, revision)
        if len(self.kept_lists) > MAX_KEPT_NODE_LISTS:
            del self.kept_lists[next(iter(self.kept_lists))]
        oldest = next(iter(self.kept_lists.values()))
        self.node_revisions = {
            id: changed_at for id, changed_at in self.node_revisions.items() if id in nodes or changed_at > oldest
        }
        return is_first or bool(changed)

    def set_assignments(self, order: int, service: str, changes: dict[int, tuple[str, bool]]) -> None:
        """Set the assignments of a service that the log's entry `order` changed: slice -> (node id, whether open)."""
        self.assignments_order = max(order, self.assignments_order)
        assignments = self.assignments.setdefault(service, [("", False)] * SLICE_COUNT)
        orders = self.assignment_orders.setdefault(service, [-1] * SLICE_COUNT)
        self._next_revision()
        for slice, assignment in changes.items():
            assignments[slice], orders[slice] = assignment, order

    def changes_since(self, request: dict, now: float) -> dict | None:
        """The message with what a cluster view lacks, or None.

        `request` holds the view's positions. Topics are compared by their orders, cores and outliers by the revision of
        this publisher."""
        known_revision = request["at"] if request["epoch"] == self.epoch and request["at"] <= self.revision else 0
        if known_revision >= self.revision:
            return None
        message: dict = {"epoch": self.epoch, "at": self.revision}
        if self.cores_revision > known_revision:
            message["cores"] = self.cores
        if self.outliers_revision > known_revision:
            message["ailing"] = sorted(self.outliers)
        if self.config is not None and (known_order := request.get("config", -1)) < self.config[0]:
            message["config"] = {"order": self.config[0]} | self._config_since(known_order)
        if (known_list := tuple(request.get("nodes", (-1, -1)))) < self.nodes_order:
            message["nodes"] = self._nodes_since(known_list, now)
        if (known_order := request.get("lines", -1)) < self.assignments_order:
            message["lines"] = self._assignments_since(known_order)
        return message

    def provisional_view(self, nodes: dict[str, Node], now: float) -> dict | None:
        """Everything this core has, for a cluster view that is empty, with `nodes` where no leader's list has arrived.

        None if an edge could serve nothing by it."""
        message = self.changes_since({"epoch": "", "at": 0}, now) or {}
        if "nodes" not in message:
            provisional_nodes = {id: node_to_wire(node, now) for id, node in nodes.items()}
            message["nodes"] = {"order": [0, 0], "full": True, "gone": [], "set": provisional_nodes}
        return message if "config" in message and message["nodes"]["set"] else None

    def _config_since(self, known_order: int) -> dict:
        """The changes since the order `known_order`, if all of them are kept; else the whole document."""
        changes = [change for base, change, _ in self.changes if base >= known_order]
        if changes and self.changes[-len(changes)][0] == known_order:
            return {"base": known_order, "changes": changes}
        return {"document": self.config[1]}

    def _nodes_since(self, known_list: tuple[int, int], now: float) -> dict:
        """The changes since the list `known_list`, if they are known; else the whole list."""
        revision, full = self.kept_lists.get(known_list, 0), known_list not in self.kept_lists
        return {
            "order": list(self.nodes_order),
            "full": full,
            "set": {
                id: node_to_wire(node, now)
                for id, node in self.nodes.items()
                if full or self.node_revisions[id] > revision
            },
            "gone": []
            if full
            else [
                id for id, changed_at in self.node_revisions.items() if changed_at > revision and id not in self.nodes
            ],
        }

    def _assignments_since(self, known_order: int) -> dict:
        """The assignments that changed after the order `known_order`."""
        runs = {
            service: assignment_runs(self.assignments[service], orders, known_order)
            for service, orders in self.assignment_orders.items()
        }
        return {
            "order": self.assignments_order,
            "set": {service: changed for service, changed in runs.items() if changed},
        }


def encoded_size(value: dict) -> int:
    """Size in bytes as sent."""
    return len(json.dumps(value, separators=(",", ":")))


def has_changed(old: Node, new: Node) -> bool:
    """Whether a cluster view that has `old` must be sent `new`."""
    return (old.address, old.service, old.zone, old.capacity, old.draining) != (
        new.address,
        new.service,
        new.zone,
        new.capacity,
        new.draining,
    ) or new.cold_until > old.cold_until + MIN_COLD_CHANGE_S


def assignment_runs(assignments: list[tuple[str, bool]], orders: list[int], order: int) -> list[list]:
    """The assignments that changed after `order`, with equal neighbours merged: [first, last, owner, open].

    >>> assignment_runs([("a", True), ("a", True), ("b", False)], [2, 2, 3], 1)
    [[0, 1, 'a', 1], [2, 2, 'b', 0]]
    """
    runs: list[list] = []
    for slice, (owner, is_open) in enumerate(assignments):
        if orders[slice] <= order:
            continue
        if runs and runs[-1][1] == slice - 1 and runs[-1][2:] == [owner, int(is_open)]:
            runs[-1][1] = slice
        else:
            runs.append([slice, slice, owner, int(is_open)])
    return runs
