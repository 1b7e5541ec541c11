"""The readiness port: 200 while the edge wants new connections, 503 otherwise; the body says nothing.

A protocol of its own on httptools: a server of a library takes a third of an edge's start to import, and starts count.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import httptools

# The platform asks each second on one connection or many; one that says nothing for so long (seconds) is closed.
IDLE = 30.0
ANSWERS = {
    True: b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    False: b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
}


class Asker(asyncio.Protocol):
    """One connection of whoever asks."""

    def __init__(self, ready: Callable[[], bool]):
        self.ready = ready
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._wait()

    def _wait(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_later(IDLE, self.transport.close)

    def data_received(self, data: bytes) -> None:
        self._wait()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.close()

    def on_message_complete(self) -> None:
        self.transport.write(ANSWERS[self.ready()])
        if not self.parser.should_keep_alive():
            self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        if self.timer is not None:
            self.timer.cancel()


async def listen(host: str, port: int, ready: Callable[[], bool]) -> asyncio.Server:
    """Serve the readiness port."""
    return await asyncio.get_running_loop().create_server(lambda: Asker(ready), host, port)
