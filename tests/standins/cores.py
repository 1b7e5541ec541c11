"""In-memory cores: admissions over one shared claim table. Tests can delay, lose or fail the calls of edges."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from collections.abc import Callable
from urllib.parse import urlsplit

from knotwalk.control_plane.admissions import Admissions
from knotwalk.runtime.errors import PeerError
from knotwalk.shared_state.answers import Answers
from knotwalk.shared_state.claims import UNAVAILABLE, ClaimResult, ClaimTable, claims_command
from knotwalk.shared_state.messages import Admission, AdmissionResponse, Claim, EdgeBatch

from .timing import bounded


class Group:
    """Stand-in for consensus: one claim table for all cores, to which each claim is applied after `pause` seconds."""

    def __init__(self, clock: Callable[[], float], hold: float):
        self.clock, self.hold, self.table = clock, hold, ClaimTable()
        self.down = False
        self.pause = 0.0
        self.claiming: list[asyncio.Task] = []
        self.releasing: list[asyncio.Task] = []

    async def claim(self, claim: Claim, timeout_s: float) -> ClaimResult:
        if self.down:
            await asyncio.sleep(min(timeout_s, 0.005))
            return UNAVAILABLE
        task = asyncio.ensure_future(self.commit(claim))
        self.claiming.append(task)
        try:
            return await bounded(asyncio.shield(task), timeout_s)
        except TimeoutError:
            return UNAVAILABLE  # the claim is still applied later

    def release(self, claim: Claim) -> None:
        self.releasing.append(asyncio.ensure_future(self.commit(claim)))

    async def commit(self, claim: Claim) -> ClaimResult:
        await asyncio.sleep(self.pause)
        entry = json.loads(json.dumps(claims_command(self.clock(), self.hold, [claim])))
        return self.table.apply(self.table.applied + 1, entry)[0][0]


class Limits:
    """Stand-in for quotas: requests left by tenant; tenants without an entry are unlimited."""

    def __init__(self) -> None:
        self.left: dict[str, int] = {}
        self.spent: Counter[str] = Counter()
        self.pause = 0.0

    async def take(self, tenant: str, timeout_s: float) -> AdmissionResponse:
        if self.pause:
            await asyncio.sleep(self.pause)
        left = self.left.get(tenant)
        if left is None:
            return AdmissionResponse(Admission.RUN)
        if not left:
            return AdmissionResponse(Admission.OVER_LIMIT, 0.2)
        self.left[tenant] = left - 1
        return AdmissionResponse(Admission.RUN)

    def spend(self, tenant: str) -> bool:
        self.spent[tenant] += 1
        return True

    def give_back(self, tenant: str) -> None:
        if tenant in self.left:
            self.left[tenant] += 1


class Core:
    """One core; `restart` drops its state in memory."""

    def __init__(self, cores: Cores, address: str):
        self.cores, self.address = cores, address
        self.dead = False
        self.lose_answers = 0  # number of further calls that are processed, but whose responses are lost
        self.pause = 0.0
        self.calls = 0
        self.restart()

    def restart(self) -> None:
        cores = self.cores
        self.answers = Answers(cores.max_bytes, cores.window)
        self.answers.max_run_s = cores.max_run_s
        self.admissions = Admissions(self.address, cores.limits, cores.group, self.answers, cores, cores.clock)
        self.dead = False

    async def take(self, path: str, raw):
        self.calls += 1
        for incarnation in self.cores.edge_incarnations:  # as when each edge polls its cluster view once a second
            self.admissions.note_incarnation(incarnation)
        if path == "/answers":
            return self.admissions.answers_of(raw)
        responses = await self.admissions.admit(EdgeBatch.from_json(raw))
        return {"told": [response.to_json() for response in responses]}


class Cores:
    """All cores, and the HTTP client of edges that calls them: `json` replaces that of the real client."""

    def __init__(self, clock: Callable[[], float], count: int = 2, window: float = 60.0, most: int = 1 << 20):
        self.clock, self.window, self.max_bytes, self.max_run_s = clock, window, most, 15.0
        self.edge_incarnations: set[str] = set()  # incarnations of running edges
        self.group, self.limits = Group(clock, window + 10), Limits()
        self.all = {f"10.0.0.{index}:1": Core(self, f"10.0.0.{index}:1") for index in range(count)}
        self.bytes: Counter[str] = Counter()

    def __getitem__(self, index: int) -> Core:
        return list(self.all.values())[index]

    async def json(self, method: str, url: str, body=None, timeout_s: float = 1.0, step: str = "call"):
        parts = urlsplit(url)
        core = self.all[parts.netloc]
        if core.dead:
            await asyncio.sleep(0.001)
            raise PeerError(step, url, "refused")
        raw = json.loads(json.dumps(body))
        await asyncio.sleep(core.pause)
        response = json.loads(json.dumps(await core.take(parts.path, raw)))
        if core.lose_answers:
            core.lose_answers -= 1
            raise PeerError(step, url, "the connection ended before the answer")
        return response

    def close_others(self, address: str) -> None:
        """Does nothing: there are no connections."""

    async def close(self) -> None:
        """Does nothing: there are no connections."""
