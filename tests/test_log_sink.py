"""Tests of the log sink and of the metrics."""

import os
import unittest

from bench import front_fakes
from fuchsiacourse.front import front_metrics
from fuchsiacourse.front import log_sink


class LogSinkTest(unittest.TestCase):
    """Guards against logs that block the front or grow without a bound."""

    def setUp(self) -> None:
        self.clock = front_fakes.ManualClock()
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.sink = log_sink.LogSink(
            descriptor=self.writer, now_s=self.clock.now
        )

    def test_lines_are_written_whole(self):
        """Guards against lines that are altered or lost."""
        for number in range(3):
            self.sink.write(f"line {number}\n")
        self.assertEqual(
            b"line 0\nline 1\nline 2\n", os.read(self.reader, 1000)
        )

    def test_slow_reader_does_not_block(self):
        """Guards against a full pipe that blocks a front or splits a line."""
        line = "x" * 4000 + "\n"
        for _ in range(200):
            self.sink.write(line)
        self.assertGreater(self.sink.dropped, 0)
        got = b""
        while len(got) < 4_000_000:
            part = os.read(self.reader, 1_000_000)
            got += part
            self.sink.flush()
            if not self.sink._buffer:
                break
        self.clock.now_s += 1.0
        self.sink.write("after\n")
        tail = os.read(self.reader, 1_000_000)
        self.assertIn(b"lines_dropped", tail)
        self.assertTrue(tail.endswith(b"after\n"))

    def test_rate_is_limited(self):
        """Guards against lines above the rate that aren't counted."""
        for _ in range(5000):
            self.sink.write("x\n")
        written = len(os.read(self.reader, 100_000)) // 2
        self.assertLessEqual(written, log_sink.BURST_LINES)
        self.assertEqual(5000 - written, self.sink.dropped)


class FrontMetricsTest(unittest.TestCase):
    """Guards against wrong metrics and an unbounded number of series."""

    def test_text_format(self):
        """Guards against metrics that Prometheus can't read."""
        metrics = front_metrics.FrontMetrics(gauges=lambda: {"up": 1.0})
        metrics.count("requests_total", service="s", status="200")
        metrics.count("requests_total", service="s", status="200")
        metrics.observe("seconds", 0.03, service="s")
        metrics.observe("seconds", 60.0, service="s")
        text = metrics.render().decode().splitlines()
        self.assertIn('requests_total{service="s",status="200"} 2', text)
        self.assertIn('seconds_bucket{service="s",le="0.02"} 0', text)
        self.assertIn('seconds_bucket{service="s",le="0.05"} 1', text)
        self.assertIn('seconds_bucket{service="s",le="+Inf"} 2', text)
        self.assertIn('seconds_count{service="s"} 2', text)
        self.assertIn("up 1", text)

    def test_number_of_series_is_bounded(self):
        """Guards against memory that grows with label values."""
        metrics = front_metrics.FrontMetrics(gauges=dict)
        for number in range(front_metrics.MAX_SERIES + 10):
            metrics.count("requests_total", service=str(number))
        text = metrics.render().decode()
        self.assertIn("front_series_lost 10", text)
