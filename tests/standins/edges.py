"""Proxies on sockets that subscribe, and count what reaches them; a publisher without a conductor; certificates."""

import datetime
import time

from knotwalk.net.loop import Loop
from knotwalk.pubsub import publisher, wire
from knotwalk.pubsub.client import Client
from knotwalk.pubsub.hub import Hub
from knotwalk.pubsub.subscriber import Subscriber


class Edge(Client):
    """A subscriber that notes when messages came."""

    def __init__(self, loop, addresses, subscriber, **options):
        self.came, self.words = [], []
        super().__init__(
            loop,
            addresses,
            subscriber,
            lambda told: self.came.append(loop.now()),
            lambda kind, text: self.words.append((kind, text)),
            **options,
        )


class Site:
    """A publisher on a loop of its own, with a table that the test changes."""

    def __init__(self, settings, table, access=None, seats=200, key=b"k" * 32):
        self.loop, self.told, self.lines = Loop(), [], []
        self.hub = Hub(table, settings, key, wire.encode_delta, 1)
        self.publisher = publisher.Publisher(
            self.loop,
            self.hub,
            access or publisher.Access(),
            lambda *x: self.told.append(x),
            lambda proxy: False,
            lambda kind, text="": self.lines.append((kind, text)),
            seats,
            self.loop.now(),
        )
        self.address = self.publisher.listen(("127.0.0.1", 0))
        self.edges = []

    def edge(self, name, seed=1, proxy=None, start=True, context=None, server_name=None, **options):
        edge = Edge(
            self.loop,
            [self.address],
            Subscriber(name, seed, proxy=proxy, **options),
            context=context,
            server_name=server_name,
        )
        self.edges.append(edge)
        if start:
            edge.start()
        return edge

    def proxies(self, count):
        return [self.edge(f"p{k}", k, k) for k in range(count)]

    def order(self, *orders, inbox=()):
        self.publisher.handle_round(self.loop.now(), inbox, orders)

    def turn(self, seconds=0.0):
        end = time.monotonic() + seconds
        while True:
            self.loop.call_later(0.005, lambda: None)
            self.loop.run_once()
            if time.monotonic() >= end:
                return

    def until(self, true, seconds=90.0):
        end = time.monotonic() + seconds
        while not true():
            assert time.monotonic() < end, "never came"
            self.turn()

    def alike(self, edges=None):
        want = sorted(self.hub.table.rows())
        return all(
            e.subscriber.next_slice is None and e.link and sorted(e.subscriber.rows()) == want
            for e in edges or self.edges
        )


def most_within(times, span):
    """The most messages within a span, by the receiver's clock."""
    return max((sum(1 for t in times[k:] if t < times[k] + span) for k in range(len(times))), default=0)


def certificates(folder, names):
    """An authority and a certificate for each name, as files; made anew."""
    from cryptography import x509
    from cryptography.hazmat.primitives import hashes, serialization
    from cryptography.hazmat.primitives.asymmetric import ec

    now = datetime.datetime.now(datetime.timezone.utc)

    def named(name):
        return x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])

    def made(name, issuer, issuer_key, authority):
        key = ec.generate_private_key(ec.SECP256R1())
        builder = (
            x509.CertificateBuilder()
            .subject_name(named(name))
            .issuer_name(issuer or named(name))
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - datetime.timedelta(days=1))
            .not_valid_after(now + datetime.timedelta(days=1))
            .add_extension(x509.BasicConstraints(ca=authority, path_length=None), critical=True)
            .add_extension(x509.SubjectAlternativeName([x509.DNSName(name)]), critical=False)
            .add_extension(x509.SubjectKeyIdentifier.from_public_key(key.public_key()), critical=False)
        )
        if authority:
            builder = builder.add_extension(
                x509.KeyUsage(
                    digital_signature=True,
                    content_commitment=False,
                    key_encipherment=False,
                    data_encipherment=False,
                    key_agreement=False,
                    key_cert_sign=True,
                    crl_sign=True,
                    encipher_only=False,
                    decipher_only=False,
                ),
                critical=True,
            )
        else:
            builder = builder.add_extension(
                x509.AuthorityKeyIdentifier.from_issuer_public_key(issuer_key.public_key()), critical=False
            )
        cert = builder.sign(issuer_key or key, hashes.SHA256())
        (folder / f"{name}.pem").write_bytes(cert.public_bytes(serialization.Encoding.PEM))
        (folder / f"{name}.key").write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
            )
        )
        return cert, key

    authority, key = made("authority", None, None, True)
    for name in names:
        made(name, authority.subject, key, False)
    return str(folder / "authority.pem")
