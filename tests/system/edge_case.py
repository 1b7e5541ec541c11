"""Base of the edge's tests: a client server over scripted nodes on loopback, and clients of it."""

import asyncio
import time
import unittest

from standins.nodes import RawClient, StandIn, answer, client_server, routes, view

from knotwalk.edge.choose import stats_of

# Time that an answer may take on a busy machine; a test that waits for longer has failed.
PATIENCE = 60


async def wait_for(condition):
    """Run the event loop until the condition is met."""
    end = time.monotonic() + PATIENCE
    while not condition():
        if time.monotonic() > end:
            raise AssertionError("the condition was not met")
        await asyncio.sleep(0)


async def within(awaitable):
    """The result, within PATIENCE of real time, even while the loop's time stands still."""
    task = asyncio.ensure_future(awaitable)
    try:
        await wait_for(task.done)
        return await task
    finally:
        task.cancel()


async def turns(count=100):
    """Run some iterations of the event loop: due timers fire, and what was sent is read."""
    for _ in range(count):
        await asyncio.sleep(0)


class EdgeCase(unittest.IsolatedAsyncioTestCase):
    """A client server, started by `begin`, and its clients; fails if the event loop reported any error."""

    async def asyncSetUp(self):
        self.loop = asyncio.get_running_loop()
        self.errors = []
        self.loop.set_exception_handler(lambda loop, context: self.errors.append(context))
        self.nodes = [await StandIn(f"i-{at}").start() for at in range(2)]
        self.clients = []
        self.client_server = None

    async def asyncTearDown(self):
        await self.end()
        for _ in range(3):
            await asyncio.sleep(0)
        self.assertEqual(self.errors, [])

    async def end(self):
        """Stop clients, nodes and the client server, if there is one."""
        for client in self.clients:
            client.close()
        for node in self.nodes:
            node.stop()
        if self.client_server is not None:
            self.client_server.drain()
            await self.client_server.finished(0)
            self.client_server._sweep.cancel()

    async def begin(self, nodes=1, service="s", limits=None, capacity=4, table=None, **raw):
        """Start a client server over some of the scripted nodes."""
        self.view = view(
            [node.node(service, capacity=capacity) for node in self.nodes[:nodes]], table or routes(), limits
        )
        self.client_server = await client_server(self.view, **raw)
        return self.client_server

    async def client(self):
        client = await RawClient.to(self.client_server.port)
        self.clients.append(client)
        return client

    async def ask(self, *args, **fields):
        client = await self.client()
        client.ask(*args, **fields)
        return await within(client.answer())

    def runs(self):
        return sum(len(node.seen) for node in self.nodes)

    def reset(self, *script):
        for node in self.nodes:
            node.seen.clear()
            node.script = list(script)
        for node in self.view.nodes.values():
            stats_of(node).record_success()


BOTH = (("/i/", True), ("/n/", False))
CUT = (asyncio.IncompleteReadError, ConnectionError)


def chunked(request, *pieces, end=b"0\r\n\r\n"):
    head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {request.attempt}\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head.encode() + b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in pieces) + end


def cut(data):
    """Send this and close."""

    def act(request, writer):
        writer.write(data(request) if callable(data) else data)
        writer.close()

    return act


def twice(request, writer):
    """The answer, and a duplicate of it in the same write."""
    return answer(request) + answer(request, b"again")


def late_extra(body):
    """The answer, and a duplicate of it once the next request on the connection has arrived, before its answer."""

    def act(request, writer):
        before = getattr(writer, "extra", b"")
        writer.extra = answer(request, b"late")
        return before + answer(request, body(request), extra="Keep-Alive: timeout=9\r\n")

    return act
