"""Tests of the dispatch service over fake targets."""

import asyncio
import unittest
import unittest.mock

from bench import dispatch_world
from bench import virtual_loop
from fuchsiacourse import fleet_pb2
from fuchsiacourse import shard_runner

LOOKUP = dispatch_world.LOOKUP
BOOKING = dispatch_world.BOOKING
# Longer than the time after a start in which an earlier process at the same
# address may have run an unknown request.
SETTLED_S = 20.0


class DispatchCase(unittest.TestCase):
    """Runs a coroutine with a new dispatch process in virtual time."""

    def run_world(self, main, *, is_warm=True, **options):
        async def run():
            world = dispatch_world.DispatchWorld(**options)
            try:
                if is_warm:
                    await world.warm_up()
                await main(world)
                self.assertEqual([], world.broken)
                self.assertEqual([], world.failures)
            finally:
                world.close()

        virtual_loop.run(run())


class DispatchServiceTest(DispatchCase):
    """Requests must be run, refused and withdrawn as documented."""

    def test_answer_is_returned(self):
        """Guards against a reply without verdict, digest or target."""

        async def main(world):
            reply = await world.execute(world.request(id="a-1"))
            self.assertEqual(fleet_pb2.RAN, reply.verdict)
            self.assertEqual("", reply.refusal)
            self.assertIn(b"a-1", reply.body)
            self.assertEqual(64, len(reply.body_digest))
            self.assertTrue(reply.target_id)

        self.run_world(main)

    def test_slots_are_never_exceeded(self):
        """Guards against more attempts at a target than it has slots."""

        async def main(world):
            calls = [
                world.execute(world.request(deadline_ms=10_000))
                for _ in range(60)
            ]
            replies = await asyncio.gather(*calls)
            self.assertEqual({""}, {reply.refusal for reply in replies})
            self.assertEqual(0, world.targets.shed_count)
            self.assertEqual(3, world.target(1).most_in_flight)

        self.run_world(main)

    def test_connection_limit_below_slots_holds(self):
        """Guards against more connections than a target accepts."""

        async def main(world):
            await asyncio.gather(
                *(
                    world.execute(world.request(deadline_ms=10_000))
                    for _ in range(20)
                )
            )
            self.assertEqual(2, world.target(1).most_in_flight)

        file = dispatch_world.service(connection_limit=2)
        self.run_world(main, file=file)

    def test_duplicate_runs_nothing(self):
        """Guards against a duplicate call that runs a request twice."""

        async def main(world):
            request = world.request(BOOKING)
            first = world.execute(request)
            second = await world.execute(request)
            self.assertEqual("duplicate", second.refusal)
            self.assertEqual(fleet_pb2.MAY_HAVE_RUN, second.verdict)
            self.assertEqual(fleet_pb2.RAN, (await first).verdict)
            third = await world.execute(request)
            self.assertEqual("duplicate", third.refusal)
            self.assertEqual(1, len(world.targets.records))

        self.run_world(main)

    def test_withdrawal_of_queued_unknown_and_started(self):
        """Guards against a confirmed withdrawal of a request that ran."""

        async def main(world):
            await asyncio.sleep(SETTLED_S)
            running = world.request(BOOKING)
            started = world.execute(running)
            others = [world.execute(world.request()) for _ in range(5)]
            queued = world.request(BOOKING)
            waiting = world.execute(queued)
            await asyncio.sleep(0.002)
            self.assertEqual("withdrawn", await world.withdraw(queued))
            self.assertEqual("started", await world.withdraw(running))
            reply = await waiting
            self.assertEqual("withdrawn", reply.refusal)
            self.assertEqual(fleet_pb2.NOT_RUN, reply.verdict)
            await asyncio.gather(started, *others)
            self.assertEqual("started", await world.withdraw(running))
            unknown = world.request(BOOKING)
            self.assertEqual("withdrawn", await world.withdraw(unknown))
            late = await world.execute(unknown)
            self.assertEqual("withdrawn", late.refusal)
            for request in (queued, unknown):
                self.assertEqual([], world.targets.runs_of(request.request_id))

        self.run_world(main)

    def test_withdrawal_soon_after_a_start_is_unknown(self):
        """Guards against a withdrawal that an earlier process disproves."""

        async def main(world):
            outcome = await world.withdraw(world.request(BOOKING))
            self.assertEqual("unknown", outcome)

        self.run_world(main)

    def test_non_owner_names_the_owner_until_the_last_hop(self):
        """Guards against a request that is redirected without end."""

        async def main(world):
            other = dispatch_world.other_owner(world.members)
            reply = await world.execute(world.request(hops=1))
            self.assertEqual("not_owner", reply.refusal)
            self.assertEqual(other.rpc_address, reply.owner)
            self.assertEqual(fleet_pb2.NOT_RUN, reply.verdict)
            reply = await world.execute(world.request(hops=2))
            self.assertEqual(fleet_pb2.RAN, reply.verdict)

        self.run_world(main)

    def test_drain_refuses_queued_and_finishes_running(self):
        """Guards against a drain that cancels a running request."""

        async def main(world):
            calls = [world.execute(world.request(BOOKING)) for _ in range(9)]
            await asyncio.sleep(0.001)
            await world.dispatch.drain()
            replies = await asyncio.gather(*calls)
            refusals = [reply.refusal for reply in replies]
            self.assertEqual(3, refusals.count("draining"))
            self.assertEqual(6, refusals.count(""))
            late = await world.execute(world.request())
            self.assertEqual("draining", late.refusal)
            self.assertEqual(6, len(world.targets.records))

        self.run_world(main)

    def test_unknown_service_and_kind_are_refused(self):
        """Guards against an exception for the request of an older entry."""

        async def main(world):
            request = world.request()
            request.kind = "none"
            reply = await world.execute(request)
            self.assertEqual("unknown_service", reply.refusal)
            self.assertEqual(404, reply.status)

        self.run_world(main)

    def test_metrics_have_bounded_labels(self):
        """Guards against a metric series for each name in requests."""

        async def main(world):
            request = world.request()
            request.service = "made-up"
            await world.execute(request)
            await asyncio.sleep(1.0)
            replies = world.metrics.registry.get("dispatch_replies_total")
            labels = {
                (values["service"], values["outcome"])
                for values, _ in replies.get_all()
            }
            self.assertEqual(
                {
                    (dispatch_world.SERVICE, "answered"),
                    ("unknown", "unknown_service"),
                },
                labels,
            )

        self.run_world(main)

    def test_deadline_ends_a_request_after_idle_time(self):
        """Guards against ticks that do not start again after idle time."""

        async def main(world):
            for number in range(1, len(world.file.targets) + 1):
                world.target(number).is_hung = True
            for _ in range(2):
                await asyncio.sleep(3.0)
                begin = world.clock.now()
                calls = [
                    world.execute(world.request(deadline_ms=500))
                    for _ in range(20)
                ]
                replies = await asyncio.gather(*calls)
                self.assertNotIn("", {reply.refusal for reply in replies})
                self.assertLess(world.clock.now() - begin, 0.6)

        self.run_world(main)

    def test_ticks_run_only_while_there_are_requests(self):
        """Guards against missed ticks and against ticks while idle."""

        async def main(world):
            await asyncio.sleep(1.0)
            with unittest.mock.patch.object(
                shard_runner.ShardRunner, "tick", autospec=True
            ) as tick:
                await asyncio.sleep(2.0)
                self.assertEqual(0, tick.call_count)
                for number in range(1, len(world.file.targets) + 1):
                    world.target(number).is_hung = True
                call = world.execute(world.request(BOOKING))
                await asyncio.sleep(1.0)
                self.assertGreaterEqual(tick.call_count, 45)
                call.cancel()

        self.run_world(main)
