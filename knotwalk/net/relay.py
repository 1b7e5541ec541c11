"""The relay: calls that carry orders, and news of proxies and slices.

Owns the order of calls, one under way at a time, and what stands by the news and by the orders taken. It
must never drop an order whose fate is unknown, tell anything that stood all along as new, or choose which
orders to give.
"""

import json
from collections.abc import Callable, Iterator

from knotwalk.net import http
from knotwalk.net.close_reason import Ending, Outcome, Role, outcome
from knotwalk.net.log import Log
from knotwalk.net.loop import AGAIN_FIRST, AGAIN_MOST, CONNECT, Kept, Link, Loop, Timer, TooLong, Unreadable
from knotwalk.wire_values import error_text, parse_amount, parse_count

CALL_MOST = 60_000  # bytes of orders in a call, as the protocol has it
ANSWER = 0.15  # an answer comes within 50 ms or never; the rest is for a late loop
STANDING = 1.0  # seconds a connection is kept for the next call: the relay closes idle ones by itself
ANSWER_MOST = 1 << 16  # bytes of an answer: it holds one number
THROTTLED = 0.1  # seconds before a call turned away before the run goes again
LIFE = 1.8  # a sign of life comes every second: one missed, and some for a late loop
NEWS_MOST = 1 << 20  # bytes of one line of news
SURE = 0.06  # seconds after which a call was carried out or never will be: answers come in 50 ms
LOOK = 1.5  # seconds for a look at what stands: a sign of life, at the latest its end, comes in 1


def key(order: dict) -> tuple:
    """What an order sets: a later one of the same key takes its place."""
    if order["do"] == "SYNC":
        return ("SYNC",)
    if order["do"] in ("OUT", "IN"):
        return ("OUT", order["server"])
    return (order["do"], order.get("group"), order.get("server"), *order.get("classes", ()))


class Calls:
    """Orders on their way, as calls one after the other."""

    def __init__(self, loop: Loop, address: tuple[str, int], news: "News", log: Log):
        self.loop, self.address, self.news, self.log = loop, address, news, log
        self.queue: dict[tuple, dict] = {}  # orders not yet in a call
        self.under_way: list[dict] = []  # those of the call that waits for its answer
        self.doubtful: list[dict] = []  # those of a call whose outcome is unknown
        self.lost: set[int] = set()  # slices lost since that call went out
        self.unsure: set[int] = set()  # slices with a doubt left open, till their orders are taken
        self.link: Link | None = None
        self.connecting = False
        self.answers, self.status, self.body = http.Answers(ANSWER_MOST), 0, b""
        self.silence: Timer | None = None
        self.idle: Timer | None = None
        self.again: Timer | None = None
        self.wait = AGAIN_FIRST
        news.calls = self

    def order(self, orders: list[dict]) -> None:
        """Add a round's orders; they go at once, or with the next call."""
        for order in orders:
            self.queue.pop(key(order), None)
            self.queue[key(order)] = order
        self.pump()

    def forget(self, slice_id: int) -> None:
        """Drop what is not yet sent for a slice: it was taken from us, or given anew with other lines."""
        self.lost.add(slice_id)
        for k in [k for k, order in self.queue.items() if order.get("group") == slice_id]:
            del self.queue[k]

    def put_back(self, orders: list[dict]) -> None:
        """Orders that were not carried out go first again, unless newer ones took their place."""
        newer = self.queue
        self.queue = {
            key(order): order for order in orders if key(order) not in newer and order.get("group") not in self.lost
        }
        self.queue.update(newer)

    def pump(self) -> None:
        if self.under_way or self.doubtful or not self.queue or self.again is not None:
            return
        if self.link is None:
            if not self.connecting:
                self.connecting = True
                self.loop.connect(self.address, self, CONNECT)
            return
        self.stop("idle")
        parts: list[str] = []
        size = 0
        for order in self.queue.values():
            text = json.dumps(order, separators=(",", ":"))
            size += len(text) + 1
            if size > CALL_MOST and parts:
                break
            parts.append(text)
        self.under_way = [self.queue.pop(k) for k in list(self.queue)[: len(parts)]]
        self.status, self.body, self.lost = 0, b"", set()
        link = self.link
        self.silence = self.loop.after(ANSWER, lambda: link.end(Ending.SILENT))
        body = b'{"orders":[%s]}' % ",".join(parts).encode()
        link.write(http.request("%s:%d" % link.address, "POST", "/v1/batches", body=body))

    def stop(self, timer: str) -> None:
        if getattr(self, timer):
            getattr(self, timer).cancel()
            setattr(self, timer, None)

    def retry(self, wait: float) -> None:
        def go() -> None:
            self.again = None
            self.pump()

        self.again = self.again or self.loop.after(wait, go)

    def move(self, address: tuple[str, int]) -> None:
        """From now on calls go there; the one under way is settled where it went."""
        self.address, self.wait = address, AGAIN_FIRST
        self.stop("again")
        if self.link and not self.under_way:
            self.link.end(Ending.LEFT)
        self.pump()

    # --- as a peer ---

    def opened(self, link: Link) -> None:
        if link.address != self.address:
            link.end(Ending.LEFT)  # moved meanwhile
            return
        self.connecting, self.link = False, link
        self.answers = http.Answers(ANSWER_MOST)
        self.pump()

    def fed(self, link: Link, data: memoryview) -> None:
        for kind, value in self.answers.feed(data):
            if not self.under_way:
                raise Unreadable("an answer to no call")
            if kind == "status":
                self.status = value
            elif kind == "piece":
                self.body += value
            else:
                self.answered(link, keep=value)

    def answered(self, link: Link, keep: bool) -> None:
        try:
            told = json.loads(self.body)
            error = told.get("error")
            if error not in (None, "throttled", "invalid"):
                raise ValueError(f"no such error: {error!r}"[:80])
            if error is None and (self.status != 200 or type(told["accepted"]) is not int):
                raise ValueError(f"{self.status} {self.body[:80]!r}")
            accepted = 0 if error else parse_count(told["accepted"], len(self.under_way))
        except (ValueError, TypeError, AttributeError, KeyError) as fault:
            raise Unreadable(f"no answer to a call: {error_text(fault)}") from None
        orders, self.under_way = self.under_way, []
        self.stop("silence")
        self.wait = AGAIN_FIRST
        if error == "invalid":
            self.log("orders refused", f"the relay cannot read this call of {len(orders)}: {orders[:3]}")
            self.news.resync(orders)
        elif error is not None:
            self.log("call turned away", f"{error}, tried again")
            self.put_back(orders)
            self.retry(THROTTLED)
        else:
            self.news.took(orders[:accepted])
            if not self.queue:
                self.unsure.clear()
            if accepted < len(orders):
                self.refused(orders[accepted], orders[accepted + 1 :])
        if keep and link.address == self.address:
            self.idle = self.loop.after(STANDING, lambda: link.end(Ending.LEFT))
            self.pump()
        else:
            link.end(Ending.LEFT)

    def refused(self, bad: dict, rest: list[dict]) -> None:
        """One order cannot be used: the rest goes on, but for what belongs to it. Guards against a slice left
        with no line when only the one that was to replace it is refused, and a call for each of many."""
        self.log("order refused", f"{bad}")
        slices = {bad.get("group")} | {
            f["group"] for f in rest if f["do"] == "SET" and f["weight"] and f["server"] == bad.get("server")
        }
        slices.discard(None)
        self.put_back([f for f in rest if f.get("group") not in slices])
        self.news.resync([bad] + [f for f in rest if f.get("group") in slices])

    def ended(self, link: Link | None, ending: Ending) -> None:
        sent = self.link is link is not None and not link.out.size
        self.link, self.connecting = None, False
        self.stop("silence")
        self.stop("idle")
        orders, self.under_way = self.under_way, []
        if orders and outcome(Role.CALL, ending, sent) is Outcome.UNSURE:
            self.log("call in doubt", f"{ending.value}; {len(orders)} orders stand or not")
            self.doubtful = orders
            Doubt(self)
            return
        if orders:
            self.put_back(orders)
        if orders or ending not in (Ending.LEFT, Ending.CLOSED, Ending.RESET):
            self.log("call failed", f"{ending.value}, tried again")
        if ending is Ending.LEFT:
            self.pump()
        elif self.queue:
            self.retry(AGAIN_FIRST if ending is Ending.TIMED_OUT else self.wait)
            if ending is not Ending.TIMED_OUT:
                self.wait = min(AGAIN_MOST, 2 * self.wait)

    def settled(self, done: bool) -> None:
        """The orders in doubt are known to stand, or are given again as if they did not."""
        orders, self.doubtful = self.doubtful, []
        if done:
            self.news.took(orders)
        else:
            self.put_back(orders)
            self.unsure.update(f["group"] for f in orders if "group" in f)
        self.pump()

    def moves(self, slice_id: int) -> bool:
        """Whether a slice's lines may be as ordered already, or not yet."""
        pending = self.under_way + self.doubtful
        return slice_id in self.unsure or any(f.get("group") == slice_id for f in pending)


class Lines:
    """The machine of a stream of news: objects out of bytes in any pieces."""

    def __init__(self):
        self.answers, self.rest, self.status = http.Answers(0), b"", 0

    def feed(self, data: bytes | memoryview) -> Iterator[tuple[str, dict]]:
        """Kind and object of each line that these bytes finish, up to one that cannot be read; a sign of life
        has the kind "".

        >>> head = b"HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n"
        >>> list(Lines().feed(head + b"3\\r\\n{}\\n\\r\\n"))
        [('', {})]
        """
        for kind, value in self.answers.feed(data):
            if kind == "status":
                if value != 200:
                    raise Unreadable(f"answer {value} in place of news")
            elif kind == "end":
                raise Unreadable("the news ended in order, which it never does")
            else:
                lines = (self.rest + value).split(b"\n")
                self.rest = lines.pop()
                if len(self.rest) > NEWS_MOST:
                    raise TooLong(f"a line of news of over {NEWS_MOST} bytes")
                yield from (self.line(line) for line in lines if line.strip())

    @staticmethod
    def line(line: bytes) -> tuple[str, dict]:
        try:
            told = json.loads(line)
            kind, f = told.get("type", ""), told.get("object", {})
            if not (isinstance(kind, str) and isinstance(f, dict)):
                raise ValueError("no type and object")
        except (ValueError, AttributeError) as fault:
            raise Unreadable(f"no news: {fault}: {line[:80]!r}") from None
        return kind, f


class Doubt:
    """A look at what stands, on a connection of its own, to learn whether a call was carried out.

    A call is carried out whole or not at all, so one line that it changed tells for all of it, and so does a
    receipt that it asked for. Where neither shows, the orders are given again: they set and do not add.
    """

    def __init__(self, calls: Calls):
        self.calls, self.lines = calls, Lines()
        self.over = False
        self.link: Link | None = None
        self.slice: object = None  # the one whose lines are being read
        # A line that the call alone changed; after a doubt left open, the store may have held it before.
        held = calls.news.slices
        self.wanted = next(
            (
                (f["group"], f["server"], f["weight"])
                for f in calls.doubtful
                if f["do"] == "SET"
                and f["group"] not in calls.unsure
                and held.get(f["group"], {}).get(f["server"], 0.0) != f["weight"]
            ),
            None,
        )
        self.marks = {f["ticket"] for f in calls.doubtful if f["do"] == "SYNC"}
        calls.news.doubt = self
        calls.loop.after(LOOK, lambda: self.settle(False))
        if self.wanted:
            calls.loop.after(SURE, self.look)

    def look(self) -> None:
        if not self.over:
            self.lines, self.slice = Lines(), None
            self.calls.loop.connect(self.calls.address, self, CONNECT)

    def receipt(self, mark: int) -> None:
        if mark in self.marks:
            self.settle(True)

    def settle(self, done: bool) -> None:
        if self.over:
            return
        self.over, self.calls.news.doubt = True, None
        if self.link:
            self.link.end(Ending.LEFT)
        self.calls.log("doubt settled", "carried out" if done else "given again")
        self.calls.settled(done)

    def opened(self, link: Link) -> None:
        self.link = link
        link.write(http.request("%s:%d" % link.address, "GET", "/v1/stream"))

    def fed(self, link: Link, data: memoryview) -> None:
        slice_id, server, weight = self.wanted or (None, None, None)
        for kind, f in self.lines.feed(data):
            if kind != "line" and self.slice == slice_id:
                self.settle(weight == 0)  # all its lines have been read, and this is none of them
            elif not kind and self.slice is not None:
                self.settle(True)  # the slice is no longer ours: orders for it change nothing
            elif kind == "line" and f.get("slice") == slice_id and f.get("server") == server:
                self.settle(f.get("weight") == weight)
            elif kind == "lease":
                self.slice = f.get("slice")
            if self.over:
                return

    def ended(self, link: Link | None, ending: Ending) -> None:
        self.link = None
        if not self.over:  # nothing learnt: look again until the time is up
            self.calls.loop.after(SURE, self.look)


class News(Kept):
    """The stream of news, and what stands by it and by the orders taken.

    A connection begins with what stands; that has been read when a sign of life follows it (seen: no other
    mark shows its end, and the first sign of life may come ahead of it). Until then slices are compared with
    what was known, one by one, and only what differs is told.
    """

    def __init__(self, loop: Loop, address: tuple[str, int], tell: Callable, log: Log):
        super().__init__(loop, address)
        self.tell, self.log = tell, log
        self.calls: Calls  # sets itself
        self.doubt: Doubt | None = None
        self.proxies: set[int] = set()
        self.zones: set[str] = set()  # of the proxies that joined
        self.slices: dict[int, dict[str, float]] = {}  # lines by server
        self.heard = False  # whether a stream has ever come up
        self.reading = False  # whether what stands is still being read
        self.signs = 0  # signs of life on this connection
        self.seen: set[tuple[str, int]] = set()  # what stands, as far as it has been read
        self.current: tuple[int, dict[str, float]] | None = None  # the slice whose lines are being read
        self.touched: set[int] = set()  # slices ordered since the connection came up: it may be behind
        self.lines = Lines()
        self.life: Timer | None = None
        self.latest = 0.0  # when bytes last came

    def took(self, orders: list[dict]) -> None:
        """Orders that the relay has carried out."""
        for f in orders:
            lines = self.slices.get(f.get("group", -1))
            if f["do"] == "SET" and lines is not None:
                self.touched.add(f["group"])
                lines.pop(f["server"], None)
                if f["weight"]:
                    lines[f["server"]] = f["weight"]

    def resync(self, orders: list[dict]) -> None:
        """Orders that were not taken: the module hears what stands for their slices in place of them."""
        for slice_id in dict.fromkeys(f["group"] for f in orders if f.get("group") in self.slices):
            lines = self.slices[slice_id]
            self.lose(slice_id)
            self.give(slice_id, lines)

    def repeat(self) -> None:
        """Tell all that stands, to a module that starts from nothing."""
        for proxy in self.proxies:
            self.tell("joined", proxy)
        for slice_id, lines in self.slices.items():
            self.give(slice_id, lines)

    # --- as a peer ---

    def up(self, link: Link) -> None:
        if self.heard:
            self.tell("receipts_lost")  # as are those of what was ordered meanwhile
        self.lines, self.reading, self.signs, self.seen, self.current = Lines(), True, 0, set(), None
        self.touched = set()
        self.latest = self.loop.now()
        self.stay_awake(link)
        link.write(http.request("%s:%d" % link.address, "GET", "/v1/stream"))

    def stay_awake(self, link: Link) -> None:
        """One timer at a time: one for each piece of news would fill the memory."""
        if self.life:
            self.life.cancel()
        if self.loop.now() >= self.latest + LIFE:
            link.end(Ending.SILENT)
        else:
            self.life = self.loop.at(self.latest + LIFE, lambda: self.stay_awake(link))

    def fed(self, link: Link, data: memoryview) -> None:
        self.latest = self.loop.now()
        for kind, f in self.lines.feed(data):
            self.heard, self.wait = True, AGAIN_FIRST
            try:
                if kind != "line":
                    self.slice_read()
                getattr(self, f"on_{kind or 'sign'}", self.on_unknown)(f)
            except (ValueError, TypeError, KeyError, OverflowError) as fault:
                raise Unreadable(f"no news: {kind}: {error_text(fault)}") from None

    def on_unknown(self, f: dict) -> None:
        self.log("news unknown", f"{f}")

    def on_sign(self, _f: dict) -> None:
        self.signs += 1
        if self.reading and (self.seen or self.signs > 1):
            self.reading = False
            for proxy in [x for x in self.proxies if ("hello", x) not in self.seen]:
                self.on_bye({"proxy": proxy})
            for slice_id in [x for x in self.slices if ("lease", x) not in self.seen]:
                self.lose(slice_id)

    def on_hello(self, f: dict) -> None:
        proxy = parse_count(f["proxy"])
        self.zones.add(str(f.get("zone", "")))
        self.seen.add(("hello", proxy))
        if not self.reading:
            self.on_bye(f)  # one that joins is on a new stream, though the end of the old was not told
        if proxy not in self.proxies:
            self.proxies.add(proxy)
            self.tell("joined", proxy)

    def on_bye(self, f: dict) -> None:
        proxy = parse_count(f["proxy"])
        self.seen.discard(("hello", proxy))
        if proxy in self.proxies:
            self.proxies.discard(proxy)
            self.tell("left", proxy)

    def on_ack(self, f: dict) -> None:
        try:
            proxy, mark = parse_count(f["proxy"]), parse_count(f["mark"])
        except (ValueError, TypeError, KeyError) as fault:  # another's answer to it tells as much
            self.log("answer to a mark dropped", error_text(fault))
            return
        self.tell("applied", proxy, mark)
        if self.doubt:
            self.doubt.receipt(mark)

    def on_lease(self, f: dict) -> None:
        slice_id = parse_count(f["slice"])
        if not f["on"]:
            self.seen.discard(("lease", slice_id))
            self.lose(slice_id)
        elif self.reading:
            self.seen.add(("lease", slice_id))
            self.current = slice_id, {}
        else:
            self.give(slice_id, {})

    def on_line(self, f: dict) -> None:
        slice_id, server, weight = parse_count(f["slice"]), str(f["server"]), parse_amount(f["weight"])
        if self.current and self.current[0] == slice_id:
            self.current[1][server] = weight
        elif slice_id in self.slices:
            self.slices[slice_id][server] = weight
            self.tell("held", slice_id, server, weight)

    def slice_read(self) -> None:
        """All lines of a slice that stands are there: nothing is told if they are the ones that we left."""
        if self.current is None:
            return
        slice_id, lines = self.current
        self.current = None
        if slice_id in self.slices and (self.slices[slice_id] == lines or slice_id in self.touched):
            return
        if slice_id in self.slices and self.calls.moves(slice_id):
            self.slices[slice_id] = lines
            return
        # Other lines than ours: another conductor had it in the meantime, and what was thought of it is void.
        self.lose(slice_id)
        self.give(slice_id, lines)

    def give(self, slice_id: int, lines: dict[str, float]) -> None:
        self.calls.forget(slice_id)
        self.slices[slice_id] = dict(lines)
        self.tell("given", slice_id)
        for server, weight in lines.items():
            self.tell("held", slice_id, server, weight)

    def lose(self, slice_id: int) -> None:
        if self.slices.pop(slice_id, None) is not None:
            self.calls.forget(slice_id)
            self.tell("taken", slice_id)

    def lost(self, link: Link | None, ending: Ending) -> None:
        if self.life and self.link is None:
            self.life.cancel()
        if ending is not Ending.LEFT:
            means = outcome(Role.NEWS, ending).value
            self.tell("receipts_lost")
            self.log("news lost", f"{ending.value}: {means} {link.fault if link else ''}")
