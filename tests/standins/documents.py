"""Configuration documents as operators send them: one without tenants, and one with tenants and API keys."""

from __future__ import annotations

import copy
from typing import Any

HOST = "tiles.example"
BASE = ("base", "drain", "config", "cost", "retry", "recover", "own")
TENANT_CONTRACTS = ("tenants", "keys", "quota")


def item(kind: str, name: str, specification: dict) -> dict:
    """Returns an entry of `objects`."""
    return {"object_kind": kind, "metadata": {"name": name}, "specification": specification}


def route(name: str, prefix: str, service: str, kind: str = "idempotent", **more: Any) -> dict:
    """Returns a route object."""
    specification = {
        "hostname": HOST,
        "path_prefix": prefix,
        "route_type": kind,
        "timeout": "60s",
        "target_latency": "20s",
        "priority": 1,
        "service": service,
        "retry_count": 2,
    }
    return item("routes", name, {**specification, **more})


def service(name: str, **more: Any) -> dict:
    """Returns a service object."""
    specification = {"health_check": "/health", "max_connections": 130, "protocol": "h1", "tls": False}
    return item("services", name, {**specification, **more})


def tenant(name: str, keys: list[str], rate: float = 0, burst: float = 0, **more: Any) -> dict:
    """Returns a tenant object. `rate` is in requests per second (0: unlimited), `burst` in requests."""
    return item("tenants", name, {"api_keys": keys, "rate_per_s": rate, "burst_size": burst, **more})


def key_header(key: str) -> str:
    """Returns the header line with a client's API key."""
    return f"Authorization: Token {key}\r\n"


LIMITS = {
    "object_kind": "limits",
    "metadata": {},
    "specification": {
        "max_header_bytes": 16384,
        "max_body_bytes": 1 << 20,
        "header_timeout": "3000ms",
        "idle_timeout": "15000ms",
    },
}

FIRST = {
    "config_version": "r3",
    "objects": [
        route("frames", "/frames/", "tiles"),
        route("signup", "/signup/", "tiles", "non_idempotent"),
        route("desk", "/desk/", "desk"),
        service("tiles", sharded=True, prewarm="1s", grants="call"),
        service("desk"),
        LIMITS,
    ],
}

# Two tenants without a limit and one with a small limit; two keyed routes, one of them to the sharded service.
SHARED = copy.deepcopy(FIRST) | {"config_version": "r5"}
SHARED["objects"][3:3] = [
    route("pay", "/pay/", "tiles", "keyed"),
    route("book", "/book/", "desk", "keyed"),
    route("open", "/open/", "desk", public=True),
    tenant("alder", ["k-alder-1", "k-alder-2"], priority=0),
    tenant("birch", ["k-birch-1", "k-birch-2"]),
    tenant("cedar", ["k-cedar-1", "k-cedar-2"], 4, 4),
]
