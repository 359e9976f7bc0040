"""Tests of relays between entries."""

import asyncio
import unittest

from bench import entry_fakes
from bench import virtual_loop
from fuchsiacourse import fleet_pb2
from fuchsiacourse import member as member_rows
from fuchsiacourse import relays
from fuchsiacourse import verdict as verdicts

NOT_RUN = verdicts.Verdict.NOT_RUN
RAN = verdicts.Verdict.RAN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN


class RelaysTest(unittest.TestCase):
    """A relay is sent once; a lost relay must not be answered not-run."""

    def book(self, *, attempt=1, loss="", arrange=None):
        """Sends a booking to an entry that has not issued its key.

        Args:
            attempt: Number of the attempt; 0 if it is not stated.
            loss: Fault of the relay; empty for none.
            arrange: Changes the fleet after the key is issued.

        Returns:
            Status, verdict, and whether the answer names the issuer.
        """

        async def main():
            fleet = entry_fakes.EntryFleet(entries=2)
            key = fleet.key()
            fleet.network.losses_by_call["relay"] = [loss]
            if arrange is not None:
                arrange(fleet)
            answer = await fleet.book(key, entry=1, attempt=attempt)
            await asyncio.sleep(60)
            relayed = [name for name, _ in fleet.network.calls]
            self.assertEqual([], fleet.broken)
            self.assertLessEqual(relayed.count("relay"), 1)
            issuer = fleet.entry_rows[0].http_address.encode()
            return answer.status, answer.verdict, issuer in answer.body

        return virtual_loop.run(main())

    def test_answer_comes_back(self):
        """Guards against keys that work only at their issuer."""
        self.assertEqual((200, RAN, False), self.book())

    def test_unreachable_issuer(self):
        """Guards against not-run for a later attempt."""
        for attempt, verdict in (
            (1, NOT_RUN),
            (2, MAY_HAVE_RUN),
            (0, MAY_HAVE_RUN),
        ):
            outcome = self.book(attempt=attempt, loss="unreachable")
            self.assertEqual((503, verdict, True), outcome)

    def test_lost_relay(self):
        """Guards against not-run for a relay that may have arrived."""
        for loss in ("request", "reply", "reset"):
            self.assertEqual((502, MAY_HAVE_RUN, True), self.book(loss=loss))

    def test_issuer_that_is_gone(self):
        """Guards against running the keys of a dead issuer."""

        def dead(fleet):
            fleet.entry_rows[0].state = member_rows.State.DEAD

        def left_alone(fleet):
            fleet.entry_rows[0].state = member_rows.State.LEFT

        def unknown(fleet):
            del fleet.tables[1].by_id[fleet.entry_rows[0].id]

        def successor_is_gone(fleet):
            fleet.entry_rows[0].state = member_rows.State.LEFT
            fleet.entry_rows[0].successor = "0123456789abcdef"

        def successor_loop(fleet):
            fleet.entry_rows[0].state = member_rows.State.LEFT
            fleet.entry_rows[0].successor = fleet.entry_rows[0].id

        for arrange in (
            dead,
            left_alone,
            unknown,
            successor_is_gone,
            successor_loop,
        ):
            outcome = self.book(arrange=arrange)
            self.assertEqual(
                (410, MAY_HAVE_RUN, False), outcome, arrange.__name__
            )

    def test_reply_that_is_not_whole(self):
        """Guards against passing on another request's answer."""

        class Corrupt:
            def __init__(self, entry, field, value):
                self._entry = entry
                self._field, self._value = field, value

            async def relay(self, request):
                reply = await self._entry.relay(request)
                setattr(reply, self._field, self._value)
                return reply

        for field, value in (
            ("relay_id", "another"),
            ("body", b"truncated"),
            ("verdict", fleet_pb2.VERDICT_UNSPECIFIED),
        ):

            def arrange(fleet, field=field, value=value):
                address = fleet.entry_rows[0].rpc_address
                fleet.network.processes_by_address[address] = Corrupt(
                    fleet.entries[0], field, value
                )

            self.assertEqual(
                (502, MAY_HAVE_RUN, True), self.book(arrange=arrange)
            )

    def test_relay_loop_ends(self):
        """Guards against a request that is relayed forever."""

        async def main():
            fleet = entry_fakes.EntryFleet(entries=2)
            # Each of the two entries takes the other one for the issuer.
            for index in (0, 1):
                row = fleet.entry_rows[1 - index]
                fleet.tables[index].by_id["0123456789abcdef"] = row
            answer = await fleet.book("fc1-0123456789abcdef-0-0")
            names = [name for name, _ in fleet.network.calls]
            return answer.status, answer.verdict, names.count("relay")

        self.assertEqual(
            (508, NOT_RUN, relays.MAX_HOPS), virtual_loop.run(main())
        )
