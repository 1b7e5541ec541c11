"""A ring buffer: the bytes of one direction of one connection.

Owns the memory between a socket and a protocol machine, and its bound. It must never know what bytes mean.
"""

FIRST = 1024  # bytes at the start: an ordinary call or an answer to a probe fits; it doubles at need


class Ring:
    """Bytes in order; grows by doubling up to `most`.

    >>> ring = Ring(8)
    >>> ring.put(b"abcdef")
    True
    >>> ring.took(4); ring.put(b"ghijkl"), bytes(ring.data()), ring.put(b"m")
    (True, b'efgh', False)
    """

    def __init__(self, most: int, first: int = FIRST):
        self.most = most
        self.buffer = bytearray(min(first, most))
        self.start = self.size = 0

    def data(self) -> memoryview:
        """The first bytes, as many as lie in one piece."""
        return memoryview(self.buffer)[self.start : min(self.start + self.size, len(self.buffer))]

    def took(self, count: int) -> None:
        """Drop the first bytes."""
        self.size -= count
        self.start = (self.start + count) % len(self.buffer) if self.size else 0

    def room(self) -> memoryview:
        """Free space in one piece, empty if the ring is full."""
        if self.size == len(self.buffer) < self.most:
            self.grow(2 * self.size)
        end = (self.start + self.size) % len(self.buffer)
        if self.size == len(self.buffer):
            return memoryview(b"")
        return memoryview(self.buffer)[end : self.start if end < self.start else len(self.buffer)]

    def wrote(self, count: int) -> None:
        """So many bytes were put into room()."""
        self.size += count

    def put(self, data: bytes) -> bool:
        """Add all of it, or nothing if it does not fit."""
        if self.size + len(data) > self.most:
            return False
        if self.size + len(data) > len(self.buffer):
            self.grow(self.size + len(data))
        at = 0
        while at < len(data):
            room = self.room()
            count = min(len(room), len(data) - at)
            room[:count] = data[at : at + count]
            self.wrote(count)
            at += count
        return True

    def grow(self, least: int) -> None:
        length = len(self.buffer)
        while length < least:
            length *= 2
        held = bytes(self.data())
        rest = self.size - len(held)
        held += bytes(self.buffer[:rest])
        self.buffer = bytearray(min(length, self.most))
        self.buffer[: len(held)] = held
        self.start = 0
