"""Load reports of edges: demand and the load of nodes over the last few seconds. Pure.

A report holds sums since the edge's previous report, and only what placement needs, because reports are passed on
between zones, where traffic is charged. `demand` counts requests by service and slice. `nodes` is by node id: [sum of
reported loads, number of these, slots], or where no load was reported [0, 0, slots, responses, failures, refusals, sum
of the responses' durations in s]. `bad` is by node id, for nodes with faults: [bad attempts, attempts that the node's
row in `nodes` does not count] (see `discovery.outliers`).
"""

from collections import deque
from itertools import zip_longest

from knotwalk.discovery.outliers import OutlierDetection

# An edge counts as connected to this core for so long after its last call; it calls at least once a second.
CALLER_TIMEOUT_S = 3.0
# An edge that was not heard of for this long counts as gone.
EDGE_EXPIRY_S = 10.0
# A core's count of edges is complete once it has been fresh for this long: edges call some core at least once a second,
# and cores report their callers to each other once a second.
EDGES_KNOWN_AFTER_S = 3.0
ROUNDING_RESIDUE = 1e-6  # rounding error: less than any count, and than the duration of any request
WINDOW_S = 4.0  # covers some tens of requests for a slice of a node, and two reports of each edge


def merge_report(total: dict, report: dict) -> None:
    """Add the sums of a report to another one."""
    for service, slices in report.get("demand", {}).items():
        totals = total.setdefault("demand", {}).setdefault(service, {})
        for slice, requests in slices.items():
            totals[slice] = totals.get(slice, 0) + requests
    for id, row in report.get("nodes", {}).items():
        totals = total.setdefault("nodes", {})
        old = totals.get(id)
        if old is not None:
            sums = [a + b for a, b in zip_longest(old, row, fillvalue=0)]
            row = [*sums[:2], row[2] or old[2], *sums[3:]]
        totals[id] = list(row)
    for id, row in report.get("bad", {}).items():
        totals = total.setdefault("bad", {})
        totals[id] = [a + b for a, b in zip(totals.get(id, (0, 0)), row)]


def subtract_report(total: dict, report: dict) -> None:
    """Subtract the sums of a report that was merged; entries that become zero, up to rounding errors, are removed."""
    for id, row in report.get("bad", {}).items():
        rest = [a - b for a, b in zip(total["bad"][id], row)]
        if any(rest):
            total["bad"][id] = rest
        else:
            del total["bad"][id]
    for service, slices in report.get("demand", {}).items():
        totals = total["demand"][service]
        for slice, requests in slices.items():
            totals[slice] = totals.get(slice, requests) - requests
            if not totals[slice]:
                del totals[slice]
    totals = total.get("nodes", {})
    for id, row in report.get("nodes", {}).items():
        old = totals.get(id, row)
        rest = [a - b for a, b in zip_longest(old, row, fillvalue=0)]
        rest[2] = 0
        totals[id] = [*rest[:2], old[2], *rest[3:]]
        if max(rest) < ROUNDING_RESIDUE:
            del totals[id]


class LoadReports:
    """The reports of all edges, whichever core received them.

    `unsent` holds the sums of reports received here that the other cores have yet to be sent."""

    def __init__(self) -> None:
        self.outlier_detection = OutlierDetection()
        self.window: deque[tuple[float, dict]] = deque()
        self.window_total: dict = {}  # the sums over the window, updated as reports enter and leave it
        self.demand_since: dict[str, float] = {}  # by service: when its demand began, after none for the whole window
        self.unsent: dict = {}
        self.edges: dict[str, float] = {}  # by name: time of the last sign of life
        # By name: time of the last call to this core; only these edges are reported to other cores.
        self._callers: dict[str, float] = {}

    def record_edge(self, now: float, edge: str, called: bool = True) -> None:
        """Record that an edge called this core, or, without `called`, that it called another core."""
        self.edges[edge] = now
        if called:
            self._callers[edge] = now

    def add_report(self, now: float, report: dict, own: bool) -> None:
        """Add a report received from an edge (`own`) or passed on by another core."""
        if own:
            merge_report(self.unsent, report)
        self.outlier_detection.add_report(now, report)
        demand = self.window_total.get("demand", {})
        self.demand_since |= {
            service: now for service, slices in report.get("demand", {}).items() if slices and not demand.get(service)
        }
        merge_report(self.window_total, report)
        if self.window and now - self.window[-1][0] < 0.25:
            merge_report(self.window[-1][1], report)
        else:
            first: dict = {}
            merge_report(first, report)
            self.window.append((now, first))

    def edge_count(self, now: float) -> int:
        """The number of edges that showed a sign of life within EDGE_EXPIRY_S."""
        self.edges = {name: last_seen for name, last_seen in self.edges.items() if now - last_seen < EDGE_EXPIRY_S}
        return len(self.edges)

    def take_unsent(self, now: float) -> dict:
        """Take the sums received here since the last call, to be sent to the other cores."""
        report, self.unsent = self.unsent, {}
        self._callers = {
            name: last_call for name, last_call in self._callers.items() if now - last_call < CALLER_TIMEOUT_S
        }
        if self._callers:
            # Without edges known only from other cores: two cores would keep a lost edge alive for each other.
            report["edges"] = list(self._callers)
        return report

    def window_sums(self, now: float) -> tuple[dict, dict[str, float]]:
        """The sums over the window, not to be modified, and by service the number of seconds that they cover.

        A service whose demand began within the window covers less. The first report covers the second before it
        arrived, and the last reports are some tenths of a second old; the two errors cancel out to within a fifth once
        each edge has sent two reports."""
        while self.window and self.window[0][0] < now - WINDOW_S:
            subtract_report(self.window_total, self.window.popleft()[1])
        covered_s = now - self.window[0][0] if self.window else WINDOW_S
        return self.window_total, {
            service: max(1.0, min(covered_s, now - self.demand_since[service]))
            for service, slices in self.window_total.get("demand", {}).items()
            if slices
        }
