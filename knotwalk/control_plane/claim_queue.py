"""Queue of the claims that wait to be proposed or sent, oldest first."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass

from knotwalk.shared_state.messages import Claim

MAX_PENDING_CLAIMS = 5000  # of one group; the oldest are dropped


@dataclass(eq=False, slots=True)
class PendingClaim:
    """A claim, the future of its result, and the time of the monotonic clock until which the result is awaited."""

    claim: Claim
    future: asyncio.Future
    deadline: float


class ClaimQueue:
    """The pending claims of one group."""

    def __init__(self) -> None:
        self.claims: deque[PendingClaim] = deque(maxlen=MAX_PENDING_CLAIMS)

    def __len__(self) -> int:
        return len(self.claims)

    def add(self, pending: PendingClaim) -> None:
        """Append a claim."""
        self.claims.append(pending)

    def requeue(self, batch: list[PendingClaim]) -> None:
        """Put claims that were taken back, before the others."""
        self.claims.extendleft(reversed(batch))

    def take(self, now: float, limit: int) -> list[PendingClaim]:
        """Take up to `limit` of the oldest claims whose results are still awaited; drop the others."""
        batch: list[PendingClaim] = []
        while self.claims and len(batch) < limit:
            pending = self.claims.popleft()
            if not pending.future.done() and pending.deadline > now:
                batch.append(pending)
        return batch
