"""Small models checked whole: every state that two bounded worlds can come to, breadth first.

The machines, keepers and ledgers are the real ones, not a second text. A world's state is a tuple of small values; what
one machine does next depends on its own state and the event alone, so each such step is run once and remembered, and
walking a world is looking steps up. Two states are one where what is left out of their keys cannot tell them apart.

`Agreement`: machines whose messages stay on the wire for ever once sent, so that loss, repetition and any order are
all in; a timer fires whenever the walk likes; a save is kept, or not, before a crash. Pre-vote rounds go at once.
`Keys`: two conductors, two nodes, two slices; steps of one second; a conductor that is not stepped is frozen, one that
does not read lags; calls arrive, are answered or given up in any order that the time-outs allow.
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

Step = tuple[str, Any, list[str]]  # what was done, the state after, what is broken by it


@dataclass
class Found:
    """What a walk found: `trace` is the way to the first broken state."""

    states: int = 0
    depth: int = 0
    whole: bool = False  # no state is left within the world's bounds
    broken: list[str] = field(default_factory=list)
    trace: list[str] = field(default_factory=list)


def explore(start: Any, follow: Callable[[Any], Iterator[Step]], depth: int, most: int = 10_000_000) -> Found:
    """All states within `depth` steps of `start`, or until one is broken or there are `most`."""
    came: dict[Any, tuple[Any, str] | None] = {start: None}
    edge, found = [start], Found(1)
    while edge and found.depth < depth:
        found.depth += 1
        following = []
        for state in edge:
            for done, after, broken in follow(state):
                if after in came and not broken:
                    continue
                if broken:
                    found.broken, found.trace, found.states = broken, [done], len(came)
                    back = came[state]
                    while back is not None:
                        found.trace.insert(0, back[1])
                        back = came[back[0]]
                    return found
                came[after] = (state, done)
                following.append(after)
            if len(came) >= most:
                found.states = len(came)
                return found
        edge = following
    found.states, found.whole = len(came), not edge
    return found


def walk(world: Any, seed: int, steps: int) -> Any:
    """The state after so many steps by chance; AssertionError where one breaks something."""
    state, chance = world.start, random.Random(seed)
    for _ in range(steps):
        following = list(world.follow(state))
        if not following:
            break
        done, state, broken = chance.choice(following)
        assert not broken, (seed, done, broken)
    return state


class Still:
    """Chance that has none: timers are the walk's."""

    def uniform(self, low: float, _high: float) -> float:
        return low

    def random(self) -> float:
        return 0.0


def _hold(order: Grant | Release) -> float:
    """Seconds of a grant's hold; 0 for a release."""
    return order.hold if isinstance(order, Grant) else 0.0


class Locals:
    """States of single machines, each kept once, and the steps between them."""

    def __init__(self) -> None:
        self.ids: dict[str, int] = {}
        self.kept: list[bytes] = []
        self.facts: list[Any] = []
        self.steps: dict[tuple, tuple] = {}

    def put(self, key: str, one: Any, facts: Any) -> int:
        """The number of a state; `facts` are what the walk asks of it."""
        number = self.ids.setdefault(key, len(self.kept))
        if number == len(self.kept):
            self.kept.append(pickle.dumps(one, -1))
            self.facts.append(facts)
        return number

    def get(self, number: int) -> Any:
        """A copy of a state, to be changed."""
        return pickle.loads(self.kept[number])


# ---- agreement

# No lease ends by itself and nobody is sticky: safety of the log must not rest on time.
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
EPOCH = 0.001  # time moves only when a disk is wiped: what was answered before is told from what was after


@dataclass
class Place:
    """A machine, its disk, and the save under way."""

    disk: Disk
    machine: Machine
    writing: Save | None = None


@dataclass
class Agreement:
    """`count` machines from their first start; `kind` may be a mistaken one, `keeps_id` a wiped disk that votes on."""

    count: int = 3
    kind: type[Machine] = Machine
    keeps_id: bool = False
    terms: int = 2
    commands: int = 1
    crashes: int = 1
    wipes: int = 0
    beats: bool = True
    stood: int = 2  # how many machines ever stand for election
    newcomers: int = 0  # machines with empty disks at addresses of their own
    leaves: int = 0  # how many get a SIGTERM, and come back if they crash
    target_members: int = 3  # members wanted

    def __post_init__(self) -> None:
        self.local = Locals()
        self.wire: dict[str, int] = {}
        self.messages: list[tuple[int, dict]] = []
        founders = {f"m{one}#founder": f"m{one}" for one in range(self.count)}
        self.founders = founders
        self.total = self.count + self.newcomers
        self.homes = {f"m{one}": one for one in range(self.total)}
        disks = [Disk(StoredState(id, members=dict(founders))) for id in founders]
        disks += [Disk(StoredState(f"m{one}#new")) for one in range(self.count, self.total)]
        places = [self._keep(self._born(disk, address, 0.0)) for disk, address in zip(disks, self.homes)]
        #              machines         wire  committed  leaders  commands, crashes, wipes, leaves
        self.start = (tuple(places), 0, (), (), 0, 0, 0, 0)

    def _born(self, disk: Disk, address: str, now: float) -> Place:
        machine = self.kind(disk.read(), replace(WALK, target_members=self.target_members), 0, now)
        machine.random, machine.address = Still(), address  # type: ignore[assignment]
        machine.contacts = sorted(self.homes)
        return Place(disk, machine)

    def _keep(self, place: Place) -> int:
        m, done = place.machine, place.machine._saved_number
        flight = m._pending_save and (
            m._pending_save.number - done,
            m._pending_save.last_index,
            m._pending_save.term,
            m._pending_save.vote,
        )
        save = place.writing and (
            place.writing.term,
            place.writing.vote,
            place.writing.entries,
            place.writing.cut_from,
            place.writing.snapshot,
        )
        held = list(
            {repr((one[0] - done, *one[1:])): None for one in m._held_messages}
        )  # said twice is on the wire once
        key = repr(
            (
                [one for one in sorted(vars(m).items()) if one[0] not in TIMERS],
                m.log.base,
                m.log.base_term,
                m.log.entries,
                m._save_number - done,
                flight,
                held,
                sorted(m._votes),
                place.disk.saved,
                save,
            )
        )
        return self.local.put(key, place, (m.role, m.term, place.writing is not None, m.commit, m.me))

    def step(self, number: int, event: tuple, now: float) -> tuple[int, tuple[int, ...], tuple]:
        """One machine takes one event: its state after, the messages it sends, and what it says of log and office."""
        asked = (number, event, now)
        known = self.local.steps.get(asked)
        if known is None:
            known = self.local.steps[asked] = self._step(self.local.get(number), event, now)
        return known  # type: ignore[return-value]

    def _step(self, place: Place, event: tuple, now: float) -> tuple[int, tuple[int, ...], tuple]:
        m = place.machine
        m._sticky_since, m._request_at, m._heartbeat_at, m._election_deadline = -1e9, 1e9, 1e9, now + 1.0
        match event:
            case ("receive", which):
                m.receive(now, json.loads(json.dumps(self.messages[which][1])))
            case ("stand",):
                m._election_deadline = now
                m.tick(now)
            case ("beat",):
                m._heartbeat_at = now
                m.tick(now)
            case ("ask",):
                m._request_at = now
                m.tick(now)
            case ("leave",):
                m.leave(now)
            case ("propose", n):
                m.propose(now, {"n": n}, n)
            case ("kept",):
                save, place.writing = place.writing, None
                assert save is not None
                place.disk.write(save)
                m.on_saved(now, save.number)
            case ("crash", made):
                if made and place.writing is not None:
                    place.disk.write(place.writing)
                place = self._born(place.disk, m.address, now)
            case ("wipe", life):
                saved = (
                    StoredState(m.me, members=dict(self.founders))
                    if self.keeps_id
                    else StoredState(f"{m.address}#{life}")
                )
                place = self._born(Disk(saved), m.address, now)
        m, sent, said = place.machine, [], []
        while m.actions:
            orders, m.actions = m.actions, []
            for order in orders:
                if isinstance(order, Send):
                    if order.to_address in self.homes:
                        sent.append(self._message(order))
                elif isinstance(order, Save):
                    assert place.writing is None
                    place.writing = order
                elif isinstance(order, Apply):
                    one = order.entry
                    said.append(("apply", one.index, (one.term, one.kind, json.dumps(one.body)), m.term))
                elif isinstance(order, RoleChange) and order.role == "leader":
                    log = tuple((one.term, one.kind, json.dumps(one.body)) for one in m.log.entries)
                    said.append(("lead", m.term, m.me, log))
        return self._keep(place), tuple(sent), tuple(said)

    def _message(self, order: Send) -> int:
        text = json.dumps([order.to_address, order.message], sort_keys=True)
        number = self.wire.setdefault(text, len(self.messages))
        if number == len(self.messages):
            self.messages.append((self.homes[order.to_address], order.message))
        return number

    def _after(self, state: tuple, changes: list[tuple[int, tuple]], done: str, counts: tuple[int, ...]) -> Step:
        """The world after machines took steps; what they said is held against what others did."""
        places, wire, committed, leaders = list(state[0]), *state[1:4]
        broken = []
        for place, (number, sent, said) in changes:
            places[place] = number
            for one in sent:
                if self.messages[one][1]["type"] not in ("prevote", "prevoted", "redirect"):
                    wire |= 1 << one
            for what in said:
                if what[0] == "apply":
                    _, index, entry, term = what
                    if index > len(committed) + 1:
                        broken.append(f"entry {index} is applied before {len(committed) + 1}")
                    elif index == len(committed) + 1:
                        committed += ((entry, term),)
                    elif committed[index - 1][0] != entry:
                        broken.append(f"entry {index} is {entry}, was committed as {committed[index - 1][0]}")
                else:
                    _, term, id, log = what
                    if any(t == term and other != id for t, other in leaders):
                        broken.append(f"two leaders in term {term}")
                    for index, (entry, by) in enumerate(committed):
                        if by < term and (index >= len(log) or log[index] != entry):
                            broken.append(f"{id} leads term {term} without entry {index + 1}, which was committed")
                    leaders = tuple(sorted({*leaders, (term, id)}))
        return done, (tuple(places), wire, committed, leaders, *counts), broken

    def follow(self, state: tuple) -> Iterator[Step]:
        """Whatever may happen next."""
        places, wire, _, _, commands, crashes, wipes, leaves = state
        now, counts, facts = wipes * EPOCH, state[4:], self.local.facts
        first = state == self.start
        for place, number in enumerate(places):
            role, term, writing, _, me = facts[number]
            if role in ("follower", "candidate") and term < self.terms and place < self.stood:
                for other in range(self.total):
                    if other != place and not (first and (place, other) != (0, 1)):  # all alike at the start
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
        """A pre-vote that one other answers at once; None where it would not have it."""
        number, asked, said = self.step(places[place], ("stand",), now)
        if not asked and number != places[place] and other == (place + 1) % self.total:
            return [(place, (number, asked, said))]  # nobody else is a member
        for which in asked:
            if self.messages[which][0] == other and self.messages[which][1]["type"] == "prevote":
                heard = self.step(places[other], ("receive", which), now)
                for answer in heard[1]:
                    if self.messages[answer][1].get("granted"):
                        begun = self.step(number, ("receive", answer), now)
                        return [(place, (number, (), said)), (other, (heard[0], (), heard[2])), (place, begun)]
        return None


# ---- keys

# A slack between the steps: at the very moment that it ends, a call may not both arrive and be held impossible.
KEYS = GrantTiming(hold=2.0, renew_interval=1.0, call_timeout=1.0, delivery_slack=1.5, release_timeout=1.0)
NODES = {name: Node(name, "s", ("10.0.0.1", port), "z", 2) for port, name in enumerate(("n", "m"))}
SLOWEST = 0.98  # a node's clock


@dataclass
class Desk:
    """A conductor: its keeper, the ledger as far as it has read, and its calls that wait for an answer."""

    keeper: GrantManager
    ledger: Ledger
    read: int  # entries of the log
    base: int = 0  # entries that a mistaken one does not count
    calls: dict[int, Grant | Release] = field(default_factory=dict)


def _shift(time: float, now: float) -> float:
    return max(round(time - now, 4), -9.0)


@dataclass
class Keys:
    """Conductors `a` and `b`, nodes `n` and `m`; in the beginning `a` leases both slices and `n` owns them.

    Bounds: seconds, entries of the log, moves that placement asks for, starts, changes of the leader."""

    kind: type[GrantManager] = GrantManager
    counts_anew: bool = False  # a mistake: a conductor's ledger counts entries from the start of its life
    grants_early: bool = False  # a mistake: a move is acted on when it is proposed
    seconds: int = 6
    entries: int = 8
    moves: int = 1
    starts: int = 1
    leaders: int = 0
    asks: str = "ab"  # who renews its lease after the beginning
    reassigns: int = 1
    swift: bool = False  # calls take less than a second and none is lost, for a deeper walk
    refuses: bool = False  # calls may be refused at connect, though the node lives

    def __post_init__(self) -> None:
        self.local = Locals()
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
        # Both conductors were away for long, and what was granted ended; now both have a lease again.
        nodes = ((0.0, 3), (0.0, 3)), ((0.0, 0), (0.0, 0))
        tenure = ConductorLeases(-9.0)
        for name in "ab":
            tenure.renew(0.0, name)
        begun = [self._begin(name, log, -9.0, 0.0)[0] for name in "ab"]
        asked = [self.step(number, ("leased", 0.0, LEASE_S, len(log))) for number in begun]
        self.start = (
            0.0,
            log,
            tuple(one[0] for one in asked),
            nodes,
            asked[0][1] + asked[1][1],
            frozenset(),
            (-9.0, tuple(sorted(tenure.ends_at.items()))),
            (3, 3),
            0,
            0,
            0,
            0,
        )

    # -- one conductor

    def _ledger(self, log: tuple[str, ...]) -> Ledger:
        ledger = Ledger()
        ledger.slices["s"] = [Slice(), Slice()]  # two in place of 512
        for index, text in enumerate(log, 1):
            ledger.apply(index, json.loads(text))
        return ledger

    def _begin(self, name: str, log: tuple[str, ...], born: float, now: float) -> tuple:
        keeper = self.kind(name, KEYS, 0, born)
        keeper._random = Still()  # type: ignore[assignment]
        keeper.on_nodes_listed(born, NODES)
        desk = Desk(keeper, self._ledger(log), len(log))
        if self.counts_anew and born == now:
            desk.base, desk.ledger.index = len(log), 0
        keeper.on_ledger(born, desk.ledger)
        return self._close(desk, now)

    def step(self, number: int, event: tuple) -> tuple:
        """One conductor takes one event: its state after, its calls and its proposals."""
        asked = (number, event)
        known = self.local.steps.get(asked)
        if known is None:
            known = self.local.steps[asked] = self._step(self.local.get(number), event)
        return known

    def _step(self, desk: Desk, event: tuple) -> tuple:
        keeper, now = desk.keeper, event[1]
        match event:
            case ("start", _, log):
                return self._begin(keeper.me, log, now, now)
            case ("read", _, entries):
                for text in entries:
                    desk.read += 1
                    desk.ledger.apply(desk.read - desk.base, json.loads(text))
                    keeper.on_ledger(now, desk.ledger, desk.ledger.changed)
            case ("early", _, text):
                desk.ledger.apply(desk.read + 1, json.loads(text))
                keeper.on_ledger(now, desk.ledger, desk.ledger.changed)
            case ("leased", _, until, index):
                keeper.on_lease_proven(now, until, index - desk.base)
            case ("answered", _, call, status):
                order = desk.calls.pop(call)
                keeper.on_call_ended(now, order, status, "h" if status == 200 and isinstance(order, Release) else None)
        return self._close(desk, now)

    def _close(self, desk: Desk, now: float) -> tuple:
        keeper = desk.keeper
        keeper.tick(now)
        orders, keeper.actions = keeper.actions, []
        calls, proposals = [], []
        for order in orders:
            if isinstance(order, Propose):
                proposals.append(json.dumps(order.command))
                continue
            number = next(n for n in range(99) if n not in desk.calls)
            desk.calls[number] = order
            kind = type(order).__name__
            calls.append((now, keeper.me, number, kind, order.node, order.slices, order.fence, None, _hold(order)))
        wake = keeper.wake_at
        slices = tuple((x.conductor == keeper.me, x.owner, x.fence) for x in desk.ledger.slices["s"])
        key = repr(
            (
                self._key(keeper, now),
                desk.read,
                desk.base,
                desk.ledger.slices,
                [(n, type(o).__name__, o.node, o.slices, o.fence, _hold(o)) for n, o in sorted(desk.calls.items())],
                now,
            )
        )
        return self.local.put(key, desk, (keeper.me, wake, desk.read, slices)), tuple(calls), tuple(proposals)

    @staticmethod
    def _key(keeper: GrantManager, now: float) -> list:
        def holder(x: Holder) -> tuple:
            return (
                _shift(x.held_until, now),
                _shift(x.deliverable_until, now),
                x.grants_in_flight,
                x.is_releasing,
                x.has_accepted,
                x.last_outcome.value,
                _shift(x.next_release_at, now),
                min(x.release_tries, 2),
            )

        rows = [
            _shift(keeper.lease_until, now),
            _shift(keeper._started_at, now),
            keeper._ledger_index,
            keeper._pending_proofs,
            keeper._changed,
        ]
        for key, x in sorted(keeper.slice_leases.items()):
            rows.append(
                (
                    key,
                    x.lease_index,
                    x.owner,
                    x.fence,
                    x.state.value,
                    x.former_holders,
                    x.handover,
                    x.handover_rank,
                    _shift(x.proposed_at, now),
                    _shift(x.granted_at, now),
                    _shift(x.due_at, now),
                    min(x.tries, 2),
                    _shift(x.wake_at, now),
                    sorted((id, holder(h)) for id, h in x.holders.items()),
                )
            )
        return [keeper.me, rows, sorted((_shift(at, now), s, k) for at, s, k in keeper._wake_heap)]

    # -- the world

    def follow(self, state: tuple) -> Iterator[Step]:
        """Whatever may happen next."""
        now, log, desks, nodes, calls, proposals, tenure, tops, moves, starts, leaders, leases = state
        facts = self.local.facts

        def after(done: str, broken: tuple = (), **new: Any) -> Step:
            names = (
                "now",
                "log",
                "desks",
                "nodes",
                "calls",
                "proposals",
                "tenure",
                "tops",
                "moves",
                "starts",
                "leaders",
                "leases",
            )
            return done, tuple(new.get(name, old) for name, old in zip(names, state)), list(broken)

        def stepped(which: int, event: tuple, done: str, **new: Any) -> Step:
            number, sent, proposed = self.step(desks[which], event)
            return after(
                done,
                desks=desks[:which] + (number,) + desks[which + 1 :],
                calls=tuple(sorted(new.pop("calls", calls) + sent, key=repr)),
                proposals=new.pop("proposals", proposals) | frozenset(proposed),
                **new,
            )

        if now < self.seconds and not (self.swift and calls):
            later = now + 1.0
            left = tuple(one for one in calls if one[2] >= 0 or one[0] + KEYS.max_delivery >= later)
            ends = tuple((name, max(end, later)) for name, end in tenure[1])  # ended is ended
            yield after(
                f"it is {later:.0f} s",
                now=later,
                calls=left,
                tenure=(tenure[0], ends),
                nodes=tuple(tuple((until if until > later else 0.0, fence) for until, fence in row) for row in nodes),
            )
        for which, number in enumerate(desks):
            name, wake, at, slices = facts[number]
            if wake <= now:
                yield stepped(which, ("tick", now), f"{name} wakes")
            if at < len(log):
                yield stepped(which, ("read", now, log[at:]), f"{name} reads to {len(log)}")
            if name in self.asks and dict(tenure[1]).get(name, 0.0) < now + LEASE_S:
                table = ConductorLeases(tenure[0], dict(tenure[1]))
                given = table.renew(now, name)
                yield stepped(
                    which,
                    ("leased", now, now + given, len(log)),
                    f"{name} renews its lease",
                    tenure=(tenure[0], tuple(sorted(table.ends_at.items()))),
                )
            if starts < self.starts:
                lost = tuple((*one[:2], -1, *one[3:]) if one[1] == name else one for one in calls)
                yield stepped(
                    which,
                    ("start", now, log[:at]),
                    f"{name} starts anew",
                    calls=tuple(one for one in lost if one[2] >= 0 or one[7] is None),
                    starts=starts + 1,
                )
            if moves < self.moves and len(log) < self.entries:
                for k, (mine, owner, fence) in enumerate(slices):
                    if mine:
                        target = "m" if owner == "n" else "n"
                        text = json.dumps({"do": "move", "by": name, "moves": [["s", k, k, fence, target]]})
                        if self.grants_early:
                            yield stepped(
                                which,
                                ("early", now, text),
                                f"{name} would move {k} to {target}",
                                proposals=proposals | {text},
                                moves=moves + 1,
                            )
                        else:
                            yield after(f"{name} moves {k} to {target}", log=log + (text,), moves=moves + 1)
        if len(log) < self.entries:
            for text in sorted(proposals):
                yield after(f"{text} is committed", log=log + (text,), proposals=proposals - {text})
            if leases < self.reassigns:
                yield from self._reassign(state, after)
        if leaders < self.leaders:
            yield after("another leads", tenure=(now, ()), leaders=leaders + 1)
        for call in calls:
            yield from self._call_steps(state, call, after, stepped)

    def _call_steps(
        self, state: tuple, call: tuple, after: Callable[..., Step], stepped: Callable[..., Step]
    ) -> Iterator[Step]:
        """What may become of a call: it arrives, is answered, refused at connect, or given up."""
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
        broken, status = [], 200
        if kind == "Grant" and any(row[k][1] > fence for k in slices):
            status = 409
        else:
            for k in slices:
                if kind == "Release":
                    row[k] = (0.0, row[k][1])
                    continue
                if other[k][0] > now:
                    broken.append(f"{node} gets {k} under {fence}, which the other holds until {other[k][0]:.2f}")
                if fence < tops[k]:
                    broken.append(f"{node} gets {k} under {fence} after {tops[k]}")
                row[k], tops[k] = (now + hold / SLOWEST, fence), max(tops[k], fence)
        back = ((*call[:7], status, hold),) if number >= 0 else ()
        return after(
            f"{what} arrives",
            tuple(broken),
            nodes=tuple(tuple(one) for one in nodes),
            tops=tuple(tops),
            calls=tuple(sorted(rest + back, key=repr)),
        )

    def _reassign(self, state: tuple, after: Callable[..., Step]) -> Iterator[Step]:
        """The leader gives slices whose conductor's lease has surely ended to others."""
        now, log, tenure = state[0], state[1], state[6]
        ledger = self.ledgers.get(log)
        if ledger is None:
            ledger = self.ledgers[log] = self._ledger(log)
        leased = [x.conductor for x in ledger.slices["s"]]
        for to, runs in reassign(ConductorLeases(tenure[0], dict(tenure[1])), now, leased).items():
            text = json.dumps({"do": "lease", "from": leased[runs[0][0]], "to": to, "slices": {"s": runs}})
            yield after(f"{text} is committed", log=log + (text,), leases=state[11] + 1)


# ---- what is walked, and mistakes that a walk must find


def worlds(big: bool = False) -> dict[str, tuple[Agreement | Keys, int, int]]:
    """By name: a world, how many steps deep, and how many states at most; `big` takes some minutes."""
    most = 600_000 if big else 10_000_000
    return {
        "elections": (Agreement(terms=1, commands=0, stood=3 if big else 2, beats=False), 99 if big else 13, most),
        "entries": (Agreement(), 13 if big else 10, most),
        "wiped disks": (Agreement(crashes=0, wipes=1, commands=0, stood=2 if big else 1), 99 if big else 13, most),
        "newcomers": (Agreement(count=1, newcomers=1, terms=1, commands=0), 99 if big else 18, most),
        "leavers": (Agreement(count=2, target_members=1, leaves=1, terms=1, commands=0), 99 if big else 19, most),
        "calls": (Keys(), 10 if big else 7, most),
        "refusals": (Keys(swift=True, refuses=True, asks="a", starts=0, reassigns=0), 99 if big else 12, most),
        "leases": (Keys(swift=True, leaders=1, moves=1), 99 if big else 10, most),
    }


class VotesEarly(Machine):
    """Mistake: a vote leaves before the disk holds it."""

    def _send_after_save(self, address: str, type: str, to: str, /, **rest: Any) -> None:
        self._send(address, type, to, **rest)


class FromSending(GrantManager):
    """Mistake: a hold is counted from when the grant was sent, not from its latest arrival."""

    def tick(self, now: float) -> None:
        super().tick(now)
        self.sent = getattr(self, "sent", {}) | {x: now for x in self.actions if isinstance(x, Grant)}

    def _on_grant_ended(self, now: float, x: Any, holder: Holder, order: Grant, status: Any, *more: float) -> None:
        until = holder.held_until
        super()._on_grant_ended(now, x, holder, order, status, *more)
        if holder.held_until > until:
            holder.held_until = max(until, self.sent[order] + order.hold * CLOCK_SLOWDOWN)


class TrustsPredecessor(GrantManager):
    """Mistake: who takes a slice over does not count what was granted before."""

    def _take_over(self, now: float, key: tuple[str, int], x: Slice) -> Any:
        tenure = super()._take_over(now, key, x)
        for holder in tenure.holders.values():
            holder.held_until = holder.deliverable_until = now
        return tenure


class ClearsRefused(GrantManager):
    """Mistake: a refused connection counts as the end of the node (incident inc1)."""

    def on_call_ended(self, now: float, order: Any, status: Any, handover: str | None = None) -> None:
        super().on_call_ended(now, order, status, handover)
        for tenure in self.slice_leases.values() if status == REFUSED else ():
            if order.node in tenure.holders:
                tenure.holders[order.node].held_until = now


def mistakes() -> dict[str, tuple[Agreement | Keys, int, str]]:
    """By name: a world with a mistake, how deep it shows at most, and what is then broken."""
    one = {"terms": 1, "commands": 0, "beats": False}
    return {
        "votes before the disk holds it": (Agreement(kind=VotesEarly, **one), 9, "two leaders"),  # type: ignore
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
            Keys(kind=FromSending, asks="a", starts=0, reassigns=0),
            9,
            "which the other holds",
        ),
        "takes a refused connection for an end": (
            Keys(kind=ClearsRefused, refuses=True, swift=True, asks="a", starts=0, reassigns=0),
            14,
            "which the other holds",
        ),
        "takes over without waiting": (Keys(kind=TrustsPredecessor, reassigns=0), 7, "which the other holds"),
    }
