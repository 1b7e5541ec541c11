"""Exact replay: drives the module from a recording and compares order by order.

Owns the comparison, and the cutting of a day into parts that are replayed at once. Claims nothing across a gap: what
was compared is told as stretches of time, and the rest as losses.
"""

import os
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from knotwalk import state
from knotwalk.decide import Conductor
from knotwalk.order_log import OrderLog
from knotwalk.record.format import CHECKPOINT, FAILED, LIFE, ROUND
from knotwalk.record.reader import Block, Loss, Recording
from knotwalk.state import SnapshotError

MOST = 20  # divergences kept: all that follow the first of a life mostly follow from it


class Divergence(NamedTuple):
    """Where a replay first differs from what was recorded."""

    incarnation: str
    number: int  # of the frame
    at: float  # its time
    place: int  # of the order within the round; -1: the state or the round itself
    recorded: str
    replayed: str
    held: list[str]  # what the state held about it


class Stretch(NamedTuple):
    """Time over which all was compared and alike."""

    since: float
    until: float


class Outcome(NamedTuple):
    """What a replay came to."""

    rounds: int
    orders: int
    joints: int  # checkpoints met again exactly
    lives: int
    failures: int  # decisions that failed, and failed again
    stretches: list[Stretch]
    losses: list[Loss]
    divergences: list[Divergence]
    faults: list[str]
    policies: list[str]  # digests of the policy by which the day was decided

    @property
    def exact(self) -> bool:
        return self.rounds > 0 and not self.divergences


def differs(a: object, b: object, path: str = "") -> str:
    """Where two snapshots first differ, in words; empty if they do not.

    >>> differs({"a": [1, 2]}, {"a": (1, 3)})
    'a.1: 2, 3 replayed'
    """
    if isinstance(a, dict) and isinstance(b, dict):
        for key in dict.fromkeys([*a, *b]):
            if found := differs(a.get(key), b.get(key), f"{path}.{key}" if path else str(key)):
                return found
        return ""
    if isinstance(a, list | tuple) and isinstance(b, list | tuple):
        if len(a) != len(b):
            return f"{path}: {len(a)} entries, {len(b)} replayed"
        for k, (x, y) in enumerate(zip(a, b)):
            if found := differs(x, y, f"{path}.{k}"):
                return found
        return ""
    return "" if a == b and type(a) is type(b) else f"{path}: {a!r:.60}, {b!r:.60} replayed"


def held_by(module: Conductor, orders: Iterable) -> list[str]:
    """What the state holds about the slices and servers of some orders."""
    out: list[str] = []
    for _, f in orders:
        for value in f:
            if (s := module.slices.get(value)) is not None and not isinstance(value, float | bool):
                told = ", ".join(f"{x.id} {w:g}" for x, w in s.sent_lines.items())
                out.append(f"slice {s.id}: demand {s.demand:.4g}, on {', '.join(x.id for x in s.shares)}; told {told}")
            elif isinstance(value, str) and (x := module.servers.get(value)) is not None:
                out.append(
                    f"server {x.id}: {x.state}, load {x.load:.4g} of {x.capacity:.4g}, health {x.health:g}, "
                    f"used {x.reported_use:.3g}"
                )
    return list(dict.fromkeys(out))[:6]


class Player:
    """Plays frames of one incarnation, from a life's start or a checkpoint on."""

    def __init__(self, incarnation: str, make: Callable[..., Conductor] = Conductor):
        self.incarnation, self.make = incarnation, make
        self.module: Conductor | None = None
        self.fresh = False  # a module made at a life's start, which the checkpoint is to be like
        self.rounds = self.orders = self.joints = self.lives = self.failures = 0
        self.stretches: list[list[float]] = []
        self.losses: list[Loss] = []
        self.divergences: list[Divergence] = []
        self.policies: dict[str, None] = {}

    def differ(self, frame: list, place: int, recorded: object, replayed: object, held: list[str]) -> None:
        if len(self.divergences) < MOST:
            self.divergences.append(
                Divergence(self.incarnation, frame[1], frame[2], place, f"{recorded}", f"{replayed}", held)
            )
        self.module = None  # what follows would only repeat it: on from the next checkpoint

    def play(self, events: Iterable[list | Loss]) -> "Player":
        for event in events:
            if isinstance(event, Loss):
                self.losses.append(event)
                self.module = None
            elif event[0] == ROUND:
                if self.module is not None:
                    self.round(event)
            elif event[0] == CHECKPOINT:
                self.check(event)
            elif event[0] == LIFE:
                self.life(event)
            elif event[0] == FAILED:
                if self.module is not None:
                    self.failed(event)
        return self

    def life(self, frame: list) -> None:
        told = frame[3]
        self.lives += 1
        self.module, self.fresh = None, told["why"] == "start"
        if self.fresh:
            self.module = self.make(state.settings_from_dict(told["settings"]), int(told["seed"], 16))

    def check(self, frame: list) -> None:
        """A checkpoint: the state must be this one, and from here on it is."""
        told, life = frame[3], frame[4]
        self.policies[life["policy"]] = None
        if self.module is not None:
            found = differs(told, state.snapshot(self.module))
            if found:
                self.differ(frame, -1, f"state of the checkpoint, {found}", "another", [])
            elif not self.fresh:
                self.joints += 1
        self.fresh = False
        if self.module is None:
            self.module = state.restore(told, state.settings_from_dict(life["settings"]), self.make)
            self.stretches.append([frame[2], frame[2]])
        elif not self.stretches:
            self.stretches.append([frame[2], frame[2]])

    def round(self, frame: list) -> None:
        assert self.module is not None
        _, number, now, inbox, recorded = frame
        out = OrderLog()
        try:
            self.module.decide(now, inbox, out)
        except Exception as fault:
            self.differ(frame, -1, f"{len(recorded)} orders", f"{type(fault).__name__}: {fault}", [])
            return
        self.rounds += 1
        self.orders += len(recorded)
        if out.orders != recorded:
            self.compare(frame, recorded, out.orders)
        elif self.stretches:
            self.stretches[-1][1] = now

    def compare(self, frame: list, recorded: list, replayed: list) -> None:
        assert self.module is not None
        place = next(
            (k for k, (a, b) in enumerate(zip(recorded, replayed)) if a != b), min(len(recorded), len(replayed))
        )
        here = [rows[place] if place < len(rows) else None for rows in (recorded, replayed)]
        words = [f"{x[0]} {' '.join(map(str, x[1]))}" if x else "no further order" for x in here]
        self.differ(frame, place, words[0], words[1], held_by(self.module, [x for x in here if x]))

    def failed(self, frame: list) -> None:
        """A round in which the decisions failed: they must fail again, after the same orders."""
        _, number, now, inbox, recorded, text = frame
        out = OrderLog()
        try:
            assert self.module is not None
            self.module.decide(now, inbox, out)
        except Exception:
            self.failures += 1
            if out.orders != recorded:
                self.compare(frame, recorded, out.orders)
            self.module = None
        else:
            self.differ(frame, -1, f"decisions that failed: {text.strip().splitlines()[-1]}", "none that did", [])


def chunks(
    recording: Recording, incarnation: str, jobs: int, since: float, until: float
) -> Iterator[tuple[list[Block], Block | None]]:
    """An incarnation's blocks in about so many runs that each begin with a checkpoint, and the block after each."""
    parts = recording.parts(incarnation)
    # What is not near the time asked for is left out, whole parts at a time.
    wanted = [
        p
        for k, p in enumerate(parts)
        if p[-1].header.ends_at >= since and p[0].header.begins_at <= until or k + 1 == len(parts) == 1
    ]
    if not wanted:
        return
    after = parts.index(wanted[-1]) + 1
    then = parts[after][0] if after < len(parts) else None
    weight = sum(x.header.payload_bytes for p in wanted for x in p) / max(1, jobs)
    run: list[list[Block]] = []
    for k, part in enumerate(wanted):
        run.append(part)
        if sum(x.header.payload_bytes for p in run for x in p) >= weight or k + 1 == len(wanted):
            following = wanted[k + 1][0] if k + 1 < len(wanted) else then
            yield [x for p in run for x in p], following
            run = []


def play(
    incarnation: str,
    blocks: list[Block],
    first: int,
    then: Block | None,
    until: float,
    make: Callable[..., Conductor] = Conductor,
) -> tuple[Player, list[str]]:
    """Replay one run of blocks, whose numbers should begin with `first`, up to the checkpoint with which the next
    begins, itself included."""
    recording = Recording.__new__(Recording)  # the blocks say where they lie: nothing is read twice
    recording.faults = []
    player = Player(incarnation, make)
    events = recording.events(blocks, first, then)
    for event in events:
        if not isinstance(event, Loss) and event[2] > until and event[0] != CHECKPOINT:
            break
        player.play([event])
    else:
        if then is not None and player.module is not None and (frame := Recording.checkpoint(then)):
            player.check(frame)
    return player, [str(f) for f in recording.faults]


def _play(arguments: tuple) -> tuple[Player, list[str]]:
    player, faults = play(*arguments)
    player.module = None  # it stays in its process
    return player, faults


def replay(
    recording: Recording,
    jobs: int = 1,
    since: float = float("-inf"),
    until: float = float("inf"),
    told: Callable[[int, int], None] = lambda done, of: None,
) -> Outcome:
    """Replay a recording exactly, with so many processes at once; `told` hears of runs done and of how many.

    Raises SnapshotError for snapshots or settings that this version cannot use.
    """
    work = []
    for incarnation in recording.incarnations:
        first = 0 if since == float("-inf") else None  # what the budget removed at the front is a loss too
        # Some runs a job, so that none waits long for the last.
        for blocks, then in chunks(recording, incarnation, jobs if jobs < 2 else 4 * jobs, since, until):
            work.append((incarnation, blocks, blocks[0].header.first_number if first is None else first, then, until))
            first = None
    players: list[Player] = []
    faults = [str(f) for f in recording.faults]
    if jobs < 2:
        results: Iterable = map(_play, work)
        pool = None
    else:
        pool = ProcessPoolExecutor(jobs)
        results = pool.map(_play, work)
    try:
        for player, found in results:
            players.append(player)
            faults += found
            told(len(players), len(work))
    finally:
        if pool:
            pool.shutdown(cancel_futures=True)
    stretches: list[Stretch] = []
    for a, b in (s for p in players for s in p.stretches):
        if stretches and stretches[-1].until == a:  # parts that meet at a joint
            stretches[-1] = Stretch(stretches[-1].since, b)
        elif b > a:  # a checkpoint alone compares nothing
            stretches.append(Stretch(a, b))
    return Outcome(
        rounds=sum(p.rounds for p in players),
        orders=sum(p.orders for p in players),
        joints=sum(p.joints for p in players),
        lives=sum(p.lives for p in players),
        failures=sum(p.failures for p in players),
        stretches=stretches,
        losses=[x for p in players for x in p.losses],
        divergences=[x for p in players for x in p.divergences],
        faults=list(dict.fromkeys(faults)),
        policies=list(dict.fromkeys(d for p in players for d in p.policies)),
    )


def cores() -> int:
    return len(os.sched_getaffinity(0))


__all__ = ["Divergence", "Outcome", "Player", "Stretch", "SnapshotError", "cores", "play", "replay"]
