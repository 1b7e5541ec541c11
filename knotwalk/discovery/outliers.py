"""Which nodes ail, by what all edges together meet with at them. Pure.

An edge of many meets a node seldom: of fifty edges each sends one of eighty nodes some eight requests a minute, so what
one edge learns of a node comes too late for most requests. A core hears of all edges each second and judges for all. A
node's health answer is not asked: it may be good while requests fail, and the other way round.

A node ails if, of its tries of the last seconds, more were bad than its better peers' rate explains: the chance of so
many is under ERROR. Bad is a try that was lost, kept silent, failed by the node's own trouble, or turned away by a node
that tells free slots; a refusal by a full node is not. Full ones may reset connections as well, so a node that tells a
full load does not ail, whatever is lost there: it is full, and that is for the passes of the placement. Judged against
the peers, not a fixed rate: if all fail, none of them ails more than the rest, and leaving some would only load the
others.

Who ails gets no keys and, while there are others, no requests, for REST seconds, then takes part again: that is the
trial. If it ails again soon, it rests twice as long. Never more than PART of a service's nodes at once, the worst
first, or the rest would fall over.

Source of the judgement: a one-sided binomial test; of shunning with a growing rest and a bound on how many: outlier
ejection as published for several RPC libraries' balancers. Rates and rests are our own.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from knotwalk.discovery.view_types import Node

# Seconds in which what was met with fades to 1/e: a report a second, and two of them must tell.
DECAY_TIME_S = 1.5
# The chance that a node which is no worse than its better peers is called ailing by what is at hand; what is at hand is
# new each FADE seconds. Stricter costs time: of nine tries, some 1.5 s of them, this wants 3 bad ones, 1e-4 wants 4.
MAX_FALSE_POSITIVE_RATE = 3e-4
# The better half of a service's nodes tells what is usual, but no less than this: in a calm fleet nothing is bad for
# minutes, and then a few bad answers in a row must not be a sign. At 0.03 nodes that lost 45% were found after 2.6 to
# 6 s, and so after 1.6 to 4.
BASELINE_FRACTION, MIN_BASELINE_RATE = 0.5, 0.015
# Of a node's tries that must be bad at least: with less, its requests are better off where the keys are known.
MIN_BAD_FRACTION = 0.2
# Bad tries at least, from however many: one lost answer may lose a pipeline's worth.
MIN_BAD_TRIES = 3.0
# Seconds of the first rest, doubled each time up to the last; a node that was well for AGAIN seconds begins anew.
FIRST_EJECTION_S, MAX_EJECTION_S, EJECTION_RESET_S = 4.0, 16.0, 10.0
# A node that tells so many requests a slot, running and waiting, is full (up to 1.5 are told of).
FULL_LOAD = 1.0
# Of a service's nodes, how many may rest at once.
MAX_EJECTED_FRACTION = 0.25


@dataclass(slots=True)
class NodeRecord:
    """What was met with at a node, fading: `tries`, and the `bad` ones among them; and its rests."""

    tries: float = 0.0
    bad: float = 0.0
    load_sum: float = 0.0  # requests a slot that its answers told, summed over `telling` of them
    load_reports: float = 0.0
    updated_at: float = 0.0
    ejection_s: float = 0.0  # how long the last rest was
    ejected_until: float = float("-inf")  # when it ends, or ended

    def decay(self, now: float) -> None:
        """Let what was counted before `now` weigh less, by its age."""
        part = math.exp(min(0.0, self.updated_at - now) / DECAY_TIME_S)
        self.tries, self.bad, self.updated_at = self.tries * part, self.bad * part, now
        self.load_sum, self.load_reports = self.load_sum * part, self.load_reports * part


def binomial_tail(bad: int, tries: int, rate: float) -> float:
    """The chance of `bad` or more among `tries`, each bad with the chance `rate`.

    >>> round(binomial_tail(0, 5, 0.1), 3), round(binomial_tail(1, 5, 0.1), 3), round(binomial_tail(5, 5, 0.1), 6)
    (1.0, 0.41, 1e-05)
    """
    return sum(math.comb(tries, k) * rate**k * (1 - rate) ** (tries - k) for k in range(bad, tries + 1))


class OutlierDetection:
    """One core's judgement. `hear` takes reports as they come, `judge` says who rests now."""

    def __init__(self) -> None:
        self.records: dict[str, NodeRecord] = {}
        self.ejected: frozenset[str] = frozenset()

    def add_report(self, now: float, raw: dict) -> None:
        """A report, an edge's or several edges' sums: rows of `nodes` and `bad` as `discovery.loads` has them."""
        bad = raw.get("bad", {})
        for id, (told, count, slots, *tries) in raw.get("nodes", {}).items():
            if record := self._record(now, id):
                record.tries += count or sum(tries[:3])
                record.load_sum += told / max(1, slots)
                record.load_reports += count
        for id, (ill, more) in bad.items():
            if record := self._record(now, id):
                record.tries += more
                record.bad += ill

    def _record(self, now: float, id: str) -> NodeRecord | None:
        """What is met with at a node; None while it rests: what was sent before ends now, and tells nothing of
        after."""
        record = self.records.get(id)
        if record is None:
            record = self.records[id] = NodeRecord(updated_at=now)
        if now < record.ejected_until:
            return None
        record.decay(now)
        return record

    def evaluate(self, now: float, nodes: Mapping[str, Node]) -> frozenset[str]:
        """Ids of the nodes that rest now; `nodes` is the platform's list."""
        self.records = {id: record for id, record in self.records.items() if id in nodes}
        services: dict[str, dict[str, NodeRecord]] = {}
        for id, record in self.records.items():
            record.decay(now)
            services.setdefault(nodes[id].service, {})[id] = record
        found: set[str] = set()
        for service, records in services.items():
            rest = {id for id, record in records.items() if now < record.ejected_until}
            room = int(MAX_EJECTED_FRACTION * sum(node.service == service for node in nodes.values())) - len(rest)
            usual = self._baseline_rate(records.values())
            signs = [
                (sign, id)
                for id, x in records.items()
                if id not in rest and (sign := self._p_value(x, usual)) < MAX_FALSE_POSITIVE_RATE
            ]
            for _, id in sorted(signs)[: max(0, room)]:
                self._eject(now, records[id])
                rest.add(id)
            found |= rest
        self.ejected = frozenset(found)
        return self.ejected

    @staticmethod
    def _baseline_rate(records: Iterable[NodeRecord]) -> float:
        """The part of tries that is bad at the better half of the nodes."""
        ranked = sorted((x for x in records if x.tries > 0), key=lambda x: x.bad / x.tries)
        better = ranked[: math.ceil(BASELINE_FRACTION * len(ranked))]
        return max(MIN_BASELINE_RATE, sum(x.bad for x in better) / sum(x.tries for x in better) if better else 0.0)

    @staticmethod
    def _p_value(record: NodeRecord, usual: float) -> float:
        """How likely a node without a fault of its own meets with this, where the part `usual` of tries is bad."""
        if (
            record.bad < MIN_BAD_TRIES
            or record.bad < MIN_BAD_FRACTION * record.tries
            or record.load_sum > FULL_LOAD * record.load_reports
        ):
            return 1.0
        tries = max(1, round(record.tries))
        return binomial_tail(min(tries, round(record.bad)), tries, min(1.0, usual))

    @staticmethod
    def _eject(now: float, record: NodeRecord) -> None:
        """The one place where a node is sent to rest. What was met with before counts no more."""
        again = now < record.ejected_until + EJECTION_RESET_S
        record.ejection_s = (
            min(MAX_EJECTION_S, 2 * record.ejection_s) if again and record.ejection_s else FIRST_EJECTION_S
        )
        record.ejected_until = now + record.ejection_s
        record.tries = record.bad = record.load_sum = record.load_reports = 0.0
