"""Tenants in the command line's output and in a core's answers: keys never appear unless --keys asks for them."""

import copy
import json
import unittest

from knotwalk.cli import rendering
from knotwalk.configuration.documents import InvalidConfigurationError, parse_configuration
from knotwalk.consensus.raft_types import Entry, Save
from knotwalk.consensus.store import Store
from knotwalk.control_plane import status_report
from knotwalk.control_plane.replicated_state import ReplicatedState
from knotwalk.discovery.view_publisher import ViewPublisher
from tests.standins.documents import FIRST, route, tenant
from tests.system.test_cli import FileCase, configure, run

SECRETS = ["jwyy7yx5x42q492cqf75", "rjvz48wuakn2ftimaj3n", "ftimaj3nk7wd0qpl2b8s"]


def with_tenants(*tenants, version="r3"):
    """The document FIRST with tenants, a public route and a keyed route added."""
    document = copy.deepcopy(FIRST) | {"config_version": version}
    routes = route("open", "/open/", "tiles", public=True), route("pay", "/pay/", "tiles", "keyed")
    document["objects"] += [*routes, *tenants]
    return document


class TenantsCase(FileCase):
    def setUp(self):
        super().setUp()
        self.old = with_tenants(tenant("a", SECRETS[:2], 102, 5), tenant("b", SECRETS[2:]))

    def run_without_keys(self, *arguments):
        """Run a command and check that it prints no key: its exit code and lines."""
        code, out, err = run(*arguments)
        for secret in SECRETS:
            self.assertNotIn(secret, out + err)
        return code, out.splitlines()

    def test_check_counts_tenants_and_reports_a_shared_key(self):
        self.assertEqual(
            self.run_without_keys("check", self.write_file(self.old))[1][0],
            "configuration r3: 5 routes, 2 services, 2 tenants: good",
        )
        shared = with_tenants(tenant("a", SECRETS[:2]), tenant("b", SECRETS[1:]), tenant("c", "x"), tenant("d", [], -1))
        self.assertEqual(
            self.run_without_keys("check", self.write_file(shared)),
            (
                1,
                [
                    'tenant "c": api_keys must be a list of non-empty strings',
                    'tenant "d": rate_per_s is out of range: -1',
                    'tenant "b": shares a key with tenant "a"',
                ],
            ),
        )

    def test_diff_reports_how_many_keys_are_added_and_removed(self):
        new = with_tenants(
            tenant("a", [SECRETS[0], SECRETS[2], "n"], 50, 5, priority=2), tenant("c", ["o"]), version="r4"
        )
        new["objects"][6]["specification"]["public"] = False
        new["objects"][7]["specification"]["route_type"] = "non_idempotent"
        code, lines = self.run_without_keys("diff", self.write_file(self.old), self.write_file(new, "new.json"))
        self.assertEqual(code, 1)
        self.assertEqual(
            lines,
            [
                "~ route open changed: needs a tenant's key",
                "~ route pay changed: no Operation-Key is heeded any more",
                "~ tenant a changed: keys: 2 added, 1 removed",
                "~ tenant a changed: priority of the route -> 2",
                "~ tenant a changed: rate_per_s 102 -> 50",
                "- tenant b removed: 1 key, priority of the route, rate_per_s no limit, burst_size 0",
                "+ tenant c added: 1 key, priority of the route, rate_per_s no limit, burst_size 0",
            ],
        )

    def test_export_withholds_keys_by_default_and_such_an_export_can_not_be_imported(self):
        store = Store()
        store.open(self.folder / "data", True, "a:1", {"a:1#founder": "a:1"})
        store.write(Save(1, 1, None, [Entry(1, 1, "command", configure(0, self.old))], None, None))
        store.close()
        for extra in ((), ("--json",)):
            document = json.loads("\n".join(self.run_without_keys("export", str(self.folder / "data"), *extra)[1]))
            document = document["configuration"] if extra else document
            self.assertEqual(document["objects"][-1]["specification"]["api_keys"], "withheld")
            with self.assertRaises(InvalidConfigurationError):
                parse_configuration(document)
        self.assertEqual(json.loads(run("export", str(self.folder / "data"), "--keys")[1]), self.old)

    def test_explain_reports_that_a_key_is_needed_but_no_key(self):
        state = ReplicatedState()
        state.apply(1, configure(0, self.old))
        view_publisher = ViewPublisher("e")
        answers = [
            status_report.explain(0.0, state, view_publisher, "tiles.example", path, None)
            for path in ("/open/", "/pay/")
        ]
        lines = ["\n".join(rendering.render_explanation(answer)) for answer in answers]
        self.assertNotIn("needs a tenant's key", lines[0])
        self.assertIn("keyed, needs a tenant's key, timeout 60s", lines[1])
        for secret in SECRETS:
            self.assertNotIn(secret, json.dumps(answers))


if __name__ == "__main__":
    unittest.main()
