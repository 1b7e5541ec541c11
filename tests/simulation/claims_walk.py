"""Walks in which operations are claimed: the same programs and faults, with groups for claims and claimants.

python -m tests.simulation.claims_walk [--first N] [--walks N] [--seconds S] [--mistakes] [--trace SEED]
"""

from __future__ import annotations

import argparse
import gc
import json
import random
import time

from knotwalk.control_plane.message_packing import unpack
from tests.simulation import faults, programs
from tests.simulation.claimants import Claimants
from tests.simulation.claims_mistakes import MISTAKES
from tests.simulation.faults import Fault
from tests.simulation.judges import ConsensusJudge
from tests.simulation.mistakes import Mistake
from tests.simulation.walk import CALM, SPAN, Outcome, _pass, _violations, shrink
from tests.simulation.world import World


class GroupConsensusJudge:
    """What core machines promise each other in each group, beside the configuration's."""

    def __init__(self, world: World, parts: int):
        self.others = world.wire.on_message
        self.groups = [ConsensusJudge(world.judge, world.loop) for _ in range(parts)]

    def on_message(self, sender: str, to: str, path: str, body: bytes) -> None:
        """A message is on its way."""
        self.others(sender, to, path, body)
        if path.endswith("/claim-groups"):
            messages = [unpack(one) for one in json.loads(body)]
            for part, judge in enumerate(self.groups):
                found = [one for one in messages if one["group"] == part]
                judge.on_message(sender, to, "/consensus", json.dumps(found).encode())


def walk(seed: int, plan: list[Fault] | None = None, span: float = SPAN, early: bool = False) -> Outcome:
    """One walk; with a `plan`, with those faults alone. With `early` it ends a second after something broke."""
    chance = random.Random(f"claims walk {seed}")
    world = World(seed, chance.choice((3, 3, 5)), keyed=True)
    plan = faults.plan(seed, span) if plan is None else plan
    parts, compact, trail = chance.choice((1, 1, 3)), chance.choice((8, 40, 4000)), chance.choice((2, 512))
    claimants = Claimants(world)
    world.wire.on_message = GroupConsensusJudge(world, parts).on_message
    with programs.in_place(world.wire, seed, world.say, compact, trail, parts):
        try:
            world.start()
            claimants.start()
            for fault in plan:
                world.loop.world.soon(faults.meet, world, fault, wait=fault.at)
            if _pass(world, span, early):
                faults.heal(world)
                _pass(world, span + CALM, early)
            if not (early and _violations(world)):
                claimants.last()
        except AssertionError as error:
            world.judge.report(f"{world.loop.now:.3f} {type(error).__name__} {error}")
    told = claimants.claims
    return Outcome(seed, _violations(world), plan, world.loop.steps, told.granted, told.ended, list(world.said))


def find(mistake: Mistake) -> Outcome | None:
    """The first of a mistake's walks that shows it."""
    with mistake.inside():
        for seed in mistake.seeds():
            found = walk(seed, early=True)
            gc.collect()
            if found.violations:
                return found
    return None


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--walks", type=int, default=50)
    parser.add_argument("--seconds", type=float, default=float("inf"))
    parser.add_argument("--mistakes", action="store_true")
    parser.add_argument("--trace", type=int)
    given = parser.parse_args()
    if given.trace is not None:
        found = walk(given.trace)
        for line in [*found.said, *found.violations]:
            print(line)
        if found.violations:
            print(*shrink(found.faults, lambda fewer: bool(walk(given.trace, fewer, early=True).violations)), sep="\n")
        return
    if given.mistakes:
        for name, mistake in MISTAKES.items():
            found = find(mistake)
            print(name, found and (found.seed, found.violations[0]), flush=True)
        return
    begun, done, broken, granted, ended = time.monotonic(), 0, 0, 0, 0
    for seed in range(given.first, given.first + given.walks):
        if time.monotonic() - begun > given.seconds:
            break
        found = walk(seed)
        gc.collect()
        done, granted, ended = done + 1, granted + found.changes, ended + found.calls
        if found.violations:
            broken += 1
            print(seed, *found.violations[:5], sep="\n   ", flush=True)
    took = round(time.monotonic() - begun, 1)
    print(json.dumps({"walks": done, "walks_broken": broken, "granted": granted, "ended": ended, "seconds": took}))


if __name__ == "__main__":
    main()
