"""How long the keys of a crashed node rest: from its loss of power until the next owner serves, in simulated worlds.

python -m tests.simulation.crash_gap [--worlds N] [--hold S] [--renew S] [--lease S]

The core is calm, the node silent, and the platform's list keeps it for LISTED seconds, as platforms do. A slice is
served again once an edge's cluster view has its line open at another node. The last line is one JSON object: `gap_p50`,
`gap_p99` in seconds, and `grants_per_s`, the calls to nodes while all was calm. `--core` crashes a core machine as
well, a moment before: `lapsed` counts the slices of live nodes whose hold ran out meanwhile.
"""

from __future__ import annotations

import argparse
import gc
import json
from contextlib import ExitStack
from dataclasses import dataclass, field
from statistics import median, quantiles
from unittest import mock

from knotwalk.control_plane import __main__ as program
from knotwalk.leases import actions, conductor_leases
from tests.simulation import programs
from tests.simulation.world import World

CALM = 14.0  # seconds until all slices are laid out and renewals have their pace
PACE = 4.0  # seconds over which renewals are counted
PACE_FROM = CALM - PACE
LISTED = 4.0  # seconds for which the platform's list keeps a node that has crashed
WATCH = 12.0  # seconds after a crash in which the slices' next owners are waited for
STEP = 0.02  # seconds between looks at an edge's view
NODES = 6


@dataclass
class Found:
    """What one world, or several, showed."""

    gaps: list[float] = field(default_factory=list)
    unserved: int = 0
    lapsed: int = 0
    grants: int = 0


def _crash_node(world: World) -> str:
    """A node loses power; its entry stays listed for a while. Its name."""
    name = sorted(world.nodes)[0]
    node = world.nodes[name]
    node.process.kill()
    world.wire.dark.add(node.process.host)
    world.owners.died(name)
    world.loop.world.soon(lambda: world.nodes.pop(name), wait=LISTED)
    return name


def _crash_core(world: World) -> None:
    leader = world.leader()
    assert leader is not None
    world.crash(leader)
    world.wire.dark.add(leader.host)


def measured(seed: int, core: bool = False) -> Found:
    """One world: a node crashes when all is calm, and its slices are watched until they are served again."""
    found = Found()
    world = World(seed, 3, True)
    with programs.in_place(world.wire, seed, world.log, 4000, 512):
        world.start()
        for _ in range(NODES - len(world.nodes)):
            world.add_node()
        world.loop.run(PACE_FROM)
        world.operators.resting = True
        before = sum(node.grants for node in world.nodes.values())
        world.loop.run(CALM)
        found.grants = sum(node.grants for node in world.nodes.values()) - before
        if core:
            _crash_core(world)
        begun = world.loop.now + seed % 20 * 0.1  # crashes fall anywhere between two renewals
        world.loop.run(begun)
        name = _crash_node(world)
        _watch(world, name, begun, found)
    return found


def _watch(world: World, name: str, begun: float, found: Found) -> None:
    """Note when each slice of the node `name` is served again, and which live nodes' holds run out."""
    lines = world.edge_processes["e0"].link.view.assignments["s"].by_slice  # type: ignore[attr-defined]
    waiting = {k for k, line in enumerate(lines) if line.owner == name}
    lapsed: set[int] = set()
    while world.loop.now < begun + WATCH:
        world.loop.run(world.loop.now + STEP)
        now = world.loop.now
        served = {k for k in waiting if lines[k].open and lines[k].owner != name}
        waiting -= served
        found.gaps += [now - begun] * len(served)
        for k, line in enumerate(lines):
            node = world.nodes.get(line.owner)
            if line.open and line.owner != name and node is not None and node.held.get(k, 0.0) <= now:
                lapsed.add(k)
    found.unserved, found.lapsed = len(waiting), len(lapsed)


def measure(
    worlds: int, pace: actions.GrantTiming | None = None, lease: float | None = None, core: bool = False
) -> dict:
    """The figures of so many worlds; with a `pace` of grants or a length of conductors' leases of its own."""
    whole = Found()
    with ExitStack() as stack:
        if pace is not None:
            stack.enter_context(mock.patch.object(program.GrantTiming, "for_max_hold", lambda max_hold: pace))
        if lease is not None:
            stack.enter_context(mock.patch.object(conductor_leases, "LEASE_S", lease))
        for seed in range(worlds):
            found = measured(seed, core)
            gc.collect()
            whole.gaps += found.gaps
            whole.grants += found.grants
            whole.unserved += found.unserved
            whole.lapsed += found.lapsed
    return {
        "gap_p50": round(median(whole.gaps), 2),
        "gap_p99": round(quantiles(whole.gaps, n=100)[98], 2),
        "slices": len(whole.gaps),
        "unserved": whole.unserved,
        "lapsed": whole.lapsed,
        "grants_per_s": round(whole.grants / worlds / PACE, 1),
    }


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--worlds", type=int, default=20)
    parser.add_argument("--hold", type=float)
    parser.add_argument("--renew", type=float)
    parser.add_argument("--lease", type=float)
    parser.add_argument("--core", action="store_true")
    given = parser.parse_args()
    pace = None
    if given.hold or given.renew or given.lease:
        plain = actions.GrantTiming()
        lease = (given.lease or conductor_leases.LEASE_S) * conductor_leases.CLOCK_DRIFT * conductor_leases.CLOCK_DRIFT
        pace = actions.GrantTiming(
            hold=given.hold or plain.hold, renew_interval=given.renew or plain.renew_interval, lease_duration=lease
        )
    print(json.dumps(measure(given.worlds, pace, given.lease, given.core)))


if __name__ == "__main__":
    main()
