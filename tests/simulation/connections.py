"""Connections that are used again: the real ones of edges to cores and to nodes, on bytes that misbehave.

Each call bears a number and its answer bears it too, so a judge that knows only calls and answers sees whether any is
given to another's caller. A peer answers late, twice, unasked, in part, not at all, or ends the connection at any byte.
Calls to nodes are carried by the real `Forwarder` over its pools; half of them must not run twice. Some clients leave
meanwhile: nothing of theirs begins after that.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any
from unittest import mock

from knotwalk.configuration.objects import Route
from knotwalk.discovery.cluster_view import ClusterView, Node
from knotwalk.edge import caller, connection_pool, node_connection, node_connection_state
from knotwalk.edge.exchange import Exchange
from knotwalk.edge.forwarder import Forwarder
from knotwalk.edge.stages import Stage
from knotwalk.runtime.errors import PeerError
from tests.simulation.loop import Process, VirtualLoop, clock
from tests.simulation.programs import settings

CALLS = 80  # of one walk by each client
CLIENTS = 3  # of an edge's nodes at the same time
NODES = 2
WAY = 0.001  # seconds one way
UNREAD = 0.004  # seconds at most between the coming of bytes and their reading: a busy loop
PORT = 9000
LEAVES_PART = 0.25  # of the clients, before they have their answer


Answering = Callable[[int, bytes], bytes]  # the answer to a call, from its number and its bytes


@dataclass
class Calls:
    """What is known of all calls of a walk, whichever peer had them."""

    loop: VirtualLoop
    ran: dict[int, int] = field(default_factory=dict)  # how often each has run
    careful: set[int] = field(default_factory=set)  # those that must not run twice
    violations: list[str] = field(default_factory=list)
    left: dict[int, float] = field(default_factory=dict)  # when the client of each that left did so

    def report(self, number: int, why: str) -> None:
        """Something is wrong with a call."""
        self.violations.append(f"{self.loop.now:.3f} call {number} {why}")


class Transport(asyncio.Transport):
    """The client's end of a connection in memory, and the peer's."""

    def __init__(self, peer: Peer, protocol: asyncio.Protocol):
        super().__init__()
        self.peer, self.protocol = peer, protocol
        self.closed = False
        self.unread = 0  # pieces that came and were not read yet
        self.read_at = 0.0  # when the last of them is read: none overtakes another
        self.torn = False  # an answer was begun and never ends: nothing but the end can follow it

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return SimpleNamespace(fileno=lambda: self)

    def write(self, data: bytes) -> None:
        if not self.closed:
            if self.unread:
                self.peer.stale(data)
            self.peer.later(WAY, lambda: self.peer.request(self, data))

    def is_closing(self) -> bool:
        return self.closed

    def is_reading(self) -> bool:
        return not self.closed

    def get_write_buffer_size(self) -> int:
        return 0

    def abort(self) -> None:
        self.closed = True

    close = abort

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def comes(self, data: bytes | None) -> None:
        """Bytes, or the end, arrive from the peer; they are read a little later, in their order."""
        if self.torn and data is not None:
            return
        now = self.peer.calls.loop.now
        self.unread += 1
        self.read_at = max(self.read_at, now + self.peer.random.uniform(0, UNREAD))
        self.peer.later(self.read_at - now, lambda: self._read(data))

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

    def __init__(self, calls: Calls, seed: int, answer: Answering, number: Callable[[bytes], int], edge: Process):
        self.calls, self.random = calls, random.Random(f"peer {seed}")
        self.answer, self.number, self.edge = answer, number, edge

    def later(self, wait: float, act: Callable[[], Any]) -> None:
        """In the edge's own context: its clocks are asked."""
        self.edge.soon(act, wait=wait)

    def connect(self, protocol: asyncio.Protocol) -> Transport:
        made = Transport(self, protocol)
        protocol.connection_made(made)
        if self.random.random() < 0.05:
            made.comes(None)
        return made

    def stale(self, data: bytes) -> None:
        """A call is sent on a connection on which something lies unread."""
        if self.number(data) in self.calls.careful:
            self.calls.report(self.number(data), "is sent on a connection that has ended or has spoken")

    def request(self, transport: Transport, data: bytes) -> None:
        """A call arrives."""
        if transport.closed and self.random.random() < 0.5:
            return
        number, chance = self.number(data), self.random.random()
        wait = self.random.choice((0.0, 0.003, 0.02))
        if chance < 0.06 and number in self.calls.careful:
            self._send(transport, REFUSED % number, wait)
            return
        if self.calls.loop.now - self.calls.left.get(number, math.inf) > WAY + UNREAD:
            self.calls.report(number, "begins after its client has left")
        self.calls.ran[number] = self.calls.ran.get(number, 0) + 1
        if self.calls.ran[number] > 1 and number in self.calls.careful:
            self.calls.report(number, "must not run twice, and does")
        self._misbehave(transport, number, data, chance, wait)

    def _misbehave(self, transport: Transport, number: int, data: bytes, chance: float, wait: float) -> None:
        """Answer a call that has run, well in half of the cases."""
        told = self.answer(number, data)
        if chance < 0.55:
            self._send(transport, told, wait)
        elif chance < 0.65:
            self._send(transport, told, self.random.uniform(0.05, 0.3))  # perhaps after it was given up
        elif chance < 0.72:
            self._send(transport, told, wait)
            self._send(transport, told, wait + self.random.choice((0.0, 0.001, 0.05, 0.1)))
        elif chance < 0.78:
            self._send(transport, told[: self.random.randrange(1, len(told))], wait, torn=True)
            self._send(transport, None, wait + 0.002)
        elif chance < 0.84:
            self._send(transport, None, wait)
        elif chance < 0.92:
            self._send(transport, told, wait)
            self._send(transport, None, wait + self.random.choice((0.002, 0.02, 0.2)))
        elif chance < 0.96:
            self._send(transport, told, wait)
            self._send(transport, self.answer(number + 1_000_000, data), wait + self.random.choice((0.0, 0.01, 0.05)))

    def _send(self, transport: Transport, data: bytes | None, wait: float, torn: bool = False) -> None:
        def arrive() -> None:
            transport.comes(data)
            transport.torn = transport.torn or torn

        self.later(WAY + wait, arrive)


class _Poll:
    """In place of `select.poll`: tells what lies unread on a connection in memory."""

    def __init__(self) -> None:
        self.transport: Transport

    def register(self, at: Transport, what: int) -> None:
        self.transport = at

    def poll(self, wait: int) -> list:
        return [1] if self.transport.unread else []


class _Socket:
    """In place of a socket that is opened to a node: remembers to which."""

    host = ""

    def setblocking(self, on: bool) -> None:
        pass

    def setsockopt(self, level: int, name: int, value: int) -> None:
        pass

    def close(self) -> None:
        pass


def _core_answer(number: int, asked: bytes) -> bytes:
    """An answer that repeats the id of the call that it answers, as cores do."""
    body = json.dumps({"n": number}).encode()
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % len(body)
    if b"Call-Id: " in asked:
        head += b"Call-Id: %d\r\n" % (number + 1)
    return head + b"\r\n" + body


def _node_answer(number: int, asked: bytes) -> bytes:
    head = b"HTTP/1.1 200 OK\r\nAttempt-Id: a%d\r\nServer-Seal: x\r\nContent-Length: 8\r\n\r\n" % number
    return head + b"%08d" % number


REFUSED = b"HTTP/1.1 503 Busy\r\nAttempt-Id: a%d\r\nNot-Executed: full\r\nContent-Length: 0\r\n\r\n"


async def _to_core(calls: Calls, chance: random.Random) -> None:
    """An edge's calls to a core, one after the other."""
    made = caller.Caller()
    for number in range(CALLS):
        try:
            told = await made.json("POST", f"http://core:{PORT}/x", {"n": number}, chance.choice((0.02, 0.1)))
        except PeerError:
            continue
        finally:
            await asyncio.sleep(chance.choice((0.0, 0.002, 0.03)))
        if told != {"n": number}:
            calls.report(number, f"is answered by {told}")


def _leave(calls: Calls, number: int, exchange: Exchange) -> None:
    """The client of a call is gone."""
    calls.left[number] = calls.loop.now
    exchange.abandon()


async def _to_nodes(calls: Calls, forwarder: Forwarder, chance: random.Random, first: int) -> None:
    """One client's requests, one after the other."""
    for number in range(first, first + CALLS):
        careful = chance.random() < 0.5
        if careful:
            calls.careful.add(number)
        exchange = Exchange(clock(), b"POST", lambda exchange: None)
        exchange.head = b"POST /x HTTP/1.1\r\nAttempt-Id: a%d\r\n" % number
        exchange.attempt, exchange.length, exchange.body_complete = b"a%d" % number, 0, True
        exchange.deadline = clock() + 0.5
        forwarder.set_route(exchange, Route("r", "h", "/", not careful, 0.5, 0.3, 1, (("s", 1.0),), 3), None)
        exchange.transition_to(Stage.READY)
        exchange.transition_to(Stage.RUNNING)
        later = asyncio.get_running_loop().call_later
        timers = [later(chance.choice((0.03, 0.1, 0.5)), exchange.expire)]
        if chance.random() < LEAVES_PART:
            timers.append(later(chance.choice((0.0, 0.002, 0.01, 0.05)), _leave, calls, number, exchange))
        await forwarder.forward(exchange)
        for timer in timers:
            timer.cancel()
        if exchange.answer is not None and exchange.answer.status == 200 and exchange.answer.body != b"%08d" % number:
            calls.report(number, f"is answered by {exchange.answer.body!r}")
        if exchange.status == 503 and calls.ran.get(number):
            calls.report(number, "is told to come back, and has run")
        await asyncio.sleep(chance.choice((0.0, 0.002, 0.03)))


@contextlib.contextmanager
def _in_place(loop: VirtualLoop, peers: dict[str, Peer]) -> Iterator[None]:
    """Sockets in memory to these peers, for the rooms that open and ask them."""

    async def sock_connect(made: _Socket, address: tuple[str, int]) -> None:
        await asyncio.sleep(2 * WAY)
        made.host = address[0]
        if peers[made.host].random.random() < 0.05:
            raise ConnectionRefusedError

    async def connect(
        kind: Callable[[], asyncio.Protocol], host: str = "", port: int = 0, sock: Any = None
    ) -> tuple[Transport, Any]:
        if sock is None:
            await asyncio.sleep(2 * WAY)
        protocol = kind()
        return peers[sock.host if sock is not None else host].connect(protocol), protocol

    loop.create_connection = connect  # type: ignore[assignment]
    loop.sock_connect = sock_connect  # type: ignore[assignment]
    polled = SimpleNamespace(poll=_Poll, POLLIN=1)
    numbers = dict.fromkeys(("AF_INET", "SOCK_STREAM", "IPPROTO_TCP", "TCP_NODELAY", "TCP_USER_TIMEOUT"), 0)
    with contextlib.ExitStack() as stack:
        for room in (caller, node_connection, node_connection_state):
            stack.enter_context(mock.patch.object(room, "select", polled))
        stack.enter_context(
            mock.patch.object(connection_pool, "socket", SimpleNamespace(socket=lambda *_: _Socket(), **numbers))
        )
        yield


def _core_number(data: bytes) -> int:
    return json.loads(data.partition(b"\r\n\r\n")[2])["n"]


def _node_number(data: bytes) -> int:
    return int(data.partition(b"Attempt-Id: a")[2].split(b"\r")[0])


def walk(seed: int) -> list[str]:
    """One walk over both sorts of connections: what broke."""
    chance, loop = random.Random(f"connections {seed}"), VirtualLoop(seed)
    edge = Process(loop, "edge", "e")
    to_core, to_nodes = Calls(loop), Calls(loop)
    peers = {"core": Peer(to_core, seed, _core_answer, _core_number, edge)}
    view = ClusterView()
    for n in range(NODES):
        peers[f"n{n}"] = Peer(to_nodes, seed + n + 1, _node_answer, _node_number, edge)
        view.nodes[f"n{n}"] = Node(f"n{n}", "s", (f"n{n}", PORT), "z", 8)
    view.nodes_by_service["s"] = list(view.nodes.values())
    forwarder = edge.context.run(lambda: Forwarder(settings("e", [], False, 1), view, clock, seed))
    with _in_place(loop, peers):
        works = [edge.spawn(_to_core(to_core, chance))]
        works += [edge.spawn(_to_nodes(to_nodes, forwarder, chance, 10_000 * n)) for n in range(CLIENTS)]
        loop.run(600.0)
    if not all(work.done() for work in works):
        to_nodes.violations.append("calls never ended")
    return to_core.violations + to_nodes.violations + loop.failed()
