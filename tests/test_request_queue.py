"""Tests of the queue, its order, admission to it and run times."""

import dataclasses
import random
import unittest

from bench import dispatch_world
from fuchsiacourse import admission
from fuchsiacourse import fleet_pb2
from fuchsiacourse import request_queue
from fuchsiacourse import request_row
from fuchsiacourse import run_times

LOOKUP = dispatch_world.LOOKUP
BOOKING = dispatch_world.BOOKING
SEARCH = dispatch_world.SEARCH
SLOTS = 2


def row(kind, deadline_s, sequence=0):
    """Returns a queued request; the queue does not read the message."""
    return request_row.RequestRow(
        request=fleet_pb2.ExecuteRequest(request_id=f"a-{sequence}"),
        kind=kind,
        sequence=sequence,
        arrived_s=0.0,
        deadline_s=deadline_s,
        reply=None,
    )


class RequestQueueTest(unittest.TestCase):
    """Requests must be served in the order of the most worth."""

    def setUp(self):
        self.queue = request_queue.RequestQueue()
        self.times = run_times.RunTimes()
        self.admission = admission.Admission(
            queue=self.queue, times=self.times
        )

    def order(self):
        return [queue.kind.name for queue in self.admission.ordered(SLOTS)]

    def test_short_and_costly_kinds_go_first(self):
        """Guards against short requests behind long ones."""
        search = dataclasses.replace(SEARCH, worth=100.0)
        for number, kind in enumerate((search, LOOKUP, BOOKING)):
            self.queue.push(row(kind, 3.0, number))
        self.assertEqual(["booking", "lookup", "search"], self.order())

    def test_worth_per_slot_second_counts_under_overload(self):
        """Guards against short requests that displace ones of more worth."""
        search = dataclasses.replace(SEARCH, worth=100.0)
        for number in range(50):
            self.queue.push(row((search, LOOKUP)[number % 2], 3.0, number))
        self.assertEqual(["search", "lookup"], self.order())

    def test_deadlines_order_a_kind_and_withdrawal_keeps_the_rest(self):
        """Guards against a withdrawal that removes another request."""
        rng = random.Random(1)
        rows = [row(LOOKUP, rng.random(), number) for number in range(200)]
        for item in rows:
            self.queue.push(item)
        gone = rng.sample(rows, 100)
        for item in gone:
            self.queue.remove(item)
        left = sorted(
            (item for item in rows if item not in gone),
            key=lambda item: item.deadline_s,
        )
        self.assertEqual(left, self.queue.queue_of(LOOKUP).first(200))
        self.assertEqual(100, len(self.queue))

    def test_unservable_requests_are_the_last_of_the_cheapest_kind(self):
        """Guards against refusing requests that could have been served."""
        for number in range(40):
            self.queue.push(row(LOOKUP, 1.0, number))
        for number in range(16):
            self.queue.push(row(BOOKING, 3.0, 100 + number))
        unservable = self.admission.unservable(0.0, SLOTS)
        self.assertEqual({"lookup"}, {item.kind.name for item in unservable})
        self.assertNotIn("a-0", {item.id for item in unservable})
        for item in unservable:
            self.queue.remove(item)
        self.assertEqual([], self.admission.unservable(0.0, SLOTS))

    def test_request_that_waited_too_long_is_unservable(self):
        """Guards against using slots for requests that end too late."""
        for number in range(20):
            self.queue.push(row(BOOKING, 30.0, number))
        self.queue.push(row(LOOKUP, 0.05, 50))
        for number in range(60, 80):
            self.queue.push(row(LOOKUP, 30.0, number))
        unservable = self.admission.unservable(0.0, SLOTS)
        self.assertEqual(["a-50"], [item.id for item in unservable])


class RunTimesTest(unittest.TestCase):
    """Run times must follow the targets and resist stragglers."""

    def test_requests_cut_off_at_deadlines_do_not_look_cheap(self):
        """Guards against underestimating a kind that starts late."""
        times = run_times.RunTimes()
        rng = random.Random(1)
        for _ in range(4000):
            run_s = rng.expovariate(1 / 0.2)
            times.add_slot_time(
                SEARCH, min(run_s, 0.1), is_served=run_s <= 0.1
            )
        self.assertAlmostEqual(0.2, times.mean_s(SEARCH), delta=0.04)

    def test_straggler_limit_starts_from_the_service_file(self):
        """Guards against hedging every request after a start."""
        times = run_times.RunTimes()
        self.assertAlmostEqual(0.15, times.straggler_s(LOOKUP))
        for number in range(400):
            times.add_run_time(LOOKUP, number / 1000.0)
        self.assertAlmostEqual(0.38, times.straggler_s(LOOKUP))
