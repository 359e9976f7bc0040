"""Tests of the metrics of a process."""

import unittest

import aioprometheus

from fuchsiacourse import metrics as metric_tables


def rendered(metrics: metric_tables.Metrics) -> str:
    """Returns the metrics in the text format of the status port."""
    return aioprometheus.render(metrics.registry, [])[0].decode()


class MetricsTest(unittest.TestCase):
    """Amounts pending outside of the library must be flushed exactly once."""

    def test_amounts_are_served_once(self):
        """Guards against amounts that are lost or exported twice."""
        metrics = metric_tables.Metrics(program="entry")
        metrics.count("answers", "Answers.", service="a", verdict="ran")
        metrics.count("answers", "Answers.", service="b", verdict="ran")
        metrics.add("answers", "Answers.", 2, service="a", verdict="ran")
        for _ in range(2):
            text = rendered(metrics)
            self.assertRegex(text, r'answers{.*service="a".*} 3\n')
            self.assertRegex(text, r'answers{.*service="b".*} 1\n')
        metrics.count("answers", "Answers.", service="a", verdict="ran")
        self.assertRegex(rendered(metrics), r'answers{.*service="a".*} 4\n')
