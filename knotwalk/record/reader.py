"""The reader: frames out of segments, with whatever is missing or damaged told by place, number and time.

Reads files and changes none. It must never hand out a frame of a damaged block, or pass over a loss in silence.
"""

import os
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import NamedTuple

import zstandard

from knotwalk.record import format
from knotwalk.record.format import CHECK, END, Damaged, Lot

TAIL = 1 << 22  # bytes at a file's end in which its index is looked for


DAMAGED = "damaged, missing or never written"
CUT_OFF = "this life was cut off: what it met after its last block is not here"


class Unusable(Exception):
    """Files that are no recording, or not one; the text says what is wrong."""


class Fault(NamedTuple):
    """Damage that was found."""

    file: str
    at: int  # bytes from the file's start
    what: str

    def __str__(self) -> str:
        return f"{self.file} at {self.at}: {self.what}"


class Block(NamedTuple):
    """Where a block lies."""

    path: Path
    at: int
    lot: Lot

    def frames(self) -> Iterator[list]:
        """Its frames; raises Damaged before the first."""
        with self.path.open("rb") as file:
            file.seek(self.at + format.LOT.size)
            payload = file.read(self.lot.size)
        expand = zstandard.ZstdDecompressor().decompress
        return format.frames_of(self.lot, payload, lambda data, whole: expand(data, max_output_size=whole))


class Segment:
    """One file."""

    def __init__(self, path: Path):
        self.path = path
        self.faults: list[Fault] = []
        self.size = path.stat().st_size
        with path.open("rb") as file:
            self.told, start = format.header_of(file.read(1 << 20))
            try:
                self.conductor, self.incarnation = str(self.told["conductor"]), str(self.told["incarnation"])
                self.number = int(self.told["segment"])
            except (KeyError, ValueError, TypeError):
                raise Damaged("the head of the segment names no conductor, incarnation or number") from None
            file.seek(max(0, self.size - TAIL))
            rows = format.index_of(file.read())
            self.whole = rows is not None  # closed in order
            if rows is not None:
                self.blocks = [Block(path, at, Lot(*lot)) for at, *lot in rows]
            else:
                self.blocks = list(self.scan(file, start))

    def scan(self, file, at: int) -> Iterator[Block]:
        """Block by block, from head to head; past damage, on to the next whole head."""
        while at < self.size:
            file.seek(at)
            try:
                lot = format.lot_of(file.read(format.LOT.size))
                if at + format.LOT.size + lot.size > self.size:
                    raise Damaged("the file ends within a block")
            except Damaged as fault:
                self.faults.append(Fault(self.path.name, at, str(fault)))
                at = self.next_head(file, at + 1)
                continue
            yield Block(self.path, at, lot)
            at += format.LOT.size + lot.size

    def next_head(self, file, at: int) -> int:
        file.seek(at)
        data = file.read()
        place = -1
        while (place := data.find(format.BLOCK, place + 1)) >= 0:
            try:
                format.lot_of(data[place : place + format.LOT.size])
                return at + place
            except Damaged:
                continue
        return self.size


class Loss(NamedTuple):
    """Rounds that the recording does not hold."""

    since: float  # time of the last frame before it
    until: float  # and of the first after it; infinity: nothing follows
    frames: int  # missing by their numbers; 0: unknown, at the end of a life that was cut off
    why: str


class Recording:
    """All that some files hold of one conductor."""

    def __init__(self, paths: Iterable[str | os.PathLike], conductor: str | None = None):
        self.faults: list[Fault] = []
        segments = []
        for path in self.files(paths):
            try:
                segments.append(Segment(path))
            except (Damaged, OSError) as fault:
                self.faults.append(Fault(path.name, 0, str(fault)))
        names = sorted({x.conductor for x in segments})
        if conductor is None and len(names) > 1:
            raise Unusable(f"recordings of {len(names)} conductors, {', '.join(names)}: name one")
        if conductor is not None and conductor not in names:
            raise Unusable(f"no recording of {conductor}" + (f"; there is {', '.join(names)}" if names else ""))
        if not segments:
            raise Unusable("; ".join(map(str, self.faults)) or "no recording there")
        self.conductor = conductor or names[0]
        # By number, not by time: a clock may be set back between two lives.
        self.segments = sorted((x for x in segments if x.conductor == self.conductor), key=lambda x: x.number)
        self.faults += [f for x in self.segments for f in x.faults]
        # Segments of two lives may lie between each other while an old one is not quite dead.
        self.incarnations: dict[str, list[Block]] = {}
        for x in self.segments:
            self.incarnations.setdefault(x.incarnation, []).extend(x.blocks)

    @staticmethod
    def files(paths: Iterable[str | os.PathLike]) -> list[Path]:
        found: list[Path] = []
        for path in map(Path, paths):
            if not path.exists():
                raise Unusable(f"{path}: no such file or folder")
            found += sorted(path.glob("*.kwr")) if path.is_dir() else [path]
        return list(dict.fromkeys(found))

    def frames(self, blocks: Iterable[Block]) -> Iterator[list]:
        """The frames of blocks that can be read; what cannot is added to the faults."""
        for x in blocks:
            try:
                yield from x.frames()
            except Damaged as fault:
                self.faults.append(Fault(x.path.name, x.at, str(fault)))

    def events(self, blocks: Iterable[Block], first: int = 0, then: Block | None = None) -> Iterator[list | Loss]:
        """Frames in order, and a Loss wherever numbers are missing between them, from number `first` on and up to
        the block `then`, with which others go on."""
        expected, last, kind = first, float("-inf"), END
        for frame in self.frames(blocks):
            if frame[1] < expected:
                continue  # a block that lies there twice
            if frame[1] > expected:
                why = frame[5] if frame[0] == format.GAP else DAMAGED
                yield Loss(last, frame[2], frame[1] - expected, why)
            expected, last, kind = frame[1] + 1, frame[2], frame[0]
            yield frame
        if then is not None and then.lot.first > expected:
            yield Loss(last, then.lot.begun, then.lot.first - expected, DAMAGED)
        elif then is None and kind != END:
            yield Loss(last, float("inf"), 0, CUT_OFF)

    def parts(self, incarnation: str) -> list[list[Block]]:
        """The blocks of an incarnation, cut before each checkpoint: what a replay may begin with."""
        parts: list[list[Block]] = []
        for x in self.incarnations[incarnation]:
            if x.lot.flags & format.CHECKED or not parts:
                parts.append([])
            parts[-1].append(x)
        return parts

    @staticmethod
    def checkpoint(x: Block) -> list | None:
        """The checkpoint frame with which a block begins."""
        try:
            frame = next(x.frames(), None)
        except Damaged:
            return None
        return frame if frame and frame[0] == CHECK else None
