"""The subscriber's end: maintains a copy of the table from a publisher's messages, and keeps it when there is none.

Does no I/O: it is given messages and returns the answers to send. Invariants: no change is applied twice or out of
order, a message is applied completely or not at all, and no line is discarded before a replacement has arrived.
"""

from collections.abc import Mapping
from random import Random
from typing import Any

from knotwalk.pubsub import wire
from knotwalk.pubsub.versions import Delta

MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.2, 20.0  # before the next connection; doubles, times a jitter of 0.5 to 1.5
STEADY_STREAM_S = 5.0  # a stream that lived this long resets the retry delay even if no message was applied
FOLLOW_TIMEOUT_S = 10.0  # silence of a newer publisher after which an older one is followed again


class GapError(Exception):
    """A message that does not follow from the version held; the text gives the reason."""


class Subscriber:
    """One subscriber's copy of the table, maintained over successive streams."""

    def __init__(
        self,
        name: str,
        seed: int,
        proxy: int | None = None,
        zone: str | None = None,
        wanted: list[int] | None = None,
        server_zone: str | None = None,
        key: str | None = None,
    ):
        self.name, self.proxy, self.zone = name, proxy, zone
        self.wanted, self.server_zone, self.key = wanted, server_zone, key
        self.random = Random(seed)
        self.slice_lines: dict[int, dict[str, float]] = {}  # weight by server, by slice
        self.slice_levels: dict[int, dict[int, tuple[float, int]]] = {}  # (share, retry) by method, by slice
        self.levels: dict[int, tuple[float, int]] = {}  # (share, retry) by method, for all slices
        self.withdrawn: set[str] = set()  # servers
        self.epoch: str | None = None
        self.version = 0
        self.next_slice: int | None = 0  # the next slice of the snapshot in progress; None: the table is complete
        self.was_complete = False  # whether the table has ever been complete
        self.token: str | None = None
        self.received_slices: set[int] = set()  # slices received in the snapshot in progress
        self.live_servers: frozenset[str] | None = None  # servers in use; set while lines of an older table are held
        self.number = 0  # number of the last message on this stream
        self.nacked = False  # a message was rejected: the following ones are ignored until a new snapshot begins
        self.applied = 0  # number of messages applied on all streams
        self.applied_before, self.welcomed_at = 0, 0.0
        self.attempts = 0
        self.publisher_started_at = float("-inf")  # start time of the publisher that is followed
        self.heard_at = float("-inf")

    # --- streams ---

    def hello(self) -> bytes:
        """Reset the stream's state and return its first message."""
        self.number, self.nacked = 0, False
        members: dict[str, Any] = {"v": wire.PROTOCOL_VERSION, "name": self.name}
        for name, value in (
            ("proxy", self.proxy),
            ("zone", self.zone),
            ("wants", self.wanted),
            ("of_zone", self.server_zone),
            ("token", self.token),
            ("key", self.key),
        ):
            if value is not None:
                members[name] = value
        if self.was_complete:
            members["usable"] = True
        return wire.encode_message("hello", **members)

    def next_retry_delay(self, now: float) -> float:
        """Seconds to wait before connecting again, after a connection that ended or was never established."""
        if self.heard_at - self.welcomed_at > STEADY_STREAM_S or self.applied > self.applied_before:
            self.attempts = 0  # the last stream was useful
        self.applied_before, self.welcomed_at = self.applied, now
        delay = min(MAX_RETRY_DELAY_S, MIN_RETRY_DELAY_S * 2 ** min(self.attempts, 20))
        self.attempts += 1
        return delay * self.random.uniform(0.5, 1.5)

    def handle_refusal(self, why: str) -> None:
        """The publisher rejected the hello. The token may be the reason, so the next hello is sent without one."""
        self.token = None

    def handle_message(self, now: float, message: Mapping) -> list[bytes]:
        """Apply a message from the publisher and return the answers. Raises ValueError if it is malformed."""
        kind = message["t"]
        if kind == "welcome":
            self.handle_welcome(now, message)
            return []
        self.heard_at = now
        if kind not in ("change", "piece"):
            return []
        number = wire.parse_count(message.get("n"))
        if number != self.number + 1:
            raise ValueError(f"message {number} after {self.number}")
        self.number = number
        if self.nacked and not ("live" in message and kind == "piece"):
            return []  # sent before the publisher received the rejection
        self.nacked = False
        delta = wire.decode_delta(message.get("d"))
        try:
            need = self.apply_piece(message, delta) if kind == "piece" else self.apply_change(message, delta)
        except GapError as error:
            self.nacked = True
            return [wire.encode_message("nack", n=number, why=str(error))]
        self.token = str(message["token"])
        self.applied += 1
        return [wire.encode_message("ack", n=number, need=need) if need else wire.encode_message("ack", n=number)]

    def handle_welcome(self, now: float, message: Mapping) -> None:
        """Start to follow the publisher, unless a newer one was heard from recently.

        Guards against an old publisher that is still running. Raises ValueError for one that is not followed.
        """
        started_at = wire.parse_weight(message.get("born"))
        if started_at < self.publisher_started_at and now < self.heard_at + FOLLOW_TIMEOUT_S:
            raise ValueError(
                f"publisher started at {started_at:.3f}; one started at {self.publisher_started_at:.3f} is followed"
            )
        if message.get("epoch") != self.epoch:
            self.token = None  # issued in another epoch, where it is not valid
        self.publisher_started_at, self.heard_at, self.welcomed_at = started_at, now, now

    # --- the table ---

    def apply_piece(self, message: Mapping, delta: Delta) -> list[int]:
        """Apply one piece of a snapshot; return the slices of which no line leads to a server in use."""
        first_slice, next_slice = wire.parse_count(message.get("at")), message.get("next")
        version = wire.parse_count(message.get("to"))
        need: list[int] = []
        if "live" in message:
            self.epoch, self.received_slices = str(message["epoch"]), set()
            self.live_servers = frozenset(map(str, message["live"]))
            self.withdrawn.clear()
            self.levels.clear()
        elif message.get("epoch") != self.epoch or first_slice != self.next_slice:
            raise GapError(
                f"piece at slice {first_slice} of epoch {message.get('epoch')}; "
                f"expected slice {self.next_slice} of {self.epoch}"
            )
        self.apply(delta)
        self.received_slices.update(p.slice for p in delta.parts)
        if "live" in message:
            need = self.drop_dead_lines()
        self.version, self.next_slice = version, None if next_slice is None else wire.parse_count(next_slice)
        if self.next_slice is None:
            for slice_id in [k for k in self.slice_lines if k not in self.received_slices]:
                del self.slice_lines[slice_id]
                self.slice_levels.pop(slice_id, None)
            self.was_complete, self.live_servers, self.received_slices = True, None, set()
        return need

    def drop_dead_lines(self) -> list[int]:
        """Remove an older table's lines to servers no longer in use, and return the slices that have no other line.

        Those slices keep their lines until the publisher sends new ones.
        """
        assert self.live_servers is not None
        need = []
        for slice_id, lines in self.slice_lines.items():
            if slice_id in self.received_slices or not lines:
                continue
            alive = {k: w for k, w in lines.items() if k in self.live_servers}
            if alive:
                self.slice_lines[slice_id] = alive
            else:
                need.append(slice_id)
        return need

    def apply_change(self, message: Mapping, delta: Delta) -> list[int]:
        """Apply the changes since the version held."""
        if message.get("from") != self.version or self.next_slice is not None:
            raise GapError(
                f"change from version {message.get('from')}; version {self.version} is held"
                + ("" if self.next_slice is None else ", incomplete")
            )
        self.apply(delta)
        self.version = wire.parse_count(message.get("to"))
        return []

    def apply(self, delta: Delta) -> None:
        for p in delta.parts:
            lines = {} if p.is_full else self.slice_lines.get(p.slice, {})
            lines = {**lines, **p.lines}
            self.slice_lines[p.slice] = {k: w for k, w in lines.items() if w}
            levels = {} if p.is_full else self.slice_levels.get(p.slice, {})
            self.slice_levels[p.slice] = {**levels, **p.levels}
        for server, is_withdrawn in delta.withdrawn.items():
            (self.withdrawn.add if is_withdrawn else self.withdrawn.discard)(server)
        self.levels.update(delta.levels)

    def usable_lines(self, slice_id: int) -> dict[str, float]:
        """Weights of the servers to which a slice's requests may be sent."""
        return {k: w for k, w in self.slice_lines.get(slice_id, {}).items() if k not in self.withdrawn}

    def rows(self) -> list[tuple[int, str, float]]:
        """All lines held, as (slice, server, weight)."""
        return [(k, server, w) for k, lines in self.slice_lines.items() for server, w in lines.items()]
