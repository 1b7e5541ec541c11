"""Stand-ins for the platform: a clock that the test advances, connections without sockets, a relay and discovery."""

import json
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

import httptools

from knotwalk.net.close_reason import CloseReason
from knotwalk.net.loop import Loop, ProtocolError, Timer
from knotwalk.net.ring import RingBuffer


class Clock:
    """A loop without sockets: timers fire as the test advances time, and connection attempts are only recorded."""

    def __init__(self):
        self.time, self.timers, self.connects = 1000.0, [], []

    def now(self):
        return self.time

    def call_at(self, when, call):
        timer = Timer(call)
        self.timers.append((when, timer))
        return timer

    def call_later(self, seconds, call):
        return self.call_at(self.time + seconds, call)

    def connect(self, address, peer, within):
        self.connects.append(peer)

    def move(self, seconds):
        until = self.time + seconds
        while due := sorted(((when, k) for k, (when, timer) in enumerate(self.timers) if when <= until)):
            self.time, timer = max(self.time, due[0][0]), self.timers.pop(due[0][1])[1]
            if timer.callback:
                timer.callback()
        self.time = until


class Wire:
    """A connection without a socket: records the bytes written and the reason for the close."""

    def __init__(self, peer, address=("127.0.0.1", 1)):
        self.peer, self.written, self.closed, self.write_buffer, self.error = peer, b"", False, RingBuffer(1 << 17), ""
        self.address = address
        peer.connection_made(self)

    def write(self, data):
        self.written += data

    def feed(self, data):
        if self.closed:
            return
        try:
            self.peer.data_received(self, memoryview(data))
        except ProtocolError as fault:
            self.close(fault.close_reason)

    def close(self, close_reason):
        if not self.closed:
            self.closed = close_reason
            self.peer.connection_lost(self, close_reason)


def answer(body, status="200 OK"):
    """Returns an HTTP response."""
    text = body if isinstance(body, str) else json.dumps(body)
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(text)}\r\n\r\n{text}".encode()


def lines(*objects, head=True):
    """Returns a stream of events as chunked lines of JSON; the kind "" is a heartbeat."""
    response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" if head else ""
    for kind, fields in objects:
        text = json.dumps({"type": kind, "object": fields} if kind else {}) + "\n"
        response += f"{len(text):x}\r\n{text}\r\n"
    return response.encode()


TIMEOUT_S = 90.0  # for any single wait on a busy machine; an idle one needs a few seconds

SETTINGS = {
    "classes": [{"name": "read", "slo_us": 1500000, "worth": 3.0}],
    "tick_us": 1000,
    "family_info": {
        "partitions_n": 2,
        "admit": "fraction",
        "retry_default": 1,
        "period_us": 2000000,
        "push_delay_us": 200000,
        "most_waiting": 20000,
        "fixed_cost": 16,
        "messages_most": 12,
        "reload_span_us": 10000000,
    },
}


class StandIn:
    """Relay and discovery service for one conductor, on a loop that the test runs.

    `calls` lists the orders of each call received, `connections` all connections, `streams` those with an event stream.
    """

    def __init__(self, loop=None):
        self.loop = loop or Loop()
        self.calls, self.connections, self.streams = [], [], []
        # File descriptor limit and policy settings in the program's configuration.
        self.sockets, self.settings = 64, SETTINGS
        self.servers = [{"id": id, "zone": "z", "state": "active"} for id in ("a", "b")]
        self.version, self.slices, self.proxies = 1, {0: {"a": 1.0}, 1: {"b": 1.0}}, [1]
        # Whether a call is executed and answered; None: executed, but the connection closes without an answer.
        self.fate = lambda orders: True
        self.address = "%s:%d" % self.loop.listen(("127.0.0.1", 0), lambda: Session(self)).sock.getsockname()

    def until(self, condition, seconds=TIMEOUT_S):
        """Runs the loop until a condition holds; returns its value."""
        end = self.loop.now() + seconds
        while not (value := condition()):
            assert self.loop.now() < end, "the condition did not hold in time"
            self.loop.call_later(0.02, lambda: None)
            self.loop.run_once()
        return value

    def send_events(self, *objects):
        for connection in self.streams:
            connection.write(lines(*objects, head=False))

    def state_events(self):
        """Returns the current state as events."""
        events = [("hello", {"proxy": x, "zone": "z", "weight": 1.0, "fresh": True}) for x in self.proxies]
        for slice_id, held in self.slices.items():
            events.append(("lease", {"slice": slice_id, "on": True}))
            events += [("line", {"slice": slice_id, "server": x, "weight": w}) for x, w in held.items()]
        return events

    def carry_out(self, orders):
        for order in orders:
            if order["do"] == "SET":
                held = self.slices[order["group"]]
                held.pop(order["server"], None)
                if order["weight"]:
                    held[order["server"]] = order["weight"]

    def start(self, listen="127.0.0.1:0", stderr=subprocess.PIPE, arguments=()):
        """Starts the program; returns the address that it prints."""
        self.config_document = {
            "name": "n0",
            "listen": listen,
            "discovery": self.address,
            "seed": "5",
            "limits": {"memory_mb": 192, "sockets": self.sockets},
            "hub": {"address": self.address},
            "known": {"version": 1, "full": True, "servers": self.servers},
            "settings": self.settings,
        }
        self.config = tempfile.NamedTemporaryFile("w", suffix=".json")
        self.configure()
        self.program = run(
            {"EDGE_CONFIG": self.config.name, "EDGE_DISCOVERY": self.address}, "serve", *arguments, stderr=stderr
        )
        if self.program.stderr:
            while not (line := self.program.stderr.readline()).startswith("knotwalk serving"):
                assert line, "the program ended before it served"
                if line.startswith("knotwalk publishing"):
                    self.published = line.split()[3].rstrip(",")
            listen = line.split()[-1]
        host, _, port = listen.rpartition(":")
        return host, int(port)

    def configure(self, **changes):
        """Writes the configuration file with these changes."""
        Path(self.config.name).write_text(json.dumps({**self.config_document, **changes}))

    def reload(self, **changes):
        self.configure(**changes)
        self.program.send_signal(signal.SIGHUP)

    def stop(self):
        """Sends SIGTERM; returns the exit code."""
        self.program.terminate()
        return self.program.wait(TIMEOUT_S)


class Session:
    """One connection to the stand-in, as a handler of the loop."""

    def __init__(self, stand):
        self.stand, self.body, self.path = stand, b"", ""
        self.parser = httptools.HttpRequestParser(self)

    def connection_made(self, connection):
        self.connection = connection
        self.stand.connections.append(connection)

    def data_received(self, connection, data):
        self.parser.feed_data(data)

    def on_url(self, url):
        self.path, self.body = url.decode(), b""

    def on_body(self, body):
        self.body += body

    def on_message_complete(self):
        stand, connection = self.stand, self.connection
        if self.path.startswith("/v1/servers"):
            full, version = "since" not in self.path, stand.version
            if not full and int(self.path.split("since=")[1].split("&")[0]) == version:
                nothing = answer({"version": version, "full": False, "servers": []})
                stand.loop.call_later(0.1, lambda: connection.write(nothing))
            else:
                connection.write(answer({"version": version, "full": full, "servers": stand.servers}))
        elif self.path == "/v1/stream":
            stand.streams.append(connection)
            connection.write(lines(*stand.state_events(), ("", {})))
            self.send_heartbeat()
        else:
            orders = json.loads(self.body)["orders"]
            stand.calls.append(orders)
            fate = stand.fate(orders)
            if fate is not False:
                stand.carry_out(orders)
            if fate:
                connection.write(answer({"accepted": len(orders)}))
            else:
                connection.close(CloseReason.CLOSED_BY_US)

    def send_heartbeat(self):
        if not self.connection.closed:
            self.connection.write(lines(("", {}), head=False))
            self.stand.loop.call_later(1.0, self.send_heartbeat)

    def connection_lost(self, connection, close_reason):
        if connection in self.stand.streams:
            self.stand.streams.remove(connection)


def run(environ, *arguments, stderr=subprocess.PIPE):
    """Starts the program as a subprocess."""
    command = [sys.executable, "-m", "knotwalk", *(arguments or ("serve",))]
    return subprocess.Popen(
        command, env=environ, cwd=Path(__file__).parent.parent.parent, stdout=subprocess.PIPE, stderr=stderr, text=True
    )


def call(address, data, count=0, seconds=TIMEOUT_S):
    """Sends bytes to the program; returns the socket and up to `count` bytes of the response."""
    sock = socket.create_connection(address, seconds)
    sock.sendall(data)
    return sock, sock.recv(count) if count else b""
