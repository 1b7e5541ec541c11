"""python -m knotwalk.edge: one edge's program, until SIGTERM. The platform's settings file says the rest."""

from __future__ import annotations

import signal
import sys

if __name__ == "__main__":  # a change of the settings file must not end a start: it is looked for once the loop runs
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
# No TLS is spoken here, and asyncio does without it: it is a part of an edge's start, and of its memory.
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
from knotwalk.runtime.lifecycle import METRICS_DELAY_S, ProcessSignals, run_program
from knotwalk.runtime.logs import clock, log_info
from knotwalk.runtime.settings import Settings

# Seconds at the end for telling how operations ended that no core took yet.
LAST_ENDS = 0.3


class Edge:
    """The rooms of an edge, wired together. Ready once a fresh core gave it a whole cluster view, until it must end."""

    def __init__(self, settings: Settings):
        self.settings = settings
        settings.listen_address("data_plane"), settings.listen_address("readiness")  # said before anything is begun
        seed = crc32(f"{settings.node_name}{os.getpid()}{os.urandom(4).hex()}".encode())
        self.view = ClusterView()
        self.caller = Caller()
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
            self.news,
            self.client_server.forwarder.freshness,
        )
        life = self.view_poller.life = os.urandom(8).hex()
        self.admission_calls = AdmissionCalls(
            settings.node_name,
            life,
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
        """Addresses of cores to ask for admission: the one that is heard, then others, those of this zone first."""
        poller, zone = self.view_poller, self.settings.zone
        others = sorted(
            self.view.cores, key=lambda core: (core in poller.failed_at, poller.zones.get(core, zone) != zone)
        )
        return list(dict.fromkeys([*filter(None, (poller.core,)), *others]))

    def news(self, changed: set[str], edges: int) -> None:
        """Topics of the cluster view changed; so many `edges` share the budgets."""
        if edges > 1:
            self.client_server.edges = edges
        self.client_server.view_changed(changed)
        if self.view.is_complete and not self.ending.stop_requested:
            self.readiness.begin(clock())

    async def run(self) -> None:
        """Serve until the end is asked for, then finish what was read."""
        self.ending.install()
        readiness_server = await readiness.listen(
            *self.settings.listen_address("readiness"), lambda: self.readiness.at(clock())
        )
        await self.client_server.start()
        serving_metrics = asyncio.get_running_loop().create_task(self.serve_metrics())
        polling = asyncio.get_running_loop().create_task(self.view_poller.run())
        await self.ending.wait_for_stop(polling)
        log_info("leaving")
        self.readiness.end()
        self.client_server.drain()
        # What was read is finished while the cluster view is still kept up; the rest of the grace is for last bytes.
        await self.client_server.finished(clock() + self.settings.bounds.grace_period - 0.5)
        await self.admission_calls.finish(clock() + LAST_ENDS)
        polling.cancel()
        readiness_server.close()
        serving_metrics.cancel()
        await self.caller.close()
        log_info("ended")

    async def serve_metrics(self) -> None:
        """Tell this edge's figures at a port, if it is given one, until cancelled."""
        if self.settings.metrics_port is None:
            return
        await asyncio.sleep(METRICS_DELAY_S)
        from knotwalk.edge.edge_metrics import edge_metrics
        from knotwalk.runtime import metrics

        await metrics.listen(
            self.settings.ip_address,
            self.settings.metrics_port,
            lambda: edge_metrics(clock(), self.readiness.at(clock()), self.client_server, self.view_poller),
        )

    def reload(self, fresh: Settings) -> None:
        """The settings file changed: the seeds are taken up; the rest wants a start."""
        self.view_poller.seeds = [f"{ip}:{fresh.ports[0]}" for ip, _ in fresh.seeds]


if __name__ == "__main__":
    sys.exit(run_program("edge", Edge))
