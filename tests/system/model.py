"""Exhaustive checks of two small bounded models: every reachable state, breadth first.

The state machines, grant managers and ledgers are the real ones. A world's state is a tuple of small values. What one
machine does next depends only on its own state and the event, so each such step is run once and its result is stored;
exploring a world means looking steps up. Two states count as equal if what their keys leave out can't tell them apart.

`Agreement`: Raft machines. A message stays on the wire forever once it is sent, so that loss, repetition and any order
are covered. Timers may fire at any time. A save is completed, or not, before a crash. Pre-vote rounds complete at once.

`Keys`: two conductors, two nodes, two slices, in steps of one second. A conductor that is not stepped is frozen, and
one that does not read the log lags. Calls arrive, are answered or given up in any order that the timeouts allow.
"""

import json
import pickle
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from typing import Any

from knotwalk.consensus.machine import Machine
from knotwalk.consensus.raft_types import Apply, RaftSettings, RoleChange, Save, Send, StoredState
from knotwalk.discovery.view_types import Node
from knotwalk.leases.actions import CLOCK_SLOWDOWN, REFUSED, Grant, GrantTiming, Propose, Release
from knotwalk.leases.conductor_leases import LEASE_S, ConductorLeases, reassign
from knotwalk.leases.grant_manager import GrantManager
from knotwalk.leases.ledger import Ledger, Slice
from knotwalk.leases.slice_lease import Holder
from tests.system.cluster import Disk

Step = tuple[str, Any, list[str]]  # description, resulting state, violations


@dataclass
class Exploration:
    """The result of an exploration: `trace` is the path to the first state with a violation."""

    states: int = 0
    depth: int = 0
    is_complete: bool = False  # no unexplored state is left within the world's bounds
    violations: list[str] = field(default_factory=list)
    trace: list[str] = field(default_factory=list)


def explore(
    start: Any, follow: Callable[[Any], Iterator[Step]], depth: int, max_states: int = 10_000_000
) -> Exploration:
    """Explore all states within `depth` steps of `start`, until one has a violation or there are `max_states`."""
    predecessors: dict[Any, tuple[Any, str] | None] = {start: None}
    frontier, found = [start], Exploration(1)
    while frontier and found.depth < depth:
        found.depth += 1
        following = []
        for state in frontier:
            for done, after, violations in follow(state):
                if after in predecessors and not violations:
                    continue
                if violations:
                    found.violations, found.trace, found.states = violations, [done], len(predecessors)
                    step = predecessors[state]
                    while step is not None:
                        found.trace.insert(0, step[1])
                        step = predecessors[step[0]]
                    return found
                predecessors[after] = (state, done)
                following.append(after)
            if len(predecessors) >= max_states:
                found.states = len(predecessors)
                return found
        frontier = following
    found.states, found.is_complete = len(predecessors), not frontier
    return found


def walk(world: Any, seed: int, steps: int) -> Any:
    """The state after a number of random steps; AssertionError if one causes a violation."""
    state, rng = world.start, random.Random(seed)
    for _ in range(steps):
        following = list(world.follow(state))
        if not following:
            break
        done, state, violations = rng.choice(following)
        assert not violations, (seed, done, violations)
    return state


class ConstantRandom:
    """A random number generator without randomness: the exploration decides when timers fire."""

    def uniform(self, low: float, _high: float) -> float:
        return low

    def random(self) -> float:
        return 0.0


def _hold(action: Grant | Release) -> float:
    """The duration of a grant's hold in seconds; 0 for a release."""
    return action.hold if isinstance(action, Grant) else 0.0


class StateStore:
    """States of single machines, each stored once, and the steps between them."""

    def __init__(self) -> None:
        self.ids: dict[str, int] = {}
        self.pickles: list[bytes] = []
        self.facts: list[Any] = []
        self.steps: dict[tuple, tuple] = {}

    def put(self, key: str, one: Any, facts: Any) -> int:
        """The number of a state; `facts` are what the exploration needs to know about it."""
        number = self.ids.setdefault(key, len(self.pickles))
        if number == len(self.pickles):
            self.pickles.append(pickle.dumps(one, -1))
            self.facts.append(facts)
        return number

    def get(self, number: int) -> Any:
        """A copy of a state, to be modified."""
        return pickle.loads(self.pickles[number])


# ---- Raft

# No lease ends by itself, and nobody waits for a leader heard recently: the safety of the log must not depend on time.
WALK = RaftSettings(
    heartbeat_interval=1000.0,
    election_timeout_min=1e5,
    election_timeout_max=1e5,
    vote_retry_min=1.0,
    vote_retry_max=1.0,
    join_interval=0.0,
    removal_timeout=1e6,
)
TIMERS = {
    "random",
    "wake_at",
    "contacts",
    "settings",
    "_last_call_at",
    "_leader_heard_at",
    "_sticky_since",
    "_leaderless_since",
    "_election_deadline",
    "_request_at",
    "_election_rounds",
    "_elected_at",
    "_heartbeat_at",
    "_handed_over_at",
    "_save_number",
    "_saved_number",
    "_pending_save",
    "_held_messages",
    "log",
    "actions",
    "_votes",
    "_leader_hint",
}
EPOCH = 0.001  # time advances only when a disk is wiped, to tell answers before it from answers after it


@dataclass
class Place:
    """A machine, its disk, and the save being written."""

    disk: Disk
    machine: Machine
    writing: Save | None = None


@dataclass
class Agreement:
    """`count` machines from their first start. `machine_class` may have a defect; with `keeps_id` a machine whose disk
    was wiped keeps voting.
    """

    count: int = 3
    machine_class: type[Machine] = Machine
    keeps_id: bool = False
    terms: int = 2
    commands: int = 1
    crashes: int = 1
    wipes: int = 0
    beats: bool = True
    max_candidates: int = 2  # how many machines may stand for election
    newcomers: int = 0  # machines with empty disks at new addresses
    leaves: int = 0  # how many are asked to leave; they come back if they crash
    target_members: int = 3  # target number of members

    def __post_init__(self) -> None:
        self.states = StateStore()
        self.wire: dict[str, int] = {}
        self.messages: list[tuple[int, dict]] = []
        founders = {f"m{one}#founder": f"m{one}" for one in range(self.count)}
        self.founders = founders
        self.total = self.count + self.newcomers
        self.numbers_by_address = {f"m{one}": one for one in range(self.total)}
        disks = [Disk(StoredState(id, members=dict(founders))) for id in founders]
        disks += [Disk(StoredState(f"m{one}#new")) for one in range(self.count, self.total)]
        places = [self._store(self._start(disk, address, 0.0)) for disk, address in zip(disks, self.numbers_by_address)]
        #              machines         wire  committed  leaders  commands, crashes, wipes, leaves
        self.start = (tuple(places), 0, (), (), 0, 0, 0, 0)

    def _start(self, disk: Disk, address: str, now: float) -> Place:
        machine = self.machine_class(disk.read(), replace(WALK, target_members=self.target_members), 0, now)
        machine.random, machine.address = ConstantRandom(), address  # type: ignore[assignment]
        machine.contacts = sorted(self.numbers_by_address)
        return Place(disk, machine)

    def _store(self, place: Place) -> int:
        machine, done = place.machine, place.machine._saved_number
        flight = machine._pending_save and (
            machine._pending_save.number - done,
            machine._pending_save.last_index,
            machine._pending_save.term,
            machine._pending_save.vote,
        )
        save = place.writing and (
            place.writing.term,
            place.writing.vote,
            place.writing.entries,
            place.writing.cut_from,
            place.writing.snapshot,
        )
        held = list(
            {repr((one[0] - done, *one[1:])): None for one in machine._held_messages}
        )  # a message sent twice is on the wire once
        key = repr(
            (
                [one for one in sorted(vars(machine).items()) if one[0] not in TIMERS],
                machine.log.base,
                machine.log.base_term,
                machine.log.entries,
                machine._save_number - done,
                flight,
                held,
                sorted(machine._votes),
                place.disk.saved,
                save,
            )
        )
        return self.states.put(
            key, place, (machine.role, machine.term, place.writing is not None, machine.commit, machine.me)
        )

    def step(self, number: int, event: tuple, now: float) -> tuple[int, tuple[int, ...], tuple]:
        """Apply one event to one machine: its new state, the messages it sends, and its reports about log and
        leadership.
        """
        asked = (number, event, now)
        known = self.states.steps.get(asked)
        if known is None:
            known = self.states.steps[asked] = self._step(self.states.get(number), event, now)
        return known  # type: ignore[return-value]

    def _step(self, place: Place, event: tuple, now: float) -> tuple[int, tuple[int, ...], tuple]:
        machine = place.machine
        machine._sticky_since, machine._request_at, machine._heartbeat_at, machine._election_deadline = (
            -1e9,
            1e9,
            1e9,
            now + 1.0,
        )
        match event:
            case ("receive", which):
                machine.receive(now, json.loads(json.dumps(self.messages[which][1])))
            case ("stand",):
                machine._election_deadline = now
                machine.tick(now)
            case ("beat",):
                machine._heartbeat_at = now
                machine.tick(now)
            case ("ask",):
                machine._request_at = now
                machine.tick(now)
            case ("leave",):
                machine.leave(now)
            case ("propose", n):
                machine.propose(now, {"n": n}, n)
            case ("kept",):
                save, place.writing = place.writing, None
                assert save is not None
                place.disk.write(save)
                machine.on_saved(now, save.number)
            case ("crash", made):
                if made and place.writing is not None:
                    place.disk.write(place.writing)
                place = self._start(place.disk, machine.address, now)
            case ("wipe", life):
                saved = (
                    StoredState(machine.me, members=dict(self.founders))
                    if self.keeps_id
                    else StoredState(f"{machine.address}#{life}")
                )
                place = self._start(Disk(saved), machine.address, now)
        machine, sent, reports = place.machine, [], []
        while machine.actions:
            actions, machine.actions = machine.actions, []
            for action in actions:
                if isinstance(action, Send):
                    if action.to_address in self.numbers_by_address:
                        sent.append(self._intern_message(action))
                elif isinstance(action, Save):
                    assert place.writing is None
                    place.writing = action
                elif isinstance(action, Apply):
                    one = action.entry
                    reports.append(("apply", one.index, (one.term, one.kind, json.dumps(one.body)), machine.term))
                elif isinstance(action, RoleChange) and action.role == "leader":
                    log = tuple((one.term, one.kind, json.dumps(one.body)) for one in machine.log.entries)
                    reports.append(("lead", machine.term, machine.me, log))
        return self._store(place), tuple(sent), tuple(reports)

    def _intern_message(self, action: Send) -> int:
        text = json.dumps([action.to_address, action.message], sort_keys=True)
        number = self.wire.setdefault(text, len(self.messages))
        if number == len(self.messages):
            self.messages.append((self.numbers_by_address[action.to_address], action.message))
        return number

    def _after(self, state: tuple, changes: list[tuple[int, tuple]], done: str, counts: tuple[int, ...]) -> Step:
        """The world after some machines took steps; what they report is compared with what others did."""
        places, wire, committed, leaders = list(state[0]), *state[1:4]
        violations = []
        for place, (number, sent, reports) in changes:
            places[place] = number
            for one in sent:
                if self.messages[one][1]["type"] not in ("prevote", "prevoted", "redirect"):
                    wire |= 1 << one
            for report in reports:
                if report[0] == "apply":
                    _, index, entry, term = report
                    if index > len(committed) + 1:
                        violations.append(f"entry {index} is applied before {len(committed) + 1}")
                    elif index == len(committed) + 1:
                        committed += ((entry, term),)
                    elif committed[index - 1][0] != entry:
                        violations.append(f"entry {index} is {entry}, was committed as {committed[index - 1][0]}")
                else:
                    _, term, id, log = report
                    if any(t == term and other != id for t, other in leaders):
                        violations.append(f"two leaders in term {term}")
                    for index, (entry, by) in enumerate(committed):
                        if by < term and (index >= len(log) or log[index] != entry):
                            violations.append(f"{id} leads term {term} without entry {index + 1}, which was committed")
                    leaders = tuple(sorted({*leaders, (term, id)}))
        return done, (tuple(places), wire, committed, leaders, *counts), violations

    def follow(self, state: tuple) -> Iterator[Step]:
        """Every step that may happen next."""
        places, wire, _, _, commands, crashes, wipes, leaves = state
        now, counts, facts = wipes * EPOCH, state[4:], self.states.facts
        first = state == self.start
        for place, number in enumerate(places):
            role, term, writing, _, me = facts[number]
            if role in ("follower", "candidate") and term < self.terms and place < self.max_candidates:
                for other in range(self.total):
                    # the machines are equal at the start
                    if other != place and not (first and (place, other) != (0, 1)):
                        step = self._stand(places, place, other, now)
                        if step is not None:
                            yield self._after(state, step, f"{me} stands, heard by m{other}", counts)
            if first:
                continue
            if writing:
                yield self._after(state, [(place, self.step(number, ("kept",), now))], f"{me} keeps its save", counts)
            if role == "leader":
                if self.beats:
                    yield self._after(state, [(place, self.step(number, ("beat",), now))], f"{me} beats", counts)
                if commands < self.commands:
                    yield self._after(
                        state,
                        [(place, self.step(number, ("propose", commands), now))],
                        f"{me} takes command {commands}",
                        (commands + 1, crashes, wipes, leaves),
                    )
            if leaves < self.leaves and role in ("leader", "follower"):
                yield self._after(
                    state,
                    [(place, self.step(number, ("leave",), now))],
                    f"{me} is to leave",
                    (commands, crashes, wipes, leaves + 1),
                )
            if role == "outsider":
                yield self._after(state, [(place, self.step(number, ("ask",), now))], f"{me} asks to join", counts)
            if crashes < self.crashes:
                for made in (False, True)[: 1 + writing]:
                    yield self._after(
                        state,
                        [(place, self.step(number, ("crash", made), now))],
                        f"{me} crashes{', its save made it' if made else ''}, and starts",
                        (commands, crashes + 1, wipes, leaves),
                    )
            if wipes < self.wipes:
                yield self._after(
                    state,
                    [(place, self.step(number, ("wipe", wipes + 1), now + EPOCH))],
                    f"{me} loses its disk, and starts",
                    (commands, crashes, wipes + 1, leaves),
                )
        left = wire
        while left:
            low = left & -left
            left ^= low
            which = low.bit_length() - 1
            place, message = self.messages[which]
            step = self.step(places[place], ("receive", which), now)
            if step[0] != places[place] or step[1] or step[2]:
                yield self._after(state, [(place, step)], f"m{place} gets {json.dumps(message)}", counts)

    def _stand(self, places: tuple, place: int, other: int, now: float) -> list[tuple[int, tuple]] | None:
        """A pre-vote that one other machine answers at once; None if that machine refuses."""
        number, asked, reports = self.step(places[place], ("stand",), now)
        if not asked and number != places[place] and other == (place + 1) % self.total:
            return [(place, (number, asked, reports))]  # there is no other member
        for which in asked:
            if self.messages[which][0] == other and self.messages[which][1]["type"] == "prevote":
                heard = self.step(places[other], ("receive", which), now)
                for answer in heard[1]:
                    if self.messages[answer][1].get("granted"):
                        begun = self.step(number, ("receive", answer), now)
                        return [(place, (number, (), reports)), (other, (heard[0], (), heard[2])), (place, begun)]
        return None


# ---- leases of keys

# The slack lies between the steps: at the moment when it ends, a call must not both arrive and count as unable to.
KEYS = GrantTiming(hold=2.0, renew_interval=1.0, call_timeout=1.0, delivery_slack=1.5, release_timeout=1.0)
NODES = {name: Node(name, "s", ("10.0.0.1", port), "z", 2) for port, name in enumerate(("n", "m"))}
SLOWEST = 0.98  # rate of a node's clock


@dataclass
class ConductorState:
    """A conductor: its grant manager, the ledger as far as it has read the log, and its calls without a result."""

    manager: GrantManager
    ledger: Ledger
    read: int  # log entries read
    base: int = 0  # entries that a defective conductor does not count
    calls: dict[int, Grant | Release] = field(default_factory=dict)


def _shift(time: float, now: float) -> float:
    return max(round(time - now, 4), -9.0)


@dataclass
class Keys:
    """Conductors `a` and `b`, nodes `n` and `m`; at the start `a` leases both slices and `n` owns them.

    Bounds: seconds, log entries, moves by placement, starts, changes of leader.
    """

    manager_class: type[GrantManager] = GrantManager
    counts_anew: bool = False  # defect: a conductor's ledger counts entries from its own start
    grants_early: bool = False  # defect: a move takes effect when it is proposed
    seconds: int = 6
    entries: int = 8
    moves: int = 1
    starts: int = 1
    leaders: int = 0
    asks: str = "ab"  # conductors that renew their lease after the start
    reassigns: int = 1
    swift: bool = False  # calls take less than a second and none is lost, for a deeper exploration
    refuses: bool = False  # calls may be refused although the node is running

    def __post_init__(self) -> None:
        self.states = StateStore()
        self.ledgers: dict[tuple, Ledger] = {}
        everything = {"s": [[0, 1]]}
        log = tuple(
            json.dumps(one)
            for one in (
                {"do": "shard"},
                {"do": "lease", "to": "a", "slices": everything},
                {"do": "move", "by": "a", "moves": [["s", 0, 1, 0, "n"]]},
                {"do": "granted", "by": "a", "fence": 3, "slices": everything},
            )
        )
        # Both conductors were away for long, and all grants have ended; now both have a lease again.
        nodes = ((0.0, 3), (0.0, 3)), ((0.0, 0), (0.0, 0))
        lease_table = ConductorLeases(-9.0)
        for name in "ab":
            lease_table.renew(0.0, name)
        begun = [self._start_conductor(name, log, -9.0, 0.0)[0] for name in "ab"]
        asked = [self.step(number, ("leased", 0.0, LEASE_S, len(log))) for number in begun]
        self.start = (
            0.0,
            log,
            tuple(one[0] for one in asked),
            nodes,
            asked[0][1] + asked[1][1],
            frozenset(),
            (-9.0, tuple(sorted(lease_table.ends_at.items()))),
            (3, 3),
            0,
            0,
            0,
            0,
        )

    # -- one conductor

    def _ledger(self, log: tuple[str, ...]) -> Ledger:
        ledger = Ledger()
        ledger.slices["s"] = [Slice(), Slice()]  # two instead of 2,048
        for index, text in enumerate(log, 1):
            ledger.apply(index, json.loads(text))
        return ledger

    def _start_conductor(self, name: str, log: tuple[str, ...], born: float, now: float) -> tuple:
        manager = self.manager_class(name, KEYS, 0, born)
        manager._random = ConstantRandom()  # type: ignore[assignment]
        manager.on_nodes_listed(born, NODES)
        conductor = ConductorState(manager, self._ledger(log), len(log))
        if self.counts_anew and born == now:
            conductor.base, conductor.ledger.index = len(log), 0
        manager.on_ledger(born, conductor.ledger)
        return self._finish_step(conductor, now)

    def step(self, number: int, event: tuple) -> tuple:
        """Apply one event to one conductor: its new state, its calls and its proposals."""
        asked = (number, event)
        known = self.states.steps.get(asked)
        if known is None:
            known = self.states.steps[asked] = self._step(self.states.get(number), event)
        return known

    def _step(self, conductor: ConductorState, event: tuple) -> tuple:
        manager, now = conductor.manager, event[1]
        match event:
            case ("start", _, log):
                return self._start_conductor(manager.me, log, now, now)
            case ("read", _, entries):
                for text in entries:
                    conductor.read += 1
                    conductor.ledger.apply(conductor.read - conductor.base, json.loads(text))
                    manager.on_ledger(now, conductor.ledger, conductor.ledger.changed)
            case ("early", _, text):
                conductor.ledger.apply(conductor.read + 1, json.loads(text))
                manager.on_ledger(now, conductor.ledger, conductor.ledger.changed)
            case ("leased", _, until, index):
                manager.on_lease_proven(now, until, index - conductor.base)
            case ("answered", _, call, status):
                action = conductor.calls.pop(call)
                manager.on_call_ended(
                    now, action, status, "h" if status == 200 and isinstance(action, Release) else None
                )
        return self._finish_step(conductor, now)

    def _finish_step(self, conductor: ConductorState, now: float) -> tuple:
        manager = conductor.manager
        manager.tick(now)
        actions, manager.actions = manager.actions, []
        calls, proposals = [], []
        for action in actions:
            if isinstance(action, Propose):
                proposals.append(json.dumps(action.command))
                continue
            number = next(call_number for call_number in range(99) if call_number not in conductor.calls)
            conductor.calls[number] = action
            kind = type(action).__name__
            calls.append((now, manager.me, number, kind, action.node, action.slices, action.fence, None, _hold(action)))
        wake = manager.wake_at
        slices = tuple((x.conductor == manager.me, x.owner, x.fence) for x in conductor.ledger.slices["s"])
        key = repr(
            (
                self._key(manager, now),
                conductor.read,
                conductor.base,
                conductor.ledger.slices,
                [
                    (call_number, type(call).__name__, call.node, call.slices, call.fence, _hold(call))
                    for call_number, call in sorted(conductor.calls.items())
                ],
                now,
            )
        )
        return (
            self.states.put(key, conductor, (manager.me, wake, conductor.read, slices)),
            tuple(calls),
            tuple(proposals),
        )

    @staticmethod
    def _key(manager: GrantManager, now: float) -> list:
        def holder_key(holder: Holder) -> tuple:
            return (
                _shift(holder.held_until, now),
                _shift(holder.deliverable_until, now),
                holder.grants_in_flight,
                holder.is_releasing,
                holder.has_accepted,
                holder.last_outcome.value,
                _shift(holder.next_release_at, now),
                min(holder.release_tries, 2),
            )

        rows = [
            _shift(manager.lease_until, now),
            _shift(manager._started_at, now),
            manager._ledger_index,
            manager._pending_proofs,
            manager._changed,
        ]
        for key, slice_lease in sorted(manager.slice_leases.items()):
            rows.append(
                (
                    key,
                    slice_lease.lease_index,
                    slice_lease.owner,
                    slice_lease.fence,
                    slice_lease.state.value,
                    slice_lease.former_holders,
                    slice_lease.handover,
                    slice_lease.handover_rank,
                    _shift(slice_lease.proposed_at, now),
                    _shift(slice_lease.granted_at, now),
                    _shift(slice_lease.due_at, now),
                    min(slice_lease.tries, 2),
                    _shift(slice_lease.wake_at, now),
                    sorted((id, holder_key(holder)) for id, holder in slice_lease.holders.items()),
                )
            )
        return [
            manager.me,
            rows,
            sorted((_shift(at, now), service, number) for at, service, number in manager._wake_heap),
        ]

    # -- the world

    def follow(self, state: tuple) -> Iterator[Step]:
        """Every step that may happen next."""
        now, log, conductors, nodes, calls, proposals, lease_table, tops, moves, starts, leaders, leases = state
        facts = self.states.facts

        def after(done: str, violations: tuple = (), **new: Any) -> Step:
            names = (
                "now",
                "log",
                "conductors",
                "nodes",
                "calls",
                "proposals",
                "lease_table",
                "tops",
                "moves",
                "starts",
                "leaders",
                "leases",
            )
            return done, tuple(new.get(name, old) for name, old in zip(names, state)), list(violations)

        def stepped(which: int, event: tuple, done: str, **new: Any) -> Step:
            number, sent, proposed = self.step(conductors[which], event)
            return after(
                done,
                conductors=conductors[:which] + (number,) + conductors[which + 1 :],
                calls=tuple(sorted(new.pop("calls", calls) + sent, key=repr)),
                proposals=new.pop("proposals", proposals) | frozenset(proposed),
                **new,
            )

        if now < self.seconds and not (self.swift and calls):
            later = now + 1.0
            left = tuple(one for one in calls if one[2] >= 0 or one[0] + KEYS.max_delivery >= later)
            ends = tuple((name, max(end, later)) for name, end in lease_table[1])  # a lease that has ended stays ended
            yield after(
                f"it is {later:.0f} s",
                now=later,
                calls=left,
                lease_table=(lease_table[0], ends),
                nodes=tuple(tuple((until if until > later else 0.0, fence) for until, fence in row) for row in nodes),
            )
        for which, number in enumerate(conductors):
            name, wake, read_count, slices = facts[number]
            if wake <= now:
                yield stepped(which, ("tick", now), f"{name} wakes")
            if read_count < len(log):
                yield stepped(which, ("read", now, log[read_count:]), f"{name} reads to {len(log)}")
            if name in self.asks and dict(lease_table[1]).get(name, 0.0) < now + LEASE_S:
                table = ConductorLeases(lease_table[0], dict(lease_table[1]))
                given = table.renew(now, name)
                yield stepped(
                    which,
                    ("leased", now, now + given, len(log)),
                    f"{name} renews its lease",
                    lease_table=(lease_table[0], tuple(sorted(table.ends_at.items()))),
                )
            if starts < self.starts:
                lost = tuple((*one[:2], -1, *one[3:]) if one[1] == name else one for one in calls)
                yield stepped(
                    which,
                    ("start", now, log[:read_count]),
                    f"{name} starts anew",
                    calls=tuple(one for one in lost if one[2] >= 0 or one[7] is None),
                    starts=starts + 1,
                )
            if moves < self.moves and len(log) < self.entries:
                for index, (mine, owner, fence) in enumerate(slices):
                    if mine:
                        target = "m" if owner == "n" else "n"
                        text = json.dumps({"do": "move", "by": name, "moves": [["s", index, index, fence, target]]})
                        if self.grants_early:
                            yield stepped(
                                which,
                                ("early", now, text),
                                f"{name} would move {index} to {target}",
                                proposals=proposals | {text},
                                moves=moves + 1,
                            )
                        else:
                            yield after(f"{name} moves {index} to {target}", log=log + (text,), moves=moves + 1)
        if len(log) < self.entries:
            for text in sorted(proposals):
                yield after(f"{text} is committed", log=log + (text,), proposals=proposals - {text})
            if leases < self.reassigns:
                yield from self._reassign(state, after)
        if leaders < self.leaders:
            yield after("another leads", lease_table=(now, ()), leaders=leaders + 1)
        for call in calls:
            yield from self._call_steps(state, call, after, stepped)

    def _call_steps(
        self, state: tuple, call: tuple, after: Callable[..., Step], stepped: Callable[..., Step]
    ) -> Iterator[Step]:
        """The possible results of a call: it arrives, is answered, is refused, or is given up."""
        now, calls = state[0], state[4]
        sent, name, number, kind, node, slices, fence, status, _ = call
        which, rest = "ab".index(name), tuple(one for one in calls if one is not call)
        what = f"{kind} {fence} of {slices} from {name} at {node}"
        if status is None and now <= sent + KEYS.max_delivery:
            yield self._arrive(state, call, rest, what, after)
        if number < 0:
            return
        if status is not None:
            yield stepped(which, ("answered", now, number, status), f"{what} is answered {status}", calls=rest)
        if self.refuses and status is None and now == sent:
            yield stepped(which, ("answered", now, number, REFUSED), f"{what} is refused", calls=rest)
        if not self.swift and now >= sent + KEYS.call_timeout:
            late = ((*call[:2], -1, *call[3:]),) if status is None and now <= sent + KEYS.max_delivery else ()
            yield stepped(which, ("answered", now, number, None), f"{what} is given up", calls=rest + late)

    def _arrive(self, state: tuple, call: tuple, rest: tuple, what: str, after: Callable[..., Step]) -> Step:
        now, nodes, tops = state[0], [list(row) for row in state[3]], list(state[7])
        _, _, number, kind, node, slices, fence, _, hold = call
        row, other = nodes["nm".index(node)], nodes["mn".index(node)]
        violations, status = [], 200
        if kind == "Grant" and any(row[index][1] > fence for index in slices):
            status = 409
        else:
            for index in slices:
                if kind == "Release":
                    row[index] = (0.0, row[index][1])
                    continue
                if other[index][0] > now:
                    violations.append(
                        f"{node} gets {index} under {fence}, which the other holds until {other[index][0]:.2f}"
                    )
                if fence < tops[index]:
                    violations.append(f"{node} gets {index} under {fence} after {tops[index]}")
                row[index], tops[index] = (now + hold / SLOWEST, fence), max(tops[index], fence)
        back = ((*call[:7], status, hold),) if number >= 0 else ()
        return after(
            f"{what} arrives",
            tuple(violations),
            nodes=tuple(tuple(one) for one in nodes),
            tops=tuple(tops),
            calls=tuple(sorted(rest + back, key=repr)),
        )

    def _reassign(self, state: tuple, after: Callable[..., Step]) -> Iterator[Step]:
        """The leader assigns the slices of conductors whose lease has ended to others."""
        now, log, lease_table = state[0], state[1], state[6]
        ledger = self.ledgers.get(log)
        if ledger is None:
            ledger = self.ledgers[log] = self._ledger(log)
        leased = [x.conductor for x in ledger.slices["s"]]
        for to, runs in reassign(ConductorLeases(lease_table[0], dict(lease_table[1])), now, leased).items():
            text = json.dumps({"do": "lease", "from": leased[runs[0][0]], "to": to, "slices": {"s": runs}})
            yield after(f"{text} is committed", log=log + (text,), leases=state[11] + 1)


# ---- worlds to explore, and defects that an exploration must find


def worlds(thorough: bool = False) -> dict[str, tuple[Agreement | Keys, int, int]]:
    """Worlds by name, each with its depth in steps and the maximum number of states; `thorough` takes some minutes."""
    max_states = 600_000 if thorough else 10_000_000
    return {
        "elections": (
            Agreement(terms=1, commands=0, max_candidates=3 if thorough else 2, beats=False),
            99 if thorough else 13,
            max_states,
        ),
        "entries": (Agreement(), 13 if thorough else 10, max_states),
        "wiped disks": (
            Agreement(crashes=0, wipes=1, commands=0, max_candidates=2 if thorough else 1),
            99 if thorough else 13,
            max_states,
        ),
        "newcomers": (Agreement(count=1, newcomers=1, terms=1, commands=0), 99 if thorough else 18, max_states),
        "leavers": (
            Agreement(count=2, target_members=1, leaves=1, terms=1, commands=0),
            99 if thorough else 19,
            max_states,
        ),
        "calls": (Keys(), 10 if thorough else 7, max_states),
        "refusals": (
            Keys(swift=True, refuses=True, asks="a", starts=0, reassigns=0),
            99 if thorough else 12,
            max_states,
        ),
        "leases": (Keys(swift=True, leaders=1, moves=1), 99 if thorough else 10, max_states),
    }


class VotesEarly(Machine):
    """Defect: sends a vote before it is stored."""

    def _send_after_save(self, address: str, type: str, to: str, /, **rest: Any) -> None:
        self._send(address, type, to, **rest)


class FromSending(GrantManager):
    """Defect: counts a hold from the sending of the grant, and not from its latest arrival."""

    def tick(self, now: float) -> None:
        super().tick(now)
        self.sent = getattr(self, "sent", {}) | {x: now for x in self.actions if isinstance(x, Grant)}

    def _on_grant_ended(self, now: float, x: Any, holder: Holder, action: Grant, status: Any, *more: float) -> None:
        until = holder.held_until
        super()._on_grant_ended(now, x, holder, action, status, *more)
        if holder.held_until > until:
            holder.held_until = max(until, self.sent[action] + action.hold * CLOCK_SLOWDOWN)


class TrustsPredecessor(GrantManager):
    """Defect: a conductor that takes a slice over ignores earlier grants."""

    def _take_over(self, now: float, key: tuple[str, int], x: Slice) -> Any:
        slice_lease = super()._take_over(now, key, x)
        for holder in slice_lease.holders.values():
            holder.held_until = holder.deliverable_until = now
        return slice_lease


class ClearsRefused(GrantManager):
    """Defect: takes a refused connection for the end of the node (incident inc1)."""

    def on_call_ended(self, now: float, action: Any, status: Any, handover: str | None = None) -> None:
        super().on_call_ended(now, action, status, handover)
        for slice_lease in self.slice_leases.values() if status == REFUSED else ():
            if action.node in slice_lease.holders:
                slice_lease.holders[action.node].held_until = now


def mistakes() -> dict[str, tuple[Agreement | Keys, int, str]]:
    """Worlds with a defect by name, each with the depth within which it shows, and the violation that it causes."""
    one = {"terms": 1, "commands": 0, "beats": False}
    return {
        "votes before the disk holds it": (Agreement(machine_class=VotesEarly, **one), 9, "two leaders"),  # type: ignore
        "a wiped disk votes": (Agreement(keeps_id=True, crashes=0, wipes=1, **one), 11, "two leaders"),  # type: ignore
        "grants before the move is committed": (
            Keys(grants_early=True, swift=True, asks="b", starts=0, seconds=4),
            14,
            "after 5",
        ),
        "a fence is used again after a start": (
            Keys(counts_anew=True, swift=True, asks="a", reassigns=0),
            14,
            "after 3",
        ),
        "a hold counted from the sending": (
            Keys(manager_class=FromSending, asks="a", starts=0, reassigns=0),
            9,
            "which the other holds",
        ),
        "takes a refused connection for an end": (
            Keys(manager_class=ClearsRefused, refuses=True, swift=True, asks="a", starts=0, reassigns=0),
            14,
            "which the other holds",
        ),
        "takes over without waiting": (Keys(manager_class=TrustsPredecessor, reassigns=0), 7, "which the other holds"),
    }
