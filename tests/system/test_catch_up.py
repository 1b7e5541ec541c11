"""A machine that is far behind catches up: by parts, over slow and broken links, across leaders, restarts and disk
faults.
"""

import asyncio
import json
import random
import shutil
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any
from unittest import mock

from knotwalk.consensus import leading, machine, snapshot_transfer
from knotwalk.consensus.log import MAX_BATCH_BYTES
from knotwalk.consensus.machine import Machine
from knotwalk.consensus.raft_types import Entry, RaftSettings, Save, Send, StoredState
from knotwalk.consensus.snapshot_transfer import (
    INITIAL_PART_BYTES,
    MAX_PART_BYTES,
    MIN_PART_BYTES,
    PART_TIMEOUT_S,
    IncomingTransfer,
    InvalidTransferError,
    OutgoingTransfer,
    Part,
    decode,
    encode,
)
from knotwalk.consensus.store import Store, StoreUnavailableError
from knotwalk.control_plane import compaction
from knotwalk.control_plane.consensus_driver import PEER_CALL_TIMEOUT_S, ConsensusDriver
from tests.standins.disk import FULL, REFUSED, FaultyDisk
from tests.system.cluster import Cluster, Node, ViolationError, inject_faults

TWO_MBIT = 250_000  # bytes per second
MAX_HEAD_BYTES = 600  # bytes of a message beside its part or entries
FOUNDERS = {"10.1.0.15#founder": "10.1.0.15:7700"}


class SlowCluster(Cluster):
    """A cluster with large states, and links to one machine that carry a limited number of bytes per second, one
    message after another. A message whose call would time out uses the link's capacity nevertheless, and is lost.
    """

    def __init__(self, seed: int, filler: int = 1_000_000, **named: Any) -> None:
        self.rates: dict[str, int] = {}
        self.free: dict[str, float] = {}
        self.lengths: list[int] = []
        self.parts: list[dict] = []
        self.filler = random.Random(seed).randbytes(filler // 2).hex()
        super().__init__(seed, **named)

    def _post(self, sender: str, address: str, text: str) -> None:
        self.lengths.append(len(text))
        if '"type": "part"' in text:
            self.parts.append(json.loads(text))
        rate = self.rates.get(address) or self.rates.get(sender)
        if rate is None:
            super()._post(sender, address, text)
            return
        link = address + sender
        begin = max(self.now, self.free.get(link, 0.0))
        if begin - self.now > PEER_CALL_TIMEOUT_S:
            return  # timed out before its first byte was sent
        end = begin + len(text) / rate
        self.free[link] = min(end, self.now + PEER_CALL_TIMEOUT_S)
        if end - self.now <= PEER_CALL_TIMEOUT_S:
            self._later(end - self.now, lambda: Cluster._post(self, sender, address, text))

    def compact(self, address: str) -> None:
        """The application compacts the log with its snapshot."""
        node = self.nodes[address]
        assert node.machine is not None
        node.machine.compact(node.applied, {"digest": node.digest, "filler": self.filler})
        self._carry_out(node)

    def lead(self) -> Node:
        """Wait for a leader that has committed an entry of its term."""
        self.run(
            10, lambda: (one := self.leader()) is not None and one.machine is not None and one.machine.is_commit_current
        )
        found = self.leader()
        assert found is not None
        return found

    def change(self, count: int, length: int = 10) -> Node:
        """Commit a number of changes."""
        leader = self.lead()
        for number in range(count):
            self.propose(leader.address, {"n": number, "x": "y" * length})
            if number % 50 == 0:
                self.run(0.05)
        self.run(0.5)
        return leader

    def behind(self, rate: int | None = None, compact: tuple[str, ...] = ()) -> Node:
        """Return a machine that was down while many changes were committed and the leader (or all of `compact`)
        compacted its log; it has just restarted, behind a link of this rate.
        """
        leader = self.lead()
        lost = next(node for node in self.nodes.values() if node is not leader)
        self.stop(lost.address)
        self.change(1200)
        for node in self.nodes.values():
            if node is not lost and (node is leader or compact):
                self.compact(node.address)
        if rate is not None:
            self.rates[lost.address] = rate
        self.start(lost.address)
        return lost

    def caught_up(self, node: Node) -> Callable[[], bool]:
        """Whether a machine has everything committed."""
        return lambda: (leader := self.leader()) is not None and node.applied == leader.applied > 0

    def offset(self) -> int:
        """The offset of the last part sent."""
        return self.parts[-1]["offset"] if self.parts else 0


class TestLinks(unittest.TestCase):
    """Faults between a leader and a machine that catches up."""

    def test_two_megabit_carry_a_snapshot_without_an_election(self) -> None:
        cluster = SlowCluster(1)
        lost = cluster.behind(TWO_MBIT)
        leader = cluster.lead()
        assert leader.machine is not None
        term = leader.machine.term
        self.assertTrue(cluster.run(20, cluster.caught_up(lost)))
        cluster.run(0.5)
        self.assertEqual(leader.machine.term, term)
        self.assertGreater(lost.disk.saved.snapshot_index, 1000)
        self.assertLess(max(len(one["text"]) for one in cluster.parts), TWO_MBIT * PEER_CALL_TIMEOUT_S)
        sent = sum(len(one["text"]) for one in cluster.parts)
        self.assertLess(sent, 1.2 * cluster.parts[0]["size"], "what had come was not sent again")

    def test_two_megabit_carry_hundreds_of_entries_and_long_ones_without_an_election(self) -> None:
        for count, length in ((400, 2_000), (4, 700_000)):
            with self.subTest(count):
                cluster = SlowCluster(2)
                leader = cluster.lead()
                assert leader.machine is not None
                term = leader.machine.term
                lost = next(node for node in cluster.nodes.values() if node is not leader)
                cluster.stop(lost.address)
                cluster.change(count, length)
                cluster.rates[lost.address] = TWO_MBIT
                cluster.start(lost.address)
                self.assertTrue(cluster.run(20, cluster.caught_up(lost)))
                self.assertEqual((leader.machine.term, lost.disk.saved.snapshot_index), (term, 0))

    def test_a_long_entry_goes_in_parts_where_the_link_is_fast_too(self) -> None:
        cluster = SlowCluster(3)
        cluster.lead()
        cluster.change(1, 3 * MAX_BATCH_BYTES)
        self.assertTrue(cluster.run(2, cluster.is_settled))
        self.assertIn("part", cluster.sent_counts)
        self.assertLess(max(cluster.lengths), MAX_BATCH_BYTES + MAX_HEAD_BYTES)

    def test_a_snapshot_cut_off_in_the_middle_goes_on_where_it_was(self) -> None:
        for seconds in (0.05, 1.0, 20.0):
            with self.subTest(seconds):
                cluster = SlowCluster(4)
                lost = cluster.behind(TWO_MBIT)
                self.assertTrue(cluster.run(20, lambda: cluster.offset() > 400_000))
                leader, before = cluster.lead(), len(cluster.parts)
                reached = cluster.parts[-1]["offset"]
                cluster.cuts |= {(leader.address, lost.address), (lost.address, leader.address)}
                cluster.run(seconds)
                cluster.cuts.clear()
                self.assertTrue(cluster.run(30, cluster.caught_up(lost)))
                again = [one["offset"] for one in cluster.parts[before:]]
                self.assertGreaterEqual(min(again), reached)
                self.assertEqual(len({one["digest"] for one in cluster.parts}), 1)

    def test_parts_lost_doubled_and_reordered(self) -> None:
        for seed in range(5):
            with self.subTest(seed):
                cluster = SlowCluster(seed, 200_000)
                lost = cluster.behind()
                cluster.loss, cluster.duplication, cluster.jitter_s = 0.2, 0.3, 0.1
                cluster.run(5)
                cluster.jitter_s = 0.02
                self.assertTrue(cluster.run(60, cluster.caught_up(lost)))
                cluster.run(0.5)
                self.assertGreater(lost.disk.saved.snapshot_index, 1000)

    def test_one_encoded_copy_goes_to_all(self) -> None:
        cluster = SlowCluster(5, count=5)
        leader = cluster.lead()
        others = [node for node in cluster.nodes.values() if node is not leader][:2]
        for node in others:
            cluster.stop(node.address)
        cluster.change(1200)
        cluster.compact(leader.address)
        with mock.patch.object(leading, "encode", wraps=encode) as encoded:
            for node in others:
                cluster.start(node.address)
            self.assertTrue(cluster.run(20, cluster.is_settled))
        self.assertEqual(encoded.call_count, 1)
        self.assertEqual({one["to"] for one in cluster.parts}, {node.disk.saved.me for node in others})


class TestChanges(unittest.TestCase):
    """Changes at either end while a snapshot is being transferred."""

    def half(self, cluster: SlowCluster, **named: Any) -> Node:
        lost = cluster.behind(TWO_MBIT, **named)
        self.assertTrue(cluster.run(20, lambda: cluster.offset() > 400_000))
        return lost

    def test_another_leader_with_the_same_snapshot_goes_on(self) -> None:
        cluster = SlowCluster(6)
        lost = self.half(cluster, compact=("all",))
        leader, before = cluster.lead(), len(cluster.parts)
        cluster.stop(leader.address)
        self.assertTrue(cluster.run(60, cluster.caught_up(lost)))
        after = [one for one in cluster.parts[before:] if one["from"] != leader.disk.saved.me]
        self.assertEqual({one["digest"] for one in after}, {cluster.parts[0]["digest"]})
        self.assertLess(sum(len(one["text"]) for one in after), 0.7 * after[0]["size"])

    def test_another_leader_with_another_snapshot_begins_anew(self) -> None:
        cluster = SlowCluster(7)
        lost = self.half(cluster)
        old = cluster.lead()
        successor = next(node for node in cluster.nodes.values() if node is not old and node is not lost)
        cluster.change(800)
        cluster.compact(successor.address)
        cluster.stop(old.address)
        self.assertTrue(cluster.run(60, cluster.caught_up(lost)))
        self.assertEqual(len({one["digest"] for one in cluster.parts}), 2)

    def test_a_newer_snapshot_takes_the_place_of_one_that_the_log_does_not_follow_any_more(self) -> None:
        for count, wanted in ((100, 1), (800, 2)):  # 512 entries are kept before a snapshot
            with self.subTest(count):
                cluster = SlowCluster(8)
                lost = self.half(cluster)
                cluster.change(count)
                cluster.compact(cluster.lead().address)
                self.assertTrue(cluster.run(60, cluster.caught_up(lost)))
                self.assertEqual(len({one["digest"] for one in cluster.parts}), wanted)

    def test_a_life_that_ends_in_the_middle_begins_anew_and_a_wiped_disk_is_taken_in(self) -> None:
        for wiped in (False, True):
            with self.subTest(wiped):
                cluster = SlowCluster(9)
                lost = self.half(cluster)
                if wiped:
                    cluster.wipe(lost.address)
                else:
                    cluster.stop(lost.address)
                    cluster.run(0.3)
                    cluster.start(lost.address)
                self.assertTrue(cluster.run(60, cluster.is_settled))
                cluster.run(0.5)
                self.assertGreater(lost.disk.saved.snapshot_index, 1000)

    def test_a_freeze_of_either_end(self) -> None:
        for which in (0, 1):
            for seconds in (0.2, 3.0, 20.0):
                with self.subTest((which, seconds)):
                    cluster = SlowCluster(10)
                    lost = self.half(cluster)
                    cluster.freeze((lost, cluster.lead())[which].address, seconds)
                    self.assertTrue(cluster.run(90, cluster.is_settled))

    def test_a_disk_that_stalls_while_it_comes(self) -> None:
        cluster = SlowCluster(11)
        lost = self.half(cluster)
        term = cluster.lead().machine.term
        cluster.hang(lost.address, True)
        cluster.run(5)
        self.assertEqual(lost.disk.saved.snapshot_index, 0)
        cluster.hang(lost.address, False)
        self.assertTrue(cluster.run(30, cluster.is_settled))
        self.assertEqual(cluster.lead().machine.term, term)

    def test_a_seeded_mistake_is_seen(self) -> None:
        """Parts joined in the wrong order produce another state: the checker, or a missing state, must show it."""
        with (
            mock.patch.object(IncomingTransfer, "add_part", lambda self, part, order: not self.texts.append(part.text)),
            mock.patch.object(
                IncomingTransfer,
                "take_content",
                lambda self, part: decode("".join(self.texts[-3:]), part.digest) if self.texts else 0,
            ),
            self.assertRaises((ViolationError, AssertionError)),
        ):
            cluster = SlowCluster(12)
            lost = cluster.behind(TWO_MBIT)
            self.assertTrue(cluster.run(10, cluster.caught_up(lost)))


class OlderMachine(Machine):
    """A machine of the previous version, for which a part is a message of an unknown type."""

    _on_part = None  # type: ignore[assignment]


class TestMix(unittest.TestCase):
    """Members that run two versions."""

    def test_an_older_member_is_not_harmed_and_catches_up_once_it_runs_this_text(self) -> None:
        cluster = SlowCluster(13)
        cluster.lead()
        leader = cluster.lead()
        old = next(node for node in cluster.nodes.values() if node is not leader)
        cluster.stop(old.address)
        cluster.change(1200)
        cluster.compact(leader.address)
        cluster.machine_class = OlderMachine
        cluster.start(old.address)
        term = leader.machine.term
        cluster.change(3, 2 * MAX_BATCH_BYTES)
        cluster.run(20)
        self.assertEqual((leader.machine.term, old.machine.role, old.applied < 100), (term, "follower", True))
        self.assertEqual(leader.applied, leader.machine.log.last, "the others go on")
        cluster.stop(old.address)
        cluster.machine_class = Machine
        cluster.start(old.address)
        self.assertTrue(cluster.run(20, cluster.is_settled))
        self.assertEqual(cluster.lead().machine.term, term)

    def test_a_whole_snapshot_of_an_older_leader_is_taken(self) -> None:
        cluster = SlowCluster(14)
        leader = cluster.lead()
        lost = next(node for node in cluster.nodes.values() if node is not leader)
        cluster.stop(lost.address)
        cluster.change(1200)
        cluster.compact(leader.address)
        with mock.patch.object(Machine, "_send_part", send_whole_snapshot):
            cluster.start(lost.address)
            self.assertTrue(cluster.run(10, cluster.is_settled))
        self.assertEqual((cluster.sent_counts["snapshot"] > 0, cluster.sent_counts.get("part", 0)), (True, 0))


def send_whole_snapshot(leader: Machine, now: float, peer: Any, kind: str) -> None:
    """Send what the previous version sent to a peer that its log no longer reaches."""
    assert kind == "snapshot"
    index, term, members, state = leader.snapshot
    held = {"index": index, "index_term": term, "members": members, "state": state}
    leader._send(peer.address, "snapshot", peer.id, **held, stamp=now, round=leader._heartbeat_round)


class TestWalks(unittest.TestCase):
    """All kinds of faults at once, with snapshots and entries so long compared with a message that most go in parts."""

    def test_nothing_told_is_lost_and_all_settles(self) -> None:
        for batch, least in ((45, 1000), (MAX_BATCH_BYTES, 100)):
            parts = 0
            for seed in range(10):
                with (
                    self.subTest((batch, seed)),
                    mock.patch.object(machine, "TRAILING_ENTRIES", 4),
                    mock.patch.object(leading, "MIN_BATCH_BYTES", 20),
                    mock.patch.object(leading, "MAX_BATCH_BYTES", batch),
                    mock.patch.object(snapshot_transfer, "MIN_PART_BYTES", 32),
                    mock.patch.object(snapshot_transfer, "MAX_PART_BYTES", 64),
                    mock.patch.object(OutgoingTransfer.__init__, "__defaults__", (0, 64, None)),
                ):
                    cluster = Cluster(seed, 3 + 2 * (seed % 2))
                    inject_faults(cluster, 60)
                    cluster.heal()
                    self.assertTrue(cluster.run(60, cluster.is_settled))
                    parts += cluster.sent_counts.get("part", 0)
            self.assertGreater(parts, least)


class TestParts(unittest.TestCase):
    """Each end of a transfer by itself."""

    def part(self, outgoing: OutgoingTransfer, now: float) -> Part:
        found = outgoing.next_part(now)
        assert found is not None
        return found

    def test_a_part_grows_while_answers_are_quick_and_shrinks_while_they_are_not(self) -> None:
        blob = encode("snapshot", 0, 5, {"x": random.Random(1).randbytes(2_000_000).hex()})
        outgoing, now = OutgoingTransfer(blob), 0.0
        lengths = []
        for wait in (0.01,) * 6 + (0.3,) * 9:
            part = self.part(outgoing, now)
            self.assertIsNone(outgoing.next_part(now), "one at a time")
            lengths.append(len(part.text))
            now += wait
            self.assertTrue(outgoing.on_part_taken(now, part.digest, part.offset, part.offset + len(part.text)))
        self.assertEqual((lengths[0], max(lengths), lengths[-1]), (INITIAL_PART_BYTES, MAX_PART_BYTES, MIN_PART_BYTES))
        part = self.part(outgoing, now)
        self.assertIsNone(outgoing.next_part(now + PART_TIMEOUT_S / 2))
        again = self.part(outgoing, now + PART_TIMEOUT_S)
        self.assertEqual(again, part)
        self.assertFalse(outgoing.on_part_taken(now, part.digest, part.offset - MIN_PART_BYTES, 0), "a late answer")
        self.assertFalse(outgoing.on_part_taken(now, "other", part.offset, 0))

    def test_what_is_not_what_was_told_is_let_go(self) -> None:
        blob = encode("snapshot", 0, 5, {"x": "y"})
        incoming = IncomingTransfer()
        part = Part("snapshot", 5, blob.digest, len(blob.text), 0, blob.text[::-1])
        self.assertTrue(incoming.add_part(part, (1, 1.0)))
        with self.assertRaises(InvalidTransferError):
            incoming.take_content(part)
        self.assertEqual((incoming.received_bytes, incoming.texts), (0, []))
        with (
            mock.patch("knotwalk.consensus.snapshot_transfer.MAX_DECODED_BYTES", 5),
            self.assertRaises(InvalidTransferError),
        ):
            decode(blob.text, blob.digest)

    def test_no_more_is_held_than_told_or_allowed(self) -> None:
        incoming = IncomingTransfer()
        with mock.patch("knotwalk.consensus.snapshot_transfer.MAX_ENCODED_BYTES", 100):
            for offset in range(0, 400, 30):
                incoming.add_part(Part("snapshot", 5, "d", 400, offset, "x" * 30), (1, 1.0))
        self.assertLessEqual(incoming.received_bytes, 100)
        incoming = IncomingTransfer()
        incoming.add_part(Part("snapshot", 5, "d", 20, 0, "x" * 30), (1, 1.0))
        self.assertEqual(incoming.received_bytes, 0)

    def test_a_late_part_of_what_was_given_up_changes_nothing(self) -> None:
        incoming = IncomingTransfer()
        for digest, order in (("a", (3, 7.0)), ("b", (3, 8.0))):
            self.assertTrue(incoming.add_part(Part("snapshot", 5, digest, 90, 0, "x" * 30), order))
        self.assertFalse(incoming.add_part(Part("snapshot", 5, "a", 90, 30, "x" * 30), (3, 7.5)))
        self.assertEqual((incoming.digest, incoming.received_bytes), ("b", 30))
        self.assertTrue(incoming.add_part(Part("snapshot", 5, "c", 90, 0, "x" * 30), (4, 1.0)), "a new leader's clock")


class TestDisk(unittest.TestCase):
    """Faults at each numbered write, sync, removal and truncation while a snapshot is stored or received."""

    def setUp(self) -> None:
        self.folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)

    def saves(self, installs: bool) -> list[Save]:
        """Entries, then a snapshot: of those entries, or of an index far ahead, replacing entries that were not
        committed.
        """
        entries = [Entry(index, 1, "command", {"x": "y" * 900}) for index in range(1, 201)]
        after = 5000 if installs else 200
        snapshot = (after, 2, FOUNDERS, {"state": "z" * 100_000})
        rest = [Entry(after + 1, 2, "noop", {})]
        return [
            Save(1, 1, None, entries, None, None, 150),
            Save(2, 2, None, [], 151 if installs else None, snapshot, after),
            Save(3, 2, "v", rest, None, None, after),
        ]

    def opened(self, folder: Path) -> tuple[Store, StoredState]:
        store = Store(4)
        return store, store.open(folder, True, "10.1.0.15", FOUNDERS)

    def until(self, work: Callable[[], Any]) -> Any:
        for _ in range(9):
            try:
                return work()
            except StoreUnavailableError:
                continue
        self.fail("refused for ever")

    def incarnation(self, disk: FaultyDisk, installs: bool) -> tuple[Store, list[int]]:
        """Run one incarnation, repeat what is refused; return the number of disk operations after each stored save."""
        store = Store(4)
        self.until(lambda: store.open(self.folder, True, "10.1.0.15", FOUNDERS))
        counts = []
        for save in self.saves(installs):
            self.until(lambda: store.write(save))
            counts.append(len(disk.done))
        return store, counts

    def holds(self, files: dict[str, bytes], kept: int, installs: bool) -> None:
        """A start from these files must have everything reported as stored: the entries, or the snapshot that replaces
        them.
        """
        folder = Path(tempfile.mkdtemp(dir=self.folder))
        for name, content in files.items():
            (folder / name).write_bytes(content)
        store, saved = self.opened(folder)
        after = 5000 if installs else 200
        if saved.snapshot_index == 0:
            self.assertLess(kept, 2)
            self.assertIn(len(saved.entries), (0, 200) if kept < 1 else (200,))
        else:
            self.assertEqual((saved.snapshot_index, saved.commit), (after, after))
            self.assertEqual(saved.snapshot, {"state": "z" * 100_000})
            self.assertIn([one.index for one in saved.entries], ([], [after + 1]) if kept < 3 else ([after + 1],))
        store.close()
        shutil.rmtree(folder)

    def test_power_lost_after_each(self) -> None:
        for installs in (False, True):
            self.setUp()
            disk, rng = FaultyDisk(), random.Random(1)
            with disk.patch_store(self.folder):
                store, counts = self.incarnation(disk, installs)
            with FaultyDisk():
                for number in range(counts[0], len(disk.done) + 1):
                    kept = sum(count <= number for count in counts)
                    with self.subTest((installs, number)):
                        self.holds(disk.files_after_power_loss(number, rng, rng.random() < 0.3), kept, installs)
            store._connection.close()

    def test_each_refused_or_the_disk_full(self) -> None:
        for installs in (False, True):
            self.setUp()
            disk = FaultyDisk()
            with disk.patch_store(self.folder):
                store, counts = self.incarnation(disk, installs)
                store._connection.close()
            for number in range(counts[0], counts[-1], 5):
                self.setUp()
                disk, code = FaultyDisk(), (REFUSED.get, lambda kind: FULL)[number // 5 % 2]
                disk.refuse = lambda at, kind: (code(kind) or 0) if number <= at < number + 3 else 0
                with disk.patch_store(self.folder), self.subTest((installs, number)):
                    store, _ = self.incarnation(disk, installs)
                    files = {one.name: one.read_bytes() for one in self.folder.iterdir() if one.is_file()}
                    store._connection.close()
                with FaultyDisk(), self.subTest((installs, number)):
                    self.holds(files, 3, installs)

    def test_a_full_quota_still_takes_the_snapshot_that_makes_room(self) -> None:
        store, _ = self.opened(self.folder)
        number = 0
        with self.assertRaises(StoreUnavailableError):
            while True:
                number += 1
                store.write(Save(number, 1, None, [Entry(number, 1, "command", {"x": "y" * 9000})], None, None))
        full = store.size()
        store.write(Save(number, 1, None, [], None, (number - 1, 1, FOUNDERS, {"state": "z" * 900_000})))
        self.assertLess(store.size(), full)
        store.write(Save(number + 1, 1, None, [Entry(number, 1, "command", {"x": "y" * 9000})], None, None))
        store.close()


def change(version: int, routes: int) -> dict:
    """A configuration command: the first one complete, later ones with one route's priority changed."""

    def route(number: int) -> dict:
        fields = {
            "hostname": f"h{number}.example",
            "path_prefix": "/",
            "route_type": "idempotent",
            "timeout": "1s",
            "target_latency": "300ms",
            "priority": version,
            "service": "s",
            "retry_count": 1,
        }
        return {"object_kind": "routes", "metadata": {"name": f"r{number}"}, "specification": fields}

    command = {"do": "configure", "base": version - 1, "version": version, "digest": f"d{version}"}
    if version == 1:
        service = {"object_kind": "services", "metadata": {"name": "s"}, "specification": {}}
        objects = [service, *map(route, range(routes))]
        return command | {"document": {"config_version": "r1", "objects": objects}}
    less = {"config_version": f"r{version}", "upsert": {"objects": [route(version % routes)]}, "remove": {}}
    return command | {"difference": less}


class MemoryStore:
    """A store in memory that behaves like the file."""

    disk_mb = 64

    def __init__(self) -> None:
        self.saved = StoredState("a#founder", members={"a#founder": "a"})

    def write(self, save: Save) -> None:
        saved = self.saved
        saved.entries += save.entries
        if save.snapshot is not None:
            saved.snapshot_index, saved.snapshot_term, saved.members, saved.snapshot = save.snapshot
            saved.entries = [one for one in saved.entries if one.index > save.snapshot[0]]
        saved.term, saved.vote, saved.commit = save.term, save.vote, save.commit


class UnansweredCaller:
    """Calls to a peer that never answers those with a part."""

    def __init__(self) -> None:
        self.sent: list[list[dict]] = []

    async def json(self, _method: str, _url: str, body: list[dict], _patience: float, _step: str) -> list[dict]:
        self.sent.append(body)
        if any(message["type"] == "part" for message in body):
            await asyncio.Event().wait()
        return []


class TestLanes(unittest.IsolatedAsyncioTestCase):
    """What a driver sends to a peer while a part is unanswered."""

    async def test_heartbeats_do_not_wait_for_a_part_and_one_part_at_most_waits(self) -> None:
        caller, store = UnansweredCaller(), MemoryStore()
        driver = ConsensusDriver(store, store.saved, caller, RaftSettings(target_members=1), 1, float("-inf"))
        for number in range(50):
            for kind in ("part", "append"):
                driver.machine.actions.append(Send("b:1", {"type": kind, "number": number}))
                driver.perform_actions()
                for _ in range(5):
                    await asyncio.sleep(0)
        appends = [message["number"] for body in caller.sent for message in body if message["type"] == "append"]
        self.assertEqual(appends, list(range(50)))
        self.assertEqual([body for body in caller.sent if body[0]["type"] == "part"], [[{"type": "part", "number": 0}]])
        waiting = [message["number"] for found in driver.outbox.values() for message in found]
        self.assertEqual(waiting, [49])
        await driver.close()


class TestCompaction(unittest.TestCase):
    """When the log is compacted."""

    def test_it_is_due_by_entries_bytes_or_work_and_not_on_all_machines_at_once(self) -> None:
        for name, size, work, most in (
            ("entries", 0, 0, compaction.MAX_ENTRIES),
            ("bytes", 100_000, 0, 160),
            ("work", 0, 12_000, 50),
        ):
            firsts = []
            for me in ("10.0.0.1:7#founder", "10.0.0.2:7#founder", "10.0.0.3:7#founder"):
                with self.subTest((name, me)):
                    counted = compaction.Compaction(64, me)
                    due = [number for number in range(4 * most) if counted.should_compact(size, work)]
                    self.assertLess(due[0], most)
                    self.assertEqual({two - one for one, two in zip(due, due[1:])}, {most})
                    firsts.append(due[0])
            self.assertEqual(len(set(firsts)), 3, firsts)


class TestStart(unittest.IsolatedAsyncioTestCase):
    """A start after 2,700 changes, the number of one day."""

    async def test_it_replays_a_bounded_part_of_them_and_tells_of_the_configuration_once(self) -> None:
        for routes, work, most in ((3, compaction.MAX_REPLAY_ITEMS, 2702), (100, 10_000, 101)):
            with self.subTest(routes), mock.patch.object(compaction, "MAX_REPLAY_ITEMS", work):
                store = MemoryStore()
                driver = ConsensusDriver(store, store.saved, None, RaftSettings(target_members=1), 1, float("-inf"))
                machine = driver.machine
                machine.tick(machine.wake_at)
                for version in range(0, 2701):
                    if version:
                        machine.propose(machine.wake_at, change(version, routes), None)
                    while not machine.applied or machine.log.last > machine.applied:
                        driver.perform_actions()
                        while not driver.saves.empty():
                            save = driver.saves.get_nowait()
                            store.write(save)
                            machine.on_saved(machine.wake_at, save.number)
                    driver.perform_actions()
                while not driver.saves.empty():
                    save = driver.saves.get_nowait()
                    store.write(save)
                    machine.on_saved(machine.wake_at, save.number)
                await driver.close()
                again = ConsensusDriver(store, store.saved, None, RaftSettings(target_members=1), 2, float("-inf"))
                reported, seen = [], []
                again.on_configuration = lambda: reported.append(again.state.version)
                again.on_change = lambda index, changes: seen.append(index)
                again.perform_actions()
                await again.close()
                self.assertGreaterEqual(again.state.version, 2699)
                self.assertLessEqual(len(seen), most)
                self.assertEqual(reported, [again.state.version] if seen else [])
                if again.state.version == 2700:
                    self.assertEqual(again.state.to_dict(), driver.state.to_dict())


if __name__ == "__main__":
    unittest.main()
