"""The end of an edge's clients' port, from SIGTERM on: which requests still go to nodes, and that each gets an answer.

A request that is not passed on by the time that `drain_schedule` sets gets 503: it never ran, and its client may send
it to another edge. What is at a node at the end gets 502, which promises nothing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Protocol

from knotwalk.edge.client_connection import ClientConnection
from knotwalk.edge.drain_schedule import DrainSchedule
from knotwalk.edge.exchange import Exchange
from knotwalk.edge.forwarder import HANDOVER_RETRY_S, Forwarder
from knotwalk.edge.stages import Stage
from knotwalk.runtime.logs import log_info, log_warning

STOPPING = "the edge is stopping"  # text of its answers, and cause in the counts
# Longest wait between two looks at whether everything is answered.
POLL_INTERVAL_S = 0.5
FLUSH_POLL_S = 0.01


class DrainedPort(Protocol):
    """The part of the clients' port that a drain uses."""

    clients: set[ClientConnection]
    forwarder: Forwarder
    accepting: int  # accepted connections that are not set up yet
    open_requests: int
    progress: asyncio.Event  # set when a request or a connection has ended


class Drain:
    """One drain, begun by `begin`; `wait` returns when everything is answered or its time is over."""

    def __init__(self, port: DrainedPort, schedule: DrainSchedule):
        self.port, self.schedule = port, schedule
        self.refused = 0  # requests that were refused because of the drain
        self._timer: asyncio.TimerHandle | None = None

    @property
    def _now(self) -> float:
        return self.port.forwarder.clock()

    def begin(self) -> None:
        """Limit how long the requests that were read are offered to nodes."""
        for exchange in self._pending():
            self.limit(exchange)
        delay = max(0.0, self.schedule.offers_end_at - self._now)
        self._timer = asyncio.get_running_loop().call_later(delay, self._on_offers_ended)
        log_info("draining", clients=len(self.port.clients), requests=self.port.open_requests)

    def limit(self, exchange: Exchange) -> None:
        """Limit how long a request is offered to nodes; called for each that is read from now on."""
        exchange.limit_offers(self.schedule.offer_until(exchange.deadline), STOPPING)

    async def wait(self, by: float) -> None:
        """Wait until every request that was read is answered, or until `by` (monotonic); then read no more.

        What has not been passed on by then is refused."""
        while self._now < by and not self._close_if_done():
            self.port.progress.clear()
            try:
                async with asyncio.timeout(min(POLL_INTERVAL_S, max(0.0, by - self._now))):
                    await self.port.progress.wait()
            except TimeoutError:
                pass
        if self._timer is not None:
            self._timer.cancel()
        for client in list(self.port.clients):
            client.stop_reading_for_good()
        self._refuse_unsent()
        while self._now < by and self._has_unwritten():
            await asyncio.sleep(FLUSH_POLL_S)

    def answer_the_rest(self) -> None:
        """Answer the requests that are still at nodes, and reset connections whose answer can't be completed."""
        left = [exchange for exchange in self._pending() if exchange.is_at_node]
        if left:
            began_at = self.schedule.began_at
            read_after = sorted(round(exchange.started_at - began_at, 2) for exchange in left)
            log_warning("requests cut at the end", count=len(left), refused=self.refused, read_after=read_after)
        self._refuse_unsent()
        for exchange in left:
            exchange.respond(502, STOPPING)
        for client in list(self.port.clients):
            if client.queue and client.queue[0].stage is Stage.WRITING:
                client.abort()

    # -- steps

    def _pending(self) -> Iterable[Exchange]:
        """The requests without a complete answer, those of one connection in order."""
        return [
            exchange for client in self.port.clients for exchange in client.queue if exchange.stage is not Stage.DONE
        ]

    def _on_offers_ended(self) -> None:
        """From now on only short requests are passed on: refuse those that wait, and close what is not in use."""
        self.port.forwarder.wake_waiting()
        for exchange in self._pending():
            if exchange.is_uploading and not self.schedule.outlasts(exchange.deadline):
                # Its last byte would come too late for LOST to excuse its loss.
                self.port.forwarder.count_request(exchange, f"unknown: {STOPPING}")
                exchange.respond(502, STOPPING)
                exchange.abandon()
        for client in list(self.port.clients):
            client.close_if_quiet()

    def _close_if_done(self) -> bool:
        """Whether everything is answered; if so, connections are closed, but not those that have unread bytes."""
        port = self.port
        if port.open_requests or port.accepting or not all(client.is_quiet() for client in port.clients):
            return False
        for client in list(port.clients):
            client.close_if_quiet()
        return not any(client.is_open for client in port.clients)

    def _refuse_unsent(self) -> None:
        """Refuse what was not passed on to a node, in whatever state it waits; it can't be passed on afterwards."""
        forwarder = self.port.forwarder
        for exchange in self._pending():
            if exchange.sent_at is None and exchange.stage in (Stage.READING, Stage.READY, Stage.RUNNING):
                exchange.limit_offers(self._now, STOPPING)
                self.refused += 1
                forwarder.count_request(exchange, f"refused: {STOPPING}")
                exchange.respond(503, STOPPING, HANDOVER_RETRY_S)

    def _has_unwritten(self) -> bool:
        return any(
            client.transport is not None and client.transport.get_write_buffer_size() for client in self.port.clients
        )
