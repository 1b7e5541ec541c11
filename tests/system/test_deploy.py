"""The deploy file: roles exist, system packages have Debian's names, and libraries are pinned."""

import importlib.util
import pathlib
import re
import tomllib
import unittest

from knotwalk.runtime.lifecycle import metrics_port
from knotwalk.runtime.metrics import PATH

ROOT = pathlib.Path(__file__).parents[2]


class DeployTest(unittest.TestCase):
    def test_packages_have_debian_names_and_include_what_the_build_calls(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.assertTrue({"python3", "python3-pip"} <= set(deploy["packages"]))
        self.assertEqual(len(set(deploy["packages"])), len(deploy["packages"]))
        for name in deploy["packages"]:
            self.assertRegex(name, r"^[a-z0-9][a-z0-9+.-]+$")
        for role in deploy["roles"].values():
            module, argument = role["run"].removeprefix("python3 -m ").split()
            self.assertIsNotNone(importlib.util.find_spec(module))
            self.assertEqual(role["metrics"], f"{metrics_port([argument])}{PATH.decode()}")

    def test_each_library_is_pinned(self):
        for line in (ROOT / "requirements-system.txt").read_text().splitlines():
            self.assertTrue(re.fullmatch(r"[A-Za-z0-9_.-]+==[0-9.]+", line), line)
