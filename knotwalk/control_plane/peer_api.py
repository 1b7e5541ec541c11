"""Calls between peers (openapi/peers.yaml): consensus, cluster views for edges, leases, lists of nodes, loads."""

from __future__ import annotations

import asyncio
import functools
from collections import Counter
from collections.abc import Awaitable, Callable

from sanic import HTTPResponse, Request, Sanic

from knotwalk.consensus.raft_types import OUTSIDER
from knotwalk.control_plane import status_report
from knotwalk.control_plane.claim_groups import CLAIMS_PATH, MESSAGES_PATH, ClaimGroups
from knotwalk.control_plane.consensus_driver import ConsensusDriver, NotLeaderError, OutcomeUnknownError
from knotwalk.control_plane.list_poller import ListPoller
from knotwalk.control_plane.slice_manager import SliceManager
from knotwalk.discovery.loads import EDGES_KNOWN_AFTER_S, LoadReports
from knotwalk.discovery.reachability import parse_unreached_nodes
from knotwalk.discovery.view_publisher import ViewPublisher
from knotwalk.discovery.view_types import KEY_COUNT, MAX_LEADER_SILENCE_S
from knotwalk.leases.conductor_leases import LEADERSHIP_PROOF_S, LEASE_REQUEST_INTERVAL_S
from knotwalk.runtime.decision_guard import DecisionGuard
from knotwalk.runtime.errors import PeerError
from knotwalk.runtime.http_client import HttpClient
from knotwalk.runtime.http_server import compressed_response, json_body, json_response, make_app
from knotwalk.runtime.logs import clock, log_warning

Handler = Callable[[Request], Awaitable[HTTPResponse]]

UPDATE_BATCH_DELAY_S = 0.004  # for updates that come together, so that they are sent together
FRESH_WAIT_S = 0.25  # how long an edge's call waits for a core about to become fresh, as after a start of all cores
MAX_WAIT_S = 5.0
# For this long after its start, a core serves edges that have no view what its disk alone holds. A core that starts
# together with the others is fresh after one to three seconds; one that knows no leader by the end of this period is
# cut off, and the others may have moved on.
PROVISIONAL_PERIOD_S = 10.0
LOAD_SHARE_INTERVAL_S = 1.0  # between reports of loads to the other cores


class PeerApi:
    """The port for calls of edges and other cores, and this core's own calls to the leader."""

    def __init__(
        self,
        me: str,
        consensus: ConsensusDriver,
        list_poller: ListPoller,
        conductor: SliceManager,
        view_publisher: ViewPublisher,
        loads: LoadReports,
        http_client: HttpClient,
        claims: ClaimGroups | None = None,
        guard: DecisionGuard | None = None,
    ):
        self.claims, self.guard = claims, guard or DecisionGuard()
        self.me, self.consensus, self.list_poller, self.conductor = me, consensus, list_poller, conductor
        self.view_publisher, self.loads, self.http_client = view_publisher, loads, http_client
        self.update_event = asyncio.Event()
        self.fresh_until = 0.0
        self.fresh_since = 0.0  # without a gap since then, if it is fresh now
        self.started_at = clock()
        self.leaving = False
        self.on_incarnation: Callable[[str], None] = lambda incarnation: None  # called for each edge that calls
        self.answer_bytes: Counter[str] = Counter()  # of bodies, by path
        # Handlers of other components, by path; to be set before `app` is called.
        self.extra_handlers: dict[str, Handler] = {}
        # By edge: when it called, and the epoch and revision of the cluster view that it had then.
        self.edge_calls: dict[str, tuple[float, str, int]] = {}

    def app(self) -> Sanic:
        """The port's application with its routes."""
        application = make_app("peers")
        for path, handler in (
            ("/consensus", self.handle_consensus),
            ("/cluster-view", self.handle_cluster_view),
            ("/lease", self.handle_lease),
            ("/proposal", self.handle_proposal),
            ("/nodes", self.handle_nodes),
            ("/loads", self.handle_loads),
            ("/status", self.handle_status),
            ("/explain", self.handle_explain),
            *self.extra_handlers.items(),
            *(
                ((MESSAGES_PATH, self.handle_claim_group_messages), (CLAIMS_PATH, self.handle_claims))
                if self.claims
                else ()
            ),
        ):
            application.add_route(self.count_bytes(path, handler), path, methods=["POST"], error_format="text")
        return application

    def count_bytes(self, path: str, handler: Handler) -> Handler:
        """Wrap a handler so that the bytes of its answers are counted."""

        @functools.wraps(handler)
        async def counted(request: Request) -> HTTPResponse:
            response = await handler(request)
            self.answer_bytes[path] += len(response.body or b"")
            return response

        return counted

    # --- consensus --------------------------------------------------------------------------------

    async def handle_consensus(self, request: Request) -> HTTPResponse:
        """Handle consensus messages of the configuration's group; the answer carries the replies."""
        return json_response(self.consensus.exchange(json_body(request)))

    async def handle_claim_group_messages(self, request: Request) -> HTTPResponse:
        """Handle consensus messages of the claim groups; the answer carries the replies."""
        assert self.claims is not None
        return json_response(await self.claims.exchange(json_body(request)))

    async def handle_claims(self, request: Request) -> HTTPResponse:
        """Answer claims that another core sends to this one as the leader of their groups."""
        assert self.claims is not None
        return json_response(await self.claims.handle_claims(json_body(request)))

    async def handle_proposal(self, request: Request) -> HTTPResponse:
        """Propose a conductor's command, if this machine leads."""
        try:
            return json_response({"said": await self.consensus.propose(json_body(request), 2.0)})
        except (NotLeaderError, OutcomeUnknownError):
            return json_response({"error": "not agreed on here"}, 503)

    async def propose(self, command: dict) -> str | None:
        """Have a command of this core's conductor committed; None if the outcome is unknown (it may still be)."""
        machine = self.consensus.machine
        try:
            if machine.role == "leader":
                return await self.consensus.propose(command, 2.0)
            if machine.leader:
                reply = await self.http_client.json(
                    "POST", f"http://{machine.leader}/proposal", command, 2.2, "proposal"
                )
                return reply["said"]
        except (NotLeaderError, OutcomeUnknownError, PeerError, KeyError):
            pass
        return None

    # --- leases and freshness ---------------------------------------------------------------------

    async def handle_lease(self, request: Request) -> HTTPResponse:
        """Grant a conductor its lease, or record that it leaves."""
        payload = json_body(request)
        if payload.get("leaving"):
            self.list_poller.on_conductor_left(payload["conductor"])
            return json_response({})
        grant = self.list_poller.grant_lease(payload["conductor"])
        return json_response(grant) if grant else json_response({"error": "not the proven leader"}, 503)

    async def maintain_lease(self) -> None:
        """Renew this core's lease periodically; each answer also has the commit index, so how fresh this core is."""
        while True:
            sent, machine = clock(), self.consensus.machine
            grant = None
            if machine.role == "leader":
                grant = self.list_poller.grant_lease(self.me)
            elif machine.leader:
                try:
                    grant = await self.http_client.json(
                        "POST", f"http://{machine.leader}/lease", {"conductor": self.me}, 0.5, "lease"
                    )
                except PeerError:
                    grant = None
            if grant:
                if not self.leaving:
                    self.conductor.on_lease(sent + grant["lease"], grant["last"])
                for _ in range(20):
                    if machine.applied >= grant["commit"]:
                        if clock() >= self.fresh_until:
                            self.fresh_since = clock()
                            self.wake_edges()
                        self.fresh_until = sent + MAX_LEADER_SILENCE_S
                        break
                    await asyncio.sleep(0.02)
                if tuple(grant["nodes"]) > self.view_publisher.nodes_order and machine.leader:
                    await self.request_nodes(machine.leader)
            await asyncio.sleep(max(0.0, sent + (LEASE_REQUEST_INTERVAL_S if grant else 0.03) - clock()))

    async def request_nodes(self, leader: str) -> None:
        """Request the leader's list of nodes, which is newer than the one here."""
        try:
            self.list_poller.on_list_message(
                await self.http_client.json("POST", f"http://{leader}/nodes", {}, 0.6, "ask nodes")
            )
        except PeerError:
            pass

    async def handle_nodes(self, request: Request) -> HTTPResponse:
        """Apply the list that the leader sends; without a body, another core requests this core's list."""
        message = json_body(request)
        if not message:
            return json_response(self.list_poller.list_message())
        self.list_poller.on_list_message(message)
        return json_response({})

    # --- edges ------------------------------------------------------------------------------------

    def wake_edges(self) -> None:
        """The cluster view has changed: wake the calls of edges that wait for them."""
        self.update_event.set()
        self.update_event = asyncio.Event()

    async def handle_cluster_view(self, request: Request) -> HTTPResponse:
        """Answer an edge with the updates that it lacks: at once if there are any, else when there are, or when its
        wait is over."""
        payload = json_body(request)
        now = clock()
        self.loads.record_edge(now, payload["edge"])
        self.on_incarnation(payload.get("life", ""))
        self.edge_calls[payload["edge"]] = now, payload["epoch"], payload["at"]
        arrived = now
        if report := payload.get("report"):
            with self.guard.protect("load report", edge=payload["edge"], nodes=len(report.get("nodes", ()))):
                self.loads.add_report(now, report, True)
        until, fresh_by = now + min(MAX_WAIT_S, payload.get("wait", 0.0)), now + FRESH_WAIT_S
        provisional = await self.provisional_view(payload)
        while True:
            now = clock()
            fresh = self.is_fresh(now)
            update = self.view_publisher.changes_since(payload, now) if fresh else None
            if update is not None or now >= until or self.leaving or not fresh and (provisional or now >= fresh_by):
                break
            update_event = self.update_event
            try:
                async with asyncio.timeout(min(until, self.fresh_until if fresh else fresh_by) - now):
                    await update_event.wait()
                if fresh:
                    await asyncio.sleep(UPDATE_BATCH_DELAY_S)
            except TimeoutError:
                pass
        response = {
            "fresh": fresh,
            "zone": self.list_poller.settings.zone,
            "edges": self.loads.edge_count(now),
            "edges_known": self.knows_all_edges(now),
        }
        if fresh:
            response["proven"] = round(self.fresh_until - MAX_LEADER_SILENCE_S - LEADERSHIP_PROOF_S - arrived, 3)
        if update:
            response["news"] = update
        elif provisional and not fresh and self.may_serve_provisional():
            response["provisional"] = provisional
        return compressed_response(request, json_response(response))

    async def provisional_view(self, payload: dict) -> dict | None:
        """The view by which an edge that found no fresh core may serve until there is a leader: the configuration that
        this core's disk holds as committed, and the list of nodes as read here. None if the edge has as much already,
        or this core may not serve one."""
        if not self.has_newer_configuration(payload) or not self.may_serve_provisional():
            return None
        try:
            async with asyncio.timeout(FRESH_WAIT_S):
                nodes = await self.list_poller.own_nodes()
        except TimeoutError:
            return None
        if not self.may_serve_provisional():  # a leader was heard meanwhile, or this process was paused
            return None
        return self.view_publisher.provisional_view(nodes, clock())

    def has_newer_configuration(self, payload: dict) -> bool:
        """Whether the edge that calls has no view of a fresh core, and an older configuration than this core."""
        unsure = payload.get("bare") or payload.get("provisional")
        return (
            bool(unsure)
            and self.view_publisher.config is not None
            and payload.get("config", -1) < self.view_publisher.config[0]
        )

    def is_fresh(self, now: float) -> bool:
        """Whether edges may rely on this core's view."""
        return now < self.fresh_until and not self.leaving

    def knows_all_edges(self, now: float) -> bool:
        """Whether every edge has had the time to be counted here, by its own calls or by another core's report."""
        return self.is_fresh(now) and now - self.fresh_since >= EDGES_KNOWN_AFTER_S

    def may_serve_provisional(self) -> bool:
        """Whether this core started a moment ago, is a member as far as its disk knows, was not fresh since its start,
        and knows of no leader, not even indirectly: then the cores that start with it know no more than it does."""
        machine = self.consensus.machine
        recent = clock() - self.started_at < PROVISIONAL_PERIOD_S
        return (
            recent
            and not self.fresh_until
            and not self.leaving
            and machine.role != OUTSIDER
            and not machine.last_known_leader
        )

    # --- operators --------------------------------------------------------------------------------

    async def handle_status(self, request: Request) -> HTTPResponse:
        """Report this core's status; read-only."""
        now = clock()
        return json_response(
            status_report.status(
                now,
                self.me,
                self.consensus.machine,
                self.consensus.state,
                self.view_publisher,
                self.loads,
                self.is_fresh(now),
                self.edge_calls,
            )
        )

    async def handle_explain(self, request: Request) -> HTTPResponse:
        """Report the route that this core finds for a request, and the nodes that may run it."""
        try:
            payload = json_body(request)
            host, path, key = payload["host"], payload["path"], payload.get("key")
            if not (isinstance(host, str) and isinstance(path, str) and (key is None or 0 <= key < KEY_COUNT)):
                raise ValueError
        except (KeyError, TypeError, ValueError):
            return json_response(
                {"error": f"host and path must be strings, key (optional) a number below {KEY_COUNT}"}, 400
            )
        report = status_report.explain(clock(), self.consensus.state, self.view_publisher, host, path, key)
        return json_response(report | {"fresh": self.is_fresh(clock())})

    # --- loads ------------------------------------------------------------------------------------

    async def handle_loads(self, request: Request) -> HTTPResponse:
        """Apply another core's report of loads, edges, and nodes that it can't reach."""
        payload = json_body(request)
        now = clock()
        if unreached := payload.pop("unreached", None):
            self.conductor.peer_reachability.add_report(now, parse_unreached_nodes(unreached))
        for edge in payload.pop("edges", ()):
            self.loads.record_edge(now, edge, False)
        with self.guard.protect("load report", nodes=len(payload.get("nodes", ()))):
            self.loads.add_report(now, payload, False)
        return json_response({})

    async def share_loads(self) -> None:
        """Every LOAD_SHARE_INTERVAL_S, report the loads seen here to the other cores."""
        while True:
            await asyncio.sleep(LOAD_SHARE_INTERVAL_S)
            with self.guard.protect("outliers", nodes=len(self.view_publisher.nodes)):
                self.update_outliers()
            report = self.loads.take_unsent(clock())
            if unreached := self.conductor.unreached(clock()):
                report["unreached"] = unreached.to_dict()
            if report:
                await asyncio.gather(
                    *(
                        self.http_client.json("POST", f"http://{address}/loads", report, 0.6, "loads")
                        for id, address in self.consensus.machine.members.items()
                        if id != self.me
                    ),
                    return_exceptions=True,
                )

    def update_outliers(self) -> None:
        """Determine the outlier nodes from the reported loads; edges and the placement take them into account."""
        before = self.view_publisher.outliers
        if self.view_publisher.set_outliers(self.loads.outlier_detection.evaluate(clock(), self.view_publisher.nodes)):
            log_warning(
                "ailing nodes changed",
                ailing=sorted(self.view_publisher.outliers - before),
                recovered=sorted(before - self.view_publisher.outliers),
            )
            self.wake_edges()

    async def leave(self) -> None:
        """On SIGTERM: stop acting on the lease and report that; edges turn to other cores."""
        self.leaving = True
        self.conductor.stop()
        self.wake_edges()
        machine = self.consensus.machine
        if machine.role == "leader":
            self.list_poller.on_conductor_left(self.me)
        elif machine.leader:
            try:
                await self.http_client.json(
                    "POST", f"http://{machine.leader}/lease", {"conductor": self.me, "leaving": True}, 0.4, "leave"
                )
            except PeerError:
                pass
