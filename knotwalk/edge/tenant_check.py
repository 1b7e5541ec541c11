"""Whether a request may go on by the key that it bears: whose it is, or the status that refuses it. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from knotwalk.configuration.objects import Route, Tenant
from knotwalk.configuration.tenants import TenantKeys
from knotwalk.edge.freshness import Freshness

SCHEME = b"token"

# Headers that a node gets from us alone, or never, where the configuration holds tenants.
WITHHELD = frozenset({b"authorization", b"tenant"})

UNAUTHORIZED, UNAVAILABLE = 401, 503


@dataclass(frozen=True, slots=True)
class KeyCheck:
    """What a key says of its request: the tenant, if any, and the status that refuses it, 0 for none."""

    tenant: Tenant | None = None
    status: int = 0


ALLOWED = KeyCheck()


def key_of(authorization: bytes) -> bytes:
    """The key of `Token KEY`, empty if it is none.

    >>> key_of(b"Token abc"), key_of(b"token  abc "), key_of(b"Bearer abc"), key_of(b"")
    (b'abc', b'abc', b'', b'')
    """
    scheme, _, key = authorization.strip().partition(b" ")
    return key.strip() if scheme.lower() == SCHEME else b""


def check_key(route: Route, keys: TenantKeys, authorization: bytes, freshness: Freshness, now: float) -> KeyCheck:
    """Whether a request with this `Authorization` (empty without one) may be carried on its route at `now`.

    A key is refused only by a configuration that no newer one was acknowledged after in time for this request, since
    that may hold it, and accepted only within the lease, since a newer one may have dropped it; on a public route, too,
    where it says whose the request is."""
    if not keys.tenants:
        return ALLOWED
    key = key_of(authorization)
    if not key and route.public:
        return ALLOWED
    tenant = keys.find(key) if key else None
    if tenant is not None:
        return KeyCheck(tenant) if freshness.accepts(now) else KeyCheck(status=UNAVAILABLE)
    if not freshness.refuses(now):
        return KeyCheck(status=UNAVAILABLE)
    return ALLOWED if route.public else KeyCheck(status=UNAUTHORIZED)
