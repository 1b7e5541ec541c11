"""Judges that check a walk's invariants: on what edges show, and on the consensus messages between core machines."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

from knotwalk.configuration.documents import to_document
from tests.simulation.loop import Process, VirtualLoop
from tests.simulation.register import Register

# Seconds by which a fresh core's answer may be behind what was acknowledged: a core counts as fresh for
# MAX_LEADER_SILENCE_S from when it asked the leader (1.2), and the leader that answered had proven its leadership up to
# 0.35 before. The rest (0.1) is for clock drift and the transit of the answer.
MAX_STALENESS_S = 1.2 + 0.35 + 0.1


@dataclass
class Judge:
    """Collects the violations of a walk, in the order in which they were found."""

    violations: list[str] = field(default_factory=list)

    def report(self, reason: str) -> None:
        self.violations.append(reason)


def mark_of(document: dict | None) -> str:
    """The mark of a configuration document: the host of its only route."""
    for item in (document or {}).get("objects", ()):
        if item["object_kind"] == "routes" and item["metadata"]["name"] == "r":
            return item["specification"]["hostname"]
    return ""


class EdgeJudge:
    """Checks that edges never go back to an older version and never lag too far behind a fresh core.

    Versions that they show are recorded, so that the register can check that each was committed.
    """

    def __init__(self, judge: Judge, loop: VirtualLoop, register: Register):
        self.judge, self.loop, self.register = judge, loop, register
        self.shown_versions: dict[str, int] = {}
        self.fresh_cores: set[str] = set()  # incarnations of cores that have reported themselves fresh

    def on_update(self, edge: str, view: Any) -> None:
        """Handle that an edge's cluster view has changed."""
        if view.configuration is None:
            return
        version, now = view.configuration.version, self.loop.now
        if version < self.shown_versions.get(edge, 0):
            self.judge.report(f"{now:.3f} {edge} goes back from r{self.shown_versions[edge]} to r{version}")
        self.shown_versions[edge] = version
        self.register.observed.setdefault((version, mark_of(to_document(view.configuration))), now)

    def on_answer(self, edge: str, core: str, started_at: float, answer: dict, view: Any) -> None:
        """Handle that a core has answered an edge's call and that the edge has applied the answer."""
        if not answer["fresh"]:
            if "provisional" in answer and core in self.fresh_cores:
                self.judge.report(f"{self.loop.now:.3f} {core} was fresh, and gives {edge} a provisional view")
            return
        self.fresh_cores.add(core)
        expected = self.register.newest_acknowledged(started_at - MAX_STALENESS_S)
        shown = view.configuration.version if view.configuration else 0
        if shown < expected:
            self.judge.report(
                f"{self.loop.now:.3f} {core} reports itself fresh; {edge} has r{shown}, r{expected} was acknowledged"
            )


@dataclass
class ConsensusJudge:
    """Checks the consensus messages on the wire.

    A term has one leader, a member votes once a term, an entry has one content, and no committed entry is replaced.
    """

    judge: Judge
    loop: VirtualLoop
    leaders: dict[int, str] = field(default_factory=dict)  # by term
    votes: dict[tuple[str, int], str] = field(default_factory=dict)  # by voter and term
    entries: dict[tuple[int, int], str] = field(default_factory=dict)  # content by index and term
    logs: dict[int, dict[int, int]] = field(default_factory=dict)  # by term of a leader: its entries' terms by index
    commits: dict[int, int] = field(default_factory=dict)  # by term of a leader: the highest commit index it sent
    membership_changes: dict[int, tuple[int, dict[str, str]]] = field(default_factory=dict)  # index -> term, members
    committed: dict[int, int] = field(default_factory=dict)  # index -> term of the entry
    # Members whose disk was replaced by an empty one -> the processes that ran until then, whose messages may be late.
    wiped: dict[str, set[Process]] = field(default_factory=dict)

    def on_message(self, sender: Process, to: str, path: str, body: bytes) -> None:
        """Check the messages of a call that is sent."""
        if not path.endswith("/consensus"):
            return
        for message in json.loads(body):
            self._check_disk(sender, message)
            if message["type"] == "append":
                self._check_append(message)
            elif message["type"] == "voted" and message["granted"]:
                self._check_vote(message, message["to"])
            elif message["type"] == "vote":
                self._check_vote(message, message["from"])  # a candidate has voted for itself

    def _check_disk(self, sender: Process, message: dict) -> None:
        """Check that nobody speaks for a member whose disk is gone: it may have promised what only that disk held."""
        if sender not in self.wiped.get(message["from"], {sender}):
            self.judge.report(f"{self.loop.now:.3f} {message['from']} says {message['type']} after its disk was lost")

    def _check_vote(self, message: dict, candidate: str) -> None:
        key = message["from"], message["term"]
        if self.votes.setdefault(key, candidate) != candidate:
            self.judge.report(f"{self.loop.now:.3f} {key[0]} votes twice in term {key[1]}")

    def _check_append(self, message: dict) -> None:
        term, leader = message["term"], message["from"]
        if self.leaders.setdefault(term, leader) != leader:
            self.judge.report(f"{self.loop.now:.3f} {leader} and {self.leaders[term]} both lead term {term}")
        log, commit = self.logs.setdefault(term, {}), self.commits.get(term, 0)
        for index, entry_term, kind, entry in message["entries"]:
            content = json.dumps([kind, entry], sort_keys=True)
            if self.entries.setdefault((index, entry_term), content) != content:
                self.judge.report(f"{self.loop.now:.3f} entry {index} of term {entry_term} has two contents")
            log[index] = entry_term
            if kind == "members":
                self._check_membership_change(message, index, entry_term, entry["members"])
            if index <= commit:
                self._check_commit(leader, index, entry_term)
        for index in range(commit + 1, message["commit"] + 1):
            if index in log:
                self._check_commit(leader, index, log[index])
        self.commits[term] = max(commit, message["commit"])

    def _check_membership_change(self, message: dict, index: int, entry_term: int, members: dict[str, str]) -> None:
        """Check a leader's own membership change: the previous one and an entry of its term must be committed."""
        self.membership_changes[index] = (entry_term, members)
        if entry_term != message["term"]:
            return
        log, commit = self.logs[entry_term], message["commit"]
        if any(
            previous < index and previous > commit and log.get(previous) == self.membership_changes[previous][0]
            for previous in self.membership_changes
        ):
            self.judge.report(
                f"{self.loop.now:.3f} {message['from']} changes members before the change before is committed"
            )
        if min(position for position, term in log.items() if term == entry_term) > commit:
            self.judge.report(f"{self.loop.now:.3f} {message['from']} changes members before it has committed anything")

    def is_member(self, id: str) -> bool:
        """Whether an id is a member by the newest committed membership change.

        A change of an earlier term is committed by a later entry; the leader that commits it need not send it again.
        """
        newest = max(self.committed, default=0)
        committed_changes = [
            members
            for index, (entry_term, members) in sorted(self.membership_changes.items())
            if index <= newest and self.committed.get(index, entry_term) == entry_term
        ]
        return id in committed_changes[-1] if committed_changes else id.endswith("#founder")

    def _check_commit(self, leader: str, index: int, entry_term: int) -> None:
        """Check that the entry that a leader reports as committed is the one that was committed before."""
        committed_term = self.committed.setdefault(index, entry_term)
        if committed_term != entry_term:
            self.judge.report(
                f"{self.loop.now:.3f} entry {index} of term {committed_term} was committed; "
                f"{leader} commits one of term {entry_term}"
            )
