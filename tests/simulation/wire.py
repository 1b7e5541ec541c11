"""The wire between processes: calls and answers that are lost, held up, doubled, reset and refused."""

from __future__ import annotations

import asyncio
import functools
import json
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any
from urllib.parse import urlsplit

from knotwalk.runtime.errors import PeerError, decode_json_response
from knotwalk.runtime.http_client import ConnectionRefusedPeerError
from tests.simulation.loop import PROCESS, Process, VirtualLoop

DELAY = 0.0014  # seconds one way
DOUBLED = frozenset(
    {"/consensus", "/lease", "/cluster-view", "/configuration", "/claim-groups", "/claims"}
)  # what may come twice without harm
CANCELS = 0.5  # share of the calls given up whose handler is cancelled by the end of its connection


@dataclass
class Cut:
    """What happens to messages from one host to another: lost, held until it heals, answered by a reset, or refused.

    `refused`: connections are refused as by a closed port, though the host lives; what is under way is reset.
    """

    mode: str
    until: float


@dataclass
class Answered:
    """What came back: status, headers in lower case, body, and the name of the process that answered."""

    status: int
    headers: dict[str, str]
    body: bytes
    server: str = ""


Handler = Callable[[Any], Awaitable[Any]]


class Wire:
    """All hosts and what lies between them."""

    def __init__(self, loop: VirtualLoop, seed: int):
        self.loop, self.random = loop, random.Random(f"wire {seed}")
        self.listening: dict[str, tuple[Process, dict[str, Handler]]] = {}
        self.cuts: dict[tuple[str, str], Cut] = {}
        self.dark: set[str] = set()  # hosts that say nothing at all where no program listens
        self.rates: dict[str, float] = {}  # bytes a second of hosts whose links are narrow
        self._busy: dict[str, float] = {}  # until when such a link is taken
        self.loss = self.double = 0.0
        self.late = 0.0005
        self.on_message: Callable[[str, str, str, Any], None] = lambda sender, to, path, body: None

    # -- one way

    def _cut(self, sender: str, to: str) -> Cut | None:
        cut = self.cuts.get((sender, to))
        return cut if cut is not None and cut.until > self.loop.now else None

    def _set_out(
        self,
        sender: str,
        to: str,
        arrive: Callable[[], None],
        reset: Callable[[], None],
        refuse: Callable[[], None],
        size: int,
    ) -> None:
        """Have a call's first message arrive, unless something on the way refuses its connection."""
        cut = self._cut(sender, to)
        if cut is not None and cut.mode == "refused":
            self.loop.world.soon(refuse, wait=DELAY)
        else:
            self._travel(sender, to, arrive, reset, size)

    def _queued(self, sender: str, to: str, size: int) -> float:
        """Seconds that a message takes over the narrower of two links, behind what they carry already."""
        wait = 0.0
        for host in (sender, to):
            if rate := self.rates.get(host):
                done = max(self.loop.now, self._busy.get(host, 0.0)) + size / rate
                self._busy[host] = done
                wait = max(wait, done - self.loop.now)
        return wait

    def _travel(
        self, sender: str, to: str, arrive: Callable[[], None], reset: Callable[[], None], size: int = 0
    ) -> None:
        """Have one message of `size` bytes arrive, or not."""
        cut = self._cut(sender, to)
        wait = DELAY + self.random.uniform(0, self.late) + self._queued(sender, to, size)
        if cut is not None and cut.mode in ("reset", "refused"):
            self.loop.world.soon(reset, wait=wait)
        elif cut is not None and cut.mode == "hold":
            self.loop.world.soon(arrive, wait=cut.until - self.loop.now + wait)
        elif cut is None and self.random.random() >= self.loss:
            self.loop.world.soon(arrive, wait=wait)
        elif cut is None and self.random.random() < 0.8:  # lost once, sent again by the kernel
            self.loop.world.soon(arrive, wait=wait + self.random.choice((0.2, 0.2, 0.6, 1.4)))

    # -- a call and its answer

    async def call(
        self, method: str, url: str, data: bytes, headers: dict, patience: float, step: str, resets: bool
    ) -> Answered:
        """An HTTP call from the process that runs."""
        caller, parts = PROCESS.get(), urlsplit(url)
        to, given_up = parts.netloc, [False]
        serving: list[tuple[Process, asyncio.Task]] = []
        future = self.loop.create_future()

        def fail(error: Exception) -> None:
            caller.soon(lambda: future.done() or future.set_exception(error))

        def reset() -> None:
            fail(PeerError(step, url, "reset"))

        def arrive() -> None:
            if (given_up[0] or not caller.alive) and (resets or self.random.random() < 0.2):
                return
            found = self.listening.get(to)
            if found is None or not found[0].alive:
                if to.partition(":")[0] not in self.dark:
                    self._travel(
                        parts.hostname,
                        caller.host,
                        lambda: fail(ConnectionRefusedPeerError(step, url, "refused")),
                        reset,
                    )
                return
            process, routes = found
            handler = routes.get(f"{method} {parts.path}") or routes.get("*")
            if handler is None:
                raise LookupError(f"nothing at {url}")
            request = SimpleNamespace(method=method, path=parts.path, headers=headers, body=data, query=parts.query)
            self.on_message(caller.host, to, parts.path, data)
            process.soon(lambda: serving.append((process, process.spawn(serve(process, handler, request)))))

        async def serve(process: Process, handler: Handler, request: Any) -> None:
            answer = await handler(request)
            found = Answered(
                answer.status, {k.lower(): v for k, v in answer.headers.items()}, answer.body, process.name
            )
            self.on_message(process.host, caller.host, "answer " + parts.path, found.body)
            self._travel(
                process.host,
                caller.host,
                lambda: caller.soon(lambda: future.done() or future.set_result(found)),
                reset,
                len(found.body),
            )

        refuse = functools.partial(fail, ConnectionRefusedPeerError(step, url, "refused on the way"))
        self._set_out(caller.host, parts.hostname, arrive, reset, refuse, len(data))
        if parts.path in DOUBLED and self.random.random() < self.double:
            self._travel(caller.host, parts.hostname, arrive, reset)
        try:
            async with asyncio.timeout(patience):
                return await future
        except TimeoutError:
            raise PeerError(step, url, f"no answer within {patience:g} s") from None
        finally:
            given_up[0] = True
            if not future.done() or future.cancelled():
                self._give_up(caller, parts.hostname, serving)

    def _give_up(self, caller: Process, to: str, serving: list[tuple[Process, asyncio.Task]]) -> None:
        """The connection ends: its server may cancel what it does for it."""
        if self.random.random() < CANCELS:
            self._travel(
                caller.host, to, lambda: [process.soon(task.cancel) for process, task in serving], lambda: None
            )


class Caller:
    """In place of `http_client.HttpClient` and `edge.caller.Caller`: the same interface, over the world's wire."""

    def __init__(self, wire: Wire, resets: bool = False):
        self.wire, self.resets = wire, resets

    async def send(
        self,
        method: str,
        url: str,
        body: Any = None,
        patience: float = 1.0,
        step: str = "call",
        headers: dict[str, str] | None = None,
        single_use: bool = False,
    ) -> tuple[int, dict[str, str], bytes]:
        found = await self.answered(method, url, body, patience, step, headers)
        return found.status, found.headers, found.body

    async def answered(
        self, method: str, url: str, body: Any, patience: float, step: str, headers: dict[str, str] | None = None
    ) -> Answered:
        """The whole answer, with who gave it."""
        data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
        return await self.wire.call(method, url, data, headers or {}, patience, step, self.resets)

    async def json(self, method: str, url: str, body: Any = None, patience: float = 1.0, step: str = "call") -> Any:
        status, _, data = await self.send(method, url, body, patience, step)
        return decode_json_response(step, url, status, data)

    async def close(self) -> None:
        pass


class App:
    """In place of a sanic app: its routes alone."""

    def __init__(self, name: str):
        self.name, self.routes = name, {}

    def add_route(self, handler: Handler, path: str, methods: list[str], error_format: str) -> None:
        for method in methods:
            self.routes[f"{method} {path}"] = handler


class Listener:
    """In place of `runtime.http_server.Listener`."""

    def __init__(self, wire: Wire, made: App):
        self.wire, self.made, self.at = wire, made, ""

    async def start(self, host: str, port: int) -> None:
        self.at = f"{host}:{port}"
        self.wire.listening[self.at] = PROCESS.get(), self.made.routes

    async def close(self) -> None:
        if self.wire.listening.get(self.at, (None,))[0] is PROCESS.get():
            del self.wire.listening[self.at]
