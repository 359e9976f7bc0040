"""Tests of what fronts of other regions hear of a configuration."""

import asyncio
import unittest
from unittest import mock

from tests import test_membership

NEAR_SEEDS = ("10.0.0.1", "10.0.0.2", "10.0.1.1")
FAR = tuple(f"10.0.2.{last}" for last in range(1, 5))


class FarNewsTest(unittest.TestCase):
    """A newer version must be known in each region."""

    play = test_membership.MembershipTest.play

    async def check_known_far(self, ips: tuple[str, ...]) -> None:
        """Lets a front that is no seed adopt a version."""
        front = self.fronts["10.0.0.3"]
        front.status.config_version = 9
        front.membership.announce()
        front.membership.announce_regions()
        await asyncio.sleep(0.1)
        for ip in ips:
            self.assertEqual(
                9, self.fronts[ip].membership.config_version(), ip
            )

    def test_seeds_that_are_all_in_one_region(self):
        async def script(network):
            await self.check_known_far(FAR)

        with mock.patch.object(test_membership, "SEEDS", NEAR_SEEDS):
            self.play(script)

    def test_far_seed_that_is_down(self):
        async def script(network):
            self.fronts[FAR[0]].timers.close()
            network.endpoint(f"{FAR[0]}:7000")
            await asyncio.sleep(6.0)
            await self.check_known_far(FAR[1:])

        self.play(script)
