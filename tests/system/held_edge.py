"""An edge whose time stands still until the test moves it on, its nodes, and requests whose answers are awaited."""

import asyncio
from collections.abc import Awaitable
from dataclasses import dataclass, field

from standins.jumps import Held
from standins.nodes import SHED, RawClient, StandIn, answer, client_server, routes, view

from knotwalk.edge.exchange import Exchange
from tests.system.edge_case import EdgeCase, turns

STEP_S = 0.25  # by which time moves on
TURNS = 30  # iterations of the event loop in each step: more than any request takes
LONG_S, SHORT_S = 60.0, 1.2  # deadlines of clients
LARGE_BODY = 200_000  # bytes, more than an edge buffers


class WorkingNode(StandIn):
    """A node that works on each request for `work_s` of the held time, and records when."""

    held: Held
    work_s = 0.0
    large = False  # answers with more than an edge buffers, half of it before the work
    sheds_first = False  # turns the first request away

    def act(self, request):
        return self.work

    async def work(self, request, writer):
        if self.sheds_first:
            self.sheds_first = False
            self.seen.pop()
            return SHED
        self.until[request.attempt] = until = self.held.moment + self.work_s
        whole = answer(request, b"x" * LARGE_BODY if self.large else b"bytes", extra="Keep-Alive: timeout=60\r\n")
        if self.large:
            writer.write(whole[: LARGE_BODY // 2])
        while self.held.moment < until and not request.reader.at_eof():
            await asyncio.sleep(0)
        return whole[LARGE_BODY // 2 :] if self.large else whole


@dataclass
class Sent:
    """One request as its client saw it; times in seconds from the play's beginning."""

    attempt: str
    sent_at: float  # its last byte
    deadline_at: float
    reply: asyncio.Future
    ended_at: float | None = None
    outcome: str = "no answer"


async def final_answer(client: RawClient, before: Awaitable | None = None) -> int:
    """The status of the next answer that isn't an interim one; 0 if the connection ends before it is complete."""
    try:
        if before is not None:
            await before
        while (status := (await client.answer())[0]) == 100:
            pass
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0
    return status


@dataclass
class Play:
    """What clients sent, and what the edge read."""

    held: Held
    began_at: float
    sent: list[Sent] = field(default_factory=list)
    read: dict[str, Exchange] = field(default_factory=dict)

    @property
    def now(self) -> float:
        return round(self.held.moment - self.began_at, 6)


class HeldEdgeCase(EdgeCase):
    """An edge over one node of a kind, in a service with keys and one without; times count from `play.began_at`."""

    async def prepare(self, kind=WorkingNode, aim=LONG_S, limits=None, **raw):
        """Start an edge over one node."""
        await self.end()
        held = self.held = Held(self.loop)
        self.nodes, self.clients = [await kind("i-0").start()], []
        self.nodes[0].held, self.nodes[0].until = held, {}
        listed = [self.nodes[0].node(service, capacity=40) for service in ("s", "k")]
        listed[1].id = "i-0-k"
        self.view = view(listed, routes(timeout=LONG_S, aim=aim), limits)
        self.client_server = await client_server(self.view, held.now, **raw)
        self.play = Play(held, held.moment + 0.5)
        take = self.client_server.begin

        def begin(exchange, head):
            self.play.read[exchange.attempt.decode()] = exchange
            take(exchange, head)

        self.client_server.begin = begin

    async def until(self, seconds):
        """Move on to `seconds` after the beginning."""
        while self.play.now < seconds:
            self.held.moment = min(self.held.moment + STEP_S, self.play.began_at + seconds)
            await turns(TURNS)

    def request(self, client, prefix, deadline_s=LONG_S, body=b"", headers="", part=None, before=None):
        """Send a request, or the first `part` bytes of one; its answer is read in the background."""
        attempt = f"a{len(self.play.sent)}"
        head = (
            f"POST {prefix} HTTP/1.1\r\nHost: h\r\nAttempt-Id: {attempt}\r\nShard-Key: 7\r\n"
            f"Deadline-Ms: {deadline_s * 1000:g}\r\nContent-Length: {len(body)}\r\n{headers}\r\n"
        ).encode()
        data = head + body
        client.writer.write(data if part is None else data[: len(head) + part])
        sent = self.expect(client, attempt, deadline_s, before)
        return sent, b"" if part is None else data[len(head) + part :]

    def expect(self, client, attempt, deadline_s, before=None):
        """Note a request that was sent, and read its answer in the background, after those `before` it."""
        now = self.play.now
        sent = Sent(attempt, now, now + deadline_s, asyncio.ensure_future(final_answer(client, before)))
        self.play.sent.append(sent)
        return sent

    def note_ends(self):
        for sent in self.play.sent:
            if sent.reply.done() and sent.ended_at is None:
                sent.ended_at, sent.outcome = self.play.now, str(sent.reply.result() or "no answer")
