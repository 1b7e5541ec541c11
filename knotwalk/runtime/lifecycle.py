"""A program's life: from its settings file to SIGTERM, and the exit code. The same for every program of the system.

0: ended as asked; 1: an error, logged; 2: the settings, or what lies on the disk, can't be used: one line on standard
error names place and mistake.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Protocol

from knotwalk.runtime import logs, settings as settings_file
from knotwalk.runtime.errors import SettingsError
from knotwalk.runtime.settings import Settings

ENDED, FAILED, UNUSABLE = 0, 1, 2
# Seconds between looks at the settings file, which may change without a signal: seeds that changed last for minutes.
LOOK = 2.0


class Program(Protocol):
    """What lives: `run` returns once it has ended in order, `reload` takes up a changed settings file."""

    async def run(self) -> None:
        """Live until the end is asked for."""

    def reload(self, fresh: Settings) -> None:
        """Take up settings that changed."""


class Ending:
    """Asked for by SIGTERM or SIGINT. SIGHUP, or another file in place of the settings' one, has `reload` take it
    up."""

    def __init__(self, reload: Callable[[Settings], None], read: settings_file.Mark | None):
        """`read`: the state of the settings file that the program goes by."""
        self._asked, self._reload = asyncio.Event(), reload
        self._file = read

    def listen(self) -> None:
        """Take the signals and look at the file, which may have changed since it was read; in the running loop."""
        loop = asyncio.get_running_loop()
        for sign in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(sign, self._asked.set)
        loop.add_signal_handler(signal.SIGHUP, self.take_up)
        loop.call_soon(self._look)

    def _look(self) -> None:
        if settings_file.mark() not in (self._file, None):
            self.take_up()
        asyncio.get_running_loop().call_later(LOOK, self._look)

    def take_up(self) -> None:
        """Read the settings file anew; one that can't be used changes nothing, and is told of once."""
        self._file = settings_file.mark()
        try:
            fresh = settings_file.load()
        except SettingsError as error:
            logs.log_warning("settings not taken up", why=str(error))
            return
        self._reload(fresh)
        logs.log_info("settings taken up")

    @property
    def asked(self) -> bool:
        """Whether the program is to end."""
        return self._asked.is_set()

    async def wait(self, *works: asyncio.Task) -> None:
        """Until the end is asked for; raises what a work ended by, if one ends before: none of them may."""
        ended = asyncio.get_running_loop().create_task(self._asked.wait())
        done, _ = await asyncio.wait([ended, *works], return_when=asyncio.FIRST_COMPLETED)
        if ended not in done:
            ended.cancel()
            for work in done:
                work.result()


# Seconds from a start until the port for figures is opened: a start, for which a loss of all machines waits, does only
# what serving needs.
FIGURES_AFTER = 3.0
METRICS = "--metrics="  # the one argument of a program: the port on which it tells its own figures


def metrics_port(arguments: Sequence[str]) -> int | None:
    """The port that a program's arguments name for its figures, None without one; SettingsError if they are wrong."""
    if not arguments:
        return None
    (first, *more), number = arguments, arguments[0].removeprefix(METRICS)
    if more or not first.startswith(METRICS):
        raise SettingsError(" ".join(arguments), f"no argument is known but {METRICS}PORT")
    if not (number.isascii() and number.isdigit() and 0 < int(number) < 65536):
        raise SettingsError(METRICS.removesuffix("="), f"a port is a number from 1 to 65535, not {number!r}")
    return int(number)


def live(name: str, make: Callable[[Settings], Program], *unusable: type[Exception]) -> int:
    """Read the settings, make the program, run it: the exit code. `unusable`: what else `make` may find, told in one
    line."""
    logs.start()

    async def whole() -> int:
        try:
            settings = replace(settings_file.load(), metrics_port=metrics_port(sys.argv[1:]))
            if unknown := settings_file.unknown_contracts(settings):
                logs.log_warning("contracts not known", names=unknown)
            program = make(settings)
        except (SettingsError, *unusable) as error:
            print(f"{name}: {error}", file=sys.stderr)
            return UNUSABLE
        await program.run()
        return ENDED

    try:
        return asyncio.run(whole())
    except Exception:
        logs.log_exception("ended by an error")
        return FAILED
