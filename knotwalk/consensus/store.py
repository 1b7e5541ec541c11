"""The file that durably stores one machine's term, vote, log and snapshot: `data_dir/logbook.sqlite`. The only part of
the consensus with I/O.

The journal is a write-ahead log with synchronous=FULL and locking_mode=EXCLUSIVE, which keeps its index in the process
and maps no memory. A commit is one append and one fsync of a file that stays. A torn or missing tail fails its
checksums and was never reported as stored. psow=0 starts each commit on a sector of its own. A rollback journal syncs
three times or more; in DELETE mode the removal of the journal is not synced below synchronous=EXTRA, so a power loss
can undo it and take back a commit already reported (`tests/system/test_consensus_store.py` shows both). Measured by
`python -m knotwalk.consensus.store FOLDER`, 2000 commits of one entry of 200 bytes, ext4 on a shared virtual disk,
median (99 %) in us: wal FULL 326 (2092), persist FULL 611 (2730), delete EXTRA 620 (2789), truncate FULL 2588 (8832).

Every row has a checksum, and the state row says which entries exist, so that a changed or missing row is found when the
file is opened. The write-ahead log is truncated at each start, so that the remains of a torn commit do not outlive the
incarnation that wrote it: after that, more than one commit past the first bad frame means damage and not a torn end. A
write is refused if the files would exceed `disk_mb`, unless it brings a snapshot. `tests/standins/disk.py` simulates a
disk that loses power, fills up, or refuses any given write.
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

from knotwalk.consensus.raft_types import Entry, Save, StoredState

FILE_NAME = "logbook.sqlite"
# A damaged file gets this name. While it exists, no founder's identity is assigned.
DAMAGED_FILE_NAME = FILE_NAME + ".broken"
FILE_SUFFIXES = ("", "-wal", "-journal")
FORMAT_VERSION = "1"
SYNCHRONOUS_MODES = {"wal": "FULL", "truncate": "FULL", "persist": "FULL"}  # the lowest safe setting; delete: EXTRA
DEFAULT_JOURNAL = "wal"
# 2 MB: a write-ahead log of more pages is copied into the file, which takes some milliseconds once every few hundred
# commits.
CHECKPOINT_PAGES = 512
# Where this is less, the write-ahead log is limited to this part of the disk, since the snapshot, the log, the next
# snapshot and the write-ahead log must fit side by side.
MAX_WAL_DISK_SHARE = 1 / 16
# SQLite's result codes that mean a damaged file, rather than a disk that refuses.
DAMAGE_CODES = {
    sqlite3.SQLITE_ERROR,
    sqlite3.SQLITE_CORRUPT,
    sqlite3.SQLITE_NOTADB,
    sqlite3.SQLITE_CONSTRAINT,
    sqlite3.SQLITE_MISMATCH,
    sqlite3.SQLITE_FORMAT,
}
# Frames that end a commit after the last complete one and still count as a torn commit: SQLite fills a commit's last
# sector with its last frame once more, and syncs the end of that frame with the next commit.
MAX_TORN_FRAMES = 3
# 1 MB: free pages kept for reuse when others are returned to the disk.
SPARE_PAGES = 256
# Pages returned to the disk at one compaction: some 10 ms.
MAX_VACUUM_PAGES = 512
SCHEMA = """
CREATE TABLE meta (key TEXT PRIMARY KEY, value TEXT NOT NULL, crc INTEGER NOT NULL) WITHOUT ROWID;
CREATE TABLE entries (idx INTEGER PRIMARY KEY, term INTEGER NOT NULL, kind TEXT NOT NULL, body TEXT NOT NULL,
                      crc INTEGER NOT NULL);
CREATE TABLE snapshot (idx INTEGER PRIMARY KEY, term INTEGER NOT NULL, members TEXT NOT NULL, state TEXT NOT NULL,
                       crc INTEGER NOT NULL);
CREATE TABLE notes (key TEXT PRIMARY KEY, value TEXT NOT NULL, crc INTEGER NOT NULL) WITHOUT ROWID;
"""


class StoreError(Exception):
    """The file can't be used; names the file and the reason. Raised as such if the file is intact but of another
    format.
    """

    def __init__(self, path: Path, reason: str) -> None:
        super().__init__(path, reason)  # both, so that it can be pickled
        self.path, self.reason = path, reason

    def __str__(self) -> str:
        return f"{self.path}: {self.reason}"


class StoreDamagedError(StoreError):
    """The content can't be trusted; trying again does not help."""


class StoreUnavailableError(StoreError):
    """The disk refuses or is full, or another process has the file open; may be tried again."""


def checksum(*fields: Any) -> int:
    """The crc32 of a row's fields, each prefixed by its length."""
    return zlib.crc32(b"".join(b"%d:%b" % (len(text), text) for text in (str(field).encode() for field in fields)))


def _is_wal_header_valid(header: bytes) -> bool:
    """Whether the first 32 bytes of a write-ahead log match their checksum (sqlite.org/fileformat2.html, 4.2)."""
    words = struct.unpack(">8I" if header[3] & 1 else "<8I", header)
    sum_1 = sum_2 = 0
    for first, second in zip(words[:6:2], words[1:6:2]):
        sum_1 = sum_1 + first + sum_2 & 0xFFFFFFFF
        sum_2 = sum_2 + second + sum_1 & 0xFFFFFFFF
    return header[:3] == b"\x37\x7f\x06" and struct.pack(">2I", sum_1, sum_2) == header[24:]


def _fsync_folder(folder: Path) -> None:
    """Sync a folder, so that the names in it are durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _make_folder(folder: Path) -> None:
    """Create a folder and its missing parents, and make their names durable.

    A process that ended between creating the lowest folder and syncing its parent left the name unsynced. So the name
    of an existing folder is synced as well, unless its parent may not be read: then others created it.
    """
    if folder.is_dir():
        with contextlib.suppress(PermissionError):
            _fsync_folder(folder.parent)
        return
    _make_folder(folder.parent)
    folder.mkdir(exist_ok=True)
    _fsync_folder(folder.parent)


def _to_json(value: Any) -> str:
    return json.dumps(value, separators=(",", ":"), ensure_ascii=False)


@dataclass
class _State:
    """The state row: term, vote, and which entries must exist."""

    term: int
    vote: str | None
    snapshot_index: int
    last: int


class Store:
    """One file: call `open` once, then `write`, `note` and `close`, from one thread at a time."""

    def __init__(self, disk_mb: float = 64, journal: str = DEFAULT_JOURNAL) -> None:
        self.path, self.disk_mb, self.journal = Path(FILE_NAME), disk_mb, journal
        self._connection: sqlite3.Connection = None  # type: ignore[assignment]
        self._max_wal_bytes = int(min(CHECKPOINT_PAGES * 4096, disk_mb * 1e6 * MAX_WAL_DISK_SHARE))
        # After a refusal it is not known what the disk has of the write-ahead log.
        self._is_wal_uncertain = False
        self._state = _State(0, None, 0, 0)
        self._had_wal = False  # whether a write-ahead log existed when the file was opened
        self._commit_frames_at_open: list[int] = []  # result of `_read_commit_frames` when the file was opened

    def open(self, data_dir: str | Path, first_start: bool, address: str, founders: dict[str, str]) -> StoredState:
        """Open or create the file of a folder, and return what it holds.

        A new file gets a permanent identity: ADDRESS#founder with the founders as members, if `first_start` is true,
        that id is among `founders` (id -> peer address) and no damaged file was set aside here; otherwise a random id
        without members. Raises StoreDamagedError, StoreUnavailableError (`open` may be called again), or StoreError for
        a file of another format.
        """
        folder = Path(data_dir)
        self.path = folder / FILE_NAME
        try:
            if not self.path.exists():
                _make_folder(folder)
            first_start = first_start and not any(folder.glob(DAMAGED_FILE_NAME + "*"))
            self._connect()
            if not self._connection.execute("SELECT count(*) FROM sqlite_master").fetchone()[0]:
                self._had_wal = True
                self._create(first_start, address, founders)
            saved = self._load()
            self._had_wal = True
            self._start_wal()
            return saved
        except (sqlite3.Error, ValueError, KeyError, TypeError, OSError) as error:
            store_error = self._translate_error(error)
            self._discard_connection(store_error)
            raise store_error from error
        except StoreError as error:
            self._discard_connection(error)
            raise

    def _discard_connection(self, error: StoreError) -> None:
        """Close a file that can't be used. A file that is merely unavailable stays open, to be opened again, once it
        may hold something: closing it would remove its write-ahead log.
        """
        if self._connection is not None and (
            not isinstance(error, StoreUnavailableError) or not self._had_wal and self._is_new()
        ):
            with contextlib.suppress(sqlite3.Error):
                self._connection.close()
            self._connection = None  # type: ignore[assignment]

    def _is_new(self) -> bool:
        """Whether the file certainly holds nothing yet: a first commit creates at least two pages."""
        return not self._commit_frames_at_open and (not self.path.exists() or self.path.stat().st_size < 8192)

    def _translate_error(self, error: Exception) -> StoreError:
        """The StoreError for an error: either the disk refuses, or the content is damaged."""
        code = getattr(error, "sqlite_errorcode", None)
        if isinstance(error, OSError) or code is not None and code & 0xFF not in DAMAGE_CODES:
            return StoreUnavailableError(self.path, str(error))
        return StoreDamagedError(self.path, f"unreadable: {error}")

    def _wal_size(self) -> int | None:
        """The size of the write-ahead log in bytes; None if there is none. StoreDamagedError if its database file is
        missing.
        """
        log = self.path.with_name(FILE_NAME + "-wal")
        size = log.stat().st_size if log.exists() else None
        if size and (not self.path.exists() or not self.path.stat().st_size):
            raise StoreDamagedError(self.path, "file is missing although its write-ahead log exists")
        return size

    def _read_commit_frames(self) -> list[int]:
        """The numbers, from 1, of the write-ahead log's frames that are marked as the end of a commit."""
        frame_numbers: list[int] = []
        if not self._wal_size():
            return frame_numbers
        with open(self.path.with_name(FILE_NAME + "-wal"), "rb") as file:
            header = file.read(32)
            if len(header) < 32 or not _is_wal_header_valid(header):
                # A log that was restarted and whose first sync did not complete: the file has everything from before.
                return frame_numbers
            size, salts, number = int.from_bytes(header[8:12]), header[16:24], 0
            while len(frame := file.read(24)) == 24:
                number += 1
                if frame[4:8] != bytes(4) and frame[8:16] == salts:
                    frame_numbers.append(number)
                file.seek(size, os.SEEK_CUR)
        return frame_numbers

    def _start_wal(self) -> None:
        """Start this incarnation's write-ahead log. StoreDamagedError if the former one has commits after its first bad
        frame.

        A commit is synced before the next one starts, so at most the last one may be torn.
        """
        if self.journal != "wal":
            return
        intact_frames = self._connection.execute("PRAGMA wal_checkpoint(PASSIVE)").fetchone()[1]
        if sum(frames > intact_frames for frames in self._commit_frames_at_open) > MAX_TORN_FRAMES:
            raise StoreDamagedError(self.path, f"write-ahead log is damaged after frame {intact_frames}")
        self._commit_frames_at_open = []
        # The file was closed properly, or it is from before this row existed.
        if self._read_pairs("meta").get("journal") != "wal":
            self._put("meta", "journal", "wal")
        self._truncate_wal()

    def _truncate_wal(self) -> None:
        """Copy everything from the write-ahead log into the file, and restart the log."""
        if self._connection.execute("PRAGMA wal_checkpoint(TRUNCATE)").fetchone()[0] and self.journal == "wal":
            raise StoreUnavailableError(self.path, "can't truncate the write-ahead log")
        self._is_wal_uncertain = False

    def set_aside(self) -> None:
        """Durably rename a damaged file that is not open; the next `open` creates another.

        The file is renamed before its journals, because by itself it might read as intact and from an earlier time. A
        file set aside earlier is replaced. The copy is truncated if it takes more than half of `disk_mb`.
        StoreUnavailableError if the disk refuses.
        """
        folder = self.path.parent
        try:
            for end in FILE_SUFFIXES[1:]:
                if (folder / FILE_NAME).exists():
                    (folder / (DAMAGED_FILE_NAME + end)).unlink(missing_ok=True)
            for end in FILE_SUFFIXES:
                if (folder / (FILE_NAME + end)).exists():
                    os.replace(folder / (FILE_NAME + end), folder / (DAMAGED_FILE_NAME + end))
                    self._sync_folder()
            if self.size() > self.disk_mb * 1e6 / 2:
                for path in folder.glob(DAMAGED_FILE_NAME + "*"):
                    os.truncate(path, 0)
        except OSError as error:
            raise StoreUnavailableError(self.path, str(error)) from error

    def _connect(self) -> None:
        """Open the file, or continue with one whose opening was refused."""
        if self._connection is None:
            self._had_wal, self._commit_frames_at_open = self._wal_size() is not None, self._read_commit_frames()
            # psow=0: a commit starts on a sector of its own, so that a commit torn while written damages nothing stored
            # before.
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
        if self._is_new():
            execute("PRAGMA auto_vacuum=INCREMENTAL")  # this writes, so not at each start
        if (mode := execute(f"PRAGMA journal_mode={self.journal}").fetchone()[0]) != self.journal:
            raise StoreUnavailableError(self.path, f"can't change the journal mode from {mode}")
        execute(f"PRAGMA synchronous={SYNCHRONOUS_MODES.get(self.journal, 'EXTRA')}")
        execute("PRAGMA wal_autocheckpoint=0")  # done by `_reclaim_space`, which notices a failure
        execute(f"PRAGMA journal_size_limit={self._max_wal_bytes}")
        execute("PRAGMA mmap_size=0")
        execute("PRAGMA secure_delete=OFF")  # some builds enable it, and would overwrite each dropped page with zeros
        execute("BEGIN IMMEDIATE")
        execute("COMMIT")

    def _create(self, first_start: bool, address: str, founders: dict[str, str]) -> None:
        me, members = f"{address}#founder", dict(founders)
        if not first_start or me not in founders:
            me, members = f"{address}#{os.urandom(6).hex()}", {}
        self._connection.execute("BEGIN IMMEDIATE")
        for statement in SCHEMA.split(";")[:-1]:
            self._connection.execute(statement)
        self._put("meta", "format", FORMAT_VERSION)
        self._put("meta", "me", me)
        self._put("meta", "journal", "wal" if self.journal == "wal" else "none")
        self._put_snapshot((0, 0, members, None))
        self._put_state(self._state)
        self._connection.execute("COMMIT")
        self._sync_folder()

    def _sync_folder(self) -> None:
        _fsync_folder(self.path.parent)

    # ---- reading

    def _damaged(self, reason: str) -> StoreDamagedError:
        return StoreDamagedError(self.path, reason)

    def _read_pairs(self, table: str) -> dict[str, str]:
        pairs = {}
        for key, value, crc in self._connection.execute(f"SELECT key, value, crc FROM {table}"):
            if crc != checksum(key, value):
                raise self._damaged(f"row {key!r} of {table} is damaged")
            pairs[key] = value
        return pairs

    def _load(self) -> StoredState:
        check = self._connection.execute("PRAGMA quick_check(1)").fetchone()[0]
        if check != "ok":
            raise self._damaged(check)
        meta = self._read_pairs("meta")
        if meta.get("format") != FORMAT_VERSION:
            raise StoreError(
                self.path, f"file format {meta.get('format')} is not supported, this version reads {FORMAT_VERSION}"
            )
        if meta.get("journal") == "wal" and not self._had_wal:
            raise self._damaged("write-ahead log is missing")
        state = self._state = _State(*json.loads(meta["state"]))
        snapshots = self._connection.execute("SELECT idx, term, members, state, crc FROM snapshot").fetchall()
        if [row[0] for row in snapshots] != [state.snapshot_index]:
            raise self._damaged(f"snapshot {state.snapshot_index} is missing")
        index, term, members, body, crc = snapshots[0]
        if crc != checksum(index, term, members, body):
            raise self._damaged("the snapshot is damaged")
        entries = []
        for row in self._connection.execute("SELECT idx, term, kind, body, crc FROM entries ORDER BY idx"):
            if row[4] != checksum(*row[:4]):
                raise self._damaged(f"entry {row[0]} is damaged")
            entries.append(Entry(row[0], row[1], row[2], json.loads(row[3])))
        if [entry.index for entry in entries] != list(range(index + 1, state.last + 1)):
            raise self._damaged(f"entries do not run from {index + 1} to {state.last} without gaps")
        commit = int(meta.get("commit", "0"))  # missing in files from before this row existed
        if commit > state.last:
            raise self._damaged(f"entry {commit} is committed, but the last one is {state.last}")
        return StoredState(
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
        self._put("meta", "state", _to_json([state.term, state.vote, state.snapshot_index, state.last]))

    def _put_snapshot(self, snapshot: tuple[int, int, dict[str, str], dict | None]) -> None:
        index, term, members, state = snapshot[0], snapshot[1], _to_json(snapshot[2]), _to_json(snapshot[3])
        self._connection.execute("DELETE FROM snapshot")
        self._connection.execute(
            "INSERT INTO snapshot VALUES (?, ?, ?, ?, ?)",
            (index, term, members, state, checksum(index, term, members, state)),
        )

    def write(self, save: Save) -> None:
        """Write one transaction, durable on return; may be repeated unchanged.

        Raises StoreUnavailableError if the disk refuses or the files would exceed `disk_mb`, StoreDamagedError if the
        file has become unusable, and StoreError if the save does not follow the stored log; nothing of it is then
        written.
        """
        bodies = [_to_json(entry.body) for entry in save.entries]
        size = sum(len(body.encode()) + 64 for body in bodies)
        if save.snapshot is None and bodies and self.size() + size > self.disk_mb * 1e6:
            raise StoreUnavailableError(self.path, f"files take {self.size()} bytes of {self.disk_mb} MB allowed")
        old = self._state
        state = _State(save.term, save.vote, old.snapshot_index, old.last)
        execute = self._connection.execute
        try:
            if self._is_wal_uncertain or save.snapshot is not None:  # a snapshot needs the space
                self._truncate_wal()
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
                    raise StoreError(self.path, f"entry {save.entries[0].index} does not follow {state.last}")
                state.last = max(state.last, save.entries[-1].index)
            self._put_state(state)
            if save.commit:
                self._put("meta", "commit", str(save.commit))
            execute("COMMIT")
        except (sqlite3.Error, StoreError) as error:
            self._is_wal_uncertain = True
            if self._connection.in_transaction:
                execute("ROLLBACK")
            raise error if isinstance(error, StoreError) else self._translate_error(error) from error
        self._state = state
        self._reclaim_space(save.snapshot is not None)

    def _reclaim_space(self, compacted: bool) -> None:
        """Copy a long write-ahead log into the file, and return unused pages to the disk. What was reported as stored
        does not depend on this: a failure costs space, and the next write restarts the log.
        """
        execute = self._connection.execute
        try:
            if compacted:
                self._truncate_wal()
                # Returning a page may move another one, so a step returns half as many pages as the log may hold.
                remaining_pages, step_pages = MAX_VACUUM_PAGES, max(1, self._max_wal_bytes // 4096 // 2)
                while remaining_pages > 0 and (free := execute("PRAGMA freelist_count").fetchone()[0]) > SPARE_PAGES:
                    # Each step of the pragma returns one page, as a row without columns; `execute` would fetch only the
                    # first.
                    self._connection.executescript(f"PRAGMA incremental_vacuum({min(free - SPARE_PAGES, step_pages)})")
                    self._truncate_wal()
                    remaining_pages -= step_pages
            elif self.journal == "wal" and self.path.with_name(FILE_NAME + "-wal").stat().st_size > self._max_wal_bytes:
                execute("PRAGMA wal_checkpoint(PASSIVE)").fetchone()
        except (sqlite3.Error, OSError, StoreUnavailableError):
            self._is_wal_uncertain = True

    def size(self) -> int:
        """The size on disk in bytes of the file, its journals and what was set aside."""
        files = [self.path.with_name(name + end) for name in (FILE_NAME, DAMAGED_FILE_NAME) for end in FILE_SUFFIXES]
        return sum(path.stat().st_size for path in files if path.exists())

    def note(self, key: str, value: str | None = None) -> str | None:
        """The text stored under `key`, or None; with a `value`, store that first, durably. For small values of other
        packages.
        """
        try:
            if value is not None:
                if self._is_wal_uncertain:
                    self._truncate_wal()
                self._put("notes", key, value)
            return self._read_pairs("notes").get(key)
        except sqlite3.Error as error:
            self._is_wal_uncertain = True
            raise self._translate_error(error) from error

    def close(self) -> None:
        """Close the file, which is then complete without a journal. StoreUnavailableError if the disk refuses: it stays
        open.
        """
        try:
            self._put("meta", "journal", "none")
        except sqlite3.Error as error:
            raise self._translate_error(error) from error
        self._connection.close()
        self._connection = None  # type: ignore[assignment]
        self._sync_folder()


def read(data_dir: str | Path) -> StoredState:
    """Read what a folder holds from a copy: nothing is written there, and its files need not have been closed properly.

    StoreError if there is no consensus file, or if it can't be trusted.
    """
    folder = Path(data_dir)
    if not (folder / FILE_NAME).is_file():
        raise StoreError(folder / FILE_NAME, "is not there")
    with tempfile.TemporaryDirectory() as copied:
        try:
            for end in ("", "-wal", "-journal"):
                if (path := folder / (FILE_NAME + end)).is_file():
                    shutil.copyfile(path, Path(copied) / path.name)
        except OSError as error:
            raise StoreError(folder / FILE_NAME, error.strerror or str(error)) from error
        store = Store()
        try:
            saved = store.open(copied, False, "", {})
        except StoreError as error:
            raise StoreError(folder / FILE_NAME, error.reason) from None
        store.close()
        return saved


def main() -> None:
    """Measure a commit of one entry of 200 bytes in each journal mode, in the folder given as argument."""
    import sys
    import time

    for journal in ("wal", "truncate", "persist", "delete"):
        with tempfile.TemporaryDirectory(dir=sys.argv[1]) as folder:
            store = Store(journal=journal)
            store.open(folder, True, "a", {"a#founder": "a:1"})
            commit_us = []
            for index in range(1, 2001):
                save = Save(index, 1, None, [Entry(index, 1, "command", {"key": "x" * 200})], None, None)
                start = time.perf_counter()
                store.write(save)
                commit_us.append((time.perf_counter() - start) * 1e6)
            store.close()
            commit_us.sort()
            print(
                f"{journal:9}{SYNCHRONOUS_MODES.get(journal, 'EXTRA'):6} "
                f"median {commit_us[1000]:.0f} us, 99 % {commit_us[1980]:.0f} us"
            )


if __name__ == "__main__":
    main()
