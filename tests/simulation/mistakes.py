"""Mistakes put into the real code, one at a time, that walks must find: by point of docs/design/control-safety.md.

Each is a patch of a class or function of the running system, and says within how many walks it is found.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any
from unittest import mock

from knotwalk.configuration import change_requests as verdicts
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

KEYS, QUOTA = 6, 7  # of docs/design/shared-state.md, counted on: keys of tenants, quotas


@dataclass(frozen=True)
class Mistake:
    """A mistake: of which point, its patches (room, name, made), and within how many walks it shows."""

    point: int
    patches: tuple[tuple[Any, str, Any], ...]
    seed: int = 0  # of a walk that showed it; the text moves on, so others are tried after it
    within: int = 30

    def seeds(self) -> list[int]:
        """Walks by which it has to be found."""
        return [self.seed, *(seed for seed in range(self.within) if seed != self.seed)]

    @contextlib.contextmanager
    def inside(self) -> Iterator[None]:
        """The system with the mistake."""
        with contextlib.ExitStack() as stack:
            for room, name, made in self.patches:
                stack.enter_context(mock.patch.object(room, name, made))
            yield


def _read_at_once(machine: Machine, now: float, ticket: Any) -> None:
    """A leader answers reads without asking anyone."""
    machine._expire(now)
    if machine.role != LEADER:
        machine.actions.append(Answer(ticket, "not_leader", machine._known_leader()))
    else:
        machine.actions.append(Answer(ticket, "readable", machine.applied))
    machine._finish_call(now)


def _read_anywhere(machine: Machine, now: float, ticket: Any) -> None:
    machine.actions.append(Answer(ticket, "readable", machine.applied))
    machine._finish_call(now)


def _alone_always(api: peer_api.PeerApi) -> bool:
    """A core gives provisional views whatever it or others have heard."""
    return True


def _promise_unkept(machine: Machine, address: str, type: str, to: str, /, **rest: Any) -> None:
    machine._send(address, type, to, **rest)


def _holds_nothing(history: Any, version: int, digest: str) -> bool:
    return False


def _count_learners(machine: Any, now: float) -> None:
    """Counts whoever keeps an entry, learners too, towards the members' majority."""
    kept = sorted([machine._stored_index, *(peer.match_index for peer in machine._peers.values())], reverse=True)
    index = kept[quorum(len(machine.members)) - 1]
    if index > machine.commit and machine.log.term_at(index) == machine.term:
        machine._commit_through(index)
        for peer in machine._peers.values():
            machine._replicate_to(now, peer, True)
        machine._serve_reads(now)


def _leaves_at_once(machine: Machine, now: float) -> None:
    """One that leaves calls itself out at once, whoever stays."""
    machine._expire(now)
    machine.leaving, machine._request_at = True, now
    machine._become(now, "outsider", machine.term)
    machine._finish_call(now)


def _two_changes(machine: Any, now: float) -> None:
    """Changes members whatever of the change before is committed."""
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


def _empty_history(kind: type, raw: dict) -> Any:
    made = RESTORE(raw)
    made.history = verdicts.ChangeHistory()
    return made


RESTORE = ReplicatedState.from_dict


def _loses_state(kind: type, raw: dict) -> Any:
    """A snapshot whose configuration is taken, and whose order is not."""
    made = RESTORE(raw)
    made.configuration, made.configuration_index = None, -1
    return made


async def _done_by_default(driver: ConsensusDriver, command: dict, patience: float = 4.0) -> str:
    """Says done whatever applying a command said."""
    outcome, value = await driver._submit(lambda now, ticket: driver.machine.propose(now, command, ticket), patience)
    if outcome == "not_leader":
        raise control.NotLeaderError(value)
    if outcome != "committed":
        raise control.OutcomeUnknownError
    return "done"


async def _done_if_lost(driver: ConsensusDriver, command: dict, patience: float = 4.0) -> str:
    """Takes an order whose leader went for one that was agreed on."""
    outcome, value = await driver._submit(lambda now, ticket: driver.machine.propose(now, command, ticket), patience)
    if outcome == "not_leader":
        raise control.NotLeaderError(value)
    return driver.results.get(value, "done")


def _count_any_term(machine: Any, now: float) -> None:
    """Commits what a majority has received, kept or not."""
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


def _votes_for_any(machine: Any, message: dict) -> bool:
    return True


def _match_received(machine: Any) -> int:
    return machine._received_index


def _judged_alone(state: ReplicatedState, index: int, command: dict) -> Any:
    """Applies what was judged good once, whatever stands now."""
    if command.get("do") == "configure":
        command = {**command, "base": state.version}
    return APPLY(state, index, command)


APPLY = ReplicatedState.apply


def _same_number(history: Any, version: int, digest: str) -> bool:
    """Takes an order for one taken before by its number alone."""
    return version in history.versions


class _NoLock:
    """Lets all in at once."""

    async def __aenter__(self) -> None:
        pass

    async def __aexit__(self, *error: object) -> None:
        pass


def _ready_unasked(connection: Connection, careful: bool) -> bool:
    """A connection is used again though its end, or bytes, lie unread at the socket."""
    return connection.phase is Phase.IDLE and connection.transport is not None and not connection.transport.is_closing()


READ_HEAD = AnswerReader._read_head


def _any_answer(reader: AnswerReader, status: int, headers: list[tuple[bytes, bytes]]) -> None:
    """Takes whatever answer comes for the one that is waited for."""
    reader.attempt = next((value.strip() for name, value in headers if name.lower() == b"attempt-id"), b"")
    READ_HEAD(reader, status, headers)


def _any_call(connection: caller.Connection) -> None:
    """Takes any call's answer of a core."""


ANSWERED = GrantManager.on_call_ended
NEXT_STEP = forwarder.next_step


def _next_step_again(end: Any, idempotent: bool, may_have_run: bool, again: bool, status: int = 0) -> Any:
    """Offers any request again, as if all might run twice."""
    return NEXT_STEP(end, True, may_have_run, again, status)


OPENED = program.open_store


def _founds_again(store: Any, data_dir: str, first_start: bool, *rest: Any) -> Any:
    """Takes an emptied disk for that of a first start, so that it votes as the member it was."""
    return OPENED(store, data_dir, True, *rest)


def _refused_is_gone(
    grant_manager: GrantManager, now: float, order: Any, status: Any, handover: str | None = None
) -> None:
    """Takes a refused connection for the end of the node (incident inc1)."""
    ANSWERED(grant_manager, now, order, status, handover)
    if status == REFUSED:
        for slice_lease in grant_manager.slice_leases.values():
            if order.node in slice_lease.holders:
                slice_lease.holders[order.node].held_until = now


def _one(point: int, room: Any, name: str, made: Any, seed: int = 0) -> Mistake:
    return Mistake(point, ((room, name, made),), seed)


MISTAKES: dict[str, Mistake] = {
    "no contact before a read": _one(1, Machine, "read", _read_at_once, 18),
    "any member answers reads": _one(1, Machine, "read", _read_anywhere, 18),
    "provisional view though fresh before": _one(1, peer_api.PeerApi, "may_serve_provisional", _alone_always, 1),
    "fresh whatever was heard": _one(1, peer_api, "MAX_LEADER_SILENCE_S", 60.0, 11),
    "history forgotten": _one(2, verdicts.ChangeHistory, "contains", _holds_nothing),
    "identity by number": _one(2, verdicts.ChangeHistory, "contains", _same_number),
    "snapshot without history": _one(2, ReplicatedState, "from_dict", classmethod(_empty_history), 1),
    "done though lost": _one(2, ConsensusDriver, "propose", _done_if_lost, 17),
    "two judged at once, done by default": Mistake(
        2, ((control.asyncio, "Lock", _NoLock), (ConsensusDriver, "propose", _done_by_default))
    ),
    "two judged at once, applied on another base": Mistake(
        2, ((control.asyncio, "Lock", _NoLock), (ReplicatedState, "apply", _judged_alone))
    ),
    "learners counted": _one(3, leading.Leading, "_commit_majority", _count_learners, 5),
    "leaver not waited for": _one(3, Machine, "leave", _leaves_at_once, 10),
    "two changes of members at once": _one(3, membership.Membership, "_change_members", _two_changes, 2),
    "vote before it is kept": _one(4, elections.Elections, "_send_after_save", _promise_unkept, 11),
    "acknowledged before kept": _one(4, following.Following, "_match_index", _match_received, 29),
    "committed by what was received": _one(4, leading.Leading, "_commit_majority", _count_any_term, 29),
    "votes whatever the log": _one(4, elections.Elections, "_is_log_current", _votes_for_any, 8),
    "snapshot loses the configuration": _one(4, ReplicatedState, "from_dict", classmethod(_loses_state), 1),
    "an emptied disk founds again": _one(4, program, "open_store", _founds_again, 24),
    "a refused connection ends a node": _one(4, GrantManager, "on_call_ended", _refused_is_gone, 6),
    "stale connection used again": _one(5, Connection, "is_ready", _ready_unasked),
    "answer of a node taken with its id unchecked": _one(5, AnswerReader, "_read_head", _any_answer),
    "answer of a core taken with its id unchecked": _one(5, caller.Connection, "on_headers_complete", _any_call),
    "sent again though a byte left": _one(5, forwarder, "next_step", _next_step_again),
}
