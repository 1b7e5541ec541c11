"""The first step of a request at an edge: its route, tenant, operation and deadline, or a refusal."""

from __future__ import annotations

import asyncio

from knotwalk.admission.admission import jittered_retry_after
from knotwalk.configuration.objects import Route
from knotwalk.edge.exchange import Exchange
from knotwalk.edge.forwarder import Forwarder
from knotwalk.edge.forwarding_state import KEYS_UNSURE
from knotwalk.edge.request_head import RequestHead
from knotwalk.edge.stages import Stage
from knotwalk.edge.tenant_check import UNAUTHORIZED, WITHHELD_HEADERS, check_key

# Retry-After of a client that is refused because keys can't be checked; it retries at another edge.
KEYS_RETRY_S = 0.1
TENANTS_CONTRACT = "tenants"  # the contract that tenant keys belong to
NO_HEADERS: frozenset[bytes] = frozenset()


class Intake:
    """Prepares requests whose head was read, with the cluster view, clock and lease of the forwarder."""

    def __init__(self, forwarder: Forwarder):
        self.forwarder = forwarder
        self.view, self.clock, self.freshness = forwarder.view, forwarder.clock, forwarder.freshness
        self.tenants_in_force = TENANTS_CONTRACT in forwarder.settings.contracts

    @property
    def withheld_headers(self) -> frozenset[bytes]:
        """Client headers, in lower case, that are not forwarded.

        Where the tenants contract is in force, this holds even if the configuration here has no tenants: a newer one
        may have some."""
        return WITHHELD_HEADERS if self.tenants_in_force or self.view.tenant_keys.tenants else NO_HEADERS

    def can_check_keys(self, now: float) -> bool:
        """Whether requests that need a key can be accepted; true if none needs one."""
        return not self.view.tenant_keys.tenants or self.freshness.can_accept(now)

    def begin(self, exchange: Exchange, head: RequestHead) -> None:
        """Set a request's route, tenant and deadline; a request that can't be served is answered at once."""
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
        if not self._check_tenant(exchange, route, head):
            return
        error = self.forwarder.set_route(exchange, route, head.shard_key)
        time_left = route.timeout
        if head.deadline is not None:
            try:
                time_left = min(time_left, float(head.deadline) / 1000)
            except ValueError:
                error = error or "Deadline-Ms must be a number"
            if not time_left >= 0:
                error = error or "Deadline-Ms must be a number"
        if error:
            self.forwarder.counts["mistake"] += 1
            exchange.respond(400, error)
            return
        exchange.deadline = exchange.started_at + time_left
        exchange.timer = asyncio.get_running_loop().call_later(time_left, self._expire, exchange)

    def _expire(self, exchange: Exchange) -> None:
        """The deadline of a request has passed."""
        if exchange.stage is Stage.READING:
            self.forwarder.count_request(exchange, "refused: its body took too long")
        exchange.expire()

    def _check_tenant(self, exchange: Exchange, route: Route, head: RequestHead) -> bool:
        """Set a request's tenant and operation; False if it was refused because of its key or the lack of one."""
        check = check_key(route, self.view.tenant_keys, head.authorization or b"", self.freshness, self.clock())
        if check.status == UNAUTHORIZED:
            self.forwarder.counts["no key, or one that nobody holds"] += 1
            exchange.respond(UNAUTHORIZED, "a key of a tenant is needed")
            return False
        if check.status:
            self.forwarder.counts[KEYS_UNSURE] += 1
            exchange.keep_alive = False  # its client reconnects, to an edge that knows the keys
            exchange.respond(check.status, KEYS_UNSURE, jittered_retry_after(KEYS_RETRY_S, self.forwarder.rng.random()))
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
