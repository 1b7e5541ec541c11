"""State for the tests: a conductor with servers and slices, a recorder of orders, a clock, links without sockets."""

import json

from knotwalk.decide import Conductor
from knotwalk.interface import Method, Settings
from knotwalk.net.loop import Timer, Unreadable
from knotwalk.net.ring import Ring

READ = Method(soft_deadline=1.5, criticality=3)
WRITE = Method(soft_deadline=1.0, criticality=9)
PLAIN = Settings(
    methods=(READ, WRITE), slices=4, one_owner=False, asked_list=False, retry_default=1, admits=True,
    report_period=1, message_delay=0.2, lines_waiting_most=1000, lines_per_message=10, messages_most=10,
    messages_span=10, dropped_stay_open=False, cold_share=0.2, cold_time=10)


class Recorder:
    """Orders as a list of tuples."""

    def __init__(self):
        self.orders = []

    def __getattr__(self, name):
        return lambda *arguments: self.orders.append((name, *arguments))

    def of(self, name):
        return [order[1:] for order in self.orders if order[0] == name]


def conductor(now=100.0, capacities=(), demands=(), at=(), **settings):
    """A conductor at `now`, with servers a, b, ... of these capacities and slices 0, 1, ... of these demands,
    slice k on server at[k]; nothing of it has to be told to proxy 0."""
    c = Conductor(PLAIN._replace(**{"slices": len(demands), **settings}), seed=1)
    c.now, c.heard_at, c.born, c.next_pass, c.list_due = now, now, True, now + 1000, float("inf")
    c.joined(0)
    c.listed(True, False, [("abcdefghij"[k], "east", "ready", 1.0, 0.0) for k in range(len(capacities))])
    for server, capacity in zip(c.servers.values(), capacities):
        server.capacity = capacity
    c.average = sum(capacities) / len(capacities) if capacities else 0.0
    for k, demand in enumerate(demands):
        c.given(k)
        s, server = c.slices[k], c.servers[at[k]]
        c.held(k, at[k], 1.0)
        s.demand, s.work = demand, [demand / 2, demand / 2]
        server.load += demand
    c.back = float("-inf")
    return c


class Clock:
    """A loop without sockets: timers go off as the time is moved, and connections are only noted."""

    def __init__(self):
        self.time, self.timers, self.connects = 1000.0, [], []

    def now(self):
        return self.time

    def at(self, when, call):
        timer = Timer(call)
        self.timers.append((when, timer))
        return timer

    def after(self, seconds, call):
        return self.at(self.time + seconds, call)

    def connect(self, address, peer, within):
        self.connects.append(peer)

    def move(self, seconds):
        until = self.time + seconds
        while due := sorted(((when, k) for k, (when, timer) in enumerate(self.timers) if when <= until)):
            self.time, timer = max(self.time, due[0][0]), self.timers.pop(due[0][1])[1]
            if timer.call:
                timer.call()
        self.time = until


class Wire:
    """A link without a socket: what is written and how it ended."""

    def __init__(self, peer):
        self.peer, self.written, self.over, self.out, self.fault = peer, b"", False, Ring(1 << 17), ""
        peer.opened(self)

    def write(self, data):
        self.written += data

    def feed(self, data):
        try:
            self.peer.fed(self, memoryview(data))
        except Unreadable as fault:
            self.end(fault.ending)

    def end(self, ending):
        if not self.over:
            self.over = ending
            self.peer.ended(self, ending)


def answer(body, status="200 OK"):
    """An HTTP answer."""
    text = body if isinstance(body, str) else json.dumps(body)
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(text)}\r\n\r\n{text}".encode()


def lines(*objects, head=True):
    """News, a chunk a line; "" stands for a sign of life."""
    out = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" if head else ""
    for kind, f in objects:
        text = json.dumps({"type": kind, "object": f} if kind else {}) + "\n"
        out += f"{len(text):x}\r\n{text}\r\n"
    return out.encode()
