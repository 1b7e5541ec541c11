"""How long reading, judging and looking up take; the last line is one JSON object.

    python3 -m benchmarks.configuration [--quick]

`route_us` is one look-up among 10,000 routes over 100 hosts, `route_ratio` how many times longer it takes to compare
each route in turn, `read_ms` the reading of 2,000 routes, `judge_ms` the whole decision on a PUT of them.
`history_day` and `history_week` are the bytes that 2,700 and 18,900 remembered orders take beside a configuration of
three routes: traced in memory, in a snapshot as JSON, and on disk; `history_of_12000` their share, after a week, of a
snapshot with 12,000 routes.
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

DAY = 2_700  # changes a day at the size that is aimed at


def made(routes: int, hosts: int) -> dict:
    """A configuration with so many routes; a third of them lie below another one."""

    def item(place: int) -> dict:
        below = f"{place // 3}x/" if place % 3 == 0 else ""
        return {
            "object_kind": "routes",
            "metadata": {"name": f"r-{place}"},
            "specification": {
                "hostname": f"h{place % hosts}.example",
                "path_prefix": f"/p{place}/{below}",
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
    return {"config_version": "r1", "objects": [item(place) for place in range(routes)] + services}


def in_turn(configuration: Configuration, host: str, path: str) -> Route | None:
    """The plain way: every route is compared."""
    host, best = canonical_host(host), None
    for route in configuration.routes.values():
        if route.hostname == host and path.startswith(route.path_prefix):
            if best is None or len(route.path_prefix) > len(best.path_prefix):
                best = route
    return best


def took(times: int, work: Callable[[], object]) -> float:
    """Middle of the seconds that so many runs take each."""
    spans = []
    for _ in range(times):
        start = time.perf_counter()
        work()
        spans.append(time.perf_counter() - start)
    return statistics.median(spans)


def remembering(orders: int) -> ChangeHistory:
    """A history of so many orders, whose versions rise by uneven steps."""
    history, version, chance = ChangeHistory(), 0, random.Random(3)
    for _ in range(orders):
        version += chance.randint(1, 5)
        history.record(version, hashlib.sha256(str(version).encode()).hexdigest())
    return history


def snapshot(history: ChangeHistory, routes: int) -> dict:
    """The agreed state with such a history, as it is put down."""
    state = ReplicatedState()
    state.history, state.configuration = history, parse_configuration(made(routes, 50))
    return state.to_dict()


def size(value: object) -> int:
    """Bytes of a value as JSON without spaces."""
    return len(json.dumps(value, separators=(",", ":")))


def on_disk(state: dict) -> int:
    """Bytes of a closed store that holds this snapshot and nothing else."""
    members = {"a:1#founder": "a:1"}
    with tempfile.TemporaryDirectory() as folder:
        store = Store()
        store.open(folder, True, "a:1", members)
        store.write(Save(1, 1, None, [Entry(1, 1, "noop", {})], None, None))
        store.write(Save(2, 1, None, [], None, (1, 1, members, state)))
        store.close()
        return sum(path.stat().st_size for path in Path(folder).iterdir())


def history_bytes(orders: int) -> dict[str, int]:
    """What so many remembered orders take, against none."""
    tracemalloc.start()
    history = remembering(orders)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    full, empty = snapshot(history, 3), snapshot(ChangeHistory(), 3)
    return {"memory": memory, "snapshot": size(full) - size(empty), "disk": on_disk(full) - on_disk(empty)}


def main(quick: bool) -> None:
    chance = random.Random(11)
    configuration = parse_configuration(made(10_000, 100))
    index = RouteIndex(configuration)
    routes = list(configuration.routes.values())
    asked = [
        (route.hostname + ":8080", route.path_prefix + "a/b?c=d")
        for route in chance.choices(routes, k=20 if quick else 200)
    ]
    assert all(index.find(*one) is in_turn(configuration, *one) for one in asked)
    turns = 5 if quick else 25
    fast = took(turns, lambda: [index.find(*one) for _ in range(50) for one in asked]) / 50 / len(asked)
    slow = took(3, lambda: [in_turn(configuration, *one) for one in asked]) / len(asked)
    whole = made(2_000, 50)
    body = json.dumps(whole).encode()
    large = snapshot(remembering(7 * DAY), 12_000)
    print(
        json.dumps(
            {
                "route_ratio": round(slow / fast, 1),
                "route_us": round(fast * 1e6, 3),
                "read_ms": round(took(turns, lambda: parse_configuration(whole)) * 1e3, 2),
                "judge_ms": round(took(turns, lambda: decide_change(None, ChangeHistory(), "PUT", "0", body)) * 1e3, 2),
                "history_day": history_bytes(DAY),
                "history_week": history_bytes(7 * DAY),
                "history_of_12000": round(size(large["history"]) / size(large), 3),
            }
        )
    )


if __name__ == "__main__":
    main("--quick" in sys.argv[1:])
