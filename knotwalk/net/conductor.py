"""The conductor: hosts the module between its peers on sockets.

Owns the inbox, the rounds and the writer of orders. It must never decide anything, keep a tuned value, or call
the module other than once a round with all that came in.
"""

import json
import os
import signal
import sys
import traceback
from collections.abc import Mapping

from knotwalk.decide import Conductor
from knotwalk.net.collectors import Callers
from knotwalk.net.discovery import Watch, entry
from knotwalk.net.log import Log
from knotwalk.net.loop import Loop, Timer
from knotwalk.net.relay import Calls, News
from knotwalk.told import Malformed, flattened, number, plain, read_methods, read_settings


class Misfit(Exception):
    """The environment or the configuration cannot be used; the text says what is wrong."""


def address_of(text: str, what: str) -> tuple[str, int]:
    """
    >>> address_of("10.0.0.4:3000", "EDGE_LISTEN")
    ('10.0.0.4', 3000)
    """
    host, colon, port = str(text).rpartition(":")
    if not (colon and host and port.isdigit() and int(port) < 65536):
        raise Misfit(f"{what} is no address: '{text}'")
    return host, int(port)


class Config:
    """What the platform tells at the start."""

    def __init__(self, environ: Mapping[str, str]):
        path = environ.get("EDGE_CONFIG")
        if not path:
            raise Misfit("EDGE_CONFIG is not set")
        try:
            with open(path, encoding="utf-8") as file:
                told = json.load(file)
        except (OSError, ValueError) as fault:
            raise Misfit(f"EDGE_CONFIG: {path} cannot be read: {fault}") from None
        if not isinstance(told, dict):
            raise Misfit(f"EDGE_CONFIG: {path} holds no object")
        try:
            self.name = str(environ.get("EDGE_NAME") or told["name"])
            self.listen = address_of(environ.get("EDGE_LISTEN") or told["listen"], "EDGE_LISTEN")
            self.discovery = address_of(environ.get("EDGE_DISCOVERY") or told["discovery"], "EDGE_DISCOVERY")
            self.relay = address_of(told["hub"]["address"], "hub.address")
            self.seed = int(str(told["seed"]), 16)
            known = told.get("known") or {"version": 0, "servers": []}
            self.known_version = int(known["version"])
            self.known = [entry(f) for f in known["servers"]]
            pairs = flattened(told["settings"])
            self.settings, self.methods = read_settings(pairs), read_methods(pairs)
            self.tick = number(pairs, "tick_us") / 1e6
        except Misfit:
            raise
        except (Malformed, KeyError, ValueError, TypeError, AttributeError) as fault:
            raise Misfit(f"EDGE_CONFIG: {path}: {plain(fault)}") from None


class Writer:
    """Orders of one round, in the relay's words."""

    def __init__(self, host: "Host"):
        self.host = host
        self.orders: list[dict] = []

    def line(self, slice_id: int, server: str, weight: float) -> None:
        self.orders.append({"do": "SET", "group": slice_id, "server": server, "weight": round(weight, 6)})

    def admit(self, slice_id: int | None, method: int, share: float, retry: int) -> None:
        order = {"do": "LIMIT"} if slice_id is None else {"do": "LIMIT", "group": slice_id}
        self.orders.append({**order, "classes": [self.host.names[method]], "level": round(share, 6),
                            "retry": retry})

    def withdraw(self, server: str, shut: bool) -> None:
        self.orders.append({"do": "OUT" if shut else "IN", "server": server})

    def receipt(self, mark: int) -> None:
        self.orders.append({"do": "SYNC", "ticket": mark, "on": 0})

    def watch(self) -> None:
        """The list is always watched."""

    def wake(self, at: float) -> None:
        self.host.wake(at)

    def note(self, text: str) -> None:
        self.host.log("note", text)


class Host:
    """One conductor: its module, its peers, its rounds."""

    def __init__(self, config: Config, log: Log):
        self.log, self.loop = log, Loop()
        self.config = config
        self.names = {k: name for name, k in config.methods.items()}
        self.module = Conductor(config.settings, config.seed)
        self.inbox: list[tuple[str, tuple]] = []
        self.last = float("-inf")       # when the last round was
        self.timer: Timer | None = None
        self.calls = Calls(self.loop, config.relay, log)
        self.news = News(self.loop, config.relay, self.tell, log)
        self.watch = Watch(self.loop, config.discovery, config.known_version, self.tell, log)
        self.callers = Callers(self.loop, config.methods, self.tell, self.ready, log)

    def tell(self, handler: str, *arguments: object) -> None:
        """Something for the next round."""
        self.inbox.append((handler, arguments))

    def ready(self) -> bool:
        """Whether we can serve: what stands has been heard."""
        return self.news.standing

    def wake(self, at: float) -> None:
        self.loop.at(at, lambda: self.round(due=True))

    def round(self, due: bool = False) -> None:
        """Hand all that came in to the module; not sooner after the last round than the platform's tick."""
        if not due and not self.inbox:
            return
        now = self.loop.now()
        if now < self.last + self.config.tick:
            if self.timer is None:
                self.timer = self.loop.at(self.last + self.config.tick, self.overdue)
            return
        self.last = now
        inbox, self.inbox = self.inbox, []
        out = Writer(self)
        self.module.decide(now, inbox, out)
        if out.orders:
            self.calls.order(out.orders)

    def overdue(self) -> None:
        self.timer = None
        self.round(due=True)

    def run(self) -> None:
        self.tell("listed", True, True, self.config.known)
        self.loop.listen(self.config.listen, self.callers.accept)
        self.log("serving", f"{self.config.name} at {self.config.listen[0]}:{self.config.listen[1]}")
        self.watch.start()
        self.news.start()
        while True:
            self.loop.turn()
            self.round()
            for caller, link in list(self.callers.seats.items()):
                if caller.asked and self.ready():
                    caller.asked = False
                    caller.message(link, ["probe"])


def serve(environ: Mapping[str, str]) -> int:
    """Serve until SIGTERM; the exit code."""
    log = Log()

    def stop(_number: int, _frame: object) -> None:
        sys.exit(0)

    signal.signal(signal.SIGTERM, stop)
    try:
        host = Host(Config(environ), log)
    except Misfit as fault:
        print(f"knotwalk: {fault}", file=sys.stderr)
        return 2
    try:
        host.run()
    except OSError as fault:
        print(f"knotwalk: {fault}", file=sys.stderr)
        return 1
    return 0
