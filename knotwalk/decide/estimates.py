"""Estimates: demand by slice, load and capacity by server. Whatever moves or levels rest on is worked out here."""

from statistics import fmean

from knotwalk.decide.controller_state import ControllerState, Server
from knotwalk.placement.passes import fit


class Estimates(ControllerState):
    UNHEARD = 1e-6  # demand where nothing was heard of any slice: next to none, but it adds up
    WINDOW = 8.0    # seconds of demand: a slice of a few RPCs a second needs some twenty for a steady figure

    def measure(self) -> None:
        """Demand by slice, load and capacity by server, from the samples kept."""
        for s in self.slices.values():
            while s.samples and s.samples[0][0] < self.heard_at - self.WINDOW:
                s.samples.popleft()
            s.work = [0.0] * len(self.cost)
            over = max(self.period, min(self.WINDOW, self.heard_at - s.since))
            for x in s.samples:
                s.work[x[4]] += x[2] / over
            s.demand, s.unsure = sum(s.work), not any(s.work)
            recent = [x for x in s.samples if x[0] > self.heard_at - 0.5 * self.period]
            if recent:
                span, rpcs = max(x[1] for x in recent), sum(x[3] for x in recent)
                # A jump that chance does not explain counts at once.
                surely = sum(x[2] for x in recent) / max(span, 0.1) * max(0.0, 1 - 1.5 / max(1, rpcs) ** 0.5)
                if surely > s.demand:
                    s.work = [w * surely / s.demand for w in s.work]
                    s.demand = surely
        heard_of = [s.demand for s in self.slices.values() if s.since < float("inf")]
        # A slice just given is as the others are: at no demand, many would go to one and the same server.
        for s in self.slices.values():
            if s.since == float("inf") and self.heard_at < s.given_at + self.period:
                s.demand = fmean(heard_of or [self.UNHEARD])
        known = [s.demand for s in self.slices.values()]
        ready = self.ready()
        rpcs = [(x[2], x[3]) for s in self.slices.values() for x in s.samples]
        usual_cost = sum(work for work, _ in rpcs) / max(1, sum(n for _, n in rpcs))
        for server in self.servers.values():
            server.load = server.shut_out = server.coming = 0.0
        for s in self.slices.values():
            shut_out = sum(work * (1 - level) for work, level in zip(s.work, s.told_levels))
            for server in s.shares:
                server.load += s.demand / len(s.shares)
                server.shut_out += shut_out / len(s.shares)
        # Other controllers' slices load the servers too. Unheard, they count as ours and fill what ours
        # leave of an even load: a server is not idle because few of ours are there.
        others = sum(known) * (self.slices_all / max(1, len(known)) - 1)
        parts = [x.size * self.ramp(x) * x.proven for x in ready]
        even = (sum(known) + others) / max(1e-9, sum(parts))
        gaps = [max(0.0, even * part - x.load) for x, part in zip(ready, parts)]
        for server, gap in zip(ready, gaps):
            server.spread = gap * others / max(1e-9, sum(gaps))
            # Nor while slices change hands: a controller that was cut off hears loads it has no slices for.
            rates = [rate for _, rate in server.reports if rate is not None] if others else []
            settled = self.now - max(server.moved, self.taken_at) > self.settle
            while server.shifts and server.shifts[0][0] <= self.now - self.settle + self.period:
                server.shifts.popleft()
            # One that tells its rate need not settle: what came or left lately is not in its word yet.
            if server.reports and len(heard_of) > 0.5 * len(self.slices) and (
                    settled and not self.cold(server) or rates and self.now - self.taken_at > self.settle):
                # Only work let in and answered: what was pushed back kept no core busy.
                own = server.load - sum(load for _, load in server.shifts)
                done = max(0.0, own - server.shut_out) * self.answered(server)
                # What a server says it serves is all of its load, whoever sent it.
                told = fmean(rates) * usual_cost if rates else done + server.spread
                done = done if settled else min(done, told)
                other = max(0.0, told - done)
                used = fmean(used for used, _ in server.reports) * self.certain(server)
                # Next to idle by its word at a usual load is no word to go by: it would look huge.
                if used > self.IDLE * (done + other) / max(self.unit * server.size, 1e-9) or not self.unit:
                    server.uses.append((self.now, done, other, used))
                    server.empty = False
        # Capacity: demand over utilization, each summed over the samples, steadied by the fleet's figure.
        for server in self.servers.values():
            if server.reports:
                server.used, server.reported = fmean(used for used, _ in server.reports), self.now
                server.reports = []
        sums = [(x, sum(u[1] + u[2] for u in x.uses), sum(u[3] for u in x.uses)) for x in ready]
        used_all = sum(used * x.size for x, _, used in sums)
        self.average = sum(load for _, load, _ in sums) / used_all if used_all else 0.0     # per unit of size
        usual = used_all / max(1.0, sum(x.size * len(x.uses) for x in ready))
        for server, load, used in sums:
            weight = self.PRIOR * usual
            base = (load + weight * self.average * server.size) / (used + weight) if weight else 0.0
            if self.cold(server):
                base = min(base, self.average * server.size)
            server.whole = base * self.ramp(server)
            server.capacity = server.whole * server.health
            # Utilization beyond our slices is another controller's, a neighbour's, or a slow core's doing.
            # Where it is unheard of, our part is ours to fill: if each waited for the others none would.
            recent = [used * base - own for at, own, _, used in server.uses if at > self.now - self.RECENT]
            # One that came back empty is filled by the controller whose it is: for it, nobody else is there.
            theirs = server.whole * (1 - len(known) / max(1, self.slices_all))
            unheard = (0.0 if server.empty and server.ours else min(server.spread, theirs)
                       if not self.cold(server) else theirs if server.ours else server.whole)
            server.load += max(0.0, sum(recent) / len(recent)) if recent else unheard
        self.unit = self.average
        self.average *= sum(x.size for x in ready) / max(1, len(ready))                     # of a server

    IDLE = 0.2      # of the utilization that the fleet's figure expects: chance seldom shows so little

    RECENT = 6.0    # seconds of utilization that tell the load of now: less swings with every RPC
    PRIOR = 2.0     # samples that the fleet's figure counts for: a server's own outweigh it in a few periods

    @staticmethod
    def answered(server: Server) -> float:
        """The share of the last tries there that got a good answer."""
        tries = sum(m[2] for m in server.met)
        return sum(m[3] for m in server.met) / tries if tries else 1.0

    def certain(self, server: Server) -> float:
        """The part of its capacity that a cold server has for certain, which grows evenly."""
        age = min(1.0, (self.now - server.started) / self.cold_time) if server.started else 1.0
        return self.cold_share + (1 - self.cold_share) * age

    def cold(self, server: Server) -> bool:
        return self.certain(server) < 1

    def ramp(self, server: Server) -> float:
        """The part of its capacity that a cold server is given (rule 4): half of what is certain till its own
        word on what that is has come, since the estimate may be too high."""
        return self.certain(server) * (0.5 if server.empty and self.cold(server) else 1.0)

    fit = staticmethod(fit)
