"""Tests of several fronts before targets that state wishes."""

import asyncio
import collections
import unittest

from bench import front_fakes
from bench import front_fleet
from bench import virtual_loop
from fuchsiacourse.front import caller_presence
from tests import test_target_wishes

IDS = ("t0", "t1", "t2", "t3")
RUN_S = 0.05
# Requests per second, far below what the targets can take.
RATE_PER_S = 60.0
# Time within which each target in use gets a request, in seconds.
IDLE_S = 2.0
HOLD_S = 3.0


class FleetWishesTest(unittest.TestCase):
    """Six fronts of three zones before four targets."""

    def run_fleet(self, script, behave) -> None:
        async def main():
            self.fleet = front_fleet.FrontFleet(
                seed=1,
                per_zone=2,
                records=[front_fakes.record(id) for id in IDS],
                behave=behave,
            )
            await asyncio.sleep(front_fleet.START_S)
            try:
                await script()
            finally:
                failures = self.fleet.close()
            self.assertEqual([], failures)

        virtual_loop.run(main())

    def arrivals_by_front(self, id: str, from_s: float):
        """Returns the times of arrivals at a target by front."""
        found = collections.defaultdict(list)
        for item in self.fleet.arrivals_by_id[id]:
            if item.at_s >= from_s:
                found[item.front].append(item.at_s)
        return found

    def assert_in_use(self, id: str, from_s: float) -> None:
        """Fails if the fleet leaves a target idle from a time on."""
        times = [from_s]
        times += [
            item.at_s
            for item in self.fleet.arrivals_by_id[id]
            if item.at_s >= from_s
        ]
        times.append(asyncio.get_running_loop().time())
        longest_s = max(
            after - before for before, after in zip(times, times[1:])
        )
        self.assertLess(longest_s, IDLE_S, id)

    async def play_first_answer(self, for_s: float) -> tuple[str, float]:
        """Sends load; returns which front read the wish of t0, and when."""
        await self.fleet.send(for_s, RATE_PER_S)
        await asyncio.gather(*self.fleet.tasks)
        first = self.fleet.arrivals_by_id["t0"][0]
        return first.front, first.at_s + RUN_S

    def assert_bound_alone(self, front: str, read_s: float) -> None:
        """Fails if others avoid t0, or if anything else becomes idle."""
        found = self.arrivals_by_front("t0", read_s)
        others = {item.ip for item in self.fleet.fronts} - {front}
        self.assertEqual(set(), others - set(found))
        for id in IDS:
            self.assert_in_use(id, read_s)
        self.assertEqual({200}, {item.status for item in self.fleet.answers})

    def test_leaving_binds_the_front_that_read_it(self):
        """Guards against one answer that takes a target from all fronts.

        Guards also against a front that uses such a target again.
        """

        def behave(target):
            if target.record.id == "t0" and self.is_first():
                return RUN_S, test_target_wishes.leaving()
            return RUN_S, front_fakes.answered()

        async def script():
            front, read_s = await self.play_first_answer(12.0)
            found = self.arrivals_by_front("t0", read_s)
            self.assertEqual([], found[front])
            del found[front]
            self.assert_bound_alone(front, read_s)

        self.run_fleet(script, behave)

    def test_time_to_wait_binds_the_front_that_read_it(self):
        """Guards against one full answer that holds all fronts back.

        Guards also against a front that returns early or never.
        """

        def behave(target):
            if target.record.id == "t0" and self.is_first():
                return RUN_S, test_target_wishes.declined(HOLD_S)
            return RUN_S, front_fakes.answered()

        async def script():
            front, read_s = await self.play_first_answer(12.0)
            times = self.arrivals_by_front("t0", read_s)[front]
            self.assertGreaterEqual(min(times), read_s + HOLD_S - 1e-6)
            self.assertLess(min(times), read_s + HOLD_S + IDLE_S)
            self.assert_bound_alone(front, read_s)

        self.run_fleet(script, behave)

    def test_service_that_only_has_wishes_answers_at_once(self):
        """Guards against callers that wait in vain or return too early."""
        hold_s_by_id = {"t1": 9.0, "t2": 6.0, "t3": 12.0}

        def behave(target):
            hold_s = hold_s_by_id.get(target.record.id)
            if hold_s is None:
                return RUN_S, test_target_wishes.leaving()
            if asyncio.get_running_loop().time() >= self.end_s:
                return RUN_S, front_fakes.answered()
            return RUN_S, test_target_wishes.declined(hold_s)

        async def script():
            loop = asyncio.get_running_loop()
            self.end_s = loop.time() + 5.0
            await self.fleet.send(2.0, RATE_PER_S)
            await asyncio.gather(*self.fleet.tasks)
            waits_s = []
            for front in self.fleet.fronts:
                before_s = loop.time()
                answer = await self.ask(front)
                self.assertEqual(503, answer.status)
                self.assertEqual(before_s, loop.time())
                opens_s = min(
                    target.held_until_s
                    for target in front.forwarder.table.by_id.values()
                    if not target.is_leaving
                )
                wait_s = float(answer.header(b"retry-after"))
                self.assertGreaterEqual(before_s + wait_s, opens_s)
                self.assertGreater(opens_s, before_s + 2.0)
                waits_s.append(wait_s)
            # Whoever returns when asked to is served, by each front.
            asked_s = loop.time()
            order = sorted(zip(waits_s, self.fleet.fronts), key=_wait_of)
            for wait_s, front in order:
                await asyncio.sleep(asked_s + wait_s - loop.time())
                answer = await self.ask(front)
                self.assertEqual(200, answer.status)
            for times in self.arrivals_by_front("t0", 0.0).values():
                self.assertLess(max(times) - min(times), RUN_S)

        self.run_fleet(script, behave)

    def test_service_that_leaves_altogether_answers_at_once(self):
        """Guards against requests that leaving targets cut off."""

        async def script():
            loop = asyncio.get_running_loop()
            await self.fleet.send(3.0, RATE_PER_S)
            await asyncio.gather(*self.fleet.tasks)
            before_s = loop.time()
            for front in self.fleet.fronts:
                answer = await self.ask(front)
                self.assertEqual(503, answer.status)
                self.assertIsNotNone(answer.header(b"retry-after"))
            self.assertEqual(before_s, loop.time())
            for id in IDS:
                found = self.arrivals_by_front(id, 0.0)
                for times in found.values():
                    self.assertLess(max(times) - min(times), RUN_S)

        self.run_fleet(
            script, lambda target: (RUN_S, test_target_wishes.leaving())
        )

    def is_first(self) -> bool:
        """Whether the arrival at t0 that is being played is the first."""
        return len(self.fleet.arrivals_by_id["t0"]) == 1

    async def ask(self, front: front_fleet.FleetFront):
        loop = asyncio.get_running_loop()
        return await front.forwarder.handle(
            front_fakes.request(
                f"/orders/{front.ip}/{loop.time()}", received_s=loop.time()
            ),
            caller_presence.CallerPresence(),
        )


def _wait_of(pair: tuple[float, front_fleet.FleetFront]) -> float:
    return pair[0]
