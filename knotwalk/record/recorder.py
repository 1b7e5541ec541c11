"""The recorder: turns rounds into frames within a bound of memory, and says what it had to drop.

Owns numbers, lives, checkpoints and gaps. It does no I/O: whoever carries its bytes takes them from `waiting`. It must
never hold more than its room, drop part of a round, or go on after a loss without a checkpoint.
"""

import struct

import msgpack

from knotwalk import state
from knotwalk.decide import Conductor
from knotwalk.interface import Settings
from knotwalk.record.format import CHECK, END, FAILED, GAP, LIFE, ROUND
from knotwalk.rules import Limits

ROOM = 1 << 20  # bytes that may wait: some seconds of a storm at the grown size
ROUNDS = 4096  # that may wait to be packed: a loop does fewer in the tenth of a second that they wait
LENGTH = struct.Struct("<I")


class Recorder:
    """One incarnation's recording, on the conductor's side."""

    def __init__(self, name: str, incarnation: str, policy: str, every: float, room: int = ROOM):
        self.name, self.incarnation, self.policy, self.every, self.room = name, incarnation, policy, every, room
        self.waiting = bytearray()
        self.rounds: list[tuple] = []  # not yet packed: that is done between rounds
        self.number = 0  # of the next frame
        self.gap: tuple[float, str] | None = None  # since when rounds are dropped, and why
        self.lost = self.lost_all = 0  # rounds dropped in this gap, and in those that are over
        self.held = False  # whether the writer has said that its disk takes nothing
        self.checked = float("-inf")  # when the last checkpoint went
        self.life_told: dict = {}
        self.pack = msgpack.Packer().pack

    def put(self, kind: int, now: float, *rest: object) -> bool:
        """Add a frame, whole or not at all; either way it has used up its number."""
        number, self.number = self.number, self.number + 1
        try:
            data = self.pack([kind, number, now, *rest])
        except (TypeError, ValueError, OverflowError) as fault:
            return self.drop(now, f"a frame that cannot be packed: {fault}")
        if len(self.waiting) + len(data) + LENGTH.size > self.room:
            return self.drop(now, "the writer is behind")
        self.waiting += LENGTH.pack(len(data))
        self.waiting += data
        return True

    def drop(self, now: float, why: str) -> bool:
        self.gap = self.gap or (now, why)
        self.lost += 1
        return False

    def settle(self) -> None:
        """Pack the rounds that wait for it."""
        rounds, self.rounds = self.rounds, []
        for now, inbox, orders in rounds:
            if self.gap:
                self.number += 1
                self.lost += 1
            else:
                self.put(ROUND, now, inbox, orders)

    def life(self, now: float, module: Conductor, settings: Settings, limits: Limits, seed: int, why: str) -> None:
        """A module's life begins, in the state in which it is; `why`: start, reload or failed."""
        self.life_told = {
            "why": why,
            "seed": f"{seed:x}",
            "settings": state.settings_to_dict(settings),
            "limits": limits._asdict(),
            "policy": self.policy,
        }
        self.settle()
        if self.gap is None and self.put(LIFE, now, self.life_told):
            self.check(now, module)

    def check(self, now: float, module: Conductor) -> None:
        self.settle()
        self.checked = now
        self.put(CHECK, now, state.snapshot(module), self.life_told)

    def round(self, now: float, inbox: list, orders: list, module: Conductor) -> None:
        """A round, after it: what came in, and what was ordered as (order, arguments). Neither may change later."""
        if self.gap:
            self.number += 1
            self.lost += 1
            self.resume(now, module)
            return
        self.rounds.append((now, inbox, orders))
        if now >= self.checked + self.every or len(self.rounds) >= ROUNDS:
            self.settle()
            if not self.gap and now >= self.checked + self.every:
                self.check(now, module)

    def failed(self, now: float, inbox: list, orders: list, text: str) -> None:
        """A round in which the decisions failed; a new life follows."""
        self.settle()
        if self.gap:
            self.number += 1
            self.lost += 1
        else:
            self.put(FAILED, now, inbox, orders, text)

    def resume(self, now: float, module: Conductor) -> None:
        """Go on after a loss, once half of the room is free: what was lost, and the state it goes on in."""
        if self.held or len(self.waiting) > self.room // 2 or self.gap is None:
            return
        (since, why), self.gap = self.gap, None
        if self.put(GAP, now, since, self.lost, why):
            self.check(now, module)
        if self.gap:  # not even that fits
            self.gap = since, why
        else:
            self.lost_all, self.lost = self.lost_all + self.lost, 0

    def hold(self, now: float, why: str) -> None:
        """The disk takes nothing: rounds are dropped until release()."""
        self.settle()
        self.gap, self.held = self.gap or (now, why), True

    def release(self) -> None:
        self.held = False

    def cut(self, now: float, why: str) -> None:
        """The writer is gone, and what waits for it, perhaps in the midst of a frame, is void."""
        self.settle()
        self.waiting.clear()
        self.gap, self.held = self.gap or (now, why), False

    def end(self, now: float) -> None:
        """The program ends in order."""
        self.settle()
        if self.gap is None:
            self.put(END, now)
