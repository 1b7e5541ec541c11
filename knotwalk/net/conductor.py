"""The conductor process: hosts the decisions between their peers on sockets.

Owns the inbox, the rounds and the writing of orders. It must never decide anything, hold a tuned value, or call the
decisions other than once a round, with everything that has arrived.
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
from knotwalk.net.collectors import CollectorServer
from knotwalk.net.discovery import ListWatch, parse_entry
from knotwalk.net.log import Log
from knotwalk.net.loop import Loop, Timer
from knotwalk.net.relay import OrderSender, RelayStream
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

CONNECTIONS_FRACTION = 0.8  # of the sockets allowed, for inbound connections; our own take about a dozen
UNFINISHED_FRACTION = 0.25  # of the memory allowed, for their incomplete messages; the process takes less than 40 MB


class ConfigError(Exception):
    """The environment or the configuration is unusable; the text says why."""


def parse_address(text: str, source: str) -> tuple[str, int]:
    """Parse an IPv4 address with a port.

    >>> parse_address("10.0.0.4:3000", "EDGE_LISTEN")
    ('10.0.0.4', 3000)
    """
    host, _, port = str(text).rpartition(":")
    try:
        IPv4Address(host)  # names are not accepted: the platform has no DNS, and a lookup would block the event loop
        if not 0 <= int(port) < 65536:
            raise ValueError
    except ValueError:
        raise ConfigError(f"{source} is not an IPv4 address with a port: '{text}'") from None
    return host, int(port)


class Config:
    """The configuration from the environment and the platform's file."""

    def __init__(self, environ: Mapping[str, str]):
        path = environ.get("EDGE_CONFIG")
        if not path:
            raise ConfigError("EDGE_CONFIG is not set")
        try:
            with open(path, encoding="utf-8") as file:
                payload = json.load(file)
        except (OSError, ValueError) as fault:
            raise ConfigError(f"EDGE_CONFIG: {path} cannot be read: {fault}") from None
        if not isinstance(payload, dict):
            raise ConfigError(f"EDGE_CONFIG: {path} does not hold a JSON object")
        try:
            self.name = str(environ.get("EDGE_NAME") or payload["name"])
            self.listen = parse_address(environ.get("EDGE_LISTEN") or payload["listen"], "EDGE_LISTEN")
            self.configured_discovery = payload.get("discovery")  # as in the file
            self.discovery = parse_address(environ.get("EDGE_DISCOVERY") or payload["discovery"], "EDGE_DISCOVERY")
            self.relay = parse_address(payload["hub"]["address"], "hub.address")
            self.seed = int(str(payload["seed"]), 16)
            known = payload.get("known") or {"version": 0, "servers": []}
            self.known_version = int(known["version"])
            self.known = [parse_entry(fields) for fields in known["servers"]]
            pairs = flatten_settings(payload["settings"])
            self.settings, self.methods = read_settings(pairs), read_methods(pairs)
            self.bounds, self.rules = read_bounds(pairs), read_limits(pairs)
            self.tick_s = number_setting(pairs, "tick_us") / 1e6
            limits = payload.get("limits") or {}
            self.max_connections = int(CONNECTIONS_FRACTION * parse_amount(limits.get("sockets", 1024)))
            self.max_unfinished_bytes = int(UNFINISHED_FRACTION * 1e6 * parse_amount(limits.get("memory_mb", 192)))
        except ConfigError:
            raise
        except (MalformedError, KeyError, ValueError, TypeError, AttributeError) as fault:
            raise ConfigError(f"EDGE_CONFIG: {path}: {error_text(fault)}") from None

    def inherit_addresses(self, old: "Config") -> None:
        """Check that this can replace the old configuration of a running conductor, and take over its discovery address
        unless the file has changed it. Raises ConfigError."""
        if (self.name, self.listen) != (old.name, old.listen):
            raise ConfigError("name and listen cannot change in a running conductor")
        # The environment dates from the start of the process and must not hide an address that the file changed since.
        self.discovery = (
            old.discovery
            if self.configured_discovery == old.configured_discovery
            else parse_address(self.configured_discovery, "discovery")
        )


class OrderWriter:
    """Collects the orders of one round in the relay's format."""

    def __init__(self, host: "Host"):
        self.host = host
        self.orders: list[dict] = []

    def line(self, slice_id: int, server: str, weight: float) -> None:
        self.orders.append({"do": "SET", "group": slice_id, "server": server, "weight": round(weight, 6)})

    def admit(self, slice_id: int | None, method: int, share: float, retry: int) -> None:
        order = {"do": "LIMIT"} if slice_id is None else {"do": "LIMIT", "group": slice_id}
        self.orders.append(
            {**order, "classes": [self.host.method_names[method]], "level": round(share, 6), "retry": retry}
        )

    def withdraw(self, server: str, is_withdrawn: bool) -> None:
        self.orders.append({"do": "OUT" if is_withdrawn else "IN", "server": server})

    def receipt(self, mark: int) -> None:
        self.orders.append({"do": "SYNC", "ticket": mark, "on": 0})

    def watch(self) -> None:
        """Do nothing: the server list is always watched."""

    def wake(self, due_at: float) -> None:
        self.host.schedule_round(due_at)

    def note(self, text: str) -> None:
        self.host.log("note", text)


def policy_digest() -> str:
    """Return a digest of the policy's source text, which a recording names."""
    digest, folder = hashlib.sha256(), os.path.dirname(str(decide.__file__))
    paths = [os.path.join(folder, name) for name in sorted(os.listdir(folder)) if name.endswith(".py")]
    for path in [*paths, str(passes.__file__), str(interface.__file__)]:
        with open(path, "rb") as file:
            digest.update(file.read())
    return digest.hexdigest()[:16]


class Host:
    """One conductor: its decisions, peers and rounds, and the recorder and publisher that the operator enables."""

    def __init__(self, config: Config, log: Log, operator: "OperatorSettings | None" = None):
        self.config, self.log, self.loop = config, log, Loop()
        self.stopped = False
        self.method_names = {k: name for name, k in config.methods.items()}
        self.conductor = Conductor(config.settings, config.seed)
        self.start_count = 1  # conductors started in this process
        self.inbox: list[tuple[str, tuple]] = []
        self.last_round_at = float("-inf")
        self.round_timer: Timer | None = None
        self.relay_stream = RelayStream(self.loop, config.relay, self.enqueue, log)
        self.order_sender = OrderSender(self.loop, config.relay, self.relay_stream, log)
        self.list_watch = ListWatch(self.loop, config.discovery, config.known_version, config.known, self.enqueue, log)
        self.collectors = CollectorServer(
            self.loop,
            config.methods,
            config.bounds,
            self.is_known_server,
            self.known_zones,
            self.enqueue,
            log,
            config.max_connections,
            config.max_unfinished_bytes,
        )
        self.recorder: Recorder | None = None
        self.feed: Feed | None = None
        self.publisher: Publisher | None = None
        self.keeper: TableWriter | None = None
        if operator and operator.record.enabled:
            self.start_recording(operator.record)
        if operator and operator.pubsub.enabled:
            self.start_publishing(operator.pubsub)

    def start_recording(self, settings: "RecordSettings") -> None:
        """Record from the start on. The recorder's modules are imported only if it is enabled."""
        from knotwalk.record.feed import Feed
        from knotwalk.record.recorder import Recorder

        # Unique for each run of the process: the clock may be set back, and process ids are reused.
        incarnation = f"{int(self.loop.now() * 1e3):x}-{os.urandom(4).hex()}"
        self.recorder = Recorder(self.config.name, incarnation, policy_digest(), settings.checkpoint)
        self.feed = Feed(
            self.loop,
            self.recorder,
            [
                settings.path,
                self.config.name,
                incarnation,
                str(int(settings.segment)),
                str(settings.segment_age),
                str(int(settings.budget)),
            ],
            self.log,
        )

    def start_publishing(self, settings: "PubsubSettings") -> None:
        """Open the publisher's port. Its modules are imported only if it is enabled. Raises ConfigError."""
        from pathlib import Path

        from knotwalk.pubsub import persistence, publisher, wire
        from knotwalk.pubsub.hub import Hub
        from knotwalk.pubsub.versions import Table

        self.access_files = settings.secrets, settings.certificate, settings.private_key, settings.client_ca
        table, key = Table(os.urandom(8).hex()), os.urandom(32)
        try:
            access = publisher.Access(*self.access_files)
            if settings.keep:
                path = Path(settings.keep) / f"{self.config.name}.kwt"
                path.parent.mkdir(parents=True, exist_ok=True)
                try:
                    lock = persistence.acquire_lock(path)
                    try:
                        table, key = persistence.load(path) or (table, key)
                    except (
                        persistence.TableFileError
                    ) as fault:  # the saved table is an optimization: a new epoch works without it
                        self.log("saved table not used", f"{path}: {fault}; starting a new epoch")
                    self.keeper = persistence.TableWriter(self.loop, path, lock, table, key, self.log)
                except persistence.TableFileError as fault:
                    self.log("table not saved", f"{path}: {fault}; starting a new epoch that ends with this process")
        except publisher.AccessConfigError as fault:
            raise ConfigError(f"pubsub: {fault}") from None
        except OSError as fault:
            raise ConfigError(f"pubsub.keep: {fault.filename}: {fault.strerror}") from None
        hub = Hub(table, self.config.settings, key, wire.encode_delta, self.config.seed)
        self.publisher = publisher.Publisher(
            self.loop,
            hub,
            access,
            self.enqueue,
            lambda proxy: proxy in self.relay_stream.proxies,
            self.log,
            min(int(settings.subscribers), self.config.max_connections),
            self.loop.now(),
            lambda: self.relay_stream.has_connected and not self.relay_stream.reading_state,
        )
        try:
            address = self.publisher.listen(parse_address(settings.listen, "pubsub.listen"))
        except OSError as fault:
            raise ConfigError(f"pubsub.listen: {settings.listen}: {fault.strerror}") from None
        self.log("publishing", "at %s:%d, epoch %s from version %d" % (*address, table.epoch, table.version))

    def record_conductor_start(self, reason: str) -> None:
        """Record the start of a new conductor, if recording."""
        if self.recorder:
            self.recorder.record_life(
                self.loop.now(),
                self.conductor,
                self.config.settings,
                self.config.rules,
                self.config.seed + self.start_count - 1,
                reason,
            )

    def enqueue(self, handler: str, *arguments: object) -> None:
        """Add an event to the inbox of the next round."""
        self.inbox.append((handler, arguments))

    def is_known_server(self, server: str) -> bool:
        """Whether a server is listed or still known to the decisions; any other name in a report is an error."""
        return server in self.list_watch.entries or server in self.conductor.servers

    def known_zones(self) -> Set[str]:
        """The zones of the settings, if they name any, else those of the servers and the joined proxies."""
        return self.config.bounds.zones or self.relay_stream.zones | {x[1] for x in self.list_watch.entries.values()}

    def schedule_round(self, due_at: float) -> None:
        """Run a round at `due_at`, unless one has run at or after it by then."""
        self.loop.call_at(due_at, lambda: self.last_round_at >= due_at or self.run_round())

    def run_round(self) -> None:
        """Pass the inbox to the decisions, at the earliest one platform tick after the last round."""
        now = self.loop.now()
        if now < self.last_round_at + self.config.tick_s:
            if self.round_timer is None:
                self.round_timer = self.loop.call_at(self.last_round_at + self.config.tick_s, self.run_delayed_round)
            return
        self.last_round_at = now
        inbox, self.inbox = self.inbox, []
        out = OrderWriter(self)
        order_log = OrderTee(out) if self.recorder or self.publisher else None
        try:
            self.conductor.decide(now, inbox, order_log or out)
        except Exception:  # any failure: see restart_after_failure
            if order_log and self.recorder:
                self.recorder.record_failure(now, inbox, order_log.orders, traceback.format_exc(limit=-3))
            self.restart_after_failure(inbox)
        else:
            self.order_sender.add_orders(out.orders)
            if order_log and self.recorder:
                self.recorder.record_round(now, inbox, order_log.orders, self.conductor)
            if order_log and self.publisher:
                if out.orders:  # relay and publisher share one message budget for each proxy
                    self.publisher.hub.charge_messages(now, self.relay_stream.proxies)
                self.publisher.handle_round(now, inbox, order_log.orders)
                if self.keeper:
                    self.keeper.check_reservation(self.publisher.start_new_epoch)

    def run_delayed_round(self) -> None:
        self.round_timer = None
        self.run_round()

    def restart_after_failure(self, inbox: list) -> None:
        """Handle an exception in the decisions. Their state may be inconsistent, so a new conductor starts from the
        current state, as after a crash but without the seconds that one takes; the inbox is dropped."""
        self.log("decisions failed", f"{traceback.format_exc(limit=-3)} on {inbox}")
        self.replace_conductor("failed")

    def replace_conductor(self, reason: str) -> None:
        """Start a new conductor from the current state; the old one's inbox is dropped."""
        old, self.conductor = self.conductor, Conductor(self.config.settings, self.config.seed + self.start_count)
        carry_over(old, self.conductor)
        self.start_count += 1
        self.record_conductor_start(reason)
        self.inbox, self.collectors.burst = [], []
        self.relay_stream.replay_state()
        # After the lines, which may name servers that are gone: these are recognized by their absence from the list.
        self.enqueue("listed", True, False, list(self.list_watch.entries.values()))
        self.loop.call_later(self.config.tick_s, self.run_round)

    def on_signal(self, number: int, environ: Mapping[str, str]) -> None:
        if number == signal.SIGHUP:
            self.reload(environ)
        else:
            self.stopped = True  # nothing to flush: the relay's store holds the tables

    def reload(self, environ: Mapping[str, str]) -> None:
        """Replace the configuration by the file's current one, entirely or not at all."""
        old = self.config
        try:
            config = Config(environ)
            config.inherit_addresses(old)
        except ConfigError as fault:
            self.log("reload refused", f"{fault}; the old configuration stays in use")
            return
        self.config = config
        self.log("reloaded", "discovery is at %s:%d, the relay at %s:%d" % (*config.discovery, *config.relay))
        self.collectors.set_limits(config.max_connections, config.max_unfinished_bytes)
        if self.publisher:
            self.reload_keys()
        if config.discovery != old.discovery:
            self.list_watch.change_address(config.discovery)
        if config.relay != old.relay:
            self.order_sender.change_address(config.relay)
            self.relay_stream.change_address(config.relay)
        if (config.settings, config.methods) != (old.settings, old.methods):
            self.method_names = {k: name for name, k in config.methods.items()}
            self.collectors.methods, self.collectors.bounds = config.methods, config.bounds
            if self.publisher:
                self.publisher.hub.settings = config.settings
            self.replace_conductor("reload")

    def reload_keys(self) -> None:
        """Reload the publisher's keys and certificates, entirely or not at all; established streams continue."""
        from knotwalk.pubsub import publisher

        assert self.publisher is not None
        try:
            self.publisher.reload(publisher.Access(*self.access_files))
        except publisher.AccessConfigError as fault:
            self.log("reload refused", f"pubsub: {fault}; the old keys stay in use")

    def run(self) -> None:
        self.record_conductor_start("start")
        self.enqueue("listed", True, True, self.config.known)
        listener = self.loop.listen(self.config.listen, self.collectors.accept)
        self.log("serving", "%s at %s:%d" % (self.config.name, *listener.sock.getsockname()))
        self.list_watch.start()
        self.relay_stream.start()
        while not self.stopped:
            try:
                self.loop.run_once()
                # The first round, from which the decisions' waits count, needs a relay that takes orders.
                if self.inbox and self.relay_stream.has_connected:
                    self.collectors.start_serving()
                    self.run_round()
            except Exception:  # a fault of ours in one iteration must not leave the proxies without a conductor
                self.log("internal error", traceback.format_exc(limit=-3))
        if self.feed:
            self.feed.close()
        if self.keeper:
            self.keeper.close()


def load_operator_settings(path: str | None) -> "OperatorSettings | None":
    """Load the operator's file, if one is given; raises ConfigError."""
    if not path:
        return None
    from knotwalk.settings.operator import SettingsError, load_in_subprocess

    try:
        return load_in_subprocess(path)
    except SettingsError as fault:
        raise ConfigError(str(fault)) from None


def check(environ: Mapping[str, str], operator: str | None = None) -> int:
    """Read the configuration and print a summary; returns the exit code."""
    try:
        config, operator_settings = Config(environ), load_operator_settings(operator)
    except ConfigError as fault:
        print(f"knotwalk: {fault}", file=sys.stderr)
        return 2
    settings = config.settings
    print(
        "%s listens on %s:%d, discovery is at %s:%d, the relay at %s:%d"
        % (config.name, *config.listen, *config.discovery, *config.relay)
    )
    methods = ", ".join(config.methods) or "none"
    print(f"{settings.slices} slices, {len(config.known)} servers known, methods: {methods}")
    print(
        f"a round every {config.tick_s * 1e3:g} ms at most, {config.max_connections} connections at most, "
        f"{settings.messages_most or 'any number of'} messages to a proxy in {settings.messages_span:g} s"
    )
    record, pubsub = (operator_settings.record, operator_settings.pubsub) if operator_settings else (None, None)
    if pubsub and pubsub.enabled:
        print(f"publishes at {pubsub.listen}")
    if record and record.enabled:
        print(
            f"records into {record.path}: {record.budget / 2**30:g} GiB at most, a checkpoint every "
            f"{record.checkpoint:g} s"
        )
    return 0


def serve(environ: Mapping[str, str], operator: str | None = None, hangups: Sequence[int] = ()) -> int:
    """Serve until SIGTERM, with the operator's settings if a file is given; returns the exit code.

    `hangups` holds the SIGHUPs received before the event loop handles signals; if there are any, the configuration is
    reloaded once the conductor serves."""
    try:
        host = Host(Config(environ), Log(), load_operator_settings(operator))
    except ConfigError as fault:
        print(f"knotwalk: {fault}", file=sys.stderr)
        return 2
    host.loop.add_signal_handlers(
        (signal.SIGHUP, signal.SIGTERM, signal.SIGINT), lambda number: host.on_signal(number, environ)
    )
    if hangups:
        host.loop.call_later(0.0, lambda: host.on_signal(signal.SIGHUP, environ))
    try:
        host.run()
    except OSError as fault:
        print("knotwalk: cannot listen on %s:%d:" % host.config.listen, fault.strerror, file=sys.stderr)
        return 1
    return 0
