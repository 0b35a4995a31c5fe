"""The metrics of a host in the text format that Prometheus fetches."""

import unittest

from knapweedshed.metrics import BUCKETS_MS, LocalMetrics, PrometheusMetrics


class ExpositionTest(unittest.TestCase):
    """What a Prometheus server reads."""

    def setUp(self):
        self.metrics = PrometheusMetrics(LocalMetrics())

    def _lines(self):
        return self.metrics.exposition_text().decode().splitlines()

    def test_counters_and_gauges_are_listed_by_name(self):
        self.metrics.count("holds.failures")
        self.metrics.count("holds.failures", 2)
        self.metrics.gauge("jobs", 7)
        lines = self._lines()
        self.assertIn("# TYPE knapweedshed_events_total counter", lines)
        self.assertIn('knapweedshed_events_total{name="holds.failures"} 3.0', lines)
        self.assertIn('knapweedshed_value{name="jobs"} 7.0', lines)

    def test_buckets_are_cumulative_and_include_their_limit(self):
        for value_ms in (5, 5.1, 20_000):
            self.metrics.timing("plan", value_ms)
        lines = self._lines()
        self.assertIn(
            'knapweedshed_duration_ms_bucket{le="2.0",name="plan"} 0.0', lines
        )
        self.assertIn(
            'knapweedshed_duration_ms_bucket{le="5.0",name="plan"} 1.0', lines
        )
        limit = f"{BUCKETS_MS[-1]:.1f}"
        self.assertIn(
            f'knapweedshed_duration_ms_bucket{{le="{limit}",name="plan"}} 2.0', lines
        )
        self.assertIn(
            'knapweedshed_duration_ms_bucket{le="+Inf",name="plan"} 3.0', lines
        )
        self.assertIn('knapweedshed_duration_ms_count{name="plan"} 3.0', lines)
        self.assertIn('knapweedshed_duration_ms_sum{name="plan"} 20010.1', lines)

    def test_label_values_are_escaped(self):
        self.metrics.count('a"b\\c\nd')
        self.assertIn(
            'knapweedshed_events_total{name="a\\"b\\\\c\\nd"} 1.0', self._lines()
        )

    def test_reports_reach_the_inner_metrics(self):
        self.metrics.count("x")
        self.metrics.gauge("y", 2)
        self.assertEqual(self.metrics.snapshot(), {"x": 1, "y": 2})


if __name__ == "__main__":
    unittest.main()
