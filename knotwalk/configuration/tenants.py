"""Whose a key is: the tenants of one configuration, found by the SHA-256 of their keys."""

from __future__ import annotations

from collections.abc import Mapping
from hashlib import sha256
from hmac import compare_digest

from knotwalk.configuration.objects import Tenant


def key_digests(tenant: Tenant) -> list[bytes]:
    """The SHA-256 of each of a tenant's keys."""
    return [sha256(key.encode("utf-8", "surrogatepass")).digest() for key in tenant.api_keys]


class TenantKeys:
    """Look-up from a key to its tenant; it is never changed after it was built, and holds no key.

    It is looked up by digest, so that the time it takes tells nothing of the keys that are held. What `before` has of
    tenants that are the same is taken over: a change of one among many thousands must not hold up requests."""

    __slots__ = ("_held", "tenants")

    def __init__(self, tenants: Mapping[str, Tenant], before: TenantKeys | None = None):
        self.tenants = tenants
        known: Mapping[str, Tenant] = before.tenants if before else {}
        self._held: dict[bytes, tuple[bytes, Tenant]] = dict(before._held) if before else {}
        for name, tenant in known.items():
            if (now := tenants.get(name)) is not tenant and now != tenant:
                for digest in key_digests(tenant):
                    del self._held[digest]
        for name, tenant in tenants.items():
            if (then := known.get(name)) is not tenant and then != tenant:
                for digest in key_digests(tenant):
                    self._held[digest] = digest, tenant

    def find(self, key: bytes) -> Tenant | None:
        """The tenant that holds a key, as it stands in a request; None if nobody does."""
        digest = sha256(key).digest()
        held = self._held.get(digest)
        if held is None or not compare_digest(held[0], digest):
            return None
        return held[1]


def redact_api_keys(document: dict) -> dict:
    """A configuration as it is sent, for showing: `api_keys` of its tenants are a word, which no configuration may
    have there, so that none is put into force without its keys."""

    def shown(item: dict) -> dict:
        if item.get("object_kind") != "tenants":
            return item
        return {**item, "specification": {**item["specification"], "api_keys": "withheld"}}

    return {**document, "objects": [shown(item) for item in document["objects"]]}


def tenant_keys(tenants: Mapping[str, Tenant], before: TenantKeys | None = None) -> TenantKeys:
    """The look-up for `tenants`; the one `before` where nothing about them has changed."""
    if before is not None and before.tenants == tenants:
        return before
    return TenantKeys(tenants, before)
