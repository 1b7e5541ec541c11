"""Reads the configuration from a copied data folder by replaying its log on top of its snapshot."""

from __future__ import annotations

from typing import Any

from knotwalk.configuration.documents import to_document
from knotwalk.configuration.objects import Configuration
from knotwalk.configuration.tenants import redact_api_keys
from knotwalk.consensus.store import read
from knotwalk.control_plane.replicated_state import ReplicatedState


def export_configuration(data_dir: str, keys: bool = False) -> dict[str, Any]:
    """The newest configuration in the folder, with its position in the log.

    Raises StoreError if the folder can't be read, and ValueError for a snapshot of a later format.

    The log on disk does not say which of its last entries were committed. `sure` is the version that is known to be:
    the one of the snapshot, or of the last entry that was recorded as committed. A configuration from a later entry was
    acknowledged if a majority of the cores has that entry on disk.
    `history` has the versions whose full text is here, oldest first: that of the snapshot and those after it. The
    system keeps no text of earlier versions, and does not record when or by whom a version was sent. Tenants' keys are
    withheld unless `keys` is set.
    """
    stored = read(data_dir)
    state = ReplicatedState.from_dict(stored.snapshot) if stored.snapshot else ReplicatedState()
    committed_version = state.version
    history: list[dict[str, Any]] = []

    def document_of(configuration: Configuration) -> dict[str, Any]:
        document = to_document(configuration)
        return document if keys else redact_api_keys(document)

    def add_to_history() -> None:
        if state.configuration and (not history or history[-1]["config_order"] != state.configuration_index):
            history.append(
                {
                    "config_version": f"r{state.version}",
                    "config_order": state.configuration_index,
                    "configuration": document_of(state.configuration),
                }
            )

    add_to_history()
    for entry in stored.entries:
        state.apply(entry.index, entry.body if entry.kind == "command" else {})
        committed_version = state.version if entry.index <= stored.commit else committed_version
        add_to_history()
    last_entry = stored.entries[-1] if stored.entries else None
    return {
        "me": stored.me,
        "config_version": f"r{state.version}" if state.configuration else None,
        "config_order": state.configuration_index,
        "sure": f"r{committed_version}" if committed_version else None,
        "snapshot": stored.snapshot_index,
        "last": last_entry.index if last_entry else stored.snapshot_index,
        "last_term": last_entry.term if last_entry else stored.snapshot_term,
        "term": stored.term,
        "history": history,
        "configuration": document_of(state.configuration) if state.configuration else None,
    }
