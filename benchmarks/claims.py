"""Benchmark of operation claims by the number of consensus groups; the last line printed is one JSON object.

    python3 -m benchmarks.claims [--quick]

Five core processes on loopback, each a member of every group, with real files and HTTP. Each request and response is
delayed by 1.4 ms and each write by 2 ms, to imitate the network between core machines and their disks. Each process
sends 60 claims a second, spread over all groups; one in ten repeats an earlier claim.

Reported by the number of groups: claims answered a second, median and 99th percentile of their latency in ms, CPU ms
per claim and machine (mean, and of the busiest machine), calls and body bytes per claim, and for an idle period without
claims CPU ms a second and machine, and calls and body bytes a second of all machines.
"""

import asyncio
import json
import os
import random
import statistics
import subprocess
import sys
import tempfile
import time
from unittest import mock

from sanic import HTTPResponse, Request

from knotwalk.consensus.raft_types import Save
from knotwalk.consensus.store import Store
from knotwalk.control_plane import claim_group, claim_groups
from knotwalk.control_plane.claim_group import GroupContext
from knotwalk.control_plane.claim_groups import CLAIMS_PATH, MESSAGES_PATH, ClaimGroups
from knotwalk.runtime import http_client
from knotwalk.runtime.http_server import Listener, json_body, json_response, make_app
from knotwalk.runtime.logs import clock
from knotwalk.runtime.settings import Machine, Settings, Tolerance
from knotwalk.shared_state import messages
from knotwalk.shared_state.claims import Outcome
from knotwalk.shared_state.messages import Claim, Holder, operation_id

CORE_COUNT = 5
CLAIMS_PER_S = 60.0  # through each machine
ONE_WAY_DELAY_S, WRITE_DELAY_S = 0.0014, 0.002
FIRST_PORT = 21_700
ELECTION_WAIT_S = 4.0  # time in which the groups elect their leaders


class DelayedStore(Store):
    """A store with added write latency."""

    def write(self, save: Save) -> None:
        """Write one transaction; it is durable on return."""
        super().write(save)
        time.sleep(WRITE_DELAY_S)


class DelayedHttpClient(http_client.HttpClient):
    """An HTTP client with added network latency."""

    async def send(self, *arguments: object, **options: object) -> tuple[int, dict[str, str], bytes]:
        """Send a request, with the one-way delay before it and after its response."""
        await asyncio.sleep(ONE_WAY_DELAY_S)
        response = await super().send(*arguments, **options)  # type: ignore[arg-type]
        await asyncio.sleep(ONE_WAY_DELAY_S)
        return response


def make_context(number: int, folder: str, client: http_client.HttpClient) -> GroupContext:
    """Return the context that the groups of one process share."""
    addresses = [f"127.0.0.1:{FIRST_PORT + n}" for n in range(CORE_COUNT)]
    settings = Settings(
        node_name=f"c{number}",
        data_dir=f"{folder}/{number}",
        initial_boot=True,
        machine=Machine(disk_mb=256),
        tolerance=Tolerance(machines=CORE_COUNT // 2),
    )
    founders = {f"{address}#founder": address for address in addresses}
    return GroupContext(settings, addresses[number], founders, client, 100 * number, clock() - 10.0, DelayedStore)


async def send_claims(groups: ClaimGroups, number: int, seconds: float) -> list[tuple[str, float]]:
    """Send claims as a Poisson process; return the outcome and latency in seconds of each."""
    rng, results, tasks = random.Random(number), [], []

    async def send_claim(claim: Claim) -> None:
        started_at = clock()
        result = await groups.claim(claim, 2.0)
        results.append((result.outcome.value, clock() - started_at))

    due_at, ends_at, count = clock(), clock() + seconds, 0
    while (due_at := due_at + rng.expovariate(CLAIMS_PER_S)) < ends_at:
        await asyncio.sleep(max(0.0, due_at - clock()))
        count += rng.random() > 0.1
        holder = Holder(groups.groups[0].machine.address, f"life{number:012d}", f"{rng.getrandbits(64):016x}")
        claim = Claim(operation_id("tenant", f"k-{number}-{count}"), holder)
        tasks.append(asyncio.create_task(send_claim(claim)))
    await asyncio.gather(*tasks)
    return results


async def run_worker(number: int, group_count: int, folder: str, seconds: float) -> None:
    """Run one machine: serve its groups, send claims to them and print the measurements."""
    client = DelayedHttpClient()
    with (
        mock.patch.object(messages, "PARTITION_COUNT", group_count),
        mock.patch.object(claim_group, "PARTITION_COUNT", group_count),
        mock.patch.object(claim_groups, "PARTITION_COUNT", group_count),
    ):
        groups = ClaimGroups(make_context(number, folder, client))

        async def handle_messages(request: Request) -> HTTPResponse:
            return json_response(await groups.exchange(json_body(request)))

        async def handle_claims(request: Request) -> HTTPResponse:
            return json_response(await groups.handle_claims(json_body(request)))

        app = make_app(f"bench{number}")
        app.add_route(handle_messages, MESSAGES_PATH, methods=["POST"])
        app.add_route(handle_claims, CLAIMS_PATH, methods=["POST"])
        listener = Listener(app)
        await listener.start("127.0.0.1", FIRST_PORT + number)
        groups.start()
        await asyncio.sleep(ELECTION_WAIT_S)
        idle_from = read_usage(client)
        await asyncio.sleep(seconds / 2)
        busy_from = read_usage(client)
        results = await send_claims(groups, number, seconds)
        busy_to = read_usage(client)
        leads = sum(group.is_leader for group in groups.groups)
        print(
            json.dumps(
                {
                    "calm": subtract_usage(busy_from, idle_from),
                    "busy": subtract_usage(busy_to, busy_from),
                    "found": results,
                    "leads": leads,
                }
            )
        )
        sys.stdout.flush()
        await asyncio.sleep(1.0)  # the other machines may still be sending claims
        os._exit(0)


def read_usage(client: http_client.HttpClient) -> list[float]:
    """Return the CPU seconds, body bytes and calls of this process so far."""
    body_bytes = sum(client.sent_bytes.values()) + sum(client.received_bytes.values())
    return [time.process_time(), body_bytes, client.call_count]


def subtract_usage(end: list[float], start: list[float]) -> list[float]:
    """Return the usage between two readings."""
    return [late - early for late, early in zip(end, start)]


def run(group_count: int, seconds: float) -> dict:
    """Run all processes and combine their measurements."""
    with tempfile.TemporaryDirectory() as folder:
        command = [sys.executable, "-m", "benchmarks.claims", "--worker"]
        workers = [
            subprocess.Popen(
                [*command, str(number), str(group_count), folder, str(seconds)],
                stdout=subprocess.PIPE,
                stderr=subprocess.DEVNULL,
                text=True,
            )
            for number in range(CORE_COUNT)
        ]
        reports = [json.loads(worker.communicate()[0].splitlines()[-1]) for worker in workers]
    results = [result for report in reports for result in report["found"]]
    latencies_ms = sorted(result[1] * 1e3 for result in results if result[0] != Outcome.UNAVAILABLE.value)
    cpu_ms = [report["busy"][0] * 1e3 / len(results) for report in reports]
    idle_s = seconds / 2
    return {
        "claims_s": round(len(latencies_ms) / seconds, 1),
        "unavailable": len(results) - len(latencies_ms),
        "p50_ms": round(statistics.median(latencies_ms), 1),
        "p99_ms": round(latencies_ms[int(len(latencies_ms) * 0.99)], 1),
        "cpu_ms_a_claim_a_machine": round(statistics.mean(cpu_ms), 3),
        "cpu_ms_a_claim_busiest": round(max(cpu_ms), 3),
        "calls_a_claim": round(sum(report["busy"][2] for report in reports) / len(results), 2),
        "body_bytes_a_claim": round(sum(report["busy"][1] for report in reports) / len(results)),
        "calm_cpu_ms_s_a_machine": round(statistics.mean(report["calm"][0] for report in reports) * 1e3 / idle_s, 2),
        "calm_calls_s": round(sum(report["calm"][2] for report in reports) / idle_s, 1),
        "calm_body_bytes_s": round(sum(report["calm"][1] for report in reports) / idle_s),
        "leaders": [report["leads"] for report in reports],
    }


def main(arguments: list[str]) -> None:
    """Measure each number of groups in turn, or run one worker process."""
    if arguments[:1] == ["--worker"]:
        asyncio.run(run_worker(int(arguments[1]), int(arguments[2]), arguments[3], float(arguments[4])))
        return
    seconds = 6.0 if "--quick" in arguments else 20.0
    print(json.dumps({f"parts_{group_count}": run(group_count, seconds) for group_count in (1, 3, 5)}))


if __name__ == "__main__":
    main(sys.argv[1:])
