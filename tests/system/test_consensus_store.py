"""The consensus store's file: what a power loss at any moment may leave of it, and what is then read back.

The files are copied at moments at which each write was synced; sectors written after that are reverted, zeroed or
mixed, as a disk may do with what was in its cache.
"""

import contextlib
import os
import random
import shutil
import sqlite3
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any
from unittest import mock

from knotwalk.configuration.change_requests import MAX_DISK_FRACTION
from knotwalk.consensus.raft_types import Entry, Save, StoredState
from knotwalk.consensus.store import (
    DAMAGED_FILE_NAME,
    FILE_NAME,
    Store,
    StoreDamagedError,
    StoreError,
    StoreUnavailableError,
)
from tests.standins.disk import FULL, REFUSED, FaultyDisk, FolderNames

FOUNDERS = {"10.1.0.15#founder": "10.1.0.15:7101", "10.1.0.16#founder": "10.1.0.16:7101"}
SECTOR = 512
Files = dict[str, bytes]


def save(number: int, count: int = 1, term: int = 1, size: int = 40) -> Save:
    """A save with `count` entries from `number` on."""
    entries = [Entry(one, term, "command", {"n": one, "x": "é" * size}) for one in range(number, number + count)]
    return Save(number, term, "10.1.0.15#founder", entries, None, None)


class StoreCase(unittest.TestCase):
    """A test with a folder of its own."""

    def setUp(self) -> None:
        self.folder = Path(tempfile.mkdtemp(dir="/dev/shm" if os.path.isdir("/dev/shm") else None))
        self.addCleanup(shutil.rmtree, self.folder)

    def open(self, folder: Path | None = None, **how) -> tuple[Store, StoredState]:  # type: ignore[no-untyped-def]
        """Open the store in a folder."""
        store = Store(**how)
        return store, store.open(folder or self.folder, True, "10.1.0.15", FOUNDERS)

    def files(self) -> Files:
        """The files of the folder now."""
        return {one.name: one.read_bytes() for one in self.folder.iterdir()}

    def after(self, files: Files) -> StoredState | None:
        """What a start reads from these files; None if it reports them as damaged."""
        folder = Path(tempfile.mkdtemp(dir=self.folder.parent))
        try:
            for name, content in files.items():
                (folder / name).write_bytes(content)
            try:
                store, saved = self.open(folder)
            except StoreError:
                return None
            store.close()
            return saved
        finally:
            shutil.rmtree(folder)


def torn(old: bytes, new: bytes, rng: random.Random) -> bytes:
    """A file written from `old` to `new` without a sync: each sector may be either, or zeros past the old end."""
    size = rng.choice((len(old), len(new), rng.randint(min(len(old), len(new)), len(new))))
    new = new.ljust(size, b"\0")
    parts = []
    for start in range(0, size, SECTOR):
        end = min(start + SECTOR, size)
        before = old[start:end].ljust(end - start, b"\0")
        parts.append(before if rng.random() < 0.5 else new[start:end])
    return b"".join(parts)


class TestPower(StoreCase):
    """Power losses."""

    def test_what_was_kept_outlives_a_torn_write(self) -> None:
        rng = random.Random(1)
        store, _ = self.open()
        before = self.files()
        for number in range(1, 40):
            store.write(save(number, size=rng.choice((10, 300, 3000))))
            now = self.files()
            self.assertEqual(now[FILE_NAME], before[FILE_NAME], "the write-ahead log alone is written")
            for _ in range(6):
                wal = torn(before.get(FILE_NAME + "-wal", b""), now[FILE_NAME + "-wal"], rng)
                saved = self.after({**now, FILE_NAME + "-wal": wal})
                self.assertIsNotNone(saved)
                assert saved is not None
                self.assertIn(len(saved.entries), (number - 1, number))
                self.assertEqual(saved.me, "10.1.0.15#founder")
            saved = self.after(now)
            assert saved is not None
            self.assertEqual([one.index for one in saved.entries], list(range(1, number + 1)))
            before = now
        store.close()

    def test_what_was_kept_outlives_a_torn_checkpoint(self) -> None:
        rng = random.Random(2)
        store, _ = self.open()
        for number in range(1, 60):
            store.write(save(number, size=rng.choice((10, 300, 3000))))
            before = self.files()
            if number % 6:
                continue
            store._connection.execute("PRAGMA wal_checkpoint(PASSIVE)").fetchall()
            middle = self.files()
            self.assertNotEqual(before[FILE_NAME], middle[FILE_NAME])
            self.assertEqual(before[FILE_NAME + "-wal"], middle[FILE_NAME + "-wal"])
            for _ in range(6):  # the file is synced before the log restarts
                saved = self.after({**before, FILE_NAME: torn(before[FILE_NAME], middle[FILE_NAME], rng)})
                self.assertEqual(saved and len(saved.entries), number)
            store.write(save(number, term=2))  # the log restarts, over its old frames
            now = self.files()
            self.assertEqual(now[FILE_NAME], middle[FILE_NAME])
            for _ in range(12):  # its header is synced before its frames are written
                started = now[FILE_NAME + "-wal"][:32] + middle[FILE_NAME + "-wal"][32:]
                saved = self.after({**now, FILE_NAME + "-wal": torn(started, now[FILE_NAME + "-wal"], rng)})
                assert saved is not None
                self.assertEqual(len(saved.entries), number)
                self.assertIn(saved.entries[-1].term, (1, 2))
        store.close()

    def test_a_removed_log_that_comes_back_changes_nothing(self) -> None:
        store, _ = self.open()
        for number in range(1, 20):
            store.write(save(number))
        before = self.files()
        store.close()
        closed = self.files()
        self.assertNotIn(FILE_NAME + "-wal", closed)
        saved = self.after({**closed, FILE_NAME + "-wal": before[FILE_NAME + "-wal"]})
        self.assertEqual(saved and len(saved.entries), 19)
        store, _ = self.open()
        store.write(save(20))
        now = self.files()
        store.close()
        saved = self.after(now)
        self.assertEqual(saved and len(saved.entries), 20)

    def test_why_not_a_journal_that_is_removed(self) -> None:
        """Below synchronous=EXTRA the removal of a journal is not synced: the journal can come back, and take back a
        commit already reported.
        """
        path = self.folder / "other.sqlite"
        connection = sqlite3.connect(path, isolation_level=None)
        for pragma in ("journal_mode=DELETE", "synchronous=FULL", "cache_size=1"):
            connection.execute(f"PRAGMA {pragma}")
        connection.execute("CREATE TABLE t (x INTEGER PRIMARY KEY, y)")
        connection.execute("BEGIN")
        for one in range(200):
            connection.execute("INSERT INTO t VALUES (?, ?)", (one, "x" * 500))
        logs = (self.folder / "other.sqlite-journal").read_bytes()
        connection.execute("COMMIT")
        self.assertEqual(connection.execute("SELECT count(*) FROM t").fetchone()[0], 200)
        connection.close()
        (self.folder / "other.sqlite-journal").write_bytes(logs)
        connection = sqlite3.connect(path)
        self.assertEqual(connection.execute("SELECT count(*) FROM t").fetchone()[0], 0)
        connection.close()

    def test_a_first_start_that_was_cut_short_starts_over(self) -> None:
        store, _ = self.open()
        now = self.files()
        store.close()
        for cut in range(0, len(now[FILE_NAME + "-wal"]), 700):
            saved = self.after({**now, FILE_NAME + "-wal": now[FILE_NAME + "-wal"][:cut]})
            assert saved is not None
            self.assertEqual((saved.me, saved.members), ("10.1.0.15#founder", FOUNDERS))


class TestNumbered(StoreCase):
    """Faults at each numbered write, truncation, sync and removal, from the first start on."""

    ACTS = 20

    def act(self, store: Store, number: int) -> None:
        """One step of an incarnation: small and large entries, now and then a truncation, a snapshot or a note."""
        if number % 10 == 9:
            store.write(
                Save(
                    number,
                    number,
                    None,
                    save(number, term=number).entries,
                    None,
                    (number - 2, number - 2, FOUNDERS, {"x": "y" * 40_000}),
                )
            )
        elif number % 10 == 5:
            store.write(Save(number, number, None, save(number, term=number).entries, number, None))
            store.note("n", str(number))
        else:
            store.write(save(number, term=number, size=(10, 300, 3000)[number % 3]))

    def run_incarnations(self, disk: FaultyDisk, stored_steps: dict[int, int]) -> Store:
        """Run three incarnations on one folder, the last left open; repeat whatever is refused.

        `stored_steps`: number of disk operations -> last step reported as stored.
        """

        def until(work: Callable[[], Any]) -> Any:
            for _ in range(9):
                with contextlib.suppress(StoreUnavailableError):
                    return work()
            self.fail("refused for ever")

        for start in range(3):
            store = Store()
            saved = until(lambda: store.open(self.folder, start == 0, "10.1.0.15", FOUNDERS))
            self.assertEqual(saved.me, "10.1.0.15#founder")
            stored_steps[len(disk.done)] = start * self.ACTS
            for number in range(start * self.ACTS + 1, (start + 1) * self.ACTS + 1):
                until(lambda: self.act(store, number))
                stored_steps[len(disk.done)] = number
            if start == 0:
                until(store.close)
            elif start == 1:  # killed: SQLite's work on closing never happens
                files, at = self.files(), len(disk.done)
                store._connection.close()
                for name, content in files.items():
                    (self.folder / name).write_bytes(content)
                del disk.done[at:]
        return store

    def holds(self, files: Files, stored_steps: int, started: int) -> None:
        """A start from these files reads everything reported as stored, and nothing but what was started."""
        saved = self.after(files)
        self.assertIsNotNone(saved, "called damaged")
        assert saved is not None
        self.assertEqual(saved.me, "10.1.0.15#founder")
        self.assertIn(saved.term, range(stored_steps, started + 1))
        self.assertEqual(saved.entries[-1].index if saved.entries else 0, saved.term)

    def test_power_lost_after_each(self) -> None:
        disk, stored_steps, rng = FaultyDisk(), {0: 0}, random.Random(5)
        with disk.patch_store(self.folder):
            self.run_incarnations(disk, stored_steps)
        step, most = 0, len(disk.done)
        with FaultyDisk():
            for number in range(most):
                step = stored_steps.get(number, step)
                with self.subTest(number, done=disk.done[number - 1][:2]):
                    self.holds(disk.files_after_power_loss(number, rng, rng.random() < 0.3), step, step + 1)
        self.assertGreater(most, 500)

    def test_each_refused_or_the_disk_full_and_then_power_lost(self) -> None:
        disk, rng = FaultyDisk(), random.Random(6)
        with disk.patch_store(self.folder):
            self.run_incarnations(disk, {})
        most = len(disk.done)
        for number in range(0, most, 11):
            self.setUp()
            disk, stored_steps, codes = FaultyDisk(), {0: 0}, (REFUSED.get, lambda kind: FULL)
            times = rng.choice((1, 2, 4))
            disk.refuse = lambda at, kind: codes[number % 2](kind) or 0 if number <= at < number + times else 0
            with disk.patch_store(self.folder), self.subTest(number):
                store = self.run_incarnations(disk, stored_steps)  # noqa: F841  not closed: the disk fails under a running incarnation
            with FaultyDisk(), self.subTest(number):
                self.holds(self.files(), 3 * self.ACTS, 3 * self.ACTS)
                for cut in (number, number + times, *(rng.randrange(number, len(disk.done)) for _ in range(2))):
                    step = stored_steps[max(at for at in stored_steps if at <= cut)]
                    self.holds(disk.files_after_power_loss(cut, rng, rng.random() < 0.3), step, step + 1)


class TestFolder(StoreCase):
    """Folders that the store creates, as a claim group's are."""

    def test_each_folder_made_has_its_name_synced_before_the_file_is_there(self) -> None:
        with FolderNames() as names:
            connect = sqlite3.connect
            lost: list[list[str]] = []
            with mock.patch.object(
                sqlite3, "connect", lambda *a, **b: (lost.append(names.unsynced_folders()), connect(*a, **b))[1]
            ):
                self.open(self.folder / "data" / "claims-0")[0].close()
            self.assertEqual([one.name for one in names.made], ["data", "claims-0"])
            self.assertEqual(lost, [[]])

    def test_a_folder_whose_sync_was_refused_is_synced_by_the_next_opening(self) -> None:
        for refused in (1, 2):
            with self.subTest(refused), FolderNames(frozenset({refused})) as names:
                folder = self.folder / str(refused) / "claims-0"
                with self.assertRaises(StoreUnavailableError):
                    self.open(folder)
                self.open(folder)[0].close()
                self.assertEqual(names.unsynced_folders(), [])


class TestFile(StoreCase):
    """What the file holds and refuses."""

    def test_identities(self) -> None:
        saved = self.open()[1]
        self.assertEqual((saved.me, saved.term, saved.members), ("10.1.0.15#founder", 0, FOUNDERS))
        seen = set()
        for number, (first, address) in enumerate(((False, "10.1.0.15"), (True, "10.1.0.99"), (False, "10.1.0.15"))):
            store = Store()
            other = store.open(self.folder / str(number), first, address, FOUNDERS)
            self.assertTrue(other.me.startswith(address + "#") and other.me not in FOUNDERS)
            self.assertEqual(other.members, {})
            store.close()
            again = store.open(self.folder / str(number), True, "10.1.0.15", FOUNDERS)
            self.assertEqual(again, other, "an identity lasts")
            store.close()
            seen.add(other.me)
        self.assertEqual(len(seen), 3)

    def test_what_is_written_is_read(self) -> None:
        store, _ = self.open()
        store.write(save(1, 10))
        entries = [Entry(6, 3, "noop", {}), Entry(7, 3, "members", {"members": {"a": "b"}})]
        store.write(Save(2, 3, None, entries, 6, None))
        store.write(Save(3, 3, None, [], None, (4, 1, {"a": "A"}, {"state": ["é", 1.5]})))
        store.note("configuration", "x")
        store.close()
        store, saved = self.open()
        self.assertEqual((saved.term, saved.vote, saved.snapshot_index, saved.snapshot_term), (3, None, 4, 1))
        self.assertEqual((saved.snapshot, saved.members), ({"state": ["é", 1.5]}, {"a": "A"}))
        self.assertEqual([(one.index, one.term) for one in saved.entries], [(5, 1), (6, 3), (7, 3)])
        self.assertEqual((store.note("configuration"), store.note("other")), ("x", None))
        store.write(Save(4, 4, "v", [Entry(101, 4, "noop", {})], 5, (100, 4, {}, {})))  # far ahead
        store.close()
        saved = self.open()[1]
        self.assertEqual((saved.snapshot_index, [one.index for one in saved.entries]), (100, [101]))

    def test_how_far_the_log_is_committed_is_read_and_a_file_that_does_not_tell_is_whole(self) -> None:
        store, saved = self.open()
        self.assertEqual(saved.commit, 0)
        store.write(Save(1, 1, None, save(1, 6).entries, None, None, 4))
        store.close()
        store, saved = self.open()
        self.assertEqual(saved.commit, 4)
        store._connection.execute("DELETE FROM meta WHERE key = 'commit'")  # as versions before this row left it
        store.write(Save(2, 1, None, [], None, (2, 1, {}, {})))
        store.close()
        store, saved = self.open()
        self.assertEqual((saved.commit, len(saved.entries)), (2, 4))
        store._put("meta", "commit", "7")
        store.close()
        with self.assertRaisesRegex(StoreDamagedError, "entry 7 is committed"):
            self.open()

    def test_a_save_may_be_repeated_and_must_follow(self) -> None:
        store, _ = self.open()
        store.write(save(1, 3))
        store.write(save(1, 3))
        with self.assertRaisesRegex(StoreError, "does not follow"):
            store.write(save(9))
        store.close()
        self.assertEqual(len(self.open()[1].entries), 3)

    def test_damage_is_told_with_the_file_and_what(self) -> None:
        store, _ = self.open()
        store.write(save(1, 30))
        store.close()
        good = self.files()[FILE_NAME]
        changes = (
            "UPDATE entries SET body = '{}' WHERE idx = 7",
            "DELETE FROM entries WHERE idx = 30",
            "DELETE FROM entries WHERE idx = 3",
            "UPDATE meta SET value = '[1,null,0,29]' WHERE key = 'state'",
            "UPDATE meta SET value = '10.1.0.99#x' WHERE key = 'me'",
            "DELETE FROM meta",
            "DELETE FROM snapshot",
            "UPDATE snapshot SET members = '{}'",
            "UPDATE entries SET term = 2 WHERE idx = 1",
        )
        for change in changes:
            (self.folder / FILE_NAME).write_bytes(good)
            connection = sqlite3.connect(self.folder / FILE_NAME)
            connection.execute(change)
            connection.commit()
            connection.close()
            for leftover in self.folder.glob("*-*"):
                leftover.unlink()
            with self.subTest(change), self.assertRaisesRegex(StoreError, FILE_NAME):
                self.open()
        intact = self.after({FILE_NAME: good})
        rng = random.Random(3)
        for _ in range(60):
            bad = bytearray(good)
            start = rng.randrange(0, len(bad), SECTOR)
            bad[start : start + SECTOR] = bytes(SECTOR) if rng.random() < 0.5 else os.urandom(SECTOR)
            self.assertIn(self.after({FILE_NAME: bytes(bad)}), (None, intact))
        self.assertIsNone(self.after({FILE_NAME: good[: len(good) // 2]}))

    def test_one_process_at_a_time(self) -> None:
        store, _ = self.open()
        with self.assertRaisesRegex(StoreUnavailableError, "locked"):
            self.open()
        store.close()

    def test_a_log_that_is_missing_or_damaged_within_is_seen(self) -> None:
        store, _ = self.open()
        for number in range(1, 20):
            store.write(save(number))
        now = self.files()
        store.close()
        self.assertIsNone(
            self.after({FILE_NAME: now[FILE_NAME]}), "by itself the file reads as intact, and from an earlier time"
        )
        self.assertIsNone(self.after({FILE_NAME + "-wal": now[FILE_NAME + "-wal"]}))
        intact, length = self.after(now), len(now[FILE_NAME + "-wal"])
        for start in range(32 + SECTOR, length, 4 * SECTOR):
            log = bytearray(now[FILE_NAME + "-wal"])
            log[start : start + SECTOR] = bytes(255 - one for one in log[start : start + SECTOR])
            saved = self.after({**now, FILE_NAME + "-wal": bytes(log)})
            if start < length - 6 * 4120:
                self.assertIsNone(saved, start)
            else:  # it may be a torn commit
                self.assertTrue(saved is None or saved == intact or len(saved.entries) in (17, 18), start)

    def test_what_is_set_aside_makes_another_machine_even_at_a_first_start(self) -> None:
        disk, rng = FaultyDisk(), random.Random(7)
        with disk.patch_store(self.folder):
            store, _ = self.open()
            store.write(save(1, 30))
            store.close()
            good = self.files()[FILE_NAME]
            (self.folder / FILE_NAME).write_bytes(good[: len(good) // 2].ljust(len(good), b"x"))
            for kind in ("x", "rename"):
                disk.refuse = lambda at, one: int(one == kind)
                with self.assertRaises(StoreUnavailableError if kind == "rename" else StoreDamagedError):
                    store.set_aside() if kind == "rename" else self.open()
            disk.refuse, started = lambda at, one: 0, len(disk.done)
            store.set_aside()
            saved = self.open()[1]
            self.assertTrue(saved.me.startswith("10.1.0.15#") and saved.me not in FOUNDERS)
            self.assertEqual((saved.members, saved.entries), ({}, []))
            self.assertIn(DAMAGED_FILE_NAME, self.files())
        with FaultyDisk():
            for number in range(started, len(disk.done)):
                for _ in range(4):  # whatever a power loss brings back, the old file never reads as intact again
                    files = disk.files_after_power_loss(number, rng, rng.random() < 0.3)
                    after = self.after(files)
                    if FILE_NAME in files and files[FILE_NAME] == good:
                        continue  # the damage itself was not written through this disk
                    self.assertTrue(after is None or after.me not in FOUNDERS, number)
        small, _ = self.open(Path(tempfile.mkdtemp(dir=self.folder)), disk_mb=0.03)
        small._connection.close()
        small.set_aside()
        self.assertLess(small.size(), 100)

    def test_its_size_is_bounded_by_compaction(self) -> None:
        store, _ = self.open(disk_mb=3)
        with self.assertRaisesRegex(StoreError, "MB allowed"):
            for number in range(1, 10000, 10):
                store.write(save(number, 10, size=500))
        last = number - 1
        store.write(Save(0, 1, None, [], None, (last, 1, {}, {"x": 1})))
        self.assertLess(store.size(), 2_000_000)
        store.write(save(last + 1, 10, size=500))
        for turn in range(20):
            first = last + 1
            last = first + 199
            store.write(save(first, 200, size=500))
            store.write(Save(0, 1, None, [], None, (last, 1, {}, {"x": 1})))
        self.assertLess(store.size(), 2_000_000)
        store.close()

    def test_a_disk_of_that_size_is_never_full(self) -> None:
        """Compacted as the program does it: after a quarter of the disk, with a snapshot of a quarter."""
        disk, last = FaultyDisk(), 0
        with disk.patch_store(self.folder):
            disk.max_bytes = 3_000_000
            store, _ = self.open(disk_mb=3)
            for turn in range(12):
                for _ in range(25):
                    store.write(save(last + 1, 10, size=1500))
                    last += 10
                store.write(Save(0, 1, None, [], None, (last, 1, {}, {"x": os.urandom(375_000).hex()})))
            self.assertNotIn("no write", {one[0] for one in disk.done})
            store._connection.close()

    def test_three_of_the_largest_orders_at_once_leave_room(self) -> None:
        """They come before the log is compacted once, and again after each restart, beside a state of that size."""
        disk, last = FaultyDisk(), 0
        largest = int(3_000_000 * MAX_DISK_FRACTION) // 2
        with disk.patch_store(self.folder):
            disk.max_bytes = 3_000_000
            store, _ = self.open(disk_mb=3)
            for turn in range(6):
                log = [Entry(last + n, 1, "command", {"x": os.urandom(largest).hex()}) for n in (1, 2, 3)]
                for entry in log:
                    store.write(Save(0, 1, None, [entry], None, None))
                last += 3
                store.write(Save(0, 1, None, [], None, (last, 1, {}, {"x": os.urandom(largest).hex()})))
                if turn % 2:
                    store.close()
                    store, _ = self.open(disk_mb=3)
            self.assertNotIn("no write", {one[0] for one in disk.done})
            store._connection.close()


if __name__ == "__main__":
    unittest.main()
