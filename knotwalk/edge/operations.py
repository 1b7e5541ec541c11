"""Requests that a limit or an `Operation-Key` binds, at an edge: let run, refused, or answered as the first try was.

What follows from a core's answer is decided by `operation_steps`; calls to cores are `admission_calls`'.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from itertools import count
from typing import Protocol

from knotwalk.admission.admission import jittered_retry_after
from knotwalk.configuration.objects import Configuration
from knotwalk.edge.admission_calls import AdmissionCalls, Asked
from knotwalk.edge.exchange import Exchange
from knotwalk.edge.forwarder import HANDS_WAIT, Forwarder
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

CONTRACT = "keys"  # the part of the rules by which requests of keyed routes are operations
# Seconds that an ask for an operation in work may take.
REPEATED_ASK_TIMEOUT_S = 0.3
# Seconds after an ask for a claim within which the request is sent: claims hold longer than their window by more.
SEND_WITHIN_S = 8.0


class Refusals(Protocol):
    """Tenants that are over their limit, as this edge was told."""

    def refused_for(self, now: float, tenant: str) -> float | None:
        """Seconds after which a client of a tenant that is refused without an ask may come back; else 0 or None."""

    def record(self, now: float, tenant: str, retry_after: float) -> None:
        """A core told that the tenant is over its limit."""


class Running:
    """The run of an operation at this edge; repeats that come here wait for its end."""

    def __init__(self, attempt: str, cores: tuple[str, ...]):
        self.attempt, self.cores = attempt, cores
        self.ended: asyncio.Future[RunEnd] = asyncio.get_running_loop().create_future()


class Operations:
    """Carries bound requests. `needs_ask` tells whether a limit binds a tenant's requests."""

    def __init__(
        self,
        settings: Settings,
        forwarder: Forwarder,
        calls: AdmissionCalls,
        needs_ask: Callable[[Configuration, str], bool],
        refusals: Refusals,
    ):
        self.forwarder, self.calls, self.needs_ask, self.refusals = forwarder, calls, needs_ask, refusals
        self.keyed = CONTRACT in settings.contracts
        self.running: dict[str, Running] = {}
        self._number = count(1)

    def ask_of(self, exchange: Exchange) -> AdmissionRequest | None:
        """What must be asked before the request may run, None if nothing binds it.

        The attempt is a number of this life: a client's id may come twice, and each request that bears it is a try of
        its own."""
        configuration = self.forwarder.view.configuration
        limited = configuration is not None and bool(exchange.tenant) and self.needs_ask(configuration, exchange.tenant)
        keyed = self.keyed and bool(exchange.operation) and exchange.route is not None and exchange.route.keyed
        if not limited and not keyed:
            return None
        attempt = str(next(self._number))
        operation = operation_id(exchange.tenant, exchange.operation) if keyed else ""
        return AdmissionRequest(exchange.tenant if limited else "", operation, attempt)

    async def carry(self, exchange: Exchange) -> None:
        """Carry a request to its answer, asking for leave first where something binds it."""
        ask = self.ask_of(exchange)
        if ask is None:
            await self.forwarder.carry(exchange)
            return
        now = self.forwarder.clock()
        if ask.tenant and (wait := self.refusals.refused_for(now, ask.tenant)):
            self._over_limit(exchange, wait)
            return
        await self._admit(exchange, ask)

    async def _admit(self, exchange: Exchange, ask: AdmissionRequest) -> None:
        """Ask until something follows."""
        cores: tuple[str, ...] = ()  # that may have granted the ask
        in_work_at: float | None = None
        deadlines = _deadlines(exchange)
        since = self.forwarder.clock()  # of the asks that may have been granted, the first
        while True:
            asked = await self._ask(ask, in_work_at is not None, deadlines)
            cores = tuple(dict.fromkeys((*cores, *asked.cores)))
            now = self.forwarder.clock()
            if asked.told.admission is Admission.IN_PROGRESS:
                in_work_at = now
            follows = admission_step(asked.told, in_work_at, now, deadlines)
            if exchange.client_gone and follows in (AdmissionStep.WAIT, AdmissionStep.FORWARD):
                follows = AdmissionStep.REFUSE
            if follows is AdmissionStep.FORWARD and ask.operation in self.running:
                follows = (
                    AdmissionStep.WAIT
                )  # two tries asked side by side, and the other one runs here: it has the claim
            if follows is not AdmissionStep.WAIT:
                break
            pause = (
                self.forwarder.rng.uniform(MIN_REPEAT_PAUSE_S, MAX_REPEAT_PAUSE_S)
                if in_work_at is not None
                else RETRY_PAUSE_S
            )
            await asyncio.sleep(max(0.0, min(pause, exchange.deadline - now)))
            if not cores:
                since = self.forwarder.clock()
        if follows is AdmissionStep.FORWARD and not ask.operation:
            await self.forwarder.carry(exchange)
        elif follows is AdmissionStep.FORWARD:
            exchange.offer_until = min(exchange.offer_until, since + SEND_WITHIN_S)
            await self._run(exchange, ask, cores)
        else:
            if ask.operation and cores:
                self.calls.end(cores, ask.operation, ask.attempt, Ending.NEVER_RAN)
            self._settle(exchange, ask, follows, asked.told)

    async def _ask(self, ask: AdmissionRequest, in_work: bool, deadlines: AdmissionDeadlines) -> Asked:
        """One ask; a repeat of what runs at this edge waits for its end instead."""
        running = self.running.get(ask.operation) if ask.operation else None
        now = self.forwarder.clock()
        if running is not None:
            try:
                async with asyncio.timeout(max(0.0, deadlines.until - now)):
                    ended = await asyncio.shield(running.ended)
            except TimeoutError:
                return Asked(AdmissionResponse(Admission.IN_PROGRESS))
            if (told := ended.as_response()) is not None:
                return Asked(told)
            now = self.forwarder.clock()
        until = min(now + REPEATED_ASK_TIMEOUT_S, deadlines.until) if in_work else deadlines.late
        return await self.calls.ask(ask, until)

    async def _run(self, exchange: Exchange, ask: AdmissionRequest, cores: tuple[str, ...]) -> None:
        """Carry an operation that is granted, and tell how it ended: as unknown, should the carrying fail."""
        running = self.running[ask.operation] = Running(ask.attempt, cores)
        ended = RunEnd(Ending.UNKNOWN)
        try:
            service = self.forwarder.service(exchange.service)
            ended = run_end(*await self.forwarder.carry(exchange, service.deduplicates))
        finally:
            del self.running[ask.operation]
            self.calls.end(cores, ask.operation, ask.attempt, ended.ending, ended.answer)
            running.ended.set_result(ended)

    def _settle(
        self, exchange: Exchange, ask: AdmissionRequest, follows: AdmissionStep, told: AdmissionResponse
    ) -> None:
        """Answer a request that does not run."""
        forwarder = self.forwarder
        if follows is AdmissionStep.LIMITED:
            self.refusals.record(forwarder.clock(), ask.tenant, told.retry_after)
            self._over_limit(exchange, told.retry_after)
        elif follows is AdmissionStep.ANSWER:
            assert told.answer is not None
            forwarder.note(exchange, "answered as the first try")
            exchange.respond_with(repeated(told.answer, exchange.attempt))
        elif follows is AdmissionStep.CONFLICT:
            forwarder.note(exchange, "refused: its operation is in work")
            exchange.respond(409, "the operation is in work")
        elif follows is AdmissionStep.FAIL:
            forwarder.note(exchange, "unknown: the operation's answer is lost")
            exchange.respond(502, "the operation may have run, its answer is lost")
        else:
            forwarder.note(exchange, "refused: not admitted in time")
            wait = jittered_retry_after(max(told.retry_after, HANDS_WAIT), forwarder.rng.random())
            exchange.respond(503, "not admitted in time", wait)

    def _over_limit(self, exchange: Exchange, wait: float) -> None:
        self.forwarder.note(exchange, "refused: over its tenant's limit")
        if exchange.stage is Stage.RUNNING:
            exchange.respond(429, "over the limit", wait)


def _deadlines(exchange: Exchange) -> AdmissionDeadlines:
    """How long a request may wait to be admitted, as its client sees it."""
    assert exchange.route is not None
    until = exchange.deadline - CONFLICT_BEFORE_DEADLINE_S
    late = exchange.started_at + max(0.0, exchange.route.target_latency * LATE_ADMISSION_PART - CLIENT_ROUND_TRIP_S)
    return AdmissionDeadlines(min(max_wait_until(exchange, exchange.started_at), until), min(late, until), until)
