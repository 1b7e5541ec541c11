"""Which nodes the cores cannot reach, as they report to each other: advice for placement, never proof of a failure.

Each core finds out by its own calls to nodes. Once a second, along with the loads, it reports to the others which nodes
have not answered it, and for how long. A node that another core cannot reach gets no further keys while there are other
nodes. It keeps the keys that it has, and no holder is cleared because of such a report (`leases.slice_lease`).

Pure: `now` is a monotonic clock's time, in seconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from dacite import Config, DaciteError, from_dict

# How long a core's report is valid: reports come once a second, so a core that falls silent is soon ignored.
REPORT_TTL_S = 3.0


@dataclass(frozen=True)
class UnreachedNodes:
    """The report of core `core`: by node, for how many seconds it has not answered; see openapi/peers.yaml."""

    core: str
    nodes: dict[str, float]

    def to_dict(self) -> dict:
        """Convert to the JSON values that are sent."""
        return {"core": self.core, "nodes": {id: round(age, 1) for id, age in self.nodes.items()}}


def parse_unreached_nodes(raw: object) -> UnreachedNodes:
    """Parse a received report; ValueError says what is wrong with it."""
    try:
        return from_dict(UnreachedNodes, raw, Config(strict=False, cast=[float]))  # type: ignore[arg-type]
    except (DaciteError, TypeError, ValueError, AttributeError) as error:
        raise ValueError(f"unreached nodes: {error}") from None


class PeerReachability:
    """The latest report of each other core."""

    def __init__(self) -> None:
        self._reports: dict[str, tuple[float, UnreachedNodes]] = {}

    def add_report(self, now: float, report: UnreachedNodes) -> None:
        """Add a core's report; it replaces the core's previous one."""
        self._reports[report.core] = now, report

    def unreached_since(self, now: float) -> Mapping[str, float]:
        """Nodes that some other core cannot reach, with the time on this clock at which its calls began to fail."""
        self._reports = {
            core: (received_at, report)
            for core, (received_at, report) in self._reports.items()
            if now - received_at < REPORT_TTL_S
        }
        since: dict[str, float] = {}
        for received_at, report in self._reports.values():
            for id, age in report.nodes.items():
                since[id] = min(since.get(id, received_at - age), received_at - age)
        return since
