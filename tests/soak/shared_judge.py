"""What must not be of tenants' keys, operations and quotas, of what a soak run's ledger holds: a line for each. Pure.

Times are seen by one process: a request's sending is noted before it leaves, a run and an answer after they came. So a
span from a sending to a run is never shorter than it is noted, and none is widened but where `lag` says so.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from itertools import pairwise

from knotwalk.runtime.settings import Bounds
from tests.soak.ledger import Asked, End, InForce, Ledger, Run

# Seconds before a window in which an older limit may still be in force: a lower one takes hold a window after all edges
# were in touch for `config_apply`, and an edge may have been frozen for so long.
FROZEN_MOST = 6.5
NEVER, ALWAYS = -math.inf, math.inf


class SharedJudge:
    """Judges one run. `lag`: seconds that the run's own loop was late at most."""

    def __init__(self, ledger: Ledger, bounds: Bounds, lag: float):
        self.ledger, self.bounds, self.lag = ledger, bounds, lag
        self.seals = {run.seal: run for run in ledger.runs if run.seal}
        self.operations: dict[tuple[str, str], list[Run]] = defaultdict(list)
        self.tries: dict[tuple[str, str], list[Asked]] = defaultdict(list)
        self.arrivals: dict[str, dict[str, float]] = defaultdict(dict)  # by tenant: requests, when each came first
        for asked in ledger.asked.values():
            if asked.operation:
                self.tries[asked.tenant, asked.operation].append(asked)
        for run in sorted(ledger.runs, key=lambda run: run.begun):
            asked = ledger.asked.get(run.id)
            if asked is not None and asked.operation:
                self.operations[asked.tenant, asked.operation].append(run)
            if asked is not None and asked.tenant:
                self.arrivals[asked.tenant].setdefault(run.id, run.begun)

    def findings(self) -> list[str]:
        """All that must not be."""
        found = self._twice() + self._quota()
        for run in self.ledger.runs:
            asked = self.ledger.asked.get(run.id)
            found += [f"UNASKED {run.id!r} ran at {run.node}"] if asked is None else self._run(asked, run)
        for asked in self.ledger.asked.values():
            if asked.end is End.ANSWERED:
                found += self._mixed(asked) + self._in_work(asked) + self._refused(asked)
        return found

    # -- operations

    def _twice(self) -> list[str]:
        found = []
        for (tenant, operation), runs in self.operations.items():
            for first, second in pairwise(runs):
                since = second.begun - self.ledger.asked[first.id].sent
                if since < self.bounds.key_period:
                    where = f"{first.id} at {first.node}, {second.id} at {second.node}"
                    found.append(f"TWICE {tenant} {operation}: {where}, {since:.3f} s after the first was sent")
        return found

    def _mixed(self, asked: Asked) -> list[str]:
        """A success bears the stamp and body of its own run, or of the run of its operation."""
        if not 200 <= asked.status < 300 or not asked.seal:
            return []
        run = self.seals.get(asked.seal)
        if run is None:
            return [f"MIXED {asked.id} has the seal {asked.seal} of no run"]
        first = self.ledger.asked.get(run.id)
        own = run.id == asked.id
        if asked.operation and first is not None:
            own = (first.tenant, first.operation) == (asked.tenant, asked.operation)
        if own and run.status == asked.status and run.body == asked.body:
            return []
        return [f"MIXED {asked.id} got {asked.status} {asked.body[:60]!r}; {run.id} ran for it: {run.status}"]

    def _in_work(self, asked: Asked) -> list[str]:
        """409: another try may be at work."""
        if asked.status != 409:
            return []
        tries = self.tries[asked.tenant, asked.operation]
        if any(one is not asked and one.sent <= asked.at for one in tries):
            return []
        return [f"MIXED {asked.id} got 409, and was the first of its operation"]

    # -- keys

    def _run(self, asked: Asked, run: Run) -> list[str]:
        found = []
        if run.showed_key:
            found.append(f"UNASKED {run.id}: the key itself came to {run.node}")
        if run.tenant != asked.tenant or run.operation != asked.operation:
            told = f"tenant {run.tenant!r}, operation {run.operation!r}"
            found.append(f"UNASKED {run.id} of {asked.tenant!r} {asked.operation!r} came to {run.node} with {told}")
        if asked.public or not any(one.holders for one in self.ledger.configurations):
            return found
        last = self._taken_away(asked.key)
        if last == NEVER:
            found.append(f"ROUTE {run.id} ran at {run.node} with a key that never was: {asked.key!r}")
        elif asked.sent > last + self.bounds.revoke_timeout:
            since = f"{asked.sent - last:.3f} s after that was acknowledged"
            found.append(f"CONFIG {run.id} ran at {run.node} with a key taken away, sent {since}")
        return found

    def _taken_away(self, key: str) -> float:
        """When it was acknowledged that a key is gone; NEVER: no configuration had it, ALWAYS: the last one has it."""
        held = [key in one.holders for one in self.ledger.configurations]
        if True not in held:
            return NEVER
        last = len(held) - 1 - held[::-1].index(True)
        after = self.ledger.configurations[last + 1 :]
        return after[0].acknowledged if after else ALWAYS

    def _in_force(self, first: float, last: float) -> list[InForce]:
        """Configurations that may be in force at some time of a span."""
        ends = [one.acknowledged for one in self.ledger.configurations[1:]] + [ALWAYS]
        return [
            one for one, end in zip(self.ledger.configurations, ends, strict=False) if one.sent <= last and end >= first
        ]

    def _refused(self, asked: Asked) -> list[str]:
        """401 for a key that all configurations hold which may be in force, 429 for a tenant without a limit."""
        may = self._in_force(asked.sent - self.bounds.revoke_timeout - self.lag, asked.at)
        if asked.status == 401 and (asked.public or all(asked.key in one.holders for one in may)):
            return [f"DENIED {asked.id} got 401 with {asked.key!r} of {asked.tenant!r} from {asked.life.name}"]
        if asked.status == 429 and not any(one.limits.get(asked.tenant, (0, 0))[0] for one in may):
            return [f"QUOTA {asked.id} got 429, and {asked.tenant!r} has no limit"]
        return []

    # -- quotas

    def _bound(self, tenant: str, first: float, last: float) -> float:
        """How many requests of a tenant may come to nodes in a span, by the highest limit that may be in force."""
        before = self.bounds.quota_window + self.bounds.config_apply + FROZEN_MOST
        limits = [one.limits.get(tenant, (0, 0)) for one in self._in_force(first - before, last)]
        if not all(rate for rate, _ in limits):
            return math.inf
        window = self.bounds.quota_window + self.lag
        most = max(rate * window + burst for rate, burst in limits)
        return most * (1 + self.bounds.quota_overage) + self.bounds.quota_slack

    def _quota(self) -> list[str]:
        """In any window: the first that is too full of each tenant, and by how much the fullest is."""
        found = []
        for tenant, arrivals in self.arrivals.items():
            over = [
                (count - bound, count, bound, first)
                for first, count in windows(sorted(arrivals.values()), self.bounds.quota_window)
                if count > (bound := self._bound(tenant, first, first + self.bounds.quota_window))
            ]
            if over:
                _, count, bound, first = max(over)
                found.append(f"QUOTA {tenant}: {count} in the window from {first:.3f}, at most {bound:.1f}")
        return found

    # -- what a run was worth

    def counts(self) -> Counter[str]:
        """Operations, how their repeats were answered, and how full a limited tenant's windows came to be."""
        told: Counter[str] = Counter()
        told["operations"] = len(self.tries)
        for tries in self.tries.values():
            for asked in tries:
                run = self.seals.get(asked.seal)
                told["repeats answered by the first run"] += run is not None and run.id != asked.id
        told["tries of operations"] = sum(len(tries) for tries in self.tries.values())
        told["status 429 below the limit"] = sum(self._below(asked) for asked in self.ledger.asked.values())
        return told

    def _below(self, asked: Asked) -> bool:
        """Whether a request was refused though fewer of its tenant ran in the window before than its rate alone allows.

        No rule forbids it: a new leader gives nothing out at first."""
        if asked.end is not End.ANSWERED or asked.status != 429:
            return False
        first = asked.at - self.bounds.quota_window
        ran = sum(first < at <= asked.at for at in self.arrivals[asked.tenant].values())
        rates = [one.limits.get(asked.tenant, (0, 0))[0] for one in self._in_force(first, asked.at)]
        return ran + 1 < min(rates) * self.bounds.quota_window


def windows(times: list[float], length: float) -> list[tuple[float, int]]:
    """For the window that begins at each time: how many times lie in it. `times` are in order.

    >>> windows([0.0, 1.0, 1.5, 4.0], 2.0)
    [(0.0, 3), (1.0, 2), (1.5, 1), (4.0, 1)]
    """
    found, end = [], 0
    for at, first in enumerate(times):
        while end < len(times) and times[end] < first + length:
            end += 1
        found.append((first, end - at))
    return found
