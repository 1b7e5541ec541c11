"""The operators' command line: every mistake with its place, differences in meaning, exports that write nothing."""

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

STATIONS = pathlib.Path(__file__).parents[2] / "openapi" / "peers.yaml"
SETTINGS = {
    "node_name": "core-1",
    "serves": ["control_plane"],
    "ip_address": "10.0.0.1",
    "data_dir": "/data",
    "listen_addresses": {"control": "10.0.0.1:80"},
    "seed_nodes": ["10.0.0.1:80"],
    "cloud_api": {"address": "10.9.0.1:80"},
}


def run(*given):
    """The command: its exit code, what it printed, what it said on standard error."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err), mock.patch("sys.argv", ["cli", *given]):
        try:
            cli.main()
            code = 0
        except SystemExit as end:
            code = end.code
    return code, out.getvalue(), err.getvalue()


class FileCase(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def file(self, value, name="file.json"):
        path = self.folder / name
        path.write_text(value if isinstance(value, str) else json.dumps(value))
        return str(path)


class Check(FileCase):
    def test_every_mistake_of_a_configuration_is_told_and_none_brings_on_another(self):
        wrong = copy.deepcopy(FIRST) | {"config_version": "3"}
        wrong["objects"][0]["specification"]["timeout"] = "0s"
        wrong["objects"][3]["specification"]["sharded"] = "yes"  # routes still name it
        wrong["objects"][5]["specification"]["idle_timeout"] = 3
        wrong["objects"] += [route("more", "/desk/", "nobody"), 7, {"object_kind": "routes", "specification": {}}]
        code, out, _ = run("check", self.file(wrong))
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

    def test_every_mistake_of_a_settings_file(self):
        wrong = SETTINGS | {
            "seed_nodes": ["nowhere"],
            "limits": {"memory_mb": "much"},
            "heartbeat": 3,
            "internal_port_range": [9, 3],
            "data_dir": None,
            "listen_addresses": {},
            "unknown": 1,
        }
        code, out, _ = run("check", self.file(wrong))
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

    def test_what_is_good_and_what_is_no_such_file(self):
        self.assertEqual(run("check", self.file(FIRST))[:2], (0, "configuration r3: 3 routes, 2 services: good\n"))
        self.assertEqual(run("check", self.file(SETTINGS))[0], 0)
        for text, mistake in (
            ("{", "not JSON at line 1, column 2"),
            ('{"a":1,"a":2}', 'the field "a" appears twice'),
            ("[]", "the file must hold a JSON object"),
            ('{"objects":3}', "config_version"),
        ):
            code, out, _ = run("check", self.file(text))
            self.assertEqual(code, 1)
            self.assertIn(mistake, out)
        code, out, err = run("check", str(self.folder / "none"))
        self.assertEqual((code, out), (2, ""))
        self.assertIn("No such file", err)
        self.assertEqual(run("check")[0], 2)

    def test_json(self):
        code, out, _ = run("check", "--json", self.file({"config_version": "r1", "objects": [7]}))
        self.assertEqual(
            (code, json.loads(out)["mistakes"]), (1, [{"place": "objects[0]", "mistake": "must be an object, not 7"}])
        )

    def test_mistakes_are_a_group_of_the_readers_own_errors_and_end(self):
        with self.assertRaises(ExceptionGroup) as caught:
            check.check_configuration({"config_version": "r1", "objects": [7] * 1000})
        self.assertEqual(len(caught.exception.exceptions), check.MAX_MISTAKES)


class Diff(FileCase):
    def test_what_means_the_same_is_no_difference(self):
        same = copy.deepcopy(FIRST) | {"config_version": "r9"}
        same["objects"].reverse()
        for item in same["objects"]:
            if item["metadata"].get("name") == "frames":
                item["specification"] |= {"timeout": "60000ms", "hostname": "Tiles.Example."}
                service = item["specification"].pop("service")
                item["specification"]["traffic_split"] = [{"service": service, "weight": 7}]
        self.assertEqual(run("diff", self.file(FIRST), self.file(same, "new.json")), (0, "the same in meaning\n", ""))

    def test_each_kind_of_difference(self):
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
        code, out, _ = run("diff", self.file(old), self.file(new, "new.json"))
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
        code, out, _ = run("diff", self.file(old), self.file(new, "new.json"), "--json")
        self.assertEqual((code, len(json.loads(out)["differences"])), (1, 10))
        back = differences(parse_configuration(new), parse_configuration(old))
        self.assertEqual(
            [(one.what, one.name) for one in back if one.what in ("added", "removed")],
            [("added", "gone"), ("removed", "more"), ("removed", "third")],
        )

    def test_an_invalid_configuration_has_no_difference(self):
        code, out, err = run("diff", self.file(FIRST), self.file({"config_version": "r1"}, "new.json"))
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

    def test_the_newest_configuration_and_not_a_byte_written_even_while_the_core_runs(self):
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
        self.assertIn("logbook.sqlite-wal", before)  # what was kept last is there only
        code, out, err = run("export", str(self.folder / "data"))
        self.assertEqual((code, json.loads(out)), (0, second))
        self.assertIn("r8 of a:1#founder, log to entry 3 of term 3; surely agreed on: r3", err)
        told = json.loads(run("export", str(self.folder / "data"), "--json")[1])
        self.assertEqual((told["config_version"], told["sure"], told["last"], told["snapshot"]), ("r8", "r3", 3, 1))
        self.assertEqual(self.contents(), before)
        store.close()
        self.assertEqual(read(self.folder / "data").me, "a:1#founder")

    def test_a_folder_without_a_configuration_or_a_log_or_a_whole_one(self):
        self.store([]).close()
        self.assertEqual(run("export", str(self.folder / "data"))[:2], (1, ""))
        code, _, err = run("export", str(self.folder))
        self.assertEqual(code, 2)
        self.assertIn("is not there", err)
        file = self.folder / "data" / "logbook.sqlite"
        file.write_bytes(file.read_bytes()[:3000] + b"\0" * 3000)
        with self.assertRaises(StoreError) as caught:
            read(self.folder / "data")
        self.assertEqual(caught.exception.path, file)  # and not the copy's
        self.assertEqual(run("export", str(self.folder / "data"))[0], 2)


class Core:
    """In place of a Caller: two cores with the real judgement of calls. `faults` are taken first, one a call."""

    def __init__(self, *faults):
        self.configuration, self.history, self.faults, self.calls = None, ChangeHistory(), list(faults), []

    async def send(self, method, url, body=None, patience=0, step="", headers=None):
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
            status, told = read_response(self.configuration)
            return status, {}, json.dumps(told).encode()
        verdict = decide_change(
            self.configuration, self.history, method, headers["If-Match"], json.dumps(body).encode()
        )
        if verdict.status == 200 and not verdict.already_applied:
            self.configuration = verdict.configuration
            self.history.record(verdict.version, verdict.digest)
        if fault == "lost":
            raise PeerError("configuration", url, "no answer")
        return verdict.status, {}, json.dumps(verdict.body()).encode()

    async def close(self):
        pass


class Import(FileCase):
    def offer(self, core, *given):
        with (
            mock.patch.object(cli, "HttpClient", lambda: core),
            mock.patch.object(configuration_client, "RETRY_DELAY_S", 0),
            mock.patch.object(
                cli,
                "ConfigurationClient",
                lambda address, client: configuration_client.ConfigurationClient(address, client, 0),
            ),
        ):
            return run("import", *given)

    def test_a_configuration_is_shown_then_taken_whole_over_whatever_the_wire_does(self):
        core, second = Core(), FIRST | {"config_version": "r8", "objects": FIRST["objects"][1:]}
        file, after = self.file(FIRST), self.file(second, "second.json")
        code, out, err = self.offer(core, file, "l:1")
        self.assertEqual((code, core.configuration, {call[0] for call in core.calls}), (0, None, {"GET"}))
        self.assertIn("r3 would be sent on top of r0", out)
        self.assertIn("--apply", err)
        core.faults = [503, None, "lost", PeerError("configuration", "l:1", "cut")]
        self.assertEqual(self.offer(core, file, "f:1", "--apply")[0], 0)
        self.assertEqual((to_document(core.configuration), len(core.history.versions)), (FIRST, 1))
        self.assertEqual(self.offer(core, file, "l:1", "--apply"), (0, "r3 is in force already\n", ""))
        code, out, _ = self.offer(core, after, "f:1", "--apply")
        self.assertEqual((code, out.splitlines()[0][:22]), (0, "- route frames removed"))
        self.assertIn("r8 is in force", out)
        code, _, err = self.offer(core, file, "l:1", "--apply")
        self.assertEqual(
            (code, err), (1, "cli: config_version: r3 is not above r8, which is in force; --version gives it another\n")
        )
        self.assertEqual(self.offer(core, file, "l:1", "--version", "r11", "--apply")[0], 0)
        self.assertEqual(to_document(core.configuration), FIRST | {"config_version": "r11"})
        self.assertEqual(self.offer(core, file, "l:1", "--version", "11", "--apply")[0], 2)

    def test_what_is_refused_is_told_in_a_line_and_changes_nothing(self):
        def other(core):
            core.configuration = parse_configuration(FIRST | {"config_version": "r5"})

        core, file = Core(None, other), self.file(FIRST | {"config_version": "r9"})
        code, out, err = self.offer(core, file, "l:1", "--apply")
        self.assertEqual((code, err), (1, "cli: r9 was refused, nothing has changed: built on r0, but r5 is current\n"))
        self.assertEqual(core.configuration.version, 5)
        with mock.patch.object(
            Core, "send", side_effect=[(404, {}, b"{}"), (400, {}, b'{"error": "route \\"frames\\": timeout is 0"}')]
        ):
            code, _, err = self.offer(Core(), file, "l:1", "--apply")
        self.assertEqual((code, err.partition("changed: ")[2]), (1, 'route "frames": timeout is 0\n'))
        wrong = copy.deepcopy(FIRST)
        wrong["objects"][0]["specification"] |= {"timeout": "0s"}
        core = Core()
        self.assertEqual(
            self.offer(core, self.file(wrong), "l:1", "--apply")[:2], (1, 'route "frames": timeout is 0\n')
        )
        self.assertEqual(core.calls, [])
        code, _, err = self.offer(Core(*[503] * 99), self.file(FIRST), "l:1", "--apply")
        self.assertEqual((code, "no clear answer" in err), (2, True))
        lossy = Core(
            None,
            None,
            lambda core: setattr(core, "configuration", parse_configuration(FIRST | {"objects": FIRST["objects"][1:]})),
        )
        self.assertIn("reads back otherwise", self.offer(lossy, self.file(FIRST), "l:1", "--apply")[2])

    def test_an_export_is_imported_with_its_history_into_an_empty_system_only(self):
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
            [(one["config_version"], one["config_order"]) for one in json.loads(text)["history"]],
            [("r3", 1), ("r8", 3)],
        )
        core, file = Core(), self.file(text)
        self.assertEqual(self.offer(core, file, "l:1", "--history", "--apply")[0], 0)
        self.assertEqual((to_document(core.configuration), sorted(core.history.versions)), (second, [3, 8]))
        core = Core()
        self.assertEqual(self.offer(core, file, "l:1", "--apply")[0], 0)
        self.assertEqual((to_document(core.configuration), sorted(core.history.versions)), (second, [8]))
        self.assertEqual(self.offer(core, file, "l:1", "--history", "--apply")[0], 1)
        self.assertEqual(self.offer(core, self.file(FIRST), "l:1", "--history", "--apply")[0], 2)


class Account(unittest.TestCase):
    """What a core says of itself, as openapi/peers.yaml has it, and how it is shown."""

    def setUp(self):
        self.state, self.board, self.loads = ReplicatedState(), ViewPublisher("e"), LoadReports()
        self.state.apply(1, configure(0, FIRST))
        self.state.apply(2, {"do": "lease", "to": "a:1#founder", "slices": {"tiles": [[0, 99]]}})
        self.state.apply(3, {"do": "move", "by": "a:1#founder", "moves": [["tiles", 0, 9, 0, "i-1"]]})
        self.state.apply(4, {"do": "granted", "by": "a:1#founder", "fence": 3, "slices": {"tiles": [[0, 4]]}})
        self.board.set_nodes((1, 1), {"i-1": Node("i-1", "tiles", ("10.0.0.9", 80), "z", 2)})
        self.machine = Machine(
            StoredState("a:1#founder", members={"a:1#founder": "a:1", "b:1#founder": "b:1"}), RaftSettings(), 1, 0.0
        )

    def status(self, fresh=True):
        self.loads.edges = {"e-1": 99.0, "e-2": 98.5, "e-3": 99.5, "e-old": 80.0}
        asked = {"e-1": (99.0, "e", self.board.revision), "e-2": (98.5, "e", self.board.revision - 1)}
        return status_report.status(
            100.0, "a:1#founder", self.machine, self.state, self.board, self.loads, fresh, asked
        )

    def fits(self, name, told):
        schema = yaml.safe_load(STATIONS.read_text())["components"]["schemas"][name]
        self.assertEqual(set(told), set(schema["required"]))
        self.assertLessEqual(set(told), set(schema["properties"]))

    def test_status(self):
        told = self.status()
        self.fits("Status", told)
        self.assertEqual(
            told["edges"],
            [
                {"edge": "e-1", "ago": 1.0, "current": True},
                {"edge": "e-2", "ago": 1.5, "current": False},
                {"edge": "e-3", "ago": 0.5},
            ],
        )
        self.assertEqual(told["leases"], {"tiles": {"": SLICE_COUNT - 100, "a:1#founder": 100}})
        self.assertEqual(told["changing_hands"], {"tiles": SLICE_COUNT - 5})
        self.assertEqual((told["config_version"], told["config_order"]), ("r3", 1))
        self.assertEqual(json.loads(json.dumps(told)), told)
        self.assertIn("e-old", self.loads.edges)  # asking has changed nothing

    def test_explain(self):
        told = status_report.explain(
            100.0, self.state, self.board, "tiles.example:80", "/frames/7?x=/desk/", 3 * SLICE_WIDTH
        )
        self.fits("Explained", told)
        line = told["services"][0]["line"]
        self.assertEqual(
            (told["route"]["name"], line["slice"], line["owner"], line["open"], line["fence"]),
            ("frames", 3, "i-1", True, 3),
        )
        self.assertIn("owner i-1, at 10.0.0.9:80 in z", "\n".join(rendering.render_explanation(told)))
        shut = status_report.explain(100.0, self.state, self.board, "tiles.example", "/frames/", 9 * SLICE_WIDTH)
        self.assertIn("changes hands", "\n".join(rendering.render_explanation(shut)))
        nobody = status_report.explain(100.0, self.state, self.board, "tiles.example", "/frames/", 65535)
        self.assertIn("owner nobody, not placed yet", "\n".join(rendering.render_explanation(nobody)))
        self.assertIsNone(status_report.explain(100.0, self.state, self.board, "tiles.example", "/", 3)["route"])
        self.assertEqual(
            rendering.render_explanation(status_report.explain(0.0, ReplicatedState(), self.board, "h", "/", None)),
            ["no configuration has been taken yet"],
        )

    def test_the_commands_end_as_the_answers_are(self):
        def answered(told, *given):
            with mock.patch.object(cli, "call_core", lambda *question: asked.append(question) or told):
                return run(*given)

        asked = []
        code, out, _ = answered(self.status(), "status", "10.0.0.1:7660")
        self.assertEqual((code, asked), (0, [("10.0.0.1:7660", "status", {})]))
        self.assertIn("edge e-2: is behind the board, heard of 1.5s ago", out)
        self.assertEqual(answered(self.status(fresh=False), "status", "x:1")[0], 1)
        self.assertEqual(json.loads(answered(self.status(), "status", "x:1", "--json")[1]), self.status())
        self.assertEqual(answered({"me": "other"}, "status", "x:1")[0], 2)
        none = status_report.explain(0.0, self.state, self.board, "h", "/", None)
        asked.clear()
        self.assertEqual(
            answered(none, "explain", "x:1", "1.10", "/", "--key", "7")[:2], (1, "r3: no route; an edge answers 404\n")
        )
        self.assertEqual(asked, [("x:1", "explain", {"host": "1.10", "path": "/", "key": 7})])
        self.assertEqual(answered(none, "explain", "x:1", "h", "/", "--key", "much")[0], 2)

    def test_a_core_that_does_not_answer(self):
        async def closed():
            server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            server.close()
            return port

        code, out, err = run("status", f"127.0.0.1:{asyncio.run(closed())}")
        self.assertEqual((code, out), (2, ""))
        self.assertIn("cli: status, http://127.0.0.1", err)


if __name__ == "__main__":
    unittest.main()
