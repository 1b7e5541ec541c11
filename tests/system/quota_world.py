"""Core machines and a leader that share tenants' limits, in one process without a network, and a counter as reference.

Nothing sleeps: time is the world's. The counter knows when requests passed and which limits were in force, and nothing
of buckets and holdings."""

from bisect import bisect_left
from collections import defaultdict
from dataclasses import dataclass

from knotwalk.shared_state.buckets import Buckets
from knotwalk.shared_state.escrow import Escrow, TakeResult
from knotwalk.shared_state.limit import QuotaBounds, limit_of

QUOTA_BOUNDS = QuotaBounds(window=5.0, overage=0.1, slack=20.0, cores=5)


@dataclass
class LimitPeriod:
    """A limit that was in force from `since` on."""

    since: float
    rate: float
    burst: float

    def max_allowed(self, quota_bounds):
        """The most requests that may run in a window."""
        return (self.rate * quota_bounds.window + self.burst) * (1 + quota_bounds.overage) + quota_bounds.slack


class Counter:
    """The requests that passed, by tenant; the limit is checked for each window that ends with a request."""

    def __init__(self, quota_bounds):
        self.quota_bounds = quota_bounds
        self.passed = defaultdict(list)
        self.in_force = defaultdict(list)

    def record_limit(self, now, tenant, rate, burst):
        self.in_force[tenant].append(LimitPeriod(now, rate, burst))

    def max_allowed(self, tenant, start, end):
        """The widest limit of a window; a limit that was lowered counts for one window more."""
        periods, allowed = self.in_force[tenant], []
        for period, following in zip(periods, [*periods[1:], None], strict=True):
            until = following.since + self.quota_bounds.window if following else float("inf")
            if period.since <= end and until >= start:
                allowed.append(period.max_allowed(self.quota_bounds) if period.rate else float("inf"))
        return max(allowed)

    def excess(self, now, tenant):
        """By how many requests the window that ends now exceeds the limit; 0 or less is within it."""
        start = now - self.quota_bounds.window
        passed = self.passed[tenant]
        return len(passed) - bisect_left(passed, start) - self.max_allowed(tenant, start, now)


class Core:
    """A core machine: its escrow, and the one call that may be in progress."""

    def __init__(self, id, world, escrow=Escrow):
        self.id, self.world = id, world
        self.escrow = escrow(world.limit)
        self.call = None  # (time sent, requests)
        self.reserved = 0  # tokens of requests that may still not run

    def send(self):
        """Begin a call; returns whether there was anything to request."""
        requests = self.escrow.pending_requests(self.world.now)
        self.call = (self.world.now, requests) if requests else None
        return bool(requests)

    def deliver(self, lost=False):
        """Have the leader answer the call; if `lost`, the answer does not arrive."""
        sent, requests = self.call
        self.call = None
        grants = self.world.leader.grant(self.world.now, self.id, requests)
        if not lost:
            self.escrow.apply_grants(self.world.now, sent, grants)
        return grants

    def resolve(self, tenant, runs):
        """Run a request whose token is reserved, or give the token back."""
        self.reserved -= 1
        if not runs:
            self.escrow.give_back(self.world.now, tenant)
        elif self.escrow.spend(self.world.now, tenant):
            self.world.counter.passed[tenant].append(self.world.now)

    def take(self, tenant, calls=3, open=False):
        """Take a token for a request, which waits for up to `calls` calls, each answered at once. If `open`, the token
        stays reserved."""
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
    """Five core machines, a leader, and tenants with limits."""

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
        self.counter.record_limit(self.now, tenant, rate, burst)

    def replace_leader(self):
        """Make another machine the leader; the previous one grants nothing more."""
        self.leader = self.buckets(self.now, self.limit)

    def replace_core(self, k):
        """Replace core `k`; the previous one, cut off, may continue with the tokens that it holds."""
        before = self.cores[k]
        self.cores[k] = Core(f"{before.id}'", self, self.escrow)
        return before

    def drain(self, tenant, max_rounds=10_000):
        """Have all cores take tokens in turn until none gets one; returns how many requests passed."""
        before = len(self.counter.passed[tenant])
        left = list(self.cores)
        while left and max_rounds:
            left = [core for core in left if core.take(tenant) is TakeResult.GRANTED]
            max_rounds -= 1
        return len(self.counter.passed[tenant]) - before
