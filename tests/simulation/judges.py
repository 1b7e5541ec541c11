"""Who looks on a walk: at what edges show, and at what core machines promise each other on the wire."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

from knotwalk.configuration.documents import to_document
from tests.simulation.loop import VirtualLoop
from tests.simulation.register import Register

# Seconds that a fresh core's answer may be behind what was acknowledged: a core holds itself fresh for
# MAX_LEADER_SILENCE_S from when it asked, and the leader that answered it was proven PROOF before; clocks drift, and
# the answer itself takes its way.
BEHIND = 1.2 + 0.35 + 0.1


@dataclass
class Judge:
    """What was found broken, first of all first."""

    broken: list[str] = field(default_factory=list)

    def says(self, why: str) -> None:
        self.broken.append(why)


def mark_of(shown: dict | None) -> str:
    """The mark of a configuration as it is shown: the host of its one route."""
    for item in (shown or {}).get("objects", ()):
        if item["object_kind"] == "routes" and item["metadata"]["name"] == "r":
            return item["specification"]["hostname"]
    return ""


class Edges:
    """What edges show: never back, never what was not taken, never far behind where a fresh core told it."""

    def __init__(self, judge: Judge, loop: VirtualLoop, register: Register):
        self.judge, self.loop, self.register = judge, loop, register
        self.shown: dict[str, int] = {}
        self.fresh: set[str] = set()  # lives of cores that have called themselves fresh

    def news(self, edge: str, view: Any) -> None:
        """An edge has taken news."""
        if view.configuration is None:
            return
        version, now = view.configuration.version, self.loop.now
        if version < self.shown.get(edge, 0):
            self.judge.says(f"{now:.3f} {edge} goes back from r{self.shown[edge]} to r{version}")
        self.shown[edge] = version
        self.register.seen.setdefault((version, mark_of(to_document(view.configuration))), now)

    def answered(self, edge: str, core: str, begun: float, told: dict, view: Any) -> None:
        """A core answered an edge's call, and the edge has taken what it told."""
        if not told["fresh"]:
            if "provisional" in told and core in self.fresh:
                self.judge.says(f"{self.loop.now:.3f} {core} was fresh, and gives {edge} a provisional view")
            return
        self.fresh.add(core)
        known = self.register.known(begun - BEHIND)
        has = view.configuration.version if view.configuration else 0
        if has < known:
            self.judge.says(f"{self.loop.now:.3f} {core} calls itself fresh; {edge} has r{has}, r{known} was told")


@dataclass
class Letters:
    """What core machines promise each other: one leader a term, one content an entry, none committed taken back."""

    judge: Judge
    loop: VirtualLoop
    leaders: dict[int, str] = field(default_factory=dict)
    votes: dict[tuple[str, int], str] = field(default_factory=dict)
    entries: dict[tuple[int, int], str] = field(default_factory=dict)
    logs: dict[int, dict[int, int]] = field(default_factory=dict)  # by term of a leader: its entries' terms
    told: dict[int, int] = field(default_factory=dict)  # by term of a leader: how far it told of commits
    changes: dict[int, tuple[int, dict[str, str]]] = field(default_factory=dict)  # of members: index -> term, members
    committed: dict[int, int] = field(default_factory=dict)  # index -> term of the entry

    def heard(self, sender: str, to: str, path: str, body: bytes) -> None:
        """A message is on its way."""
        if not path.endswith("/consensus"):
            return
        for message in json.loads(body):
            if message["type"] == "append":
                self._append(message)
            elif message["type"] == "voted" and message["granted"]:
                self._votes(message, message["to"])
            elif message["type"] == "vote":
                self._votes(message, message["from"])  # who asks for votes has given itself its own

    def _votes(self, message: dict, whom: str) -> None:
        """A vote is given, on the wire."""
        key = message["from"], message["term"]
        if self.votes.setdefault(key, whom) != whom:
            self.judge.says(f"{self.loop.now:.3f} {key[0]} votes twice in term {key[1]}")

    def _append(self, message: dict) -> None:
        term, leader = message["term"], message["from"]
        if self.leaders.setdefault(term, leader) != leader:
            self.judge.says(f"{self.loop.now:.3f} {leader} and {self.leaders[term]} both lead term {term}")
        log, told = self.logs.setdefault(term, {}), self.told.get(term, 0)
        for index, of, kind, entry in message["entries"]:
            text = json.dumps([kind, entry], sort_keys=True)
            if self.entries.setdefault((index, of), text) != text:
                self.judge.says(f"{self.loop.now:.3f} entry {index} of term {of} has two contents")
            log[index] = of
            if kind == "members":
                self._members(message, index, of, entry["members"])
            if index <= told:
                self._commits(leader, index, of)
        for index in range(told + 1, message["commit"] + 1):
            if index in log:
                self._commits(leader, index, log[index])
        self.told[term] = max(told, message["commit"])

    def _members(self, message: dict, index: int, of: int, members: dict[str, str]) -> None:
        """A change of members is sent: a leader's own, only once the one before and one of its term are committed."""
        self.changes[index] = (of, members)
        if of != message["term"]:
            return
        log, commit = self.logs[of], message["commit"]
        if any(
            before < index and before > commit and log.get(before) == self.changes[before][0] for before in self.changes
        ):
            self.judge.says(
                f"{self.loop.now:.3f} {message['from']} changes members before the change before is committed"
            )
        if min(at for at, term in log.items() if term == of) > commit:
            self.judge.says(f"{self.loop.now:.3f} {message['from']} changes members before it has committed anything")

    def is_member(self, id: str) -> bool:
        """Whether an id is among the members by the newest change that was told to be committed.

        A change of an earlier term is committed by what follows it; the leader that tells so need not send it again.
        """
        newest = max(self.committed, default=0)
        found = [
            members
            for index, (of, members) in sorted(self.changes.items())
            if index <= newest and self.committed.get(index, of) == of
        ]
        return id in found[-1] if found else id.endswith("#founder")

    def _commits(self, leader: str, index: int, of: int) -> None:
        """A leader tells that an entry is committed."""
        before = self.committed.setdefault(index, of)
        if before != of:
            self.judge.says(
                f"{self.loop.now:.3f} entry {index} of term {before} was committed; {leader} tells of term {of}"
            )
