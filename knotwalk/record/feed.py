"""The feed: carries a recorder's bytes to the writer's process, on the conductor's loop.

Owns the process and the socket to it. It decides nothing about rounds and must never wait: what the socket does not
take stays with the recorder, which has a bound.
"""

import selectors
import socket
import subprocess
import sys
import time
from collections.abc import Callable

import msgpack

from knotwalk.net.log import Log
from knotwalk.net.loop import Loop
from knotwalk.record.recorder import Recorder

PACE = 0.1  # seconds between sends: what a kill -9 of the conductor may cost
AGAIN_FIRST, AGAIN_MOST = 0.5, 30.0  # seconds before a writer that died is started again; doubles
STEADY = 60.0  # seconds after which one that runs has proven itself
CLOSE = 0.4  # seconds that an orderly end waits for the last bytes: SIGKILL comes 0.7 s later


class Feed:
    """One writer at a time."""

    def __init__(self, loop: Loop, recorder: Recorder, arguments: list[str], log: Log):
        self.loop, self.recorder, self.log, self.arguments = loop, recorder, log, arguments
        self.sock: socket.socket | None = None
        self.process: subprocess.Popen | None = None
        self.wait, self.begun, self.told_lost = AGAIN_FIRST, 0.0, False
        self.said = msgpack.Unpacker(max_buffer_size=1 << 16)
        self.start()
        self.due()

    def start(self) -> None:
        try:
            ours, theirs = socket.socketpair()
        except OSError as fault:
            self.again(f"no descriptors: {fault.strerror}")
            return
        try:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "knotwalk.record.writer", *self.arguments],
                stdin=theirs.fileno(),
                stdout=subprocess.DEVNULL,
            )
        except OSError as fault:
            ours.close()
            self.again(f"no process: {fault.strerror}")
            return
        finally:
            theirs.close()
        ours.setblocking(False)
        self.sock, self.begun = ours, self.loop.now()
        self.said = msgpack.Unpacker(max_buffer_size=1 << 16)
        self.loop.selector.register(ours, selectors.EVENT_READ, self)
        self.flush()

    def again(self, why: str) -> None:
        self.recorder.cut(self.loop.now(), why)
        self.lose(why)
        if self.loop.now() > self.begun + STEADY:
            self.wait = AGAIN_FIRST
        self.loop.call_later(self.wait, self.start)
        self.wait = min(AGAIN_MOST, 2 * self.wait)

    def lose(self, why: str) -> None:
        if not self.told_lost:
            self.told_lost = True
            self.log("recording stands still", why)

    def handle_events(self, _events: int) -> None:
        """The writer has said something, or died."""
        assert self.sock is not None
        try:
            data = self.sock.recv(4096)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data = b""
        if not data:
            self.gone()
            return
        self.said.feed(data)
        for what, *rest in self.said:
            if what == "lost":
                self.recorder.hold(self.loop.now(), str(rest[0]))
                self.lose(str(rest[0]))
            else:
                self.recorder.release()

    def gone(self) -> None:
        assert self.sock is not None and self.process is not None
        self.loop.selector.unregister(self.sock)
        self.sock.close()
        self.sock = None
        code = self.process.poll()  # a zombie, if it has not quite ended: the next start reaps it
        self.again(f"the writer ended, exit code {code}")

    def due(self) -> None:
        """Every PACE: say what has changed, and send what was recorded since."""
        self.flush()
        if self.recorder.gap:
            self.lose(self.recorder.gap[1])
        elif self.told_lost and self.sock:
            self.told_lost = False
            self.log("recording goes on", f"{self.recorder.lost_all} rounds lost so far")
        self.loop.call_later(PACE, self.due)

    def flush(self) -> None:
        self.recorder.settle()
        waiting = self.recorder.waiting
        while waiting and self.sock:
            try:
                with memoryview(waiting) as view:
                    sent = self.sock.send(view[: 1 << 18])
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                return  # its end is read, and told, at the next turn
            del waiting[:sent]

    def close(self, clock: Callable[[], float] = time.monotonic) -> None:
        """The program ends: give the last bytes a moment, no longer than the platform's patience."""
        self.recorder.end(self.loop.now())
        end = clock() + CLOSE
        if self.sock:
            self.sock.settimeout(CLOSE)
            try:
                while self.recorder.waiting and clock() < end:
                    sent = self.sock.send(self.recorder.waiting)
                    del self.recorder.waiting[:sent]
            except OSError:
                pass
            self.sock.close()
