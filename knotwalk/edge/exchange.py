"""One client request and its one answer: stages, the body on its way to a node, and abort by deadline or client."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from knotwalk.configuration.objects import Route
from knotwalk.edge.node_answer import Answer
from knotwalk.edge.node_connection import Connection
from knotwalk.edge.stages import OFFER_AFTER_HALF_CLOSE_S, STAGE_TRANSITIONS, Stage
from knotwalk.runtime.errors import PeerError


class Exchange:
    """A client's request and its answer. `on_answered` is called once, when the answer is known."""

    __slots__ = (
        "stage",
        "started_at",
        "deadline",
        "method",
        "attempt",
        "head",
        "length",
        "chunked",
        "body",
        "body_complete",
        "body_streaming",
        "size",
        "route",
        "service",
        "shard_key",
        "connection",
        "waiter",
        "expired",
        "client_gone",
        "offer_until",
        "offer_end_cause",
        "sent_at",
        "answered_at",
        "timer",
        "status",
        "retry_after",
        "answer",
        "on_answered",
        "keep_alive",
        "is_http_11",
        "expects_continue",
        "on_backpressure",
        "task",
        "text",
        "lateness_cause",
        "tenant",
        "operation",
        "priority",
    )

    def __init__(self, started_at: float, method: bytes, on_answered: Callable[[Exchange], None]):
        self.stage = Stage.READING
        self.started_at, self.deadline = started_at, started_at
        self.method, self.attempt, self.head = method, b"", b""
        self.length: int | None = None  # Content-Length of the body
        self.chunked = False
        self.body = bytearray()  # what was read and not yet forwarded
        self.body_complete = self.body_streaming = False
        self.size = 0
        self.route: Route | None = None
        self.service, self.shard_key = "", -1
        self.connection: Connection | None = None
        self.waiter: asyncio.Future | None = None
        self.expired = self.client_gone = False
        self.offer_until = math.inf  # monotonic clock; it is not offered to a node from then on
        self.offer_end_cause = ""  # why
        self.sent_at: float | None = None  # when it was last sent to a node; None if never
        self.answered_at: float | None = None  # when its answer was known
        self.timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task | None = None
        self.status, self.retry_after, self.text = 0, 0.0, ""
        self.lateness_cause = ""  # should it be late; of its last try, from `NodeTry._lateness_cause`
        self.tenant = ""  # the tenant of its key
        self.operation = ""  # its `Operation-Key`, on a keyed route
        self.priority = 0  # of its tenant or its route; 0 is highest
        self.answer: Answer | None = None
        self.on_answered = on_answered
        self.keep_alive, self.is_http_11, self.expects_continue = True, True, False
        self.on_backpressure: Callable[[bool], None] | None = None  # called with whether the body must pause

    def transition_to(self, stage: Stage) -> None:
        """Change the stage; PeerError if the transition is not allowed."""
        if stage not in STAGE_TRANSITIONS[self.stage]:
            raise PeerError(
                "request",
                self.attempt.decode("latin-1"),
                f"invalid transition from {self.stage.value} to {stage.value}",
            )
        self.stage = stage

    def respond(self, status: int, text: str = "", retry_after: float = 0.0) -> None:
        """Answer by the edge itself, unless the request is answered already."""
        if self.stage in (Stage.ANSWERED, Stage.WRITING, Stage.DONE):
            return
        self.status, self.text, self.retry_after = status, text, retry_after
        self._set_answered()

    def respond_with(self, answer: Answer) -> None:
        """Answer with the answer of a node."""
        if self.stage is not Stage.RUNNING:
            if answer.stream is not None:
                answer.stream.abort("answered already")
            return
        self.answer, self.status = answer, answer.status
        self._set_answered()

    def _set_answered(self) -> None:
        if self.stage in (Stage.ANSWERED, Stage.WRITING, Stage.DONE):
            return
        self.transition_to(Stage.ANSWERED)
        self.on_answered(self)

    # -- the body, on its way to the node

    def add_body(self, data: bytes) -> None:
        """Buffer or stream a part of the body that was read."""
        if self.body_streaming and self.connection is not None:
            self.connection.send_more(self._framed(data))
        elif self.stage in (Stage.READING, Stage.READY, Stage.RUNNING):
            self.body += data

    def end_body(self) -> None:
        """The body was read completely."""
        self.body_complete = True
        if self.body_streaming and self.connection is not None:
            if self.chunked:
                self.connection.send_more(b"0\r\n\r\n")
            self.connection.finish_body()

    def _framed(self, data: bytes) -> bytes:
        return b"%x\r\n%b\r\n" % (len(data), data) if self.chunked and data else bytes(data)

    def writable(self, on: bool) -> None:
        """Resume or pause reading the body, as the connection to the node can take more or not."""
        if self.on_backpressure is not None:
            self.on_backpressure(not on)

    def send_on(self, connection: Connection, deadline_ms: int, node: str) -> asyncio.Future[Answer]:
        """Send the request on a connection, with as much of the body as was read."""
        self.connection = connection
        if self.body_complete:
            framing = b"Content-Length: %d\r\n" % len(self.body) if self.length is not None or self.chunked else b""
            body = bytes(self.body)
        else:
            framing = b"Content-Length: %d\r\n" % (self.length or 0)
            framing = b"Transfer-Encoding: chunked\r\n" if self.chunked else framing
            body, self.body, self.body_streaming = self._framed(bytes(self.body)), bytearray(), True
            connection.source = self
        head = b"%bDeadline-Ms: %d\r\nTarget-Instance: %b\r\n%b\r\n" % (
            self.head,
            deadline_ms,
            node.encode("latin-1"),
            framing,
        )
        future = connection.send(head, body, self.attempt, self.method, self.body_complete)
        if not self.body_complete:
            self.writable(True)
        return future

    # -- abort

    def expire(self) -> None:
        """Abort at the deadline; a request whose body is still being read is refused."""
        self.expired = True
        self._abort("the deadline passed")
        if self.stage is Stage.READING:
            self.respond(408, "the body took too long")

    @property
    def is_repeatable(self) -> bool:
        """Whether it may run again, so that it may be aborted."""
        return self.route is not None and self.route.idempotent

    def abandon(self) -> None:
        """The client is gone: abort an idempotent or incomplete request.

        A complete non-idempotent request goes on at the node that has it; if it still waits for one, it is not offered
        to any."""
        self.client_gone = True
        if self.route is None or self.route.idempotent or not self.body_complete:
            self._abort("the client is gone")
        else:
            self._stop_waiting()

    def on_half_close(self, now: float) -> None:
        """The client has half-closed and may be gone: go on, but don't offer the request to a node much later."""
        self.limit_offers(now + OFFER_AFTER_HALF_CLOSE_S, "the client is gone")

    def limit_offers(self, until: float, cause: str) -> None:
        """Don't offer the request to a node from `until` (monotonic clock) on; never extends an earlier limit."""
        if until < self.offer_until:
            self.offer_until, self.offer_end_cause = until, cause

    @property
    def is_at_node(self) -> bool:
        """Whether it was sent to a node and has no complete answer."""
        return self.sent_at is not None and self.stage in (Stage.RUNNING, Stage.WRITING)

    @property
    def is_uploading(self) -> bool:
        """Whether it is at a node that does not have its whole body yet."""
        return self.stage is Stage.RUNNING and self.body_streaming and not self.body_complete

    def _abort(self, why: str) -> None:
        if self.connection is not None:
            self.connection.abort(why)
        self._stop_waiting()

    def _stop_waiting(self) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)
