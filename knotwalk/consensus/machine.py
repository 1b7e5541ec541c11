"""One machine of the agreement: Raft with pre-vote, check-quorum, sticky leaders, ReadIndex and snapshots. Pure.

Source: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), and Ongaro's thesis for
pre-vote (9.6), handing over (3.10), reads (6.4) and writing to the leader's disk in parallel (10.2.1).

A driver calls the methods with the time of its steady clock, in seconds, then takes and clears `orders` and carries
them out in their order. It writes one Save at a time, in order, and tells `kept`; a Save refused is told by `failed`
and written again, unchanged, until it is kept. At start the application loads Saved.snapshot by itself; every entry
after it comes by Apply, all kinds, once a life: at once as far as the disk holds them as committed.

Two rules carry the safety. A vote, and a request for votes, waits in `_held` for its Save; an answer to entries says
how far they are kept (`match`) and received (`have`), and leaders count only `match`.
"""

import json
import random
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from knotwalk.consensus.members import Standing, change, quorum, reached

OUTSIDER, FOLLOWER, CANDIDATE, LEADER = "outsider", "follower", "candidate", "leader"
BATCH = 256 * 1024  # bytes of entries in one message: about 2 ms of a 1 Gbit/s line
PIPE = 16  # messages under way to one follower: what a round trip of 3 ms holds; more wait and batch up
TRAIL = 512  # entries kept in memory before a snapshot, so that who is just behind needs none
AGAIN = 1.0  # seconds before a snapshot is sent again: several MB at 100 Mbit/s
FROZEN = 0.3  # seconds without a call after which unread messages are given a chance before an election:
#                         twice a heartbeat, three times the stall of a batch scheduled process
ON_TIME = 0.02  # seconds past `wake` in which a call was not held up: a loop's timers come within some ms
BACK_OFF = 5  # doublings of a round of votes that fails: 3 to 10 s, for disks that take a second a write
SURE = 1.5  # heartbeats: the last one was answered, or the one before with the next still on its way
STAYS = 3  # requests to be removed: who answers for so long without one has come back
NEVER = float("-inf")


@dataclass(frozen=True)
class Pace:
    """Times in seconds, and the number of members wanted."""

    heartbeat: float = 0.12  # a hundred times the one way delay; a stall of 0.1 s costs at most one
    election_low: float = 0.45  # near four heartbeats: a stall and two losses depose nobody; a start waits so long
    election_high: float = 0.75  # with 0.6 to 1.0 s two followers replaced a dead leader in 0.73 s (median of 400)
    round_low: float = 0.1  # a round of votes that failed is tried again after this to round_high: far above
    round_high: float = 0.3  # a round trip with two writes to disk, and spread enough for three to miss another
    join: float = 0.3  # between requests of an outsider, or of one that leaves
    forget: float = 8.0  # unheard of for so long, a voter past the target is left out
    target: int = 3  # members wanted: 2 * f + 1


@dataclass(frozen=True)
class Entry:
    """One line of the log; `kind` is noop, command or members."""

    index: int
    term: int
    kind: str
    body: dict


@dataclass
class Saved:
    """What the store gives back at start. `members` are those as of the snapshot, id -> peer address "ip:port"."""

    me: str
    term: int = 0
    vote: str | None = None
    snapshot_index: int = 0
    snapshot_term: int = 0
    snapshot: dict | None = None
    members: dict[str, str] = field(default_factory=dict)
    entries: list[Entry] = field(default_factory=list)
    commit: int = 0  # known by the last Save as committed, and so for ever; 0 where a file does not tell


@dataclass(frozen=True)
class Save:
    """One transaction: drop entries from `cut_from` on, put `entries`; `snapshot` is (index, term, members, state) and
    drops the entries up to its index. The log then kept reaches `commit`, which is known as committed, or further."""

    number: int
    term: int
    vote: str | None
    entries: list[Entry]
    cut_from: int | None
    snapshot: tuple[int, int, dict[str, str], dict] | None
    commit: int = 0


@dataclass(frozen=True)
class Send:
    """A message to a peer address; it may be lost."""

    to_address: str
    message: dict


@dataclass(frozen=True)
class Apply:
    """A committed entry, in order, each once a life."""

    entry: Entry


@dataclass(frozen=True)
class Answer:
    """To who proposed or read: "committed" (value: index), "readable" (index), "not_leader" (value: the leader's
    address or None; nothing was done), "lost" (whether it will commit is unknown)."""

    ticket: Any
    outcome: str
    value: Any


@dataclass(frozen=True)
class Restore:
    """A snapshot came from the leader: the application loads it in place of its state, as of `index`."""

    state: dict
    index: int


@dataclass(frozen=True)
class Role:
    """The role, term or known leader changed."""

    role: str
    term: int
    leader_address: str | None


class Log:
    """The entries after `base`, in memory."""

    def __init__(self, base: int, base_term: int, entries: list[Entry]) -> None:
        self.base, self.base_term = base, base_term
        self.entries: list[Entry] = []
        self.sizes: list[int] = []
        for entry in entries:
            self.append(entry)

    @property
    def last(self) -> int:
        """The last index."""
        return self.base + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def at(self, index: int) -> Entry:
        """The entry at `index`, which is after base."""
        return self.entries[index - self.base - 1]

    def term_at(self, index: int) -> int | None:
        """The term of an entry; None where the log does not reach."""
        if index == self.base:
            return self.base_term
        return self.at(index).term if self.base < index <= self.last else None

    def append(self, entry: Entry) -> None:
        """Put an entry at the end; ValueError where it does not follow."""
        if entry.index != self.last + 1:
            raise ValueError(f"entry {entry.index} does not follow {self.last}")
        self.entries.append(entry)
        self.sizes.append(len(json.dumps(entry.body, separators=(",", ":"))) + 40)

    def cut(self, index: int) -> None:
        """Drop the entries from `index` on."""
        del self.entries[index - self.base - 1 :], self.sizes[index - self.base - 1 :]

    def behead(self, index: int) -> None:
        """Drop the entries up to `index`."""
        if index > self.base:
            term = self.term_at(index)
            assert term is not None
            del self.entries[: index - self.base], self.sizes[: index - self.base]
            self.base, self.base_term = index, term

    def batch(self, first: int, until: int) -> list[Entry]:
        """Entries from `first` to `until`, at least one, at most BATCH bytes."""
        size, start = 0, first - self.base - 1
        stop = start
        while stop < until - self.base and (stop == start or size + self.sizes[stop] <= BATCH):
            size += self.sizes[stop]
            stop += 1
        return self.entries[start:stop]


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
    snapshot_at: float = NEVER  # when a snapshot was sent; NEVER: none is under way
    snapshot_index: int = 0
    until: float = 0.0  # when a departing one is let go
    left_at: float = NEVER  # when it said last that it leaves


@dataclass
class Flight:
    """The Save being written."""

    number: int
    last: int
    term: int
    vote: str | None


class Machine:
    """One machine, of a process that began at `born` (`now` where that is not told). `orders` are the driver's to take;
    `contacts` are addresses that an outsider asks, and `address` its own, both the driver's to set."""

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

    # ---- what others read

    @property
    def members(self) -> dict[str, str]:
        """Members by the newest entry that names them, committed or not: id -> address."""
        return self.configs[-1][1]

    @property
    def leader(self) -> str | None:
        """The address of the leader of this term, where known."""
        return self.address if self.role == LEADER else self._leader

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

    # ---- what the driver calls

    def tick(self, now: float) -> None:
        """Do what is due; wanted at `wake`, harmless at any time."""
        self._expire(now)
        if self.role == LEADER:
            if now >= self._beat_at:
                self._beat(now)
            self._change_members(now)
            self._hand_over(now)
        elif now >= self._deadline and self._may_stand():
            self._stand(now)
        elif now >= self._deadline:
            self._deadline = now + self._timeout()
        if now >= self._ask_at:
            self._ask(now)
        self._close(now)

    def receive(self, now: float, message: dict) -> None:
        """Take a message in; those for another id, or of no known type, are dropped."""
        self._expire(now)
        handle = getattr(self, "_on_" + str(message.get("type")), None)
        silent = self.leaving and self.role == OUTSIDER
        if handle is not None and message.get("to") in (self.me, "") and message["from"] != self.me and not silent:
            handle(now, message)
        self._close(now)

    def propose(self, now: float, command: dict, ticket: Any) -> None:
        """Put a command into the log; answered committed, not_leader or lost."""
        self._expire(now)
        if self.role != LEADER or self._handing():
            self.orders.append(Answer(ticket, "not_leader", None if self.role == LEADER else self._known()))
        else:
            self._tickets[self._append("command", command)] = ticket
            self._spread(now)
        self._close(now)

    def read(self, now: float, ticket: Any) -> None:
        """Ask to read what is committed by now; answered readable, once applied and a majority has confirmed this
        leader by a heartbeat sent later, or not_leader."""
        self._expire(now)
        if self.role != LEADER:
            self.orders.append(Answer(ticket, "not_leader", self._known()))
        else:
            self._queue.append(ticket)
            self._serve_reads(now)
        self._close(now)

    def kept(self, now: float, number: int) -> None:
        """Every Save up to `number` is durable."""
        flight = self._flight
        if flight is None or number < flight.number:
            return
        self._expire(now)
        self._flight, self._done, self._sick = None, flight.number, False
        self._kept_term = flight.term
        rose = flight.last > self._stored
        self._stored = max(self._stored, flight.last)
        ready = [one for one in self._held if one[0] <= self._done]
        self._held = [one for one in self._held if one[0] > self._done]
        self.orders += [Send(address, message) for _, address, message in ready]
        if self.role == LEADER:
            self._count(now)
        elif self.role == CANDIDATE and not self._pre and self._kept_term == self.term:
            self._votes.add(self.me)
            self._tally(now)
        elif (rose or self._owed) and self._leader_id is not None:
            self._acknowledge()
        self._close(now)

    def failed(self, now: float) -> None:
        """The store refused a Save, or hangs: lead, vote and answer no more until something is kept."""
        self._expire(now)
        self._sick = self._dirty = True  # with nothing under way, a write is what will tell
        if self.role in (LEADER, CANDIDATE):
            self._become(now, FOLLOWER, self.term)
        self._close(now)

    def leave(self, now: float) -> None:
        """Hand leadership over, then ask to be removed; done when `role` is outsider, which it becomes only where there
        are more members than wanted. Any other stays a member, that may come back with its disk."""
        self._expire(now)
        self.leaving, self._ask_at = True, now
        if self.role == CANDIDATE:
            self._become(now, FOLLOWER, self.term)
        self._hand_over(now)
        self._ask(now)
        self._close(now)

    def compact(self, index: int, state: dict) -> None:
        """Take the application's `state` as of the applied `index` in place of the entries up to it. Older than the
        snapshot held: nothing. ValueError where `index` is not applied."""
        if index > self.applied:
            raise ValueError(f"{index} is not applied: {self.applied} is")
        if index <= self.snapshot[0]:
            return
        term = self.log.term_at(index)
        assert term is not None
        members = [one for at, one in self.configs if at <= index][-1]
        self.snapshot = (index, term, dict(members), state)
        self.configs = [(index, members)] + [one for one in self.configs if one[0] > index]
        self.log.behead(max(self.log.base, index - TRAIL))
        self._dirty = self._new_snapshot = True
        self._close(self._seen)

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
            self._lonely_since = now
        if role == CANDIDATE:
            self._votes = {self.me} if self._pre else set()
            wait = self.random.uniform(self.pace.round_low, self.pace.round_high)
            self._deadline = now + wait * (1 if self._pre else 2 ** min(self._rounds, BACK_OFF))
        elif was in (LEADER, CANDIDATE) and role != LEADER:
            self._deadline = now + self._timeout()
        if role == LEADER:
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

    # ---- talking

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

    # ---- elections

    def _may_stand(self) -> bool:
        return self.me in self.members and not self._sick and not self.leaving

    def _sticky(self, now: float) -> bool:
        return self.role == LEADER or now - self._sticky_from < self.pace.election_low

    def _current(self, message: dict) -> bool:
        """Whether the sender's log is at least as new as this one."""
        return (message["last_term"], message["last"]) >= (self.log.last_term, self.log.last)

    def _stand(self, now: float) -> None:
        """Ask whether votes would be given: changes nothing anywhere."""
        self._pre = True
        self._become(now, CANDIDATE, self.term)
        for id, address in self._others():
            self._send(address, "prevote", id, next=self.term + 1, last=self.log.last, last_term=self.log.last_term)
        self._tally(now)

    def _campaign(self, now: float, handed: bool) -> None:
        """Ask for votes, once the own vote is kept: a later life must not lead in this term again."""
        self._pre = False
        self._rounds += 1
        self._become(now, CANDIDATE, self.term + 1, vote=self.me)
        for id, address in self._others():
            self._promise(address, "vote", id, last=self.log.last, last_term=self.log.last_term, handed=handed)

    def _tally(self, now: float) -> None:
        if sum(id in self._votes for id in self.members) < quorum(len(self.members)):
            return
        if self._pre:
            self._campaign(now, False)
        else:
            self._become(now, LEADER, self.term)

    def _on_prevote(self, now: float, message: dict) -> None:
        if self.role == OUTSIDER or self._sick:
            return
        grant = not self._sticky(now) and message["next"] > self.term and self._current(message)
        self._send(message["at"], "prevoted", message["from"], granted=grant, next=message["next"], leader=self.leader)

    def _on_prevoted(self, now: float, message: dict) -> None:
        if message["term"] > self.term:
            if not message["granted"] and self.role != LEADER:
                self._become(now, FOLLOWER, message["term"])
        elif self.role == CANDIDATE and self._pre and message["next"] == self.term + 1 and now < self._deadline:
            if message["granted"]:
                self._votes.add(message["from"])
                self._tally(now)
            else:
                self._hint = message["leader"] or self._hint

    def _on_vote(self, now: float, message: dict) -> None:
        if self.role == OUTSIDER or self._sick or self._sticky(now) and not message["handed"]:
            return
        if message["term"] > self.term:
            self._become(now, FOLLOWER, message["term"])
        grant = (
            message["term"] == self.term
            and self.vote in (None, message["from"])
            and self.role in (FOLLOWER, CANDIDATE)
            and self._leader_id is None
            and self._current(message)
        )
        if grant and self.vote is None:
            self._become(now, FOLLOWER, self.term, vote=message["from"])
        if grant:
            self._deadline = now + self._timeout()
            self._promise(message["at"], "voted", message["from"], granted=True)
        else:
            self._send(message["at"], "voted", message["from"], granted=False)

    def _on_voted(self, now: float, message: dict) -> None:
        if message["term"] > self.term:
            self._become(now, FOLLOWER, message["term"])
        elif (
            message["term"] == self.term
            and message["granted"]
            and self.role == CANDIDATE
            and not self._pre
            and now < self._deadline
        ):
            self._votes.add(message["from"])
            self._tally(now)

    def _on_timeout_now(self, now: float, message: dict) -> None:
        if message["term"] == self.term and self.role == FOLLOWER and self._may_stand():
            self._campaign(now, True)

    # ---- following

    def _heed(self, now: float, message: dict) -> bool:
        """Whether a message comes from the leader of this term; notes that it was heard."""
        if message["term"] < self.term or self.role == LEADER and message["term"] == self.term:
            if message["term"] < self.term:
                self._send(message["at"], "appended", message["from"], ok=False, prev=-1)
            return False
        if message["term"] > self.term or self._leader_id != message["from"] or self.role == CANDIDATE:
            self._become(now, FOLLOWER, message["term"], message["from"], message["at"])
        self._heard = self._sticky_from = now
        self._rounds = 0
        self._deadline = now + self._timeout()
        if self._stamp is None or message["stamp"] > self._stamp:
            self._stamp = message["stamp"]
        self._round_seen = max(self._round_seen, message["round"])
        return True

    def _acknowledge(self) -> None:
        """Say how far the log is the leader's: received, and kept."""
        assert self._leader is not None and self._leader_id is not None
        self._owed = self._kept_term < self.term
        if not self._owed and not self._sick:
            self._send(
                self._leader,
                "appended",
                self._leader_id,
                ok=True,
                match=self._match(),
                have=self._agreed,
                stamp=self._stamp,
                round=self._round_seen,
            )

    def _match(self) -> int:
        return min(self._agreed, self._stored)

    def _on_append(self, now: float, message: dict) -> None:
        if not self._heed(now, message):
            return
        prev = message["prev"]
        if prev > self.commit and self.log.term_at(prev) != message["prev_term"]:
            if not self._sick:
                self._refuse(message)
            return
        self._take([Entry(*one) for one in message["entries"]])
        self._agreed = max(self._agreed, prev + len(message["entries"]))
        self._advance(min(message["commit"], self._agreed))
        self._rest(now)
        self._acknowledge()

    def _refuse(self, message: dict) -> None:
        prev = message["prev"]
        term = self.log.term_at(prev)
        first = min(prev, self.log.last + 1)
        if term is not None:
            while first - 1 > self.commit and self.log.term_at(first - 1) == term:
                first -= 1
        self._send(
            message["at"],
            "appended",
            message["from"],
            ok=False,
            prev=prev,
            conflict_term=term,
            conflict=first,
            stamp=message["stamp"],
            round=message["round"],
        )

    def _take(self, entries: list[Entry]) -> None:
        for entry in entries:
            if entry.index <= self.commit or self.log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= self.log.last:
                self._cut(entry.index)
            self._write(entry)

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

    def _rest(self, now: float) -> None:
        """Follower or outsider, as the newest members say."""
        if self.role in (FOLLOWER, OUTSIDER) and (self.role == FOLLOWER) != (self.me in self.members):
            self._become(now, FOLLOWER, self.term, self._leader_id, self._leader)
            self._ask_at = now

    def _on_snapshot(self, now: float, message: dict) -> None:
        if not self._heed(now, message):
            return
        index, term = message["index"], message["index_term"]
        if index > self.commit:
            members = dict(message["members"])
            if self.log.term_at(index) == term:
                self.log.behead(index)
                self.configs = [(index, members)] + [one for one in self.configs if one[0] > index]
            else:
                self._cut(self.log.base + 1)
                self.log = Log(index, term, [])
                self.configs = [(index, members)]
                self._dirty_from = index + 1
            self.snapshot = (index, term, members, message["state"])
            self._dirty = self._new_snapshot = True
            self.commit = self.applied = index
            self.orders.append(Restore(message["state"], index))
        self._agreed = max(self._agreed, self.commit)
        self._rest(now)
        self._acknowledge()

    def _advance(self, index: int) -> None:
        """Commit up to `index`, and give out what that commits."""
        while self.commit < index:
            self.commit = self.applied = self.commit + 1
            self.orders.append(Apply(self.log.at(self.commit)))
            if self.commit in self._tickets:
                self.orders.append(Answer(self._tickets.pop(self.commit), "committed", self.commit))

    # ---- leading

    def _append(self, kind: str, body: dict) -> int:
        self._write(Entry(self.log.last + 1, self.term, kind, body))
        return self.log.last

    def _majority(self) -> float:
        return reached([self._seen if id == self.me else self._peers[id].answered for id in self.members])

    def _sync_peers(self, now: float) -> None:
        """Peers as the members say; who was left out is told so, for a while."""
        for id, address in self._others():
            if id not in self._peers:
                self._peers[id] = Peer(id, address, 0, NEVER, now, next=self.log.last + 1)
            self._peers[id].kind = "voter"
        for peer in self._peers.values():
            if peer.kind == "voter" and peer.id not in self.members:
                peer.kind, peer.until = "departing", now + 2.0

    def _beat(self, now: float) -> None:
        """A heartbeat to all; what was not answered since the last is sent again."""
        self._beat_at = now + self.pace.heartbeat
        patience = 10 * self.pace.join
        for peer in list(self._peers.values()):
            silent = now - max(peer.answered, peer.since) > patience
            if peer.kind == "learner" and silent or peer.kind == "departing" and now > peer.until:
                del self._peers[peer.id]
                continue
            if peer.under_way and not peer.moved:
                peer.next, peer.probing = max(peer.have, peer.match) + 1, True
                peer.under_way.clear()
            peer.moved = False
            self._feed(now, peer, True)

    def _spread(self, now: float, force: bool = False) -> None:
        for peer in self._peers.values():
            self._feed(now, peer, force)
        self._count(now)

    def _feed(self, now: float, peer: Peer, force: bool = False) -> None:
        """Send a peer what it lacks, as far as the pipe holds; with `force` at least a heartbeat."""
        index, term, members, state = self.snapshot
        until = self.commit if peer.kind == "departing" else self.log.last
        if peer.next <= self.log.base:
            if now - peer.snapshot_at > AGAIN:
                peer.snapshot_at, peer.snapshot_index = now, index
                self._send(
                    peer.address,
                    "snapshot",
                    peer.id,
                    index=index,
                    index_term=term,
                    members=members,
                    state=state,
                    stamp=now,
                    round=self._round,
                )
            elif force:
                self._send(
                    peer.address,
                    "append",
                    peer.id,
                    prev=self.log.base,
                    prev_term=self.log.base_term,
                    entries=[],
                    commit=self.commit,
                    stamp=now,
                    round=self._round,
                )
            return
        while force or peer.next <= until and not (peer.probing and peer.under_way) and len(peer.under_way) < PIPE:
            full = len(peer.under_way) >= PIPE or peer.probing and peer.under_way
            entries = [] if full or peer.next > until else self.log.batch(peer.next, until)
            peer.probe = peer.next - 1
            self._send(
                peer.address,
                "append",
                peer.id,
                prev=peer.probe,
                prev_term=self.log.term_at(peer.probe),
                entries=[[one.index, one.term, one.kind, one.body] for one in entries],
                commit=self.commit,
                stamp=now,
                round=self._round,
            )
            if entries:
                peer.under_way.append(entries[-1].index)
                if not peer.probing:
                    peer.next = entries[-1].index + 1
            force = False

    def _on_appended(self, now: float, message: dict) -> None:
        if message["term"] > self.term:
            self._become(now, FOLLOWER, message["term"])
            return
        peer = self._peers.get(message["from"])
        if self.role != LEADER or message["term"] != self.term or peer is None or "stamp" not in message:
            return
        peer.answered = max(peer.answered, message["stamp"])
        peer.leaving &= peer.answered < peer.left_at + STAYS * self.pace.join  # else it is back
        peer.round = max(peer.round, message["round"])
        if message["ok"]:
            peer.moved = True
            peer.match = max(peer.match, message["match"])
            peer.have = max(message["have"], peer.match)
            while peer.under_way and peer.under_way[0] <= peer.have:
                peer.under_way.popleft()
            if peer.probing and peer.have >= peer.probe:
                peer.probing = False
                peer.next = peer.have + 1
                peer.under_way.clear()
            peer.next = max(peer.next, peer.match + 1)
            if peer.next > self.log.base:
                peer.snapshot_at = NEVER
            self._count(now)
        elif peer.next > self.log.base and message["prev"] == peer.probe and message["prev"] > peer.match:
            peer.next = max(peer.match + 1, min(self._meeting(message), message["prev"]))
            peer.have, peer.probing = peer.match, True
            peer.under_way.clear()
        self._feed(now, peer)
        self._serve_reads(now)
        self._change_members(now)
        self._hand_over(now)

    def _meeting(self, message: dict) -> int:
        """The entry to try next after a refusal: past the last of the conflicting term here, or before it there."""
        term, first = message["conflict_term"], message["conflict"]
        if term is not None:
            for index in range(min(message["prev"], self.log.last), max(self.log.base, first - 1), -1):
                if self.log.term_at(index) == term:
                    return index + 1
        return first

    def _count(self, now: float) -> None:
        """Commit what a majority has kept, if of this term: an older entry is committed by what follows it."""
        index = int(reached([self._stored if id == self.me else self._peers[id].match for id in self.members]))
        if index > self.commit and self.log.term_at(index) == self.term:
            self._advance(index)
            for peer in self._peers.values():
                self._feed(now, peer, True)
            self._serve_reads(now)

    def _serve_reads(self, now: float) -> None:
        """Answer the reads that are safe; begin one round of heartbeats for all that wait."""
        if self.role != LEADER:
            return
        while True:
            done = reached([self._round if id == self.me else self._peers[id].round for id in self.members])
            for ticket, index, number in self._reads:
                if number <= done and index <= self.applied:
                    self.orders.append(Answer(ticket, "readable", self.applied))
            self._reads = [one for one in self._reads if one[2] > done or one[1] > self.applied]
            if self._reads or not self._queue or self.commit < self._first:
                return
            self._round += 1
            self._reads = [(ticket, self.commit, self._round) for ticket in self._queue]
            self._queue = []
            for peer in self._peers.values():
                self._feed(now, peer, True)

    # ---- members

    def _change_members(self, now: float) -> None:
        if self.role != LEADER or self.commit < self._first or self.configs[-1][0] > self.commit or self._handing():
            return
        voters: dict[str, Standing] = {id: self._peers[id] for id, _ in self._others()}
        learners: list[Standing] = [one for one in self._peers.values() if one.kind == "learner"]
        members = change(
            self.me,
            self.members,
            voters,
            learners,
            self.commit,
            now,
            self.pace.election_low,
            self.pace.forget,
            self.pace.target,
            SURE * self.pace.heartbeat,
        )
        if members is not None:
            self._append("members", {"members": members})
            self._sync_peers(now)
            self._spread(now)

    def _on_join(self, now: float, message: dict) -> None:
        id, address = message["id"], message["address"]
        if self.role != LEADER:
            self._send(message["at"], "redirect", message["from"], leader=self._known())
            return
        peer = self._peers.get(id)
        if id in self.members or peer is not None and peer.kind == "learner":
            return
        for other in list(self._peers.values()):
            if other.kind == "learner" and other.address == address:
                del self._peers[other.id]  # wiped again before it was taken in
        self._peers[id] = Peer(id, address, 0, NEVER, now, kind="learner", next=self.log.last + 1)
        self._feed(now, self._peers[id], True)

    def _on_redirect(self, now: float, message: dict) -> None:
        leader = message["leader"]
        if leader is not None and leader != self._hint and self._leader is None:
            self._hint = leader
            if self.role == OUTSIDER:
                self._send(leader, "join", "", id=self.me, address=self.address)

    def _on_leaving(self, now: float, message: dict) -> None:
        if self.role == LEADER and message["from"] in self._peers and message["from"] in self.members:
            peer = self._peers[message["from"]]
            peer.leaving, peer.left_at = True, now
            self._change_members(now)
        elif self.role == LEADER and self.configs[-1][0] <= self.commit:
            self._send(message["at"], "gone", message["from"])

    def _on_gone(self, now: float, message: dict) -> None:
        if self.leaving and message["term"] >= self.term and self.role == FOLLOWER:
            self._become(now, OUTSIDER, message["term"], self._leader_id, self._leader)

    def _ask(self, now: float) -> None:
        """What an outsider, one cut off for long (it may have been left out), or one that leaves asks for."""
        self._ask_at = now + self.pace.join
        if self.leaving:
            if self.role == FOLLOWER and self._leader is not None and self._leader_id is not None:
                self._send(self._leader, "leaving", self._leader_id)
            return
        lonely = self._leader_id is None and now - self._lonely_since > 2 * self.pace.election_high
        if self.role == OUTSIDER or self.role != LEADER and lonely:
            asked = {*self.contacts, *self.members.values()} | ({self._hint} if self._hint else set())
            for address in sorted(asked - {self.address}):
                self._send(address, "join", "", id=self.me, address=self.address)
            self._hint = None

    def _handing(self) -> bool:
        return self.leaving and len(self.members) > 1

    def _hand_over(self, now: float) -> None:
        """Tell the best follower to stand at once, as soon as it has all."""
        if self.role != LEADER or not self._handing() or self.commit < self.log.last:
            return
        best = [
            one
            for one in self._peers.values()
            if one.kind == "voter"
            and not one.leaving
            and one.match == self.log.last
            and one.answered >= now - self.pace.election_low
        ]
        if best and now - self._handed_at > self.pace.heartbeat:
            target = max(best, key=lambda one: (one.id != self._handed, one.answered))
            self._handed, self._handed_at, self._void = target.id, now, True
            self._send(target.address, "timeout_now", target.id)
