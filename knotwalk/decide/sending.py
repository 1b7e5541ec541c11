"""Sending: which decisions go to the proxies now, within the channel's caps on lines and messages (rule 5)."""

from collections import deque

from knotwalk.decide.controller_state import Server, Slice
from knotwalk.decide.estimates import Estimates
from knotwalk.interface import Orders


class Sending(Estimates):
    def applied(self, proxy: int, mark: int) -> None:
        """Messages leave the channel in order: all those before an applied one have left it too."""
        if any(m == mark and proxy in proxies for m, _, proxies in self.in_flight):
            while self.in_flight[0][0] != mark:
                self.in_flight.popleft()
            self.in_flight[0][2].discard(proxy)
            self.last_receipt_at = self.now

    def receipts_lost(self) -> None:
        """From the last receipt or message on, assume that lines leave at half the channel's rate, which may vary.
        Guards against drains held back past their grace (rule 3) by messages that were applied long ago."""
        waiting, lost = self.waiting_lines(), self.in_flight and self.in_flight[0][0] is None
        self.last_receipt_at = self.now if lost else max([self.last_receipt_at, *self.sent_times])
        self.in_flight = deque([(None, waiting, {None})])

    def target_lines(self, slice: Slice) -> dict[Server, float]:
        """What a slice's table should hold."""
        return {x: float(slice.shares.count(x)) for x in slice.shares}

    def waiting_lines(self) -> float:
        """Lines that may still wait in the channel: none after a span without messages, since receipts get lost."""
        left = self.assumed_line_rate * (self.now - self.last_receipt_at)   # see receipts_lost()
        return sum(max(0.0, lines - left * (mark is None)) * len(proxies)
                   for mark, lines, proxies in self.in_flight) if self.sent_times else 0.0

    def must_leave(self, slice: Slice, x: Server) -> bool:
        """Whether its line must be removed soon: gone or draining (rule 3), or cold and relieved (rule 4)."""
        return x not in slice.shares and (x.state != "ready" or self.is_cold(x))

    def has_unsent_lines(self, slice: Slice) -> bool:
        """Whether its table differs from what was sent; the common case first, since every round checks all slices."""
        if len(slice.shares) == 1:
            return len(slice.sent_lines) != 1 or slice.sent_lines.get(slice.shares[0]) != 1.0
        return slice.sent_lines != self.target_lines(slice)

    def changed_slices(self) -> list[Slice]:
        return [s for s in self.slices.values() if s.levels != s.sent_levels or self.has_unsent_lines(s)]

    def send(self, out: Orders) -> float:
        """Order changed lines only: urgent ones soon, others in portions, under rule 5's caps.

        Returns when the next message may go, infinity if nothing is left. Lines that leave gone or draining servers
        must go within the grace (rule 3): half of the channel and some messages are reserved for them."""
        changed = self.changed_slices()
        while self.sent_times and self.sent_times[0] <= self.now - self.messages_span:
            self.sent_times.popleft()
        # Longest known first: drains that come in waves would starve what the first wave left.
        removals = {s: of for s in changed if (of := [x for x in s.sent_lines if self.must_leave(s, x)])}
        leaving = sorted(removals, key=lambda s: (min(x.leaving_since for x in removals[s]), -s.demand))
        left = dict.fromkeys(x for s in leaving for x in removals[s])
        readmitted = [x for x in self.servers.values()
                      if x.withdrawn and x not in left and (x.state == "ready" or self.is_expired(x))]
        # Moves before mere levels, which change with each report and would use up the lines allowed.
        hasty = sorted((s for s in changed if s.urgent and s not in removals),
                       key=lambda s: (not self.has_unsent_lines(s), -s.demand))
        urgent = leaving + hasty
        share = 1 - 1 / self.max_messages if leaving or readmitted else 0.75 if urgent else 0.5
        if not changed and not readmitted:
            return float("inf")
        if len(self.sent_times) >= share * self.max_messages:
            return self.sent_times[0] + self.messages_span
        turn = self.next_leaving_send if leaving else self.next_urgent_send if urgent or readmitted else self.next_send
        if self.now < turn:
            return turn
        # A tenth at a time, or what is sent in half a period; along with urgent ones where messages are capped.
        rest = [s for s in changed if not s.urgent and s not in removals] if self.messages_capped or not urgent else []
        changed = urgent + rest[:max(4, int(len(self.slices) * max(0.1, 2 * self.ordinary_interval / self.PERIOD)))]
        waiting = self.waiting_lines()
        lines, proxies, sent = self.message_overhead, max(1, len(self.proxies)), 0
        # With more leaving lines than the channel takes now, first withdraw the servers, a line each. Guards rules 3
        # and 4 where many leave at once; until the next messages a slice may lack a line, which rule 1 allows.
        fits = waiting + (lines + 2 * len(leaving)) * proxies <= 0.9 * self.max_waiting
        withdrawn = [x for x in left if not (fits or x.withdrawn) and (x.state != "gone" or self.gone_must_leave)]
        lines += len(readmitted) + len(withdrawn)
        if waiting + lines * proxies > 0.95 * self.max_waiting:
            return self.now + self.BATCH
        for server in readmitted + withdrawn:
            out.withdraw(server.id, server in withdrawn)
            server.withdrawn, server.ever_withdrawn = server in withdrawn, True
        for slice in changed:
            target = self.target_lines(slice)
            change = [(x, w) for x, w in target.items() if slice.sent_lines.get(x) != w]
            change += [(x, 0.0) for x in slice.sent_lines if x not in target]
            levels = [k for k, new in enumerate(slice.levels) if new != slice.sent_levels[k] and slice not in removals]
            part = 0.9 if sent < len(leaving) else self.URGENT_PART if sent < len(urgent) else 0.5
            if waiting + (lines + len(change) + len(levels)) * proxies > part * self.max_waiting:
                break
            sent += 1
            lines += len(change) + len(levels)
            for k in levels:
                out.admit(slice.id, k, slice.levels[k], self.RETRY)
            for server, weight in change:
                out.line(slice.id, server.id, weight)
            slice.sent_lines, slice.urgent = target, slice in removals and slice.levels != slice.sent_levels
            for k in levels:
                slice.sent_levels[k] = slice.levels[k]
        if sent or readmitted or withdrawn:
            self.receipt_mark = (self.receipt_mark + 1) % 65536
            out.receipt(self.receipt_mark)
            self.sent_times.append(self.now)
            self.next_send = self.now + self.ordinary_interval
            # Evenly, over a tenth more than the span: a burst would leave the next drain no message within its grace.
            pace, cost = self.messages_span / self.max_messages, self.message_overhead * proxies / self.max_waiting
            if leaving:
                self.next_leaving_send = self.now + max(self.BATCH, 3 * cost, pace)
            self.next_urgent_send = self.now + max(self.BATCH, 7 * cost, pace / 0.75)
            self.in_flight += [(self.receipt_mark, lines, set(self.proxies))] if self.proxies else []
        return self.now + self.BATCH if self.changed_slices() else float("inf")

    BATCH = 0.25    # minimum seconds between urgent messages: each has its overhead for every proxy
