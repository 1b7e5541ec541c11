"""Server selection: picks a server from a slice's lines by the power of two weighted choices, with outlier ejection.

Owns the index for weighted draws, the calls that this process has in flight at each server, and which servers are
ejected. Pure: time and randomness are passed in. It must never pick a withdrawn server, nor leave a slice that has a
line without a pick: if all its servers are ejected, it takes the one whose ejection ends first.
"""

from bisect import bisect
from collections.abc import Mapping
from itertools import accumulate
from random import Random

MAX_CONSECUTIVE_FAILURES = 3  # in a row eject a server, as in the platform's proxies
EJECTION_S = 4.0  # longer than a transient fault, shorter than a restart
# From this many lines on, an alias table is faster than a binary search of the cumulative weights. Measured for one
# draw: 0.60 against 0.55 microseconds at 64 lines, 0.63 against 0.72 at 1,000, 0.69 against 0.88 at 10,000. Ordinary
# tables have only a few lines.
MIN_ALIAS_LINES = 256


class Server:
    """This process's view of a server."""

    __slots__ = ("id", "in_flight", "failures", "ejected_until")

    def __init__(self, id: str):
        self.id = id
        self.in_flight = 0  # RPCs of this process at the server
        self.failures = 0  # consecutive failures
        self.ejected_until = 0.0


class WeightedServers:
    """One slice's lines, indexed for weighted random draws. Immutable: a change of the lines makes a new object.

    >>> lines = WeightedServers({"a": 1.0, "b": 3.0}, {})
    >>> r = Random(1); [lines.draw(r).id for _ in range(400)].count("b") in range(270, 330)
    True
    """

    __slots__ = ("servers", "sums", "keep_probability", "alias")

    def __init__(
        self, weights: Mapping[str, float], servers: dict[str, Server], min_alias_lines: int = MIN_ALIAS_LINES
    ):
        self.servers = [servers.get(x) or servers.setdefault(x, Server(x)) for x in weights]
        self.sums = list(accumulate(weights.values()))
        self.keep_probability: list[float] = []
        self.alias: list[int] = []
        if len(self.servers) >= min_alias_lines:
            self.build_alias_table(list(weights.values()))

    def build_alias_table(self, weights: list[float]) -> None:
        """Build Walker's alias table by Vose's method: a slot yields its own server by some chance, else its alias."""
        count = len(weights)
        scaled = [w * count / self.sums[-1] for w in weights]
        self.keep_probability, self.alias = [1.0] * count, list(range(count))
        small = [k for k, w in enumerate(scaled) if w < 1]
        large = [k for k, w in enumerate(scaled) if w >= 1]
        while small and large:
            low, high = small.pop(), large[-1]
            self.keep_probability[low], self.alias[low] = scaled[low], high
            scaled[high] -= 1 - scaled[low]
            if scaled[high] < 1:
                small.append(large.pop())

    def draw(self, random: Random) -> Server:
        if self.keep_probability:
            point = random.random() * len(self.keep_probability)
            slot = int(point)
            return self.servers[slot if point - slot < self.keep_probability[slot] else self.alias[slot]]
        return self.servers[bisect(self.sums, random.random() * self.sums[-1])]


class Picker:
    """Picks servers for all slices in one process."""

    def __init__(self, random: Random):
        self.random = random
        self.servers: dict[str, Server] = {}
        self.slices: dict[int, WeightedServers] = {}
        self.tables: dict[int, dict[str, float]] = {}
        self.withdrawn: set[str] = set()

    def set_table(self, slice_id: int, lines: Mapping[str, float]) -> None:
        """Set a slice's lines."""
        self.tables[slice_id] = dict(lines)
        self.rebuild(slice_id)

    def withdraw(self, server: str, is_withdrawn: bool) -> None:
        """Stop picking a server whatever the tables say (`is_withdrawn`), or allow it again."""
        (self.withdrawn.add if is_withdrawn else self.withdrawn.discard)(server)
        for slice_id, lines in self.tables.items():
            if server in lines:
                self.rebuild(slice_id)

    def rebuild(self, slice_id: int) -> None:
        weights = {k: w for k, w in self.tables[slice_id].items() if w > 0 and k not in self.withdrawn}
        if weights:
            self.slices[slice_id] = WeightedServers(weights, self.servers)
        else:
            self.slices.pop(slice_id, None)

    def remove_unused(self) -> None:
        """Forget servers that no table names and that have no RPC of this process in flight."""
        named = {x for lines in self.tables.values() for x in lines}
        for id in [k for k, x in self.servers.items() if k not in named and not x.in_flight]:
            del self.servers[id]

    def pick(self, now: float, slice_id: int) -> Server | None:
        """Pick a server for one RPC, which counts as in flight there until finish(); None if the slice has no line."""
        lines = self.slices.get(slice_id)
        if lines is None:
            return None
        first, second = lines.draw(self.random), lines.draw(self.random)
        if first.ejected_until > now or second.ejected_until > now:
            first = self.pick_available(now, lines, first, second)
        elif second.in_flight < first.in_flight:
            first = second
        first.in_flight += 1
        return first

    def pick_available(self, now: float, lines: WeightedServers, first: Server, second: Server) -> Server:
        """Pick a server that is not ejected, by weight; if all are, the one whose ejection ends first."""
        for x in (first, second):
            if x.ejected_until <= now:
                return x
        weights = {
            x.id: b - a for x, a, b in zip(lines.servers, [0.0, *lines.sums], lines.sums) if x.ejected_until <= now
        }
        if weights:
            return WeightedServers(weights, self.servers).draw(self.random)
        return min(lines.servers, key=lambda x: x.ejected_until)

    def finish(self, now: float, server: Server, ok: bool) -> None:
        """Record the end of an RPC. Consecutive failures eject the server for a while; a success ends the ejection."""
        server.in_flight -= 1
        if ok:
            server.failures, server.ejected_until = 0, 0.0
        else:
            server.failures += 1
            if server.failures >= MAX_CONSECUTIVE_FAILURES:
                server.failures, server.ejected_until = 0, now + EJECTION_S
