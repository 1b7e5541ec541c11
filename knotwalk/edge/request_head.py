"""The head of a client's request: what its headers say, and the same head as it goes on to a node. Pure.

The parser has read names and values; what it leaves open (codings, doubled headers) is checked here.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from knotwalk.edge.node_answer import HOP

# Written anew, or meant for this connection only: they go no further as they came.
OURS = HOP | {b"content-length", b"deadline-ms", b"target-instance", b"expect"}
# No Connection header takes these away.
KEPT = frozenset({b"host", b"attempt-id", b"shard-key", b"operation-key"})


class Refusal(Exception):
    """A request that is not read on: the status that says so."""

    def __init__(self, status: int, text: str):
        super().__init__(text)
        self.status, self.text = status, text


@dataclass(slots=True)
class RequestHead:
    """What the headers say. `shard_key` and `deadline` are empty, which is no number, where they stand twice."""

    target: bytes
    modern: bool = True  # HTTP/1.1
    host: bytes | None = None
    attempt: bytes = b""
    shard_key: bytes | None = None
    deadline: bytes | None = None
    operation: bytes = b""  # `Operation-Key`
    authorization: bytes | None = None  # empty where it stands twice: it then holds no key
    length: int | None = None
    chunked: bool = False
    expects: bool = False
    lines: list[bytes] = field(default_factory=list)  # as it goes on to a node, without the empty line

    def _host(self, value: bytes) -> None:
        if self.host is not None:
            raise Refusal(400, "two hosts")
        self.host = value.strip()

    def _attempt(self, value: bytes) -> None:
        if self.attempt:
            raise Refusal(400, "two ids")
        self.attempt = value.strip()

    def _shard_key(self, value: bytes) -> None:
        self.shard_key = value.strip() if self.shard_key is None else b""

    def _deadline(self, value: bytes) -> None:
        self.deadline = value.strip() if self.deadline is None else b""

    def _operation(self, value: bytes) -> None:
        if self.operation:
            raise Refusal(400, "two operation keys")
        self.operation = value.strip()

    def _authorization(self, value: bytes) -> None:
        self.authorization = value.strip() if self.authorization is None else b""

    def _length(self, value: bytes) -> None:
        self.length = int(value)

    def _coding(self, value: bytes) -> None:
        if value.strip().lower() != b"chunked" or not self.modern:
            raise Refusal(400, "a coding that is not spoken here")
        self.chunked = True

    def _expect(self, value: bytes) -> None:
        self.expects = self.modern and value.strip().lower() == b"100-continue"


READERS: dict[bytes, Callable[[RequestHead, bytes], None]] = {
    b"host": RequestHead._host,
    b"attempt-id": RequestHead._attempt,
    b"shard-key": RequestHead._shard_key,
    b"deadline-ms": RequestHead._deadline,
    b"operation-key": RequestHead._operation,
    b"authorization": RequestHead._authorization,
    b"content-length": RequestHead._length,
    b"transfer-encoding": RequestHead._coding,
    b"expect": RequestHead._expect,
}


def read_head(
    method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], modern: bool, withheld: frozenset[bytes]
) -> RequestHead:
    """The head of a request; Refusal where it can't be served. Headers of `withheld` (lower case) go to no node."""
    if not target.startswith(b"/"):
        raise Refusal(400, "the target is no path")
    head = RequestHead(target, modern)
    head.lines += (method, b" ", target, b" HTTP/1.1\r\n")
    named = [(name, name.lower(), value) for name, value in headers]
    dropped = OURS | withheld
    for _, low, value in named:
        if low == b"connection":
            dropped = dropped | ({token.strip().lower() for token in value.split(b",")} - KEPT)
    for name, low, value in named:
        if reader := READERS.get(low):
            reader(head, value)
        if low not in dropped:
            head.lines += (name, b": ", value, b"\r\n")
    if head.host is None:
        raise Refusal(400, "no Host")
    if not head.attempt:
        raise Refusal(400, "no Attempt-Id")
    return head
