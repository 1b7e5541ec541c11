"""The publisher and its subscribers on sockets, and in the started program."""

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
from standins.platform import PATIENCE, SETTINGS, StandIn
from standins.recordings import replayed

from knotwalk.net.loop import Loop
from knotwalk.pubsub import front, keep, wire
from knotwalk.pubsub.versions import Table

ROOT = Path(__file__).parent.parent
# Spans of a second: what takes ten in service takes one here.
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
    site.until(lambda: site.hub.waiting == {True: 0, False: 0})
    assert [x for x in site.told if x[0] == "joined"].count(("joined", 7)) >= 2


def test_links_that_flap_and_ones_that_are_cut_without_a_word():
    site = Site(QUICK, filled(200))
    edges, chance = site.proxies(10), Random(4)
    site.until(site.alike)
    for k in range(6):
        for e in edges[:5]:
            if e.link and chance.random() < 0.7:
                e.link.sock.shutdown(socket.SHUT_RDWR)
        site.order(("line", (k, "x", 1.0)))
        site.turn(0.5 * chance.random())
    # Cut: the old stream stays open and silent, a new one of the same name takes its place.
    for e in edges[5:]:
        if e.link:
            site.loop.selector.unregister(e.link.sock)
            e.link.closed, e.old = True, e.link.sock
            e.link = None
            e.start()
    site.order(("line", (9, "y", 1.0)))
    site.until(site.alike)
    assert all(most_within(e.came, 1.0) <= 6 for e in edges) and len(site.hub.cursors) == 10


def test_strangers_garbage_floods_and_readers_that_do_not_read_cost_the_others_nothing():
    site = Site(QUICK, filled(300), seats=60)
    edges = site.proxies(5)
    site.until(site.alike)
    silent = []
    for k in range(1000):  # the oldest go as they come: it holds sixty
        silent.append(socket.create_connection(site.address))
        if k % 50 == 49:
            site.turn()
            for sock in silent[:-100]:
                sock.close()
            del silent[:-100]
    loud = [socket.create_connection(site.address) for _ in range(5)]
    for sock, data in zip(
        loud,
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
    slow.sendall(wire.line("hello", v=1, name="slow", proxy=99))
    site.until(lambda: "slow" in site.hub.cursors)
    for _ in range(30):  # floods of hellos of one name
        sock = socket.create_connection(site.address)
        sock.sendall(wire.line("hello", v=1, name="flood", proxy=98))
        silent.append(sock)
    begun = time.monotonic()
    for k in range(20):
        site.order(("line", (k, "z", 1.0)))
        site.turn(0.05)
    site.until(lambda: site.alike(edges))
    assert time.monotonic() - begun < 10 and len(site.publisher.streams) <= 60
    site.until(lambda: len(site.publisher.streams) < 20)
    assert site.hub.cursors["slow"].number <= 4 and len(site.hub.cursors) <= 7
    kinds = {kind for kind, _ in site.lines}
    assert {"subscriber refused", "subscriber ended"} <= kinds
    for sock in [*silent, *loud, slow]:
        sock.close()


def contexts(folder, authority, name):
    context = ssl.create_default_context(cafile=authority)
    if name:
        context.load_cert_chain(folder / f"{name}.pem", folder / f"{name}.key")
    return context


def test_who_is_not_known_gets_nothing_and_keys_are_reloaded_without_losing_streams(tmp_path):
    authority = certificates(tmp_path, ["publisher", "p1", "p2"])
    files = ("", str(tmp_path / "publisher.pem"), str(tmp_path / "publisher.key"), authority)
    site = Site(QUICK, filled(50), front.Access(*files))
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
    site.publisher.reload(front.Access("", str(again / "publisher.pem"), str(again / "publisher.key"), authority_2))
    link = known.link
    site.order(("line", (1, "later", 1.0)))
    site.until(lambda: site.alike([known]))
    assert known.link is link
    fresh = site.edge("p1", proxy=1, context=contexts(again, authority_2, "p1"), server_name="publisher")
    site.until(lambda: site.alike([fresh]))


def test_keys_let_in_by_role_and_are_told_from_each_other(tmp_path):
    path = tmp_path / "keys"
    path.write_text("proxy  0123456789abcdef0  # edge\nobserver fedcba98765432100\n")
    site = Site(QUICK, filled(5), front.Access(str(path)))
    good = [site.edge("p", proxy=1, key="0123456789abcdef0"), site.edge("w", key="fedcba98765432100")]
    bad = [site.edge("x", proxy=2, key="fedcba98765432100"), site.edge("y", key="short"), site.edge("z", proxy=3)]
    site.until(lambda: site.alike(good))
    site.until(lambda: all(any(kind == "refused" and "no key" in text for kind, text in e.words) for e in bad))
    assert not any(e.came for e in bad)
    for text, message in (("proxy short\n", ":1: a secret of 5"), ("admin x\n", ":1: 'proxy SECRET'"), ("# \n", "no")):
        path.write_text(text)
        with pytest.raises(front.Misfit, match=message):
            front.Access(str(path))
    with pytest.raises(front.Misfit, match="No such file"):
        front.Access(str(tmp_path / "none"))


def test_a_kept_file_that_is_damaged_is_refused_in_words_at_any_byte(tmp_path):
    data = keep.packed(filled(20), 500, b"key")
    table, key = keep.unpacked(data)
    assert (table.version, table.epoch, key) == (500, "e1", b"key")
    assert sorted(table.rows()) == sorted(filled(20).rows())
    chance = Random(1)
    for _ in range(200):
        at = chance.randrange(len(data))
        for spoilt in (data[:at], data[:at] + bytes([data[at] ^ 1 << chance.randrange(8)]) + data[at + 1 :]):
            with pytest.raises(keep.Unkept):
                keep.unpacked(spoilt)


def test_a_keeper_killed_at_random_leaves_a_whole_file_and_versions_that_are_never_told_twice(tmp_path, monkeypatch):
    monkeypatch.setattr(keep, "RESERVE", 50)
    monkeypatch.setattr(keep, "AGAIN", 0.01)
    loop, lines, chance = Loop(), [], Random(3)
    path, table, told = tmp_path / "n0.kwt", filled(100), 0
    for life in range(4):
        exhausted = []
        keeper = keep.Keeper(loop, path, keep.locked(path), table, b"key", lambda kind, text="": lines.append(kind))
        for k in range(60):
            table.line(k, f"s{life}-{k}", 1.0)
            keeper.watch(lambda: exhausted.append(table.version))
            if exhausted:
                break
            told = max(told, table.version)
            if chance.random() < 0.2 and keeper.process:
                keeper.process.kill()
            end = time.monotonic() + chance.uniform(0, 0.02)
            while time.monotonic() < end:
                loop.call_later(0.002, lambda: None)
                loop.run_once()
        keeper.close()
        loop.timers.clear()
        os.close(keep.locked(path))  # its process has ended
        table, _ = keep.load(path)
        assert table.version >= told
    assert "keeping stands still" in lines
    held = keep.locked(path)
    monkeypatch.setattr(keep, "PATIENCE", 0.05)
    with pytest.raises(keep.Unkept, match="another process keeps it"):
        keep.locked(path)
    os.close(held)


def publishing(stand, folder, **more):
    """The program with a publisher: stand.published has its address."""
    path = folder / "operator.hcl"
    rows = "".join(f'  {k} = "{v}"\n' for k, v in {"listen": "127.0.0.1:0", **more}.items())
    path.write_text(f'pubsub {{\n  enabled = true\n{rows}}}\nrecord {{\n  enabled = true\n  path = "{folder}/r"\n}}\n')
    return stand.start(arguments=("--operator", str(path)))


@pytest.fixture
def port():
    """An address that stays ours while the program that listens there is dead: bound, not listened at."""
    with socket.socket() as kept:
        kept.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        kept.bind(("127.0.0.1", 0))
        yield f"127.0.0.1:{kept.getsockname()[1]}"


def test_the_program_publishes_and_the_command_prints_the_table(tmp_path):
    stand = StandIn()
    publishing(stand, tmp_path, keep=str(tmp_path / "kept"))
    at = stand.published
    stand.until(lambda: stand.news)
    done = subprocess.Popen(
        [sys.executable, "-m", "knotwalk", "subscribe", "--once", "--json", "--name", "w", at],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    stand.until(lambda: done.poll() is not None)
    told = [json.loads(line) for line in done.stdout]
    assert done.returncode == 0 and told[-1]["slices"] == {"0": {"a": 1.0}, "1": {"b": 1.0}} and told[-1]["whole"]
    assert stand.stop() == 0 and keep.load(tmp_path / "kept" / "n0.kwt")


def test_a_conductor_killed_again_and_again_leaves_all_subscribers_alike(tmp_path, port):
    stand, chance = StandIn(), Random(6)
    stand.slices = {k: {("a", "b")[k % 2]: 1.0} for k in range(2)}
    publishing(stand, tmp_path, keep=str(tmp_path / "kept"), listen=port)
    assert stand.published == port
    site = Site(SMALL, Table("x"))
    site.loop = stand.loop
    site.address = ("127.0.0.1", int(port.rpartition(":")[2]))
    edges = [site.edge(f"p{k}", k, k) for k in range(6)]

    def alike():
        return all(e.link and e.subscriber.place is None and e.subscriber.tables == stand.slices for e in edges)

    stand.until(alike)
    epochs = {e.subscriber.epoch for e in edges}
    for k in range(3):
        begun = time.monotonic()
        stand.version += 1
        out = "ab"[k % 2]
        stand.servers = [{**x, "state": "leaving" if x["id"] == out else "active"} for x in stand.servers]
        wait = chance.uniform(0, 0.6)
        stand.until(lambda: time.monotonic() > begun + wait)
        stand.program.kill()
        stand.program.wait(PATIENCE)
        publishing(stand, tmp_path, keep=str(tmp_path / "kept"), listen=port)
        stand.until(lambda: all(set(lines) == {"ba"[k % 2]} for lines in stand.slices.values()) and alike())
    assert {e.subscriber.epoch for e in edges} == epochs and len(epochs) == 1  # it went on
    assert stand.stop() == 0
    outcome = replayed(tmp_path / "r", 4)  # what this front told the module is in the recording
    assert outcome.exact and outcome.lives == 4


def test_a_conductor_killed_in_the_midst_of_snapshots_leaves_all_subscribers_alike(tmp_path, port):
    stand, chance = StandIn(), Random(7)
    family = {**SETTINGS["family_info"], "partitions_n": 700, "most_waiting": 4000, "messages_most": 100}
    stand.settings = {**SETTINGS, "family_info": family}
    stand.slices = {k: {"ab"[k % 2]: 1.0} for k in range(700)}
    publishing(stand, tmp_path, keep=str(tmp_path / "kept"), listen=port)
    assert stand.published == port
    site = Site(SMALL, Table("x"))
    site.loop, site.address = stand.loop, ("127.0.0.1", int(port.rpartition(":")[2]))
    edges, midst = [site.edge(f"p{k}", k, k) for k in range(20)], 0
    for k in range(4):
        if k == 0:  # surely in the midst; later at random, when what is left of it goes on
            stand.until(lambda: any((e.subscriber.place or 0) > 0 for e in edges))
        else:
            stand.until(lambda: any(e.link for e in edges))
            end = time.monotonic() + chance.uniform(0, 0.3)
            stand.until(lambda: time.monotonic() > end)
        stand.program.kill()
        stand.program.wait(PATIENCE)
        midst += sum(0 < (e.subscriber.place or 0) for e in edges)
        publishing(stand, tmp_path, keep=str(tmp_path / "kept"), listen=port)
    stand.until(lambda: all(e.link and e.subscriber.place is None for e in edges))
    assert all(e.subscriber.tables == stand.slices for e in edges) and midst > 0
    assert all(e.subscriber.applied == len(e.came) for e in edges) and stand.stop() == 0


def test_a_publisher_that_cannot_open_is_one_plain_line(tmp_path):
    stand = StandIn()
    stand.start()
    stand.program.kill()
    taken = socket.create_server(("127.0.0.1", 0))
    port = taken.getsockname()[1]
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
            timeout=PATIENCE,
        )
        assert done.returncode == 2 and message in done.stderr and done.stderr.count("\n") == 1, done.stderr
