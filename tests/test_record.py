"""Recordings: format, recorder, writer and reader, and how damaged recordings are read."""

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
from standins.recordings import LIMITS, DayRecorder

from knotwalk.decide import Conductor
from knotwalk.net.loop import Loop
from knotwalk.record import format
from knotwalk.record.feed import Feed
from knotwalk.record.reader import CUT_OFF, Loss, Recording, UnusableRecordingError
from knotwalk.record.recorder import LENGTH_PREFIX, Recorder
from knotwalk.record.writer import file_name
from knotwalk.replay.exact import play, replay

SMALL = Size(servers=5, proxies=4, slices=12, rate=40.0)
NAMES, INTEGERS = st.text(max_size=8), st.integers(0, 2**63)
NUMBERS = st.floats(allow_nan=False) | st.integers(-5, 2**40)
ENTRIES = st.tuples(NAMES, NAMES, st.sampled_from(["ready", "draining", "gone"]), NUMBERS, NUMBERS)
INBOXES = st.lists(
    st.one_of(
        st.tuples(st.just("listed"), st.tuples(st.booleans(), st.booleans(), st.lists(ENTRIES, max_size=3))),
        st.tuples(st.sampled_from(["joined", "left", "given", "taken"]), st.tuples(INTEGERS)),
        st.tuples(st.sampled_from(["list_failed", "receipts_lost"]), st.just(())),
        st.tuples(st.just("held"), st.tuples(INTEGERS, NAMES, NUMBERS)),
        st.tuples(st.just("wanted"), st.tuples(INTEGERS, INTEGERS, NUMBERS, INTEGERS)),
        st.tuples(
            st.just("heard"),
            st.tuples(NAMES, NAMES, NUMBERS, INTEGERS, INTEGERS, NUMBERS, st.dictionaries(NAMES, NUMBERS, max_size=3)),
        ),
        st.tuples(st.just("later"), st.tuples(NAMES, NUMBERS)),
    ),
    max_size=6,
)
ORDERS = st.lists(
    st.one_of(
        st.tuples(st.just("line"), st.tuples(INTEGERS, NAMES, NUMBERS)),
        st.tuples(st.just("admit"), st.tuples(st.none() | INTEGERS, INTEGERS, NUMBERS, INTEGERS)),
        st.tuples(st.just("withdraw"), st.tuples(NAMES, st.booleans())),
        st.tuples(st.just("watch"), st.just(())),
        st.tuples(st.just("note"), st.tuples(NAMES)),
    ),
    max_size=4,
)


def compress(data):
    return zstandard.ZstdCompressor().compress(data)


def decompress(data, size):
    return zstandard.ZstdDecompressor().decompress(data, max_output_size=size)


def typed_repr(value):
    """A representation that differs for 1, 1.0 and True, which are equal."""
    return repr(value)


@settings(deadline=None, derandomize=True)
@given(st.lists(st.tuples(NUMBERS.map(float), INBOXES, ORDERS), min_size=1, max_size=5))
def test_any_inbox_and_orders_survive_a_block(rounds):
    frames = [[format.ROUND, k, now, inbox, orders] for k, (now, inbox, orders) in enumerate(rounds)]
    data = format.encode_block(frames, compress)
    header = format.parse_block_header(data)
    decoded = [
        [*f[:3], [(h, a) for h, a in f[3]], f[4]]
        for f in format.decode_frames(header, data[format.BLOCK_HEADER.size :], decompress)
    ]
    assert typed_repr(decoded) == typed_repr(frames) and (header.first_number, header.frame_count) == (0, len(frames))


def record_day(folder, seed=1, seconds=40.0, script=None, **options):
    day_recorder = DayRecorder(folder, **options)
    day = Day(
        seed,
        SMALL,
        script=storm(seed, SMALL, seconds, every=6) if script is None else script,
        witness=day_recorder.record_round,
        lives=day_recorder.record_life,
    )
    day.run(seconds)
    return day_recorder, day


def test_a_recorded_day_replays_exactly(tmp_path):
    day_recorder, day = record_day(tmp_path)
    day_recorder.close(day.now)
    recording = Recording([tmp_path])
    outcome = replay(recording)
    assert outcome.exact and outcome.joints >= 3 and not outcome.losses and not outcome.faults
    assert outcome.rounds + outcome.lives + outcome.joints + 2 == day_recorder.recorder.number


def test_a_recording_of_many_segments_stays_within_its_budget_and_replays_from_its_first_segment(tmp_path):
    day_recorder, day = record_day(tmp_path, checkpoint_interval_s=3.0, max_segment_bytes=1 << 12, budget_bytes=1 << 15)
    day_recorder.close(day.now)
    files = sorted(os.listdir(tmp_path))
    assert len(files) > 1 and files[0] != file_name("n0", 1)
    assert sum(p.stat().st_size for p in tmp_path.iterdir()) <= 1 << 15
    outcome = replay(Recording([tmp_path]), jobs=2)
    assert outcome.exact and not outcome.divergences and outcome.losses[0].frames > 0


def test_a_missing_segment_is_reported_as_a_loss_with_frame_count_and_times(tmp_path):
    day_recorder, day = record_day(tmp_path, checkpoint_interval_s=3.0, max_segment_bytes=1 << 12)
    day_recorder.close(day.now)
    files = sorted(tmp_path.iterdir())
    missing = Recording([files[1]]).incarnations["i1"]
    files[1].unlink()
    outcome = replay(Recording([tmp_path]))
    (loss,) = outcome.losses
    assert loss.frames == sum(x.header.frame_count for x in missing) and loss.since <= missing[0].header.begins_at
    assert outcome.exact and len(outcome.stretches) == 2 and outcome.stretches[0].until <= loss.since


def test_recordings_of_two_conductors_in_a_folder_are_distinguished(tmp_path):
    for name in ("n0", "n1"):
        day_recorder, day = record_day(tmp_path, seconds=5.0, name=name)
        day_recorder.close(day.now)
    with pytest.raises(UnusableRecordingError, match="2 conductors, n0, n1: choose one with --conductor"):
        Recording([tmp_path])
    assert replay(Recording([tmp_path], "n1")).exact
    with pytest.raises(UnusableRecordingError, match="no recording of n2; there is n0, n1"):
        Recording([tmp_path], "n2")


def test_incarnations_keep_their_order_when_the_clock_is_set_back(tmp_path):
    for incarnation, start in (("i1", 5e6), ("i2", 1e6)):
        day_recorder = DayRecorder(tmp_path, incarnation=incarnation)
        day = Day(1, SMALL, witness=day_recorder.record_round, lives=day_recorder.record_life, start=start).run(12.0)
        day_recorder.close(day.now)
    outcome = replay(Recording([tmp_path]))
    assert outcome.exact and [s.since for s in outcome.stretches] == [5e6, 1e6] and not outcome.losses


@settings(max_examples=60, deadline=None, derandomize=True)
@given(place=st.floats(0, 1, exclude_max=True), bit=st.integers(0, 7), cut=st.booleans())
def test_any_truncation_or_flipped_bit_is_detected_or_harmless(tmp_path_factory, place, bit, cut):
    folder = tmp_path_factory.mktemp("recording")
    (folder / file_name("n0", 1)).write_bytes(damage(segment_bytes(), place, bit, cut))
    try:
        recording = Recording([folder])
    except UnusableRecordingError:
        return  # the header of the only segment is damaged
    outcome = replay(recording)
    frames = outcome.rounds + outcome.joints + outcome.lives + 2
    assert not outcome.divergences
    assert frames == FRAME_COUNTS[0] or outcome.losses or outcome.faults


FRAME_COUNTS: list[int] = []
SEGMENTS: list[bytes] = []


def segment_bytes():
    """The bytes of a segment of several blocks, created once."""
    if not SEGMENTS:
        with tempfile.TemporaryDirectory() as folder:
            day_recorder, day = record_day(folder, seconds=12.0, checkpoint_interval_s=3.0)
            day_recorder.close(day.now)
            SEGMENTS.append(Path(folder, file_name("n0", 1)).read_bytes())
            FRAME_COUNTS.append(day_recorder.recorder.number)
    return SEGMENTS[0]


def damage(data, place, bit, cut):
    at = int(place * len(data))
    return data[:at] if cut else data[:at] + bytes([data[at] ^ 1 << bit]) + data[at + 1 :]


def test_a_recorder_with_a_full_buffer_drops_entire_rounds_and_reports_them():
    recorder = Recorder("n0", "i1", "digest", 1e9, max_waiting_bytes=40_000)
    day = Day(1, SMALL)
    recorder.record_life(0.0, day.module, day.settings, LIMITS, 1, "start")
    initial_bytes = len(recorder.waiting)
    for k in range(3000):
        recorder.record_round(float(k), [("joined", (k,))], [], day.module)
    recorder.pack_rounds()
    assert initial_bytes < len(recorder.waiting) <= 40_000 and recorder.gap and recorder.lost > 1000
    lost, last = recorder.lost, recorder.number
    recorder.waiting.clear()
    recorder.record_round(3000.0, [], [], day.module)
    first = msgpack.unpackb(recorder.waiting[4 : 4 + LENGTH_PREFIX.unpack_from(recorder.waiting)[0]])
    assert first[:3] == [format.GAP, last + 1, 3000.0] and first[4] == lost + 1 and recorder.gap is None


def test_a_round_that_cannot_be_packed_becomes_a_gap():
    recorder = Recorder("n0", "i1", "digest", 1e9)
    day = Day(1, SMALL)
    recorder.record_round(1.0, [("joined", (1 << 70,))], [], day.module)
    recorder.pack_rounds()
    assert recorder.gap and "cannot be packed" in recorder.gap[1]
    recorder.record_round(2.0, [], [], day.module)
    assert recorder.gap is None and recorder.total_lost == 2


class FeedRun:
    """A feed with a real writer process on an event loop, recording a simulated day."""

    def __init__(self, folder, **options):
        self.loop, self.logged = Loop(), []
        self.recorder = Recorder("n0", "i1", "digest", options.pop("checkpoint_interval_s", 1e9), **options)
        self.feed = Feed(
            self.loop,
            self.recorder,
            [str(folder), "n0", "i1", str(1 << 30), "1e9", str(1 << 40)],
            lambda kind, text="": self.logged.append(kind),
        )
        self.day = Day(
            3,
            SMALL,
            script=storm(3, SMALL, 400.0, every=4),
            witness=self.record_round,
            lives=lambda now, m, s, seed: self.recorder.record_life(now, m, s, LIMITS, seed, "start"),
        )

    def record_round(self, now, inbox, orders, module):
        self.recorder.record_round(now, inbox, orders, module)

    def run_rounds(self, seconds):
        self.day.run(seconds)
        self.feed.flush()
        self.run_loop(0.0)

    def run_loop(self, seconds):
        end = time.monotonic() + seconds
        self.loop.call_later(0.005, lambda: None)
        self.loop.run_once()
        while time.monotonic() < end:
            self.loop.call_later(0.005, lambda: None)
            self.loop.run_once()

    def wait_until(self, condition, seconds=90.0):
        end = time.monotonic() + seconds
        while not condition():
            assert time.monotonic() < end, "condition not met in time"
            self.run_loop(0.02)

    def close(self):
        self.wait_until(lambda: self.feed.sock and not self.recorder.waiting and not self.recorder.rounds)
        process = self.feed.process
        self.recorder.record_end(self.day.now)
        self.feed.close()
        process.wait(20)


def test_a_writer_killed_repeatedly_leaves_intact_blocks_and_reported_losses(tmp_path, monkeypatch):
    monkeypatch.setattr("knotwalk.record.feed.MIN_RESTART_DELAY_S", 0.01)
    monkeypatch.setattr("knotwalk.record.feed.MAX_RESTART_DELAY_S", 0.01)
    run, random = FeedRun(tmp_path), Random(5)
    for _ in range(5):
        run.wait_until(lambda: run.feed.sock)
        run.run_rounds(10.0)
        run.run_loop(random.uniform(0, 0.2))
        run.feed.process.kill()
        run.wait_until(lambda: run.recorder.gap)
    run.wait_until(lambda: run.feed.sock)
    run.run_rounds(20.0)
    run.wait_until(lambda: run.logged[-1] == "recording resumed")
    run.close()
    outcome = replay(Recording([tmp_path]))
    assert not outcome.divergences and outcome.rounds
    held = sum(x.header.frame_count for x in Recording([tmp_path]).incarnations["i1"])
    assert held + sum(x.frames for x in outcome.losses) == run.recorder.number
    assert run.logged == ["recording stopped", "recording resumed"] * (len(run.logged) // 2)


def test_an_unwritable_folder_is_logged_once_and_recording_resumes(tmp_path):
    folder = tmp_path / "there"
    folder.write_text("a file in place of the folder")
    run = FeedRun(folder)
    run.run_rounds(8.0)
    run.wait_until(lambda: run.recorder.is_suspended)
    run.run_rounds(8.0)
    assert run.logged == ["recording stopped"] and not run.recorder.waiting
    folder.unlink()
    run.wait_until(lambda: not run.recorder.is_suspended)
    run.run_rounds(20.0)
    run.wait_until(lambda: len(run.logged) == 2)
    run.close()
    assert run.logged == ["recording stopped", "recording resumed"]
    outcome = replay(Recording([folder]))
    assert outcome.rounds and not outcome.divergences and sum(x.frames for x in outcome.losses)


def test_a_disk_full_for_some_time_leaves_intact_blocks_and_a_loss(tmp_path, monkeypatch):
    day_recorder, real, free_bytes = DayRecorder(tmp_path, checkpoint_interval_s=3.0), os.write, [1 << 30]

    def write(fd, data):
        """Accept `free_bytes` bytes, then fail as a full disk does."""
        if free_bytes[0] <= 0:
            raise OSError(28, "No space left on device")
        count = real(fd, data[: free_bytes[0]])
        free_bytes[0] -= count
        return count

    monkeypatch.setattr(os, "write", write)

    def witness(now, inbox, orders, module):
        day_recorder.record_round(now, inbox, orders, module)
        day_recorder.drain()
        if day_recorder.writer.is_failing and not day_recorder.recorder.is_suspended:
            day_recorder.recorder.suspend(now, day_recorder.reports[-1][1])

    day = Day(2, SMALL, script=storm(2, SMALL, 60.0, every=4), witness=witness, lives=day_recorder.record_life).run(
        15.0
    )
    free_bytes[0] = 300
    day.run(15.0)
    assert day_recorder.reports == [["lost", f"{tmp_path}: No space left on device"]]
    monkeypatch.setattr(os, "pwrite", lambda fd, data, at: (_ for _ in ()).throw(OSError(28, "full")))
    day_recorder.writer.retry()
    assert day_recorder.writer.is_failing
    monkeypatch.undo()
    day_recorder.writer.retry()
    assert day_recorder.reports[-1] == ["back"]
    day_recorder.recorder.end_suspension()
    day.run(15.0)
    day_recorder.close(day.now)
    outcome = replay(Recording([tmp_path]))
    assert outcome.exact and len(outcome.stretches) == 2 and outcome.losses[0].frames > 0


def test_a_stalled_writer_does_not_slow_rounds(tmp_path):
    """Guards against a stalled disk: with the writer stopped, rounds beyond the buffer's limit are dropped at once."""
    run = FeedRun(tmp_path, max_waiting_bytes=100_000, checkpoint_interval_s=0.5)
    run.wait_until(lambda: run.feed.sock and not run.recorder.waiting)
    run.feed.process.send_signal(signal.SIGSTOP)
    started = time.process_time()
    run.day.run(150.0)
    run.feed.flush()
    assert run.recorder.gap and len(run.recorder.waiting) <= 100_000
    alone = Day(3, SMALL, script=storm(3, SMALL, 400.0, every=4))
    middle = time.process_time()
    alone.run(150.0)
    assert middle - started < 3 * (time.process_time() - middle) + 1
    run.feed.process.send_signal(signal.SIGCONT)
    run.wait_until(lambda: len(run.recorder.waiting) < 50_000)
    run.run_rounds(3.0)
    run.close()
    outcome = replay(Recording([tmp_path]))
    assert not outcome.divergences and any("the writer is behind" in x.why for x in outcome.losses)


def test_a_conductor_killed_within_a_frame_leaves_all_complete_frames(tmp_path):
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
        lives=lambda now, m, s, seed: recorder.record_life(now, m, s, LIMITS, seed, "start"),
        witness=recorder.record_round,
        script=storm(3, SMALL, 30.0, every=4),
    ).run(30.0)
    recorder.pack_rounds()
    assert day and recorder.number > 20
    ours.sendall(recorder.waiting[:-7])
    ours.close()
    assert writer.wait(20) == 0
    recording = Recording([tmp_path])
    outcome = replay(recording)
    assert outcome.exact and outcome.rounds == recorder.number - 3
    assert outcome.losses == [Loss(outcome.losses[0].since, float("inf"), 0, CUT_OFF)]


def test_a_policy_that_decides_differently_diverges_at_the_first_different_order(tmp_path):
    day_recorder, day = record_day(tmp_path, seconds=20.0)
    day_recorder.close(day.now)

    class OtherPolicy(Conductor):
        LIGHT = 1.0

    recording = Recording([tmp_path])
    player, _ = play("i1", recording.incarnations["i1"], 0, None, float("inf"), OtherPolicy)
    first = player.divergences[0]
    assert first.at > day.start and first.recorded != first.replayed and first.held
