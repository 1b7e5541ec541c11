"""RESP2 framing: messages are arrays of bulk strings, parsed incrementally.

Owns framing alone: it is fed bytes and returns complete messages. It must never know a socket or what a message means,
and never hold more than one incomplete message.
"""

from knotwalk.net.loop import MessageTooLongError, ProtocolError

MAX_MESSAGE_BYTES = 1 << 20  # the protocol's limit
MAX_HEADER_BYTES = 24  # of a count or a length: no valid one is longer
MAX_ITEMS = 1 << 12  # a message has about twenty; each costs memory beyond its bytes
ITEM_OVERHEAD_BYTES = 64  # memory of an item beyond its bytes


class RespParser:
    """An incremental parser of the messages of one connection."""

    def __init__(self):
        self.buffer = bytearray()  # the bytes of an incomplete count, length or string
        self.items: list[str] = []
        self.item_count: int | None = None  # of the incomplete message, once its count is known
        self.string_length: int | None = None  # of the string being read, once its length is known
        self.size = 0  # bytes of the incomplete message parsed so far

    def feed(self, data: bytes | memoryview) -> list[list[str]]:
        """Parse these bytes and return the messages that they complete.

        >>> resp = RespParser()
        >>> resp.feed(b"*1\\r\\n$5\\r\\npro"), resp.feed(b"be\\r\\n")
        ([], [['probe']])
        """
        self.buffer += data
        buffer, position, messages = self.buffer, 0, []
        while True:
            if self.string_length is None:
                end = buffer.find(b"\r\n", position, position + MAX_HEADER_BYTES + 2)
                if end < 0:
                    if len(buffer) - position > MAX_HEADER_BYTES or buffer[position : position + 1] not in (
                        b"",
                        b"*",
                        b"$",
                    ):
                        raise ProtocolError(
                            f"invalid RESP array: {bytes(buffer[position : position + MAX_HEADER_BYTES])!r}"
                        )
                    break
                self.parse_header(bytes(buffer[position:end]))
                self.size += end + 2 - position
                position = end + 2
            elif len(buffer) - position < self.string_length + 2:
                break
            else:
                end = position + self.string_length
                if buffer[end : end + 2] != b"\r\n":
                    raise ProtocolError("bulk string is not terminated at its declared length")
                self.items.append(buffer[position:end].decode("utf-8", "replace"))
                self.size += self.string_length + 2
                position, self.string_length = end + 2, None
            if self.item_count is not None and len(self.items) == self.item_count:
                messages.append(self.items)
                self.items, self.item_count, self.size = [], None, 0
        del buffer[:position]
        return messages

    def buffered_bytes(self) -> int:
        """Approximate memory in bytes that the incomplete message takes."""
        return len(self.buffer) + self.size + ITEM_OVERHEAD_BYTES * len(self.items)

    def parse_header(self, line: bytes) -> None:
        prefix, number = line[:1], line[1:]
        if prefix != (b"*" if self.item_count is None else b"$") or not number.isdigit():
            raise ProtocolError(f"invalid RESP array: {line!r}")
        if self.item_count is None:
            self.item_count = int(number)
            if self.item_count > MAX_ITEMS:
                raise MessageTooLongError(f"message has {self.item_count} items, at most {MAX_ITEMS} are allowed")
        else:
            self.string_length = int(number)
            if self.size + self.string_length > MAX_MESSAGE_BYTES:
                raise MessageTooLongError(f"message exceeds {MAX_MESSAGE_BYTES} bytes")


def encode_message(*items: str) -> bytes:
    """Encode one message.

    >>> encode_message("alive")
    b'*1\\r\\n$5\\r\\nalive\\r\\n'
    """
    parts = [b"*%d\r\n" % len(items)]
    for item in items:
        data = item.encode()
        parts.append(b"$%d\r\n%s\r\n" % (len(data), data))
    return b"".join(parts)
