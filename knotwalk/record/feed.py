"""Starts the writer process and sends it a recorder's bytes, on the conductor's event loop.

It must never block: what the socket does not accept stays in the recorder, whose buffer is bounded.
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

SEND_INTERVAL_S = 0.1  # between sends; a kill -9 of the conductor loses up to this much
# The delay before a writer that exited is restarted; it doubles with each attempt.
MIN_RESTART_DELAY_S, MAX_RESTART_DELAY_S = 0.5, 30.0
STABLE_AFTER_S = 60.0  # a writer that ran this long resets the restart delay
CLOSE_TIMEOUT_S = 0.4  # for sending the last bytes at a shutdown: the platform sends SIGKILL 0.7 s later


class Feed:
    """Runs one writer process at a time."""

    def __init__(self, loop: Loop, recorder: Recorder, arguments: list[str], log: Log):
        self.loop, self.recorder, self.log, self.arguments = loop, recorder, log, arguments
        self.sock: socket.socket | None = None
        self.process: subprocess.Popen | None = None
        self.restart_delay_s, self.started_at, self.has_reported_stop = MIN_RESTART_DELAY_S, 0.0, False
        self.unpacker = msgpack.Unpacker(max_buffer_size=1 << 16)
        self.start()
        self.send_periodically()

    def start(self) -> None:
        try:
            local_end, writer_end = socket.socketpair()
        except OSError as error:
            self.schedule_restart(f"no descriptors: {error.strerror}")
            return
        try:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "knotwalk.record.writer", *self.arguments],
                stdin=writer_end.fileno(),
                stdout=subprocess.DEVNULL,
            )
        except OSError as error:
            local_end.close()
            self.schedule_restart(f"no process: {error.strerror}")
            return
        finally:
            writer_end.close()
        local_end.setblocking(False)
        self.sock, self.started_at = local_end, self.loop.now()
        self.unpacker = msgpack.Unpacker(max_buffer_size=1 << 16)
        self.loop.selector.register(local_end, selectors.EVENT_READ, self)
        self.flush()

    def schedule_restart(self, reason: str) -> None:
        self.recorder.discard_waiting(self.loop.now(), reason)
        self.report_stop(reason)
        if self.loop.now() > self.started_at + STABLE_AFTER_S:
            self.restart_delay_s = MIN_RESTART_DELAY_S
        self.loop.call_later(self.restart_delay_s, self.start)
        self.restart_delay_s = min(MAX_RESTART_DELAY_S, 2 * self.restart_delay_s)

    def report_stop(self, reason: str) -> None:
        if not self.has_reported_stop:
            self.has_reported_stop = True
            self.log("recording stopped", reason)

    def handle_events(self, _events: int) -> None:
        """Read what the writer reports, or notice that it exited."""
        assert self.sock is not None
        try:
            data = self.sock.recv(4096)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data = b""
        if not data:
            self.handle_writer_exit()
            return
        self.unpacker.feed(data)
        for kind, *rest in self.unpacker:
            if kind == "lost":
                self.recorder.suspend(self.loop.now(), str(rest[0]))
                self.report_stop(str(rest[0]))
            else:
                self.recorder.end_suspension()

    def handle_writer_exit(self) -> None:
        assert self.sock is not None and self.process is not None
        self.loop.selector.unregister(self.sock)
        self.sock.close()
        self.sock = None
        code = self.process.poll()  # None if it has not quite exited; the next start reaps it
        self.schedule_restart(f"the writer ended, exit code {code}")

    def send_periodically(self) -> None:
        """Every SEND_INTERVAL_S, send what was recorded and log whether recording has stopped or resumed."""
        self.flush()
        if self.recorder.gap:
            self.report_stop(self.recorder.gap[1])
        elif self.has_reported_stop and self.sock:
            self.has_reported_stop = False
            self.log("recording resumed", f"{self.recorder.total_lost} rounds lost so far")
        self.loop.call_later(SEND_INTERVAL_S, self.send_periodically)

    def flush(self) -> None:
        self.recorder.pack_rounds()
        waiting = self.recorder.waiting
        while waiting and self.sock:
            try:
                with memoryview(waiting) as view:
                    sent = self.sock.send(view[: 1 << 18])
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                return  # handle_events reads the end of the stream and reports it
            del waiting[:sent]

    def close(self, clock: Callable[[], float] = time.monotonic) -> None:
        """At shutdown, send the last bytes for up to CLOSE_TIMEOUT_S."""
        self.recorder.record_end(self.loop.now())
        end = clock() + CLOSE_TIMEOUT_S
        if self.sock:
            self.sock.settimeout(CLOSE_TIMEOUT_S)
            try:
                while self.recorder.waiting and clock() < end:
                    sent = self.sock.send(self.recorder.waiting)
                    del self.recorder.waiting[:sent]
            except OSError:
                pass
            self.sock.close()
