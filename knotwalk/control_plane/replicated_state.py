"""The state that the core machines replicate, as each builds it from the log: configuration, its history, slices.

Pure and deterministic: the same entries give the same state everywhere. A command that no longer applies gets the
reason as its result and changes nothing.

Whether a change of configuration is taken depends only on the version in force and on the change, never on the history
of earlier ones: members whose histories reach back differently (another program version, an older snapshot) must take
the same changes. The history only determines the answer.
"""

from __future__ import annotations

from knotwalk.configuration.change_requests import STATUS_UNKNOWN_MESSAGE
from knotwalk.configuration.documents import InvalidConfigurationError, apply_patch, parse_configuration, to_document
from knotwalk.configuration.history import ChangeHistory, ChangeStatus
from knotwalk.configuration.objects import Configuration
from knotwalk.leases.ledger import Ledger, OwnerChange

# Of snapshots; raised when older programs can't read them. 2: the ledger's rows mark an `early` lease. 3: fences may
# have a lift, written only where there is one. 4: the history has a floor and marks instead of 64 digests.
FORMAT = 4
HISTORY_FLOOR_FORMAT = 4

# Results of applying a change of configuration.
DONE = "done"
VERSION_CONFLICT = "another version is in place"
RESULT_BY_STANDING = {
    ChangeStatus.APPLIED: DONE,
    ChangeStatus.NOT_APPLIED: VERSION_CONFLICT,
    ChangeStatus.UNKNOWN: STATUS_UNKNOWN_MESSAGE,
}


class ReplicatedState:
    """The replicated state. `configuration_index` is the log index of the configuration in force."""

    def __init__(self) -> None:
        self.configuration: Configuration | None = None
        self.configuration_index = -1
        self.history = ChangeHistory()
        self.ledger = Ledger()
        self.applied = 0

    @property
    def version(self) -> int:
        """The version in force; 0 before the first."""
        return self.configuration.version if self.configuration else 0

    def apply(self, index: int, command: dict) -> tuple[str, list[OwnerChange]]:
        """Apply the entry `index`. Returns `DONE` or the reason why not, and the slices that changed."""
        self.applied = index
        if command.get("do") != "configure":
            return DONE, self.ledger.apply(index, command)
        if command["base"] != self.version:
            return self._result_if_late(command), self.ledger.apply(index, {})
        try:
            configuration = self._build_configuration(command)
        except InvalidConfigurationError as error:
            return str(error), self.ledger.apply(index, {})
        self.configuration, self.configuration_index = configuration, index
        self.history.record(configuration.version, command["digest"])
        sharded = [s.name for s in configuration.services.values() if s.sharded]
        return DONE, self.ledger.apply(index, {"do": "shard", "services": sharded})

    def _result_if_late(self, command: dict) -> str:
        """The result for a change whose base is not in force: it changes nothing now, but may have done so before."""
        version = command.get("version", self.version)  # early programs did not store the version that a change makes
        return RESULT_BY_STANDING[self.history.status(command["base"], version, command["digest"])]

    def _build_configuration(self, command: dict) -> Configuration:
        """Build a command's configuration. Objects that a difference does not mention are taken over as they are."""
        if "difference" in command and self.configuration is not None:
            return apply_patch(self.configuration, command["difference"])
        return parse_configuration(command["document"])

    def requires_notification(self, command: dict, result: str) -> bool:
        """Whether the entry put another configuration in force."""
        return command.get("do") == "configure" and result == DONE

    def replay_cost(self, command: dict) -> int:
        """The number of items that applying the entry went through: a change of configuration goes through all."""
        return len(self.configuration.items) if self.configuration and command.get("do") == "configure" else 0

    def to_dict(self) -> dict:
        """A snapshot that JSON can encode."""
        return {
            "format": FORMAT,
            "applied": self.applied,
            "order": self.configuration_index,
            "history": self.history.to_dict(),
            "configuration": to_document(self.configuration) if self.configuration else None,
            "ledger": self.ledger.to_dict(),
        }

    @classmethod
    def from_dict(cls, raw: dict) -> ReplicatedState:
        """The state of a snapshot; ValueError if its format is newer than this program reads."""
        if raw["format"] > FORMAT:
            raise ValueError(f"snapshot has format {raw['format']}; this program reads formats up to {FORMAT}")
        state = cls()
        state.applied, state.configuration_index = raw["applied"], raw["order"]
        read_history = (
            ChangeHistory.from_dict if raw["format"] >= HISTORY_FLOOR_FORMAT else ChangeHistory.from_legacy_dict
        )
        state.history = read_history(raw["history"])
        state.configuration = parse_configuration(raw["configuration"]) if raw["configuration"] else None
        state.ledger = Ledger.from_dict(raw["ledger"])
        return state
