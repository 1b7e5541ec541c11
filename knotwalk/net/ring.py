"""A ring buffer: the bytes of one direction of one connection.

Owns the memory between a socket and a parser, and its limit. It must never know what the bytes mean.
"""

INITIAL_BYTES = 1024  # an ordinary call or the answer to a probe fits; the buffer doubles as needed


class RingBuffer:
    """A first-in, first-out byte buffer that grows by doubling up to `max_bytes`.

    >>> ring = RingBuffer(8)
    >>> ring.put(b"abcdef")
    True
    >>> ring.consume(4); ring.put(b"ghijkl"), bytes(ring.peek()), ring.put(b"m")
    (True, b'efgh', False)
    """

    def __init__(self, max_bytes: int, initial_bytes: int = INITIAL_BYTES):
        self.max_bytes = max_bytes
        self.buffer = bytearray(min(initial_bytes, max_bytes))
        self.start = self.size = 0

    def peek(self) -> memoryview:
        """The first bytes, as many as are contiguous."""
        return memoryview(self.buffer)[self.start : min(self.start + self.size, len(self.buffer))]

    def consume(self, count: int) -> None:
        """Drop the first `count` bytes."""
        self.size -= count
        self.start = (self.start + count) % len(self.buffer) if self.size else 0

    def free_space(self) -> memoryview:
        """Contiguous free space, empty if the buffer is full at its limit."""
        if self.size == len(self.buffer) < self.max_bytes:
            self.grow(2 * self.size)
        end = (self.start + self.size) % len(self.buffer)
        if self.size == len(self.buffer):
            return memoryview(b"")
        return memoryview(self.buffer)[end : self.start if end < self.start else len(self.buffer)]

    def commit(self, count: int) -> None:
        """Add `count` bytes that were written into free_space()."""
        self.size += count

    def put(self, data: bytes) -> bool:
        """Append all of the data, or none of it if it does not fit; whether it did."""
        if self.size + len(data) > self.max_bytes:
            return False
        if self.size + len(data) > len(self.buffer):
            self.grow(self.size + len(data))
        position = 0
        while position < len(data):
            space = self.free_space()
            count = min(len(space), len(data) - position)
            space[:count] = data[position : position + count]
            self.commit(count)
            position += count
        return True

    def grow(self, min_size: int) -> None:
        length = len(self.buffer)
        while length < min_size:
            length *= 2
        content = bytes(self.peek())
        rest = self.size - len(content)
        content += bytes(self.buffer[:rest])
        self.buffer = bytearray(min(length, self.max_bytes))
        self.buffer[: len(content)] = content
        self.start = 0
