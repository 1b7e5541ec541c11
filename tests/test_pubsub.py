"""Versions, tokens, hub and subscriber, without sockets."""

import json
from random import Random

import pytest
from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from standins.hubs import KEY, SMALL, HubHarness, alike, filled, proxies

from knotwalk.pubsub import token, wire
from knotwalk.pubsub.hub import Later, Refused
from knotwalk.pubsub.subscriber import Subscriber
from knotwalk.pubsub.versions import Table


def test_all_since_a_version_is_what_changed_and_nothing_else():
    table, chance, states = Table("e"), Random(1), [{}]
    for _ in range(400):
        before = table.version
        table.line(chance.randrange(20), f"s{chance.randrange(4)}", float(chance.choice([0, 1, 2])))
        if table.version > before:
            states.append({(k, s): w for k, s, w in table.rows()})
    for version in range(0, table.version, 7):
        held = dict(states[version])
        delta = table.since(version)
        for p in delta.parts:
            for server, w in p.lines.items():
                held.pop((p.slice, server), None)
                if w:
                    held[p.slice, server] = w
        assert held == states[-1] and delta.size <= table.version - version


def test_a_base_below_the_retained_removals_is_unknown():
    table = Table("e", retain=10)
    for k in range(30):
        table.line(k, "a", 1.0)
        table.line(k, "a", 0.0)
    assert not table.known(5) and table.known(table.floor) and table.floor == 40
    assert sum(len(s.lines) for s in table.slices.values()) == 10


def test_a_restored_table_goes_on_past_its_ceiling_and_knows_what_it_lost():
    table = filled(20)
    kept = json.loads(json.dumps(table.snapshot()))
    table.line(1, "x", 1.0)  # told, and lost
    back = Table.restored(kept, 1000)
    assert back.version == 1000 and back.holds(20) and not back.holds(21) and back.holds(1000)
    back.line(2, "y", 1.0)
    assert [p.slice for p in back.since(20).parts] == [2]
    with pytest.raises(ValueError, match="format 7; this version reads 1"):
        Table.restored({**kept, "format": 7}, 1000)
    with pytest.raises(ValueError):
        Table.restored({"format": 1}, 1000)


@pytest.mark.parametrize(
    "spoil",
    [
        lambda t: t[:-1],
        lambda t: t.replace("e1", "e2"),
        lambda t: t + "0",
        lambda t: "x" * 4000,
        lambda t: 7,
        lambda t: token.written(b"other key, of another one", "p1", "e1", 4, None),
    ],
)
def test_a_token_that_is_forged_or_anothers_is_none(spoil):
    text = token.written(KEY, "p1", "e1", 4, None)
    assert token.read(KEY, "p1", text) == token.Token("e1", 4, None)
    assert token.read(KEY, "p1", spoil(text)) is None and token.read(KEY, "p2", text) is None


def test_versions_that_an_earlier_life_lost_stay_unknown_in_all_later_ones():
    """Guards against a subscriber that missed a life, whose base the next one took for one of its own."""
    table, kept = filled(5), filled(5).snapshot()
    table.line(1, "x", 1.0)
    for life in range(1, 4):
        back = Table.restored(kept, 1000 * life)
        assert not back.holds(6) and back.holds(5) and not back.holds(1000 * life - 1)
        kept = back.snapshot()
    for life in range(4, 80):
        kept = Table.restored(kept, 1000 * life).snapshot()
    back = Table.restored(kept, 90_000)
    assert not back.holds(5) and not back.holds(6) and back.holds(79_000) and len(back.gaps) == 64


def joined(count=3, slices=60, seed=0, **changes):
    world = HubHarness(SMALL._replace(**changes), filled(slices))
    subscribers = proxies(count, seed)
    for s in subscribers:
        world.join(s)
    return world, subscribers


def test_snapshot_then_changes_reach_all_alike():
    world, subscribers = joined()
    world.run_until_idle()
    world.order(
        ("line", (3, "s9", 2.0)),
        ("admit", (3, 1, 0.5, 1)),
        ("admit", (None, 0, 1.0, 1)),
        ("withdraw", ("s4", True)),
        ("receipt", (77,)),
    )
    world.run_until_idle()
    assert alike(world, subscribers) and world.are_limits_kept() and world.hub.waiting == {True: 0, False: 0}
    s = subscribers[0]
    assert s.lines(3) == {"s3": 1.0, "s9": 2.0} and s.lines(4) == {} and s.slice_levels[3] == {1: (0.5, 1)}
    assert sorted(x for x in world.inbox if x[0] == "applied") == [("applied", (k, 77)) for k in range(3)]


def test_a_snapshot_larger_than_the_cap_allows_goes_in_pieces_while_the_table_changes_and_servers_drain():
    world, (s,) = joined(1, slices=3000, lines_waiting_most=400.0, messages_most=4)
    chance, seen = Random(2), []
    while s.place is not None:
        world.turn()
        world.deliver("p0")
        k = chance.randrange(3000)
        world.order(("line", (k, "new", 1.0)), ("line", (k, f"s{k % 10}", 0.0)))
        if len(seen) == 100:
            drained = [("s3", "z", "draining", 1, 0)]
            world.order(("withdraw", ("s3", True)), inbox=[("listed", (False, False, drained))])
        # Whatever of the table is there is as it stood at one time: whole slices with lines of today.
        seen.append(len(s.tables))
        assert all(lines for lines in s.tables.values())
        world.now += 0.1
    assert len(s.shut) == 1 and s.applied > 8
    world.run_until_idle()
    assert alike(world, [s]) and world.are_limits_kept()


@pytest.mark.parametrize("pieces", range(1, 8))
def test_a_subscriber_that_reconnects_in_the_midst_goes_on_where_it_was(pieces):
    world, (s,) = joined(1, slices=700, lines_waiting_most=120.0)
    for _ in range(pieces):
        while not world.streams["p0"].to_subscriber:
            world.now += 0.1
            world.turn()
        world.deliver("p0")
    place, held = s.place, len(s.tables)
    assert 0 < place < 700 and held == place
    world.disconnect("p0")
    world.order(("line", (0, "later", 1.0)), ("line", (699, "later", 1.0)))
    world.join(s)
    before = world.bytes
    world.run_until_idle()
    assert alike(world, [s]) and world.are_limits_kept()
    other = HubHarness(SMALL, world.table)
    fresh = proxies(1)
    other.join(fresh[0])
    other.run_until_idle()
    assert world.bytes - before < other.bytes * (700 - place) / 700 * 1.3 + 2000


@pytest.mark.parametrize("pieces", [1, 3])
def test_one_that_reconnects_in_the_midst_to_another_conductor_ends_on_its_table(pieces):
    world, (s,) = joined(1, slices=700, lines_waiting_most=120.0)
    while s.applied < pieces:
        world.run(0.1)
    assert s.place is not None
    world.disconnect("p0")
    other = HubHarness(world.settings, filled(650, servers=7, epoch="e2"))
    other.join(s)
    other.run_until_idle()
    assert alike(other, [s]) and other.are_limits_kept()


def test_a_stale_token_another_conductors_or_one_of_the_future_is_answered_as_it_should():
    world, (s,) = joined(1)
    world.run_until_idle()
    old = s.token
    world.disconnect("p0")
    world.table.floor = world.table.version + 1  # everything that it has is too old by now
    world.order(("line", (1, "b", 1.0)))
    assert world.join(s).first
    world.run_until_idle()
    assert alike(world, [s])
    elsewhere = HubHarness(SMALL, filled(60, epoch="e2"), seed=5)
    world.disconnect("p0")
    assert elsewhere.join(s).first
    elsewhere.run_until_idle()
    assert alike(elsewhere, [s])
    s.token = token.written(KEY, "p0\0\0", "e2", 10**6, None)
    assert isinstance(elsewhere.join(s), Refused) and s.token is None
    s.token = old[:-1] + ("0" if old[-1] != "0" else "1")
    assert isinstance(elsewhere.join(s), Refused)


def test_an_old_table_loses_lines_to_servers_out_of_use_at_once_but_never_a_slices_last():
    world, (s,) = joined(1, slices=300, lines_waiting_most=120.0)
    world.run_until_idle()
    world.disconnect("p0")
    later = HubHarness(world.settings, Table("e2"))
    for k in range(300):
        later.table.line(k, f"t{k % 10}" if k % 3 == 0 else f"s{k % 10}", 1.0)
    s.tables[1]["gone"] = 1.0
    s.tables[299] = {"gone": 1.0}
    later.join(s)
    later.turn()
    later.deliver("p0", 1)
    assert s.tables[1] == {"s1": 1.0} and s.tables[299] == {"gone": 1.0} and s.place is not None
    later.turn()
    later.deliver("p0")
    assert s.tables[299] == {"s9": 1.0}  # asked for out of turn
    later.run_until_idle()
    assert alike(later, [s])


def test_proxies_without_a_table_go_first_then_drains_then_changes_and_observers_delay_nobody():
    world, (a, b) = joined(2, slices=100)
    watcher = Subscriber("w", 9)
    world.join(watcher)
    world.run_until_idle()
    world.order(
        ("line", (1, "s1", 0.0)),
        ("line", (1, "s2", 1.0)),
        inbox=[("listed", (False, False, [("s1", "z", "draining", 1, 0)]))],
    )
    fresh = Subscriber("p9", 3, proxy=9)
    world.join(fresh)
    ranks = {name: world.hub.rank(world.now, pipe.cursor) for name, pipe in world.streams.items()}
    assert ranks == {"p0": 1, "p1": 1, "w": 4, "p9": 0}
    world.run_until_idle()
    world.order(("line", (2, "s7", 1.0)))
    assert world.hub.rank(world.now, world.streams["p0"].cursor) == 2
    full = world.settings.lines_waiting_most
    world.hub.waiting[False] = full  # observers that answer nothing
    world.turn()
    assert (
        world.streams["p0"].to_subscriber and world.streams["p1"].to_subscriber and not world.streams["w"].to_subscriber
    )


def test_changes_too_many_for_a_message_go_in_pieces_and_a_message_that_never_fits_ends_the_stream():
    """Guards against a subscriber that waits for ever for a message larger than the channel."""
    world, (s,) = joined(1, slices=300, lines_waiting_most=120.0)
    world.run_until_idle()
    world.order(*(("line", (k, "x", 1.0)) for k in range(300)))
    world.run_until_idle()
    assert alike(world, [s]) and world.are_limits_kept()
    world.order(*(("line", (7, f"y{k}", 1.0)) for k in range(200)))
    world.run(30.0)
    assert any("more than the channel may hold" in why for _, why in world.ended) and world.are_limits_kept()


def test_the_last_message_of_a_span_is_kept_for_what_cannot_wait():
    world, (s,) = joined(1, messages_most=4)
    world.run_until_idle()
    for k in range(9):
        world.order(("line", (k, "x", 1.0)))
        world.run(0.1)
    assert len(world.sent[0]) == 3
    world.order(("line", (1, "s1", 0.0)), inbox=[("listed", (False, False, [("s1", "z", "draining", 1, 0)]))])
    world.run(0.1)
    assert len(world.sent[0]) == 4 and alike(world, [s])
    world.order(("line", (5, "y", 1.0)))
    world.run_until_idle()
    assert alike(world, [s]) and world.are_limits_kept()


def test_what_another_front_sent_counts():
    world, (s,) = joined(1, messages_most=4)
    world.hub.charge(world.now, [0, 0, 0])
    world.join(s)
    world.run(1.0)
    assert len(world.sent[0]) == 1 and world.hub.messages_left(world.now, 0) == 0


def test_one_that_does_not_answer_gets_no_more_and_is_let_go():
    world, (a, b) = joined(2)
    world.run_until_idle()
    for k in range(50):
        world.order(("line", (k, "x", 1.0)))
        world.turn()
        world.deliver("p0")
        world.now += 0.5
    assert len(world.streams.get("p1").to_subscriber if "p1" in world.streams else []) <= 3
    world.run_until_idle()
    assert [n for n, why in world.ended if "no answer" in why] == ["p1"] and alike(world, [a])


def test_a_refused_change_leaves_the_table_and_comes_again_whole():
    world, (a, b) = joined(2)
    world.run_until_idle()
    world.order(("line", (1, "x", 1.0)))
    world.turn()
    held = b.rows()
    b.version -= 1  # it has lost count
    world.deliver("p1")
    assert b.rows() == held and world.notes[0][0] == "table refused"
    world.run_until_idle()
    assert alike(world, [a, b])


@pytest.mark.parametrize(
    "told",
    [
        {"t": "ack", "n": 99},
        {"t": "ack", "n": -1},
        {"t": "ack"},
        {"t": "nack", "n": 50},
        {"t": "ack", "n": "1"},
        {"t": "ack", "n": 1, "need": "all"},
    ],
)
def test_an_answer_to_what_was_never_sent_is_refused(told):
    world, _ = joined(1)
    world.run_until_idle()
    with pytest.raises((Refused, ValueError)):
        n = wire.whole_number(told.get("n"))
        wire.need_of(told)
        world.answer(world.streams["p0"], {"why": "", **told, "n": n})


def test_a_storm_of_stale_subscribers_is_told_when_to_return_and_all_come_back():
    world = HubHarness(SMALL._replace(lines_rate=2000.0), filled(400))
    subscribers = proxies(40)
    for s in subscribers:
        s.whole, s.tables = True, {1: {"s1": 1.0}}
    later = [(0.0, s) for s in subscribers]
    told = 0
    while later:
        later.sort(key=lambda x: x[0])
        at, s = later.pop(0)
        world.now = max(world.now, 1000.0 + at)
        answer = world.join(s)
        if isinstance(answer, Later):
            told += 1
            assert answer.after > 0
            later.append((world.now - 1000.0 + answer.after, s))
        if at:  # the first come all at once
            world.run(0.05)
    world.run_until_idle()
    assert told > 10 and alike(world, subscribers) and world.are_limits_kept() and world.now < 1120


def test_the_newest_publisher_is_followed_while_it_is_heard_of():
    s = Subscriber("p", 1, proxy=1)
    s.message(10.0, {"t": "welcome", "epoch": "new", "born": 100.0})
    with pytest.raises(ValueError, match="is followed"):
        s.message(12.0, {"t": "welcome", "epoch": "old", "born": 50.0})
    s.message(30.0, {"t": "welcome", "epoch": "old", "born": 50.0})
    assert s.born == 50.0


def test_only_some_slices_or_a_zone_may_be_wanted_but_not_by_a_proxy():
    world = HubHarness(SMALL, filled(20))
    world.hub.listed([(f"s{k}", "east" if k % 2 else "west", "ready", 1, 0) for k in range(10)])
    some, east = Subscriber("a", 1, wanted=[3, 4]), Subscriber("b", 1, of_zone="east")
    for s in (some, east):
        world.join(s)
    world.run_until_idle()
    world.order(("line", (4, "s1", 1.0)), ("line", (5, "s2", 1.0)))
    world.run_until_idle()
    assert some.tables == {3: {"s3": 1.0}, 4: {"s4": 1.0, "s1": 1.0}}
    assert east.tables[4] == {"s1": 1.0} and east.tables[5] == {"s5": 1.0}
    assert isinstance(world.join(Subscriber("c", 1, proxy=1, wanted=[3])), Refused)


@pytest.mark.parametrize(
    "told, message",
    [
        ({"t": "ack"}, "a hello comes first"),
        ({"t": "hello", "v": 9}, "version 9"),
        ({"t": "hello", "v": 1}, "a name"),
        ({"t": "hello", "v": 1, "name": "x", "proxy": -1}, "no whole number"),
        ({"t": "hello", "v": 1, "name": "x", "wants": "some"}, "wants is"),
    ],
)
def test_a_hello_that_cannot_be_read_is_refused_in_words(told, message):
    with pytest.raises(ValueError, match=message):
        wire.Hello(told)


class Streams(RuleBasedStateMachine):
    """Any order of changes, losses, reconnects, restarts and answers: after quiet all hold the publisher's table, and
    on the way no cap breaks, no slice loses its last line but by order, nothing is applied twice."""

    @initialize(kept=st.booleans(), tight=st.booleans())
    def begin(self, kept, tight):
        s = SMALL._replace(lines_waiting_most=150.0, messages_most=5) if tight else SMALL
        self.world, self.kept, self.epochs = HubHarness(s, filled(30)), kept, 1
        self.subscribers = proxies(4)
        self.saved = self.world.table.snapshot()
        for x in self.subscribers:
            self.world.join(x)

    @rule(slice_id=st.integers(0, 29), server=st.integers(0, 9), weight=st.sampled_from([1.0, 2.0, 0.0]))
    def change(self, slice_id, server, weight):
        held = [w for k, _, w in self.world.table.rows() if k == slice_id]
        if weight or len(held) > 1:
            self.world.order(("line", (slice_id, f"s{server}", weight)))

    @rule(server=st.integers(0, 9), out=st.booleans())
    def withdraw(self, server, out):
        self.world.order(("withdraw", (f"s{server}", out)))

    @rule(k=st.integers(0, 3), count=st.integers(1, 3))
    def deliver(self, k, count):
        self.world.turn()
        self.world.deliver(f"p{k}", count)

    @rule(k=st.integers(0, 3), hears=st.integers(0, 2))
    def disconnect(self, k, hears):
        """A stream ends: some of what was on its way arrives, its answers do not."""
        pipe = self.world.streams.get(f"p{k}")
        for message in pipe.to_subscriber[:hears] if pipe else ():
            pipe.subscriber.message(self.world.now, json.loads(message))
        self.world.disconnect(f"p{k}")

    @rule(k=st.integers(0, 3))
    def join(self, k):
        if f"p{k}" in self.world.streams:
            self.world.disconnect(f"p{k}")
        self.world.join(self.subscribers[k])

    @rule()
    def save(self):
        self.saved = self.world.table.snapshot()

    @rule()
    def restart(self):
        """The publisher dies: with storage it goes on from what it kept, else in a new epoch."""
        old = self.world
        rows = list(old.table.rows())
        self.epochs += 1
        if self.kept:
            table = Table.restored(json.loads(json.dumps(self.saved)), old.table.version + 1)
        else:
            table = Table(f"e{self.epochs}")
        want: dict = {}
        for k, server, w in rows:
            want.setdefault(k, {})[server] = w
        for k, lines in want.items():
            table.replace(k, lines)
        world = HubHarness(old.settings, table, born=old.born + 1)
        world.now, world.sent = old.now + 12.0, {}
        world.hub.key = old.hub.key
        self.world = world
        self.saved = table.snapshot()

    @rule(seconds=st.floats(0.05, 5))
    def wait(self, seconds):
        self.world.now += seconds

    @invariant()
    def safe(self):
        if hasattr(self, "world"):
            assert self.world.are_limits_kept()
            for s in self.subscribers:
                if s.whole:
                    assert all(s.tables.values())

    def teardown(self):
        if hasattr(self, "world"):
            for s in self.subscribers:
                if s.name not in self.world.streams:
                    self.world.join(s)
                    if s.name not in self.world.streams:
                        self.world.join(s)  # refused with its token, it comes without
            self.world.run_until_idle(300.0)
            assert alike(self.world, self.subscribers), [sorted(s.rows()) for s in self.subscribers]
            assert self.world.are_limits_kept()
            shut = {k for k, (out, _) in self.world.table.shut.items() if out}
            assert all(s.shut == shut for s in self.subscribers)


TestStreams = Streams.TestCase
TestStreams.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck)
)
