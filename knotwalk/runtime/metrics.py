"""A program's own figures as text in Prometheus' format, on a port of their own; off unless the program is given one.

Nothing is gathered for it but plain counts: the figures are read off the program's state when somebody asks, and the
library that writes the format is loaded by the first question, on a thread, since loading takes a tenth of a second of
a core. This module is itself loaded a while after the start (`lifecycle.FIGURES_AFTER`), for which a loss of all waits.
Names are stated in docs/guides/system.md and never change.

Source: Prometheus, "Exposition formats", text format 0.0.4.
"""

from __future__ import annotations

import asyncio
import importlib
import sys
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from knotwalk.runtime import text_port
from knotwalk.runtime.logs import log_exception, log_info, log_warning
from knotwalk.runtime.loop_delay import LoopDelay

PATH = b"/metrics"
OK_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain; version=0.0.4; charset=utf-8\r\nContent-Length: %d\r\n\r\n"
NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
FAILED = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"


class MetricType(Enum):
    """What a figure is: its value now, or a count that only rises within a life."""

    GAUGE = "gauge"
    COUNTER = "counter"


@dataclass(frozen=True)
class Metric:
    """One named figure: its samples by the values of `labels`. A counter's name is told with `_total` behind it."""

    name: str
    kind: MetricType
    description: str
    samples: Mapping[tuple[str, ...], float] = field(default_factory=dict)
    labels: tuple[str, ...] = ()


def gauge(name: str, description: str, value: float) -> Metric:
    """A figure without labels."""
    return Metric(name, MetricType.GAUGE, description, {(): value})


def loop_delay_metric(delay: LoopDelay) -> Metric:
    """The figure of it, the same for every program."""
    return gauge(
        "knotwalk_loop_delay_seconds", "how late the loop ran what was due, at most, since asked", delay.take()
    )


def restore_tls_modules() -> None:
    """Load what the library names, and never uses, of modules that were loaded without TLS.

    Programs that speak none keep `ssl` from being loaded at their start, which costs a tenth of it.
    """
    if sys.modules.get("ssl", ...) is None:
        del sys.modules["ssl"]
    for name, part in (("http.client", "HTTPSConnection"), ("urllib.request", "HTTPSHandler")):
        module = sys.modules.get(name)
        if module is not None and not hasattr(module, part):
            importlib.reload(module)


def render_metrics(figures: Iterable[Metric]) -> bytes:
    """The figures in Prometheus' text format."""
    restore_tls_modules()
    from prometheus_client import generate_latest
    from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

    families = {MetricType.GAUGE: GaugeMetricFamily, MetricType.COUNTER: CounterMetricFamily}
    made = []
    for figure in figures:
        family = families[figure.kind](figure.name, figure.description, labels=figure.labels)
        for values, value in sorted(figure.samples.items()):
            family.add_metric(values, value)
        made.append(family)
    return generate_latest(_Registry(made))


class _Registry:
    """What the library takes for a registry: whatever has `collect`."""

    def __init__(self, families: list):
        self.families = families

    def collect(self) -> list:
        """All families."""
        return self.families


async def listen(host: str, port: int | None, figures: Callable[[], Iterable[Metric]]) -> asyncio.Server | None:
    """Tell `figures` at PATH of a port, if one is given; one that can't be had costs the figures and nothing else."""

    async def told() -> bytes:
        try:
            await asyncio.get_running_loop().run_in_executor(None, render_metrics, ())  # loads the library
            body = render_metrics(figures())
        except Exception:
            log_exception("figures can't be told")
            return FAILED
        return OK_HEAD % len(body) + body

    if port is None:
        return None
    try:
        server = await text_port.listen(host, port, lambda target: told() if target == PATH else NOT_FOUND)
    except OSError as error:
        log_warning("no port for figures", address=f"{host}:{port}", why=error.strerror)
        return None
    log_info("figures", address=f"{host}:{port}")
    return server
