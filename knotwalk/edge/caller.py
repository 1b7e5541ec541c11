"""Calls from an edge to a core: JSON over HTTP/1.1 on httptools, with the interface of `http_client.HttpClient.json`.

An edge makes one call at a time, and its start time and memory matter: aiohttp was over half of an edge's imports.
"""

from __future__ import annotations

import asyncio
import json
import select
from collections import Counter
from collections.abc import Callable
from enum import Enum
from typing import Any
from urllib.parse import urlsplit

import httptools

from knotwalk.runtime.compression import ENCODING, decompress
from knotwalk.runtime.errors import PeerError, decode_json_response
from knotwalk.runtime.http_heads import holds_status_line

# Age at which an idle connection is not used again: less than half of the time for which a core keeps it open.
MAX_IDLE_S = 8.0
CALL_TIMEOUT_S = 1.0  # as for other calls between processes of the system
# Timeout for a new connection: the kernel of a machine that is up answers a SYN within some milliseconds, however busy
# its programs are; a dead machine does not answer, and a lost SYN is repeated only after a second. The timeout doubles
# after each failure until a connection succeeds: a core behind a slow link is slow to answer but alive.
CONNECT_TIMEOUT_S = 0.2
MAX_ANSWER_BYTES = 64 * 1024 * 1024  # the same limit as for the body of a call at a core
# Total time of an answer whose bytes keep arriving: a large configuration takes seconds on a slow link, and if it were
# given up halfway it would start again at the next core, forever.
MAX_ANSWER_S = 30.0


class CallState(Enum):
    """States of a connection to a core."""

    IDLE = "idle"
    WAITING = "waiting"  # a call was sent and its answer is not complete
    CLOSED = "closed"


CALL_TRANSITIONS = {
    CallState.IDLE: {CallState.WAITING, CallState.CLOSED},
    CallState.WAITING: {CallState.IDLE, CallState.CLOSED},
    CallState.CLOSED: set(),
}


class Connection(asyncio.Protocol):
    """One connection, one call at a time. It is closed on unexpected bytes and on an invalid answer."""

    def __init__(self) -> None:
        self.state = CallState.IDLE
        self.call_id = b""  # id of the pending call
        self.idle_since = asyncio.get_running_loop().time()
        self.transport: asyncio.Transport | None = None
        self.future: asyncio.Future[tuple[int, bytes]] | None = None
        self.on_data: Callable[[], None] = lambda: None  # called when bytes of an answer arrive
        self._reset_parser()

    def _reset_parser(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.body: list[bytes] = []
        self.size = 0
        self.answered_id = b""  # id of the answered call, if the core sends it
        self.reason = b""  # the reason phrase, as far as it has arrived
        self.packed = False

    def _to(self, state: CallState) -> None:
        """Change the state; PeerError if the transition is not allowed."""
        if state not in CALL_TRANSITIONS[self.state]:
            raise PeerError("connection to a core", "", f"invalid transition from {self.state.value} to {state.value}")
        self.state = state

    def is_usable(self) -> bool:
        """Whether a call may be sent on this connection."""
        return (
            self.state is CallState.IDLE
            and self.transport is not None
            and not self.transport.is_closing()
            and asyncio.get_running_loop().time() - self.idle_since < MAX_IDLE_S
            and not self._unread()
        )

    def _unread(self) -> bool:
        """Whether the socket has bytes or an end that the event loop has not read yet."""
        assert self.transport is not None
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def send(self, data: bytes, call_id: bytes) -> asyncio.Future[tuple[int, bytes]]:
        """Send a call with this id; the future gets the status and body of its answer, or an OSError."""
        assert self.transport is not None
        self._to(CallState.WAITING)
        self.call_id = call_id
        self.future = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return self.future

    def end(self, why: str) -> None:
        """Close the connection; a pending call fails with `why`."""
        if self.state is not CallState.CLOSED:
            self._to(CallState.CLOSED)
        if self.future is not None and not self.future.done():
            self.future.set_exception(ConnectionError(why))
        if self.transport is not None:
            self.transport.abort()

    # -- called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is established."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """The connection has ended."""
        self.end(str(error) if error else "connection closed before the answer")

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; unexpected ones close the connection."""
        if self.state is not CallState.WAITING:
            self.end("unexpected bytes outside of an answer")
            return
        self.on_data()
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.end(f"invalid answer: {error}")

    # -- called by the parser

    def on_message_begin(self) -> None:
        """Close the connection if another answer begins."""
        if self.state is not CallState.WAITING:
            self.end("unexpected bytes outside of an answer")

    def on_status(self, reason: bytes) -> None:
        """Close the connection if the reason phrase holds the beginning of another answer."""
        self.reason += reason
        if holds_status_line(self.reason):
            self.end("two answers joined")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Read the call's id and whether the body is compressed."""
        if holds_status_line(value):
            self.end("two answers joined")
        match name.lower():
            case b"call-id":
                self.answered_id = value.strip()
            case b"content-encoding":
                self.packed = value.strip().lower() == ENCODING.encode()

    def on_headers_complete(self) -> None:
        """Close the connection if the answer belongs to another call."""
        if self.answered_id and self.answered_id != self.call_id:
            self.end("answer to another call")

    def on_body(self, data: bytes) -> None:
        """Add a part of an answer's body."""
        self.size += len(data)
        if self.size > MAX_ANSWER_BYTES:
            self.end(f"answer larger than {MAX_ANSWER_BYTES} bytes")
        else:
            self.body.append(data)

    def on_message_complete(self) -> None:
        """An answer is complete."""
        status = self.parser.get_status_code()
        if self.state is not CallState.WAITING or status < 200:  # a second answer in the same bytes, or an interim one
            self.end("unexpected bytes outside of an answer")
            return
        assert self.future is not None
        try:
            body = decompress(b"".join(self.body), MAX_ANSWER_BYTES) if self.packed else b"".join(self.body)
        except ValueError as error:
            self.end(f"invalid answer: {error}")
            return
        if not self.future.done():
            self.future.set_result((status, body))
        if not self.parser.should_keep_alive():
            self.end("")
            return
        self._to(CallState.IDLE)
        self.idle_since = asyncio.get_running_loop().time()
        asyncio.get_running_loop().call_soon(self._reset_parser)  # not while the parser is running


class Caller:
    """Calls cores, with one connection kept open to each. A call fails once nothing has arrived for its timeout."""

    def __init__(self) -> None:
        self.connections: dict[tuple[str, int], Connection] = {}
        self.calls = 0
        self.bytes: Counter[str] = Counter()  # uncompressed bytes of bodies, sent and received
        # Seconds for the next attempt to connect, after one that timed out.
        self.connect_timeouts: dict[tuple[str, int], float] = {}

    async def json(
        self, method: str, url: str, body: Any = None, timeout_s: float = CALL_TIMEOUT_S, step: str = "call"
    ) -> Any:
        """The JSON value of a 200 from `http://ip:port/path`.

        PeerError for any other answer, or if nothing arrives for `timeout_s`."""
        parts = urlsplit(url)
        address = parts.hostname or "", parts.port or 80
        data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
        self.calls += 1
        call_id = b"%d" % self.calls
        head = (
            f"{method} {parts.path} HTTP/1.1\r\nHost: {parts.netloc}\r\nContent-Type: application/json\r\n"
            f"Accept-Encoding: {ENCODING}\r\nCall-Id: {self.calls}\r\n"
            f"Content-Length: {len(data)}\r\n\r\n"
        )
        connection: Connection | None = None
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s) as deadline:
                connection = await self._connection(address)
                latest = loop.time() + MAX_ANSWER_S

                def on_data() -> None:
                    if not deadline.expired():  # otherwise it has timed out and is about to be cancelled
                        deadline.reschedule(min(latest, loop.time() + timeout_s))

                connection.on_data = on_data
                status, answer_body = await connection.send(head.encode() + data, call_id)
        except TimeoutError:
            raise PeerError(step, url, f"no answer within {timeout_s:g} s") from None
        except OSError as error:
            raise PeerError(step, url, f"{type(error).__name__} {error}") from None
        finally:
            if connection is not None:
                connection.on_data = lambda: None
            if connection is not None and connection.state is CallState.WAITING:
                connection.end("call given up")  # a late answer must not be taken for that of the next call
        if connection.state is CallState.IDLE:
            self.connections[address] = connection
        self.bytes["sent"] += len(data)
        self.bytes["received"] += len(answer_body)
        return decode_json_response(step, url, status, answer_body)

    async def _connection(self, address: tuple[str, int]) -> Connection:
        """The connection kept to a core, if it is usable, otherwise a new one. OSError if it can't be established."""
        connection = self.connections.pop(address, None)
        if connection is not None:
            if connection.is_usable():
                return connection
            connection.end("idle for too long")
            await asyncio.sleep(0)  # its descriptor is only free after that
        connect_timeout = self.connect_timeouts.get(address, CONNECT_TIMEOUT_S)
        try:
            async with asyncio.timeout(connect_timeout):
                _, connection = await asyncio.get_running_loop().create_connection(Connection, *address)
        except TimeoutError:
            self.connect_timeouts[address] = 2 * connect_timeout
            raise ConnectionError(f"not connected within {connect_timeout:g} s") from None
        self.connect_timeouts.pop(address, None)
        return connection

    def close_others(self, address: str) -> bool:
        """Close the connections to all cores but the one at `ip:port`: descriptors may be few.

        Whether there were any: their descriptors are free after an iteration of the event loop."""
        parts = urlsplit(f"//{address}")
        others = [address for address in self.connections if address != (parts.hostname, parts.port)]
        for address in others:
            self.connections.pop(address).end("another core is called")
        return bool(others)

    async def close(self) -> None:
        """Close all connections."""
        for connection in self.connections.values():
            connection.end("edge is stopping")
        self.connections.clear()
