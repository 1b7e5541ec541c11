"""One try of a request at a node: obtains a connection, sends the request, and records the outcome."""

from __future__ import annotations

import asyncio

from knotwalk.admission.admission import NodeStats
from knotwalk.admission.outcome import TryOutcome
from knotwalk.discovery.view_types import Node
from knotwalk.edge.choose import stats_of
from knotwalk.edge.connection_pool import Pool
from knotwalk.edge.exchange import Exchange
from knotwalk.edge.forwarding_state import max_wait_until
from knotwalk.edge.node_answer import Answer
from knotwalk.edge.node_selection import NodeSelection
from knotwalk.runtime.errors import PeerError

# Timeout for a connection to a node: links take milliseconds, while a lost SYN is repeated only after a second.
CONNECT_TIMEOUT_S = 1.0
# Minimum of that timeout: a busy machine answers late.
MIN_CONNECT_TIMEOUT_S = 0.06
# Part of the target latency after which a request that was not sent yet counts as having waited at the edge.
WAITED_PART = 0.05
# Connections that an edge may always open to one node.
MIN_CONNECTIONS = 2


class NodeTry(NodeSelection):
    """Offers a request to one node."""

    def connections_share(self, max_connections: int) -> int:
        """This edge's share of the connections that a node of a service takes from all edges together."""
        return max(MIN_CONNECTIONS, max_connections // max(1, self.edges))

    async def _try(self, exchange: Exchange, node: Node, is_retry: bool) -> tuple[Answer, bool]:
        """Offer the request to a node; returns the answer and whether anything was sent."""
        assert exchange.route is not None
        stats = stats_of(node)
        pool = self._pool(node)
        connection = None if is_retry else pool.reuse(not exchange.route.idempotent, exchange.attempt)
        if connection is None:
            max_connections = self.connections_share(self.service(node.service).max_connections)
            if len(pool.all) >= max_connections and not pool.close_oldest_idle():
                return Answer(TryOutcome.UNREACHED, "full"), False
            if not await self._acquire_slot(exchange):
                return Answer(TryOutcome.UNREACHED, "full"), False
            connect_s = max(MIN_CONNECT_TIMEOUT_S, max_wait_until(exchange, exchange.started_at) - self.clock())
            try:
                last_offer_at = min(exchange.deadline, exchange.offer_until)
                connection = await pool.open(min(CONNECT_TIMEOUT_S, connect_s, max(0.0, last_offer_at - self.clock())))
            except PeerError:
                self.counts["not connected"] += 1
                return Answer(TryOutcome.UNREACHED, "not connected"), False
            self.counts["opened"] += 1
            if exchange.expired or exchange.client_gone or self.has_lapsed_key(exchange, self.clock()):
                pool.put_back(connection)
                return Answer(TryOutcome.UNREACHED, "too late"), False
            if not connection.is_ready(False):  # the node has closed it or sent unexpected bytes: no request was sent
                connection.abort("not connected")
                self.counts["not connected"] += 1
                return Answer(TryOutcome.UNREACHED, "not connected"), False
        now = self.clock()
        if now >= min(exchange.deadline, exchange.offer_until):  # this process was stalled after the node was selected
            pool.put_back(connection)
            return Answer(TryOutcome.UNREACHED, "too late"), False
        has_free_slot = stats.outstanding(now) < node.capacity
        exchange.lateness_cause = self._lateness_cause(exchange, is_retry, now, now < node.cold_until, has_free_slot)
        self.counts["sent"] += 1
        stats.record_sent(now)
        exchange.sent_at = now
        answer = await exchange.send_on(connection, max(1, int((exchange.deadline - now) * 1000)), node.id)
        seconds = self.clock() - now
        stats.record_end(now + seconds)
        if answer.load is not None:
            stats.record_load(now + seconds, *answer.load)
        if answer.outcome is TryOutcome.ANSWERED:
            stats.answered_s += seconds
            if has_free_slot:
                stats.record_work_time(seconds)
        if answer.is_complete:
            exchange.connection = None
        return answer, True

    def _pool(self, node: Node) -> Pool:
        """The connection pool of a node; one of an earlier node with the same id is closed."""
        pool = self.pools.get(node.id)
        if pool is None or pool.node is not node:
            if pool is not None:
                pool.close()
            pool = self.pools[node.id] = Pool(node, self.clock, self.connection_slots)
        return pool

    async def _acquire_slot(self, exchange: Exchange) -> bool:
        """Obtain a descriptor for another connection to a node; False if there is none in time.

        It closes the connection that has been idle longest, or waits for one to become free."""
        assert exchange.route is not None
        while self.connection_slots.full:
            idle = min(
                (pool.idle[0] for pool in self.pools.values() if pool.idle), key=lambda c: c.idle_since, default=None
            )
            if idle is not None:
                idle.abort("room for another")
                await asyncio.sleep(0)  # its descriptor is free after an iteration of the event loop
            elif not await self._wait_for_change(
                exchange,
                self.connection_slots.waiting,
                min(max_wait_until(exchange, exchange.started_at), exchange.deadline, exchange.offer_until),
            ):
                return False
        return True

    @staticmethod
    def _lateness_cause(exchange: Exchange, is_retry: bool, now: float, cold: bool, has_free_slot: bool) -> str:
        """The most likely cause, should the answer be late: the first of these that applies. A label of the metrics."""
        assert exchange.route is not None
        if is_retry:
            return "tried again"
        if now - exchange.started_at > exchange.route.target_latency * WAITED_PART:
            return "waited at the edge"
        if cold:
            return "a cold node"
        return "a node with room" if has_free_slot else "a busy node"

    def _record_outcome(
        self, stats: NodeStats, outcome: TryOutcome, refused_with_capacity: bool, max_avoid_s: float
    ) -> None:
        """Record the outcome of a try; after failures the node is avoided, for `max_avoid_s` at most.

        `refused_with_capacity`: the node refused the request while it reported free slots."""
        now = self.clock()
        if outcome in (TryOutcome.LOST, TryOutcome.UNREACHED, TryOutcome.SILENT):
            stats.failed += not stats.hang_counted  # it was counted while it hung
            stats.hang_counted = False
            stats.record_failure(now, outcome is not TryOutcome.UNREACHED, max_avoid_s)
        elif outcome is TryOutcome.TURNED_AWAY:
            stats.failed += refused_with_capacity
            stats.refused += not refused_with_capacity
            stats.record_success()
        elif outcome is TryOutcome.FAILED:
            stats.failed += 1
        else:
            stats.ok += 1
            stats.record_success()
