"""Admission at a core machine: what edges ask for in one call, and the answers of operations that are kept here.

An ask takes a token of its tenant's allowance and claims its operation. A claim that another try holds gives the token
back; one that is not known yet keeps it for the next ask of the attempt.
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
    AdmissionAsk,
    AdmissionTold,
    Claim,
    EdgeBatch,
    Ending,
    Holder,
    OperationEnd,
    part_of,
)

# Seconds that an ask waits for its tenant's allowance, and for its claim; asked again, it waits for the same claim.
ALLOWANCE_PATIENCE = 0.03
CLAIM_WAIT = 0.03
# Seconds for which a claim is sought; past STUCK without an answer its group is taken to have no leader.
CLAIM_PATIENCE, STUCK = 0.5, 0.15
# Seconds for which the answer to a claim is kept for who asks again.
ANSWER_KEPT = 0.2
# Seconds after which a client may come back where a group has no leader.
STUCK_PAUSE = 0.2
# Seconds past the longest time of a keyed route within which an edge has told how a run ended, or is gone.
TELLING = 5.0
# Seconds for another core's word of an operation that it keeps.
ANSWER_PATIENCE = 0.03

UNAVAILABLE = AdmissionTold(Admission.UNAVAILABLE, STUCK_PAUSE)
NOT_YET = AdmissionTold(Admission.UNAVAILABLE)
RUN = AdmissionTold(Admission.RUN)
# Seconds since a call of an edge's life in which what it runs is told as in work; an edge calls each second at least.
HEARD_WITHIN = 1.6
# Lives that are remembered.
LIVES_MOST = 5000


class Allowances(Protocol):
    """What tenants may still send."""

    async def take(self, tenant: str, patience: float) -> AdmissionTold:
        """Take one request's allowance: RUN, OVER_LIMIT or UNAVAILABLE."""

    def spend(self, tenant: str) -> bool:
        """A request that had taken its allowance is to run; whether it may, since allowance ends."""

    def give_back(self, tenant: str) -> None:
        """A request that had taken its allowance does not run."""


class ClaimGroups(Protocol):
    """Who runs which operation, agreed on by the core machines."""

    async def claim(self, claim: Claim, patience: float) -> ClaimResult:
        """Have a claim agreed on; UNAVAILABLE if that is not known in time: it may be granted yet."""

    def release(self, claim: Claim) -> None:
        """Have a claim given back whose holder surely never ran it, and never will."""


class Admissions:
    """Answers `POST /admissions` of edges and `POST /answers` of other cores. `me` is this core's peer address."""

    def __init__(
        self,
        me: str,
        allowances: Allowances,
        claims: ClaimGroups | None,
        answers: Answers,
        caller: HttpClient,
        clock: Callable[[], float],
    ):
        self.me, self.allowances, self.claims, self.answers = me, allowances, claims, answers
        self.caller, self.clock = caller, clock
        self.seeking: dict[Claim, asyncio.Task[ClaimResult]] = {}  # claims that are sought, or were answered just now
        self.stuck: set[int] = set()  # parts of which a claim has had no answer for long, and none has had one since
        self.taken_at = -math.inf  # when an allowance was told of last
        self.tokens = HeldTokens()
        self.lives: OrderedDict[str, float] = OrderedDict()  # edges' lives, and when each one called last
        self.told: Counter[Admission] = Counter()
        self.ended: Counter[Ending] = Counter()

    async def admissions(self, request: Request) -> HTTPResponse:
        """An edge's asks, told one by one; its ends are taken before."""
        return json_response(
            {"told": [one.to_json() for one in await self.admit(EdgeBatch.from_json(json_body(request)))]}
        )

    async def kept(self, request: Request) -> HTTPResponse:
        """Another core asks how operations stand that are kept here."""
        return json_response(self.kept_of(json_body(request)))

    def kept_of(self, asked: list) -> list:
        """What a try of each operation is told that its holder runs or has run, as plain values."""
        return [self._held_told(operation, Holder(*holder)).to_json() for operation, holder in asked]

    def heard(self, life: str) -> None:
        """An edge's program called this core."""
        self.lives[life] = self.clock()
        self.lives.move_to_end(life)
        if len(self.lives) > LIVES_MOST:
            self.lives.popitem(last=False)

    def configured(self, configuration: Configuration) -> None:
        """Another configuration is in force: it says how long a run may take."""
        longest = max((route.timeout for route in configuration.routes.values() if route.keyed), default=0.0)
        self.answers.longest = longest + TELLING

    async def admit(self, batch: EdgeBatch) -> list[AdmissionTold]:
        """The ends of a call are taken, then its asks told, side by side."""
        self.heard(batch.life)
        for tenant in self.tokens.ended(self.clock()):
            self.allowances.give_back(tenant)
        for end in batch.ends:
            self._end(batch.life, end)
        told = list(await asyncio.gather(*(self._ask(batch.life, ask) for ask in batch.asks)))
        self.told.update(one.admission for one in told)
        return told

    # -- asks

    async def _ask(self, life: str, ask: AdmissionAsk) -> AdmissionTold:
        holder = Holder(self.me, life, ask.attempt)
        if ask.operation and (told := self._known(ask.operation, holder)) is not None:
            return told
        if not ask.operation:
            taken = await self._take(ask.tenant)
            return self._spent(ask, taken) if taken.admission is Admission.RUN else taken
        if not ask.tenant:
            return await self._claim(ask.operation, holder)
        return await self._take_and_claim(ask, holder)

    async def _take_and_claim(self, ask: AdmissionAsk, holder: Holder) -> AdmissionTold:
        """Take of the allowance and claim the operation; the claim is begun while the allowance is waited for."""
        attempt = Attempt(holder.life, holder.attempt)
        if self.tokens.use(attempt) is not None:
            told = NOT_YET  # of a call that is broken off before its claim is known
            try:
                told = await self._claim(ask.operation, holder)
            finally:
                told = self._settled(ask, attempt, told)
            return told
        taking = asyncio.get_running_loop().create_task(self._take(ask.tenant))
        await asyncio.sleep(0)  # what is at hand is given in this turn
        if taking.done() and taking.result().admission is not Admission.RUN:
            return taking.result()
        try:
            told, taken = await asyncio.gather(self._claim(ask.operation, holder), taking)
        except BaseException:  # the call is broken off: its token must not stay reserved
            if taking.done() and not taking.cancelled() and taking.result().admission is Admission.RUN:
                self.allowances.give_back(ask.tenant)
            raise
        if taken.admission is Admission.RUN:
            return self._settled(ask, attempt, told)
        if told.admission in (Admission.IN_WORK, Admission.ANSWERED, Admission.UNKNOWN):
            return told  # it needs no allowance
        if taken.admission is Admission.OVER_LIMIT:  # the edge refuses it for good
            self._end(holder.life, OperationEnd(ask.operation, ask.attempt, Ending.NEVER_RAN))
        return taken

    def _settled(self, ask: AdmissionAsk, attempt: Attempt, told: AdmissionTold) -> AdmissionTold:
        """What becomes of an attempt's token by what it is told of its claim."""
        if told.admission is Admission.RUN:
            return self._spent(ask, told)
        if told.admission is Admission.UNAVAILABLE:
            self.tokens.hold(self.clock(), attempt, ask.tenant)
        else:
            self.allowances.give_back(ask.tenant)
        return told

    def _spent(self, ask: AdmissionAsk, told: AdmissionTold) -> AdmissionTold:
        """The request runs, if its token has not ended meanwhile: then the next ask takes another."""
        return told if self.allowances.spend(ask.tenant) else NOT_YET

    async def _take(self, tenant: str) -> AdmissionTold:
        """Take one request's allowance; where others had theirs just now, it is only late."""
        taken = await self.allowances.take(tenant, ALLOWANCE_PATIENCE)
        now = self.clock()
        if taken.admission is not Admission.UNAVAILABLE:
            self.taken_at = now
        return NOT_YET if taken.admission is Admission.UNAVAILABLE and now - self.taken_at < STUCK else taken

    def _known(self, operation: str, holder: Holder) -> AdmissionTold | None:
        """What can be told of an operation that this core has let run; None if the claim must be asked for."""
        other = self.answers.holder_of(operation)
        if other is None:
            return None
        found = self.answers.find(self.clock(), operation, other)
        if (other.life, other.attempt) == (holder.life, holder.attempt):
            return None if found.phase is Phase.RUNNING else UNAVAILABLE  # its end came: late, or a second time
        return self._held_told(operation, other) if found.phase in (Phase.RUNNING, Phase.ANSWERED) else None

    def _held_told(self, operation: str, holder: Holder) -> AdmissionTold:
        """What another try is told of an operation that is kept here, and whose claim `holder` has."""
        now = self.clock()
        found = self.answers.find(now, operation, holder)
        if found.phase is Phase.ANSWERED:
            return AdmissionTold(Admission.ANSWERED, answer=found.answer)
        if found.phase is Phase.RUNNING:
            heard = now - self.lives.get(holder.life, -math.inf) <= HEARD_WITHIN
            return AdmissionTold(Admission.IN_WORK) if heard else NOT_YET
        if found.phase is Phase.FREED or Claim(operation, holder) in self.seeking:
            return NOT_YET  # about to be free, or about to run
        return AdmissionTold(Admission.UNKNOWN)

    async def _claim(self, operation: str, holder: Holder) -> AdmissionTold:
        result = await self._sought(Claim(operation, holder))
        if result is None or result.outcome is Outcome.UNAVAILABLE:
            return UNAVAILABLE if result is not None or part_of(operation) in self.stuck else NOT_YET
        holds = holder if result.outcome is Outcome.GRANTED else result.holder
        assert holds is not None
        if (holds.life, holds.attempt) == (holder.life, holder.attempt):  # perhaps by another core, its answer lost
            return RUN if self.answers.begun(self.clock(), operation, holds) else UNAVAILABLE
        if holds.core == self.me:
            return self._held_told(operation, holds)
        return await self._ask_keeper(operation, holds)

    async def _sought(self, claim: Claim) -> ClaimResult | None:
        """The answer to a claim; None if there is none yet: the claim is sought on, for who asks again."""
        if self.claims is None:
            return CLAIMS_UNAVAILABLE
        seeking = self.seeking.get(claim)
        if seeking is None:
            seeking = self.seeking[claim] = asyncio.get_running_loop().create_task(self._seek(claim))
        await asyncio.wait([seeking], timeout=CLAIM_WAIT)
        return seeking.result() if seeking.done() else None

    async def _seek(self, claim: Claim) -> ClaimResult:
        assert self.claims is not None
        part = part_of(claim.operation)
        late = asyncio.get_running_loop().call_later(STUCK, self.stuck.add, part)
        kept = 0.0  # seconds for which who asks again gets the same result
        try:
            result = await self.claims.claim(claim, CLAIM_PATIENCE)
            if result.outcome is not Outcome.UNAVAILABLE:
                self.stuck.discard(part)
                kept = ANSWER_KEPT
            return result
        finally:
            late.cancel()
            if kept:
                asyncio.get_running_loop().call_later(kept, self.seeking.pop, claim, None)
            else:
                self.seeking.pop(claim, None)

    async def _ask_keeper(self, operation: str, holder: Holder) -> AdmissionTold:
        """What the core that keeps an operation's answer tells of it; UNAVAILABLE if it does not answer."""
        asked = [[operation, holder.to_json()]]
        try:
            told = await self.caller.json("POST", f"http://{holder.core}/answers", asked, ANSWER_PATIENCE, "answers")
            return AdmissionTold.from_json(told[0])
        except (PeerError, IndexError, TypeError, ValueError):
            return UNAVAILABLE

    # -- ends

    def _end(self, life: str, end: OperationEnd) -> None:
        """Note how a run ended; one that surely never ran gives its claim back."""
        self.ended[end.ending] += 1
        if (tenant := self.tokens.use(Attempt(life, end.attempt))) is not None:
            self.allowances.give_back(tenant)
        told = Holder(self.me, life, end.attempt)
        holder = self.answers.ended(self.clock(), end.operation, told, end.ending, end.answer)
        if end.ending is Ending.NEVER_RAN and self.claims is not None:
            self.claims.release(Claim(end.operation, holder, True))
