"""Faults aimed at a moment: between a promise and its write to disk, or between a check and the action based on it.

These moments last a few milliseconds, so random faults rarely hit them. Each of these faults inspects the programs'
state, which no other part of a walk does, to wait for its moment. Then the machines that know of the promise or the
check are crashed or cut off, and a majority without them goes on.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from knotwalk.consensus.membership_rules import quorum
from tests.simulation.wire import Cut
from tests.simulation.world import CoreMachine, World

if TYPE_CHECKING:
    from tests.simulation.faults import Fault

POLL_INTERVAL_S = 0.0005  # between checks for the moment
WRITE_DELAY_S = 0.45  # of a delayed write: shorter than what a program treats as a hanging disk
MIN_ISOLATION_S = 3.0  # of the machines that know: long enough for the others to elect a leader
RESTART_DELAY_S = 0.05  # after a loss of power
REPLACEMENT_DELAY_S = 2.5  # after which a lost member is considered lost


def _call_later(world: World, wait: float, act: Callable[[], None]) -> None:
    world.loop.world.soon(act, wait=wait)


def _call_when(world: World, until: float, moment: Callable[[], bool], act: Callable[[], None]) -> None:
    """Call `act` at the first check at which `moment` is true, if there is one before `until`."""
    if moment():
        act()
    elif world.loop.now < until:
        _call_later(world, POLL_INTERVAL_S, lambda: _call_when(world, until, moment, act))


def _cut(
    world: World, cores: list[CoreMachine], others: list[CoreMachine], duration_s: float, both: bool = True
) -> None:
    """Drop all messages between some cores and others; with `both` false only those from `cores` to `others`."""
    until = world.loop.now + duration_s
    for core in cores:
        for other in others:
            if core is not other:
                world.wire.cuts[core.host, other.host] = Cut("lost", until)
                if both:
                    world.wire.cuts[other.host, core.host] = Cut("lost", until)


def _lose_power(world: World, core: CoreMachine) -> None:
    """Crash a core and drop the write in progress; restart it soon."""
    core.disk.under_way = None
    core.disk.hangs_until = core.disk.slow = 0.0
    world.crash(core)
    _call_later(world, RESTART_DELAY_S, lambda: world.start_core(core))


def _other_voters(world: World, leader: CoreMachine, target: float) -> list[CoreMachine]:
    """The other running voters, rotated by `target`."""
    members = leader.process.machine.members  # type: ignore[union-attr]
    voters = [voter for voter in world.running() if voter is not leader and voter.process.machine.me in members]  # type: ignore[union-attr]
    start = int(target * 7919) % len(voters) if voters else 0
    return voters[start:] + voters[:start]


def _has_unsaved_entries(core: CoreMachine) -> bool:
    """Whether a core's log has entries that are not on its disk."""
    process, kept = core.process, core.disk.kept
    if process is None or process.machine is None or kept is None:
        return False
    saved = kept.saved
    return process.machine.log.last > (saved.entries[-1].index if saved.entries else saved.snapshot_index)


def _lose_unsaved_entries(world: World, fault: Fault, core: CoreMachine) -> None:
    """Crash the followers whose acknowledgement commits an entry before they have saved it, and isolate the leader."""
    leader = world.leader()
    if leader is None:
        return
    others = _other_voters(world, leader, fault.target)
    need = quorum(len(leader.process.machine.members)) - 1  # type: ignore[union-attr]
    few, rest = others[:need], others[need:]
    if not rest:
        return
    for peer in few:
        peer.disk.hangs_until = world.loop.now + WRITE_DELAY_S
    _cut(world, [leader], rest, WRITE_DELAY_S)

    def strike() -> None:
        for peer in few:
            _lose_power(world, peer)
        _cut(world, [leader], [core for core in world.core_machines.values()], max(MIN_ISOLATION_S, fault.duration_s))

    _call_when(
        world,
        world.loop.now + WRITE_DELAY_S,
        lambda: all(_has_unsaved_entries(peer) for peer in few),
        lambda: _call_later(world, 0.006 + 0.06 * fault.variant, strike),
    )


def _unsaved_vote(core: CoreMachine) -> str | None:
    """The candidate of a core's vote that is not yet on its disk."""
    process, kept = core.process, core.disk.kept
    if process is None or process.machine is None or kept is None:
        return None
    machine, saved = process.machine, kept.saved
    candidate = machine.vote if machine.vote != machine.me else None
    return candidate if candidate and (saved.term, saved.vote) != (machine.term, candidate) else None


def _lose_unsaved_vote(world: World, fault: Fault, core: CoreMachine) -> None:
    """Crash the leader, then voters before their vote is saved; isolate the candidate and restart the leader."""
    leader = world.leader()
    if leader is None:
        return
    others = _other_voters(world, leader, fault.target)
    world.crash(leader)
    for peer in others:
        peer.disk.slow = 0.3

    def strike() -> None:
        candidates = {_unsaved_vote(peer) for peer in others}
        chosen = [
            peer for peer in others if peer.process and peer.process.machine and peer.process.machine.me in candidates
        ]
        for peer in others:
            peer.disk.slow = 0.0
            if _unsaved_vote(peer) is not None:
                _lose_power(world, peer)
        _cut(world, chosen, list(world.core_machines.values()), max(MIN_ISOLATION_S, fault.duration_s))
        world.start_core(leader)

    until = world.loop.now + 3.0
    _call_when(
        world, until, lambda: any(_unsaved_vote(peer) for peer in others), lambda: _call_later(world, 0.004, strike)
    )
    _call_later(world, 3.1, lambda: world.start_core(leader))
    _call_later(world, 3.1, lambda: [setattr(peer.disk, "slow", 0.0) for peer in others] and None)


def _cut_during_read(world: World, fault: Fault, core: CoreMachine) -> None:
    """Drop what the leader sends from the moment at which it confirms its leadership for a read; it still receives."""
    leader = world.leader()
    if leader is None:
        return
    machine = leader.process.machine  # type: ignore[union-attr]
    _call_when(
        world,
        world.loop.now + 1.0,
        lambda: bool(machine._reads or machine._queued_reads),
        lambda: _call_later(
            world,
            POLL_INTERVAL_S,
            lambda: _cut(
                world, [leader], list(world.core_machines.values()), max(MIN_ISOLATION_S, fault.duration_s), False
            ),
        ),
    )


def _delay_membership_change(world: World, fault: Fault, core: CoreMachine) -> None:
    """Replace a lost member, and delay the other cores' disks as soon as the membership change is in the log."""
    if not world.can_lose_a_core():
        return
    world.retire(core)
    hosts_in_service = [peer.host for peer in world.core_machines.values() if not peer.retired]

    def changing() -> bool:
        leader = world.leader()
        return leader is not None and leader.process.machine.configs[-1][0] > leader.process.machine.commit  # type: ignore

    def hold_up() -> None:
        for peer in world.running():
            if peer is not world.leader():
                peer.disk.hangs_until = world.loop.now + WRITE_DELAY_S

    _call_later(world, REPLACEMENT_DELAY_S, lambda: world.add_core(hosts_in_service) and None)
    _call_later(world, REPLACEMENT_DELAY_S, lambda: _call_when(world, world.loop.now + 2.0, changing, hold_up))


def _isolate_with_newcomers(world: World, fault: Fault, core: CoreMachine) -> None:
    """Add two cores at once; as soon as the leader has a learner, cut it off from all others but the new ones."""
    leader = world.leader()
    if leader is None or not world.can_lose_a_core():
        return
    before = [peer for peer in world.core_machines.values() if peer is not leader]
    hosts_in_service = [peer.host for peer in world.core_machines.values() if not peer.retired]
    for _ in range(2):
        world.add_core(hosts_in_service)
    machine = leader.process.machine  # type: ignore[union-attr]
    _call_when(
        world,
        world.loop.now + 1.0,
        lambda: any(peer.kind == "learner" for peer in machine._peers.values()),
        lambda: _cut(world, [leader], before, max(MIN_ISOLATION_S, fault.duration_s)),
    )


AIMED_FAULTS: dict[str, Callable[[World, Fault, CoreMachine], None]] = {
    "newcomers alone": _isolate_with_newcomers,
    "unkept vote": _lose_unsaved_vote,
    "cut after a look": _cut_during_read,
    "change under way": _delay_membership_change,
    "unkept entries": _lose_unsaved_entries,
}
