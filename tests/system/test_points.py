"""One fault at each numbered point of a short story: what is written, kept, sent and received, each in turn.

A run without a fault counts the points; then the same seeded story is played again with each that fits each of them."""

import functools
import unittest

from knotwalk.leases.actions import REFUSED, Grant
from knotwalk.leases.grant_manager import GrantManager
from tests.system.cluster import Cluster
from tests.system.test_leases import PACE, World

CRASHES = [("before", 0.02), ("after", 1.0)]  # and after how many seconds it restarts
MESSAGES = CRASHES + [("lost", 0.0), ("twice", 0.0)]
FITS = dict.fromkeys(("save", "write", "kept", "read"), CRASHES)
HANG = 0.6  # as control_plane/consensus_driver.py: so long a write may take before the machine hears of it
FITS["save"] = CRASHES + [("refused", 0.05), ("refused", 2.0), ("hangs", 4.0), ("hangs, killed", 1.0)]
FITS |= dict.fromkeys(("send", "receive", "answer", "commit"), MESSAGES)


class Points:
    """Numbers what passes through `meet`, and has its one fault at one of them."""

    def __init__(self, number, fault, *given, **more):
        self.points, self.number, self.fault_there, self.telling = [], number, fault, True
        super().__init__(*given, **more)

    def meet(self, kind, who, act):
        """A point of the story: `act`, with the fault if it is here."""
        what, pause = self.fault_there if self.telling and len(self.points) == self.number else ("", 0.0)
        self.points += [kind] * self.telling
        for _ in range({"twice": 2}.get(what, 1 if what in ("", "after") else 0)):
            act()
        if what in ("refused", "hangs", "hangs, killed"):
            self.stall(who, what, pause, act)
        if what in ("before", "after"):
            self.crash(who, pause)


class Log(Points, Cluster):
    """Three machines elect a leader and take a command."""

    def crash(self, address, pause):
        node = self.nodes[address]
        node.machine, node.writing, node.life = None, None, 0
        self._later(pause, lambda: node.machine or self.start(address))

    def stall(self, address, what, pause, act):
        """A write that is refused at first or takes its time, also past the life that asked for it."""
        node, machine = self.nodes[address], self.nodes[address].machine

        def alive(work):
            return lambda: node.machine is machine and work()

        def failed():
            machine.on_save_failed(self.now + node.offset)
            self._carry(node)

        self._later(0.001 if what == "refused" else HANG, alive(failed))
        self._later(pause, alive(act if what != "hangs, killed" else lambda: self.crash(address, 0.3)))

    def _order(self, node, machine, order):
        if node.machine is machine:
            super()._order(node, machine, order)

    def _write(self, node):
        machine, save = node.machine, node.writing

        def kept():
            node.writing = machine.on_saved(self.now + node.offset, save.number)
            self._carry(node)

        def done():
            if node.machine is machine:
                self.meet("write", node.address, lambda: node.disk.write(save))
            if node.machine is machine:
                self.meet("kept", node.address, kept)

        self.meet("save", node.address, lambda: self._later(0.001, done))

    def _post(self, sender, address, text):
        self.meet("send", sender, lambda: super(Log, self)._post(sender, address, text))

    def _deliver(self, address, message):
        if self.nodes[address].machine:
            self.meet("receive", address, lambda: super(Log, self)._deliver(address, message))

    def play(self):
        """Until a command is told committed, asked anew if need be, and all is whole; the command's entries."""
        for n in range(5):
            assert self.run(10, self.settled), "no settled leader"
            ticket = self.propose(self.leader().address, {"n": n})
            if self.run(2, lambda: ticket in self.answers) and self.answers[ticket].outcome == "committed":
                break
        self.run(0.3)
        self.telling = False
        self.run(1)
        assert self.run(10, lambda: self.settled() and all(x.machine for x in self.nodes.values())), "not whole"
        assert all(x.applied >= self.answers[ticket].value for x in self.nodes.values()), "not applied on all"
        return [x for x in self.checker.entries.values() if x.body == {"n": n}]


class Keys(Points, World):
    """Slices are granted; then one moves, is released and granted again."""

    moved = -1.0

    def __init__(self, number=-1, fault=None, seed=1):
        keys = self

        class Hooked(GrantManager):
            def on_ledger(self, now, *given):
                act = functools.partial(super().on_ledger, now, *given)
                keys.meet("read", keys.by(self.me), act) if len(given) > 1 else act()

        super().__init__(number, fault, seed, Hooked, 16.0, 0.0, 2)

    def by(self, name):
        return self.conductors["ab".index(name)]

    def crash(self, who, pause):
        if who in self.conductors:
            who.up = False
            self.at(self.now + pause, lambda: who.up or who.start(who.at))
        else:
            self.end_node(who)
            self.at(self.now + pause, self.start_node)

    def fault(self):
        """The story's move, once there is what it moves; and the end of counting."""
        c = next(
            (
                c
                for c in self.conductors
                if c.up and (row := c.ledger.slices.get("s")) and row[0].open and row[0].conductor == c.name
            ),
            None,
        )
        if c is None:
            return self.at(self.now + 0.2, self.fault)
        x, self.moved = c.ledger.slices["s"][0], self.now
        target = next(id for id in sorted(self.up) if id != x.owner)
        self.propose({"do": "move", "by": c.name, "moves": [["s", 0, 0, x.fence, target]]})
        self.at(self.now + 1.5, lambda: setattr(self, "telling", False))

    def propose(self, command):
        if (c := self.by(command["by"])).up:
            self.at(self.now + 0.02, lambda: self.meet("commit", c, lambda: self.log.append(command)))

    def call(self, c, order):
        done, r = [], self.random

        def answer(*given):
            if not done:
                done.append(c.keeper.on_call_ended(self.now, order, *given))

        def take(x):
            status, handover, work = x.take(order)
            c.later(work + r.uniform(0, 0.03), lambda: self.meet("answer", c, lambda: answer(status, handover)))

        def arrive():
            x = self.ports.get(order.address)
            self.meet("receive", x, lambda: take(x)) if x else c.later(0.001, answer, REFUSED)

        if c.up:
            c.later(PACE.call_timeout if isinstance(order, Grant) else PACE.release_timeout, answer, None)
            self.meet("send", c, lambda: self.at(self.now + r.uniform(0, 0.03), arrive))


class TestPoints(unittest.TestCase):
    def played(self, play, floor):
        """Each fault at each point that a run without one counts."""
        counted = play().points
        faults = [(n, kind, fault) for n, kind in enumerate(counted) for fault in FITS[kind]]
        self.assertGreater(len(counted), floor)
        for n, kind, fault in faults:
            with self.subTest(point=n, kind=kind, fault=fault):
                self.assertEqual(play(n, fault).points[: n + 1], counted[: n + 1])

    def test_an_election_and_a_command(self):
        def play(n=-1, fault=None):
            world = Log(n, fault, 1)
            self.assertEqual(len(world.play()), 1)
            return world

        self.played(play, 90)

    def test_a_grant_a_move_and_the_next_grant(self):
        def play(n=-1, fault=None):
            world = Keys(n, fault)
            self.assertEqual((world.checker.broken, world.unserved()), ([], []))
            self.assertGreater(world.moved, 0)
            return world

        self.played(play, 30)
