"""python -m knotwalk.edge: runs one edge until SIGTERM, as configured by the platform's settings file."""

from __future__ import annotations

import signal
import sys

if (
    __name__ == "__main__"
):  # SIGHUP (settings changed) must not kill a starting process; it is handled once the loop runs
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
# An edge uses no TLS, and asyncio works without the module, which would cost start time and memory.
sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]

import asyncio
import os
from zlib import crc32

from knotwalk.admission.connection_budget import ASK_CONTRACTS
from knotwalk.discovery.cluster_view import ClusterView
from knotwalk.edge import readiness
from knotwalk.edge.admission_calls import AdmissionCalls
from knotwalk.edge.caller import Caller
from knotwalk.edge.client_server import ClientServer
from knotwalk.edge.limits import Refusals, needs_ask
from knotwalk.edge.operations import Operations
from knotwalk.edge.view_poller import ViewPoller
from knotwalk.runtime.decision_guard import DecisionGuard
from knotwalk.runtime.lifecycle import METRICS_DELAY_S, ProcessSignals, run_program
from knotwalk.runtime.logs import clock, log_info
from knotwalk.runtime.settings import Settings

# Time at shutdown for reporting ends of operations that no core has accepted yet.
LAST_ENDS_TIMEOUT_S = 0.3


class Edge:
    """The components of an edge, wired together.

    Ready from the first complete cluster view of a fresh core until shutdown begins."""

    def __init__(self, settings: Settings):
        self.settings = settings
        (
            settings.listen_address("data_plane"),
            settings.listen_address("readiness"),
        )  # fails early if an address is missing
        seed = crc32(f"{settings.node_name}{os.getpid()}{os.urandom(4).hex()}".encode())
        self.view = ClusterView()
        self.caller, self.guard = Caller(), DecisionGuard()
        self.client_server = ClientServer(settings, self.view, clock, seed)
        port = settings.ports[0]
        self.view_poller = ViewPoller(
            settings.node_name,
            self.view,
            self.caller,
            [f"{ip}:{port}" for ip, _ in settings.seeds],
            seed,
            settings.zone,
            lambda: self.client_server.report(clock()),
            self.on_view_update,
            self.client_server.forwarder.freshness,
            self.guard,
        )
        incarnation = self.view_poller.incarnation = os.urandom(8).hex()
        self.admission_calls = AdmissionCalls(
            settings.node_name,
            incarnation,
            self.cores,
            clock,
            settings.bounds.key_period,
            lambda: self.client_server.counts,
            settings.machine.link_mbps,
        )
        if ASK_CONTRACTS.intersection(settings.contracts):
            self.client_server.operations = Operations(
                settings, self.client_server.forwarder, self.admission_calls, needs_ask, Refusals()
            )
        self.readiness = readiness.Readiness(self.client_server)
        self.ending = ProcessSignals(self.reload, settings.file_state)

    def cores(self) -> list[str]:
        """Addresses of cores for admission requests: the one that is polled, then others, those of this zone first."""
        poller, zone = self.view_poller, self.settings.zone
        others = sorted(
            self.view.cores, key=lambda core: (core in poller.failed_at, poller.zones.get(core, zone) != zone)
        )
        return list(dict.fromkeys([*filter(None, (poller.core,)), *others]))

    def on_view_update(self, changed: set[str], edges: int) -> None:
        """Apply changed topics of the cluster view; `edges` share retry budgets and connections, 0: not known."""
        if edges:
            self.client_server.edges = edges
        self.client_server.view_changed(changed)
        if self.view.is_complete and not self.ending.stop_requested:
            self.readiness.on_view_ready(clock())

    async def run(self) -> None:
        """Serve until shutdown is requested, then finish the requests that were read."""
        self.ending.install()
        readiness_server = await readiness.listen(
            *self.settings.listen_address("readiness"), lambda: self.readiness.is_ready(clock())
        )
        await self.client_server.start()
        serving_metrics = asyncio.get_running_loop().create_task(self.serve_metrics())
        polling = asyncio.get_running_loop().create_task(self.view_poller.run())
        await self.ending.wait_for_stop(polling)
        log_info("shutting down")
        self.readiness.stop()
        ends_at = self.client_server.drain()
        # Requests that were read are finished while the cluster view is still updated.
        await self.client_server.finished(ends_at)
        await self.admission_calls.finish(clock() + LAST_ENDS_TIMEOUT_S)
        self.client_server.answer_the_rest()
        polling.cancel()
        readiness_server.close()
        serving_metrics.cancel()
        await self.caller.close()
        log_info("ended")

    async def serve_metrics(self) -> None:
        """Serve this edge's metrics, if a port is configured."""
        if self.settings.metrics_port is None:
            return
        await asyncio.sleep(METRICS_DELAY_S)
        from knotwalk.edge.edge_metrics import edge_metrics
        from knotwalk.runtime import metrics

        await metrics.listen(
            self.settings.ip_address,
            self.settings.metrics_port,
            lambda: edge_metrics(clock(), self.readiness.is_ready(clock()), self.client_server, self.view_poller),
        )

    def reload(self, settings: Settings) -> None:
        """The settings file changed: apply the seeds; other changes need a restart."""
        self.view_poller.seeds = [f"{ip}:{settings.ports[0]}" for ip, _ in settings.seeds]


if __name__ == "__main__":
    sys.exit(run_program("edge", Edge))
