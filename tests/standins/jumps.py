"""Event loops whose time isn't the machine's: one jumps to what is due next, one stands until the test moves it."""

from __future__ import annotations

import asyncio
import selectors
import unittest
from concurrent.futures import Executor
from typing import Any
from unittest import mock

BOUND = 120.0  # seconds of the machine's time that work on other threads may take; a calm machine needs milliseconds


class StuckError(AssertionError):
    """Nothing will ever happen again: no timer, no call and no thread's work is outstanding."""


class Jumps(selectors.DefaultSelector):
    """Waits for nothing but other threads: the time that a loop would have waited is added to `now`."""

    now = 0.0
    outside = 0  # pieces of work that other threads do; time stands while there are any

    def select(self, timeout: float | None = None) -> list:
        found = super().select(0)
        if found or timeout == 0:
            return found
        if self.outside:
            found = super().select(BOUND)
            if not found:
                raise StuckError(f"a thread's work took more than {BOUND:g} s")
        elif timeout is None:
            raise StuckError("waits for what nobody will do")
        else:
            self.now += timeout + 1e-6  # past the moment, whatever the rounding
        return found


class Loop(asyncio.SelectorEventLoop):
    """An event loop whose time only jumps, so that twenty seconds last some milliseconds, however busy the machine."""

    def __init__(self) -> None:
        self.jumps = Jumps()
        super().__init__(self.jumps)

    def time(self) -> float:
        return self.jumps.now

    def run_in_executor(self, executor: Executor | None, work: Any, *given: Any) -> asyncio.Future:
        future = super().run_in_executor(executor, work, *given)
        self.jumps.outside += 1
        future.add_done_callback(self._came_back)
        return future

    async def shutdown_default_executor(self, *given: Any) -> None:
        self.jumps.outside += 1
        try:
            await super().shutdown_default_executor(*given)
        finally:
            self.jumps.outside -= 1

    def _came_back(self, _: asyncio.Future) -> None:
        self.jumps.outside -= 1


def clock() -> float:
    """The running loop's time, for what would read the steady clock."""
    return asyncio.get_running_loop().time()


class JumpingCase(unittest.IsolatedAsyncioTestCase):
    """Tests in time that only jumps. `clocks` are the modules whose steady clock is the loop's time meanwhile."""

    clocks: tuple = ()

    def setUp(self) -> None:
        for module in self.clocks:
            patch = mock.patch.object(module, "clock", clock)
            patch.start()
            self.addCleanup(patch.stop)

    def _setupAsyncioRunner(self) -> None:  # noqa: N802, the name that unittest has; from Python 3.13 on loop_factory
        self._asyncioRunner = asyncio.Runner(debug=True, loop_factory=Loop)


class Held:
    """A loop's time that stands until the test moves it on: `now` in place of the loop's and of the steady clock."""

    def __init__(self, loop: asyncio.BaseEventLoop):
        self.moment = loop.time()
        loop.time = self.now  # type: ignore[method-assign]

    def now(self) -> float:
        return self.moment
