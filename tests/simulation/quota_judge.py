"""Judge of tenants' limits: it sends requests to cores and counts those that are admitted.

The reference is a plain count over a sliding window, independent of buckets and holdings. Limits change with versions.
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
# By tenant: its limits (rate per second, burst size), each in force for ERA versions in turn.
ERAS = {
    "lean": ((0.5, 1.0), (2.0, 0.0)),
    "usual": ((8.0, 8.0), (2.0, 2.0), (20.0, 5.0)),
    "bursty": ((2.0, 40.0),),
    "large": ((60.0, 60.0),),
}
ERA = 40
OLD_LIMIT_S = BOUNDS.quota_window + BOUNDS.config_apply  # for which an older limit may still be in force
TAKE_TIMEOUT_S = 0.1  # for which a request waits for its allowance
BURSTS = (1, 2, 10, 60)
PAUSES_S = (0.01, 0.03, 0.1, 0.5)
GIVEN_BACK_SHARE = 0.3  # of the admitted requests do not run
MAX_ATTEMPTS = 30  # after all faults, until a request of each tenant is admitted


def limit(name: str, version: int) -> tuple[float, float]:
    """A tenant's limit (rate per second, burst size) in a version."""
    eras = ERAS[name]
    return eras[version // ERA % len(eras)]


def tenants(content: Content) -> list[dict]:
    """The tenants' items in the document of a content."""
    return [tenant(name, [f"key of {name}"], *limit(name, content.version)) for name in ERAS]


class QuotaJudge:
    """Sends random requests, with bursts, to running cores, and checks how many are admitted."""

    def __init__(self, world: World):
        self.world = world
        self.random = random.Random(f"quota {world.seed}")
        self.admitted: dict[str, deque[float]] = defaultdict(deque)  # times of the requests admitted in the last window
        self.let_pass = 0

    async def load(self) -> None:
        """Send until the operators stop."""
        while not self.world.operators.stopped:
            await asyncio.sleep(self.random.choice(PAUSES_S))
            cores, name = self.world.running(), self.random.choice(list(ERAS))
            for _ in range(self.random.choice(BURSTS) if cores else 0):
                process = self.random.choice(cores).process
                process.spawn(self._send(process, name, self.random.random() < GIVEN_BACK_SHARE))

    async def _send(self, process: Process, name: str, gives_back: bool) -> bool:
        """Send one request to a core, within its process; whether it was admitted."""
        allowances = process.plane.allowances  # type: ignore[attr-defined]
        response = await allowances.take(name, TAKE_TIMEOUT_S)
        if response.admission is not Admission.RUN:
            return False
        if gives_back:
            allowances.give_back(name)
        elif allowances.spend(name):
            self.on_admitted(self.world.loop.now, name)
        return True

    def on_admitted(self, now: float, name: str) -> None:
        """Handle that a request is admitted: check the window that ends now."""
        admitted = self.admitted[name]
        admitted.append(now)
        self.let_pass += 1
        while admitted[0] <= now - BOUNDS.quota_window:
            admitted.popleft()
        max_admitted = self.max_admitted(now, name)
        if len(admitted) > max_admitted:
            self.world.judge.report(
                f"{now:.3f} {name}: {len(admitted)} let pass in a window, at most {max_admitted:.1f}"
            )

    def max_admitted(self, now: float, name: str) -> float:
        """The most requests that may be admitted in the window that ends now, by the highest limit in force in it."""
        first = self.world.register.newest_acknowledged(now - BOUNDS.quota_window - OLD_LIMIT_S)
        last = max(first, self.world.operators.known + 2)  # the highest that may have been sent
        limits = [limit(name, era * ERA) for era in range(first // ERA, last // ERA + 1)]
        allowed = max(rate * BOUNDS.quota_window + burst for rate, burst in limits)
        return allowed * (1 + BOUNDS.quota_overage) + BOUNDS.quota_slack

    async def check_recovery(self) -> None:
        """Check after all faults, and a pause without requests, that a request of each tenant is admitted."""
        for name in ERAS:
            for _ in range(MAX_ATTEMPTS):
                process = self.random.choice(self.world.running()).process
                if await process.spawn(self._send(process, name, False)):
                    break
                await asyncio.sleep(TAKE_TIMEOUT_S)
            else:
                self.world.judge.report(f"no request of {name} is let pass in the end")
