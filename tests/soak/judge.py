"""Checks the ledger of a soak run against the rules of the system: one line per violation. Does no I/O.

The first word of a finding names the rule. Time bounds are widened by `slack`, the scheduling delay on a busy machine
as measured by the driver. No time bound applies to a frozen process, which can't communicate.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from signal import SIGHUP, SIGTERM

from tests.soak.ledger import ClientRequest, End, ExitCause, Incarnation, Ledger, Run

WORK_AFTER_LEAVING_S = 0.5  # a repeatable request may run on this long after its client disconnected
READ_AFTER_S = 0.2  # a request whose connection ends later than this after its last byte counts as read
MAX_TIMER_SLACK_S = 1.5  # with more slack, the test's own timers are no evidence against the processes
SILENCE_MARGIN_S = 3.0  # this long past its deadline a request counts as never answered
GRACE_MARGIN_S = 2.0  # allowed past the grace period for a process to exit after SIGTERM


class Judge:
    """Judges one run. `grace` is the platform's grace period between SIGTERM and SIGKILL."""

    def __init__(self, ledger: Ledger, grace: float, slack: float):
        self.ledger, self.grace, self.slack = ledger, grace, slack
        self.runs: dict[str, list[Run]] = defaultdict(list)
        for run in ledger.runs:
            self.runs[run.id].append(run)
        self.reads_from: dict[Incarnation, float] = {}  # first answer of each incarnation
        for request in ledger.requests.values():
            if request.end is End.ANSWERED:
                self.reads_from[request.incarnation] = min(
                    request.ended_at, self.reads_from.get(request.incarnation, request.ended_at)
                )

    def findings(self) -> list[str]:
        """Returns all violations."""
        findings = list(self.ledger.direct_findings)
        for request in self.ledger.requests.values():
            runs = self.runs[request.id]
            findings += self._twice(request, runs) + self._refused_but_run(request, runs) + self._mixed(request)
            findings += self._gone(request, runs) + self._lost(request, runs) + self._silent(request)
        for incarnation in self.ledger.incarnations:
            findings += self._ended(incarnation)
        return findings

    def _twice(self, request: ClientRequest, runs: list[Run]) -> list[str]:
        if request.is_repeatable or len(runs) < 2:
            return []
        return [f"TWICE {request.id} ran at {[run.node for run in runs]}"]

    def _refused_but_run(self, request: ClientRequest, runs: list[Run]) -> list[str]:
        """The request ran, though a status or an earlier closing response promised that it was not executed."""
        promised = (
            request.end is End.AFTER_CLOSE or request.end is End.ANSWERED and request.status in (408, 421, 429, 503)
        )
        if request.is_repeatable or not promised or not runs:
            return []
        return [f"REFUSED {request.id} ran, and was told {request.status or 'not read'} by {request.incarnation.name}"]

    def _mixed(self, request: ClientRequest) -> list[str]:
        if request.end is not End.ANSWERED or request.status != 200 or request.seal and request.is_whole:
            return []
        return [f"MIXED {request.id} got 200 with seal {request.seal!r}, its own body {request.is_whole}"]

    def _gone(self, request: ClientRequest, runs: list[Run]) -> list[str]:
        if request.end is not End.CLIENT_LEFT or not request.is_repeatable:
            return []
        latest = request.ended_at + WORK_AFTER_LEAVING_S + self.slack
        if request.incarnation.was_frozen_during(request.ended_at - self.slack, latest):
            return []
        return [
            f"GONE {request.id}: {run.node} at work until {run.stopped_at - request.ended_at:.2f} s "
            "after its client had left"
            for run in runs
            if run.stopped_at is not None and run.stopped_at > latest
        ]

    def _lost(self, request: ClientRequest, runs: list[Run]) -> list[str]:
        """The connection ended without a response, though a node ran the request or there was time to refuse it.

        An edge that has just started reads nothing until it has a cluster view, and closes connections that wait too
        long (`edge/client_connection`, MAX_STARTING_S), so a request sent before its first response counts as not read.
        """
        if request.end is not End.CONNECTION_CLOSED or request.incarnation.exit_cause not in (None, ExitCause.TERM):
            return []
        if runs and all(run.finished for run in runs):
            return [f"LOST {request.id} ran to its end at {runs[-1].node}, no answer from {request.incarnation.name}"]
        read = self.reads_from.get(request.incarnation, math.inf) <= request.sent_at
        if not runs and read and request.ended_at - request.sent_at > READ_AFTER_S + self.slack:
            age = request.sent_at - request.incarnation.started_at
            waited = request.ended_at - request.sent_at
            where = f"sent to {request.incarnation.name} at its age of {age:.2f} s"
            return [f"LOST {request.id} cut unanswered after {waited:.2f} s, {where}"]
        return []

    def _silent(self, request: ClientRequest) -> list[str]:
        """Neither a response nor a close. Not reported if this process itself was delayed too much, or if the edge was
        frozen at the deadline, for at least as long as clients wait past it."""
        if request.end is not End.NO_RESPONSE or self.slack > MAX_TIMER_SLACK_S:
            return []
        if (
            request.incarnation.frozen_seconds(request.ended_at - SILENCE_MARGIN_S, request.sent_at, request.ended_at)
            >= SILENCE_MARGIN_S
        ):
            return []
        return [
            f"SILENT {request.id}: nothing {request.ended_at - request.sent_at:.1f} s "
            f"after it was sent to {request.incarnation.name}"
        ]

    def _ended(self, incarnation: Incarnation) -> list[str]:
        if incarnation.exit_cause is ExitCause.UNPROMPTED:
            return [f"END {incarnation.name} ended by itself, exit code {incarnation.code}"]
        if incarnation.exceeded_grace and self.slack <= MAX_TIMER_SLACK_S:
            return [f"END {incarnation.name} had not ended {self.grace:g} s after its SIGTERM"]
        if (
            incarnation.exit_cause is not ExitCause.TERM
            or incarnation.ended_at is None
            or incarnation.signalled_at is None
        ):
            return []
        took = incarnation.ended_at - incarnation.signalled_at
        late = took > self.grace + GRACE_MARGIN_S + self.slack and not incarnation.frozen
        # Before the signal handlers are installed, a signal's default action ends the process: it served nothing yet.
        default_action = incarnation.code in (-SIGTERM, -SIGHUP) and not incarnation.has_logged
        wrong = incarnation.code != 0 and not default_action
        return [f"END {incarnation.name} took {took:.1f} s, exit code {incarnation.code}"] if late or wrong else []

    def counts(self) -> Counter[str]:
        """Counts requests by end and status, runs at nodes, and incarnations: shows how much the run exercised."""
        totals = Counter(request.end.value for request in self.ledger.requests.values())
        totals.update(f"status {a.status}" for a in self.ledger.requests.values() if a.end is End.ANSWERED)
        totals["runs"] = len(self.ledger.runs)
        totals["runs dropped"] = sum(not run.finished for run in self.ledger.runs)
        totals["lives"] = len(self.ledger.incarnations)
        return totals
