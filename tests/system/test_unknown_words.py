"""Words, fields and kinds that a program does not know: it goes on with what it knows, and serves."""

import unittest

from knotwalk.configuration.index import Index
from knotwalk.configuration.read import Invalid, read_configuration
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

    def test_a_route_type_that_is_missing_or_no_text_is_invalid(self):
        for wrong in (..., None, 7, "", ["idempotent"], True):
            with self.subTest(wrong), self.assertRaises(Invalid):
                read_configuration(configuration(route("r", route_type=wrong)))
