"""Benchmark of the latency that an edge adds to a request; the last line printed is one JSON object.

    python3 -m benchmarks.added_time [--quick]

Real programs on loopback (tests/standins/village.py): three cores, two edges, stand-in nodes. Requests to an unsharded
service go alternately straight to a node and through one edge, on persistent connections, so that both meet the same
state of the machine. The nodes share one process, so its queue is part of both latencies. The target is at most 1.8 ms
at the 99th percentile.
- `added_ms_p50`, `added_ms_p99`: the percentile through the edge less the one straight to the node, at light load;
- `straight_ms_p50`: the median straight to the node, at light load;
- `loaded_ms_p50`, `loaded_ms_p99`: the same differences while processes of their own load the edge;
- `used`: the share of a CPU core that the loaded edge used; the loaders aim at 70 %;
- `asked_per_s`: the loaders' request rate after the last correction, which is not sent to them any more.
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

TARGET_CPU_SHARE = 0.7  # of a CPU core, that the loaders bring the edge to
LOADER_COUNT = 2  # processes
PATH = "/desk/page"
SETTLE_S = 1.5  # time under load before a measurement
RATE_CORRECTIONS = 4  # of the loaders' request rate


@dataclass
class Latencies:
    """Latencies in ms, straight to the node and through the edge."""

    straight: list[float] = field(default_factory=list)
    through: list[float] = field(default_factory=list)

    def added(self, name: str) -> dict[str, float]:
        """Return the percentiles through the edge less those straight to the node."""
        results = {}
        for label, percent in (("p50", 50), ("p99", 99)):
            percentiles = [
                statistics.quantiles(latencies, n=100)[percent - 1] for latencies in (self.through, self.straight)
            ]
            results[f"{name}_ms_{label}"] = round(percentiles[0] - percentiles[1], 3)
        return results


def encode_request(number: int) -> bytes:
    """Return the bytes of a request as a client sends it."""
    return f"GET {PATH} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: t{number}\r\nDeadline-Ms: 50000\r\n\r\n".encode()


async def request_ms(client: RawClient, number: int) -> float:
    """Send one request and return its latency in ms."""
    started_at = time.perf_counter()
    client.writer.write(encode_request(number))
    status, _, _ = await client.answer()
    assert status == 200, status
    return 1e3 * (time.perf_counter() - started_at)


def client_address(program: Program) -> tuple[str, int]:
    """Return the host and port at which an edge accepts clients."""
    host, _, port = program.settings["listen_addresses"]["data_plane"].rpartition(":")
    return host, int(port)


def cpu_seconds(program: Program) -> float:
    """Return the CPU time of a program so far."""
    with open(f"/proc/{program.process.pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def measure_latencies(village: Village, seconds: float) -> Latencies:
    """Send requests for `seconds`, one at a time, alternately straight to the node and through the edge."""
    node = next(node for node in village.nodes if node.service == "desk")
    edge_host, edge_port = client_address(village.edges[0])
    straight = await RawClient.to(node.place[1], node.place[0])
    through = await RawClient.to(edge_port, edge_host)
    latencies, number, ends_at = Latencies(), 0, time.monotonic() + seconds
    while time.monotonic() < ends_at:
        number += 2
        latencies.straight.append(await request_ms(straight, number))
        latencies.through.append(await request_ms(through, number + 1))
        await asyncio.sleep(0.005)
    straight.close()
    through.close()
    return latencies


async def run_loader(host: str, port: int) -> None:
    """Load an edge at the rate given by the latest line of standard input, in requests a second; `0` ends it."""
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    rate, clients = [0.0], [await RawClient.to(port, host) for _ in range(8)]

    async def send_requests(client: RawClient, first: int) -> None:
        number = first
        while rate[0] >= 0:
            if not rate[0]:
                await asyncio.sleep(0.01)
                continue
            started_at = time.perf_counter()
            await request_ms(client, number)
            number += len(clients)
            await asyncio.sleep(max(0.0, len(clients) / rate[0] - (time.perf_counter() - started_at)))

    tasks = [asyncio.create_task(send_requests(client, 10_000_000 + index)) for index, client in enumerate(clients)]
    while (line := await reader.readline()) and float(line):
        rate[0] = float(line)
    rate[0] = -1.0
    await asyncio.gather(*tasks, return_exceptions=True)


async def measure_loaded(village: Village, seconds: float) -> dict[str, float]:
    """Measure the added latency while the edge is loaded."""
    edge = village.edges[0]
    host, port = client_address(edge)
    loaders = [
        await asyncio.create_subprocess_exec(
            sys.executable, "-m", "benchmarks.added_time", "--load", host, str(port), stdin=asyncio.subprocess.PIPE
        )
        for _ in range(LOADER_COUNT)
    ]
    rate = 200.0
    for _ in range(RATE_CORRECTIONS):
        for process in loaders:
            process.stdin.write(f"{rate}\n".encode())
        await asyncio.sleep(SETTLE_S)
        cpu_before, started_at = cpu_seconds(edge), time.monotonic()
        await asyncio.sleep(SETTLE_S)
        cpu_share = (cpu_seconds(edge) - cpu_before) / (time.monotonic() - started_at)
        rate *= min(4.0, TARGET_CPU_SHARE / max(0.01, cpu_share))
    cpu_before, started_at = cpu_seconds(edge), time.monotonic()
    latencies = await measure_latencies(village, seconds)
    cpu_share = (cpu_seconds(edge) - cpu_before) / (time.monotonic() - started_at)
    for process in loaders:
        process.stdin.write(b"0\n")
        await process.wait()
    return latencies.added("loaded") | {"used": round(cpu_share, 2), "asked_per_s": round(LOADER_COUNT * rate)}


async def measure_all(seconds: float) -> dict[str, float]:
    """Take both measurements in one set of programs."""
    village = await Village().start()
    try:
        status, _ = await village.operator.send("PUT", FIRST, "0")
        assert status == 200, status
        await village.calm()
        await measure_latencies(village, 1.0)  # warm-up, so that no code runs for the first time during the measurement
        light = await measure_latencies(village, seconds)
        return (
            light.added("added")
            | {"straight_ms_p50": round(statistics.median(light.straight), 3)}
            | (await measure_loaded(village, seconds))
        )
    finally:
        await village.stop()


def main() -> None:
    """Run the measurements, or one loader process."""
    if sys.argv[1:2] == ["--load"]:
        asyncio.run(run_loader(sys.argv[2], int(sys.argv[3])))
        return
    print(json.dumps(asyncio.run(measure_all(4.0 if "--quick" in sys.argv else 20.0))))


if __name__ == "__main__":
    main()
