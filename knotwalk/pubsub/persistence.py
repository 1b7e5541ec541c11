"""Persistence of the published table: epoch, versions and lines survive a restart of the process.

Owns one file per conductor, which is replaced as a whole, and the process that writes it, so that a slow disk does not
block the event loop. Versions are reserved on disk before they are used: otherwise a later incarnation could publish
the same version with other content.

    python -m knotwalk.pubsub.persistence FILE

reads states, each preceded by its length, from descriptor 0 and answers each with one byte.
"""

import fcntl
import os
import selectors
import signal
import socket
import struct
import subprocess
import sys
import time
import zlib
from collections.abc import Callable
from pathlib import Path

import msgpack

from knotwalk.net.log import Log
from knotwalk.net.loop import Loop
from knotwalk.pubsub.versions import Table

MAGIC = b"KNOTKEEP\1"
LENGTH = struct.Struct("<I")
HEADER = struct.Struct("<9sII")  # magic, bytes, checksum
RESERVED_VERSIONS = 100_000  # reserved at a time: some hours of constant changes
WRITE_INTERVAL_S = 10.0  # between writes; after a restart, changes since the last write are sent again
RESTART_DELAY_S = 1.0  # before a writer process that died is started again
CHUNK_BYTES = 1 << 18
LOCK_TIMEOUT_S = 1.0  # wait at a start for the previous incarnation's writer, which ends after its last write


class TableFileError(Exception):
    """A table file that cannot be used; the text gives the reason."""


def encode_state(table: Table, ceiling: int, key: bytes) -> bytes:
    body = msgpack.packb({"table": table.snapshot(), "ceiling": ceiling, "key": key})
    return HEADER.pack(MAGIC, len(body), zlib.crc32(body)) + body


def decode_state(data: bytes) -> tuple[Table, bytes]:
    """The table, which continues from the stored state, and the key of its tokens; raises TableFileError."""
    if len(data) < HEADER.size:
        raise TableFileError("truncated within its header")
    magic, size, check = HEADER.unpack_from(data)
    body = data[HEADER.size :]
    if magic != MAGIC:
        raise TableFileError("not a table file of this version")
    if len(body) != size or zlib.crc32(body) != check:
        raise TableFileError("damaged: wrong length or checksum")
    try:
        payload = msgpack.unpackb(body, strict_map_key=False)
        return Table.from_snapshot(payload["table"], int(payload["ceiling"])), bytes(payload["key"])
    except (ValueError, KeyError, TypeError) as error:
        raise TableFileError(str(error)) from None


def load(path: Path) -> tuple[Table, bytes] | None:
    """The table and key in a file, None if it does not exist; raises TableFileError."""
    try:
        return decode_state(path.read_bytes())
    except FileNotFoundError:
        return None
    except OSError as error:
        raise TableFileError(error.strerror or str(error)) from None


def replace_file(path: Path, data: bytes) -> None:
    """Replace a file so that a crash leaves either the old or the new content; raises OSError."""
    new = path.with_suffix(".new")
    with new.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(new, path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def acquire_lock(path: Path) -> int:
    """A descriptor that holds a table file's lock, in this process and in the writer process, which inherits it.

    Raises TableFileError while the writer of another incarnation holds the lock: it could overwrite the new state with
    an old one, and publish versions meanwhile.
    """
    fd = os.open(path.with_suffix(".lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o640)
    end = time.monotonic() + LOCK_TIMEOUT_S
    while True:
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return fd
        except OSError:
            if time.monotonic() > end:
                os.close(fd)
                raise TableFileError("another process keeps it") from None
            time.sleep(0.02)


class TableWriter:
    """The conductor's side of the writer process.

    One state is written at a time and none is queued, since the next one will be newer.
    """

    def __init__(self, loop: Loop, path: Path, lock: int, table: Table, key: bytes, log: Log):
        self.loop, self.path, self.lock, self.table, self.key, self.log = loop, path, lock, table, key, log
        self.is_stopped = False  # the epoch in the file has ended; nothing more is written
        self.ceiling: float = table.version + RESERVED_VERSIONS  # versions below it are reserved on disk
        self.requested_ceiling = table.version + RESERVED_VERSIONS  # as of the last state sent to the writer
        # The first reservation is written synchronously, before any version is published; no work is delayed yet.
        replace_file(path, encode_state(table, self.ceiling, key))
        self.sock: socket.socket | None = None
        self.process: subprocess.Popen | None = None
        self.pending = b""  # bytes still to be sent to the writer
        self.is_writing = False
        self.sent_version = table.version
        self.start()
        self.write_periodically()

    def start(self) -> None:
        if self.is_stopped:
            return
        our_end, writer_end = socket.socketpair()
        try:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "knotwalk.pubsub.persistence", str(self.path)],
                stdin=writer_end.fileno(),
                stdout=subprocess.DEVNULL,
                pass_fds=[self.lock],
            )
        except OSError as error:
            our_end.close()
            self.log("keeping stands still", str(error.strerror))
            self.loop.call_later(RESTART_DELAY_S, self.start)
            return
        finally:
            writer_end.close()
        our_end.setblocking(False)
        self.sock, self.is_writing, self.pending = our_end, False, b""
        self.loop.selector.register(our_end, selectors.EVENT_READ, self)

    def handle_events(self, events: int) -> None:
        assert self.sock is not None
        if events & selectors.EVENT_WRITE:
            self.flush()
        if not events & selectors.EVENT_READ:
            return
        try:
            data = self.sock.recv(64)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data = b""
        if not data:
            self.loop.selector.unregister(self.sock)
            self.sock.close()
            self.sock = None
            self.log("keeping stands still", "the writer process ended")
            self.loop.call_later(RESTART_DELAY_S, self.start)
            return
        self.is_writing = False
        if data[-1:] == b"+":
            self.ceiling = self.requested_ceiling
        else:
            self.log("keeping stands still", f"{self.path}: the write failed")

    def write_periodically(self) -> None:
        """Write the table every WRITE_INTERVAL_S, if it has changed."""
        if self.table.version != self.sent_version:
            self.send_state()
        self.loop.call_later(WRITE_INTERVAL_S, self.write_periodically)

    def check_reservation(self, on_exhausted: Callable[[], None]) -> None:
        """Called after each round: reserve more versions in time.

        If the writer did not reserve any and the versions ran out, stop writing and call `on_exhausted`, which has to
        start a new epoch.
        """
        if self.table.version > self.ceiling - RESERVED_VERSIONS // 2:
            self.send_state()
        if self.table.version >= self.ceiling:
            self.ceiling, self.is_stopped = float("inf"), True
            on_exhausted()

    def send_state(self) -> None:
        if self.sock is None or self.is_writing or self.is_stopped:
            return
        self.requested_ceiling = self.table.version + RESERVED_VERSIONS
        data = encode_state(self.table, self.requested_ceiling, self.key)
        self.pending, self.is_writing, self.sent_version = LENGTH.pack(len(data)) + data, True, self.table.version
        self.flush()

    def close(self) -> None:
        """Stop writing at the end of the program; a state that the writer has received is still written."""
        self.is_stopped = True
        if self.sock:
            self.loop.selector.unregister(self.sock)
            self.sock.close()
            self.sock = None
        os.close(self.lock)

    def flush(self) -> None:
        assert self.sock is not None
        try:
            while self.pending:
                self.pending = self.pending[self.sock.send(self.pending[:CHUNK_BYTES]) :]
        except (BlockingIOError, InterruptedError):
            pass
        except OSError:
            return  # the closed connection is noticed at the next loop turn
        self.loop.selector.modify(
            self.sock, selectors.EVENT_READ | (selectors.EVENT_WRITE if self.pending else 0), self
        )


def run_writer(sock: socket.socket, path: Path) -> int:
    """Write states until the conductor closes its end; return the exit code."""
    buffer = bytearray()
    while data := sock.recv(CHUNK_BYTES):
        buffer += data
        while len(buffer) >= LENGTH.size and len(buffer) - LENGTH.size >= (size := LENGTH.unpack_from(buffer)[0]):
            state = bytes(buffer[LENGTH.size : LENGTH.size + size])
            del buffer[: LENGTH.size + size]
            try:
                replace_file(path, state)
                answer = b"+"
            except OSError:
                answer = b"-"
            try:
                sock.sendall(answer)
            except OSError:
                return 0  # the conductor is gone
    return 0


if __name__ == "__main__":
    for signal_number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(signal_number, signal.SIG_IGN)  # the writer ends when its conductor closes the socket
    sys.exit(run_writer(socket.socket(fileno=0), Path(sys.argv[1])))
