"""The core program's rooms wired together in one process: three agreements over a wire and disks in memory."""

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

from knotwalk.configuration.read import document, patched, read_configuration
from knotwalk.consensus.orders import Pace, Save, Saved
from knotwalk.consensus.store import NAME, Damaged, Refused, Store
from knotwalk.control_plane import consensus_driver, control
from knotwalk.control_plane.consensus_driver import ConsensusDriver, NotLeader, opened
from knotwalk.control_plane.control import Control
from knotwalk.control_plane.list_poller import ListPoller
from knotwalk.control_plane.peer_api import PeerApi
from knotwalk.control_plane.slice_manager import LANES, SliceManager
from knotwalk.discovery.board import Board
from knotwalk.discovery.cluster_view import ClusterView
from knotwalk.discovery.loads import Loads, merge
from knotwalk.discovery.view_types import Node
from knotwalk.edge.view_poller import FIRST_POLL_WAIT_S, POLL_WAIT_S, ViewPoller
from knotwalk.leases.orders import UNSENT, Grant, Pace as LeasePace
from knotwalk.runtime.errors import PeerError
from knotwalk.runtime.packing import LEAST, unpack
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
    """Calls between agreements, as they would come over a connection; who is cut off is not reached."""

    def __init__(self) -> None:
        self.ends: dict[str, ConsensusDriver] = {}
        self.cut: set[str] = set()
        self.answers: list[tuple[str, list[dict]]] = []

    async def json(self, method, url, body, patience, step):
        await asyncio.sleep(0)
        address = url.split("/")[2]
        if address in self.cut:
            raise PeerError(step, address, "cut off")
        found = self.ends[address].exchange(json.loads(json.dumps(body)))
        self.answers += [(message["type"], found) for message in body]
        return found


class Disk:
    """A store that keeps all at once."""

    disk_mb = 0.02

    def write(self, save: Save) -> None:
        pass


class AgreementCase(JumpingCase):
    clocks = (consensus_driver, control)

    async def asyncSetUp(self) -> None:
        self.wire = Wire()
        founders = {f"{at}#founder": at for at in ADDRESSES}
        for n, at in enumerate(ADDRESSES):
            saved = Saved(f"{at}#founder", members=founders)
            self.wire.ends[at] = ConsensusDriver(Disk(), saved, self.wire, Pace(), n, float("-inf"))
        for end in self.wire.ends.values():
            end.start()

    async def asyncTearDown(self) -> None:
        for end in self.wire.ends.values():
            await end.close()

    async def until(self, met):
        async with asyncio.timeout(20):
            while not met():
                await asyncio.sleep(0.001)  # a turn of the loop, so that timers come due; bounded above

    async def leader(self) -> ConsensusDriver:
        await self.until(lambda: any(end.machine.settled for end in self.wire.ends.values()))
        return next(end for end in self.wire.ends.values() if end.machine.settled)

    async def test_a_follower_answers_the_leaders_letters_with_the_call_itself(self):
        """What an answer to messages holds is what commits wait for: left to the next heartbeat, each took 0.3 s."""
        leader = await self.leader()
        await leader.propose({"do": "shard", "services": ["s"]})
        appends = [found for kind, found in self.wire.answers if kind == "append"]
        self.assertTrue(appends)
        self.assertTrue(any(message["type"] == "appended" for found in appends for message in found))

    async def test_what_is_agreed_on_is_the_same_everywhere(self):
        leader = await self.leader()
        command = {"do": "configure", "base": 0, "version": 3, "digest": "d", "document": DOCUMENT}
        self.assertEqual(await leader.propose(command), "done")
        self.assertEqual(await leader.propose(command), "done")  # the same call, agreed on twice
        other = {**command, "version": 4, "digest": "e"}
        self.assertEqual(await leader.propose(other), "another version is in place")
        last = leader.machine.applied
        await self.until(lambda: all(end.state.applied >= last for end in self.wire.ends.values()))
        kept = [json.dumps(end.state.to_dict(), sort_keys=True) for end in self.wire.ends.values()]
        self.assertEqual(len(set(kept)), 1)
        self.assertEqual(leader.state.version, 3)

    async def test_few_large_entries_are_put_down_whole_before_they_fill_the_disk(self):
        """Compaction by count alone let some dozens of them fill it, and a full disk refuses what would make room."""
        leader = await self.leader()
        for _ in range(8):
            await leader.propose({"do": "nothing", "filler": "x" * 1000})
        await self.until(lambda: all(end.machine.snapshot[0] > 0 for end in self.wire.ends.values()))

    async def test_only_the_leader_reads_and_proposes(self):
        leader = await self.leader()
        follower = next(end for end in self.wire.ends.values() if end is not leader)
        with self.assertRaises(NotLeader):
            await follower.propose({"do": "shard", "services": ["s"]})
        with self.assertRaises(NotLeader):
            await follower.current()
        await leader.current()

    async def test_a_leader_cut_off_leads_no_more_and_the_others_go_on(self):
        leader = await self.leader()
        own = next(at for at, end in self.wire.ends.items() if end is leader)
        self.wire.cut.add(own)
        reach, self.wire.ends[own].caller = self.wire, Cut()
        await self.until(lambda: not leader.machine.settled)
        await self.until(lambda: any(end.machine.settled for end in self.wire.ends.values()))
        self.wire.cut.discard(own)
        leader.caller = reach
        fresh = await self.leader()
        self.assertIsNot(fresh, leader)
        await fresh.propose({"do": "shard", "services": ["s"]})
        await self.until(lambda: "s" in leader.state.ledger.slices)

    async def test_an_operator_is_sent_only_to_a_leader_heard_since_it_called(self):
        """One that was heard before the call may be gone by then: the caller would wait a second for it, and again."""
        leader = await self.leader()
        own = leader.machine.address
        await self.until(lambda: all(end.machine.leader == own for end in self.wire.ends.values()))
        self.wire.cut.add(own)
        reach, leader.caller = leader.caller, Cut()
        fellows = [end for end in self.wire.ends.values() if end is not leader]
        found = await asyncio.gather(*(Control(end, 8).read(None) for end in (leader, *fellows)))
        self.assertEqual(found[0].status, 503)  # it found out that it leads no more, and who does is not known there
        for one in found[1:]:
            self.assertNotEqual(one.headers.get("location"), f"http://{own.partition(':')[0]}:8/configuration")
        await self.until(lambda: any(end.machine.settled for end in fellows))
        self.wire.cut.discard(own)
        leader.caller = reach
        fresh = await self.leader()
        back = await Control(leader, 8).read(None)
        self.assertEqual(back.headers["location"], f"http://{fresh.machine.address.partition(':')[0]}:8/configuration")


class DamageCase(JumpingCase):
    """Three machines with real files; what one of them reads back is not what it wrote."""

    clocks = (consensus_driver,)

    async def test_a_damaged_log_file_is_another_machine_which_the_others_take_in(self):
        folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder)
        wire, founders, damage = Wire(), {f"{at}#founder": at for at in ADDRESSES}, []

        def start(at: str, first: bool) -> ConsensusDriver:
            store = Store()
            end = wire.ends[at] = ConsensusDriver(
                store, opened(store, str(folder / at), first, at, founders), wire, Pace(), 1, float("-inf")
            )
            end.machine.address, end.machine.contacts = at, [one for one in ADDRESSES if one != at]
            end.on_damage = lambda: damage.append(at)
            end.start()
            return end

        async def until(what) -> None:
            for _ in range(1000):
                if what():
                    return
                await asyncio.sleep(0.01)
            self.fail("waited in vain")

        for at in ADDRESSES:
            start(at, True)
        leads = lambda: next((one for one in wire.ends.values() if one.machine.settled), None)  # noqa: E731
        await until(leads)
        leader = leads()
        self.assertEqual(
            await leader.propose({"do": "configure", "base": 0, "version": 3, "digest": "d", "document": DOCUMENT}),
            "done",
        )
        victim = next(one for one in wire.ends.values() if one is not leader)
        at = victim.machine.address
        with mock.patch.object(victim.store, "write", side_effect=Damaged(victim.store.path, "malformed")):
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
        self.assertFalse(victim.machine._may_stand())
        wire.cut.add(at)  # an ended process answers nobody
        await victim.close()
        await asyncio.to_thread(victim.writer.shutdown)
        victim.store.close()
        path = folder / at / NAME
        path.write_bytes(path.read_bytes()[:5000].ljust(path.stat().st_size, b"x"))
        with (
            mock.patch.object(Store, "set_aside", side_effect=Refused(path, "no")),
            self.assertRaises(StopIteration),
            self.assertLogs(level="WARNING"),
        ):
            opened(Store(), str(folder / at), True, at, founders, mock.Mock(side_effect=[StopIteration]))
        await asyncio.sleep(0.01)  # an end and a start aren't one moment: who answers at it is alive
        wire.cut.discard(at)
        with self.assertLogs(level="WARNING") as said:
            fresh = start(at, True)
        self.assertEqual(len(said.output), 1)
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
    async def json(self, method, url, body, patience, step):
        await asyncio.sleep(0)
        raise PeerError(step, url, "cut off")


class LinkCase(unittest.IsolatedAsyncioTestCase):
    async def test_a_core_that_fell_silent_is_not_asked_next_though_it_is_the_near_one(self):
        asked: list[str] = []
        waits: list[float] = []

        class Cores:
            async def json(self, method, url, body, patience, step):
                asked.append(url.split("/")[2])
                waits.append(body["wait"])
                if len(asked) == 2:  # the near one, which has answered once
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
            )  # one that is not known to live is not waited for long

    async def test_a_core_that_never_gets_fresh_is_served_by_and_others_are_asked_all_the_while(self):
        """What an edge that just started has from a core that just started is better than nothing, and no more."""
        board = Board("b")
        board.set_config(5, DOCUMENT)
        nodes = {"x": Node("x", "s", ("10.0.1.1", 80), "z", 2)}
        asked, heard = [], []

        class Cores:
            async def json(self, method, url, body, patience, step):
                asked.append((url, body.get("bare", False)))
                if len(asked) == 9:
                    raise asyncio.CancelledError
                told = {"fresh": False, "zone": "z", "edges": 1}
                if len(asked) == 1:
                    return told | {"provisional": {"config": {"order": 5}, "nodes": {}}}  # not understood
                return told | {"provisional": json.loads(json.dumps(board.provisional(nodes, 0.0)))}

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
        self.assertEqual((heard, view_poller.view.whole, view_poller.view.config_order), ([0], True, 5))
        self.assertTrue(view_poller.view.provisional)


class ProvisionalCase(unittest.IsolatedAsyncioTestCase):
    """What a core that only just started tells an edge that has nothing."""

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

        self.platform, self.board, self.machine = Platform(), Board("b"), SimpleNamespace(rumour=None, role="follower")
        consensus = SimpleNamespace(machine=self.machine)
        list_poller = ListPoller(
            SimpleNamespace(platform=SimpleNamespace(address=("h", 1)), zone="z"),
            consensus,
            self.board,
            self.platform,
            "me",
        )
        self.peer_api = PeerApi("me", consensus, list_poller, None, self.board, Loads(), None)

    async def ask(self, **more):
        asked = json.dumps({"edge": "e", "epoch": "", "at": 0, "wait": 0.0, "bare": True} | more).encode()
        return json.loads((await self.peer_api.view(SimpleNamespace(body=asked, headers={}))).body)

    async def test_a_large_view_is_packed_for_an_edge_that_takes_it(self):
        self.board.set_config(5, DOCUMENT | {"filler": "x" * LEAST})
        asked = json.dumps({"edge": "e", "epoch": "", "at": 0, "wait": 0.0, "bare": True}).encode()
        plain, found = [
            await self.peer_api.view(SimpleNamespace(body=asked, headers=headers))
            for headers in ({}, {"accept-encoding": "deflate"})
        ]
        self.assertNotIn("content-encoding", plain.headers)
        self.assertEqual(found.headers["content-encoding"], "deflate")
        self.assertEqual(unpack(found.body, 10 * LEAST), plain.body)
        self.assertLess(len(found.body), len(plain.body) / 4)

    async def test_only_a_bare_edge_is_told_and_only_before_a_leader_is_known(self):
        self.assertNotIn("provisional", await self.ask())
        self.assertEqual(self.calls, 0)  # nothing on the disk: nothing is asked for
        self.board.set_config(5, DOCUMENT)
        told = await asyncio.gather(self.ask(), self.ask(), self.ask())
        self.assertEqual(self.calls, 1)  # a platform's call for all
        for one in told:
            self.assertFalse(one["fresh"])
            view = ClusterView()
            self.assertEqual(view.provide(0.0, one["provisional"]), {"config", "nodes"})
            self.assertTrue(view.whole and view.nodes["i-1"].draining)
        self.assertNotIn("provisional", await self.ask(bare=False))
        self.machine.rumour = "a:1"
        self.assertNotIn("provisional", await self.ask())
        self.machine.rumour, self.peer_api.fresh_until = None, 1.0
        self.assertNotIn("provisional", await self.ask())
        self.assertEqual(self.calls, 1)

    async def test_a_list_that_cannot_be_read_is_none(self):
        self.board.set_config(5, DOCUMENT)
        self.platform.status = 429
        for _ in range(3):
            self.assertNotIn("provisional", await self.ask())
        self.assertEqual(self.calls, 1)  # no more often than a leader would ask


class BoardCase(unittest.TestCase):
    """A cluster view never goes back, whichever of two boards it hears."""

    def nodes(self, *ids):
        return {id: Node(id, "s", ("10.0.1.1", 80 + n), "z", 2) for n, id in enumerate(ids)}

    def tell(self, board: Board, view: ClusterView) -> set[str]:
        message = board.since(json.loads(json.dumps(view.ask())), 0.0)
        return view.apply(0.0, json.loads(json.dumps(message))) if message else set()

    def test_changes_only_and_never_back(self):
        ahead, behind, view = Board("a"), Board("b"), ClusterView()
        for board in (ahead, behind):
            board.set_config(5, DOCUMENT)
            board.set_nodes((1, 1), self.nodes("x", "y"))
            board.set_lines(7, "s", {0: ("x", True), 1: ("x", True), 2: ("y", False)})
        self.assertEqual(self.tell(ahead, view), {"config", "nodes", "lines"})
        self.assertTrue(view.whole)
        ahead.set_config(9, {**DOCUMENT, "config_version": "r4"})
        ahead.set_nodes((1, 2), self.nodes("x"))
        ahead.set_lines(8, "s", {2: ("x", True)})
        self.assertEqual(self.tell(ahead, view), {"config", "nodes", "lines"})
        self.assertEqual(self.tell(behind, view), set())  # whole, but older in every topic
        self.assertEqual((view.configuration.version, set(view.nodes)), (4, {"x"}))
        self.assertEqual(view.shardings["s"].lines[2].owner, "x")
        behind.set_lines(11, "s", {1: ("", False), 2: ("x", True)})
        behind.set_nodes((2, 1), self.nodes("x", "z"))
        self.assertEqual(self.tell(behind, view), {"nodes", "lines"})
        self.assertEqual([line.owner for line in view.shardings["s"].lines[:3]], ["x", "", "x"])
        self.assertEqual(set(view.nodes), {"x", "z"})

    def change(self, board: Board, order: int) -> None:
        """The next configuration, made as the log makes it: items not named stay the same objects."""
        before = read_configuration(board.config[1])
        route = before.items["routes", "r"]
        route = route | {"specification": route["specification"] | {"timeout": f"{order}s"}}
        board.set_config(
            order,
            document(patched(before, {"config_version": f"r{before.version + 1}", "upsert": {"objects": [route]}})),
        )

    def test_a_provisional_picture_is_replaced_by_any_fresh_one_and_never_follows_one(self):
        old, fresh, view = Board("a"), Board("b"), ClusterView()
        old.set_config(50, {**DOCUMENT, "config_version": "r9"})
        old.set_lines(51, "s", {0: ("x", True), 9: ("gone", True)})
        old.set_lines(52, "dropped", {0: ("x", True)})
        provisional = json.loads(json.dumps(old.provisional(self.nodes("x", "gone"), 0.0)))
        self.assertTrue(view.ask()["bare"])
        self.assertEqual(view.provide(0.0, provisional), {"config", "nodes", "lines"})
        self.assertEqual(view.provide(0.0, provisional | {"nodes": {}}), set())  # one is enough
        self.assertEqual((view.whole, view.shardings["s"].lines[9].node.id), (True, "gone"))
        self.assertEqual(
            {k: v for k, v in view.ask().items() if k != "at"},
            {"epoch": "", "config": 50, "nodes": (-1, -1), "lines": -1, "provisional": True},
        )
        fresh.set_config(5, DOCUMENT)  # behind, fresh by a leader of before: what is committed is not gone back from
        self.assertEqual(self.tell(fresh, view), set())
        self.assertEqual((view.configuration.version, view.provisional), (9, True))
        fresh.set_config(60, DOCUMENT | {"config_version": "r11"})  # a fresh core before its leader has read the list
        fresh.set_lines(7, "s", {0: ("x", True), 1: ("y", True)})
        self.assertEqual(self.tell(fresh, view), {"config", "lines"})
        self.assertEqual((view.whole, view.provisional, set(view.nodes)), (True, True, {"x", "gone"}))
        self.assertEqual((view.configuration.version, set(view.shardings)), (11, {"s"}))
        self.assertEqual(view.shardings["s"].lines[9].owner, "")
        fresh.set_nodes((1, 1), self.nodes("x", "y"))
        self.assertEqual(self.tell(fresh, view), {"nodes"})
        self.assertEqual((view.whole, view.provisional, set(view.nodes)), (True, False, {"x", "y"}))
        self.assertEqual(view.shardings["s"].lines[1].node.id, "y")
        self.assertEqual(view.provide(0.0, provisional), set())
        self.assertEqual(view.configuration.version, 11)

    def test_changes_alone_or_the_whole_by_what_the_picture_has_whichever_board_it_heard(self):
        one, two = Board("a"), Board("b")
        views = [ClusterView(), ClusterView(), ClusterView()]
        much = {
            **DOCUMENT,
            "objects": DOCUMENT["objects"]
            + [{"object_kind": "services", "metadata": {"name": f"s{n}"}, "specification": {}} for n in range(60)],
        }
        for board in (one, two):
            board.set_config(5, much)
            board.set_lines(7, "s", {k: ("x" if k % 2 else "y", True) for k in range(40)})
        for board, view in zip((one, one, two), views):
            self.tell(board, view)
        for order in (6, 7, 8):
            for board in (one, two):
                self.change(board, order)
            self.tell(one, views[0])
        self.assertEqual(two.since(views[0].ask(), 0.0), {"epoch": "b", "at": two.at})
        behind = [board.since(views[1].ask(), 0.0)["config"] for board in (one, two)]
        self.assertEqual(behind[0], behind[1])
        self.assertEqual((behind[0]["base"], len(behind[0]["changes"])), (5, 3))
        two.set_lines(8, "s", {3: ("z", False)})
        self.assertEqual(two.since(views[0].ask(), 0.0)["lines"], {"order": 8, "set": {"s": [[3, 3, "z", 0]]}})
        for board, view in zip((one, two, one), views):
            self.tell(board, view)
            self.assertEqual(document(view.configuration), one.config[1])
            self.assertEqual(view.index.find("a.example", "/a/").timeout, 8.0)
        two.set_config(9, json.loads(json.dumps(one.config[1])))  # came whole, as by a snapshot
        for order in range(10, 300):
            self.change(one, order)
        self.assertLess(sum(size for _, _, size in one.changes), len(json.dumps(much)))
        for board, has in ((two, 5), (two, 8), (one, 8)):
            self.assertIn("document", board.since({"epoch": "", "at": 0, "config": has}, 0.0)["config"])

    def test_a_change_that_fits_not_is_left_out_and_the_whole_is_asked_for(self):
        board, view = Board("a"), ClusterView()
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
            self.assertEqual((bool(view.fault), view.ask()["config"], view.epoch, view.lines_order), (True, -1, "a", 9))
            self.assertIs(view.configuration, standing)
        board.set_config(9, {**DOCUMENT, "config_version": "r6"})
        self.assertEqual(self.tell(board, view), {"config"})
        self.assertEqual((view.fault, view.ask()["config"]), ("", 9))

    def test_a_change_of_the_list_is_told_only_to_who_had_the_list_before(self):
        """A cluster view ahead of a board took the board's next change onto another list: a gone node stayed."""
        ahead, behind, view = Board("a"), Board("b"), ClusterView()
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
            behind.set_nodes((2, turn), cold, True)  # read again, the same: nobody need ask for it
            self.assertEqual(behind.nodes_order, (2, order))
        for order, ids in (((1, 3), "xy"), ((2, 1), "xy"), ((2, 4), "x")):
            ahead.set_nodes(order, self.nodes(*ids))
        found = ahead.since(view.ask(), 0.0)["nodes"]
        self.assertEqual((found["full"], found["set"], found["gone"]), (False, {}, ["y"]))

    def test_a_long_gone_node_needs_no_tombstone(self):
        board, view = Board("a"), ClusterView()
        board.set_config(1, DOCUMENT)
        for turn in range(300):
            board.set_nodes((1, turn), self.nodes("x", f"n{turn}"))
            if turn in (3, 299):
                self.tell(board, view)
        self.assertEqual(set(view.nodes), {"x", "n299"})
        self.assertLess(len(board.node_at), 120)


class ListCase(unittest.IsolatedAsyncioTestCase):
    async def test_a_list_that_stays_has_no_new_order(self):
        """Each order had the other cores ask for the whole list, twice a second: 0.6 of 15.7 MB between zones."""
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
            Board("b"),
            Platform(),
            "me",
        )
        orders = []
        list_poller.on_nodes = lambda: orders.append(list_poller.board.nodes_order)
        with (
            mock.patch.object(ListPoller, "proven", True),
            mock.patch("knotwalk.control_plane.list_poller.POLL", 0),
            self.assertRaises(asyncio.CancelledError),
        ):
            await list_poller.poll()
        self.assertEqual(
            (orders, list_poller.board.nodes_order), ([(3, 1), (3, 3)], (3, 3))
        )  # the second was like the first
        self.assertTrue(list_poller.board.nodes["i-1"].draining)

    async def test_a_reading_that_fails_when_its_callers_have_left_is_no_fault(self):
        """An edge gives its call up before the list does; nobody is left to take the reading's error."""
        faults, failing = [], asyncio.Event()
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: faults.append(context["message"]))

        class Silent:
            async def send(self, *_):
                await failing.wait()
                raise PeerError("list", "h:1", "no answer within 1 s")

        settings = SimpleNamespace(platform=SimpleNamespace(address=("h", 1)))
        list_poller = ListPoller(settings, SimpleNamespace(), Board("b"), Silent(), "me")
        left, stays = (asyncio.ensure_future(list_poller.own_nodes()) for _ in range(2))
        await asyncio.sleep(0)
        left.cancel()
        failing.set()
        self.assertEqual(await stays, {})
        failing.clear()
        list_poller.own_list_at = float("-inf")
        left = asyncio.ensure_future(list_poller.own_nodes())
        await asyncio.sleep(0)
        left.cancel()
        await asyncio.wait([left])
        failing.set()
        await asyncio.wait([list_poller.own_list])
        list_poller.own_list = None
        gc.collect()
        await asyncio.sleep(0)
        self.assertEqual(faults, [])


class LanesCase(unittest.IsolatedAsyncioTestCase):
    async def test_a_few_grants_at_once_to_a_node_and_none_begun_past_its_lease(self):
        """A conductor that took slices over granted 118 runs to one node at once, which reset what was over its
        bound."""
        begun, ends, now, free = [], [], [1.0], asyncio.Event()

        class Node:
            async def send(self, method, url, body, *_):
                begun.append(body["fence"])
                await free.wait()
                return 200, {}, b""

        conductor = SliceManager("me", None, Board("b"), Loads(), Node(), LeasePace(), 1, None)
        conductor.keeper.answered = lambda at, order, status, *_: ends.append((order.fence, status))
        lanes = LANES["grant"]
        orders = [
            Grant("i-1", ("10.0.1.1", 80), 0, 31, n, 6.0, None, "s", (0,), 5.0 if n < lanes + 2 else 2.0)
            for n in range(lanes + 4)
        ]
        with mock.patch("knotwalk.control_plane.slice_manager.clock", lambda: now[0]):
            calls = [asyncio.ensure_future(conductor._grant(order)) for order in orders]
            for _ in range(5):
                await asyncio.sleep(0)
            self.assertEqual(begun, list(range(lanes)))
            now[0] = 3.0
            free.set()
            await asyncio.gather(*calls)
            conductor.stop()
        self.assertEqual(begun, list(range(lanes + 2)))
        self.assertEqual([fence for fence, status in ends if status == UNSENT], [lanes + 2, lanes + 3])


class LoadsCase(unittest.TestCase):
    def test_sums_kept_up_are_those_of_the_window(self):
        chance, loads = random.Random(4), Loads()
        for step in range(400):
            now = step / 10  # busy at first, then one report now and then
            for _ in range(chance.randrange(3) if step < 250 else step % 30 == 0):
                row = [0, 0, 2, chance.randrange(3), 0, chance.randrange(2), chance.random()]
                loads.add(
                    now,
                    {
                        "demand": {"s": {str(chance.randrange(9)): chance.randrange(3)}},
                        "nodes": {f"n{chance.randrange(5)}": row[:6] if step < 50 else row},
                    },
                    False,
                )
            found, _ = loads.sums(now)
            plain = {}
            for _, raw in loads.window:
                merge(plain, raw)
            for topic in ("demand", "nodes"):
                rows, wanted = found.get(topic, {}), plain.get(topic, {})
                if topic == "demand":
                    rows, wanted = ({k: [n] for k, n in table.get("s", {}).items()} for table in (rows, wanted))
                self.assertLessEqual(rows.keys(), wanted.keys())  # of rows that say nothing none is kept
                for id, row in wanted.items():
                    for a, b in zip(row, rows.get(id, [0, 0, row[2], 0, 0, 0, 0] if topic == "nodes" else [0])):
                        self.assertAlmostEqual(a, b)

    def test_demand_that_begins_is_counted_over_the_time_since(self):
        """Divided by all of the window, capacities were learned as a quarter of what they are in a service's first
        seconds."""
        loads = Loads()
        for step in range(96):
            now, edge = step / 8, step % 8  # eight edges, a report a second each; 80 requests a second from 5.0
            requests = max(0.0, min(1.0, now - 5.0)) * 10
            loads.add(now, {"demand": {"s": {"7": requests}} if requests else {}}, edge < 4)
            found, spans = loads.sums(now)
            if now > 7.1:
                self.assertAlmostEqual(found["demand"]["s"]["7"] / spans["s"], 80, delta=16, msg=now)
        self.assertEqual(loads.sums(20.0)[1], {})

    def test_a_lost_edge_is_forgotten_though_cores_tell_each_other_of_edges(self):
        """The budget's slack is shared by the count: passed on and on, a lost edge kept its part for ever."""
        one, two = Loads(), Loads()
        counts = []
        for second in range(30):
            if second < 5:
                one.heard(second, "e-lost")
            one.heard(second, "e-1")
            two.heard(second, "e-2")
            for here, there in ((one, two), (two, one)):
                for name in here.take(second + 0.5)["edges"]:
                    there.heard(second + 0.5, name, False)
            counts.append((one.count(second + 0.6), two.count(second + 0.6)))
        self.assertEqual((counts[4], counts[-1]), ((3, 3), (2, 2)))


if __name__ == "__main__":
    unittest.main()
