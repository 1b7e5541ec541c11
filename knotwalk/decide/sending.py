"""Sending: what of the decisions the proxies are told now, within the caps of the channel (rule 5)."""

from collections import deque

from knotwalk.decide.controller_state import Server, Slice
from knotwalk.decide.estimates import Estimates
from knotwalk.interface import Orders


class Sending(Estimates):
    def applied(self, proxy: int, mark: int) -> None:
        """Messages leave the channel in succession: all those before one taken in have left it too."""
        if any(m == mark and proxy in proxies for m, _, proxies in self.way):
            while self.way[0][0] != mark:
                self.way.popleft()
            self.way[0][2].discard(proxy)
            self.receipt_at = self.now

    def receipts_lost(self) -> None:
        """From the last one on, count what waits by half the channel's rate: on some days it is slower.
        Guards against a drain held back (rule 3) for messages that have long been taken in."""
        waiting, dark = self.waiting(), self.way and self.way[0][0] is None
        self.receipt_at = self.now if dark else max([self.receipt_at, *self.sent])
        self.way = deque([(None, waiting, {None})])

    def lines(self, s: Slice) -> dict[Server, float]:
        """What a slice's table should hold."""
        return {x: float(s.shares.count(x)) for x in s.shares}

    def waiting(self) -> float:
        """Lines that may still wait in the channel: none after a span without messages, receipts get lost."""
        left = self.rate * (self.now - self.receipt_at)     # see receipts_lost
        return sum(max(0.0, lines - left * (mark is None)) * len(proxies)
                   for mark, lines, proxies in self.way) if self.sent else 0.0

    def leaves(self, s: Slice, x: Server) -> bool:
        """Whether its line must be off soon: gone or draining (rule 3), or cold and relieved (rule 4)."""
        return x not in s.shares and (x.state != "ready" or self.cold(x))

    def untold(self, s: Slice) -> bool:
        """Whether its table differs from what was told; the plain case first, since every round asks it."""
        if len(s.shares) == 1:
            return len(s.told) != 1 or s.told.get(s.shares[0]) != 1.0
        return s.told != self.lines(s)

    def changed(self) -> list[Slice]:
        return [s for s in self.slices.values() if s.levels != s.told_levels or self.untold(s)]

    def send(self, out: Orders) -> float:
        """Order changed lines only: urgent ones soon, others in portions, under rule 5's caps.

        Tells when the next may go, infinity if nothing is left. Lines that leave gone or draining servers
        have the grace to keep (rule 3): half of the channel and some messages are theirs alone."""
        changed = self.changed()
        while self.sent and self.sent[0] <= self.now - self.messages_span:
            self.sent.popleft()
        # The longest known first: drains that come in waves would starve what the first wave left.
        leaving = {s: of for s in changed if (of := [x for x in s.told if self.leaves(s, x)])}
        leave = sorted(leaving, key=lambda s: (min(x.left_at for x in leaving[s]), -s.demand))
        left = dict.fromkeys(x for s in leave for x in leaving[s])
        back = [x for x in self.servers.values() if x.shut and x not in left and (x.state == "ready" or self.over(x))]
        # Moves before mere levels, which change with each report and would take all the lines there are.
        hasty = sorted((s for s in changed if s.urgent and s not in leaving),
                       key=lambda s: (not self.untold(s), -s.demand))
        urgent = leave + hasty
        share = 1 - 1 / self.messages_most if leave or back else 0.75 if urgent else 0.5
        if not changed and not back:
            return float("inf")
        if len(self.sent) >= share * self.messages_most:
            return self.sent[0] + self.messages_span
        turn = self.next_leave_send if leave else self.next_urgent_send if urgent or back else self.next_send
        if self.now < turn:
            return turn
        # A tenth at a time, or what gets done in half a period; with urgent ones where messages are scarce.
        rest = [s for s in changed if not s.urgent and s not in leaving] if self.scarce or not urgent else []
        changed = urgent + rest[:max(4, int(len(self.slices) * max(0.1, 2 * self.gap / self.PERIOD)))]
        waiting = self.waiting()
        message, proxies, told = self.head, max(1, len(self.proxies)), 0
        # More leaving lines than the channel takes now: shut the servers out first, a line each. Guards rules
        # 3 and 4 where many leave at once; till the next messages a slice may lack a line (rule 1 has time).
        fits = waiting + (message + 2 * len(leave)) * proxies <= 0.9 * self.waiting_most
        shut = [x for x in left if not (fits or x.shut) and (x.state != "gone" or self.gone_binds)]
        message += len(back) + len(shut)
        if waiting + message * proxies > 0.95 * self.waiting_most:
            return self.now + self.BATCH
        for server in back + shut:
            out.withdraw(server.id, server in shut)
            server.shut, server.once_shut = server in shut, True
        for s in changed:
            want = self.lines(s)
            change = [(x, w) for x, w in want.items() if s.told.get(x) != w]
            change += [(x, 0.0) for x in s.told if x not in want]
            levels = [k for k, share in enumerate(s.levels) if share != s.told_levels[k] and s not in leaving]
            most = 0.9 if told < len(leave) else self.URGENT_PART if told < len(urgent) else 0.5
            if waiting + (message + len(change) + len(levels)) * proxies > most * self.waiting_most:
                break
            told += 1
            message += len(change) + len(levels)
            for k in levels:
                out.admit(s.id, k, s.levels[k], self.RETRY)
            for server, weight in change:
                out.line(s.id, server.id, weight)
            s.told, s.urgent = want, s in leaving and s.levels != s.told_levels
            for k in levels:
                s.told_levels[k] = s.levels[k]
        if told or back or shut:
            self.mark = (self.mark + 1) % 65536
            out.receipt(self.mark)
            self.sent.append(self.now)
            self.next_send = self.now + self.gap
            # Evenly, over a tenth more than the span: a burst leaves the next drain no message in its grace.
            pace, heads = self.messages_span / self.messages_most, self.head * proxies / self.waiting_most
            if leave:
                self.next_leave_send = self.now + max(self.BATCH, 3 * heads, pace)
            self.next_urgent_send = self.now + max(self.BATCH, 7 * heads, pace / 0.75)
            self.way += [(self.mark, message, set(self.proxies))] if self.proxies else []
        return self.now + self.BATCH if self.changed() else float("inf")

    BATCH = 0.25    # seconds between urgent messages at least: every one has a head for each proxy
