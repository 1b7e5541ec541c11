"""python -m knotwalk.control_plane: the program of one core machine. Runs until SIGTERM; configured by the platform's
settings file."""

from __future__ import annotations

import signal
import time

if __name__ == "__main__":  # SIGHUP (the settings file changed) must not end a starting process; handled once it runs
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
# Read before the imports, which take a third of a second: no earlier incarnation of this machine acted after it.
PROCESS_STARTED_AT = time.monotonic()

import asyncio
import os
import sys
from zlib import crc32

from knotwalk.configuration.documents import to_document
from knotwalk.consensus.raft_types import RaftSettings
from knotwalk.consensus.store import Store, StoreError
from knotwalk.control_plane.admissions import Admissions
from knotwalk.control_plane.allowances import Allowances
from knotwalk.control_plane.claim_group import KEYS_CONTRACT, GroupContext, configuration_disk_mb
from knotwalk.control_plane.claim_groups import ClaimGroups
from knotwalk.control_plane.consensus_driver import ConsensusDriver, open_store
from knotwalk.control_plane.control import Control
from knotwalk.control_plane.list_poller import ListPoller
from knotwalk.control_plane.peer_api import PeerApi
from knotwalk.control_plane.slice_manager import SliceManager
from knotwalk.discovery.loads import LoadReports
from knotwalk.discovery.view_publisher import ViewPublisher
from knotwalk.leases.actions import GrantTiming
from knotwalk.runtime import logs
from knotwalk.runtime.decision_guard import DecisionGuard
from knotwalk.runtime.http_client import HttpClient
from knotwalk.runtime.http_server import Listener
from knotwalk.runtime.lifecycle import METRICS_DELAY_S, ProcessSignals, run_program
from knotwalk.runtime.logs import log_info
from knotwalk.runtime.loop_delay import LoopDelay
from knotwalk.runtime.settings import Settings
from knotwalk.shared_state.answers import MEMORY_FRACTION, Answers

MIN_LEAVE_S = 1.0  # from SIGTERM to the end, at least: calls in progress are answered, leadership is handed over
LEAVE_RESERVE_S = 1.5  # kept free before the platform's SIGKILL, for closing the listeners
MEMBERS_POLL_INTERVAL_S = 0.5  # between checks of the group's members
LEAVE_POLL_INTERVAL_S = 0.05  # between checks whether the other members have removed this machine


class ControlPlane:
    """The components of a core machine, wired together."""

    def __init__(self, settings: Settings):
        self.settings = settings
        settings.listen_address("control")  # raises if it is not configured, before anything is started
        port = settings.ports[0]
        own = f"{settings.ip_address}:{port}"
        founders = {f"{ip}:{port}#founder": f"{ip}:{port}" for ip, _ in settings.seeds}
        self.store = Store(configuration_disk_mb(settings))
        saved = open_store(self.store, settings.data_dir, settings.initial_boot, own, founders)
        self.me = saved.me
        self.http_client = HttpClient()
        seed = crc32(f"{settings.node_name}{os.getpid()}{os.urandom(4).hex()}".encode())
        self.consensus = ConsensusDriver(
            self.store,
            saved,
            self.http_client,
            RaftSettings(target_members=settings.tolerance.members),
            seed,
            PROCESS_STARTED_AT,
        )
        self.consensus.machine.address = own
        self.consensus.machine.contacts = [address for address in founders.values() if address != own]
        self.claims: ClaimGroups | None = None
        if KEYS_CONTRACT in settings.contracts:
            self.claims = ClaimGroups(
                GroupContext(settings, own, founders, self.http_client, seed, PROCESS_STARTED_AT, Store)
            )
            self.claims.on_damage = lambda: os._exit(1)
        self.view_publisher = ViewPublisher(os.urandom(6).hex())
        self.loads = LoadReports()
        self.guard = DecisionGuard()
        self.list_poller = ListPoller(
            settings, self.consensus, self.view_publisher, self.http_client, self.me, self.guard
        )
        self.node_caller = HttpClient(reset_on_close=True, with_call_ids=False)  # nodes don't repeat our call ids
        self.conductor = SliceManager(
            self.me,
            self.consensus,
            self.view_publisher,
            self.loads,
            self.node_caller,
            GrantTiming.for_max_hold(settings.bounds.max_hold),
            seed,
            self.propose,
            settings.zone,
            self.guard,
        )
        self.conductor.on_failure = lambda: os._exit(1)
        self.allowances = Allowances(self.me, settings, self.consensus, self.list_poller, self.http_client, self.guard)
        self.peer_api = PeerApi(
            self.me,
            self.consensus,
            self.list_poller,
            self.conductor,
            self.view_publisher,
            self.loads,
            self.http_client,
            self.claims,
            self.guard,
        )
        memory = int(settings.machine.memory_mb * 1024 * 1024 * MEMORY_FRACTION)
        self.admissions = Admissions(
            own, self.allowances, self.claims, Answers(memory, settings.bounds.key_period), self.http_client, logs.clock
        )
        self.peer_api.on_incarnation = self.admissions.note_incarnation
        self.peer_api.extra_handlers |= {
            "/admissions": self.admissions.handle_admissions,
            "/answers": self.admissions.handle_answers,
        }
        self.peer_api.extra_handlers["/allowances"] = self.allowances.handle_request
        self.control = Control(self.consensus, settings.listen_address("control")[1])
        self.consensus.on_configuration = self.on_configuration
        self.consensus.on_change = self.on_slices_changed
        self.consensus.on_role = lambda role: self.on_leadership(role.role == "leader")
        self.consensus.on_restore = self.on_restored
        # Ends at once, without leaving the group: nothing more may be promised by this process. The disk itself may be
        # sound, which the next start finds out.
        self.consensus.on_damage = lambda: os._exit(1)
        self.list_poller.on_nodes = self.on_nodes_changed
        self.loop_delay = LoopDelay()
        self.ending = ProcessSignals(self.reload, settings.file_state)

    async def propose(self, command: dict) -> str | None:
        """Have a command of this core's conductor committed; see `PeerApi.propose`."""
        return await self.peer_api.propose(command)

    def on_leadership(self, leads: bool) -> None:
        """This machine became the leader, or ceased to be it."""
        self.list_poller.on_leadership(leads)
        self.allowances.on_leadership(leads)

    # --- changes of the replicated state and of the platform's list --------------------------------

    def on_configuration(self) -> None:
        """Another configuration came into force: send it to the edges."""
        state = self.consensus.state
        document, is_set = to_document(state.configuration), False
        with self.guard.protect("configuration difference", items=len(document["objects"])):
            self.view_publisher.set_config(state.configuration_index, document)
            is_set = True
        if not is_set:
            self.view_publisher.set_whole_config(state.configuration_index, document)
        self.admissions.on_configuration(state.configuration)
        if self.claims is not None:
            self.claims.on_configuration(state.configuration)
        self.peer_api.wake_edges()

    def on_slices_changed(self, index: int, changes: list) -> None:
        """An entry changed the owners of slices: notify the edges, and have the conductor read the ledger."""
        by_service: dict[str, dict[int, tuple[str, bool]]] = {}
        for change in changes:
            by_service.setdefault(change.service, {})[change.slice] = (change.owner, change.open)
        for service, lines in by_service.items():
            self.view_publisher.set_assignments(index, service, lines)
        if changes:
            self.peer_api.wake_edges()
        self.conductor.on_ledger_change()

    def on_restored(self) -> None:
        """The replicated state was replaced as a whole, or loaded at the start."""
        state = self.consensus.state
        if state.configuration is not None:
            self.on_configuration()
        for service, slices in state.ledger.slices.items():
            self.view_publisher.set_assignments(
                state.applied, service, {k: (s.owner, s.open) for k, s in enumerate(slices)}
            )
        self.peer_api.wake_edges()
        self.conductor.on_ledger_change(replaced=True)

    def on_nodes_changed(self) -> None:
        """The platform's list of nodes changed: notify the conductor and the edges."""
        self.conductor.on_nodes_changed()
        self.peer_api.wake_edges()

    # --- start and end --------------------------------------------------------------------------------

    async def run(self) -> None:
        """Serve until asked to end, then leave the group and close."""
        self.ending.install()
        peer_api, control = Listener(self.peer_api.app()), Listener(self.control.app())
        await peer_api.start(self.settings.ip_address, self.settings.ports[0])
        await control.start(*self.settings.listen_address("control"))
        self.on_restored()
        self.consensus.start()
        if self.claims is not None:
            self.claims.start()
        tasks = [
            asyncio.get_running_loop().create_task(work)
            for work in (
                self.list_poller.maintain_leases(),
                self.list_poller.poll(),
                self.peer_api.maintain_lease(),
                self.peer_api.share_loads(),
                self.conductor.run_placement(),
                self.watch_members(),
                self.serve_metrics(),
                self.allowances.run_refills(),
            )
        ]
        log_info(
            "started", me=self.me, members=list(self.consensus.machine.members), applied=self.consensus.state.applied
        )
        await self.ending.wait_for_stop(*tasks)
        log_info("leaving")
        await self.peer_api.leave()
        self.consensus.machine.leave(logs.clock())
        self.consensus.perform_actions()
        if self.claims is not None:
            self.claims.leave(logs.clock())
        await self.wait_for_release()
        for task in tasks:
            task.cancel()
        await control.close()
        await peer_api.close()
        await self.consensus.close()
        if self.claims is not None:
            await self.claims.close()
        await self.http_client.close()
        await self.node_caller.close()

    async def wait_for_release(self) -> None:
        """Wait until the other members no longer need this machine, as long as the platform allows.

        A member that is to be removed counts towards the majority until its removal is committed: if it ended earlier
        and another member were lost, no majority would be left."""
        grace, begun = self.settings.bounds.grace_period, logs.clock()
        least, most = min(MIN_LEAVE_S, grace / 4), grace - LEAVE_RESERVE_S
        while (waited := logs.clock() - begun) < least or waited < most and not self.can_exit():
            await asyncio.sleep(LEAVE_POLL_INTERVAL_S)

    def can_exit(self) -> bool:
        """Whether no group counts on this machine any more."""
        return self.consensus.machine.can_exit and (self.claims is None or self.claims.can_exit)

    async def watch_members(self) -> None:
        """Keep the edges' list of cores up to date as members change."""
        while True:
            self.view_publisher.set_cores(sorted(self.consensus.machine.members.values()))
            due = logs.clock() + MEMBERS_POLL_INTERVAL_S
            await asyncio.sleep(MEMBERS_POLL_INTERVAL_S)
            self.loop_delay.note(logs.clock() - due)

    async def serve_metrics(self) -> None:
        """Serve this core's metrics until cancelled, if a port is configured."""
        if self.settings.metrics_port is not None:
            await asyncio.sleep(METRICS_DELAY_S)
            from knotwalk.control_plane.metrics import collect_metrics
            from knotwalk.runtime import metrics

            await metrics.listen(
                self.settings.ip_address, self.settings.metrics_port, lambda: collect_metrics(logs.clock(), self)
            )
        await asyncio.Event().wait()  # the program ends when one of its tasks ends

    def reload(self, settings: Settings) -> None:
        """Apply a changed settings file: the seeds and the platform's address. Other changes need a restart."""
        self.settings = self.list_poller.settings = settings
        port, own = settings.ports[0], settings.ip_address
        contacts = self.consensus.machine.contacts = [f"{ip}:{port}" for ip, _ in settings.seeds if ip != own]
        if self.claims is not None:
            self.claims.set_contacts(contacts)


if __name__ == "__main__":
    code = run_program("control_plane", ControlPlane, StoreError)
    os._exit(code) if code == 0 else sys.exit(code)  # a thread that hangs on the disk must not delay the exit
