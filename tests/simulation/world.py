"""The simulated system of a walk: cores, edges, operators, nodes and the platform's list of nodes, from one seed."""

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

MAX_LOG_LINES = 400  # of the programs' log, for the report of a walk with violations


@dataclass
class CoreMachine:
    """A machine for a core: its disk, its process if one runs, its clock, and the seeds in its settings."""

    host: str
    disk: Disk
    offset: float
    rate: float
    seeds: list[str]
    first_start: bool
    process: CoreProcess | None = None
    retired: bool = False  # taken out of service for good


@dataclass
class World:
    """All machines and programs of one walk. Faults change them (`faults`), judges observe them."""

    seed: int
    core_count: int = 3
    sharded: bool = False
    keyed: bool = False  # whether operations run once, so that cores have consensus groups for claims
    limited: bool = False  # whether requests of tenants with limits are sent
    tolerance: int | None = None  # machines that may be lost at once, as in the settings; None: just under half
    node_count: int = 3
    edge_count: int = 2
    core_machines: dict[str, CoreMachine] = field(default_factory=dict)
    log_lines: deque = field(default_factory=lambda: deque(maxlen=MAX_LOG_LINES))

    def __post_init__(self) -> None:
        self.random = random.Random(f"world {self.seed}")
        self.tolerated = self.core_count // 2 if self.tolerance is None else self.tolerance
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
        founders = [f"10.0.0.{n + 1}" for n in range(self.core_count)]
        for host in founders:
            self._add_core_machine(host, founders, True)
        self.operators = Operators(self)

    def log(self, process: Process, event: str, fields: dict) -> None:
        """Record a line of a program's log."""
        self.log_lines.append((round(self.loop.now, 4), process.name, event, fields))

    # -- cores

    def _add_core_machine(self, host: str, seeds: list[str], first_start: bool) -> CoreMachine:
        disk = Disk(self.loop, host, self.seed)
        offset, rate = self.random.uniform(0, 1000), self.random.choice((1.0, 0.995, 1.005))
        self.core_machines[host] = core = CoreMachine(host, disk, offset, rate, list(seeds), first_start)
        return core

    def start(self) -> None:
        """Start all programs."""
        platform = Process(self.loop, "platform", PLATFORM[0])
        self.wire.listening[f"{PLATFORM[0]}:{PLATFORM[1]}"] = platform, {"*": self._listed}
        for _ in range(self.node_count):
            self.add_node()
        for core in list(self.core_machines.values()):
            self.start_core(core)
        for n in range(self.edge_count):
            self.start_edge(f"e{n}")
        self.operators.start()
        self.loop.world.spawn(self.keys.watch())
        if self.quota is not None:
            self.loop.world.spawn(self.quota.load())

    def tenants(self, content: Content) -> list[dict]:
        """The tenants' items in the document of a content."""
        return keys_judge.tenants(content) + (quota_judge.tenants(content) if self.limited else [])

    def start_core(self, core: CoreMachine) -> None:
        """Start a core's program from what its disk holds."""
        if core.process is not None or core.retired:
            return
        core.process = CoreProcess(
            self.loop, f"{core.host}/{self.loop.serial}", core.host, core.disk, core.offset, core.rate
        )
        bounds = quota_judge.BOUNDS if self.limited else Bounds()
        core.process.begin(settings(core.host, core.seeds, core.first_start, self.tolerated, self.keyed, bounds))

    def crash(self, core: CoreMachine) -> None:
        """Kill a core's program; its disk keeps or loses the write in progress."""
        if core.process is not None:
            core.process.kill()
            core.disk.power_lost()
            core.process = None
            for at in [at for at, (process, _) in self.wire.listening.items() if not process.alive]:
                del self.wire.listening[at]

    def wipe(self, core: CoreMachine) -> None:
        """Replace a core's disk by an empty one; its seeds then name the cores in service besides some former ones."""
        if core.process is not None and core.process.machine is not None:
            before = {process for process in self.loop.processes if process.host == core.host}
            self.consensus_judge.wiped[core.process.machine.me] = before
        self.crash(core)
        there = [one.host for one in self.core_machines.values() if not one.retired]
        core.seeds = [*core.seeds, *there]
        core.disk, core.first_start = Disk(self.loop, core.host, self.seed + self.loop.serial), False

    def add_core(self, seeds: list[str]) -> CoreMachine:
        """Start a core on a new machine at a new address."""
        self.hosts += 1
        core = self._add_core_machine(f"10.0.1.{self.hosts}", seeds, False)
        self.start_core(core)
        return core

    def retire(self, core: CoreMachine) -> None:
        """Remove a core machine and its disk for good."""
        self.crash(core)
        core.retired = True

    def failed_decisions(self) -> list[str]:
        """Errors of decisions that the programs have passed over."""
        guards = [(process, getattr(process, "guard", None)) for process in self.loop.processes]
        return [
            f"{process.name}: {decision} failed: {error}"
            for process, guard in guards
            if guard is not None
            for decision, error in guard.errors.items()
        ]

    def running(self) -> list[CoreMachine]:
        return [core for core in self.core_machines.values() if core.process is not None and core.process.machine]

    def leader(self) -> CoreMachine | None:
        """The leader of the newest term."""
        leads = [core for core in self.running() if core.process.machine.role == "leader"]
        return max(leads, key=lambda core: core.process.machine.term, default=None)

    def can_lose_a_core(self) -> bool:
        """Whether every group has all members running and up to date, so that any core may be lost."""
        groups = range(messages.PARTITION_COUNT) if self.keyed else ()
        return (
            self.tolerated > 0
            and self._can_lose_a_member(None)
            and all(self._can_lose_a_member(group) for group in groups)
        )

    def _can_lose_a_member(self, group: int | None) -> bool:
        """The same for one group: the configuration's (None), or one for claims."""
        running = [(core.process, core.process.member(group)) for core in self.running()]
        leads = [machine for _, machine in running if machine.role == "leader"]
        machine = max(leads, key=lambda one: one.term, default=None)
        if machine is None:
            return False
        homes = {one.me: (process, one) for process, one in running if not process.frozen}
        # What counts is what the other members have on disk, not what their programs hold in memory.
        return (
            machine.is_commit_current
            and machine.commit == machine.log.last
            and len(machine.members) >= self.core_count
            and all(id in homes for id in machine.members)
            and all(self._holds(*homes[id], machine, group) for id in machine.members)
        )

    def _holds(self, process: CoreProcess, machine: Any, leader: Any, group: int | None) -> bool:
        disk = process.disk if group is None else process.disk.folder(f"claims-{group}")
        saved = disk.kept.saved if disk.kept else None
        if saved is None or machine.leaving:
            return False
        last = saved.entries[-1].index if saved.entries else saved.snapshot_index
        # Followers of a claims group learn of a commit with the next entries: there, the entry on disk is enough.
        applied = group is not None or machine.applied >= leader.commit
        return saved.term == leader.term and last >= leader.commit and applied

    # -- edges

    def start_edge(self, name: str) -> None:
        """Start an edge, or restart it, without any state."""
        if (before := self.edge_processes.get(name)) is not None:
            before.kill()
        process = Process(self.loop, f"{name}/{self.loop.serial}", name, self.random.uniform(0, 1000))
        self.edge_processes[name] = process
        view = ClusterView()
        seeds = [f"{core.host}:{PEERS}" for core in self.core_machines.values() if not core.retired][:5]
        process.edge_counts = []  # type: ignore[attr-defined]

        def on_update(changed: set[str], edges: int) -> None:
            process.edge_counts.append(edges)  # type: ignore[attr-defined]
            self.edge_judge.on_update(process.name, view)

        view_poller = ViewPoller(
            name,
            view,
            EdgeCaller(self, process.name, view),  # type: ignore[arg-type]
            seeds,
            self.random.randrange(1 << 30),
            "z",
            dict,
            on_update,
            keys_judge.freshness(),
        )
        process.view_poller, process.guard = view_poller, view_poller.guard  # type: ignore[attr-defined]
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
        """Kill a node for good."""
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
    """The caller of an edge, which passes the answers of cores to the judge."""

    def __init__(self, world: World, edge: str, view: ClusterView):
        super().__init__(world.wire)
        self.world, self.edge, self.view = world, edge, view

    async def json(self, method: str, url: str, body: Any = None, timeout_s: float = 1.0, step: str = "call") -> Any:
        started_at = self.world.loop.now
        response = await self.send_for_response(method, url, body, timeout_s, step)
        answer = decode_json_response(step, url, response.status, response.body)
        # Judged by the process that answered: it may have ended since, and another may run on that machine.
        self.world.loop.call_soon(
            self.world.edge_judge.on_answer, self.edge, response.server, started_at, answer, self.view
        )
        return answer


class NodeProgram:
    """A node that accepts grants and releases by their fencing tokens, as the protocol requires."""

    def __init__(self, world: World, name: str, host: str):
        self.world, self.name, self.state = world, name, "ready"
        self.process = Process(world.loop, name, host, 0.0, world.random.choice((1.0, 0.99)))
        self.fences: dict[int, int] = {}
        self.held_until: dict[int, float] = {}
        self.keeps_longest_hold = int(name[1:]) % 2 == 0  # whether a shorter grant leaves a longer hold as it is
        self.grants = 0  # calls received

    @staticmethod
    def _slices(call: dict) -> range:
        return range(
            call["source_version"] // SLICE_WIDTH, min(SLICE_COUNT - 1, call["target_version"] // SLICE_WIDTH) + 1
        )

    async def grant(self, request: Any) -> Any:
        call, now = json.loads(request.body), self.world.loop.now
        slices = self._slices(call)
        self.grants += 1
        if any(self.fences.get(index, 0) > call["fence"] for index in slices):
            return SimpleNamespace(status=409, headers={}, body=b"{}")
        for index in slices:
            self.fences[index] = call["fence"]
            until = now + parse_duration(call["hold"]) / self.process.rate
            self.held_until[index] = max(until, self.held_until.get(index, until)) if self.keeps_longest_hold else until
            if not request.met_frozen:  # OWNER doesn't count grants that a node takes late
                self.world.owners.on_hold_started(now, self.name, index, self.held_until[index])
        return SimpleNamespace(status=200, headers={}, body=b"{}")

    async def release(self, request: Any) -> Any:
        call, now = json.loads(request.body), self.world.loop.now
        for index in self._slices(call):
            if self.fences.get(index, 0) > call["fence"]:
                continue
            self.fences[index] = call["fence"]
            if self.held_until.pop(index, 0) > now:
                self.world.owners.on_hold_ended(self.name, index)
        return SimpleNamespace(status=200, headers={"Handover": f"h-{self.name}"}, body=b"{}")
