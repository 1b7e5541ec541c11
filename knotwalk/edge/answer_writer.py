"""Answers written to a client: in the order of their requests, whole or passed on as they come, and how each ends.

Owns the framing of answers, whether the connection is kept behind one, and the end of our side behind the last. An
answer that must end early ends by a reset connection, so that it never looks complete.
"""

from __future__ import annotations

from http import HTTPStatus

from knotwalk.edge.client_state import MAX_PIPELINED, ClientState, ConnectionState
from knotwalk.edge.exchange import Exchange
from knotwalk.edge.node_answer import Answer
from knotwalk.edge.stages import Stage

# Seconds by which the time told to clients lies before our own end of an idle connection.
KEEP_MARGIN = 1

BODILESS = frozenset({204, 304})
REASONS = {int(one): one.phrase.encode() for one in HTTPStatus}


class AnswerWriter(ClientState):
    """A client's connection as its answers are written."""

    _writing = False

    def _write(self) -> None:
        """Write the answers that are due, in order."""
        if self._writing or self.transport is None:
            return
        self._writing = True
        try:
            while self.queue and not self.full and self.state in (ConnectionState.OPEN, ConnectionState.LAST):
                exchange = self.queue[0]
                if exchange.stage is not Stage.ANSWERED or (
                    exchange is self.reading and self.state is ConnectionState.OPEN
                ):
                    break  # not known yet, or its body must be read first to find what is behind it
                if self._answer(exchange):
                    self._next(exchange)
                elif exchange.stage is not Stage.DONE:
                    return  # the rest streams
        finally:
            self._writing = False
        if self.state is ConnectionState.LAST and not self.queue:
            self._linger()

    def _next(self, exchange: Exchange) -> None:
        """The first answer is written whole: on to the one behind it."""
        self.queue.popleft()
        self.touched = self.client_server.clock()
        last = not exchange.keep_alive
        if exchange.stage is not Stage.DONE:
            self._end(exchange)
        if last:
            self._linger()
            return
        if len(self.queue) < MAX_PIPELINED:
            self._hold("depth", False)
        self._start()
        self._ask_body()

    def _keeps(self, exchange: Exchange) -> bool:
        """Whether the connection goes on behind this answer, which is the oldest that is due."""
        client_server = self.client_server
        return exchange.keep_alive and (
            len(self.queue) > 1
            or self.state is ConnectionState.OPEN
            and not client_server.draining
            and len(client_server.clients) <= client_server.connection_budget.keep_alive
        )

    def _answer(self, exchange: Exchange) -> bool:
        """Write an answer, or the beginning of a streamed one; False if its rest comes later."""
        assert self.transport is not None
        answer = exchange.answer
        if answer is not None and not answer.is_complete and answer.length is None and not exchange.is_http_11:
            exchange.keep_alive = False  # ended by the end of the connection
        keep = exchange.keep_alive = self._keeps(exchange)
        if not keep:
            self._shut()
        if answer is None:
            self._answer_own(exchange, keep)
            return True
        lines = [b"HTTP/1.1 %d %b\r\n" % (answer.status, REASONS.get(answer.status, b""))]
        for name, value in answer.headers:
            lines += (name, b": ", value, b"\r\n")
        bodiless = exchange.method == b"HEAD" or answer.status in BODILESS
        if bodiless:
            if answer.length is not None:
                lines.append(b"Content-Length: %d\r\n" % answer.length)
        elif answer.is_complete:
            lines.append(b"Content-Length: %d\r\n" % len(answer.body))
        elif answer.length is not None:
            lines.append(b"Content-Length: %d\r\n" % answer.length)
        elif exchange.is_http_11:
            lines.append(b"Transfer-Encoding: chunked\r\n")
        lines.append(self._connection(exchange, keep))
        if answer.is_complete:
            self.transport.write(b"".join(lines) + (b"" if bodiless else answer.body))
            return True
        exchange.transition_to(Stage.WRITING)
        self.transport.write(b"".join(lines))
        self._pass_on(exchange, answer)
        return False

    def _pass_on(self, exchange: Exchange, answer: Answer) -> None:
        """Pass on the body of an answer whose head is written: what has come of it now, the rest as it comes."""
        passage = Passage(self, exchange, answer.length is None and exchange.is_http_11)
        if answer.body:
            passage.data(answer.body)
            answer.body = b""
        assert answer.stream is not None
        answer.stream.take(passage)
        if self.full:
            answer.stream.flow(False)

    def _answer_own(self, exchange: Exchange, keep: bool) -> None:
        """Write the edge's own answer."""
        assert self.transport is not None
        body = (exchange.text + "\n").encode() if exchange.text else b""
        lines = [
            b"HTTP/1.1 %d %b\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n"
            % (exchange.status, REASONS.get(exchange.status, b""), len(body))
        ]
        if exchange.attempt:
            lines.append(b"Attempt-Id: %b\r\n" % exchange.attempt)
        if exchange.retry_after:
            lines.append(b"Retry-After: %.3f\r\n" % exchange.retry_after)
        lines.append(self._connection(exchange, keep))
        self.transport.write(b"".join(lines) + (b"" if exchange.method == b"HEAD" else body))

    def _connection(self, exchange: Exchange, keep: bool) -> bytes:
        if not keep:
            return b"Connection: close\r\n\r\n"
        line = b"Keep-Alive: timeout=%d\r\n\r\n" % max(1, int(self.client_server.limits.idle_timeout) - KEEP_MARGIN)
        return line if exchange.is_http_11 else b"Connection: keep-alive\r\n" + line

    def _ask_body(self) -> None:
        """Tell a client that waits for it to send its body, once its turn to be told has come."""
        exchange = self.reading
        if (
            exchange is not None
            and exchange.expects_continue
            and self.queue
            and self.queue[0] is exchange
            and self.transport is not None
        ):
            exchange.expects_continue = False
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _settled(self, exchange: Exchange) -> None:
        if exchange.timer is not None and (exchange.answer is None or exchange.answer.is_complete):
            exchange.timer.cancel()
            exchange.timer = None
        if exchange.client_gone or self.state in (ConnectionState.LINGER, ConnectionState.CLOSED):
            if exchange.answer is not None and exchange.answer.stream is not None:
                exchange.answer.stream.abort("the client is gone")
            self._end(exchange)
            return
        if exchange is self.reading and exchange.body_streaming:
            self._shut()  # answered before its body was read
        self._write()

    def _linger(self) -> None:
        """Everything is answered: end our side, wait for the client to end its own."""
        if self.state in (ConnectionState.LINGER, ConnectionState.CLOSED):
            return
        self._shut()
        self._to(ConnectionState.LINGER)
        for exchange in self.queue:  # read behind the last answer: counts as not read
            exchange.abandon()
            if exchange.stage not in (Stage.RUNNING, Stage.DONE):
                self._end(exchange)
        self.queue.clear()
        self.holds.clear()
        self.touched = self.client_server.clock()
        if self.transport is not None and not self.transport.is_closing():
            if not self.transport.is_reading():
                self.transport.resume_reading()
            if self.over:
                self.transport.close()
            else:
                try:
                    self.transport.write_eof()
                except OSError:  # the client has reset the connection, and the loop has not told yet
                    self.transport.abort()


class Passage:
    """Passes a streamed answer on to the client."""

    def __init__(self, client: AnswerWriter, exchange: Exchange, chunked: bool):
        self.client, self.exchange, self.chunked = client, exchange, chunked

    def data(self, data: bytes) -> None:
        """A piece of the body came from the node."""
        transport = self.client.transport
        if transport is None or transport.is_closing():
            return
        self.client.touched = self.client.client_server.clock()
        transport.write(b"%x\r\n%b\r\n" % (len(data), data) if self.chunked else data)

    def ended(self) -> None:
        """The answer is whole."""
        client, exchange = self.client, self.exchange
        if client.state is ConnectionState.CLOSED or exchange.stage is not Stage.WRITING:
            return
        if self.chunked and client.transport is not None:
            client.transport.write(b"0\r\n\r\n")
        client._next(exchange)
        client._write()

    def cut(self, why: str) -> None:
        """The answer will not become whole: the client is shown that."""
        if self.exchange.stage is Stage.WRITING:
            self.client.client_server.counts["cut"] += 1
            self.client.abort()
