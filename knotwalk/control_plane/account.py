"""A core's account of itself, for operators: read, never changed by the asking. Pure.

`leases` counts slices by conductor; an edge is `current` if it had all of this core's board when it last asked.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

from knotwalk.configuration.index import Index
from knotwalk.configuration.read import version_text
from knotwalk.consensus.machine import Machine
from knotwalk.control_plane.replicated_state import ReplicatedState
from knotwalk.discovery.board import Board
from knotwalk.discovery.loads import Loads
from knotwalk.discovery.view_types import WIDTH, entry

EDGES_SPAN = 10.0  # seconds after which an edge that was not heard of counts as gone


def status(
    now: float,
    me: str,
    machine: Machine,
    state: ReplicatedState,
    board: Board,
    loads: Loads,
    fresh: bool,
    asked: dict[str, tuple[float, str, int]],
) -> dict[str, Any]:
    """`asked`: by edge that calls here, when it last did, and the epoch and revision of the board it had then."""
    edges = []
    for name, at in sorted(loads.edges.items()):
        if now - at >= EDGES_SPAN:
            continue
        told: dict[str, Any] = {"edge": name, "ago": round(now - at, 3)}
        if name in asked and now - asked[name][0] < EDGES_SPAN:
            told["current"] = asked[name][1:] == (board.epoch, board.at)
        edges.append(told)
    leases, unopened = {}, {}
    for service, line in state.ledger.slices.items():
        leases[service] = dict(sorted(Counter(x.conductor for x in line).items()))
        unopened[service] = sum(not x.open for x in line)
    return {
        "me": me,
        "role": machine.role,
        "term": machine.term,
        "leader": machine.leader,
        "fresh": fresh,
        "members": machine.members,
        "commit": machine.commit,
        "applied": machine.applied,
        "last": machine.log.last,
        "config_version": version_text(state.version) if state.configuration else None,
        "config_order": state.order,
        "tenants": len(state.configuration.tenants) if state.configuration else 0,
        "nodes": {
            "order": list(board.nodes_order),
            "count": len(board.nodes),
            "draining": sum(node.draining for node in board.nodes.values()),
            "ailing": sorted(board.ailing),
        },
        "board": {"epoch": board.epoch, "at": board.at},
        "leases": leases,
        "changing_hands": unopened,
        "edges": edges,
    }


def explain(now: float, state: ReplicatedState, board: Board, host: str, path: str, key: int | None) -> dict[str, Any]:
    """Where this core holds that a request belongs: its route, and for each service of it who may run it."""
    if state.configuration is None:
        return {"config_version": None, "route": None, "services": []}
    version = version_text(state.version)
    route = Index(state.configuration).find(host, path)
    if route is None:
        return {"config_version": version, "route": None, "services": []}
    services: list[dict[str, Any]] = []
    for name, weight in route.splits:
        told: dict[str, Any] = {
            "service": name,
            "weight": weight,
            "sharded": state.configuration.services[name].sharded,
        }
        there = [node for node in board.nodes.values() if node.service == name]
        told["nodes"] = {"count": len(there), "draining": sum(node.draining for node in there)}
        if told["sharded"] and key is not None and name in state.ledger.slices:
            x = state.ledger.slices[name][key // WIDTH]
            node = board.nodes.get(x.owner)
            told["line"] = {
                "slice": key // WIDTH,
                "first_key": key // WIDTH * WIDTH,
                "last_key": key // WIDTH * WIDTH + WIDTH - 1,
                "conductor": x.conductor,
                "owner": x.owner,
                "fence": x.fence,
                "open": x.open,
                "before": [id for id, _ in x.previous_holders],
                "node": entry(node, now) if node else None,
            }
        services.append(told)
    return {
        "config_version": version,
        "services": services,
        "route": {
            "name": route.name,
            "hostname": route.hostname,
            "path_prefix": route.path_prefix,
            "idempotent": route.idempotent,
            "route_type": route.route_type,
            "needs_key": bool(state.configuration.tenants) and not route.public,
            "timeout": route.timeout,
            "target_latency": route.target_latency,
            "priority": route.priority,
            "retry_count": route.retry_count,
        },
    }
