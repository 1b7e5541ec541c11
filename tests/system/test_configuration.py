"""Configurations: what is read, refused, patched and found again; the look-up of routes; the verdict on calls."""

import copy
import dataclasses
import json
import pathlib
import unittest

import yaml
from hypothesis import given, settings, strategies as some

from benchmarks import configuration as sizes
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


def whole(*objects, version="r1", **rest):
    return {"config_version": version, "objects": [*objects, service("calm"), service("brisk")], **rest}


def split(*parts):
    return {"service": ..., "traffic_split": [{"service": name, "weight": weight} for name, weight in parts]}


# Document, and the one line that refuses it.
WRONG = [
    ([], "configuration: must be an object, not a list"),
    ({"objects": []}, "config_version: must be a version such as r5, not null"),
    ({"config_version": "7", "objects": []}, 'config_version: must be a version such as r5, not "7"'),
    ({"config_version": "r7"}, "objects: is missing"),
    ({"config_version": "r7", "objects": {}}, "objects: must be a list, not an object"),
    (whole(7), "objects[0]: must be an object, not 7"),
    (whole({"metadata": {}}), "objects[0]: object_kind must be a non-empty string, not null"),
    (whole({"object_kind": "routes", "metadata": []}), "objects[0]: metadata must be an object, not a list"),
    (whole({"object_kind": "routes"}), "objects[0]: metadata must contain a name"),
    (
        whole({"object_kind": "services", "metadata": {"name": "s"}}),
        "objects[0]: specification must be an object, not null",
    ),
    (whole(route("r"), route("r", "/b/")), 'objects[1]: routes "r" is listed twice'),
    (whole(service("calm")), 'objects[1]: services "calm" is listed twice'),
    (whole(limits(), limits()), "objects[1]: limits are listed twice"),
    (whole(route("r", service="gone")), 'route "r": names the unknown service "gone"'),
    (whole(route("r", **split(("calm", 1), ("gone", 0)))), 'route "r": names the unknown service "gone"'),
    (whole(route("r"), route("s", host="ONE.example")), 'route "s": has the host and path_prefix of route "r"'),
    (whole(route("r", **split(("calm", 0), ("brisk", 0)))), 'route "r": the weights add up to 0'),
    (whole(route("r", **split())), 'route "r": the weights add up to 0'),
    (whole(route("r", **split(("calm", -1), ("brisk", 2)))), 'route "r": weight of "calm" is out of range: -1'),
    (whole(route("r", **split(("calm", "9")))), 'route "r": weight of "calm" must be a number, not "9"'),
    (whole(route("r", **split(("calm", True)))), 'route "r": weight of "calm" must be a number, not true'),
    (whole(route("r", service=...)), 'route "r": service or traffic_split is required'),
    (
        whole(route("r", traffic_split=[{"service": "calm", "weight": 1}])),
        'route "r": service and traffic_split are mutually exclusive',
    ),
    (whole(route("r", service=..., traffic_split="x")), 'route "r": traffic_split must be a list, not "x"'),
    (
        whole(route("r", service=..., traffic_split=["x"])),
        'route "r": each entry of traffic_split must be an object, not "x"',
    ),
    (whole(route("r", timeout="0ms")), 'route "r": timeout is 0'),
    (whole(route("r", timeout="0.0s")), 'route "r": timeout is 0'),
    (whole(route("r", timeout="600001ms")), 'route "r": timeout is over ten minutes: "600001ms"'),
    (whole(route("r", timeout=1000)), 'route "r": timeout must be a duration with the unit ms or s, not 1000'),
    (whole(route("r", timeout="-1s")), 'route "r": timeout must be a duration with the unit ms or s, not "-1s"'),
    (whole(route("r", timeout=...)), 'route "r": timeout is missing'),
    (whole(route("r", timeout="9" * 400 + "s")), 'route "r": timeout is too large'),
    (
        whole(route("r", timeout="300ms", target_latency="60300ms")),
        'route "r": target_latency exceeds the timeout by a minute or more: "60300ms"',
    ),
    (whole(route("r", prefix="a/")), 'route "r": path_prefix must start and end with a slash: "a/"'),
    (whole(route("r", prefix="/a")), 'route "r": path_prefix must start and end with a slash: "/a"'),
    (whole(route("r", route_type=7)), 'route "r": route_type must be a non-empty string, not 7'),
    (whole(route("r", public="yes")), 'route "r": public must be true or false, not "yes"'),
    (whole(route("r", hostname=...)), 'route "r": hostname is missing'),
    (whole(route("r", hostname=7)), 'route "r": hostname must be a non-empty string, not 7'),
    (whole(route("r", priority="1")), 'route "r": priority must be a whole number, not "1"'),
    (whole(route("r", priority=True)), 'route "r": priority must be a whole number, not true'),
    (whole(route("r", retry_count=1.5)), 'route "r": retry_count must be a whole number, not 1.5'),
    (whole(route("r", retry_count=-1)), 'route "r": retry_count must be at least 0, not -1'),
    (whole(route("r", retry_count=...)), 'route "r": retry_count is missing'),
    (whole(service("s", health_check="x")), 'service "s": health_check must start with a slash: "x"'),
    (whole(service("s", sharded="yes")), 'service "s": sharded must be true or false, not "yes"'),
    (whole(service("s", max_connections=None)), 'service "s": max_connections must be a whole number, not null'),
    (whole(service("s", prewarm="soon")), 'service "s": prewarm must be a duration with the unit ms or s, not "soon"'),
    (whole(limits(max_body_bytes=2**60)), f"limits: max_body_bytes is out of range: {2**60}"),
    (whole(limits(idle_timeout=15)), "limits: idle_timeout must be a duration with the unit ms or s, not 15"),
]


class Reading(unittest.TestCase):
    def test_each_mistake_has_one_line(self):
        for sent, line in WRONG:
            with self.subTest(line), self.assertRaises(InvalidConfigurationError) as caught:
                parse_configuration(sent)
            self.assertEqual(line, str(caught.exception))
            self.assertEqual(line, f"{caught.exception.location}: {caught.exception.mistake}")

    def test_edges_of_what_is_allowed(self):
        read = parse_configuration(
            whole(
                route("r", prefix="/", timeout="600s", target_latency="659999ms", priority=0.0, traffic_split=None),
                route("s", prefix="//", **split(("calm", 0.5), ("brisk", 0))),
                version="r0",
            )
        )
        self.assertEqual(Route("r", "one.example", "/", True, 600.0, 659.999, 0, (("calm", 1.0),), 2), read.routes["r"])
        self.assertEqual((("calm", 0.5),), read.routes["s"].splits)

    def test_fields_left_out_have_defaults(self):
        read = parse_configuration(whole(service("s", sharded=True, prewarm="3s"), limits(idle_timeout="1s")))
        self.assertEqual(
            {"calm": Service("calm"), "brisk": Service("brisk"), "s": Service("s", "/", 100, True, 3.0)}, read.services
        )
        self.assertEqual(Limits(idle_timeout=1.0), read.limits)

    def test_what_is_not_known_is_kept_and_has_no_effect(self):
        sent = whole(
            {"object_kind": "moons", "specification": [None]},
            route("r", colour={"deep": [1.0, True]}),
            limits() | {"extra": 1},
            note="spring",
        )
        read = parse_configuration(copy.deepcopy(sent))
        self.assertEqual(json.dumps(sent), json.dumps(to_document(read)))
        self.assertEqual(["r"], list(read.routes))

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


class Patching(unittest.TestCase):
    def setUp(self):
        self.base = parse_configuration(
            whole(route("a"), route("b", "/b/", service="brisk"), limits(idle_timeout="9s"), note=1)
        )

    def patch(self, *upsert, version="r3", **remove):
        return apply_patch(
            self.base, {"config_version": version, "upsert": {"objects": list(upsert)}, "remove": remove}
        )

    def test_replace_add_remove(self):
        made = self.patch(
            route("c", "/c/"), route("a", timeout="2s"), limits(), routes=["b", "never"], services=["brisk"]
        )
        self.assertEqual((3, ["a", "c"], ["calm"]), (made.version, list(made.routes), list(made.services)))
        self.assertEqual(2.0, made.routes["a"].timeout)
        self.assertEqual(Limits(), made.limits)
        self.assertEqual(made, parse_configuration(to_document(made)))
        self.assertEqual(1, to_document(made)["note"])
        self.assertEqual(["a", "b"], list(self.base.routes))

    def test_what_did_not_change_is_shared(self):
        made = self.patch(route("b", "/b/", service="brisk"), route("c", "/c/"))
        self.assertIs(self.base.routes["a"], made.routes["a"])
        self.assertIs(self.base.routes["b"], made.routes["b"])

    def test_removed_and_sent_at_once_stays(self):
        self.assertEqual(2.0, self.patch(route("a", timeout="2s"), routes=["a"]).routes["a"].timeout)
        self.assertEqual(Limits(), self.patch(limits=[""]).limits)

    def test_the_result_is_checked_whole(self):
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
        # Weight 0 names a service as well, also in a route that the patch leaves alone.
        self.base = self.patch(route("b", "/b/", **split(("calm", 1), ("brisk", 0))))
        with self.assertRaises(InvalidConfigurationError):
            self.patch(services=["brisk"])

    def test_shapes_of_patches(self):
        for patch, line in (
            ([], "patch: must be an object, not a list"),
            ({"config_version": "r3", "upsert": []}, "upsert: must be an object, not a list"),
            ({"config_version": "r3", "remove": []}, "remove: must be an object, not a list"),
            (
                {"config_version": "r3", "upsert": {"routes": []}},
                "patch: items to add or replace belong in upsert.objects",
            ),
            (whole(), "patch: items to add or replace belong in upsert.objects"),
        ):
            with self.subTest(line), self.assertRaises(InvalidConfigurationError) as caught:
                apply_patch(self.base, patch)
            self.assertEqual(line, str(caught.exception))
        self.assertEqual(self.base.routes, apply_patch(self.base, {"config_version": "r3"}).routes)


ITEMS = some.dictionaries(
    some.tuples(some.sampled_from(["routes", "services", "moons", "limits"]), some.sampled_from("abcd")),
    some.sampled_from([0, 1, True, 1.0, "x"]),
    max_size=12,
)


def _plain(items, version):
    made = {}
    for (kind, name), value in items.items():
        made[kind, "" if kind == "limits" else name] = {
            "object_kind": kind,
            "metadata": {"name": name},
            "specification": {"is": value},
        }
    return {"config_version": version, "objects": list(made.values())}


class Differences(unittest.TestCase):
    @given(ITEMS, ITEMS)
    @settings(max_examples=150, deadline=None, database=None)
    def test_a_difference_makes_the_new_of_the_old(self, old, new):
        old, new = _plain(old, "r1"), _plain(new, "r2")
        kept = json.dumps(old)
        if (patch := diff_documents(old, new)) is not None:
            self.assertEqual(json.dumps(new), json.dumps(apply_diff(old, patch)))
            self.assertLessEqual(len(patch["upsert"]["objects"]), len(new["objects"]))
        self.assertEqual(kept, json.dumps(old))

    def test_small_changes_travel_small(self):
        old = whole(*(route(f"r{n}", f"/{n}/") for n in range(50)), note=1)
        made = apply_patch(
            parse_configuration(old),
            {
                "config_version": "r2",
                "remove": {"routes": ["r7"]},
                "upsert": {"objects": [route("r9", "/9/", timeout="2s")]},
            },
        )
        patch = diff_documents(old, to_document(made))
        self.assertEqual(
            {
                "config_version": "r2",
                "remove": {"routes": ["r7"]},
                "upsert": {"objects": [route("r9", "/9/", timeout="2s")]},
            },
            patch,
        )
        self.assertEqual(made, parse_configuration(apply_diff(old, json.loads(json.dumps(patch)))))
        self.assertIsNone(diff_documents(old, whole(version="r2")))
        self.assertIsNone(diff_documents(old, old | {"note": 2}))
        self.assertIsNone(diff_documents(old, old | {"objects": old["objects"][::-1]}))


PARTS = some.lists(some.sampled_from(["a", "b", "%2F", ""]), max_size=4)
PREFIX = PARTS.map(lambda parts: "/" + "".join(part + "/" for part in parts))
HOST = some.sampled_from(["x", "X.example", "x.example", "y"])


class Looking(unittest.TestCase):
    @given(
        some.dictionaries(some.tuples(HOST, PREFIX), some.integers(), max_size=12),
        some.lists(some.tuples(HOST, PREFIX, some.sampled_from(["", "a", "a/b?/a/", "?a/", "?/"])), max_size=12),
    )
    @settings(max_examples=150, deadline=None, database=None)
    def test_as_each_in_turn(self, places, asked):
        routes = {}
        for number, (host, prefix) in enumerate(places):
            taken = [(canonical_host(one.hostname), one.path_prefix) for one in routes.values()]
            if (host.lower(), prefix) not in taken:
                routes[str(number)] = Route(str(number), host, prefix, True, 1.0, 1.0, 0, (("s", 1.0),), 1)
        index = RouteIndex(Configuration(1, routes, {}, Limits()))
        for host, start, end in asked:
            path = start + end
            fitting = [
                one
                for one in routes.values()
                if one.hostname.lower() == host.lower() and path.partition("?")[0].startswith(one.path_prefix)
            ]
            expected = max(fitting, key=lambda one: len(one.path_prefix), default=None)
            self.assertIs(expected, index.find(host.upper() + ".:81", path))
            self.assertIs(expected, index.find(host, path))

    def test_hosts(self):
        for host, plain in (
            ("A.b", "a.b"),
            ("a.b.", "a.b"),
            ("a.b:80", "a.b"),
            ("a.b.:80", "a.b"),
            ("", ""),
            ("[::1]:80", "[::1]"),
            ("[::A]", "[::a]"),
            ("[x", "[x"),
        ):
            self.assertEqual(plain, canonical_host(host))

    def test_odd_paths_find_nothing(self):
        index = RouteIndex(parse_configuration(whole(route("r", "/a/"))))
        for path in ("", "*", "a/", "/a", "/A/", "%2Fa/", "/a%2F", "?/a/"):
            self.assertIsNone(index.find("one.example", path))
        self.assertIsNone(index.find("two.example", "/a/"))
        self.assertEqual("r", index.find("one.example", "/a/" + "/" * 100_000).name)


def sent(value):
    return json.dumps(value).encode()


class Judging(unittest.TestCase):
    def setUp(self):
        self.current, self.history = None, ChangeHistory()

    def call(self, method, if_match, body):
        """Judge a call and, where it may be proposed, put it in force as the log would."""
        verdict = decide_change(
            self.current, self.history, method, if_match, body if type(body) is bytes else sent(body)
        )
        if verdict.status == 200 and not verdict.already_applied:
            self.assertEqual(verdict.base, self.current.version if self.current else 0)
            self.assertEqual(verdict.document, to_document(verdict.configuration))
            self.current = verdict.configuration
            self.history.record(verdict.version, verdict.digest)
        return verdict

    def refused(self, status, line, *call):
        verdict = self.call(*call)
        self.assertEqual((status, line), (verdict.status, verdict.message))
        self.assertIsNone(verdict.configuration)
        return verdict

    def test_first_next_and_patch(self):
        self.assertEqual(404, read_response(self.current)[0])
        self.assertEqual({"config_version": "r5"}, self.call("PUT", "0", whole(route("a"), version="r5")).body())
        self.assertEqual(200, self.call("PUT", '"r5"', whole(route("a"), version="r7")).status)
        patch = {"config_version": "r9", "upsert": {"objects": [route("b", "/b/")]}}
        self.assertEqual(200, self.call("PATCH", "r7", patch).status)
        self.assertEqual((200, to_document(self.current)), read_response(self.current))
        self.assertEqual(["a", "b"], list(self.current.routes))

    def test_the_same_call_again_is_taken_once(self):
        calls = [
            ("PUT", "r0", whole(route("a"), version="r2")),
            ("PATCH", "r2", {"config_version": "r3", "remove": {"routes": ["a"]}}),
            ("PUT", "r3", whole(version="r8")),
        ]
        for call in calls:
            self.assertFalse(self.call(*call).already_applied)
        self.history = ChangeHistory.from_dict(json.loads(json.dumps(self.history.to_dict())))
        for method, if_match, body in calls:
            again = json.dumps(dict(reversed(body.items())), indent=1).encode()
            verdict = self.call(method, if_match.removeprefix("r"), again)
            self.assertEqual((200, True, None), (verdict.status, verdict.already_applied, verdict.configuration))
            self.assertEqual({"config_version": body["config_version"]}, verdict.body())
        self.assertEqual(8, self.current.version)

    def test_nearly_the_same_is_not_the_same(self):
        self.call("PUT", "0", whole(route("a"), version="r2"))
        line = "built on r0, but r2 is current"
        verdict = self.refused(412, line, "PUT", "0", whole(route("a", priority=3), version="r2"))
        self.assertEqual({"error": line, "config_version": "r2"}, verdict.body())
        self.refused(412, line, "PUT", "0", whole(route("a"), version="r3"))
        self.refused(412, line, "PATCH", "0", {"config_version": "r2"})
        # The text of the current version, but built on itself: its version does not rise.
        self.refused(
            400, "config_version: r2 is not above the current r2", "PUT", "r2", whole(route("a"), version="r2")
        )

    def test_one_of_two_wins(self):
        self.call("PUT", "0", whole(version="r2"))
        one, two = whole(route("a"), version="r4"), whole(route("b"), version="r4")
        self.assertEqual(200, self.call("PUT", "r2", one).status)
        self.refused(412, "built on r2, but r4 is current", "PUT", "r2", two)
        self.assertTrue(self.call("PUT", "r2", one).already_applied)

    def test_wrong_calls(self):
        missing = "If-Match: is missing; it names the version that the change is based on, 0 for the first"
        good = whole(version="r3")
        self.refused(400, missing, "PUT", None, good)
        for text in ("", "*", "r", "r5, r6", 'W/"r5"', '"r5', "r-5", "5r", "r\u0665"):
            self.refused(
                400, f"If-Match: must be a version such as r5, or 0, not {json.dumps(text)}", "PUT", text, good
            )
        for body, line in (
            (b"", "body: not JSON at line 1, column 1"),
            (sent(good)[:-1], f"body: not JSON at line 1, column {len(sent(good))}"),
            (b'{\n "a" 1}', "body: not JSON at line 2, column 6"),
            (b'{"a":"\xff"}', "body: not UTF-8 at byte 7"),
            (json.dumps(good).encode("utf-16"), "body: not UTF-8 at byte 1"),
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
            (whole(version="r0"), "config_version: r0 is not above the current r0"),
            (whole(route("a", service="gone"), version="r1"), 'route "a": names the unknown service "gone"'),
        ):
            with self.subTest(line):
                self.refused(400, line, "PUT", "0", body)
        self.refused(
            413,
            f"body: larger than {change_requests.MAX_BODY_BYTES} bytes",
            "PUT",
            "0",
            b" " * (change_requests.MAX_BODY_BYTES + 1),
        )
        self.refused(412, "built on r1, but r0 is current", "PUT", "r1", good)
        self.assertEqual("\U0001f600", parse_json(b'"\\ud83d\\ude00"'))

    def test_history_is_bounded(self):
        last = MAX_REMEMBERED + 135
        for version in range(1, last + 1):
            self.history.record(version, str(version))
        self.assertEqual(MAX_REMEMBERED, len(self.history.versions))
        self.assertTrue(self.history.contains(last, str(last)))
        self.assertFalse(self.history.contains(last - MAX_REMEMBERED, str(last - MAX_REMEMBERED)))


ANY = some.recursive(
    some.none()
    | some.booleans()
    | some.integers()
    | some.floats()
    | some.text(max_size=8)
    | some.sampled_from(["1s", "/a/", "calm", "routes", "r9"]),
    lambda inner: some.lists(inner, max_size=4) | some.dictionaries(some.text(max_size=5), inner, max_size=4),
    max_leaves=8,
)


class Growing(unittest.TestCase):
    """What is agreed on and told grows with the change, not with the configuration."""

    def sizes(self, routes):
        """Bytes of the log's entry and of the news to an edge when one route of so many changes."""
        state, board, view = ReplicatedState(), ViewPublisher("b"), ClusterView()
        base = sizes.made(routes, max(1, routes // 100))
        state.apply(1, {"do": "configure", "base": 0, "version": 1, "digest": "0", "document": base})
        board.set_config(1, to_document(state.configuration))
        view.apply(1.0, board.changes_since(view.positions(), 1.0))
        route = copy.deepcopy(base["objects"][1])
        route["specification"]["timeout"] = "1002ms"
        patch = json.dumps({"config_version": "r2", "upsert": {"objects": [route]}}).encode()
        verdict = decide_change(state.configuration, ChangeHistory(), "PATCH", "1", patch)
        less = diff_documents(to_document(state.configuration), verdict.document)
        command = {"do": "configure", "base": 1, "version": 2, "digest": "2", "difference": less}
        self.assertEqual(state.apply(2, command)[0], "done")
        board.set_config(2, to_document(state.configuration))
        return len(json.dumps(command)), len(json.dumps(board.changes_since(view.positions(), 1.0)))

    def test_a_change_of_one_route_stays_small(self):
        for few, many in zip(self.sizes(3), self.sizes(300)):
            self.assertLess(many, 1.2 * few)

    def test_an_order_too_large_for_a_cores_disk_is_refused_unless_it_was_taken(self):
        base = sizes.made(30, 1)
        body = json.dumps(base).encode()
        self.assertEqual(decide_change(None, ChangeHistory(), "PUT", "0", body, len(body)).status, 200)
        refused = decide_change(None, ChangeHistory(), "PUT", "0", body, len(body) - 1)
        self.assertEqual((refused.status, "\n" in refused.message), (413, False))
        taken = ChangeHistory()
        taken.record(1, decide_change(None, ChangeHistory(), "PUT", "0", body).digest)
        self.assertTrue(
            decide_change(parse_configuration(base), taken, "PUT", "0", body, len(body) - 1).already_applied
        )
        added = json.dumps({"config_version": "r2", "upsert": {"objects": [route("one more", service="a")]}}).encode()
        whole = decide_change(parse_configuration(base), taken, "PATCH", "1", added).document
        most = len(json.dumps(whole, separators=(",", ":")))
        for limit, status in ((most, 200), (most - 1, 413)):
            self.assertEqual(decide_change(parse_configuration(base), taken, "PATCH", "1", added, limit).status, status)


class Fuzzing(unittest.TestCase):
    """Whatever is sent, an answer comes, and what is taken reads back as it was sent."""

    base = parse_configuration(whole(route("a"), version="r1"))

    def judged(self, method, if_match, body):
        verdict = decide_change(self.base, ChangeHistory(), method, if_match, body)
        self.assertIn(verdict.status, (200, 400, 412))
        self.assertTrue(verdict.message.isprintable() and verdict.message.isascii() and len(verdict.message) < 400)
        if verdict.status == 200:
            text = json.dumps(verdict.document, allow_nan=False, ensure_ascii=False).encode()
            self.assertEqual(verdict.configuration, parse_configuration(json.loads(text)))
            RouteIndex(verdict.configuration)
        return verdict

    @given(some.sampled_from(["PUT", "PATCH"]), some.text(max_size=6) | some.just("r1"), some.binary(max_size=40))
    @settings(max_examples=200, deadline=None, database=None)
    def test_bytes(self, method, if_match, body):
        self.judged(method, if_match, body)

    @given(some.sampled_from(["PUT", "PATCH"]), some.data())
    @settings(max_examples=300, deadline=None, database=None)
    def test_one_place_changed(self, method, data):
        value = whole(
            route("a", extra=1),
            route("b", "/b/", **split(("calm", 1), ("brisk", 2))),
            service("s", health_check="/h", max_connections=3, sharded=True, prewarm="1s"),
            limits(max_header_bytes=1, max_body_bytes=1, header_timeout="1s", idle_timeout="1s"),
            version="r2",
        )
        if method == "PATCH":
            value = {"config_version": "r2", "upsert": {"objects": value["objects"][:4]}, "remove": {"routes": ["z"]}}
        at = value
        while True:
            key = data.draw(some.sampled_from(sorted(at)) if type(at) is dict else some.integers(0, len(at) - 1))
            if type(at[key]) not in (dict, list) or not at[key] or data.draw(some.booleans()):
                break
            at = at[key]
        if data.draw(some.booleans()):
            at[key] = data.draw(ANY)
        else:
            del at[key]
        self.judged(method, "r1", sent(value))


class Page(unittest.TestCase):
    """The page for operators agrees with the code."""

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

    def test_links_hold(self):
        def links(value):
            if isinstance(value, dict):
                for name, inner in value.items():
                    yield from [inner] if name == "$ref" else links(inner)
            elif isinstance(value, list):
                for inner in value:
                    yield from links(inner)

        for link in links(self.page):
            at = self.page
            for part in link.removeprefix("#/").split("/"):
                at = at[part]

    def test_fields(self):
        renamed = {"splits": "traffic_split", "idempotent": "route_type", "keyed": "route_type"}
        renamed |= {"deduplicates": "idempotent"}
        for name, made in (("Route", Route), ("Service", Service), ("Tenant", Tenant), ("Limits", Limits)):
            fields = {renamed.get(field.name, field.name) for field in dataclasses.fields(made)} - {"name"}
            self.assertEqual(fields | ({"service"} if made is Route else set()), set(self.schemas[name]["properties"]))
            for field in dataclasses.fields(made):
                told = self.schemas[name]["properties"].get(renamed.get(field.name, field.name), {})
                if "default" in told:
                    default = list(field.default) if isinstance(field.default, tuple) else field.default
                    self.assertEqual(default, told["default"])

    def test_required_fields_are_those_of_the_code(self):
        told = set(self.schemas["Route"]["required"])
        for name in route("a")["specification"]:
            with self.subTest(name):
                try:
                    parse_configuration(whole(route("a", **{name: ...})))
                    missed = False
                except InvalidConfigurationError:
                    missed = True
                self.assertEqual(name in told | {"service"}, missed)

    def test_answers(self):
        verdict = change_requests.Decision(412, "x", 3)
        for name, body in (
            ("Taken", change_requests.Decision(200, "x", version=3).body()),
            ("OtherVersion", verdict.body()),
            ("Error", change_requests.Decision(400, "x").body()),
            ("Error", read_response(None)[1]),
        ):
            self.assertEqual(set(self.schemas[name]["required"]), set(body))
        self.assertEqual(set(self.schemas["Configuration"]["required"]), set(whole()))


if __name__ == "__main__":
    unittest.main()
