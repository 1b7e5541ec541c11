"""Conductors' leases, as the elected leader of the consensus grants them.

A conductor renews its lease again and again. Each answer lets it act on its slices for LEASE_S seconds, counted from
the moment at which it *sent* the request. The leader counts from the moment at which it answered and adds the possible
difference between two clocks, so it never takes a lease for ended too early. Only a leader that a majority has answered
within LEADERSHIP_PROOF_S may grant leases (see `Machine.majority_acked_at`), and a new leader first waits for a whole
lease, since it does not know which leases its predecessor granted.

Slices of a conductor whose lease has ended are assigned to the others (`reassign`). Once no conductor has come or gone
for CALM_PERIOD_S, conductors that have more than their share hand slices over to one that has less, a few at a time
(`hand_over`). Owner and fence stay as they are, so no key moves.

A conductor that has handed slices over may not have read that entry of the log yet, and may act on its older log for up
to one more lease. All that it can do there is grant the owner that both conductors know under the fence that both know,
which does no harm until the new conductor moves the slice. Therefore a slice leased with `early` set makes its new
conductor wait for one more lease before a release counts (`GrantManager._take_over`). The leader sets `early` on every
lease that it proposes within one lease of a hand-over, because the new conductor may itself go away at once. A new
leader does not know of earlier hand-overs, so it does the same throughout its first lease.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from knotwalk.leases.ledger import Slice, ranges

# Long enough to survive a stalled core process (0.3 s) and some lost calls at LEASE_REQUEST_INTERVAL_S. Short against a
# hold, so that another conductor renews the slices of a dead one before nodes lose their keys
# (lease + wait + a pass < hold - renew_interval).
LEASE_S = 2.0
LEASE_REQUEST_INTERVAL_S = 0.4
CLOCK_DRIFT = 1.02  # the monotonic clocks of two machines may differ in rate by 2 %
CALL_MARGIN_S = 0.2  # a call that was sent within the lease may still be on its way for this long
# Slices are handed over only when no conductor has come or gone, and no leader has changed, for this long: a conductor
# that fails again soon would have caused two hand-overs for nothing.
CALM_PERIOD_S = 10.0
# Slices handed over at once, and the time between two hand-overs: about a dozen grants for the new conductor to send.
# A third of a service's slices has moved within half a minute.
MAX_HAND_OVER_SLICES, HAND_OVER_INTERVAL_S = 32, 1.0
IMBALANCE_TOLERANCE = 0.1  # part of an even share: a conductor that lacks no more than this gets nothing
# A majority's answers older than this no longer prove leadership. Below the minimum election timeout.
LEADERSHIP_PROOF_S = 0.35


@dataclass
class ConductorLeases:
    """The leader's table of conductors' leases; a new one is made when a leader takes office at `since`."""

    since: float
    ends_at: dict[str, float] = field(default_factory=dict)  # conductor -> when its lease has certainly ended
    handed_over_at: float = float("-inf")  # the last hand-over
    conductors_changed_at: float = float("-inf")  # when a conductor last came or left

    def renew(self, now: float, conductor: str) -> float:
        """Grant or renew a lease; return for how many seconds from sending its request the conductor may act."""
        if not self.is_alive(now, conductor):
            self.conductors_changed_at = now
        self.ends_at[conductor] = now + LEASE_S * CLOCK_DRIFT + CALL_MARGIN_S
        return LEASE_S

    def on_left(self, now: float, conductor: str) -> None:
        """Record that a conductor has reported that it no longer acts."""
        self.ends_at[conductor] = self.conductors_changed_at = now

    def note_hand_over(self, now: float) -> None:
        """Record that the log may hold a hand-over from now on."""
        self.handed_over_at = now

    def has_recent_hand_over(self, now: float) -> bool:
        """Whether some conductor may still act on a log from before a hand-over."""
        return now < max(self.since + LEADERSHIP_PROOF_S, self.handed_over_at) + LEASE_S * CLOCK_DRIFT + CALL_MARGIN_S

    def end_replaced(self, now: float, conductors: Iterable[str], members: Mapping[str, str]) -> None:
        """End the leases of conductors that another incarnation has replaced at the same address.

        An identity is an address and the incarnation of a disk. Two processes can't listen at one address, so a member
        with the same address and another identity proves that the former one is gone.
        """
        member_addresses = set(members.values())
        for conductor in set(conductors) - members.keys():
            if conductor.partition("#")[0] in member_addresses and not self.has_ended(now, conductor):
                self.on_left(now, conductor)

    def is_alive(self, now: float, conductor: str) -> bool:
        """Whether a lease that this leader granted to the conductor still runs."""
        return self.ends_at.get(conductor, 0.0) > now

    def has_ended(self, now: float, conductor: str) -> bool:
        """Whether the conductor certainly may not act: its lease has ended, whether granted here or by any earlier
        leader."""
        earliest_end = self.since + LEASE_S * CLOCK_DRIFT + CALL_MARGIN_S + LEADERSHIP_PROOF_S
        return now >= self.ends_at.get(conductor, earliest_end)

    def shares(self, now: float, holders: dict[str, int], slices: int) -> dict[str, int]:
        """How many of `slices` each live conductor should lease for an even split; `holders` maps each conductor to
        the number that it has now."""
        live = sorted(conductor for conductor, ends_at in self.ends_at.items() if ends_at > now)
        if not live:
            return {}
        share, remainder = divmod(slices, len(live))
        ranked = sorted(live, key=lambda conductor: (-holders.get(conductor, 0), conductor))
        return {conductor: share + (rank < remainder) for rank, conductor in enumerate(ranked)}


def reassign(leases: ConductorLeases, now: float, leased: list[str]) -> dict[str, list[list[int]]]:
    """Assign slices that nobody leases to live conductors: conductor -> runs of slices.

    `leased` holds the conductor of each slice in order, "" for none. Slices without a conductor, or of one whose lease
    has certainly ended, go to the live conductors that have fewest. Adjacent slices stay together, so that an owner's
    keys are renewed in few calls. Slices of live conductors stay where they are.
    """
    free = [
        number
        for number, conductor in enumerate(leased)
        if not conductor or (not leases.is_alive(now, conductor) and leases.has_ended(now, conductor))
    ]
    if not free:
        return {}
    counts: dict[str, int] = {}
    for conductor in leased:
        counts[conductor] = counts.get(conductor, 0) + 1
    shares = leases.shares(now, counts, len(leased))
    assigned: dict[str, list[list[int]]] = {}
    missing = {conductor: max(0, share - counts.get(conductor, 0)) for conductor, share in shares.items()}
    order = sorted(missing, key=lambda conductor: (-missing[conductor], conductor))
    for number in free:
        while order and missing[order[0]] <= 0:
            order.pop(0)
        if not order:
            break
        conductor = order[0]
        missing[conductor] -= 1
        runs = assigned.setdefault(conductor, [])
        if runs and runs[-1][1] == number - 1:
            runs[-1][1] = number
        else:
            runs.append([number, number])
    return assigned


def hand_over(leases: ConductorLeases, now: float, slices: Sequence[Slice]) -> tuple[str, str, list[list[int]]] | None:
    """The next hand-over within one service: giver, receiver and runs of slices; None if there is none to make now.

    Takes adjacent slices from the end of what the giver has, so that an owner's keys stay together, and none that is
    changing owners.
    """
    is_calm = (
        now >= max(leases.since, leases.conductors_changed_at) + CALM_PERIOD_S
        and now >= leases.handed_over_at + HAND_OVER_INTERVAL_S
    )
    counts = Counter(row.conductor for row in slices) if is_calm else Counter()
    if not counts or not all(leases.is_alive(now, conductor) for conductor in counts):
        return None
    shares = leases.shares(now, counts, len(slices))
    missing = {conductor: share - counts[conductor] for conductor, share in shares.items()}
    # A conductor that is alone is both of these, and lacks nothing.
    giver = min(missing, key=lambda conductor: (missing[conductor], conductor))
    receiver = max(missing, key=lambda conductor: (missing[conductor], conductor))
    if missing[receiver] <= IMBALANCE_TOLERANCE * shares[receiver]:
        return None
    settled = [
        number for number, row in enumerate(slices) if row.conductor == giver and row.open and not row.previous_holders
    ]
    count = min(MAX_HAND_OVER_SLICES, missing[receiver], -missing[giver])
    return (giver, receiver, ranges(settled[-count:])) if settled else None
