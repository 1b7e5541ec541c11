"""Which node a request is offered to, waiting briefly if there is none; the choice itself is `choose`'s."""

from __future__ import annotations

from knotwalk.admission.admission import worth_offering, yields
from knotwalk.discovery.view_types import Node
from knotwalk.edge.choose import load, pick, seen
from knotwalk.edge.exchange import Exchange
from knotwalk.edge.forwarding_state import KEYS_UNSURE, ForwardingState, waits_until

# Seconds left below which a request is not offered any more: less than a trip to a node.
TOO_LATE = 0.004
# Of the drain time: a draining owner of keys gets requests so long; the rest is for the way of the list to us.
DRAIN_PART = 0.4


class NodeSelection(ForwardingState):
    """Finds the node for a request."""

    async def _node(
        self, exchange: Exchange, tried: set[str], may_have_run: bool, offered: bool
    ) -> tuple[Node | None, str]:
        """The node to offer the request to, waiting briefly if there is none; or None and the cause. `offered`: whether
        a node has had it already; only then does a further wait begin."""
        hold = min(
            waits_until(exchange, self.clock() if offered else exchange.begun),
            exchange.until - TOO_LATE,
            exchange.offer_until,
        )
        while True:
            now = self.clock()
            if exchange.until - now <= TOO_LATE:
                return None, "no time left"
            if exchange.gone or now > exchange.offer_until:
                return None, "the client is gone"
            if self.key_lapsed(exchange, now):
                return None, KEYS_UNSURE
            node, why = (
                self._owner(exchange, tried, now)
                if exchange.key >= 0
                else self._best(exchange, tried, now, may_have_run)
            )
            if node is not None:
                return node, ""
            if why == "full" or not await self._waited(exchange, self.waiting, hold):
                return None, why

    def _owner(self, exchange: Exchange, tried: set[str], now: float) -> tuple[Node | None, str]:
        sharding = self.view.assignments.get(exchange.service)
        line = sharding.assignment(exchange.key) if sharding is not None else None
        if line is None or line.node is None or not line.open or line.node.service != exchange.service:
            return None, "keys change hands"
        node = line.node
        known = seen(node)
        if known.shunned_until > now:
            return None, "its owner is not reached"
        if node.id in tried:
            return None, "its owner turned it away"
        if known.silent(now):
            return None, "its owner is silent"
        if not self._stays(node, now):
            return None, "its owner leaves"
        return (node, "") if self._worth(exchange, node, now) else (None, "full")

    def _stays(self, node: Node, now: float) -> bool:
        """Whether the node may still get requests, if nobody else can take them: it isn't draining, or not for long."""
        since = seen(node).draining_since
        return since is None or now - since < self.settings.bounds.drain_timeout * DRAIN_PART

    def _best(self, exchange: Exchange, tried: set[str], now: float, may_have_run: bool) -> tuple[Node | None, str]:
        nodes = self.view.nodes_by_service.get(exchange.service, [])
        size = max(exchange.length or 0, exchange.size)
        node = pick(nodes, now, self.settings.zone, self.luck, tried, size)
        if node is None:
            assert exchange.route is not None
            if exchange.route.idempotent and may_have_run:
                node = pick(nodes, now, self.settings.zone, self.luck, (), size)
            if node is None and not tried:
                node = min(
                    (n for n in nodes if n.draining and self._stays(n, now)), key=lambda n: load(n, now), default=None
                )
            if node is None:
                return None, "full" if tried else "no node"
        if self._worth(exchange, node, now):
            return node, ""
        for node in sorted((n for n in nodes if not n.draining and n.id not in tried), key=lambda n: load(n, now)):
            if seen(node).shunned_until <= now and not seen(node).silent(now) and self._worth(exchange, node, now):
                return node, ""
        return None, "full"

    def _worth(self, exchange: Exchange, node: Node, now: float) -> bool:
        assert exchange.route is not None
        known = seen(node)
        in_hand = known.usually(now) if yields(exchange.priority) else known.in_hand(now)
        return worth_offering(
            in_hand,
            node.capacity,
            now < node.cold_until,
            known.work,
            exchange.until - now,
            exchange.priority,
            not exchange.route.idempotent,
            exchange.route.target_latency,
        )
