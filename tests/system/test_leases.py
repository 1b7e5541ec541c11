"""Ledger and grant manager: unit tests, and a simulated world in which calls are lost and programs crash, freeze and
lag.

Nothing sleeps: time is simulated. The checker knows only nodes and arrivals, and nothing of the grant manager.
"""

import heapq
import itertools
import json
import math
import random
import unittest

from knotwalk.discovery.view_types import SLICE_COUNT, SLICE_WIDTH, Node
from knotwalk.leases.actions import CLOCK_SLOWDOWN, LONGEST_HOLD_S, REFUSED, Grant, GrantTiming, Propose, Release
from knotwalk.leases.conductor_leases import (
    CALM_PERIOD_S,
    IMBALANCE_TOLERANCE,
    MAX_HAND_OVER_SLICES,
    ConductorLeases,
    hand_over,
    reassign,
)
from knotwalk.leases.grant_manager import GrantManager
from knotwalk.leases.ledger import MIN_FENCE_LIFT, Ledger, OwnerChange, ranges
from knotwalk.leases.slice_lease import State

LEASE = 3.0
PACE = GrantTiming(lease_duration=LEASE)


def node(id, address=("10.0.0.1", 1), service="s", **more):
    return Node(id, service, address, "z", 2, **more)


class OwnerChecker:
    """Checks OWNER on actual arrivals: no two running nodes hold a slice."""

    def __init__(self):
        self.holds = {}  # slice -> {node: end}
        self.broken = []

    def on_hold_started(self, now, id, slice, until):
        holds = self.holds.setdefault(slice, {})
        for other, end in holds.items():
            if other != id and end > now:
                self.broken.append(f"{now:.3f}: {id} gets {slice}, which {other} holds until {end:.3f}")
        holds[id] = until

    def on_hold_ended(self, id, slice):
        self.holds.get(slice, {}).pop(id, None)

    def on_node_died(self, id):
        for holds in self.holds.values():
            holds.pop(id, None)


class TrueNode:
    def __init__(self, world, id, address, sharded=True):
        self.world, self.id, self.address, self.sharded = world, id, address, sharded
        self.rate = world.random.choice((1.0, 0.98))
        self.seen, self.held = {}, {}
        self.release_counts = world.random.random() < 0.5  # whether a release counts as a fence seen
        self.keeps_longest = (
            int(id[1:]) % 2 == 0
        )  # of two grants under one fence: the protocol does not say whether the second may shorten the hold
        self.draining = False

    def take(self, action):
        """Handle a call; return its status and handover, and how long the answer takes."""
        now = self.world.now
        if not self.sharded:
            return 404, None, 0.0
        if isinstance(action, Grant):
            if any(self.seen.get(number, 0) > action.fence for number in action.slices):
                return 409, None, 0.0
            for number in action.slices:
                until = now + action.hold / self.rate
                longest = max(until, self.held.get(number, until)) if self.keeps_longest else until
                self.seen[number], self.held[number] = action.fence, longest
                self.world.checker.on_hold_started(now, self.id, number, self.held[number])
            return 200, None, 0.0
        for number in action.slices:
            if self.release_counts:
                self.seen[number] = max(action.fence, self.seen.get(number, 0))
            if self.held.pop(number, 0) > now:
                self.world.checker.on_hold_ended(self.id, number)
        return 200, f"h-{self.id}", self.world.random.uniform(0, 0.4)


class ConductorProgram:
    """A program that drives a GrantManager, as a core does."""

    def __init__(self, world, name):
        self.world, self.name = world, name
        self.incarnation, self.frozen_until, self.cut_until, self.up = 0, 0.0, 0.0, True
        self.unreachable_until = {}  # node -> until when no call of this conductor reaches it
        self.refused_until = {}  # running node -> until when its connections are refused on the way
        self.start(0)

    def start(self, at):
        """Start a new incarnation from what its disk has of the log: the first `at` entries."""
        self.incarnation += 1
        self.wakes_at = 0.0
        self.up = True
        self.ledger, self.log_index = Ledger(), 0
        for index, command in enumerate(self.world.log[:at], 1):
            self.ledger.apply(index, command)
        self.log_index = at
        self.ledger = Ledger.from_dict(json.loads(json.dumps(self.ledger.to_dict())))
        self.manager = self.world.manager_class(self.name, PACE, self.world.random.randrange(1 << 30), self.world.now)
        self.manager.on_ledger(self.world.now, self.ledger)
        self.later(0.0, self.ask)
        self.later(0.0, self.read)
        self.later(0.0, self.list)
        self.later(self.world.random.uniform(0.1, 0.5), self.place)

    def later(self, delay, do, *given):
        incarnation = self.incarnation

        def come():
            if self.incarnation != incarnation or not self.up:
                return
            if self.world.now < self.frozen_until:
                self.world.schedule(self.frozen_until + self.world.random.uniform(0, 0.01), come)
                return
            do(*given)
            self.run()

        self.world.schedule(self.world.now + delay, come)

    def run(self):
        now, manager = self.world.now, self.manager
        manager.tick(now)
        actions, manager.actions = manager.actions, []
        for action in actions:
            if isinstance(action, Propose):
                if now >= self.cut_until:
                    self.world.propose(action.command)
            else:
                assert isinstance(action, Release) or now < action.expires
                self.world.call(self, action)
        due = max(now + 0.001, manager.wake_at)
        if due < math.inf and not now < self.wakes_at <= due:
            self.wakes_at = due
            self.later(due - now, lambda: None)

    def ask(self):
        """Request the lease."""
        sent, rng = self.world.now, self.world.random
        if sent >= self.cut_until:

            def asked():
                until, index = self.world.leader.answer(self.name, sent)
                self.later(rng.uniform(0, 0.05), lambda: self.manager.on_lease_proven(self.world.now, until, index))

            self.world.schedule(sent + rng.uniform(0, 0.05), asked)
        self.later(0.5, self.ask)

    def read(self):
        """Read the log as far as it has come; now and then far behind."""
        log, rng = self.world.log, self.world.random
        while self.log_index < len(log) and self.world.now >= self.cut_until:
            self.log_index += 1
            self.ledger.apply(self.log_index, log[self.log_index - 1])
            self.manager.on_ledger(self.world.now, self.ledger, self.ledger.changed)
        lags = self.world.has_faults and rng.random() < 0.02
        self.later(rng.uniform(1, 4) if lags else rng.uniform(0.005, 0.03), self.read)

    def list(self):
        self.nodes = self.world.listed()
        self.manager.on_nodes_listed(self.world.now, self.nodes)
        self.later(self.world.random.uniform(0.3, 0.6), self.list)

    def needs_move(self, number, owner, live, lapsed):
        """Whether a slice's owner can't serve it; an owner that merely can't be reached keeps it until it lapses."""
        waits = owner in self.nodes and not self.nodes[owner].draining and ("s", number) not in lapsed
        return owner not in live and not waits

    def place(self):
        """Move slices from nodes that are gone, and now and then any slice."""
        rng = self.world.random
        live = [
            id
            for id, listed in self.nodes.items()
            if not listed.draining and listed.service == "s" and not self.manager.is_unreachable(id)
        ]
        moves, lapsed = [], self.manager.lapsed_slices(self.world.now)
        for number in range(self.world.slices):
            row = self.ledger.slices["s"][number] if "s" in self.ledger.slices else None
            if row is None or row.conductor != self.name or not live:
                continue
            if self.needs_move(number, row.owner, live, lapsed) or self.world.has_faults and rng.random() < 0.1:
                target = live[number % len(live)] if not row.owner else rng.choice(live)
                if moves and moves[-1][2] == number - 1 and rng.random() < 0.8:
                    target = moves[-1][4]
                moves.append(["s", number, number, row.fence, target])
        if moves:
            self.world.propose({"do": "move", "by": self.name, "moves": moves})
        self.later(rng.uniform(0.2, 0.8), self.place)


class Leader:
    def __init__(self, world):
        self.world, self.lease_ends, self.ledger, self.log_index = world, {}, Ledger(), 0
        self.handed_over_at, self.random = -math.inf, random.Random(world.seed)

    def answer(self, name, sent):
        self.lease_ends[name] = self.world.now + LEASE
        return sent + LEASE, len(self.world.log)

    def step(self):
        world = self.world
        while self.log_index < len(world.log):
            self.log_index += 1
            self.ledger.apply(self.log_index, world.log[self.log_index - 1])
        live = sorted(name for name, until in self.lease_ends.items() if world.now < until)
        for number, row in enumerate(self.ledger.slices["s"][: world.slices]):
            if live and row.conductor not in live and (not row.conductor or row.conductor in self.lease_ends):
                self.lease(live[number * len(live) // world.slices], number, number)
        if len(live) > 1 and world.has_faults and self.random.random() < 0.3:
            self.handed_over_at, first = (
                world.now,
                self.random.randrange(world.slices),
            )  # of any conductor that is alive and leases them
            self.lease(self.random.choice(live), first, min(first + self.random.randrange(6), world.slices - 1))
        world.schedule(world.now + 0.3, self.step)

    def lease(self, to, first, last):
        self.world.log.append(
            {
                "do": "lease",
                "to": to,
                "early": self.world.now < self.handed_over_at + LEASE,
                "slices": {"s": [[first, last]]},
            }
        )


class World:
    """Two conductors and some nodes, with faults until `calm` and none from then on."""

    FAULTS = ("kill", "freeze", "cut", "deaf", "deaf", "crash", "drain", "add")
    CUTS = ("cut", *("add",) * 15)  # one at a time, so that the other conductor can move what was handed to it

    def __init__(
        self, seed, manager_class=GrantManager, length=45.0, calm=25.0, slices=12, faults=FAULTS, good_share=0.7
    ):
        self.seed, self.random, self.manager_class, self.slices, self.calm = (
            seed,
            random.Random(seed),
            manager_class,
            slices,
            calm,
        )
        self.now, self.events, self.count = 0.0, [], itertools.count()
        self.faults = faults
        self.good_share = good_share  # the part of the calls without a fault
        self.checker, self.log = OwnerChecker(), [{"do": "shard", "services": ["s"]}]
        self.up, self.ports, self.rows, self.ids = {}, {}, [], itertools.count()
        self.unlisted_until = {}  # running node -> until when it is missing from the list
        for _ in range(4):
            self.start_node()
        self.history = [(-9.0, self.snapshot())]
        self.leader = Leader(self)
        self.conductors = [ConductorProgram(self, name) for name in "ab"]
        self.schedule(0.6, self.leader.step)
        self.schedule(2.0, self.fault)
        while self.events and self.events[0][0] < length and not self.checker.broken:
            self.now, _, do = heapq.heappop(self.events)
            do()

    has_faults = property(lambda self: self.now < self.calm)

    def schedule(self, time, do):
        heapq.heappush(self.events, (time, next(self.count), do))

    # --- nodes ---

    def start_node(self, address=None, sharded=True):
        number = next(self.ids)
        node_state = TrueNode(self, f"n{number}", address or ("10.0.0.9", 1000 + number), sharded)
        self.up[node_state.id] = self.ports[node_state.address] = node_state
        self.note()

    def end_node(self, node_state):
        """A node crashes or ends: its port closes, and after a crash the list keeps it for some seconds."""
        del self.up[node_state.id], self.ports[node_state.address]
        self.checker.on_node_died(node_state.id)
        stays = 0.0 if node_state.draining else 3.0
        if stays:
            self.rows.append((self.now + stays, node_state))
        self.note()
        self.schedule(self.now + stays + 0.001, self.note)
        if self.random.random() < 0.5:
            self.schedule(self.now + 2.0, lambda: self.start_node(node_state.address, sharded=False))

    def snapshot(self):
        rows = [*self.up.values(), *(node_state for until, node_state in self.rows if until > self.now)]
        return {
            node_state.id: node(
                node_state.id, node_state.address, "s" if node_state.sharded else "t", draining=node_state.draining
            )
            for node_state in rows
        }

    def note(self):
        if hasattr(self, "history"):
            self.history.append((self.now, self.snapshot()))

    def listed(self):
        lag = self.now - self.random.uniform(0.2, 1.0)
        rows = next(rows for at, rows in reversed(self.history) if at <= lag)
        return {id: node_state for id, node_state in rows.items() if self.now >= self.unlisted_until.get(id, 0.0)}

    # --- calls ---

    def propose(self, command):
        rng = self.random
        times = 1 if not self.has_faults else rng.choice((0, 1, 1, 1, 1, 1, 1, 2))
        for _ in range(times):
            self.schedule(self.now + rng.uniform(0.005, 0.05), lambda: self.log.append(command))

    def call(self, conductor, action):
        """A call arrives soon, late (until its reset plus the slack) or never; its answer may be lost."""
        rng, sent = self.random, self.now
        limit = PACE.call_timeout if isinstance(action, Grant) else PACE.release_timeout
        kind = (
            "good"
            if not self.has_faults or rng.random() < self.good_share
            else rng.choice(("late", "late", "no answer", "lost"))
        )
        if sent < conductor.unreachable_until.get(action.node, 0.0):
            kind = "lost"
        if sent < conductor.refused_until.get(action.node, 0.0):
            conductor.later(
                rng.uniform(0.001, 0.01), lambda: conductor.manager.on_call_ended(self.now, action, REFUSED)
            )
            return
        state = {"done": False}

        def answer(status, handover=None):
            if not state["done"]:
                state["done"] = True
                conductor.manager.on_call_ended(self.now, action, status, handover)

        if kind != "lost":

            def arrive():
                node_state = self.ports.get(action.address)
                if node_state is None:
                    if rng.random() < 0.8:
                        conductor.later(0.001, answer, REFUSED)
                    return
                status, handover, work = node_state.take(action)
                if kind != "no answer":
                    conductor.later(work + rng.uniform(0, 0.3 if kind == "late" else 0.03), answer, status, handover)

            delay = rng.uniform(0, 0.03) if kind == "good" else rng.uniform(0, limit + PACE.delivery_slack)
            self.schedule(sent + delay, arrive)
        conductor.later(limit, answer, None)

    # --- faults ---

    def fault(self):
        if not self.has_faults:
            self.heal()
            return
        rng, conductor = self.random, self.random.choice(self.conductors)
        sharded = [node_state for node_state in self.up.values() if node_state.sharded and not node_state.draining]
        match rng.choice(self.faults):
            case "kill" if conductor.up:
                conductor.up = False
                back = rng.randint(max(0, conductor.log_index - 12), conductor.log_index)

                def start():
                    if not conductor.up:
                        conductor.start(max(1, back))

                self.schedule(self.now + rng.uniform(0.05, 6), start)
            case "freeze":
                conductor.frozen_until = self.now + rng.uniform(0.5, 6)
            case "cut":
                conductor.cut_until = self.now + rng.uniform(2, 12)
            case "deaf":
                conductor.unreachable_until[rng.choice(sharded).id] = self.now + rng.uniform(5, 10)
            case "refuse" | "refuse all" | "miss" as kind:
                self.hide(kind, conductor, sharded)
            case "crash" if len(sharded) > 2:
                self.end_node(rng.choice(sharded))
            case "drain" if len(sharded) > 2:
                node_state = rng.choice(sharded)
                node_state.draining = True
                self.note()
                self.schedule(self.now + 2.5, lambda: node_state.id in self.up and self.end_node(node_state))
            case "add" if len(sharded) < 6:
                self.start_node()
        self.schedule(self.now + rng.uniform(0.2, 1.5), self.fault)

    def heal(self):
        """End all faults."""
        for conductor in self.conductors:
            if not conductor.up:
                conductor.start(conductor.log_index)
            conductor.unreachable_until.clear()
            conductor.refused_until.clear()
            conductor.frozen_until = conductor.cut_until = 0.0

    def hide(self, kind, conductor, sharded):
        """Running nodes that one conductor or all can't reach, or that the list lacks."""
        rng, node_state, until = self.random, self.random.choice(sharded), self.now + self.random.uniform(1, 10)
        match kind:
            case "refuse":
                conductor.refused_until[node_state.id] = until
            case "refuse all":
                for each, hidden in itertools.product(self.conductors, rng.sample(sharded, len(sharded) // 2)):
                    each.refused_until[hidden.id] = until
            case "miss":
                self.unlisted_until[node_state.id] = self.now + rng.uniform(0.3, 4)

    def unserved_slices(self):
        """Slices that are not open at a running node that holds them."""
        ledger = Ledger()
        for index, command in enumerate(self.log, 1):
            ledger.apply(index, command)
        return [
            (number, row)
            for number, row in enumerate(ledger.slices["s"][: self.slices])
            if not row.open or row.owner not in self.up or self.up[row.owner].held.get(number, 0) <= self.now
        ]


class WorldTest(unittest.TestCase):
    def test_no_two_nodes_hold_a_key_and_all_are_held_in_the_end(self):
        for seed in range(60):
            with self.subTest(seed=seed):
                world = World(seed)
                self.assertEqual(world.checker.broken, [])
                self.assertEqual(world.unserved_slices(), [])
                self.assertEqual(World(seed, faults=World.CUTS, good_share=0.95).checker.broken, [])

    def found(self, manager_class, *faults, good_share=0.7, first=0):
        """A defect shows in worlds with the faults it needs; `first` is a seed shortly before one that shows a rare
        defect.
        """
        self.assertTrue(
            any(
                World(seed, manager_class, 30.0, 30.0, 12, faults or World.FAULTS, good_share).checker.broken
                for seed in range(first, first + 60)
            )
        )

    def test_finds_a_hold_by_the_conductors_own_clock(self):
        class Mistaken(GrantManager):
            def _on_grant_ended(self, now, x, holder, order, status, *more):
                until = holder.held_until
                super()._on_grant_ended(now, x, holder, order, status, *more)
                if status == 200:
                    holder.held_until = max(until, now + order.hold)

        self.found(Mistaken, "deaf", good_share=0.9)

    def test_finds_a_hold_counted_from_the_sending(self):
        class Mistaken(GrantManager):
            def tick(self, now):
                super().tick(now)
                self.sent = getattr(self, "sent", {}) | {x: now for x in self.actions if isinstance(x, Grant)}

            def _on_grant_ended(self, now, x, holder, order, status, *more):
                until = holder.held_until
                super()._on_grant_ended(now, x, holder, order, status, *more)
                if holder.held_until > until:
                    holder.held_until = max(until, self.sent[order] + order.hold * CLOCK_SLOWDOWN)

        self.found(Mistaken, "deaf", good_share=0.3)

    def test_finds_a_grant_before_the_old_holder_is_cleared(self):
        class Mistaken(GrantManager):
            def _is_cleared(self, now, holder):
                return True

        self.found(Mistaken)

    def test_finds_a_grant_past_the_lease(self):
        class Mistaken(GrantManager):
            def _extend_lease(self, now, until):
                super()._extend_lease(now, math.inf)

        self.found(Mistaken, "cut", good_share=0.9)

    def test_finds_a_lease_that_does_not_wait_for_the_log(self):
        class Mistaken(GrantManager):
            def on_lease_proven(self, now, until, index):
                super().on_lease_proven(now, until, 0)

        self.found(Mistaken, "cut", "kill", good_share=0.9)

    def test_finds_a_release_that_a_grant_may_overtake(self):
        class Mistaken(GrantManager):
            def _can_release(self, now, id, h):
                return not h.is_releasing and h.next_release_at <= now and id in self._addresses

            def _on_release_ended(self, now, x, holder, *more):
                flying, holder.grants_in_flight = holder.grants_in_flight, 0
                super()._on_release_ended(now, x, holder, *more)
                holder.grants_in_flight = flying

        self.found(Mistaken, "add", good_share=0.3)

    def test_finds_a_taking_over_that_trusts_its_predecessor(self):
        class Mistaken(GrantManager):
            def _take_over(self, now, key, x):
                leases = super()._take_over(now, key, x)
                for holder in leases.holders.values():
                    holder.held_until = holder.deliverable_until = now
                return leases

        self.found(Mistaken, "kill")

    def test_finds_a_hand_over_that_is_taken_for_a_taking_over(self):
        """The conductor that hands a slice over may be disconnected and lag, and renew for one lease what the other has
        released and moved.
        """

        class Mistaken(GrantManager):
            def on_ledger(self, now, ledger, changed=None):
                for line in ledger.slices.values():
                    for row in line:
                        row.previous_may_act = False
                super().on_ledger(now, ledger, changed)

        self.found(Mistaken, *World.CUTS, good_share=0.95)

    def test_finds_a_start_that_forgets_what_its_last_life_granted(self):
        class Mistaken(GrantManager):
            _started_at = property(lambda self: -math.inf, lambda self, now: None)

        self.found(Mistaken, "kill")


class ConductorLeasesTest(unittest.TestCase):
    """A leader's table of leases over a ledger of three conductors."""

    def setUp(self):
        self.ledger, self.index, self.now = Ledger(), 0, 0.0
        self.leases, self.gone, self.owned = ConductorLeases(0.0), set(), []
        self.apply({"do": "shard", "services": ["s"]})
        self.run_for(1.0)
        for name in "abc":
            rows = [["s", first, last, 0, f"n{first % 7}"] for first, last in ranges(self.held()[name])]
            self.apply({"do": "move", "by": name, "moves": rows})
            self.apply({"do": "granted", "by": name, "fence": self.index, "slices": {"s": [[0, SLICE_COUNT - 1]]}})
        self.owned = self.owners()

    def apply(self, command):
        self.index += 1
        self.ledger.apply(self.index, command)

    def held(self):
        return {
            conductor: [number for number, row in enumerate(self.ledger.slices["s"]) if row.conductor == conductor]
            for conductor in "abc"
        }

    def owners(self):
        return [(row.owner, row.fence, row.open) for row in self.ledger.slices["s"]]

    def test_another_life_at_its_address_proves_a_conductors_end(self):
        """After a wiped disk its slices waited 2.2 s for a lease that nobody could hold any more."""
        leases = ConductorLeases(0.0)
        for name in ("h:1#old", "h:2#x"):
            leases.renew(50.0, name)
        leases.end_replaced(50.1, ["h:1#old", "h:2#x", "", "h:9#away"], {"h:1#old": "h:1", "h:2#x": "h:2"})
        self.assertFalse(leases.has_ended(50.1, "h:1#old"))
        leases.end_replaced(50.1, ["h:1#old", "h:2#x", "", "h:9#away"], {"h:1#new": "h:1", "h:2#x": "h:2"})
        self.assertTrue(leases.has_ended(50.1, "h:1#old"))
        self.assertFalse(leases.has_ended(50.1, "h:2#x"))
        later_leases = ConductorLeases(
            50.0
        )  # of a new leader, which knows no leases: it waits for one whose address nobody uses
        later_leases.end_replaced(50.1, ["h:1#old", "h:9#away"], {"h:1#new": "h:1"})
        self.assertEqual([later_leases.has_ended(50.1, name) for name in ("h:1#old", "h:9#away")], [True, False])

    def run_for(self, seconds):
        """Act as the list poller does; return when and how many slices were handed over."""
        handed, end = [], self.now + seconds
        while self.now < end:
            self.now = round(self.now + 0.2, 3)
            for name in "abc":
                if name not in self.gone:
                    self.leases.renew(self.now, name)
            rows = self.ledger.slices["s"]
            for to, found in reassign(self.leases, self.now, [row.conductor for row in rows]).items():
                self.apply(
                    {
                        "do": "lease",
                        "to": to,
                        "early": self.leases.has_recent_hand_over(self.now),
                        "slices": {"s": found},
                    }
                )
            if hand := hand_over(self.leases, self.now, rows):
                self.leases.note_hand_over(self.now)
                self.apply(
                    {
                        "do": "lease",
                        "from": hand[0],
                        "to": hand[1],
                        "early": self.leases.has_recent_hand_over(self.now),
                        "slices": {"s": hand[2]},
                    }
                )
                handed.append((self.now, len(self.ledger.changed)))
                self.assertTrue(all(rows[number].previous_may_act for _, number in self.ledger.changed))
        return handed

    def test_one_that_comes_back_gets_its_share_gently_and_no_key_moves(self):
        self.gone = {"c"}
        self.assertEqual(self.run_for(20.0), [])
        self.assertEqual(len(self.held()["c"]), 0)
        self.assertFalse(any(x.previous_may_act for x in self.ledger.slices["s"]))
        self.gone = set()
        self.assertEqual(self.run_for(CALM_PERIOD_S - 0.2), [])
        handed = self.run_for(30.0)
        self.assertTrue(all(count <= MAX_HAND_OVER_SLICES for _, count in handed))
        self.assertTrue(all(b - a >= 0.99 for (a, _), (b, _) in zip(handed, handed[1:])))
        counts = {c: len(ks) for c, ks in self.held().items()}
        self.assertGreaterEqual(min(counts.values()), (1 - IMBALANCE_TOLERANCE) * SLICE_COUNT / 3 - 1)
        self.assertLess(max(counts.values()), 1.1 * SLICE_COUNT / 3)
        self.assertEqual(self.owners(), self.owned)
        self.assertEqual(self.run_for(20.0), [])

    def test_who_falls_as_slices_were_handed_to_it_leaves_them_early(self):
        self.gone = {"c"}
        self.run_for(20.0)
        self.gone = set()
        while not self.run_for(0.2):
            pass
        self.gone = {"c"}
        self.leases.on_left(self.now, "c")
        self.run_for(0.2)
        self.assertEqual(sum(x.previous_may_act for x in self.ledger.slices["s"]), MAX_HAND_OVER_SLICES)

    def test_what_changes_hands_is_not_handed_over(self):
        self.gone = {"c"}
        self.run_for(20.0)
        self.gone = set()
        for row in self.ledger.slices["s"]:
            row.open = False
        self.assertEqual(self.run_for(20.0), [])


class LedgerTest(unittest.TestCase):
    def setUp(self):
        self.ledger = Ledger()
        self.ledger.apply(1, {"do": "shard", "services": ["s"]})
        self.ledger.apply(2, {"do": "lease", "to": "a", "slices": {"s": [[0, 9]]}})

    def move(self, index, first, last, fence, target, by="a"):
        return self.ledger.apply(index, {"do": "move", "by": by, "moves": [["s", first, last, fence, target]]})

    def granted(self, index, fence, first=0, last=9, by="a"):
        return self.ledger.apply(index, {"do": "granted", "by": by, "fence": fence, "slices": {"s": [[first, last]]}})

    def test_a_line_opens_by_its_fence_and_keeps_who_may_hold_it(self):
        self.assertEqual(
            self.move(3, 8, 12, 0, "n"), [OwnerChange("s", 8, "n", False), OwnerChange("s", 9, "n", False)]
        )
        self.assertEqual(self.granted(4, 2), [])
        self.assertEqual(self.granted(5, 3, by="b"), [])
        self.assertEqual(self.granted(6, 3, 9), [OwnerChange("s", 9, "n", True)])
        self.move(7, 9, 9, 3, "m")
        row = self.ledger.slices["s"][9]
        self.assertEqual((row.owner, row.fence, row.open, row.previous_holders), ("m", 7, False, [("n", 3)]))
        self.move(8, 9, 9, 7, "m")  # to the same owner: only the fence is new
        self.assertEqual((row.fence, row.previous_holders), (8, [("n", 3)]))
        self.move(9, 9, 9, 8, "n")  # back again: it does not count as a former holder
        self.assertEqual((row.owner, row.previous_holders), ("n", [("m", 8)]))
        self.granted(10, 9, 9)
        self.assertEqual((row.open, row.previous_holders), (True, []))

    def test_what_comes_twice_or_does_not_fit_changes_nothing(self):
        self.move(3, 0, 3, 0, "n")
        self.granted(4, 3)
        self.ledger.apply(5, {"do": "shard", "services": ["s"]})
        before = self.ledger.to_dict()["services"]
        for command in (
            {"do": "move", "by": "a", "moves": [["s", 0, 3, 0, "n"]]},
            {"do": "granted"},
            {},
            {"do": []},
            {"do": "move", "by": "a", "moves": [["s", 0, 3, 3], 7, ["x", 0, 1, 0, "n"], [[], 0, 1, 0, 1]]},
            {"do": "move", "by": "b", "moves": [["s", 0, 3, 3, "m"]]},
            {"do": "shard", "services": 3},
            {"do": "move", "by": "", "moves": [["s", 20, 30, 0, "m"]]},
            {"do": "put", "services": 3},
            {"do": "granted", "by": "a", "fence": 3, "slices": {"s": [[0, 3], [0], "x"], "y": [[0, 1]]}},
            {"do": "lease", "to": "a", "slices": {"s": [[0, 9]]}},
            {"do": "lease", "from": "c", "to": "b", "slices": {"s": [[0, 9]]}},
        ):
            self.assertEqual(self.ledger.apply(9, command), [])
            self.assertEqual(self.ledger.changed, [])
        self.assertEqual(self.ledger.to_dict()["services"], before)

    def test_a_snapshot_comes_back_and_is_short(self):
        self.move(3, 0, 9, 0, "n")
        self.granted(4, 3)
        self.move(5, 4, 4, 3, "m")
        raw = json.loads(json.dumps(self.ledger.to_dict()))
        self.assertEqual(len(raw["services"]["s"]), 4)
        again = Ledger.from_dict(raw)
        self.assertEqual((again.to_dict(), again.index), (raw, 5))
        self.assertEqual(again.slices, self.ledger.slices)
        with self.assertRaises(ValueError):
            Ledger.from_dict({"index": 1, "services": {"s": []}})


class GrantManagerHarness(unittest.TestCase):
    """One conductor, whose calls the test answers; has no tests of its own."""

    def setUp(self):
        self.ledger, self.index = Ledger(), 0
        self.manager = GrantManager("a", PACE, 1, -100.0)
        self.nodes = {id: node(id, ("10.0.0.1", n)) for n, id in enumerate("nmk")}
        self.manager.on_nodes_listed(0.0, self.nodes)
        self.manager.on_lease_proven(0.0, 1e9, 0)
        self.apply(0.0, {"do": "shard", "services": ["s"]})
        self.apply(0.0, {"do": "lease", "to": "a", "slices": {"s": [[0, 9]]}})

    def apply(self, now, command):
        self.index += 1
        self.ledger.apply(self.index, command)
        self.manager.on_ledger(now, self.ledger, self.ledger.changed)
        return self.actions(now)

    def actions(self, now):
        self.manager.tick(now)
        actions, self.manager.actions = self.manager.actions, []
        return actions

    def next(self, now):
        """The next actions that are due by time alone; sets `self.now` to their time."""
        self.now = -1.0
        while True:
            self.assertGreater(self.manager.wake_at, self.now)
            self.now = now = self.manager.wake_at
            if found := self.actions(now):
                return found

    def move(self, now, first, last, target):
        fence = self.ledger.slices["s"][first].fence
        return self.apply(now, {"do": "move", "by": "a", "moves": [["s", first, last, fence, target]]})

    def answer(self, now, action, status, handover=None):
        self.manager.on_call_ended(now, action, status, handover)
        return self.actions(now)

    def opened(self, now, first, last, target):
        """Move, grant and open slices."""
        (grant,) = self.move(now, first, last, target)
        (propose,) = self.answer(now + 0.01, grant, 200)
        self.assertEqual(self.apply(now + 0.02, propose.command), [])
        return grant


class GrantManagerTest(GrantManagerHarness):
    """What one conductor does, call by call."""

    def test_holds_fit_what_nodes_take_and_are_renewed_in_time(self):
        usual, short = GrantTiming.for_max_hold(10.0), GrantTiming.for_max_hold(2.4)
        self.assertEqual((usual.hold, usual.renew_interval), (GrantTiming.hold, GrantTiming.renew_interval))
        self.assertEqual((short.hold, short.renew_interval), (2.4, GrantTiming.renew_interval / 2))
        self.assertGreaterEqual(
            short.max_inherited_hold, LONGEST_HOLD_S * CLOCK_SLOWDOWN, "a life before may have given the longest"
        )

    def test_a_first_grant_goes_at_once_opens_and_is_renewed(self):
        grant = self.opened(1.0, 2, 4, "n")
        self.assertEqual(
            (grant.first_key, grant.last_key, grant.fence, grant.hold, grant.handover),
            (2 * SLICE_WIDTH, 5 * SLICE_WIDTH - 1, 3, PACE.hold, None),
        )
        (again,) = self.next(1.1)
        self.assertTrue(1.0 + 0.8 * PACE.renew_interval <= self.now <= 1.01 + PACE.renew_interval)
        self.assertEqual((again.slices, again.fence), ((2, 3, 4), 3))

    def test_a_move_releases_first_and_passes_the_handover_on(self):
        self.opened(1.0, 0, 5, "n")
        (release,) = self.move(1.5, 2, 3, "m")
        self.assertIsInstance(release, Release)
        self.assertEqual((release.node, release.first_key, release.fence), ("n", 2 * SLICE_WIDTH, 5))
        (grant,) = self.answer(1.6, release, 200, "h1")
        self.assertEqual((grant.node, grant.fence, grant.handover), ("m", 5, "h1"))
        (propose,) = self.answer(1.7, grant, 200)
        self.assertEqual(propose.command, {"do": "granted", "by": "a", "fence": 5, "slices": {"s": [[2, 3]]}})

    def test_an_unanswered_release_is_tried_again_and_then_waited_out(self):
        self.opened(1.0, 0, 0, "n")
        (release,) = self.move(2.0, 0, 0, "m")
        now = 2.0
        for _ in range(3):
            self.assertEqual(self.answer(now + 0.2, release, None), [])
            (release,) = self.next(now + 0.2)
            self.assertIsInstance(release, Release)
            self.assertGreater(self.now - now, 0.4)
            now = self.now
        (grant,) = self.next(now)  # the last release is still unanswered
        self.assertEqual(grant.node, "m")
        self.assertAlmostEqual(self.now, 1.01 + PACE.hold * CLOCK_SLOWDOWN)

    def test_a_release_waits_for_the_grant_that_is_out(self):
        self.opened(1.0, 0, 0, "n")
        (renewal,) = self.next(1.1)
        self.assertEqual(self.move(3.1, 0, 0, "m"), [])
        self.assertEqual(self.answer(4.0, renewal, None), [])  # may arrive within `delivery_slack`
        self.assertAlmostEqual(self.manager.wake_at, 4.0 + PACE.delivery_slack)
        (release,) = self.actions(self.manager.wake_at)
        self.assertIsInstance(release, Release)

    def test_nothing_is_granted_without_a_lease_or_on_an_old_ledger(self):
        self.manager.lease_until = 5.0
        self.opened(1.0, 0, 0, "n")
        self.assertEqual(self.actions(5.0), [])
        self.manager.on_lease_proven(6.0, 9.0, self.index + 1)
        self.assertEqual(self.actions(6.0), [])
        (renewal,) = self.apply(6.1, {"do": "something else"})
        self.assertEqual((renewal.node, renewal.expires), ("n", 9.0))

    def test_a_dropped_node_whose_address_another_has_is_released(self):
        self.opened(1.0, 0, 0, "n")
        (release,) = self.move(8.0, 0, 0, "m") or self.actions(8.0)
        self.nodes["x"] = node("x", self.nodes.pop("n").address, "t")
        self.manager.on_nodes_listed(8.1, self.nodes)
        self.assertEqual(self.actions(8.1), [])

    def test_a_higher_fence_seen_asks_for_a_new_one(self):
        (grant,) = self.move(1.0, 0, 1, "n")
        (propose,) = self.answer(1.1, grant, 409)
        self.assertEqual(propose.command["moves"], [["s", 0, 1, 3, "n"]])
        self.assertEqual(self.actions(1.5), [])
        (again,) = self.actions(2.2)  # the proposal was lost
        (grant,) = self.apply(2.3, again.command)
        self.assertEqual((grant.node, grant.fence), ("n", 4 + MIN_FENCE_LIFT))

    def test_fences_of_a_core_founded_anew_soon_pass_those_of_the_old_one(self):
        (grant,) = self.move(1.0, 0, 1, "n")
        seen, rounds = 100_000_000, 0
        while grant.fence < seen:
            (propose,) = self.answer(1.0 + rounds, grant, 409)
            before = grant.fence
            (grant,) = self.apply(1.01 + rounds, propose.command)
            self.assertGreater(grant.fence, before)
            rounds += 1
        self.assertLess(rounds, 20)
        (propose,) = self.answer(1.0 + rounds, grant, 200)
        self.apply(1.0 + rounds, propose.command)
        self.assertTrue(self.ledger.slices["s"][1].open)
        lift = self.ledger.fence_lift
        old = {"do": "move", "by": "a", "moves": [["s", 5, 5, 0, "m"]], "outbid": True}
        self.apply(2.0 + rounds, old)  # a refusal of a fence from before the last lift lifts no further
        self.assertEqual(self.ledger.fence_lift, lift)
        again = Ledger.from_dict(json.loads(json.dumps(self.ledger.to_dict())))
        self.assertEqual((again.fence_lift, again.lifted_from), (self.ledger.fence_lift, self.ledger.lifted_from))

    def test_a_taken_over_slice_is_renewed_at_once_and_moved_late(self):
        self.opened(1.0, 0, 0, "n")
        self.manager = GrantManager("a", PACE, 2, 10.0)
        self.manager.on_nodes_listed(10.0, self.nodes)
        self.manager.on_ledger(10.0, self.ledger)
        self.manager.on_lease_proven(10.0, 1e9, self.index)
        (renewal,) = self.actions(10.0)
        self.assertEqual(renewal.node, "n")
        self.answer(10.1, renewal, 200)
        self.assertEqual(self.move(10.2, 0, 0, "m"), [])
        (release,) = self.next(10.2)
        self.assertAlmostEqual(self.now, 10.0 + PACE.max_delivery)
        self.assertEqual(release.node, "n")

    def test_an_earlier_lifes_entry_that_comes_late_may_have_been_granted(self):
        self.opened(1.0, 0, 0, "n")
        late = {"do": "move", "by": "a", "moves": [["s", 0, 0, 3, "m"]]}
        self.manager = GrantManager("a", PACE, 2, 10.0)
        self.manager.on_nodes_listed(10.0, self.nodes)
        self.manager.on_ledger(10.0, self.ledger)
        self.apply(10.1, late)
        self.manager.on_lease_proven(10.1, 1e9, self.index)
        self.actions(10.1)
        held = self.move(10.2, 0, 0, "k")
        self.assertEqual([x for x in held if isinstance(x, Grant)], [])
        self.assertEqual(set(self.manager.explain(10.2)[0]["held"]), {"n", "m"})

    def test_answers_of_one_moves_grants_are_told_together(self):
        grants = self.apply(
            1.0, {"do": "move", "by": "a", "moves": [["s", 0, 3, 0, "n"], ["s", 4, 6, 0, "m"], ["s", 7, 9, 0, "k"]]}
        )
        self.assertEqual([x.node for x in grants], ["n", "m", "k"])
        self.assertEqual(self.answer(1.005, grants[0], 200) + self.answer(1.01, grants[1], 200), [])
        (propose,) = self.answer(1.015, grants[2], 200)
        self.assertEqual(propose.command["slices"], {"s": [[0, 9]]})
        self.assertIs(self.manager.slice_leases["s", 0].state, State.GRANTED)

    def test_runs(self):
        self.assertEqual(ranges(range(SLICE_COUNT)), [[0, SLICE_COUNT - 1]])
        self.assertEqual(ranges([]), [])


if __name__ == "__main__":
    unittest.main()
