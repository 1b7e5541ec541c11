"""Lists how two configurations differ in meaning, which is in what clients would notice. Pure.

Routes are matched by name. A route whose name is in one configuration only is matched by host and prefix, so that a
mere change of name is reported as such. The order of items and the notation of durations and weights have no meaning.
"""

from __future__ import annotations

from dataclasses import fields
from typing import NamedTuple

from knotwalk.cli.formatting import format_count, format_duration, format_traffic_split
from knotwalk.configuration.index import canonical_host
from knotwalk.configuration.objects import Configuration, Route, Tenant

DURATION_FIELDS = {"timeout", "target_latency", "header_timeout", "idle_timeout", "prewarm"}
FIELD_NAMES = {"deduplicates": "idempotent"}  # attributes that configurations spell differently
KINDS = ("route", "service", "tenant", "limits")


class Difference(NamedTuple):
    """One difference: `what` is added, removed, renamed, moved, split, timeouts or changed."""

    kind: str  # one of KINDS
    name: str
    what: str
    detail: str

    def line(self) -> str:
        """The difference as `diff` and `import` print it."""
        sign = {"added": "+", "removed": "-"}.get(self.what, "~")
        return f"{sign} {self.kind} {self.name}".rstrip() + f" {self.what}: {self.detail}"


def route_location(route: Route) -> tuple[str, str]:
    """Host and path prefix, by which routes of different names are matched."""
    return canonical_host(route.hostname), route.path_prefix


def service_shares(route: Route) -> dict[str, float]:
    """Each service's fraction of the traffic, so that 9 to 1 equals 90 to 10; a service named twice has the sum."""
    total = sum(weight for _, weight in route.splits)
    shares: dict[str, float] = {}
    for service, weight in route.splits:
        shares[service] = shares.get(service, 0.0) + weight / total
    return {service: round(share, 9) for service, share in shares.items()}


def differences(old: Configuration, new: Configuration) -> list[Difference]:
    """All differences, routes first; empty if both have the same meaning."""
    changes: list[Difference] = []
    matches = {name: name for name in old.routes if name in new.routes}
    by_location = {route_location(route): name for name, route in new.routes.items() if name not in old.routes}
    matches |= {
        name: by_location[route_location(route)]
        for name, route in old.routes.items()
        if name not in matches and route_location(route) in by_location
    }
    for name, route in old.routes.items():
        if name in matches:
            changes += _compare_routes(route, new.routes[matches[name]])
        else:
            changes.append(Difference("route", name, "removed", _describe_route(route)))
    matched = set(matches.values())
    changes += [
        Difference("route", name, "added", _describe_route(route))
        for name, route in new.routes.items()
        if name not in matched
    ]
    for name in old.services.keys() | new.services.keys():
        changes += _compare_fields("service", name, old.services.get(name), new.services.get(name))
    for name in old.tenants.keys() | new.tenants.keys():
        changes += _compare_tenants(name, old.tenants.get(name), new.tenants.get(name))
    changes += _compare_fields("limits", "", old.limits, new.limits)
    return sorted(changes, key=lambda difference: (KINDS.index(difference.kind), difference.name, difference.what))


def _describe_route(route: Route) -> str:
    kind = route.route_type + (", public" if route.public else "")
    return (
        f"{route.hostname}{route.path_prefix} -> {format_traffic_split(route.splits)} "
        f"({kind}, timeout {format_duration(route.timeout)})"
    )


def _compare_routes(old: Route, new: Route) -> list[Difference]:
    changes: list[Difference] = []

    def add(what: str, detail: str) -> None:
        changes.append(Difference("route", old.name, what, detail))

    if old.name != new.name:
        add("renamed", new.name)
    if route_location(old) != route_location(new):
        add("changed", f"host and prefix {old.hostname}{old.path_prefix} -> {new.hostname}{new.path_prefix}")
    before, after = service_shares(old), service_shares(new)
    if before != after:
        what = "moved" if len(before) == len(after) == 1 else "split"
        add(what, f"{format_traffic_split(old.splits)} -> {format_traffic_split(new.splits)}")
    changed_durations = [
        f"{name} {format_duration(a)} -> {format_duration(b)}"
        for name in ("timeout", "target_latency")
        if (a := getattr(old, name)) != (b := getattr(new, name))
    ]
    if changed_durations:
        add("timeouts", ", ".join(changed_durations))
    if old.idempotent != new.idempotent:
        add("changed", "may be repeated" if new.idempotent else "may not be repeated any more")
    if old.keyed != new.keyed:
        add("changed", "runs once for an Operation-Key" if new.keyed else "no Operation-Key is heeded any more")
    if old.public != new.public:
        add("changed", "needs no tenant's key" if new.public else "needs a tenant's key")
    for name in ("priority", "retry_count"):
        if (a := getattr(old, name)) != (b := getattr(new, name)):
            add("changed", f"{name} {a} -> {b}")
    return changes


def _compare_tenants(name: str, old: Tenant | None, new: Tenant | None) -> list[Difference]:
    """The differences of a tenant; keys are secret, so only their number is given."""
    if old is None or new is None:
        item = old or new
        detail = ", ".join(
            [
                format_count(len(item.api_keys), "key"),
                *(f"{term} {value}" for term, value in _tenant_terms(item).items()),
            ]
        )
        return [Difference("tenant", name, "removed" if new is None else "added", detail)]
    changes = []
    removed_keys, added_keys = set(old.api_keys) - set(new.api_keys), set(new.api_keys) - set(old.api_keys)
    if removed_keys or added_keys:
        changes.append(
            Difference("tenant", name, "changed", f"keys: {len(added_keys)} added, {len(removed_keys)} removed")
        )
    before, after = _tenant_terms(old), _tenant_terms(new)
    return changes + [
        Difference("tenant", name, "changed", f"{term} {before[term]} -> {after[term]}")
        for term in before
        if before[term] != after[term]
    ]


def _tenant_terms(tenant: Tenant) -> dict[str, str]:
    """What is printed of a tenant beside its keys."""
    return {
        "priority": "of the route" if tenant.priority is None else str(tenant.priority),
        "rate_per_s": f"{tenant.rate_per_s:g}" if tenant.rate_per_s else "no limit",
        "burst_size": f"{tenant.burst_size:g}",
    }


def _compare_fields(kind: str, name: str, old: object, new: object) -> list[Difference]:
    """The differences field by field, or one that says that the item is on one side only."""
    if old is None or new is None:
        item = old or new
        detail = ", ".join(
            f"{_field_name(field.name)} {_format_value(field.name, getattr(item, field.name))}"
            for field in fields(item)
            if field.name != "name"
        )
        return [Difference(kind, name, "removed" if new is None else "added", detail)]
    return [
        Difference(
            kind,
            name,
            "changed",
            f"{_field_name(field.name)} {_format_value(field.name, a)} -> {_format_value(field.name, b)}",
        )
        for field in fields(old)
        if (a := getattr(old, field.name)) != (b := getattr(new, field.name))
    ]


def _field_name(name: str) -> str:
    return FIELD_NAMES.get(name, name)


def _format_value(name: str, value: object) -> str:
    return format_duration(value) if name in DURATION_FIELDS else str(value).lower()
