"""A simulated disk under SQLite that numbers all operations and can fail, tear a write or lose power at any of them.

Implemented as an SQLite VFS through ctypes. Files are real; locks are always granted and have no effect. Each write,
truncation, sync, deletion and rename is recorded under a number. `files_after_power_loss` returns what may remain after
a loss of power that follows any number: file contents as of the last sync, with each later write present, missing or
torn (or all of them missing), and file names as of the last sync of their folder.
"""

import atexit
import contextlib
import ctypes
import os
import random
import sqlite3
from collections.abc import Callable, Iterator
from ctypes import CFUNCTYPE, POINTER, Structure, byref, c_char_p, c_int, c_int64, c_void_p, cast, sizeof, string_at
from pathlib import Path
from typing import Any
from unittest import mock

from knotwalk.consensus import store

SECTOR = 512
FULL, REFUSED = 13, {"write": 778, "truncate": 1546, "sync": 1034, "delete": 2570}  # SQLite's error codes
KEPT: list["FaultyDisk"] = []
LIBRARY = ctypes.CDLL("libsqlite3.so.0")
LIBRARY.sqlite3_vfs_find.restype = c_void_p

WRITE = CFUNCTYPE(c_int, c_void_p, c_void_p, c_int, c_int64)
LENGTH = CFUNCTYPE(c_int, c_void_p, c_int64)
FLAGS = CFUNCTYPE(c_int, c_void_p, c_int)
CLOSE = CFUNCTYPE(c_int, c_void_p)
CHECK = CFUNCTYPE(c_int, c_void_p, POINTER(c_int))
OPEN = CFUNCTYPE(c_int, c_void_p, c_void_p, c_void_p, c_int, POINTER(c_int))
DELETE = CFUNCTYPE(c_int, c_void_p, c_char_p, c_int)


class Methods(Structure):
    """sqlite3_io_methods."""

    _fields_ = [
        ("version", c_int),
        ("close", CLOSE),
        ("read", c_void_p),
        ("write", WRITE),
        ("truncate", LENGTH),
        ("sync", FLAGS),
        ("size", c_void_p),
        ("lock", FLAGS),
        ("unlock", FLAGS),
        ("check", CHECK),
        ("rest", c_void_p * 9),
    ]


class Vfs(Structure):
    """sqlite3_vfs."""

    _fields_ = [
        ("version", c_int),
        ("file", c_int),
        ("longest", c_int),
        ("next", c_void_p),
        ("name", c_char_p),
        ("data", c_void_p),
        ("open", OPEN),
        ("delete", DELETE),
        ("rest", c_void_p * 14),
    ]


class FaultyDisk:
    """A context manager: inside, SQLite's files (and with `patch_store` the store's renames) go through this disk.

    `done` lists the operations in order. `refuse` is called with number and kind of each and returns an SQLite error
    code, or 0. `max_bytes` is the capacity of the folder.
    """

    open: list[sqlite3.Connection] = []  # left open by tests: closed at exit, while their VFS still exists

    def __init__(self) -> None:
        self.done: list[tuple] = []
        self.refuse: Callable[[int, str], int] = lambda number, kind: 0
        self.max_bytes, self.folder = 1 << 60, Path(os.devnull)
        self.files: dict[int, tuple[str, Methods]] = {}  # open files: name and the real VFS's methods
        self.tables: dict[int, Methods] = {}
        real = Vfs.from_address(LIBRARY.sqlite3_vfs_find(None))
        self.real, self.vfs = real, Vfs()
        ctypes.memmove(byref(self.vfs), byref(real), sizeof(Vfs))
        self.vfs.name, self.vfs.open, self.vfs.delete = b"faulty", OPEN(self._open), DELETE(self._delete)

    def __enter__(self) -> "FaultyDisk":
        LIBRARY.sqlite3_vfs_register(byref(self.vfs), 1)
        connect = sqlite3.connect

        def tracked_connect(*arguments: Any, **options: Any) -> sqlite3.Connection:
            self.open.append(connect(*arguments, **options))
            return self.open[-1]

        self.patch = mock.patch.object(store.sqlite3, "connect", tracked_connect)
        self.patch.start()
        KEPT.append(self)
        return self

    def __exit__(self, *_: Any) -> None:
        self.patch.stop()
        LIBRARY.sqlite3_vfs_unregister(byref(self.vfs))
        LIBRARY.sqlite3_vfs_register(byref(self.real), 1)

    # ---- callbacks of the VFS

    def _open(self, _vfs: int, text: int, file: int, flags: int, out: Any) -> int:
        name = string_at(text) if text else b""  # SQLite keeps the pointer: URI options follow the name in memory
        new = not os.path.exists(name)
        code = self.real.open(c_void_p(ctypes.addressof(self.real)), text, file, flags, out)
        address = cast(file, POINTER(c_void_p))[0]
        if code or not address:
            return code
        real = Methods.from_address(address)
        if address not in self.tables:
            table = self.tables[address] = Methods()
            ctypes.memmove(byref(table), byref(real), sizeof(Methods))
            table.write, table.truncate, table.sync = WRITE(self._write), LENGTH(self._truncate), FLAGS(self._sync)
            table.close, table.lock, table.unlock = CLOSE(self._close), FLAGS(lambda *_: 0), FLAGS(lambda *_: 0)
            table.check = CHECK(self._check)
        cast(file, POINTER(c_void_p))[0] = ctypes.addressof(self.tables[address])
        self.files[file] = Path(os.fsdecode(name)).name, real
        if new:
            self.done.append(("new", self.files[file][0]))
        return 0

    @staticmethod
    def _check(_file: int, out: Any) -> int:
        out[0] = 0
        return 0

    def _close(self, file: int) -> int:
        return self.files.pop(file)[1].close(file)

    def _perform(self, kind: str, operation: Callable[[], int], *details: Any) -> int:
        code = self.refuse(len(self.done), kind)
        self.done.append((kind if not code else "no " + kind, *details))
        return code or operation()

    def _write(self, file: int, data: int, size: int, offset: int) -> int:
        name, real = self.files[file]
        content = string_at(data, size)
        if (
            self.max_bytes < 1 << 60
            and sum(self.sizes().values()) + max(0, offset + size - self.sizes().get(name, 0)) > self.max_bytes
        ):
            self.done.append(("no write", name, offset, b""))
            return FULL
        code = self._perform("write", lambda: real.write(file, data, size, offset), name, offset, content)
        if code and size > SECTOR:  # a failed write still wrote its first half
            real.write(file, data, size // 2, offset)
            self.done.append(("write", name, offset, content[: size // 2]))
        return code

    def _truncate(self, file: int, size: int) -> int:
        name, real = self.files[file]
        return self._perform("truncate", lambda: real.truncate(file, size), name, size)

    def _sync(self, file: int, _flags: int) -> int:
        return self._perform("sync", lambda: 0, self.files[file][0])

    def _delete(self, _vfs: int, name: bytes, folder: int) -> int:
        if not os.path.exists(name):
            return self.real.delete(c_void_p(ctypes.addressof(self.real)), name, 0)
        code = self._perform(
            "delete",
            lambda: self.real.delete(c_void_p(ctypes.addressof(self.real)), name, 0),
            Path(os.fsdecode(name)).name,
        )
        if not code and folder:
            self.done.append(("folder",))
        return code

    # ---- operations of the store outside SQLite

    @contextlib.contextmanager
    def patch_store(self, folder: Path) -> Iterator[None]:
        """Also records the store's renames and the syncs of its folder."""
        self.folder, replace = folder, os.replace

        def recorded_replace(old: Path, new: Path) -> None:
            if self.refuse(len(self.done), "rename"):
                raise OSError(5, "refused")
            self.done.append(("rename", Path(old).name, Path(new).name))
            replace(old, new)

        with (
            mock.patch.object(store.os, "replace", recorded_replace),
            mock.patch.object(store.Store, "_sync_folder", lambda _: self.done.append(("folder",))),
            self,
        ):
            yield

    def sizes(self) -> dict[str, int]:
        """Returns the size in bytes of each file."""
        return {path.name: path.stat().st_size for path in self.folder.iterdir()}

    # ---- state after a loss of power

    def files_after_power_loss(self, number: int, chance: random.Random, none: bool) -> dict[str, bytes]:
        """Returns the files after a loss of power that follows the first `number` operations.

        With `none`, all unsynced writes are lost.
        """
        names: dict[str, int] = {}
        lasting: dict[str, int] = {}  # names that are certain to survive: the folder was synced after them
        files: list[tuple[bytearray, list[tuple]]] = []
        for kind, *details in self.done[:number]:
            match kind:
                case "new":
                    names[details[0]] = len(files)
                    files.append((bytearray(), []))
                case "write" | "truncate":
                    files[names[details[0]]][1].append((kind, *details[1:]))
                case "sync" | "no sync":  # writes before a failed sync are lost
                    content, waiting = files[names[details[0]]]
                    for change in waiting if kind == "sync" else ():
                        self._put(content, change)
                    waiting.clear()
                    if kind == "sync":
                        lasting[details[0]] = names[details[0]]
                case "delete":
                    del names[details[0]]
                case "rename":
                    names[details[1]] = names.pop(details[0])
                case "folder":
                    lasting = dict(names)
        if not none and chance.random() < 0.5:
            lasting = dict(names)
        for name, file in names.items():
            if name not in lasting and file not in lasting.values() and chance.random() < 0.5:
                lasting[name] = file
        remaining = {}
        for name, file in lasting.items():
            content, waiting = bytearray(files[file][0]), files[file][1]
            for change in () if none else waiting:
                if chance.random() < 0.67:
                    self._put(content, change, chance)
            remaining[name] = bytes(content)
        return remaining

    @staticmethod
    def _put(content: bytearray, change: tuple, chance: random.Random | None = None) -> None:
        """Applies a write or truncation to `content`; with `chance`, a write may be torn by sectors."""
        if change[0] == "truncate":
            content[:] = content[: change[1]].ljust(change[1], b"\0")
            return
        offset, data = change[1:]
        sector_starts = range(offset, offset + len(data), SECTOR)
        is_whole = chance is None or chance.random() < 0.5
        for start in sector_starts:
            if is_whole or chance is not None and chance.random() < 0.5:
                part = data[start - offset : start - offset + SECTOR]
                content.extend(bytes(max(0, start + len(part) - len(content))))
                content[start : start + len(part)] = part


class FolderNames:
    """Tracks which new folders would survive a loss of power: those whose parent was synced since.

    Syncs with the numbers in `refused` fail.
    """

    def __init__(self, refused: frozenset[int] = frozenset()) -> None:
        self.refused, self.syncs = refused, 0
        self.made: dict[Path, bool] = {}  # folders created here, and whether their names survive

    def __enter__(self) -> "FolderNames":
        self.patches = [
            mock.patch.object(os, "mkdir", self._recorded(os.mkdir)),
            mock.patch.object(os, "fsync", self._sync),
        ]
        for patch in self.patches:
            patch.start()
        return self

    def __exit__(self, *_: Any) -> None:
        for patch in self.patches:
            patch.stop()

    def _recorded(self, mkdir: Callable) -> Callable:
        def recorded_mkdir(path: Any, *arguments: Any, **options: Any) -> None:
            mkdir(path, *arguments, **options)
            self.made[Path(path)] = False

        return recorded_mkdir

    def _sync(self, descriptor: int) -> None:
        self.syncs += 1
        if self.syncs - 1 in self.refused:
            raise OSError(5, "refused")
        folder = Path(os.readlink(f"/proc/self/fd/{descriptor}"))
        self.made.update({path: True for path in self.made if path.parent == folder})

    def unsynced_folders(self) -> list[str]:
        """Returns folders that a loss of power now may remove, with all their contents."""
        return [path.name for path, is_durable in self.made.items() if not is_durable]


@atexit.register
def _close() -> None:
    for disk in KEPT:
        disk.refuse = lambda number, kind: 0
    for connection in FaultyDisk.open:
        with contextlib.suppress(sqlite3.Error):
            connection.close()
