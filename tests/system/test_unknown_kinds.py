"""Unknown fields, kinds, types and contracts: a program ignores them and serves with what it knows."""

import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import unittest

from knotwalk.configuration.change_requests import rejection_location
from knotwalk.configuration.documents import InvalidConfigurationError, parse_configuration
from knotwalk.configuration.index import RouteIndex
from knotwalk.configuration.unknown_kinds import unknown_kinds
from knotwalk.runtime.settings import SETTINGS_VARIABLE, parse_settings, unknown_contracts
from tests.system.test_configuration import route, service


def configuration(*items):
    return {"config_version": "r1", "objects": [service("calm"), *items]}


def free_ports(count):
    """Addresses on loopback that are free now."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    addresses = ["{}:{}".format(*server.getsockname()) for server in sockets]
    for server in sockets:
        server.close()
    return addresses


class UnknownNamesTest(unittest.TestCase):
    """Guards against a failure in which one unknown name rejected the first configuration, so no edge became ready."""

    def test_an_unknown_route_type_does_not_reject_the_configuration(self):
        items = (
            route("plain", "/a/"),
            route("keyed", "/b/", route_type="keyed"),
            route("new", "/c/", route_type="maybe"),
        )
        parsed = parse_configuration(configuration(*items))
        index = RouteIndex(parsed)
        self.assertTrue(index.find("one.example", "/a/x").idempotent)
        for path in ("/b/x", "/c/x"):
            with self.subTest(path):
                self.assertFalse(index.find("one.example", path).idempotent)

    def test_unknown_kinds_and_types_are_listed(self):
        items = route("plain"), route("new", "/c/", route_type="maybe"), route("x", "/d/", route_type="maybe")
        parsed = parse_configuration(configuration({"object_kind": "moons"}, *items))
        self.assertEqual(unknown_kinds(parsed.items), ["object_kind moons", "route_type maybe"])
        self.assertEqual(unknown_kinds(parse_configuration(configuration(route("k", route_type="keyed"))).items), [])

    def test_the_location_of_a_mistake_contains_no_names_of_the_operator(self):
        for message, location in (
            ('route "r: x": timeout is 0', "route"),
            ('tenant "a": shares a key with tenant "b"', "tenant"),
            ("objects[0]: must be an object, not 7", "objects"),
            ("If-Match: is missing", "If-Match"),
            ("upsert.objects[1]: x", "upsert.objects"),
            ("", "other"),
        ):
            self.assertEqual(rejection_location(message), location)

    def test_an_unknown_contract_is_accepted(self):
        raw = {"node_name": "n", "active_contracts": ["base", "moons", "keys"], "moon": {"deep": 1}}
        self.assertEqual(unknown_contracts(parse_settings(raw)), ["moons"])

    def test_a_null_field_counts_as_missing(self):
        plain = parse_settings({"node_name": "n", "limits": {}, "timing_bounds": {}})
        raw = {"node_name": "n", "zone": None, "region": None, "active_contracts": None, "role": None}
        self.assertEqual(
            parse_settings(raw | {"limits": {"cpu_share": None}, "timing_bounds": {"contact": None}}), plain
        )

    def test_a_null_section_counts_as_missing(self):
        plain = parse_settings({"node_name": "n"})
        for name in (
            "limits",
            "fault_tolerance",
            "timing_bounds",
            "listen_addresses",
            "seed_nodes",
            "heartbeat",
            "internal_port_range",
            "cloud_api",
            "active_contracts",
            "zones",
            "serves",
        ):
            with self.subTest(name):
                self.assertEqual(parse_settings({"node_name": "n", name: None}), plain)
        inner = {"cloud_api": {"address": None}, "listen_addresses": {"control": None}, "seed_nodes": [None]}
        self.assertEqual(parse_settings({"node_name": "n", **inner}), plain)

    def test_an_unknown_listener_may_have_any_value(self):
        for value in ("/run/moon.sock", 5, None, {"port": 1}):
            raw = {"node_name": "n", "listen_addresses": {"moon": value, "control": "127.0.0.1:1"}}
            with self.subTest(value):
                self.assertEqual(parse_settings(raw).listen, {"control": ("127.0.0.1", 1)})

    def test_a_null_field_of_a_tenant_counts_as_missing(self):
        def tenants(**fields):
            item = {"object_kind": "tenants", "metadata": {"name": "t"}, "specification": fields}
            return parse_configuration(configuration(item)).tenants

        for name in ("rate_per_s", "burst_size", "api_keys", "priority"):
            with self.subTest(name):
                self.assertEqual(tenants(**{name: None}), tenants())

    def test_an_edge_starts_with_unknown_settings(self):
        raw = {
            "node_name": "e",
            "moon": {"deep": [1]},
            "region": None,
            "active_contracts": ["base", "tenants", "moons"],
            "timing_bounds": {"global_revocation": True, "moon_phase": True},
            "listen_addresses": {"data_plane": "127.0.0.1:1", "readiness": "127.0.0.1:1", "moon": "127.0.0.1:1"},
        }
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "node.json")
            ports = free_ports(2)
            raw["listen_addresses"] |= dict(zip(("data_plane", "readiness"), ports, strict=True))
            path.write_text(json.dumps(raw))
            command = [sys.executable, "-m", "knotwalk.edge"]
            with subprocess.Popen(
                command, env=os.environ | {SETTINGS_VARIABLE: str(path)}, stderr=subprocess.PIPE
            ) as edge:
                lines = []
                while not lines or json.loads(lines[-1])["event"] not in ("listening", "program failed"):
                    lines.append(edge.stderr.readline())
                edge.terminate()
                lines += edge.stderr.readlines()
        events = [json.loads(line)["event"] for line in lines]
        self.assertEqual((events[0], events[-1], edge.returncode), ("unknown contracts", "ended", 0))

    def test_a_route_type_that_is_missing_or_not_a_string_is_invalid(self):
        for invalid in (..., None, 7, "", ["idempotent"], True):
            with self.subTest(invalid), self.assertRaises(InvalidConfigurationError):
                parse_configuration(configuration(route("r", route_type=invalid)))
