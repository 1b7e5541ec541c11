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

from knotwalk.runtime.errors import PeerError, decode_json_response

# A peer one way 1.4 ms off answers within some ms; one that stalls on a shared core needs a few tenths of a second.
CALL_TIMEOUT_S = 1.0
# Seconds that an idle connection is kept: less than half of what a core keeps one open for.
KEEPALIVE_TIMEOUT_S = 8.0


class ConnectionRefusedPeerError(PeerError):
    """Nothing listens there: the connection was refused at once, so nothing was taken."""


def make_reset_on_close_socket(info: tuple) -> socket.socket:
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
            if not has_unexpected_input(protocol):
                self.used.add(protocol)
                return connection
            connection.close()
            if protocol not in self.used:
                raise aiohttp.ClientConnectionError("the peer ended it, or spoke, before it was asked")


def has_unexpected_input(protocol: Any) -> bool:
    """Whether bytes or an end have come on a connection with no call under way, read by the loop or not."""
    if protocol.should_close or not protocol.is_connected():
        return True
    parser = protocol._parser  # a further answer of which only a part has come is known to nobody else
    if parser is not None and parser.feed_eof() is not None:
        return True
    poll = select.poll()
    poll.register(protocol.transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))


class CallIdResponse(aiohttp.ClientResponse):
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


def make_session(connections: int, reset_on_close: bool, keeps: bool) -> aiohttp.ClientSession:
    """A session that follows nothing, sends nothing twice, and keeps connections only if asked to."""
    made = aiohttp.ClientSession(
        connector=CheckedConnector(
            limit=connections,
            limit_per_host=0,
            use_dns_cache=False,
            socket_factory=make_reset_on_close_socket if reset_on_close else None,
            **({"keepalive_timeout": KEEPALIVE_TIMEOUT_S} if keeps else {"force_close": True}),
        ),
        response_class=CallIdResponse,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        trust_env=False,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
    )
    # aiohttp sends a PUT or GET once more when a kept connection ends: whether a call may be repeated is its caller's
    # to say, and a repeat that nobody sees is one that nobody counts. (Its own test client switches it off likewise.)
    made._retry_connection = False
    return made


class HttpClient:
    """A client for calls to peers, with kept connections and one timeout for the whole of each call.

    `reset_on_close`: abandoning a call resets its connection, which drops whatever has not reached the peer yet. Meant
    for calls that take effect on arrival. `with_call_ids`: calls carry an id that cores repeat in the response; a
    response with another id is treated as a failed call."""

    def __init__(self, connections: int = 256, reset_on_close: bool = False, with_call_ids: bool = True):
        self.session = make_session(connections, reset_on_close, True)
        self.single_use_session = make_session(connections, reset_on_close, False)
        self.with_call_ids, self.calls = with_call_ids, 0
        self.sent_bytes: Counter[str] = Counter()  # bytes of bodies by step
        self.received_bytes: Counter[str] = Counter()

    async def send(
        self,
        method: str,
        url: str,
        body: Any = None,
        timeout_s: float = CALL_TIMEOUT_S,
        step: str = "call",
        headers: dict[str, str] | None = None,
        single_use: bool = False,
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a request and return the response's status, headers (names in lower case) and body.

        Raises PeerError if there is no response, ConnectionRefusedPeerError if nothing listens there. `single_use`
        sends the call on a connection of its own, for calls whose response carries no id and must not be mistaken for
        the response to another call."""
        data = None if body is None else json.dumps(body, separators=(",", ":")).encode()
        self.sent_bytes[step] += len(data or b"")
        heads = {"Content-Type": "application/json"} if data is not None else {}
        call = self._next_call()
        if call:
            heads["Call-Id"] = call
        try:
            async with asyncio.timeout(timeout_s):
                async with (self.single_use_session if single_use else self.session).request(
                    method, url, data=data, headers={**heads, **(headers or {})}, allow_redirects=False
                ) as answer:
                    found = await answer.read()
                    self.received_bytes[step] += len(found)
                    return answer.status, {k.lower(): v for k, v in answer.headers.items()}, found
        except aiohttp.ClientConnectorError as error:
            kind = ConnectionRefusedPeerError if isinstance(error.os_error, ConnectionRefusedError) else PeerError
            raise kind(step, url, error.os_error) from None
        except TimeoutError:
            raise PeerError(step, url, f"no answer within {timeout_s:g} s") from None
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise PeerError(step, url, f"{type(error).__name__} {error}") from None

    def _next_call(self) -> str:
        """The id of the next call, empty if calls bear none. Unique on any connection, which is all that is asked."""
        self.calls += 1
        return str(self.calls) if self.with_call_ids else ""

    async def json(
        self, method: str, url: str, body: Any = None, timeout_s: float = CALL_TIMEOUT_S, step: str = "call"
    ) -> Any:
        """The JSON value of a 200; PeerError for any other answer or none."""
        status, _, data = await self.send(method, url, body, timeout_s, step)
        return decode_json_response(step, url, status, data)

    async def close(self) -> None:
        """Close the connections to all peers."""
        await self.session.close()
        await self.single_use_session.close()
