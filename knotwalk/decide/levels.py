"""Levels: which part of each method's RPCs a slice's proxies let in, where servers cannot do all."""

from knotwalk.decide.controller_state import Server
from knotwalk.decide.estimates import Estimates


class Levels(Estimates):
    def let_in(self) -> None:
        """Where a server's answers come late or not at all, let in only what it can do, the dearest first.

        Guards against queues in which all is answered late. Each round of reports in which a server struggles
        lowers its quota, a share of its capacity: a queue drains only below it. Quotas ease off in steps."""
        shares, asked = {}, {server: [0.0] * len(self.cost) for server in self.servers.values()}
        for s in self.slices.values():
            for server in s.shares:
                for k, work in enumerate(s.work):
                    asked[server][k] += work / len(s.shares)
        self.way_time = self.on_the_way()
        for server in self.ready():
            if not self.struggles(server):
                server.quota = min(1.0, server.quota + (1 - self.TIGHTEN) / 2)
            elif sum(load for _, load in server.shifts) >= 0:   # one just relieved tells of before the move
                server.quota = max(self.LEAST_QUOTA, server.quota * self.TIGHTEN)
            over = server.quota < 1 and self.fit(server) > server.quota
            room = server.capacity * server.quota * sum(asked[server]) / max(server.load, 1e-9)
            shares[server] = [1.0] * len(self.cost)
            for k in self.order if over else ():
                if work := asked[server][k]:
                    shares[server][k] = max(self.LEAST, min(1.0, room / work))
                room = max(0.0, room - work)
        # A tenth is within the noise of the estimates; a fifth where not all levels fit the channel at once.
        step = 0.09 if len(self.slices) * len(self.cost) * len(self.proxies) < self.waiting_most else 0.19
        for s in self.slices.values():
            for k, old in enumerate(s.levels):
                new = sum(shares[x][k] for x in s.shares if x in shares) / len(s.shares) if s.shares else 1.0
                if new > 0.99 or abs(new - old) > step:
                    s.levels[k] = min(1.0, new)
                    s.urgent = s.urgent or new < old    # a queue that builds up can't wait its turn

    def on_the_way(self) -> dict[tuple, float]:
        """By zones of proxies and servers: by how much answers are later than at the best zone of proxies."""
        met = [(m[1], x.zone, m[3], m[4]) for x in self.ready() for m in x.met]
        times = {}
        for pair in dict.fromkeys(m[:2] for m in met):
            if (good := sum(m[2] for m in met if m[:2] == pair)) >= 20:     # of the way, not of a server
                times[pair] = sum(m[3] for m in met if m[:2] == pair) / good
        return {pair: time - min(times[q] for q in times if q[1] == pair[1]) for pair, time in times.items()}

    def struggles(self, server: Server) -> bool:
        """Whether what proxies met bears out that a server is overfull: estimates alone close no door."""
        # Only the last reports: to count again what was met before the quota fell closes the door twice.
        last = [m for m in server.met if m[0] > self.now - 0.5 * self.period]
        good = sum(m[3] for m in last)
        seconds = sum(m[4] - m[3] * self.way_time.get((m[1], server.zone), 0.0) for m in last)
        return seconds > good * self.slow or server.used > 0.8 and self.answered(server) < 0.8

    TIGHTEN = 0.6       # the steps of a quota: to a third in two rounds, back in four
    LEAST_QUOTA = 0.3
    LEAST = 0.05    # enough to go on hearing how a method fares
