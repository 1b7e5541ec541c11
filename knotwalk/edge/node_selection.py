"""Selects the node that a request is offered to, and waits briefly if there is none; `choose` compares the nodes."""

from __future__ import annotations

from knotwalk.admission.admission import worth_offering, yields_to_higher_priority
from knotwalk.discovery.view_types import Node
from knotwalk.edge.choose import load, pick_node, stats_of
from knotwalk.edge.exchange import Exchange
from knotwalk.edge.forwarding_state import KEYS_UNSURE, ForwardingState, max_wait_until

# Time left below which a request is not offered any more: less than the way to a node.
MIN_TIME_LEFT_S = 0.004
# Part of the drain time for which a draining owner of a slice gets requests; the rest covers the delay of the node
# list.
DRAINING_OWNER_PART = 0.4


class NodeSelection(ForwardingState):
    """Selects the node for a request."""

    async def _select_node(
        self, exchange: Exchange, tried: set[str], may_have_run: bool, offered: bool
    ) -> tuple[Node | None, str]:
        """The node to offer the request to, waiting briefly if there is none; or None and the cause.

        `offered`: whether a node had the request already; only then the time to wait starts anew."""
        wait_until = min(
            max_wait_until(exchange, self.clock() if offered else exchange.started_at),
            exchange.deadline - MIN_TIME_LEFT_S,
            exchange.offer_until,
        )
        while True:
            now = self.clock()
            if exchange.deadline - now <= MIN_TIME_LEFT_S:
                return None, "no time left"
            if exchange.client_gone:
                return None, "the client is gone"
            if now >= exchange.offer_until:
                return None, exchange.offer_end_cause
            if self.has_lapsed_key(exchange, now):
                return None, KEYS_UNSURE
            node, cause = (
                self._owner(exchange, tried, now)
                if exchange.shard_key >= 0
                else self._least_loaded(exchange, tried, now, may_have_run)
            )
            if node is not None:
                return node, ""
            if cause == "full" or not await self._wait_for_change(exchange, self.waiting, wait_until):
                return None, cause

    def _owner(self, exchange: Exchange, tried: set[str], now: float) -> tuple[Node | None, str]:
        sharding = self.view.assignments.get(exchange.service)
        line = sharding.assignment(exchange.shard_key) if sharding is not None else None
        if line is None or line.node is None or not line.open or line.node.service != exchange.service:
            return None, "keys change hands"
        node = line.node
        stats = stats_of(node)
        if stats.avoided_until > now:
            return None, "its owner is not reached"
        if node.id in tried:
            return None, "its owner turned it away"
        if stats.is_silent(now):
            return None, "its owner is silent"
        if not self._can_serve_while_draining(node, now):
            return None, "its owner leaves"
        return (node, "") if self._is_worth_offering(exchange, node, now) else (None, "full")

    def _can_serve_while_draining(self, node: Node, now: float) -> bool:
        """Whether the node may get requests that no other can take: it isn't draining, or not for long yet."""
        since = stats_of(node).draining_since
        return since is None or now - since < self.settings.bounds.drain_timeout * DRAINING_OWNER_PART

    def _least_loaded(
        self, exchange: Exchange, tried: set[str], now: float, may_have_run: bool
    ) -> tuple[Node | None, str]:
        nodes = self.view.nodes_by_service.get(exchange.service, [])
        size = max(exchange.length or 0, exchange.size)
        node = pick_node(nodes, now, self.settings.zone, self.rng, tried, size)
        if node is None:
            assert exchange.route is not None
            if exchange.route.idempotent and may_have_run:
                node = pick_node(nodes, now, self.settings.zone, self.rng, (), size)
            if node is None and not tried:
                node = min(
                    (n for n in nodes if n.draining and self._can_serve_while_draining(n, now)),
                    key=lambda n: load(n, now),
                    default=None,
                )
            if node is None:
                return None, "full" if tried else "no node"
        if self._is_worth_offering(exchange, node, now):
            return node, ""
        for node in sorted((n for n in nodes if not n.draining and n.id not in tried), key=lambda n: load(n, now)):
            if (
                stats_of(node).avoided_until <= now
                and not stats_of(node).is_silent(now)
                and self._is_worth_offering(exchange, node, now)
            ):
                return node, ""
        return None, "full"

    def _is_worth_offering(self, exchange: Exchange, node: Node, now: float) -> bool:
        assert exchange.route is not None
        stats = stats_of(node)
        outstanding = (
            stats.usual_outstanding(now) if yields_to_higher_priority(exchange.priority) else stats.outstanding(now)
        )
        return worth_offering(
            outstanding,
            node.capacity,
            now < node.cold_until,
            stats.mean_work_s,
            exchange.deadline - now,
            exchange.priority,
            not exchange.route.idempotent,
            exchange.route.target_latency,
        )
