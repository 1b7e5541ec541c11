"""One try of a request at a node: a connection for it, the sending, and what is learned from how it ended."""

from __future__ import annotations

import asyncio

from knotwalk.admission.admission import Seen
from knotwalk.admission.outcome import End
from knotwalk.discovery.view_types import Node
from knotwalk.edge.choose import seen
from knotwalk.edge.connection_pool import Pool
from knotwalk.edge.exchange import Exchange
from knotwalk.edge.forwarding_state import waits_until
from knotwalk.edge.node_answer import Answer
from knotwalk.edge.node_selection import NodeSelection
from knotwalk.runtime.errors import PeerError

# Seconds within which a connection to a node comes up: links take milliseconds, a lost opening packet a second.
CONNECT = 1.0
# Seconds below which opening a connection is not cut: a busy machine answers late.
CONNECT_LEAST = 0.06
# Of the aim: a request that was not sent for longer counts as one that waited at the edge.
HELD_PART = 0.05
# Connections to one node that an edge may always open.
LEAST_CONNECTIONS = 2


class NodeTry(NodeSelection):
    """Offers a request to one node."""

    async def _try(self, exchange: Exchange, node: Node, fresh: bool) -> tuple[Answer, bool]:
        """Offer the request to a node: how that ended, and whether a byte was sent."""
        assert exchange.route is not None
        known = seen(node)
        pool = self._pool(node)
        connection = None if fresh else pool.reuse(not exchange.route.idempotent, exchange.attempt)
        if connection is None:
            bound = max(LEAST_CONNECTIONS, self.service(node.service).max_connections // max(1, self.edges))
            if len(pool.all) >= bound and not pool.shed():
                return Answer(End.UNREACHED, "full"), False
            if not await self._have_slot(exchange):
                return Answer(End.UNREACHED, "full"), False
            patience = max(CONNECT_LEAST, waits_until(exchange, exchange.begun) - self.clock())
            try:
                connection = await pool.open(min(CONNECT, patience, max(0.0, exchange.until - self.clock())))
            except PeerError:
                self.counts["not connected"] += 1
                return Answer(End.UNREACHED, "not connected"), False
            self.counts["opened"] += 1
            if exchange.expired or exchange.gone or self.key_lapsed(exchange, self.clock()):
                pool.put_back(connection)
                return Answer(End.UNREACHED, "too late"), False
            if not connection.ready(False):  # the node has ended it, or spoken unasked: nothing was sent
                connection.abort("not connected")
                self.counts["not connected"] += 1
                return Answer(End.UNREACHED, "not connected"), False
        now = self.clock()
        quiet = known.in_hand(now) < node.capacity
        exchange.way = self._way(exchange, fresh, now, now < node.cold_until, quiet)
        self.counts["sent"] += 1
        known.sent(now)
        answer = await exchange.sent_on(connection, max(1, int((exchange.until - now) * 1000)), node.id)
        took = self.clock() - now
        known.came_back(now + took)
        if answer.load is not None:
            known.told(now + took, *answer.load)
        if answer.end is End.ANSWERED:
            known.busy += took
            if quiet:
                known.worked(took)
        if answer.whole:
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
            elif not await self._waited(
                exchange, self.connection_slots.waiting, min(waits_until(exchange, exchange.begun), exchange.until)
            ):
                return False
        return True

    @staticmethod
    def _way(exchange: Exchange, again: bool, now: float, cold: bool, quiet: bool) -> str:
        """What a request met with on its way to a node: the first of these that holds says most of why it is late."""
        assert exchange.route is not None
        if again:
            return "tried again"
        if now - exchange.begun > exchange.route.target_latency * HELD_PART:
            return "waited at the edge"
        if cold:
            return "a cold node"
        return "a node with room" if quiet else "a busy node"

    def _learn(self, known: Seen, end: End, for_nothing: bool, last: float) -> None:
        """Note how a try ended, and whether a refusal was `for_nothing`; a node in trouble is shunned for `last`
        seconds at most."""
        now = self.clock()
        if end in (End.LOST, End.UNREACHED, End.SILENT):
            known.failed += not known.hung  # that was told while it hung
            known.hung = False
            known.trouble(now, end is not End.UNREACHED, last)
        elif end is End.TURNED_AWAY:
            known.failed += for_nothing
            known.refused += not for_nothing
            known.well()
        elif end is End.FAILED:
            known.failed += 1
        else:
            known.ok += 1
            known.well()
