"""Tenants of a soak run: API keys, limits and operations, as known to clients and operator. Does no I/O."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from random import Random

from tests.soak.ledger import TenantConfiguration
from tests.standins.documents import SHARED, tenant

MAX_OPERATIONS = 40  # latest operations, from which repeats are chosen
RETRY_SHARE, REPEAT_SHARE = 0.7, 0.25  # share of keyed requests that retry a failed operation, or repeat any
REVOKED_SHARE, UNKNOWN_SHARE = 0.1, 0.03  # share of requests with a revoked key, or one that never existed
LIMIT_FACTORS = (0.5, 1.0, 1.0, 2.0)  # multiples of a tenant's initial limit


@dataclass(frozen=True)
class Operation:
    """Fields shared by all attempts with one `Operation-Key`."""

    tenant: str
    name: str
    path: str
    shard: int


@dataclass
class Tenancy:
    """`keys` and `limits` (requests per second, burst size) are those in the latest configuration, by tenant."""

    keys: dict[str, list[str]] = field(default_factory=dict)
    limits: dict[str, tuple[float, float]] = field(default_factory=dict)
    revoked: list[tuple[str, str]] = field(default_factory=list)
    operations: deque[Operation] = field(default_factory=lambda: deque(maxlen=MAX_OPERATIONS))
    failed: deque[Operation] = field(default_factory=lambda: deque(maxlen=MAX_OPERATIONS))
    initial_limits: dict[str, tuple[float, float]] = field(default_factory=dict)
    operation_counts: dict[str, int] = field(default_factory=dict)

    @classmethod
    def from_document(cls, document: dict = SHARED) -> Tenancy:
        """Reads tenants from a configuration document."""
        tenancy = cls()
        for item in document["objects"]:
            if item["object_kind"] == "tenants":
                name, specification = item["metadata"]["name"], item["specification"]
                tenancy.keys[name] = list(specification["api_keys"])
                tenancy.limits[name] = tenancy.initial_limits[name] = (
                    specification["rate_per_s"],
                    specification["burst_size"],
                )
        return tenancy

    def in_force(self, sent_at: float) -> TenantConfiguration:
        """Snapshot for the judge of a configuration sent at `sent_at`."""
        holders = {key: name for name, keys in self.keys.items() for key in keys}
        return TenantConfiguration(sent_at, holders=holders, limits=dict(self.limits))

    # -- used by clients

    def key(self, rng: Random, name: str = "") -> tuple[str, str]:
        """Returns a tenant's name and an API key to send; the name is empty for a key that never existed."""
        if not name and self.revoked and rng.random() < REVOKED_SHARE:
            return rng.choice(self.revoked)
        if not name and rng.random() < UNKNOWN_SHARE:
            return "", "k-nobody"
        name = name or rng.choice(list(self.keys))
        return name, rng.choice(self.keys[name])

    def operation(self, rng: Random, prefix: str) -> Operation:
        """Returns a new operation, one to retry after a failure, or one to repeat."""
        if self.failed and rng.random() < RETRY_SHARE:
            return self.failed.popleft()
        if self.operations and rng.random() < REPEAT_SHARE:
            return rng.choice(self.operations)
        name = rng.choice(list(self.keys))
        number = self.operation_counts[name] = (
            self.operation_counts.get(name, 0) + 1
        )  # different tenants use the same operation keys
        operation = Operation(name, f"k-{number}", f"{prefix}{name}-{number}", rng.randrange(65536))
        self.operations.append(operation)
        return operation

    def limited_tenant(self, rng: Random) -> str:
        """Returns the name of a random tenant with a limit."""
        return rng.choice([name for name, (rate, _) in self.initial_limits.items() if rate])

    # -- changes by the operator

    def revoke(self, rng: Random) -> dict:
        """Replaces a tenant's oldest API key; returns the tenant object to send."""
        name = rng.choice(list(self.keys))
        revoked_key, *remaining = self.keys[name]
        self.revoked.append((name, revoked_key))
        self.keys[name] = [*remaining, f"k-{name}-{self.next_key_number()}"]
        return self.tenant_object(name)

    def limit(self, rng: Random) -> dict:
        """Changes a tenant's limit; returns the tenant object to send."""
        name, factor = self.limited_tenant(rng), rng.choice(LIMIT_FACTORS)
        rate, burst = self.initial_limits[name]
        self.limits[name] = (rate * factor, burst * factor)
        return self.tenant_object(name)

    def next_key_number(self) -> int:
        return 100 + len(self.revoked)

    def tenant_object(self, name: str) -> dict:
        """Returns a tenant's object for a configuration change."""
        return tenant(name, self.keys[name], *self.limits[name])
