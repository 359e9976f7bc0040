"""Tests of attempts, retries, hedges and the queue under faults."""

import asyncio

from bench import dispatch_world
from fuchsiacourse import execute_replies
from fuchsiacourse import fleet_pb2
from fuchsiacourse import target_row
from tests import test_dispatch_service

LOOKUP = dispatch_world.LOOKUP
BOOKING = dispatch_world.BOOKING
SEARCH = dispatch_world.SEARCH


class FaultTest(test_dispatch_service.DispatchCase):
    """Replies must be correct whatever fault a target has."""

    def test_booking_with_lost_connection_is_not_retried(self):
        """Guards against a request that runs twice."""

        async def main(world):
            world.target(1).lost_share = world.target(2).lost_share = 1.0
            reply = await world.execute(world.request(BOOKING))
            self.assertEqual(fleet_pb2.MAY_HAVE_RUN, reply.verdict)
            self.assertEqual("target_failed", reply.refusal)
            self.assertEqual(1, len(world.targets.records))

        self.run_world(main)

    def test_booking_with_bad_answer_is_not_answered(self):
        """Guards against returning a truncated or another's answer."""

        async def main(world):
            for fault in ("truncated_share", "wrong_share"):
                for number in (1, 2):
                    setattr(world.target(number), fault, 1.0)
                reply = await world.execute(world.request(BOOKING))
                self.assertEqual(fleet_pb2.MAY_HAVE_RUN, reply.verdict)
                self.assertEqual(b"", reply.body)
            self.assertEqual(2, len(world.targets.records))

        self.run_world(main)

    def test_lookup_is_retried_at_another_target(self):
        """Guards against one faulty target failing idempotent requests."""

        async def main(world):
            for fault in (
                "truncated_share",
                "wrong_share",
                "lost_share",
                "error_share",
            ):
                setattr(world.target(1), fault, 1.0)
                for _ in range(4):
                    reply = await world.execute(world.request())
                    self.assertEqual(fleet_pb2.RAN, reply.verdict)
                    self.assertEqual("target-2", reply.target_id)
                setattr(world.target(1), fault, 0.0)

        self.run_world(main, overrides={"retry_share": 1.0})

    def test_booking_is_retried_after_shed_or_unreachable(self):
        """Guards against refusing a request that certainly did not run."""

        async def main(world):
            world.target(1).shed_share = 1.0
            replies = [
                await world.execute(world.request(BOOKING)) for _ in range(3)
            ]
            world.target(1).is_unreachable = True
            replies += [
                await world.execute(world.request(BOOKING)) for _ in range(3)
            ]
            self.assertEqual(
                {"target-2"}, {reply.target_id for reply in replies}
            )
            self.assertEqual(6, len(world.targets.records))

        self.run_world(main)

    def test_all_targets_unreachable_is_not_run(self):
        """Guards against MAY_HAVE_RUN for a request that was never sent."""

        async def main(world):
            for number in (1, 2):
                world.target(number).is_unreachable = True
            reply = await world.execute(world.request(BOOKING))
            self.assertEqual(fleet_pb2.NOT_RUN, reply.verdict)
            self.assertIn(reply.refusal, ("no_target", "deadline"))

        self.run_world(main)

    def test_retries_stay_within_their_share(self):
        """Guards against a retry storm when all targets fail."""

        async def main(world):
            for number in (1, 2):
                world.target(number).error_share = 1.0
            replies = []
            for _ in range(100):
                replies.append(await world.execute(world.request()))
            self.assertEqual({500}, {reply.status for reply in replies})
            self.assertEqual({2}, {reply.verdict for reply in replies})
            # The share of the requests and the burst of 10.
            self.assertLessEqual(len(world.targets.records), 120)

        self.run_world(main)

    def test_straggler_is_hedged_and_the_loser_is_cancelled(self):
        """Guards against a short request that is as slow as a straggler."""

        async def main(world):
            world.target(1).is_hung = True
            requests = [world.request() for _ in range(2)]
            replies = await asyncio.gather(*map(world.execute, requests))
            self.assertEqual({2}, {reply.verdict for reply in replies})
            await asyncio.sleep(0.1)
            self.assertEqual(0, world.target(1).in_flight)
            self.assertTrue(world.dispatch.runners[0].is_idle)
            self.assertEqual(3, len(world.targets.records))

        self.run_world(main)

    def test_booking_is_never_hedged(self):
        """Guards against a second attempt while the first one runs."""

        async def main(world):
            world.target(1).is_hung = world.target(2).is_hung = True
            call = world.execute(world.request(BOOKING))
            await asyncio.sleep(2.9)
            self.assertEqual(1, len(world.targets.records))
            call.cancel()

        self.run_world(main)

    def test_fault_of_detection_does_not_change_the_verdict(self):
        """Guards against NOT_RUN because the end was not processed."""

        async def main(world):
            world.target(1).lost_share = world.target(2).lost_share = 1.0
            runner = world.dispatch.runners[0]
            health, runner.health.record_finish = (
                runner.health.record_finish,
                None,
            )
            reply = await world.execute(world.request(BOOKING))
            self.assertEqual(fleet_pb2.MAY_HAVE_RUN, reply.verdict)
            self.assertEqual("target_failed", reply.refusal)
            runner.health.record_finish = health
            self.assertEqual(1, len(world.failures))
            world.failures.clear()

        self.run_world(main)

    def test_started_booking_goes_on_after_its_deadline(self):
        """Guards against losing the answer of a late request."""

        async def main(world):
            for number in (1, 2):
                world.target(number).slow_factor = 100.0
            began_s = world.clock.now()
            late = 0
            calls = [world.execute(world.request(BOOKING)) for _ in range(6)]
            for call in calls:
                reply = await call
                late += world.clock.now() - began_s > 3.0
                self.assertEqual(fleet_pb2.RAN, reply.verdict)
            self.assertTrue(late)

        self.run_world(main)

    def test_attempt_cancelled_before_its_first_step_frees_its_slot(self):
        """Guards against a slot that is never freed."""

        async def main(world):
            request = world.request()
            call = world.execute(request)
            await asyncio.sleep(0)
            runner = world.dispatch.runners[0]
            row = runner.requests.get(request.request_id)
            runner.abandon(
                row,
                execute_replies.Refusal.DEADLINE,
                target_row.Outcome.TIMEOUT,
            )
            await call
            await asyncio.sleep(0.1)
            self.assertTrue(runner.is_idle)
            self.assertEqual([], world.targets.records)

        self.run_world(main)

    def test_deadline_of_queued_and_running_lookup(self):
        """Guards against a wrong verdict at the deadline."""

        async def main(world):
            began_s = world.clock.now()
            world.target(1).is_hung = world.target(2).is_hung = True
            calls = [
                world.execute(world.request(deadline_ms=500)) for _ in range(7)
            ]
            replies = await asyncio.gather(*calls)
            verdicts = [reply.verdict for reply in replies]
            self.assertEqual(6, verdicts.count(fleet_pb2.MAY_HAVE_RUN))
            self.assertEqual(1, verdicts.count(fleet_pb2.NOT_RUN))
            waited_s = world.clock.now() - began_s
            self.assertAlmostEqual(0.5, waited_s, delta=0.05)
            await asyncio.sleep(0.1)
            self.assertEqual(0, world.target(1).in_flight)

        self.run_world(main)


class QueueTest(test_dispatch_service.DispatchCase):
    """The queue must serve the most worth and refuse other requests early."""

    def test_short_request_overtakes_queued_long_ones(self):
        """Guards against short requests that wait for long ones."""

        async def main(world):
            calls = [world.execute(world.request(SEARCH)) for _ in range(20)]
            await asyncio.sleep(0.001)
            short = await world.execute(world.request())
            self.assertEqual("", short.refusal)
            self.assertLess(sum(call.done() for call in calls), 14)
            await asyncio.gather(*calls)

        self.run_world(main)

    def test_request_that_cannot_meet_its_deadline_is_refused_early(self):
        """Guards against refusing a request only at its deadline."""

        async def main(world):
            began_s = world.clock.now()
            calls = [world.execute(world.request()) for _ in range(400)]
            await asyncio.sleep(0.001)
            late = await world.execute(world.request())
            self.assertLess(world.clock.now() - began_s, 0.1)
            self.assertEqual("overload", late.refusal)
            self.assertEqual(fleet_pb2.NOT_RUN, late.verdict)
            self.assertGreater(late.retry_after_ms, 0)
            await asyncio.gather(*calls)

        self.run_world(main)

    def test_least_worth_is_refused_under_overload(self):
        """Guards against requests of low worth that displace others."""

        async def main(world):
            cheap = [world.execute(world.request()) for _ in range(120)]
            await asyncio.sleep(0.001)
            bookings = [
                world.execute(world.request(BOOKING)) for _ in range(60)
            ]
            replies = await asyncio.gather(*bookings)
            self.assertEqual([""] * 60, [reply.refusal for reply in replies])
            refusals = [
                reply.refusal for reply in await asyncio.gather(*cheap)
            ]
            self.assertGreater(refusals.count("overload"), 20)

        self.run_world(main)

    def test_suspects_take_requests_at_once_under_overload(self):
        """Guards against idle slots while the queue refuses requests.

        A booking is not idempotent, so it is no test of a suspect target.
        """

        async def main(world):
            runner = world.dispatch.runners[0]
            rows = runner.shard.targets_by_id
            rows["target-1"].state = target_row.TargetState.SUSPECT
            rows["target-2"].attempts_by_id = dict.fromkeys("abc")
            now = world.clock.now()
            self.assertEqual([], runner.health.candidates(BOOKING, now))
            found = runner.health.candidates(BOOKING, now, is_backlogged=True)
            self.assertEqual([rows["target-1"]], found)
            rows["target-2"].attempts_by_id = {}

        self.run_world(main, with_detection=True)

    def test_health_knows_of_overload(self):
        """Guards against health that does not know of the backlog."""

        async def main(world):
            runner = world.dispatch.runners[0]
            backlogged = []
            candidates = runner.health.candidates

            def record_candidates(kind, now, *, is_backlogged=False):
                backlogged.append(is_backlogged)
                return candidates(kind, now)

            runner.health.candidates = record_candidates
            calls = [world.execute(world.request()) for _ in range(60)]
            await asyncio.gather(*calls)
            self.assertEqual({True, False}, set(backlogged))

        self.run_world(main)

    def test_long_requests_leave_the_reserved_slots(self):
        """Guards against long requests in slots reserved for short ones."""

        async def main(world):
            calls = [world.execute(world.request(SEARCH)) for _ in range(12)]
            await asyncio.sleep(0.001)
            in_flight = [world.target(n).in_flight for n in (1, 2)]
            self.assertEqual(4, sum(in_flight))
            await asyncio.gather(*calls)

        self.run_world(main, overrides={"short_slot_share": 0.3})

    def test_full_queue_refuses(self):
        """Guards against a queue that grows without bound."""

        async def main(world):
            calls = [
                world.execute(world.request(deadline_ms=60_000))
                for _ in range(30)
            ]
            replies = await asyncio.gather(*calls)
            refusals = [reply.refusal for reply in replies]
            self.assertEqual(14, refusals.count("overload"))

        self.run_world(main, overrides={"queue_max_requests": 10})
