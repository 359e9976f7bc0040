"""Tests of ejections through the status object of a service."""

import asyncio
import json
import random
import unittest
from unittest import mock

from bench import fake_store
from bench import floor_decider
from bench import floor_run
from bench import virtual_loop
from fuchsiacourse import ejection_agent
from fuchsiacourse import platform_model
from fuchsiacourse import status_plan
from fuchsiacourse import timers as timer_service

KEY = "status/larder"
EXPIRED_S = ejection_agent.STATUS_LIFETIME_S + 1.0


class Fleet:
    """Runs deciders over one platform; the floor leaves some spare slots."""

    def __init__(self, *, regions, spare):
        self.clock = virtual_loop.VirtualClock()
        rng = random.Random(1)
        timers = timer_service.Timers(
            clock=self.clock, rng=rng, on_error=self.failed
        )
        self.platform = platform_model.PlatformModel(clock=self.clock)
        self.world = floor_decider.World(rng=rng)
        service = floor_run.make_service(rng)
        self.service = service.model_copy(
            update={"floor_slots": service.total_slots - spare}
        )
        self.world.publish(self.service)
        self.deciders = []
        for index, region in enumerate(regions):
            connection = fake_store.FakeStore(
                platform=self.platform,
                clock=self.clock,
                timers=timers,
                rng=rng,
            )
            decider = floor_decider.Decider(
                id=f"m{index}",
                region=region,
                world=self.world,
                connection=connection,
                clock=self.clock,
                rng=rng,
                on_step=lambda: None,
            )
            self.deciders.append(decider)
            timers.spawn(decider.run())

    def failed(self, error):
        raise error

    def out(self):
        """Returns the targets that each decider treats as ejected."""
        return [item.ejected(self.clock.now()) for item in self.deciders]

    def content(self):
        stored = self.platform.table.get(KEY)
        return json.loads(stored.value) if stored is not None else None


class EjectionAgentTest(unittest.TestCase):
    """Several owners must agree on ejections and keep the floor."""

    def run_fleet(self, scenario, *, regions=("north", "north"), spare=8):
        async def main():
            await scenario(Fleet(regions=regions, spare=spare))

        virtual_loop.run(main())

    def test_ejection_reaches_the_other_owner(self):
        """Guards against an ejection that only one process knows."""

        async def scenario(fleet):
            fleet.world.unhealthy.add("larder-north-0")
            await asyncio.sleep(2.0)
            self.assertEqual([{"larder-north-0"}] * 2, fleet.out())
            entry = fleet.content()["ejected"]["larder-north-0"]
            self.assertEqual("latency", entry["reason"])

        self.run_fleet(scenario)

    def test_history_is_written_with_the_decisions(self):
        """Guards against a history that misses or duplicates a change."""

        async def scenario(fleet):
            fleet.world.unhealthy.add("larder-north-0")
            await asyncio.sleep(2.0)
            fleet.world.restart("larder-north-0")
            await asyncio.sleep(60.0)
            content = fleet.content()
            self.assertEqual({}, content["ejected"])
            ejected, readmitted = content["history"]
            self.assertEqual("ejected", ejected["change"])
            self.assertEqual("latency", ejected["reason"])
            self.assertGreaterEqual(ejected["score"], ejected["threshold"])
            self.assertEqual("readmitted", readmitted["change"])
            self.assertEqual("tests_passed", readmitted["reason"])
            self.assertLess(ejected["at"], readmitted["at"])

        self.run_fleet(scenario)

    def test_history_alone_causes_no_write(self):
        """Guards against writes that only change the history."""

        async def scenario(fleet):
            fleet.world.unhealthy.add("larder-north-0")
            await asyncio.sleep(5.0)
            content = fleet.content()
            self.assertEqual(1, len(content["history"]))
            content["history"] = []
            value = json.dumps(content).encode()
            fleet.platform.table.put(KEY, value, if_version=None)
            version = fleet.platform.table.get(KEY).version
            await asyncio.sleep(10.0)
            self.assertEqual(version, fleet.platform.table.get(KEY).version)
            self.assertEqual([{"larder-north-0"}] * 2, fleet.out())

        self.run_fleet(scenario)

    def test_lost_write_reply_is_followed_by_a_read(self):
        """Guards against using or retrying a write of unknown outcome."""

        async def scenario(fleet):
            await asyncio.sleep(1.0)
            fleet.platform.faults.lose_write_replies = 1
            fleet.world.unhealthy.add("larder-north-0")
            await asyncio.sleep(1.5)
            self.assertIn("larder-north-0", fleet.content()["ejected"])
            self.assertEqual([set()], fleet.out())
            await asyncio.sleep(2.0)
            self.assertEqual([{"larder-north-0"}], fleet.out())

        self.run_fleet(scenario, regions=("north",))

    def test_two_regions_share_the_spare_capacity(self):
        """Guards against two owners that use the same spare slots."""

        async def scenario(fleet):
            await asyncio.sleep(1.0)
            # These targets have three slots each.
            fleet.world.unhealthy.update(("larder-north-2", "larder-south-1"))
            await asyncio.sleep(3.0)
            self.assertEqual(1, len(fleet.content()["ejected"]))
            self.assertEqual(1, sum(len(out) for out in fleet.out()))

        self.run_fleet(scenario, regions=("north", "south"), spare=3)

    def test_no_ejection_without_the_platform(self):
        """Guards against an ejection that no other process can read."""

        async def scenario(fleet):
            fleet.platform.faults.outage = True
            fleet.world.unhealthy.add("larder-north-0")
            await asyncio.sleep(30.0)
            self.assertEqual([set(), set()], fleet.out())

        self.run_fleet(scenario)

    def test_ejection_expires_when_cut_off(self):
        """Guards against an ejection that outlives its release."""

        async def scenario(fleet):
            fleet.world.unhealthy.add("larder-north-0")
            await asyncio.sleep(2.0)
            first, second = fleet.deciders
            first.connection.loses_requests = True
            fleet.world.restart("larder-north-0")
            second.misjudged.clear()
            await asyncio.sleep(EXPIRED_S)
            self.assertEqual(set(), first.ejected(fleet.clock.now()))

        self.run_fleet(scenario)
        self.assertLess(
            1.2 * ejection_agent.STATUS_LIFETIME_S, status_plan.RELEASE_HOLD_S
        )

    def test_expiry_is_checked(self):
        """Guards against the test above passing without any expiry."""
        with mock.patch.object(ejection_agent, "STATUS_LIFETIME_S", 1e9):
            with self.assertRaises(AssertionError):
                self.test_ejection_expires_when_cut_off()

    def test_older_configuration_ejects_nothing(self):
        """Guards against an owner that does not know a raised floor."""

        async def scenario(fleet):
            fleet.world.unhealthy.add("larder-north-0")
            await asyncio.sleep(2.0)
            raised = fleet.service.model_copy(
                update={"floor_slots": fleet.service.floor_slots + 1}
            )
            number = fleet.world.publish(raised)
            fleet.deciders[0].adopt_later(number, 0.0)
            await asyncio.sleep(3.0)
            self.assertEqual(2, fleet.content()["config_number"])
            fleet.world.unhealthy.add("larder-south-0")
            await asyncio.sleep(3.0)
            self.assertNotIn("larder-south-0", fleet.content()["ejected"])
            fleet.deciders[1].adopt_later(number, 0.0)
            await asyncio.sleep(3.0)
            self.assertIn("larder-south-0", fleet.content()["ejected"])

        self.run_fleet(scenario, regions=("north", "south"))

    def test_raised_floor_and_leaving_target_readmit(self):
        """Guards against ejections that keep capacity below the floor."""

        async def publish(fleet):
            raised = fleet.service.model_copy(
                update={"floor_slots": fleet.service.total_slots}
            )
            number = fleet.world.publish(raised)
            for decider in fleet.deciders:
                decider.adopt_later(number, 0.0)

        async def leave(fleet):
            fleet.world.leaving.add("larder-north-5")

        async def scenario(fleet):
            fleet.world.unhealthy.add("larder-north-2")
            await asyncio.sleep(2.0)
            self.assertEqual([{"larder-north-2"}] * 2, fleet.out())
            await change(fleet)
            await asyncio.sleep(3.0)
            self.assertEqual({}, fleet.content()["ejected"])
            self.assertEqual([set(), set()], fleet.out())

        for change in (publish, leave):
            self.run_fleet(scenario, spare=3)
