"""Outlier detection: which nodes are faulty, by the failures that all edges together see at them. Pure.

A single edge sends a node few requests: of fifty edges each sends each of eighty nodes some eight requests a minute, so
what one edge learns about a node comes too late for most requests. A core receives the reports of all edges each second
and decides for all of them. Health checks are not used: a node may pass them while its requests fail, and vice versa.

A node is an outlier if more of its recent attempts were bad than the rate of its better peers explains: the probability
of so many is below MAX_FALSE_POSITIVE_RATE. An attempt is bad if it was lost, got no response, failed by the node's own
fault, or was rejected by a node that reports free slots; a rejection by a full node is not bad. Full nodes may reset
connections too, so a node that reports a full load is never an outlier, whatever is lost there: relieving it is up to
placement. Nodes are compared with their peers and not with a fixed rate: if all fail, none is worse than the rest, and
avoiding some would only put more load on the others.

An outlier is ejected for FIRST_EJECTION_S seconds: it gets no keys and, while there are other nodes, no requests. Then
it takes part again, which shows whether it has recovered. If it becomes an outlier again soon, it is ejected for twice
as long. At most MAX_EJECTED_FRACTION of a service's nodes are ejected at once, the worst first, or the remaining ones
would be overloaded.

Source of the test: a one-sided binomial test. Of ejection with growing duration and a bound on the number of ejected
nodes: outlier ejection as published for several RPC libraries' load balancers. Rates and durations are our own.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from knotwalk.discovery.binomial import binomial_tail
from knotwalk.discovery.view_types import Node

# The time in which a recorded attempt decays to 1/e of its weight. Edges report once a second, and two reports must
# suffice for a decision.
DECAY_TIME_S = 1.5
# The probability that a node which is no worse than its better peers is called an outlier by the attempts on record.
# They are replaced each DECAY_TIME_S. Stricter values take longer: with nine attempts, some 1.5 s of them, this value
# needs 3 bad ones, 1e-4 needs 4.
MAX_FALSE_POSITIVE_RATE = 3e-4
# The better half of a service's nodes determines the baseline rate, which has a minimum: when all is well nothing is
# bad for minutes, and a few bad responses in a row must not count as a sign then. With a minimum of 0.03, nodes that
# lost 45% of their requests were detected after 2.6 to 6 s, with this one after 1.6 to 4 s.
BASELINE_FRACTION, MIN_BASELINE_RATE = 0.5, 0.015
# The minimum share of a node's attempts that must be bad: below it, its requests are better off where the keys are.
MIN_BAD_FRACTION = 0.2
# The minimum number of bad attempts: one lost response may take a whole pipeline of requests with it.
MIN_BAD_TRIES = 3.0
# The first ejection, doubled each time up to the maximum; a node that was well for EJECTION_RESET_S starts again with
# the first.
FIRST_EJECTION_S, MAX_EJECTION_S, EJECTION_RESET_S = 4.0, 16.0, 10.0
# A node that reports this many requests a slot, running and waiting, is full (up to 1.5 are reported).
FULL_LOAD = 1.0
# The maximum share of a service's nodes that may be ejected at once.
MAX_EJECTED_FRACTION = 0.25


@dataclass(slots=True)
class NodeRecord:
    """What edges saw at a node, decaying: `tries` and how many of them were `bad`; and the node's ejections."""

    tries: float = 0.0
    bad: float = 0.0
    load_sum: float = 0.0  # sum of the requests a slot that its responses reported, over `load_reports` of them
    load_reports: float = 0.0
    updated_at: float = 0.0
    ejection_s: float = 0.0  # length of the last ejection
    ejected_until: float = float("-inf")  # when the last ejection ends or ended

    def decay(self, now: float) -> None:
        """Decay what was recorded before `now`, by its age."""
        weight = math.exp(min(0.0, self.updated_at - now) / DECAY_TIME_S)
        self.tries, self.bad, self.updated_at = self.tries * weight, self.bad * weight, now
        self.load_sum, self.load_reports = self.load_sum * weight, self.load_reports * weight


class OutlierDetection:
    """One core's decision. `add_report` takes reports as they arrive, `evaluate` returns the ejected nodes."""

    def __init__(self) -> None:
        self.records: dict[str, NodeRecord] = {}
        self.ejected: frozenset[str] = frozenset()

    def add_report(self, now: float, report: dict) -> None:
        """Add a report, of one edge or merged: rows of `nodes` and `bad` as in `discovery.loads`."""
        bad_rows = report.get("bad", {})
        for id, (load_sum, count, slots, *tries) in report.get("nodes", {}).items():
            if record := self._record(now, id):
                record.tries += count or sum(tries[:3])
                record.load_sum += load_sum / max(1, slots)
                record.load_reports += count
        for id, (bad, uncounted) in bad_rows.items():
            if record := self._record(now, id):
                record.tries += uncounted
                record.bad += bad

    def _record(self, now: float, id: str) -> NodeRecord | None:
        """The record of a node; None while it is ejected, because attempts that end then began before the ejection."""
        record = self.records.get(id)
        if record is None:
            record = self.records[id] = NodeRecord(updated_at=now)
        if now < record.ejected_until:
            return None
        record.decay(now)
        return record

    def evaluate(self, now: float, nodes: Mapping[str, Node]) -> frozenset[str]:
        """The ids of the nodes that are ejected now; `nodes` is the platform's list."""
        self.records = {id: record for id, record in self.records.items() if id in nodes}
        services: dict[str, dict[str, NodeRecord]] = {}
        for id, record in self.records.items():
            record.decay(now)
            services.setdefault(nodes[id].service, {})[id] = record
        ejected: set[str] = set()
        for service, records in services.items():
            service_ejected = {id for id, record in records.items() if now < record.ejected_until}
            remaining = int(MAX_EJECTED_FRACTION * sum(node.service == service for node in nodes.values())) - len(
                service_ejected
            )
            baseline_rate = self._baseline_rate(records.values())
            candidates = [
                (p_value, id)
                for id, record in records.items()
                if id not in service_ejected
                and (p_value := self._p_value(record, baseline_rate)) < MAX_FALSE_POSITIVE_RATE
            ]
            for _, id in sorted(candidates)[: max(0, remaining)]:
                self._eject(now, records[id])
                service_ejected.add(id)
            ejected |= service_ejected
        self.ejected = frozenset(ejected)
        return self.ejected

    @staticmethod
    def _baseline_rate(records: Iterable[NodeRecord]) -> float:
        """The share of bad attempts at the better half of the nodes."""
        ranked = sorted(
            (record for record in records if record.tries > 0), key=lambda record: record.bad / record.tries
        )
        better = ranked[: math.ceil(BASELINE_FRACTION * len(ranked))]
        return max(
            MIN_BASELINE_RATE,
            sum(record.bad for record in better) / sum(record.tries for record in better) if better else 0.0,
        )

    @staticmethod
    def _p_value(record: NodeRecord, baseline_rate: float) -> float:
        """How likely a node without a fault has this record, where `baseline_rate` of all attempts are bad."""
        if (
            record.bad < MIN_BAD_TRIES
            or record.bad < MIN_BAD_FRACTION * record.tries
            or record.load_sum > FULL_LOAD * record.load_reports
        ):
            return 1.0
        tries = max(1, round(record.tries))
        return binomial_tail(min(tries, round(record.bad)), tries, min(1.0, baseline_rate))

    @staticmethod
    def _eject(now: float, record: NodeRecord) -> None:
        """Eject a node; nothing else does. What was recorded before counts no more."""
        is_repeated = now < record.ejected_until + EJECTION_RESET_S
        record.ejection_s = (
            min(MAX_EJECTION_S, 2 * record.ejection_s) if is_repeated and record.ejection_s else FIRST_EJECTION_S
        )
        record.ejected_until = now + record.ejection_s
        record.tries = record.bad = record.load_sum = record.load_reports = 0.0
