"""Calls between peers (openapi/peers.yaml): agreement, cluster views for edges, leases, lists, loads."""

from __future__ import annotations

import asyncio
import functools
from collections import Counter
from collections.abc import Awaitable, Callable

from sanic import HTTPResponse, Request, Sanic

from knotwalk.consensus.raft_types import OUTSIDER
from knotwalk.control_plane import account
from knotwalk.control_plane.claim_groups import CLAIMS, MESSAGES, ClaimGroups
from knotwalk.control_plane.consensus_driver import ConsensusDriver, Lost, NotLeader
from knotwalk.control_plane.list_poller import ListPoller
from knotwalk.control_plane.slice_manager import SliceManager
from knotwalk.discovery.board import Board
from knotwalk.discovery.loads import Loads
from knotwalk.discovery.reachability import unreached_nodes
from knotwalk.discovery.view_types import FRESH, KEYS
from knotwalk.leases.conductor_leases import LEADERSHIP_PROOF_S, LEASE_REQUEST_INTERVAL_S
from knotwalk.runtime.call import Caller
from knotwalk.runtime.errors import PeerError
from knotwalk.runtime.logs import clock, log_warning
from knotwalk.runtime.serve import answer, app, body, packed

Handler = Callable[[Request], Awaitable[HTTPResponse]]

GATHER = 0.004  # news that come together go together
STALE_WAIT = 0.25  # an edge's call waits so long for a core that is about to be fresh, as after a start of all
WAIT_MOST = 5.0
# Seconds of a life in which edges that have nothing are told what the disk alone holds. A core whose fellows start
# with it is fresh in one to three; who still knows no leader after this is cut off, and the others may have moved on.
PROVISIONAL = 10.0
SHARE = 1.0  # seconds between tellings of loads to the other cores


class PeerApi:
    """The port on which this core is called by edges and other cores, and its own calls to the leader."""

    def __init__(
        self,
        me: str,
        consensus: ConsensusDriver,
        list_poller: ListPoller,
        conductor: SliceManager,
        board: Board,
        loads: Loads,
        caller: Caller,
        claims: ClaimGroups | None = None,
    ):
        self.claims = claims
        self.me, self.consensus, self.list_poller, self.conductor = me, consensus, list_poller, conductor
        self.board, self.loads, self.caller = board, loads, caller
        self.news = asyncio.Event()
        self.fresh_until = 0.0
        self.started = clock()
        self.leaving = False
        self.on_life: Callable[[str], None] = lambda life: None  # hears of each edge's program that calls
        self.told: Counter[str] = Counter()  # bytes of bodies answered, by path
        self.parts: dict[str, Handler] = {}  # calls answered by other parts of this core, by path; set before `app`
        self.asked: dict[str, tuple[float, str, int]] = {}  # by edge: when it called here, and what it had then

    def app(self) -> Sanic:
        """The port's routes."""
        made = app("peers")
        for path, handler in (
            ("/consensus", self.messages),
            ("/cluster-view", self.view),
            ("/lease", self.lease),
            ("/proposal", self.proposal),
            ("/nodes", self.nodes),
            ("/loads", self.share),
            ("/status", self.status),
            ("/explain", self.explain),
            *self.parts.items(),
            *(((MESSAGES, self.group_messages), (CLAIMS, self.claimed)) if self.claims else ()),
        ):
            made.add_route(self.counted(path, handler), path, methods=["POST"], error_format="text")
        return made

    def counted(self, path: str, handler: Handler) -> Handler:
        """The same handler, the bytes of its answers counted."""

        @functools.wraps(handler)
        async def answered(request: Request) -> HTTPResponse:
            found = await handler(request)
            self.told[path] += len(found.body or b"")
            return found

        return answered

    # --- agreement --------------------------------------------------------------------------------

    async def messages(self, request: Request) -> HTTPResponse:
        """Messages of the agreement, answered by those that go back."""
        return answer(self.consensus.exchange(body(request)))

    async def group_messages(self, request: Request) -> HTTPResponse:
        """Messages of the groups that agree on claims."""
        assert self.claims is not None
        return answer(await self.claims.exchange(body(request)))

    async def claimed(self, request: Request) -> HTTPResponse:
        """Claims that another core asks of this one, as the leader of their groups."""
        assert self.claims is not None
        return answer(await self.claims.taken(body(request)))

    async def proposal(self, request: Request) -> HTTPResponse:
        """A conductor's command for the log, taken by the leader only."""
        try:
            return answer({"said": await self.consensus.propose(body(request), 2.0)})
        except (NotLeader, Lost):
            return answer({"error": "not agreed on here"}, 503)

    async def propose(self, command: dict) -> str | None:
        """Have a command of this conductor agreed on; None if its outcome is unknown (it may yet come)."""
        machine = self.consensus.machine
        try:
            if machine.role == "leader":
                return await self.consensus.propose(command, 2.0)
            if machine.leader:
                reply = await self.caller.json("POST", f"http://{machine.leader}/proposal", command, 2.2, "proposal")
                return reply["said"]
        except (NotLeader, Lost, PeerError, KeyError):
            pass
        return None

    # --- leases and freshness ---------------------------------------------------------------------

    async def lease(self, request: Request) -> HTTPResponse:
        """A conductor asks for its lease, or says that it leaves."""
        asked = body(request)
        if asked.get("leaving"):
            self.list_poller.leave(asked["conductor"])
            return answer({})
        given = self.list_poller.lease(asked["conductor"])
        return answer(given) if given else answer({"error": "not the proven leader"}, 503)

    async def keep_lease(self) -> None:
        """Ask for the lease again and again; each answer also says what was agreed on, so how fresh we are."""
        while True:
            sent, machine = clock(), self.consensus.machine
            given = None
            if machine.role == "leader":
                given = self.list_poller.lease(self.me)
            elif machine.leader:
                try:
                    given = await self.caller.json(
                        "POST", f"http://{machine.leader}/lease", {"conductor": self.me}, 0.5, "lease"
                    )
                except PeerError:
                    given = None
            if given:
                if not self.leaving:
                    self.conductor.leased(sent + given["lease"], given["last"])
                for _ in range(20):
                    if machine.applied >= given["commit"]:
                        if clock() >= self.fresh_until:
                            self.changed()
                        self.fresh_until = sent + FRESH
                        break
                    await asyncio.sleep(0.02)
                if tuple(given["nodes"]) > self.board.nodes_order and machine.leader:
                    await self.ask_nodes(machine.leader)
            await asyncio.sleep(max(0.0, sent + (LEASE_REQUEST_INTERVAL_S if given else 0.03) - clock()))

    async def ask_nodes(self, leader: str) -> None:
        """Ask the leader for a list that is newer than the one here."""
        try:
            self.list_poller.listed(await self.caller.json("POST", f"http://{leader}/nodes", {}, 0.6, "ask nodes"))
        except PeerError:
            pass

    async def nodes(self, request: Request) -> HTTPResponse:
        """The leader tells its list; or, without a body, another core asks for it."""
        message = body(request)
        if not message:
            return answer(self.list_poller.list_message())
        self.list_poller.listed(message)
        return answer({})

    # --- edges ------------------------------------------------------------------------------------

    def changed(self) -> None:
        """The board has news: wake the edges that wait."""
        self.news.set()
        self.news = asyncio.Event()

    async def view(self, request: Request) -> HTTPResponse:
        """What the edge lacks, at once if there is any, else as soon as there is, or after its wait."""
        asked = body(request)
        now = clock()
        self.loads.heard(now, asked["edge"])
        self.on_life(asked.get("life", ""))
        self.asked[asked["edge"]] = now, asked["epoch"], asked["at"]
        arrived = now
        if asked.get("report"):
            self.loads.add(now, asked["report"], True)
        until, patient = now + min(WAIT_MOST, asked.get("wait", 0.0)), now + STALE_WAIT
        provisional = await self.provisional(asked)
        while True:
            now = clock()
            fresh = self.fresh(now)
            message = self.board.since(asked, now) if fresh else None
            if message is not None or now >= until or self.leaving or not fresh and (provisional or now >= patient):
                break
            news = self.news
            try:
                await asyncio.wait_for(news.wait(), min(until, self.fresh_until if fresh else patient) - now)
                if fresh:
                    await asyncio.sleep(GATHER)
            except TimeoutError:
                pass
        told = {"fresh": fresh, "zone": self.list_poller.settings.zone, "edges": self.loads.count(now)}
        if fresh:
            told["proven"] = round(self.fresh_until - FRESH - LEADERSHIP_PROOF_S - arrived, 3)
        if message:
            told["news"] = message
        elif provisional and not fresh and self.alone():
            told["provisional"] = provisional
        return packed(request, answer(told))

    async def provisional(self, asked: dict) -> dict | None:
        """What an edge that heard no fresh core may serve by until there is a leader: what the disk here holds as
        committed, and the list as read here. None where it has as much already, or `alone` does not hold."""
        if not self.has_more(asked) or not self.alone():
            return None
        try:
            nodes = await asyncio.wait_for(self.list_poller.own_nodes(), STALE_WAIT)
        except TimeoutError:
            return None
        if not self.alone():  # a leader was heard meanwhile, or this process stood still
            return None
        return self.board.provisional(nodes, clock())

    def has_more(self, asked: dict) -> bool:
        """Whether the edge that asks goes by no fresh core's word, and by an older configuration than this one's."""
        unsure = asked.get("bare") or asked.get("provisional")
        return bool(unsure) and self.board.config is not None and asked.get("config", -1) < self.board.config[0]

    def fresh(self, now: float) -> bool:
        """Whether edges may go by what this core tells."""
        return now < self.fresh_until and not self.leaving

    def alone(self) -> bool:
        """Whether this core only just started, is a member as far as its disk knows, was not fresh in this life, and
        knows no leader, not even by hearsay: then those that start with it know no more."""
        machine = self.consensus.machine
        young = clock() - self.started < PROVISIONAL
        return (
            young
            and not self.fresh_until
            and not self.leaving
            and machine.role != OUTSIDER
            and not machine.last_known_leader
        )

    # --- operators --------------------------------------------------------------------------------

    async def status(self, request: Request) -> HTTPResponse:
        """This core's account of itself; nothing changes by it."""
        now = clock()
        return answer(
            account.status(
                now,
                self.me,
                self.consensus.machine,
                self.consensus.state,
                self.board,
                self.loads,
                self.fresh(now),
                self.asked,
            )
        )

    async def explain(self, request: Request) -> HTTPResponse:
        """Where this core holds that a request belongs."""
        try:
            asked = body(request)
            host, path, key = asked["host"], asked["path"], asked.get("key")
            if not (isinstance(host, str) and isinstance(path, str) and (key is None or 0 <= key < KEYS)):
                raise ValueError
        except (KeyError, TypeError, ValueError):
            return answer({"error": f"host and path are texts, key a number below {KEYS}, if any"}, 400)
        told = account.explain(clock(), self.consensus.state, self.board, host, path, key)
        return answer(told | {"fresh": self.fresh(clock())})

    # --- loads ------------------------------------------------------------------------------------

    async def share(self, request: Request) -> HTTPResponse:
        """Another core tells what it heard of loads, edges, and nodes that it does not reach."""
        raw = body(request)
        now = clock()
        if word := raw.pop("unreached", None):
            self.conductor.peers_reach.hear(now, unreached_nodes(word))
        for edge in raw.pop("edges", ()):
            self.loads.heard(now, edge, False)
        self.loads.add(now, raw, False)
        return answer({})

    async def share_loads(self) -> None:
        """Tell the other cores each SHARE seconds what was heard here."""
        while True:
            await asyncio.sleep(SHARE)
            self.judge()
            told = self.loads.take(clock())
            if unreached := self.conductor.unreached(clock()):
                told["unreached"] = unreached.to_dict()
            if told:
                await asyncio.gather(
                    *(
                        self.caller.json("POST", f"http://{at}/loads", told, 0.6, "loads")
                        for id, at in self.consensus.machine.members.items()
                        if id != self.me
                    ),
                    return_exceptions=True,
                )

    def judge(self) -> None:
        """Which nodes ail, by what was heard; told to the edges and minded by the placement."""
        before = self.board.ailing
        if self.board.set_ailing(self.loads.ailing.judge(clock(), self.board.nodes)):
            log_warning("nodes ail", found=sorted(self.board.ailing - before), back=sorted(before - self.board.ailing))
            self.changed()

    async def leave(self) -> None:
        """SIGTERM: act on no lease any more and say so; edges go elsewhere."""
        self.leaving = True
        self.conductor.stop()
        self.changed()
        machine = self.consensus.machine
        if machine.role == "leader":
            self.list_poller.leave(self.me)
        elif machine.leader:
            try:
                await self.caller.json(
                    "POST", f"http://{machine.leader}/lease", {"conductor": self.me, "leaving": True}, 0.4, "leave"
                )
            except PeerError:
                pass
