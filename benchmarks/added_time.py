"""How much longer a request takes through an edge than straight to its node; the last line is one JSON object.

    python3 -m benchmarks.added_time [--quick]

Real programs on loopback (tests/standins/village.py): three cores, two edges, stand-in nodes. Requests of an undivided
service go in turns straight to a node and through one edge, on connections that are kept, so both meet the same
machine. `added_ms_p50` and `added_ms_p99`: the edge's percentile less the node's. Once at a light load, and once with
the edge kept `used` of a core busy (70% is aimed at) by loaders in processes of their own, whose requests go through
the same edge (`loaded_ms_...`). `requests_per_s`: what the edge answered meanwhile. Nodes share one process, so their
own queue is in both figures. The users' aim is 1.8 ms at the 99th percentile.
"""

from __future__ import annotations

import asyncio
import json
import os
import statistics
import sys
import time
from dataclasses import dataclass, field

from tests.standins.documents import FIRST, HOST
from tests.standins.nodes import RawClient
from tests.standins.village import Program, Village

BUSY = 0.7  # of a core: what loaders bring the edge to
LOADERS = 2  # processes
PATH = "/desk/page"
WARM = 1.5  # seconds of load before it is measured
STEPS = 4  # corrections of the loaders' pace


@dataclass
class Times:
    """Milliseconds of requests, straight and through the edge."""

    straight: list[float] = field(default_factory=list)
    through: list[float] = field(default_factory=list)

    def added(self, name: str) -> dict[str, float]:
        """The edge's percentiles less the node's."""
        found = {}
        for label, part in (("p50", 50), ("p99", 99)):
            cuts = [statistics.quantiles(one, n=100)[part - 1] for one in (self.through, self.straight)]
            found[f"{name}_ms_{label}"] = round(cuts[0] - cuts[1], 3)
        return found


def head(number: int) -> bytes:
    """A request as a client sends it."""
    return f"GET {PATH} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: t{number}\r\nDeadline-Ms: 50000\r\n\r\n".encode()


async def once(client: RawClient, number: int) -> float:
    """Milliseconds of one request."""
    begun = time.perf_counter()
    client.writer.write(head(number))
    status, _, _ = await client.answer()
    assert status == 200, status
    return 1e3 * (time.perf_counter() - begun)


def place(program: Program) -> tuple[str, int]:
    """Where an edge takes clients."""
    host, _, port = program.settings["listen_addresses"]["data_plane"].rpartition(":")
    return host, int(port)


def busy_seconds(program: Program) -> float:
    """Processor seconds of a program so far."""
    with open(f"/proc/{program.process.pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def measure(village: Village, seconds: float) -> Times:
    """Requests in turns, one at a time, for so long."""
    node = next(node for node in village.nodes if node.service == "desk")
    edge_host, edge_port = place(village.edges[0])
    straight = await RawClient.to(node.place[1], node.place[0])
    through = await RawClient.to(edge_port, edge_host)
    times, number, end = Times(), 0, time.monotonic() + seconds
    while time.monotonic() < end:
        number += 2
        times.straight.append(await once(straight, number))
        times.through.append(await once(through, number + 1))
        await asyncio.sleep(0.005)
    straight.close()
    through.close()
    return times


async def loader(host: str, port: int) -> None:
    """Load an edge at the pace that standard input tells, a line for each change; `0` ends it."""
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    pace, clients = [0.0], [await RawClient.to(port, host) for _ in range(8)]

    async def work(client: RawClient, first: int) -> None:
        number = first
        while pace[0] >= 0:
            if not pace[0]:
                await asyncio.sleep(0.01)
                continue
            begun = time.perf_counter()
            await once(client, number)
            number += len(clients)
            await asyncio.sleep(max(0.0, len(clients) / pace[0] - (time.perf_counter() - begun)))

    tasks = [asyncio.create_task(work(client, 10_000_000 + n)) for n, client in enumerate(clients)]
    while (line := await reader.readline()) and float(line):
        pace[0] = float(line)
    pace[0] = -1.0
    await asyncio.gather(*tasks, return_exceptions=True)


async def loaded(village: Village, seconds: float) -> dict[str, float]:
    """The same while the edge is busy."""
    edge = village.edges[0]
    host, port = place(edge)
    loaders = [
        await asyncio.create_subprocess_exec(
            sys.executable, "-m", "benchmarks.added_time", "--load", host, str(port), stdin=asyncio.subprocess.PIPE
        )
        for _ in range(LOADERS)
    ]
    pace = 200.0
    for _ in range(STEPS):
        for one in loaders:
            one.stdin.write(f"{pace}\n".encode())
        await asyncio.sleep(WARM)
        before, begun = busy_seconds(edge), time.monotonic()
        await asyncio.sleep(WARM)
        used = (busy_seconds(edge) - before) / (time.monotonic() - begun)
        pace *= min(4.0, BUSY / max(0.01, used))
    before, begun = busy_seconds(edge), time.monotonic()
    times = await measure(village, seconds)
    used = (busy_seconds(edge) - before) / (time.monotonic() - begun)
    for one in loaders:
        one.stdin.write(b"0\n")
        await one.wait()
    return times.added("loaded") | {"used": round(used, 2), "asked_per_s": round(LOADERS * pace)}


async def whole(seconds: float) -> dict[str, float]:
    """Both measurements in one village."""
    village = await Village().start()
    try:
        status, _ = await village.operator.send("PUT", FIRST, "0")
        assert status == 200, status
        await village.calm()
        await measure(village, 1.0)  # code that has run before is what is measured
        light = await measure(village, seconds)
        return (
            light.added("added")
            | {"straight_ms_p50": round(statistics.median(light.straight), 3)}
            | (await loaded(village, seconds))
        )
    finally:
        await village.stop()


def main() -> None:
    """Measure, or be a loader."""
    if sys.argv[1:2] == ["--load"]:
        asyncio.run(loader(sys.argv[2], int(sys.argv[3])))
        return
    print(json.dumps(asyncio.run(whole(4.0 if "--quick" in sys.argv else 20.0))))


if __name__ == "__main__":
    main()
