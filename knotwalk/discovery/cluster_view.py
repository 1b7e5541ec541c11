"""An edge's copy of the cluster view that the core distributes: configuration, nodes and slice assignments.

Cores send changes rather than whole views. Each core process has a `ViewPublisher` (`discovery.view_publisher`), each
edge process a `ClusterView`. Every topic carries an order that only rises (the index in the replicated log; for nodes
the poller's term and turn), so a view never goes back in time, whichever core it hears from.

An empty view may start from a provisional one, sent by a core that has only just started. Only the configuration of a
provisional view has an order, because it is committed; the nodes and assignments of any fresh core replace it.
"""

from __future__ import annotations

from knotwalk.configuration.documents import InvalidConfigurationError, apply_patch, parse_configuration
from knotwalk.configuration.index import RouteIndex
from knotwalk.configuration.objects import Configuration
from knotwalk.configuration.tenants import TenantKeys, tenant_keys
from knotwalk.discovery.view_types import Node, ServiceAssignments, node_from_wire

NO_TENANTS = TenantKeys({})


class ClusterView:
    """What one edge knows. `apply` takes a core's message; `changed` tells what it changed."""

    def __init__(self) -> None:
        self.configuration: Configuration | None = None
        self.index: RouteIndex | None = None
        self.tenant_keys: TenantKeys = NO_TENANTS
        self.nodes: dict[str, Node] = {}
        self.nodes_by_service: dict[str, list[Node]] = {}
        self.assignments: dict[str, ServiceAssignments] = {}
        self.cores: list[str] = []
        self.outliers: frozenset[str] = frozenset()
        self.config_order = -1
        self.nodes_order: tuple[int, int] = (-1, -1)
        self.assignments_order = -1
        self.epoch, self.revision = "", 0  # the board last heard, and how far
        self.provisional = False  # configuration or nodes are still those of a core that only just started
        self.config_error = ""  # why the newest configuration told was not taken; the old one is then in force

    @property
    def is_complete(self) -> bool:
        """Whether there is enough to serve by."""
        return self.configuration is not None and (self.provisional or self.nodes_order >= (0, 0))

    @property
    def is_empty(self) -> bool:
        """Whether nothing was taken yet, so that a provisional cluster view is better than none."""
        return not self.provisional and (self.config_order, self.nodes_order, self.assignments_order) == (
            -1,
            (-1, -1),
            -1,
        )

    @property
    def is_unconfirmed(self) -> bool:
        """Whether no fresh core's list or lines were taken yet."""
        return (self.nodes_order, self.assignments_order) == ((-1, -1), -1) and (
            self.provisional or self.config_order < 0
        )

    def apply_provisional(self, now: float, message: dict) -> set[str]:
        """Take a provisional cluster view, whole, or nothing; topics changed, as of `apply`.

        Only who is unsure takes one, and a later one only if its configuration is newer. The order of its configuration
        is kept: committed, it is what every core's log has there, so nothing older is taken from then on, not even from
        a core that is fresh by an old leader's word. The others have none, so any fresh core sends the whole of them.
        ValueError if it can't be taken.
        """
        if not self.is_unconfirmed or message["config"]["order"] <= self.config_order:
            return set()
        made = ClusterView()
        changed = made.apply(now, {"epoch": "", "at": 0, **message})
        if not made.is_complete:
            raise ValueError(made.config_error or "a provisional cluster view that is not whole")
        self.configuration, self.index, self.assignments = made.configuration, made.index, made.assignments
        self.tenant_keys = made.tenant_keys
        self.nodes, self.nodes_by_service, self.cores = made.nodes, made.nodes_by_service, made.cores or self.cores
        self.config_order, self.provisional = made.config_order, True
        return changed

    def apply(self, now: float, message: dict) -> set[str]:
        """Take what a core's board sent; topics changed among `config`, `nodes`, `lines`, `cores`, `ailing`.

        What is older than what stands is left out, topic by topic. Only when all was taken does the cluster view count
        as having heard so far; a configuration that can't be taken leaves `fault`, and is asked for whole."""
        changed = set()
        if (cores := message.get("cores")) and cores != self.cores:
            self.cores = cores
            changed.add("cores")
        if (topic := message.get("nodes")) and tuple(topic["order"]) > self.nodes_order:
            self._apply_nodes(now, topic)
            changed.add("nodes")
        if (topic := message.get("lines")) and topic["order"] > self.assignments_order:
            self._apply_assignments(topic)
            changed.add("lines")
        if self._apply_outliers(message):
            changed.add("ailing")
        if changed & {"nodes", "ailing"}:
            for node in self.nodes.values():
                node.is_outlier = node.id in self.outliers
        self.config_error = ""
        if (topic := message.get("config")) and topic["order"] > self.config_order:
            self._try_config(topic)
            changed |= set() if self.config_error else {"config"}
        if not self.config_error:
            self.epoch, self.revision = message["epoch"], message["at"]
        self.provisional &= self.config_order < 0 or self.nodes_order < (0, 0)
        return changed

    def _apply_outliers(self, message: dict) -> bool:
        """Take the nodes held ailing; whether they are others than before.

        Each core judges for itself; what another one told before does not count beside the word of this one.
        """
        ailing = frozenset(message.get("ailing", self.outliers if message["epoch"] == self.epoch else ()))
        changed = ailing != self.outliers
        self.outliers = ailing
        return changed

    def _try_config(self, topic: dict) -> None:
        """Take a configuration, or say in `fault` why it can't be taken."""
        try:
            self._apply_config(topic)
        except (InvalidConfigurationError, KeyError, TypeError, ValueError, AttributeError) as error:
            self.config_error = f"{type(error).__name__} {error}"

    def _apply_config(self, topic: dict) -> None:
        """Take a configuration, whole or as changes of the very one that stands; nothing is in force before all is."""
        if "document" in topic:
            fresh = parse_configuration(topic["document"])
        elif self.configuration is None or topic["base"] != self.config_order:
            raise ValueError(f"changes of {topic['base']}, but {self.config_order} stands")
        else:
            fresh = self.configuration
            for change in topic["changes"]:
                fresh = apply_patch(fresh, change)  # for one route of 1,000: 1.4 ms, read anew 8.7, the index 0.5
        index, keys = RouteIndex(fresh), tenant_keys(fresh.tenants, self.tenant_keys)
        self.configuration, self.index, self.config_order = fresh, index, topic["order"]
        self.tenant_keys = keys

    def _apply_nodes(self, now: float, topic: dict) -> None:
        gone = set(self.nodes) - set(topic["set"]) if topic["full"] else set(topic["gone"])
        for id in gone:
            self.nodes.pop(id, None)
        for id, raw in topic["set"].items():
            fresh = node_from_wire(id, raw, now)
            if (old := self.nodes.get(id)) is None or old.address != fresh.address or old.service != fresh.service:
                self.nodes[id] = fresh
            else:
                old.draining, old.capacity, old.zone = fresh.draining, fresh.capacity, fresh.zone
                old.cold_until = fresh.cold_until
        self.nodes_by_service = {}
        for node in self.nodes.values():
            self.nodes_by_service.setdefault(node.service, []).append(node)
        for service_assignments in self.assignments.values():
            for line in service_assignments.by_slice:
                line.node = self.nodes.get(line.owner)
        self.nodes_order = tuple(topic["order"])

    def _apply_assignments(self, topic: dict) -> None:
        if self.assignments_order < 0:
            self.assignments = {}  # provisional ones
        for service, runs in topic["set"].items():
            service_assignments = self.assignments.setdefault(service, ServiceAssignments())
            for first, last, owner, opened in runs:
                for line in service_assignments.by_slice[first : last + 1]:
                    line.owner, line.open, line.node = owner, bool(opened), self.nodes.get(owner)
        self.assignments_order = topic["order"]

    def positions(self) -> dict:
        """What to tell a core so that it sends only what is new; after a fault the configuration is wanted whole."""
        return {
            "epoch": self.epoch,
            "at": self.revision,
            "config": -1 if self.config_error else self.config_order,
            "nodes": self.nodes_order,
            "lines": self.assignments_order,
        } | ({"bare": True} if self.is_empty else {"provisional": True} if self.is_unconfirmed else {})
