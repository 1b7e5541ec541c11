"""Conductors' leases, as the agreed leader keeps them: who may act on its slices, and who surely may not any more.

A conductor asks again and again; each answer lets it act for LEASE seconds from the moment it *sent* the question. The
leader counts from the moment it answered, plus what clocks may differ, so it never believes a lease ended too soon.
Only a leader that a majority answered a moment ago may answer (see `may_answer`); a new one first waits a whole lease.

Slices of a conductor whose lease has ended go to the others (`reassign`); once all is calm, those that bear more than
their share hand some to one that has less (`hand_over`), a few at a time. Owner and fence stay, so no key moves. The
one that hands over may not have heard of it, and act by the log before for a lease more. What it may do is grant the
owner that both know under the fence that both know, which harms nobody until the other one moves the slice; so who
leases a slice `early` lets a lease pass before a release counts (`Keeper._take_over`). It is the leader that tells, for
all that it leases within a lease of such a hand-over: the new conductor may itself leave at once. A new leader knows of
no hand-overs, so it does the same for its first lease.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from knotwalk.leases.ledger import Slice, ranges

# Long enough for a stalled core process (0.3 s) and some lost calls at ASK, short against a hold: slices of a dead
# conductor are renewed by another before nodes lose their keys (lease + wait + a pass < hold - renew).
LEASE = 2.0
ASK = 0.4
DRIFT = 1.02  # steady clocks of two machines may run 2% apart
MARGIN = 0.2  # a call that was sent inside the lease may be on its way for this long
# Seconds without a conductor's coming or going, or a leader's, until slices are handed over: one that falls soon again
# would have cost two hand-overs for nothing.
CALM = 10.0
# Slices handed over at a time, and seconds between: about a dozen grants for the new one to send, and a share of three
# conductors is whole in half a minute a service.
HAND, HAND_PAUSE = 32, 1.0
LACK = 0.1  # of an even share: who lacks no more is left alone
# A majority's answers older than this (s) no longer prove leadership; below the least election time-out.
PROOF = 0.35


@dataclass
class Tenure:
    """The leader's table. Made anew when a leader takes office at `since`."""

    since: float
    ends: dict[str, float] = field(default_factory=dict)  # by conductor: when its lease has surely ended
    handed: float = float("-inf")  # the last hand-over
    stirred: float = float("-inf")  # when a conductor last came or left

    def asked(self, now: float, conductor: str) -> float:
        """A conductor's question is answered now: the seconds it may act for, from when it sent the question."""
        if not self.alive(now, conductor):
            self.stirred = now
        self.ends[conductor] = now + LEASE * DRIFT + MARGIN
        return LEASE

    def left(self, now: float, conductor: str) -> None:
        """It said that it acts no more."""
        self.ends[conductor] = self.stirred = now

    def hands(self, now: float) -> None:
        """A hand-over may be in the log from now on, if it was not before."""
        self.handed = now

    def early(self, now: float) -> bool:
        """Whether some conductor may still act by a log from before a hand-over."""
        return now < max(self.since + PROOF, self.handed) + LEASE * DRIFT + MARGIN

    def replaced(self, now: float, conductors: Iterable[str], members: Mapping[str, str]) -> None:
        """Note which conductors have ended by who the members are now: an identity is an address and a life of its
        disk, and two processes can't listen at one address, so another life there proves that the one before is
        over."""
        taken = set(members.values())
        for conductor in set(conductors) - members.keys():
            if conductor.partition("#")[0] in taken and not self.ended(now, conductor):
                self.left(now, conductor)

    def alive(self, now: float, conductor: str) -> bool:
        """Whether a lease granted here to the conductor still runs at `now`."""
        return self.ends.get(conductor, 0.0) > now

    def ended(self, now: float, conductor: str) -> bool:
        """Whether it surely may not act: its lease ended, here and as any leader before may have granted it."""
        first = self.since + LEASE * DRIFT + MARGIN + PROOF
        return now >= self.ends.get(conductor, first)

    def shares(self, now: float, holders: dict[str, int], slices: int) -> dict[str, int]:
        """How many of `slices` each live conductor should lease, evenly; `holders` is how many each has now."""
        live = sorted(c for c, end in self.ends.items() if end > now)
        if not live:
            return {}
        each, rest = divmod(slices, len(live))
        ranked = sorted(live, key=lambda c: (-holders.get(c, 0), c))
        return {c: each + (k < rest) for k, c in enumerate(ranked)}


def reassign(tenure: Tenure, now: float, leased: list[str]) -> dict[str, list[list[int]]]:
    """Which runs of slices go to which conductor: `leased` names each slice's conductor ("" for none), in order.

    Slices without a conductor, or of one whose lease has surely ended, go to the live ones with fewest; neighbours stay
    together, so that an owner's keys are renewed in few calls. Slices of live conductors stay where they are."""
    free = [k for k, c in enumerate(leased) if not c or (not tenure.alive(now, c) and tenure.ended(now, c))]
    if not free:
        return {}
    held: dict[str, int] = {}
    for c in leased:
        held[c] = held.get(c, 0) + 1
    wanted = tenure.shares(now, held, len(leased))
    found: dict[str, list[list[int]]] = {}
    lacking = {c: max(0, n - held.get(c, 0)) for c, n in wanted.items()}
    order = sorted(lacking, key=lambda c: (-lacking[c], c))
    for slice in free:
        while order and lacking[order[0]] <= 0:
            order.pop(0)
        if not order:
            break
        c = order[0]
        lacking[c] -= 1
        runs = found.setdefault(c, [])
        if runs and runs[-1][1] == slice - 1:
            runs[-1][1] = slice
        else:
            runs.append([slice, slice])
    return found


def hand_over(tenure: Tenure, now: float, line: Sequence[Slice]) -> tuple[str, str, list[list[int]]] | None:
    """Who hands which runs of slices to whom, of one service; None if nobody does now.

    Neighbours from the end of what the giver has, so that an owner's keys stay together; none that changes hands."""
    calm = now >= max(tenure.since, tenure.stirred) + CALM and now >= tenure.handed + HAND_PAUSE
    held = Counter(x.conductor for x in line) if calm else Counter()
    if not held or not all(tenure.alive(now, c) for c in held):
        return None
    wanted = tenure.shares(now, held, len(line))
    most, *_, least = sorted(wanted, key=lambda c: (wanted[c] - held[c], c))
    if wanted[least] - held[least] <= LACK * wanted[least]:
        return None
    settled = [k for k, x in enumerate(line) if x.conductor == most and x.open and not x.before]
    number = min(HAND, wanted[least] - held[least], held[most] - wanted[most])
    return (most, least, ranges(settled[-number:])) if settled else None
