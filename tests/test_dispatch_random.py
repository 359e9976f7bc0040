"""Tests of random runs of dispatch against the records of its targets."""

import asyncio
import random

from bench import dispatch_world
from fuchsiacourse import fleet_pb2
from tests import test_dispatch_service

SEEDS = range(1, 9)
REQUESTS = 400
FAULTS = (
    "wrong_share",
    "truncated_share",
    "error_share",
    "lost_share",
    "shed_share",
)


class RandomRun:
    """Makes random requests, withdrawals, cancellations and faults."""

    def __init__(self, world, seed):
        self.world = world
        self.rng = random.Random(seed)
        self.replies_by_id = {}
        self.outcomes_by_id = {}
        self.kinds_by_id = {}
        self.config_number = 1

    async def run(self):
        tasks = []
        for _ in range(REQUESTS):
            tasks.append(asyncio.ensure_future(self.request()))
            await asyncio.sleep(self.rng.expovariate(150.0))
            if self.rng.random() < 0.05:
                self.cause_fault()
        self.world.gate.resume()
        for target in self.world.targets.targets_by_address.values():
            target.is_hung = target.is_unreachable = False
        await asyncio.gather(*tasks)
        # A booking whose call was cancelled goes on for 30 s at most.
        await asyncio.sleep(40.0)

    async def request(self):
        world, rng = self.world, self.rng
        kind = rng.choice(dispatch_world.KINDS)
        request = world.request(kind, deadline_ms=rng.randrange(50, 3000))
        self.kinds_by_id[request.request_id] = kind
        if rng.random() < 0.03:
            await self.withdraw(request)
        call = world.execute(request)
        if rng.random() < 0.2:
            await asyncio.sleep(rng.random() * 0.1)
            if rng.random() < 0.5:
                call.cancel()
            else:
                await self.withdraw(request)
        try:
            self.replies_by_id[request.request_id] = await call
        except asyncio.CancelledError:
            return

    async def withdraw(self, request):
        outcome = await self.world.withdraw(request)
        self.outcomes_by_id[request.request_id] = outcome

    def cause_fault(self):
        world, rng = self.world, self.rng
        target = world.target(rng.randrange(1, 4))
        choice = rng.randrange(6)
        if choice == 0:
            setattr(target, rng.choice(FAULTS), rng.choice([0.0, 0.5]))
        elif choice == 1:
            target.is_unreachable = not target.is_unreachable
        elif choice == 2:
            target.is_hung = not target.is_hung
        elif choice == 3:
            world.gate.pause()
            asyncio.get_running_loop().call_later(
                rng.random() * 3.0, world.gate.resume
            )
        elif choice == 4:
            target.slow_factor = rng.choice([1.0, 5.0])
        else:
            self.change_config()

    def change_config(self):
        self.config_number += 1
        targets = self.world.file.targets
        kept = self.rng.sample(targets, self.rng.randrange(2, 4))
        file = self.world.file.model_copy(update={"targets": kept})
        self.world.config.adopt(self.config_number, {file.service: file})


class DispatchRandomTest(test_dispatch_service.DispatchCase):
    """Replies must always agree with the runs that the targets recorded."""

    def check(self, run):
        records = run.world.targets.records_by_request
        for id, kind in run.kinds_by_id.items():
            runs = records.get(id, [])
            if not kind.idempotent:
                self.assertLessEqual(len(runs), 1, id)
            if run.outcomes_by_id.get(id) == "withdrawn":
                self.assertEqual([], runs, id)
        for id, reply in run.replies_by_id.items():
            runs = records.get(id, [])
            if reply.verdict == fleet_pb2.NOT_RUN:
                self.assertEqual([], runs, id)
            if reply.verdict == fleet_pb2.RAN:
                self.assertTrue(any(item.is_complete for item in runs), id)
                self.assertIn(id.encode(), reply.body)
        for target in run.world.targets.targets_by_address.values():
            self.assertLessEqual(target.most_in_flight, target.slots)
            self.assertEqual(0, target.in_flight)
        for runner in run.world.dispatch.runners:
            self.assertTrue(runner.is_idle)

    def test_replies_agree_with_the_record(self):
        """Guards against lost slots, wrong verdicts and double runs."""
        seen = set()
        for seed in SEEDS:
            with self.subTest(seed=seed):

                async def main(world):
                    await asyncio.sleep(test_dispatch_service.SETTLED_S)
                    run = RandomRun(world, seed)
                    await run.run()
                    self.check(run)
                    seen.update(
                        reply.refusal for reply in run.replies_by_id.values()
                    )
                    seen.update(run.outcomes_by_id.values())

                self.run_world(
                    main,
                    seed=seed,
                    file=dispatch_world.service(targets=3),
                    straggler_share=0.05,
                )
        # Without these outcomes the runs would not test the faults.
        self.assertLessEqual(
            {"", "deadline", "withdrawn", "started", "target_failed"}, seen
        )
