"""Tenants: parsing, validation, patches, and lookup by key."""

import json
import unittest

from hypothesis import given, settings, strategies as st

from knotwalk.configuration.change_requests import decide_change
from knotwalk.configuration.documents import (
    InvalidConfigurationError,
    apply_patch,
    diff_documents,
    parse_configuration,
    to_document,
)
from knotwalk.configuration.history import ChangeHistory
from knotwalk.configuration.objects import Tenant
from knotwalk.configuration.tenants import TenantKeys, tenant_keys
from tests.system.test_configuration import document, route, service

SECRET = "jwyy7yx5x42q492cqf75"


def tenant(name, *keys, **fields):
    return {"object_kind": "tenants", "metadata": {"name": name}, "specification": {"api_keys": list(keys), **fields}}


def _tenants(owners):
    """Tenants without a shared key, from the owner of each key. Their rates are the lengths of their names."""
    names = sorted({name for name in owners.values() if name})
    return {
        name: Tenant(name, tuple(key for key, owner in owners.items() if owner == name), None, len(name))
        for name in names
    }


TENANTS = st.dictionaries(st.sampled_from("abcdefgh"), st.sampled_from(["", "one", "two", "three"])).map(_tenants)


class ParsingTest(unittest.TestCase):
    def test_fields_of_a_tenant_and_their_defaults(self):
        items = tenant("a", "k1", "k2", "k1", priority=1, rate_per_s=102, burst_size=0.5), tenant("b", "k3")
        configuration = parse_configuration(document(*items))
        expected = {"a": Tenant("a", ("k1", "k2"), 1, 102.0, 0.5), "b": Tenant("b", ("k3",), None, 0.0, 0.0)}
        self.assertEqual(expected, configuration.tenants)
        self.assertEqual({}, parse_configuration(document()).tenants)

    def test_fields_of_routes_and_services_about_keys(self):
        configuration = parse_configuration(
            document(route("r", route_type="keyed", public=True), service("s", idempotent=True), route("i", "/i/"))
        )
        keyed, plain = configuration.routes["r"], configuration.routes["i"]
        self.assertEqual((False, True, True), (keyed.idempotent, keyed.keyed, keyed.public))
        self.assertEqual((True, False, False), (plain.idempotent, plain.keyed, plain.public))
        self.assertTrue(configuration.services["s"].deduplicates)
        self.assertFalse(configuration.services["calm"].deduplicates)

    def test_messages_have_one_line_and_show_no_key(self):
        for specification, line in (
            (SECRET, "objects[0]: specification must be an object"),
            ({"api_keys": SECRET}, 'tenant "a": api_keys must be a list of non-empty strings'),
            ({"api_keys": "withheld"}, 'tenant "a": api_keys must be a list of non-empty strings'),
            ({"api_keys": [SECRET, 7]}, 'tenant "a": api_keys must be a list of non-empty strings'),
            ({"api_keys": [SECRET, ""]}, 'tenant "a": api_keys must be a list of non-empty strings'),
            ({"priority": "1"}, 'tenant "a": priority must be a whole number, not "1"'),
            ({"rate_per_s": "1"}, 'tenant "a": rate_per_s must be a number, not "1"'),
            ({"rate_per_s": True}, 'tenant "a": rate_per_s must be a number, not true'),
            ({"burst_size": -1}, 'tenant "a": burst_size is out of range: -1'),
        ):
            with self.subTest(line), self.assertRaises(InvalidConfigurationError) as caught:
                parse_configuration(document(tenant("a") | {"specification": specification}))
            self.assertEqual(line, str(caught.exception))

    def test_a_name_that_would_break_its_header_is_rejected(self):
        for name in ("a\r\nTenant: b", "a\x00", " a", "a\t"):
            with self.subTest(name), self.assertRaises(InvalidConfigurationError):
                parse_configuration(document(tenant(name, "k")))

    def test_two_tenants_that_share_a_key_are_rejected_and_the_key_is_not_shown(self):
        with self.assertRaises(InvalidConfigurationError) as caught:
            parse_configuration(document(tenant("a", SECRET), tenant("b", "k", SECRET)))
        self.assertEqual('tenant "b": shares a key with tenant "a"', str(caught.exception))

    def test_the_repr_of_a_tenant_shows_no_key(self):
        configuration = parse_configuration(document(tenant("a", SECRET)))
        self.assertNotIn(
            SECRET, repr(configuration) + str(configuration.tenants) + repr(TenantKeys(configuration.tenants))
        )


class PatchTest(unittest.TestCase):
    def setUp(self):
        self.base = parse_configuration(document(tenant("a", "k1"), tenant("b", "k2"), route("r")))

    def patch(self, *upsert, **remove):
        return apply_patch(self.base, {"config_version": "r2", "upsert": {"objects": list(upsert)}, "remove": remove})

    def test_keys_are_replaced_and_removed(self):
        patched = self.patch(tenant("a", "k3"), tenants=["b"])
        self.assertEqual({"a": Tenant("a", ("k3",))}, patched.tenants)
        self.assertEqual(patched, parse_configuration(to_document(patched)))
        self.assertIs(self.base.tenants["b"], self.patch(tenant("a", "k3")).tenants["b"])

    def test_a_key_of_another_tenant_is_rejected(self):
        with self.assertRaises(InvalidConfigurationError):
            self.patch(tenant("a", "k1", "k2"))
        self.assertEqual("a", TenantKeys(self.patch(tenant("a", "k2"), tenants=["b"]).tenants).find(b"k2").name)

    def test_a_diff_contains_tenants(self):
        patched = self.patch(tenant("a", "k3"))
        difference = diff_documents(to_document(self.base), to_document(patched))
        self.assertEqual([tenant("a", "k3")], difference["upsert"]["objects"])
        self.assertEqual(patched, apply_patch(self.base, json.loads(json.dumps(difference))))

    def test_a_change_that_makes_two_tenants_share_a_key_is_invalid(self):
        body = json.dumps({"config_version": "r2", "upsert": {"objects": [tenant("c", "x", "k2")]}}).encode()
        decision = decide_change(self.base, ChangeHistory(), "PATCH", "r1", body)
        self.assertEqual((decision.status, decision.message), (400, 'tenant "c": shares a key with tenant "b"'))
        body = json.dumps(document(tenant("a", "k"), tenant("b", "k"), version="r2")).encode()
        self.assertEqual(decide_change(self.base, ChangeHistory(), "PUT", "r1", body).status, 400)


class KeyLookupTest(unittest.TestCase):
    def test_only_a_complete_key_is_found(self):
        keys = TenantKeys(parse_configuration(document(tenant("a", "k1", "é"), tenant("b", "k2"))).tenants)
        self.assertEqual(["a", "b"], [keys.find(key).name for key in (b"k1", b"k2")])
        self.assertEqual("a", keys.find("é".encode()).name)
        for key in (b"", b"k", b"k11", b"K1", b"\xff"):
            with self.subTest(key):
                self.assertIsNone(keys.find(key))

    @given(TENANTS, TENANTS)
    @settings(max_examples=200, deadline=None, database=None)
    def test_an_updated_lookup_equals_a_new_one(self, old, new):
        keys = tenant_keys(new, tenant_keys(old))
        found = {key: keys.find(key.encode()) for key in "abcdefgh"}
        self.assertEqual(
            found,
            {key: next((tenant for tenant in new.values() if key in tenant.api_keys), None) for key in "abcdefgh"},
        )

    def test_the_lookup_is_rebuilt_only_if_tenants_changed(self):
        base = parse_configuration(document(tenant("a", "k1"), route("r")))
        keys = tenant_keys(base.tenants)
        change = {"config_version": "r2", "upsert": {"objects": [route("r", timeout="2s")]}}
        self.assertIs(keys, tenant_keys(apply_patch(base, change).tenants, keys))
        change = {"config_version": "r2", "upsert": {"objects": [tenant("a", "k2")]}}
        self.assertIsNone(tenant_keys(apply_patch(base, change).tenants, keys).find(b"k1"))
