"""The files that the linter's rules spare: the list names only what is there, needs it and keeps under its ceiling."""

import json
import pathlib
import re
import subprocess
import sys
import tomllib
import unittest
from collections import defaultdict

ROOT = pathlib.Path(__file__).parents[2]
SPARED = ("C901", "D101", "D102", "D103")
# Spared by a rule of the house and not as a leftover; pyproject.toml says why.
BY_RULE = {
    "knotwalk/*/__main__.py": ["E402"],
    "knotwalk/runtime/http_client.py": ["E402"],
    "tests/**": list(SPARED[1:]),
}


def measured(files: list[str], bound: int) -> dict[str, dict[str, int]]:
    """By file and code: items without a docstring, and the most complex function over the bound."""
    command = [sys.executable, "-m", "ruff", "check", "--isolated", "--no-cache", "--output-format", "json", "--select"]
    command += [",".join(SPARED), "--config", f"lint.mccabe.max-complexity={bound}", *files]
    told = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    found: dict[str, dict[str, int]] = defaultdict(dict)
    for item in json.loads(told.stdout):
        file, code = str(pathlib.Path(item["filename"]).relative_to(ROOT)), item["code"]
        figure = found[file].get(code, 0) + 1
        if code == "C901":
            figure = max(found[file].get(code, 0), int(re.search(r"\((\d+) >", item["message"])[1]))
        found[file][code] = figure
    return found


class LintTest(unittest.TestCase):
    def setUp(self):
        project = tomllib.loads((ROOT / "pyproject.toml").read_text())
        self.rules = project["tool"]["ruff"]["lint"]
        self.ceilings = project["tool"]["knotwalk"]["lint_ceilings"]

    def test_each_file_spared_has_its_ceiling_and_is_there(self):
        """Nothing is spared but by a rule of the house or under a ceiling, and no whole folder as a leftover."""
        spared = dict(self.rules["per-file-ignores"])
        for file, codes in BY_RULE.items():
            self.assertEqual(spared.pop(file), codes)
        self.assertEqual(spared, {file: sorted(codes) for file, codes in self.ceilings.items()})
        self.assertEqual([file for file in spared if not (ROOT / file).is_file()], [])

    def test_no_file_is_over_its_ceiling_and_none_is_listed_without_need(self):
        found = measured(list(self.ceilings), self.rules["mccabe"]["max-complexity"])
        for file, ceilings in self.ceilings.items():
            for code, ceiling in ceilings.items():
                with self.subTest(file=file, code=code):
                    self.assertLessEqual(found[file].get(code, 0), ceiling)
                    self.assertIn(code, found[file], "needs no place in the list any more")
