"""What claims of operations cost, by the number of groups; the last line is one JSON object.

    python3 -m benchmarks.claims [--quick]

Five processes on loopback, each with its part in every group, real files and HTTP; each message and answer takes 1.4 ms
more one way and each write 2 ms more, as between and on core machines. Each process asks for 60 claims a second, spread
over all groups, of which one in ten was asked for before. By the number of groups: claims answered a second, their time
at the median and at 99 % in ms, processor ms a claim a machine (the mean, and of the busiest one), bytes of bodies a
claim; and of a calm without any claim processor ms and bytes a second a machine.
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

MACHINES = 5
RATE = 60.0  # claims a second through each machine
ONE_WAY, SYNC = 0.0014, 0.002  # seconds
PORT = 21_700
START = 4.0  # seconds for the groups to find leaders


class FarStore(Store):
    """A store on a disk whose writes take longer."""

    def write(self, save: Save) -> None:
        """One transaction, durable on return."""
        super().write(save)
        time.sleep(SYNC)


class FarCaller(http_client.HttpClient):
    """Calls to machines some way off."""

    async def send(self, *given: object, **options: object) -> tuple[int, dict[str, str], bytes]:
        """A call and its answer, each of which takes its way."""
        await asyncio.sleep(ONE_WAY)
        found = await super().send(*given, **options)  # type: ignore[arg-type]
        await asyncio.sleep(ONE_WAY)
        return found


def context(number: int, folder: str, caller: http_client.HttpClient) -> GroupContext:
    """What the groups of one process share."""
    addresses = [f"127.0.0.1:{PORT + n}" for n in range(MACHINES)]
    settings = Settings(
        node_name=f"c{number}",
        data_dir=f"{folder}/{number}",
        initial_boot=True,
        machine=Machine(disk_mb=256),
        tolerance=Tolerance(machines=MACHINES // 2),
    )
    founders = {f"{at}#founder": at for at in addresses}
    return GroupContext(settings, addresses[number], founders, caller, 100 * number, clock() - 10.0, FarStore)


async def asks(groups: ClaimGroups, number: int, seconds: float) -> list[tuple[str, float]]:
    """Outcomes and times of claims asked at random moments."""
    chance, found, tasks = random.Random(number), [], []

    async def one(claim: Claim) -> None:
        begun = clock()
        result = await groups.claim(claim, 2.0)
        found.append((result.outcome.value, clock() - begun))

    due, until, count = clock(), clock() + seconds, 0
    while (due := due + chance.expovariate(RATE)) < until:
        await asyncio.sleep(max(0.0, due - clock()))
        count += chance.random() > 0.1
        holder = Holder(groups.groups[0].machine.address, f"life{number:012d}", f"{chance.getrandbits(64):016x}")
        claim = Claim(operation_id("tenant", f"k-{number}-{count}"), holder)
        tasks.append(asyncio.create_task(one(claim)))
    await asyncio.gather(*tasks)
    return found


async def work(number: int, parts: int, folder: str, seconds: float) -> None:
    """One machine: its groups, served and asked."""
    caller = FarCaller()
    with (
        mock.patch.object(messages, "PARTITION_COUNT", parts),
        mock.patch.object(claim_group, "PARTITION_COUNT", parts),
        mock.patch.object(claim_groups, "PARTITION_COUNT", parts),
    ):
        groups = ClaimGroups(context(number, folder, caller))

        async def told(request: Request) -> HTTPResponse:
            return json_response(await groups.exchange(json_body(request)))

        async def taken(request: Request) -> HTTPResponse:
            return json_response(await groups.handle_claims(json_body(request)))

        made = make_app(f"bench{number}")
        made.add_route(told, MESSAGES_PATH, methods=["POST"])
        made.add_route(taken, CLAIMS_PATH, methods=["POST"])
        listener = Listener(made)
        await listener.start("127.0.0.1", PORT + number)
        groups.start()
        await asyncio.sleep(START)
        calm = cost(caller)
        await asyncio.sleep(seconds / 2)
        busy = cost(caller)
        found = await asks(groups, number, seconds)
        end = cost(caller)
        leads = sum(group.is_leader for group in groups.groups)
        print(json.dumps({"calm": minus(busy, calm), "busy": minus(end, busy), "found": found, "leads": leads}))
        sys.stdout.flush()
        await asyncio.sleep(1.0)  # the others may still be asking
        os._exit(0)


def cost(caller: http_client.HttpClient) -> list[float]:
    """Seconds of the processor, bytes of bodies and calls so far."""
    moved = sum(caller.sent_bytes.values()) + sum(caller.received_bytes.values())
    return [time.process_time(), moved, caller.call_count]


def minus(late: list[float], early: list[float]) -> list[float]:
    """What was added."""
    return [one - two for one, two in zip(late, early)]


def run(parts: int, seconds: float) -> dict:
    """All processes, and what they found together."""
    with tempfile.TemporaryDirectory() as folder:
        command = [sys.executable, "-m", "benchmarks.claims", "--worker"]
        ends = [
            subprocess.Popen(
                [*command, str(number), str(parts), folder, str(seconds)],
                stdout=subprocess.PIPE,
                stderr=subprocess.DEVNULL,
                text=True,
            )
            for number in range(MACHINES)
        ]
        told = [json.loads(end.communicate()[0].splitlines()[-1]) for end in ends]
    found = [one for each in told for one in each["found"]]
    took = sorted(one[1] * 1e3 for one in found if one[0] != Outcome.UNAVAILABLE.value)
    cpu = [each["busy"][0] * 1e3 / len(found) for each in told]
    calm = seconds / 2
    return {
        "claims_s": round(len(took) / seconds, 1),
        "unavailable": len(found) - len(took),
        "p50_ms": round(statistics.median(took), 1),
        "p99_ms": round(took[int(len(took) * 0.99)], 1),
        "cpu_ms_a_claim_a_machine": round(statistics.mean(cpu), 3),
        "cpu_ms_a_claim_busiest": round(max(cpu), 3),
        "calls_a_claim": round(sum(each["busy"][2] for each in told) / len(found), 2),
        "body_bytes_a_claim": round(sum(each["busy"][1] for each in told) / len(found)),
        "calm_cpu_ms_s_a_machine": round(statistics.mean(each["calm"][0] for each in told) * 1e3 / calm, 2),
        "calm_calls_s": round(sum(each["calm"][2] for each in told) / calm, 1),
        "calm_body_bytes_s": round(sum(each["calm"][1] for each in told) / calm),
        "leaders": [each["leads"] for each in told],
    }


def main(given: list[str]) -> None:
    """All numbers of groups, one after the other."""
    if given[:1] == ["--worker"]:
        asyncio.run(work(int(given[1]), int(given[2]), given[3], float(given[4])))
        return
    seconds = 6.0 if "--quick" in given else 20.0
    print(json.dumps({f"parts_{parts}": run(parts, seconds) for parts in (1, 3, 5)}))


if __name__ == "__main__":
    main(sys.argv[1:])
