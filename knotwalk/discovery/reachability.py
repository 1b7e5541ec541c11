"""Which nodes the cores do not reach, as they tell each other: advice for placement, and evidence of nothing.

Each core finds out by its own calls to nodes. Once a second, with the loads that it passes on anyway, it tells the
others which nodes did not answer it, and for how long. A node that another core does not reach is given no more keys
while there are others; it keeps those that it has, and no holder is cleared by it (`leases.slice_lease`).

Pure: `now` is a steady clock's, in seconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from dacite import Config, DaciteError, from_dict

# A core's word counts for so long (s): it is told anew each second, so one that falls silent is soon disregarded.
WORD = 3.0


@dataclass(frozen=True)
class UnreachedNodes:
    """What the core `core` tells: by node the seconds since when it has not answered; openapi/peers.yaml."""

    core: str
    nodes: dict[str, float]

    def to_dict(self) -> dict:
        """As it goes over the wire."""
        return {"core": self.core, "nodes": {id: round(age, 1) for id, age in self.nodes.items()}}


def unreached_nodes(raw: object) -> UnreachedNodes:
    """What came over the wire; ValueError names what is wrong with it."""
    try:
        return from_dict(UnreachedNodes, raw, Config(strict=False, cast=[float]))  # type: ignore[arg-type]
    except (DaciteError, TypeError, ValueError, AttributeError) as error:
        raise ValueError(f"unreached nodes: {error}") from None


class PeerReachability:
    """The newest word of each other core."""

    def __init__(self) -> None:
        self._words: dict[str, tuple[float, UnreachedNodes]] = {}

    def hear(self, now: float, word: UnreachedNodes) -> None:
        """Take a core's word; it replaces the one before."""
        self._words[word.core] = now, word

    def since(self, now: float) -> Mapping[str, float]:
        """Nodes that some other core does not reach, by when its calls began to fail, on this clock."""
        self._words = {core: (at, word) for core, (at, word) in self._words.items() if now - at < WORD}
        found: dict[str, float] = {}
        for at, word in self._words.values():
            for id, age in word.nodes.items():
                found[id] = min(found.get(id, at - age), at - age)
        return found
