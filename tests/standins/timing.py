"""A bound on the time of a step of a test."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

Result = TypeVar("Result")


async def bounded(step: Awaitable[Result], seconds: float) -> Result:
    """The step's result; TimeoutError after so many seconds of the loop's time."""
    async with asyncio.timeout(seconds):
        return await step
