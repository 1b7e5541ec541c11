"""The groups of core machines that agree on claims of operations: one for each partition of the operations."""

from __future__ import annotations

import asyncio
import functools
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from knotwalk.configuration.objects import Configuration
from knotwalk.control_plane.claim_group import ClaimGroup, GroupContext
from knotwalk.control_plane.claim_queue import PendingClaim
from knotwalk.control_plane.consensus_driver import NotLeaderError, OutcomeUnknownError
from knotwalk.control_plane.message_packing import pack, unpack
from knotwalk.control_plane.peer_lanes import PeerLanes
from knotwalk.runtime.errors import PeerError
from knotwalk.runtime.logs import clock, log_warning
from knotwalk.shared_state.claim_packing import pack_claim, unpack_claim
from knotwalk.shared_state.claims import HOLD_MARGIN_S, UNAVAILABLE, ClaimResult, Outcome
from knotwalk.shared_state.messages import PARTITION_COUNT, Claim, partition_of

MESSAGES_PATH, CLAIMS_PATH = "/claim-groups", "/claims"  # on the peers' port
PERSIST_WAIT_S = 0.02  # how long the answer to messages waits until their entries are on disk
REPLY_TYPES = frozenset({"appended", "taken", "voted", "prevoted", "redirect", "gone"})  # messages that answer others
# How long claims are collected before they are proposed together, since each proposal is a call to each peer.
PROPOSAL_BATCH_DELAY_S = 0.016
REQUEST_BATCH_DELAY_S = 0.008  # how long claims are collected before they are sent to their leader
MAX_BATCH_CLAIMS = 500  # in one log entry
LEADER_CALL_TIMEOUT_S = 0.5  # for a call that sends claims to a leader
PEER_CLAIM_TIMEOUT_S = 0.4  # for claims that a peer sent: less than the peer waits
RETRY_DELAY_S = 0.03  # before claims are sent again, to the leader known by then


class ClaimGroups:
    """All claim groups of this machine: has claims decided by the groups' leaders, and carries the groups' messages."""

    def __init__(self, context: GroupContext):
        self.http_client, self.key_period = context.http_client, context.settings.bounds.key_period
        self.lanes = PeerLanes(context.http_client, MESSAGES_PATH, "claim groups", self._on_replies, pack)
        self.reply_buffers: dict[str, list[dict]] = {}  # by peer: messages that go back with the answer to its call
        self.persisted = asyncio.Event()
        self.calling: set[str] = set()  # leaders that a call with claims is in progress to
        self.tasks: set[asyncio.Task] = set()
        self.dispatch_timer: asyncio.TimerHandle | None = None
        self.outcome_counts: Counter[Outcome] = Counter()
        self.on_damage: Callable[[], None] = lambda: None
        self.groups = [
            ClaimGroup(context, partition, functools.partial(self._send, partition), self.dispatch)
            for partition in range(PARTITION_COUNT)
        ]
        for group in self.groups:
            group.driver.on_persisted = self.persisted.set
            group.driver.on_damage = lambda: self.on_damage()

    def start(self) -> None:
        """Start the groups' drivers."""
        for group in self.groups:
            group.driver.start()

    def on_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration that came into force: its routes' timeouts limit how long a run may take, and for how
        long its holder may send it again."""
        longest_run_s = max((route.timeout for route in configuration.routes.values() if route.keyed), default=0.0)
        for group in self.groups:
            group.hold_s = self.key_period + HOLD_MARGIN_S + longest_run_s

    def set_contacts(self, contacts: list[str]) -> None:
        """Set the addresses of seeds, after the settings file changed."""
        for group in self.groups:
            group.machine.contacts = contacts

    # --- claims -----------------------------------------------------------------------------------

    async def claim(self, claim: Claim, timeout_s: float) -> ClaimResult:
        """Claim an operation. UNAVAILABLE after `timeout_s`: the claim may still be granted, or not.

        A holder that is granted an operation must send its request within `claims.HOLD_MARGIN_S` of this call, or not
        at all. One that has released the operation is never granted it again."""
        result = await self._await_claim(claim, timeout_s)
        self.outcome_counts[result.outcome] += 1
        return result

    async def _await_claim(self, claim: Claim, timeout_s: float) -> ClaimResult:
        pending = PendingClaim(claim, asyncio.get_running_loop().create_future(), clock() + timeout_s)
        self._enqueue(pending)
        try:
            async with asyncio.timeout(timeout_s):
                return await pending.future
        except TimeoutError:
            return UNAVAILABLE

    def release(self, claim: Claim) -> None:
        """Release an operation that was not run: sent in the background until it is committed, or until the claim has
        expired. Its holder must not claim the operation again, nor run it because of a result that arrives later."""
        if not claim.release:
            claim = replace(claim, release=True)
        deadline = clock() + self.key_period
        self._enqueue(PendingClaim(claim, asyncio.get_running_loop().create_future(), deadline))

    def _enqueue(self, pending: PendingClaim) -> None:
        self.groups[partition_of(pending.claim.operation)].pending_claims.add(pending)
        self.dispatch()

    def dispatch(self) -> None:
        """Start work on all pending claims: propose them if this machine leads their group, else send them to the
        leader."""
        no_leader = False
        for group in self.groups:
            if not group.pending_claims:
                continue
            leader = group.machine.leader
            if group.is_leader:
                if not group.proposing:
                    group.proposing = True
                    self._spawn(self._propose_pending(group))
            elif leader is None:
                no_leader = True
            elif leader not in self.calling:
                self.calling.add(leader)
                self._spawn(self._request_from_leader(leader))
        if no_leader:
            self._schedule_dispatch()

    def _schedule_dispatch(self) -> None:
        if self.dispatch_timer is None:
            self.dispatch_timer = asyncio.get_running_loop().call_later(RETRY_DELAY_S, self._run_scheduled_dispatch)

    def _run_scheduled_dispatch(self) -> None:
        self.dispatch_timer = None
        self.dispatch()

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _propose_pending(self, group: ClaimGroup) -> None:
        """Propose pending claims, one entry at a time, as long as this machine leads."""
        try:
            while group.pending_claims and group.is_leader:
                await asyncio.sleep(PROPOSAL_BATCH_DELAY_S)
                batch = group.pending_claims.take(clock(), MAX_BATCH_CLAIMS)
                if not batch:
                    continue
                try:
                    results = await group.propose([pending.claim for pending in batch])
                except (NotLeaderError, OutcomeUnknownError):
                    group.pending_claims.requeue(batch)
                    await asyncio.sleep(RETRY_DELAY_S)
                    continue
                self._resolve(batch, results)
        finally:
            group.proposing = False
        self.dispatch()

    async def _request_from_leader(self, leader: str) -> None:
        """Send a peer all pending claims of the groups that it leads; undecided ones are sent again later."""
        await asyncio.sleep(REQUEST_BATCH_DELAY_S)
        batch = [
            pending
            for group in self.groups
            if group.machine.leader == leader
            for pending in group.pending_claims.take(clock(), MAX_BATCH_CLAIMS)
        ]
        try:
            results = await self._call_leader(leader, batch) if batch else []
        finally:
            self.calling.discard(leader)
        self._resolve(batch, results)
        self.dispatch()

    async def _call_leader(self, leader: str, batch: list[PendingClaim]) -> list[ClaimResult]:
        payload = {"claims": [pack_claim(pending.claim) for pending in batch]}
        timeout_s = min(LEADER_CALL_TIMEOUT_S, max(pending.deadline for pending in batch) - clock())
        try:
            response = await self.http_client.json(
                "POST", f"http://{leader}{CLAIMS_PATH}", payload, timeout_s, "claims"
            )
            return [ClaimResult.from_json(raw) for raw in response["results"]]
        except (PeerError, KeyError, TypeError, ValueError):
            return [UNAVAILABLE] * len(batch)

    def _resolve(self, batch: list[PendingClaim], results: list[ClaimResult]) -> None:
        """Deliver results; claims without an outcome are queued again."""
        for pending, result in zip(batch, results, strict=True):
            if result.outcome is not Outcome.UNAVAILABLE:
                if not pending.future.done():
                    pending.future.set_result(result)
            else:
                asyncio.get_running_loop().call_later(RETRY_DELAY_S, self._enqueue, pending)

    async def handle_claims(self, payload: dict) -> dict:
        """Answer the claims of another core machine, UNAVAILABLE for groups that this machine doesn't lead."""
        claims = [unpack_claim(raw) for raw in payload["claims"]]
        results = await asyncio.gather(*(self._handle_claim(claim) for claim in claims))
        return {"results": [result.to_json() for result in results]}

    async def _handle_claim(self, claim: Claim) -> ClaimResult:
        if not self.groups[partition_of(claim.operation)].is_leader:
            return UNAVAILABLE
        return await self._await_claim(claim, PEER_CLAIM_TIMEOUT_S)

    # --- the groups' messages ---------------------------------------------------------------------

    def _send(self, partition: int, address: str, message: dict) -> None:
        message = {**message, "group": partition}
        replies = self.reply_buffers.get(address)
        if replies is None or message["type"] not in REPLY_TYPES:
            self.lanes.send(address, message)
            return
        if message["type"] == "appended" and message["ok"]:  # supersedes an earlier one
            same = ("appended", partition, message["to"])
            replies[:] = [reply for reply in replies if (reply["type"], reply["group"], reply["to"]) != same]
        replies.append(message)

    def _on_replies(self, messages: list) -> None:
        """Handle messages that a peer returned with its answer to a call."""
        self._receive([unpack(message) for message in messages])

    def _receive(self, messages: list[dict]) -> None:
        now, touched = clock(), set()
        for message in messages:
            partition = message.get("group", 0)
            if partition < len(self.groups):
                self.groups[partition].driver.machine.receive(now, message)
                touched.add(partition)
        for partition in touched:
            self.groups[partition].driver.perform_actions()

    async def exchange(self, packed: list) -> list:
        """Handle a peer's messages; returns the replies, including those that are ready once the disk has written."""
        messages = [unpack(message) for message in packed]
        origin = messages[0].get("at", "") if messages else ""
        replies = self.reply_buffers[origin] = []
        deadline = clock() + PERSIST_WAIT_S
        try:
            self._receive(messages)
            while any(group.machine.is_saving for group in self.groups) and (left := deadline - clock()) > 0:
                self.persisted.clear()
                try:
                    async with asyncio.timeout(left):
                        await self.persisted.wait()
                except TimeoutError:
                    break
        finally:
            if self.reply_buffers.get(origin) is replies:
                del self.reply_buffers[origin]
        return [pack(message) for message in replies]

    # --- end --------------------------------------------------------------------------------------

    def leave(self, now: float) -> None:
        """Hand leadership over, and ask to be removed if the group has one member too many."""
        for group in self.groups:
            group.machine.leave(now)
            group.driver.perform_actions()

    @property
    def can_exit(self) -> bool:
        """Whether no group counts on this machine any more."""
        return all(group.machine.can_exit for group in self.groups)

    async def close(self) -> None:
        """Stop all tasks and close the groups."""
        if self.dispatch_timer is not None:
            self.dispatch_timer.cancel()
        self.lanes.close()
        for task in list(self.tasks):
            task.cancel()
        for group in self.groups:
            await group.driver.close()
        if left := sum(len(group.pending_claims) for group in self.groups):
            log_warning("pending claims dropped at shutdown", count=left)
