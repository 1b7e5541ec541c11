"""Picks: from a slice's lines to a server, by two weighted draws, shunning what keeps failing.

Owns the index of lines made for drawing, what this process has under way at each server, and who is shunned. Pure: time
and chance are handed over. It must never pick a server that is withdrawn, nor leave a slice without a pick while a line
stands: where all are shunned, the one whose time is over soonest is taken.
"""

from bisect import bisect
from collections.abc import Mapping
from itertools import accumulate
from random import Random

STRIKES = 3  # failures in a row after which a server is shunned, as the platform's proxies have it
SHUN = 4.0  # seconds: longer than a hiccup, shorter than a restart
# Lines from which an alias table is quicker than a search of their sums: at 64 lines 0.60 against 0.55 microseconds a
# draw, at 1,000 0.63 against 0.72, at 10,000 0.69 against 0.88. Ordinary tables have a few.
ALIAS_LEAST = 256


class Server:
    """A server as this process meets it."""

    __slots__ = ("id", "under_way", "strikes", "shunned_until")

    def __init__(self, id: str):
        self.id = id
        self.under_way = 0  # RPCs of ours that it has
        self.strikes = 0  # failures in a row
        self.shunned_until = 0.0


class Lines:
    """One slice's lines, made for drawing by weight in constant time; a change makes a new one.

    >>> lines = Lines({"a": 1.0, "b": 3.0}, {})
    >>> r = Random(1); [lines.draw(r).id for _ in range(400)].count("b") in range(270, 330)
    True
    """

    __slots__ = ("servers", "sums", "keep", "other")

    def __init__(self, weights: Mapping[str, float], servers: dict[str, Server], least: int = ALIAS_LEAST):
        self.servers = [servers.get(x) or servers.setdefault(x, Server(x)) for x in weights]
        self.sums = list(accumulate(weights.values()))
        self.keep: list[float] = []
        self.other: list[int] = []
        if len(self.servers) >= least:
            self.alias(list(weights.values()))

    def alias(self, weights: list[float]) -> None:
        """Walker's table, by Vose's way: each place keeps its own with some chance and else gives another."""
        n = len(weights)
        scaled = [w * n / self.sums[-1] for w in weights]
        self.keep, self.other = [1.0] * n, list(range(n))
        small = [k for k, w in enumerate(scaled) if w < 1]
        large = [k for k, w in enumerate(scaled) if w >= 1]
        while small and large:
            low, high = small.pop(), large[-1]
            self.keep[low], self.other[low] = scaled[low], high
            scaled[high] -= 1 - scaled[low]
            if scaled[high] < 1:
                small.append(large.pop())

    def draw(self, random: Random) -> Server:
        if self.keep:
            at = random.random() * len(self.keep)
            k = int(at)
            return self.servers[k if at - k < self.keep[k] else self.other[k]]
        return self.servers[bisect(self.sums, random.random() * self.sums[-1])]


class Picker:
    """All slices' lines in one process."""

    def __init__(self, random: Random):
        self.random = random
        self.servers: dict[str, Server] = {}
        self.slices: dict[int, Lines] = {}
        self.told: dict[int, dict[str, float]] = {}
        self.shut: set[str] = set()

    def table(self, slice_id: int, lines: Mapping[str, float]) -> None:
        """A slice's lines from now on."""
        self.told[slice_id] = dict(lines)
        self.index(slice_id)

    def withdraw(self, server: str, shut: bool) -> None:
        """Pick a server no more, whatever tables say, or again."""
        (self.shut.add if shut else self.shut.discard)(server)
        for slice_id, lines in self.told.items():
            if server in lines:
                self.index(slice_id)

    def index(self, slice_id: int) -> None:
        weights = {k: w for k, w in self.told[slice_id].items() if w > 0 and k not in self.shut}
        if weights:
            self.slices[slice_id] = Lines(weights, self.servers)
        else:
            self.slices.pop(slice_id, None)

    def free(self) -> None:
        """Let go of servers that no table names and that have nothing of ours."""
        named = {x for lines in self.told.values() for x in lines}
        for id in [k for k, x in self.servers.items() if k not in named and not x.under_way]:
            del self.servers[id]

    def pick(self, now: float, slice_id: int) -> Server | None:
        """A server for one RPC, which counts as under way there until done(); None if no line stands."""
        lines = self.slices.get(slice_id)
        if lines is None:
            return None
        one, two = lines.draw(self.random), lines.draw(self.random)
        if one.shunned_until > now or two.shunned_until > now:
            one = self.open(now, lines, one, two)
        elif two.under_way < one.under_way:
            one = two
        one.under_way += 1
        return one

    def open(self, now: float, lines: Lines, one: Server, two: Server) -> Server:
        """One that is not shunned, by weight among the rest; if all are, the one that is shunned least long."""
        for x in (one, two):
            if x.shunned_until <= now:
                return x
        weights = {
            x.id: b - a for x, a, b in zip(lines.servers, [0.0, *lines.sums], lines.sums) if x.shunned_until <= now
        }
        if weights:
            return Lines(weights, self.servers).draw(self.random)
        return min(lines.servers, key=lambda x: x.shunned_until)

    def done(self, now: float, server: Server, ok: bool) -> None:
        """An RPC is over. Failures in a row shun its server for a while; one answer takes that back."""
        server.under_way -= 1
        if ok:
            server.strikes, server.shunned_until = 0, 0.0
        else:
            server.strikes += 1
            if server.strikes >= STRIKES:
                server.strikes, server.shunned_until = 0, now + SHUN
