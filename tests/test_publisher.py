"""Tests of the publisher and its subscribers on sockets, and in the running program."""

import json
import os
import socket
import ssl
import subprocess
import sys
import time
from pathlib import Path
from random import Random

import pytest
from standins.edges import Site, certificates, most_within
from standins.hubs import SMALL, filled
from standins.platform import SETTINGS, TIMEOUT_S, StandIn
from standins.recordings import replayed

from knotwalk.net.loop import Loop
from knotwalk.pubsub import persistence, publisher, wire
from knotwalk.pubsub.versions import Table

ROOT = Path(__file__).parent.parent
# Messages are counted over 1 s instead of 10 s, which makes the tests faster.
QUICK = SMALL._replace(messages_span=1.0, messages_most=6)


def test_forty_proxies_that_reconnect_at_once_converge_within_the_caps():
    site = Site(QUICK._replace(lines_waiting_most=4000.0), filled(400))
    edges = site.proxies(40)
    site.until(site.alike)
    for round_ in range(3):
        for e in edges:
            e.link.sock.shutdown(socket.SHUT_RDWR)
        site.order(*(("line", (k, f"r{round_}", 1.0)) for k in range(0, 400, 9)))
        site.until(lambda: all(e.link is None for e in edges) or site.alike())
        site.until(site.alike)
    assert all(most_within(e.came, 1.0) <= 6 for e in edges)
    assert all(e.subscriber.applied == len(e.came) for e in edges)
    site.until(lambda: site.hub.unacked_lines == {True: 0, False: 0})
    assert [x for x in site.told if x[0] == "joined"].count(("joined", 7)) >= 2


def test_links_that_flap_or_are_cut_silently():
    site = Site(QUICK, filled(200))
    edges, rng = site.proxies(10), Random(4)
    site.until(site.alike)
    for k in range(6):
        for e in edges[:5]:
            if e.link and rng.random() < 0.7:
                e.link.sock.shutdown(socket.SHUT_RDWR)
        site.order(("line", (k, "x", 1.0)))
        site.turn(0.5 * rng.random())
    # The path is cut: the old stream stays open and silent, and a new one of the same name replaces it.
    for e in edges[5:]:
        if e.link:
            site.loop.selector.unregister(e.link.sock)
            e.link.closed, e.old = True, e.link.sock
            e.link = None
            e.start()
    site.order(("line", (9, "y", 1.0)))
    site.until(site.alike)
    assert all(most_within(e.came, 1.0) <= 6 for e in edges) and len(site.hub.cursors) == 10


def test_unidentified_clients_garbage_floods_and_slow_readers_do_not_affect_the_others():
    site = Site(QUICK, filled(300), seats=60)
    edges = site.proxies(5)
    site.until(site.alike)
    idle = []
    for k in range(1000):  # the publisher keeps 60 streams and closes the oldest
        idle.append(socket.create_connection(site.address))
        if k % 50 == 49:
            site.turn()
            for sock in idle[:-100]:
                sock.close()
            del idle[:-100]
    malformed = [socket.create_connection(site.address) for _ in range(5)]
    for sock, data in zip(
        malformed,
        (
            b"GET / HTTP/1.1\r\n\r\n",
            b"\xff" * 9000,
            b'{"t":"ack","n":1}\n',
            b"[]\n",
            b'{"t":"hello","v":1,"name":"' + b"x" * 20_000,
        ),
    ):
        sock.sendall(data)
    slow = socket.create_connection(site.address)
    slow.sendall(wire.encode_message("hello", v=1, name="slow", proxy=99))
    site.until(lambda: "slow" in site.hub.cursors)
    for _ in range(30):  # many hellos of one name
        sock = socket.create_connection(site.address)
        sock.sendall(wire.encode_message("hello", v=1, name="flood", proxy=98))
        idle.append(sock)
    started = time.monotonic()
    for k in range(20):
        site.order(("line", (k, "z", 1.0)))
        site.turn(0.05)
    site.until(lambda: site.alike(edges))
    assert time.monotonic() - started < 10 and len(site.publisher.streams) <= 60
    site.until(lambda: len(site.publisher.streams) < 20)
    assert site.hub.cursors["slow"].number <= 4 and len(site.hub.cursors) <= 7
    kinds = {kind for kind, _ in site.lines}
    assert {"subscriber refused", "subscriber ended"} <= kinds
    for sock in [*idle, *malformed, slow]:
        sock.close()


def contexts(folder, authority, name):
    context = ssl.create_default_context(cafile=authority)
    if name:
        context.load_cert_chain(folder / f"{name}.pem", folder / f"{name}.key")
    return context


def test_clients_without_a_valid_certificate_get_nothing_and_a_reload_keeps_open_streams(tmp_path):
    authority = certificates(tmp_path, ["publisher", "p1", "p2"])
    files = ("", str(tmp_path / "publisher.pem"), str(tmp_path / "publisher.key"), authority)
    site = Site(QUICK, filled(50), publisher.Access(*files))
    known = site.edge("p1", proxy=1, context=contexts(tmp_path, authority, "p1"), server_name="publisher")
    site.until(lambda: site.alike([known]))
    other = site.edge("p1", proxy=1, context=contexts(tmp_path, authority, "p2"), server_name="publisher")
    none = site.edge("p3", proxy=3, context=contexts(tmp_path, authority, None), server_name="publisher")
    plain = site.edge("p4", proxy=4)
    site.until(lambda: any("another name" in text for _, text in other.words))
    site.until(lambda: sum(kind == "lost" for kind, _ in none.words) > 1 and plain.words.count(plain.words[0]) > 1)
    assert not (other.came or none.came or plain.came)
    for e in (other, none, plain):
        e.stop()
    again = tmp_path / "again"
    again.mkdir()
    authority_2 = certificates(again, ["publisher", "p1"])
    site.publisher.reload(publisher.Access("", str(again / "publisher.pem"), str(again / "publisher.key"), authority_2))
    link = known.link
    site.order(("line", (1, "later", 1.0)))
    site.until(lambda: site.alike([known]))
    assert known.link is link
    fresh = site.edge("p1", proxy=1, context=contexts(again, authority_2, "p1"), server_name="publisher")
    site.until(lambda: site.alike([fresh]))


def test_a_secret_admits_only_its_role(tmp_path):
    path = tmp_path / "keys"
    path.write_text("proxy  0123456789abcdef0  # edge\nobserver fedcba98765432100\n")
    site = Site(QUICK, filled(5), publisher.Access(str(path)))
    good = [site.edge("p", proxy=1, key="0123456789abcdef0"), site.edge("w", key="fedcba98765432100")]
    bad = [site.edge("x", proxy=2, key="fedcba98765432100"), site.edge("y", key="short"), site.edge("z", proxy=3)]
    site.until(lambda: site.alike(good))
    site.until(lambda: all(any(kind == "refused" and "no key" in text for kind, text in e.words) for e in bad))
    assert not any(e.came for e in bad)
    for text, message in (("proxy short\n", ":1: a secret of 5"), ("admin x\n", ":1: 'proxy SECRET'"), ("# \n", "no")):
        path.write_text(text)
        with pytest.raises(publisher.AccessConfigError, match=message):
            publisher.Access(str(path))
    with pytest.raises(publisher.AccessConfigError, match="No such file"):
        publisher.Access(str(tmp_path / "none"))


def test_a_table_file_damaged_at_any_byte_is_rejected(tmp_path):
    data = persistence.encode_state(filled(20), 500, b"key")
    table, key = persistence.decode_state(data)
    assert (table.version, table.epoch, key) == (500, "e1", b"key")
    assert sorted(table.rows()) == sorted(filled(20).rows())
    rng = Random(1)
    for _ in range(200):
        offset = rng.randrange(len(data))
        for damaged in (
            data[:offset],
            data[:offset] + bytes([data[offset] ^ 1 << rng.randrange(8)]) + data[offset + 1 :],
        ):
            with pytest.raises(persistence.TableFileError):
                persistence.decode_state(damaged)


def test_a_writer_killed_at_random_leaves_a_complete_file_and_versions_are_never_reused(tmp_path, monkeypatch):
    monkeypatch.setattr(persistence, "RESERVED_VERSIONS", 50)
    monkeypatch.setattr(persistence, "RESTART_DELAY_S", 0.01)
    loop, lines, rng = Loop(), [], Random(3)
    path, table, published = tmp_path / "n0.kwt", filled(100), 0
    for incarnation in range(4):
        exhausted = []
        writer = persistence.TableWriter(
            loop, path, persistence.acquire_lock(path), table, b"key", lambda kind, text="": lines.append(kind)
        )
        for k in range(60):
            table.set_line(k, f"s{incarnation}-{k}", 1.0)
            writer.check_reservation(lambda: exhausted.append(table.version))
            if exhausted:
                break
            published = max(published, table.version)
            if rng.random() < 0.2 and writer.process:
                writer.process.kill()
            end = time.monotonic() + rng.uniform(0, 0.02)
            while time.monotonic() < end:
                loop.call_later(0.002, lambda: None)
                loop.run_once()
        writer.close()
        loop.timers.clear()
        os.close(persistence.acquire_lock(path))  # its process has ended
        table, _ = persistence.load(path)
        assert table.version >= published
    assert "keeping stands still" in lines
    lock = persistence.acquire_lock(path)
    monkeypatch.setattr(persistence, "LOCK_TIMEOUT_S", 0.05)
    with pytest.raises(persistence.TableFileError, match="another process keeps it"):
        persistence.acquire_lock(path)
    os.close(lock)


def start_publishing(stand, folder, **options):
    """Start the program with a publisher; stand.published is its address."""
    path = folder / "operator.hcl"
    rows = "".join(f'  {k} = "{v}"\n' for k, v in {"listen": "127.0.0.1:0", **options}.items())
    path.write_text(f'pubsub {{\n  enabled = true\n{rows}}}\nrecord {{\n  enabled = true\n  path = "{folder}/r"\n}}\n')
    return stand.start(arguments=("--operator", str(path)))


@pytest.fixture
def port():
    """An address that stays reserved while the program that listens there is down: bound here without listening."""
    with socket.socket() as reserved:
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind(("127.0.0.1", 0))
        yield f"127.0.0.1:{reserved.getsockname()[1]}"


def test_the_program_publishes_and_the_command_prints_the_table(tmp_path):
    stand = StandIn()
    start_publishing(stand, tmp_path, keep=str(tmp_path / "kept"))
    address = stand.published
    stand.until(lambda: stand.streams)
    process = subprocess.Popen(
        [sys.executable, "-m", "knotwalk", "subscribe", "--once", "--json", "--name", "w", address],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    stand.until(lambda: process.poll() is not None)
    printed = [json.loads(line) for line in process.stdout]
    assert (
        process.returncode == 0 and printed[-1]["slices"] == {"0": {"a": 1.0}, "1": {"b": 1.0}} and printed[-1]["whole"]
    )
    assert stand.stop() == 0 and persistence.load(tmp_path / "kept" / "n0.kwt")


def test_a_conductor_killed_repeatedly_leaves_all_subscribers_alike(tmp_path, port):
    stand, rng = StandIn(), Random(6)
    stand.slices = {k: {("a", "b")[k % 2]: 1.0} for k in range(2)}
    start_publishing(stand, tmp_path, keep=str(tmp_path / "kept"), listen=port)
    assert stand.published == port
    site = Site(SMALL, Table("x"))
    site.loop = stand.loop
    site.address = ("127.0.0.1", int(port.rpartition(":")[2]))
    edges = [site.edge(f"p{k}", k, k) for k in range(6)]

    def alike():
        return all(
            e.link and e.subscriber.next_slice is None and e.subscriber.slice_lines == stand.slices for e in edges
        )

    stand.until(alike)
    epochs = {e.subscriber.epoch for e in edges}
    for k in range(3):
        started = time.monotonic()
        stand.version += 1
        leaving = "ab"[k % 2]
        stand.servers = [{**x, "state": "leaving" if x["id"] == leaving else "active"} for x in stand.servers]
        wait = rng.uniform(0, 0.6)
        stand.until(lambda: time.monotonic() > started + wait)
        stand.program.kill()
        stand.program.wait(TIMEOUT_S)
        start_publishing(stand, tmp_path, keep=str(tmp_path / "kept"), listen=port)
        stand.until(lambda: all(set(lines) == {"ba"[k % 2]} for lines in stand.slices.values()) and alike())
    assert {e.subscriber.epoch for e in edges} == epochs and len(epochs) == 1  # it continued in the same epoch
    assert stand.stop() == 0
    outcome = replayed(tmp_path / "r", 4)  # what the publisher told the module is in the recording
    assert outcome.exact and outcome.lives == 4


def test_a_conductor_killed_during_snapshots_leaves_all_subscribers_alike(tmp_path, port):
    stand, rng = StandIn(), Random(7)
    family = {**SETTINGS["family_info"], "partitions_n": 700, "most_waiting": 4000, "messages_most": 100}
    stand.settings = {**SETTINGS, "family_info": family}
    stand.slices = {k: {"ab"[k % 2]: 1.0} for k in range(700)}
    start_publishing(stand, tmp_path, keep=str(tmp_path / "kept"), listen=port)
    assert stand.published == port
    site = Site(SMALL, Table("x"))
    site.loop, site.address = stand.loop, ("127.0.0.1", int(port.rpartition(":")[2]))
    edges, interrupted = [site.edge(f"p{k}", k, k) for k in range(20)], 0
    for k in range(4):
        if k == 0:  # certainly during a snapshot; later at random, while the rest of it is sent
            stand.until(lambda: any((e.subscriber.next_slice or 0) > 0 for e in edges))
        else:
            stand.until(lambda: any(e.link for e in edges))
            end = time.monotonic() + rng.uniform(0, 0.3)
            stand.until(lambda: time.monotonic() > end)
        stand.program.kill()
        stand.program.wait(TIMEOUT_S)
        interrupted += sum(0 < (e.subscriber.next_slice or 0) for e in edges)
        start_publishing(stand, tmp_path, keep=str(tmp_path / "kept"), listen=port)
    stand.until(lambda: all(e.link and e.subscriber.next_slice is None for e in edges))
    assert all(e.subscriber.slice_lines == stand.slices for e in edges) and interrupted > 0
    assert all(e.subscriber.applied == len(e.came) for e in edges) and stand.stop() == 0


def test_a_publisher_that_cannot_start_prints_one_line(tmp_path):
    stand = StandIn()
    stand.start()
    stand.program.kill()
    occupied = socket.create_server(("127.0.0.1", 0))
    port = occupied.getsockname()[1]
    for rows, message in (
        (f'listen = "127.0.0.1:{port}"', f"pubsub.listen: 127.0.0.1:{port}: "),
        ('listen = "127.0.0.1:0"\n secrets = "/none"', "pubsub: /none: No such file"),
        ('listen = "127.0.0.1:0"\n keep = "/proc/none"', "pubsub.keep: "),
    ):
        (tmp_path / "o.hcl").write_text(f"pubsub {{\n enabled = true\n {rows}\n}}\n")
        done = subprocess.run(
            [sys.executable, "-m", "knotwalk", "serve", "--operator", str(tmp_path / "o.hcl")],
            cwd=ROOT,
            env={"EDGE_CONFIG": stand.config.name},
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )
        assert done.returncode == 2 and message in done.stderr and done.stderr.count("\n") == 1, done.stderr
