"""What the agreed leader does for all: the platform's list, conductors' leases, slices without a conductor."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

from knotwalk.control_plane.consensus_driver import ConsensusDriver, Lost, NotLeader
from knotwalk.discovery.board import Board
from knotwalk.discovery.listing import Listing, Unusable
from knotwalk.discovery.view_types import Node, entry, node_of
from knotwalk.leases.conductor_leases import LEADERSHIP_PROOF_S, ConductorLeases, hand_over, reassign
from knotwalk.leases.ledger import ranges
from knotwalk.runtime.call import Caller
from knotwalk.runtime.errors import PeerError
from knotwalk.runtime.logs import clock, log_info, log_warning
from knotwalk.runtime.settings import Settings

POLL = 0.5  # seconds between readings of the list: a fifth of the time a drain is allowed, a few calls a second
STEP = 0.2  # seconds between looks at the leases


def by_conductor(leased: list[str], runs: list[list[int]]) -> dict[str, list[list[int]]]:
    """The runs of slices by who leases them now: `leased` names each slice's conductor.

    >>> by_conductor(["a", "a", "b", "a"], [[0, 3]])
    {'a': [[0, 1], [3, 3]], 'b': [[2, 2]]}
    """
    found: dict[str, list[int]] = {}
    for first, last in runs:
        for slice in range(first, last + 1):
            found.setdefault(leased[slice], []).append(slice)
    return {before: ranges(slices) for before, slices in found.items()}


class ListPoller:
    """Works only while this machine leads; what it finds goes on the board and to the other cores."""

    def __init__(self, settings: Settings, consensus: ConsensusDriver, board: Board, caller: Caller, me: str):
        self.settings, self.consensus, self.board, self.caller, self.me = settings, consensus, board, caller, me
        self.conductor_leases: ConductorLeases | None = None
        self.turn_of_list = 0
        self.own_list: asyncio.Task | None = None
        self.own_list_at = float("-inf")
        self.on_nodes: Callable[[], None] = lambda: None

    def role(self, leads: bool) -> None:
        """This machine leads from now on, or does no more."""
        self.conductor_leases = ConductorLeases(clock()) if leads else None

    @property
    def proven(self) -> bool:
        """Whether no other can lead now: a majority answered this leader a moment ago."""
        machine = self.consensus.machine
        return (
            self.conductor_leases is not None
            and machine.role == "leader"
            and machine.is_commit_current
            and clock() - machine.majority_acked_at < LEADERSHIP_PROOF_S
        )

    def lease(self, conductor: str) -> dict | None:
        """A conductor asks to act on; None if this machine may not say."""
        if not self.proven or conductor not in self.consensus.machine.members:
            return None
        machine = self.consensus.machine
        return {
            "lease": self.conductor_leases.renew(clock(), conductor),
            "commit": machine.commit,
            "last": machine.log.last,
            "term": machine.term,
            "nodes": list(self.board.nodes_order),
        }

    def leave(self, conductor: str) -> None:
        """A conductor said that it acts no more."""
        if self.conductor_leases is not None:
            self.conductor_leases.on_left(clock(), conductor)

    # --- slices without a conductor ---------------------------------------------------------------

    async def keep_leases(self) -> None:
        """Mind conductors' leases again and again, while this machine leads."""
        while True:
            await asyncio.sleep(STEP)
            if not self.proven or self.consensus.machine.applied < self.consensus.machine.commit:
                continue
            self.lease(self.me)
            conductor_leases = self.conductor_leases
            for service in list(self.consensus.state.ledger.slices):
                await self.mind(conductor_leases, service)

    def holds(self, conductor_leases: ConductorLeases) -> bool:
        """Whether what `tenure` says still counts: this machine has led ever since, and is proven."""
        return self.conductor_leases is conductor_leases and self.proven

    async def mind(self, conductor_leases: ConductorLeases, service: str) -> None:
        """One look at a service's leases. Each proposal waits for its commit; meanwhile leadership may be lost, also
        won anew, and a conductor that seemed gone may be given a lease: all is asked again before the next."""
        slices = self.consensus.state.ledger.slices.get(service)
        if not self.holds(conductor_leases) or slices is None:
            return
        now = clock()
        leased = [s.conductor for s in slices]
        conductor_leases.end_replaced(now, leased, self.consensus.machine.members)
        for conductor, found in reassign(conductor_leases, now, leased).items():
            log_info("slices leased", service=service, to=conductor, runs=found)
            for before, runs in by_conductor(leased, found).items():
                if not await self.take_from(conductor_leases, service, before, conductor, runs):
                    return
        slices = self.consensus.state.ledger.slices.get(service, ())
        if self.holds(conductor_leases) and (hand := hand_over(conductor_leases, clock(), slices)):
            log_info("slices handed over", service=service, by=hand[0], to=hand[1], runs=hand[2])
            conductor_leases.note_hand_over(clock())
            await self.give(service, *hand)

    async def take_from(
        self, conductor_leases: ConductorLeases, service: str, before: str, to: str, runs: list[list[int]]
    ) -> bool:
        """Lease what `before` leased to `to`, if by now the one surely may not act and the other may; says whether."""
        now = clock()
        gone = not before or not conductor_leases.is_alive(now, before) and conductor_leases.has_ended(now, before)
        if not self.holds(conductor_leases) or not gone or not conductor_leases.is_alive(now, to):
            return False
        return await self.give(service, before, to, runs)

    async def give(self, service: str, before: str, to: str, runs: list[list[int]]) -> bool:
        """Have it agreed on that slices which `before` leased are leased by `to`; whether it was."""
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
        except (NotLeader, Lost):
            return False

    # --- the platform's list ----------------------------------------------------------------------

    async def poll(self) -> None:
        """Read the list again and again while leading; a reading that fails leaves the last one in place."""
        failing, term = 0, -1
        while True:
            if not self.proven or self.settings.platform.address is None:
                await asyncio.sleep(0.03)  # a new leader reads at once: edges that start wait for the list
                continue
            if term == self.consensus.machine.term:
                await asyncio.sleep(POLL if not failing else min(2.0, 0.3 * failing))
            term = self.consensus.machine.term
            try:
                listing = await self.read()
            except (PeerError, Unusable) as error:
                failing += 1
                if failing in (1, 10, 100):
                    log_warning("the list can't be read", why=str(error), times=failing)
                continue
            failing = 0
            if not self.proven or term != self.consensus.machine.term:
                continue
            self.turn_of_list += 1
            if self.board.set_nodes((term, self.turn_of_list), listing.nodes, True):
                log_info(
                    "list",
                    order=self.board.nodes_order,
                    nodes=len(listing.nodes),
                    draining=sum(n.draining for n in listing.nodes.values()),
                )
                self.on_nodes()
                asyncio.get_running_loop().create_task(self.tell_cores())

    async def own_nodes(self) -> dict[str, Node]:
        """The list as this machine read it itself, for edges that start while nobody leads; empty if it can't be read.
        All who ask within POLL share a reading: of three cores that start at once none asks more often than a
        leader."""
        if self.settings.platform.address is None:
            return {}
        if self.own_list is None or clock() - self.own_list_at >= POLL:
            self.own_list, self.own_list_at = asyncio.get_running_loop().create_task(self._nodes_read()), clock()
        return await asyncio.shield(self.own_list)

    async def _nodes_read(self) -> dict[str, Node]:
        """The list's nodes; empty if it can't be read, which nobody may be left to hear: edges don't wait for ever."""
        try:
            return (await self.read()).nodes
        except (PeerError, Unusable):
            return {}

    async def read(self) -> Listing:
        """Read the platform's list, all pages; PeerError or Unusable."""
        host, port = self.settings.platform.address
        listing, token = Listing(), ""
        while token is not None:
            query = f"?page_token={token}" if token else ""
            status, _, data = await self.caller.send("GET", f"http://{host}:{port}/nodes{query}", None, 1.0, "list")
            if status != 200:
                raise PeerError("list", f"{host}:{port}", f"status {status}")
            try:
                page = json.loads(data)
            except ValueError as error:
                raise PeerError("list", f"{host}:{port}", f"no JSON: {error}") from None
            token = listing.add(clock(), page)
        return listing

    def list_message(self) -> dict:
        """The list as cores tell it each other."""
        now = clock()
        return {"order": list(self.board.nodes_order), "nodes": {i: entry(n, now) for i, n in self.board.nodes.items()}}

    async def tell_cores(self) -> None:
        """The list to every other core; one that misses it asks for it when a lease's answer names a newer one."""
        message = self.list_message()
        own = self.consensus.machine.members.get(self.me)
        await asyncio.gather(
            *(
                self.caller.json("POST", f"http://{at}/nodes", message, 0.6, "tell nodes")
                for at in self.consensus.machine.members.values()
                if at != own
            ),
            return_exceptions=True,
        )

    def listed(self, message: dict) -> None:
        """The leader told its list."""
        now = clock()
        nodes = {id: node_of(id, raw, now) for id, raw in message["nodes"].items()}
        if self.board.set_nodes(tuple(message["order"]), nodes):
            self.on_nodes()
