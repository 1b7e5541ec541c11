"""Encodes rounds as frames in a bounded buffer, and records which frames it had to drop.

It does no I/O: the caller takes the bytes from `waiting`. It must never buffer more than its limit, drop part of a
round, or continue after dropped frames without a checkpoint.
"""

import struct

import msgpack

from knotwalk import state
from knotwalk.decide import Conductor
from knotwalk.interface import Settings
from knotwalk.record.format import CHECKPOINT, END, FAILED, GAP, LIFE, ROUND
from knotwalk.rules import Limits

MAX_WAITING_BYTES = 1 << 20  # a few seconds of the heaviest load at the largest tested size
MAX_WAITING_ROUNDS = 4096  # not yet packed; the loop runs fewer than this between two sends, 0.1 s apart
LENGTH_PREFIX = struct.Struct("<I")


class Recorder:
    """Records one incarnation, within the conductor's process."""

    def __init__(
        self,
        name: str,
        incarnation: str,
        policy: str,
        checkpoint_interval_s: float,
        max_waiting_bytes: int = MAX_WAITING_BYTES,
    ):
        self.name, self.incarnation, self.policy, self.checkpoint_interval_s, self.max_waiting_bytes = (
            name,
            incarnation,
            policy,
            checkpoint_interval_s,
            max_waiting_bytes,
        )
        self.waiting = bytearray()
        self.rounds: list[tuple] = []  # not yet packed: packing is deferred to the time between rounds
        self.number = 0  # of the next frame
        self.gap: tuple[float, str] | None = None  # when dropping began and why, while frames are dropped
        self.lost = self.total_lost = 0  # frames dropped in this gap, and in all gaps that ended
        self.is_suspended = False  # the writer has reported that it can't write to its disk
        self.last_checkpoint_at = float("-inf")  # time of the last checkpoint
        self.life_fields: dict = {}
        self.pack = msgpack.Packer().pack

    def add_frame(self, kind: int, now: float, *rest: object) -> bool:
        """Add a frame, or drop it if it does not fit; it takes up a number in either case."""
        number, self.number = self.number, self.number + 1
        try:
            data = self.pack([kind, number, now, *rest])
        except (TypeError, ValueError, OverflowError) as error:
            return self.drop_frame(now, f"a frame that cannot be packed: {error}")
        if len(self.waiting) + len(data) + LENGTH_PREFIX.size > self.max_waiting_bytes:
            return self.drop_frame(now, "the writer is behind")
        self.waiting += LENGTH_PREFIX.pack(len(data))
        self.waiting += data
        return True

    def drop_frame(self, now: float, reason: str) -> bool:
        self.gap = self.gap or (now, reason)
        self.lost += 1
        return False

    def pack_rounds(self) -> None:
        """Pack the rounds that were recorded since the last call."""
        rounds, self.rounds = self.rounds, []
        for now, inbox, orders in rounds:
            if self.gap:
                self.number += 1
                self.lost += 1
            else:
                self.add_frame(ROUND, now, inbox, orders)

    def record_life(
        self, now: float, module: Conductor, settings: Settings, limits: Limits, seed: int, reason: str
    ) -> None:
        """Record that a Conductor object was created, and its state; `reason` is start, reload or failed."""
        self.life_fields = {
            "why": reason,
            "seed": f"{seed:x}",
            "settings": state.settings_to_dict(settings),
            "limits": limits._asdict(),
            "policy": self.policy,
        }
        self.pack_rounds()
        if self.gap is None and self.add_frame(LIFE, now, self.life_fields):
            self.record_checkpoint(now, module)

    def record_checkpoint(self, now: float, module: Conductor) -> None:
        self.pack_rounds()
        self.last_checkpoint_at = now
        self.add_frame(CHECKPOINT, now, state.snapshot(module), self.life_fields)

    def record_round(self, now: float, inbox: list, orders: list, module: Conductor) -> None:
        """Record a finished round. `orders` holds (order, arguments) pairs; neither list may change later."""
        if self.gap:
            self.number += 1
            self.lost += 1
            self.resume(now, module)
            return
        self.rounds.append((now, inbox, orders))
        if now >= self.last_checkpoint_at + self.checkpoint_interval_s or len(self.rounds) >= MAX_WAITING_ROUNDS:
            self.pack_rounds()
            if not self.gap and now >= self.last_checkpoint_at + self.checkpoint_interval_s:
                self.record_checkpoint(now, module)

    def record_failure(self, now: float, inbox: list, orders: list, text: str) -> None:
        """Record a round in which the decisions raised an exception; a LIFE frame follows."""
        self.pack_rounds()
        if self.gap:
            self.number += 1
            self.lost += 1
        else:
            self.add_frame(FAILED, now, inbox, orders, text)

    def resume(self, now: float, module: Conductor) -> None:
        """Resume after dropped frames, once half of the buffer is free, with a GAP frame and a checkpoint."""
        if self.is_suspended or len(self.waiting) > self.max_waiting_bytes // 2 or self.gap is None:
            return
        (since, reason), self.gap = self.gap, None
        if self.add_frame(GAP, now, since, self.lost, reason):
            self.record_checkpoint(now, module)
        if self.gap:  # these did not fit either
            self.gap = since, reason
        else:
            self.total_lost, self.lost = self.total_lost + self.lost, 0

    def suspend(self, now: float, reason: str) -> None:
        """Drop rounds until end_suspension(), because the writer can't write to its disk."""
        self.pack_rounds()
        self.gap, self.is_suspended = self.gap or (now, reason), True

    def end_suspension(self) -> None:
        self.is_suspended = False

    def discard_waiting(self, now: float, reason: str) -> None:
        """Discard the buffer because the writer exited; the first frame in it may have been sent in part."""
        self.pack_rounds()
        self.waiting.clear()
        self.gap, self.is_suspended = self.gap or (now, reason), False

    def record_end(self, now: float) -> None:
        """Record an orderly end of the program."""
        self.pack_rounds()
        if self.gap is None:
            self.add_frame(END, now)
