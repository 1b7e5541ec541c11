"""Recordings: format, recorder, writer, reader, and what damage does to them."""

import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from random import Random

import msgpack
import pytest
import zstandard
from hypothesis import given, settings, strategies as st
from standins.day import Day, Size, storm
from standins.tapes import LIMITS, Tapes

from knotwalk.decide import Conductor
from knotwalk.net.loop import Loop
from knotwalk.record import format
from knotwalk.record.feed import Feed
from knotwalk.record.reader import CUT_OFF, Loss, Recording, Unusable
from knotwalk.record.recorder import LENGTH, Recorder
from knotwalk.record.writer import file_name
from knotwalk.replay.exact import play, replay

SMALL = Size(servers=5, proxies=4, slices=12, rate=40.0)
NAME, INT = st.text(max_size=8), st.integers(0, 2**63)
FIGURE = st.floats(allow_nan=False) | st.integers(-5, 2**40)
ENTRY = st.tuples(NAME, NAME, st.sampled_from(["ready", "draining", "gone"]), FIGURE, FIGURE)
INBOX = st.lists(
    st.one_of(
        st.tuples(st.just("listed"), st.tuples(st.booleans(), st.booleans(), st.lists(ENTRY, max_size=3))),
        st.tuples(st.sampled_from(["joined", "left", "given", "taken"]), st.tuples(INT)),
        st.tuples(st.sampled_from(["list_failed", "receipts_lost"]), st.just(())),
        st.tuples(st.just("held"), st.tuples(INT, NAME, FIGURE)),
        st.tuples(st.just("wanted"), st.tuples(INT, INT, FIGURE, INT)),
        st.tuples(
            st.just("heard"), st.tuples(NAME, NAME, FIGURE, INT, INT, FIGURE, st.dictionaries(NAME, FIGURE, max_size=3))
        ),
        st.tuples(st.just("later"), st.tuples(NAME, FIGURE)),
    ),
    max_size=6,
)
ORDERS = st.lists(
    st.one_of(
        st.tuples(st.just("line"), st.tuples(INT, NAME, FIGURE)),
        st.tuples(st.just("admit"), st.tuples(st.none() | INT, INT, FIGURE, INT)),
        st.tuples(st.just("withdraw"), st.tuples(NAME, st.booleans())),
        st.tuples(st.just("watch"), st.just(())),
        st.tuples(st.just("note"), st.tuples(NAME)),
    ),
    max_size=4,
)


def compress(data):
    return zstandard.ZstdCompressor().compress(data)


def expand(data, whole):
    return zstandard.ZstdDecompressor().decompress(data, max_output_size=whole)


def exactly(value):
    """A value that tells 1, 1.0 and True apart."""
    return repr(value)


@settings(deadline=None, derandomize=True)
@given(st.lists(st.tuples(FIGURE.map(float), INBOX, ORDERS), min_size=1, max_size=5))
def test_any_inbox_and_orders_survive_a_block(rounds):
    frames = [[format.ROUND, k, now, inbox, orders] for k, (now, inbox, orders) in enumerate(rounds)]
    data = format.block(frames, compress)
    lot = format.lot_of(data)
    back = [[*f[:3], [(h, a) for h, a in f[3]], f[4]] for f in format.frames_of(lot, data[format.LOT.size :], expand)]
    assert exactly(back) == exactly(frames) and (lot.first, lot.frames) == (0, len(frames))


def recorded(folder, seed=1, seconds=40.0, script=None, **options):
    tapes = Tapes(folder, **options)
    day = Day(
        seed,
        SMALL,
        script=storm(seed, SMALL, seconds, every=6) if script is None else script,
        witness=tapes.witness,
        lives=tapes.lives,
    )
    day.run(seconds)
    return tapes, day


def test_a_day_reads_back_whole_and_replays_exactly(tmp_path):
    tapes, day = recorded(tmp_path)
    tapes.close(day.now)
    recording = Recording([tmp_path])
    outcome = replay(recording)
    assert outcome.exact and outcome.joints >= 3 and not outcome.losses and not outcome.faults
    assert outcome.rounds + outcome.lives + outcome.joints + 2 == tapes.recorder.number


def test_a_recording_of_many_segments_keeps_its_budget_and_replays_from_where_it_begins(tmp_path):
    tapes, day = recorded(tmp_path, every=3.0, most=1 << 12, budget=1 << 15)
    tapes.close(day.now)
    files = sorted(os.listdir(tmp_path))
    assert len(files) > 1 and files[0] != file_name("n0", 1)
    assert sum(p.stat().st_size for p in tmp_path.iterdir()) <= 1 << 15
    outcome = replay(Recording([tmp_path]), jobs=2)
    assert outcome.exact and not outcome.divergences and outcome.losses[0].frames > 0


def test_a_segment_missing_in_the_middle_is_a_loss_with_numbers_and_times(tmp_path):
    tapes, day = recorded(tmp_path, every=3.0, most=1 << 12)
    tapes.close(day.now)
    files = sorted(tmp_path.iterdir())
    missing = Recording([files[1]]).incarnations["i1"]
    files[1].unlink()
    outcome = replay(Recording([tmp_path]))
    (loss,) = outcome.losses
    assert loss.frames == sum(x.lot.frames for x in missing) and loss.since <= missing[0].lot.begun
    assert outcome.exact and len(outcome.stretches) == 2 and outcome.stretches[0].until <= loss.since


def test_two_conductors_in_a_folder_are_told_apart(tmp_path):
    for name in ("n0", "n1"):
        tapes, day = recorded(tmp_path, seconds=5.0, name=name)
        tapes.close(day.now)
    with pytest.raises(Unusable, match="2 conductors, n0, n1: name one"):
        Recording([tmp_path])
    assert replay(Recording([tmp_path], "n1")).exact
    with pytest.raises(Unusable, match="no recording of n2; there is n0, n1"):
        Recording([tmp_path], "n2")


def test_a_clock_set_back_between_two_lives_keeps_their_order(tmp_path):
    for incarnation, start in (("i1", 5e6), ("i2", 1e6)):
        tapes = Tapes(tmp_path, incarnation=incarnation)
        day = Day(1, SMALL, witness=tapes.witness, lives=tapes.lives, start=start).run(12.0)
        tapes.close(day.now)
    outcome = replay(Recording([tmp_path]))
    assert outcome.exact and [s.since for s in outcome.stretches] == [5e6, 1e6] and not outcome.losses


@settings(max_examples=60, deadline=None, derandomize=True)
@given(place=st.floats(0, 1, exclude_max=True), bit=st.integers(0, 7), cut=st.booleans())
def test_any_cut_or_flipped_bit_is_found_or_harmless(tmp_path_factory, place, bit, cut):
    folder = tmp_path_factory.mktemp("tape")
    (folder / file_name("n0", 1)).write_bytes(spoilt(plain(), place, bit, cut))
    try:
        recording = Recording([folder])
    except Unusable:
        return  # the head of the only segment: nothing is claimed
    outcome = replay(recording)
    frames = outcome.rounds + outcome.joints + outcome.lives + 2
    assert not outcome.divergences
    assert frames == WHOLE[0] or outcome.losses or outcome.faults


WHOLE: list[int] = []
HELD: list[bytes] = []


def plain():
    """A segment of some blocks, made once."""
    if not HELD:
        with tempfile.TemporaryDirectory() as folder:
            tapes, day = recorded(folder, seconds=12.0, every=3.0)
            tapes.close(day.now)
            HELD.append(Path(folder, file_name("n0", 1)).read_bytes())
            WHOLE.append(tapes.recorder.number)
    return HELD[0]


def spoilt(data, place, bit, cut):
    at = int(place * len(data))
    return data[:at] if cut else data[:at] + bytes([data[at] ^ 1 << bit]) + data[at + 1 :]


def test_a_recorder_without_room_drops_whole_rounds_and_says_so():
    recorder = Recorder("n0", "i1", "digest", 1e9, room=40_000)
    day = Day(1, SMALL)
    recorder.life(0.0, day.module, day.settings, LIMITS, 1, "start")
    held = len(recorder.waiting)
    for k in range(3000):
        recorder.round(float(k), [("joined", (k,))], [], day.module)
    recorder.settle()
    assert held < len(recorder.waiting) <= 40_000 and recorder.gap and recorder.lost > 1000
    lost, last = recorder.lost, recorder.number
    recorder.waiting.clear()
    recorder.round(3000.0, [], [], day.module)
    first = msgpack.unpackb(recorder.waiting[4 : 4 + LENGTH.unpack_from(recorder.waiting)[0]])
    assert first[:3] == [format.GAP, last + 1, 3000.0] and first[4] == lost + 1 and recorder.gap is None


def test_a_round_that_cannot_be_packed_is_a_gap_and_no_fault():
    recorder = Recorder("n0", "i1", "digest", 1e9)
    day = Day(1, SMALL)
    recorder.round(1.0, [("joined", (1 << 70,))], [], day.module)
    recorder.settle()
    assert recorder.gap and "cannot be packed" in recorder.gap[1]
    recorder.round(2.0, [], [], day.module)
    assert recorder.gap is None and recorder.lost_all == 2


class Fed:
    """A feed and a real writer on a loop of their own, with a day's module."""

    def __init__(self, folder, **options):
        self.loop, self.lines = Loop(), []
        self.recorder = Recorder("n0", "i1", "digest", options.pop("every", 1e9), **options)
        self.feed = Feed(
            self.loop,
            self.recorder,
            [str(folder), "n0", "i1", str(1 << 30), "1e9", str(1 << 40)],
            lambda kind, text="": self.lines.append(kind),
        )
        self.day = Day(
            3,
            SMALL,
            script=storm(3, SMALL, 400.0, every=4),
            witness=self.witness,
            lives=lambda now, m, s, seed: self.recorder.life(now, m, s, LIMITS, seed, "start"),
        )

    def witness(self, now, inbox, orders, module):
        self.recorder.round(now, inbox, orders, module)

    def rounds(self, seconds):
        self.day.run(seconds)
        self.feed.flush()
        self.turn(0.0)

    def turn(self, seconds):
        end = time.monotonic() + seconds
        self.loop.call_later(0.005, lambda: None)
        self.loop.run_once()
        while time.monotonic() < end:
            self.loop.call_later(0.005, lambda: None)
            self.loop.run_once()

    def until(self, true, seconds=90.0):
        end = time.monotonic() + seconds
        while not true():
            assert time.monotonic() < end, "never came"
            self.turn(0.02)

    def close(self):
        self.until(lambda: self.feed.sock and not self.recorder.waiting and not self.recorder.rounds)
        process = self.feed.process
        self.recorder.end(self.day.now)
        self.feed.close()
        process.wait(20)


def test_a_writer_killed_again_and_again_leaves_whole_blocks_and_says_what_is_lost(tmp_path, monkeypatch):
    monkeypatch.setattr("knotwalk.record.feed.AGAIN_FIRST", 0.01)
    monkeypatch.setattr("knotwalk.record.feed.AGAIN_MOST", 0.01)
    fed, chance = Fed(tmp_path), Random(5)
    for _ in range(5):
        fed.until(lambda: fed.feed.sock)
        fed.rounds(10.0)
        fed.turn(chance.uniform(0, 0.2))
        fed.feed.process.kill()
        fed.until(lambda: fed.recorder.gap)
    fed.until(lambda: fed.feed.sock)
    fed.rounds(20.0)
    fed.until(lambda: fed.lines[-1] == "recording goes on")
    fed.close()
    outcome = replay(Recording([tmp_path]))
    assert not outcome.divergences and outcome.rounds
    held = sum(x.lot.frames for x in Recording([tmp_path]).incarnations["i1"])
    assert held + sum(x.frames for x in outcome.losses) == fed.recorder.number
    assert fed.lines == ["recording stands still", "recording goes on"] * (len(fed.lines) // 2)


def test_a_folder_that_cannot_be_written_is_said_once_and_comes_back(tmp_path):
    folder = tmp_path / "there"
    folder.write_text("a file where the folder is to be")
    fed = Fed(folder)
    fed.rounds(8.0)
    fed.until(lambda: fed.recorder.held)
    fed.rounds(8.0)
    assert fed.lines == ["recording stands still"] and not fed.recorder.waiting
    folder.unlink()
    fed.until(lambda: not fed.recorder.held)
    fed.rounds(20.0)
    fed.until(lambda: len(fed.lines) == 2)
    fed.close()
    assert fed.lines == ["recording stands still", "recording goes on"]
    outcome = replay(Recording([folder]))
    assert outcome.rounds and not outcome.divergences and sum(x.frames for x in outcome.losses)


def test_a_disk_that_fills_and_comes_back_leaves_whole_blocks_and_a_loss(tmp_path, monkeypatch):
    tapes, real, full = Tapes(tmp_path, every=3.0), os.write, [1 << 30]

    def write(fd, data):
        """So many bytes fit; then no more."""
        if full[0] <= 0:
            raise OSError(28, "No space left on device")
        count = real(fd, data[: full[0]])
        full[0] -= count
        return count

    monkeypatch.setattr(os, "write", write)

    def witness(now, inbox, orders, module):
        tapes.witness(now, inbox, orders, module)
        tapes.drain()
        if tapes.writer.failing and not tapes.recorder.held:
            tapes.recorder.hold(now, tapes.said[-1][1])

    day = Day(2, SMALL, script=storm(2, SMALL, 60.0, every=4), witness=witness, lives=tapes.lives).run(15.0)
    full[0] = 300
    day.run(15.0)
    assert tapes.said == [["lost", f"{tmp_path}: No space left on device"]]
    monkeypatch.setattr(os, "pwrite", lambda fd, data, at: (_ for _ in ()).throw(OSError(28, "full")))
    tapes.writer.retry()
    assert tapes.writer.failing
    monkeypatch.undo()
    tapes.writer.retry()
    assert tapes.said[-1] == ["back"]
    tapes.recorder.release()
    day.run(15.0)
    tapes.close(day.now)
    outcome = replay(Recording([tmp_path]))
    assert outcome.exact and len(outcome.stretches) == 2 and outcome.losses[0].frames > 0


def test_a_writer_that_stands_still_costs_the_rounds_nothing(tmp_path):
    """A stalled disk: the writer is stopped, and rounds are dropped within the recorder's room."""
    fed = Fed(tmp_path, room=100_000, every=0.5)
    fed.until(lambda: fed.feed.sock and not fed.recorder.waiting)
    fed.feed.process.send_signal(signal.SIGSTOP)
    begun = time.process_time()
    fed.day.run(150.0)
    fed.feed.flush()
    assert fed.recorder.gap and len(fed.recorder.waiting) <= 100_000
    alone = Day(3, SMALL, script=storm(3, SMALL, 400.0, every=4))
    middle = time.process_time()
    alone.run(150.0)
    assert middle - begun < 3 * (time.process_time() - middle) + 1
    fed.feed.process.send_signal(signal.SIGCONT)
    fed.until(lambda: len(fed.recorder.waiting) < 50_000)
    fed.rounds(3.0)
    fed.close()
    outcome = replay(Recording([tmp_path]))
    assert not outcome.divergences and any("the writer is behind" in x.why for x in outcome.losses)


def test_a_conductor_cut_off_within_a_frame_leaves_what_was_whole(tmp_path):
    ours, theirs = socket.socketpair()
    writer = subprocess.Popen(
        [sys.executable, "-m", "knotwalk.record.writer", str(tmp_path), "n0", "i1", str(1 << 30), "1e9", str(1 << 40)],
        stdin=theirs,
    )
    theirs.close()
    recorder = Recorder("n0", "i1", "digest", 1e9)
    day = Day(
        3,
        SMALL,
        lives=lambda now, m, s, seed: recorder.life(now, m, s, LIMITS, seed, "start"),
        witness=recorder.round,
        script=storm(3, SMALL, 30.0, every=4),
    ).run(30.0)
    recorder.settle()
    assert day and recorder.number > 20
    ours.sendall(recorder.waiting[:-7])
    ours.close()
    assert writer.wait(20) == 0
    recording = Recording([tmp_path])
    outcome = replay(recording)
    assert outcome.exact and outcome.rounds == recorder.number - 3
    assert outcome.losses == [Loss(outcome.losses[0].since, float("inf"), 0, CUT_OFF)]


def test_a_policy_that_would_have_decided_otherwise_is_found_with_its_round_and_order(tmp_path):
    tapes, day = recorded(tmp_path, seconds=20.0)
    tapes.close(day.now)

    class Other(Conductor):
        LIGHT = 1.0

    recording = Recording([tmp_path])
    player, _ = play("i1", recording.incarnations["i1"], 0, None, float("inf"), Other)
    first = player.divergences[0]
    assert first.at > day.start and first.recorded != first.replayed and first.held
