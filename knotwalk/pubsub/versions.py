"""The published table, versioned: computes what changed since a version, at a cost proportional to the changes.

Holds the newest state of every line (slice, server, weight), level (the admitted share of a method's requests, and its
retry mode) and withdrawal of a server, each with the version that set it. Does no I/O and reads no clock. Changes since
a version below the floor are never computed, because removals from before the floor have been discarded.
"""

from bisect import bisect_left
from collections import OrderedDict, deque
from collections.abc import Container, Iterator, Mapping
from typing import NamedTuple

# Removals kept so that subscribers with an old version can be sent changes: some hours of constant changes in a large
# installation, about 2 MB.
MAX_REMOVALS = 20_000


MAX_LOST_RANGES = 64  # ranges of lost versions remembered; a subscriber from before the oldest gets a snapshot


class Slice:
    """One slice's newest state: weight and version by server, (share, retry) and version by method.

    A weight of 0 marks a removed line. It is kept as long as some subscriber's version may be older than the removal.
    """

    __slots__ = ("id", "version", "lines", "levels")

    def __init__(self, id: int):
        self.id = id
        self.version = 0  # the version of its last change
        self.lines: dict[str, tuple[float, int]] = {}
        self.levels: dict[int, tuple[float, int, int]] = {}

    def full_update(self) -> "SliceUpdate":
        """The slice's state without removed lines."""
        return SliceUpdate(
            self.id,
            True,
            {k: w for k, (w, _) in self.lines.items() if w},
            {k: (share, retry) for k, (share, retry, _) in self.levels.items()},
        )

    def changes_since(self, version: int) -> "SliceUpdate":
        """Lines and levels that were set after a version."""
        return SliceUpdate(
            self.id,
            False,
            {k: w for k, (w, v) in self.lines.items() if v > version},
            {k: (share, retry) for k, (share, retry, v) in self.levels.items() if v > version},
        )


class SliceUpdate(NamedTuple):
    """The part of a message that concerns one slice; a subscriber applies all of it or nothing."""

    slice: int
    is_full: bool  # replaces the slice's lines and levels instead of updating them
    lines: Mapping[str, float]  # weight by server; 0 removes the line
    levels: Mapping[int, tuple[float, int]]  # (share, retry) by method

    @property
    def size(self) -> int:
        """Lines that it counts for under the caps; a slice without lines counts as one."""
        return max(1, len(self.lines) + len(self.levels))


class Delta(NamedTuple):
    """The content of a message: updates of slices, withdrawals of servers, and levels for all slices."""

    parts: tuple[SliceUpdate, ...]
    withdrawn: Mapping[str, bool]  # by server: True withdraws it, False takes the withdrawal back
    levels: Mapping[int, tuple[float, int]]

    @property
    def size(self) -> int:
        """Lines that it counts for under the caps (rule 5)."""
        return sum(p.size for p in self.parts) + len(self.withdrawn) + len(self.levels)


class Table:
    """The table that every subscriber should end up with.

    >>> table = Table("e")
    >>> table.set_line(7, "a", 1.0); table.set_line(7, "b", 1.0); table.set_line(7, "a", 0.0)
    >>> table.version, table.changes_since(1).parts[0].lines == {"b": 1.0, "a": 0.0}
    (3, True)
    """

    def __init__(self, epoch: str, version: int = 0, max_removals: int = MAX_REMOVALS):
        self.epoch, self.version, self.floor, self.max_removals = epoch, version, version, max_removals
        self.slices: OrderedDict[int, Slice] = OrderedDict()  # in the order of their last change, the newest last
        self.ids: list[int] = []  # ids of all slices; see sorted_ids
        self.is_sorted = True
        self.withdrawn: OrderedDict[str, tuple[bool, int]] = OrderedDict()
        self.levels: dict[int, tuple[float, int, int]] = {}  # (share, retry, version) by method, for all slices
        self.removals: deque[tuple[int, int | None, str]] = deque()  # (version, slice or None for a withdrawal, server)
        self.line_counts: dict[str, int] = {}  # number of lines by server
        # An earlier incarnation may have published versions strictly between these bounds; their content is lost.
        self.lost_ranges: list[tuple[int, int]] = []

    # --- changes ---

    def touch(self, id: int) -> Slice:
        """Start a new version and mark the slice as changed in it."""
        self.version += 1
        state = self.slices.get(id)
        if state is None:
            state = self.slices[id] = Slice(id)
            self.ids.append(id)
            self.is_sorted = False
        else:
            self.slices.move_to_end(id)
        state.version = self.version
        return state

    def set_line(self, slice_id: int, server: str, weight: float) -> None:
        """Set one line; weight 0 removes it. Setting the current weight again makes no new version."""
        state = self.slices.get(slice_id)
        old = state.lines.get(server, (0.0, 0))[0] if state else 0.0
        if old == weight:
            return
        state = self.touch(slice_id)
        state.lines[server] = weight, self.version
        if not old:
            self.line_counts[server] = self.line_counts.get(server, 0) + 1
        if not weight:
            self.line_counts[server] -= 1
            if not self.line_counts[server]:
                del self.line_counts[server]
            self.record_removal(slice_id, server)

    def set_level(self, slice_id: int | None, method: int, share: float, retry: int) -> None:
        if slice_id is None:
            if self.levels.get(method, (None, None))[:2] != (share, retry):
                self.version += 1
                self.levels[method] = share, retry, self.version
            return
        state = self.slices.get(slice_id)
        if state is None or state.levels.get(method, (None, None))[:2] != (share, retry):
            state = self.touch(slice_id)
            state.levels[method] = share, retry, self.version

    def set_withdrawn(self, server: str, withdrawn: bool) -> None:
        if self.withdrawn.get(server, (False, 0))[0] == withdrawn:
            return
        self.version += 1
        self.withdrawn[server] = withdrawn, self.version
        self.withdrawn.move_to_end(server)
        if not withdrawn:
            self.record_removal(None, server)

    def replace_lines(self, slice_id: int, lines: Mapping[str, float]) -> None:
        """Replace all lines of a slice; only lines that differ make new versions."""
        state = self.slices.get(slice_id)
        for server in [k for k, (w, _) in state.lines.items() if w and k not in lines] if state else ():
            self.set_line(slice_id, server, 0.0)
        for server, weight in lines.items():
            self.set_line(slice_id, server, weight)

    def record_removal(self, slice_id: int | None, server: str) -> None:
        """Remember the removal just made, and discard the oldest ones beyond `max_removals`.

        Discarding one raises the floor to its version: subscribers below it can no longer be sent changes.
        """
        self.removals.append((self.version, slice_id, server))
        while len(self.removals) > self.max_removals:
            version, id, name = self.removals.popleft()
            self.floor = version
            held: dict | None = self.withdrawn if id is None else self.slices[id].lines
            if held is not None and name in held and held[name][1] == version:
                del held[name]

    # --- changes since a version ---

    def sorted_ids(self) -> list[int]:
        """The ids of all slices in ascending order, in which snapshots send them."""
        if not self.is_sorted:
            self.ids.sort()
            self.is_sorted = True
        return self.ids

    def is_retained(self, version: int) -> bool:
        """Whether all changes since a version are still held."""
        return self.floor <= version <= self.version

    def changes_since(self, version: int, wanted: Container[int] | None = None, below: int | None = None) -> Delta:
        """All that was set after a version, in the slices wanted (None: all) and with an id under `below` (None: all).

        The cost is proportional to the slices changed, since they are kept in the order of their last change.
        """
        assert version >= self.floor, "version is below the floor"
        parts = []
        for state in reversed(self.slices.values()):
            if state.version <= version:
                break
            if (below is None or state.id < below) and (wanted is None or state.id in wanted):
                parts.append(state.changes_since(version))
        return Delta(tuple(parts), *self.global_changes_since(version))

    def global_changes_since(self, version: int) -> tuple[dict[str, bool], dict[int, tuple[float, int]]]:
        """Withdrawals and levels for all slices that were set after a version."""
        withdrawn = {}
        for server, (is_withdrawn, v) in reversed(self.withdrawn.items()):
            if v <= version:
                break
            withdrawn[server] = is_withdrawn
        return withdrawn, {k: (share, retry) for k, (share, retry, v) in self.levels.items() if v > version}

    def snapshot_piece(
        self, first_id: int, max_lines: int, wanted: Container[int] | None = None
    ) -> tuple[tuple[SliceUpdate, ...], int | None]:
        """Whole slices with ids from `first_id` on, and the id at which the next piece begins (None after the last).

        Contains at least one slice, even if that has more than `max_lines` lines.
        """
        ids, parts, size = self.sorted_ids(), [], 0
        for position in range(self.index_of(first_id), len(ids)):
            if wanted is not None and ids[position] not in wanted:
                continue
            part = self.slices[ids[position]].full_update()
            if parts and size + part.size > max_lines:
                return tuple(parts), ids[position]
            parts.append(part)
            size += part.size
        return tuple(parts), None

    def index_of(self, slice_id: int) -> int:
        """The position in the order of snapshots of the first slice with at least this id."""
        return bisect_left(self.sorted_ids(), slice_id)

    def live_servers(self) -> list[str]:
        """The servers that have a line and are not withdrawn; no other server may be sent requests."""
        return [x for x in self.line_counts if not self.withdrawn.get(x, (False, 0))[0]]

    def rows(self) -> Iterator[tuple[int, str, float]]:
        """All lines as (slice, server, weight), without removed ones."""
        for id, state in self.slices.items():
            yield from ((id, server, w) for server, (w, _) in state.lines.items() if w)

    # --- checkpoints ---

    def snapshot(self) -> dict:
        """The whole table as plain values for storage."""
        return {
            "format": 1,
            "epoch": self.epoch,
            "version": self.version,
            "floor": self.floor,
            "slices": [
                [
                    state.id,
                    state.version,
                    [[k, w, v] for k, (w, v) in state.lines.items()],
                    [[k, *row] for k, row in state.levels.items()],
                ]
                for state in self.slices.values()
            ],
            "shut": [[k, is_withdrawn, v] for k, (is_withdrawn, v) in self.withdrawn.items()],
            "levels": [[k, *row] for k, row in self.levels.items()],
            "removed": [list(x) for x in self.removals],
            "gaps": [list(x) for x in self.lost_ranges],
        }

    @classmethod
    def from_snapshot(cls, snapshot: Mapping, ceiling: int, max_removals: int = MAX_REMOVALS) -> "Table":
        """A table that continues from a checkpoint.

        Versions after the checkpoint and below `ceiling` may have been published and are lost: none of them is used
        again, and a subscriber at one of them cannot be sent changes. Raises ValueError if the snapshot is not of this
        format.
        """
        try:
            if snapshot["format"] != 1:
                raise ValueError(f"a table of format {snapshot['format']}; this version reads 1")
            table = cls(str(snapshot["epoch"]), int(snapshot["version"]), max_removals)
            table.floor = int(snapshot["floor"])
            for id, version, lines, levels in snapshot["slices"]:
                state = table.slices[id] = Slice(id)
                state.version = version
                state.lines = {k: (w, v) for k, w, v in lines}
                state.levels = {k: (share, retry, v) for k, share, retry, v in levels}
                table.ids.append(id)
                for server, weight, _ in lines:
                    if weight:
                        table.line_counts[server] = table.line_counts.get(server, 0) + 1
            table.is_sorted = False
            table.withdrawn = OrderedDict((k, (is_withdrawn, v)) for k, is_withdrawn, v in snapshot["shut"])
            table.levels = {k: (share, retry, v) for k, share, retry, v in snapshot["levels"]}
            table.lost_ranges = [(a, b) for a, b in snapshot["gaps"]]
            table.removals.extend((v, id, k) for v, id, k in snapshot["removed"])
        except (KeyError, TypeError, IndexError, AttributeError) as error:
            raise ValueError(f"not a checkpoint of a table: {error!r}") from None
        if ceiling > table.version:
            table.lost_ranges.append((table.version, ceiling))
            table.version = ceiling
        # A subscriber may have missed whole incarnations, so a range counts as lost as long as versions below it are
        # retained.
        while len(table.lost_ranges) > MAX_LOST_RANGES:
            table.floor = max(table.floor, table.lost_ranges.pop(0)[1])
        return table

    def can_resume_from(self, version: int) -> bool:
        """Whether this table was at a version and holds all changes since."""
        return self.is_retained(version) and not any(a < version < b for a, b in self.lost_ranges)
