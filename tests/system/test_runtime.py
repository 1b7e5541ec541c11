"""What every program stands on: the settings file, read, refused in one line, and taken up when it changes."""

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
GOOD = {
    "node_name": "a",
    "listen_addresses": {"control": "127.0.0.1:80"},
    "seed_nodes": ["127.0.0.1:80"],
    "limits": {"cpu_share": 1, "memory_mb": 64},
    "timing_bounds": {"max_hold": "9s"},
    "later": {"a": 1},
}
WRONG = [
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


class SettingsCase(unittest.TestCase):
    def test_each_mistake_is_one_line_that_names_its_field(self):
        self.assertEqual(parse_settings(GOOD).bounds.max_hold, 9.0)
        for change, where in WRONG:
            with self.subTest(where), self.assertRaises(SettingsError) as met:
                parse_settings(GOOD | change)
            self.assertIn(where, str(met.exception))
            self.assertNotIn("\n", str(met.exception))

    def test_a_program_that_lacks_an_address_says_so_and_ends_with_2(self):
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder, "node.json")
            file.write_text(json.dumps(GOOD))
            for name, lacks in (("edge", "data_plane"), ("control_plane", "control")):
                file.write_text(json.dumps(GOOD | {"listen_addresses": {}}))
                ended = subprocess.run(
                    [sys.executable, "-m", f"knotwalk.{name}"],
                    cwd=ROOT,
                    capture_output=True,
                    text=True,
                    env=os.environ | {SETTINGS_VARIABLE: str(file)},
                    timeout=60,
                )
                self.assertEqual((ended.returncode, ended.stderr.count("\n")), (2, 1), ended.stderr)
                self.assertIn(f"listen_addresses.{lacks}", ended.stderr)


class EndingCase(unittest.IsolatedAsyncioTestCase):
    async def test_a_file_that_changes_without_a_signal_is_taken_up_and_a_broken_one_is_not(self):
        asyncio.get_running_loop().set_debug(False)
        taken, told = [], []
        with (
            tempfile.TemporaryDirectory() as folder,
            mock.patch.object(lifecycle, "SETTINGS_POLL_INTERVAL_S", 0.001),
            mock.patch.object(lifecycle.logs, "log_warning", lambda event, **fields: told.append(fields["why"])),
        ):
            file = Path(folder, "node.json")

            def put(text):
                Path(folder, "new").write_text(text)
                os.replace(Path(folder, "new"), file)

            async def until(met):
                async with asyncio.timeout(90):
                    while not met():
                        await asyncio.sleep(0)

            put(json.dumps(GOOD))
            with mock.patch.dict(os.environ, {SETTINGS_VARIABLE: str(file)}):
                self.assertEqual(load_settings().seeds, [("127.0.0.1", 80)])
                read = load_settings()
                put(json.dumps(GOOD | {"seed_nodes": ["127.0.0.7:80"]}))  # after it was read, before anybody looks
                lifecycle.ProcessSignals(taken.append, read.file_state).install()
                await until(lambda: taken)
                put(json.dumps(GOOD | {"seed_nodes": ["127.0.0.9:80"]}))
                await until(lambda: len(taken) > 1)
                put('{"node_name": ')
                await until(lambda: told)
                put(json.dumps(GOOD | {"seed_nodes": ["127.0.0.8:80"]}))
                await until(lambda: len(taken) > 2)
        self.assertEqual([one.seeds[0][0] for one in taken], ["127.0.0.7", "127.0.0.9", "127.0.0.8"])
        self.assertEqual(len(told), 1)  # once, not at each look


class StartCase(unittest.TestCase):
    def test_a_change_of_the_settings_file_does_not_end_a_start(self):
        """SIGHUP comes while the program reads its settings, which a pipe holds up until then."""
        for module in ("knotwalk.edge", "knotwalk.control_plane"):
            with self.subTest(module), tempfile.TemporaryDirectory() as folder:
                pipe = Path(folder, "node.json")
                os.mkfifo(pipe)
                started = subprocess.Popen(
                    [sys.executable, "-m", module],
                    env=os.environ | {SETTINGS_VARIABLE: str(pipe)},
                    stderr=subprocess.PIPE,
                )
                try:
                    written = self.opened(pipe, started)
                    started.send_signal(signal.SIGHUP)
                    os.write(written, b"[]")
                    os.close(written)
                    _, told = started.communicate(timeout=60)
                finally:
                    started.kill()
                    started.wait()
                self.assertEqual((started.returncode, told.count(b"\n")), (lifecycle.EXIT_UNUSABLE, 1), told)

    def opened(self, pipe, started):
        """The pipe's other side, once the program has begun to read."""
        until = time.monotonic() + 60
        while time.monotonic() < until and started.poll() is None:
            try:
                return os.open(pipe, os.O_WRONLY | os.O_NONBLOCK)
            except OSError:
                time.sleep(0.005)
        self.fail(f"it does not read its settings, exit code {started.poll()}")


class CallerCase(unittest.IsolatedAsyncioTestCase):
    async def test_a_call_that_is_given_up_is_reset_so_that_what_a_link_holds_up_never_arrives(self):
        """A grant counts by its arrival: behind a close in order it would still be read after it was counted out."""
        asyncio.get_running_loop().set_debug(False)
        door = socket.create_server(("127.0.0.1", 0))
        door.setblocking(False)
        caller = HttpClient(reset_on_close=True)
        try:
            call = asyncio.ensure_future(
                caller.send("POST", f"http://127.0.0.1:{door.getsockname()[1]}/grant", {}, 0.5)
            )
            peer, _ = await asyncio.get_running_loop().sock_accept(door)
            with self.assertRaises(PeerError):
                await call
            with self.assertRaises(ConnectionResetError):
                while await asyncio.get_running_loop().sock_recv(peer, 100):
                    pass
            peer.close()
        finally:
            door.close()
            await caller.close()


if __name__ == "__main__":
    unittest.main()


class MetricsTest(unittest.IsolatedAsyncioTestCase):
    """The port for a program's own figures; what it tells is looked at in test_village."""

    async def test_an_argument_that_is_no_port_is_one_line(self):
        self.assertIsNone(metrics_port([]))
        self.assertEqual(metrics_port(["--metrics=9464"]), 9464)
        for wrong in (["--metrics=x"], ["--metrics="], ["--metrics=70000"], ["--port=1"], ["--metrics=1", "more"]):
            with self.subTest(wrong), self.assertRaises(SettingsError) as found:
                metrics_port(wrong)
            self.assertNotIn("\n", str(found.exception))

    async def test_a_port_in_use_costs_the_figures_alone(self):
        taken = await metrics.listen("127.0.0.1", free_port(), list)
        self.addCleanup(taken.close)
        port = taken.sockets[0].getsockname()[1]
        with self.assertLogs(level="WARNING") as logged:
            self.assertIsNone(await metrics.listen("127.0.0.1", port, list))
        self.assertIn("metrics port cannot be bound", logged.output[0])

    async def test_answers_keep_their_order_though_the_first_takes_long(self):
        begun = asyncio.Event()

        async def late():
            await begun.wait()
            return b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"

        server = await text_port.listen("127.0.0.1", 0, lambda target: late() if target == b"/a" else metrics.NOT_FOUND)
        self.addCleanup(server.close)
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        self.addCleanup(writer.close)
        writer.write(b"GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\nConnection: close\r\n\r\n")
        await writer.drain()
        begun.set()
        told = await reader.read()
        self.assertEqual([line for line in told.split(b"\r\n") if b"HTTP/1.1" in line][0], b"HTTP/1.1 200 OK")
        self.assertTrue(told.endswith(metrics.NOT_FOUND))

    async def test_figures_that_fail_are_a_500_and_a_line(self):
        def broken():
            raise ValueError("no figure")

        server = await metrics.listen("127.0.0.1", free_port(), broken)
        self.addCleanup(server.close)
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        self.addCleanup(writer.close)
        with self.assertLogs(level="ERROR"):
            writer.write(b"GET /metrics HTTP/1.1\r\nConnection: close\r\n\r\n")
            self.assertEqual(await reader.read(), metrics.FAILED)


def free_port():
    with socket.create_server(("127.0.0.1", 0)) as made:
        return made.getsockname()[1]
