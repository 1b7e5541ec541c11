"""The conductor: hosts the module between its peers on sockets.

Owns the inbox, the rounds and the writer of orders. It must never decide anything, keep a tuned value, or
call the module other than once a round with all that came in.
"""

import hashlib
import json
import os
import signal
import sys
import traceback
from collections.abc import Mapping, Sequence, Set
from ipaddress import IPv4Address
from typing import TYPE_CHECKING

from knotwalk import decide, interface
from knotwalk.decide import Conductor
from knotwalk.net.collectors import Callers
from knotwalk.net.discovery import Watch, entry
from knotwalk.net.log import Log
from knotwalk.net.loop import Loop, Timer
from knotwalk.net.relay import Calls, News
from knotwalk.order_log import OrderTee
from knotwalk.placement import passes
from knotwalk.state import carry_over
from knotwalk.wire_values import (
    MalformedError,
    error_text,
    flatten_settings,
    number_setting,
    parse_amount,
    read_bounds,
    read_limits,
    read_methods,
    read_settings,
)

if TYPE_CHECKING:
    from knotwalk.pubsub.persistence import TableWriter
    from knotwalk.pubsub.publisher import Publisher
    from knotwalk.record.feed import Feed
    from knotwalk.record.recorder import Recorder
    from knotwalk.settings.operator import OperatorSettings, PubsubSettings, RecordSettings

SEATS = 0.8  # of the sockets allowed, for those that connect to us: our own peers take a dozen
ROOM = 0.25  # of the memory allowed, for their unfinished messages: the program itself takes under 40 MB


class Misfit(Exception):
    """The environment or the configuration cannot be used; the text says what is wrong."""


def address_of(text: str, what: str) -> tuple[str, int]:
    """
    >>> address_of("10.0.0.4:3000", "EDGE_LISTEN")
    ('10.0.0.4', 3000)
    """
    host, _, port = str(text).rpartition(":")
    try:
        IPv4Address(host)  # no name: the platform has no DNS, and asking it would block the loop
        if not 0 <= int(port) < 65536:
            raise ValueError
    except ValueError:
        raise Misfit(f"{what} is no address with a port: '{text}'") from None
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
            self.discovery_told = told.get("discovery")  # as the file has it
            self.discovery = address_of(environ.get("EDGE_DISCOVERY") or told["discovery"], "EDGE_DISCOVERY")
            self.relay = address_of(told["hub"]["address"], "hub.address")
            self.seed = int(str(told["seed"]), 16)
            known = told.get("known") or {"version": 0, "servers": []}
            self.known_version = int(known["version"])
            self.known = [entry(f) for f in known["servers"]]
            pairs = flatten_settings(told["settings"])
            self.settings, self.methods = read_settings(pairs), read_methods(pairs)
            self.bounds, self.rules = read_bounds(pairs), read_limits(pairs)
            self.tick = number_setting(pairs, "tick_us") / 1e6
            limits = told.get("limits") or {}
            self.seats = int(SEATS * parse_amount(limits.get("sockets", 1024)))
            self.room = int(ROOM * 1e6 * parse_amount(limits.get("memory_mb", 192)))
        except Misfit:
            raise
        except (MalformedError, KeyError, ValueError, TypeError, AttributeError) as fault:
            raise Misfit(f"EDGE_CONFIG: {path}: {error_text(fault)}") from None

    def follow(self, old: "Config") -> None:
        """Take another's place in a running conductor, or raise what stands against it."""
        if (self.name, self.listen) != (old.name, old.listen):
            raise Misfit("name and listen cannot change in a running conductor")
        # The environment is that of the start: it must not hide an address that the file has changed since.
        self.discovery = (
            old.discovery if self.discovery_told == old.discovery_told else address_of(self.discovery_told, "discovery")
        )


class Writer:
    """Orders of one round, in the relay's words."""

    def __init__(self, host: "Host"):
        self.host = host
        self.orders: list[dict] = []

    def line(self, slice_id: int, server: str, weight: float) -> None:
        self.orders.append({"do": "SET", "group": slice_id, "server": server, "weight": round(weight, 6)})

    def admit(self, slice_id: int | None, method: int, share: float, retry: int) -> None:
        order = {"do": "LIMIT"} if slice_id is None else {"do": "LIMIT", "group": slice_id}
        self.orders.append({**order, "classes": [self.host.names[method]], "level": round(share, 6), "retry": retry})

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


def policy_digest() -> str:
    """What tells one text of the policy from another."""
    digest, folder = hashlib.sha256(), os.path.dirname(str(decide.__file__))
    paths = [os.path.join(folder, name) for name in sorted(os.listdir(folder)) if name.endswith(".py")]
    for path in [*paths, str(passes.__file__), str(interface.__file__)]:
        with open(path, "rb") as file:
            digest.update(file.read())
    return digest.hexdigest()[:16]


class Host:
    """One conductor: its module, its peers, its rounds, and what else the operator wants at the same seam."""

    def __init__(self, config: Config, log: Log, operator: "OperatorSettings | None" = None):
        self.config, self.log, self.loop = config, log, Loop()
        self.stopped = False
        self.names = {k: name for name, k in config.methods.items()}
        self.module = Conductor(config.settings, config.seed)
        self.starts = 1
        self.inbox: list[tuple[str, tuple]] = []
        self.last = float("-inf")  # when the last round was
        self.timer: Timer | None = None
        self.news = News(self.loop, config.relay, self.tell, log)
        self.calls = Calls(self.loop, config.relay, self.news, log)
        self.watch = Watch(self.loop, config.discovery, config.known_version, config.known, self.tell, log)
        self.callers = Callers(
            self.loop, config.methods, config.bounds, self.knows, self.zones, self.tell, log, config.seats, config.room
        )
        self.recorder: Recorder | None = None
        self.feed: Feed | None = None
        self.publisher: Publisher | None = None
        self.keeper: TableWriter | None = None
        if operator and operator.record.enabled:
            self.record(operator.record)
        if operator and operator.pubsub.enabled:
            self.publish(operator.pubsub)

    def record(self, wanted: "RecordSettings") -> None:
        """Record from the start on; what that takes is loaded only here."""
        from knotwalk.record.feed import Feed
        from knotwalk.record.recorder import Recorder

        # Names this life of the process for good: the clock may be set back, and a process number comes again.
        incarnation = f"{int(self.loop.now() * 1e3):x}-{os.urandom(4).hex()}"
        self.recorder = Recorder(self.config.name, incarnation, policy_digest(), wanted.checkpoint)
        self.feed = Feed(
            self.loop,
            self.recorder,
            [
                wanted.path,
                self.config.name,
                incarnation,
                str(int(wanted.segment)),
                str(wanted.segment_age),
                str(int(wanted.budget)),
            ],
            self.log,
        )

    def publish(self, wanted: "PubsubSettings") -> None:
        """Open the publisher's port; what that takes is loaded only here. Raises Misfit."""
        from pathlib import Path

        from knotwalk.pubsub import persistence, publisher, wire
        from knotwalk.pubsub.hub import Hub
        from knotwalk.pubsub.versions import Table

        self.access_files = wanted.secrets, wanted.certificate, wanted.private_key, wanted.client_ca
        table, key = Table(os.urandom(8).hex()), os.urandom(32)
        try:
            access = publisher.Access(*self.access_files)
            if wanted.keep:
                path = Path(wanted.keep) / f"{self.config.name}.kwt"
                path.parent.mkdir(parents=True, exist_ok=True)
                try:
                    lock = persistence.acquire_lock(path)
                    try:
                        table, key = persistence.load(path) or (table, key)
                    except persistence.TableFileError as fault:  # it is only of use: a new epoch does without
                        self.log("kept table not used", f"{path}: {fault}; a new epoch begins")
                    self.keeper = persistence.TableWriter(self.loop, path, lock, table, key, self.log)
                except persistence.TableFileError as fault:
                    self.log("table not kept", f"{path}: {fault}; a new epoch begins, and ends with this process")
        except publisher.AccessConfigError as fault:
            raise Misfit(f"pubsub: {fault}") from None
        except OSError as fault:
            raise Misfit(f"pubsub.keep: {fault.filename}: {fault.strerror}") from None
        hub = Hub(table, self.config.settings, key, wire.encode_delta, self.config.seed)
        self.publisher = publisher.Publisher(
            self.loop,
            hub,
            access,
            self.tell,
            lambda proxy: proxy in self.news.proxies,
            self.log,
            min(int(wanted.subscribers), self.config.seats),
            self.loop.now(),
            lambda: self.news.heard and not self.news.reading,
        )
        try:
            address = self.publisher.listen(address_of(wanted.listen, "pubsub.listen"))
        except OSError as fault:
            raise Misfit(f"pubsub.listen: {wanted.listen}: {fault.strerror}") from None
        self.log("publishing", "at %s:%d, epoch %s from version %d" % (*address, table.epoch, table.version))

    def lives(self, why: str) -> None:
        """A new life of the module begins."""
        if self.recorder:
            self.recorder.life(
                self.loop.now(),
                self.module,
                self.config.settings,
                self.config.rules,
                self.config.seed + self.starts - 1,
                why,
            )

    def tell(self, handler: str, *arguments: object) -> None:
        """Something for the next round."""
        self.inbox.append((handler, arguments))

    def knows(self, server: str) -> bool:
        """Whether a server is listed or still known to the module: another name is a spoilt one."""
        return server in self.watch.entries or server in self.module.servers

    def zones(self) -> Set[str]:
        """The zones that exist: as the settings have them, else those of servers and joined proxies."""
        return self.config.bounds.zones or self.news.zones | {x[1] for x in self.watch.entries.values()}

    def wake(self, at: float) -> None:
        """A round at that time, unless one comes between it and the timer."""
        self.loop.at(at, lambda: self.last >= at or self.round())

    def round(self) -> None:
        """Hand all that came in to the module, not sooner after the last round than the platform's tick."""
        now = self.loop.now()
        if now < self.last + self.config.tick:
            if self.timer is None:
                self.timer = self.loop.at(self.last + self.config.tick, self.next_round)
            return
        self.last = now
        inbox, self.inbox = self.inbox, []
        out = Writer(self)
        tape = OrderTee(out) if self.recorder or self.publisher else None
        try:
            self.module.decide(now, inbox, tape or out)
        except Exception:  # whatever it is: see restart
            if tape and self.recorder:
                self.recorder.failed(now, inbox, tape.orders, traceback.format_exc(limit=-3))
            self.restart(inbox)
        else:
            self.calls.order(out.orders)
            if tape and self.recorder:
                self.recorder.round(now, inbox, tape.orders, self.module)
            if tape and self.publisher:
                if out.orders:  # one account a proxy over all fronts
                    self.publisher.hub.charge_messages(now, self.news.proxies)
                self.publisher.handle_round(now, inbox, tape.orders)
                if self.keeper:
                    self.keeper.check_reservation(self.publisher.start_new_epoch)

    def next_round(self) -> None:
        self.timer = None
        self.round()

    def restart(self, inbox: list) -> None:
        """The decisions failed. A module that was left halfway may hold anything, so a new one starts from
        what stands, as after a crash, but without the seconds that one takes; what came in is dropped."""
        self.log("decisions failed", f"{traceback.format_exc(limit=-3)} on {inbox}")
        self.renew("failed")

    def renew(self, why: str) -> None:
        """A new module, that starts from what stands; what came in for the old one is void."""
        old, self.module = self.module, Conductor(self.config.settings, self.config.seed + self.starts)
        carry_over(old, self.module)
        self.starts += 1
        self.lives(why)
        self.inbox, self.callers.burst = [], []
        self.news.repeat()
        # After the lines, which may be on servers that have gone: those are not in the list, and so known.
        self.tell("listed", True, False, list(self.watch.entries.values()))
        self.loop.after(self.config.tick, self.round)

    def signalled(self, number: int, environ: Mapping[str, str]) -> None:
        if number == signal.SIGHUP:
            self.reload(environ)
        else:
            self.stopped = True  # nothing is owed to anybody: the store holds the tables

    def reload(self, environ: Mapping[str, str]) -> None:
        """Put the configuration as it is now in place of the one in use, whole or not at all."""
        old = self.config
        try:
            config = Config(environ)
            config.follow(old)
        except Misfit as fault:
            self.log("reload refused", f"{fault}; the old configuration stays")
            return
        self.config = config
        self.log("reloaded", "discovery is at %s:%d, the relay at %s:%d" % (*config.discovery, *config.relay))
        self.callers.bound(config.seats, config.room)
        if self.publisher:
            self.follow_keys()
        if config.discovery != old.discovery:
            self.watch.move(config.discovery)
        if config.relay != old.relay:
            self.calls.move(config.relay)
            self.news.move(config.relay)
        if (config.settings, config.methods) != (old.settings, old.methods):
            self.names = {k: name for name, k in config.methods.items()}
            self.callers.methods, self.callers.bounds = config.methods, config.bounds
            if self.publisher:
                self.publisher.hub.settings = config.settings
            self.renew("reload")

    def follow_keys(self) -> None:
        """Read the publisher's keys and certificates anew, whole or not at all; streams that are up stay."""
        from knotwalk.pubsub import publisher

        assert self.publisher is not None
        try:
            self.publisher.reload(publisher.Access(*self.access_files))
        except publisher.AccessConfigError as fault:
            self.log("reload refused", f"pubsub: {fault}; the old keys stay")

    def run(self) -> None:
        self.lives("start")
        self.tell("listed", True, True, self.config.known)
        listener = self.loop.listen(self.config.listen, self.callers.accept)
        self.log("serving", "%s at %s:%d" % (self.config.name, *listener.sock.getsockname()))
        self.watch.start()
        self.news.start()
        while not self.stopped:
            try:
                self.loop.turn()
                # The module's life begins, and its first waits run, when there is somebody to order.
                if self.inbox and self.news.heard:
                    self.callers.serve()
                    self.round()
            except Exception:  # a fault of ours in one turn is no reason to leave the proxies alone
                self.log("fault", traceback.format_exc(limit=-3))
        if self.feed:
            self.feed.close()
        if self.keeper:
            self.keeper.close()


def wanted_of(operator: str | None) -> "OperatorSettings | None":
    """What the operator's file asks for; raises Misfit."""
    if not operator:
        return None
    from knotwalk.settings.operator import SettingsError, load_in_subprocess

    try:
        return load_in_subprocess(operator)
    except SettingsError as fault:
        raise Misfit(str(fault)) from None


def check(environ: Mapping[str, str], operator: str | None = None) -> int:
    """Read the configuration and say what it holds; the exit code."""
    try:
        config, wanted = Config(environ), wanted_of(operator)
    except Misfit as fault:
        print(f"knotwalk: {fault}", file=sys.stderr)
        return 2
    s = config.settings
    print(
        "%s listens on %s:%d, discovery is at %s:%d, the relay at %s:%d"
        % (config.name, *config.listen, *config.discovery, *config.relay)
    )
    methods = ", ".join(config.methods) or "none"
    print(f"{s.slices} slices, {len(config.known)} servers known, methods: {methods}")
    print(
        f"a round every {config.tick * 1e3:g} ms at most, {config.seats} connections at most, "
        f"{s.messages_most or 'any number of'} messages to a proxy in {s.messages_span:g} s"
    )
    record, pubsub = (wanted.record, wanted.pubsub) if wanted else (None, None)
    if pubsub and pubsub.enabled:
        print(f"publishes at {pubsub.listen}")
    if record and record.enabled:
        print(
            f"records into {record.path}: {record.budget / 2**30:g} GiB at most, a checkpoint every "
            f"{record.checkpoint:g} s"
        )
    return 0


def serve(environ: Mapping[str, str], operator: str | None = None, hangups: Sequence[int] = ()) -> int:
    """Serve until SIGTERM, with what the operator's file asks for if one is named; the exit code.

    `hangups`: SIGHUPs as they come before this has a loop; any of them is a reload once it serves."""
    try:
        host = Host(Config(environ), Log(), wanted_of(operator))
    except Misfit as fault:
        print(f"knotwalk: {fault}", file=sys.stderr)
        return 2
    host.loop.signals((signal.SIGHUP, signal.SIGTERM, signal.SIGINT), lambda n: host.signalled(n, environ))
    if hangups:
        host.loop.after(0.0, lambda: host.signalled(signal.SIGHUP, environ))
    try:
        host.run()
    except OSError as fault:
        print("knotwalk: cannot listen on %s:%d:" % host.config.listen, fault.strerror, file=sys.stderr)
        return 1
    return 0
