"""The cluster view that the core spreads and the edges act on: configuration, nodes, owner lines; changes, not wholes.

A `Board` (`discovery.view_publisher`) stands in each core program; a `ClusterView` in each edge program. Each topic has
an order that only rises (the index in the agreed log; for nodes the poller's term and turn), so a cluster view never
goes back, whichever core it hears. A cluster view that has nothing yet may begin with a provisional one, from a core
that only just started. Of that one only the configuration has an order, since it is committed; lists and lines of any
fresh core replace it.
"""

from __future__ import annotations

from knotwalk.configuration.documents import Invalid, patched, read_configuration
from knotwalk.configuration.index import Index
from knotwalk.configuration.objects import Configuration
from knotwalk.configuration.tenants import TenantKeys, tenant_keys
from knotwalk.discovery.view_types import Node, Sharding, node_of

NO_TENANTS = TenantKeys({})


class ClusterView:
    """What one edge knows. `apply` takes a core's message; `changed` tells what it changed."""

    def __init__(self) -> None:
        self.configuration: Configuration | None = None
        self.index: Index | None = None
        self.tenant_keys: TenantKeys = NO_TENANTS
        self.nodes: dict[str, Node] = {}
        self.by_service: dict[str, list[Node]] = {}
        self.shardings: dict[str, Sharding] = {}
        self.cores: list[str] = []
        self.ailing: frozenset[str] = frozenset()
        self.config_order = -1
        self.nodes_order: tuple[int, int] = (-1, -1)
        self.lines_order = -1
        self.epoch, self.at = "", 0  # the board last heard, and how far
        self.provisional = False  # configuration or nodes are still those of a core that only just started
        self.fault = ""  # why the newest configuration told was not taken; the old one is then in force

    @property
    def whole(self) -> bool:
        """Whether there is enough to serve by."""
        return self.configuration is not None and (self.provisional or self.nodes_order >= (0, 0))

    @property
    def bare(self) -> bool:
        """Whether nothing was taken yet, so that a provisional cluster view is better than none."""
        return not self.provisional and (self.config_order, self.nodes_order, self.lines_order) == (-1, (-1, -1), -1)

    @property
    def unsure(self) -> bool:
        """Whether no fresh core's list or lines were taken yet."""
        return (self.nodes_order, self.lines_order) == ((-1, -1), -1) and (self.provisional or self.config_order < 0)

    def provide(self, now: float, message: dict) -> set[str]:
        """Take a provisional cluster view, whole, or nothing; topics changed, as of `apply`.

        Only who is unsure takes one, and a later one only if its configuration is newer. The order of its configuration
        is kept: committed, it is what every core's log has there, so nothing older is taken from then on, not even from
        a core that is fresh by an old leader's word. The others have none, so any fresh core sends the whole of them.
        ValueError if it can't be taken.
        """
        if not self.unsure or message["config"]["order"] <= self.config_order:
            return set()
        made = ClusterView()
        changed = made.apply(now, {"epoch": "", "at": 0, **message})
        if not made.whole:
            raise ValueError(made.fault or "a provisional cluster view that is not whole")
        self.configuration, self.index, self.shardings = made.configuration, made.index, made.shardings
        self.tenant_keys = made.tenant_keys
        self.nodes, self.by_service, self.cores = made.nodes, made.by_service, made.cores or self.cores
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
            self._nodes(now, topic)
            changed.add("nodes")
        if (topic := message.get("lines")) and topic["order"] > self.lines_order:
            self._lines(topic)
            changed.add("lines")
        if self._ailing(message):
            changed.add("ailing")
        if changed & {"nodes", "ailing"}:
            for node in self.nodes.values():
                node.ailing = node.id in self.ailing
        self.fault = ""
        if (topic := message.get("config")) and topic["order"] > self.config_order:
            self._try_config(topic)
            changed |= set() if self.fault else {"config"}
        if not self.fault:
            self.epoch, self.at = message["epoch"], message["at"]
        self.provisional &= self.config_order < 0 or self.nodes_order < (0, 0)
        return changed

    def _ailing(self, message: dict) -> bool:
        """Take the nodes held ailing; whether they are others than before.

        Each core judges for itself; what another one told before does not count beside the word of this one.
        """
        ailing = frozenset(message.get("ailing", self.ailing if message["epoch"] == self.epoch else ()))
        changed = ailing != self.ailing
        self.ailing = ailing
        return changed

    def _try_config(self, topic: dict) -> None:
        """Take a configuration, or say in `fault` why it can't be taken."""
        try:
            self._config(topic)
        except (Invalid, KeyError, TypeError, ValueError, AttributeError) as error:
            self.fault = f"{type(error).__name__} {error}"

    def _config(self, topic: dict) -> None:
        """Take a configuration, whole or as changes of the very one that stands; nothing is in force before all is."""
        if "document" in topic:
            fresh = read_configuration(topic["document"])
        elif self.configuration is None or topic["base"] != self.config_order:
            raise ValueError(f"changes of {topic['base']}, but {self.config_order} stands")
        else:
            fresh = self.configuration
            for change in topic["changes"]:
                fresh = patched(fresh, change)  # for one route of 1,000: 1.4 ms, read anew 8.7, the index 0.5
        index, keys = Index(fresh), tenant_keys(fresh.tenants, self.tenant_keys)
        self.configuration, self.index, self.config_order = fresh, index, topic["order"]
        self.tenant_keys = keys

    def _nodes(self, now: float, topic: dict) -> None:
        gone = set(self.nodes) - set(topic["set"]) if topic["full"] else set(topic["gone"])
        for id in gone:
            self.nodes.pop(id, None)
        for id, raw in topic["set"].items():
            fresh = node_of(id, raw, now)
            if (old := self.nodes.get(id)) is None or old.address != fresh.address or old.service != fresh.service:
                self.nodes[id] = fresh
            else:
                old.draining, old.capacity, old.zone = fresh.draining, fresh.capacity, fresh.zone
                old.cold_until = fresh.cold_until
        self.by_service = {}
        for node in self.nodes.values():
            self.by_service.setdefault(node.service, []).append(node)
        for sharding in self.shardings.values():
            for line in sharding.lines:
                line.node = self.nodes.get(line.owner)
        self.nodes_order = tuple(topic["order"])

    def _lines(self, topic: dict) -> None:
        if self.lines_order < 0:
            self.shardings = {}  # provisional ones
        for service, runs in topic["set"].items():
            sharding = self.shardings.setdefault(service, Sharding())
            for first, last, owner, opened in runs:
                for line in sharding.lines[first : last + 1]:
                    line.owner, line.open, line.node = owner, bool(opened), self.nodes.get(owner)
        self.lines_order = topic["order"]

    def ask(self) -> dict:
        """What to tell a core so that it sends only what is new; after a fault the configuration is wanted whole."""
        return {
            "epoch": self.epoch,
            "at": self.at,
            "config": -1 if self.fault else self.config_order,
            "nodes": self.nodes_order,
            "lines": self.lines_order,
        } | ({"bare": True} if self.bare else {"provisional": True} if self.unsure else {})
