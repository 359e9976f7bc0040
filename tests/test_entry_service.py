"""Tests of the entry service under random faults."""

import asyncio
import random
import unittest

from bench import entry_fakes
from bench import virtual_loop
from fuchsiacourse import errors
from fuchsiacourse import member as member_rows
from fuchsiacourse import verdict as verdicts

SEEDS = range(1, 41)
BOOKINGS = 40
MAX_ATTEMPTS = 4


class RandomRun:
    """Callers that follow the rules, on a faulty network, from a seed."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.fleet = entry_fakes.EntryFleet(
            entries=4, dispatchers=2, seed=seed, key_block_size=4
        )
        self.verdicts_by_key = {}
        self.wrong_answers = []
        network = self.fleet.network
        network.delay_s = (0.001, 0.2)
        network.unreachable_share = 0.1
        network.request_loss_share = 0.1
        network.reply_loss_share = 0.1
        network.reset_share = 0.1
        for process in self.fleet.dispatchers:
            process.queue_s = (0.0, 0.8)
            process.run_s = (0.01, 0.6)
            process.refusal_share = 0.1
            process.owner = self.fleet.dispatch_rows[0].rpc_address

    async def run(self):
        """Runs everything to its end."""
        await asyncio.gather(
            *[self.book(number) for number in range(BOOKINGS)],
            self.stop_one(),
            self.lose_one(),
            self.pause(),
            self.break_store(),
        )
        self.fleet.network.unreachable_share = 0.0
        await asyncio.sleep(60)

    async def book(self, number):
        await asyncio.sleep(self.rng.uniform(0, 12))
        key = self.new_key(number)
        told = self.verdicts_by_key.setdefault(key, [])
        for attempt in range(1, MAX_ATTEMPTS + 1):
            verdict = await self.send(key, attempt)
            told.append(verdict)
            if verdict is not verdicts.Verdict.MAY_HAVE_RUN:
                break
            await asyncio.sleep(self.rng.uniform(0, 0.5))

    def new_key(self, number):
        issuer = self.rng.randrange(4)
        if self.rng.random() < 0.2:
            return f"own-{number}"
        try:
            return self.fleet.key(issuer, self.rng.randrange(4))
        except errors.RefusedError:
            return f"own-{number}"

    async def send(self, key, attempt):
        call = asyncio.ensure_future(
            self.fleet.book(key, entry=self.rng.randrange(4), attempt=attempt)
        )
        patience_s = self.rng.choice([0.2, 3.0, 3.0])
        await asyncio.wait([call], timeout=patience_s)
        if not call.done():
            if self.rng.random() < 0.5:
                call.cancel()
            return verdicts.Verdict.MAY_HAVE_RUN
        answer = call.result()
        if answer.verdict is verdicts.Verdict.RAN and not answer.refused:
            if answer.body != key.encode():
                self.wrong_answers.append((key, answer.body))
        return answer.verdict

    async def stop_one(self):
        await asyncio.sleep(self.rng.uniform(0, 4))
        row = self.fleet.entry_rows[0]
        await self.fleet.entries[0].drain()
        await asyncio.sleep(0.5)
        self.fleet.gossip(row)

    async def lose_one(self):
        await asyncio.sleep(self.rng.uniform(4, 8))
        row = self.fleet.entry_rows[1]
        self.fleet.network.unreachable.add(row.rpc_address)
        await asyncio.sleep(1)
        row.state = member_rows.State.DEAD
        self.fleet.gossip(row)

    async def pause(self):
        for _ in range(3):
            await asyncio.sleep(self.rng.uniform(1, 4))
            virtual_loop_of_run().now_s += self.rng.uniform(0.5, 4)

    async def break_store(self):
        for _ in range(30):
            await asyncio.sleep(0.4)
            self.fleet.store.takes_effect = self.rng.random() < 0.5
            self.fleet.store.errors_by_call = {
                "put": self.rng.choice(
                    [[], [errors.StoreUnsure()], [errors.StoreRateLimited()]]
                ),
                "get": self.rng.choice([[], [errors.StoreUnavailable()]]),
            }


async def run_seed(seed):
    """Returns the finished run of a seed."""
    run = RandomRun(seed)
    await run.run()
    return run


def virtual_loop_of_run():
    """Returns the selector that holds the time of the running loop."""
    return asyncio.get_running_loop()._jumping


class RandomFaultsTest(unittest.TestCase):
    """No order of faults may run a key twice or break a verdict."""

    def check(self, seed):
        run = virtual_loop.run(run_seed(seed))
        self.assertEqual([], run.fleet.broken, f"seed {seed}")
        self.assertEqual([], run.fleet.failures, f"seed {seed}")
        self.assertEqual([], run.wrong_answers, f"seed {seed}")
        runs_by_body = run.fleet.runs_by_body
        for key, told in run.verdicts_by_key.items():
            runs = runs_by_body[key.encode()]
            evidence = f"seed {seed}: {key} told {told}"
            self.assertLessEqual(runs, 1, evidence)
            if verdicts.Verdict.NOT_RUN in told:
                self.assertEqual(0, runs, evidence)
            if verdicts.Verdict.RAN in told:
                self.assertEqual(1, runs, evidence)
        return run

    def test_verdicts_hold_under_random_faults(self):
        """Guards against double runs and runs of keys told not-run."""
        told = set()
        for seed in SEEDS:
            run = self.check(seed)
            told.update(*run.verdicts_by_key.values())
        # A run that never meets one of the verdicts checks nothing.
        self.assertEqual(set(verdicts.Verdict), told)
