"""Tenants of a soak run as its clients and its operator know them: keys, limits and operations. Pure but for chance."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from random import Random

from tests.soak.ledger import InForce
from tests.standins.documents import SHARED, tenant

OPERATIONS_KEPT = 40  # of which a repeat is chosen
AGAIN_PART, REPEAT_PART = 0.7, 0.25  # share of keyed requests that go on with a failed one, or repeat any
REVOKED_PART, UNKNOWN_PART = 0.1, 0.03  # share of requests with a key that was taken away, or never was
FACTORS = (0.5, 1.0, 1.0, 2.0)  # of a tenant's first limit


@dataclass(frozen=True)
class Operation:
    """What all tries with one `Operation-Key` have alike."""

    tenant: str
    name: str
    path: str
    shard: int


@dataclass
class Tenancy:
    """`keys` and `limits` (requests a second, and beyond) are those that were acknowledged last, by tenant."""

    keys: dict[str, list[str]] = field(default_factory=dict)
    limits: dict[str, tuple[float, float]] = field(default_factory=dict)
    revoked: list[tuple[str, str]] = field(default_factory=list)
    operations: deque[Operation] = field(default_factory=lambda: deque(maxlen=OPERATIONS_KEPT))
    failed: deque[Operation] = field(default_factory=lambda: deque(maxlen=OPERATIONS_KEPT))
    first: dict[str, tuple[float, float]] = field(default_factory=dict)
    numbers: dict[str, int] = field(default_factory=dict)

    @classmethod
    def of(cls, document: dict = SHARED) -> Tenancy:
        """As a configuration has them."""
        made = cls()
        for item in document["objects"]:
            if item["object_kind"] == "tenants":
                name, told = item["metadata"]["name"], item["specification"]
                made.keys[name] = list(told["api_keys"])
                made.limits[name] = made.first[name] = (told["rate_per_s"], told["burst_size"])
        return made

    def in_force(self, sent: float) -> InForce:
        """All of this as the judge sees it, sent at a time."""
        holders = {key: name for name, keys in self.keys.items() for key in keys}
        return InForce(sent, holders=holders, limits=dict(self.limits))

    # -- what clients use

    def key(self, luck: Random, name: str = "") -> tuple[str, str]:
        """A tenant's name and a key to show; a key that no tenant has comes with no name."""
        if not name and self.revoked and luck.random() < REVOKED_PART:
            return luck.choice(self.revoked)
        if not name and luck.random() < UNKNOWN_PART:
            return "", "k-nobody"
        name = name or luck.choice(list(self.keys))
        return name, luck.choice(self.keys[name])

    def operation(self, luck: Random, prefix: str) -> Operation:
        """An operation to begin, to go on with after a failure, or to repeat."""
        if self.failed and luck.random() < AGAIN_PART:
            return self.failed.popleft()
        if self.operations and luck.random() < REPEAT_PART:
            return luck.choice(self.operations)
        name = luck.choice(list(self.keys))
        number = self.numbers[name] = self.numbers.get(name, 0) + 1  # tenants use the same names
        made = Operation(name, f"k-{number}", f"{prefix}{name}-{number}", luck.randrange(65536))
        self.operations.append(made)
        return made

    def limited(self, luck: Random) -> str:
        """A tenant with a limit."""
        return luck.choice([name for name, (rate, _) in self.first.items() if rate])

    # -- what the operator changes

    def revoke(self, luck: Random) -> dict:
        """Take a tenant's oldest key away and give it a new one: the tenant as it is sent."""
        name = luck.choice(list(self.keys))
        gone, *left = self.keys[name]
        self.revoked.append((name, gone))
        self.keys[name] = [*left, f"k-{name}-{self.number()}"]
        return self.sent(name)

    def limit(self, luck: Random) -> dict:
        """Change a tenant's limit: the tenant as it is sent."""
        name, factor = self.limited(luck), luck.choice(FACTORS)
        rate, burst = self.first[name]
        self.limits[name] = (rate * factor, burst * factor)
        return self.sent(name)

    def number(self) -> int:
        return 100 + len(self.revoked)

    def sent(self, name: str) -> dict:
        """A tenant as it is sent."""
        return tenant(name, self.keys[name], *self.limits[name])
