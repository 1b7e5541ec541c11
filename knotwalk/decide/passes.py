"""Passes: which servers hold the shares of each slice. The mechanism of the paper; see knotwalk/placement/passes.py."""

from operator import attrgetter

from knotwalk.decide.controller_state import Server, Slice
from knotwalk.decide.sending import Sending
from knotwalk.placement.passes import place, strip


class Passes(Sending):
    URGENT = 1.9    # seconds at least between them, for a move to show; under 2, as reports often come

    def room(self, server: Server, load: float) -> float:
        """The same of one that is to take a load. Where it is another controller's, each of the others may
        see the same room in the same instant, and send what we send and have just sent."""
        like = 1.0 if server.ours else self.slices_all / max(1, len(self.slices))
        return self.fit(server, load * like + server.coming * (like - 1))

    def place(self) -> None:
        """Strip and place shares, by the paper's ReassignVS, when a pass is due."""
        if not (ready := self.ready()):
            return
        others_fare = any(x.health >= 0.5 for x in ready)
        # Shares of gone, draining or failed servers move first, even past capacity.
        for s in sorted(self.slices.values(), key=lambda s: -s.demand):
            for k, server in enumerate(s.shares):
                # A cold server under its old slices would fall over: it sheds these and any not heard of.
                cold = self.cold(server) and (s.unsure or self.fit(server) > 1)
                if server.state != "ready" or cold or others_fare and server.health < 0.1:
                    if (target := self.refuge(ready, s)) is not server:
                        self.move(s, k, target)
                        s.urgent = True
            if not s.shares:
                s.shares.append(self.refuge(ready, s))
                s.shares[0].load += s.demand
                s.shares[0].coming += s.demand
                s.shares[0].shifts.append((self.now, s.demand))
                s.urgent = True
        if due := self.now >= self.next_pass:
            self.next_pass = self.now + self.PERIOD
        if self.average and (due or self.now >= self.next_urgent and any(self.fit(x) > 1 for x in ready)):
            self.next_urgent = self.now + self.URGENT
            self.split()
            mean = sum(x.load for x in ready) / max(1e-9, sum(x.capacity for x in ready))
            self.reassign(ready, min(1.0, (1 + mean) / 2) if due else 1.0, not due)

    def refuge(self, ready: list[Server], s: Slice) -> Server:
        """Where a share goes that must leave, even past capacity, but not that of a cold or failed server.
        Cold ones come last: what a failed one is sent is lost, what falls over stays down (rule 4)."""
        load = s.demand / max(1, len(s.shares))
        return min(ready, key=lambda x: (self.cold(x) and (s.unsure or self.fit(x, load) > 1),
                                         x.health < 0.1, self.room(x, load)))

    def split(self) -> None:
        """Split a slice hotter than half an average server into more shares, and merge them when it cools."""
        for s in self.slices.values():
            need = 1 if self.one_owner else min(len(self.ready()), int(2 * s.demand / self.average) + 1)
            while len(s.shares) < need:
                server = min((x for x in self.ready() if x not in s.shares), key=self.fit)
                for x in s.shares:
                    x.load -= s.demand / len(s.shares) / (len(s.shares) + 1)
                s.shares.append(server)
                server.load += s.demand / len(s.shares)
            if len(s.shares) > 2 * need or need == 1 < len(s.shares) and s.demand < 0.3 * self.average:
                for x in s.shares:
                    x.load -= s.demand / len(s.shares)
                s.shares = sorted(s.shares, key=self.fit)[:need]
                for x in s.shares:
                    x.load += s.demand / len(s.shares)

    def reassign(self, ready: list[Server], threshold: float, urgent: bool) -> None:
        held: dict[Server, list] = {}
        for s in self.slices.values():
            for server in dict.fromkeys(s.shares):
                held.setdefault(server, []).append((s.demand / len(s.shares), s))

        # A share stays till its new place was measured twice: each move leaves its keys cold.
        def may_go(load: float, s: Slice, _: Server) -> bool:
            return load > self.LIGHT * self.average and not s.unsure and self.now - s.moved > 2 * self.settle

        # No more than a message carries beside what is untold. What waits just now is no matter: levels told
        # ahead of each pass would leave overfull servers full. A move is two lines at every proxy.
        most = (self.URGENT_PART * self.waiting_most / max(1, len(self.proxies)) - self.head) / 2 - sum(
            self.untold(s) for s in self.slices.values())
        pool = strip(ready, lambda x: held.get(x, ()), threshold, attrgetter("id"), may_go)
        for s, _, _ in place(pool, lambda s, _: (x for x in ready if x not in s.shares), self.room,
                             lambda _, s, x, target: self.move(s, s.shares.index(x), target), most):
            s.urgent = s.urgent or urgent

    LIGHT = 0.04    # of an average server: less is not worth two lines at every proxy, and keys gone cold

    def move(self, s: Slice, k: int, target: Server) -> None:
        source, load = s.shares[k], s.demand / len(s.shares)
        source.load -= load
        target.load += load
        target.coming += load
        source.moved = target.moved = s.moved = self.now
        source.shifts.append((self.now, -load))
        target.shifts.append((self.now, load))
        s.shares[k] = target
