"""The life cycle of a program, from its settings file to SIGTERM and the exit code. All programs share it.

Exit codes: 0 for an orderly end; 1 for an unexpected error, which is logged; 2 if the settings or the data on the disk
cannot be used, with one line on standard error that names the place and the mistake.
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

EXIT_OK, EXIT_FAILED, EXIT_UNUSABLE = 0, 1, 2
# How often the settings file is checked for a change, since it may change without a signal. A changed list of seeds is
# valid for minutes.
SETTINGS_POLL_INTERVAL_S = 2.0


class Program(Protocol):
    """A program: `run` returns after an orderly end, `reload` applies a changed settings file."""

    async def run(self) -> None:
        """Run until a stop is requested."""

    def reload(self, settings: Settings) -> None:
        """Apply changed settings."""


class ProcessSignals:
    """Signal handling of a program.

    SIGTERM and SIGINT request a stop. SIGHUP, or a settings file that was changed or replaced, calls `reload`."""

    def __init__(self, reload: Callable[[Settings], None], file_state: settings_file.FileState | None):
        """`file_state`: the state of the settings file from which the program was started."""
        self._stop_event, self._reload = asyncio.Event(), reload
        self._file_state = file_state

    def install(self) -> None:
        """Install the signal handlers in the running loop and check at once whether the settings file has changed."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stop_event.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload_settings)
        loop.call_soon(self._poll_settings)

    def _poll_settings(self) -> None:
        if settings_file.file_state() not in (self._file_state, None):
            self.reload_settings()
        asyncio.get_running_loop().call_later(SETTINGS_POLL_INTERVAL_S, self._poll_settings)

    def reload_settings(self) -> None:
        """Read the settings file again; one that cannot be used changes nothing and is logged once."""
        self._file_state = settings_file.file_state()
        try:
            settings = settings_file.load_settings()
        except SettingsError as error:
            logs.log_warning("settings not reloaded", why=str(error))
            return
        self._reload(settings)
        logs.log_info("settings reloaded")

    @property
    def stop_requested(self) -> bool:
        """Whether the program has been asked to end."""
        return self._stop_event.is_set()

    async def wait_for_stop(self, *tasks: asyncio.Task) -> None:
        """Wait until a stop is requested; raises the error of a task that ends first, which none of them may."""
        stopped = asyncio.get_running_loop().create_task(self._stop_event.wait())
        done, _ = await asyncio.wait([stopped, *tasks], return_when=asyncio.FIRST_COMPLETED)
        if stopped not in done:
            stopped.cancel()
            for task in done:
                task.result()


# How long after the start the metrics port is opened. Recovery after the loss of all machines waits for the start, so
# the start includes only what serving needs.
METRICS_DELAY_S = 3.0
METRICS_FLAG = "--metrics="  # the only argument of a program: the port of its metrics endpoint


def metrics_port(arguments: Sequence[str]) -> int | None:
    """The metrics port that a program's arguments name, None without one; SettingsError if they are invalid."""
    if not arguments:
        return None
    (first, *more), number = arguments, arguments[0].removeprefix(METRICS_FLAG)
    if more or not first.startswith(METRICS_FLAG):
        raise SettingsError(" ".join(arguments), f"unknown argument; only {METRICS_FLAG}PORT is supported")
    if not (number.isascii() and number.isdigit() and 0 < int(number) < 65536):
        raise SettingsError(METRICS_FLAG.removesuffix("="), f"must be a port from 1 to 65535, not {number!r}")
    return int(number)


def run_program(name: str, make: Callable[[Settings], Program], *unusable: type[Exception]) -> int:
    """Read the settings, make the program and run it; returns the exit code.

    `unusable` are further exceptions of `make` that are reported in one line with exit code 2."""
    logs.configure_logging()

    async def start() -> int:
        try:
            settings = replace(settings_file.load_settings(), metrics_port=metrics_port(sys.argv[1:]))
            if unknown := settings_file.unknown_contracts(settings):
                logs.log_warning("unknown contracts", names=unknown)
            program = make(settings)
        except (SettingsError, *unusable) as error:
            print(f"{name}: {error}", file=sys.stderr)
            return EXIT_UNUSABLE
        await program.run()
        return EXIT_OK

    try:
        return asyncio.run(start())
    except Exception:
        logs.log_exception("program failed")
        return EXIT_FAILED
