"""Core machines in memory: their admissions over one agreed table, by calls that a test delays, loses or cuts."""

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


class Group:
    """Agreement at once: one table for all cores."""

    def __init__(self, clock: Callable[[], float], hold: float):
        self.clock, self.hold, self.table = clock, hold, ClaimTable()
        self.down = False
        self.pause = 0.0
        self.claiming: list[asyncio.Task] = []
        self.releasing: list[asyncio.Task] = []

    async def claim(self, claim: Claim, patience: float) -> ClaimResult:
        if self.down:
            await asyncio.sleep(min(patience, 0.005))
            return UNAVAILABLE
        agreed = asyncio.ensure_future(self.agreed(claim))
        self.claiming.append(agreed)
        try:
            return await asyncio.wait_for(asyncio.shield(agreed), patience)
        except TimeoutError:
            return UNAVAILABLE  # it comes yet

    def release(self, claim: Claim) -> None:
        self.releasing.append(asyncio.ensure_future(self.agreed(claim)))

    async def agreed(self, claim: Claim) -> ClaimResult:
        await asyncio.sleep(self.pause)
        entry = json.loads(json.dumps(claims_command(self.clock(), self.hold, [claim])))
        return self.table.apply(self.table.applied + 1, entry)[0][0]


class Limits:
    """Allowance of tenants: requests left by name, without an end for those that are not named."""

    def __init__(self) -> None:
        self.left: dict[str, int] = {}
        self.spent: Counter[str] = Counter()
        self.pause = 0.0

    async def take(self, tenant: str, patience: float) -> AdmissionResponse:
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
    """One core; `restart` loses its memory."""

    def __init__(self, cores: Cores, at: str):
        self.cores, self.at = cores, at
        self.dead = False
        self.lose_answers = 0  # so many calls are taken, and their answers lost
        self.pause = 0.0
        self.calls = 0
        self.restart()

    def restart(self) -> None:
        cores = self.cores
        self.answers = Answers(cores.most, cores.window)
        self.answers.max_run_s = cores.longest
        self.admissions = Admissions(self.at, cores.limits, cores.group, self.answers, cores, cores.clock)
        self.dead = False

    async def take(self, path: str, raw):
        self.calls += 1
        for life in self.cores.living:  # each edge calls for its cluster view once a second
            self.admissions.note_incarnation(life)
        if path == "/answers":
            return self.admissions.answers_of(raw)
        told = await self.admissions.admit(EdgeBatch.from_json(raw))
        return {"told": [one.to_json() for one in told]}


class Cores:
    """All of them, and the callers that reach them: `json` is that of `edge.caller.Caller`."""

    def __init__(self, clock: Callable[[], float], count: int = 2, window: float = 60.0, most: int = 1 << 20):
        self.clock, self.window, self.most, self.longest = clock, window, most, 15.0
        self.living: set[str] = set()  # lives of edges
        self.group, self.limits = Group(clock, window + 10), Limits()
        self.all = {f"10.0.0.{at}:1": Core(self, f"10.0.0.{at}:1") for at in range(count)}
        self.bytes: Counter[str] = Counter()

    def __getitem__(self, at: int) -> Core:
        return list(self.all.values())[at]

    async def json(self, method: str, url: str, body=None, patience: float = 1.0, step: str = "call"):
        parts = urlsplit(url)
        core = self.all[parts.netloc]
        if core.dead:
            await asyncio.sleep(0.001)
            raise PeerError(step, url, "refused")
        raw = json.loads(json.dumps(body))
        await asyncio.sleep(core.pause)
        told = json.loads(json.dumps(await core.take(parts.path, raw)))
        if core.lose_answers:
            core.lose_answers -= 1
            raise PeerError(step, url, "the connection ended before the answer")
        return told

    def close_others(self, address: str) -> None:
        """As a caller's."""

    async def close(self) -> None:
        """As a caller's."""
