"""Seeded mistakes in the consensus groups for claims that walks with claimants must find."""

from __future__ import annotations

from typing import Any

from knotwalk.consensus import following
from knotwalk.control_plane import claim_group
from knotwalk.control_plane.claim_group import ClaimGroup
from knotwalk.shared_state.claims import ClaimTable, GroupClock, claims_command
from knotwalk.shared_state.messages import Claim
from tests.simulation.mistakes import Mistake, _match_received

POINT = 6


async def _answer_before_commit(group: ClaimGroup, batch: list[Claim]) -> list:
    """Answers claims from the leader's state, before they are committed and saved."""
    machine = group.machine
    if not machine.is_commit_current or machine.applied < machine.log.last:
        raise claim_group.NotLeaderError(None)
    now = claim_group.clock()
    entry = claims_command(group.clock.time(group.driver.state, now), group.hold_s, batch)
    table = ClaimTable.from_dict(group.driver.state.to_dict())
    group.clock.proposed(now)
    machine.propose(now, entry, None)
    group.driver.perform_actions()
    return table.apply(machine.log.last, entry)[0]


RESTORE = ClaimTable.from_dict


def _restore_without_claims(kind: type, raw: dict) -> ClaimTable:
    """Restores a snapshot without its claims."""
    return RESTORE({**raw, "claims": ""})


def _forget_proposal_time(clock: GroupClock, now: float) -> None:
    """Adds the time since the machine's start although applied entries have counted it."""
    clock.proposed_at = None


def _release_any(table: ClaimTable, operation: str, holder: str, until: float) -> None:
    """Accepts a release from anyone."""
    table.claims.pop(operation, None)


def _single_patch(target: Any, name: str, replacement: Any, seed: int = 0) -> Mistake:
    return Mistake(POINT, ((target, name, replacement),), seed)


MISTAKES: dict[str, Mistake] = {
    "answered before it is kept": _single_patch(ClaimGroup, "propose", _answer_before_commit),
    "claims lost at a snapshot": _single_patch(ClaimTable, "from_dict", classmethod(_restore_without_claims)),
    "group time too fast": _single_patch(GroupClock, "applied", _forget_proposal_time),
    "released by another": _single_patch(ClaimTable, "_release", _release_any),
    "acknowledged before kept": _single_patch(following.Following, "_match_index", _match_received, 29),
}
