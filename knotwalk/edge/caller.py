"""An edge's calls to a core: JSON over HTTP/1.1 on httptools, with the interface of `http_client.HttpClient.json`.

An edge makes one call at a time, and starts and memory are priced: aiohttp was over half of what an edge imports.
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

# Seconds after which an idle connection is not used again: less than half of what a core keeps one open for.
MAX_IDLE_S = 8.0
CALL_TIMEOUT_S = 1.0  # as other calls between peers have it
# Seconds for a new connection: a machine that is up answers the opening by its kernel, in some ms, however busy its
# programs are; a dark one says nothing, and an opening packet that was lost is sent again after a second only. Doubled
# after each that failed, until one comes: behind a squeezed link a core is slow to answer and there all the same.
CONNECT_TIMEOUT_S = 0.2
MAX_ANSWER_BYTES = 64 * 1024 * 1024  # bytes of an answer, as of a call's body at a core
# Seconds that an answer may take in all while its bytes keep coming: a large configuration takes seconds on a slow
# link, and given up in its midst it would begin anew at the next core, for ever.
MAX_ANSWER_S = 30.0


class CallState(Enum):
    """States of a connection to a core."""

    IDLE = "idle"
    WAITING = "waiting"  # a call was sent, its answer is not whole
    CLOSED = "closed"


CALL_TRANSITIONS = {
    CallState.IDLE: {CallState.WAITING, CallState.CLOSED},
    CallState.WAITING: {CallState.IDLE, CallState.CLOSED},
    CallState.CLOSED: set(),
}


class Connection(asyncio.Protocol):
    """One connection, one call at a time. Bytes that no call waits for end it, as does an answer that is not
    understood."""

    def __init__(self) -> None:
        self.state = CallState.IDLE
        self.call = b""  # id of the call that waits
        self.idle_since = asyncio.get_running_loop().time()
        self.transport: asyncio.Transport | None = None
        self.future: asyncio.Future[tuple[int, bytes]] | None = None
        self.came: Callable[[], None] = lambda: None  # told when bytes of an answer have come
        self._renew()

    def _renew(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.body: list[bytes] = []
        self.size = 0
        self.answered = b""  # id of the call that is answered, if the core names it
        self.packed = False

    def _to(self, state: CallState) -> None:
        """The one place where the state changes."""
        if state not in CALL_TRANSITIONS[self.state]:
            raise PeerError("connection to a core", "", f"from {self.state.value} to {state.value}")
        self.state = state

    def fit(self) -> bool:
        """Whether a call may be sent on it."""
        return (
            self.state is CallState.IDLE
            and self.transport is not None
            and not self.transport.is_closing()
            and asyncio.get_running_loop().time() - self.idle_since < MAX_IDLE_S
            and not self._unread()
        )

    def _unread(self) -> bool:
        """Whether bytes or an end lie at the socket that the loop has not got to yet."""
        assert self.transport is not None
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def send(self, data: bytes, call: bytes) -> asyncio.Future[tuple[int, bytes]]:
        """Send the call with this id: its answer's status and body, or an OSError."""
        assert self.transport is not None
        self._to(CallState.WAITING)
        self.call = call
        self.future = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return self.future

    def end(self, why: str) -> None:
        """End the connection; whoever waits is told why."""
        if self.state is not CallState.CLOSED:
            self._to(CallState.CLOSED)
        if self.future is not None and not self.future.done():
            self.future.set_exception(ConnectionError(why))
        if self.transport is not None:
            self.transport.abort()

    # -- from the loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """The connection ended."""
        self.end(str(error) if error else "the connection ended before the answer")

    def data_received(self, data: bytes) -> None:
        """Bytes came; those that no call waits for end the connection."""
        if self.state is not CallState.WAITING:
            self.end("bytes that belong to no answer")
            return
        self.came()
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.end(f"not an answer: {error}")

    # -- from the parser

    def on_message_begin(self) -> None:
        """End at the beginning of a further answer."""
        if self.state is not CallState.WAITING:
            self.end("bytes that belong to no answer")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note whose answer it is, and whether its body is packed."""
        match name.lower():
            case b"call-id":
                self.answered = value.strip()
            case b"content-encoding":
                self.packed = value.strip().lower() == ENCODING.encode()

    def on_headers_complete(self) -> None:
        """End at another call's answer."""
        if self.answered and self.answered != self.call:
            self.end("another call's answer")

    def on_body(self, data: bytes) -> None:
        """A piece of an answer's body."""
        self.size += len(data)
        if self.size > MAX_ANSWER_BYTES:
            self.end("the answer is too large")
        else:
            self.body.append(data)

    def on_message_complete(self) -> None:
        """An answer is whole."""
        status = self.parser.get_status_code()
        if self.state is not CallState.WAITING or status < 200:  # a second answer in one piece, or not the answer yet
            self.end("bytes that belong to no answer")
            return
        assert self.future is not None
        try:
            body = decompress(b"".join(self.body), MAX_ANSWER_BYTES) if self.packed else b"".join(self.body)
        except ValueError as error:
            self.end(f"not an answer: {error}")
            return
        if not self.future.done():
            self.future.set_result((status, body))
        if not self.parser.should_keep_alive():
            self.end("")
            return
        self._to(CallState.IDLE)
        self.idle_since = asyncio.get_running_loop().time()
        asyncio.get_running_loop().call_soon(self._renew)  # not while the parser runs


class Caller:
    """Calls cores, one connection kept to each; a call is given up once nothing has come for its patience."""

    def __init__(self) -> None:
        self.kept: dict[tuple[str, int], Connection] = {}
        self.calls = 0
        self.bytes: Counter[str] = Counter()  # of bodies, unpacked: sent and received
        self.allowed: dict[tuple[str, int], float] = {}  # seconds for the next opening, after one that took too long

    async def json(
        self, method: str, url: str, body: Any = None, timeout_s: float = CALL_TIMEOUT_S, step: str = "call"
    ) -> Any:
        """The JSON value of a 200 from `http://ip:port/path`; PeerError for any other answer or none in `patience`
        s."""
        parts = urlsplit(url)
        at = parts.hostname or "", parts.port or 80
        data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
        self.calls += 1
        call = b"%d" % self.calls
        head = (
            f"{method} {parts.path} HTTP/1.1\r\nHost: {parts.netloc}\r\nContent-Type: application/json\r\n"
            f"Accept-Encoding: {ENCODING}\r\nCall-Id: {self.calls}\r\n"
            f"Content-Length: {len(data)}\r\n\r\n"
        )
        connection: Connection | None = None
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s) as limit:
                connection = await self._connection(at)
                last = loop.time() + MAX_ANSWER_S

                def came() -> None:
                    if not limit.expired():  # else it has been cut off, and has not been told yet
                        limit.reschedule(min(last, loop.time() + timeout_s))

                connection.came = came
                status, told = await connection.send(head.encode() + data, call)
        except TimeoutError:
            raise PeerError(step, url, f"no answer within {timeout_s:g} s") from None
        except OSError as error:
            raise PeerError(step, url, f"{type(error).__name__} {error}") from None
        finally:
            if connection is not None:
                connection.came = lambda: None
            if connection is not None and connection.state is CallState.WAITING:
                connection.end("given up")  # a late answer must not be taken for the next call's
        if connection.state is CallState.IDLE:
            self.kept[at] = connection
        self.bytes["sent"] += len(data)
        self.bytes["received"] += len(told)
        return decode_json_response(step, url, status, told)

    async def _connection(self, at: tuple[str, int]) -> Connection:
        """The one kept to a core, taken out, if it is fit; else a new one. OSError if there is none."""
        kept = self.kept.pop(at, None)
        if kept is not None:
            if kept.fit():
                return kept
            kept.end("idle for long")
            await asyncio.sleep(0)  # only then its descriptor is free
        allowed = self.allowed.get(at, CONNECT_TIMEOUT_S)
        try:
            async with asyncio.timeout(allowed):
                _, connection = await asyncio.get_running_loop().create_connection(Connection, *at)
        except TimeoutError:
            self.allowed[at] = 2 * allowed
            raise ConnectionError("no connection in time") from None
        self.allowed.pop(at, None)
        return connection

    def keep_only(self, address: str) -> bool:
        """End the connections kept to other cores than the one at `ip:port`: descriptors may be few.

        Whether there were any: theirs are free after a turn of the loop."""
        parts = urlsplit(f"//{address}")
        others = [at for at in self.kept if at != (parts.hostname, parts.port)]
        for at in others:
            self.kept.pop(at).end("another core is called")
        return bool(others)

    async def close(self) -> None:
        """End all connections."""
        for connection in self.kept.values():
            connection.end("the edge ends")
        self.kept.clear()
