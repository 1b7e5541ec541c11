"""Messages to peers, in order: all that wait for a peer go together in the next call, one call at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from knotwalk.runtime.errors import PeerError
from knotwalk.runtime.http_client import HttpClient

PATIENCE = 0.6  # for a peer: a lost message is repeated by the machine's own pace
WAITING_MOST = 256  # messages for a peer that does not answer; the machine repeats what matters


@dataclass(frozen=True)
class Lane:
    """What goes to one peer in order, a call at a time. Parts of long contents have a lane of their own, so that no
    heartbeat waits until one has arrived."""

    address: str
    long: bool


class PeerLanes:
    """All lanes of one path of the peers' port. `receive` hears the messages that come back with an answer; `pack` says
    how a message goes over the wire."""

    def __init__(
        self,
        caller: HttpClient,
        path: str,
        step: str,
        receive: Callable[[list], None],
        pack: Callable[[dict], Any] = lambda message: message,
    ):
        self.caller, self.path, self.step, self.receive, self.pack = caller, path, step, receive, pack
        self.outbox: dict[Lane, list[dict]] = {}
        self.posting: set[Lane] = set()
        self.tasks: set[asyncio.Task] = set()
        self.closed = False

    def post(self, address: str, message: dict) -> None:
        """Send a message to a peer; it may be lost, and is once the lanes are closed."""
        if self.closed:
            return
        lane = Lane(address, message["type"] == "part")
        waiting = self.outbox.setdefault(lane, [])
        if lane.long:
            waiting.clear()  # a part sent again takes the place of the one before
        waiting.append(message)
        if len(waiting) > WAITING_MOST:
            del waiting[: WAITING_MOST // 2]
        if lane not in self.posting:
            self.posting.add(lane)
            self._spawn(self._deliver(lane))

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _deliver(self, lane: Lane) -> None:
        try:
            while messages := self.outbox.pop(lane, None):
                try:
                    packed = [self.pack(message) for message in messages]
                    answers = await self.caller.json(
                        "POST", f"http://{lane.address}{self.path}", packed, PATIENCE, self.step
                    )
                except PeerError:
                    continue
                self.receive(answers)
        finally:
            self.posting.discard(lane)

    def close(self) -> None:
        """End all calls; nothing is sent any more."""
        self.closed = True
        for task in list(self.tasks):
            task.cancel()
