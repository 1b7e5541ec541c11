"""Faults aimed at a moment: at what is promised and not yet kept, or looked at and not yet done.

Chance alone meets these moments of a few milliseconds too rarely. Each of these faults waits for its moment by looking
at the programs, which no other part of a walk does, and strikes there; then a majority without those who know goes on.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from knotwalk.consensus.membership_rules import quorum
from tests.simulation.wire import Cut
from tests.simulation.world import Place, World

if TYPE_CHECKING:
    from tests.simulation.faults import Fault

LOOK = 0.0005  # seconds between looks for the moment
HELD_UP = 0.45  # seconds that a write is held up: less than what a program takes for a disk that hangs
AWAY = 3.0  # seconds at least for which those who know stay away: others elect meanwhile
BACK = 0.05  # seconds after which a machine without power starts again
GONE = 2.5  # seconds after which a lost member is held for lost


def _later(world: World, wait: float, act: Callable[[], None]) -> None:
    world.loop.world.soon(act, wait=wait)


def _when(world: World, until: float, moment: Callable[[], bool], act: Callable[[], None]) -> None:
    """Act at the first look at which the moment has come, if one does in time."""
    if moment():
        act()
    elif world.loop.now < until:
        _later(world, LOOK, lambda: _when(world, until, moment, act))


def _cut(world: World, ones: list[Place], others: list[Place], length: float, both: bool = True) -> None:
    """Lose all between some cores and others."""
    until = world.loop.now + length
    for one in ones:
        for other in others:
            if one is not other:
                world.wire.cuts[one.host, other.host] = Cut("lost", until)
                if both:
                    world.wire.cuts[other.host, one.host] = Cut("lost", until)


def _no_power(world: World, place: Place) -> None:
    """Power is lost, and the write under way with it; soon it is back."""
    place.disk.under_way = None
    place.disk.hangs_until = place.disk.slow = 0.0
    world.crash(place)
    _later(world, BACK, lambda: world.start_core(place))


def _peers(world: World, leader: Place, who: float) -> list[Place]:
    """The other voters that run, in an order that differs."""
    members = leader.process.machine.members  # type: ignore[union-attr]
    found = [p for p in world.running() if p is not leader and p.process.machine.me in members]  # type: ignore[union-attr]
    at = int(who * 7919) % len(found) if found else 0
    return found[at:] + found[:at]


def _unkept(place: Place) -> bool:
    """Whether a machine has entries that its disk has not."""
    process, kept = place.process, place.disk.kept
    if process is None or process.machine is None or kept is None:
        return False
    saved = kept.saved
    return process.machine.log.last > (saved.entries[-1].index if saved.entries else saved.snapshot_index)


def _entries(world: World, fault: Fault, place: Place) -> None:
    """Those whose word would commit an entry lose power before it is kept; who leads is cut off then."""
    leader = world.leader()
    if leader is None:
        return
    others = _peers(world, leader, fault.who)
    need = quorum(len(leader.process.machine.members)) - 1  # type: ignore[union-attr]
    few, rest = others[:need], others[need:]
    if not rest:
        return
    for one in few:
        one.disk.hangs_until = world.loop.now + HELD_UP
    _cut(world, [leader], rest, HELD_UP)

    def strike() -> None:
        for one in few:
            _no_power(world, one)
        _cut(world, [leader], [p for p in world.places.values()], max(AWAY, fault.length))

    _when(
        world,
        world.loop.now + HELD_UP,
        lambda: all(_unkept(one) for one in few),
        lambda: _later(world, 0.006 + 0.06 * fault.how, strike),
    )


def _promised(place: Place) -> str | None:
    """Whom a machine gives a vote of which its disk knows nothing."""
    process, kept = place.process, place.disk.kept
    if process is None or process.machine is None or kept is None:
        return None
    machine, saved = process.machine, kept.saved
    given = machine.vote if machine.vote != machine.me else None
    return given if given and (saved.term, saved.vote) != (machine.term, given) else None


def _vote(world: World, fault: Fault, place: Place) -> None:
    """Who leads dies; a voter loses power before its vote is kept; the one it voted for is cut off, the dead return."""
    leader = world.leader()
    if leader is None:
        return
    others = _peers(world, leader, fault.who)
    world.crash(leader)
    for one in others:
        one.disk.slow = 0.3

    def strike() -> None:
        given = {_promised(one) for one in others}
        chosen = [one for one in others if one.process and one.process.machine and one.process.machine.me in given]
        for one in others:
            one.disk.slow = 0.0
            if _promised(one) is not None:
                _no_power(world, one)
        _cut(world, chosen, list(world.places.values()), max(AWAY, fault.length))
        world.start_core(leader)

    until = world.loop.now + 3.0
    _when(world, until, lambda: any(_promised(one) for one in others), lambda: _later(world, 0.004, strike))
    _later(world, 3.1, lambda: world.start_core(leader))
    _later(world, 3.1, lambda: [setattr(one.disk, "slow", 0.0) for one in others] and None)


def _between(world: World, fault: Fault, place: Place) -> None:
    """What the leader says is lost from the moment at which it asks whether it still leads; answers still come."""
    leader = world.leader()
    if leader is None:
        return
    machine = leader.process.machine  # type: ignore[union-attr]
    _when(
        world,
        world.loop.now + 1.0,
        lambda: bool(machine._reads or machine._queued_reads),
        lambda: _later(
            world, LOOK, lambda: _cut(world, [leader], list(world.places.values()), max(AWAY, fault.length), False)
        ),
    )


def _change(world: World, fault: Fault, place: Place) -> None:
    """A member is lost and another comes; the others' disks are held up as soon as it is to be taken in."""
    if not world.whole():
        return
    world.retire(place)
    there = [one.host for one in world.places.values() if not one.gone]

    def changing() -> bool:
        leader = world.leader()
        return leader is not None and leader.process.machine.configs[-1][0] > leader.process.machine.commit  # type: ignore

    def hold_up() -> None:
        for one in world.running():
            if one is not world.leader():
                one.disk.hangs_until = world.loop.now + HELD_UP

    _later(world, GONE, lambda: world.add_core(there) and None)
    _later(world, GONE, lambda: _when(world, world.loop.now + 2.0, changing, hold_up))


def _newcomers(world: World, fault: Fault, place: Place) -> None:
    """Two come at once; as soon as who leads has heard one of them, it is left with them alone."""
    leader = world.leader()
    if leader is None or not world.whole():
        return
    before = [one for one in world.places.values() if one is not leader]
    there = [one.host for one in world.places.values() if not one.gone]
    for _ in range(2):
        world.add_core(there)
    machine = leader.process.machine  # type: ignore[union-attr]
    _when(
        world,
        world.loop.now + 1.0,
        lambda: any(peer.kind == "learner" for peer in machine._peers.values()),
        lambda: _cut(world, [leader], before, max(AWAY, fault.length)),
    )


AIMED: dict[str, Callable[[World, Fault, Place], None]] = {
    "newcomers alone": _newcomers,
    "unkept vote": _vote,
    "cut after a look": _between,
    "change under way": _change,
    "unkept entries": _entries,
}
