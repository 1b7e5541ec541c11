"""The ledger of slices: which conductor leases, and which nodes own and may still hold each, by the agreed log.

Deterministic and equal on every core: the effect of an entry depends on the ledger and the entry alone. A command has
no effect on slices whose state it does not fit, and is never an error, so an entry may be proposed twice. Commands:

    {"do": "shard", "services": [name, ...]}                            slices exist from now on, leased by nobody
    {"do": "lease", "from": conductor, "to": conductor, "early": bool, "slices": {service: [[first, last], ...]}}
    {"do": "move", "by": conductor, "moves": [[service, first, last, fence seen, node], ...], "outbid": bool}
    {"do": "granted", "by": conductor, "fence": fence, "slices": {service: [[first, last], ...]}}

A fence is the index of its move's entry plus a lift, which is 0 until a node turns out to have seen a higher fence.
That happens when a core was set up anew and its log started at 1 while nodes of the former core still run: they refuse
its grants, and nothing says how high the fence must be. So each time a fence with the current lift is refused, the lift
is doubled: some seventeen refusals exceed a hundred million entries.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from knotwalk.discovery.view_types import SLICE_COUNT

# The first lift is about the number of entries in a quarter of an hour. The maximum is well within what JSON carries
# exactly.
MIN_FENCE_LIFT, MAX_FENCE_LIFT = 1024, 2**52


@dataclass(slots=True)
class Slice:
    """One slice. Only `owner` and the nodes in `previous_holders` may hold its keys."""

    conductor: str = ""  # the core member that leases it, or ""
    # index of the entry that leased it; another entry means another lease, even of the same conductor
    lease_index: int = 0
    owner: str = ""  # a node's id, or "" before the first move
    fence: int = 0  # index of the last move's entry, plus the lift
    open: bool = False  # the owner was granted the keys under this fence
    previous_holders: list[tuple[str, int]] = field(
        default_factory=list
    )  # (node, its fence): others that may hold them
    previous_may_act: bool = False  # leased while a former conductor may still act on an older log (`conductor_leases`)


class OwnerChange(NamedTuple):
    """A change of a slice's owner, or of whether it is open."""

    service: str
    slice: int
    owner: str
    open: bool


class Ledger:
    """The slices of all sharded services.

    `changed` lists the slices that the last entry changed in any way, leases included: (service, slice). `index` is the
    last entry applied; entries of other kinds must be applied as well, so that it shows how far the log has been
    followed.
    """

    def __init__(self) -> None:
        self.index = 0
        self.fence_lift, self.lifted_from = 0, 0  # and the first fence that includes it
        self.slices: dict[str, list[Slice]] = {}
        self.changed: list[tuple[str, int]] = []

    def apply(self, index: int, command: dict) -> list[OwnerChange]:
        """Apply the log entry at `index` and return the owner changes that it made."""
        self.index, self.changed = index, []
        handler = self._HANDLERS.get(_as_text(command.get("do")))
        return handler(self, index, command) if handler else []

    def _shard(self, _index: int, command: dict) -> list[OwnerChange]:
        for service in _as_sequence(command.get("services")):
            if isinstance(service, str) and service not in self.slices:
                self.slices[service] = [Slice() for _ in range(SLICE_COUNT)]
                self.changed += [(service, number) for number in range(SLICE_COUNT)]
        return []

    def _lease(self, index: int, command: dict) -> list[OwnerChange]:
        conductor, from_conductor = _as_text(command.get("to")), command.get("from")
        for service, number, row in self._select(command.get("slices")):
            # Only if its conductor is still the one that the leader saw: an entry of the former leader may have leased
            # it meanwhile.
            if row.conductor != conductor and from_conductor in (None, row.conductor):
                row.previous_may_act = bool(command.get("early") and row.conductor)
                row.conductor, row.lease_index = conductor, index
                self.changed.append((service, number))
        return []

    def _move(self, index: int, command: dict) -> list[OwnerChange]:
        by, changes = _as_text(command.get("by")), []
        old_lift = self.fence_lift
        for move in _as_sequence(command.get("moves")):
            if not isinstance(move, (list, tuple)) or len(move) != 5 or not _as_text(move[4]):
                continue
            service, first, last, fence, target = move
            for service, number, row in self._select({service: [[first, last]]} if isinstance(service, str) else {}):
                if not by or row.conductor != by or row.fence != fence:
                    continue
                if command.get("outbid") and row.fence >= self.lifted_from and old_lift == self.fence_lift:
                    self.fence_lift = min(MAX_FENCE_LIFT, max(MIN_FENCE_LIFT, 2 * old_lift))
                    self.lifted_from = index + self.fence_lift
                if row.owner:
                    row.previous_holders.append((row.owner, row.fence))
                # The owner counts as a holder anyway, so it is not listed among the previous ones; each other node is
                # listed once.
                row.previous_holders = [
                    (id, old_fence) for id, old_fence in dict(row.previous_holders).items() if id != target
                ]
                row.owner, row.fence, row.open = target, index + self.fence_lift, False
                self.changed.append((service, number))
                changes.append(OwnerChange(service, number, target, False))
        return changes

    def _granted(self, _index: int, command: dict) -> list[OwnerChange]:
        by, fence, changes = _as_text(command.get("by")), command.get("fence"), []
        for service, number, row in self._select(command.get("slices")):
            if by and row.conductor == by and row.owner and row.fence == fence and not row.open:
                row.open, row.previous_holders = True, []
                self.changed.append((service, number))
                changes.append(OwnerChange(service, number, row.owner, True))
        return changes

    _HANDLERS: dict[str, Callable[[Ledger, int, dict], list[OwnerChange]]] = {
        "shard": _shard,
        "lease": _lease,
        "move": _move,
        "granted": _granted,
    }

    def _select(self, runs_by_service: object) -> Iterator[tuple[str, int, Slice]]:
        """The existing slices that a command names."""
        if not isinstance(runs_by_service, dict):
            return
        for service, runs in runs_by_service.items():
            slices = self.slices.get(service)
            for run in _as_sequence(runs) if slices else ():
                if isinstance(run, (list, tuple)) and len(run) == 2 and all(isinstance(number, int) for number in run):
                    for number in range(max(0, run[0]), min(SLICE_COUNT - 1, run[1]) + 1):
                        yield service, number, slices[number]

    def to_dict(self) -> dict:
        """A snapshot for JSON. Adjacent equal slices share a row: [count, conductor, lease index, owner, fence, open,
        previous holders, early].
        """
        services: dict[str, list[list]] = {}
        for service, slices in self.slices.items():
            rows: list[list] = []
            for row in slices:
                encoded = [
                    row.conductor,
                    row.lease_index,
                    row.owner,
                    row.fence,
                    int(row.open),
                    [list(holder) for holder in row.previous_holders],
                    int(row.previous_may_act),
                ]
                if rows and rows[-1][1:] == encoded:
                    rows[-1][0] += 1
                else:
                    rows.append([1, *encoded])
            services[service] = rows
        return {"index": self.index, "services": services} | (
            {"lift": [self.fence_lift, self.lifted_from]} if self.fence_lift else {}
        )

    @classmethod
    def from_dict(cls, snapshot: dict) -> Ledger:
        """The ledger of a snapshot, in which everything counts as changed. KeyError or ValueError if the snapshot is
        invalid.
        """
        ledger = cls()
        ledger.index = snapshot["index"]
        ledger.fence_lift, ledger.lifted_from = snapshot.get("lift", (0, 0))
        for service, rows in snapshot["services"].items():
            slices = ledger.slices[service] = []
            for count, conductor, lease_index, owner, fence, is_open, previous_holders, *early in rows:
                slices += [
                    Slice(
                        conductor,
                        lease_index,
                        owner,
                        fence,
                        bool(is_open),
                        [(id, holder_fence) for id, holder_fence in previous_holders],
                        bool(early and early[0]),
                    )
                    for _ in range(count)
                ]
            if len(slices) != SLICE_COUNT:
                raise ValueError(f"snapshot has {len(slices)} slices of {service} instead of {SLICE_COUNT}")
            ledger.changed += [(service, number) for number in range(SLICE_COUNT)]
        return ledger


def _as_sequence(value: Any) -> Iterable:
    return value if isinstance(value, (list, tuple)) else ()


def _as_text(value: Any) -> str:
    return value if isinstance(value, str) else ""


def ranges(slices: Iterable[int]) -> list[list[int]]:
    """Slices as runs of adjacent numbers.

    >>> ranges([4, 1, 2, 3, 9])
    [[1, 4], [9, 9]]
    """
    runs: list[list[int]] = []
    for number in sorted(slices):
        if runs and runs[-1][1] == number - 1:
            runs[-1][1] = number
        else:
            runs.append([number, number])
    return runs
