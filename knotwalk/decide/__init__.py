"""All decisions of a controller: which servers the tables of its slices name, and how fast that is told.

A front makes one Conductor(settings, seed) and calls decide(now, inbox, out) once a round with all that
came in; decisions go straight into `out`. The contract is in interface.py; docs/design.md says what departs
from the paper. A slice is in one share or, when hot, in several; a share is the paper's virtual server.
"""

from knotwalk.decide.controller_state import Server, Slice
from knotwalk.decide.health import Health
from knotwalk.decide.inbox import InboxHandlers
from knotwalk.decide.levels import Levels
from knotwalk.decide.passes import Passes
from knotwalk.interface import Orders

__all__ = ["Conductor", "Server", "Slice"]


class Conductor(InboxHandlers, Health, Passes, Levels):
    """One controller."""

    def decide(self, now: float, inbox: list, out: Orders) -> None:
        """Take in all that came, then order what has to change."""
        self.now = now
        for handler, arguments in inbox:
            getattr(self, handler)(*arguments)
            self.news = self.news or handler != "applied"
        if not self.born:
            self.born, self.next_pass = True, now + self.PERIOD * self.random.uniform(0.6, 1)
            # Another try only on proof that the first never ran (rule 2): more would feed an overload.
            for k in range(len(self.cost) if self.orders_retry else 0):
                out.admit(None, k, 1.0, self.RETRY)
        if self.news or now >= self.next_pass:      # receipts, most of what comes, change no figure
            self.news, self.pending = False, now
            self.forget()
            self.measure()
            self.judge()
            self.place()
            if self.admits and self.heard_at == now and self.average:
                self.let_in()
        if self.pending < float("inf"):
            self.pending = self.send(out)
        if self.asked_list and now >= self.list_due:
            self.list_due = float("inf")
            out.watch()
        due = min(self.next_pass, self.list_due, max(self.pending, now + 0.05))
        if not now < self.wake_at <= due:
            self.wake_at = max(due, now + 0.001)
            out.wake(self.wake_at)
