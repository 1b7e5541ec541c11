"""The conductor process over sockets, with stand-ins for its peers."""

import json
import os
import signal
import socket
import time
from pathlib import Path
from random import Random

from standins.platform import SETTINGS, TIMEOUT_S, StandIn, call, run
from standins.recordings import replayed

from knotwalk.net.close_reason import CloseReason
from knotwalk.net.conductor import Config, ConfigError, Host
from knotwalk.net.log import Log
from knotwalk.net.resp import encode_message
from knotwalk.settings.operator import OperatorSettings, RecordSettings

ALIVE = encode_message("alive")


def is_alive(stand, address):
    """Whether a probe is answered, while the stand-ins keep running."""
    sock, _ = call(address, encode_message("probe"))
    sock.setblocking(False)

    def is_answered():
        try:
            return sock.recv(99) == ALIVE
        except BlockingIOError:
            return False

    try:
        return stand.until(is_answered)
    finally:
        sock.close()


def drain(stand, server="a"):
    stand.version += 1
    stand.servers = [{**x, "state": "leaving" if x["id"] == server else x["state"]} for x in stand.servers]


def set_orders(stand):
    return [f for x in stand.calls for f in x if f["do"] == "SET"]


DRAIN_ORDERS = [
    {"do": "SET", "group": 0, "server": "b", "weight": 1.0},
    {"do": "SET", "group": 0, "server": "a", "weight": 0.0},
]


def test_it_serves_orders_a_drain_and_exits_on_sigterm():
    stand = StandIn()
    address = stand.start()
    assert is_alive(stand, address)
    drain(stand)
    stand.until(lambda: set_orders(stand))
    assert set_orders(stand) == DRAIN_ORDERS and stand.calls[-1][-1]["do"] == "SYNC"
    started_at = time.monotonic()
    assert stand.stop() == 0 and time.monotonic() - started_at < 0.7


def test_a_broken_call_that_was_carried_out_is_not_sent_again():
    stand = StandIn()
    address = stand.start()
    assert is_alive(stand, address)
    stand.fate = lambda orders: None if any(f["do"] == "SET" for f in orders) else True
    drain(stand)
    stand.until(lambda: set_orders(stand))
    stand.fate = lambda orders: True
    drain(stand, "none")
    stand.servers[0]["state"] = "active"
    stand.slices[9] = {}
    stand.send_events(("lease", {"slice": 9, "on": True}))
    stand.until(lambda: any(f["group"] == 9 for f in set_orders(stand)))
    assert set_orders(stand)[:2] == DRAIN_ORDERS and all(f["group"] == 9 for f in set_orders(stand)[2:])
    assert stand.stop() == 0


def test_a_broken_call_that_was_not_carried_out_is_sent_again():
    stand = StandIn()
    address = stand.start()
    assert is_alive(stand, address)
    stand.fate = lambda orders: not any(f["do"] == "SET" for f in orders) or len(set_orders(stand)) > 2
    drain(stand)
    stand.until(lambda: stand.slices[0] == {"b": 1.0})
    assert set_orders(stand) == DRAIN_ORDERS * 2 and stand.stop() == 0


def test_peers_whose_connections_break_are_reconnected():
    stand = StandIn()
    address = stand.start()
    assert is_alive(stand, address)
    for link in list(stand.connections):
        link.close(CloseReason.CLOSED_BY_US)
    stand.until(lambda: stand.streams)
    drain(stand)
    stand.until(lambda: set_orders(stand) == DRAIN_ORDERS)
    assert stand.program.poll() is None and stand.stop() == 0


def test_it_restarts_without_state_after_a_kill():
    stand = StandIn()
    address = stand.start()
    assert is_alive(stand, address)
    stand.program.kill()
    stand.program.wait(TIMEOUT_S)
    drain(stand)
    assert stand.start("%s:%d" % address) == address and is_alive(stand, address)
    stand.until(lambda: stand.slices[0] == {"b": 1.0})
    assert stand.stop() == 0


def test_a_new_configuration_moves_to_other_addresses():
    """Guards against an exit on SIGHUP, and against the start's environment overriding changed addresses."""
    stand = StandIn()
    other = StandIn(stand.loop)
    other.slices = stand.slices
    address = stand.start()
    assert is_alive(stand, address)
    stand.reload(discovery=other.address, hub={"address": other.address})
    stand.until(lambda: other.streams and not stand.streams)
    drain(other)
    stand.until(lambda: set_orders(other))
    assert (
        set_orders(other) == DRAIN_ORDERS and not set_orders(stand) and all(link.closed for link in stand.connections)
    )
    assert stand.stop() == 0


def test_a_reload_requested_during_the_start_is_done_once_it_serves(tmp_path):
    """Guards against SIGHUP ending the process (exit 129) before it handles signals; a pipe delays its start here."""
    stand, other, path = StandIn(), StandIn(), tmp_path / "config"
    os.mkfifo(path)
    configuration = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": stand.address,
        "seed": "5",
        "settings": SETTINGS,
        "limits": {"memory_mb": 192, "sockets": 64},
        "hub": {"address": stand.address},
        "known": {"version": 1, "full": True, "servers": stand.servers},
    }
    program = run({"EDGE_CONFIG": str(path)}, "serve")
    with open(path, "w") as pipe:  # returns once the process opens it for reading
        program.send_signal(signal.SIGHUP)
        (tmp_path / "new").write_text(json.dumps({**configuration, "discovery": other.address}))
        os.replace(tmp_path / "new", path)
        pipe.write(json.dumps(configuration))
    lines = [program.stderr.readline() for _ in range(2)]
    program.terminate()
    assert program.wait(TIMEOUT_S) == 0
    assert "knotwalk serving" in lines[0] and f"reloaded: discovery is at {other.address}" in lines[1], lines


def test_an_unusable_configuration_leaves_the_old_one_in_use():
    stand = StandIn()
    address = stand.start()
    assert is_alive(stand, address)
    for changes in ({"hub": {"address": "nowhere"}}, {"name": "n9"}, {"settings": {"tick_us": "x"}}):
        stand.reload(**changes)
        line = stand.program.stderr.readline()
        assert "reload refused" in line and "Traceback" not in line
    Path(stand.config.name).write_text("{")
    stand.program.send_signal(signal.SIGHUP)
    assert "reload refused" in stand.program.stderr.readline()
    drain(stand)
    stand.until(lambda: set_orders(stand) == DRAIN_ORDERS)
    assert stand.stop() == 0


def test_a_drain_holds_while_connections_break():
    """Connections close at any time and calls are carried out or not; in the end the tables are as decided."""
    stand, rng = StandIn(), Random(3)
    address = stand.start()
    assert is_alive(stand, address)
    stand.fate = lambda orders: rng.choice([True, None, False])
    collector, _ = call(address, encode_message("agent", "zone", "z"))
    report = encode_message("hot", "slice", "0", "class", "read", "tries", "40", "failed", "0", "span_ms", "2000")
    for step in range(100):
        if step == 30:
            drain(stand)
        collector.sendall(report)
        open_links = [link for link in stand.connections if not link.closed]
        if open_links and rng.random() < 0.3:
            rng.choice(open_links).close(CloseReason.CLOSED_BY_US)
        stand.loop.call_later(0.02, lambda: None)
        stand.loop.run_once()
    stand.fate = lambda orders: True
    stand.until(lambda: stand.slices == {0: {"b": 1.0}, 1: {"b": 1.0}})
    assert is_alive(stand, address) and stand.stop() == 0
    collector.close()


def test_unknown_clients_and_garbage_do_not_stop_it_from_serving():
    stand = StandIn()
    address = stand.start()
    assert is_alive(stand, address)
    socks = [socket.create_connection(address, TIMEOUT_S) for _ in range(80)]  # the limit is 64 descriptors
    garbage = [b"GET / HTTP/1.1\r\n\r\n", b"*1\r\n$999999999\r\n", b"*9\r\n$5\r\nho", b"\0" * 99]
    for sock, data in zip(socks, garbage * 20):
        try:
            sock.sendall(data)
        except OSError:
            pass
    assert is_alive(stand, address) and stand.stop() == 0


def test_a_log_that_is_not_read_does_not_block_it():
    read_fd, write_fd = os.pipe()
    os.set_blocking(write_fd, False)
    try:
        while True:
            os.write(write_fd, b"x" * 4096)
    except BlockingIOError:
        os.set_blocking(write_fd, True)
    with socket.create_server(("127.0.0.1", 0)) as free:
        listen = "%s:%d" % free.getsockname()
    stand = StandIn()
    address = stand.start(listen, write_fd)
    stand.until(lambda: stand.streams)
    assert is_alive(stand, address) and stand.stop() == 0
    os.close(read_fd)
    os.close(write_fd)


def test_a_failed_start_prints_one_line(tmp_path):
    good, bad = tmp_path / "good.json", tmp_path / "bad.json"
    stand = StandIn()
    configuration = {
        "name": "n0",
        "listen": stand.address,
        "discovery": stand.address,
        "seed": "5",
        "hub": {"address": stand.address},
        "settings": SETTINGS,
    }
    good.write_text(json.dumps(configuration))
    bad.write_text(json.dumps({**configuration, "hub": {}}))
    for environ, code, word in (
        ({}, 2, "EDGE_CONFIG"),
        ({"EDGE_CONFIG": "/none"}, 2, "/none"),
        ({"EDGE_CONFIG": str(bad)}, 2, "'address' is missing"),
        ({"EDGE_CONFIG": str(good), "EDGE_LISTEN": "x"}, 2, "EDGE_LISTEN"),
        ({"EDGE_CONFIG": str(good)}, 1, "in use"),
    ):
        program = run(environ)
        _, errors = program.communicate(timeout=TIMEOUT_S)
        assert program.returncode == code and word in errors and errors.count("\n") == 1, errors


def test_commands(tmp_path):
    path = tmp_path / "config.json"
    path.write_text(
        json.dumps(
            {
                "name": "n7",
                "listen": "127.0.0.1:0",
                "discovery": "127.0.0.1:1",
                "seed": "5",
                "hub": {"address": "127.0.0.1:2"},
                "settings": SETTINGS,
            }
        )
    )
    output = run({"EDGE_CONFIG": str(path)}, "check").communicate(timeout=TIMEOUT_S)[0]
    assert "n7 listens on 127.0.0.1:0" in output and "methods: read" in output
    assert run({}, "check").wait(TIMEOUT_S) == 2
    assert run({}, "version").communicate(timeout=TIMEOUT_S)[0].startswith("knotwalk 0.")
    program = run({}, "nonsense")
    assert "Usage:" in "".join(program.communicate(timeout=TIMEOUT_S)) and program.returncode == 1


def make_host(tmp_path, **changes):
    path = tmp_path / "config.json"
    configuration = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "5",
        "hub": {"address": "127.0.0.1:1"},
        "settings": SETTINGS,
        "known": {"version": 1, "servers": [{"id": "a", "state": "active"}]},
        **changes,
    }
    path.write_text(json.dumps(configuration))
    return Host(Config({"EDGE_CONFIG": str(path)}), Log(open(os.devnull, "w")))


def test_failed_decisions_restart_from_the_current_state(tmp_path):
    """Guards against a fault in the decisions that would end every conductor on the same message."""
    host = make_host(tmp_path)
    host.relay_stream.proxies, host.relay_stream.slices = {4}, {0: {"a": 1.0}}
    failed = host.conductor
    failed.decide = lambda *_: 1 / 0
    failed.sent_times.append(7.0)
    failed.receipt_mark = 40
    host.run_round()
    assert (
        host.conductor is not failed and list(host.conductor.sent_times) == [7.0] and host.conductor.receipt_mark == 40
    )
    assert host.inbox == [
        ("joined", (4,)),
        ("given", (0,)),
        ("held", (0, "a", 1.0)),
        ("listed", (True, False, [("a", "", "ready", 1.0, 0.0)])),
    ]
    host.last_round_at = 0.0
    host.run_round()
    assert host.conductor.slices[0].sent_lines == {host.conductor.servers["a"]: 1.0} and host.inbox == []


def test_new_settings_start_a_new_conductor_from_the_current_state(tmp_path):
    host = make_host(tmp_path)
    host.relay_stream.slices, old = {0: {"a": 1.0}}, host.conductor
    old.in_flight.append((7, 30, {1}))
    configuration = json.loads((tmp_path / "config.json").read_text())
    configuration["settings"]["classes"].append({"name": "write", "slo_us": 1, "worth": 9})
    configuration["limits"] = {"sockets": 100}
    (tmp_path / "config.json").write_text(json.dumps(configuration))
    host.reload({"EDGE_CONFIG": str(tmp_path / "config.json")})
    assert (
        host.conductor is not old and len(host.conductor.rpc_costs) == 2 and host.conductor.in_flight == old.in_flight
    )
    assert (
        host.method_names == {0: "read", 1: "write"}
        and host.collectors.max_connections == 80
        and ("given", (0,)) in host.inbox
    )


def test_rounds_are_at_least_a_tick_apart(tmp_path):
    host = make_host(tmp_path)
    rounds = []
    host.conductor.decide = lambda now, inbox, out: rounds.append(now)
    host.run_round()
    host.run_round()
    host.run_round()
    assert len(rounds) == 1 and host.round_timer is not None
    host.loop.run_once()
    assert len(rounds) == 2 and rounds[1] >= rounds[0] + host.config.tick_s and host.round_timer is None


def test_timers_for_the_same_time_cause_one_round(tmp_path):
    host = make_host(tmp_path)
    rounds = []
    host.conductor.decide = lambda now, inbox, out: rounds.append(now)
    for _ in range(3):
        host.schedule_round(host.loop.now() + 0.005)
    while len(rounds) < 1 or host.loop.timers:
        host.loop.run_once()
    assert len(rounds) <= 2


def test_invalid_values_in_the_configuration(tmp_path):
    for changes in (
        {"limits": {"sockets": "many"}},
        {"seed": "xyz"},
        {"settings": {"tick_us": "soon"}},
        {"known": {"version": 1, "servers": [{}]}},
        {"discovery": "here:1"},
        {"settings": {"classes": [{"slo_us": "x"}]}},
    ):
        try:
            make_host(tmp_path, **changes)
        except ConfigError as fault:
            assert len(str(fault).splitlines()) == 1
        else:
            assert False, changes


def recording(folder):
    """The arguments for an operator's file that enables recording."""
    path = folder / "operator.hcl"
    path.write_text(f'record {{\n  enabled = true\n  path = "{folder}/r"\n  checkpoint = "1s"\n}}\n')
    return "--operator", str(path)


def reports(address):
    """Send a collector's reports of one period on both servers and both slices."""
    sock, _ = call(address, encode_message("agent", "zone", "z"))
    for server in "ab":
        sock.sendall(
            encode_message(
                "outcomes",
                "zone",
                "z",
                "server",
                server,
                "tries",
                "40",
                "failed",
                "1",
                "mean_ms",
                "50",
                "span_ms",
                "2000.0",
                "load",
                "util:0.5",
            )
        )
    for slice_id in "01":
        sock.sendall(
            encode_message("hot", "slice", slice_id, "class", "read", "tries", "40", "failed", "0", "span_ms", "2000.0")
        )
    return sock


def test_incarnations_with_a_restart_a_kill_and_a_reload_replay_exactly(tmp_path):
    stand = StandIn()
    address = stand.start(arguments=recording(tmp_path))
    assert is_alive(stand, address)
    collector = reports(address)
    drain(stand)
    stand.until(lambda: set_orders(stand))
    changed = {**SETTINGS, "family_info": {**SETTINGS["family_info"], "messages_most": 6}}
    stand.reload(settings=changed)
    stand.until(lambda: "reloaded" in stand.program.stderr.readline())
    drain(stand, "none")
    reloaded_at = time.monotonic()
    stand.until(lambda: time.monotonic() > reloaded_at + 1)
    assert stand.stop() == 0
    stand.start("%s:%d" % address, arguments=recording(tmp_path))
    assert is_alive(stand, address)
    drain(stand, "b")
    started_at = time.monotonic()
    stand.until(lambda: time.monotonic() > started_at + 3)  # longer than a block's age
    stand.program.kill()
    stand.program.wait(TIMEOUT_S)
    stand.start("%s:%d" % address, arguments=recording(tmp_path))
    assert is_alive(stand, address) and stand.stop() == 0
    collector.close()
    outcome = replayed(tmp_path / "r", 4)
    assert outcome.exact and outcome.lives == 4, outcome
    assert all(x.until == float("inf") for x in outcome.losses) and len(outcome.losses) <= 1


def test_failed_decisions_are_recorded_and_fail_in_the_replay(tmp_path):
    """Runs in this process, since a fault in the decisions cannot be caused from outside."""
    stand = StandIn()
    stand.start()
    stand.program.kill()
    config = Config({"EDGE_CONFIG": stand.config.name})
    host = Host(
        config, Log(open(os.devnull, "w")), OperatorSettings(RecordSettings(True, str(tmp_path / "r"), checkpoint=1.0))
    )
    host.record_conductor_start("start")
    assert host.recorder.life_fields["why"] == "start"
    host.enqueue("given", 0)
    host.enqueue("held", 0, "a", "heavy")
    host.run_round()
    host.last_round_at = float("-inf")
    host.run_round()
    writer = host.feed.process
    host.feed.close()
    assert writer.wait(TIMEOUT_S) == 0
    outcome = replayed(tmp_path / "r", 2)
    assert outcome.exact and outcome.failures == 1 and outcome.lives == 2


def test_an_unusable_operator_file_is_reported_line_by_line(tmp_path):
    stand = StandIn()
    path = tmp_path / "operator.hcl"
    path.write_text("record {\n  budget = 5\n  colour = 1\n}\n")
    stand.start()
    stand.program.kill()
    program = run({"EDGE_CONFIG": stand.config.name}, "check", "--operator", str(path))
    lines = program.communicate(timeout=TIMEOUT_S)[1].splitlines()
    assert program.returncode == 2 and len(lines) == 2 and f"{path}:2: 'record.budget'" in lines[0]


def make_fleet(proxies):
    """A stand-in for a fleet of `proxies` proxies, whose relay acknowledges each message for all of them."""
    stand = StandIn()
    family = {
        **SETTINGS["family_info"],
        "partitions_n": 140,
        "data_plane_size": proxies,
        "fixed_cost": 16.0,
        "most_waiting": 175.0 * proxies,
        "lines_per_s": 120.0 * proxies,
    }
    stand.settings = {**SETTINGS, "family_info": family}
    stand.servers = [{"id": f"s{k}", "zone": "z", "state": "active"} for k in range(120)]
    stand.slices, stand.proxies = {0: {"s0": 1.0}}, [0]

    def fate(orders):
        for mark in [f["ticket"] for f in orders if f["do"] == "SYNC"]:
            stand.loop.call_later(
                0.1,
                lambda: stand.send_events(
                    *(("ack", {"proxy": p, "mark": mark, "took_ms": 100.0}) for p in stand.proxies)
                ),
            )
        return True

    stand.fate = fate
    return stand


def test_proxies_and_slices_of_lost_conductors_arrive_at_once_during_a_drain():
    """Guards against joins that delay a drain, and against messages beyond the limit of waiting lines."""
    stand = make_fleet(640)
    address = stand.start()
    assert is_alive(stand, address)
    stand.proxies = list(range(640))
    stand.send_events(*(("hello", {"proxy": p, "zone": "z", "weight": 1.0, "fresh": False}) for p in stand.proxies))
    for k in range(1, 140):
        stand.slices[k] = {f"s{k % 60}": 1.0}
        stand.send_events(
            ("lease", {"slice": k, "on": True}), ("line", {"slice": k, "server": f"s{k % 60}", "weight": 1.0})
        )
    gone = {f"s{k}" for k in range(30)}
    stand.version += 1
    stand.servers = [{**x, "state": "leaving" if x["id"] in gone else "active"} for x in stand.servers]
    started_at = time.monotonic()
    stand.until(lambda: not any(x in gone for held in stand.slices.values() for x in held))
    assert time.monotonic() - started_at < 5 and all(stand.slices.values())
    for orders in stand.calls:  # the lines of a message, over all proxies, are within the limit
        assert (16 + sum(f["do"] != "SYNC" for f in orders)) * 640 <= 175 * 640
    assert stand.stop() == 0


def test_connections_at_the_descriptor_limit_evict_no_collector_during_an_address_change():
    """Waves of silent clients and of incomplete and invalid messages, an address change among them, then a drain."""
    stand = make_fleet(40)
    stand.sockets = 96
    address = stand.start()
    assert is_alive(stand, address)
    collector, _ = call(address, encode_message("agent", "zone", "z"))
    other = StandIn(stand.loop)
    other.slices, other.proxies, other.servers, other.fate = stand.slices, stand.proxies, stand.servers, stand.fate
    invalid_messages = [
        encode_message("outcomes", "zone", "z"),
        encode_message("hot", "slice", "x", "tries", "-1"),
        encode_message("agent", "zone"),
        b"*2\r\n$5\r\nagent\r\n$9",
        b"POST / HTTP/1.1\r\n\r\n",
        b"",
    ]
    clients = []
    for wave in range(4):
        for k in range(120):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(address)
            clients.append(sock)
            if k % 10 == 0:
                stand.loop.call_later(0.005, lambda: None)
                stand.loop.run_once()
            if data := invalid_messages[k % len(invalid_messages)]:
                try:
                    sock.send(data)
                except OSError:
                    pass
        collector.sendall(
            encode_message("hot", "slice", "0", "class", "read", "tries", "4", "failed", "0", "span_ms", "2000")
        )
        if wave == 1:
            stand.reload(discovery=other.address, hub={"address": other.address})
    stand.until(lambda: other.streams and not stand.streams)
    collector.setblocking(False)
    try:
        assert collector.recv(1) != b"", "the collector was closed"
    except BlockingIOError:
        pass  # still connected, and nothing was written to it
    drain(other, "s0")
    stand.until(lambda: "s0" not in other.slices[0])
    assert other.slices[0]

    def closed():  # silent clients and those with invalid messages are closed
        left = []
        for sock in clients:
            try:
                if sock.recv(99):
                    left.append(sock)
            except BlockingIOError:
                left.append(sock)
            except OSError:
                pass
        clients[:] = left
        return not left

    assert stand.until(closed) and stand.stop() == 0
    collector.close()
