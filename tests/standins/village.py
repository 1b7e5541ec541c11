"""A whole system on loopback: three cores, two edges, and stand-ins for platform, nodes, operators and clients.

The cores and edges are processes started with a settings file, as by the platform; the rest runs in this process. All
addresses are on loopback and all ports are chosen by the operating system. `python -m tests.standins.village` starts
one, sends requests through both edges and prints the responses.
"""

from __future__ import annotations

import asyncio
import inspect
import json
import os
import shutil
import socket
import subprocess
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from aiohttp import web

from knotwalk.runtime.errors import PeerError
from knotwalk.runtime.http_client import HttpClient

from .documents import BASE, FIRST, HOST, SHARED, TENANT_CONTRACTS, key_header
from .holders import HoldingNode, Watch
from .nodes import RawClient

ROOT = Path(__file__).parents[2]
CORES = ("127.0.0.1", "127.0.0.2", "127.0.0.3")
PAGE = 4  # nodes per page of the platform's list
SHM = "/dev/shm"
TIMEOUT_S = 90.0  # for any single wait; an idle machine needs a few seconds


def edge_address(number: int) -> str:
    """Returns the IP address of an edge, counted from 0."""
    return f"127.0.{1 + number // 200}.{4 + number % 200}"


class Ports:
    """Reserved ports: each stays bound without listening, so that the system gives it to nobody else."""

    def __init__(self) -> None:
        self.kept: list[socket.socket] = []

    def take(self, *hosts: str) -> int:
        """Reserves a port that is free on all of these addresses."""
        while True:
            sockets: list[socket.socket] = []
            try:
                for host in hosts:
                    sockets.append(socket.socket())
                    sockets[-1].setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    sockets[-1].bind((host, sockets[0].getsockname()[1] if sockets[:-1] else 0))
            except OSError:
                for failed in sockets:
                    failed.close()
                continue
            self.kept += sockets
            return sockets[0].getsockname()[1]

    def close(self) -> None:
        for reserved in self.kept:
            reserved.close()


class Platform:
    """HTTP server for the platform's paged list of nodes."""

    def __init__(self, nodes: list[HoldingNode]):
        self.nodes, self.calls, self.port = nodes, 0, 0
        self.runner: web.ServerRunner | None = None

    async def start(self) -> None:
        self.runner = web.ServerRunner(web.Server(self.list, access_log=None))
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        self.port = self.runner.addresses[0][1]

    async def list(self, request: web.BaseRequest) -> web.Response:
        self.calls += 1
        first = int(request.query.get("page_token", "p-0").removeprefix("p-"))
        page = [node for node in self.nodes if node.shown][first : first + PAGE]
        return web.json_response(
            {
                "instances": {node.id: node.listed() for node in page},
                "next_token": f"p-{first + PAGE}" if len(page) == PAGE else None,
            }
        )


class Program:
    """One process of the system (core or edge), with its settings file, folder and log."""

    def __init__(self, folder: Path, module: str, settings: dict, metrics: int):
        self.folder, self.module, self.settings, self.metrics = folder, module, settings, metrics
        self.ip, self.process = settings["ip_address"], None
        self.log = folder / f"{settings['node_name']}.log"
        self.settings_file = folder / f"{settings['node_name']}.json"

    def start(self, **changes: Any) -> None:
        """Starts the process with the current settings, updated with `changes`."""
        self.settings |= changes
        self.settings_file.write_text(json.dumps(self.settings))
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", self.module, f"--metrics={self.metrics}"],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env=os.environ | {"KNOTWALK_SETTINGS": str(self.settings_file)},
            )

    def send(self, sign: int) -> None:
        self.process.send_signal(sign)

    def kill(self) -> None:
        """Sends SIGKILL and waits for the exit."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def wipe(self) -> None:
        """Deletes its stored data, as if the disk were lost."""
        shutil.rmtree(self.settings["data_dir"])
        Path(self.settings["data_dir"]).mkdir()

    def events(self, name: str) -> list[dict]:
        """Returns the log entries of an event."""
        entries = []
        for line in self.log.read_text().splitlines():
            if line.startswith("{") and line.endswith("}"):
                entries += [event] if (event := json.loads(line))["event"] == name else []
        return entries


class Operator:
    """Operator client: calls any core, follows up to two redirects (307), and tries another core on a 5xx or error."""

    def __init__(self, village: Village):
        self.village, self.turn = village, 0

    async def send(
        self, method: str, document: dict | None = None, base: str = "", within: float = TIMEOUT_S
    ) -> tuple[int, Any]:
        """Returns status and JSON of the first response below 500."""
        loop = asyncio.get_running_loop()
        until, pause = loop.time() + within, 0.05
        while True:
            self.turn += 1
            core_ips = self.village.core_ips
            url = f"http://{core_ips[self.turn % len(core_ips)]}:{self.village.control}/configuration"
            for _ in range(3):
                try:
                    status, heads, data = await self.village.caller.send(
                        method, url, document, 6.0, "operator", {"If-Match": base} if base else None
                    )
                except PeerError:
                    break
                if status != 307:
                    if status < 500:
                        return status, json.loads(data)
                    break
                url = heads["location"]
            if loop.time() > until:
                raise AssertionError(f"{method} was not answered clearly\n{self.village.tails()}")
            await asyncio.sleep(pause)
            pause = min(0.5, 1.5 * pause)


class Village:
    """The whole system. `start` must run in the stand-ins' loop; `stop` ends all processes and deletes all files."""

    core_module, edge_module = "knotwalk.control_plane", "knotwalk.edge"  # the programs' modules

    def __init__(
        self,
        tiles: int = 4,
        desk: int = 2,
        edges: int = 2,
        kind: type[HoldingNode] = HoldingNode,
        bounds: dict[str, Any] | None = None,
        contracts: tuple[str, ...] = (),
        cores: int = len(CORES),
        tolerance: int = 1,
    ):
        """`contracts`: names added to `active_contracts` in the settings, beside BASE.

        `tolerance`: how many core machines may be lost at once, as the settings say."""
        self.core_ips, self.tolerance = CORES[:cores], tolerance
        # In memory where possible: a stalled disk would rightly cost a core its leadership and disturb the test.
        self.folder = Path(tempfile.mkdtemp(prefix="village-", dir=SHM if os.access(SHM, os.W_OK) else None))
        self.ports, self.watch = Ports(), Watch()
        self.nodes = [kind(f"i-t{n}", watch=self.watch, service="tiles") for n in range(tiles)]
        self.nodes += [kind(f"i-d{n}", watch=self.watch, service="desk", sharded=False) for n in range(desk)]
        self.edge_addresses = [edge_address(number) for number in range(edges)]
        self.contracts = [*BASE, *contracts]
        self.bounds = {"drain_timeout": "2500ms", "grace_period": "60s", "max_hold": "10000ms", **(bounds or {})}
        self.platform = Platform(self.nodes)
        self.internal, self.control = self.ports.take(*self.core_ips), self.ports.take(*self.core_ips)
        self.metrics = self.ports.take(*self.core_ips, *self.edge_addresses)
        self.cores: list[Program] = []
        self.edges: list[Program] = []
        self.caller: HttpClient = None  # type: ignore[assignment]
        self.attempts = 0

    async def start(self) -> Village:
        self.caller = HttpClient()
        self.operator = Operator(self)
        for node in self.nodes:
            await node.start()
        await self.platform.start()
        for number, ip in enumerate(self.core_ips, 1):
            (data := self.folder / f"core-{number}.d").mkdir()
            self.cores.append(
                Program(
                    self.folder,
                    self.core_module,
                    self.platform_settings(
                        f"core-{number}",
                        ip,
                        "core",
                        {"control": f"{ip}:{self.control}"},
                        data_dir=str(data),
                        quorum_member=True,
                    ),
                    self.metrics,
                )
            )
        for number, ip in enumerate(self.edge_addresses, 1):
            self.edges.append(
                Program(
                    self.folder,
                    self.edge_module,
                    self.platform_settings(
                        f"edge-{number}",
                        ip,
                        "edge",
                        {"data_plane": f"{ip}:{self.ports.take(ip)}", "readiness": f"{ip}:{self.ports.take(ip)}"},
                    ),
                    self.metrics,
                )
            )
        for program in self.cores + self.edges:
            program.start()
        return self

    def platform_settings(self, name: str, ip: str, kind: str, listen: dict, **more: Any) -> dict:
        """Returns the settings that the platform would write for a process."""
        return {
            "node_name": name,
            "role": kind,
            "machine_class": kind,
            "ip_address": ip,
            "zone": "a",
            "region": "r",
            "serves": ["control_plane" if kind == "core" else "edge"],
            "zones": {"a": "r"},
            "listen_addresses": listen,
            "internal_port_range": [self.internal, self.internal],
            "initial_boot": True,
            "quorum_member": False,
            "seed_nodes": [f"{ip}:{self.control}" for ip in self.core_ips],
            "data_dir": None,
            "heartbeat": "1500ms",
            "limits": {
                "cpu_share": 1.0,
                "cpu_cores": 1,
                "memory_mb": 300,
                "file_descriptors": 1024,
                "link_mbps": 1000.0,
                "disk_mb": 64 if kind == "core" else 0,
            },
            "fault_tolerance": {"machines": self.tolerance, "zones": 0, "regions": 0},
            "grants": "call",
            "a field to skip": 1,
            "active_contracts": self.contracts,
            "timing_bounds": self.bounds,
            "cloud_api": {
                "address": f"127.0.0.1:{self.platform.port}",
                "rate_per_s": 52.0,
                "duties": [],
                "max_lag": "800ms",
            },
            **more,
        }

    async def stop(self) -> None:
        for program in self.cores + self.edges:
            program.kill()
        for node in self.nodes:
            node.stop()
        if self.platform.runner is not None:
            await self.platform.runner.cleanup()
        await self.caller.close()
        self.ports.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    # -- observation

    def tails(self) -> str:
        """Returns the last lines of all logs."""
        return "\n".join(
            f"--- {p.log.name}, process {p.process and p.process.poll()}\n" + p.log.read_text()[-1500:]
            for p in self.cores + self.edges
            if p.log.exists()
        )

    async def until(self, condition: Callable[[], Any], what: str, within: float = TIMEOUT_S) -> Any:
        """Polls a condition until it holds and returns its value; AssertionError after `within` seconds."""
        loop = asyncio.get_running_loop()
        end = loop.time() + within
        while True:
            value = condition()
            if inspect.isawaitable(value):
                value = await value
            if value:
                return value
            if loop.time() > end:
                raise AssertionError(f"{what}: not within {within:g} s\n{self.tails()}")
            await asyncio.sleep(0.02)

    async def fresh(self, core: Program) -> bool:
        """Whether a core is a member in recent contact with the leader and has applied all that was committed then."""
        status = await self.status(core)
        return status is not None and status["fresh"]

    async def status(self, core: Program) -> dict | None:
        """Returns a core's status report; None if it does not answer."""
        try:
            return await self.caller.json("POST", f"http://{core.ip}:{self.internal}/status", {}, 1.0)
        except PeerError:
            return None

    async def leader(self) -> Program | None:
        """Returns the core that reports itself as leader and fresh; None if there is none now."""
        for core in self.cores:
            status = await self.status(core)
            if status is not None and status["role"] == "leader" and status["fresh"]:
                return core
        return None

    async def ready(self, edge: Program) -> bool:
        host_port = edge.settings["listen_addresses"]["readiness"]
        try:
            return (await self.caller.send("GET", f"http://{host_port}/readiness"))[0] == 200
        except PeerError:
            return False

    async def calm(self) -> None:
        """Waits until all cores are fresh, all edges are ready and every key is held."""
        for core in self.cores:
            await self.until(lambda core=core: self.fresh(core), f"{core.ip} fresh")
        for edge in self.edges:
            await self.until(lambda edge=edge: self.ready(edge), f"{edge.ip} ready")
        tiles = [node for node in self.nodes if node.sharded and node.up and node.state == "ready"]
        await self.until(lambda: sum(node.held for node in tiles) == 65536, "every key held")

    # -- clients

    async def client(self, edge: Program) -> RawClient:
        host, _, port = edge.settings["listen_addresses"]["data_plane"].rpartition(":")
        return await RawClient.to(int(port), host)

    def ask(self, client: RawClient, path: str, key: int = 0, method: str = "GET", headers: str = "") -> str:
        """Sends a request with additional header lines `headers`; returns its Attempt-Id."""
        self.attempts += 1
        id = f"a{self.attempts}"
        client.writer.write(
            (
                f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: 50000\r\n"
                f"Shard-Key: {key}\r\n{headers}\r\n"
            ).encode()
        )
        return id

    async def answer(self, client: RawClient) -> tuple[int, dict[str, str], bytes]:
        """Returns a client's next response; TimeoutError if there is none in time."""
        async with asyncio.timeout(TIMEOUT_S):
            return await client.answer()

    async def get(
        self, edge: Program, path: str, key: int = 0, method: str = "GET", headers: str = ""
    ) -> tuple[int, dict[str, str], bytes]:
        """Sends one request on a new connection; returns status, headers and body."""
        client = await self.client(edge)
        try:
            self.ask(client, path, key, method, headers)
            return await self.answer(client)
        finally:
            client.close()


LIMITED_KEY = key_header("k-cedar-1")  # API key of a tenant with a small limit


async def show(village: Village, number: int, method: str, path: str, headers: str = "") -> int:
    """Sends a request through an edge and prints the response; returns its status."""
    edge = village.edges[number]
    status, heads, body = await village.get(edge, path, method=method, headers=headers)
    print(
        f"client: {method} {path} at {edge.settings['node_name']} -> {status}, Server-Seal "
        f"{heads.get('server-seal')}, {body.decode()!r}"
    )
    return status


async def main() -> int:
    """Starts a village, applies a configuration without tenants and then one with, and sends requests to both edges."""
    village = await Village(contracts=TENANT_CONTRACTS).start()
    try:
        for document, base in ((FIRST, "0"), (SHARED, "r3")):
            status, response = await village.operator.send("PUT", document, base)
            print(f"operator: PUT /configuration -> {status} {json.dumps(response)}")
            await village.calm()
            if document is FIRST:
                await show(village, 0, "GET", "/frames/7/12.png")
                await show(village, 1, "GET", "/desk/today")
        operation = key_header("k-alder-1") + "Operation-Key: k-5512\r\n"
        await show(village, 0, "POST", "/pay/1", operation)
        await show(village, 1, "POST", "/pay/1", operation)
        await show(village, 0, "GET", "/open/today")
        await show(village, 0, "GET", "/desk/today", key_header("k-nobody"))
        passed = 0  # requests answered before the tenant's limit was reached
        while (
            passed < 60 and (await village.get(village.edges[passed % 2], "/desk/today", headers=LIMITED_KEY))[0] == 200
        ):
            passed += 1
        await show(village, passed % 2, "GET", f"/desk/after-{passed}", LIMITED_KEY)
        for node in village.nodes:
            for request in (request for request in node.seen if request.operation):
                details = f"Tenant {request.tenant}, Operation-Key {request.operation}, key {request.showed_key}"
                print(f"node {node.id}: {request.line}, {details}")
        return 0
    finally:
        await village.stop()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
