"""Nodes that hold keys: they take grants and releases, run only what they hold, and watch each other for OWNER."""

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
    """What all nodes of a village see together. `broken` names keys that two nodes held, both up, as work began."""

    nodes: list[HoldingNode] = field(default_factory=list)
    broken: list[tuple[int, str, str]] = field(default_factory=list)
    begun: dict[str, list[str]] = field(default_factory=dict)  # by Attempt-Id: nodes that began work on it
    twice: list[str] = field(default_factory=list)  # of those that may run once, begun again

    def begins(self, node: HoldingNode, request: Request, key: int | None) -> None:
        begun = self.begun.setdefault(request.attempt, [])
        if begun and request.line.startswith("POST"):
            self.twice.append(request.attempt)
        begun.append(node.id)
        if key is not None:
            now = clock()
            self.broken += [
                (key, node.id, other.id)
                for other in self.nodes
                if other is not node and other.up and other.until[key] > now
            ]


@dataclass
class HoldingNode(StandIn):
    """A node of a sharded service (`sharded`), or of a plain one. While `gate` is not set, begun work waits."""

    watch: Watch = field(default_factory=Watch)
    service: str = ""
    sharded: bool = True
    state: str = "ready"
    capacity: int = 4
    up: bool = True
    shown: bool = True  # in the platform's list, where a node that crashed stays for a while
    until: list[float] = field(default_factory=lambda: [0.0] * KEY_COUNT, repr=False)
    fences: list[int] = field(default_factory=lambda: [0] * KEY_COUNT, repr=False)
    running: list[tuple[int, asyncio.Event]] = field(default_factory=list, repr=False)
    gate: asyncio.Event = field(default_factory=asyncio.Event)
    place: tuple[str, int] = ("", 0)
    longest: float = 0.0
    released: int = 0
    runs: int = 0  # begun

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
        """How many keys it holds now."""
        now = clock()
        return sum(until > now for until in self.until)

    def listed(self) -> dict:
        """Its entry in the platform's list."""
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
        wanted = request.headers.get("target-instance", self.id)
        key = int(request.headers["shard-key"]) if self.sharded else None
        if wanted != self.id or key is not None and self.until[key] <= clock():
            return answer(request, b"", "421 Misdirected Request", seal=False, extra=NOT_HELD)
        self.watch.begins(self, request, key)
        return self._work

    def seal(self) -> str:
        """The stamp of a run that begins: no other run has it."""
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
        asked = json.loads(request.body)
        part, fence = slice(asked["source_version"], asked["target_version"] + 1), asked["fence"]
        if max(self.fences[part]) > fence:
            return answer(request, b"{}", "409 Conflict", seal=False)
        hold = parse_duration(asked["hold"])
        self.longest = max(self.longest, hold)
        count = part.stop - part.start
        self.fences[part], self.until[part] = [fence] * count, [clock() + hold] * count
        return answer(request, b"{}", seal=False)

    async def _release(self, request: Request, writer: asyncio.StreamWriter) -> bytes:
        """Answered once what runs on the keys has ended."""
        asked = json.loads(request.body)
        first, last = asked["source_version"], asked["target_version"]
        for key in range(first, last + 1):
            if self.fences[key] <= asked["fence"]:
                self.until[key] = 0.0
        for key, done in list(self.running):
            if first <= key <= last:
                await done.wait()
        self.released += 1
        return answer(request, b"", seal=False, extra=f"Handover: h-{self.id}\r\n")
