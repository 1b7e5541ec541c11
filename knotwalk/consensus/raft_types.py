"""What a Raft state machine is started with, and the actions that it returns to its driver. Pure, no behaviour."""

from dataclasses import dataclass, field
from typing import Any

OUTSIDER, FOLLOWER, CANDIDATE, LEADER = "outsider", "follower", "candidate", "leader"


@dataclass(frozen=True)
class RaftSettings:
    """Times in seconds, and the target number of members."""

    # A hundred times the one-way delay; a stall of 0.1 s costs at most one heartbeat.
    heartbeat_interval: float = 0.12
    # Nearly four heartbeats: a stall and two lost messages depose nobody. A machine that starts waits this long too.
    election_timeout_min: float = 0.45
    # With 0.6 to 1.0 s, two followers replaced a dead leader in 0.73 s (median of 400).
    election_timeout_max: float = 0.75
    # A failed election is tried again after a time between these two: far above a round trip with two writes to disk,
    # and spread enough that three candidates miss each other.
    vote_retry_min: float = 0.1
    vote_retry_max: float = 0.3
    join_interval: float = 0.3  # between the requests of an outsider, or of a leaving member
    # Above the target number, a voter not heard for this long is removed. Together with an election before it, this
    # stays below the time after which a newcomer is counted on (sync_time, 4 s), and no stall lasts this long.
    removal_timeout: float = 2.0
    target_members: int = 3  # 2 * f + 1
    # False: with the next entries or heartbeat, for groups where only the leader's state is read.
    sends_commits_at_once: bool = True


@dataclass(frozen=True)
class Entry:
    """One log entry; `kind` is noop, command or members."""

    index: int
    term: int
    kind: str
    body: dict


@dataclass
class StoredState:
    """What the store returns at start. `members` are those as of the snapshot: id -> peer address "ip:port"."""

    me: str
    term: int = 0
    vote: str | None = None
    snapshot_index: int = 0
    snapshot_term: int = 0
    snapshot: dict | None = None
    members: dict[str, str] = field(default_factory=dict)
    entries: list[Entry] = field(default_factory=list)
    # Known as committed at the last Save, and thus permanently; 0 if the file does not record it.
    commit: int = 0


@dataclass(frozen=True)
class Save:
    """One transaction: remove the entries from `cut_from` on, add `entries`. A `snapshot` is (index, term, members,
    state) and removes the entries up to its index. The resulting log reaches at least `commit`, which is known as
    committed.
    """

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
    """A committed entry; in order, each once per incarnation."""

    entry: Entry


@dataclass(frozen=True)
class Answer:
    """Answers a proposal or a read: "committed" (value: index), "readable" (index), "not_leader" (value: the leader's
    address or None; nothing was done) or "lost" (it is unknown whether the command will commit).
    """

    ticket: Any
    outcome: str
    value: Any


@dataclass(frozen=True)
class Restore:
    """A snapshot arrived from the leader: the application replaces its state by it, as of `index`."""

    state: dict
    index: int


@dataclass(frozen=True)
class RoleChange:
    """The role, the term or the known leader changed."""

    role: str
    term: int
    leader_address: str | None
