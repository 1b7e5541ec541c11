"""Discovery: a long-polling watch on the list of servers.

Owns the list's version and the pace of the watch. It must never change an entry beyond its names and units, and never
decide what a missing answer means for a server.
"""

import json
from collections.abc import Callable, Mapping

from knotwalk.net import http
from knotwalk.net.close_reason import CloseReason, Role, outcome
from knotwalk.net.log import Log
from knotwalk.net.loop import MIN_RECONNECT_DELAY_S, Connection, Loop, PersistentConnection, ProtocolError, Timer
from knotwalk.wire_values import SERVER_STATES, error_text, parse_amount

WATCH_WAIT_S = 1.0  # of a long poll: the platform takes a change as delivered after 2 s, whether it arrived or not
ANSWER_MARGIN_S = 0.5  # beyond the long poll's wait, which a request for the full list does not have
MAX_LIST_BYTES = 1 << 22  # of a response: about ten thousand servers


def parse_entry(fields: Mapping) -> tuple:
    """Convert one list entry to the form that the decisions take.

    >>> parse_entry({"id": "s", "zone": "cork", "state": "leaving", "weight": 1.5, "started_ms": 2500})
    ('s', 'cork', 'draining', 1.5, 2.5)
    """
    if fields["state"] not in SERVER_STATES:
        raise ValueError(f"no such state '{fields['state']}'")
    return (
        str(fields["id"]),
        str(fields.get("zone", "")),
        SERVER_STATES[fields["state"]],
        parse_amount(fields.get("weight", 1)),
        parse_amount(fields.get("started_ms") or 0) / 1e3,
    )


class ListWatch(PersistentConnection):
    """Watches the list with one request after the other on one connection."""

    def __init__(
        self, loop: Loop, address: tuple[str, int], version: int, known: list[tuple], enqueue: Callable, log: Log
    ):
        super().__init__(loop, address)
        self.enqueue, self.log = enqueue, log
        self.version = version
        self.entries = {x[0]: x for x in known if x[2] != "gone"}  # the current list, by server
        self.parser, self.status, self.body = http.ResponseParser(MAX_LIST_BYTES), 0, b""
        self.needs_full_list = True  # whether the next request asks for the full list
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
                else:  # the agent closes after each response: the watch goes on over a new connection
                    connection.close(CloseReason.CLOSED_BY_US)
                    return

    def on_answer(self) -> None:
        if self.status != 200:
            raise ProtocolError(f"response with status {self.status}: {self.body[:100]!r}")
        try:
            payload = json.loads(self.body)
            version, full, servers = int(payload["version"]), bool(payload["full"]), payload["servers"]
            entries = [parse_entry(fields) for fields in servers]
        except (ValueError, TypeError, AttributeError, KeyError) as fault:
            raise ProtocolError(f"invalid server list: {error_text(fault)}") from None
        if not self.needs_full_list:
            self.reconnect_delay = MIN_RECONNECT_DELAY_S
        if not full and version < self.version:
            self.needs_full_list = True  # the agent restarted with an older list; its changes do not apply to ours
            return
        if full:
            self.needs_full_list, self.entries = False, {}
        for item in entries:  # servers that are gone are removed: under constant renewal they would fill the memory
            self.entries.pop(item[0], None)
            if item[2] != "gone":
                self.entries[item[0]] = item
        if full or entries:
            self.enqueue("listed", full, False, entries)
        self.version = version

    def connection_failed(self, connection: Connection | None, reason: CloseReason) -> None:
        if self.answer_timer:
            self.answer_timer.cancel()
        if reason is not CloseReason.CLOSED_BY_US:
            # Changes may have been sent to the lost connection, so the full list is needed.
            self.needs_full_list = True
            effect = outcome(Role.LIST, reason)
            self.log("server list lost", f"{reason.value}: {effect.value} {connection.error if connection else ''}")

    def change_address(self, address: tuple[str, int]) -> None:
        self.needs_full_list = True  # versions at the new address may differ
        super().change_address(address)
