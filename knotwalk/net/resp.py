"""RESP2: arrays of bulk strings parts of bytes, in any pieces.

Owns framing alone: it is fed bytes and hands parts whole messages. It must never know a socket or a message's
meaning, and never hold more than one unfinished message.
"""

from knotwalk.net.loop import MessageTooLongError, ProtocolError

MAX_MESSAGE_BYTES = 1 << 20  # bytes of a message, as the protocol has it
MAX_HEADER_BYTES = 24  # bytes of a count or a length: no legal one is longer
MAX_ITEMS = 1 << 12  # a message has some twenty items; every one costs memory beside its bytes
ITEM_OVERHEAD_BYTES = 64  # bytes of that


class RespParser:
    """The machine of one connection."""

    def __init__(self):
        self.buffer = bytearray()  # what is not yet a whole count, length or string
        self.items: list[str] = []
        self.item_count: int | None = None  # items of the message under way
        self.string_length: int | None = None  # bytes of the string under way
        self.size = 0  # bytes of the message so far

    def feed(self, data: bytes | memoryview) -> list[list[str]]:
        """The messages that these bytes finish.

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
                        raise ProtocolError(f"no RESP array: {bytes(buffer[position : position + MAX_HEADER_BYTES])!r}")
                    break
                self.parse_header(bytes(buffer[position:end]))
                self.size += end + 2 - position
                position = end + 2
            elif len(buffer) - position < self.string_length + 2:
                break
            else:
                end = position + self.string_length
                if buffer[end : end + 2] != b"\r\n":
                    raise ProtocolError("a bulk string does not end where it says")
                self.items.append(buffer[position:end].decode("utf-8", "replace"))
                self.size += self.string_length + 2
                position, self.string_length = end + 2, None
            if self.item_count is not None and len(self.items) == self.item_count:
                messages.append(self.items)
                self.items, self.item_count, self.size = [], None, 0
        del buffer[:position]
        return messages

    def buffered_bytes(self) -> int:
        """Bytes of memory that the unfinished message takes, about."""
        return len(self.buffer) + self.size + ITEM_OVERHEAD_BYTES * len(self.items)

    def parse_header(self, line: bytes) -> None:
        prefix, number = line[:1], line[1:]
        if prefix != (b"*" if self.item_count is None else b"$") or not number.isdigit():
            raise ProtocolError(f"no RESP array: {line!r}")
        if self.item_count is None:
            self.item_count = int(number)
            if self.item_count > MAX_ITEMS:
                raise MessageTooLongError(f"a message of {self.item_count} items")
        else:
            self.string_length = int(number)
            if self.size + self.string_length > MAX_MESSAGE_BYTES:
                raise MessageTooLongError(f"a message of over {MAX_MESSAGE_BYTES} bytes")


def encode_message(*items: str) -> bytes:
    """One message.

    >>> encode_message("alive")
    b'*1\\r\\n$5\\r\\nalive\\r\\n'
    """
    parts = [b"*%d\r\n" % len(items)]
    for item in items:
        data = item.encode()
        parts.append(b"$%d\r\n%s\r\n" % (len(data), data))
    return b"".join(parts)
