"""CI's sum of the test counts: what counts as failed, and that exactly the known red tests are excused."""

import contextlib
import importlib.util
import io
import pathlib
import tempfile
import unittest

ROOT = pathlib.Path(__file__).parents[2]
SPEC = importlib.util.spec_from_file_location("count", ROOT / ".ci" / "count.py")
count = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(count)

OUTCOMES = {"ok": "", "bad": "<failure/>", "error": "<error/>", "skipped": "<skipped/>"}


class CountTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def sum(self, *runs, known="", checks="0 0 0"):
        """(exit code, last line, all output) for runs given as ({test: outcome}, status)."""
        arguments = []
        for number, (tests, status) in enumerate(runs):
            cases = "".join(
                f'<testcase classname="t.C" name="{name}">{OUTCOMES[outcome]}</testcase>' for name, outcome in tests
            )
            path = self.folder / f"{number}.xml"
            path.write_text(f"<testsuite>{cases}</testsuite>")
            arguments += [str(path), status]
        (self.folder / "known").write_text(known)
        with contextlib.redirect_stdout(io.StringIO()) as out:
            code = count.main(checks, str(self.folder / "known"), *arguments)
        return code, out.getvalue().splitlines()[-1], out.getvalue()

    def test_counts_and_checks(self):
        """Failed checks, failed tests, a failed run without failed tests, and a run without tests."""
        ok = [("a", "ok"), ("s", "skipped")]
        self.assertEqual(self.sum((ok, "0"))[:2], (0, "1 passed, 0 failed"))
        self.assertEqual(self.sum((ok, "0"), checks="1 0 2")[:2], (1, "1 passed, 2 failed"))
        self.assertEqual(self.sum((ok, "0"), (ok, "2"))[:2], (1, "2 passed, 1 failed"))
        self.assertEqual(self.sum(([("a", "ok"), ("a", "bad"), ("b", "error")], "1"))[:2], (1, "0 passed, 2 failed"))
        self.assertEqual(self.sum((ok, "0"), ([], "0"))[:2], (1, "1 passed, 0 failed"))

    def test_only_named_tests_are_excused(self):
        """A known red test is printed and skipped; other failures, and other exit codes of the runner, still count."""
        known = "# why\nt.C.b | nose2 t | a lease too many | issue 7\n"
        code, last, out = self.sum(([("a", "ok"), ("b", "bad")], "1"), known=known)
        self.assertEqual((code, last), (0, "1 passed, 0 failed, 1 skipped"))
        self.assertIn("known red: t.C.b fails as known (a lease too many; issue 7; nose2 t)", out)
        two = [("a", "bad"), ("b", "bad")]
        self.assertEqual(self.sum((two, "1"), known=known)[:2], (1, "0 passed, 1 failed, 1 skipped"))
        self.assertEqual(
            self.sum(([("a", "ok"), ("b", "bad")], "3"), known=known)[:2], (1, "1 passed, 1 failed, 1 skipped")
        )

    def test_a_test_that_passes_again_is_reported(self):
        """It counts as passed, and its line is to be removed."""
        code, last, out = self.sum(([("b", "ok")], "0"), known="t.C.b | nose2 t | seen | issue 7")
        self.assertEqual((code, last), (0, "1 passed, 0 failed"))
        self.assertIn("t.C.b passes again", out)

    def test_an_invalid_list_fails_and_excuses_nothing(self):
        """A test that does not exist; a line without command, observation or issue; a missing file."""
        for known in (
            "t.C.gone | nose2 t | seen | issue 7",
            "t.C.b",
            "t.C.b | nose2 t | | issue 7",
            "t.C.b | seen | 7",
        ):
            code, last, _ = self.sum(([("a", "ok"), ("b", "bad")], "1"), known=known)
            self.assertEqual((code, last), (1, "1 passed, 2 failed"))
        self.assertEqual(count.read_known_red(str(self.folder / "none"))[0], [])
        self.assertEqual(len(count.read_known_red(str(self.folder / "none"))[1]), 1)

    def test_the_list_in_the_repository_is_valid(self):
        """Each line has a command, an observation and an issue."""
        self.assertEqual(count.read_known_red(str(ROOT / "KNOWN-RED.txt"))[1], [])
