"""The file in which one machine's promises last: `data_dir/logbook.sqlite`. The only part of the consensus with I/O.

Journal: write-ahead log with synchronous=FULL and locking_mode=EXCLUSIVE, which keeps its index in the process and
maps no memory. A commit is one append and one fsync of a file that stays; a torn or missing tail fails its checksums
and was never kept; psow=0 begins each commit on a sector of its own. A rollback journal syncs three times or more, and
in DELETE mode its removal, unsynced below EXTRA, is undone by a loss of power, which takes back a commit already told
(`tests/system/test_consensus_store.py` shows both). Measured by `python -m knotwalk.consensus.store FOLDER`, 2000
commits of one entry of 200 bytes, ext4 on a shared virtual disk, median (99 %) in us: wal FULL 326 (2092), persist
FULL 611 (2730), delete EXTRA 620 (2789), truncate FULL 2588 (8832).

Every row carries a checksum, and the state row says which entries there are, so that a row changed or gone is found
when the file is opened. A write-ahead log is emptied at each start, so that what a torn commit left in it ends with the
life that wrote it: from then on more than one commit past the first bad frame is damage, not a torn end. A write is
refused once the files would pass `disk_mb`, except one that brings a snapshot. `tests/standins/disk.py` is a disk under
it that loses power, fills up or refuses at each write by number.
"""

import contextlib
import json
import os
import shutil
import sqlite3
import struct
import tempfile
import zlib
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from urllib.parse import quote

from knotwalk.consensus.orders import Entry, Save, Saved

NAME = "logbook.sqlite"
# What a damaged file is renamed to; while it is there, no identity of a founder is given.
ASIDE = NAME + ".broken"
ENDS = ("", "-wal", "-journal")
FORMAT = "1"
JOURNALS = {"wal": "FULL", "truncate": "FULL", "persist": "FULL"}  # the least that is safe; delete: EXTRA
JOURNAL = "wal"
CHECKPOINT = 512  # pages, 2 MB, after which the write-ahead log goes into the file: some ms, every few hundred
LOG_PART = 1 / 16  # of the disk, where that is less: record, log, the next record and this must fit side by side
NONSENSE = {
    sqlite3.SQLITE_ERROR,
    sqlite3.SQLITE_CORRUPT,
    sqlite3.SQLITE_NOTADB,
    sqlite3.SQLITE_CONSTRAINT,
    sqlite3.SQLITE_MISMATCH,
    sqlite3.SQLITE_FORMAT,
}
TORN = 3  # frames that end a commit, past the last whole one: SQLite fills a commit's last sector with
#                         its last frame once more, and syncs that one's end with the next commit
FREE = 256  # pages, 1 MB, kept for reuse when others are given back to the disk
GIVE = 512  # pages given back at one compaction: some 10 ms
TABLES = """
CREATE TABLE meta (key TEXT PRIMARY KEY, value TEXT NOT NULL, crc INTEGER NOT NULL) WITHOUT ROWID;
CREATE TABLE entries (idx INTEGER PRIMARY KEY, term INTEGER NOT NULL, kind TEXT NOT NULL, body TEXT NOT NULL,
                      crc INTEGER NOT NULL);
CREATE TABLE snapshot (idx INTEGER PRIMARY KEY, term INTEGER NOT NULL, members TEXT NOT NULL, state TEXT NOT NULL,
                       crc INTEGER NOT NULL);
CREATE TABLE notes (key TEXT PRIMARY KEY, value TEXT NOT NULL, crc INTEGER NOT NULL) WITHOUT ROWID;
"""


class StoreBroken(Exception):
    """The file cannot be used: which, and why. By itself: it is whole, but of another format."""

    def __init__(self, path: Path, what: str) -> None:
        super().__init__(path, what)  # both, so that it can go to another process
        self.path, self.what = path, what

    def __str__(self) -> str:
        return f"{self.path}: {self.what}"


class Damaged(StoreBroken):
    """What is there cannot be trusted; trying again does not help."""


class Refused(StoreBroken):
    """The disk refuses, is full, or another process has the file: it may be tried again."""


def checksum(*fields: Any) -> int:
    """crc32 over a row's fields, each with its length."""
    return zlib.crc32(b"".join(b"%d:%b" % (len(one), one) for one in (str(field).encode() for field in fields)))


def _header_holds(head: bytes) -> bool:
    """Whether the first 32 bytes of a write-ahead log fit their checksum (sqlite.org/fileformat2.html, 4.2)."""
    words = struct.unpack(">8I" if head[3] & 1 else "<8I", head)
    one = two = 0
    for first, second in zip(words[:6:2], words[1:6:2]):
        one = one + first + two & 0xFFFFFFFF
        two = two + second + one & 0xFFFFFFFF
    return head[:3] == b"\x37\x7f\x06" and struct.pack(">2I", one, two) == head[24:]


def _sync(folder: Path) -> None:
    """Make the names in a folder last."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _make_folder(folder: Path) -> None:
    """Make a folder, and those above it that are missing, and make their names last.

    A life that ended between a making and its sync left the lowest one there without: its name is synced as well, but
    where the folder that holds it may not be read, since then it was made by others."""
    if folder.is_dir():
        with contextlib.suppress(PermissionError):
            _sync(folder.parent)
        return
    _make_folder(folder.parent)
    folder.mkdir(exist_ok=True)
    _sync(folder.parent)


def _text(value: Any) -> str:
    return json.dumps(value, separators=(",", ":"), ensure_ascii=False)


@dataclass
class _State:
    """The state row: what is promised, and which entries there have to be."""

    term: int
    vote: str | None
    snapshot_index: int
    last: int


class Store:
    """One file: `open` it once, then `write`, `note` and `close`, from one thread at a time."""

    def __init__(self, disk_mb: float = 64, journal: str = JOURNAL) -> None:
        self.path, self.disk_mb, self.journal = Path(NAME), disk_mb, journal
        self._connection: sqlite3.Connection = None  # type: ignore[assignment]
        self._log_most = int(min(CHECKPOINT * 4096, disk_mb * 1e6 * LOG_PART))
        self._doubt = False  # something was refused: what the disk has of the write-ahead log is not known for sure
        self._state = _State(0, None, 0, 0)
        self._found_log = False  # whether there was a write-ahead log when the file was opened
        self._commits: list[int] = []  # see _commit_frames, as of then

    def open(self, data_dir: str | Path, first_start: bool, address: str, founders: dict[str, str]) -> Saved:
        """Open the file of a folder, or make it, and give what it holds.

        A new file is given an identity that lasts: ADDRESS#founder with the founders as members, where `first_start` is
        true, that id is among `founders` (id -> peer address) and nothing was set aside here, else a random one without
        members. Damaged, Refused (it may be called again), or StoreBroken where the file is of another format.
        """
        folder = Path(data_dir)
        self.path = folder / NAME
        try:
            if not self.path.exists():
                _make_folder(folder)
            first_start = first_start and not any(folder.glob(ASIDE + "*"))
            self._connect()
            if not self._connection.execute("SELECT count(*) FROM sqlite_master").fetchone()[0]:
                self._found_log = True
                self._found(first_start, address, founders)
            saved = self._load()
            self._found_log = True
            self._begin()
            return saved
        except (sqlite3.Error, ValueError, KeyError, TypeError, OSError) as error:
            broken = self._why(error)
            self._let_go(broken)
            raise broken from error
        except StoreBroken as error:
            self._let_go(error)
            raise

    def _let_go(self, error: StoreBroken) -> None:
        """Close a file that can't be used. One that is merely refused stays open, to be opened again, once there may be
        something in it: to close it would remove its write-ahead log."""
        if self._connection is not None and (not isinstance(error, Refused) or not self._found_log and self._new()):
            with contextlib.suppress(sqlite3.Error):
                self._connection.close()
            self._connection = None  # type: ignore[assignment]

    def _new(self) -> bool:
        """Whether there is surely nothing in the file yet: two pages are the least that a first commit makes."""
        return not self._commits and (not self.path.exists() or self.path.stat().st_size < 8192)

    def _why(self, error: Exception) -> StoreBroken:
        """What an error means: the disk refuses, or what is there makes no sense."""
        code = getattr(error, "sqlite_errorcode", None)
        if isinstance(error, OSError) or code is not None and code & 0xFF not in NONSENSE:
            return Refused(self.path, str(error))
        return Damaged(self.path, f"unreadable: {error}")

    def _log_file(self) -> int | None:
        """Bytes of the write-ahead log; None where there is none. Damaged where its file is not there."""
        log = self.path.with_name(NAME + "-wal")
        size = log.stat().st_size if log.exists() else None
        if size and (not self.path.exists() or not self.path.stat().st_size):
            raise Damaged(self.path, "is gone, though its write-ahead log is there")
        return size

    def _commit_frames(self) -> list[int]:
        """The numbers, from 1, of the frames of the write-ahead log that end a commit by their words alone."""
        found: list[int] = []
        if not self._log_file():
            return found
        with open(self.path.with_name(NAME + "-wal"), "rb") as file:
            head = file.read(32)
            if len(head) < 32 or not _header_holds(head):
                return found  # a log begun anew whose first sync did not end: the file has all that was before
            size, salts, number = int.from_bytes(head[8:12]), head[16:24], 0
            while len(frame := file.read(24)) == 24:
                number += 1
                if frame[4:8] != bytes(4) and frame[8:16] == salts:
                    found.append(number)
                file.seek(size, os.SEEK_CUR)
        return found

    def _begin(self) -> None:
        """Start a write-ahead log of this life. Damaged where the one before has commits past its first bad frame.

        A commit is synced before the next is begun, so at most the last may be torn."""
        if self.journal != "wal":
            return
        good = self._connection.execute("PRAGMA wal_checkpoint(PASSIVE)").fetchone()[1]
        if sum(one > good for one in self._commits) > TORN:
            raise Damaged(self.path, f"its write-ahead log is damaged after frame {good}")
        self._commits = []
        if self._pairs("meta").get("journal") != "wal":  # closed well, or of the time before this row
            self._put("meta", "journal", "wal")
        self._empty_log()

    def _empty_log(self) -> None:
        """Put all that the write-ahead log has into the file, and start it over."""
        if self._connection.execute("PRAGMA wal_checkpoint(TRUNCATE)").fetchone()[0] and self.journal == "wal":
            raise Refused(self.path, "its write-ahead log can't be emptied")
        self._doubt = False

    def set_aside(self) -> None:
        """Put a damaged file, not open now, out of the way, durably; the next `open` makes another.

        The file goes before its journals: by itself it might read as whole, and as of an earlier time. What was set
        aside before goes; the copy is emptied where it takes more than half of `disk_mb`. Refused if the disk does."""
        folder = self.path.parent
        try:
            for end in ENDS[1:]:
                if (folder / NAME).exists():
                    (folder / (ASIDE + end)).unlink(missing_ok=True)
            for end in ENDS:
                if (folder / (NAME + end)).exists():
                    os.replace(folder / (NAME + end), folder / (ASIDE + end))
                    self._sync_folder()
            if self.size() > self.disk_mb * 1e6 / 2:
                for one in folder.glob(ASIDE + "*"):
                    os.truncate(one, 0)
        except OSError as error:
            raise Refused(self.path, str(error)) from error

    def _connect(self) -> None:
        """Open the file, or go on with one whose opening was refused."""
        if self._connection is None:
            self._found_log, self._commits = self._log_file() is not None, self._commit_frames()
            # psow=0: a commit begins on a sector of its own, so that one torn while written holds nothing kept before
            self._connection = sqlite3.connect(
                f"file:{quote(str(self.path))}?psow=0",
                uri=True,
                isolation_level=None,
                check_same_thread=False,
                timeout=0,
            )
        execute = self._connection.execute
        if self._connection.in_transaction:
            execute("ROLLBACK")
        execute("PRAGMA locking_mode=EXCLUSIVE")
        if self._new():
            execute("PRAGMA auto_vacuum=INCREMENTAL")  # a write: not at each start
        if (mode := execute(f"PRAGMA journal_mode={self.journal}").fetchone()[0]) != self.journal:
            raise Refused(self.path, f"its journal stays in mode {mode}")
        execute(f"PRAGMA synchronous={JOURNALS.get(self.journal, 'EXTRA')}")
        execute("PRAGMA wal_autocheckpoint=0")  # `_tidy` does it, and hears where it fails
        execute(f"PRAGMA journal_size_limit={self._log_most}")
        execute("PRAGMA mmap_size=0")
        execute("PRAGMA secure_delete=OFF")  # some builds have it on: each page dropped would be written, as zeros
        execute("BEGIN IMMEDIATE")
        execute("COMMIT")

    def _found(self, first_start: bool, address: str, founders: dict[str, str]) -> None:
        me, members = f"{address}#founder", dict(founders)
        if not first_start or me not in founders:
            me, members = f"{address}#{os.urandom(6).hex()}", {}
        self._connection.execute("BEGIN IMMEDIATE")
        for statement in TABLES.split(";")[:-1]:
            self._connection.execute(statement)
        self._put("meta", "format", FORMAT)
        self._put("meta", "me", me)
        self._put("meta", "journal", "wal" if self.journal == "wal" else "none")
        self._put_snapshot((0, 0, members, None))
        self._put_state(self._state)
        self._connection.execute("COMMIT")
        self._sync_folder()

    def _sync_folder(self) -> None:
        _sync(self.path.parent)

    # ---- reading

    def _broken(self, what: str) -> Damaged:
        return Damaged(self.path, what)

    def _pairs(self, table: str) -> dict[str, str]:
        pairs = {}
        for key, value, crc in self._connection.execute(f"SELECT key, value, crc FROM {table}"):
            if crc != checksum(key, value):
                raise self._broken(f"row {key!r} of {table} is damaged")
            pairs[key] = value
        return pairs

    def _load(self) -> Saved:
        check = self._connection.execute("PRAGMA quick_check(1)").fetchone()[0]
        if check != "ok":
            raise self._broken(check)
        meta = self._pairs("meta")
        if meta.get("format") != FORMAT:
            raise StoreBroken(self.path, f"format {meta.get('format')}, this version reads {FORMAT}")
        if meta.get("journal") == "wal" and not self._found_log:
            raise self._broken("its write-ahead log is not there")
        state = self._state = _State(*json.loads(meta["state"]))
        snapshots = self._connection.execute("SELECT idx, term, members, state, crc FROM snapshot").fetchall()
        if [one[0] for one in snapshots] != [state.snapshot_index]:
            raise self._broken(f"snapshot {state.snapshot_index} is not there")
        index, term, members, body, crc = snapshots[0]
        if crc != checksum(index, term, members, body):
            raise self._broken("the snapshot is damaged")
        entries = []
        for row in self._connection.execute("SELECT idx, term, kind, body, crc FROM entries ORDER BY idx"):
            if row[4] != checksum(*row[:4]):
                raise self._broken(f"entry {row[0]} is damaged")
            entries.append(Entry(row[0], row[1], row[2], json.loads(row[3])))
        if [one.index for one in entries] != list(range(index + 1, state.last + 1)):
            raise self._broken(f"entries {index + 1} to {state.last} are not all there, or others are")
        commit = int(meta.get("commit", "0"))  # not there in files of the time before
        if commit > state.last:
            raise self._broken(f"entry {commit} is committed, and the last is {state.last}")
        return Saved(
            meta["me"],
            state.term,
            state.vote,
            index,
            term,
            json.loads(body),
            json.loads(members),
            entries,
            max(commit, index),
        )

    # ---- writing

    def _put(self, table: str, key: str, value: str) -> None:
        self._connection.execute(f"INSERT OR REPLACE INTO {table} VALUES (?, ?, ?)", (key, value, checksum(key, value)))

    def _put_state(self, state: _State) -> None:
        self._put("meta", "state", _text([state.term, state.vote, state.snapshot_index, state.last]))

    def _put_snapshot(self, snapshot: tuple[int, int, dict[str, str], dict | None]) -> None:
        index, term, members, state = snapshot[0], snapshot[1], _text(snapshot[2]), _text(snapshot[3])
        self._connection.execute("DELETE FROM snapshot")
        self._connection.execute(
            "INSERT INTO snapshot VALUES (?, ?, ?, ?, ?)",
            (index, term, members, state, checksum(index, term, members, state)),
        )

    def write(self, save: Save) -> None:
        """One transaction, durable on return; may be repeated unchanged.

        Refused where the disk refuses or the files would pass `disk_mb`, Damaged where the file makes no sense any
        more, StoreBroken where the save does not follow what is here: nothing of it is then written.
        """
        bodies = [_text(entry.body) for entry in save.entries]
        size = sum(len(body.encode()) + 64 for body in bodies)
        if save.snapshot is None and bodies and self.size() + size > self.disk_mb * 1e6:
            raise Refused(self.path, f"{self.size()} bytes, of {self.disk_mb} MB allowed")
        old = self._state
        state = _State(save.term, save.vote, old.snapshot_index, old.last)
        execute = self._connection.execute
        try:
            if self._doubt or save.snapshot is not None:  # a snapshot wants the room
                self._empty_log()
            execute("BEGIN IMMEDIATE")
            if save.cut_from is not None:
                execute("DELETE FROM entries WHERE idx >= ?", (save.cut_from,))
                state.last = min(state.last, save.cut_from - 1)
            if save.snapshot is not None:
                self._put_snapshot(save.snapshot)
                state.snapshot_index = save.snapshot[0]
                execute("DELETE FROM entries WHERE idx <= ?", (state.snapshot_index,))
                state.last = max(state.last, state.snapshot_index)
            for entry, body in zip(save.entries, bodies):
                row = (entry.index, entry.term, entry.kind, body)
                execute("INSERT OR REPLACE INTO entries VALUES (?, ?, ?, ?, ?)", (*row, checksum(*row)))
            if save.entries:
                if save.entries[0].index > state.last + 1:
                    raise StoreBroken(self.path, f"entry {save.entries[0].index} does not follow {state.last}")
                state.last = max(state.last, save.entries[-1].index)
            self._put_state(state)
            if save.commit:
                self._put("meta", "commit", str(save.commit))
            execute("COMMIT")
        except (sqlite3.Error, StoreBroken) as error:
            self._doubt = True
            if self._connection.in_transaction:
                execute("ROLLBACK")
            raise error if isinstance(error, StoreBroken) else self._why(error) from error
        self._state = state
        self._tidy(save.snapshot is not None)

    def _tidy(self, compacted: bool) -> None:
        """Put a long write-ahead log into the file; pages no longer used go back to the disk. What is told as kept is
        kept without it: a failure costs room, and a new log before the next write."""
        execute = self._connection.execute
        try:
            if compacted:
                self._empty_log()
                left, part = GIVE, max(1, self._log_most // 4096 // 2)  # a page given back may move another
                while left > 0 and (free := execute("PRAGMA freelist_count").fetchone()[0]) > FREE:
                    # Each step gives one page back, as a row without columns, of which `execute` takes but one.
                    self._connection.executescript(f"PRAGMA incremental_vacuum({min(free - FREE, part)})")
                    self._empty_log()
                    left -= part
            elif self.journal == "wal" and self.path.with_name(NAME + "-wal").stat().st_size > self._log_most:
                execute("PRAGMA wal_checkpoint(PASSIVE)").fetchone()
        except (sqlite3.Error, OSError, Refused):
            self._doubt = True

    def size(self) -> int:
        """Bytes on disk, of the file, its journal and what was set aside."""
        files = [self.path.with_name(name + end) for name in (NAME, ASIDE) for end in ENDS]
        return sum(one.stat().st_size for one in files if one.exists())

    def note(self, key: str, value: str | None = None) -> str | None:
        """The text kept under `key`, or None; with a `value`, put it there first, durably. For other rooms."""
        try:
            if value is not None:
                if self._doubt:
                    self._empty_log()
                self._put("notes", key, value)
            return self._pairs("notes").get(key)
        except sqlite3.Error as error:
            self._doubt = True
            raise self._why(error) from error

    def close(self) -> None:
        """Let go of the file, which is then whole by itself. Refused where the disk does: it stays open."""
        try:
            self._put("meta", "journal", "none")
        except sqlite3.Error as error:
            raise self._why(error) from error
        self._connection.close()
        self._connection = None  # type: ignore[assignment]
        self._sync_folder()


def read(data_dir: str | Path) -> Saved:
    """What a folder holds, by way of a copy: nothing is written there, and none of its files need be closed well.

    StoreBroken where there is no consensus, or where it cannot be trusted."""
    folder = Path(data_dir)
    if not (folder / NAME).is_file():
        raise StoreBroken(folder / NAME, "is not there")
    with tempfile.TemporaryDirectory() as copied:
        try:
            for end in ("", "-wal", "-journal"):
                if (one := folder / (NAME + end)).is_file():
                    shutil.copyfile(one, Path(copied) / one.name)
        except OSError as error:
            raise StoreBroken(folder / NAME, error.strerror or str(error)) from error
        store = Store()
        try:
            saved = store.open(copied, False, "", {})
        except StoreBroken as error:
            raise StoreBroken(folder / NAME, error.what) from None
        store.close()
        return saved


def main() -> None:
    """Measure a commit of one entry of 200 bytes in each journal mode, in the folder named."""
    import sys
    import time

    for journal in ("wal", "truncate", "persist", "delete"):
        with tempfile.TemporaryDirectory(dir=sys.argv[1]) as folder:
            store = Store(journal=journal)
            store.open(folder, True, "a", {"a#founder": "a:1"})
            took = []
            for index in range(1, 2001):
                save = Save(index, 1, None, [Entry(index, 1, "command", {"key": "x" * 200})], None, None)
                start = time.perf_counter()
                store.write(save)
                took.append((time.perf_counter() - start) * 1e6)
            store.close()
            took.sort()
            print(f"{journal:9}{JOURNALS.get(journal, 'EXTRA'):6} median {took[1000]:.0f} us, 99 % {took[1980]:.0f} us")


if __name__ == "__main__":
    main()
