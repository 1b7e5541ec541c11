"""Configuration documents: parsing and validation, patches, serialization and differences.

The checks are written by hand, because an edge with half a CPU parses thousands of routes between two requests. For
2,000 routes `dacite` alone took 160 to 240 ms, without any semantic checks; everything here takes 20 to 45 ms
(`benchmarks/configuration.py`).
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterable

from knotwalk.configuration.fields import FieldError, describe_value
from knotwalk.configuration.index import canonical_host
from knotwalk.configuration.items import named_services, parse_limits, parse_route, parse_service, parse_tenant
from knotwalk.configuration.objects import Configuration, Limits, Route, Service, Tenant

# The key of `Configuration.items` for all fields but `config_version` and `objects`; an object's kind is never empty.
EXTRA_FIELDS = ("", "")
LIMITS = ("limits", "")

NAMED_KINDS = ("routes", "services", "tenants")
# A version has at most 18 digits, so that it fits a 64-bit integer in any implementation.
VERSION_PATTERN = re.compile(r"r(\d{1,18})", re.ASCII)

ItemKey = tuple[str, str]


class InvalidConfigurationError(Exception):
    """An invalid configuration: the `location` and the `mistake`."""

    def __init__(self, location: str, mistake: str):
        super().__init__(location, mistake)
        self.location, self.mistake = location, mistake

    def __str__(self) -> str:
        return f"{self.location}: {self.mistake}"


def parse_version(text: object) -> int:
    """Parse the number of a version such as `r12`; ValueError if it is invalid."""
    if not isinstance(text, str) or not (match := VERSION_PATTERN.fullmatch(text)):
        raise ValueError(f"must be a version such as r5, not {describe_value(text)}")
    return int(match[1])


def format_version(number: int) -> str:
    """Format a version number as in documents.

    >>> format_version(12)
    'r12'
    """
    return f"r{number}"


def _parse_config_version(document: dict) -> int:
    try:
        return parse_version(document.get("config_version"))
    except ValueError as error:
        raise InvalidConfigurationError("config_version", str(error)) from None


def item_key(item: dict) -> ItemKey:
    """Kind and name of a validated item; the limits have one key, whatever their name."""
    kind = item["object_kind"]
    return LIMITS if kind == "limits" else (kind, (item.get("metadata") or {}).get("name", ""))


def _items_by_key(location: str, objects: object) -> dict[ItemKey, dict]:
    """The items by kind and name, in their order; InvalidConfigurationError if one is malformed or listed twice."""
    if type(objects) is not list:
        raise InvalidConfigurationError(location, f"must be a list, not {describe_value(objects)}")
    items: dict[ItemKey, dict] = {}
    for index, item in enumerate(objects):
        if type(item) is not dict:
            raise InvalidConfigurationError(f"{location}[{index}]", f"must be an object, not {describe_value(item)}")
        kind = item.get("object_kind")
        if type(kind) is not str or not kind:
            raise InvalidConfigurationError(
                f"{location}[{index}]", f"object_kind must be a non-empty string, not {describe_value(kind)}"
            )
        metadata = item.get("metadata", {})
        if type(metadata) is not dict:
            raise InvalidConfigurationError(
                f"{location}[{index}]", f"metadata must be an object, not {describe_value(metadata)}"
            )
        name = metadata.get("name", "")
        if type(name) is not str or not name and kind in NAMED_KINDS:
            raise InvalidConfigurationError(f"{location}[{index}]", "metadata must contain a name")
        if kind in (*NAMED_KINDS, "limits") and type(item.get("specification")) is not dict:
            # A tenant's specification may contain a key, so it is not shown.
            received = "" if kind == "tenants" else f", not {describe_value(item.get('specification'))}"
            raise InvalidConfigurationError(f"{location}[{index}]", f"specification must be an object{received}")
        key = LIMITS if kind == "limits" else (kind, name)
        if key in items:
            raise InvalidConfigurationError(
                f"{location}[{index}]",
                "limits are listed twice" if kind == "limits" else f"{kind} {describe_value(name)} is listed twice",
            )
        items[key] = item
    return items


def _build_configuration(version: int, items: dict[ItemKey, dict], base: Configuration | None = None) -> Configuration:
    """Build and validate a configuration.

    Objects of `base` are reused for items that are identical to its own, and for routes that come out equal."""
    routes: dict[str, Route] = {}
    services: dict[str, Service] = {}
    tenants: dict[str, Tenant] = {}
    limits = Limits()
    base_items = base.items if base else {}
    for key, item in items.items():
        kind, name = key
        is_unchanged = base is not None and base_items.get(key) is item
        try:
            if kind == "routes":
                route = base.routes[name] if is_unchanged else parse_route(name, item["specification"])
                if base is not None and not is_unchanged and (old := base.routes.get(name)) == route:
                    route = old
                routes[name] = route
            elif kind == "services":
                services[name] = base.services[name] if is_unchanged else parse_service(name, item["specification"])
            elif kind == "tenants":
                tenants[name] = base.tenants[name] if is_unchanged else parse_tenant(name, item["specification"])
            elif kind == "limits":
                limits = base.limits if is_unchanged else parse_limits(item["specification"])
        except FieldError as error:
            raise InvalidConfigurationError(
                "limits" if kind == "limits" else f"{kind[:-1]} {describe_value(name)}", str(error)
            ) from None
    _check_routes(routes, services, items)
    _check_tenants(tenants)
    return Configuration(version, routes, services, limits, items, tenants)


def _check_routes(routes: dict[str, Route], services: dict[str, Service], items: dict[ItemKey, dict]) -> None:
    """InvalidConfigurationError if a route names an unknown service or repeats another's host and path prefix."""
    names_by_location: dict[tuple[str, str], str] = {}
    for name, route in routes.items():
        for service in named_services(items["routes", name]["specification"]):
            if service not in services:
                raise InvalidConfigurationError(
                    f"route {describe_value(name)}", f"names the unknown service {describe_value(service)}"
                )
        location = (canonical_host(route.hostname), route.path_prefix)
        if (other := names_by_location.setdefault(location, name)) != name:
            raise InvalidConfigurationError(
                f"route {describe_value(name)}", f"has the host and path_prefix of route {describe_value(other)}"
            )


def _check_tenants(tenants: dict[str, Tenant]) -> None:
    """InvalidConfigurationError if two tenants share a key; the key is not shown."""
    names_by_key: dict[str, str] = {}
    for name, tenant in tenants.items():
        for api_key in tenant.api_keys:
            if (other := names_by_key.setdefault(api_key, name)) != name:
                raise InvalidConfigurationError(
                    f"tenant {describe_value(name)}", f"shares a key with tenant {describe_value(other)}"
                )


def parse_configuration(document: object) -> Configuration:
    """Parse a complete configuration from its decoded JSON; InvalidConfigurationError if anything in it is invalid.

    Unknown fields and kinds are kept in `items` and have no effect."""
    if type(document) is not dict:
        raise InvalidConfigurationError("configuration", f"must be an object, not {describe_value(document)}")
    version = _parse_config_version(document)
    if "objects" not in document:
        raise InvalidConfigurationError("objects", "is missing")
    items = _items_by_key("objects", document["objects"])
    if extra_fields := {name: value for name, value in document.items() if name not in ("config_version", "objects")}:
        items[EXTRA_FIELDS] = extra_fields
    return _build_configuration(version, items)


def to_document(configuration: Configuration) -> dict:
    """Serialize a configuration: each item as it was received, in the order received."""
    items = configuration.items
    return {
        "config_version": format_version(configuration.version),
        "objects": [item for key, item in items.items() if key != EXTRA_FIELDS],
        **items.get(EXTRA_FIELDS, {}),
    }


def _removed_keys(remove: object) -> set[ItemKey]:
    if type(remove) is not dict:
        raise InvalidConfigurationError("remove", f"must be an object, not {describe_value(remove)}")
    removed: set[ItemKey] = set()
    for kind, names in remove.items():
        if type(names) is not list or not all(type(name) is str for name in names):
            raise InvalidConfigurationError("remove", f"{describe_value(kind)} must be a list of names")
        removed.update(LIMITS if kind == "limits" else (kind, name) for name in names)
    return removed - {EXTRA_FIELDS}


def apply_patch(base: Configuration, patch: object) -> Configuration:
    """Apply a patch to `base` and validate the result; InvalidConfigurationError if it is invalid.

    Items are removed first; removing one that does not exist is allowed. Replaced items keep their position and new
    ones are appended. Unchanged routes are the same objects as in `base`."""
    if type(patch) is not dict:
        raise InvalidConfigurationError("patch", f"must be an object, not {describe_value(patch)}")
    version = _parse_config_version(patch)
    upsert, remove = patch.get("upsert"), patch.get("remove")
    if upsert is not None and type(upsert) is not dict:
        raise InvalidConfigurationError("upsert", f"must be an object, not {describe_value(upsert)}")
    if "objects" in patch or upsert and "objects" not in upsert:
        raise InvalidConfigurationError("patch", "items to add or replace belong in upsert.objects")
    upserted = _items_by_key("upsert.objects", upsert["objects"]) if upsert else {}
    return _build_configuration(
        version, _merge_items(base.items, upserted, _removed_keys(remove) if remove is not None else set()), base
    )


def _merge_items(
    items: dict[ItemKey, dict], upserted: dict[ItemKey, dict], removed: Iterable[ItemKey]
) -> dict[ItemKey, dict]:
    removed = set(removed) - set(upserted)
    return {key: item for key, item in items.items() if key not in removed} | upserted


def diff_documents(old: dict, new: dict) -> dict | None:
    """The patch that turns document `old` into `new`, or None if `new` itself is no larger than the patch.

    Both documents are valid. `apply_diff` reproduces `new` exactly, including the order of its items."""

    def extra_fields(document: dict) -> str:
        return json.dumps(
            {name: value for name, value in document.items() if name not in ("config_version", "objects")}
        )

    before = {item_key(item): item for item in old["objects"]}
    after = {item_key(item): item for item in new["objects"]}
    # Compared as text, because 1, 1.0 and true are equal in Python.
    upserted = {
        key: item
        for key, item in after.items()
        if (previous := before.get(key)) is not item and (previous is None or json.dumps(previous) != json.dumps(item))
    }
    removed = [key for key in before if key not in after]
    if len(upserted) + len(removed) >= len(after) or extra_fields(old) != extra_fields(new):
        return None
    if list(_merge_items(before, upserted, removed)) != list(after):
        return None
    remove: dict[str, list[str]] = {}
    for kind, name in removed:
        remove.setdefault(kind, []).append(name)
    return {"config_version": new["config_version"], "upsert": {"objects": list(upserted.values())}, "remove": remove}


def apply_diff(old: dict, patch: dict) -> dict:
    """Apply a patch of `diff_documents` to document `old`, without validation, since both documents are valid."""
    upserted = {item_key(item): item for item in patch["upsert"]["objects"]}
    merged = _merge_items({item_key(item): item for item in old["objects"]}, upserted, _removed_keys(patch["remove"]))
    return old | {"config_version": patch["config_version"], "objects": list(merged.values())}
