"""What edges told of demand and of nodes' load, gathered over the last few seconds. Pure.

A report holds sums since the edge's last one, only what the placement reads (they are passed on between zones, where
bytes are priced): `demand` by service and slice as requests, `nodes` by id as [loads told, how many, slots], and where
none was told [0, 0, slots, answers, failures, refusals, busy seconds of the answers]. `bad` names the nodes that an
edge met with trouble at: [bad tries, tries that its row of `nodes` does not count] (`discovery.outliers`).
"""

from collections import deque
from itertools import zip_longest

from knotwalk.discovery.outliers import OutlierDetection

CALLER_TIMEOUT_S = (
    3.0  # seconds since its last call in which an edge counts as calling here; it calls at least once a second
)
ROUNDING_RESIDUE = 1e-6  # less than any count, and than the seconds of any request
WINDOW_S = 4.0  # seconds looked back: some tens of requests for a slice of a node, and two of an edge's reports


def merge_report(into: dict, raw: dict) -> None:
    """Add the sums of one report to another."""
    for service, slices in raw.get("demand", {}).items():
        there = into.setdefault("demand", {}).setdefault(service, {})
        for slice, requests in slices.items():
            there[slice] = there.get(slice, 0) + requests
    for id, row in raw.get("nodes", {}).items():
        there = into.setdefault("nodes", {})
        old = there.get(id)
        if old is not None:
            sums = [a + b for a, b in zip_longest(old, row, fillvalue=0)]
            row = [*sums[:2], row[2] or old[2], *sums[3:]]
        there[id] = list(row)
    for id, row in raw.get("bad", {}).items():
        there = into.setdefault("bad", {})
        there[id] = [a + b for a, b in zip(there.get(id, (0, 0)), row)]


def subtract_report(total: dict, raw: dict) -> None:
    """Take sums that were merged off again. What is left of nothing is dropped (seconds leave a rounding's rest)."""
    for id, row in raw.get("bad", {}).items():
        left = [a - b for a, b in zip(total["bad"][id], row)]
        if any(left):
            total["bad"][id] = left
        else:
            del total["bad"][id]
    for service, slices in raw.get("demand", {}).items():
        there = total["demand"][service]
        for slice, requests in slices.items():
            there[slice] = there.get(slice, requests) - requests
            if not there[slice]:
                del there[slice]
    there = total.get("nodes", {})
    for id, row in raw.get("nodes", {}).items():
        old = there.get(id, row)
        left = [a - b for a, b in zip_longest(old, row, fillvalue=0)]
        left[2] = 0
        there[id] = [*left[:2], old[2], *left[3:]]
        if max(left) < ROUNDING_RESIDUE:
            del there[id]


class LoadReports:
    """Reports of all edges, however they came. `unsent` are those that came here and are yet to be told to others."""

    def __init__(self) -> None:
        self.outlier_detection = OutlierDetection()
        self.window: deque[tuple[float, dict]] = deque()
        self.window_total: dict = {}  # the window's sums, kept up as reports come and leave it
        self.demand_since: dict[str, float] = {}  # by service: when its demand was heard of first, after none for SPAN
        self.unsent: dict = {}
        self.edges: dict[str, float] = {}  # by name: when last heard of
        self._callers: dict[str, float] = {}  # by name: when it last called here; only these are passed on

    def record_edge(self, now: float, edge: str, called: bool = True) -> None:
        """An edge `called` here, or another core says that it called there."""
        self.edges[edge] = now
        if called:
            self._callers[edge] = now

    def add_report(self, now: float, raw: dict, own: bool) -> None:
        """A report that came from an edge (`own`) or was passed on by another core."""
        if own:
            merge_report(self.unsent, raw)
        self.outlier_detection.add_report(now, raw)
        there = self.window_total.get("demand", {})
        self.demand_since |= {
            service: now for service, slices in raw.get("demand", {}).items() if slices and not there.get(service)
        }
        merge_report(self.window_total, raw)
        if self.window and now - self.window[-1][0] < 0.25:
            merge_report(self.window[-1][1], raw)
        else:
            first: dict = {}
            merge_report(first, raw)
            self.window.append((now, first))

    def edge_count(self, now: float) -> int:
        """How many edges were heard of in the last ten seconds."""
        self.edges = {name: at for name, at in self.edges.items() if now - at < 10.0}
        return len(self.edges)

    def take_unsent(self, now: float) -> dict:
        """What came here since the last call, to be told to the other cores."""
        told, self.unsent = self.unsent, {}
        self._callers = {name: at for name, at in self._callers.items() if now - at < CALLER_TIMEOUT_S}
        if self._callers:
            # Not those heard of by others: two cores would keep a lost one alive.
            told["edges"] = list(self._callers)
        return told

    def window_sums(self, now: float) -> tuple[dict, dict[str, float]]:
        """The sums of the last SPAN seconds, not to be changed, and by service the seconds that they are of: fewer
        where its demand began meanwhile. That the first report is of the second before and the last are some tenths old
        makes up for each other within a fifth, once each edge has sent two."""
        while self.window and self.window[0][0] < now - WINDOW_S:
            subtract_report(self.window_total, self.window.popleft()[1])
        span = now - self.window[0][0] if self.window else WINDOW_S
        return self.window_total, {
            service: max(1.0, min(span, now - self.demand_since[service]))
            for service, slices in self.window_total.get("demand", {}).items()
            if slices
        }
