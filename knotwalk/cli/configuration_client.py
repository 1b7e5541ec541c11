"""A configuration offered to a running system, through the operators' call and by its rules."""

from __future__ import annotations

import asyncio
import json
from typing import Any, NamedTuple
from urllib.parse import urlsplit

from knotwalk.configuration.documents import format_version, parse_configuration
from knotwalk.configuration.objects import Configuration
from knotwalk.runtime.errors import PeerError
from knotwalk.runtime.http_client import HttpClient

CALL_TIMEOUT_S = 6.0  # for one answer: a core says after 4 s that it does not know
MAX_ATTEMPTS = 8  # of one call without a clear answer: past an election, and a core that has gone
RETRY_DELAY_S = 0.4
MAX_REDIRECTS = 2  # from a core to the leader, and once more if that one has just been replaced


class NoClearAnswerError(Exception):
    """None of the tries got a clear answer; the text says what came last."""


class Reply(NamedTuple):
    """A clear answer: `body` is its JSON object."""

    status: int
    body: dict[str, Any]


class ConfigurationClient:
    """Calls to the control port of one core, or of whichever it sends on to."""

    def __init__(self, address: str, caller: HttpClient, pause: float = RETRY_DELAY_S) -> None:
        self.address, self.caller, self.pause = address, caller, pause

    async def call(self, method: str, body: Any = None, base: int | None = None) -> Reply:
        """One call, sent again unchanged until a core answers clearly; NoClearAnswerError otherwise."""
        last = ""
        for _ in range(MAX_ATTEMPTS):
            url = f"http://{self.address}/configuration"
            heads = {} if base is None else {"If-Match": format_version(base)}
            try:
                for _ in range(MAX_REDIRECTS + 1):
                    status, headers, data = await self.caller.send(
                        method, url, body, CALL_TIMEOUT_S, "configuration", heads
                    )
                    if status != 307 or urlsplit(headers.get("location", "")).path != "/configuration":
                        break
                    url = headers["location"]
                value = json.loads(data) if status in (200, 400, 404, 412, 413) else None
                if isinstance(value, dict):
                    return Reply(status, value)
                last = f"{url}: status {status}"
            except (PeerError, ValueError) as error:
                last = str(error)
            await asyncio.sleep(self.pause)
        raise NoClearAnswerError(last)

    async def current(self) -> Configuration | None:
        """What is in force, None before the first; NoClearAnswerError."""
        reply = await self.call("GET")
        return parse_configuration(reply.body) if reply.status == 200 else None
