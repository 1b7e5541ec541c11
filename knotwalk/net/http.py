"""The client side of HTTP/1.1: encodes requests and parses responses incrementally.

Owns framing alone; httptools does the parsing. It must never know a socket, or what an address or a body means.
"""

from urllib.parse import urlencode

import httptools

from knotwalk.net.loop import MessageTooLongError, ProtocolError


class ResponseParser:
    """An incremental parser of the responses of one connection, in the order in which they arrive.

    Its events are ("status", code), ("piece", bytes of the body) and ("end", whether the connection may be reused).
    """

    def __init__(self, max_body_bytes: int):
        self.max_body_bytes = max_body_bytes  # 0: no limit
        self.events: list[tuple] = []
        self.body_size = 0
        self.parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes | memoryview) -> list[tuple]:
        """Parse these bytes and return the events that they complete.

        >>> ResponseParser(99).feed(b"HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nhi")
        [('status', 200), ('piece', b'hi'), ('end', True)]
        """
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as fault:
            if isinstance(fault.__context__, ProtocolError):
                raise fault.__context__ from None
            raise ProtocolError(f"invalid HTTP response: {fault}") from None
        events, self.events = self.events, []
        return events

    # --- callbacks of httptools ---

    def on_headers_complete(self) -> None:
        self.body_size = 0
        self.events.append(("status", self.parser.get_status_code()))

    def on_body(self, body: bytes) -> None:
        self.body_size += len(body)
        if self.max_body_bytes and self.body_size > self.max_body_bytes:
            raise MessageTooLongError(f"response body exceeds {self.max_body_bytes} bytes")
        self.events.append(("piece", body))

    def on_message_complete(self) -> None:
        self.events.append(("end", self.parser.should_keep_alive()))


def build_request(host: str, method: str, path: str, query: dict | None = None, body: bytes = b"") -> bytes:
    """Encode one request; a body is JSON.

    >>> build_request("h:1", "GET", "/v1/a", {"since": 4})
    b'GET /v1/a?since=4 HTTP/1.1\\r\\nHost: h:1\\r\\n\\r\\n'
    """
    target = path + ("?" + urlencode(query) if query else "")
    head = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    if body:
        head += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body
