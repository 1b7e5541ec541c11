"""Tests of versions, tokens, hub and subscriber without sockets."""

import json
from random import Random

import pytest
from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from standins.hubs import KEY, SMALL, HubHarness, alike, filled, proxies

from knotwalk.pubsub import token, wire
from knotwalk.pubsub.hub import MessageRejectedError, RetryLaterError
from knotwalk.pubsub.subscriber import Subscriber
from knotwalk.pubsub.versions import Table


def test_changes_since_a_version_are_complete_and_minimal():
    table, rng, states = Table("e"), Random(1), [{}]
    for _ in range(400):
        before = table.version
        table.set_line(rng.randrange(20), f"s{rng.randrange(4)}", float(rng.choice([0, 1, 2])))
        if table.version > before:
            states.append({(k, s): w for k, s, w in table.rows()})
    for version in range(0, table.version, 7):
        held = dict(states[version])
        delta = table.changes_since(version)
        for p in delta.parts:
            for server, w in p.lines.items():
                held.pop((p.slice, server), None)
                if w:
                    held[p.slice, server] = w
        assert held == states[-1] and delta.size <= table.version - version


def test_a_version_below_the_discarded_removals_is_not_retained():
    table = Table("e", max_removals=10)
    for k in range(30):
        table.set_line(k, "a", 1.0)
        table.set_line(k, "a", 0.0)
    assert not table.is_retained(5) and table.is_retained(table.floor) and table.floor == 40
    assert sum(len(s.lines) for s in table.slices.values()) == 10


def test_a_restored_table_continues_at_its_ceiling_and_knows_the_lost_versions():
    table = filled(20)
    kept = json.loads(json.dumps(table.snapshot()))
    table.set_line(1, "x", 1.0)  # published after the checkpoint, so lost
    back = Table.from_snapshot(kept, 1000)
    assert (
        back.version == 1000
        and back.can_resume_from(20)
        and not back.can_resume_from(21)
        and back.can_resume_from(1000)
    )
    back.set_line(2, "y", 1.0)
    assert [p.slice for p in back.changes_since(20).parts] == [2]
    with pytest.raises(ValueError, match="format 7; this version reads 1"):
        Table.from_snapshot({**kept, "format": 7}, 1000)
    with pytest.raises(ValueError):
        Table.from_snapshot({"format": 1}, 1000)


@pytest.mark.parametrize(
    "corrupt",
    [
        lambda t: t[:-1],
        lambda t: t.replace("e1", "e2"),
        lambda t: t + "0",
        lambda t: "x" * 4000,
        lambda t: 7,
        lambda t: token.encode_token(b"other key, of another one", "p1", "e1", 4, None),
    ],
)
def test_a_token_that_is_forged_or_of_another_subscriber_is_rejected(corrupt):
    text = token.encode_token(KEY, "p1", "e1", 4, None)
    assert token.decode_token(KEY, "p1", text) == token.Token("e1", 4, None)
    assert token.decode_token(KEY, "p1", corrupt(text)) is None and token.decode_token(KEY, "p2", text) is None


def test_versions_lost_by_an_earlier_incarnation_stay_lost_in_all_later_ones():
    """Guards against resuming a subscriber that missed an incarnation.

    The next incarnation took the subscriber's version for one of its own, and sent changes that did not follow.
    """
    table, kept = filled(5), filled(5).snapshot()
    table.set_line(1, "x", 1.0)
    for incarnation in range(1, 4):
        back = Table.from_snapshot(kept, 1000 * incarnation)
        assert (
            not back.can_resume_from(6) and back.can_resume_from(5) and not back.can_resume_from(1000 * incarnation - 1)
        )
        kept = back.snapshot()
    for incarnation in range(4, 80):
        kept = Table.from_snapshot(kept, 1000 * incarnation).snapshot()
    back = Table.from_snapshot(kept, 90_000)
    assert (
        not back.can_resume_from(5)
        and not back.can_resume_from(6)
        and back.can_resume_from(79_000)
        and len(back.lost_ranges) == 64
    )


def world_with_proxies(count=3, slices=60, seed=0, **changes):
    world = HubHarness(SMALL._replace(**changes), filled(slices))
    subscribers = proxies(count, seed)
    for s in subscribers:
        world.join(s)
    return world, subscribers


def test_all_subscribers_receive_a_snapshot_and_then_the_changes():
    world, subscribers = world_with_proxies()
    world.run_until_idle()
    world.order(
        ("line", (3, "s9", 2.0)),
        ("admit", (3, 1, 0.5, 1)),
        ("admit", (None, 0, 1.0, 1)),
        ("withdraw", ("s4", True)),
        ("receipt", (77,)),
    )
    world.run_until_idle()
    assert alike(world, subscribers) and world.are_limits_kept() and world.hub.unacked_lines == {True: 0, False: 0}
    s = subscribers[0]
    assert (
        s.usable_lines(3) == {"s3": 1.0, "s9": 2.0} and s.usable_lines(4) == {} and s.slice_levels[3] == {1: (0.5, 1)}
    )
    assert sorted(x for x in world.inbox if x[0] == "applied") == [("applied", (k, 77)) for k in range(3)]


def test_a_snapshot_above_the_cap_is_sent_in_pieces_while_the_table_changes_and_servers_drain():
    world, (s,) = world_with_proxies(1, slices=3000, lines_waiting_most=400.0, messages_most=4)
    rng, seen = Random(2), []
    while s.next_slice is not None:
        world.turn()
        world.deliver("p0")
        k = rng.randrange(3000)
        world.order(("line", (k, "new", 1.0)), ("line", (k, f"s{k % 10}", 0.0)))
        if len(seen) == 100:
            drained = [("s3", "z", "draining", 1, 0)]
            world.order(("withdraw", ("s3", True)), inbox=[("listed", (False, False, drained))])
        # The subscriber holds complete slices only, each with a line.
        seen.append(len(s.slice_lines))
        assert all(lines for lines in s.slice_lines.values())
        world.now += 0.1
    assert len(s.withdrawn) == 1 and s.applied > 8
    world.run_until_idle()
    assert alike(world, [s]) and world.are_limits_kept()


@pytest.mark.parametrize("pieces", range(1, 8))
def test_a_subscriber_that_reconnects_during_a_snapshot_resumes_it(pieces):
    world, (s,) = world_with_proxies(1, slices=700, lines_waiting_most=120.0)
    for _ in range(pieces):
        while not world.streams["p0"].to_subscriber:
            world.now += 0.1
            world.turn()
        world.deliver("p0")
    next_slice, slice_count = s.next_slice, len(s.slice_lines)
    assert 0 < next_slice < 700 and slice_count == next_slice
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
    assert world.bytes - before < other.bytes * (700 - next_slice) / 700 * 1.3 + 2000


@pytest.mark.parametrize("pieces", [1, 3])
def test_a_subscriber_that_reconnects_to_another_conductor_during_a_snapshot_gets_its_table(pieces):
    world, (s,) = world_with_proxies(1, slices=700, lines_waiting_most=120.0)
    while s.applied < pieces:
        world.run(0.1)
    assert s.next_slice is not None
    world.disconnect("p0")
    other = HubHarness(world.settings, filled(650, servers=7, epoch="e2"))
    other.join(s)
    other.run_until_idle()
    assert alike(other, [s]) and other.are_limits_kept()


def test_tokens_that_are_stale_of_another_conductor_or_of_a_future_version():
    world, (s,) = world_with_proxies(1)
    world.run_until_idle()
    old = s.token
    world.disconnect("p0")
    world.table.floor = world.table.version + 1  # the subscriber's version is now below the floor
    world.order(("line", (1, "b", 1.0)))
    assert world.join(s).first_piece_pending
    world.run_until_idle()
    assert alike(world, [s])
    elsewhere = HubHarness(SMALL, filled(60, epoch="e2"), seed=5)
    world.disconnect("p0")
    assert elsewhere.join(s).first_piece_pending
    elsewhere.run_until_idle()
    assert alike(elsewhere, [s])
    s.token = token.encode_token(KEY, "p0\0\0", "e2", 10**6, None)
    assert isinstance(elsewhere.join(s), MessageRejectedError) and s.token is None
    s.token = old[:-1] + ("0" if old[-1] != "0" else "1")
    assert isinstance(elsewhere.join(s), MessageRejectedError)


def test_lines_to_unused_servers_are_dropped_at_once_except_the_last_of_a_slice():
    world, (s,) = world_with_proxies(1, slices=300, lines_waiting_most=120.0)
    world.run_until_idle()
    world.disconnect("p0")
    newer = HubHarness(world.settings, Table("e2"))
    for k in range(300):
        newer.table.set_line(k, f"t{k % 10}" if k % 3 == 0 else f"s{k % 10}", 1.0)
    s.slice_lines[1]["gone"] = 1.0
    s.slice_lines[299] = {"gone": 1.0}
    newer.join(s)
    newer.turn()
    newer.deliver("p0", 1)
    assert s.slice_lines[1] == {"s1": 1.0} and s.slice_lines[299] == {"gone": 1.0} and s.next_slice is not None
    newer.turn()
    newer.deliver("p0")
    assert s.slice_lines[299] == {"s9": 1.0}  # sent out of turn on request
    newer.run_until_idle()
    assert alike(newer, [s])


def test_priority_is_no_table_then_drains_then_changes_and_observers_delay_no_proxy():
    world, (a, b) = world_with_proxies(2, slices=100)
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
    world.hub.unacked_lines[False] = full  # observers that acknowledge nothing
    world.turn()
    assert (
        world.streams["p0"].to_subscriber and world.streams["p1"].to_subscriber and not world.streams["w"].to_subscriber
    )


def test_too_many_changes_are_sent_in_pieces_and_a_slice_above_the_cap_ends_the_stream():
    """Guards against a subscriber that waits forever for a message larger than the channel."""
    world, (s,) = world_with_proxies(1, slices=300, lines_waiting_most=120.0)
    world.run_until_idle()
    world.order(*(("line", (k, "x", 1.0)) for k in range(300)))
    world.run_until_idle()
    assert alike(world, [s]) and world.are_limits_kept()
    world.order(*(("line", (7, f"y{k}", 1.0)) for k in range(200)))
    world.run(30.0)
    assert any("more than the channel may hold" in why for _, why in world.ended) and world.are_limits_kept()


def test_the_last_message_of_a_span_is_reserved_for_urgent_changes():
    world, (s,) = world_with_proxies(1, messages_most=4)
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


def test_messages_sent_on_another_channel_count():
    world, (s,) = world_with_proxies(1, messages_most=4)
    world.hub.charge_messages(world.now, [0, 0, 0])
    world.join(s)
    world.run(1.0)
    assert len(world.sent[0]) == 1 and world.hub.messages_left(world.now, 0) == 0


def test_a_subscriber_that_does_not_acknowledge_is_disconnected():
    world, (a, b) = world_with_proxies(2)
    world.run_until_idle()
    for k in range(50):
        world.order(("line", (k, "x", 1.0)))
        world.turn()
        world.deliver("p0")
        world.now += 0.5
    assert len(world.streams.get("p1").to_subscriber if "p1" in world.streams else []) <= 3
    world.run_until_idle()
    assert [n for n, why in world.ended if "no answer" in why] == ["p1"] and alike(world, [a])


def test_a_rejected_change_leaves_the_table_and_is_followed_by_a_snapshot():
    world, (a, b) = world_with_proxies(2)
    world.run_until_idle()
    world.order(("line", (1, "x", 1.0)))
    world.turn()
    held = b.rows()
    b.version -= 1  # it no longer holds the version that the change follows
    world.deliver("p1")
    assert b.rows() == held and world.notes[0][0] == "table refused"
    world.run_until_idle()
    assert alike(world, [a, b])


@pytest.mark.parametrize(
    "message",
    [
        {"t": "ack", "n": 99},
        {"t": "ack", "n": -1},
        {"t": "ack"},
        {"t": "nack", "n": 50},
        {"t": "ack", "n": "1"},
        {"t": "ack", "n": 1, "need": "all"},
    ],
)
def test_an_answer_to_a_message_never_sent_is_rejected(message):
    world, _ = world_with_proxies(1)
    world.run_until_idle()
    with pytest.raises((MessageRejectedError, ValueError)):
        number = wire.parse_count(message.get("n"))
        wire.parse_need(message)
        world.answer(world.streams["p0"], {"why": "", **message, "n": number})


def test_many_stale_subscribers_at_once_are_deferred_and_all_converge():
    world = HubHarness(SMALL._replace(lines_rate=2000.0), filled(400))
    subscribers = proxies(40)
    for s in subscribers:
        s.was_complete, s.slice_lines = True, {1: {"s1": 1.0}}
    pending = [(0.0, s) for s in subscribers]
    deferrals = 0
    while pending:
        pending.sort(key=lambda x: x[0])
        delay, s = pending.pop(0)
        world.now = max(world.now, 1000.0 + delay)
        answer = world.join(s)
        if isinstance(answer, RetryLaterError):
            deferrals += 1
            assert answer.delay_s > 0
            pending.append((world.now - 1000.0 + answer.delay_s, s))
        if delay:  # the first connect all at once
            world.run(0.05)
    world.run_until_idle()
    assert deferrals > 10 and alike(world, subscribers) and world.are_limits_kept() and world.now < 1120


def test_the_newest_publisher_is_followed_until_it_falls_silent():
    s = Subscriber("p", 1, proxy=1)
    s.handle_message(10.0, {"t": "welcome", "epoch": "new", "born": 100.0})
    with pytest.raises(ValueError, match="is followed"):
        s.handle_message(12.0, {"t": "welcome", "epoch": "old", "born": 50.0})
    s.handle_message(30.0, {"t": "welcome", "epoch": "old", "born": 50.0})
    assert s.publisher_started_at == 50.0


def test_observers_may_subscribe_to_some_slices_or_a_zone_but_proxies_may_not():
    world = HubHarness(SMALL, filled(20))
    world.hub.update_servers([(f"s{k}", "east" if k % 2 else "west", "ready", 1, 0) for k in range(10)])
    some, east = Subscriber("a", 1, wanted=[3, 4]), Subscriber("b", 1, server_zone="east")
    for s in (some, east):
        world.join(s)
    world.run_until_idle()
    world.order(("line", (4, "s1", 1.0)), ("line", (5, "s2", 1.0)))
    world.run_until_idle()
    assert some.slice_lines == {3: {"s3": 1.0}, 4: {"s4": 1.0, "s1": 1.0}}
    assert east.slice_lines[4] == {"s1": 1.0} and east.slice_lines[5] == {"s5": 1.0}
    assert isinstance(world.join(Subscriber("c", 1, proxy=1, wanted=[3])), MessageRejectedError)


@pytest.mark.parametrize(
    "message, reason",
    [
        ({"t": "ack"}, "a hello comes first"),
        ({"t": "hello", "v": 9}, "version 9"),
        ({"t": "hello", "v": 1}, "a name"),
        ({"t": "hello", "v": 1, "name": "x", "proxy": -1}, "no whole number"),
        ({"t": "hello", "v": 1, "name": "x", "wants": "some"}, "wants is"),
    ],
)
def test_a_malformed_hello_is_rejected_with_the_reason(message, reason):
    with pytest.raises(ValueError, match=reason):
        wire.Hello(message)


class Streams(RuleBasedStateMachine):
    """Changes, losses, reconnects, restarts and answers in any order.

    No cap is exceeded meanwhile, no slice loses its last line unless ordered, and no change is applied twice; in the
    end all subscribers hold the publisher's table.
    """

    @initialize(persistent=st.booleans(), tight=st.booleans())
    def begin(self, persistent, tight):
        s = SMALL._replace(lines_waiting_most=150.0, messages_most=5) if tight else SMALL
        self.world, self.is_persistent, self.epochs = HubHarness(s, filled(30)), persistent, 1
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

    @rule(k=st.integers(0, 3), delivered=st.integers(0, 2))
    def disconnect(self, k, delivered):
        """A stream ends: some of the messages in flight arrive, their answers do not."""
        pipe = self.world.streams.get(f"p{k}")
        for message in pipe.to_subscriber[:delivered] if pipe else ():
            pipe.subscriber.handle_message(self.world.now, json.loads(message))
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
        """The publisher dies; it continues from the stored table if there is one, otherwise in a new epoch."""
        old = self.world
        rows = list(old.table.rows())
        self.epochs += 1
        if self.is_persistent:
            table = Table.from_snapshot(json.loads(json.dumps(self.saved)), old.table.version + 1)
        else:
            table = Table(f"e{self.epochs}")
        wanted: dict = {}
        for k, server, w in rows:
            wanted.setdefault(k, {})[server] = w
        for k, lines in wanted.items():
            table.replace_lines(k, lines)
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
                if s.was_complete:
                    assert all(s.slice_lines.values())

    def teardown(self):
        if hasattr(self, "world"):
            for s in self.subscribers:
                if s.name not in self.world.streams:
                    self.world.join(s)
                    if s.name not in self.world.streams:
                        self.world.join(s)  # after a rejection it connects without its token
            self.world.run_until_idle(300.0)
            assert alike(self.world, self.subscribers), [sorted(s.rows()) for s in self.subscribers]
            assert self.world.are_limits_kept()
            withdrawn = {k for k, (is_withdrawn, _) in self.world.table.withdrawn.items() if is_withdrawn}
            assert all(s.withdrawn == withdrawn for s in self.subscribers)


TestStreams = Streams.TestCase
TestStreams.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck)
)
