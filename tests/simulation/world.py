"""A world of a walk: cores, edges, operators, nodes and the platform's list, under one seed."""

from __future__ import annotations

import json
import random
from collections import deque
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

from knotwalk.discovery.cluster_view import ClusterView
from knotwalk.discovery.view_types import SLICE_COUNT, SLICE_WIDTH
from knotwalk.edge.view_poller import ViewPoller
from knotwalk.runtime.errors import decode_json_response
from knotwalk.runtime.settings import Bounds
from knotwalk.runtime.units import parse_duration
from knotwalk.shared_state import messages
from tests.simulation import keys_judge, quota_judge
from tests.simulation.disk import Disk
from tests.simulation.judges import ConsensusJudge, EdgeJudge, Judge
from tests.simulation.loop import Process, VirtualLoop
from tests.simulation.operators import Operators
from tests.simulation.programs import PEERS, PLATFORM, CoreProcess, settings
from tests.simulation.register import Content, Register
from tests.simulation.wire import Caller, Wire
from tests.system.test_leases import OwnerChecker

EDGES = 2
LINES_KEPT = 400  # of what programs say, for the account of a broken walk


@dataclass
class Place:
    """A host of a core: its disk, the program that runs there if any, and the seeds that its settings name."""

    host: str
    disk: Disk
    offset: float
    rate: float
    seeds: list[str]
    first_start: bool
    process: CoreProcess | None = None
    gone: bool = False  # taken out of service for good


@dataclass
class World:
    """Everything of one walk. Faults act on it (`faults`), judges look on."""

    seed: int
    cores: int = 3
    sharded: bool = False
    keyed: bool = False  # whether operations run once, so that the core machines have groups for claims
    limited: bool = False  # whether requests of tenants with limits are sent
    places: dict[str, Place] = field(default_factory=dict)
    said: deque = field(default_factory=lambda: deque(maxlen=LINES_KEPT))

    def __post_init__(self) -> None:
        self.random = random.Random(f"world {self.seed}")
        self.loop = VirtualLoop(self.seed)
        self.wire = Wire(self.loop, self.seed)
        self.loop.disk = lambda process, future, act, given: act.__self__.disk.work(process, future, act, given)  # type: ignore
        self.judge = Judge()
        self.consensus_judge = ConsensusJudge(self.judge, self.loop)
        self.wire.on_message = self.consensus_judge.on_message
        self.register = Register()
        self.owners = OwnerChecker()
        self.edge_judge = EdgeJudge(self.judge, self.loop, self.register)
        self.keys = keys_judge.KeysJudge(self)
        self.quota = quota_judge.QuotaJudge(self) if self.limited else None
        self.edge_processes: dict[str, Process] = {}
        self.nodes: dict[str, NodeProgram] = {}
        self.hosts = 0
        founders = [f"10.0.0.{n + 1}" for n in range(self.cores)]
        for host in founders:
            self._place(host, founders, True)
        self.operators = Operators(self)

    def say(self, process: Process, event: str, fields: dict) -> None:
        """A line of a program's log."""
        self.said.append((round(self.loop.now, 4), process.name, event, fields))

    # -- cores

    def _place(self, host: str, seeds: list[str], first_start: bool) -> Place:
        disk = Disk(self.loop, host, self.seed)
        offset, rate = self.random.uniform(0, 1000), self.random.choice((1.0, 0.995, 1.005))
        self.places[host] = place = Place(host, disk, offset, rate, list(seeds), first_start)
        return place

    def start(self) -> None:
        """Begin it all."""
        platform = Process(self.loop, "platform", PLATFORM[0])
        self.wire.listening[f"{PLATFORM[0]}:{PLATFORM[1]}"] = platform, {"*": self._listed}
        for n in range(3):
            self.add_node()
        for place in list(self.places.values()):
            self.start_core(place)
        for n in range(EDGES):
            self.start_edge(f"e{n}")
        self.operators.start()
        self.loop.world.spawn(self.keys.watch())
        if self.quota is not None:
            self.loop.world.spawn(self.quota.load())

    def tenants(self, content: Content) -> list[dict]:
        """The tenants of a content, as they are sent."""
        return keys_judge.tenants(content) + (quota_judge.tenants(content) if self.limited else [])

    def start_core(self, place: Place) -> None:
        """Start the program of a place from what its disk holds."""
        if place.process is not None or place.gone:
            return
        place.process = CoreProcess(
            self.loop, f"{place.host}/{self.loop.serial}", place.host, place.disk, place.offset, place.rate
        )
        bounds = quota_judge.BOUNDS if self.limited else Bounds()
        place.process.begin(settings(place.host, place.seeds, place.first_start, self.cores // 2, self.keyed, bounds))

    def crash(self, place: Place) -> None:
        """The program ends in the midst of whatever it does; what its disk was writing is kept or is not."""
        if place.process is not None:
            place.process.kill()
            place.disk.power_lost()
            place.process = None
            for at in [at for at, (process, _) in self.wire.listening.items() if not process.alive]:
                del self.wire.listening[at]

    def wipe(self, place: Place) -> None:
        """Its disk is lost; a new one is empty. Who sets it up names machines that are there, beside some that were."""
        self.crash(place)
        there = [one.host for one in self.places.values() if not one.gone]
        place.seeds = [*place.seeds, *there]
        place.disk, place.first_start = Disk(self.loop, place.host, self.seed + self.loop.serial), False

    def add_core(self, seeds: list[str]) -> Place:
        """A new machine, at an address that was not there."""
        self.hosts += 1
        place = self._place(f"10.0.1.{self.hosts}", seeds, False)
        self.start_core(place)
        return place

    def retire(self, place: Place) -> None:
        """A machine is taken away for good, and its disk with it."""
        self.crash(place)
        place.gone = True

    def running(self) -> list[Place]:
        return [place for place in self.places.values() if place.process is not None and place.process.machine]

    def leader(self) -> Place | None:
        """Who leads by the newest term."""
        leads = [place for place in self.running() if place.process.machine.role == "leader"]
        return max(leads, key=lambda place: place.process.machine.term, default=None)

    def whole(self) -> bool:
        """Whether all members run and hold all that is committed, so that the core bears the loss of any one."""
        groups = range(messages.PARTITION_COUNT) if self.keyed else ()
        return self._whole(None) and all(self._whole(group) for group in groups)

    def _whole(self, group: int | None) -> bool:
        """The same of the configuration's group, or of one for claims."""
        running = [(place.process, place.process.member(group)) for place in self.running()]
        leads = [machine for _, machine in running if machine.role == "leader"]
        machine = max(leads, key=lambda one: one.term, default=None)
        if machine is None:
            return False
        homes = {one.me: (process, one) for process, one in running if not process.frozen}
        # The loss of a disk is borne once what is *kept* elsewhere needs it no more: by the disks, not by the programs.
        return (
            machine.is_commit_current
            and machine.commit == machine.log.last
            and len(machine.members) >= self.cores
            and all(id in homes for id in machine.members)
            and all(self._holds(*homes[id], machine, group) for id in machine.members)
        )

    def _holds(self, process: CoreProcess, machine: Any, leader: Any, group: int | None) -> bool:
        disk = process.disk if group is None else process.disk.folder(f"claims-{group}")
        saved = disk.kept.saved if disk.kept else None
        if saved is None or machine.leaving:
            return False
        last = saved.entries[-1].index if saved.entries else saved.snapshot_index
        # A group's followers hear of a commit with the next entries: there, what is kept is enough.
        applied = group is not None or machine.applied >= leader.commit
        return saved.term == leader.term and last >= leader.commit and applied

    # -- edges

    def start_edge(self, name: str) -> None:
        """An edge starts, bare."""
        if (before := self.edge_processes.get(name)) is not None:
            before.kill()
        process = Process(self.loop, f"{name}/{self.loop.serial}", name, self.random.uniform(0, 1000))
        self.edge_processes[name] = process
        view = ClusterView()
        seeds = [f"{place.host}:{PEERS}" for place in self.places.values() if not place.gone][:5]
        view_poller = ViewPoller(
            name,
            view,
            EdgeCaller(self, process.name, view),  # type: ignore[arg-type]
            seeds,
            self.random.randrange(1 << 30),
            "z",
            dict,
            lambda changed, edges: self.edge_judge.on_update(process.name, view),
            keys_judge.freshness(),
        )
        process.view_poller = view_poller  # type: ignore[attr-defined]
        process.spawn(view_poller.run())

    # -- the platform and its nodes

    def add_node(self) -> None:
        self.hosts += 1
        name = f"n{self.hosts}"
        node = NodeProgram(self, name, f"10.2.0.{self.hosts}")
        self.nodes[name] = node
        self.wire.listening[f"{node.process.host}:9000"] = (
            node.process,
            {"POST /grant": node.grant, "POST /release": node.release},
        )

    def lose_node(self, name: str) -> None:
        """A node dies."""
        node = self.nodes.pop(name)
        node.process.kill()
        self.owners.on_node_died(name)

    async def _listed(self, request: Any) -> Any:
        instances = {
            name: {
                "address": f"{node.process.host}:9000",
                "service": "s",
                "zone": "z",
                "capacity": 4,
                "state": node.state,
            }
            for name, node in self.nodes.items()
        }
        return SimpleNamespace(status=200, headers={}, body=json.dumps({"instances": instances}).encode())


class EdgeCaller(Caller):
    """An edge's calls to cores, looked on."""

    def __init__(self, world: World, edge: str, view: ClusterView):
        super().__init__(world.wire)
        self.world, self.edge, self.view = world, edge, view

    async def json(self, method: str, url: str, body: Any = None, patience: float = 1.0, step: str = "call") -> Any:
        begun = self.world.loop.now
        found = await self.answered(method, url, body, patience, step)
        told = decode_json_response(step, url, found.status, found.body)
        # By the process that answered, not by the one that runs there now: an answer may come after its giver's end.
        self.world.loop.call_soon(self.world.edge_judge.on_answer, self.edge, found.server, begun, told, self.view)
        return told


class NodeProgram:
    """A node that takes grants and releases by their fences, as its protocol says."""

    def __init__(self, world: World, name: str, host: str):
        self.world, self.name, self.state = world, name, "ready"
        self.process = Process(world.loop, name, host, 0.0, world.random.choice((1.0, 0.99)))
        self.seen: dict[int, int] = {}
        self.held: dict[int, float] = {}
        self.keeps_longest = int(name[1:]) % 2 == 0  # whether a shorter grant leaves a longer hold as it is
        self.grants = 0  # calls that came

    @staticmethod
    def _slices(asked: dict) -> range:
        return range(
            asked["source_version"] // SLICE_WIDTH, min(SLICE_COUNT - 1, asked["target_version"] // SLICE_WIDTH) + 1
        )

    async def grant(self, request: Any) -> Any:
        asked, at = json.loads(request.body), self.world.loop.now
        found = self._slices(asked)
        self.grants += 1
        if any(self.seen.get(k, 0) > asked["fence"] for k in found):
            return SimpleNamespace(status=409, headers={}, body=b"{}")
        for k in found:
            self.seen[k] = asked["fence"]
            until = at + parse_duration(asked["hold"]) / self.process.rate
            self.held[k] = max(until, self.held.get(k, until)) if self.keeps_longest else until
            self.world.owners.on_hold_started(at, self.name, k, self.held[k])
        return SimpleNamespace(status=200, headers={}, body=b"{}")

    async def release(self, request: Any) -> Any:
        asked, at = json.loads(request.body), self.world.loop.now
        for k in self._slices(asked):
            if self.seen.get(k, 0) > asked["fence"]:
                continue
            self.seen[k] = asked["fence"]
            if self.held.pop(k, 0) > at:
                self.world.owners.on_hold_ended(self.name, k)
        return SimpleNamespace(status=200, headers={"Handover": f"h-{self.name}"}, body=b"{}")
