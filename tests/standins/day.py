"""A seeded day: servers, proxies and RPCs one by one, around one module, without sockets or real time.

Owns the truth of a day (who was served in time), which a replay may be compared with. All figures are simulated. It
follows the contract of interface.py, and must never use anything that a conductor could not hear.
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
WORK, SHARE, DEADLINE = (0.26, 0.15), (0.55, 0.45), (5.0, 2.5)  # by method: core seconds, part, seconds
ZONES = ("east", "west")
LIST_LATE = 2.0  # seconds until the list tells of a death or a start
SPAN = 10.0  # seconds by which service is kept
TURNED_AWAY = 8.0  # seconds of wait at which a server takes no more: the work that waits is bounded
LEASE_LATE = 1.0  # seconds until a new life of the conductor has its proxies and slices


class Size(NamedTuple):
    """How large a day is."""

    servers: int = 10
    proxies: int = 20
    slices: int = 60  # in our charge
    rate: float = 90.0  # RPCs a second that come for them
    parts: int = 1  # conductors that share the servers: the others' load is even, in the background


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
        self.slow = 1.0  # its speed is divided by that
        self.alive, self.state = True, "ready"
        self.free = [0.0] * cores  # by core: when its work is done
        self.busy = 0.0  # core seconds of work begun, less what is yet to be done
        self.met: dict[str, list] = {}  # by zone: tries, aborted, seconds of the good ones

    def entry(self) -> tuple:
        return (self.id, self.zone, self.state, float(self.cores), self.started)


class Edge:
    """A proxy."""

    def __init__(self, id: int, zone: str, slices: int):
        self.id, self.zone = id, zone
        self.lines: list[tuple] = [()] * slices  # by slice: (servers, cumulative weights)
        self.levels: dict[tuple, float] = {}
        self.joined = True
        self.free = 0.0  # when the last message under way to it is taken in


class Day:
    """One day.

    `script` is a list of (time, name of a method below, arguments); `witness` is called with (now, inbox, orders,
    module) after each round, and `lives` with (now, module, settings, seed) at each life's start.
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
        self.random, self.coming, self.size, self.seed = Random(seed), Random(seed + 0.5), size, seed
        self.settings, self.make, self.witness, self.lives = settings or settings_of(size), make, witness, lives
        r = self.random
        self.machines: dict[str, Machine] = {}
        for k in range(size.servers):
            cores, low, high = r.choices(((4, 1.1, 1.5), (3, 0.85, 1.1), (3, 0.6, 0.8)), (47, 31, 22))[0]
            self.machines[f"s{k}"] = Machine(f"s{k}", ZONES[k % 2], cores, r.uniform(low, high))
        self.edges = [Edge(k, ZONES[k % 2], size.slices) for k in range(size.proxies)]
        self.edge_sums = list(accumulate(r.uniform(0.2, 2) ** 2 for _ in self.edges))
        self.weights = [r.paretovariate(2.5) for _ in range(size.slices)]
        self.hot: dict[int, float] = {}
        self.now = self.start = start
        self.heap: list[tuple] = []
        self.count = 0
        self.rate = size.rate
        self.wanted: Counter = Counter()
        self.since = start
        self.cut: set[str] = set()  # zones that the other cannot reach
        self.store: dict[int, dict[str, float]] = {}
        self.service: dict[int, list] = {}  # by span: [asked, earned] by method
        self.weigh()
        owners = list(self.machines)
        for k in range(size.slices):
            self.store[k] = {owners[r.randrange(len(owners))]: 1.0}
            for edge in self.edges:
                edge.lines[k] = self.drawn(self.store[k])
        self.life = 0
        for at, name, *arguments in script:
            self.at(start + at, lambda name=name, arguments=arguments: getattr(self, name)(*arguments))
        self.begin()
        self.at(start + self.settings.report_period, self.report)

    # --- the machinery ---

    def at(self, when: float, call: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.heap, (when, self.count, call))

    def weigh(self) -> None:
        self.sums = list(accumulate(w * self.hot.get(k, 1.0) for k, w in enumerate(self.weights)))

    @staticmethod
    def drawn(lines: dict[str, float]) -> tuple:
        return (list(lines), list(accumulate(lines.values()))) if lines else ()

    def round(self, inbox: list) -> None:
        if self.module is None:
            return
        out, now = OrderLog(), self.now
        self.module.decide(now, inbox, out)
        if self.witness:
            self.witness(now, inbox, out.orders, self.module)
        tables: dict[int, tuple] = {}
        levels, mark, life = {}, None, self.life
        for name, f in out.orders:
            if name == "line":
                self.store[f[0]].pop(f[1], None)
                if f[2]:
                    self.store[f[0]][f[1]] = f[2]
                tables[f[0]] = self.drawn(self.store[f[0]])
            elif name == "admit" and f[0] is not None:
                levels[f[0], f[1]] = f[2]
            elif name == "receipt":
                mark = f[0]
            elif name == "wake":
                self.at(max(f[0], now), lambda: self.life == life and self.round([]))
        if tables or levels or mark is not None:
            late = self.settings.message_delay
            for edge in self.edges:
                if edge.joined:
                    edge.free = max(edge.free, now + self.random.uniform(0.5, 1.5) * late)
                    self.at(edge.free, lambda edge=edge: self.take_in(edge, tables, levels, mark, life))

    def take_in(self, edge: Edge, tables: dict, levels: dict, mark: int | None, life: int) -> None:
        for slice_id, lines in tables.items():
            edge.lines[slice_id] = lines
        edge.levels.update(levels)
        if mark is not None and edge.joined and life == self.life:
            self.round([("applied", (edge.id, mark))])

    def report(self) -> None:
        """The sums of a period, some time late; the next period begins."""
        now, span = self.now, self.now - self.since
        inbox = []
        for x in self.machines.values():
            ahead = sum(max(0.0, free - now) for free in x.free)
            busy = min(1.0, max(0.0, x.busy - ahead) / (x.cores * span))
            x.busy = ahead
            tries = sum(m[0] for m in x.met.values())
            load = {"utilization": round(busy, 3), "qps": round(tries * self.size.parts / span, 1)}
            for zone, (tried, aborted, seconds) in x.met.items():
                good = tried - aborted
                inbox.append(
                    ("heard", (x.id, zone, span, tried, aborted, seconds / good if good else 0.0, load if good else {}))
                )
            x.met = {}
        inbox += [("wanted", (k, m, span, n)) for (k, m), n in self.wanted.items()]
        self.wanted, self.since = Counter(), now
        self.at(now + self.random.uniform(0.24, 1.0), lambda: self.round(inbox))
        self.at(now + self.settings.report_period, self.report)

    def rpc(self, t: float) -> None:
        # What comes is drawn apart from what the tables make of it: another setting meets the same day.
        r = self.coming.random
        method = 0 if r() < SHARE[0] else 1
        slice_id = bisect(self.sums, r() * self.sums[-1])
        edge = self.edges[bisect(self.edge_sums, r() * self.edge_sums[-1])]
        work, let_in, r = WORK[method] * self.coming.gammavariate(4, 0.25), r(), self.random.random
        self.wanted[slice_id, method] += 1
        row = self.service.get(int((t - self.start) / SPAN))
        if row is None:
            row = self.service[int((t - self.start) / SPAN)] = [0, 0.0, 0, 0.0]
        row[2 * method] += 1
        if let_in >= edge.levels.get((slice_id, method), 1.0) or not edge.lines[slice_id]:
            return
        names, sums = edge.lines[slice_id]
        x = self.machines[names[bisect(sums, r() * sums[-1]) if len(names) > 1 else 0]]
        met = x.met.get(edge.zone)
        if met is None:
            met = x.met[edge.zone] = [0, 0, 0.0]
        met[0] += 1
        if not x.alive or (edge.zone != x.zone and (edge.zone in self.cut or x.zone in self.cut)):
            met[1] += 1
            return
        age = (t - x.started) / self.settings.cold_time if x.started else 1.0
        speed = x.speed / x.slow * (1 if age >= 1 else self.settings.cold_share + (1 - self.settings.cold_share) * age)
        core = min(range(x.cores), key=x.free.__getitem__)
        wait = max(0.0, x.free[core] - t)
        if wait > TURNED_AWAY:
            met[1] += 1
            return
        x.free[core] = t + wait + work / speed * self.size.parts
        x.busy += work / speed * self.size.parts
        latency = wait + work / speed
        if latency > DEADLINE[method]:
            met[1] += 1
            return
        met[2] += latency
        row[2 * method + 1] += 1.0 if latency <= METHODS[method].soft_deadline else 0.1

    def run(self, seconds: float) -> "Day":
        """Go on for so long."""
        end = self.now + seconds
        coming = self.now + self.coming.expovariate(self.rate)
        while True:
            event = self.heap[0][0] if self.heap else end
            until = min(event, end)
            while coming < until:
                self.rpc(coming)
                coming += self.coming.expovariate(self.rate)
            if event > end:
                self.now = end
                return self
            self.now, _, call = heapq.heappop(self.heap)
            call()

    def earned(self) -> float:
        """Criticality answered in time over criticality asked for."""
        worth = [m.criticality for m in METHODS]
        asked = sum(row[0] * worth[0] + row[2] * worth[1] for row in self.service.values())
        return sum(row[1] * worth[0] + row[3] * worth[1] for row in self.service.values()) / asked

    # --- what the script may say ---

    def begin(self) -> None:
        """A life of the conductor begins, from what the store holds."""
        self.life += 1
        seed = self.seed + self.life
        self.module = self.make(self.settings, seed)
        if self.lives:
            self.lives(self.now, self.module, self.settings, seed)
        inbox = [("listed", (True, False, [x.entry() for x in self.machines.values()]))]
        inbox += [("joined", (edge.id,)) for edge in self.edges if edge.joined]
        for k, lines in self.store.items():
            inbox.append(("given", (k,)))
            inbox += [("held", (k, server, weight)) for server, weight in lines.items()]
        self.round(inbox)

    def restart(self) -> None:
        """The conductor is killed and comes back."""
        self.module = None
        self.life += 1
        self.at(self.now + LEASE_LATE, self.begin)

    def reload(self, **changes: object) -> None:
        """Another configuration takes the old one's place."""
        self.settings = self.settings._replace(**changes)
        self.begin()

    def slow_down(self, server: str, times: float) -> None:
        self.machines[server].slow = times

    def die(self, server: str) -> None:
        x = self.machines[server]
        x.alive, x.state = False, "gone"
        self.at(self.now + LIST_LATE, lambda: self.round([("listed", (False, False, [x.entry()]))]))

    def come(self, server: str) -> None:
        """A server starts, anew or for the first time: cold."""
        old = self.machines.get(server)
        x = Machine(
            server,
            old.zone if old else ZONES[len(self.machines) % 2],
            old.cores if old else 4,
            old.speed if old else 1.2,
            self.now,
        )
        self.machines[server] = x
        self.at(self.now + LIST_LATE / 2, lambda: self.round([("listed", (False, False, [x.entry()]))]))

    def drain(self, server: str) -> None:
        x = self.machines[server]
        x.state = "draining"
        self.round([("listed", (False, False, [x.entry()]))])

    def heat(self, slice_id: int, times: float) -> None:
        self.hot[slice_id] = times
        self.weigh()

    def burst(self, times: float) -> None:
        self.rate = self.size.rate * times

    def flap(self, proxy: int, seconds: float) -> None:
        """A proxy loses its stream for so long."""
        edge = self.edges[proxy]
        edge.joined = False
        self.round([("left", (proxy,))])

        def back() -> None:
            edge.joined = True
            for k, lines in self.store.items():
                edge.lines[k] = self.drawn(lines)
            self.round([("joined", (proxy,))])

        self.at(self.now + seconds, back)


def storm(seed: int, size: Size, seconds: float, every: float = 25.0) -> list:
    """A script of troubles, one about every so many seconds: slow servers, deaths and returns, drains, hot
    slices, bursts, flaps."""
    r, at, script = Random(seed), 0.0, []
    while (at := at + r.uniform(0.6, 1.4) * every) < seconds:
        kind, server = r.randrange(6), f"s{r.randrange(size.servers)}"
        if kind == 0:
            script += [(at, "slow_down", server, r.uniform(2, 5)), (at + r.uniform(10, 30), "slow_down", server, 1.0)]
        elif kind == 1:
            script += [(at, "die", server), (at + r.uniform(8, 20), "come", server)]
        elif kind == 2:
            script += [(at, "drain", server), (at + r.uniform(8, 20), "come", server)]
        elif kind == 3:
            k = r.randrange(size.slices)
            script += [(at, "heat", k, r.uniform(4, 12)), (at + r.uniform(8, 25), "heat", k, 1.0)]
        elif kind == 4:
            script += [(at, "burst", r.uniform(1.2, 1.6)), (at + r.uniform(3, 9), "burst", 1.0)]
        else:
            script += [(at + r.uniform(0, 1), "flap", p, r.uniform(0.5, 4)) for p in r.sample(range(size.proxies), 3)]
    return script
