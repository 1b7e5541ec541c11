"""HTTP client for calls of cores and the command line to their peers.

JSON over HTTP/1.1 by aiohttp. Every call has a timeout, and errors name the step and the peer. Edges use the lighter
client `edge.caller`.
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

# Calls never use TLS. With `ssl` available, aiohttp loads the system's certificates on import, which takes a tenth of a
# core's start-up time.
loaded_ssl = sys.modules.get("ssl")
sys.modules["ssl"] = None  # type: ignore[assignment]
import aiohttp

if loaded_ssl is None:
    del sys.modules["ssl"]
else:
    sys.modules["ssl"] = loaded_ssl

from knotwalk.runtime.errors import PeerError, decode_json_response
from knotwalk.runtime.http_heads import holds_status_line

# A peer with a one-way delay of 1.4 ms answers within a few milliseconds; one that is stalled on a shared CPU needs a
# few tenths of a second.
CALL_TIMEOUT_S = 1.0
# How long an idle connection is kept: less than half of the time for which a core keeps one open.
KEEPALIVE_TIMEOUT_S = 8.0


class ConnectionRefusedPeerError(PeerError):
    """Nothing listens at the address: the connection was refused, so the peer has received nothing."""


def make_reset_on_close_socket(info: tuple) -> socket.socket:
    """Create a socket that is reset on close, so that data still unsent or in transit is not delivered later."""
    connection_socket = socket.socket(info[0], info[1], info[2])
    connection_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    return connection_socket


class CheckedConnector(aiohttp.TCPConnector):
    """A connection pool that hands out no connection with unexpected input.

    aiohttp's own pool checks for input when a connection is returned, not when it is taken out. A second response that
    arrived in between was then given to the next call, and each later response to the call after its own."""

    def __init__(self, **options: Any):
        super().__init__(**options)
        self.used: WeakSet = WeakSet()  # protocols that have been handed out for a call

    async def connect(self, *arguments: Any, **options: Any) -> Any:
        """Return a connection on which a call may be sent."""
        while True:
            connection = await super().connect(*arguments, **options)
            protocol = connection.protocol
            if not has_unexpected_input(protocol):
                self.used.add(protocol)
                return connection
            connection.close()
            if protocol not in self.used:
                raise aiohttp.ClientConnectionError("peer closed the connection or sent data before the request")


def has_unexpected_input(protocol: Any) -> bool:
    """Whether an idle connection has received data or its end, whether or not the event loop has read it yet."""
    if protocol.should_close or not protocol.is_connected():
        return True
    parser = protocol._parser  # only the parser knows of a further response that has arrived in part
    try:
        if parser is not None and parser.feed_eof() is not None:
            return True
    except Exception:  # the part that has arrived is no response
        return True
    poll = select.poll()
    poll.register(protocol.transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))


class CheckedResponse(aiohttp.ClientResponse):
    """A response whose head is one head, and repeats the call's id if it has one.

    Any other fails the call and closes its connection."""

    async def start(self, connection: Any) -> Any:
        """Read the head and check it."""
        protocol = connection.protocol
        await super().start(connection)
        texts = ((self.reason or "").encode(errors="surrogateescape"), *(value for _, value in self.raw_headers))
        if any(holds_status_line(text) for text in texts):
            protocol.close()
            raise aiohttp.ClientConnectionError("two responses joined")
        call_id = self.request_info.headers.get("Call-Id")
        if call_id is not None and self.headers.get("Call-Id", call_id) != call_id:
            protocol.close()  # a short response has already returned it to the pool
            raise aiohttp.ClientConnectionError("response to another call")
        return self


def make_session(connections: int, reset_on_close: bool, keep_connections: bool) -> aiohttp.ClientSession:
    """Create a session that follows no redirects and never repeats a request."""
    session = aiohttp.ClientSession(
        connector=CheckedConnector(
            limit=connections,
            limit_per_host=0,
            use_dns_cache=False,
            socket_factory=make_reset_on_close_socket if reset_on_close else None,
            **({"keepalive_timeout": KEEPALIVE_TIMEOUT_S} if keep_connections else {"force_close": True}),
        ),
        response_class=CheckedResponse,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        trust_env=False,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
    )
    # aiohttp repeats a PUT or GET when a kept connection ends. Only the caller knows whether a call may be repeated,
    # and a hidden repeat would not be counted as a retry. (aiohttp's test client disables repeats in the same way.)
    session._retry_connection = False
    return session


class HttpClient:
    """A client for calls to peers, with kept connections and one timeout for the whole of each call.

    `reset_on_close`: abandoning a call resets its connection, which drops whatever has not reached the peer yet. Meant
    for calls that take effect on arrival. `with_call_ids`: calls carry an id that cores repeat in the response; a
    response with another id is treated as a failed call."""

    def __init__(self, connections: int = 256, reset_on_close: bool = False, with_call_ids: bool = True):
        self.session = make_session(connections, reset_on_close, True)
        self.single_use_session = make_session(connections, reset_on_close, False)
        self.with_call_ids, self.call_count = with_call_ids, 0
        self.sent_bytes: Counter[str] = Counter()  # of request bodies, by step
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
        call_headers = {"Content-Type": "application/json"} if data is not None else {}
        call_id = self._next_call_id()
        if call_id:
            call_headers["Call-Id"] = call_id
        try:
            async with asyncio.timeout(timeout_s):
                async with (self.single_use_session if single_use else self.session).request(
                    method, url, data=data, headers={**call_headers, **(headers or {})}, allow_redirects=False
                ) as response:
                    data = await response.read()
                    self.received_bytes[step] += len(data)
                    return response.status, {k.lower(): v for k, v in response.headers.items()}, data
        except aiohttp.ClientConnectorError as error:
            error_type = ConnectionRefusedPeerError if isinstance(error.os_error, ConnectionRefusedError) else PeerError
            raise error_type(step, url, error.os_error) from None
        except TimeoutError:
            raise PeerError(step, url, f"no answer within {timeout_s:g} s") from None
        except Exception as error:  # of the library, which has no common type for what a peer's bytes can cause
            raise PeerError(step, url, f"{type(error).__name__} {error}") from None

    def _next_call_id(self) -> str:
        """The id of the next call, empty without call ids. It is unique in this client, so on each connection too."""
        self.call_count += 1
        return str(self.call_count) if self.with_call_ids else ""

    async def json(
        self, method: str, url: str, body: Any = None, timeout_s: float = CALL_TIMEOUT_S, step: str = "call"
    ) -> Any:
        """Return the JSON value of a response with status 200; PeerError for any other response or none."""
        status, _, data = await self.send(method, url, body, timeout_s, step)
        return decode_json_response(step, url, status, data)

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()
        await self.single_use_session.close()
