"""The platform's list of nodes, read page by page: whole, or not used at all."""

from knotwalk.discovery.view_types import Node
from knotwalk.runtime.units import parse_duration


class InvalidPageError(Exception):
    """A page that can't be used: what is wrong with it, in one line."""


class NodeListing:
    """One reading of the list. `add_page` takes a page and tells the next one's token, None after the last."""

    MAX_PAGES = 1000  # a list that never ends would keep the poller for ever

    def __init__(self) -> None:
        self.nodes: dict[str, Node] = {}
        self.pages = 0

    def add_page(self, now: float, page: object) -> str | None:
        """Take a page read at `now`; the token of the next one, or None after the last."""
        instances = page.get("instances") if isinstance(page, dict) else None
        if not isinstance(instances, dict):
            raise InvalidPageError("no table of instances")
        self.pages += 1
        if self.pages > self.MAX_PAGES:
            raise InvalidPageError(f"more than {self.MAX_PAGES} pages")
        for id, raw in instances.items():
            self.nodes[id] = self.parse_node(now, id, raw)
        token = page.get("next_token")
        if token is not None and not isinstance(token, str):
            raise InvalidPageError(f"next_token is {token!r}")
        return token or None

    @staticmethod
    def parse_node(now: float, id: str, raw: object) -> Node:
        """One entry of the platform's list, checked."""
        try:
            host, _, port = raw["address"].rpartition(":")
            cold = parse_duration(raw.get("warmup_left", "0ms"))
            return Node(
                id,
                str(raw["service"]),
                (host, int(port)),
                str(raw.get("zone", "")),
                max(1, int(raw.get("capacity", 1))),
                raw.get("state") != "ready",
                now + cold if cold else 0.0,
                str(raw.get("config_version", "")),
            )
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise InvalidPageError(f"{id}: {type(error).__name__} {error}") from None
