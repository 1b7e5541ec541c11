"""What a client's connection asks of the port that it came by; `front.Front` is the one that does it."""

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
    """The port's state that connections read, and what they tell it."""

    clock: Callable[[], float]
    view: ClusterView
    started: bool  # whether there was enough to serve by
    draining: bool
    clients: set
    connection_budget: ConnectionBudget

    @property
    def limits(self) -> Limits:
        """What a client may send, and how long it may take."""

    @property
    def counts(self) -> Counter[str]:
        """What was met with, by its name."""

    @property
    def crowded(self) -> bool:
        """Whether there is no descriptor for one more client."""

    def entered(self, client: asyncio.Protocol) -> None:
        """An accepted connection came."""

    def left(self, client: asyncio.Protocol) -> None:
        """A connection has ended, or is about to."""

    @property
    def withheld(self) -> frozenset[bytes]:
        """Headers of clients, in lower case, that go to no node."""

    def begin(self, exchange: Exchange, head: RequestHead) -> None:
        """A request's head was read: find its route, whose it is, and its deadline."""

    def carry(self, exchange: Exchange) -> None:
        """Carry a request; it tells when its answer is known."""

    def ended(self, exchange: Exchange) -> None:
        """A request has got its answer, or nobody waits for it."""
