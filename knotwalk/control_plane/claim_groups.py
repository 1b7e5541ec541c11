"""The groups of core machines that agree on who runs a keyed operation: one for each part of the operations."""

from __future__ import annotations

import asyncio
import functools
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from knotwalk.configuration.objects import Configuration
from knotwalk.control_plane.claim_group import Group, Home
from knotwalk.control_plane.claim_queue import Waiting
from knotwalk.control_plane.consensus_driver import Lost, NotLeader
from knotwalk.control_plane.message_packing import pack, unpack
from knotwalk.control_plane.peer_lanes import PeerLanes
from knotwalk.runtime.errors import PeerError
from knotwalk.runtime.logs import clock, log_warning
from knotwalk.shared_state.claim_packing import pack_claim, unpack_claim
from knotwalk.shared_state.claims import MARGIN, UNAVAILABLE, ClaimResult, Outcome
from knotwalk.shared_state.messages import PARTS, Claim, part_of

MESSAGES, CLAIMS = "/claim-groups", "/claims"  # paths of the peers' port
KEPT_WAIT = 0.02  # seconds that the answer to messages waits for what they brought to be kept
BACK = frozenset({"appended", "taken", "voted", "prevoted", "redirect", "gone"})  # messages that answer others
GATHER = (
    0.016  # seconds for which claims gather before they are proposed together: each proposal is a call to each peer
)
GATHER_ASKED = 0.008  # seconds for which they gather before they are asked of their leader
BATCH = 500  # claims of one entry
CALL_PATIENCE = 0.5  # seconds for a call that asks a leader
TAKEN_PATIENCE = 0.4  # seconds for a peer's claims: less than it waits
AGAIN = 0.03  # seconds before claims are asked again of whoever leads then


class ClaimGroups:
    """All groups of this machine: asks claims of their leaders, and carries the groups' messages."""

    def __init__(self, home: Home):
        self.caller, self.key_period = home.caller, home.settings.bounds.key_period
        self.lanes = PeerLanes(home.caller, MESSAGES, "claim groups", self._answered, pack)
        self.collecting: dict[str, list[dict]] = {}  # by peer: answers that go back with the one to its call
        self.kept = asyncio.Event()
        self.asking: set[str] = set()  # peers that a call with claims is under way to
        self.tasks: set[asyncio.Task] = set()
        self.pumping: asyncio.TimerHandle | None = None
        self.told: Counter[Outcome] = Counter()
        self.on_damage: Callable[[], None] = lambda: None
        self.groups = [Group(home, part, functools.partial(self._post, part), self.pump) for part in range(PARTS)]
        for group in self.groups:
            group.driver.on_kept = self.kept.set
            group.driver.on_damage = lambda: self.on_damage()

    def start(self) -> None:
        """Begin to write, and let the groups' machines see the time."""
        for group in self.groups:
            group.driver.start()

    def configured(self, configuration: Configuration) -> None:
        """Another configuration is in force: it says how long a run may take, and be sent again by its holder."""
        longest = max((route.timeout for route in configuration.routes.values() if route.keyed), default=0.0)
        for group in self.groups:
            group.hold = self.key_period + MARGIN + longest

    def reach(self, contacts: list[str]) -> None:
        """The seeds named by the settings file are others."""
        for group in self.groups:
            group.machine.contacts = contacts

    # --- claims -----------------------------------------------------------------------------------

    async def claim(self, claim: Claim, patience: float) -> ClaimResult:
        """Have an operation claimed. UNAVAILABLE after `patience` seconds: it may be granted yet, or not.

        Who is granted an operation must send its request within `claims.MARGIN` of this call, or not at all, and one
        that has released it is never granted it again."""
        result = await self._claimed(claim, patience)
        self.told[result.outcome] += 1
        return result

    async def _claimed(self, claim: Claim, patience: float) -> ClaimResult:
        waiting = Waiting(claim, asyncio.get_running_loop().create_future(), clock() + patience)
        self._wait(waiting)
        try:
            return await asyncio.wait_for(waiting.future, patience)
        except TimeoutError:
            return UNAVAILABLE

    def release(self, claim: Claim) -> None:
        """Have an operation given back that surely never ran: sent in the background until it is taken, or the claim
        has ended by itself. Its holder must neither ask for it again nor run it by an answer that comes yet."""
        if not claim.release:
            claim = replace(claim, release=True)
        until = clock() + self.key_period
        self._wait(Waiting(claim, asyncio.get_running_loop().create_future(), until))

    def _wait(self, waiting: Waiting) -> None:
        self.groups[part_of(waiting.claim.operation)].waiting.add(waiting)
        self.pump()

    def pump(self) -> None:
        """Set out with whatever waits: propose it where this machine leads, else ask the leader."""
        lost = False
        for group in self.groups:
            if not group.waiting:
                continue
            leader = group.machine.leader
            if group.leads:
                if not group.proposing:
                    group.proposing = True
                    self._spawn(self._propose(group))
            elif leader is None:
                lost = True
            elif leader not in self.asking:
                self.asking.add(leader)
                self._spawn(self._ask(leader))
        if lost:
            self._pump_later()

    def _pump_later(self) -> None:
        if self.pumping is None:
            self.pumping = asyncio.get_running_loop().call_later(AGAIN, self._pump_now)

    def _pump_now(self) -> None:
        self.pumping = None
        self.pump()

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _propose(self, group: Group) -> None:
        """Propose what waits, an entry at a time, as long as this machine leads."""
        try:
            while group.waiting and group.leads:
                await asyncio.sleep(GATHER)
                batch = group.waiting.take(clock(), BATCH)
                if not batch:
                    continue
                try:
                    results = await group.propose([one.claim for one in batch])
                except (NotLeader, Lost):
                    group.waiting.back(batch)
                    await asyncio.sleep(AGAIN)
                    continue
                self._settle(batch, results)
        finally:
            group.proposing = False
        self.pump()

    async def _ask(self, leader: str) -> None:
        """Ask a peer for all claims whose groups it leads; what stays open is asked again later."""
        await asyncio.sleep(GATHER_ASKED)
        batch = [
            one for group in self.groups if group.machine.leader == leader for one in group.waiting.take(clock(), BATCH)
        ]
        try:
            results = await self._asked(leader, batch) if batch else []
        finally:
            self.asking.discard(leader)
        self._settle(batch, results)
        self.pump()

    async def _asked(self, leader: str, batch: list[Waiting]) -> list[ClaimResult]:
        body = {"claims": [pack_claim(one.claim) for one in batch]}
        patience = min(CALL_PATIENCE, max(one.until for one in batch) - clock())
        try:
            answer = await self.caller.json("POST", f"http://{leader}{CLAIMS}", body, patience, "claims")
            return [ClaimResult.from_json(raw) for raw in answer["results"]]
        except (PeerError, KeyError, TypeError, ValueError):
            return [UNAVAILABLE] * len(batch)

    def _settle(self, batch: list[Waiting], results: list[ClaimResult]) -> None:
        """Tell who waits; what is not known yet waits on."""
        for one, result in zip(batch, results, strict=True):
            if result.outcome is not Outcome.UNAVAILABLE:
                if not one.future.done():
                    one.future.set_result(result)
            else:
                asyncio.get_running_loop().call_later(AGAIN, self._wait, one)

    async def taken(self, body: dict) -> dict:
        """Another core machine's claims, answered by this one where it leads; UNAVAILABLE for the rest."""
        claims = [unpack_claim(raw) for raw in body["claims"]]
        results = await asyncio.gather(*(self._taken(claim) for claim in claims))
        return {"results": [result.to_json() for result in results]}

    async def _taken(self, claim: Claim) -> ClaimResult:
        if not self.groups[part_of(claim.operation)].leads:
            return UNAVAILABLE
        return await self._claimed(claim, TAKEN_PATIENCE)

    # --- the groups' messages ---------------------------------------------------------------------

    def _post(self, part: int, address: str, message: dict) -> None:
        message = {**message, "group": part}
        back = self.collecting.get(address)
        if back is None or message["type"] not in BACK:
            self.lanes.post(address, message)
            return
        if message["type"] == "appended" and message["ok"]:  # a newer one says all that an older one does
            same = ("appended", part, message["to"])
            back[:] = [one for one in back if (one["type"], one["group"], one["to"]) != same]
        back.append(message)

    def _answered(self, messages: list) -> None:
        """Messages that came back with the answer to a call."""
        self._receive([unpack(message) for message in messages])

    def _receive(self, messages: list[dict]) -> None:
        now, touched = clock(), set()
        for message in messages:
            part = message.get("group", 0)
            if part < len(self.groups):
                self.groups[part].driver.machine.receive(now, message)
                touched.add(part)
        for part in touched:
            self.groups[part].driver.carry_out()

    async def exchange(self, packed: list) -> list:
        """A peer's messages. What answers them goes back with the answer, also what waits for the disk for a while."""
        messages = [unpack(message) for message in packed]
        origin = messages[0].get("at", "") if messages else ""
        back = self.collecting[origin] = []
        until = clock() + KEPT_WAIT
        try:
            self._receive(messages)
            while any(group.machine.is_saving for group in self.groups) and (left := until - clock()) > 0:
                self.kept.clear()
                try:
                    await asyncio.wait_for(self.kept.wait(), left)
                except TimeoutError:
                    break
        finally:
            if self.collecting.get(origin) is back:
                del self.collecting[origin]
        return [pack(message) for message in back]

    # --- the end ----------------------------------------------------------------------------------

    def leave(self, now: float) -> None:
        """Hand leadership over, and ask to be removed where a machine is one too many."""
        for group in self.groups:
            group.machine.leave(now)
            group.driver.carry_out()

    @property
    def may_end(self) -> bool:
        """Whether no group counts on this machine any more."""
        return all(group.machine.can_exit for group in self.groups)

    async def close(self) -> None:
        """End all work."""
        if self.pumping is not None:
            self.pumping.cancel()
        self.lanes.close()
        for task in list(self.tasks):
            task.cancel()
        for group in self.groups:
            await group.driver.close()
        if left := sum(len(group.waiting) for group in self.groups):
            log_warning("claims left", count=left)
