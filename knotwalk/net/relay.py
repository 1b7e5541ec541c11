"""The relay: calls that carry orders, and news of proxies and slices.

Owns the order of calls, one under way at a time, and what the news said last. It must never drop an order whose
fate is unknown, tell anything that stood all along as new, or choose which orders to give.
"""

import json
from collections.abc import Callable, Iterable

from knotwalk.net import http
from knotwalk.net.ending import Ending, Outcome, Role, outcome
from knotwalk.net.log import Log
from knotwalk.net.loop import Link, Loop, TooLong, Unreadable

CALL_MOST = 60_000      # bytes of orders in a call, as the protocol has it
CONNECT = 0.25          # seconds for a connection on the same network to come up
ANSWER = 0.15           # an answer comes within 50 ms or never; the rest is for a late loop
STANDING = 1.0          # seconds a connection is kept for the next call: the relay closes idle ones by itself
ANSWER_MOST = 1 << 16   # bytes of an answer: it holds one number
AGAIN_FIRST, AGAIN_MOST = 0.02, 0.5     # seconds before a failed call goes again; doubles: no hammering
THROTTLED = 0.1         # seconds before a call turned away before the run goes again
LIFE = 2.3              # a sign of life comes every second: two missed, and some for a late loop
NEWS_MOST = 1 << 20     # bytes of one line of news


class Calls:
    """Orders on their way, as calls one after the other."""

    def __init__(self, loop: Loop, address: tuple[str, int], log: Log):
        self.loop, self.address, self.log = loop, address, log
        self.host = "%s:%d" % address
        self.queue: list[dict] = []     # orders not yet in a call
        self.under_way: list[dict] | None = None
        self.link: Link | None = None
        self.connecting = False
        self.answers = http.Answers(ANSWER_MOST)
        self.status, self.body = 0, b""
        self.silence = self.idle = self.again = None
        self.wait = AGAIN_FIRST
        self.count = 0

    def order(self, orders: list[dict]) -> None:
        """Add a round's orders; they go at once or with the next call."""
        self.queue += orders
        self.pump()

    def pump(self) -> None:
        if self.under_way is not None or not self.queue or self.again is not None:
            return
        if self.link is None:
            if not self.connecting:
                self.connecting = True
                self.loop.connect(self.address, self, CONNECT)
            return
        if self.idle:
            self.idle.cancel()
            self.idle = None
        parts, size = [], 0
        for order in self.queue:
            text = json.dumps(order, separators=(",", ":"))
            size += len(text) + 1
            if size > CALL_MOST and parts:
                break
            parts.append(text)
        self.under_way, self.queue = self.queue[:len(parts)], self.queue[len(parts):]
        body = '{"orders":[%s]}' % ",".join(parts)
        self.status, self.body = 0, b""
        self.count += 1
        self.silence = self.loop.after(ANSWER, self.silent)
        self.link.write(http.request(self.host, "POST", "/v1/batches", body=body.encode()))

    def silent(self) -> None:
        if self.link:
            self.link.end(Ending.SILENT)

    def retry(self, wait: float) -> None:
        def go() -> None:
            self.again = None
            self.pump()
        self.again = self.again or self.loop.after(wait, go)

    # --- as a peer ---

    def opened(self, link: Link) -> None:
        self.connecting, self.link = False, link
        self.answers = http.Answers(ANSWER_MOST)
        self.pump()

    def fed(self, link: Link, data: memoryview) -> None:
        for kind, value in self.answers.feed(data):
            if self.under_way is None:
                raise Unreadable("an answer to no call")
            if kind == "status":
                self.status = value
            elif kind == "piece":
                self.body += value
            else:
                self.answered(link, value)

    def answered(self, link: Link, keep: bool) -> None:
        try:
            told = json.loads(self.body)
            error = told.get("error")
            accepted = int(told.get("accepted", 0))
            if error is None and "accepted" not in told:
                raise ValueError("neither accepted nor error")
        except (ValueError, TypeError, AttributeError) as fault:
            raise Unreadable(f"no answer to a call: {fault}") from None
        orders, self.under_way = self.under_way or [], None
        if self.silence:
            self.silence.cancel()
        self.wait = AGAIN_FIRST
        if error is not None:
            if isinstance(error, dict):
                error = error.get("code") or error.get("type") or json.dumps(error)
            if error == "invalid":
                self.log("orders refused", f"the relay calls {len(orders)} orders invalid: {orders[:3]}")
            else:
                self.log("call turned away", f"{error}; tried again")
                self.queue[:0] = orders
                self.retry(THROTTLED)
        elif accepted < len(orders):
            self.log("order refused", f"{orders[accepted]}")
            self.queue[:0] = orders[accepted + 1:]
        if not keep:
            link.end(Ending.LEFT)
        else:
            self.idle = self.loop.after(STANDING, lambda: link.end(Ending.LEFT))
        self.pump()

    def ended(self, link: Link | None, ending: Ending) -> None:
        sent = link is not None and self.link is link and not link.out.size
        self.link, self.connecting = None, False
        for timer in (self.silence, self.idle):
            if timer:
                timer.cancel()
        self.silence = self.idle = None
        if self.under_way is not None:
            orders, self.under_way = self.under_way, None
            means = outcome(Role.CALL, ending, sent)
            self.log("call failed", f"{ending.value}: {means.value} ({len(orders)})")
            self.queue[:0] = orders
        elif ending is not Ending.LEFT and ending is not Ending.CLOSED:
            self.log("call connection", ending.value)
        if self.queue and ending is not Ending.LEFT:
            self.retry(self.wait)
            self.wait = min(AGAIN_MOST, 2 * self.wait)
        self.pump()


class News:
    """The stream of news, and what stands by it."""

    def __init__(self, loop: Loop, address: tuple[str, int], tell: Callable, log: Log):
        self.loop, self.address, self.tell, self.log = loop, address, tell, log
        self.host = "%s:%d" % address
        self.proxies: set[int] = set()
        self.slices: dict[int, dict[str, float]] = {}
        self.link: Link | None = None
        self.standing = False       # whether what stands has been read
        self.answers, self.rest, self.status = http.Answers(0), b"", 0
        self.life = None
        self.wait = AGAIN_FIRST

    def start(self) -> None:
        self.loop.connect(self.address, self, CONNECT)

    def alive(self) -> None:
        """Something came: the connection is not silent."""
        if self.life:
            self.life.cancel()
        link = self.link
        self.life = self.loop.after(LIFE, lambda: link.end(Ending.SILENT))

    def opened(self, link: Link) -> None:
        self.link, self.standing = link, False
        self.answers, self.rest, self.status = http.Answers(0), b"", 0
        self.alive()
        link.write(http.request(self.host, "GET", "/v1/stream"))

    def fed(self, link: Link, data: memoryview) -> None:
        self.alive()
        for kind, value in self.answers.feed(data):
            if kind == "status":
                self.status = value
            elif kind == "piece":
                import os
                if os.environ.get("KW_DUMP"):
                    print("NEWS", self.loop.now(), value[:3000], flush=True)
                lines = (self.rest + value).split(b"\n")
                self.rest = lines.pop()
                if len(self.rest) > NEWS_MOST:
                    raise TooLong(f"a line of news of over {NEWS_MOST} bytes")
                if self.status == 200:
                    for line in lines:
                        self.line(line)
            else:
                if self.status != 200:
                    self.log("news refused", f"{self.status} {self.rest[:100]!r}")
                link.end(Ending.LEFT)

    def line(self, line: bytes) -> None:
        try:
            told = json.loads(line) if line.strip() else {}
            kind, f = told.get("type"), told.get("object", {})
            if kind == "hello":
                if f["proxy"] not in self.proxies:
                    self.proxies.add(f["proxy"])
                    self.tell("joined", f["proxy"])
            elif kind == "bye":
                if f["proxy"] in self.proxies:
                    self.proxies.discard(f["proxy"])
                    self.tell("left", f["proxy"])
            elif kind == "ack":
                self.tell("applied", f["proxy"], f["mark"])
            elif kind == "lease":
                if f["on"]:
                    self.slices[f["slice"]] = {}
                    self.tell("given", f["slice"])
                elif self.slices.pop(f["slice"], None) is not None:
                    self.tell("taken", f["slice"])
            elif kind == "line":
                self.tell("held", f["slice"], f["server"], float(f["weight"]))
            elif kind is not None:
                self.log("news unknown", f"{kind}")
        except (ValueError, TypeError, AttributeError, KeyError) as fault:
            raise Unreadable(f"no news: {fault} in {line[:80]!r}") from None
        self.wait = AGAIN_FIRST
        if kind is None:
            self.standing = True

    def ended(self, link: Link | None, ending: Ending) -> None:
        if self.life:
            self.life.cancel()
        self.link = None
        self.log("news lost", f"{ending.value}: {outcome(Role.NEWS, ending).value} {link.fault if link else ''}")
        self.loop.after(self.wait, self.start)
        self.wait = min(AGAIN_MOST, 2 * self.wait)
