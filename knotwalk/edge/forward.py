"""Carrying one request: which node it is offered to, what its tries prove, and the one answer that it gets.

Decides by the pure parts (`choose`, `admission`); connections are `connection_pool`'s, the client's side `front`'s.
"""

from __future__ import annotations

import asyncio
from collections import Counter as Counts
from collections.abc import Callable
from enum import Enum
from random import Random

from knotwalk.admission.admission import SHUN_LAST, SHUN_OWNER, Seen, come_back, worth_offering, yields
from knotwalk.admission.budget import Budget
from knotwalk.admission.connection_budget import shared
from knotwalk.admission.outcome import PROOFS, End, Move, Proof, move
from knotwalk.configuration.objects import Route, Service
from knotwalk.discovery.cluster_view import WIDTH, ClusterView, Node
from knotwalk.edge.choose import load, pick, seen, service_of, wait_at
from knotwalk.edge.connection_pool import ConnectionSlots, Pool
from knotwalk.edge.node_answer import Answer
from knotwalk.edge.node_connection import Connection
from knotwalk.runtime.errors import PeerError
from knotwalk.runtime.settings import Settings

# Of the aim, how long a request may wait without being offered to a node, as its client sees it: later refusals are
# held against us, and what comes back after an early one may still earn. Seconds of it that the way to the client and
# back takes: nobody tells it; ten each way, as far as a region is wide.
WAIT_PART, CLIENT_WAY = 0.25, 0.02
# Seconds within which a connection to a node comes up: links take milliseconds, a lost opening packet a second.
CONNECT = 1.0
# Seconds below which opening a connection is not cut: a busy machine answers late.
CONNECT_LEAST = 0.06
# Connections that fail to come up for one request; not sent means not offered, so the route's count is not touched.
MISSES = 2
# Seconds left below which a request is not offered any more: less than a trip to a node.
TOO_LATE = 0.004
# Of the drain time: a draining owner of keys gets requests so long; the rest is for the way of the list to us.
DRAIN_PART = 0.4
# Seconds that a refused client is told to wait while keys change hands.
HANDS_WAIT = 0.1
# Causes of a refusal that mean too much work, not a missing node.
FULL = frozenset({"full", End.TURNED_AWAY.value})
# Of the aim: a request that was not sent for longer counts as one that waited at the edge.
HELD_PART = 0.05
# Connections to one node that an edge may always open.
LEAST_CONNECTIONS = 2


class Stage(Enum):
    """States of a request."""

    READING = "reading"  # its body has not been read as far as it must be
    READY = "ready"  # may be carried, waits its turn
    RUNNING = "running"  # being carried
    ANSWERED = "answered"  # its answer is known, waits its turn
    WRITING = "writing"  # its answer is passed on as it comes
    DONE = "done"


STAGES = {
    Stage.READING: {Stage.READY, Stage.ANSWERED, Stage.DONE},
    Stage.READY: {Stage.RUNNING, Stage.ANSWERED, Stage.DONE},
    Stage.RUNNING: {Stage.ANSWERED, Stage.DONE},
    Stage.ANSWERED: {Stage.WRITING, Stage.DONE},
    Stage.WRITING: {Stage.DONE},
    Stage.DONE: set(),
}


class Exchange:
    """A client's request and its answer. `settled` is called once, when the answer is known."""

    __slots__ = (
        "stage",
        "begun",
        "until",
        "method",
        "attempt",
        "head",
        "length",
        "chunked",
        "body",
        "body_whole",
        "body_gone",
        "size",
        "route",
        "service",
        "key",
        "connection",
        "waiter",
        "expired",
        "gone",
        "timer",
        "status",
        "retry_after",
        "answer",
        "settled",
        "keep",
        "modern",
        "expects",
        "starve",
        "task",
        "text",
        "way",
    )

    def __init__(self, begun: float, method: bytes, settled: Callable[[Exchange], None]):
        self.stage = Stage.READING
        self.begun, self.until = begun, begun
        self.method, self.attempt, self.head = method, b"", b""
        self.length: int | None = None  # of the body, as told
        self.chunked = False
        self.body = bytearray()  # what was read and not yet passed on
        self.body_whole = self.body_gone = False
        self.size = 0
        self.route: Route | None = None
        self.service, self.key = "", -1
        self.connection: Connection | None = None
        self.waiter: asyncio.Future | None = None
        self.expired = self.gone = False
        self.timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task | None = None
        self.status, self.retry_after, self.text = 0, 0.0, ""
        self.way = ""  # what its last try met with, one of those of `Forwarder._way`
        self.answer: Answer | None = None
        self.settled = settled
        self.keep, self.modern, self.expects = True, True, False
        self.starve: Callable[[bool], None] | None = None  # told whether the body can not be passed on for now

    def to(self, stage: Stage) -> None:
        """The one place where the state changes."""
        if stage not in STAGES[self.stage]:
            raise PeerError("request", self.attempt.decode("latin-1"), f"from {self.stage.value} to {stage.value}")
        self.stage = stage

    def own(self, status: int, text: str = "", retry_after: float = 0.0) -> None:
        """The edge's own answer; the first one that is known stands."""
        if self.stage in (Stage.ANSWERED, Stage.WRITING, Stage.DONE):
            return
        self.status, self.text, self.retry_after = status, text, retry_after
        self._settle()

    def passed_on(self, answer: Answer) -> None:
        """The node's answer."""
        if self.stage is not Stage.RUNNING:
            if answer.stream is not None:
                answer.stream.abort("answered already")
            return
        self.answer, self.status = answer, answer.status
        self._settle()

    def _settle(self) -> None:
        if self.stage in (Stage.ANSWERED, Stage.WRITING, Stage.DONE):
            return
        self.to(Stage.ANSWERED)
        self.settled(self)

    # -- the body, towards the node

    def arrived(self, data: bytes) -> None:
        """A piece of the body was read."""
        if self.body_gone and self.connection is not None:
            self.connection.more(self._framed(data))
        elif self.stage in (Stage.READING, Stage.READY, Stage.RUNNING):
            self.body += data

    def ended(self) -> None:
        """The body was read to its end."""
        self.body_whole = True
        if self.body_gone and self.connection is not None:
            if self.chunked:
                self.connection.more(b"0\r\n\r\n")
            self.connection.finish()

    def _framed(self, data: bytes) -> bytes:
        return b"%x\r\n%b\r\n" % (len(data), data) if self.chunked and data else bytes(data)

    def writable(self, on: bool) -> None:
        """The connection to the node can (not) take more of the body."""
        if self.starve is not None:
            self.starve(not on)

    def sent_on(self, connection: Connection, deadline_ms: int, node: str) -> asyncio.Future[Answer]:
        """Send the request on a connection, as much of the body as is there."""
        self.connection = connection
        if self.body_whole:
            framing = b"Content-Length: %d\r\n" % len(self.body) if self.length is not None or self.chunked else b""
            body = bytes(self.body)
        else:
            framing = b"Content-Length: %d\r\n" % (self.length or 0)
            framing = b"Transfer-Encoding: chunked\r\n" if self.chunked else framing
            body, self.body, self.body_gone = self._framed(bytes(self.body)), bytearray(), True
            connection.source = self
        head = b"%bDeadline-Ms: %d\r\nTarget-Instance: %b\r\n%b\r\n" % (
            self.head,
            deadline_ms,
            node.encode("latin-1"),
            framing,
        )
        future = connection.send(head, body, self.attempt, self.method, self.body_whole)
        if not self.body_whole:
            self.writable(True)
        return future

    # -- ends from outside

    def expire(self) -> None:
        """The deadline has come."""
        self.expired = True
        self._wake("the deadline passed")

    def leave(self) -> None:
        """The client is gone: a request that may run again is broken off, another is carried to its end."""
        self.gone = True
        if self.route is None or self.route.idempotent or not self.body_whole:
            self._wake("the client is gone")

    def _wake(self, why: str) -> None:
        if self.connection is not None:
            self.connection.abort(why)
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)


class Forwarder:
    """Carries requests by what the cluster view shows. One for an edge; `edges` is how many share the budgets."""

    def __init__(self, settings: Settings, view: ClusterView, clock: Callable[[], float], seed: int):
        self.settings, self.view, self.clock = settings, view, clock
        self.luck = Random(seed)
        self.edges = 16
        self.began = clock()
        self.budgets: dict[str, Budget] = {}
        self.pools: dict[str, Pool] = {}
        self.connection_slots = ConnectionSlots(shared(settings.machine.file_descriptors).nodes)
        self.waiting: set[asyncio.Future] = set()
        self.counts: Counts[str] = Counts()
        self.demand: dict[str, Counts[int]] = {}

    # -- what is known

    def budget(self, service: str) -> Budget:
        found = self.budgets.get(service)
        if found is None:
            bounds = self.settings.bounds
            found = self.budgets[service] = Budget(
                bounds.retry_budget_ratio, bounds.retry_window, bounds.retry_budget_slack, self.began
            )
        return found

    def service(self, name: str) -> Service:
        configuration = self.view.configuration
        found = configuration.services.get(name) if configuration is not None else None
        return found or Service(name)

    def pictured(self, changed: set[str]) -> None:
        """The cluster view changed: requests that wait look again, connections to nodes that are gone end."""
        if "nodes" in changed:
            now = self.clock()
            for node in self.view.nodes.values():
                known = seen(node)
                if not node.draining:
                    known.draining_since = None
                elif known.draining_since is None:
                    known.draining_since = now
            for id, pool in list(self.pools.items()):
                if self.view.nodes.get(id) is not pool.node:
                    pool.close()
                    del self.pools[id]
        if changed & {"nodes", "lines", "config"}:
            for future in self.waiting:
                if not future.done():
                    future.set_result(None)

    def report(self) -> dict:
        """Requests by service and slice, load told by each node, bad tries; since the call before."""
        nodes, bad, now = {}, {}, self.clock()
        for node in self.view.nodes.values():
            known: Seen | None = node.seen  # type: ignore[assignment]
            if known is None:
                continue
            if known.silent(now) and not known.hung:  # what hangs there will hardly end well
                known.hung = True
                known.failed += 1
            if not (known.load_count or known.ok or known.failed or known.refused):
                continue
            if known.failed:
                tries = known.ok + known.failed + known.refused
                bad[node.id] = [known.failed, max(0, tries - known.load_count) if known.load_count else 0]
            row = [known.load_sum, known.load_count, known.slots or node.capacity]
            if not known.load_count:
                row += [known.ok, known.failed, known.refused, round(known.busy, 4)]
            nodes[node.id] = row
            known.load_sum = known.load_count = known.ok = known.failed = known.refused = 0
            known.busy = 0.0
        demand, self.demand = self.demand, {}
        return {"demand": demand, "nodes": nodes, "bad": bad}

    def tally(self) -> dict[str, int]:
        """How requests ended, by cause and rank, and what was met with; since the call before."""
        counts, self.counts = self.counts, Counts()
        return dict(counts)

    def age(self) -> None:
        """Close connections that idled long; call now and then."""
        for pool in self.pools.values():
            pool.age()

    # -- one request

    def routed(self, x: Exchange, route: Route, key: bytes | None) -> str:
        """Note the request's route, service and key; a mistake of the client in a few words, or nothing."""
        x.route = route
        x.service = service_of(route, self.luck)
        if self.service(x.service).sharded:
            number = int(key) if key is not None and key.isdigit() and len(key) <= 5 else -1
            if not 0 <= number < 65536:
                return "Shard-Key must be a number from 0 to 65535"
            x.key = number
        self.budget(x.service).request(self.clock())
        self.demand.setdefault(x.service, Counts())[x.key // WIDTH if x.key >= 0 else 0] += 1
        return ""

    async def carry(self, x: Exchange) -> None:
        """Carry a request to its answer, which `x` is told. Never fails."""
        assert x.route is not None
        tried: set[str] = set()
        arrivals = misses = 0
        may_have_run = False
        end, answer, why = End.UNREACHED, None, "nothing"
        while True:
            node, why = await self._node(x, tried, may_have_run, arrivals > 0)
            again = node is not None
            if again and arrivals:
                again = self.budget(x.service).take(self.clock(), self.edges)
                why = "budget" if not again else why
            if not again:
                break
            assert node is not None
            if answer is not None and answer.stream is not None:
                answer.stream.abort("tried again")
            answer, sent = await self._try(x, node, arrivals > 0)
            end, why = answer.end, answer.why or answer.end.value
            known = seen(node)
            tried.add(node.id)
            if sent:
                arrivals += 1
            else:
                misses += 1
                if arrivals:
                    self.budget(x.service).give_back(self.clock())
            if x.expired and end is End.LOST:
                end = End.SILENT
            if x.gone and (answer.end is End.LOST or not sent):
                self.counts["gone"] += 1
                x.own(502, "the client is gone")
                return
            if why != "full" and why != "too late":
                self._learn(known, end, answer.for_nothing, SHUN_OWNER if x.key >= 0 else SHUN_LAST)
            allowed = (
                arrivals < x.route.retry_count
                and misses <= MISSES
                and not x.body_gone
                and x.until - self.clock() > TOO_LATE
                and not x.expired
            )
            if x.key >= 0 and (why == "full" or end is End.TURNED_AWAY and answer.status != 421):
                allowed = False  # the only node that may run it is full
            if x.key >= 0 and PROOFS[end] is not Proof.NEVER_RAN:
                tried.discard(node.id)  # the only node that may run it
            if move(end, x.route.idempotent, may_have_run, allowed, answer.status) is not Move.AGAIN:
                break
            may_have_run = may_have_run or PROOFS[end] is Proof.MAY_HAVE_RUN
            self.counts["again"] += 1
        self._settle(x, move(end, x.route.idempotent, may_have_run, False, answer.status if answer else 0), answer, why)

    def _note(self, x: Exchange, cause: str) -> None:
        """Count how a request ended, by the rank of its route."""
        assert x.route is not None
        self.counts[f"{cause}, rank {x.route.priority}"] += 1

    def _settle(self, x: Exchange, what: Move, answer: Answer | None, why: str) -> None:
        assert x.route is not None
        if what is Move.PASS_ON:
            assert answer is not None
            if answer.end is not End.ANSWERED:
                self._note(x, f"failed at a node: {answer.status}")
            elif self.clock() - x.begun <= x.route.target_latency:
                self._note(x, "in time")
            else:
                self._note(x, f"after its aim: {x.way}")
            x.passed_on(answer)
            return
        if answer is not None and answer.stream is not None:
            answer.stream.abort("not passed on")
        if what is Move.COME_BACK:
            self._note(x, f"refused: {why}")
            x.own(503, why, come_back(self._wait(x) if why in FULL else HANDS_WAIT, self.luck.random()))
        elif what is Move.LATE:
            self._note(x, f"no answer by the deadline: {x.way}")
            x.own(504, "the deadline passed")
        else:
            self._note(x, f"unknown: {why}")
            x.own(502, why or "the node's answer was lost")

    def _wait(self, x: Exchange) -> float:
        """Seconds until a slot is likely free for a request that was refused since nodes are full."""
        if x.key < 0:
            nodes = self.view.by_service.get(x.service, [])
        else:
            sharding = self.view.shardings.get(x.service)
            owner = sharding.line(x.key).node if sharding is not None else None
            nodes = [owner] if owner is not None else []
        now = self.clock()
        return min((wait_at(node, now) for node in nodes if not node.draining), default=HANDS_WAIT)

    def _learn(self, known: Seen, end: End, for_nothing: bool, last: float) -> None:
        """Note how a try ended, and whether a refusal was `for_nothing`; a node in trouble is shunned for `last`
        seconds at most."""
        now = self.clock()
        if end in (End.LOST, End.UNREACHED, End.SILENT):
            known.failed += not known.hung  # that was told while it hung
            known.hung = False
            known.trouble(now, end is not End.UNREACHED, last)
        elif end is End.TURNED_AWAY:
            known.failed += for_nothing
            known.refused += not for_nothing
            known.well()
        elif end is End.FAILED:
            known.failed += 1
        else:
            known.ok += 1
            known.well()

    # -- a node

    async def _node(self, x: Exchange, tried: set[str], may_have_run: bool, offered: bool) -> tuple[Node | None, str]:
        """The node to offer the request to, waiting briefly if there is none; or None and the cause. `offered`: whether
        a node has had it already; only then does a further wait begin."""
        hold = min(_patience(x, self.clock() if offered else x.begun), x.until - TOO_LATE)
        while True:
            now = self.clock()
            if x.until - now <= TOO_LATE:
                return None, "no time left"
            if x.gone:
                return None, "the client is gone"
            node, why = self._owner(x, tried, now) if x.key >= 0 else self._best(x, tried, now, may_have_run)
            if node is not None:
                return node, ""
            if why == "full" or not await self._waited(x, self.waiting, hold):
                return None, why

    def _owner(self, x: Exchange, tried: set[str], now: float) -> tuple[Node | None, str]:
        sharding = self.view.shardings.get(x.service)
        line = sharding.line(x.key) if sharding is not None else None
        if line is None or line.node is None or not line.open or line.node.service != x.service:
            return None, "keys change hands"
        node = line.node
        known = seen(node)
        if known.shunned_until > now:
            return None, "its owner is not reached"
        if node.id in tried:
            return None, "its owner turned it away"
        if known.silent(now):
            return None, "its owner is silent"
        if not self._stays(node, now):
            return None, "its owner leaves"
        return (node, "") if self._worth(x, node, now) else (None, "full")

    def _stays(self, node: Node, now: float) -> bool:
        """Whether the node may still get requests, if nobody else can take them: it isn't draining, or not for long."""
        since = seen(node).draining_since
        return since is None or now - since < self.settings.bounds.drain_timeout * DRAIN_PART

    def _best(self, x: Exchange, tried: set[str], now: float, may_have_run: bool) -> tuple[Node | None, str]:
        nodes = self.view.by_service.get(x.service, [])
        size = max(x.length or 0, x.size)
        node = pick(nodes, now, self.settings.zone, self.luck, tried, size)
        if node is None:
            assert x.route is not None
            if x.route.idempotent and may_have_run:
                node = pick(nodes, now, self.settings.zone, self.luck, (), size)
            if node is None and not tried:
                node = min(
                    (n for n in nodes if n.draining and self._stays(n, now)), key=lambda n: load(n, now), default=None
                )
            if node is None:
                return None, "full" if tried else "no node"
        if self._worth(x, node, now):
            return node, ""
        for node in sorted((n for n in nodes if not n.draining and n.id not in tried), key=lambda n: load(n, now)):
            if seen(node).shunned_until <= now and not seen(node).silent(now) and self._worth(x, node, now):
                return node, ""
        return None, "full"

    def _worth(self, x: Exchange, node: Node, now: float) -> bool:
        assert x.route is not None
        known = seen(node)
        in_hand = known.usually(now) if yields(x.route.priority) else known.in_hand(now)
        return worth_offering(
            in_hand,
            node.capacity,
            now < node.cold_until,
            known.work,
            x.until - now,
            x.route.priority,
            not x.route.idempotent,
            x.route.target_latency,
        )

    async def _have_slot(self, x: Exchange) -> bool:
        """Have a descriptor for one more connection to a node: an idle one's, the one that has idled longest, or one
        that comes free while the request may wait."""
        assert x.route is not None
        while self.connection_slots.full:
            idle = min(
                (pool.idle[0] for pool in self.pools.values() if pool.idle), key=lambda c: c.idle_since, default=None
            )
            if idle is not None:
                idle.abort("room for another")
                await asyncio.sleep(0)  # its descriptor is free after a turn of the loop
            elif not await self._waited(x, self.connection_slots.waiting, min(_patience(x, x.begun), x.until)):
                return False
        return True

    async def _waited(self, x: Exchange, among: set[asyncio.Future], until: float) -> bool:
        """Wait among others to be woken, until a time; False if that has come, or nobody waits for the answer."""
        now = self.clock()
        if now >= until or x.gone or x.expired:
            return False
        x.waiter = asyncio.get_running_loop().create_future()
        among.add(x.waiter)
        timer = asyncio.get_running_loop().call_later(until - now, _wake, x.waiter)
        try:
            await x.waiter
        finally:
            timer.cancel()
            among.discard(x.waiter)
            x.waiter = None
        return True

    # -- a try

    @staticmethod
    def _way(x: Exchange, again: bool, now: float, cold: bool, quiet: bool) -> str:
        """What a request met with on its way to a node: the first of these that holds says most of why it is late."""
        assert x.route is not None
        if again:
            return "tried again"
        if now - x.begun > x.route.target_latency * HELD_PART:
            return "waited at the edge"
        if cold:
            return "a cold node"
        return "a node with room" if quiet else "a busy node"

    async def _try(self, x: Exchange, node: Node, fresh: bool) -> tuple[Answer, bool]:
        """Offer the request to a node: how that ended, and whether a byte was sent."""
        assert x.route is not None
        known = seen(node)
        pool = self.pools.get(node.id)
        if pool is None or pool.node is not node:
            if pool is not None:
                pool.close()
            pool = self.pools[node.id] = Pool(node, self.clock, self.connection_slots)
        connection = None if fresh else pool.reuse(not x.route.idempotent, x.attempt)
        if connection is None:
            bound = max(LEAST_CONNECTIONS, self.service(node.service).max_connections // max(1, self.edges))
            if len(pool.all) >= bound and not pool.shed():
                return Answer(End.UNREACHED, "full"), False
            if not await self._have_slot(x):
                return Answer(End.UNREACHED, "full"), False
            patience = max(CONNECT_LEAST, _patience(x, x.begun) - self.clock())
            try:
                connection = await pool.open(min(CONNECT, patience, max(0.0, x.until - self.clock())))
            except PeerError:
                self.counts["not connected"] += 1
                return Answer(End.UNREACHED, "not connected"), False
            self.counts["opened"] += 1
            if x.expired or x.gone:
                pool.put_back(connection)
                return Answer(End.UNREACHED, "too late"), False
            if not connection.ready(False):  # the node has ended it, or spoken unasked: nothing was sent
                connection.abort("not connected")
                self.counts["not connected"] += 1
                return Answer(End.UNREACHED, "not connected"), False
        now = self.clock()
        quiet = known.in_hand(now) < node.capacity
        x.way = self._way(x, fresh, now, now < node.cold_until, quiet)
        self.counts["sent"] += 1
        known.sent(now)
        answer = await x.sent_on(connection, max(1, int((x.until - now) * 1000)), node.id)
        took = self.clock() - now
        known.came_back(now + took)
        if answer.load is not None:
            known.told(now + took, *answer.load)
        if answer.end is End.ANSWERED:
            known.busy += took
            if quiet:
                known.worked(took)
        if answer.whole:
            x.connection = None
        return answer, True


def _patience(x: Exchange, since: float) -> float:
    """When a request that waits for a node since then is refused at the latest."""
    assert x.route is not None
    return since + max(0.0, x.route.target_latency * WAIT_PART - CLIENT_WAY)


def _wake(future: asyncio.Future) -> None:
    if not future.done():
        future.set_result(None)
