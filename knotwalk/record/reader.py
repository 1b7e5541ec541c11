"""Reads frames from segment files, and reports what is missing or damaged by file offset, frame number and time.

It changes no files. It must never return a frame of a damaged block, or skip missing frames without reporting a loss.
"""

import os
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import NamedTuple

import zstandard

from knotwalk.record import format
from knotwalk.record.format import CHECKPOINT, END, BlockHeader, DamagedError

MAX_INDEX_BYTES = 1 << 22  # the index is searched for in this many bytes at the end of a file


DAMAGED = "damaged, missing or never written"
CUT_OFF = "this life was cut off: what it met after its last block is not here"


class UnusableRecordingError(Exception):
    """The files hold no recording, or several; the message says what is wrong."""


class Fault(NamedTuple):
    """Damage found in a file."""

    file: str
    offset: int  # bytes from the start of the file
    description: str

    def __str__(self) -> str:
        return f"{self.file} at {self.offset}: {self.description}"


class Block(NamedTuple):
    """The location and header of a block."""

    path: Path
    offset: int  # of the header, bytes from the start of the file
    header: BlockHeader

    def frames(self) -> Iterator[list]:
        """Read and decode the frames; raises DamagedError before the first if the block is damaged."""
        with self.path.open("rb") as file:
            file.seek(self.offset + format.BLOCK_HEADER.size)
            payload = file.read(self.header.payload_bytes)
        decompress = zstandard.ZstdDecompressor().decompress
        return format.decode_frames(self.header, payload, lambda data, size: decompress(data, max_output_size=size))


class Segment:
    """One file of a recording."""

    def __init__(self, path: Path):
        self.path = path
        self.faults: list[Fault] = []
        self.size = path.stat().st_size
        with path.open("rb") as file:
            self.header, start = format.parse_segment_header(file.read(1 << 20))
            try:
                self.conductor, self.incarnation = str(self.header["conductor"]), str(self.header["incarnation"])
                self.number = int(self.header["segment"])
            except (KeyError, ValueError, TypeError):
                raise DamagedError("segment header lacks the conductor, incarnation or segment number") from None
            file.seek(max(0, self.size - MAX_INDEX_BYTES))
            rows = format.parse_index(file.read())
            self.is_complete = rows is not None  # the index is written when a segment is closed
            if rows is not None:
                self.blocks = [Block(path, offset, BlockHeader(*header)) for offset, *header in rows]
            else:
                self.blocks = list(self.scan(file, start))

    def scan(self, file, offset: int) -> Iterator[Block]:
        """Find the blocks of a file without an index; after damage, continue at the next intact block header."""
        while offset < self.size:
            file.seek(offset)
            try:
                header = format.parse_block_header(file.read(format.BLOCK_HEADER.size))
                if offset + format.BLOCK_HEADER.size + header.payload_bytes > self.size:
                    raise DamagedError("file truncated within a block")
            except DamagedError as error:
                self.faults.append(Fault(self.path.name, offset, str(error)))
                offset = self.next_header(file, offset + 1)
                continue
            yield Block(self.path, offset, header)
            offset += format.BLOCK_HEADER.size + header.payload_bytes

    def next_header(self, file, offset: int) -> int:
        file.seek(offset)
        data = file.read()
        position = -1
        while (position := data.find(format.BLOCK_MAGIC, position + 1)) >= 0:
            try:
                format.parse_block_header(data[position : position + format.BLOCK_HEADER.size])
                return offset + position
            except DamagedError:
                continue
        return self.size


class Loss(NamedTuple):
    """Frames that are missing from the recording."""

    since: float  # time of the last frame before the loss, Unix seconds
    until: float  # time of the first frame after it; infinity if none follows
    frames: int  # number of missing frames; 0 if unknown, at the end of an incarnation without an end frame
    why: str


class Recording:
    """All frames of one conductor in a set of files."""

    def __init__(self, paths: Iterable[str | os.PathLike], conductor: str | None = None):
        self.faults: list[Fault] = []
        segments = []
        for path in self.files(paths):
            try:
                segments.append(Segment(path))
            except (DamagedError, OSError) as error:
                self.faults.append(Fault(path.name, 0, str(error)))
        names = sorted({x.conductor for x in segments})
        if conductor is None and len(names) > 1:
            raise UnusableRecordingError(
                f"recordings of {len(names)} conductors, {', '.join(names)}: choose one with --conductor"
            )
        if conductor is not None and conductor not in names:
            raise UnusableRecordingError(
                f"no recording of {conductor}" + (f"; there is {', '.join(names)}" if names else "")
            )
        if not segments:
            raise UnusableRecordingError("; ".join(map(str, self.faults)) or "no recording found")
        self.conductor = conductor or names[0]
        # Sorted by number, not by time: the clock may be set back between two incarnations.
        self.segments = sorted((x for x in segments if x.conductor == self.conductor), key=lambda x: x.number)
        self.faults += [f for x in self.segments for f in x.faults]
        # Segments of two incarnations may alternate: the writer of the old one may still run when the new one starts.
        self.incarnations: dict[str, list[Block]] = {}
        for x in self.segments:
            self.incarnations.setdefault(x.incarnation, []).extend(x.blocks)

    @staticmethod
    def files(paths: Iterable[str | os.PathLike]) -> list[Path]:
        found_files: list[Path] = []
        for path in map(Path, paths):
            if not path.exists():
                raise UnusableRecordingError(f"{path}: no such file or folder")
            found_files += sorted(path.glob("*.kwr")) if path.is_dir() else [path]
        return list(dict.fromkeys(found_files))

    def frames(self, blocks: Iterable[Block]) -> Iterator[list]:
        """Read the frames of all intact blocks; damaged ones are added to `faults`."""
        for x in blocks:
            try:
                yield from x.frames()
            except DamagedError as error:
                self.faults.append(Fault(x.path.name, x.offset, str(error)))

    def events(self, blocks: Iterable[Block], first: int = 0, next_block: Block | None = None) -> Iterator[list | Loss]:
        """Read frames in order, with a Loss wherever frame numbers are missing. Numbers are expected to begin with
        `first` and to reach up to `next_block`, the block after these; None if these are the last."""
        expected, last, kind = first, float("-inf"), END
        for frame in self.frames(blocks):
            if frame[1] < expected:
                continue  # a duplicate block
            if frame[1] > expected:
                why = frame[5] if frame[0] == format.GAP else DAMAGED
                yield Loss(last, frame[2], frame[1] - expected, why)
            expected, last, kind = frame[1] + 1, frame[2], frame[0]
            yield frame
        if next_block is not None and next_block.header.first_number > expected:
            yield Loss(last, next_block.header.begins_at, next_block.header.first_number - expected, DAMAGED)
        elif next_block is None and kind != END:
            yield Loss(last, float("inf"), 0, CUT_OFF)

    def parts(self, incarnation: str) -> list[list[Block]]:
        """The blocks of an incarnation, split before each checkpoint: a replay can begin with any part."""
        parts: list[list[Block]] = []
        for x in self.incarnations[incarnation]:
            if x.header.flags & format.STARTS_WITH_CHECKPOINT or not parts:
                parts.append([])
            parts[-1].append(x)
        return parts

    @staticmethod
    def checkpoint(x: Block) -> list | None:
        """The checkpoint frame that a block begins with; None if there is none or the block is damaged."""
        try:
            frame = next(x.frames(), None)
        except DamagedError:
            return None
        return frame if frame and frame[0] == CHECKPOINT else None
