"""An asyncio event loop in virtual time that carries many processes, each with a clock of its own.

What a process does runs in its own context, so every handle tells whose it is: those of a dead process are dropped,
those of a frozen one wait until it thaws. Nothing sleeps; the same seed gives the same order of all handles.
"""

from __future__ import annotations

import asyncio
import contextvars
import heapq
import random
from collections.abc import Callable, Coroutine
from typing import Any

from knotwalk.runtime.errors import PeerError

TURN = 1e-6  # seconds by which a timer comes late: a loop's own turn; without it one could come due too early for ever
STEPS_MOST = 3_000_000  # handles of one walk: some twenty times what a usual one runs; more is a loop without end


class EndlessWalkError(AssertionError):
    """A walk does not come to its end."""


class Process:
    """One running program on a host: a clock that may be off and drift, freezes, and an end without any goodbye."""

    def __init__(self, loop: VirtualLoop, name: str, host: str, offset: float = 0.0, rate: float = 1.0):
        self.loop, self.name, self.host, self.offset, self.rate = loop, name, host, offset, rate
        self.alive = True
        self.frozen = False
        self.backlog: list[asyncio.Handle] = []
        self.tasks: list[asyncio.Task] = []  # kept, so that none of a dead process is collected in the midst of a walk
        self.context = contextvars.copy_context()
        self.context.run(PROCESS.set, self)
        loop.processes.append(self)

    def clock(self) -> float:
        """This process's steady clock."""
        return self.offset + self.rate * self.loop.now

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Begin a task of this process."""
        return self.loop.create_task(work, context=self.context)

    def soon(self, act: Callable, *given: Any, wait: float = 0.0) -> None:
        """Run something in this process after `wait` seconds of the world's time."""
        self.loop.push(self.loop.now + wait, asyncio.Handle(act, given, self.loop, self.context))

    def kill(self) -> None:
        """It is gone; nothing of it runs any more."""
        self.alive = False
        self.backlog.clear()

    def freeze(self) -> None:
        self.frozen = True

    def thaw(self) -> None:
        """Go on where it stood: what came due meanwhile runs now, in its order."""
        self.frozen = False
        backlog, self.backlog = self.backlog, []
        for handle in backlog:
            self.loop.push(self.loop.now, handle)


PROCESS: contextvars.ContextVar[Process] = contextvars.ContextVar("process")


def clock() -> float:
    """The steady clock of whichever process runs now."""
    return PROCESS.get().clock()


class VirtualLoop(asyncio.AbstractEventLoop):
    """The loop. `now` is the world's time, which no process sees."""

    def __init__(self, seed: int):
        self.now = 0.0
        self.random = random.Random(f"loop {seed}")
        self.queue: list[tuple[float, int, asyncio.Handle]] = []
        self.serial = self.steps = 0
        self.errors: list[str] = []
        self.processes: list[Process] = []
        self.world = Process(self, "world", "world")
        self.disk: Callable[[Process, asyncio.Future, Callable, tuple], None] = lambda *_: None

    def push(self, when: float, handle: asyncio.Handle) -> None:
        self.serial += 1
        heapq.heappush(self.queue, (when, self.serial, handle))

    def run(self, until: float) -> None:
        """Let time pass."""
        before = asyncio._get_running_loop()
        asyncio._set_running_loop(self)
        try:
            while self.queue and self.queue[0][0] <= until:
                when, _, handle = heapq.heappop(self.queue)
                self.now = max(self.now, when)
                self._one(handle)
            self.now = max(self.now, until)
        finally:
            asyncio._set_running_loop(before)

    def _one(self, handle: asyncio.Handle) -> None:
        process = handle._context.get(PROCESS, self.world)
        if handle._cancelled or not process.alive:
            return
        if process.frozen:
            process.backlog.append(handle)
            return
        self.steps += 1
        if self.steps > STEPS_MOST:
            raise EndlessWalkError(f"a walk without end: {process.name} {handle}")
        handle._run()

    # -- what asyncio asks of a loop

    def _process(self, context: contextvars.Context | None) -> Process:
        return (context.get(PROCESS, self.world) if context is not None else PROCESS.get(self.world)) or self.world

    def time(self) -> float:
        return PROCESS.get(self.world).clock()

    def call_soon(self, callback: Callable, *args: Any, context: Any = None) -> asyncio.Handle:
        handle = asyncio.Handle(callback, args, self, context)
        self.push(self.now, handle)
        return handle

    call_soon_threadsafe = call_soon

    def call_later(self, delay: float, callback: Callable, *args: Any, context: Any = None) -> asyncio.TimerHandle:
        return self.call_at(self._process(context).clock() + delay, callback, *args, context=context)

    def call_at(self, when: float, callback: Callable, *args: Any, context: Any = None) -> asyncio.TimerHandle:
        process = self._process(context)
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        self.push(max(self.now, (when - process.offset) / process.rate) + TURN, handle)
        return handle

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        pass

    def create_future(self) -> asyncio.Future:
        return asyncio.Future(loop=self)

    def create_task(self, coro: Any, *, name: str | None = None, context: Any = None) -> asyncio.Task:
        task = asyncio.Task(coro, loop=self, name=name or "task", context=context)
        task._log_destroy_pending = False
        self._process(context).tasks.append(task)
        return task

    def run_in_executor(self, executor: Any, func: Callable, *args: Any) -> asyncio.Future:
        future = self.create_future()
        self.disk(PROCESS.get(), future, func, args)
        return future

    def get_debug(self) -> bool:
        return False

    def is_running(self) -> bool:
        return True

    def is_closed(self) -> bool:
        return False

    def call_exception_handler(self, context: dict) -> None:
        """Errors that nobody took: part of what a walk is judged by."""
        error = context.get("exception")
        self.errors.append(f"{context.get('message')} {type(error).__name__} {error}")

    def failed(self) -> list[str]:
        """By what tasks of running processes have ended, other than by a call that failed."""
        found = list(self.errors)
        for process in self.processes:
            for task in process.tasks if process.alive else ():
                error = task.exception() if task.done() and not task.cancelled() else None
                if error is not None and not isinstance(error, PeerError):
                    found.append(f"{process.name}: {type(error).__name__} {error}")
        return found

    def default_exception_handler(self, context: dict) -> None:
        self.call_exception_handler(context)
