"""Core machines that are cut off, frozen or restarted with an old disk: what they answer to operators and edges.

The components of three core programs run in one process, in virtual time, over a network in memory whose directions
can be blocked separately.
"""

import asyncio
import json
import unittest
from concurrent.futures import Future
from contextlib import ExitStack, contextmanager
from types import SimpleNamespace
from unittest import mock

from knotwalk.configuration.documents import to_document
from knotwalk.consensus.raft_types import RaftSettings, Save, StoredState
from knotwalk.control_plane import consensus_driver, control, list_poller, peer_api
from knotwalk.control_plane.consensus_driver import ConsensusDriver, OutcomeUnknownError
from knotwalk.control_plane.control import Control
from knotwalk.control_plane.list_poller import ListPoller
from knotwalk.control_plane.peer_api import MAX_LEADER_SILENCE_S, PROVISIONAL_PERIOD_S, PeerApi
from knotwalk.discovery.cluster_view import ClusterView
from knotwalk.discovery.loads import LoadReports
from knotwalk.discovery.view_publisher import ViewPublisher
from knotwalk.discovery.view_types import Node
from knotwalk.edge import view_poller
from knotwalk.edge.view_poller import ViewPoller
from knotwalk.leases.conductor_leases import LEADERSHIP_PROOF_S, LEASE_S
from knotwalk.runtime.errors import PeerError
from tests.standins.jumps import Loop, clock
from tests.system.test_control_plane import ADDRESSES, DOCUMENT

CUT_S = 20.0  # duration of a cut, as in the report that led to these tests
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
    """An executor that runs work at once, in the caller's thread."""

    def submit(self, work, *given):
        done = Future()
        try:
            done.set_result(work(*given))
        except Exception as error:  # stored in the future, as an executor does
            done.set_exception(error)
        return done

    def shutdown(self, wait=True):
        pass


class ForgetfulResults(dict):
    """Results that are dropped at once."""

    def __setitem__(self, index, result):
        pass


class Disk:
    """A store whose writes succeed at once."""

    disk_mb = 64

    def write(self, save: Save) -> None:
        pass


class Core:
    """One core machine's components, wired as in control_plane/__main__."""

    def __init__(self, world, at, saved, seed):
        self.world, self.at = world, at
        self.thawed = asyncio.Event()
        self.thawed.set()
        self.consensus = ConsensusDriver(Disk(), saved, self, RaftSettings(), seed, float("-inf"))
        self.consensus.writer = Inline()
        self.consensus.machine.address = at
        self.view_publisher, self.loads = ViewPublisher(f"b{seed}"), LoadReports()
        settings = SimpleNamespace(platform=SimpleNamespace(address=("h", 1)), zone="z")
        self.poller = ListPoller(settings, self.consensus, self.view_publisher, self, saved.me)
        conductor = SimpleNamespace(on_lease=lambda *_: None, on_ledger_change=lambda **_: None, stop=lambda: None)
        self.peers = PeerApi(saved.me, self.consensus, self.poller, conductor, self.view_publisher, self.loads, self)
        self.control = Control(self.consensus, 9)
        self.consensus.on_configuration = self.configured
        self.consensus.on_restore = self.configured
        self.consensus.on_role = lambda role: self.poller.on_leadership(role.role == "leader")
        self.poller.on_nodes = self.peers.wake_edges
        self.configured()
        self.view_publisher.set_cores(sorted(ADDRESSES))
        self.consensus.start()
        loop = asyncio.get_running_loop()
        works = (self.peers.maintain_lease(), self.poller.poll(), self.poller.maintain_leases())
        self.tasks = [loop.create_task(work) for work in works]

    def configured(self):
        state = self.consensus.state
        if state.configuration is not None:
            self.view_publisher.set_config(state.configuration_index, to_document(state.configuration))
            self.peers.wake_edges()

    @property
    def leads(self):
        return self.consensus.machine.is_commit_current

    # --- as the caller of its components

    async def json(self, method, url, body, timeout_s, step):
        return await self.world.call(self, url, json.loads(json.dumps(body)), timeout_s, step)

    async def send(self, *_):
        await asyncio.sleep(0.002)
        return 200, {}, json.dumps({"instances": {"i-1": INSTANCE}, "next_token": None}).encode()

    # --- as a server

    async def serve(self, path, body):
        """Answer a call while the process runs; an answer computed before a freeze is sent after it."""
        await self.thawed.wait()
        handler = {
            "/consensus": self.peers.handle_consensus,
            "/lease": self.peers.handle_lease,
            "/nodes": self.peers.handle_nodes,
        }
        handler |= {
            "/cluster-view": self.peers.handle_cluster_view,
            "/proposal": self.peers.handle_proposal,
            "/loads": self.peers.handle_loads,
        }
        response = await handler[path](SimpleNamespace(body=json.dumps(body).encode(), headers={}))
        await self.thawed.wait()
        return response

    async def call_control(self, method, version=None, base=None, body=None):
        """An operator's call to this machine: its status, and the Location or body; (0, None) if it times out."""
        if body is None:
            body = json.dumps(DOCUMENT | {"config_version": version}).encode()
        request = SimpleNamespace(method=method, body=body, headers={"if-match": base} if base else {})
        await self.thawed.wait()
        try:
            async with asyncio.timeout(8):
                response = await (self.control.read if method == "GET" else self.control.change)(request)
        except TimeoutError:
            return 0, None
        await self.thawed.wait()
        return response.status, response.headers.get("location") or json.loads(response.body)

    def freeze(self):
        """Freeze the process: its timers don't fire, calls and answers wait. Its periodic tasks begin again when
        thawed."""
        self.thawed.clear()
        self.consensus.timer.cancel()
        for task in self.tasks:
            task.cancel()

    def thaw(self):
        self.thawed.set()
        self.consensus.tick()
        works = (self.peers.maintain_lease(), self.poller.poll(), self.poller.maintain_leases())
        self.tasks = [asyncio.get_running_loop().create_task(work) for work in works]

    async def end(self):
        for task in self.tasks:
            task.cancel()
        await self.consensus.close()


class World:
    """Three cores and the network between them; `blocked` holds (sender, receiver) pairs that can't communicate."""

    def __init__(self):
        self.blocked: set[tuple[str, str]] = set()
        self.refuses = False  # a blocked call is refused at once instead of timing out
        self.cores: dict[str, Core] = {}

    async def start(self):
        founders = {f"{at}#founder": at for at in ADDRESSES}
        for n, at in enumerate(ADDRESSES):
            self.cores[at] = Core(self, at, StoredState(f"{at}#founder", members=founders), n)
        assert (await self.change_configuration("r3", "0"))[0] == 200
        await self.until(lambda: all(core.consensus.state.version == 3 for core in self.cores.values()))
        await self.until(lambda: all(core.peers.fresh_until > clock() for core in self.cores.values()))

    async def until(self, met):
        async with asyncio.timeout(30):
            while not met():
                await asyncio.sleep(0.01)

    async def call(self, sender, url, body, timeout_s, step):
        """A call between machines. If it or its answer is lost, it times out, or is refused at once."""
        address, _, path = url.removeprefix("http://").partition("/")
        mine = getattr(sender, "at", "edge")
        try:
            async with asyncio.timeout(timeout_s):
                await self.passes(mine, address)
                response = await self.cores[address].serve(f"/{path}", body)
                await self.passes(address, mine)
                if hasattr(sender, "thawed"):
                    await sender.thawed.wait()
        except (TimeoutError, ConnectionError) as error:
            raise PeerError(step, address, str(error)) from None
        if response.status != 200:
            raise PeerError(step, address, f"status {response.status}")
        return json.loads(response.body)

    async def passes(self, sender, receiver):
        await asyncio.sleep(0.001)
        if (sender, receiver) in self.blocked or receiver not in self.cores and receiver != "edge":
            if self.refuses:
                raise ConnectionError("refused")
            await asyncio.Event().wait()

    def leader(self):
        return next((core for core in self.cores.values() if core.leads), None)

    async def change_configuration(self, version, base, among=None):
        """Send a change to one core after the other until one gives a definite answer, as an operator's tool does."""
        for _ in range(200):
            for core in among or list(self.cores.values()):
                status, payload = await core.call_control("PUT", version, base)
                if status in (200, 400, 412, 413):
                    return status, payload
            await asyncio.sleep(0.05)
        raise AssertionError("no definite answer")

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
def virtual_time(*modules):
    with ExitStack() as stack:
        for module in modules or (consensus_driver, control, list_poller, peer_api, view_poller):
            stack.enter_context(mock.patch.object(module, "clock", clock))
        for module in (consensus_driver, control, list_poller, peer_api, view_poller):
            for name in ("log_info", "log_warning"):
                if hasattr(module, name):
                    stack.enter_context(mock.patch.object(module, name))
        yield


def run_story(story):
    """Run an async test in a world of its own, in virtual time."""

    async def run():
        world = World()
        try:
            await world.start()
            await story(world)
        finally:
            await world.end()

    with virtual_time(), asyncio.Runner(loop_factory=Loop) as runner:
        runner.run(run())


# Every kind of call whose answer depends on committed state: the call, and its answer by a core that knows r3 or r7.
OPERATOR_CALLS = {
    "read": (("GET",), (200, "r3"), (200, "r7")),
    "stale": (("PUT", "r4", "0"), (412, "r3"), (412, "r7")),
    "not above": (("PUT", "r2", "r3"), (400, None), (412, "r7")),
    "repeat": (("PUT", "r3", "0"), (200, "r3"), (200, "r3")),
    "no base": (("PUT", "r9"), (400, None), (400, None)),
    "unreadable": (("PUT", None, "r3", b"{"), (400, None), (400, None)),
    "too large": (("PUT", None, "r3", b" " * (16 * 1024 * 1024 + 1)), (413, None), (413, None)),
}


def definite(answer):
    """An answer in the form of OPERATOR_CALLS, or None if it is not a definite one."""
    status, payload = answer
    return (status, payload.get("config_version")) if status in (200, 400, 404, 412, 413) else None


class OperatorCase(unittest.TestCase):
    """What a machine that is cut off answers to an operator."""

    def probe(self, world, core, log):
        """Make all kinds of calls at once; log the answer and the start time of each."""

        async def one(kind, begun):
            log.append((kind, begun, definite(await core.call_control(*OPERATOR_CALLS[kind][0]))))

        return [asyncio.ensure_future(one(kind, clock())) for kind in OPERATOR_CALLS]

    async def run_cut(self, world, core, begin, end, log, others=None):
        """Begin a fault, have r7 committed by the others, and end the fault after CUT_S; returns when the fault began
        and when r7 was acknowledged."""
        others = others or [one for one in world.cores.values() if one is not core]
        begin()
        start, calls = clock(), []
        taken = asyncio.ensure_future(world.change_configuration("r7", "r3", others))
        acked = asyncio.ensure_future(self.ended(taken))
        for after in (0.0, 0.05, 0.2, 0.4, 0.46, 0.7, 1.2, 2.0, 5.0, 12.0, CUT_S - 0.3):
            await asyncio.sleep(max(0.0, start + after - clock()))
            calls += self.probe(world, core, log)
        await asyncio.sleep(start + CUT_S - clock())
        end()
        calls += self.probe(world, core, log)
        await asyncio.gather(*calls)
        self.assertEqual((await taken)[0], 200)
        await world.until(lambda: core.consensus.state.version == 7)
        status, payload = await core.call_control("GET")
        self.assertTrue(status == 307 or (status, payload["config_version"]) == (200, "r7"), (status, payload))
        return start, await acked

    async def ended(self, task):
        await task
        return clock()

    def check(self, log, acked):
        """Check that no answer is stale: after r7 was acknowledged, calls get the answer of r7 or no definite one."""
        for kind, begun, answer in log:
            allowed = OPERATOR_CALLS[kind][2:] if begun > acked else OPERATOR_CALLS[kind][1:]
            self.assertIn(answer, (None, *allowed), (kind, begun, acked))

    def test_a_core_cut_off_from_the_majority_gives_no_definite_answer(self):
        for shape in ("both ways", "hears only", "heard not"):
            for role in ("leader", "follower"):
                for refuses in (False, True):
                    with self.subTest(shape=shape, role=role, refuses=refuses):

                        async def story(world):
                            core = world.leader()
                            if role == "follower":
                                core = next(one for one in world.cores.values() if one is not core)
                            world.refuses, log = refuses, []
                            start, acked = await self.run_cut(
                                world, core, lambda: world.cut(core.at, shape), world.blocked.clear, log
                            )
                            self.check(log, acked)
                            during = [answer for _, begun, answer in log if begun < start + CUT_S - 0.3]
                            self.assertEqual(set(during), {None})

                        run_story(story)

    def test_a_core_cut_off_from_one_other_or_frozen_gives_no_stale_answer(self):
        for shape in ("one other", "frozen"):
            for role in ("leader", "follower"):
                with self.subTest(shape=shape, role=role):

                    async def story(world):
                        core, log = world.leader(), []
                        if role == "follower":
                            core = next(one for one in world.cores.values() if one is not core)
                        if shape == "frozen":
                            begin, end, among = core.freeze, core.thaw, None
                        else:  # a leader keeps leading, since one of the others hears it
                            begin, end = lambda: world.cut(core.at, shape), world.blocked.clear
                            among = list(world.cores.values())
                        _, acked = await self.run_cut(world, core, begin, end, log, among)
                        self.check(log, acked)

                    run_story(story)

    def test_a_follower_that_was_frozen_does_not_redirect_to_the_former_leader(self):
        async def story(world):
            before = world.leader()
            core = next(one for one in world.cores.values() if one is not before)
            core.freeze()
            world.cut(core.at, "both ways")
            await asyncio.sleep(5)
            core.thawed.set()  # thawed, before any of its own timers has fired
            self.assertEqual(core.consensus.machine.leader, before.at)
            self.assertEqual((await core.call_control("GET"))[0], 503)
            core.thaw()
            self.assertEqual(core.control.redirect(core.at).status, 503)  # a redirection to itself would loop

        run_story(story)

    def test_a_committed_entry_without_a_recorded_result_has_an_unknown_outcome(self):
        async def story(world):
            leader = world.leader()
            leader.consensus.results = ForgetfulResults()
            with self.assertRaises(OutcomeUnknownError):
                await leader.consensus.propose({"do": "nothing"})

        run_story(story)


class EdgeCase(unittest.TestCase):
    """What a machine that is cut off answers to edges, and for how long edges rely on it."""

    def edge(self, world, seeds, seed=1):
        updates = []
        edge = ViewPoller(
            "e", ClusterView(), world_caller(world), seeds, seed, "z", dict, lambda *update: updates.append(update)
        )
        return edge, updates

    def test_a_core_is_fresh_for_a_bounded_time_after_its_leader_was_confirmed(self):
        for shape in ("both ways", "hears only", "heard not", "frozen"):
            for role in ("leader", "follower"):
                with self.subTest(shape=shape, role=role):

                    async def story(world):
                        core = world.leader()
                        if role == "follower":
                            core = next(one for one in world.cores.values() if one is not core)
                        core.freeze() if shape == "frozen" else world.cut(core.at, shape)
                        start, fresh = clock(), []
                        request = {
                            "edge": "e",
                            "epoch": core.view_publisher.epoch,
                            "at": core.view_publisher.revision,
                            "wait": 1.0,
                        }
                        while clock() < start + 5:
                            begun = clock()
                            answer = json.loads(
                                (
                                    await core.peers.handle_cluster_view(
                                        SimpleNamespace(body=json.dumps(request), headers={})
                                    )
                                ).body
                            )
                            if answer["fresh"]:
                                fresh.append(clock() - start)
                            await asyncio.sleep(max(0.01, begun + 0.05 - clock()))
                        self.assertLess(max(fresh, default=0.0), LEADERSHIP_PROOF_S + MAX_LEADER_SILENCE_S + 0.01)

                    run_story(story)

    def test_a_leader_grants_no_lease_once_its_confirmation_is_too_old(self):
        async def story(world):
            leader = world.leader()
            me = leader.consensus.machine.me
            self.assertIsNotNone(leader.poller.grant_lease(me))
            leader.freeze()
            last = leader.consensus.machine.majority_acked_at
            await asyncio.sleep(last + LEADERSHIP_PROOF_S - 0.01 - clock())
            self.assertIsNotNone(leader.poller.grant_lease(me))
            await asyncio.sleep(0.02)
            self.assertEqual((leader.consensus.machine.role, leader.poller.grant_lease(me)), ("leader", None))

        run_story(story)

    def restart_isolated(self, world, at):
        """Restart core `at` with its disk, cut off from the other cores but not from edges."""
        machine = world.cores[at].consensus.machine
        saved = StoredState(
            machine.me,
            machine.term,
            machine.vote,
            members=dict(machine.members),
            entries=list(machine.log.entries),
            commit=machine.commit,
        )
        return Core(world, at, saved, 9)

    async def isolated_core(self, world):
        """Restart a core with an old disk, isolated, while the others have r7 and a leader; returns it and the
        others."""
        core = next(one for one in world.cores.values() if not one.leads)
        world.cut(core.at, "both ways")
        await core.end()
        others = [one for one in world.cores.values() if one is not core]
        self.assertEqual((await world.change_configuration("r7", "r3", others))[0], 200)
        world.cores[core.at] = self.restart_isolated(world, core.at)
        return world.cores[core.at], others

    def test_a_core_restarted_alone_gives_operators_no_definite_answer(self):
        async def story(world):
            core, _ = await self.isolated_core(world)
            for after in (0.0, 0.5, 2.0, 6.0):
                await asyncio.sleep(after)
                found = await asyncio.gather(*(core.call_control(*call) for call, *_ in OPERATOR_CALLS.values()))
                self.assertEqual([status for status, _ in found], [503] * len(OPERATOR_CALLS))

        run_story(story)

    def test_an_edge_uses_an_isolated_cores_view_only_until_it_reaches_the_others(self):
        for seed in range(6):
            for silent in (0, 1):
                with self.subTest(seed=seed, silent=silent):

                    async def story(world):
                        core, others = await self.isolated_core(world)
                        if silent:  # another core is unreachable for edges
                            follower = next(one for one in others if not one.leads)
                            world.blocked |= {("edge", follower.at)}
                        edge, _ = self.edge(world, [core.at], seed)  # its seeds name only that core
                        start = clock()
                        task = asyncio.ensure_future(edge.run())
                        await world.until(lambda: edge.view.configuration is not None)
                        self.assertEqual((edge.view.configuration.version, edge.view.provisional), (3, True))
                        await world.until(lambda: edge.view.configuration.version == 7)
                        self.assertLess(clock() - start, 2.5)  # before a restarted core may become fresh
                        self.assertFalse(edge.view.provisional)
                        task.cancel()

                    run_story(story)

    def test_a_core_isolated_for_long_or_removed_or_that_knows_a_leader_gives_no_provisional_view(self):
        async def story(world):
            core, _ = await self.isolated_core(world)
            body = json.dumps(ClusterView().positions() | {"edge": "e", "wait": 0.0}).encode()
            request = SimpleNamespace(body=body, headers={})

            async def has_provisional():
                return "provisional" in json.loads((await core.peers.handle_cluster_view(request)).body)

            self.assertTrue(await has_provisional())
            with mock.patch.object(core.consensus.machine, "role", "outsider"):
                self.assertFalse(await has_provisional())
            with mock.patch.object(core.consensus.machine, "_leader_hint", "10.0.0.2:7"):
                self.assertFalse(await has_provisional())
            reading = asyncio.Event()

            async def slow():
                await reading.wait()
                return {"i-1": list_node()}

            with mock.patch.object(core.poller, "own_nodes", slow):
                call = asyncio.ensure_future(has_provisional())
                await asyncio.sleep(0.1)
                with mock.patch.object(core.consensus.machine, "_leader_hint", "10.0.0.2:7"):
                    reading.set()  # the list was read, and a leader became known meanwhile
                    self.assertFalse(await call)
            await asyncio.sleep(PROVISIONAL_PERIOD_S)
            self.assertFalse(await has_provisional())

        run_story(story)

    def test_of_two_provisional_views_the_newer_one_counts(self):
        old, new = ViewPublisher("a"), ViewPublisher("b")
        old.set_config(5, DOCUMENT)
        new.set_config(9, DOCUMENT | {"config_version": "r7"})
        nodes = {"i-1": list_node()}
        first, second = (json.loads(json.dumps(board.provisional_view(nodes, 0.0))) for board in (old, new))
        view = ClusterView()
        view.apply_provisional(0.0, first)
        self.assertEqual((view.positions().get("bare"), view.positions()["provisional"]), (None, True))
        view.apply_provisional(0.0, second)
        view.apply_provisional(0.0, first)
        self.assertEqual(view.configuration.version, 7)
        old.set_nodes((1, 1), nodes)
        view.apply(
            0.0, json.loads(json.dumps(old.changes_since(view.positions(), 0.0)))
        )  # fresh by a former leader, for a moment
        self.assertEqual(
            (view.configuration.version, view.provisional, "provisional" in view.positions()), (7, False, False)
        )


class LeaseCase(unittest.TestCase):
    """A leader's decisions on leases, each of which waits for a commit."""

    def test_decisions_on_leases_are_checked_again_after_each_commit(self):
        async def story(world):
            leader = world.leader()
            await leader.consensus.propose({"do": "shard", "services": ["s", "t"]})
            poller, proposed = leader.poller, []
            a, b, c = (core.consensus.machine.me for core in world.cores.values())
            for task in leader.tasks:
                task.cancel()

            async def give(service, before, to, runs):
                proposed.append((before, to))
                happens()
                return True

            slices = [
                SimpleNamespace(conductor=conductor, open=True, before=()) for conductor in [b] * 1024 + [c] * 1024
            ]
            state = SimpleNamespace(ledger=SimpleNamespace(slices={"s": slices}))
            for what, taken in (("nothing", 2), ("is back", 1), ("leadership lost", 1), ("leadership regained", 1)):
                with (
                    self.subTest(what=what),
                    mock.patch.object(ListPoller, "is_proven", True),
                    mock.patch.object(leader.consensus, "state", state),
                    mock.patch.object(poller, "propose_lease", give),
                ):
                    poller.on_leadership(True)
                    conductor_leases = poller.conductor_leases
                    conductor_leases.since -= (
                        10 * LEASE_S
                    )  # the leases of all conductors that were not heard have expired
                    conductor_leases.renew(clock(), a)
                    happens = {
                        "nothing": lambda: None,
                        "is back": lambda: (conductor_leases.renew(clock(), b), conductor_leases.renew(clock(), c)),
                        "leadership lost": lambda: poller.on_leadership(False),
                        "leadership regained": lambda: poller.on_leadership(True),
                    }[what]
                    proposed.clear()
                    await poller.maintain_service(conductor_leases, "s")
                    self.assertEqual(len(proposed), taken)

        run_story(story)


def list_node():
    return Node("i-1", "s", ("10.0.1.1", 80), "z", 2)


def world_caller(world):
    """The caller of an edge."""

    class Caller:
        async def json(self, method, url, body, timeout_s, step):
            return await world.call(self, url, json.loads(json.dumps(body)), timeout_s, step)

    return Caller()


if __name__ == "__main__":
    unittest.main()
