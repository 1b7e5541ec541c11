"""The retry budget of a service, which all edges share. Pure: the caller passes the time.

The rule (BUDGET): in any window, the tries that reach nodes beyond the first of each request stay within
ratio * requests + slack, over all edges together. Each edge spends no more than its own requests and its share of the
slack allow, so that the total holds without communication between edges; a restarted edge starts without slack.
"""

from collections import deque

# Part of the ratio that is used: the rule's window and this one may be up to one window apart, and traffic varies.
RATIO_PART = 0.8
# Part of the slack that is used: the rest is reserved for edge processes that ended within the window and for edges
# that are not counted yet.
SLACK_PART = 0.7
# Buckets of a window: 20 counters bound the count with an error of 5%, on the safe side.
BUCKETS = 20


class WindowCounter:
    """Counts events within a sliding window, in buckets; `upper_bound` and `lower_bound` enclose the true count."""

    def __init__(self, window: float):
        self.bucket_s = window / BUCKETS
        self.buckets: deque[list[int]] = deque()  # [bucket number, count], oldest first
        self.total = 0

    def add(self, now: float, count: int = 1) -> None:
        """Count events at `now`."""
        number = int(now / self.bucket_s)
        self._age(number)
        if self.buckets and self.buckets[-1][0] == number:
            self.buckets[-1][1] += count
        else:
            self.buckets.append([number, count])
        self.total += count

    def _age(self, number: int) -> None:
        while self.buckets and self.buckets[0][0] < number - BUCKETS:
            self.total -= self.buckets.popleft()[1]

    def upper_bound(self, now: float) -> int:
        """At least as many as there were in the window that ends now."""
        self._age(int(now / self.bucket_s))
        return self.total

    def lower_bound(self, now: float) -> int:
        """At most as many as there were in the window that ends now."""
        number = int(now / self.bucket_s)
        self._age(number)
        if self.buckets and self.buckets[0][0] == number - BUCKETS:
            return self.total - self.buckets[0][1]
        return self.total


class Budget:
    """What this edge may spend on retries for one service.

    `ratio` and `slack` are those of the rule, `window` is in seconds, `started_at` is when this edge process started.
    """

    def __init__(self, ratio: float, window: float, slack: float, started_at: float):
        self.ratio, self.window, self.slack, self.started_at = ratio, window, slack, started_at
        self.requests, self.retries = WindowCounter(window), WindowCounter(window)

    def request(self, now: float) -> None:
        """Count a client's request for the service."""
        self.requests.add(now)

    def available(self, now: float, edges: int) -> float:
        """How many more retries may reach nodes now, with `edges` edges sharing the slack."""
        share = self.slack * SLACK_PART / max(1, edges) if now - self.started_at >= self.window else 0.0
        return self.ratio * RATIO_PART * self.requests.lower_bound(now) + share - self.retries.upper_bound(now)

    def take(self, now: float, edges: int) -> bool:
        """Spend one retry, if the budget allows it."""
        if self.available(now, edges) < 1.0:
            return False
        self.retries.add(now)
        return True

    def give_back(self, now: float) -> None:
        """Return a retry that reached no node because no connection was established."""
        self.retries.add(now, -1)
