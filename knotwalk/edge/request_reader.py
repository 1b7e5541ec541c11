"""Reads requests from a client: their heads, the framing of their bodies, and which are refused unread.

httptools parses strictly; what it does not check is checked here (versions, sizes) and in `request_head`.
"""

from __future__ import annotations

from functools import partial
from typing import NoReturn

import httptools

from knotwalk.edge.answer_writer import AnswerWriter
from knotwalk.edge.client_state import MAX_BUFFERED_BYTES, MAX_PIPELINED, ConnectionState
from knotwalk.edge.exchange import Exchange
from knotwalk.edge.request_head import RequestRefusedError, read_head
from knotwalk.edge.stages import Stage


class RequestReader(AnswerWriter):
    """The part of a client connection that reads requests."""

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and write the answers that are ready."""
        self.last_active = self.client_server.clock()
        if self.state is not ConnectionState.OPEN:
            return
        if self.reading is None:
            self._head_bytes_fed += len(data)
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
                and self._head_bytes_fed > self.client_server.limits.max_header_bytes
            ):
                self._refuse(431, "the head is too large")
        self._write()

    # -- from the parser

    def on_message_begin(self) -> None:
        """A request's head begins; nothing more is parsed if the connection is about to close."""
        if self.state is not ConnectionState.OPEN:
            self._reject(400, "no further request is read")
        self._reset_head()
        self.head_since = self.last_active

    def on_url(self, url: bytes) -> None:
        """Add a part of the target, which may arrive in several."""
        self._target += url
        self._count_head_bytes(len(url) + 16)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header, or drop a trailer."""
        if self.reading is not None:
            return  # a trailer
        self._headers.append((name, value))
        self._count_head_bytes(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """A head is complete: check it, rewrite it for the node, and find its route."""
        client_server = self.client_server
        now = client_server.clock()
        self.head_since, self._head_bytes_fed = None, 0
        version = self.parser.get_http_version()
        if version not in ("1.1", "1.0"):
            self._reject(400, "the version is not spoken here")
        if self.parser.should_upgrade():
            self._reject(400, "nothing else is spoken here")  # the parser would hand over its body as another protocol
        method = self.parser.get_method()
        try:
            head = read_head(method, self._target, self._headers, version == "1.1", client_server.withheld_headers)
        except RequestRefusedError as refusal:
            self._reject(refusal.status, refusal.text)
        exchange = Exchange(now, method, self._on_answered)
        exchange.is_http_11 = head.is_http_11
        exchange.keep_alive = self.parser.should_keep_alive()
        exchange.attempt, exchange.head = head.attempt, b"".join(head.forwarded_lines)
        exchange.length, exchange.chunked, exchange.expects_continue = head.length, head.chunked, head.expects_continue
        if (exchange.length or 0) > client_server.limits.max_body_bytes:
            self._reject(413, "the body is too large")
        self.queue.append(exchange)
        self.reading = exchange
        if len(self.queue) >= MAX_PIPELINED:
            self._set_paused("depth", True)
        client_server.begin(exchange, head)
        if exchange.expects_continue and exchange.stage is Stage.READING and (exchange.chunked or exchange.length):
            self._send_continue()

    def on_body(self, data: bytes) -> None:
        """Buffer or stream a part of the body."""
        exchange = self.reading
        if exchange is None:
            return
        exchange.expects_continue = False
        exchange.size += len(data)
        if exchange.size > self.client_server.limits.max_body_bytes:
            self._reject(413, "the body is too large")
        exchange.add_body(data)
        if exchange.stage is Stage.READING and len(exchange.body) > MAX_BUFFERED_BYTES:
            exchange.on_backpressure = partial(self._set_backpressure, exchange)
            exchange.transition_to(Stage.READY)
            self._set_backpressure(exchange, True)
            self._start()

    def on_message_complete(self) -> None:
        """The request is complete."""
        exchange = self._end_body()
        if exchange is None:
            return
        exchange.end_body()
        if exchange.stage is Stage.READING:
            exchange.transition_to(Stage.READY)
        if not exchange.keep_alive and self.state is ConnectionState.OPEN:
            self._to(ConnectionState.LAST)
        self._start()

    # -- refusals

    def _count_head_bytes(self, size: int) -> None:
        self._head_size += size
        if self._head_size > self.client_server.limits.max_header_bytes:
            self._reject(431, "the head is too large")

    def _reject(self, status: int, text: str) -> NoReturn:
        """Stop the parser: nothing after this is read."""
        self.refusal = RequestRefusedError(status, text)
        raise self.refusal

    def _refuse(self, status: int, text: str) -> None:
        """Answer bytes that are no valid request, after the answers due before it, and read no more."""
        self._stop_reading()
        exchange = self._end_body()
        if exchange is None or exchange.stage is Stage.DONE:
            exchange = Exchange(self.client_server.clock(), b"GET", self._on_answered)
            self.queue.append(exchange)
        exchange.keep_alive = False
        self.client_server.counts[f"unread {status}"] += 1
        if exchange.stage in (Stage.READING, Stage.READY):
            exchange.respond(status, text)
        elif exchange.stage is Stage.RUNNING:  # its body is being streamed
            exchange.respond(status, text)
            exchange.abandon()
        elif exchange.stage is Stage.WRITING:
            self.abort()
