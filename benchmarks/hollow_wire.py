"""One core's port for edges as a process, and hollow edges that call it over loopback; for benchmarks/capacity.py.

python3 -m benchmarks.hollow_wire EDGES    # the core: prints its port, then figures for each line that it is given
python3 -m benchmarks.hollow_wire node     # a node that takes every grant: prints its port
"""

import asyncio
import json
import resource
import statistics
import sys
import time
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import httptools

from benchmarks.hollow import Core, Fleet
from knotwalk.control_plane.peer_api import PeerApi
from knotwalk.discovery.view_types import Node
from knotwalk.edge.caller import Caller
from knotwalk.runtime.call import Caller as CoreCaller
from knotwalk.runtime.errors import PeerError
from knotwalk.runtime.logs import clock
from knotwalk.runtime.serve import Listener

WAIT = 1.0  # s that a core holds a call without news, as `edge.link` asks


def cpu() -> float:
    """Processor seconds of this process."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


class HollowCore:
    """The real port for peers before a real board; nobody else of the core is there."""

    def __init__(self, edges: int) -> None:
        self.fleet = Fleet(edges)
        self.core = Core(self.fleet)
        self.core.lay_out()
        poller: Any = SimpleNamespace(settings=SimpleNamespace(zone="zone-0"))
        none: Any = None
        self.api = PeerApi("core-0", none, poller, self.core.manager, self.core.board, self.core.loads, none)
        self.api.fresh_until = float("inf")
        self.order = 1

    async def serve(self) -> None:
        """Listen, and obey lines: `join`, `drain`, `move` bring news, anything else only figures."""
        listener = Listener(self.api.app())
        await listener.start("127.0.0.1", 0)
        board = self.core.board
        held = {"epoch": board.epoch, "at": board.at, "config": board.config[0], "lines": board.lines_order}
        held["nodes"] = list(board.nodes_order)
        print(json.dumps({"port": listener.server.server.sockets[0].getsockname()[1], "held": held}), flush=True)
        loop = asyncio.get_running_loop()
        while line := (await loop.run_in_executor(None, sys.stdin.readline)).strip():
            at = self._news(line)
            print(json.dumps({"cpu": cpu(), "at": at, "callers": len(self.core.loads.edges)}), flush=True)
        await listener.close()

    def _news(self, what: str) -> float:
        board, at = self.core.board, clock()
        if what in ("join", "drain"):
            self.order += 1
            nodes: dict[str, Node] = self.fleet.joined() if what == "join" else self.fleet.drained()
            board.set_nodes((1, self.order), nodes, True)
        elif what == "move":
            self.core.index += 1
            owner = next(iter(self.fleet.nodes))
            board.set_lines(self.core.index, self.fleet.sharded[0], dict.fromkeys(range(32), (owner, True)))
        else:
            return at
        self.api.changed()
        return at


class HollowEdge:
    """Calls one core as `edge.link` does, with a ready report; takes no news in but their orders."""

    def __init__(self, name: str, url: str, report: dict, held: dict) -> None:
        self.name, self.url, self.report = name, url, report
        self.caller = Caller()
        self.asked = dict(held)  # as one that has the whole: the first wholes are measured apart
        self.told_at = 0.0
        self.calls = self.failed = 0

    async def run(self) -> None:
        """Call until cancelled; each second's call carries the report."""
        told = float("-inf")
        while True:
            now = clock()
            body = {"edge": self.name, "wait": WAIT, **self.asked}
            if now - told >= WAIT:
                body["report"], told = self.report, now
            try:
                answer = await self.caller.json("POST", self.url, body, WAIT + 5, "view")
            except PeerError:
                self.failed += 1
                continue
            self.calls += 1
            if news := answer.get("news"):
                self.told_at = clock()
                self._taken(news)

    def _taken(self, news: dict) -> None:
        self.asked["epoch"], self.asked["at"] = news["epoch"], news["at"]
        for topic in ("config", "nodes", "lines"):
            if topic in news:
                self.asked[topic] = news[topic]["order"]


class Wire:
    """So many hollow edges before one hollow core of a fleet."""

    def __init__(self, edges: int, callers: int, seconds: float) -> None:
        self.edges, self.callers, self.seconds = edges, callers, seconds

    async def measure(self, reports: list[dict]) -> dict[str, float]:
        """Figures of a calm span, and of one with a node joining, one draining and 32 slices moving."""
        core = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "benchmarks.hollow_wire", str(self.edges), stdin=-1, stdout=-1, limit=1 << 20
        )
        begun = json.loads(await core.stdout.readline())
        url = f"http://127.0.0.1:{begun['port']}/cluster-view"
        edges = [HollowEdge(f"edge-{n}", url, reports[n % len(reports)], begun["held"]) for n in range(self.callers)]
        tasks = [asyncio.create_task(edge.run()) for edge in edges]
        try:
            return await self._spans(core, edges)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            core.stdin.close()
            await core.wait()

    async def _spans(self, core: asyncio.subprocess.Process, edges: list[HollowEdge]) -> dict[str, float]:
        await until(lambda: all(edge.calls for edge in edges))
        first, own, calls = await said(core, "figures"), time.process_time(), sum(e.calls for e in edges)
        began = clock()
        await asyncio.sleep(self.seconds)
        last, span = await said(core, "figures"), clock() - began
        count = sum(e.calls for e in edges) - calls
        found = {
            "view_calls_a_s": count / span,
            "view_call_core_us": 1e6 * (last["cpu"] - first["cpu"]) / count,
            "view_call_edge_us": 1e6 * (time.process_time() - own) / count,
        }
        late = []
        for news in ("join", "drain", "move"):
            before = await said(core, "figures")
            told = await said(core, news)
            await until(lambda at=told["at"]: all(edge.told_at > at for edge in edges))
            late.append(max(edge.told_at for edge in edges) - told["at"])
            after = await said(core, "figures")
            found[f"{news}_core_ms"] = 1e3 * (after["cpu"] - before["cpu"])
        found["news_last_edge_ms"] = 1e3 * statistics.median(late)
        found["view_calls_failed"] = sum(edge.failed for edge in edges)
        return found


async def until(holds: Callable[[], bool]) -> None:
    """Wait for a condition; TimeoutError after a minute."""
    async with asyncio.timeout(60.0):
        while not holds():
            await asyncio.sleep(0.01)


async def said(core: asyncio.subprocess.Process, line: str) -> dict:
    """Tell the hollow core a line; the figures that it answers."""
    core.stdin.write(f"{line}\n".encode())
    return json.loads(await core.stdout.readline())


class HollowNode(asyncio.Protocol):
    """Answers 200 to each call."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A caller has come."""
        self.transport: Any = transport
        self.parser = httptools.HttpRequestParser(self)

    def data_received(self, data: bytes) -> None:
        """Bytes of calls."""
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        """A call is whole."""
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")


async def be_node() -> None:
    """Serve as a node until the input ends."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(HollowNode, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


async def grant_call_us(calls: int) -> float:
    """Processor time of a conductor for one grant's call, its connection kept; of many, thirty at a time."""
    node = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "benchmarks.hollow_wire", "node", stdin=-1, stdout=-1
    )
    url = f"http://127.0.0.1:{int(await node.stdout.readline())}/grant"
    caller, body = CoreCaller(resets=True), {"source_version": 0, "target_version": 95, "fence": 7, "hold": "6000ms"}
    try:
        spent = 0.0
        for warm in (True, False):
            start = time.process_time()
            for _ in range(1 if warm else calls // 30):
                await asyncio.gather(*(caller.send("POST", url, body, 5.0, "grant") for _ in range(30)))
            spent = time.process_time() - start
        return 1e6 * spent / (calls // 30 * 30)
    finally:
        await caller.close()
        node.stdin.close()
        await node.wait()


def main() -> None:
    """Be the hollow core, or a hollow node."""
    asyncio.run(be_node() if sys.argv[1] == "node" else HollowCore(int(sys.argv[1])).serve())


if __name__ == "__main__":
    main()
