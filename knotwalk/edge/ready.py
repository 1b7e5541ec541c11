"""The readiness port: 200 while the edge wants new connections, 503 otherwise; the body says nothing."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from knotwalk.runtime import text_port

ANSWERS = {
    True: b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    False: b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
}


async def listen(host: str, port: int, ready: Callable[[], bool]) -> asyncio.Server:
    """Serve the readiness port; OSError if it can't be had."""
    return await text_port.listen(host, port, lambda target: ANSWERS[ready()])
