"""One fault at each numbered point of a short run: each write, save, send and receive in turn.

A run without a fault counts the points. The same seeded run is then repeated once for each point and each fault that
fits it.
"""

import functools
import unittest

from knotwalk.leases.actions import REFUSED, Grant
from knotwalk.leases.grant_manager import GrantManager
from tests.system.cluster import Cluster
from tests.system.test_leases import PACE, World

CRASHES = [("before", 0.02), ("after", 1.0)]  # and the seconds after which it restarts
MESSAGES = CRASHES + [("lost", 0.0), ("twice", 0.0)]
FITS = dict.fromkeys(("save", "write", "kept", "read"), CRASHES)
HANG = 0.6  # as in control_plane/consensus_driver.py: a write that takes longer is reported to the machine
FITS["save"] = CRASHES + [("refused", 0.05), ("refused", 2.0), ("hangs", 4.0), ("hangs, killed", 1.0)]
FITS |= dict.fromkeys(("send", "receive", "answer", "commit"), MESSAGES)


class Points:
    """Numbers the events that pass through `meet`, and injects one fault at one of them."""

    def __init__(self, number, fault, *given, **more):
        self.points, self.number, self.fault_there, self.is_counting = [], number, fault, True
        super().__init__(*given, **more)

    def meet(self, kind, owner, action):
        """Run `action` as one numbered point, with the fault if it belongs here."""
        fault, pause = self.fault_there if self.is_counting and len(self.points) == self.number else ("", 0.0)
        self.points += [kind] * self.is_counting
        for _ in range({"twice": 2}.get(fault, 1 if fault in ("", "after") else 0)):
            action()
        if fault in ("refused", "hangs", "hangs, killed"):
            self.stall(owner, fault, pause, action)
        if fault in ("before", "after"):
            self.crash(owner, pause)


class Log(Points, Cluster):
    """Three machines elect a leader and commit a command."""

    def crash(self, address, pause):
        node = self.nodes[address]
        node.machine, node.writing, node.incarnation = None, None, 0
        self._later(pause, lambda: node.machine or self.start(address))

    def stall(self, address, fault, pause, write):
        """A write that is refused at first or takes a while, possibly longer than its incarnation runs."""
        node, machine = self.nodes[address], self.nodes[address].machine

        def alive(work):
            return lambda: node.machine is machine and work()

        def failed():
            machine.on_save_failed(self.now + node.offset)
            self._carry_out(node)

        self._later(0.001 if fault == "refused" else HANG, alive(failed))
        self._later(pause, alive(write if fault != "hangs, killed" else lambda: self.crash(address, 0.3)))

    def _perform(self, node, machine, action):
        if node.machine is machine:
            super()._perform(node, machine, action)

    def _write(self, node):
        machine, save = node.machine, node.writing

        def kept():
            node.writing = machine.on_saved(self.now + node.offset, save.number)
            self._carry_out(node)

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
        """Run until a command is reported as committed, repeated if necessary, and all machines agree; returns the
        command's entries.
        """
        for number in range(5):
            assert self.run(10, self.is_settled), "no settled leader"
            ticket = self.propose(self.leader().address, {"n": number})
            if self.run(2, lambda: ticket in self.answers) and self.answers[ticket].outcome == "committed":
                break
        self.run(0.3)
        self.is_counting = False
        self.run(1)
        assert self.run(10, lambda: self.is_settled() and all(x.machine for x in self.nodes.values())), (
            "not all machines run and agree"
        )
        assert all(x.applied >= self.answers[ticket].value for x in self.nodes.values()), "not applied on all"
        return [x for x in self.checker.entries.values() if x.body == {"n": number}]


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

    def crash(self, owner, pause):
        if owner in self.conductors:
            owner.up = False
            self.schedule(self.now + pause, lambda: owner.up or owner.start(owner.log_index))
        else:
            self.end_node(owner)
            self.schedule(self.now + pause, self.start_node)

    def fault(self):
        """Move a slice once one is open, and soon after end the counting of points."""
        conductor = next(
            (
                conductor
                for conductor in self.conductors
                if conductor.up
                and (row := conductor.ledger.slices.get("s"))
                and row[0].open
                and row[0].conductor == conductor.name
            ),
            None,
        )
        if conductor is None:
            return self.schedule(self.now + 0.2, self.fault)
        row, self.moved = conductor.ledger.slices["s"][0], self.now
        target = next(id for id in sorted(self.up) if id != row.owner)
        self.propose({"do": "move", "by": conductor.name, "moves": [["s", 0, 0, row.fence, target]]})
        self.schedule(self.now + 1.5, lambda: setattr(self, "is_counting", False))

    def propose(self, command):
        if (conductor := self.by(command["by"])).up:
            self.schedule(self.now + 0.02, lambda: self.meet("commit", conductor, lambda: self.log.append(command)))

    def call(self, conductor, action):
        done, rng = [], self.random

        def answer(*given):
            if not done:
                done.append(conductor.manager.on_call_ended(self.now, action, *given))

        def take(node):
            status, handover, work = node.take(action)
            conductor.later(
                work + rng.uniform(0, 0.03), lambda: self.meet("answer", conductor, lambda: answer(status, handover))
            )

        def arrive():
            node = self.ports.get(action.address)
            self.meet("receive", node, lambda: take(node)) if node else conductor.later(0.001, answer, REFUSED)

        if conductor.up:
            conductor.later(PACE.call_timeout if isinstance(action, Grant) else PACE.release_timeout, answer, None)
            self.meet("send", conductor, lambda: self.schedule(self.now + rng.uniform(0, 0.03), arrive))


class TestPoints(unittest.TestCase):
    def played(self, play, floor):
        """Inject each fault at each point that a run without a fault counts."""
        counted = play().points
        faults = [(number, kind, fault) for number, kind in enumerate(counted) for fault in FITS[kind]]
        self.assertGreater(len(counted), floor)
        for number, kind, fault in faults:
            with self.subTest(point=number, kind=kind, fault=fault):
                self.assertEqual(play(number, fault).points[: number + 1], counted[: number + 1])

    def test_an_election_and_a_command(self):
        def play(n=-1, fault=None):
            world = Log(n, fault, 1)
            self.assertEqual(len(world.play()), 1)
            return world

        self.played(play, 90)

    def test_a_grant_a_move_and_the_next_grant(self):
        def play(n=-1, fault=None):
            world = Keys(n, fault)
            self.assertEqual((world.checker.broken, world.unserved_slices()), ([], []))
            self.assertGreater(world.moved, 0)
            return world

        self.played(play, 30)
