"""Benchmark of a conductor's cost by fleet size: python -m benchmarks.fleet [--quick] [--json] [--against=REV]

The last line printed is one JSON object:
- `sizes`, by the number of servers: proxies, slices of the measured conductor, median and 99th percentile of a round
  of reports and median per receipt in microseconds, CPU milliseconds per second of the simulated day, the share of
  each step in them, and KB of memory per proxy, slice and server;
- `growth`, from each size to the next: growth of the cost over growth of the servers; 1 means linear;
- `wire`: microseconds to read a report or a receipt and to write an order;
- `against`, by size: the cost over that of another commit's decisions on the same inputs;
- `many`, five conductors over one fleet in a scripted day: share of requests served, rules broken, and cold servers
  brought down by overload.
Days are scripted and simulated; the costs are measured, and comparable only within one run.
"""

import gc
import importlib
import json
import re
import statistics
import subprocess
import sys
import tempfile
import time
import tracemalloc
from collections import defaultdict
from pathlib import Path

from docopt import docopt
from standins.fleet import Fleet

from knotwalk import decide
from knotwalk.net.relay import OrderSender, StreamParser
from knotwalk.net.resp import RespParser, encode_message

ROOT = Path(__file__).parent.parent
PROXIES_BY_SERVERS = {30: 150, 120: 640, 200: 1600, 400: 3200}
# Not every commit has all of these paths.
POLICY_PATHS = ("knotwalk/decide", "knotwalk/decide.py", "knotwalk/placement/passes.py")
# Methods of the conductor by the name of their step in the results.
STEP_METHODS = {
    "listed": "listed",
    "joined": "joined",
    "given": "given",
    "heard": "heard",
    "wanted": "wanted",
    "applied": "applied",
    "forget": "evict_servers",
    "measure": "update_estimates",
    "judge": "update_health",
    "place": "place_shares",
    "let_in": "update_levels",
    "send": "send",
}


def simulate_day(servers: int, seconds: float, make=decide.Conductor) -> Fleet:
    """Simulate a day of five conductors: a rolling release, servers that fail and return, hot slices."""
    names = [f"s{number}" for number in range(servers)]
    first, second = names[: servers // 5], names[servers // 5 : servers // 3]
    script = [(8.0, "drain", first), (11.0, "come", first), (14.0, "die", second), (19.0, "come", second)]
    script += [(6.0 + k, "heat", 5 * k, 5.0) for k in range(4)]
    return Fleet(1, servers, PROXIES_BY_SERVERS[servers], servers * 6, script=script, make=make, keep=True).run(seconds)


def replay_rounds(rounds: list, settings, seed: int, make) -> tuple[list[float], list[float], float]:
    """Replay recorded rounds; return microseconds of each round of reports, microseconds per receipt, CPU seconds."""
    conductor, reports, receipts = make(settings, seed), [], []
    sink = NullOrderSink()
    cpu_started_at = time.process_time()
    for now, inbox, _ in rounds:
        started_at = time.perf_counter()
        conductor.decide(now, inbox, sink)
        elapsed_us = 1e6 * (time.perf_counter() - started_at)
        names = {name for name, _ in inbox}
        if "heard" in names:
            reports.append(elapsed_us)
        elif names == {"applied"}:
            receipts.append(elapsed_us / len(inbox))
    return reports, receipts, time.process_time() - cpu_started_at


class NullOrderSink:
    """Takes any order and discards it."""

    def __getattr__(self, name):
        return self.discard

    @staticmethod
    def discard(*_arguments) -> None:
        pass


class NullObject:
    """Stands for an event loop, a connection and a log; every method does nothing."""

    address = ("127.0.0.1", 1)

    def __getattr__(self, name):
        return lambda *_arguments: None


def step_shares(rounds: list, settings, seed: int) -> dict[str, float]:
    """Return the share of a conductor's time spent in each step, without the other steps that it calls."""
    step_seconds: dict[str, float] = defaultdict(float)
    nested_seconds: list[float] = []  # per step on the call stack, the time of the steps that it called

    def timed(name, call):
        def run(*arguments):
            started_at = time.perf_counter()
            nested_seconds.append(0.0)
            try:
                return call(*arguments)
            finally:
                elapsed = time.perf_counter() - started_at
                step_seconds[name] += elapsed - nested_seconds.pop()
                if nested_seconds:
                    nested_seconds[-1] += elapsed

        return run

    conductor = decide.Conductor(settings, seed)
    for name, method in STEP_METHODS.items():
        setattr(conductor, method, timed(name, getattr(conductor, method)))
    sink, started_at = NullOrderSink(), time.perf_counter()
    for now, inbox, _ in rounds:
        conductor.decide(now, inbox, sink)
    total = time.perf_counter() - started_at
    shares = {name: round(step_seconds[name] / total, 3) for name in STEP_METHODS if step_seconds[name] > 0.005 * total}
    return {**shares, "rest": round(1 - sum(step_seconds.values()) / total, 3)}


def memory_kb(settings, servers: int, proxies: int) -> dict[str, float]:
    """Return the KB per proxy, slice and server: the growth of a new conductor that learns of many, per item."""

    def kb(inbox: list, count: int) -> float:
        gc.collect()
        tracemalloc.start()
        conductor = decide.Conductor(settings, 1)
        before = tracemalloc.get_traced_memory()[0]
        conductor.decide(1000.0, inbox, NullOrderSink())
        gc.collect()
        used_bytes = tracemalloc.get_traced_memory()[0] - before
        tracemalloc.stop()
        return round(used_bytes / 1024 / count, 3)

    listed = ("listed", (True, False, [(f"s{k}", "east", "ready", 4.0, 0.0) for k in range(servers)]))
    slices = range(0, settings.slices, settings.controllers)
    given = [x for k in slices for x in (("given", (k,)), ("held", (k, "s0", 1.0)))]
    return {
        "server": kb([listed], servers),
        "proxy": kb([("joined", (p,)) for p in range(proxies)], proxies),
        "slice": kb([("listed", (True, False, [("s0", "east", "ready", 4.0, 0.0)])), *given], len(slices)),
    }


def wire(rounds: list) -> dict[str, float]:
    """Return the microseconds to read a collector's report, to read a receipt from the relay's stream, and to add an
    order to a call."""
    reports, receipts, orders = [], [], []
    for _, inbox, sent_orders in rounds:
        orders += [
            {"do": "SET", "group": fields[0], "server": fields[1], "weight": fields[2]}
            for name, fields in sent_orders
            if name == "line"
        ]
        for name, fields in inbox:
            if name == "heard":
                reports.append(
                    encode_message(
                        "outcomes",
                        "zone",
                        fields[1],
                        "server",
                        fields[0],
                        "tries",
                        str(fields[3]),
                        "failed",
                        str(fields[4]),
                        "mean_ms",
                        f"{1e3 * fields[5]:.1f}",
                        "span_ms",
                        "2000.0",
                        "load",
                        "util:0.5",
                    )
                )
            elif name == "applied":
                receipts.append(b'{"type":"ack","object":{"proxy":%d,"mark":%d,"took_ms":310.4}}\n' % fields)
    receipts = receipts[:20000]
    report_parser, stream_parser = RespParser(), StreamParser()
    list(stream_parser.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
    started_at = time.perf_counter()
    for start in range(0, len(reports), 100):
        report_parser.feed(b"".join(reports[start : start + 100]))
    reports_read_at = time.perf_counter()
    for start in range(0, len(receipts), 100):
        chunk = b"".join(receipts[start : start + 100])
        list(stream_parser.feed(b"%x\r\n%s\r\n" % (len(chunk), chunk)))
    receipts_read_at = time.perf_counter()
    order_sender = OrderSender(NullObject(), ("127.0.0.1", 1), NullObject(), NullObject())  # type: ignore[arg-type]
    for start in range(0, len(orders), 100):
        order_sender.connection, order_sender.in_flight = NullObject(), []  # type: ignore[assignment]
        order_sender.add_orders(orders[start : start + 100])
    encoding_s = time.perf_counter() - receipts_read_at
    return {
        "order": round(1e6 * encoding_s / max(1, len(orders)), 2),
        "report": round(1e6 * (reports_read_at - started_at) / max(1, len(reports)), 2),
        "receipt": round(1e6 * (receipts_read_at - reports_read_at) / max(1, len(receipts)), 2),
    }


def load_conductor_at(rev: str):
    """Load the conductor's decisions of another commit, with the interface of the working tree."""

    def git(*arguments: str) -> str:
        return subprocess.run(["git", *arguments], cwd=ROOT, capture_output=True, text=True, check=True).stdout

    with tempfile.TemporaryDirectory() as folder:
        for path in git("ls-tree", "-r", "--name-only", rev, *POLICY_PATHS).split():
            file = Path(folder, path.replace("knotwalk", "then", 1))
            file.parent.mkdir(parents=True, exist_ok=True)
            file.write_text(re.sub(r"knotwalk\.(decide|placement)", r"then.\1", git("show", f"{rev}:{path}")))
        sys.path.insert(0, folder)
        try:
            return importlib.import_module("then.decide").Conductor
        finally:
            sys.path.remove(folder)


def quantile(values: list[float], fraction: float) -> float:
    return round(sorted(values)[min(len(values) - 1, int(fraction * len(values)))], 1)


def main() -> None:
    options = docopt("Usage: fleet [--quick] [--json] [--against=REV]")
    seconds = 16.0 if options["--quick"] else 40.0
    sizes = [30, 120, 200] if options["--quick"] else list(PROXIES_BY_SERVERS)
    baseline = load_conductor_at(options["--against"]) if options["--against"] else None
    results: dict = {"sizes": {}, "growth": {}, "against": {}, "many": {}}
    for servers in sizes:
        fleet = simulate_day(servers, seconds)
        seat = fleet.seats[1]
        settings, seed = fleet.settings._replace(place=1), 101
        runs, baseline_cpu_seconds = [], []
        for _ in range(3):  # alternately, so that changes in the machine's speed affect both alike
            runs.append(replay_rounds(seat.rounds, settings, seed, decide.Conductor))
            if baseline:
                baseline_cpu_seconds.append(replay_rounds(seat.rounds, settings, seed, baseline)[2])
        reports, receipts, cpu_seconds = min(runs, key=lambda run: run[2])
        results["sizes"][servers] = {
            "proxies": PROXIES_BY_SERVERS[servers],
            "slices": len(seat.slices),
            "reports_us": quantile(reports, 0.5),
            "reports_us_p99": quantile(reports, 0.99),
            "receipt_us": quantile(receipts, 0.5),
            "ms_a_second": round(1e3 * cpu_seconds / seconds, 2),
            "parts": step_shares(seat.rounds, settings, seed),
            "kb": memory_kb(settings, servers, PROXIES_BY_SERVERS[servers]),
        }
        results["many"][servers] = {
            "served": round(fleet.part(8, seconds), 3),
            "broken": len(fleet.breaks()),
            "fallen": len(fleet.fallen),
        }
        if baseline:
            results["against"][servers] = round(
                statistics.median(run[2] / baseline_s for run, baseline_s in zip(runs, baseline_cpu_seconds)), 3
            )
        print(servers, json.dumps(results["sizes"][servers]), json.dumps(results["many"][servers]), file=sys.stderr)
        if servers == 120:
            results["wire"] = wire(seat.rounds)
    for small, large in zip(sizes, sizes[1:]):
        cost = [results["sizes"][servers]["ms_a_second"] for servers in (small, large)]
        results["growth"][f"{small}-{large}"] = round(cost[1] / cost[0] / (large / small), 2)
    print(json.dumps(results))


if __name__ == "__main__":
    main()
