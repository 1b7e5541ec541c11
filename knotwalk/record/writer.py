"""The writer: a process of its own that puts frames into segments on a disk.

Owns the folder's files of one conductor: their numbers, size, age and budget. Whatever the disk does, it must never
write a block that is not whole as if it were, remove anything but whole old segments, or outlive its conductor.

    python -m knotwalk.record.writer FOLDER NAME INCARNATION SEGMENT_BYTES SEGMENT_SECONDS BUDGET_BYTES

Reads frames, each after its length, on descriptor 0 and says back there, a msgpack list each: ["lost", why] when the
disk fails, ["back"] when it takes blocks again.
"""

import os
import re
import select
import signal
import socket
import sys
import time
from pathlib import Path

import msgpack
import zstandard

from knotwalk.record import format
from knotwalk.record.recorder import LENGTH

BLOCK_MOST = 1 << 18  # bytes of frames in a block: reads well, and a torn tail costs a second or two
BLOCK_AGE = 2.0  # seconds that frames wait for their block to fill
AGAIN = 1.0  # seconds between tries while the disk fails
READ = 1 << 18


def file_name(name: str, number: int) -> str:
    """
    >>> file_name("n/3", 12)
    'n_3-00000012.kwr'
    """
    return f"{re.sub('[^A-Za-z0-9._]', '_', name)}-{number:08d}.kwr"


def numbers(folder: Path, name: str) -> dict[int, Path]:
    """The segments of one conductor in a folder, by number."""
    start = file_name(name, 0)[: -len("00000000.kwr")]
    return {int(p.name[len(start) : -4]): p for p in folder.glob(f"{start}*.kwr") if p.name[len(start) : -4].isdigit()}


class Segment:
    """The file under way."""

    def __init__(self, folder: Path, name: str, told: dict):
        number = max(numbers(folder, name), default=0)
        while True:
            number += 1
            self.path = folder / file_name(name, number)
            try:
                self.fd = os.open(self.path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o640)
                break
            except FileExistsError:  # another life of the same conductor was quicker
                continue
        self.rows: list[list] = []
        self.size, self.begun = 0, time.monotonic()
        self.write(format.header({**told, "segment": number, "wall": time.time()}))

    def write(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[os.write(self.fd, view) :]
        self.size += len(data)

    def probe(self) -> None:
        """Whether there is room for a block: raises OSError."""
        os.pwrite(self.fd, bytes(BLOCK_MOST), self.size)
        os.ftruncate(self.fd, self.size)

    def close(self, whole: bool) -> None:
        try:
            if whole:
                self.write(format.index(self.rows))
        finally:
            os.close(self.fd)


class Writer:
    """Frames into blocks, blocks into segments."""

    def __init__(self, folder: str, name: str, incarnation: str, most: int, age: float, budget: int, tell):
        self.folder, self.name, self.tell = Path(folder), name, tell
        self.most, self.age, self.budget = most, age, budget
        self.told = {"conductor": name, "incarnation": incarnation}
        self.compress = zstandard.ZstdCompressor(level=3).compress
        self.frames: list[list] = []
        self.size, self.since = 0, 0.0
        self.segment: Segment | None = None
        self.failing = False
        self.next_try = 0.0

    def frame(self, data: bytes) -> None:
        if self.failing:
            return  # it has been told; what follows "back" begins with a checkpoint
        frame = msgpack.unpackb(data, use_list=True, strict_map_key=False)
        if frame[0] == format.CHECK:  # first in its block: a replay may start there
            self.flush()
            if self.segment and (self.segment.size > self.most or time.monotonic() > self.segment.begun + self.age):
                self.close(True)
        if not self.frames:
            self.since = time.monotonic()
        self.frames.append(frame)
        self.size += len(data)
        if self.size >= BLOCK_MOST:
            self.flush()

    def flush(self) -> None:
        """Write what is there as one block; what the disk does not take is lost, and said."""
        frames, self.frames, self.size = self.frames, [], 0
        if not frames:
            return
        try:
            segment = self.open()
            data = format.block(frames, self.compress)
            at = segment.size
            segment.write(data)
            segment.rows.append([at, *format.lot_of(data)])
        except OSError as fault:
            self.lose(f"{self.folder}: {fault.strerror}")

    def open(self) -> Segment:
        if self.segment is None:
            self.folder.mkdir(parents=True, exist_ok=True)
            self.segment = Segment(self.folder, self.name, self.told)
            self.trim()
        return self.segment

    def retry(self) -> None:
        """While the disk fails: see whether it takes the head of a segment and some more by now."""
        self.next_try = time.monotonic() + AGAIN
        try:
            self.open().probe()
        except OSError:
            self.close(False)
        else:
            self.failing = False
            self.tell(["back"])

    def lose(self, why: str) -> None:
        self.next_try = time.monotonic() + AGAIN
        self.close(False)
        if not self.failing:
            self.failing = True
            self.tell(["lost", why])

    def close(self, whole: bool) -> None:
        segment, self.segment = self.segment, None
        if segment:
            try:
                segment.close(whole)
            except OSError:
                pass  # without its index a segment is read block by block
            try:
                if not whole and not segment.rows:
                    segment.path.unlink()  # a file that the disk had no room for
            except OSError:
                pass

    def trim(self) -> None:
        """Remove the oldest segments until the rest, and one more of full size, are within the budget."""
        held = sorted(numbers(self.folder, self.name).items())
        sizes = {path: path.stat().st_size for _, path in held}
        total = sum(sizes.values()) + self.most
        for _, path in held[:-1]:
            if total <= self.budget:
                break
            if self.segment is None or path != self.segment.path:
                path.unlink(missing_ok=True)
                total -= sizes[path]


def serve(sock: socket.socket, arguments: list[str]) -> int:
    """Write until the conductor's end of the socket closes."""
    folder, name, incarnation, most, age, budget = arguments

    def tell(what: list) -> None:
        try:
            sock.sendall(msgpack.packb(what))
        except OSError:
            pass  # nobody there to hear it

    writer = Writer(folder, name, incarnation, int(most), float(age), int(budget), tell)
    held = bytearray()
    while True:
        due = writer.next_try if writer.failing else writer.since + BLOCK_AGE if writer.frames else None
        wait = None if due is None else max(0.0, due - time.monotonic())
        if select.select([sock], [], [], wait)[0]:
            try:
                data = sock.recv(READ)
            except OSError:
                data = b""
            if not data:
                writer.flush()
                writer.close(True)
                return 0
            held += data
            at = 0
            while len(held) - at >= LENGTH.size:
                (size,) = LENGTH.unpack_from(held, at)
                if len(held) - at - LENGTH.size < size:
                    break
                writer.frame(bytes(held[at + LENGTH.size : at + LENGTH.size + size]))
                at += LENGTH.size + size
            del held[:at]
        if writer.failing and time.monotonic() >= writer.next_try:
            writer.retry()
        if writer.frames and time.monotonic() >= writer.since + BLOCK_AGE:
            writer.flush()


if __name__ == "__main__":
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)  # it ends when its conductor does, after the last frame
    sys.exit(serve(socket.socket(fileno=0), sys.argv[1:]))
