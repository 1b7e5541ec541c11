"""How late a program's event loop runs callbacks. Imports nothing, as every program loads it at its start."""


class LoopDelay:
    """The maximum delay with which the event loop ran a callback since the last call of `take`."""

    def __init__(self) -> None:
        self._max_delay_s = 0.0

    def note(self, delay_s: float) -> None:
        """Record that a callback ran `delay_s` seconds late."""
        self._max_delay_s = max(self._max_delay_s, delay_s)

    def take(self) -> float:
        """Return the maximum delay in seconds and reset it."""
        max_delay_s, self._max_delay_s = self._max_delay_s, 0.0
        return max_delay_s
