"""Admission levels: the share of each method's RPCs that a slice's proxies admit where servers cannot serve all."""

from knotwalk.decide.controller_state import Server
from knotwalk.decide.estimates import Estimates


class Levels(Estimates):
    def update_levels(self) -> None:
        """Where a server answers late or not at all, admit only what it can do, by criticality per unit of work.

        Guards against queues in which every answer is late. Each round of reports in which a server is overloaded
        lowers its quota, a share of its capacity, since a queue drains only below capacity. Quotas rise in steps."""
        parts, demand = {}, {server: [0.0] * len(self.rpc_costs) for server in self.servers.values()}
        for slice in self.slices.values():
            for server in slice.shares:
                for k, work in enumerate(slice.method_demand):
                    demand[server][k] += work / len(slice.shares)
        self.zone_delays = self.measure_zone_delays()
        for server in self.ready_servers():
            if not self.is_overloaded(server):
                server.quota = min(1.0, server.quota + (1 - self.TIGHTEN) / 2)
            elif sum(load for _, load in server.load_shifts) >= 0:  # just relieved, its reports predate the move
                server.quota = max(self.LEAST_QUOTA, server.quota * self.TIGHTEN)
            limited = server.quota < 1 and self.utilization(server) > server.quota
            budget = server.capacity * server.quota * sum(demand[server]) / max(server.load, 1e-9)
            parts[server] = [1.0] * len(self.rpc_costs)
            for k in self.method_order if limited else ():
                if work := demand[server][k]:
                    parts[server][k] = max(self.LEAST, min(1.0, budget / work))
                budget = max(0.0, budget - work)
        # A change of a tenth is within the estimates' noise; a fifth where the channel cannot take all levels at once.
        step = 0.09 if len(self.slices) * len(self.rpc_costs) * len(self.proxies) < self.max_waiting else 0.19
        for slice in self.slices.values():
            for k, old in enumerate(slice.levels):
                new = sum(parts[x][k] for x in slice.shares if x in parts) / len(slice.shares) if slice.shares else 1.0
                if new > 0.99 or abs(new - old) > step:
                    slice.levels[k] = min(1.0, new)
                    slice.urgent = slice.urgent or new < old    # a growing queue cannot wait for an ordinary message

    def measure_zone_delays(self) -> dict[tuple, float]:
        """By (proxies' zone, server's zone): the extra latency over the proxies' zone that is answered fastest."""
        results = [(m[1], x.zone, m[3], m[4]) for x in self.ready_servers() for m in x.outcomes]
        times = {}
        for pair in dict.fromkeys(m[:2] for m in results):
            if (good := sum(m[2] for m in results if m[:2] == pair)) >= 20:     # else one server may cause it
                times[pair] = sum(m[3] for m in results if m[:2] == pair) / good
        return {pair: time - min(times[q] for q in times if q[1] == pair[1]) for pair, time in times.items()}

    def is_overloaded(self, server: Server) -> bool:
        """Whether proxies' tries confirm that a server is overloaded: estimates alone reject nothing."""
        # Only the last reports: those from before the quota fell would lower it twice.
        last = [m for m in server.outcomes if m[0] > self.now - 0.5 * self.report_period]
        good = sum(m[3] for m in last)
        seconds = sum(m[4] - m[3] * self.zone_delays.get((m[1], server.zone), 0.0) for m in last)
        return seconds > good * self.slow_mean or server.reported_use > 0.8 and self.success_rate(server) < 0.8

    TIGHTEN = 0.6       # factor by which a quota falls: to a third in two rounds, back in four
    LEAST_QUOTA = 0.3
    LEAST = 0.05    # the lowest level: enough to go on measuring a method
