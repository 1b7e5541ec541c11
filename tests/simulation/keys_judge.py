"""Who looks at tenants' keys on a walk: what an edge would answer to them, by its cluster view and its lease."""

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

REVOKE_TIMEOUT = 5.0  # seconds for which a key that was taken away may still be accepted, anywhere
STAYS = "stays"  # a key of every configuration
LOOK = 0.05  # seconds between looks
GONE = 3  # keys that were taken away last and are tried
ROUTE = Route("r", "h", "/a/", True, 1.0, 0.3, 1, (("s", 1.0),), 2)


def freshness() -> Freshness:
    """The lease of an edge of a walk."""
    return Freshness(REVOKE_TIMEOUT, True)


def tenants(content: Content) -> list[dict]:
    """The tenant of a content: its own key, which no other has, and the one that stays."""
    return [tenant("t", [content.mark, STAYS])]


class KeysJudge:
    """Asks each edge again and again: would a request with the key of its configuration be taken, and by which?"""

    def __init__(self, world: World):
        self.world = world
        self.taken = 0

    async def watch(self) -> None:
        """Look until the walk ends."""
        while True:
            await asyncio.sleep(LOOK)
            for name, process in self.world.edge_processes.items():
                self.look(name, process)

    def status(self, process: Process, key: str) -> int | None:
        """What an edge would refuse a key with now, 0 if it would take it; None without a configuration."""
        view_poller = process.view_poller  # type: ignore[attr-defined]
        if view_poller.view.configuration is None:
            return None
        shown = f"Token {key}".encode()
        return check_key(ROUTE, view_poller.view.tenant_keys, shown, view_poller.freshness, process.clock()).status

    def look(self, edge: str, process: Process) -> None:
        """What an edge would do now."""
        if process.frozen or not process.alive or (status := self.status(process, STAYS)) is None:
            return
        now, register = self.world.loop.now, self.world.register
        if status == UNAUTHORIZED:
            self.world.judge.report(f"{now:.3f} {edge} refuses a key that every configuration holds")
        if status:
            return
        self.taken += 1
        has = process.view_poller.view.configuration.version  # type: ignore[attr-defined]
        known = register.newest_acknowledged(now - REVOKE_TIMEOUT)
        if has < known:
            self.world.judge.report(
                f"{now:.3f} {edge} takes keys by r{has}; r{known} was told {REVOKE_TIMEOUT:g} s ago"
            )
        gone = (content.mark for content in reversed(register.first_sent_at) if content.version < known)
        for mark in islice(gone, GONE):
            if self.status(process, mark) == 0:
                self.world.judge.report(f"{now:.3f} {edge} takes the key of {mark}; r{known} has none such")

    def settled(self) -> None:
        """Every fault has ended: all edges take the key that stays."""
        for name, process in self.world.edge_processes.items():
            if (status := self.status(process, STAYS)) != 0:
                self.world.judge.report(f"{name} refuses a key that is there with {status} in the end")
