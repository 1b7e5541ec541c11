"""The inbox handlers of the contract (interface.py). They only update the state; nothing moves here."""

from zlib import crc32

from knotwalk.decide.controller_state import ControllerState, Server, Slice


class InboxHandlers(ControllerState):
    def server_for(self, id: str) -> Server:
        if (server := self.servers.get(id)) is None:
            server = self.servers[id] = Server(id)
            # One controller owns each server, as the paper's directories do: all see a restart at once, and none sees
            # the others' moves. If all filled it, it would overload; were each given a part, no slice would fit it.
            server.owned = crc32(id.encode()) % self.controllers == self.controller_index
        return server

    def listed(self, full: bool, cached: bool, entries: list) -> None:
        if not cached:
            self.list_retry_delay, self.list_confirmed = 0.5, True
        if full:
            named = {entry[0] for entry in entries}
            entries = entries + [(x.id, "", "gone", x.size, x.started) for x in self.servers.values()
                                 if x.id not in named]
        for id, zone, state, size, started in entries:
            new = id not in self.servers and self.list_received and not started
            server = self.server_for(id)
            if new:     # listed late without a start time, it may not exist: it gets slices as it answers
                server.proven, server.health = False, self.UNPROVEN
            elif started > server.started:      # a new process: the old one's history is void
                server.health = 1.0
                server.unmeasured = self.list_received or self.now - started < self.cold_time
            # Where gone servers need not be left, one that the list drops is kept while it answers.
            server.delisted = state == "gone" and server.state == "ready" and not self.gone_must_leave
            if server.delisted:
                continue
            if state != "ready" and server.state == "ready" or started > server.started:
                server.leaving_since = self.now
            server.state, server.size, server.started, server.zone = state, size or 1.0, started, zone
        self.list_received = True

    UNPROVEN = 0.1      # health: enough for the lightest shares, whose loss does little harm

    def list_failed(self) -> None:
        """Ask again, after delays that double: the list is one service for all and may be overloaded."""
        self.list_request_at = self.now + self.list_retry_delay * self.random.uniform(0.5, 1)
        self.list_retry_delay = min(8.0, 2 * self.list_retry_delay)

    def joined(self, proxy: int) -> None:
        self.proxies[proxy] = None
        for server in self.servers.values():
            # The proxy may hold an old withdrawal or lack a current one: mark it so that it is sent again.
            server.withdrawn = server.ever_withdrawn and server.state == "ready"

    def left(self, proxy: int) -> None:
        self.proxies.pop(proxy, None)
        for _, _, proxies in self.in_flight:
            proxies.discard(proxy)

    def given(self, id: int) -> None:
        if not self.slices:     # cut off till now, or just started: low health may be due to the cut
            self.first_slice_at = self.now
            for server in self.servers.values():
                server.health = server.quota = 1.0
        slice = self.slices[id] = Slice(id, self.now)
        slice.levels, slice.sent_levels = [1.0] * len(self.rpc_costs), [1.0] * len(self.rpc_costs)    # as proxies do

    def taken(self, id: int) -> None:
        self.last_taken_at = self.now
        self.slices.pop(id, None)

    def held(self, id: int, server: str, weight: float) -> None:
        if (slice := self.slices.get(id)) is None:
            return
        if self.list_confirmed and server not in self.servers:      # never listed or evicted: it has gone
            self.server_for(server).state, self.server_for(server).leaving_since = "gone", self.now
        slice.sent_lines[self.server_for(server)] = weight
        slice.shares += [self.server_for(server)] * max(1, round(weight))

    def wanted(self, id: int, method: int, span: float, rpcs: int) -> None:
        self.demand_reported_at = self.now
        if id in self.slices:
            # Until a window has passed, demand is averaged since the start of the first report's span.
            self.slices[id].demand_since = min(self.slices[id].demand_since, self.now - span)
            self.slices[id].samples.append((self.now, span, rpcs * self.rpc_costs[method], rpcs, method))

    def heard(self, id: str, zone: str, span: float, tries: int, aborted: int, latency: float, load: dict) -> None:
        if (server := self.servers.get(id)) is None:
            return      # evicted: a late report does not create a server
        server.outcomes.append((self.now, zone, tries, tries - aborted, (tries - aborted) * latency))
        # RPCs in flight beyond the listed size wait in the queue: no server counts as more than fully used.
        used = load.get("utilization", load["inflight"] / server.size if "inflight" in load else None)
        if used is not None:
            server.reports.append((min(1.0, used), load.get("qps")))

    def evict_servers(self) -> None:
        """Drop servers that are gone for good: with replacements all day, they would fill the memory."""
        expired = [x for x in self.servers.values() if self.is_expired(x) and not x.withdrawn]
        for slice in self.slices.values() if expired else ():
            expired = [x for x in expired if x not in slice.shares and x not in slice.sent_lines]
        for x in expired:
            del self.servers[x.id]
