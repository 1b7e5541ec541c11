"""The peers of the real conductor, fed bytes: no sockets, a clock that the test moves."""

import json

from helpers import Clock, Wire, answer, lines

from knotwalk.net.collectors import Callers
from knotwalk.net.discovery import Watch
from knotwalk.net.ending import Ending
from knotwalk.net.relay import Calls, News
from knotwalk.net.resp import packed

HOME = ("127.0.0.1", 1)
HEARD = packed("outcomes", "zone", "a", "server", "s", "tries", "9", "failed", "1", "mean_ms", "40", "span_ms",
               "2000.0", "load", "util:0.5,qps:7")
WANTED = packed("hot", "slice", "3", "class", "read", "tries", "9", "failed", "0", "span_ms", "2000.0")


class Told(list):
    """What was told, and what was logged."""

    def __init__(self):
        self.log = []

    def tell(self, *told):
        self.append(told)

    def note(self, kind, text=""):
        self.log.append(f"{kind}: {text}")


def callers(seats=9, room=10 ** 6):
    told, clock = Told(), Clock()
    return Callers(clock, {"read": 0}, {"s"}.__contains__, told.tell, told.note, seats, room), clock, told


def relay():
    told, clock = Told(), Clock()
    news = News(clock, HOME, told.tell, told.note)
    return Calls(clock, HOME, news, told.note), news, clock, told


def watch():
    told, clock = Told(), Clock()
    return Watch(clock, HOME, 4, [("s", "z", "ready", 1.0, 0.0)], told.tell, told.note), clock, told


def bodies(wire):
    """The orders of each call written."""
    return [json.loads(part.split(b"\r\n\r\n")[1])["orders"] for part in wire.written.split(b"POST ")[1:]]


def line(slice_id, server, weight=1.0):
    return {"do": "SET", "group": slice_id, "server": server, "weight": weight}


# --- collectors ----------------------------------------------------------------------------------

def test_a_burst_of_reports_is_told_as_a_whole_however_it_is_cut():
    """Guards against a period judged several times over: the module lowers levels once a report."""
    all_, clock, told = callers()
    wire = Wire(all_.accept())
    data = HEARD + 3 * WANTED
    for at in range(0, len(data), 50):
        wire.feed(data[at:at + 50])
        clock.move(0.002)
        assert not told
    clock.move(0.05)
    assert told == [("heard", "s", "a", 2.0, 9, 1, 0.04, {"utilization": 0.5, "qps": 7.0})] + \
        3 * [("wanted", 3, 0, 2.0, 9)]
