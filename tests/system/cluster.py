"""A cluster of machines in memory under one seed: links, disks, clocks and stops that misbehave, and a checker.

The checker reads only what machines order and what their disks hold; it shares no rule with the code it judges.
"""

import hashlib
import heapq
import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from knotwalk.consensus.machine import Machine
from knotwalk.consensus.raft_types import (
    Answer,
    Apply,
    Entry,
    RaftSettings,
    Restore,
    RoleChange,
    Save,
    Send,
    StoredState,
)


class Violation(AssertionError):
    """What must never happen has."""


def chain(digest: str, entry: Entry) -> str:
    """The digest of a sequence of entries, one further."""
    line = json.dumps([digest, entry.index, entry.term, entry.kind, entry.body], sort_keys=True)
    return hashlib.sha256(line.encode()).hexdigest()[:16]


@dataclass
class Disk:
    """What is durable under one id."""

    saved: StoredState

    def write(self, save: Save) -> None:
        """Take a save in whole."""
        saved = self.saved
        entries = [one for one in saved.entries if save.cut_from is None or one.index < save.cut_from]
        entries += save.entries
        if save.snapshot is not None:
            index, term, members, state = json.loads(json.dumps(save.snapshot))
            saved.snapshot_index, saved.snapshot_term, saved.members, saved.snapshot = index, term, members, state
        saved.entries = [one for one in entries if one.index > saved.snapshot_index]
        saved.term, saved.vote, saved.commit = save.term, save.vote, save.commit
        numbers = [one.index for one in saved.entries]
        if numbers != list(range(saved.snapshot_index + 1, saved.snapshot_index + 1 + len(numbers))):
            raise Violation(f"{saved.me} wrote {numbers} after {saved.snapshot_index}")

    def read(self) -> StoredState:
        """A copy for a new life."""
        return replace(self.saved, members=dict(self.saved.members), entries=list(self.saved.entries))


@dataclass
class Node:
    """A place where a machine runs: an address, a disk, a clock of its own, an application."""

    address: str
    offset: float
    disk: Disk
    machine: Machine | None = None
    life: int = 0
    lives: int = 0
    frozen: float = 0.0
    slow: float = 0.0  # seconds a write takes at most, beyond 1 ms
    hangs: bool = False
    writing: Save | None = None
    due: float = -1.0
    waiting: list[dict] = field(default_factory=list)
    applied: int = 0
    digest: str = ""


class Checker:
    """What must hold over all machines at all times."""

    def __init__(self, promises: bool = True) -> None:
        self.promises = promises
        self.leaders: dict[int, str] = {}
        self.entries: dict[int, Entry] = {}
        self.digests: dict[int, str] = {0: ""}
        self.told = 0  # highest index told committed
        self.dead: set[str] = set()

    def leads(self, machine: Machine) -> None:
        """A machine leads: the only one of its term, with all that is committed."""
        if self.leaders.setdefault(machine.term, machine.me) != machine.me:
            raise Violation(f"two leaders in term {machine.term}")
        for index, entry in self.entries.items():
            if index > machine.log.base and (index > machine.log.last or machine.log.entry_at(index) != entry):
                raise Violation(f"{machine.me} leads term {machine.term} without entry {index}")

    def applies(self, node: Node, entry: Entry) -> None:
        """A machine takes an entry as committed."""
        if entry.index != node.applied + 1:
            raise Violation(f"{node.address} applies {entry.index} after {node.applied}")
        if self.entries.setdefault(entry.index, entry) != entry:
            raise Violation(f"{node.address}: entry {entry.index} is {entry}, was {self.entries[entry.index]}")
        node.applied, node.digest = entry.index, chain(node.digest, entry)
        if self.digests.setdefault(entry.index, node.digest) != node.digest:
            raise Violation(f"{node.address} came another way to {entry.index}")

    def loads(self, node: Node, state: dict | None, index: int) -> None:
        """A machine takes a snapshot for its state."""
        if index and (state is None or self.digests.get(index) != state["digest"]):
            raise Violation(f"{node.address} loads another state as of {index}")
        node.applied, node.digest = index, state["digest"] if state else ""

    def sends(self, node: Node, message: dict) -> None:
        """A machine speaks: what it promises is on its disk."""
        if message["from"] in self.dead and message["type"] in ("voted", "appended"):
            raise Violation(f"{message['from']} was wiped and says {message['type']}")
        if not self.promises:
            return
        saved = node.disk.saved
        if message["type"] == "voted" and message["granted"]:
            if saved.term < message["term"] or saved.term == message["term"] and saved.vote != message["to"]:
                raise Violation(f"{saved.me} votes before its disk holds it")
        if message["type"] == "appended" and message["ok"]:
            if saved.term < message["term"] or saved.snapshot_index + len(saved.entries) < message["match"]:
                raise Violation(f"{saved.me} acks {message['match']} before its disk holds it")

    def leases(self, nodes: list[Node], now: float, length: float) -> None:
        """No two machines hold a proof of leadership at a time."""
        holders = [
            node.address
            for node in nodes
            if node.machine
            and node.machine.role == "leader"
            and now + node.offset - node.machine.majority_acked_at < length
        ]
        if len(holders) > 1:
            raise Violation(f"{holders} both hold a lease")


class Cluster:
    """Machines under one seed, and time that only events move."""

    def __init__(
        self,
        seed: int,
        count: int = 3,
        kind: type[Machine] = Machine,
        pace: RaftSettings = RaftSettings(),
        promises: bool = True,
        keeps_id: bool = False,
    ) -> None:
        self.random = random.Random(f"cluster {seed}")
        self.seed, self.kind, self.pace, self.keeps_id = seed, kind, pace, keeps_id
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.serial = 0
        self.checker = Checker(promises)
        self.loss = self.double = 0.0
        self.late = 0.001  # seconds by which delays spread
        self.cuts: set[tuple[str, str]] = set()
        self.answers: dict[Any, Answer] = {}
        self.asked: dict[Any, int] = {}
        self.commands: dict[Any, dict] = {}
        self.sent: dict[str, int] = {}
        founders = {f"m{one}#founder": f"m{one}" for one in range(count)}
        self.founders = founders
        self.nodes: dict[str, Node] = {}
        for id, address in founders.items():
            self._place(address, StoredState(id, members=dict(founders)))

    # ---- events

    def _later(self, wait: float, act: Callable[[], None]) -> None:
        self.serial += 1
        heapq.heappush(self.events, (self.now + wait, self.serial, act))

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> bool:
        """Let time pass; True once `until` holds."""
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, act = heapq.heappop(self.events)
            act()
            self.checker.leases(list(self.nodes.values()), self.now, self.pace.election_timeout_min)
            if until is not None and until():
                return True
        self.now = end
        return until is not None and until()

    # ---- machines

    def _place(self, address: str, saved: StoredState) -> Node:
        node = Node(address, self.random.uniform(0, 1000), Disk(saved))
        self.nodes[address] = node
        self.start(address)
        return node

    def start(self, address: str) -> None:
        """Start the machine of a place from its disk."""
        node = self.nodes[address]
        node.life, node.lives = node.lives + 1, node.lives + 1
        node.frozen, node.hangs = 0.0, False
        node.waiting.clear()
        saved = node.disk.read()
        node.machine = self.kind(saved, self.pace, self.seed + node.lives, self.now + node.offset)
        node.machine.address = address
        node.machine.contacts = [one for one in self.nodes if one != address] + sorted(self.founders.values())
        node.due = -1.0
        self.checker.loads(node, saved.snapshot, saved.snapshot_index)
        self._carry(node)

    def stop(self, address: str) -> None:
        """Kill the machine: the save under way is lost, or just made it."""
        node = self.nodes[address]
        if node.writing is not None and self.random.random() < 0.3:
            node.disk.write(node.writing)
        node.machine, node.writing, node.life = None, None, 0

    def wipe(self, address: str) -> None:
        """Stop a machine and take its disk; it starts under a fresh id, unless `keeps_id`."""
        self.stop(address)
        node = self.nodes[address]
        old = node.disk.saved
        self.checker.dead.add(old.me)
        if self.keeps_id:
            node.disk = Disk(StoredState(old.me, members=dict(self.founders)))
        else:
            node.disk = Disk(StoredState(f"{address}#{self.random.randrange(1 << 32):08x}"))
        self.start(address)

    def add(self, address: str) -> None:
        """A new place with an empty disk."""
        self._place(address, StoredState(f"{address}#{self.random.randrange(1 << 32):08x}"))

    def freeze(self, address: str, seconds: float) -> None:
        """The process does nothing for a while; then finds what came all at once."""
        node = self.nodes[address]
        node.frozen = self.now + seconds
        life = node.life

        def thaw() -> None:
            if node.machine is None or node.life != life or node.frozen > self.now:
                return
            waiting, node.waiting = node.waiting, []
            if self.random.random() < 0.5:
                self._tick(node, life)
            for message in waiting:
                self._deliver(node.address, message)
            self._tick(node, life)

        self._later(seconds, thaw)

    def _carry(self, node: Node) -> None:
        machine = node.machine
        assert machine is not None
        while machine.actions:
            orders, machine.actions = machine.actions, []
            for order in orders:
                self._order(node, machine, order)
        if node.due < self.now or machine.wake_at + 1e-9 < node.due + node.offset:
            life = node.life
            wait = max(machine.wake_at - node.offset - self.now, 0.0) + 1e-6
            node.due = self.now + wait
            self._later(wait, lambda: self._tick(node, life))

    def _tick(self, node: Node, life: int) -> None:
        if node.life != life or node.machine is None or node.frozen > self.now:
            return
        node.due = -1.0
        node.machine.tick(self.now + node.offset)
        self._carry(node)

    def _order(self, node: Node, machine: Machine, order: Any) -> None:
        if isinstance(order, Send):
            self.checker.sends(node, order.message)
            self._post(node.address, order.to_address, json.dumps(order.message))
        elif isinstance(order, Save):
            if node.writing is not None:
                raise Violation("two saves at a time")
            node.writing = order
            if not node.hangs:
                self._write(node)
        elif isinstance(order, Apply):
            self.checker.applies(node, order.entry)
        elif isinstance(order, Restore):
            self.checker.loads(node, order.state, order.index)
        elif isinstance(order, RoleChange):
            if order.role == "leader":
                self.checker.leads(machine)
        elif isinstance(order, Answer):
            self._answered(order)

    def _write(self, node: Node) -> None:
        life, save = node.life, node.writing

        def done() -> None:
            if node.life != life or node.machine is None or save is None or node.writing is not save or node.hangs:
                return
            if node.frozen > self.now:
                self._later(node.frozen - self.now + 1e-4, done)
                return
            node.writing = None
            node.disk.write(save)
            node.machine.on_saved(self.now + node.offset, save.number)
            self._carry(node)

        self._later(0.001 + self.random.uniform(0, node.slow), done)

    def hang(self, address: str, hangs: bool) -> None:
        """The disk stops, and the machine is told; or works again."""
        node = self.nodes[address]
        if node.hangs == hangs or node.machine is None:
            return
        node.hangs = hangs
        if hangs:
            node.machine.on_save_failed(self.now + node.offset)
            self._carry(node)
        elif node.writing is not None:
            self._write(node)

    def _post(self, sender: str, address: str, text: str) -> None:
        kind = json.loads(text)["type"]
        self.sent[kind] = self.sent.get(kind, 0) + 1
        for _ in range(2 if self.random.random() < self.double else 1):
            if self.random.random() >= self.loss and (sender, address) not in self.cuts:
                wait = 0.0005 + self.random.uniform(0, self.late)
                self._later(wait, lambda: self._deliver(address, json.loads(text)))

    def _deliver(self, address: str, message: dict) -> None:
        node = self.nodes.get(address)
        if node is None or node.machine is None:
            return
        if node.frozen > self.now:
            node.waiting.append(message)
            return
        node.machine.receive(self.now + node.offset, message)
        self._carry(node)

    # ---- clients

    def _answered(self, answer: Answer) -> None:
        if answer.ticket in self.answers:
            raise Violation(f"{answer.ticket} answered twice")
        self.answers[answer.ticket] = answer
        checker = self.checker
        if answer.outcome == "committed":
            if checker.entries[answer.value].body != self.commands[answer.ticket]:
                raise Violation(f"{answer.ticket} told committed as another's entry")
            checker.told = max(checker.told, answer.value)
        elif answer.outcome == "readable":
            if answer.value < self.asked[answer.ticket]:
                raise Violation(f"{answer.ticket} reads {answer.value}, {self.asked[answer.ticket]} was told before")
            checker.told = max(checker.told, answer.value)  # what was read once is never unread

    def propose(self, address: str, command: dict) -> int | None:
        """Propose at one machine; the ticket."""
        return self._ask(address, command)

    def read(self, address: str) -> int | None:
        """Read at one machine; the ticket."""
        return self._ask(address, None)

    def _ask(self, address: str, command: dict | None) -> int | None:
        node = self.nodes[address]
        if node.machine is None or node.frozen > self.now:
            return None
        ticket = len(self.asked)
        self.asked[ticket] = self.checker.told
        if command is None:
            node.machine.read(self.now + node.offset, ticket)
        else:
            self.commands[ticket] = command
            node.machine.propose(self.now + node.offset, command, ticket)
        self._carry(node)
        return ticket

    def compact(self, address: str) -> None:
        """The application gives its snapshot."""
        node = self.nodes[address]
        if node.machine is not None and node.applied:
            node.machine.compact(node.applied, {"digest": node.digest})
            self._carry(node)

    def leave(self, address: str) -> None:
        """SIGTERM."""
        node = self.nodes[address]
        if node.machine is not None:
            node.machine.leave(self.now + node.offset)
            self._carry(node)

    # ---- what tests look at

    def leader(self) -> Node | None:
        """The leader of the highest term among the running, if it has committed in its term."""
        leaders = [node for node in self.nodes.values() if node.machine and node.machine.role == "leader"]
        leaders = [node for node in leaders if node.frozen <= self.now]
        return max(leaders, key=lambda node: node.machine.term if node.machine else 0, default=None)

    def heal(self) -> None:
        """All links and disks well, all machines running."""
        self.loss = self.double = 0.0
        self.late = 0.001
        self.cuts.clear()
        for node in self.nodes.values():
            node.slow = 0.0
            self.hang(node.address, False)
            if node.machine is None:
                self.start(node.address)

    def settled(self) -> bool:
        """One leader whose members are all running, with the same entries applied everywhere."""
        leader = self.leader()
        if leader is None or leader.machine is None:
            return False
        machine = leader.machine
        homes = {node.machine.me: node for node in self.nodes.values() if node.machine}
        return (
            machine.commit == machine.log.last
            and all(id in homes for id in machine.members)
            and all(homes[id].applied == machine.commit for id in machine.members)
            and all(homes[id].machine.role in ("leader", "follower") for id in machine.members)
        )

    def spares(self) -> bool:
        """Whether any one disk may be lost and a majority of the members is left."""
        leader = self.leader()
        return (
            self.settled()
            and leader is not None
            and leader.machine is not None
            and len(leader.machine.members) > 2
            and not any(node.machine and node.machine.leaving for node in self.nodes.values())
        )


def trouble(cluster: Cluster, steps: int, wipes: bool = True) -> None:
    """Random misfortune, a step about every 0.1 s, with clients all along."""
    chance = cluster.random
    for step in range(steps):
        address = chance.choice(sorted(cluster.nodes))
        node = cluster.nodes[address]
        what = chance.random()
        if what < 0.06:
            cluster.stop(address)
        elif what < 0.20:
            for one in cluster.nodes.values():
                if one.machine is None and chance.random() < 0.7:
                    cluster.start(one.address)
        elif what < 0.26:
            other = chance.choice(sorted(cluster.nodes))
            cluster.cuts.add((address, other))
            if chance.random() < 0.5:
                cluster.cuts.add((other, address))
        elif what < 0.36:
            cluster.cuts.clear()
        elif what < 0.40:
            cluster.freeze(address, chance.choice((0.1, 0.5, 2.0)))
        elif what < 0.45:
            node.slow = chance.choice((0.0, 0.01, 0.3))
        elif what < 0.49:
            cluster.hang(address, not node.hangs)
        elif what < 0.53:
            cluster.loss, cluster.double = chance.choice(((0.0, 0.0), (0.05, 0.05), (0.2, 0.1)))
            cluster.late = chance.choice((0.001, 0.02, 0.2))
        elif what < 0.60:
            cluster.compact(address)
        elif what < 0.62 and wipes and cluster.spares():
            cluster.wipe(address)
        for _ in range(chance.choice((0, 1, 5))):
            cluster.propose(address, {"n": len(cluster.asked)})
        leader = cluster.leader()
        if leader is not None:
            for _ in range(chance.choice((0, 1, 5))):
                cluster.propose(leader.address, {"n": len(cluster.asked)})
            cluster.read(leader.address)
        cluster.read(address)
        cluster.run(chance.choice((0.002, 0.05, 0.3)))
