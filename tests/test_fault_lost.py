"""Tests of the check of requests that a planned stop ends."""

import unittest

from bench import fault_checker
from bench import front_fakes

FRONT = "10.0.0.1"
TARGET = "i-1"


class FaultLostTest(unittest.TestCase):
    """Guards against requests that a planned stop loses unnoticed."""

    def setUp(self) -> None:
        self.clock = front_fakes.ManualClock()
        self.checker = fault_checker.FaultChecker(clock=self.clock)
        self.checker.services_by_path["safe-x"] = {"larder"}
        self.stop_s = self.clock.now()

    def stop_front(self) -> None:
        self.checker.record_fault(
            FRONT, fault_checker.GRACE_S, is_planned=True
        )

    def at(self, after_s: float) -> None:
        """Sets the time after SIGTERM, in seconds."""
        self.clock.now_s = self.stop_s + after_s

    def send(self, after_s: float, whole_s: float | None) -> None:
        """Sends a request whose first and last bytes are sent at times."""
        self.at(after_s)
        sent = fault_checker.SentRequest(
            front=FRONT,
            path="/safe-x/q",
            body=b"b",
            is_safe=True,
            at_s=self.clock.now(),
            time_s=8.0,
        )
        self.checker.record_request("q", sent)
        if whole_s is not None:
            self.at(whole_s)
            sent.whole_s = self.clock.now()

    def run_at_target(self) -> None:
        self.checker.record_run(
            "q",
            service="larder",
            path="/safe-x/q",
            body=b"b",
            draining_s=None,
            target=TARGET,
        )

    def lose(self, after_s: float, *, has_answer_begun: bool = False) -> None:
        self.at(after_s)
        self.checker.record_lost_connection(
            "q", has_answer_begun=has_answer_begun
        )

    def answer(
        self, after_s: float, status: int = 504, *, is_signed: bool = False
    ) -> None:
        self.at(after_s)
        self.checker.record_answer(
            "q", status, is_whole=False, is_signed=is_signed
        )

    def assert_lost(self, count: int = 1) -> None:
        found = [text.partition(":")[0] for text in self.checker.violations]
        self.assertEqual(["LOST"] * count, found)

    def test_closed_later_than_the_slack(self):
        """Guards against a stop that drops a request it has read."""
        self.stop_front()
        self.send(2.5, 4.5)
        self.lose(4.75)
        self.assert_lost()
        self.assertIn(
            "stop, sent 2.50..4.50, end 4.75", self.checker.violations[0]
        )

    def test_end_that_is_recorded_later(self):
        """Guards against counting the time from the end to the check."""
        self.stop_front()
        self.send(4.5, 4.5)
        self.at(4.8)
        self.checker.record_lost_connection("q", ended_s=self.stop_s + 4.6)
        self.assert_lost(0)

    def test_closed_within_the_slack(self):
        """Guards against a violation by a request that crosses the close."""
        self.stop_front()
        self.send(4.5, 4.5)
        self.lose(4.65)
        self.assert_lost(0)

    def test_closed_while_the_caller_sends(self):
        """Guards against a violation by a request that was never whole."""
        self.stop_front()
        self.send(2.0, None)
        self.lose(5.5)
        self.assert_lost(0)
        self.assertEqual(1, self.checker.checked["cut off while sending"])

    def test_closed_after_the_stop(self):
        """Guards against a stop that counts for the next process."""
        self.stop_front()
        self.send(7.0, 7.0)
        self.lose(7.5)
        self.assert_lost(0)

    def test_closed_around_an_unplanned_fault(self):
        """Guards against a violation by a front that was killed."""
        self.stop_front()
        self.checker.record_fault(FRONT)
        self.send(1.0, 1.0)
        self.lose(1.5)
        self.assert_lost(0)

    def test_closed_unrun_on_a_busy_machine(self):
        """Guards against a close that the caller has noticed late."""
        self.stop_front()
        self.send(4.5, 4.5)
        self.checker.record_fault(fault_checker.MACHINE)
        self.lose(4.8)
        self.assert_lost(0)

    def test_closed_at_a_target_on_a_busy_machine(self):
        """Guards against a busy machine that excuses a lost request."""
        self.stop_front()
        self.send(1.0, 1.0)
        self.run_at_target()
        self.checker.record_fault(fault_checker.MACHINE)
        self.lose(5.4)
        self.assert_lost()

    def test_answer_in_place_of_one_of_the_target(self):
        """Guards against an answer that breaks off the target's work."""
        self.stop_front()
        for status in (502, 503, 504):
            self.send(3.1, 3.1)
            self.run_at_target()
            self.checker.record_fault(fault_checker.MACHINE)
            self.answer(5.3, status)
        self.assert_lost(3)

    def test_answer_before_the_last_part_of_the_grace_time(self):
        """Guards against an early end of a request that came in time."""
        self.stop_front()
        self.send(1.0, 1.0)
        self.run_at_target()
        self.answer(4.9)
        self.assert_lost()

    def test_answer_in_the_last_part_of_the_grace_time(self):
        """Guards against a violation by an end that is excused."""
        self.stop_front()
        self.send(1.0, 2.9)
        self.run_at_target()
        self.answer(5.2)
        self.assert_lost(0)

    def test_answer_to_a_request_that_was_whole_late(self):
        """Guards against an excuse for an upload that ended late."""
        self.stop_front()
        self.send(2.5, 3.5)
        self.run_at_target()
        self.answer(5.2)
        self.assert_lost()

    def test_answer_after_the_time_of_the_request(self):
        """Guards against a violation by a request whose time is over."""
        self.stop_front()
        self.send(-4.0, 3.5)
        self.run_at_target()
        self.answer(4.1)
        self.assert_lost(0)

    def test_answer_after_the_work(self):
        """Guards against a violation by a target that broke off."""
        self.stop_front()
        self.send(1.0, 1.0)
        self.run_at_target()
        self.checker.record_work_end("q", TARGET)
        self.answer(1.2, 502)
        self.assert_lost(0)

    def test_answer_around_a_fault_of_the_target(self):
        """Guards against a violation by a target that hangs."""
        self.stop_front()
        self.send(1.0, 1.0)
        self.run_at_target()
        self.checker.record_fault(TARGET)
        self.answer(4.0)
        self.assert_lost(0)

    def test_answer_without_a_stop_or_of_the_target(self):
        """Guards against violations by other answers during the work."""
        self.send(0.0, 0.0)
        self.run_at_target()
        self.answer(1.0)
        self.stop_front()
        self.answer(1.5, 500, is_signed=True)
        self.assert_lost(0)

    def test_answer_that_is_cut_off_at_the_end(self):
        """Guards against a violation by a long answer that takes too long."""
        self.stop_front()
        self.send(2.0, 2.0)
        self.run_at_target()
        self.lose(5.4, has_answer_begun=True)
        self.assert_lost(0)

    def test_answer_that_is_cut_off_earlier(self):
        """Guards against a stop that cuts an answer off too soon."""
        self.stop_front()
        self.send(2.0, 2.0)
        self.run_at_target()
        self.lose(4.9, has_answer_begun=True)
        self.assert_lost()
