"""One connection to a node: sending requests and the event loop's callbacks. It carries one request at a time."""

from __future__ import annotations

import asyncio
import select

import httptools

from knotwalk.edge.answer_reader import MAX_HEAD_BYTES, AnswerReader
from knotwalk.edge.node_answer import Answer
from knotwalk.edge.node_connection_state import Phase

# Part of the idle timeout after which no non-idempotent request is sent on the connection.
NON_IDEMPOTENT_IDLE_PART = 0.5


class Connection(AnswerReader):
    """One connection to a node. `on_change` is called when it has become idle or has closed."""

    # -- to the node

    def is_ready(self, non_idempotent: bool) -> bool:
        """Whether a request may be sent now; `non_idempotent` requests have stricter conditions.

        Polls the socket for unread bytes or an end, since the event loop may not have read them yet: what arrived
        before a request was sent is not its answer, on a new connection either."""
        if self.phase is not Phase.IDLE or self.transport is None or self.transport.is_closing():
            return False
        if not self.requests_sent:
            return not self._poll.poll(0)
        idle = self.clock() - self.idle_since
        if idle > (self.idle_time * NON_IDEMPOTENT_IDLE_PART if non_idempotent else self.idle_time):
            return False
        if non_idempotent and self.answered_without_id:
            return False
        return not self._poll.poll(0)

    def send(self, head: bytes, body: bytes, attempt: bytes, method: bytes, complete: bool) -> asyncio.Future[Answer]:
        """Send a request; the future gets its answer, or one that states how it was lost. Never raises.

        `complete`: `body` ends the request; otherwise the rest follows by `send_more` and `finish_body`."""
        assert self.transport is not None
        self._to(Phase.WAITING)
        self.attempt, self.method, self.body_sent = attempt, method, complete
        self.waiter = asyncio.get_running_loop().create_future()
        self.requests_sent += 1
        self.transport.write(head + body if body else head)
        return self.waiter

    def send_more(self, data: bytes) -> None:
        """Send another part of a streamed body, already framed."""
        if self.phase in (Phase.WAITING, Phase.ANSWERING) and self.transport is not None:
            self.transport.write(data)

    def finish_body(self) -> None:
        """The streamed body was sent completely."""
        self.body_sent = True

    # -- called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is established; close it if it was given up meanwhile."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        self.idle_since = self.clock()
        if self.phase is Phase.CLOSED:
            transport.abort()
        else:
            self._to(Phase.IDLE)

    def connection_lost(self, error: Exception | None) -> None:
        """The connection has ended: fail the pending request."""
        if self.phase is not Phase.CLOSED:
            self._lose(f"connection ended: {error}" if error else "connection closed")

    def eof_received(self) -> bool:
        """The node has closed its side: close the connection."""
        return False

    def pause_writing(self) -> None:
        """Pause the source of the body: the write buffer is full."""
        if self.source is not None:
            self.source.writable(False)

    def resume_writing(self) -> None:
        """Resume the source of the body."""
        if self.source is not None:
            self.source.writable(True)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; unexpected ones close the connection."""
        if self.phase is Phase.CLOSED:
            return
        if self.phase is Phase.IDLE:
            self._lose("bytes while no answer was due")
            return
        clean = True
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._done:
                why = error.__context__ if isinstance(error, httptools.HttpParserCallbackError) else error
                self._lose(f"no answer in the protocol: {why}")
                return
            clean = False
        if self.phase is Phase.CLOSED:
            return
        if self._done:
            self._finished(clean and not self._has_excess)
        elif self.phase is Phase.WAITING and not self._skipping:
            self._fed += len(data)
            if self._fed > MAX_HEAD_BYTES:
                self._lose("an endless head")
