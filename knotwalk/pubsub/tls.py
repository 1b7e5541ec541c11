"""TLS on the loop: a peer that stands between a link and another peer.

Owns one connection's encryption, by the standard library's ssl over memory buffers. It must never pass a byte on before
the handshake is over, or wait: whatever is missing comes with the next bytes.
"""

import ssl
from typing import Any

from knotwalk.net.ending import Ending
from knotwalk.net.loop import Link, Peer, Unreadable

READ = 1 << 14  # bytes of a TLS record


class Plain:
    """The link as the inner peer sees it."""

    def __init__(self, secure: "Secure", link: Link):
        self.secure, self.link = secure, link
        self.timer = None

    def __getattr__(self, name: str) -> Any:
        return getattr(self.link, name)

    def write(self, data: bytes) -> None:
        self.secure.write(data)

    def end(self, ending: Ending) -> None:
        self.link.end(ending)


class Secure:
    """A peer under TLS. `context` is of the moment: a later reload does not touch a stream that is up."""

    def __init__(self, inner: Peer, context: ssl.SSLContext, server: bool, name: str | None = None):
        self.inner = inner
        self.coming, self.going = ssl.MemoryBIO(), ssl.MemoryBIO()
        self.tls = context.wrap_bio(self.coming, self.going, server_side=server, server_hostname=name)
        self.up = False
        self.plain: Plain | None = None

    def opened(self, link: Link) -> None:
        self.plain = Plain(self, link)
        self.shake()

    def fed(self, link: Link, data: memoryview) -> None:
        self.coming.write(data)
        if not self.up:
            self.shake()
        while self.up and not link.over:
            try:
                plain = self.tls.read(READ)
            except ssl.SSLWantReadError:
                break
            except ssl.SSLError as fault:
                raise Unreadable(f"TLS: {fault.reason}") from None
            if not plain:
                link.end(Ending.CLOSED)
                break
            self.inner.fed(self.plain, memoryview(plain))  # type: ignore[arg-type]

    def shake(self) -> None:
        assert self.plain is not None
        try:
            self.tls.do_handshake()
        except ssl.SSLWantReadError:
            self.flush()
            return
        except ssl.SSLError as fault:
            self.flush()  # the alert tells the other side why
            raise Unreadable(f"TLS: {fault.reason}") from None
        self.up = True
        self.flush()
        self.inner.opened(self.plain)  # type: ignore[arg-type]

    def write(self, data: bytes) -> None:
        if self.up:
            self.tls.write(data)
            self.flush()

    def flush(self) -> None:
        assert self.plain is not None
        if data := self.going.read():
            self.plain.link.write(data)

    def ended(self, link: Link | None, ending: Ending) -> None:
        if self.plain is not None and self.plain.timer is not None:
            self.plain.timer.cancel()
        self.inner.ended(self.plain if self.up else None, ending)  # type: ignore[arg-type]

    def names(self) -> set[str]:
        """The names that the other side's certificate holds."""
        told = self.tls.getpeercert() or {}
        out = {value for row in told.get("subject", ()) for key, value in row if key == "commonName"}
        return out | {value for kind, value in told.get("subjectAltName", ()) if kind == "DNS"}
