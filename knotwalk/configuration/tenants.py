"""Finds the tenant of an API key: the tenants of one configuration, by the SHA-256 of their keys."""

from __future__ import annotations

from collections.abc import Mapping
from hashlib import sha256
from hmac import compare_digest

from knotwalk.configuration.objects import Tenant


def key_digests(tenant: Tenant) -> list[bytes]:
    """The SHA-256 of each of a tenant's keys."""
    return [sha256(key.encode("utf-8", "surrogatepass")).digest() for key in tenant.api_keys]


class TenantKeys:
    """An immutable lookup from a key to its tenant, which does not contain the keys themselves.

    It is keyed by digest, so that the time of a lookup reveals nothing about existing keys. Entries of unchanged
    tenants are copied from `previous`: a change of one among many thousands must not delay requests."""

    __slots__ = ("_by_digest", "tenants")

    def __init__(self, tenants: Mapping[str, Tenant], previous: TenantKeys | None = None):
        self.tenants = tenants
        known: Mapping[str, Tenant] = previous.tenants if previous else {}
        self._by_digest: dict[bytes, tuple[bytes, Tenant]] = dict(previous._by_digest) if previous else {}
        for name, tenant in known.items():
            if (new := tenants.get(name)) is not tenant and new != tenant:
                for digest in key_digests(tenant):
                    del self._by_digest[digest]
        for name, tenant in tenants.items():
            if (old := known.get(name)) is not tenant and old != tenant:
                for digest in key_digests(tenant):
                    self._by_digest[digest] = digest, tenant

    def find(self, key: bytes) -> Tenant | None:
        """The tenant with this key, given as it appears in a request; None if there is none."""
        digest = sha256(key).digest()
        entry = self._by_digest.get(digest)
        if entry is None or not compare_digest(entry[0], digest):
            return None
        return entry[1]


def redact_api_keys(document: dict) -> dict:
    """Redact a configuration document for display: `api_keys` of tenants become a string.

    No valid configuration has a string there, so a redacted document cannot be applied by mistake and drop the keys."""

    def redacted(item: dict) -> dict:
        if item.get("object_kind") != "tenants":
            return item
        return {**item, "specification": {**item["specification"], "api_keys": "withheld"}}

    return {**document, "objects": [redacted(item) for item in document["objects"]]}


def tenant_keys(tenants: Mapping[str, Tenant], previous: TenantKeys | None = None) -> TenantKeys:
    """The lookup for `tenants`; `previous` itself where no tenant has changed."""
    if previous is not None and previous.tenants == tenants:
        return previous
    return TenantKeys(tenants, previous)
