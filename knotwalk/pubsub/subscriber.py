"""The subscriber's end: keeps a table by what a publisher says, and goes on alone with the last one.

Pure: fed messages, it answers with messages. It must never apply a change twice or out of order, hold half a message,
or throw away a line before a better one is there.
"""

from collections.abc import Mapping
from random import Random
from typing import Any

from knotwalk.pubsub import wire
from knotwalk.pubsub.versions import Delta

AGAIN_FIRST, AGAIN_MOST = 0.2, 20.0  # seconds before the next connection; doubles, jitter of half to one and a half
STEADY = 5.0  # seconds for which a stream was heard that make it one of use, though it brought nothing
FOLLOW = 10.0  # seconds of silence of a newer publisher after which an older one is followed again


class Gap(Exception):
    """A message that cannot follow what is held; the text says why."""


class Subscriber:
    """One subscriber's table over any number of streams."""

    def __init__(
        self,
        name: str,
        seed: int,
        proxy: int | None = None,
        zone: str | None = None,
        wanted: list[int] | None = None,
        of_zone: str | None = None,
        key: str | None = None,
    ):
        self.name, self.proxy, self.zone, self.wanted, self.of_zone, self.key = name, proxy, zone, wanted, of_zone, key
        self.random = Random(seed)
        self.tables: dict[int, dict[str, float]] = {}
        self.slice_levels: dict[int, dict[int, tuple[float, int]]] = {}
        self.levels: dict[int, tuple[float, int]] = {}
        self.shut: set[str] = set()
        self.epoch: str | None = None
        self.version = 0
        self.place: int | None = 0  # what a snapshot under way brings next; None: the table is whole
        self.whole = False  # whether it ever was
        self.token: str | None = None
        self.seen: set[int] = set()  # slices that the snapshot under way has brought
        self.live: frozenset[str] | None = None  # servers in use, while lines of an older table are held
        self.number = 0  # of the last message on this stream
        self.nacked = False  # a message was refused: the rest is void up to a new beginning
        self.applied = 0  # messages, ever
        self.applied_before, self.welcomed_at = 0, 0.0
        self.tries = 0
        self.born = float("-inf")  # of the publisher followed
        self.heard_at = float("-inf")

    # --- streams ---

    def hello(self) -> bytes:
        """The first message of a new stream."""
        self.number, self.nacked = 0, False
        members: dict[str, Any] = {"v": wire.VERSION, "name": self.name}
        for name, value in (
            ("proxy", self.proxy),
            ("zone", self.zone),
            ("wants", self.wanted),
            ("of_zone", self.of_zone),
            ("token", self.token),
            ("key", self.key),
        ):
            if value is not None:
                members[name] = value
        if self.whole:
            members["usable"] = True
        return wire.line("hello", **members)

    def again(self, now: float) -> float:
        """Seconds until the next connection, after one that ended or never came up."""
        if self.heard_at - self.welcomed_at > STEADY or self.applied > self.applied_before:
            self.tries = 0  # the last stream was of use
        self.applied_before, self.welcomed_at = self.applied, now
        wait = min(AGAIN_MOST, AGAIN_FIRST * 2 ** min(self.tries, 20))
        self.tries += 1
        return wait * self.random.uniform(0.5, 1.5)

    def refused(self, why: str) -> None:
        """The publisher would not have it. A token may be the reason: the next hello goes without."""
        self.token = None

    def message(self, now: float, told: Mapping) -> list[bytes]:
        """One message of the publisher; the answers. Raises ValueError for what is none, Gap never."""
        kind = told["t"]
        if kind == "welcome":
            self.welcome(now, told)
            return []
        self.heard_at = now
        if kind not in ("change", "piece"):
            return []
        n = wire.whole_number(told.get("n"))
        if n != self.number + 1:
            raise ValueError(f"message {n} after {self.number}")
        self.number = n
        if self.nacked and not ("live" in told and kind == "piece"):
            return []  # sent before the publisher had heard of the refusal
        self.nacked = False
        delta = wire.decoded(told.get("d"))
        try:
            need = self.piece(told, delta) if kind == "piece" else self.change(told, delta)
        except Gap as fault:
            self.nacked = True
            return [wire.line("nack", n=n, why=str(fault))]
        self.token = str(told["token"])
        self.applied += 1
        return [wire.line("ack", n=n, need=need) if need else wire.line("ack", n=n)]

    def welcome(self, now: float, told: Mapping) -> None:
        """Who is there. Guards against an old publisher that is not quite dead: the newest is followed while it is
        heard of. Raises ValueError for one that is not followed."""
        born = wire.weight(told.get("born"))
        if born < self.born and now < self.heard_at + FOLLOW:
            raise ValueError(f"a publisher of {born:.3f}, and one of {self.born:.3f} is followed")
        if told.get("epoch") != self.epoch:
            self.token = None  # of another epoch: it says nothing there
        self.born, self.heard_at, self.welcomed_at = born, now, now

    # --- the table ---

    def piece(self, told: Mapping, delta: Delta) -> list[int]:
        """One piece of a snapshot; the slices left without a line that is known to be good."""
        at, next_place = wire.whole_number(told.get("at")), told.get("next")
        version = wire.whole_number(told.get("to"))
        need: list[int] = []
        if "live" in told:
            self.epoch, self.seen = str(told["epoch"]), set()
            self.live = frozenset(map(str, told["live"]))
            self.shut.clear()
            self.levels.clear()
        elif told.get("epoch") != self.epoch or at != self.place:
            raise Gap(f"a piece at {at} of {told.get('epoch')}; {self.place} of {self.epoch} is wanted")
        self.apply(delta)
        self.seen.update(p.slice for p in delta.parts)
        if "live" in told:
            need = self.bury()
        self.version, self.place = version, None if next_place is None else wire.whole_number(next_place)
        if self.place is None:
            for slice_id in [k for k in self.tables if k not in self.seen]:
                del self.tables[slice_id]
                self.slice_levels.pop(slice_id, None)
            self.whole, self.live, self.seen = True, None, set()
        return need

    def bury(self) -> list[int]:
        """Take lines to servers out of use from what an older table left, but never a slice's last."""
        assert self.live is not None
        need = []
        for slice_id, lines in self.tables.items():
            if slice_id in self.seen or not lines:
                continue
            alive = {k: w for k, w in lines.items() if k in self.live}
            if alive:
                self.tables[slice_id] = alive
            else:
                need.append(slice_id)
        return need

    def change(self, told: Mapping, delta: Delta) -> list[int]:
        """What was set since the version that is held."""
        if told.get("from") != self.version or self.place is not None:
            raise Gap(
                f"a change from {told.get('from')}; {self.version} is held"
                + ("" if self.place is None else ", and not whole")
            )
        self.apply(delta)
        self.version = wire.whole_number(told.get("to"))
        return []

    def apply(self, delta: Delta) -> None:
        for p in delta.parts:
            lines = {} if p.whole else self.tables.get(p.slice, {})
            lines = {**lines, **p.lines}
            self.tables[p.slice] = {k: w for k, w in lines.items() if w}
            levels = {} if p.whole else self.slice_levels.get(p.slice, {})
            self.slice_levels[p.slice] = {**levels, **p.levels}
        for server, out in delta.shut.items():
            (self.shut.add if out else self.shut.discard)(server)
        self.levels.update(delta.levels)

    def lines(self, slice_id: int) -> dict[str, float]:
        """What may be sent to for a slice."""
        return {k: w for k, w in self.tables.get(slice_id, {}).items() if k not in self.shut}

    def rows(self) -> list[tuple[int, str, float]]:
        """All lines held."""
        return [(k, server, w) for k, lines in self.tables.items() for server, w in lines.items()]
