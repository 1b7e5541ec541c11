"""An HTTP peer that reads and answers calls piecewise and injects one fault at one point of one call.

It stands in for nodes, cores and the platform alike: its answers repeat the id of the call (`Attempt-Id` or `Call-Id`,
whichever the call has) and hold the call's number, so that a client that accepts another call's answer is detected.
"""

from __future__ import annotations

import asyncio
import json
import re
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field

# Points of an exchange, in order. At CONNECTED the connection is established and nothing of the call has been read.
CONNECTED, HEAD_READ, READ, HEAD_SENT, HALF_SENT, SENT = range(6)
POINTS = (CONNECTED, HEAD_READ, READ, HEAD_SENT, HALF_SENT, SENT)


@dataclass
class Call:
    """A call as the peer read it, with the number of its connection."""

    number: int
    line: str
    headers: dict[str, str]
    connection: int


@dataclass
class FaultyPeer:
    """Injects `fault` at `point` of the call `call_index`, counted from 0; None for a peer without a fault."""

    point: int = SENT
    fault: Callable[[FaultyPeer, Call | None, asyncio.StreamWriter], object] | None = None
    call_index: int = 0
    calls: list[Call] = field(default_factory=list)  # read completely: the peer has executed them
    started: int = 0  # calls that the peer has begun to wait for or to read
    connections: int = 0
    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    before_answer: Callable[[Call], bytes] | None = None  # the bytes to send before an answer
    last: dict[int, Call] = field(default_factory=dict)  # the last call read, by connection
    faulted: tuple[int, int] | None = None  # the connection of the fault, and the calls executed by then
    server: asyncio.Server | None = None

    async def start(self) -> FaultyPeer:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 22)
        return self

    @property
    def address(self) -> tuple[str, int]:
        return self.server.sockets[0].getsockname()[:2]

    def stop(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    def used_on(self) -> list[int]:
        """Numbers of the calls that used the connection of the fault after the faulty call."""
        if self.faulted is None:
            return []
        connection, ran = self.faulted
        return [call.number for call in self.calls[ran:] if call.connection == connection]

    def _inject(self, point: int, connection: int, call: Call | None, writer: asyncio.StreamWriter) -> bool:
        """Inject the fault if this is its point; return whether it ends the exchange."""
        if self.fault is None or point != self.point or self.started - 1 != self.call_index:
            return False
        own = point in (CONNECTED, HEAD_READ)  # the call itself is read after the fault
        self.faulted = connection, len(self.calls) + own
        return bool(self.fault(self, call or self.last.get(connection), writer))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number, self.connections = self.connections, self.connections + 1
        self.writers.append(writer)
        try:
            while True:
                self.started += 1
                if self._inject(CONNECTED, number, None, writer) or await self._exchange(number, reader, writer):
                    await reader.read()  # send nothing more until the other side has closed
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _exchange(self, connection: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *rest = head[:-4].split("\r\n")
        headers = {k.lower(): v for k, v in (h.split(": ", 1) for h in rest)}
        call = Call(-1, line, headers, connection)
        size = int(headers.get("content-length", 0))
        if not size:
            call.number = number_of(call, b"")
        if self._inject(HEAD_READ, connection, call, writer):
            return True
        body = await reader.readexactly(size)
        call.number = number_of(call, body)
        self.calls.append(call)
        self.last[connection] = call
        if self._inject(READ, connection, call, writer):
            return True
        data = (self.before_answer(call) if self.before_answer else b"") + answer(call)
        end = data.index(b"\r\n\r\n") + 4
        middle = (end + len(data)) // 2
        for point, piece in ((HEAD_SENT, data[:end]), (HALF_SENT, data[end:middle]), (SENT, data[middle:])):
            writer.write(piece)
            if self._inject(point, connection, call, writer):
                return True
        return False


def number_of(call: Call, body: bytes) -> int:
    """The number of a call, from its body, its id or its query."""
    if body:
        return json.loads(body)["n"]
    match = re.search(r"\d+$", call.headers.get("attempt-id", "")) or re.search(r"n=(\d+)", call.line)
    return int(match.group(match.lastindex or 0))


def answer(call: Call, number: int | None = None, status: str = "200 OK", named: bool = True) -> bytes:
    """The complete answer to a call; with another `number`, an answer that claims to be another call's."""
    body = json.dumps({"n": call.number if number is None else number}).encode()
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", "Keep-Alive: timeout=9", "Server-Seal: s"]
    for name in ("Attempt-Id", "Call-Id"):
        if named and name.lower() in call.headers:
            lines.append(f"{name}: {call.headers[name.lower()]}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


# --- faults: each returns whether it ends the exchange


def silence(peer: FaultyPeer, call: Call | None, writer: asyncio.StreamWriter) -> bool:
    return True


def close(peer: FaultyPeer, call: Call | None, writer: asyncio.StreamWriter) -> bool:
    writer.close()
    return True


def reset(peer: FaultyPeer, call: Call | None, writer: asyncio.StreamWriter) -> bool:
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
    return True


def junk(peer: FaultyPeer, call: Call | None, writer: asyncio.StreamWriter) -> bool:
    writer.write(b"\x00\x01 no answer\r\n\r\n")
    return False


def extra(peer: FaultyPeer, call: Call | None, writer: asyncio.StreamWriter) -> bool:
    """Send a surplus answer to this call or, if it has not been read yet, to the previous one on this connection."""
    if call is not None:
        writer.write(answer(call))
    return False


def stray(peer: FaultyPeer, call: Call | None, writer: asyncio.StreamWriter) -> bool:
    """Send an answer with an id that no call on this connection has."""
    writer.write(answer(Call(98, "", {"attempt-id": "zz98", "call-id": "98"}, 0)))
    return False


def interim(peer: FaultyPeer, call: Call | None, writer: asyncio.StreamWriter) -> bool:
    writer.write(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
    return False


def half(peer: FaultyPeer, call: Call | None, writer: asyncio.StreamWriter) -> bool:
    """Send half of a surplus answer, and the other half before the next answer on the connection, if there is one."""
    if call is not None:
        data = answer(call)
        writer.write(data[:30])
        peer.before_answer = lambda later: data[30:] if later.connection == call.connection else b""
    return False


FAULTS = (silence, close, reset, junk, extra, stray, interim, half)
