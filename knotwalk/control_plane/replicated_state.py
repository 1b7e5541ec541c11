"""What the core agreed on, as every core machine builds it from the log: configuration, its history, slices.

Pure and deterministic: the same entries give the same record everywhere. A command that no longer fits is answered
with why and changes nothing.
"""

from __future__ import annotations

from knotwalk.configuration.control import History
from knotwalk.configuration.objects import Configuration
from knotwalk.configuration.read import Invalid, document, patched, read_configuration
from knotwalk.leases.ledger import Change, Ledger

# Of snapshots; raised when older programs could not read them. 2: rows of the ledger tell of an `early` lease. 3:
# fences may have a lift; only those that have say so.
FORMAT = 3


class ReplicatedState:
    """The agreed state. `order` is the log index of the configuration in force."""

    def __init__(self) -> None:
        self.configuration: Configuration | None = None
        self.order = -1
        self.history = History()
        self.ledger = Ledger()
        self.applied = 0

    @property
    def version(self) -> int:
        """The version in force; 0 before the first."""
        return self.configuration.version if self.configuration else 0

    def apply(self, index: int, command: dict) -> tuple[str, list[Change]]:
        """Take the entry `index`: (`done` or why not, owner lines that changed)."""
        self.applied = index
        if command.get("do") != "configure":
            return "done", self.ledger.apply(index, command)
        if "version" in command and self.history.holds(command["version"], command["digest"]):
            return "done", self.ledger.apply(index, {})  # the same call, agreed on twice
        if command["base"] != self.version:
            return "another version is in place", self.ledger.apply(index, {})
        try:
            fresh = self._made(command)
        except Invalid as error:
            return str(error), self.ledger.apply(index, {})
        self.configuration, self.order = fresh, index
        self.history.note(fresh.version, command["digest"])
        sharded = [s.name for s in fresh.services.values() if s.sharded]
        return "done", self.ledger.apply(index, {"do": "shard", "services": sharded})

    def _made(self, command: dict) -> Configuration:
        """The configuration that a command makes. What a difference leaves alone was read before, and is taken over."""
        if "difference" in command and self.configuration is not None:
            return patched(self.configuration, command["difference"])
        return read_configuration(command["document"])

    @property
    def items(self) -> int:
        """How many items a change goes through."""
        return len(self.configuration.items) if self.configuration else 0

    def to_dict(self) -> dict:
        """A snapshot, JSON-able."""
        return {
            "format": FORMAT if self.ledger.lift else 2,
            "applied": self.applied,
            "order": self.order,
            "history": self.history.to_dict(),
            "configuration": document(self.configuration) if self.configuration else None,
            "ledger": self.ledger.to_dict(),
        }

    @classmethod
    def from_dict(cls, raw: dict) -> ReplicatedState:
        """The record of a snapshot; ValueError if it is of a later format."""
        if raw["format"] > FORMAT:
            raise ValueError(f"the snapshot has format {raw['format']}, this program reads up to {FORMAT}")
        made = cls()
        made.applied, made.order = raw["applied"], raw["order"]
        made.history = History.from_dict(raw["history"])
        made.configuration = read_configuration(raw["configuration"]) if raw["configuration"] else None
        made.ledger = Ledger.from_dict(raw["ledger"])
        return made
