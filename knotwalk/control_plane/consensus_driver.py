"""Drives the agreement: the pure machine, its store on a thread of its own, and messages to and from peers."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from knotwalk.consensus.machine import Machine
from knotwalk.consensus.raft_types import Answer, Apply, RaftSettings, Restore, RoleChange, Save, Send
from knotwalk.consensus.store import Store, StoreDamagedError, StoreUnavailableError
from knotwalk.control_plane.agreed_state import AgreedState
from knotwalk.control_plane.compaction import Compaction
from knotwalk.control_plane.peer_lanes import PATIENCE as PATIENCE, PeerLanes
from knotwalk.control_plane.replicated_state import ReplicatedState
from knotwalk.runtime.call import Caller
from knotwalk.runtime.logs import clock, log_exception, log_info, log_warning

HANG = 0.6  # a write that takes longer costs leadership: others serve meanwhile


def opened(
    store: Store,
    data_dir: str,
    first_start: bool,
    address: str,
    founders: dict[str, str],
    wait: Callable[[float], None] = time.sleep,
) -> Any:
    """What a machine's disk holds, once it can be told. A damaged file counts as a lost disk: it is put aside, and this
    machine is another from now on. A disk that refuses is tried until it takes: an end would only be a start again."""
    pause, said = 0.1, ""
    while True:
        try:
            try:
                return store.open(data_dir, first_start, address, founders)
            except StoreDamagedError as error:
                if str(error) != said:
                    log_warning("log file damaged", why=str(error), done="put aside; this machine counts as a new one")
                said = str(error)
                store.set_aside()
        except StoreUnavailableError as error:
            if str(error) != said:
                log_warning("disk", why=str(error))
            said = str(error)
            wait(pause)
            pause = min(1.0, 2 * pause)


class Lost(Exception):
    """What became of the entry is not known here: it may be in force or not."""


class NotLeader(Exception):
    """Another leads: `leader` is its peer address, or None if none is known."""

    def __init__(self, leader: str | None):
        super().__init__(leader)
        self.leader = leader


class ConsensusDriver:
    """One core machine's part in one group, whose agreed state is of `kind`. `on_change` hears what each entry changed,
    `on_config` once of all entries that came together and call for news, `on_role` and `on_kept` what their names say.

    Messages go to the path /consensus of peers, or by `post` where a group has a way of its own."""

    def __init__(
        self,
        store: Store,
        saved: Any,
        caller: Caller,
        pace: RaftSettings,
        seed: int,
        born: float,
        kind: type[AgreedState] = ReplicatedState,
        post: Callable[[str, dict], None] | None = None,
        group: str = "configuration",
    ):
        self.store, self.kind, self.group = store, kind, group
        self.machine = Machine(saved, pace, seed, clock(), born)
        self.state: Any = kind.from_dict(saved.snapshot) if saved.snapshot else kind()
        self.tickets: dict[int, asyncio.Future] = {}
        self.results: dict[int, Any] = {}  # index -> what applying it said, for those who wait
        self.next_ticket = 0
        self.writer = ThreadPoolExecutor(1, "consensus")
        self.saves: asyncio.Queue[Save] = asyncio.Queue()
        self.lanes = PeerLanes(caller, "/consensus", "agreement", self.receive)
        self.outbox = self.lanes.outbox
        self.post = post or self.lanes.post
        self.tasks: set[asyncio.Task] = set()
        self.on_change: Callable[[int, Any], None] = lambda index, changes: None
        self.on_config: Callable[[], None] = lambda: None
        self.on_role: Callable[[RoleChange], None] = lambda role: None
        self.on_restore: Callable[[], None] = lambda: None
        self.on_damage: Callable[[], None] = lambda: None
        self.on_kept: Callable[[], None] = lambda: None
        self.timer: asyncio.TimerHandle | None = None
        self.hung = False
        self.compaction = Compaction(store.disk_mb, saved.me)
        self.news = False  # an entry that calls for news was applied, and not told yet
        self.closing = False

    @property
    def caller(self) -> Caller:
        """Who carries calls to peers."""
        return self.lanes.caller

    @caller.setter
    def caller(self, caller: Caller) -> None:
        self.lanes.caller = caller

    def start(self) -> None:
        """Begin to write, and let the machine see the time."""
        self._spawn(self._write())
        self.turn()

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # --- turns of the machine ---------------------------------------------------------------------

    def turn(self) -> None:
        """Let the machine see the time, then carry out what it ordered."""
        self.machine.tick(clock())
        self.carry_out()

    def carry_out(self) -> None:
        """Carry out what the machine ordered, and see when to call it next."""
        machine = self.machine
        while machine.actions:
            orders, machine.actions = machine.actions, []
            for order in orders:
                match order:
                    case Save():
                        self.saves.put_nowait(order)
                    case Send(address, message):
                        self.post(address, message)
                    case Apply(entry):
                        self._apply(entry)
                    case Answer(ticket, outcome, value):
                        if (future := self.tickets.pop(ticket, None)) and not future.done():
                            future.set_result((outcome, value))
                    case Restore(state, _):
                        self.state, self.news = self.kind.from_dict(state), False
                        self.on_restore()
                    case RoleChange():
                        log_info(
                            "role", group=self.group, role=order.role, term=order.term, leader=order.leader_address
                        )
                        self.on_role(order)
        if self.news:  # once for all that came together: a start replays hundreds
            self.news = False
            self.on_config()
        if self.timer is not None:
            self.timer.cancel()
        wait = max(0.0, min(1.0, machine.wake_at - clock()))
        self.timer = asyncio.get_running_loop().call_later(wait, self.turn) if not self.closing else None

    def _apply(self, entry: Any) -> None:
        said, changes = self.state.apply(entry.index, entry.body if entry.kind == "command" else {})
        self.results[entry.index] = said
        while len(self.results) > 2000:
            del self.results[next(iter(self.results))]
        self.news |= self.state.calls_for_news(entry.body, said)
        self.on_change(entry.index, changes)
        work = self.state.work_of(entry.body)
        if self.compaction.due(len(json.dumps(entry.body)), work):
            self.machine.compact(entry.index, self.state.to_dict())

    # --- the store -----------------------------------------------------------------------------------

    async def _write(self) -> None:
        """One write at a time, in order; a refused one is tried again, since what follows rests on it."""
        loop = asyncio.get_running_loop()
        while True:
            save = await self.saves.get()
            pause = 0.05
            while True:
                work = loop.run_in_executor(self.writer, self.store.write, save)
                try:
                    try:
                        await asyncio.wait_for(asyncio.shield(work), HANG)
                    except TimeoutError:
                        self._fail("a write hangs")
                        await work
                    break
                except StoreDamagedError as error:  # what the disk has must be read anew: by the next life
                    log_warning(
                        "log file damaged", why=str(error), done="this life ends; the next one looks at it whole"
                    )
                    self._fail("the log file is damaged")
                    self.on_damage()
                    return
                except Exception:  # a disk may refuse in many ways; each is tried again
                    log_exception("write refused", number=save.number)
                    self._fail("a write was refused")
                    await asyncio.sleep(pause)
                    pause = min(1.0, 2 * pause)
            if self.hung:
                self.hung = False
                log_info("disk answers again")
            self.machine.on_saved(clock(), save.number)
            self.carry_out()
            self.on_kept()

    def _fail(self, why: str) -> None:
        if not self.hung:
            self.hung = True
            log_warning("disk", group=self.group, why=why)
        self.machine.on_save_failed(clock())
        self.carry_out()

    # --- peers ---------------------------------------------------------------------------------------

    def receive(self, messages: list[dict]) -> None:
        """Messages of a peer, as answers to ours."""
        now = clock()
        for message in messages:
            self.machine.receive(now, message)
        self.carry_out()

    def exchange(self, messages: list[dict]) -> list[dict]:
        """A peer's messages; what can be answered at once goes back with the answer instead of a call of its own."""
        now = clock()
        for message in messages:
            self.machine.receive(now, message)
        back, rest = [], []
        origin = messages[0].get("at", "") if messages else ""
        for order in self.machine.actions:
            if isinstance(order, Send) and order.to_address == origin:
                back.append(order.message)
            else:
                rest.append(order)
        self.machine.actions = rest
        self.carry_out()
        return back

    # --- what others ask -----------------------------------------------------------------------------

    async def _wait(self, ask: Callable[[float, int], None], patience: float | None) -> tuple[str, Any]:
        self.next_ticket += 1
        ticket = self.next_ticket
        future = self.tickets[ticket] = asyncio.get_running_loop().create_future()
        ask(clock(), ticket)
        self.carry_out()
        try:
            return await asyncio.wait_for(future, patience)
        except TimeoutError:
            return "lost", None
        finally:
            self.tickets.pop(ticket, None)

    async def propose(self, command: dict, patience: float | None = 4.0) -> Any:
        """Have a command agreed on, durably: what applying it said. NotLeader, or Lost if the outcome is unknown."""
        outcome, value = await self._wait(lambda now, ticket: self.machine.propose(now, command, ticket), patience)
        if outcome == "not_leader":
            raise NotLeader(value)
        if outcome != "committed":
            raise Lost
        if value not in self.results:  # committed, but what applying it said is not known here
            raise Lost
        return self.results[value]

    async def current(self, patience: float = 1.0) -> None:
        """Return once the replicated state here holds all that was agreed on before the call.

        NotLeader or Lost otherwise.
        """
        outcome, value = await self._wait(self.machine.read, patience)
        if outcome == "not_leader":
            raise NotLeader(value)
        if outcome != "readable":
            raise Lost

    async def close(self) -> None:
        """End all work; a write under way is not waited for."""
        self.closing = True
        if self.timer is not None:
            self.timer.cancel()
        self.lanes.close()
        for task in list(self.tasks):
            task.cancel()
        self.writer.shutdown(wait=False)
