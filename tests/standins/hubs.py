"""A hub and its subscribers without sockets: messages as bytes, on simulated streams that may delay, lose or break."""

import json
from random import Random

from knotwalk.pubsub import wire
from knotwalk.pubsub.hub import Hub, MessageRejectedError, RetryLaterError
from knotwalk.pubsub.subscriber import Subscriber
from knotwalk.pubsub.versions import Table
from knotwalk.rules import Limits, RuleChecker
from standins.day import Size, settings_of

KEY = b"k" * 32
SMALL = settings_of(Size())


class SimulatedStream:
    """One stream: the messages in transit to the subscriber and to the hub."""

    def __init__(self, cursor, subscriber):
        self.cursor, self.subscriber = cursor, subscriber
        self.to_subscriber, self.to_hub = [], []


class HubHarness:
    """A publisher's hub and its subscribers on a clock that the test advances."""

    def __init__(self, settings=SMALL, table=None, seed=1, born=1.0):
        self.now, self.settings, self.random = 1000.0, settings, Random(seed)
        self.table = table or Table("e1")
        self.hub = Hub(self.table, settings, KEY, wire.encode_delta, seed)
        self.born = born
        self.streams = {}  # by subscriber name
        self.inbox, self.notes, self.ended = [], [], []
        self.sent = {}  # by proxy: times of the messages sent
        self.rules = RuleChecker(settings, Limits(unserved_most=0.8), broadcast=False)  # checks each message sent
        self.in_flight = {}  # by cursor and message number: the rule checker's number
        self.bytes = 0

    # --- the hub's sender interface ---

    def send(self, cursor, message):
        stream = self.streams.get(cursor.name)
        assert stream is not None and stream.cursor is cursor
        stream.to_subscriber.append(message)
        self.bytes += len(message)
        if cursor.proxy is not None:
            self.sent.setdefault(cursor.proxy, []).append(self.now)
            payload = json.loads(message)
            self.in_flight[cursor, payload["n"]] = self.rules.record_message(
                self.now, {cursor.proxy}, lines_of(payload)
            )

    def end(self, cursor, why):
        self.ended.append((cursor.name, why))
        self.disconnect(cursor.name)

    def notify_module(self, handler, *arguments):
        self.inbox.append((handler, arguments))

    def log_event(self, kind, text):
        self.notes.append((kind, text))

    # --- streams ---

    def join(self, subscriber):
        """Open a stream; return the hub's cursor, or the exception with which it refuses the hello."""
        hello = wire.Hello(json.loads(subscriber.hello()))
        try:
            cursor = self.hub.handle_hello(
                self.now, hello.name, hello.proxy, hello.wanted, hello.server_zone, hello.token, hello.has_table
            )
        except (RetryLaterError, MessageRejectedError) as fault:
            subscriber.handle_refusal(str(fault)) if isinstance(fault, MessageRejectedError) else None
            return fault
        self.streams[subscriber.name] = SimulatedStream(cursor, subscriber)
        if cursor.proxy is not None:
            self.rules.feed(self.now, [("joined", (cursor.proxy,))], [])
        subscriber.handle_message(self.now, {"t": "welcome", "epoch": self.table.epoch, "born": self.born})
        return cursor

    def disconnect(self, name):
        """Close a stream; messages in transit are lost."""
        stream = self.streams.pop(name, None)
        if stream is not None:
            self.hub.remove(stream.cursor)
            if stream.cursor.proxy is not None:
                # A proxy's budget spans its streams: it stays known to the rules; only messages in transit are void.
                for _, _, _, to_come in self.rules.in_flight:
                    to_come.discard(stream.cursor.proxy)

    def deliver(self, name, count=1 << 30):
        """Deliver up to `count` messages to a subscriber, and its answers to the hub."""
        stream = self.streams.get(name)
        while stream is not None and stream.to_subscriber and count:
            count -= 1
            stream.to_hub += stream.subscriber.handle_message(self.now, json.loads(stream.to_subscriber.pop(0)))
        while stream is not None and stream.to_hub:
            self.answer(stream, json.loads(stream.to_hub.pop(0)))

    def answer(self, stream, payload):
        if payload["t"] == "ack":
            self.hub.handle_ack(self.now, stream.cursor, payload["n"], wire.parse_need(payload), self)
            if (number := self.in_flight.pop((stream.cursor, payload["n"]), None)) is not None:
                self.rules.record_applied(stream.cursor.proxy, number)
        else:
            self.hub.handle_nack(self.now, stream.cursor, payload["n"], payload["why"], self)
            for _, _, _, to_come in self.rules.in_flight:
                to_come.discard(stream.cursor.proxy)

    # --- time ---

    def order(self, *orders, inbox=()):
        self.hub.apply_round(self.now, inbox, orders)
        self.rules.feed(self.now, inbox, orders)

    def turn(self):
        return self.hub.send_due(self.now, self)

    def run_until_idle(self, seconds=120.0, step=0.05):
        """Run until nothing is in transit or due; return the seconds that it took."""
        started_at = self.now
        while self.now < started_at + seconds:
            due = self.turn()
            moved = False
            for name in list(self.streams):
                moved = moved or bool(self.streams[name].to_subscriber)
                self.deliver(name)
            if not moved and due > self.now:
                if due == float("inf"):
                    return self.now - started_at
                self.now = min(max(due, self.now + 0.001), self.now + 1.0)
        raise AssertionError("not idle in time")

    def run(self, seconds, step=0.05):
        end = self.now + seconds
        while self.now < end:
            self.turn()
            for name in list(self.streams):
                self.deliver(name)
            self.now += step

    def are_limits_kept(self):
        """Whether the rule checker, which sees the messages sent and not the hub's own budget, found no violation."""
        return not self.rules.violations


def lines_of(payload):
    """The lines of a message as the rule checker counts them: what it sets, and the names of servers in use."""
    d = payload["d"]
    parts = sum(max(1, len(p[2]) + len(p[3])) for p in d["s"])
    return parts + len(d["shut"]) + len(d["levels"]) + len(payload.get("live", ()))


def filled(slices=60, servers=10, epoch="e1"):
    """A table with one line for each slice."""
    table = Table(epoch)
    for k in range(slices):
        table.set_line(k, f"s{k % servers}", 1.0)
    return table


def proxies(count, seed=0):
    return [Subscriber(f"p{k}", seed + k, proxy=k) for k in range(count)]


def alike(world, subscribers):
    """Whether all subscribers hold the publisher's table."""
    expected = sorted(world.table.rows())
    return all(s.next_slice is None and sorted(s.rows()) == expected for s in subscribers)
