"""A port that answers each GET with one text: readiness of an edge, figures of every program.

A protocol of its own on httptools: a server of a library takes a third of an edge's start to import, and starts count.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import httptools

# Whoever asks does so each few seconds, on one connection or many; one that says nothing for so long (seconds) is
# closed.
IDLE_TIMEOUT_S = 30.0

RequestHandler = Callable[[bytes], Awaitable[bytes] | bytes]
"""From a request's target to the whole HTTP answer, at once or later."""


class GetConnection(asyncio.Protocol):
    """One connection of whoever asks; answers that come later are written in their order."""

    def __init__(self, answer: RequestHandler):
        self.answer = answer
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.target = b""
        self.under_way: asyncio.Task | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Somebody connected."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._wait()

    def _wait(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_later(IDLE_TIMEOUT_S, self.transport.close)

    def data_received(self, data: bytes) -> None:
        """Bytes came; what is no HTTP ends the connection."""
        self._wait()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.close()

    def on_url(self, url: bytes) -> None:
        """The request's target, or a part of it."""
        self.target += url

    def on_message_complete(self) -> None:
        """A request is whole."""
        target, self.target = self.target, b""
        keeps = self.parser.should_keep_alive()
        found = self.answer(target)
        if isinstance(found, bytes) and self.under_way is None:
            self._write(found, keeps)
        else:
            self.under_way = asyncio.get_running_loop().create_task(self._later(self.under_way, found, keeps))

    async def _later(self, before: asyncio.Task | None, found: Awaitable[bytes] | bytes, keeps: bool) -> None:
        if before is not None:
            await before
        self._write(found if isinstance(found, bytes) else await found, keeps)

    def _write(self, answer: bytes, keeps: bool) -> None:
        self.transport.write(answer)
        if not keeps:
            self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        """It ended."""
        if self.timer is not None:
            self.timer.cancel()


async def listen(host: str, port: int, answer: RequestHandler) -> asyncio.Server:
    """Serve a port; OSError if it can't be had."""
    return await asyncio.get_running_loop().create_server(lambda: GetConnection(answer), host, port)
