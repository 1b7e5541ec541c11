"""Routes, services, tenants and limits, each read and checked from the fields of its item."""

from __future__ import annotations

from knotwalk.configuration.fields import (
    FieldError,
    boolean_field,
    describe_value,
    duration_field,
    integer_field,
    number_field,
    text_field,
)
from knotwalk.configuration.objects import Limits, Route, Service, Tenant

# Bounds that the operator's protocol gives, in seconds.
MAX_TIMEOUT_S = 600.0
MAX_TARGET_OVER_TIMEOUT_S = 60.0

# What a request may do by its route's type. A type that is not known is taken as one whose requests run at most once.
ROUTE_TYPES = ("idempotent", "non_idempotent", "keyed")


def _parse_splits(fields: dict) -> tuple[tuple[str, float], ...]:
    """Services and weights. Weight 0 is left out, so nobody can pick it; `named_services` reads it from the item."""
    service, sent = fields.get("service"), fields.get("traffic_split")
    if service is not None:
        if sent:
            raise FieldError("service and traffic_split stand side by side")
        if sent is not None and sent != []:
            raise FieldError(f"traffic_split must be a list, not {describe_value(sent)}")
        return ((text_field(fields, "service"), 1.0),)
    if sent is None:
        raise FieldError("service is missing, and so is traffic_split")
    if type(sent) is not list:
        raise FieldError(f"traffic_split must be a list, not {describe_value(sent)}")
    splits, total = [], 0.0
    for part in sent:
        if type(part) is not dict:
            raise FieldError(f"a part of traffic_split must be an object, not {describe_value(part)}")
        service, weight = text_field(part, "service"), part.get("weight")
        if type(weight) not in (int, float):
            raise FieldError(f"weight of {describe_value(service)} must be a number, not {describe_value(weight)}")
        if not 0 <= weight < 1e18:
            raise FieldError(f"weight of {describe_value(service)} is out of range: {describe_value(weight)}")
        if weight:
            splits.append((service, float(weight)))
            total += weight
    if total <= 0:
        raise FieldError("the weights add up to 0")
    return tuple(splits)


def named_services(fields: dict) -> list[str]:
    """All services that a route's checked item names."""
    return [part["service"] for part in fields.get("traffic_split") or ()] or [fields["service"]]


def parse_route(name: str, fields: dict) -> Route:
    """A route; Mistake."""
    hostname, prefix = text_field(fields, "hostname"), text_field(fields, "path_prefix")
    if prefix[0] != "/" or prefix[-1] != "/":
        raise FieldError(f"path_prefix must start and end with a slash: {describe_value(prefix)}")
    kind = text_field(fields, "route_type")
    timeout, target = duration_field(fields, "timeout"), duration_field(fields, "target_latency")
    if timeout <= 0:
        raise FieldError("timeout is 0")
    if timeout > MAX_TIMEOUT_S:
        raise FieldError(f"timeout is over ten minutes: {describe_value(fields['timeout'])}")
    # Rounded, since 60.3 - 0.3 in binary falls short of 60.
    if round(target - timeout, 9) >= MAX_TARGET_OVER_TIMEOUT_S:
        raise FieldError(
            f"target_latency lies a minute or more over the timeout: {describe_value(fields['target_latency'])}"
        )
    return Route(
        name,
        hostname,
        prefix,
        kind == "idempotent",
        timeout,
        target,
        integer_field(fields, "priority", least=None),
        _parse_splits(fields),
        integer_field(fields, "retry_count"),
        kind == "keyed",
        boolean_field(fields, "public", False),
    )


def parse_service(name: str, fields: dict) -> Service:
    """A service; Mistake."""
    base = Service(name)
    health = text_field(fields, "health_check") if "health_check" in fields else base.health_check
    if health[0] != "/":
        raise FieldError(f"health_check must start with a slash: {describe_value(health)}")
    return Service(
        name,
        health,
        integer_field(fields, "max_connections", base.max_connections),
        boolean_field(fields, "sharded", base.sharded),
        duration_field(fields, "prewarm", base.prewarm),
        boolean_field(fields, "idempotent", base.deduplicates),
    )


def parse_limits(fields: dict) -> Limits:
    """The limits; Mistake."""
    base = Limits()
    return Limits(
        integer_field(fields, "max_header_bytes", base.max_header_bytes),
        integer_field(fields, "max_body_bytes", base.max_body_bytes),
        duration_field(fields, "header_timeout", base.header_timeout),
        duration_field(fields, "idle_timeout", base.idle_timeout),
    )


def parse_tenant(name: str, fields: dict) -> Tenant:
    """A tenant; Mistake, which never shows a key. Its name goes to nodes as a header's value."""
    if not name.isprintable() or name != name.strip():
        raise FieldError("its name must be printable, with no blank at either end")
    keys = [] if fields.get("api_keys") is None else fields["api_keys"]
    if type(keys) is not list or not all(type(one) is str and one for one in keys):
        raise FieldError("api_keys must be a list of texts")
    priority = None if fields.get("priority") is None else integer_field(fields, "priority", least=None)
    rate, burst = number_field(fields, "rate_per_s"), number_field(fields, "burst_size")
    return Tenant(name, tuple(dict.fromkeys(keys)), priority, rate, burst)
