"""HTTP/1.1 as a client speaks it: requests into bytes, answers out of bytes in any pieces.

Owns framing alone, with httptools for the parsing. It must never know a socket, or what an address or a body
means.
"""

from urllib.parse import urlencode

import httptools

from knotwalk.net.loop import MessageTooLongError, ProtocolError


class ResponseParser:
    """The machine of one connection: answers in the order in which they come.

    Events are ("status", code), ("piece", bytes) and ("end", whether the connection may be used again).
    """

    def __init__(self, max_body_bytes: int):
        self.max_body_bytes = max_body_bytes  # bytes of an answer, 0: as long as it likes
        self.events: list[tuple] = []
        self.body_size = 0
        self.parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes | memoryview) -> list[tuple]:
        """What these bytes bring.

        >>> ResponseParser(99).feed(b"HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nhi")
        [('status', 200), ('piece', b'hi'), ('end', True)]
        """
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as fault:
            if isinstance(fault.__context__, ProtocolError):
                raise fault.__context__ from None
            raise ProtocolError(f"no HTTP answer: {fault}") from None
        events, self.events = self.events, []
        return events

    # --- called by the parser ---

    def on_headers_complete(self) -> None:
        self.body_size = 0
        self.events.append(("status", self.parser.get_status_code()))

    def on_body(self, body: bytes) -> None:
        self.body_size += len(body)
        if self.max_body_bytes and self.body_size > self.max_body_bytes:
            raise MessageTooLongError(f"an answer of over {self.max_body_bytes} bytes")
        self.events.append(("piece", body))

    def on_message_complete(self) -> None:
        self.events.append(("end", self.parser.should_keep_alive()))


def build_request(host: str, method: str, path: str, query: dict | None = None, body: bytes = b"") -> bytes:
    """One request.

    >>> build_request("h:1", "GET", "/v1/a", {"since": 4})
    b'GET /v1/a?since=4 HTTP/1.1\\r\\nHost: h:1\\r\\n\\r\\n'
    """
    target = path + ("?" + urlencode(query) if query else "")
    head = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    if body:
        head += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body
