"""Finds kinds of objects and types of routes that this version does not know.

Unknown kinds are kept and distributed without effect; requests of an unknown route type run at most once.
"""

from __future__ import annotations

from collections.abc import Mapping

from knotwalk.configuration.items import ROUTE_TYPES

KNOWN_KINDS = ("routes", "services", "tenants", "limits")


def unknown_kinds(items: Mapping[tuple[str, str], dict]) -> list[str]:
    """List unknown kinds and route types in `Configuration.items`, each once, in order of appearance.

    >>> unknown_kinds({("moons", "a"): {"object_kind": "moons"}})
    ['object_kind moons']
    """
    unknown: dict[str, None] = {}
    for (kind, _), item in items.items():
        if kind == "routes":
            route_type = item["specification"]["route_type"]
            if route_type not in ROUTE_TYPES:
                unknown[f"route_type {route_type}"] = None
        elif kind and kind not in KNOWN_KINDS:
            unknown[f"object_kind {kind}"] = None
    return list(unknown)
