"""Client of the operators' call that reads and replaces the configuration of a running system."""

from __future__ import annotations

import asyncio
import json
from typing import Any, NamedTuple
from urllib.parse import urlsplit

from knotwalk.configuration.documents import format_version, parse_configuration
from knotwalk.configuration.objects import Configuration
from knotwalk.runtime.errors import PeerError
from knotwalk.runtime.http_client import HttpClient

CALL_TIMEOUT_S = 6.0  # of one attempt; a core that cannot tell the outcome says so after 4 s
MAX_ATTEMPTS = 8  # of one call without a clear answer: enough to outlast an election, or a core that has left
RETRY_DELAY_S = 0.4
MAX_REDIRECTS = 2  # from a core to the leader, and once more if that leader has just been replaced


class NoClearAnswerError(Exception):
    """No attempt got a clear answer; the text is the last failure."""


class Reply(NamedTuple):
    """A clear answer: `body` is its JSON object."""

    status: int
    body: dict[str, Any]


class ConfigurationClient:
    """Calls to the control port of one core, or of the core that it redirects to."""

    def __init__(self, address: str, client: HttpClient, retry_delay_s: float = RETRY_DELAY_S) -> None:
        self.address, self.client, self.retry_delay_s = address, client, retry_delay_s

    async def call(self, method: str, body: Any = None, base: int | None = None) -> Reply:
        """Send one call, repeated unchanged until a core answers clearly; raises NoClearAnswerError otherwise.

        `base` is the version that the change is built on, sent as If-Match.
        """
        failure = ""
        for _ in range(MAX_ATTEMPTS):
            url = f"http://{self.address}/configuration"
            request_headers = {} if base is None else {"If-Match": format_version(base)}
            try:
                for _ in range(MAX_REDIRECTS + 1):
                    status, headers, data = await self.client.send(
                        method, url, body, CALL_TIMEOUT_S, "configuration", request_headers
                    )
                    if status != 307 or urlsplit(headers.get("location", "")).path != "/configuration":
                        break
                    url = headers["location"]
                value = json.loads(data) if status in (200, 400, 404, 412, 413) else None
                if isinstance(value, dict):
                    return Reply(status, value)
                failure = f"{url}: status {status}"
            except (PeerError, ValueError) as error:
                failure = str(error)
            await asyncio.sleep(self.retry_delay_s)
        raise NoClearAnswerError(failure)

    async def current(self) -> Configuration | None:
        """The configuration in force, None if there is none yet; raises NoClearAnswerError as `call` does."""
        reply = await self.call("GET")
        return parse_configuration(reply.body) if reply.status == 200 else None
