"""What each node can do, learned from the demand of its slices and the utilization that is heard of it.

The paper takes capacities as given. Here a node's capacity is the demand of its slices over its utilization, both
summed over its last samples (single reports swing, and a mean of ratios overrates). Demand and capacity are in the
same unit, whichever the caller counts in (requests a second, better times their mean work).

A service none of whose nodes tells its load is judged by Little's law from what edges count at each node: tries a
second times the mean time of those answered is how many the node has in hand, running and waiting. Tries that failed
or were turned away count as long as an answered one, or a node that fails fast would look idle and be given more; one
that answered nothing is not judged. Counts by node, not the slices' busy seconds by owner line: these name the owner of
now, for a line moved a second ago the wrong one, and hold no failures. How many are in hand grows without end near full
use (two slots 0.7 used: 1.4 a slot), so it is brought to the measure of told loads, which count who waits up to half a
round (`Seen.told`): else a mean above 1 would stop all passes (k_p is then below it, and no target has room).
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from knotwalk.discovery.view_types import Node

SAMPLES = 10  # as many as the service's estimates keep
EVERY = 0.9  # s between two samples: reports tell of the last second or two, so closer ones say the same twice
# A report tells of the last second or two, and a moved slice's requests under way end within one more.
SETTLE = 2.0
# Below this a report tells next to nothing of what the node could do (of 2 slots, one request a tenth of the time).
LEAST = 0.05
# Samples' worth of the service's own figure that is mixed in: steadies the first. At 2, a node of half the usual size
# was still filled to 1.14 after 90 s.
PRIOR = 0.5
HALVINGS = 20  # of the range of use, when it is sought by the number in hand: to a millionth


@dataclass
class LoadReport:
    """What was heard of loads. Utilization: (running + waiting) / slots, a mean over the last seconds; who waits counts
    up to half a round."""

    demand: dict[str, dict[int, float]] = field(default_factory=dict)  # by service and slice, of the last seconds
    utilization: dict[str, float] = field(default_factory=dict)  # by node
    heard: dict[str, float] = field(default_factory=dict)  # by node: when (the caller's clock, s)
    unreachable: set[str] = field(default_factory=set)  # listed, but not reached (Keeper.unreachable)
    ailing: frozenset[str] = frozenset()  # listed and there, but most that goes there goes wrong
    spans: dict[str, float] = field(default_factory=dict)  # by service: the seconds that its demand was heard over
    lapsed: frozenset[tuple[str, int]] = frozenset()  # slices that such a node held no longer (Keeper.lapsed)
    avoided: frozenset[str] = frozenset()  # not reached by another core: given no more keys while there are others


def utilizations(
    rows: Mapping[str, Sequence[float]], spans: Mapping[str, float], nodes: Mapping[str, Node]
) -> dict[str, float]:
    """Utilization by node, from edges' sums of the last seconds, so many by service (rows as in `discovery.loads`).

    Nodes that nothing can be said of are left out."""
    rows = {id: row for id, row in rows.items() if id in nodes}
    telling = {nodes[id].service for id, row in rows.items() if row[1]}
    found = {}
    for id, (told, count, slots, *tries) in rows.items():
        slots = max(1, slots)
        if count:
            found[id] = told / count / slots
        elif nodes[id].service not in telling and tries and tries[0]:
            ok, failed, refused, busy = tries
            found[id] = by_count((ok + failed + refused) / spans.get(nodes[id].service, 1.0) * busy / ok, int(slots))
    return found


def by_count(in_hand: float, slots: int) -> float:
    """The utilization of a node that has so many requests in hand on average, as its answers would tell it: who waits
    counts up to half a round (the queue is taken for one of random arrivals, its tail for geometric).

    The mean queue at use r of c slots is r ** sqrt(2 (c + 1)) / (1 - r); source: Sakasegawa, "An approximation formula
    Lq = a r^b / (1 - r)", 1977.

    >>> [round(by_count(n, 2), 2) for n in (0.0, 0.5, 1.0, 3.0, 10.0, 1000.0)]
    [0.0, 0.25, 0.46, 0.94, 1.3, 1.5]
    """
    low, high = 0.0, 1.0
    for _ in range(HALVINGS):
        use = (low + high) / 2
        if slots * use + use ** math.sqrt(2 * (slots + 1)) / (1 - use) <= in_hand:
            low = use
        else:
            high = use
    return low + (in_hand - slots * low) * (1 - low ** (slots // 2)) / slots


@dataclass(slots=True)
class _Record:
    service: str
    heard: float = float("-inf")
    samples: deque[tuple[float, float]] = field(default_factory=lambda: deque(maxlen=SAMPLES))


class Capacities:
    """Estimates by node, kept as reports come."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def hear(
        self,
        nodes: Mapping[str, Node],
        work: Mapping[str, float],
        report: LoadReport,
        moved: Mapping[str, float],
        cold: Iterable[str],
    ) -> None:
        """Take a report: `work` is the demand of each node's slices, `moved` when one last came or went.

        Counted are reports that are new, of warm nodes, settled since the node's last move, and not of idle ones; none
        of a service whose demand has just begun. It comes by edges' reports a second apart, and is uneven until each
        sent two."""
        cold = set(cold)
        for id in self._records.keys() - nodes.keys():
            del self._records[id]
        for id, node in nodes.items():
            record = self._records.setdefault(id, _Record(node.service))
            heard, used = report.heard.get(id), report.utilization.get(id)
            if heard is None or used is None or heard < record.heard + EVERY:
                continue
            if report.spans.get(node.service, SETTLE) < SETTLE:
                continue
            record.heard = heard
            if id not in cold and heard >= moved.get(id, float("-inf")) + SETTLE and used >= LEAST and work.get(id, 0):
                record.samples.append((work[id], used))

    def estimates(self, nodes: Mapping[str, Node]) -> dict[str, float]:
        """Capacity of each node; one that was never heard at work gets its service's average (by slots), and 0 tells
        that nothing of the service is known yet."""
        found: dict[str, float] = {}
        by_service: dict[str, list[str]] = {}
        for id, node in nodes.items():
            by_service.setdefault(node.service, []).append(id)
        for ids in by_service.values():
            sums = {id: self._sums(id) for id in ids}
            heard = [id for id in ids if sums[id][0]]
            work = sum(sums[id][1] for id in heard)
            used = sum(sums[id][2] * max(1, nodes[id].capacity) for id in heard)
            slot = work / used if used else 0.0  # what one slot of the service does
            mean = sum(sums[id][2] for id in heard) / sum(sums[id][0] for id in heard) if heard else 0.0
            for id in ids:
                count, done, busy = sums[id]
                usual = slot * max(1, nodes[id].capacity)
                found[id] = (done + PRIOR * usual * mean) / (busy + PRIOR * mean) if count else usual
        return found

    def _sums(self, id: str) -> tuple[int, float, float]:
        record = self._records.get(id)
        if record is None:
            return 0, 0.0, 0.0
        return (len(record.samples), sum(work for work, _ in record.samples), sum(used for _, used in record.samples))
