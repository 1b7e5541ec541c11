"""The program, started and spoken to over sockets, with stand-ins for its peers."""

import json
import os
import signal
import socket
import time
from pathlib import Path
from random import Random

from standins.platform import PATIENCE, SETTINGS, StandIn, call, run
from standins.tapes import replayed

from knotwalk.net.close_reason import CloseReason
from knotwalk.net.conductor import Config, ConfigError, Host
from knotwalk.net.log import Log
from knotwalk.net.resp import encode_message
from knotwalk.settings.operator import OperatorSettings, RecordSettings

ALIVE = encode_message("alive")


def alive(stand, address):
    """Whether a probe is answered, with the stand-ins going on meanwhile."""
    sock, _ = call(address, encode_message("probe"))
    sock.setblocking(False)

    def got():
        try:
            return sock.recv(99) == ALIVE
        except BlockingIOError:
            return False

    try:
        return stand.until(got)
    finally:
        sock.close()


def drain(stand, server="a"):
    stand.version += 1
    stand.servers = [{**x, "state": "leaving" if x["id"] == server else x["state"]} for x in stand.servers]


def orders(stand):
    return [f for x in stand.calls for f in x if f["do"] == "SET"]


OFF_A = [
    {"do": "SET", "group": 0, "server": "b", "weight": 1.0},
    {"do": "SET", "group": 0, "server": "a", "weight": 0.0},
]


def test_it_serves_orders_a_drain_and_ends_at_sigterm():
    stand = StandIn()
    address = stand.start()
    assert alive(stand, address)
    drain(stand)
    stand.until(lambda: orders(stand))
    assert orders(stand) == OFF_A and stand.calls[-1][-1]["do"] == "SYNC"
    begun = time.monotonic()
    assert stand.stop() == 0 and time.monotonic() - begun < 0.7


def test_a_broken_call_that_was_carried_out_is_not_given_again():
    stand = StandIn()
    address = stand.start()
    assert alive(stand, address)
    stand.fate = lambda given: None if any(f["do"] == "SET" for f in given) else True
    drain(stand)
    stand.until(lambda: orders(stand))
    stand.fate = lambda given: True
    drain(stand, "none")
    stand.servers[0]["state"] = "active"
    stand.slices[9] = {}
    stand.tell(("lease", {"slice": 9, "on": True}))
    stand.until(lambda: any(f["group"] == 9 for f in orders(stand)))
    assert orders(stand)[:2] == OFF_A and all(f["group"] == 9 for f in orders(stand)[2:])
    assert stand.stop() == 0


def test_a_broken_call_that_was_not_carried_out_is_given_again():
    stand = StandIn()
    address = stand.start()
    assert alive(stand, address)
    stand.fate = lambda given: not any(f["do"] == "SET" for f in given) or len(orders(stand)) > 2
    drain(stand)
    stand.until(lambda: stand.slices[0] == {"b": 1.0})
    assert orders(stand) == OFF_A * 2 and stand.stop() == 0


def test_peers_that_break_or_fall_silent_are_found_again():
    stand = StandIn()
    address = stand.start()
    assert alive(stand, address)
    for link in list(stand.links):
        link.close(CloseReason.CLOSED_BY_US)
    stand.until(lambda: stand.news)
    drain(stand)
    stand.until(lambda: orders(stand) == OFF_A)
    assert stand.program.poll() is None and stand.stop() == 0


def test_it_starts_again_from_nothing_after_a_kill():
    stand = StandIn()
    address = stand.start()
    assert alive(stand, address)
    stand.program.kill()
    stand.program.wait(PATIENCE)
    drain(stand)
    assert stand.start("%s:%d" % address) == address and alive(stand, address)
    stand.until(lambda: stand.slices[0] == {"b": 1.0})
    assert stand.stop() == 0


def test_a_new_configuration_moves_to_other_addresses():
    """Guards against an end at SIGHUP, and the start's environment hiding where things are now."""
    stand = StandIn()
    other = StandIn(stand.loop)
    other.slices = stand.slices
    address = stand.start()
    assert alive(stand, address)
    stand.reload(discovery=other.address, hub={"address": other.address})
    stand.until(lambda: other.news and not stand.news)
    drain(other)
    stand.until(lambda: orders(other))
    assert orders(other) == OFF_A and not orders(stand) and all(link.closed for link in stand.links)
    assert stand.stop() == 0


def test_a_reload_asked_for_while_it_starts_is_done_once_it_serves(tmp_path):
    """SIGHUP ended it (exit 129) until the configuration was read. Here that reading is held up by a pipe."""
    stand, other, path = StandIn(), StandIn(), tmp_path / "config"
    os.mkfifo(path)
    told = {
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
    with open(path, "w") as pipe:  # comes back once the program reads
        program.send_signal(signal.SIGHUP)
        (tmp_path / "new").write_text(json.dumps({**told, "discovery": other.address}))
        os.replace(tmp_path / "new", path)
        pipe.write(json.dumps(told))
    lines = [program.stderr.readline() for _ in range(2)]
    program.terminate()
    assert program.wait(PATIENCE) == 0
    assert "knotwalk serving" in lines[0] and f"reloaded: discovery is at {other.address}" in lines[1], lines


def test_a_new_configuration_that_cannot_be_used_leaves_the_old_in_place():
    stand = StandIn()
    address = stand.start()
    assert alive(stand, address)
    for changes in ({"hub": {"address": "nowhere"}}, {"name": "n9"}, {"settings": {"tick_us": "x"}}):
        stand.reload(**changes)
        line = stand.program.stderr.readline()
        assert "reload refused" in line and "Traceback" not in line
    Path(stand.config.name).write_text("{")
    stand.program.send_signal(signal.SIGHUP)
    assert "reload refused" in stand.program.stderr.readline()
    drain(stand)
    stand.until(lambda: orders(stand) == OFF_A)
    assert stand.stop() == 0


def test_a_drain_is_kept_while_everything_breaks():
    """Links end at every moment and calls are carried out or not; what stands in the end is what was decided."""
    stand, chance = StandIn(), Random(3)
    address = stand.start()
    assert alive(stand, address)
    stand.fate = lambda given: chance.choice([True, None, False])
    collector, _ = call(address, encode_message("agent", "zone", "z"))
    report = encode_message("hot", "slice", "0", "class", "read", "tries", "40", "failed", "0", "span_ms", "2000")
    for step in range(100):
        if step == 30:
            drain(stand)
        collector.sendall(report)
        open_links = [link for link in stand.links if not link.closed]
        if open_links and chance.random() < 0.3:
            chance.choice(open_links).close(CloseReason.CLOSED_BY_US)
        stand.loop.call_later(0.02, lambda: None)
        stand.loop.run_once()
    stand.fate = lambda given: True
    stand.until(lambda: stand.slices == {0: {"b": 1.0}, 1: {"b": 1.0}})
    assert alive(stand, address) and stand.stop() == 0
    collector.close()


def test_strangers_and_garbage_do_not_keep_it_from_serving():
    stand = StandIn()
    address = stand.start()
    assert alive(stand, address)
    socks = [socket.create_connection(address, PATIENCE) for _ in range(80)]  # the limit is 64 descriptors
    said = [b"GET / HTTP/1.1\r\n\r\n", b"*1\r\n$999999999\r\n", b"*9\r\n$5\r\nho", b"\0" * 99]
    for sock, data in zip(socks, said * 20):
        try:
            sock.sendall(data)
        except OSError:
            pass
    assert alive(stand, address) and stand.stop() == 0


def test_a_log_that_nobody_reads_does_not_stop_it():
    reads, writes = os.pipe()
    os.set_blocking(writes, False)
    try:
        while True:
            os.write(writes, b"x" * 4096)
    except BlockingIOError:
        os.set_blocking(writes, True)
    with socket.create_server(("127.0.0.1", 0)) as free:
        listen = "%s:%d" % free.getsockname()
    stand = StandIn()
    address = stand.start(listen, writes)
    stand.until(lambda: stand.news)
    assert alive(stand, address) and stand.stop() == 0
    os.close(reads)
    os.close(writes)


def test_a_bad_start_says_what_is_wrong_in_one_line(tmp_path):
    good, bad = tmp_path / "good.json", tmp_path / "bad.json"
    stand = StandIn()
    told = {
        "name": "n0",
        "listen": stand.address,
        "discovery": stand.address,
        "seed": "5",
        "hub": {"address": stand.address},
        "settings": SETTINGS,
    }
    good.write_text(json.dumps(told))
    bad.write_text(json.dumps({**told, "hub": {}}))
    for environ, code, word in (
        ({}, 2, "EDGE_CONFIG"),
        ({"EDGE_CONFIG": "/none"}, 2, "/none"),
        ({"EDGE_CONFIG": str(bad)}, 2, "'address' is missing"),
        ({"EDGE_CONFIG": str(good), "EDGE_LISTEN": "x"}, 2, "EDGE_LISTEN"),
        ({"EDGE_CONFIG": str(good)}, 1, "in use"),
    ):
        program = run(environ)
        _, errors = program.communicate(timeout=PATIENCE)
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
    said = run({"EDGE_CONFIG": str(path)}, "check").communicate(timeout=PATIENCE)[0]
    assert "n7 listens on 127.0.0.1:0" in said and "methods: read" in said
    assert run({}, "check").wait(PATIENCE) == 2
    assert run({}, "version").communicate(timeout=PATIENCE)[0].startswith("knotwalk 0.")
    program = run({}, "nonsense")
    assert "Usage:" in "".join(program.communicate(timeout=PATIENCE)) and program.returncode == 1


def host(tmp_path, **changes):
    path = tmp_path / "config.json"
    told = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "5",
        "hub": {"address": "127.0.0.1:1"},
        "settings": SETTINGS,
        "known": {"version": 1, "servers": [{"id": "a", "state": "active"}]},
        **changes,
    }
    path.write_text(json.dumps(told))
    return Host(Config({"EDGE_CONFIG": str(path)}), Log(open(os.devnull, "w")))


def test_decisions_that_fail_start_again_from_what_stands(tmp_path):
    """Guards against a fault in the module that would end every conductor at the same message."""
    h = host(tmp_path)
    h.relay_stream.proxies, h.relay_stream.slices = {4}, {0: {"a": 1.0}}
    failed = h.conductor
    failed.decide = lambda *_: 1 / 0
    failed.sent_times.append(7.0)
    failed.receipt_mark = 40
    h.run_round()
    assert h.conductor is not failed and list(h.conductor.sent_times) == [7.0] and h.conductor.receipt_mark == 40
    assert h.inbox == [
        ("joined", (4,)),
        ("given", (0,)),
        ("held", (0, "a", 1.0)),
        ("listed", (True, False, [("a", "", "ready", 1.0, 0.0)])),
    ]
    h.last_round_at = 0.0
    h.run_round()
    assert h.conductor.slices[0].sent_lines == {h.conductor.servers["a"]: 1.0} and h.inbox == []


def test_new_settings_make_a_new_module_that_starts_from_what_stands(tmp_path):
    h = host(tmp_path)
    h.relay_stream.slices, old = {0: {"a": 1.0}}, h.conductor
    old.in_flight.append((7, 30, {1}))
    told = json.loads((tmp_path / "config.json").read_text())
    told["settings"]["classes"].append({"name": "write", "slo_us": 1, "worth": 9})
    told["limits"] = {"sockets": 100}
    (tmp_path / "config.json").write_text(json.dumps(told))
    h.reload({"EDGE_CONFIG": str(tmp_path / "config.json")})
    assert h.conductor is not old and len(h.conductor.rpc_costs) == 2 and h.conductor.in_flight == old.in_flight
    assert (
        h.method_names == {0: "read", 1: "write"} and h.collectors.max_connections == 80 and ("given", (0,)) in h.inbox
    )


def test_rounds_keep_the_tick(tmp_path):
    h = host(tmp_path)
    rounds = []
    h.conductor.decide = lambda now, inbox, out: rounds.append(now)
    h.run_round()
    h.run_round()
    h.run_round()
    assert len(rounds) == 1 and h.round_timer is not None
    h.loop.run_once()
    assert len(rounds) == 2 and rounds[1] >= rounds[0] + h.config.tick_s and h.round_timer is None


def test_timers_for_one_time_are_one_round(tmp_path):
    h = host(tmp_path)
    rounds = []
    h.conductor.decide = lambda now, inbox, out: rounds.append(now)
    for _ in range(3):
        h.schedule_round(h.loop.now() + 0.005)
    while len(rounds) < 1 or h.loop.timers:
        h.loop.run_once()
    assert len(rounds) <= 2


def test_figures_in_the_configuration_that_make_no_sense(tmp_path):
    for changes in (
        {"limits": {"sockets": "many"}},
        {"seed": "xyz"},
        {"settings": {"tick_us": "soon"}},
        {"known": {"version": 1, "servers": [{}]}},
        {"discovery": "here:1"},
        {"settings": {"classes": [{"slo_us": "x"}]}},
    ):
        try:
            host(tmp_path, **changes)
        except ConfigError as fault:
            assert len(str(fault).splitlines()) == 1
        else:
            assert False, changes


def recording(folder):
    """An operator's file that records."""
    path = folder / "operator.hcl"
    path.write_text(f'record {{\n  enabled = true\n  path = "{folder}/r"\n  checkpoint = "1s"\n}}\n')
    return "--operator", str(path)


def reports(address):
    """A collector's word on both servers, a period's worth."""
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


def test_lives_with_a_restart_a_kill_and_a_reload_are_recorded_and_replay_exactly(tmp_path):
    stand = StandIn()
    address = stand.start(arguments=recording(tmp_path))
    assert alive(stand, address)
    told = reports(address)
    drain(stand)
    stand.until(lambda: orders(stand))
    changed = {**SETTINGS, "family_info": {**SETTINGS["family_info"], "messages_most": 6}}
    stand.reload(settings=changed)
    stand.until(lambda: "reloaded" in stand.program.stderr.readline())
    drain(stand, "none")
    turned = time.monotonic()
    stand.until(lambda: time.monotonic() > turned + 1)
    assert stand.stop() == 0
    stand.start("%s:%d" % address, arguments=recording(tmp_path))
    assert alive(stand, address)
    drain(stand, "b")
    begun = time.monotonic()
    stand.until(lambda: time.monotonic() > begun + 3)  # past a block's age
    stand.program.kill()
    stand.program.wait(PATIENCE)
    stand.start("%s:%d" % address, arguments=recording(tmp_path))
    assert alive(stand, address) and stand.stop() == 0
    told.close()
    outcome = replayed(tmp_path / "r", 4)
    assert outcome.exact and outcome.lives == 4, outcome
    assert all(x.until == float("inf") for x in outcome.losses) and len(outcome.losses) <= 1


def test_decisions_that_fail_are_recorded_and_fail_again(tmp_path):
    """In this process, so that the module can be spoilt: a fault in it is not to be had from outside."""
    stand = StandIn()
    stand.start()
    stand.program.kill()
    config = Config({"EDGE_CONFIG": stand.config.name})
    host = Host(
        config, Log(open(os.devnull, "w")), OperatorSettings(RecordSettings(True, str(tmp_path / "r"), checkpoint=1.0))
    )
    host.begin_incarnation("start")
    assert host.recorder.life_told["why"] == "start"
    host.enqueue("given", 0)
    host.enqueue("held", 0, "a", "heavy")
    host.run_round()
    host.last_round_at = float("-inf")
    host.run_round()
    writer = host.feed.process
    host.feed.close()
    assert writer.wait(PATIENCE) == 0
    outcome = replayed(tmp_path / "r", 2)
    assert outcome.exact and outcome.failures == 1 and outcome.lives == 2


def test_an_operators_file_that_cannot_be_used_is_told_in_lines(tmp_path):
    stand = StandIn()
    path = tmp_path / "operator.hcl"
    path.write_text("record {\n  budget = 5\n  colour = 1\n}\n")
    stand.start()
    stand.program.kill()
    program = run({"EDGE_CONFIG": stand.config.name}, "check", "--operator", str(path))
    lines = program.communicate(timeout=PATIENCE)[1].splitlines()
    assert program.returncode == 2 and len(lines) == 2 and f"{path}:2: 'record.budget'" in lines[0]


def at_size(proxies):
    """A stand-in for a fleet of so many proxies, whose relay acknowledges each message for all of them."""
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

    def fate(given):
        for mark in [f["ticket"] for f in given if f["do"] == "SYNC"]:
            stand.loop.call_later(
                0.1, lambda: stand.tell(*(("ack", {"proxy": p, "mark": mark, "took_ms": 100.0}) for p in stand.proxies))
            )
        return True

    stand.fate = fate
    return stand


def test_all_proxies_and_slices_of_lost_conductors_come_at_once_and_a_drain_with_them():
    """Guards against joinings that hold back what must leave, and messages past the cap of waiting lines."""
    stand = at_size(640)
    address = stand.start()
    assert alive(stand, address)
    stand.proxies = list(range(640))
    stand.tell(*(("hello", {"proxy": p, "zone": "z", "weight": 1.0, "fresh": False}) for p in stand.proxies))
    for k in range(1, 140):
        stand.slices[k] = {f"s{k % 60}": 1.0}
        stand.tell(("lease", {"slice": k, "on": True}), ("line", {"slice": k, "server": f"s{k % 60}", "weight": 1.0}))
    gone = {f"s{k}" for k in range(30)}
    stand.version += 1
    stand.servers = [{**x, "state": "leaving" if x["id"] in gone else "active"} for x in stand.servers]
    begun = time.monotonic()
    stand.until(lambda: not any(x in gone for held in stand.slices.values() for x in held))
    assert time.monotonic() - begun < 5 and all(stand.slices.values())
    for given in stand.calls:  # what a message weighs at all proxies is within the cap
        assert (16 + sum(f["do"] != "SYNC" for f in given)) * 640 <= 175 * 640
    assert stand.stop() == 0


def test_a_crowd_at_the_limit_of_descriptors_costs_no_collector_its_seat_while_addresses_move():
    """Strangers, half-spoken and spoilt messages in waves, a new configuration in their midst, then a drain."""
    stand = at_size(40)
    stand.sockets = 96
    address = stand.start()
    assert alive(stand, address)
    collector, _ = call(address, encode_message("agent", "zone", "z"))
    other = StandIn(stand.loop)
    other.slices, other.proxies, other.servers, other.fate = stand.slices, stand.proxies, stand.servers, stand.fate
    spoilt = [
        encode_message("outcomes", "zone", "z"),
        encode_message("hot", "slice", "x", "tries", "-1"),
        encode_message("agent", "zone"),
        b"*2\r\n$5\r\nagent\r\n$9",
        b"POST / HTTP/1.1\r\n\r\n",
        b"",
    ]
    crowd = []
    for wave in range(4):
        for k in range(120):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(address)
            crowd.append(sock)
            if k % 10 == 0:
                stand.loop.call_later(0.005, lambda: None)
                stand.loop.run_once()
            if data := spoilt[k % len(spoilt)]:
                try:
                    sock.send(data)
                except OSError:
                    pass
        collector.sendall(
            encode_message("hot", "slice", "0", "class", "read", "tries", "4", "failed", "0", "span_ms", "2000")
        )
        if wave == 1:
            stand.reload(discovery=other.address, hub={"address": other.address})
    stand.until(lambda: other.news and not stand.news)
    collector.setblocking(False)
    try:
        assert collector.recv(1) != b"", "the collector was ended"
    except BlockingIOError:
        pass  # still there, and nothing was written to it
    drain(other, "s0")
    stand.until(lambda: "s0" not in other.slices[0])
    assert other.slices[0]

    def closed():  # what was spoilt or silent is ended, not kept
        left = []
        for sock in crowd:
            try:
                if sock.recv(99):
                    left.append(sock)
            except BlockingIOError:
                left.append(sock)
            except OSError:
                pass
        crowd[:] = left
        return not left

    assert stand.until(closed) and stand.stop() == 0
    collector.close()
