"""The command line and a core's account on tenants: what is told of them, and that no key ever is unasked."""

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
    """FIRST with tenants, a public route and a keyed one."""
    made = copy.deepcopy(FIRST) | {"config_version": version}
    more = route("open", "/open/", "tiles", public=True), route("pay", "/pay/", "tiles", "keyed")
    made["objects"] += [*more, *tenants]
    return made


class TenantsCase(FileCase):
    def setUp(self):
        super().setUp()
        self.old = with_tenants(tenant("a", SECRETS[:2], 102, 5), tenant("b", SECRETS[2:]))

    def tell(self, *given):
        """A command's exit code and lines, none of which holds a key."""
        code, out, err = run(*given)
        for secret in SECRETS:
            self.assertNotIn(secret, out + err)
        return code, out.splitlines()

    def test_check_counts_them_and_tells_of_a_shared_key(self):
        self.assertEqual(
            self.tell("check", self.file(self.old))[1][0], "configuration r3: 5 routes, 2 services, 2 tenants: good"
        )
        shared = with_tenants(tenant("a", SECRETS[:2]), tenant("b", SECRETS[1:]), tenant("c", "x"), tenant("d", [], -1))
        self.assertEqual(
            self.tell("check", self.file(shared)),
            (
                1,
                [
                    'tenant "c": api_keys must be a list of non-empty strings',
                    'tenant "d": rate_per_s is out of range: -1',
                    'tenant "b": shares a key with tenant "a"',
                ],
            ),
        )

    def test_diff_tells_how_many_keys_come_and_go(self):
        new = with_tenants(
            tenant("a", [SECRETS[0], SECRETS[2], "n"], 50, 5, priority=2), tenant("c", ["o"]), version="r4"
        )
        new["objects"][6]["specification"]["public"] = False
        new["objects"][7]["specification"]["route_type"] = "non_idempotent"
        code, lines = self.tell("diff", self.file(self.old), self.file(new, "new.json"))
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

    def test_export_withholds_keys_unless_asked_and_what_it_then_prints_can_not_be_imported(self):
        store = Store()
        store.open(self.folder / "data", True, "a:1", {"a:1#founder": "a:1"})
        store.write(Save(1, 1, None, [Entry(1, 1, "command", configure(0, self.old))], None, None))
        store.close()
        for extra in ((), ("--json",)):
            told = json.loads("\n".join(self.tell("export", str(self.folder / "data"), *extra)[1]))
            told = told["configuration"] if extra else told
            self.assertEqual(told["objects"][-1]["specification"]["api_keys"], "withheld")
            with self.assertRaises(InvalidConfigurationError):
                parse_configuration(told)
        self.assertEqual(json.loads(run("export", str(self.folder / "data"), "--keys")[1]), self.old)

    def test_explain_and_status_tell_of_tenants_but_not_of_keys(self):
        state = ReplicatedState()
        state.apply(1, configure(0, self.old))
        board = ViewPublisher("e")
        told = [status_report.explain(0.0, state, board, "tiles.example", path, None) for path in ("/open/", "/pay/")]
        lines = ["\n".join(rendering.render_explanation(one)) for one in told]
        self.assertNotIn("needs a tenant's key", lines[0])
        self.assertIn("keyed, needs a tenant's key, timeout 60s", lines[1])
        for secret in SECRETS:
            self.assertNotIn(secret, json.dumps(told))


if __name__ == "__main__":
    unittest.main()
