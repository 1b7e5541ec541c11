"""Benchmark of configuration parsing, change decisions, route look-ups and the change history.

    python3 -m benchmarks.configuration [--quick]

The last line printed is one JSON object:
- `route_us`: microseconds of one look-up among 10,000 routes over 100 hosts;
- `route_ratio`: how many times longer a linear scan of all routes takes;
- `read_ms`: parsing a document of 2,000 routes;
- `judge_ms`: the complete decision on a PUT of that document;
- `history_day`, `history_week`: bytes that a history of 2,700 and 18,900 changes adds to a configuration of three
  routes: in memory (traced), in a snapshot as JSON, and on disk;
- `history_of_12000`: the share of a week's history in a snapshot with 12,000 routes.
"""

import hashlib
import json
import random
import statistics
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path

from knotwalk.configuration.change_requests import ChangeHistory, decide_change
from knotwalk.configuration.documents import parse_configuration
from knotwalk.configuration.index import RouteIndex, canonical_host
from knotwalk.configuration.objects import Configuration, Route
from knotwalk.consensus.raft_types import Entry, Save
from knotwalk.consensus.store import Store
from knotwalk.control_plane.replicated_state import ReplicatedState

CHANGES_PER_DAY = 2_700  # at the target size of the system


def make_document(routes: int, hosts: int) -> dict:
    """Return a document with `routes` routes over `hosts` hosts; a third of the paths have one segment more."""

    def make_route(number: int) -> dict:
        suffix = f"{number // 3}x/" if number % 3 == 0 else ""
        return {
            "object_kind": "routes",
            "metadata": {"name": f"r-{number}"},
            "specification": {
                "hostname": f"h{number % hosts}.example",
                "path_prefix": f"/p{number}/{suffix}",
                "route_type": "idempotent",
                "timeout": "1000ms",
                "target_latency": "400ms",
                "priority": 2,
                "retry_count": 2,
                "traffic_split": [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}],
            },
        }

    services = [
        {"object_kind": "services", "metadata": {"name": name}, "specification": {"max_connections": 130}}
        for name in "ab"
    ]
    return {"config_version": "r1", "objects": [make_route(number) for number in range(routes)] + services}


def find_by_scan(configuration: Configuration, host: str, path: str) -> Route | None:
    """Find the route with the longest matching prefix by a linear scan, as the reference for `RouteIndex`."""
    host, best = canonical_host(host), None
    for route in configuration.routes.values():
        if route.hostname == host and path.startswith(route.path_prefix):
            if best is None or len(route.path_prefix) > len(best.path_prefix):
                best = route
    return best


def median_seconds(run_count: int, work: Callable[[], object]) -> float:
    """Return the median time of one run of `work`."""
    durations = []
    for _ in range(run_count):
        start = time.perf_counter()
        work()
        durations.append(time.perf_counter() - start)
    return statistics.median(durations)


def make_history(changes: int) -> ChangeHistory:
    """Return a history of `changes` changes whose versions rise by uneven steps."""
    history, version, rng = ChangeHistory(), 0, random.Random(3)
    for _ in range(changes):
        version += rng.randint(1, 5)
        history.record(version, hashlib.sha256(str(version).encode()).hexdigest())
    return history


def make_snapshot(history: ChangeHistory, routes: int) -> dict:
    """Return the snapshot of a replicated state with this history and `routes` routes."""
    state = ReplicatedState()
    state.history, state.configuration = history, parse_configuration(make_document(routes, 50))
    return state.to_dict()


def json_bytes(value: object) -> int:
    """Return the size in bytes of a value as compact JSON."""
    return len(json.dumps(value, separators=(",", ":")))


def disk_bytes(state: dict) -> int:
    """Return the bytes on disk of a closed store that holds only this snapshot."""
    members = {"a:1#founder": "a:1"}
    with tempfile.TemporaryDirectory() as folder:
        store = Store()
        store.open(folder, True, "a:1", members)
        store.write(Save(1, 1, None, [Entry(1, 1, "noop", {})], None, None))
        store.write(Save(2, 1, None, [], None, (1, 1, members, state)))
        store.close()
        return sum(path.stat().st_size for path in Path(folder).iterdir())


def history_bytes(changes: int) -> dict[str, int]:
    """Return the bytes that a history of `changes` changes adds, compared with an empty one."""
    tracemalloc.start()
    history = make_history(changes)
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    full, empty = make_snapshot(history, 3), make_snapshot(ChangeHistory(), 3)
    return {
        "memory": memory_bytes,
        "snapshot": json_bytes(full) - json_bytes(empty),
        "disk": disk_bytes(full) - disk_bytes(empty),
    }


def main(quick: bool) -> None:
    rng = random.Random(11)
    configuration = parse_configuration(make_document(10_000, 100))
    index = RouteIndex(configuration)
    routes = list(configuration.routes.values())
    requests = [
        (route.hostname + ":8080", route.path_prefix + "a/b?c=d")
        for route in rng.choices(routes, k=20 if quick else 200)
    ]
    assert all(index.find(*request) is find_by_scan(configuration, *request) for request in requests)
    run_count = 5 if quick else 25
    indexed_s = (
        median_seconds(run_count, lambda: [index.find(*request) for _ in range(50) for request in requests])
        / 50
        / len(requests)
    )
    scan_s = median_seconds(3, lambda: [find_by_scan(configuration, *request) for request in requests]) / len(requests)
    document = make_document(2_000, 50)
    body = json.dumps(document).encode()
    large = make_snapshot(make_history(7 * CHANGES_PER_DAY), 12_000)
    print(
        json.dumps(
            {
                "route_ratio": round(scan_s / indexed_s, 1),
                "route_us": round(indexed_s * 1e6, 3),
                "read_ms": round(median_seconds(run_count, lambda: parse_configuration(document)) * 1e3, 2),
                "judge_ms": round(
                    median_seconds(run_count, lambda: decide_change(None, ChangeHistory(), "PUT", "0", body)) * 1e3, 2
                ),
                "history_day": history_bytes(CHANGES_PER_DAY),
                "history_week": history_bytes(7 * CHANGES_PER_DAY),
                "history_of_12000": round(json_bytes(large["history"]) / json_bytes(large), 3),
            }
        )
    )


if __name__ == "__main__":
    main("--quick" in sys.argv[1:])
