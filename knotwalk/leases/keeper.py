"""One conductor's agent for the slices that it leases: whom to grant, renew and release, and what to propose.

A pure machine: no sockets and no clock; `now` and all times are seconds of one steady clock. It is told what the log
says (`look`), until when its lease is proven (`leased`), the platform's list (`nodes`) and how its calls ended
(`answered`). `tick` then fills `orders`, to be carried out at once, and `wake` says when to tick next at the latest.

What it keeps (OWNER): no node is granted keys that another node that is up may hold. For each slice it counts who may
hold it and until when at most. A node's hold runs from the arrival of the grant, by a clock that may run slow, so what
counts is the latest possible arrival: the answer's coming, or for a call without one its reset and `slack` more. A
conductor that takes a slice over knows of no calls, so all that the ledger names count as granted just now. A lease
binds to the log as well: it counts only once the ledger has followed the log to where the leader was when it answered,
or a program that lags would act on slices that are another's by now. A holder is cleared by a release answered 200
(sent when no grant to it could still arrive), by its time, or by its death.

    EMPTY -> CLEARING -> GRANTING -> GRANTED -> OPEN    (a move: back to CLEARING; a 409: OUTBID, which asks for a move)
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from knotwalk.discovery.cluster_view import WIDTH, Node
from knotwalk.leases.ledger import Ledger, Slice, ranges
from knotwalk.leases.tenure import DRIFT, LEASE

# A node's clock may run 2% slow (PROTOCOL, keys): a hold then lasts 1 / 0.98 of its length. Rounded up.
SLOW = 1.025
# Renewals come a drawn 0.8 to 1 of `renew` apart, so that those of one start do not stay together.
SPREAD = 0.2
# Pause before a call is tried again, doubled each time: a lost packet is over in 0.3 s; one try a second is cheap.
PAUSE, PAUSE_MOST = 0.3, 1.2
# What was proposed and is not in the log after so long is proposed again: several times the time of a commit.
PROPOSE_AGAIN = 1.0
# Answers of one move's grants come over some ms; one entry for all of them costs each line this much at most.
GATHER = 0.02
# A port that refuses twice so far apart, and nothing heard between, is of a process that is gone.
REFUSED_SPAN = 0.2
# A crashed node stays on the list for some seconds; one that is on it for so long after that lives after all.
DEAD_MOST = 20.0
# A node that the list drops counts as ended if the list had it for so long. A list that lags more than the last one
# may lack what has just started; the lag is a second or two.
LISTED_LEAST = 5.0

REFUSED = "refused"  # as a status: the connection was refused at connect, so the call was not made
UNSENT = "unsent"  # as a status: the caller did not begin the call (past `expires`, or stopping)


@dataclass(frozen=True)
class Pace:
    """Times in seconds. `call_timeout`: a grant without an answer is given up, and its connection reset, so long after
    it was begun. `slack`: so long after that its bytes may still arrive. `longest`: the longest hold that any life of
    any conductor gives. A release may be waited for longer (it is answered when work has ended): `release_timeout`.
    `lease`: so long after an entry of the log a lease that was answered before it may last (clocks of both may be off).

    `renew` leaves 3.6 s of the hold when a conductor dies just before it renews. Its lease ends after 2.2 s; a leader's
    own, by who is elected after 0.75 s at most, after 3.4, and a look and a commit come on top. Renewals are a tenth of
    the bytes between zones, so no more of them than that needs."""

    hold: float = 6.0
    renew: float = 2.4
    call_timeout: float = 1.0
    slack: float = 0.3
    release_timeout: float = 2.5
    longest: float = 0.0
    lease: float = LEASE * DRIFT * DRIFT

    @property
    def flight(self) -> float:
        """From the begin of a grant to its latest arrival."""
        return self.call_timeout + self.slack

    @property
    def taken_over(self) -> float:
        """How long a hold may last that somebody else gave just before."""
        return self.flight + max(self.hold, self.longest) * SLOW


class State(Enum):
    """Where a slice stands on its way from one owner to the next."""

    EMPTY = "empty"  # never moved anywhere
    CLEARING = "clearing"  # others may hold it
    GRANTING = "granting"  # nobody else can; the owner has not answered yet
    GRANTED = "granted"  # the owner has it; the log is to be told
    OPEN = "open"  # the log says so; renewed
    OUTBID = "outbid"  # the owner has seen a higher fence; a new one is asked for


# What may follow what, besides CLEARING and EMPTY, which any look at the ledger may bring.
_FOLLOWS = {
    State.GRANTING: {State.CLEARING},
    State.GRANTED: {State.GRANTING, State.OUTBID},
    State.OPEN: {State.GRANTED, State.GRANTING, State.CLEARING, State.EMPTY, State.OUTBID},
    State.OUTBID: {State.GRANTING, State.GRANTED, State.OPEN},
}


@dataclass(eq=False, frozen=True)
class Grant:
    """POST /grant. Not to be begun at `expires` (the lease's end) or later; hand the order itself to `answered`."""

    node: str
    address: tuple[str, int]
    first_key: int
    last_key: int
    fence: int
    hold: float
    handover: str | None
    service: str
    slices: tuple[int, ...]
    expires: float


@dataclass(eq=False, frozen=True)
class Release:
    """POST /release, at a node that may hold keys which now go to another."""

    node: str
    address: tuple[str, int]
    first_key: int
    last_key: int
    fence: int
    service: str
    slices: tuple[int, ...]


@dataclass(eq=False, frozen=True)
class Propose:
    """An entry for the log; may be lost, and may be committed twice."""

    command: dict


Order = Grant | Release | Propose


@dataclass(eq=False, slots=True)
class Holder:
    """A node that may hold a slice."""

    until: float = -math.inf  # its hold ends by then, unless a grant is still out
    quiet: float = -math.inf  # a grant sent before may arrive until then
    flying: int = 0  # grants to it that are out
    releasing: bool = False  # a release is out
    sure: bool = False  # has answered 200 to a grant
    again: float = -math.inf  # the next release not before
    tries: int = 0


@dataclass(eq=False, slots=True)
class Tenure:
    """A slice that this conductor leases, from the taking over on."""

    service: str
    slice: int
    since: int
    owner: str = ""
    fence: int = 0
    state: State = State.EMPTY
    holders: dict[str, Holder] = field(default_factory=dict)
    foreign: list[str] = field(default_factory=list)  # holders that must be cleared, as the ledger has them
    handover: str | None = None
    weight: int = 0  # how sure it is that the handover is of who held the keys last
    told: float = -math.inf  # when the log was last proposed what is due
    granted_at: float = 0.0
    due: float = -math.inf  # the next grant or renewal
    tries: int = 0
    wake: float = math.inf


class Keeper:
    """The agent of conductor `me`. Calls of its methods must bear times that do not fall."""

    def __init__(self, me: str, pace: Pace, seed: int, now: float) -> None:
        self.me, self.pace = me, pace
        self.orders: list[Order] = []
        self.until = -math.inf  # the lease is proven until then
        self.tenures: dict[tuple[str, int], Tenure] = {}
        self._random = random.Random(seed)
        self._nodes: dict[str, Node] = {}
        self._known: dict[str, tuple[str, int]] = {}  # addresses, gone nodes' too
        self._listed: dict[str, float] = {}  # since when the list has had a node
        self._taken: dict[tuple[str, int], int] = {}  # how many listed nodes have an address
        self._gone: set[str] = set()  # dropped by the list, and surely ended
        self._refused: dict[str, float] = {}  # the first of refusals in a row
        self._dead: dict[str, float] = {}  # refused often enough, since when
        self._calls: dict[Grant | Release, list[tuple[Tenure, Holder]]] = {}
        self._promises: list[tuple[int, float]] = []  # leases that wait for the ledger: (entry, until)
        self._touched: set[tuple[str, int]] = set()
        self._heap: list[tuple[float, str, int]] = []
        self._begun = now
        self._index = -1  # how far the ledger has followed the log

    @property
    def wake(self) -> float:
        """When `tick` is due; -inf: at once."""
        if self._touched:
            return -math.inf
        return self._heap[0][0] if self._heap else math.inf

    # --- what is told ---

    def look(self, now: float, ledger: Ledger, touched: Iterable[tuple[str, int]] | None = None) -> None:
        """The ledger after an entry; `touched` as the ledger has it, None: look at all (a start, a snapshot)."""
        if self._promises:
            for index, until in self._promises:
                if index <= ledger.index:
                    self._prove(now, until)
            self._promises = [p for p in self._promises if p[0] > ledger.index and p[1] > now]
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
            self._follow(now, tenure, x)
            self._touched.add(key)

    def _take_over(self, now: float, key: tuple[str, int], x: Slice) -> Tenure:
        """Whoever the ledger names may have been granted the keys by another life or conductor until now; for a lease
        more by one that handed the slice over and has not heard of it."""
        tenure = Tenure(*key, x.since)
        now += self.pace.lease if x.early else 0.0
        for id in (x.owner, *(id for id, _ in x.before)):
            if id:
                tenure.holders[id] = Holder(now + self.pace.taken_over, now + self.pace.flight)
        return tenure

    def _follow(self, now: float, tenure: Tenure, x: Slice) -> None:
        moved = tenure.fence != x.fence
        tenure.owner, tenure.fence = x.owner, x.fence
        tenure.foreign = [id for id, _ in x.before]
        for id in (x.owner, *tenure.foreign):
            if id and id not in tenure.holders:
                # Named by an entry of ours after the taking over. This life has not granted it; an earlier life may
                # have, where the log is followed anew after a start.
                tenure.holders[id] = Holder(self._begun + self.pace.taken_over, self._begun + self.pace.flight)
        if moved:
            tenure.told, tenure.tries, tenure.due = -math.inf, 0, -math.inf
            tenure.handover, tenure.weight = None, 0
        if x.open:
            if tenure.state is not State.OPEN:
                self._turn(tenure, State.OPEN)
            keep = {x.owner}
            tenure.holders = {id: h for id, h in tenure.holders.items() if id in keep or h.flying or h.releasing}
        elif moved:
            self._turn(tenure, State.CLEARING)

    def leased(self, now: float, until: float, index: int) -> None:
        """The lease is proven until `until`: the leader answered a call that was sent a lease before that, when its
        log went to the entry `index` (committed or not). Counts once the ledger has got there."""
        if index <= self._index:
            self._prove(now, until)
        else:
            self._promises = [p for p in self._promises if p[1] > now][-8:] + [(index, until)]

    def _prove(self, now: float, until: float) -> None:
        lapsed = now >= self.until
        self.until = max(self.until, until)
        if lapsed and now < self.until:
            self._touched.update(self.tenures)

    def nodes(self, now: float, nodes: Mapping[str, Node]) -> None:
        """The platform's list, whole."""
        before = self._nodes
        self._nodes = dict(nodes)
        changed = bool(before.keys() ^ nodes.keys())
        for id in before.keys() - nodes.keys():
            if now - self._listed.pop(id) >= LISTED_LEAST:
                self._gone.add(id)
        self._taken = {}
        for id, node in nodes.items():
            self._listed.setdefault(id, now)
            self._taken[node.address] = self._taken.get(node.address, 0) + 1
            self._gone.discard(id)
            if self._known.get(id, node.address) != node.address or now - self._dead.get(id, now) > DEAD_MOST:
                self._dead.pop(id, None)
                self._refused.pop(id, None)
                changed = True
            self._known[id] = node.address
        if changed:
            self._touched.update(self.tenures)
            if len(self._known) > 4 * len(nodes) + 64:
                named = {id for x in self.tenures.values() for id in x.holders} | nodes.keys()
                self._known = {id: address for id, address in self._known.items() if id in named}
                self._gone &= named
                self._dead = {id: at for id, at in self._dead.items() if id in named}

    def answered(
        self, now: float, order: Grant | Release, status: int | str | None, handover: str | None = None
    ) -> None:
        """How a call ended: its HTTP status, REFUSED, UNSENT, or None for no answer (then its connection is reset)."""
        self._heard(now, order, status)
        held = self._calls.pop(order, [])
        self._touched.update((x.service, x.slice) for x, _ in held)
        if isinstance(order, Release):
            for x, holder in held:
                self._released(now, x, holder, order, status, handover)
            return
        pause = self._pause(max((x.tries for x, _ in held), default=0))
        due = now + self.pace.renew * (1 - SPREAD * self._random.random())
        for x, holder in held:
            self._granted(now, x, holder, order, status, due, pause)

    def _heard(self, now: float, order: Grant | Release, status: int | str | None) -> None:
        """Whether a node's process is gone by what its port says."""
        id = order.node
        if status == REFUSED and self._known.get(id) == order.address:
            if now - self._refused.setdefault(id, now) >= REFUSED_SPAN and id not in self._dead:
                self._dead[id] = now
                self._touched.update(key for key, x in self.tenures.items() if id in x.holders)
        elif isinstance(status, int):
            self._refused.pop(id, None)

    def _granted(
        self, now: float, x: Tenure, holder: Holder, order: Grant, status: int | str | None, due: float, pause: float
    ) -> None:
        holder.flying -= 1
        if status is None:
            holder.quiet = max(holder.quiet, now + self.pace.slack)
            holder.until = max(holder.until, now + self.pace.slack + order.hold * SLOW)
        elif status in (400, 409):
            # No proof that it was not taken: nodes name no call in their answers, so on a connection that is used again
            # this may be an earlier call's answer, come late, and the grant may be on its way.
            holder.until = max(holder.until, now + self.pace.slack + order.hold * SLOW)
        elif status not in (REFUSED, UNSENT):
            holder.until = max(holder.until, now + order.hold * SLOW)
        if x.owner != order.node or x.fence != order.fence:
            return
        if status == 200:
            holder.sure, x.tries, x.due = True, 0, due
            if x.state is State.GRANTING:
                x.granted_at = now
                self._turn(x, State.GRANTED)
        elif status == 409:
            if x.state in _FOLLOWS[State.OUTBID]:
                x.told = -math.inf
                self._turn(x, State.OUTBID)
        else:
            x.tries, x.due = x.tries + 1, now + pause

    def _released(
        self, now: float, x: Tenure, holder: Holder, order: Release, status: int | str | None, handover: str | None
    ) -> None:
        holder.releasing = False
        if status == 200 and holder.flying == 0:
            holder.until = -math.inf
            if x.state is State.CLEARING and x.fence == order.fence and handover:
                # The last that surely held the keys; without such, the one that was open before all others.
                weight = 3 if holder.sure else 2 if x.foreign[:1] == [order.node] else 1
                if weight > x.weight:
                    x.handover, x.weight = handover, weight
        else:
            holder.tries += 1
            holder.again = now + self._pause(holder.tries - 1)

    def _pause(self, tries: int) -> float:
        return min(PAUSE_MOST, PAUSE * 2 ** min(tries, 8)) * (1 - SPREAD * self._random.random())

    # --- states ---

    @staticmethod
    def _turn(x: Tenure, state: State) -> None:
        """The one place where a slice changes its state."""
        if state in _FOLLOWS and x.state not in _FOLLOWS[state]:
            raise AssertionError(f"slice {x.service} {x.slice} goes from {x.state.name} to {state.name}")
        x.state = state

    # --- what follows ---

    def tick(self, now: float) -> None:
        """Work out what is due and add it to `orders`."""
        while self._heap and self._heap[0][0] <= now:
            _, *key = heapq.heappop(self._heap)
            self._touched.add((key[0], key[1]))
        if not self._touched:
            return
        keys, self._touched = sorted(self._touched), set()
        releases: list[tuple[Tenure, str]] = []
        grants: list[Tenure] = []
        tell: list[Tenure] = []
        for key in keys:
            x = self.tenures.get(key)
            if x is not None:
                self._step(now, x, releases, grants, tell)
        if now < self.until:
            self._release(now, releases)
            self._grant(now, grants)
            self._tell(now, tell)
        for key in keys:
            x = self.tenures.get(key)
            if x is not None:
                self._later(now, x)

    def _cleared(self, now: float, id: str, holder: Holder) -> bool:
        if id in self._dead:
            return True
        if id in self._gone and not self._taken.get(self._known[id]):
            return True  # where another has its address, a late renewal may have reached that one
        return holder.flying == 0 and holder.until <= now

    def _usable(self, id: str) -> bool:
        node = self._nodes.get(id)
        return node is not None and id not in self._dead and self._taken[node.address] == 1

    def _step(
        self, now: float, x: Tenure, releases: list[tuple[Tenure, str]], grants: list[Tenure], tell: list[Tenure]
    ) -> None:
        """What a slice wants now."""
        if x.state is State.CLEARING:
            held = [(id, h) for id in x.foreign if not self._cleared(now, id, h := x.holders[id])]
            releases += [(x, id) for id, h in held if self._may_release(now, id, h)]
            if not held:
                self._turn(x, State.GRANTING)
        if x.state in (State.GRANTING, State.GRANTED, State.OPEN):
            mine = x.holders[x.owner]
            if x.due <= now and mine.flying == 0 and not mine.releasing and self._usable(x.owner):
                grants.append(x)
        if x.state in (State.GRANTED, State.OUTBID) and now >= x.told + PROPOSE_AGAIN:
            tell.append(x)

    def _may_release(self, now: float, id: str, h: Holder) -> bool:
        return h.flying == 0 and not h.releasing and h.quiet <= now and h.again <= now and id in self._known

    def _later(self, now: float, x: Tenure) -> None:
        """When to look at a slice again by time alone."""
        times = []
        if x.state is State.CLEARING:
            for id in x.foreign:
                h = x.holders[id]
                times += [h.until, h.quiet, h.again] if h.flying == 0 else []
        elif x.state is not State.EMPTY:
            if x.state is not State.OUTBID and self._usable(x.owner) and x.holders[x.owner].flying == 0:
                times.append(x.due)
            if x.state in (State.GRANTED, State.OUTBID):
                times += [x.told + PROPOSE_AGAIN, x.granted_at + GATHER]
        at = min((t for t in times if t > now), default=math.inf)
        if at < math.inf and not now < x.wake <= at:
            x.wake = at
            heapq.heappush(self._heap, (at, x.service, x.slice))

    def _release(self, now: float, wanted: list[tuple[Tenure, str]]) -> None:
        """Releases of neighbours as one, where old holder, new owner and fence are the same."""
        runs: list[tuple[str, list[Tenure]]] = []
        for x, id in sorted(wanted, key=lambda w: (w[1], w[0].service, w[0].slice)):
            x.holders[id].releasing = True
            last = runs[-1][1][-1] if runs and runs[-1][0] == id else None
            if last and _neighbours(last, x) and last.owner == x.owner and last.fence == x.fence:
                runs[-1][1].append(x)
            else:
                runs.append((id, [x]))
        for id, run in runs:
            order = Release(
                id,
                self._known[id],
                run[0].slice * WIDTH,
                (run[-1].slice + 1) * WIDTH - 1,
                run[0].fence,
                run[0].service,
                tuple(x.slice for x in run),
            )
            self._calls[order] = [(x, x.holders[id]) for x in run]
            self.orders.append(order)

    def _grant(self, now: float, wanted: list[Tenure]) -> None:
        """Grants and renewals of neighbours as one; those not due yet are renewed with a neighbour that is."""
        done: set[tuple[str, int]] = set()
        for x in wanted:
            if (x.service, x.slice) in done:
                continue
            run = [x]
            for step in (-1, 1):
                k = x.slice + step
                while (y := self.tenures.get((x.service, k))) is not None and self._joins(now, x, y):
                    run.append(y)
                    k += step
            run.sort(key=lambda y: y.slice)
            done.update((y.service, y.slice) for y in run)
            for y in run:
                y.holders[y.owner].flying += 1
            handover = x.handover if x.state is State.GRANTING else None
            order = Grant(
                x.owner,
                self._known[x.owner],
                run[0].slice * WIDTH,
                (run[-1].slice + 1) * WIDTH - 1,
                x.fence,
                self.pace.hold,
                handover,
                x.service,
                tuple(y.slice for y in run),
                self.until,
            )
            self._calls[order] = [(y, y.holders[y.owner]) for y in run]
            self.orders.append(order)

    def _joins(self, now: float, x: Tenure, y: Tenure) -> bool:
        if y.owner != x.owner or y.fence != x.fence or y.owner not in y.holders:
            return False
        if y.holders[y.owner].flying or y.holders[y.owner].releasing:
            return False
        if x.state is State.GRANTING:
            return y.state is State.GRANTING and y.handover == x.handover and y.due <= now
        return y.state in (State.GRANTED, State.OPEN)

    def _tell(self, now: float, wanted: list[Tenure]) -> None:
        """Propose that lines be opened, and new fences where a node has seen a higher one."""
        by_fence: dict[int, list[Tenure]] = {x.fence: [] for x in wanted if x.state is State.GRANTED}
        waiting: set[int] = set()  # fences of which more answers may come any moment
        for x in self.tenures.values() if by_fence else ():
            if x.fence in by_fence:
                if x.state is State.GRANTED and now >= x.told + PROPOSE_AGAIN:
                    by_fence[x.fence].append(x)
                elif x.state is State.GRANTING:
                    waiting.add(x.fence)
        for fence, found in by_fence.items():
            if fence in waiting and now < min(x.granted_at for x in found) + GATHER:
                continue
            slices: dict[str, list[int]] = {}
            for x in found:
                x.told = now
                slices.setdefault(x.service, []).append(x.slice)
            self.orders.append(
                Propose(
                    {
                        "do": "granted",
                        "by": self.me,
                        "fence": fence,
                        "slices": {service: ranges(ks) for service, ks in slices.items()},
                    }
                )
            )
        again: list[list] = []
        for x in wanted:
            if x.state is State.OUTBID:
                x.told = now
                if (
                    again
                    and again[-1][0] == x.service
                    and again[-1][2] == x.slice - 1
                    and again[-1][3:] == [x.fence, x.owner]
                ):
                    again[-1][2] = x.slice
                else:
                    again.append([x.service, x.slice, x.slice, x.fence, x.owner])
        if again:
            self.orders.append(Propose({"do": "move", "by": self.me, "moves": again, "outbid": True}))

    # --- to be seen ---

    def dead(self, id: str) -> bool:
        """Whether a node that the list may still have is known to be gone by its port: for placement."""
        return id in self._dead

    def explain(self, now: float) -> list[dict]:
        """Slices as runs of neighbours alike: state, owner, fence and who else may hold them for how many seconds."""
        rows: list[dict] = []
        for (service, k), x in sorted(self.tenures.items()):
            held = {
                id: round(x.holders[id].until - now, 1)
                for id in x.foreign
                if x.state is State.CLEARING and not self._cleared(now, id, x.holders[id])
            }
            row = {"service": service, "state": x.state.value, "owner": x.owner, "fence": x.fence, "held": held}
            if rows and rows[-1]["last"] == k - 1 and all(rows[-1][name] == value for name, value in row.items()):
                rows[-1]["last"] = k
            else:
                rows.append({"first": k, "last": k, **row})
        return rows


def _neighbours(x: Tenure, y: Tenure) -> bool:
    return x.service == y.service and x.slice + 1 == y.slice
