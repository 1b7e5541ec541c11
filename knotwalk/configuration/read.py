"""Configurations as they are sent: read and checked, patched, written back, and told apart.

The checks are written by hand: an edge with half a core reads thousands of routes between two requests. For 2,000
routes `dacite` took 160 to 240 ms before any check of meaning, all that is here 20 to 45 ms
(`benchmarks/configuration.py`).
"""

from __future__ import annotations

import json
import math
import re
from collections.abc import Iterable

from knotwalk.configuration.index import canonical_host
from knotwalk.configuration.objects import Configuration, Limits, Route, Service
from knotwalk.runtime.units import seconds

# Bounds that the operator's protocol gives, in seconds.
LONGEST_TIMEOUT = 600.0
TARGET_OVER_TIMEOUT = 60.0
# The largest whole number that every reader of JSON keeps exactly.
LARGEST = 2**53

# Fields beside `config_version` and `objects` are kept under this key of `Configuration.items`; no kind is empty.
REST = ("", "")
LIMITS = ("limits", "")

IDEMPOTENT = {"idempotent": True, "non_idempotent": False}
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


def shown(value: object) -> str:
    """A sent value as one short plain line.

    >>> shown("a"), shown([1]), shown(None)
    ('"a"', 'a list', 'null')
    """
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, list):
        return "a list"
    text = json.dumps(value)
    return text if len(text) <= 80 else text[:77] + "..."


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


class _Mistake(Exception):
    """A mistake whose place the caller adds."""


def _text(fields: dict, name: str) -> str:
    value = fields.get(name)
    if type(value) is not str or not value:
        raise _Mistake(f"{name} must be a text, not {shown(value)}" if name in fields else f"{name} is missing")
    return value


def _whole(fields: dict, name: str, default: int | None = None, least: int | None = 0) -> int:
    """A whole number; 2.0 is one as well. No `least`: any sign."""
    value = fields.get(name)
    if type(value) is not int:
        if value is None and name not in fields:
            if default is None:
                raise _Mistake(f"{name} is missing")
            return default
        if type(value) is not float or not value.is_integer():
            raise _Mistake(f"{name} must be a whole number, not {shown(value)}")
        value = int(value)
    if least is not None and value < least:
        raise _Mistake(f"{name} must be at least {least}, not {shown(value)}")
    if abs(value) > LARGEST:
        raise _Mistake(f"{name} is out of range: {shown(value)}")
    return value


def _time(fields: dict, name: str, default: float | None = None) -> float:
    value = fields.get(name)
    if value is None and name not in fields:
        if default is None:
            raise _Mistake(f"{name} is missing")
        return default
    try:
        span = seconds(value)
    except ValueError:
        raise _Mistake(f"{name} must be a time with ms or s, not {shown(value)}") from None
    if not math.isfinite(span):
        raise _Mistake(f"{name} is beyond any time")
    return span


def _splits(fields: dict) -> tuple[tuple[str, float], ...]:
    """Services and weights. Weight 0 is left out, so nobody can pick it; `_named` reads it from the item."""
    service, sent = fields.get("service"), fields.get("traffic_split")
    if service is not None:
        if sent:
            raise _Mistake("service and traffic_split stand side by side")
        if sent is not None and sent != []:
            raise _Mistake(f"traffic_split must be a list, not {shown(sent)}")
        return ((_text(fields, "service"), 1.0),)
    if sent is None:
        raise _Mistake("service is missing, and so is traffic_split")
    if type(sent) is not list:
        raise _Mistake(f"traffic_split must be a list, not {shown(sent)}")
    splits, total = [], 0.0
    for part in sent:
        if type(part) is not dict:
            raise _Mistake(f"a part of traffic_split must be an object, not {shown(part)}")
        service, weight = _text(part, "service"), part.get("weight")
        if type(weight) not in (int, float):
            raise _Mistake(f"weight of {shown(service)} must be a number, not {shown(weight)}")
        if not 0 <= weight < 1e18:
            raise _Mistake(f"weight of {shown(service)} is out of range: {shown(weight)}")
        if weight:
            splits.append((service, float(weight)))
            total += weight
    if total <= 0:
        raise _Mistake("the weights add up to 0")
    return tuple(splits)


def _named(fields: dict) -> list[str]:
    """All services that a route's checked item names."""
    return [part["service"] for part in fields.get("traffic_split") or ()] or [fields["service"]]


def _route(name: str, fields: dict) -> Route:
    hostname, prefix = _text(fields, "hostname"), _text(fields, "path_prefix")
    if prefix[0] != "/" or prefix[-1] != "/":
        raise _Mistake(f"path_prefix must start and end with a slash: {shown(prefix)}")
    kind = _text(fields, "route_type")
    if kind not in IDEMPOTENT:
        raise _Mistake(f"route_type must be idempotent or non_idempotent, not {shown(kind)}")
    timeout, target = _time(fields, "timeout"), _time(fields, "target_latency")
    if timeout <= 0:
        raise _Mistake("timeout is 0")
    if timeout > LONGEST_TIMEOUT:
        raise _Mistake(f"timeout is over ten minutes: {shown(fields['timeout'])}")
    # Rounded, since 60.3 - 0.3 in binary falls short of 60.
    if round(target - timeout, 9) >= TARGET_OVER_TIMEOUT:
        raise _Mistake(f"target_latency lies a minute or more over the timeout: {shown(fields['target_latency'])}")
    return Route(
        name,
        hostname,
        prefix,
        IDEMPOTENT[kind],
        timeout,
        target,
        _whole(fields, "priority", least=None),
        _splits(fields),
        _whole(fields, "retry_count"),
    )


def _service(name: str, fields: dict) -> Service:
    base = Service(name)
    health = _text(fields, "health_check") if "health_check" in fields else base.health_check
    if health[0] != "/":
        raise _Mistake(f"health_check must start with a slash: {shown(health)}")
    sharded = fields.get("sharded", base.sharded)
    if type(sharded) is not bool:
        raise _Mistake(f"sharded must be true or false, not {shown(sharded)}")
    return Service(
        name,
        health,
        _whole(fields, "max_connections", base.max_connections),
        sharded,
        _time(fields, "prewarm", base.prewarm),
    )


def _limits(fields: dict) -> Limits:
    base = Limits()
    return Limits(
        _whole(fields, "max_header_bytes", base.max_header_bytes),
        _whole(fields, "max_body_bytes", base.max_body_bytes),
        _time(fields, "header_timeout", base.header_timeout),
        _time(fields, "idle_timeout", base.idle_timeout),
    )


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
        if type(name) is not str or not name and kind in ("routes", "services"):
            raise Invalid(f"{where}[{place}]", "metadata must carry a name")
        if kind in ("routes", "services", "limits") and type(item.get("specification")) is not dict:
            raise Invalid(
                f"{where}[{place}]", f"specification must be an object, not {shown(item.get('specification'))}"
            )
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
    limits = Limits()
    before = base.items if base else {}
    for which, item in items.items():
        kind, name = which
        same = base is not None and before.get(which) is item
        try:
            if kind == "routes":
                route = base.routes[name] if same else _route(name, item["specification"])
                if base is not None and not same and (old := base.routes.get(name)) == route:
                    route = old
                routes[name] = route
            elif kind == "services":
                services[name] = base.services[name] if same else _service(name, item["specification"])
            elif kind == "limits":
                limits = base.limits if same else _limits(item["specification"])
        except _Mistake as mistake:
            raise Invalid("limits" if kind == "limits" else f"{kind[:-1]} {shown(name)}", str(mistake)) from None
    taken: dict[tuple[str, str], str] = {}
    for name, route in routes.items():
        for service in _named(items["routes", name]["specification"]):
            if service not in services:
                raise Invalid(f"route {shown(name)}", f"names the unknown service {shown(service)}")
        place = (canonical_host(route.hostname), route.path_prefix)
        if (other := taken.setdefault(place, name)) != name:
            raise Invalid(f"route {shown(name)}", f"has the host and path_prefix of route {shown(other)}")
    return Configuration(version, routes, services, limits, items)


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
