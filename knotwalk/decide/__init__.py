"""All decisions of a controller: which servers the tables of its slices name, and when the proxies are sent them.

The contract is in interface.py. docs/design.md says what departs from the paper, which placement/passes.py names. A
slice has one share or, when hot, several; a share is the paper's virtual server.
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
        """Apply the inbox, then order what has to change."""
        self.now = now
        for handler, arguments in inbox:
            getattr(self, handler)(*arguments)
            self.has_new_input = self.has_new_input or handler != "applied"
        if not self.has_started:
            self.has_started, self.next_pass = True, now + self.PERIOD * self.random.uniform(0.6, 1)
            # Retries only on proof that the first try never ran (rule 2): more would feed an overload.
            for k in range(len(self.rpc_costs) if self.sends_retry else 0):
                out.admit(None, k, 1.0, self.RETRY)
        if self.has_new_input or now >= self.next_pass:     # receipts, most of the inbox, change no estimate
            self.has_new_input, self.send_due_at = False, now
            self.evict_servers()
            self.update_estimates()
            self.update_health()
            self.place_shares()
            if self.admits and self.demand_reported_at == now and self.avg_capacity:
                self.update_levels()
        if self.send_due_at < float("inf"):
            self.send_due_at = self.send(out)
        if self.list_on_request and now >= self.list_request_at:
            self.list_request_at = float("inf")
            out.watch()
        due = min(self.next_pass, self.list_request_at, max(self.send_due_at, now + 0.05))
        if not now < self.wake_at <= due:
            self.wake_at = max(due, now + 0.001)
            out.wake(self.wake_at)
