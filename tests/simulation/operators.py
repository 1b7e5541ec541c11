"""Operators: they read, base changes on the version they know, race for a version, and repeat unanswered calls."""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from knotwalk.runtime.errors import PeerError
from tests.simulation.judges import mark_of
from tests.simulation.loop import Process
from tests.simulation.programs import CONTROL
from tests.simulation.register import Content, OperatorCall
from tests.simulation.wire import Caller

if TYPE_CHECKING:
    from tests.simulation.world import World

OPERATORS = 3
MAX_REPEATS = 8  # of one change, until it is given up
RECENT_COUNT, OLD_SHARE = 40, 0.3  # late repeats are of recent changes, this share of them of any change
LATE_SHARE = 0.15  # share of the calls that repeat an earlier change, whatever its answer was
MAX_REDIRECTS = 3  # redirects followed


@dataclass(frozen=True)
class Change:
    """A change of the configuration as it is sent; a repeat is identical to the byte."""

    method: str
    content: Content
    body: bytes


def document(content: Content, sharded: bool, tenants: list[dict]) -> dict:
    """A configuration document whose only route has the mark as its host."""
    service = {
        "object_kind": "services",
        "metadata": {"name": "s"},
        "specification": {"health_check": "/h", "sharded": sharded},
    }
    return {"config_version": f"r{content.version}", "objects": [service, route(content.mark), *tenants]}


def route(mark: str) -> dict:
    return {
        "object_kind": "routes",
        "metadata": {"name": "r"},
        "specification": {
            "hostname": mark,
            "path_prefix": "/a/",
            "route_type": "idempotent",
            "timeout": "1s",
            "target_latency": "300ms",
            "priority": 1,
            "service": "s",
            "retry_count": 2,
        },
    }


class Operators:
    """All operators of a walk; their calls and answers are recorded in the register."""

    def __init__(self, world: World):
        self.world, self.random = world, random.Random(f"operators {world.seed}")
        self.caller = Caller(world.wire)
        self.known = 0  # newest version that an operator knows
        self.marks = 0
        self.sent: list[Change] = []
        self.stopped = False
        # Some walks have busy operators: more races and unknown outcomes.
        self.pace = self.random.choice((1.0, 1.0, 0.2))

    def start(self) -> None:
        for n in range(OPERATORS):
            Process(self.world.loop, f"operator{n}", f"op{n}").spawn(self._work())

    def _address(self) -> str:
        hosts = [core.host for core in self.world.core_machines.values() if not core.retired]
        return f"{self.random.choice(hosts)}:{CONTROL}"

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(self.pace * self.random.choice((0.02, 0.1, 0.3, 0.6)))
            if self.stopped:
                continue
            what = self.random.random()
            if what < 0.35:
                await self.read()
            elif what < 0.35 + LATE_SHARE and self.sent:
                await self.send(
                    self.random.choice(self.sent if self.random.random() < OLD_SHARE else self.sent[-RECENT_COUNT:])
                )
            else:
                await self.change()

    # -- calls

    async def _call(self, method: str, body: bytes, headers: dict, timeout_s: float) -> tuple[int, Any]:
        """Status and decoded body; status 0 if the outcome is unknown."""
        url = f"http://{self._address()}/configuration"
        for _ in range(MAX_REDIRECTS):
            try:
                response = await self.world.wire.call(method, url, body, headers, timeout_s, "operator", False)
            except PeerError:
                return 0, None
            if response.status != 307:
                return response.status, json.loads(response.body) if response.body else None
            url = response.headers["location"]
        return 0, None

    async def read(self) -> bool:
        """Read the configuration; whether the call was answered."""
        started_at = self.world.loop.now
        status, response_body = await self._call("GET", b"", {}, 1.5)
        if status not in (200, 404):
            return False
        version = int(response_body["config_version"][1:]) if status == 200 else 0
        mark = mark_of(response_body) if status == 200 else None
        self.known = max(self.known, version)
        self.world.register.record(OperatorCall(started_at, self.world.loop.now, status, None, version, mark))
        return True

    async def change(self) -> bool:
        """Send a new change, usually until it is answered; whether it was accepted."""
        base, self.marks = self.known, self.marks + 1
        content = Content(base + self.random.choice((1, 1, 1, 2)), base, f"m{self.marks}.example")
        tenants = self.world.tenants(content)
        if base and self.random.random() < 0.4:
            upserted = [route(content.mark), *tenants]
            body = {"config_version": f"r{content.version}", "upsert": {"objects": upserted}}
            change = Change("PATCH", content, json.dumps(body).encode())
        else:
            change = Change("PUT", content, json.dumps(document(content, self.world.sharded, tenants)).encode())
        self.sent.append(change)
        for _ in range(self.random.choice((1, MAX_REPEATS, MAX_REPEATS))):
            if (status := await self.send(change)) in (200, 400, 412):
                return status == 200
            await asyncio.sleep(self.random.choice((0.01, 0.1, 0.4)))
        return False

    async def send(self, change: Change) -> int:
        """Send a change once: its status, 0 if the outcome is unknown."""
        started_at, content = self.world.loop.now, change.content
        self.world.register.record_sent(content, started_at)
        headers = {"if-match": f"r{content.base}" if content.base else "0"}
        status, response_body = await self._call(
            change.method, change.body, headers, self.random.choice((0.4, 1.5, 4.0))
        )
        call = OperatorCall(started_at, self.world.loop.now, status if status in (200, 400, 412) else 0, content)
        if status == 412 and "config_version" in (response_body or {}):
            call.version = int(response_body["config_version"][1:])
            self.known = max(self.known, call.version)
        if status == 200:
            self.known = max(self.known, content.version)
        self.world.register.record(call)
        return call.status
