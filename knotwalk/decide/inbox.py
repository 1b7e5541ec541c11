"""What came in, handler by handler of the contract (interface.py). Takes note; moves nothing."""

from zlib import crc32

from knotwalk.decide.controller_state import ControllerState, Server, Slice


class InboxHandlers(ControllerState):
    def server(self, id: str) -> Server:
        if (server := self.servers.get(id)) is None:
            server = self.servers[id] = Server(id)
            # A directory each, as in the paper: all controllers see one come back at once, and none sees the
            # others' moves. If all filled it, it would fall over; in a part for each, no slice would fit.
            server.ours = crc32(id.encode()) % self.controllers == self.seat
        return server

    def listed(self, full: bool, cached: bool, entries: list) -> None:
        if not cached:
            self.list_wait, self.list_fresh = 0.5, True
        if full:
            named = {entry[0] for entry in entries}
            entries = entries + [(x.id, "", "gone", x.size, x.started) for x in self.servers.values()
                                 if x.id not in named]
        for id, zone, state, size, started in entries:
            fresh = id not in self.servers and self.listed_once and not started
            server = self.server(id)
            if fresh:       # what comes late but claims to run for long may not exist, and earns its slices
                server.proven, server.health = False, self.UNPROVEN
            elif started > server.started:      # a fresh process: what was known of the old one is void
                server.health = 1.0
                server.empty = self.listed_once or self.now - started < self.cold_time
            # Where gone alone does not bind, one that answers need not be left because the list drops it.
            server.dropped = state == "gone" and server.state == "ready" and not self.gone_binds
            if server.dropped:
                continue
            if state != "ready" and server.state == "ready" or started > server.started:
                server.left_at = self.now
            server.state, server.size, server.started, server.zone = state, size or 1.0, started, zone
        self.listed_once = True

    UNPROVEN = 0.1      # enough for the lightest shares, few enough to lose

    def list_failed(self) -> None:
        """Ask again, after waits that double: the list is one service for all and may be swamped."""
        self.list_due = self.now + self.list_wait * self.random.uniform(0.5, 1)
        self.list_wait = min(8.0, 2 * self.list_wait)

    def joined(self, proxy: int) -> None:
        self.proxies[proxy] = None
        for server in self.servers.values():
            # It may hold what was shut out before it left, or not hold what is shut out now: told again.
            server.shut = server.once_shut and server.state == "ready"

    def left(self, proxy: int) -> None:
        self.proxies.pop(proxy, None)
        for _, _, proxies in self.way:
            proxies.discard(proxy)

    def given(self, id: int) -> None:
        if not self.slices:     # cut off till now, or just started: distrust may be the cut's doing
            self.back = self.now
            for server in self.servers.values():
                server.health = server.quota = 1.0
        s = self.slices[id] = Slice(id, self.now)
        s.levels, s.told_levels = [1.0] * len(self.cost), [1.0] * len(self.cost)   # a giving resets them

    def taken(self, id: int) -> None:
        self.taken_at = self.now
        self.slices.pop(id, None)

    def held(self, id: int, server: str, weight: float) -> None:
        if (s := self.slices.get(id)) is None:
            return
        if self.list_fresh and server not in self.servers:      # it has gone, unheard of or forgotten
            self.server(server).state, self.server(server).left_at = "gone", self.now
        s.told[self.server(server)] = weight
        s.shares += [self.server(server)] * max(1, round(weight))

    def wanted(self, id: int, method: int, span: float, rpcs: int) -> None:
        self.heard_at = self.now
        if id in self.slices:
            # Until a window has passed, demand is what came since the first report's span began.
            self.slices[id].since = min(self.slices[id].since, self.now - span)
            self.slices[id].samples.append((self.now, span, rpcs * self.cost[method], rpcs, method))

    def heard(self, id: str, zone: str, span: float, tries: int, aborted: int, latency: float, load: dict) -> None:
        if (server := self.servers.get(id)) is None:
            return      # forgotten: a late report makes no server
        server.met.append((self.now, zone, tries, tries - aborted, (tries - aborted) * latency))
        # RPCs in hand count against the registered size; more than that wait: none is busier than full.
        used = load.get("utilization", load["inflight"] / server.size if "inflight" in load else None)
        if used is not None:
            server.reports.append((min(1.0, used), load.get("qps")))

    def forget(self) -> None:
        """Free what is kept of servers gone for good: replaced all day, they would fill the memory."""
        over = [x for x in self.servers.values() if self.over(x) and not x.shut]
        for s in self.slices.values() if over else ():
            over = [x for x in over if x not in s.shares and x not in s.told]
        for x in over:
            del self.servers[x.id]
