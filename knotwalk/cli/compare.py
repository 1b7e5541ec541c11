"""Two configurations told apart in meaning: what clients would notice. Pure.

A route is known by its name, and where the name is new by its host and prefix: a mere change of name is told as one.
The order of items and the form of times and weights mean nothing.
"""

from __future__ import annotations

from dataclasses import fields
from typing import NamedTuple

from knotwalk.cli.formatting import format_count, format_duration, format_traffic_split
from knotwalk.configuration.index import canonical_host
from knotwalk.configuration.objects import Configuration, Route, Tenant

TIMES = {"timeout", "target_latency", "header_timeout", "idle_timeout", "prewarm"}
WRITTEN = {"deduplicates": "idempotent"}  # fields whose name in configurations is another one
KINDS = ("route", "service", "tenant", "limits")


class Difference(NamedTuple):
    """One thing that differs: `what` is added, removed, renamed, moved, split, timeouts or changed."""

    kind: str  # one of KINDS
    name: str
    what: str
    detail: str

    def line(self) -> str:
        """As it is shown."""
        sign = {"added": "+", "removed": "-"}.get(self.what, "~")
        return f"{sign} {self.kind} {self.name}".rstrip() + f" {self.what}: {self.detail}"


def place(route: Route) -> tuple[str, str]:
    """Host and path prefix, by which two configurations' routes are the same."""
    return canonical_host(route.hostname), route.path_prefix


def parts(route: Route) -> dict[str, float]:
    """Services by their part of the traffic, the same for 9 to 1 and 90 to 10; a service named twice counts once."""
    total = sum(weight for _, weight in route.splits)
    found: dict[str, float] = {}
    for service, weight in route.splits:
        found[service] = found.get(service, 0.0) + weight / total
    return {service: round(part, 9) for service, part in found.items()}


def differences(old: Configuration, new: Configuration) -> list[Difference]:
    """What differs, routes first; empty if both mean the same."""
    found: list[Difference] = []
    pairs = {name: name for name in old.routes if name in new.routes}
    by_place = {place(route): name for name, route in new.routes.items() if name not in old.routes}
    pairs |= {
        name: by_place[place(route)]
        for name, route in old.routes.items()
        if name not in pairs and place(route) in by_place
    }
    for name, route in old.routes.items():
        if name in pairs:
            found += _route(route, new.routes[pairs[name]])
        else:
            found.append(Difference("route", name, "removed", _shown(route)))
    paired = set(pairs.values())
    found += [
        Difference("route", name, "added", _shown(route)) for name, route in new.routes.items() if name not in paired
    ]
    for name in old.services.keys() | new.services.keys():
        found += _fields("service", name, old.services.get(name), new.services.get(name))
    for name in old.tenants.keys() | new.tenants.keys():
        found += _tenant(name, old.tenants.get(name), new.tenants.get(name))
    found += _fields("limits", "", old.limits, new.limits)
    return sorted(found, key=lambda one: (KINDS.index(one.kind), one.name, one.what))


def _shown(route: Route) -> str:
    kind = route.route_type + (", public" if route.public else "")
    return (
        f"{route.hostname}{route.path_prefix} -> {format_traffic_split(route.splits)} "
        f"({kind}, timeout {format_duration(route.timeout)})"
    )


def _route(old: Route, new: Route) -> list[Difference]:
    found: list[Difference] = []

    def note(what: str, detail: str) -> None:
        found.append(Difference("route", old.name, what, detail))

    if old.name != new.name:
        note("renamed", new.name)
    if place(old) != place(new):
        note("changed", f"host and prefix {old.hostname}{old.path_prefix} -> {new.hostname}{new.path_prefix}")
    before, after = parts(old), parts(new)
    if before != after:
        what = "moved" if len(before) == len(after) == 1 else "split"
        note(what, f"{format_traffic_split(old.splits)} -> {format_traffic_split(new.splits)}")
    times = [
        f"{name} {format_duration(a)} -> {format_duration(b)}"
        for name in ("timeout", "target_latency")
        if (a := getattr(old, name)) != (b := getattr(new, name))
    ]
    if times:
        note("timeouts", ", ".join(times))
    if old.idempotent != new.idempotent:
        note("changed", "may be repeated" if new.idempotent else "may not be repeated any more")
    if old.keyed != new.keyed:
        note("changed", "runs once for an Operation-Key" if new.keyed else "no Operation-Key is heeded any more")
    if old.public != new.public:
        note("changed", "needs no tenant's key" if new.public else "needs a tenant's key")
    for name in ("priority", "retry_count"):
        if (a := getattr(old, name)) != (b := getattr(new, name)):
            note("changed", f"{name} {a} -> {b}")
    return found


def _tenant(name: str, old: Tenant | None, new: Tenant | None) -> list[Difference]:
    """What differs of a tenant; of its keys only how many, since they are secret."""
    if old is None or new is None:
        one = old or new
        detail = ", ".join([format_count(len(one.api_keys), "key"), *(f"{n} {v}" for n, v in _terms(one).items())])
        return [Difference("tenant", name, "removed" if new is None else "added", detail)]
    found = []
    gone, come = set(old.api_keys) - set(new.api_keys), set(new.api_keys) - set(old.api_keys)
    if gone or come:
        found.append(Difference("tenant", name, "changed", f"keys: {len(come)} added, {len(gone)} removed"))
    before, after = _terms(old), _terms(new)
    return found + [
        Difference("tenant", name, "changed", f"{term} {before[term]} -> {after[term]}")
        for term in before
        if before[term] != after[term]
    ]


def _terms(tenant: Tenant) -> dict[str, str]:
    """What is told of a tenant beside its keys."""
    return {
        "priority": "of the route" if tenant.priority is None else str(tenant.priority),
        "rate_per_s": f"{tenant.rate_per_s:g}" if tenant.rate_per_s else "no limit",
        "burst_size": f"{tenant.burst_size:g}",
    }


def _fields(kind: str, name: str, old: object, new: object) -> list[Difference]:
    """Field by field; of something that is on one side only, that."""
    if old is None or new is None:
        one = old or new
        detail = ", ".join(
            f"{_written(f.name)} {_value(f.name, getattr(one, f.name))}" for f in fields(one) if f.name != "name"
        )
        return [Difference(kind, name, "removed" if new is None else "added", detail)]
    return [
        Difference(kind, name, "changed", f"{_written(f.name)} {_value(f.name, a)} -> {_value(f.name, b)}")
        for f in fields(old)
        if (a := getattr(old, f.name)) != (b := getattr(new, f.name))
    ]


def _written(name: str) -> str:
    return WRITTEN.get(name, name)


def _value(name: str, value: object) -> str:
    return format_duration(value) if name in TIMES else str(value).lower()
