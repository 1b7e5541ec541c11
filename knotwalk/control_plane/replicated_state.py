"""What the core agreed on, as every core machine builds it from the log: configuration, its history, slices.

Pure and deterministic: the same entries give the same record everywhere. A command that no longer fits is answered
with why and changes nothing.

Whether an order is taken rests on the version in force and on the order alone, never on what is remembered of earlier
ones: members whose memories reach back differently (another program, an older snapshot) take the same orders. Memory
only tells what to answer.
"""

from __future__ import annotations

from knotwalk.configuration.control import UNKNOWN
from knotwalk.configuration.history import History, Standing
from knotwalk.configuration.objects import Configuration
from knotwalk.configuration.read import Invalid, document, patched, read_configuration
from knotwalk.leases.ledger import Ledger, OwnerChange

# Of snapshots; raised when older programs could not read them. 2: rows of the ledger tell of an `early` lease. 3:
# fences may have a lift; only those that have say so. 4: the history has a floor and marks instead of 64 digests.
FORMAT = 4
HISTORY_WITH_FLOOR = 4

# What applying an order says.
DONE = "done"
ANOTHER = "another version is in place"
LATE = {Standing.TAKEN: DONE, Standing.NOT_TAKEN: ANOTHER, Standing.UNKNOWN: UNKNOWN}


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

    def apply(self, index: int, command: dict) -> tuple[str, list[OwnerChange]]:
        """Take the entry `index`: (`DONE` or why not, owner lines that changed)."""
        self.applied = index
        if command.get("do") != "configure":
            return DONE, self.ledger.apply(index, command)
        if command["base"] != self.version:
            return self._late(command), self.ledger.apply(index, {})
        try:
            fresh = self._made(command)
        except Invalid as error:
            return str(error), self.ledger.apply(index, {})
        self.configuration, self.order = fresh, index
        self.history.note(fresh.version, command["digest"])
        sharded = [s.name for s in fresh.services.values() if s.sharded]
        return DONE, self.ledger.apply(index, {"do": "shard", "services": sharded})

    def _late(self, command: dict) -> str:
        """What is said of an order whose base is not in force: it changes nothing now, but may have before."""
        version = command.get("version", self.version)  # early programs did not say which version an order makes
        return LATE[self.history.standing(command["base"], version, command["digest"])]

    def _made(self, command: dict) -> Configuration:
        """The configuration that a command makes. What a difference leaves alone was read before, and is taken over."""
        if "difference" in command and self.configuration is not None:
            return patched(self.configuration, command["difference"])
        return read_configuration(command["document"])

    def calls_for_news(self, command: dict, said: str) -> bool:
        """Whether the entry has put another configuration in force."""
        return command.get("do") == "configure" and said == DONE

    def work_of(self, command: dict) -> int:
        """How many items the entry went through: a change of configuration goes through all that there are."""
        return len(self.configuration.items) if self.configuration and command.get("do") == "configure" else 0

    def to_dict(self) -> dict:
        """A snapshot, JSON-able."""
        return {
            "format": FORMAT,
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
        remembered = History.from_dict if raw["format"] >= HISTORY_WITH_FLOOR else History.from_before
        made.history = remembered(raw["history"])
        made.configuration = read_configuration(raw["configuration"]) if raw["configuration"] else None
        made.ledger = Ledger.from_dict(raw["ledger"])
        return made
