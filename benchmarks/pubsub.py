"""Publish and subscribe measured: python -m benchmarks.pubsub [--quick]

Prints as its last line: converged (all runs), cap_breaks, time_over_bound (forty on loopback: seconds to the last
over what the caps alone set), four_hundred (on loopback), two_thousand (simulated: the pure parts with answers 0.2 s
late, over the bound), bytes_ratio (after a flap, over a snapshot each), change (one change to 2,000 subscribers, and
the ratio to encoding it for each), index_ratio (a plain scan and a plain log over the index, 10,000 slices),
memory_per_subscriber (KB of its cursor), program (with 400 subscribers: MB, and KB a stream), round_ratio (99th
percentile of a round with 400 subscribers over none), killed (the conductor, all alike after each), encodings (bytes
and microseconds of a piece as JSON lines, msgpack, RESP), waits (seconds until drains and observers were served in a
storm, simulated).
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


def bound(lines: int, count: int, settings) -> float:
    """Seconds that the caps alone set: with all waiting at once, a message holds its part of the waiting lines."""
    part = settings.lines_waiting_most / count - settings.lines_per_message
    messages = -(-lines // max(1, int(part)))
    return (messages - 1) // settings.messages_most * settings.messages_span


def at_once(count: int, slices: int, settings) -> dict:
    """So many proxies on loopback that come at once, then flap while the table changes."""
    site = Site(settings, filled(slices), seats=count + 50)
    begun = time.monotonic()
    edges = site.proxies(count)
    site.until(site.alike, 120)
    first = time.monotonic() - begun
    whole = site.hub.table.version
    sent_before = sum(e.subscriber.applied for e in edges)
    for k in range(20):
        site.order(("line", (k, "flapped", 1.0)))
        if k == 10:
            for e in edges:
                e.link.sock.shutdown(socket.SHUT_RDWR)
        site.turn(0.02)
    site.until(lambda: all(e.link for e in edges) and site.alike(), 120)
    span, most = settings.messages_span, settings.messages_most
    breaks = sum(most_within(e.came, span) > most for e in edges)
    for e in edges:
        e.stop()
    return {"seconds": round(first, 3), "cap_breaks": breaks, "lines": whole, "messages": sent_before}


def late(count: int, slices: int, seconds: float = 0.2) -> dict:
    """The pure parts on a clock of their own, every answer so late: the time to the last over the caps' bound."""
    world = HubHarness(SMALL._replace(messages_most=60), filled(slices))
    subscribers = proxies(count)
    for s in subscribers:
        world.join(s)
    heap: list = []
    sent, number = world.send, 0

    def send(cursor, message):
        nonlocal number
        sent(cursor, message)
        number += 1
        heapq.heappush(heap, (world.now + seconds, number, cursor.name))

    world.send = send  # type: ignore[method-assign]
    begun = world.now
    while not alike(world, subscribers) if not heap else True:
        due = world.turn()
        at = min(due, heap[0][0] if heap else float("inf"))
        if at == float("inf"):
            break
        world.now = max(world.now + 0.001, at)
        while heap and heap[0][0] <= world.now:
            world.deliver(heapq.heappop(heap)[2], 1)
    took = world.now - begun
    messages = sum(s.applied for s in subscribers)
    lines = count * slices + messages * SMALL.lines_per_message
    least = lines / SMALL.lines_waiting_most * seconds
    return {
        "seconds": round(took, 2),
        "bound": round(least, 2),
        "over_bound": round(took / least, 3),
        "converged": alike(world, subscribers),
        "cap_breaks": int(not world.are_limits_kept()),
    }


def bytes_ratio() -> float:
    """Forty that flap while forty slices of 4,000 change: bytes sent over a snapshot each."""
    world = HubHarness(SMALL._replace(messages_most=1000), filled(4000))
    subscribers = proxies(40)
    for s in subscribers:
        world.join(s)
    world.run_until_idle()
    whole, world.bytes = world.bytes, 0
    for k in range(40):
        world.order(("line", (k * 97, "x", 1.0)))
    for s in subscribers:
        world.disconnect(s.name)
        world.join(s)
    world.run_until_idle()
    assert alike(world, subscribers)
    return round(world.bytes / whole, 4)


def change_cost(count: int) -> dict:
    """One change to so many subscribers: encoded once, against once each."""
    table = filled(400)
    encoded = [0]

    def encode(delta: Delta) -> bytes:
        encoded[0] += 1
        return wire.encode_delta(delta)

    world = HubHarness(SMALL._replace(messages_most=10**6, lines_waiting_most=10.0**9), table)
    world.hub.encode = encode
    sent = []

    class Light:
        """A sender that costs nothing of its own."""

        def send(self, cursor, message):
            sent.append((cursor, message))

    for s in proxies(count):
        world.join(s)
    world.run_until_idle()
    times = []
    for k in range(12):
        encoded[0] = 0
        world.order(*(("line", (k * 30 + i, f"c{k}", 1.0)) for i in range(20)))
        begun = time.perf_counter()
        world.hub.send_due(world.now, Light())  # type: ignore[arg-type]
        times.append(time.perf_counter() - begun)
        once = encoded[0]
        for cursor, message in sent:
            world.streams[cursor.name].to_subscriber.append(message)
        sent.clear()
        world.run_until_idle()
    delta = table.changes_since(table.version - 20)
    begun = time.perf_counter()
    for _ in range(200):
        wire.encode_delta(delta)
    each = (time.perf_counter() - begun) / 200
    best = min(times)
    return {
        "us": round(1e6 * best),
        "encoded": once,
        "per_subscriber_us": round(1e6 * best / count, 2),
        "if_encoded_each_ratio": round((best + count * each) / best, 2),
    }


def index_ratio(slices: int, rounds: int) -> dict:
    """All since a base 20 changes old: the index, a scan of all lines, a log searched from the base."""
    table, log, chance = Table("e"), [], random.Random(1)
    for k in range(slices):
        table.set_line(k, f"s{k % 50}", 1.0)
        log.append((table.version, k, f"s{k % 50}", 1.0))
    for k in range(20 * slices // 10):
        id, w = chance.randrange(200), k + 1.0  # a few slices change again and again
        table.set_line(id, "hot", w)
        log.append((table.version, id, "hot", w))
    base = table.version - 20

    def scan():
        return [(s.id, k, w) for s in table.slices.values() for k, (w, v) in s.lines.items() if v > base]

    def from_log():
        newest = {}
        for version, id, server, w in reversed(log):
            if version <= base:
                break
            newest.setdefault((id, server), w)
        return newest

    def timed(call) -> float:
        times = []
        for _ in range(rounds):
            begun = time.perf_counter()
            call()
            times.append(time.perf_counter() - begun)
        return min(times)

    index, plain, logged = timed(lambda: table.changes_since(base)), timed(scan), timed(from_log)
    old = slices  # a subscriber that was away for long: the log holds each change anew
    far = timed(lambda: table.changes_since(old))
    base = old
    return {
        "scan": round(plain / index, 1),
        "log": round(logged / index, 2),
        "log_far": round(timed(from_log) / far, 2),
        "log_entries": len(log),
        "index_entries": len(table.slices),
    }


def memory(count: int) -> dict:
    """KB a subscriber: its cursor, and in the program with its stream."""
    world = HubHarness(SMALL, filled(400))
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for k in range(count):
        world.hub.handle_hello(world.now, f"p{k}", k, None, None, None, False)
    cursor = (tracemalloc.get_traced_memory()[0] - before) / count / 1024
    tracemalloc.stop()
    return {"cursor": round(cursor, 2)}


def rss(pid: int) -> float:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def program(folder: Path, stand: StandIn, listen: str = "127.0.0.1:0", keep: bool = False) -> str:
    rows = f'  listen = "{listen}"\n' + (f'  keep = "{folder}/kept"\n' if keep else "")
    (folder / "o.hcl").write_text(f"pubsub {{\n  enabled = true\n{rows}}}\n")
    stand.start(arguments=("--operator", str(folder / "o.hcl")))
    return stand.published


def served(count: int) -> dict:
    """The program with so many subscribers: its memory."""
    with tempfile.TemporaryDirectory() as name:
        stand = StandIn()
        stand.sockets = 2 * count + 64
        stand.slices = {k: {"ab"[k % 2]: 1.0} for k in range(2)}
        at = program(Path(name), stand)
        stand.until(lambda: stand.streams)
        alone = rss(stand.program.pid)
        site = Site(SMALL, Table("x"))
        site.loop, site.address = stand.loop, ("127.0.0.1", int(at.rpartition(":")[2]))
        edges = site.proxies(count)
        stand.until(lambda: sum(bool(e.came) for e in edges) == count, 60)
        end = time.monotonic() + 3
        stand.until(lambda: time.monotonic() > end)
        up = sum(bool(e.came) for e in edges)
        full = rss(stand.program.pid)
        for e in edges:
            e.stop()
        stand.stop()
    return {
        "alone_mb": round(alone, 1),
        "serve_mb": round(full, 1),
        "subscribers": up,
        "stream": round((full - alone) * 1e3 / max(1, up), 1),
    }


def killed(kills: int) -> dict:
    """The conductor killed at random moments, in the midst of snapshots and changes: all alike after each."""
    chance = random.Random(8)
    with tempfile.TemporaryDirectory() as name:
        stand = StandIn()
        stand.slices = {k: {"ab"[k % 2]: 1.0} for k in range(2)}
        at = program(Path(name), stand, keep=True)
        site = Site(SMALL, Table("x"))
        site.loop, site.address = stand.loop, ("127.0.0.1", int(at.rpartition(":")[2]))
        edges = site.proxies(8)

        def same() -> bool:
            return all(
                e.link and e.subscriber.next_slice is None and e.subscriber.slice_lines == stand.slices for e in edges
            )

        stand.until(same)
        for k in range(kills):
            stand.version += 1
            stand.servers = [{**x, "state": "leaving" if x["id"] == "ab"[k % 2] else "active"} for x in stand.servers]
            end = time.monotonic() + chance.uniform(0, 0.5)
            stand.until(lambda: time.monotonic() > end)
            stand.program.kill()
            stand.program.wait(20)
            program(Path(name), stand, at, True)
            stand.until(lambda: all(set(x) == {"ba"[k % 2]} for x in stand.slices.values()) and same(), 60)
        epochs = {e.subscriber.epoch for e in edges}
        applied = sum(e.subscriber.applied - len(e.came) for e in edges)
        stand.stop()
    return {"kills": kills, "alike": True, "epochs": len(epochs), "applied_twice": applied}


def round_ratio(count: int, seconds: float) -> dict:
    """Rounds of a day on two hubs, one with so many subscribers that answer."""
    size = Size(66, 130, 130, 220.0, 3)
    times: dict[bool, list[float]] = {True: [], False: []}
    turns: list[float] = []
    settings = settings_of(size)
    world = HubHarness(settings, Table("e"))
    empty = Hub(Table("e"), settings, b"k", wire.encode_delta, 1)
    for s in proxies(count):
        world.join(s)
    clock = time.perf_counter
    last = [clock()]

    def witness(now, inbox, orders, module):
        decided = clock() - last[0]
        world.now = now
        for full in (True, False) if len(turns) % 2 else (False, True):
            begun = clock()
            (world.hub if full else empty).apply_round(now, inbox, orders)
            times[full].append(decided + clock() - begun)
        begun = clock()
        world.turn()
        turns.append(clock() - begun)
        for name in list(world.streams):
            world.deliver(name)

    class Timed(Day):
        def round(self, inbox):
            last[0] = clock()
            super().round(inbox)

    Timed(3, size, settings, script=storm(3, size, seconds), witness=witness).run(seconds)

    def p99(rows):
        return sorted(rows)[int(0.99 * (len(rows) - 1))]

    return {"p99": round(p99(times[True]) / p99(times[False]), 3), "turn_us_p99": round(1e6 * p99(turns))}


def encodings() -> dict:
    """A piece of 500 lines in the forms that were weighed."""
    parts, _ = filled(500, 60).snapshot_piece(0, 500)
    parts = tuple(p._replace(lines={f"s-{hash((p.slice, 1)) & 0xFFFFFFFF:08x}": 1.0}) for p in parts)
    delta = Delta(parts, {}, {})
    rows = [[p.slice, int(p.is_full), p.lines, p.levels] for p in parts]
    words = [
        w for p in parts for server, weight in p.lines.items() for w in ("SET", str(p.slice), server, f"{weight:g}")
    ]
    forms = {
        "json": (lambda: wire.encode_delta(delta), lambda data: json.loads(data)),
        "msgpack": (
            lambda: msgpack.packb({"s": rows, "shut": {}, "levels": {}}),
            lambda data: msgpack.unpackb(data, strict_map_key=False),
        ),
        "resp": (lambda: encode_message(*words), None),
    }
    out = {}
    for name, (write, read) in forms.items():
        begun = time.perf_counter()
        for _ in range(50):
            data = write()
        wrote = (time.perf_counter() - begun) / 50
        begun = time.perf_counter()
        for _ in range(50 if read else 0):
            read(data)
        out[name] = {
            "bytes": len(data),
            "write_us": round(1e6 * wrote),
            "read_us": round(1e6 * (time.perf_counter() - begun) / 50) if read else None,
        }
    return out


def waits() -> dict:
    """A storm of 400 with drains and observers among it, answers at once: who waited for how long (simulated)."""
    world = HubHarness(SMALL._replace(lines_waiting_most=4000.0), filled(300))
    held, fresh = proxies(40), [Subscriber(f"f{k}", k, proxy=100 + k) for k in range(360)]
    watchers = [Subscriber(f"w{k}", k) for k in range(4)]
    for s in (*held, *watchers):
        world.join(s)
    world.run_until_idle()
    for s in fresh:
        world.join(s)
    begun = world.now
    drained = range(1, 300, 10)
    world.order(
        *(("line", (k, "s1", 0.0)) for k in drained),
        *(("line", (k, "s2", 1.0)) for k in drained),
        inbox=[("listed", (False, False, [("s1", "z", "draining", 1, 0)]))],
    )
    target = world.table.version
    done: dict[str, float] = {}
    while len(done) < len(world.streams) and world.now < begun + 120:
        world.turn()
        for name in list(world.streams):
            world.deliver(name, 1)  # one message a tick of 50 ms: a way of that length
            if world.streams[name].subscriber.version >= target and world.streams[name].subscriber.next_slice is None:
                done.setdefault(name, world.now - begun)
        world.now += 0.05
    by = {kind: max((t for n, t in done.items() if n[0] == kind), default=None) for kind in "pfw"}
    return {
        "drains": round(by["p"], 2),
        "fresh": round(by["f"], 2),
        "observers": round(by["w"], 2),
        "cap_breaks": int(not world.are_limits_kept()),
    }


def main() -> None:
    options = docopt("Usage: pubsub [--quick]")
    quick = options["--quick"]
    os.chdir(ROOT)
    tight = SMALL._replace(messages_span=1.0 if quick else 10.0, messages_most=4)
    forty = at_once(40, 4000, tight)
    least = bound(4000, 40, tight)
    hundreds = at_once(100 if quick else 400, 400, SMALL._replace(messages_span=2.0))
    thousands = late(200 if quick else 2000, 400)
    storm_waits = waits()
    figures = {
        "simulated": ["two_thousand", "waits", "round_ratio"],
        "converged": thousands["converged"],
        "cap_breaks": sum(x["cap_breaks"] for x in (forty, hundreds, thousands, storm_waits)),
        "forty": forty,
        "bound": least,
        "time_over_bound": round(forty["seconds"] / least, 3) if least else None,
        "four_hundred": hundreds,
        "two_thousand": thousands,
        "bytes_ratio": bytes_ratio(),
        "change": change_cost(2000),
        "index_ratio": index_ratio(10_000, 20),
        "memory_per_subscriber": memory(2000),
        "program": served(40 if quick else 400),
        "round_ratio": round_ratio(400, 20.0 if quick else 120.0),
        "killed": killed(3 if quick else 50),
        "encodings": encodings(),
        "waits": storm_waits,
    }
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
