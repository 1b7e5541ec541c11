"""Keeps an edge's cluster view up to date by long-polling one fresh core at a time."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable

from knotwalk.discovery.cluster_view import ClusterView
from knotwalk.edge.caller import Caller
from knotwalk.edge.freshness import Freshness
from knotwalk.runtime.decision_guard import DecisionGuard
from knotwalk.runtime.errors import PeerError
from knotwalk.runtime.logs import clock, log_info, log_warning

# Time for which a core holds a call when it has no updates; also the interval of load reports.
POLL_WAIT_S = 1.0
# The same for the first call to a core, which may be dead: as long as a core waits to become fresh.
FIRST_POLL_WAIT_S = 0.25
# Timeout of a call beyond its wait; after it another core is called.
POLL_TIMEOUT_S = 0.6
# Pause between calls to cores that fail, growing up to the maximum.
RETRY_PAUSE_S = 0.03
MAX_RETRY_PAUSE_S = 0.3
# The maximum while there is no view to serve with: a call to a port that refuses costs only a millisecond.
MAX_RETRY_PAUSE_WITHOUT_VIEW_S = 0.06
# Time for which a failed core is not preferred for being in the same zone.
AVOID_FAILED_CORE_S = 10.0


class ViewPoller:
    """Keeps `view` and `freshness` up to date.

    `report` returns the load report to send; `on_update` gets the changed topics and the number of edges, 0 while it is
    not known."""

    def __init__(
        self,
        edge: str,
        view: ClusterView,
        caller: Caller,
        seeds: list[str],
        seed: int,
        zone: str,
        report: Callable[[], dict],
        on_update: Callable[[set[str], int], None],
        freshness: Freshness | None = None,
        guard: DecisionGuard | None = None,
    ):
        self.guard = guard or DecisionGuard()
        self.edge, self.view, self.caller, self.seeds = edge, view, caller, seeds
        self.report, self.on_update = report, on_update
        self.freshness = freshness or Freshness(math.inf, False)
        self.incarnation = ""  # id of this process, the same as in its admission requests
        self.random = random.Random(seed)
        self.zone = zone
        self.zones: dict[str, str] = {}  # zones of cores that have answered: traffic between zones costs money
        self.core: str | None = None
        self.fresh_core: str | None = None  # the core that answered the last call
        self.tried_in_round: list[str] = []
        self.failed_at: dict[str, float] = {}  # when cores failed; these are not preferred for their zone
        self.last_heard_at = float("-inf")  # when a fresh core last answered
        self.reported_at = float("-inf")
        self.edges = 0  # as counted by a core that knows all of them; 0 before the first such count
        self.rejected_configurations = 0  # configurations received that could not be applied

    def next_core(self) -> str | None:
        """A core not yet tried in this round, preferably without a recent failure; starts a new round if needed."""
        cores = list(dict.fromkeys([*self.view.cores, *self.seeds]))
        if not cores:
            return None
        candidates = [address for address in cores if address not in self.tried_in_round]
        if not candidates:
            self.tried_in_round, candidates = [], cores
        candidates = [address for address in candidates if address not in self.failed_at] or candidates
        same_zone = [address for address in candidates if self.zones.get(address) == self.zone]
        core = self.random.choice(same_zone or candidates)
        self.tried_in_round.append(core)
        return core

    async def run(self) -> None:
        """Poll one core continually, and another when it fails."""
        pause = RETRY_PAUSE_S
        while True:
            if self.core is None:
                self.core = self.next_core()
            is_usable = False
            if self.core is not None:
                with self.guard.protect("cluster view", core=self.core, nodes=len(self.view.nodes)):
                    is_usable = await self.poll(self.core)
            if not is_usable:
                self.core = None
                await asyncio.sleep(pause * self.random.uniform(0.5, 1.0))
                pause = min(MAX_RETRY_PAUSE_WITHOUT_VIEW_S if self.view.is_empty else MAX_RETRY_PAUSE_S, 1.5 * pause)
            else:
                pause, self.tried_in_round = RETRY_PAUSE_S, []
                assert self.core is not None
                self.core = self.prefer_same_zone(self.core)

    def prefer_same_zone(self, core: str) -> str:
        """Replace a core of another zone by one of this zone or of an unknown zone, if there is any."""
        if self.zones.get(core) == self.zone:
            return core
        cores = [
            address
            for address in self.view.cores
            if self.zones.get(address, self.zone) == self.zone and address not in self.failed_at
        ]
        return self.random.choice(cores) if cores else core

    def apply_provisional(self, now: float, core: str, provisional: dict | None) -> None:
        """Serve provisionally with the view of a core that has just started, if there is no view yet."""
        try:
            changed = self.view.apply_provisional(now, provisional) if provisional else set()
        except (KeyError, TypeError, ValueError) as error:
            log_warning("cluster view update not understood", core=core, why=f"{type(error).__name__} {error}")
            return
        if changed:
            log_info("serving with a provisional cluster view", core=core, version=self.view.configuration.version)
            self.on_update(changed, 0)  # a core that has just started does not know all edges

    async def poll(self, core: str) -> bool:
        """Make one call; whether the core can be polled again."""
        now = clock()
        wait = self.freshness.poll_wait(POLL_WAIT_S) if core == self.fresh_core else FIRST_POLL_WAIT_S
        self.fresh_core = None
        request = {"edge": self.edge, "life": self.incarnation, "wait": wait, **self.view.positions()}
        if now - self.reported_at >= 0.9 * POLL_WAIT_S:
            self.reported_at = now
            with self.guard.protect("load report", nodes=len(self.view.nodes)):
                request["report"] = self.report()
        try:
            response = await self.caller.json(
                "POST", f"http://{core}/cluster-view", request, wait + POLL_TIMEOUT_S, "cluster view"
            )
        except PeerError as error:
            self.failed_at[core] = now
            if self.core is not None and self.last_heard_at > now - 5:
                log_warning("core failed, calling another", core=core, why=str(error))
            return False
        sent_at, now = now, clock()
        self.zones[core] = response.get("zone", "")
        self.failed_at = {address: when for address, when in self.failed_at.items() if now - when < AVOID_FAILED_CORE_S}
        if not response["fresh"]:
            self.failed_at[core] = now
            self.apply_provisional(now, core, response.get("provisional"))
            return False
        changed: set[str] = set()
        if update := response.get("news"):
            try:
                changed = self.view.apply(now, update)
            except (KeyError, TypeError, ValueError) as error:
                log_warning("cluster view update not understood", core=core, why=f"{type(error).__name__} {error}")
                return False
        was_lapsed = not self.freshness.can_accept(clock())
        if not self.view.config_error:
            self.freshness.renew(sent_at, response.get("proven"))
        renewed = was_lapsed and self.freshness.can_accept(
            clock()
        )  # an edge that only lacked the lease begins to serve
        is_first = self.last_heard_at == float("-inf")
        self.last_heard_at = now
        edges_before = self.edges
        # Earlier versions don't say; there, a 1 may come from a core that has just started.
        if response.get("edges_known", response["edges"] > 1):
            self.edges = response["edges"]
        if changed or is_first or renewed or self.edges != edges_before:
            self.on_update(changed, self.edges)
        if self.view.config_error:
            self.rejected_configurations += 1
            log_warning("configuration not applied", core=core, why=self.view.config_error)
            self.failed_at[core] = now
            return False
        if is_first:
            log_info("core found", core=core)
        self.fresh_core = core
        return True
