"""The subscriber on an event loop: connects, reconnects after failures, and reports what changed.

Owns the connection and its timers; the table and the protocol's state are kept by Subscriber.
"""

import ssl
from collections.abc import Callable, Mapping, Sequence

from knotwalk.net.close_reason import CloseReason
from knotwalk.net.loop import Connection, Loop, ProtocolError, Timer
from knotwalk.pubsub import wire
from knotwalk.pubsub.subscriber import Subscriber
from knotwalk.pubsub.tls import TlsPeer

CONNECT_TIMEOUT_S = 2.0
SILENCE_TIMEOUT_S = 60.0  # reconnect if nothing is received for so long: a cut network path gives no other sign


class Client:
    """One subscriber, connected to the first of some addresses that accepts it.

    `on_applied` is called with each message applied, `on_event` with (kind, text) for everything else worth reporting.
    """

    def __init__(
        self,
        loop: Loop,
        addresses: Sequence[tuple[str, int]],
        subscriber: Subscriber,
        on_applied: Callable[[Mapping], None] = lambda message: None,
        on_event: Callable[[str, str], None] = lambda kind, text: None,
        context: ssl.SSLContext | None = None,
        server_name: str | None = None,
    ):
        self.loop, self.addresses, self.subscriber = loop, list(addresses), subscriber
        self.on_applied, self.on_event, self.context, self.server_name = on_applied, on_event, context, server_name
        self.address_index = 0
        self.link: Connection | None = None
        self.decoder = wire.LineDecoder(wire.MAX_PUBLISHER_LINE_BYTES)
        self.timer: Timer | None = None
        self.retry_after_s = 0.0  # asked for by the publisher
        self.stopped = False

    def start(self) -> None:
        peer = TlsPeer(self, self.context, False, self.server_name) if self.context else self
        self.loop.connect(self.addresses[self.address_index], peer, CONNECT_TIMEOUT_S)

    def stop(self) -> None:
        self.stopped = True
        if self.timer:
            self.timer.cancel()
        if self.link:
            self.link.close(CloseReason.CLOSED_BY_US)

    def connection_made(self, link: Connection) -> None:
        self.link, self.decoder = link, wire.LineDecoder(wire.MAX_PUBLISHER_LINE_BYTES)
        self.on_event("connected", "%s:%d" % self.addresses[self.address_index])
        link.write(self.subscriber.hello())
        self.restart_silence_timer()

    def restart_silence_timer(self) -> None:
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.call_later(SILENCE_TIMEOUT_S, self.handle_silence)

    def handle_silence(self) -> None:
        if self.link:
            self.link.close(CloseReason.SILENT)

    def data_received(self, link: Connection, data: memoryview) -> None:
        self.restart_silence_timer()
        for message in self.decoder.feed(data):
            if message["t"] == "later":
                self.retry_after_s = wire.parse_weight(message.get("after_ms")) / 1e3
                self.on_event("deferred", f"{self.retry_after_s:.1f} s: {message.get('why')}")
            elif message["t"] == "error":
                self.subscriber.handle_refusal(str(message.get("why")))
                self.on_event("refused", str(message.get("why")))
            before = self.subscriber.applied
            try:
                answers = self.subscriber.handle_message(self.loop.now(), message)
            except ValueError as error:
                raise ProtocolError(str(error)) from None
            for answer in answers:
                link.write(answer)
            if self.subscriber.applied > before:
                self.on_applied(message)
            if link.closed:
                return

    def connection_lost(self, link: Connection | None, ending: CloseReason) -> None:
        self.link = None
        if self.timer:
            self.timer.cancel()
        if self.stopped:
            return
        if ending is not CloseReason.CLOSED_BY_US:
            self.on_event("lost", f"{ending.value} {link.error if link else ''}")
        delay, self.retry_after_s = max(self.subscriber.next_retry_delay(self.loop.now()), self.retry_after_s), 0.0
        if len(self.addresses) > 1:
            self.address_index = (self.address_index + 1) % len(self.addresses)
        self.timer = self.loop.call_later(delay, self.start)
