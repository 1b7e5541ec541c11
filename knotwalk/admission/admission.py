"""What a node is known to have in hand, and whether one more request is worth offering to it. Pure.

Nodes tell (running, waiting, slots) in some answers; every edge knows its own requests exactly. What others have in
hand is what was told less one's own at that moment, and it fades.
"""

import math

# Seconds after which what a node told of others' requests counts for nothing: about the longest usual work.
FADE = 0.6
# What others usually have in hand at a node, a running mean of what was told, is kept longer: seconds, and the weight
# of one more word. An edge of twelve hears of a node about once a second, so that by FADE alone a full one looks idle.
# At 4 s it outlived the moves that relieve a node, and cost what it gained.
FORGET, USUAL = 1.5, 0.5
# Requests that a node takes, running and waiting, for each slot: a node queues a few more than it runs.
DEEP = 5
# The same for requests that may run only once. A full node may reset the connection, which proves nothing, and what one
# edge knows of others' requests is old: at 5 a slot 232 tries of a busy day ended unknown, at 3 135, at 2 107.
DEEP_ONCE = 2
# Weight of one more work time in the running mean.
LEARN = 0.1
# Guess of a work time in seconds, until one was seen.
FIRST_WORK = 0.08
# A node that refused or broke connections is left alone so long at first (seconds), doubled up to the last; the owner
# of keys, for whom nobody stands in, no longer than the third.
SHUN_FIRST, SHUN_LAST, SHUN_OWNER = 0.5, 4.0, 1.0
# A node that has answered nothing for so many mean work times, and so many seconds at least, while it holds requests of
# ours, gets no more of them until it does: works are rarely that long, and a dead machine says nothing.
SILENT_WORKS, SILENT_LEAST = 5.0, 0.4
# Of the time left, what a request may expect to spend before its answer; each rank below the first gives up earlier.
TIME_PART, RANK_PART, LEAST_PART = 0.95, 0.1, 0.5
# From this rank on (0 is highest) a request yields at a busy node: it is offered only if an answer is expected within
# so many aims, by what the node usually has in hand. Late it earns little, and it takes the slot of one that would be
# in time. In a stand-in of a node and twelve edges worth rose by 0.010 to 0.015; by the usual load for all ranks it did
# not.
YIELDS, AIM_PART = 2, 1.5

# Seconds that a refused client is told to wait, at least and at most: clients heed a third of the time they have left,
# and deadlines are about a second.
SHORTEST, LONGEST = 0.05, 0.3


class Seen:
    """What this edge has met with at one node; it hangs at the node in the cluster view."""

    __slots__ = (
        "flying",
        "others",
        "others_at",
        "usual",
        "work",
        "shunned_until",
        "shun",
        "draining_since",
        "silent_since",
        "bad",
        "hung",
        "load_sum",
        "load_count",
        "slots",
        "ok",
        "failed",
        "refused",
        "busy",
    )

    def __init__(self) -> None:
        self.flying = 0  # own requests at the node now
        self.hung = False  # a request hangs there, and was counted among the failed
        self.silent_since = 0.0  # when the node last answered, or was sent a request while it had none
        self.others, self.others_at, self.usual = 0.0, -1e9, 0.0
        self.work = 0.0  # mean seconds from sending to the whole answer, when nothing waited; 0: unseen
        self.shunned_until, self.shun = 0.0, 0.0
        self.bad = 0  # tries in a row that ended without an answer
        self.draining_since: float | None = None
        self.load_sum, self.load_count, self.slots = 0, 0, 0
        self.ok, self.failed, self.refused = 0, 0, 0
        self.busy = 0.0  # seconds that the answered ones (`ok`) took

    def sent(self, now: float) -> None:
        """A request went to the node."""
        if not self.flying:
            self.silent_since = now
        self.flying += 1

    def came_back(self, now: float) -> None:
        """A request at the node has ended, whichever way."""
        self.flying -= 1
        self.silent_since = now

    def silent(self, now: float) -> bool:
        """Whether the node holds requests and has said nothing for suspiciously long."""
        return self.flying > 0 and now - self.silent_since > max(SILENT_LEAST, SILENT_WORKS * self.work)

    def told(self, now: float, running: int, waiting: int, slots: int) -> None:
        """The node told its load in an answer, the answered request among it: that one is taken off, and this edge's
        own, which it counts exactly. What an answer leaves behind is what a node has in hand at any time (arrivals see
        time averages). For the mean, who waits counts up to half a round: whole queues say nothing of capacity (a node
        of 9 requests a second came out at 0.35), none at all leaves nodes where every third request waits."""
        left = max(0, running + waiting - 1)
        self.usual *= max(0.0, 1.0 - (now - self.others_at) / FORGET)
        self.others, self.others_at = float(max(0, left - self.flying)), now
        self.usual += (self.others - self.usual) * USUAL
        self.load_sum, self.load_count = self.load_sum + min(slots + slots // 2, left), self.load_count + 1
        self.slots = slots

    def worked(self, seconds: float) -> None:
        """A request took so long at the node."""
        self.work = self.work + (seconds - self.work) * LEARN if self.work else seconds

    def trouble(self, now: float, reached: bool, last: float = SHUN_LAST) -> None:
        """The node refused a connection, or (if `reached`) lost a request or kept silent: leave it alone for a while,
        longer each time, up to `last` seconds. One lost answer tells little; two in a row tell of the node."""
        self.bad += 1
        if now < self.shunned_until or reached and self.bad < 2:
            return
        self.shun = min(last, self.shun * 2 or SHUN_FIRST)
        self.shunned_until = now + self.shun

    def well(self) -> None:
        """The node answered: it is no longer left alone."""
        self.shunned_until = self.shun = 0.0
        self.bad = 0
        self.hung = False

    def in_hand(self, now: float) -> float:
        """Requests running and waiting at the node, as far as is known."""
        return self.flying + self.others * max(0.0, 1.0 - (now - self.others_at) / FADE)

    def usually(self, now: float) -> float:
        """The same, by what others usually have there once the node's last word is old."""
        age = now - self.others_at
        usual = self.usual * max(0.0, 1.0 - age / FORGET)
        return self.flying + usual + (self.others - usual) * max(0.0, 1.0 - age / FADE)


def slots(capacity: int, cold: bool) -> float:
    """Slots that count: a node that is not yet warm counts half."""
    return max(0.5, capacity * (0.5 if cold else 1.0))


def expected_wait(in_hand: float, slots: float, work: float) -> float:
    """Seconds until a slot is free for one more request.

    >>> expected_wait(1, 2, 0.1), expected_wait(4, 2, 0.1)
    (0.0, 0.15000000000000002)
    """
    return max(0.0, in_hand + 1 - slots) / slots * (work or FIRST_WORK)


def yields(priority: int) -> bool:
    """Whether a request of that rank gives way to others where there is not room for all."""
    return priority >= YIELDS


def worth_offering(
    in_hand: float,
    capacity: int,
    cold: bool,
    work: float,
    left: float,
    priority: int,
    once: bool = False,
    aim: float = math.inf,
) -> bool:
    """Whether a node would likely answer within `left` seconds; lower ranks (higher `priority`) give up earlier, those
    that yield where the answer would come well after their `aim` (seconds), and requests that may run `once` go only
    where the node has room beyond doubt.

    A node with a free slot is always worth it, whatever the mean says: else a wrong mean would never be put right."""
    if in_hand >= capacity * (DEEP_ONCE if once else DEEP):
        return False
    if in_hand + 1 <= slots(capacity, cold):
        return True
    most = left * max(LEAST_PART, TIME_PART - RANK_PART * priority)
    if yields(priority):
        most = min(most, aim * AIM_PART)
    return expected_wait(in_hand, slots(capacity, cold), work) + (work or FIRST_WORK) <= most


def come_back(wait: float, jitter: float) -> float:
    """Seconds that a refused client is told to wait; `jitter` 0..1 keeps clients from coming back together.

    >>> come_back(0.0, 0.5), come_back(9.0, 0.5)
    (0.05, 0.3)
    """
    return round(min(LONGEST, max(SHORTEST, wait)) * (0.75 + 0.5 * jitter), 3)
