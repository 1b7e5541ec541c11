"""Parses routes, services, tenants and limits from the fields of their items."""

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

# Bounds of the operator's protocol.
MAX_TIMEOUT_S = 600.0
MAX_TARGET_OVER_TIMEOUT_S = 60.0

# Known route types. Requests of an unknown type run at most once, as those of `non_idempotent`.
ROUTE_TYPES = ("idempotent", "non_idempotent", "keyed")


def _parse_splits(fields: dict) -> tuple[tuple[str, float], ...]:
    """Parse services and weights. Weight 0 is left out, so that it is never chosen; see `named_services`."""
    service, split = fields.get("service"), fields.get("traffic_split")
    if service is not None:
        if split:
            raise FieldError("service and traffic_split are mutually exclusive")
        if split is not None and split != []:
            raise FieldError(f"traffic_split must be a list, not {describe_value(split)}")
        return ((text_field(fields, "service"), 1.0),)
    if split is None:
        raise FieldError("service or traffic_split is required")
    if type(split) is not list:
        raise FieldError(f"traffic_split must be a list, not {describe_value(split)}")
    splits, total = [], 0.0
    for entry in split:
        if type(entry) is not dict:
            raise FieldError(f"each entry of traffic_split must be an object, not {describe_value(entry)}")
        service, weight = text_field(entry, "service"), entry.get("weight")
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
    """All services that a route's validated item names, including those with weight 0."""
    return [entry["service"] for entry in fields.get("traffic_split") or ()] or [fields["service"]]


def parse_route(name: str, fields: dict) -> Route:
    """Parse a route; FieldError if it is invalid."""
    hostname, prefix = text_field(fields, "hostname"), text_field(fields, "path_prefix")
    if prefix[0] != "/" or prefix[-1] != "/":
        raise FieldError(f"path_prefix must start and end with a slash: {describe_value(prefix)}")
    route_type = text_field(fields, "route_type")
    timeout, target = duration_field(fields, "timeout"), duration_field(fields, "target_latency")
    if timeout <= 0:
        raise FieldError("timeout is 0")
    if timeout > MAX_TIMEOUT_S:
        raise FieldError(f"timeout is over ten minutes: {describe_value(fields['timeout'])}")
    # Rounded, since 60.3 - 0.3 is less than 60 in binary floating point.
    if round(target - timeout, 9) >= MAX_TARGET_OVER_TIMEOUT_S:
        raise FieldError(
            f"target_latency exceeds the timeout by a minute or more: {describe_value(fields['target_latency'])}"
        )
    return Route(
        name,
        hostname,
        prefix,
        route_type == "idempotent",
        timeout,
        target,
        integer_field(fields, "priority", minimum=None),
        _parse_splits(fields),
        integer_field(fields, "retry_count"),
        route_type == "keyed",
        boolean_field(fields, "public", False),
    )


def parse_service(name: str, fields: dict) -> Service:
    """Parse a service; FieldError if it is invalid."""
    defaults = Service(name)
    health = text_field(fields, "health_check") if "health_check" in fields else defaults.health_check
    if health[0] != "/":
        raise FieldError(f"health_check must start with a slash: {describe_value(health)}")
    return Service(
        name,
        health,
        integer_field(fields, "max_connections", defaults.max_connections),
        boolean_field(fields, "sharded", defaults.sharded),
        duration_field(fields, "prewarm", defaults.prewarm),
        boolean_field(fields, "idempotent", defaults.deduplicates),
    )


def parse_limits(fields: dict) -> Limits:
    """Parse the limits; FieldError if they are invalid."""
    defaults = Limits()
    return Limits(
        integer_field(fields, "max_header_bytes", defaults.max_header_bytes),
        integer_field(fields, "max_body_bytes", defaults.max_body_bytes),
        duration_field(fields, "header_timeout", defaults.header_timeout),
        duration_field(fields, "idle_timeout", defaults.idle_timeout),
    )


def parse_tenant(name: str, fields: dict) -> Tenant:
    """Parse a tenant; FieldError if it is invalid, whose message never contains a key.

    The name must be printable because it is sent to nodes as a header value."""
    if not name.isprintable() or name != name.strip():
        raise FieldError("name must be printable, without leading or trailing blanks")
    keys = [] if fields.get("api_keys") is None else fields["api_keys"]
    if type(keys) is not list or not all(type(key) is str and key for key in keys):
        raise FieldError("api_keys must be a list of non-empty strings")
    priority = None if fields.get("priority") is None else integer_field(fields, "priority", minimum=None)
    rate, burst = number_field(fields, "rate_per_s"), number_field(fields, "burst_size")
    return Tenant(name, tuple(dict.fromkeys(keys)), priority, rate, burst)
