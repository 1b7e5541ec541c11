"""A minimal HTTP port that answers GET requests: readiness of an edge, metrics of every program.

It is a protocol of its own on httptools, because importing a server library would take a third of an edge's start-up
time, and start-up time matters.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import httptools

# Clients poll every few seconds, on one connection or many; a connection that is idle for longer than this is closed.
IDLE_TIMEOUT_S = 30.0

RequestHandler = Callable[[bytes], Awaitable[bytes] | bytes]
"""Maps a request's target to the complete HTTP response, immediately or as an awaitable."""


class GetConnection(asyncio.Protocol):
    """One client connection; responses that are awaited are written in the order of their requests."""

    def __init__(self, handler: RequestHandler):
        self.handler = handler
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.idle_timer: asyncio.TimerHandle | None = None
        self.target = b""
        self.pending_response: asyncio.Task | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle a new connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._restart_idle_timer()

    def _restart_idle_timer(self) -> None:
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        self.idle_timer = asyncio.get_running_loop().call_later(IDLE_TIMEOUT_S, self.transport.close)

    def data_received(self, data: bytes) -> None:
        """Feed received bytes to the parser; invalid HTTP closes the connection."""
        self._restart_idle_timer()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.close()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request's target."""
        self.target += url

    def on_message_complete(self) -> None:
        """Answer a complete request."""
        target, self.target = self.target, b""
        keep_alive = self.parser.should_keep_alive()
        response = self.handler(target)
        if isinstance(response, bytes) and self.pending_response is None:
            self._write(response, keep_alive)
        else:
            self.pending_response = asyncio.get_running_loop().create_task(
                self._write_after(self.pending_response, response, keep_alive)
            )

    async def _write_after(
        self, previous: asyncio.Task | None, response: Awaitable[bytes] | bytes, keep_alive: bool
    ) -> None:
        if previous is not None:
            await previous
        self._write(response if isinstance(response, bytes) else await response, keep_alive)

    def _write(self, response: bytes, keep_alive: bool) -> None:
        self.transport.write(response)
        if not keep_alive:
            self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Handle the end of the connection."""
        if self.idle_timer is not None:
            self.idle_timer.cancel()


async def listen(host: str, port: int, handler: RequestHandler) -> asyncio.Server:
    """Serve a port; OSError if it cannot be bound."""
    return await asyncio.get_running_loop().create_server(lambda: GetConnection(handler), host, port)
