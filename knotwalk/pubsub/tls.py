"""TLS on the event loop: a peer that sits between a link and another peer.

Encrypts one connection with the standard library's ssl over memory buffers. It passes no byte on before the handshake
is complete, and it never blocks: what is missing is processed when more bytes arrive.
"""

import ssl
from typing import Any

from knotwalk.net.close_reason import CloseReason
from knotwalk.net.loop import Connection, ConnectionHandler, ProtocolError

READ_BYTES = 1 << 14  # the size of a TLS record


class PlaintextLink:
    """The link that the inner peer sees: what it writes is encrypted."""

    def __init__(self, tls: "TlsPeer", link: Connection):
        self.tls, self.link = tls, link
        self.timer = None

    def __getattr__(self, name: str) -> Any:
        return getattr(self.link, name)

    def write(self, data: bytes) -> None:
        self.tls.write(data)

    def close(self, ending: CloseReason) -> None:
        self.link.close(ending)


class TlsPeer:
    """Wraps a peer in TLS. The context is fixed at the start; reloading keys does not affect an open stream."""

    def __init__(self, inner: ConnectionHandler, context: ssl.SSLContext, server: bool, name: str | None = None):
        self.inner = inner
        self.incoming, self.outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
        self.tls = context.wrap_bio(self.incoming, self.outgoing, server_side=server, server_hostname=name)
        self.is_established = False
        self.plaintext_link: PlaintextLink | None = None

    def connection_made(self, link: Connection) -> None:
        self.plaintext_link = PlaintextLink(self, link)
        self.continue_handshake()

    def data_received(self, link: Connection, data: memoryview) -> None:
        self.incoming.write(data)
        if not self.is_established:
            self.continue_handshake()
        while self.is_established and not link.closed:
            try:
                decrypted = self.tls.read(READ_BYTES)
            except ssl.SSLWantReadError:
                break
            except ssl.SSLError as error:
                raise ProtocolError(f"TLS: {error.reason}") from None
            if not decrypted:
                link.close(CloseReason.CLOSED)
                break
            self.inner.data_received(self.plaintext_link, memoryview(decrypted))  # type: ignore[arg-type]

    def continue_handshake(self) -> None:
        assert self.plaintext_link is not None
        try:
            self.tls.do_handshake()
        except ssl.SSLWantReadError:
            self.flush()
            return
        except ssl.SSLError as error:
            self.flush()  # sends the alert that gives the other side the reason
            raise ProtocolError(f"TLS: {error.reason}") from None
        self.is_established = True
        self.flush()
        self.inner.connection_made(self.plaintext_link)  # type: ignore[arg-type]

    def write(self, data: bytes) -> None:
        if self.is_established:
            self.tls.write(data)
            self.flush()

    def flush(self) -> None:
        assert self.plaintext_link is not None
        if data := self.outgoing.read():
            self.plaintext_link.link.write(data)

    def connection_lost(self, link: Connection | None, ending: CloseReason) -> None:
        if self.plaintext_link is not None and self.plaintext_link.timer is not None:
            self.plaintext_link.timer.cancel()
        self.inner.connection_lost(self.plaintext_link if self.is_established else None, ending)  # type: ignore[arg-type]

    def certificate_names(self) -> set[str]:
        """The common name and DNS names in the other side's certificate."""
        certificate = self.tls.getpeercert() or {}
        names = {value for row in certificate.get("subject", ()) for key, value in row if key == "commonName"}
        return names | {value for kind, value in certificate.get("subjectAltName", ()) if kind == "DNS"}
