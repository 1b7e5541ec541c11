"""RESP2: arrays of bulk strings out of bytes, in any pieces.

Owns framing alone: it is fed bytes and hands out whole messages. It must never know a socket or a message's
meaning, and never hold more than one unfinished message.
"""

from knotwalk.net.loop import TooLong, Unreadable

MOST = 1 << 20  # bytes of a message, as the protocol has it
HEAD_MOST = 24  # bytes of a count or a length: no legal one is longer
ITEMS_MOST = 1 << 12  # a message has some twenty items; every one costs memory beside its bytes
ITEM = 64  # bytes of that


class Resp:
    """The machine of one connection."""

    def __init__(self):
        self.held = bytearray()  # what is not yet a whole count, length or string
        self.items: list[str] = []
        self.count: int | None = None  # items of the message under way
        self.want: int | None = None  # bytes of the string under way
        self.size = 0  # bytes of the message so far

    def feed(self, data: bytes | memoryview) -> list[list[str]]:
        """The messages that these bytes finish.

        >>> resp = Resp()
        >>> resp.feed(b"*1\\r\\n$5\\r\\npro"), resp.feed(b"be\\r\\n")
        ([], [['probe']])
        """
        self.held += data
        held, at, messages = self.held, 0, []
        while True:
            if self.want is None:
                end = held.find(b"\r\n", at, at + HEAD_MOST + 2)
                if end < 0:
                    if len(held) - at > HEAD_MOST or held[at : at + 1] not in (b"", b"*", b"$"):
                        raise Unreadable(f"no RESP array: {bytes(held[at : at + HEAD_MOST])!r}")
                    break
                self.head(bytes(held[at:end]))
                self.size += end + 2 - at
                at = end + 2
            elif len(held) - at < self.want + 2:
                break
            else:
                end = at + self.want
                if held[end : end + 2] != b"\r\n":
                    raise Unreadable("a bulk string does not end where it says")
                self.items.append(held[at:end].decode("utf-8", "replace"))
                self.size += self.want + 2
                at, self.want = end + 2, None
            if self.count is not None and len(self.items) == self.count:
                messages.append(self.items)
                self.items, self.count, self.size = [], None, 0
        del held[:at]
        return messages

    def weight(self) -> int:
        """Bytes of memory that the unfinished message takes, about."""
        return len(self.held) + self.size + ITEM * len(self.items)

    def head(self, line: bytes) -> None:
        mark, number = line[:1], line[1:]
        if mark != (b"*" if self.count is None else b"$") or not number.isdigit():
            raise Unreadable(f"no RESP array: {line!r}")
        if self.count is None:
            self.count = int(number)
            if self.count > ITEMS_MOST:
                raise TooLong(f"a message of {self.count} items")
        else:
            self.want = int(number)
            if self.size + self.want > MOST:
                raise TooLong(f"a message of over {MOST} bytes")


def packed(*items: str) -> bytes:
    """One message.

    >>> packed("alive")
    b'*1\\r\\n$5\\r\\nalive\\r\\n'
    """
    out = [b"*%d\r\n" % len(items)]
    for item in items:
        data = item.encode()
        out.append(b"$%d\r\n%s\r\n" % (len(data), data))
    return b"".join(out)
