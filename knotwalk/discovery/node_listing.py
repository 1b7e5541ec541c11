"""The platform's list of nodes, read page by page; used completely or not at all."""

from knotwalk.discovery.view_types import Node
from knotwalk.runtime.units import parse_duration


class InvalidPageError(Exception):
    """A page that cannot be used: what is wrong with it, in one line."""


class NodeListing:
    """One reading of the list. `add_page` takes a page and returns the token of the next one, None after the last."""

    MAX_PAGES = 1000  # so that an endless list does not occupy the poller forever

    def __init__(self) -> None:
        self.nodes: dict[str, Node] = {}
        self.pages = 0

    def add_page(self, now: float, page: object) -> str | None:
        """Add a page read at `now`; returns the token of the next page, or None after the last."""
        instances = page.get("instances") if isinstance(page, dict) else None
        if not isinstance(instances, dict):
            raise InvalidPageError("instances must be an object")
        self.pages += 1
        if self.pages > self.MAX_PAGES:
            raise InvalidPageError(f"more than {self.MAX_PAGES} pages")
        for id, raw in instances.items():
            self.nodes[id] = self.parse_node(now, id, raw)
        token = page.get("next_token")
        if token is not None and not isinstance(token, str):
            raise InvalidPageError(f"next_token must be a string, not {token!r}")
        return token or None

    @staticmethod
    def parse_node(now: float, id: str, raw: object) -> Node:
        """Parse and validate one entry of the platform's list."""
        try:
            host, _, port = raw["address"].rpartition(":")
            warmup_left_s = parse_duration(raw.get("warmup_left", "0ms"))
            return Node(
                id,
                str(raw["service"]),
                (host, int(port)),
                str(raw.get("zone", "")),
                max(1, int(raw.get("capacity", 1))),
                raw.get("state") != "ready",
                now + warmup_left_s if warmup_left_s else 0.0,
                str(raw.get("config_version", "")),
            )
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise InvalidPageError(f"{id}: {type(error).__name__} {error}") from None
