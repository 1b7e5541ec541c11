"""The publisher on the conductor's loop: subscribers' streams, and who is let in.

Owns the port, the streams and their bounds. What is sent to whom and when is the hub's to say; here nothing is decided.
"""

import hmac
import os
import ssl
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from knotwalk.net.ending import Ending
from knotwalk.net.log import Log
from knotwalk.net.loop import Link, Loop, Timer
from knotwalk.pubsub import wire
from knotwalk.pubsub.hub import Cursor, Hub, Later, Refused
from knotwalk.pubsub.tls import Secure

HELLO = 2.0  # seconds to say who one is: a TLS handshake and a hello
UNREAD = 1 << 16  # bytes left unread past which a stream is sent nothing more: half of a link's bound
UNREADY = 0.05  # seconds until another look whether the conductor knows what stands
ENDED = 0.5  # seconds that a last word has to get out


class Misfit(Exception):
    """Keys or certificates that cannot be used; the text says which and why."""


class Entry(NamedTuple):
    """Who may come in: a role and its secret."""

    role: str  # proxy or observer
    secret: str


def secrets_of(text: str, file: str) -> list[Entry]:
    """One a line: `proxy SECRET` or `observer SECRET`; # begins a comment. Raises Misfit.

    >>> secrets_of("# a\\nproxy 0123456789abcdef\\n", "f")
    [Entry(role='proxy', secret='0123456789abcdef')]
    """
    out = []
    for k, row in enumerate(text.splitlines(), 1):
        words = row.partition("#")[0].split()
        if not words:
            continue
        if len(words) != 2 or words[0] not in ("proxy", "observer"):
            raise Misfit(f"{file}:{k}: 'proxy SECRET' or 'observer SECRET' is wanted")
        if len(words[1]) < 16:
            raise Misfit(f"{file}:{k}: a secret of {len(words[1])} characters; 16 at least")
        out.append(Entry(*words))
    if not out:
        raise Misfit(f"{file}: no secret in it, so nobody could come in")
    return out


class Access:
    """Who is let in, and under which certificate; read whole, and anew at a reload."""

    def __init__(self, secrets: str = "", certificate: str = "", private_key: str = "", client_ca: str = ""):
        self.files = secrets, certificate, private_key, client_ca
        self.entries: list[Entry] | None = None
        self.context: ssl.SSLContext | None = None
        self.certified = bool(client_ca)
        try:
            if secrets:
                with open(secrets, encoding="utf-8") as file:
                    self.entries = secrets_of(file.read(1 << 20), secrets)
            if certificate:
                self.context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
                self.context.minimum_version = ssl.TLSVersion.TLSv1_2
                self.context.load_cert_chain(certificate, private_key or None)
                if client_ca:
                    self.context.load_verify_locations(client_ca)
                    self.context.verify_mode = ssl.CERT_REQUIRED
        except ssl.SSLError as fault:
            raise Misfit(f"{certificate}: {fault.reason or fault}") from None
        except OSError as fault:
            raise Misfit(f"{fault.filename or certificate}: {fault.strerror}") from None
        except UnicodeDecodeError:
            raise Misfit(f"{secrets}: not UTF-8") from None

    def admits(self, hello: wire.Hello, names: set[str] | None) -> str:
        """Why a hello is not let in; empty if it is. `names` are those of its certificate."""
        if self.certified and (names is None or hello.name not in names):
            return "its certificate is of another name"
        if self.entries is None:
            return ""
        role = "observer" if hello.proxy is None else "proxy"
        given = (hello.secret or "").encode()
        # Each is compared in full, whatever the others say: time tells nothing of them.
        known = [hmac.compare_digest(given, x.secret.encode()) and x.role == role for x in self.entries]
        return "" if any(known) else f"no key of a{'n' if role == 'observer' else ''} {role}"


class Stream:
    """One subscriber's connection."""

    def __init__(self, publisher: "Publisher"):
        self.all = publisher
        self.lines = wire.Lines(wire.FROM_CLIENT)
        self.cursor: Cursor | None = None
        self.secure: Secure | None = None
        self.link: Link | None = None
        self.timer: Timer | None = None

    def opened(self, link: Link) -> None:
        self.link = link
        self.all.streams[self] = link
        self.timer = self.all.loop.after(HELLO, self.silent)
        if len(self.all.streams) > self.all.seats:
            self.all.crowd_out()

    def silent(self) -> None:
        if self.cursor is None and self.link is not None:
            self.link.end(Ending.STRANGER)

    def fed(self, link: Link, data: memoryview) -> None:
        for told in self.lines.feed(data):
            try:
                if self.cursor is None:
                    self.hello(link, told)
                elif told["t"] == "ack":
                    self.all.hub.ack(
                        self.all.loop.now(), self.cursor, wire.whole_number(told.get("n")), wire.need_of(told), self.all
                    )
                elif told["t"] == "nack":
                    self.all.hub.nack(
                        self.all.loop.now(),
                        self.cursor,
                        wire.whole_number(told.get("n")),
                        str(told.get("why", "")),
                        self.all,
                    )
                else:
                    raise Refused(f"no such message '{told['t'][:20]}'")
            except (Refused, ValueError) as fault:
                self.refuse(link, "error", str(fault))
            if link.over:
                return
        self.all.poke()

    def hello(self, link: Link, told: dict) -> None:
        hello = wire.Hello(told)
        why = self.all.access.admits(hello, self.secure.names() if self.secure else None)
        if why:
            raise Refused(why)
        now = self.all.loop.now()
        try:
            cursor = self.all.hub.hello(
                now, hello.name, hello.proxy, hello.wanted, hello.of_zone, hello.token, hello.usable
            )
        except Later as later:
            self.refuse(link, "later", str(later), after_ms=int(later.after * 1e3) + 1)
            return
        cursor.writable = lambda: link.out.size < UNREAD
        old = self.all.by_cursor.get(cursor.name)
        self.cursor = cursor
        self.all.by_cursor[cursor.name] = self
        if old is not None and old.link is not None:
            old.cursor = None  # its place is taken: it ends without a word to the module
            old.link.end(Ending.CROWDED)
        if self.timer:
            self.timer.cancel()
        link.write(wire.line("welcome", v=wire.VERSION, epoch=self.all.hub.table.epoch, born=self.all.born))
        if cursor.proxy is not None:
            self.all.joined(cursor.proxy)

    def refuse(self, link: Link, kind: str, why: str, **members: object) -> None:
        """A last word, and the end."""
        self.all.log(
            f"subscriber {'put off' if kind == 'later' else 'refused'}",
            f"{self.cursor.name if self.cursor else ''} {why}",
        )
        link.write(wire.line(kind, why=why, **members))
        self.finish(link)

    def finish(self, link: Link) -> None:
        if not link.over:
            if link.out.size:
                self.all.loop.after(ENDED, lambda: link.end(Ending.LEFT))
                self.lines = wire.Lines(0)  # whatever it says now ends it at once
            else:
                link.end(Ending.LEFT)

    def ended(self, link: Link | None, ending: Ending) -> None:
        self.all.streams.pop(self, None)
        if self.timer:
            self.timer.cancel()
        cursor, self.cursor = self.cursor, None
        if cursor is not None:
            self.all.hub.left(cursor)
            if self.all.by_cursor.get(cursor.name) is self:
                del self.all.by_cursor[cursor.name]
                if cursor.proxy is not None:
                    self.all.gone(cursor.proxy)
        if ending not in (Ending.CLOSED, Ending.LEFT, Ending.RESET):
            self.all.log(
                "subscriber ended",
                f"{cursor.name if cursor else 'a stranger'}: {ending.value} {link.fault if link else ''}",
            )


class Publisher:
    """All subscribers of one conductor."""

    def __init__(
        self,
        loop: Loop,
        hub: Hub,
        access: Access,
        tell: Callable,
        joined_elsewhere: Callable[[int], bool],
        log: Log,
        seats: int,
        born: float,
        stands: Callable[[], bool] = lambda: True,
    ):
        self.loop, self.hub, self.access, self.tell, self.log = loop, hub, access, tell, log
        self.elsewhere, self.seats, self.born, self.stands = joined_elsewhere, seats, born, stands
        self.streams: dict[Stream, Link] = {}  # the oldest first
        self.by_cursor: dict[str, Stream] = {}
        self.timer: Timer | None = None
        self.due = float("inf")

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        return self.loop.listen(address, self.accept).sock.getsockname()

    def accept(self) -> Any:
        stream = Stream(self)
        if self.access.context is None:
            return stream
        stream.secure = Secure(stream, self.access.context, True)
        return stream.secure

    def crowd_out(self) -> None:
        """A stranger goes first; a subscriber only if there are none."""
        victim = next((s for s in self.streams if s.cursor is None), next(iter(self.streams)))
        self.streams[victim].end(Ending.CROWDED)

    def reload(self, access: Access) -> None:
        """Other keys and certificates from now on; streams that are up stay."""
        self.access = access

    def anew(self) -> None:
        """A new epoch: versions that no disk has reserved must not be told. Subscribers get a snapshot each."""
        self.log("new epoch", "versions ran out before the disk reserved more")
        self.hub.table.epoch = os.urandom(8).hex()
        self.hub.key = os.urandom(32)
        for link in list(self.streams.values()):
            link.end(Ending.LEFT)

    def joined(self, proxy: int) -> None:
        if not self.elsewhere(proxy):
            self.tell("joined", proxy)

    def gone(self, proxy: int) -> None:
        if not self.elsewhere(proxy):
            self.tell("left", proxy)

    def round(self, now: float, inbox: Iterable, orders: Iterable) -> None:
        """A round was decided: its orders are the subscribers' too."""
        self.hub.ordered(now, inbox, orders)
        self.poke()

    def poke(self) -> None:
        """Serve whoever may be served, once this turn's bytes and orders are in."""
        self.wake(self.loop.now())

    def wake(self, at: float) -> None:
        if at >= self.due:
            return
        if self.timer:
            self.timer.cancel()
        self.due = at
        self.timer = self.loop.at(at, self.turn)

    def turn(self) -> None:
        self.due, self.timer = float("inf"), None
        now = self.loop.now()
        if not self.stands():
            # Not all that stands has been read: what is missing would be taken for gone (rule 1).
            self.wake(now + UNREADY)
            return
        self.hub.prune(now)
        at = self.hub.turn(now, self)
        if at < float("inf"):
            self.wake(max(at, now + 0.002))  # at once means after what is readable: acknowledgements come first

    # --- as the hub's sender ---

    def send(self, cursor: Cursor, message: bytes) -> None:
        stream = self.by_cursor.get(cursor.name)
        if stream is not None and stream.link is not None:
            stream.link.write(message)

    def end(self, cursor: Cursor, why: str) -> None:
        stream = self.by_cursor.get(cursor.name)
        if stream is not None and stream.link is not None:
            stream.refuse(stream.link, "error", why)
        self.hub.left(cursor)

    def told(self, handler: str, *arguments: object) -> None:
        self.tell(handler, *arguments)

    def note(self, kind: str, text: str) -> None:
        self.log(kind, text)
