"""Claims that wait to be asked, oldest first."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass

from knotwalk.shared_state.messages import Claim

WAITING_MOST = 5000  # claims of one group that wait; the oldest give way


@dataclass(eq=False, slots=True)
class Waiting:
    """A claim and who waits for its result, until a time of the steady clock."""

    claim: Claim
    future: asyncio.Future
    until: float


class ClaimQueue:
    """The claims of one group that wait."""

    def __init__(self) -> None:
        self.waiting: deque[Waiting] = deque(maxlen=WAITING_MOST)

    def __len__(self) -> int:
        return len(self.waiting)

    def add(self, one: Waiting) -> None:
        """Let a claim wait."""
        self.waiting.append(one)

    def back(self, batch: list[Waiting]) -> None:
        """Let claims that were taken wait again, before the others."""
        self.waiting.extendleft(reversed(batch))

    def take(self, now: float, most: int) -> list[Waiting]:
        """The oldest that somebody still waits for."""
        found: list[Waiting] = []
        while self.waiting and len(found) < most:
            one = self.waiting.popleft()
            if not one.future.done() and one.until > now:
                found.append(one)
        return found
