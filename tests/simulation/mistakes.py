"""Seeded mistakes in the real code that walks must find, by the point of docs/design/control-safety.md that they break.

Each patches a class or function of the running system, and states within how many walks it must be found.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any
from unittest import mock

from knotwalk.configuration import change_requests
from knotwalk.consensus import elections, following, leading, membership
from knotwalk.consensus.machine import Machine
from knotwalk.consensus.membership_rules import quorum
from knotwalk.consensus.raft_types import LEADER, Answer
from knotwalk.control_plane import __main__ as program, control, peer_api
from knotwalk.control_plane.consensus_driver import ConsensusDriver
from knotwalk.control_plane.replicated_state import ReplicatedState
from knotwalk.edge import caller, forwarder
from knotwalk.edge.answer_reader import AnswerReader
from knotwalk.edge.node_connection import Connection
from knotwalk.edge.node_connection_state import Phase
from knotwalk.leases.actions import REFUSED
from knotwalk.leases.grant_manager import GrantManager

KEYS, QUOTA = 6, 7  # points of docs/design/shared-state.md, numbered on: tenants' keys, quotas
SMALL_GROUPS = 8  # found by walks with few machines only


@dataclass(frozen=True)
class Mistake:
    """A mistake: the point that it breaks, its patches (target, name, replacement), and the walks that must find it."""

    point: int
    patches: tuple[tuple[Any, str, Any], ...]
    seed: int = 0  # of a walk that found it; tried first, as later changes of the code may need another
    within: int = 30

    def seeds(self) -> list[int]:
        """The walks that must find it."""
        return [self.seed, *(seed for seed in range(self.within) if seed != self.seed)]

    @contextlib.contextmanager
    def applied(self) -> Iterator[None]:
        """Run the system with the mistake."""
        with contextlib.ExitStack() as stack:
            for target, name, replacement in self.patches:
                stack.enter_context(mock.patch.object(target, name, replacement))
            yield


def _read_without_confirmation(machine: Machine, now: float, ticket: Any) -> None:
    """A leader answers reads without confirming its leadership."""
    machine._expire(now)
    if machine.role != LEADER:
        machine.actions.append(Answer(ticket, "not_leader", machine._known_leader()))
    else:
        machine.actions.append(Answer(ticket, "readable", machine.applied))
    machine._finish_call(now)


def _read_anywhere(machine: Machine, now: float, ticket: Any) -> None:
    machine.actions.append(Answer(ticket, "readable", machine.applied))
    machine._finish_call(now)


def _always_provisional(api: peer_api.PeerApi) -> bool:
    """A core always serves provisional views."""
    return True


def _send_before_save(machine: Machine, address: str, type: str, to: str, /, **rest: Any) -> None:
    machine._send(address, type, to, **rest)


def _contains_nothing(history: Any, version: int, digest: str) -> bool:
    return False


def _count_learners(machine: Any, now: float) -> None:
    """Counts learners that have stored an entry towards the members' majority."""
    kept = sorted([machine._stored_index, *(peer.match_index for peer in machine._peers.values())], reverse=True)
    index = kept[quorum(len(machine.members)) - 1]
    if index > machine.commit and machine.log.term_at(index) == machine.term:
        machine._commit_through(index)
        for peer in machine._peers.values():
            machine._replicate_to(now, peer, True)
        machine._serve_reads(now)


def _leave_at_once(machine: Machine, now: float) -> None:
    """A leaving member becomes an outsider at once, without waiting for the others."""
    machine._expire(now)
    machine.leaving, machine._request_at = True, now
    machine._become(now, "outsider", machine.term)
    machine._finish_call(now)


def _overlapping_changes(machine: Any, now: float) -> None:
    """Changes members even if the previous change is not committed."""
    if machine.role != LEADER:
        return
    voters = {id: machine._peers[id] for id, _ in machine._other_members()}
    learners = [one for one in machine._peers.values() if one.kind == "learner"]
    members = membership.next_members(
        machine.me,
        machine.members,
        voters,
        learners,
        machine.commit,
        now,
        99.0,
        2.0,
        machine.settings.target_members,
        99.0,
    )
    if members is not None:
        machine._append_new("members", {"members": members})
        machine._sync_peers(now)
        machine._replicate(now)


def _restore_without_history(kind: type, raw: dict) -> Any:
    state = RESTORE(raw)
    state.history = change_requests.ChangeHistory()
    return state


RESTORE = ReplicatedState.from_dict


def _restore_without_configuration(kind: type, raw: dict) -> Any:
    """Restores a snapshot without its configuration."""
    state = RESTORE(raw)
    state.configuration, state.configuration_index = None, -1
    return state


async def _done_by_default(driver: ConsensusDriver, command: dict, timeout_s: float = 4.0) -> str:
    """Reports success whatever the result of applying a command."""
    outcome, value = await driver._submit(lambda now, ticket: driver.machine.propose(now, command, ticket), timeout_s)
    if outcome == "not_leader":
        raise control.NotLeaderError(value)
    if outcome != "committed":
        raise control.OutcomeUnknownError
    return "done"


async def _done_if_lost(driver: ConsensusDriver, command: dict, timeout_s: float = 4.0) -> str:
    """Treats a command whose leader was lost as committed."""
    outcome, value = await driver._submit(lambda now, ticket: driver.machine.propose(now, command, ticket), timeout_s)
    if outcome == "not_leader":
        raise control.NotLeaderError(value)
    return driver.results.get(value, "done")


def _count_received(machine: Any, now: float) -> None:
    """Commits what a majority has received, saved or not."""
    index = int(
        leading.majority_value(
            [machine.log.last if id == machine.me else machine._peers[id].received_index for id in machine.members]
        )
    )
    if index > machine.commit and machine.log.term_at(index) == machine.term:
        machine._commit_through(index)
        for peer in machine._peers.values():
            machine._replicate_to(now, peer, True)
        machine._serve_reads(now)


def _vote_for_any_log(machine: Any, message: dict) -> bool:
    return True


def _match_received(machine: Any) -> int:
    return machine._received_index


def _apply_on_any_base(state: ReplicatedState, index: int, command: dict) -> Any:
    """Applies a change whatever version is current."""
    if command.get("do") == "configure":
        command = {**command, "base": state.version}
    return APPLY(state, index, command)


APPLY = ReplicatedState.apply


def _same_number(history: Any, version: int, digest: str) -> bool:
    """Identifies a change that was applied before by its version number alone."""
    return version in history.versions


class _NoLock:
    """A lock that never excludes anyone."""

    async def __aenter__(self) -> None:
        pass

    async def __aexit__(self, *error: object) -> None:
        pass


def _ready_without_check(connection: Connection, careful: bool) -> bool:
    """Reuses a connection although its end, or unexpected bytes, are unread at the socket."""
    return connection.phase is Phase.IDLE and connection.transport is not None and not connection.transport.is_closing()


READ_HEAD = AnswerReader._read_head


def _accept_any_answer(reader: AnswerReader, status: int, headers: list[tuple[bytes, bytes]]) -> None:
    """Accepts any answer as the one that is expected."""
    reader.attempt = next((value.strip() for name, value in headers if name.lower() == b"attempt-id"), b"")
    READ_HEAD(reader, status, headers)


def _accept_any_call(connection: caller.Connection) -> None:
    """Accepts a core's answer to any call."""


ANSWERED = GrantManager.on_call_ended
NEXT_STEP = forwarder.next_step


def _always_resend(end: Any, idempotent: bool, may_have_run: bool, again: bool, status: int = 0) -> Any:
    """Resends any request, as if all were idempotent."""
    return NEXT_STEP(end, True, may_have_run, again, status)


OPENED = program.open_store


def _always_first_start(store: Any, data_dir: str, first_start: bool, *rest: Any) -> Any:
    """Treats an emptied disk as a first start, so that the core votes as the member that it was."""
    return OPENED(store, data_dir, True, *rest)


def _refusal_ends_holds(
    grant_manager: GrantManager, now: float, order: Any, status: Any, handover: str | None = None
) -> None:
    """Treats a refused connection as the end of the node (incident inc1)."""
    ANSWERED(grant_manager, now, order, status, handover)
    if status == REFUSED:
        for slice_lease in grant_manager.slice_leases.values():
            if order.node in slice_lease.holders:
                slice_lease.holders[order.node].held_until = now


def _single_patch(point: int, target: Any, name: str, replacement: Any, seed: int = 0) -> Mistake:
    return Mistake(point, ((target, name, replacement),), seed)


MISTAKES: dict[str, Mistake] = {
    "no contact before a read": _single_patch(1, Machine, "read", _read_without_confirmation, 18),
    "any member answers reads": _single_patch(1, Machine, "read", _read_anywhere, 18),
    "provisional view though fresh before": _single_patch(
        1, peer_api.PeerApi, "may_serve_provisional", _always_provisional, 1
    ),
    "fresh whatever was heard": _single_patch(1, peer_api, "MAX_LEADER_SILENCE_S", 60.0, 11),
    "history forgotten": _single_patch(2, change_requests.ChangeHistory, "contains", _contains_nothing),
    "identity by number": _single_patch(2, change_requests.ChangeHistory, "contains", _same_number),
    "snapshot without history": _single_patch(
        2, ReplicatedState, "from_dict", classmethod(_restore_without_history), 1
    ),
    "done though lost": _single_patch(2, ConsensusDriver, "propose", _done_if_lost, 17),
    "two judged at once, done by default": Mistake(
        2, ((control.asyncio, "Lock", _NoLock), (ConsensusDriver, "propose", _done_by_default))
    ),
    "two judged at once, applied on another base": Mistake(
        2, ((control.asyncio, "Lock", _NoLock), (ReplicatedState, "apply", _apply_on_any_base))
    ),
    "learners counted": _single_patch(3, leading.Leading, "_commit_majority", _count_learners, 5),
    "leaver not waited for": _single_patch(3, Machine, "leave", _leave_at_once, 10),
    "two changes of members at once": _single_patch(
        3, membership.Membership, "_change_members", _overlapping_changes, 2
    ),
    "vote before it is kept": _single_patch(4, elections.Elections, "_send_after_save", _send_before_save, 11),
    "acknowledged before kept": _single_patch(4, following.Following, "_match_index", _match_received, 29),
    "committed by what was received": _single_patch(4, leading.Leading, "_commit_majority", _count_received, 29),
    "votes whatever the log": _single_patch(4, elections.Elections, "_is_log_current", _vote_for_any_log, 8),
    "snapshot loses the configuration": _single_patch(
        4, ReplicatedState, "from_dict", classmethod(_restore_without_configuration), 1
    ),
    "an emptied disk founds again": _single_patch(4, program, "open_store", _always_first_start, 3),
    "a refused connection ends a node": _single_patch(4, GrantManager, "on_call_ended", _refusal_ends_holds, 6),
    "stale connection used again": _single_patch(5, Connection, "is_ready", _ready_without_check),
    "answer of a node taken with its id unchecked": _single_patch(5, AnswerReader, "_read_head", _accept_any_answer),
    "answer of a core taken with its id unchecked": _single_patch(
        5, caller.Connection, "on_headers_complete", _accept_any_call
    ),
    "sent again though a byte left": _single_patch(5, forwarder, "next_step", _always_resend),
}
