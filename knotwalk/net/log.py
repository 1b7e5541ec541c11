"""The log: one line for each event, printed to standard error.

Limits the rate of lines of one kind and reports how many it held back. It must never block the event loop, raise or
decide anything: a line that cannot be written without waiting is dropped.
"""

import select
import sys
import time

MAX_BURST = 5  # lines of one kind in a row: enough to see a pattern
REFILL_INTERVAL_S = 1.0  # one more line each: a lasting fault shows once a second, and the log fills no disk
MAX_LINE_BYTES = 2000  # below the 4096 bytes (PIPE_BUF) that a pipe takes whole or not at all


class Log:
    """Writes lines to one stream, with a token bucket for each kind."""

    def __init__(self, stream=None, clock=time.monotonic):
        self.stream, self.clock = stream or sys.stderr, clock
        self.kinds: dict[str, list[float]] = {}  # by kind: [tokens, time of the last refill, lines held back]

    def __call__(self, kind: str, text: str = "") -> None:
        """Print "kind: text", unless the bucket of this kind is empty or the stream is not writable."""
        now = self.clock()
        bucket = self.kinds.setdefault(kind, [MAX_BURST, now, 0])
        bucket[0] = min(MAX_BURST, bucket[0] + (now - bucket[1]) / REFILL_INTERVAL_S)
        bucket[1] = now
        if bucket[0] < 1 or not self.is_writable():
            bucket[2] += 1
            return
        bucket[0] -= 1
        suppressed, bucket[2] = bucket[2], 0
        suffix = f" ({suppressed} more of this kind held back)" if suppressed else ""
        line = " ".join(f"{kind}: {text}".split())[:MAX_LINE_BYTES]
        line = line.encode("ascii", "backslashreplace")[:MAX_LINE_BYTES].decode()
        try:
            print(f"knotwalk {line}{suffix}", file=self.stream, flush=True)
        except (OSError, ValueError):
            bucket[2] += 1

    def is_writable(self) -> bool:
        """Whether a line can be written without blocking: a full pipe must not stop the event loop."""
        try:
            poll = select.poll()
            poll.register(self.stream, select.POLLOUT)
            return bool(poll.poll(0))
        except (OSError, ValueError, TypeError):
            return True  # the stream has no descriptor to poll
