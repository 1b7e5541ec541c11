"""Hollow fleets for benchmarks/capacity.py: as many edges and nodes as asked for, only what a core meets of them.

Proportions are the users': 7,900 nodes in 230 services, 45,000 requests a second and 12,000 routes for 630 edges. Half
of the services are sharded. Everything is drawn from a seed. One core's machines are the real ones, without sockets.
"""

import copy
import json
import random
from types import SimpleNamespace
from typing import Any

from benchmarks.configuration import made
from knotwalk.configuration.read import document
from knotwalk.control_plane.replicated_state import ReplicatedState
from knotwalk.control_plane.slice_manager import SliceManager
from knotwalk.discovery.board import Board
from knotwalk.discovery.loads import Loads
from knotwalk.discovery.view_types import SLICES, Node
from knotwalk.leases.keeper import Keeper
from knotwalk.leases.ledger import ranges
from knotwalk.leases.orders import Grant, Pace, Propose, Release
from knotwalk.placement.placer import Placer

EDGES, NODES, SERVICES, REQUESTS, ROUTES = 630, 7900, 230, 45_000, 12_000  # the users' size
ZONES = 8  # two regions of four
CORES = 3
TOLD_PART = 0.5  # of the services: their nodes tell their load in answers
HOT_PART, HOT_KEYS = 1 / 3, 0.01  # a third of the requests goes to a hundredth of the keys
BAD_PART = 0.002  # of tries that go wrong in calm times
STEP = 0.1  # s between a conductor's looks


class Fleet:
    """Nodes, services and what edges would report of them."""

    def __init__(self, edges: int, seed: int = 7) -> None:
        self.chance = random.Random(seed)
        self.edges = edges
        self.services = [f"service-{n}" for n in range(max(2, round(edges * SERVICES / EDGES)))]
        self.sharded = self.services[::2]
        self.requests = REQUESTS * edges / EDGES / edges  # a second, an edge
        self.routes = max(3, round(edges * ROUTES / EDGES))
        count = round(edges * NODES / EDGES)
        self.nodes = {}
        for n in range(count):
            self.nodes.update([self._node(n)])
        self.of_service: dict[str, list[str]] = {}
        for id, node in self.nodes.items():
            self.of_service.setdefault(node.service, []).append(id)

    def _node(self, n: int) -> tuple[str, Node]:
        id = f"i-{n:05x}-{n * 7919 % 65536:04x}"
        address = (f"10.{n >> 14}.{n >> 7 & 127}.{n & 127}", 8080)
        return id, Node(id, self.services[n % len(self.services)], address, f"zone-{n // 7 % ZONES}", 2)

    def joined(self) -> dict[str, Node]:
        """The list with one node more."""
        return {**self.nodes, **dict([self._node(len(self.nodes) + self.chance.randrange(1000))])}

    def drained(self) -> dict[str, Node]:
        """The list with one node draining."""
        id = self.chance.choice(list(self.nodes))
        node = copy.copy(self.nodes[id])
        node.draining = True
        return {**self.nodes, id: node}

    def page(self) -> bytes:
        """The platform's list as one page."""
        return json.dumps(
            {
                "instances": {
                    id: {
                        "id": id,
                        "service": x.service,
                        "address": f"{x.address[0]}:{x.address[1]}",
                        "zone": x.zone,
                        "config_version": "v1",
                        "capacity": x.capacity,
                        "state": "ready",
                        "warmup_left": "0ms",
                    }
                    for id, x in self.nodes.items()
                },
                "next_token": None,
            }
        ).encode()

    def configuration(self) -> dict:
        """The operators' document: routes over all services, half of these sharded."""
        raw = made(self.routes, max(1, self.routes // 100))
        routes = raw["objects"][: self.routes]
        for n, item in enumerate(routes):
            service = self.services[n % len(self.services)]
            item["specification"]["traffic_split"] = [{"service": service, "weight": 100}]
        services = [
            {
                "object_kind": "services",
                "metadata": {"name": name},
                "specification": {"max_connections": 130} | ({"sharded": True} if name in self.sharded else {}),
            }
            for name in self.services
        ]
        return {"config_version": "r1", "objects": routes + services}

    def report(self, owners: dict[str, list[str]]) -> dict:
        """What one edge tells of one second: the forwarder's form."""
        demand: dict[str, dict[int, int]] = {}
        nodes: dict[str, list[float]] = {}
        bad: dict[str, list[int]] = {}
        for _ in range(round(self.requests)):
            service = self.chance.choice(self.services)
            if service in owners:
                slice = self._slice()
                line = demand.setdefault(service, {})
                line[slice] = line.get(slice, 0) + 1
                id = owners[service][slice]
            else:
                id = self.chance.choice(self.of_service[service])
            self._met(id, nodes, bad)
        return {"demand": demand, "nodes": nodes, "bad": bad}

    def _slice(self) -> int:
        hot = self.chance.random() < HOT_PART
        return int(self.chance.random() * (HOT_KEYS if hot else 1.0) * SLICES)

    def _met(self, id: str, nodes: dict[str, list[float]], bad: dict[str, list[int]]) -> None:
        if self.services.index(self.nodes[id].service) < TOLD_PART * len(self.services):
            row = nodes.setdefault(id, [0, 0, 2])
            row[0] += self.chance.choice((0, 1, 1, 2))
            row[1] += 1
        else:
            row = nodes.setdefault(id, [0, 0, 2, 0, 0, 0, 0.0])
            row[3] += 1
            row[6] = round(row[6] + 0.08, 4)
        if self.chance.random() < BAD_PART:
            bad[id] = [1, 0]


class Core:
    """One conductor with its record, board and loads; the other two only own what the ledger says."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self.now, self.index = fleet, 100.0, 1
        self.names = [f"core-{n}" for n in range(CORES)]
        self.state, self.board, self.loads = ReplicatedState(), Board("hollow"), Loads()
        consensus: Any = SimpleNamespace(state=self.state)
        self.manager = SliceManager(
            self.names[0], consensus, self.board, self.loads, None, Pace(), 1, self._propose, "zone-0"
        )
        self.keeper = self.manager.keeper = Keeper(self.names[0], Pace(), 1, self.now)
        self.grants: list[Grant] = []

    async def _propose(self, command: dict) -> str | None:
        """Not called: `settle` carries orders out itself."""

    def lay_out(self) -> None:
        """Configuration, list, leases, and the first laying-out by three real placers."""
        self.commit({"do": "configure", "base": 0, "version": 1, "digest": "x", "document": self.fleet.configuration()})
        self.board.set_config(self.state.order, document(self.state.configuration))
        self.board.set_nodes((1, 1), self.fleet.nodes, True)
        self.keeper.nodes(self.now, self.fleet.nodes)
        third = SLICES // CORES + 1
        for n, name in enumerate(self.names):
            runs = [[n * third, min(SLICES, (n + 1) * third) - 1]]
            self.commit({"do": "lease", "from": None, "to": name, "slices": dict.fromkeys(self.fleet.sharded, runs)})
        placers = [Placer(name, n, f"zone-{n}") for n, name in enumerate(self.names)]
        placers[0] = self.manager.placer
        for _ in range(60):
            for placer in placers:
                report = self.manager.report(0.0, set(), frozenset())
                for command in placer.place(self.now, self.state.ledger, self.fleet.nodes, report):
                    self.commit(command)
            if all(x.owner for line in self.state.ledger.slices.values() for x in line):
                break
            self.now += 0.6
        for name in self.names[1:]:
            self._opened(name)
        self.keeper.look(self.now, self.state.ledger)

    def _opened(self, name: str) -> None:
        """The other conductors' slices are granted."""
        fences: dict[int, dict[str, list[int]]] = {}
        for service, line in self.state.ledger.slices.items():
            for k, x in enumerate(line):
                if x.conductor == name:
                    fences.setdefault(x.fence, {}).setdefault(service, []).append(k)
        for fence, slices in fences.items():
            named = {service: ranges(found) for service, found in slices.items()}
            self.commit({"do": "granted", "by": name, "fence": fence, "slices": named})

    def commit(self, command: dict) -> None:
        """An entry of the log: to the state, the board and the keeper."""
        self.index += 1
        _, changes = self.state.apply(self.index, json.loads(json.dumps(command)))
        by_service: dict[str, dict[int, tuple[str, bool]]] = {}
        for change in changes:
            by_service.setdefault(change.service, {})[change.slice] = (change.owner, change.open)
        for service, lines in by_service.items():
            self.board.set_lines(self.index, service, lines)
        self.keeper.look(self.now, self.state.ledger, self.state.ledger.touched)

    def turn(self) -> None:
        """A tenth of a second of the keeper's: every node answers at once."""
        self.now += STEP
        self.keeper.leased(self.now, self.now + 2.0, self.index)
        self.keeper.tick(self.now)
        while self.keeper.orders:
            orders, self.keeper.orders = self.keeper.orders, []
            for order in orders:
                if isinstance(order, Propose):
                    self.commit(order.command)
                else:
                    if isinstance(order, Grant):
                        self.grants.append(order)
                    assert not isinstance(order, Release), "nobody moves here"
                    self.keeper.answered(self.now, order, 200)
            self.keeper.tick(self.now)

    def owners(self) -> dict[str, list[str]]:
        """Owner of each slice, by service."""
        return {service: [x.owner for x in line] for service, line in self.state.ledger.slices.items()}


def grant_body(order: Grant) -> bytes:
    """What a grant's call carries."""
    return json.dumps(
        {"source_version": order.first_key, "target_version": order.last_key, "fence": order.fence, "hold": "6000ms"}
    ).encode()
