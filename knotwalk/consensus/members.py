"""Who is counted: majorities, and the one change of members that a leader may make next. Pure.

Source: Ongaro, "Consensus: Bridging Theory and Practice" (2014), chapter 4, one server at a time, with the correction
of 2015: a leader changes members only after an entry of its own term is committed.

A swap replaces an id by another at the same address in one entry, though it moves quorums by two places at once. It is
safe because the old id's disk is gone: it never votes or acks again, so every later quorum of the old members is made
of the others alone, and m of the n - 1 others always meet m - 1 of them, the least that a new quorum holds of them
(m + m - 1 > n - 1). Quorums formed while the old id lived are what `change` guards against: a majority of the old
members, without the old id, must have answered this leader at its term after the newcomer was first heard. Any leader
of a later term that the old id had helped to elect would have taken one of them to that later term.
"""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass
class Standing:
    """What a leader knows of another machine. Times are its own, in seconds; `answered` is the send time of the newest
    heartbeat answered, `since` when a newcomer was first heard."""

    id: str
    address: str
    match: int
    answered: float
    since: float
    leaving: bool = False


def quorum(count: int) -> int:
    """The least number of `count` voters that is a majority."""
    return count // 2 + 1


def reached(values: Iterable[float]) -> float:
    """The greatest value that a majority has reached; `values` holds one for each voter, at least one."""
    ranked = sorted(values, reverse=True)
    return ranked[quorum(len(ranked)) - 1]


def change(
    me: str,
    members: dict[str, str],
    voters: dict[str, Standing],
    learners: list[Standing],
    commit: int,
    now: float,
    fresh: float,
    forget: float,
    target: int,
    sure: float,
    kept: bool = True,
) -> dict[str, str] | None:
    """The members to have next, or None for no change.

    `voters` are the others than `me`; `kept` says whether the own disk holds all up to `commit`. While there are more
    than `target`, leaves a voter out that is leaving, or else unheard of for `forget` seconds (see `_can_spare`). Takes
    in a newcomer that has caught up to `commit` and has answered what was sent in the last `fresh` seconds.
    """
    if len(members) > max(1, target):
        holding = {one.id for one in voters.values() if one.match >= commit and one.answered >= now - sure}
        leaving = [one for one in voters.values() if one.leaving]
        lost = [one for one in voters.values() if max(one.answered, one.since) < now - forget]
        for one in leaving + lost:
            if _can_spare(len(members), kept + len(holding - {one.id})):
                return {id: address for id, address in members.items() if id != one.id}
    for one in learners:
        if one.id in members or one.leaving or one.match < commit or one.answered < now - fresh:
            continue
        old = [id for id, address in members.items() if address == one.address]
        if not old:
            return {**members, one.id: one.address}
        if old[0] == me or voters[old[0]].answered >= one.since:
            continue  # the old one lives: whatever claims its address is not its heir
        heard = 1 + sum(other.answered >= one.since for other in voters.values() if other.id != old[0])
        if heard >= quorum(len(members)):
            return {one.id if id == old[0] else id: address for id, address in members.items()}
    return None


def _can_spare(members: int, holding: int) -> bool:
    """Whether one of so many members may be left out, where `holding` of those that stay answer at this moment and have
    all that is committed on their disks.

    They must be a majority without it: the entry binds at once, and fewer could neither commit nor undo it. That the
    others, beyond this majority, answer too is not asked for: where two of six are lost for good, each would keep the
    other in, and no further loss could ever be borne.
    """
    return holding >= quorum(members - 1)
