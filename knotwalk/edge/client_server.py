"""The clients' port of an edge: accepts connections within the limits, forwards requests, and drains at the end.

Single connections are handled by `client_connection`, which is built on `request_reader` and `answer_writer`.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable, Coroutine

from knotwalk.admission.connection_budget import share_descriptors
from knotwalk.configuration.objects import Limits
from knotwalk.discovery.cluster_view import ClusterView
from knotwalk.edge.client_connection import CROWDED_POLL_S, ClientConnection, has_unread
from knotwalk.edge.drain import Drain
from knotwalk.edge.drain_schedule import DrainSchedule
from knotwalk.edge.exchange import Exchange
from knotwalk.edge.forwarder import Forwarder
from knotwalk.edge.intake import Intake
from knotwalk.edge.operations import Operations
from knotwalk.edge.request_head import RequestHead
from knotwalk.edge.stages import Stage
from knotwalk.runtime.logs import log_exception, log_info
from knotwalk.runtime.loop_delay import LoopDelay
from knotwalk.runtime.settings import Settings

# Interval of the timeout checks of connections: their timeouts are whole seconds.
SWEEP_INTERVAL_S = 0.5
# Interval of the log lines that count how requests ended: seldom enough to keep them, often enough to see a fault.
LOG_COUNTS_INTERVAL_S = 10.0
# Number of polls for a free descriptor, CROWDED_POLL_S apart, before the clients that wait to be accepted are reset, so
# that they go to another edge: a request takes about 0.15 s.
CROWDED_POLLS = 3
# Length of the listening socket's queue.
BACKLOG = 1024


class ClientServer:
    """The clients' port of an edge, at `settings.listen["data_plane"]`."""

    def __init__(self, settings: Settings, view: ClusterView, clock: Callable[[], float], seed: int):
        self.settings, self.view, self.clock = settings, view, clock
        self.forwarder = Forwarder(settings, view, clock, seed)
        self.operations: Operations | None = None  # set where limits or operations need admission requests
        self.clients: set[ClientConnection] = set()
        self.connection_budget = share_descriptors(settings.machine.file_descriptors, settings.contracts)
        self.accepting = 0  # accepted connections that are not set up yet
        self.draining = False
        self._drain: Drain | None = None  # once it has begun
        self.intake = Intake(self.forwarder)
        self.view_ready = self.can_serve
        self.open_requests = 0  # requests read and not yet answered
        self.listener: socket.socket | None = None  # the listening socket
        self._accept_timer: asyncio.TimerHandle | None = None  # next poll while accepting is paused
        self._sweep: asyncio.TimerHandle | None = None
        self.loop_delay = LoopDelay()
        self._sweep_due = 0.0
        self._logged_at = clock()  # when the counts were last logged
        self._tasks: set[asyncio.Task] = set()
        self.progress = asyncio.Event()  # set when a request or a connection has ended

    @property
    def limits(self) -> Limits:
        """The limits in force; the default ones until there is a configuration."""
        configuration = self.view.configuration
        return configuration.limits if configuration is not None else DEFAULT_LIMITS

    @property
    def can_serve(self) -> bool:
        """Whether there is a complete cluster view and, where needed, a valid lease on tenant keys."""
        return self.view.is_complete and self.intake.can_check_keys(self.clock())

    @property
    def counts(self) -> dict:
        """Counts of events by name; logged periodically."""
        return self.forwarder.counts

    @property
    def edges(self) -> int:
        """How many edges share the retry budgets."""
        return self.forwarder.edges

    @edges.setter
    def edges(self, count: int) -> None:
        self.forwarder.edges = count

    async def start(self) -> None:
        """Start to listen; OSError if the address can't be used."""
        host, port = self.settings.listen["data_plane"]
        loop = asyncio.get_running_loop()
        self.listener = socket.create_server((host, port), backlog=BACKLOG)
        self.listener.setblocking(False)
        loop.add_reader(self.listener, self._accept)
        self._schedule_sweep()
        log_info("listening", address=f"{host}:{self.port}")

    @property
    def port(self) -> int:
        """The port number of the listening socket."""
        assert self.listener is not None
        return self.listener.getsockname()[1]

    # -- accepting

    @property
    def is_full(self) -> bool:
        """Whether there is no descriptor for another client."""
        return len(self.clients) + self.accepting >= self.connection_budget.clients

    def _accept(self) -> None:
        """Accept waiting connections as far as descriptors allow; idle clients are closed to free some."""
        for _ in range(BACKLOG):
            if self.listener is None:
                return
            if self.is_full:
                if has_unread(self.listener.fileno()):  # a client waits
                    self._close_idle_client()
                    self._pause_accepting()
                return
            try:
                sock, _ = self.listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:  # no descriptor left, whatever the count says
                self.counts[f"not accepted: {error.strerror}"] += 1
                self._pause_accepting()
                return
            sock.setblocking(False)
            self.accepting += 1
            self._spawn(self._enter(sock))

    async def _enter(self, sock: socket.socket) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(lambda: ClientConnection(self), sock)
        except OSError:
            self.accepting -= 1
            sock.close()

    def _close_idle_client(self) -> bool:
        """Close the longest inactive connection without pending requests; whether there was one."""
        now = self.clock()
        for client in sorted(self.clients, key=lambda client: client.last_active):
            if client.close_if_idle(now):
                return True
        return False

    def _pause_accepting(self) -> None:
        if self._accept_timer is None and self.listener is not None:
            asyncio.get_running_loop().remove_reader(self.listener)
            self._poll_for_room(CROWDED_POLLS)

    def _poll_for_room(self, polls: int) -> None:
        if not polls and not self._close_idle_client():
            self._reset_waiting()
        elif self.listener is not None:
            if polls < CROWDED_POLLS:
                self._close_idle_client()
            self._accept_timer = asyncio.get_running_loop().call_later(
                CROWDED_POLL_S, self._poll_for_room, max(0, polls - 1)
            )

    def _reset_waiting(self) -> None:
        """Reset waiting connections, since no descriptor became free in time.

        Nothing was read from them, so that their clients may retry any request elsewhere."""
        while self.listener is not None:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                break
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()
            self.counts["no room for a connection"] += 1
        self._resume_accepting()

    def _resume_accepting(self) -> None:
        if self._accept_timer is not None:
            self._accept_timer.cancel()
            self._accept_timer = None
            if self.listener is not None:
                asyncio.get_running_loop().add_reader(self.listener, self._accept)

    def _close_listener(self) -> None:
        if self.listener is not None:
            if self._accept_timer is None:
                asyncio.get_running_loop().remove_reader(self.listener)
            else:
                self._accept_timer.cancel()
            self.listener.close()
            self.listener = None

    def _sweep_clients(self) -> None:
        now = self.clock()
        self.loop_delay.note(now - self._sweep_due)
        for client in list(self.clients):
            client.check_timeouts(now)
            client.log_held_answer(now)
        self.forwarder.close_idle()
        if now - self._logged_at >= LOG_COUNTS_INTERVAL_S:
            self._log_counts(now)
        self._schedule_sweep()

    def _schedule_sweep(self) -> None:
        self._sweep_due = self.clock() + SWEEP_INTERVAL_S
        self._sweep = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep_clients)

    def _log_counts(self, now: float) -> None:
        seconds, self._logged_at = round(now - self._logged_at, 1), now
        if counts := self.forwarder.take_counts():
            log_info("requests", seconds=seconds, counts=counts)

    def drain(self) -> float:
        """Accept no more connections, and answer what was read; returns when the last requests end (monotonic clock).

        Connections that the kernel has established already are accepted first: closing the socket would reset them.
        """
        if self._drain is None:
            schedule = DrainSchedule.begin(self.clock(), self.settings.bounds.grace_period)
            self._drain = Drain(self, schedule)
            self.draining = True
            self._accept()
            self._close_listener()
            self._drain.begin()
        return self._drain.schedule.ends_at

    async def finished(self, by: float) -> None:
        """Wait until every request that was read is answered, or until `by` (monotonic); then read no more.

        Requests that are still at nodes may be answered until `answer_the_rest`."""
        assert self._drain is not None
        await self._drain.wait(by)
        if self._sweep is not None:
            self._sweep.cancel()
        self._log_counts(self.clock())
        for pool in list(self.forwarder.pools.values()):
            pool.close()

    def answer_the_rest(self) -> None:
        """Answer the requests that are still at nodes; the process ends after that."""
        assert self._drain is not None
        self._drain.answer_the_rest()

    def report(self, now: float) -> dict:
        """The load report since the previous call; see the forwarder."""
        return self.forwarder.report()

    def view_changed(self, changed: set[str]) -> None:
        """Apply a change of the cluster view."""
        self.forwarder.view_changed(changed)
        if not self.view_ready and self.can_serve:
            self.view_ready = True
            for client in list(self.clients):
                client.on_view_ready()

    # -- called by client connections

    def on_connected(self, client: ClientConnection) -> None:
        """An accepted connection is set up."""
        self.accepting -= 1
        self.clients.add(client)

    def on_disconnected(self, client: ClientConnection) -> None:
        """A connection has ended or is about to: its descriptor is free after this iteration of the event loop."""
        self.clients.discard(client)
        self.progress.set()
        if self._accept_timer is not None and not self.is_full:
            self._resume_accepting()

    @property
    def withheld_headers(self) -> frozenset[bytes]:
        """Client headers, in lower case, that are not forwarded."""
        return self.intake.withheld_headers

    def begin(self, exchange: Exchange, head: RequestHead) -> None:
        """A request's head was read: set its route, tenant and deadline."""
        self.open_requests += 1
        self.intake.begin(exchange, head)
        if self._drain is not None:
            self._drain.limit(exchange)

    def forward(self, exchange: Exchange) -> None:
        """Forward a request; its `on_answered` is called when the answer is known."""
        self._spawn(self._forward(exchange))

    def _spawn(self, work: Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _forward(self, exchange: Exchange) -> None:
        try:
            if self.operations is not None:
                await self.operations.forward(exchange)
            else:
                await self.forwarder.forward(exchange)
        except Exception:
            log_exception("forwarding a request failed", attempt=exchange.attempt.decode("latin-1"))
            if exchange.stage is Stage.RUNNING:
                exchange.respond(502, "trouble of the edge")

    def on_request_done(self, exchange: Exchange) -> None:
        """A request was answered, or nobody waits for its answer any more."""
        if exchange.attempt:
            self.open_requests -= 1
        if not self.open_requests:
            self.progress.set()


DEFAULT_LIMITS = Limits()
