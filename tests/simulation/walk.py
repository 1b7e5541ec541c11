"""Random walks: runs of the simulated system under random faults, replayable by seed and shrunk to the faults needed.

python -m tests.simulation.walk [--first N] [--walks N] [--seconds S] [--small] [--mistakes] [--trace N] [--digest N]

With --small the groups have one to three cores, of which none may be lost, and one or two edges and nodes.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from hashlib import sha256

from tests.simulation import connections, faults, programs
from tests.simulation.faults import Fault
from tests.simulation.mistakes import MISTAKES, QUOTA, SMALL_GROUPS, Mistake
from tests.simulation.world import World

SPAN_S = 20.0  # of faults
SHARDED_SHARE = 0.25  # of the walks have slices, leases and grants: each takes three times as long
CALM_S = 12.0  # without faults, within which the system must recover
CONNECTION_WALKS_PER_WALK = 10  # a walk of the whole system takes some forty times as long
FINAL_READS_S, READ_INTERVAL_S = 3.0, 0.1  # how long the final configuration is read, and how often
QUIET_S = 5.0  # without changes by operators, within which edges must get the newest configuration


@dataclass
class Outcome:
    """The result of a walk."""

    seed: int
    violations: list[str]
    faults: list[Fault]
    steps: int = 0
    changes: int = 0
    calls: int = 0
    log_lines: list = field(default_factory=list)
    let_pass: int = 0  # admitted requests of tenants with limits


def make_small_world(seed: int, limited: bool) -> World:
    """A world of few machines, none of which may be lost for good.

    All faults end longer than the conductors' calm period before a walk does."""
    chance = random.Random(f"small {seed}")
    return World(
        seed,
        core_count=chance.choice((1, 1, 2, 3)),
        sharded=True,
        tolerance=0,
        node_count=chance.choice((1, 2)),
        edge_count=chance.choice((1, 2)),
        limited=limited,
    )


def walk(
    seed: int,
    plan: list[Fault] | None = None,
    span: float = SPAN_S,
    early: bool = False,
    limited: bool = False,
    small: bool = False,
) -> Outcome:
    """Run one walk, with the faults of `plan` or those drawn from the seed.

    With `early` it ends within a second of the first violation; with `limited` tenants with limits send requests; with
    `small` there are few machines.
    """
    chance = random.Random(f"walk {seed}")
    world = World(seed, chance.choice((3, 3, 3, 5)), chance.random() < SHARDED_SHARE, limited=limited)
    if small:
        world = make_small_world(seed, limited)
    plan = faults.plan(seed, span) if plan is None else plan
    compact, trail = chance.choice((8, 40, 4000)), chance.choice((2, 512))
    with programs.in_place(world.wire, seed, world.log, compact, trail):
        try:
            world.start()
            for fault in plan:
                world.loop.world.soon(faults.inject, world, fault, wait=fault.at)
            if _run_until(world, span, early):
                faults.end_all_faults(world)
                _run_until(world, span + CALM_S, early)
            if not (early and find_violations(world)):
                world.operators.stopped = True
                world.loop.run(span + CALM_S + QUIET_S)
                check_recovery(world)
        except AssertionError as error:
            world.judge.report(f"{world.loop.now:.3f} {type(error).__name__} {error}")
    committed = {call.content for call in world.register.calls if call.status == 200 and call.content}
    violations = find_violations(world)
    call_count, let_pass = len(world.register.calls), world.quota.let_pass if world.quota else 0
    return Outcome(
        seed, violations, plan, world.loop.steps, len(committed), call_count, list(world.log_lines), let_pass
    )


def _run_until(world: World, until: float, early: bool) -> bool:
    """Run until a time; False if the walk is to end early because of a violation."""
    while early and world.loop.now < until - 1.0:
        world.loop.run(world.loop.now + 1.0)
        if find_violations(world):
            return False
    world.loop.run(until)
    return True


def find_violations(world: World) -> list[str]:
    """All violations of a walk, errors of its programs included, also those of guarded decisions."""
    register = world.register.find_violation()
    errors = [*world.loop.failed(), *world.failed_decisions()]
    return [*world.judge.violations, *world.owners.broken, *errors, *([register] if register else [])]


def check_recovery(world: World) -> None:
    """Check after all faults that a change is committed, a read is answered, and each edge has the newest version."""

    async def finish() -> bool:
        for _ in range(30):
            if await world.operators.read() and await world.operators.change():
                break
        else:
            return False
        if world.quota is not None:
            await world.quota.check_recovery()
        until, answered = world.loop.now + FINAL_READS_S, False
        while world.loop.now < until:  # repeatedly, at any core; each answer is judged
            answered |= await world.operators.read()
            await asyncio.sleep(READ_INTERVAL_S)
        return answered

    task = world.loop.world.spawn(finish())
    world.loop.run(world.loop.now + 10.0)
    if not task.done() or not task.result():
        world.judge.report("no change is committed after all faults have ended")
        return
    world.keys.check_recovery()
    newest = world.register.newest_acknowledged(world.loop.now)
    for name, process in world.edge_processes.items():
        configuration = process.view_poller.view.configuration  # type: ignore[attr-defined]
        if configuration is None or configuration.version < newest:
            world.judge.report(
                f"{name} shows {configuration and configuration.version} in the end, r{newest} is in force"
            )


def shrink(plan: list[Fault], breaks: Callable[[list[Fault]], bool]) -> list[Fault]:
    """A minimal plan that still breaks an invariant: removes ever smaller parts until none can be removed."""
    part = max(1, len(plan) // 2)
    while True:
        at, smaller = 0, False
        while at < len(plan):
            fewer = plan[:at] + plan[at + part :]
            if breaks(fewer):
                plan, smaller = fewer, True
            else:
                at += part
        if part == 1 and not smaller:
            return plan
        part = max(1, part // 2)


def find(mistake: Mistake, seeds: Iterable[int]) -> Outcome | None:
    """The first walk that finds a mistake, None if none does; point 5 is checked by walks over connections."""
    with mistake.applied():
        for seed in seeds:
            if mistake.point == 5:
                outcome = Outcome(seed, connections.walk(seed), [])
            else:
                outcome = walk(seed, early=True, limited=mistake.point == QUOTA, small=mistake.point == SMALL_GROUPS)
            gc.collect()
            if outcome.violations:
                return outcome
    return None


def walks(seeds: Iterable[int], until: float = float("inf"), small: bool = False) -> Iterable[Outcome]:
    """Run walks one after the other until a time by `time.monotonic`."""
    for seed in seeds:
        if time.monotonic() > until:
            return
        yield walk(seed, small=small)
        gc.collect()


def measure(count: int) -> dict[str, int]:
    """Count walks, those with violations, and the seeded mistakes and those found; for `benchmarks.system`."""
    broken = sum(bool(outcome.violations) for outcome in walks(range(count)))
    shown = sum(find(mistake, mistake.seeds()) is not None for mistake in MISTAKES.values())
    return {
        "walks": count,
        "walks_broken": broken,
        "connection_walks": CONNECTION_WALKS_PER_WALK * count,
        "connection_walks_broken": sum(
            bool(connections.walk(seed)) for seed in range(CONNECTION_WALKS_PER_WALK * count)
        ),
        "walk_seeded": len(MISTAKES),
        "walk_seeded_found": shown,
    }


def print_trace(seed: int, small: bool) -> None:
    """Print a walk's log, faults and violations; if there are any, also a minimal plan that still causes one."""
    outcome = walk(seed, small=small)
    for line in outcome.log_lines:
        print(*line)
    print(*outcome.violations, sep="\n")
    if outcome.violations:
        print(
            *shrink(outcome.faults, lambda fewer: bool(walk(seed, fewer, early=True, small=small).violations)), sep="\n"
        )


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--walks", type=int, default=100)
    parser.add_argument("--seconds", type=float, default=float("inf"))
    parser.add_argument("--mistakes", action="store_true")
    parser.add_argument("--small", action="store_true")
    parser.add_argument("--trace", type=int)
    parser.add_argument("--digest", type=int)
    options = parser.parse_args()
    started_at = time.monotonic()
    if options.trace is not None:
        print_trace(options.trace, options.small)
        return
    if options.digest is not None:
        outcome = walk(options.digest, span=4.0)
        print(outcome.steps, sha256(repr(outcome.log_lines).encode()).hexdigest())
        return
    if options.mistakes:
        for name, mistake in MISTAKES.items():
            outcome = find(mistake, mistake.seeds())
            print(name, outcome and (outcome.seed, outcome.violations[0]), flush=True)
        return
    done = broken = changes = 0
    seeds = range(options.first, options.first + options.walks)
    for outcome in walks(seeds, started_at + options.seconds, options.small):
        done, changes = done + 1, changes + outcome.changes
        if outcome.violations:
            broken += 1
            print(outcome.seed, *outcome.violations[:5], sep="\n   ", flush=True)
    took = time.monotonic() - started_at
    print(json.dumps({"walks": done, "walks_broken": broken, "changes": changes, "seconds": round(took, 1)}))


if __name__ == "__main__":
    main()
