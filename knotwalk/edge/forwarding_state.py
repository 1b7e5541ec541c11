"""The state shared by all forwarding: retry budgets, connection pools, waiting requests, counts, and load reports."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from random import Random

from knotwalk.admission.admission import NodeStats
from knotwalk.admission.budget import Budget
from knotwalk.admission.connection_budget import share_descriptors
from knotwalk.configuration.objects import Service
from knotwalk.discovery.cluster_view import ClusterView
from knotwalk.edge.choose import stats_of
from knotwalk.edge.connection_pool import ConnectionSlots, Pool
from knotwalk.edge.exchange import Exchange
from knotwalk.edge.freshness import Freshness
from knotwalk.runtime.settings import Settings

# Part of the target latency that a request may wait without being offered to a node, as its client sees it: later
# refusals count against the gateway, and a client that retries after an early one may still be served in time. The
# round trip to the client is included and can't be measured here: 10 ms each way, the width of a region.
MAX_WAIT_PART, CLIENT_ROUND_TRIP_S = 0.25, 0.02

# How many edges are assumed to share budgets and connections before a core has counted them.
EDGES_BEFORE_FIRST_COUNT = 16

# An edge that is counted alone takes no more than half of the retry budget's slack: another one may be out of touch
# with all cores, thus not counted, and serve on with its own share.
MIN_EDGES_SHARING_SLACK = 2

KEYS_UNSURE = "not sure of the keys in force"  # text of the answer, and name of the count


class ForwardingState:
    """What an edge knows about its services, nodes and tries; base of node selection and tries."""

    def __init__(self, settings: Settings, view: ClusterView, clock: Callable[[], float], seed: int):
        self.settings, self.view, self.clock = settings, view, clock
        self.rng = Random(seed)
        bounds = settings.bounds
        self.freshness = Freshness(bounds.revoke_timeout, bounds.global_revocation, bounds.config_apply)
        self.edges = EDGES_BEFORE_FIRST_COUNT
        self.started_at = clock()
        self.budgets: dict[str, Budget] = {}
        self.pools: dict[str, Pool] = {}
        budget = share_descriptors(settings.machine.file_descriptors, settings.contracts)
        self.connection_slots = ConnectionSlots(budget.nodes)
        self.waiting: set[asyncio.Future] = set()
        self.counts: Counter[str] = Counter()  # since they were last logged
        self.totals: Counter[str] = Counter()  # since the start, without `counts`
        self.demand: dict[str, Counter[int]] = {}

    @property
    def edges_sharing_slack(self) -> int:
        """Among how many edges the slack of the retry budgets is divided."""
        return max(MIN_EDGES_SHARING_SLACK, self.edges)

    def budget(self, service: str) -> Budget:
        """The retry budget of this edge for a service."""
        budget = self.budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            budget = self.budgets[service] = Budget(
                bounds.retry_budget_ratio, bounds.retry_window, bounds.retry_budget_slack, self.started_at
            )
        return budget

    def service(self, name: str) -> Service:
        """A service as configured; one that is not configured, with the default values."""
        configuration = self.view.configuration
        service = configuration.services.get(name) if configuration is not None else None
        return service or Service(name)

    def view_changed(self, changed: set[str]) -> None:
        """The cluster view changed: wake waiting requests and close connections to removed nodes."""
        if "nodes" in changed:
            now = self.clock()
            for node in self.view.nodes.values():
                stats = stats_of(node)
                if not node.draining:
                    stats.draining_since = None
                elif stats.draining_since is None:
                    stats.draining_since = now
            for id, pool in list(self.pools.items()):
                if self.view.nodes.get(id) is not pool.node:
                    pool.close()
                    del self.pools[id]
        if changed & {"nodes", "lines", "config"}:
            for future in self.waiting:
                _wake(future)

    def wake_waiting(self) -> None:
        """Have all requests that wait for a node or a descriptor check again whether they may be offered."""
        for future in (*self.waiting, *self.connection_slots.waiting):
            _wake(future)

    def report(self) -> dict:
        """Requests by service and slice, load of each node, and failed tries; since the previous call."""
        nodes, bad, now = {}, {}, self.clock()
        for node in self.view.nodes.values():
            stats: NodeStats | None = node.local_state  # type: ignore[assignment]
            if stats is None:
                continue
            if stats.is_silent(now) and not stats.hang_counted:  # a request that hangs will hardly succeed
                stats.hang_counted = True
                stats.failed += 1
            if not (stats.load_count or stats.ok or stats.failed or stats.refused):
                continue
            if stats.failed:
                tries = stats.ok + stats.failed + stats.refused
                bad[node.id] = [stats.failed, max(0, tries - stats.load_count) if stats.load_count else 0]
            row = [stats.load_sum, stats.load_count, stats.slots or node.capacity]
            if not stats.load_count:
                row += [stats.ok, stats.failed, stats.refused, round(stats.answered_s, 4)]
            nodes[node.id] = row
            stats.load_sum = stats.load_count = stats.ok = stats.failed = stats.refused = 0
            stats.answered_s = 0.0
        demand, self.demand = self.demand, {}
        return {"demand": demand, "nodes": nodes, "bad": bad}

    def take_counts(self) -> dict[str, int]:
        """How requests ended, by cause and priority, and other events; since the previous call."""
        counts, self.counts = self.counts, Counter()
        self.totals.update(counts)
        return dict(counts)

    def close_idle(self) -> None:
        """Close connections that were idle for too long; to be called periodically."""
        for pool in self.pools.values():
            pool.close_idle()

    def has_lapsed_key(self, exchange: Exchange, now: float) -> bool:
        """Whether a request may not be sent to a node at `now`, because its key may have been revoked.

        Its connection is then closed, so that its client goes on to an edge that knows."""
        if not exchange.tenant or self.freshness.can_accept(now):
            return False
        self.counts[KEYS_UNSURE] += 1
        exchange.keep_alive = False
        return True

    # -- waiting

    async def _wait_for_change(self, exchange: Exchange, waiters: set[asyncio.Future], until: float) -> bool:
        """Wait in `waiters` to be woken; False if `until` has passed or nobody waits for the answer any more."""
        now = self.clock()
        if now >= until or exchange.client_gone or exchange.expired:
            return False
        exchange.waiter = asyncio.get_running_loop().create_future()
        waiters.add(exchange.waiter)
        timer = asyncio.get_running_loop().call_later(until - now, _wake, exchange.waiter)
        try:
            await exchange.waiter
        finally:
            timer.cancel()
            waiters.discard(exchange.waiter)
            exchange.waiter = None
        return True


def max_wait_until(exchange: Exchange, since: float) -> float:
    """When a request that waits for a node since `since` is refused at the latest."""
    assert exchange.route is not None
    return since + max(0.0, exchange.route.target_latency * MAX_WAIT_PART - CLIENT_ROUND_TRIP_S)


def _wake(future: asyncio.Future) -> None:
    if not future.done():
        future.set_result(None)
