"""The interface of the clients' port that client connections use; `client_server.ClientServer` implements it."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from knotwalk.admission.connection_budget import ConnectionBudget
from knotwalk.configuration.objects import Limits
from knotwalk.discovery.cluster_view import ClusterView
from knotwalk.edge.exchange import Exchange
from knotwalk.edge.request_head import RequestHead


class ClientsPort(Protocol):
    """The state that connections read, and the events that they report."""

    clock: Callable[[], float]
    view: ClusterView
    view_ready: bool  # whether there has been a cluster view to serve with
    draining: bool
    clients: set
    connection_budget: ConnectionBudget

    @property
    def limits(self) -> Limits:
        """Limits on what a client may send and how long it may take."""

    @property
    def counts(self) -> Counter[str]:
        """Counts of events, by name."""

    @property
    def is_full(self) -> bool:
        """Whether there is no descriptor for another client."""

    def on_connected(self, client: asyncio.Protocol) -> None:
        """An accepted connection is set up."""

    def on_disconnected(self, client: asyncio.Protocol) -> None:
        """A connection has ended or is about to."""

    @property
    def withheld_headers(self) -> frozenset[bytes]:
        """Client headers, in lower case, that are not forwarded."""

    def begin(self, exchange: Exchange, head: RequestHead) -> None:
        """A request's head was read: set its route, tenant and deadline."""

    def forward(self, exchange: Exchange) -> None:
        """Forward a request; its `on_answered` is called when the answer is known."""

    def on_request_done(self, exchange: Exchange) -> None:
        """A request was answered, or nobody waits for its answer any more."""
