"""Recordings made without a conductor process or sockets: recorder and writer store a simulated day in a folder."""

import time

from knotwalk.record.reader import Recording, Unusable
from knotwalk.record.recorder import LENGTH, Recorder
from knotwalk.record.writer import Writer
from knotwalk.replay.exact import replay
from knotwalk.rules import Limits

LIMITS = Limits(
    unserved_most=0.8, grace=3.0, once=(1,), tip_multiple=2.0, fall_time=1.0, give_up=(5.0, 2.5), late_share=(0.1, 0.1)
)
UNLIMITED_BYTES = 1 << 40


def replayed(folder, lives):
    """Replays a folder's recording exactly, once its writers have ended and it holds `lives` incarnations."""
    for _ in range(200):  # the writer of a killed conductor ends some time after it
        try:
            recording = Recording([folder])
            outcome = replay(recording)
            if all(segment.whole for segment in recording.segments) and outcome.lives >= lives:
                return outcome
        except Unusable:
            pass
        time.sleep(0.05)
    return replay(Recording([folder]))


class Tapes:
    """Recorder and writer of one incarnation at a time; `witness` and `lives` are callbacks of a Day."""

    def __init__(
        self, folder, name="n0", incarnation="i1", every=10.0, most=1 << 30, budget=UNLIMITED_BYTES, limits=LIMITS
    ):
        self.folder, self.name, self.most, self.budget, self.every = str(folder), name, most, budget, every
        self.limits = limits
        self.said = []
        self.begin(incarnation)

    def begin(self, incarnation):
        self.recorder = Recorder(self.name, incarnation, "digest", self.every)
        self.writer = Writer(self.folder, self.name, incarnation, self.most, 1e9, self.budget, self.said.append)

    def lives(self, now, module, settings, seed, why="start"):
        self.recorder.life(now, module, settings, self.limits, seed, why)

    def witness(self, now, inbox, orders, module):
        self.recorder.round(now, inbox, orders, module)
        if len(self.recorder.waiting) > 1 << 16 or len(self.recorder.rounds) > 100:
            self.drain()

    def drain(self):
        self.recorder.settle()
        waiting, offset = self.recorder.waiting, 0
        while offset < len(waiting):
            (size,) = LENGTH.unpack_from(waiting, offset)
            self.writer.frame(bytes(waiting[offset + LENGTH.size : offset + LENGTH.size + size]))
            offset += LENGTH.size + size
        waiting.clear()

    def close(self, now=None):
        """Ends in order at `now`; without it, as after a kill: data not yet written as a block is lost."""
        if now is not None:
            self.recorder.end(now)
            self.drain()
            self.writer.flush()
        self.writer.close(now is not None)
