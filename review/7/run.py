"""A deployment whose core is one machine, with a service that is divided by key: does its process live?

TROUBLE=0 does the same with a core of three machines.
"""

from __future__ import annotations

import asyncio
import os
import sys
from collections import Counter
from pathlib import Path

from keys import Holder
from rig import HOST, LIMITS, ZONES, Record, Rig, now, route, run, service
from web import Client

FOLDER = Path(__file__).resolve().parent
CONDUCTORS = 6
RUN_S = 60.0
RATE = 10  # requests a second and client


async def ask_steadily(address: str, number: int, end: float, counts: Counter[str]) -> None:
    """One client: reads with changing keys."""
    client, sent = Client(address), 0
    while now() < end:
        await asyncio.sleep(1 / RATE)
        sent += 1
        key = (number * 9973 + sent * 7919) % 65536
        head = f"GET /tiles/{sent} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {number:04x}{sent:08x}\r\n"
        counts["sent"] += 1
        try:
            async with asyncio.timeout(3.0):
                status, _, _ = await client.ask(f"{head}Shard-Key: {key}\r\nDeadline-Ms: 1500\r\n\r\n".encode())
            counts[f"answered {status}"] += 1
        except (OSError, EOFError, TimeoutError) as error:
            counts[f"not answered: {type(error).__name__}"] += 1
            client.close()
    client.close()


async def main() -> int:
    """0: the rule held; 1: it was broken; 2: the case could not run."""
    one = os.environ.get("TROUBLE", "1") != "0"
    record = Record(FOLDER / "record.txt")
    rig = Rig(record, 2)
    if one:
        rig.cores, rig.core_ips = rig.cores[:1], rig.core_ips[:1]
        for program in rig.cores + rig.edges:
            program.settings["seed_nodes"] = [f"{rig.core_ips[0]}:{rig.control}"]
            program.settings["fault_tolerance"] = {"machines": 0, "zones": 0, "regions": 0}
    holders = [Holder(f"i-tiles{n}", "tiles", record) for n in range(CONDUCTORS)]
    try:
        for n, holder in enumerate(holders):
            rig.nodes[holder.id] = {
                "service": "tiles",
                "address": f"127.0.0.1:{await holder.start('127.0.0.1')}",
                "zone": ZONES[n % 3],
                "config_version": "v1",
                "capacity": holder.capacity,
                "state": "ready",
                "warmup_left": "0ms",
            }
        await rig.start()
        tiles = service("tiles", sharded=True, prewarm="1s", grants="call")
        await rig.configure(
            {"config_version": "r1", "objects": [route("tiles", "/tiles/", "tiles"), tiles, LIMITS]}, "0"
        )
        await rig.wait_ready()
        record(f"core machines: {len(rig.cores)}; all edges are ready, traffic begins")
        counts: Counter[str] = Counter()
        addresses = [f"{ip}:{rig.data}" for ip in rig.edge_ips]
        end = now() + RUN_S
        await asyncio.gather(*(ask_steadily(addresses[n % 2], n, end, counts) for n in range(8)))
        ends = {core.name: core.own_ends for core in rig.cores}
        record("clients:", dict(counts), "runs:", {holder.id: len(holder.runs) for holder in holders})
        record(f"processes of the core that ended by themselves: {ends}")
        broken = sum(ends.values()) >= 3 and 2 * sum(count > 0 for count in ends.values()) >= len(ends)
        record("Fault is broken" if broken else "Fault held")
        return int(broken)
    except (OSError, TimeoutError) as error:
        record(f"the case could not run: {type(error).__name__} {error}")
        return 2
    finally:
        await rig.stop()
        record.close()


if __name__ == "__main__":
    sys.exit(run(main()))
