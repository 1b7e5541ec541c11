"""Reads a node's answers: whether one belongs to the pending request, its framing, and whether the connection is kept.

An answer belongs to the pending request only if it has that request's id, or is the short form by which a node refuses
a request. Unexpected bytes close the connection, and so does a head that was joined of two answers.

The texts of ValueErrors become causes in metric labels.
"""

from __future__ import annotations

from knotwalk.admission.outcome import TryOutcome, classify_answer
from knotwalk.edge.node_answer import HOP_BY_HOP_HEADERS, Answer, Sink, read_load
from knotwalk.edge.node_connection_state import NodeConnectionState, Phase
from knotwalk.runtime.http_heads import holds_status_line

# An answer up to this size is buffered completely before its head is passed on, so that after a truncated one the
# request can be tried again.
MAX_BUFFERED_BYTES = 64 * 1024
# Connections are closed this much before the node's idle timeout (whole seconds, perhaps rounded up), but not before
# half of it.
IDLE_MARGIN_S = 1.0
# Maximum size of an answer's head; those of nodes have some hundred bytes.
MAX_HEAD_BYTES = 32 * 1024


class AnswerReader(NodeConnectionState):
    """The part of a node connection that reads answers."""

    _has_excess = False  # one read had bytes after a complete answer
    _reason = b""  # the reason phrase of the answer being read, as far as it has arrived

    def on_message_begin(self) -> None:
        """An answer begins, perhaps an unexpected one."""
        self._reason = b""
        if self._done:
            self._has_excess = True

    def on_status(self, reason: bytes) -> None:
        """Check a part of the reason phrase, with the end of the part before."""
        if self._has_excess or self.phase is Phase.ANSWERING:
            return
        self._reason += reason
        if holds_status_line(self._reason):
            raise ValueError("two answers joined")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header, or drop a trailer."""
        if self._has_excess or self.phase is Phase.ANSWERING:
            return
        if holds_status_line(value):
            raise ValueError("two answers joined")
        self._headers.append((name, value))
        self._head_size += len(name) + len(value) + 4
        if self._head_size > MAX_HEAD_BYTES:
            raise ValueError("head too large")

    def on_headers_complete(self) -> None:
        """A head is complete; skip an interim one."""
        if self._has_excess:
            return
        status = self.parser.get_status_code()
        headers, self._headers, self._head_size = self._headers, [], 0
        if status < 200:
            if status == 101:
                raise ValueError("an upgrade that nobody asked for")
            self._interim = True
            return
        self._read_head(status, headers)

    def _read_head(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Check an answer's head and begin the answer; ValueError if it is not that of the pending request."""
        id, sealed, not_executed, length, chunked = None, False, False, None, False
        load, drop, headers_kept = None, HOP_BY_HOP_HEADERS, []
        for name, value in headers:
            lower_name = name.lower()
            if lower_name == b"attempt-id":
                if id is not None:
                    raise ValueError("two ids")
                id = value.strip()
            elif lower_name == b"server-seal":
                sealed = True
            elif lower_name == b"not-executed":
                not_executed = True
            elif lower_name == b"content-length":
                length = int(value)
                continue
            elif lower_name == b"transfer-encoding":
                chunked = value.strip().lower() == b"chunked"
                if not chunked:
                    raise ValueError("an unknown coding")
            elif lower_name == b"server-load":
                load = read_load(value)
            elif lower_name == b"keep-alive":
                self._keep_alive(value)
            elif lower_name == b"connection":
                drop = drop | {token.strip().lower() for token in value.split(b",")}
            headers_kept.append((name, value, lower_name))
        if id != self.attempt:
            if id is not None and id == self.previous_attempt and status >= 200 and not self._skipping:
                self._skipping = self.answered_without_id = (
                    True  # a duplicate of the previous answer: skip it, close afterwards
                )
                self._closing = True
                return
            if id is not None or not (not_executed or status == 421):
                raise ValueError("another's answer")
        self._has_id = id is not None
        bodiless = status in (204, 304) or self.method == b"HEAD"
        if length is None and not chunked and not bodiless:
            raise ValueError("an answer without an end")
        answer = Answer(classify_answer(status, not_executed, sealed))
        if answer.outcome is TryOutcome.LOST:
            raise ValueError("a success without a seal")
        answer.status, answer.length, answer.node, answer.load = status, length, self.node, load
        drop = drop - {b"attempt-id", b"server-seal", b"not-executed"}
        answer.headers = [(name, value) for name, value, lower_name in headers_kept if lower_name not in drop]
        self.answer = answer
        self._to(Phase.ANSWERING)
        if self.method == b"HEAD":
            self._done, self._closing = True, True
        elif length is not None and length > MAX_BUFFERED_BYTES and not bodiless:
            self._stream()

    def _keep_alive(self, value: bytes) -> None:
        for part in value.split(b","):
            name, _, number = part.strip().partition(b"=")
            if name.lower() == b"timeout" and number.strip().isdigit():
                self.idle_time = max(float(number) - IDLE_MARGIN_S, float(number) / 2)

    def _stream(self) -> None:
        """Stream the answer from here on: hand over what is buffered and pause until a sink takes the rest."""
        assert self.answer is not None and self.waiter is not None and self.transport is not None
        self.answer.is_complete, self.answer.stream = False, self
        self.answer.body, self._buffered = b"".join(self._buffered), []
        self.transport.pause_reading()
        if not self.waiter.done():
            self.waiter.set_result(self.answer)

    def take(self, sink: Sink) -> None:
        """Deliver the streamed rest to `sink`."""
        if self.phase is Phase.CLOSED:
            sink.cut("the connection ended")
            return
        self.sink = sink
        rest, self._buffered = self._buffered, []
        for data in rest:
            sink.data(data)
        if self._done:
            self._finished(not self._has_excess)
        elif self.transport is not None and self.phase is not Phase.CLOSED:
            self.transport.resume_reading()

    def flow(self, on: bool) -> None:
        """Resume or pause reading, as the sink can take more or not."""
        if self.phase is Phase.ANSWERING and self.transport is not None and not self.transport.is_closing():
            (self.transport.resume_reading if on else self.transport.pause_reading)()

    def on_body(self, data: bytes) -> None:
        """Buffer or stream a part of the body."""
        if self._done or self._skipping or self._interim:
            self._has_excess = self._has_excess or self._done
            return
        if self.sink is not None:
            self.sink.data(data)
            return
        self._buffered.append(data)
        self._size += len(data)
        if self._size > MAX_BUFFERED_BYTES and self.answer is not None and self.answer.is_complete:
            self._stream()

    def on_message_complete(self) -> None:
        """A message is complete: the answer, an interim one, or a skipped one."""
        if self._has_excess:
            return
        if self._interim:
            self._interim = False
        elif self._skipping and self.answer is None:
            self._skipping, closing = False, True
            self._forget_answer()
            self._closing = closing
            self.previous_attempt = b""
        elif not self._done:
            self._done = True
            if not self.parser.should_keep_alive():
                self._closing = True

    def _finished(self, clean: bool) -> None:
        """The answer is complete: deliver it, and keep the connection if possible."""
        answer, waiter, sink = self.answer, self.waiter, self.sink
        assert answer is not None
        if not answer.is_complete and sink is None:
            return  # streamed, and no sink has taken it yet: take() calls this again
        if answer.is_complete:
            answer.body = b"".join(self._buffered)
        keep = (
            clean
            and not self._closing
            and self.body_sent
            and self.transport is not None
            and not self.transport.is_closing()
            and not self.transport.get_write_buffer_size()  # answered before the request was sent completely
        )
        source = self.source
        self.previous_attempt = self.attempt
        self.answered_without_id = self.answered_without_id or not self._has_id
        self._has_excess = False
        self._reset()
        if keep:
            self._to(Phase.IDLE)
            self.idle_since = self.clock()
            if not self.transport.is_reading():  # a streamed answer ended while reading was paused
                self.transport.resume_reading()
        else:
            self._to(Phase.CLOSED)
            if self.transport is not None:
                self.transport.abort()
        if waiter is not None and not waiter.done():
            waiter.set_result(answer)
        elif sink is not None:
            sink.ended()
        if source is not None:
            source.writable(True)
        self.on_change(self)
