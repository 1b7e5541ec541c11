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

EXIT_OK, FAILED, UNUSABLE = 0, 1, 2
# Seconds between looks at the settings file, which may change without a signal: seeds that changed last for minutes.
SETTINGS_POLL_INTERVAL_S = 2.0


class Program(Protocol):
    """What lives: `run` returns once it has ended in order, `reload` takes up a changed settings file."""

    async def run(self) -> None:
        """Live until the end is asked for."""

    def reload(self, fresh: Settings) -> None:
        """Take up settings that changed."""


class ProcessSignals:
    """Asked for by SIGTERM or SIGINT. SIGHUP, or another file in place of the settings' one, has `reload` take it
    up."""

    def __init__(self, reload: Callable[[Settings], None], read: settings_file.FileState | None):
        """`read`: the state of the settings file that the program goes by."""
        self._stop_event, self._reload = asyncio.Event(), reload
        self._file_state = read

    def install(self) -> None:
        """Take the signals and look at the file, which may have changed since it was read; in the running loop."""
        loop = asyncio.get_running_loop()
        for sign in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(sign, self._stop_event.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload_settings)
        loop.call_soon(self._poll_settings)

    def _poll_settings(self) -> None:
        if settings_file.file_state() not in (self._file_state, None):
            self.reload_settings()
        asyncio.get_running_loop().call_later(SETTINGS_POLL_INTERVAL_S, self._poll_settings)

    def reload_settings(self) -> None:
        """Read the settings file anew; one that can't be used changes nothing, and is told of once."""
        self._file_state = settings_file.file_state()
        try:
            fresh = settings_file.load_settings()
        except SettingsError as error:
            logs.log_warning("settings not taken up", why=str(error))
            return
        self._reload(fresh)
        logs.log_info("settings taken up")

    @property
    def stop_requested(self) -> bool:
        """Whether the program is to end."""
        return self._stop_event.is_set()

    async def wait_for_stop(self, *works: asyncio.Task) -> None:
        """Until the end is asked for; raises what a work ended by, if one ends before: none of them may."""
        ended = asyncio.get_running_loop().create_task(self._stop_event.wait())
        done, _ = await asyncio.wait([ended, *works], return_when=asyncio.FIRST_COMPLETED)
        if ended not in done:
            ended.cancel()
            for work in done:
                work.result()


# Seconds from a start until the port for figures is opened: a start, for which a loss of all machines waits, does only
# what serving needs.
METRICS_DELAY_S = 3.0
METRICS_FLAG = "--metrics="  # the one argument of a program: the port on which it tells its own figures


def metrics_port(arguments: Sequence[str]) -> int | None:
    """The port that a program's arguments name for its figures, None without one; SettingsError if they are wrong."""
    if not arguments:
        return None
    (first, *more), number = arguments, arguments[0].removeprefix(METRICS_FLAG)
    if more or not first.startswith(METRICS_FLAG):
        raise SettingsError(" ".join(arguments), f"no argument is known but {METRICS_FLAG}PORT")
    if not (number.isascii() and number.isdigit() and 0 < int(number) < 65536):
        raise SettingsError(METRICS_FLAG.removesuffix("="), f"a port is a number from 1 to 65535, not {number!r}")
    return int(number)


def run_program(name: str, make: Callable[[Settings], Program], *unusable: type[Exception]) -> int:
    """Read the settings, make the program, run it: the exit code. `unusable`: what else `make` may find, told in one
    line."""
    logs.configure_logging()

    async def whole() -> int:
        try:
            settings = replace(settings_file.load_settings(), metrics_port=metrics_port(sys.argv[1:]))
            if unknown := settings_file.unknown_contracts(settings):
                logs.log_warning("contracts not known", names=unknown)
            program = make(settings)
        except (SettingsError, *unusable) as error:
            print(f"{name}: {error}", file=sys.stderr)
            return UNUSABLE
        await program.run()
        return EXIT_OK

    try:
        return asyncio.run(whole())
    except Exception:
        logs.log_exception("ended by an error")
        return FAILED
