"""Tenant keys at an edge: which requests are admitted, what nodes see, and an edge cut off from the cores."""

import dataclasses
import time
from unittest import mock

from standins.jumps import Held
from standins.nodes import SHED, routes

from knotwalk.configuration.objects import Configuration, Limits, Service, Tenant
from knotwalk.configuration.tenants import TenantKeys
from knotwalk.edge.connection_pool import Pool
from knotwalk.edge.readiness import Readiness
from knotwalk.edge.view_poller import ViewPoller
from tests.system.edge_case import EdgeCase, turns, wait_for

BOUNDS = {"global_revocation": True, "revoke_timeout": "5s"}
LOOSE = {"global_revocation": False, "revoke_timeout": "5s"}
TENANTS = {"first": Tenant("first", ("k1", "k2"), 3), "second": Tenant("second", ("k3",))}


def table():
    """The usual routes, a public one, and a keyed one, whose requests have an `Operation-Key`."""
    usual = [dataclasses.replace(one, priority=1) for one in routes()]
    public = dataclasses.replace(usual[0], name="/p/", path_prefix="/p/", public=True)
    keyed = dataclasses.replace(usual[1], name="/o/", path_prefix="/o/", keyed=True)
    return [*usual, public, keyed]


def token(key):
    return f"Authorization: Token {key}\r\n"


class TenantsCase(EdgeCase):
    """An edge whose configuration has tenants, with a clock that the test moves."""

    async def begin(self, nodes=1, tenants=TENANTS, bounds=BOUNDS, proven=True, **raw):
        self.held = Held(self.loop)
        client_server = await super().begin(nodes, table=table(), now=self.held.now, timing_bounds=bounds, **raw)
        self.give(tenants)
        if proven:
            client_server.forwarder.freshness.renew(self.held.now(), 0.0)
        client_server.view_ready = client_server.can_serve
        return client_server

    def give(self, tenants):
        """Put a configuration with these tenants in force at the edge."""
        found = self.view.configuration
        self.view.configuration = Configuration(
            found.version + 1, found.routes, {"s": Service("s"), "k": Service("k")}, Limits(), {}, dict(tenants)
        )
        self.view.tenant_keys = TenantKeys(tenants)

    async def asked(self, path="/i/", headers="", **fields):
        """Status and headers of the answer, and the number of requests that reached nodes for it."""
        before = self.runs()
        status, told, _ = await self.ask(path, headers=headers, **fields)
        return status, told, self.runs() - before

    async def status(self, path="/i/", headers=""):
        return (await self.asked(path, headers))[0]

    def got(self):
        return self.nodes[0].seen[-1].headers


class KeyCase(TenantsCase):
    """The edge knows the newest configuration."""

    async def test_which_requests_are_admitted(self):
        await self.begin()
        for path, headers, wanted in (
            ("/i/", token("k1"), 200),
            ("/n/", token("k3"), 200),
            ("/i/", "authorization:   token   k2  \r\n", 200),
            ("/i/", "", 401),
            ("/i/", token("k4"), 401),
            ("/i/", token("K1"), 401),
            ("/i/", token(""), 401),
            ("/i/", "Authorization: Bearer k1\r\n", 401),
            ("/i/", "Authorization: k1\r\n", 401),
            ("/i/", token("k1") + token("k1"), 401),
            ("/i/", "Tenant: first\r\n", 401),
            ("/p/", "", 200),
            ("/p/", token("k4"), 200),
            ("/p/", token("k1"), 200),
        ):
            with self.subTest(path=path, headers=headers):
                status, _, runs = await self.asked(path, headers)
                self.assertEqual((status, runs), (wanted, int(wanted == 200)))

    async def test_a_node_gets_the_tenant_and_never_the_key(self):
        await self.begin()
        forged = "Tenant: second\r\ntenant: x\r\nConnection: tenant, operation-key\r\n"
        for path, headers, tenant in (
            ("/i/", token("k1"), "first"),
            ("/i/", forged + token("k2") + forged, "first"),
            ("/n/", token("k3") + "TENANT: first\r\n", "second"),
            ("/p/", "Tenant: first\r\n", None),
            ("/p/", token("k4") + "Tenant: first\r\n", None),
            ("/p/", token("k3"), "second"),
            ("/p/", "Authorization: Basic k1\r\n", None),
        ):
            with self.subTest(path=path, headers=headers):
                self.assertEqual(await self.status(path, headers), 200)
                self.assertEqual(self.got().get("tenant"), tenant)
                self.assertNotIn("authorization", self.got())

    async def test_without_tenants_headers_go_on_as_they_came(self):
        await self.begin(tenants={}, proven=False)
        self.assertEqual(await self.status("/i/", token("k1") + "Tenant: mine\r\n"), 200)
        self.assertEqual((self.got()["authorization"], self.got()["tenant"]), ("Token k1", "mine"))

    async def test_under_the_tenants_contract_headers_are_withheld_whatever_the_configuration(self):
        await self.begin(tenants={}, proven=False, active_contracts=["base", "tenants"])
        self.assertEqual(await self.status("/i/", token("k1") + "Tenant: mine\r\n"), 200)
        self.assertFalse({"authorization", "tenant"} & set(self.got()))

    async def test_a_key_is_valid_from_the_configuration_that_adds_it_until_the_one_that_removes_it(self):
        await self.begin()
        self.assertEqual(await self.status(headers=token("k2")), 200)
        self.give({"first": Tenant("first", ("k1", "k4"))})
        self.assertEqual(await self.status(headers=token("k2")), 401)
        self.assertEqual(await self.status(headers=token("k4")), 200)
        self.assertEqual(self.got()["tenant"], "first")

    async def test_tenant_priority_and_operation_of_a_request(self):
        begun = []
        client_server = await self.begin()
        with mock.patch.object(
            client_server, "forward", lambda exchange: (begun.append(exchange), exchange.respond(503, "", 0.1))
        ):
            for path, headers in (
                ("/i/", token("k1")),
                ("/i/", token("k3")),
                ("/p/", "Operation-Key: k-1\r\n"),
                ("/o/", token("k3") + "Operation-Key: k-1\r\nConnection: operation-key\r\n"),
                ("/o/", token("k3")),
            ):
                await self.ask(path, headers=headers)
        found = [(one.tenant, one.priority, one.operation) for one in begun]
        self.assertEqual(
            found, [("first", 3, ""), ("second", 1, ""), ("", 1, ""), ("second", 1, "k-1"), ("second", 1, "")]
        )
        self.assertIn(b"Operation-Key: k-1\r\n", begun[3].head)
        self.assertTrue(all(not one.is_repeatable for one in begun[3:]))
        self.assertEqual(await self.status("/o/", token("k3") + "Operation-Key: a\r\nOperation-Key: b\r\n"), 400)

    async def test_no_key_is_logged_or_counted(self):
        client_server = await self.begin()
        for path, headers in (("/i/", token("SECRET-1")), ("/p/", token("SECRET-1")), ("/i/", token("k1"))):
            await self.asked(path, headers)
        text = repr(
            (
                client_server.counts,
                client_server.report(self.held.now()),
                self.view.configuration,
                self.view.tenant_keys.tenants,
            )
        )
        for key in ("SECRET-1", "k1", "k3"):
            self.assertNotIn(key, text)


class LeaseCase(TenantsCase):
    """An edge that has not heard from a fresh core for long."""

    async def test_after_its_lease_no_request_that_needs_a_key_is_accepted_and_clients_go_elsewhere(self):
        """After `config_apply` no request is refused for a key that a newer configuration may have."""
        client_server = await self.begin()
        for moved, refuses, held in (
            (1.9, True, True),
            (0.1, False, True),
            (2.6, False, True),
            (0.2, False, False),
            (100.0, False, False),
        ):
            self.held.moment += moved
            for path, headers, known, sure in (
                ("/i/", token("k1"), 200, held),
                ("/i/", token("k4"), 401, refuses),
                ("/i/", "", 401, refuses),
                ("/p/", token("k1"), 200, held),
                ("/p/", token("k4"), 200, refuses),
            ):
                with self.subTest(moved=moved, path=path, headers=headers):
                    status, told, runs = await self.asked(path, headers)
                    self.assertEqual(status, known if sure else 503)
                    if not sure:
                        self.assertEqual((runs, told["connection"]), (0, "close"))
                        self.assertLess(float(told["retry-after"]), 0.3)
            self.assertEqual(await self.status("/p/"), 200)
            self.assertEqual(await self.status("/x/"), 404)
        client_server.forwarder.freshness.renew(self.held.now() - 1.0, -0.5)
        self.assertEqual(await self.status(headers=token("k1")), 200)

    async def test_a_key_revoked_while_the_edge_is_cut_off_is_refused_in_time(self):
        """The configuration that removes it never arrives."""
        await self.begin()
        proven = self.held.now()
        while self.held.now() < proven + 5.0:
            self.held.moment += 0.1
            status, _, runs = await self.asked(headers=token("k1"))
            self.assertEqual(status == 200, runs == 1)
        self.assertEqual((status, runs), (503, 0))

    async def test_an_edge_cut_off_does_not_refuse_with_401_a_key_that_a_newer_configuration_may_have(self):
        await self.begin()
        self.held.moment += 5.0
        self.assertEqual(await self.status(headers=token("new")), 503)
        self.give(TENANTS | {"third": Tenant("third", ("new",))})
        self.client_server.forwarder.freshness.renew(self.held.now(), 0.0)
        self.assertEqual(await self.status(headers=token("new")), 200)

    async def test_a_key_is_refused_up_to_config_apply_only(self):
        for bounds, length in ((BOUNDS, 2.0), (LOOSE, 2.0), (BOUNDS | {"config_apply": "1s"}, 1.0)):
            client_server = await self.begin(bounds=bounds)
            self.held.moment += length - 0.1
            self.assertEqual(await self.status(headers=token("new")), 401)
            self.held.moment += 0.1
            self.assertEqual(await self.status(headers=token("new")), 503)
            client_server.drain()
            await client_server.finished(0)

    async def test_keys_are_not_checked_with_the_configuration_of_a_core_that_just_started(self):
        await self.begin(proven=False)
        asked = [self.loop.create_task(self.status(headers=headers)) for headers in (token("k1"), token("k4"), "")]
        await turns()
        self.assertEqual(
            (self.runs(), [one.done() for one in asked]), (0, [False] * 3)
        )  # unread, so that clients send them elsewhere
        self.client_server.forwarder.freshness.renew(self.held.now(), 0.0)
        self.client_server.view_changed({"config"})
        self.assertEqual([await one for one in asked], [200, 401, 401])

    async def test_where_revocation_does_not_bind_machines_cut_off_only_refusals_need_the_lease(self):
        await self.begin(bounds=LOOSE)
        self.held.moment += 100.0
        self.assertEqual(await self.status(headers=token("k1")), 200)
        self.assertEqual(await self.status(headers=token("k4")), 503)
        self.assertEqual(await self.status(), 503)

    async def test_the_wall_clock_does_not_matter(self):
        await self.begin()
        for hours in (-2, 2):
            now = time.time() + hours * 3600
            with self.subTest(hours=hours), mock.patch("time.time", lambda now=now: now):
                self.assertEqual(await self.status(headers=token("k1")), 200)

    async def test_a_request_that_waited_through_a_stall_beyond_the_lease_is_not_sent(self):
        """A request waits for a node while the machine stalls; then the lease has lapsed and a node is free."""
        await self.begin(0)
        tries = [self.asked(path, token("k1"), deadline=9000) for path in ("/i/", "/n/", "/o/")]
        asked = [self.loop.create_task(one) for one in tries]
        await wait_for(lambda: len(self.client_server.forwarder.waiting) == 3)
        self.held.moment += 4.8
        node = self.nodes[0].node()
        self.view.nodes[node.id] = node
        self.view.nodes_by_service["s"] = [node]
        self.client_server.view_changed({"nodes"})
        for one in asked:
            await wait_for(one.done)
            self.assertEqual((await one)[0], 503)
        self.assertEqual(self.runs(), 0)

    async def test_a_stall_while_connecting_lets_no_request_out(self):
        await self.begin()
        opened = Pool.open

        async def slow(pool, patience):
            found = await opened(pool, patience)
            self.held.moment += 4.8
            return found

        with mock.patch.object(Pool, "open", slow):
            self.assertEqual(await self.asked("/n/", token("k1")), (503, mock.ANY, 0))

    async def test_no_retry_is_made_after_the_lease(self):
        await self.begin()

        def shed(request, writer):
            self.held.moment += 4.8
            return SHED

        self.nodes[0].script = [shed]
        status, told, _ = await self.asked(headers=token("k1"), deadline=9000)
        self.assertEqual((status, told["connection"], self.runs()), (503, "close", 1))


class ReadyCase(TenantsCase):
    """Readiness as the platform sees it."""

    async def test_an_edge_that_can_not_check_keys_is_not_ready_until_a_fresh_core_answers(self):
        client_server = await self.begin()
        readiness = Readiness(client_server)
        self.assertFalse(readiness.is_ready(self.held.now()))
        with self.assertLogs(level="INFO") as logs:
            readiness.on_view_ready(self.held.now())
            for moved, wanted in ((0.0, True), (4.6, True), (0.2, False), (3.0, False)):
                self.held.moment += moved
                self.assertEqual(readiness.is_ready(self.held.now()), wanted)
            client_server.forwarder.freshness.renew(self.held.now(), 0.0)
            self.assertTrue(readiness.is_ready(self.held.now()))
            readiness.stop()
            self.assertFalse(readiness.is_ready(self.held.now()))
        self.assertEqual(len(logs.output), 3)

    async def test_without_tenants_or_where_revocation_does_not_bind_it_stays_ready(self):
        for tenants, bounds in (({}, BOUNDS), (TENANTS, LOOSE)):
            await self.begin(tenants=tenants, bounds=bounds, proven=False)
            readiness = Readiness(self.client_server)
            readiness.on_view_ready(self.held.now())
            self.held.moment += 100.0
            self.assertTrue(readiness.is_ready(self.held.now()))
            self.client_server.drain()

    async def test_an_edge_whose_first_answer_came_after_its_lease_serves_from_the_next(self):
        client_server = await self.begin(proven=False)
        stood = [5.0, 0.0]  # seconds that each call takes

        async def json(*_):
            self.held.moment += stood.pop(0)
            return {"fresh": True, "zone": "z", "edges": 1, "proven": -0.1}

        told = mock.Mock(side_effect=lambda changed, _: client_server.view_changed(changed))
        view_poller = ViewPoller(
            "e", self.view, mock.Mock(json=json), [], 1, "z", dict, told, client_server.forwarder.freshness
        )
        with mock.patch("knotwalk.edge.view_poller.clock", self.held.now):
            self.assertTrue(await view_poller.poll("core"))
            self.assertFalse(client_server.view_ready)
            asked = self.loop.create_task(self.status(headers=token("k1")))
            await turns()
            self.assertFalse(asked.done())
            self.assertTrue(await view_poller.poll("core"))
        self.assertTrue(client_server.view_ready)
        self.assertEqual((await asked, told.call_count), (200, 2))
