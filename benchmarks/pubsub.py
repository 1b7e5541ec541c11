"""Benchmark of publish and subscribe: python -m benchmarks.pubsub [--quick]

The last line printed is one JSON object:
- `converged`: whether the simulated subscribers of `two_thousand` ended with the same table as the hub;
- `cap_breaks`: violations of the limits on messages and waiting lines, over all runs;
- `forty`, `four_hundred`: so many proxies on loopback that connect at once, then reconnect during changes;
- `bound`: seconds to converge that the limits alone set for `forty`; `time_over_bound`: the measured time over it;
- `two_thousand`: simulated, the hub and subscribers without sockets, with acknowledgements 0.2 s late;
- `bytes_ratio`: bytes sent after all subscribers reconnect, over those of a snapshot each;
- `change`: cost of one change to 2,000 subscribers, and the ratio of encoding it for each of them;
- `index_ratio`: a plain scan and a plain log over the index, with 10,000 slices;
- `memory_per_subscriber`: KB of a subscriber's cursor;
- `program`: the program with 400 subscribers: MB, and KB per stream;
- `round_ratio`: the 99th percentile of a round with 400 subscribers over one without any;
- `killed`: the conductor is killed repeatedly; all subscribers converge after each kill;
- `encodings`: bytes and microseconds of a piece of a snapshot as JSON lines, msgpack and RESP;
- `waits`: simulated, seconds until drains and observers were served while many new subscribers connect.
"""

import heapq
import json
import os
import random
import socket
import tempfile
import time
import tracemalloc
from pathlib import Path

import msgpack
from docopt import docopt
from standins.day import Day, Size, settings_of, storm
from standins.edges import Site, most_within
from standins.hubs import SMALL, HubHarness, alike, filled, proxies
from standins.platform import StandIn

from knotwalk.net.resp import encode_message
from knotwalk.pubsub import wire
from knotwalk.pubsub.hub import Hub
from knotwalk.pubsub.subscriber import Subscriber
from knotwalk.pubsub.versions import Delta, Table

ROOT = Path(__file__).parent.parent


def convergence_bound(lines: int, count: int, settings) -> float:
    """Return the seconds to converge that the limits alone set.

    While all subscribers wait at once, each message holds an equal share of the lines that may wait.
    """
    share = settings.lines_waiting_most / count - settings.lines_per_message
    messages = -(-lines // max(1, int(share)))
    return (messages - 1) // settings.messages_most * settings.messages_span


def run_reconnects(count: int, slices: int, settings) -> dict:
    """Run proxies on loopback that connect at once, then disconnect and reconnect while the table changes."""
    site = Site(settings, filled(slices), seats=count + 50)
    started_at = time.monotonic()
    edges = site.proxies(count)
    site.until(site.alike, 120)
    first_converged_s = time.monotonic() - started_at
    version = site.hub.table.version
    message_count = sum(edge.subscriber.applied for edge in edges)
    for k in range(20):
        site.order(("line", (k, "flapped", 1.0)))
        if k == 10:
            for edge in edges:
                edge.link.sock.shutdown(socket.SHUT_RDWR)
        site.turn(0.02)
    site.until(lambda: all(edge.link for edge in edges) and site.alike(), 120)
    span, max_messages = settings.messages_span, settings.messages_most
    breaks = sum(most_within(edge.came, span) > max_messages for edge in edges)
    for edge in edges:
        edge.stop()
    return {"seconds": round(first_converged_s, 3), "cap_breaks": breaks, "lines": version, "messages": message_count}


def run_late_answers(count: int, slices: int, seconds: float = 0.2) -> dict:
    """Run the hub and subscribers on a simulated clock with every acknowledgement `seconds` late.

    Returns the time until the last has converged, and that time over the bound that the limits set.
    """
    world = HubHarness(SMALL._replace(messages_most=60), filled(slices))
    subscribers = proxies(count)
    for subscriber in subscribers:
        world.join(subscriber)
    deliveries: list = []  # a heap
    send_now, number = world.send, 0

    def send(cursor, message):
        nonlocal number
        send_now(cursor, message)
        number += 1
        heapq.heappush(deliveries, (world.now + seconds, number, cursor.name))

    world.send = send  # type: ignore[method-assign]
    started_at = world.now
    while not alike(world, subscribers) if not deliveries else True:
        due_at = world.turn()
        next_at = min(due_at, deliveries[0][0] if deliveries else float("inf"))
        if next_at == float("inf"):
            break
        world.now = max(world.now + 0.001, next_at)
        while deliveries and deliveries[0][0] <= world.now:
            world.deliver(heapq.heappop(deliveries)[2], 1)
    elapsed_s = world.now - started_at
    messages = sum(subscriber.applied for subscriber in subscribers)
    lines = count * slices + messages * SMALL.lines_per_message
    bound_s = lines / SMALL.lines_waiting_most * seconds
    return {
        "seconds": round(elapsed_s, 2),
        "bound": round(bound_s, 2),
        "over_bound": round(elapsed_s / bound_s, 3),
        "converged": alike(world, subscribers),
        "cap_breaks": int(not world.are_limits_kept()),
    }


def measure_bytes_ratio() -> float:
    """Return the bytes sent to 40 reconnecting subscribers after 40 of 4,000 slices changed, over a snapshot each."""
    world = HubHarness(SMALL._replace(messages_most=1000), filled(4000))
    subscribers = proxies(40)
    for subscriber in subscribers:
        world.join(subscriber)
    world.run_until_idle()
    snapshot_bytes, world.bytes = world.bytes, 0
    for k in range(40):
        world.order(("line", (k * 97, "x", 1.0)))
    for subscriber in subscribers:
        world.disconnect(subscriber.name)
        world.join(subscriber)
    world.run_until_idle()
    assert alike(world, subscribers)
    return round(world.bytes / snapshot_bytes, 4)


def measure_change(count: int) -> dict:
    """Return the cost of one change to `count` subscribers, encoded once for all, and compare it with once for each."""
    table = filled(400)
    encode_count = [0]

    def encode(delta: Delta) -> bytes:
        encode_count[0] += 1
        return wire.encode_delta(delta)

    world = HubHarness(SMALL._replace(messages_most=10**6, lines_waiting_most=10.0**9), table)
    world.hub.encode = encode
    sent = []

    class NullSender:
        """A sender that only collects the messages, so that its cost does not count."""

        def send(self, cursor, message):
            sent.append((cursor, message))

    for subscriber in proxies(count):
        world.join(subscriber)
    world.run_until_idle()
    durations = []
    for change in range(12):
        encode_count[0] = 0
        world.order(*(("line", (change * 30 + offset, f"c{change}", 1.0)) for offset in range(20)))
        started_at = time.perf_counter()
        world.hub.send_due(world.now, NullSender())  # type: ignore[arg-type]
        durations.append(time.perf_counter() - started_at)
        encodes_per_change = encode_count[0]
        for cursor, message in sent:
            world.streams[cursor.name].to_subscriber.append(message)
        sent.clear()
        world.run_until_idle()
    delta = table.changes_since(table.version - 20)
    started_at = time.perf_counter()
    for _ in range(200):
        wire.encode_delta(delta)
    encoding_s = (time.perf_counter() - started_at) / 200
    best = min(durations)
    return {
        "us": round(1e6 * best),
        "encoded": encodes_per_change,
        "per_subscriber_us": round(1e6 * best / count, 2),
        "if_encoded_each_ratio": round((best + count * encoding_s) / best, 2),
    }


def measure_index(slices: int, rounds: int) -> dict:
    """Time the changes since a base 20 versions old: by the index, by a scan of all lines, by a log read backwards."""
    table, log, rng = Table("e"), [], random.Random(1)
    for k in range(slices):
        table.set_line(k, f"s{k % 50}", 1.0)
        log.append((table.version, k, f"s{k % 50}", 1.0))
    for k in range(20 * slices // 10):
        id, weight = rng.randrange(200), k + 1.0  # the same few slices change repeatedly
        table.set_line(id, "hot", weight)
        log.append((table.version, id, "hot", weight))
    base = table.version - 20

    def scan():
        return [
            (slice.id, server, weight)
            for slice in table.slices.values()
            for server, (weight, version) in slice.lines.items()
            if version > base
        ]

    def from_log():
        newest = {}
        for version, id, server, weight in reversed(log):
            if version <= base:
                break
            newest.setdefault((id, server), weight)
        return newest

    def timed(call) -> float:
        durations = []
        for _ in range(rounds):
            started_at = time.perf_counter()
            call()
            durations.append(time.perf_counter() - started_at)
        return min(durations)

    index_s, scan_s, log_s = timed(lambda: table.changes_since(base)), timed(scan), timed(from_log)
    old_base = slices  # of a subscriber that was away for long: the log holds every repeated change since
    old_base_s = timed(lambda: table.changes_since(old_base))
    base = old_base
    return {
        "scan": round(scan_s / index_s, 1),
        "log": round(log_s / index_s, 2),
        "log_far": round(timed(from_log) / old_base_s, 2),
        "log_entries": len(log),
        "index_entries": len(table.slices),
    }


def cursor_memory(count: int) -> dict:
    """Return the KB that a subscriber's cursor takes in the hub."""
    world = HubHarness(SMALL, filled(400))
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for k in range(count):
        world.hub.handle_hello(world.now, f"p{k}", k, None, None, None, False)
    cursor_kb = (tracemalloc.get_traced_memory()[0] - before) / count / 1024
    tracemalloc.stop()
    return {"cursor": round(cursor_kb, 2)}


def rss_mb(pid: int) -> float:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def start_program(folder: Path, stand: StandIn, listen: str = "127.0.0.1:0", keep: bool = False) -> str:
    rows = f'  listen = "{listen}"\n' + (f'  keep = "{folder}/kept"\n' if keep else "")
    (folder / "o.hcl").write_text(f"pubsub {{\n  enabled = true\n{rows}}}\n")
    stand.start(arguments=("--operator", str(folder / "o.hcl")))
    return stand.published


def measure_program(count: int) -> dict:
    """Return the memory of the program with `count` subscribers."""
    with tempfile.TemporaryDirectory() as name:
        stand = StandIn()
        stand.sockets = 2 * count + 64
        stand.slices = {k: {"ab"[k % 2]: 1.0} for k in range(2)}
        address = start_program(Path(name), stand)
        stand.until(lambda: stand.streams)
        alone_mb = rss_mb(stand.program.pid)
        site = Site(SMALL, Table("x"))
        site.loop, site.address = stand.loop, ("127.0.0.1", int(address.rpartition(":")[2]))
        edges = site.proxies(count)
        stand.until(lambda: sum(bool(edge.came) for edge in edges) == count, 60)
        ends_at = time.monotonic() + 3
        stand.until(lambda: time.monotonic() > ends_at)
        connected = sum(bool(edge.came) for edge in edges)
        full_mb = rss_mb(stand.program.pid)
        for edge in edges:
            edge.stop()
        stand.stop()
    return {
        "alone_mb": round(alone_mb, 1),
        "serve_mb": round(full_mb, 1),
        "subscribers": connected,
        "stream": round((full_mb - alone_mb) * 1e3 / max(1, connected), 1),
    }


def run_kills(kills: int) -> dict:
    """Kill the conductor at random moments, during snapshots and changes; all subscribers converge after each kill."""
    rng = random.Random(8)
    with tempfile.TemporaryDirectory() as name:
        stand = StandIn()
        stand.slices = {k: {"ab"[k % 2]: 1.0} for k in range(2)}
        address = start_program(Path(name), stand, keep=True)
        site = Site(SMALL, Table("x"))
        site.loop, site.address = stand.loop, ("127.0.0.1", int(address.rpartition(":")[2]))
        edges = site.proxies(8)

        def has_converged() -> bool:
            return all(
                edge.link and edge.subscriber.next_slice is None and edge.subscriber.slice_lines == stand.slices
                for edge in edges
            )

        stand.until(has_converged)
        for k in range(kills):
            stand.version += 1
            stand.servers = [{**x, "state": "leaving" if x["id"] == "ab"[k % 2] else "active"} for x in stand.servers]
            ends_at = time.monotonic() + rng.uniform(0, 0.5)
            stand.until(lambda: time.monotonic() > ends_at)
            stand.program.kill()
            stand.program.wait(20)
            start_program(Path(name), stand, address, True)
            stand.until(lambda: all(set(x) == {"ba"[k % 2]} for x in stand.slices.values()) and has_converged(), 60)
        epochs = {edge.subscriber.epoch for edge in edges}
        applied = sum(edge.subscriber.applied - len(edge.came) for edge in edges)
        stand.stop()
    return {"kills": kills, "alike": True, "epochs": len(epochs), "applied_twice": applied}


def measure_round_ratio(count: int, seconds: float) -> dict:
    """Run the rounds of a day on two hubs, one without subscribers and one with `count` that acknowledge."""
    size = Size(66, 130, 130, 220.0, 3)
    durations: dict[bool, list[float]] = {True: [], False: []}  # by whether the hub has subscribers
    turn_durations: list[float] = []
    settings = settings_of(size)
    world = HubHarness(settings, Table("e"))
    empty = Hub(Table("e"), settings, b"k", wire.encode_delta, 1)
    for subscriber in proxies(count):
        world.join(subscriber)
    clock = time.perf_counter
    round_started_at = [clock()]

    def witness(now, inbox, orders, module):
        decide_s = clock() - round_started_at[0]
        world.now = now
        for has_subscribers in (True, False) if len(turn_durations) % 2 else (False, True):
            started_at = clock()
            (world.hub if has_subscribers else empty).apply_round(now, inbox, orders)
            durations[has_subscribers].append(decide_s + clock() - started_at)
        started_at = clock()
        world.turn()
        turn_durations.append(clock() - started_at)
        for name in list(world.streams):
            world.deliver(name)

    class Timed(Day):
        def round(self, inbox):
            round_started_at[0] = clock()
            super().round(inbox)

    Timed(3, size, settings, script=storm(3, size, seconds), witness=witness).run(seconds)

    def p99(rows):
        return sorted(rows)[int(0.99 * (len(rows) - 1))]

    return {
        "p99": round(p99(durations[True]) / p99(durations[False]), 3),
        "turn_us_p99": round(1e6 * p99(turn_durations)),
    }


def measure_encodings() -> dict:
    """Compare the size and speed of a piece of 500 lines in the encodings that were considered."""
    parts, _ = filled(500, 60).snapshot_piece(0, 500)
    parts = tuple(p._replace(lines={f"s-{hash((p.slice, 1)) & 0xFFFFFFFF:08x}": 1.0}) for p in parts)
    delta = Delta(parts, {}, {})
    rows = [[p.slice, int(p.is_full), p.lines, p.levels] for p in parts]
    fields = [
        field
        for p in parts
        for server, weight in p.lines.items()
        for field in ("SET", str(p.slice), server, f"{weight:g}")
    ]
    codecs = {
        "json": (lambda: wire.encode_delta(delta), lambda data: json.loads(data)),
        "msgpack": (
            lambda: msgpack.packb({"s": rows, "shut": {}, "levels": {}}),
            lambda data: msgpack.unpackb(data, strict_map_key=False),
        ),
        "resp": (lambda: encode_message(*fields), None),
    }
    results = {}
    for name, (write, read) in codecs.items():
        started_at = time.perf_counter()
        for _ in range(50):
            data = write()
        write_s = (time.perf_counter() - started_at) / 50
        started_at = time.perf_counter()
        for _ in range(50 if read else 0):
            read(data)
        results[name] = {
            "bytes": len(data),
            "write_us": round(1e6 * write_s),
            "read_us": round(1e6 * (time.perf_counter() - started_at) / 50) if read else None,
        }
    return results


def measure_waits() -> dict:
    """Return how long drains, new proxies and observers wait while 360 proxies connect at once (simulated)."""
    world = HubHarness(SMALL._replace(lines_waiting_most=4000.0), filled(300))
    connected, fresh = proxies(40), [Subscriber(f"f{k}", k, proxy=100 + k) for k in range(360)]
    watchers = [Subscriber(f"w{k}", k) for k in range(4)]
    for subscriber in (*connected, *watchers):
        world.join(subscriber)
    world.run_until_idle()
    for subscriber in fresh:
        world.join(subscriber)
    started_at = world.now
    drained = range(1, 300, 10)
    world.order(
        *(("line", (k, "s1", 0.0)) for k in drained),
        *(("line", (k, "s2", 1.0)) for k in drained),
        inbox=[("listed", (False, False, [("s1", "z", "draining", 1, 0)]))],
    )
    target = world.table.version
    done: dict[str, float] = {}
    while len(done) < len(world.streams) and world.now < started_at + 120:
        world.turn()
        for name in list(world.streams):
            world.deliver(name, 1)  # one message per tick imitates a delay of 50 ms
            if world.streams[name].subscriber.version >= target and world.streams[name].subscriber.next_slice is None:
                done.setdefault(name, world.now - started_at)
        world.now += 0.05
    latest = {kind: max((seconds for name, seconds in done.items() if name[0] == kind), default=None) for kind in "pfw"}
    return {
        "drains": round(latest["p"], 2),
        "fresh": round(latest["f"], 2),
        "observers": round(latest["w"], 2),
        "cap_breaks": int(not world.are_limits_kept()),
    }


def main() -> None:
    options = docopt("Usage: pubsub [--quick]")
    quick = options["--quick"]
    os.chdir(ROOT)
    tight_settings = SMALL._replace(messages_span=1.0 if quick else 10.0, messages_most=4)
    forty = run_reconnects(40, 4000, tight_settings)
    bound_s = convergence_bound(4000, 40, tight_settings)
    hundreds = run_reconnects(100 if quick else 400, 400, SMALL._replace(messages_span=2.0))
    thousands = run_late_answers(200 if quick else 2000, 400)
    storm_waits = measure_waits()
    results = {
        "simulated": ["two_thousand", "waits", "round_ratio"],
        "converged": thousands["converged"],
        "cap_breaks": sum(x["cap_breaks"] for x in (forty, hundreds, thousands, storm_waits)),
        "forty": forty,
        "bound": bound_s,
        "time_over_bound": round(forty["seconds"] / bound_s, 3) if bound_s else None,
        "four_hundred": hundreds,
        "two_thousand": thousands,
        "bytes_ratio": measure_bytes_ratio(),
        "change": measure_change(2000),
        "index_ratio": measure_index(10_000, 20),
        "memory_per_subscriber": cursor_memory(2000),
        "program": measure_program(40 if quick else 400),
        "round_ratio": measure_round_ratio(400, 20.0 if quick else 120.0),
        "killed": run_kills(3 if quick else 50),
        "encodings": measure_encodings(),
        "waits": storm_waits,
    }
    print(json.dumps(results))


if __name__ == "__main__":
    main()
