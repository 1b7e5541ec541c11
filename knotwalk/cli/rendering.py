"""Renders a core's answers (openapi/peers.yaml) as lines for operators. Pure."""

from __future__ import annotations

from typing import Any

from knotwalk.cli.formatting import format_count, format_duration, format_traffic_split


def render_status(status: dict[str, Any]) -> list[str]:
    """The status of a core, one line a topic."""
    lines = [
        f"core {status['me']}: {status['role']} in term {status['term']}, "
        + (f"leader {status['leader']}" if status["leader"] else "no leader known")
        + (", fresh" if status["fresh"] else ", NOT FRESH: sends its edges elsewhere"),
        f"log: commit {status['commit']}, applied {status['applied']}, last {status['last']}",
        f"configuration: {status['config_version'] or 'none yet'}"
        + (f", entry {status['config_order']}" if status["config_version"] else ""),
        f"nodes: {status['nodes']['count']}, {status['nodes']['draining']} draining, list {status['nodes']['order']}",
    ]
    if tenants := status.get("tenants"):
        lines.append(f"tenants: {tenants}")
    if outliers := status["nodes"]["ailing"]:
        lines.append(f"ailing: {', '.join(outliers)}")
    lines += [f"member {id} at {address}" for id, address in sorted(status["members"].items())]
    for service, leases in sorted(status["leases"].items()):
        lines += [
            f"leases of {service}: {format_count(slices, 'slice')} by {conductor or 'nobody'}"
            for conductor, slices in leases.items()
        ]
        if changing := status["changing_hands"][service]:
            lines.append(f"{service}: {format_count(changing, 'slice')} change hands")
    edge_states = {True: "has the whole board", False: "is behind the board", None: "calls another core"}
    lines += [
        f"edge {edge['edge']}: {edge_states[edge.get('current')]}, heard of {format_duration(edge['ago'])} ago"
        for edge in status["edges"]
    ]
    if not status["edges"]:
        lines.append("edges: none heard of")
    return lines


def render_explanation(answer: dict[str, Any]) -> list[str]:
    """Where a request is sent, after a warning if this core may be behind the others."""
    return ["this core is not fresh: the others may have moved on"] * (answer.get("fresh") is False) + _render_route(
        answer
    )


def _render_route(answer: dict[str, Any]) -> list[str]:
    version = answer["config_version"]
    if version is None:
        return ["no configuration has been taken yet"]
    route = answer["route"]
    if route is None:
        return [f"{version}: no route; an edge answers 404"]
    split = format_traffic_split((service["service"], service["weight"]) for service in answer["services"])
    lines = [
        f"{version}: route {route['name']} ({route['hostname']}{route['path_prefix']}) -> {split}",
        f"{_render_kind(route)}, timeout {format_duration(route['timeout'])}, "
        f"target_latency {format_duration(route['target_latency'])}, "
        f"at most {format_count(route['retry_count'], 'node')} a try",
    ]
    for service in answer["services"]:
        nodes = service["nodes"]
        lines.append(
            f"service {service['service']}: {'by key' if service['sharded'] else 'any node'}, "
            f"{format_count(nodes['count'], 'node')}, {nodes['draining']} draining"
        )
        if (assignment := service.get("line")) is not None:
            lines += _render_assignment(assignment)
        elif service["sharded"]:
            lines.append("  its owner hangs on the key: say --key N")
    return lines


def _render_kind(route: dict[str, Any]) -> str:
    """The route's type, and whether it needs a key; cores of an older version send neither `route_type` nor that."""
    kind = route.get("route_type") or ("idempotent" if route["idempotent"] else "non_idempotent")
    return kind + (", needs a tenant's key" if route.get("needs_key") else "")


def _render_assignment(assignment: dict[str, Any]) -> list[str]:
    """Which node holds the slice of a key, and which may still hold it from before."""
    node = assignment["node"]
    state = "open" if assignment["open"] else "changes hands: requests wait, then 503"
    owner = assignment["owner"] or "nobody"
    location = (
        (f"at {node['address']} in {node['zone']}" + (", draining" if node["draining"] else ""))
        if node
        else "not on the list"
        if assignment["owner"]
        else "not placed yet"
    )
    lines = [
        f"  slice {assignment['slice']}, keys {assignment['first_key']} to {assignment['last_key']}: "
        f"owner {owner}, {location}",
        f"  {state}; fence {assignment['fence']}, leased by {assignment['conductor'] or 'nobody'}",
    ]
    if assignment["before"]:
        lines.append(f"  may be held still by {', '.join(assignment['before'])}")
    return lines
