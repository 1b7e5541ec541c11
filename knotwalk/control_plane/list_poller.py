"""The leader's work for all cores: polling the platform's list of nodes, and leasing slices to conductors."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

from knotwalk.control_plane.consensus_driver import ConsensusDriver, NotLeaderError, OutcomeUnknownError
from knotwalk.discovery.node_listing import InvalidPageError, NodeListing
from knotwalk.discovery.view_publisher import ViewPublisher
from knotwalk.discovery.view_types import Node, node_from_wire, node_to_wire
from knotwalk.leases.conductor_leases import LEADERSHIP_PROOF_S, ConductorLeases, hand_over, reassign
from knotwalk.leases.ledger import ranges
from knotwalk.runtime.decision_guard import DecisionGuard
from knotwalk.runtime.errors import PeerError
from knotwalk.runtime.http_client import HttpClient
from knotwalk.runtime.logs import clock, log_info, log_warning
from knotwalk.runtime.settings import Settings

# A fifth of the time that a drain is allowed; a few calls a second in all.
POLL_INTERVAL_S = 0.5
LEASE_CHECK_INTERVAL_S = 0.2


def group_by_conductor(leased: list[str], runs: list[list[int]]) -> dict[str, list[list[int]]]:
    """Split runs of slices by their current conductor; `leased` names each slice's conductor.

    >>> group_by_conductor(["a", "a", "b", "a"], [[0, 3]])
    {'a': [[0, 1], [3, 3]], 'b': [[2, 2]]}
    """
    slices_of: dict[str, list[int]] = {}
    for first, last in runs:
        for slice in range(first, last + 1):
            slices_of.setdefault(leased[slice], []).append(slice)
    return {before: ranges(slices) for before, slices in slices_of.items()}


class ListPoller:
    """Works only while this machine leads; the list goes to this core's view publisher and to the other cores."""

    def __init__(
        self,
        settings: Settings,
        consensus: ConsensusDriver,
        view_publisher: ViewPublisher,
        http_client: HttpClient,
        me: str,
        guard: DecisionGuard | None = None,
    ):
        self.guard = guard or DecisionGuard()
        self.settings, self.consensus, self.view_publisher, self.http_client, self.me = (
            settings,
            consensus,
            view_publisher,
            http_client,
            me,
        )
        self.conductor_leases: ConductorLeases | None = None
        self.list_revision = 0
        self.own_read: asyncio.Task | None = None
        self.own_read_at = float("-inf")
        self.on_nodes: Callable[[], None] = lambda: None

    def on_leadership(self, leads: bool) -> None:
        """This machine became the leader, or ceased to be it."""
        self.conductor_leases = ConductorLeases(clock()) if leads else None

    @property
    def is_proven(self) -> bool:
        """Whether no other machine can lead now: a majority answered this leader a moment ago."""
        machine = self.consensus.machine
        return (
            self.conductor_leases is not None
            and machine.role == "leader"
            and machine.is_commit_current
            and clock() - machine.majority_acked_at < LEADERSHIP_PROOF_S
        )

    def grant_lease(self, conductor: str) -> dict | None:
        """Grant a conductor its lease; None if this machine may not, since it isn't the confirmed leader."""
        if not self.is_proven or conductor not in self.consensus.machine.members:
            return None
        machine = self.consensus.machine
        return {
            "lease": self.conductor_leases.renew(clock(), conductor),
            "commit": machine.commit,
            "last": machine.log.last,
            "term": machine.term,
            "nodes": list(self.view_publisher.nodes_order),
        }

    def on_conductor_left(self, conductor: str) -> None:
        """A conductor reported that it acts on no lease any more."""
        if self.conductor_leases is not None:
            self.conductor_leases.on_left(clock(), conductor)

    # --- leases of slices -------------------------------------------------------------------------

    async def maintain_leases(self) -> None:
        """Check the leases of all services periodically, while this machine leads."""
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            if not self.is_proven or self.consensus.machine.applied < self.consensus.machine.commit:
                continue
            self.grant_lease(self.me)
            conductor_leases = self.conductor_leases
            for service in list(self.consensus.state.ledger.slices):
                with self.guard.protect("lease balance", service=service, conductors=len(conductor_leases.ends_at)):
                    await self.maintain_service(conductor_leases, service)

    def is_current(self, conductor_leases: ConductorLeases) -> bool:
        """Whether `conductor_leases` is still valid: this core has led since they began, and is confirmed."""
        return self.conductor_leases is conductor_leases and self.is_proven

    async def maintain_service(self, conductor_leases: ConductorLeases, service: str) -> None:
        """Check the leases of one service.

        Each proposal waits for its commit. Meanwhile leadership may be lost, or lost and regained, and a conductor that
        seemed gone may be granted a lease again: all conditions are checked again before the next proposal."""
        slices = self.consensus.state.ledger.slices.get(service)
        if not self.is_current(conductor_leases) or slices is None:
            return
        now = clock()
        leased = [s.conductor for s in slices]
        conductor_leases.end_replaced(now, leased, self.consensus.machine.members)
        for conductor, leased_runs in reassign(conductor_leases, now, leased).items():
            log_info("slices leased", service=service, to=conductor, runs=leased_runs)
            for before, runs in group_by_conductor(leased, leased_runs).items():
                if not await self.move_lease(conductor_leases, service, before, conductor, runs):
                    return
        slices = self.consensus.state.ledger.slices.get(service, ())
        if self.is_current(conductor_leases) and (handover := hand_over(conductor_leases, clock(), slices)):
            log_info("slices handed over", service=service, by=handover[0], to=handover[1], runs=handover[2])
            conductor_leases.note_hand_over(clock())
            await self.propose_lease(service, *handover)

    async def move_lease(
        self, conductor_leases: ConductorLeases, service: str, before: str, to: str, runs: list[list[int]]
    ) -> bool:
        """Lease slices of `before` to `to`, if by now `before` certainly may not act and `to` may; returns whether it
        was done."""
        now = clock()
        may_not_act = (
            not before or not conductor_leases.is_alive(now, before) and conductor_leases.has_ended(now, before)
        )
        if not self.is_current(conductor_leases) or not may_not_act or not conductor_leases.is_alive(now, to):
            return False
        return await self.propose_lease(service, before, to, runs)

    async def propose_lease(self, service: str, before: str, to: str, runs: list[list[int]]) -> bool:
        """Propose that slices leased by `before` are leased by `to`; returns whether it was committed."""
        conductor_leases = self.conductor_leases
        if conductor_leases is None:
            return False
        try:
            await self.consensus.propose(
                {
                    "do": "lease",
                    "from": before,
                    "to": to,
                    "early": conductor_leases.has_recent_hand_over(clock()),
                    "slices": {service: runs},
                }
            )
            return True
        except (NotLeaderError, OutcomeUnknownError):
            return False

    # --- the platform's list ----------------------------------------------------------------------

    async def poll(self) -> None:
        """Read the list periodically while leading; if that fails, the last list stays."""
        failing, term = 0, -1
        while True:
            if not self.is_proven or self.settings.platform.address is None:
                await asyncio.sleep(0.03)  # a new leader reads the list at once: starting edges wait for it
                continue
            if term == self.consensus.machine.term:
                await asyncio.sleep(POLL_INTERVAL_S if not failing else min(2.0, 0.3 * failing))
            term = self.consensus.machine.term
            listing, why = None, "a page can't be parsed"
            with self.guard.protect("platform list"):
                try:
                    listing = await self.read()
                except (PeerError, InvalidPageError) as error:
                    why = str(error)
            if listing is None:
                failing += 1
                if failing in (1, 10, 100):
                    log_warning("platform list can't be read", why=why, times=failing)
                continue
            failing = 0
            if self.is_proven and term == self.consensus.machine.term:
                self.publish(term, listing)

    def publish(self, term: int, listing: NodeListing) -> None:
        """Publish the list that this leader has read, if it has changed."""
        self.list_revision += 1
        if not self.view_publisher.set_nodes((term, self.list_revision), listing.nodes, True):
            return
        log_info(
            "list",
            order=self.view_publisher.nodes_order,
            nodes=len(listing.nodes),
            draining=sum(n.draining for n in listing.nodes.values()),
        )
        self.on_nodes()
        asyncio.get_running_loop().create_task(self.send_list_to_cores())

    async def own_nodes(self) -> dict[str, Node]:
        """The list as this machine reads it itself, for edges that start while nobody leads; empty if it can't be read.

        All who ask within POLL_INTERVAL_S share one reading: of three cores that start together, none reads more often
        than a leader does."""
        if self.settings.platform.address is None:
            return {}
        if self.own_read is None or clock() - self.own_read_at >= POLL_INTERVAL_S:
            self.own_read, self.own_read_at = asyncio.get_running_loop().create_task(self._read_own_nodes()), clock()
        return await asyncio.shield(self.own_read)

    async def _read_own_nodes(self) -> dict[str, Node]:
        """The list's nodes; empty if it can't be read. Doesn't raise: all who asked may have given up by then, and
        nobody would handle the error."""
        try:
            return (await self.read()).nodes
        except (PeerError, InvalidPageError):
            return {}

    async def read(self) -> NodeListing:
        """Read all pages of the platform's list; PeerError or InvalidPageError."""
        host, port = self.settings.platform.address
        listing, token = NodeListing(), ""
        while token is not None:
            query = f"?page_token={token}" if token else ""
            status, _, data = await self.http_client.send(
                "GET", f"http://{host}:{port}/nodes{query}", None, 1.0, "list"
            )
            if status != 200:
                raise PeerError("list", f"{host}:{port}", f"status {status}")
            try:
                page = json.loads(data)
            except ValueError as error:
                raise PeerError("list", f"{host}:{port}", f"no JSON: {error}") from None
            token = listing.add_page(clock(), page)
        return listing

    def list_message(self) -> dict:
        """The list as cores send it to each other."""
        now = clock()
        return {
            "order": list(self.view_publisher.nodes_order),
            "nodes": {i: node_to_wire(n, now) for i, n in self.view_publisher.nodes.items()},
        }

    async def send_list_to_cores(self) -> None:
        """Send the list to every other core; one that misses it asks for it when a lease's answer names a newer one."""
        message = self.list_message()
        own = self.consensus.machine.members.get(self.me)
        await asyncio.gather(
            *(
                self.http_client.json("POST", f"http://{address}/nodes", message, 0.6, "tell nodes")
                for address in self.consensus.machine.members.values()
                if address != own
            ),
            return_exceptions=True,
        )

    def on_list_message(self, message: dict) -> None:
        """Apply the list that the leader sent."""
        now = clock()
        nodes = {id: node_from_wire(id, raw, now) for id, raw in message["nodes"].items()}
        if self.view_publisher.set_nodes(tuple(message["order"]), nodes):
            self.on_nodes()
