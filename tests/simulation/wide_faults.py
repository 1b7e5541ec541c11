"""Faults that affect many machines at once: a partition of the cores, power loss, killed processes, narrow links.

They are drawn for every ordinary walk from a random generator of their own, so that they do not change a seed's other
faults.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

from tests.simulation.wire import Cut
from tests.simulation.world import CoreMachine, World

if TYPE_CHECKING:
    from tests.simulation.faults import Fault

MEAN_INTERVAL_S = 5.0  # between two of these faults
NARROW_LINK_BYTES_PER_S = (2e6 / 8, 2e5 / 8)  # 2 Mbit/s, which users' edges can have, and a tenth of that
MODES = ("lost", "hold", "reset", "refused")


def plan_wide_faults(seed: int, span: float) -> Iterator[tuple[float, str, float, float, float]]:
    """The arguments of the faults of a walk (see `faults.Fault`)."""
    chance = random.Random(f"wide {seed}")
    for _ in range(int(span / MEAN_INTERVAL_S)):
        at, kind = round(chance.uniform(0.5, span), 3), chance.choice(list(WIDE_FAULTS))
        yield at, kind, chance.choice((0.3, 1.0, 3.0, 9.0)), chance.random(), chance.random()


def split_cores(world: World, fault: Fault, core: CoreMachine) -> None:
    """Partition the cores into two halves; edges, operators and nodes reach both."""
    hosts = [peer.host for peer in world.core_machines.values() if not peer.retired]
    random.Random(fault.target).shuffle(hosts)
    half, other_half = hosts[: len(hosts) // 2], hosts[len(hosts) // 2 :]
    cut = Cut(MODES[int(fault.variant * 97) % len(MODES)], world.loop.now + fault.duration_s)
    for host in half:
        for other in other_half:
            world.wire.cuts[host, other] = world.wire.cuts[other, host] = cut


def reset_core_connections(world: World, fault: Fault, core: CoreMachine) -> None:
    """Reset all connections between cores, and those opened for a moment after."""
    hosts = [peer.host for peer in world.core_machines.values()]
    cut = Cut("reset", world.loop.now + min(0.3, fault.duration_s))
    world.wire.cuts |= {(peer, other): cut for peer in hosts for other in hosts if peer != other}


def kill_most_processes(world: World, fault: Fault, core: CoreMachine) -> None:
    """Kill most core and edge processes at once and restart them within a second; disks are kept."""
    chance = random.Random(fault.target)
    for peer in list(world.core_machines.values()):
        if peer.process is not None and chance.random() < 0.4 + 0.6 * fault.variant:
            world.crash(peer)
            world.loop.world.soon(world.start_core, peer, wait=chance.uniform(0.05, 1.0))
    for name in list(world.edge_processes):
        if chance.random() < 0.4 + 0.6 * fault.variant:
            world.start_edge(name)


def lose_power_after_a_lost_disk(world: World, fault: Fault, core: CoreMachine) -> None:
    """Lose the disk of one core while all other cores lose power, including those that are no members."""
    if not world.can_lose_a_core():
        return
    chance = random.Random(fault.target)
    world.wipe(core)
    for peer in world.core_machines.values():
        world.crash(peer)
        world.loop.world.soon(world.start_core, peer, wait=0.2 + chance.uniform(0.0, min(3.0, fault.duration_s)))
    for name in list(world.edge_processes):
        world.start_edge(name)


def narrow_links(world: World, fault: Fault, core: CoreMachine) -> None:
    """Limit the bandwidth of one core's link, or of all cores' links."""
    hosts = [peer.host for peer in world.core_machines.values()] if fault.target < 0.3 else [core.host]
    for host in hosts:
        world.wire.rates[host] = NARROW_LINK_BYTES_PER_S[fault.variant < 0.3]
    world.loop.world.soon(lambda: [world.wire.rates.pop(host, None) for host in hosts], wait=fault.duration_s)


WIDE_FAULTS: dict[str, Callable[[World, Fault, CoreMachine], None]] = {
    "halves": split_cores,
    "core resets": reset_core_connections,
    "killed": kill_most_processes,
    "power beside a disk": lose_power_after_a_lost_disk,
    "narrow": narrow_links,
}
