"""Messages to peers, in order: all that are queued for a peer go with the next call, one call at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from knotwalk.runtime.errors import PeerError
from knotwalk.runtime.http_client import HttpClient

PEER_CALL_TIMEOUT_S = 0.6  # a lost message is repeated by the consensus machine at its own pace
MAX_QUEUED_MESSAGES = 256  # for a peer that does not answer; the consensus machine repeats what matters


@dataclass(frozen=True)
class Lane:
    """The queue of messages to one peer, sent in order, one call at a time. Parts of snapshots have a lane of their
    own, so that no heartbeat waits until one has arrived."""

    address: str
    is_bulk: bool


class PeerLanes:
    """All lanes of one path of the peers' port. `on_replies` gets the messages that a peer returns with its answer;
    `pack` encodes a message for the wire."""

    def __init__(
        self,
        http_client: HttpClient,
        path: str,
        step: str,
        on_replies: Callable[[list], None],
        pack: Callable[[dict], Any] = lambda message: message,
    ):
        self.http_client, self.path, self.step, self.on_replies, self.pack = http_client, path, step, on_replies, pack
        self.outbox: dict[Lane, list[dict]] = {}
        self.sending: set[Lane] = set()
        self.tasks: set[asyncio.Task] = set()
        self.closed = False

    def send(self, address: str, message: dict) -> None:
        """Send a message to a peer; it may be lost, and is dropped once the lanes are closed."""
        if self.closed:
            return
        lane = Lane(address, message["type"] == "part")
        queue = self.outbox.setdefault(lane, [])
        if lane.is_bulk:
            queue.clear()  # a part that is sent again replaces the previous one
        queue.append(message)
        if len(queue) > MAX_QUEUED_MESSAGES:
            del queue[: MAX_QUEUED_MESSAGES // 2]
        if lane not in self.sending:
            self.sending.add(lane)
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
                    answers = await self.http_client.json(
                        "POST", f"http://{lane.address}{self.path}", packed, PEER_CALL_TIMEOUT_S, self.step
                    )
                except PeerError:
                    continue
                self.on_replies(answers)
        finally:
            self.sending.discard(lane)

    def close(self) -> None:
        """Cancel all calls; nothing is sent from now on."""
        self.closed = True
        for task in list(self.tasks):
            task.cancel()
