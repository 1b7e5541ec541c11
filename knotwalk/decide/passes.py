"""Passes: which servers hold the shares of each slice. The mechanism of the paper; see knotwalk/placement/passes.py."""

from operator import attrgetter

from knotwalk.decide.controller_state import Server, Slice
from knotwalk.decide.sending import Sending
from knotwalk.placement.passes import place, strip


class Passes(Sending):
    URGENT = 1.9    # minimum seconds between urgent passes, for a move to show; reports often come every 2 s

    def contended_utilization(self, server: Server, load: float) -> float:
        """The utilization with a further load, if each controller that does not own the server moves as much there."""
        senders = 1.0 if server.owned else self.total_slices / max(1, len(self.slices))
        return self.utilization(server, load * senders + server.incoming_load * (senders - 1))

    def place_shares(self) -> None:
        """Move shares off servers that must be left; strip and place shares (the paper's ReassignVS) in a due pass."""
        if not (ready := self.ready_servers()):
            return
        any_healthy = any(x.health >= 0.5 for x in ready)
        # Shares of gone, draining or failed servers move first, even past capacity.
        for s in sorted(self.slices.values(), key=lambda s: -s.demand):
            for k, server in enumerate(s.shares):
                # A cold server would fall over under its old slices: it sheds them if overloaded or of unknown demand.
                cold = self.is_cold(server) and (s.demand_unknown or self.utilization(server) > 1)
                if server.state != "ready" or cold or any_healthy and server.health < 0.1:
                    if (target := self.evacuation_target(ready, s)) is not server:
                        self.move(s, k, target)
                        s.urgent = True
            if not s.shares:
                s.shares.append(self.evacuation_target(ready, s))
                s.shares[0].load += s.demand
                s.shares[0].incoming_load += s.demand
                s.shares[0].load_shifts.append((self.now, s.demand))
                s.urgent = True
        if due := self.now >= self.next_pass:
            self.next_pass = self.now + self.PERIOD
        if self.mean_capacity and (due or self.now >= self.next_urgent and any(self.utilization(x) > 1 for x in ready)):
            self.next_urgent = self.now + self.URGENT
            self.split()
            mean = sum(x.load for x in ready) / max(1e-9, sum(x.capacity for x in ready))
            self.reassign(ready, min(1.0, (1 + mean) / 2) if due else 1.0, not due)

    def evacuation_target(self, ready: list[Server], s: Slice) -> Server:
        """The server for a share that must move, even past capacity. Cold ones that it would overload come last, after
        failed ones: what a failed one is sent is lost, but an overloaded cold one falls over for good (rule 4)."""
        load = s.demand / max(1, len(s.shares))
        return min(ready, key=lambda x: (self.is_cold(x) and (s.demand_unknown or self.utilization(x, load) > 1),
                                         x.health < 0.1, self.contended_utilization(x, load)))

    def split(self) -> None:
        """Split a slice hotter than half an average server into more shares, and merge them when it cools."""
        for s in self.slices.values():
            need = 1 if self.one_owner else min(len(self.ready_servers()), int(2 * s.demand / self.mean_capacity) + 1)
            while len(s.shares) < need:
                server = min((x for x in self.ready_servers() if x not in s.shares), key=self.utilization)
                for x in s.shares:
                    x.load -= s.demand / len(s.shares) / (len(s.shares) + 1)
                s.shares.append(server)
                server.load += s.demand / len(s.shares)
            if len(s.shares) > 2 * need or need == 1 < len(s.shares) and s.demand < 0.3 * self.mean_capacity:
                for x in s.shares:
                    x.load -= s.demand / len(s.shares)
                s.shares = sorted(s.shares, key=self.utilization)[:need]
                for x in s.shares:
                    x.load += s.demand / len(s.shares)

    def reassign(self, ready: list[Server], threshold: float, urgent: bool) -> None:
        shares: dict[Server, list] = {}
        for s in self.slices.values():
            for server in dict.fromkeys(s.shares):
                shares.setdefault(server, []).append((s.demand / len(s.shares), s))

        # A share stays until its new place was measured twice: each move empties its keys' caches.
        def can_move(load: float, s: Slice, _: Server) -> bool:
            return (load > self.LIGHT * self.mean_capacity and not s.demand_unknown
                    and self.now - s.last_move_at > 2 * self.settle_time)

        # No more moves than one message carries beside unsent lines; a move is two lines at every proxy. Lines that
        # wait in the channel do not count: levels sent ahead of each pass would leave overloaded servers as they are.
        max_moves = (self.URGENT_PART * self.max_waiting / max(1, len(self.proxies)) - self.message_overhead
                     ) / 2 - sum(self.has_unsent_lines(s) for s in self.slices.values())
        pool = strip(ready, lambda x: shares.get(x, ()), threshold, attrgetter("id"), can_move)
        for s, _, _ in place(pool, lambda s, _: (x for x in ready if x not in s.shares), self.contended_utilization,
                             lambda _, s, x, target: self.move(s, s.shares.index(x), target), max_moves):
            s.urgent = s.urgent or urgent

    LIGHT = 0.04    # of an average server: a lighter share is not worth two lines at every proxy and cold keys

    def move(self, s: Slice, k: int, target: Server) -> None:
        source, load = s.shares[k], s.demand / len(s.shares)
        source.load -= load
        target.load += load
        target.incoming_load += load
        source.last_move_at = target.last_move_at = s.last_move_at = self.now
        source.load_shifts.append((self.now, -load))
        target.load_shifts.append((self.now, load))
        s.shares[k] = target
