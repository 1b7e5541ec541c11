"""The relay: calls that carry orders, and news of proxies and slices.

Owns the order of calls, one under way at a time, and what stands by the news and by the orders taken. It
must never drop an order whose fate is unknown, tell anything that stood all along as new, or choose which
orders to give.
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

MAX_CALL_BYTES = 60_000  # bytes of orders in a call, as the protocol has it
ANSWER_TIMEOUT_S = 0.15  # an answer comes within 50 ms or never; the rest is for a late loop
IDLE_TIMEOUT_S = 1.0  # seconds a connection is kept for the next call: the relay closes idle ones by itself
MAX_ANSWER_BYTES = 1 << 16  # bytes of an answer: it holds one number
THROTTLED_RETRY_S = 0.1  # seconds before a call turned away before the run goes again
STREAM_TIMEOUT_S = 1.8  # a sign of life comes every second: one missed, and some for a late loop
MAX_EVENT_BYTES = 1 << 20  # bytes of one line of news
CALL_SETTLED_S = 0.06  # seconds after which a call was carried out or never will be: answers come in 50 ms
CHECK_TIMEOUT_S = 1.5  # seconds for a look at what stands: a sign of life, at the latest its end, comes in 1


def order_key(order: dict) -> tuple:
    """What an order sets: a later one of the same key takes its place."""
    if order["do"] == "SYNC":
        return ("SYNC",)
    if order["do"] in ("OUT", "IN"):
        return ("OUT", order["server"])
    return (order["do"], order.get("group"), order.get("server"), *order.get("classes", ()))


class OrderSender:
    """Orders on their way, as calls one after the other."""

    def __init__(self, loop: Loop, address: tuple[str, int], stream: "RelayStream", log: Log):
        self.loop, self.address, self.stream, self.log = loop, address, stream, log
        self.queue: dict[tuple, dict] = {}  # orders not yet in a call
        self.in_flight: list[dict] = []  # those of the call that waits for its answer
        self.unconfirmed: list[dict] = []  # those of a call whose outcome is unknown
        self.lost_slices: set[int] = set()  # slices lost since that call went out
        self.unsure_slices: set[int] = set()  # slices with a doubt left open, till their orders are taken
        self.connection: Connection | None = None
        self.connecting = False
        self.parser, self.status, self.body = http.ResponseParser(MAX_ANSWER_BYTES), 0, b""
        self.answer_timer: Timer | None = None
        self.idle_timer: Timer | None = None
        self.retry_timer: Timer | None = None
        self.retry_delay = MIN_RECONNECT_DELAY_S
        stream.sender = self

    def add_orders(self, orders: list[dict]) -> None:
        """Add a round's orders; they go at once, or with the next call."""
        for order in orders:
            self.queue.pop(order_key(order), None)
            self.queue[order_key(order)] = order
        self.send_next()

    def drop_slice(self, slice_id: int) -> None:
        """Drop what is not yet sent for a slice: it was taken from us, or given anew with other lines."""
        self.lost_slices.add(slice_id)
        for k in [k for k, order in self.queue.items() if order.get("group") == slice_id]:
            del self.queue[k]

    def requeue(self, orders: list[dict]) -> None:
        """Orders that were not carried out go first again, unless newer ones took their place."""
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

    def cancel_timer(self, timer: str) -> None:
        if getattr(self, timer):
            getattr(self, timer).cancel()
            setattr(self, timer, None)

    def schedule_retry(self, wait: float) -> None:
        def go() -> None:
            self.retry_timer = None
            self.send_next()

        self.retry_timer = self.retry_timer or self.loop.call_later(wait, go)

    def change_address(self, address: tuple[str, int]) -> None:
        """From now on calls go there; the one under way is settled where it went."""
        self.address, self.retry_delay = address, MIN_RECONNECT_DELAY_S
        self.cancel_timer("retry_timer")
        if self.connection and not self.in_flight:
            self.connection.close(CloseReason.LEFT)
        self.send_next()

    # --- as a peer ---

    def connection_made(self, connection: Connection) -> None:
        if connection.address != self.address:
            connection.close(CloseReason.LEFT)  # moved meanwhile
            return
        self.connecting, self.connection = False, connection
        self.parser = http.ResponseParser(MAX_ANSWER_BYTES)
        self.send_next()

    def data_received(self, connection: Connection, data: memoryview) -> None:
        for kind, value in self.parser.feed(data):
            if not self.in_flight:
                raise ProtocolError("an answer to no call")
            if kind == "status":
                self.status = value
            elif kind == "piece":
                self.body += value
            else:
                self.on_answer(connection, keep=value)

    def on_answer(self, connection: Connection, keep: bool) -> None:
        try:
            told = json.loads(self.body)
            error = told.get("error")
            if error not in (None, "throttled", "invalid"):
                raise ValueError(f"no such error: {error!r}"[:80])
            if error is None and (self.status != 200 or type(told["accepted"]) is not int):
                raise ValueError(f"{self.status} {self.body[:80]!r}")
            accepted = 0 if error else parse_count(told["accepted"], len(self.in_flight))
        except (ValueError, TypeError, AttributeError, KeyError) as fault:
            raise ProtocolError(f"no answer to a call: {error_text(fault)}") from None
        orders, self.in_flight = self.in_flight, []
        self.cancel_timer("answer_timer")
        self.retry_delay = MIN_RECONNECT_DELAY_S
        if error == "invalid":
            self.log("orders refused", f"the relay cannot read this call of {len(orders)}: {orders[:3]}")
            self.stream.resync(orders)
        elif error is not None:
            self.log("call turned away", f"{error}, tried again")
            self.requeue(orders)
            self.schedule_retry(THROTTLED_RETRY_S)
        else:
            self.stream.apply_orders(orders[:accepted])
            if not self.queue:
                self.unsure_slices.clear()
            if accepted < len(orders):
                self.on_order_refused(orders[accepted], orders[accepted + 1 :])
        if keep and connection.address == self.address:
            self.idle_timer = self.loop.call_later(IDLE_TIMEOUT_S, lambda: connection.close(CloseReason.LEFT))
            self.send_next()
        else:
            connection.close(CloseReason.LEFT)

    def on_order_refused(self, bad: dict, rest: list[dict]) -> None:
        """One order cannot be used: the rest goes on, but for what belongs to it. Guards against a slice left
        with no line when only the one that was to replace it is refused, and a call for each of many."""
        self.log("order refused", f"{bad}")
        slices = {bad.get("group")} | {
            f["group"] for f in rest if f["do"] == "SET" and f["weight"] and f["server"] == bad.get("server")
        }
        slices.discard(None)
        self.requeue([f for f in rest if f.get("group") not in slices])
        self.stream.resync([bad] + [f for f in rest if f.get("group") in slices])

    def connection_lost(self, connection: Connection | None, reason: CloseReason) -> None:
        sent = self.connection is connection is not None and not connection.write_buffer.size
        self.connection, self.connecting = None, False
        self.cancel_timer("answer_timer")
        self.cancel_timer("idle_timer")
        orders, self.in_flight = self.in_flight, []
        if orders and outcome(Role.CALL, reason, sent) is Outcome.UNSURE:
            self.log("call in doubt", f"{reason.value}; {len(orders)} orders stand or not")
            self.unconfirmed = orders
            OutcomeCheck(self)
            return
        if orders:
            self.requeue(orders)
        if orders or reason not in (CloseReason.LEFT, CloseReason.CLOSED, CloseReason.RESET):
            self.log("call failed", f"{reason.value}, tried again")
        if reason is CloseReason.LEFT:
            self.send_next()
        elif self.queue:
            self.schedule_retry(MIN_RECONNECT_DELAY_S if reason is CloseReason.TIMED_OUT else self.retry_delay)
            if reason is not CloseReason.TIMED_OUT:
                self.retry_delay = min(MAX_RECONNECT_DELAY_S, 2 * self.retry_delay)

    def on_outcome_known(self, done: bool) -> None:
        """The orders in doubt are known to stand, or are given again as if they did not."""
        orders, self.unconfirmed = self.unconfirmed, []
        if done:
            self.stream.apply_orders(orders)
        else:
            self.requeue(orders)
            self.unsure_slices.update(f["group"] for f in orders if "group" in f)
        self.send_next()

    def has_pending_orders(self, slice_id: int) -> bool:
        """Whether a slice's lines may be as ordered already, or not yet."""
        pending = self.in_flight + self.unconfirmed
        return slice_id in self.unsure_slices or any(f.get("group") == slice_id for f in pending)


class StreamParser:
    """The machine of a stream of news: objects out of bytes in any pieces."""

    def __init__(self):
        self.parser, self.rest, self.status = http.ResponseParser(0), b"", 0

    def feed(self, data: bytes | memoryview) -> Iterator[tuple[str, dict]]:
        """Kind and object of each line that these bytes finish, up to one that cannot be read; a sign of life
        has the kind "".

        >>> head = b"HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n"
        >>> list(StreamParser().feed(head + b"3\\r\\n{}\\n\\r\\n"))
        [('', {})]
        """
        for kind, value in self.parser.feed(data):
            if kind == "status":
                if value != 200:
                    raise ProtocolError(f"answer {value} in place of news")
            elif kind == "end":
                raise ProtocolError("the news ended in order, which it never does")
            else:
                lines = (self.rest + value).split(b"\n")
                self.rest = lines.pop()
                if len(self.rest) > MAX_EVENT_BYTES:
                    raise MessageTooLongError(f"a line of news of over {MAX_EVENT_BYTES} bytes")
                yield from (self.line(line) for line in lines if line.strip())

    @staticmethod
    def line(line: bytes) -> tuple[str, dict]:
        try:
            told = json.loads(line)
            kind, f = told.get("type", ""), told.get("object", {})
            if not (isinstance(kind, str) and isinstance(f, dict)):
                raise ValueError("no type and object")
        except (ValueError, AttributeError) as fault:
            raise ProtocolError(f"no news: {fault}: {line[:80]!r}") from None
        return kind, f


class OutcomeCheck:
    """A look at what stands, on a connection of its own, to learn whether a call was carried out.

    A call is carried out whole or not at all, so one line that it changed tells for all of it, and so does a
    receipt that it asked for. Where neither shows, the orders are given again: they set and do not add.
    """

    def __init__(self, sender: OrderSender):
        self.sender, self.parser = sender, StreamParser()
        self.done = False
        self.connection: Connection | None = None
        self.reading_slice: object = None  # the one whose lines are being read
        # A line that the call alone changed; after a doubt left open, the store may have held it before.
        held = sender.stream.slices
        self.expected_line = next(
            (
                (f["group"], f["server"], f["weight"])
                for f in sender.unconfirmed
                if f["do"] == "SET"
                and f["group"] not in sender.unsure_slices
                and held.get(f["group"], {}).get(f["server"], 0.0) != f["weight"]
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
            self.connection.close(CloseReason.LEFT)
        self.sender.log("doubt settled", "carried out" if done else "given again")
        self.sender.on_outcome_known(done)

    def connection_made(self, connection: Connection) -> None:
        self.connection = connection
        connection.write(http.build_request("%s:%d" % connection.address, "GET", "/v1/stream"))

    def data_received(self, connection: Connection, data: memoryview) -> None:
        slice_id, server, weight = self.expected_line or (None, None, None)
        for kind, f in self.parser.feed(data):
            if kind != "line" and self.reading_slice == slice_id:
                self.finish(weight == 0)  # all its lines have been read, and this is none of them
            elif not kind and self.reading_slice is not None:
                self.finish(True)  # the slice is no longer ours: orders for it change nothing
            elif kind == "line" and f.get("slice") == slice_id and f.get("server") == server:
                self.finish(f.get("weight") == weight)
            elif kind == "lease":
                self.reading_slice = f.get("slice")
            if self.done:
                return

    def connection_lost(self, connection: Connection | None, reason: CloseReason) -> None:
        self.connection = None
        if not self.done:  # nothing learnt: look again until the time is up
            self.sender.loop.call_later(CALL_SETTLED_S, self.read_state)


class RelayStream(PersistentConnection):
    """The stream of news, and what stands by it and by the orders taken.

    A connection begins with what stands; that has been read when a sign of life follows it (seen: no other
    mark shows its end, and the first sign of life may come ahead of it). Until then slices are compared with
    what was known, one by one, and only what differs is told.
    """

    def __init__(self, loop: Loop, address: tuple[str, int], enqueue: Callable, log: Log):
        super().__init__(loop, address)
        self.enqueue, self.log = enqueue, log
        self.sender: OrderSender  # sets itself
        self.outcome_check: OutcomeCheck | None = None
        self.proxies: set[int] = set()
        self.zones: set[str] = set()  # of the proxies that joined
        self.slices: dict[int, dict[str, float]] = {}  # lines by server
        self.has_connected = False  # whether a stream has ever come up
        self.reading_state = False  # whether what stands is still being read
        self.signs_of_life = 0  # signs of life on this connection
        self.seen: set[tuple[str, int]] = set()  # what stands, as far as it has been read
        self.current_slice: tuple[int, dict[str, float]] | None = None  # the slice whose lines are being read
        self.touched_slices: set[int] = set()  # slices ordered since the connection came up: it may be behind
        self.parser = StreamParser()
        self.silence_timer: Timer | None = None
        self.last_data_at = 0.0  # when bytes last came

    def apply_orders(self, orders: list[dict]) -> None:
        """Orders that the relay has carried out."""
        for f in orders:
            lines = self.slices.get(f.get("group", -1))
            if f["do"] == "SET" and lines is not None:
                self.touched_slices.add(f["group"])
                lines.pop(f["server"], None)
                if f["weight"]:
                    lines[f["server"]] = f["weight"]

    def resync(self, orders: list[dict]) -> None:
        """Orders that were not taken: the module hears what stands for their slices in place of them."""
        for slice_id in dict.fromkeys(f["group"] for f in orders if f.get("group") in self.slices):
            lines = self.slices[slice_id]
            self.remove_slice(slice_id)
            self.add_slice(slice_id, lines)

    def replay_state(self) -> None:
        """Tell all that stands, to a module that starts from nothing."""
        for proxy in self.proxies:
            self.enqueue("joined", proxy)
        for slice_id, lines in self.slices.items():
            self.add_slice(slice_id, lines)

    # --- as a peer ---

    def connection_ready(self, connection: Connection) -> None:
        if self.has_connected:
            self.enqueue("receipts_lost")  # as are those of what was ordered meanwhile
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
        """One timer at a time: one for each piece of news would fill the memory."""
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
        for kind, f in self.parser.feed(data):
            self.has_connected, self.reconnect_delay = True, MIN_RECONNECT_DELAY_S
            try:
                if kind != "line":
                    self.end_slice()
                getattr(self, f"on_{kind or 'sign'}", self.on_unknown)(f)
            except (ValueError, TypeError, KeyError, OverflowError) as fault:
                raise ProtocolError(f"no news: {kind}: {error_text(fault)}") from None

    def on_unknown(self, f: dict) -> None:
        self.log("news unknown", f"{f}")

    def on_sign(self, _f: dict) -> None:
        self.signs_of_life += 1
        if self.reading_state and (self.seen or self.signs_of_life > 1):
            self.reading_state = False
            for proxy in [x for x in self.proxies if ("hello", x) not in self.seen]:
                self.on_bye({"proxy": proxy})
            for slice_id in [x for x in self.slices if ("lease", x) not in self.seen]:
                self.remove_slice(slice_id)

    def on_hello(self, f: dict) -> None:
        proxy = parse_count(f["proxy"])
        self.zones.add(str(f.get("zone", "")))
        self.seen.add(("hello", proxy))
        if not self.reading_state:
            self.on_bye(f)  # one that joins is on a new stream, though the end of the old was not told
        if proxy not in self.proxies:
            self.proxies.add(proxy)
            self.enqueue("joined", proxy)

    def on_bye(self, f: dict) -> None:
        proxy = parse_count(f["proxy"])
        self.seen.discard(("hello", proxy))
        if proxy in self.proxies:
            self.proxies.discard(proxy)
            self.enqueue("left", proxy)

    def on_ack(self, f: dict) -> None:
        try:
            proxy, mark = parse_count(f["proxy"]), parse_count(f["mark"])
        except (ValueError, TypeError, KeyError) as fault:  # another's answer to it tells as much
            self.log("answer to a mark dropped", error_text(fault))
            return
        self.enqueue("applied", proxy, mark)
        if self.outcome_check:
            self.outcome_check.on_receipt(mark)

    def on_lease(self, f: dict) -> None:
        slice_id = parse_count(f["slice"])
        if not f["on"]:
            self.seen.discard(("lease", slice_id))
            self.remove_slice(slice_id)
        elif self.reading_state:
            self.seen.add(("lease", slice_id))
            self.current_slice = slice_id, {}
        else:
            self.add_slice(slice_id, {})

    def on_line(self, f: dict) -> None:
        slice_id, server, weight = parse_count(f["slice"]), str(f["server"]), parse_amount(f["weight"])
        if self.current_slice and self.current_slice[0] == slice_id:
            self.current_slice[1][server] = weight
        elif slice_id in self.slices:
            self.slices[slice_id][server] = weight
            self.enqueue("held", slice_id, server, weight)

    def end_slice(self) -> None:
        """All lines of a slice that stands are there: nothing is told if they are the ones that we left."""
        if self.current_slice is None:
            return
        slice_id, lines = self.current_slice
        self.current_slice = None
        if slice_id in self.slices and (self.slices[slice_id] == lines or slice_id in self.touched_slices):
            return
        if slice_id in self.slices and self.sender.has_pending_orders(slice_id):
            self.slices[slice_id] = lines
            return
        # Other lines than ours: another conductor had it in the meantime, and what was thought of it is void.
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
        if reason is not CloseReason.LEFT:
            means = outcome(Role.NEWS, reason).value
            self.enqueue("receipts_lost")
            self.log("news lost", f"{reason.value}: {means} {connection.error if connection else ''}")
