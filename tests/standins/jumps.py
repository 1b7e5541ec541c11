"""Event loops with simulated time: one jumps to the next timer, one stands still until the test advances it."""

from __future__ import annotations

import asyncio
import selectors
import unittest
from concurrent.futures import Executor
from typing import Any
from unittest import mock

THREAD_TIMEOUT_S = 120.0  # real time allowed for work on other threads; an idle machine needs milliseconds


class LoopDeadlockError(AssertionError):
    """The loop is deadlocked: no timer, callback or work on another thread is outstanding."""


class Jumps(selectors.DefaultSelector):
    """A selector that waits only for other threads: instead of waiting, it adds the time-out to `now`."""

    now = 0.0
    outside = 0  # work items on other threads; simulated time stands still while there are any

    def select(self, timeout: float | None = None) -> list:
        events = super().select(0)
        if events or timeout == 0:
            return events
        if self.outside:
            events = super().select(THREAD_TIMEOUT_S)
            if not events:
                raise LoopDeadlockError(f"work on another thread took more than {THREAD_TIMEOUT_S:g} s")
        elif timeout is None:
            raise LoopDeadlockError("the loop waits, but no timer, callback or thread is outstanding")
        else:
            self.now += timeout + 1e-6  # past the timer's due time in spite of rounding
        return events


class Loop(asyncio.SelectorEventLoop):
    """An event loop that jumps to the next timer: twenty seconds take milliseconds, however busy the machine is."""

    def __init__(self) -> None:
        self.jumps = Jumps()
        super().__init__(self.jumps)

    def time(self) -> float:
        return self.jumps.now

    def run_in_executor(self, executor: Executor | None, work: Any, *arguments: Any) -> asyncio.Future:
        future = super().run_in_executor(executor, work, *arguments)
        self.jumps.outside += 1
        future.add_done_callback(self._came_back)
        return future

    async def shutdown_default_executor(self, *arguments: Any) -> None:
        self.jumps.outside += 1
        try:
            await super().shutdown_default_executor(*arguments)
        finally:
            self.jumps.outside -= 1

    def _came_back(self, _: asyncio.Future) -> None:
        self.jumps.outside -= 1


def clock() -> float:
    """Returns the running loop's time, in place of the monotonic clock."""
    return asyncio.get_running_loop().time()


class JumpingCase(unittest.IsolatedAsyncioTestCase):
    """Test case on the jumping loop. `clocks` are the modules whose `clock` is replaced by the loop's time."""

    clocks: tuple = ()

    def setUp(self) -> None:
        for module in self.clocks:
            patch = mock.patch.object(module, "clock", clock)
            patch.start()
            self.addCleanup(patch.stop)

    def _setupAsyncioRunner(self) -> None:  # noqa: N802, overrides unittest's method; from Python 3.13 on, loop_factory replaces it
        self._asyncioRunner = asyncio.Runner(debug=True, loop_factory=Loop)


class Held:
    """Time that stands still until the test changes `moment`; `now` replaces `loop.time` and the monotonic clock."""

    def __init__(self, loop: asyncio.BaseEventLoop):
        self.moment = loop.time()
        loop.time = self.now  # type: ignore[method-assign]

    def now(self) -> float:
        return self.moment
