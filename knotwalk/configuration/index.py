"""From a request's host and path to its route: of the host's routes, the one with the longest prefix wins.

A path has few slashes and every prefix ends in one, so a look-up tries the path's own cut points, longest first; its
cost follows the depth of the path and not the number of routes.
"""

from __future__ import annotations

from knotwalk.configuration.objects import Configuration, Route


def canonical_host(host: str) -> str:
    """The name by which hosts are compared: lower case, without port and without the closing dot.

    >>> canonical_host("Ficu95.Example.:8080"), canonical_host("[::1]:80")
    ('ficu95.example', '[::1]')
    """
    if host.startswith("["):
        return host[: host.find("]") + 1].lower() or host.lower()
    return host.partition(":")[0].removesuffix(".").lower()


class RouteIndex:
    """Look-up over the routes of one configuration; it is never changed after it was built."""

    __slots__ = ("_hosts",)

    def __init__(self, configuration: Configuration):
        hosts: dict[str, dict[str, Route]] = {}
        for route in configuration.routes.values():
            hosts.setdefault(canonical_host(route.hostname), {})[route.path_prefix] = route
        # With the longest prefix of each host: no cut beyond it is tried, so a path of slashes only costs no more.
        self._hosts = {host: (max(map(len, routes)), routes) for host, routes in hosts.items()}

    def find(self, host: str, path: str) -> Route | None:
        """The route of a request, or None. `host` as in the Host header, `path` raw as in the request line; what
        follows a question mark is not part of it. Nothing is unescaped: `%2F` is no slash."""
        found = self._hosts.get(host) or self._hosts.get(canonical_host(host))
        if found is None:
            return None
        longest, routes = found
        if (query := path.find("?", 0, longest)) >= 0:
            longest = query
        cut = path.rfind("/", 0, longest)
        while cut >= 0:
            if route := routes.get(path[: cut + 1]):
                return route
            cut = path.rfind("/", 0, cut)
        return None
