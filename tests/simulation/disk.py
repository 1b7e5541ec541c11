"""Disks in memory under the real driver: slow, hanging, refusing, and losing at a loss of power what was not kept.

A write is one transaction, as `consensus.store` makes it: after a loss of power it is there whole or not at all, which
tests/system/test_consensus_store.py shows of the real one, torn and lost writes included.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

from knotwalk.consensus.raft_types import Entry, Save, StoredState
from knotwalk.consensus.store import StoreUnavailableError
from tests.simulation.loop import Process, VirtualLoop
from tests.system.cluster import Disk as Kept

WRITE = 0.001  # seconds of a write on a disk that is well


class Disk:
    """One machine's disk; empty until a program opens it. Other folders' files are parts of it, that share its ills."""

    def __init__(self, loop: VirtualLoop, name: str, seed: int):
        self.loop, self.name, self.seed, self.random = loop, name, seed, random.Random(f"disk {name} {seed}")
        self.folders: dict[str, Disk] = {}
        self.kept: Kept | None = None
        self.slow = 0.0
        self.hangs_until = self.refuses_until = 0.0
        self.under_way: tuple[Process, Callable[[], None]] | None = None

    def folder(self, name: str) -> Disk:
        """The part that a group's folder makes."""
        if name not in self.folders:
            self.folders[name] = FolderDisk(self, name)
        return self.folders[name]

    def work(self, process: Process, future: asyncio.Future, act: Callable, given: tuple) -> None:
        """Carry out a write, some time later; its process may be gone by then."""
        wait = WRITE + self.random.uniform(0, self.slow) + max(0.0, self.hangs_until - self.loop.now)

        def done() -> None:
            if self.under_way is None or self.under_way[0] is not process or not process.alive:
                return
            self.under_way = None
            try:
                if self.loop.now < self.refuses_until:
                    raise StoreUnavailableError(Path(self.name), "refuses")
                found, error = act(*given), None
            except StoreUnavailableError as refused:
                found, error = None, refused
            process.soon(lambda: self._tell(future, found, error))

        self.under_way = process, lambda: act(*given)
        self.loop.world.soon(done, wait=wait)

    @staticmethod
    def _tell(future: asyncio.Future, found: Any, error: Exception | None) -> None:
        if future.done():
            return
        if error is not None:
            future.set_exception(error)
        else:
            future.set_result(found)

    def power_lost(self) -> None:
        """What was under way is on the disk or is not; no one was told."""
        for one in self.folders.values():
            one.power_lost()
        work, self.under_way = self.under_way, None
        if work is not None and self.loop.now >= self.refuses_until and self.random.random() < 0.4:
            work[1]()


class FolderDisk(Disk):
    """A folder of a disk: slow, hanging or refusing whenever the disk is."""

    slow = property(lambda self: self.whole.slow, lambda self, value: None)
    hangs_until = property(lambda self: self.whole.hangs_until, lambda self, value: None)
    refuses_until = property(lambda self: self.whole.refuses_until, lambda self, value: None)

    def __init__(self, whole: Disk, name: str):
        self.whole = whole
        super().__init__(whole.loop, f"{whole.name}/{name}", whole.seed)


class Store:
    """In place of `consensus.store.Store`, on such a disk."""

    def __init__(self, disk: Disk, disk_mb: float):
        self.disk, self.disk_mb = disk, disk_mb

    def open(self, data_dir: str, first_start: bool, address: str, founders: dict[str, str]) -> StoredState:
        if (name := Path(data_dir).name).startswith("claims-"):
            self.disk = self.disk.folder(name)
        disk = self.disk
        if disk.kept is None:
            me, members = f"{address}#founder", dict(founders)
            if not first_start or me not in founders:
                me, members = f"{address}#{disk.random.randrange(1 << 48):012x}", {}
            disk.kept = Kept(StoredState(me, members=members))
        saved = disk.kept.read()
        saved.entries = [Entry(e.index, e.term, e.kind, json.loads(json.dumps(e.body))) for e in saved.entries]
        saved.snapshot = json.loads(json.dumps(saved.snapshot))
        return saved

    def write(self, save: Save) -> None:
        assert self.disk.kept is not None
        self.disk.kept.write(save)

    def size(self) -> int:
        return 0

    def close(self) -> None:
        pass
