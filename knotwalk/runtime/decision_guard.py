"""Keeps the failure of one decision from ending the program: it is logged and counted, and the last good result stays.

Only for decisions whose state is whole after an exception, or is made anew each time. Consensus, its store and the
grants of keys are not guarded: half-applied, they could break a promise, so an error there ends the process (see
docs/design/decision-failures.md).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from knotwalk.runtime.logs import log_exception


class DecisionGuard:
    """Guards the decisions of one program.

    `failures` counts exceptions by the decision's name, for its metrics; `errors` has the last one of each as a text.
    """

    def __init__(self) -> None:
        self.failures: Counter[str] = Counter()
        self.errors: dict[str, str] = {}

    @contextmanager
    def protect(self, decision: str, **size: object) -> Iterator[None]:
        """Run a block as the named decision; an exception ends the block only. `size`: kind and size of its input.

        Of failures that repeat, those are logged at which their number has doubled."""
        try:
            yield
        except Exception as error:
            self.failures[decision] += 1
            self.errors[decision] = f"{type(error).__name__} {error}"
            times = self.failures[decision]
            if times & (times - 1) == 0:
                log_exception("decision failed", decision=decision, times=times, **size)
