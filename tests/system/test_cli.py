"""The operators' command line: `check`, `diff`, `export`, `import`, `status` and `explain`.

`check` reports every mistake with its place, `diff` compares by meaning, `export` writes nothing into the data folder,
and `import` applies a configuration as a whole in spite of lost answers and redirects.
"""

import asyncio
import contextlib
import copy
import hashlib
import io
import json
import pathlib
import tempfile
import unittest
from unittest import mock

import yaml

from knotwalk.cli import __main__ as cli, check, configuration_client, rendering
from knotwalk.cli.compare import differences
from knotwalk.configuration.change_requests import ChangeHistory, decide_change, read_response
from knotwalk.configuration.documents import parse_configuration, to_document
from knotwalk.consensus.machine import Machine
from knotwalk.consensus.raft_types import Entry, RaftSettings, Save, StoredState
from knotwalk.consensus.store import Store, StoreError, read
from knotwalk.control_plane import status_report
from knotwalk.control_plane.replicated_state import ReplicatedState
from knotwalk.discovery.loads import LoadReports
from knotwalk.discovery.view_publisher import ViewPublisher
from knotwalk.discovery.view_types import SLICE_WIDTH, Node
from knotwalk.leases.ledger import SLICE_COUNT
from knotwalk.runtime.errors import PeerError
from tests.standins.documents import FIRST, route, service

PEERS_OPENAPI = pathlib.Path(__file__).parents[2] / "openapi" / "peers.yaml"
SETTINGS = {
    "node_name": "core-1",
    "serves": ["control_plane"],
    "ip_address": "10.0.0.1",
    "data_dir": "/data",
    "listen_addresses": {"control": "10.0.0.1:80"},
    "seed_nodes": ["10.0.0.1:80"],
    "cloud_api": {"address": "10.9.0.1:80"},
}


def run(*arguments):
    """Run a command: its exit code, standard output and standard error."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err), mock.patch("sys.argv", ["cli", *arguments]):
        try:
            cli.main()
            code = 0
        except SystemExit as error:
            code = error.code
    return code, out.getvalue(), err.getvalue()


class FileCase(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def write_file(self, value, name="file.json"):
        path = self.folder / name
        path.write_text(value if isinstance(value, str) else json.dumps(value))
        return str(path)


class Check(FileCase):
    def test_every_mistake_of_a_configuration_is_reported_and_none_causes_another(self):
        wrong = copy.deepcopy(FIRST) | {"config_version": "3"}
        wrong["objects"][0]["specification"]["timeout"] = "0s"
        wrong["objects"][3]["specification"]["sharded"] = "yes"  # the routes to it are still valid
        wrong["objects"][5]["specification"]["idle_timeout"] = 3
        wrong["objects"] += [route("more", "/desk/", "nobody"), 7, {"object_kind": "routes", "specification": {}}]
        code, out, _ = run("check", self.write_file(wrong))
        self.assertEqual(
            (code, sorted(out.splitlines())),
            (
                1,
                [
                    'config_version: must be a version such as r5, not "3"',
                    "limits: idle_timeout must be a duration with the unit ms or s, not 3",
                    "objects[7]: must be an object, not 7",
                    "objects[8]: metadata must contain a name",
                    'route "frames": timeout is 0',
                    'route "more": names the unknown service "nobody"',
                    'service "tiles": sharded must be true or false, not "yes"',
                ],
            ),
        )

    def test_every_mistake_of_a_settings_file_is_reported(self):
        wrong = SETTINGS | {
            "seed_nodes": ["nowhere"],
            "limits": {"memory_mb": "much"},
            "heartbeat": 3,
            "internal_port_range": [9, 3],
            "data_dir": None,
            "listen_addresses": {},
            "unknown": 1,
        }
        code, out, _ = run("check", self.write_file(wrong))
        self.assertEqual(code, 1)
        self.assertEqual(
            {line.partition(":")[0] for line in out.splitlines()},
            {
                "seed_nodes[0]",
                "limits.memory_mb",
                "heartbeat",
                "internal_port_range",
                "data_dir",
                "listen_addresses.control",
            },
        )

    def test_valid_files_malformed_files_and_a_missing_file(self):
        self.assertEqual(
            run("check", self.write_file(FIRST))[:2], (0, "configuration r3: 3 routes, 2 services: good\n")
        )
        self.assertEqual(run("check", self.write_file(SETTINGS))[0], 0)
        for text, mistake in (
            ("{", "not JSON at line 1, column 2"),
            ('{"a":1,"a":2}', 'the field "a" appears twice'),
            ("[]", "the file must hold a JSON object"),
            ('{"objects":3}', "config_version"),
        ):
            code, out, _ = run("check", self.write_file(text))
            self.assertEqual(code, 1)
            self.assertIn(mistake, out)
        code, out, err = run("check", str(self.folder / "none"))
        self.assertEqual((code, out), (2, ""))
        self.assertIn("No such file", err)
        self.assertEqual(run("check")[0], 2)

    def test_json_output(self):
        code, out, _ = run("check", "--json", self.write_file({"config_version": "r1", "objects": [7]}))
        self.assertEqual(
            (code, json.loads(out)["mistakes"]), (1, [{"place": "objects[0]", "mistake": "must be an object, not 7"}])
        )

    def test_mistakes_are_an_exception_group_of_bounded_size(self):
        with self.assertRaises(ExceptionGroup) as caught:
            check.check_configuration({"config_version": "r1", "objects": [7] * 1000})
        self.assertEqual(len(caught.exception.exceptions), check.MAX_MISTAKES)


class Diff(FileCase):
    def test_configurations_of_the_same_meaning_have_no_difference(self):
        same = copy.deepcopy(FIRST) | {"config_version": "r9"}
        same["objects"].reverse()
        for item in same["objects"]:
            if item["metadata"].get("name") == "frames":
                item["specification"] |= {"timeout": "60000ms", "hostname": "Tiles.Example."}
                service = item["specification"].pop("service")
                item["specification"]["traffic_split"] = [{"service": service, "weight": 7}]
        self.assertEqual(
            run("diff", self.write_file(FIRST), self.write_file(same, "new.json")), (0, "the same in meaning\n", "")
        )

    def test_every_kind_of_difference_is_listed(self):
        new = copy.deepcopy(FIRST) | {"config_version": "r9"}
        frames, signup, desk, tiles, _, limits = (item["specification"] for item in new["objects"])
        frames["traffic_split"] = [{"service": frames.pop("service"), "weight": 9}, {"service": "desk", "weight": 1}]
        signup |= {"timeout": "900ms", "route_type": "idempotent", "service": "desk"}
        new["objects"][2]["metadata"]["name"] = "office"
        tiles |= {"max_connections": 7}
        limits |= {"idle_timeout": "9s"}
        new["objects"] += [route("more", "/more/", "third"), service("third")]
        old = copy.deepcopy(FIRST)
        old["objects"].append(route("gone", "/gone/", "desk"))
        code, out, _ = run("diff", self.write_file(old), self.write_file(new, "new.json"))
        self.assertEqual(
            (code, out.splitlines()),
            (
                1,
                [
                    "~ route desk renamed: office",
                    "~ route frames split: tiles -> tiles 90%, desk 10%",
                    "- route gone removed: tiles.example/gone/ -> desk (idempotent, timeout 60s)",
                    "+ route more added: tiles.example/more/ -> third (idempotent, timeout 60s)",
                    "~ route signup changed: may be repeated",
                    "~ route signup moved: tiles -> desk",
                    "~ route signup timeouts: timeout 60s -> 900ms",
                    "+ service third added: health_check /health, max_connections 130, sharded false, prewarm 0ms, "
                    "idempotent false",
                    "~ service tiles changed: max_connections 130 -> 7",
                    "~ limits changed: idle_timeout 15s -> 9s",
                ],
            ),
        )
        code, out, _ = run("diff", self.write_file(old), self.write_file(new, "new.json"), "--json")
        self.assertEqual((code, len(json.loads(out)["differences"])), (1, 10))
        reverse = differences(parse_configuration(new), parse_configuration(old))
        self.assertEqual(
            [(item.what, item.name) for item in reverse if item.what in ("added", "removed")],
            [("added", "gone"), ("removed", "more"), ("removed", "third")],
        )

    def test_an_invalid_configuration_is_not_compared(self):
        code, out, err = run("diff", self.write_file(FIRST), self.write_file({"config_version": "r1"}, "new.json"))
        self.assertEqual((code, out), (2, ""))
        self.assertIn("new.json: objects: is missing", err)


def configure(base, document, digest="d"):
    return {
        "do": "configure",
        "base": base,
        "version": int(document["config_version"][1:]),
        "digest": digest,
        "document": document,
    }


class Export(FileCase):
    def store(self, saves):
        store = Store()
        store.open(self.folder / "data", True, "a:1", {"a:1#founder": "a:1"})
        for save in saves:
            store.write(save)
        return store

    def contents(self):
        return {path.name: hashlib.sha256(path.read_bytes()).hexdigest() for path in (self.folder / "data").iterdir()}

    def test_exports_the_newest_configuration_and_writes_nothing_even_while_the_core_runs(self):
        state = ReplicatedState()
        state.apply(1, configure(0, FIRST))
        second = FIRST | {"config_version": "r8"}
        store = self.store(
            [
                Save(1, 3, None, [Entry(1, 3, "command", configure(0, FIRST))], None, None),
                Save(2, 3, None, [], None, (1, 3, {"a:1#founder": "a:1"}, state.to_dict())),
                Save(
                    3, 3, None, [Entry(2, 3, "noop", {}), Entry(3, 3, "command", configure(3, second, "e"))], None, None
                ),
            ]
        )
        before = self.contents()
        self.assertIn("logbook.sqlite-wal", before)  # the last writes are only there
        code, out, err = run("export", str(self.folder / "data"))
        self.assertEqual((code, json.loads(out)), (0, second))
        self.assertIn("r8 of a:1#founder, log to entry 3 of term 3; surely agreed on: r3", err)
        exported = json.loads(run("export", str(self.folder / "data"), "--json")[1])
        self.assertEqual(
            (exported["config_version"], exported["sure"], exported["last"], exported["snapshot"]), ("r8", "r3", 3, 1)
        )
        self.assertEqual(self.contents(), before)
        store.close()
        self.assertEqual(read(self.folder / "data").me, "a:1#founder")

    def test_a_folder_without_a_configuration_without_a_log_and_with_a_damaged_log(self):
        self.store([]).close()
        self.assertEqual(run("export", str(self.folder / "data"))[:2], (1, ""))
        code, _, err = run("export", str(self.folder))
        self.assertEqual(code, 2)
        self.assertIn("is not there", err)
        file = self.folder / "data" / "logbook.sqlite"
        file.write_bytes(file.read_bytes()[:3000] + b"\0" * 3000)
        with self.assertRaises(StoreError) as caught:
            read(self.folder / "data")
        self.assertEqual(caught.exception.path, file)  # and not that of the temporary copy
        self.assertEqual(run("export", str(self.folder / "data"))[0], 2)


class FakeHttpClient:
    """Replaces HttpClient: a leader at l:1 that decides on changes with the real code, and a follower at f:1.

    Each call to the leader takes one of `faults`: an exception to raise, a status to answer, a function to run on this
    object before the call, "lost" for an answer lost after the call took effect, or None.
    """

    def __init__(self, *faults):
        self.configuration, self.history, self.faults, self.calls = None, ChangeHistory(), list(faults), []

    async def send(self, method, url, body=None, timeout_s=0, step="", headers=None):
        self.calls.append((method, url.split("/")[2], (headers or {}).get("If-Match")))
        if url.startswith("http://f:1"):  # a follower
            return 307, {"location": "http://l:1/configuration"}, b""
        fault = self.faults.pop(0) if self.faults else None
        if isinstance(fault, Exception):
            raise fault
        if isinstance(fault, int):
            return fault, {}, b"{}"
        if callable(fault):
            fault(self)
        if method == "GET":
            status, response = read_response(self.configuration)
            return status, {}, json.dumps(response).encode()
        decision = decide_change(
            self.configuration, self.history, method, headers["If-Match"], json.dumps(body).encode()
        )
        if decision.status == 200 and not decision.already_applied:
            self.configuration = decision.configuration
            self.history.record(decision.version, decision.digest)
        if fault == "lost":
            raise PeerError("configuration", url, "no answer")
        return decision.status, {}, json.dumps(decision.body()).encode()

    async def close(self):
        pass


class Import(FileCase):
    def run_import(self, client, *arguments):
        with (
            mock.patch.object(cli, "HttpClient", lambda: client),
            mock.patch.object(configuration_client, "RETRY_DELAY_S", 0),
            mock.patch.object(
                cli,
                "ConfigurationClient",
                lambda address, http_client: configuration_client.ConfigurationClient(address, http_client, 0),
            ),
        ):
            return run("import", *arguments)

    def test_a_configuration_is_applied_once_and_as_a_whole_in_spite_of_lost_answers(self):
        client, second = FakeHttpClient(), FIRST | {"config_version": "r8", "objects": FIRST["objects"][1:]}
        file, after = self.write_file(FIRST), self.write_file(second, "second.json")
        code, out, err = self.run_import(client, file, "l:1")
        self.assertEqual((code, client.configuration, {call[0] for call in client.calls}), (0, None, {"GET"}))
        self.assertIn("r3 would be sent on top of r0", out)
        self.assertIn("--apply", err)
        client.faults = [503, None, "lost", PeerError("configuration", "l:1", "cut")]
        self.assertEqual(self.run_import(client, file, "f:1", "--apply")[0], 0)
        self.assertEqual((to_document(client.configuration), len(client.history.versions)), (FIRST, 1))
        self.assertEqual(self.run_import(client, file, "l:1", "--apply"), (0, "r3 is in force already\n", ""))
        code, out, _ = self.run_import(client, after, "f:1", "--apply")
        self.assertEqual((code, out.splitlines()[0][:22]), (0, "- route frames removed"))
        self.assertIn("r8 is in force", out)
        code, _, err = self.run_import(client, file, "l:1", "--apply")
        self.assertEqual(
            (code, err), (1, "cli: config_version: r3 is not above r8, which is in force; --version gives it another\n")
        )
        self.assertEqual(self.run_import(client, file, "l:1", "--version", "r11", "--apply")[0], 0)
        self.assertEqual(to_document(client.configuration), FIRST | {"config_version": "r11"})
        self.assertEqual(self.run_import(client, file, "l:1", "--version", "11", "--apply")[0], 2)

    def test_a_refusal_is_reported_in_one_line_and_changes_nothing(self):
        def apply_other_configuration(client):
            client.configuration = parse_configuration(FIRST | {"config_version": "r5"})

        client, file = (
            FakeHttpClient(None, apply_other_configuration),
            self.write_file(FIRST | {"config_version": "r9"}),
        )
        code, out, err = self.run_import(client, file, "l:1", "--apply")
        self.assertEqual((code, err), (1, "cli: r9 was refused, nothing has changed: built on r0, but r5 is current\n"))
        self.assertEqual(client.configuration.version, 5)
        with mock.patch.object(
            FakeHttpClient,
            "send",
            side_effect=[(404, {}, b"{}"), (400, {}, b'{"error": "route \\"frames\\": timeout is 0"}')],
        ):
            code, _, err = self.run_import(FakeHttpClient(), file, "l:1", "--apply")
        self.assertEqual((code, err.partition("changed: ")[2]), (1, 'route "frames": timeout is 0\n'))
        wrong = copy.deepcopy(FIRST)
        wrong["objects"][0]["specification"] |= {"timeout": "0s"}
        client = FakeHttpClient()
        self.assertEqual(
            self.run_import(client, self.write_file(wrong), "l:1", "--apply")[:2], (1, 'route "frames": timeout is 0\n')
        )
        self.assertEqual(client.calls, [])
        code, _, err = self.run_import(FakeHttpClient(*[503] * 99), self.write_file(FIRST), "l:1", "--apply")
        self.assertEqual((code, "no clear answer" in err), (2, True))
        altering = FakeHttpClient(
            None,
            None,
            lambda client: setattr(
                client, "configuration", parse_configuration(FIRST | {"objects": FIRST["objects"][1:]})
            ),
        )
        self.assertIn("reads back otherwise", self.run_import(altering, self.write_file(FIRST), "l:1", "--apply")[2])

    def test_a_history_is_imported_into_an_empty_system_only(self):
        store = Store()
        store.open(self.folder / "data", True, "a:1", {"a:1#founder": "a:1"})
        second = FIRST | {"config_version": "r8", "objects": FIRST["objects"][1:]}
        store.write(
            Save(
                1,
                1,
                None,
                [
                    Entry(1, 1, "command", configure(0, FIRST)),
                    Entry(2, 1, "noop", {}),
                    Entry(3, 1, "command", configure(3, second, "e")),
                ],
                None,
                None,
            )
        )
        store.close()
        text = run("export", str(self.folder / "data"), "--json")[1]
        self.assertEqual(
            [(version["config_version"], version["config_order"]) for version in json.loads(text)["history"]],
            [("r3", 1), ("r8", 3)],
        )
        client, file = FakeHttpClient(), self.write_file(text)
        self.assertEqual(self.run_import(client, file, "l:1", "--history", "--apply")[0], 0)
        self.assertEqual((to_document(client.configuration), sorted(client.history.versions)), (second, [3, 8]))
        client = FakeHttpClient()
        self.assertEqual(self.run_import(client, file, "l:1", "--apply")[0], 0)
        self.assertEqual((to_document(client.configuration), sorted(client.history.versions)), (second, [8]))
        self.assertEqual(self.run_import(client, file, "l:1", "--history", "--apply")[0], 1)
        self.assertEqual(self.run_import(client, self.write_file(FIRST), "l:1", "--history", "--apply")[0], 2)


class StatusAndExplain(unittest.TestCase):
    """A core's answers to `status` and `explain` match openapi/peers.yaml and are rendered."""

    def setUp(self):
        self.state, self.view_publisher, self.loads = ReplicatedState(), ViewPublisher("e"), LoadReports()
        self.state.apply(1, configure(0, FIRST))
        self.state.apply(2, {"do": "lease", "to": "a:1#founder", "slices": {"tiles": [[0, 99]]}})
        self.state.apply(3, {"do": "move", "by": "a:1#founder", "moves": [["tiles", 0, 9, 0, "i-1"]]})
        self.state.apply(4, {"do": "granted", "by": "a:1#founder", "fence": 3, "slices": {"tiles": [[0, 4]]}})
        self.view_publisher.set_nodes((1, 1), {"i-1": Node("i-1", "tiles", ("10.0.0.9", 80), "z", 2)})
        self.machine = Machine(
            StoredState("a:1#founder", members={"a:1#founder": "a:1", "b:1#founder": "b:1"}), RaftSettings(), 1, 0.0
        )

    def status(self, fresh=True):
        self.loads.edges = {"e-1": 99.0, "e-2": 98.5, "e-3": 99.5, "e-old": 80.0}
        edge_calls = {
            "e-1": (99.0, "e", self.view_publisher.revision),
            "e-2": (98.5, "e", self.view_publisher.revision - 1),
        }
        return status_report.status(
            100.0, "a:1#founder", self.machine, self.state, self.view_publisher, self.loads, fresh, edge_calls
        )

    def assert_matches_schema(self, name, answer):
        schema = yaml.safe_load(PEERS_OPENAPI.read_text())["components"]["schemas"][name]
        self.assertEqual(set(answer), set(schema["required"]))
        self.assertLessEqual(set(answer), set(schema["properties"]))

    def test_status(self):
        status = self.status()
        self.assert_matches_schema("Status", status)
        self.assertEqual(
            status["edges"],
            [
                {"edge": "e-1", "ago": 1.0, "current": True},
                {"edge": "e-2", "ago": 1.5, "current": False},
                {"edge": "e-3", "ago": 0.5},
            ],
        )
        self.assertEqual(status["leases"], {"tiles": {"": SLICE_COUNT - 100, "a:1#founder": 100}})
        self.assertEqual(status["changing_hands"], {"tiles": SLICE_COUNT - 5})
        self.assertEqual((status["config_version"], status["config_order"]), ("r3", 1))
        self.assertEqual(json.loads(json.dumps(status)), status)
        self.assertIn("e-old", self.loads.edges)  # the call has changed nothing

    def test_explain(self):
        answer = status_report.explain(
            100.0, self.state, self.view_publisher, "tiles.example:80", "/frames/7?x=/desk/", 3 * SLICE_WIDTH
        )
        self.assert_matches_schema("Explained", answer)
        assignment = answer["services"][0]["line"]
        self.assertEqual(
            (
                answer["route"]["name"],
                assignment["slice"],
                assignment["owner"],
                assignment["open"],
                assignment["fence"],
            ),
            ("frames", 3, "i-1", True, 3),
        )
        self.assertIn("owner i-1, at 10.0.0.9:80 in z", "\n".join(rendering.render_explanation(answer)))
        changing = status_report.explain(
            100.0, self.state, self.view_publisher, "tiles.example", "/frames/", 9 * SLICE_WIDTH
        )
        self.assertIn("changes hands", "\n".join(rendering.render_explanation(changing)))
        unplaced = status_report.explain(100.0, self.state, self.view_publisher, "tiles.example", "/frames/", 65535)
        self.assertIn("owner nobody, not placed yet", "\n".join(rendering.render_explanation(unplaced)))
        self.assertIsNone(
            status_report.explain(100.0, self.state, self.view_publisher, "tiles.example", "/", 3)["route"]
        )
        self.assertEqual(
            rendering.render_explanation(
                status_report.explain(0.0, ReplicatedState(), self.view_publisher, "h", "/", None)
            ),
            ["no configuration has been taken yet"],
        )

    def test_exit_codes_follow_the_answers(self):
        def run_with_answer(answer, *arguments):
            with mock.patch.object(cli, "call_core", lambda *call: calls.append(call) or answer):
                return run(*arguments)

        calls = []
        code, out, _ = run_with_answer(self.status(), "status", "10.0.0.1:7660")
        self.assertEqual((code, calls), (0, [("10.0.0.1:7660", "status", {})]))
        self.assertIn("edge e-2: is behind the board, heard of 1.5s ago", out)
        self.assertEqual(run_with_answer(self.status(fresh=False), "status", "x:1")[0], 1)
        self.assertEqual(json.loads(run_with_answer(self.status(), "status", "x:1", "--json")[1]), self.status())
        self.assertEqual(run_with_answer({"me": "other"}, "status", "x:1")[0], 2)
        no_route = status_report.explain(0.0, self.state, self.view_publisher, "h", "/", None)
        calls.clear()
        self.assertEqual(
            run_with_answer(no_route, "explain", "x:1", "1.10", "/", "--key", "7")[:2],
            (1, "r3: no route; an edge answers 404\n"),
        )
        self.assertEqual(calls, [("x:1", "explain", {"host": "1.10", "path": "/", "key": 7})])
        self.assertEqual(run_with_answer(no_route, "explain", "x:1", "h", "/", "--key", "much")[0], 2)

    def test_a_core_that_does_not_answer(self):
        async def unused_port():
            server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            server.close()
            return port

        code, out, err = run("status", f"127.0.0.1:{asyncio.run(unused_port())}")
        self.assertEqual((code, out), (2, ""))
        self.assertIn("cli: status, http://127.0.0.1", err)


if __name__ == "__main__":
    unittest.main()
