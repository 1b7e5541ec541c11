"""The entries of the consensus log that are kept in memory: those after the snapshot and some before it. Pure."""

import json

from knotwalk.consensus.raft_types import Entry

MAX_BATCH_BYTES = 256 * 1024  # entries in one message: about 2 ms on a 1 Gbit/s link


class Log:
    """The entries after index `base`."""

    def __init__(self, base: int, base_term: int, entries: list[Entry]) -> None:
        self.base, self.base_term = base, base_term
        self.entries: list[Entry] = []
        self.sizes: list[int] = []
        for entry in entries:
            self.append(entry)

    @property
    def last(self) -> int:
        """The index of the last entry; `base` if there are none."""
        return self.base + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def entry_at(self, index: int) -> Entry:
        """The entry at `index`, which is greater than `base`."""
        return self.entries[index - self.base - 1]

    def term_at(self, index: int) -> int | None:
        """The term of the entry at `index`; None outside the log."""
        if index == self.base:
            return self.base_term
        return self.entry_at(index).term if self.base < index <= self.last else None

    def append(self, entry: Entry) -> None:
        """Append an entry; ValueError if its index does not follow the last one."""
        if entry.index != self.last + 1:
            raise ValueError(f"entry {entry.index} does not follow {self.last}")
        self.entries.append(entry)
        self.sizes.append(len(json.dumps(entry.body, separators=(",", ":"))) + 40)

    def truncate(self, index: int) -> None:
        """Remove the entries from `index` on."""
        del self.entries[index - self.base - 1 :], self.sizes[index - self.base - 1 :]

    def drop_through(self, index: int) -> None:
        """Remove the entries up to and including `index`."""
        if index > self.base:
            term = self.term_at(index)
            assert term is not None
            del self.entries[: index - self.base], self.sizes[: index - self.base]
            self.base, self.base_term = index, term

    def size(self, index: int) -> int:
        """The size in bytes of the entry at `index`, which is greater than `base`."""
        return self.sizes[index - self.base - 1]

    def batch(self, first: int, last: int, max_bytes: int = MAX_BATCH_BYTES) -> list[Entry]:
        """The entries from `first` to `last`: at least one, and no more than `max_bytes` beyond it."""
        size, start = 0, first - self.base - 1
        stop = start
        while stop < last - self.base and (stop == start or size + self.sizes[stop] <= max_bytes):
            size += self.sizes[stop]
            stop += 1
        return self.entries[start:stop]
