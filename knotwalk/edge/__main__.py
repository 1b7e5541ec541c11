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

from knotwalk.admission.connection_budget import ASKED_FOR
from knotwalk.discovery.cluster_view import ClusterView
from knotwalk.edge import ready
from knotwalk.edge.admission_calls import AdmissionCalls
from knotwalk.edge.caller import Caller
from knotwalk.edge.front import Front
from knotwalk.edge.limits import Refusals, needs_ask
from knotwalk.edge.link import Link
from knotwalk.edge.operations import Operations
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
        self.front = Front(settings, self.view, clock, seed)
        port = settings.ports[0]
        self.link = Link(
            settings.node_name,
            self.view,
            self.caller,
            [f"{ip}:{port}" for ip, _ in settings.seeds],
            seed,
            settings.zone,
            lambda: self.front.report(clock()),
            self.news,
            self.front.forwarder.freshness,
        )
        life = self.link.life = os.urandom(8).hex()
        self.admission_calls = AdmissionCalls(
            settings.node_name,
            life,
            self.cores,
            clock,
            settings.bounds.key_period,
            lambda: self.front.counts,
            settings.machine.link_mbps,
        )
        if ASKED_FOR.intersection(settings.contracts):
            self.front.operations = Operations(
                settings, self.front.forwarder, self.admission_calls, needs_ask, Refusals()
            )
        self.readiness = ready.Readiness(self.front)
        self.ending = ProcessSignals(self.reload, settings.file_state)

    def cores(self) -> list[str]:
        """Addresses of cores to ask for admission: the one that is heard, then others, those of this zone first."""
        link, zone = self.link, self.settings.zone
        others = sorted(self.view.cores, key=lambda core: (core in link.left, link.zones.get(core, zone) != zone))
        return list(dict.fromkeys([*filter(None, (link.core,)), *others]))

    def news(self, changed: set[str], edges: int) -> None:
        """Topics of the cluster view changed; so many `edges` share the budgets."""
        if edges > 1:
            self.front.edges = edges
        self.front.view_changed(changed)
        if self.view.is_complete and not self.ending.stop_requested:
            self.readiness.begin(clock())

    async def run(self) -> None:
        """Serve until the end is asked for, then finish what was read."""
        self.ending.install()
        readiness = await ready.listen(*self.settings.listen_address("readiness"), lambda: self.readiness.at(clock()))
        await self.front.start()
        told = asyncio.get_running_loop().create_task(self.tell_figures())
        link = asyncio.get_running_loop().create_task(self.link.run())
        await self.ending.wait_for_stop(link)
        log_info("leaving")
        self.readiness.end()
        self.front.drain()
        # What was read is finished while the cluster view is still kept up; the rest of the grace is for last bytes.
        await self.front.finished(clock() + self.settings.bounds.grace_period - 0.5)
        await self.admission_calls.finish(clock() + LAST_ENDS)
        link.cancel()
        readiness.close()
        told.cancel()
        await self.caller.close()
        log_info("ended")

    async def tell_figures(self) -> None:
        """Tell this edge's figures at a port, if it is given one, until cancelled."""
        if self.settings.metrics_port is None:
            return
        await asyncio.sleep(METRICS_DELAY_S)
        from knotwalk.edge.figures import figures
        from knotwalk.runtime import metrics

        await metrics.listen(
            self.settings.ip_address,
            self.settings.metrics_port,
            lambda: figures(clock(), self.readiness.at(clock()), self.front, self.link),
        )

    def reload(self, fresh: Settings) -> None:
        """The settings file changed: the seeds are taken up; the rest wants a start."""
        self.link.seeds = [f"{ip}:{fresh.ports[0]}" for ip, _ in fresh.seeds]


if __name__ == "__main__":
    sys.exit(run_program("edge", Edge))
