"""No body and no answer waits for ever: each state in which one waits, by each way in which its request can end.

Guards against the failure of review/1: an upload that was refused before it reached a node was never answered, since
its answer waited for a body that the edge had stopped to read. Time stands still until the test moves it on.
"""

import asyncio
import unittest

from standins.nodes import Request, StandIn, answer

from knotwalk.configuration.objects import Limits
from knotwalk.discovery.view_types import Assignment
from tests.standins.timing import bounded
from tests.system.edge_case import turns
from tests.system.held_edge import LARGE_BODY, LONG_S, SHORT_S, STEP_S, TURNS, HeldEdgeCase, WorkingNode
from tests.system.operations_case import OperationsCase

ANSWER_WITHIN_S = 0.5  # CONFIG: after the end, the timeout among others
AIM_S = 2.0  # a quarter of it, less the way to the client, is how long a request waits for a node
IDLE_S = 15.0
MAX_BODY = 150_000  # bytes, where a body is too large
PART = 100_000  # bytes of a large body that are sent at first
PART_SHORT = 500  # and of a short one
SHORT_BODY = 1000
GONE = 0  # the client has left and awaits no status
NOT_PLAYED = -1  # another row has this kind of request
LINGER_S = 1.5  # after its last answer a connection is closed


class HeadNode(StandIn):
    """A node that reads a request's head, and the body only if it `reads`; then it does as it is told."""

    reads = True

    async def _serve(self, reader, writer):
        self.writers.append(writer)
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            line, *rest = head[:-4].split("\r\n")
            request = Request(line, {k.lower(): v for k, v in (h.split(": ", 1) for h in rest)}, b"", 0, reader)
            if not request.attempt:
                return  # of another test's system, which knew a node at this port
            self.seen.append(request)
            self.carrier = writer
            if not self.reads:
                writer.transport.pause_reading()
            while self.reads and await reader.read(1 << 16):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass

    def answer(self, size):
        self.carrier.write(answer(self.seen[-1], b"x" * size))

    def cut(self):
        self.carrier.transport.abort()


class DeafNode(HeadNode):
    """A node that reads no body."""

    reads = False


class BodiesCase(HeldEdgeCase):
    """Brings an upload into a state (methods of STATES), ends it (methods of ENDS), and looks at what is left."""

    # -- states: what waits, and how much of the body is unread

    async def upload(self, prefix, body=b"b" * LARGE_BODY, part=PART, **fields):
        self.uploading = await self.client()
        self.sent, self.rest = self.request(self.uploading, prefix, body=body, part=part, **fields)
        await turns(TURNS)

    async def short_body(self, kind, deadline_s):
        """A short body is incomplete."""
        await self.prepare(aim=AIM_S, limits=self.limits)
        await self.upload(f"/{kind}/", b"b" * SHORT_BODY, PART_SHORT, deadline_s=deadline_s)

    async def no_owner(self, kind, deadline_s):
        """A large body's beginning waits for an owner of its key."""
        await self.prepare(aim=self.aim, limits=self.limits)
        owners = self.view.assignments["k"]
        owners.by_slice = [Assignment() for _ in owners.by_slice]
        await self.upload(f"/k{kind}/", deadline_s=deadline_s)
        self.assertTrue(self.client_server.forwarder.waiting)

    async def no_descriptor(self, kind, deadline_s):
        """It waits for a descriptor."""
        await self.prepare(aim=self.aim, limits=self.limits)
        self.client_server.forwarder.connection_slots.max_open = 0
        await self.upload(f"/{kind}/", deadline_s=deadline_s)
        self.assertTrue(self.client_server.forwarder.connection_slots.waiting)

    async def behind_another(self, kind, deadline_s):
        """It waits behind another request of its connection, and then for an owner."""
        await self.prepare(aim=self.aim, limits=self.limits)
        owners = self.view.assignments["k"]
        owners.by_slice = [Assignment() for _ in owners.by_slice]
        self.nodes[0].work_s = 0.6
        client = self.uploading = await self.client()
        client.ask("/i/", "first", deadline=60_000)
        await turns(TURNS)
        self.sent, self.rest = self.request(
            client, f"/k{kind}/", deadline_s, b"b" * LARGE_BODY, part=PART, before=client.answer()
        )
        await turns(TURNS)

    async def streaming(self, kind, deadline_s):
        """A node reads it as it arrives."""
        await self.prepare(HeadNode, limits=self.limits)
        await self.upload(f"/{kind}/", deadline_s=deadline_s)
        self.assertTrue(self.nodes[0].seen)

    async def node_does_not_read(self, kind, deadline_s):
        """The node reads only its head, and the buffers are full."""
        await self.prepare(DeafNode, limits=self.limits)
        await self.upload(f"/{kind}/", b"b" * (1 << 25), PART, deadline_s=deadline_s)
        while not any(client.pause_reasons for client in self.client_server.clients):
            piece, self.rest = self.rest[: 1 << 20], self.rest[1 << 20 :]
            self.uploading.writer.write(piece)
            await turns(TURNS)

    async def expects_continue(self, kind, deadline_s):
        """Its client waits to be told that it may send the body."""
        await self.prepare(aim=AIM_S, limits=self.limits)
        headers = "Expect: 100-continue\r\n"
        await self.upload(f"/{kind}/", b"b" * SHORT_BODY, 0, headers=headers, deadline_s=deadline_s)

    # -- ends: each returns when it has come

    async def refused(self):
        """No node was found in time."""
        await self.until(self.play.now + AIM_S)

    async def deadline(self):
        """Its deadline passes, and its client sends nothing more."""
        await self.until(self.sent.deadline_at)

    async def idle(self):
        """Its client sends nothing more for longer than the limit; the sweep looks each half second."""
        await self.until(self.play.now + IDLE_S + 0.75)

    async def node_resets(self):
        self.nodes[0].cut()

    async def node_answers(self):
        self.nodes[0].answer(5)

    async def node_streams_its_answer(self):
        self.nodes[0].answer(LARGE_BODY)

    async def client_closes(self):
        self.uploading.close()

    async def client_closes_and_its_deadline_passes(self):
        """What is unread may be the rest of the request of a client that still reads: only reading it tells."""
        self.uploading.close()
        await self.until(self.sent.deadline_at)

    async def client_resets(self):
        self.uploading.reset()

    async def client_half_closes(self):
        """The client has sent everything, and reads on."""
        self.uploading.writer.write(self.rest)
        await turns(TURNS)
        self.uploading.writer.write_eof()
        await self.until(self.play.now + AIM_S)

    async def drain_ends(self):
        """The edge is stopped."""
        ends_at = self.client_server.drain()
        ending = asyncio.ensure_future(self.client_server.finished(ends_at))
        while not ending.done():
            await self.until(self.play.now + STEP_S)
        self.client_server.answer_the_rest()

    # -- what is left

    limits = Limits(idle_timeout=IDLE_S)
    aim = AIM_S

    def runs_of(self, attempt):
        """Lines of this request at the node; other tests' systems may call its port, which a node of theirs had."""
        return [request.line for request in self.nodes[0].seen if request.attempt == attempt]

    async def check(self, status):
        """The request has its status in time, the edge holds nothing of it, and a promise not to run it is kept."""
        await self.until(self.play.now + ANSWER_WITHIN_S)
        self.note_ends()
        if status != GONE:
            self.assertEqual(self.sent.outcome, str(status))
            self.uploading.close()
        await self.until(self.play.now + LINGER_S)
        self.assertEqual([len(client.queue) for client in self.client_server.clients], [])
        self.assertEqual(self.client_server.open_requests, 0)
        if status in (503, 408):
            self.assertEqual(self.runs_of(self.sent.attempt), [])


def rows(state, **ends):
    """Rows of the table: a state, an end, the status of idempotent requests and that of others."""
    for end, statuses in ends.items():
        both = statuses if isinstance(statuses, tuple) else (statuses, statuses)
        yield state, end, both


class WaitingBodiesTest(BodiesCase):
    """Statuses by state and end; a pair has that of an idempotent request and that of another."""

    WAITING = {"refused": 503, "deadline": 503, "client_closes": GONE, "client_resets": GONE, "drain_ends": 503}
    PARTIAL = {"deadline": 408, "idle": 408, "client_closes": GONE, "client_resets": GONE, "drain_ends": 503}
    AT_NODE = {
        "deadline": 504,
        "node_resets": 502,
        "node_answers": 200,
        "node_streams_its_answer": 200,
        "client_closes": GONE,
        "client_resets": GONE,
        "drain_ends": 502,
    }
    TABLE = (
        *rows("short_body", **PARTIAL),
        *rows("expects_continue", **PARTIAL),
        *rows("no_owner", **WAITING, client_half_closes=(GONE, 503)),
        *rows("no_descriptor", **WAITING, client_half_closes=(GONE, 503)),
        *rows("behind_another", refused=503, deadline=503, client_closes=GONE, client_resets=GONE, drain_ends=503),
        *rows("streaming", **AT_NODE, idle=400),
        *rows("node_does_not_read", **AT_NODE | {"client_closes": (GONE, NOT_PLAYED)}),
        *rows("node_does_not_read", client_closes_and_its_deadline_passes=(NOT_PLAYED, GONE)),
    )

    async def test_each_state_by_each_end(self):
        for state, end, statuses in self.TABLE:
            for kind, status in zip("in", statuses, strict=True):
                if status == NOT_PLAYED:
                    continue
                with self.subTest(f"{state}, {end}", kind=kind):
                    self.aim = LONG_S if end in ("deadline", "drain_ends") else AIM_S
                    await getattr(self, state)(kind, SHORT_S if "deadline" in end else LONG_S)
                    await getattr(self, end)()
                    await self.check(status)

    async def test_an_upload_that_becomes_too_large(self):
        """Its chunks pass the limit while it waits for an owner, or while a node reads it."""
        for kind in "in":
            for prefix, node in ((f"/k{kind}/", WorkingNode), (f"/{kind}/", HeadNode)):
                with self.subTest(prefix=prefix):
                    await self.prepare(node, limits=Limits(max_body_bytes=MAX_BODY))
                    if node is WorkingNode:
                        owners = self.view.assignments["k"]
                        owners.by_slice = [Assignment() for _ in owners.by_slice]
                    client = self.uploading = await self.client()
                    chunk = b"%x\r\n%b\r\n" % (PART, b"b" * PART)
                    client.ask(prefix, "a0", "POST", "Shard-Key: 7\r\nTransfer-Encoding: chunked\r\n", deadline=2000)
                    client.writer.write(chunk)
                    self.sent = self.expect(client, "a0", 2.0)
                    await turns(TURNS)
                    client.writer.write(chunk)
                    await self.until(self.play.now + 2.0)
                    self.note_ends()
                    self.assertIn(self.sent.outcome, ("413", "503") if node is WorkingNode else ("413",))
                    client.close()
                    await self.until(self.play.now + LINGER_S)
                    self.assertEqual((self.client_server.open_requests, self.client_server.clients), (0, set()))

    async def test_a_connection_with_a_short_body_is_kept_once_the_rest_has_come(self):
        """The answer to a refused request waits a moment for the rest of its body, and no longer."""
        for late, connection in ((0.0, None), (1.0, "close")):
            with self.subTest(late=late):
                await self.prepare()
                client = await self.client()
                client.ask("/none/", "a0", "POST", f"Content-Length: {SHORT_BODY}\r\n")
                client.writer.write(b"b" * PART_SHORT)
                await self.until(self.play.now + late)
                client.writer.write(b"b" * (SHORT_BODY - PART_SHORT))
                status, headers, _ = await client.answer()
                self.assertEqual((status, headers.get("connection")), (404, connection))

    async def test_a_request_after_a_large_refused_one_goes_elsewhere(self):
        """What follows on the connection is not read: its client sends it again on another."""
        for prefix in ("/i/", "/n/"):
            with self.subTest(prefix=prefix):
                await self.prepare()
                client = await self.client()
                self.request(client, "/none/", body=b"b" * LARGE_BODY)
                client.ask(prefix, "second")
                self.assertEqual(await self.play.sent[0].reply, 404)
                self.assertEqual(await client.rest(), b"")
                await self.until(self.play.now + LINGER_S)
                self.assertEqual(self.runs_of("a0") + self.runs_of("second"), [])
                self.assertEqual(self.client_server.open_requests, 0)

    async def test_full_buffers_behind_a_complete_body_do_not_pause_the_requests_after_it(self):
        """The node's connection reports them by `writable`, called here; reading stood still until the answer ended."""
        await self.prepare(DeafNode)
        client = await self.client()
        client.ask("/i/", "a0", "POST", "Transfer-Encoding: chunked\r\n", deadline=60_000)
        chunk = b"%x\r\n%b\r\n" % (PART, b"b" * PART)
        while not any(one.pause_reasons for one in self.client_server.clients):
            client.writer.write(chunk)
            await turns(TURNS)
        (server_side,) = self.client_server.clients
        server_side._set_backpressure(server_side.reading, False)
        client.writer.write(b"0\r\n\r\n")
        await turns(TURNS)
        self.assertEqual((server_side.pause_reasons, server_side.reading), (set(), None))
        exchange = server_side.queue[0]
        exchange.writable(False)  # the node's connection is full: it no longer concerns this client's reading
        self.assertEqual(server_side.pause_reasons, set())


class WaitingForCoreTest(OperationsCase):
    """Uploads on a keyed route that are answered without reaching a node, while their bodies are unread."""

    async def upload(self, id, key="k", body=LARGE_BODY, **fields):
        client = await self.client()
        headers = f"Test-Tenant: t\r\nOperation-Key: {key}\r\nContent-Length: {body}\r\n"
        client.ask("/o/x", id, "POST", headers, **fields)
        client.writer.write(b"x" * PART)
        return client

    async def test_each_answer_of_a_core(self):
        """The first try's answer, 409, 429, 503 and 502: each was known, and waited for the rest of the upload."""
        for status in (200, 409, 429, 503, 502):
            with self.subTest(status=status):
                await self.end()
                self.nodes = [await StandIn(f"i-{at}").start() for at in range(2)]
                self.edges, self.clients = [], []
                await self.begin(aim=1.0, contracts=("keys", "quota") if status == 429 else ("keys",))
                go = None
                if status == 200:
                    self.assertEqual((await self.ask("first"))[0], 200)
                    await self.reported()
                elif status == 409:
                    go = self.holding()
                    await self.send("first")
                    await self.nodes[0].arrived.wait()
                elif status == 429:
                    self.cores.limits.left["t"] = 0
                elif status == 503:
                    for core in self.cores.all.values():
                        core.dead = True
                else:
                    self.nodes[0].script = [None]
                    self.assertEqual((await self.ask("first"))[0], 502)
                    await self.reported()
                client = await self.upload("second", deadline=1000)
                found, headers, _ = await bounded(client.answer(), 60)
                self.assertEqual((found, headers["connection"]), (status, "close"))
                self.assertNotIn("second", [r.attempt for node in self.nodes for r in node.seen])
                if go is not None:
                    go.set()


if __name__ == "__main__":
    unittest.main()
