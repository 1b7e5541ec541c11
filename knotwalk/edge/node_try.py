"""One try of a request at a node: a connection for it, the sending, and what is learned from how it ended."""

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

# Seconds within which a connection to a node comes up: links take milliseconds, a lost opening packet a second.
CONNECT_TIMEOUT_S = 1.0
# Seconds below which opening a connection is not cut: a busy machine answers late.
MIN_CONNECT_TIMEOUT_S = 0.06
# Of the aim: a request that was not sent for longer counts as one that waited at the edge.
WAITED_PART = 0.05
# Connections to one node that an edge may always open.
MIN_CONNECTIONS = 2


class NodeTry(NodeSelection):
    """Offers a request to one node."""

    async def _try(self, exchange: Exchange, node: Node, fresh: bool) -> tuple[Answer, bool]:
        """Offer the request to a node: how that ended, and whether a byte was sent."""
        assert exchange.route is not None
        stats = stats_of(node)
        pool = self._pool(node)
        connection = None if fresh else pool.reuse(not exchange.route.idempotent, exchange.attempt)
        if connection is None:
            bound = max(MIN_CONNECTIONS, self.service(node.service).max_connections // max(1, self.edges))
            if len(pool.all) >= bound and not pool.shed():
                return Answer(TryOutcome.UNREACHED, "full"), False
            if not await self._have_slot(exchange):
                return Answer(TryOutcome.UNREACHED, "full"), False
            connect_s = max(MIN_CONNECT_TIMEOUT_S, max_wait_until(exchange, exchange.started_at) - self.clock())
            try:
                connection = await pool.open(
                    min(CONNECT_TIMEOUT_S, connect_s, max(0.0, exchange.deadline - self.clock()))
                )
            except PeerError:
                self.counts["not connected"] += 1
                return Answer(TryOutcome.UNREACHED, "not connected"), False
            self.counts["opened"] += 1
            if exchange.expired or exchange.client_gone or self.has_lapsed_key(exchange, self.clock()):
                pool.put_back(connection)
                return Answer(TryOutcome.UNREACHED, "too late"), False
            if not connection.ready(False):  # the node has ended it, or spoken unasked: nothing was sent
                connection.abort("not connected")
                self.counts["not connected"] += 1
                return Answer(TryOutcome.UNREACHED, "not connected"), False
        now = self.clock()
        if now >= min(exchange.deadline, exchange.offer_until):  # this process stood still since the node was chosen
            pool.put_back(connection)
            return Answer(TryOutcome.UNREACHED, "too late"), False
        quiet = stats.outstanding(now) < node.capacity
        exchange.lateness_cause = self._way(exchange, fresh, now, now < node.cold_until, quiet)
        self.counts["sent"] += 1
        stats.record_sent(now)
        answer = await exchange.send_on(connection, max(1, int((exchange.deadline - now) * 1000)), node.id)
        took = self.clock() - now
        stats.record_end(now + took)
        if answer.load is not None:
            stats.record_load(now + took, *answer.load)
        if answer.outcome is TryOutcome.ANSWERED:
            stats.answered_s += took
            if quiet:
                stats.record_work_time(took)
        if answer.is_complete:
            exchange.connection = None
        return answer, True

    def _pool(self, node: Node) -> Pool:
        """The connections to a node; those to another one that had its id are closed."""
        pool = self.pools.get(node.id)
        if pool is None or pool.node is not node:
            if pool is not None:
                pool.close()
            pool = self.pools[node.id] = Pool(node, self.clock, self.connection_slots)
        return pool

    async def _have_slot(self, exchange: Exchange) -> bool:
        """Have a descriptor for one more connection to a node: an idle one's, the one that has idled longest, or one
        that comes free while the request may wait."""
        assert exchange.route is not None
        while self.connection_slots.full:
            idle = min(
                (pool.idle[0] for pool in self.pools.values() if pool.idle), key=lambda c: c.idle_since, default=None
            )
            if idle is not None:
                idle.abort("room for another")
                await asyncio.sleep(0)  # its descriptor is free after a turn of the loop
            elif not await self._wait_for_change(
                exchange,
                self.connection_slots.waiting,
                min(max_wait_until(exchange, exchange.started_at), exchange.deadline),
            ):
                return False
        return True

    @staticmethod
    def _way(exchange: Exchange, again: bool, now: float, cold: bool, quiet: bool) -> str:
        """What a request met with on its way to a node: the first of these that holds says most of why it is late."""
        assert exchange.route is not None
        if again:
            return "tried again"
        if now - exchange.started_at > exchange.route.target_latency * WAITED_PART:
            return "waited at the edge"
        if cold:
            return "a cold node"
        return "a node with room" if quiet else "a busy node"

    def _learn(self, stats: NodeStats, outcome: TryOutcome, refused_with_capacity: bool, last: float) -> None:
        """Note how a try ended, and whether a refusal was `for_nothing`; a node in trouble is shunned for `last`
        seconds at most."""
        now = self.clock()
        if outcome in (TryOutcome.LOST, TryOutcome.UNREACHED, TryOutcome.SILENT):
            stats.failed += not stats.hang_counted  # that was told while it hung
            stats.hang_counted = False
            stats.record_failure(now, outcome is not TryOutcome.UNREACHED, last)
        elif outcome is TryOutcome.TURNED_AWAY:
            stats.failed += refused_with_capacity
            stats.refused += not refused_with_capacity
            stats.record_success()
        elif outcome is TryOutcome.FAILED:
            stats.failed += 1
        else:
            stats.ok += 1
            stats.record_success()
