"""What a copied data folder holds, followed to the end of its log."""

from __future__ import annotations

from typing import Any

from knotwalk.configuration.documents import to_document
from knotwalk.configuration.objects import Configuration
from knotwalk.configuration.tenants import redact_api_keys
from knotwalk.consensus.store import read
from knotwalk.control_plane.replicated_state import ReplicatedState


def export_configuration(data_dir: str, keys: bool = False) -> dict[str, Any]:
    """The configuration, whole, and where it stands; StoreBroken, or ValueError for a later format.

    A disk does not tell of its last entries which were agreed on. `sure` is the version that certainly was: the one as
    of the snapshot, or of the last entry known then as committed; a configuration from a later entry was acknowledged
    if a majority of the cores' disks has that entry.
    `history` has the versions whose whole text is here, oldest first: that of the snapshot and those after it. Of
    earlier ones the system keeps no text, and none of when a version was taken or by whom. Keys of tenants are withheld
    unless asked for with `keys`.
    """
    saved = read(data_dir)
    state = ReplicatedState.from_dict(saved.snapshot) if saved.snapshot else ReplicatedState()
    sure = state.version
    history: list[dict[str, Any]] = []

    def text(configuration: Configuration) -> dict[str, Any]:
        whole = to_document(configuration)
        return whole if keys else redact_api_keys(whole)

    def note() -> None:
        if state.configuration and (not history or history[-1]["config_order"] != state.configuration_index):
            history.append(
                {
                    "config_version": f"r{state.version}",
                    "config_order": state.configuration_index,
                    "configuration": text(state.configuration),
                }
            )

    note()
    for entry in saved.entries:
        state.apply(entry.index, entry.body if entry.kind == "command" else {})
        sure = state.version if entry.index <= saved.commit else sure
        note()
    last = saved.entries[-1] if saved.entries else None
    return {
        "me": saved.me,
        "config_version": f"r{state.version}" if state.configuration else None,
        "config_order": state.configuration_index,
        "sure": f"r{sure}" if sure else None,
        "snapshot": saved.snapshot_index,
        "last": last.index if last else saved.snapshot_index,
        "last_term": last.term if last else saved.snapshot_term,
        "term": saved.term,
        "history": history,
        "configuration": text(state.configuration) if state.configuration else None,
    }
