"""Seeded random run of callers against entries under faults."""

from __future__ import annotations

import asyncio
import random

from bench import entry_fakes
from bench import virtual_loop
from fuchsiacourse import errors
from fuchsiacourse import fleet_pb2
from fuchsiacourse import member as member_rows
from fuchsiacourse import verdict as verdicts

BOOKINGS = 40
LOOKUPS = 20
CORRUPT_SHARE = 0.1
MAX_ATTEMPTS = 4


class RandomRun:
    """Callers that retry by the rules, on a network with random faults.

    Args:
        seed: Seed of all randomness.

    Attributes:
        fleet: Entries and dispatch processes.
        verdicts_by_key: Verdicts of the attempts under each key, in order.
        wrong_answers: Expected and actual body of each wrong answer.
    """

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self.fleet = entry_fakes.EntryFleet(
            entries=4, dispatchers=2, seed=seed, key_block_size=4
        )
        self.verdicts_by_key: dict[str, list[verdicts.Verdict]] = {}
        self.wrong_answers: list[tuple[str, bytes]] = []
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
            process.corrupt = self._corrupt
            process.owner = self.fleet.dispatch_rows[0].rpc_address

    async def run(self) -> None:
        """Runs all callers and faults to their end."""
        await asyncio.gather(
            *[self._book(number) for number in range(BOOKINGS)],
            *[self._look_up(number) for number in range(LOOKUPS)],
            self._stop_entry(),
            self._lose_entry(),
            self._pause_process(),
            self._break_store(),
        )
        # Lets the remaining runs and relays end.
        self.fleet.network.unreachable_share = 0.0
        await asyncio.sleep(60)

    async def _book(self, number: int) -> None:
        await asyncio.sleep(self._rng.uniform(0, 12))
        key = self._new_key(number)
        answered = self.verdicts_by_key.setdefault(key, [])
        for attempt in range(1, MAX_ATTEMPTS + 1):
            verdict = await self._send(key, attempt)
            answered.append(verdict)
            if verdict is not verdicts.Verdict.MAY_HAVE_RUN:
                break
            await asyncio.sleep(self._rng.uniform(0, 0.5))

    async def _look_up(self, number: int) -> None:
        await asyncio.sleep(self._rng.uniform(0, 12))
        body = f"lookup-{number}".encode()
        answer = await self.fleet.look_up(
            entry=self._rng.randrange(4), body=body
        )
        if not answer.is_refusal and answer.body != body:
            self.wrong_answers.append((body.decode(), answer.body))

    def _corrupt(self, reply: fleet_pb2.ExecuteReply) -> None:
        if self._rng.random() >= CORRUPT_SHARE:
            return
        if self._rng.random() < 0.5:
            reply.request_id = "another"
        else:
            reply.body = reply.body[:-1]

    def _new_key(self, number: int) -> str:
        issuer = self._rng.randrange(4)
        if self._rng.random() < 0.2:
            return f"own-{number}"
        try:
            return self.fleet.key(issuer, self._rng.randrange(4))
        except errors.RequestRefused:
            return f"own-{number}"

    async def _send(self, key: str, attempt: int) -> verdicts.Verdict:
        call = asyncio.ensure_future(
            self.fleet.book(key, entry=self._rng.randrange(4), attempt=attempt)
        )
        timeout_s = self._rng.choice([0.2, 3.0, 3.0])
        await asyncio.wait([call], timeout=timeout_s)
        if not call.done():
            if self._rng.random() < 0.5:
                call.cancel()
            return verdicts.Verdict.MAY_HAVE_RUN
        answer = call.result()
        if answer.verdict is verdicts.Verdict.RAN and not answer.is_refusal:
            if answer.body != key.encode():
                self.wrong_answers.append((key, answer.body))
        return answer.verdict

    async def _stop_entry(self) -> None:
        await asyncio.sleep(self._rng.uniform(0, 4))
        row = self.fleet.entry_rows[0]
        await self.fleet.entries[0].drain()
        await asyncio.sleep(0.5)
        self.fleet.gossip(row)

    async def _lose_entry(self) -> None:
        await asyncio.sleep(self._rng.uniform(4, 8))
        row = self.fleet.entry_rows[1]
        self.fleet.network.unreachable.add(row.rpc_address)
        await asyncio.sleep(1)
        row.state = member_rows.State.DEAD
        self.fleet.gossip(row)

    async def _pause_process(self) -> None:
        for _ in range(3):
            await asyncio.sleep(self._rng.uniform(1, 4))
            # Time passes without a task running, as in a paused process.
            asyncio.get_running_loop()._jumping_selector.now_s += (
                self._rng.uniform(0.5, 4)
            )

    async def _break_store(self) -> None:
        for _ in range(30):
            await asyncio.sleep(0.4)
            self.fleet.store.takes_effect = self._rng.random() < 0.5
            self.fleet.store.errors_by_call = {
                "put": self._rng.choice(
                    [
                        [],
                        [errors.StoreOutcomeUnknown()],
                        [errors.StoreRateLimited()],
                    ]
                ),
                "get": self._rng.choice([[], [errors.StoreUnavailable()]]),
            }


def run(seed: int) -> RandomRun:
    """Returns the finished run of a seed."""

    async def main() -> RandomRun:
        random_run = RandomRun(seed)
        await random_run.run()
        return random_run

    return virtual_loop.run(main())
