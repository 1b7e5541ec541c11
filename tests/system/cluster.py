"""A simulated cluster of Raft machines under one seed, with faults of links, disks, clocks and processes, and a
checker.

The checker reads only the actions that machines return and what their disks hold. It shares no rule with the code under
test.
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


class ViolationError(AssertionError):
    """An invariant is broken."""


def chain_digest(digest: str, entry: Entry) -> str:
    """Extend the digest of a sequence of entries by one entry."""
    line = json.dumps([digest, entry.index, entry.term, entry.kind, entry.body], sort_keys=True)
    return hashlib.sha256(line.encode()).hexdigest()[:16]


@dataclass
class Disk:
    """The durable state of one id."""

    saved: StoredState

    def write(self, save: Save) -> None:
        """Store a save as a whole."""
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
            raise ViolationError(f"{saved.me} wrote {numbers} after {saved.snapshot_index}")

    def read(self) -> StoredState:
        """A copy for a new incarnation."""
        return replace(self.saved, members=dict(self.saved.members), entries=list(self.saved.entries))


@dataclass
class Node:
    """An address at which a machine runs, with its disk, its own clock and an application."""

    address: str
    offset: float
    disk: Disk
    machine: Machine | None = None
    incarnation: int = 0
    incarnations: int = 0
    frozen: float = 0.0
    slow: float = 0.0  # longest additional time of a write in seconds, beyond 1 ms
    hangs: bool = False
    writing: Save | None = None
    due: float = -1.0
    waiting: list[dict] = field(default_factory=list)
    applied: int = 0
    digest: str = ""


class Checker:
    """Checks the invariants over all machines."""

    def __init__(self, checks_promises: bool = True) -> None:
        self.checks_promises = checks_promises
        self.leaders: dict[int, str] = {}
        self.entries: dict[int, Entry] = {}
        self.digests: dict[int, str] = {0: ""}
        self.reported_index = 0  # highest index reported as committed
        self.wiped_ids: set[str] = set()

    def check_leader(self, machine: Machine) -> None:
        """A machine leads: it must be the only one of its term, and have everything committed."""
        if self.leaders.setdefault(machine.term, machine.me) != machine.me:
            raise ViolationError(f"two leaders in term {machine.term}")
        for index, entry in self.entries.items():
            if index > machine.log.base and (index > machine.log.last or machine.log.entry_at(index) != entry):
                raise ViolationError(f"{machine.me} leads term {machine.term} without entry {index}")

    def check_apply(self, node: Node, entry: Entry) -> None:
        """A machine applies an entry as committed."""
        if entry.index != node.applied + 1:
            raise ViolationError(f"{node.address} applies {entry.index} after {node.applied}")
        if self.entries.setdefault(entry.index, entry) != entry:
            raise ViolationError(f"{node.address}: entry {entry.index} is {entry}, was {self.entries[entry.index]}")
        node.applied, node.digest = entry.index, chain_digest(node.digest, entry)
        if self.digests.setdefault(entry.index, node.digest) != node.digest:
            raise ViolationError(f"{node.address} came another way to {entry.index}")

    def check_restore(self, node: Node, state: dict | None, index: int) -> None:
        """A machine replaces its state by a snapshot."""
        if index and (state is None or self.digests.get(index) != state["digest"]):
            raise ViolationError(f"{node.address} loads another state as of {index}")
        node.applied, node.digest = index, state["digest"] if state else ""

    def check_send(self, node: Node, message: dict) -> None:
        """A machine sends a message: what it promises must be on its disk."""
        if message["from"] in self.wiped_ids and message["type"] in ("voted", "appended"):
            raise ViolationError(f"{message['from']} was wiped and says {message['type']}")
        if not self.checks_promises:
            return
        saved = node.disk.saved
        if message["type"] == "voted" and message["granted"]:
            if saved.term < message["term"] or saved.term == message["term"] and saved.vote != message["to"]:
                raise ViolationError(f"{saved.me} votes before its disk holds it")
        if message["type"] == "appended" and message["ok"]:
            if saved.term < message["term"] or saved.snapshot_index + len(saved.entries) < message["match"]:
                raise ViolationError(f"{saved.me} acks {message['match']} before its disk holds it")

    def check_leases(self, nodes: list[Node], now: float, length: float) -> None:
        """No two machines may have a proof of leadership at the same time."""
        holders = [
            node.address
            for node in nodes
            if node.machine
            and node.machine.role == "leader"
            and now + node.offset - node.machine.majority_acked_at < length
        ]
        if len(holders) > 1:
            raise ViolationError(f"{holders} both hold a lease")


class Cluster:
    """Machines under one seed; time advances only by events."""

    def __init__(
        self,
        seed: int,
        count: int = 3,
        machine_class: type[Machine] = Machine,
        settings: RaftSettings = RaftSettings(),
        checks_promises: bool = True,
        keeps_id: bool = False,
    ) -> None:
        self.random = random.Random(f"cluster {seed}")
        self.seed, self.machine_class, self.settings, self.keeps_id = seed, machine_class, settings, keeps_id
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_number = 0
        self.checker = Checker(checks_promises)
        self.loss = self.duplication = 0.0
        self.jitter_s = 0.001  # range of random message delays in seconds
        self.cuts: set[tuple[str, str]] = set()
        self.answers: dict[Any, Answer] = {}
        self.tickets: dict[Any, int] = {}
        self.commands: dict[Any, dict] = {}
        self.sent_counts: dict[str, int] = {}
        founders = {f"m{one}#founder": f"m{one}" for one in range(count)}
        self.founders = founders
        self.nodes: dict[str, Node] = {}
        for id, address in founders.items():
            self._add_node(address, StoredState(id, members=dict(founders)))

    # ---- events

    def _later(self, wait: float, callback: Callable[[], None]) -> None:
        self.event_number += 1
        heapq.heappush(self.events, (self.now + wait, self.event_number, callback))

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> bool:
        """Let time pass; return True as soon as `until` holds."""
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, callback = heapq.heappop(self.events)
            callback()
            self.checker.check_leases(list(self.nodes.values()), self.now, self.settings.election_timeout_min)
            if until is not None and until():
                return True
        self.now = end
        return until is not None and until()

    # ---- machines

    def _add_node(self, address: str, saved: StoredState) -> Node:
        node = Node(address, self.random.uniform(0, 1000), Disk(saved))
        self.nodes[address] = node
        self.start(address)
        return node

    def start(self, address: str) -> None:
        """Start the machine of a node from its disk."""
        node = self.nodes[address]
        node.incarnation, node.incarnations = node.incarnations + 1, node.incarnations + 1
        node.frozen, node.hangs = 0.0, False
        node.waiting.clear()
        saved = node.disk.read()
        node.machine = self.machine_class(saved, self.settings, self.seed + node.incarnations, self.now + node.offset)
        node.machine.address = address
        node.machine.contacts = [one for one in self.nodes if one != address] + sorted(self.founders.values())
        node.due = -1.0
        self.checker.check_restore(node, saved.snapshot, saved.snapshot_index)
        self._carry_out(node)

    def stop(self, address: str) -> None:
        """Kill the machine: the save being written is lost, or was just completed."""
        node = self.nodes[address]
        if node.writing is not None and self.random.random() < 0.3:
            node.disk.write(node.writing)
        node.machine, node.writing, node.incarnation = None, None, 0

    def wipe(self, address: str) -> None:
        """Stop a machine and empty its disk; it starts under a new id, unless `keeps_id`."""
        self.stop(address)
        node = self.nodes[address]
        old = node.disk.saved
        self.checker.wiped_ids.add(old.me)
        if self.keeps_id:
            node.disk = Disk(StoredState(old.me, members=dict(self.founders)))
        else:
            node.disk = Disk(StoredState(f"{address}#{self.random.randrange(1 << 32):08x}"))
        self.start(address)

    def add(self, address: str) -> None:
        """Add a node with an empty disk."""
        self._add_node(address, StoredState(f"{address}#{self.random.randrange(1 << 32):08x}"))

    def freeze(self, address: str, seconds: float) -> None:
        """The process does nothing for a while, and then finds all waiting messages at once."""
        node = self.nodes[address]
        node.frozen = self.now + seconds
        incarnation = node.incarnation

        def thaw() -> None:
            if node.machine is None or node.incarnation != incarnation or node.frozen > self.now:
                return
            waiting, node.waiting = node.waiting, []
            if self.random.random() < 0.5:
                self._tick(node, incarnation)
            for message in waiting:
                self._deliver(node.address, message)
            self._tick(node, incarnation)

        self._later(seconds, thaw)

    def _carry_out(self, node: Node) -> None:
        machine = node.machine
        assert machine is not None
        while machine.actions:
            actions, machine.actions = machine.actions, []
            for action in actions:
                self._perform(node, machine, action)
        if node.due < self.now or machine.wake_at + 1e-9 < node.due + node.offset:
            incarnation = node.incarnation
            wait = max(machine.wake_at - node.offset - self.now, 0.0) + 1e-6
            node.due = self.now + wait
            self._later(wait, lambda: self._tick(node, incarnation))

    def _tick(self, node: Node, incarnation: int) -> None:
        if node.incarnation != incarnation or node.machine is None or node.frozen > self.now:
            return
        node.due = -1.0
        node.machine.tick(self.now + node.offset)
        self._carry_out(node)

    def _perform(self, node: Node, machine: Machine, action: Any) -> None:
        if isinstance(action, Send):
            self.checker.check_send(node, action.message)
            self._post(node.address, action.to_address, json.dumps(action.message))
        elif isinstance(action, Save):
            if node.writing is not None:
                raise ViolationError("two saves at a time")
            node.writing = action
            if not node.hangs:
                self._write(node)
        elif isinstance(action, Apply):
            self.checker.check_apply(node, action.entry)
        elif isinstance(action, Restore):
            self.checker.check_restore(node, action.state, action.index)
        elif isinstance(action, RoleChange):
            if action.role == "leader":
                self.checker.check_leader(machine)
        elif isinstance(action, Answer):
            self._on_answer(action)

    def _write(self, node: Node) -> None:
        incarnation, save = node.incarnation, node.writing

        def on_written() -> None:
            if (
                node.incarnation != incarnation
                or node.machine is None
                or save is None
                or node.writing is not save
                or node.hangs
            ):
                return
            if node.frozen > self.now:
                self._later(node.frozen - self.now + 1e-4, on_written)
                return
            node.writing = None
            node.disk.write(save)
            node.machine.on_saved(self.now + node.offset, save.number)
            self._carry_out(node)

        self._later(0.001 + self.random.uniform(0, node.slow), on_written)

    def hang(self, address: str, hangs: bool) -> None:
        """The disk stops, and the machine learns of that; or it works again."""
        node = self.nodes[address]
        if node.hangs == hangs or node.machine is None:
            return
        node.hangs = hangs
        if hangs:
            node.machine.on_save_failed(self.now + node.offset)
            self._carry_out(node)
        elif node.writing is not None:
            self._write(node)

    def _post(self, sender: str, address: str, text: str) -> None:
        message_type = json.loads(text)["type"]
        self.sent_counts[message_type] = self.sent_counts.get(message_type, 0) + 1
        for _ in range(2 if self.random.random() < self.duplication else 1):
            if self.random.random() >= self.loss and (sender, address) not in self.cuts:
                wait = 0.0005 + self.random.uniform(0, self.jitter_s)
                self._later(wait, lambda: self._deliver(address, json.loads(text)))

    def _deliver(self, address: str, message: dict) -> None:
        node = self.nodes.get(address)
        if node is None or node.machine is None:
            return
        if node.frozen > self.now:
            node.waiting.append(message)
            return
        node.machine.receive(self.now + node.offset, message)
        self._carry_out(node)

    # ---- clients

    def _on_answer(self, answer: Answer) -> None:
        if answer.ticket in self.answers:
            raise ViolationError(f"{answer.ticket} answered twice")
        self.answers[answer.ticket] = answer
        checker = self.checker
        if answer.outcome == "committed":
            if checker.entries[answer.value].body != self.commands[answer.ticket]:
                raise ViolationError(f"{answer.ticket} answered committed for another's entry")
            checker.reported_index = max(checker.reported_index, answer.value)
        elif answer.outcome == "readable":
            if answer.value < self.tickets[answer.ticket]:
                raise ViolationError(
                    f"{answer.ticket} reads {answer.value}, {self.tickets[answer.ticket]} was reported before"
                )
            # what was read once must never be undone
            checker.reported_index = max(checker.reported_index, answer.value)

    def propose(self, address: str, command: dict) -> int | None:
        """Propose a command at one machine; returns the ticket."""
        return self._submit(address, command)

    def read(self, address: str) -> int | None:
        """Read at one machine; returns the ticket."""
        return self._submit(address, None)

    def _submit(self, address: str, command: dict | None) -> int | None:
        node = self.nodes[address]
        if node.machine is None or node.frozen > self.now:
            return None
        ticket = len(self.tickets)
        self.tickets[ticket] = self.checker.reported_index
        if command is None:
            node.machine.read(self.now + node.offset, ticket)
        else:
            self.commands[ticket] = command
            node.machine.propose(self.now + node.offset, command, ticket)
        self._carry_out(node)
        return ticket

    def compact(self, address: str) -> None:
        """The application compacts the log with its snapshot."""
        node = self.nodes[address]
        if node.machine is not None and node.applied:
            node.machine.compact(node.applied, {"digest": node.digest})
            self._carry_out(node)

    def leave(self, address: str) -> None:
        """The machine is asked to leave, as on SIGTERM."""
        node = self.nodes[address]
        if node.machine is not None:
            node.machine.leave(self.now + node.offset)
            self._carry_out(node)

    # ---- queries

    def leader(self) -> Node | None:
        """The leader of the highest term among the running machines."""
        leaders = [node for node in self.nodes.values() if node.machine and node.machine.role == "leader"]
        leaders = [node for node in leaders if node.frozen <= self.now]
        return max(leaders, key=lambda node: node.machine.term if node.machine else 0, default=None)

    def heal(self) -> None:
        """Repair all links and disks, and start all machines."""
        self.loss = self.duplication = 0.0
        self.jitter_s = 0.001
        self.cuts.clear()
        for node in self.nodes.values():
            node.slow = 0.0
            self.hang(node.address, False)
            if node.machine is None:
                self.start(node.address)

    def is_settled(self) -> bool:
        """Whether there is one leader whose members are all running, with the same entries applied everywhere."""
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

    def can_lose_a_disk(self) -> bool:
        """Whether a majority of the members remains if any one disk is lost."""
        leader = self.leader()
        return (
            self.is_settled()
            and leader is not None
            and leader.machine is not None
            and len(leader.machine.members) > 2
            and not any(node.machine and node.machine.leaving for node in self.nodes.values())
        )


def inject_faults(cluster: Cluster, steps: int, wipes: bool = True) -> None:
    """Inject random faults, about one every 0.1 s, with clients active all the time."""
    rng = cluster.random
    for step in range(steps):
        address = rng.choice(sorted(cluster.nodes))
        node = cluster.nodes[address]
        draw = rng.random()
        if draw < 0.06:
            cluster.stop(address)
        elif draw < 0.20:
            for one in cluster.nodes.values():
                if one.machine is None and rng.random() < 0.7:
                    cluster.start(one.address)
        elif draw < 0.26:
            other = rng.choice(sorted(cluster.nodes))
            cluster.cuts.add((address, other))
            if rng.random() < 0.5:
                cluster.cuts.add((other, address))
        elif draw < 0.36:
            cluster.cuts.clear()
        elif draw < 0.40:
            cluster.freeze(address, rng.choice((0.1, 0.5, 2.0)))
        elif draw < 0.45:
            node.slow = rng.choice((0.0, 0.01, 0.3))
        elif draw < 0.49:
            cluster.hang(address, not node.hangs)
        elif draw < 0.53:
            cluster.loss, cluster.duplication = rng.choice(((0.0, 0.0), (0.05, 0.05), (0.2, 0.1)))
            cluster.jitter_s = rng.choice((0.001, 0.02, 0.2))
        elif draw < 0.60:
            cluster.compact(address)
        elif draw < 0.62 and wipes and cluster.can_lose_a_disk():
            cluster.wipe(address)
        for _ in range(rng.choice((0, 1, 5))):
            cluster.propose(address, {"n": len(cluster.tickets)})
        leader = cluster.leader()
        if leader is not None:
            for _ in range(rng.choice((0, 1, 5))):
                cluster.propose(leader.address, {"n": len(cluster.tickets)})
            cluster.read(leader.address)
        cluster.read(address)
        cluster.run(rng.choice((0.002, 0.05, 0.3)))
