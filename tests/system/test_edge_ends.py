"""An edge's client server against scripted nodes on loopback.

Clients that leave, draining, and a shortage of descriptors.
Nothing sleeps: tests wait for what a scripted node has read or for an answer; deadlines are some tens of milliseconds.
"""

import asyncio
import socket
import unittest
from unittest import mock

from standins.jumps import Held
from standins.nodes import RawClient, answer, routes

from knotwalk.admission.connection_budget import ConnectionBudget
from knotwalk.edge import connection_pool
from tests.standins.timing import bounded
from tests.system.edge_case import (
    PATIENCE,
    EdgeCase,
    turns,
    wait_for,
)


class EndsCase(EdgeCase):
    """Clients that leave, draining, and a shortage of descriptors."""

    async def held(self, prefix, body=b""):
        self.go = asyncio.Event()

        async def slow(r, w):
            while not self.go.is_set() and not r.reader.at_eof():
                await asyncio.sleep(0)
            return answer(r, extra="Keep-Alive: timeout=9\r\n")

        self.nodes[0].script = [None] * len(self.nodes[0].seen) + [slow]
        self.nodes[0].arrived.clear()
        client = await self.client()
        client.ask(prefix, "one", "POST", body=body)
        await self.nodes[0].arrived.wait()
        return client

    async def test_the_client_leaves(self):
        """An idempotent request is aborted; another one is completed."""
        await self.begin()
        client = await self.held("/i/")
        client.reset()
        await bounded(self.nodes[0].left.wait(), PATIENCE)
        while self.client_server.open_requests:
            await asyncio.sleep(0)
        client = await self.held("/n/")
        client.reset()
        while self.client_server.clients:
            await asyncio.sleep(0)
        self.assertEqual((self.client_server.open_requests, self.nodes[0].gone), (1, [0]))
        self.go.set()
        while self.client_server.open_requests:
            await asyncio.sleep(0)
        self.assertEqual((await self.ask("/n/"))[0], 200)
        self.assertEqual([r.connection for r in self.nodes[0].seen], [0, 1, 1])

    async def test_the_client_has_reset_before_the_last_answer(self):
        """The shutdown of the sending side fails before the event loop reports the reset: the connection just ends."""
        await self.begin()
        await self.held("/n/")
        (client,) = self.client_server.clients
        client.transport.write_eof = mock.Mock(side_effect=OSError(107, "not connected"))
        self.client_server.draining = True  # so that the answer is the last on the connection
        with self.assertNoLogs(level="ERROR"):
            self.go.set()
            while self.client_server.clients:
                await asyncio.sleep(0)
        self.assertEqual((self.client_server.open_requests, client.transport.write_eof.called), (0, True))

    async def test_the_client_half_closes(self):
        """A complete request is still answered."""
        await self.begin()
        client = await self.held("/n/")
        client.writer.write_eof()
        for _ in range(9):
            await asyncio.sleep(0)
        self.go.set()
        self.assertEqual((await client.answer())[0], 200)
        self.assertEqual(await client.rest(), b"")

    async def test_drain(self):
        """Requests that were read are finished, then their connections close; idle ones close; none is accepted."""
        await self.begin()
        idle = await self.client()
        idle.ask("/i/", "zero")
        await idle.answer()
        client = await self.held("/n/", b"abc")
        port = self.client_server.port
        self.client_server.drain()
        ending = asyncio.ensure_future(self.client_server.finished(self.client_server.clock() + PATIENCE))
        with self.assertRaises(OSError):
            await RawClient.to(port)
        idle.ask("/i/", "late")
        status, headers, _ = await idle.answer()
        self.assertEqual((status, headers["connection"]), (200, "close"))
        self.assertFalse(ending.done())
        self.go.set()
        status, headers, _ = await client.answer()
        self.assertEqual((status, headers["connection"]), (200, "close"))
        await bounded(ending, PATIENCE)
        self.assertEqual(await client.rest(), b"")
        self.assertEqual(self.client_server.open_requests, 0)

    async def test_a_drain_accepts_connections_that_wait_in_the_queue(self):
        """The kernel completes their handshake; closing the listening socket reset such clients."""
        await self.begin(table=routes(timeout=PATIENCE))
        # The event loop does not run meanwhile, so that none of them is accepted.
        sockets = [socket.create_connection(("127.0.0.1", self.client_server.port)) for _ in range(3)]
        clients = []
        try:
            for at, one in enumerate(sockets):
                one.sendall(b"GET /n/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: w%d\r\nDeadline-Ms: 60000\r\n\r\n" % at)
            self.client_server.drain()
            ending = asyncio.ensure_future(self.client_server.finished(self.client_server.clock() + PATIENCE))
            clients += [RawClient(*await asyncio.open_connection(sock=one)) for one in sockets]
            for at, client in enumerate(clients):
                status, headers, _ = await bounded(client.answer(), PATIENCE)
                self.assertEqual((status, headers["attempt-id"], headers["connection"]), (200, f"w{at}", "close"))
            await bounded(ending, PATIENCE)
        finally:
            for one in clients or sockets:
                one.close()

    async def test_drain_has_an_end(self):
        held = Held(self.loop)
        await self.begin(now=held.now)
        client = await self.held("/n/")
        self.client_server.drain()
        ending = asyncio.ensure_future(self.client_server.finished(held.moment + 0.05))
        await turns()
        self.assertFalse(ending.done())
        held.moment += 0.051
        await wait_for(ending.done)
        self.go.set()
        self.assertEqual((await client.answer())[0], 200)

    async def test_a_client_of_a_starting_edge_is_read_once_there_is_a_cluster_view(self):
        await self.begin()
        table, self.view.configuration, self.client_server.view_ready = self.view.configuration, None, False
        client = await self.client()
        client.ask("/i/")
        await wait_for(lambda: any(c.pause_reasons for c in self.client_server.clients))
        self.assertEqual(self.runs(), 0)
        self.view.configuration = table
        self.client_server.view_changed({"config"})
        self.assertEqual((await bounded(client.answer(), PATIENCE))[0], 200)

    async def test_a_client_of_an_edge_without_a_cluster_view_is_reset_unread(self):
        """Since the request was not read, it may be sent elsewhere, idempotent or not."""
        await self.begin()
        self.view.configuration, self.client_server.view_ready = None, False
        client = await self.client()
        client.ask("/i/")
        await wait_for(lambda: any(c.pause_reasons for c in self.client_server.clients))
        for held in list(self.client_server.clients):
            held._give_up()
        with self.assertRaises((ConnectionResetError, asyncio.IncompleteReadError)):
            await bounded(client.answer(), PATIENCE)
        self.assertEqual(self.runs(), 0)

    async def crowd(self, count, gates):
        """Requests of `count` clients at once, while nodes don't answer until their gates open."""
        gate = asyncio.Event()

        async def held(request, writer):
            await gate.wait()
            writer.write(answer(request))

        for node in self.nodes:
            node.script = [held] * gates
        clients = [await self.client() for _ in range(count)]
        for client in clients:
            client.ask()
        return clients, gate

    async def test_no_room(self):
        """Connections beyond the available descriptors are reset before anything is read from them."""
        await self.begin()
        self.client_server.connection_budget = ConnectionBudget(1, 1, 9)
        (first,), gate = await self.crowd(1, 1)
        await wait_for(lambda: self.runs() == 1)
        second = await self.client()
        second.ask()
        with self.assertRaises((ConnectionResetError, asyncio.IncompleteReadError)):
            await bounded(second.answer(), PATIENCE)
        gate.set()
        self.assertEqual(((await first.answer())[0], self.runs()), (200, 1))
        third = await self.client()  # the first is answered and idle: it is closed to make room
        third.ask()
        self.assertEqual((await bounded(third.answer(), PATIENCE))[0], 200)

    async def test_few_descriptors_serve_many_clients(self):
        """Many clients on a machine with a dozen descriptors: no answer is lost, and idle connections are closed.

        Guards against accepting without a limit: accept() failed a thousand times a second, and accepted clients found
        no descriptor for a connection to a node."""
        await self.begin(nodes=2)
        self.client_server.connection_budget, self.client_server.forwarder.connection_slots.max_open = (
            ConnectionBudget(4, 2, 2),
            2,
        )
        clients, gate = await self.crowd(4, 2)
        await wait_for(lambda: self.runs() == 2 and len(self.client_server.forwarder.connection_slots.waiting) == 2)
        gate.set()  # two requests wait for a descriptor, not for a node, and go on as soon as one is free
        heads = [(await bounded(client.answer(), PATIENCE))[:2] for client in clients]
        self.assertEqual([status for status, _ in heads], [200] * 4)
        self.assertIn(
            "close", [heads.get("connection") for _, heads in heads]
        )  # above a part of the budget no connection is kept
        self.assertLessEqual(self.client_server.forwarder.connection_slots.open, 2)
        for _ in range(12):
            self.assertEqual((await self.ask())[0], 200)
        self.assertEqual(
            self.client_server.forwarder.connection_slots.open,
            sum(len(pool.all) for pool in self.client_server.forwarder.pools.values()),
        )
        self.assertLessEqual(len(self.client_server.clients), 4)

    async def test_no_descriptor_whatever_is_counted(self):
        """Without a descriptor for a connection to a node the request has not run, and the status says so."""
        await self.begin()
        client = await self.client()
        with mock.patch.object(connection_pool.socket, "socket", side_effect=OSError(24, "Too many open files")):
            client.ask(method="POST", path="/n/")
            status, heads, _ = await bounded(client.answer(), PATIENCE)
        self.assertEqual((status, "retry-after" in heads, self.runs()), (503, True, 0))


if __name__ == "__main__":
    unittest.main()
