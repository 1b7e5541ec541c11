"""The state of one Raft state machine, its only change of role, and what all parts of the protocol use. Pure."""

import random
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from knotwalk.consensus.log import MAX_BATCH_BYTES, Log
from knotwalk.consensus.membership_rules import PeerProgress, majority_value
from knotwalk.consensus.raft_types import (
    CANDIDATE,
    FOLLOWER,
    LEADER,
    OUTSIDER,
    Answer,
    Apply,
    Entry,
    RaftSettings,
    RoleChange,
    Save,
    Send,
    StoredState,
)
from knotwalk.consensus.snapshot_transfer import Blob, IncomingTransfer, OutgoingTransfer

# After so long without a call, unread messages are handled before an election starts. Twice a heartbeat interval, and
# three times the stall of a process under batch scheduling.
STALL_S = 0.3
# A call at most this long after `wake_at` counts as on time: the timers of an event loop fire some milliseconds late.
TIMER_SLACK_S = 0.02
# Back-off of elections that fail: up to 3 to 10 s, for disks that take a second per write.
MAX_BACKOFF_DOUBLINGS = 5
NEVER = float("-inf")


@dataclass
class Peer(PeerProgress):
    """A leader's view of another machine."""

    kind: str = "voter"  # voter, learner, departing
    next_index: int = 1  # the entry to send next
    received_index: int = 0  # received, though perhaps not stored
    is_probing: bool = True  # send one message at a time until one matches
    probe_index: int = -1  # `prev` of the last message sent
    in_flight: deque[int] = field(default_factory=deque)  # last index of each message without an answer
    has_progressed: bool = False  # something was acknowledged since the last heartbeat
    answered_round: int = 0  # the newest round of heartbeats answered
    batch_bytes: int = MAX_BATCH_BYTES  # for the entries of one message; smaller where answers are slow
    transfer: OutgoingTransfer | None = None  # a snapshot or long entry being sent in parts
    remove_at: float = 0.0  # when a departing peer is dropped
    leave_requested_at: float = NEVER  # when it last asked to be removed


@dataclass
class PendingSave:
    """The Save being written."""

    number: int
    last_index: int
    term: int
    vote: str | None


class MachineState:
    """What a machine knows, stores and promises; the parts of the protocol are built on it."""

    def __init__(
        self, saved: StoredState, settings: RaftSettings, seed: int, now: float, born: float | None = None
    ) -> None:
        self.me, self.settings = saved.me, settings
        self.random = random.Random(f"{seed} {saved.me}")
        self.actions: list = []
        self.contacts: list[str] = []
        self.term, self.vote = saved.term, saved.vote
        self.snapshot = (saved.snapshot_index, saved.snapshot_term, dict(saved.members), saved.snapshot)
        self.log = Log(saved.snapshot_index, saved.snapshot_term, saved.entries)
        self.configs: list[tuple[int, dict[str, str]]] = [(saved.snapshot_index, dict(saved.members))]
        self.configs += [
            (entry.index, dict(entry.body["members"])) for entry in saved.entries if entry.kind == "members"
        ]
        self.commit = self.applied = saved.snapshot_index
        self.address = self.members.get(self.me, self.me.partition("#")[0])
        self.role = FOLLOWER if self.me in self.members else OUTSIDER
        self.wake_at = now
        # store
        self._stored_index = self.log.last  # entries up to here are on disk
        self._issued_index = self.log.last  # last index on disk once all issued Saves are stored
        self._save_number = self._saved_number = 0  # numbers of the last Save issued and the last one stored
        self._pending_save: PendingSave | None = None
        self._saved_term = saved.term
        self._dirty = False
        self._dirty_from: int | None = None
        self._new_snapshot = False
        self._store_failed = False
        self._held_messages: list[tuple[int, str, dict]] = []
        # followers
        self._last_call_at = now
        self._leader_id: str | None = None
        self._leader_address: str | None = None
        self._leader_hint: str | None = None  # a leader's address as reported by others
        self._leader_heard_at = NEVER
        # A previous incarnation may have answered a leader just before this one started, and a lease may depend on
        # that.
        self._sticky_since = now if born is None else born
        self._leaderless_since = now
        self._received_index = 0  # the log equals the leader's of this term up to here
        self._owes_answer = False
        self._newest_stamp: float | None = None
        self._newest_round = 0
        self._incoming = IncomingTransfer()
        # If all machines start at once, nobody leads: stand as soon as no previous incarnation can have answered a
        # leader.
        self._election_deadline = (
            self._sticky_since
            + self.settings.election_timeout_min
            + self.random.uniform(0.0, 2 * self.settings.vote_retry_min)
        )
        self._request_at = now
        self.leaving = False
        # candidates
        self._is_prevote = False
        self._votes: set[str] = set()
        self._election_rounds = 0  # elections started since a leader was known
        # leaders
        self._peers: dict[str, Peer] = {}
        self._tickets: dict[int, Any] = {}
        self._reads: list[tuple[Any, int, int]] = []  # ticket, index, round that has to be answered
        self._queued_reads: list[Any] = []  # reads that wait for the next round
        self._encoded_blobs: list[Blob] = []  # contents being sent in parts, encoded once for all peers
        self._heartbeat_round = 0
        self._elected_at = NEVER
        self._term_first_index = 0  # index of the noop entry of this term
        self._heartbeat_at = NEVER
        self._hand_over_target: str | None = None
        self._handed_over_at = NEVER
        self._has_handed_over = False  # leadership was handed over: no lease any more
        self._commit_through(saved.commit)
        self._received_index = self.commit
        self._finish_call(now)

    @property
    def members(self) -> dict[str, str]:
        """The members by the newest entry that names them, committed or not: id -> address."""
        return self.configs[-1][1]

    @property
    def leader(self) -> str | None:
        """The address of the leader of this term, if known."""
        return self.address if self.role == LEADER else self._leader_address

    @property
    def last_known_leader(self) -> str | None:
        """The address of the last leader of any term known here or reported by others; it may no longer lead."""
        return self._known_leader()

    @property
    def is_saving(self) -> bool:
        """Whether a Save is being written, so that an answer or a vote may be waiting for it."""
        return self._pending_save is not None

    @property
    def leader_heard_at(self) -> float:
        """When a leader was last heard; for a leader, `majority_acked_at`."""
        return self.majority_acked_at if self.role == LEADER else self._leader_heard_at

    @property
    def is_commit_current(self) -> bool:
        """For a leader: whether an entry of its own term is committed, so that `commit` is not behind that of any
        earlier leader.
        """
        return self.role == LEADER and self.commit >= self._term_first_index

    @property
    def peers_answered_at(self) -> dict[str, float]:
        """For a leader: the send time, on its own clock, of the newest heartbeat that each other voter answered."""
        if self.role != LEADER:
            return {}
        return {id: self._peers[id].answered_at for id in self.members if id in self._peers}

    @property
    def majority_acked_at(self) -> float:
        """For a leader: the newest of its send times that a majority including itself has answered. None of these votes
        for another leader within `election_timeout_min` after it. -inf for other roles, and once leadership is being
        handed over.
        """
        return NEVER if self.role != LEADER or self._has_handed_over else self._majority_answered_at()

    # ---- change of role

    def _become(
        self,
        now: float,
        role: str,
        term: int,
        leader_id: str | None = None,
        leader: str | None = None,
        vote: str | None = None,
    ) -> None:
        before = (self.role, self.term, self.leader)
        previous_role = self.role
        if role == FOLLOWER and self.me not in self.members:
            role = OUTSIDER
        if term > self.term:
            self.term, self.vote = term, None
            self._dirty = True
            self._received_index, self._owes_answer, self._newest_stamp, self._newest_round = (
                self.commit,
                False,
                None,
                0,
            )
            self._held_messages.clear()
        if vote is not None:
            self.vote, self._dirty = vote, True
        if self._leader_id is not None and leader_id is None:
            self._leaderless_since = now
        self.role, self._leader_id, self._leader_address = role, leader_id, leader
        if previous_role == LEADER and role != LEADER:
            for ticket in self._tickets.values():
                self.actions.append(Answer(ticket, "lost", None))
            for ticket in [read[0] for read in self._reads] + self._queued_reads:
                self.actions.append(Answer(ticket, "not_leader", leader))
            self._tickets, self._reads, self._queued_reads, self._peers = {}, [], [], {}
            self._encoded_blobs = []
            self._leaderless_since = now
        if role == CANDIDATE:
            self._votes = {self.me} if self._is_prevote else set()
            delay_s = self.random.uniform(self.settings.vote_retry_min, self.settings.vote_retry_max)
            self._election_deadline = now + delay_s * (
                1 if self._is_prevote else 2 ** min(self._election_rounds, MAX_BACKOFF_DOUBLINGS)
            )
        elif previous_role in (LEADER, CANDIDATE) and role != LEADER:
            self._election_deadline = now + self._election_timeout()
        if role == LEADER:
            self._incoming.clear()
            self._election_rounds = 0
            self._elected_at, self._heartbeat_at, self._has_handed_over, self._hand_over_target = (
                now,
                now + self.settings.heartbeat_interval,
                False,
                None,
            )
            self._peers = {}
            self._sync_peers(now)
            self._term_first_index = self._append_new("noop", {})
            self._replicate(now)
        if (self.role, self.term, self.leader) != before:
            self.actions.append(RoleChange(self.role, self.term, self.leader))

    # ---- time

    def _election_timeout(self) -> float:
        return self.random.uniform(self.settings.election_timeout_min, self.settings.election_timeout_max)

    def _expire(self, now: float) -> None:
        """Apply what the passage of time has ended, before anything is read or done at `now`."""
        was_stalled = now - self._last_call_at > STALL_S and now - self.wake_at > TIMER_SLACK_S
        self._last_call_at = now
        if self.role == LEADER:
            if now - max(self._majority_answered_at(), self._elected_at) > self.settings.election_timeout_min:
                self._become(now, FOLLOWER, self.term)
        elif was_stalled:
            if self.role == CANDIDATE:
                self._become(now, FOLLOWER, self.term)
            self._election_deadline = max(
                self._election_deadline,
                now + self.random.uniform(self.settings.vote_retry_min, self.settings.vote_retry_max),
            )

    def _finish_call(self, now: float) -> None:
        """Finish a call: issue a Save if something changed, and set when the next call is due."""
        if self._dirty and self._pending_save is None:
            self._save_number += 1
            first = self.log.last + 1 if self._dirty_from is None else max(self._dirty_from, self.snapshot[0] + 1)
            cut_from = first if first <= self._issued_index else None
            entries = self.log.entries[first - self.log.base - 1 :]
            self.actions.append(
                Save(
                    self._save_number,
                    self.term,
                    self.vote,
                    entries,
                    cut_from,
                    self.snapshot if self._new_snapshot else None,
                    self.commit,
                )
            )  # type: ignore[arg-type]
            self._pending_save = PendingSave(self._save_number, self.log.last, self.term, self.vote)
            self._issued_index = self.log.last
            self._dirty, self._dirty_from, self._new_snapshot = False, None, False
        self.wake_at = self._heartbeat_at if self.role == LEADER else self._election_deadline
        if self.role != LEADER or self.leaving:
            self.wake_at = min(self.wake_at, self._request_at)

    # ---- messages

    def _build_message(self, type: str, to: str, /, **rest: Any) -> dict:
        return {"type": type, "from": self.me, "at": self.address, "to": to, "term": self.term, **rest}

    def _send(self, address: str, type: str, to: str, /, **rest: Any) -> None:
        self.actions.append(Send(address, self._build_message(type, to, **rest)))

    def _send_after_save(self, address: str, type: str, to: str, /, **rest: Any) -> None:
        """Send once all changes made so far are stored."""
        needed_save = self._save_number + 1 if self._dirty else self._save_number
        if needed_save <= self._saved_number:
            self._send(address, type, to, **rest)
        else:
            self._held_messages.append((needed_save, address, self._build_message(type, to, **rest)))

    def _known_leader(self) -> str | None:
        return self.leader or self._leader_hint

    def _other_members(self) -> list[tuple[str, str]]:
        return [(id, address) for id, address in self.members.items() if id != self.me]

    # ---- the log

    def _commit_through(self, index: int) -> None:
        """Commit up to `index` and emit an Apply for each entry."""
        while self.commit < index:
            self.commit = self.applied = self.commit + 1
            self.actions.append(Apply(self.log.entry_at(self.commit)))
            if self.commit in self._tickets:
                self.actions.append(Answer(self._tickets.pop(self.commit), "committed", self.commit))

    def _append_entry(self, entry: Entry) -> None:
        self.log.append(entry)
        self._dirty = True
        self._dirty_from = entry.index if self._dirty_from is None else min(self._dirty_from, entry.index)
        if entry.kind == "members":
            self.configs.append((entry.index, dict(entry.body["members"])))

    def _truncate(self, index: int) -> None:
        self.log.truncate(index)
        self.configs = [config for config in self.configs if config[0] < index]
        self._stored_index = min(self._stored_index, index - 1)
        if self._pending_save is not None:
            self._pending_save.last_index = min(self._pending_save.last_index, index - 1)
        self._dirty = True
        self._dirty_from = index if self._dirty_from is None else min(self._dirty_from, index)

    def _append_new(self, kind: str, body: dict) -> int:
        self._append_entry(Entry(self.log.last + 1, self.term, kind, body))
        return self.log.last

    def _majority_answered_at(self) -> float:
        return majority_value(
            [self._last_call_at if id == self.me else self._peers[id].answered_at for id in self.members]
        )
