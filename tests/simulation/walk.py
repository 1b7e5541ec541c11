"""Random walks: run by seed, replayed exactly, shrunk to the faults that matter.

python -m tests.simulation.walk [--first N] [--walks N] [--seconds S] [--mistakes] [--trace SEED] [--digest SEED]
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
from tests.simulation.mistakes import MISTAKES, QUOTA, Mistake
from tests.simulation.world import World

SPAN = 20.0  # seconds of faults
SHARDED = 0.25  # share of the walks with slices, leases and grants: each takes three times as long
CALM = 12.0  # seconds without any, in which all has to become well again
CONNECTIONS_EACH = 10  # walks over connections for each walk of the whole, which takes some forty times as long
CONTACT, READ_PAUSE = 3.0, 0.1  # seconds for which the end's configuration is read, and between two readings
LAST = 5.0  # seconds of them without changes, in which edges have to come to the newest


@dataclass
class Outcome:
    """What came of a walk."""

    seed: int
    violations: list[str]
    faults: list[Fault]
    steps: int = 0
    changes: int = 0
    calls: int = 0
    said: list = field(default_factory=list)
    let_pass: int = 0  # requests of tenants with limits


def walk(
    seed: int, plan: list[Fault] | None = None, span: float = SPAN, early: bool = False, limited: bool = False
) -> Outcome:
    """One walk; with a `plan`, with those faults alone. With `early` it ends a second after something broke."""
    chance = random.Random(f"walk {seed}")
    world = World(seed, chance.choice((3, 3, 3, 5)), chance.random() < SHARDED, limited=limited)
    plan = faults.plan(seed, span) if plan is None else plan
    compact, trail = chance.choice((8, 40, 4000)), chance.choice((2, 512))
    with programs.in_place(world.wire, seed, world.say, compact, trail):
        try:
            world.start()
            for fault in plan:
                world.loop.world.soon(faults.meet, world, fault, wait=fault.at)
            if _pass(world, span, early):
                faults.heal(world)
                _pass(world, span + CALM, early)
            if not (early and _violations(world)):
                world.operators.resting = True
                world.loop.run(span + CALM + LAST)
                _last(world)
        except AssertionError as error:
            world.judge.report(f"{world.loop.now:.3f} {type(error).__name__} {error}")
    taken = {one.content for one in world.register.calls if one.status == 200 and one.content}
    violations = _violations(world)
    told, let_pass = len(world.register.calls), world.quota.let_pass if world.quota else 0
    return Outcome(seed, violations, plan, world.loop.steps, len(taken), told, list(world.said), let_pass)


def _pass(world: World, until: float, early: bool) -> bool:
    """Let time pass; False where something broke and the walk ends with that."""
    while early and world.loop.now < until - 1.0:
        world.loop.run(world.loop.now + 1.0)
        if _violations(world):
            return False
    world.loop.run(until)
    return True


def _violations(world: World) -> list[str]:
    """All that the judges hold against a walk."""
    register = world.register.find_violation()
    return [*world.judge.violations, *world.owners.broken, *world.loop.failed(), *([register] if register else [])]


def _last(world: World) -> None:
    """After all faults: an order is taken, a read is answered, and each edge shows what is in force."""

    async def ends() -> bool:
        for _ in range(30):
            if await world.operators.read() and await world.operators.change():
                break
        else:
            return False
        if world.quota is not None:
            await world.quota.settled()
        until, answered = world.loop.now + CONTACT, False
        while world.loop.now < until:  # again and again, at any core; each answer is judged
            answered |= await world.operators.read()
            await asyncio.sleep(READ_PAUSE)
        return answered

    task = world.loop.world.spawn(ends())
    world.loop.run(world.loop.now + 10.0)
    if not task.done() or not task.result():
        world.judge.report("no order is taken after all faults have ended")
        return
    world.keys.settled()
    newest = world.register.newest_acknowledged(world.loop.now)
    for name, process in world.edge_processes.items():
        configuration = process.view_poller.view.configuration  # type: ignore[attr-defined]
        if configuration is None or configuration.version < newest:
            world.judge.report(
                f"{name} shows {configuration and configuration.version} in the end, r{newest} is in force"
            )


def shrink(plan: list[Fault], breaks: Callable[[list[Fault]], bool]) -> list[Fault]:
    """A smaller plan that still breaks something: leaves out ever smaller parts while it does, until none can go."""
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
    """The first walk of some that shows a mistake; of point 5 by walks over connections."""
    with mistake.inside():
        for seed in seeds:
            if mistake.point == 5:
                found = Outcome(seed, connections.walk(seed), [])
            else:
                found = walk(seed, early=True, limited=mistake.point == QUOTA)
            gc.collect()
            if found.violations:
                return found
    return None


def walks(seeds: Iterable[int], until: float = float("inf")) -> Iterable[Outcome]:
    """Walks one after the other, until a time of the process."""
    for seed in seeds:
        if time.monotonic() > until:
            return
        yield walk(seed)
        gc.collect()


def measure(count: int) -> dict[str, int]:
    """Walks, those that broke something, and the mistakes put in and found; for `benchmarks.system`."""
    broken = sum(bool(found.violations) for found in walks(range(count)))
    shown = sum(find(mistake, mistake.seeds()) is not None for mistake in MISTAKES.values())
    return {
        "walks": count,
        "walks_broken": broken,
        "connection_walks": CONNECTIONS_EACH * count,
        "connection_walks_broken": sum(bool(connections.walk(seed)) for seed in range(CONNECTIONS_EACH * count)),
        "walk_seeded": len(MISTAKES),
        "walk_seeded_found": shown,
    }


def traced(seed: int) -> None:
    """Print a walk: what its programs said, its faults and what broke; where it broke, the least faults that do so."""
    found = walk(seed)
    for line in found.said:
        print(*line)
    print(*found.violations, sep="\n")
    if found.violations:
        print(*shrink(found.faults, lambda fewer: bool(walk(seed, fewer, early=True).violations)), sep="\n")


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--walks", type=int, default=100)
    parser.add_argument("--seconds", type=float, default=float("inf"))
    parser.add_argument("--mistakes", action="store_true")
    parser.add_argument("--trace", type=int)
    parser.add_argument("--digest", type=int)
    given = parser.parse_args()
    begun = time.monotonic()
    if given.trace is not None:
        traced(given.trace)
        return
    if given.digest is not None:
        found = walk(given.digest, span=4.0)
        print(found.steps, sha256(repr(found.said).encode()).hexdigest())
        return
    if given.mistakes:
        for name, mistake in MISTAKES.items():
            found = find(mistake, mistake.seeds())
            print(name, found and (found.seed, found.violations[0]), flush=True)
        return
    done = broken = changes = 0
    for found in walks(range(given.first, given.first + given.walks), begun + given.seconds):
        done, changes = done + 1, changes + found.changes
        if found.violations:
            broken += 1
            print(found.seed, *found.violations[:5], sep="\n   ", flush=True)
    took = time.monotonic() - begun
    print(json.dumps({"walks": done, "walks_broken": broken, "changes": changes, "seconds": round(took, 1)}))


if __name__ == "__main__":
    main()
