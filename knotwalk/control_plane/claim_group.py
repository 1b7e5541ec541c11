"""One group of core machines, which agrees on the claims of one partition of the operations."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from knotwalk.consensus.raft_types import RaftSettings, RoleChange
from knotwalk.consensus.store import Store
from knotwalk.control_plane.claim_queue import ClaimQueue
from knotwalk.control_plane.consensus_driver import ConsensusDriver, NotLeaderError, open_store
from knotwalk.runtime.http_client import HttpClient
from knotwalk.runtime.logs import clock
from knotwalk.runtime.settings import Settings
from knotwalk.shared_state.claims import HOLD_MARGIN_S, ClaimResult, ClaimTable, GroupClock, claims_command
from knotwalk.shared_state.messages import PARTITION_COUNT, Claim

KEYS_CONTRACT = "keys"  # the contract under which operations with an `Operation-Key` run once
CLAIMS_DISK_FRACTION = (
    0.25  # of a machine's disk, for all claim groups together; the configuration's group has the rest
)
DEFAULT_DISK_MB = 64.0  # if the settings don't say


def group_disk_mb(settings: Settings) -> float:
    """Megabytes of disk for one claim group."""
    return (settings.machine.disk_mb or DEFAULT_DISK_MB) * CLAIMS_DISK_FRACTION / PARTITION_COUNT


def configuration_disk_mb(settings: Settings) -> float:
    """Megabytes of disk for the configuration's group: the whole disk if operations aren't claimed."""
    disk_mb = settings.machine.disk_mb or DEFAULT_DISK_MB
    return disk_mb * (1 - CLAIMS_DISK_FRACTION) if KEYS_CONTRACT in settings.contracts else disk_mb


@dataclass(frozen=True)
class GroupContext:
    """What all groups of a machine share: settings, peer address, founders (id -> address), HTTP client and seed.

    `process_started_at` is a time of the monotonic clock; `store` creates a store of that many megabytes."""

    settings: Settings
    address: str
    founders: dict[str, str]
    http_client: HttpClient
    seed: int
    process_started_at: float
    store: Callable[[float], Store] = Store


class ClaimGroup:
    """This machine's member of one partition's group. `send` sends a message to a peer; `on_role` is called when the
    role or the leader changes."""

    def __init__(
        self, context: GroupContext, partition: int, send: Callable[[str, dict], None], on_role: Callable[[], None]
    ):
        settings, store = context.settings, context.store(group_disk_mb(context.settings))
        name = f"claims-{partition}"
        saved = open_store(
            store, str(Path(settings.data_dir or ".") / name), settings.initial_boot, context.address, context.founders
        )
        raft_settings = RaftSettings(target_members=settings.tolerance.members, sends_commits_at_once=False)
        self.driver = ConsensusDriver(
            store,
            saved,
            context.http_client,
            raft_settings,
            context.seed + partition,
            context.process_started_at,
            ClaimTable,
            send,
            name,
        )
        self.partition, self.on_role = partition, on_role
        self.hold_s = settings.bounds.key_period + HOLD_MARGIN_S
        self.machine = self.driver.machine
        self.machine.address = context.address
        self.machine.contacts = [address for address in context.founders.values() if address != context.address]
        self.clock = GroupClock(clock())
        self.pending_claims = ClaimQueue()
        self.proposing = False
        self.driver.on_change = lambda index, changes: self.clock.applied(clock())
        self.driver.on_restore = lambda: self.clock.restart(clock())
        self.driver.on_role = self._on_role

    @property
    def is_leader(self) -> bool:
        """Whether this machine leads the group, as far as it knows."""
        return self.machine.role == "leader"

    def _on_role(self, role: RoleChange) -> None:
        self.clock.restart(clock())
        asyncio.get_running_loop().call_soon(self.on_role)

    async def propose(self, batch: list[Claim]) -> list[ClaimResult]:
        """Have a batch of claims decided, as one log entry; only one at a time, so that the time of each entry counts
        from the one before.

        NotLeaderError if it can't be proposed here, OutcomeUnknownError if it may or may not have been committed."""
        machine = self.machine
        if not machine.is_commit_current or machine.applied < machine.log.last:
            raise NotLeaderError(None)  # members are changing, or an earlier leader's entries aren't applied yet
        now = clock()
        entry = claims_command(self.clock.time(self.driver.state, now), self.hold_s, batch)
        self.clock.proposed(now)
        return await self.driver.propose(entry, None)
