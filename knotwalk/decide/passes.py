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
        for slice in sorted(self.slices.values(), key=lambda s: -s.demand):
            for k, server in enumerate(slice.shares):
                # A cold server would fall over under its old slices: it sheds them if overloaded or of unknown demand.
                cold = self.is_cold(server) and (slice.demand_unknown or self.utilization(server) > 1)
                if server.state != "ready" or cold or any_healthy and server.health < 0.1:
                    if (target := self.evacuation_target(ready, slice)) is not server:
                        self.move(slice, k, target)
                        slice.urgent = True
            if not slice.shares:
                slice.shares.append(self.evacuation_target(ready, slice))
                slice.shares[0].load += slice.demand
                slice.shares[0].incoming_load += slice.demand
                slice.shares[0].load_shifts.append((self.now, slice.demand))
                slice.urgent = True
        if due := self.now >= self.next_pass:
            self.next_pass = self.now + self.PERIOD
        if self.avg_capacity and (due or self.now >= self.next_urgent and any(self.utilization(x) > 1 for x in ready)):
            self.next_urgent = self.now + self.URGENT
            self.split()
            mean = sum(x.load for x in ready) / max(1e-9, sum(x.capacity for x in ready))
            self.reassign(ready, min(1.0, (1 + mean) / 2) if due else 1.0, not due)

    def evacuation_target(self, ready: list[Server], slice: Slice) -> Server:
        """The server for a share that must move, even past capacity. Cold ones that it would overload come last, after
        failed ones: what a failed one is sent is lost, but an overloaded cold one falls over for good (rule 4)."""
        load = slice.demand / max(1, len(slice.shares))
        return min(ready, key=lambda x: (self.is_cold(x) and (slice.demand_unknown or self.utilization(x, load) > 1),
                                         x.health < 0.1, self.contended_utilization(x, load)))

    def split(self) -> None:
        """Split a slice hotter than half an average server into more shares, and merge them when it cools."""
        for slice in self.slices.values():
            need = 1 if self.one_line else min(len(self.ready_servers()), int(2 * slice.demand / self.avg_capacity) + 1)
            while len(slice.shares) < need:
                server = min((x for x in self.ready_servers() if x not in slice.shares), key=self.utilization)
                for x in slice.shares:
                    x.load -= slice.demand / len(slice.shares) / (len(slice.shares) + 1)
                slice.shares.append(server)
                server.load += slice.demand / len(slice.shares)
            if len(slice.shares) > 2 * need or need == 1 < len(slice.shares) and slice.demand < 0.3 * self.avg_capacity:
                for x in slice.shares:
                    x.load -= slice.demand / len(slice.shares)
                slice.shares = sorted(slice.shares, key=self.utilization)[:need]
                for x in slice.shares:
                    x.load += slice.demand / len(slice.shares)

    def reassign(self, ready: list[Server], threshold: float, urgent: bool) -> None:
        shares: dict[Server, list] = {}
        for slice in self.slices.values():
            for server in dict.fromkeys(slice.shares):
                shares.setdefault(server, []).append((slice.demand / len(slice.shares), slice))

        # A share stays until its new place was measured twice: each move empties its keys' caches.
        def can_move(load: float, slice: Slice, _: Server) -> bool:
            return (load > self.LIGHT * self.avg_capacity and not slice.demand_unknown
                    and self.now - slice.last_move_at > 2 * self.settle_time)

        # No more moves than one message carries beside unsent lines; a move is two lines at every proxy. Lines that
        # wait in the channel do not count: levels sent ahead of each pass would leave overloaded servers as they are.
        max_moves = (self.URGENT_PART * self.max_waiting / max(1, len(self.proxies)) - self.message_overhead
                     ) / 2 - sum(self.has_unsent_lines(s) for s in self.slices.values())
        pool = strip(ready, lambda x: shares.get(x, ()), threshold, attrgetter("id"), can_move)
        for slice, _, _ in place(pool, lambda s, _: (x for x in ready if x not in s.shares), self.contended_utilization,
                             lambda _, s, x, target: self.move(s, s.shares.index(x), target), max_moves):
            slice.urgent = slice.urgent or urgent

    LIGHT = 0.04    # of an average server: a lighter share is not worth two lines at every proxy and cold keys

    def move(self, slice: Slice, k: int, target: Server) -> None:
        source, load = slice.shares[k], slice.demand / len(slice.shares)
        source.load -= load
        target.load += load
        target.incoming_load += load
        source.last_move_at = target.last_move_at = slice.last_move_at = self.now
        source.load_shifts.append((self.now, -load))
        target.load_shifts.append((self.now, load))
        slice.shares[k] = target
