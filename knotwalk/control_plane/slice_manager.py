"""One conductor: drives the grant manager and the placer, which are pure, and makes their calls to nodes."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

from knotwalk.control_plane.consensus_driver import ConsensusDriver
from knotwalk.discovery.loads import LoadReports
from knotwalk.discovery.reachability import PeerReachability, UnreachedNodes
from knotwalk.discovery.view_publisher import ViewPublisher
from knotwalk.leases.actions import REFUSED, UNSENT, Grant, GrantTiming, Propose, Release
from knotwalk.leases.evidence import Event, Evidence, HolderCleared, NodeUnreachable
from knotwalk.leases.grant_manager import GrantManager
from knotwalk.placement.capacity import LoadReport, utilizations_by_node
from knotwalk.placement.placer import Placer
from knotwalk.runtime.decision_guard import DecisionGuard
from knotwalk.runtime.errors import PeerError
from knotwalk.runtime.http_client import ConnectionRefusedPeerError, HttpClient
from knotwalk.runtime.logs import clock, log_exception, log_info, log_warning
from knotwalk.runtime.units import format_duration

PLACEMENT_INTERVAL_S = 0.1  # between checks whether the placement is to be recomputed
# Calls in progress to one node at a time. A conductor that takes slices over grants all of them at once: 118 calls to
# one node opened so many connections that the node reset those over its limit, ours and the edges'. Four at a time
# complete in a tenth of a second. Releases (42 at once when a node leaves) are answered when the node's work has ended,
# so there are more slots than a node can have requests in progress.
MAX_CONCURRENT_CALLS = {"grant": 4, "release": 16}
CALL_QUEUE_TIMEOUT_S = 1.0  # a call's wait for a slot: as long as an unresponsive node holds the other calls up


def log_event(event: Event) -> None:
    """Log an event of the grant manager; none for a release, which is the ordinary case."""
    match event:
        case NodeUnreachable(node, address, refused):
            log_warning("node unreachable", node=node, address=list(address), refused=refused)
        case HolderCleared(node, service, evidence, slices, first) if evidence is not Evidence.RELEASED:
            log_info("holder cleared", node=node, service=service, by=evidence.value, slices=slices, first=first)


class SliceManager:
    """Acts only on slices that the replicated ledger leases to `me`, and only while that lease is valid."""

    def __init__(
        self,
        me: str,
        consensus: ConsensusDriver,
        view_publisher: ViewPublisher,
        loads: LoadReports,
        http_client: HttpClient,
        timing: GrantTiming,
        seed: int,
        propose: Callable[[dict], Awaitable[str | None]],
        zone: str = "",
        guard: DecisionGuard | None = None,
    ):
        self.guard = guard or DecisionGuard()
        self.me, self.consensus, self.view_publisher, self.loads, self.http_client = (
            me,
            consensus,
            view_publisher,
            loads,
            http_client,
        )
        self.timing, self.propose = timing, propose
        self.grant_manager = GrantManager(me, timing, seed, clock())
        self.peer_reachability = PeerReachability()
        self.placer = Placer(me, seed, zone)
        self.timer: asyncio.TimerHandle | None = None
        self.tasks: set[asyncio.Task] = set()
        self.call_slots: dict[tuple[tuple[str, int], str], asyncio.Semaphore] = {}  # by a node's address and call name
        self.stopped = False
        self.on_failure: Callable[[], None] = lambda: None
        self.cleared_counts: Counter[Evidence] = Counter()  # slices whose former holder was cleared, by evidence
        self.call_counts: Counter[tuple[str, str]] = Counter()  # by call and outcome

    def _advance(self, step: Callable[[], None]) -> None:
        """Have the grant manager take one step, and perform its actions.

        An error ends the process: half-applied, what is known of holders could let two nodes hold a key. The next
        process takes every node that the ledger names for a holder."""
        try:
            step()
            self.perform_actions()
        except Exception:
            log_exception("grants failed", slices=len(self.grant_manager.slice_leases))
            self.on_failure()
            raise

    def on_lease(self, until: float, index: int) -> None:
        """This core was granted a lease until `until`; the leader's log had reached `index` then."""
        self._advance(lambda: self.grant_manager.on_lease_proven(clock(), until, index))

    def on_ledger_change(self, replaced: bool = False) -> None:
        """An entry of the replicated ledger was applied, or (`replaced`) the whole ledger was replaced."""
        ledger = self.consensus.state.ledger
        changed = None if replaced else ledger.changed
        self._advance(lambda: self.grant_manager.on_ledger(clock(), ledger, changed))

    def on_nodes_changed(self) -> None:
        """The platform's list of nodes changed."""
        listed = {node.address for node in self.view_publisher.nodes.values()}
        self.call_slots = {key: slot for key, slot in self.call_slots.items() if key[0] in listed}
        self._advance(lambda: self.grant_manager.on_nodes_listed(clock(), self.view_publisher.nodes))

    def tick(self) -> None:
        """Advance the grant manager to the current time."""
        self._advance(lambda: self.grant_manager.tick(clock()))

    def stop(self) -> None:
        """Stop: nothing is granted, renewed or released from now on."""
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()

    def perform_actions(self) -> None:
        """Log the grant manager's events, perform its actions, and set the timer for its next tick."""
        if self.stopped:
            return
        grant_manager = self.grant_manager
        events, grant_manager.events = grant_manager.events, []
        for event in events:
            log_event(event)
            if isinstance(event, HolderCleared):
                self.cleared_counts[event.evidence] += event.slices
        while grant_manager.actions:
            actions, grant_manager.actions = grant_manager.actions, []
            for action in actions:
                match action:
                    case Grant():
                        self._spawn(self._grant(action))
                    case Release():
                        self._spawn(self._release(action))
                    case Propose():
                        self._spawn(self.propose(action.command))
        if self.timer is not None:
            self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_later(
            max(0.005, min(0.5, grant_manager.wake_at - clock())), self.tick
        )

    def _spawn(self, work: Awaitable) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _grant(self, action: Grant) -> None:
        payload = {
            "source_version": action.first_key,
            "target_version": action.last_key,
            "fence": action.fence,
            "hold": format_duration(action.hold),
        }
        if action.handover:
            payload["handover"] = action.handover
        await self._call(action, "grant", payload)

    async def _release(self, action: Release) -> None:
        await self._call(
            action,
            "release",
            {"source_version": action.first_key, "target_version": action.last_key, "fence": action.fence},
        )

    async def _call(self, action: Grant | Release, step: str, payload: dict) -> None:
        """Wait for a slot, make the call if it may still be made, and report its outcome to the grant manager."""
        slot = self.call_slots.setdefault((action.address, step), asyncio.Semaphore(MAX_CONCURRENT_CALLS[step]))
        status: int | str | None = UNSENT
        handover = None
        try:
            async with asyncio.timeout(CALL_QUEUE_TIMEOUT_S):
                await slot.acquire()
        except TimeoutError:
            pass
        else:
            try:
                until = action.expires if isinstance(action, Grant) else self.grant_manager.lease_until
                if not self.stopped and clock() < until:  # the slot may have come too late
                    status, handover = await self._send_call(action, step, payload)
            finally:
                slot.release()
        self.call_counts[step, str(status or "silent")] += 1
        if not self.stopped:
            self._advance(lambda: self.grant_manager.on_call_ended(clock(), action, status, handover))

    async def _send_call(
        self, action: Grant | Release, step: str, payload: dict
    ) -> tuple[int | str | None, str | None]:
        host, port = action.address
        try:
            timeout_s = self.timing.call_timeout if step == "grant" else self.timing.release_timeout
            # If a release counted as answered while work goes on, two nodes would have the same keys. Answers of nodes
            # don't name their call, so each release has its own connection, on which no other answer can arrive.
            own_connection = step == "release"
            url = f"http://{host}:{port}/{step}"
            status, headers, _ = await self.http_client.send(
                "POST", url, payload, timeout_s, step, None, own_connection
            )
            return status, headers.get("handover")
        except ConnectionRefusedPeerError:
            return REFUSED, None
        except PeerError:
            return None, None
        except Exception:  # without the end of this call its keys would stay with nobody
            log_exception("call failed", step=step, node=action.node)
            return None, None

    async def run_placement(self) -> None:
        """Propose the moves that the placer wants, periodically."""
        while not self.stopped:
            await asyncio.sleep(PLACEMENT_INTERVAL_S)
            now = clock()
            if now >= self.grant_manager.lease_until or not self.view_publisher.nodes:
                continue
            moves: list[dict] = []
            with self.guard.protect("placement", nodes=len(self.view_publisher.nodes)):
                moves = self.plan_moves(now)
            for command in moves:
                log_info("moves", runs=len(command["moves"]), first=command["moves"][0])
                await self.propose(command)

    def plan_moves(self, now: float) -> list[dict]:
        """The placer's moves, if anything that it depends on has changed."""
        ledger = self.consensus.state.ledger
        unreachable = {id for id in self.view_publisher.nodes if self.grant_manager.is_unreachable(id)}
        lapsed = self.grant_manager.lapsed_slices(now)
        avoided = frozenset(self.peer_reachability.unreached_since(now))
        inputs = (
            ledger,
            ledger.index,
            self.view_publisher.nodes_order,
            unreachable,
            lapsed,
            avoided,
            self.view_publisher.outliers,
        )
        if not self.placer.is_due(now, inputs):
            return []
        return self.placer.place(
            now, ledger, self.view_publisher.nodes, self.build_report(now, unreachable, lapsed, avoided)
        )

    def unreached(self, now: float) -> UnreachedNodes | None:
        """The nodes that this core can't reach, for the other cores; None if it reaches all."""
        nodes = self.grant_manager.unreached(now)
        return UnreachedNodes(self.me, nodes) if nodes else None

    def build_report(
        self, now: float, unreachable: set[str], lapsed: frozenset[tuple[str, int]], avoided: frozenset[str]
    ) -> LoadReport:
        """The placer's input besides the ledger and the list of nodes."""
        sums, spans = self.loads.window_sums(now)
        # Numbers of requests, not their durations: those grow with a node's queue, and would make the slices of a full
        # node seem heavier.
        demand = {
            service: {int(slice): count / spans[service] for slice, count in slices.items()}
            for service, slices in sums.get("demand", {}).items()
            if slices
        }
        utilization = utilizations_by_node(sums.get("nodes", {}), spans, self.view_publisher.nodes)
        return LoadReport(
            demand=demand,
            utilization=utilization,
            heard_at={id: now for id in utilization},
            demand_spans=spans,
            unreachable=unreachable,
            lapsed=lapsed,
            avoided=avoided,
            outliers=self.view_publisher.outliers,
        )
