"""Configurations as they are sent: read and checked, patched, written back, and told apart.

The checks are written by hand: an edge with half a core reads thousands of routes between two requests. For 2,000
routes `dacite` took 160 to 240 ms before any check of meaning, all that is here 20 to 45 ms
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

# Fields beside `config_version` and `objects` are kept under this key of `Configuration.items`; no kind is empty.
EXTRA_FIELDS = ("", "")
LIMITS = ("limits", "")

NAMED_KINDS = ("routes", "services", "tenants")
# A version has at most 18 digits: it then fits 64 bits in whatever reads it.
VERSION_PATTERN = re.compile(r"r(\d{1,18})", re.ASCII)

ItemKey = tuple[str, str]


class InvalidConfigurationError(Exception):
    """A configuration that must not be taken: `where` it is wrong and the `mistake`."""

    def __init__(self, location: str, mistake: str):
        super().__init__(location, mistake)
        self.location, self.mistake = location, mistake

    def __str__(self) -> str:
        return f"{self.location}: {self.mistake}"


def parse_version(text: object) -> int:
    """The number of a version such as `r12`; ValueError if it is none."""
    if not isinstance(text, str) or not (found := VERSION_PATTERN.fullmatch(text)):
        raise ValueError(f"a version is r and a number, not {describe_value(text)}")
    return int(found[1])


def format_version(number: int) -> str:
    """A version as it is written.

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
    """Kind and name of an item that was checked once; there is one limits object, whatever its name."""
    kind = item["object_kind"]
    return LIMITS if kind == "limits" else (kind, (item.get("metadata") or {}).get("name", ""))


def _items_by_key(where: str, objects: object) -> dict[ItemKey, dict]:
    """The items by kind and name, in their order."""
    if type(objects) is not list:
        raise InvalidConfigurationError(where, f"must be a list, not {describe_value(objects)}")
    items: dict[ItemKey, dict] = {}
    for place, item in enumerate(objects):
        if type(item) is not dict:
            raise InvalidConfigurationError(f"{where}[{place}]", f"must be an object, not {describe_value(item)}")
        kind = item.get("object_kind")
        if type(kind) is not str or not kind:
            raise InvalidConfigurationError(
                f"{where}[{place}]", f"object_kind must be a text, not {describe_value(kind)}"
            )
        metadata = item.get("metadata", {})
        if type(metadata) is not dict:
            raise InvalidConfigurationError(
                f"{where}[{place}]", f"metadata must be an object, not {describe_value(metadata)}"
            )
        name = metadata.get("name", "")
        if type(name) is not str or not name and kind in NAMED_KINDS:
            raise InvalidConfigurationError(f"{where}[{place}]", "metadata must carry a name")
        if kind in (*NAMED_KINDS, "limits") and type(item.get("specification")) is not dict:
            sent = (
                "" if kind == "tenants" else f", not {describe_value(item.get('specification'))}"
            )  # it may hold a key
            raise InvalidConfigurationError(f"{where}[{place}]", f"specification must be an object{sent}")
        which = LIMITS if kind == "limits" else (kind, name)
        if which in items:
            raise InvalidConfigurationError(
                f"{where}[{place}]",
                "limits stand there twice" if kind == "limits" else f"{kind} {describe_value(name)} stands there twice",
            )
        items[which] = item
    return items


def _build_configuration(version: int, items: dict[ItemKey, dict], base: Configuration | None = None) -> Configuration:
    """The checked whole; what `base` made from the very same item, or what comes out equal to it, is taken over."""
    routes: dict[str, Route] = {}
    services: dict[str, Service] = {}
    tenants: dict[str, Tenant] = {}
    limits = Limits()
    before = base.items if base else {}
    for which, item in items.items():
        kind, name = which
        same = base is not None and before.get(which) is item
        try:
            if kind == "routes":
                route = base.routes[name] if same else parse_route(name, item["specification"])
                if base is not None and not same and (old := base.routes.get(name)) == route:
                    route = old
                routes[name] = route
            elif kind == "services":
                services[name] = base.services[name] if same else parse_service(name, item["specification"])
            elif kind == "tenants":
                tenants[name] = base.tenants[name] if same else parse_tenant(name, item["specification"])
            elif kind == "limits":
                limits = base.limits if same else parse_limits(item["specification"])
        except FieldError as mistake:
            raise InvalidConfigurationError(
                "limits" if kind == "limits" else f"{kind[:-1]} {describe_value(name)}", str(mistake)
            ) from None
    _check_routes(routes, services, items)
    _check_tenants(tenants)
    return Configuration(version, routes, services, limits, items, tenants)


def _check_routes(routes: dict[str, Route], services: dict[str, Service], items: dict[ItemKey, dict]) -> None:
    """Invalid where a route names no service, or stands where another does."""
    taken: dict[tuple[str, str], str] = {}
    for name, route in routes.items():
        for service in named_services(items["routes", name]["specification"]):
            if service not in services:
                raise InvalidConfigurationError(
                    f"route {describe_value(name)}", f"names the unknown service {describe_value(service)}"
                )
        place = (canonical_host(route.hostname), route.path_prefix)
        if (other := taken.setdefault(place, name)) != name:
            raise InvalidConfigurationError(
                f"route {describe_value(name)}", f"has the host and path_prefix of route {describe_value(other)}"
            )


def _check_tenants(tenants: dict[str, Tenant]) -> None:
    """Invalid where two tenants share a key, which is not shown."""
    held: dict[str, str] = {}
    for name, tenant in tenants.items():
        for api_key in tenant.api_keys:
            if (other := held.setdefault(api_key, name)) != name:
                raise InvalidConfigurationError(
                    f"tenant {describe_value(name)}", f"has a key of tenant {describe_value(other)}"
                )


def parse_configuration(document: object) -> Configuration:
    """A whole configuration from its parsed JSON; Invalid if anything in it is wrong.

    Fields and kinds that are not known are kept in `items` and have no effect."""
    if type(document) is not dict:
        raise InvalidConfigurationError("configuration", f"must be an object, not {describe_value(document)}")
    version = _parse_config_version(document)
    if "objects" not in document:
        raise InvalidConfigurationError("objects", "is missing")
    items = _items_by_key("objects", document["objects"])
    if rest := {name: value for name, value in document.items() if name not in ("config_version", "objects")}:
        items[EXTRA_FIELDS] = rest
    return _build_configuration(version, items)


def to_document(configuration: Configuration) -> dict:
    """The configuration whole, as it is sent: each item as it came, in the order of coming."""
    items = configuration.items
    return {
        "config_version": format_version(configuration.version),
        "objects": [item for which, item in items.items() if which != EXTRA_FIELDS],
        **items.get(EXTRA_FIELDS, {}),
    }


def _removed_keys(remove: object) -> set[ItemKey]:
    if type(remove) is not dict:
        raise InvalidConfigurationError("remove", f"must be an object, not {describe_value(remove)}")
    gone: set[ItemKey] = set()
    for kind, names in remove.items():
        if type(names) is not list or not all(type(name) is str for name in names):
            raise InvalidConfigurationError("remove", f"{describe_value(kind)} must be a list of names")
        gone.update(LIMITS if kind == "limits" else (kind, name) for name in names)
    return gone - {EXTRA_FIELDS}


def apply_patch(base: Configuration, patch: object) -> Configuration:
    """The whole that a patch on `base` makes, checked as a whole; Invalid if it is wrong.

    Removing comes first, and a name that is not there is no mistake. Items that are replaced keep their place, new
    ones follow behind. Routes that did not change are the base's own objects."""
    if type(patch) is not dict:
        raise InvalidConfigurationError("patch", f"must be an object, not {describe_value(patch)}")
    version = _parse_config_version(patch)
    upsert, remove = patch.get("upsert"), patch.get("remove")
    if upsert is not None and type(upsert) is not dict:
        raise InvalidConfigurationError("upsert", f"must be an object, not {describe_value(upsert)}")
    if "objects" in patch or upsert and "objects" not in upsert:
        raise InvalidConfigurationError("patch", "items to add or replace belong in upsert.objects")
    fresh = _items_by_key("upsert.objects", upsert["objects"]) if upsert else {}
    return _build_configuration(
        version, _merge_items(base.items, fresh, _removed_keys(remove) if remove is not None else set()), base
    )


def _merge_items(
    items: dict[ItemKey, dict], fresh: dict[ItemKey, dict], gone: Iterable[ItemKey]
) -> dict[ItemKey, dict]:
    gone = set(gone) - set(fresh)
    return {which: item for which, item in items.items() if which not in gone} | fresh


def diff_documents(old: dict, new: dict) -> dict | None:
    """A patch that makes document `new` of document `old`, or None where the whole is no larger than the patch.

    Both were read before. What `apply_difference` makes is the same text, order included."""

    def rest(sent: dict) -> str:
        return json.dumps({name: value for name, value in sent.items() if name not in ("config_version", "objects")})

    before = {item_key(item): item for item in old["objects"]}
    after = {item_key(item): item for item in new["objects"]}
    # Compared as text: 1, 1.0 and true are equal to Python.
    fresh = {
        which: item
        for which, item in after.items()
        if (was := before.get(which)) is not item and (was is None or json.dumps(was) != json.dumps(item))
    }
    gone = [which for which in before if which not in after]
    if len(fresh) + len(gone) >= len(after) or rest(old) != rest(new):
        return None
    if list(_merge_items(before, fresh, gone)) != list(after):
        return None
    remove: dict[str, list[str]] = {}
    for kind, name in gone:
        remove.setdefault(kind, []).append(name)
    return {"config_version": new["config_version"], "upsert": {"objects": list(fresh.values())}, "remove": remove}


def apply_diff(old: dict, patch: dict) -> dict:
    """The document that a patch of `difference` makes of `old`; nothing is checked, since both were before."""
    fresh = {item_key(item): item for item in patch["upsert"]["objects"]}
    merged = _merge_items({item_key(item): item for item in old["objects"]}, fresh, _removed_keys(patch["remove"]))
    return old | {"config_version": patch["config_version"], "objects": list(merged.values())}
