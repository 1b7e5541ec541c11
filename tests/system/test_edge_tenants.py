"""Keys of tenants at an edge: who is let through, what a node gets to see, and what an edge out of touch does."""

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
    """The usual routes; one that is public, and one whose requests bear an `Operation-Key`."""
    usual = [dataclasses.replace(one, priority=1) for one in routes()]
    public = dataclasses.replace(usual[0], name="/p/", path_prefix="/p/", public=True)
    keyed = dataclasses.replace(usual[1], name="/o/", path_prefix="/o/", keyed=True)
    return [*usual, public, keyed]


def token(key):
    return f"Authorization: Token {key}\r\n"


class TenantsCase(EdgeCase):
    """An edge whose configuration holds tenants, in time that the test moves."""

    async def begin(self, nodes=1, tenants=TENANTS, bounds=BOUNDS, proven=True, **raw):
        self.held = Held(self.loop)
        client_server = await super().begin(nodes, table=table(), now=self.held.now, timing_bounds=bounds, **raw)
        self.give(tenants)
        if proven:
            client_server.forwarder.freshness.renew(self.held.now(), 0.0)
        client_server.view_ready = client_server.can_serve
        return client_server

    def give(self, tenants):
        """A configuration with these tenants is in force at the edge."""
        found = self.view.configuration
        self.view.configuration = Configuration(
            found.version + 1, found.routes, {"s": Service("s"), "k": Service("k")}, Limits(), {}, dict(tenants)
        )
        self.view.tenant_keys = TenantKeys(tenants)

    async def asked(self, path="/i/", headers="", **fields):
        """Status and headers of the answer, and how many requests have reached nodes by it."""
        before = self.runs()
        status, told, _ = await self.ask(path, headers=headers, **fields)
        return status, told, self.runs() - before

    async def status(self, path="/i/", headers=""):
        return (await self.asked(path, headers))[0]

    def got(self):
        return self.nodes[0].seen[-1].headers


class KeyCase(TenantsCase):
    """While the edge knows the newest configuration."""

    async def test_who_is_let_through(self):
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

    async def test_where_keys_are_in_force_headers_are_withheld_whatever_the_configuration_holds(self):
        await self.begin(tenants={}, proven=False, active_contracts=["base", "tenants"])
        self.assertEqual(await self.status("/i/", token("k1") + "Tenant: mine\r\n"), 200)
        self.assertFalse({"authorization", "tenant"} & set(self.got()))

    async def test_a_key_ends_with_the_configuration_that_drops_it_and_begins_with_the_one_that_brings_it(self):
        await self.begin()
        self.assertEqual(await self.status(headers=token("k2")), 200)
        self.give({"first": Tenant("first", ("k1", "k4"))})
        self.assertEqual(await self.status(headers=token("k2")), 401)
        self.assertEqual(await self.status(headers=token("k4")), 200)
        self.assertEqual(self.got()["tenant"], "first")

    async def test_what_is_noted_of_a_request(self):
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
    """An edge that has not heard a fresh core for long."""

    async def test_past_its_lease_no_request_that_needs_a_key_is_taken_and_clients_go_elsewhere(self):
        """Past `config_apply` no request is refused for a key that a newer configuration may hold."""
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

    async def test_a_key_revoked_while_the_edge_is_cut_off_ends_here_in_time(self):
        """The configuration that drops it never comes."""
        await self.begin()
        proven = self.held.now()
        while self.held.now() < proven + 5.0:
            self.held.moment += 0.1
            status, _, runs = await self.asked(headers=token("k1"))
            self.assertEqual(status == 200, runs == 1)
        self.assertEqual((status, runs), (503, 0))

    async def test_a_key_that_a_newer_configuration_brings_is_not_refused_for_good_by_an_edge_out_of_touch(self):
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

    async def test_a_configuration_of_a_core_that_only_just_started_judges_no_key(self):
        await self.begin(proven=False)
        asked = [self.loop.create_task(self.status(headers=headers)) for headers in (token("k1"), token("k4"), "")]
        await turns()
        self.assertEqual((self.runs(), [one.done() for one in asked]), (0, [False] * 3))  # unread, so sent elsewhere
        self.client_server.forwarder.freshness.renew(self.held.now(), 0.0)
        self.client_server.view_changed({"config"})
        self.assertEqual([await one for one in asked], [200, 401, 401])

    async def test_where_revocation_does_not_bind_machines_out_of_touch_only_refusals_need_the_lease(self):
        await self.begin(bounds=LOOSE)
        self.held.moment += 100.0
        self.assertEqual(await self.status(headers=token("k1")), 200)
        self.assertEqual(await self.status(headers=token("k4")), 503)
        self.assertEqual(await self.status(), 503)

    async def test_the_clock_of_the_day_says_nothing(self):
        await self.begin()
        for hours in (-2, 2):
            now = time.time() + hours * 3600
            with self.subTest(hours=hours), mock.patch("time.time", lambda now=now: now):
                self.assertEqual(await self.status(headers=token("k1")), 200)

    async def test_a_freeze_past_the_lease_lets_no_request_out_that_waited_through_it(self):
        """One waits for a node; then the machine stands still, and wakes with time gone by and a node that is free."""
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

    async def test_a_freeze_while_a_connection_comes_up_lets_no_request_out(self):
        await self.begin()
        opened = Pool.open

        async def slow(pool, patience):
            found = await opened(pool, patience)
            self.held.moment += 4.8
            return found

        with mock.patch.object(Pool, "open", slow):
            self.assertEqual(await self.asked("/n/", token("k1")), (503, mock.ANY, 0))

    async def test_a_further_try_is_not_made_past_the_lease(self):
        await self.begin()

        def shed(request, writer):
            self.held.moment += 4.8
            return SHED

        self.nodes[0].script = [shed]
        status, told, _ = await self.asked(headers=token("k1"), deadline=9000)
        self.assertEqual((status, told["connection"], self.runs()), (503, "close", 1))


class ReadyCase(TenantsCase):
    """What the platform is told."""

    async def test_an_edge_that_can_not_judge_keys_is_not_ready_until_a_fresh_core_answers(self):
        client_server = await self.begin()
        readiness = Readiness(client_server)
        self.assertFalse(readiness.at(self.held.now()))
        with self.assertLogs(level="INFO") as logs:
            readiness.begin(self.held.now())
            for moved, wanted in ((0.0, True), (4.6, True), (0.2, False), (3.0, False)):
                self.held.moment += moved
                self.assertEqual(readiness.at(self.held.now()), wanted)
            client_server.forwarder.freshness.renew(self.held.now(), 0.0)
            self.assertTrue(readiness.at(self.held.now()))
            readiness.end()
            self.assertFalse(readiness.at(self.held.now()))
        self.assertEqual(len(logs.output), 3)

    async def test_without_tenants_or_where_revocation_does_not_bind_it_stays_ready(self):
        for tenants, bounds in (({}, BOUNDS), (TENANTS, LOOSE)):
            await self.begin(tenants=tenants, bounds=bounds, proven=False)
            readiness = Readiness(self.client_server)
            readiness.begin(self.held.now())
            self.held.moment += 100.0
            self.assertTrue(readiness.at(self.held.now()))
            self.client_server.drain()

    async def test_an_edge_that_took_its_first_answer_past_its_lease_serves_from_the_next(self):
        client_server = await self.begin(proven=False)
        stood = [5.0, 0.0]  # seconds between a call and its answer

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
