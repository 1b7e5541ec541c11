"""Where slices should go: the placement passes of one conductor, over the slices that it leases.

Slices without an owner, and those of gone, outlier and draining nodes, are placed at once, even past capacity; those of
an unreachable node once its hold has ended. The rest follows the paper (see passes.py): a pass every 5 s strips nodes
above k_p = (1 + mean utilization) / 2 and places what it stripped, heaviest first, where (load + slice) / capacity is
least, and skips a move that would overfill its target; a node above k_e = 1 starts a pass at once. Conductors do not
consult each other: each strips its own part of a node's excess, and counts its proposed moves as done. Ordinary moves
go out a tenth of the own slices at a time.

In the first layout of a service, and among targets nearly as good, nodes of the conductor's own zone come first:
renewals are calls, and calls between zones cost money.

Passes do not even out load for its own sake: an empty node, or one at under half of the mean, is filled only where
others are above k_p, as in the paper. Each move loses the keys' caches and makes requests for them wait.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Mapping
from dataclasses import replace
from typing import NamedTuple

from knotwalk.discovery.view_types import Node
from knotwalk.leases.ledger import Ledger, Slice
from knotwalk.placement.capacity import CapacityEstimator, LoadReport
from knotwalk.placement.node_loads import (
    MIN_GAIN,
    OWN_ZONE_MARGIN,
    NodeLoad,
    missing_load,
    own_excess,
    pass_targets,
    preferred_targets,
    target_score,
)
from knotwalk.placement.passes import place, strip, utilization

PASS_PERIOD_S = 5.0  # between passes (the paper's 60 s are too long for load that changes within minutes)
EMERGENCY_PAUSE_S = 2.0  # from a pass to one that a node above k_e starts: the last one must show its effect first
EMERGENCY_UTILIZATION = 1.0  # the paper's k_e
# Reported demand that a service needs before passes move its slices: the shortest span reported, so any report will
# do. A conductor that finds slices already laid out waits until capacity has been sampled as well: by slots alone fast
# nodes look full, and moves that other conductors made by better estimates would be undone.
MIN_DEMAND_S, MIN_DEMAND_LATE_S = 1.0, 2.5
# A node first seen less than RAMP_S ago counts at this share of its capacity; not those of the first layout, where no
# node has worked yet.
RAMP_S, RAMP_SHARE = 10.0, 0.5
MOVE_REST_S = 4.0  # that a slice stays after a move: its new place is then measured twice
BATCH_SHARE, BATCH_PAUSE_S = 0.1, 0.5  # the share of the own slices in a batch of ordinary moves; between batches
IDLE_SLICE_SHARE = 0.05  # of the mean slice: the load that an idle slice counts as, so that idle ones spread too
MOVE_TIMEOUT_S = 2.0  # until a proposed move that is not in the ledger counts as lost
# Busy keys are close together: with each of three conductors laying out so many rounds, the busiest thirtieth of the
# keys starts on eight nodes of 26 instead of one or two. Each round adds a run of slices per node, and so one call to
# each renewal.
LAYOUT_ROUNDS = 3
# A first layout begins with the nodes of the own zone, each of which gets its share of the whole service at once. The
# rest of the own slices goes this much later to where other conductors left capacity: theirs are in the ledger by then.
REMAINDER_DELAY_S = 0.5
# How full the rest of a service may be (of its capacity) for outliers to be emptied: the keys of a node that fails half
# of its requests are better off elsewhere, but not where no node has capacity for them.
MAX_FILL_FOR_OUTLIERS = 0.9
LOAD_CHECK_PERIOD_S = 0.3  # between looks at loads alone: a third of SAMPLE_INTERVAL_S; each edge reports once a second
GATHER_QUIET_S, MAX_GATHER_S = 1.0, 4.0  # without a new node, and in all, before the first layout
TIE_SPREAD = 0.02  # of utilization: random differences by which conductors with the same view choose apart


class Move(NamedTuple):
    """A slice of a service and the node that is to own it."""

    service: str
    slice: int
    target: str


class Placer:
    """Placement by conductor `me`. Call `is_due` several times a second, and `place` when it is true."""

    def __init__(self, me: str, seed: int, zone: str = "") -> None:
        self.me, self.zone = me, zone
        self.capacities = CapacityEstimator()
        self._random = random.Random(seed)
        self._last_pass: float | None = None
        self._first_nodes_at: float | None = None  # when the list first had nodes
        self._laid_out_at: dict[str, float] = {}  # by service: when it was laid out in the own zone
        self._last_batch_at = float("-inf")
        self._queued_moves: deque[Move] = deque()
        self._pending: dict[
            tuple[str, int], tuple[float, int, str]
        ] = {}  # proposed: (when, fence at that time, target)
        self._ledger: Ledger | None = None  # the ledger last read, and up to which index
        self._index = -1
        self._fences: dict[str, list[int]] = {}
        self._owners: dict[str, list[str]] = {}
        self._own_slices: dict[str, list[int]] = {}  # the slices that `me` leases
        self._last_inputs: object = None  # of the last check, besides loads
        # The last check, and when the next one is due by time alone.
        self._last_check, self._next_check = float("-inf"), float("-inf")
        self._recently_moved: dict[tuple[str, int], float] = {}  # by slice: when, within MOVE_REST_S
        self._node_moved_at: dict[str, float] = {}  # by node: when a slice last came or left
        self._first_seen: dict[str, float] = {}
        self._gathered_at: float | None = None  # when the first layout began; nodes seen by then do not ramp up
        self._min_demand_s = MIN_DEMAND_S  # seconds of reported demand that a pass requires

    def is_due(self, now: float, inputs: object) -> bool:
        """Whether `place` has anything to do: `inputs` (the ledger's index, the list, unreachable nodes ...) changed,
        loads were last checked a while ago, or the time of a pass, a batch or a lost move has come."""
        if inputs == self._last_inputs and now < min(self._next_check, self._last_check + LOAD_CHECK_PERIOD_S):
            return False
        self._last_inputs, self._last_check = inputs, now
        return True

    def place(self, now: float, ledger: Ledger, nodes: dict[str, Node], report: LoadReport) -> list[dict]:
        """Commands to propose, at most one `move`; `nodes` is the platform's list."""
        self._follow_ledger(now, ledger, nodes)
        if self._is_gathering(now, ledger, nodes):
            return []
        if self._gathered_at is None:
            self._gathered_at = now
            if any(x.owner for line in ledger.slices.values() for x in line):
                self._min_demand_s = MIN_DEMAND_LATE_S
        cold = {
            id
            for id, node in nodes.items()
            if node.cold_until > now or self._gathered_at < self._first_seen[id] and now - self._first_seen[id] < RAMP_S
        }
        demand = self._demand(ledger, report)
        owners = {service: self._planned_owners(service, line) for service, line in ledger.slices.items()}
        self._add_report(nodes, owners, demand, report, cold)
        estimates = self.capacities.estimates(nodes)
        urgent: list[Move] = []
        fleets: dict[str, dict[str, NodeLoad]] = {}
        for service in ledger.slices:
            fleet = self._node_loads(service, nodes, report, estimates, cold, sum(demand[service]))
            if not fleet:
                continue
            fleets[service] = fleet
            loads = dict.fromkeys(fleet, 0.0)
            for owner, load in zip(owners[service], demand[service]):
                if owner in loads:
                    loads[owner] += load
            for id, load in loads.items():
                fleet[id].load = load
            unplaced = [
                k
                for k in self._own_slices[service]
                if (owner := owners[service][k]) not in fleet
                and not self._must_wait((service, k), owner, nodes, report)
            ]
            urgent += self._place_ownerless(now, service, unplaced, demand[service], fleet, owners[service])
        if self._last_pass is None:
            self._last_pass = now - PASS_PERIOD_S * self._random.random()
        measured = {
            service: fleet
            for service, fleet in fleets.items()
            if report.demand_spans.get(service, 0.0) >= self._min_demand_s
        }
        is_emergency = any(
            utilization(x) > EMERGENCY_UTILIZATION for fleet in measured.values() for x in fleet.values()
        )
        due = self._last_pass + (EMERGENCY_PAUSE_S if is_emergency else PASS_PERIOD_S)
        if measured and now >= due:
            self._last_pass = now
            due = now + (EMERGENCY_PAUSE_S if is_emergency else PASS_PERIOD_S)
            self._queued_moves.clear()
            for service, fleet in measured.items():
                self._queued_moves.extend(
                    self._pass(
                        now,
                        service,
                        ledger.slices[service],
                        demand[service],
                        fleet,
                        {move.slice for move in urgent if move.service == service},
                    )
                )
        commands = self._move_commands(now, ledger, urgent + self._next_batch(now, ledger, fleets, demand))
        self._next_check = min(
            due if measured else float("inf"),
            self._last_batch_at + BATCH_PAUSE_S if self._queued_moves else float("inf"),
            min((proposed_at for proposed_at, *_ in self._pending.values()), default=float("inf")) + MOVE_TIMEOUT_S,
            min(
                (
                    laid_out_at + REMAINDER_DELAY_S
                    for laid_out_at in self._laid_out_at.values()
                    if laid_out_at + REMAINDER_DELAY_S > now
                ),
                default=float("inf"),
            ),
        )
        return commands

    # --- inputs ---

    @staticmethod
    def _must_wait(key: tuple[str, int], owner: str, nodes: Mapping[str, Node], report: LoadReport) -> bool:
        """Whether a slice stays with an unreachable owner: until its hold ends no other node can be granted the slice,
        and edges may still reach the owner."""
        node = nodes.get(owner)
        return node is not None and not node.draining and owner in report.unreachable and key not in report.lapsed

    def _is_gathering(self, now: float, ledger: Ledger, nodes: Mapping[str, Node]) -> bool:
        """Whether the very first layout waits for nodes that start at the same time: one that comes later is empty, and
        filling it costs moves. Not when any slice has an owner already."""
        if any(x.owner for line in ledger.slices.values() for x in line):
            return False
        if not nodes:
            return True
        if self._first_nodes_at is None:
            self._first_nodes_at = now
        newest = max(self._first_seen.values())
        return now < self._first_nodes_at + MAX_GATHER_S and now < max(newest, self._first_nodes_at) + GATHER_QUIET_S

    def _follow_ledger(self, now: float, ledger: Ledger, nodes: Mapping[str, Node]) -> None:
        for id in self._first_seen.keys() - nodes.keys():
            del self._first_seen[id]
            self._node_moved_at.pop(id, None)
        for id in nodes:
            self._first_seen.setdefault(id, now)
        for service, line in ledger.slices.items() if (ledger, ledger.index) != (self._ledger, self._index) else ():
            self._own_slices[service] = [k for k, x in enumerate(line) if x.conductor == self.me]
            fences, owners = [x.fence for x in line], [x.owner for x in line]
            old_fences, old_owners = self._fences.get(service), self._owners.get(service)
            if old_fences is not None and old_owners is not None and old_fences != fences:
                for k, fence in enumerate(fences):
                    if fence != old_fences[k]:
                        self._recently_moved[service, k] = now
                        self._node_moved_at[old_owners[k]] = self._node_moved_at[owners[k]] = now
                        self._pending.pop((service, k), None)
            self._fences[service], self._owners[service] = fences, owners
        self._ledger, self._index = ledger, ledger.index
        self._recently_moved = {
            key: moved_at for key, moved_at in self._recently_moved.items() if now < moved_at + MOVE_REST_S
        }
        self._pending = {key: p for key, p in self._pending.items() if now < p[0] + MOVE_TIMEOUT_S and p[2] in nodes}

    def _planned_owners(self, service: str, line: list[Slice]) -> list[str]:
        """Owners of a service's slices, with this conductor's proposed moves counted as done."""
        owners = list(self._owners[service])
        for (name, k), (_, fence, target) in self._pending.items():
            if name == service and line[k].fence == fence and line[k].conductor == self.me:
                owners[k] = target
        return owners

    def _demand(self, ledger: Ledger, report: LoadReport) -> dict[str, list[float]]:
        """Load by service and slice, each above 0; all equal where no demand has been reported."""
        loads = {service: [0.0] * len(line) for service, line in ledger.slices.items()}
        for service, line in loads.items():
            for k, load in report.demand.get(service, {}).items():
                line[k] = load
        floors = {service: IDLE_SLICE_SHARE * sum(line) / len(line) or 1.0 for service, line in loads.items()}
        return {
            service: [load if load > floors[service] else floors[service] for load in line]
            for service, line in loads.items()
        }

    def _add_report(
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
        self.capacities.add_report(nodes, work, report, self._node_moved_at, cold)

    def _node_loads(
        self,
        service: str,
        nodes: Mapping[str, Node],
        report: LoadReport,
        estimates: Mapping[str, float],
        cold: set[str],
        total: float,
    ) -> dict[str, NodeLoad]:
        """The nodes that may take slices; outliers only where the others have no capacity for their load. Where no
        capacity is known, the service counts as half used."""
        live = [
            id for id, x in nodes.items() if x.service == service and not x.draining and id not in report.unreachable
        ]
        slots = sum(max(1, nodes[id].capacity) for id in live)
        fleet = {}
        for id in sorted(live):
            capacity = estimates[id] or 2 * total * max(1, nodes[id].capacity) / slots
            fleet[id] = NodeLoad(
                id,
                capacity * (RAMP_SHARE if id in cold else 1.0),
                near=nodes[id].zone == self.zone,
                avoided=id in report.avoided,
            )
        spare = MAX_FILL_FOR_OUTLIERS * sum(x.capacity for x in fleet.values()) - total
        for id in sorted(report.outliers & fleet.keys()):
            if (spare := spare - MAX_FILL_FOR_OUTLIERS * fleet[id].capacity) < 0:
                break
            del fleet[id]
        return fleet

    # --- slices without a usable owner ---

    def _place_ownerless(
        self,
        now: float,
        service: str,
        unplaced: list[int],
        demand: list[float],
        fleet: dict[str, NodeLoad],
        owners: list[str],
    ) -> list[Move]:
        """Moves for slices that must be placed now: many at once as runs of neighbours (a run is one grant), few one by
        one."""
        if not unplaced:
            return []
        fleet = {x.id: x for x in preferred_targets(fleet.values())}
        first = not any(owners[k] for k in unplaced)
        if first and now < self._laid_out_at.get(service, float("-inf")) + REMAINDER_DELAY_S:
            return []
        if first and (len(unplaced) >= 2 * len(fleet) or service in self._laid_out_at):
            near = {id: x for id, x in fleet.items() if x.near}
            if self.zone and service not in self._laid_out_at:
                self._laid_out_at[service] = now
                return (
                    self._lay_out(
                        service,
                        unplaced,
                        demand,
                        near,
                        missing_load(near, fleet, sum(demand)),
                        round(LAYOUT_ROUNDS * len(fleet) / len(near)),
                    )
                    if near
                    else []
                )
            total = sum(demand[k] for k in unplaced) + sum(x.load for x in fleet.values())
            return self._lay_out(service, unplaced, demand, fleet, missing_load(fleet, fleet, total), LAYOUT_ROUNDS)
        moves = []
        tie_factors = {id: 1 + TIE_SPREAD * self._random.random() for id in fleet}
        for k in sorted(unplaced, key=lambda k: (-demand[k], k)):
            target = min(
                fleet.values(), key=lambda x: utilization(x, demand[k]) * tie_factors[x.id] - OWN_ZONE_MARGIN * x.near
            )
            target.load += demand[k]
            moves.append(Move(service, k, target.id))
        return moves

    def _lay_out(
        self,
        service: str,
        unplaced: list[int],
        demand: list[float],
        fleet: dict[str, NodeLoad],
        missing: dict[str, float],
        rounds: int,
    ) -> list[Move]:
        """Moves of runs of neighbours in so many rounds, to each node of `fleet` its part of `missing`; where the
        slices are more load than that, the last ones of each round stay."""
        total, limit = sum(demand[k] for k in unplaced), sum(missing.values()) or 1.0
        part = min(1.0, limit / total)
        missing = {id: x * min(1.0, total / limit) for id, x in missing.items()}
        moves: list[Move] = []
        for turn in range(rounds):
            part_slices = unplaced[turn * len(unplaced) // rounds : (turn + 1) * len(unplaced) // rounds]
            order = sorted(fleet)
            self._random.shuffle(order)
            limit = part * sum(demand[k] for k in part_slices) if part < 1 - MIN_GAIN else float("inf")
            filled, node_index = 0.0, 0
            boundary = missing[order[0]] / rounds
            for k in part_slices:
                if filled + demand[k] / 2 > limit:
                    break
                while filled + demand[k] / 2 > boundary and node_index < len(order) - 1:
                    node_index += 1
                    boundary += missing[order[node_index]] / rounds
                filled += demand[k]
                fleet[order[node_index]].load += demand[k]
                moves.append(Move(service, k, order[node_index]))
        return moves

    # --- passes ---

    def _pass(
        self,
        now: float,
        service: str,
        line: list[Slice],
        demand: list[float],
        fleet: dict[str, NodeLoad],
        urgent: set[int],
    ) -> list[Move]:
        mean = sum(x.load for x in fleet.values()) / sum(x.capacity for x in fleet.values())
        own: dict[str, list[tuple[float, int]]] = {}
        for k, slice in enumerate(line):
            if (
                slice.conductor == self.me
                and slice.open
                and k not in urgent
                and (service, k) not in self._recently_moved
                and (service, k) not in self._pending
            ):
                own.setdefault(slice.owner, []).append((demand[k], k))
        loads = [replace(x) for x in fleet.values()]  # copies: the moves go out later, in batches
        threshold = (1 + mean) / 2
        pool = strip(loads, lambda x: own.get(x.id, ()), threshold, can_move=own_excess(loads, threshold, own))
        moves = place(pool, lambda _, source: pass_targets(x for x in loads if x is not source), target_score)
        return [Move(service, k, target.id) for k, _, target in moves]

    def _next_batch(
        self, now: float, ledger: Ledger, fleets: Mapping[str, dict[str, NodeLoad]], demand: Mapping[str, list[float]]
    ) -> list[Move]:
        """The next batch of ordinary moves, each checked again: ledger, nodes and loads may have changed since."""
        if not self._queued_moves or now < self._last_batch_at + BATCH_PAUSE_S:
            return []
        max_moves = max(1, int(sum(len(slices) for slices in self._own_slices.values()) * BATCH_SHARE))
        moves: list[Move] = []
        while self._queued_moves and len(moves) < max_moves:
            move = self._queued_moves.popleft()
            slice, fleet = ledger.slices[move.service][move.slice], fleets.get(move.service, {})
            load, target, source = demand[move.service][move.slice], fleet.get(move.target), fleet.get(slice.owner)
            if (
                slice.conductor != self.me
                or not slice.open
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
            self._last_batch_at = now
        return moves

    def _move_commands(self, now: float, ledger: Ledger, moves: list[Move]) -> list[dict]:
        rows: list[list] = []
        for service, k, target in sorted(moves):
            fence = ledger.slices[service][k].fence
            self._pending[service, k] = (now, fence, target)
            if rows and rows[-1][0] == service and rows[-1][2] == k - 1 and rows[-1][3:] == [fence, target]:
                rows[-1][2] = k
            else:
                rows.append([service, k, k, fence, target])
        return [{"do": "move", "by": self.me, "moves": rows}] if rows else []
