"""The relay: calls that carry orders, and the event stream of proxies and slices.

Owns the sequence of calls, one in flight at a time, and the state of proxies and slices as given by the event stream
and the orders applied. It must never drop an order whose outcome is unknown, report unchanged state as new, or choose
which orders to send.
"""

import json
from collections.abc import Callable, Iterator

from knotwalk.net import http
from knotwalk.net.close_reason import CloseReason, Outcome, Role, outcome
from knotwalk.net.log import Log
from knotwalk.net.loop import (
    CONNECT_TIMEOUT_S,
    MAX_RECONNECT_DELAY_S,
    MIN_RECONNECT_DELAY_S,
    Connection,
    Loop,
    MessageTooLongError,
    PersistentConnection,
    ProtocolError,
    Timer,
)
from knotwalk.wire_values import error_text, parse_amount, parse_count

MAX_CALL_BYTES = 60_000  # of the orders in a call: the protocol's limit
ANSWER_TIMEOUT_S = 0.15  # an answer arrives within 50 ms or never; the rest allows for a delayed event loop
IDLE_TIMEOUT_S = 1.0  # how long a connection is kept for the next call; the relay closes idle ones too
MAX_ANSWER_BYTES = 1 << 16  # an answer holds one number
THROTTLED_RETRY_S = 0.1  # before a throttled call, which was not carried out, is sent again
STREAM_TIMEOUT_S = 1.8  # a sign of life is sent every second: allows for one lost and a delayed event loop
MAX_EVENT_BYTES = 1 << 20  # of one line of the event stream
CALL_SETTLED_S = 0.06  # by then a call has been carried out or never will be: answers take up to 50 ms
CHECK_TIMEOUT_S = 1.5  # for reading the current state; the sign of life that marks its end comes within 1 s


def order_key(order: dict) -> tuple:
    """Identify what an order sets: a later order with the same key replaces it."""
    if order["do"] == "SYNC":
        return ("SYNC",)
    if order["do"] in ("OUT", "IN"):
        return ("OUT", order["server"])
    return (order["do"], order.get("group"), order.get("server"), *order.get("classes", ()))


class OrderSender:
    """Sends queued orders to the relay in calls, one at a time."""

    def __init__(self, loop: Loop, address: tuple[str, int], stream: "RelayStream", log: Log):
        self.loop, self.address, self.stream, self.log = loop, address, stream, log
        self.queue: dict[tuple, dict] = {}  # orders not yet sent, by order_key
        self.in_flight: list[dict] = []  # the orders of the call that awaits its answer
        self.unconfirmed: list[dict] = []  # the orders of a call whose outcome is unknown
        self.lost_slices: set[int] = set()  # slices removed since that call was sent
        self.unsure_slices: set[int] = set()  # slices with an outcome that stayed unknown, until the queue is applied
        self.connection: Connection | None = None
        self.connecting = False
        self.parser, self.status, self.body = http.ResponseParser(MAX_ANSWER_BYTES), 0, b""
        self.answer_timer: Timer | None = None
        self.idle_timer: Timer | None = None
        self.retry_timer: Timer | None = None
        self.retry_delay = MIN_RECONNECT_DELAY_S
        stream.sender = self

    def add_orders(self, orders: list[dict]) -> None:
        """Queue a round's orders; they are sent at once or with the next call."""
        for order in orders:
            self.queue.pop(order_key(order), None)
            self.queue[order_key(order)] = order
        self.send_next()

    def drop_slice(self, slice_id: int) -> None:
        """Drop the unsent orders of a slice that was taken from us or granted again with other lines."""
        self.lost_slices.add(slice_id)
        for k in [k for k, order in self.queue.items() if order.get("group") == slice_id]:
            del self.queue[k]

    def requeue(self, orders: list[dict]) -> None:
        """Put orders that were not carried out back at the head of the queue, unless newer ones replace them."""
        newer = self.queue
        self.queue = {
            order_key(order): order
            for order in orders
            if order_key(order) not in newer and order.get("group") not in self.lost_slices
        }
        self.queue.update(newer)

    def send_next(self) -> None:
        if self.in_flight or self.unconfirmed or not self.queue or self.retry_timer is not None:
            return
        if self.connection is None:
            if not self.connecting:
                self.connecting = True
                self.loop.connect(self.address, self, CONNECT_TIMEOUT_S)
            return
        self.cancel_timer("idle_timer")
        parts: list[str] = []
        size = 0
        for order in self.queue.values():
            text = json.dumps(order, separators=(",", ":"))
            size += len(text) + 1
            if size > MAX_CALL_BYTES and parts:
                break
            parts.append(text)
        self.in_flight = [self.queue.pop(k) for k in list(self.queue)[: len(parts)]]
        self.status, self.body, self.lost_slices = 0, b"", set()
        connection = self.connection
        self.answer_timer = self.loop.call_later(ANSWER_TIMEOUT_S, lambda: connection.close(CloseReason.SILENT))
        body = b'{"orders":[%s]}' % ",".join(parts).encode()
        connection.write(http.build_request("%s:%d" % connection.address, "POST", "/v1/batches", body=body))

    def cancel_timer(self, name: str) -> None:
        if getattr(self, name):
            getattr(self, name).cancel()
            setattr(self, name, None)

    def schedule_retry(self, delay_s: float) -> None:
        def retry() -> None:
            self.retry_timer = None
            self.send_next()

        self.retry_timer = self.retry_timer or self.loop.call_later(delay_s, retry)

    def change_address(self, address: tuple[str, int]) -> None:
        """Send calls to another address; a call in flight completes at the old one."""
        self.address, self.retry_delay = address, MIN_RECONNECT_DELAY_S
        self.cancel_timer("retry_timer")
        if self.connection and not self.in_flight:
            self.connection.close(CloseReason.CLOSED_BY_US)
        self.send_next()

    # --- as a connection handler ---

    def connection_made(self, connection: Connection) -> None:
        if connection.address != self.address:
            connection.close(CloseReason.CLOSED_BY_US)  # the address changed meanwhile
            return
        self.connecting, self.connection = False, connection
        self.parser = http.ResponseParser(MAX_ANSWER_BYTES)
        self.send_next()

    def data_received(self, connection: Connection, data: memoryview) -> None:
        for kind, value in self.parser.feed(data):
            if not self.in_flight:
                raise ProtocolError("response without a call in flight")
            if kind == "status":
                self.status = value
            elif kind == "piece":
                self.body += value
            else:
                self.on_answer(connection, keep=value)

    def on_answer(self, connection: Connection, keep: bool) -> None:
        try:
            payload = json.loads(self.body)
            error = payload.get("error")
            if error not in (None, "throttled", "invalid"):
                raise ValueError(f"no such error: {error!r}"[:80])
            if error is None and (self.status != 200 or type(payload["accepted"]) is not int):
                raise ValueError(f"{self.status} {self.body[:80]!r}")
            accepted = 0 if error else parse_count(payload["accepted"], len(self.in_flight))
        except (ValueError, TypeError, AttributeError, KeyError) as fault:
            raise ProtocolError(f"invalid answer to a call: {error_text(fault)}") from None
        orders, self.in_flight = self.in_flight, []
        self.cancel_timer("answer_timer")
        self.retry_delay = MIN_RECONNECT_DELAY_S
        if error == "invalid":
            self.log("orders refused", f"the relay rejects this call of {len(orders)} orders as invalid: {orders[:3]}")
            self.stream.resync(orders)
        elif error is not None:
            self.log("call throttled", f"{error}; it will be sent again")
            self.requeue(orders)
            self.schedule_retry(THROTTLED_RETRY_S)
        else:
            self.stream.apply_orders(orders[:accepted])
            if not self.queue:
                self.unsure_slices.clear()
            if accepted < len(orders):
                self.on_order_refused(orders[accepted], orders[accepted + 1 :])
        if keep and connection.address == self.address:
            self.idle_timer = self.loop.call_later(IDLE_TIMEOUT_S, lambda: connection.close(CloseReason.CLOSED_BY_US))
            self.send_next()
        else:
            connection.close(CloseReason.CLOSED_BY_US)

    def on_order_refused(self, refused: dict, rest: list[dict]) -> None:
        """Requeue the orders after a refused one, except those of its slice and of slices that get a line to its
        server. Guards against a slice left without a line when only its new line is refused, and against a call for
        each of many orders that name an unknown server."""
        self.log("order refused", f"{refused}")
        slices = {refused.get("group")} | {
            f["group"] for f in rest if f["do"] == "SET" and f["weight"] and f["server"] == refused.get("server")
        }
        slices.discard(None)
        self.requeue([f for f in rest if f.get("group") not in slices])
        self.stream.resync([refused] + [f for f in rest if f.get("group") in slices])

    def connection_lost(self, connection: Connection | None, reason: CloseReason) -> None:
        sent = self.connection is connection is not None and not connection.write_buffer.size
        self.connection, self.connecting = None, False
        self.cancel_timer("answer_timer")
        self.cancel_timer("idle_timer")
        orders, self.in_flight = self.in_flight, []
        if orders and outcome(Role.CALL, reason, sent) is Outcome.UNKNOWN:
            self.log(
                "call outcome unknown", f"{reason.value}; {len(orders)} orders may or may not have been carried out"
            )
            self.unconfirmed = orders
            OutcomeCheck(self)
            return
        if orders:
            self.requeue(orders)
        if orders or reason not in (CloseReason.CLOSED_BY_US, CloseReason.CLOSED, CloseReason.RESET):
            self.log("call failed", f"{reason.value}; it will be sent again")
        if reason is CloseReason.CLOSED_BY_US:
            self.send_next()
        elif self.queue:
            self.schedule_retry(MIN_RECONNECT_DELAY_S if reason is CloseReason.CONNECT_TIMEOUT else self.retry_delay)
            if reason is not CloseReason.CONNECT_TIMEOUT:
                self.retry_delay = min(MAX_RECONNECT_DELAY_S, 2 * self.retry_delay)

    def on_outcome_known(self, done: bool) -> None:
        """The unconfirmed orders were carried out, or are sent again as if they were not."""
        orders, self.unconfirmed = self.unconfirmed, []
        if done:
            self.stream.apply_orders(orders)
        else:
            self.requeue(orders)
            self.unsure_slices.update(f["group"] for f in orders if "group" in f)
        self.send_next()

    def has_pending_orders(self, slice_id: int) -> bool:
        """Whether orders for a slice may or may not have taken effect yet."""
        pending = self.in_flight + self.unconfirmed
        return slice_id in self.unsure_slices or any(f.get("group") == slice_id for f in pending)


class StreamParser:
    """An incremental parser of the event stream: one JSON object on each line of a chunked response."""

    def __init__(self):
        self.parser, self.rest, self.status = http.ResponseParser(0), b"", 0

    def feed(self, data: bytes | memoryview) -> Iterator[tuple[str, dict]]:
        """Yield type and object of each line that these bytes complete, up to one that is invalid; a sign of life has
        the type "".

        >>> head = b"HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n"
        >>> list(StreamParser().feed(head + b"3\\r\\n{}\\n\\r\\n"))
        [('', {})]
        """
        for kind, value in self.parser.feed(data):
            if kind == "status":
                if value != 200:
                    raise ProtocolError(f"event stream answered with status {value}")
            elif kind == "end":
                raise ProtocolError("event stream ended, which the relay never does in normal operation")
            else:
                lines = (self.rest + value).split(b"\n")
                self.rest = lines.pop()
                if len(self.rest) > MAX_EVENT_BYTES:
                    raise MessageTooLongError(f"event exceeds {MAX_EVENT_BYTES} bytes")
                yield from (self.parse_line(line) for line in lines if line.strip())

    @staticmethod
    def parse_line(line: bytes) -> tuple[str, dict]:
        try:
            payload = json.loads(line)
            kind, fields = payload.get("type", ""), payload.get("object", {})
            if not (isinstance(kind, str) and isinstance(fields, dict)):
                raise ValueError("type or object is missing")
        except (ValueError, AttributeError) as fault:
            raise ProtocolError(f"invalid event: {fault}: {line[:80]!r}") from None
        return kind, fields


class OutcomeCheck:
    """Reads the current state on a connection of its own, to find out whether a call was carried out.

    A call is carried out entirely or not at all, so one line that it changed decides for all of it, and so does a
    receipt that it requested. If neither is found, the orders are sent again, which is safe: they are idempotent.
    """

    def __init__(self, sender: OrderSender):
        self.sender, self.parser = sender, StreamParser()
        self.done = False
        self.connection: Connection | None = None
        self.reading_slice: object = None  # the slice whose lines are being read
        # A line that only this call changed. After an outcome that stayed unknown the store may have held it before, so
        # unsure slices do not qualify.
        slices = sender.stream.slices
        self.expected_line = next(
            (
                (f["group"], f["server"], f["weight"])
                for f in sender.unconfirmed
                if f["do"] == "SET"
                and f["group"] not in sender.unsure_slices
                and slices.get(f["group"], {}).get(f["server"], 0.0) != f["weight"]
            ),
            None,
        )
        self.marks = {f["ticket"] for f in sender.unconfirmed if f["do"] == "SYNC"}
        sender.stream.outcome_check = self
        sender.loop.call_later(CHECK_TIMEOUT_S, lambda: self.finish(False))
        if self.expected_line:
            sender.loop.call_later(CALL_SETTLED_S, self.read_state)

    def read_state(self) -> None:
        if not self.done:
            self.parser, self.reading_slice = StreamParser(), None
            self.sender.loop.connect(self.sender.address, self, CONNECT_TIMEOUT_S)

    def on_receipt(self, mark: int) -> None:
        if mark in self.marks:
            self.finish(True)

    def finish(self, done: bool) -> None:
        if self.done:
            return
        self.done, self.sender.stream.outcome_check = True, None
        if self.connection:
            self.connection.close(CloseReason.CLOSED_BY_US)
        self.sender.log("call outcome settled", "carried out" if done else "sent again")
        self.sender.on_outcome_known(done)

    def connection_made(self, connection: Connection) -> None:
        self.connection = connection
        connection.write(http.build_request("%s:%d" % connection.address, "GET", "/v1/stream"))

    def data_received(self, connection: Connection, data: memoryview) -> None:
        slice_id, server, weight = self.expected_line or (None, None, None)
        for kind, fields in self.parser.feed(data):
            if kind != "line" and self.reading_slice == slice_id:
                self.finish(weight == 0)  # all lines of the slice have been read, and the server is not among them
            elif not kind and self.reading_slice is not None:
                self.finish(True)  # the slice is no longer ours: orders for it have no effect
            elif kind == "line" and fields.get("slice") == slice_id and fields.get("server") == server:
                self.finish(fields.get("weight") == weight)
            elif kind == "lease":
                self.reading_slice = fields.get("slice")
            if self.done:
                return

    def connection_lost(self, connection: Connection | None, reason: CloseReason) -> None:
        self.connection = None
        if not self.done:  # inconclusive: read again until the check times out
            self.sender.loop.call_later(CALL_SETTLED_S, self.read_state)


class RelayStream(PersistentConnection):
    """The event stream, and the state of proxies and slices as given by it and by the orders applied.

    A stream begins with the current state, which is complete when a sign of life follows it (as observed: nothing else
    marks its end, and the first sign of life may precede it). Until then slices are compared one by one with the known
    state, and only differences are reported.
    """

    def __init__(self, loop: Loop, address: tuple[str, int], enqueue: Callable, log: Log):
        super().__init__(loop, address)
        self.enqueue, self.log = enqueue, log
        self.sender: OrderSender  # set by OrderSender's constructor
        self.outcome_check: OutcomeCheck | None = None
        self.proxies: set[int] = set()
        self.zones: set[str] = set()  # of the proxies that have joined
        self.slices: dict[int, dict[str, float]] = {}  # weights by slice and server
        self.has_connected = False  # whether a stream has ever sent anything
        self.reading_state = False  # whether the current state is still being read
        self.signs_of_life = 0  # received on this connection
        self.seen: set[tuple[str, int]] = set()  # proxies and slices of the current state read so far
        self.current_slice: tuple[int, dict[str, float]] | None = None  # the slice whose lines are being read
        self.touched_slices: set[int] = set()  # changed by orders since the connection was made: its state may be older
        self.parser = StreamParser()
        self.silence_timer: Timer | None = None
        self.last_data_at = 0.0  # when bytes last arrived

    def apply_orders(self, orders: list[dict]) -> None:
        """Update the slices by orders that the relay has carried out."""
        for order in orders:
            lines = self.slices.get(order.get("group", -1))
            if order["do"] == "SET" and lines is not None:
                self.touched_slices.add(order["group"])
                lines.pop(order["server"], None)
                if order["weight"]:
                    lines[order["server"]] = order["weight"]

    def resync(self, orders: list[dict]) -> None:
        """Report the actual lines of these orders' slices: the orders were not carried out."""
        for slice_id in dict.fromkeys(f["group"] for f in orders if f.get("group") in self.slices):
            lines = self.slices[slice_id]
            self.remove_slice(slice_id)
            self.add_slice(slice_id, lines)

    def replay_state(self) -> None:
        """Report the whole state, for a conductor that starts without any."""
        for proxy in self.proxies:
            self.enqueue("joined", proxy)
        for slice_id, lines in self.slices.items():
            self.add_slice(slice_id, lines)

    # --- as a connection handler ---

    def connection_ready(self, connection: Connection) -> None:
        if self.has_connected:
            self.enqueue("receipts_lost")  # receipts of orders sent meanwhile are lost as well
        self.parser, self.reading_state, self.signs_of_life, self.seen, self.current_slice = (
            StreamParser(),
            True,
            0,
            set(),
            None,
        )
        self.touched_slices = set()
        self.last_data_at = self.loop.now()
        self.check_silence(connection)
        connection.write(http.build_request("%s:%d" % connection.address, "GET", "/v1/stream"))

    def check_silence(self, connection: Connection) -> None:
        """Close a silent stream, else check again later. One timer at a time: one an event would fill the memory."""
        if self.silence_timer:
            self.silence_timer.cancel()
        if self.loop.now() >= self.last_data_at + STREAM_TIMEOUT_S:
            connection.close(CloseReason.SILENT)
        else:
            self.silence_timer = self.loop.call_at(
                self.last_data_at + STREAM_TIMEOUT_S, lambda: self.check_silence(connection)
            )

    def data_received(self, connection: Connection, data: memoryview) -> None:
        self.last_data_at = self.loop.now()
        for kind, fields in self.parser.feed(data):
            self.has_connected, self.reconnect_delay = True, MIN_RECONNECT_DELAY_S
            try:
                if kind != "line":
                    self.end_slice()
                getattr(self, f"on_{kind or 'sign'}", self.on_unknown)(fields)
            except (ValueError, TypeError, KeyError, OverflowError) as fault:
                raise ProtocolError(f"invalid event: {kind}: {error_text(fault)}") from None

    def on_unknown(self, fields: dict) -> None:
        self.log("unknown event", f"{fields}")

    def on_sign(self, _fields: dict) -> None:
        # Called for a sign of life, an event without a type.
        self.signs_of_life += 1
        if self.reading_state and (self.seen or self.signs_of_life > 1):
            self.reading_state = False
            for proxy in [x for x in self.proxies if ("hello", x) not in self.seen]:
                self.on_bye({"proxy": proxy})
            for slice_id in [x for x in self.slices if ("lease", x) not in self.seen]:
                self.remove_slice(slice_id)

    def on_hello(self, fields: dict) -> None:
        proxy = parse_count(fields["proxy"])
        self.zones.add(str(fields.get("zone", "")))
        self.seen.add(("hello", proxy))
        if not self.reading_state:
            self.on_bye(
                fields
            )  # a proxy that joins is on a new stream, even if the end of the old one was not reported
        if proxy not in self.proxies:
            self.proxies.add(proxy)
            self.enqueue("joined", proxy)

    def on_bye(self, fields: dict) -> None:
        proxy = parse_count(fields["proxy"])
        self.seen.discard(("hello", proxy))
        if proxy in self.proxies:
            self.proxies.discard(proxy)
            self.enqueue("left", proxy)

    def on_ack(self, fields: dict) -> None:
        try:
            proxy, mark = parse_count(fields["proxy"]), parse_count(fields["mark"])
        except (ValueError, TypeError, KeyError) as fault:  # another proxy's receipt for the mark is as good
            self.log("receipt dropped", error_text(fault))
            return
        self.enqueue("applied", proxy, mark)
        if self.outcome_check:
            self.outcome_check.on_receipt(mark)

    def on_lease(self, fields: dict) -> None:
        slice_id = parse_count(fields["slice"])
        if not fields["on"]:
            self.seen.discard(("lease", slice_id))
            self.remove_slice(slice_id)
        elif self.reading_state:
            self.seen.add(("lease", slice_id))
            self.current_slice = slice_id, {}
        else:
            self.add_slice(slice_id, {})

    def on_line(self, fields: dict) -> None:
        slice_id, server, weight = parse_count(fields["slice"]), str(fields["server"]), parse_amount(fields["weight"])
        if self.current_slice and self.current_slice[0] == slice_id:
            self.current_slice[1][server] = weight
        elif slice_id in self.slices:
            self.slices[slice_id][server] = weight
            self.enqueue("held", slice_id, server, weight)

    def end_slice(self) -> None:
        """All lines of a slice of the current state have been read: report the slice if they are not as expected."""
        if self.current_slice is None:
            return
        slice_id, lines = self.current_slice
        self.current_slice = None
        if slice_id in self.slices and (self.slices[slice_id] == lines or slice_id in self.touched_slices):
            return
        if slice_id in self.slices and self.sender.has_pending_orders(slice_id):
            self.slices[slice_id] = lines
            return
        # Other lines than ours: another conductor held the slice in the meantime, so what was known of it is void.
        self.remove_slice(slice_id)
        self.add_slice(slice_id, lines)

    def add_slice(self, slice_id: int, lines: dict[str, float]) -> None:
        self.sender.drop_slice(slice_id)
        self.slices[slice_id] = dict(lines)
        self.enqueue("given", slice_id)
        for server, weight in lines.items():
            self.enqueue("held", slice_id, server, weight)

    def remove_slice(self, slice_id: int) -> None:
        if self.slices.pop(slice_id, None) is not None:
            self.sender.drop_slice(slice_id)
            self.enqueue("taken", slice_id)

    def connection_failed(self, connection: Connection | None, reason: CloseReason) -> None:
        if self.silence_timer and self.connection is None:
            self.silence_timer.cancel()
        if reason is not CloseReason.CLOSED_BY_US:
            effect = outcome(Role.STREAM, reason).value
            self.enqueue("receipts_lost")
            self.log("event stream lost", f"{reason.value}: {effect} {connection.error if connection else ''}")
