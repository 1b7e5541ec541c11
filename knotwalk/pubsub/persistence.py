"""Lasting storage of the published table: epoch, versions and lines outlive the process.

Owns one file a conductor, replaced whole, and the process that writes it, so that no disk holds the loop up. It must
never let a version be told that a later life could tell again: versions are reserved on disk before they are used.

    python -m knotwalk.pubsub.persistence FILE

reads states, each after its length, on descriptor 0, and answers with a byte.
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
HEAD = struct.Struct("<9sII")  # magic, bytes, checksum
RESERVE = 100_000  # versions reserved at a time: some hours of storms
EVERY = 10.0  # seconds between states kept: what a restart sends again is what changed since
AGAIN = 1.0  # seconds before a keeper that died is started again
READ = 1 << 18
PATIENCE = 1.0  # seconds that a start waits for the keeper of the life before, which ends with its last write


class Unkept(Exception):
    """A file that cannot be used; the text says why."""


def packed(table: Table, ceiling: int, key: bytes) -> bytes:
    body = msgpack.packb({"table": table.snapshot(), "ceiling": ceiling, "key": key})
    return HEAD.pack(MAGIC, len(body), zlib.crc32(body)) + body


def unpacked(data: bytes) -> tuple[Table, bytes]:
    """The table that goes on, and the key of its tokens; raises Unkept."""
    if len(data) < HEAD.size:
        raise Unkept("it ends within its head")
    magic, size, check = HEAD.unpack_from(data)
    body = data[HEAD.size :]
    if magic != MAGIC:
        raise Unkept("no table of this version")
    if len(body) != size or zlib.crc32(body) != check:
        raise Unkept("damaged: its checksum differs")
    try:
        told = msgpack.unpackb(body, strict_map_key=False)
        return Table.restored(told["table"], int(told["ceiling"])), bytes(told["key"])
    except (ValueError, KeyError, TypeError) as fault:
        raise Unkept(str(fault)) from None


def load(path: Path) -> tuple[Table, bytes] | None:
    """What a file keeps, None if there is none; raises Unkept."""
    try:
        return unpacked(path.read_bytes())
    except FileNotFoundError:
        return None
    except OSError as fault:
        raise Unkept(fault.strerror or str(fault)) from None


def replace(path: Path, data: bytes) -> None:
    """Put a file in another's place so that a crash leaves one or the other; raises OSError."""
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


def locked(path: Path) -> int:
    """A descriptor that holds a table's lock, here and in the keeper's process; raises Unkept while another life's
    keeper has it. Guards against an old one that puts its state over the new one's, and tells versions meanwhile."""
    fd = os.open(path.with_suffix(".lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o640)
    end = time.monotonic() + PATIENCE
    while True:
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return fd
        except OSError:
            if time.monotonic() > end:
                os.close(fd)
                raise Unkept("another process keeps it") from None
            time.sleep(0.02)


class Keeper:
    """The writer's process, from the conductor's side: one state under way, and none waits, since the next is newer."""

    def __init__(self, loop: Loop, path: Path, lock: int, table: Table, key: bytes, log: Log):
        self.loop, self.path, self.lock, self.table, self.key, self.log = loop, path, lock, table, key, log
        self.given_up = False  # the epoch that the file keeps has ended: what follows is not kept
        self.ceiling: float = table.version + RESERVE
        self.offered = table.version + RESERVE  # versions below it are reserved; asked for
        # At the start there is nobody to hold up: the first reservation is made before a version is told.
        replace(path, packed(table, self.ceiling, key))
        self.sock: socket.socket | None = None
        self.process: subprocess.Popen | None = None
        self.going = b""
        self.busy = False
        self.kept = table.version
        self.start()
        self.due()

    def start(self) -> None:
        if self.given_up:
            return
        ours, theirs = socket.socketpair()
        try:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "knotwalk.pubsub.persistence", str(self.path)],
                stdin=theirs.fileno(),
                stdout=subprocess.DEVNULL,
                pass_fds=[self.lock],
            )
        except OSError as fault:
            ours.close()
            self.log("keeping stands still", str(fault.strerror))
            self.loop.after(AGAIN, self.start)
            return
        finally:
            theirs.close()
        ours.setblocking(False)
        self.sock, self.busy, self.going = ours, False, b""
        self.loop.selector.register(ours, selectors.EVENT_READ, self)

    def turn(self, events: int) -> None:
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
            self.log("keeping stands still", "its process ended")
            self.loop.after(AGAIN, self.start)
            return
        self.busy = False
        if data[-1:] == b"+":
            self.ceiling = self.offered
        else:
            self.log("keeping stands still", f"{self.path}: the disk takes nothing")

    def due(self) -> None:
        """Every EVERY: the table as it is, if it has changed."""
        if self.table.version != self.kept:
            self.offer()
        self.loop.after(EVERY, self.due)

    def watch(self, exhausted: Callable[[], None]) -> None:
        """After each round: reserve in time; where no disk did, versions may run out, and the epoch with them."""
        if self.table.version > self.ceiling - RESERVE // 2:
            self.offer()
        if self.table.version >= self.ceiling:
            self.ceiling, self.given_up = float("inf"), True
            exhausted()

    def offer(self) -> None:
        if self.sock is None or self.busy or self.given_up:
            return
        self.offered = self.table.version + RESERVE
        data = packed(self.table, self.offered, self.key)
        self.going, self.busy, self.kept = LENGTH.pack(len(data)) + data, True, self.table.version
        self.flush()

    def close(self) -> None:
        """The program ends: what is under way is still written."""
        self.given_up = True
        if self.sock:
            self.loop.selector.unregister(self.sock)
            self.sock.close()
            self.sock = None
        os.close(self.lock)

    def flush(self) -> None:
        assert self.sock is not None
        try:
            while self.going:
                self.going = self.going[self.sock.send(self.going[:READ]) :]
        except (BlockingIOError, InterruptedError):
            pass
        except OSError:
            return  # its end is read at the next turn
        self.loop.selector.modify(self.sock, selectors.EVENT_READ | (selectors.EVENT_WRITE if self.going else 0), self)


def serve(sock: socket.socket, path: Path) -> int:
    """Keep until the conductor's end closes."""
    held = bytearray()
    while data := sock.recv(READ):
        held += data
        while len(held) >= LENGTH.size and len(held) - LENGTH.size >= (size := LENGTH.unpack_from(held)[0]):
            state = bytes(held[LENGTH.size : LENGTH.size + size])
            del held[: LENGTH.size + size]
            try:
                replace(path, state)
                answer = b"+"
            except OSError:
                answer = b"-"
            try:
                sock.sendall(answer)
            except OSError:
                return 0  # nobody is there to hear it
    return 0


if __name__ == "__main__":
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)  # it ends when its conductor does
    sys.exit(serve(socket.socket(fileno=0), Path(sys.argv[1])))
