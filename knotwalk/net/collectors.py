"""Who connects to us: collectors with their reports, whoever asks whether we live, and strangers.

Owns the bounds on all of them. It must never write to a collector more than the answer to a probe, or let one
connection cost the others theirs.
"""

from collections.abc import Callable, Mapping

from knotwalk.net.ending import Ending
from knotwalk.net.log import Log
from knotwalk.net.loop import Link, Loop, Unreadable
from knotwalk.net.resp import Resp, packed
from knotwalk.told import LOADS, plain

SEATS = 600     # connections at once, of the 1,024 descriptors that the platform gives
ALIVE = packed("alive")


def fields(items: list[str]) -> dict[str, str]:
    """Names and values that alternate.

    >>> fields(["hot", "slice", "88"])
    {'slice': '88'}
    """
    if len(items) % 2 == 0:
        raise ValueError(f"'{items[-1][:40]}' has no value")
    return dict(zip(items[1::2], items[2::2]))


def load_of(text: str) -> dict[str, float]:
    """A load report.

    >>> load_of("inflight:7,util:0.61")
    {'inflight': 7.0, 'utilization': 0.61}
    """
    pairs = [part.partition(":") for part in text.split(",") if part]
    return {LOADS.get(name, name): float(value) for name, _, value in pairs}


class Callers:
    """All that have connected."""

    def __init__(self, loop: Loop, methods: Mapping[str, int], tell: Callable, ready: Callable[[], bool],
                 log: Log):
        self.loop, self.methods, self.tell, self.ready, self.log = loop, methods, tell, ready, log
        self.seats: dict["Caller", Link] = {}       # the one not heard of for longest first

    def accept(self) -> "Caller":
        return Caller(self)

    def seat(self, caller: "Caller", link: Link) -> None:
        self.seats[caller] = link
        if len(self.seats) > SEATS:
            # Strangers that say nothing must not keep collectors out: those that never spoke go first.
            oldest = next((x for x in self.seats if not x.spoke), next(iter(self.seats)))
            self.seats[oldest].end(Ending.CROWDED)


class Caller:
    """One that has connected."""

    def __init__(self, callers: Callers):
        self.all, self.resp, self.spoke, self.zone = callers, Resp(), False, ""
        self.asked = False      # a probe waits for its answer

    def opened(self, link: Link) -> None:
        self.all.seat(self, link)

    def fed(self, link: Link, data: memoryview) -> None:
        for items in self.resp.feed(data):
            self.spoke = True
            if items:
                try:
                    self.message(link, items)
                except (ValueError, KeyError) as fault:
                    self.all.log("message dropped", f"{' '.join(items)[:120]}: {plain(fault)}")

    def message(self, link: Link, items: list[str]) -> None:
        kind = items[0]
        if kind == "probe":
            if self.all.ready():
                link.write(ALIVE)
            else:
                self.asked = True
            return
        f = fields(items)
        if kind == "outcomes":
            tries, aborted = int(f["tries"]), int(f.get("failed", 0))
            self.all.tell("heard", f["server"], f.get("zone", self.zone), float(f["span_ms"]) / 1e3, tries,
                          aborted, float(f.get("mean_ms", 0)) / 1e3, load_of(f.get("load", "")))
        elif kind == "hot":
            if f["class"] not in self.all.methods:
                raise ValueError(f"no such method '{f['class']}'")
            self.all.tell("wanted", int(f["slice"]), self.all.methods[f["class"]],
                          float(f["span_ms"]) / 1e3, int(f["tries"]))
        elif kind == "agent":
            self.zone = f.get("zone", "")
        else:
            raise ValueError("no such message")

    def ended(self, link: Link, ending: Ending) -> None:
        self.all.seats.pop(self, None)
        if ending not in (Ending.CLOSED, Ending.LEFT):
            self.all.log("caller ended", f"{ending.value} {link.fault}")
