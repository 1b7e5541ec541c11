"""Scripted simulation of several conductors that share servers; computes rates rather than individual RPCs.

Knows what no single conductor sees: the total load of each server, and which cold servers fail under it. Each conductor
receives its own server list with its own delay, and reports on its own slices only. It uses no code of the policy.
"""

import heapq
from collections.abc import Callable, Iterable
from random import Random

from knotwalk.decide import Conductor
from knotwalk.interface import Method, Settings
from knotwalk.order_log import OrderLog
from knotwalk.rules import Limits, RuleChecker

ZONES = ("east", "west")
LEASE_DELAY_S = 2.5  # seconds until the slices of a lost conductor are reassigned
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
    """A server: `power` is its capacity when warm, in RPCs per second."""

    def __init__(self, id: str, zone: str, power: float):
        self.id, self.zone, self.power = id, zone, power
        self.state, self.started, self.up = "ready", 0.0, True
        self.over_since: float | None = None

    def capacity(self, now: float) -> float:
        age = min(1.0, (now - self.started) / SETTINGS.cold_time) if self.started else 1.0
        return self.power * (SETTINGS.cold_share + (1 - SETTINGS.cold_share) * age) if self.up else 0.0

    def entry(self) -> tuple:
        return (self.id, self.zone, self.state, 4.0, self.started)


class Seat:
    """A conductor with its slices and proxies."""

    def __init__(self, place: int, module: Conductor, rules: RuleChecker, lag: float, proxies: list[int]):
        self.place, self.module, self.rules, self.lag, self.proxies = place, module, rules, lag, proxies
        self.up, self.slices, self.free = True, set[int](), 0.0
        self.rounds: list[tuple] = []  # (now, inbox, orders)


class Fleet:
    """`parts` conductors over shared servers. `script` is a list of (time, name of a method below, arguments)."""

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
        lines_per_proxy: float = 175.0,
        make: Callable = Conductor,
        keep: bool = False,
    ):
        self.random, self.now, self.keep = Random(seed), 1000.0, keep
        self.heap: list[tuple] = []
        self.count = 0
        self.settings = SETTINGS._replace(
            slices=slices, controllers=parts, lines_waiting_most=lines_per_proxy * proxies, lines_rate=120.0 * proxies
        )
        rng = self.random
        self.machines = {f"s{k}": Machine(f"s{k}", ZONES[k % 2], rng.uniform(15, 30)) for k in range(servers)}
        weights = [rng.paretovariate(2.5) for _ in range(slices)]
        total = load * sum(server.power for server in self.machines.values())
        self.demand = [total * weight / sum(weights) for weight in weights]
        names = list(self.machines)
        # `store` has the lines as ordered by the conductors, `tables` as applied by the proxies.
        self.store: list[dict[str, float]] = [{rng.choice(names): 1.0} for _ in range(slices)]
        self.tables = [dict(lines) for lines in self.store]
        self.shut: set[tuple[int, str]] = set()  # (conductor, server) pairs withdrawn
        self.level = [1.0] * slices
        self.fallen: list[tuple[float, str]] = []  # cold servers that failed under load
        self.served: list[tuple[float, float]] = []  # (time, share of the demand served), every half second
        self.seats: list[Seat] = []
        for k in range(parts):
            settings = self.settings._replace(place=k)
            self.seats.append(
                Seat(
                    k,
                    make(settings, seed * 100 + k),
                    RuleChecker(settings, LIMITS),
                    lag * rng.uniform(0.3, 3),
                    list(range(k, proxies, parts)),
                )
            )
        for at, name, *arguments in script:
            self.at(self.now + at, lambda name=name, arguments=arguments: getattr(self, name)(*arguments))
        for seat in self.seats:
            # Every proxy has a stream to every conductor, through the relay.
            inbox = [("listed", (True, False, [server.entry() for server in self.machines.values()]))]
            inbox += [("joined", (p,)) for p in range(proxies)]
            self.proxies = proxies
            self.round(seat, inbox + self.assign(seat, range(seat.place, slices, parts)))
            self.at(self.now + 2.0 + rng.uniform(0, 0.1), lambda seat=seat: self.report(seat))
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

    def assign(self, seat: Seat, slices: Iterable[int]) -> list:
        inbox: list[tuple] = []
        for k in slices:
            seat.slices.add(k)
            inbox.append(("given", (k,)))
            inbox += [("held", (k, server, weight)) for server, weight in self.store[k].items()]
        return inbox

    def round(self, seat: Seat, inbox: list) -> None:
        if not seat.up:
            return
        order_log, now = OrderLog(), self.now
        seat.module.decide(now, inbox, order_log)
        seat.rules.feed(now, inbox, order_log.orders)
        if self.keep:
            seat.rounds.append((now, inbox, order_log.orders))
        updates, mark = [], None
        for name, fields in order_log.orders:
            if name == "line":
                self.store[fields[0]].pop(fields[1], None)
                if fields[2]:
                    self.store[fields[0]][fields[1]] = fields[2]
                updates.append(("line", fields))
            elif name in ("withdraw", "admit"):
                updates.append((name, fields))
            elif name == "receipt":
                mark = fields[0]
            elif name == "wake":
                self.at(max(fields[0], now), lambda: self.round(seat, []))
        if mark is not None:
            seat.free = max(seat.free, now) + self.settings.message_delay * self.random.uniform(0.7, 1.4)
            self.at(seat.free, lambda: self.apply_message(seat, updates, mark))

    def apply_message(self, seat: Seat, updates: list, mark: int) -> None:
        for name, fields in updates:
            if name == "line":
                self.tables[fields[0]].pop(fields[1], None)
                if fields[2]:
                    self.tables[fields[0]][fields[1]] = fields[2]
            elif name == "withdraw":
                (self.shut.add if fields[1] else self.shut.discard)((seat.place, fields[0]))
            elif fields[0] is not None:
                self.level[fields[0]] = fields[2]
        self.round(seat, [("applied", (p, mark)) for p in range(self.proxies)])

    def sent(self) -> dict[str, dict[int, float]]:
        """Returns the rate of RPCs per second by server and conductor."""
        out: dict[str, dict[int, float]] = {server: {} for server in self.machines}
        for seat in self.seats:
            for k in seat.slices:
                lines = {
                    server: weight for server, weight in self.tables[k].items() if (seat.place, server) not in self.shut
                }
                for server, weight in lines.items():
                    part = self.demand[k] * self.level[k] * weight / sum(lines.values())
                    out[server][seat.place] = out[server].get(seat.place, 0.0) + part
        return out

    def report(self, seat: Seat) -> None:
        """Reports the last period to a conductor: the servers that its slices use, and the demand of its slices."""
        rng, inbox = self.random, []
        for id, by_conductor in self.sent().items():
            server, own_rate = self.machines[id], by_conductor.get(seat.place, 0.0)
            if own_rate and (tries := round(2.0 * own_rate)):
                demanded, capacity = sum(by_conductor.values()), server.capacity(self.now)
                good = min(1.0, capacity / demanded)
                load = (
                    {
                        "utilization": round(min(1.0, demanded / capacity * rng.uniform(0.85, 1.15)), 3),
                        "qps": round(min(demanded, capacity) * rng.uniform(0.9, 1.1), 2),
                    }
                    if capacity
                    else {}
                )
                aborted = round(tries * (1 - good))
                latency = 0.1 / max(0.05, 1 - min(0.95, demanded / capacity)) if capacity else 0.0
                inbox.append(
                    ("heard", (id, server.zone, 2.0, tries, aborted, latency if aborted < tries else 0.0, load))
                )
        for k in sorted(seat.slices):
            inbox.append(("wanted", (k, 0, 2.0, round(2.0 * self.demand[k] * rng.uniform(0.9, 1.1)))))
        self.at(self.now + rng.uniform(0.3, 1.0), lambda: self.round(seat, inbox))
        self.at(self.now + 2.0, lambda: self.report(seat))

    def judge(self) -> None:
        """Checks rule 4 (no cold server fails under load) on the total load, and records the share of demand served."""
        sent, served_rate = self.sent(), 0.0
        for id, by_conductor in sent.items():
            server, demanded = self.machines[id], sum(by_conductor.values())
            capacity = server.capacity(self.now)
            served_rate += min(demanded, capacity)
            if (
                server.up
                and server.started
                and self.now - server.started < SETTINGS.cold_time
                and demanded > LIMITS.tip_multiple * capacity
            ):
                server.over_since = self.now if server.over_since is None else server.over_since
                if self.now - server.over_since >= LIMITS.fall_time:
                    self.fallen.append((self.now, id))
                    server.up = False
            else:
                server.over_since = None
        self.served.append((self.now, served_rate / sum(self.demand)))
        self.at(self.now + 0.5, self.judge)

    def part(self, since: float, until: float) -> float:
        """Returns the mean share of demand served between two times, in seconds from the start."""
        shares = [part for at, part in self.served if since <= at - 1000.0 < until]
        return sum(shares) / len(shares)

    def breaks(self) -> list[tuple]:
        """Returns the certain violations found by the rule checkers of all conductors."""
        return [(seat.place, *b) for seat in self.seats for b in seat.rules.violations if b.sure]

    # --- actions of scripts ---

    def send_list(self, servers: Iterable[str]) -> None:
        """Sends the current state of these servers to each conductor, after its own lag."""
        entries = [self.machines[server].entry() for server in servers]
        for seat in self.seats:
            self.at(self.now + seat.lag, lambda seat=seat: self.round(seat, [("listed", (False, False, entries))]))

    def drain(self, servers: list[str]) -> None:
        for server in servers:
            self.machines[server].state = "draining"
        self.send_list(servers)

    def die(self, servers: list[str]) -> None:
        for server in servers:
            self.machines[server].up, self.machines[server].state = False, "gone"
        self.send_list(servers)

    def come(self, servers: list[str], times: float = 1.0) -> None:
        """Restarts these servers, cold; their capacity is multiplied by `times`."""
        for server in servers:
            machine = self.machines[server]
            machine.up, machine.state, machine.started, machine.power = True, "ready", self.now, machine.power * times
        self.send_list(servers)

    def heat(self, slice_id: int, times: float) -> None:
        self.demand[slice_id] *= times

    def lose(self, place: int) -> None:
        """Removes a conductor permanently; its slices are distributed over the others."""
        lost = self.seats[place]
        lost.up = False
        slices, lost.slices = sorted(lost.slices), set()
        left = [seat for seat in self.seats if seat.up]
        parts = {seat.place: slices[k :: len(left)] for k, seat in enumerate(left)}
        # Until then its tables stay in force, and their load counts for the later owners.
        for seat in left:
            seat.slices.update(parts[seat.place])

        def pass_on() -> None:
            for seat in left:
                self.round(seat, self.assign(seat, parts[seat.place]))

        self.at(self.now + LEASE_DELAY_S, pass_on)

    def list_whole(self, place: int, without: list[str]) -> None:
        """Sends one conductor a full server list that lacks some servers."""
        entries = [server.entry() for server in self.machines.values() if server.id not in without]
        self.round(self.seats[place], [("listed", (True, False, entries))])
