"""Estimates how many requests a node has outstanding and decides whether to offer it one more. Pure.

Nodes report their load (running, waiting, slots) in some answers, and every edge knows its own requests exactly. The
load from other edges is the reported load less this edge's own requests at that moment; the estimate decays over time.
"""

import math

# Seconds after which a reported load from other edges no longer counts: about the longest usual work time.
LOAD_DECAY_S = 0.6
# The usual load from other edges is a running mean of the reports and decays more slowly: its decay time, and the
# weight of one more report. One edge of twelve hears from a node about once a second, so that with LOAD_DECAY_S alone a
# full node looks idle. At 4 s the mean outlived the moves of slices that relieve a node, and cost as much as it gained.
USUAL_LOAD_DECAY_S, USUAL_LOAD_WEIGHT = 1.5, 0.5
# Maximum requests at a node, running and waiting, per slot: a node queues a few more than it runs.
MAX_REQUESTS_PER_SLOT = 5
# The same for non-idempotent requests. A full node may reset the connection, which leaves open whether the request ran,
# and what an edge knows of the other edges' requests is old: in a busy day's load 232 tries ended unknown at 5 per
# slot, 135 at 3 and 107 at 2.
MAX_NON_IDEMPOTENT_PER_SLOT = 2
# Weight of one more work time in its running mean.
WORK_TIME_WEIGHT = 0.1
# Assumed work time until one was measured.
DEFAULT_WORK_TIME_S = 0.08
# A node that refused or broke connections is avoided: the first time, doubled with each further failure up to the
# maximum; the owner of a slice, which no other node can replace, for MAX_AVOID_OWNER_S at most.
MIN_AVOID_S, MAX_AVOID_S, MAX_AVOID_OWNER_S = 0.5, 4.0, 1.0
# A node that has requests of this edge and has answered nothing for this many mean work times, and for MIN_SILENT_S at
# least, gets no more requests until it answers: requests rarely take that long, and a dead machine sends nothing.
SILENT_WORK_TIMES, MIN_SILENT_S = 5.0, 0.4
# Part of the time left to its deadline that a request may be expected to take; it shrinks by PRIORITY_PART for each
# priority below the highest, down to MIN_TIME_LEFT_PART.
TIME_LEFT_PART, PRIORITY_PART, MIN_TIME_LEFT_PART = 0.95, 0.1, 0.5
# From this priority on (0 is highest) a request yields at a busy node: it is offered only if an answer is expected
# within this multiple of the route's target latency, judged by the node's usual load. A late answer is worth little,
# and the request would take the slot of one that could be in time. In a simulation of a node and twelve edges the score
# rose by 0.010 to 0.015; judging all priorities by the usual load did not raise it.
FIRST_YIELDING_PRIORITY, TARGET_LATENCY_PART = 2, 1.5

# Bounds of Retry-After: clients wait for at most a third of the time they have left, and deadlines are about a second.
MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S = 0.05, 0.3


class NodeStats:
    """What this edge has measured at one node. Stored as `Node.seen` in the cluster view."""

    __slots__ = (
        "in_flight",
        "others_load",
        "others_load_at",
        "usual_others_load",
        "mean_work_s",
        "avoided_until",
        "avoid_s",
        "draining_since",
        "silent_since",
        "failures_in_row",
        "hang_counted",
        "load_sum",
        "load_count",
        "slots",
        "ok",
        "failed",
        "refused",
        "answered_s",
    )

    def __init__(self) -> None:
        self.in_flight = 0  # requests of this edge at the node now
        self.hang_counted = False  # a request hangs there and was already counted in `failed`
        self.silent_since = 0.0  # when the node last answered, or got a request while idle
        self.others_load, self.others_load_at, self.usual_others_load = 0.0, -1e9, 0.0
        self.mean_work_s = 0.0  # from sending to the complete answer, while nothing was queued; 0: not measured yet
        self.avoided_until, self.avoid_s = 0.0, 0.0
        self.failures_in_row = 0  # consecutive tries that ended without an answer
        self.draining_since: float | None = None
        self.load_sum, self.load_count, self.slots = 0, 0, 0
        self.ok, self.failed, self.refused = 0, 0, 0
        self.answered_s = 0.0  # total time of the answered tries (`ok`)

    def record_sent(self, now: float) -> None:
        """Count a request that was sent to the node."""
        if not self.in_flight:
            self.silent_since = now
        self.in_flight += 1

    def record_end(self, now: float) -> None:
        """Count the end of a request at the node, whatever its outcome."""
        self.in_flight -= 1
        self.silent_since = now

    def is_silent(self, now: float) -> bool:
        """Whether the node has requests of this edge and has not answered for suspiciously long."""
        return self.in_flight > 0 and now - self.silent_since > max(MIN_SILENT_S, SILENT_WORK_TIMES * self.mean_work_s)

    def record_load(self, now: float, running: int, waiting: int, slots: int) -> None:
        """Record the load that the node reported in an answer.

        The report includes the answered request, which is subtracted, and this edge's own requests, which are counted
        exactly here. What remains when an answer leaves is a fair sample of the node's load at any time (as arrivals
        see time averages). In the mean that is reported to the core, waiting requests count up to half the slots:
        whole queues say nothing about capacity (a node of 9 requests a second was estimated at 0.35), and counting
        none leaves load on nodes where every third request waits."""
        remaining = max(0, running + waiting - 1)
        self.usual_others_load *= max(0.0, 1.0 - (now - self.others_load_at) / USUAL_LOAD_DECAY_S)
        self.others_load, self.others_load_at = float(max(0, remaining - self.in_flight)), now
        self.usual_others_load += (self.others_load - self.usual_others_load) * USUAL_LOAD_WEIGHT
        self.load_sum, self.load_count = self.load_sum + min(slots + slots // 2, remaining), self.load_count + 1
        self.slots = slots

    def record_work_time(self, seconds: float) -> None:
        """Add the duration of one request at the node to the running mean."""
        self.mean_work_s = (
            self.mean_work_s + (seconds - self.mean_work_s) * WORK_TIME_WEIGHT if self.mean_work_s else seconds
        )

    def record_failure(self, now: float, reached: bool, max_avoid_s: float = MAX_AVOID_S) -> None:
        """Avoid the node for a while after a failure, longer each time, up to `max_avoid_s`.

        The node refused a connection or, if `reached`, lost a request or did not answer. One lost answer is not
        enough evidence against a node; two in a row are."""
        self.failures_in_row += 1
        if now < self.avoided_until or reached and self.failures_in_row < 2:
            return
        self.avoid_s = min(max_avoid_s, self.avoid_s * 2 or MIN_AVOID_S)
        self.avoided_until = now + self.avoid_s

    def record_success(self) -> None:
        """Stop avoiding the node: it answered."""
        self.avoided_until = self.avoid_s = 0.0
        self.failures_in_row = 0
        self.hang_counted = False

    def outstanding(self, now: float) -> float:
        """Estimated requests running and waiting at the node."""
        return self.in_flight + self.others_load * max(0.0, 1.0 - (now - self.others_load_at) / LOAD_DECAY_S)

    def usual_outstanding(self, now: float) -> float:
        """The same, falling back to the usual load from other edges as the node's last report gets old."""
        age = now - self.others_load_at
        usual = self.usual_others_load * max(0.0, 1.0 - age / USUAL_LOAD_DECAY_S)
        return self.in_flight + usual + (self.others_load - usual) * max(0.0, 1.0 - age / LOAD_DECAY_S)


def slots(capacity: int, cold: bool) -> float:
    """Effective slots: a node that is not yet warm counts half."""
    return max(0.5, capacity * (0.5 if cold else 1.0))


def expected_wait(outstanding: float, slots: float, work: float) -> float:
    """Seconds until a slot is free for one more request.

    >>> expected_wait(1, 2, 0.1), expected_wait(4, 2, 0.1)
    (0.0, 0.15000000000000002)
    """
    return max(0.0, outstanding + 1 - slots) / slots * (work or DEFAULT_WORK_TIME_S)


def yields_to_higher_priority(priority: int) -> bool:
    """Whether a request of this priority gives way to others where there is no capacity for all."""
    return priority >= FIRST_YIELDING_PRIORITY


def worth_offering(
    outstanding: float,
    capacity: int,
    cold: bool,
    work: float,
    time_left: float,
    priority: int,
    non_idempotent: bool = False,
    target_latency: float = math.inf,
) -> bool:
    """Whether a node would likely answer within `time_left` seconds.

    Requests of lower priority (higher number) give up earlier, and those that yield also where the answer would come
    well after `target_latency` (seconds). Non-idempotent requests only go to nodes that clearly have capacity.

    A node with a free slot is always worth it, whatever its mean work time: otherwise a wrong mean would never be
    corrected."""
    if outstanding >= capacity * (MAX_NON_IDEMPOTENT_PER_SLOT if non_idempotent else MAX_REQUESTS_PER_SLOT):
        return False
    if outstanding + 1 <= slots(capacity, cold):
        return True
    max_wait = time_left * max(MIN_TIME_LEFT_PART, TIME_LEFT_PART - PRIORITY_PART * priority)
    if yields_to_higher_priority(priority):
        max_wait = min(max_wait, target_latency * TARGET_LATENCY_PART)
    return expected_wait(outstanding, slots(capacity, cold), work) + (work or DEFAULT_WORK_TIME_S) <= max_wait


def jittered_retry_after(wait: float, jitter: float) -> float:
    """Seconds of Retry-After for a refused client; `jitter` (0..1) keeps clients from coming back all at once.

    >>> jittered_retry_after(0.0, 0.5), jittered_retry_after(9.0, 0.5)
    (0.05, 0.3)
    """
    return round(min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait)) * (0.75 + 0.5 * jitter), 3)
