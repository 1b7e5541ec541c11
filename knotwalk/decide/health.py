"""Health: how far a server is trusted, by what proxies met there."""

from knotwalk.decide.controller_state import ControllerState, Server


class Health(ControllerState):
    def judge(self) -> None:
        """Lower the trust in servers that answer badly, from what proxies met and not from reports.

        Guards against servers slow, silent or failing fast, whatever the cause. The best zone's word counts:
        where one zone alone fares badly the way there is cut. If most do, the trouble is not theirs."""
        ready = self.ready()
        for server in ready if self.now - self.back < self.settle else ():
            server.met.clear()
        views = {x: self.view(x) for x in ready}
        known = sorted(view[1] for view in views.values() if view)
        usual, best = (known[len(known) // 2], known[3 * len(known) // 4]) if known else (1.0, 1.0)
        # A zone whose servers hardly answer, and whose proxies are not heard, is cut off, not dead: its own
        # proxies may be served there, and slices moved off for that overfill the rest when the cut ends.
        latest = max((m[0] for x in ready for m in x.met), default=0.0) - 0.5 * self.period
        last = [(x.zone, *m[1:4]) for x in ready for m in x.met if m[0] > latest]
        cut = {z for z in {f[0] for f in last} - {f[1] for f in last} if sum(f[0] == z for f in last) > 2
               and sum(f[3] for f in last if f[0] == z) < 0.1 * sum(f[2] for f in last if f[0] == z)}
        for server in ready:
            answered, good = views[server] or (1.0, 1.0)
            # A list that lies is believed of those left out that do not answer and those added that do.
            if server.dropped and views[server] and answered < 0.1:
                server.state, server.left_at, server.dropped = "gone", self.now, False
            server.proven = server.proven or any(m[3] for m in server.met)
            # A server that says it is busy is full or slow: its estimate falls with what it answers, and the
            # passes relieve it as others have room. To leave it at once would only pass the queue on.
            spared = server.zone in cut or server.used > 0.8 and self.now - server.reported <= 2 * self.period
            if not spared and (good < 0.4 * usual and usual > 0.7 or answered < 0.1 and best > 0.5):
                server.health = max(0.02, server.health * max(0.25, good)) if answered >= 0.1 else 0.05
                server.judged = self.now
                server.met.clear()      # each answer counts against it once
            elif server.proven and good > 0.6 * usual and self.now - server.judged > self.RETRIAL:
                server.health, server.judged = min(1.0, 4 * server.health), self.now

    def view(self, server: Server) -> tuple[float, float] | None:
        """The share of tries answered of late; and the same, worth less where the mean time is too long.
        None if under six tries, since chance alone seldom spoils four of six."""
        while server.met and server.met[0][0] < self.now - 2.5 * self.period:
            server.met.popleft()
        views = []
        for zone in sorted({m[1] for m in server.met}):
            of = [m for m in server.met if m[1] == zone]
            tries, good, seconds = (sum(m[k] for m in of) for k in (2, 3, 4))
            if tries >= 3:
                in_time = min(1.0, self.late * good / seconds) if seconds else 1.0
                views.append((good / tries, good / tries * in_time))
        return max(views) if views and sum(m[2] for m in server.met) >= 6 else None

    RETRIAL = 4.0   # seconds between steps of trust, four times each: one distrusted is back in 8 to 12 s
