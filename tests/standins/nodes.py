"""Stand-in nodes on loopback, scripted per request, and clients that write raw bytes."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field

from knotwalk.configuration.objects import Configuration, Limits, Route, Service
from knotwalk.discovery.cluster_view import ClusterView
from knotwalk.discovery.view_types import Assignment, Node, ServiceAssignments
from knotwalk.edge.client_server import ClientServer
from knotwalk.runtime.logs import clock
from knotwalk.runtime.settings import parse_settings


@dataclass
class Request:
    """A request as received by a node."""

    line: str
    headers: dict[str, str]
    body: bytes
    connection: int
    reader: asyncio.StreamReader | None = field(default=None, repr=False)

    @property
    def attempt(self) -> str:
        return self.headers.get("attempt-id", "")

    @property
    def tenant(self) -> str:
        """Tenant of the request according to the gateway."""
        return self.headers.get("tenant", "")

    @property
    def operation(self) -> str:
        return self.headers.get("operation-key", "")

    @property
    def showed_key(self) -> bool:
        """Whether the node received the tenant's API key itself."""
        return "authorization" in self.headers


def answer(
    request: Request,
    body: bytes = b"bytes",
    status: str = "200 OK",
    seal: bool | str = True,
    extra: str = "",
    id: str | None = None,
) -> bytes:
    """Returns a complete response. `seal`: the seal's text, or whether to send a default one."""
    head = f"HTTP/1.1 {status}\r\nAttempt-Id: {request.attempt if id is None else id}\r\n"
    stamp = f"Server-Seal: {'s' if seal is True else seal}\r\n" if seal else ""
    head += f"Content-Length: {len(body)}\r\n{stamp}{extra}\r\n"
    return head.encode() + body


SHED = b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
ELSEWHERE = b"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: i-x\r\nContent-Length: 0\r\n\r\n"


@dataclass
class StandIn:
    """A node. Entry n of `script` handles the n-th request (from 0): bytes to send, None to reset the connection, or a
    function or coroutine function of (request, writer) that returns the bytes to send, or None to send nothing more.
    Requests beyond the script get a complete response."""

    id: str = "i-1"
    script: list = field(default_factory=list)
    load: str = ""
    seen: list[Request] = field(default_factory=list)
    connections: int = 0
    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    gone: list[int] = field(default_factory=list)
    server: asyncio.Server | None = None
    arrived: asyncio.Event = field(default_factory=asyncio.Event)
    left: asyncio.Event = field(default_factory=asyncio.Event)

    async def start(self) -> StandIn:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 22)
        return self

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    @property
    def address(self) -> tuple[str, int]:
        return self.server.sockets[0].getsockname()[:2]

    def node(self, service: str = "s", zone: str = "a", capacity: int = 4) -> Node:
        return Node(self.id, service, self.address, zone, capacity)

    def act(self, request: Request):
        """Returns the script entry for a request; `seen` holds the requests before it."""
        if len(self.seen) < len(self.script):
            return self.script[len(self.seen)]
        return answer(request, extra=f"Server-Load: {self.load}\r\n" if self.load else "")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number, self.connections = self.connections, self.connections + 1
        self.writers.append(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                line, *rest = head[:-4].split("\r\n")
                headers = {k.lower(): v for k, v in (h.split(": ", 1) for h in rest)}
                body = b""
                if "content-length" in headers:
                    body = await reader.readexactly(int(headers["content-length"]))
                elif headers.get("transfer-encoding") == "chunked":
                    while size := int(await reader.readuntil(b"\r\n"), 16):
                        body += (await reader.readexactly(size + 2))[:-2]
                    await reader.readexactly(2)
                request = Request(line, headers, body, number, reader)
                act = self.act(request)
                self.seen.append(request)
                self.arrived.set()
                if act is None:
                    writer.transport.abort()
                    return
                if callable(act):
                    act = act(request, writer)
                    if hasattr(act, "__await__"):
                        act = await act
                    if act is None:
                        continue
                writer.write(act)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # cancelled at the end of a test: otherwise asyncio's streams print a traceback
        finally:
            self.gone.append(number)
            self.left.set()
            writer.close()


class Index:
    """Finds the route with the longest matching prefix of a host, like the real index."""

    def __init__(self, routes: list[Route]):
        self.routes = routes

    def find(self, host: str, path: str) -> Route | None:
        fit = [r for r in self.routes if r.hostname == host and path.startswith(r.path_prefix)]
        return max(fit, key=lambda r: len(r.path_prefix), default=None)


def routes(timeout: float = 5.0, aim: float = 2.0, retry_count: int = 2) -> list[Route]:
    """Returns test routes: `/i/` is idempotent, `/n/` is not; `/ki/` and `/kn/` likewise, of a sharded service."""
    return [
        Route(prefix, "h", prefix, idempotent, timeout, aim, 0, ((service, 1.0),), retry_count)
        for prefix, idempotent, service in (
            ("/i/", True, "s"),
            ("/n/", False, "s"),
            ("/ki/", True, "k"),
            ("/kn/", False, "k"),
        )
    ]


def view(nodes: list[Node], route_list: list[Route] | None = None, limits: Limits | None = None) -> ClusterView:
    """Returns a cluster view of these nodes; nodes of service `k` share its slices evenly."""
    cluster_view = ClusterView()
    table = route_list if route_list is not None else routes()
    services = {"s": Service("s"), "k": Service("k", sharded=True)}
    cluster_view.configuration = Configuration(1, {r.name: r for r in table}, services, limits or Limits(), {})
    cluster_view.index = Index(table)  # type: ignore[assignment]
    cluster_view.nodes_order = (0, 0)
    show(cluster_view, nodes)
    return cluster_view


def show(cluster_view: ClusterView, nodes: list[Node]) -> None:
    """Replaces the nodes of a cluster view."""
    cluster_view.nodes = {node.id: node for node in nodes}
    cluster_view.nodes_by_service = {}
    for node in nodes:
        cluster_view.nodes_by_service.setdefault(node.service, []).append(node)
    sharding = cluster_view.assignments["k"] = ServiceAssignments()
    owners = cluster_view.nodes_by_service.get("k", [])
    for index in range(len(sharding.by_slice)):
        if owners:
            owner = owners[index % len(owners)]
            sharding.by_slice[index] = Assignment(owner, True, owner.id)


async def client_server(cluster_view: ClusterView, now: Callable[[], float] = clock, **raw: object) -> ClientServer:
    """Starts a client server on a free port, with a retry budget that is not exhausted."""
    settings = parse_settings(
        {"node_name": "edge", "zone": "a", "listen_addresses": {"data_plane": "127.0.0.1:1"}, **raw}
    )
    settings.listen["data_plane"] = ("127.0.0.1", 0)
    server = ClientServer(settings, cluster_view, now, 1)
    server.forwarder.started_at = now() - 100
    server.edges = 1
    await server.start()
    return server


class RawClient:
    """A client that writes raw bytes and parses responses."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.reader, self.writer = reader, writer

    @classmethod
    async def to(cls, port: int, host: str = "127.0.0.1") -> RawClient:
        return cls(*await asyncio.open_connection(host, port, limit=1 << 22))

    def ask(
        self,
        path: str = "/i/x",
        id: str = "a1",
        method: str = "GET",
        headers: str = "",
        body: bytes = b"",
        deadline: int = 4000,
    ) -> None:
        head = f"{method} {path} HTTP/1.1\r\nHost: h\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline}\r\n{headers}"
        head += f"Content-Length: {len(body)}\r\n" if body else ""
        self.writer.write(head.encode() + b"\r\n" + body)

    async def answer(self, bodiless: bool = False) -> tuple[int, dict[str, str], bytes]:
        """Reads the next response; IncompleteReadError if the connection ends before it is complete."""
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *rest = head[:-4].split("\r\n")
        headers = {k.lower(): v for k, v in (h.split(": ", 1) for h in rest)}
        body = b""
        if bodiless:
            pass
        elif headers.get("transfer-encoding") == "chunked":
            while size := int(await self.reader.readuntil(b"\r\n"), 16):
                body += (await self.reader.readexactly(size + 2))[:-2]
            await self.reader.readexactly(2)
        else:
            body = await self.reader.readexactly(int(headers.get("content-length", 0)))
        return int(line.split(" ")[1]), headers, body

    async def rest(self) -> bytes:
        """Reads all bytes until the other side closes."""
        try:
            return await self.reader.read()
        except ConnectionError:
            return b""

    def reset(self) -> None:
        """Resets the connection. The peer can't distinguish a plain close from a half-close; a reset it can."""
        connection = self.writer.get_extra_info("socket")
        if connection.fileno() != -1:  # otherwise the other side has ended it already
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    def close(self) -> None:
        self.writer.close()
