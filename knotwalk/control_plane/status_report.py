"""A core's status report for operators; read-only. Pure.

`leases` counts slices by conductor; an edge is `current` if it had all of this core's updates at its last call.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

from knotwalk.configuration.documents import format_version
from knotwalk.configuration.index import RouteIndex
from knotwalk.consensus.machine import Machine
from knotwalk.control_plane.replicated_state import ReplicatedState
from knotwalk.discovery.loads import EDGE_EXPIRY_S, LoadReports
from knotwalk.discovery.view_publisher import ViewPublisher
from knotwalk.discovery.view_types import SLICE_WIDTH, node_to_wire


def status(
    now: float,
    me: str,
    machine: Machine,
    state: ReplicatedState,
    view_publisher: ViewPublisher,
    loads: LoadReports,
    fresh: bool,
    edge_calls: dict[str, tuple[float, str, int]],
) -> dict[str, Any]:
    """The core's status. `edge_calls`: for each edge that calls here, when it called last, and the epoch and revision
    of the cluster view that it had then."""
    edges = []
    for name, heard_at in sorted(loads.edges.items()):
        if now - heard_at >= EDGE_EXPIRY_S:
            continue
        report: dict[str, Any] = {"edge": name, "ago": round(now - heard_at, 3)}
        if name in edge_calls and now - edge_calls[name][0] < EDGE_EXPIRY_S:
            report["current"] = edge_calls[name][1:] == (view_publisher.epoch, view_publisher.revision)
        edges.append(report)
    leases, unopened = {}, {}
    for service, slices in state.ledger.slices.items():
        leases[service] = dict(sorted(Counter(slice.conductor for slice in slices).items()))
        unopened[service] = sum(not slice.open for slice in slices)
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
        "config_version": format_version(state.version) if state.configuration else None,
        "config_order": state.configuration_index,
        "tenants": len(state.configuration.tenants) if state.configuration else 0,
        "nodes": {
            "order": list(view_publisher.nodes_order),
            "count": len(view_publisher.nodes),
            "draining": sum(node.draining for node in view_publisher.nodes.values()),
            "ailing": sorted(view_publisher.outliers),
        },
        "board": {"epoch": view_publisher.epoch, "at": view_publisher.revision},
        "leases": leases,
        "changing_hands": unopened,
        "edges": edges,
    }


def explain(
    now: float, state: ReplicatedState, view_publisher: ViewPublisher, host: str, path: str, key: int | None
) -> dict[str, Any]:
    """The route that this core finds for a request, and for each of its services the nodes that may run it."""
    if state.configuration is None:
        return {"config_version": None, "route": None, "services": []}
    version = format_version(state.version)
    route = RouteIndex(state.configuration).find(host, path)
    if route is None:
        return {"config_version": version, "route": None, "services": []}
    services: list[dict[str, Any]] = []
    for name, weight in route.splits:
        report: dict[str, Any] = {
            "service": name,
            "weight": weight,
            "sharded": state.configuration.services[name].sharded,
        }
        service_nodes = [node for node in view_publisher.nodes.values() if node.service == name]
        report["nodes"] = {"count": len(service_nodes), "draining": sum(node.draining for node in service_nodes)}
        if report["sharded"] and key is not None and name in state.ledger.slices:
            slice = state.ledger.slices[name][key // SLICE_WIDTH]
            node = view_publisher.nodes.get(slice.owner)
            report["line"] = {
                "slice": key // SLICE_WIDTH,
                "first_key": key // SLICE_WIDTH * SLICE_WIDTH,
                "last_key": key // SLICE_WIDTH * SLICE_WIDTH + SLICE_WIDTH - 1,
                "conductor": slice.conductor,
                "owner": slice.owner,
                "fence": slice.fence,
                "open": slice.open,
                "before": [id for id, _ in slice.previous_holders],
                "node": node_to_wire(node, now) if node else None,
            }
        services.append(report)
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
