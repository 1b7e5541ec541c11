"""Calls to cores: admission of requests with a limit or an `Operation-Key` ("asks"), and how their runs ended ("ends").

What arrives during a call is batched into the next one. Ends are limited in bytes: large ones go in calls of their
own, one at a time, so that a connection is always left for asks. An ask may be sent twice and to any core, since an
attempt's claim is granted again. Ends go to the core that admitted the run, and are repeated until it accepts them.
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

# Timeout of a call: a core answers within some tens of milliseconds, with what it knows by then. It is doubled, up to
# the maximum, with each consecutive call that times out: cores behind a slow link are slow but alive. The time that the
# call's bytes take on the link is added.
CALL_TIMEOUT_S, MAX_CALL_TIMEOUT_S = 0.15, 0.8
# Time that an end waits for a call with asks: an end that frees its operation, whose client was told to retry soon, and
# any other.
FREED_END_DELAY_S, END_DELAY_S = 0.02, 0.25
# Maximum asks in one call.
MAX_ASKS = 200
# Pause between calls while all known cores have failed lately: a port that refuses answers at once.
PAUSE_S = 0.02
# Time for which a failed core is only called if there is no other.
AVOID_FAILED_CORE_S = 2.0
# Bounds by which the durations of asks are counted.
DURATION_STEPS_S = (0.01, 0.02, 0.04, 0.08)
NO_ANSWER = AdmissionResponse(Admission.UNAVAILABLE)


@dataclass(slots=True)
class PendingAsk:
    """An ask without a response yet; `cores` are those it was sent to, `answered_by` the one that responded."""

    ask: AdmissionRequest
    until: float
    response: asyncio.Future[AdmissionResponse]
    cores: list[str] = field(default_factory=list)
    answered_by: str = ""


@dataclass(frozen=True, slots=True)
class Call:
    """The content of one call to a core."""

    core: str
    asks: list[PendingAsk]
    ends: list[OperationEnd]


@dataclass(frozen=True, slots=True)
class AskResult:
    """The response to an ask; `cores` are those that granted it or may have."""

    response: AdmissionResponse
    cores: tuple[str, ...] = ()


class AdmissionCalls:
    """Calls `POST /admissions`.

    `cores` returns the addresses of cores, the best first; `incarnation` identifies this process of the edge."""

    def __init__(
        self,
        edge: str,
        incarnation: str,
        cores: Callable[[], list[str]],
        clock: Callable[[], float],
        window: float,
        counts: Callable[[], Counter[str]],
        link_mbps: float = 1000.0,
    ):
        self.link_mbps = link_mbps  # bandwidth of this machine in Mbit/s
        self.edge, self.incarnation, self.cores, self.clock, self.counts = edge, incarnation, cores, clock, counts
        self.lanes = [Caller() for _ in range(ASK_LANES)]
        self.idle = list(self.lanes)
        self.asks: list[PendingAsk] = []
        self.ends = PendingEnds(window)
        self.failed: dict[str, float] = {}  # when cores failed
        self.patience = CALL_TIMEOUT_S
        self.sending_ends = False  # a call with ends only is in progress
        self.ask_seconds = 0.0  # total duration of asks
        self._timer: asyncio.TimerHandle | None = None
        self._calls: set[asyncio.Task] = set()

    async def ask(self, ask: AdmissionRequest, until: float) -> AskResult:
        """Ask until there is a response.

        After `until` (monotonic clock) it is UNAVAILABLE, and the `cores` of the result may have granted the ask."""
        begun = self.clock()
        pending = PendingAsk(ask, until, asyncio.get_running_loop().create_future())
        self.asks.append(pending)
        self._start_calls()
        timer = asyncio.get_running_loop().call_later(max(0.0, until - begun), _set_no_answer, pending.response)
        try:
            response = await pending.response
        finally:
            timer.cancel()
            if pending in self.asks:
                self.asks.remove(pending)
        self._count_duration(response, self.clock() - begun)
        refused_by = "" if response.admission in (Admission.RUN, Admission.UNAVAILABLE) else pending.answered_by
        return AskResult(response, tuple(core for core in dict.fromkeys(pending.cores) if core != refused_by))

    def end(self, cores: tuple[str, ...], operation: str, attempt: str, ending: Ending, answer=None) -> None:
        """Report to these cores how the run of an operation ended."""
        response = OperationEnd(operation, attempt, ending, answer)
        now = self.clock()
        due = now + (FREED_END_DELAY_S if ending is Ending.NEVER_RAN else END_DELAY_S)
        for core in cores:
            self.ends.add(now, core, response, due)
        self._start_later(due - now)

    async def finish(self, by: float) -> None:
        """Send pending ends until `by` (monotonic clock), then close all connections."""
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

    def _count_duration(self, response: AdmissionResponse, seconds: float) -> None:
        """Count an ask by its duration."""
        self.ask_seconds += seconds
        admission_step = next(
            (admission_step for admission_step in DURATION_STEPS_S if seconds <= admission_step), None
        )
        within = (
            f"within {admission_step * 1000:g} ms"
            if admission_step is not None
            else f"over {DURATION_STEPS_S[-1] * 1000:g} ms"
        )
        self.counts()[f"asked, {'not told' if response is NO_ANSWER else within}"] += 1

    # -- calls

    def _start_later(self, pause: float) -> None:
        loop = asyncio.get_running_loop()
        if self._timer is not None:
            if self._timer.when() <= loop.time() + pause:
                return
            self._timer.cancel()
        self._timer = loop.call_later(pause, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._start_calls()

    def _start_calls(self) -> None:
        """Start calls while there is something to send and a connection is free."""
        while self.idle and (call := self._next_call(self.clock())) is not None:
            self.ends.mark_sent(self.clock(), call.core, call.ends)
            for pending in call.asks:
                pending.cores.append(call.core)
            self.sending_ends = self.sending_ends or not call.asks
            task = asyncio.get_running_loop().create_task(self._call(self.idle.pop(), call))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)
        if self.idle and not self.sending_ends and (next_due := self.ends.next_due()) is not None:
            self._start_later(max(FREED_END_DELAY_S, next_due - self.clock()))

    def _next_call(self, now: float) -> Call | None:
        """The next call, if any.

        Ends that can't go with asks use one connection at most; where asks hold the other one, it is left to asks."""
        due = self.ends.due(now)
        core = self._best_core() if self.asks else None
        if core is not None:
            ends_with_asks = end_batches.batch_with_asks([one.end for one in self.ends.ready(now, core)])
            if self.sending_ends or all(one.end in ends_with_asks for one in due) or len(self.idle) == len(self.lanes):
                batch, self.asks = self.asks[:MAX_ASKS], self.asks[MAX_ASKS:]
                return Call(core, batch, ends_with_asks)
        if self.sending_ends or not due:
            return None
        to = min(due, key=lambda one: self._is_avoided(one.core)).core
        return Call(to, [], end_batches.batch_alone([one.end for one in due if one.core == to]))

    def _best_core(self) -> str | None:
        """The core to ask: the best of those that have not failed lately, otherwise the best of all."""
        return min(self.cores(), key=self._is_avoided, default=None)

    def _is_avoided(self, core: str) -> bool:
        """Whether a core has failed lately."""
        return self.clock() - self.failed.get(core, -AVOID_FAILED_CORE_S) < AVOID_FAILED_CORE_S

    async def _call(self, lane: Caller, call: Call) -> None:
        core, batch, ends = call.core, call.asks, call.ends
        message = EdgeBatch(self.edge, self.incarnation, [one.ask for one in batch], ends).to_json()
        patience = self.patience + end_batches.transfer_time(len(batch), ends, self.link_mbps)
        begun = self.clock()
        try:
            if lane.close_others(core):
                await asyncio.sleep(0)  # the descriptor for the next connection is only free after that
            payload = await lane.json("POST", f"http://{core}/admissions", message, patience, "admissions")
            response = [AdmissionResponse.from_json(one) for one in payload["told"]]
            if len(response) != len(batch):
                raise ValueError("number of responses differs from number of asks")
        except (PeerError, KeyError, TypeError, ValueError) as error:
            self._call_failed(core, batch, error, self.clock() - begun >= patience)
        else:
            self.failed.pop(core, None)
            self.patience = CALL_TIMEOUT_S
            self.ends.mark_accepted(core, ends)
            for pending, one in zip(batch, response, strict=True):
                if not pending.response.done():
                    pending.answered_by = core
                    pending.response.set_result(one)
        finally:
            self.idle.append(lane)
            self.sending_ends = self.sending_ends and bool(batch)
        if all(self._is_avoided(one) for one in self.cores()):
            self._start_later(PAUSE_S)
        else:
            self._start_calls()

    def _call_failed(self, core: str, batch: list[PendingAsk], error: Exception, too_slow: bool) -> None:
        """Handle a failed call, which timed out if `too_slow`: asks that have time left go to another core."""
        now = self.clock()
        self.counts()["asks lost"] += 1
        if not self._is_avoided(core):
            log_warning("admission call failed", core=core, why=str(error))
        self.failed[core] = now
        if too_slow:
            self.patience = min(MAX_CALL_TIMEOUT_S, 2 * self.patience)
        self.asks[:0] = [one for one in batch if not one.response.done() and one.until > now]


def _set_no_answer(response: asyncio.Future) -> None:
    if not response.done():
        response.set_result(NO_ANSWER)
