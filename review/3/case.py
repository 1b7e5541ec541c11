"""LOST: an edge that got SIGTERM takes requests from kept connections until its end, and cuts those still running.

Starts three cores and two edges as processes, and stand-ins for servers, platform, operator and clients (those of the
project). Clients keep their connections, rest between requests for less than four fifths of `idle_timeout`, and heed
`Connection: close`. One edge gets SIGTERM. Judged is only what clients and servers saw.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import traceback
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from tests.standins import village as village_module
from tests.standins.documents import FIRST, HOST
from tests.standins.holders import HoldingNode
from tests.standins.nodes import RawClient, Request
from tests.standins.village import Program, Village

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE_S = 6.0  # `grace_period` of the small sites
SENT_BY_S = 3.0  # a request sent later than this after the SIGTERM isn't excused by its conductor's work
WORK_S = 1.2  # of a request at a server
DEADLINE_MS = 5000
REST_S = (2.0, 8.0)  # between two requests of a client; four fifths of `idle_timeout` are 12 s
CLIENTS_PER_EDGE = 60
WARM_S = 12.0  # from the first request to the SIGTERM

village_module.TIMEOUT_S = 40.0


@dataclass
class Try:
    """One request as its client saw it; times of this process's monotonic clock."""

    attempt: str
    edge: str
    sent_at: float
    ended_at: float = 0.0
    outcome: str = "open"


class Server(HoldingNode):
    """A server that works for WORK_S on each request; `begun` and `ended` hold times by Attempt-Id."""

    begun: dict[str, float] = {}
    ended: dict[str, float] = {}

    async def _work(self, request: Request, writer: asyncio.StreamWriter) -> bytes:
        self.begun[request.attempt] = now()
        await asyncio.sleep(WORK_S)
        result = await super()._work(request, writer)
        self.ended[request.attempt] = now()
        return result


def now() -> float:
    """The monotonic clock."""
    return asyncio.get_running_loop().time()


class Client:
    """A client with one kept connection. Further connections go to edges that are ready."""

    def __init__(self, number: int, edge: Program, case: Case):
        self.number, self.edge, self.case = number, edge, case
        self.random, self.sent = random.Random(number), 0
        self.connection: RawClient | None = None

    async def run(self) -> None:
        """Send a request, wait for its answer, rest, and so on, until the case ends."""
        await asyncio.sleep(self.random.uniform(0.0, REST_S[1]))
        while now() < self.case.until:
            if self.connection is None:
                self.edge = self.edge if self.edge is not self.case.stopped else self.case.other
                self.connection = await self.case.village.client(self.edge)
            await self.send(self.connection)
            await asyncio.sleep(self.random.uniform(*REST_S))

    async def send(self, connection: RawClient) -> None:
        """Send one request that can't be repeated, and wait for its answer."""
        self.sent += 1
        one = Try(f"c{self.number}x{self.sent}", self.edge.settings["node_name"], now())
        self.case.tries.append(one)
        connection.writer.write(
            (
                f"POST /order/{one.attempt} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {one.attempt}\r\n"
                f"Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 4\r\n\r\nbody"
            ).encode()
        )
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + 2):
                status, headers, _ = await connection.answer()
            one.outcome = str(status)
            if headers.get("connection", "").lower() == "close":
                connection.close()
                self.connection = None
        except (asyncio.IncompleteReadError, ConnectionError):
            one.outcome = "connection ended without a complete answer"
            connection.close()
            self.connection = None
        except TimeoutError:
            one.outcome = "nothing within the deadline and 2 s"
            connection.close()
            self.connection = None
        one.ended_at = now()


class Case:
    """The deployment, its clients, and what they recorded."""

    def __init__(self) -> None:
        self.village = Village(tiles=2, desk=4, kind=Server, bounds={"grace_period": f"{GRACE_S:g}s"})
        self.tries: list[Try] = []
        self.until = 0.0
        self.stopped: Program | None = None
        self.other: Program = None  # type: ignore[assignment]
        self.signal_at = 0.0

    async def run(self) -> list[Try]:
        """Play the case; return the tries that break the rule."""
        document = FIRST | {"objects": [*FIRST["objects"], order_route()]}
        for node in self.village.nodes:
            node.capacity = 32
        await self.village.start()
        status, _ = await self.village.operator.send("PUT", document, "0")
        if status != 200:
            raise RuntimeError(f"the configuration got {status}")
        await self.village.calm()
        await asyncio.sleep(1.0)
        first, self.other = self.village.edges
        begun = now()
        self.until = begun + WARM_S + GRACE_S + 2.0
        clients = [Client(number, self.village.edges[number % 2], self) for number in range(CLIENTS_PER_EDGE * 2)]
        tasks = [asyncio.create_task(client.run()) for client in clients]
        await asyncio.sleep(WARM_S)
        self.signal_at = now()
        if TROUBLE:
            self.stopped = first
            first.send(signal.SIGTERM)
            await asyncio.sleep(GRACE_S)
            first.kill()  # the platform's SIGKILL; the process has ended by itself before
        await asyncio.gather(*tasks)
        return [one for one in self.tries if self.breaks_rule(one, first)]

    def breaks_rule(self, one: Try, edge: Program) -> bool:
        """LOST: taken by the stopped edge around its SIGTERM, passed on, ended without an answer, and not excused."""
        after = one.sent_at - self.signal_at
        return (
            one.edge == edge.settings["node_name"]
            and one.outcome == "connection ended without a complete answer"
            and one.attempt in Server.begun
            and one.ended_at - one.sent_at < DEADLINE_MS / 1000
            and 0.0 <= one.ended_at - self.signal_at <= GRACE_S + 1.0
            # Otherwise excused: its conductor was still at work in the last sixth of `grace_period`.
            and after > SENT_BY_S
        )

    def record(self, broken: list[Try]) -> str:
        """What was sent, answered and run, as lines of text; times in seconds from the SIGTERM."""
        lines = [f"trouble: {'SIGTERM to edge-1' if TROUBLE else 'none'}; tries: {len(self.tries)}"]
        for one in sorted(self.tries, key=lambda one: one.sent_at):
            run = Server.begun.get(one.attempt)
            done = Server.ended.get(one.attempt)
            lines.append(
                f"{one.attempt} by {one.edge}: sent {one.sent_at - self.signal_at:+.3f}, "
                f"run {f'{run - self.signal_at:+.3f}' if run else 'never'}, "
                f"run ended {f'{done - self.signal_at:+.3f}' if done else 'never'}, "
                f"end {one.ended_at - self.signal_at:+.3f}: {one.outcome}"
                f"{' <- breaks LOST' if one in broken else ''}"
            )
        lines.append(f"requests that break LOST: {len(broken)}")
        return "\n".join(lines) + "\n"


def order_route() -> dict:
    """A route for requests that can't be repeated, to the service without keys."""
    return {
        "object_kind": "routes",
        "metadata": {"name": "order"},
        "specification": {
            "hostname": HOST,
            "path_prefix": "/order/",
            "route_type": "non_idempotent",
            "timeout": "5s",
            "target_latency": "2s",
            "priority": 1,
            "service": "desk",
            "retry_count": 2,
        },
    }


async def main() -> int:
    """Play the case, write the record, and return the exit code."""
    case = Case()
    try:
        try:
            broken = await case.run()
        finally:
            await case.village.stop()
    except Exception:
        traceback.print_exc()
        return 2
    (FOLDER / "record.txt").write_text(case.record(broken))
    passed_on = sum(one.attempt in Server.begun for one in case.tries)
    print(f"tries {len(case.tries)}, passed on {passed_on}, lost {len(broken)}")
    return 1 if broken else 0


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # so that all processes are ended
    sys.exit(asyncio.run(main()))
