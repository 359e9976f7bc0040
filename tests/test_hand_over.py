"""Tests of graceful shutdowns of entries and their hand-overs."""

import asyncio
import unittest

from bench import entry_fakes
from bench import virtual_loop
from fuchsiacourse import fleet_pb2
from fuchsiacourse import hand_over
from fuchsiacourse import member as member_rows
from fuchsiacourse import verdict as verdicts

NOT_RUN = verdicts.Verdict.NOT_RUN
RAN = verdicts.Verdict.RAN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN
# Seconds from the start of a shutdown until the ledger is sealed; the address
# list's lifetime is 5 s of it.
SEALED_AFTER_S = 6.1


class HandOverTest(unittest.TestCase):
    """Keys must be run by their issuer or by one successor, never both."""

    async def stop(self, fleet, entry=0):
        """Stops an entry, gossips its row and makes it unreachable."""
        row = fleet.entry_rows[entry]
        await fleet.entries[entry].drain()
        fleet.gossip(row)
        fleet.network.unreachable.add(row.rpc_address)
        return row

    def test_chain_of_successors(self):
        """Guards against keys that are lost when a successor stops too."""

        async def scenario(fleet):
            used, unused = fleet.key(), fleet.key()
            first = await fleet.book(used)
            last = fleet.entry_rows[0]
            while last.id in [row.id for row in fleet.entry_rows[:2]]:
                stopped = await self.stop(fleet, fleet.entry_rows.index(last))
                last = fleet.tables[0].by_id[stopped.successor]
            again = await fleet.book(used, entry=2, attempt=2)
            new = await fleet.book(unused, entry=2)
            return first.body == again.body, entry_fakes.status_and_verdict(
                new
            )

        self.assertEqual(
            (True, (200, RAN)), entry_fakes.run_fleet(scenario, entries=3)
        )

    def test_requests_during_a_stop(self):
        """Guards against requests that a graceful shutdown interrupts."""

        async def scenario(fleet):
            for process in fleet.dispatchers:
                process.run_s = (0.8, 0.8)
            # The hand-over's first acknowledgement is lost.
            fleet.network.losses_by_call["hand_over"] = ["reply"]
            stop = asyncio.ensure_future(self.stop(fleet))
            calls = []
            for number in range(30):
                entry = number % 2
                calls.append(
                    asyncio.ensure_future(
                        fleet.book(self.unused_key(fleet), entry=entry)
                    )
                )
                await asyncio.sleep(0.3)
            answers = await asyncio.gather(*calls)
            await stop
            return {
                entry_fakes.status_and_verdict(answer) for answer in answers
            }

        self.keys = []
        outcome = entry_fakes.run_fleet(scenario, entries=3)
        # New keys are answered not-run until the acknowledgement arrives.
        self.assertLessEqual(outcome, {(200, RAN), (503, NOT_RUN)})
        self.assertIn((200, RAN), outcome)

    def unused_key(self, fleet):
        """Returns an unused key that entry 0 issued before its shutdown."""
        if not self.keys:
            self.keys = [fleet.key(number=n) for n in range(60)]
        return self.keys.pop()

    def test_without_acknowledgement_nothing_is_run(self):
        """Guards against a sender that runs keys its successor may hold."""

        async def scenario(fleet):
            keys = [fleet.key(number=number) for number in range(3)]
            fleet.network.losses_by_call["hand_over"] = ["reply"] * 100
            stop = asyncio.ensure_future(self.stop(fleet))
            await asyncio.sleep(SEALED_AFTER_S)
            during = await fleet.book(keys[0])
            row = await stop
            calls = {
                address
                for name, address in fleet.network.calls
                if name == "hand_over"
            }
            # The successor holds the keys, but no other member knows it.
            other = next(
                number
                for number in (1, 2)
                if fleet.entry_rows[number].rpc_address not in calls
            )
            after = await fleet.book(keys[1], entry=other)
            return (
                entry_fakes.status_and_verdict(during),
                entry_fakes.status_and_verdict(after),
                len(calls),
                row.successor,
            )

        self.assertEqual(
            ((503, NOT_RUN), (410, MAY_HAVE_RUN), 1, ""),
            entry_fakes.run_fleet(scenario, entries=3),
        )

    def test_hand_over_in_parts(self):
        """Guards against answers that are lost with a part's message."""

        async def scenario(fleet):
            keys = [fleet.key(number=number) for number in range(5)]
            bodies = [key.encode() * 9000 for key in keys]
            for key, body in zip(keys, bodies):
                await fleet.book(key, body=body)
            # A part and the acknowledgement of another one are lost.
            fleet.network.losses_by_call["hand_over"] = ["", "request"]
            fleet.network.losses_by_call["hand_over"] += ["", "reply"]
            row = await self.stop(fleet)
            answers = [
                await fleet.book(key, entry=1, attempt=2, body=body)
                for key, body in zip(keys, bodies)
            ]
            names = [name for name, _ in fleet.network.calls]
            return (
                row.successor != "",
                [answer.body for answer in answers] == bodies,
                names.count("hand_over"),
            )

        # Three parts, because two answers of 216,000 bytes fit into each.
        result = entry_fakes.run_fleet(scenario, entries=3)
        self.assertEqual((True, True, 5), result)

    def test_another_successor_if_nothing_was_sent(self):
        """Guards against losing all keys to an unreachable successor."""

        async def scenario(fleet):
            key = fleet.key()
            fleet.network.losses_by_call["hand_over"] = ["unreachable"]
            row = await self.stop(fleet)
            answer = await fleet.book(key, entry=1)
            return bool(row.successor), entry_fakes.status_and_verdict(answer)

        self.assertEqual(
            (True, (200, RAN)), entry_fakes.run_fleet(scenario, entries=3)
        )

    def test_last_entry_of_a_region(self):
        """Guards against a shutdown that waits forever for a successor."""

        async def scenario(fleet):
            row = await self.stop(fleet)
            return row.successor, row.state

        self.assertEqual(
            ("", member_rows.State.LEFT),
            entry_fakes.run_fleet(scenario, entries=1),
        )


class HandOverReceiverTest(unittest.TestCase):
    """A successor must apply a hand-over completely or not at all."""

    SENDER = "0181f3b2c4000009"

    def part(self, number, *, parts=2, id="h-1"):
        message = fleet_pb2.HandOverRequest(
            hand_over_id=id, sender=self.SENDER, part=number, parts=parts
        )
        if number == 0:
            message.blocks.add(
                incarnation=self.SENDER, next_block=1, expires_in_ms=900_000
            )
        else:
            message.records.add(
                key=f"fc1-{self.SENDER}-0-0",
                fingerprint="f",
                state=fleet_pb2.RECORD_MAY_HAVE_RUN,
                answer_kept=True,
                expires_in_ms=900_000,
            )
        return message

    def accepted(self, *steps, **options):
        """Returns a successor's replies and a verdict under a new key.

        Args:
            *steps: Parts to send in order; a float is a pause in seconds.
            **options: Options of the fleet.
        """

        async def main():
            fleet = entry_fakes.EntryFleet(**options)
            replies = []
            for step in steps:
                if isinstance(step, float):
                    await asyncio.sleep(step)
                    continue
                reply = await fleet.entries[0].hand_over(step)
                replies.append(reply.accepted)
            answer = await fleet.book(f"fc1-{self.SENDER}-0-1")
            return replies, answer.verdict

        return virtual_loop.run(main())

    def test_nothing_is_applied_before_the_last_part(self):
        """Guards against a run whose record is in a missing part."""
        self.assertEqual(([True], MAY_HAVE_RUN), self.accepted(self.part(0)))
        self.assertEqual(
            ([True, True], RAN), self.accepted(self.part(1), self.part(0))
        )

    def test_repeated_parts_are_accepted_again(self):
        """Guards against a hand-over that a lost acknowledgement ends."""
        parts = [self.part(0), self.part(0), self.part(1), self.part(1)]
        self.assertEqual(([True] * 4, RAN), self.accepted(*parts))

    def test_second_hand_over_is_refused(self):
        """Guards against taking over one sender's keys twice."""
        whole = self.part(0, parts=1)
        other = self.part(0, parts=1, id="h-2")
        self.assertEqual(([True, False], RAN), self.accepted(whole, other))
        mixed = [self.part(0), self.part(1, id="h-2")]
        self.assertEqual(([True, False], MAY_HAVE_RUN), self.accepted(*mixed))

    def test_late_or_oversized_hand_over_is_refused_permanently(self):
        """Guards against applying a hand-over whose sender gave up."""
        late = [self.part(0), hand_over.STAGE_LIFETIME_S + 1, self.part(1)]
        self.assertEqual(([True, False], MAY_HAVE_RUN), self.accepted(*late))
        parts = [self.part(0), self.part(1), self.part(1)]
        self.assertEqual(
            ([True, False, False], MAY_HAVE_RUN),
            self.accepted(*parts, ledger_max_bytes=512),
        )
