"""One group of core machines that agrees on the claims of one part of the operations."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from knotwalk.consensus.raft_types import RaftSettings, RoleChange
from knotwalk.consensus.store import Store
from knotwalk.control_plane.claim_queue import ClaimQueue
from knotwalk.control_plane.consensus_driver import ConsensusDriver, NotLeader, opened
from knotwalk.runtime.call import Caller
from knotwalk.runtime.logs import clock
from knotwalk.runtime.settings import Settings
from knotwalk.shared_state.claims import MARGIN, ClaimResult, ClaimTable, GroupClock, command
from knotwalk.shared_state.messages import PARTS, Claim

CONTRACT = "keys"  # the part of the rules under which operations run once
DISK_PART = 0.25  # of a machine's disk for all groups together; the configuration's has the rest
DISK_DEFAULT = 64.0  # megabytes, where the settings name none


def group_disk_mb(settings: Settings) -> float:
    """Megabytes of disk for one group."""
    return (settings.machine.disk_mb or DISK_DEFAULT) * DISK_PART / PARTS


def configuration_disk_mb(settings: Settings) -> float:
    """Megabytes of disk for the configuration's group: all where no operation is keyed."""
    whole = settings.machine.disk_mb or DISK_DEFAULT
    return whole * (1 - DISK_PART) if CONTRACT in settings.contracts else whole


@dataclass(frozen=True)
class Home:
    """What all groups of a machine share: its settings, peer address, founders (id -> address), calls and chance.

    `born` is when this process began, by the steady clock; `store` makes a store of so many megabytes."""

    settings: Settings
    address: str
    founders: dict[str, str]
    caller: Caller
    seed: int
    born: float
    store: Callable[[float], Store] = Store


class Group:
    """One part's group, as this machine sees it. `post` sends a message to a peer; `on_role` hears of a new leader."""

    def __init__(self, home: Home, part: int, post: Callable[[str, dict], None], on_role: Callable[[], None]):
        settings, made = home.settings, home.store(group_disk_mb(home.settings))
        name = f"claims-{part}"
        saved = opened(
            made, str(Path(settings.data_dir or ".") / name), settings.initial_boot, home.address, home.founders
        )
        pace = RaftSettings(target_members=settings.tolerance.members, sends_commits_at_once=False)
        self.driver = ConsensusDriver(
            made, saved, home.caller, pace, home.seed + part, home.born, ClaimTable, post, name
        )
        self.part, self.on_role = part, on_role
        self.hold = settings.bounds.key_period + MARGIN  # seconds
        self.machine = self.driver.machine
        self.machine.address = home.address
        self.machine.contacts = [at for at in home.founders.values() if at != home.address]
        self.clock = GroupClock(clock())
        self.waiting = ClaimQueue()
        self.proposing = False
        self.driver.on_change = lambda index, changes: self.clock.applied(clock())
        self.driver.on_restore = lambda: self.clock.restart(clock())
        self.driver.on_role = self._role

    @property
    def leads(self) -> bool:
        """Whether this machine leads, as far as it knows."""
        return self.machine.role == "leader"

    def _role(self, role: RoleChange) -> None:
        self.clock.restart(clock())
        asyncio.get_running_loop().call_soon(self.on_role)

    async def propose(self, batch: list[Claim]) -> list[ClaimResult]:
        """Have claims agreed on; one entry at a time, so that each one's time counts from the entry before it.

        NotLeader or Lost where that can't be, or its outcome is not known."""
        machine = self.machine
        if not machine.is_commit_current or machine.applied < machine.log.last:
            raise NotLeader(None)  # members are being changed, or entries of an earlier leader are not applied yet
        now = clock()
        entry = command(self.clock.time(self.driver.state, now), self.hold, batch)
        self.clock.proposed(now)
        return await self.driver.propose(entry, None)
