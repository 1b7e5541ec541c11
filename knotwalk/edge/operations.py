"""Requests that need admission by a core, for a limit or an `Operation-Key`: run, refused, or answered as before.

`operation_steps` decides what follows from a core's response; `admission_calls` makes the calls to cores.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from itertools import count
from typing import Protocol

from knotwalk.admission.admission import jittered_retry_after
from knotwalk.configuration.objects import Configuration
from knotwalk.edge.admission_calls import AdmissionCalls, AskResult
from knotwalk.edge.exchange import Exchange
from knotwalk.edge.forwarder import HANDOVER_RETRY_S, Forwarder
from knotwalk.edge.forwarding_state import CLIENT_ROUND_TRIP_S, max_wait_until
from knotwalk.edge.operation_steps import (
    CONFLICT_BEFORE_DEADLINE_S,
    LATE_ADMISSION_PART,
    MAX_REPEAT_PAUSE_S,
    MIN_REPEAT_PAUSE_S,
    RETRY_PAUSE_S,
    AdmissionDeadlines,
    AdmissionStep,
    RunEnd,
    admission_step,
    repeated,
    run_end,
)
from knotwalk.edge.stages import Stage
from knotwalk.runtime.settings import Settings
from knotwalk.shared_state.messages import Admission, AdmissionRequest, AdmissionResponse, Ending, operation_id

KEYS_CONTRACT = "keys"  # the contract by which requests on keyed routes are operations
# Timeout of a repeated ask for an operation in work.
REPEATED_ASK_TIMEOUT_S = 0.3
# Time after an ask for a claim within which the request must be sent: claims are held beyond their window by more than
# that.
SEND_WITHIN_S = 8.0


class Refusals(Protocol):
    """Tenants that are over their limit, according to the cores' responses."""

    def refused_for(self, now: float, tenant: str) -> float | None:
        """Seconds after which the client may retry if the tenant is refused without asking; otherwise 0 or None."""

    def record(self, now: float, tenant: str, retry_after: float) -> None:
        """Record that the tenant is over its limit."""


class RunningOperation:
    """The run of an operation at this edge; repeats that arrive here wait for its end."""

    def __init__(self, attempt: str, cores: tuple[str, ...]):
        self.attempt, self.cores = attempt, cores
        self.ended: asyncio.Future[RunEnd] = asyncio.get_running_loop().create_future()


class Operations:
    """Handles requests that need admission. `needs_ask` returns whether a limit applies to a tenant's requests."""

    def __init__(
        self,
        settings: Settings,
        forwarder: Forwarder,
        calls: AdmissionCalls,
        needs_ask: Callable[[Configuration, str], bool],
        refusals: Refusals,
    ):
        self.forwarder, self.calls, self.needs_ask, self.refusals = forwarder, calls, needs_ask, refusals
        self.keyed = KEYS_CONTRACT in settings.contracts
        self.running: dict[str, RunningOperation] = {}
        self._number = count(1)

    def ask_for(self, exchange: Exchange) -> AdmissionRequest | None:
        """The ask that must be granted before the request may run; None if it needs no admission.

        The attempt is a number of this process: a client's id may arrive twice, and each request with it is an attempt
        of its own."""
        configuration = self.forwarder.view.configuration
        limited = configuration is not None and bool(exchange.tenant) and self.needs_ask(configuration, exchange.tenant)
        keyed = self.keyed and bool(exchange.operation) and exchange.route is not None and exchange.route.keyed
        if not limited and not keyed:
            return None
        attempt = str(next(self._number))
        operation = operation_id(exchange.tenant, exchange.operation) if keyed else ""
        return AdmissionRequest(exchange.tenant if limited else "", operation, attempt)

    async def forward(self, exchange: Exchange) -> None:
        """Forward a request, after its admission if it needs one."""
        ask = self.ask_for(exchange)
        if ask is None or self.forwarder.clock() >= exchange.offer_until:
            await self.forwarder.forward(exchange)
            return
        now = self.forwarder.clock()
        if ask.tenant and (wait := self.refusals.refused_for(now, ask.tenant)):
            self._over_limit(exchange, wait)
            return
        await self._admit(exchange, ask)

    async def _admit(self, exchange: Exchange, ask: AdmissionRequest) -> None:
        """Ask until there is a decision, then run or answer the request."""
        cores: tuple[str, ...] = ()  # cores that may have granted the ask
        in_work_at: float | None = None
        deadlines = _deadlines(exchange)
        first_asked_at = self.forwarder.clock()  # when the first ask was sent that may have been granted
        while True:
            result = await self._ask(ask, in_work_at is not None, deadlines)
            cores = tuple(dict.fromkeys((*cores, *result.cores)))
            now = self.forwarder.clock()
            if result.response.admission is Admission.IN_PROGRESS:
                in_work_at = now
            next_step = admission_step(result.response, in_work_at, now, deadlines)
            if exchange.client_gone and next_step in (AdmissionStep.WAIT, AdmissionStep.FORWARD):
                next_step = AdmissionStep.REFUSE
            if next_step is AdmissionStep.FORWARD and ask.operation in self.running:
                # Two requests asked concurrently, and the other one runs here: it has the claim.
                next_step = AdmissionStep.WAIT
            if next_step is not AdmissionStep.WAIT:
                break
            pause = (
                self.forwarder.rng.uniform(MIN_REPEAT_PAUSE_S, MAX_REPEAT_PAUSE_S)
                if in_work_at is not None
                else RETRY_PAUSE_S
            )
            await asyncio.sleep(max(0.0, min(pause, exchange.deadline - now)))
            if not cores:
                first_asked_at = self.forwarder.clock()
        if next_step is AdmissionStep.FORWARD and not ask.operation:
            await self.forwarder.forward(exchange)
        elif next_step is AdmissionStep.FORWARD:
            exchange.limit_offers(first_asked_at + SEND_WITHIN_S, "its claim is too old")
            await self._run(exchange, ask, cores)
        else:
            if ask.operation and cores:
                self.calls.end(cores, ask.operation, ask.attempt, Ending.NEVER_RAN)
            self._answer_without_running(exchange, ask, next_step, result.response)

    async def _ask(self, ask: AdmissionRequest, in_work: bool, deadlines: AdmissionDeadlines) -> AskResult:
        """Ask once; a repeat of an operation that runs at this edge waits for its end instead."""
        running = self.running.get(ask.operation) if ask.operation else None
        now = self.forwarder.clock()
        if running is not None:
            try:
                async with asyncio.timeout(max(0.0, deadlines.until - now)):
                    ended = await asyncio.shield(running.ended)
            except TimeoutError:
                return AskResult(AdmissionResponse(Admission.IN_PROGRESS))
            if (response := ended.as_response()) is not None:
                return AskResult(response)
            now = self.forwarder.clock()
        until = min(now + REPEATED_ASK_TIMEOUT_S, deadlines.until) if in_work else deadlines.late
        return await self.calls.ask(ask, until)

    async def _run(self, exchange: Exchange, ask: AdmissionRequest, cores: tuple[str, ...]) -> None:
        """Forward a granted operation and report how it ended; as unknown if forwarding fails."""
        running = self.running[ask.operation] = RunningOperation(ask.attempt, cores)
        ended = RunEnd(Ending.UNKNOWN)
        try:
            service = self.forwarder.service(exchange.service)
            ended = run_end(*await self.forwarder.forward(exchange, service.deduplicates))
        finally:
            del self.running[ask.operation]
            self.calls.end(cores, ask.operation, ask.attempt, ended.ending, ended.answer)
            running.ended.set_result(ended)

    def _answer_without_running(
        self, exchange: Exchange, ask: AdmissionRequest, next_step: AdmissionStep, response: AdmissionResponse
    ) -> None:
        """Answer a request that is not forwarded."""
        forwarder = self.forwarder
        if next_step is AdmissionStep.LIMITED:
            self.refusals.record(forwarder.clock(), ask.tenant, response.retry_after)
            self._over_limit(exchange, response.retry_after)
        elif next_step is AdmissionStep.ANSWER:
            assert response.answer is not None
            forwarder.count_request(exchange, "answered as the first try")
            exchange.respond_with(repeated(response.answer, exchange.attempt))
        elif next_step is AdmissionStep.CONFLICT:
            forwarder.count_request(exchange, "refused: its operation is in work")
            exchange.respond(409, "the operation is in work")
        elif next_step is AdmissionStep.FAIL:
            forwarder.count_request(exchange, "unknown: the operation's answer is lost")
            exchange.respond(502, "the operation may have run, its answer is lost")
        else:
            forwarder.count_request(exchange, "refused: not admitted in time")
            wait = jittered_retry_after(max(response.retry_after, HANDOVER_RETRY_S), forwarder.rng.random())
            exchange.respond(503, "not admitted in time", wait)

    def _over_limit(self, exchange: Exchange, wait: float) -> None:
        self.forwarder.count_request(exchange, "refused: over its tenant's limit")
        if exchange.stage is Stage.RUNNING:
            exchange.respond(429, "over the limit", wait)


def _deadlines(exchange: Exchange) -> AdmissionDeadlines:
    """The times by which a request must be admitted, as seen by its client."""
    assert exchange.route is not None
    until = exchange.deadline - CONFLICT_BEFORE_DEADLINE_S
    late = exchange.started_at + max(0.0, exchange.route.target_latency * LATE_ADMISSION_PART - CLIENT_ROUND_TRIP_S)
    return AdmissionDeadlines(min(max_wait_until(exchange, exchange.started_at), until), min(late, until), until)
