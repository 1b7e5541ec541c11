"""What forwarding keeps and shares: budgets, pools, who waits for a node, counts, and what is reported to the core."""

from __future__ import annotations

import asyncio
from collections import Counter as Counts
from collections.abc import Callable
from random import Random

from knotwalk.admission.admission import Seen
from knotwalk.admission.budget import Budget
from knotwalk.admission.connection_budget import shared
from knotwalk.configuration.objects import Service
from knotwalk.discovery.cluster_view import ClusterView
from knotwalk.edge.choose import seen
from knotwalk.edge.connection_pool import ConnectionSlots, Pool
from knotwalk.edge.exchange import Exchange
from knotwalk.edge.freshness import Freshness
from knotwalk.runtime.settings import Settings

# Of the aim, how long a request may wait without being offered to a node, as its client sees it: later refusals are
# held against us, and what comes back after an early one may still earn. Seconds of it that the way to the client and
# back takes: nobody tells it; ten each way, as far as a region is wide.
WAIT_PART, CLIENT_WAY = 0.25, 0.02

KEYS_UNSURE = "not sure of the keys in force"  # of a request that bears a key, or lacks one; also a count


class ForwardingState:
    """What an edge knows of its services, nodes and tries; choosing a node and trying it are built on it."""

    def __init__(self, settings: Settings, view: ClusterView, clock: Callable[[], float], seed: int):
        self.settings, self.view, self.clock = settings, view, clock
        self.luck = Random(seed)
        bounds = settings.bounds
        self.freshness = Freshness(bounds.revoke_timeout, bounds.global_revocation, bounds.config_apply)
        self.edges = 16
        self.began = clock()
        self.budgets: dict[str, Budget] = {}
        self.pools: dict[str, Pool] = {}
        budget = shared(settings.machine.file_descriptors, settings.contracts)
        self.connection_slots = ConnectionSlots(budget.nodes)
        self.waiting: set[asyncio.Future] = set()
        self.counts: Counts[str] = Counts()  # since they were last told in the log
        self.totals: Counts[str] = Counts()  # of this life, without `counts`
        self.demand: dict[str, Counts[int]] = {}

    def budget(self, service: str) -> Budget:
        """What further tries this edge may make for a service."""
        found = self.budgets.get(service)
        if found is None:
            bounds = self.settings.bounds
            found = self.budgets[service] = Budget(
                bounds.retry_budget_ratio, bounds.retry_window, bounds.retry_budget_slack, self.began
            )
        return found

    def service(self, name: str) -> Service:
        """A service as configured; one that is not, with the usual values."""
        configuration = self.view.configuration
        found = configuration.services.get(name) if configuration is not None else None
        return found or Service(name)

    def view_changed(self, changed: set[str]) -> None:
        """The cluster view changed: requests that wait look again, connections to nodes that are gone end."""
        if "nodes" in changed:
            now = self.clock()
            for node in self.view.nodes.values():
                known = seen(node)
                if not node.draining:
                    known.draining_since = None
                elif known.draining_since is None:
                    known.draining_since = now
            for id, pool in list(self.pools.items()):
                if self.view.nodes.get(id) is not pool.node:
                    pool.close()
                    del self.pools[id]
        if changed & {"nodes", "lines", "config"}:
            for future in self.waiting:
                if not future.done():
                    future.set_result(None)

    def report(self) -> dict:
        """Requests by service and slice, load told by each node, bad tries; since the call before."""
        nodes, bad, now = {}, {}, self.clock()
        for node in self.view.nodes.values():
            known: Seen | None = node.local_state  # type: ignore[assignment]
            if known is None:
                continue
            if known.silent(now) and not known.hung:  # what hangs there will hardly end well
                known.hung = True
                known.failed += 1
            if not (known.load_count or known.ok or known.failed or known.refused):
                continue
            if known.failed:
                tries = known.ok + known.failed + known.refused
                bad[node.id] = [known.failed, max(0, tries - known.load_count) if known.load_count else 0]
            row = [known.load_sum, known.load_count, known.slots or node.capacity]
            if not known.load_count:
                row += [known.ok, known.failed, known.refused, round(known.busy, 4)]
            nodes[node.id] = row
            known.load_sum = known.load_count = known.ok = known.failed = known.refused = 0
            known.busy = 0.0
        demand, self.demand = self.demand, {}
        return {"demand": demand, "nodes": nodes, "bad": bad}

    def tally(self) -> dict[str, int]:
        """How requests ended, by cause and rank, and what was met with; since the call before."""
        counts, self.counts = self.counts, Counts()
        self.totals.update(counts)
        return dict(counts)

    def age(self) -> None:
        """Close connections that idled long; call now and then."""
        for pool in self.pools.values():
            pool.age()

    def key_lapsed(self, exchange: Exchange, now: float) -> bool:
        """Whether a request may leave for no node at `now`, since the key that it bears may have been taken away.

        Its client then goes on by another connection, to an edge that knows."""
        if not exchange.tenant or self.freshness.accepts(now):
            return False
        self.counts[KEYS_UNSURE] += 1
        exchange.keep = False
        return True

    # -- waiting

    async def _waited(self, exchange: Exchange, among: set[asyncio.Future], until: float) -> bool:
        """Wait among others to be woken, until a time; False if that has come, or nobody waits for the answer."""
        now = self.clock()
        if now >= until or exchange.gone or exchange.expired:
            return False
        exchange.waiter = asyncio.get_running_loop().create_future()
        among.add(exchange.waiter)
        timer = asyncio.get_running_loop().call_later(until - now, _wake, exchange.waiter)
        try:
            await exchange.waiter
        finally:
            timer.cancel()
            among.discard(exchange.waiter)
            exchange.waiter = None
        return True


def waits_until(exchange: Exchange, since: float) -> float:
    """When a request that waits for a node since then is refused at the latest."""
    assert exchange.route is not None
    return since + max(0.0, exchange.route.target_latency * WAIT_PART - CLIENT_WAY)


def _wake(future: asyncio.Future) -> None:
    if not future.done():
        future.set_result(None)
