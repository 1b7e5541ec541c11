"""Until when an edge that was asked to stop passes requests on to nodes, and when it ends. Pure.

The platform kills the process `grace_period` after its SIGTERM. A request that was passed on and is not answered by
then is lost, which the rule LOST only excuses for a request that was sent soon after the SIGTERM and whose node works
into the last sixth of the grace. So later requests are passed on only if their own deadline ends them in time. The
others are refused, while their clients have time left for another edge.
"""

from __future__ import annotations

from dataclasses import dataclass

# Time after SIGTERM in which any request is passed on, as a part of the grace and at most: LOST excuses requests that
# were sent up to 3 s after the SIGTERM, which is earlier than they are read.
OFFERING_PART, MAX_OFFERING_S = 0.4, 2.5
# Time at the end of the grace for the last answers and reports, as a part of the grace and at most: half of the last
# sixth.
CLOSING_PART, MAX_CLOSING_S = 1 / 12, 0.5
# Time before the end by which the deadline of a request must have passed: its answer is still to be written.
ANSWER_RESERVE_S = 0.1


@dataclass(frozen=True, slots=True)
class DrainSchedule:
    """Times of a drain on the monotonic clock."""

    began_at: float
    offers_end_at: float  # until then every request is passed on
    ends_at: float  # until then requests at nodes are waited for

    @classmethod
    def begin(cls, now: float, grace_period: float) -> DrainSchedule:
        """The times of a drain that begins `now`; the process is killed `grace_period` seconds later.

        >>> DrainSchedule.begin(100.0, 6.0)
        DrainSchedule(began_at=100.0, offers_end_at=102.4, ends_at=105.5)
        >>> DrainSchedule.begin(100.0, 60.0)
        DrainSchedule(began_at=100.0, offers_end_at=102.5, ends_at=159.5)
        """
        offering = min(MAX_OFFERING_S, grace_period * OFFERING_PART)
        closing = min(MAX_CLOSING_S, grace_period * CLOSING_PART)
        return cls(now, now + offering, now + grace_period - closing)

    def outlasts(self, deadline: float) -> bool:
        """Whether a request with this deadline ends by itself before the process does."""
        return deadline <= self.ends_at - ANSWER_RESERVE_S

    def offer_until(self, deadline: float) -> float:
        """When a request with this deadline is passed on to a node at the latest.

        >>> schedule = DrainSchedule.begin(100.0, 6.0)
        >>> schedule.offer_until(105.0), schedule.offer_until(107.0)
        (105.0, 102.4)
        """
        return deadline if self.outlasts(deadline) else self.offers_end_at
