"""What a group of core machines agrees on, as its driver sees it. Pure."""

from __future__ import annotations

from typing import Any, Protocol, Self


class AgreedState(Protocol):
    """What members build alike from the entries of their log. Pure and deterministic."""

    def apply(self, index: int, command: dict, /) -> tuple[Any, Any]:
        """Take an entry ({}: one of the agreement itself): what is said of it, and what it changed, for `on_change`."""

    def calls_for_news(self, command: dict, said: Any, /) -> bool:
        """Whether what was applied is something that `on_config` has to hear of."""

    def work_of(self, command: dict, /) -> int:
        """Items that applying it went through, beyond its own bytes: what a replay costs."""

    def to_dict(self) -> dict:
        """A snapshot, JSON-able."""

    @classmethod
    def from_dict(cls, raw: dict, /) -> Self:
        """The state of a snapshot."""
