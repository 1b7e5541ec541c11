"""Configurations as they are sent: read and checked, patched, written back, and told apart.

The checks are written by hand: an edge with half a core reads thousands of routes between two requests. For 2,000
routes `dacite` took 160 to 240 ms before any check of meaning, all that is here 20 to 45 ms
(`benchmarks/configuration.py`).
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterable

from knotwalk.configuration.fields import Mistake, shown
from knotwalk.configuration.index import canonical_host
from knotwalk.configuration.items import limits_of, named_services, route_of, service_of, tenant_of
from knotwalk.configuration.objects import Configuration, Limits, Route, Service, Tenant

# Fields beside `config_version` and `objects` are kept under this key of `Configuration.items`; no kind is empty.
REST = ("", "")
LIMITS = ("limits", "")

NAMED = ("routes", "services", "tenants")
# A version has at most 18 digits: it then fits 64 bits in whatever reads it.
VERSION = re.compile(r"r(\d{1,18})", re.ASCII)

Key = tuple[str, str]


class Invalid(Exception):
    """A configuration that must not be taken: `where` it is wrong and the `mistake`."""

    def __init__(self, where: str, mistake: str):
        super().__init__(where, mistake)
        self.where, self.mistake = where, mistake

    def __str__(self) -> str:
        return f"{self.where}: {self.mistake}"


def version_number(text: object) -> int:
    """The number of a version such as `r12`; ValueError if it is none."""
    if not isinstance(text, str) or not (found := VERSION.fullmatch(text)):
        raise ValueError(f"a version is r and a number, not {shown(text)}")
    return int(found[1])


def version_text(number: int) -> str:
    """A version as it is written.

    >>> version_text(12)
    'r12'
    """
    return f"r{number}"


def _version(document: dict) -> int:
    try:
        return version_number(document.get("config_version"))
    except ValueError as error:
        raise Invalid("config_version", str(error)) from None


def key(item: dict) -> Key:
    """Kind and name of an item that was checked once; there is one limits object, whatever its name."""
    kind = item["object_kind"]
    return LIMITS if kind == "limits" else (kind, (item.get("metadata") or {}).get("name", ""))


def _keyed(where: str, objects: object) -> dict[Key, dict]:
    """The items by kind and name, in their order."""
    if type(objects) is not list:
        raise Invalid(where, f"must be a list, not {shown(objects)}")
    items: dict[Key, dict] = {}
    for place, item in enumerate(objects):
        if type(item) is not dict:
            raise Invalid(f"{where}[{place}]", f"must be an object, not {shown(item)}")
        kind = item.get("object_kind")
        if type(kind) is not str or not kind:
            raise Invalid(f"{where}[{place}]", f"object_kind must be a text, not {shown(kind)}")
        metadata = item.get("metadata", {})
        if type(metadata) is not dict:
            raise Invalid(f"{where}[{place}]", f"metadata must be an object, not {shown(metadata)}")
        name = metadata.get("name", "")
        if type(name) is not str or not name and kind in NAMED:
            raise Invalid(f"{where}[{place}]", "metadata must carry a name")
        if kind in (*NAMED, "limits") and type(item.get("specification")) is not dict:
            sent = "" if kind == "tenants" else f", not {shown(item.get('specification'))}"  # it may hold a key
            raise Invalid(f"{where}[{place}]", f"specification must be an object{sent}")
        which = LIMITS if kind == "limits" else (kind, name)
        if which in items:
            raise Invalid(
                f"{where}[{place}]",
                "limits stand there twice" if kind == "limits" else f"{kind} {shown(name)} stands there twice",
            )
        items[which] = item
    return items


def _typed(version: int, items: dict[Key, dict], base: Configuration | None = None) -> Configuration:
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
                route = base.routes[name] if same else route_of(name, item["specification"])
                if base is not None and not same and (old := base.routes.get(name)) == route:
                    route = old
                routes[name] = route
            elif kind == "services":
                services[name] = base.services[name] if same else service_of(name, item["specification"])
            elif kind == "tenants":
                tenants[name] = base.tenants[name] if same else tenant_of(name, item["specification"])
            elif kind == "limits":
                limits = base.limits if same else limits_of(item["specification"])
        except Mistake as mistake:
            raise Invalid("limits" if kind == "limits" else f"{kind[:-1]} {shown(name)}", str(mistake)) from None
    _check_routes(routes, services, items)
    _check_tenants(tenants)
    return Configuration(version, routes, services, limits, items, tenants)


def _check_routes(routes: dict[str, Route], services: dict[str, Service], items: dict[Key, dict]) -> None:
    """Invalid where a route names no service, or stands where another does."""
    taken: dict[tuple[str, str], str] = {}
    for name, route in routes.items():
        for service in named_services(items["routes", name]["specification"]):
            if service not in services:
                raise Invalid(f"route {shown(name)}", f"names the unknown service {shown(service)}")
        place = (canonical_host(route.hostname), route.path_prefix)
        if (other := taken.setdefault(place, name)) != name:
            raise Invalid(f"route {shown(name)}", f"has the host and path_prefix of route {shown(other)}")


def _check_tenants(tenants: dict[str, Tenant]) -> None:
    """Invalid where two tenants share a key, which is not shown."""
    held: dict[str, str] = {}
    for name, tenant in tenants.items():
        for api_key in tenant.api_keys:
            if (other := held.setdefault(api_key, name)) != name:
                raise Invalid(f"tenant {shown(name)}", f"has a key of tenant {shown(other)}")


def read_configuration(document: object) -> Configuration:
    """A whole configuration from its parsed JSON; Invalid if anything in it is wrong.

    Fields and kinds that are not known are kept in `items` and have no effect."""
    if type(document) is not dict:
        raise Invalid("configuration", f"must be an object, not {shown(document)}")
    version = _version(document)
    if "objects" not in document:
        raise Invalid("objects", "is missing")
    items = _keyed("objects", document["objects"])
    if rest := {name: value for name, value in document.items() if name not in ("config_version", "objects")}:
        items[REST] = rest
    return _typed(version, items)


def document(configuration: Configuration) -> dict:
    """The configuration whole, as it is sent: each item as it came, in the order of coming."""
    items = configuration.items
    return {
        "config_version": version_text(configuration.version),
        "objects": [item for which, item in items.items() if which != REST],
        **items.get(REST, {}),
    }


def _removed(remove: object) -> set[Key]:
    if type(remove) is not dict:
        raise Invalid("remove", f"must be an object, not {shown(remove)}")
    gone: set[Key] = set()
    for kind, names in remove.items():
        if type(names) is not list or not all(type(name) is str for name in names):
            raise Invalid("remove", f"{shown(kind)} must be a list of names")
        gone.update(LIMITS if kind == "limits" else (kind, name) for name in names)
    return gone - {REST}


def patched(base: Configuration, patch: object) -> Configuration:
    """The whole that a patch on `base` makes, checked as a whole; Invalid if it is wrong.

    Removing comes first, and a name that is not there is no mistake. Items that are replaced keep their place, new
    ones follow behind. Routes that did not change are the base's own objects."""
    if type(patch) is not dict:
        raise Invalid("patch", f"must be an object, not {shown(patch)}")
    version = _version(patch)
    upsert, remove = patch.get("upsert"), patch.get("remove")
    if upsert is not None and type(upsert) is not dict:
        raise Invalid("upsert", f"must be an object, not {shown(upsert)}")
    if "objects" in patch or upsert and "objects" not in upsert:
        raise Invalid("patch", "items to add or replace belong in upsert.objects")
    fresh = _keyed("upsert.objects", upsert["objects"]) if upsert else {}
    return _typed(version, _merged(base.items, fresh, _removed(remove) if remove is not None else set()), base)


def _merged(items: dict[Key, dict], fresh: dict[Key, dict], gone: Iterable[Key]) -> dict[Key, dict]:
    gone = set(gone) - set(fresh)
    return {which: item for which, item in items.items() if which not in gone} | fresh


def difference(old: dict, new: dict) -> dict | None:
    """A patch that makes document `new` of document `old`, or None where the whole is no larger than the patch.

    Both were read before. What `apply_difference` makes is the same text, order included."""

    def rest(sent: dict) -> str:
        return json.dumps({name: value for name, value in sent.items() if name not in ("config_version", "objects")})

    before = {key(item): item for item in old["objects"]}
    after = {key(item): item for item in new["objects"]}
    # Compared as text: 1, 1.0 and true are equal to Python.
    fresh = {
        which: item
        for which, item in after.items()
        if (was := before.get(which)) is not item and (was is None or json.dumps(was) != json.dumps(item))
    }
    gone = [which for which in before if which not in after]
    if len(fresh) + len(gone) >= len(after) or rest(old) != rest(new):
        return None
    if list(_merged(before, fresh, gone)) != list(after):
        return None
    remove: dict[str, list[str]] = {}
    for kind, name in gone:
        remove.setdefault(kind, []).append(name)
    return {"config_version": new["config_version"], "upsert": {"objects": list(fresh.values())}, "remove": remove}


def apply_difference(old: dict, patch: dict) -> dict:
    """The document that a patch of `difference` makes of `old`; nothing is checked, since both were before."""
    fresh = {key(item): item for item in patch["upsert"]["objects"]}
    merged = _merged({key(item): item for item in old["objects"]}, fresh, _removed(patch["remove"]))
    return old | {"config_version": patch["config_version"], "objects": list(merged.values())}
