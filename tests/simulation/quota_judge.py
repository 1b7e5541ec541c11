"""Who looks at tenants' limits on a walk: requests come to core machines, and those let pass are counted.

A plain count of windows is the truth; it knows nothing of buckets and holdings. Limits change with the versions.
"""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict, deque
from typing import TYPE_CHECKING

from knotwalk.runtime.settings import Bounds
from knotwalk.shared_state.messages import Admission
from tests.simulation.loop import Process
from tests.simulation.register import Content
from tests.standins.documents import tenant

if TYPE_CHECKING:
    from tests.simulation.world import World

BOUNDS = Bounds(quota_window=3.0, quota_overage=0.1, quota_slack=8.0)
# Requests a second, and beyond: of each tenant in turn, so many versions long.
ERAS = {
    "lean": ((0.5, 1.0), (2.0, 0.0)),
    "usual": ((8.0, 8.0), (2.0, 2.0), (20.0, 5.0)),
    "bursty": ((2.0, 40.0),),
    "large": ((60.0, 60.0),),
}
ERA = 40
BEFORE = BOUNDS.quota_window + BOUNDS.config_apply  # seconds for which an older limit may still be in force
PATIENCE = 0.1  # seconds that a request waits for its allowance
BURSTS = (1, 2, 10, 60)
PAUSES = (0.01, 0.03, 0.1, 0.5)
GIVEN_BACK = 0.3  # share of what was let pass that does not run
TRIES = 30  # in the end, until a request of each tenant is let pass


def limit(name: str, version: int) -> tuple[float, float]:
    """A tenant's limit in a version."""
    eras = ERAS[name]
    return eras[version // ERA % len(eras)]


def tenants(content: Content) -> list[dict]:
    """The tenants of a content, as they are sent."""
    return [tenant(name, [f"key of {name}"], *limit(name, content.version)) for name in ERAS]


class QuotaJudge:
    """Sends requests by its own chance to whichever core machines run, storms among them."""

    def __init__(self, world: World):
        self.world = world
        self.random = random.Random(f"quota {world.seed}")
        self.passed: dict[str, deque[float]] = defaultdict(deque)  # when requests were let pass in the last window
        self.let_pass = 0

    async def load(self) -> None:
        """Send until the operators rest."""
        while not self.world.operators.resting:
            await asyncio.sleep(self.random.choice(PAUSES))
            places, name = self.world.running(), self.random.choice(list(ERAS))
            for _ in range(self.random.choice(BURSTS) if places else 0):
                process = self.random.choice(places).process
                process.spawn(self._send(process, name, self.random.random() < GIVEN_BACK))

    async def _send(self, process: Process, name: str, gives_back: bool) -> bool:
        """One request at a core machine, in its own program; whether it was let pass."""
        allowances = process.plane.allowances  # type: ignore[attr-defined]
        told = await allowances.take(name, PATIENCE)
        if told.admission is not Admission.RUN:
            return False
        if gives_back:
            allowances.give_back(name)
        elif allowances.spend(name):
            self.passes(self.world.loop.now, name)
        return True

    def passes(self, now: float, name: str) -> None:
        """A request is let pass: the window that ends with it is looked at."""
        passed = self.passed[name]
        passed.append(now)
        self.let_pass += 1
        while passed[0] <= now - BOUNDS.quota_window:
            passed.popleft()
        most = self.most(now, name)
        if len(passed) > most:
            self.world.judge.report(f"{now:.3f} {name}: {len(passed)} let pass in a window, at most {most:.1f}")

    def most(self, now: float, name: str) -> float:
        """What the rule allows in the window that ends now, by the highest limit that may be in force in it."""
        first = self.world.register.newest_acknowledged(now - BOUNDS.quota_window - BEFORE)
        last = max(first, self.world.operators.known + 2)  # the highest that may have been sent
        limits = [limit(name, era * ERA) for era in range(first // ERA, last // ERA + 1)]
        whole = max(rate * BOUNDS.quota_window + burst for rate, burst in limits)
        return whole * (1 + BOUNDS.quota_overage) + BOUNDS.quota_slack

    async def settled(self) -> None:
        """Every fault has ended, and nothing was sent for a while: a request of each tenant is let pass."""
        for name in ERAS:
            for _ in range(TRIES):
                process = self.random.choice(self.world.running()).process
                if await process.spawn(self._send(process, name, False)):
                    break
                await asyncio.sleep(PATIENCE)
            else:
                self.world.judge.report(f"no request of {name} is let pass in the end")
