"""The cluster view that the core spreads and the edges act on: configuration, nodes, owner lines; changes, not wholes.

A `Board` stands in each core program; a `ClusterView` in each edge program. Every topic has an order that only rises
(the index in the agreed log; for nodes the poller's term and turn), so a cluster view never goes back, whichever core
it hears. A cluster view that has nothing yet may begin with a provisional one, from a core that only just started. Of
that one only the configuration has an order, since it is committed; lists and lines of any fresh core replace it.
"""

from __future__ import annotations

import json
from collections import deque
from dataclasses import dataclass, field

from knotwalk.configuration.index import Index
from knotwalk.configuration.objects import Configuration
from knotwalk.configuration.read import Invalid, difference, patched, read_configuration

KEYS = 65536
# Slices of a sharded service. Measured on a calm day: a hundredth of the keys takes a third of the requests, and of 512
# slices the busiest alone was more than a node; of 2,048 it is a third of one. Lines travel as runs, so most cost
# nothing.
SLICES = 2048
WIDTH = KEYS // SLICES
# Changes of the configuration kept to be sent alone. Together they stay smaller than the whole, so a board
# keeps one configuration's bytes of them at most. Storms bring some 3 to 12 a second, and an edge calls once a
# second at least; who is 32 behind was cut off, and the whole is then one of the smaller things it lacks.
CHANGES = 32
HELD = 32  # lists of nodes from which a board can still tell what changed; as above, a release brings one a second
COLDER = 2.0  # s by which a node must be cold for longer than told: the list's figure is up to a beat of 1.5 s old


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


class ClusterView:
    """What one edge knows. `apply` takes a core's message; `changed` tells what it changed."""

    def __init__(self) -> None:
        self.configuration: Configuration | None = None
        self.index: Index | None = None
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
        """Take a provisional cluster view, whole, or nothing: only who is unsure does, and a later one only if its
        configuration is newer. Topics changed, as of `apply`.

        The order of its configuration is kept: committed, it is what every core's log has there, so nothing older is
        taken from then on, not even from a core that is fresh by an old leader's word. The others have none, so any
        fresh core sends the whole of them. ValueError if it can't be taken."""
        if not self.unsure or message["config"]["order"] <= self.config_order:
            return set()
        made = ClusterView()
        changed = made.apply(now, {"epoch": "", "at": 0, **message})
        if not made.whole:
            raise ValueError(made.fault or "a provisional cluster view that is not whole")
        self.configuration, self.index, self.shardings = made.configuration, made.index, made.shardings
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
        # Each core judges for itself; what another one told before does not count beside the word of this one.
        ailing = frozenset(message.get("ailing", self.ailing if message["epoch"] == self.epoch else ()))
        if ailing != self.ailing:
            self.ailing = ailing
            changed.add("ailing")
        if changed & {"nodes", "ailing"}:
            for node in self.nodes.values():
                node.ailing = node.id in self.ailing
        self.fault = ""
        if (topic := message.get("config")) and topic["order"] > self.config_order:
            try:
                self._config(topic)
                changed.add("config")
            except (Invalid, KeyError, TypeError, ValueError, AttributeError) as error:
                self.fault = f"{type(error).__name__} {error}"
        if not self.fault:
            self.epoch, self.at = message["epoch"], message["at"]
        self.provisional &= self.config_order < 0 or self.nodes_order < (0, 0)
        return changed

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
        index = Index(fresh)
        self.configuration, self.index, self.config_order = fresh, index, topic["order"]

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
            turn, full = self.held.get(held, 0), held not in self.held
            message["nodes"] = {
                "order": list(self.nodes_order),
                "full": full,
                "set": {id: entry(n, now) for id, n in self.nodes.items() if full or self.node_at[id] > turn},
                "gone": [] if full else [id for id, at in self.node_at.items() if at > turn and id not in self.nodes],
            }
        if (order := asked.get("lines", -1)) < self.lines_order:
            message["lines"] = {
                "order": self.lines_order,
                "set": {
                    service: found
                    for service, orders in self.line_order.items()
                    if (found := runs(self.lines[service], orders, order))
                },
            }
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
