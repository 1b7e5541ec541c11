"""Mistakes put into the groups for claims, one at a time, that walks with claimants must find."""

from __future__ import annotations

from typing import Any

from knotwalk.consensus import following
from knotwalk.control_plane import claim_group
from knotwalk.control_plane.claim_group import ClaimGroup
from knotwalk.shared_state.claims import ClaimTable, GroupClock, claims_command
from knotwalk.shared_state.messages import Claim
from tests.simulation.mistakes import Mistake, _match_received

POINT = 6


async def _answers_at_once(group: ClaimGroup, batch: list[Claim]) -> list:
    """Answers claims by what it knows, before they are agreed on and kept."""
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


def _loses_claims(kind: type, raw: dict) -> ClaimTable:
    """A snapshot whose claims are not taken."""
    return RESTORE({**raw, "claims": ""})


def _counts_twice(clock: GroupClock, now: float) -> None:
    """Counts on from the machine's start, whatever entries have told of that time."""
    clock.proposed_at = None


def _frees_any(table: ClaimTable, operation: str, holder: str, until: float) -> None:
    """Takes a release by whomever."""
    table.claims.pop(operation, None)


def _one(room: Any, name: str, made: Any, seed: int = 0) -> Mistake:
    return Mistake(POINT, ((room, name, made),), seed)


MISTAKES: dict[str, Mistake] = {
    "answered before it is kept": _one(ClaimGroup, "propose", _answers_at_once),
    "claims lost at a snapshot": _one(ClaimTable, "from_dict", classmethod(_loses_claims)),
    "group time too fast": _one(GroupClock, "applied", _counts_twice),
    "released by another": _one(ClaimTable, "_release", _frees_any),
    "acknowledged before kept": _one(following.Following, "_match_index", _match_received, 29),
}
