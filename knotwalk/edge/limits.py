"""Which requests an edge must ask allowance for, and which it refuses without asking. Pure.

How to use it, for each request that bears a tenant's key:

    if needs_ask(configuration, tenant):
        if left := refusals.refused(now, tenant):
            answer 429 with `Retry-After: left`
        else:
            ask the core; if it says OVER_LIMIT: refusals.note(now, tenant, told.retry_after), answer 429
"""

from __future__ import annotations

from dataclasses import dataclass, field

from knotwalk.configuration.objects import Configuration

# Seconds after a refusal in which further requests of the tenant are refused without asking. Some tokens of its limit
# fill meanwhile, and stay for those who ask after it.
REFUSE_FOR = 0.05
REMEMBERED = 1000  # tenants; beyond it those whose time has passed are forgotten


def needs_ask(configuration: Configuration, tenant: str) -> bool:
    """Whether a limit binds this tenant's requests by the configuration in force."""
    found = configuration.tenants.get(tenant)
    return found is not None and found.rate_per_s > 0


@dataclass(frozen=True, slots=True)
class Refusal:
    """A tenant is refused without an ask before `until`; its clients may come back at `back` (steady clock)."""

    until: float
    back: float


@dataclass
class Refusals:
    """The tenants that were over their limits a moment ago, so that the storm of one costs nothing but the answers."""

    found: dict[str, Refusal] = field(default_factory=dict)
    unasked: int = 0  # requests that were refused without an ask

    def refused(self, now: float, tenant: str) -> float:
        """Seconds after which the client may come back, if its request is refused now; else 0.0."""
        refusal = self.found.get(tenant)
        if refusal is None or now >= refusal.until:
            return 0.0
        self.unasked += 1
        return refusal.back - now

    def note(self, now: float, tenant: str, retry_after: float) -> None:
        """A core said OVER_LIMIT, with `retry_after` (seconds)."""
        if len(self.found) >= REMEMBERED:
            self.found = {name: refusal for name, refusal in self.found.items() if refusal.until > now}
        self.found[tenant] = Refusal(now + min(REFUSE_FOR, retry_after), now + retry_after)
