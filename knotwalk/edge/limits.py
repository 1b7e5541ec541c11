"""Which requests an edge must ask a core to admit, and which it refuses without asking. Pure.

Use, for each request with a tenant's key:

    if needs_ask(configuration, tenant):
        if wait := refusals.refused_for(now, tenant):
            answer 429 with `Retry-After: wait`
        else:
            ask the core; if it answers OVER_LIMIT: refusals.record(now, tenant, response.retry_after), answer 429
"""

from __future__ import annotations

from dataclasses import dataclass, field

from knotwalk.configuration.objects import Configuration

# Time after a refusal in which further requests of the tenant are refused without asking. The tokens that its limit
# gains meanwhile remain for the requests that ask afterwards.
REFUSE_FOR_S = 0.05
MAX_REMEMBERED_TENANTS = 1000  # above it expired refusals are removed


def needs_ask(configuration: Configuration, tenant: str) -> bool:
    """Whether the configuration in force limits this tenant's requests."""
    configured = configuration.tenants.get(tenant)
    return configured is not None and configured.rate_per_s > 0


@dataclass(frozen=True, slots=True)
class LimitRefusal:
    """A tenant is refused without asking until `until`; its clients may retry at `retry_at` (monotonic clock)."""

    until: float
    retry_at: float


@dataclass
class Refusals:
    """Tenants that were over their limits a moment ago, so that a flood of requests causes no calls to cores."""

    by_tenant: dict[str, LimitRefusal] = field(default_factory=dict)
    refused_without_ask: int = 0  # count of requests

    def refused_for(self, now: float, tenant: str) -> float:
        """Seconds after which the client may retry, if its request is refused now; otherwise 0.0."""
        refusal = self.by_tenant.get(tenant)
        if refusal is None or now >= refusal.until:
            return 0.0
        self.refused_without_ask += 1
        return refusal.retry_at - now

    def record(self, now: float, tenant: str, retry_after: float) -> None:
        """Record that a core answered OVER_LIMIT, with `retry_after` in seconds."""
        if len(self.by_tenant) >= MAX_REMEMBERED_TENANTS:
            self.by_tenant = {name: refusal for name, refusal in self.by_tenant.items() if refusal.until > now}
        self.by_tenant[tenant] = LimitRefusal(now + min(REFUSE_FOR_S, retry_after), now + retry_after)
