"""How cores and the command line call a peer: JSON over HTTP/1.1 by aiohttp, bounded in time, errors with step and
peer.

Edges have a lighter one of their own, `edge.caller`.
"""

import asyncio
import json
import select
import socket
import struct
import sys
from collections import Counter
from typing import Any
from weakref import WeakSet

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
# Seconds that an idle connection is kept: less than half of what a core keeps one open for.
KEPT = 8.0


class Refused(PeerError):
    """Nothing listens there: the connection was refused at once, so nothing was taken."""


def resetting(info: tuple) -> socket.socket:
    """A socket whose close is a reset: what lies unsent, or is held up on the way, does not arrive later."""
    made = socket.socket(info[0], info[1], info[2])
    made.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    return made


class CheckedConnector(aiohttp.TCPConnector):
    """Gives no connection on which something has come, or lies unread, that no call waits for.

    aiohttp's own pool looks at this when a connection is given back, not when it is taken out: a second answer that
    came in between was given to the next call, and each answer after it to the call after its own."""

    def __init__(self, **options: Any):
        super().__init__(**options)
        self.used: WeakSet = WeakSet()  # protocols that have carried a call

    async def connect(self, *asked: Any, **options: Any) -> Any:
        """A connection that a call may be sent on."""
        while True:
            connection = await super().connect(*asked, **options)
            protocol = connection.protocol
            if not spoilt(protocol):
                self.used.add(protocol)
                return connection
            connection.close()
            if protocol not in self.used:
                raise aiohttp.ClientConnectionError("the peer ended it, or spoke, before it was asked")


def spoilt(protocol: Any) -> bool:
    """Whether bytes or an end have come on a connection with no call under way, read by the loop or not."""
    if protocol.should_close or not protocol.is_connected():
        return True
    parser = protocol._parser  # a further answer of which only a part has come is known to nobody else
    if parser is not None and parser.feed_eof() is not None:
        return True
    poll = select.poll()
    poll.register(protocol.transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))


class NamedResponse(aiohttp.ClientResponse):
    """An answer that bears the id of another call than the one it came for is none, and ends its connection."""

    async def start(self, connection: Any) -> Any:
        """Read the head, and see whose answer it is."""
        protocol = connection.protocol
        await super().start(connection)
        asked = self.request_info.headers.get("Call-Id")
        if asked is not None and self.headers.get("Call-Id", asked) != asked:
            protocol.close()  # a short answer has put it back among the kept ones by now
            raise aiohttp.ClientConnectionError("another call's answer")
        return self


def session(connections: int, resets: bool, keeps: bool) -> aiohttp.ClientSession:
    """A session that follows nothing, sends nothing twice, and keeps connections only if asked to."""
    made = aiohttp.ClientSession(
        connector=CheckedConnector(
            limit=connections,
            limit_per_host=0,
            use_dns_cache=False,
            socket_factory=resetting if resets else None,
            **({"keepalive_timeout": KEPT} if keeps else {"force_close": True}),
        ),
        response_class=NamedResponse,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        trust_env=False,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
    )
    # aiohttp sends a PUT or GET once more when a kept connection ends: whether a call may be repeated is its caller's
    # to say, and a repeat that nobody sees is one that nobody counts. (Its own test client switches it off likewise.)
    made._retry_connection = False
    return made


class Caller:
    """Sessions for calls to peers. Connections are kept; each call has one limit of time for all of it. With `resets`,
    a call that is given up takes back what it sent as far as that has not arrived: for calls that count by arrival.
    `named`: calls bear an id that cores repeat in their answers; an answer with another one is no answer."""

    def __init__(self, connections: int = 256, resets: bool = False, named: bool = True):
        self.session = session(connections, resets, True)
        self.single = session(connections, resets, False)
        self.named, self.calls = named, 0
        self.sent: Counter[str] = Counter()  # bytes of bodies by step
        self.received: Counter[str] = Counter()

    async def send(
        self,
        method: str,
        url: str,
        body: Any = None,
        patience: float = PATIENCE,
        step: str = "call",
        headers: dict[str, str] | None = None,
        alone: bool = False,
    ) -> tuple[int, dict[str, str], bytes]:
        """Status, headers (lower case) and body of an answer; PeerError without one, Refused if none listens. `alone`:
        on a connection of its own, for a call whose answer bears no id and must not be another's."""
        data = None if body is None else json.dumps(body, separators=(",", ":")).encode()
        self.sent[step] += len(data or b"")
        heads = {"Content-Type": "application/json"} if data is not None else {}
        call = self._next_call()
        if call:
            heads["Call-Id"] = call
        try:
            async with asyncio.timeout(patience):
                async with (self.single if alone else self.session).request(
                    method, url, data=data, headers={**heads, **(headers or {})}, allow_redirects=False
                ) as answer:
                    found = await answer.read()
                    self.received[step] += len(found)
                    return answer.status, {k.lower(): v for k, v in answer.headers.items()}, found
        except aiohttp.ClientConnectorError as error:
            kind = Refused if isinstance(error.os_error, ConnectionRefusedError) else PeerError
            raise kind(step, url, error.os_error) from None
        except TimeoutError:
            raise PeerError(step, url, f"no answer within {patience:g} s") from None
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise PeerError(step, url, f"{type(error).__name__} {error}") from None

    def _next_call(self) -> str:
        """The id of the next call, empty if calls bear none. Unique on any connection, which is all that is asked."""
        self.calls += 1
        return str(self.calls) if self.named else ""

    async def json(
        self, method: str, url: str, body: Any = None, patience: float = PATIENCE, step: str = "call"
    ) -> Any:
        """The JSON value of a 200; PeerError for any other answer or none."""
        status, _, data = await self.send(method, url, body, patience, step)
        return value(step, url, status, data)

    async def close(self) -> None:
        """Close the connections to all peers."""
        await self.session.close()
        await self.single.close()
