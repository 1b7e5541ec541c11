"""Usage: python -m tests.soak [--seeds 1-50] [--edges 4] [--clients 24] [--length 15] [--series 8] [--keep FOLDER]
       [--cores 3] [--tolerance 1] [--contracts tenants,keys,quota]

Runs the seeds one after the other and prints a line of JSON for each. Exits with 1 if any has a finding. --keep: the
folder to which the process logs of runs with findings are copied.
"""

from __future__ import annotations

import asyncio
import json
import shutil
import sys
from argparse import ArgumentParser
from pathlib import Path

from tests.soak.drive import Soak
from tests.soak.shape import Outcome, Shape

MAX_FINDINGS_SHOWN = 8  # per output line


async def soak(seed: int, shape: Shape, keep: Path | None) -> Outcome:
    """Runs one seed, and keeps the logs in `keep` if there are findings."""
    run = Soak(seed, shape)
    stop = run.village.stop

    async def stop_and_keep() -> None:
        if keep is not None:
            shutil.rmtree(keep / f"seed-{seed}", ignore_errors=True)
            shutil.copytree(run.village.folder, keep / f"seed-{seed}", ignore=shutil.ignore_patterns("*.d"))
        await stop()

    run.village.stop = stop_and_keep  # type: ignore[method-assign]
    outcome = await run.run()
    if keep is not None and not outcome.findings:
        shutil.rmtree(keep / f"seed-{seed}")
    return outcome


def main() -> int:
    """Parses the command line and runs the seeds."""
    parser = ArgumentParser(prog="python -m tests.soak", description="Soak runs by seeds.")
    parser.add_argument("--seeds", default="1-50", help="one, or FIRST-LAST")
    for name, fallback in vars(Shape()).items():
        parser.add_argument(f"--{name}", type=type(fallback), default=fallback)
    parser.add_argument("--keep", type=Path)
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    shape = Shape(**{name: getattr(arguments, name) for name in vars(Shape())})
    seeds_with_findings = 0
    for seed in range(int(first), int(last or first) + 1):
        outcome = asyncio.run(soak(seed, shape, arguments.keep))
        seeds_with_findings += bool(outcome.findings)
        line = {"seed": seed, "findings": len(outcome.findings), **vars(shape), "lag": round(outcome.lag, 3)}
        line |= {"counts": dict(sorted(outcome.counts.items())), "acts": dict(sorted(outcome.acts.items()))}
        print(json.dumps(line | {"first": outcome.findings[:MAX_FINDINGS_SHOWN]}), flush=True)
    return int(bool(seeds_with_findings))


if __name__ == "__main__":
    sys.exit(main())
