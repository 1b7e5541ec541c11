"""An edge's asks to its core for requests that a limit or an `Operation-Key` binds, and its word of how runs ended.

What comes while a call is under way goes together in the next one, ends bounded in bytes: those that are large go by
themselves, in one call at a time, so that asks always have another. Asks may be sent twice, to any core: an attempt's
claim is granted again. Ends go to the core that let the run begin, again and again until it has taken them.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from knotwalk.admission.connection_budget import ASK_LANES
from knotwalk.edge import end_batches
from knotwalk.edge.caller import Caller
from knotwalk.edge.operation_steps import PendingEnds
from knotwalk.runtime.errors import PeerError
from knotwalk.runtime.logs import log_warning
from knotwalk.shared_state.messages import (
    Admission,
    AdmissionRequest,
    AdmissionResponse,
    EdgeBatch,
    Ending,
    OperationEnd,
)

# Seconds for an answer to a call: a core tells within some tens of ms, whatever it knows by then. Doubled, up to the
# most, with each call in a row that has none in time: behind a squeezed link cores are slow, and there all the same.
# The time that the call's bytes take on the link comes on top.
CALL_TIMEOUT_S, MAX_CALL_TIMEOUT_S = 0.15, 0.8
# Seconds that an end waits for an ask to travel with: one that frees its operation, for which a client was told to come
# back soon, and any other.
FREED_END_DELAY_S, END_DELAY_S = 0.02, 0.25
# Asks that one call takes.
MAX_ASKS = 200
# Seconds between calls while no core is known that did not fail lately: a port that refuses answers at once.
PAUSE_S = 0.02
# Seconds in which a core that failed is asked only if no other is known.
AVOID_FAILED_CORE_S = 2.0
# Seconds by which asks are counted.
DURATION_STEPS_S = (0.01, 0.02, 0.04, 0.08)
NO_ANSWER = AdmissionResponse(Admission.UNAVAILABLE)


@dataclass(slots=True)
class Waiting:
    """An ask that waits to be told; `cores` holds those that were asked, `by` is the one that told."""

    ask: AdmissionRequest
    until: float
    told: asyncio.Future[AdmissionResponse]
    cores: list[str] = field(default_factory=list)
    by: str = ""


@dataclass(frozen=True, slots=True)
class Call:
    """What goes to a core in one call."""

    core: str
    asks: list[Waiting]
    ends: list[OperationEnd]


@dataclass(frozen=True, slots=True)
class Asked:
    """What was told; `cores`: those that granted the ask, or may have."""

    told: AdmissionResponse
    cores: tuple[str, ...] = ()


class AdmissionCalls:
    """Calls `POST /admissions`. `cores` gives the addresses to ask, the best first; `life` names this life of the
    edge."""

    def __init__(
        self,
        edge: str,
        life: str,
        cores: Callable[[], list[str]],
        clock: Callable[[], float],
        window: float,
        counts: Callable[[], Counter[str]],
        link_mbps: float = 1000.0,
    ):
        self.link_mbps = link_mbps  # megabits a second of this machine
        self.edge, self.life, self.cores, self.clock, self.counts = edge, life, cores, clock, counts
        self.lanes = [Caller() for _ in range(ASK_LANES)]
        self.idle = list(self.lanes)
        self.asks: list[Waiting] = []
        self.ends = PendingEnds(window)
        self.failed: dict[str, float] = {}  # cores that failed, and when
        self.patience = CALL_TIMEOUT_S
        self.telling = False  # a call that bears ends alone is under way
        self.waited = 0.0  # seconds that asks took in all
        self._timer: asyncio.TimerHandle | None = None
        self._calls: set[asyncio.Task] = set()

    async def ask(self, ask: AdmissionRequest, until: float) -> Asked:
        """Ask until told, or the steady clock shows `until`: UNAVAILABLE, and `cores` may have granted it."""
        begun = self.clock()
        waiting = Waiting(ask, until, asyncio.get_running_loop().create_future())
        self.asks.append(waiting)
        self._start_calls()
        timer = asyncio.get_running_loop().call_later(max(0.0, until - begun), _not_told, waiting.told)
        try:
            told = await waiting.told
        finally:
            timer.cancel()
            if waiting in self.asks:
                self.asks.remove(waiting)
        self._note(told, self.clock() - begun)
        refused_by = "" if told.admission in (Admission.RUN, Admission.UNAVAILABLE) else waiting.by
        return Asked(told, tuple(core for core in dict.fromkeys(waiting.cores) if core != refused_by))

    def end(self, cores: tuple[str, ...], operation: str, attempt: str, ending: Ending, answer=None) -> None:
        """Tell these cores how the run of an operation ended."""
        told = OperationEnd(operation, attempt, ending, answer)
        now = self.clock()
        due = now + (FREED_END_DELAY_S if ending is Ending.NEVER_RAN else END_DELAY_S)
        for core in cores:
            self.ends.add(now, core, told, due)
        self._start_later(due - now)

    async def finish(self, by: float) -> None:
        """Tell what is untold until the steady clock shows `by`; then end all connections."""
        self.ends.make_due()
        while self.ends.waiting and self.clock() < by:
            self._start_calls()
            await asyncio.sleep(FREED_END_DELAY_S)
        if self._timer is not None:
            self._timer.cancel()
        for call in list(self._calls):
            call.cancel()
        for lane in self.lanes:
            await lane.close()

    def _note(self, told: AdmissionResponse, took: float) -> None:
        """Count an ask by how long it took."""
        self.waited += took
        admission_step = next((admission_step for admission_step in DURATION_STEPS_S if took <= admission_step), None)
        within = (
            f"within {admission_step * 1000:g} ms"
            if admission_step is not None
            else f"over {DURATION_STEPS_S[-1] * 1000:g} ms"
        )
        self.counts()[f"asked, {'not told' if told is NO_ANSWER else within}"] += 1

    # -- calls

    def _start_later(self, pause: float) -> None:
        loop = asyncio.get_running_loop()
        if self._timer is not None:
            if self._timer.when() <= loop.time() + pause:
                return
            self._timer.cancel()
        self._timer = loop.call_later(pause, self._timed)

    def _timed(self) -> None:
        self._timer = None
        self._start_calls()

    def _start_calls(self) -> None:
        """Begin calls while there is something to tell and a lane is free."""
        while self.idle and (call := self._next_call(self.clock())) is not None:
            self.ends.mark_sent(self.clock(), call.core, call.ends)
            for waiting in call.asks:
                waiting.cores.append(call.core)
            self.telling = self.telling or not call.asks
            task = asyncio.get_running_loop().create_task(self._call(self.idle.pop(), call))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)
        if self.idle and not self.telling and (next_due := self.ends.next_due()) is not None:
            self._start_later(max(FREED_END_DELAY_S, next_due - self.clock()))

    def _next_call(self, now: float) -> Call | None:
        """What to tell next, and whom. Ends that can't go with asks have one lane at most; where asks hold the other
        one, it is theirs."""
        due = self.ends.due(now)
        core = self._core() if self.asks else None
        if core is not None:
            beside = end_batches.batch_with_asks([one.end for one in self.ends.ready(now, core)])
            if self.telling or all(one.end in beside for one in due) or len(self.idle) == len(self.lanes):
                batch, self.asks = self.asks[:MAX_ASKS], self.asks[MAX_ASKS:]
                return Call(core, batch, beside)
        if self.telling or not due:
            return None
        to = min(due, key=lambda one: self._avoided(one.core)).core
        return Call(to, [], end_batches.batch_alone([one.end for one in due if one.core == to]))

    def _core(self) -> str | None:
        """The core to ask: the best of those that did not fail lately, else the best of all."""
        return min(self.cores(), key=self._avoided, default=None)

    def _avoided(self, core: str) -> bool:
        """Whether a core failed lately."""
        return self.clock() - self.failed.get(core, -AVOID_FAILED_CORE_S) < AVOID_FAILED_CORE_S

    async def _call(self, lane: Caller, call: Call) -> None:
        core, batch, ends = call.core, call.asks, call.ends
        message = EdgeBatch(self.edge, self.life, [one.ask for one in batch], ends).to_json()
        patience = self.patience + end_batches.transfer_time(len(batch), ends, self.link_mbps)
        begun = self.clock()
        try:
            if lane.keep_only(core):
                await asyncio.sleep(0)  # only then the descriptor is free that the next connection takes
            raw = await lane.json("POST", f"http://{core}/admissions", message, patience, "admissions")
            told = [AdmissionResponse.from_json(one) for one in raw["told"]]
            if len(told) != len(batch):
                raise ValueError("another number of answers than asks")
        except (PeerError, KeyError, TypeError, ValueError) as error:
            self._lost(core, batch, error, self.clock() - begun >= patience)
        else:
            self.failed.pop(core, None)
            self.patience = CALL_TIMEOUT_S
            self.ends.mark_accepted(core, ends)
            for waiting, one in zip(batch, told, strict=True):
                if not waiting.told.done():
                    waiting.by = core
                    waiting.told.set_result(one)
        finally:
            self.idle.append(lane)
            self.telling = self.telling and bool(batch)
        if all(self._avoided(one) for one in self.cores()):
            self._start_later(PAUSE_S)
        else:
            self._start_calls()

    def _lost(self, core: str, batch: list[Waiting], error: Exception, too_slow: bool) -> None:
        """A call has no answer, in its time where it was `too_slow`: its asks go on to another core while they may."""
        now = self.clock()
        self.counts()["asks lost"] += 1
        if not self._avoided(core):
            log_warning("core does not admit", core=core, why=str(error))
        self.failed[core] = now
        if too_slow:
            self.patience = min(MAX_CALL_TIMEOUT_S, 2 * self.patience)
        self.asks[:0] = [one for one in batch if not one.told.done() and one.until > now]


def _not_told(told: asyncio.Future) -> None:
    if not told.done():
        told.set_result(NO_ANSWER)
