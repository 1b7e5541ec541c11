"""Core machines and a leader that share tenants' limits, in one program without a wire; a plain counter is the truth.

Nothing sleeps: time is the world's. The counter knows when requests were let pass and what was in force, nothing of
buckets and holdings."""

from bisect import bisect_left
from collections import defaultdict
from dataclasses import dataclass

from knotwalk.shared_state.buckets import Buckets
from knotwalk.shared_state.escrow import Escrow, TakeResult
from knotwalk.shared_state.limit import QuotaBounds, limit_of

QUOTA_BOUNDS = QuotaBounds(window=5.0, overage=0.1, slack=20.0, cores=5)


@dataclass
class InForce:
    """A limit from `since` on."""

    since: float
    rate: float
    burst: float

    def most(self, quota_bounds):
        """What the rule allows in a window."""
        return (self.rate * quota_bounds.window + self.burst) * (1 + quota_bounds.overage) + quota_bounds.slack


class Counter:
    """What was let pass, by tenant; the rule is looked at for each window that ends with a request."""

    def __init__(self, quota_bounds):
        self.quota_bounds = quota_bounds
        self.passed = defaultdict(list)
        self.in_force = defaultdict(list)

    def limited(self, now, tenant, rate, burst):
        self.in_force[tenant].append(InForce(now, rate, burst))

    def most(self, tenant, start, end):
        """The widest limit of a window: one that was lowered counts for a window more."""
        lines, found = self.in_force[tenant], []
        for line, following in zip(lines, [*lines[1:], None], strict=True):
            until = following.since + self.quota_bounds.window if following else float("inf")
            if line.since <= end and until >= start:
                found.append(line.most(self.quota_bounds) if line.rate else float("inf"))
        return max(found)

    def over(self, now, tenant):
        """By how much the window that ends now is over the rule; 0 or less is within it."""
        start = now - self.quota_bounds.window
        passed = self.passed[tenant]
        return len(passed) - bisect_left(passed, start) - self.most(tenant, start, now)


class Core:
    """A core machine: its escrow, and the one call that may be under way."""

    def __init__(self, id, world, escrow=Escrow):
        self.id, self.world = id, world
        self.escrow = escrow(world.limit)
        self.call = None  # (sent, wants)
        self.reserved = 0  # tokens of requests that may yet not run

    def send(self):
        """Begin a call; whether there was anything to ask for."""
        wants = self.escrow.pending_requests(self.world.now)
        self.call = (self.world.now, wants) if wants else None
        return bool(wants)

    def deliver(self, lost=False):
        """The leader answers the call; with `lost`, nobody hears it."""
        sent, wants = self.call
        self.call = None
        grants = self.world.leader.grant(self.world.now, self.id, wants)
        if not lost:
            self.escrow.apply_grants(self.world.now, sent, grants)
        return grants

    def resolve(self, tenant, runs):
        """A request whose token is reserved runs, or does not."""
        self.reserved -= 1
        if not runs:
            self.escrow.give_back(self.world.now, tenant)
        elif self.escrow.spend(self.world.now, tenant):
            self.world.counter.passed[tenant].append(self.world.now)

    def take(self, tenant, calls=3, open=False):
        """A request comes; it waits for so many calls, each answered in the same instant. `open`: it may not run."""
        now = self.world.now
        taken = self.escrow.take(now, tenant)
        if taken is TakeResult.WAIT and calls:
            self.escrow.start_waiting(now, tenant)
            while taken is TakeResult.WAIT and calls:
                if self.send():
                    self.deliver()
                taken = self.escrow.retry_take(now, tenant)
                calls -= 1
            self.escrow.stop_waiting(tenant)
        if taken is TakeResult.GRANTED:
            self.escrow.reserve(tenant)
            self.reserved += 1
            if not open:
                self.resolve(tenant, True)
        elif taken is TakeResult.UNLIMITED:
            self.world.counter.passed[tenant].append(now)
        return taken


class World:
    """Five core machines, a leader, tenants with limits."""

    def __init__(self, quota_bounds=QUOTA_BOUNDS, buckets=Buckets, escrow=Escrow, now=0.0):
        self.quota_bounds, self.buckets, self.escrow, self.now = quota_bounds, buckets, escrow, now
        self.counter = Counter(quota_bounds)
        self.limits = {}
        self.leader = buckets(now, self.limit)
        self.cores = [Core(f"c{k}", self, escrow) for k in range(quota_bounds.cores)]

    def limit(self, tenant):
        return self.limits.get(tenant)

    def set_limit(self, tenant, rate, burst):
        self.limits[tenant] = limit_of(rate, burst, self.quota_bounds)
        self.counter.limited(self.now, tenant, rate, burst)

    def lead_anew(self):
        """Another leads; the one before gives out nothing more."""
        self.leader = self.buckets(self.now, self.limit)

    def replaced(self, k):
        """Another core in the place of `k`; the one before, cut off, may go on with what it holds."""
        before = self.cores[k]
        self.cores[k] = Core(f"{before.id}'", self, self.escrow)
        return before

    def drained(self, tenant, most=10_000):
        """All core machines take in turn until none has more; how many passed."""
        before = len(self.counter.passed[tenant])
        left = list(self.cores)
        while left and most:
            left = [core for core in left if core.take(tenant) is TakeResult.GRANTED]
            most -= 1
        return len(self.counter.passed[tenant]) - before
