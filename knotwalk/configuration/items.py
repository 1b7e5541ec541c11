"""Routes, services, tenants and limits, each read and checked from the fields of its item."""

from __future__ import annotations

from knotwalk.configuration.fields import Mistake, amount, flag, shown, text, time_span, whole
from knotwalk.configuration.objects import Limits, Route, Service, Tenant

# Bounds that the operator's protocol gives, in seconds.
LONGEST_TIMEOUT = 600.0
TARGET_OVER_TIMEOUT = 60.0

# What a request may do by its route's type. A type that is not known is taken as one whose requests run at most once.
ROUTE_TYPES = ("idempotent", "non_idempotent", "keyed")


def _splits(fields: dict) -> tuple[tuple[str, float], ...]:
    """Services and weights. Weight 0 is left out, so nobody can pick it; `named_services` reads it from the item."""
    service, sent = fields.get("service"), fields.get("traffic_split")
    if service is not None:
        if sent:
            raise Mistake("service and traffic_split stand side by side")
        if sent is not None and sent != []:
            raise Mistake(f"traffic_split must be a list, not {shown(sent)}")
        return ((text(fields, "service"), 1.0),)
    if sent is None:
        raise Mistake("service is missing, and so is traffic_split")
    if type(sent) is not list:
        raise Mistake(f"traffic_split must be a list, not {shown(sent)}")
    splits, total = [], 0.0
    for part in sent:
        if type(part) is not dict:
            raise Mistake(f"a part of traffic_split must be an object, not {shown(part)}")
        service, weight = text(part, "service"), part.get("weight")
        if type(weight) not in (int, float):
            raise Mistake(f"weight of {shown(service)} must be a number, not {shown(weight)}")
        if not 0 <= weight < 1e18:
            raise Mistake(f"weight of {shown(service)} is out of range: {shown(weight)}")
        if weight:
            splits.append((service, float(weight)))
            total += weight
    if total <= 0:
        raise Mistake("the weights add up to 0")
    return tuple(splits)


def named_services(fields: dict) -> list[str]:
    """All services that a route's checked item names."""
    return [part["service"] for part in fields.get("traffic_split") or ()] or [fields["service"]]


def route_of(name: str, fields: dict) -> Route:
    """A route; Mistake."""
    hostname, prefix = text(fields, "hostname"), text(fields, "path_prefix")
    if prefix[0] != "/" or prefix[-1] != "/":
        raise Mistake(f"path_prefix must start and end with a slash: {shown(prefix)}")
    kind = text(fields, "route_type")
    timeout, target = time_span(fields, "timeout"), time_span(fields, "target_latency")
    if timeout <= 0:
        raise Mistake("timeout is 0")
    if timeout > LONGEST_TIMEOUT:
        raise Mistake(f"timeout is over ten minutes: {shown(fields['timeout'])}")
    # Rounded, since 60.3 - 0.3 in binary falls short of 60.
    if round(target - timeout, 9) >= TARGET_OVER_TIMEOUT:
        raise Mistake(f"target_latency lies a minute or more over the timeout: {shown(fields['target_latency'])}")
    return Route(
        name,
        hostname,
        prefix,
        kind == "idempotent",
        timeout,
        target,
        whole(fields, "priority", least=None),
        _splits(fields),
        whole(fields, "retry_count"),
        kind == "keyed",
        flag(fields, "public", False),
    )


def service_of(name: str, fields: dict) -> Service:
    """A service; Mistake."""
    base = Service(name)
    health = text(fields, "health_check") if "health_check" in fields else base.health_check
    if health[0] != "/":
        raise Mistake(f"health_check must start with a slash: {shown(health)}")
    return Service(
        name,
        health,
        whole(fields, "max_connections", base.max_connections),
        flag(fields, "sharded", base.sharded),
        time_span(fields, "prewarm", base.prewarm),
        flag(fields, "idempotent", base.deduplicates),
    )


def limits_of(fields: dict) -> Limits:
    """The limits; Mistake."""
    base = Limits()
    return Limits(
        whole(fields, "max_header_bytes", base.max_header_bytes),
        whole(fields, "max_body_bytes", base.max_body_bytes),
        time_span(fields, "header_timeout", base.header_timeout),
        time_span(fields, "idle_timeout", base.idle_timeout),
    )


def tenant_of(name: str, fields: dict) -> Tenant:
    """A tenant; Mistake, which never shows a key. Its name goes to nodes as a header's value."""
    if not name.isprintable() or name != name.strip():
        raise Mistake("its name must be printable, with no blank at either end")
    keys = [] if fields.get("api_keys") is None else fields["api_keys"]
    if type(keys) is not list or not all(type(one) is str and one for one in keys):
        raise Mistake("api_keys must be a list of texts")
    priority = None if fields.get("priority") is None else whole(fields, "priority", least=None)
    rate, burst = amount(fields, "rate_per_s"), amount(fields, "burst_size")
    return Tenant(name, tuple(dict.fromkeys(keys)), priority, rate, burst)
