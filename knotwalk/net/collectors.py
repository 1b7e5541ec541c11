"""The listening side: collectors with their reports, health probes, and unknown clients.

Owns the limits on all of them. It must never write anything to a collector but the answer to a probe, nor let one
connection's faults affect the others.
"""

from collections.abc import Callable, Mapping, Set

from knotwalk.net.close_reason import CloseReason
from knotwalk.net.log import Log
from knotwalk.net.loop import Connection, Loop, ProtocolError
from knotwalk.net.resp import RespParser, encode_message
from knotwalk.wire_values import LOAD_COLUMNS, ReportBounds, error_text, parse_amount, parse_count

ALIVE = encode_message("alive")
# Collectors send the sums of a period as a burst of messages, which the decisions need to see together, since they
# judge servers by the period. A burst ends after QUIET_PERIOD_S without a report (ten times the interval between its
# messages on a busy core) and with no incomplete message, and after MAX_BURST_S (a quarter of a period of 1 s) at the
# latest.
QUIET_PERIOD_S, MAX_BURST_S = 0.02, 0.25
JOIN_TIMEOUT_S = 1.0  # the protocol lets a connection be closed after that
SILENT_AFTER_S = 10.0  # a zone's collector that is silent for longer is closed when another joins for the zone


def parse_fields(items: list[str]) -> dict[str, str]:
    """Parse the alternating names and values that follow the message type.

    >>> parse_fields(["hot", "slice", "88"])
    {'slice': '88'}
    """
    if len(items) % 2 == 0:
        raise ValueError(f"'{items[-1][:40]}' has no value")
    return dict(zip(items[1::2], items[2::2]))


def parse_load(text: str, bounds: ReportBounds) -> dict[str, float]:
    """Parse a load report, and check it against the bounds.

    >>> parse_load("inflight:7,util:0.61", ReportBounds(frozenset(), 1, 100, 5))
    {'inflight': 7.0, 'utilization': 0.61}
    """
    pairs = [part.partition(":") for part in text.split(",") if part]
    load = {LOAD_COLUMNS.get(name, name): parse_amount(value) for name, _, value in pairs}
    parse_amount(load.get("utilization", 0), bounds.utilization)
    parse_amount(load.get("qps", 0), bounds.rate)
    return load


class CollectorServer:
    """All inbound connections, within limits on their count and on the bytes of their incomplete messages."""

    def __init__(
        self,
        loop: Loop,
        methods: Mapping[str, int],
        bounds: ReportBounds,
        is_known_server: Callable[[str], bool],
        known_zones: Callable[[], Set[str]],
        enqueue: Callable,
        log: Log,
        max_connections: int,
        max_unfinished_bytes: int,
    ):
        self.loop, self.methods, self.bounds, self.enqueue, self.log = loop, methods, bounds, enqueue, log
        self.is_known_server, self.known_zones = is_known_server, known_zones
        self.max_connections, self.max_unfinished_bytes = max_connections, max_unfinished_bytes
        self.ready = False  # whether probes are answered and reports handed on
        self.connections: dict["CollectorSession", Connection] = {}  # least recently active first
        self.unfinished_bytes = 0  # of all connections together
        self.burst: list[tuple] = []  # the reports of the current burst
        self.burst_started_at = self.last_report_at = 0.0  # times of the burst's first and last report

    def set_limits(self, max_connections: int, max_unfinished_bytes: int) -> None:
        """Change the limits; connections in excess are evicted."""
        self.max_connections, self.max_unfinished_bytes = max_connections, max_unfinished_bytes
        while len(self.connections) > max_connections:
            self.evict_one(list(self.connections))

    def accept(self) -> "CollectorSession":
        return CollectorSession(self)

    def start_serving(self) -> None:
        """Answer probes from now on, those that are waiting at once."""
        if not self.ready:
            self.ready = True
            for session, connection in list(self.connections.items()):
                if session.has_probed:
                    connection.write(ALIVE)

    def add_report(self, handler: str, *arguments: object) -> None:
        """Add a report to the current burst."""
        self.last_report_at = self.loop.now()
        if not self.burst:
            self.burst_started_at = self.last_report_at
            self.loop.call_later(QUIET_PERIOD_S, self.end_burst)
        self.burst.append((handler, *arguments))

    def end_burst(self) -> None:
        now, end = self.loop.now(), self.burst_started_at + MAX_BURST_S
        # An incomplete message older than MAX_BURST_S is of a connection that fell silent: do not wait for its rest.
        incomplete = any(
            x.has_joined and x.unfinished_bytes and x.last_data_at > now - MAX_BURST_S for x in self.connections
        )
        due = min(now + QUIET_PERIOD_S if incomplete else self.last_report_at + QUIET_PERIOD_S, end)
        if now < due:
            self.loop.call_at(due, self.end_burst)
            return
        burst, self.burst = self.burst, []
        for report in burst if self.ready else ():  # before, we hold no slice that a report could be about
            self.enqueue(*report)

    def evict_one(self, candidates: list["CollectorSession"]) -> None:
        """Evict the least valuable connection: one that has not joined before a collector, and silent ones first."""
        if candidates:
            self.connections[min(candidates, key=lambda x: (x.has_joined, x.has_sent))].close(CloseReason.EVICTED)


class CollectorSession:
    """The protocol state of one inbound connection."""

    def __init__(self, server: CollectorServer):
        self.server, self.parser = server, RespParser()
        self.has_sent = self.has_joined = self.has_probed = False
        self.zone, self.unfinished_bytes = "", 0
        self.last_data_at = 0.0  # when bytes last arrived

    def connection_made(self, connection: Connection) -> None:
        self.server.connections[self] = connection
        connection.timer = self.server.loop.call_later(JOIN_TIMEOUT_S, lambda: self.on_join_timeout(connection))
        if len(self.server.connections) > self.server.max_connections:
            self.server.evict_one([x for x in self.server.connections if x is not self])

    def on_join_timeout(self, connection: Connection) -> None:
        """Close a connection that has not joined. Guards against unknown clients that stay connected for good."""
        if self.has_probed and not self.server.ready:  # it waits for our answer to its probe
            connection.timer = self.server.loop.call_later(JOIN_TIMEOUT_S, lambda: self.on_join_timeout(connection))
        else:
            connection.close(CloseReason.JOIN_TIMEOUT)

    def join(self, connection: Connection, zone: str) -> None:
        if zone not in self.server.known_zones():
            raise ValueError(f"no such zone '{zone}'")
        self.has_joined, self.zone = True, zone
        if connection.timer:
            connection.timer.cancel()
        # A machine that was cut off leaves its old connections open and silent, and they would pile up.
        for other, old in list(self.server.connections.items()):
            if other.has_joined and other.zone == zone and other.last_data_at < self.last_data_at - SILENT_AFTER_S:
                old.close(CloseReason.SILENT)

    def data_received(self, connection: Connection, data: memoryview) -> None:
        self.last_data_at = self.server.loop.now()
        for items in self.parser.feed(data):
            self.has_sent = True
            self.server.connections[self] = self.server.connections.pop(self)
            if items:
                try:
                    self.handle_message(connection, items)
                except (ValueError, KeyError) as fault:
                    if not self.has_joined:  # only joined collectors may send an occasional bad report
                        raise ProtocolError(f"not joined, {items[0][:40]}: {error_text(fault)}") from None
                    self.server.log("message dropped", f"{' '.join(items)[:120]}: {error_text(fault)}")
            if connection.closed:
                return
        self.set_unfinished_bytes(self.parser.buffered_bytes())

    def set_unfinished_bytes(self, size: int) -> None:
        """Account for this connection's incomplete message. Beyond the limit the connections with the largest ones are
        evicted, so that incomplete messages cannot fill the memory."""
        self.server.unfinished_bytes += size - self.unfinished_bytes
        self.unfinished_bytes = size
        while self.server.unfinished_bytes > self.server.max_unfinished_bytes:
            largest = max(x.unfinished_bytes for x in self.server.connections)
            self.server.evict_one([x for x in self.server.connections if x.unfinished_bytes == largest])

    def handle_message(self, connection: Connection, items: list[str]) -> None:
        kind = items[0]
        if kind == "probe":
            self.has_probed = True
            if self.server.ready:
                connection.write(ALIVE)
            return
        fields, bounds = parse_fields(items), self.server.bounds
        if kind == "agent":
            self.join(connection, fields["zone"])
        elif not self.has_joined:
            raise ValueError("the connection has not joined")
        elif kind == "outcomes":
            if not self.server.is_known_server(fields["server"]):
                raise ValueError(f"no such server '{fields['server']}'")
            if fields["zone"] not in self.server.known_zones():
                raise ValueError(f"no such zone '{fields['zone']}'")
            span, tries, aborted = self.parse_attempts(fields)
            parse_count(aborted, tries)
            latency = parse_amount(fields["mean_ms"]) / 1e3 if aborted < tries else 0.0
            self.server.add_report(
                "heard",
                fields["server"],
                fields["zone"],
                span,
                tries,
                aborted,
                parse_amount(latency, bounds.latency),
                parse_load(fields.get("load", ""), bounds),
            )
        elif kind == "hot":
            if fields["class"] not in self.server.methods:
                raise ValueError(f"no such method '{fields['class']}'")
            span, tries, _ = self.parse_attempts(fields)
            self.server.add_report(
                "wanted",
                parse_count(fields["slice"], bounds.slices - 1),
                self.server.methods[fields["class"]],
                span,
                tries,
            )
        else:
            raise ValueError("no such message type")

    def parse_attempts(self, fields: Mapping[str, str]) -> tuple[float, int, int]:
        """Return the span in seconds, the tries in it, and how many of them failed."""
        span = parse_amount(fields["span_ms"], 1e3 * self.server.bounds.span) / 1e3
        if not span:
            raise ValueError("span_ms is zero")
        max_tries = self.server.bounds.rate * span
        # More tries at a slice may fail in a span than begin in it (observed): a try can end in a later span.
        return span, parse_count(fields["tries"], max_tries), parse_count(fields["failed"], max_tries)

    def connection_lost(self, connection: Connection | None, reason: CloseReason) -> None:
        self.server.connections.pop(self, None)
        self.server.unfinished_bytes -= self.unfinished_bytes
        self.unfinished_bytes = 0
        if reason not in (CloseReason.CLOSED, CloseReason.CLOSED_BY_US):
            self.server.log("connection closed", f"{reason.value} {connection.error if connection else ''}")
