"""Exact replay: feeds recorded input to the policy and compares its orders with the recorded ones.

A recording is split into parts that are replayed in parallel. Nothing is claimed across a gap: the outcome lists the
stretches of time that were compared, and the losses between them.
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

MAX_DIVERGENCES = 20  # kept in the outcome; later ones are mostly consequences of the first


class Divergence(NamedTuple):
    """A difference between a replay and the recording."""

    incarnation: str
    number: int  # of the frame
    at: float  # time of the frame, Unix seconds
    place: int  # index of the order within the round; -1 for the state or the entire round
    recorded: str
    replayed: str
    held: list[str]  # the state of the slices and servers concerned


class Stretch(NamedTuple):
    """A period over which everything was compared and equal."""

    since: float
    until: float


class Outcome(NamedTuple):
    """The result of a replay."""

    rounds: int
    orders: int
    joints: int  # checkpoints that the replay reproduced exactly
    lives: int
    failures: int  # rounds that failed in the recording and failed again
    stretches: list[Stretch]
    losses: list[Loss]
    divergences: list[Divergence]
    faults: list[str]
    policies: list[str]  # digests of the policies that were recorded

    @property
    def exact(self) -> bool:
        return self.rounds > 0 and not self.divergences


def first_difference(recorded: object, replayed: object, path: str = "") -> str:
    """Describe the first difference between two snapshots; empty if they are equal.

    >>> first_difference({"a": [1, 2]}, {"a": (1, 3)})
    'a.1: 2, 3 replayed'
    """
    if isinstance(recorded, dict) and isinstance(replayed, dict):
        for key in dict.fromkeys([*recorded, *replayed]):
            if found := first_difference(recorded.get(key), replayed.get(key), f"{path}.{key}" if path else str(key)):
                return found
        return ""
    if isinstance(recorded, list | tuple) and isinstance(replayed, list | tuple):
        if len(recorded) != len(replayed):
            return f"{path}: {len(recorded)} entries, {len(replayed)} replayed"
        for k, (x, y) in enumerate(zip(recorded, replayed)):
            if found := first_difference(x, y, f"{path}.{k}"):
                return found
        return ""
    return (
        ""
        if recorded == replayed and type(recorded) is type(replayed)
        else f"{path}: {recorded!r:.60}, {replayed!r:.60} replayed"
    )


def describe_state(module: Conductor, orders: Iterable) -> list[str]:
    """Describe the state of the slices and servers that some orders name."""
    descriptions: list[str] = []
    for _, arguments in orders:
        for value in arguments:
            if (s := module.slices.get(value)) is not None and not isinstance(value, float | bool):
                sent_lines = ", ".join(f"{x.id} {w:g}" for x, w in s.sent_lines.items())
                descriptions.append(
                    f"slice {s.id}: demand {s.demand:.4g}, on {', '.join(x.id for x in s.shares)}; sent {sent_lines}"
                )
            elif isinstance(value, str) and (x := module.servers.get(value)) is not None:
                descriptions.append(
                    f"server {x.id}: {x.state}, load {x.load:.4g} of {x.capacity:.4g}, health {x.health:g}, "
                    f"used {x.reported_use:.3g}"
                )
    return list(dict.fromkeys(descriptions))[:6]


class Player:
    """Replays frames of one incarnation, from the start of a life or a checkpoint on."""

    def __init__(self, incarnation: str, make: Callable[..., Conductor] = Conductor):
        self.incarnation, self.make = incarnation, make
        self.module: Conductor | None = None
        self.is_new = False  # created at the start of a life; its state must equal the checkpoint that follows
        self.rounds = self.orders = self.joints = self.lives = self.failures = 0
        self.stretches: list[list[float]] = []
        self.losses: list[Loss] = []
        self.divergences: list[Divergence] = []
        self.policies: dict[str, None] = {}

    def add_divergence(self, frame: list, place: int, recorded: object, replayed: object, held: list[str]) -> None:
        if len(self.divergences) < MAX_DIVERGENCES:
            self.divergences.append(
                Divergence(self.incarnation, frame[1], frame[2], place, f"{recorded}", f"{replayed}", held)
            )
        self.module = None  # skip to the next checkpoint, since all later rounds would differ too

    def play(self, events: Iterable[list | Loss]) -> "Player":
        for event in events:
            if isinstance(event, Loss):
                self.losses.append(event)
                self.module = None
            elif event[0] == ROUND:
                if self.module is not None:
                    self.replay_round(event)
            elif event[0] == CHECKPOINT:
                self.check_state(event)
            elif event[0] == LIFE:
                self.start_life(event)
            elif event[0] == FAILED:
                if self.module is not None:
                    self.replay_failure(event)
        return self

    def start_life(self, frame: list) -> None:
        life = frame[3]
        self.lives += 1
        self.module, self.is_new = None, life["why"] == "start"
        if self.is_new:
            self.module = self.make(state.settings_from_dict(life["settings"]), int(life["seed"], 16))

    def check_state(self, frame: list) -> None:
        """Compare the state with a checkpoint, and continue from the checkpoint if they differ."""
        snapshot, life = frame[3], frame[4]
        self.policies[life["policy"]] = None
        if self.module is not None:
            found = first_difference(snapshot, state.snapshot(self.module))
            if found:
                self.add_divergence(frame, -1, f"state of the checkpoint, {found}", "another", [])
            elif not self.is_new:
                self.joints += 1
        self.is_new = False
        if self.module is None:
            self.module = state.restore(snapshot, state.settings_from_dict(life["settings"]), self.make)
            self.stretches.append([frame[2], frame[2]])
        elif not self.stretches:
            self.stretches.append([frame[2], frame[2]])

    def replay_round(self, frame: list) -> None:
        assert self.module is not None
        _, number, now, inbox, recorded = frame
        out = OrderLog()
        try:
            self.module.decide(now, inbox, out)
        except Exception as error:
            self.add_divergence(frame, -1, f"{len(recorded)} orders", f"{type(error).__name__}: {error}", [])
            return
        self.rounds += 1
        self.orders += len(recorded)
        if out.orders != recorded:
            self.compare_orders(frame, recorded, out.orders)
        elif self.stretches:
            self.stretches[-1][1] = now

    def compare_orders(self, frame: list, recorded: list, replayed: list) -> None:
        assert self.module is not None
        place = next(
            (k for k, (a, b) in enumerate(zip(recorded, replayed)) if a != b), min(len(recorded), len(replayed))
        )
        differing_orders = [rows[place] if place < len(rows) else None for rows in (recorded, replayed)]
        descriptions = [f"{x[0]} {' '.join(map(str, x[1]))}" if x else "no further order" for x in differing_orders]
        self.add_divergence(
            frame,
            place,
            descriptions[0],
            descriptions[1],
            describe_state(self.module, [x for x in differing_orders if x]),
        )

    def replay_failure(self, frame: list) -> None:
        """Replay a round that raised an exception: it must raise again, after the same orders."""
        _, number, now, inbox, recorded, text = frame
        out = OrderLog()
        try:
            assert self.module is not None
            self.module.decide(now, inbox, out)
        except Exception:
            self.failures += 1
            if out.orders != recorded:
                self.compare_orders(frame, recorded, out.orders)
            self.module = None
        else:
            self.add_divergence(
                frame, -1, f"decisions that failed: {text.strip().splitlines()[-1]}", "none that did", []
            )


def split_blocks(
    recording: Recording, incarnation: str, jobs: int, since: float, until: float
) -> Iterator[tuple[list[Block], Block | None]]:
    """Split the blocks into about `jobs` runs that start with a checkpoint, and yield each with the block after it."""
    parts = recording.parts(incarnation)
    # Parts that lie entirely outside the requested time are left out.
    selected_parts = [
        p
        for k, p in enumerate(parts)
        if p[-1].header.ends_at >= since and p[0].header.begins_at <= until or k + 1 == len(parts) == 1
    ]
    if not selected_parts:
        return
    after = parts.index(selected_parts[-1]) + 1
    next_block = parts[after][0] if after < len(parts) else None
    weight = sum(x.header.payload_bytes for p in selected_parts for x in p) / max(1, jobs)
    run: list[list[Block]] = []
    for k, part in enumerate(selected_parts):
        run.append(part)
        if sum(x.header.payload_bytes for p in run for x in p) >= weight or k + 1 == len(selected_parts):
            following = selected_parts[k + 1][0] if k + 1 < len(selected_parts) else next_block
            yield [x for p in run for x in p], following
            run = []


def play(
    incarnation: str,
    blocks: list[Block],
    first: int,
    next_block: Block | None,
    until: float,
    make: Callable[..., Conductor] = Conductor,
) -> tuple[Player, list[str]]:
    """Replay a run of blocks, whose frame numbers should begin with `first`, and compare the state with the checkpoint
    at the beginning of `next_block`."""
    recording = Recording.__new__(Recording)  # blocks hold their own location, so no file is scanned again
    recording.faults = []
    player = Player(incarnation, make)
    events = recording.events(blocks, first, next_block)
    for event in events:
        if not isinstance(event, Loss) and event[2] > until and event[0] != CHECKPOINT:
            break
        player.play([event])
    else:
        if next_block is not None and player.module is not None and (frame := Recording.checkpoint(next_block)):
            player.check_state(frame)
    return player, [str(x) for x in recording.faults]


def _play(arguments: tuple) -> tuple[Player, list[str]]:
    player, faults = play(*arguments)
    player.module = None  # not sent back to the parent process
    return player, faults


def replay(
    recording: Recording,
    jobs: int = 1,
    since: float = float("-inf"),
    until: float = float("inf"),
    on_progress: Callable[[int, int], None] = lambda done, total: None,
) -> Outcome:
    """Replay a recording exactly in `jobs` processes; `on_progress` is called with the runs done and their total.

    Raises SnapshotError for snapshots or settings that this version cannot use.
    """
    work = []
    for incarnation in recording.incarnations:
        first = 0 if since == float("-inf") else None  # segments removed by the budget are a loss
        # Several runs per job, so that the jobs finish at about the same time.
        for blocks, next_block in split_blocks(recording, incarnation, jobs if jobs < 2 else 4 * jobs, since, until):
            work.append(
                (incarnation, blocks, blocks[0].header.first_number if first is None else first, next_block, until)
            )
            first = None
    players: list[Player] = []
    faults = [str(x) for x in recording.faults]
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
            on_progress(len(players), len(work))
    finally:
        if pool:
            pool.shutdown(cancel_futures=True)
    stretches: list[Stretch] = []
    for begin, end in (s for p in players for s in p.stretches):
        if stretches and stretches[-1].until == begin:  # adjacent parts
            stretches[-1] = Stretch(stretches[-1].since, end)
        elif end > begin:  # a checkpoint alone is no comparison
            stretches.append(Stretch(begin, end))
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
