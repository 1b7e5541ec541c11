"""What a configuration holds that this program does not know: kept and spread, with no effect or the worst one."""

from __future__ import annotations

from collections.abc import Mapping

from knotwalk.configuration.items import ROUTE_TYPES

KNOWN_KINDS = ("routes", "services", "tenants", "limits")


def unknown_kinds(items: Mapping[tuple[str, str], dict]) -> list[str]:
    """Kinds and types of routes in `Configuration.items` that are not known, each once, in the order of coming.

    >>> unknown_kinds({("moons", "a"): {"object_kind": "moons"}})
    ['object_kind moons']
    """
    found: dict[str, None] = {}
    for (kind, _), item in items.items():
        if kind == "routes":
            route_type = item["specification"]["route_type"]
            if route_type not in ROUTE_TYPES:
                found[f"route_type {route_type}"] = None
        elif kind and kind not in KNOWN_KINDS:
            found[f"object_kind {kind}"] = None
    return list(found)
