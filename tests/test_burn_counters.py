"""Tests of the counters for the service-level report."""

import datetime
import unittest

from bench import entry_fakes
from bench import virtual_loop
from fuchsiacourse import burn_counters
from fuchsiacourse import caller_request
from fuchsiacourse import verdict as verdicts


class _Clock(virtual_loop.VirtualClock):
    """Virtual clock whose wall time is set by the test."""

    wall_s = 0.0

    def wall(self):
        return self.wall_s


def answer(status=200, verdict=verdicts.Verdict.RAN, is_refusal=False):
    return caller_request.CallerAnswer(
        status=status, verdict=verdict, is_refusal=is_refusal
    )


def at(text):
    return datetime.datetime.fromisoformat(text).timestamp()


class BurnCountersTest(unittest.TestCase):
    """Answers must count as callers received them, in the right month."""

    def record(self, *cases, time_zone="Europe/London"):
        """Returns the counts by month after recording answers.

        Args:
            *cases: Wall time, answer and elapsed seconds of each request.
            time_zone: Time zone of the service.
        """
        clock = _Clock()
        counters = burn_counters.BurnCounters(clock=clock)
        service = entry_fakes.service(
            time_zone=time_zone,
            objectives=[{"kind": "book", "within_ms": 400, "ratio": 0.99}],
        )
        for wall, caller_answer, elapsed_s in cases:
            clock.wall_s = at(wall)
            counters.record(
                service,
                service.kinds_by_name["book"],
                caller_answer,
                elapsed_s=elapsed_s,
            )
        return {
            row.month: (row.total, row.good, row.worth, row.worth_served)
            for row in counters.snapshot()
        }

    def test_only_timely_whole_answers_are_good(self):
        """Guards against counting late or failed answers as good."""
        day = "2026-07-10T12:00:00+00:00"
        rows = self.record(
            (day, answer(), 0.4),
            (day, answer(404), 0.1),
            (day, answer(), 0.41),
            (day, answer(500), 0.1),
            (day, answer(503, verdicts.Verdict.NOT_RUN, True), 0.1),
            (day, answer(502, verdicts.Verdict.MAY_HAVE_RUN, True), 0.1),
            # Rejections for the caller's own fault are not counted.
            (day, answer(429, verdicts.Verdict.NOT_RUN, True), 0.1),
        )
        self.assertEqual({"2026-07": (6, 2, 30.0, 10.0)}, rows)

    def test_month_of_the_service(self):
        """Guards against counting answers in a neighbouring month."""
        case = ("2026-07-31T23:30:00+00:00", answer(), 0.1)
        for time_zone, month in (
            ("Europe/London", "2026-08"),
            ("Africa/Tunis", "2026-08"),
            ("UTC", "2026-07"),
            ("Asia/Kathmandu", "2026-08"),
        ):
            rows = self.record(case, time_zone=time_zone)
            self.assertEqual([month], list(rows), time_zone)

    def test_snapshot_does_not_change(self):
        """Guards against a snapshot that changes while it is written."""
        counters = burn_counters.BurnCounters(clock=_Clock())
        service = entry_fakes.service()
        kind = service.kinds_by_name["lookup"]
        counters.record(service, kind, answer(), elapsed_s=0.1)
        before = counters.snapshot()
        counters.record(service, kind, answer(), elapsed_s=0.1)
        self.assertEqual(1, before[0].total)
        self.assertEqual(2, counters.snapshot()[0].total)

    def test_entry_counts_relayed_bookings_once(self):
        """Guards against counting a booking at each entry it passes."""

        async def main():
            fleet = entry_fakes.EntryFleet(entries=2)
            await fleet.book(fleet.key(), entry=1)
            await fleet.book(fleet.key(), entry=0, body=b"")
            return [
                [(row.kind, row.total, row.good) for row in rows]
                for rows in (entry.burn.snapshot() for entry in fleet.entries)
            ]

        counted = [("book", 1, 1)]
        self.assertEqual([counted, counted], virtual_loop.run(main()))
