"""Which nodes a keeper can call, by the platform's list and by how its calls end.

None of it says that a node has ended. A port that refuses may be a firewall's word for a process that lives, and a list
may lack a node that runs on. So this module never clears a holder of keys: that takes a release or time
(`slice_tenure`). It says who can be called, and to whom placement should give no more keys for now.
"""

from __future__ import annotations

from collections.abc import Mapping, Set as AbstractSet

from knotwalk.discovery.view_types import Node
from knotwalk.leases.orders import REFUSED, UNSENT, Grant, Release, Status

# A node whose port refuses twice so far apart (s), and nothing heard between, counts as unreachable. Once may be a full
# queue of connections.
REFUSED_SPAN = 0.2
# A node that has not answered a grant for so long (s) is in doubt; answers take some ms, a lost packet 0.2 s. What
# is asked of it meanwhile must not make its holds longer: if it has crashed, the keys wait for each of them.
DOUBT = 0.3
# A node that isn't reached gets no more keys, so nothing is sent there either, and nothing tells when it is back. After
# so long (s) without a call it may be given some again; a crashed one has left the platform's list by then.
UNREACHABLE_MOST = 10.0


class NodeLiveness:
    """What the list and the ends of calls tell of nodes. Times are seconds of one steady clock."""

    def __init__(self) -> None:
        self.known: dict[str, tuple[str, int]] = {}  # addresses, of nodes that left the list too
        self._nodes: dict[str, Node] = {}
        self._taken: dict[tuple[str, int], int] = {}  # how many listed nodes have an address
        self._refused: dict[str, float] = {}  # the first of refusals in a row
        self._unreachable: dict[str, float] = {}  # the last call that was not answered
        self._since: dict[str, float] = {}  # of these: the first one in a row
        self._owing: dict[str, float] = {}  # nodes asked since their last call ended, and when they were first

    def listed(self, now: float, nodes: Mapping[str, Node]) -> bool:
        """Take the platform's list, whole; whether that changes what may be called."""
        before = self._nodes
        self._nodes = dict(nodes)
        changed = bool(before.keys() ^ nodes.keys())
        self._taken = {}
        for id, node in nodes.items():
            self._taken[node.address] = self._taken.get(node.address, 0) + 1
            if (
                self.known.get(id, node.address) != node.address
                or now - self._unreachable.get(id, now) > UNREACHABLE_MOST
            ):
                self._forgive(id)
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
        self._refused = {id: at for id, at in self._refused.items() if id in named}
        self._unreachable = {id: at for id, at in self._unreachable.items() if id in named}
        self._since = {id: at for id, at in self._since.items() if id in named}

    def called(self, now: float, order: Grant) -> None:
        """A grant is ordered now."""
        self._owing.setdefault(order.node, now)

    def owes(self, id: str) -> bool:
        """Whether the node has been asked since its last answer."""
        return id in self._owing

    def doubted(self, now: float, id: str) -> bool:
        """Whether the node owes an answer for longer than DOUBT, or is unreachable."""
        return id in self._unreachable or self._owing.get(id, now) < now - DOUBT

    def heard(self, now: float, order: Grant | Release, status: Status) -> bool:
        """How a call ended; whether the node is found to be unreachable by it, and was not before."""
        id = order.node
        self._owing.pop(id, None)
        if status == UNSENT or self.known.get(id) != order.address:
            return False
        if isinstance(status, int):
            self._forgive(id)
            return False
        if status == REFUSED and now - self._refused.setdefault(id, now) < REFUSED_SPAN:
            return False
        found = id not in self._unreachable
        self._unreachable[id] = now
        self._since.setdefault(id, now)
        return found

    def _forgive(self, id: str) -> None:
        self._refused.pop(id, None)
        self._unreachable.pop(id, None)
        self._since.pop(id, None)

    def unreachable(self, id: str) -> bool:
        """Whether the last calls to a node were refused, or the last one was not answered."""
        return id in self._unreachable

    def unreached(self, now: float) -> dict[str, float]:
        """The listed nodes that are not reached, by the seconds since the first call in a row that failed."""
        return {id: now - at for id, at in self._since.items() if id in self._nodes}

    def usable(self, id: str) -> bool:
        """Whether a node may be granted keys: listed, and alone at its address."""
        node = self._nodes.get(id)
        return node is not None and self._taken[node.address] == 1
