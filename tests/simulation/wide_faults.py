"""Faults that meet many machines at once: the core in two halves, power lost by all, processes killed, narrow links.

Drawn for every ordinary walk, apart from all other faults, so that the others of a seed stay what they were.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

from tests.simulation.wire import Cut
from tests.simulation.world import Place, World

if TYPE_CHECKING:
    from tests.simulation.faults import Fault

EACH = 5.0  # seconds between two of them, in the mean
NARROW = (2e6 / 8, 2e5 / 8)  # bytes a second of a narrow link: as edges of the users have it, and a tenth of that
MODES = ("lost", "hold", "reset", "refused")


def drawn(seed: int, span: float) -> Iterator[tuple[float, str, float, float, float]]:
    """When, which, for how long, and two numbers that pick whom and how."""
    chance = random.Random(f"wide {seed}")
    for _ in range(int(span / EACH)):
        at, sort = round(chance.uniform(0.5, span), 3), chance.choice(list(WIDE))
        yield at, sort, chance.choice((0.3, 1.0, 3.0, 9.0)), chance.random(), chance.random()


def halves(world: World, fault: Fault, place: Place) -> None:
    """The core is cut into two halves; edges, operators and nodes reach both."""
    hosts = [one.host for one in world.places.values() if not one.gone]
    random.Random(fault.who).shuffle(hosts)
    ones, others = hosts[: len(hosts) // 2], hosts[len(hosts) // 2 :]
    cut = Cut(MODES[int(fault.how * 97) % len(MODES)], world.loop.now + fault.length)
    for one in ones:
        for other in others:
            world.wire.cuts[one, other] = world.wire.cuts[other, one] = cut


def resets(world: World, fault: Fault, place: Place) -> None:
    """What is under way between cores is reset, and what is begun for a moment after."""
    hosts = [one.host for one in world.places.values()]
    cut = Cut("reset", world.loop.now + min(0.3, fault.length))
    world.wire.cuts |= {(one, other): cut for one in hosts for other in hosts if one != other}


def killed(world: World, fault: Fault, place: Place) -> None:
    """Most processes end at once, of cores and of edges, and are back within a second; disks stay."""
    chance = random.Random(fault.who)
    for one in list(world.places.values()):
        if one.process is not None and chance.random() < 0.4 + 0.6 * fault.how:
            world.crash(one)
            world.loop.world.soon(world.start_core, one, wait=chance.uniform(0.05, 1.0))
    for name in list(world.edge_processes):
        if chance.random() < 0.4 + 0.6 * fault.how:
            world.start_edge(name)


def power_lost_beside_a_lost_disk(world: World, fault: Fault, place: Place) -> None:
    """One machine loses its disk, and at that moment all others lose power, those that don't count as well."""
    if not world.whole():
        return
    chance = random.Random(fault.who)
    world.wipe(place)
    for one in world.places.values():
        world.crash(one)
        world.loop.world.soon(world.start_core, one, wait=0.2 + chance.uniform(0.0, min(3.0, fault.length)))
    for name in list(world.edge_processes):
        world.start_edge(name)


def narrow(world: World, fault: Fault, place: Place) -> None:
    """A machine's link, or each, takes few bytes a second."""
    hosts = [one.host for one in world.places.values()] if fault.who < 0.3 else [place.host]
    for host in hosts:
        world.wire.rates[host] = NARROW[fault.how < 0.3]
    world.loop.world.soon(lambda: [world.wire.rates.pop(host, None) for host in hosts], wait=fault.length)


WIDE: dict[str, Callable[[World, Fault, Place], None]] = {
    "halves": halves,
    "core resets": resets,
    "killed": killed,
    "power beside a disk": power_lost_beside_a_lost_disk,
    "narrow": narrow,
}
