"""The clients' port of an edge against scripted nodes on loopback.

Clients that leave, and the end of an edge.
Nothing sleeps: tests wait for what a stand-in has read or for what comes back; deadlines are some tens of milliseconds.
"""

import asyncio
import socket
import unittest
from unittest import mock

from standins.jumps import Held
from standins.nodes import RawClient, answer, routes

from knotwalk.admission.connection_budget import ConnectionBudget
from knotwalk.edge import connection_pool
from tests.system.edge_case import (
    PATIENCE,
    EdgeCase,
    turns,
    wait_for,
)


class EndsCase(EdgeCase):
    """Clients that leave, and the end of the program."""

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
        """A request that may be repeated is broken off; another is carried to its end."""
        await self.begin()
        client = await self.held("/i/")
        client.reset()
        await asyncio.wait_for(self.nodes[0].left.wait(), PATIENCE)
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
        """The system says so as our side is ended, ahead of the loop: the connection is over, and nothing fails."""
        await self.begin()
        await self.held("/n/")
        (client,) = self.client_server.clients
        client.transport.write_eof = mock.Mock(side_effect=OSError(107, "not connected"))
        self.client_server.draining = True  # so that the answer is the connection's last
        with self.assertNoLogs(level="ERROR"):
            self.go.set()
            while self.client_server.clients:
                await asyncio.sleep(0)
        self.assertEqual((self.client_server.open_requests, client.transport.write_eof.called), (0, True))

    async def test_the_client_ends_its_side(self):
        """What it sent whole is still answered."""
        await self.begin()
        client = await self.held("/n/")
        client.writer.write_eof()
        for _ in range(9):
            await asyncio.sleep(0)
        self.go.set()
        self.assertEqual((await client.answer())[0], 200)
        self.assertEqual(await client.rest(), b"")

    async def test_drain(self):
        """What was read is finished and told to leave; idle connections end; no new ones come."""
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
        await asyncio.wait_for(ending, PATIENCE)
        self.assertEqual(await client.rest(), b"")
        self.assertEqual(self.client_server.open_requests, 0)

    async def test_a_drain_takes_in_who_waits_to_be_accepted(self):
        """Its handshake is the system's work: a busy edge that closed its gate reset such clients, asked or not."""
        await self.begin(table=routes(timeout=PATIENCE))
        made = [
            socket.create_connection(("127.0.0.1", self.client_server.port)) for _ in range(3)
        ]  # the loop has no turn
        clients = []
        try:
            for at, one in enumerate(made):
                one.sendall(b"GET /n/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: w%d\r\nDeadline-Ms: 60000\r\n\r\n" % at)
            self.client_server.drain()
            ending = asyncio.ensure_future(self.client_server.finished(self.client_server.clock() + PATIENCE))
            clients += [RawClient(*await asyncio.open_connection(sock=one)) for one in made]
            for at, client in enumerate(clients):
                status, headers, _ = await asyncio.wait_for(client.answer(), PATIENCE)
                self.assertEqual((status, headers["attempt-id"], headers["connection"]), (200, f"w{at}", "close"))
            await asyncio.wait_for(ending, PATIENCE)
        finally:
            for one in clients or made:
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

    async def test_a_client_of_an_edge_that_starts_is_read_once_there_is_a_picture(self):
        await self.begin()
        table, self.view.configuration, self.client_server.view_ready = self.view.configuration, None, False
        client = await self.client()
        client.ask("/i/")
        await wait_for(lambda: any(c.pause_reasons for c in self.client_server.clients))
        self.assertEqual(self.runs(), 0)
        self.view.configuration = table
        self.client_server.view_changed({"config"})
        self.assertEqual((await asyncio.wait_for(client.answer(), PATIENCE))[0], 200)

    async def test_a_client_of_an_edge_without_a_picture_is_let_go_unread(self):
        """Closed with the request unread: it may be sent elsewhere, whatever its kind."""
        await self.begin()
        self.view.configuration, self.client_server.view_ready = None, False
        client = await self.client()
        client.ask("/i/")
        await wait_for(lambda: any(c.pause_reasons for c in self.client_server.clients))
        for held in list(self.client_server.clients):
            held._give_up()
        with self.assertRaises((ConnectionResetError, asyncio.IncompleteReadError)):
            await asyncio.wait_for(client.answer(), PATIENCE)
        self.assertEqual(self.runs(), 0)

    async def crowd(self, count, gates):
        """That many clients ask at once, while nodes do not answer until told to."""
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
        """Beyond the descriptors, connections end before anything is read of them."""
        await self.begin()
        self.client_server.connection_budget = ConnectionBudget(1, 1, 9)
        (first,), gate = await self.crowd(1, 1)
        await wait_for(lambda: self.runs() == 1)
        second = await self.client()
        second.ask()
        with self.assertRaises((ConnectionResetError, asyncio.IncompleteReadError)):
            await asyncio.wait_for(second.answer(), PATIENCE)
        gate.set()
        self.assertEqual(((await first.answer())[0], self.runs()), (200, 1))
        third = await self.client()  # the first has been answered and lies idle: it makes room
        third.ask()
        self.assertEqual((await asyncio.wait_for(third.answer(), PATIENCE))[0], 200)

    async def test_few_descriptors_serve_many_clients(self):
        """A crowd on a machine of a dozen descriptors: none of the clients' answers is lost, and idle connections give
        way. Before, accepting failed a thousand times a second, and what was accepted found no descriptor to a node."""
        await self.begin(nodes=2)
        self.client_server.connection_budget, self.client_server.forwarder.connection_slots.max_open = (
            ConnectionBudget(4, 2, 2),
            2,
        )
        clients, gate = await self.crowd(4, 2)
        await wait_for(lambda: self.runs() == 2 and len(self.client_server.forwarder.connection_slots.waiting) == 2)
        gate.set()  # two wait for a descriptor, not for a node: they go on as soon as one is free
        heads = [(await asyncio.wait_for(client.answer(), PATIENCE))[:2] for client in clients]
        self.assertEqual([status for status, _ in heads], [200] * 4)
        self.assertIn("close", [heads.get("connection") for _, heads in heads])  # past a part of them none is kept
        self.assertLessEqual(self.client_server.forwarder.connection_slots.open, 2)
        for _ in range(12):
            self.assertEqual((await self.ask())[0], 200)
        self.assertEqual(
            self.client_server.forwarder.connection_slots.open,
            sum(len(pool.all) for pool in self.client_server.forwarder.pools.values()),
        )
        self.assertLessEqual(len(self.client_server.clients), 4)

    async def test_no_descriptor_whatever_is_counted(self):
        """A node can't be called for want of a descriptor: the request has not run, and is told so."""
        await self.begin()
        client = await self.client()
        with mock.patch.object(connection_pool.socket, "socket", side_effect=OSError(24, "Too many open files")):
            client.ask(method="POST", path="/n/")
            status, heads, _ = await asyncio.wait_for(client.answer(), PATIENCE)
        self.assertEqual((status, "retry-after" in heads, self.runs()), (503, True, 0))


if __name__ == "__main__":
    unittest.main()
