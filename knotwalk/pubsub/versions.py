"""The published table and its versions: what changed since, at the cost of what changed.

Owns the newest state of every line, level and withdrawal, each with the version that set it. Pure. It must never hand
out a change whose predecessors it has forgotten: a base below the floor is refused.
"""

from bisect import bisect_left
from collections import OrderedDict, deque
from collections.abc import Container, Iterator, Mapping
from typing import NamedTuple

RETAIN = 20_000  # removals kept for old bases: some hours of storms at the grown size, 2 MB


GAPS = 64  # lives whose lost versions are told from others: a base from before them gets a snapshot


class Slice:
    """One slice's newest state: weight and version by server, (share, retry) and version by method.

    A weight of 0 is a removal, kept until no base that is served can lack it.
    """

    __slots__ = ("id", "version", "lines", "levels")

    def __init__(self, id: int):
        self.id = id
        self.version = 0  # of its last change
        self.lines: dict[str, tuple[float, int]] = {}
        self.levels: dict[int, tuple[float, int, int]] = {}

    def whole(self) -> "Part":
        """Its state, removals left out."""
        return Part(
            self.id,
            True,
            {k: w for k, (w, _) in self.lines.items() if w},
            {k: (share, retry) for k, (share, retry, _) in self.levels.items()},
        )

    def since(self, version: int) -> "Part":
        """What was set after a version."""
        return Part(
            self.id,
            False,
            {k: w for k, (w, v) in self.lines.items() if v > version},
            {k: (share, retry) for k, (share, retry, v) in self.levels.items() if v > version},
        )


class Part(NamedTuple):
    """What a message says of one slice: taken in whole or not at all."""

    slice: int
    whole: bool  # whether it replaces what was there
    lines: Mapping[str, float]  # weight 0 removes
    levels: Mapping[int, tuple[float, int]]

    @property
    def size(self) -> int:
        """Lines that it counts for; emptying a slice is one."""
        return max(1, len(self.lines) + len(self.levels))


class Delta(NamedTuple):
    """What a message says: slices, withdrawals, and levels for all slices."""

    parts: tuple[Part, ...]
    shut: Mapping[str, bool]
    levels: Mapping[int, tuple[float, int]]

    @property
    def size(self) -> int:
        """Lines that it counts for, by rule 5."""
        return sum(p.size for p in self.parts) + len(self.shut) + len(self.levels)


class Table:
    """What subscribers should hold.

    >>> table = Table("e")
    >>> table.line(7, "a", 1.0); table.line(7, "b", 1.0); table.line(7, "a", 0.0)
    >>> table.version, table.since(1).parts[0].lines == {"b": 1.0, "a": 0.0}
    (3, True)
    """

    def __init__(self, epoch: str, version: int = 0, retain: int = RETAIN):
        self.epoch, self.version, self.floor, self.retain = epoch, version, version, retain
        self.slices: OrderedDict[int, Slice] = OrderedDict()  # the one changed last at the end
        self.ids: list[int] = []  # in order, for snapshots; see places
        self.sorted = True
        self.shut: OrderedDict[str, tuple[bool, int]] = OrderedDict()
        self.levels: dict[int, tuple[float, int, int]] = {}
        self.removed: deque[tuple[int, int | None, str]] = deque()  # version, slice or None, server
        self.used: dict[str, int] = {}  # lines by server
        self.gaps: list[tuple[int, int]] = []  # versions between two were perhaps told by an earlier life

    # --- changes ---

    def touch(self, id: int) -> Slice:
        self.version += 1
        s = self.slices.get(id)
        if s is None:
            s = self.slices[id] = Slice(id)
            self.ids.append(id)
            self.sorted = False
        else:
            self.slices.move_to_end(id)
        s.version = self.version
        return s

    def line(self, slice_id: int, server: str, weight: float) -> None:
        """Set one line; weight 0 removes it. What stands already is no change."""
        s = self.slices.get(slice_id)
        old = s.lines.get(server, (0.0, 0))[0] if s else 0.0
        if old == weight:
            return
        s = self.touch(slice_id)
        s.lines[server] = weight, self.version
        if not old:
            self.used[server] = self.used.get(server, 0) + 1
        if not weight:
            self.used[server] -= 1
            if not self.used[server]:
                del self.used[server]
            self.forget(slice_id, server)

    def level(self, slice_id: int | None, method: int, share: float, retry: int) -> None:
        if slice_id is None:
            if self.levels.get(method, (None, None))[:2] != (share, retry):
                self.version += 1
                self.levels[method] = share, retry, self.version
            return
        s = self.slices.get(slice_id)
        if s is None or s.levels.get(method, (None, None))[:2] != (share, retry):
            s = self.touch(slice_id)
            s.levels[method] = share, retry, self.version

    def withdraw(self, server: str, shut: bool) -> None:
        if self.shut.get(server, (False, 0))[0] == shut:
            return
        self.version += 1
        self.shut[server] = shut, self.version
        self.shut.move_to_end(server)
        if not shut:
            self.forget(None, server)

    def replace(self, slice_id: int, lines: Mapping[str, float]) -> None:
        """Make a slice's lines these: only what differs becomes a change."""
        s = self.slices.get(slice_id)
        for server in [k for k, (w, _) in s.lines.items() if w and k not in lines] if s else ():
            self.line(slice_id, server, 0.0)
        for server, weight in lines.items():
            self.line(slice_id, server, weight)

    def forget(self, slice_id: int | None, server: str) -> None:
        """A removal need not be kept for ever: past `retain`, the oldest go, and with them the bases below."""
        self.removed.append((self.version, slice_id, server))
        while len(self.removed) > self.retain:
            version, id, name = self.removed.popleft()
            self.floor = version
            held: dict | None = self.shut if id is None else self.slices[id].lines
            if held is not None and name in held and held[name][1] == version:
                del held[name]

    # --- what a subscriber lacks ---

    def places(self) -> list[int]:
        """The slices in the order of snapshots."""
        if not self.sorted:
            self.ids.sort()
            self.sorted = True
        return self.ids

    def known(self, version: int) -> bool:
        """Whether changes since a version can be told."""
        return self.floor <= version <= self.version

    def since(self, version: int, wanted: Container[int] | None = None, below: int | None = None) -> Delta:
        """All that was set after a version, of the slices wanted and with an id below a place.

        Costs what changed: slices lie in the order of their last change.
        """
        assert version >= self.floor, "a base too old"
        parts = []
        for s in reversed(self.slices.values()):
            if s.version <= version:
                break
            if (below is None or s.id < below) and (wanted is None or s.id in wanted):
                parts.append(s.since(version))
        return Delta(tuple(parts), *self.general(version))

    def general(self, version: int) -> tuple[dict[str, bool], dict[int, tuple[float, int]]]:
        """Withdrawals and levels for all slices that were set after a version."""
        shut = {}
        for server, (out, v) in reversed(self.shut.items()):
            if v <= version:
                break
            shut[server] = out
        return shut, {k: (share, retry) for k, (share, retry, v) in self.levels.items() if v > version}

    def pieces(
        self, place: int, most: int, wanted: Container[int] | None = None
    ) -> tuple[tuple[Part, ...], int | None]:
        """Whole slices from a place on, up to so many lines but one slice at least; and the next place, None at
        the end."""
        ids, parts, size = self.places(), [], 0
        for k in range(self.at(place), len(ids)):
            if wanted is not None and ids[k] not in wanted:
                continue
            part = self.slices[ids[k]].whole()
            if parts and size + part.size > most:
                return tuple(parts), ids[k]
            parts.append(part)
            size += part.size
        return tuple(parts), None

    def at(self, place: int) -> int:
        """Where in the order of snapshots a place lies."""
        return bisect_left(self.places(), place)

    def live(self) -> list[str]:
        """The servers that some line names and that are not withdrawn: the rest is not to be sent to."""
        return [x for x in self.used if not self.shut.get(x, (False, 0))[0]]

    def rows(self) -> Iterator[tuple[int, str, float]]:
        """All lines that stand."""
        for id, s in self.slices.items():
            yield from ((id, server, w) for server, (w, _) in s.lines.items() if w)

    # --- as a checkpoint ---

    def snapshot(self) -> dict:
        """All of it as plain values."""
        return {
            "format": 1,
            "epoch": self.epoch,
            "version": self.version,
            "floor": self.floor,
            "slices": [
                [
                    s.id,
                    s.version,
                    [[k, w, v] for k, (w, v) in s.lines.items()],
                    [[k, *row] for k, row in s.levels.items()],
                ]
                for s in self.slices.values()
            ],
            "shut": [[k, out, v] for k, (out, v) in self.shut.items()],
            "levels": [[k, *row] for k, row in self.levels.items()],
            "removed": [list(x) for x in self.removed],
            "gaps": [list(x) for x in self.gaps],
        }

    @classmethod
    def restored(cls, told: Mapping, ceiling: int, retain: int = RETAIN) -> "Table":
        """A table that goes on from a checkpoint. Versions after it and below `ceiling` may have been told: none of
        them is given again, and a base among them is unknown.

        Raises ValueError for what is no checkpoint of this format.
        """
        try:
            if told["format"] != 1:
                raise ValueError(f"a table of format {told['format']}; this version reads 1")
            table = cls(str(told["epoch"]), int(told["version"]), retain)
            table.floor = int(told["floor"])
            for id, version, lines, levels in told["slices"]:
                s = table.slices[id] = Slice(id)
                s.version = version
                s.lines = {k: (w, v) for k, w, v in lines}
                s.levels = {k: (share, retry, v) for k, share, retry, v in levels}
                table.ids.append(id)
                for k, w, _ in lines:
                    if w:
                        table.used[k] = table.used.get(k, 0) + 1
            table.sorted = False
            table.shut = OrderedDict((k, (out, v)) for k, out, v in told["shut"])
            table.levels = {k: (share, retry, v) for k, share, retry, v in told["levels"]}
            table.gaps = [(a, b) for a, b in told["gaps"]]
            table.removed.extend((v, id, k) for v, id, k in told["removed"])
        except (KeyError, TypeError, IndexError, AttributeError) as fault:
            raise ValueError(f"no checkpoint of a table: {fault!r}") from None
        if ceiling > table.version:
            table.gaps.append((table.version, ceiling))
            table.version = ceiling
        # A subscriber may have missed whole lives, so a gap stays one as long as a base below it is served.
        while len(table.gaps) > GAPS:
            table.floor = max(table.floor, table.gaps.pop(0)[1])
        return table

    def holds(self, version: int) -> bool:
        """Whether this table was at a version, and changes since can be told."""
        return self.known(version) and not any(a < version < b for a, b in self.gaps)
