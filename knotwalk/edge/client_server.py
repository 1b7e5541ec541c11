"""The clients' port of an edge: connections are accepted within their limits, requests carried, and the port drained.

The connections themselves are `client_connection`'s, with `request_reader` and `answer_writer` below it.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable, Coroutine

from knotwalk.admission.connection_budget import share_descriptors
from knotwalk.configuration.objects import Limits
from knotwalk.discovery.cluster_view import ClusterView
from knotwalk.edge.client_connection import CROWD_LOOK, ClientConnection, unread
from knotwalk.edge.exchange import Exchange
from knotwalk.edge.forwarder import Forwarder
from knotwalk.edge.intake import Intake
from knotwalk.edge.operations import Operations
from knotwalk.edge.request_head import RequestHead
from knotwalk.edge.stages import Stage
from knotwalk.runtime.logs import log_exception, log_info
from knotwalk.runtime.loop_delay import LoopDelay
from knotwalk.runtime.settings import Settings

# Seconds between looks at idle connections: the bounds they keep are whole seconds.
SWEEP = 0.5
# Seconds between lines of the log that tell how requests ended: few enough to keep, often enough to see a trouble.
TALLY = 10.0
# Looks for a descriptor (CROWD_LOOK apart) while clients wait for one to be accepted, before those who wait are reset,
# to go elsewhere: a request takes some 0.15 s.
CROWD_LOOKS = 3
# Connections that wait to be accepted.
BACKLOG = 1024


class ClientServer:
    """The clients' port of an edge, at `settings.listen["data_plane"]`."""

    def __init__(self, settings: Settings, view: ClusterView, clock: Callable[[], float], seed: int):
        self.settings, self.view, self.clock = settings, view, clock
        self.forwarder = Forwarder(settings, view, clock, seed)
        self.operations: Operations | None = None  # set where limits and operations are asked for
        self.clients: set[ClientConnection] = set()
        self.connection_budget = share_descriptors(settings.machine.file_descriptors, settings.contracts)
        self.coming = 0  # connections accepted that have not entered yet
        self.draining = False
        self.intake = Intake(self.forwarder)
        self.started = self.serves
        self.open = 0  # requests read and not answered
        self.gate: socket.socket | None = None  # where connections wait to be accepted
        self._shut_until: asyncio.TimerHandle | None = None  # while none is accepted
        self._sweep: asyncio.TimerHandle | None = None
        self.delay = LoopDelay()
        self._look_due = 0.0
        self._tallied = clock()  # when it was last told how requests ended
        self._tasks: set[asyncio.Task] = set()
        self._calm: asyncio.Event = asyncio.Event()

    @property
    def limits(self) -> Limits:
        """The limits in force, the usual ones until a configuration is known."""
        configuration = self.view.configuration
        return configuration.limits if configuration is not None else DEFAULT_LIMITS

    @property
    def serves(self) -> bool:
        """Whether there is enough to serve by, of what cores have told."""
        return self.view.is_complete and self.intake.judges_keys(self.clock())

    @property
    def counts(self) -> dict:
        """What was met with, by its name; told with the tally."""
        return self.forwarder.counts

    @property
    def edges(self) -> int:
        """How many edges share the budgets."""
        return self.forwarder.edges

    @edges.setter
    def edges(self, count: int) -> None:
        self.forwarder.edges = count

    async def start(self) -> None:
        """Listen; OSError if the address can't be had."""
        host, port = self.settings.listen["data_plane"]
        loop = asyncio.get_running_loop()
        self.gate = socket.create_server((host, port), backlog=BACKLOG)
        self.gate.setblocking(False)
        loop.add_reader(self.gate, self._accept)
        self._look_later()
        log_info("listening", address=f"{host}:{self.port}")

    @property
    def port(self) -> int:
        """The port that is listened at."""
        assert self.gate is not None
        return self.gate.getsockname()[1]

    # -- accepting

    @property
    def crowded(self) -> bool:
        """Whether there is no descriptor for one more client."""
        return len(self.clients) + self.coming >= self.connection_budget.clients

    def _accept(self) -> None:
        """Take in who waits, as far as there is room; idle clients make some."""
        for _ in range(BACKLOG):
            if self.gate is None:
                return
            if self.crowded:
                if unread(self.gate.fileno()):  # somebody waits
                    self._make_room()
                    self._wait_for_room()
                return
            try:
                made, _ = self.gate.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:  # no descriptor, whatever we count
                self.counts[f"not accepted: {error.strerror}"] += 1
                self._wait_for_room()
                return
            made.setblocking(False)
            self.coming += 1
            self._spawn(self._enter(made))

    async def _enter(self, made: socket.socket) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(lambda: ClientConnection(self), made)
        except OSError:
            self.coming -= 1
            made.close()

    def _make_room(self) -> bool:
        """End the connection that has been still longest among those with nothing due; whether there was one."""
        now = self.clock()
        for client in sorted(self.clients, key=lambda client: client.touched):
            if client.give_way(now):
                return True
        return False

    def _wait_for_room(self) -> None:
        if self._shut_until is None and self.gate is not None:
            asyncio.get_running_loop().remove_reader(self.gate)
            self._look_for_room(CROWD_LOOKS)

    def _look_for_room(self, looks: int) -> None:
        if not looks and not self._make_room():
            self._turn_away()
        elif self.gate is not None:
            if looks < CROWD_LOOKS:
                self._make_room()
            self._shut_until = asyncio.get_running_loop().call_later(CROWD_LOOK, self._look_for_room, max(0, looks - 1))

    def _turn_away(self) -> None:
        """Nobody left in time: who waits is reset unread, which lets it try elsewhere whatever it asks."""
        while self.gate is not None:
            try:
                made, _ = self.gate.accept()
            except OSError:
                break
            made.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            made.close()
            self.counts["no room for a connection"] += 1
        self._reopen()

    def _reopen(self) -> None:
        if self._shut_until is not None:
            self._shut_until.cancel()
            self._shut_until = None
            if self.gate is not None:
                asyncio.get_running_loop().add_reader(self.gate, self._accept)

    def _close_gate(self) -> None:
        if self.gate is not None:
            if self._shut_until is None:
                asyncio.get_running_loop().remove_reader(self.gate)
            else:
                self._shut_until.cancel()
            self.gate.close()
            self.gate = None

    def _look(self) -> None:
        now = self.clock()
        self.delay.note(now - self._look_due)
        for client in list(self.clients):
            client.look(now)
        self.forwarder.close_idle()
        if now - self._tallied >= TALLY:
            self._tell_tally(now)
        self._look_later()

    def _look_later(self) -> None:
        self._look_due = self.clock() + SWEEP
        self._sweep = asyncio.get_running_loop().call_later(SWEEP, self._look)

    def _tell_tally(self, now: float) -> None:
        seconds, self._tallied = round(now - self._tallied, 1), now
        if counts := self.forwarder.take_counts():
            log_info("requests", seconds=seconds, counts=counts)

    def drain(self) -> None:
        """Accept no more connections; answers tell clients to leave; what was read is finished.

        Who is connected as the system sees it, and was not accepted yet, is taken in: a closed gate would reset it.
        """
        if self.draining:
            return
        self.draining = True
        self._accept()
        self._close_gate()
        log_info("draining", clients=len(self.clients), requests=self.open)

    async def finished(self, by: float) -> None:
        """Until every request that was read is answered, or the steady clock shows `by`; then connections end."""
        while (self.open or self.coming or any(not client.quiet() for client in self.clients)) and self.clock() < by:
            self._calm.clear()
            try:
                async with asyncio.timeout(min(SWEEP, max(0.0, by - self.clock()))):
                    await self._calm.wait()
            except TimeoutError:
                pass
        for client in list(self.clients):
            client.part()
        while (
            any(client.transport is not None and client.transport.get_write_buffer_size() for client in self.clients)
            and self.clock() < by
        ):
            await asyncio.sleep(0.01)
        if self._sweep is not None:
            self._sweep.cancel()
        self._tell_tally(self.clock())
        for pool in list(self.forwarder.pools.values()):
            pool.close()

    def report(self, now: float) -> dict:
        """What was met with since the last call; see the forwarder."""
        return self.forwarder.report()

    def view_changed(self, changed: set[str]) -> None:
        """The cluster view changed."""
        self.forwarder.view_changed(changed)
        if not self.started and self.serves:
            self.started = True
            for client in list(self.clients):
                client.begun()

    # -- from clients' connections

    def entered(self, client: ClientConnection) -> None:
        """An accepted connection came."""
        self.coming -= 1
        self.clients.add(client)

    def left(self, client: ClientConnection) -> None:
        """A connection has ended, or is about to: its descriptor is free after this turn of the loop."""
        self.clients.discard(client)
        self._calm.set()
        if self._shut_until is not None and not self.crowded:
            self._reopen()

    @property
    def withheld(self) -> frozenset[bytes]:
        """Headers of clients, in lower case, that go to no node."""
        return self.intake.withheld

    def begin(self, exchange: Exchange, head: RequestHead) -> None:
        """A request's head was read: find its route, whose it is, and its deadline."""
        self.open += 1
        self.intake.begin(exchange, head)

    def carry(self, exchange: Exchange) -> None:
        """Carry a request; it tells when its answer is known."""
        self._spawn(self._carry(exchange))

    def _spawn(self, work: Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _carry(self, exchange: Exchange) -> None:
        try:
            if self.operations is not None:
                await self.operations.carry(exchange)
            else:
                await self.forwarder.carry(exchange)
        except Exception:
            log_exception("carrying a request failed", attempt=exchange.attempt.decode("latin-1"))
            if exchange.stage is Stage.RUNNING:
                exchange.respond(502, "trouble of the edge")

    def ended(self, exchange: Exchange) -> None:
        """A request has got its answer, or nobody waits for it."""
        if exchange.attempt:
            self.open -= 1
        if not self.open:
            self._calm.set()


DEFAULT_LIMITS = Limits()
