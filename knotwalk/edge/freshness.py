"""How long an edge may go by the tenants' keys that it holds: a lease, kept up by the answers of cores. Pure.

A core proves, by the leader's word, that at some moment it had every configuration acknowledged by then. The lease
runs from that moment on this machine's steady clock. An answer has it as seconds after the call's arrival at the core,
and the call cannot have arrived before it was sent. So only configurations acknowledged in the last `length` seconds
may be missing here, whatever the clocks of the day show and however long an answer took.
"""

from __future__ import annotations

import math

from knotwalk.discovery.view_types import MAX_LEADER_SILENCE_S
from knotwalk.leases.conductor_leases import LEADERSHIP_PROOF_S

# Seconds of `revoke_timeout` that the lease leaves out: steady clocks that run unlike, and a stall between the last
# look at the lease and the sending.
MARGIN = 0.3
# Seconds of `config_apply` that refusals leave out: steady clocks that run unlike. What is refused was sent before it
# was looked at, so no stall counts.
REFUSAL_MARGIN = 0.02
# Parts of the lease that a waiting call may take: the lease of the one before must last until it is answered, and until
# another core was found where it is not.
CALLS = 4


class Freshness:
    """The lease of one edge. `revoke_timeout` in seconds; `bound`: whether it binds machines out of touch too.

    A request that comes `config_apply` seconds after a configuration was acknowledged may not be refused by an older
    one."""

    def __init__(self, revoke_timeout: float, bound: bool, config_apply: float = math.inf):
        self.bound = bound
        self.length = max(0.0, revoke_timeout - MARGIN)
        self.refusing = max(0.0, min(self.length, config_apply - REFUSAL_MARGIN))
        self.proven_at = -math.inf  # every configuration acknowledged by then is known here

    def proven(self, asked_at: float, after: float | None) -> None:
        """A fresh core's answer to a call that was sent at `asked_at` was taken whole.

        `after`: seconds from the call's arrival to the core's last proof, below 0 if that was before; None where the
        core does not tell, so that it may be as old as a fresh core's can be."""
        self.proven_at = max(
            self.proven_at, asked_at + (-MAX_LEADER_SILENCE_S - LEADERSHIP_PROOF_S if after is None else after)
        )

    def holds(self, now: float) -> bool:
        """Whether the configuration here can be taken for the newest, but for one of the last `length` seconds."""
        return now < self.proven_at + self.length

    def accepts(self, now: float) -> bool:
        """Whether a key that the configuration here holds may be accepted."""
        return not self.bound or self.holds(now)

    def refuses(self, now: float) -> bool:
        """Whether a key may be refused that the configuration here does not hold: no request that comes now was sent
        `config_apply` after one was acknowledged that is missing here."""
        return now < self.proven_at + self.refusing

    def wait(self, usual: float) -> float:
        """Seconds that a call to a core may wait for news, so that the lease is kept in calm times."""
        return min(usual, self.length / CALLS) if self.bound else usual
