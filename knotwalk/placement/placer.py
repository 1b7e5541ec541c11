"""Where slices should go: the passes of one conductor, over the slices that it leases.

Slices of nobody, and those of gone, ailing and draining nodes, are placed at once, even past capacity; those of a node
that isn't reached once it holds them no more. All else
is the paper's: a pass every 5 s strips nodes above k_p = (1 + mean utilization) / 2 and places what it stripped,
heaviest first, where (load + slice) / capacity is least, skipping a move that would overfill its target; a node above
k_e = 1 brings a pass on at once. Conductors do not ask each other: each strips its own part of a node's excess, and
counts what it has proposed as moved. Ordinary moves go out a tenth of the own slices at a time. The passes' text is
passes.py's.

Where keys are laid out first, and among targets nearly as good, nodes of the conductor's own zone come first: renewals
are calls, and calls between zones are priced.

Departures: an empty node at under half of the mean is filled by the passes only where others are above k_p, as the
paper has it; moving keys costs their share, and requests on them wait, so evenness alone is not worth it.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from typing import NamedTuple

from knotwalk.discovery.view_types import Node
from knotwalk.leases.ledger import Ledger, Slice
from knotwalk.placement.capacity import Capacities, LoadReport
from knotwalk.placement.passes import place, strip, utilization

PERIOD = 5.0  # s between passes (the paper's 60: days here last minutes)
EMERGENCY_REST = 2.0  # s from a pass to one that a node above k_e brings on: the last must show first
K_E = 1.0
# Seconds that a service's demand must have been heard for before its slices are passed over: the least that is told, so
# any report will do. A conductor that finds slices laid out waits for a sample of capacity more: by slots alone fast
# nodes look full, and what others learned would be undone.
HEARD, HEARD_LATE = 1.0, 2.5
# s; a node first seen so lately counts at this share of its capacity. Not those of the first laying-out: nobody has
# worked yet.
RAMP, RAMP_SHARE = 10.0, 0.5
REST = 4.0  # s that a slice rests after a move: its new place is then measured twice
BATCH, BATCH_PAUSE = 0.1, 0.5  # share of the own slices in a batch of ordinary moves; s between batches
GAIN = 0.05  # of a node's capacity: an excess under this is left (a move costs keys and a wait)
LIGHT = 0.002  # of a node's capacity: a lighter slice is not worth a move; a mean one of 26 nodes' is 0.013
FLOOR = 0.05  # of the mean slice: what an idle slice counts, so that idle ones spread too
AGAIN = 2.0  # s until a move that is not in the ledger counts as lost
# Busy keys sit close together: laid out in so many rounds by each of three conductors, the busiest thirtieth of the
# keys starts on eight nodes of 26 instead of one or two; each round is a run a node, so a renewal's call more.
ROUNDS = 3
# A first laying-out begins with the nodes of the own zone, of which each gets its share of the whole service at once.
# What is left of the own slices goes so much later (s) to where others left room: theirs are in the ledger by then.
REMAINDER = 0.5
# Renewals stay within a zone where conductor and node are in one, and are the most of the own bytes between zones: so
# much (of utilization) worse a target of the own zone may be than one of another.
NEAR = 0.1
# Of what the rest of a service can carry, how full it may be for ailing nodes to be emptied: the keys of a node that
# fails half of its requests are better off elsewhere, but not where nobody has room.
AILING_ROOM = 0.9
LOOK = 0.3  # s between looks for loads alone: a third of EVERY; each edge reports once a second
GATHER, GATHER_MOST = 1.0, 4.0  # s without a new node, and in all, before the first laying-out
EQUAL = 1e-9  # of utilization: a slice moved for less would soon be moved back
TIE = 0.02  # of utilization: conductors that see the same draw apart by so much


class Move(NamedTuple):
    """A slice of a service and the node that is to own it."""

    service: str
    slice: int
    target: str


@dataclass(slots=True)
class Load:
    """A node as the passes see it."""

    id: str
    capacity: float
    load: float = 0.0
    near: bool = False  # in the conductor's own zone
    avoided: bool = False  # another core does not reach it: no target while there are others


def _room(of: Mapping[str, Load], fleet: Mapping[str, Load], whole: float) -> dict[str, float]:
    """What each node lacks of its capacity's share of the whole load."""
    capacity = sum(x.capacity for x in fleet.values())
    return {id: max(0.0, whole * x.capacity / capacity - x.load) for id, x in of.items()}


def own_part(loads: Iterable[Load], threshold: float, own: Mapping[str, list[tuple[float, int]]]) -> Callable:
    """`can_move` for a `strip`: of each node's excess the part that the slices in `own` make up; none that is too heavy
    or too light for it. It keeps account, so it serves once."""
    left = {}
    for node in loads:
        excess = node.load - threshold * node.capacity
        if excess >= GAIN * node.capacity:
            left[node.id] = excess * min(1.0, sum(load for load, _ in own.get(node.id, ())) / node.load)

    def can_move(load: float, _: int, node: Load) -> bool:
        part = left.get(node.id, 0.0)
        if part <= 0 or not LIGHT * node.capacity <= load <= part + GAIN * node.capacity:
            return False
        left[node.id] = part - load
        return True

    return can_move


def worse(node: Load, load: float) -> float:
    """`room` for `place`: a target that is only as good as the source is none."""
    return utilization(node, load) + EQUAL


def open_targets(loads: Iterable[Load]) -> list[Load]:
    """Those that are not avoided, or all where all are."""
    found = list(loads)
    return [x for x in found if not x.avoided] or found


def targets(loads: Iterable[Load]) -> list[Load]:
    """Those of the own zone, unless the best of them is much worse than the best of all."""
    found = open_targets(loads)
    near = [x for x in found if x.near]
    return (
        near
        if near and utilization(min(near, key=utilization)) <= utilization(min(found, key=utilization)) + NEAR
        else found
    )


class Placer:
    """Placement by conductor `me`. Ask `due` several times a second, and call `place` if it says so."""

    def __init__(self, me: str, seed: int, zone: str = "") -> None:
        self.me, self.zone = me, zone
        self.capacities = Capacities()
        self._random = random.Random(seed)
        self._last: float | None = None  # the last pass
        self._first: float | None = None  # when there were nodes first
        self._laid: dict[str, float] = {}  # services laid out in the own zone, and when
        self._batch_at = float("-inf")
        self._queue: deque[Move] = deque()
        self._pending: dict[tuple[str, int], tuple[float, int, str]] = {}  # proposed: (when, fence seen, target)
        self._ledger: Ledger | None = None  # the one last followed, and how far
        self._index = -1
        self._fences: dict[str, list[int]] = {}
        self._owners: dict[str, list[str]] = {}
        self._mine: dict[str, list[int]] = {}  # the slices that `me` leases
        self._news: object = None  # what the last look went by, besides loads
        self._looked, self._wake = float("-inf"), float("-inf")  # the last look, and when one is due by time alone
        self._rested: dict[tuple[str, int], float] = {}  # slices moved lately, and when
        self._moved: dict[str, float] = {}  # nodes that a slice came to or left, and when
        self._born: dict[str, float] = {}  # nodes by when they were first seen
        self._begun: float | None = None  # when nodes were gathered; who was there is no newcomer
        self._wanted = HEARD  # seconds of demand heard that a pass wants

    def is_due(self, now: float, news: object) -> bool:
        """Whether `place` has anything to do: `news` (the ledger's entry, the list, who isn't reached) is not what it
        was, loads were last looked at a while ago, or the time of a pass, a batch or a lost move has come."""
        if news == self._news and now < min(self._wake, self._looked + LOOK):
            return False
        self._news, self._looked = news, now
        return True

    def place(self, now: float, ledger: Ledger, nodes: dict[str, Node], report: LoadReport) -> list[dict]:
        """Commands to propose, at most one `move`; `nodes` is the platform's list."""
        self._follow(now, ledger, nodes)
        if self._gathering(now, ledger, nodes):
            return []
        if self._begun is None:
            self._begun = now
            if any(x.owner for line in ledger.slices.values() for x in line):
                self._wanted = HEARD_LATE
        cold = {
            id
            for id, node in nodes.items()
            if node.cold_until > now or self._begun < self._born[id] and now - self._born[id] < RAMP
        }
        demand = self._demand(ledger, report)
        owners = {service: self._counted(service, line) for service, line in ledger.slices.items()}
        self._hear(nodes, owners, demand, report, cold)
        estimates = self.capacities.estimates(nodes)
        urgent: list[Move] = []
        fleets: dict[str, dict[str, Load]] = {}
        for service in ledger.slices:
            fleet = self._fleet(service, nodes, report, estimates, cold, sum(demand[service]))
            if not fleet:
                continue
            fleets[service] = fleet
            loads = dict.fromkeys(fleet, 0.0)
            for owner, load in zip(owners[service], demand[service]):
                if owner in loads:
                    loads[owner] += load
            for id, load in loads.items():
                fleet[id].load = load
            left = [
                k
                for k in self._mine[service]
                if (owner := owners[service][k]) not in fleet and not self._waits((service, k), owner, nodes, report)
            ]
            urgent += self._settle(now, service, left, demand[service], fleet, owners[service])
        if self._last is None:
            self._last = now - PERIOD * self._random.random()
        heard = {service: fleet for service, fleet in fleets.items() if report.spans.get(service, 0.0) >= self._wanted}
        hot = any(utilization(x) > K_E for fleet in heard.values() for x in fleet.values())
        due = self._last + (EMERGENCY_REST if hot else PERIOD)
        if heard and now >= due:
            self._last = now
            due = now + (EMERGENCY_REST if hot else PERIOD)
            self._queue.clear()
            for service, fleet in heard.items():
                self._queue.extend(
                    self._pass(
                        now,
                        service,
                        ledger.slices[service],
                        demand[service],
                        fleet,
                        {move.slice for move in urgent if move.service == service},
                    )
                )
        commands = self._command(now, ledger, urgent + self._staged(now, ledger, fleets, demand))
        self._wake = min(
            due if heard else float("inf"),
            self._batch_at + BATCH_PAUSE if self._queue else float("inf"),
            min((at for at, *_ in self._pending.values()), default=float("inf")) + AGAIN,
            min((at + REMAINDER for at in self._laid.values() if at + REMAINDER > now), default=float("inf")),
        )
        return commands

    # --- what is known ---

    @staticmethod
    def _waits(key: tuple[str, int], owner: str, nodes: Mapping[str, Node], report: LoadReport) -> bool:
        """Whether a slice stays with an owner that isn't reached: until it lapses nobody else can be granted it, and
        edges may reach the owner."""
        node = nodes.get(owner)
        return node is not None and not node.draining and owner in report.unreachable and key not in report.lapsed

    def _gathering(self, now: float, ledger: Ledger, nodes: Mapping[str, Node]) -> bool:
        """Whether the first laying-out of all waits for nodes that start with us: each would come empty, and filling
        it costs moves. Not when any slice has an owner already."""
        if any(x.owner for line in ledger.slices.values() for x in line):
            return False
        if not nodes:
            return True
        if self._first is None:
            self._first = now
        newest = max(self._born.values())
        return now < self._first + GATHER_MOST and now < max(newest, self._first) + GATHER

    def _follow(self, now: float, ledger: Ledger, nodes: Mapping[str, Node]) -> None:
        for id in self._born.keys() - nodes.keys():
            del self._born[id]
            self._moved.pop(id, None)
        for id in nodes:
            self._born.setdefault(id, now)
        for service, line in ledger.slices.items() if (ledger, ledger.index) != (self._ledger, self._index) else ():
            self._mine[service] = [k for k, x in enumerate(line) if x.conductor == self.me]
            fences, owners = [x.fence for x in line], [x.owner for x in line]
            old, had = self._fences.get(service), self._owners.get(service)
            if old is not None and had is not None and old != fences:
                for k, fence in enumerate(fences):
                    if fence != old[k]:
                        self._rested[service, k] = now
                        self._moved[had[k]] = self._moved[owners[k]] = now
                        self._pending.pop((service, k), None)
            self._fences[service], self._owners[service] = fences, owners
        self._ledger, self._index = ledger, ledger.index
        self._rested = {key: at for key, at in self._rested.items() if now < at + REST}
        self._pending = {key: p for key, p in self._pending.items() if now < p[0] + AGAIN and p[2] in nodes}

    def _counted(self, service: str, line: list[Slice]) -> list[str]:
        """Owners, with what this conductor has proposed as done."""
        owners = list(self._owners[service])
        for (name, k), (_, fence, target) in self._pending.items():
            if name == service and line[k].fence == fence and line[k].conductor == self.me:
                owners[k] = target
        return owners

    def _demand(self, ledger: Ledger, report: LoadReport) -> dict[str, list[float]]:
        """Load by service and slice, none of them nothing; all alike where nothing has been heard."""
        found = {service: [0.0] * len(line) for service, line in ledger.slices.items()}
        for service, line in found.items():
            for k, load in report.demand.get(service, {}).items():
                line[k] = load
        floors = {service: FLOOR * sum(line) / len(line) or 1.0 for service, line in found.items()}
        return {
            service: [load if load > floors[service] else floors[service] for load in line]
            for service, line in found.items()
        }

    def _hear(
        self,
        nodes: Mapping[str, Node],
        owners: Mapping[str, list[str]],
        demand: Mapping[str, list[float]],
        report: LoadReport,
        cold: set[str],
    ) -> None:
        work: dict[str, float] = {}
        for service, line in owners.items():
            loads = demand[service]
            for k in report.demand.get(service, ()):
                work[line[k]] = work.get(line[k], 0.0) + loads[k]
        self.capacities.hear(nodes, work, report, self._moved, cold)

    def _fleet(
        self,
        service: str,
        nodes: Mapping[str, Node],
        report: LoadReport,
        estimates: Mapping[str, float],
        cold: set[str],
        whole: float,
    ) -> dict[str, Load]:
        """The nodes that may take slices, ailing ones only where the rest has no room for theirs. Where no capacity is
        known, the service counts as half used."""
        live = [
            id for id, x in nodes.items() if x.service == service and not x.draining and id not in report.unreachable
        ]
        slots = sum(max(1, nodes[id].capacity) for id in live)
        fleet = {}
        for id in sorted(live):
            capacity = estimates[id] or 2 * whole * max(1, nodes[id].capacity) / slots
            fleet[id] = Load(
                id,
                capacity * (RAMP_SHARE if id in cold else 1.0),
                near=nodes[id].zone == self.zone,
                avoided=id in report.avoided,
            )
        room = AILING_ROOM * sum(x.capacity for x in fleet.values()) - whole
        for id in sorted(report.ailing & fleet.keys()):
            if (room := room - AILING_ROOM * fleet[id].capacity) < 0:
                break
            del fleet[id]
        return fleet

    # --- slices that must go ---

    def _settle(
        self, now: float, service: str, left: list[int], demand: list[float], fleet: dict[str, Load], owners: list[str]
    ) -> list[Move]:
        """Places for slices that have none: many at once as runs of neighbours (a run is one grant), few one by one."""
        if not left:
            return []
        fleet = {x.id: x for x in open_targets(fleet.values())}
        first = not any(owners[k] for k in left)
        if first and now < self._laid.get(service, float("-inf")) + REMAINDER:
            return []
        if first and (len(left) >= 2 * len(fleet) or service in self._laid):
            near = {id: x for id, x in fleet.items() if x.near}
            if self.zone and service not in self._laid:
                self._laid[service] = now
                return (
                    self._spread(
                        service,
                        left,
                        demand,
                        near,
                        _room(near, fleet, sum(demand)),
                        round(ROUNDS * len(fleet) / len(near)),
                    )
                    if near
                    else []
                )
            whole = sum(demand[k] for k in left) + sum(x.load for x in fleet.values())
            return self._spread(service, left, demand, fleet, _room(fleet, fleet, whole), ROUNDS)
        moves = []
        tie = {id: 1 + TIE * self._random.random() for id in fleet}
        for k in sorted(left, key=lambda k: (-demand[k], k)):
            target = min(fleet.values(), key=lambda x: utilization(x, demand[k]) * tie[x.id] - NEAR * x.near)
            target.load += demand[k]
            moves.append(Move(service, k, target.id))
        return moves

    def _spread(
        self,
        service: str,
        left: list[int],
        demand: list[float],
        fleet: dict[str, Load],
        room: dict[str, float],
        rounds: int,
    ) -> list[Move]:
        """Runs of neighbours in so many rounds, to each node of `fleet` its part of the room; where there is less room
        than slices, the last of each round stay."""
        whole, most = sum(demand[k] for k in left), sum(room.values()) or 1.0
        part = min(1.0, most / whole)
        room = {id: x * min(1.0, whole / most) for id, x in room.items()}
        moves: list[Move] = []
        for turn in range(rounds):
            mine = left[turn * len(left) // rounds : (turn + 1) * len(left) // rounds]
            order = sorted(fleet)
            self._random.shuffle(order)
            most = part * sum(demand[k] for k in mine) if part < 1 - EQUAL else float("inf")
            filled, n = 0.0, 0
            border = room[order[0]] / rounds
            for k in mine:
                if filled + demand[k] / 2 > most:
                    break
                while filled + demand[k] / 2 > border and n < len(order) - 1:
                    n += 1
                    border += room[order[n]] / rounds
                filled += demand[k]
                fleet[order[n]].load += demand[k]
                moves.append(Move(service, k, order[n]))
        return moves

    # --- passes ---

    def _pass(
        self, now: float, service: str, line: list[Slice], demand: list[float], fleet: dict[str, Load], urgent: set[int]
    ) -> list[Move]:
        mean = sum(x.load for x in fleet.values()) / sum(x.capacity for x in fleet.values())
        own: dict[str, list[tuple[float, int]]] = {}
        for k, x in enumerate(line):
            if (
                x.conductor == self.me
                and x.open
                and k not in urgent
                and (service, k) not in self._rested
                and (service, k) not in self._pending
            ):
                own.setdefault(x.owner, []).append((demand[k], k))
        loads = [replace(x) for x in fleet.values()]  # apart: moves go out by and by
        threshold = (1 + mean) / 2
        pool = strip(loads, lambda x: own.get(x.id, ()), threshold, can_move=own_part(loads, threshold, own))
        moves = place(pool, lambda _, source: targets(x for x in loads if x is not source), worse)
        return [Move(service, k, target.id) for k, _, target in moves]

    def _staged(
        self, now: float, ledger: Ledger, fleets: Mapping[str, dict[str, Load]], demand: Mapping[str, list[float]]
    ) -> list[Move]:
        """The next batch of ordinary moves, each looked at again: the world may have changed since the pass."""
        if not self._queue or now < self._batch_at + BATCH_PAUSE:
            return []
        most = max(1, int(sum(len(mine) for mine in self._mine.values()) * BATCH))
        moves: list[Move] = []
        while self._queue and len(moves) < most:
            move = self._queue.popleft()
            x, fleet = ledger.slices[move.service][move.slice], fleets.get(move.service, {})
            load, target, source = demand[move.service][move.slice], fleet.get(move.target), fleet.get(x.owner)
            if (
                x.conductor != self.me
                or not x.open
                or target is None
                or source is None
                or source is target
                or (move.service, move.slice) in self._pending
                or target.load + load > target.capacity
            ):
                continue
            target.load += load
            source.load -= load
            moves.append(move)
        if moves:
            self._batch_at = now
        return moves

    def _command(self, now: float, ledger: Ledger, moves: list[Move]) -> list[dict]:
        rows: list[list] = []
        for service, k, target in sorted(moves):
            fence = ledger.slices[service][k].fence
            self._pending[service, k] = (now, fence, target)
            if rows and rows[-1][0] == service and rows[-1][2] == k - 1 and rows[-1][3:] == [fence, target]:
                rows[-1][2] = k
            else:
                rows.append([service, k, k, fence, target])
        return [{"do": "move", "by": self.me, "moves": rows}] if rows else []
