"""The publisher on the conductor's event loop: subscribers' streams and access control.

Owns the port, the streams and their limits. The hub decides what is sent to whom and when.
"""

import hmac
import os
import ssl
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from knotwalk.net.close_reason import CloseReason
from knotwalk.net.log import Log
from knotwalk.net.loop import Connection, Loop, Timer
from knotwalk.pubsub import wire
from knotwalk.pubsub.hub import Cursor, Hub, MessageRejectedError, RetryLaterError
from knotwalk.pubsub.tls import TlsPeer

HELLO_TIMEOUT_S = 2.0  # for a TLS handshake and a hello
MAX_UNSENT_BYTES = 1 << 16  # buffered bytes above which a stream is sent no more: half of a link's limit
STATE_POLL_INTERVAL_S = 0.05  # until it is checked again whether the conductor has read the current state
CLOSE_TIMEOUT_S = 0.5  # for the last message to be sent before the connection is closed


class AccessConfigError(Exception):
    """Secrets or certificates that cannot be used; the text says which and why."""


class Credential(NamedTuple):
    """A secret and the role that it admits."""

    role: str  # proxy or observer
    secret: str


def parse_secrets(text: str, file: str) -> list[Credential]:
    """Credentials, one per line: `proxy SECRET` or `observer SECRET`; # begins a comment. Raises AccessConfigError.

    >>> parse_secrets("# a\\nproxy 0123456789abcdef\\n", "f")
    [Credential(role='proxy', secret='0123456789abcdef')]
    """
    credentials = []
    for line_number, line in enumerate(text.splitlines(), 1):
        words = line.partition("#")[0].split()
        if not words:
            continue
        if len(words) != 2 or words[0] not in ("proxy", "observer"):
            raise AccessConfigError(f"{file}:{line_number}: 'proxy SECRET' or 'observer SECRET' is expected")
        if len(words[1]) < 16:
            raise AccessConfigError(
                f"{file}:{line_number}: a secret of {len(words[1])} characters; at least 16 are required"
            )
        credentials.append(Credential(*words))
    if not credentials:
        raise AccessConfigError(f"{file}: no secret in it, so that no subscriber could connect")
    return credentials


class Access:
    """Secrets and certificates, read completely at the start and again at a reload."""

    def __init__(self, secrets: str = "", certificate: str = "", private_key: str = "", client_ca: str = ""):
        self.files = secrets, certificate, private_key, client_ca
        self.credentials: list[Credential] | None = None  # None: no secret is required
        self.context: ssl.SSLContext | None = None
        self.requires_certificate = bool(client_ca)
        try:
            if secrets:
                with open(secrets, encoding="utf-8") as file:
                    self.credentials = parse_secrets(file.read(1 << 20), secrets)
            if certificate:
                self.context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
                self.context.minimum_version = ssl.TLSVersion.TLSv1_2
                self.context.load_cert_chain(certificate, private_key or None)
                if client_ca:
                    self.context.load_verify_locations(client_ca)
                    self.context.verify_mode = ssl.CERT_REQUIRED
        except ssl.SSLError as error:
            raise AccessConfigError(f"{certificate}: {error.reason or error}") from None
        except OSError as error:
            raise AccessConfigError(f"{error.filename or certificate}: {error.strerror}") from None
        except UnicodeDecodeError:
            raise AccessConfigError(f"{secrets}: not UTF-8") from None

    def rejection_reason(self, hello: wire.Hello, names: set[str] | None) -> str:
        """Why a hello is rejected, empty if it is accepted. `names` are those in the subscriber's certificate."""
        if self.requires_certificate and (names is None or hello.name not in names):
            return "its certificate is of another name"
        if self.credentials is None:
            return ""
        role = "observer" if hello.proxy is None else "proxy"
        secret = (hello.secret or "").encode()
        # Compares with every secret, so that the time taken reveals nothing about them.
        matches = [hmac.compare_digest(secret, x.secret.encode()) and x.role == role for x in self.credentials]
        return "" if any(matches) else f"no key of a{'n' if role == 'observer' else ''} {role}"


class SubscriberStream:
    """One subscriber's connection."""

    def __init__(self, publisher: "Publisher"):
        self.publisher = publisher
        self.decoder = wire.LineDecoder(wire.MAX_SUBSCRIBER_LINE_BYTES)
        self.cursor: Cursor | None = None
        self.tls: TlsPeer | None = None
        self.link: Connection | None = None
        self.timer: Timer | None = None

    def connection_made(self, link: Connection) -> None:
        self.link = link
        self.publisher.streams[self] = link
        self.timer = self.publisher.loop.call_later(HELLO_TIMEOUT_S, self.handle_hello_timeout)
        if len(self.publisher.streams) > self.publisher.max_streams:
            self.publisher.evict_stream()

    def handle_hello_timeout(self) -> None:
        if self.cursor is None and self.link is not None:
            self.link.close(CloseReason.JOIN_TIMEOUT)

    def data_received(self, link: Connection, data: memoryview) -> None:
        for message in self.decoder.feed(data):
            try:
                if self.cursor is None:
                    self.handle_hello(link, message)
                elif message["t"] == "ack":
                    self.publisher.hub.handle_ack(
                        self.publisher.loop.now(),
                        self.cursor,
                        wire.parse_count(message.get("n")),
                        wire.parse_need(message),
                        self.publisher,
                    )
                elif message["t"] == "nack":
                    self.publisher.hub.handle_nack(
                        self.publisher.loop.now(),
                        self.cursor,
                        wire.parse_count(message.get("n")),
                        str(message.get("why", "")),
                        self.publisher,
                    )
                else:
                    raise MessageRejectedError(f"unknown message type '{message['t'][:20]}'")
            except (MessageRejectedError, ValueError) as error:
                self.reject(link, "error", str(error))
            if link.closed:
                return
        self.publisher.schedule_now()

    def handle_hello(self, link: Connection, message: dict) -> None:
        hello = wire.Hello(message)
        why = self.publisher.access.rejection_reason(hello, self.tls.certificate_names() if self.tls else None)
        if why:
            raise MessageRejectedError(why)
        now = self.publisher.loop.now()
        try:
            cursor = self.publisher.hub.handle_hello(
                now, hello.name, hello.proxy, hello.wanted, hello.server_zone, hello.token, hello.has_table
            )
        except RetryLaterError as error:
            self.reject(link, "later", str(error), after_ms=int(error.delay_s * 1e3) + 1)
            return
        cursor.is_writable = lambda: link.write_buffer.size < MAX_UNSENT_BYTES
        old = self.publisher.streams_by_name.get(cursor.name)
        self.cursor = cursor
        self.publisher.streams_by_name[cursor.name] = self
        if old is not None and old.link is not None:
            old.cursor = None  # replaced by this stream: its end is not reported to the module
            old.link.close(CloseReason.EVICTED)
        if self.timer:
            self.timer.cancel()
        link.write(
            wire.encode_message(
                "welcome", v=wire.PROTOCOL_VERSION, epoch=self.publisher.hub.table.epoch, born=self.publisher.started_at
            )
        )
        if cursor.proxy is not None:
            self.publisher.report_joined(cursor.proxy)

    def reject(self, link: Connection, kind: str, why: str, **members: object) -> None:
        """Send a last message with the reason and close the stream."""
        self.publisher.log(
            f"subscriber {'deferred' if kind == 'later' else 'refused'}",
            f"{self.cursor.name if self.cursor else ''} {why}",
        )
        link.write(wire.encode_message(kind, why=why, **members))
        self.close_after_flush(link)

    def close_after_flush(self, link: Connection) -> None:
        """Close the link once its buffer is sent, or after a timeout."""
        if not link.closed:
            if link.write_buffer.size:
                self.publisher.loop.call_later(CLOSE_TIMEOUT_S, lambda: link.close(CloseReason.CLOSED_BY_US))
                self.decoder = wire.LineDecoder(0)  # anything else that it sends ends it at once
            else:
                link.close(CloseReason.CLOSED_BY_US)

    def connection_lost(self, link: Connection | None, ending: CloseReason) -> None:
        self.publisher.streams.pop(self, None)
        if self.timer:
            self.timer.cancel()
        cursor, self.cursor = self.cursor, None
        if cursor is not None:
            self.publisher.hub.remove(cursor)
            if self.publisher.streams_by_name.get(cursor.name) is self:
                del self.publisher.streams_by_name[cursor.name]
                if cursor.proxy is not None:
                    self.publisher.report_left(cursor.proxy)
        if ending not in (CloseReason.CLOSED, CloseReason.CLOSED_BY_US, CloseReason.RESET):
            self.publisher.log(
                "subscriber ended",
                f"{cursor.name if cursor else 'an unidentified client'}: {ending.value} {link.error if link else ''}",
            )


class Publisher:
    """All subscribers of one conductor."""

    def __init__(
        self,
        loop: Loop,
        hub: Hub,
        access: Access,
        send_to_module: Callable,
        is_connected_elsewhere: Callable[[int], bool],
        log: Log,
        max_streams: int,
        started_at: float,
        is_state_complete: Callable[[], bool] = lambda: True,
    ):
        self.loop, self.hub, self.access, self.send_to_module, self.log = loop, hub, access, send_to_module, log
        self.is_connected_elsewhere, self.max_streams = is_connected_elsewhere, max_streams
        self.started_at, self.is_state_complete = started_at, is_state_complete
        self.streams: dict[SubscriberStream, Connection] = {}  # in the order of connection
        self.streams_by_name: dict[str, SubscriberStream] = {}
        self.timer: Timer | None = None
        self.due = float("inf")  # when the hub is called next

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        return self.loop.listen(address, self.accept).sock.getsockname()

    def accept(self) -> Any:
        stream = SubscriberStream(self)
        if self.access.context is None:
            return stream
        stream.tls = TlsPeer(stream, self.access.context, True)
        return stream.tls

    def evict_stream(self) -> None:
        """Close the oldest stream without a hello, or the oldest of all if every stream has sent one."""
        victim = next((stream for stream in self.streams if stream.cursor is None), next(iter(self.streams)))
        self.streams[victim].close(CloseReason.EVICTED)

    def reload(self, access: Access) -> None:
        """Use other secrets and certificates for new streams; open streams stay."""
        self.access = access

    def start_new_epoch(self) -> None:
        """Start a new epoch, since versions that are not reserved on disk must not be published.

        All streams are closed, and each subscriber gets a snapshot when it reconnects.
        """
        self.log("new epoch", "versions ran out before more were reserved on disk")
        self.hub.table.epoch = os.urandom(8).hex()
        self.hub.key = os.urandom(32)
        for link in list(self.streams.values()):
            link.close(CloseReason.CLOSED_BY_US)

    def report_joined(self, proxy: int) -> None:
        if not self.is_connected_elsewhere(proxy):
            self.send_to_module("joined", proxy)

    def report_left(self, proxy: int) -> None:
        if not self.is_connected_elsewhere(proxy):
            self.send_to_module("left", proxy)

    def handle_round(self, now: float, inbox: Iterable, orders: Iterable) -> None:
        """Publish what the module decided in a round."""
        self.hub.apply_round(now, inbox, orders)
        self.schedule_now()

    def schedule_now(self) -> None:
        """Let the hub send once the input of the current loop turn is processed."""
        self.schedule_at(self.loop.now())

    def schedule_at(self, due: float) -> None:
        if due >= self.due:
            return
        if self.timer:
            self.timer.cancel()
        self.due = due
        self.timer = self.loop.call_at(due, self.send_due)

    def send_due(self) -> None:
        self.due, self.timer = float("inf"), None
        now = self.loop.now()
        if not self.is_state_complete():
            # The current state has not been read completely; what is missing would be taken for removed (rule 1).
            self.schedule_at(now + STATE_POLL_INTERVAL_S)
            return
        self.hub.prune(now)
        due = self.hub.send_due(now, self)
        if due < float("inf"):
            # Not before 2 ms have passed, so that acknowledgements that have arrived are read first.
            self.schedule_at(max(due, now + 0.002))

    # --- the hub's Sender ---

    def send(self, cursor: Cursor, message: bytes) -> None:
        stream = self.streams_by_name.get(cursor.name)
        if stream is not None and stream.link is not None:
            stream.link.write(message)

    def end(self, cursor: Cursor, why: str) -> None:
        stream = self.streams_by_name.get(cursor.name)
        if stream is not None and stream.link is not None:
            stream.reject(stream.link, "error", why)
        self.hub.remove(cursor)

    def notify_module(self, handler: str, *arguments: object) -> None:
        self.send_to_module(handler, *arguments)

    def log_event(self, kind: str, text: str) -> None:
        self.log(kind, text)
