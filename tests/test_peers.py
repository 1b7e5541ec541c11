"""The peers of the real conductor, fed bytes: no sockets, a clock that the test moves."""

import json
from random import Random

from standins.platform import Clock, Wire, answer, lines

from knotwalk.net.close_reason import CloseReason
from knotwalk.net.collectors import CollectorServer
from knotwalk.net.discovery import ListWatch
from knotwalk.net.relay import OrderSender, RelayStream
from knotwalk.net.resp import encode_message
from knotwalk.wire_values import ReportBounds

HOME = ("127.0.0.1", 1)
HEARD = encode_message(
    "outcomes",
    "zone",
    "a",
    "server",
    "s",
    "tries",
    "9",
    "failed",
    "1",
    "mean_ms",
    "40",
    "span_ms",
    "2000.0",
    "load",
    "util:0.5,qps:7",
)
WANTED = encode_message("hot", "slice", "3", "class", "read", "tries", "9", "failed", "0", "span_ms", "2000.0")


JOIN = encode_message("agent", "zone", "a")
BOUNDS = ReportBounds(frozenset({"a"}), 9, 1000, 10)


class Told(list):
    """What was told, and what was logged."""

    def __init__(self):
        self.log, self.lost = [], 0

    def tell(self, *told):
        if told == ("receipts_lost",):
            self.lost += 1
        else:
            self.append(told)

    def note(self, kind, text=""):
        self.log.append(f"{kind}: {text}")


def callers(seats=9, room=10**6):
    told, clock = Told(), Clock()
    server = CollectorServer(
        clock, {"read": 0}, BOUNDS, {"s"}.__contains__, lambda: {"a"}, told.tell, told.note, seats, room
    )
    server.ready = True
    return server, clock, told


def relay():
    told, clock = Told(), Clock()
    news = RelayStream(clock, HOME, told.tell, told.note)
    return OrderSender(clock, HOME, news, told.note), news, clock, told


def watch():
    told, clock = Told(), Clock()
    return ListWatch(clock, HOME, 4, [("s", "z", "ready", 1.0, 0.0)], told.tell, told.note), clock, told


def bodies(wire):
    """The orders of each call written."""
    return [json.loads(part.split(b"\r\n\r\n")[1])["orders"] for part in wire.written.split(b"POST ")[1:]]


def line(slice_id, server, weight=1.0):
    return {"do": "SET", "group": slice_id, "server": server, "weight": weight}


# --- collectors ----------------------------------------------------------------------------------


def test_a_burst_of_reports_is_told_as_a_whole_however_it_is_cut():
    """Guards against a period judged several times over: the module lowers levels once a report."""
    server, clock, told = callers()
    wire = Wire(server.accept())
    wire.feed(JOIN)
    data = HEARD + 3 * WANTED
    for at in range(0, len(data), 50):
        wire.feed(data[at : at + 50])
        clock.move(0.015)
        assert not told
    clock.move(0.02)
    assert told == [("heard", "s", "a", 2.0, 9, 1, 0.04, {"utilization": 0.5, "qps": 7.0})] + 3 * [
        ("wanted", 3, 0, 2.0, 9)
    ]


def test_a_collector_that_fell_silent_in_a_message_does_not_hold_back_the_others():
    server, clock, told = callers()
    silent = Wire(server.accept())
    silent.feed(JOIN + HEARD[:40])
    clock.move(1)
    other = Wire(server.accept())
    other.feed(JOIN + WANTED)
    clock.move(0.03)
    assert told == [("wanted", 3, 0, 2.0, 9)]


def test_a_burst_without_end_is_told_all_the_same():
    server, clock, told = callers()
    wire = Wire(server.accept())
    wire.feed(JOIN)
    for _ in range(30):
        wire.feed(WANTED)
        clock.move(0.01)
    assert 24 <= len(told) < 30


def test_a_probe_is_answered_once_we_can_serve():
    server, _, _ = callers()
    server.ready = False
    early, late = Wire(server.accept()), Wire(server.accept())
    early.feed(encode_message("probe"))
    assert not early.written
    server.start_serving()
    server.start_serving()
    late.feed(encode_message("probe") * 2)
    assert early.written == encode_message("alive") and late.written == encode_message("alive") * 2


def spoilt(message, *names):
    """A message with each of these fields left out, and with all that a figure can't be in its place."""
    words = message.decode().split("\r\n")[2::2]
    for at in [words.index(name) for name in names]:
        yield words[:at] + words[at + 2 :]
        for value in ("", "-3", "nan", "inf", "1e30", "38654705664", "s-zz", "[1]", "1.5x"):
            yield [*words[: at + 1], value, *words[at + 2 :]]


def test_a_spoilt_message_of_a_collector_costs_itself_alone():
    """Guards the module's figures against what no collector could mean; it takes a new name for a server."""
    for message, names in (
        (HEARD, ("zone", "server", "tries", "failed", "mean_ms", "span_ms")),
        (WANTED, ("slice", "class", "tries", "failed", "span_ms")),
    ):
        for bad in spoilt(message, *names):
            server, clock, told = callers()
            wire = Wire(server.accept())
            wire.feed(JOIN + WANTED + encode_message(*bad) + WANTED)
            clock.move(1)
            assert not wire.closed and told == 2 * [("wanted", 3, 0, 2.0, 9)] and len(told.log) == 1, bad
    for bad in (
        encode_message("what"),
        encode_message("hot", "slice"),
        encode_message("hot"),
        encode_message("agent", "zone", "b"),
        HEARD.replace(b"$1\r\n9", b"$1\r\n0"),
        HEARD.replace(b"$1\r\n9", b"$3\r\n9.5"),
        HEARD.replace(b"util:0.5", b"util:4.0"),
        HEARD.replace(b"util:0.5,qps:7", b"util:,qps:0007"),
        WANTED.replace(b"$6\r\n2000.0", b"$1\r\n0"),
        WANTED.replace(b"$1\r\n3", b"$1\r\n9"),
        WANTED.replace(b"tries\r\n$1\r\n9", b"tries\r\n$7\r\n1000000"),
    ):
        server, clock, told = callers()
        wire = Wire(server.accept())
        wire.feed(JOIN + bad + b"*0\r\n" + WANTED)
        clock.move(1)
        assert not wire.closed and told == [("wanted", 3, 0, 2.0, 9)] and len(told.log) == 1, bad


def test_more_tries_at_a_slice_may_fail_than_were_begun():
    """Guards against demand unheard wherever RPCs take longer than a span."""
    server, clock, told = callers()
    wire = Wire(server.accept())
    wire.feed(JOIN + WANTED.replace(b"failed\r\n$1\r\n0", b"failed\r\n$2\r\n12"))
    clock.move(1)
    assert told == [("wanted", 3, 0, 2.0, 9)]


def test_whoever_speaks_without_joining_is_ended_at_once():
    for said in (
        WANTED,
        HEARD,
        encode_message("hello", "proxy", "1", "zone", "a"),
        encode_message("agent", "zone", "nowhere"),
        encode_message("agent"),
        encode_message("push"),
        encode_message("demand", "proxy", "7", "tries", "5"),
    ):
        server, clock, told = callers()
        wire = Wire(server.accept())
        wire.feed(said)
        clock.move(0.5)
        assert wire.closed is CloseReason.MALFORMED and not told and not server.connections, said


def test_whoever_does_not_join_in_time_is_ended():
    """Guards against strangers that say nothing, drip bytes or ask once, and stay for good."""
    server, clock, _ = callers()
    silent, asked, half, joined = (Wire(server.accept()) for _ in range(4))
    asked.feed(encode_message("probe"))
    joined.feed(JOIN)
    for byte in encode_message("agent", "zone", "a")[:15]:
        half.feed(bytes([byte]))
        clock.move(0.1)
    assert [x.closed for x in (silent, asked, half, joined)] == 3 * [CloseReason.JOIN_TIMEOUT] + [False]
    assert asked.written == encode_message("alive") and len(server.connections) == 1 and not server.unfinished_bytes


def test_one_that_waits_for_us_to_be_ready_is_not_ended():
    server, clock, _ = callers()
    server.ready = False
    waits, silent = Wire(server.accept()), Wire(server.accept())
    waits.feed(encode_message("probe"))
    clock.move(5)
    assert silent.closed and not waits.closed
    server.start_serving()
    assert waits.written == encode_message("alive")
    clock.move(2)
    assert waits.closed is CloseReason.JOIN_TIMEOUT


def test_a_zones_old_connections_that_fell_silent_are_let_go():
    server, clock, _ = callers()
    old = Wire(server.accept())
    old.feed(JOIN)
    clock.move(5)
    second = Wire(server.accept())
    second.feed(JOIN)
    clock.move(8)
    second.feed(WANTED)
    third = Wire(server.accept())
    third.feed(JOIN)
    assert old.closed is CloseReason.SILENT and not second.closed and len(server.connections) == 2


def test_what_is_no_message_ends_the_connection():
    for bytes_, ending in (
        (b"GET / HTTP/1.1\r\n\r\n", CloseReason.MALFORMED),
        (b"*1\r\n$2097152\r\n", CloseReason.TOO_LONG),
    ):
        wire = Wire(callers()[0].accept())
        wire.feed(bytes_)
        assert wire.closed is ending


def test_strangers_that_say_nothing_make_room_for_collectors():
    server, _, _ = callers(seats=3)
    collector = Wire(server.accept())
    collector.feed(JOIN)
    strangers = [Wire(server.accept()) for _ in range(8)]
    assert not collector.closed and len(server.connections) == 3
    assert [x.closed for x in strangers] == 6 * [CloseReason.EVICTED] + 2 * [False]


def test_half_messages_do_not_fill_the_memory():
    server, _, _ = callers(room=10_000)
    collector, small, large = (Wire(server.accept()) for _ in range(3))
    collector.feed(JOIN + b"*2\r\n$3\r\nhot")
    small.feed(b"*1\r\n$9000\r\n" + 2000 * b"x")
    large.feed(b"*1\r\n$9000\r\n" + 8500 * b"x")
    assert (
        large.closed is CloseReason.EVICTED
        and not small.closed
        and not collector.closed
        and server.unfinished_bytes < 3000
    )


# --- calls ---------------------------------------------------------------------------------------


def test_orders_go_as_one_call_and_what_is_ordered_meanwhile_with_the_next():
    calls, _, _, _ = relay()
    calls.add_orders([line(1, "a"), {"do": "SYNC", "ticket": 1, "on": 0}])
    wire = Wire(calls)
    calls.add_orders([line(2, "a"), line(3, "b"), {"do": "SYNC", "ticket": 2, "on": 0}])
    calls.add_orders([line(2, "c"), line(2, "a", 0.0), {"do": "SYNC", "ticket": 3, "on": 0}])
    assert bodies(wire) == [[line(1, "a"), {"do": "SYNC", "ticket": 1, "on": 0}]]
    wire.feed(answer({"accepted": 2}))
    assert bodies(wire)[1] == [line(3, "b"), line(2, "c"), line(2, "a", 0.0), {"do": "SYNC", "ticket": 3, "on": 0}]


def test_a_call_past_the_limit_is_split_and_its_receipt_comes_last():
    calls, _, _, _ = relay()
    calls.add_orders([line(k, "s" * 30) for k in range(1500)] + [{"do": "SYNC", "ticket": 1, "on": 0}])
    wire = Wire(calls)
    while (sent := bodies(wire)) and sent[-1][-1]["do"] != "SYNC":
        wire.feed(answer({"accepted": len(sent[-1])}))
    assert len(sent) == 3 and sum(map(len, sent)) == 1501
    assert all(len(json.dumps(x, separators=(",", ":"))) < 60_020 for x in sent)


def test_a_refused_order_is_named_and_the_rest_goes_on():
    calls, _, _, told = relay()
    calls.add_orders([line(1, "a"), line(2, "q"), line(3, "a")])
    wire = Wire(calls)
    wire.feed(answer({"accepted": 1}))
    assert bodies(wire)[1] == [line(3, "a")] and "order refused" in told.log[0] and "'q'" in told.log[0]


def test_a_refused_line_takes_the_rest_of_its_slice_and_of_its_server_with_it():
    """Guards against a slice left without a line, and a message for each line to a server not known there."""
    calls, news, _, told = relay()
    news.slices = {1: {"a": 1.0}, 2: {"a": 1.0}, 3: {"a": 1.0}}
    calls.add_orders([x for k, to in ((1, "q"), (2, "q"), (3, "b")) for x in (line(k, to), line(k, "a", 0.0))])
    wire = Wire(calls)
    wire.feed(answer({"accepted": 0}))
    assert bodies(wire)[1:] == [[line(3, "b"), line(3, "a", 0.0)]]
    assert told == [x for k in (1, 2) for x in (("taken", k), ("given", k), ("held", k, "a", 1.0))]


def test_calls_turned_away_before_the_run_wait_and_newer_orders_win():
    calls, _, clock, _ = relay()
    calls.add_orders([line(1, "a"), line(2, "a")])
    wire = Wire(calls)
    wire.feed(answer({"error": "throttled"}, "429 Too Many"))
    calls.add_orders([line(1, "b"), line(1, "a", 0.0)])
    assert len(bodies(wire)) == 1
    clock.move(0.2)
    assert bodies(wire)[1:] == [[line(2, "a"), line(1, "b"), line(1, "a", 0.0)]]


def test_an_idle_connection_reset_before_anything_was_sent_costs_nothing():
    calls, _, clock, told = relay()
    calls.add_orders([line(1, "a")])
    first = Wire(calls)
    first.feed(answer({"accepted": 1}))
    first.close(CloseReason.RESET)
    calls.add_orders([line(2, "a")])
    assert len(clock.connects) == 2 and bodies(Wire(calls)) == [[line(2, "a")]] and not told.log


def test_a_call_whose_last_byte_did_not_leave_goes_again():
    calls, _, clock, _ = relay()
    calls.add_orders([line(1, "a")])
    wire = Wire(calls)
    wire.write_buffer.put(b"rest")
    wire.close(CloseReason.RESET)
    clock.move(0.1)
    assert bodies(Wire(calls)) == [[line(1, "a")]]


def doubt(ending=None, feed=b"", orders=()):
    """A call after which nothing is known, and the look at what stands."""
    calls, news, clock, told = relay()
    news.slices = {1: {"a": 1.0}, 2: {}}
    orders = list(orders) or [line(1, "b"), line(1, "a", 0.0), {"do": "SYNC", "ticket": 7, "on": 0}]
    calls.add_orders(orders)
    wire = Wire(calls)
    wire.feed(feed) if feed else wire.close(ending) if ending else clock.move(0.2)
    assert wire.closed and calls.unconfirmed == orders
    calls.add_orders([line(2, "c")])
    clock.move(0.1)  # a call may be carried out until then
    return calls, news, clock, orders, Wire(clock.connects[-1]) if len(clock.connects) > 1 else None


def test_a_doubtful_call_that_stands_is_not_given_again():
    for how in (
        {"ending": CloseReason.RESET},
        {},
        {"feed": answer("{}")},
        {"feed": answer("junk")},
        {"feed": b"junk"},
        {"feed": answer({"accepted": 3}, "500 Oh")},
        {"feed": answer({"error": 17})},
        *({"feed": answer({"accepted": x})} for x in (-1, 4, "3", 1.5, True, None, [3])),
    ):
        calls, news, _, _, look = doubt(**how)
        look.feed(lines(("lease", {"slice": 1, "on": True}), ("line", {"slice": 1, "server": "b", "weight": 1.0})))
        assert news.slices[1] == {"b": 1.0} and look.closed
        assert bodies(Wire(calls)) == [[line(2, "c")]], how


def test_a_doubtful_call_that_does_not_stand_is_given_again_first():
    calls, news, _, orders, look = doubt(CloseReason.CLOSED)
    look.feed(
        lines(
            ("lease", {"slice": 1, "on": True}),
            ("line", {"slice": 1, "server": "a", "weight": 1.0}),
            ("lease", {"slice": 2, "on": True}),
        )
    )
    assert news.slices[1] == {"a": 1.0} and bodies(Wire(calls)) == [[*orders, line(2, "c")]]


def test_a_receipt_or_the_loss_of_the_slice_settles_a_doubt():
    calls, news, _, _, _ = doubt()
    news.on_ack({"proxy": 1, "mark": 7})
    assert bodies(Wire(calls)) == [[line(2, "c")]]
    calls, _, _, _, look = doubt()
    look.feed(lines(("lease", {"slice": 2, "on": True}), ("", {})))
    assert bodies(Wire(calls)) == [[line(2, "c")]]


def test_a_doubt_that_nothing_settles_ends_with_the_orders_given_again():
    level = {"do": "LIMIT", "group": 1, "classes": ["read"], "level": 0.5, "retry": 1}
    for orders in ((), [level]):
        calls, _, clock, orders, look = doubt(orders=orders)
        if look:
            look.close(CloseReason.RESET)
        clock.move(2)
        assert bodies(Wire(calls)) == [[*orders, line(2, "c")]]


# --- news ----------------------------------------------------------------------------------------

STANDS = (
    ("hello", {"proxy": 1, "zone": "a", "weight": 2.5, "fresh": True}),
    ("lease", {"slice": 3, "on": True}),
    ("line", {"slice": 3, "server": "a", "weight": 1.0}),
)
GIVEN = [("joined", 1), ("given", 3), ("held", 3, "a", 1.0)]


def test_news_in_any_pieces():
    for size in (1, 7, 10**6):
        _, news, _, told = relay()
        wire, data = (
            Wire(news),
            lines(
                *STANDS,
                ("", {}),
                ("ack", {"proxy": 1, "mark": 9, "took_ms": 1.5}),
                ("line", {"slice": 3, "server": "b", "weight": 2}),
                ("bye", {"proxy": 1}),
                ("lease", {"slice": 3, "on": False}),
                ("future", {}),
            ),
        )
        for at in range(0, len(data), size):
            wire.feed(data[at : at + size])
        assert told == GIVEN + [("applied", 1, 9), ("held", 3, "b", 2.0), ("left", 1), ("taken", 3)]


def again(*objects):
    """A second connection after one that told STANDS; what it tells."""
    calls, news, clock, told = relay()
    wire = Wire(news)
    wire.feed(lines(*STANDS, ("", {})))
    wire.close(CloseReason.RESET)
    clock.move(0.1)
    assert news in clock.connects
    told.clear()
    Wire(news).feed(lines(*objects))
    return told


def test_a_proxy_that_joins_again_unannounced_is_on_a_new_stream():
    _, news, _, told = relay()
    Wire(news).feed(lines(*STANDS, ("", {}), STANDS[0]))
    assert told == GIVEN + [("left", 1), ("joined", 1)]


def test_what_stood_all_along_is_not_told_again():
    assert again(("", {}), *STANDS, ("", {})) == []


def test_what_is_missing_after_a_reconnect_is_told_once_all_has_been_read():
    other = ("hello", {"proxy": 2})
    assert again(other) == [("joined", 2)]
    assert again(other, ("", {})) == [("joined", 2), ("left", 1), ("taken", 3)]
    assert again(("", {}), ("", {})) == [("left", 1), ("taken", 3)]


def test_lines_that_are_not_ours_make_the_slice_new():
    changed = (*STANDS[:2], ("line", {"slice": 3, "server": "b", "weight": 1.0}), ("", {}))
    assert again(*changed) == [("taken", 3), ("given", 3), ("held", 3, "b", 1.0)]


def test_lines_that_we_ordered_are_ours():
    calls, news, _, told = relay()
    Wire(news).feed(lines(*STANDS, ("", {})))
    calls.add_orders([line(3, "b"), line(3, "a", 0.0)])
    Wire(calls).feed(answer({"accepted": 2}))
    told.clear()
    Wire(news).feed(lines(*STANDS[:2], ("line", {"slice": 3, "server": "b", "weight": 1.0}), ("", {})))
    assert told == []


def test_lines_ordered_while_what_stands_is_read_are_ours():
    """Guards against a slice told anew with the lines it had before our order."""
    calls, news, _, told = relay()
    Wire(news).feed(lines(*STANDS, ("", {})))
    told.clear()
    wire = Wire(news)
    wire.feed(lines(*STANDS))
    calls.add_orders([line(3, "b")])
    Wire(calls).feed(answer({"accepted": 1}))
    wire.feed(lines(("", {}), head=False))
    assert told == [] and news.slices == {3: {"a": 1.0, "b": 1.0}}


def test_orders_not_yet_sent_for_a_slice_that_is_lost_are_dropped():
    calls, news, _, _ = relay()
    wire = Wire(news)
    wire.feed(lines(*STANDS, ("", {})))
    calls.add_orders([line(3, "b")])
    wire.feed(lines(("lease", {"slice": 3, "on": False}), head=False))
    assert not calls.queue


def test_news_in_many_pieces_wait_on_one_timer():
    _, news, clock, _ = relay()
    wire = Wire(news)
    for _ in range(500):
        wire.feed(lines(("", {}), head=not wire.peer.signs_of_life))
        clock.move(0.01)
    assert not wire.closed and sum(1 for _, timer in clock.timers if timer.callback) == 1
    clock.move(2)
    assert wire.closed is CloseReason.SILENT


def test_news_that_fall_silent_are_left_and_opened_again_without_hammering():
    _, news, clock, told = relay()
    wire = Wire(news)
    clock.move(2.5)
    assert wire.closed is CloseReason.SILENT
    tries = 0
    for _ in range(100):
        while clock.connects:
            clock.connects.pop()
            news.connection_lost(None, CloseReason.REFUSED)
            tries += 1
        clock.move(0.1)
    assert 20 < tries < 30


def test_orders_of_a_call_not_carried_out_are_dropped_for_slices_lost_meanwhile():
    """Guards against a slice that comes back with another's lines being sent where it was to go before."""
    calls, news, clock, _ = relay()
    wire = Wire(news)
    wire.feed(lines(*STANDS, ("", {})))
    calls.add_orders([line(3, "b"), line(4, "b")])
    call = Wire(calls)
    wire.feed(lines(("lease", {"slice": 3, "on": False}), ("lease", {"slice": 3, "on": True}), head=False))
    call.write_buffer.put(b"rest")
    call.close(CloseReason.RESET)
    clock.move(0.1)
    assert bodies(Wire(calls)) == [[line(4, "b")]]


def test_news_before_a_line_that_cannot_be_read_are_taken_in():
    _, news, _, told = relay()
    wire = Wire(news)
    wire.feed(lines(*STANDS, ("", {})) + b"5\r\njunk\n\r\n")
    assert wire.closed is CloseReason.MALFORMED and told == GIVEN


def test_receipts_lost_with_the_news_are_told_as_such():
    """Those of what was ordered before the news broke, and of what was ordered until they were back."""
    _, news, clock, told = relay()
    Wire(news).feed(lines(*STANDS, ("", {})))
    assert told.lost == 0
    clock.move(2)
    assert told.lost == 1 and news.connection is None
    Wire(news)
    assert told.lost == 2


def test_a_relay_that_was_away_for_long_and_gave_nothing_to_others_finds_all_as_it_was():
    _, news, clock, told = relay()
    Wire(news).feed(lines(*STANDS, ("", {})))
    told.clear()
    clock.time += 60
    news.connection_lost(None, CloseReason.CONNECT_TIMEOUT)
    Wire(news).feed(lines(*STANDS, ("", {})))
    assert told == []


def test_a_spoilt_answer_to_a_mark_costs_itself_alone():
    for bad in (
        {},
        {"proxy": 1},
        {"proxy": 1, "mark": 9.5},
        {"proxy": "x", "mark": 9},
        {"proxy": 1, "mark": -3},
        {"proxy": None, "mark": 9},
        {"proxy": 1, "mark": [9]},
    ):
        _, news, _, told = relay()
        wire = Wire(news)
        wire.feed(lines(*STANDS, ("", {}), ("ack", bad), ("ack", {"proxy": 1, "mark": 9})))
        assert told == [*GIVEN, ("applied", 1, 9)] and not wire.closed, bad


def test_news_that_cannot_be_read_end_the_connection():
    for bad in (
        lines(("hello", {})),
        lines(("hello", {"proxy": "x"})),
        lines(("hello", {"proxy": float("inf")})),
        lines(("lease", [])),
        lines(("line", {"slice": 1, "server": "a", "weight": float("nan")})),
        answer("x", "404 Not Found"),
        answer("{}\n"),
        b"junk\r\n\r\n",
    ):
        wire = Wire(relay()[1])
        wire.feed(bad)
        assert wire.closed is CloseReason.MALFORMED, bad


AWAY = ("127.0.0.2", 2)


def test_the_news_at_another_address_are_up_before_the_old_ones_go():
    _, news, clock, told = relay()
    old = Wire(news)
    old.feed(lines(*STANDS, ("", {})))
    news.change_address(AWAY)
    assert not old.closed and clock.connects == [news]
    old.feed(lines(("bye", {"proxy": 1}), head=False))
    new = Wire(news, AWAY)
    assert old.closed is CloseReason.CLOSED_BY_US and told == [*GIVEN, ("left", 1)]
    new.feed(lines(*STANDS, ("", {})))
    assert told[4:] == [("joined", 1)] and len(clock.connects) == 1


def test_a_try_at_the_old_address_goes_on_at_the_new_one():
    _, news, clock, _ = relay()
    news.start()
    news.change_address(AWAY)
    stale = Wire(clock.connects.pop())
    assert stale.closed is CloseReason.CLOSED_BY_US and not stale.written and clock.connects == [news]
    news.connection_lost(None, CloseReason.REFUSED)
    news.change_address(HOME)  # while it waits: at once, not when the wait is over
    assert len(clock.connects) == 2


def test_calls_go_to_the_new_address_and_one_under_way_is_settled_where_it_went():
    calls, _, clock, _ = relay()
    calls.add_orders([line(1, "a")])
    old = Wire(calls)
    calls.change_address(AWAY)
    calls.add_orders([line(2, "a")])
    assert not old.closed
    old.feed(answer({"accepted": 1}))
    assert old.closed is CloseReason.CLOSED_BY_US and bodies(Wire(calls, AWAY)) == [[line(2, "a")]]


# --- discovery -----------------------------------------------------------------------------------


def listing(version, full, *servers):
    return answer(
        {
            "version": version,
            "full": full,
            "servers": [
                {"id": id, "zone": "z", "state": state, "weight": 1.5, "started_ms": 0} for id, state in servers
            ],
        }
    )


def test_the_list_comes_whole_then_by_changes_on_one_connection():
    peer, _, told = watch()
    wire = Wire(peer)
    wire.feed(listing(41, True, ("s", "active")))
    wire.feed(listing(42, False))
    wire.feed(listing(43, False, ("s", "leaving")))
    assert told == [
        ("listed", True, False, [("s", "z", "ready", 1.5, 0.0)]),
        ("listed", False, False, [("s", "z", "draining", 1.5, 0.0)]),
    ]
    asked = [x.split(b" ")[1] for x in wire.written.split(b"\r\n\r\n")[:-1]]
    assert asked[0] == b"/v1/servers" and asked[1].startswith(b"/v1/servers?since=41&timeout_ms=")
    assert asked[3].startswith(b"/v1/servers?since=43&")


def test_an_agent_that_closes_after_each_answer_is_watched_all_the_same():
    """Guards against the whole list being asked for over and over."""
    peer, clock, told = watch()
    peer.start()
    for version in (41, 41, 41):
        wire = Wire(clock.connects.pop())
        wire.feed(
            listing(version, version == 41 and not told, ("s", "active")).replace(
                b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"
            )
        )
        assert wire.closed is CloseReason.CLOSED_BY_US
    assert b"since=41" in wire.written and not told.log and len(clock.connects) == 1


def test_a_list_older_than_ours_is_asked_for_whole():
    peer, _, told = watch()
    wire = Wire(peer)
    wire.feed(listing(41, True, ("s", "active")) + listing(3, False, ("s", "left")))
    assert len(told) == 1 and wire.written.split(b"\r\n\r\n")[-2].startswith(b"GET /v1/servers HTTP")
    wire.feed(listing(3, True, ("t", "active")))
    assert told[1][3][0][0] == "t" and list(peer.entries) == ["t"]


def test_what_the_list_drops_is_not_kept():
    peer, _, _ = watch()
    wire = Wire(peer)
    wire.feed(listing(41, True, ("s", "active")))
    for k in range(3000):
        wire.feed(listing(42 + k, False, (f"s{k}", "active"), (f"s{k - 1}", "left")))
    assert list(peer.entries) == ["s", "s2999"]


def test_a_list_that_is_silent_or_cannot_be_read_is_asked_for_anew():
    for bad in (
        None,
        answer("junk"),
        answer({"version": 1}),
        answer("{}", "500 Broken"),
        b"junk\r\n\r\n",
        answer({"version": 1, "full": True, "servers": [{"id": "s", "state": "odd"}]}),
    ):
        peer, clock, told = watch()
        wire = Wire(peer)
        wire.feed(bad) if bad else clock.move(3)
        assert wire.closed is (CloseReason.MALFORMED if bad else CloseReason.SILENT) and not told
        clock.move(1)
        assert clock.connects == [peer]


# --- all of it together --------------------------------------------------------------------------


class RoughRelay:
    """A relay whose connections break in every way, drawn by chance, until it is well again."""

    def __init__(self, chance, clock, store):
        self.chance, self.clock, self.store = chance, clock, store
        self.wires, self.well = {}, False  # bytes answered by wire

    def step(self):
        while self.clock.connects:
            peer = self.clock.connects.pop()
            if self.well or self.chance.random() < 0.7:
                self.wires[Wire(peer)] = 0
            else:
                peer.connection_lost(
                    None,
                    self.chance.choice([CloseReason.REFUSED, CloseReason.CONNECT_TIMEOUT, CloseReason.UNREACHABLE]),
                )
        for wire in list(self.wires):
            while not wire.closed and len(wire.written) > self.wires[wire]:
                asked = wire.written[self.wires[wire] :]
                self.wires[wire] = len(wire.written)
                self.stream(wire) if asked.startswith(b"GET") else self.take(wire, asked)
            if wire.closed or not self.well and self.chance.random() < 0.02:
                wire.close(CloseReason.RESET)
                del self.wires[wire]
            elif isinstance(wire.peer, RelayStream):
                wire.feed(lines(("", {}), head=False))

    def stream(self, wire):
        data = lines(
            *(
                x
                for k, held in self.store.items()
                for x in [
                    ("lease", {"slice": k, "on": True}),
                    *(("line", {"slice": k, "server": s, "weight": w}) for s, w in held.items()),
                ]
            )
        )
        if self.well or self.chance.random() < 0.7:
            wire.feed(data)
            wire.feed(lines(("", {}), head=False))
        else:  # part of it, and then nothing more, or nonsense
            wire.feed(data[: self.chance.randrange(len(data))])
            wire.feed(b"\0junk") if self.chance.random() < 0.5 else wire.close(CloseReason.CLOSED)

    def take(self, wire, asked):
        fate = 0 if self.well else self.chance.choice([0, 0, 0, 1, 2, 3, 4, 5])
        given = json.loads(asked.split(b"\r\n\r\n")[1])["orders"]
        if fate in (0, 1, 2, 3):
            for f in given:
                if f["do"] == "SET" and f["group"] in self.store:
                    self.store[f["group"]].pop(f["server"], None)
                    if f["weight"]:
                        self.store[f["group"]][f["server"]] = f["weight"]
        if fate in (1, 4):
            wire.close(CloseReason.RESET)
        elif fate == 0:
            wire.feed(answer({"accepted": len(given)}))
        elif fate == 2:
            wire.feed(answer("{}"))  # 3 and 5: nothing is ever answered


def test_the_store_ends_as_ordered_however_the_relay_breaks():
    for seed in range(60):
        chance = Random(seed)
        calls, news, clock, told = relay()
        believed = {k: {"a": 1.0} for k in range(4)}
        rough = RoughRelay(chance, clock, {k: dict(v) for k, v in believed.items()})
        news.start()
        for step in range(400):
            rough.well = step > 300 or step < 3
            if 3 < step < 300 and chance.random() < 0.1 and len(news.slices) == 4:
                k, server = chance.randrange(4), chance.choice("abc")
                orders = [line(k, x, 0.0) for x in believed[k] if x != server] + [line(k, server)]
                believed[k] = {server: 1.0}
                calls.add_orders([*orders, {"do": "SYNC", "ticket": step, "on": 0}])
            rough.step()
            clock.move(0.05)
        assert rough.store == believed == news.slices, seed
        assert not (calls.queue or calls.in_flight or calls.unconfirmed)
        assert [x for x in told if x[0] == "taken"] == [], seed
