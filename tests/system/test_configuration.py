"""Configurations: parsing, validation, patches, differences, route lookup, and decisions on change requests."""

import copy
import dataclasses
import json
import pathlib
import unittest

import yaml
from hypothesis import given, settings, strategies as st

from benchmarks import configuration as benchmark
from knotwalk.configuration import change_requests
from knotwalk.configuration.change_requests import ChangeHistory, decide_change, parse_json, read_response
from knotwalk.configuration.documents import (
    InvalidConfigurationError,
    apply_diff,
    apply_patch,
    diff_documents,
    format_version,
    parse_configuration,
    parse_version,
    to_document,
)
from knotwalk.configuration.history import MAX_REMEMBERED
from knotwalk.configuration.index import RouteIndex, canonical_host
from knotwalk.configuration.objects import Configuration, Limits, Route, Service, Tenant
from knotwalk.control_plane.replicated_state import ReplicatedState
from knotwalk.discovery.cluster_view import ClusterView
from knotwalk.discovery.view_publisher import ViewPublisher

OPENAPI = pathlib.Path(__file__).parents[2] / "openapi" / "control.yaml"


def route(name, prefix="/a/", host="one.example", **fields):
    specification = {
        "hostname": host,
        "path_prefix": prefix,
        "route_type": "idempotent",
        "timeout": "1000ms",
        "target_latency": "0.4s",
        "priority": 2,
        "service": "calm",
        "retry_count": 2,
    } | fields
    return {
        "object_kind": "routes",
        "metadata": {"name": name},
        "specification": {field: value for field, value in specification.items() if value is not ...},
    }


def service(name, **fields):
    return {"object_kind": "services", "metadata": {"name": name}, "specification": fields}


def limits(**fields):
    return {"object_kind": "limits", "metadata": {}, "specification": fields}


def document(*objects, version="r1", **extra_fields):
    return {"config_version": version, "objects": [*objects, service("calm"), service("brisk")], **extra_fields}


def split(*weights):
    return {"service": ..., "traffic_split": [{"service": name, "weight": weight} for name, weight in weights]}


# Invalid documents with their error messages.
INVALID_DOCUMENTS = [
    ([], "configuration: must be an object, not a list"),
    ({"objects": []}, "config_version: must be a version such as r5, not null"),
    ({"config_version": "7", "objects": []}, 'config_version: must be a version such as r5, not "7"'),
    ({"config_version": "r7"}, "objects: is missing"),
    ({"config_version": "r7", "objects": {}}, "objects: must be a list, not an object"),
    (document(7), "objects[0]: must be an object, not 7"),
    (document({"metadata": {}}), "objects[0]: object_kind must be a non-empty string, not null"),
    (document({"object_kind": "routes", "metadata": []}), "objects[0]: metadata must be an object, not a list"),
    (document({"object_kind": "routes"}), "objects[0]: metadata must contain a name"),
    (
        document({"object_kind": "services", "metadata": {"name": "s"}}),
        "objects[0]: specification must be an object, not null",
    ),
    (document(route("r"), route("r", "/b/")), 'objects[1]: routes "r" is listed twice'),
    (document(service("calm")), 'objects[1]: services "calm" is listed twice'),
    (document(limits(), limits()), "objects[1]: limits are listed twice"),
    (document(route("r", service="gone")), 'route "r": names the unknown service "gone"'),
    (document(route("r", **split(("calm", 1), ("gone", 0)))), 'route "r": names the unknown service "gone"'),
    (document(route("r"), route("s", host="ONE.example")), 'route "s": has the host and path_prefix of route "r"'),
    (document(route("r", **split(("calm", 0), ("brisk", 0)))), 'route "r": the weights add up to 0'),
    (document(route("r", **split())), 'route "r": the weights add up to 0'),
    (document(route("r", **split(("calm", -1), ("brisk", 2)))), 'route "r": weight of "calm" is out of range: -1'),
    (document(route("r", **split(("calm", "9")))), 'route "r": weight of "calm" must be a number, not "9"'),
    (document(route("r", **split(("calm", True)))), 'route "r": weight of "calm" must be a number, not true'),
    (document(route("r", service=...)), 'route "r": service or traffic_split is required'),
    (
        document(route("r", traffic_split=[{"service": "calm", "weight": 1}])),
        'route "r": service and traffic_split are mutually exclusive',
    ),
    (document(route("r", service=..., traffic_split="x")), 'route "r": traffic_split must be a list, not "x"'),
    (
        document(route("r", service=..., traffic_split=["x"])),
        'route "r": each entry of traffic_split must be an object, not "x"',
    ),
    (document(route("r", timeout="0ms")), 'route "r": timeout is 0'),
    (document(route("r", timeout="0.0s")), 'route "r": timeout is 0'),
    (document(route("r", timeout="600001ms")), 'route "r": timeout is over ten minutes: "600001ms"'),
    (document(route("r", timeout=1000)), 'route "r": timeout must be a duration with the unit ms or s, not 1000'),
    (document(route("r", timeout="-1s")), 'route "r": timeout must be a duration with the unit ms or s, not "-1s"'),
    (document(route("r", timeout=...)), 'route "r": timeout is missing'),
    (document(route("r", timeout="9" * 400 + "s")), 'route "r": timeout is too large'),
    (
        document(route("r", timeout="300ms", target_latency="60300ms")),
        'route "r": target_latency exceeds the timeout by a minute or more: "60300ms"',
    ),
    (document(route("r", prefix="a/")), 'route "r": path_prefix must start and end with a slash: "a/"'),
    (document(route("r", prefix="/a")), 'route "r": path_prefix must start and end with a slash: "/a"'),
    (document(route("r", route_type=7)), 'route "r": route_type must be a non-empty string, not 7'),
    (document(route("r", public="yes")), 'route "r": public must be true or false, not "yes"'),
    (document(route("r", hostname=...)), 'route "r": hostname is missing'),
    (document(route("r", hostname=7)), 'route "r": hostname must be a non-empty string, not 7'),
    (document(route("r", priority="1")), 'route "r": priority must be a whole number, not "1"'),
    (document(route("r", priority=True)), 'route "r": priority must be a whole number, not true'),
    (document(route("r", retry_count=1.5)), 'route "r": retry_count must be a whole number, not 1.5'),
    (document(route("r", retry_count=-1)), 'route "r": retry_count must be at least 0, not -1'),
    (document(route("r", retry_count=...)), 'route "r": retry_count is missing'),
    (document(service("s", health_check="x")), 'service "s": health_check must start with a slash: "x"'),
    (document(service("s", sharded="yes")), 'service "s": sharded must be true or false, not "yes"'),
    (document(service("s", max_connections=None)), 'service "s": max_connections must be a whole number, not null'),
    (
        document(service("s", prewarm="soon")),
        'service "s": prewarm must be a duration with the unit ms or s, not "soon"',
    ),
    (document(limits(max_body_bytes=2**60)), f"limits: max_body_bytes is out of range: {2**60}"),
    (document(limits(idle_timeout=15)), "limits: idle_timeout must be a duration with the unit ms or s, not 15"),
]


class ParsingTest(unittest.TestCase):
    def test_each_mistake_has_a_message_of_one_line(self):
        for invalid, line in INVALID_DOCUMENTS:
            with self.subTest(line), self.assertRaises(InvalidConfigurationError) as caught:
                parse_configuration(invalid)
            self.assertEqual(line, str(caught.exception))
            self.assertEqual(line, f"{caught.exception.location}: {caught.exception.mistake}")

    def test_extreme_values_that_are_allowed(self):
        configuration = parse_configuration(
            document(
                route("r", prefix="/", timeout="600s", target_latency="659999ms", priority=0.0, traffic_split=None),
                route("s", prefix="//", **split(("calm", 0.5), ("brisk", 0))),
                version="r0",
            )
        )
        self.assertEqual(
            Route("r", "one.example", "/", True, 600.0, 659.999, 0, (("calm", 1.0),), 2), configuration.routes["r"]
        )
        self.assertEqual((("calm", 0.5),), configuration.routes["s"].splits)

    def test_missing_fields_have_defaults(self):
        configuration = parse_configuration(
            document(service("s", sharded=True, prewarm="3s"), limits(idle_timeout="1s"))
        )
        self.assertEqual(
            {"calm": Service("calm"), "brisk": Service("brisk"), "s": Service("s", "/", 100, True, 3.0)},
            configuration.services,
        )
        self.assertEqual(Limits(idle_timeout=1.0), configuration.limits)

    def test_unknown_fields_and_kinds_are_kept_without_effect(self):
        received = document(
            {"object_kind": "moons", "specification": [None]},
            route("r", colour={"deep": [1.0, True]}),
            limits() | {"extra": 1},
            note="spring",
        )
        configuration = parse_configuration(copy.deepcopy(received))
        self.assertEqual(json.dumps(received), json.dumps(to_document(configuration)))
        self.assertEqual(["r"], list(configuration.routes))

    def test_versions_are_strict(self):
        self.assertEqual(12, parse_version("r12"))
        self.assertEqual("r12", format_version(12))
        for text in (
            "12",
            "r",
            "r-1",
            "r+1",
            " r1",
            "r1 ",
            "r1\n",
            "R1",
            "xr1",
            "r1_0",
            "r\u0661",
            "r" + "9" * 19,
            12,
            None,
        ):
            with self.subTest(text), self.assertRaises(ValueError):
                parse_version(text)


class PatchTest(unittest.TestCase):
    def setUp(self):
        self.base = parse_configuration(
            document(route("a"), route("b", "/b/", service="brisk"), limits(idle_timeout="9s"), note=1)
        )

    def patch(self, *upsert, version="r3", **remove):
        return apply_patch(
            self.base, {"config_version": version, "upsert": {"objects": list(upsert)}, "remove": remove}
        )

    def test_replace_add_remove(self):
        patched = self.patch(
            route("c", "/c/"), route("a", timeout="2s"), limits(), routes=["b", "never"], services=["brisk"]
        )
        self.assertEqual((3, ["a", "c"], ["calm"]), (patched.version, list(patched.routes), list(patched.services)))
        self.assertEqual(2.0, patched.routes["a"].timeout)
        self.assertEqual(Limits(), patched.limits)
        self.assertEqual(patched, parse_configuration(to_document(patched)))
        self.assertEqual(1, to_document(patched)["note"])
        self.assertEqual(["a", "b"], list(self.base.routes))

    def test_unchanged_routes_are_shared_with_the_base(self):
        patched = self.patch(route("b", "/b/", service="brisk"), route("c", "/c/"))
        self.assertIs(self.base.routes["a"], patched.routes["a"])
        self.assertIs(self.base.routes["b"], patched.routes["b"])

    def test_an_item_both_removed_and_upserted_stays(self):
        self.assertEqual(2.0, self.patch(route("a", timeout="2s"), routes=["a"]).routes["a"].timeout)
        self.assertEqual(Limits(), self.patch(limits=[""]).limits)

    def test_the_result_of_a_patch_is_validated(self):
        for upsert, remove, line in (
            ([], {"services": ["brisk"]}, 'route "b": names the unknown service "brisk"'),
            ([route("c")], {}, 'route "c": has the host and path_prefix of route "a"'),
            ([route("c", "/c/", timeout="0s")], {}, 'route "c": timeout is 0'),
            ([7], {}, "upsert.objects[0]: must be an object, not 7"),
            ([], {"routes": "a"}, 'remove: "routes" must be a list of names'),
            ([], {"routes": [1]}, 'remove: "routes" must be a list of names'),
        ):
            with self.subTest(line), self.assertRaises(InvalidConfigurationError) as caught:
                self.patch(*upsert, **remove)
            self.assertEqual(line, str(caught.exception))
        # A service with weight 0 counts as referenced, also in a route that the patch does not touch.
        self.base = self.patch(route("b", "/b/", **split(("calm", 1), ("brisk", 0))))
        with self.assertRaises(InvalidConfigurationError):
            self.patch(services=["brisk"])

    def test_malformed_patches_are_rejected(self):
        for patch, line in (
            ([], "patch: must be an object, not a list"),
            ({"config_version": "r3", "upsert": []}, "upsert: must be an object, not a list"),
            ({"config_version": "r3", "remove": []}, "remove: must be an object, not a list"),
            (
                {"config_version": "r3", "upsert": {"routes": []}},
                "patch: items to add or replace belong in upsert.objects",
            ),
            (document(), "patch: items to add or replace belong in upsert.objects"),
        ):
            with self.subTest(line), self.assertRaises(InvalidConfigurationError) as caught:
                apply_patch(self.base, patch)
            self.assertEqual(line, str(caught.exception))
        self.assertEqual(self.base.routes, apply_patch(self.base, {"config_version": "r3"}).routes)


ITEMS = st.dictionaries(
    st.tuples(st.sampled_from(["routes", "services", "moons", "limits"]), st.sampled_from("abcd")),
    st.sampled_from([0, 1, True, 1.0, "x"]),
    max_size=12,
)


def document_of_items(items, version):
    objects = {}
    for (kind, name), value in items.items():
        objects[kind, "" if kind == "limits" else name] = {
            "object_kind": kind,
            "metadata": {"name": name},
            "specification": {"is": value},
        }
    return {"config_version": version, "objects": list(objects.values())}


class DiffTest(unittest.TestCase):
    @given(ITEMS, ITEMS)
    @settings(max_examples=150, deadline=None, database=None)
    def test_a_diff_reproduces_the_new_document(self, old, new):
        old, new = document_of_items(old, "r1"), document_of_items(new, "r2")
        old_text = json.dumps(old)
        if (patch := diff_documents(old, new)) is not None:
            self.assertEqual(json.dumps(new), json.dumps(apply_diff(old, patch)))
            self.assertLessEqual(len(patch["upsert"]["objects"]), len(new["objects"]))
        self.assertEqual(old_text, json.dumps(old))

    def test_small_changes_have_small_diffs(self):
        old = document(*(route(f"r{n}", f"/{n}/") for n in range(50)), note=1)
        patched = apply_patch(
            parse_configuration(old),
            {
                "config_version": "r2",
                "remove": {"routes": ["r7"]},
                "upsert": {"objects": [route("r9", "/9/", timeout="2s")]},
            },
        )
        patch = diff_documents(old, to_document(patched))
        self.assertEqual(
            {
                "config_version": "r2",
                "remove": {"routes": ["r7"]},
                "upsert": {"objects": [route("r9", "/9/", timeout="2s")]},
            },
            patch,
        )
        self.assertEqual(patched, parse_configuration(apply_diff(old, json.loads(json.dumps(patch)))))
        self.assertIsNone(diff_documents(old, document(version="r2")))
        self.assertIsNone(diff_documents(old, old | {"note": 2}))
        self.assertIsNone(diff_documents(old, old | {"objects": old["objects"][::-1]}))


PARTS = st.lists(st.sampled_from(["a", "b", "%2F", ""]), max_size=4)
PREFIX = PARTS.map(lambda parts: "/" + "".join(part + "/" for part in parts))
HOST = st.sampled_from(["x", "X.example", "x.example", "y"])


class RouteIndexTest(unittest.TestCase):
    @given(
        st.dictionaries(st.tuples(HOST, PREFIX), st.integers(), max_size=12),
        st.lists(st.tuples(HOST, PREFIX, st.sampled_from(["", "a", "a/b?/a/", "?a/", "?/"])), max_size=12),
    )
    @settings(max_examples=150, deadline=None, database=None)
    def test_lookup_equals_a_linear_search(self, locations, requests):
        routes = {}
        for number, (host, prefix) in enumerate(locations):
            taken = [(canonical_host(route.hostname), route.path_prefix) for route in routes.values()]
            if (host.lower(), prefix) not in taken:
                routes[str(number)] = Route(str(number), host, prefix, True, 1.0, 1.0, 0, (("s", 1.0),), 1)
        index = RouteIndex(Configuration(1, routes, {}, Limits()))
        for host, start, end in requests:
            path = start + end
            matching = [
                route
                for route in routes.values()
                if route.hostname.lower() == host.lower() and path.partition("?")[0].startswith(route.path_prefix)
            ]
            expected = max(matching, key=lambda route: len(route.path_prefix), default=None)
            self.assertIs(expected, index.find(host.upper() + ".:81", path))
            self.assertIs(expected, index.find(host, path))

    def test_hosts(self):
        for host, canonical in (
            ("A.b", "a.b"),
            ("a.b.", "a.b"),
            ("a.b:80", "a.b"),
            ("a.b.:80", "a.b"),
            ("", ""),
            ("[::1]:80", "[::1]"),
            ("[::A]", "[::a]"),
            ("[x", "[x"),
        ):
            self.assertEqual(canonical, canonical_host(host))

    def test_malformed_paths_match_no_route(self):
        index = RouteIndex(parse_configuration(document(route("r", "/a/"))))
        for path in ("", "*", "a/", "/a", "/A/", "%2Fa/", "/a%2F", "?/a/"):
            self.assertIsNone(index.find("one.example", path))
        self.assertIsNone(index.find("two.example", "/a/"))
        self.assertEqual("r", index.find("one.example", "/a/" + "/" * 100_000).name)


def encoded(value):
    return json.dumps(value).encode()


class DecisionTest(unittest.TestCase):
    def setUp(self):
        self.current, self.history = None, ChangeHistory()

    def request(self, method, if_match, body):
        """Decide on a request and, if the change may be proposed, apply it as the log would."""
        decision = decide_change(
            self.current, self.history, method, if_match, body if type(body) is bytes else encoded(body)
        )
        if decision.status == 200 and not decision.already_applied:
            self.assertEqual(decision.base, self.current.version if self.current else 0)
            self.assertEqual(decision.document, to_document(decision.configuration))
            self.current = decision.configuration
            self.history.record(decision.version, decision.digest)
        return decision

    def rejected(self, status, line, *request):
        decision = self.request(*request)
        self.assertEqual((status, line), (decision.status, decision.message))
        self.assertIsNone(decision.configuration)
        return decision

    def test_first_put_second_put_and_patch(self):
        self.assertEqual(404, read_response(self.current)[0])
        self.assertEqual({"config_version": "r5"}, self.request("PUT", "0", document(route("a"), version="r5")).body())
        self.assertEqual(200, self.request("PUT", '"r5"', document(route("a"), version="r7")).status)
        patch = {"config_version": "r9", "upsert": {"objects": [route("b", "/b/")]}}
        self.assertEqual(200, self.request("PATCH", "r7", patch).status)
        self.assertEqual((200, to_document(self.current)), read_response(self.current))
        self.assertEqual(["a", "b"], list(self.current.routes))

    def test_a_repeated_request_is_applied_once(self):
        requests = [
            ("PUT", "r0", document(route("a"), version="r2")),
            ("PATCH", "r2", {"config_version": "r3", "remove": {"routes": ["a"]}}),
            ("PUT", "r3", document(version="r8")),
        ]
        for request in requests:
            self.assertFalse(self.request(*request).already_applied)
        self.history = ChangeHistory.from_dict(json.loads(json.dumps(self.history.to_dict())))
        for method, if_match, body in requests:
            again = json.dumps(dict(reversed(body.items())), indent=1).encode()
            decision = self.request(method, if_match.removeprefix("r"), again)
            self.assertEqual((200, True, None), (decision.status, decision.already_applied, decision.configuration))
            self.assertEqual({"config_version": body["config_version"]}, decision.body())
        self.assertEqual(8, self.current.version)

    def test_a_similar_request_is_not_a_repeat(self):
        self.request("PUT", "0", document(route("a"), version="r2"))
        line = "built on r0, but r2 is current"
        decision = self.rejected(412, line, "PUT", "0", document(route("a", priority=3), version="r2"))
        self.assertEqual({"error": line, "config_version": "r2"}, decision.body())
        self.rejected(412, line, "PUT", "0", document(route("a"), version="r3"))
        self.rejected(412, line, "PATCH", "0", {"config_version": "r2"})
        # The current document, but based on itself: its version does not rise.
        self.rejected(
            400, "config_version: r2 is not above the current r2", "PUT", "r2", document(route("a"), version="r2")
        )

    def test_one_of_two_concurrent_changes_is_applied(self):
        self.request("PUT", "0", document(version="r2"))
        first, second = document(route("a"), version="r4"), document(route("b"), version="r4")
        self.assertEqual(200, self.request("PUT", "r2", first).status)
        self.rejected(412, "built on r2, but r4 is current", "PUT", "r2", second)
        self.assertTrue(self.request("PUT", "r2", first).already_applied)

    def test_malformed_requests(self):
        missing = "If-Match: is missing; it names the version that the change is based on, 0 for the first"
        valid = document(version="r3")
        self.rejected(400, missing, "PUT", None, valid)
        for text in ("", "*", "r", "r5, r6", 'W/"r5"', '"r5', "r-5", "5r", "r\u0665"):
            self.rejected(
                400, f"If-Match: must be a version such as r5, or 0, not {json.dumps(text)}", "PUT", text, valid
            )
        for body, line in (
            (b"", "body: not JSON at line 1, column 1"),
            (encoded(valid)[:-1], f"body: not JSON at line 1, column {len(encoded(valid))}"),
            (b'{\n "a" 1}', "body: not JSON at line 2, column 6"),
            (b'{"a":"\xff"}', "body: not UTF-8 at byte 7"),
            (json.dumps(valid).encode("utf-16"), "body: not UTF-8 at byte 1"),
            (b'{"a":1,"a":1}', 'body: the field "a" appears twice in one object'),
            (b'{"a":NaN}', "body: NaN is not a JSON number"),
            (b'{"a":-Infinity}', "body: -Infinity is not a JSON number"),
            (b'{"a":1e999}', "body: a number is out of range"),
            (b'{"a":' + b"9" * 5000 + b"}", "body: a number has too many digits"),
            (b"[" * 40 + b"]" * 40, "body: nested deeper than 32"),
            (b"[" * 100_000 + b"]" * 100_000, "body: nested deeper than 32"),
            (b'{"a":' * 5000 + b"1" + b"}" * 5000, "body: nested deeper than 32"),
            (b'{"a":"\\ud800"}', "body: a string contains an unpaired surrogate"),
            (b"[]", "body: must be an object, not a list"),
            (b"{}", "config_version: must be a version such as r5, not null"),
            (document(version="r0"), "config_version: r0 is not above the current r0"),
            (document(route("a", service="gone"), version="r1"), 'route "a": names the unknown service "gone"'),
        ):
            with self.subTest(line):
                self.rejected(400, line, "PUT", "0", body)
        self.rejected(
            413,
            f"body: larger than {change_requests.MAX_BODY_BYTES} bytes",
            "PUT",
            "0",
            b" " * (change_requests.MAX_BODY_BYTES + 1),
        )
        self.rejected(412, "built on r1, but r0 is current", "PUT", "r1", valid)
        self.assertEqual("\U0001f600", parse_json(b'"\\ud83d\\ude00"'))

    def test_history_is_bounded(self):
        last = MAX_REMEMBERED + 135
        for version in range(1, last + 1):
            self.history.record(version, str(version))
        self.assertEqual(MAX_REMEMBERED, len(self.history.versions))
        self.assertTrue(self.history.contains(last, str(last)))
        self.assertFalse(self.history.contains(last - MAX_REMEMBERED, str(last - MAX_REMEMBERED)))


ANY = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(["1s", "/a/", "calm", "routes", "r9"]),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=5), inner, max_size=4),
    max_leaves=8,
)


class SizeTest(unittest.TestCase):
    """The log entry and the message to edges grow with the change, not with the configuration."""

    def sizes(self, routes):
        """Sizes in bytes of the log entry and of the message to an edge when one of `routes` routes changes."""
        state, publisher, view = ReplicatedState(), ViewPublisher("b"), ClusterView()
        base = benchmark.make_document(routes, max(1, routes // 100))
        state.apply(1, {"do": "configure", "base": 0, "version": 1, "digest": "0", "document": base})
        publisher.set_config(1, to_document(state.configuration))
        view.apply(1.0, publisher.changes_since(view.positions(), 1.0))
        route = copy.deepcopy(base["objects"][1])
        route["specification"]["timeout"] = "1002ms"
        patch = json.dumps({"config_version": "r2", "upsert": {"objects": [route]}}).encode()
        decision = decide_change(state.configuration, ChangeHistory(), "PATCH", "1", patch)
        difference = diff_documents(to_document(state.configuration), decision.document)
        command = {"do": "configure", "base": 1, "version": 2, "digest": "2", "difference": difference}
        self.assertEqual(state.apply(2, command)[0], "done")
        publisher.set_config(2, to_document(state.configuration))
        return len(json.dumps(command)), len(json.dumps(publisher.changes_since(view.positions(), 1.0)))

    def test_a_change_of_one_route_stays_small(self):
        for few, many in zip(self.sizes(3), self.sizes(300)):
            self.assertLess(many, 1.2 * few)

    def test_a_change_too_large_for_a_cores_disk_is_rejected_unless_already_applied(self):
        base = benchmark.make_document(30, 1)
        body = json.dumps(base).encode()
        self.assertEqual(decide_change(None, ChangeHistory(), "PUT", "0", body, len(body)).status, 200)
        rejected = decide_change(None, ChangeHistory(), "PUT", "0", body, len(body) - 1)
        self.assertEqual((rejected.status, "\n" in rejected.message), (413, False))
        history = ChangeHistory()
        history.record(1, decide_change(None, ChangeHistory(), "PUT", "0", body).digest)
        self.assertTrue(
            decide_change(parse_configuration(base), history, "PUT", "0", body, len(body) - 1).already_applied
        )
        added = json.dumps({"config_version": "r2", "upsert": {"objects": [route("one more", service="a")]}}).encode()
        result = decide_change(parse_configuration(base), history, "PATCH", "1", added).document
        size = len(json.dumps(result, separators=(",", ":")))
        for limit, status in ((size, 200), (size - 1, 413)):
            self.assertEqual(
                decide_change(parse_configuration(base), history, "PATCH", "1", added, limit).status, status
            )


class FuzzTest(unittest.TestCase):
    """Any input gets a response, and whatever is accepted reads back as it was sent."""

    base = parse_configuration(document(route("a"), version="r1"))

    def decide(self, method, if_match, body):
        decision = decide_change(self.base, ChangeHistory(), method, if_match, body)
        self.assertIn(decision.status, (200, 400, 412))
        self.assertTrue(decision.message.isprintable() and decision.message.isascii() and len(decision.message) < 400)
        if decision.status == 200:
            text = json.dumps(decision.document, allow_nan=False, ensure_ascii=False).encode()
            self.assertEqual(decision.configuration, parse_configuration(json.loads(text)))
            RouteIndex(decision.configuration)
        return decision

    @given(st.sampled_from(["PUT", "PATCH"]), st.text(max_size=6) | st.just("r1"), st.binary(max_size=40))
    @settings(max_examples=200, deadline=None, database=None)
    def test_arbitrary_bytes(self, method, if_match, body):
        self.decide(method, if_match, body)

    @given(st.sampled_from(["PUT", "PATCH"]), st.data())
    @settings(max_examples=300, deadline=None, database=None)
    def test_a_document_with_one_value_changed(self, method, data):
        value = document(
            route("a", extra=1),
            route("b", "/b/", **split(("calm", 1), ("brisk", 2))),
            service("s", health_check="/h", max_connections=3, sharded=True, prewarm="1s"),
            limits(max_header_bytes=1, max_body_bytes=1, header_timeout="1s", idle_timeout="1s"),
            version="r2",
        )
        if method == "PATCH":
            value = {"config_version": "r2", "upsert": {"objects": value["objects"][:4]}, "remove": {"routes": ["z"]}}
        container = value
        while True:
            key = data.draw(
                st.sampled_from(sorted(container)) if type(container) is dict else st.integers(0, len(container) - 1)
            )
            if type(container[key]) not in (dict, list) or not container[key] or data.draw(st.booleans()):
                break
            container = container[key]
        if data.draw(st.booleans()):
            container[key] = data.draw(ANY)
        else:
            del container[key]
        self.decide(method, "r1", encoded(value))


class OpenApiTest(unittest.TestCase):
    """The OpenAPI page for operators agrees with the code."""

    def setUp(self):
        self.page = yaml.safe_load(OPENAPI.read_text())
        self.schemas = self.page["components"]["schemas"]

    def test_methods_and_statuses(self):
        self.assertEqual(["/configuration"], list(self.page["paths"]))
        calls = self.page["paths"]["/configuration"]
        self.assertEqual(
            {method: tuple(sorted(map(int, call["responses"]))) for method, call in calls.items()},
            change_requests.STATUSES,
        )

    def test_references_resolve(self):
        def references(value):
            if isinstance(value, dict):
                for name, inner in value.items():
                    yield from [inner] if name == "$ref" else references(inner)
            elif isinstance(value, list):
                for inner in value:
                    yield from references(inner)

        for reference in references(self.page):
            target = self.page
            for part in reference.removeprefix("#/").split("/"):
                target = target[part]

    def test_fields(self):
        documented_names = {"splits": "traffic_split", "idempotent": "route_type", "keyed": "route_type"}
        documented_names |= {"deduplicates": "idempotent"}
        for name, cls in (("Route", Route), ("Service", Service), ("Tenant", Tenant), ("Limits", Limits)):
            fields = {documented_names.get(field.name, field.name) for field in dataclasses.fields(cls)} - {"name"}
            self.assertEqual(fields | ({"service"} if cls is Route else set()), set(self.schemas[name]["properties"]))
            for field in dataclasses.fields(cls):
                schema = self.schemas[name]["properties"].get(documented_names.get(field.name, field.name), {})
                if "default" in schema:
                    default = list(field.default) if isinstance(field.default, tuple) else field.default
                    self.assertEqual(default, schema["default"])

    def test_required_fields_are_those_of_the_code(self):
        required = set(self.schemas["Route"]["required"])
        for name in route("a")["specification"]:
            with self.subTest(name):
                try:
                    parse_configuration(document(route("a", **{name: ...})))
                    is_required = False
                except InvalidConfigurationError:
                    is_required = True
                self.assertEqual(name in required | {"service"}, is_required)

    def test_response_bodies(self):
        decision = change_requests.Decision(412, "x", 3)
        for name, body in (
            ("Taken", change_requests.Decision(200, "x", version=3).body()),
            ("OtherVersion", decision.body()),
            ("Error", change_requests.Decision(400, "x").body()),
            ("Error", read_response(None)[1]),
        ):
            self.assertEqual(set(self.schemas[name]["required"]), set(body))
        self.assertEqual(set(self.schemas["Configuration"]["required"]), set(document()))


if __name__ == "__main__":
    unittest.main()
