"""The ledger of slices: who leases, owns and may still hold each, as the agreed log tells; the same on every core.

Deterministic: what an entry does depends on the ledger and the entry alone. A command that does not fit the state is
left out for the slices that it does not fit, never an error, so an entry may be proposed twice. Commands:

    {"do": "shard", "services": [name, ...]}                            slices exist from now on, leased by nobody
    {"do": "lease", "from": conductor, "to": conductor, "early": bool, "slices": {service: [[first, last], ...]}}
    {"do": "move", "by": conductor, "moves": [[service, first, last, fence seen, node], ...], "outbid": bool}
    {"do": "granted", "by": conductor, "fence": fence, "slices": {service: [[first, last], ...]}}

A fence is the index of its move's entry and a lift, which is nothing until a node is found to have seen a higher one.
That is so where a core was founded anew and its log began at 1 while nodes of the old one live on: they refuse its
grants, and nobody tells how high to go. So each time a fence of the last lift is refused the lift is doubled: some
seventeen refusals pass a hundred million entries.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from knotwalk.discovery.view_types import SLICE_COUNT

# The first lift, about as many entries as a quarter of an hour brings; and the last, well within what JSON carries
# exactly.
LIFT, LIFT_MOST = 1024, 2**52


@dataclass(slots=True)
class Slice:
    """One slice. Whoever may hold its keys is `owner` or in `before`; nobody else ever."""

    conductor: str = ""  # the core member that leases it
    since: int = 0  # the entry that leased it: another one is another lease, though the conductor be the same
    owner: str = ""  # a node's id, or "" before the first move
    fence: int = 0  # the entry of the last move, and the lift
    open: bool = False  # the owner has been granted the keys under this fence
    before: list[tuple[str, int]] = field(default_factory=list)  # (node, its fence): who may hold them besides
    early: bool = False  # leased while a conductor before may still act by an older log (`tenure`)


class Change(NamedTuple):
    """An owner line that an entry changed."""

    service: str
    slice: int
    owner: str
    open: bool


class Ledger:
    """The slices of all sharded services.

    `touched` names what the last entry changed in any way, leases included: (service, slice). `index` is the last entry
    taken; entries of other kinds are to be applied as well, so that it tells how far the log has been followed."""

    def __init__(self) -> None:
        self.index = 0
        self.lift, self.lifted = 0, 0  # and the first fence that has it
        self.slices: dict[str, list[Slice]] = {}
        self.touched: list[tuple[str, int]] = []

    def apply(self, index: int, command: dict) -> list[Change]:
        """Take the entry `index` of the log; the owner lines that it changed."""
        self.index, self.touched = index, []
        step = self._STEPS.get(_text(command.get("do")))
        return step(self, index, command) if step else []

    def _shard(self, _index: int, command: dict) -> list[Change]:
        for service in _items(command.get("services")):
            if isinstance(service, str) and service not in self.slices:
                self.slices[service] = [Slice() for _ in range(SLICE_COUNT)]
                self.touched += [(service, k) for k in range(SLICE_COUNT)]
        return []

    def _lease(self, index: int, command: dict) -> list[Change]:
        to, before = _text(command.get("to")), command.get("from")
        for service, k, x in self._named(command.get("slices")):
            # Only from whom the leader saw it with: an entry of the leader before may have leased it meanwhile.
            if x.conductor != to and before in (None, x.conductor):
                x.early = bool(command.get("early") and x.conductor)
                x.conductor, x.since = to, index
                self.touched.append((service, k))
        return []

    def _move(self, index: int, command: dict) -> list[Change]:
        by, changes = _text(command.get("by")), []
        lift = self.lift
        for move in _items(command.get("moves")):
            if not isinstance(move, (list, tuple)) or len(move) != 5 or not _text(move[4]):
                continue
            service, first, last, fence, target = move
            for service, k, x in self._named({service: [[first, last]]} if isinstance(service, str) else {}):
                if not by or x.conductor != by or x.fence != fence:
                    continue
                if command.get("outbid") and x.fence >= self.lifted and lift == self.lift:
                    self.lift = min(LIFT_MOST, max(LIFT, 2 * lift))
                    self.lifted = index + self.lift
                if x.owner:
                    x.before.append((x.owner, x.fence))
                # The owner is itself counted as a holder, so it is no foreign one; each other node counts once.
                x.before = [(id, f) for id, f in dict(x.before).items() if id != target]
                x.owner, x.fence, x.open = target, index + self.lift, False
                self.touched.append((service, k))
                changes.append(Change(service, k, target, False))
        return changes

    def _granted(self, _index: int, command: dict) -> list[Change]:
        by, fence, changes = _text(command.get("by")), command.get("fence"), []
        for service, k, x in self._named(command.get("slices")):
            if by and x.conductor == by and x.owner and x.fence == fence and not x.open:
                x.open, x.before = True, []
                self.touched.append((service, k))
                changes.append(Change(service, k, x.owner, True))
        return changes

    _STEPS: dict[str, Callable[[Ledger, int, dict], list[Change]]] = {
        "shard": _shard,
        "lease": _lease,
        "move": _move,
        "granted": _granted,
    }

    def _named(self, ranges: object) -> Iterator[tuple[str, int, Slice]]:
        """The slices that a command names, those that there are."""
        if not isinstance(ranges, dict):
            return
        for service, runs in ranges.items():
            line = self.slices.get(service)
            for run in _items(runs) if line else ():
                if isinstance(run, (list, tuple)) and len(run) == 2 and all(isinstance(k, int) for k in run):
                    for k in range(max(0, run[0]), min(SLICE_COUNT - 1, run[1]) + 1):
                        yield service, k, line[k]

    def to_dict(self) -> dict:
        """A snapshot for JSON; neighbours alike as one: [how many, conductor, since, owner, fence, open, before,
        early]."""
        services: dict[str, list[list]] = {}
        for service, line in self.slices.items():
            rows: list[list] = []
            for x in line:
                row = [x.conductor, x.since, x.owner, x.fence, int(x.open), [list(b) for b in x.before], int(x.early)]
                if rows and rows[-1][1:] == row:
                    rows[-1][0] += 1
                else:
                    rows.append([1, *row])
            services[service] = rows
        return {"index": self.index, "services": services} | ({"lift": [self.lift, self.lifted]} if self.lift else {})

    @classmethod
    def from_dict(cls, raw: dict) -> Ledger:
        """The ledger of a snapshot; all of it counts as touched. KeyError or ValueError if it is none."""
        ledger = cls()
        ledger.index = raw["index"]
        ledger.lift, ledger.lifted = raw.get("lift", (0, 0))
        for service, rows in raw["services"].items():
            line = ledger.slices[service] = []
            for count, conductor, since, owner, fence, opened, before, *early in rows:
                line += [
                    Slice(
                        conductor,
                        since,
                        owner,
                        fence,
                        bool(opened),
                        [(id, f) for id, f in before],
                        bool(early and early[0]),
                    )
                    for _ in range(count)
                ]
            if len(line) != SLICE_COUNT:
                raise ValueError(f"a snapshot has {len(line)} slices of {service}, and not {SLICE_COUNT}")
            ledger.touched += [(service, k) for k in range(SLICE_COUNT)]
        return ledger


def _items(value: Any) -> Iterable:
    return value if isinstance(value, (list, tuple)) else ()


def _text(value: Any) -> str:
    return value if isinstance(value, str) else ""


def ranges(slices: Iterable[int]) -> list[list[int]]:
    """Slices as runs of neighbours.

    >>> ranges([4, 1, 2, 3, 9])
    [[1, 4], [9, 9]]
    """
    runs: list[list[int]] = []
    for k in sorted(slices):
        if runs and runs[-1][1] == k - 1:
            runs[-1][1] = k
        else:
            runs.append([k, k])
    return runs
