"""TLS on the loop: a peer that stands between a link and another peer.

Owns one connection's encryption, by the standard library's ssl over memory buffers. It must never pass a byte on before
the handshake is over, or wait: whatever is missing comes with the next bytes.
"""

import ssl
from typing import Any

from knotwalk.net.close_reason import CloseReason
from knotwalk.net.loop import Connection, ConnectionHandler, ProtocolError

READ = 1 << 14  # bytes of a TLS record


class Plain:
    """The link as the inner peer sees it."""

    def __init__(self, secure: "Secure", link: Connection):
        self.secure, self.link = secure, link
        self.timer = None

    def __getattr__(self, name: str) -> Any:
        return getattr(self.link, name)

    def write(self, data: bytes) -> None:
        self.secure.write(data)

    def close(self, ending: CloseReason) -> None:
        self.link.close(ending)


class Secure:
    """A peer under TLS. `context` is of the moment: a later reload does not touch a stream that is up."""

    def __init__(self, inner: ConnectionHandler, context: ssl.SSLContext, server: bool, name: str | None = None):
        self.inner = inner
        self.coming, self.going = ssl.MemoryBIO(), ssl.MemoryBIO()
        self.tls = context.wrap_bio(self.coming, self.going, server_side=server, server_hostname=name)
        self.up = False
        self.plain: Plain | None = None

    def connection_made(self, link: Connection) -> None:
        self.plain = Plain(self, link)
        self.shake()

    def data_received(self, link: Connection, data: memoryview) -> None:
        self.coming.write(data)
        if not self.up:
            self.shake()
        while self.up and not link.closed:
            try:
                plain = self.tls.read(READ)
            except ssl.SSLWantReadError:
                break
            except ssl.SSLError as fault:
                raise ProtocolError(f"TLS: {fault.reason}") from None
            if not plain:
                link.close(CloseReason.CLOSED)
                break
            self.inner.data_received(self.plain, memoryview(plain))  # type: ignore[arg-type]

    def shake(self) -> None:
        assert self.plain is not None
        try:
            self.tls.do_handshake()
        except ssl.SSLWantReadError:
            self.flush()
            return
        except ssl.SSLError as fault:
            self.flush()  # the alert tells the other side why
            raise ProtocolError(f"TLS: {fault.reason}") from None
        self.up = True
        self.flush()
        self.inner.connection_made(self.plain)  # type: ignore[arg-type]

    def write(self, data: bytes) -> None:
        if self.up:
            self.tls.write(data)
            self.flush()

    def flush(self) -> None:
        assert self.plain is not None
        if data := self.going.read():
            self.plain.link.write(data)

    def connection_lost(self, link: Connection | None, ending: CloseReason) -> None:
        if self.plain is not None and self.plain.timer is not None:
            self.plain.timer.cancel()
        self.inner.connection_lost(self.plain if self.up else None, ending)  # type: ignore[arg-type]

    def names(self) -> set[str]:
        """The names that the other side's certificate holds."""
        told = self.tls.getpeercert() or {}
        out = {value for row in told.get("subject", ()) for key, value in row if key == "commonName"}
        return out | {value for kind, value in told.get("subjectAltName", ()) if kind == "DNS"}
