"""One conductor: drives the pure keeper of leased slices and the placer, and makes their calls to nodes."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

from knotwalk.control_plane.consensus_driver import ConsensusDriver
from knotwalk.discovery.board import Board
from knotwalk.discovery.loads import Loads
from knotwalk.discovery.reachability import PeerReachability, UnreachedNodes
from knotwalk.leases.actions import REFUSED, UNSENT, Grant, GrantTiming, Propose, Release
from knotwalk.leases.evidence import Event, Evidence, HolderCleared, NodeUnreachable
from knotwalk.leases.grant_manager import GrantManager
from knotwalk.placement.capacity import Report, utilizations
from knotwalk.placement.placer import Placer
from knotwalk.runtime.call import Caller, Refused
from knotwalk.runtime.errors import PeerError
from knotwalk.runtime.logs import clock, log_exception, log_info, log_warning
from knotwalk.runtime.units import text

STEP = 0.1  # seconds between questions whether the placement is to be looked at
# Calls under way to one node. Who takes slices over grants all of them at once: 118 calls to one node opened so many
# connections that it reset those over its bound, ours and the edges'. Four at a time are done in a tenth of a second.
# Releases, 42 at once when a node leaves, are answered when work has ended: more lanes than it can have works in hand.
LANES = {"grant": 4, "release": 16}
LANE_WAIT = 1.0  # seconds that a call waits for its turn: as long as a node that says nothing holds the others up


def log_event(event: Event) -> None:
    """A line of the log for what the keeper found; none for the ordinary way, a release."""
    match event:
        case NodeUnreachable(node, address, refused):
            log_warning("node unreachable", node=node, address=list(address), refused=refused)
        case HolderCleared(node, service, evidence, slices, first) if evidence is not Evidence.RELEASED:
            log_info("holder cleared", node=node, service=service, by=evidence.value, slices=slices, first=first)


class SliceManager:
    """Acts only on slices that the agreed log leases to `me`, and only while its lease is proven."""

    def __init__(
        self,
        me: str,
        consensus: ConsensusDriver,
        board: Board,
        loads: Loads,
        caller: Caller,
        pace: GrantTiming,
        seed: int,
        propose: Callable[[dict], Awaitable[str | None]],
        zone: str = "",
    ):
        self.me, self.consensus, self.board, self.loads, self.caller = me, consensus, board, loads, caller
        self.pace, self.propose = pace, propose
        self.grant_manager = GrantManager(me, pace, seed, clock())
        self.peers_reach = PeerReachability()
        self.placer = Placer(me, seed, zone)
        self.timer: asyncio.TimerHandle | None = None
        self.tasks: set[asyncio.Task] = set()
        self.lanes: dict[tuple[tuple[str, int], str], asyncio.Semaphore] = {}  # by a node's address and the call
        self.stopped = False
        self.cleared: Counter[Evidence] = Counter()  # slices whose former holder was cleared
        self.calls: Counter[tuple[str, str]] = Counter()  # by call, and how it ended

    def leased(self, until: float, index: int) -> None:
        """A lease until then, given when the leader's log went to `index`."""
        self.grant_manager.on_lease_proven(clock(), until, index)
        self.carry_out()

    def look(self, whole: bool = False) -> None:
        """The agreed ledger took an entry, or stands anew."""
        ledger = self.consensus.state.ledger
        self.grant_manager.on_ledger(clock(), ledger, None if whole else ledger.changed)
        self.carry_out()

    def listed(self) -> None:
        """The platform's list is another."""
        self.grant_manager.on_nodes_listed(clock(), self.board.nodes)
        listed = {node.address for node in self.board.nodes.values()}
        self.lanes = {key: lane for key, lane in self.lanes.items() if key[0] in listed}
        self.carry_out()

    def tick(self) -> None:
        """Let the keeper see the time."""
        self.grant_manager.tick(clock())
        self.carry_out()

    def stop(self) -> None:
        """Act no more: nothing is granted, renewed or released from now on."""
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()

    def carry_out(self) -> None:
        """Log what the keeper found, make its calls, and see when to call it next."""
        if self.stopped:
            return
        grant_manager = self.grant_manager
        events, grant_manager.events = grant_manager.events, []
        for event in events:
            log_event(event)
            if isinstance(event, HolderCleared):
                self.cleared[event.evidence] += event.slices
        while grant_manager.actions:
            orders, grant_manager.actions = grant_manager.actions, []
            for order in orders:
                match order:
                    case Grant():
                        self._spawn(self._grant(order))
                    case Release():
                        self._spawn(self._release(order))
                    case Propose():
                        self._spawn(self.propose(order.command))
        if self.timer is not None:
            self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_later(
            max(0.005, min(0.5, grant_manager.wake_at - clock())), self.tick
        )

    def _spawn(self, work: Awaitable) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _grant(self, order: Grant) -> None:
        body = {
            "source_version": order.first_key,
            "target_version": order.last_key,
            "fence": order.fence,
            "hold": text(order.hold),
        }
        if order.handover:
            body["handover"] = order.handover
        await self._call(order, "grant", body)

    async def _release(self, order: Release) -> None:
        await self._call(
            order,
            "release",
            {"source_version": order.first_key, "target_version": order.last_key, "fence": order.fence},
        )

    async def _call(self, order: Grant | Release, step: str, body: dict) -> None:
        """Wait for a lane, make the call if it may still be begun, and tell the keeper how it ended."""
        lane = self.lanes.setdefault((order.address, step), asyncio.Semaphore(LANES[step]))
        status: int | str | None = UNSENT
        handover = None
        try:
            async with asyncio.timeout(LANE_WAIT):
                await lane.acquire()
        except TimeoutError:
            pass
        else:
            try:
                until = order.expires if isinstance(order, Grant) else self.grant_manager.lease_until
                if not self.stopped and clock() < until:  # its turn may have come late
                    status, handover = await self._sent(order, step, body)
            finally:
                lane.release()
        self.calls[step, str(status or "silent")] += 1
        if not self.stopped:
            self.grant_manager.on_call_ended(clock(), order, status, handover)
            self.carry_out()

    async def _sent(self, order: Grant | Release, step: str, body: dict) -> tuple[int | str | None, str | None]:
        host, port = order.address
        try:
            patience = self.pace.call_timeout if step == "grant" else self.pace.release_timeout
            # A release that counts as answered while work runs on would give the keys to two at once. Nodes name no
            # call in their answers, so each release has a connection of its own, on which no other answer can come.
            alone = step == "release"
            url = f"http://{host}:{port}/{step}"
            status, heads, _ = await self.caller.send("POST", url, body, patience, step, None, alone)
            return status, heads.get("handover")
        except Refused:
            return REFUSED, None
        except PeerError:
            return None, None

    async def place(self) -> None:
        """Propose what the placer wants moved, again and again."""
        while not self.stopped:
            await asyncio.sleep(STEP)
            now = clock()
            if now >= self.grant_manager.lease_until or not self.board.nodes:
                continue
            try:
                moves = self.moves(now)
            except Exception:  # a placement that fails must not end the renewals
                log_exception("placement failed")
                continue
            for command in moves:
                log_info("moves", runs=len(command["moves"]), first=command["moves"][0])
                await self.propose(command)

    def moves(self, now: float) -> list[dict]:
        """What the placer wants moved, if there is anything new to look at."""
        ledger = self.consensus.state.ledger
        unreachable = {id for id in self.board.nodes if self.grant_manager.is_unreachable(id)}
        lapsed = self.grant_manager.lapsed_slices(now)
        avoided = frozenset(self.peers_reach.since(now))
        news = ledger, ledger.index, self.board.nodes_order, unreachable, lapsed, avoided, self.board.ailing
        if not self.placer.due(now, news):
            return []
        return self.placer.place(now, ledger, self.board.nodes, self.report(now, unreachable, lapsed, avoided))

    def unreached(self, now: float) -> UnreachedNodes | None:
        """What to tell the other cores of nodes that this one does not reach; None where it reaches all."""
        nodes = self.grant_manager.unreached(now)
        return UnreachedNodes(self.me, nodes) if nodes else None

    def report(
        self, now: float, unreachable: set[str], lapsed: frozenset[tuple[str, int]], avoided: frozenset[str]
    ) -> Report:
        """What the placement goes by, besides the ledger and the list."""
        sums, spans = self.loads.sums(now)
        # Requests, not their seconds: those grow with a node's queue, and would make the slices of a full node heavier.
        demand = {
            service: {int(slice): count / spans[service] for slice, count in slices.items()}
            for service, slices in sums.get("demand", {}).items()
            if slices
        }
        told = utilizations(sums.get("nodes", {}), spans, self.board.nodes)
        return Report(
            demand=demand,
            utilization=told,
            heard={id: now for id in told},
            spans=spans,
            unreachable=unreachable,
            lapsed=lapsed,
            avoided=avoided,
            ailing=self.board.ailing,
        )
