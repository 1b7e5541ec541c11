"""Who connects to us: collectors with their reports, whoever asks whether we live, and strangers.

Owns the bounds on all of them. It must never write to a collector more than the answer to a probe, or let one
connection cost the others theirs.
"""

from collections.abc import Callable, Mapping, Set

from knotwalk.net.close_reason import Ending
from knotwalk.net.log import Log
from knotwalk.net.loop import Link, Loop, Unreadable
from knotwalk.net.resp import Resp, packed
from knotwalk.wire_values import LOAD_COLUMNS, ReportBounds, error_text, parse_amount, parse_count

ALIVE = packed("alive")
# Collectors send the sums of a period as a burst of messages, which the module is to see as a whole: it
# judges servers by the period. A burst is over after the first, seconds of quiet (ten times what its pieces
# lie apart on a busy core) with no message half there, and handed on after the second at the latest (a
# quarter of a period of 1 s).
QUIET, BURST = 0.02, 0.25
JOIN = 1.0  # seconds to join: the protocol lets a connection be closed after that
GONE = 10.0  # seconds of silence after which a zone's collector is let go, if another has joined for it


def fields(items: list[str]) -> dict[str, str]:
    """Names and values that alternate.

    >>> fields(["hot", "slice", "88"])
    {'slice': '88'}
    """
    if len(items) % 2 == 0:
        raise ValueError(f"'{items[-1][:40]}' has no value")
    return dict(zip(items[1::2], items[2::2]))


def load_of(text: str, bounds: ReportBounds) -> dict[str, float]:
    """A load report.

    >>> load_of("inflight:7,util:0.61", ReportBounds(frozenset(), 1, 100, 5))
    {'inflight': 7.0, 'utilization': 0.61}
    """
    pairs = [part.partition(":") for part in text.split(",") if part]
    load = {LOAD_COLUMNS.get(name, name): parse_amount(value) for name, _, value in pairs}
    parse_amount(load.get("utilization", 0), bounds.utilization)
    parse_amount(load.get("qps", 0), bounds.rate)
    return load


class Callers:
    """All that have connected, within so many seats and so many bytes of unfinished messages."""

    def __init__(
        self,
        loop: Loop,
        methods: Mapping[str, int],
        bounds: ReportBounds,
        knows: Callable[[str], bool],
        zones: Callable[[], Set[str]],
        tell: Callable,
        log: Log,
        seats: int,
        room: int,
    ):
        self.loop, self.methods, self.bounds, self.tell, self.log = loop, methods, bounds, tell, log
        self.knows, self.zones = knows, zones
        self.seats, self.room = seats, room
        self.ready = False
        self.links: dict["Caller", Link] = {}  # the one not heard of for longest first
        self.held = 0  # bytes of unfinished messages
        self.burst: list[tuple] = []  # reports of a burst that is not over yet
        self.begun = self.latest = 0.0  # when its first and its last came

    def bound(self, seats: int, room: int) -> None:
        """Other bounds from now on; what is past them ends."""
        self.seats, self.room = seats, room
        while len(self.links) > seats:
            self.crowd_out(list(self.links))

    def accept(self) -> "Caller":
        return Caller(self)

    def serve(self) -> None:
        """From now on probes are answered, and those that wait are at once."""
        if not self.ready:
            self.ready = True
            for caller, link in list(self.links.items()):
                if caller.asked:
                    link.write(ALIVE)

    def report(self, handler: str, *arguments: object) -> None:
        """A report, which goes on with the others of its burst."""
        self.latest = self.loop.now()
        if not self.burst:
            self.begun = self.latest
            self.loop.after(QUIET, self.burst_over)
        self.burst.append((handler, *arguments))

    def burst_over(self) -> None:
        now, end = self.loop.now(), self.begun + BURST
        # Half a message that was left there long ago is a silent connection's: nothing more is to come.
        half = any(x.agent and x.held and x.latest > now - BURST for x in self.links)
        due = min(now + QUIET if half else self.latest + QUIET, end)
        if now < due:
            self.loop.at(due, self.burst_over)
            return
        burst, self.burst = self.burst, []
        for report in burst if self.ready else ():  # before that nothing that it could be on is in our charge
            self.tell(*report)

    def crowd_out(self, among: list["Caller"]) -> None:
        """End the one that is least of a loss: a silent stranger must not cost a collector its seat."""
        if among:
            self.links[min(among, key=lambda x: (x.agent, x.spoke))].end(Ending.CROWDED)


class Caller:
    """One that has connected."""

    def __init__(self, callers: Callers):
        self.all, self.resp = callers, Resp()
        self.spoke = self.agent = self.asked = False
        self.zone, self.held = "", 0
        self.latest = 0.0  # when bytes last came

    def opened(self, link: Link) -> None:
        self.all.links[self] = link
        link.timer = self.all.loop.after(JOIN, lambda: self.stayed(link))
        if len(self.all.links) > self.all.seats:
            self.all.crowd_out([x for x in self.all.links if x is not self])

    def stayed(self, link: Link) -> None:
        """It has had its time to join. Guards against strangers that keep their connections for good."""
        if self.asked and not self.all.ready:  # it waits for us, not we for it
            link.timer = self.all.loop.after(JOIN, lambda: self.stayed(link))
        else:
            link.end(Ending.STRANGER)

    def join(self, link: Link, zone: str) -> None:
        if zone not in self.all.zones():
            raise ValueError(f"no such zone '{zone}'")
        self.agent, self.zone = True, zone
        if link.timer:
            link.timer.cancel()
        # A machine that was cut off leaves its old connections open and silent: they would pile up.
        for other, old in list(self.all.links.items()):
            if other.agent and other.zone == zone and other.latest < self.latest - GONE:
                old.end(Ending.SILENT)

    def fed(self, link: Link, data: memoryview) -> None:
        self.latest = self.all.loop.now()
        for items in self.resp.feed(data):
            self.spoke = True
            self.all.links[self] = self.all.links.pop(self)
            if items:
                try:
                    self.message(link, items)
                except (ValueError, KeyError) as fault:
                    if not self.agent:  # spoilt reports come from collectors alone: it is a stranger
                        raise Unreadable(f"unjoined, {items[0][:40]}: {error_text(fault)}") from None
                    self.all.log("message dropped", f"{' '.join(items)[:120]}: {error_text(fault)}")
            if link.over:
                return
        self.hold(self.resp.weight())

    def hold(self, weight: int) -> None:
        """Half messages must not fill the memory: past the room, the ones that hold most are ended."""
        self.all.held += weight - self.held
        self.held = weight
        while self.all.held > self.all.room:
            most = max(x.held for x in self.all.links)
            self.all.crowd_out([x for x in self.all.links if x.held == most])

    def message(self, link: Link, items: list[str]) -> None:
        kind = items[0]
        if kind == "probe":
            self.asked = True
            if self.all.ready:
                link.write(ALIVE)
            return
        f, bounds = fields(items), self.all.bounds
        if kind == "agent":
            self.join(link, f["zone"])
        elif not self.agent:
            raise ValueError("it has not joined")
        elif kind == "outcomes":
            if not self.all.knows(f["server"]):
                raise ValueError(f"no such server '{f['server']}'")
            if f["zone"] not in self.all.zones():
                raise ValueError(f"no such zone '{f['zone']}'")
            span, tries, aborted = self.tries(f)
            parse_count(aborted, tries)
            latency = parse_amount(f["mean_ms"]) / 1e3 if aborted < tries else 0.0
            self.all.report(
                "heard",
                f["server"],
                f["zone"],
                span,
                tries,
                aborted,
                parse_amount(latency, bounds.latency),
                load_of(f.get("load", ""), bounds),
            )
        elif kind == "hot":
            if f["class"] not in self.all.methods:
                raise ValueError(f"no such method '{f['class']}'")
            span, tries, _ = self.tries(f)
            self.all.report(
                "wanted", parse_count(f["slice"], bounds.slices - 1), self.all.methods[f["class"]], span, tries
            )
        else:
            raise ValueError("no such message")

    def tries(self, f: Mapping[str, str]) -> tuple[float, int, int]:
        """Seconds, tries in them, and those that were aborted."""
        span = parse_amount(f["span_ms"], 1e3 * self.all.bounds.span) / 1e3
        if not span:
            raise ValueError("a span of nothing")
        most = self.all.bounds.rate * span
        # Of a slice more may have failed than were begun (seen): tries end in a later span than they begin.
        return span, parse_count(f["tries"], most), parse_count(f["failed"], most)

    def ended(self, link: Link | None, ending: Ending) -> None:
        self.all.links.pop(self, None)
        self.all.held -= self.held
        self.held = 0
        if ending not in (Ending.CLOSED, Ending.LEFT):
            self.all.log("caller ended", f"{ending.value} {link.fault if link else ''}")
