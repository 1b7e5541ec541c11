"""Core machines and a leader that share tenants' limits, in one program without a wire; a plain counter is the truth.

Nothing sleeps: time is the world's. The counter knows when requests were let pass and what was in force, nothing of
buckets and holdings."""

from bisect import bisect_left
from collections import defaultdict
from dataclasses import dataclass

from knotwalk.shared_state.buckets import Buckets
from knotwalk.shared_state.escrow import Escrow, Taken
from knotwalk.shared_state.limit import Sharing, limit_of

SHARING = Sharing(window=5.0, overage=0.1, slack=20.0, cores=5)


@dataclass
class InForce:
    """A limit from `since` on."""

    since: float
    rate: float
    burst: float

    def most(self, sharing):
        """What the rule allows in a window."""
        return (self.rate * sharing.window + self.burst) * (1 + sharing.overage) + sharing.slack


class Counter:
    """What was let pass, by tenant; the rule is looked at for each window that ends with a request."""

    def __init__(self, sharing):
        self.sharing = sharing
        self.passed = defaultdict(list)
        self.in_force = defaultdict(list)

    def limited(self, now, tenant, rate, burst):
        self.in_force[tenant].append(InForce(now, rate, burst))

    def most(self, tenant, start, end):
        """The widest limit of a window: one that was lowered counts for a window more."""
        lines, found = self.in_force[tenant], []
        for line, following in zip(lines, [*lines[1:], None], strict=True):
            until = following.since + self.sharing.window if following else float("inf")
            if line.since <= end and until >= start:
                found.append(line.most(self.sharing) if line.rate else float("inf"))
        return max(found)

    def over(self, now, tenant):
        """By how much the window that ends now is over the rule; 0 or less is within it."""
        start = now - self.sharing.window
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
        wants = self.escrow.wants(self.world.now)
        self.call = (self.world.now, wants) if wants else None
        return bool(wants)

    def deliver(self, lost=False):
        """The leader answers the call; with `lost`, nobody hears it."""
        sent, wants = self.call
        self.call = None
        grants = self.world.leader.grant(self.world.now, self.id, wants)
        if not lost:
            self.escrow.granted(self.world.now, sent, grants)
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
        if taken is Taken.WAIT and calls:
            self.escrow.wait(now, tenant)
            while taken is Taken.WAIT and calls:
                if self.send():
                    self.deliver()
                taken = self.escrow.take_again(now, tenant)
                calls -= 1
            self.escrow.waited(tenant)
        if taken is Taken.GRANTED:
            self.escrow.reserve(tenant)
            self.reserved += 1
            if not open:
                self.resolve(tenant, True)
        elif taken is Taken.UNLIMITED:
            self.world.counter.passed[tenant].append(now)
        return taken


class World:
    """Five core machines, a leader, tenants with limits."""

    def __init__(self, sharing=SHARING, buckets=Buckets, escrow=Escrow, now=0.0):
        self.sharing, self.buckets, self.escrow, self.now = sharing, buckets, escrow, now
        self.counter = Counter(sharing)
        self.limits = {}
        self.leader = buckets(now, self.limit)
        self.cores = [Core(f"c{k}", self, escrow) for k in range(sharing.cores)]

    def limit(self, tenant):
        return self.limits.get(tenant)

    def set_limit(self, tenant, rate, burst):
        self.limits[tenant] = limit_of(rate, burst, self.sharing)
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
            left = [core for core in left if core.take(tenant) is Taken.GRANTED]
            most -= 1
        return len(self.counter.passed[tenant]) - before
