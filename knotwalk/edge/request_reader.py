"""Requests read from a client: their heads, the framing of their bodies, and what is refused unread.

Parsing is httptools', strict; what it leaves open is checked here (versions, sizes) and in `request_head`.
"""

from __future__ import annotations

from typing import NoReturn

import httptools

from knotwalk.edge.answer_writer import AnswerWriter
from knotwalk.edge.client_state import MAX_PIPELINED, ConnectionState
from knotwalk.edge.exchange import Exchange
from knotwalk.edge.request_head import RequestRefusedError, read_head
from knotwalk.edge.stages import Stage

# A request's body up to this size (bytes) is gathered before it is offered to a node; a longer one streams.
GATHER = 64 * 1024


class RequestReader(AnswerWriter):
    """A client's connection as its requests are read."""

    def data_received(self, data: bytes) -> None:
        """Bytes came: read them, and write what is due by then."""
        self.touched = self.client_server.clock()
        if self.state is not ConnectionState.OPEN:
            return
        if self.reading is None:
            self._fed += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self.state is ConnectionState.OPEN:
                refusal = self.refusal or RequestRefusedError(400, "not a request in the protocol")
                self._refuse(refusal.status, refusal.text)
        else:
            if (
                self.state is ConnectionState.OPEN
                and self.reading is None
                and self._fed > self.client_server.limits.max_header_bytes
            ):
                self._refuse(431, "the head is too large")
        self._write()

    # -- from the parser

    def on_message_begin(self) -> None:
        """A request's head begins."""
        self._new_head()
        self.head_since = self.touched

    def on_url(self, url: bytes) -> None:
        """A piece of the target, which may come in several."""
        self._target += url
        self._count(len(url) + 16)

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header was read, or a trailer, which is dropped."""
        if self.reading is not None:
            return  # a trailer
        self._headers.append((name, value))
        self._count(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """A head was read: check it, write it anew towards the node, and find its route."""
        client_server = self.client_server
        now = client_server.clock()
        self.head_since, self._fed = None, 0
        version = self.parser.get_http_version()
        if version not in ("1.1", "1.0"):
            self._stop(400, "the version is not spoken here")
        if self.parser.should_upgrade():
            self._stop(400, "nothing else is spoken here")  # the parser would take its body for another protocol's
        method = self.parser.get_method()
        try:
            head = read_head(method, self._target, self._headers, version == "1.1", client_server.withheld)
        except RequestRefusedError as refusal:
            self._stop(refusal.status, refusal.text)
        exchange = Exchange(now, method, self._settled)
        exchange.is_http_11 = head.is_http_11
        exchange.keep_alive = self.parser.should_keep_alive()
        exchange.attempt, exchange.head = head.attempt, b"".join(head.forwarded_lines)
        exchange.length, exchange.chunked, exchange.expects_continue = head.length, head.chunked, head.expects_continue
        if (exchange.length or 0) > client_server.limits.max_body_bytes:
            self._stop(413, "the body is too large")
        self.queue.append(exchange)
        self.reading = exchange
        if len(self.queue) >= MAX_PIPELINED:
            self._hold("depth", True)
        client_server.begin(exchange, head)
        if exchange.stage is Stage.ANSWERED and (
            exchange.chunked or exchange.expects_continue or (exchange.length or 0) > GATHER
        ):
            self._shut()  # refused without its body: nothing behind it is read
        elif exchange.expects_continue and exchange.stage is Stage.READING and (exchange.chunked or exchange.length):
            self._ask_body()

    def on_body(self, data: bytes) -> None:
        """A piece of the body was read: gather it, or pass it on."""
        exchange = self.reading
        if exchange is None:
            return
        exchange.expects_continue = False
        exchange.size += len(data)
        if exchange.size > self.client_server.limits.max_body_bytes:
            self._stop(413, "the body is too large")
        exchange.add_body(data)
        if exchange.stage is Stage.READING and len(exchange.body) > GATHER:
            exchange.on_backpressure = self._starve
            exchange.transition_to(Stage.READY)
            self._starve(True)
            self._start()

    def on_message_complete(self) -> None:
        """The request was read to its end."""
        exchange, self.reading = self.reading, None
        if exchange is None:
            return
        self._starve(False)
        exchange.end_body()
        if exchange.stage is Stage.READING:
            exchange.transition_to(Stage.READY)
        if not exchange.keep_alive and self.state is ConnectionState.OPEN:
            self._to(ConnectionState.LAST)
        self._start()

    # -- what is refused

    def _count(self, size: int) -> None:
        self._size += size
        if self._size > self.client_server.limits.max_header_bytes:
            self._stop(431, "the head is too large")

    def _stop(self, status: int, text: str) -> NoReturn:
        """Stop the parser: nothing behind this is read."""
        self.refusal = RequestRefusedError(status, text)
        raise self.refusal

    def _refuse(self, status: int, text: str) -> None:
        """Bytes that can't be read as a request: answer, behind what is due before, and read no more."""
        self._shut()
        exchange = self.reading
        self.reading = None
        self._starve(False)
        if exchange is None or exchange.stage is Stage.DONE:
            exchange = Exchange(self.client_server.clock(), b"GET", self._settled)
            self.queue.append(exchange)
        exchange.keep_alive = False
        self.client_server.counts[f"unread {status}"] += 1
        if exchange.stage in (Stage.READING, Stage.READY):
            exchange.respond(status, text)
        elif exchange.stage is Stage.RUNNING:  # its body was being passed on
            exchange.respond(status, text)
            exchange.abandon()
        elif exchange.stage is Stage.WRITING:
            self.abort()
