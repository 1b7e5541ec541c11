"""Writes answers to a client, in the order of their requests, either complete or streamed.

Frames answers, decides whether the connection is kept after each, and shuts down the sending side after the last. An
answer that must end early ends with a connection reset, so that it never looks complete.
"""

from __future__ import annotations

import asyncio
from http import HTTPStatus

from knotwalk.edge.client_state import BODY, MAX_BUFFERED_BYTES, MAX_PIPELINED, ClientState, ConnectionState
from knotwalk.edge.exchange import Exchange
from knotwalk.edge.node_answer import Answer
from knotwalk.edge.stages import Stage

# The idle timeout that clients are told in Keep-Alive is shorter by this than the actual one, in whole seconds.
KEEP_ALIVE_MARGIN_S = 1
# Time for which an answer waits for the rest of a short body, so that the connection can be kept.
BODY_WAIT_S = 0.25

BODILESS = frozenset({204, 304})
REASONS = {int(status): status.phrase.encode() for status in HTTPStatus}


class AnswerWriter(ClientState):
    """The part of a client connection that writes answers."""

    _writing = False
    _body_timer: asyncio.TimerHandle | None = None  # runs while an answer waits for its request's body

    def _write(self) -> None:
        """Write the answers that are ready, in order."""
        if self._writing or self.transport is None:
            return
        self._writing = True
        try:
            while self.queue and not self.write_paused and self.state in (ConnectionState.OPEN, ConnectionState.LAST):
                exchange = self.queue[0]
                if exchange.stage is not Stage.ANSWERED or self._awaits_body(exchange):
                    break
                if self._write_answer(exchange):
                    self._advance(exchange)
                elif exchange.stage is not Stage.DONE:
                    return  # the rest is streamed
        finally:
            self._writing = False
        if self.state is ConnectionState.LAST and not self.queue:
            self._linger()

    def _awaits_body(self, exchange: Exchange) -> bool:
        """Whether the answer to the oldest request waits for the rest of its body, which precedes the next request.

        It does for a short body, for a short time; otherwise the rest is discarded and the connection closes."""
        if exchange is not self.reading:
            return False
        if self.state is ConnectionState.OPEN and may_read_on(exchange):
            if self._body_timer is None:
                loop = asyncio.get_running_loop()
                self._body_timer = loop.call_later(BODY_WAIT_S, self._on_body_timeout, exchange)
            return True
        self._stop_reading()
        self._end_body()
        return False

    def _on_body_timeout(self, exchange: Exchange) -> None:
        self._body_timer = None
        if exchange is self.reading and exchange.stage is Stage.ANSWERED:
            self._stop_reading()
        self._write()

    def _advance(self, exchange: Exchange) -> None:
        """The first answer is written completely: go on to the next."""
        self.queue.popleft()
        self.last_active = self.client_server.clock()
        last = not exchange.keep_alive
        if exchange.stage is not Stage.DONE:
            self._finish(exchange)
        if last:
            self._linger()
            return
        if len(self.queue) < MAX_PIPELINED:
            self._set_paused("depth", False)
        self._start()
        self._send_continue()

    def _should_keep_alive(self, exchange: Exchange) -> bool:
        """Whether the connection stays open after this answer, the oldest pending one."""
        client_server = self.client_server
        return exchange.keep_alive and (
            len(self.queue) > 1
            or self.state is ConnectionState.OPEN
            and not client_server.draining
            and len(client_server.clients) <= client_server.connection_budget.keep_alive
        )

    def _write_answer(self, exchange: Exchange) -> bool:
        """Write an answer, or the beginning of a streamed one; False if the rest follows later."""
        assert self.transport is not None
        answer = exchange.answer
        if answer is not None and not answer.is_complete and answer.length is None and not exchange.is_http_11:
            exchange.keep_alive = False  # without a length, the end of the connection marks the end of the answer
        keep = exchange.keep_alive = self._should_keep_alive(exchange)
        if not keep:
            self._stop_reading()
        if answer is None:
            self._write_own_answer(exchange, keep)
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
        lines.append(self._connection_header(exchange, keep))
        if answer.is_complete:
            self.transport.write(b"".join(lines) + (b"" if bodiless else answer.body))
            return True
        exchange.transition_to(Stage.WRITING)
        self.transport.write(b"".join(lines))
        self._pass_on(exchange, answer)
        return False

    def _pass_on(self, exchange: Exchange, answer: Answer) -> None:
        """Stream the body of an answer whose head is written: first the buffered part, then the rest as it arrives."""
        streamed = StreamedAnswer(self, exchange, answer.length is None and exchange.is_http_11)
        if answer.body:
            streamed.data(answer.body)
            answer.body = b""
        assert answer.stream is not None
        answer.stream.take(streamed)
        if self.write_paused:
            answer.stream.flow(False)

    def _write_own_answer(self, exchange: Exchange, keep: bool) -> None:
        """Write an answer that the edge itself gives."""
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
        lines.append(self._connection_header(exchange, keep))
        self.transport.write(b"".join(lines) + (b"" if exchange.method == b"HEAD" else body))

    def _connection_header(self, exchange: Exchange, keep: bool) -> bytes:
        if not keep:
            return b"Connection: close\r\n\r\n"
        line = b"Keep-Alive: timeout=%d\r\n\r\n" % max(
            1, int(self.client_server.limits.idle_timeout) - KEEP_ALIVE_MARGIN_S
        )
        return line if exchange.is_http_11 else b"Connection: keep-alive\r\n" + line

    def _send_continue(self) -> None:
        """Send 100 Continue to a client that waits for it, once its request is the next to be answered."""
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

    def held_answer(self) -> tuple[Exchange, str] | None:
        """The oldest request if its answer is known and not written, and what it waits for."""
        if not self.queue or self.queue[0].stage is not Stage.ANSWERED:
            return None
        exchange = self.queue[0]
        if self.write_paused:
            return exchange, "its client does not read"
        if exchange is not self.reading:
            return exchange, "nothing"
        return exchange, "its body, which is not read" if BODY in self.pause_reasons else "its body"

    def _on_answered(self, exchange: Exchange) -> None:
        exchange.answered_at = self.client_server.clock()
        if exchange.timer is not None and (exchange.answer is None or exchange.answer.is_complete):
            exchange.timer.cancel()
            exchange.timer = None
        if exchange.client_gone or self.state in (ConnectionState.LINGER, ConnectionState.CLOSED):
            if exchange.answer is not None and exchange.answer.stream is not None:
                exchange.answer.stream.abort("the client is gone")
            self._finish(exchange)
            return
        self._write()

    def _linger(self) -> None:
        """Everything is answered: shut down the sending side and wait for the client to close."""
        if self.state in (ConnectionState.LINGER, ConnectionState.CLOSED):
            return
        self._stop_reading()
        self._to(ConnectionState.LINGER)
        for exchange in self.queue:  # requests after the last answer count as unread
            exchange.abandon()
            if exchange.stage not in (Stage.RUNNING, Stage.DONE):
                self._finish(exchange)
        self.queue.clear()
        self.pause_reasons.clear()
        self.last_active = self.client_server.clock()
        if self.transport is not None and not self.transport.is_closing():
            if not self.transport.is_reading():
                self.transport.resume_reading()
            if self.end_read:
                self.transport.close()
            else:
                try:
                    self.transport.write_eof()
                except OSError:  # the client has reset the connection, and the event loop has not reported it yet
                    self.transport.abort()


def may_read_on(exchange: Exchange) -> bool:
    """Whether the rest of the body of an answered request is read, so that its connection can be kept."""
    return (
        not exchange.chunked
        and not exchange.expects_continue
        and not exchange.expired
        and (exchange.length or 0) <= MAX_BUFFERED_BYTES
    )


class StreamedAnswer:
    """Streams an answer from a node to the client."""

    def __init__(self, client: AnswerWriter, exchange: Exchange, chunked: bool):
        self.client, self.exchange, self.chunked = client, exchange, chunked

    def data(self, data: bytes) -> None:
        """Write a part of the body that arrived from the node."""
        transport = self.client.transport
        if transport is None or transport.is_closing():
            return
        self.client.last_active = self.client.client_server.clock()
        transport.write(b"%x\r\n%b\r\n" % (len(data), data) if self.chunked else data)

    def ended(self) -> None:
        """Finish the answer: it is complete."""
        client, exchange = self.client, self.exchange
        if client.state is ConnectionState.CLOSED or exchange.stage is not Stage.WRITING:
            return
        if self.chunked and client.transport is not None:
            client.transport.write(b"0\r\n\r\n")
        client._advance(exchange)
        client._write()

    def cut(self, why: str) -> None:
        """Reset the client's connection: the answer will not be completed."""
        if self.exchange.stage is Stage.WRITING:
            self.client.client_server.counts["cut"] += 1
            self.client.abort()
