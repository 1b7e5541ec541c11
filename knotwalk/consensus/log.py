"""The entries of the consensus log that are kept in memory, after the snapshot or a little before it. Pure."""

import json

from knotwalk.consensus.orders import Entry

BATCH = 256 * 1024  # bytes of entries in one message: about 2 ms of a 1 Gbit/s line


class Log:
    """The entries after `base`, in memory."""

    def __init__(self, base: int, base_term: int, entries: list[Entry]) -> None:
        self.base, self.base_term = base, base_term
        self.entries: list[Entry] = []
        self.sizes: list[int] = []
        for entry in entries:
            self.append(entry)

    @property
    def last(self) -> int:
        """The last index."""
        return self.base + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def at(self, index: int) -> Entry:
        """The entry at `index`, which is after base."""
        return self.entries[index - self.base - 1]

    def term_at(self, index: int) -> int | None:
        """The term of an entry; None where the log does not reach."""
        if index == self.base:
            return self.base_term
        return self.at(index).term if self.base < index <= self.last else None

    def append(self, entry: Entry) -> None:
        """Put an entry at the end; ValueError where it does not follow."""
        if entry.index != self.last + 1:
            raise ValueError(f"entry {entry.index} does not follow {self.last}")
        self.entries.append(entry)
        self.sizes.append(len(json.dumps(entry.body, separators=(",", ":"))) + 40)

    def cut(self, index: int) -> None:
        """Drop the entries from `index` on."""
        del self.entries[index - self.base - 1 :], self.sizes[index - self.base - 1 :]

    def behead(self, index: int) -> None:
        """Drop the entries up to `index`."""
        if index > self.base:
            term = self.term_at(index)
            assert term is not None
            del self.entries[: index - self.base], self.sizes[: index - self.base]
            self.base, self.base_term = index, term

    def size(self, index: int) -> int:
        """Bytes of the entry at `index`, which is after base."""
        return self.sizes[index - self.base - 1]

    def batch(self, first: int, until: int, most: int = BATCH) -> list[Entry]:
        """Entries from `first` to `until`, at least one, at most `most` bytes."""
        size, start = 0, first - self.base - 1
        stop = start
        while stop < until - self.base and (stop == start or size + self.sizes[stop] <= most):
            size += self.sizes[stop]
            stop += 1
        return self.entries[start:stop]
