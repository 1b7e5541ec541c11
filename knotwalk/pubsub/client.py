"""The subscriber on a loop: connects, goes on after breaks, and tells of what changed.

Owns the connection and its waits; what is held is the subscriber's to say.
"""

import ssl
from collections.abc import Callable, Mapping, Sequence

from knotwalk.net.ending import Ending
from knotwalk.net.loop import Link, Loop, Timer, Unreadable
from knotwalk.pubsub import wire
from knotwalk.pubsub.subscriber import Subscriber
from knotwalk.pubsub.tls import Secure

CONNECT = 2.0  # seconds for a connection to come up
SILENT = 60.0  # seconds without a word after which the stream is tried anew: a cut says nothing


class Client:
    """One subscriber at the first of some addresses that serves it. `changed` hears of each message applied,
    `said` of whatever else is worth a line: (kind, text)."""

    def __init__(
        self,
        loop: Loop,
        addresses: Sequence[tuple[str, int]],
        subscriber: Subscriber,
        changed: Callable[[Mapping], None] = lambda told: None,
        said: Callable[[str, str], None] = lambda kind, text: None,
        context: ssl.SSLContext | None = None,
        server_name: str | None = None,
    ):
        self.loop, self.addresses, self.subscriber = loop, list(addresses), subscriber
        self.changed, self.said, self.context, self.server_name = changed, said, context, server_name
        self.at = 0
        self.link: Link | None = None
        self.lines = wire.Lines(wire.FROM_PUBLISHER)
        self.timer: Timer | None = None
        self.later = 0.0  # seconds that the publisher asked to wait
        self.stopped = False

    def start(self) -> None:
        peer = Secure(self, self.context, False, self.server_name) if self.context else self
        self.loop.connect(self.addresses[self.at], peer, CONNECT)

    def stop(self) -> None:
        self.stopped = True
        if self.timer:
            self.timer.cancel()
        if self.link:
            self.link.end(Ending.LEFT)

    def opened(self, link: Link) -> None:
        self.link, self.lines = link, wire.Lines(wire.FROM_PUBLISHER)
        self.said("connected", "%s:%d" % self.addresses[self.at])
        link.write(self.subscriber.hello())
        self.stay_awake()

    def stay_awake(self) -> None:
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.after(SILENT, self.silent)

    def silent(self) -> None:
        if self.link:
            self.link.end(Ending.SILENT)

    def fed(self, link: Link, data: memoryview) -> None:
        self.stay_awake()
        for told in self.lines.feed(data):
            if told["t"] == "later":
                self.later = wire.weight(told.get("after_ms")) / 1e3
                self.said("put off", f"{self.later:.1f} s: {told.get('why')}")
            elif told["t"] == "error":
                self.subscriber.refused(str(told.get("why")))
                self.said("refused", str(told.get("why")))
            before = self.subscriber.applied
            try:
                answers = self.subscriber.message(self.loop.now(), told)
            except ValueError as fault:
                raise Unreadable(str(fault)) from None
            for answer in answers:
                link.write(answer)
            if self.subscriber.applied > before:
                self.changed(told)
            if link.over:
                return

    def ended(self, link: Link | None, ending: Ending) -> None:
        self.link = None
        if self.timer:
            self.timer.cancel()
        if self.stopped:
            return
        if ending is not Ending.LEFT:
            self.said("lost", f"{ending.value} {link.fault if link else ''}")
        wait, self.later = max(self.subscriber.again(self.loop.now()), self.later), 0.0
        if len(self.addresses) > 1:
            self.at = (self.at + 1) % len(self.addresses)
        self.timer = self.loop.after(wait, self.start)
