"""Health: the share of its capacity that a server is trusted with, from what proxies' tries there came to."""

from knotwalk.decide.controller_state import ControllerState, Server


class Health(ControllerState):
    def update_health(self) -> None:
        """Lower the health of servers that answer badly, by proxies' tries and not by the servers' own reports.

        Guards against servers that are slow, silent or fail fast, whatever the cause. The best zone's results count:
        where a server does badly from one zone only, the network is cut. If most servers do badly, none is blamed."""
        ready = self.ready_servers()
        for server in ready if self.now - self.first_slice_at < self.settle_time else ():
            server.outcomes.clear()
        views = {x: self.recent_success(x) for x in ready}
        known = sorted(view[1] for view in views.values() if view)
        usual, best = (known[len(known) // 2], known[3 * len(known) // 4]) if known else (1.0, 1.0)
        # A zone whose servers hardly answer and whose own proxies do not report is cut off, not dead: its proxies
        # may be served there, and slices moved away for that would overfill the rest when the cut ends.
        latest = max((m[0] for x in ready for m in x.outcomes), default=0.0) - 0.5 * self.report_period
        last = [(x.zone, *m[1:4]) for x in ready for m in x.outcomes if m[0] > latest]
        cut = {z for z in {f[0] for f in last} - {f[1] for f in last} if sum(f[0] == z for f in last) > 2
               and sum(f[3] for f in last if f[0] == z) < 0.1 * sum(f[2] for f in last if f[0] == z)}
        for server in ready:
            answered, good = views[server] or (1.0, 1.0)
            # The list may be wrong: it is believed of dropped servers that do not answer, and of added ones that do.
            if server.delisted and views[server] and answered < 0.1:
                server.state, server.leaving_since, server.delisted = "gone", self.now, False
            server.proven = server.proven or any(m[3] for m in server.outcomes)
            # A server that reports to be busy is full or slow: its capacity estimate falls with what it answers, and
            # passes relieve it as others get room. To empty it at once would only move the queue elsewhere.
            spared = server.zone in cut or (
                server.reported_use > 0.8 and self.now - server.reported_at <= 2 * self.report_period)
            if not spared and (good < 0.4 * usual and usual > 0.7 or answered < 0.1 and best > 0.5):
                server.health = max(0.02, server.health * max(0.25, good)) if answered >= 0.1 else 0.05
                server.health_changed_at = self.now
                server.outcomes.clear()     # so that each try counts against it once
            elif server.proven and good > 0.6 * usual and self.now - server.health_changed_at > self.RETRIAL:
                server.health, server.health_changed_at = min(1.0, 4 * server.health), self.now

    def recent_success(self, server: Server) -> tuple[float, float] | None:
        """The share of recent tries that were answered, and that share reduced where mean latency is too long: of the
        best zone of proxies. None under six tries, since chance alone seldom spoils four of six."""
        while server.outcomes and server.outcomes[0][0] < self.now - 2.5 * self.report_period:
            server.outcomes.popleft()
        views = []
        for zone in sorted({m[1] for m in server.outcomes}):
            of_zone = [m for m in server.outcomes if m[1] == zone]
            tries, good, seconds = (sum(m[k] for m in of_zone) for k in (2, 3, 4))
            if tries >= 3:
                in_time = min(1.0, self.late_mean * good / seconds) if seconds else 1.0
                views.append((good / tries, good / tries * in_time))
        return max(views) if views and sum(m[2] for m in server.outcomes) >= 6 else None

    RETRIAL = 4.0   # seconds between rises of health, fourfold each: from the lowest it is back in 8 to 12 s
