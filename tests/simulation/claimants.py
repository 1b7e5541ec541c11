"""Claimants: they claim the same operations repeatedly and through several cores, and release some of them."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from typing import TYPE_CHECKING

from knotwalk.shared_state.claims import ClaimResult, Outcome
from knotwalk.shared_state.messages import Claim, Holder, operation_id
from tests.simulation.claims_judge import Claims
from tests.simulation.loop import Process
from tests.simulation.programs import KEY_PERIOD

if TYPE_CHECKING:
    from tests.simulation.world import CoreMachine, World

MEAN_INTERVAL_S = 0.08  # mean time between claims
RECENT_COUNT = 12  # operations that are claimed again
RECOVERY_TIMEOUT_S = 3.0  # for the answer to a claim after all faults


class Claimants:
    """Sends all claims of a walk and passes the answers to the judge."""

    def __init__(self, world: World):
        self.world, self.random = world, random.Random(f"claimants {world.seed}")
        self.claims = Claims(world.judge, world.loop, KEY_PERIOD)
        self.recent: deque[str] = deque(maxlen=RECENT_COUNT)
        self.holders: dict[str, list[Holder]] = {}
        self.asking: dict[tuple[str, str], list[tuple[Process, asyncio.Task]]] = {}  # by operation and attempt
        self.released: set[tuple[str, Holder]] = set()  # a holder that released an operation never claims it again
        self.serial = 0

    def start(self) -> None:
        """Start to send claims."""
        self._later()

    def _later(self) -> None:
        self.world.loop.world.soon(self._next, wait=self.random.expovariate(1 / MEAN_INTERVAL_S))

    def _next(self) -> None:
        """Claim an operation through one or two cores at once, by one or two holders."""
        operation = self._operation()
        for _ in range(self.random.choice((1, 1, 2))):
            if core := self._pick_core():
                self.ask(core, Claim(operation, self._holder(operation)), self.random.choice((0.1, 0.5, 2.0)))
        self._later()

    def _pick_core(self) -> CoreMachine | None:
        """A random running core."""
        running = self.world.running()
        return self.random.choice(running) if running else None

    def _operation(self) -> str:
        if not self.recent or self.random.random() < 0.25:
            self.serial += 1
            self.recent.append(operation_id("tenant", f"key {self.serial}"))
        return self.random.choice(self.recent)

    def _holder(self, operation: str) -> Holder:
        """A new attempt, or one that has claimed the operation before."""
        known = [
            holder for holder in self.holders.setdefault(operation, []) if (operation, holder) not in self.released
        ]
        if known and self.random.random() < 0.3:
            return self.random.choice(known)
        self.serial += 1
        holder = Holder("core", "life", f"a{self.serial}")
        self.holders[operation].append(holder)
        return holder

    def ask(self, core: CoreMachine, claim: Claim, timeout_s: float) -> list[ClaimResult]:
        """Claim through a core and judge its answer, if it lives to give one; the returned list gets the result."""
        process, results = core.process, []
        again = self.random.random() < 0.15

        async def work() -> None:
            result = await process.plane.claims.claim(claim, timeout_s)  # type: ignore[union-attr]
            results.append(result)
            if again and result.outcome is not Outcome.HELD and not self._is_in_use(claim):
                self.claims.on_release(claim)
                self.released.add((claim.operation, claim.holder))
                process.plane.claims.release(claim)  # type: ignore[union-attr]
            else:
                self.claims.on_answer(claim, result)

        task = process.spawn(work())  # type: ignore[union-attr]
        self.asking.setdefault((claim.operation, claim.holder.attempt), []).append((process, task))
        return results

    def _is_in_use(self, claim: Claim) -> bool:
        """Whether the holder waits for another answer or has been granted the operation, and so must not release it."""
        key = claim.operation, claim.holder.attempt
        others = [task for process, task in self.asking[key] if process.alive and not task.done()]
        used = any(grant.holder == key[1] for grant in self.claims.grants.get(key[0], []))
        return used or len(others) > 1

    def check_recovery(self) -> None:
        """Check after all faults that each core answers a claim."""
        for core in self.world.running():
            claim = Claim(operation_id("last", core.host), Holder("core", "life", "last"))
            results = self.ask(core, claim, RECOVERY_TIMEOUT_S)
            self.world.loop.run(self.world.loop.now + RECOVERY_TIMEOUT_S + 0.1)
            if not results or results[0].outcome is Outcome.UNAVAILABLE:
                self.world.judge.report(f"{self.world.loop.now:.3f} no claim is answered at {core.host} in the end")
