"""Timing bounds, size and outcome of a soak run."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from knotwalk.runtime.settings import parse_settings
from tests.standins.documents import TENANT_CONTRACTS

GRACE_S = 6.0
BOUNDS = {
    "grace_period": f"{GRACE_S:g}s",
    "global_revocation": True,
    "revoke_timeout": "5s",
    "key_period": "6s",  # short, like the quota window, so that both elapse several times in a run
    "quota_window": "3s",
    "quota_overage": 0.1,
    "quota_slack": 8,
}
RULES = parse_settings({"node_name": "judge", "timing_bounds": BOUNDS}).bounds


@dataclass
class Shape:
    """Size of a run. Each field is a command-line option of `python -m tests.soak`."""

    edges: int = 4
    clients: int = 24
    length: float = 15.0
    series: int = 8
    cores: int = 3
    tolerance: int = 1  # core machines that may be lost at once, as in the settings
    contracts: str = ",".join(TENANT_CONTRACTS)  # empty: no tenants, API keys or operation keys

    @property
    def has_tenants(self) -> bool:
        """Whether requests carry API keys."""
        return bool(self.contracts)


@dataclass
class Outcome:
    """Result of a run. `lag` is the longest delay of the test process's own event loop, in seconds."""

    seed: int
    findings: list[str] = field(default_factory=list)
    counts: Counter = field(default_factory=Counter)
    acts: Counter = field(default_factory=Counter)
    lag: float = 0.0
