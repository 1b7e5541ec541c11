"""Which nodes a GrantManager can call, by the platform's list and by the results of its calls.

Nothing here proves that a node has ended. A port that refuses may be a firewall in front of a running process, and a
list may lack a running node. So this module never clears a holder of keys: only a release or the passage of time does
(`slice_lease`). It tells which nodes can be called, and which placement should give no more keys for now.
"""

from __future__ import annotations

from collections.abc import Mapping, Set as AbstractSet

from knotwalk.discovery.view_types import Node
from knotwalk.leases.actions import REFUSED, UNSENT, Grant, Release, Status

# A node counts as unreachable if its port refuses twice this far apart with no answer between. A single refusal may
# mean a full queue of connections.
REFUSED_SPAN_S = 0.2
# A node that has not answered a grant for this long is in doubt; answers take some milliseconds, a lost packet 0.2 s.
# Calls made meanwhile must not extend its holds: if it has crashed, the keys stay unavailable for each of them.
DOUBT_S = 0.3
# An unreachable node gets no more keys, so nothing is sent there either, and nothing shows when it is back. After this
# long without a call it may be given keys again; by then a crashed node has left the platform's list.
MAX_UNREACHABLE_S = 10.0


class NodeLiveness:
    """What the platform's list and the results of calls say about nodes. Times are seconds of one monotonic clock."""

    def __init__(self) -> None:
        self.addresses: dict[str, tuple[str, int]] = {}  # id -> address, of nodes no longer listed too
        self._nodes: dict[str, Node] = {}
        self._nodes_by_address: dict[tuple[str, int], int] = {}  # how many listed nodes share an address
        self._first_refused_at: dict[str, float] = {}  # the first refusal in a row
        self._last_failed_at: dict[str, float] = {}  # the last call without an answer
        self._first_failed_at: dict[str, float] = {}  # the first of those in a row
        self._unanswered_since: dict[str, float] = {}  # since when the oldest call without a result is waiting

    def on_nodes_listed(self, now: float, nodes: Mapping[str, Node]) -> bool:
        """Take the platform's complete list; return whether that changes which nodes may be called."""
        previous = self._nodes
        self._nodes = dict(nodes)
        changed = bool(previous.keys() ^ nodes.keys())
        self._nodes_by_address = {}
        for id, node in nodes.items():
            self._nodes_by_address[node.address] = self._nodes_by_address.get(node.address, 0) + 1
            if (
                self.addresses.get(id, node.address) != node.address
                or now - self._last_failed_at.get(id, now) > MAX_UNREACHABLE_S
            ):
                self._clear_failures(id)
                changed = True
            self.addresses[id] = node.address
        return changed

    @property
    def should_forget(self) -> bool:
        """Whether enough unlisted nodes are known for `forget` to be worthwhile."""
        return len(self.addresses) > 4 * len(self._nodes) + 64

    def forget(self, holders: AbstractSet[str]) -> None:
        """Forget nodes that are neither listed nor among `holders`."""
        kept_ids = holders | self._nodes.keys()
        self.addresses = {id: address for id, address in self.addresses.items() if id in kept_ids}
        self._first_refused_at = {id: failed_at for id, failed_at in self._first_refused_at.items() if id in kept_ids}
        self._last_failed_at = {id: failed_at for id, failed_at in self._last_failed_at.items() if id in kept_ids}
        self._first_failed_at = {id: failed_at for id, failed_at in self._first_failed_at.items() if id in kept_ids}

    def on_grant_sent(self, now: float, grant: Grant) -> None:
        """Record that a grant is being sent."""
        self._unanswered_since.setdefault(grant.node, now)

    def owes_answer(self, id: str) -> bool:
        """Whether the node has been sent a grant since its last result."""
        return id in self._unanswered_since

    def is_doubted(self, now: float, id: str) -> bool:
        """Whether a grant to the node has been unanswered for longer than DOUBT_S, or the node is unreachable."""
        return id in self._last_failed_at or self._unanswered_since.get(id, now) < now - DOUBT_S

    def on_call_ended(self, now: float, call: Grant | Release, status: Status) -> bool:
        """Record the result of a call; return whether the node has become unreachable by it."""
        id = call.node
        self._unanswered_since.pop(id, None)
        if status == UNSENT or self.addresses.get(id) != call.address:
            return False
        if isinstance(status, int):
            self._clear_failures(id)
            return False
        if status == REFUSED and now - self._first_refused_at.setdefault(id, now) < REFUSED_SPAN_S:
            return False
        newly_unreachable = id not in self._last_failed_at
        self._last_failed_at[id] = now
        self._first_failed_at.setdefault(id, now)
        return newly_unreachable

    def _clear_failures(self, id: str) -> None:
        self._first_refused_at.pop(id, None)
        self._last_failed_at.pop(id, None)
        self._first_failed_at.pop(id, None)

    def is_unreachable(self, id: str) -> bool:
        """Whether the last calls to a node were refused, or the last one was not answered."""
        return id in self._last_failed_at

    def unreached(self, now: float) -> dict[str, float]:
        """Listed nodes that are not reached -> seconds since the first of the failed calls in a row."""
        return {id: now - failed_at for id, failed_at in self._first_failed_at.items() if id in self._nodes}

    def is_usable(self, id: str) -> bool:
        """Whether a node may be granted keys: it is listed, and the only one at its address."""
        node = self._nodes.get(id)
        return node is not None and self._nodes_by_address[node.address] == 1
