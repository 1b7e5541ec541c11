"""The head of a client's request: the values of its headers, and the head that is forwarded to a node. Pure.

The parser splits names and values; what it does not check (transfer codings, duplicate headers) is checked here.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from knotwalk.edge.node_answer import HOP_BY_HOP_HEADERS

# Headers that are not forwarded as they came: the edge writes them anew, or they are meant for this connection only.
REPLACED_HEADERS = HOP_BY_HOP_HEADERS | {b"content-length", b"deadline-ms", b"target-instance", b"expect"}
# Headers that a Connection header can't remove.
PROTECTED_HEADERS = frozenset({b"host", b"attempt-id", b"shard-key", b"operation-key"})


class RequestRefusedError(Exception):
    """A request that can't be served: the status and text of the edge's answer. The client sees both."""

    def __init__(self, status: int, text: str):
        super().__init__(text)
        self.status, self.text = status, text


@dataclass(slots=True)
class RequestHead:
    """The values of the headers. `shard_key` and `deadline` are empty, which is no valid number, if sent twice."""

    target: bytes
    is_http_11: bool = True  # HTTP/1.1
    host: bytes | None = None
    attempt: bytes = b""
    shard_key: bytes | None = None
    deadline: bytes | None = None
    operation: bytes = b""  # `Operation-Key`
    authorization: bytes | None = None  # empty, and so without a key, if sent twice
    length: int | None = None
    chunked: bool = False
    expects_continue: bool = False
    forwarded_lines: list[bytes] = field(default_factory=list)  # the head for a node, without the empty line

    def _host(self, value: bytes) -> None:
        if self.host is not None:
            raise RequestRefusedError(400, "two hosts")
        self.host = value.strip()

    def _attempt(self, value: bytes) -> None:
        if self.attempt:
            raise RequestRefusedError(400, "two ids")
        self.attempt = value.strip()

    def _shard_key(self, value: bytes) -> None:
        self.shard_key = value.strip() if self.shard_key is None else b""

    def _deadline(self, value: bytes) -> None:
        self.deadline = value.strip() if self.deadline is None else b""

    def _operation(self, value: bytes) -> None:
        if self.operation:
            raise RequestRefusedError(400, "two operation keys")
        self.operation = value.strip()

    def _authorization(self, value: bytes) -> None:
        self.authorization = value.strip() if self.authorization is None else b""

    def _length(self, value: bytes) -> None:
        self.length = int(value)

    def _transfer_encoding(self, value: bytes) -> None:
        if value.strip().lower() != b"chunked" or not self.is_http_11:
            raise RequestRefusedError(400, "a coding that is not spoken here")
        self.chunked = True

    def _expect(self, value: bytes) -> None:
        self.expects_continue = self.is_http_11 and value.strip().lower() == b"100-continue"


HEADER_READERS: dict[bytes, Callable[[RequestHead, bytes], None]] = {
    b"host": RequestHead._host,
    b"attempt-id": RequestHead._attempt,
    b"shard-key": RequestHead._shard_key,
    b"deadline-ms": RequestHead._deadline,
    b"operation-key": RequestHead._operation,
    b"authorization": RequestHead._authorization,
    b"content-length": RequestHead._length,
    b"transfer-encoding": RequestHead._transfer_encoding,
    b"expect": RequestHead._expect,
}


def read_head(
    method: bytes,
    target: bytes,
    headers: Iterable[tuple[bytes, bytes]],
    is_http_11: bool,
    withheld_headers: frozenset[bytes],
) -> RequestHead:
    """The head of a request; RequestRefusedError if it can't be served. `withheld` headers (lower case) are dropped."""
    if not target.startswith(b"/"):
        raise RequestRefusedError(400, "the target is no path")
    head = RequestHead(target, is_http_11)
    head.forwarded_lines += (method, b" ", target, b" HTTP/1.1\r\n")
    named_headers = [(name, name.lower(), value) for name, value in headers]
    dropped = REPLACED_HEADERS | withheld_headers
    for _, lower_name, value in named_headers:
        if lower_name == b"connection":
            dropped = dropped | ({token.strip().lower() for token in value.split(b",")} - PROTECTED_HEADERS)
    for name, lower_name, value in named_headers:
        if reader := HEADER_READERS.get(lower_name):
            reader(head, value)
        if lower_name not in dropped:
            head.forwarded_lines += (name, b": ", value, b"\r\n")
    if head.host is None:
        raise RequestRefusedError(400, "no Host")
    if not head.attempt:
        raise RequestRefusedError(400, "no Attempt-Id")
    return head
