"""Every path on which a connection is reused: each mishap at each point of an exchange, and the calls after it.

Required of all paths: a call gets its own answer or none; a non-idempotent one reaches the peer at most once; after
anything unexpected the connection carries no further call. Mistakes made on purpose are found by the same tables.
"""

import asyncio
import contextlib
import json
import unittest
from unittest import mock

import aiohttp
from standins import faulty_peer
from standins.faulty_peer import CONNECTED, FAULTS, HEAD_READ, POINTS, READ, FaultyPeer
from standins.nodes import RawClient, client_server, routes, view

from knotwalk.admission import outcome
from knotwalk.cli.configuration_client import ConfigurationClient, NoClearAnswerError
from knotwalk.discovery.view_types import Node
from knotwalk.edge import caller as edge_caller, forwarder, node_connection
from knotwalk.runtime import http_client as runtime_call
from knotwalk.runtime.errors import PeerError
from tests.standins.timing import bounded

SHORT = 0.15  # timeout of calls in cases where the peer does not answer
LONG = 30.0  # timeout of all other calls: a busy machine stalls
DEADLINE = 20.0  # deadline of an edge for those; less than LONG, so that its answer comes first
FAILED = None  # a call that got no answer
EARLY = -1  # a call that got an answer which was sent before its body was read


def number_in(body):
    """The number in an answer; None if the answer is damaged."""
    try:
        return json.loads(body)["n"]
    except (ValueError, TypeError, KeyError):
        return FAILED


class EdgeToNode:
    """Requests of clients, each on its own connection, through an edge to one node."""

    path, repeatable = "/n/", False

    async def open(self, peer):
        # A node with another name than that of the last test: an edge keeps its measurements of a node with the node.
        self.client_server = await client_server(
            view([Node("i-1", "s", peer.address, "a", 4)], routes(DEADLINE, DEADLINE))
        )

    async def call(self, number, patience=LONG):
        for node in self.client_server.view.nodes.values():
            node.local_state = None  # measurements so far must not keep the next call from being sent
        client = await RawClient.to(self.client_server.port)
        try:
            client.ask(self.path, f"id{number}", deadline=int(min(patience, DEADLINE) * 1000))
            status, headers, body = await bounded(client.answer(), LONG)
        except (asyncio.IncompleteReadError, ConnectionError):
            return FAILED
        finally:
            client.reset()
        if status == 200:
            assert headers["attempt-id"] == f"id{number}", headers
            return number_in(body)
        return "promised" if status in outcome.NEVER_RUN_STATUSES else FAILED

    async def close(self):
        self.client_server.drain()
        await self.client_server.finished(0)


class EdgeToNodeRepeatable(EdgeToNode):
    path, repeatable = "/i/", True


class EdgeToCore:
    repeatable = False

    async def open(self, peer):
        self.url = "http://{}:{}/x".format(*peer.address)
        self.caller = edge_caller.Caller()

    async def call(self, number, patience=LONG):
        try:
            return (await self.caller.json("POST", self.url, {"n": number}, patience))["n"]
        except (PeerError, TypeError, KeyError):
            return FAILED

    async def close(self):
        await self.caller.close()


class CoreToCore(EdgeToCore):
    options = {}

    async def open(self, peer):
        self.url = "http://{}:{}/x".format(*peer.address)
        self.caller = runtime_call.HttpClient(**self.options)


class Grant(CoreToCore):
    """From a core to a node, whose answers have no id of the call."""

    alone, options = False, {"reset_on_close": True, "with_call_ids": False}

    async def call(self, number, patience=LONG):
        with contextlib.suppress(PeerError):
            status, _, body = await self.caller.send("POST", self.url, {"n": number}, patience, single_use=self.alone)
            return number_in(body) if status == 200 else FAILED
        return FAILED


class Release(Grant):
    alone = True


class List(CoreToCore):
    """From a core to the platform's list, as any other GET: the library must not retry it by itself either."""

    async def call(self, number, patience=LONG):
        with contextlib.suppress(PeerError):
            status, _, body = await self.caller.send("GET", f"{self.url}?n={number}", None, patience)
            return number_in(body) if status == 200 else FAILED
        return FAILED


class Order(CoreToCore):
    """From an operator to a core: retried unchanged by the operator's program, and by no library below it."""

    repeatable = True

    async def call(self, number, patience=LONG):
        operator = ConfigurationClient("{}:{}".format(*self.peer.address), self.caller, 0.0)
        with mock.patch("knotwalk.cli.configuration_client.CALL_TIMEOUT_S", patience):
            try:
                return (await operator.call("PUT", {"n": number}, 0)).body["n"]
            except NoClearAnswerError:
                return FAILED

    async def open(self, peer):
        self.peer = peer
        await super().open(peer)


PATHS = (EdgeToNode, EdgeToNodeRepeatable, EdgeToCore, CoreToCore, Grant, Release, List, Order)
# Paths whose answers have no id of the call: a complete answer that arrives after a call was sent counts as its own.
UNNAMED = (Grant, Release, List)
# Mishaps and points after which the connection may be used further, since nothing unexpected has arrived.
HARMLESS = {(faulty_peer.interim, READ), (faulty_peer.interim, HEAD_READ)}


def turns(count):
    """Run iterations of the event loop: what has arrived is read."""
    return asyncio.gather(*(asyncio.sleep(0) for _ in range(count)))


class ReuseCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        for target in ("knotwalk.edge.caller.CONNECT_TIMEOUT_S", "knotwalk.edge.node_try.CONNECT_TIMEOUT_S"):
            patched = mock.patch(target, LONG)  # a busy machine may stall for longer
            patched.start()
            self.addCleanup(patched.stop)

    @contextlib.asynccontextmanager
    async def against(self, path, **fields):
        peer, one = await FaultyPeer(**fields).start(), path()
        await one.open(peer)
        try:
            yield peer, one
        finally:
            await one.close()
            peer.stop()
            await turns(3)

    def judged(self, path, peer, results):
        """What is wrong with the answers of calls, by number, and with how often the calls reached the peer."""
        found = [f"call {n} got {r}" for n, r in enumerate(results) if r not in (n, EARLY, FAILED, "promised")]
        ran = [call.number for call in peer.calls]
        if not path.repeatable:
            found += [f"call {n} ran {ran.count(n)} times" for n in set(ran) if ran.count(n) > 1]
            found += [f"call {n} ran and was refused" for n, r in enumerate(results) if r == "promised" and n in ran]
        return found

    async def met(self, path, mishap, point, at):
        """Make calls 0 to 3 with the mishap in call `at`; returns what is wrong."""
        async with self.against(path, point=point, fault=mishap, call_index=at) as (peer, one):
            results = []
            for number in range(4):
                mute = mishap in (faulty_peer.silence, faulty_peer.extra, faulty_peer.half) or point == CONNECTED
                results.append(await one.call(number, SHORT if mute and number <= at + 1 else LONG))
            found = self.judged(path, peer, results)
            if results[-1] != 3:
                found.append(f"the path has not come back: {results}")
            if peer.used_on() and (mishap, point) not in HARMLESS and point != CONNECTED:
                found.append(f"the connection was used on by calls {peer.used_on()}")
            return [f"{path.__name__}, {mishap.__name__} at {point} of call {at}: {text}" for text in found]

    async def idle(self, path, mishap, count):
        """After call 0, the mishap hits its connection, the event loop runs `count` times, and calls 1 and 2 follow."""
        async with self.against(path) as (peer, one):
            results = [await one.call(0)]
            mishap(peer, peer.calls[0], peer.writers[peer.calls[0].connection])
            await turns(count)
            results += [await one.call(1), await one.call(2)]
            found = self.judged(path, peer, results)
            # An end that the peer's event loop has not executed yet can't be detected: the call is lost then, and only
            # retried by a caller that knows that it may be.
            unseen = mishap in (faulty_peer.close, faulty_peer.reset) and not count
            if results != [0, 1, 2] and not (unseen and results == [0, FAILED, 2]):
                found.append(f"calls got {results}")
            if [call.connection for call in peer.calls[1:]].count(0):
                found.append("the connection was used on")
            return found

    async def table(self, paths=PATHS, chosen=FAULTS, points=POINTS):
        """Run all cases of the table; returns what is wrong, and the number of cases."""
        found, count = [], 0
        for path in paths:
            for mishap in chosen:
                for point in points:
                    if path in UNNAMED and mishap is faulty_peer.stray and point in (CONNECTED, HEAD_READ, READ):
                        continue
                    for at in (0, 1):
                        found += await self.met(path, mishap, point, at)
                        count += 1
        return found, count


class MishapCase(ReuseCase):
    async def check(self, *paths):
        found, count = await self.table(paths)
        self.assertGreaterEqual(count, len(paths) * 90)
        self.assertEqual(found, [], "\n" + "\n".join(found))

    async def test_edge_to_node(self):
        await self.check(EdgeToNode)

    async def test_edge_to_node_repeatable(self):
        await self.check(EdgeToNodeRepeatable)

    async def test_edge_to_core(self):
        await self.check(EdgeToCore)

    async def test_core_to_core(self):
        await self.check(CoreToCore)

    async def test_core_to_node(self):
        await self.check(Grant, Release)

    async def test_core_to_platform(self):
        await self.check(List)

    async def test_operator_to_core(self):
        await self.check(Order)


class IdleCase(ReuseCase):
    """Bytes that arrive on an idle connection, read or unread, fail no call and are not taken for an answer."""

    async def test_table(self):
        for path in PATHS:
            for mishap in set(FAULTS) - {faulty_peer.silence}:
                for count in (0, 50):
                    with self.subTest(f"{path.__name__}, {mishap.__name__}, {count}"):
                        self.assertEqual(await self.idle(path, mishap, count), [])


class GivenUpCase(ReuseCase):
    """A call that is given up, by timeout or cancellation, and whose answer arrives afterwards."""

    async def late(self, path, cancelled):
        """Call 1 is given up on a reused connection, its answer arrives, and call 2 gets its own answer."""
        async with self.against(path, point=READ, fault=faulty_peer.silence, call_index=1) as (peer, one):
            self.assertEqual(await one.call(0), 0)
            task = asyncio.ensure_future(one.call(1, LONG if cancelled else SHORT))
            while len(peer.calls) < 2:
                await asyncio.sleep(0)
            if cancelled:
                task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            spoilt = peer.calls[1].connection
            if not peer.writers[spoilt].is_closing():
                peer.writers[spoilt].write(faulty_peer.answer(peer.calls[1]))
            self.assertEqual(await one.call(2), 2)
            self.assertEqual(self.judged(path, peer, [0, FAILED, 2]), [])
            self.assertNotEqual(peer.calls[-1].connection, spoilt)

    async def test_a_call_given_up_ends_its_connection(self):
        for path in (EdgeToNode, EdgeToNodeRepeatable, EdgeToCore, CoreToCore, Grant, Release, List):
            for cancelled in (False, True):
                if cancelled and path is EdgeToNode:
                    continue  # a non-idempotent request is completed, even if its client is gone
                with self.subTest(path.__name__, cancelled=cancelled):
                    await self.late(path, cancelled)


class HeldUpCase(ReuseCase):
    async def test_a_connection_whose_answer_was_paused_is_read_further(self):
        """Guards against reading that stays paused: after an answer too large to buffer that arrived in one piece, the
        next answer was never read."""

        async def serve(reader, writer):
            try:
                while True:
                    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                    id = head.split("Attempt-Id: ")[1].split("\r\n")[0]
                    size = 100_000 if id == "id0" else 2
                    writer.write(
                        f"HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\nKeep-Alive: timeout=9\r\n"
                        f"Content-Length: {size}\r\n\r\n".encode()
                        + b"7" * size
                    )
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        made = await client_server(view([Node("i-1", "s", server.sockets[0].getsockname()[:2], "a", 4)]))
        for number in range(3):
            client = await RawClient.to(made.port)
            client.ask("/n/", f"id{number}")
            self.assertEqual((await bounded(client.answer(), LONG))[0], 200)
            client.close()
            (connection,) = made.forwarder.pools["i-1"].all
            self.assertTrue(connection.transport.is_reading())
        made.drain()
        await made.finished(0)
        server.close()
        await turns(3)


class SeededCase(ReuseCase):
    """The tables find these mistakes, each made on purpose."""

    async def found(self, paths, chosen, points):
        return (await self.table(paths, chosen, points))[0]

    async def test_a_stale_connection_used_again(self):
        with mock.patch.object(
            runtime_call, "has_unexpected_input", lambda protocol: not protocol.is_connected()
        ):  # as aiohttp does
            self.assertTrue(await self.idle(Grant, faulty_peer.extra, 50))
            self.assertTrue(await self.idle(List, faulty_peer.extra, 0))
        with mock.patch.object(
            edge_caller.Connection, "is_usable", lambda self: self.state is edge_caller.CallState.IDLE
        ):
            with mock.patch.object(edge_caller.Connection, "on_headers_complete", lambda self: None):
                self.assertTrue(await self.idle(EdgeToCore, faulty_peer.extra, 0))

    async def test_a_late_answer_taken_for_the_next_calls(self):
        """With unchecked ids, a stray answer is taken for that of the request or the call."""
        read_head = node_connection.Connection._read_head

        def unchecked(self, status, headers):
            self.attempt = dict(headers).get(b"Attempt-Id", self.attempt)
            read_head(self, status, headers)

        with mock.patch.object(node_connection.Connection, "_read_head", unchecked):
            with self.assertRaises(AssertionError):
                await self.found((EdgeToNode,), (faulty_peer.stray,), (READ,))
        with mock.patch.object(edge_caller.Connection, "on_headers_complete", lambda self: None):
            self.assertTrue(await self.found((EdgeToCore,), (faulty_peer.stray,), (READ,)))
        with mock.patch.object(runtime_call.CheckedResponse, "start", aiohttp.ClientResponse.start):
            self.assertTrue(await self.found((CoreToCore,), (faulty_peer.stray,), (READ,)))

    async def test_a_non_idempotent_request_sent_twice(self):
        """A reset after bytes were sent is taken as proof that nothing ran; a library that retries by itself."""
        proofs = {**outcome.PROOFS, outcome.TryOutcome.LOST: outcome.Proof.NEVER_RAN}
        with mock.patch.object(outcome, "PROOFS", proofs), mock.patch.object(forwarder, "PROOFS", proofs):
            self.assertTrue(await self.found((EdgeToNode,), (faulty_peer.reset,), (READ,)))
        session = runtime_call.make_session

        def retrying(*asked):
            made = session(*asked)
            made._retry_connection = True
            return made

        with mock.patch.object(runtime_call, "make_session", retrying):
            self.assertTrue(await self.found((List,), (faulty_peer.reset,), (READ,)))

    async def test_a_release_on_a_connection_that_is_used_again(self):
        """Answers of nodes have no id: without its own connection, a release takes a late answer for its own."""

        class Shared(Release):
            alone = False

        async with self.against(Shared) as (peer, one):
            await one.call(0)
            peer.before_answer = lambda call: faulty_peer.answer(call, 0)
            self.assertEqual(await one.call(1), 0)
        async with self.against(Release) as (peer, one):
            for number in range(3):
                self.assertEqual(await one.call(number), number)
            self.assertEqual([call.connection for call in peer.calls], [0, 1, 2])


if __name__ == "__main__":
    unittest.main()
