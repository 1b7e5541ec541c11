"""Majorities, and the single membership change that a leader may make next. Pure.

Source: Ongaro, "Consensus: Bridging Theory and Practice" (2014), chapter 4, one server at a time, with the correction
of 2015: a leader changes members only after an entry of its own term is committed.

A swap replaces an id by another one at the same address in a single entry, although that moves quorums by two places at
once. It is safe because the former id's disk is gone: that id never votes or acknowledges again, so every later quorum
of the old members consists of the others alone, and any m of the n - 1 others intersect any m - 1 of them, the least
that a new quorum contains of them (m + m - 1 > n - 1). Quorums formed while the former id was alive are what
`next_members` guards against: a majority of the old members, without the former id, must have answered this leader in
its term after the newcomer was first heard. Any leader of a later term that the former id had helped to elect would
have taken one of them to that later term.
"""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass
class PeerProgress:
    """What a leader knows about another machine. Times are its own, in seconds: `answered_at` is the send time of the
    newest heartbeat answered, `first_heard_at` when a newcomer was first heard.
    """

    id: str
    address: str
    match_index: int
    answered_at: float
    first_heard_at: float
    leaving: bool = False


def quorum(count: int) -> int:
    """The smallest number of `count` voters that is a majority."""
    return count // 2 + 1


def majority_value(values: Iterable[float]) -> float:
    """The greatest value that a majority has reached; `values` holds one per voter, at least one."""
    ranked = sorted(values, reverse=True)
    return ranked[quorum(len(ranked)) - 1]


def next_members(
    me: str,
    members: dict[str, str],
    voters: dict[str, PeerProgress],
    learners: list[PeerProgress],
    commit: int,
    now: float,
    max_answer_age: float,
    removal_timeout: float,
    target_members: int,
    max_holder_answer_age: float,
    is_log_stored: bool = True,
) -> dict[str, str] | None:
    """The members to have next, or None for no change.

    `voters` are the members other than `me`; `is_log_stored` says whether the own disk holds everything up to `commit`.
    While there are more than `target_members`, one voter is removed that is leaving, or else one not heard for
    `removal_timeout` seconds (see `_can_spare`; members that answered within `max_holder_answer_age` count as present).
    A newcomer is added that has caught up to `commit` and has answered what was sent within the last `max_answer_age`
    seconds.
    """
    if len(members) > max(1, target_members):
        holding = {
            voter.id
            for voter in voters.values()
            if voter.match_index >= commit and voter.answered_at >= now - max_holder_answer_age
        }
        leaving = [voter for voter in voters.values() if voter.leaving]
        unheard = [
            voter for voter in voters.values() if max(voter.answered_at, voter.first_heard_at) < now - removal_timeout
        ]
        for voter in leaving + unheard:
            if _can_spare(len(members), is_log_stored + len(holding - {voter.id})):
                return {id: address for id, address in members.items() if id != voter.id}
    for learner in learners:
        if (
            learner.id in members
            or learner.leaving
            or learner.match_index < commit
            or learner.answered_at < now - max_answer_age
        ):
            continue
        former_ids = [id for id, address in members.items() if address == learner.address]
        if not former_ids:
            return {**members, learner.id: learner.address}
        if former_ids[0] == me or voters[former_ids[0]].answered_at >= learner.first_heard_at:
            continue  # the former id is alive: whatever claims its address does not replace it
        answered = 1 + sum(
            other.answered_at >= learner.first_heard_at for other in voters.values() if other.id != former_ids[0]
        )
        if answered >= quorum(len(members)):
            return {learner.id if id == former_ids[0] else id: address for id, address in members.items()}
    return None


def _can_spare(members: int, holding: int) -> bool:
    """Whether one of `members` may be removed, where `holding` of those that stay are answering now and have everything
    committed on their disks.

    They must be a majority without the removed one: the entry takes effect at once, and fewer could neither commit nor
    undo it. That the remaining members beyond this majority answer too is not required: if two of six are lost for
    good, each would keep the other in, and no further loss could ever be tolerated.
    """
    return holding >= quorum(members - 1)
