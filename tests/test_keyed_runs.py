"""Tests of repeated, concurrent and refused requests under one key."""

import asyncio
import unittest

from bench import entry_fakes
from fuchsiacourse import verdict as verdicts

NOT_RUN = verdicts.Verdict.NOT_RUN
RAN = verdicts.Verdict.RAN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN


class KeyedRunsTest(unittest.TestCase):
    """A key must be run once, whatever its callers do."""

    def test_run_continues_without_its_caller(self):
        """Guards against a lost record when the caller disconnects."""

        async def scenario(fleet):
            key = fleet.key()
            call = asyncio.ensure_future(fleet.book(key))
            await asyncio.sleep(0.01)
            call.cancel()
            await asyncio.sleep(0.5)
            again = await fleet.book(key, attempt=2)
            return again.body == key.encode(), sum(fleet.runs_by_body.values())

        self.assertEqual((True, 1), entry_fakes.run_fleet(scenario))

    def test_concurrent_repeats_have_their_own_deadlines(self):
        """Guards against a concurrent repeat that ends the first run."""

        async def scenario(fleet):
            fleet.dispatchers[0].run_s = (0.5, 0.5)
            key = fleet.key()
            calls = [
                fleet.book(key, request_id="first"),
                fleet.book(key, attempt=2, deadline_ms=100),
                fleet.book(key, attempt=3, request_id="third"),
            ]
            answers = await asyncio.gather(*calls)
            names = [name for name, _ in fleet.network.calls]
            return (
                [entry_fakes.status_and_verdict(answer) for answer in answers],
                answers[2].request_id,
                names,
            )

        outcomes, request_id, names = entry_fakes.run_fleet(scenario)
        self.assertEqual(
            [(200, RAN), (504, MAY_HAVE_RUN), (200, RAN)], outcomes
        )
        self.assertEqual(("third", ["execute"]), (request_id, names))

    def test_late_answer_reaches_the_next_attempt(self):
        """Guards against losing an answer that comes after the deadline."""

        async def scenario(fleet):
            fleet.dispatchers[0].run_s = (3.5, 3.5)
            key = fleet.key()
            answers = []
            for attempt in (1, 2, 3):
                answers.append(await fleet.book(key, attempt=attempt))
            return [
                entry_fakes.status_and_verdict(answer) for answer in answers
            ]

        self.assertEqual(
            [(504, MAY_HAVE_RUN), (504, MAY_HAVE_RUN), (200, RAN)],
            entry_fakes.run_fleet(scenario),
        )

    def test_key_is_not_run_after_not_run(self):
        """Guards against running a key after it was answered not-run."""

        async def scenario(fleet):
            fleet.dispatchers[0].refusals = ["overload"]
            key = fleet.key()
            first = await fleet.book(key)
            again = await fleet.book(key, attempt=2)
            return entry_fakes.status_and_verdict(
                first
            ), entry_fakes.status_and_verdict(again)

        refused = (503, NOT_RUN)
        self.assertEqual((refused, refused), entry_fakes.run_fleet(scenario))

    def test_key_with_another_request(self):
        """Guards against replaying the answer of a different request."""

        async def scenario(fleet):
            key = fleet.key()
            call = asyncio.ensure_future(fleet.book(key))
            await asyncio.sleep(0.01)
            outcomes = [
                entry_fakes.status_and_verdict(
                    await fleet.book(key, body=b"other")
                )
            ]
            await call
            for changes in (
                {"body": b"other"},
                {"path": "/larder/x"},
                {"account": "other"},
            ):
                outcomes.append(
                    entry_fakes.status_and_verdict(
                        await fleet.book(key, **changes)
                    )
                )
            return outcomes

        self.assertEqual(
            [(422, MAY_HAVE_RUN), (422, RAN), (422, RAN), (422, RAN)],
            entry_fakes.run_fleet(scenario),
        )

    def test_full_ledger(self):
        """Guards against running a key that can't be recorded."""

        async def scenario(fleet):
            await fleet.book(fleet.key())
            outcomes = [
                entry_fakes.status_and_verdict(
                    await fleet.book(fleet.key(), attempt=attempt)
                )
                for attempt in (1, 2, 0)
            ]
            return outcomes, sum(fleet.runs_by_body.values())

        self.assertEqual(
            ([(503, NOT_RUN), (503, MAY_HAVE_RUN), (503, MAY_HAVE_RUN)], 1),
            entry_fakes.run_fleet(scenario, ledger_max_records=1),
        )

    def test_answer_too_large_to_keep(self):
        """Guards against a second run when the answer was not stored."""

        async def scenario(fleet):
            key = fleet.key()
            first = await fleet.book(key)
            again = await fleet.book(key, attempt=2)
            return entry_fakes.status_and_verdict(
                first
            ), entry_fakes.status_and_verdict(again)

        self.assertEqual(
            ((200, RAN), (409, RAN)),
            entry_fakes.run_fleet(scenario, ledger_max_answer_bytes=5),
        )

    def test_account_over_its_limit(self):
        """Guards against keys that stay open after not-run."""

        async def scenario(fleet):
            outcomes = []
            keys = [fleet.key(number=number) for number in range(3)]
            for key in keys:
                outcomes.append(
                    entry_fakes.status_and_verdict(await fleet.book(key))
                )
            await asyncio.sleep(60)
            outcomes.append(
                entry_fakes.status_and_verdict(
                    await fleet.book(keys[2], attempt=2)
                )
            )
            return outcomes

        limit = {"default": {"rate_per_s": 0.1, "burst": 2}}
        self.assertEqual(
            [(200, RAN), (200, RAN), (429, NOT_RUN), (429, NOT_RUN)],
            entry_fakes.run_fleet(
                scenario, service_changes={"account_limits": limit}
            ),
        )

    def test_malformed_and_unknown_keys(self):
        """Guards against running keys that no entry issued."""

        async def scenario(fleet):
            return [
                entry_fakes.status_and_verdict(await fleet.book(key))
                for key in (
                    "fc1-x",
                    fleet.key(number=99),
                    "fc1-0123456789abcdef-0-0",
                )
            ]

        self.assertEqual(
            [(400, NOT_RUN), (400, NOT_RUN), (410, MAY_HAVE_RUN)],
            entry_fakes.run_fleet(scenario),
        )
