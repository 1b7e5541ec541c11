"""The log: one line an event, printed to standard error.

Owns the rate at which lines of one kind come out, and says how many it held back. It must never block the
loop, raise, or decide anything: a line that nobody reads in time is dropped.
"""

import select
import sys
import time

MAX_BURST = 5  # lines of one kind in a row: enough to see a pattern
REFILL_INTERVAL_S = 1.0  # seconds for one more: a fault that stays shows once a second, and no log fills a disk
MAX_LINE_BYTES = 2000  # bytes of a line: under the 4096 bytes that a pipe takes whole or not at all


class Log:
    """Lines to one stream, rate-limited by kind."""

    def __init__(self, stream=None, clock=time.monotonic):
        self.stream, self.clock = stream or sys.stderr, clock
        self.kinds: dict[str, list[float]] = {}  # kind: [lines left, when counted, lines held back]

    def __call__(self, kind: str, text: str = "") -> None:
        """Print "kind: text", unless too many of the kind came of late."""
        now = self.clock()
        state = self.kinds.setdefault(kind, [MAX_BURST, now, 0])
        state[0] = min(MAX_BURST, state[0] + (now - state[1]) / REFILL_INTERVAL_S)
        state[1] = now
        if state[0] < 1 or not self.is_writable():
            state[2] += 1
            return
        state[0] -= 1
        suppressed, state[2] = state[2], 0
        more = f" ({suppressed} more of this kind held back)" if suppressed else ""
        line = " ".join(f"{kind}: {text}".split())[:MAX_LINE_BYTES]
        line = line.encode("ascii", "backslashreplace")[:MAX_LINE_BYTES].decode()
        try:
            print(f"knotwalk {line}{more}", file=self.stream, flush=True)
        except (OSError, ValueError):
            state[2] += 1

    def is_writable(self) -> bool:
        """Whether a line goes out without waiting: a full pipe must not stop the loop."""
        try:
            poll = select.poll()
            poll.register(self.stream, select.POLLOUT)
            return bool(poll.poll(0))
        except (OSError, ValueError, TypeError):
            return True  # no descriptor to wait for
