"""Limits of tenants under a storm, kills, cuts and rejoins: `python -m benchmarks.allowance [--quick]`.

The buckets and holdings as they are, without a wire: calls take some ms and may be lost, the leader is replaced, core
machines are cut off and replaced. One tenant sends five times its limit, the others keep to theirs. The last line is a
JSON object: `over` (windows beyond the rule), `refused_wrongly` (refused below the limit, by a bucket of its own),
`waited_for_a_leader` (below the limit, and no leader in time), `overshoot_over_bound` (the worst window's requests
beyond rate and burst, as a part of what the rule allows beyond them), `served_of_owed` (of the tenant with the storm).
"""

from __future__ import annotations

import json
import random
import sys
from dataclasses import dataclass, field

from knotwalk.shared_state.escrow import TakeResult
from tests.system.quota_world import Core, World

STEP = 0.005  # seconds
CALL = 0.005  # seconds from a call's begin to its answer
PATIENCE = 0.03  # seconds that a request waits for a call
BEGIN = 100.0  # seconds that the leader has led for
RATES = {"storm": 20.0, "small": 0.7, "few": 3.0, "usual": 20.0, "large": 160.0}
STORM = 5.0  # of its limit
USUAL = 0.6  # of their limits


@dataclass
class Owed:
    """A tenant's own bucket: what is owed to it, in order of sending."""

    rate: float
    level: float = 0.0
    owed: int = 0

    def sent(self) -> bool:
        """One more request is sent; whether it is owed."""
        if self.level < 1:
            return False
        self.level -= 1
        self.owed += 1
        return True


@dataclass
class Waiting:
    """A request that waits for a call, and whether it is owed."""

    tenant: str
    until: float
    owed: bool


@dataclass
class Play:
    """One play of some seconds with one seed."""

    seed: int
    seconds: float
    found: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.chance = random.Random(self.seed)
        self.world = World()
        for tenant, rate in RATES.items():
            self.world.set_limit(tenant, rate, max(1.0, rate))
        self.world.now = BEGIN
        self.owed = {tenant: Owed(rate, max(1.0, rate)) for tenant, rate in RATES.items()}
        self.cut: dict[str, float] = {}  # until when, by core
        self.leaderless = 0.0
        self.waiting: dict[str, list[Waiting]] = {core.id: [] for core in self.world.cores}
        self.found = dict.fromkeys(
            ("requests", "over", "refused_wrongly", "waited_for_a_leader", "overshoot_over_bound"), 0
        )

    def run(self) -> dict[str, float]:
        """Play it; what was found."""
        world = self.world
        while world.now < BEGIN + self.seconds:
            world.now += STEP
            self.trouble()
            for core in world.cores:
                self.calls(core)
            for tenant, rate in RATES.items():
                own = self.owed[tenant]
                own.level = min(max(1.0, rate), own.level + rate * STEP)
                share = STORM if tenant == "storm" else USUAL
                for _ in range(self.arrivals(rate * share * STEP)):
                    self.request(tenant)
                self.look(tenant)
        served = len(world.counter.passed["storm"]) / max(1, self.owed["storm"].owed)
        return self.found | {"served_of_owed": served}

    def arrivals(self, mean: float) -> int:
        """How many requests come in a step."""
        return sum(self.chance.random() < mean / 4 for _ in range(4))

    def trouble(self) -> None:
        """A new leader each ten seconds or so, a core replaced each ten, cut off each five."""
        world, chance = self.world, self.chance
        if chance.random() < STEP / 10:
            world.replace_leader()
            self.leaderless = world.now + 1.0
        if chance.random() < STEP / 10:
            k = chance.randrange(len(world.cores))
            world.replace_core(k)
            self.waiting[world.cores[k].id] = []
        if chance.random() < STEP / 5:
            self.cut[chance.choice(world.cores).id] = world.now + chance.uniform(0.5, 4.0)

    def calls(self, core: Core) -> None:
        """Begin and end a core's calls, and serve those who wait there."""
        now = self.world.now
        if core.call is not None and now >= core.call[0] + CALL:
            if now < max(self.cut.get(core.id, 0.0), self.leaderless):
                core.call = None
                core.escrow.schedule_retry(now, False)
            else:
                grants = core.deliver()
                core.escrow.schedule_retry(now, any(grant.granted for grant in grants))
        if core.call is None and core.escrow.due_at <= now:
            core.send()
        left = []
        for one in self.waiting[core.id]:
            taken = core.escrow.retry_take(now, one.tenant)
            if taken is TakeResult.WAIT and now < one.until:
                left.append(one)
                continue
            core.escrow.stop_waiting(one.tenant)
            self.ended(one.tenant, taken, one.owed)
        self.waiting[core.id] = left

    def request(self, tenant: str) -> None:
        """A request comes to any core."""
        core, now = self.chance.choice(self.world.cores), self.world.now
        owed = self.owed[tenant].sent()
        self.found["requests"] += 1
        taken = core.escrow.take(now, tenant)
        if taken is TakeResult.WAIT:
            core.escrow.start_waiting(now, tenant)
            self.waiting[core.id].append(Waiting(tenant, now + PATIENCE, owed))
        else:
            self.ended(tenant, taken, owed)

    def ended(self, tenant: str, taken: TakeResult, owed: bool) -> None:
        """A request's word is known."""
        if taken is TakeResult.GRANTED:
            self.world.counter.passed[tenant].append(self.world.now)
        elif owed and tenant != "storm":
            self.found["waited_for_a_leader" if taken is TakeResult.WAIT else "refused_wrongly"] += 1

    def look(self, tenant: str) -> None:
        """The window that ends now against the rule."""
        counter, now = self.world.counter, self.world.now
        over, most = counter.excess(now, tenant), counter.max_allowed(tenant, now, now)
        allowed = RATES[tenant] * counter.quota_bounds.window + max(1.0, RATES[tenant])
        self.found["over"] += over > 0
        ratio = (over + most - allowed) / (most - allowed)
        self.found["overshoot_over_bound"] = max(self.found["overshoot_over_bound"], ratio)


def main(quick: bool) -> dict[str, float]:
    """All plays; sums, and the worst of what is a ratio."""
    seeds, seconds = (4, 30.0) if quick else (40, 60.0)
    total: dict[str, float] = {}
    for seed in range(seeds):
        for name, value in Play(seed, seconds).run().items():
            if name == "overshoot_over_bound":
                total[name] = max(total.get(name, 0.0), value)
            elif name == "served_of_owed":
                total[name] = min(total.get(name, value), value)
            else:
                total[name] = total.get(name, 0) + value
    return {name: round(value, 3) for name, value in total.items()}


if __name__ == "__main__":
    print(json.dumps(main("--quick" in sys.argv[1:])))
