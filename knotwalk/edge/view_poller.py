"""An edge's link to the core: one waiting call to one core that is fresh; news go into the cluster view."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable

from knotwalk.discovery.cluster_view import ClusterView
from knotwalk.edge.caller import Caller
from knotwalk.edge.freshness import Freshness
from knotwalk.runtime.errors import PeerError
from knotwalk.runtime.logs import clock, log_info, log_warning

POLL_WAIT_S = 1.0  # seconds a core holds a call without news: also the pace of reports
FIRST_POLL_WAIT_S = (
    0.25  # the same for the first call to a core, which may be dark: as long as a core waits to be fresh
)
POLL_TIMEOUT_S = 0.6  # beyond the wait; then the core is left for another
RETRY_PAUSE_S = 0.03  # between tries at cores, growing to
MAX_RETRY_PAUSE_S = 0.3
MAX_RETRY_PAUSE_WITHOUT_VIEW_S = (
    0.06  # the same while there is nothing to serve by: a port that refuses costs a millisecond to ask
)
AVOID_FAILED_CORE_S = 10.0  # seconds in which a core that failed is not chosen only because it is near


class ViewPoller:
    """Keeps `cluster view` and `freshness` up to date. `report` gives what to tell; `on_news` hears of topics."""

    def __init__(
        self,
        edge: str,
        view: ClusterView,
        caller: Caller,
        seeds: list[str],
        seed: int,
        zone: str,
        report: Callable[[], dict],
        on_news: Callable[[set[str], int], None],
        freshness: Freshness | None = None,
    ):
        self.edge, self.view, self.caller, self.seeds = edge, view, caller, seeds
        self.report, self.on_news = report, on_news
        self.freshness = freshness or Freshness(math.inf, False)
        self.life = ""  # of this program, as its asks for admission name it
        self.random = random.Random(seed)
        self.zone = zone
        self.zones: dict[str, str] = {}  # of cores that have answered: bytes between zones are priced
        self.core: str | None = None
        self.fresh_core: str | None = None  # the core that answered the last call
        self.tried: list[str] = []
        self.failed_at: dict[str, float] = {}  # cores that failed us, and when: not gone back to for nearness alone
        self.heard_at = float("-inf")  # when a fresh core last answered
        self.reported_at = float("-inf")
        self.edges = 0
        self.not_taken = 0  # configurations that a core told and that could not be taken here

    def next_core(self) -> str | None:
        """Another core than those tried in this round, those that failed us lately last; a new round when all were."""
        known = list(dict.fromkeys([*self.view.cores, *self.seeds]))
        if not known:
            return None
        failed_at = [at for at in known if at not in self.tried]
        if not failed_at:
            self.tried, failed_at = [], known
        failed_at = [at for at in failed_at if at not in self.failed_at] or failed_at
        near = [at for at in failed_at if self.zones.get(at) == self.zone]
        core = self.random.choice(near or failed_at)
        self.tried.append(core)
        return core

    async def run(self) -> None:
        """Keep calling: one core, and another where that one fails."""
        pause = RETRY_PAUSE_S
        while True:
            if self.core is None:
                self.core = self.next_core()
            if self.core is None or not await self.poll(self.core):
                self.core = None
                await asyncio.sleep(pause * self.random.uniform(0.5, 1.0))
                pause = min(MAX_RETRY_PAUSE_WITHOUT_VIEW_S if self.view.is_empty else MAX_RETRY_PAUSE_S, 1.5 * pause)
            else:
                pause, self.tried = RETRY_PAUSE_S, []
                self.core = self.nearer(self.core)

    def nearer(self, core: str) -> str:
        """A core of this zone instead of one that is not, or one whose zone is not known yet, while there is any."""
        if self.zones.get(core) == self.zone:
            return core
        known = [
            at for at in self.view.cores if self.zones.get(at, self.zone) == self.zone and at not in self.failed_at
        ]
        return self.random.choice(known) if known else core

    def begin(self, now: float, core: str, provisional: dict | None) -> None:
        """Serve for now by what a core that only just started holds, if there is nothing yet to serve by."""
        try:
            changed = self.view.apply_provisional(now, provisional) if provisional else set()
        except (KeyError, TypeError, ValueError) as error:
            log_warning("news not understood", core=core, why=f"{type(error).__name__} {error}")
            return
        if changed:
            log_info("provisional", core=core, version=self.view.configuration.version)
            self.on_news(changed, 0)  # a core that just started has not heard of all edges

    async def poll(self, core: str) -> bool:
        """One call; whether the core is fit to be asked again."""
        now = clock()
        wait = self.freshness.poll_wait(POLL_WAIT_S) if core == self.fresh_core else FIRST_POLL_WAIT_S
        self.fresh_core = None
        asked = {"edge": self.edge, "life": self.life, "wait": wait, **self.view.positions()}
        if now - self.reported_at >= 0.9 * POLL_WAIT_S:
            self.reported_at = now
            asked["report"] = self.report()
        try:
            told = await self.caller.json(
                "POST", f"http://{core}/cluster-view", asked, wait + POLL_TIMEOUT_S, "cluster view"
            )
        except PeerError as error:
            self.failed_at[core] = now
            if self.core is not None and self.heard_at > now - 5:
                log_warning("core left", core=core, why=str(error))
            return False
        asked_at, now = now, clock()
        self.zones[core] = told.get("zone", "")
        self.failed_at = {at: when for at, when in self.failed_at.items() if now - when < AVOID_FAILED_CORE_S}
        if not told["fresh"]:
            self.failed_at[core] = now
            self.begin(now, core, told.get("provisional"))
            return False
        changed: set[str] = set()
        if news := told.get("news"):
            try:
                changed = self.view.apply(now, news)
            except (KeyError, TypeError, ValueError) as error:
                log_warning("news not understood", core=core, why=f"{type(error).__name__} {error}")
                return False
        lapsed = not self.freshness.can_accept(clock())
        if not self.view.config_error:
            self.freshness.renew(asked_at, told.get("proven"))
        renewed = lapsed and self.freshness.can_accept(clock())  # an edge that only this kept from serving begins
        first = self.heard_at == float("-inf")
        self.heard_at, self.edges = now, told["edges"]
        if changed or first or renewed:
            self.on_news(changed, self.edges)
        if self.view.config_error:
            self.not_taken += 1
            log_warning("configuration not taken", core=core, why=self.view.config_error)
            self.failed_at[core] = now
            return False
        if first:
            log_info("core found", core=core)
        self.fresh_core = core
        return True
