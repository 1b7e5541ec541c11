"""Batches of what slices want: neighbours share a release, a grant or a line of an entry for the log.

Nothing here decides whether a slice wants something; the functions mark in holders and tenures what they planned.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from knotwalk.discovery.view_types import SLICE_WIDTH
from knotwalk.leases.ledger import ranges
from knotwalk.leases.orders import Propose
from knotwalk.leases.slice_tenure import GATHER, PROPOSE_AGAIN, SliceTenure, State

Tenures = Mapping[tuple[str, int], SliceTenure]


@dataclass(frozen=True)
class Run:
    """Neighbouring slices of one service that one call to `node` is about, in order."""

    node: str
    slices: list[SliceTenure]
    handover: str | None = None

    @property
    def first_key(self) -> int:
        """The first slice's first key."""
        return self.slices[0].slice * SLICE_WIDTH

    @property
    def last_key(self) -> int:
        """The last slice's last key."""
        return (self.slices[-1].slice + 1) * SLICE_WIDTH - 1

    @property
    def numbers(self) -> tuple[int, ...]:
        """The slices' numbers."""
        return tuple(x.slice for x in self.slices)


def plan_releases(wanted: list[tuple[SliceTenure, str]]) -> list[Run]:
    """Releases of neighbours as one, where old holder, new owner and fence are the same."""
    runs: list[Run] = []
    for x, id in sorted(wanted, key=lambda w: (w[1], w[0].service, w[0].slice)):
        x.holders[id].releasing = True
        last = runs[-1].slices[-1] if runs and runs[-1].node == id else None
        if last and _neighbours(last, x) and last.owner == x.owner and last.fence == x.fence:
            runs[-1].slices.append(x)
        else:
            runs.append(Run(id, [x]))
    return runs


def _neighbours(x: SliceTenure, y: SliceTenure) -> bool:
    return x.service == y.service and x.slice + 1 == y.slice


def plan_grants(now: float, wanted: list[SliceTenure], tenures: Tenures) -> list[Run]:
    """Grants and renewals of neighbours as one; those not due yet are renewed with a neighbour that is."""
    runs: list[Run] = []
    done: set[tuple[str, int]] = set()
    for x in wanted:
        if x.key in done:
            continue
        run = [x, *_joining(now, x, tenures, -1), *_joining(now, x, tenures, 1)]
        run.sort(key=lambda y: y.slice)
        done.update(y.key for y in run)
        for y in run:
            y.holders[y.owner].flying += 1
        runs.append(Run(x.owner, run, x.handover if x.state is State.GRANTING else None))
    return runs


def _joining(now: float, x: SliceTenure, tenures: Tenures, step: int) -> Iterator[SliceTenure]:
    """Slices next to `x` on one side, as far as one call may be about them too."""
    k = x.slice + step
    while (y := tenures.get((x.service, k))) is not None and y.joins(now, x):
        yield y
        k += step


def plan_openings(now: float, me: str, wanted: list[SliceTenure], tenures: Iterable[SliceTenure]) -> list[Propose]:
    """Propose that lines be opened whose owners have taken the keys: one entry a fence."""
    by_fence: dict[int, list[SliceTenure]] = {x.fence: [] for x in wanted if x.state is State.GRANTED}
    waiting: set[int] = set()  # fences of which more answers may come any moment
    for x in tenures if by_fence else ():
        if x.fence in by_fence:
            if x.state is State.GRANTED and now >= x.told + PROPOSE_AGAIN:
                by_fence[x.fence].append(x)
            elif x.state is State.GRANTING:
                waiting.add(x.fence)
    planned: list[Propose] = []
    for fence, found in by_fence.items():
        if fence in waiting and now < min(x.granted_at for x in found) + GATHER:
            continue
        planned.append(_opening(now, me, fence, found))
    return planned


def _opening(now: float, me: str, fence: int, found: list[SliceTenure]) -> Propose:
    slices: dict[str, list[int]] = {}
    for x in found:
        x.told = now
        slices.setdefault(x.service, []).append(x.slice)
    lines = {service: ranges(numbers) for service, numbers in slices.items()}
    return Propose({"do": "granted", "by": me, "fence": fence, "slices": lines})


def plan_outbids(now: float, me: str, wanted: list[SliceTenure]) -> list[Propose]:
    """Propose new fences where a node has seen a higher one: one entry for all, neighbours as one line."""
    moves: list[list] = []
    for x in wanted:
        if x.state is not State.OUTBID:
            continue
        x.told = now
        follows = bool(moves) and moves[-1][0] == x.service and moves[-1][2] == x.slice - 1
        if follows and moves[-1][3:] == [x.fence, x.owner]:
            moves[-1][2] = x.slice
        else:
            moves.append([x.service, x.slice, x.slice, x.fence, x.owner])
    return [Propose({"do": "move", "by": me, "moves": moves, "outbid": True})] if moves else []
