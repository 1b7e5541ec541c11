"""Checks API keys, keyed operations and quotas in the ledger of a soak run: one line per violation. Does no I/O.

All times are taken in one process: a request's before it is sent, a run's and a response's after they arrived. So the
recorded span from a request to its run is never shorter than the real one; only bounds that use `lag` are widened.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from itertools import pairwise

from knotwalk.runtime.settings import Bounds
from tests.soak.ledger import ClientRequest, End, Ledger, Run, TenantConfiguration

# Longest freeze of an edge in a plan. A lower limit is enforced one quota window after all edges have been in contact
# for `config_apply`, so a freeze extends the time for which an older limit may be in force.
MAX_FREEZE_S = 6.5
NEVER, ALWAYS = -math.inf, math.inf


class SharedJudge:
    """Judges one run. `lag`: longest delay of the test process's own event loop, in seconds."""

    def __init__(self, ledger: Ledger, bounds: Bounds, lag: float):
        self.ledger, self.bounds, self.lag = ledger, bounds, lag
        self.seals = {run.seal: run for run in ledger.runs if run.seal}
        self.operations: dict[tuple[str, str], list[Run]] = defaultdict(list)
        self.tries: dict[tuple[str, str], list[ClientRequest]] = defaultdict(list)
        self.arrivals: dict[str, dict[str, float]] = defaultdict(dict)  # by tenant and request: first arrival at a node
        for request in ledger.requests.values():
            if request.operation:
                self.tries[request.tenant, request.operation].append(request)
        for run in sorted(ledger.runs, key=lambda run: run.started_at):
            request = ledger.requests.get(run.id)
            if request is not None and request.operation:
                self.operations[request.tenant, request.operation].append(run)
            if request is not None and request.tenant:
                self.arrivals[request.tenant].setdefault(run.id, run.started_at)

    def findings(self) -> list[str]:
        """Returns all violations."""
        findings = self._twice() + self._quota()
        for run in self.ledger.runs:
            request = self.ledger.requests.get(run.id)
            findings += [f"UNASKED {run.id!r} ran at {run.node}"] if request is None else self._run(request, run)
        for request in self.ledger.requests.values():
            if request.end is End.ANSWERED:
                findings += self._mixed(request) + self._in_work(request) + self._unjustified_refusal(request)
        return findings

    # -- operations

    def _twice(self) -> list[str]:
        findings = []
        for (tenant, operation), runs in self.operations.items():
            for first, second in pairwise(runs):
                since = second.started_at - self.ledger.requests[first.id].sent_at
                if since < self.bounds.key_period:
                    where = f"{first.id} at {first.node}, {second.id} at {second.node}"
                    findings.append(f"TWICE {tenant} {operation}: {where}, {since:.3f} s after the first was sent")
        return findings

    def _mixed(self, request: ClientRequest) -> list[str]:
        """A success must carry the seal and body of its own run, or of a run of its operation."""
        if not 200 <= request.status < 300 or not request.seal:
            return []
        run = self.seals.get(request.seal)
        if run is None:
            return [f"MIXED {request.id} has the seal {request.seal} of no run"]
        first = self.ledger.requests.get(run.id)
        own = run.id == request.id
        if request.operation and first is not None:
            own = (first.tenant, first.operation) == (request.tenant, request.operation)
        if own and run.status == request.status and run.body == request.body:
            return []
        return [f"MIXED {request.id} got {request.status} {request.body[:60]!r}; {run.id} ran for it: {run.status}"]

    def _in_work(self, request: ClientRequest) -> list[str]:
        """409 is allowed only if another attempt of the operation was sent before."""
        if request.status != 409:
            return []
        tries = self.tries[request.tenant, request.operation]
        if any(other is not request and other.sent_at <= request.ended_at for other in tries):
            return []
        return [f"MIXED {request.id} got 409, and was the first of its operation"]

    # -- keys

    def _run(self, request: ClientRequest, run: Run) -> list[str]:
        findings = []
        if run.has_raw_key:
            findings.append(f"UNASKED {run.id}: the key itself came to {run.node}")
        if run.tenant != request.tenant or run.operation != request.operation:
            received = f"tenant {run.tenant!r}, operation {run.operation!r}"
            findings.append(
                f"UNASKED {run.id} of {request.tenant!r} {request.operation!r} came to {run.node} with {received}"
            )
        if request.public or not any(configuration.holders for configuration in self.ledger.configurations):
            return findings
        last = self._taken_away(request.key)
        if last == NEVER:
            findings.append(f"ROUTE {run.id} ran at {run.node} with a key that never was: {request.key!r}")
        elif request.sent_at > last + self.bounds.revoke_timeout:
            since = f"{request.sent_at - last:.3f} s after that was acknowledged"
            findings.append(f"CONFIG {run.id} ran at {run.node} with a key taken away, sent {since}")
        return findings

    def _taken_away(self, key: str) -> float:
        """When a key's removal was acknowledged; NEVER: no configuration had the key, ALWAYS: the latest one has it."""
        held = [key in configuration.holders for configuration in self.ledger.configurations]
        if True not in held:
            return NEVER
        last = len(held) - 1 - held[::-1].index(True)
        after = self.ledger.configurations[last + 1 :]
        return after[0].acknowledged_at if after else ALWAYS

    def _in_force(self, first: float, last: float) -> list[TenantConfiguration]:
        """Returns the configurations that may be in force at some time of the span."""
        ends = [configuration.acknowledged_at for configuration in self.ledger.configurations[1:]] + [ALWAYS]
        return [
            configuration
            for configuration, end in zip(self.ledger.configurations, ends, strict=False)
            if configuration.sent_at <= last and end >= first
        ]

    def _unjustified_refusal(self, request: ClientRequest) -> list[str]:
        """401 for a key that is valid in every configuration possibly in force, or 429 for a tenant without a limit."""
        possible = self._in_force(request.sent_at - self.bounds.revoke_timeout - self.lag, request.ended_at)
        if request.status == 401 and (
            request.public or all(request.key in configuration.holders for configuration in possible)
        ):
            return [
                f"DENIED {request.id} got 401 with {request.key!r} of {request.tenant!r} "
                f"from {request.incarnation.name}"
            ]
        if request.status == 429 and not any(
            configuration.limits.get(request.tenant, (0, 0))[0] for configuration in possible
        ):
            return [f"QUOTA {request.id} got 429, and {request.tenant!r} has no limit"]
        return []

    # -- quotas

    def _bound(self, tenant: str, first: float, last: float) -> float:
        """Returns how many requests of a tenant may reach nodes in a span, by the highest limit possibly in force."""
        before = self.bounds.quota_window + self.bounds.config_apply + MAX_FREEZE_S
        limits = [configuration.limits.get(tenant, (0, 0)) for configuration in self._in_force(first - before, last)]
        if not all(rate for rate, _ in limits):
            return math.inf
        window = self.bounds.quota_window + self.lag
        most = max(rate * window + burst for rate, burst in limits)
        return most * (1 + self.bounds.quota_overage) + self.bounds.quota_slack

    def _quota(self) -> list[str]:
        """Reports, for each tenant, the quota window that exceeds its bound by the most."""
        findings = []
        for tenant, arrivals in self.arrivals.items():
            over = [
                (count - bound, count, bound, first)
                for first, count in windows(sorted(arrivals.values()), self.bounds.quota_window)
                if count > (bound := self._bound(tenant, first, first + self.bounds.quota_window))
            ]
            if over:
                _, count, bound, first = max(over)
                findings.append(f"QUOTA {tenant}: {count} in the window from {first:.3f}, at most {bound:.1f}")
        return findings

    # -- statistics

    def counts(self) -> Counter[str]:
        """Counts operations, their attempts, repeats answered by an earlier run, and 429 responses below the limit."""
        totals: Counter[str] = Counter()
        totals["operations"] = len(self.tries)
        for tries in self.tries.values():
            for request in tries:
                run = self.seals.get(request.seal)
                totals["repeats answered by the first run"] += run is not None and run.id != request.id
        totals["tries of operations"] = sum(len(tries) for tries in self.tries.values())
        totals["status 429 below the limit"] = sum(self._below(request) for request in self.ledger.requests.values())
        return totals

    def _below(self, request: ClientRequest) -> bool:
        """Whether a request got 429 though its tenant was below its rate in the preceding window.

        This is counted but allowed: a new leader grants no quota at first."""
        if request.end is not End.ANSWERED or request.status != 429:
            return False
        first = request.ended_at - self.bounds.quota_window
        ran = sum(first < at <= request.ended_at for at in self.arrivals[request.tenant].values())
        rates = [
            configuration.limits.get(request.tenant, (0, 0))[0]
            for configuration in self._in_force(first, request.ended_at)
        ]
        return ran + 1 < min(rates) * self.bounds.quota_window


def windows(times: list[float], length: float) -> list[tuple[float, int]]:
    """Returns, for the window beginning at each time, how many times lie in it. `times` must be sorted.

    >>> windows([0.0, 1.0, 1.5, 4.0], 2.0)
    [(0.0, 3), (1.0, 2), (1.5, 1), (4.0, 1)]
    """
    findings, end = [], 0
    for at, first in enumerate(times):
        while end < len(times) and times[end] < first + length:
            end += 1
        findings.append((first, end - at))
    return findings
