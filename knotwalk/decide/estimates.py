"""Estimates on which moves and admission levels rest: demand by slice, load and capacity by server."""

from statistics import fmean

from knotwalk.decide.controller_state import ControllerState, Server
from knotwalk.placement.passes import utilization


class Estimates(ControllerState):
    UNHEARD = 1e-6  # demand of a slice where no demand has been reported at all: negligible, but it adds up
    WINDOW = 8.0    # seconds of demand: a slice of a few RPCs a second needs some twenty for a steady estimate

    def update_estimates(self) -> None:
        """Estimate demand, load and capacity from the samples kept."""
        for slice in self.slices.values():
            while slice.samples and slice.samples[0][0] < self.demand_reported_at - self.WINDOW:
                slice.samples.popleft()
            slice.method_demand = [0.0] * len(self.rpc_costs)
            seconds = max(self.report_period, min(self.WINDOW, self.demand_reported_at - slice.demand_since))
            for x in slice.samples:
                slice.method_demand[x[4]] += x[2] / seconds
            slice.demand, slice.demand_unknown = sum(slice.method_demand), not any(slice.method_demand)
            recent = [x for x in slice.samples if x[0] > self.demand_reported_at - 0.5 * self.report_period]
            if recent:
                span, rpcs = max(x[1] for x in recent), sum(x[3] for x in recent)
                # A jump too large to be chance counts at once.
                certain = sum(x[2] for x in recent) / max(span, 0.1) * max(0.0, 1 - 1.5 / max(1, rpcs) ** 0.5)
                if certain > slice.demand:
                    slice.method_demand = [w * certain / slice.demand for w in slice.method_demand]
                    slice.demand = certain
        reported = [s.demand for s in self.slices.values() if s.demand_since < float("inf")]
        # A slice just given counts as the mean of the others: at no demand, many would go to the same server.
        for slice in self.slices.values():
            if slice.demand_since == float("inf") and self.demand_reported_at < slice.given_at + self.report_period:
                slice.demand = fmean(reported or [self.UNHEARD])
        known = [s.demand for s in self.slices.values()]
        ready = self.ready_servers()
        rpcs = [(x[2], x[3]) for s in self.slices.values() for x in s.samples]
        mean_cost = sum(work for work, _ in rpcs) / max(1, sum(n for _, n in rpcs))
        for server in self.servers.values():
            server.load = server.rejected_load = server.incoming_load = 0.0
        for slice in self.slices.values():
            rejected = sum(work * (1 - level) for work, level in zip(slice.method_demand, slice.sent_levels))
            for server in slice.shares:
                server.load += slice.demand / len(slice.shares)
                server.rejected_load += rejected / len(slice.shares)
        # Other controllers' slices load the servers too. Until reported, they count as ours do on average and fill
        # up what ours leave of an even load: a server with few of our slices is not idle for that.
        others = sum(known) * (self.total_slices / max(1, len(known)) - 1)
        parts = [x.size * self.ramp_share(x) * x.proven for x in ready]
        even = (sum(known) + others) / max(1e-9, sum(parts))
        gaps = [max(0.0, even * part - x.load) for x, part in zip(ready, parts)]
        for server, gap in zip(ready, gaps):
            server.others_load = gap * others / max(1e-9, sum(gaps))
            rates = [rate for _, rate in server.reports if rate is not None] if others else []
            # Reports soon after a move, or after slices were taken, do not count: they tell of load that is not ours.
            settled = self.now - max(server.last_move_at, self.last_taken_at) > self.settle_time
            while server.load_shifts and server.load_shifts[0][0] <= self.now - self.settle_time + self.report_period:
                server.load_shifts.popleft()
            # A report with a rate counts in spite of recent moves: their load, not yet in it, is deducted.
            if server.reports and len(reported) > 0.5 * len(self.slices) and (
                    settled and not self.is_cold(server) or rates and self.now - self.last_taken_at > self.settle_time):
                # Only work admitted and answered: what was rejected kept no core busy.
                own = server.load - sum(load for _, load in server.load_shifts)
                done = max(0.0, own - server.rejected_load) * self.success_rate(server)
                # The rate that a server reports is all of its load, whoever sent it.
                total = fmean(rates) * mean_cost if rates else done + server.others_load
                done = done if settled else min(done, total)
                other = max(0.0, total - done)
                used = fmean(used for used, _ in server.reports) * self.warm_share(server)
                # A near-idle report at a usual load is ignored: the server would look huge.
                if (used > self.IDLE * (done + other) / max(self.unit_capacity * server.size, 1e-9)
                        or not self.unit_capacity):
                    server.usage_samples.append((self.now, done, other, used))
                    server.unmeasured = False
        for server in self.servers.values():
            if server.reports:
                server.reported_use, server.reported_at = fmean(used for used, _ in server.reports), self.now
                server.reports = []
        # Capacity: demand over utilization, each summed over the samples and blended with the fleet's average.
        sums = [(x, sum(u[1] + u[2] for u in x.usage_samples), sum(u[3] for u in x.usage_samples)) for x in ready]
        used_all = sum(used * x.size for x, _, used in sums)
        self.avg_capacity = sum(load for _, load, _ in sums) / used_all if used_all else 0.0    # of size 1
        mean_used = used_all / max(1.0, sum(x.size * len(x.usage_samples) for x in ready))
        for server, load, used in sums:
            weight = self.PRIOR * mean_used
            base = (load + weight * self.avg_capacity * server.size) / (used + weight) if weight else 0.0
            if self.is_cold(server):
                base = min(base, self.avg_capacity * server.size)
            server.full_capacity = base * self.ramp_share(server)
            server.capacity = server.full_capacity * server.health
            # Utilization that our slices do not explain comes from another controller, a neighbour or a slow core.
            # Where none is reported, our part is ours to fill: if each controller waited for the others, none would.
            recent = [used * base - own for time, own, _, used in server.usage_samples if time > self.now - self.RECENT]
            # A restarted server is filled by the controller that owns it, which assumes no other load there.
            theirs = server.full_capacity * (1 - len(known) / max(1, self.total_slices))
            unreported = (0.0 if server.unmeasured and server.owned else min(server.others_load, theirs)
                          if not self.is_cold(server) else theirs if server.owned else server.full_capacity)
            server.load += max(0.0, sum(recent) / len(recent)) if recent else unreported
        self.unit_capacity = self.avg_capacity
        self.avg_capacity *= sum(x.size for x in ready) / max(1, len(ready))    # of a server of mean size

    IDLE = 0.2      # of the utilization expected from the average capacity: chance seldom shows so little

    RECENT = 6.0    # seconds of utilization that make up the current load: less varies with every RPC
    PRIOR = 2.0     # samples that the fleet's average counts for: a server's own outweigh it in a few periods

    @staticmethod
    def success_rate(server: Server) -> float:
        """The share of the last tries there that got a good answer."""
        tries = sum(m[2] for m in server.outcomes)
        return sum(m[3] for m in server.outcomes) / tries if tries else 1.0

    def warm_share(self, server: Server) -> float:
        """The part of its capacity that a cold server is certain to have; it grows linearly (rule 4)."""
        age = min(1.0, (self.now - server.started) / self.cold_time) if server.started else 1.0
        return self.cold_share + (1 - self.cold_share) * age

    def is_cold(self, server: Server) -> bool:
        return self.warm_share(server) < 1

    def ramp_share(self, server: Server) -> float:
        """The part of its capacity that a server is given (rule 4): half if cold and unmeasured: it may be slower."""
        return self.warm_share(server) * (0.5 if server.unmeasured and self.is_cold(server) else 1.0)

    utilization = staticmethod(utilization)
