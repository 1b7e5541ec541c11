"""Core programs in groups of one and two members, by each way in which a group becomes that small."""

import itertools
import unittest
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from knotwalk.control_plane import list_poller
from knotwalk.discovery.loads import EDGE_EXPIRY_S, EDGES_KNOWN_AFTER_S
from knotwalk.leases.conductor_leases import CALM_PERIOD_S, HAND_OVER_INTERVAL_S, ConductorLeases, hand_over
from knotwalk.leases.ledger import Slice
from tests.simulation import programs
from tests.simulation.mistakes import SMALL_GROUPS, Mistake
from tests.simulation.walk import check_recovery, find, find_violations, make_small_world, walk
from tests.simulation.world import CoreMachine, World

SETTLE_S = 3.0  # for a first leader, its list of nodes and the first grants
LEAVE_S = 8.0  # for a core to leave: longer than the grace period
REMOVAL_S = 6.0  # for a silent member to be removed, an election before it included
# Several checks for a hand-over after the last core came or went, the first of which is due after CALM_PERIOD_S.
WATCH_S = CALM_PERIOD_S + 4 * HAND_OVER_INTERVAL_S


class Scene:
    """A world without other faults, in which cores come and go one at a time."""

    def __init__(self, world: World):
        self.world = world

    def run(self, seconds: float) -> None:
        self.world.loop.run(self.world.loop.now + seconds)

    def follower(self) -> CoreMachine:
        leader = self.world.leader()
        return next(core for core in self.world.running() if core is not leader)

    def leave(self, core: CoreMachine) -> None:
        """Ask a core to end, which it does as soon as the others no longer count on it."""
        core.process.plane.ending._stop_event.set()
        self.run(LEAVE_S)
        assert core.process.ended
        self.world.crash(core)

    def kill(self, core: CoreMachine) -> None:
        self.world.crash(core)
        self.run(REMOVAL_S)

    def restart(self, core: CoreMachine) -> None:
        core.first_start = False
        self.world.start_core(core)
        self.run(SETTLE_S)


def play(world: World, happens: Callable[[Scene], None], before_s: float, after_s: float) -> None:
    """Start a world, have something happen, and let it run on."""
    world.start()
    scene = Scene(world)
    scene.run(before_s)
    happens(scene)
    scene.run(after_s)
    world.operators.stopped = True


def founded(scene: Scene) -> None:
    """Nothing happens after the start."""


def restarted(scene: Scene) -> None:
    core = scene.world.leader()
    scene.kill(core)
    scene.restart(core)


def left_and_restarted(scene: Scene) -> None:
    core = scene.world.leader()
    scene.leave(core)
    scene.restart(core)


def follower_left(scene: Scene) -> None:
    scene.leave(scene.follower())


def leader_left(scene: Scene) -> None:
    scene.leave(scene.world.leader())


def all_others_left(scene: Scene) -> None:
    scene.leave(scene.follower())
    scene.leave(scene.world.leader())


def killed_and_removed(scene: Scene) -> None:
    scene.kill(scene.follower())


def leader_killed_and_removed(scene: Scene) -> None:
    scene.kill(scene.world.leader())


def removed_then_left(scene: Scene) -> None:
    scene.kill(scene.follower())
    scene.leave(scene.follower())


def left_then_came_back(scene: Scene) -> None:
    core = scene.follower()
    scene.leave(core)
    scene.restart(core)


def follower_killed_and_restarted(scene: Scene) -> None:
    core = scene.follower()
    scene.kill(core)
    scene.restart(core)


@dataclass(frozen=True)
class Way:
    """How a group comes to its size: `founders` cores, of which `tolerance` may be lost at once, and what happens."""

    founders: int
    tolerance: int
    happens: Callable[[Scene], None]
    members: int  # in the end
    running: int  # in the end


WAYS = {
    "founded with one": Way(1, 0, founded, 1, 1),
    "one, killed and restarted": Way(1, 0, restarted, 1, 1),
    "one, ended and restarted": Way(1, 0, left_and_restarted, 1, 1),
    "one follower of two left": Way(2, 0, follower_left, 1, 1),
    "the leader of two left": Way(2, 0, leader_left, 1, 1),
    "two of three left": Way(3, 0, all_others_left, 1, 1),
    "of three one removed as unheard, one left": Way(3, 0, removed_then_left, 1, 1),
    "founded with two": Way(2, 0, founded, 2, 2),
    "founded with two of three that are wanted": Way(2, 1, founded, 2, 2),
    "a follower of three removed as unheard": Way(3, 0, killed_and_removed, 2, 2),
    "the leader of three removed as unheard": Way(3, 0, leader_killed_and_removed, 2, 2),
    "a follower of three left": Way(3, 0, follower_left, 2, 2),
    "one of two left and came back": Way(2, 0, left_then_came_back, 2, 2),
    "one of two killed, which stops the group, and restarted": Way(2, 0, follower_killed_and_restarted, 2, 2),
    "two of three run, one is down for long": Way(3, 1, killed_and_removed, 3, 2),
}


def restart_all_cores(scene: Scene) -> None:
    for core in list(scene.world.core_machines.values()):
        scene.world.crash(core)
    for core in scene.world.core_machines.values():
        scene.restart(core)


def end_first_edge(scene: Scene) -> None:
    scene.world.edge_processes.pop("e0").kill()


def add_edge(scene: Scene) -> None:
    scene.world.start_edge("e9")


class EdgeCountTest(unittest.TestCase):
    """Guards against an edge that is alone and keeps the share of one of several, and against one that takes too much.

    Retries and connections to nodes are divided among the edges that a core counts.
    """

    WAYS = {
        "founded with one": (1, founded, 1),
        "founded with two": (2, founded, 2),
        "one of two ended": (2, end_first_edge, 1),
        "one of three ended": (3, end_first_edge, 2),
        "another joined one": (1, add_edge, 2),
        "one, all cores restarted": (1, restart_all_cores, 1),
        "two, all cores restarted": (2, restart_all_cores, 2),
    }

    def test_each_edge_learns_how_many_there_are(self):
        for (name, (edges, happens, left)), cores in itertools.product(self.WAYS.items(), (1, 3)):
            with self.subTest(name, cores=cores):
                world = World(3, cores, edge_count=edges)
                with programs.in_place(world.wire, world.seed, world.log, compact=40, trail=512):
                    world.start()
                    scene = Scene(world)
                    scene.run(SETTLE_S + EDGES_KNOWN_AFTER_S)
                    world.operators.stopped = True  # nothing else changes, so that only the count itself tells
                    happens(scene)
                    scene.run(EDGE_EXPIRY_S + EDGES_KNOWN_AFTER_S + 2.0)
                for process in world.edge_processes.values():
                    known = [count for count in process.edge_counts if count]
                    self.assertEqual(known[-1:], [left])
                    self.assertGreaterEqual(min(known), min(edges, left))  # never too few: they would take too much
                self.assertEqual(len(world.edge_processes), left)


def lose_first_node(scene: Scene) -> None:
    scene.world.lose_node(min(scene.world.nodes))


def drain_first_node(scene: Scene) -> None:
    """A node drains, as the list says, and ends after that."""
    name = min(scene.world.nodes)
    scene.world.nodes[name].state = "draining"
    scene.run(SETTLE_S)
    scene.world.lose_node(name)


def lose_all_nodes(scene: Scene) -> None:
    for name in list(scene.world.nodes):
        scene.world.lose_node(name)


def replace_all_nodes(scene: Scene) -> None:
    lose_all_nodes(scene)
    scene.run(SETTLE_S)
    scene.world.add_node()


def add_node(scene: Scene) -> None:
    scene.world.add_node()


class NodeCountTest(unittest.TestCase):
    """Placement, grants and views where a service has no node, one or two, by each way to there, with one core."""

    WAYS = {
        "none": (0, founded, 0),
        "one": (1, founded, 1),
        "two": (2, founded, 2),
        "the first one joins": (0, add_node, 1),
        "another joins one": (1, add_node, 2),
        "one of two lost": (2, lose_first_node, 1),
        "one of two drained": (2, drain_first_node, 1),
        "the only one lost": (1, lose_first_node, 0),
        "the only one drained": (1, drain_first_node, 0),
        "both lost": (2, lose_all_nodes, 0),
        "both lost, another joins": (2, replace_all_nodes, 1),
    }

    def test_all_keys_are_held_by_the_nodes_that_are_left(self):
        for name, (nodes, happens, left) in self.WAYS.items():
            with self.subTest(name):
                world = World(11, 1, sharded=True, tolerance=0, node_count=nodes)
                with programs.in_place(world.wire, world.seed, world.log, compact=40, trail=512):
                    play(world, happens, SETTLE_S, WATCH_S)
                    check_recovery(world)
                self.assertEqual(find_violations(world), [])
                slices = world.leader().process.plane.consensus.state.ledger.slices["s"]
                now = world.loop.now
                held = [world.nodes[row.owner].held_until[k] > now for k, row in enumerate(slices) if left]
                self.assertEqual((len(world.nodes), len(held), all(held)), (left, len(slices) if left else 0, True))


def hand_over_between_two(leases: ConductorLeases, now: float, slices: Sequence[Slice]) -> object:
    """The mistake of review/7: takes giver and receiver out of at least two conductors once it is calm."""
    if now >= max(leases.since, leases.conductors_changed_at) + CALM_PERIOD_S:
        giver, *_, receiver = sorted(name for name in leases.ends_at if leases.is_alive(now, name))
    return hand_over(leases, now, slices)


class SmallWalksTest(unittest.TestCase):
    """Random faults in groups of one to three cores of which none may be lost, with one or two edges and nodes."""

    SEEDS = (0, 1, 5)  # groups of one, three and two cores

    def test_nothing_is_broken_on_walks(self):
        sizes = set()
        for seed in self.SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(walk(seed, small=True).violations, [])
            sizes.add(make_small_world(seed, False).core_count)
        self.assertEqual(sizes, {1, 2, 3})

    def test_no_limit_is_exceeded_on_walks(self):
        for seed in self.SEEDS:
            with self.subTest(seed=seed):
                outcome = walk(seed, limited=True, small=True)
                self.assertEqual(outcome.violations, [])
                self.assertGreater(outcome.let_pass, 100)

    def test_walks_find_the_mistake_of_review_7(self):
        mistake = Mistake(SMALL_GROUPS, ((list_poller, "hand_over", hand_over_between_two),), within=3)
        found = find(mistake, mistake.seeds())
        self.assertIsNotNone(found)
        self.assertRegex(found.violations[0], "lease balance failed: ValueError not enough values to unpack")


class SmallGroupTest(unittest.TestCase):
    """Guards against a core that ends by itself, or stops its work, in a group of one or two (review/7, FAULT)."""

    def play(self, way: Way) -> World:
        world = World(7, way.founders, sharded=True, keyed=True, tolerance=way.tolerance)
        with programs.in_place(world.wire, world.seed, world.log, compact=40, trail=512):
            play(world, way.happens, SETTLE_S, WATCH_S)
            self.assertEqual(find_violations(world), [])
            check_recovery(world)
            self.assertEqual(find_violations(world), [])
        return world

    def check_end(self, world: World, way: Way) -> None:
        running = {core.process.machine.me: core for core in world.running()}
        self.assertEqual(len(running), way.running)
        leader = world.leader().process
        self.assertEqual(len(leader.machine.members), way.members)
        self.assertLessEqual(running.keys(), leader.machine.members.keys())
        slices = leader.plane.consensus.state.ledger.slices["s"]
        self.assertEqual({row.conductor for row in slices}, set(running))
        self.assertTrue(all(row.open for row in slices))
        now = world.loop.now
        for number, row in enumerate(slices):
            self.assertGreater(world.nodes[row.owner].held_until[number], now)

    def test_every_way_to_a_group_of_one_or_two(self):
        for name, way in WAYS.items():
            with self.subTest(name):
                self.check_end(self.play(way), way)
