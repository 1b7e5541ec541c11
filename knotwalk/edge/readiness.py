"""The readiness port: 200 while the edge accepts new connections, 503 otherwise, with an empty body."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from knotwalk.edge.client_server import ClientServer
from knotwalk.runtime import text_port
from knotwalk.runtime.logs import log_info, log_warning

RESPONSES = {
    True: b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    False: b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
}


class Readiness:
    """Whether an edge is ready: from its first cluster view until it begins to stop.

    It is not ready while it can't check tenant keys, where there are any: clients are better served by other edges."""

    def __init__(self, client_server: ClientServer):
        self.client_server = client_server
        self.serving = False
        self._logged_ready = False

    def begin(self, now: float) -> None:
        """There is a cluster view to serve with, perhaps a newer one."""
        self.serving = True
        self.at(now)

    def end(self) -> None:
        """Accept no new connections from now on."""
        self.serving = False

    def at(self, now: float) -> bool:
        """Whether the edge is ready; changes are logged."""
        is_ready = self.serving and self.client_server.intake.can_check_keys(now)
        if self.serving and is_ready != self._logged_ready:
            self._logged_ready = is_ready
            view = self.client_server.view
            version = view.configuration.version if view.configuration else 0
            if is_ready:
                log_info("ready", version=version, nodes=len(view.nodes))
            else:
                log_warning("not ready: not sure of the keys in force", version=version)
        return is_ready


async def listen(host: str, port: int, ready: Callable[[], bool]) -> asyncio.Server:
    """Serve the readiness port; OSError if it can't be used."""
    return await text_port.listen(host, port, lambda target: RESPONSES[ready()])
