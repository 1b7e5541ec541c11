"""Admission at a core machine: answers the admission requests of edges, and keeps the answers of operations.

An admission request takes a token of its tenant's allowance and claims its operation. If another attempt holds the
claim, the token is given back; if the claim has no outcome yet, the token is held for the attempt's next request.
"""

from __future__ import annotations

import asyncio
import math
from collections import Counter, OrderedDict
from collections.abc import Callable
from typing import Protocol

from sanic import HTTPResponse, Request

from knotwalk.configuration.objects import Configuration
from knotwalk.runtime.errors import PeerError
from knotwalk.runtime.http_client import HttpClient
from knotwalk.runtime.http_server import json_body, json_response
from knotwalk.shared_state.answers import Answers, Phase
from knotwalk.shared_state.claims import UNAVAILABLE as CLAIMS_UNAVAILABLE, ClaimResult, Outcome
from knotwalk.shared_state.held_tokens import Attempt, HeldTokens
from knotwalk.shared_state.messages import (
    Admission,
    AdmissionRequest,
    AdmissionResponse,
    Claim,
    EdgeBatch,
    Ending,
    Holder,
    OperationEnd,
    partition_of,
)

# How long an admission request waits for the tenant's allowance, and for its claim. If it is repeated, it waits for the
# same claim.
ALLOWANCE_TIMEOUT_S = 0.03
CLAIM_WAIT_S = 0.03
# How long an outcome of a claim is sought; after STUCK_AFTER_S without one, its group counts as having no leader.
CLAIM_TIMEOUT_S, STUCK_AFTER_S = 0.5, 0.15
# How long the outcome of a claim is kept for repeated requests.
CLAIM_RESULT_TTL_S = 0.2
# When a client may come back if a group has no leader.
STUCK_RETRY_AFTER_S = 0.2
# After the longest timeout of a keyed route plus this, an edge has reported how a run ended, or is gone.
REPORT_MARGIN_S = 5.0
# For another core's answer about an operation whose answer it keeps.
ANSWER_CALL_TIMEOUT_S = 0.03

UNAVAILABLE = AdmissionResponse(Admission.UNAVAILABLE, STUCK_RETRY_AFTER_S)
PENDING = AdmissionResponse(Admission.UNAVAILABLE)  # without `retry_after`: the outcome is expected soon
RUN = AdmissionResponse(Admission.RUN)
# A run counts as in progress if its edge called within this time; an edge calls at least once a second.
EDGE_ALIVE_S = 1.6
# Incarnations of edges that are remembered.
MAX_INCARNATIONS = 5000


class Allowances(Protocol):
    """The allowances of tenants."""

    async def take(self, tenant: str, timeout_s: float) -> AdmissionResponse:
        """Take the allowance of one request: RUN, OVER_LIMIT or UNAVAILABLE."""

    def spend(self, tenant: str) -> bool:
        """Use up the allowance of a request that is to run. Returns whether it may run, since allowance expires."""

    def give_back(self, tenant: str) -> None:
        """Return the allowance of a request that doesn't run."""


class ClaimGroups(Protocol):
    """The claims of operations, agreed on by the core machines."""

    async def claim(self, claim: Claim, timeout_s: float) -> ClaimResult:
        """Have a claim decided. UNAVAILABLE if there is no outcome in time: it may still be granted."""

    def release(self, claim: Claim) -> None:
        """Release a claim whose holder never ran the operation and never will."""


class Admissions:
    """Answers edges' `POST /admissions` and other cores' `POST /answers`. `me` is this core's peer address."""

    def __init__(
        self,
        me: str,
        allowances: Allowances,
        claims: ClaimGroups | None,
        answers: Answers,
        http_client: HttpClient,
        clock: Callable[[], float],
    ):
        self.me, self.allowances, self.claims, self.answers = me, allowances, claims, answers
        self.http_client, self.clock = http_client, clock
        self.pending_claims: dict[Claim, asyncio.Task[ClaimResult]] = {}  # those decided a moment ago included
        # Partitions with a claim that has waited for long, and none decided since.
        self.stuck_partitions: set[int] = set()
        self.last_allowance_at = -math.inf  # when an allowance was granted or refused last
        self.tokens = HeldTokens()
        self.incarnations: OrderedDict[str, float] = OrderedDict()  # of edges, and when each called last
        self.response_counts: Counter[Admission] = Counter()
        self.ending_counts: Counter[Ending] = Counter()

    async def handle_admissions(self, request: Request) -> HTTPResponse:
        """Answer an edge's batch: its reports of ended runs are applied first, then its requests are answered."""
        return json_response(
            {"told": [response.to_json() for response in await self.admit(EdgeBatch.from_json(json_body(request)))]}
        )

    async def handle_answers(self, request: Request) -> HTTPResponse:
        """Answer another core's request for the status of operations whose answers are kept here."""
        return json_response(self.answers_of(json_body(request)))

    def answers_of(self, requested: list) -> list:
        """For each operation and holder, the response to another attempt of that operation, as plain values."""
        return [self._response_for_holder(operation, Holder(*holder)).to_json() for operation, holder in requested]

    def note_incarnation(self, incarnation: str) -> None:
        """Record that an incarnation of an edge called this core."""
        self.incarnations[incarnation] = self.clock()
        self.incarnations.move_to_end(incarnation)
        if len(self.incarnations) > MAX_INCARNATIONS:
            self.incarnations.popitem(last=False)

    def on_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration that came into force: its routes' timeouts limit how long a run may take."""
        longest = max((route.timeout for route in configuration.routes.values() if route.keyed), default=0.0)
        self.answers.max_run_s = longest + REPORT_MARGIN_S

    async def admit(self, batch: EdgeBatch) -> list[AdmissionResponse]:
        """Apply a batch's reports of ended runs, then answer its requests concurrently."""
        self.note_incarnation(batch.incarnation)
        for tenant in self.tokens.pop_expired(self.clock()):
            self.allowances.give_back(tenant)
        for end in batch.ends:
            self._record_end(batch.incarnation, end)
        responses = list(
            await asyncio.gather(*(self._admit_one(batch.incarnation, request) for request in batch.requests))
        )
        self.response_counts.update(response.admission for response in responses)
        return responses

    # -- admission requests

    async def _admit_one(self, incarnation: str, request: AdmissionRequest) -> AdmissionResponse:
        holder = Holder(self.me, incarnation, request.attempt)
        if request.operation and (response := self._known_response(request.operation, holder)) is not None:
            return response
        if not request.operation:
            taken = await self._take(request.tenant)
            return self._spend_token(request, taken) if taken.admission is Admission.RUN else taken
        if not request.tenant:
            return await self._claim(request.operation, holder)
        return await self._take_and_claim(request, holder)

    async def _take_and_claim(self, request: AdmissionRequest, holder: Holder) -> AdmissionResponse:
        """Take the tenant's allowance and claim the operation; the claim is begun while the allowance is awaited."""
        attempt = Attempt(holder.incarnation, holder.attempt)
        if self.tokens.pop(attempt) is not None:
            response = PENDING  # if the call is cancelled before the claim has an outcome
            try:
                response = await self._claim(request.operation, holder)
            finally:
                response = self._settle_token(request, attempt, response)
            return response
        taking = asyncio.get_running_loop().create_task(self._take(request.tenant))
        await asyncio.sleep(0)  # a token that this core holds is taken within this turn of the event loop
        if taking.done() and taking.result().admission is not Admission.RUN:
            return taking.result()
        try:
            response, taken = await asyncio.gather(self._claim(request.operation, holder), taking)
        except BaseException:  # the call was cancelled: its token must not stay reserved
            if taking.done() and not taking.cancelled() and taking.result().admission is Admission.RUN:
                self.allowances.give_back(request.tenant)
            raise
        if taken.admission is Admission.RUN:
            return self._settle_token(request, attempt, response)
        if response.admission in (Admission.IN_PROGRESS, Admission.ANSWERED, Admission.UNKNOWN):
            return response  # needs no allowance
        if taken.admission is Admission.OVER_LIMIT:  # the edge rejects the request, so the claim is released
            self._record_end(holder.incarnation, OperationEnd(request.operation, request.attempt, Ending.NEVER_RAN))
        return taken

    def _settle_token(
        self, request: AdmissionRequest, attempt: Attempt, response: AdmissionResponse
    ) -> AdmissionResponse:
        """Spend, hold or give back an attempt's token, depending on the response to its claim."""
        if response.admission is Admission.RUN:
            return self._spend_token(request, response)
        if response.admission is Admission.UNAVAILABLE:
            self.tokens.hold(self.clock(), attempt, request.tenant)
        else:
            self.allowances.give_back(request.tenant)
        return response

    def _spend_token(self, request: AdmissionRequest, response: AdmissionResponse) -> AdmissionResponse:
        """Spend the token of a request that is to run. If the token has expired, the next request takes another."""
        return response if self.allowances.spend(request.tenant) else PENDING

    async def _take(self, tenant: str) -> AdmissionResponse:
        """Take one request's allowance. If others got theirs a moment ago, a missing answer is only late."""
        taken = await self.allowances.take(tenant, ALLOWANCE_TIMEOUT_S)
        now = self.clock()
        if taken.admission is not Admission.UNAVAILABLE:
            self.last_allowance_at = now
        return (
            PENDING
            if taken.admission is Admission.UNAVAILABLE and now - self.last_allowance_at < STUCK_AFTER_S
            else taken
        )

    def _known_response(self, operation: str, holder: Holder) -> AdmissionResponse | None:
        """The response for an operation that this core let run; None if the claim must be requested."""
        other = self.answers.holder_of(operation)
        if other is None:
            return None
        status = self.answers.find(self.clock(), operation, other)
        if (other.incarnation, other.attempt) == (holder.incarnation, holder.attempt):
            # UNAVAILABLE if its run has ended already: then this request came late, or a second time.
            return None if status.phase is Phase.RUNNING else UNAVAILABLE
        return self._response_for_holder(operation, other) if status.phase in (Phase.RUNNING, Phase.ANSWERED) else None

    def _response_for_holder(self, operation: str, holder: Holder) -> AdmissionResponse:
        """The response to another attempt of an operation whose claim `holder` has and whose answer is kept here."""
        now = self.clock()
        status = self.answers.find(now, operation, holder)
        if status.phase is Phase.ANSWERED:
            return AdmissionResponse(Admission.ANSWERED, answer=status.answer)
        if status.phase is Phase.RUNNING:
            alive = now - self.incarnations.get(holder.incarnation, -math.inf) <= EDGE_ALIVE_S
            return AdmissionResponse(Admission.IN_PROGRESS) if alive else PENDING
        if status.phase is Phase.FREED or Claim(operation, holder) in self.pending_claims:
            return PENDING  # about to be released, or about to run
        return AdmissionResponse(Admission.UNKNOWN)

    async def _claim(self, operation: str, holder: Holder) -> AdmissionResponse:
        result = await self._await_claim(Claim(operation, holder))
        if result is None or result.outcome is Outcome.UNAVAILABLE:
            return UNAVAILABLE if result is not None or partition_of(operation) in self.stuck_partitions else PENDING
        holds = holder if result.outcome is Outcome.GRANTED else result.holder
        assert holds is not None
        # Its own claim, perhaps granted through another core whose answer was lost.
        if (holds.incarnation, holds.attempt) == (holder.incarnation, holder.attempt):
            return RUN if self.answers.begin(self.clock(), operation, holds) else UNAVAILABLE
        if holds.core == self.me:
            return self._response_for_holder(operation, holds)
        return await self._request_answer(operation, holds)

    async def _await_claim(self, claim: Claim) -> ClaimResult | None:
        """The outcome of a claim; None if there is none yet, while it is still sought for a repeated request."""
        if self.claims is None:
            return CLAIMS_UNAVAILABLE
        task = self.pending_claims.get(claim)
        if task is None:
            task = self.pending_claims[claim] = asyncio.get_running_loop().create_task(self._request_claim(claim))
        await asyncio.wait([task], timeout=CLAIM_WAIT_S)
        return task.result() if task.done() else None

    async def _request_claim(self, claim: Claim) -> ClaimResult:
        assert self.claims is not None
        partition = partition_of(claim.operation)
        stuck_timer = asyncio.get_running_loop().call_later(STUCK_AFTER_S, self.stuck_partitions.add, partition)
        ttl_s = 0.0  # for how long repeated requests get the same result
        try:
            result = await self.claims.claim(claim, CLAIM_TIMEOUT_S)
            if result.outcome is not Outcome.UNAVAILABLE:
                self.stuck_partitions.discard(partition)
                ttl_s = CLAIM_RESULT_TTL_S
            return result
        finally:
            stuck_timer.cancel()
            if ttl_s:
                asyncio.get_running_loop().call_later(ttl_s, self.pending_claims.pop, claim, None)
            else:
                self.pending_claims.pop(claim, None)

    async def _request_answer(self, operation: str, holder: Holder) -> AdmissionResponse:
        """The response of the core that keeps an operation's answer; UNAVAILABLE if it does not answer."""
        requested = [[operation, holder.to_json()]]
        try:
            responses = await self.http_client.json(
                "POST", f"http://{holder.core}/answers", requested, ANSWER_CALL_TIMEOUT_S, "answers"
            )
            return AdmissionResponse.from_json(responses[0])
        except (PeerError, IndexError, TypeError, ValueError):
            return UNAVAILABLE

    # -- ends of runs

    def _record_end(self, incarnation: str, end: OperationEnd) -> None:
        """Record how a run ended; if it certainly did not run, its claim is released."""
        self.ending_counts[end.ending] += 1
        if (tenant := self.tokens.pop(Attempt(incarnation, end.attempt))) is not None:
            self.allowances.give_back(tenant)
        reported = Holder(self.me, incarnation, end.attempt)
        holder = self.answers.end(self.clock(), end.operation, reported, end.ending, end.answer)
        if end.ending is Ending.NEVER_RAN and self.claims is not None:
            self.claims.release(Claim(end.operation, holder, True))
