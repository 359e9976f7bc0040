"""Tests of the checker of the fault soak."""

import unittest

from bench import fault_checker
from bench import front_fakes

FRONT = "10.0.0.1"


class FaultCheckerTest(unittest.TestCase):
    """Guards against violations that are missed or reported wrongly."""

    def setUp(self) -> None:
        self.clock = front_fakes.ManualClock()
        self.checker = fault_checker.FaultChecker(clock=self.clock)
        self.checker.services_by_path["unsafe-x"] = {"larder"}

    def send(self, id: str = "q1", *, is_safe: bool = False) -> None:
        self.checker.record_request(
            id,
            fault_checker.SentRequest(
                front=FRONT,
                path=f"/unsafe-x/{id}",
                body=b"b",
                is_safe=is_safe,
                at_s=self.clock.now(),
            ),
        )

    def run_at_target(self, id: str = "q1", **changes) -> None:
        values = {
            "service": "larder",
            "path": f"/unsafe-x/{id}",
            "body": b"b",
            "draining_s": None,
        }
        self.checker.record_run(id, **{**values, **changes})

    def assert_violations(self, *rules: str) -> None:
        found = [text.partition(":")[0] for text in self.checker.violations]
        self.assertEqual(list(rules), found)

    def test_served_request_is_no_violation(self):
        self.send()
        self.run_at_target()
        self.checker.record_answer("q1", 200, is_whole=True, is_signed=True)
        self.assert_violations()

    def test_second_run_of_an_unsafe_request(self):
        self.send()
        self.run_at_target()
        self.run_at_target()
        self.assert_violations("TWICE")

    def test_second_run_of_a_safe_request_is_allowed(self):
        self.send(is_safe=True)
        self.run_at_target()
        self.run_at_target()
        self.assert_violations()

    def test_run_before_and_after_an_unavailable_answer(self):
        self.send("q1")
        self.run_at_target("q1")
        self.checker.record_answer("q1", 503, is_whole=False, is_signed=False)
        self.send("q2")
        self.checker.record_answer("q2", 503, is_whole=False, is_signed=False)
        self.run_at_target("q2")
        self.assert_violations("REFUSED", "REFUSED")

    def test_changed_and_unknown_requests(self):
        self.send()
        self.run_at_target(body=b"other")
        self.run_at_target("q9")
        self.assert_violations("UNASKED", "UNASKED")

    def test_wrong_service(self):
        self.send()
        self.run_at_target(service="dispatch")
        self.assert_violations("ROUTE")

    def test_mixed_answer(self):
        self.send()
        self.checker.record_answer("q1", 200, is_whole=False, is_signed=True)
        self.assert_violations("MIXED")

    def test_late_run_at_a_draining_target(self):
        long_ago_s = self.clock.now() - 5.0
        self.send("q1")
        self.run_at_target("q1", draining_s=long_ago_s)
        self.assert_violations("DRAIN")
        self.checker.record_fault(FRONT)
        self.send("q2")
        self.run_at_target("q2", draining_s=long_ago_s)
        self.assert_violations("DRAIN")

    def test_slow_body_at_a_draining_target(self):
        """Guards against a violation by a body that arrives slowly."""
        self.send("q1")
        now_s = self.clock.now()
        self.clock.now_s += 5.0
        self.run_at_target("q1", draining_s=now_s, arrived_s=now_s + 0.1)
        self.assert_violations()
        self.send("q2")
        self.run_at_target("q2", draining_s=now_s, arrived_s=now_s + 2.6)
        self.assert_violations("DRAIN")

    def test_lost_connection(self):
        """Guards against a lost request that a fault elsewhere excuses."""
        self.send("q1")
        self.run_at_target("q1")
        # Neither planned work nor a store fault allows a lost connection.
        self.checker.record_fault(FRONT, is_planned=True)
        self.checker.record_fault("store")
        self.checker.record_lost_connection("q1")
        self.assert_violations("LOST")

    def test_lost_connection_of_a_killed_front_or_before_the_run(self):
        self.send("q1")
        self.checker.record_lost_connection("q1")
        self.checker.record_fault(FRONT)
        self.send("q2")
        self.run_at_target("q2")
        self.checker.record_lost_connection("q2")
        self.assert_violations()

    def test_answer_aborted_by_its_target(self):
        self.send()
        self.run_at_target()
        self.checker.record_aborted_answer("q1")
        self.checker.record_lost_connection("q1")
        self.assert_violations()

    def test_different_body_after_an_early_answer(self):
        self.send()
        self.checker.record_late_body("q1", b"b")
        self.checker.record_late_body("q1", b"c")
        self.assert_violations("UNASKED")

    def test_memory_above_the_bound_is_recorded_once(self):
        for peak_bytes in (1, fault_checker.MEMORY_BYTES):
            self.checker.record_memory(FRONT, peak_bytes)
        self.assert_violations()
        for more in (1, 2):
            self.checker.record_memory(
                FRONT, fault_checker.MEMORY_BYTES + more
            )
        self.assert_violations("MEMORY")

    def test_incomplete_answer(self):
        self.send("q1")
        self.checker.record_timeout("q1")
        self.assert_violations("LOST")

    def test_incomplete_answer_on_a_busy_machine(self):
        """Guards against a violation caused by the machine, not by a front."""
        # Seed 411: the front had forwarded the whole answer, 4.1 s late.
        self.checker.record_fault(fault_checker.MACHINE)
        self.send("q1")
        self.checker.record_timeout("q1")
        self.assert_violations()

    def reject(self, status: int, *, is_signed: bool = False) -> None:
        self.send()
        self.checker.record_answer(
            "q1", status, is_whole=False, is_signed=is_signed
        )

    def test_allowed_request_rejected_within_time_bounds(self):
        for status in (301, 400, 413, 431):
            self.reject(status)
        self.assert_violations(*["DENIED"] * 4)
        self.assertEqual(
            f"DENIED: q1 301 by {FRONT} (plain)", self.checker.violations[0]
        )

    def test_rejection_outside_time_bounds_or_by_a_target(self):
        self.reject(404, is_signed=True)
        self.checker.record_fault(FRONT)
        for status in (301, 400, 413, 431):
            self.reject(status)
        self.assert_violations()

    def test_refusal_is_no_rejection(self):
        for status in (408, 421, 429, 503, 502, 504):
            self.reject(status)
        self.assert_violations()

    def test_request_above_a_limit_may_be_rejected(self):
        self.send()
        self.checker.record_answer(
            "q1", 431, is_whole=False, is_signed=False, is_allowed=False
        )
        self.assert_violations()

    def test_permanent_route_is_never_missing(self):
        """Guards against a fault that excuses a 404 for a permanent route."""
        self.checker.permanent_routes.add("unsafe-x")
        self.checker.record_fault(FRONT)
        for status in (401, 403, 404):
            self.reject(status)
        self.assert_violations(*["DENIED"] * 3)

    def test_new_route_may_be_missing_for_a_while(self):
        self.reject(404)
        self.assert_violations()

    def test_outdated_configuration(self):
        long_ago_s = self.clock.now() - 5.0
        self.checker.record_missing_route(FRONT, "/unsafe-x/q1", long_ago_s)
        self.checker.moved_at_s_by_service["unsafe-x", "larder"] = long_ago_s
        self.send()
        self.run_at_target()
        self.assert_violations("CONFIG", "CONFIG")
