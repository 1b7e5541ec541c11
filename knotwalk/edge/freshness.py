"""How long an edge may rely on the tenant keys that it has: a lease that the answers of cores renew. Pure.

A core proves, through its leader, that at some moment it had every configuration that was acknowledged by then. The
lease runs from that moment on this machine's monotonic clock. An answer gives the moment as seconds relative to the
call's arrival at the core, and the call can't have arrived before it was sent. So only configurations acknowledged in
the last `length` seconds may be missing here, whatever wall clocks show and however long an answer took.
"""

from __future__ import annotations

import math

from knotwalk.discovery.view_types import MAX_LEADER_SILENCE_S
from knotwalk.leases.conductor_leases import LEADERSHIP_PROOF_S

# Safety margin by which the lease is shorter than `revoke_timeout`: for the drift between monotonic clocks, and for a
# stall between the last check of the lease and the sending of a request.
LEASE_MARGIN_S = 0.3
# Safety margin by which refusals stay within `config_apply`, for the drift between monotonic clocks. A refused request
# was sent before it was checked, so that a stall does not matter.
REFUSAL_MARGIN_S = 0.02
# A long-polling call to a core may take one part in CALLS_PER_LEASE of the lease: the lease must last until the call is
# answered or, if it is not, until another core was found.
CALLS_PER_LEASE = 4


class Freshness:
    """The lease of one edge on its tenant keys.

    `revoke_timeout` is in seconds; `is_binding`: whether the lease also binds machines that are cut off from the cores.
    A request that arrives `config_apply` seconds after a configuration was acknowledged may not be refused because of
    an older one."""

    def __init__(self, revoke_timeout: float, is_binding: bool, config_apply: float = math.inf):
        self.is_binding = is_binding
        self.length = max(0.0, revoke_timeout - LEASE_MARGIN_S)
        self.refusal_length = max(0.0, min(self.length, config_apply - REFUSAL_MARGIN_S))
        self.proven_at = -math.inf  # every configuration acknowledged by then is known here; monotonic clock

    def renew(self, sent_at: float, after: float | None) -> None:
        """Renew the lease: the answer of a fresh core to a call sent at `sent_at` was applied completely.

        `after`: seconds from the call's arrival to the core's last proof, negative if the proof came first; None if
        the core does not report it, which is taken as the oldest proof that a fresh core can have."""
        self.proven_at = max(
            self.proven_at, sent_at + (-MAX_LEADER_SILENCE_S - LEADERSHIP_PROOF_S if after is None else after)
        )

    def is_valid(self, now: float) -> bool:
        """Whether the configuration here is the newest, except for one acknowledged in the last `length` seconds."""
        return now < self.proven_at + self.length

    def can_accept(self, now: float) -> bool:
        """Whether a key of the configuration here may be accepted."""
        return not self.is_binding or self.is_valid(now)

    def can_refuse(self, now: float) -> bool:
        """Whether a key that is missing in the configuration here may be refused.

        It may if no request that arrives now can have been sent `config_apply` seconds after the acknowledgement of a
        configuration that is missing here."""
        return now < self.proven_at + self.refusal_length

    def poll_wait(self, usual: float) -> float:
        """Seconds that a call to a core may wait for updates, so that in normal operation the lease never lapses."""
        return min(usual, self.length / CALLS_PER_LEASE) if self.is_binding else usual
