"""Simulated disks under the real driver: slow, hanging, refusing writes, and losing unfinished writes with the power.

A write is one transaction, as in `consensus.store`: after a loss of power it is complete or absent.
tests/system/test_consensus_store.py checks this of the real store, with torn and lost writes.
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

WRITE_S = 0.001  # of a write on a healthy disk


class Disk:
    """One machine's disk, empty until a program opens it. Its folders are disks of their own that share its faults."""

    def __init__(self, loop: VirtualLoop, name: str, seed: int):
        self.loop, self.name, self.seed, self.random = loop, name, seed, random.Random(f"disk {name} {seed}")
        self.folders: dict[str, Disk] = {}
        self.kept: Kept | None = None
        self.slow = 0.0
        self.hangs_until = self.refuses_until = 0.0
        self.under_way: tuple[Process, Callable[[], None]] | None = None

    def folder(self, name: str) -> Disk:
        """The disk of a group's folder."""
        if name not in self.folders:
            self.folders[name] = FolderDisk(self, name)
        return self.folders[name]

    def work(self, process: Process, future: asyncio.Future, act: Callable, arguments: tuple) -> None:
        """Perform a write after a delay, unless its process has ended by then."""
        wait = WRITE_S + self.random.uniform(0, self.slow) + max(0.0, self.hangs_until - self.loop.now)

        def done() -> None:
            if self.under_way is None or self.under_way[0] is not process or not process.alive:
                return
            self.under_way = None
            try:
                if self.loop.now < self.refuses_until:
                    raise StoreUnavailableError(Path(self.name), "refuses")
                result, error = act(*arguments), None
            except StoreUnavailableError as refused:
                result, error = None, refused
            process.soon(lambda: self._resolve(future, result, error))

        self.under_way = process, lambda: act(*arguments)
        self.loop.world.soon(done, wait=wait)

    @staticmethod
    def _resolve(future: asyncio.Future, result: Any, error: Exception | None) -> None:
        if future.done():
            return
        if error is not None:
            future.set_exception(error)
        else:
            future.set_result(result)

    def power_lost(self) -> None:
        """Lose the power: the write in progress is kept or lost, and is not acknowledged."""
        for folder in self.folders.values():
            folder.power_lost()
        work, self.under_way = self.under_way, None
        if work is not None and self.loop.now >= self.refuses_until and self.random.random() < 0.4:
            work[1]()


class FolderDisk(Disk):
    """A folder of a disk, which is slow, hangs or refuses whenever the disk does."""

    slow = property(lambda self: self.disk.slow, lambda self, value: None)
    hangs_until = property(lambda self: self.disk.hangs_until, lambda self, value: None)
    refuses_until = property(lambda self: self.disk.refuses_until, lambda self, value: None)

    def __init__(self, disk: Disk, name: str):
        self.disk = disk
        super().__init__(disk.loop, f"{disk.name}/{name}", disk.seed)


class Store:
    """Replaces `consensus.store.Store`, on a simulated disk."""

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
