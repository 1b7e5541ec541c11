"""Faults of a walk: a list that is drawn from the seed before the walk begins, so that any of them can be left out.

A fault has a time and a kind. Two numbers choose the machine and the variant from those that exist when it is injected.
Disks are lost only while the control plane can lose a core without losing data; all other faults come at any time, and
several may overlap.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from tests.simulation.aimed import AIMED_FAULTS
from tests.simulation.loop import Process
from tests.simulation.programs import CoreProcess
from tests.simulation.wide_faults import WIDE_FAULTS, plan_wide_faults
from tests.simulation.wire import Cut
from tests.simulation.world import CoreMachine, World

AIMED_WALK_INTERVAL = 6  # every so many walks, one has only faults of one kind that are aimed at a moment
AIMED_FAULT_INTERVAL_S = 4.5  # between aimed faults


@dataclass(frozen=True)
class Fault:
    """A fault: time, kind, duration, and two numbers from 0 to 1 that choose the machine and the variant."""

    at: float
    kind: str
    duration_s: float
    target: float
    variant: float


def plan(seed: int, span: float) -> list[Fault]:
    """The faults of a walk of `span` seconds."""
    if seed % AIMED_WALK_INTERVAL == AIMED_WALK_INTERVAL - 1:
        return _plan_aimed_faults(seed, span)
    chance = random.Random(f"faults {seed}")
    every = chance.choice((0.15, 0.3, 0.6, 1.2))
    # Each walk has a few frequent kinds: repeating one kind finds other mistakes than mixing them evenly.
    weights = [chance.choice((0, 1, 1, 4)) for _ in FAULTS]
    if not any(weights):
        weights = [1] * len(FAULTS)
    faults, at = [], chance.uniform(0.0, 2.0)
    while at < span:
        kind = chance.choices(list(FAULTS), weights)[0]
        duration_s = chance.choice((0.05, 0.3, 0.8, 2.0, 5.0, 20.0)[: 4 if every < 0.3 else 6])
        faults.append(Fault(round(at, 3), kind, min(duration_s, span - at), chance.random(), chance.random()))
        at += chance.expovariate(1 / every)
    faults += (
        _plan_node_cuts(seed, span)
        + _plan_edge_cuts(seed, span)
        + [Fault(*arguments) for arguments in plan_wide_faults(seed, span)]
    )
    return sorted(faults, key=lambda fault: fault.at)


def _plan_node_cuts(seed: int, span: float) -> list[Fault]:
    """Cuts between nodes and cores, drawn separately so that they do not change a seed's other faults."""
    chance = random.Random(f"nodes {seed}")
    times = [chance.uniform(0.0, span) for _ in range(int(span / 4))]
    return [
        Fault(round(at, 3), "nodes unreached", chance.choice((1.0, 3.0, 9.0)), chance.random(), chance.random())
        for at in times
    ]


def _plan_edge_cuts(seed: int, span: float) -> list[Fault]:
    """Cuts between an edge and all cores, drawn separately; some outlast the edge's lease on the tenants' keys."""
    chance = random.Random(f"edges {seed}")
    times = [chance.uniform(0.0, span) for _ in range(int(span / 10))]
    return [
        Fault(round(at, 3), "edge alone", chance.choice((3.0, 9.0)), chance.random(), chance.random()) for at in times
    ]


def _plan_aimed_faults(seed: int, span: float) -> list[Fault]:
    """Aimed faults of one kind, far enough apart that the effects of one have ended before the next."""
    chance = random.Random(f"aimed {seed}")
    kind = list(AIMED_FAULTS)[seed // AIMED_WALK_INTERVAL % len(AIMED_FAULTS)]
    times = [AIMED_FAULT_INTERVAL_S * (n + chance.uniform(0.3, 0.7)) for n in range(int(span / AIMED_FAULT_INTERVAL_S))]
    return [Fault(round(at, 3), kind, 3.0, chance.random(), chance.random()) for at in times]


def _pick(world: World, target: float) -> CoreMachine | None:
    """The leader in a third of the cases, otherwise any core in service."""
    if target < 0.33 and (leader := world.leader()) is not None:
        return leader
    core_machines = [core for core in world.core_machines.values() if not core.retired]
    return core_machines[int(target * 7919) % len(core_machines)] if core_machines else None


def _call_later(world: World, wait: float, act: Callable[[], None]) -> None:
    world.loop.world.soon(act, wait=wait)


def _crash_core(world: World, fault: Fault, core: CoreMachine) -> None:
    world.crash(core)
    if fault.variant < 0.4:
        world.wire.silent_hosts.add(core.host)

    def back() -> None:
        world.wire.silent_hosts.discard(core.host)
        world.start_core(core)

    _call_later(world, fault.duration_s, back)


def _crash_all_cores(world: World, fault: Fault, core: CoreMachine) -> None:
    """Crash all cores at once; they restart one after the other, some of them late."""
    for index, peer in enumerate(list(world.core_machines.values())):
        world.crash(peer)
        _call_later(
            world,
            0.2 + fault.duration_s * (index * (1 + fault.variant) % 1.7),
            lambda peer=peer: world.start_core(peer),  # type: ignore
        )


def _freeze_for(world: World, process: Process, duration_s: float) -> None:
    process.freeze()
    _call_later(world, duration_s, process.thaw)


def _freeze_core(world: World, fault: Fault, core: CoreMachine) -> None:
    if core.process is not None:
        _freeze_for(world, core.process, fault.duration_s)


def _stall_repeatedly(world: World, fault: Fault, core: CoreMachine) -> None:
    """Freeze a core for short times, repeatedly."""
    process = core.process
    if process is None:
        return
    for n in range(8):
        _call_later(
            world,
            n * (0.1 + fault.variant),
            lambda: process.alive and _freeze_for(world, process, 0.05 + fault.variant / 2),
        )


def _cut_by_variant(world: World, hosts: list[str], other_hosts: list[str], fault: Fault, both: bool) -> None:
    _cut(world, hosts, other_hosts, ("lost", "hold", "reset")[int(fault.variant * 97) % 3], fault, both)


def _cut(world: World, hosts: list[str], other_hosts: list[str], mode: str, fault: Fault, both: bool) -> None:
    for host in hosts:
        for other in other_hosts:
            if host != other:
                world.wire.cuts[host, other] = Cut(mode, world.loop.now + fault.duration_s)
                if both:
                    world.wire.cuts[other, host] = Cut(mode, world.loop.now + fault.duration_s)


def _core_hosts(world: World) -> list[str]:
    return [core.host for core in world.core_machines.values()]


def _isolate_core(world: World, fault: Fault, core: CoreMachine) -> None:
    """Cut a core off from all other cores, in both directions or one; edges and operators still reach it."""
    if fault.variant < 0.6:
        _cut_by_variant(world, [core.host], _core_hosts(world), fault, True)
    elif fault.variant < 0.8:
        _cut_by_variant(world, [core.host], _core_hosts(world), fault, False)
    else:
        _cut_by_variant(world, _core_hosts(world), [core.host], fault, False)


def _cut_from_one_core(world: World, fault: Fault, core: CoreMachine) -> None:
    """Cut a core off from one other core only."""
    hosts = [host for host in _core_hosts(world) if host != core.host]
    if hosts:
        _cut_by_variant(world, [core.host], [hosts[int(fault.variant * 31) % len(hosts)]], fault, fault.variant < 0.5)


def _isolate_core_from_all(world: World, fault: Fault, core: CoreMachine) -> None:
    """Cut a core off from all other machines."""
    other_hosts = [*_core_hosts(world), *world.edge_processes, *(node.process.host for node in world.nodes.values())]
    other_hosts += [f"op{n}" for n in range(3)]
    _cut_by_variant(world, [core.host], other_hosts, fault, fault.variant < 0.7)


def _cut_nodes(world: World, fault: Fault, core: CoreMachine) -> None:
    """Cut half of the nodes, or one, off from all cores or one; in half of the cases connections are refused."""
    hosts = sorted(node.process.host for node in world.nodes.values())
    if not hosts:
        return
    first = int(fault.target * 7919) % len(hosts)
    cut = (hosts[first:] + hosts[:first])[: max(1, len(hosts) // 2) if fault.variant < 0.6 else 1]
    mode = ("refused", "lost", "refused", "reset")[int(fault.variant * 97) % 4]
    _cut(world, _core_hosts(world) if fault.target < 0.6 else [core.host], cut, mode, fault, True)


def _degrade_network(world: World, fault: Fault, core: CoreMachine) -> None:
    wire = world.wire
    wire.loss_share, wire.duplicate_share, wire.max_jitter_s = (
        fault.variant * 0.3,
        fault.target * 0.2,
        (0.0005, 0.02, 0.2)[int(fault.variant * 89) % 3],
    )

    def over() -> None:
        wire.loss_share, wire.duplicate_share, wire.max_jitter_s = 0.0, 0.0, 0.0005

    _call_later(world, fault.duration_s, over)


def _degrade_disk(world: World, fault: Fault, core: CoreMachine) -> None:
    """Make a disk slow, hang, or refuse writes."""
    disk, until = core.disk, world.loop.now + fault.duration_s
    if fault.variant < 0.33:
        disk.slow = 0.4 * fault.variant
        _call_later(world, fault.duration_s, lambda: setattr(disk, "slow", 0.0))
    elif fault.variant < 0.66:
        disk.hangs_until = until
    else:
        disk.refuses_until = until


def _lose_disk(world: World, fault: Fault, core: CoreMachine) -> None:
    """Lose a core's disk; the core restarts with an empty one at its old address."""
    if world.can_lose_a_core():
        world.wipe(core)
        _call_later(world, min(2.0, fault.duration_s), lambda: world.start_core(core))


def _replace_lost_core(world: World, fault: Fault, core: CoreMachine) -> None:
    """Replace a lost core by one at a new address, whose seeds may name only one core that still exists."""
    if world.can_lose_a_core():
        world.retire(core)
        hosts_in_service = [peer.host for peer in world.core_machines.values() if not peer.retired]
        retired_hosts = [peer.host for peer in world.core_machines.values() if peer.retired]
        seeds = (
            [*retired_hosts, hosts_in_service[int(fault.variant * 13) % len(hosts_in_service)]]
            if fault.variant < 0.5
            else hosts_in_service
        )
        _call_later(world, min(2.0, fault.duration_s), lambda: world.add_core(seeds))


def _replace_in_order(world: World, fault: Fault, core: CoreMachine) -> None:
    """Replace a core as planned: another joins, the old one is asked to leave, and is removed once it has left."""
    if not world.can_lose_a_core() or len(world.running()) > world.core_count:
        return
    hosts_in_service = [peer.host for peer in world.core_machines.values() if not peer.retired]
    added = world.add_core(hosts_in_service)
    _call_later(world, 0.3 + fault.duration_s * fault.variant, lambda: _ask_to_leave(world, core, added, 40))


def _ask_to_leave(world: World, core: CoreMachine, added: CoreMachine, tries: int) -> None:
    """Ask a core to leave, and remove it once it has ended as an outsider; otherwise restart it."""
    process = core.process
    if process is None or process.machine is None or core.retired:
        return
    process.plane.ending._stop_event.set()

    def ended(left: int) -> None:
        if core.process is not process or not process.alive:
            return
        if not process.ended and left:
            _call_later(world, 0.1, lambda: ended(left - 1))
        elif process.machine.role == "outsider" and process.ended:
            _call_later(world, 1.5, lambda: _check_not_member(world, process))
            world.retire(core)
        else:
            world.crash(core)
            _call_later(world, 0.5, lambda: world.start_core(core))

    ended(tries)


def _check_not_member(world: World, process: CoreProcess) -> None:
    """Check that a core that left, and whose disk is removed, is not a member."""
    if world.consensus_judge.is_member(process.machine.me):
        world.judge.report(f"{world.loop.now:.3f} {process.machine.me} has left, and is a member still")


def _restart_in_order(world: World, fault: Fault, core: CoreMachine) -> None:
    """Ask a core to end, and restart it with its disk."""
    process = core.process
    if process is None or process.machine is None:
        return
    process.plane.ending._stop_event.set()

    def back() -> None:
        if core.process is process:
            world.crash(core)
        world.start_core(core)

    _call_later(world, 1.2 + min(3.0, fault.duration_s), back)


def _restart_edge(world: World, fault: Fault, core: CoreMachine) -> None:
    """Restart an edge; in half of the cases it reaches only one core for a while."""
    name = list(world.edge_processes)[int(fault.target * 97) % len(world.edge_processes)]
    if fault.variant < 0.5:
        other_hosts = [host for host in _core_hosts(world) if host != core.host]
        _cut_by_variant(world, [name], other_hosts, fault, True)
    world.start_edge(name)


def _disturb_node(world: World, fault: Fault, core: CoreMachine) -> None:
    """Drain or kill a node and add another, or freeze a node."""
    names = sorted(world.nodes)
    name = names[int(fault.target * 97) % len(names)]
    if fault.variant < 0.3:
        world.nodes[name].state = "draining"
        world.add_node()
    elif fault.variant < 0.7:
        world.lose_node(name)
        world.add_node()
    else:
        _freeze_for(world, world.nodes[name].process, fault.duration_s)


FAULTS: dict[str, Callable[[World, Fault, CoreMachine], None]] = {
    "crash": _crash_core,
    "all down": _crash_all_cores,
    "freeze": _freeze_core,
    "stall": _stall_repeatedly,
    "alone": _isolate_core,
    "some": _cut_from_one_core,
    "dark": _isolate_core_from_all,
    "weather": _degrade_network,
    "disk": _degrade_disk,
    "wipe": _lose_disk,
    "replace": _replace_lost_core,
    "planned": _replace_in_order,
    "term": _restart_in_order,
    "edge": _restart_edge,
    "node": _disturb_node,
}


def _isolate_edge(world: World, fault: Fault, core: CoreMachine) -> None:
    """Cut an edge off from all cores; operators still reach them."""
    name = list(world.edge_processes)[int(fault.target * 97) % len(world.edge_processes)]
    _cut_by_variant(world, _core_hosts(world), [name], fault, True)


SEPARATELY_DRAWN_FAULTS: dict[str, Callable[[World, Fault, CoreMachine], None]] = {
    "nodes unreached": _cut_nodes,
    "edge alone": _isolate_edge,
}


def inject(world: World, fault: Fault) -> None:
    """Inject a fault into the core that it picks."""
    core = _pick(world, fault.target)
    if core is not None:
        world.log_lines.append((round(world.loop.now, 4), "FAULT", fault.kind, {"at": core.host, "fault": fault}))
        (FAULTS | AIMED_FAULTS | SEPARATELY_DRAWN_FAULTS | WIDE_FAULTS)[fault.kind](world, fault, core)


def end_all_faults(world: World) -> None:
    """End all faults: restore links and disks, thaw and restart programs."""
    world.wire.cuts.clear()
    world.wire.silent_hosts.clear()
    world.wire.rates.clear()
    world.wire.loss_share = world.wire.duplicate_share = 0.0
    world.wire.max_jitter_s = 0.0005
    for core in world.core_machines.values():
        core.disk.slow = core.disk.hangs_until = core.disk.refuses_until = 0.0
        if core.process is not None and core.process.frozen:
            core.process.thaw()
        world.start_core(core)
    for node in world.nodes.values():
        if node.process.frozen:
            node.process.thaw()
