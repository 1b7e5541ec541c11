"""Allowances of tenants at a core machine: tokens from its escrow, calls to the leader, and the leader's buckets.

One call to the leader is in progress at a time; requests that come within BATCH_DELAY_S share the next one. A leader
grants only while a majority confirms it, so that no two leaders grant at the same time.
"""

from __future__ import annotations

import asyncio
from collections import Counter, deque

from sanic import HTTPResponse, Request

from knotwalk.control_plane.consensus_driver import ConsensusDriver
from knotwalk.control_plane.list_poller import ListPoller
from knotwalk.runtime.decision_guard import DecisionGuard
from knotwalk.runtime.errors import PeerError
from knotwalk.runtime.http_client import HttpClient
from knotwalk.runtime.http_server import json_body, json_response
from knotwalk.runtime.logs import clock, log_info
from knotwalk.runtime.settings import Settings
from knotwalk.shared_state.buckets import Buckets
from knotwalk.shared_state.escrow import Escrow, TakeResult
from knotwalk.shared_state.limit import Limit, QuotaBounds, limit_of
from knotwalk.shared_state.messages import Admission, AdmissionResponse, AllowanceGrant, AllowanceRequest

BATCH_DELAY_S = 0.004  # for requests that come together, so that they share a call
LEADER_CALL_TIMEOUT_S = 0.3  # an answer that comes later is not used
MAX_IDLE_WAIT_S = 1.0  # between checks whether a call is due, at most
# When a client may come back: over the limit, and if no leader could be asked.
OVER_LIMIT_RETRY_AFTER_S, UNAVAILABLE_RETRY_AFTER_S = 1.0, 0.2
REFUSAL_LOG_INTERVAL_S = 10.0  # between log lines that list the tenants refused
MAX_NAMED_TENANTS = 50  # in the metrics; further ones are counted together
OTHER_TENANTS = "(others)"

RESPONSES = {
    TakeResult.GRANTED: AdmissionResponse(Admission.RUN),
    TakeResult.UNLIMITED: AdmissionResponse(Admission.RUN),
    TakeResult.OVER_LIMIT: AdmissionResponse(Admission.OVER_LIMIT, OVER_LIMIT_RETRY_AFTER_S),
    TakeResult.WAIT: AdmissionResponse(Admission.UNAVAILABLE, UNAVAILABLE_RETRY_AFTER_S),
}


class TenantLimits:
    """The limits of the configuration in force here, each computed on first use."""

    def __init__(self, settings: Settings, consensus: ConsensusDriver):
        self.settings, self.consensus = settings, consensus
        self._computed_for = (-1, 0)  # index of the configuration, number of cores
        self._limits: dict[str, Limit | None] = {}

    def quota_bounds(self, cores: int) -> QuotaBounds:
        """The bounds of all limits, enforced among so many core machines."""
        bounds = self.settings.bounds
        return QuotaBounds(bounds.quota_window, bounds.quota_overage, bounds.quota_slack, cores)

    def core_count(self) -> int:
        """Among how many core machines tokens are divided: the members, or as many as the tolerance asks for.

        There may be more members than that: a deployment may have three machines and a tolerance of none."""
        return max(self.settings.tolerance.members, len(self.consensus.machine.members))

    def of(self, tenant: str) -> Limit | None:
        """The limit of a tenant; None if it has none, or is not known."""
        state, cores = self.consensus.state, self.core_count()
        if (state.configuration_index, cores) != self._computed_for:
            self._computed_for, self._limits = (state.configuration_index, cores), {}
        if tenant not in self._limits:
            known = state.configuration.tenants.get(tenant) if state.configuration is not None else None
            bounds = self.quota_bounds(cores)
            self._limits[tenant] = limit_of(known.rate_per_s, known.burst_size, bounds) if known else None
        return self._limits[tenant]


class Allowances:
    """A core machine's tokens of tenants' limits, and, while this machine leads, the buckets that they come from."""

    def __init__(
        self,
        me: str,
        settings: Settings,
        consensus: ConsensusDriver,
        list_poller: ListPoller,
        http_client: HttpClient,
        guard: DecisionGuard | None = None,
    ):
        self.guard = guard or DecisionGuard()
        self.me, self.consensus, self.list_poller, self.http_client = me, consensus, list_poller, http_client
        self.limits = TenantLimits(settings, consensus)
        self.escrow = Escrow(self.limits.of)
        self.buckets: Buckets | None = None  # while this machine leads
        self.queues: dict[str, deque[asyncio.Future[TakeResult]]] = {}  # requests that wait, by tenant
        # By outcome, and by whether the request waited for a call.
        self.outcome_counts: Counter[tuple[str, str]] = Counter()
        self.refusal_counts: Counter[str] = Counter()  # requests over the limit, by tenant
        self.call_counts: Counter[str] = Counter()  # calls to the leader, by outcome
        self._wake_event = asyncio.Event()
        self._refusals_logged_at, self._refusals_logged = clock(), Counter[str]()

    def on_leadership(self, leads: bool) -> None:
        """This machine became the leader, or ceased to be it."""
        self.buckets = Buckets(clock(), self.limits.of) if leads else None

    # --- requests

    async def take(self, tenant: str, timeout_s: float) -> AdmissionResponse:
        """Take a token for one request: RUN, OVER_LIMIT, or UNAVAILABLE after `timeout_s` without a leader.

        After RUN exactly one call of `spend` or `give_back` must follow: until then the token counts as held here."""
        now, due = clock(), self.escrow.due_at
        taken = self.escrow.take(now, tenant)
        timing = "at once"
        if taken is TakeResult.WAIT:
            timing = "waited"
            taken = await self._wait_for_token(tenant, timeout_s)
        elif self.escrow.due_at < due:
            self._wake_event.set()
        self.outcome_counts[taken.value, timing] += 1
        if taken is TakeResult.OVER_LIMIT:
            self._count_refusal(tenant)
        elif taken is TakeResult.GRANTED:
            self.escrow.reserve(tenant)
        return RESPONSES[taken]

    def spend(self, tenant: str) -> bool:
        """Use up the token of a request that is to run. Returns whether it may run, since tokens expire."""
        return self.escrow.spend(clock(), tenant)

    def give_back(self, tenant: str) -> None:
        """Return the token of a request that doesn't run."""
        is_kept = self.escrow.give_back(clock(), tenant)
        self.outcome_counts["given back", "kept" if is_kept else "dropped"] += 1

    async def _wait_for_token(self, tenant: str, timeout_s: float) -> TakeResult:
        future: asyncio.Future[TakeResult] = asyncio.get_running_loop().create_future()
        self.queues.setdefault(tenant, deque()).append(future)
        self.escrow.start_waiting(clock(), tenant)
        self._wake_event.set()
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return TakeResult.WAIT
        finally:
            self.escrow.stop_waiting(tenant)

    def _serve_waiting(self, now: float) -> None:
        """Answer the requests that wait, in order, with the tokens that have come."""
        for tenant, queue in list(self.queues.items()):
            while queue:
                if queue[0].done():  # timed out
                    queue.popleft()
                    continue
                taken = self.escrow.retry_take(now, tenant)
                if taken is TakeResult.WAIT:
                    break
                queue.popleft().set_result(taken)
            if not queue:
                del self.queues[tenant]

    def _count_refusal(self, tenant: str) -> None:
        named = tenant in self.refusal_counts or len(self.refusal_counts) < MAX_NAMED_TENANTS
        self.refusal_counts[tenant if named else OTHER_TENANTS] += 1

    # --- calls to the leader

    async def run_refills(self) -> None:
        """Call the leader whenever a call is due, until cancelled."""
        while True:
            wait = self.escrow.due_at - clock()
            if wait > 0:
                self._wake_event.clear()
                try:
                    async with asyncio.timeout(min(wait, MAX_IDLE_WAIT_S)):
                        await self._wake_event.wait()
                except TimeoutError:
                    pass
                self._log_refusals()
                continue
            await asyncio.sleep(BATCH_DELAY_S)
            with self.guard.protect("allowances", tenants=len(self.escrow.holdings)):
                await self._refill()

    async def _refill(self) -> None:
        sent = clock()
        requests = self.escrow.pending_requests(sent)
        if not requests:
            return
        grants = await self._request_grants(requests)
        now = clock()
        self.call_counts["answered" if grants is not None else "failed"] += 1
        if grants is not None:
            self.escrow.apply_grants(now, sent, grants)
        self._serve_waiting(now)
        if self.queues:
            self.escrow.schedule_retry(now, any(grant.granted > 0 for grant in grants or ()))

    async def _request_grants(self, requests: list[AllowanceRequest]) -> list[AllowanceGrant] | None:
        """Send requests to the leader; None if there is no answer."""
        machine = self.consensus.machine
        if machine.role == "leader":
            return self.grant(self.me, requests)
        if not machine.leader:
            return None
        payload = {"core": self.me, "wants": [request.to_json() for request in requests]}
        url = f"http://{machine.leader}/allowances"
        try:
            response = await self.http_client.json("POST", url, payload, LEADER_CALL_TIMEOUT_S, "allowances")
            return [AllowanceGrant.from_json(raw) for raw in response["grants"]]
        except (PeerError, ValueError, TypeError, KeyError):
            return None

    # --- as the leader

    def grant(self, core: str, requests: list[AllowanceRequest]) -> list[AllowanceGrant] | None:
        """Grant tokens to a core machine; None if this machine may not, since it isn't the confirmed leader."""
        proven = self.buckets is not None and self.list_poller.is_proven
        if not proven or core not in self.consensus.machine.members or self.consensus.state.configuration is None:
            return None
        return self.buckets.grant(clock(), core, requests)

    async def handle_request(self, request: Request) -> HTTPResponse:
        """Answer a core machine's request for tokens."""
        payload = json_body(request)
        grants = self.grant(payload["core"], [AllowanceRequest(*wanted) for wanted in payload["wants"]])
        if grants is None:
            return json_response({"error": "not the proven leader"}, 503)
        return json_response({"grants": [grant.to_json() for grant in grants]})

    # --- logging

    def _log_refusals(self) -> None:
        """Every REFUSAL_LOG_INTERVAL_S, log the tenants that were refused since the last time, if any."""
        now = clock()
        if now - self._refusals_logged_at < REFUSAL_LOG_INTERVAL_S:
            return
        counts = self.refusal_counts - self._refusals_logged
        self._refusals_logged_at, self._refusals_logged = now, Counter(self.refusal_counts)
        if counts:
            log_info("over their limits", counts=dict(counts.most_common(5)), all=sum(counts.values()))
