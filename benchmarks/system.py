"""Benchmark of the system's guarantees, without sockets except for the last results.

    python3 -m benchmarks.system [--quick]

The last line printed is one JSON object:
- `route_us`, `route_ratio`: see benchmarks/configuration.py;
- `commit_us`: median from a proposal to its answer, with three machines and three real files on this disk;
- `election_s`, `election_most_s`: simulated, median and maximum from a leader's crash to an entry committed by the
  next leader; `election_ticks`: the median in heartbeats;
- `model_states`: states explored of the small models; `model_broken`: models with a violation;
- `seeded`, `seeded_found`: mistakes seeded into the models and the walks, and those that they show;
- `walks`, `walks_broken`: walks of the simulation of the whole system (tests/simulation), and those with a violation;
  `connection_walks`, `connection_walks_broken`: the same for walks over reused connections alone;
- `walk_seeded`, `walk_seeded_found`: the walks' share of the seeded mistakes;
- `told`: commands answered as committed in seeded clusters with crashes, partitions, freezes and wiped disks;
  `lost`, `twice`: those of them that are missing from the final log, or in it more than once;
- `owner_overlaps`: grants of a key that another running node still holds, in seeded simulations of leases;
- `recovery_s`, `recovery_ratio`: all core machines crash and two of three restart after 10 s: median time until all
  keys are held again, and its ratio to the minimum that elections and leases allow;
- `recovery_all_s`, `recovery_all_ratio`: the same if all three restart: no lease has to expire then, since each
  machine resumes its own;
- `reopen_ms`: from a start to the restored state, by the length of the log that the core was killed with;
  `reopen_each`: for the last two lengths, the time per entry of the longer log over that of the shorter one;
- `gap_p50`, `gap_p99`: seconds for which the keys of a crashed node have no owner, simulated
  (tests/simulation/crash_gap.py);
- `added_ms_p50`, `added_ms_p99`, `loaded_ms_...`: the latency that an edge adds to a request on loopback sockets
  (benchmarks/added_time.py).
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


def commit_us(count: int) -> float:
    """Return the median time of a commit by three machines with files, in one thread, with messages as JSON."""
    with tempfile.TemporaryDirectory(dir=".") as folder:
        founders = {f"{name}#founder": name for name in "abc"}
        stores = {name: Store() for name in "abc"}
        machines = {
            name: Machine(stores[name].open(f"{folder}/{name}", True, name, founders), RaftSettings(), 1, 0.0, -9.0)
            for name in "abc"
        }
        answers: list[Answer] = []

        def run_actions(now: float) -> None:
            is_busy = True
            while is_busy:
                is_busy = False
                for name, machine in machines.items():
                    actions, machine.actions = machine.actions, []
                    for action in actions:
                        is_busy = True
                        if isinstance(action, Save):
                            stores[name].write(action)
                            machine.on_saved(now, action.number)
                        elif isinstance(action, Send):
                            machines[action.to_address].receive(now, json.loads(json.dumps(action.message)))
                        elif isinstance(action, Answer):
                            answers.append(action)

        now = 1.0
        while machines["a"].role != "leader":
            machines["a"].tick(now)
            run_actions(now)
            now += 0.1
        durations = []
        for number in range(count):
            start = time.perf_counter()
            machines["a"].propose(now, {"do": "put", "value": "x" * 200}, number)
            run_actions(now)
            durations.append(time.perf_counter() - start)
        assert [answer.outcome for answer in answers] == ["committed"] * count
        for store in stores.values():
            store.close()
    return statistics.median(durations) * 1e6


def reopen_ms(counts: tuple[int, ...], runs: int) -> dict[int, float]:
    """Return, by length of the log, the median time to open a killed core's store, read it and apply its entries."""
    results = {}
    for count in counts:
        with tempfile.TemporaryDirectory(dir=".") as folder:
            store = Store()
            store.open(f"{folder}/made", True, "a", {"a#founder": "a"})
            entries = [Entry(1, 1, "command", {"do": "shard", "services": ["s"]})]
            entries += [
                Entry(
                    index,
                    1,
                    "command",
                    {
                        "do": "move",
                        "by": "a",
                        "moves": [["s", index % SLICE_COUNT, index % SLICE_COUNT, index, f"n{index % 40}"]] * 3,
                    },
                )
                for index in range(2, count + 1)
            ]
            for first in range(0, count, 10):
                store.write(Save(first, 1, None, entries[first : first + 10], None, None))
            durations = []
            for run in range(runs):
                shutil.copytree(f"{folder}/made", f"{folder}/{run}")
                start, reopened = time.perf_counter(), Store()
                saved, state = reopened.open(f"{folder}/{run}", False, "a", {}), ReplicatedState()
                for entry in saved.entries:
                    state.apply(entry.index, entry.body)
                durations.append((time.perf_counter() - start) * 1e3)
                assert len(saved.entries) == count
                reopened.close()
            results[count] = round(statistics.median(durations), 1)
            store.close()
    return results


def elections(seeds: int) -> list[float]:
    """Return the seconds from a leader's crash until the next leader has committed, by seed."""
    durations = []
    for seed in range(seeds):
        cluster = Cluster(seed)
        assert cluster.run(10, cluster.is_settled)
        cluster.run(cluster.random.uniform(0, 0.3))
        leader = cluster.leader()
        assert leader is not None
        cluster.stop(leader.address)
        start = cluster.now
        assert cluster.run(
            5, lambda: any(node.machine and node.machine.is_commit_current for node in cluster.nodes.values())
        )
        durations.append(cluster.now - start)
    return durations


def count_committed_commands(seeds: int) -> dict[str, int]:
    """Count the commands answered as committed under faults, and those that were lost or applied twice."""
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
        log = Counter(json.dumps(entry.body) for entry in cluster.checker.entries.values() if entry.kind == "command")
        for ticket, answer in cluster.answers.items():
            if answer.outcome == "committed":
                occurrences = log[json.dumps(cluster.commands[ticket])]
                counts["told"] += 1
                counts["lost"] += occurrences == 0 or not settled
                counts["twice"] += occurrences > 1
    return counts


class CoreCluster(Cluster):
    """A cluster whose machines are also conductors, with four nodes that never fail; all keys should become held."""

    def __init__(self, seed: int) -> None:
        self.conductors: dict[str, dict[str, Any]] = {}
        self.listed_nodes = {f"n{number}": Node(f"n{number}", "s", ("10.0.0.1", number), "z", 2) for number in range(4)}
        self.held_until = [0.0] * SLICE_COUNT
        super().__init__(seed)

    def start(self, address: str) -> None:
        grant_manager = GrantManager(address, GrantTiming(), self.seed, self.now)
        grant_manager.on_nodes_listed(self.now, self.listed_nodes)
        self.conductors[address] = {
            "grant_manager": grant_manager,
            "ledger": Ledger(),
            "conductor_leases": None,
            "lease_requested_at": -9.0,
            "last_led_at": -9.0,
        }
        super().start(address)
        self._run_conductor(address, self.nodes[address].incarnation)

    def _perform(self, node: Any, machine: Machine, action: Any) -> None:
        conductor = self.conductors[node.address]
        if isinstance(action, RoleChange):
            conductor["conductor_leases"] = ConductorLeases(self.now) if action.role == "leader" else None
        super()._perform(node, machine, action)
        if isinstance(action, Apply):
            ledger = conductor["ledger"]
            ledger.apply(action.entry.index, action.entry.body if action.entry.kind == "command" else {})
            conductor["grant_manager"].on_ledger(self.now, ledger, ledger.changed)

    def send_proposal(self, address: str, command: dict) -> None:
        """Propose a command to the leader that a machine knows of."""
        machine = self.nodes[address].machine
        if machine is not None and machine.leader is not None:
            leader = machine.leader
            self._later(0.001, lambda: self.propose(leader, command))

    def _run_conductor(self, address: str, incarnation: int) -> None:
        node, conductor = self.nodes[address], self.conductors[address]
        machine, grant_manager, ledger, now = node.machine, conductor["grant_manager"], conductor["ledger"], self.now
        if machine is None or node.incarnation != incarnation:
            return
        if now >= conductor["lease_requested_at"] + LEASE_REQUEST_INTERVAL_S and machine.leader is not None:
            conductor["lease_requested_at"], leader = now, machine.leader
            self._later(0.001, lambda: self._renew_lease(leader, address, incarnation, now))
        if now >= conductor["last_led_at"] + 0.2 and self._is_leadership_proven(address):
            conductor["last_led_at"] = now
            self._renew_lease(address, address, incarnation, now)
            assignments = ledger.slices.get("s")
            if assignments is None:
                self.send_proposal(address, {"do": "shard", "services": ["s"]})
            else:
                leased = [x.conductor for x in assignments]
                for to, reassigned in reassign(conductor["conductor_leases"], now, leased).items():
                    for previous in {leased[k] for first, last in reassigned for k in range(first, last + 1)}:
                        slice_ranges = ranges(
                            k for first, last in reassigned for k in range(first, last + 1) if leased[k] == previous
                        )
                        self.send_proposal(
                            address, {"do": "lease", "from": previous, "to": to, "slices": {"s": slice_ranges}}
                        )
        unassigned = [k for k, x in enumerate(ledger.slices.get("s", ())) if x.conductor == address and not x.owner]
        if unassigned and now < grant_manager.lease_until:
            self.send_proposal(
                address,
                {
                    "do": "move",
                    "by": address,
                    "moves": [["s", first, last, 0, f"n{first % 4}"] for first, last in ranges(unassigned)],
                },
            )
        grant_manager.tick(now)
        actions, grant_manager.actions = grant_manager.actions, []
        for action in actions:
            if isinstance(action, Propose):
                self.send_proposal(address, action.command)
            else:
                self._later(0.001, lambda action=action: self._execute_call(address, incarnation, action))  # type: ignore[misc]
        self._later(0.01, lambda: self._run_conductor(address, incarnation))

    def _is_leadership_proven(self, address: str) -> bool:
        node = self.nodes[address]
        return (
            node.machine is not None
            and node.machine.is_commit_current
            and self.conductors[address]["conductor_leases"] is not None
            and self.now + node.offset - node.machine.majority_acked_at < LEADERSHIP_PROOF_S
        )

    def _renew_lease(self, leader: str, address: str, incarnation: int, sent_at: float) -> None:
        if self._is_leadership_proven(leader) and self.nodes[address].incarnation == incarnation:
            lease_until = sent_at + self.conductors[leader]["conductor_leases"].renew(self.now, address)
            last_index = self.nodes[leader].machine.log.last  # type: ignore[union-attr]
            grant_manager = self.conductors[address]["grant_manager"]
            self._later(0.001, lambda: grant_manager.on_lease_proven(self.now, lease_until, last_index))

    def _execute_call(self, address: str, incarnation: int, action: Grant | Release) -> None:
        for k in action.slices:
            self.held_until[k] = self.now + action.hold if isinstance(action, Grant) else 0.0
        if self.nodes[address].incarnation == incarnation:
            self.conductors[address]["grant_manager"].on_call_ended(self.now + 0.001, action, 200)

    def are_all_held(self) -> bool:
        """Tell whether all keys are held."""
        return min(self.held_until) > self.now


def recovery_seconds(seed: int, restarted: int) -> float:
    """Return the seconds from the restart of some machines, 10 s after all crashed, until all keys are held."""
    core = CoreCluster(seed)
    assert core.run(30, core.are_all_held)
    core.run(8.0)
    for address in core.nodes:
        core.stop(address)
    core.run(10.0)
    assert not core.are_all_held()
    start = core.now
    for address in sorted(core.nodes)[:restarted]:
        core.start(address)
    assert core.run(30, core.are_all_held)
    return core.now - start


def main(quick: bool) -> None:
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        configuration.main(quick)
    results: dict[str, Any] = {
        name: value
        for name, value in json.loads(output.getvalue().splitlines()[-1]).items()
        if name.startswith("route")
    }
    results["commit_us"] = round(commit_us(200 if quick else 2000), 1)
    durations = elections(30 if quick else 400)
    results["election_s"], results["election_most_s"] = round(statistics.median(durations), 3), round(max(durations), 3)
    results["election_ticks"] = round(statistics.median(durations) / RaftSettings().heartbeat_interval, 1)
    reopened = reopen_ms((250, 1000, 4000) if quick else (250, 1000, 4000, 16000), 3 if quick else 9)
    results["reopen_ms"] = reopened
    (short_length, short_ms), (long_length, long_ms) = list(reopened.items())[-2:]
    results["reopen_each"] = round(long_ms / long_length / (short_ms / short_length), 2)
    print(json.dumps(results), flush=True)
    results["model_states"], results["model_broken"] = 0, 0
    for name, (world, depth, max_states) in worlds(not quick).items():
        exploration = explore(world.start, world.follow, depth, min(max_states, 12_000) if quick else max_states)
        print(
            f"{name}: {exploration.states} states, {exploration.depth} steps deep"
            f"{', complete' if exploration.is_complete else ''}",
            *exploration.trace,
            *exploration.violations,
            sep="\n  ",
            flush=True,
        )
        results["model_states"] += exploration.states
        results["model_broken"] += bool(exploration.violations)
    model_mistakes = mistakes()
    shown = [
        name
        for name, (world, depth, _) in model_mistakes.items()
        if explore(world.start, world.follow, depth).violations
    ]
    results |= measure(4 if quick else 200)
    results["seeded"] = len(model_mistakes) + results["walk_seeded"]
    results["seeded_found"] = len(shown) + results["walk_seeded_found"]
    results |= count_committed_commands(6 if quick else 100)
    results["owner_overlaps"] = sum(len(World(seed).checker.broken) for seed in range(8 if quick else 200))
    seeds = range(3 if quick else 20)
    minimum_s = RaftSettings().election_timeout_min + LEASE_S * CLOCK_DRIFT + CALL_MARGIN_S + LEADERSHIP_PROOF_S
    two_restarted_s = statistics.median([recovery_seconds(seed, 2) for seed in seeds])
    results["recovery_s"], results["recovery_ratio"] = round(two_restarted_s, 2), round(two_restarted_s / minimum_s, 2)
    all_restarted_s = statistics.median([recovery_seconds(seed, 3) for seed in seeds])
    results["recovery_all_s"], results["recovery_all_ratio"] = (
        round(all_restarted_s, 2),
        round(all_restarted_s / RaftSettings().election_timeout_min, 2),
    )
    results |= crash_gap.measure(2 if quick else 20)
    print(json.dumps(results), flush=True)
    results |= asyncio.run(added_time.measure_all(4.0 if quick else 20.0))
    print(json.dumps(results))


if __name__ == "__main__":
    main("--quick" in sys.argv[1:])
