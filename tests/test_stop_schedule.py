"""Tests of the decision which requests a stopping front takes."""

import unittest

from bench import front_fakes
from fuchsiacourse.front import directory
from fuchsiacourse.front import stop_schedule

USUAL_S = 0.3


class StopScheduleTest(unittest.TestCase):
    """Guards against requests that are taken and can't be finished."""

    def schedule(self, stop_s: float = 6.0) -> stop_schedule.StopSchedule:
        self.clock = front_fakes.ManualClock()
        return stop_schedule.StopSchedule(
            clock=self.clock, bounds=front_fakes.bounds(stop_s=stop_s)
        )

    def test_all_requests_are_served_before_a_stop(self):
        """Guards against refusals by a front that runs on."""
        self.assertTrue(self.schedule().may_serve(1000.0))

    def test_requests_are_served_until_they_come_too_late(self):
        """Guards against refusing callers whose address list is old."""
        schedule = self.schedule()
        schedule.begin()
        self.clock.now_s += 2.7
        self.assertTrue(schedule.may_serve(USUAL_S))
        self.clock.now_s += 0.1
        self.assertFalse(schedule.may_serve(USUAL_S))
        self.clock.now_s += 100.0
        self.assertFalse(schedule.may_serve(0.0))

    def test_callers_have_left_before_requests_are_refused(self):
        """Guards against refusing callers that use an address list on."""
        kept_s = directory.KEEP_FACTOR * directory.ADDRESS_TTL_S
        self.assertLess(kept_s, stop_schedule.SERVE_S)

    def test_service_that_usually_takes_longer_than_the_rest(self):
        """Guards against starting work that is known to be cut off."""
        schedule = self.schedule()
        schedule.begin()
        self.clock.now_s += 1.0
        self.assertTrue(schedule.may_serve(4.0))
        self.assertFalse(schedule.may_serve(5.0))

    def test_times_of_any_grace_time_are_in_order(self):
        """Guards against a stop that outlives a short grace time."""
        for stop_s in (0.0, 0.5, 1.0, 3.0, 6.0, 30.0):
            schedule = self.schedule(stop_s)
            schedule.begin()
            began_s = self.clock.now()
            self.assertLessEqual(
                schedule.listens_until_s, schedule.answers_until_s
            )
            self.assertLess(schedule.answers_until_s, schedule.exits_at_s)
            self.assertLessEqual(schedule.exits_at_s, began_s + stop_s)
            self.clock.now_s += stop_s * stop_schedule.SERVE_SHARE
            self.assertFalse(schedule.may_serve(0.0))

    def test_upload_that_began_in_time_is_waited_for(self):
        """Guards against refusing an upload that still fits."""
        schedule = self.schedule()
        schedule.begin()
        begun_s = self.clock.now_s + 2.0
        self.clock.now_s += 3.5
        self.assertFalse(schedule.may_serve(USUAL_S))
        self.assertTrue(schedule.may_serve(USUAL_S, begun_s=begun_s))
        self.assertFalse(schedule.may_serve(4 * USUAL_S, begun_s=begun_s))
        self.assertTrue(schedule.may_serve(0.0, begun_s=begun_s))
        self.clock.now_s += 0.8
        self.assertFalse(schedule.may_serve(0.0, begun_s=begun_s))

    def test_upload_that_began_late_is_refused(self):
        """Guards against waiting for an upload that can't be served."""
        schedule = self.schedule()
        schedule.begin()
        self.clock.now_s += stop_schedule.SERVE_S
        begun_s = self.clock.now_s
        self.clock.now_s += 0.1
        self.assertFalse(schedule.may_serve(0.0, begun_s=begun_s))
