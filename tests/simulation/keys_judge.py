"""Judge of tenants' keys: what edges would answer to them by their cluster view and key lease."""

from __future__ import annotations

import asyncio
from itertools import islice
from typing import TYPE_CHECKING

from knotwalk.configuration.objects import Route
from knotwalk.edge.freshness import Freshness
from knotwalk.edge.tenant_check import UNAUTHORIZED, check_key
from tests.simulation.loop import Process
from tests.simulation.register import Content
from tests.standins.documents import tenant

if TYPE_CHECKING:
    from tests.simulation.world import World

REVOKE_TIMEOUT = 5.0  # seconds for which any edge may still accept a revoked key
PERMANENT_KEY = "stays"  # in every configuration
CHECK_INTERVAL_S = 0.05
REVOKED_KEYS_TRIED = 3  # the ones revoked last
ROUTE = Route("r", "h", "/a/", True, 1.0, 0.3, 1, (("s", 1.0),), 2)


def freshness() -> Freshness:
    """The key lease of an edge."""
    return Freshness(REVOKE_TIMEOUT, True)


def tenants(content: Content) -> list[dict]:
    """The tenant of a content, with a key of its own and the permanent one."""
    return [tenant("t", [content.mark, PERMANENT_KEY])]


class KeysJudge:
    """Checks at short intervals which keys each edge would accept."""

    def __init__(self, world: World):
        self.world = world
        self.accepted = 0

    async def watch(self) -> None:
        """Check until the walk ends."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for name, process in self.world.edge_processes.items():
                self.check(name, process)

    def status(self, process: Process, key: str) -> int | None:
        """The status with which an edge would refuse a key, 0 if it would accept it; None without a configuration."""
        view_poller = process.view_poller  # type: ignore[attr-defined]
        if view_poller.view.configuration is None:
            return None
        shown = f"Token {key}".encode()
        return check_key(ROUTE, view_poller.view.tenant_keys, shown, view_poller.freshness, process.clock()).status

    def check(self, edge: str, process: Process) -> None:
        """Check what an edge would answer now."""
        if process.frozen or not process.alive or (status := self.status(process, PERMANENT_KEY)) is None:
            return
        now, register = self.world.loop.now, self.world.register
        if status == UNAUTHORIZED:
            self.world.judge.report(f"{now:.3f} {edge} refuses a key that every configuration holds")
        if status:
            return
        self.accepted += 1
        has = process.view_poller.view.configuration.version  # type: ignore[attr-defined]
        known = register.newest_acknowledged(now - REVOKE_TIMEOUT)
        if has < known:
            self.world.judge.report(
                f"{now:.3f} {edge} takes keys by r{has}; r{known} was acknowledged {REVOKE_TIMEOUT:g} s ago"
            )
        revoked = (content.mark for content in reversed(register.first_sent_at) if content.version < known)
        for mark in islice(revoked, REVOKED_KEYS_TRIED):
            if self.status(process, mark) == 0:
                self.world.judge.report(f"{now:.3f} {edge} takes the key of {mark}; r{known} has none such")

    def check_recovery(self) -> None:
        """Check after all faults that all edges accept the permanent key."""
        for name, process in self.world.edge_processes.items():
            if (status := self.status(process, PERMANENT_KEY)) != 0:
                self.world.judge.report(f"{name} refuses a key that is there with {status} in the end")
