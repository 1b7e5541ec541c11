"""Tokens of tenants' limits that were taken for admission requests whose claim has no outcome yet. Pure.

An attempt asks again until its claim has an outcome, so it holds one token at most: its next admission request uses the
token that the previous one took.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

# How long a token is held for an attempt that asks no more: an attempt asks again within some ms, or has been refused.
HOLD_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class Attempt:
    """A request of one incarnation of an edge."""

    incarnation: str
    attempt: str


@dataclass(frozen=True, slots=True)
class HeldToken:
    """A token of `tenant`, held until `expires_at` by the monotonic clock."""

    tenant: str
    expires_at: float


class HeldTokens:
    """One token for each attempt that holds one, oldest first."""

    def __init__(self) -> None:
        self.held: OrderedDict[Attempt, HeldToken] = OrderedDict()

    def hold(self, now: float, attempt: Attempt, tenant: str) -> None:
        """Hold a token for an attempt whose claim has no outcome yet."""
        self.held[attempt] = HeldToken(tenant, now + HOLD_TIMEOUT_S)
        self.held.move_to_end(attempt)

    def pop(self, attempt: Attempt) -> str | None:
        """Remove the attempt's token and return its tenant; None if it holds none."""
        held = self.held.pop(attempt, None)
        return held.tenant if held is not None else None

    def pop_expired(self, now: float) -> list[str]:
        """Remove the tokens of attempts that ask no more; the tenant of each token."""
        tenants = []
        while self.held:
            attempt, oldest = next(iter(self.held.items()))
            if now < oldest.expires_at:
                break
            del self.held[attempt]
            tenants.append(oldest.tenant)
        return tenants
