"""Which nodes a keeper may call, and which surely hold nothing any more, by the platform's list and by their ports."""

from __future__ import annotations

from collections.abc import Mapping, Set as AbstractSet

from knotwalk.discovery.view_types import Node
from knotwalk.leases.orders import REFUSED, Grant, Release, Status

# A port that refuses twice so far apart (s), and nothing heard between, is of a process that is gone.
REFUSED_SPAN = 0.2
# A crashed node stays on the list for some seconds; one that is on it for so long (s) after that lives after all.
DEAD_MOST = 20.0
# A node that the list drops counts as ended if the list had it for so long (s). A list that lags more than the last one
# may lack what has just started; the lag is a second or two.
LISTED_LEAST = 5.0


class NodeLiveness:
    """What the list and the ends of calls tell of nodes. Times are seconds of one steady clock."""

    def __init__(self) -> None:
        self.known: dict[str, tuple[str, int]] = {}  # addresses, gone nodes' too
        self._nodes: dict[str, Node] = {}
        self._listed: dict[str, float] = {}  # since when the list has had a node
        self._taken: dict[tuple[str, int], int] = {}  # how many listed nodes have an address
        self._gone: set[str] = set()  # dropped by the list, and surely ended
        self._refused: dict[str, float] = {}  # the first of refusals in a row
        self._dead: dict[str, float] = {}  # refused often enough, since when

    def listed(self, now: float, nodes: Mapping[str, Node]) -> bool:
        """Take the platform's list, whole; whether that changes what may be called or is cleared."""
        before = self._nodes
        self._nodes = dict(nodes)
        changed = bool(before.keys() ^ nodes.keys())
        for id in before.keys() - nodes.keys():
            if now - self._listed.pop(id) >= LISTED_LEAST:
                self._gone.add(id)
        self._taken = {}
        for id, node in nodes.items():
            self._listed.setdefault(id, now)
            self._taken[node.address] = self._taken.get(node.address, 0) + 1
            self._gone.discard(id)
            if self.known.get(id, node.address) != node.address or now - self._dead.get(id, now) > DEAD_MOST:
                self._dead.pop(id, None)
                self._refused.pop(id, None)
                changed = True
            self.known[id] = node.address
        return changed

    @property
    def crowded(self) -> bool:
        """Whether so many nodes are known that are not listed that `forget` is worth its while."""
        return len(self.known) > 4 * len(self._nodes) + 64

    def forget(self, holders: AbstractSet[str]) -> None:
        """Forget what is neither listed nor among `holders`."""
        named = holders | self._nodes.keys()
        self.known = {id: address for id, address in self.known.items() if id in named}
        self._gone &= named
        self._dead = {id: at for id, at in self._dead.items() if id in named}

    def heard(self, now: float, order: Grant | Release, status: Status) -> bool:
        """How a call ended; whether the node's process is found to be gone by it."""
        id = order.node
        if status == REFUSED and self.known.get(id) == order.address:
            if now - self._refused.setdefault(id, now) >= REFUSED_SPAN and id not in self._dead:
                self._dead[id] = now
                return True
        elif isinstance(status, int):
            self._refused.pop(id, None)
        return False

    def dead(self, id: str) -> bool:
        """Whether a node that the list may still have is known to be gone by its port."""
        return id in self._dead

    def ended(self, id: str) -> bool:
        """Whether a node surely holds nothing any more and can be given nothing."""
        if id in self._dead:
            return True
        # Where another has its address, a late renewal may have reached that one.
        return id in self._gone and not self._taken.get(self.known[id])

    def usable(self, id: str) -> bool:
        """Whether a node can be granted keys: listed, not known to be gone, and alone at its address."""
        node = self._nodes.get(id)
        return node is not None and id not in self._dead and self._taken[node.address] == 1
