"""Drives a consensus machine, which is pure: its store on a thread of its own, and its messages to and from peers."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from typing import Any

from knotwalk.consensus.machine import Machine
from knotwalk.consensus.raft_types import Answer, Apply, RaftSettings, Restore, RoleChange, Save, Send
from knotwalk.consensus.store import Store, StoreDamagedError, StoreUnavailableError
from knotwalk.control_plane.agreed_state import AgreedState
from knotwalk.control_plane.compaction import Compaction
from knotwalk.control_plane.peer_lanes import PEER_CALL_TIMEOUT_S as PEER_CALL_TIMEOUT_S, PeerLanes
from knotwalk.control_plane.replicated_state import ReplicatedState
from knotwalk.runtime.http_client import HttpClient
from knotwalk.runtime.logs import clock, log_exception, log_info, log_warning

WRITE_TIMEOUT_S = 0.6  # leadership is given up when a write takes longer, so that another machine can serve


def open_store(
    store: Store,
    data_dir: str,
    first_start: bool,
    address: str,
    founders: dict[str, str],
    wait: Callable[[float], None] = time.sleep,
) -> Any:
    """Open a machine's store and return what it holds.

    A damaged file counts as a lost disk: it is set aside, and this machine is a new one from now on. A disk that
    refuses is retried until it works, since ending the program would only start it again."""
    pause, reported = 0.1, ""
    while True:
        try:
            try:
                return store.open(data_dir, first_start, address, founders)
            except StoreDamagedError as error:
                if str(error) != reported:
                    log_warning("log file damaged", why=str(error), done="put aside; this machine counts as a new one")
                reported = str(error)
                store.set_aside()
        except StoreUnavailableError as error:
            if str(error) != reported:
                log_warning("disk", why=str(error))
            reported = str(error)
            wait(pause)
            pause = min(1.0, 2 * pause)


class OutcomeUnknownError(Exception):
    """It is not known here whether the entry was committed: it may be in force or not."""


class NotLeaderError(Exception):
    """Another machine leads: `leader` is its peer address, or None if none is known."""

    def __init__(self, leader: str | None):
        super().__init__(leader)
        self.leader = leader


class ConsensusDriver:
    """One core machine's member of one group, whose replicated state is a `state_type`.

    Callbacks: `on_change` gets what each entry changed; `on_configuration` is called once after a run of entries of
    which any requires notification; `on_role` when the role or the leader changes; `on_restore` when the state was
    replaced; `on_persisted` after each write; `on_damage` when the log file is damaged, or an error leaves the group's
    state half-applied.

    Messages go to the path /consensus of peers, or through `send` if the group has its own way of sending."""

    def __init__(
        self,
        store: Store,
        saved: Any,
        http_client: HttpClient,
        settings: RaftSettings,
        seed: int,
        process_started_at: float,
        state_type: type[AgreedState] = ReplicatedState,
        send: Callable[[str, dict], None] | None = None,
        group: str = "configuration",
    ):
        self.store, self.state_type, self.group = store, state_type, group
        self.machine = Machine(saved, settings, seed, clock(), process_started_at)
        self.state: Any = state_type.from_dict(saved.snapshot) if saved.snapshot else state_type()
        self.pending: dict[int, asyncio.Future] = {}  # proposals and reads by ticket
        self.results: dict[int, Any] = {}  # by log index: the result of applying the entry, for those who wait
        self.next_ticket = 0
        self.writer = ThreadPoolExecutor(1, "consensus")
        self.saves: asyncio.Queue[Save] = asyncio.Queue()
        self.lanes = PeerLanes(http_client, "/consensus", "agreement", self.receive)
        self.outbox = self.lanes.outbox
        self.send = send or self.lanes.send
        self.tasks: set[asyncio.Task] = set()
        self.on_change: Callable[[int, Any], None] = lambda index, changes: None
        self.on_configuration: Callable[[], None] = lambda: None
        self.on_role: Callable[[RoleChange], None] = lambda role: None
        self.on_restore: Callable[[], None] = lambda: None
        self.on_damage: Callable[[], None] = lambda: None
        self.on_persisted: Callable[[], None] = lambda: None
        self.timer: asyncio.TimerHandle | None = None
        self.disk_failing = False
        self.compaction = Compaction(store.disk_mb, saved.me)
        self.notify_pending = False  # an entry that requires notification was applied, and not yet notified
        self.closing = False

    @property
    def http_client(self) -> HttpClient:
        """The client that carries messages to peers."""
        return self.lanes.http_client

    @http_client.setter
    def http_client(self, http_client: HttpClient) -> None:
        self.lanes.http_client = http_client

    def start(self) -> None:
        """Start the writer, and the machine's timer."""
        self._spawn(self._write())
        self.tick()

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # --- actions of the machine -------------------------------------------------------------------

    @contextmanager
    def _end_on_error(self) -> Iterator[None]:
        """End the process if the block raises: with entries half-applied it could break what it has promised."""
        try:
            yield
        except Exception:
            log_exception("consensus failed", group=self.group, applied=self.machine.applied)
            self.on_damage()
            raise

    def tick(self) -> None:
        """Advance the machine to the current time, then perform its actions."""
        with self._end_on_error():
            self.machine.tick(clock())
            self._perform_actions()

    def perform_actions(self) -> None:
        """Perform the actions that the machine has queued, and set the timer for its next tick."""
        with self._end_on_error():
            self._perform_actions()

    def _perform_actions(self) -> None:
        machine = self.machine
        while machine.actions:
            actions, machine.actions = machine.actions, []
            for action in actions:
                match action:
                    case Save():
                        self.saves.put_nowait(action)
                    case Send(address, message):
                        self.send(address, message)
                    case Apply(entry):
                        self._apply(entry)
                    case Answer(ticket, outcome, value):
                        if (future := self.pending.pop(ticket, None)) and not future.done():
                            future.set_result((outcome, value))
                    case Restore(state, _):
                        self.state, self.notify_pending = self.state_type.from_dict(state), False
                        self.on_restore()
                    case RoleChange():
                        log_info(
                            "role", group=self.group, role=action.role, term=action.term, leader=action.leader_address
                        )
                        self.on_role(action)
        if self.notify_pending:  # once for all entries that came together: a start replays hundreds
            self.notify_pending = False
            self.on_configuration()
        if self.timer is not None:
            self.timer.cancel()
        wait = max(0.0, min(1.0, machine.wake_at - clock()))
        self.timer = asyncio.get_running_loop().call_later(wait, self.tick) if not self.closing else None

    def _apply(self, entry: Any) -> None:
        result, changes = self.state.apply(entry.index, entry.body if entry.kind == "command" else {})
        self.results[entry.index] = result
        while len(self.results) > 2000:
            del self.results[next(iter(self.results))]
        self.notify_pending |= self.state.requires_notification(entry.body, result)
        self.on_change(entry.index, changes)
        replay_cost = self.state.replay_cost(entry.body)
        if self.compaction.should_compact(len(json.dumps(entry.body)), replay_cost):
            self.machine.compact(entry.index, self.state.to_dict())

    # --- the store -----------------------------------------------------------------------------------

    async def _write(self) -> None:
        """Write one save after the other. One that is refused is retried, since all later ones depend on it."""
        loop = asyncio.get_running_loop()
        while True:
            save = await self.saves.get()
            pause = 0.05
            while True:
                work = loop.run_in_executor(self.writer, self.store.write, save)
                try:
                    try:
                        async with asyncio.timeout(WRITE_TIMEOUT_S):
                            await asyncio.shield(work)
                    except TimeoutError:
                        self._on_write_failure("a write hangs")
                        await work
                    break
                except (
                    StoreDamagedError
                ) as error:  # the file must be read again, which the next start of the process does
                    log_warning(
                        "log file damaged", why=str(error), done="this process ends; the next one reads the whole file"
                    )
                    self._on_write_failure("the log file is damaged")
                    self.on_damage()
                    return
                except Exception:  # a disk may refuse in many ways; each is retried
                    log_exception("write refused", number=save.number)
                    self._on_write_failure("a write was refused")
                    await asyncio.sleep(pause)
                    pause = min(1.0, 2 * pause)
            if self.disk_failing:
                self.disk_failing = False
                log_info("disk writes succeed again")
            with self._end_on_error():
                self.machine.on_saved(clock(), save.number)
                self._perform_actions()
                self.on_persisted()

    def _on_write_failure(self, why: str) -> None:
        if not self.disk_failing:
            self.disk_failing = True
            log_warning("disk", group=self.group, why=why)
        self.machine.on_save_failed(clock())
        self.perform_actions()

    # --- peers ---------------------------------------------------------------------------------------

    def receive(self, messages: list[dict]) -> None:
        """Handle messages that a peer returned with its answer to a call."""
        now = clock()
        for message in messages:
            self.machine.receive(now, message)
        self.perform_actions()

    def exchange(self, messages: list[dict]) -> list[dict]:
        """Handle a peer's messages. Returns the replies that are ready at once, which saves a call for them."""
        now = clock()
        for message in messages:
            self.machine.receive(now, message)
        replies, rest = [], []
        origin = messages[0].get("at", "") if messages else ""
        for action in self.machine.actions:
            if isinstance(action, Send) and action.to_address == origin:
                replies.append(action.message)
            else:
                rest.append(action)
        self.machine.actions = rest
        self.perform_actions()
        return replies

    # --- proposals and reads -------------------------------------------------------------------------

    async def _submit(self, submit: Callable[[float, int], None], timeout_s: float | None) -> tuple[str, Any]:
        self.next_ticket += 1
        ticket = self.next_ticket
        future = self.pending[ticket] = asyncio.get_running_loop().create_future()
        submit(clock(), ticket)
        self.perform_actions()
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return "lost", None
        finally:
            self.pending.pop(ticket, None)

    async def propose(self, command: dict, timeout_s: float | None = 4.0) -> Any:
        """Have a command committed and return the result of applying it. NotLeaderError if another machine leads,
        OutcomeUnknownError if it may or may not have been committed."""
        outcome, value = await self._submit(lambda now, ticket: self.machine.propose(now, command, ticket), timeout_s)
        if outcome == "not_leader":
            raise NotLeaderError(value)
        if outcome != "committed":
            raise OutcomeUnknownError
        if value not in self.results:  # committed, but the result of applying it is not known here
            raise OutcomeUnknownError
        return self.results[value]

    async def current(self, timeout_s: float = 1.0) -> None:
        """Return once the replicated state here includes everything that was committed before the call.

        NotLeaderError or OutcomeUnknownError otherwise.
        """
        outcome, value = await self._submit(self.machine.read, timeout_s)
        if outcome == "not_leader":
            raise NotLeaderError(value)
        if outcome != "readable":
            raise OutcomeUnknownError

    async def close(self) -> None:
        """Stop all tasks; a write in progress is not awaited."""
        self.closing = True
        if self.timer is not None:
            self.timer.cancel()
        self.lanes.close()
        for task in list(self.tasks):
            task.cancel()
        self.writer.shutdown(wait=False)
