"""Discovery: the watch on the list of servers.

Owns the list's version and the rhythm of the watch. It must never change an entry beyond its words and units,
and never decide what a missing answer means for a server.
"""

import json
from collections.abc import Callable, Mapping

from knotwalk.net import http
from knotwalk.net.close_reason import CloseReason, Role, outcome
from knotwalk.net.log import Log
from knotwalk.net.loop import MIN_RECONNECT_DELAY_S, Connection, Loop, PersistentConnection, ProtocolError, Timer
from knotwalk.wire_values import SERVER_STATES, error_text, parse_amount

WATCH_WAIT_S = 1.0  # seconds that a watch may wait: a change counts as payload 2 s after, whether it came or not
ANSWER_MARGIN_S = 0.5  # seconds past its wait after which a call is silent; the whole list has none
MAX_LIST_BYTES = 1 << 22  # bytes of an answer: some ten thousand servers


def parse_entry(f: Mapping) -> tuple:
    """One list entry as the module has it.

    >>> parse_entry({"id": "s", "zone": "cork", "state": "leaving", "weight": 1.5, "started_ms": 2500})
    ('s', 'cork', 'draining', 1.5, 2.5)
    """
    if f["state"] not in SERVER_STATES:
        raise ValueError(f"no such state '{f['state']}'")
    return (
        str(f["id"]),
        str(f.get("zone", "")),
        SERVER_STATES[f["state"]],
        parse_amount(f.get("weight", 1)),
        parse_amount(f.get("started_ms") or 0) / 1e3,
    )


class ListWatch(PersistentConnection):
    """The watch: one call after the other on one connection."""

    def __init__(
        self, loop: Loop, address: tuple[str, int], version: int, known: list[tuple], enqueue: Callable, log: Log
    ):
        super().__init__(loop, address)
        self.enqueue, self.log = enqueue, log
        self.version = version
        self.entries = {x[0]: x for x in known if x[2] != "gone"}  # the list as now held
        self.parser, self.status, self.body = http.ResponseParser(MAX_LIST_BYTES), 0, b""
        self.needs_full_list = True  # the next call asks for the whole list
        self.answer_timer: Timer | None = None

    def send_request(self, connection: Connection) -> None:
        query = None if self.needs_full_list else {"since": self.version, "timeout_ms": int(WATCH_WAIT_S * 1e3)}
        self.status, self.body = 0, b""
        self.answer_timer = self.loop.call_later(
            ANSWER_MARGIN_S + (0 if self.needs_full_list else WATCH_WAIT_S),
            lambda: connection.close(CloseReason.SILENT),
        )
        connection.write(http.build_request("%s:%d" % connection.address, "GET", "/v1/servers", query))

    def connection_ready(self, connection: Connection) -> None:
        self.parser = http.ResponseParser(MAX_LIST_BYTES)
        self.send_request(connection)

    def data_received(self, connection: Connection, data: memoryview) -> None:
        for kind, value in self.parser.feed(data):
            if kind == "status":
                self.status = value
            elif kind == "piece":
                self.body += value
            else:
                if self.answer_timer:
                    self.answer_timer.cancel()
                self.on_answer()
                if value:
                    self.send_request(connection)
                else:  # an agent that closes after each answer: the watch goes on over the next one
                    connection.close(CloseReason.LEFT)
                    return

    def on_answer(self) -> None:
        if self.status != 200:
            raise ProtocolError(f"answer {self.status}: {self.body[:100]!r}")
        try:
            payload = json.loads(self.body)
            version, full, servers = int(payload["version"]), bool(payload["full"]), payload["servers"]
            entries = [parse_entry(f) for f in servers]
        except (ValueError, TypeError, AttributeError, KeyError) as fault:
            raise ProtocolError(f"no list: {error_text(fault)}") from None
        if not self.needs_full_list:
            self.reconnect_delay = MIN_RECONNECT_DELAY_S
        if not full and version < self.version:
            self.needs_full_list = True  # restarted with an older list: changes to that are none to ours
            return
        if full:
            self.needs_full_list, self.entries = False, {}
        for x in entries:  # what has gone is let go: a list that is renewed all day would fill the memory
            self.entries.pop(x[0], None)
            if x[2] != "gone":
                self.entries[x[0]] = x
        if full or entries:
            self.enqueue("listed", full, False, entries)
        self.version = version

    def connection_failed(self, connection: Connection | None, reason: CloseReason) -> None:
        if self.answer_timer:
            self.answer_timer.cancel()
        if reason is not CloseReason.LEFT:
            # After a gap the whole list: changes may have been payload to a connection that is gone.
            self.needs_full_list = True
            means = outcome(Role.LIST, reason)
            self.log("list lost", f"{reason.value}: {means.value} {connection.error if connection else ''}")

    def change_address(self, address: tuple[str, int]) -> None:
        self.needs_full_list = True  # versions there may differ
        super().change_address(address)
