"""Tokens of tenants' limits that were taken for asks whose claim is not known yet. Pure.

An attempt asks again until its claim is known, so each has one token at most: the next ask of the attempt uses the one
that the ask before has taken.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

# Seconds that a token is held for an attempt that asks no more; it asks again within some ms, or has been refused.
HELD_FOR = 1.0


@dataclass(frozen=True, slots=True)
class Attempt:
    """A request of an edge's life."""

    life: str
    attempt: str


@dataclass(frozen=True, slots=True)
class HeldToken:
    """A token of `tenant`, held until a time of the steady clock."""

    tenant: str
    until: float


class HeldTokens:
    """One token for each attempt that has one, the oldest first."""

    def __init__(self) -> None:
        self.held: OrderedDict[Attempt, HeldToken] = OrderedDict()

    def hold(self, now: float, attempt: Attempt, tenant: str) -> None:
        """The attempt has taken a token, and its claim is not known."""
        self.held[attempt] = HeldToken(tenant, now + HELD_FOR)
        self.held.move_to_end(attempt)

    def use(self, attempt: Attempt) -> str | None:
        """The tenant whose token the attempt has, which it holds no more from here on; None if it has none."""
        held = self.held.pop(attempt, None)
        return held.tenant if held is not None else None

    def ended(self, now: float) -> list[str]:
        """The tenants of tokens whose attempts ask no more, one for each token; they are held no more."""
        found = []
        while self.held:
            attempt, oldest = next(iter(self.held.items()))
            if now < oldest.until:
                break
            del self.held[attempt]
            found.append(oldest.tenant)
        return found
