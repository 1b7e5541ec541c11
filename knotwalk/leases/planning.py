"""Batches of requests of slices: adjacent ones share a release, a grant, or a line of a log entry.

Nothing here decides whether a slice requests something; the functions record in holders and leases what they planned.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from knotwalk.discovery.view_types import SLICE_WIDTH
from knotwalk.leases.actions import Propose
from knotwalk.leases.ledger import ranges
from knotwalk.leases.slice_lease import OPENING_DELAY_S, REPROPOSE_INTERVAL_S, SliceLease, State

SliceLeases = Mapping[tuple[str, int], SliceLease]


@dataclass(frozen=True)
class Run:
    """Adjacent slices of one service, in order, that one call to `node` covers."""

    node: str
    slices: list[SliceLease]
    handover: str | None = None

    @property
    def first_key(self) -> int:
        """The first key of the first slice."""
        return self.slices[0].slice * SLICE_WIDTH

    @property
    def last_key(self) -> int:
        """The last key of the last slice."""
        return (self.slices[-1].slice + 1) * SLICE_WIDTH - 1

    @property
    def numbers(self) -> tuple[int, ...]:
        """The slices' numbers."""
        return tuple(slice_lease.slice for slice_lease in self.slices)


def plan_releases(requests: list[tuple[SliceLease, str]]) -> list[Run]:
    """Releases, with adjacent slices of the same holder, new owner and fence as one."""
    runs: list[Run] = []
    for slice_lease, id in sorted(requests, key=lambda request: (request[1], request[0].service, request[0].slice)):
        slice_lease.holders[id].is_releasing = True
        last = runs[-1].slices[-1] if runs and runs[-1].node == id else None
        if (
            last
            and _neighbours(last, slice_lease)
            and last.owner == slice_lease.owner
            and last.fence == slice_lease.fence
        ):
            runs[-1].slices.append(slice_lease)
        else:
            runs.append(Run(id, [slice_lease]))
    return runs


def _neighbours(slice_lease: SliceLease, neighbour: SliceLease) -> bool:
    return slice_lease.service == neighbour.service and slice_lease.slice + 1 == neighbour.slice


def plan_grants(now: float, due_leases: list[SliceLease], slice_leases: SliceLeases) -> list[Run]:
    """Grants and renewals, with adjacent slices as one; slices that are not due yet are renewed with an adjacent one
    that is.
    """
    runs: list[Run] = []
    done: set[tuple[str, int]] = set()
    for slice_lease in due_leases:
        if slice_lease.key in done:
            continue
        run = [slice_lease, *_joining(now, slice_lease, slice_leases, -1), *_joining(now, slice_lease, slice_leases, 1)]
        run.sort(key=lambda member: member.slice)
        done.update(member.key for member in run)
        for member in run:
            member.holders[member.owner].grants_in_flight += 1
        runs.append(Run(slice_lease.owner, run, slice_lease.handover if slice_lease.state is State.GRANTING else None))
    return runs


def _joining(now: float, slice_lease: SliceLease, slice_leases: SliceLeases, step: int) -> Iterator[SliceLease]:
    """Slices next to `slice_lease` on one side, as far as the same call may cover them."""
    number = slice_lease.slice + step
    while (neighbour := slice_leases.get((slice_lease.service, number))) is not None and neighbour.can_join(
        now, slice_lease
    ):
        yield neighbour
        number += step


def plan_openings(
    now: float, me: str, due_leases: list[SliceLease], slice_leases: Iterable[SliceLease]
) -> list[Propose]:
    """Propose to open slices whose owners have accepted the keys: one entry per fence."""
    by_fence: dict[int, list[SliceLease]] = {
        slice_lease.fence: [] for slice_lease in due_leases if slice_lease.state is State.GRANTED
    }
    waiting: set[int] = set()  # fences for which more answers may come at any moment
    for slice_lease in slice_leases if by_fence else ():
        if slice_lease.fence in by_fence:
            if slice_lease.state is State.GRANTED and now >= slice_lease.proposed_at + REPROPOSE_INTERVAL_S:
                by_fence[slice_lease.fence].append(slice_lease)
            elif slice_lease.state is State.GRANTING:
                waiting.add(slice_lease.fence)
    planned: list[Propose] = []
    for fence, accepted in by_fence.items():
        if fence in waiting and now < min(slice_lease.granted_at for slice_lease in accepted) + OPENING_DELAY_S:
            continue
        planned.append(_opening(now, me, fence, accepted))
    return planned


def _opening(now: float, me: str, fence: int, accepted: list[SliceLease]) -> Propose:
    slices: dict[str, list[int]] = {}
    for slice_lease in accepted:
        slice_lease.proposed_at = now
        slices.setdefault(slice_lease.service, []).append(slice_lease.slice)
    runs = {service: ranges(numbers) for service, numbers in slices.items()}
    return Propose({"do": "granted", "by": me, "fence": fence, "slices": runs})


def plan_outbids(now: float, me: str, due_leases: list[SliceLease]) -> list[Propose]:
    """Propose new fences where a node has seen a higher one: one entry for all, with adjacent slices in one line."""
    moves: list[list] = []
    for slice_lease in due_leases:
        if slice_lease.state is not State.OUTBID:
            continue
        slice_lease.proposed_at = now
        follows = bool(moves) and moves[-1][0] == slice_lease.service and moves[-1][2] == slice_lease.slice - 1
        if follows and moves[-1][3:] == [slice_lease.fence, slice_lease.owner]:
            moves[-1][2] = slice_lease.slice
        else:
            moves.append(
                [slice_lease.service, slice_lease.slice, slice_lease.slice, slice_lease.fence, slice_lease.owner]
            )
    return [Propose({"do": "move", "by": me, "moves": moves, "outbid": True})] if moves else []
