"""Stand-in nodes with leases on keys: they handle grants and releases, and execute requests only for keys they hold.

They also detect keys that two nodes hold at once (the soak's finding OWNER).
"""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field

from knotwalk.discovery.view_types import KEY_COUNT
from knotwalk.runtime.logs import clock
from knotwalk.runtime.units import parse_duration

from .nodes import Request, StandIn, answer

NOT_HELD = "Not-Executed: 1\r\n"


@dataclass
class Watch:
    """Observations shared by all nodes of a village.

    `conflicts` lists (key, node, other node) where another running node held the key too when execution began.
    """

    nodes: list[HoldingNode] = field(default_factory=list)
    conflicts: list[tuple[int, str, str]] = field(default_factory=list)
    executions: dict[str, list[str]] = field(default_factory=dict)  # by Attempt-Id: nodes that began to execute it
    repeated_runs: list[str] = field(default_factory=list)  # non-idempotent attempts that were executed again

    def on_execution(self, node: HoldingNode, request: Request, key: int | None) -> None:
        executed_by = self.executions.setdefault(request.attempt, [])
        if executed_by and request.line.startswith("POST"):
            self.repeated_runs.append(request.attempt)
        executed_by.append(node.id)
        if key is not None:
            now = clock()
            self.conflicts += [
                (key, node.id, other.id)
                for other in self.nodes
                if other is not node and other.up and other.until[key] > now
            ]


@dataclass
class HoldingNode(StandIn):
    """A node of a sharded (`sharded`) or plain service. Execution of requests waits while `gate` is not set.

    `until` and `fences` hold for each key the end of its grant and its fencing token. `running` lists the key of each
    request in execution, with an event that is set at its end. `longest_hold_s` is the longest hold granted.
    """

    watch: Watch = field(default_factory=Watch)
    service: str = ""
    sharded: bool = True
    state: str = "ready"
    capacity: int = 4
    up: bool = True
    shown: bool = True  # whether the platform lists it: a crashed node stays listed for a while
    until: list[float] = field(default_factory=lambda: [0.0] * KEY_COUNT, repr=False)
    fences: list[int] = field(default_factory=lambda: [0] * KEY_COUNT, repr=False)
    running: list[tuple[int, asyncio.Event]] = field(default_factory=list, repr=False)
    gate: asyncio.Event = field(default_factory=asyncio.Event)
    place: tuple[str, int] = ("", 0)
    longest_hold_s: float = 0.0
    released: int = 0
    runs: int = 0  # executions started

    def __post_init__(self) -> None:
        self.gate.set()
        self.watch.nodes.append(self)

    async def start(self) -> HoldingNode:
        await super().start()
        self.place = self.address
        return self

    def stop(self) -> None:
        self.up = False
        super().stop()

    @property
    def held(self) -> int:
        """Number of keys that it holds now."""
        now = clock()
        return sum(until > now for until in self.until)

    def listed(self) -> dict:
        """Its entry in the platform's list of nodes."""
        host, port = self.place
        return {
            "service": self.service,
            "address": f"{host}:{port}",
            "zone": "a",
            "config_version": "v1",
            "capacity": self.capacity,
            "state": self.state,
            "warmup_left": "0ms",
        }

    def act(self, request: Request):
        method, target, _ = request.line.split(" ")
        if method == "POST" and target == "/grant":
            return self._grant(request)
        if method == "POST" and target == "/release":
            return self._release
        if target == "/health":
            return answer(request, seal=False, extra=f"Instance-Id: {self.id}\r\n")
        target_node = request.headers.get("target-instance", self.id)
        key = int(request.headers["shard-key"]) if self.sharded else None
        if target_node != self.id or key is not None and self.until[key] <= clock():
            return answer(request, b"", "421 Misdirected Request", seal=False, extra=NOT_HELD)
        self.watch.on_execution(self, request, key)
        return self._work

    def seal(self) -> str:
        """Returns a unique `Server-Seal` for an execution that begins."""
        self.runs += 1
        return f"{self.id}.{self.runs}"

    async def _work(self, request: Request, writer: asyncio.StreamWriter) -> bytes:
        done = asyncio.Event()
        work = (int(request.headers.get("shard-key", 0)), done)
        self.running.append(work)
        seal = self.seal()
        try:
            await self.gate.wait()
        finally:
            self.running.remove(work)
            done.set()
        return answer(
            request,
            f"{self.id} {request.line}".encode(),
            seal=seal,
            extra=f"Server-Load: {len(self.running)},0,{self.capacity}\r\n",
        )

    def _grant(self, request: Request) -> bytes:
        grant = json.loads(request.body)
        keys, fence = slice(grant["source_version"], grant["target_version"] + 1), grant["fence"]
        if max(self.fences[keys]) > fence:
            return answer(request, b"{}", "409 Conflict", seal=False)
        hold = parse_duration(grant["hold"])
        self.longest_hold_s = max(self.longest_hold_s, hold)
        count = keys.stop - keys.start
        self.fences[keys], self.until[keys] = [fence] * count, [clock() + hold] * count
        return answer(request, b"{}", seal=False)

    async def _release(self, request: Request, writer: asyncio.StreamWriter) -> bytes:
        """Answers once all requests in execution on the released keys have ended."""
        release = json.loads(request.body)
        first, last = release["source_version"], release["target_version"]
        for key in range(first, last + 1):
            if self.fences[key] <= release["fence"]:
                self.until[key] = 0.0
        for key, done in list(self.running):
            if first <= key <= last:
                await done.wait()
        self.released += 1
        return answer(request, b"", seal=False, extra=f"Handover: h-{self.id}\r\n")
