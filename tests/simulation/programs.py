"""Runs the real programs in a simulated system: replaces their clocks, sockets, files and random numbers."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Iterator
from dataclasses import replace
from types import SimpleNamespace
from typing import Any
from unittest import mock

from knotwalk.consensus import machine as consensus_machine
from knotwalk.control_plane import (
    __main__ as program,
    allowances,
    claim_group,
    claim_groups,
    consensus_driver,
    control,
    list_poller,
    peer_api,
    slice_manager,
)
from knotwalk.control_plane.compaction import Compaction
from knotwalk.edge import view_poller
from knotwalk.runtime import lifecycle, logs
from knotwalk.runtime.settings import Bounds, Machine, Platform, Settings, Tolerance
from knotwalk.shared_state import messages
from tests.simulation.disk import Disk, Store
from tests.simulation.loop import PROCESS, Process, clock
from tests.simulation.wire import App, Caller, Listener, Wire

PEERS, CONTROL = 7660, 8080  # ports of a core
PLATFORM = ("10.9.0.1", 80)
KEY_PERIOD, MARGIN = 4.0, 0.5  # seconds: so short that claims expire within a walk
LOG_FUNCTIONS = ("log_info", "log_warning", "log_exception")
MODULES = (
    program,
    allowances,
    claim_group,
    claim_groups,
    consensus_driver,
    control,
    list_poller,
    peer_api,
    slice_manager,
    view_poller,
)


class ExitedError(Exception):
    """A program has called `os._exit`."""


def _exit(code: int) -> None:
    PROCESS.get().kill()
    raise ExitedError(code)


def _should_compact(compaction: Any, interval: int) -> bool:
    """Take a snapshot after every so many entries, so that many restarts in a short walk begin from one."""
    compaction.entries = getattr(compaction, "entries", 0) + 1
    return compaction.entries % interval == 0


@contextlib.contextmanager
def in_place(wire: Wire, seed: int, log: Any, compact: int, trail: int, parts: int = 1) -> Iterator[None]:
    """Patch the modules of core and edge to use the simulated clocks, network, disks and random numbers.

    `log` gets their log lines. Operations have `parts` partitions, each with a consensus group of its own.
    """
    chance = random.Random(f"programs {seed}")

    def log_line(event: str, **fields: object) -> None:
        log(PROCESS.get(), event, fields)

    with contextlib.ExitStack() as stack:

        def patch(module: Any, name: str, replacement: Any) -> None:
            stack.enter_context(mock.patch.object(module, name, replacement))

        for module in MODULES:
            for name in ("clock", *LOG_FUNCTIONS):
                if hasattr(module, name):
                    patch(module, name, clock if name == "clock" else log_line)
        patch(logs, "clock", clock)
        patch(program, "Store", lambda disk_mb: Store(PROCESS.get().disk, disk_mb))
        patch(program, "HttpClient", lambda reset_on_close=False, with_call_ids=True: Caller(wire, reset_on_close))
        patch(program, "Listener", lambda app: Listener(wire, app))
        patch(program, "os", SimpleNamespace(urandom=chance.randbytes, getpid=lambda: 1, _exit=_exit))
        patch(peer_api, "make_app", App)
        patch(control, "make_app", App)
        patch(lifecycle.ProcessSignals, "install", lambda ending: None)
        patch(Compaction, "should_compact", lambda compaction, *sizes: _should_compact(compaction, compact))
        patch(consensus_machine, "TRAILING_ENTRIES", trail)
        for module in (messages, claim_group, claim_groups):
            patch(module, "PARTITION_COUNT", parts)
        patch(claim_group, "HOLD_MARGIN_S", MARGIN)
        yield


def settings(
    host: str, seeds: list[str], first_start: bool, machines: int, keyed: bool = False, bounds: Bounds = Bounds()
) -> Settings:
    """A core's settings."""
    return Settings(
        node_name=host,
        ip_address=host,
        zone="z",
        listen={"control": (host, CONTROL)},
        ports=(PEERS, PEERS + 15),
        seeds=[(seed, PEERS) for seed in seeds],
        initial_boot=first_start,
        data_dir=host,
        machine=Machine(disk_mb=64),
        tolerance=Tolerance(machines=machines),
        platform=Platform(address=PLATFORM),
        contracts=["keys"] if keyed else [],
        bounds=replace(bounds, key_period=KEY_PERIOD),
    )


class CoreProcess(Process):
    """A core's process."""

    def __init__(self, loop: Any, name: str, host: str, disk: Disk, offset: float, rate: float):
        super().__init__(loop, name, host, offset, rate)
        self.disk = disk
        self.plane: program.ControlPlane = None  # type: ignore[assignment]
        self.ended = False

    def begin(self, settings: Settings) -> None:
        """Start the program."""

        def make() -> None:
            program.PROCESS_STARTED_AT = self.clock()
            self.plane = program.ControlPlane(settings)

        async def live() -> None:
            make()
            await self.plane.run()
            self.ended = True

        self.spawn(live())

    @property
    def guard(self) -> Any:
        """The guard of its decisions, None before it is made."""
        return self.plane.guard if self.plane else None

    @property
    def machine(self) -> Any:
        """The consensus machine, None before it is made."""
        return self.plane.consensus.machine if self.plane else None

    def member(self, group: int | None) -> Any:
        """Its consensus machine in the configuration's group (None) or in one for claims."""
        return self.machine if group is None else self.plane.claims.groups[group].machine
