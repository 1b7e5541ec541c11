"""Allowance for tenants' requests: tokens from this core's escrow, calls to the leader, and the leader's buckets.

One call is under way at a time; what comes within GATHER goes together in the next. A leader answers only while it is
proven, so that no two give out at once.
"""

from __future__ import annotations

import asyncio
from collections import Counter, deque

from sanic import HTTPResponse, Request

from knotwalk.control_plane.consensus_driver import ConsensusDriver
from knotwalk.control_plane.list_poller import ListPoller
from knotwalk.runtime.errors import PeerError
from knotwalk.runtime.http_client import HttpClient
from knotwalk.runtime.http_server import json_body, json_response
from knotwalk.runtime.logs import clock, log_info
from knotwalk.runtime.settings import Settings
from knotwalk.shared_state.buckets import Buckets
from knotwalk.shared_state.escrow import Escrow, Taken
from knotwalk.shared_state.limit import Limit, Sharing, limit_of
from knotwalk.shared_state.messages import Admission, AdmissionTold, AllowanceGrant, AllowanceWant

GATHER = 0.004  # seconds: asks that come together go together
PATIENCE = 0.3  # seconds for the leader's answer; one that comes later counts for nothing
LOOK = 1.0  # seconds between looks at what is due, at most
# Seconds after which a client may come back: over the limit, and where no leader could be asked.
OVER_LIMIT_PAUSE, UNAVAILABLE_PAUSE = 1.0, 0.2
TALLY = 10.0  # seconds between lines of the log that tell who was refused
TENANTS_NAMED = 50  # in the figures; further ones count together
OTHERS = "(others)"

TOLD = {
    Taken.GRANTED: AdmissionTold(Admission.RUN),
    Taken.UNLIMITED: AdmissionTold(Admission.RUN),
    Taken.OVER_LIMIT: AdmissionTold(Admission.OVER_LIMIT, OVER_LIMIT_PAUSE),
    Taken.WAIT: AdmissionTold(Admission.UNAVAILABLE, UNAVAILABLE_PAUSE),
}


class Limits:
    """The limits of the configuration in force here, each worked out when it is first asked for."""

    def __init__(self, settings: Settings, consensus: ConsensusDriver):
        bounds = settings.bounds
        cores = settings.tolerance.members
        self.sharing = Sharing(bounds.quota_window, bounds.quota_overage, bounds.quota_slack, cores)
        self.consensus = consensus
        self._order = -1
        self._found: dict[str, Limit | None] = {}

    def of(self, tenant: str) -> Limit | None:
        """A tenant's limit; None if it has none, or is not known."""
        state = self.consensus.state
        if state.order != self._order:
            self._order, self._found = state.order, {}
        if tenant not in self._found:
            known = state.configuration.tenants.get(tenant) if state.configuration is not None else None
            self._found[tenant] = limit_of(known.rate_per_s, known.burst_size, self.sharing) if known else None
        return self._found[tenant]


class Allowances:
    """A core machine's part in the limits of tenants, and the leader's while this machine leads."""

    def __init__(
        self, me: str, settings: Settings, consensus: ConsensusDriver, list_poller: ListPoller, caller: HttpClient
    ):
        self.me, self.consensus, self.list_poller, self.caller = me, consensus, list_poller, caller
        self.limits = Limits(settings, consensus)
        self.escrow = Escrow(self.limits.of)
        self.buckets: Buckets | None = None  # while this machine leads
        self.queues: dict[str, deque[asyncio.Future[Taken]]] = {}  # requests that wait, by tenant
        self.told: Counter[tuple[str, str]] = Counter()  # by how it ended, and whether the request waited for a call
        self.refused: Counter[str] = Counter()  # over the limit, by tenant
        self.calls: Counter[str] = Counter()  # to the leader, by how they ended
        self._stirred = asyncio.Event()
        self._tallied, self._before = clock(), Counter[str]()

    def role(self, leads: bool) -> None:
        """This machine leads from now on, or does no more."""
        self.buckets = Buckets(clock(), self.limits.of) if leads else None

    # --- requests

    async def take(self, tenant: str, patience: float) -> AdmissionTold:
        """Take a token for one request: RUN, OVER_LIMIT, or UNAVAILABLE after `patience` seconds without a leader.

        After RUN `spend` or `give_back` must be called, once: until then the token counts as held here."""
        now, due = clock(), self.escrow.due
        taken = self.escrow.take(now, tenant)
        how = "at once"
        if taken is Taken.WAIT:
            how = "waited"
            taken = await self._waited(tenant, patience)
        elif self.escrow.due < due:
            self._stirred.set()
        self.told[taken.value, how] += 1
        if taken is Taken.OVER_LIMIT:
            self._note_refused(tenant)
        elif taken is Taken.GRANTED:
            self.escrow.reserve(tenant)
        return TOLD[taken]

    def spend(self, tenant: str) -> bool:
        """A request that had taken a token is to run; whether it may, since tokens end."""
        return self.escrow.spend(clock(), tenant)

    def give_back(self, tenant: str) -> None:
        """A request that had taken a token does not run."""
        taken_back = self.escrow.give_back(clock(), tenant)
        self.told["given back", "kept" if taken_back else "dropped"] += 1

    async def _waited(self, tenant: str, patience: float) -> Taken:
        future: asyncio.Future[Taken] = asyncio.get_running_loop().create_future()
        self.queues.setdefault(tenant, deque()).append(future)
        self.escrow.wait(clock(), tenant)
        self._stirred.set()
        try:
            return await asyncio.wait_for(future, patience)
        except TimeoutError:
            return Taken.WAIT
        finally:
            self.escrow.waited(tenant)

    def _serve(self, now: float) -> None:
        """Let the requests that wait have what came, first come first served."""
        for tenant, queue in list(self.queues.items()):
            while queue:
                if queue[0].done():  # given up
                    queue.popleft()
                    continue
                taken = self.escrow.take_again(now, tenant)
                if taken is Taken.WAIT:
                    break
                queue.popleft().set_result(taken)
            if not queue:
                del self.queues[tenant]

    def _note_refused(self, tenant: str) -> None:
        named = tenant in self.refused or len(self.refused) < TENANTS_NAMED
        self.refused[tenant if named else OTHERS] += 1

    # --- calls to the leader

    async def keep_asking(self) -> None:
        """Ask the leader whenever something is due, until cancelled."""
        while True:
            wait = self.escrow.due - clock()
            if wait > 0:
                self._stirred.clear()
                try:
                    async with asyncio.timeout(min(wait, LOOK)):  # `wait_for` may swallow a cancellation
                        await self._stirred.wait()
                except TimeoutError:
                    pass
                self._tell_refused()
                continue
            await asyncio.sleep(GATHER)
            await self._ask()

    async def _ask(self) -> None:
        sent = clock()
        wants = self.escrow.wants(sent)
        if not wants:
            return
        grants = await self._answer_to(wants)
        now = clock()
        self.calls["answered" if grants is not None else "failed"] += 1
        if grants is not None:
            self.escrow.granted(now, sent, grants)
        self._serve(now)
        if self.queues:
            self.escrow.again(now, any(grant.granted > 0 for grant in grants or ()))

    async def _answer_to(self, wants: list[AllowanceWant]) -> list[AllowanceGrant] | None:
        """The leader's answer; None without one."""
        machine = self.consensus.machine
        if machine.role == "leader":
            return self.grant(self.me, wants)
        if not machine.leader:
            return None
        asked = {"core": self.me, "wants": [want.to_json() for want in wants]}
        url = f"http://{machine.leader}/allowances"
        try:
            told = await self.caller.json("POST", url, asked, PATIENCE, "allowances")
            return [AllowanceGrant.from_json(raw) for raw in told["grants"]]
        except (PeerError, ValueError, TypeError, KeyError):
            return None

    # --- the leader's side

    def grant(self, core: str, wants: list[AllowanceWant]) -> list[AllowanceGrant] | None:
        """What a core machine may use; None if this machine may not say."""
        proven = self.buckets is not None and self.list_poller.proven
        if not proven or core not in self.consensus.machine.members or self.consensus.state.configuration is None:
            return None
        return self.buckets.grant(clock(), core, wants)

    async def asked(self, request: Request) -> HTTPResponse:
        """A core machine asks for allowance."""
        raw = json_body(request)
        grants = self.grant(raw["core"], [AllowanceWant(*want) for want in raw["wants"]])
        if grants is None:
            return json_response({"error": "not the proven leader"}, 503)
        return json_response({"grants": [grant.to_json() for grant in grants]})

    # --- the log

    def _tell_refused(self) -> None:
        """A line each TALLY seconds of who was refused since the last, if anyone was."""
        now = clock()
        if now - self._tallied < TALLY:
            return
        counts = self.refused - self._before
        self._tallied, self._before = now, Counter(self.refused)
        if counts:
            log_info("over their limits", counts=dict(counts.most_common(5)), all=sum(counts.values()))
