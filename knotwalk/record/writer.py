"""The writer process, which writes frames to segment files.

It numbers the files of one conductor in a folder and bounds their size, age and total size. Whatever the disk does, it
must never index an incomplete block, remove anything but entire old segments, or outlive its conductor.

    python -m knotwalk.record.writer FOLDER NAME INCARNATION SEGMENT_BYTES SEGMENT_SECONDS BUDGET_BYTES

It reads length-prefixed frames from descriptor 0, a socket, and reports on it, as msgpack lists: ["lost", reason] when
writing fails, ["back"] when it works again.
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
from knotwalk.record.recorder import LENGTH_PREFIX

MAX_BLOCK_BYTES = 1 << 18  # uncompressed; large enough to read fast, and a truncated block loses 1-2 s
MAX_BLOCK_AGE_S = 2.0  # a block is written after this time even if it is not full
RETRY_INTERVAL_S = 1.0  # between attempts while the disk fails
RECEIVE_BYTES = 1 << 18


def file_name(name: str, number: int) -> str:
    """
    >>> file_name("n/3", 12)
    'n_3-00000012.kwr'
    """
    return f"{re.sub('[^A-Za-z0-9._]', '_', name)}-{number:08d}.kwr"


def segment_paths(folder: Path, name: str) -> dict[int, Path]:
    """The segment files of one conductor in a folder, by number."""
    start = file_name(name, 0)[: -len("00000000.kwr")]
    return {int(p.name[len(start) : -4]): p for p in folder.glob(f"{start}*.kwr") if p.name[len(start) : -4].isdigit()}


class Segment:
    """The segment file that is being written."""

    def __init__(self, folder: Path, name: str, header_fields: dict):
        number = max(segment_paths(folder, name), default=0)
        while True:
            number += 1
            self.path = folder / file_name(name, number)
            try:
                self.fd = os.open(self.path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o640)
                break
            except FileExistsError:  # created by another incarnation of the same conductor
                continue
        self.index_rows: list[list] = []
        self.size, self.started_at = 0, time.monotonic()
        self.write(format.encode_segment_header({**header_fields, "segment": number, "wall": time.time()}))

    def write(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[os.write(self.fd, view) :]
        self.size += len(data)

    def probe(self) -> None:
        """Check that the disk has space for a block; raises OSError if not."""
        os.pwrite(self.fd, bytes(MAX_BLOCK_BYTES), self.size)
        os.ftruncate(self.fd, self.size)

    def close(self, is_complete: bool) -> None:
        try:
            if is_complete:
                self.write(format.encode_index(self.index_rows))
        finally:
            os.close(self.fd)


class Writer:
    """Collects frames into blocks and writes blocks to segments."""

    def __init__(
        self,
        folder: str,
        name: str,
        incarnation: str,
        max_segment_bytes: int,
        max_segment_age_s: float,
        budget_bytes: int,
        report,
    ):
        self.folder, self.name, self.report = Path(folder), name, report
        self.max_segment_bytes, self.max_segment_age_s, self.budget_bytes = (
            max_segment_bytes,
            max_segment_age_s,
            budget_bytes,
        )
        self.header_fields = {"conductor": name, "incarnation": incarnation}
        self.compress = zstandard.ZstdCompressor(level=3).compress
        self.frames: list[list] = []
        self.size, self.block_started_at = 0, 0.0
        self.segment: Segment | None = None
        self.is_failing = False
        self.next_retry_at = 0.0

    def add_frame(self, data: bytes) -> None:
        if self.is_failing:
            return  # already reported; the first frames after "back" are a gap and a checkpoint
        frame = msgpack.unpackb(data, use_list=True, strict_map_key=False)
        if frame[0] == format.CHECKPOINT:  # always the first frame of a block, so that a replay can start there
            self.flush()
            if self.segment and (
                self.segment.size > self.max_segment_bytes
                or time.monotonic() > self.segment.started_at + self.max_segment_age_s
            ):
                self.close(True)
        if not self.frames:
            self.block_started_at = time.monotonic()
        self.frames.append(frame)
        self.size += len(data)
        if self.size >= MAX_BLOCK_BYTES:
            self.flush()

    def flush(self) -> None:
        """Write the collected frames as one block; if that fails, they are lost and the failure is reported."""
        frames, self.frames, self.size = self.frames, [], 0
        if not frames:
            return
        try:
            segment = self.open()
            data = format.encode_block(frames, self.compress)
            offset = segment.size
            segment.write(data)
            segment.index_rows.append([offset, *format.parse_block_header(data)])
        except OSError as error:
            self.handle_disk_error(f"{self.folder}: {error.strerror}")

    def open(self) -> Segment:
        if self.segment is None:
            self.folder.mkdir(parents=True, exist_ok=True)
            self.segment = Segment(self.folder, self.name, self.header_fields)
            self.enforce_budget()
        return self.segment

    def retry(self) -> None:
        """After a disk error, try to create a segment with space for a block."""
        self.next_retry_at = time.monotonic() + RETRY_INTERVAL_S
        try:
            self.open().probe()
        except OSError:
            self.close(False)
        else:
            self.is_failing = False
            self.report(["back"])

    def handle_disk_error(self, reason: str) -> None:
        self.next_retry_at = time.monotonic() + RETRY_INTERVAL_S
        self.close(False)
        if not self.is_failing:
            self.is_failing = True
            self.report(["lost", reason])

    def close(self, is_complete: bool) -> None:
        segment, self.segment = self.segment, None
        if segment:
            try:
                segment.close(is_complete)
            except OSError:
                pass  # a segment without an index is scanned block by block
            try:
                if not is_complete and not segment.index_rows:
                    segment.path.unlink()  # an empty segment, left by a failed attempt
            except OSError:
                pass

    def enforce_budget(self) -> None:
        """Remove the oldest segments until the rest plus one full segment fit within the budget."""
        stored = sorted(segment_paths(self.folder, self.name).items())
        sizes = {path: path.stat().st_size for _, path in stored}
        total = sum(sizes.values()) + self.max_segment_bytes
        for _, path in stored[:-1]:
            if total <= self.budget_bytes:
                break
            if self.segment is None or path != self.segment.path:
                path.unlink(missing_ok=True)
                total -= sizes[path]


def serve(sock: socket.socket, arguments: list[str]) -> int:
    """Write frames until the conductor closes its end of the socket."""
    folder, name, incarnation, max_segment_bytes, max_segment_age_s, budget_bytes = arguments

    def report(message: list) -> None:
        try:
            sock.sendall(msgpack.packb(message))
        except OSError:
            pass  # the conductor has exited

    writer = Writer(
        folder, name, incarnation, int(max_segment_bytes), float(max_segment_age_s), int(budget_bytes), report
    )
    received = bytearray()
    while True:
        due = (
            writer.next_retry_at
            if writer.is_failing
            else writer.block_started_at + MAX_BLOCK_AGE_S
            if writer.frames
            else None
        )
        wait = None if due is None else max(0.0, due - time.monotonic())
        if select.select([sock], [], [], wait)[0]:
            try:
                data = sock.recv(RECEIVE_BYTES)
            except OSError:
                data = b""
            if not data:
                writer.flush()
                writer.close(True)
                return 0
            received += data
            offset = 0
            while len(received) - offset >= LENGTH_PREFIX.size:
                (size,) = LENGTH_PREFIX.unpack_from(received, offset)
                if len(received) - offset - LENGTH_PREFIX.size < size:
                    break
                writer.add_frame(bytes(received[offset + LENGTH_PREFIX.size : offset + LENGTH_PREFIX.size + size]))
                offset += LENGTH_PREFIX.size + size
            del received[:offset]
        if writer.is_failing and time.monotonic() >= writer.next_retry_at:
            writer.retry()
        if writer.frames and time.monotonic() >= writer.block_started_at + MAX_BLOCK_AGE_S:
            writer.flush()


if __name__ == "__main__":
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)  # it exits after the last frame, when the conductor closes the socket
    sys.exit(serve(socket.socket(fileno=0), sys.argv[1:]))
