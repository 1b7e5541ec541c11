"""The beginning of a request at an edge: its route, whose it is, its operation and its deadline; or what refuses it."""

from __future__ import annotations

import asyncio

from knotwalk.admission.admission import jittered_retry_after
from knotwalk.configuration.objects import Route
from knotwalk.edge.exchange import Exchange
from knotwalk.edge.forwarder import Forwarder
from knotwalk.edge.forwarding_state import KEYS_UNSURE
from knotwalk.edge.request_head import RequestHead
from knotwalk.edge.tenant_check import UNAUTHORIZED, WITHHELD_HEADERS, check_key

# Seconds after which a client that was refused since keys can't be judged comes back, by then to another edge.
KEYS_WAIT = 0.1
CONTRACT = "tenants"  # the part of the rules that keys of tenants belong to
NO_HEADERS: frozenset[bytes] = frozenset()


class Intake:
    """Takes in requests whose head was read, by the view, clock and lease that the forwarder has."""

    def __init__(self, forwarder: Forwarder):
        self.forwarder = forwarder
        self.view, self.clock, self.freshness = forwarder.view, forwarder.clock, forwarder.freshness
        self.by_contract = CONTRACT in forwarder.settings.contracts

    @property
    def withheld(self) -> frozenset[bytes]:
        """Headers of clients, in lower case, that go to no node.

        Where keys of tenants are in force, also while the configuration here holds no tenants: a newer one may."""
        return WITHHELD_HEADERS if self.by_contract or self.view.tenant_keys.tenants else NO_HEADERS

    def judges_keys(self, now: float) -> bool:
        """Whether requests that need a key can be taken; true where none needs one."""
        return not self.view.tenant_keys.tenants or self.freshness.can_accept(now)

    def begin(self, exchange: Exchange, head: RequestHead) -> None:
        """Find a request's route, whose it is, and its deadline; what can't be served is told so at once."""
        index = self.view.index
        if index is None:
            exchange.respond(503, "not ready", 0.2)
            return
        assert head.host is not None
        route = index.find(head.host.decode("latin-1"), head.target.decode("latin-1"))
        if route is None:
            self.forwarder.counts["no route"] += 1
            exchange.respond(404, "no route")
            return
        if not self._admit(exchange, route, head):
            return
        mistake = self.forwarder.routed(exchange, route, head.shard_key)
        left = route.timeout
        if head.deadline is not None:
            try:
                left = min(left, float(head.deadline) / 1000)
            except ValueError:
                mistake = mistake or "Deadline-Ms must be a number"
            if not left >= 0:
                mistake = mistake or "Deadline-Ms must be a number"
        if mistake:
            self.forwarder.counts["mistake"] += 1
            exchange.respond(400, mistake)
            return
        exchange.deadline = exchange.started_at + left
        exchange.timer = asyncio.get_running_loop().call_later(left, exchange.expire)

    def _admit(self, exchange: Exchange, route: Route, head: RequestHead) -> bool:
        """Note whose a request is and its operation; False if it was refused for its key, or for the lack of one."""
        check = check_key(route, self.view.tenant_keys, head.authorization or b"", self.freshness, self.clock())
        if check.status == UNAUTHORIZED:
            self.forwarder.counts["no key, or one that nobody holds"] += 1
            exchange.respond(UNAUTHORIZED, "a key of a tenant is needed")
            return False
        if check.status:
            self.forwarder.counts[KEYS_UNSURE] += 1
            exchange.keep_alive = False  # its client goes on by another connection, to an edge that knows
            exchange.respond(check.status, KEYS_UNSURE, jittered_retry_after(KEYS_WAIT, self.forwarder.rng.random()))
            return False
        exchange.priority = route.priority
        if check.tenant is not None:
            exchange.tenant = check.tenant.name
            exchange.head += b"Tenant: %b\r\n" % check.tenant.name.encode()
            if check.tenant.priority is not None:
                exchange.priority = check.tenant.priority
        if route.keyed:
            exchange.operation = head.operation.decode("latin-1")
        return True
