"""Tests of the rate limits of accounts."""

import asyncio
import unittest

from bench import entry_fakes
from bench import virtual_loop
from fuchsiacourse import account_limits


class AccountLimitsTest(unittest.TestCase):
    """An account must get its rate, divided among the enforcing entries."""

    def admitted(self, *, shares=1, account="glen", seconds=10, **limits):
        """Returns the number of admitted requests at 100 requests/s.

        Args:
            shares: Number of equal shares that the limit is divided into.
            account: Account of the caller.
            seconds: Duration of the requests.
            **limits: Account limits of the service.
        """

        async def main():
            service = entry_fakes.service(account_limits=limits)
            table = account_limits.AccountLimits(
                clock=virtual_loop.VirtualClock()
            )
            admitted = 0
            for _ in range(100 * seconds):
                wait_s = table.wait_s(service, account, shares=shares)
                admitted += wait_s == 0.0
                await asyncio.sleep(0.01)
            return admitted

        return virtual_loop.run(main())

    def test_rate_and_burst(self):
        """Guards against limits that are not enforced."""
        limit = {"rate_per_s": 5.0, "burst": 10}
        self.assertAlmostEqual(60, self.admitted(default=limit), delta=1)

    def test_share_of_each_entry(self):
        """Guards against granting an account its whole limit at each entry."""
        limit = {"rate_per_s": 6.0, "burst": 30}
        admitted = self.admitted(shares=3, default=limit)
        self.assertAlmostEqual(30, admitted, delta=1)

    def test_limit_of_one_account(self):
        """Guards against applying the default to a named account."""
        limit = {"rate_per_s": 1.0, "burst": 1}
        named = {"piste": {"rate_per_s": 50.0, "burst": 5}}
        limits = {"default": limit, "by_account": named}
        self.assertAlmostEqual(10, self.admitted(**limits), delta=1)
        admitted = self.admitted(account="piste", **limits)
        self.assertAlmostEqual(500, admitted, delta=5)
        self.assertEqual(1000, self.admitted())

    def test_table_is_bounded(self):
        """Guards against invented accounts that use up the memory."""

        async def main():
            limit = {"rate_per_s": 1.0, "burst": 1}
            service = entry_fakes.service(account_limits={"default": limit})
            table = account_limits.AccountLimits(
                clock=virtual_loop.VirtualClock(), max_buckets=10
            )
            for number in range(100):
                table.wait_s(service, f"account-{number}", shares=1)
            return len(table)

        self.assertEqual(10, virtual_loop.run(main()))
