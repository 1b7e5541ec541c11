"""The real programs on the loop of a walk: what of them is put in place of clocks, sockets, files and chance."""

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
KEY_PERIOD, MARGIN = 4.0, 0.5  # seconds, of walks: so short that claims end within them
SAYS = ("log_info", "log_warning", "log_exception")
ROOMS = (
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


class ProgramExitedError(Exception):
    """A program ended itself at once."""


def _exit(code: int) -> None:
    PROCESS.get().kill()
    raise ProgramExitedError(code)


def _due(made: Any, each: int) -> bool:
    """Have the state put down whole after so many entries: walks are short, and restarts from snapshots many."""
    made.entries = getattr(made, "entries", 0) + 1
    return made.entries % each == 0


@contextlib.contextmanager
def in_place(wire: Wire, seed: int, log: Any, compact: int, trail: int, parts: int = 1) -> Iterator[None]:
    """The rooms of core and edge, with a world's clocks, wire, disks and chance. `say` hears their log. Operations have
    `parts`, each with a group of its own."""
    chance = random.Random(f"programs {seed}")

    def told(event: str, **fields: object) -> None:
        log(PROCESS.get(), event, fields)

    with contextlib.ExitStack() as stack:

        def put(room: Any, name: str, made: Any) -> None:
            stack.enter_context(mock.patch.object(room, name, made))

        for room in ROOMS:
            for name in ("clock", *SAYS):
                if hasattr(room, name):
                    put(room, name, clock if name == "clock" else told)
        put(logs, "clock", clock)
        put(program, "Store", lambda disk_mb: Store(PROCESS.get().disk, disk_mb))
        put(program, "HttpClient", lambda reset_on_close=False, with_call_ids=True: Caller(wire, reset_on_close))
        put(program, "Listener", lambda made: Listener(wire, made))
        put(program, "os", SimpleNamespace(urandom=chance.randbytes, getpid=lambda: 1, _exit=_exit))
        put(peer_api, "make_app", App)
        put(control, "make_app", App)
        put(lifecycle.ProcessSignals, "install", lambda ending: None)
        put(Compaction, "should_compact", lambda made, *worth: _due(made, compact))
        put(consensus_machine, "TRAILING_ENTRIES", trail)
        for room in (messages, claim_group, claim_groups):
            put(room, "PARTITION_COUNT", parts)
        put(claim_group, "HOLD_MARGIN_S", MARGIN)
        yield


def settings(
    host: str, seeds: list[str], first_start: bool, machines: int, keyed: bool = False, bounds: Bounds = Bounds()
) -> Settings:
    """A core's settings file."""
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
    """A core program, from its start to its end."""

    def __init__(self, loop: Any, name: str, host: str, disk: Disk, offset: float, rate: float):
        super().__init__(loop, name, host, offset, rate)
        self.disk = disk
        self.plane: program.ControlPlane = None  # type: ignore[assignment]
        self.ended = False

    def begin(self, given: Settings) -> None:
        """Start the program."""

        def make() -> None:
            program.PROCESS_STARTED_AT = self.clock()
            self.plane = program.ControlPlane(given)

        async def live() -> None:
            make()
            await self.plane.run()
            self.ended = True

        self.spawn(live())

    @property
    def machine(self) -> Any:
        """The consensus machine, None before it is made."""
        return self.plane.consensus.machine if self.plane else None

    def member(self, group: int | None) -> Any:
        """Its consensus machine of the configuration's group, or of one for claims."""
        return self.machine if group is None else self.plane.claims.groups[group].machine
