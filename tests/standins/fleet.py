"""A scripted fleet: several conductors at once over one set of servers, as sums and not RPC by RPC; simulated.

Owns the truth that no conductor sees: what all of them together send to a server, and which cold one falls over. Each
conductor hears by its own list, late by its own lag, and of its own slices alone. It uses nothing of the policy.
"""

import heapq
from collections.abc import Callable, Iterable
from random import Random

from knotwalk.decide import Conductor
from knotwalk.interface import Method, Settings
from knotwalk.order_log import OrderLog
from knotwalk.rules import Limits, RuleChecker

ZONES = ("east", "west")
LEASE_LATE = 2.5  # seconds until a lost conductor's slices are the others'
SETTINGS = Settings(
    methods=(Method(soft_deadline=1.0, criticality=1.0),),
    slices=0,
    one_owner=False,
    asked_list=False,
    retry_default=1,
    admits=True,
    report_period=2.0,
    message_delay=0.28,
    lines_waiting_most=0,
    lines_per_message=16.0,
    lines_rate=0,
    messages_most=12,
    messages_span=10.0,
    dropped_stay_open=False,
    cold_share=0.15,
    cold_time=15.0,
)
LIMITS = Limits(unserved_most=8.0, grace=4.0, tip_multiple=3.0, fall_time=3.0)


class Machine:
    """A server: what it can do, in RPCs a second, and since when."""

    def __init__(self, id: str, zone: str, power: float):
        self.id, self.zone, self.power = id, zone, power
        self.state, self.started, self.up = "ready", 0.0, True
        self.over_since: float | None = None

    def can(self, now: float) -> float:
        age = min(1.0, (now - self.started) / SETTINGS.cold_time) if self.started else 1.0
        return self.power * (SETTINGS.cold_share + (1 - SETTINGS.cold_share) * age) if self.up else 0.0

    def entry(self) -> tuple:
        return (self.id, self.zone, self.state, 4.0, self.started)


class Seat:
    """A conductor and what is in its charge."""

    def __init__(self, place: int, module: Conductor, rules: RuleChecker, lag: float, proxies: list[int]):
        self.place, self.module, self.rules, self.lag, self.proxies = place, module, rules, lag, proxies
        self.up, self.slices, self.free = True, set[int](), 0.0
        self.rounds: list[tuple] = []  # (now, inbox, orders)


class Fleet:
    """Five conductors as a rule. `script` is a list of (time, name of a method below, arguments)."""

    def __init__(
        self,
        seed: int,
        servers: int,
        proxies: int,
        slices: int,
        parts: int = 5,
        load: float = 0.45,
        script: Iterable = (),
        lag: float = 0.4,
        room: float = 175.0,
        make: Callable = Conductor,
        keep: bool = False,
    ):
        self.random, self.now, self.keep = Random(seed), 1000.0, keep
        self.heap: list[tuple] = []
        self.count = 0
        self.settings = SETTINGS._replace(
            slices=slices, controllers=parts, lines_waiting_most=room * proxies, lines_rate=120.0 * proxies
        )
        r = self.random
        self.machines = {f"s{k}": Machine(f"s{k}", ZONES[k % 2], r.uniform(15, 30)) for k in range(servers)}
        weights = [r.paretovariate(2.5) for _ in range(slices)]
        total = load * sum(x.power for x in self.machines.values())
        self.demand = [total * w / sum(weights) for w in weights]
        names = list(self.machines)
        self.store: list[dict[str, float]] = [{r.choice(names): 1.0} for _ in range(slices)]  # as ordered
        self.tables = [dict(lines) for lines in self.store]  # as the proxies have it
        self.shut: set[tuple[int, str]] = set()  # by conductor and server
        self.level = [1.0] * slices
        self.fallen: list[tuple[float, str]] = []  # cold servers that fell over
        self.served: list[tuple[float, float]] = []  # (time, part of the demand), each half second
        self.seats: list[Seat] = []
        for k in range(parts):
            settings = self.settings._replace(place=k)
            self.seats.append(
                Seat(
                    k,
                    make(settings, seed * 100 + k),
                    RuleChecker(settings, LIMITS),
                    lag * r.uniform(0.3, 3),
                    list(range(k, proxies, parts)),
                )
            )
        for at, name, *arguments in script:
            self.at(self.now + at, lambda name=name, arguments=arguments: getattr(self, name)(*arguments))
        for seat in self.seats:
            # Every proxy holds a stream to every conductor, as the relay has it.
            inbox = [("listed", (True, False, [x.entry() for x in self.machines.values()]))]
            inbox += [("joined", (p,)) for p in range(proxies)]
            self.proxies = proxies
            self.round(seat, inbox + self.given(seat, range(seat.place, slices, parts)))
            self.at(self.now + 2.0 + r.uniform(0, 0.1), lambda seat=seat: self.report(seat))
        self.at(self.now + 0.5, self.judge)

    def at(self, when: float, call: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.heap, (when, self.count, call))

    def run(self, seconds: float) -> "Fleet":
        end = self.now + seconds
        while self.heap and self.heap[0][0] <= end:
            self.now, _, call = heapq.heappop(self.heap)
            call()
        self.now = end
        return self

    def given(self, seat: Seat, slices: Iterable[int]) -> list:
        inbox: list[tuple] = []
        for k in slices:
            seat.slices.add(k)
            inbox.append(("given", (k,)))
            inbox += [("held", (k, server, weight)) for server, weight in self.store[k].items()]
        return inbox

    def round(self, seat: Seat, inbox: list) -> None:
        if not seat.up:
            return
        tape, now = OrderLog(), self.now
        seat.module.decide(now, inbox, tape)
        seat.rules.feed(now, inbox, tape.orders)
        if self.keep:
            seat.rounds.append((now, inbox, tape.orders))
        told, mark = [], None
        for name, f in tape.orders:
            if name == "line":
                self.store[f[0]].pop(f[1], None)
                if f[2]:
                    self.store[f[0]][f[1]] = f[2]
                told.append(("line", f))
            elif name in ("withdraw", "admit"):
                told.append((name, f))
            elif name == "receipt":
                mark = f[0]
            elif name == "wake":
                self.at(max(f[0], now), lambda: self.round(seat, []))
        if mark is not None:
            seat.free = max(seat.free, now) + self.settings.message_delay * self.random.uniform(0.7, 1.4)
            self.at(seat.free, lambda: self.take_in(seat, told, mark))

    def take_in(self, seat: Seat, told: list, mark: int) -> None:
        for name, f in told:
            if name == "line":
                self.tables[f[0]].pop(f[1], None)
                if f[2]:
                    self.tables[f[0]][f[1]] = f[2]
            elif name == "withdraw":
                (self.shut.add if f[1] else self.shut.discard)((seat.place, f[0]))
            elif f[0] is not None:
                self.level[f[0]] = f[2]
        self.round(seat, [("applied", (p, mark)) for p in range(self.proxies)])

    def sent(self) -> dict[str, dict[int, float]]:
        """RPCs a second by server and conductor."""
        out: dict[str, dict[int, float]] = {x: {} for x in self.machines}
        for seat in self.seats:
            for k in seat.slices:
                lines = {x: w for x, w in self.tables[k].items() if (seat.place, x) not in self.shut}
                for x, w in lines.items():
                    part = self.demand[k] * self.level[k] * w / sum(lines.values())
                    out[x][seat.place] = out[x].get(seat.place, 0.0) + part
        return out

    def report(self, seat: Seat) -> None:
        """What a conductor hears of the last period: each server that its slices are on, and its slices."""
        r, inbox = self.random, []
        for id, by in self.sent().items():
            x, mine = self.machines[id], by.get(seat.place, 0.0)
            if mine and (tries := round(2.0 * mine)):
                asked, can = sum(by.values()), x.can(self.now)
                good = min(1.0, can / asked)
                load = (
                    {
                        "utilization": round(min(1.0, asked / can * r.uniform(0.85, 1.15)), 3),
                        "qps": round(min(asked, can) * r.uniform(0.9, 1.1), 2),
                    }
                    if can
                    else {}
                )
                aborted = round(tries * (1 - good))
                latency = 0.1 / max(0.05, 1 - min(0.95, asked / can)) if can else 0.0
                inbox.append(("heard", (id, x.zone, 2.0, tries, aborted, latency if aborted < tries else 0.0, load)))
        for k in sorted(seat.slices):
            inbox.append(("wanted", (k, 0, 2.0, round(2.0 * self.demand[k] * r.uniform(0.9, 1.1)))))
        self.at(self.now + r.uniform(0.3, 1.0), lambda: self.round(seat, inbox))
        self.at(self.now + 2.0, lambda: self.report(seat))

    def judge(self) -> None:
        """Rule 4 by the truth, and what is served."""
        sent, done = self.sent(), 0.0
        for id, by in sent.items():
            x, asked = self.machines[id], sum(by.values())
            can = x.can(self.now)
            done += min(asked, can)
            if x.up and x.started and self.now - x.started < SETTINGS.cold_time and asked > LIMITS.tip_multiple * can:
                x.over_since = self.now if x.over_since is None else x.over_since
                if self.now - x.over_since >= LIMITS.fall_time:
                    self.fallen.append((self.now, id))
                    x.up = False
            else:
                x.over_since = None
        self.served.append((self.now, done / sum(self.demand)))
        self.at(self.now + 0.5, self.judge)

    def part(self, since: float, until: float) -> float:
        """The mean part served, in seconds from the start."""
        of = [part for at, part in self.served if since <= at - 1000.0 < until]
        return sum(of) / len(of)

    def breaks(self) -> list[tuple]:
        """What the checker is sure of, over all conductors."""
        return [(seat.place, *b) for seat in self.seats for b in seat.rules.violations if b.sure]

    # --- what the script may say ---

    def tell(self, servers: Iterable[str]) -> None:
        """Each conductor hears how these stand now, by its own lag."""
        entries = [self.machines[x].entry() for x in servers]
        for seat in self.seats:
            self.at(self.now + seat.lag, lambda seat=seat: self.round(seat, [("listed", (False, False, entries))]))

    def drain(self, servers: list[str]) -> None:
        for x in servers:
            self.machines[x].state = "draining"
        self.tell(servers)

    def die(self, servers: list[str]) -> None:
        for x in servers:
            self.machines[x].up, self.machines[x].state = False, "gone"
        self.tell(servers)

    def come(self, servers: list[str], times: float = 1.0) -> None:
        """They start anew, cold; `times` as fast as before."""
        for x in servers:
            m = self.machines[x]
            m.up, m.state, m.started, m.power = True, "ready", self.now, m.power * times
        self.tell(servers)

    def heat(self, slice_id: int, times: float) -> None:
        self.demand[slice_id] *= times

    def lose(self, place: int) -> None:
        """A conductor is gone for good; the others get its slices, in turn."""
        lost = self.seats[place]
        lost.up = False
        slices, lost.slices = sorted(lost.slices), set()
        left = [seat for seat in self.seats if seat.up]
        parts = {seat.place: slices[k :: len(left)] for k, seat in enumerate(left)}
        # Until then its tables stand, and count for who will have them.
        for seat in left:
            seat.slices.update(parts[seat.place])

        def pass_on() -> None:
            for seat in left:
                self.round(seat, self.given(seat, parts[seat.place]))

        self.at(self.now + LEASE_LATE, pass_on)

    def list_whole(self, place: int, without: list[str]) -> None:
        """One conductor's list is told whole, and lacks some."""
        entries = [x.entry() for x in self.machines.values() if x.id not in without]
        self.round(self.seats[place], [("listed", (True, False, entries))])
