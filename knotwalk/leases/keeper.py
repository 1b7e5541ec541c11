"""One conductor's agent for the slices that it leases: whom to grant, renew and release, and what to propose.

A pure machine: no sockets and no clock; `now` and all times are seconds of one steady clock. It is told what the log
says (`look`), until when its lease is proven (`leased`), the platform's list (`nodes`) and how its calls ended
(`answered`). `tick` then fills `orders`, to be carried out at once, and `wake` says when to tick next at the latest.

What it keeps (OWNER): no node is granted keys that another node that is up may hold. For each slice it counts who may
hold it and until when at most (`slice_tenure`). A conductor that takes a slice over knows of no calls, so all that the
ledger names count as granted just now. A lease binds to the log as well: it counts only once the ledger has followed
the log to where the leader was when it answered, or a program that lags would act on slices that are another's by now.
A holder is cleared by a release answered 200 (sent when no grant to it could still arrive) or by its time, and by
nothing else: a node whose port refuses, or that the list lacks, may run on. What slices want becomes calls and entries
in `planning`.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Iterable, Mapping

from knotwalk.discovery.view_types import Node
from knotwalk.leases.evidence import Event, Evidence, HolderCleared, NodeUnreachable
from knotwalk.leases.ledger import Ledger, Slice
from knotwalk.leases.node_liveness import NodeLiveness
from knotwalk.leases.orders import REFUSED, Grant, Order, Pace, Release, Status
from knotwalk.leases.planning import plan_grants, plan_openings, plan_outbids, plan_releases
from knotwalk.leases.slice_tenure import MOVE_TIME, SHORT_HOLD, Holder, SliceTenure, State

# Renewals come a drawn 0.8 to 1 of `renew` apart, so that those of one start do not stay together.
SPREAD = 0.2
# Pause (s) before a call is tried again, doubled each time: a lost packet is over in 0.3 s; one try a second is cheap.
PAUSE, PAUSE_MOST = 0.3, 1.2
# Seconds between looks whether a node has answered the grant that its other renewals wait for, and the most that they
# wait beyond the time of their renewal.
ANSWER_LOOK, PATIENT = 0.05, 0.5
# Proven leases that wait for the ledger: so many of the newest are kept besides the one that just came.
PROMISES = 8


class Keeper:
    """The agent of conductor `me`. Calls of its methods must bear times that do not fall."""

    def __init__(self, me: str, pace: Pace, seed: int, now: float) -> None:
        self.me, self.pace = me, pace
        self.orders: list[Order] = []
        self.events: list[Event] = []  # for the log
        self.until = -math.inf  # the lease is proven until then
        self.tenures: dict[tuple[str, int], SliceTenure] = {}
        self._random = random.Random(seed)
        self._liveness = NodeLiveness()
        self._calls: dict[Grant | Release, list[tuple[SliceTenure, Holder]]] = {}
        self._promises: list[tuple[int, float]] = []  # leases that wait for the ledger: (entry, until)
        self._touched: set[tuple[str, int]] = set()
        self._failing: set[tuple[str, int]] = set()  # slices whose owner may not have taken the last grant
        self._renewing: set[str] = set()  # nodes that this tick asks to renew
        self._heap: list[tuple[float, str, int]] = []
        self._begun = now
        self._index = -1  # how far the ledger has followed the log

    @property
    def wake(self) -> float:
        """When `tick` is due; -inf: at once."""
        if self._touched:
            return -math.inf
        return self._heap[0][0] if self._heap else math.inf

    @property
    def _known(self) -> dict[str, tuple[str, int]]:
        """Addresses of nodes, gone nodes' too."""
        return self._liveness.known

    # --- what is told ---

    def look(self, now: float, ledger: Ledger, touched: Iterable[tuple[str, int]] | None = None) -> None:
        """The ledger after an entry; `touched` as the ledger has it, None: look at all (a start, a snapshot)."""
        self._redeem(now, ledger.index)
        self._index = ledger.index
        if touched is None:
            touched = [(service, k) for service, line in ledger.slices.items() for k in range(len(line))]
            for key in [key for key in self.tenures if key[0] not in ledger.slices]:
                del self.tenures[key]
        for key in touched:
            x = ledger.slices[key[0]][key[1]]
            if x.conductor != self.me:
                self.tenures.pop(key, None)
                continue
            tenure = self.tenures.get(key)
            if tenure is None or tenure.since != x.since:
                tenure = self.tenures[key] = self._take_over(now, key, x)
            tenure.follow(x, self._begun + self.pace.taken_over, self._begun + self.pace.flight)
            self._touched.add(key)

    def _redeem(self, now: float, index: int) -> None:
        """Count the leases that waited for the ledger to get to the entry `index`."""
        if not self._promises:
            return
        for entry, until in self._promises:
            if entry <= index:
                self._prove(now, until)
        self._promises = [p for p in self._promises if p[0] > index and p[1] > now]

    def _take_over(self, now: float, key: tuple[str, int], x: Slice) -> SliceTenure:
        """A tenure whose holders are all that the ledger names.

        Another life or conductor may have granted them the keys until now; for a lease more where one handed the slice
        over and has not heard of it.
        """
        tenure = SliceTenure(*key, x.since)
        now += self.pace.lease if x.early else 0.0
        for id in (x.owner, *(id for id, _ in x.before)):
            if id:
                tenure.holders[id] = Holder(now + self.pace.taken_over, now + self.pace.flight)
        return tenure

    def leased(self, now: float, until: float, index: int) -> None:
        """The lease is proven until `until`, which counts once the ledger has got to the entry `index`.

        The leader answered a call that was sent a lease before `until`, when its log went to `index` (committed or
        not).
        """
        if index <= self._index:
            self._prove(now, until)
        else:
            self._promises = [p for p in self._promises if p[1] > now][-PROMISES:] + [(index, until)]

    def _prove(self, now: float, until: float) -> None:
        lapsed = now >= self.until
        self.until = max(self.until, until)
        if lapsed and now < self.until:
            self._touched.update(self.tenures)

    def nodes(self, now: float, nodes: Mapping[str, Node]) -> None:
        """The platform's list, whole."""
        if not self._liveness.listed(now, nodes):
            return
        self._touched.update(self.tenures)
        if self._liveness.crowded:
            self._liveness.forget({id for x in self.tenures.values() for id in x.holders})

    def answered(self, now: float, order: Grant | Release, status: Status, handover: str | None = None) -> None:
        """How a call ended: its HTTP status, REFUSED, UNSENT, or None for no answer (then its connection is reset)."""
        if self._liveness.heard(now, order, status):
            self.events.append(NodeUnreachable(order.node, order.address, status == REFUSED))
        held = self._calls.pop(order, [])
        self._touched.update(x.key for x, _ in held)
        if isinstance(order, Release):
            for x, holder in held:
                self._released(now, x, holder, order, status, handover)
            return
        pause = self._pause(max((x.tries for x, _ in held), default=0))
        whole = isinstance(order, Grant) and order.hold >= self.pace.hold
        due = now + (self.pace.renew * (1 - SPREAD * self._random.random()) if whole else 0.0)
        for x, holder in held:
            self._granted(now, x, holder, order, status, due, pause)

    def _granted(
        self, now: float, x: SliceTenure, holder: Holder, order: Grant, status: Status, due: float, pause: float
    ) -> None:
        holder.grant_ended(now, order.hold, status, self.pace.slack)
        x.grant_ended(now, order, holder, status, due, pause)
        if holder.failing:
            self._failing.add(x.key)

    def _released(
        self, now: float, x: SliceTenure, holder: Holder, order: Release, status: Status, handover: str | None
    ) -> None:
        holder.releasing = False
        if status == 200 and holder.flying == 0:
            holder.until = -math.inf
            holder.released = True
            x.take_handover(order, holder, handover)
        else:
            holder.tries += 1
            holder.again = now + self._pause(holder.tries - 1)

    def _pause(self, tries: int) -> float:
        return min(PAUSE_MOST, PAUSE * 2 ** min(tries, 8)) * (1 - SPREAD * self._random.random())

    # --- what follows ---

    def tick(self, now: float) -> None:
        """Work out what is due and add it to `orders`."""
        while self._heap and self._heap[0][0] <= now:
            _, service, k = heapq.heappop(self._heap)
            self._touched.add((service, k))
        if not self._touched:
            return
        self._renewing.clear()
        keys, self._touched = sorted(self._touched), set()
        tenures = [x for key in keys if (x := self.tenures.get(key)) is not None]
        releases: list[tuple[SliceTenure, str]] = []
        grants: list[SliceTenure] = []
        tell: list[SliceTenure] = []
        cleared: list[SliceTenure] = []
        for x in tenures:
            if self._step(now, x, releases, grants, tell):
                cleared.append(x)
        self._note_cleared(now, cleared)
        if now < self.until:
            self._release(releases)
            self._grant(now, grants)
            self.orders += plan_openings(now, self.me, tell, self.tenures.values())
            self.orders += plan_outbids(now, self.me, tell)
        for x in tenures:
            self._later(now, x)

    def _step(
        self,
        now: float,
        x: SliceTenure,
        releases: list[tuple[SliceTenure, str]],
        grants: list[SliceTenure],
        tell: list[SliceTenure],
    ) -> bool:
        """What a slice wants now; whether its last former holder has just been cleared."""
        cleared = False
        if x.state is State.CLEARING:
            held = [(id, h) for id in x.foreign if not self._cleared(now, h := x.holders[id])]
            releases += [(x, id) for id, h in held if self._may_release(now, id, h)]
            if not held:
                cleared = True
                x.turn(State.GRANTING)
        if x.state in (State.GRANTING, State.GRANTED, State.OPEN):
            mine = x.holders[x.owner]
            if x.due <= now and mine.flying == 0 and not mine.releasing and self._liveness.usable(x.owner):
                if self._may_wait(now, x, mine):
                    x.due = now + ANSWER_LOOK
                elif self._next_hold(now, x) > 0:
                    self._renewing.add(x.owner)
                    grants.append(x)
                else:
                    x.due = max(now, mine.until) + MOVE_TIME
        if x.tells(now):
            tell.append(x)
        return cleared

    def _may_wait(self, now: float, x: SliceTenure, mine: Holder) -> bool:
        """Whether a renewal waits for the answer to another grant of the same node.

        Renewals of one node go one after the other, so that a node that has crashed meets with one at most, and what it
        holds otherwise ends in time.
        """
        node, owes = x.owner, x.owner in self._renewing or self._liveness.owes(x.owner)
        if x.state is not State.OPEN or not owes or self._liveness.doubted(now, node):
            return False
        return mine.until - now > self.pace.hold - self.pace.renew - PATIENT

    def _next_hold(self, now: float, x: SliceTenure) -> float:
        return x.holders[x.owner].next_hold(now, self.pace, self._liveness.doubted(now, x.owner))

    def _note_cleared(self, now: float, cleared: list[SliceTenure]) -> None:
        """Add to `events` by which evidence the former holders of slices were cleared, neighbours or not as one."""
        found: dict[tuple[str, str, Evidence], list[int]] = {}
        for x in cleared:
            for id in x.foreign:
                released = x.holders[id].released
                found.setdefault((id, x.service, Evidence.RELEASED if released else Evidence.EXPIRED), []).append(
                    x.slice
                )
        for (id, service, evidence), slices in found.items():
            self.events.append(HolderCleared(id, service, evidence, len(slices), min(slices)))

    def _cleared(self, now: float, holder: Holder) -> bool:
        return holder.flying == 0 and holder.until <= now

    def _may_release(self, now: float, id: str, h: Holder) -> bool:
        return h.flying == 0 and not h.releasing and h.quiet <= now and h.again <= now and id in self._known

    def _later(self, now: float, x: SliceTenure) -> None:
        """When to look at a slice again by time alone."""
        at = min((t for t in x.wakes(self._liveness.usable(x.owner)) if t > now), default=math.inf)
        if at < math.inf and not now < x.wake <= at:
            x.wake = at
            heapq.heappush(self._heap, (at, x.service, x.slice))

    def _release(self, wanted: list[tuple[SliceTenure, str]]) -> None:
        for run in plan_releases(wanted):
            first = run.slices[0]
            order = Release(
                node=run.node,
                address=self._known[run.node],
                first_key=run.first_key,
                last_key=run.last_key,
                fence=first.fence,
                service=first.service,
                slices=run.numbers,
            )
            self._calls[order] = [(x, x.holders[run.node]) for x in run.slices]
            self.orders.append(order)

    def _grant(self, now: float, wanted: list[SliceTenure]) -> None:
        for run in plan_grants(now, wanted, self.tenures):
            first = run.slices[0]
            order = Grant(
                node=run.node,
                address=self._known[run.node],
                first_key=run.first_key,
                last_key=run.last_key,
                fence=first.fence,
                hold=min(self._next_hold(now, x) or SHORT_HOLD for x in run.slices),
                handover=run.handover,
                service=first.service,
                slices=run.numbers,
                expires=self.until,
            )
            self._liveness.called(now, order)
            self._calls[order] = [(x, x.holders[run.node]) for x in run.slices]
            self.orders.append(order)

    # --- to be seen ---

    def unreachable(self, id: str) -> bool:
        """Whether a node should be given no more keys for now, since it isn't reached: for placement."""
        return self._liveness.unreachable(id)

    def unreached(self, now: float) -> dict[str, float]:
        """The listed nodes that are not reached, by seconds: for the other cores."""
        return self._liveness.unreached(now)

    def lapsed(self, now: float) -> frozenset[tuple[str, int]]:
        """Slices whose owner surely holds them no more, since it took no renewal: for placement."""
        for key in list(self._failing):
            x = self.tenures.get(key)
            if x is None or x.owner not in x.holders or not x.holders[x.owner].failing:
                self._failing.discard(key)
        states = (State.GRANTING, State.GRANTED, State.OPEN)
        found = ((key, self.tenures[key]) for key in self._failing)
        return frozenset(key for key, x in found if x.state in states and x.holders[x.owner].lapsed(now))

    def explain(self, now: float) -> list[dict]:
        """Slices as runs of neighbours alike: state, owner, fence and who else may hold them for how many seconds."""
        rows: list[dict] = []
        for (service, k), x in sorted(self.tenures.items()):
            held = {
                id: round(x.holders[id].until - now, 1)
                for id in x.foreign
                if x.state is State.CLEARING and not self._cleared(now, x.holders[id])
            }
            row = {"service": service, "state": x.state.value, "owner": x.owner, "fence": x.fence, "held": held}
            if rows and rows[-1]["last"] == k - 1 and all(rows[-1][name] == value for name, value in row.items()):
                rows[-1]["last"] = k
            else:
                rows.append({"first": k, "last": k, **row})
        return rows
