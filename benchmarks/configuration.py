"""How long reading, judging and looking up take; the last line is one JSON object.

    python3 -m benchmarks.configuration [--quick]

`route_us` is one look-up among 10,000 routes over 100 hosts, `route_ratio` how many times longer it takes to compare
each route in turn, `read_ms` the reading of 2,000 routes, `judge_ms` the whole decision on a PUT of them.
"""

import json
import random
import statistics
import sys
import time
from collections.abc import Callable

from knotwalk.configuration.control import History, judge
from knotwalk.configuration.index import Index, canonical_host
from knotwalk.configuration.objects import Configuration, Route
from knotwalk.configuration.read import read_configuration


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


def main(quick: bool) -> None:
    chance = random.Random(11)
    configuration = read_configuration(made(10_000, 100))
    index = Index(configuration)
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
    print(
        json.dumps(
            {
                "route_ratio": round(slow / fast, 1),
                "route_us": round(fast * 1e6, 3),
                "read_ms": round(took(turns, lambda: read_configuration(whole)) * 1e3, 2),
                "judge_ms": round(took(turns, lambda: judge(None, History(), "PUT", "0", body)) * 1e3, 2),
            }
        )
    )


if __name__ == "__main__":
    main("--quick" in sys.argv[1:])
