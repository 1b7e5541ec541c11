"""A program's own metrics in Prometheus' text format, on a port of their own; off unless a port is given.

While the program runs, only plain counters are kept. Metrics are computed from its state on each request. The library
that writes the format takes a tenth of a second of CPU time to load, so the first request loads it on a thread. This
module is itself loaded some time after the start (`lifecycle.METRICS_DELAY_S`), because recovery after the loss of all
machines waits for the start. Names of metrics are listed in docs/guides/system.md and never change.

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
from knotwalk.runtime.decision_guard import DecisionGuard
from knotwalk.runtime.logs import log_exception, log_info, log_warning
from knotwalk.runtime.loop_delay import LoopDelay

PATH = b"/metrics"
OK_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain; version=0.0.4; charset=utf-8\r\nContent-Length: %d\r\n\r\n"
NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
FAILED = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"


class MetricType(Enum):
    """The type of a metric: a current value, or a count that only rises within one run of the program."""

    GAUGE = "gauge"
    COUNTER = "counter"


@dataclass(frozen=True)
class Metric:
    """A named metric: its samples by the values of `labels`. A counter's name is written with `_total` appended."""

    name: str
    kind: MetricType
    description: str
    samples: Mapping[tuple[str, ...], float] = field(default_factory=dict)
    labels: tuple[str, ...] = ()


def gauge(name: str, description: str, value: float) -> Metric:
    """A gauge without labels."""
    return Metric(name, MetricType.GAUGE, description, {(): value})


def loop_delay_metric(delay: LoopDelay) -> Metric:
    """The metric of the event loop's delay, the same for every program."""
    return gauge(
        "knotwalk_loop_delay_seconds", "how late the loop ran what was due, at most, since asked", delay.take()
    )


def decision_failures(name: str, guard: DecisionGuard) -> Metric:
    """The metric of decisions that failed and were passed over, by decision."""
    return Metric(
        name,
        MetricType.COUNTER,
        "decisions that raised an error, by decision; the last good one stayed",
        {(decision,): count for decision, count in guard.failures.items()},
        ("decision",),
    )


def restore_tls_modules() -> None:
    """Restore parts of modules that were loaded without TLS and that the metrics library names but never uses.

    Programs that use no TLS keep `ssl` from being loaded, which takes a tenth of their start-up time.
    """
    if sys.modules.get("ssl", ...) is None:
        del sys.modules["ssl"]
    for name, attribute in (("http.client", "HTTPSConnection"), ("urllib.request", "HTTPSHandler")):
        module = sys.modules.get(name)
        if module is not None and not hasattr(module, attribute):
            importlib.reload(module)


def render_metrics(metrics: Iterable[Metric]) -> bytes:
    """Render metrics in Prometheus' text format."""
    restore_tls_modules()
    from prometheus_client import generate_latest
    from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

    families = {MetricType.GAUGE: GaugeMetricFamily, MetricType.COUNTER: CounterMetricFamily}
    rendered = []
    for metric in metrics:
        family = families[metric.kind](metric.name, metric.description, labels=metric.labels)
        for values, value in sorted(metric.samples.items()):
            family.add_metric(values, value)
        rendered.append(family)
    return generate_latest(_Registry(rendered))


class _Registry:
    """A minimal registry for the library, which only calls `collect`."""

    def __init__(self, families: list):
        self.families = families

    def collect(self) -> list:
        """Return all metric families."""
        return self.families


async def listen(host: str, port: int | None, collect: Callable[[], Iterable[Metric]]) -> asyncio.Server | None:
    """Serve the metrics at PATH if a port is given; a port that cannot be bound costs nothing but the metrics."""

    async def respond() -> bytes:
        try:
            await asyncio.get_running_loop().run_in_executor(None, render_metrics, ())  # loads the library
            body = render_metrics(collect())
        except Exception:
            log_exception("rendering metrics failed")
            return FAILED
        return OK_HEAD % len(body) + body

    if port is None:
        return None
    try:
        server = await text_port.listen(host, port, lambda target: respond() if target == PATH else NOT_FOUND)
    except OSError as error:
        log_warning("metrics port cannot be bound", address=f"{host}:{port}", why=error.strerror)
        return None
    log_info("serving metrics", address=f"{host}:{port}")
    return server
