"""The simulated network between processes: calls and answers that are lost, delayed, duplicated, reset and refused."""

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

DELAY_S = 0.0014  # one way
# Calls that may arrive twice without harm.
DUPLICATED_PATHS = frozenset({"/consensus", "/lease", "/cluster-view", "/configuration", "/claim-groups", "/claims"})
CANCEL_SHARE = 0.5  # of the abandoned calls have their handler cancelled by the end of its connection


@dataclass
class Cut:
    """What happens to messages from one host to another: `lost`, `hold` (until the cut ends), `reset` or `refused`.

    `refused`: new connections are refused as by a closed port, though the host is up; calls in progress are reset.
    """

    mode: str
    until: float


@dataclass
class Response:
    """A response: status, headers in lower case, body, and the name of the process that answered."""

    status: int
    headers: dict[str, str]
    body: bytes
    server: str = ""


Handler = Callable[[Any], Awaitable[Any]]


class Wire:
    """The network between all hosts, and the processes that listen on it."""

    def __init__(self, loop: VirtualLoop, seed: int):
        self.loop, self.random = loop, random.Random(f"wire {seed}")
        self.listening: dict[str, tuple[Process, dict[str, Handler]]] = {}
        self.cuts: dict[tuple[str, str], Cut] = {}
        self.silent_hosts: set[str] = set()  # hosts that do not refuse connections either when no program listens
        self.rates: dict[str, float] = {}  # bytes a second, of hosts with narrow links
        self._busy_until: dict[str, float] = {}  # until when such a link is busy
        self.loss_share = self.duplicate_share = 0.0
        self.max_jitter_s = 0.0005
        self.on_message: Callable[[Process, str, str, Any], None] = lambda sender, to, path, body: None

    # -- one way

    def _cut(self, sender: str, to: str) -> Cut | None:
        cut = self.cuts.get((sender, to))
        return cut if cut is not None and cut.until > self.loop.now else None

    def _send_first(
        self,
        sender: str,
        to: str,
        arrive: Callable[[], None],
        reset: Callable[[], None],
        refuse: Callable[[], None],
        size: int,
    ) -> None:
        """Send the first message of a call, unless a cut refuses its connection."""
        cut = self._cut(sender, to)
        if cut is not None and cut.mode == "refused":
            self.loop.world.soon(refuse, wait=DELAY_S)
        else:
            self._send_message(sender, to, arrive, reset, size)

    def _queueing_delay(self, sender: str, to: str, size: int) -> float:
        """Seconds for a message over the narrower of two links, behind earlier messages."""
        wait = 0.0
        for host in (sender, to):
            if rate := self.rates.get(host):
                done = max(self.loop.now, self._busy_until.get(host, 0.0)) + size / rate
                self._busy_until[host] = done
                wait = max(wait, done - self.loop.now)
        return wait

    def _send_message(
        self, sender: str, to: str, arrive: Callable[[], None], reset: Callable[[], None], size: int = 0
    ) -> None:
        """Send one message of `size` bytes: it arrives, is lost, or is answered by a reset."""
        cut = self._cut(sender, to)
        wait = DELAY_S + self.random.uniform(0, self.max_jitter_s) + self._queueing_delay(sender, to, size)
        if cut is not None and cut.mode in ("reset", "refused"):
            self.loop.world.soon(reset, wait=wait)
        elif cut is not None and cut.mode == "hold":
            self.loop.world.soon(arrive, wait=cut.until - self.loop.now + wait)
        elif cut is None and self.random.random() >= self.loss_share:
            self.loop.world.soon(arrive, wait=wait)
        elif cut is None and self.random.random() < 0.8:  # lost once, retransmitted by the kernel
            self.loop.world.soon(arrive, wait=wait + self.random.choice((0.2, 0.2, 0.6, 1.4)))

    # -- a call and its answer

    async def call(
        self, method: str, url: str, data: bytes, headers: dict, timeout_s: float, step: str, resets: bool
    ) -> Response:
        """An HTTP call from the current process."""
        caller, parts = PROCESS.get(), urlsplit(url)
        to, abandoned = parts.netloc, [False]
        serving: list[tuple[Process, asyncio.Task]] = []
        future = self.loop.create_future()

        def fail(error: Exception) -> None:
            caller.soon(lambda: future.done() or future.set_exception(error))

        def reset() -> None:
            fail(PeerError(step, url, "reset"))

        def arrive() -> None:
            if (abandoned[0] or not caller.alive) and (resets or self.random.random() < 0.2):
                return
            listener = self.listening.get(to)
            if listener is None or not listener[0].alive:
                if to.partition(":")[0] not in self.silent_hosts:
                    self._send_message(
                        parts.hostname,
                        caller.host,
                        lambda: fail(ConnectionRefusedPeerError(step, url, "refused")),
                        reset,
                    )
                return
            process, routes = listener
            handler = routes.get(f"{method} {parts.path}") or routes.get("*")
            if handler is None:
                raise LookupError(f"nothing at {url}")
            request = SimpleNamespace(
                method=method,
                path=parts.path,
                headers=headers,
                body=data,
                query=parts.query,
                met_frozen=process.frozen,  # the process stands still as the call arrives, and takes it late
            )
            self.on_message(caller, to, parts.path, data)
            process.soon(lambda: serving.append((process, process.spawn(serve(process, handler, request)))))

        async def serve(process: Process, handler: Handler, request: Any) -> None:
            answer = await handler(request)
            response = Response(
                answer.status, {k.lower(): v for k, v in answer.headers.items()}, answer.body, process.name
            )
            self.on_message(process, caller.host, "answer " + parts.path, response.body)
            self._send_message(
                process.host,
                caller.host,
                lambda: caller.soon(lambda: future.done() or future.set_result(response)),
                reset,
                len(response.body),
            )

        refuse = functools.partial(fail, ConnectionRefusedPeerError(step, url, "refused on the way"))
        self._send_first(caller.host, parts.hostname, arrive, reset, refuse, len(data))
        if parts.path in DUPLICATED_PATHS and self.random.random() < self.duplicate_share:
            self._send_message(caller.host, parts.hostname, arrive, reset)
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            raise PeerError(step, url, f"no answer within {timeout_s:g} s") from None
        finally:
            abandoned[0] = True
            if not future.done() or future.cancelled():
                self._abandon(caller, parts.hostname, serving)

    def _abandon(self, caller: Process, to: str, serving: list[tuple[Process, asyncio.Task]]) -> None:
        """End the connection of an abandoned call: the server may cancel its handler."""
        if self.random.random() < CANCEL_SHARE:
            self._send_message(
                caller.host, to, lambda: [process.soon(task.cancel) for process, task in serving], lambda: None
            )


class Caller:
    """Replaces `http_client.HttpClient` and `edge.caller.Caller`: the same interface, over the simulated network."""

    def __init__(self, wire: Wire, resets: bool = False):
        self.wire, self.resets = wire, resets

    async def send(
        self,
        method: str,
        url: str,
        body: Any = None,
        timeout_s: float = 1.0,
        step: str = "call",
        headers: dict[str, str] | None = None,
        single_use: bool = False,
    ) -> tuple[int, dict[str, str], bytes]:
        response = await self.send_for_response(method, url, body, timeout_s, step, headers)
        return response.status, response.headers, response.body

    async def send_for_response(
        self, method: str, url: str, body: Any, timeout_s: float, step: str, headers: dict[str, str] | None = None
    ) -> Response:
        """Send a call and return the full response, with the process that answered."""
        data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
        return await self.wire.call(method, url, data, headers or {}, timeout_s, step, self.resets)

    async def json(self, method: str, url: str, body: Any = None, timeout_s: float = 1.0, step: str = "call") -> Any:
        status, _, data = await self.send(method, url, body, timeout_s, step)
        return decode_json_response(step, url, status, data)

    async def close(self) -> None:
        pass


class App:
    """Replaces a sanic app; it only has routes."""

    def __init__(self, name: str):
        self.name, self.routes = name, {}

    def add_route(self, handler: Handler, path: str, methods: list[str], error_format: str) -> None:
        for method in methods:
            self.routes[f"{method} {path}"] = handler


class Listener:
    """Replaces `runtime.http_server.Listener`."""

    def __init__(self, wire: Wire, app: App):
        self.wire, self.app, self.address = wire, app, ""

    async def start(self, host: str, port: int) -> None:
        self.address = f"{host}:{port}"
        self.wire.listening[self.address] = PROCESS.get(), self.app.routes

    async def close(self) -> None:
        if self.wire.listening.get(self.address, (None,))[0] is PROCESS.get():
            del self.wire.listening[self.address]
