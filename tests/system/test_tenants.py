"""Tenants: read, refused, patched, and found by their keys."""

import json
import unittest

from hypothesis import given, settings, strategies as some

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
from tests.system.test_configuration import route, service, whole

SECRET = "jwyy7yx5x42q492cqf75"


def tenant(name, *keys, **fields):
    return {"object_kind": "tenants", "metadata": {"name": name}, "specification": {"api_keys": list(keys), **fields}}


def _table(owners):
    """Tenants that share no key, from the owner of each key; a name stands for its rate as well."""
    names = sorted({name for name in owners.values() if name})
    return {
        name: Tenant(name, tuple(key for key, owner in owners.items() if owner == name), None, len(name))
        for name in names
    }


TABLES = some.dictionaries(some.sampled_from("abcdefgh"), some.sampled_from(["", "one", "two", "three"])).map(_table)


class ReadingCase(unittest.TestCase):
    def test_a_tenant_and_what_it_is_by_default(self):
        sent = tenant("a", "k1", "k2", "k1", priority=1, rate_per_s=102, burst_size=0.5), tenant("b", "k3")
        read = parse_configuration(whole(*sent))
        wanted = {"a": Tenant("a", ("k1", "k2"), 1, 102.0, 0.5), "b": Tenant("b", ("k3",), None, 0.0, 0.0)}
        self.assertEqual(wanted, read.tenants)
        self.assertEqual({}, parse_configuration(whole()).tenants)

    def test_routes_and_services_tell_what_keys_mean_for_them(self):
        read = parse_configuration(
            whole(route("r", route_type="keyed", public=True), service("s", idempotent=True), route("i", "/i/"))
        )
        keyed, plain = read.routes["r"], read.routes["i"]
        self.assertEqual((False, True, True), (keyed.idempotent, keyed.keyed, keyed.public))
        self.assertEqual((True, False, False), (plain.idempotent, plain.keyed, plain.public))
        self.assertTrue(read.services["s"].deduplicates)
        self.assertFalse(read.services["calm"].deduplicates)

    def test_what_is_wrong_has_one_line_that_shows_no_key(self):
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
                parse_configuration(whole(tenant("a") | {"specification": specification}))
            self.assertEqual(line, str(caught.exception))

    def test_a_name_that_would_be_another_header_is_refused(self):
        for name in ("a\r\nTenant: b", "a\x00", " a", "a\t"):
            with self.subTest(name), self.assertRaises(InvalidConfigurationError):
                parse_configuration(whole(tenant(name, "k")))

    def test_two_tenants_that_share_a_key_are_refused_and_the_key_is_not_shown(self):
        with self.assertRaises(InvalidConfigurationError) as caught:
            parse_configuration(whole(tenant("a", SECRET), tenant("b", "k", SECRET)))
        self.assertEqual('tenant "b": shares a key with tenant "a"', str(caught.exception))

    def test_no_key_is_in_the_text_of_a_tenant(self):
        read = parse_configuration(whole(tenant("a", SECRET)))
        self.assertNotIn(SECRET, repr(read) + str(read.tenants) + repr(TenantKeys(read.tenants)))


class PatchingCase(unittest.TestCase):
    def setUp(self):
        self.base = parse_configuration(whole(tenant("a", "k1"), tenant("b", "k2"), route("r")))

    def patch(self, *upsert, **remove):
        return apply_patch(self.base, {"config_version": "r2", "upsert": {"objects": list(upsert)}, "remove": remove})

    def test_keys_come_and_go(self):
        made = self.patch(tenant("a", "k3"), tenants=["b"])
        self.assertEqual({"a": Tenant("a", ("k3",))}, made.tenants)
        self.assertEqual(made, parse_configuration(to_document(made)))
        self.assertIs(self.base.tenants["b"], self.patch(tenant("a", "k3")).tenants["b"])

    def test_a_key_that_another_tenant_holds_is_refused(self):
        with self.assertRaises(InvalidConfigurationError):
            self.patch(tenant("a", "k1", "k2"))
        self.assertEqual("a", TenantKeys(self.patch(tenant("a", "k2"), tenants=["b"]).tenants).find(b"k2").name)

    def test_a_difference_carries_tenants(self):
        made = self.patch(tenant("a", "k3"))
        less = diff_documents(to_document(self.base), to_document(made))
        self.assertEqual([tenant("a", "k3")], less["upsert"]["objects"])
        self.assertEqual(made, apply_patch(self.base, json.loads(json.dumps(less))))

    def test_an_order_that_has_two_tenants_share_a_key_is_refused_as_invalid(self):
        body = json.dumps({"config_version": "r2", "upsert": {"objects": [tenant("c", "x", "k2")]}}).encode()
        verdict = decide_change(self.base, ChangeHistory(), "PATCH", "r1", body)
        self.assertEqual((verdict.status, verdict.message), (400, 'tenant "c": shares a key with tenant "b"'))
        body = json.dumps(whole(tenant("a", "k"), tenant("b", "k"), version="r2")).encode()
        self.assertEqual(decide_change(self.base, ChangeHistory(), "PUT", "r1", body).status, 400)


class KeysCase(unittest.TestCase):
    def test_a_key_is_found_whole_or_not_at_all(self):
        keys = TenantKeys(parse_configuration(whole(tenant("a", "k1", "é"), tenant("b", "k2"))).tenants)
        self.assertEqual(["a", "b"], [keys.find(key).name for key in (b"k1", b"k2")])
        self.assertEqual("a", keys.find("é".encode()).name)
        for key in (b"", b"k", b"k11", b"K1", b"\xff"):
            with self.subTest(key):
                self.assertIsNone(keys.find(key))

    @given(TABLES, TABLES)
    @settings(max_examples=200, deadline=None, database=None)
    def test_a_look_up_made_of_the_one_before_is_as_one_made_anew(self, old, new):
        keys = tenant_keys(new, tenant_keys(old))
        found = {key: keys.find(key.encode()) for key in "abcdefgh"}
        self.assertEqual(found, {key: next((t for t in new.values() if key in t.api_keys), None) for key in "abcdefgh"})

    def test_the_look_up_is_built_anew_only_where_tenants_changed(self):
        base = parse_configuration(whole(tenant("a", "k1"), route("r")))
        keys = tenant_keys(base.tenants)
        change = {"config_version": "r2", "upsert": {"objects": [route("r", timeout="2s")]}}
        self.assertIs(keys, tenant_keys(apply_patch(base, change).tenants, keys))
        change = {"config_version": "r2", "upsert": {"objects": [tenant("a", "k2")]}}
        self.assertIsNone(tenant_keys(apply_patch(base, change).tenants, keys).find(b"k1"))
