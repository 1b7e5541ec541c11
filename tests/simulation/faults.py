"""Faults of a walk: a list made from the seed before it begins, so that any of them can be left out.

Each names its time and its sort; which machine it meets is told by numbers that fit whichever machines there are then.
Disks are lost only while the core is whole and bears it; everything else may come at any time, many at once.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from tests.simulation.aimed import AIMED
from tests.simulation.loop import Process
from tests.simulation.programs import CoreProcess
from tests.simulation.wide_faults import WIDE, drawn
from tests.simulation.wire import Cut
from tests.simulation.world import Place, World

AIMED_EACH = 6  # each so manyth walk has faults of one sort that are aimed at a moment, and no others
APART = 4.5  # seconds between those


@dataclass(frozen=True)
class Fault:
    """One misfortune: when, which, how long, and two numbers from 0 to 1 that pick whom and how."""

    at: float
    sort: str
    length: float
    who: float
    how: float


def plan(seed: int, span: float) -> list[Fault]:
    """The faults of a walk of `span` seconds."""
    if seed % AIMED_EACH == AIMED_EACH - 1:
        return _aimed(seed, span)
    chance = random.Random(f"faults {seed}")
    every = chance.choice((0.15, 0.3, 0.6, 1.2))
    # Each walk has a few sorts that come often: a fault of one sort alone, again and again, finds other things.
    weights = [chance.choice((0, 1, 1, 4)) for _ in SORTS]
    if not any(weights):
        weights = [1] * len(SORTS)
    found, at = [], chance.uniform(0.0, 2.0)
    while at < span:
        sort = chance.choices(list(SORTS), weights)[0]
        length = chance.choice((0.05, 0.3, 0.8, 2.0, 5.0, 20.0)[: 4 if every < 0.3 else 6])
        found.append(Fault(round(at, 3), sort, min(length, span - at), chance.random(), chance.random()))
        at += chance.expovariate(1 / every)
    found += _unreached_nodes(seed, span) + _edges_alone(seed, span) + [Fault(*one) for one in drawn(seed, span)]
    return sorted(found, key=lambda fault: fault.at)


def _unreached_nodes(seed: int, span: float) -> list[Fault]:
    """Cuts between nodes and cores, drawn apart so that the other faults of a seed stay what they were."""
    chance = random.Random(f"nodes {seed}")
    times = [chance.uniform(0.0, span) for _ in range(int(span / 4))]
    return [
        Fault(round(at, 3), "nodes unreached", chance.choice((1.0, 3.0, 9.0)), chance.random(), chance.random())
        for at in times
    ]


def _edges_alone(seed: int, span: float) -> list[Fault]:
    """Cuts between an edge and all cores, some longer than it may go by the keys that it holds; drawn apart as well."""
    chance = random.Random(f"edges {seed}")
    times = [chance.uniform(0.0, span) for _ in range(int(span / 10))]
    return [
        Fault(round(at, 3), "edge alone", chance.choice((3.0, 9.0)), chance.random(), chance.random()) for at in times
    ]


def _aimed(seed: int, span: float) -> list[Fault]:
    """Faults of one sort, aimed at a moment, each after what the one before did is over: others would disturb them."""
    chance = random.Random(f"aimed {seed}")
    sort = list(AIMED)[seed // AIMED_EACH % len(AIMED)]
    times = [APART * (n + chance.uniform(0.3, 0.7)) for n in range(int(span / APART))]
    return [Fault(round(at, 3), sort, 3.0, chance.random(), chance.random()) for at in times]


def _pick(world: World, who: float) -> Place | None:
    """The leader in a third of the cases, else any place in service."""
    if who < 0.33 and (leader := world.leader()) is not None:
        return leader
    places = [place for place in world.places.values() if not place.gone]
    return places[int(who * 7919) % len(places)] if places else None


def _later(world: World, wait: float, act: Callable[[], None]) -> None:
    world.loop.world.soon(act, wait=wait)


def _crash(world: World, fault: Fault, place: Place) -> None:
    world.crash(place)
    if fault.how < 0.4:
        world.wire.dark.add(place.host)

    def back() -> None:
        world.wire.dark.discard(place.host)
        world.start_core(place)

    _later(world, fault.length, back)


def _all_down(world: World, fault: Fault, place: Place) -> None:
    """All at once; they come back one after the other, some of them late."""
    for k, one in enumerate(list(world.places.values())):
        world.crash(one)
        _later(world, 0.2 + fault.length * (k * (1 + fault.how) % 1.7), lambda one=one: world.start_core(one))  # type: ignore


def _frozen(world: World, process: Process, length: float) -> None:
    process.freeze()
    _later(world, length, process.thaw)


def _freeze(world: World, fault: Fault, place: Place) -> None:
    if place.process is not None:
        _frozen(world, place.process, fault.length)


def _stall(world: World, fault: Fault, place: Place) -> None:
    """Short stops, again and again."""
    process = place.process
    if process is None:
        return
    for n in range(8):
        _later(world, n * (0.1 + fault.how), lambda: process.alive and _frozen(world, process, 0.05 + fault.how / 2))


def _between(world: World, ones: list[str], others: list[str], fault: Fault, both: bool) -> None:
    _cut_all(world, ones, others, ("lost", "hold", "reset")[int(fault.how * 97) % 3], fault, both)


def _cut_all(world: World, ones: list[str], others: list[str], mode: str, fault: Fault, both: bool) -> None:
    for one in ones:
        for other in others:
            if one != other:
                world.wire.cuts[one, other] = Cut(mode, world.loop.now + fault.length)
                if both:
                    world.wire.cuts[other, one] = Cut(mode, world.loop.now + fault.length)


def _hosts(world: World) -> list[str]:
    return [place.host for place in world.places.values()]


def _alone(world: World, fault: Fault, place: Place) -> None:
    """Cut off from all other cores, not from edges and operators; both ways or one."""
    if fault.how < 0.6:
        _between(world, [place.host], _hosts(world), fault, True)
    elif fault.how < 0.8:
        _between(world, [place.host], _hosts(world), fault, False)
    else:
        _between(world, _hosts(world), [place.host], fault, False)


def _some(world: World, fault: Fault, place: Place) -> None:
    """Cut off from one other core only."""
    hosts = [host for host in _hosts(world) if host != place.host]
    if hosts:
        _between(world, [place.host], [hosts[int(fault.how * 31) % len(hosts)]], fault, fault.how < 0.5)


def _dark(world: World, fault: Fault, place: Place) -> None:
    """Cut off from everyone."""
    others = [*_hosts(world), *world.edge_processes, *(node.process.host for node in world.nodes.values())]
    others += [f"op{n}" for n in range(3)]
    _between(world, [place.host], others, fault, fault.how < 0.7)


def _nodes_unreached(world: World, fault: Fault, place: Place) -> None:
    """Half of the nodes, or one, cut off from all cores or from one; every second time connections are refused."""
    hosts = sorted(node.process.host for node in world.nodes.values())
    if not hosts:
        return
    first = int(fault.who * 7919) % len(hosts)
    cut = (hosts[first:] + hosts[:first])[: max(1, len(hosts) // 2) if fault.how < 0.6 else 1]
    mode = ("refused", "lost", "refused", "reset")[int(fault.how * 97) % 4]
    _cut_all(world, _hosts(world) if fault.who < 0.6 else [place.host], cut, mode, fault, True)


def _weather(world: World, fault: Fault, place: Place) -> None:
    wire = world.wire
    wire.loss, wire.double, wire.late = fault.how * 0.3, fault.who * 0.2, (0.0005, 0.02, 0.2)[int(fault.how * 89) % 3]

    def over() -> None:
        wire.loss, wire.double, wire.late = 0.0, 0.0, 0.0005

    _later(world, fault.length, over)


def _disk(world: World, fault: Fault, place: Place) -> None:
    """Slow, hanging or refusing."""
    disk, until = place.disk, world.loop.now + fault.length
    if fault.how < 0.33:
        disk.slow = 0.4 * fault.how
        _later(world, fault.length, lambda: setattr(disk, "slow", 0.0))
    elif fault.how < 0.66:
        disk.hangs_until = until
    else:
        disk.refuses_until = until


def _wipe(world: World, fault: Fault, place: Place) -> None:
    """A disk is lost, and the machine begins with an empty one at its old address."""
    if world.whole():
        world.wipe(place)
        _later(world, min(2.0, fault.length), lambda: world.start_core(place))


def _replace(world: World, fault: Fault, place: Place) -> None:
    """A machine is lost, and another at a new address takes its place; its seeds may name but one that is there."""
    if world.whole():
        world.retire(place)
        there = [one.host for one in world.places.values() if not one.gone]
        stale = [one.host for one in world.places.values() if one.gone]
        seeds = [*stale, there[int(fault.how * 13) % len(there)]] if fault.how < 0.5 else there
        _later(world, min(2.0, fault.length), lambda: world.add_core(seeds))


def _planned(world: World, fault: Fault, place: Place) -> None:
    """A planned replacement: another joins, the old one is asked to end and is taken away once it has."""
    if not world.whole() or len(world.running()) > world.cores:
        return
    there = [one.host for one in world.places.values() if not one.gone]
    added = world.add_core(there)
    _later(world, 0.3 + fault.length * fault.how, lambda: _leave(world, place, added, 40))


def _leave(world: World, place: Place, added: Place, tries: int) -> None:
    """Ask a machine to end; take its disk away only if it says that it is out, or if the core bears the loss."""
    process = place.process
    if process is None or process.machine is None or place.gone:
        return
    process.plane.ending._stop_event.set()

    def ended(left: int) -> None:
        if place.process is not process or not process.alive:
            return
        if not process.ended and left:
            _later(world, 0.1, lambda: ended(left - 1))
        elif process.machine.role == "outsider" and process.ended:
            _later(world, 1.5, lambda: _out(world, process))
            world.retire(place)
        else:
            world.crash(place)
            _later(world, 0.5, lambda: world.start_core(place))

    ended(tries)


def _out(world: World, process: CoreProcess) -> None:
    """One that was told to be out, and whose disk is gone, is out."""
    if world.consensus_judge.is_member(process.machine.me):
        world.judge.report(f"{world.loop.now:.3f} {process.machine.me} has left, and is a member still")


def _term(world: World, fault: Fault, place: Place) -> None:
    """A restart in order: asked to end, it comes back with its disk."""
    process = place.process
    if process is None or process.machine is None:
        return
    process.plane.ending._stop_event.set()

    def back() -> None:
        if place.process is process:
            world.crash(place)
        world.start_core(place)

    _later(world, 1.2 + min(3.0, fault.length), back)


def _edge(world: World, fault: Fault, place: Place) -> None:
    """An edge starts anew; half of them see one core only for a while."""
    name = list(world.edge_processes)[int(fault.who * 97) % len(world.edge_processes)]
    if fault.how < 0.5:
        others = [host for host in _hosts(world) if host != place.host]
        _between(world, [name], others, fault, True)
    world.start_edge(name)


def _node(world: World, fault: Fault, place: Place) -> None:
    """A node drains, dies, or is frozen; another comes."""
    names = sorted(world.nodes)
    name = names[int(fault.who * 97) % len(names)]
    if fault.how < 0.3:
        world.nodes[name].state = "draining"
        world.add_node()
    elif fault.how < 0.7:
        world.lose_node(name)
        world.add_node()
    else:
        _frozen(world, world.nodes[name].process, fault.length)


SORTS: dict[str, Callable[[World, Fault, Place], None]] = {
    "crash": _crash,
    "all down": _all_down,
    "freeze": _freeze,
    "stall": _stall,
    "alone": _alone,
    "some": _some,
    "dark": _dark,
    "weather": _weather,
    "disk": _disk,
    "wipe": _wipe,
    "replace": _replace,
    "planned": _planned,
    "term": _term,
    "edge": _edge,
    "node": _node,
}


def _edge_alone(world: World, fault: Fault, place: Place) -> None:
    """An edge can't reach any core; operators can."""
    name = list(world.edge_processes)[int(fault.who * 97) % len(world.edge_processes)]
    _between(world, _hosts(world), [name], fault, True)


DRAWN_APART: dict[str, Callable[[World, Fault, Place], None]] = {
    "nodes unreached": _nodes_unreached,
    "edge alone": _edge_alone,
}


def meet(world: World, fault: Fault) -> None:
    """A fault comes about."""
    place = _pick(world, fault.who)
    if place is not None:
        world.said.append((round(world.loop.now, 4), "FAULT", fault.sort, {"at": place.host, "fault": fault}))
        (SORTS | AIMED | DRAWN_APART | WIDE)[fault.sort](world, fault, place)


def heal(world: World) -> None:
    """All is well again: links, disks, programs."""
    world.wire.cuts.clear()
    world.wire.dark.clear()
    world.wire.rates.clear()
    world.wire.loss = world.wire.double = 0.0
    world.wire.late = 0.0005
    for place in world.places.values():
        place.disk.slow = place.disk.hangs_until = place.disk.refuses_until = 0.0
        if place.process is not None and place.process.frozen:
            place.process.thaw()
        world.start_core(place)
    for node in world.nodes.values():
        if node.process.frozen:
            node.process.thaw()
