"""Finds the route of a request by host and path: of the host's routes the one with the longest prefix wins.

A path has few slashes and every prefix ends in one, so a lookup tries the path's own prefixes, longest first. Its cost
depends on the depth of the path and not on the number of routes.
"""

from __future__ import annotations

from knotwalk.configuration.objects import Configuration, Route


def canonical_host(host: str) -> str:
    """The form in which hosts are compared: lower case, without port and trailing dot.

    >>> canonical_host("Ficu95.Example.:8080"), canonical_host("[::1]:80")
    ('ficu95.example', '[::1]')
    """
    if host.startswith("["):
        return host[: host.find("]") + 1].lower() or host.lower()
    return host.partition(":")[0].removesuffix(".").lower()


class RouteIndex:
    """A lookup over the routes of one configuration; immutable."""

    __slots__ = ("_hosts",)

    def __init__(self, configuration: Configuration):
        hosts: dict[str, dict[str, Route]] = {}
        for route in configuration.routes.values():
            hosts.setdefault(canonical_host(route.hostname), {})[route.path_prefix] = route
        # Each host's longest prefix bounds the lookup, so that a path made of slashes costs no more than others.
        self._hosts = {host: (max(map(len, routes)), routes) for host, routes in hosts.items()}

    def find(self, host: str, path: str) -> Route | None:
        """Find the route of a request, or None.

        `host` is the Host header's value, `path` the raw path of the request line; a query string is ignored. Nothing
        is unescaped: `%2F` does not count as a slash."""
        entry = self._hosts.get(host) or self._hosts.get(canonical_host(host))
        if entry is None:
            return None
        longest, routes = entry
        if (query := path.find("?", 0, longest)) >= 0:
            longest = query
        slash = path.rfind("/", 0, longest)
        while slash >= 0:
            if route := routes.get(path[: slash + 1]):
                return route
            slash = path.rfind("/", 0, slash)
        return None
