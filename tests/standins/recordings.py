"""Writes recordings without a conductor process or sockets: passes a Day's rounds through a recorder and a writer."""

import time

from knotwalk.record.reader import Recording, UnusableRecordingError
from knotwalk.record.recorder import LENGTH_PREFIX, Recorder
from knotwalk.record.writer import Writer
from knotwalk.replay.exact import replay
from knotwalk.rules import Limits

LIMITS = Limits(
    unserved_most=0.8, grace=3.0, once=(1,), tip_multiple=2.0, fall_time=1.0, give_up=(5.0, 2.5), late_share=(0.1, 0.1)
)
UNLIMITED_BYTES = 1 << 40


def replayed(folder, lives):
    """The exact replay of a folder's recording, once all its segments are complete and hold so many lives."""
    for _ in range(200):  # a killed conductor's writer exits by itself, some time later
        try:
            recording = Recording([folder])
            outcome = replay(recording)
            if all(x.is_complete for x in recording.segments) and outcome.lives >= lives:
                return outcome
        except UnusableRecordingError:
            pass
        time.sleep(0.05)
    return replay(Recording([folder]))


class DayRecorder:
    """Recorder and writer of one incarnation at a time. A Day calls `record_round` and `record_life`."""

    def __init__(
        self,
        folder,
        name="n0",
        incarnation="i1",
        checkpoint_interval_s=10.0,
        max_segment_bytes=1 << 30,
        budget_bytes=UNLIMITED_BYTES,
        limits=LIMITS,
    ):
        self.folder, self.name, self.max_segment_bytes, self.budget_bytes, self.checkpoint_interval_s = (
            str(folder),
            name,
            max_segment_bytes,
            budget_bytes,
            checkpoint_interval_s,
        )
        self.limits = limits
        self.reports = []
        self.start_incarnation(incarnation)

    def start_incarnation(self, incarnation):
        self.recorder = Recorder(self.name, incarnation, "digest", self.checkpoint_interval_s)
        self.writer = Writer(
            self.folder, self.name, incarnation, self.max_segment_bytes, 1e9, self.budget_bytes, self.reports.append
        )

    def record_life(self, now, module, settings, seed, why="start"):
        self.recorder.record_life(now, module, settings, self.limits, seed, why)

    def record_round(self, now, inbox, orders, module):
        self.recorder.record_round(now, inbox, orders, module)
        if len(self.recorder.waiting) > 1 << 16 or len(self.recorder.rounds) > 100:
            self.drain()

    def drain(self):
        """Pass the recorder's frames to the writer."""
        self.recorder.pack_rounds()
        waiting, offset = self.recorder.waiting, 0
        while offset < len(waiting):
            (size,) = LENGTH_PREFIX.unpack_from(waiting, offset)
            self.writer.add_frame(bytes(waiting[offset + LENGTH_PREFIX.size : offset + LENGTH_PREFIX.size + size]))
            offset += LENGTH_PREFIX.size + size
        waiting.clear()

    def close(self, now=None):
        """End in order; without a time, end as after a kill: frames not yet written as a block are lost."""
        if now is not None:
            self.recorder.record_end(now)
            self.drain()
            self.writer.flush()
        self.writer.close(now is not None)
