"""Metrics for statsd and Prometheus; docs/OPERATIONS.md lists their names."""

import threading
from abc import ABC, abstractmethod
from bisect import bisect_left
from collections import Counter
from itertools import accumulate

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
    """Passes each report on to `inner`, and keeps it for a Prometheus endpoint.

    prometheus_client itself imports a TLS library and an HTTP server, which take 7 MB
    of each host.
    """

    def __init__(self, inner):
        self._inner = inner
        self._lock = threading.Lock()
        self._counts = Counter()
        self._histograms = {}
        self._gauges = {}

    def count(self, name, by=1):
        """Add `by` to counter `name`."""
        with self._lock:
            self._inner.count(name, by)
            self._counts[name] += by

    def timing(self, name, value_ms):
        """Report a duration in milliseconds."""
        with self._lock:
            self._inner.timing(name, value_ms)
            histogram = self._histograms.get(name)
            if histogram is None:
                histogram = self._histograms[name] = Histogram()
            histogram.observe(value_ms)

    def gauge(self, name, value):
        """Report a current value."""
        with self._lock:
            self._inner.gauge(name, value)
            self._gauges[name] = value

    def snapshot(self):
        """Return what was counted since the start, for the state dump."""
        return self._inner.snapshot()

    def exposition_text(self):
        """Return all metrics in the Prometheus text format, as bytes."""
        with self._lock:
            lines = [
                *_describe(f"{PREFIX}_events_total", "counter", "What was counted")
            ]
            for name, value in sorted(self._counts.items()):
                lines.append(_sample(f"{PREFIX}_events_total", value, name=name))
            family = f"{PREFIX}_duration_ms"
            lines += _describe(family, "histogram", "How long it took, in milliseconds")
            for name, histogram in sorted(self._histograms.items()):
                lines += histogram.samples(family, name)
            lines += _describe(f"{PREFIX}_value", "gauge", "What it is now")
            for name, value in sorted(self._gauges.items()):
                lines.append(_sample(f"{PREFIX}_value", value, name=name))
        return "".join(f"{line}\n" for line in lines).encode()


class Histogram:
    """Counts durations by the buckets of `BUCKETS_MS`, and adds them up."""

    def __init__(self):
        self._counts = [0] * (len(BUCKETS_MS) + 1)
        self._sum_ms = 0.0

    def observe(self, value_ms):
        """Count a duration in milliseconds."""
        self._counts[bisect_left(BUCKETS_MS, value_ms)] += 1
        self._sum_ms += value_ms

    def samples(self, family, name):
        """Return the lines of the Prometheus text format; buckets are cumulative."""
        totals = list(accumulate(self._counts))
        limits = [*(f"{limit:.1f}" for limit in BUCKETS_MS), "+Inf"]
        lines = [
            _sample(f"{family}_bucket", total, le=limit, name=name)
            for limit, total in zip(limits, totals, strict=True)
        ]
        lines.append(_sample(f"{family}_count", totals[-1], name=name))
        lines.append(_sample(f"{family}_sum", self._sum_ms, name=name))
        return lines


def _describe(family, kind, help_text):
    return (f"# HELP {family} {help_text}", f"# TYPE {family} {kind}")


def _sample(metric, value, **labels):
    pairs = ",".join(f'{key}="{_escape(text)}"' for key, text in labels.items())
    return f"{metric}{{{pairs}}} {float(value)}"


def _escape(text):
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return escaped.replace("\n", "\\n")


def create_metrics(address, role):
    """Return metrics that report to statsd at `address` (`ip:port`; empty: local)."""
    if not address:
        return LocalMetrics()
    host, _, port = address.rpartition(":")
    return StatsdMetrics(host, int(port), role)
