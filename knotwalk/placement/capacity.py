"""What each node can do, estimated from the demand of its slices and the utilization reported of it.

The paper takes capacities as given. Here a node's capacity is the demand of its slices over its utilization, both
summed over its last samples (single reports vary, and a mean of ratios overestimates). Demand and capacity are in the
same unit, the caller's (requests a second, or better these times their mean work).

In a service none of whose nodes reports its load, utilization follows by Little's law from what edges count at each
node: tries a second times the mean time of those answered is the number of requests in flight there, running and
waiting. Tries that failed or were refused count as long as an answered one, or a node that fails fast would look idle
and be given more; a node that answered nothing is not judged. The counts are per node, not the slices' busy seconds
per owner line: a line names the current owner, which is wrong for one moved a second ago, and holds no failures. The
number in flight grows without limit near full use (two slots at 0.7: 1.4 a slot), so it is converted to the scale of
reported loads, which count waiting requests for at most half a round (`LoadReport.utilization`): else a mean above 1
would stop all passes, since k_p would be below it and no target would have room.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from knotwalk.discovery.view_types import Node

MAX_SAMPLES = 10  # of a node, as decide/ keeps of a server
# Between two samples: a report covers the last second or two, so closer ones would count the same load twice.
SAMPLE_INTERVAL_S = 0.9
# After a move: a report covers the last second or two, and the moved slice's requests in flight end within one more.
SETTLE_S = 2.0
# A report below this hardly tells what the node could do (of 2 slots: one request a tenth of the time).
MIN_UTILIZATION = 0.05
# Weight of the service's average capacity in each estimate, in samples; it steadies the first estimates. At 2, a node
# of half the usual size was still filled to 1.14 after 90 s.
PRIOR_SAMPLES = 0.5
BISECTION_STEPS = 20  # in the search for a utilization: to a millionth


@dataclass
class LoadReport:
    """What is known of loads and of faulty nodes, for one run of the placer."""

    demand: dict[str, dict[int, float]] = field(default_factory=dict)  # by service and slice, over the last seconds
    # By node: (running + waiting) / slots, a mean over the last seconds; a waiting request counts for at most half a
    # round of all slots.
    utilization: dict[str, float] = field(default_factory=dict)
    heard_at: dict[str, float] = field(default_factory=dict)  # by node: when utilization was reported (caller's clock)
    unreachable: set[str] = field(default_factory=set)  # listed nodes that cannot be reached (Keeper.unreachable)
    outliers: frozenset[str] = frozenset()  # listed and reachable nodes at which most requests fail
    demand_spans: dict[str, float] = field(default_factory=dict)  # by service: the seconds that its demand covers
    lapsed: frozenset[tuple[str, int]] = frozenset()  # slices whose unreachable owner's hold has ended (Keeper.lapsed)
    avoided: frozenset[str] = frozenset()  # nodes that another core cannot reach: no more keys while there are others


def utilizations_by_node(
    rows: Mapping[str, Sequence[float]], spans: Mapping[str, float], nodes: Mapping[str, Node]
) -> dict[str, float]:
    """Utilization by node, from edges' sums over `spans` seconds by service (rows as in `discovery.loads`).

    Nodes without any usable count are left out."""
    rows = {id: row for id, row in rows.items() if id in nodes}
    reporting = {nodes[id].service for id, row in rows.items() if row[1]}
    utilizations = {}
    for id, (load_sum, count, slots, *tries) in rows.items():
        slots = max(1, slots)
        if count:
            utilizations[id] = load_sum / count / slots
        elif nodes[id].service not in reporting and tries and tries[0]:
            ok, failed, refused, busy = tries
            utilizations[id] = utilization_from_in_flight(
                (ok + failed + refused) / spans.get(nodes[id].service, 1.0) * busy / ok, int(slots)
            )
    return utilizations


def utilization_from_in_flight(in_flight: float, slots: int) -> float:
    """The utilization of a node with so many requests in flight on average, on the scale that its answers would report:
    waiting requests count for at most half a round (assuming random arrivals and a geometric tail of the queue).

    The mean queue at use r of c slots is r ** sqrt(2 (c + 1)) / (1 - r); source: Sakasegawa, "An approximation formula
    Lq = a r^b / (1 - r)", 1977.

    >>> [round(utilization_from_in_flight(n, 2), 2) for n in (0.0, 0.5, 1.0, 3.0, 10.0, 1000.0)]
    [0.0, 0.25, 0.46, 0.94, 1.3, 1.5]
    """
    low, high = 0.0, 1.0
    for _ in range(BISECTION_STEPS):
        use = (low + high) / 2
        if slots * use + use ** math.sqrt(2 * (slots + 1)) / (1 - use) <= in_flight:
            low = use
        else:
            high = use
    return low + (in_flight - slots * low) * (1 - low ** (slots // 2)) / slots


@dataclass(slots=True)
class _NodeSamples:
    service: str
    sampled_at: float = float("-inf")
    samples: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=MAX_SAMPLES)
    )  # (work, utilization)


class CapacityEstimator:
    """Estimates by node, updated by reports."""

    def __init__(self) -> None:
        self._by_node: dict[str, _NodeSamples] = {}

    def add_report(
        self,
        nodes: Mapping[str, Node],
        work: Mapping[str, float],
        report: LoadReport,
        moved: Mapping[str, float],
        cold: Iterable[str],
    ) -> None:
        """Add a report; `work` is the demand of each node's slices, `moved` when a slice last came or went.

        Only new reports of warm and busy nodes that have settled since their last move count, and none of a service
        whose demand has just begun: edges report it a second apart, and it is uneven until each has reported twice."""
        cold = set(cold)
        for id in self._by_node.keys() - nodes.keys():
            del self._by_node[id]
        for id, node in nodes.items():
            node_samples = self._by_node.setdefault(id, _NodeSamples(node.service))
            heard_at, used = report.heard_at.get(id), report.utilization.get(id)
            if heard_at is None or used is None or heard_at < node_samples.sampled_at + SAMPLE_INTERVAL_S:
                continue
            if report.demand_spans.get(node.service, SETTLE_S) < SETTLE_S:
                continue
            node_samples.sampled_at = heard_at
            if (
                id not in cold
                and heard_at >= moved.get(id, float("-inf")) + SETTLE_S
                and used >= MIN_UTILIZATION
                and work.get(id, 0)
            ):
                node_samples.samples.append((work[id], used))

    def estimates(self, nodes: Mapping[str, Node]) -> dict[str, float]:
        """Capacity of each node. A node without samples gets its service's average per slot; 0 means that nothing of
        the service is known yet."""
        capacities: dict[str, float] = {}
        by_service: dict[str, list[str]] = {}
        for id, node in nodes.items():
            by_service.setdefault(node.service, []).append(id)
        for ids in by_service.values():
            sums = {id: self._sums(id) for id in ids}
            sampled = [id for id in ids if sums[id][0]]
            work = sum(sums[id][1] for id in sampled)
            used = sum(sums[id][2] * max(1, nodes[id].capacity) for id in sampled)
            slot = work / used if used else 0.0  # capacity of one slot of the service
            mean = sum(sums[id][2] for id in sampled) / sum(sums[id][0] for id in sampled) if sampled else 0.0
            for id in ids:
                count, done, busy = sums[id]  # samples, their total work and utilization
                usual = slot * max(1, nodes[id].capacity)
                capacities[id] = (
                    (done + PRIOR_SAMPLES * usual * mean) / (busy + PRIOR_SAMPLES * mean) if count else usual
                )
        return capacities

    def _sums(self, id: str) -> tuple[int, float, float]:
        node = self._by_node.get(id)
        if node is None:
            return 0, 0.0, 0.0
        return (len(node.samples), sum(work for work, _ in node.samples), sum(used for _, used in node.samples))
