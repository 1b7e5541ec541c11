"""The readiness port: 200 while the edge wants new connections, 503 otherwise; the body says nothing."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from knotwalk.edge.client_server import ClientServer
from knotwalk.runtime import text_port
from knotwalk.runtime.logs import log_info, log_warning

ANSWERS = {
    True: b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    False: b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
}


class Readiness:
    """Whether an edge wants new connections: once it has a cluster view to serve by, until it must end.

    Not while it can't judge tenants' keys, where there are any: clients then fare better at other edges."""

    def __init__(self, client_server: ClientServer):
        self.client_server = client_server
        self.wanted = False
        self._told = False

    def begin(self, now: float) -> None:
        """There is a cluster view to serve by, perhaps a newer one."""
        self.wanted = True
        self.at(now)

    def end(self) -> None:
        """No new connection is wanted from now on."""
        self.wanted = False

    def at(self, now: float) -> bool:
        """Whether new connections are wanted; what changes is logged."""
        found = self.wanted and self.client_server.intake.judges_keys(now)
        if self.wanted and found != self._told:
            self._told = found
            view = self.client_server.view
            version = view.configuration.version if view.configuration else 0
            if found:
                log_info("ready", version=version, nodes=len(view.nodes))
            else:
                log_warning("not ready: not sure of the keys in force", version=version)
        return found


async def listen(host: str, port: int, ready: Callable[[], bool]) -> asyncio.Server:
    """Serve the readiness port; OSError if it can't be had."""
    return await text_port.listen(host, port, lambda target: ANSWERS[ready()])
