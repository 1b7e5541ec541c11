"""The linter's exceptions: the list names only files that exist, need the exception and stay below their ceiling."""

import json
import pathlib
import re
import subprocess
import sys
import tomllib
import unittest
from collections import defaultdict

ROOT = pathlib.Path(__file__).parents[2]
EXEMPT_RULES = ("C901", "D101", "D102", "D103")
# Permanent exceptions, not leftovers; pyproject.toml gives the reasons.
PERMANENT_EXCEPTIONS = {
    "knotwalk/*/__main__.py": ["E402"],
    "knotwalk/runtime/http_client.py": ["E402"],
    "tests/**": list(EXEMPT_RULES[1:]),
}


def measure(files: list[str], bound: int) -> dict[str, dict[str, int]]:
    """By file and code: the number of items without a docstring, and the highest complexity over the bound."""
    command = [sys.executable, "-m", "ruff", "check", "--isolated", "--no-cache", "--output-format", "json", "--select"]
    command += [",".join(EXEMPT_RULES), "--config", f"lint.mccabe.max-complexity={bound}", *files]
    output = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    measures: dict[str, dict[str, int]] = defaultdict(dict)
    for item in json.loads(output.stdout):
        file, code = str(pathlib.Path(item["filename"]).relative_to(ROOT)), item["code"]
        value = measures[file].get(code, 0) + 1
        if code == "C901":
            value = max(measures[file].get(code, 0), int(re.search(r"\((\d+) >", item["message"])[1]))
        measures[file][code] = value
    return measures


class LintTest(unittest.TestCase):
    def setUp(self):
        project = tomllib.loads((ROOT / "pyproject.toml").read_text())
        self.rules = project["tool"]["ruff"]["lint"]
        self.ceilings = project["tool"]["knotwalk"]["lint_ceilings"]

    def test_each_exempt_file_exists_and_has_a_ceiling(self):
        """Each exception is either permanent or has a ceiling, and no leftover exception covers a whole folder."""
        exempt = dict(self.rules["per-file-ignores"])
        for file, codes in PERMANENT_EXCEPTIONS.items():
            self.assertEqual(exempt.pop(file), codes)
        self.assertEqual(exempt, {file: sorted(codes) for file, codes in self.ceilings.items()})
        self.assertEqual([file for file in exempt if not (ROOT / file).is_file()], [])

    def test_no_file_exceeds_its_ceiling_or_is_listed_without_need(self):
        measures = measure(list(self.ceilings), self.rules["mccabe"]["max-complexity"])
        for file, ceilings in self.ceilings.items():
            for code, ceiling in ceilings.items():
                with self.subTest(file=file, code=code):
                    self.assertLessEqual(measures[file].get(code, 0), ceiling)
                    self.assertIn(code, measures[file], "no longer needs an exception")
