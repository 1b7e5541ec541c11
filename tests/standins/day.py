"""Seeded simulation of servers, proxies and individual RPCs around one policy module, without sockets or real time.

Knows which RPCs were served in time, with which a replay may be compared. It follows the contract of interface.py and
gives the module only information that a real conductor receives.
"""

import heapq
from bisect import bisect
from collections import Counter
from collections.abc import Callable
from itertools import accumulate
from random import Random
from typing import NamedTuple

from knotwalk.decide import Conductor
from knotwalk.interface import Method, Settings
from knotwalk.order_log import OrderLog

METHODS = (Method(soft_deadline=1.5, criticality=3.0), Method(soft_deadline=1.0, criticality=9.0))
# By method: work in core seconds, share of RPCs, deadline.
WORK_S, SHARE, DEADLINE_S = (0.26, 0.15), (0.55, 0.45), (5.0, 2.5)
ZONES = ("east", "west")
LIST_DELAY_S = 2.0  # seconds until the server list reports a crash (half of it: a start)
INTERVAL_S = 10.0  # seconds per interval of the service statistics
MAX_WAIT_S = 8.0  # queueing time in seconds above which a server rejects RPCs: bounds its queue
LEASE_DELAY_S = 1.0  # seconds until a restarted conductor has its proxies and slices again


class Size(NamedTuple):
    """Size of a simulated day."""

    servers: int = 10
    proxies: int = 20
    slices: int = 60  # assigned to this conductor
    rate: float = 90.0  # RPCs per second to these slices
    parts: int = 1  # conductors that share the servers; the others cause an even background load


def settings_of(size: Size, **changes: object) -> Settings:
    return Settings(
        methods=METHODS,
        slices=size.slices * size.parts,
        one_owner=False,
        asked_list=False,
        retry_default=1,
        admits=True,
        report_period=2.0,
        message_delay=0.2,
        lines_waiting_most=20000.0,
        lines_per_message=16.0,
        lines_rate=14000.0,
        messages_most=12,
        messages_span=10.0,
        dropped_stay_open=False,
        cold_share=0.25,
        cold_time=8.0,
    )._replace(**changes)


class Machine:
    """A server."""

    def __init__(self, id: str, zone: str, cores: int, speed: float, started: float = 0.0):
        self.id, self.zone, self.cores, self.speed, self.started = id, zone, cores, speed, started
        self.slow = 1.0  # divisor of its speed
        self.alive, self.state = True, "ready"
        self.free = [0.0] * cores  # by core: when its queued work is done
        self.busy = 0.0  # core seconds of work accepted in this report period, with the queue left from the last
        # By zone: attempts, aborted attempts, total latency of the successful ones in seconds.
        self.zone_stats: dict[str, list] = {}

    def entry(self) -> tuple:
        return (self.id, self.zone, self.state, float(self.cores), self.started)


class Edge:
    """A proxy."""

    def __init__(self, id: int, zone: str, slices: int):
        self.id, self.zone = id, zone
        self.lines: list[tuple] = [()] * slices  # by slice: (servers, cumulative weights)
        self.levels: dict[tuple, float] = {}
        self.joined = True
        self.free = 0.0  # when the last message in transit is applied


class Day:
    """One simulated day.

    `script` is a list of (time, name of a method below, arguments). `witness` is called with (now, inbox, orders,
    module) after each round, `lives` with (now, module, settings, seed) at the start of each incarnation.
    """

    def __init__(
        self,
        seed: int,
        size: Size = Size(),
        settings: Settings | None = None,
        script: list = (),
        make: Callable = Conductor,
        witness: Callable | None = None,
        lives: Callable | None = None,
        start: float = 1e6,
    ):
        self.random, self.arrivals, self.size, self.seed = Random(seed), Random(seed + 0.5), size, seed
        self.settings, self.make, self.witness, self.lives = settings or settings_of(size), make, witness, lives
        rng = self.random
        self.machines: dict[str, Machine] = {}
        for k in range(size.servers):
            cores, low, high = rng.choices(((4, 1.1, 1.5), (3, 0.85, 1.1), (3, 0.6, 0.8)), (47, 31, 22))[0]
            self.machines[f"s{k}"] = Machine(f"s{k}", ZONES[k % 2], cores, rng.uniform(low, high))
        self.edges = [Edge(k, ZONES[k % 2], size.slices) for k in range(size.proxies)]
        self.edge_sums = list(accumulate(rng.uniform(0.2, 2) ** 2 for _ in self.edges))
        self.weights = [rng.paretovariate(2.5) for _ in range(size.slices)]
        self.hot: dict[int, float] = {}
        self.now = self.start = start
        self.heap: list[tuple] = []
        self.count = 0
        self.rate = size.rate
        self.requested: Counter = Counter()
        self.since = start
        self.cut: set[str] = set()  # zones that are unreachable from the other zone
        self.store: dict[int, dict[str, float]] = {}
        self.service: dict[int, list] = {}  # by interval: requested and earned value for each method
        self.sum_weights()
        owners = list(self.machines)
        for k in range(size.slices):
            self.store[k] = {owners[rng.randrange(len(owners))]: 1.0}
            for edge in self.edges:
                edge.lines[k] = self.cumulative(self.store[k])
        self.incarnation = 0
        for at, name, *arguments in script:
            self.at(start + at, lambda name=name, arguments=arguments: getattr(self, name)(*arguments))
        self.begin()
        self.at(start + self.settings.report_period, self.report)

    # --- event loop ---

    def at(self, when: float, call: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.heap, (when, self.count, call))

    def sum_weights(self) -> None:
        self.sums = list(accumulate(w * self.hot.get(k, 1.0) for k, w in enumerate(self.weights)))

    @staticmethod
    def cumulative(lines: dict[str, float]) -> tuple:
        return (list(lines), list(accumulate(lines.values()))) if lines else ()

    def round(self, inbox: list) -> None:
        if self.module is None:
            return
        out, now = OrderLog(), self.now
        self.module.decide(now, inbox, out)
        if self.witness:
            self.witness(now, inbox, out.orders, self.module)
        tables: dict[int, tuple] = {}
        levels, mark, incarnation = {}, None, self.incarnation
        for name, fields in out.orders:
            if name == "line":
                self.store[fields[0]].pop(fields[1], None)
                if fields[2]:
                    self.store[fields[0]][fields[1]] = fields[2]
                tables[fields[0]] = self.cumulative(self.store[fields[0]])
            elif name == "admit" and fields[0] is not None:
                levels[fields[0], fields[1]] = fields[2]
            elif name == "receipt":
                mark = fields[0]
            elif name == "wake":
                self.at(max(fields[0], now), lambda: self.incarnation == incarnation and self.round([]))
        if tables or levels or mark is not None:
            delay = self.settings.message_delay
            for edge in self.edges:
                if edge.joined:
                    edge.free = max(edge.free, now + self.random.uniform(0.5, 1.5) * delay)
                    self.at(edge.free, lambda edge=edge: self.apply_message(edge, tables, levels, mark, incarnation))

    def apply_message(self, edge: Edge, tables: dict, levels: dict, mark: int | None, incarnation: int) -> None:
        for slice_id, lines in tables.items():
            edge.lines[slice_id] = lines
        edge.levels.update(levels)
        if mark is not None and edge.joined and incarnation == self.incarnation:
            self.round([("applied", (edge.id, mark))])

    def report(self) -> None:
        """Reports the sums of a period with a delay and begins the next period."""
        now, span = self.now, self.now - self.since
        inbox = []
        for machine in self.machines.values():
            ahead = sum(max(0.0, free - now) for free in machine.free)
            busy = min(1.0, max(0.0, machine.busy - ahead) / (machine.cores * span))
            machine.busy = ahead
            tries = sum(m[0] for m in machine.zone_stats.values())
            load = {"utilization": round(busy, 3), "qps": round(tries * self.size.parts / span, 1)}
            for zone, (tried, aborted, seconds) in machine.zone_stats.items():
                good = tried - aborted
                inbox.append(
                    (
                        "heard",
                        (machine.id, zone, span, tried, aborted, seconds / good if good else 0.0, load if good else {}),
                    )
                )
            machine.zone_stats = {}
        inbox += [("wanted", (k, m, span, n)) for (k, m), n in self.requested.items()]
        self.requested, self.since = Counter(), now
        self.at(now + self.random.uniform(0.24, 1.0), lambda: self.round(inbox))
        self.at(now + self.settings.report_period, self.report)

    def rpc(self, now: float) -> None:
        # Arrivals use a generator of their own, so that days with other settings have the same arrivals.
        draw = self.arrivals.random
        method = 0 if draw() < SHARE[0] else 1
        slice_id = bisect(self.sums, draw() * self.sums[-1])
        edge = self.edges[bisect(self.edge_sums, draw() * self.edge_sums[-1])]
        work, admission_draw, draw = WORK_S[method] * self.arrivals.gammavariate(4, 0.25), draw(), self.random.random
        self.requested[slice_id, method] += 1
        row = self.service.get(int((now - self.start) / INTERVAL_S))
        if row is None:
            row = self.service[int((now - self.start) / INTERVAL_S)] = [0, 0.0, 0, 0.0]
        row[2 * method] += 1
        if admission_draw >= edge.levels.get((slice_id, method), 1.0) or not edge.lines[slice_id]:
            return
        names, sums = edge.lines[slice_id]
        machine = self.machines[names[bisect(sums, draw() * sums[-1]) if len(names) > 1 else 0]]
        stats = machine.zone_stats.get(edge.zone)
        if stats is None:
            stats = machine.zone_stats[edge.zone] = [0, 0, 0.0]
        stats[0] += 1
        if not machine.alive or (edge.zone != machine.zone and (edge.zone in self.cut or machine.zone in self.cut)):
            stats[1] += 1
            return
        age = (now - machine.started) / self.settings.cold_time if machine.started else 1.0
        speed = (
            machine.speed
            / machine.slow
            * (1 if age >= 1 else self.settings.cold_share + (1 - self.settings.cold_share) * age)
        )
        core = min(range(machine.cores), key=machine.free.__getitem__)
        wait = max(0.0, machine.free[core] - now)
        if wait > MAX_WAIT_S:
            stats[1] += 1
            return
        machine.free[core] = now + wait + work / speed * self.size.parts
        machine.busy += work / speed * self.size.parts
        latency = wait + work / speed
        if latency > DEADLINE_S[method]:
            stats[1] += 1
            return
        stats[2] += latency
        row[2 * method + 1] += 1.0 if latency <= METHODS[method].soft_deadline else 0.1

    def run(self, seconds: float) -> "Day":
        """Advances the simulation."""
        end = self.now + seconds
        next_arrival = self.now + self.arrivals.expovariate(self.rate)
        while True:
            event = self.heap[0][0] if self.heap else end
            until = min(event, end)
            while next_arrival < until:
                self.rpc(next_arrival)
                next_arrival += self.arrivals.expovariate(self.rate)
            if event > end:
                self.now = end
                return self
            self.now, _, call = heapq.heappop(self.heap)
            call()

    def earned(self) -> float:
        """Returns the share of requested criticality that was answered in time."""
        worth = [m.criticality for m in METHODS]
        requested = sum(row[0] * worth[0] + row[2] * worth[1] for row in self.service.values())
        return sum(row[1] * worth[0] + row[3] * worth[1] for row in self.service.values()) / requested

    # --- actions of scripts ---

    def begin(self) -> None:
        """Starts an incarnation of the conductor with the lines in the store."""
        self.incarnation += 1
        seed = self.seed + self.incarnation
        self.module = self.make(self.settings, seed)
        if self.lives:
            self.lives(self.now, self.module, self.settings, seed)
        inbox = [("listed", (True, False, [machine.entry() for machine in self.machines.values()]))]
        inbox += [("joined", (edge.id,)) for edge in self.edges if edge.joined]
        for k, lines in self.store.items():
            inbox.append(("given", (k,)))
            inbox += [("held", (k, server, weight)) for server, weight in lines.items()]
        self.round(inbox)

    def restart(self) -> None:
        """Kills the conductor; a new incarnation begins after LEASE_LATE seconds."""
        self.module = None
        self.incarnation += 1
        self.at(self.now + LEASE_DELAY_S, self.begin)

    def reload(self, **changes: object) -> None:
        """Replaces the settings and starts a new incarnation with them."""
        self.settings = self.settings._replace(**changes)
        self.begin()

    def slow_down(self, server: str, times: float) -> None:
        self.machines[server].slow = times

    def die(self, server: str) -> None:
        machine = self.machines[server]
        machine.alive, machine.state = False, "gone"
        self.at(self.now + LIST_DELAY_S, lambda: self.round([("listed", (False, False, [machine.entry()]))]))

    def come(self, server: str) -> None:
        """Starts a server (again), which is cold at first."""
        old = self.machines.get(server)
        machine = Machine(
            server,
            old.zone if old else ZONES[len(self.machines) % 2],
            old.cores if old else 4,
            old.speed if old else 1.2,
            self.now,
        )
        self.machines[server] = machine
        self.at(self.now + LIST_DELAY_S / 2, lambda: self.round([("listed", (False, False, [machine.entry()]))]))

    def drain(self, server: str) -> None:
        machine = self.machines[server]
        machine.state = "draining"
        self.round([("listed", (False, False, [machine.entry()]))])

    def heat(self, slice_id: int, times: float) -> None:
        self.hot[slice_id] = times
        self.sum_weights()

    def burst(self, times: float) -> None:
        self.rate = self.size.rate * times

    def flap(self, proxy: int, seconds: float) -> None:
        """Disconnects a proxy for some seconds."""
        edge = self.edges[proxy]
        edge.joined = False
        self.round([("left", (proxy,))])

        def back() -> None:
            edge.joined = True
            for k, lines in self.store.items():
                edge.lines[k] = self.cumulative(lines)
            self.round([("joined", (proxy,))])

        self.at(self.now + seconds, back)


def storm(seed: int, size: Size, seconds: float, every: float = 25.0) -> list:
    """Returns a script of faults, one about every `every` seconds: slow servers, crashes with restarts, drains, hot
    slices, bursts of traffic, and proxies that disconnect."""
    rng, at, script = Random(seed), 0.0, []
    while (at := at + rng.uniform(0.6, 1.4) * every) < seconds:
        kind, server = rng.randrange(6), f"s{rng.randrange(size.servers)}"
        if kind == 0:
            script += [
                (at, "slow_down", server, rng.uniform(2, 5)),
                (at + rng.uniform(10, 30), "slow_down", server, 1.0),
            ]
        elif kind == 1:
            script += [(at, "die", server), (at + rng.uniform(8, 20), "come", server)]
        elif kind == 2:
            script += [(at, "drain", server), (at + rng.uniform(8, 20), "come", server)]
        elif kind == 3:
            k = rng.randrange(size.slices)
            script += [(at, "heat", k, rng.uniform(4, 12)), (at + rng.uniform(8, 25), "heat", k, 1.0)]
        elif kind == 4:
            script += [(at, "burst", rng.uniform(1.2, 1.6)), (at + rng.uniform(3, 9), "burst", 1.0)]
        else:
            script += [
                (at + rng.uniform(0, 1), "flap", p, rng.uniform(0.5, 4)) for p in rng.sample(range(size.proxies), 3)
            ]
    return script
