"""A node's answers as they are read: whether one is this request's, its framing, and whether the connection is kept.

An answer belongs to the request that waits on it only if it bears that request's id, or is the short form by which a
node turns a request away; bytes that belong to nothing end the connection.
"""

from __future__ import annotations

from knotwalk.admission.outcome import TryOutcome, classify_answer
from knotwalk.edge.node_answer import HOP_BY_HOP_HEADERS, Answer, Sink, read_load
from knotwalk.edge.node_connection_state import NodeConnectionState, Phase

# An answer up to this size (bytes) is gathered whole before its head is passed on: a cut one can be tried again.
GATHER = 64 * 1024
# Seconds by which we close before the time that a node told (whole seconds, perhaps rounded up), half of it at least.
IDLE_MARGIN = 1.0
# Bytes of an answer's head at most; nodes' heads have some hundred.
MAX_HEAD = 32 * 1024


class AnswerReader(NodeConnectionState):
    """A connection to a node as answers are read from it."""

    _late = False  # bytes came behind a whole answer in one read

    def on_message_begin(self) -> None:
        """An answer begins, perhaps one too many."""
        if self._done:
            self._late = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header was read, or a trailer, which is dropped."""
        if self._late or self.phase is Phase.ANSWERING:
            return
        self._headers.append((name, value))
        self._head_size += len(name) + len(value) + 4
        if self._head_size > MAX_HEAD:
            raise ValueError("head too large")

    def on_headers_complete(self) -> None:
        """A head was read: an interim one is skipped."""
        if self._late:
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
        """Check an answer's head and begin to take it; ValueError if it is not this request's answer."""
        id, sealed, not_executed, length, chunked = None, False, False, None, False
        load, drop, kept = None, HOP_BY_HOP_HEADERS, []
        for name, value in headers:
            low = name.lower()
            if low == b"attempt-id":
                if id is not None:
                    raise ValueError("two ids")
                id = value.strip()
            elif low == b"server-seal":
                sealed = True
            elif low == b"not-executed":
                not_executed = True
            elif low == b"content-length":
                length = int(value)
                continue
            elif low == b"transfer-encoding":
                chunked = value.strip().lower() == b"chunked"
                if not chunked:
                    raise ValueError("an unknown coding")
            elif low == b"server-load":
                load = read_load(value)
            elif low == b"keep-alive":
                self._keep_alive(value)
            elif low == b"connection":
                drop = drop | {token.strip().lower() for token in value.split(b",")}
            kept.append((name, value, low))
        if id != self.attempt:
            if id is not None and id == self.previous and status >= 200 and not self._skipping:
                self._skipping = self.nameless = True  # the answer before, once more: skip it, end afterwards
                self._closing = True
                return
            if id is not None or not (not_executed or status == 421):
                raise ValueError("another's answer")
        self._named = id is not None
        bodiless = status in (204, 304) or self.method == b"HEAD"
        if length is None and not chunked and not bodiless:
            raise ValueError("an answer without an end")
        answer = Answer(classify_answer(status, not_executed, sealed))
        if answer.outcome is TryOutcome.LOST:
            raise ValueError("a success without a seal")
        answer.status, answer.length, answer.node, answer.load = status, length, self.node, load
        drop = drop - {b"attempt-id", b"server-seal", b"not-executed"}
        answer.headers = [(name, value) for name, value, low in kept if low not in drop]
        self.answer = answer
        self._to(Phase.ANSWERING)
        if self.method == b"HEAD":
            self._done, self._closing = True, True
        elif length is not None and length > GATHER and not bodiless:
            self._stream()

    def _keep_alive(self, value: bytes) -> None:
        for part in value.split(b","):
            word, _, number = part.strip().partition(b"=")
            if word.lower() == b"timeout" and number.strip().isdigit():
                self.idle_time = max(float(number) - IDLE_MARGIN, float(number) / 2)

    def _stream(self) -> None:
        """From here on the answer is passed on as it comes: hand over what is gathered, wait for who takes the rest."""
        assert self.answer is not None and self.waiter is not None and self.transport is not None
        self.answer.is_complete, self.answer.stream = False, self
        self.answer.body, self._gathered = b"".join(self._gathered), []
        self.transport.pause_reading()
        if not self.waiter.done():
            self.waiter.set_result(self.answer)

    def take(self, sink: Sink) -> None:
        """`sink` takes the streamed rest."""
        if self.phase is Phase.CLOSED:
            sink.cut("the connection ended")
            return
        self.sink = sink
        rest, self._gathered = self._gathered, []
        for data in rest:
            sink.data(data)
        if self._done:
            self._finished(not self._late)
        elif self.transport is not None and self.phase is not Phase.CLOSED:
            self.transport.resume_reading()

    def flow(self, on: bool) -> None:
        """The sink can (not) take more for now."""
        if self.phase is Phase.ANSWERING and self.transport is not None and not self.transport.is_closing():
            (self.transport.resume_reading if on else self.transport.pause_reading)()

    def on_body(self, data: bytes) -> None:
        """A piece of the body was read: gather it, or pass it on."""
        if self._done or self._skipping or self._interim:
            self._late = self._late or self._done
            return
        if self.sink is not None:
            self.sink.data(data)
            return
        self._gathered.append(data)
        self._size += len(data)
        if self._size > GATHER and self.answer is not None and self.answer.is_complete:
            self._stream()

    def on_message_complete(self) -> None:
        """A message was read to its end: the answer, an interim one, or one that is skipped."""
        if self._late:
            return
        if self._interim:
            self._interim = False
        elif self._skipping and self.answer is None:
            self._skipping, closing = False, True
            self._forget_answer()
            self._closing = closing
            self.previous = b""
        elif not self._done:
            self._done = True
            if not self.parser.should_keep_alive():
                self._closing = True

    def _finished(self, clean: bool) -> None:
        """The answer was read to its end: give it away, keep the connection if nothing speaks against it."""
        answer, waiter, sink = self.answer, self.waiter, self.sink
        assert answer is not None
        if not answer.is_complete and sink is None:
            return  # streamed, and nobody has taken it yet: take() comes back here
        if answer.is_complete:
            answer.body = b"".join(self._gathered)
        keep = (
            clean
            and not self._closing
            and self.body_sent
            and self.transport is not None
            and not self.transport.is_closing()
            and not self.transport.get_write_buffer_size()  # answered before the request had left
        )
        source = self.source
        self.previous = self.attempt
        self.nameless = self.nameless or not self._named
        self._late = False
        self._clear()
        if keep:
            self._to(Phase.IDLE)
            self.idle_since = self.clock()
            if not self.transport.is_reading():  # the answer streamed, and ended while it was held up
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
        self.changed(self)
