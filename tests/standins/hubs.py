"""A hub and subscribers without sockets: messages as bytes, in pipes that may lose, hold back or break."""

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


class Pipe:
    """One stream: what is on its way to the subscriber and back."""

    def __init__(self, cursor, subscriber):
        self.cursor, self.subscriber = cursor, subscriber
        self.down, self.up = [], []


class World:
    """A publisher and its subscribers on a clock that the test moves."""

    def __init__(self, settings=SMALL, table=None, seed=1, born=1.0):
        self.now, self.settings, self.random = 1000.0, settings, Random(seed)
        self.table = table or Table("e1")
        self.hub = Hub(self.table, settings, KEY, wire.encode_delta, seed)
        self.born = born
        self.pipes = {}  # by the subscriber's name
        self.inbox, self.notes, self.ended = [], [], []
        self.sent = {}  # by proxy: times
        self.rules = RuleChecker(settings, Limits(unserved_most=0.8), broadcast=False)  # judges each message sent
        self.flight = {}  # by stream and number: what the rules call it
        self.bytes = 0

    # --- as the hub's sender ---

    def send(self, cursor, message):
        pipe = self.pipes.get(cursor.name)
        assert pipe is not None and pipe.cursor is cursor
        pipe.down.append(message)
        self.bytes += len(message)
        if cursor.proxy is not None:
            self.sent.setdefault(cursor.proxy, []).append(self.now)
            told = json.loads(message)
            self.flight[cursor, told["n"]] = self.rules.record_message(self.now, {cursor.proxy}, lines_of(told))

    def end(self, cursor, why):
        self.ended.append((cursor.name, why))
        self.cut(cursor.name)

    def notify_module(self, handler, *arguments):
        self.inbox.append((handler, arguments))

    def log_event(self, kind, text):
        self.notes.append((kind, text))

    # --- streams ---

    def join(self, subscriber):
        """A new stream; what the publisher says to its hello."""
        hello = wire.Hello(json.loads(subscriber.hello()))
        try:
            cursor = self.hub.handle_hello(
                self.now, hello.name, hello.proxy, hello.wanted, hello.server_zone, hello.token, hello.has_table
            )
        except (RetryLaterError, MessageRejectedError) as fault:
            subscriber.handle_refusal(str(fault)) if isinstance(fault, MessageRejectedError) else None
            return fault
        self.pipes[subscriber.name] = Pipe(cursor, subscriber)
        if cursor.proxy is not None:
            self.rules.feed(self.now, [("joined", (cursor.proxy,))], [])
        subscriber.handle_message(self.now, {"t": "welcome", "epoch": self.table.epoch, "born": self.born})
        return cursor

    def cut(self, name):
        """A stream ends; what was on its way is lost."""
        pipe = self.pipes.pop(name, None)
        if pipe is not None:
            self.hub.remove(pipe.cursor)
            if pipe.cursor.proxy is not None:
                # Its account goes on over streams: the rules' proxy stays, only what was on its way is void.
                for _, _, _, to_come in self.rules.in_flight:
                    to_come.discard(pipe.cursor.proxy)

    def deliver(self, name, count=1 << 30):
        """Messages reach a subscriber, and its answers the hub."""
        pipe = self.pipes.get(name)
        while pipe is not None and pipe.down and count:
            count -= 1
            pipe.up += pipe.subscriber.handle_message(self.now, json.loads(pipe.down.pop(0)))
        while pipe is not None and pipe.up:
            self.answer(pipe, json.loads(pipe.up.pop(0)))

    def answer(self, pipe, told):
        if told["t"] == "ack":
            self.hub.handle_ack(self.now, pipe.cursor, told["n"], wire.parse_need(told), self)
            if (number := self.flight.pop((pipe.cursor, told["n"]), None)) is not None:
                self.rules.record_applied(pipe.cursor.proxy, number)
        else:
            self.hub.handle_nack(self.now, pipe.cursor, told["n"], told["why"], self)
            for _, _, _, to_come in self.rules.in_flight:
                to_come.discard(pipe.cursor.proxy)

    # --- time ---

    def order(self, *orders, inbox=()):
        self.hub.apply_round(self.now, inbox, orders)
        self.rules.feed(self.now, inbox, orders)

    def turn(self):
        return self.hub.send_due(self.now, self)

    def quiet(self, seconds=120.0, step=0.05):
        """Go on until nothing is under way; the seconds that it took."""
        begun = self.now
        while self.now < begun + seconds:
            due = self.turn()
            moved = False
            for name in list(self.pipes):
                moved = moved or bool(self.pipes[name].down)
                self.deliver(name)
            if not moved and due > self.now:
                if due == float("inf"):
                    return self.now - begun
                self.now = min(max(due, self.now + 0.001), self.now + 1.0)
        raise AssertionError("never quiet")

    def run(self, seconds, step=0.05):
        end = self.now + seconds
        while self.now < end:
            self.turn()
            for name in list(self.pipes):
                self.deliver(name)
            self.now += step

    def caps_kept(self):
        """The rules by their own checker, from what was sent and not by the hub's account."""
        return not self.rules.violations


def lines_of(told):
    """Lines of a message, as a checker counts them: what it sets, and the names of servers in use."""
    d = told["d"]
    parts = sum(max(1, len(p[2]) + len(p[3])) for p in d["s"])
    return parts + len(d["shut"]) + len(d["levels"]) + len(told.get("live", ()))


def filled(slices=60, servers=10, epoch="e1"):
    """A table."""
    table = Table(epoch)
    for k in range(slices):
        table.set_line(k, f"s{k % servers}", 1.0)
    return table


def proxies(count, seed=0):
    return [Subscriber(f"p{k}", seed + k, proxy=k) for k in range(count)]


def alike(world, subscribers):
    """Whether all hold the publisher's table."""
    want = sorted(world.table.rows())
    return all(s.next_slice is None and sorted(s.rows()) == want for s in subscribers)
