"""The core program's components in one process: three consensus drivers with a network and disks in memory, the link of
an edge, the board, and the list poller."""

import asyncio
import gc
import json
import random
import shutil
import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

from knotwalk.configuration.documents import apply_patch, parse_configuration, to_document
from knotwalk.consensus.raft_types import RaftSettings, Save, StoredState
from knotwalk.consensus.store import FILE_NAME, Store, StoreDamagedError, StoreUnavailableError
from knotwalk.control_plane import consensus_driver, control
from knotwalk.control_plane.consensus_driver import ConsensusDriver, NotLeaderError, open_store
from knotwalk.control_plane.control import Control
from knotwalk.control_plane.list_poller import ListPoller
from knotwalk.control_plane.peer_api import PeerApi
from knotwalk.control_plane.slice_manager import MAX_CONCURRENT_CALLS, SliceManager
from knotwalk.discovery.cluster_view import ClusterView
from knotwalk.discovery.loads import LoadReports, merge_report
from knotwalk.discovery.view_publisher import ViewPublisher
from knotwalk.discovery.view_types import Node
from knotwalk.edge.view_poller import FIRST_POLL_WAIT_S, POLL_WAIT_S, ViewPoller
from knotwalk.leases.actions import UNSENT, Grant, GrantTiming
from knotwalk.runtime.compression import MIN_COMPRESSED_BYTES, decompress
from knotwalk.runtime.errors import PeerError
from tests.standins.jumps import JumpingCase

ADDRESSES = ["10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"]
DOCUMENT = {
    "config_version": "r3",
    "objects": [
        {
            "object_kind": "services",
            "metadata": {"name": "s"},
            "specification": {"health_check": "/h", "sharded": True},
        },
        {
            "object_kind": "routes",
            "metadata": {"name": "r"},
            "specification": {
                "hostname": "a.example",
                "path_prefix": "/a/",
                "route_type": "idempotent",
                "timeout": "1s",
                "target_latency": "300ms",
                "priority": 1,
                "service": "s",
                "retry_count": 2,
            },
        },
    ],
}


class Wire:
    """Calls between consensus drivers, encoded as on a connection; machines that are cut off can't be reached."""

    def __init__(self) -> None:
        self.ends: dict[str, ConsensusDriver] = {}
        self.cut: set[str] = set()
        self.answers: list[tuple[str, list[dict]]] = []

    async def json(self, method, url, body, timeout_s, step):
        await asyncio.sleep(0)
        address = url.split("/")[2]
        if address in self.cut:
            raise PeerError(step, address, "cut off")
        replies = self.ends[address].exchange(json.loads(json.dumps(body)))
        self.answers += [(message["type"], replies) for message in body]
        return replies


class Disk:
    """A store whose writes succeed at once."""

    disk_mb = 0.02

    def write(self, save: Save) -> None:
        pass


class ConsensusCase(JumpingCase):
    clocks = (consensus_driver, control)

    async def asyncSetUp(self) -> None:
        self.wire = Wire()
        founders = {f"{at}#founder": at for at in ADDRESSES}
        for n, at in enumerate(ADDRESSES):
            saved = StoredState(f"{at}#founder", members=founders)
            self.wire.ends[at] = ConsensusDriver(Disk(), saved, self.wire, RaftSettings(), n, float("-inf"))
        for end in self.wire.ends.values():
            end.start()

    async def asyncTearDown(self) -> None:
        for end in self.wire.ends.values():
            await end.close()

    async def until(self, met):
        async with asyncio.timeout(20):
            while not met():
                await asyncio.sleep(0.001)  # lets timers of the loop come due; bounded by the timeout above

    async def leader(self) -> ConsensusDriver:
        await self.until(lambda: any(end.machine.is_commit_current for end in self.wire.ends.values()))
        return next(end for end in self.wire.ends.values() if end.machine.is_commit_current)

    async def test_a_follower_replies_in_the_answer_to_the_leaders_call(self):
        """Commits wait for the replies in the answer to a call. When replies waited for the next heartbeat, each commit
        took 0.3 s."""
        leader = await self.leader()
        await leader.propose({"do": "shard", "services": ["s"]})
        answers = [replies for kind, replies in self.wire.answers if kind == "append"]
        self.assertTrue(answers)
        self.assertTrue(any(message["type"] == "appended" for replies in answers for message in replies))

    async def test_committed_commands_give_the_same_state_everywhere(self):
        leader = await self.leader()
        command = {"do": "configure", "base": 0, "version": 3, "digest": "d", "document": DOCUMENT}
        self.assertEqual(await leader.propose(command), "done")
        self.assertEqual(await leader.propose(command), "done")  # the same command, committed twice
        other = {**command, "version": 4, "digest": "e"}
        self.assertEqual(await leader.propose(other), "another version is in place")
        last = leader.machine.applied
        await self.until(lambda: all(end.state.applied >= last for end in self.wire.ends.values()))
        kept = [json.dumps(end.state.to_dict(), sort_keys=True) for end in self.wire.ends.values()]
        self.assertEqual(len(set(kept)), 1)
        self.assertEqual(leader.state.version, 3)

    async def test_few_large_entries_lead_to_a_snapshot_before_they_fill_the_disk(self):
        """With compaction by number of entries alone, some dozens of large ones filled the disk, and a full disk can't
        take the snapshot that would free space."""
        leader = await self.leader()
        for _ in range(8):
            await leader.propose({"do": "nothing", "filler": "x" * 1000})
        await self.until(lambda: all(end.machine.snapshot[0] > 0 for end in self.wire.ends.values()))

    async def test_only_the_leader_reads_and_proposes(self):
        leader = await self.leader()
        follower = next(end for end in self.wire.ends.values() if end is not leader)
        with self.assertRaises(NotLeaderError):
            await follower.propose({"do": "shard", "services": ["s"]})
        with self.assertRaises(NotLeaderError):
            await follower.current()
        await leader.current()

    async def test_a_leader_that_is_cut_off_steps_down_and_the_others_continue(self):
        leader = await self.leader()
        own = next(at for at, end in self.wire.ends.items() if end is leader)
        self.wire.cut.add(own)
        reach, self.wire.ends[own].http_client = self.wire, Cut()
        await self.until(lambda: not leader.machine.is_commit_current)
        await self.until(lambda: any(end.machine.is_commit_current for end in self.wire.ends.values()))
        self.wire.cut.discard(own)
        leader.http_client = reach
        fresh = await self.leader()
        self.assertIsNot(fresh, leader)
        await fresh.propose({"do": "shard", "services": ["s"]})
        await self.until(lambda: "s" in leader.state.ledger.slices)

    async def test_an_operator_is_redirected_only_to_a_leader_heard_since_its_call(self):
        """A leader last heard before the call may be gone: the caller would wait a second for it, perhaps
        repeatedly."""
        leader = await self.leader()
        own = leader.machine.address
        await self.until(lambda: all(end.machine.leader == own for end in self.wire.ends.values()))
        self.wire.cut.add(own)
        reach, leader.http_client = leader.http_client, Cut()
        others = [end for end in self.wire.ends.values() if end is not leader]
        answers = await asyncio.gather(*(Control(end, 8).read(None) for end in (leader, *others)))
        self.assertEqual(answers[0].status, 503)  # it has stepped down, and does not know the leader
        for one in answers[1:]:
            self.assertNotEqual(one.headers.get("location"), f"http://{own.partition(':')[0]}:8/configuration")
        await self.until(lambda: any(end.machine.is_commit_current for end in others))
        self.wire.cut.discard(own)
        leader.http_client = reach
        fresh = await self.leader()
        back = await Control(leader, 8).read(None)
        self.assertEqual(back.headers["location"], f"http://{fresh.machine.address.partition(':')[0]}:8/configuration")


class CancelledAtItsEndCase(unittest.IsolatedAsyncioTestCase):
    """Guards against tasks that outlive a cancellation which meets the end of what they wait for.

    `asyncio.wait_for` of Python 3.11 returns the result then, and the cancellation is lost; the linter bans it.
    """

    async def test_the_writer_ends(self):
        saved = StoredState("a:1#founder", members={"a:1#founder": "a:1"})
        driver = ConsensusDriver(Disk(), saved, None, RaftSettings(), 1, float("-inf"))
        writes = asyncio.Queue()

        def begin(executor, function, *arguments):
            write = asyncio.get_running_loop().create_future()
            writes.put_nowait(write)
            return write

        with mock.patch.object(asyncio.get_running_loop(), "run_in_executor", begin):
            driver.start()
            (writer,) = driver.tasks
            write = await writes.get()
            write.set_result(None)
            writer.cancel()
            await asyncio.wait([writer], timeout=1.0)
        self.assertTrue(writer.cancelled())
        await driver.close()


class DamageCase(JumpingCase):
    """Three machines with real files; one of them reads back other bytes than it wrote."""

    clocks = (consensus_driver,)

    async def test_a_machine_with_a_damaged_log_file_rejoins_under_a_new_id(self):
        folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder)
        wire, founders, damage = Wire(), {f"{at}#founder": at for at in ADDRESSES}, []

        def start(at: str, first: bool) -> ConsensusDriver:
            store = Store()
            end = wire.ends[at] = ConsensusDriver(
                store, open_store(store, str(folder / at), first, at, founders), wire, RaftSettings(), 1, float("-inf")
            )
            end.machine.address, end.machine.contacts = at, [one for one in ADDRESSES if one != at]
            end.on_damage = lambda: damage.append(at)
            end.start()
            return end

        async def until(condition) -> None:
            for _ in range(1000):
                if condition():
                    return
                await asyncio.sleep(0.01)
            self.fail("condition not met within 10 s")

        for at in ADDRESSES:
            start(at, True)
        leads = lambda: next((one for one in wire.ends.values() if one.machine.is_commit_current), None)  # noqa: E731
        await until(leads)
        leader = leads()
        self.assertEqual(
            await leader.propose({"do": "configure", "base": 0, "version": 3, "digest": "d", "document": DOCUMENT}),
            "done",
        )
        victim = next(one for one in wire.ends.values() if one is not leader)
        at = victim.machine.address
        with mock.patch.object(victim.store, "write", side_effect=StoreDamagedError(victim.store.path, "malformed")):
            await leader.propose(
                {
                    "do": "configure",
                    "base": 3,
                    "version": 4,
                    "digest": "e",
                    "document": DOCUMENT | {"config_version": "r4"},
                }
            )
            await until(lambda: damage == [at])
        self.assertFalse(victim.machine._can_stand())
        wire.cut.add(at)  # a process that has ended answers no calls
        await victim.close()
        await asyncio.to_thread(victim.writer.shutdown)
        victim.store.close()
        path = folder / at / FILE_NAME
        path.write_bytes(path.read_bytes()[:5000].ljust(path.stat().st_size, b"x"))
        with (
            mock.patch.object(Store, "set_aside", side_effect=StoreUnavailableError(path, "no")),
            self.assertRaises(StopIteration),
            self.assertLogs(level="WARNING"),
        ):
            open_store(Store(), str(folder / at), True, at, founders, mock.Mock(side_effect=[StopIteration]))
        await asyncio.sleep(0.01)  # time passes between the end of a process and its restart
        wire.cut.discard(at)
        with self.assertLogs(level="WARNING") as logged:
            fresh = start(at, True)
        self.assertEqual(len(logged.output), 1)
        self.assertNotIn(fresh.machine.me, founders)
        await until(
            lambda: (
                leader.machine.members.keys() - founders == {fresh.machine.me}
                and fresh.state.version == 4
                and fresh.machine.role == "follower"
            )
        )
        for end in wire.ends.values():
            await end.close()
            await asyncio.to_thread(end.writer.shutdown)
            end.store.close()


class Cut:
    async def json(self, method, url, body, timeout_s, step):
        await asyncio.sleep(0)
        raise PeerError(step, url, "cut off")


class LinkCase(unittest.IsolatedAsyncioTestCase):
    async def test_a_core_that_stopped_answering_is_not_called_next_even_in_the_same_zone(self):
        asked: list[str] = []
        waits: list[float] = []

        class Cores:
            async def json(self, method, url, body, timeout_s, step):
                asked.append(url.split("/")[2])
                waits.append(body["wait"])
                if len(asked) == 2:  # the core in the same zone, which has answered once
                    raise PeerError(step, url, "no answer")
                if len(asked) == 3:
                    raise asyncio.CancelledError
                return {"fresh": True, "zone": "z", "edges": 1}

        for seed in range(4):
            asked.clear()
            waits.clear()
            view_poller = ViewPoller(
                "e", ClusterView(), Cores(), ADDRESSES, seed, "z", dict, lambda changed, edges: None
            )
            with self.assertRaises(asyncio.CancelledError), self.assertLogs(level="WARNING"):
                await view_poller.run()
            self.assertEqual(asked[0], asked[1])
            self.assertNotEqual(asked[1], asked[2])
            self.assertEqual(
                waits, [FIRST_POLL_WAIT_S, POLL_WAIT_S, FIRST_POLL_WAIT_S]
            )  # a core that has not answered yet gets a short wait

    async def test_an_edge_uses_a_provisional_view_while_it_keeps_asking_other_cores(self):
        """A provisional view lets a starting edge serve; it must not stop the edge from looking for a fresh core."""
        board = ViewPublisher("b")
        board.set_config(5, DOCUMENT)
        nodes = {"x": Node("x", "s", ("10.0.1.1", 80), "z", 2)}
        asked, heard = [], []

        class Cores:
            async def json(self, method, url, body, timeout_s, step):
                asked.append((url, body.get("bare", False)))
                if len(asked) == 9:
                    raise asyncio.CancelledError
                answer = {"fresh": False, "zone": "z", "edges": 1}
                if len(asked) == 1:
                    return answer | {"provisional": {"config": {"order": 5}, "nodes": {}}}  # malformed
                return answer | {"provisional": json.loads(json.dumps(board.provisional_view(nodes, 0.0)))}

        view_poller = ViewPoller(
            "e", ClusterView(), Cores(), ADDRESSES, 1, "z", dict, lambda changed, edges: heard.append(edges)
        )
        with (
            self.assertRaises(asyncio.CancelledError),
            mock.patch("knotwalk.edge.view_poller.MAX_RETRY_PAUSE_S", 0.0),
            self.assertLogs(level="WARNING") as logs,
        ):
            await view_poller.run()
        self.assertEqual([bare for _, bare in asked], [True, True] + [False] * 7)
        self.assertEqual(
            ({url for url, _ in asked}, len(logs.output)), ({f"http://{at}/cluster-view" for at in ADDRESSES}, 1)
        )
        self.assertEqual((heard, view_poller.view.is_complete, view_poller.view.config_order), ([0], True, 5))
        self.assertTrue(view_poller.view.provisional)


class ProvisionalCase(unittest.IsolatedAsyncioTestCase):
    """The answers of a core that just started to an edge that has no view."""

    async def asyncSetUp(self):
        self.calls, entry = (
            0,
            {
                "service": "s",
                "address": "10.0.1.1:80",
                "zone": "z",
                "capacity": 2,
                "state": "draining",
                "config_version": "v1",
                "warmup_left": "0ms",
            },
        )
        owner = self

        class Platform:
            status = 200

            async def send(self, *_):
                owner.calls += 1
                await asyncio.sleep(0)
                return self.status, {}, json.dumps({"instances": {"i-1": entry}, "next_token": None}).encode()

        self.platform, self.view_publisher, self.machine = (
            Platform(),
            ViewPublisher("b"),
            SimpleNamespace(last_known_leader=None, role="follower"),
        )
        consensus = SimpleNamespace(machine=self.machine)
        list_poller = ListPoller(
            SimpleNamespace(platform=SimpleNamespace(address=("h", 1)), zone="z"),
            consensus,
            self.view_publisher,
            self.platform,
            "me",
        )
        self.peer_api = PeerApi("me", consensus, list_poller, None, self.view_publisher, LoadReports(), None)

    async def ask(self, **more):
        asked = json.dumps({"edge": "e", "epoch": "", "at": 0, "wait": 0.0, "bare": True} | more).encode()
        return json.loads((await self.peer_api.handle_cluster_view(SimpleNamespace(body=asked, headers={}))).body)

    async def test_a_large_view_is_compressed_for_an_edge_that_accepts_it(self):
        self.view_publisher.set_config(5, DOCUMENT | {"filler": "x" * MIN_COMPRESSED_BYTES})
        asked = json.dumps({"edge": "e", "epoch": "", "at": 0, "wait": 0.0, "bare": True}).encode()
        with mock.patch("knotwalk.control_plane.peer_api.FRESH_WAIT_S", 60.0):  # however late this process is
            plain, compressed = [
                await self.peer_api.handle_cluster_view(SimpleNamespace(body=asked, headers=headers))
                for headers in ({}, {"accept-encoding": "deflate"})
            ]
        self.assertNotIn("content-encoding", plain.headers)
        self.assertEqual(compressed.headers["content-encoding"], "deflate")
        self.assertEqual(decompress(compressed.body, 10 * MIN_COMPRESSED_BYTES), plain.body)
        self.assertLess(len(compressed.body), len(plain.body) / 4)

    async def test_only_an_edge_without_a_view_gets_a_provisional_one_and_only_before_a_leader_is_known(self):
        self.assertNotIn("provisional", await self.ask())
        self.assertEqual(self.calls, 0)  # without a configuration on disk, the list is not read
        self.view_publisher.set_config(5, DOCUMENT)
        answers = await asyncio.gather(self.ask(), self.ask(), self.ask())
        self.assertEqual(self.calls, 1)  # one call to the platform for all of them
        for one in answers:
            self.assertFalse(one["fresh"])
            view = ClusterView()
            self.assertEqual(view.apply_provisional(0.0, one["provisional"]), {"config", "nodes"})
            self.assertTrue(view.is_complete and view.nodes["i-1"].draining)
        self.assertNotIn("provisional", await self.ask(bare=False))
        self.machine.last_known_leader = "a:1"
        self.assertNotIn("provisional", await self.ask())
        self.machine.last_known_leader, self.peer_api.fresh_until = None, 1.0
        self.assertNotIn("provisional", await self.ask())
        self.assertEqual(self.calls, 1)

    async def test_without_a_readable_list_there_is_no_provisional_view(self):
        self.view_publisher.set_config(5, DOCUMENT)
        self.platform.status = 429
        for _ in range(3):
            self.assertNotIn("provisional", await self.ask())
        self.assertEqual(self.calls, 1)  # no more often than a leader polls


class BoardCase(unittest.TestCase):
    """A cluster view never goes back, whichever of two boards its updates come from."""

    def nodes(self, *ids):
        return {id: Node(id, "s", ("10.0.1.1", 80 + n), "z", 2) for n, id in enumerate(ids)}

    def tell(self, board: ViewPublisher, view: ClusterView) -> set[str]:
        message = board.changes_since(json.loads(json.dumps(view.positions())), 0.0)
        return view.apply(0.0, json.loads(json.dumps(message))) if message else set()

    def test_only_changes_are_sent_and_a_view_never_goes_back(self):
        ahead, behind, view = ViewPublisher("a"), ViewPublisher("b"), ClusterView()
        for board in (ahead, behind):
            board.set_config(5, DOCUMENT)
            board.set_nodes((1, 1), self.nodes("x", "y"))
            board.set_assignments(7, "s", {0: ("x", True), 1: ("x", True), 2: ("y", False)})
        self.assertEqual(self.tell(ahead, view), {"config", "nodes", "lines"})
        self.assertTrue(view.is_complete)
        ahead.set_config(9, {**DOCUMENT, "config_version": "r4"})
        ahead.set_nodes((1, 2), self.nodes("x"))
        ahead.set_assignments(8, "s", {2: ("x", True)})
        self.assertEqual(self.tell(ahead, view), {"config", "nodes", "lines"})
        self.assertEqual(self.tell(behind, view), set())  # complete, but older in every topic
        self.assertEqual((view.configuration.version, set(view.nodes)), (4, {"x"}))
        self.assertEqual(view.assignments["s"].by_slice[2].owner, "x")
        behind.set_assignments(11, "s", {1: ("", False), 2: ("x", True)})
        behind.set_nodes((2, 1), self.nodes("x", "z"))
        self.assertEqual(self.tell(behind, view), {"nodes", "lines"})
        self.assertEqual([line.owner for line in view.assignments["s"].by_slice[:3]], ["x", "", "x"])
        self.assertEqual(set(view.nodes), {"x", "z"})

    def change(self, board: ViewPublisher, order: int) -> None:
        """Set the next configuration, built as from a log entry: items that are not named stay the same objects."""
        before = parse_configuration(board.config[1])
        route = before.items["routes", "r"]
        route = route | {"specification": route["specification"] | {"timeout": f"{order}s"}}
        board.set_config(
            order,
            to_document(
                apply_patch(before, {"config_version": f"r{before.version + 1}", "upsert": {"objects": [route]}})
            ),
        )

    def test_a_provisional_view_is_replaced_by_any_fresh_one_and_never_replaces_one(self):
        old, fresh, view = ViewPublisher("a"), ViewPublisher("b"), ClusterView()
        old.set_config(50, {**DOCUMENT, "config_version": "r9"})
        old.set_assignments(51, "s", {0: ("x", True), 9: ("gone", True)})
        old.set_assignments(52, "dropped", {0: ("x", True)})
        provisional = json.loads(json.dumps(old.provisional_view(self.nodes("x", "gone"), 0.0)))
        self.assertTrue(view.positions()["bare"])
        self.assertEqual(view.apply_provisional(0.0, provisional), {"config", "nodes", "lines"})
        self.assertEqual(view.apply_provisional(0.0, provisional | {"nodes": {}}), set())  # the first one is enough
        self.assertEqual((view.is_complete, view.assignments["s"].by_slice[9].node.id), (True, "gone"))
        self.assertEqual(
            {k: v for k, v in view.positions().items() if k != "at"},
            {"epoch": "", "config": 50, "nodes": (-1, -1), "lines": -1, "provisional": True},
        )
        fresh.set_config(5, DOCUMENT)  # fresh by a former leader, but older: a view does not go back
        self.assertEqual(self.tell(fresh, view), set())
        self.assertEqual((view.configuration.version, view.provisional), (9, True))
        fresh.set_config(
            60, DOCUMENT | {"config_version": "r11"}
        )  # a fresh core whose leader has not read the list yet
        fresh.set_assignments(7, "s", {0: ("x", True), 1: ("y", True)})
        self.assertEqual(self.tell(fresh, view), {"config", "lines"})
        self.assertEqual((view.is_complete, view.provisional, set(view.nodes)), (True, True, {"x", "gone"}))
        self.assertEqual((view.configuration.version, set(view.assignments)), (11, {"s"}))
        self.assertEqual(view.assignments["s"].by_slice[9].owner, "")
        fresh.set_nodes((1, 1), self.nodes("x", "y"))
        self.assertEqual(self.tell(fresh, view), {"nodes"})
        self.assertEqual((view.is_complete, view.provisional, set(view.nodes)), (True, False, {"x", "y"}))
        self.assertEqual(view.assignments["s"].by_slice[1].node.id, "y")
        self.assertEqual(view.apply_provisional(0.0, provisional), set())
        self.assertEqual(view.configuration.version, 11)

    def test_changes_or_the_whole_document_are_sent_by_what_the_view_has_from_any_board(self):
        one, two = ViewPublisher("a"), ViewPublisher("b")
        views = [ClusterView(), ClusterView(), ClusterView()]
        much = {
            **DOCUMENT,
            "objects": DOCUMENT["objects"]
            + [{"object_kind": "services", "metadata": {"name": f"s{n}"}, "specification": {}} for n in range(60)],
        }
        for board in (one, two):
            board.set_config(5, much)
            board.set_assignments(7, "s", {k: ("x" if k % 2 else "y", True) for k in range(40)})
        for board, view in zip((one, one, two), views):
            self.tell(board, view)
        for order in (6, 7, 8):
            for board in (one, two):
                self.change(board, order)
            self.tell(one, views[0])
        self.assertEqual(two.changes_since(views[0].positions(), 0.0), {"epoch": "b", "at": two.revision})
        behind = [board.changes_since(views[1].positions(), 0.0)["config"] for board in (one, two)]
        self.assertEqual(behind[0], behind[1])
        self.assertEqual((behind[0]["base"], len(behind[0]["changes"])), (5, 3))
        two.set_assignments(8, "s", {3: ("z", False)})
        self.assertEqual(
            two.changes_since(views[0].positions(), 0.0)["lines"], {"order": 8, "set": {"s": [[3, 3, "z", 0]]}}
        )
        for board, view in zip((one, two, one), views):
            self.tell(board, view)
            self.assertEqual(to_document(view.configuration), one.config[1])
            self.assertEqual(view.index.find("a.example", "/a/").timeout, 8.0)
        two.set_config(9, json.loads(json.dumps(one.config[1])))  # set as a whole document, as from a snapshot
        for order in range(10, 300):
            self.change(one, order)
        self.assertLess(sum(size for _, _, size in one.changes), len(json.dumps(much)))
        for board, has in ((two, 5), (two, 8), (one, 8)):
            self.assertIn("document", board.changes_since({"epoch": "", "at": 0, "config": has}, 0.0)["config"])

    def test_a_change_that_does_not_apply_is_skipped_and_the_document_requested(self):
        board, view = ViewPublisher("a"), ClusterView()
        board.set_config(5, DOCUMENT)
        self.tell(board, view)
        standing = view.configuration
        patch = {"config_version": "r4", "upsert": {"objects": []}, "remove": {}}
        for base, changes in ((4, [patch]), (5, [patch, patch | {"remove": {"services": ["s"]}}]), (5, [{}])):
            view.apply(
                0.0,
                {
                    "epoch": "c",
                    "at": 7,
                    "config": {"order": 9, "base": base, "changes": changes},
                    "lines": {"order": 9, "set": {}},
                },
            )
            self.assertEqual(
                (bool(view.config_error), view.positions()["config"], view.epoch, view.assignments_order),
                (True, -1, "a", 9),
            )
            self.assertIs(view.configuration, standing)
        board.set_config(9, {**DOCUMENT, "config_version": "r6"})
        self.assertEqual(self.tell(board, view), {"config"})
        self.assertEqual((view.config_error, view.positions()["config"]), ("", 9))

    def test_a_change_of_the_list_is_sent_only_to_a_view_with_the_previous_list(self):
        """A cluster view that was ahead of a board applied the board's next change to another list than the one it was
        made for, so a node that was gone stayed in the view."""
        ahead, behind, view = ViewPublisher("a"), ViewPublisher("b"), ClusterView()
        for board, order, ids in ((ahead, (1, 1), "xy"), (behind, (1, 1), "xy"), (ahead, (1, 2), "xyz")):
            board.set_nodes(order, self.nodes(*ids))
        self.tell(ahead, view)
        self.tell(behind, view)
        behind.set_nodes((1, 3), self.nodes("x", "y"))
        self.tell(behind, view)
        self.assertEqual(set(view.nodes), {"x", "y"})
        for turn, until, order in ((1, 0.0, 1), (2, 0.0, 1), (3, 3.0, 3), (4, 3.5, 3)):
            cold = self.nodes("x", "y")
            cold["x"].cold_until = until
            behind.set_nodes((2, turn), cold, True)  # read again without a change: no need to request it
            self.assertEqual(behind.nodes_order, (2, order))
        for order, ids in (((1, 3), "xy"), ((2, 1), "xy"), ((2, 4), "x")):
            ahead.set_nodes(order, self.nodes(*ids))
        update = ahead.changes_since(view.positions(), 0.0)["nodes"]
        self.assertEqual((update["full"], update["set"], update["gone"]), (False, {}, ["y"]))

    def test_a_long_gone_node_needs_no_tombstone(self):
        board, view = ViewPublisher("a"), ClusterView()
        board.set_config(1, DOCUMENT)
        for turn in range(300):
            board.set_nodes((1, turn), self.nodes("x", f"n{turn}"))
            if turn in (3, 299):
                self.tell(board, view)
        self.assertEqual(set(view.nodes), {"x", "n299"})
        self.assertLess(len(board.node_revisions), 120)


class ListCase(unittest.IsolatedAsyncioTestCase):
    async def test_an_unchanged_list_gets_no_new_order(self):
        """Each new order made the other cores request the whole list, twice a second: 0.6 of 15.7 MB between zones."""
        states = ["ready", "ready", "draining", "draining"]

        class Platform:
            async def send(self, *_):
                if not states:
                    raise asyncio.CancelledError
                node = {
                    "service": "s",
                    "address": "10.0.1.1:80",
                    "zone": "z",
                    "capacity": 2,
                    "state": states.pop(0),
                    "config_version": "v1",
                    "warmup_left": "0ms",
                }
                return 200, {}, json.dumps({"instances": {"i-1": node}, "next_token": None}).encode()

        machine = SimpleNamespace(term=3, members={})
        list_poller = ListPoller(
            SimpleNamespace(platform=SimpleNamespace(address=("h", 1))),
            SimpleNamespace(machine=machine),
            ViewPublisher("b"),
            Platform(),
            "me",
        )
        orders = []
        list_poller.on_nodes = lambda: orders.append(list_poller.view_publisher.nodes_order)
        with (
            mock.patch.object(ListPoller, "is_proven", True),
            mock.patch("knotwalk.control_plane.list_poller.POLL_INTERVAL_S", 0),
            self.assertRaises(asyncio.CancelledError),
        ):
            await list_poller.poll()
        self.assertEqual(
            (orders, list_poller.view_publisher.nodes_order), ([(3, 1), (3, 3)], (3, 3))
        )  # the second reading equals the first
        self.assertTrue(list_poller.view_publisher.nodes["i-1"].draining)

    async def test_a_failed_reading_whose_callers_have_left_is_not_an_unhandled_error(self):
        """An edge's call times out before the reading of the list does, so nobody is left to handle the reading's
        error."""
        unhandled, failing = [], asyncio.Event()
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: unhandled.append(context["message"]))

        class Silent:
            async def send(self, *_):
                await failing.wait()
                raise PeerError("list", "h:1", "no answer within 1 s")

        settings = SimpleNamespace(platform=SimpleNamespace(address=("h", 1)))
        list_poller = ListPoller(settings, SimpleNamespace(), ViewPublisher("b"), Silent(), "me")
        cancelled, kept = (asyncio.ensure_future(list_poller.own_nodes()) for _ in range(2))
        await asyncio.sleep(0)
        cancelled.cancel()
        failing.set()
        self.assertEqual(await kept, {})
        failing.clear()
        list_poller.own_read_at = float("-inf")
        cancelled = asyncio.ensure_future(list_poller.own_nodes())
        await asyncio.sleep(0)
        cancelled.cancel()
        await asyncio.wait([cancelled])
        failing.set()
        await asyncio.wait([list_poller.own_read])
        list_poller.own_read = None
        gc.collect()
        await asyncio.sleep(0)
        self.assertEqual(unhandled, [])


class CallSlotsCase(unittest.IsolatedAsyncioTestCase):
    async def test_grants_to_a_node_are_limited_in_number_and_none_begins_after_the_lease(self):
        """A conductor that took slices over sent 118 grants to one node at once; the node reset the connections over
        its limit."""
        begun, ends, now, free = [], [], [1.0], asyncio.Event()

        class Node:
            async def send(self, method, url, body, *_):
                begun.append(body["fence"])
                await free.wait()
                return 200, {}, b""

        conductor = SliceManager("me", None, ViewPublisher("b"), LoadReports(), Node(), GrantTiming(), 1, None)
        conductor.grant_manager.on_call_ended = lambda at, order, status, *_: ends.append((order.fence, status))
        slots = MAX_CONCURRENT_CALLS["grant"]
        orders = [
            Grant("i-1", ("10.0.1.1", 80), 0, 31, n, 6.0, None, "s", (0,), 5.0 if n < slots + 2 else 2.0)
            for n in range(slots + 4)
        ]
        with mock.patch("knotwalk.control_plane.slice_manager.clock", lambda: now[0]):
            calls = [asyncio.ensure_future(conductor._grant(order)) for order in orders]
            for _ in range(5):
                await asyncio.sleep(0)
            self.assertEqual(begun, list(range(slots)))
            now[0] = 3.0
            free.set()
            await asyncio.gather(*calls)
            conductor.stop()
        self.assertEqual(begun, list(range(slots + 2)))
        self.assertEqual([fence for fence, status in ends if status == UNSENT], [slots + 2, slots + 3])


class LoadsCase(unittest.TestCase):
    def test_incremental_sums_equal_those_of_the_window(self):
        chance, loads = random.Random(4), LoadReports()
        for step in range(400):
            now = step / 10  # many reports at first, then one every three seconds
            for _ in range(chance.randrange(3) if step < 250 else step % 30 == 0):
                row = [0, 0, 2, chance.randrange(3), 0, chance.randrange(2), chance.random()]
                loads.add_report(
                    now,
                    {
                        "demand": {"s": {str(chance.randrange(9)): chance.randrange(3)}},
                        "nodes": {f"n{chance.randrange(5)}": row[:6] if step < 50 else row},
                    },
                    False,
                )
            found, _ = loads.window_sums(now)
            plain = {}
            for _, raw in loads.window:
                merge_report(plain, raw)
            for topic in ("demand", "nodes"):
                rows, wanted = found.get(topic, {}), plain.get(topic, {})
                if topic == "demand":
                    rows, wanted = ({k: [n] for k, n in table.get("s", {}).items()} for table in (rows, wanted))
                self.assertLessEqual(rows.keys(), wanted.keys())  # rows without any counts are not kept
                for id, row in wanted.items():
                    for a, b in zip(row, rows.get(id, [0, 0, row[2], 0, 0, 0, 0] if topic == "nodes" else [0])):
                        self.assertAlmostEqual(a, b)

    def test_demand_that_just_began_is_averaged_over_the_time_since(self):
        """When demand was divided by the whole window, capacities were estimated at a quarter of their value in a
        service's first seconds."""
        loads = LoadReports()
        for step in range(96):
            now, edge = step / 8, step % 8  # eight edges, each reports once a second; 80 requests/s from 5.0 on
            requests = max(0.0, min(1.0, now - 5.0)) * 10
            loads.add_report(now, {"demand": {"s": {"7": requests}} if requests else {}}, edge < 4)
            found, spans = loads.window_sums(now)
            if now > 7.1:
                self.assertAlmostEqual(found["demand"]["s"]["7"] / spans["s"], 80, delta=16, msg=now)
        self.assertEqual(loads.window_sums(20.0)[1], {})

    def test_a_lost_edge_is_forgotten_although_cores_report_edges_to_each_other(self):
        """The retry budget's slack is divided by the number of edges. When cores passed a lost edge on to each other,
        it kept its share for ever."""
        one, two = LoadReports(), LoadReports()
        counts = []
        for second in range(30):
            if second < 5:
                one.record_edge(second, "e-lost")
            one.record_edge(second, "e-1")
            two.record_edge(second, "e-2")
            for here, there in ((one, two), (two, one)):
                for name in here.take_unsent(second + 0.5)["edges"]:
                    there.record_edge(second + 0.5, name, False)
            counts.append((one.edge_count(second + 0.6), two.edge_count(second + 0.6)))
        self.assertEqual((counts[4], counts[-1]), ((3, 3), (2, 2)))


if __name__ == "__main__":
    unittest.main()
