"""Checks the tenant key of a request: the tenant that it belongs to, or the status that refuses it. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from knotwalk.configuration.objects import Route, Tenant
from knotwalk.configuration.tenants import TenantKeys
from knotwalk.edge.freshness import Freshness

SCHEME = b"token"

# Client headers that are not forwarded where the configuration has tenants: the edge sets `Tenant` itself, and nodes
# never get keys.
WITHHELD_HEADERS = frozenset({b"authorization", b"tenant"})

UNAUTHORIZED, UNAVAILABLE = 401, 503


@dataclass(frozen=True, slots=True)
class KeyCheck:
    """The result of a key check: the tenant, if any, and the status that refuses the request, 0 for none."""

    tenant: Tenant | None = None
    status: int = 0


ALLOWED = KeyCheck()


def key_of(authorization: bytes) -> bytes:
    """The key of an `Authorization: Token KEY` header, empty if there is none.

    >>> key_of(b"Token abc"), key_of(b"token  abc "), key_of(b"Bearer abc"), key_of(b"")
    (b'abc', b'abc', b'', b'')
    """
    scheme, _, key = authorization.strip().partition(b" ")
    return key.strip() if scheme.lower() == SCHEME else b""


def check_key(route: Route, keys: TenantKeys, authorization: bytes, freshness: Freshness, now: float) -> KeyCheck:
    """Whether a request with this `Authorization` (empty without one) may be forwarded on its route at `now`.

    A key is refused only if no newer configuration can have been acknowledged in time for this request, since that one
    may contain the key. It is accepted only within the lease, since a newer configuration may have removed it; this
    holds on a public route too, where the key identifies the tenant of the request."""
    if not keys.tenants:
        return ALLOWED
    key = key_of(authorization)
    if not key and route.public:
        return ALLOWED
    tenant = keys.find(key) if key else None
    if tenant is not None:
        return KeyCheck(tenant) if freshness.can_accept(now) else KeyCheck(status=UNAVAILABLE)
    if not freshness.can_refuse(now):
        return KeyCheck(status=UNAVAILABLE)
    return ALLOWED if route.public else KeyCheck(status=UNAUTHORIZED)
