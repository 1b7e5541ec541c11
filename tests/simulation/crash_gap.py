"""Measures for how long the keys of a crashed node are unserved: until the next owner serves, in simulated worlds.

python -m tests.simulation.crash_gap [--worlds N] [--hold S] [--renew S] [--lease S]

There are no other faults. The node stops answering, and the platform's list keeps it for LISTED_S, as platforms do. A
slice is served again once an edge's cluster view has its assignment open at another node. The last line is one JSON
object: `gap_p50`, `gap_p99` in seconds, and `grants_per_s`, the rate of grant calls before the crash. `--core` also
crashes a core, a moment before the node: `lapsed` counts the slices of live nodes whose hold ran out meanwhile.
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

CALM_S = 14.0  # until all slices are placed and renewals are steady
COUNT_S = 4.0  # over which renewals are counted
COUNT_FROM_S = CALM_S - COUNT_S
LISTED_S = 4.0  # for which the platform's list keeps a crashed node
WATCH_S = 12.0  # after a crash, for the slices' next owners to serve
STEP_S = 0.02  # between checks of an edge's view
NODES = 6


@dataclass
class Measurements:
    """Measurements of one world or several."""

    gaps: list[float] = field(default_factory=list)
    unserved: int = 0
    lapsed: int = 0
    grants: int = 0


def _crash_node(world: World) -> str:
    """Crash a node, which stays listed for a while: its name."""
    name = sorted(world.nodes)[0]
    node = world.nodes[name]
    node.process.kill()
    world.wire.silent_hosts.add(node.process.host)
    world.owners.on_node_died(name)
    world.loop.world.soon(lambda: world.nodes.pop(name), wait=LISTED_S)
    return name


def _crash_core(world: World) -> None:
    leader = world.leader()
    assert leader is not None
    world.crash(leader)
    world.wire.silent_hosts.add(leader.host)


def measure_world(seed: int, core: bool = False) -> Measurements:
    """Run one world: crash a node without other faults, and watch its slices until they are served again."""
    measurements = Measurements()
    world = World(seed, 3, True)
    with programs.in_place(world.wire, seed, world.log, 4000, 512):
        world.start()
        for _ in range(NODES - len(world.nodes)):
            world.add_node()
        world.loop.run(COUNT_FROM_S)
        world.operators.stopped = True
        before = sum(node.grants for node in world.nodes.values())
        world.loop.run(CALM_S)
        measurements.grants = sum(node.grants for node in world.nodes.values()) - before
        if core:
            _crash_core(world)
        crashed_at = world.loop.now + seed % 20 * 0.1  # crashes fall anywhere between two renewals
        world.loop.run(crashed_at)
        name = _crash_node(world)
        _watch(world, name, crashed_at, measurements)
    return measurements


def _watch(world: World, name: str, crashed_at: float, measurements: Measurements) -> None:
    """Record when each slice of the node `name` is served again, and which live nodes' holds run out."""
    lines = world.edge_processes["e0"].view_poller.view.assignments["s"].by_slice  # type: ignore[attr-defined]
    waiting = {k for k, line in enumerate(lines) if line.owner == name}
    lapsed: set[int] = set()
    while world.loop.now < crashed_at + WATCH_S:
        world.loop.run(world.loop.now + STEP_S)
        now = world.loop.now
        served = {k for k in waiting if lines[k].open and lines[k].owner != name}
        waiting -= served
        measurements.gaps += [now - crashed_at] * len(served)
        for k, line in enumerate(lines):
            node = world.nodes.get(line.owner)
            if line.open and line.owner != name and node is not None and node.held_until.get(k, 0.0) <= now:
                lapsed.add(k)
    measurements.unserved, measurements.lapsed = len(waiting), len(lapsed)


def measure(
    worlds: int, timing: actions.GrantTiming | None = None, lease: float | None = None, core: bool = False
) -> dict:
    """The metrics of so many worlds, optionally with other grant timing or another lease duration."""
    total = Measurements()
    with ExitStack() as stack:
        if timing is not None:
            stack.enter_context(mock.patch.object(program.GrantTiming, "for_max_hold", lambda max_hold: timing))
        if lease is not None:
            stack.enter_context(mock.patch.object(conductor_leases, "LEASE_S", lease))
        for seed in range(worlds):
            measurements = measure_world(seed, core)
            gc.collect()
            total.gaps += measurements.gaps
            total.grants += measurements.grants
            total.unserved += measurements.unserved
            total.lapsed += measurements.lapsed
    return {
        "gap_p50": round(median(total.gaps), 2),
        "gap_p99": round(quantiles(total.gaps, n=100)[98], 2),
        "slices": len(total.gaps),
        "unserved": total.unserved,
        "lapsed": total.lapsed,
        "grants_per_s": round(total.grants / worlds / COUNT_S, 1),
    }


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--worlds", type=int, default=20)
    parser.add_argument("--hold", type=float)
    parser.add_argument("--renew", type=float)
    parser.add_argument("--lease", type=float)
    parser.add_argument("--core", action="store_true")
    options = parser.parse_args()
    timing = None
    if options.hold or options.renew or options.lease:
        defaults = actions.GrantTiming()
        lease = (
            (options.lease or conductor_leases.LEASE_S) * conductor_leases.CLOCK_DRIFT * conductor_leases.CLOCK_DRIFT
        )
        timing = actions.GrantTiming(
            hold=options.hold or defaults.hold,
            renew_interval=options.renew or defaults.renew_interval,
            lease_duration=lease,
        )
    print(json.dumps(measure(options.worlds, timing, options.lease, options.core)))


if __name__ == "__main__":
    main()
