"""Metrics for statsd and Prometheus; docs/OPERATIONS.md lists their names."""

from abc import ABC, abstractmethod
from collections import Counter

import prometheus_client
import statsd

PREFIX = "knapweedshed"
# The range covers timer ticks, answers of the store, objectives and deadlines.
BUCKETS_MS = (1, 2, 5, 10, 25, 50, 100, 250, 500, 1_000, 3_000, 10_000)


class Metrics(ABC):
    """Counters, timings and gauges of a process."""

    @abstractmethod
    def count(self, name, by=1):
        """Add `by` to counter `name`."""

    @abstractmethod
    def timing(self, name, value_ms):
        """Report a duration in milliseconds."""

    @abstractmethod
    def gauge(self, name, value):
        """Report the current value of gauge `name`."""

    @abstractmethod
    def snapshot(self):
        """Return all counters and gauges since the start, for the state dump."""


class LocalMetrics(Metrics):
    """Keeps counters and gauges in the process only."""

    def __init__(self):
        self._counts = Counter()
        self._gauges = {}

    def count(self, name, by=1):
        """Add `by` to counter `name`."""
        self._counts[name] += by

    def timing(self, name, value_ms):
        """Count the report; the durations themselves are not kept."""
        self._counts[f"{name}.reports"] += 1

    def gauge(self, name, value):
        """Keep the last value of gauge `name`."""
        self._gauges[name] = value

    def snapshot(self):
        """Return all counters and gauges."""
        return {**self._counts, **self._gauges}


class StatsdMetrics(LocalMetrics):
    """Keeps counters, and sends each report to a statsd server over UDP."""

    def __init__(self, host, port, role):
        super().__init__()
        self._client = statsd.StatsClient(host, port, prefix=f"{PREFIX}.{role}")

    def count(self, name, by=1):
        """Add `by` to counter `name` here and at the server."""
        super().count(name, by)
        self._client.incr(name, by)

    def timing(self, name, value_ms):
        """Send a duration in milliseconds."""
        super().timing(name, value_ms)
        self._client.timing(name, value_ms)

    def gauge(self, name, value):
        """Send the current value of gauge `name`."""
        super().gauge(name, value)
        self._client.gauge(name, value)


class PrometheusMetrics(Metrics):
    """Passes each report on to `inner`, and keeps it for a Prometheus endpoint."""

    def __init__(self, inner):
        self._inner = inner
        self._registry = prometheus_client.CollectorRegistry()
        self._counts = prometheus_client.Counter(
            f"{PREFIX}_events", "What was counted", ("name",), registry=self._registry
        )
        self._timings = prometheus_client.Histogram(
            f"{PREFIX}_duration_ms",
            "How long it took, in milliseconds",
            ("name",),
            buckets=BUCKETS_MS,
            registry=self._registry,
        )
        self._gauges = prometheus_client.Gauge(
            f"{PREFIX}_value", "What it is now", ("name",), registry=self._registry
        )

    def count(self, name, by=1):
        """Add `by` to counter `name`."""
        self._inner.count(name, by)
        self._counts.labels(name).inc(by)

    def timing(self, name, value_ms):
        """Report a duration in milliseconds."""
        self._inner.timing(name, value_ms)
        self._timings.labels(name).observe(value_ms)

    def gauge(self, name, value):
        """Report a current value."""
        self._inner.gauge(name, value)
        self._gauges.labels(name).set(value)

    def snapshot(self):
        """Return what was counted since the start, for the state dump."""
        return self._inner.snapshot()

    def exposition_text(self):
        """Return all metrics in the Prometheus text format, as bytes."""
        return prometheus_client.generate_latest(self._registry)


def create_metrics(address, role):
    """Return metrics that report to statsd at `address` (`ip:port`; empty: local)."""
    if not address:
        return LocalMetrics()
    host, _, port = address.rpartition(":")
    return StatsdMetrics(host, int(port), role)
