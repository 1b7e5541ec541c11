"""How each role's state, messages, processor time and memory grow with the fleet; the last line is one JSON object.

    python3 -m benchmarks.capacity [--quick]

Hollow edges and nodes at each size, in the users' proportions (benchmarks/hollow.py), before the real machines of one
core and one edge, one process a size, so that memory is each size's own. `sizes`: the figures by number of edges;
`power`: a figure grows as edges to this power, fitted by least squares over the sizes; `at_630`: measured there, or
carried on by the power where `--quick` stops below. `config`: the same by number of routes. Bytes are of JSON bodies,
without HTTP's heads. Processor time is this machine's.
"""

import asyncio
import gc
import json
import math
import os
import statistics
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable

from benchmarks.configuration import made
from benchmarks.hollow import EDGES, Core, Fleet, grant_body
from benchmarks.hollow_wire import Wire, grant_call_us
from knotwalk.configuration.control import History, judge
from knotwalk.configuration.read import difference, document, read_configuration
from knotwalk.control_plane.replicated_state import ReplicatedState
from knotwalk.discovery.board import Board
from knotwalk.discovery.cluster_view import ClusterView
from knotwalk.discovery.listing import Listing
from knotwalk.discovery.loads import merge

SIZES, QUICK_SIZES = (30, 100, 300, 630), (10, 30, 90)
ROUTES, QUICK_ROUTES = (3, 1_200, 12_000), (3, 300, 1_200)
LOOKS = 10 / 3  # a second: how often loads alone have the placement looked at
POLLS = 2  # a second: readings of the platform's list
CORES = 3
HISTORY = History()  # empty: no call here was taken before


def took(work: Callable[[], object]) -> float:
    """Processor seconds of one run."""
    start = time.process_time()
    work()
    return time.process_time() - start


def size(value: object) -> int:
    """Bytes on the wire."""
    return len(json.dumps(value, separators=(",", ":")))


def resident() -> float:
    """Megabytes in memory now."""
    gc.collect()
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def power(points: dict[int, float]) -> float:
    """Slope of log y by log x, by least squares.

    >>> round(power({10: 5.0, 100: 500.0, 1000: 50000.0}), 3)
    2.0
    """
    pairs = [(math.log(x), math.log(y)) for x, y in points.items() if y > 0]
    if len(pairs) < 2:
        return 0.0
    mean_x, mean_y = (statistics.fmean(column) for column in zip(*pairs, strict=True))
    return sum((x - mean_x) * (y - mean_y) for x, y in pairs) / sum((x - mean_x) ** 2 for x, _ in pairs)


class Size:
    """All figures of one size, in this process."""

    def __init__(self, edges: int, seconds: float) -> None:
        self.seconds, self.found = seconds, {}
        bare = resident()
        self.fleet = Fleet(edges)
        self.core = Core(self.fleet)
        self.found["lay_out_s"] = took(self.core.lay_out)
        for _ in range(30):
            self.core.turn()  # all own slices granted and told
        self.found["core_state_mb"] = resident() - bare
        self.found["nodes"] = len(self.fleet.nodes)
        self.found["sharded_services"] = len(self.fleet.sharded)
        owners = self.core.owners()
        self.reports = [self.fleet.report(owners) for _ in range(edges)]

    def measure(self) -> dict[str, float]:
        """Every kind of message and state, each on its own."""
        self.renewals()
        self.loads()
        self.list()
        self.views()
        self.snapshot()
        callers = math.ceil(self.fleet.edges / CORES)
        self.found |= asyncio.run(Wire(self.fleet.edges, callers, self.seconds).measure(self.reports))
        self.found["grant_call_us"] = asyncio.run(grant_call_us(int(600 * self.seconds)))
        return self.found

    def renewals(self) -> None:
        """Grants of one conductor, a second, without their calls."""
        self.core.grants.clear()
        turns = 48
        spent = took(lambda: [self.core.turn() for _ in range(turns)])
        count = len(self.core.grants)
        self.found["grants_a_s"] = count / (turns / 10)
        self.found["grant_bytes"] = statistics.fmean(len(grant_body(one)) for one in self.core.grants[:500])
        self.found["keeper_core_s_a_s"] = spent / (turns / 10)

    def loads(self) -> None:
        """Reports of a third of the edges, other cores' sums of the rest, judging and placing, a second."""
        core, now = self.core, self.core.now
        own = [json.dumps(one) for one in self.reports[::CORES]]
        others = []
        for n in range(1, CORES):
            sums: dict = {}
            for one in self.reports[n::CORES]:
                merge(sums, json.loads(json.dumps(one)))
            others.append(json.dumps(sums, separators=(",", ":")))
        self.found["report_bytes"] = statistics.fmean(size(one) for one in self.reports)
        self.found["sums_bytes_to_each_core_a_s"] = statistics.fmean(map(len, others))
        spent: dict[str, list[float]] = {"reports": [], "sums": [], "judge": [], "look": []}
        for _ in range(6):
            now += 1.0
            spent["reports"].append(took(lambda: [core.loads.add(now, json.loads(one), True) for one in own]))
            spent["sums"].append(took(lambda: [core.loads.add(now, json.loads(one), False) for one in others]))
            core.loads.take(now)
            spent["judge"].append(took(lambda: core.loads.ailing.judge(now, core.board.nodes)))
            core.keeper.leased(now, now + 2.0, core.index)
            spent["look"].append(took(lambda: core.manager.moves(now)))
        for name, spans in spent.items():
            times = LOOKS if name == "look" else 1
            self.found[f"{name}_core_s_a_s"] = statistics.median(spans[2:]) * times
        core.now = now

    def list(self) -> None:
        """A reading of the platform's list by the leader, and its telling to another core."""
        page, core = self.fleet.page(), self.core
        listing = Listing()
        read = took(lambda: listing.add(core.now, json.loads(page)))
        same = took(lambda: core.board.set_nodes((1, 2), listing.nodes, True))
        self.found["list_bytes_a_s"] = len(page) * POLLS
        self.found["list_core_s_a_s"] = (read + same) * POLLS

    def views(self) -> None:
        """A whole cluster view, and the changes of one node more, one draining, 32 slices moved."""
        core, board = self.core, self.core.board
        bare = ClusterView()
        message, spent = timed(lambda: board.since(bare.ask(), core.now))
        text = json.dumps(message)
        self.found["view_core_ms"] = 1e3 * (spent + took(lambda: json.dumps(message)))
        self.found["view_bytes"] = size(message)
        for topic in ("config", "nodes", "lines"):
            self.found[f"view_{topic}_bytes"] = size(message[topic])
        self.found["view_edge_ms"] = 1e3 * took(lambda: bare.apply(core.now, json.loads(text)))
        tracemalloc.start()
        ClusterView().apply(core.now, json.loads(text))  # warm: what json caches
        before = tracemalloc.get_traced_memory()[0]
        kept = ClusterView()
        kept.apply(core.now, json.loads(text))
        gc.collect()
        self.found["view_edge_mb"] = (tracemalloc.get_traced_memory()[0] - before) / 1e6
        tracemalloc.stop()
        del kept
        self.news(bare)

    def news(self, view: ClusterView) -> None:
        """What each change costs a core once, a core for each edge, and an edge."""
        core, board = self.core, self.core.board
        owner = next(iter(self.fleet.nodes))
        changes: dict[str, Callable[[], object]] = {
            "join": lambda: board.set_nodes((1, 3), self.fleet.joined(), True),
            "drain": lambda: board.set_nodes((1, 4), self.fleet.drained(), True),
            "move": lambda: board.set_lines(
                core.index + 1, self.fleet.sharded[0], dict.fromkeys(range(100, 132), (owner, True))
            ),
        }
        for name, change in changes.items():
            self.found[f"{name}_once_core_ms"] = 1e3 * took(change)
            message, spent = timed(lambda: board.since(view.ask(), core.now))
            self.found[f"{name}_each_core_ms"] = 1e3 * spent
            self.found[f"{name}_bytes"] = size(message)
            self.found[f"{name}_edge_ms"] = 1e3 * took(lambda message=message: view.apply(core.now, message))

    def snapshot(self) -> None:
        """The agreed state as one text, and back."""
        text, wrote = timed(lambda: json.dumps(self.core.state.to_dict(), separators=(",", ":")))
        self.found["snapshot_bytes"] = len(text)
        self.found["snapshot_write_ms"] = 1e3 * wrote
        self.found["snapshot_read_ms"] = 1e3 * took(lambda: ReplicatedState.from_dict(json.loads(text)))


def timed(work: Callable[[], object]) -> tuple:
    """What a run gives, and its processor seconds."""
    start = time.process_time()
    value = work()
    return value, time.process_time() - start


def configuration(routes: int) -> dict[str, float]:
    """One route of so many changed by PATCH: judged, agreed on, applied, told, taken by an edge; middle of five."""
    base = read_configuration(made(routes, max(1, routes // 100)))
    state, board, view = ReplicatedState(), Board("hollow"), ClusterView()
    state.apply(1, {"do": "configure", "base": 0, "version": 1, "digest": "0", "document": document(base)})
    board.set_config(1, document(state.configuration))
    view.apply(1.0, board.since(view.ask(), 1.0))
    rows = []
    for n in range(2, 7):
        route = made(routes, max(1, routes // 100))["objects"][n % routes]
        route["specification"]["timeout"] = f"{1000 + n}ms"
        patch = json.dumps({"config_version": f"r{n}", "upsert": {"objects": [route]}}).encode()
        verdict, judged = timed(
            lambda patch=patch, n=n: judge(state.configuration, HISTORY, "PATCH", str(n - 1), patch)
        )
        assert verdict.status == 200, verdict
        less, differed = timed(lambda verdict=verdict: difference(document(state.configuration), verdict.document))
        command = {"do": "configure", "base": n - 1, "version": n, "digest": str(n), "difference": less}
        said, applied = timed(lambda command=command, n=n: state.apply(n, command))
        assert said[0] == "done", said
        boarded = took(lambda n=n: board.set_config(n, document(state.configuration)))
        message = board.since(view.ask(), 1.0)
        rows.append(
            {
                "judge_leader_ms": 1e3 * (judged + differed),
                "apply_core_ms": 1e3 * (applied + boarded),
                "apply_edge_ms": 1e3 * took(lambda message=message: view.apply(1.0, message)),
                "entry_bytes": size(command),
                "edge_bytes": size(message),
                "whole_bytes": size(document(base)),
                "snapshot_bytes": size(state.to_dict()),
                "snapshot_write_ms": 1e3 * took(lambda: json.dumps(state.to_dict())),
            }
        )
    return {name: statistics.median(row[name] for row in rows) for name in rows[0]}


def of_size(edges: int, seconds: float) -> dict[str, float]:
    """The figures of a size, from a process of its own."""
    command = [sys.executable, "-m", "benchmarks.capacity", f"--size={edges}", f"--seconds={seconds}"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    if done.returncode:
        raise RuntimeError(f"{edges} edges: {done.stderr[-2000:]}")
    return json.loads(done.stdout.splitlines()[-1])


def main(quick: bool) -> None:
    """All sizes, one after the other, and what they grow by."""
    sizes: dict[int, dict[str, float]] = {}
    for edges in QUICK_SIZES if quick else SIZES:
        sizes[edges] = of_size(edges, 2.0 if quick else 4.0)
        print(f"{edges} edges: {json.dumps(rounded(sizes[edges]))}", flush=True)
    routes = {count: configuration(count) for count in (QUICK_ROUTES if quick else ROUTES)}
    names = next(iter(sizes.values()))
    powers = {name: power({edges: found[name] for edges, found in sizes.items()}) for name in names}
    last = max(sizes)
    at = {name: sizes[last][name] * (EDGES / last) ** powers[name] for name in names}
    print(
        json.dumps(
            {
                "power": rounded(powers),
                "at_630": rounded(at),
                "sizes": {edges: rounded(found) for edges, found in sizes.items()},
                "config": {count: rounded(found) for count, found in routes.items()},
            }
        )
    )


def rounded(found: dict[str, float]) -> dict[str, float]:
    """Four figures that count of each number."""
    return {name: float(f"{value:.4g}") for name, value in found.items()}


def given(arguments: list[str], name: str) -> str:
    """The value of `--name=value`, or nothing."""
    return next((one.partition("=")[2] for one in arguments if one.startswith(f"--{name}=")), "")


if __name__ == "__main__":
    if one := given(sys.argv[1:], "size"):
        print(json.dumps(Size(int(one), float(given(sys.argv[1:], "seconds"))).measure()))
    else:
        main("--quick" in sys.argv[1:])
