"""A core's answers as lines for people. Pure; the answers are as openapi/peers.yaml has them."""

from __future__ import annotations

from typing import Any

from knotwalk.cli.formatting import format_count, format_duration, format_traffic_split


def render_status(told: dict[str, Any]) -> list[str]:
    """The account of a core, a line a topic."""
    lines = [
        f"core {told['me']}: {told['role']} in term {told['term']}, "
        + (f"leader {told['leader']}" if told["leader"] else "no leader known")
        + (", fresh" if told["fresh"] else ", NOT FRESH: sends its edges elsewhere"),
        f"log: commit {told['commit']}, applied {told['applied']}, last {told['last']}",
        f"configuration: {told['config_version'] or 'none yet'}"
        + (f", entry {told['config_order']}" if told["config_version"] else ""),
        f"nodes: {told['nodes']['count']}, {told['nodes']['draining']} draining, list {told['nodes']['order']}",
    ]
    if tenants := told.get("tenants"):
        lines.append(f"tenants: {tenants}")
    if ailing := told["nodes"]["ailing"]:
        lines.append(f"ailing: {', '.join(ailing)}")
    lines += [f"member {id} at {address}" for id, address in sorted(told["members"].items())]
    for service, leases in sorted(told["leases"].items()):
        lines += [
            f"leases of {service}: {format_count(slices, 'slice')} by {conductor or 'nobody'}"
            for conductor, slices in leases.items()
        ]
        if changing := told["changing_hands"][service]:
            lines.append(f"{service}: {format_count(changing, 'slice')} change hands")
    words = {True: "has the whole board", False: "is behind the board", None: "calls another core"}
    lines += [
        f"edge {edge['edge']}: {words[edge.get('current')]}, heard of {format_duration(edge['ago'])} ago"
        for edge in told["edges"]
    ]
    if not told["edges"]:
        lines.append("edges: none heard of")
    return lines


def render_explanation(told: dict[str, Any]) -> list[str]:
    """Where a request belongs; said first if the core that tells may be behind the others."""
    return ["this core is not fresh: the others may have moved on"] * (told.get("fresh") is False) + _render_placement(
        told
    )


def _render_placement(told: dict[str, Any]) -> list[str]:
    version = told["config_version"]
    if version is None:
        return ["no configuration has been taken yet"]
    route = told["route"]
    if route is None:
        return [f"{version}: no route; an edge answers 404"]
    parts = format_traffic_split((one["service"], one["weight"]) for one in told["services"])
    lines = [
        f"{version}: route {route['name']} ({route['hostname']}{route['path_prefix']}) -> {parts}",
        f"{_kind(route)}, timeout {format_duration(route['timeout'])}, "
        f"target_latency {format_duration(route['target_latency'])}, "
        f"at most {format_count(route['retry_count'], 'node')} a try",
    ]
    for one in told["services"]:
        nodes = one["nodes"]
        lines.append(
            f"service {one['service']}: {'by key' if one['sharded'] else 'any node'}, "
            f"{format_count(nodes['count'], 'node')}, {nodes['draining']} draining"
        )
        if (line := one.get("line")) is not None:
            lines += _line(line)
        elif one["sharded"]:
            lines.append("  its owner hangs on the key: say --key N")
    return lines


def _kind(route: dict[str, Any]) -> str:
    """What becomes of further tries, and whether a key is needed; cores of an older version tell less."""
    kind = route.get("route_type") or ("idempotent" if route["idempotent"] else "non_idempotent")
    return kind + (", needs a tenant's key" if route.get("needs_key") else "")


def _line(line: dict[str, Any]) -> list[str]:
    node = line["node"]
    state = "open" if line["open"] else "changes hands: requests wait, then 503"
    owner = line["owner"] or "nobody"
    where = (
        (f"at {node['address']} in {node['zone']}" + (", draining" if node["draining"] else ""))
        if node
        else "not on the list"
        if line["owner"]
        else "not placed yet"
    )
    lines = [
        f"  slice {line['slice']}, keys {line['first_key']} to {line['last_key']}: owner {owner}, {where}",
        f"  {state}; fence {line['fence']}, leased by {line['conductor'] or 'nobody'}",
    ]
    if line["before"]:
        lines.append(f"  may be held still by {', '.join(line['before'])}")
    return lines
