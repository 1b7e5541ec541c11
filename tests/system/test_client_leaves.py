"""Clients that leave while their requests are in progress: nodes stop working, however the client left.

A client leaves by closing its side (a full close looks the same on the wire) or by a reset, at any step of a request,
also while the edge does not read from it. Idempotent requests are aborted at once, others are completed. Nodes hold
each request until its connection ends, so that only the edge can end their work.
"""

import asyncio
import random
import time
import unittest

from standins.nodes import SHED, RawClient, StandIn, answer, client_server, routes, view

from knotwalk.discovery.view_types import Assignment
from knotwalk.edge.client_connection import PeerEnd
from knotwalk.edge.client_state import MAX_PIPELINED
from tests.standins.timing import bounded
from tests.system.edge_case import EdgeCase

LONG = 60.0  # seconds of deadlines and route timeouts, which never expire here
BOUND = 10.0  # seconds within which even a busy machine does what an edge should do in some tenths
KINDS = ("/i/", "/ki/")  # routes of an unsharded and a sharded service, both idempotent
DEADLINE = int(LONG * 1000)
HELD = {"headers": "Shard-Key: 7\r\n", "deadline": DEADLINE}
BODY_MORE = 1 << 26  # bytes of a body that no node reads: as long as the limits allow
PIECE = 1 << 20  # bytes that the client sends at a time, until they are not read any more


async def until(met, what):
    end = time.monotonic() + BOUND
    while not met():
        if time.monotonic() > end:
            raise AssertionError(f"{what}: not within {BOUND:g} s")
        await asyncio.sleep(0.002)


class Holding(StandIn):
    """A node that works on each request until its connection ends; `go` lets it answer."""

    def __init__(self, id):
        super().__init__(id)
        self.working: list[str] = []
        self.go = asyncio.Event()

    def act(self, request):
        return self.work

    async def work(self, request, writer):
        self.working.append(request.attempt)
        try:
            while not self.go.is_set() and not request.reader.at_eof():
                await asyncio.sleep(0.002)
        finally:
            self.working.remove(request.attempt)
        return answer(request, extra="Keep-Alive: timeout=60\r\n")


class LeavesCase(EdgeCase):
    async def begin(self, kind=Holding, count=1):
        """Start a client server over nodes of a kind, each in both services, with long deadlines."""
        await self.end()
        self.nodes = [await kind(f"i-{at}").start() for at in range(count)]
        nodes = [node.node(service, capacity=40) for service in ("s", "k") for node in self.nodes]
        for node in nodes:
            node.id = f"{node.id}-{node.service}"
        self.client_server = await client_server(view(nodes, routes(timeout=LONG, aim=LONG)))

    async def fill(self, client):
        """Send a body until it stays unread: socket buffers hold megabytes, how many depends on the kernel."""
        sent = 0

        def unread():
            nonlocal sent
            if sent < BODY_MORE - PIECE and not client.writer.transport.get_write_buffer_size():
                client.writer.write(bytes(PIECE))
                sent += PIECE
            return any("body" in c.pause_reasons for c in self.client_server.clients)

        await until(unread, "the body stays unread")

    def working(self):
        return [attempt for node in self.nodes for attempt in node.working]

    async def idle(self):
        """Wait until no node works on a request and nothing is open."""
        await until(lambda: not self.working(), "nodes stop")
        await until(
            lambda: not self.client_server.open_requests and not self.client_server.clients, "the edge is rid of it"
        )

    # -- clients that leave while a request is in progress

    async def test_a_close_aborts_idempotent_requests(self):
        await self.begin()
        for prefix in KINDS:
            for leave in (RawClient.close, RawClient.reset):
                with self.subTest(prefix=prefix, leave=leave.__name__):
                    client = await self.client()
                    client.ask(prefix, **HELD)
                    await until(self.working, "at work")
                    leave(client)
                    await self.idle()

    async def test_a_close_is_detected_while_reading_is_paused(self):
        """Reading pauses at a full pipeline, and at a body that the node does not read; a close is detected anyway."""
        await self.begin()
        for leave in (RawClient.close, RawClient.reset):
            with self.subTest("pipeline", leave=leave.__name__):
                client = await self.client()
                for at in range(MAX_PIPELINED):
                    client.ask(id=f"p{at}", **HELD)
                await until(lambda: len(self.working()) == MAX_PIPELINED, "all at work")
                leave(client)
                await self.idle()
        await self.begin(Deaf)
        for leave in (RawClient.close, RawClient.reset):
            with self.subTest("body", leave=leave.__name__):
                client = await self.client()
                client.ask("/i/", "b1", "POST", f"Content-Length: {BODY_MORE}\r\n", deadline=DEADLINE)
                await self.fill(client)
                leave(client)
                await until(lambda: not self.client_server.open_requests, "given up")

    async def test_nothing_is_begun_or_goes_on_whenever_it_leaves(self):
        """Over seeds: clients leave pipelines of both kinds at any iteration of the event loop, by close or reset.

        Nodes hold, refuse or answer meanwhile. In the end no node works, nothing is open, and no non-idempotent
        request ran twice."""
        await self.begin(Mixed, 3)
        for seed in range(40):
            rng = random.Random(seed)
            for node in self.nodes:
                node.rng = random.Random(seed)
                node.seen.clear()
            client = await self.client()
            for at in range(rng.randint(1, 5)):
                prefix = rng.choice(("/i/", "/n/", "/ki/", "/kn/"))
                client.ask(prefix, f"s{seed}-{at}", rng.choice(("GET", "POST")), "Shard-Key: 7\r\n", b"", DEADLINE)
            for _ in range(rng.randrange(30)):
                await asyncio.sleep(0)
            rng.choice((RawClient.close, RawClient.reset))(client)
            # non-idempotent requests are completed: allow it once all others have stopped
            await until(
                lambda: all("n" in line for line in self.lines_at_work()), f"only single runs go on, seed {seed}"
            )
            for node in self.nodes:
                node.go.set()
            await self.idle()
            single = [r.attempt for node in self.nodes for r in node.seen if "n/" in r.line]
            ran = [attempt for attempt in single if attempt not in self.shed()]
            self.assertEqual(len(ran), len(set(ran)), seed)
            for node in self.nodes:
                node.go.clear()

    def shed(self):
        return {attempt for node in self.nodes for attempt in node.refused}

    def lines_at_work(self):
        """Request lines of the requests that nodes work on."""
        at_work = set(self.working())
        return [r.line.split(" ")[1] for node in self.nodes for r in node.seen if r.attempt in at_work]

    # -- clients that leave before their request is started

    async def test_a_request_read_together_with_its_clients_end_is_not_started(self):
        """An edge without a cluster view reads nothing; once it has one, clients that left meanwhile are not served."""
        await self.begin()
        configuration = self.client_server.view.configuration
        for leave in (RawClient.close, RawClient.reset):
            with self.subTest(leave=leave.__name__):
                await self.warm(2)
                self.client_server.view.configuration = None
                client, other = await self.client(), await self.client()
                client.ask("/i/", "left", **HELD)
                other.ask("/i/", "stays", **HELD)
                await until(lambda: len(self.client_server.clients) == 2, "both are connected")
                leave(client)
                await until(lambda: len(self.ended_clients()) == 1, "its end has come")
                self.client_server.view.configuration = configuration
                for one in list(self.client_server.clients):
                    one.on_view_ready()
                await until(self.working, "at work")
                self.assertEqual([r.attempt for r in self.nodes[0].seen[2:]], ["stays"])
                other.reset()
                await self.idle()
                self.nodes[0].seen.clear()

    async def warm(self, count):
        """Open idle connections to the node, on which a request is sent in the iteration in which it is forwarded."""
        clients = [await self.client() for _ in range(count)]
        for at, client in enumerate(clients):
            client.ask("/i/", f"w{at}", **HELD)
        await until(lambda: len(self.working()) == count, "all at work")
        self.nodes[0].go.set()
        for client in clients:
            self.assertEqual((await client.answer())[0], 200)
            client.close()
        self.nodes[0].go.clear()
        await self.idle()

    def ended_clients(self):
        """Clients whose end is visible at their sockets or was already handled."""
        count = 2 - len(self.client_server.clients)
        return [1] * count + [one for one in self.client_server.clients if one._probe_peer_end() is not PeerEnd.NONE]

    async def test_a_waiting_request_is_not_offered_to_a_node_once_its_client_has_reset(self):
        await self.begin()
        owners = self.client_server.view.assignments["k"]
        for prefix in ("/ki/", "/kn/"):
            with self.subTest(prefix=prefix):
                lines, owners.by_slice = owners.by_slice, [Assignment() for _ in owners.by_slice]
                client = await self.client()
                client.ask(prefix, "waits", "POST", **HELD)
                await until(lambda: self.client_server.forwarder.waiting, "it waits for an owner")
                client.reset()
                await self.idle()
                owners.by_slice = lines
                self.client_server.view_changed({"lines"})
                for _ in range(20):
                    await asyncio.sleep(0)
                self.assertEqual(self.nodes[0].seen, [])

    # -- requests that go on

    async def test_a_non_idempotent_request_is_completed_and_answered(self):
        """The client half-closed and still reads the answer. Requests that it sent after it are not started."""
        await self.begin()
        client = await self.client()
        client.ask("/n/", "one", "POST", deadline=DEADLINE)
        client.ask("/i/", "behind", deadline=DEADLINE)
        await until(self.working, "at work")
        client.writer.write_eof()
        for _ in range(20):
            await asyncio.sleep(0.002)
        self.assertEqual(self.working(), ["one"])
        self.nodes[0].go.set()
        status, headers, _ = await bounded(client.answer(), BOUND)
        self.assertEqual((status, headers["attempt-id"], headers["connection"]), (200, "one", "close"))
        self.assertEqual(await client.rest(), b"")
        await self.idle()


class Deaf(Holding):
    """A node that accepts connections and reads nothing."""

    async def _serve(self, reader, writer):
        writer.transport.pause_reading()
        self.writers.append(writer)


class Mixed(Holding):
    """A node that holds, refuses or answers at random."""

    def __init__(self, id):
        super().__init__(id)
        self.rng, self.refused = random.Random(0), set()

    async def work(self, request, writer):
        choice = self.rng.random()
        if choice < 0.2:
            self.refused.add(request.attempt)
            return SHED
        if choice < 0.4:
            return answer(request)
        return await super().work(request, writer)


if __name__ == "__main__":
    unittest.main()
