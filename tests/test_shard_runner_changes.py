"""Tests of a shard's runner during pauses and changes of targets."""

import asyncio

from bench import dispatch_world
from fuchsiacourse import fleet_pb2
from tests import test_dispatch_service

BOOKING = dispatch_world.BOOKING
SEARCH = dispatch_world.SEARCH


class ChangeTest(test_dispatch_service.DispatchCase):
    """Changes at any time must neither lose nor misdirect requests."""

    def test_nothing_late_is_sent_after_a_pause(self):
        """Guards against running a request that its caller gave up."""

        async def main(world):
            calls = [world.execute(world.request(BOOKING)) for _ in range(40)]
            await asyncio.sleep(0.01)
            world.gate.pause()
            sent = len(world.targets.records)
            for number in (1, 2):
                world.target(number).is_hung = True
            await asyncio.sleep(5.0)
            sent = len(world.targets.records)
            world.gate.resume()
            await asyncio.sleep(0.1)
            self.assertEqual(sent, len(world.targets.records))
            done = [call.result() for call in calls if call.done()]
            late = [reply for reply in done if reply.refusal == "deadline"]
            self.assertTrue(late)
            for reply in late:
                self.assertEqual(fleet_pb2.NOT_RUN, reply.verdict)
                self.assertEqual([], world.targets.runs_of(reply.request_id))
            for call in calls:
                call.cancel()

        self.run_world(main)

    def test_removed_target_finishes_and_gets_no_new_request(self):
        """Guards against requests that a configuration change cancels."""

        async def main(world):
            calls = [world.execute(world.request(SEARCH)) for _ in range(12)]
            await asyncio.sleep(0.001)
            removed = world.file.targets[0]
            file = world.file.model_copy(
                update={"targets": world.file.targets[1:]}
            )
            world.config.adopt(2, {file.service: file})
            replies = await asyncio.gather(*calls)
            self.assertEqual({""}, {reply.refusal for reply in replies})
            runs = [
                record
                for record in world.targets.records
                if record.target_id == removed.id
            ]
            self.assertEqual(3, len(runs))

        self.run_world(main)

    def test_removed_and_restored_target_keeps_its_slots_counted(self):
        """Guards against counting slots twice after two quick changes."""

        async def main(world):
            calls = [world.execute(world.request(SEARCH)) for _ in range(30)]
            await asyncio.sleep(0.001)
            file = world.file.model_copy(
                update={"targets": world.file.targets[1:]}
            )
            world.config.adopt(2, {file.service: file})
            world.config.adopt(3, {file.service: world.file})
            await asyncio.gather(*calls)
            self.assertEqual(0, world.targets.shed_count)
            self.assertEqual(3, world.target(1).most_in_flight)

        self.run_world(main)

    def test_removed_service_refuses_the_queue(self):
        """Guards against requests that wait for a removed service."""

        async def main(world):
            calls = [world.execute(world.request()) for _ in range(8)]
            await asyncio.sleep(0.001)
            world.config.adopt(2, {})
            refusals = [(await call).refusal for call in calls]
            self.assertEqual(2, refusals.count("unknown_service"))
            await asyncio.sleep(3.0)
            self.assertEqual([], world.dispatch.runners)

        self.run_world(main)

    def test_draining_target_gets_no_new_request(self):
        """Guards against requests for a target known to be leaving."""

        async def main(world):
            await world.execute(world.request())
            world.target(1).is_draining = True
            world.target(1).reports_draining = False
            world.platform.set_host(
                dispatch_world.leaving_host(world.file.targets[0]), lag_s=0.0
            )
            await asyncio.sleep(3.0)
            world.target(2).is_draining = True
            await asyncio.sleep(3.0)
            before = len(world.targets.records)
            reply = await world.execute(world.request())
            self.assertEqual("no_target", reply.refusal)
            self.assertEqual(before, len(world.targets.records))

        self.run_world(main)

    def test_new_owner_refreshes_targets_before_requests(self):
        """Guards against requests for targets that began to leave earlier."""

        async def main(world):
            world.target(1).is_draining = world.target(2).is_draining = True
            world.target(2).reports_draining = False
            world.platform.set_host(
                dispatch_world.leaving_host(world.file.targets[1]), lag_s=0.0
            )
            reply = await world.execute(world.request())
            self.assertEqual(fleet_pb2.NOT_RUN, reply.verdict)
            self.assertEqual([], world.targets.records)

        self.run_world(main, is_warm=False)

    def test_process_refreshes_targets_after_a_pause(self):
        """Guards against using the state of targets before a pause."""

        async def main(world):
            world.gate.pause()
            world.target(1).is_draining = True
            await asyncio.sleep(5.0)
            world.gate.resume()
            calls = [world.execute(world.request()) for _ in range(4)]
            await asyncio.gather(*calls)
            runs = {record.target_id for record in world.targets.records}
            self.assertEqual({"target-2"}, runs)

        self.run_world(main)

    def test_unanswered_probes_delay_requests_for_a_short_time(self):
        """Guards against refused requests while no probe is answered."""

        async def main(world):
            world.platform.faults.outage = True
            world.target(1).probes_fail = world.target(2).probes_fail = True
            reply = await world.execute(world.request())
            self.assertEqual(fleet_pb2.RAN, reply.verdict)
            self.assertLess(world.clock.now(), 0.8)

        self.run_world(main, is_warm=False)

    def test_queue_is_redirected_when_the_owner_changes(self):
        """Guards against two owners that serve queues at the same time."""

        async def main(world):
            calls = [
                world.execute(world.request(deadline_ms=60_000))
                for _ in range(10)
            ]
            await asyncio.sleep(0.001)
            other = dispatch_world.other_owner(world.members)
            refusals = [(await call).refusal for call in calls]
            self.assertEqual(4, refusals.count("not_owner"))
            self.assertIsNot(world.members.self, other)
            await asyncio.sleep(3.0)
            probes = world.targets.probe_count
            self.assertEqual([], world.dispatch.runners)
            await asyncio.sleep(5.0)
            self.assertEqual(probes, world.targets.probe_count)

        self.run_world(main)

    def test_request_that_crashes_targets_is_quarantined(self):
        """Guards against one request that crashes every target."""

        async def main(world):
            await world.execute(world.request())
            for number in (1, 2, 3):
                world.target(number).crash_mark = b"poison"
            verdicts = []
            for number in range(6):
                request = world.request(BOOKING, body=b"poison")
                request.fingerprint = "poison"
                reply = await world.execute(request)
                verdicts.append((reply.verdict, reply.refusal))
                await asyncio.sleep(3.0)
            self.assertEqual(
                2,
                len(
                    [
                        run
                        for run in world.targets.records
                        if run.method == "POST"
                    ]
                ),
            )
            self.assertEqual((fleet_pb2.NOT_RUN, "quarantined"), verdicts[-1])

        file = dispatch_world.service(targets=3)
        self.run_world(main, file=file, with_detection=True)
