"""A disk under SQLite that counts what is done to it, and at any count refuses, tears or loses power.

A VFS of SQLite's own kind, by way of ctypes: files are real, locks are granted and do nothing, and each write, change
of length, sync, removal and renaming is noted by number. `left` says what a loss of power after any number may leave of
it: what the last sync of a file covered, and of later writes each there, missing or torn, or none; names as of the last
sync of their folder.
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
FULL, REFUSED = 13, {"write": 778, "truncate": 1546, "sync": 1034, "delete": 2570}  # SQLite's codes
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
    """Use as a context: SQLite's files and the store's own renames go through it. `refuse` is asked for each number and
    kind and gives a code of SQLite's, or 0; `most` is how many bytes the folder may hold."""

    open: list[sqlite3.Connection] = []  # that a test left so: closed at the end, while their disk still lives

    def __init__(self) -> None:
        self.done: list[tuple] = []
        self.refuse: Callable[[int, str], int] = lambda number, kind: 0
        self.most, self.folder = 1 << 60, Path(os.devnull)
        self.files: dict[int, tuple[str, Methods]] = {}  # open files: name, the real methods
        self.tables: dict[int, Methods] = {}
        real = Vfs.from_address(LIBRARY.sqlite3_vfs_find(None))
        self.real, self.vfs = real, Vfs()
        ctypes.memmove(byref(self.vfs), byref(real), sizeof(Vfs))
        self.vfs.name, self.vfs.open, self.vfs.delete = b"faulty", OPEN(self._open), DELETE(self._delete)

    def __enter__(self) -> "FaultyDisk":
        LIBRARY.sqlite3_vfs_register(byref(self.vfs), 1)
        connect = sqlite3.connect

        def connected(*given: Any, **named: Any) -> sqlite3.Connection:
            self.open.append(connect(*given, **named))
            return self.open[-1]

        self.patch = mock.patch.object(store.sqlite3, "connect", connected)
        self.patch.start()
        KEPT.append(self)
        return self

    def __exit__(self, *_: Any) -> None:
        self.patch.stop()
        LIBRARY.sqlite3_vfs_unregister(byref(self.vfs))
        LIBRARY.sqlite3_vfs_register(byref(self.real), 1)

    # ---- what SQLite calls

    def _open(self, _vfs: int, text: int, file: int, flags: int, out: Any) -> int:
        name = string_at(text) if text else b""  # SQLite keeps the pointer: behind the name stand its options
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

    def _act(self, kind: str, act: Callable[[], int], *what: Any) -> int:
        code = self.refuse(len(self.done), kind)
        self.done.append((kind if not code else "no " + kind, *what))
        return code or act()

    def _write(self, file: int, data: int, size: int, at: int) -> int:
        name, real = self.files[file]
        content = string_at(data, size)
        if (
            self.most < 1 << 60
            and sum(self.sizes().values()) + max(0, at + size - self.sizes().get(name, 0)) > self.most
        ):
            self.done.append(("no write", name, at, b""))
            return FULL
        code = self._act("write", lambda: real.write(file, data, size, at), name, at, content)
        if code and size > SECTOR:  # half of it came
            real.write(file, data, size // 2, at)
            self.done.append(("write", name, at, content[: size // 2]))
        return code

    def _truncate(self, file: int, size: int) -> int:
        name, real = self.files[file]
        return self._act("truncate", lambda: real.truncate(file, size), name, size)

    def _sync(self, file: int, _flags: int) -> int:
        return self._act("sync", lambda: 0, self.files[file][0])

    def _delete(self, _vfs: int, name: bytes, folder: int) -> int:
        if not os.path.exists(name):
            return self.real.delete(c_void_p(ctypes.addressof(self.real)), name, 0)
        code = self._act(
            "delete",
            lambda: self.real.delete(c_void_p(ctypes.addressof(self.real)), name, 0),
            Path(os.fsdecode(name)).name,
        )
        if not code and folder:
            self.done.append(("folder",))
        return code

    # ---- what the store does by itself

    @contextlib.contextmanager
    def own(self, folder: Path) -> Iterator[None]:
        """Note the store's renames and syncs of its folder."""
        self.folder, replace = folder, os.replace

        def renamed(old: Path, new: Path) -> None:
            if self.refuse(len(self.done), "rename"):
                raise OSError(5, "refused")
            self.done.append(("rename", Path(old).name, Path(new).name))
            replace(old, new)

        with (
            mock.patch.object(store.os, "replace", renamed),
            mock.patch.object(store.Store, "_sync_folder", lambda _: self.done.append(("folder",))),
            self,
        ):
            yield

    def sizes(self) -> dict[str, int]:
        """Bytes by file."""
        return {one.name: one.stat().st_size for one in self.folder.iterdir()}

    # ---- after a loss of power

    def left(self, number: int, chance: random.Random, none: bool) -> dict[str, bytes]:
        """The files after a loss of power that follows what was done up to `number`; `none`: no unsynced write
        lasts."""
        names: dict[str, int] = {}
        lasting: dict[str, int] = {}  # names as the folder has them for sure
        files: list[tuple[bytearray, list[tuple]]] = []
        for kind, *what in self.done[:number]:
            match kind:
                case "new":
                    names[what[0]] = len(files)
                    files.append((bytearray(), []))
                case "write" | "truncate":
                    files[names[what[0]]][1].append((kind, *what[1:]))
                case "sync" | "no sync":  # what a refused one should have covered is gone
                    content, waiting = files[names[what[0]]]
                    for one in waiting if kind == "sync" else ():
                        self._put(content, one)
                    waiting.clear()
                    if kind == "sync":
                        lasting[what[0]] = names[what[0]]
                case "delete":
                    del names[what[0]]
                case "rename":
                    names[what[1]] = names.pop(what[0])
                case "folder":
                    lasting = dict(names)
        if not none and chance.random() < 0.5:
            lasting = dict(names)
        for name, file in names.items():
            if name not in lasting and file not in lasting.values() and chance.random() < 0.5:
                lasting[name] = file
        found = {}
        for name, file in lasting.items():
            content, waiting = bytearray(files[file][0]), files[file][1]
            for one in () if none else waiting:
                if chance.random() < 0.67:
                    self._put(content, one, chance)
            found[name] = bytes(content)
        return found

    @staticmethod
    def _put(content: bytearray, one: tuple, chance: random.Random | None = None) -> None:
        """Take one write or change of length in, torn by `chance`."""
        if one[0] == "truncate":
            content[:] = content[: one[1]].ljust(one[1], b"\0")
            return
        at, data = one[1:]
        parts = range(at, at + len(data), SECTOR)
        whole = chance is None or chance.random() < 0.5
        for start in parts:
            if whole or chance is not None and chance.random() < 0.5:
                part = data[start - at : start - at + SECTOR]
                content.extend(bytes(max(0, start + len(part) - len(content))))
                content[start : start + len(part)] = part


class FolderNames:
    """Real folders whose names last once the folder above was synced; the syncs with these numbers are refused."""

    def __init__(self, refused: frozenset[int] = frozenset()) -> None:
        self.refused, self.syncs = refused, 0
        self.made: dict[Path, bool] = {}  # folders made here, and whether a loss of power leaves their names

    def __enter__(self) -> "FolderNames":
        self.patches = [
            mock.patch.object(os, "mkdir", self._made(os.mkdir)),
            mock.patch.object(os, "fsync", self._sync),
        ]
        for patch in self.patches:
            patch.start()
        return self

    def __exit__(self, *_: Any) -> None:
        for patch in self.patches:
            patch.stop()

    def _made(self, mkdir: Callable) -> Callable:
        def made(path: Any, *given: Any, **named: Any) -> None:
            mkdir(path, *given, **named)
            self.made[Path(path)] = False

        return made

    def _sync(self, descriptor: int) -> None:
        self.syncs += 1
        if self.syncs - 1 in self.refused:
            raise OSError(5, "refused")
        folder = Path(os.readlink(f"/proc/self/fd/{descriptor}"))
        self.made.update({one: True for one in self.made if one.parent == folder})

    def lost(self) -> list[str]:
        """Folders that a loss of power now may take away, with all that is in them."""
        return [one.name for one, lasts in self.made.items() if not lasts]


@atexit.register
def _close() -> None:
    for disk in KEPT:
        disk.refuse = lambda number, kind: 0
    for connection in FaultyDisk.open:
        with contextlib.suppress(sqlite3.Error):
            connection.close()
