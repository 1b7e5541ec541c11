"""A core or an edge in which chosen decisions raise: the program itself, with their functions wrapped.

`FAILING_DECISIONS` of the environment names a file; each of its lines, `MODULE: DECISION`, names one that raises for as
long as the line is there. `failing_core` and `failing_edge` start it.
"""

from __future__ import annotations

import os
import runpy
from collections.abc import Callable
from pathlib import Path
from typing import Any

ENVIRONMENT_VARIABLE = "FAILING_DECISIONS"


def is_failing(decision: str) -> bool:
    """Whether a decision is to raise now."""
    try:
        return decision in Path(os.environ[ENVIRONMENT_VARIABLE]).read_text().splitlines()
    except FileNotFoundError:
        return False


def wrap(owner: Any, name: str, decision: str) -> None:
    """Have a function raise while its decision is to fail."""
    original: Callable = getattr(owner, name)

    def decide(*arguments: Any, **named: Any) -> Any:
        if is_failing(decision):
            raise RuntimeError(f"injected into {decision}")
        return original(*arguments, **named)

    setattr(owner, name, decide)


def run(module: str, wrapped: list[tuple[Any, str, str]]) -> None:
    """Run a program as `python -m module` does."""
    for owner, name, decision in wrapped:
        wrap(owner, name, f"{module}: {decision}")
    runpy.run_module(module, run_name="__main__", alter_sys=True)
