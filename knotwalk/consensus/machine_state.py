"""The state of one machine of the consensus, its one change of role, and what all its parts use. Pure."""

import random
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from knotwalk.consensus.log import BATCH, Log
from knotwalk.consensus.members import Standing, reached
from knotwalk.consensus.orders import (
    CANDIDATE,
    FOLLOWER,
    LEADER,
    OUTSIDER,
    Answer,
    Apply,
    Entry,
    Pace,
    Role,
    Save,
    Saved,
    Send,
)
from knotwalk.consensus.snapshot_transfer import Blob, Incoming, Outgoing

FROZEN = 0.3  # seconds without a call after which unread messages are given a chance before an election:
#                         twice a heartbeat, three times the stall of a batch scheduled process
ON_TIME = 0.02  # seconds past `wake` in which a call was not held up: a loop's timers come within some ms
BACK_OFF = 5  # doublings of a round of votes that fails: 3 to 10 s, for disks that take a second a write
NEVER = float("-inf")


@dataclass
class Peer(Standing):
    """How far another machine is, to the leader."""

    kind: str = "voter"  # voter, learner, departing
    next: int = 1  # the entry to send next
    have: int = 0  # received there, though perhaps not kept
    probing: bool = True  # one message at a time, until one fits
    probe: int = -1  # the prev of the last one sent
    under_way: deque[int] = field(default_factory=deque)  # last index of each message not yet answered
    moved: bool = False  # something was answered since the last heartbeat
    round: int = 0  # newest round of heartbeats answered
    batch: int = BATCH  # bytes of entries in one message; less where answers are slow
    transfer: Outgoing | None = None  # a snapshot or a long entry on its way in parts
    until: float = 0.0  # when a departing one is let go
    left_at: float = NEVER  # when it said last that it leaves


@dataclass
class Flight:
    """The Save being written."""

    number: int
    last: int
    term: int
    vote: str | None


class MachineState:
    """What a machine knows, keeps and promises; the parts of the protocol are built on it."""

    def __init__(self, saved: Saved, settings: Pace, seed: int, now: float, born: float | None = None) -> None:
        self.me, self.pace = saved.me, settings
        self.random = random.Random(f"{seed} {saved.me}")
        self.orders: list = []
        self.contacts: list[str] = []
        self.term, self.vote = saved.term, saved.vote
        self.snapshot = (saved.snapshot_index, saved.snapshot_term, dict(saved.members), saved.snapshot)
        self.log = Log(saved.snapshot_index, saved.snapshot_term, saved.entries)
        self.configs: list[tuple[int, dict[str, str]]] = [(saved.snapshot_index, dict(saved.members))]
        self.configs += [(one.index, dict(one.body["members"])) for one in saved.entries if one.kind == "members"]
        self.commit = self.applied = saved.snapshot_index
        self.address = self.members.get(self.me, self.me.partition("#")[0])
        self.role = FOLLOWER if self.me in self.members else OUTSIDER
        self.wake = now
        # the store
        self._stored = self.log.last  # the log in memory is kept up to here
        self._issued = self.log.last  # last index on disk once the Saves issued are kept
        self._number = self._done = 0  # Saves issued, Saves kept
        self._flight: Flight | None = None
        self._kept_term = saved.term
        self._dirty = False
        self._dirty_from: int | None = None
        self._new_snapshot = False
        self._sick = False
        self._held: list[tuple[int, str, dict]] = []
        # followers
        self._seen = now
        self._leader_id: str | None = None
        self._leader: str | None = None
        self._hint: str | None = None  # a leader's address by hearsay
        self._heard = NEVER
        # A life before may have answered a leader just before this one began, and a lease may rest on that.
        self._sticky_from = now if born is None else born
        self._lonely_since = now
        self._agreed = 0  # the log is the leader's of this term up to here
        self._owed = False
        self._stamp: float | None = None
        self._round_seen = 0
        self._incoming = Incoming()
        # After a start of all at once nobody leads: stand as soon as no life before can have answered a leader.
        self._deadline = self._sticky_from + self.pace.election_low + self.random.uniform(0.0, 2 * self.pace.round_low)
        self._ask_at = now
        self.leaving = False
        # candidates
        self._pre = False
        self._votes: set[str] = set()
        self._rounds = 0  # votes asked for since a leader was known
        # leaders
        self._peers: dict[str, Peer] = {}
        self._tickets: dict[int, Any] = {}
        self._reads: list[tuple[Any, int, int]] = []  # ticket, index, round that has to be answered
        self._queue: list[Any] = []  # reads for the next round
        self._blobs: list[Blob] = []  # what goes to peers in parts, encoded once
        self._round = 0
        self._elected_at = NEVER
        self._first = 0  # index of the noop of this term
        self._beat_at = NEVER
        self._handed: str | None = None
        self._handed_at = NEVER
        self._void = False  # handed over: no lease any more
        self._advance(saved.commit)
        self._agreed = self.commit
        self._close(now)

    @property
    def members(self) -> dict[str, str]:
        """Members by the newest entry that names them, committed or not: id -> address."""
        return self.configs[-1][1]

    @property
    def leader(self) -> str | None:
        """The address of the leader of this term, where known."""
        return self.address if self.role == LEADER else self._leader

    @property
    def rumour(self) -> str | None:
        """The address of a leader of any term, as far as is known here or was told by others; it may lead no more."""
        return self._known()

    @property
    def unkept(self) -> bool:
        """Whether something is on its way to the disk, so that an answer or a vote may be waiting for it."""
        return self._flight is not None

    @property
    def heard_at(self) -> float:
        """When a leader was last heard; for a leader `majority_at`."""
        return self.majority_at if self.role == LEADER else self._heard

    @property
    def settled(self) -> bool:
        """For a leader: whether an entry of its own term is committed, so that `commit` is no older than any before."""
        return self.role == LEADER and self.commit >= self._first

    @property
    def answered(self) -> dict[str, float]:
        """For a leader: send time, on its own clock, of the newest heartbeat that each other voter answered."""
        if self.role != LEADER:
            return {}
        return {id: self._peers[id].answered for id in self.members if id in self._peers}

    @property
    def majority_at(self) -> float:
        """For a leader: the newest of its send times that a majority with itself has answered. None of them votes for
        another within election_low after it; -inf for others, and once leadership is being handed over."""
        return NEVER if self.role != LEADER or self._void else self._majority()

    # ---- the one change of state

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
        was = self.role
        if role == FOLLOWER and self.me not in self.members:
            role = OUTSIDER
        if term > self.term:
            self.term, self.vote = term, None
            self._dirty = True
            self._agreed, self._owed, self._stamp, self._round_seen = self.commit, False, None, 0
            self._held.clear()
        if vote is not None:
            self.vote, self._dirty = vote, True
        if self._leader_id is not None and leader_id is None:
            self._lonely_since = now
        self.role, self._leader_id, self._leader = role, leader_id, leader
        if was == LEADER and role != LEADER:
            for ticket in self._tickets.values():
                self.orders.append(Answer(ticket, "lost", None))
            for ticket in [one[0] for one in self._reads] + self._queue:
                self.orders.append(Answer(ticket, "not_leader", leader))
            self._tickets, self._reads, self._queue, self._peers = {}, [], [], {}
            self._blobs = []
            self._lonely_since = now
        if role == CANDIDATE:
            self._votes = {self.me} if self._pre else set()
            wait = self.random.uniform(self.pace.round_low, self.pace.round_high)
            self._deadline = now + wait * (1 if self._pre else 2 ** min(self._rounds, BACK_OFF))
        elif was in (LEADER, CANDIDATE) and role != LEADER:
            self._deadline = now + self._timeout()
        if role == LEADER:
            self._incoming.clear()
            self._rounds = 0
            self._elected_at, self._beat_at, self._void, self._handed = now, now + self.pace.heartbeat, False, None
            self._peers = {}
            self._sync_peers(now)
            self._first = self._append("noop", {})
            self._spread(now)
        if (self.role, self.term, self.leader) != before:
            self.orders.append(Role(self.role, self.term, self.leader))

    # ---- time

    def _timeout(self) -> float:
        return self.random.uniform(self.pace.election_low, self.pace.election_high)

    def _expire(self, now: float) -> None:
        """What time alone has ended, before anything is read or done at `now`."""
        frozen = now - self._seen > FROZEN and now - self.wake > ON_TIME
        self._seen = now
        if self.role == LEADER:
            if now - max(self._majority(), self._elected_at) > self.pace.election_low:
                self._become(now, FOLLOWER, self.term)
        elif frozen:
            if self.role == CANDIDATE:
                self._become(now, FOLLOWER, self.term)
            self._deadline = max(self._deadline, now + self.random.uniform(self.pace.round_low, self.pace.round_high))

    def _close(self, now: float) -> None:
        """End of each call: write what changed, and say when to call again."""
        if self._dirty and self._flight is None:
            self._number += 1
            first = self.log.last + 1 if self._dirty_from is None else max(self._dirty_from, self.snapshot[0] + 1)
            cut = first if first <= self._issued else None
            entries = self.log.entries[first - self.log.base - 1 :]
            self.orders.append(
                Save(
                    self._number,
                    self.term,
                    self.vote,
                    entries,
                    cut,
                    self.snapshot if self._new_snapshot else None,
                    self.commit,
                )
            )  # type: ignore[arg-type]
            self._flight = Flight(self._number, self.log.last, self.term, self.vote)
            self._issued = self.log.last
            self._dirty, self._dirty_from, self._new_snapshot = False, None, False
        self.wake = self._beat_at if self.role == LEADER else self._deadline
        if self.role != LEADER or self.leaving:
            self.wake = min(self.wake, self._ask_at)

    # ---- messages

    def _message(self, type: str, to: str, /, **rest: Any) -> dict:
        return {"type": type, "from": self.me, "at": self.address, "to": to, "term": self.term, **rest}

    def _send(self, address: str, type: str, to: str, /, **rest: Any) -> None:
        self.orders.append(Send(address, self._message(type, to, **rest)))

    def _promise(self, address: str, type: str, to: str, /, **rest: Any) -> None:
        """Send once all that is changed by now is kept."""
        need = self._number + 1 if self._dirty else self._number
        if need <= self._done:
            self._send(address, type, to, **rest)
        else:
            self._held.append((need, address, self._message(type, to, **rest)))

    def _known(self) -> str | None:
        return self.leader or self._hint

    def _others(self) -> list[tuple[str, str]]:
        return [(id, address) for id, address in self.members.items() if id != self.me]

    # ---- the log

    def _advance(self, index: int) -> None:
        """Commit up to `index`, and give out what that commits."""
        while self.commit < index:
            self.commit = self.applied = self.commit + 1
            self.orders.append(Apply(self.log.at(self.commit)))
            if self.commit in self._tickets:
                self.orders.append(Answer(self._tickets.pop(self.commit), "committed", self.commit))

    def _write(self, entry: Entry) -> None:
        self.log.append(entry)
        self._dirty = True
        self._dirty_from = entry.index if self._dirty_from is None else min(self._dirty_from, entry.index)
        if entry.kind == "members":
            self.configs.append((entry.index, dict(entry.body["members"])))

    def _cut(self, index: int) -> None:
        self.log.cut(index)
        self.configs = [one for one in self.configs if one[0] < index]
        self._stored = min(self._stored, index - 1)
        if self._flight is not None:
            self._flight.last = min(self._flight.last, index - 1)
        self._dirty = True
        self._dirty_from = index if self._dirty_from is None else min(self._dirty_from, index)

    def _append(self, kind: str, body: dict) -> int:
        self._write(Entry(self.log.last + 1, self.term, kind, body))
        return self.log.last

    def _majority(self) -> float:
        return reached([self._seen if id == self.me else self._peers[id].answered for id in self.members])
