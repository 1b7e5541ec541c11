"""Random walks in which operations are claimed: as `walk`, with consensus groups for claims and with claimants.

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
from tests.simulation.loop import Process
from tests.simulation.mistakes import Mistake
from tests.simulation.walk import CALM_S, SPAN_S, Outcome, _run_until, find_violations, shrink
from tests.simulation.world import World


class GroupConsensusJudge:
    """Checks the consensus messages of each group for claims, besides those of the configuration's group."""

    def __init__(self, world: World, parts: int):
        self.others = world.wire.on_message
        self.groups = [ConsensusJudge(world.judge, world.loop) for _ in range(parts)]

    def on_message(self, sender: Process, to: str, path: str, body: bytes) -> None:
        """Check the messages of a call that is sent."""
        self.others(sender, to, path, body)
        if path.endswith("/claim-groups"):
            messages = [unpack(message) for message in json.loads(body)]
            for part, judge in enumerate(self.groups):
                group_messages = [message for message in messages if message["group"] == part]
                judge.on_message(sender, to, "/consensus", json.dumps(group_messages).encode())


def walk(seed: int, plan: list[Fault] | None = None, span: float = SPAN_S, early: bool = False) -> Outcome:
    """Run one walk, with the faults of `plan` or those drawn from the seed.

    With `early` it ends within a second of the first violation.
    """
    chance = random.Random(f"claims walk {seed}")
    world = World(seed, chance.choice((3, 3, 5)), keyed=True)
    plan = faults.plan(seed, span) if plan is None else plan
    parts, compact, trail = chance.choice((1, 1, 3)), chance.choice((8, 40, 4000)), chance.choice((2, 512))
    claimants = Claimants(world)
    world.wire.on_message = GroupConsensusJudge(world, parts).on_message
    with programs.in_place(world.wire, seed, world.log, compact, trail, parts):
        try:
            world.start()
            claimants.start()
            for fault in plan:
                world.loop.world.soon(faults.inject, world, fault, wait=fault.at)
            if _run_until(world, span, early):
                faults.end_all_faults(world)
                _run_until(world, span + CALM_S, early)
            if not (early and find_violations(world)):
                claimants.check_recovery()
        except AssertionError as error:
            world.judge.report(f"{world.loop.now:.3f} {type(error).__name__} {error}")
    claims = claimants.claims
    return Outcome(
        seed, find_violations(world), plan, world.loop.steps, claims.granted, claims.ended, list(world.log_lines)
    )


def find(mistake: Mistake) -> Outcome | None:
    """The first of a mistake's walks that finds it, None if none does."""
    with mistake.applied():
        for seed in mistake.seeds():
            outcome = walk(seed, early=True)
            gc.collect()
            if outcome.violations:
                return outcome
    return None


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--walks", type=int, default=50)
    parser.add_argument("--seconds", type=float, default=float("inf"))
    parser.add_argument("--mistakes", action="store_true")
    parser.add_argument("--trace", type=int)
    options = parser.parse_args()
    if options.trace is not None:
        outcome = walk(options.trace)
        for line in [*outcome.log_lines, *outcome.violations]:
            print(line)
        if outcome.violations:
            print(
                *shrink(outcome.faults, lambda fewer: bool(walk(options.trace, fewer, early=True).violations)), sep="\n"
            )
        return
    if options.mistakes:
        for name, mistake in MISTAKES.items():
            outcome = find(mistake)
            print(name, outcome and (outcome.seed, outcome.violations[0]), flush=True)
        return
    started_at, done, broken, granted, ended = time.monotonic(), 0, 0, 0, 0
    for seed in range(options.first, options.first + options.walks):
        if time.monotonic() - started_at > options.seconds:
            break
        outcome = walk(seed)
        gc.collect()
        done, granted, ended = done + 1, granted + outcome.changes, ended + outcome.calls
        if outcome.violations:
            broken += 1
            print(seed, *outcome.violations[:5], sep="\n   ", flush=True)
    took = round(time.monotonic() - started_at, 1)
    print(json.dumps({"walks": done, "walks_broken": broken, "granted": granted, "ended": ended, "seconds": took}))


if __name__ == "__main__":
    main()
