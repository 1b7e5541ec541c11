"""One connection to a node: what is sent on it, and what the loop tells of it. It carries one request at a time."""

from __future__ import annotations

import asyncio
import select

import httptools

from knotwalk.edge.answer_reader import MAX_HEAD, AnswerReader
from knotwalk.edge.node_answer import Answer
from knotwalk.edge.node_connection_state import Phase

# Of the idle time: beyond it no request that must not be repeated is sent on the connection.
FRESH_PART = 0.5


class Connection(AnswerReader):
    """One connection to a node. `changed` is called when it has become idle or has closed."""

    # -- towards the node

    def ready(self, careful: bool) -> bool:
        """Whether a request may be sent now; `careful` for one that must not be repeated.

        Asks the socket itself whether bytes or an end lie unread, since the loop may not have got to them yet: what
        came before a request was sent is not its answer, on a new connection neither."""
        if self.phase is not Phase.IDLE or self.transport is None or self.transport.is_closing():
            return False
        if not self.used:
            return not self._poll.poll(0)
        idle = self.clock() - self.idle_since
        if idle > (self.idle_time * FRESH_PART if careful else self.idle_time):
            return False
        if careful and self.nameless:
            return False
        return not self._poll.poll(0)

    def send(self, head: bytes, body: bytes, attempt: bytes, method: bytes, whole: bool) -> asyncio.Future[Answer]:
        """Send a request; the future gets its answer, or one that says how it was lost. Never fails.

        `whole`: `body` ends the request; otherwise more comes by `more` and `finish`."""
        assert self.transport is not None
        self._to(Phase.WAITING)
        self.attempt, self.method, self.body_sent = attempt, method, whole
        self.waiter = asyncio.get_running_loop().create_future()
        self.used += 1
        self.transport.write(head + body if body else head)
        return self.waiter

    def more(self, data: bytes) -> None:
        """A further piece of a streamed body, already framed."""
        if self.phase in (Phase.WAITING, Phase.ANSWERING) and self.transport is not None:
            self.transport.write(data)

    def finish(self) -> None:
        """The streamed body was sent whole."""
        self.body_sent = True

    # -- from the loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up, unless it was given up meanwhile."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        self.idle_since = self.clock()
        if self.phase is Phase.CLOSED:
            transport.abort()
        else:
            self._to(Phase.IDLE)

    def connection_lost(self, error: Exception | None) -> None:
        """The connection has ended: whoever waits is told."""
        if self.phase is not Phase.CLOSED:
            self._lose(f"connection ended: {error}" if error else "connection closed")

    def eof_received(self) -> bool:
        """The node sends no more: the connection ends."""
        return False

    def pause_writing(self) -> None:
        """The node takes no more for now: the body's source pauses."""
        if self.source is not None:
            self.source.writable(False)

    def resume_writing(self) -> None:
        """The node takes more again."""
        if self.source is not None:
            self.source.writable(True)

    def data_received(self, data: bytes) -> None:
        """Bytes came: an answer, or what ends the connection."""
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
            self._finished(clean and not self._late)
        elif self.phase is Phase.WAITING and not self._skipping:
            self._fed += len(data)
            if self._fed > MAX_HEAD:
                self._lose("an endless head")
