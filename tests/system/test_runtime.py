"""The runtime of all programs: settings file and reload, start, calls to peers, and metrics."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

from knotwalk.runtime import lifecycle, metrics, text_port
from knotwalk.runtime.errors import PeerError, SettingsError
from knotwalk.runtime.http_client import HttpClient
from knotwalk.runtime.lifecycle import metrics_port
from knotwalk.runtime.settings import SETTINGS_VARIABLE, load_settings, parse_settings

ROOT = Path(__file__).parents[2]
VALID_SETTINGS = {
    "node_name": "a",
    "listen_addresses": {"control": "127.0.0.1:80"},
    "seed_nodes": ["127.0.0.1:80"],
    "limits": {"cpu_share": 1, "memory_mb": 64},
    "timing_bounds": {"max_hold": "9s"},
    "later": {"a": 1},
}
# Changes that make the settings invalid, and the field that the message must name.
INVALID_CHANGES = [
    ({"node_name": 4}, "node_name"),
    ({"seed_nodes": ["10.0.0.1"]}, "seed_nodes[0]"),
    ({"seed_nodes": "x"}, "seed_nodes"),
    ({"listen_addresses": {"control": "1.2.3.4:0"}}, "listen_addresses.control"),
    ({"limits": {"disk_mb": "x"}}, "disk_mb"),
    ({"internal_port_range": [9, 2]}, "internal_port_range"),
    ({"timing_bounds": {"max_hold": 9}}, "timing_bounds.max_hold"),
    ({"timing_bounds": {"retry_budget_ratio": "2s"}}, "retry_budget_ratio"),
    ({"cloud_api": {"address": ":1"}}, "cloud_api.address"),
    ({"heartbeat": "1.5"}, "heartbeat"),
    ({"active_contracts": 5}, "active_contracts"),
    ({"active_contracts": "base"}, "active_contracts"),
    ({"listen_addresses": 5}, "listen_addresses"),
    ({"listen_addresses": {"readiness": "x"}}, "listen_addresses.readiness"),
    ({"cloud_api": 5}, "cloud_api"),
    ({"limits": 5}, "limits"),
    ({"initial_boot": "yes"}, "initial_boot"),
    ({"zones": ["a"]}, "zones"),
]


class SettingsTest(unittest.TestCase):
    def test_each_mistake_has_a_message_of_one_line_that_names_its_field(self):
        self.assertEqual(parse_settings(VALID_SETTINGS).bounds.max_hold, 9.0)
        for change, field in INVALID_CHANGES:
            with self.subTest(field), self.assertRaises(SettingsError) as caught:
                parse_settings(VALID_SETTINGS | change)
            self.assertIn(field, str(caught.exception))
            self.assertNotIn("\n", str(caught.exception))

    def test_a_program_without_a_needed_address_names_it_and_exits_with_2(self):
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder, "node.json")
            file.write_text(json.dumps(VALID_SETTINGS))
            for name, listener in (("edge", "data_plane"), ("control_plane", "control")):
                file.write_text(json.dumps(VALID_SETTINGS | {"listen_addresses": {}}))
                process = subprocess.run(
                    [sys.executable, "-m", f"knotwalk.{name}"],
                    cwd=ROOT,
                    capture_output=True,
                    text=True,
                    env=os.environ | {SETTINGS_VARIABLE: str(file)},
                    timeout=60,
                )
                self.assertEqual((process.returncode, process.stderr.count("\n")), (2, 1), process.stderr)
                self.assertIn(f"listen_addresses.{listener}", process.stderr)


class ReloadTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_changed_file_is_reloaded_without_a_signal_and_an_invalid_one_is_not(self):
        asyncio.get_running_loop().set_debug(False)
        reloaded, warnings = [], []
        with (
            tempfile.TemporaryDirectory() as folder,
            mock.patch.object(lifecycle, "SETTINGS_POLL_INTERVAL_S", 0.001),
            mock.patch.object(lifecycle.logs, "log_warning", lambda event, **fields: warnings.append(fields["why"])),
        ):
            file = Path(folder, "node.json")

            def write(text):
                Path(folder, "new").write_text(text)
                os.replace(Path(folder, "new"), file)

            async def until(condition):
                async with asyncio.timeout(90):
                    while not condition():
                        await asyncio.sleep(0)

            write(json.dumps(VALID_SETTINGS))
            with mock.patch.dict(os.environ, {SETTINGS_VARIABLE: str(file)}):
                self.assertEqual(load_settings().seeds, [("127.0.0.1", 80)])
                settings = load_settings()
                # Changed after the read and before the first poll.
                write(json.dumps(VALID_SETTINGS | {"seed_nodes": ["127.0.0.7:80"]}))
                lifecycle.ProcessSignals(reloaded.append, settings.file_state).install()
                await until(lambda: reloaded)
                write(json.dumps(VALID_SETTINGS | {"seed_nodes": ["127.0.0.9:80"]}))
                await until(lambda: len(reloaded) > 1)
                write('{"node_name": ')
                await until(lambda: warnings)
                write(json.dumps(VALID_SETTINGS | {"seed_nodes": ["127.0.0.8:80"]}))
                await until(lambda: len(reloaded) > 2)
        self.assertEqual([settings.seeds[0][0] for settings in reloaded], ["127.0.0.7", "127.0.0.9", "127.0.0.8"])
        self.assertEqual(len(warnings), 1)  # once, not at each poll


class StartTest(unittest.TestCase):
    def test_a_change_of_the_settings_file_does_not_end_a_start(self):
        """SIGHUP arrives while the program reads its settings; a pipe delays the read until then."""
        for module in ("knotwalk.edge", "knotwalk.control_plane"):
            with self.subTest(module), tempfile.TemporaryDirectory() as folder:
                pipe = Path(folder, "node.json")
                os.mkfifo(pipe)
                process = subprocess.Popen(
                    [sys.executable, "-m", module],
                    env=os.environ | {SETTINGS_VARIABLE: str(pipe)},
                    stderr=subprocess.PIPE,
                )
                try:
                    pipe_end = self.open_for_writing(pipe, process)
                    process.send_signal(signal.SIGHUP)
                    os.write(pipe_end, b"[]")
                    os.close(pipe_end)
                    _, errors = process.communicate(timeout=60)
                finally:
                    process.kill()
                    process.wait()
                self.assertEqual((process.returncode, errors.count(b"\n")), (lifecycle.EXIT_UNUSABLE, 1), errors)

    def open_for_writing(self, pipe, process):
        """Open the pipe's other end, once the program has begun to read."""
        deadline = time.monotonic() + 60
        while time.monotonic() < deadline and process.poll() is None:
            try:
                return os.open(pipe, os.O_WRONLY | os.O_NONBLOCK)
            except OSError:
                time.sleep(0.005)
        self.fail(f"the program does not read its settings, exit code {process.poll()}")


class HttpClientTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_abandoned_call_is_reset_so_that_delayed_data_never_arrives(self):
        """A grant takes effect on arrival: after an orderly close it could be read later than the core allows for."""
        asyncio.get_running_loop().set_debug(False)
        server = socket.create_server(("127.0.0.1", 0))
        server.setblocking(False)
        client = HttpClient(reset_on_close=True)
        try:
            call = asyncio.ensure_future(
                client.send("POST", f"http://127.0.0.1:{server.getsockname()[1]}/grant", {}, 0.5)
            )
            peer, _ = await asyncio.get_running_loop().sock_accept(server)
            with self.assertRaises(PeerError):
                await call
            with self.assertRaises(ConnectionResetError):
                while await asyncio.get_running_loop().sock_recv(peer, 100):
                    pass
            peer.close()
        finally:
            server.close()
            await client.close()


if __name__ == "__main__":
    unittest.main()


class MetricsTest(unittest.IsolatedAsyncioTestCase):
    """The metrics port; the metrics themselves are checked in test_village."""

    async def test_an_invalid_argument_has_a_message_of_one_line(self):
        self.assertIsNone(metrics_port([]))
        self.assertEqual(metrics_port(["--metrics=9464"]), 9464)
        for arguments in (["--metrics=x"], ["--metrics="], ["--metrics=70000"], ["--port=1"], ["--metrics=1", "more"]):
            with self.subTest(arguments), self.assertRaises(SettingsError) as caught:
                metrics_port(arguments)
            self.assertNotIn("\n", str(caught.exception))

    async def test_a_port_in_use_disables_only_the_metrics(self):
        other = await metrics.listen("127.0.0.1", free_port(), list)
        self.addCleanup(other.close)
        port = other.sockets[0].getsockname()[1]
        with self.assertLogs(level="WARNING") as logged:
            self.assertIsNone(await metrics.listen("127.0.0.1", port, list))
        self.assertIn("metrics port cannot be bound", logged.output[0])

    async def test_responses_keep_their_order_if_the_first_is_late(self):
        ready = asyncio.Event()

        async def late():
            await ready.wait()
            return b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"

        server = await text_port.listen("127.0.0.1", 0, lambda target: late() if target == b"/a" else metrics.NOT_FOUND)
        self.addCleanup(server.close)
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        self.addCleanup(writer.close)
        writer.write(b"GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\nConnection: close\r\n\r\n")
        await writer.drain()
        ready.set()
        data = await reader.read()
        self.assertEqual([line for line in data.split(b"\r\n") if b"HTTP/1.1" in line][0], b"HTTP/1.1 200 OK")
        self.assertTrue(data.endswith(metrics.NOT_FOUND))

    async def test_failing_metrics_give_a_500_and_a_log_line(self):
        def broken():
            raise ValueError("no metric")

        server = await metrics.listen("127.0.0.1", free_port(), broken)
        self.addCleanup(server.close)
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        self.addCleanup(writer.close)
        with self.assertLogs(level="ERROR"):
            writer.write(b"GET /metrics HTTP/1.1\r\nConnection: close\r\n\r\n")
            self.assertEqual(await reader.read(), metrics.FAILED)


def free_port():
    with socket.create_server(("127.0.0.1", 0)) as server:
        return server.getsockname()[1]
