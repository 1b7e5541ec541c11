"""Those who claim operations: the same ones through several core machines, again, and some of them give back."""

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
    from tests.simulation.world import Place, World

PAUSE = 0.08  # seconds between claims, in the mean
RECENT = 12  # operations that are asked for again
CALM_PATIENCE = 3.0  # seconds within which a claim is answered once all is well


class Claimants:
    """All claims of a walk; what they were answered is judged."""

    def __init__(self, world: World):
        self.world, self.random = world, random.Random(f"claimants {world.seed}")
        self.claims = Claims(world.judge, world.loop, KEY_PERIOD)
        self.recent: deque[str] = deque(maxlen=RECENT)
        self.holders: dict[str, list[Holder]] = {}
        self.asking: dict[tuple[str, str], list[tuple[Process, asyncio.Task]]] = {}  # by operation and attempt
        self.released: set[tuple[str, Holder]] = set()  # who gives an operation back never asks for it again
        self.serial = 0

    def start(self) -> None:
        """Begin to claim."""
        self._later()

    def _later(self) -> None:
        self.world.loop.world.soon(self._next, wait=self.random.expovariate(1 / PAUSE))

    def _next(self) -> None:
        """One claim through one or two machines at once, by one holder or two."""
        operation = self._operation()
        for _ in range(self.random.choice((1, 1, 2))):
            if place := self.place():
                self.ask(place, Claim(operation, self._holder(operation)), self.random.choice((0.1, 0.5, 2.0)))
        self._later()

    def place(self) -> Place | None:
        """A machine that runs."""
        running = self.world.running()
        return self.random.choice(running) if running else None

    def _operation(self) -> str:
        if not self.recent or self.random.random() < 0.25:
            self.serial += 1
            self.recent.append(operation_id("tenant", f"key {self.serial}"))
        return self.random.choice(self.recent)

    def _holder(self, operation: str) -> Holder:
        """A new attempt, or one that asked before and asks again."""
        known = [one for one in self.holders.setdefault(operation, []) if (operation, one) not in self.released]
        if known and self.random.random() < 0.3:
            return self.random.choice(known)
        self.serial += 1
        made = Holder("core", "life", f"a{self.serial}")
        self.holders[operation].append(made)
        return made

    def ask(self, place: Place, claim: Claim, patience: float) -> list[ClaimResult]:
        """Claim through a machine; what it answers while it lives is judged. The result, once it is there."""
        process, found = place.process, []
        again = self.random.random() < 0.15

        async def work() -> None:
            result = await process.plane.claims.claim(claim, patience)  # type: ignore[union-attr]
            found.append(result)
            if again and result.outcome is not Outcome.HELD and not self._asks(claim):
                self.claims.releases(claim)
                self.released.add((claim.operation, claim.holder))
                process.plane.claims.release(claim)  # type: ignore[union-attr]
            else:
                self.claims.answered(claim, result)

        task = process.spawn(work())  # type: ignore[union-attr]
        self.asking.setdefault((claim.operation, claim.holder.attempt), []).append((process, task))
        return found

    def _asks(self, claim: Claim) -> bool:
        """Whether the holder waits for another answer, or has been answered before: it gives back only what it never
        used."""
        key = claim.operation, claim.holder.attempt
        others = [one for one in self.asking[key] if one[0].alive and not one[1].done()]
        used = any(one.holder == key[1] for one in self.claims.grants.get(key[0], []))
        return used or len(others) > 1

    def last(self) -> None:
        """All is well: each machine has a claim answered."""
        for place in self.world.running():
            claim = Claim(operation_id("last", place.host), Holder("core", "life", "last"))
            found = self.ask(place, claim, CALM_PATIENCE)
            self.world.loop.run(self.world.loop.now + CALM_PATIENCE + 0.1)
            if not found or found[0].outcome is Outcome.UNAVAILABLE:
                self.world.judge.report(f"{self.world.loop.now:.3f} no claim is answered at {place.host} in the end")
