"""How late a program's event loop runs what is due. Imports nothing: it is a part of every start."""


class LoopDelay:
    """How late the event loop ran what was due, at most, since it was last asked."""

    def __init__(self) -> None:
        self._most = 0.0

    def note(self, late: float) -> None:
        """Something ran so many seconds late."""
        self._most = max(self._most, late)

    def take(self) -> float:
        """The most, in seconds; begins anew."""
        most, self._most = self._most, 0.0
        return most
