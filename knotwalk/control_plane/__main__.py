"""python -m knotwalk.control_plane: one core machine's program, until SIGTERM. The platform's settings file says the
rest."""

from __future__ import annotations

import signal
import time

if __name__ == "__main__":  # a change of the settings file must not end a start: it is looked for once the loop runs
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
BORN = time.monotonic()  # before the imports, which take a third of a second: no life before this one acts after it

import asyncio
import os
import sys
from zlib import crc32

from knotwalk.configuration.read import document
from knotwalk.consensus.raft_types import RaftSettings
from knotwalk.consensus.store import Store, StoreError
from knotwalk.control_plane.admissions import Admissions
from knotwalk.control_plane.allowances import Allowances
from knotwalk.control_plane.claim_group import CONTRACT, Home, configuration_disk_mb
from knotwalk.control_plane.claim_groups import ClaimGroups
from knotwalk.control_plane.consensus_driver import ConsensusDriver, opened
from knotwalk.control_plane.control import Control
from knotwalk.control_plane.list_poller import ListPoller
from knotwalk.control_plane.peer_api import PeerApi
from knotwalk.control_plane.slice_manager import SliceManager
from knotwalk.discovery.board import Board
from knotwalk.discovery.loads import Loads
from knotwalk.leases.actions import GrantTiming
from knotwalk.runtime import logs
from knotwalk.runtime.call import Caller
from knotwalk.runtime.life import FIGURES_AFTER, Ending, live
from knotwalk.runtime.logs import log_info
from knotwalk.runtime.loop_delay import LoopDelay
from knotwalk.runtime.serve import Listener
from knotwalk.runtime.settings import Settings
from knotwalk.shared_state.answers import MEMORY_PART, Answers

LEAVE_LEAST = 1.0  # seconds from SIGTERM to the end: calls under way are answered, leadership is handed over
LEAVE_SPARE = 1.5  # seconds before the platform's SIGKILL in which the listeners are closed
MEMBERS_LOOK = 0.5  # seconds between looks at who the members are
LEAVE_LOOK = 0.05  # seconds between looks at whether the others have let this machine go


class ControlPlane:
    """The rooms of a core machine, wired together."""

    def __init__(self, settings: Settings):
        self.settings = settings
        settings.at("control")  # said before anything is begun
        port = settings.ports[0]
        own = f"{settings.ip_address}:{port}"
        founders = {f"{ip}:{port}#founder": f"{ip}:{port}" for ip, _ in settings.seeds}
        self.store = Store(configuration_disk_mb(settings))
        saved = opened(self.store, settings.data_dir, settings.initial_boot, own, founders)
        self.me = saved.me
        self.caller = Caller()
        seed = crc32(f"{settings.node_name}{os.getpid()}{os.urandom(4).hex()}".encode())
        self.consensus = ConsensusDriver(
            self.store, saved, self.caller, RaftSettings(target_members=settings.tolerance.members), seed, BORN
        )
        self.consensus.machine.address = own
        self.consensus.machine.contacts = [at for at in founders.values() if at != own]
        self.claims: ClaimGroups | None = None
        if CONTRACT in settings.contracts:
            self.claims = ClaimGroups(Home(settings, own, founders, self.caller, seed, BORN, Store))
            self.claims.on_damage = lambda: os._exit(1)
        self.board = Board(os.urandom(6).hex())
        self.loads = Loads()
        self.list_poller = ListPoller(settings, self.consensus, self.board, self.caller, self.me)
        self.granter = Caller(resets=True, named=False)  # nodes repeat no id of ours
        self.conductor = SliceManager(
            self.me,
            self.consensus,
            self.board,
            self.loads,
            self.granter,
            GrantTiming.for_max_hold(settings.bounds.max_hold),
            seed,
            self.propose,
            settings.zone,
        )
        self.allowances = Allowances(self.me, settings, self.consensus, self.list_poller, self.caller)
        self.peer_api = PeerApi(
            self.me, self.consensus, self.list_poller, self.conductor, self.board, self.loads, self.caller, self.claims
        )
        memory = int(settings.machine.memory_mb * 1024 * 1024 * MEMORY_PART)
        self.admissions = Admissions(
            own, self.allowances, self.claims, Answers(memory, settings.bounds.key_period), self.caller, logs.clock
        )
        self.peer_api.on_life = self.admissions.heard
        self.peer_api.parts |= {"/admissions": self.admissions.admissions, "/answers": self.admissions.kept}
        self.peer_api.parts["/allowances"] = self.allowances.asked
        self.control = Control(self.consensus, settings.at("control")[1])
        self.consensus.on_config = self.configured
        self.consensus.on_change = self.lines_changed
        self.consensus.on_role = lambda role: self.leads(role.role == "leader")
        self.consensus.on_restore = self.restored
        self.consensus.on_damage = lambda: os._exit(1)  # nothing more is promised, no leave: the disk may be whole
        self.list_poller.on_nodes = self.listed
        self.delay = LoopDelay()
        self.ending = Ending(self.reload, settings.mark)

    async def propose(self, command: dict) -> str | None:
        """Have a command of this core's conductor agreed on; see `PeerApi.propose`."""
        return await self.peer_api.propose(command)

    def leads(self, leads: bool) -> None:
        """This machine leads from now on, or does no more."""
        self.list_poller.role(leads)
        self.allowances.role(leads)

    # --- what the agreed log and the list bring -----------------------------------------------------

    def configured(self) -> None:
        """The configuration in force is another: edges are told."""
        state = self.consensus.state
        self.board.set_config(state.order, document(state.configuration))
        self.admissions.configured(state.configuration)
        if self.claims is not None:
            self.claims.configured(state.configuration)
        self.peer_api.changed()

    def lines_changed(self, index: int, changes: list) -> None:
        """An entry changed owner lines: edges are told, and the keeper looks at the ledger."""
        by_service: dict[str, dict[int, tuple[str, bool]]] = {}
        for change in changes:
            by_service.setdefault(change.service, {})[change.slice] = (change.owner, change.open)
        for service, lines in by_service.items():
            self.board.set_lines(index, service, lines)
        if changes:
            self.peer_api.changed()
        self.conductor.look()

    def restored(self) -> None:
        """A whole state stands where there was another or none."""
        state = self.consensus.state
        if state.configuration is not None:
            self.configured()
        for service, slices in state.ledger.slices.items():
            self.board.set_lines(state.applied, service, {k: (s.owner, s.open) for k, s in enumerate(slices)})
        self.peer_api.changed()
        self.conductor.look(whole=True)

    def listed(self) -> None:
        """The platform's list is another: keeper and edges are told."""
        self.conductor.listed()
        self.peer_api.changed()

    # --- life -----------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Serve until the end is asked for, then leave in order."""
        self.ending.listen()
        peer_api, control = Listener(self.peer_api.app()), Listener(self.control.app())
        await peer_api.start(self.settings.ip_address, self.settings.ports[0])
        await control.start(*self.settings.at("control"))
        self.restored()
        self.consensus.start()
        if self.claims is not None:
            self.claims.start()
        works = [
            asyncio.get_running_loop().create_task(work)
            for work in (
                self.list_poller.keep_leases(),
                self.list_poller.poll(),
                self.peer_api.keep_lease(),
                self.peer_api.share_loads(),
                self.conductor.place(),
                self.watch_members(),
                self.tell_figures(),
                self.allowances.keep_asking(),
            )
        ]
        log_info(
            "started", me=self.me, members=list(self.consensus.machine.members), applied=self.consensus.state.applied
        )
        await self.ending.wait(*works)
        log_info("leaving")
        await self.peer_api.leave()
        self.consensus.machine.leave(logs.clock())
        self.consensus.carry_out()
        if self.claims is not None:
            self.claims.leave(logs.clock())
        await self.let_go()
        for work in works:
            work.cancel()
        await control.close()
        await peer_api.close()
        await self.consensus.close()
        if self.claims is not None:
            await self.claims.close()
        await self.caller.close()
        await self.granter.close()

    async def let_go(self) -> None:
        """Wait until the others can do without this machine, as long as the platform allows. While it is one too many,
        it is counted on until its removal is committed: gone before, with another lost, it would leave no majority."""
        grace, begun = self.settings.bounds.grace_period, logs.clock()
        least, most = min(LEAVE_LEAST, grace / 4), grace - LEAVE_SPARE
        while (waited := logs.clock() - begun) < least or waited < most and not self.may_end():
            await asyncio.sleep(LEAVE_LOOK)

    def may_end(self) -> bool:
        """Whether no group counts on this machine any more."""
        return self.consensus.machine.can_exit and (self.claims is None or self.claims.may_end)

    async def watch_members(self) -> None:
        """Tell the edges which cores there are, as members change."""
        while True:
            self.board.set_cores(sorted(self.consensus.machine.members.values()))
            due = logs.clock() + MEMBERS_LOOK
            await asyncio.sleep(MEMBERS_LOOK)
            self.delay.note(logs.clock() - due)

    async def tell_figures(self) -> None:
        """Tell this core's figures at a port, if it is given one, until cancelled."""
        if self.settings.metrics_port is not None:
            await asyncio.sleep(FIGURES_AFTER)
            from knotwalk.control_plane.figures import figures
            from knotwalk.runtime import metrics

            await metrics.listen(
                self.settings.ip_address, self.settings.metrics_port, lambda: figures(logs.clock(), self)
            )
        await asyncio.Event().wait()  # a work that ended would end the program

    def reload(self, fresh: Settings) -> None:
        """The settings file changed: seeds and the platform's address are taken up; the rest wants a start."""
        self.settings = self.list_poller.settings = fresh
        port, own = fresh.ports[0], fresh.ip_address
        contacts = self.consensus.machine.contacts = [f"{ip}:{port}" for ip, _ in fresh.seeds if ip != own]
        if self.claims is not None:
            self.claims.reach(contacts)


if __name__ == "__main__":
    code = live("control_plane", ControlPlane, StoreError)
    os._exit(code) if code == 0 else sys.exit(code)  # a thread that hangs on a disk must not hold the end up
