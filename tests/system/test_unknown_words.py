"""Words, fields and kinds that a program does not know: it goes on with what it knows, and serves."""

import unittest

from knotwalk.configuration.control import refused_place
from knotwalk.configuration.index import Index
from knotwalk.configuration.read import Invalid, read_configuration
from knotwalk.configuration.unknown import unknown_words
from knotwalk.runtime.settings import parse, unknown_contracts
from tests.system.test_configuration import route, service


def configuration(*items):
    return {"config_version": "r1", "objects": [service("calm"), *items]}


class NoRequestServedCase(unittest.TestCase):
    """One unknown word refused the whole first configuration, and no edge was ever ready."""

    def test_a_route_type_that_is_not_known_leaves_the_configuration_in_force(self):
        items = (
            route("plain", "/a/"),
            route("keyed", "/b/", route_type="keyed"),
            route("new", "/c/", route_type="maybe"),
        )
        made = read_configuration(configuration(*items))
        index = Index(made)
        self.assertTrue(index.find("one.example", "/a/x").idempotent)
        for path in ("/b/x", "/c/x"):
            with self.subTest(path):
                self.assertFalse(index.find("one.example", path).idempotent)

    def test_what_is_not_known_is_told(self):
        items = route("plain"), route("new", "/c/", route_type="maybe"), route("x", "/d/", route_type="maybe")
        made = read_configuration(configuration({"object_kind": "moons"}, *items))
        self.assertEqual(unknown_words(made.items), ["object_kind moons", "route_type maybe"])
        self.assertEqual(unknown_words(read_configuration(configuration(route("k", route_type="keyed"))).items), [])

    def test_the_place_of_a_mistake_names_nothing_of_the_operator_s(self):
        for message, place in (
            ('route "r: x": timeout is 0', "route"),
            ('tenant "a": has a key of tenant "b"', "tenant"),
            ("objects[0]: must be an object, not 7", "objects"),
            ("If-Match: is missing", "If-Match"),
            ("upsert.objects[1]: x", "upsert.objects"),
            ("", "other"),
        ):
            self.assertEqual(refused_place(message), place)

    def test_a_contract_that_is_not_known_ends_no_program(self):
        raw = {"node_name": "n", "active_contracts": ["base", "moons", "keys"], "moon": {"deep": 1}}
        self.assertEqual(unknown_contracts(parse(raw)), ["moons"])

    def test_null_in_place_of_a_field_is_as_none(self):
        plain = parse({"node_name": "n", "limits": {}, "timing_bounds": {}})
        raw = {"node_name": "n", "zone": None, "region": None, "active_contracts": None, "role": None}
        self.assertEqual(parse(raw | {"limits": {"cpu_share": None}, "timing_bounds": {"contact": None}}), plain)

    def test_a_route_type_that_is_missing_or_no_text_is_invalid(self):
        for wrong in (..., None, 7, "", ["idempotent"], True):
            with self.subTest(wrong), self.assertRaises(Invalid):
                read_configuration(configuration(route("r", route_type=wrong)))
