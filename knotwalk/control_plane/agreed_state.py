"""The replicated state of a group of core machines, as its driver uses it. Pure."""

from __future__ import annotations

from typing import Any, Protocol, Self


class AgreedState(Protocol):
    """State that every member builds identically from the entries of the log. Pure and deterministic."""

    def apply(self, index: int, command: dict, /) -> tuple[Any, Any]:
        """Apply an entry ({} for one of the consensus itself). Returns its result, and its changes for `on_change`."""

    def requires_notification(self, command: dict, result: Any, /) -> bool:
        """Whether `on_configuration` must be called for the entry."""

    def replay_cost(self, command: dict, /) -> int:
        """The number of items that applying the entry goes through, beyond its bytes: the cost of replaying it."""

    def to_dict(self) -> dict:
        """A snapshot that JSON can encode."""

    @classmethod
    def from_dict(cls, raw: dict, /) -> Self:
        """Build the state from a snapshot."""
