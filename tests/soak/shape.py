"""A soak run's bounds, size and outcome."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from knotwalk.runtime.settings import parse_settings
from tests.standins.documents import TENANT_CONTRACTS

GRACE = 6.0
BOUNDS = {
    "grace_period": f"{GRACE:g}s",
    "global_revocation": True,
    "revoke_timeout": "5s",
    "key_period": "6s",  # and a window of 3 s: both pass several times in a run
    "quota_window": "3s",
    "quota_overage": 0.1,
    "quota_slack": 8,
}
RULES = parse_settings({"node_name": "judge", "timing_bounds": BOUNDS}).bounds


@dataclass
class Shape:
    """How large a run is."""

    edges: int = 4
    clients: int = 24
    length: float = 15.0
    series: int = 8
    contracts: str = ",".join(TENANT_CONTRACTS)  # with none: no tenants, keys or operations

    @property
    def shared(self) -> bool:
        """Whether requests bear keys."""
        return bool(self.contracts)


@dataclass
class Told:
    """A run's outcome."""

    seed: int
    findings: list[str] = field(default_factory=list)
    counts: Counter = field(default_factory=Counter)
    acts: Counter = field(default_factory=Counter)
    lag: float = 0.0
