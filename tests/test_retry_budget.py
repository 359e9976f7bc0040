"""Tests of the retry budget."""

import unittest

from bench import front_fakes
from fuchsiacourse.front import retry_budget


class RetryBudgetTest(unittest.TestCase):
    """Guards against more retries in a window than the operator allows."""

    def setUp(self) -> None:
        self.clock = front_fakes.ManualClock()
        self.live_share = 1.0
        self.budget = self.started()
        self.clock.now_s += front_fakes.bounds().retry_window_s

    def started(self) -> retry_budget.RetryBudget:
        return retry_budget.RetryBudget(
            clock=self.clock,
            bounds=front_fakes.bounds(),
            regions=2,
            live_share=lambda: self.live_share,
            is_first_start=False,
        )

    def spend(self, service: str = "s") -> int:
        spent = 0
        while self.budget.remaining(service) >= 1.0:
            self.budget.count_retry(service)
            spent += 1
        return spent

    def test_extra_part_is_shared_by_the_regions(self):
        """Guards against regions that each spend the whole fixed part."""
        self.assertLessEqual(self.spend(), 30)

    def test_requests_earn_a_share(self):
        """Guards against retries out of proportion to the requests."""
        before = self.budget.remaining("s")
        for _ in range(100):
            self.budget.count_request("s")
        gained = self.budget.remaining("s") - before
        self.assertLessEqual(gained, 0.2 * 100)
        self.assertGreater(gained, 0.1 * 100)

    def test_spent_budget_returns_after_the_window(self):
        """Guards against a budget that returns too early or never."""
        self.spend()
        self.clock.now_s += 9.0
        self.assertLess(self.budget.remaining("s"), 1.0)
        self.clock.now_s += 2.0
        self.assertGreaterEqual(self.budget.remaining("s"), 1.0)

    def test_any_window_stays_within_the_bound(self):
        """Guards against two bursts of retries within one window."""
        sent: list[tuple[float, int]] = []
        for step in range(600):
            self.clock.now_s += 0.1
            self.budget.count_request("s")
            sent.append((self.clock.now_s, self.spend()))
        for start_s, _ in sent:
            retries = sum(
                count for at_s, count in sent if 0 <= at_s - start_s <= 10.0
            )
            self.assertLessEqual(retries, 0.2 * 100 + 30)

    def test_partitioned_front_uses_only_its_own_part(self):
        """Guards against partitioned fronts that overspend together."""
        self.live_share = 1.0 / 20.0
        self.assertLessEqual(self.spend(), 2)

    def test_budget_of_a_peak_holds_in_the_window_after_it(self):
        """Guards against too few retries for failures right after a peak."""
        for _ in range(100):
            self.clock.now_s += 0.1
            for _ in range(10):
                self.budget.count_request("s")
        self.clock.now_s += 9.0
        self.assertGreater(self.spend(), 0.2 * 1000 * 0.7)

    def test_simultaneous_front_starts_stay_within_the_bound(self):
        """Guards against spending the budget again after a restart."""
        rate, bound_s = 45, 10.0
        sent: list[tuple[float, int]] = []

        def run_load(seconds: float) -> None:
            for _ in range(int(seconds * 10)):
                self.clock.now_s += 0.1
                for _ in range(int(rate / 10)):
                    self.budget.count_request("s")
                # The whole budget is spent at once, as when targets shed
                # load.
                sent.append((self.clock.now_s, self.spend()))

        for _ in range(100):
            self.clock.now_s += 0.1
            for _ in range(int(rate / 10)):
                self.budget.count_request("s")
        run_load(3.0)
        self.budget = self.started()
        run_load(8.0)
        allowed = 0.2 * rate * bound_s + 60.0 / 2
        for start_s, _ in sent:
            spent = sum(
                count
                for at_s, count in sent
                if 0.0 <= at_s - start_s <= bound_s
            )
            self.assertLessEqual(spent, allowed)

    def test_each_service_has_its_own_budget(self):
        """Guards against a service that spends the retries of another."""
        self.spend("s")
        self.assertGreaterEqual(self.budget.remaining("t"), 1.0)
