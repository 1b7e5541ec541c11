"""Decides for one conductor which slices to grant, renew and release at which nodes, and what to propose to the log.

A pure state machine without sockets or a clock; `now` and all times are seconds of one monotonic clock. Its driver
passes in the ledger (`on_ledger`), until when its lease is proven (`on_lease_proven`), the platform's list
(`on_nodes_listed`) and the results of its calls (`on_call_ended`). `tick` then fills `actions`, to be carried out at
once, and `wake_at` is the latest time for the next tick.

The invariant (OWNER): no node is granted keys that another running node may hold. For each slice it tracks which nodes
may hold it, and until when at most (`slice_lease`). A conductor that takes a slice over knows of no earlier calls, so
every node that the ledger names counts as granted just now. A lease also depends on the log: it counts only once the
ledger has reached the index that the leader's log had when it answered; otherwise a program that lags would act on
slices that another conductor leases by now. A holder is cleared by a release answered 200 (sent when no grant to it
could still arrive) or by the passage of time, and by nothing else: a node whose port refuses, or that is missing from
the list, may still be running. `planning` turns what slices need into calls and entries.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Iterable, Mapping

from knotwalk.discovery.view_types import Node
from knotwalk.leases.actions import REFUSED, Action, Grant, GrantTiming, Release, Status
from knotwalk.leases.evidence import Event, Evidence, HolderCleared, NodeUnreachable
from knotwalk.leases.ledger import Ledger, Slice
from knotwalk.leases.node_liveness import NodeLiveness
from knotwalk.leases.planning import plan_grants, plan_openings, plan_outbids, plan_releases
from knotwalk.leases.slice_lease import MIN_HOLD_S, MOVE_WINDOW_S, Holder, SliceLease, State

# Renewals are a random 0.8 to 1 of `renew_interval` apart, so that those which started together spread out.
JITTER = 0.2
# The pause before a call is repeated, doubled each time: a lost packet costs 0.3 s, and one try per second is cheap.
RETRY_PAUSE_S, MAX_RETRY_PAUSE_S = 0.3, 1.2
# The interval of checks whether a node has answered the grant that its other renewals wait for, and the longest that
# they wait beyond the time of their renewal.
ANSWER_POLL_S, MAX_RENEWAL_DELAY_S = 0.05, 0.5
# The number of proven leases that may wait for the ledger, besides the newest one.
MAX_PENDING_PROOFS = 8


class GrantManager:
    """The grants of conductor `me`. The times passed to successive calls must not decrease."""

    def __init__(self, me: str, timing: GrantTiming, seed: int, now: float) -> None:
        self.me, self.timing = me, timing
        self.actions: list[Action] = []
        self.events: list[Event] = []  # to be logged by the driver
        self.lease_until = -math.inf  # the conductor's own lease is proven until then
        self.slice_leases: dict[tuple[str, int], SliceLease] = {}
        self._random = random.Random(seed)
        self._liveness = NodeLiveness()
        self._calls: dict[Grant | Release, list[tuple[SliceLease, Holder]]] = {}
        self._pending_proofs: list[tuple[int, float]] = []  # leases that wait for the ledger: (index, until)
        self._changed: set[tuple[str, int]] = set()
        self._failing: set[tuple[str, int]] = set()  # slices whose owner may not have accepted the last grant
        self._renewing: set[str] = set()  # nodes to which this tick sends a renewal
        self._wake_heap: list[tuple[float, str, int]] = []
        self._started_at = now
        self._ledger_index = -1  # index up to which the ledger has followed the log

    @property
    def wake_at(self) -> float:
        """When `tick` is due; -inf: at once."""
        if self._changed:
            return -math.inf
        return self._wake_heap[0][0] if self._wake_heap else math.inf

    @property
    def _addresses(self) -> dict[str, tuple[str, int]]:
        """Addresses of nodes, including those no longer listed."""
        return self._liveness.addresses

    # --- input ---

    def on_ledger(self, now: float, ledger: Ledger, changed: Iterable[tuple[str, int]] | None = None) -> None:
        """Take the ledger after an entry; `changed` as in the ledger, None: look at every slice (after a start or a
        snapshot).
        """
        self._apply_pending_proofs(now, ledger.index)
        self._ledger_index = ledger.index
        if changed is None:
            changed = [(service, number) for service, rows in ledger.slices.items() for number in range(len(rows))]
            for key in [key for key in self.slice_leases if key[0] not in ledger.slices]:
                del self.slice_leases[key]
        for key in changed:
            row = ledger.slices[key[0]][key[1]]
            if row.conductor != self.me:
                self.slice_leases.pop(key, None)
                continue
            slice_lease = self.slice_leases.get(key)
            if slice_lease is None or slice_lease.lease_index != row.lease_index:
                slice_lease = self.slice_leases[key] = self._take_over(now, key, row)
            slice_lease.on_row(
                row, self._started_at + self.timing.max_inherited_hold, self._started_at + self.timing.max_delivery
            )
            self._changed.add(key)

    def _apply_pending_proofs(self, now: float, index: int) -> None:
        """Count the leases that waited for the ledger to reach `index`."""
        if not self._pending_proofs:
            return
        for entry, until in self._pending_proofs:
            if entry <= index:
                self._extend_lease(now, until)
        self._pending_proofs = [proof for proof in self._pending_proofs if proof[0] > index and proof[1] > now]

    def _take_over(self, now: float, key: tuple[str, int], row: Slice) -> SliceLease:
        """A lease of a slice in which every node that the ledger names counts as a holder.

        Another incarnation or conductor may have granted them the keys until now, or for one lease longer if it handed
        the slice over and has not read that yet.
        """
        slice_lease = SliceLease(*key, row.lease_index)
        now += self.timing.lease_duration if row.previous_may_act else 0.0
        for id in (row.owner, *(id for id, _ in row.previous_holders)):
            if id:
                slice_lease.holders[id] = Holder(now + self.timing.max_inherited_hold, now + self.timing.max_delivery)
        return slice_lease

    def on_lease_proven(self, now: float, until: float, index: int) -> None:
        """The conductor's lease is proven until `until`; this counts once the ledger has reached `index`.

        The leader answered a call that was sent one lease before `until`, when its log ended at `index` (committed or
        not).
        """
        if index <= self._ledger_index:
            self._extend_lease(now, until)
        else:
            self._pending_proofs = [proof for proof in self._pending_proofs if proof[1] > now][-MAX_PENDING_PROOFS:] + [
                (index, until)
            ]

    def _extend_lease(self, now: float, until: float) -> None:
        has_lapsed = now >= self.lease_until
        self.lease_until = max(self.lease_until, until)
        if has_lapsed and now < self.lease_until:
            self._changed.update(self.slice_leases)

    def on_nodes_listed(self, now: float, nodes: Mapping[str, Node]) -> None:
        """Take the platform's complete list."""
        if not self._liveness.on_nodes_listed(now, nodes):
            return
        self._changed.update(self.slice_leases)
        if self._liveness.should_forget:
            self._liveness.forget({id for slice_lease in self.slice_leases.values() for id in slice_lease.holders})

    def on_call_ended(self, now: float, call: Grant | Release, status: Status, handover: str | None = None) -> None:
        """Handle the result of a call: an HTTP status, REFUSED, UNSENT, or None for no answer (its connection is then
        reset).
        """
        if self._liveness.on_call_ended(now, call, status):
            self.events.append(NodeUnreachable(call.node, call.address, status == REFUSED))
        affected = self._calls.pop(call, [])
        self._changed.update(slice_lease.key for slice_lease, _ in affected)
        if isinstance(call, Release):
            for slice_lease, holder in affected:
                self._on_release_ended(now, slice_lease, holder, call, status, handover)
            return
        pause = self._retry_pause(max((slice_lease.tries for slice_lease, _ in affected), default=0))
        full_hold = isinstance(call, Grant) and call.hold >= self.timing.hold
        due = now + (self.timing.renew_interval * (1 - JITTER * self._random.random()) if full_hold else 0.0)
        for slice_lease, holder in affected:
            self._on_grant_ended(now, slice_lease, holder, call, status, due, pause)

    def _on_grant_ended(
        self,
        now: float,
        slice_lease: SliceLease,
        holder: Holder,
        grant: Grant,
        status: Status,
        due: float,
        pause: float,
    ) -> None:
        holder.on_grant_ended(now, grant.hold, status, self.timing.delivery_slack)
        slice_lease.on_grant_ended(now, grant, holder, status, due, pause)
        if holder.is_failing:
            self._failing.add(slice_lease.key)

    def _on_release_ended(
        self,
        now: float,
        slice_lease: SliceLease,
        holder: Holder,
        release: Release,
        status: Status,
        handover: str | None,
    ) -> None:
        holder.is_releasing = False
        if status == 200 and holder.grants_in_flight == 0:
            holder.held_until = -math.inf
            holder.has_released = True
            slice_lease.keep_handover(release, holder, handover)
        else:
            holder.release_tries += 1
            holder.next_release_at = now + self._retry_pause(holder.release_tries - 1)

    def _retry_pause(self, tries: int) -> float:
        return min(MAX_RETRY_PAUSE_S, RETRY_PAUSE_S * 2 ** min(tries, 8)) * (1 - JITTER * self._random.random())

    # --- actions ---

    def tick(self, now: float) -> None:
        """Determine what is due, and add it to `actions`."""
        while self._wake_heap and self._wake_heap[0][0] <= now:
            _, service, number = heapq.heappop(self._wake_heap)
            self._changed.add((service, number))
        if not self._changed:
            return
        self._renewing.clear()
        keys, self._changed = sorted(self._changed), set()
        slice_leases = [slice_lease for key in keys if (slice_lease := self.slice_leases.get(key)) is not None]
        releases: list[tuple[SliceLease, str]] = []
        grants: list[SliceLease] = []
        proposing: list[SliceLease] = []
        cleared: list[SliceLease] = []
        for slice_lease in slice_leases:
            if self._step(now, slice_lease, releases, grants, proposing):
                cleared.append(slice_lease)
        self._note_cleared(now, cleared)
        if now < self.lease_until:
            self._send_releases(releases)
            self._send_grants(now, grants)
            self.actions += plan_openings(now, self.me, proposing, self.slice_leases.values())
            self.actions += plan_outbids(now, self.me, proposing)
        for slice_lease in slice_leases:
            self._schedule(now, slice_lease)

    def _step(
        self,
        now: float,
        slice_lease: SliceLease,
        releases: list[tuple[SliceLease, str]],
        grants: list[SliceLease],
        proposing: list[SliceLease],
    ) -> bool:
        """Collect what a slice needs now; return whether its last former holder has just been cleared."""
        cleared = False
        if slice_lease.state is State.CLEARING:
            holding = [
                (id, holder)
                for id in slice_lease.former_holders
                if not self._is_cleared(now, holder := slice_lease.holders[id])
            ]
            releases += [(slice_lease, id) for id, holder in holding if self._can_release(now, id, holder)]
            if not holding:
                cleared = True
                slice_lease.change_state(State.GRANTING)
        if slice_lease.state in (State.GRANTING, State.GRANTED, State.OPEN):
            owner_holder = slice_lease.holders[slice_lease.owner]
            if (
                slice_lease.due_at <= now
                and owner_holder.grants_in_flight == 0
                and not owner_holder.is_releasing
                and self._liveness.is_usable(slice_lease.owner)
            ):
                if self._should_wait(now, slice_lease, owner_holder):
                    slice_lease.due_at = now + ANSWER_POLL_S
                elif self._next_hold(now, slice_lease) > 0:
                    self._renewing.add(slice_lease.owner)
                    grants.append(slice_lease)
                else:
                    slice_lease.due_at = max(now, owner_holder.held_until) + MOVE_WINDOW_S
        if slice_lease.should_propose(now):
            proposing.append(slice_lease)
        return cleared

    def _should_wait(self, now: float, slice_lease: SliceLease, owner_holder: Holder) -> bool:
        """Whether a renewal waits for the result of another grant to the same node.

        Renewals of one node are sent one after the other, so that at most one of them reaches out to a node that has
        crashed, and everything else that it holds ends in time.
        """
        node, has_unanswered = (
            slice_lease.owner,
            slice_lease.owner in self._renewing or self._liveness.owes_answer(slice_lease.owner),
        )
        if slice_lease.state is not State.OPEN or not has_unanswered or self._liveness.is_doubted(now, node):
            return False
        return owner_holder.held_until - now > self.timing.hold - self.timing.renew_interval - MAX_RENEWAL_DELAY_S

    def _next_hold(self, now: float, slice_lease: SliceLease) -> float:
        return slice_lease.holders[slice_lease.owner].next_hold(
            now, self.timing, self._liveness.is_doubted(now, slice_lease.owner)
        )

    def _note_cleared(self, now: float, cleared: list[SliceLease]) -> None:
        """Add to `events` by which evidence the former holders of slices were cleared, one event for all slices of a
        holder.
        """
        slices_by_holder: dict[tuple[str, str, Evidence], list[int]] = {}
        for slice_lease in cleared:
            for id in slice_lease.former_holders:
                released = slice_lease.holders[id].has_released
                slices_by_holder.setdefault(
                    (id, slice_lease.service, Evidence.RELEASED if released else Evidence.EXPIRED), []
                ).append(slice_lease.slice)
        for (id, service, evidence), slices in slices_by_holder.items():
            self.events.append(HolderCleared(id, service, evidence, len(slices), min(slices)))

    def _is_cleared(self, now: float, holder: Holder) -> bool:
        return holder.grants_in_flight == 0 and holder.held_until <= now

    def _can_release(self, now: float, id: str, holder: Holder) -> bool:
        return (
            holder.grants_in_flight == 0
            and not holder.is_releasing
            and holder.deliverable_until <= now
            and holder.next_release_at <= now
            and id in self._addresses
        )

    def _schedule(self, now: float, slice_lease: SliceLease) -> None:
        """Schedule the next time at which a slice needs attention because of time alone."""
        wake_at = min(
            (time for time in slice_lease.wake_times(self._liveness.is_usable(slice_lease.owner)) if time > now),
            default=math.inf,
        )
        if wake_at < math.inf and not now < slice_lease.wake_at <= wake_at:
            slice_lease.wake_at = wake_at
            heapq.heappush(self._wake_heap, (wake_at, slice_lease.service, slice_lease.slice))

    def _send_releases(self, requests: list[tuple[SliceLease, str]]) -> None:
        for run in plan_releases(requests):
            first = run.slices[0]
            release = Release(
                node=run.node,
                address=self._addresses[run.node],
                first_key=run.first_key,
                last_key=run.last_key,
                fence=first.fence,
                service=first.service,
                slices=run.numbers,
            )
            self._calls[release] = [(slice_lease, slice_lease.holders[run.node]) for slice_lease in run.slices]
            self.actions.append(release)

    def _send_grants(self, now: float, due_leases: list[SliceLease]) -> None:
        for run in plan_grants(now, due_leases, self.slice_leases):
            first = run.slices[0]
            grant = Grant(
                node=run.node,
                address=self._addresses[run.node],
                first_key=run.first_key,
                last_key=run.last_key,
                fence=first.fence,
                hold=min(self._next_hold(now, slice_lease) or MIN_HOLD_S for slice_lease in run.slices),
                handover=run.handover,
                service=first.service,
                slices=run.numbers,
                expires=self.lease_until,
            )
            self._liveness.on_grant_sent(now, grant)
            self._calls[grant] = [(slice_lease, slice_lease.holders[run.node]) for slice_lease in run.slices]
            self.actions.append(grant)

    # --- queries ---

    def is_unreachable(self, id: str) -> bool:
        """Whether placement should give a node no more keys for now, because it can't be reached."""
        return self._liveness.is_unreachable(id)

    def unreached(self, now: float) -> dict[str, float]:
        """Listed nodes that can't be reached -> for how many seconds; for the other cores."""
        return self._liveness.unreached(now)

    def lapsed_slices(self, now: float) -> frozenset[tuple[str, int]]:
        """Slices whose owner certainly no longer holds them, since it accepted no renewal; for placement."""
        for key in list(self._failing):
            slice_lease = self.slice_leases.get(key)
            if (
                slice_lease is None
                or slice_lease.owner not in slice_lease.holders
                or not slice_lease.holders[slice_lease.owner].is_failing
            ):
                self._failing.discard(key)
        states = (State.GRANTING, State.GRANTED, State.OPEN)
        failing = ((key, self.slice_leases[key]) for key in self._failing)
        return frozenset(
            key
            for key, slice_lease in failing
            if slice_lease.state in states and slice_lease.holders[slice_lease.owner].has_lapsed(now)
        )

    def explain(self, now: float) -> list[dict]:
        """Adjacent equal slices as one row: state, owner, fence, and for how many seconds which former holders may hold
        them.
        """
        rows: list[dict] = []
        for (service, number), slice_lease in sorted(self.slice_leases.items()):
            held = {
                id: round(slice_lease.holders[id].held_until - now, 1)
                for id in slice_lease.former_holders
                if slice_lease.state is State.CLEARING and not self._is_cleared(now, slice_lease.holders[id])
            }
            row = {
                "service": service,
                "state": slice_lease.state.value,
                "owner": slice_lease.owner,
                "fence": slice_lease.fence,
                "held": held,
            }
            if rows and rows[-1]["last"] == number - 1 and all(rows[-1][name] == value for name, value in row.items()):
                rows[-1]["last"] = number
            else:
                rows.append({"first": number, "last": number, **row})
        return rows
