"""Usage: python -m tests.soak [--seeds 1-50] [--edges 4] [--clients 24] [--length 15] [--series 8] [--keep FOLDER]
       [--contracts tenants,keys,quota]

Runs seeds one after the other, a line of JSON each; exit code 1 if any has a finding. --keep: where the programs' logs
of such a run are copied to.
"""

from __future__ import annotations

import asyncio
import json
import shutil
import sys
from argparse import ArgumentParser
from pathlib import Path

from tests.soak.drive import Soak
from tests.soak.shape import Shape, Told

SHOWN = 8  # findings of a run that its line has


async def soak(seed: int, shape: Shape, keep: Path | None) -> Told:
    """One run; the logs of one with findings are kept."""
    run = Soak(seed, shape)
    stop = run.village.stop

    async def stop_and_keep() -> None:
        if keep is not None:
            shutil.rmtree(keep / f"seed-{seed}", ignore_errors=True)
            shutil.copytree(run.village.folder, keep / f"seed-{seed}", ignore=shutil.ignore_patterns("*.d"))
        await stop()

    run.village.stop = stop_and_keep  # type: ignore[method-assign]
    told = await run.run()
    if keep is not None and not told.findings:
        shutil.rmtree(keep / f"seed-{seed}")
    return told


def main() -> int:
    """Run the seeds."""
    parser = ArgumentParser(prog="python -m tests.soak", description="Soak runs by seeds.")
    parser.add_argument("--seeds", default="1-50", help="one, or FIRST-LAST")
    for name, fallback in vars(Shape()).items():
        parser.add_argument(f"--{name}", type=type(fallback), default=fallback)
    parser.add_argument("--keep", type=Path)
    given = parser.parse_args()
    first, _, last = given.seeds.partition("-")
    shape = Shape(given.edges, given.clients, given.length, given.series, given.contracts)
    found = 0
    for seed in range(int(first), int(last or first) + 1):
        told = asyncio.run(soak(seed, shape, given.keep))
        found += bool(told.findings)
        line = {"seed": seed, "findings": len(told.findings), **vars(shape), "lag": round(told.lag, 3)}
        line |= {"counts": dict(sorted(told.counts.items())), "acts": dict(sorted(told.acts.items()))}
        print(json.dumps(line | {"first": told.findings[:SHOWN]}), flush=True)
    return int(bool(found))


if __name__ == "__main__":
    sys.exit(main())
