"""What a machine of the consensus is given at its start, and what it orders its driver to do. Pure, no behaviour."""

from dataclasses import dataclass, field
from typing import Any

OUTSIDER, FOLLOWER, CANDIDATE, LEADER = "outsider", "follower", "candidate", "leader"


@dataclass(frozen=True)
class Pace:
    """Times in seconds, and the number of members wanted."""

    heartbeat: float = 0.12  # a hundred times the one way delay; a stall of 0.1 s costs at most one
    election_low: float = 0.45  # near four heartbeats: a stall and two losses depose nobody; a start waits so long
    election_high: float = 0.75  # with 0.6 to 1.0 s two followers replaced a dead leader in 0.73 s (median of 400)
    round_low: float = 0.1  # a round of votes that failed is tried again after this to round_high: far above
    round_high: float = 0.3  # a round trip with two writes to disk, and spread enough for three to miss another
    join: float = 0.3  # between requests of an outsider, or of one that leaves
    forget: float = 2.0  # unheard of for so long, a voter past the target is left out: with an election before it,
    #                      within the time after which a newcomer counts (sync_time, 4 s), while a stall never lasts so
    target: int = 3  # members wanted: 2 * f + 1
    tells_commits: bool = True  # at once; else with the next entries or heartbeat, where only the leader's state counts


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
