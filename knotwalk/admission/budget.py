"""The budget of further tries that all edges share for a service. Pure: the caller brings the time.

The rule (BUDGET): in any window, arrivals past the first of each request stay within ratio * requests + slack, over all
edges together. An edge spends no more than its own requests and its part of the slack allow, so that the sum holds
without a word between edges; a restarted edge begins with nothing.
"""

from collections import deque

# Of the ratio: the rule's window and ours may lie up to a window apart, and traffic swings.
RATIO_PART = 0.8
# Of the slack: room for lives of edges that ended within the window, and for edges not yet counted.
SLACK_PART = 0.7
# Parts of a window that are counted together: an error of 5% on the safe side for 20 numbers of memory.
PARTS = 20


class Counter:
    """How many there were within a sliding window, in parts; `at_most` and `at_least` bound it from either side."""

    def __init__(self, window: float):
        self.part = window / PARTS
        self.parts: deque[list[int]] = deque()  # [number of the part, count], oldest first
        self.total = 0

    def add(self, now: float, count: int = 1) -> None:
        """Count so many at `now`."""
        number = int(now / self.part)
        self._age(number)
        if self.parts and self.parts[-1][0] == number:
            self.parts[-1][1] += count
        else:
            self.parts.append([number, count])
        self.total += count

    def _age(self, number: int) -> None:
        while self.parts and self.parts[0][0] < number - PARTS:
            self.total -= self.parts.popleft()[1]

    def at_most(self, now: float) -> int:
        """No fewer than there were in the window that ends now."""
        self._age(int(now / self.part))
        return self.total

    def at_least(self, now: float) -> int:
        """No more than there were in the window that ends now."""
        number = int(now / self.part)
        self._age(number)
        if self.parts and self.parts[0][0] == number - PARTS:
            return self.total - self.parts[0][1]
        return self.total


class Budget:
    """What this edge may spend on further tries at one service.

    `ratio` and `slack` as the rule has them, `window` in seconds, `began`: when this life of the edge began.
    """

    def __init__(self, ratio: float, window: float, slack: float, began: float):
        self.ratio, self.window, self.slack, self.began = ratio, window, slack, began
        self.requests, self.extras = Counter(window), Counter(window)

    def request(self, now: float) -> None:
        """A client's request for the service arrived here."""
        self.requests.add(now)

    def room(self, now: float, edges: int) -> float:
        """How many more further tries may arrive now, with so many edges sharing the slack."""
        share = self.slack * SLACK_PART / max(1, edges) if now - self.began >= self.window else 0.0
        return self.ratio * RATIO_PART * self.requests.at_least(now) + share - self.extras.at_most(now)

    def take(self, now: float, edges: int) -> bool:
        """Spend one further try, if there is room."""
        if self.room(now, edges) < 1.0:
            return False
        self.extras.add(now)
        return True

    def give_back(self, now: float) -> None:
        """A try that was taken did not arrive: no connection came up."""
        self.extras.add(now, -1)
