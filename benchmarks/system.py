"""What the system promises, measured without sockets but for the last figures; the last line is one JSON object.

    python3 -m benchmarks.system [--quick]

`route_us`, `route_ratio`: benchmarks/configuration.py. `commit_us`: from a proposal to its answer with three machines
and three real files on this disk, middle. `election_s`: simulated, from a leader's death to an entry committed by the
next, middle and `election_most_s` the worst; `election_ticks` the middle in heartbeats. `model_states`: states of the
small models in which nothing is broken (`model_broken`), `seeded_found` of `seeded` mistakes that the models and the
walks show. `walks`: of the whole simulation (tests/simulation), `walks_broken` those that broke something;
`connection_walks` and `connection_walks_broken`: the same over used connections alone.
`walk_seeded` and `walk_seeded_found`: the walks' share of the mistakes.
`lost`, `twice`: of commands told committed in seeded clusters with crashes, cuts, freezes and wiped disks, those that
are not in the log in the end, or more than once. `owner_overlaps`: grants of a key that another node that is up holds,
in seeded worlds of leases. `recovery_ratio`: all core machines die and two of three come back after 10 s; until all
keys are held again, over the least that elections and leases allow; `recovery_all_s` and `recovery_all_ratio` if all
three come back: no lease has to end then, since each takes up its own. `reopen_ms`: from a start to a whole state, by
entries of the log that the core was killed with; `reopen_each`: of the last two lengths, time for an entry in the
longer over that in the shorter. `gap_p50`, `gap_p99`: seconds that the keys of a crashed node rest, in simulated
worlds (tests/simulation/crash_gap.py). `added_ms_p50`, `added_ms_p99` and `loaded_ms_...`: on loopback sockets, what an
edge adds to a request's time (benchmarks/added_time.py).
"""

import asyncio
import contextlib
import io
import json
import shutil
import statistics
import sys
import tempfile
import time
from collections import Counter
from typing import Any

from benchmarks import added_time, configuration
from knotwalk.consensus.machine import Machine
from knotwalk.consensus.raft_types import Answer, Apply, Entry, RaftSettings, RoleChange, Save, Send
from knotwalk.consensus.store import Store
from knotwalk.control_plane.replicated_state import ReplicatedState
from knotwalk.discovery.view_types import SLICE_COUNT, Node
from knotwalk.leases.actions import Grant, GrantTiming, Propose, Release
from knotwalk.leases.conductor_leases import (
    CALL_MARGIN_S,
    CLOCK_DRIFT,
    LEADERSHIP_PROOF_S,
    LEASE_REQUEST_INTERVAL_S,
    LEASE_S,
    ConductorLeases,
    reassign,
)
from knotwalk.leases.grant_manager import GrantManager
from knotwalk.leases.ledger import Ledger, ranges
from tests.simulation import crash_gap
from tests.simulation.walk import measure
from tests.system.cluster import Cluster, ViolationError, inject_faults
from tests.system.model import explore, mistakes, worlds
from tests.system.test_leases import World


def commit_us(times: int) -> float:
    """Three machines and files in one thread; messages are JSON, as on the wire."""
    with tempfile.TemporaryDirectory(dir=".") as folder:
        founders = {f"{one}#founder": one for one in "abc"}
        stores = {one: Store() for one in "abc"}
        machines = {
            one: Machine(stores[one].open(f"{folder}/{one}", True, one, founders), RaftSettings(), 1, 0.0, -9.0)
            for one in "abc"
        }
        answers: list[Answer] = []

        def carry(now: float) -> None:
            busy = True
            while busy:
                busy = False
                for name, machine in machines.items():
                    orders, machine.actions = machine.actions, []
                    for order in orders:
                        busy = True
                        if isinstance(order, Save):
                            stores[name].write(order)
                            machine.on_saved(now, order.number)
                        elif isinstance(order, Send):
                            machines[order.to_address].receive(now, json.loads(json.dumps(order.message)))
                        elif isinstance(order, Answer):
                            answers.append(order)

        now = 1.0
        while machines["a"].role != "leader":
            machines["a"].tick(now)
            carry(now)
            now += 0.1
        took = []
        for number in range(times):
            start = time.perf_counter()
            machines["a"].propose(now, {"do": "put", "value": "x" * 200}, number)
            carry(now)
            took.append(time.perf_counter() - start)
        assert [one.outcome for one in answers] == ["committed"] * times
        for store in stores.values():
            store.close()
    return statistics.median(took) * 1e6


def reopen_ms(counts: tuple[int, ...], times: int) -> dict[int, float]:
    """By length of the log: opening the file as a kill left it, reading it and following it; middle of some starts."""
    took = {}
    for count in counts:
        with tempfile.TemporaryDirectory(dir=".") as folder:
            store = Store()
            store.open(f"{folder}/made", True, "a", {"a#founder": "a"})
            entries = [Entry(1, 1, "command", {"do": "shard", "services": ["s"]})]
            entries += [
                Entry(
                    one,
                    1,
                    "command",
                    {
                        "do": "move",
                        "by": "a",
                        "moves": [["s", one % SLICE_COUNT, one % SLICE_COUNT, one, f"n{one % 40}"]] * 3,
                    },
                )
                for one in range(2, count + 1)
            ]
            for first in range(0, count, 10):
                store.write(Save(first, 1, None, entries[first : first + 10], None, None))
            found = []
            for turn in range(times):
                shutil.copytree(f"{folder}/made", f"{folder}/{turn}")
                start, again = time.perf_counter(), Store()
                saved, state = again.open(f"{folder}/{turn}", False, "a", {}), ReplicatedState()
                for entry in saved.entries:
                    state.apply(entry.index, entry.body)
                found.append((time.perf_counter() - start) * 1e3)
                assert len(saved.entries) == count
                again.close()
            took[count] = round(statistics.median(found), 1)
            store.close()
    return took


def elections(seeds: int) -> list[float]:
    """Seconds from a leader's death until the next has committed."""
    took = []
    for seed in range(seeds):
        cluster = Cluster(seed)
        assert cluster.run(10, cluster.is_settled)
        cluster.run(cluster.random.uniform(0, 0.3))
        leader = cluster.leader()
        assert leader is not None
        cluster.stop(leader.address)
        start = cluster.now
        assert cluster.run(
            5, lambda: any(one.machine and one.machine.is_commit_current for one in cluster.nodes.values())
        )
        took.append(cluster.now - start)
    return took


def told(seeds: int) -> dict[str, int]:
    """Commands told committed under misfortune, and what became of them."""
    counts = {"told": 0, "lost": 0, "twice": 0}
    for seed in range(seeds):
        cluster = Cluster(1000 + seed, (3, 3, 5)[seed % 3])
        try:
            inject_faults(cluster, 60)
            cluster.heal()
            settled = cluster.run(20, cluster.is_settled)
        except ViolationError as violation:
            print(f"seed {seed}: {violation}")
            settled = False
        log = Counter(json.dumps(one.body) for one in cluster.checker.entries.values() if one.kind == "command")
        for ticket, answer in cluster.answers.items():
            if answer.outcome == "committed":
                times = log[json.dumps(cluster.commands[ticket])]
                counts["told"] += 1
                counts["lost"] += times == 0 or not settled
                counts["twice"] += times > 1
    return counts


class Core(Cluster):
    """A cluster whose machines are conductors as well, with four nodes that never fail; all keys are to be held."""

    def __init__(self, seed: int) -> None:
        self.desks: dict[str, dict[str, Any]] = {}
        self.listed = {f"n{one}": Node(f"n{one}", "s", ("10.0.0.1", one), "z", 2) for one in range(4)}
        self.held = [0.0] * SLICE_COUNT
        super().__init__(seed)

    def start(self, address: str) -> None:
        grant_manager = GrantManager(address, GrantTiming(), self.seed, self.now)
        grant_manager.on_nodes_listed(self.now, self.listed)
        self.desks[address] = {
            "grant_manager": grant_manager,
            "ledger": Ledger(),
            "conductor_leases": None,
            "asked": -9.0,
            "led": -9.0,
        }
        super().start(address)
        self._work(address, self.nodes[address].incarnation)

    def _perform(self, node: Any, machine: Machine, order: Any) -> None:
        desk = self.desks[node.address]
        if isinstance(order, RoleChange):
            desk["conductor_leases"] = ConductorLeases(self.now) if order.role == "leader" else None
        super()._perform(node, machine, order)
        if isinstance(order, Apply):
            ledger = desk["ledger"]
            ledger.apply(order.entry.index, order.entry.body if order.entry.kind == "command" else {})
            desk["grant_manager"].on_ledger(self.now, ledger, ledger.changed)

    def tell(self, address: str, command: dict) -> None:
        """Propose at the leader that a machine knows of."""
        machine = self.nodes[address].machine
        if machine is not None and machine.leader is not None:
            leader = machine.leader
            self._later(0.001, lambda: self.propose(leader, command))

    def _work(self, address: str, life: int) -> None:
        node, desk = self.nodes[address], self.desks[address]
        machine, grant_manager, ledger, now = node.machine, desk["grant_manager"], desk["ledger"], self.now
        if machine is None or node.incarnation != life:
            return
        if now >= desk["asked"] + LEASE_REQUEST_INTERVAL_S and machine.leader is not None:
            desk["asked"], leader = now, machine.leader
            self._later(0.001, lambda: self._lease(leader, address, life, now))
        if now >= desk["led"] + 0.2 and self._proven(address):
            desk["led"] = now
            self._lease(address, address, life, now)
            line = ledger.slices.get("s")
            if line is None:
                self.tell(address, {"do": "shard", "services": ["s"]})
            else:
                leased = [x.conductor for x in line]
                for to, found in reassign(desk["conductor_leases"], now, leased).items():
                    for before in {leased[k] for first, last in found for k in range(first, last + 1)}:
                        named = ranges(
                            k for first, last in found for k in range(first, last + 1) if leased[k] == before
                        )
                        self.tell(address, {"do": "lease", "from": before, "to": to, "slices": {"s": named}})
        new = [k for k, x in enumerate(ledger.slices.get("s", ())) if x.conductor == address and not x.owner]
        if new and now < grant_manager.lease_until:
            self.tell(
                address,
                {
                    "do": "move",
                    "by": address,
                    "moves": [["s", first, last, 0, f"n{first % 4}"] for first, last in ranges(new)],
                },
            )
        grant_manager.tick(now)
        orders, grant_manager.actions = grant_manager.actions, []
        for order in orders:
            if isinstance(order, Propose):
                self.tell(address, order.command)
            else:
                self._later(0.001, lambda order=order: self._call(address, life, order))  # type: ignore[misc]
        self._later(0.01, lambda: self._work(address, life))

    def _proven(self, address: str) -> bool:
        node = self.nodes[address]
        return (
            node.machine is not None
            and node.machine.is_commit_current
            and self.desks[address]["conductor_leases"] is not None
            and self.now + node.offset - node.machine.majority_acked_at < LEADERSHIP_PROOF_S
        )

    def _lease(self, leader: str, asking: str, life: int, sent: float) -> None:
        if self._proven(leader) and self.nodes[asking].incarnation == life:
            until = sent + self.desks[leader]["conductor_leases"].renew(self.now, asking)
            last = self.nodes[leader].machine.log.last  # type: ignore[union-attr]
            grant_manager = self.desks[asking]["grant_manager"]
            self._later(0.001, lambda: grant_manager.on_lease_proven(self.now, until, last))

    def _call(self, address: str, life: int, order: Grant | Release) -> None:
        for k in order.slices:
            self.held[k] = self.now + order.hold if isinstance(order, Grant) else 0.0
        if self.nodes[address].incarnation == life:
            self.desks[address]["grant_manager"].on_call_ended(self.now + 0.001, order, 200)

    def served(self) -> bool:
        """Whether all keys are held."""
        return min(self.held) > self.now


def recovery(seed: int, back: int) -> float:
    """Seconds from the coming back of some machines until all keys are held; all died 10 s before."""
    core = Core(seed)
    assert core.run(30, core.served)
    core.run(8.0)
    for address in core.nodes:
        core.stop(address)
    core.run(10.0)
    assert not core.served()
    start = core.now
    for address in sorted(core.nodes)[:back]:
        core.start(address)
    assert core.run(30, core.served)
    return core.now - start


def main(quick: bool) -> None:
    said = io.StringIO()
    with contextlib.redirect_stdout(said):
        configuration.main(quick)
    found: dict[str, Any] = {
        name: value for name, value in json.loads(said.getvalue().splitlines()[-1]).items() if name.startswith("route")
    }
    found["commit_us"] = round(commit_us(200 if quick else 2000), 1)
    took = elections(30 if quick else 400)
    found["election_s"], found["election_most_s"] = round(statistics.median(took), 3), round(max(took), 3)
    found["election_ticks"] = round(statistics.median(took) / RaftSettings().heartbeat_interval, 1)
    opened = reopen_ms((250, 1000, 4000) if quick else (250, 1000, 4000, 16000), 3 if quick else 9)
    found["reopen_ms"] = opened
    (few, before), (many, after) = list(opened.items())[-2:]
    found["reopen_each"] = round(after / many / (before / few), 2)
    print(json.dumps(found), flush=True)
    found["model_states"], found["model_broken"] = 0, 0
    for name, (world, depth, most) in worlds(not quick).items():
        walked = explore(world.start, world.follow, depth, min(most, 12_000) if quick else most)
        print(
            f"{name}: {walked.states} states, {walked.depth} deep{', all there are' if walked.is_complete else ''}",
            *walked.trace,
            *walked.violations,
            sep="\n  ",
            flush=True,
        )
        found["model_states"] += walked.states
        found["model_broken"] += bool(walked.violations)
    named = mistakes()
    shown = [name for name, (world, depth, _) in named.items() if explore(world.start, world.follow, depth).violations]
    found |= measure(4 if quick else 200)
    found["seeded"] = len(named) + found["walk_seeded"]
    found["seeded_found"] = len(shown) + found["walk_seeded_found"]
    found |= told(6 if quick else 100)
    found["owner_overlaps"] = sum(len(World(seed).checker.broken) for seed in range(8 if quick else 200))
    seeds = range(3 if quick else 20)
    least = RaftSettings().election_timeout_min + LEASE_S * CLOCK_DRIFT + CALL_MARGIN_S + LEADERSHIP_PROOF_S
    two = statistics.median([recovery(seed, 2) for seed in seeds])
    found["recovery_s"], found["recovery_ratio"] = round(two, 2), round(two / least, 2)
    whole = statistics.median([recovery(seed, 3) for seed in seeds])
    found["recovery_all_s"], found["recovery_all_ratio"] = (
        round(whole, 2),
        round(whole / RaftSettings().election_timeout_min, 2),
    )
    found |= crash_gap.measure(2 if quick else 20)
    print(json.dumps(found), flush=True)
    found |= asyncio.run(added_time.measure_all(4.0 if quick else 20.0))
    print(json.dumps(found))


if __name__ == "__main__":
    main("--quick" in sys.argv[1:])
