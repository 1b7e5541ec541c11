"""A peer that reads and answers calls byte by byte, and in one of them meets with one mishap at one numbered point.

It speaks for nodes, cores and the platform alike: its answers repeat the id of the call (`Attempt-Id` or `Call-Id`,
whichever it bore) and hold the number of the call, so that whoever takes another's answer is found out.
"""

from __future__ import annotations

import asyncio
import json
import re
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field

# Points of an exchange, in order. At POISED the connection is there and nothing of the call has come.
POISED, HEAD_READ, READ, HEAD_SENT, HALF_SENT, SENT = range(6)
POINTS = (POISED, HEAD_READ, READ, HEAD_SENT, HALF_SENT, SENT)


@dataclass
class Call:
    """A call as the peer read it, on which of its connections."""

    number: int
    line: str
    headers: dict[str, str]
    connection: int


@dataclass
class Peer:
    """`mishap` is done at `point` of the call `at`, counted from 0; None for a peer that does all well."""

    point: int = SENT
    mishap: Callable[[Peer, Call | None, asyncio.StreamWriter], object] | None = None
    at: int = 0
    calls: list[Call] = field(default_factory=list)  # read whole: they run
    began: int = 0  # calls of which anything was read or could have come
    connections: int = 0
    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    before_answer: Callable[[Call], bytes] | None = None  # what goes ahead of an answer
    last: dict[int, Call] = field(default_factory=dict)  # the call answered last, by connection
    struck: tuple[int, int] | None = None  # the connection on which the mishap was done, and how many calls had run
    server: asyncio.Server | None = None

    async def start(self) -> Peer:
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
        """Numbers of calls that came on the connection of the mishap, after the call that met with it."""
        if self.struck is None:
            return []
        connection, ran = self.struck
        return [call.number for call in self.calls[ran:] if call.connection == connection]

    def _met(self, point: int, connection: int, call: Call | None, writer: asyncio.StreamWriter) -> bool:
        """Do the mishap if this is its point; whether the exchange ends by it."""
        if self.mishap is None or point != self.point or self.began - 1 != self.at:
            return False
        own = point in (POISED, HEAD_READ)  # the call itself is read after the mishap
        self.struck = connection, len(self.calls) + own
        return bool(self.mishap(self, call or self.last.get(connection), writer))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number, self.connections = self.connections, self.connections + 1
        self.writers.append(writer)
        try:
            while True:
                self.began += 1
                if self._met(POISED, number, None, writer) or await self._exchange(number, reader, writer):
                    await reader.read()  # says nothing more, until the other side has ended
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
            call.number = numbered(call, b"")
        if self._met(HEAD_READ, connection, call, writer):
            return True
        body = await reader.readexactly(size)
        call.number = numbered(call, body)
        self.calls.append(call)
        self.last[connection] = call
        if self._met(READ, connection, call, writer):
            return True
        data = (self.before_answer(call) if self.before_answer else b"") + answer(call)
        end = data.index(b"\r\n\r\n") + 4
        middle = (end + len(data)) // 2
        for point, piece in ((HEAD_SENT, data[:end]), (HALF_SENT, data[end:middle]), (SENT, data[middle:])):
            writer.write(piece)
            if self._met(point, connection, call, writer):
                return True
        return False


def numbered(call: Call, body: bytes) -> int:
    """The number of a call: of its body, of its id, or of its query."""
    if body:
        return json.loads(body)["n"]
    found = re.search(r"\d+$", call.headers.get("attempt-id", "")) or re.search(r"n=(\d+)", call.line)
    return int(found.group(found.lastindex or 0))


def answer(call: Call, number: int | None = None, status: str = "200 OK", named: bool = True) -> bytes:
    """The whole answer to a call; with another number, an answer that lies about whose it is."""
    body = json.dumps({"n": call.number if number is None else number}).encode()
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", "Keep-Alive: timeout=9", "Server-Seal: s"]
    for name in ("Attempt-Id", "Call-Id"):
        if named and name.lower() in call.headers:
            lines.append(f"{name}: {call.headers[name.lower()]}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


# --- mishaps: whether the exchange ends by them


def silence(peer: Peer, call: Call | None, writer: asyncio.StreamWriter) -> bool:
    return True


def close(peer: Peer, call: Call | None, writer: asyncio.StreamWriter) -> bool:
    writer.close()
    return True


def reset(peer: Peer, call: Call | None, writer: asyncio.StreamWriter) -> bool:
    made = writer.get_extra_info("socket")
    made.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
    return True


def junk(peer: Peer, call: Call | None, writer: asyncio.StreamWriter) -> bool:
    writer.write(b"\x00\x01 no answer\r\n\r\n")
    return False


def extra(peer: Peer, call: Call | None, writer: asyncio.StreamWriter) -> bool:
    """A whole answer too many to this call, or where none has come yet to the one before on this connection."""
    if call is not None:
        writer.write(answer(call))
    return False


def stray(peer: Peer, call: Call | None, writer: asyncio.StreamWriter) -> bool:
    """A whole answer with an id that is no call's of this connection."""
    writer.write(answer(Call(98, "", {"attempt-id": "zz98", "call-id": "98"}, 0)))
    return False


def interim(peer: Peer, call: Call | None, writer: asyncio.StreamWriter) -> bool:
    writer.write(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
    return False


def half(peer: Peer, call: Call | None, writer: asyncio.StreamWriter) -> bool:
    """Half of an answer too many, and the other half ahead of the next answer on the connection, if there is one."""
    if call is not None:
        data = answer(call)
        writer.write(data[:30])
        peer.before_answer = lambda later: data[30:] if later.connection == call.connection else b""
    return False


MISHAPS = (silence, close, reset, junk, extra, stray, interim, half)
