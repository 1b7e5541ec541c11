"""Recordings made without a conductor or sockets: a day's rounds through recorder and writer into a folder."""

import time

from knotwalk.record.reader import Recording, Unusable
from knotwalk.record.recorder import LENGTH, Recorder
from knotwalk.record.writer import Writer
from knotwalk.replay.exact import replay
from knotwalk.rules import Limits

LIMITS = Limits(
    unserved_most=0.8, grace=3.0, once=(1,), tip_multiple=2.0, fall_time=1.0, give_up=(5.0, 2.5), late_share=(0.1, 0.1)
)
BIG = 1 << 40


def replayed(folder, lives):
    """A folder's recording of so many lives, replayed exactly, once its writers have ended."""
    for _ in range(200):  # a killed conductor's writer ends by itself, some time after it
        try:
            recording = Recording([folder])
            outcome = replay(recording)
            if all(x.whole for x in recording.segments) and outcome.lives >= lives:
                return outcome
        except Unusable:
            pass
        time.sleep(0.05)
    return replay(Recording([folder]))


class Tapes:
    """Recorder and writer of one incarnation at a time; `witness` and `lives` are what a Day calls."""

    def __init__(self, folder, name="n0", incarnation="i1", every=10.0, most=1 << 30, budget=BIG, limits=LIMITS):
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
        waiting, at = self.recorder.waiting, 0
        while at < len(waiting):
            (size,) = LENGTH.unpack_from(waiting, at)
            self.writer.frame(bytes(waiting[at + LENGTH.size : at + LENGTH.size + size]))
            at += LENGTH.size + size
        waiting.clear()

    def close(self, now=None):
        """End in order, or if no time is given, as after a kill: what was not yet a block is lost."""
        if now is not None:
            self.recorder.end(now)
            self.drain()
            self.writer.flush()
        self.writer.close(now is not None)
