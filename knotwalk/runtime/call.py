"""How cores and the command line call a peer: JSON over HTTP/1.1 by aiohttp, bounded in time, errors with step and
peer.

Edges have a lighter one of their own, `edge.caller`.
"""

import asyncio
import json
import socket
import struct
import sys
from typing import Any

# No TLS is spoken here; with it, aiohttp loads the system's certificates when it is imported, a tenth of a core's
# start.
kept = sys.modules.get("ssl")
sys.modules["ssl"] = None  # type: ignore[assignment]
import aiohttp

if kept is None:
    del sys.modules["ssl"]
else:
    sys.modules["ssl"] = kept

from knotwalk.runtime.errors import PeerError, value

# A peer one way 1.4 ms off answers within some ms; one that stalls on a shared core needs a few tenths of a second.
PATIENCE = 1.0


class Refused(PeerError):
    """Nothing listens there: the connection was refused at once, so nothing was taken."""


def resetting(info: tuple) -> socket.socket:
    """A socket whose close is a reset: what lies unsent, or is held up on the way, does not arrive later."""
    made = socket.socket(info[0], info[1], info[2])
    made.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    return made


class Caller:
    """A session for calls to peers. Connections are kept; each call has one limit of time for all of it. With `resets`,
    a call that is given up takes back what it sent as far as that has not arrived: for calls that count by arrival."""

    def __init__(self, connections: int = 256, resets: bool = False):
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=connections,
                limit_per_host=0,
                use_dns_cache=False,
                keepalive_timeout=8.0,
                socket_factory=resetting if resets else None,
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            trust_env=False,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )

    async def send(
        self,
        method: str,
        url: str,
        body: Any = None,
        patience: float = PATIENCE,
        step: str = "call",
        headers: dict[str, str] | None = None,
    ) -> tuple[int, dict[str, str], bytes]:
        """Status, headers (lower case) and body of an answer; StationError without one, Refused if none listens."""
        data = None if body is None else json.dumps(body, separators=(",", ":")).encode()
        heads = {"Content-Type": "application/json"} if data is not None else {}
        try:
            async with asyncio.timeout(patience):
                async with self.session.request(
                    method, url, data=data, headers={**heads, **(headers or {})}, allow_redirects=False
                ) as answer:
                    return answer.status, {k.lower(): v for k, v in answer.headers.items()}, await answer.read()
        except aiohttp.ClientConnectorError as error:
            kind = Refused if isinstance(error.os_error, ConnectionRefusedError) else PeerError
            raise kind(step, url, error.os_error) from None
        except TimeoutError:
            raise PeerError(step, url, f"no answer within {patience:g} s") from None
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise PeerError(step, url, f"{type(error).__name__} {error}") from None

    async def json(
        self, method: str, url: str, body: Any = None, patience: float = PATIENCE, step: str = "call"
    ) -> Any:
        """The JSON value of a 200; StationError for any other answer or none."""
        status, _, data = await self.send(method, url, body, patience, step)
        return value(step, url, status, data)

    async def close(self) -> None:
        """Close the connections to all peers."""
        await self.session.close()
