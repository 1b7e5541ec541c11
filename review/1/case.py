"""CONFIG: uploads that find no server are never answered, and their connections are never given up.

Starts three cores and two edges as processes, and stand-ins for servers, platform, operator and clients (those of the
project). Clients send requests with bodies of 200,000 bytes. One server of eight crashes and is gone. Judged is only
what the clients saw: requests that were unanswered at their route's `timeout`, and half a second later.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import traceback
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from tests.standins import village as village_module
from tests.standins.documents import FIRST, HOST, route
from tests.standins.holders import HoldingNode
from tests.standins.nodes import RawClient, Request
from tests.standins.village import Program, Village

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVERS, WORK_S = 8, 0.05
LISTED_S = 3.0  # for which the platform still lists the crashed server
TIMEOUT_S = 2.0  # the route's `timeout`
SLACK_S = 0.5  # after it: by then most of the requests that were unanswered must have an answer
DEADLINE_MS = 6000  # the client's, later than both
BODY = b"x" * 200_000  # `max_body_bytes` is 1 MiB here, and 64 MiB in the pages' example
PIECE_BYTES, PIECE_PAUSE_S = 16_000, 0.004  # a client some milliseconds away sends it in pieces: 32 Mbit/s
CLIENTS_PER_EDGE, PAUSE_S = 20, 0.4
CALM_S, WATCH_S = 6.0, 12.0  # before the crash, and after it
MIN_UNANSWERED = 8

village_module.TIMEOUT_S = 40.0


def now() -> float:
    """The monotonic clock."""
    return asyncio.get_running_loop().time()


@dataclass
class Try:
    """One request as its client saw it; `answered_at` is 0 if no answer came before the client gave up."""

    attempt: str
    edge: str
    key: int
    sent_at: float  # when its last byte was handed to the connection, which took it
    answered_at: float = 0.0
    outcome: str = ""

    def is_open_after(self, seconds: float) -> bool:
        """Whether it had no answer so many seconds after it was sent."""
        return not self.answered_at or self.answered_at - self.sent_at > seconds


class Server(HoldingNode):
    """A server that works for WORK_S on each request; `begun` counts by Attempt-Id."""

    begun: Counter[str] = Counter()

    async def _work(self, request: Request, writer: asyncio.StreamWriter) -> bytes:
        self.begun[request.attempt] += 1
        await asyncio.sleep(WORK_S)
        return await super()._work(request, writer)


class Case:
    """The deployment, its clients, and what they saw."""

    def __init__(self) -> None:
        self.village = Village(tiles=SERVERS, desk=1, kind=Server, bounds={"grace_period": "6s"})
        self.tries: list[Try] = []
        self.until = self.crash_at = 0.0
        self.crashed = ""

    async def client(self, number: int, edge: Program) -> None:
        """Send uploads on a kept connection, one after the other."""
        chance, sent = random.Random(number), 0
        connection: RawClient | None = None
        while now() < self.until:
            await asyncio.sleep(chance.uniform(0.5, 1.5) * PAUSE_S)
            sent += 1
            if connection is None:
                connection = await self.village.client(edge)
            if not await self.upload(connection, f"c{number}x{sent}", chance.randrange(65536), edge):
                connection = None

    async def upload(self, connection: RawClient, attempt: str, key: int, edge: Program) -> bool:
        """Send one upload; whether the connection can be used again."""
        head = (
            f"POST /upload/{attempt} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n"
            f"Deadline-Ms: {DEADLINE_MS}\r\nShard-Key: {key}\r\nContent-Length: {len(BODY)}\r\n\r\n"
        )
        one = Try(attempt, edge.settings["node_name"], key, now())
        self.tries.append(one)
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                connection.writer.write(head.encode())
                for start in range(0, len(BODY), PIECE_BYTES):
                    connection.writer.write(BODY[start : start + PIECE_BYTES])
                    await connection.writer.drain()
                    await asyncio.sleep(PIECE_PAUSE_S)
                one.sent_at = now()
                status, headers, _ = await connection.answer()
            one.answered_at, one.outcome = now(), str(status)
            if headers.get("connection", "").lower() != "close":
                return True
        except TimeoutError:
            one.outcome = "no answer until the client's deadline"
        except (OSError, EOFError) as error:
            one.answered_at, one.outcome = now(), f"connection ended: {type(error).__name__}"
        connection.close()
        return False

    async def run(self) -> None:
        """Play the case."""
        document = FIRST | {"objects": [*FIRST["objects"], upload_route()]}
        await self.village.start()
        status, _ = await self.village.operator.send("PUT", document, "0")
        if status != 200:
            raise RuntimeError(f"the configuration got {status}")
        await self.village.calm()
        self.crash_at = now() + CALM_S
        self.until = self.crash_at + WATCH_S
        clients = [
            asyncio.create_task(self.client(number, self.village.edges[number % 2]))
            for number in range(2 * CLIENTS_PER_EDGE)
        ]
        await asyncio.sleep(CALM_S)
        if TROUBLE:
            server = self.village.nodes[0]
            self.crashed = server.id
            server.stop()
            await asyncio.sleep(LISTED_S)
            server.shown = False
        await asyncio.gather(*clients)

    def judge(self) -> tuple[list[Try], list[Try]]:
        """The requests unanswered at the route's `timeout`, and those of them unanswered SLACK_S later."""
        open_at_timeout = [one for one in self.tries if one.is_open_after(TIMEOUT_S)]
        return open_at_timeout, [one for one in open_at_timeout if one.is_open_after(TIMEOUT_S + SLACK_S)]

    def record(self) -> str:
        """What was sent, answered and run; times in seconds from the crash."""
        open_at_timeout, still_open = self.judge()
        lines = [f"trouble: {self.crashed + ' crashes at 0' if TROUBLE else 'none'}; tries: {len(self.tries)}"]
        for one in sorted(self.tries, key=lambda one: one.sent_at):
            answered = f"{one.answered_at - self.crash_at:+.3f}" if one.answered_at else "never"
            lines.append(
                f"{one.attempt} by {one.edge}, key {one.key}: sent {one.sent_at - self.crash_at:+.3f}, "
                f"runs {Server.begun[one.attempt]}, answered {answered}: {one.outcome}"
                f"{' <- open after the timeout' if one in still_open else ''}"
            )
        lines.append(f"outcomes: {dict(Counter(one.outcome for one in self.tries))}")
        lines.append(f"unanswered at the timeout: {len(open_at_timeout)}, half a second later: {len(still_open)}")
        return "\n".join(lines) + "\n"


def upload_route() -> dict:
    """A route for uploads that can't be repeated, to the service with keys."""
    return route("upload", "/upload/", "tiles", "non_idempotent", timeout=f"{TIMEOUT_S:g}s", target_latency="800ms")


async def main() -> int:
    """Play the case, write the record, and return the exit code."""
    case = Case()
    try:
        try:
            await case.run()
        finally:
            await case.village.stop()
    except Exception:
        traceback.print_exc()
        return 2
    (FOLDER / "record.txt").write_text(case.record())
    open_at_timeout, still_open = case.judge()
    print(f"tries {len(case.tries)}, unanswered at the timeout {len(open_at_timeout)}, later {len(still_open)}")
    # Eight or more, over a quarter, and more than half: the rule in each of its wordings.
    return 1 if len(still_open) >= MIN_UNANSWERED and 2 * len(still_open) > len(open_at_timeout) else 0


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # so that all processes are ended
    sys.exit(asyncio.run(main()))
