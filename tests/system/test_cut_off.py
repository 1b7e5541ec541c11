"""Core machines that are cut off, frozen or come back with an old disk: what they answer, to whom, and for how long.

The rooms of three core programs in one process, over a wire in memory with directions, in time that only jumps.
"""

import asyncio
import json
import unittest
from concurrent.futures import Future
from contextlib import ExitStack, contextmanager
from types import SimpleNamespace
from unittest import mock

from knotwalk.configuration.read import document
from knotwalk.consensus.orders import Pace, Save, Saved
from knotwalk.control_plane import consensus_driver, control, list_poller, peer_api
from knotwalk.control_plane.consensus_driver import ConsensusDriver, Lost
from knotwalk.control_plane.control import Control
from knotwalk.control_plane.list_poller import ListPoller
from knotwalk.control_plane.peer_api import FRESH, PROVISIONAL, PeerApi
from knotwalk.discovery.board import Board
from knotwalk.discovery.cluster_view import ClusterView
from knotwalk.discovery.loads import Loads
from knotwalk.discovery.view_types import Node
from knotwalk.edge import view_poller
from knotwalk.edge.view_poller import ViewPoller
from knotwalk.leases.tenure import LEASE, PROOF
from knotwalk.runtime.errors import PeerError
from tests.standins.jumps import Loop, clock
from tests.system.test_control_plane import ADDRESSES, DOCUMENT

CUT = 20.0  # seconds, as in the users' letter
INSTANCE = {
    "service": "s",
    "address": "10.0.1.1:80",
    "zone": "z",
    "capacity": 2,
    "state": "ready",
    "config_version": "v1",
    "warmup_left": "0ms",
}


class Inline:
    """An executor that works at once, in the caller's thread."""

    def submit(self, work, *given):
        done = Future()
        try:
            done.set_result(work(*given))
        except Exception as error:  # as an executor does it
            done.set_exception(error)
        return done

    def shutdown(self, wait=True):
        pass


class Forgets(dict):
    """Keeps nothing."""

    def __setitem__(self, index, said):
        pass


class Disk:
    """A store that keeps all at once."""

    disk_mb = 64

    def write(self, save: Save) -> None:
        pass


class Core:
    """One core machine's rooms, wired as control_plane/__main__ does it."""

    def __init__(self, world, at, saved, seed):
        self.world, self.at = world, at
        self.thawed = asyncio.Event()
        self.thawed.set()
        self.consensus = ConsensusDriver(Disk(), saved, self, Pace(), seed, float("-inf"))
        self.consensus.writer = Inline()
        self.consensus.machine.address = at
        self.board, self.loads = Board(f"b{seed}"), Loads()
        settings = SimpleNamespace(platform=SimpleNamespace(address=("h", 1)), zone="z")
        self.poller = ListPoller(settings, self.consensus, self.board, self, saved.me)
        conductor = SimpleNamespace(leased=lambda *_: None, look=lambda **_: None, stop=lambda: None)
        self.peers = PeerApi(saved.me, self.consensus, self.poller, conductor, self.board, self.loads, self)
        self.control = Control(self.consensus, 9)
        self.consensus.on_config = self.configured
        self.consensus.on_restore = self.configured
        self.consensus.on_role = lambda role: self.poller.role(role.role == "leader")
        self.poller.on_nodes = self.peers.changed
        self.configured()
        self.board.set_cores(sorted(ADDRESSES))
        self.consensus.start()
        loop = asyncio.get_running_loop()
        works = (self.peers.keep_lease(), self.poller.poll(), self.poller.keep_leases())
        self.tasks = [loop.create_task(work) for work in works]

    def configured(self):
        state = self.consensus.state
        if state.configuration is not None:
            self.board.set_config(state.order, document(state.configuration))
            self.peers.changed()

    @property
    def leads(self):
        return self.consensus.machine.settled

    # --- as its caller

    async def json(self, method, url, body, patience, step):
        return await self.world.call(self, url, json.loads(json.dumps(body)), patience, step)

    async def send(self, *_):
        await asyncio.sleep(0.002)
        return 200, {}, json.dumps({"instances": {"i-1": INSTANCE}, "next_token": None}).encode()

    # --- as a server

    async def serve(self, path, body):
        """A call's answer, as far as this process runs; one computed before a freeze leaves after it."""
        await self.thawed.wait()
        handler = {"/consensus": self.peers.messages, "/lease": self.peers.lease, "/nodes": self.peers.nodes}
        handler |= {"/cluster-view": self.peers.view, "/proposal": self.peers.proposal, "/loads": self.peers.share}
        found = await handler[path](SimpleNamespace(body=json.dumps(body).encode(), headers={}))
        await self.thawed.wait()
        return found

    async def operate(self, method, version=None, base=None, body=None):
        """An operator's call straight to this machine: status, body or Location; None for what is given up."""
        if body is None:
            body = json.dumps(DOCUMENT | {"config_version": version}).encode()
        request = SimpleNamespace(method=method, body=body, headers={"if-match": base} if base else {})
        await self.thawed.wait()
        try:
            async with asyncio.timeout(8):
                found = await (self.control.read if method == "GET" else self.control.change)(request)
        except TimeoutError:
            return 0, None
        await self.thawed.wait()
        return found.status, found.headers.get("location") or json.loads(found.body)

    def freeze(self):
        """Stand still: timers don't come, calls and answers wait. The works only look, and see their time gone by."""
        self.thawed.clear()
        self.consensus.timer.cancel()
        for task in self.tasks:
            task.cancel()

    def thaw(self):
        self.thawed.set()
        self.consensus.turn()
        works = (self.peers.keep_lease(), self.poller.poll(), self.poller.keep_leases())
        self.tasks = [asyncio.get_running_loop().create_task(work) for work in works]

    async def end(self):
        for task in self.tasks:
            task.cancel()
        await self.consensus.close()


class World:
    """Three cores and the links between them; `blocked` holds the directions in which nothing passes."""

    def __init__(self):
        self.blocked: set[tuple[str, str]] = set()
        self.refuses = False  # a cut refuses at once instead of saying nothing
        self.cores: dict[str, Core] = {}

    async def start(self):
        founders = {f"{at}#founder": at for at in ADDRESSES}
        for n, at in enumerate(ADDRESSES):
            self.cores[at] = Core(self, at, Saved(f"{at}#founder", members=founders), n)
        assert (await self.order("r3", "0"))[0] == 200
        await self.until(lambda: all(core.consensus.state.version == 3 for core in self.cores.values()))
        await self.until(lambda: all(core.peers.fresh_until > clock() for core in self.cores.values()))

    async def until(self, met):
        async with asyncio.timeout(30):
            while not met():
                await asyncio.sleep(0.01)

    async def call(self, sender, url, body, patience, step):
        """A call between machines. What is lost on either way is given up after its patience, or refused at once."""
        address, _, path = url.removeprefix("http://").partition("/")
        mine = getattr(sender, "at", "edge")
        try:
            async with asyncio.timeout(patience):
                await self.passes(mine, address)
                found = await self.cores[address].serve(f"/{path}", body)
                await self.passes(address, mine)
                if hasattr(sender, "thawed"):
                    await sender.thawed.wait()
        except (TimeoutError, ConnectionError) as error:
            raise PeerError(step, address, str(error)) from None
        if found.status != 200:
            raise PeerError(step, address, f"status {found.status}")
        return json.loads(found.body)

    async def passes(self, sender, receiver):
        await asyncio.sleep(0.001)
        if (sender, receiver) in self.blocked or receiver not in self.cores and receiver != "edge":
            if self.refuses:
                raise ConnectionError("refused")
            await asyncio.Event().wait()

    def leader(self):
        return next((core for core in self.cores.values() if core.leads), None)

    async def order(self, version, base, among=None):
        """What an operator does: the same order to one after the other, until one answers clearly."""
        for _ in range(200):
            for core in among or list(self.cores.values()):
                status, told = await core.operate("PUT", version, base)
                if status in (200, 400, 412, 413):
                    return status, told
            await asyncio.sleep(0.05)
        raise AssertionError("no clear answer")

    def cut(self, at, shape):
        others = [one for one in ADDRESSES if one != at]
        if shape == "one other":
            others = others[:1]
        if shape in ("both ways", "one other", "heard not"):
            self.blocked |= {(one, at) for one in others}
        if shape in ("both ways", "one other", "hears only"):
            self.blocked |= {(at, one) for one in others}

    async def end(self):
        for core in self.cores.values():
            await core.end()


@contextmanager
def jumping(*modules):
    with ExitStack() as stack:
        for module in modules or (consensus_driver, control, list_poller, peer_api, view_poller):
            stack.enter_context(mock.patch.object(module, "clock", clock))
        for module in (consensus_driver, control, list_poller, peer_api, view_poller):
            for name in ("log_info", "log_warning"):
                if hasattr(module, name):
                    stack.enter_context(mock.patch.object(module, name))
        yield


def play(story):
    """Play an async story in a world of its own, in time that jumps."""

    async def played():
        world = World()
        try:
            await world.start()
            await story(world)
        finally:
            await world.end()

    with jumping(), asyncio.Runner(loop_factory=Loop) as runner:
        runner.run(played())


# Every kind of call whose answer tells of agreed state: what it is, the answer of who knows r3, and of who knows r7.
CALLS = {
    "read": (("GET",), (200, "r3"), (200, "r7")),
    "stale": (("PUT", "r4", "0"), (412, "r3"), (412, "r7")),
    "not above": (("PUT", "r2", "r3"), (400, None), (412, "r7")),
    "repeat": (("PUT", "r3", "0"), (200, "r3"), (200, "r3")),
    "no base": (("PUT", "r9"), (400, None), (400, None)),
    "unreadable": (("PUT", None, "r3", b"{"), (400, None), (400, None)),
    "too large": (("PUT", None, "r3", b" " * (16 * 1024 * 1024 + 1)), (413, None), (413, None)),
}


def clear(found):
    """An answer as CALLS has it, or None where it is no clear one."""
    status, told = found
    return (status, told.get("config_version")) if status in (200, 400, 404, 412, 413) else None


class OperatorCase(unittest.TestCase):
    """What a cut off machine says to an operator."""

    def probe(self, world, core, log):
        """All kinds of calls at once; what came of each, with the time it was begun."""

        async def one(kind, begun):
            log.append((kind, begun, clear(await core.operate(*CALLS[kind][0]))))

        return [asyncio.ensure_future(one(kind, clock())) for kind in CALLS]

    async def through(self, world, core, begin, end, log, others=None):
        """Begin a trouble, take r7 at the others meanwhile, end it after CUT; when r7 was acknowledged."""
        others = others or [one for one in world.cores.values() if one is not core]
        begin()
        start, calls = clock(), []
        taken = asyncio.ensure_future(world.order("r7", "r3", others))
        acked = asyncio.ensure_future(self.ended(taken))
        for after in (0.0, 0.05, 0.2, 0.4, 0.46, 0.7, 1.2, 2.0, 5.0, 12.0, CUT - 0.3):
            await asyncio.sleep(max(0.0, start + after - clock()))
            calls += self.probe(world, core, log)
        await asyncio.sleep(start + CUT - clock())
        end()
        calls += self.probe(world, core, log)
        await asyncio.gather(*calls)
        self.assertEqual((await taken)[0], 200)
        await world.until(lambda: core.consensus.state.version == 7)
        status, told = await core.operate("GET")
        self.assertTrue(status == 307 or (status, told["config_version"]) == (200, "r7"), (status, told))
        return start, await acked

    async def ended(self, task):
        await task
        return clock()

    def check(self, log, acked):
        """Nothing old: who was asked after r7 was acknowledged answers by r7 or not clearly."""
        for kind, begun, found in log:
            allowed = CALLS[kind][2:] if begun > acked else CALLS[kind][1:]
            self.assertIn(found, (None, *allowed), (kind, begun, acked))

    def test_who_is_cut_from_the_majority_answers_nothing_clearly_and_redirects_to_no_one_but_another(self):
        for shape in ("both ways", "hears only", "heard not"):
            for role in ("leader", "follower"):
                for refuses in (False, True):
                    with self.subTest(shape=shape, role=role, refuses=refuses):

                        async def story(world):
                            core = world.leader()
                            if role == "follower":
                                core = next(one for one in world.cores.values() if one is not core)
                            world.refuses, log = refuses, []
                            start, acked = await self.through(
                                world, core, lambda: world.cut(core.at, shape), world.blocked.clear, log
                            )
                            self.check(log, acked)
                            during = [found for _, begun, found in log if begun < start + CUT - 0.3]
                            self.assertEqual(set(during), {None})

                        play(story)

    def test_who_is_cut_from_one_other_or_frozen_answers_nothing_old(self):
        for shape in ("one other", "frozen"):
            for role in ("leader", "follower"):
                with self.subTest(shape=shape, role=role):

                    async def story(world):
                        core, log = world.leader(), []
                        if role == "follower":
                            core = next(one for one in world.cores.values() if one is not core)
                        if shape == "frozen":
                            begin, end, among = core.freeze, core.thaw, None
                        else:  # a leader still leads, since one of the others hears it
                            begin, end = lambda: world.cut(core.at, shape), world.blocked.clear
                            among = list(world.cores.values())
                        _, acked = await self.through(world, core, begin, end, log, among)
                        self.check(log, acked)

                    play(story)

    def test_a_follower_that_stood_still_sends_nobody_to_the_leader_of_before(self):
        async def story(world):
            before = world.leader()
            core = next(one for one in world.cores.values() if one is not before)
            core.freeze()
            world.cut(core.at, "both ways")
            await asyncio.sleep(5)
            core.thawed.set()  # thawed, and no timer of its own has come yet
            self.assertEqual(core.consensus.machine.leader, before.at)
            self.assertEqual((await core.operate("GET"))[0], 503)
            core.thaw()
            self.assertEqual(core.control.elsewhere(core.at).status, 503)  # sent to itself it would go round

        play(story)

    def test_what_was_agreed_on_and_is_not_remembered_is_unknown(self):
        async def story(world):
            leader = world.leader()
            leader.consensus.results = Forgets()
            with self.assertRaises(Lost):
                await leader.consensus.propose({"do": "nothing"})

        play(story)


class EdgeCase(unittest.TestCase):
    """What a cut off machine says to edges, and how long they go by it."""

    def edge(self, world, seeds, seed=1):
        news = []
        edge = ViewPoller(
            "e", ClusterView(), world_caller(world), seeds, seed, "z", dict, lambda *told: news.append(told)
        )
        return edge, news

    def test_no_core_calls_itself_fresh_for_longer_than_its_leader_was_proven_and_fresh_after(self):
        for shape in ("both ways", "hears only", "heard not", "frozen"):
            for role in ("leader", "follower"):
                with self.subTest(shape=shape, role=role):

                    async def story(world):
                        core = world.leader()
                        if role == "follower":
                            core = next(one for one in world.cores.values() if one is not core)
                        core.freeze() if shape == "frozen" else world.cut(core.at, shape)
                        start, fresh = clock(), []
                        asked = {"edge": "e", "epoch": core.board.epoch, "at": core.board.at, "wait": 1.0}
                        while clock() < start + 5:
                            begun = clock()
                            told = json.loads(
                                (await core.peers.view(SimpleNamespace(body=json.dumps(asked), headers={}))).body
                            )
                            if told["fresh"]:
                                fresh.append(clock() - start)
                            await asyncio.sleep(max(0.01, begun + 0.05 - clock()))
                        self.assertLess(max(fresh, default=0.0), PROOF + FRESH + 0.01)

                    play(story)

    def test_a_leader_gives_no_lease_on_answers_older_than_its_proof_though_it_has_not_stepped_down(self):
        async def story(world):
            leader = world.leader()
            me = leader.consensus.machine.me
            self.assertIsNotNone(leader.poller.lease(me))
            leader.freeze()
            last = leader.consensus.machine.majority_at
            await asyncio.sleep(last + PROOF - 0.01 - clock())
            self.assertIsNotNone(leader.poller.lease(me))
            await asyncio.sleep(0.02)
            self.assertEqual((leader.consensus.machine.role, leader.poller.lease(me)), ("leader", None))

        play(story)

    def alone(self, world, at):
        """`at` starts anew with its disk, cut off from the other cores but not from edges."""
        machine = world.cores[at].consensus.machine
        saved = Saved(
            machine.me,
            machine.term,
            machine.vote,
            members=dict(machine.members),
            entries=list(machine.log.entries),
            commit=machine.commit,
        )
        return Core(world, at, saved, 9)

    async def behind(self, world):
        """A machine that starts with an old disk, alone, while the others hold r7 and lead."""
        core = next(one for one in world.cores.values() if not one.leads)
        world.cut(core.at, "both ways")
        await core.end()
        others = [one for one in world.cores.values() if one is not core]
        self.assertEqual((await world.order("r7", "r3", others))[0], 200)
        world.cores[core.at] = self.alone(world, core.at)
        return world.cores[core.at], others

    def test_one_that_came_back_alone_answers_no_operator_clearly(self):
        async def story(world):
            core, _ = await self.behind(world)
            for after in (0.0, 0.5, 2.0, 6.0):
                await asyncio.sleep(after)
                found = await asyncio.gather(*(core.operate(*call) for call, *_ in CALLS.values()))
                self.assertEqual([status for status, _ in found], [503] * len(CALLS))

        play(story)

    def test_an_edge_that_starts_at_one_that_is_alone_goes_by_it_until_it_has_asked_the_others(self):
        for seed in range(6):
            for silent in (0, 1):
                with self.subTest(seed=seed, silent=silent):

                    async def story(world):
                        core, others = await self.behind(world)
                        if silent:  # one more core that answers nobody but its fellow
                            follower = next(one for one in others if not one.leads)
                            world.blocked |= {("edge", follower.at)}
                        edge, news = self.edge(world, [core.at], seed)  # its seeds name that one alone
                        start = clock()
                        task = asyncio.ensure_future(edge.run())
                        await world.until(lambda: edge.view.configuration is not None)
                        self.assertEqual((edge.view.configuration.version, edge.view.provisional), (3, True))
                        await world.until(lambda: edge.view.configuration.version == 7)
                        self.assertLess(clock() - start, 2.5)  # before a machine counts as in touch
                        self.assertFalse(edge.view.provisional)
                        task.cancel()

                    play(story)

    def test_a_core_alone_for_long_or_left_out_or_that_hears_of_a_leader_gives_no_picture(self):
        async def story(world):
            core, _ = await self.behind(world)
            wanted = json.dumps(ClusterView().ask() | {"edge": "e", "wait": 0.0}).encode()
            asked = SimpleNamespace(body=wanted, headers={})

            async def given():
                return "provisional" in json.loads((await core.peers.view(asked)).body)

            self.assertTrue(await given())
            with mock.patch.object(core.consensus.machine, "role", "outsider"):
                self.assertFalse(await given())
            with mock.patch.object(core.consensus.machine, "_hint", "10.0.0.2:7"):
                self.assertFalse(await given())
            reading = asyncio.Event()

            async def slow():
                await reading.wait()
                return {"i-1": list_node()}

            with mock.patch.object(core.poller, "own_nodes", slow):
                call = asyncio.ensure_future(given())
                await asyncio.sleep(0.1)
                with mock.patch.object(core.consensus.machine, "_hint", "10.0.0.2:7"):
                    reading.set()  # the list came, and meanwhile a leader was heard of
                    self.assertFalse(await call)
            await asyncio.sleep(PROVISIONAL)
            self.assertFalse(await given())

        play(story)

    def test_of_two_that_just_started_the_newer_disk_counts_and_no_older_one_after_it(self):
        old, new = Board("a"), Board("b")
        old.set_config(5, DOCUMENT)
        new.set_config(9, DOCUMENT | {"config_version": "r7"})
        nodes = {"i-1": list_node()}
        first, second = (json.loads(json.dumps(board.provisional(nodes, 0.0))) for board in (old, new))
        view = ClusterView()
        view.provide(0.0, first)
        self.assertEqual((view.ask().get("bare"), view.ask()["provisional"]), (None, True))
        view.provide(0.0, second)
        view.provide(0.0, first)
        self.assertEqual(view.configuration.version, 7)
        old.set_nodes((1, 1), nodes)
        view.apply(0.0, json.loads(json.dumps(old.since(view.ask(), 0.0))))  # fresh by a leader of before, for a moment
        self.assertEqual((view.configuration.version, view.provisional, "provisional" in view.ask()), (7, False, False))


class LeaseCase(unittest.TestCase):
    """A leader's decisions on leases, of which each waits for a commit."""

    def test_what_was_decided_before_a_commit_is_asked_again_after_it(self):
        async def story(world):
            leader = world.leader()
            await leader.consensus.propose({"do": "shard", "services": ["s", "t"]})
            poller, given = leader.poller, []
            a, b, c = (core.consensus.machine.me for core in world.cores.values())
            for task in leader.tasks:
                task.cancel()

            async def give(service, before, to, runs):
                given.append((before, to))
                happens()
                return True

            slices = [SimpleNamespace(conductor=who, open=True, before=()) for who in [b] * 1024 + [c] * 1024]
            state = SimpleNamespace(ledger=SimpleNamespace(slices={"s": slices}))
            for what, taken in (("nothing", 2), ("is back", 1), ("office lost", 1), ("office anew", 1)):
                with (
                    self.subTest(what=what),
                    mock.patch.object(ListPoller, "proven", True),
                    mock.patch.object(leader.consensus, "state", state),
                    mock.patch.object(poller, "give", give),
                ):
                    poller.role(True)
                    tenure = poller.tenure
                    tenure.since -= 10 * LEASE  # all that were not heard have surely ended
                    tenure.asked(clock(), a)
                    happens = {
                        "nothing": lambda: None,
                        "is back": lambda: (tenure.asked(clock(), b), tenure.asked(clock(), c)),
                        "office lost": lambda: poller.role(False),
                        "office anew": lambda: poller.role(True),
                    }[what]
                    given.clear()
                    await poller.mind(tenure, "s")
                    self.assertEqual(len(given), taken)

        play(story)


def list_node():
    return Node("i-1", "s", ("10.0.1.1", 80), "z", 2)


def world_caller(world):
    """An edge's calls."""

    class Caller:
        async def json(self, method, url, body, patience, step):
            return await world.call(self, url, json.loads(json.dumps(body)), patience, step)

    return Caller()


if __name__ == "__main__":
    unittest.main()
