"""Connections that are used again: the real ones of edges to cores and to nodes, on bytes that misbehave.

Each call bears a number and its answer bears it too, so a judge that knows only calls and answers sees whether any is
given to another's caller. A peer answers late, twice, unasked, in part, not at all, or ends the connection at any byte.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any
from unittest import mock

from knotwalk.admission.outcome import End
from knotwalk.discovery.cluster_view import Node
from knotwalk.edge import caller, upstream
from knotwalk.runtime.errors import PeerError
from tests.simulation.loop import Process, VirtualLoop, clock

CALLS = 120  # of one walk, on each sort of connection
WAY = 0.001  # seconds one way
UNREAD = 0.004  # seconds at most between the coming of bytes and their reading: a busy loop


class Transport(asyncio.Transport):
    """The client's end of a connection in memory, and the peer's."""

    def __init__(self, peer: Peer, protocol: asyncio.Protocol, number: int):
        super().__init__()
        self.peer, self.protocol, self.number = peer, protocol, number
        self.closed = False
        self.unread = 0  # pieces that came and were not read yet
        self.taken = 0  # requests that the peer has read here

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return SimpleNamespace(fileno=lambda: self.number)

    def write(self, data: bytes) -> None:
        if not self.closed:
            if self.unread:
                self.peer.stale(self, data)
            self.peer.later(WAY, lambda: self.peer.request(self, data))

    def is_closing(self) -> bool:
        return self.closed

    def abort(self) -> None:
        self.closed = True

    close = abort

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def comes(self, data: bytes | None) -> None:
        """Bytes, or the end, arrive from the peer; they are read a little later."""
        self.unread += 1
        self.peer.later(self.peer.random.uniform(0, UNREAD), lambda: self._read(data))

    def _read(self, data: bytes | None) -> None:
        self.unread -= 1
        if self.closed:
            return
        if data is None:
            self.closed = True
            self.protocol.connection_lost(None)
        else:
            self.protocol.data_received(data)


class Peer:
    """A core or a node: answers calls by their numbers, and misbehaves."""

    def __init__(self, loop: VirtualLoop, seed: int, answer: Callable[[int], bytes], number: Callable[[bytes], int]):
        self.loop, self.random = loop, random.Random(f"peer {seed}")
        self.answer, self.number = answer, number
        self.transports: list[Transport] = []
        self.ran: dict[int, int] = {}  # how often each call has run here
        self.broken: list[str] = []
        self.careful: set[int] = set()  # calls that must not be repeated

    def later(self, wait: float, act: Callable[[], Any]) -> None:
        self.loop.world.soon(act, wait=wait)

    def connect(self, protocol: asyncio.Protocol) -> Transport:
        made = Transport(self, protocol, len(self.transports))
        self.transports.append(made)
        protocol.connection_made(made)
        return made

    def stale(self, transport: Transport, data: bytes) -> None:
        """A call is sent on a connection on which something lies unread."""
        if self.number(data) in self.careful:
            self.broken.append(f"{self.loop.now:.3f} call {self.number(data)} is sent on a connection that has ended")

    def request(self, transport: Transport, data: bytes) -> None:
        """A call arrives."""
        if transport.closed and self.random.random() < 0.5:
            return
        number, chance = self.number(data), self.random.random()
        self.ran[number] = self.ran.get(number, 0) + 1
        transport.taken += 1
        told, wait = self.answer(number), self.random.choice((0.0, 0.003, 0.02))
        if chance < 0.55:
            self._send(transport, told, wait)
        elif chance < 0.65:
            self._send(transport, told, self.random.uniform(0.05, 0.3))  # perhaps after it was given up
        elif chance < 0.72:
            self._send(transport, told, wait)
            self._send(transport, told, wait + self.random.choice((0.0, 0.001, 0.05, 0.1)))
        elif chance < 0.78:
            self._send(transport, told[: self.random.randrange(1, len(told))], wait)
            self._send(transport, None, wait + 0.002)
        elif chance < 0.84:
            self._send(transport, None, wait)
        elif chance < 0.92:
            self._send(transport, told, wait)
            self._send(transport, None, wait + self.random.choice((0.002, 0.02, 0.2)))
        elif chance < 0.96:
            self._send(transport, told, wait)
            self._send(transport, self.answer(number + 1_000_000), wait + self.random.choice((0.0, 0.01, 0.05)))

    def _send(self, transport: Transport, data: bytes | None, wait: float) -> None:
        self.later(WAY + wait, lambda: transport.comes(data))


class _Poll:
    """In place of `select.poll`: tells what lies unread on a connection in memory."""

    peer: Peer

    def __init__(self) -> None:
        self.at = 0

    def register(self, at: int, what: int) -> None:
        self.at = at

    def poll(self, wait: int) -> list:
        return [1] if self.peer.transports[self.at].unread else []


def _core_answer(number: int) -> bytes:
    body = json.dumps({"n": number}).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


def _node_answer(number: int) -> bytes:
    head = b"HTTP/1.1 200 OK\r\nAttempt-Id: a%d\r\nServer-Seal: x\r\nContent-Length: 8\r\n\r\n" % number
    return head + b"%08d" % number


async def _to_core(peer: Peer, chance: random.Random) -> None:
    """An edge's calls to a core, one after the other."""
    made = caller.Caller()
    for number in range(CALLS):
        try:
            told = await made.json("POST", "http://10.0.0.1:1/x", {"n": number}, chance.choice((0.02, 0.1)))
        except PeerError:
            continue
        finally:
            await asyncio.sleep(chance.choice((0.0, 0.002, 0.03)))
        if told != {"n": number}:
            peer.broken.append(f"{peer.loop.now:.3f} call {number} is answered by {told}")


async def _to_node(peer: Peer, chance: random.Random) -> None:
    """Calls to a node on a pool of connections, half of them not to be repeated."""
    node = Node("n", "s", ("10.2.0.1", 1), "z", 4)
    pool = upstream.Pool(node, clock, upstream.Docks(100))
    for number in range(CALLS):
        careful = chance.random() < 0.5
        if careful:
            peer.careful.add(number)
        connection = pool.reuse(careful)
        if connection is None:
            connection = upstream.Connection(node, clock, pool._changed)
            pool.all.add(connection)
            peer.connect(connection)
        head = b"POST /x HTTP/1.1\r\nAttempt-Id: a%d\r\nContent-Length: 0\r\n\r\n" % number
        future = connection.send(head, b"", b"a%d" % number, b"POST", True)
        try:
            answer = await asyncio.wait_for(asyncio.shield(future), chance.choice((0.02, 0.1)))
        except TimeoutError:
            connection.abort("given up")
            continue
        finally:
            await asyncio.sleep(chance.choice((0.0, 0.002, 0.03)))
        if answer.end is not End.LOST and answer.body != b"%08d" % number:
            peer.broken.append(f"{peer.loop.now:.3f} call {number} is answered by {answer.body!r}")


def walk(seed: int) -> list[str]:
    """One walk over both sorts of connections: what broke."""
    chance, loop = random.Random(f"connections {seed}"), VirtualLoop(seed)
    core = Peer(loop, seed, _core_answer, lambda data: json.loads(data.partition(b"\r\n\r\n")[2])["n"])
    nodes = Peer(loop, seed + 1, _node_answer, lambda data: int(data.partition(b"Attempt-Id: a")[2].split(b"\r")[0]))

    async def connect(kind: Callable[[], asyncio.Protocol], host: str, port: int) -> tuple[Transport, Any]:
        await asyncio.sleep(2 * WAY)
        protocol = kind()
        return core.connect(protocol), protocol

    loop.create_connection = connect  # type: ignore[assignment]
    poll = type("Poll", (_Poll,), {"peer": nodes})
    with mock.patch.object(upstream, "select", SimpleNamespace(poll=poll, POLLIN=1)):
        works = [
            Process(loop, "edge", "e").spawn(_to_core(core, chance)),
            Process(loop, "edge", "e").spawn(_to_node(nodes, chance)),
        ]
        loop.run(300.0)
    if not all(work.done() for work in works):
        core.broken.append("calls never ended")
    return core.broken + nodes.broken + loop.failed()
